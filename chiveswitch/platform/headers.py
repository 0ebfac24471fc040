"""Translates HTTP headers between the platform's callers and workers and the product's types."""

import re

import orjson

from chiveswitch.core import events, speeds
from chiveswitch.forwarding import exchange

REQUEST_ID = "X-Request-Id"
DEADLINE_MS = "X-Deadline-Ms"
# The platform's "usage" is a limit: the prompt tokens and the maximum of output tokens.
TOKEN_USAGE = "x-token-usage"
# The parts of the prompt in order, as id:tokens. The last part belongs to the request or session
# alone.
PROMPT_PREFIX = "x-prompt-prefix"
MODEL = "x-model"
LAST_EVENT_ID = "Last-Event-Id"
# A worker's id identifies one start of the worker, not an address.
EXPECT_INSTANCE = "X-Expect-Instance"
# The platform calls a client account a tenant.
TENANT = "X-Tenant"
REQUEST_PRIORITY = "X-Request-Priority"
BACKUP = "X-Kv-Backup"
KV_FROM = "Kv-From"
NOT_EXECUTED = "x-not-executed"
# The receipt of a worker; an opaque text.
RESPONSE_SEAL = "x-response-seal"
INSTANCE_LOAD = "x-instance-load"
# Requests per second that a worker takes from all machines together; a decimal number.
SERVER_LIMIT = "server-limit"
# Whether the worker is about to shut down; always 1.
SERVER_LEAVING = "server-leaving"
# Seconds for which a worker that answers 503 wants no requests of this machine; a decimal number.
RETRY_AFTER = "retry-after"
DECIMAL_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?", re.ASCII)
# As many digits as the id of an event may have.
COUNT = re.compile(rf"[0-9]{{1,{events.MAX_ID_DIGITS}}}", re.ASCII)
# A handle becomes a part of a header and of a path.
HANDLE = re.compile(r"[!-~]{1,256}", re.ASCII)
MAX_LOGGED_VALUE_LENGTH = 40
# HTTP status of a worker that is not the expected instance.
MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503

# Hop-by-hop headers, and headers that only this system may set on a request to a worker.
DROPPED_FROM_CALLERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
        "accept-encoding",
        "authorization",
        "x-tenant",
        "x-deadline-ms",
        "last-event-id",
        "x-expect-instance",
        "x-request-priority",
        "x-hold",
        "x-pin-ms",
        "x-kv-backup",
        "kv-from",
        "kv-fetch",
    )
)
DROPPED_FROM_WORKERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "x-instance-load",
    )
)
# Forwarded headers that may differ between two attempts of a caller at the same request: the id of
# the attempt, and what proxies and tracing add. The host has selected the route.
ATTEMPT_HEADERS = frozenset(
    (
        "x-request-id",
        "host",
        "date",
        "via",
        "forwarded",
        "x-forwarded-for",
        "traceparent",
        "tracestate",
        "baggage",
    )
)
MS_PER_SECOND = 1000.0


def _parse_number(text: str | None) -> float | None:
    try:
        value = float(text)
    except (TypeError, ValueError):
        return None
    return value if 0 <= value < 1e12 else None


def _is_safe_value(text: str) -> bool:
    """Returns whether a header value contains no character that allows header injection."""
    return "\r" not in text and "\n" not in text and "\0" not in text


def _read_decimal(response, header: str, meaning: str) -> tuple[float, str]:
    """Returns the decimal number in a header and an empty text, or 0 and why it cannot be read.

    Args:
        response: A `channel.Response` with the header.
        header: Lower-case name of the header.
        meaning: What several of these headers are, for the log.
    """
    values = [value.strip() for name, value in response.headers if name.lower() == header]
    if len(values) > 1:
        return 0.0, f"{len(values)} {meaning}"
    if DECIMAL_NUMBER.fullmatch(values[0]) is None:
        return 0.0, f"no decimal number: {values[0][:MAX_LOGGED_VALUE_LENGTH]!r}"
    return float(values[0]), ""


def _read_limit(response, info):
    """Sets the limit of a `ResponseInfo`, or the fault of a limit that cannot be read."""
    rate, info.rate_limit_fault = _read_decimal(response, SERVER_LIMIT, "limits")
    if not info.rate_limit_fault:
        info.rate_limit = rate


def _read_load(text: str) -> tuple[tuple | None, float | None]:
    """Returns the load and the slowdown in a worker's header; None for what cannot be read.

    The header holds the counts of running requests, of waiting requests, and of slots. A fourth
    figure may follow: how long work takes at this moment, in percent of the usual time.
    """
    parts = [part.strip() for part in text.split(",")]
    if len(parts) not in (3, 4) or not all(COUNT.fullmatch(part) for part in parts[:2]):
        return None, None
    slowdown = None
    if len(parts) == 4 and COUNT.fullmatch(parts[3]):
        slowdown = int(parts[3]) / speeds.PERCENT
        if not speeds.MIN_FACTOR <= slowdown <= speeds.MAX_FACTOR:
            slowdown = None
    return (int(parts[0]), int(parts[1])), slowdown


def _read_leaving(response, info):
    """Sets whether a `ResponseInfo` says that the worker leaves, or why it cannot be read."""
    values = [value.strip() for name, value in response.headers if name.lower() == SERVER_LEAVING]
    if values == ["1"]:
        info.is_leaving = True
    elif len(values) > 1:
        info.leaving_fault = f"{len(values)} headers"
    else:
        info.leaving_fault = f"unknown value: {values[0][:MAX_LOGGED_VALUE_LENGTH]!r}"


class Dialect(exchange.Dialect):
    """The `exchange.Dialect` of the platform's headers."""

    __slots__ = ()

    def decode_request(self, request) -> exchange.CallerRequest:
        """Decodes a caller's headers."""
        value_by_header = request.value_by_header
        caller = exchange.CallerRequest()
        caller.request_id = value_by_header.get("x-request-id", "")
        scheme, _, key = value_by_header.get("authorization", "").partition(" ")
        if scheme.lower() == "bearer" and key:
            caller.account_key = key.strip()
        wait_ms = _parse_number(value_by_header.get("x-deadline-ms"))
        caller.wait_s = None if wait_ms is None else wait_ms / MS_PER_SECOND
        last_event_id = value_by_header.get("last-event-id", "")
        if COUNT.fullmatch(last_event_id):
            caller.last_event_id = int(last_event_id)
        usage = value_by_header.get(TOKEN_USAGE, "").split(",")
        if len(usage) == 2:
            caller.prompt_tokens = int(_parse_number(usage[0]) or 0)
            caller.max_response_tokens = int(_parse_number(usage[1]) or 0)
        caller.model = value_by_header.get(MODEL, "")
        if PROMPT_PREFIX in value_by_header:
            for part in value_by_header[PROMPT_PREFIX].split(","):
                caller.prompt_parts.append(part.partition(":")[0].strip())
            caller.session = caller.prompt_parts[-1]
        connection_headers = set()
        for name in value_by_header.get("connection", "").lower().split(","):
            connection_headers.add(name.strip())
        for name, value in request.headers:
            lower = name.lower()
            if (
                lower in DROPPED_FROM_CALLERS
                or lower in connection_headers
                or not _is_safe_value(value)
            ):
                continue
            caller.forwarded_headers.append((name, value))
        return caller

    def identity_headers(self, caller) -> list[tuple[str, str]]:
        """Returns the forwarded headers without those of a single attempt."""
        lower_headers = [(name.lower(), value) for name, value in caller.forwarded_headers]
        # The order matters only among headers of the same name.
        return sorted(
            (header for header in lower_headers if header[0] not in ATTEMPT_HEADERS),
            key=lambda header: header[0],
        )

    def encode_request(self, request, caller, options) -> bytes:
        """Returns the request for a worker."""
        lines = [f"{request.method} {request.request_target} HTTP/1.1\r\n"]
        for name, value in caller.forwarded_headers:
            lines.append(f"{name}: {value}\r\n")
        lines.append(f"{DEADLINE_MS}: {int(options.remaining_s * MS_PER_SECOND)}\r\n")
        lines.append(f"{EXPECT_INSTANCE}: {options.target_id}\r\n")
        if options.account is not None:
            # Names are sent as UTF-8; the head is written in latin-1.
            account = options.account.encode().decode("latin-1")
            lines.append(f"{TENANT}: {account}\r\n")
        if options.urgency is not None:
            lines.append(f"{REQUEST_PRIORITY}: {options.urgency}\r\n")
        if options.last_event_id is not None:
            lines.append(f"{LAST_EVENT_ID}: {options.last_event_id}\r\n")
        if options.copy_address:
            lines.append(f"{BACKUP}: {options.copy_address}\r\n")
        if options.resume_reference:
            lines.append(f"{KV_FROM}: {options.resume_reference}\r\n")
        if request.body or request.method not in ("GET", "HEAD", "DELETE"):
            lines.append(f"Content-Length: {len(request.body)}\r\n")
        lines.append("\r\n")
        return b"".join(("".join(lines).encode("latin-1"), request.body))

    def copy_reference(self, address: str, run_id: str) -> str:
        """Returns the reference of a backup: the holder's address and the request's id."""
        return f"{address}/{run_id}"

    def encode_copy_request(self, run_id: str, source: str, holder: str) -> bytes:
        """Returns the request that copies the KV cache of a run while the run continues."""
        body = orjson.dumps({"id": run_id, "target": holder})
        head = (
            f"POST /kv-move HTTP/1.1\r\nHost: {source}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return head.encode("latin-1") + body

    def encode_copy_release(self, reference: str) -> bytes:
        """Returns the request that frees a moved copy at its source and its holder."""
        source, handle = self.copy_maker_address(reference), reference.partition("/")[2]
        return f"DELETE /kv-handle/{handle} HTTP/1.1\r\nHost: {source}\r\n\r\n".encode("latin-1")

    def copy_maker_address(self, reference: str) -> str:
        """Returns the address in the reference of a moved copy, `source/handle`."""
        return reference.partition("/")[0]

    def decode_copy_response(self, response, source: str) -> str:
        """Returns the reference of a moved copy, `source/handle`, or an empty string on failure."""
        if response.status != 200:
            return ""
        try:
            handle = orjson.loads(bytes(response.body))["handle"]
        except (orjson.JSONDecodeError, KeyError, TypeError):
            return ""
        if isinstance(handle, bool) or not isinstance(handle, (str, int)):
            return ""
        if not HANDLE.fullmatch(str(handle)):
            return ""
        return f"{source}/{handle}"

    def request_id_header(self, caller) -> tuple[str, str]:
        """Returns the (name, value) of the header with which a worker echoes the request's id."""
        return REQUEST_ID.lower(), caller.request_id

    def decode_response(self, response) -> exchange.ResponseInfo:
        """Decodes a worker's headers."""
        value_by_header = response.value_by_header
        is_misdirected = response.status == MISDIRECTED_STATUS
        not_run = is_misdirected or NOT_EXECUTED in value_by_header
        load, slowdown = _read_load(value_by_header.get(INSTANCE_LOAD, ""))
        info = exchange.ResponseInfo(not_run, is_misdirected, load)
        info.slowdown = slowdown
        info.has_receipt = bool(value_by_header.get(RESPONSE_SEAL))
        if SERVER_LIMIT in value_by_header:
            _read_limit(response, info)
        if SERVER_LEAVING in value_by_header:
            _read_leaving(response, info)
        if response.status == UNAVAILABLE_STATUS and RETRY_AFTER in value_by_header:
            info.pause_s, info.pause_fault = _read_decimal(response, RETRY_AFTER, "pauses")
        return info

    def response_headers(self, response) -> list[tuple[str, str]]:
        """Returns a worker's headers except the hop-by-hop headers and the load report."""
        return [
            (name, value)
            for name, value in response.headers
            if name.lower() not in DROPPED_FROM_WORKERS
        ]

    def refusal_headers(self, caller, retry_after_s) -> list[tuple[str, str]]:
        """Returns the headers of a refusal that this system makes itself.

        Retry-After has decimals, because the platform reads fractions of a second.
        """
        headers = []
        if caller.request_id:
            headers.append((REQUEST_ID, caller.request_id))
        if retry_after_s is not None:
            headers.append(("Retry-After", f"{retry_after_s:.2f}"))
        return headers
