"""HTTP/1.1 server for callers, built on asyncio transports and the `httptools` parser.

The forwarded path does not use an application server, because it must detect when a caller
disconnects, which bytes were read and whether a response has begun. Requests of one connection are
handled one after the other, each in a task that is cancelled when the caller disconnects.
"""

import asyncio
import logging

import httptools

from chiveswitch.core import clock, memory_budget, routing
from chiveswitch.forwarding import intake as intakes
from chiveswitch.peers import listening

log = logging.getLogger("chiveswitch.http")

REASON_BY_STATUS = {
    200: "OK",
    307: "Temporary Redirect",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
NO_BODY_STATUSES = frozenset((204, 304))
# Queued requests of one connection above which reading from the caller is paused.
MAX_PIPELINED_REQUESTS = 8
# Unsent bytes of a response above which writers have to wait for the caller.
HIGH_WATER_BYTES = 64 * 1024
# Bytes of a request's body that must arrive within the header timeout until it is complete.
MIN_BODY_PROGRESS_BYTES = 16 * 1024
# Longest time in seconds for which input is discarded after the last response of a connection.
LINGER_SECONDS = 1.0
# Seconds for which a closing server accepts the connections that are already established, and then
# reads the requests that have already arrived.
FINAL_READ_SECONDS = 0.02
# Time in seconds without input after which a closing server no longer waits for the other side to
# close a connection that it has ended: a request that crossed the end has arrived by then.
CROSSING_SECONDS = 0.2
# Interval in seconds at which a closing server checks whether its connections have ended.
CLOSE_POLL_SECONDS = 0.01
# Longest time in seconds that a closing server waits for its connections by default.
CLOSE_SECONDS = 0.4
# Retry-After in seconds of a request that a closing server has read in part.
CLOSING_RETRY_AFTER_SECONDS = 0.05
# Interval in seconds between checks for idle and slow connections.
EXPIRY_CHECK_SECONDS = 0.5
# Bytes that are read from a connection at a time, and largest part of them that is parsed before
# the requests in it are counted.
READ_BYTES = 64 * 1024
PARSE_BYTES = 16 * 1024
# Bytes after the last response of a connection that are discarded.
MAX_DISCARDED_BYTES = 256 * 1024
# States of a connection: no request, a request partly read, a request in progress or queued, a
# response that is complete but not sent yet, and a wait for the caller to close it.
CONNECTION_STATES = ("idle", "reading", "serving", "sending", "ending")


class Request:
    """A caller's request.

    Attributes:
        method: HTTP method.
        request_target: Path and query as sent.
        headers: (name, value) pairs as sent, names in their original case.
        value_by_header: Value by lower-case name; the first one of repeated headers.
        body: The whole body.
        received_at: Time at which its first byte was parsed, in seconds of `core.clock`.
        keep_alive: Whether the connection may stay open after the response.
        head_bytes: Memory of the complete head, as the objects that it became.
    """

    __slots__ = (
        "method",
        "request_target",
        "headers",
        "value_by_header",
        "body",
        "received_at",
        "keep_alive",
        "head_bytes",
    )

    def __init__(self, received_at: float):
        self.method = ""
        self.request_target = ""
        self.headers = []
        self.value_by_header = {}
        self.body = bytearray()
        self.received_at = received_at
        self.keep_alive = True
        self.head_bytes = memory_budget.REQUEST_BYTES

    @property
    def path(self) -> str:
        """Path of the request target, without the query."""
        return self.request_target.partition("?")[0]


def encode_head(status: int, reason: str, headers: list[tuple[str, str]]) -> bytes:
    """Returns the status line and headers of a response, with a default for an empty reason."""
    lines = [f"HTTP/1.1 {status} {reason or REASON_BY_STATUS.get(status, 'Status')}\r\n"]
    for name, value in headers:
        lines.append(f"{name}: {value}\r\n")
    lines.append("\r\n")
    return "".join(lines).encode("latin-1")


class Responder:
    """Writes the response to one request.

    Attributes:
        has_begun: Whether a byte of the response was written.
        is_complete: Whether the response is complete or was aborted.
    """

    __slots__ = (
        "has_begun",
        "is_complete",
        "_connection",
        "_close_after_response",
        "_is_chunked",
    )

    def __init__(self, connection, keep_alive: bool):
        self.has_begun = False
        self.is_complete = False
        self._connection = connection
        self._close_after_response = not keep_alive
        self._is_chunked = True

    def close_after_response(self):
        """Requests that the connection is closed after this response."""
        self._close_after_response = True

    def send(self, status: int, headers: list[tuple[str, str]], body: bytes = b"", reason=""):
        """Writes a complete response."""
        self.has_begun = self.is_complete = True
        fields = list(headers)
        if status not in NO_BODY_STATUSES:
            fields.append(("Content-Length", str(len(body))))
        self._close_after_response |= self._connection.ends_after_response
        if self._close_after_response:
            fields.append(("Connection", "close"))
        self._connection.write(encode_head(status, reason, fields) + bytes(body))
        self._close_if_requested()

    def begin(
        self,
        status: int,
        headers: list[tuple[str, str]],
        reason: str = "",
        length: str | None = None,
    ):
        """Writes the head of a response whose body follows in parts.

        Args:
            status: Status code.
            headers: (name, value) pairs.
            reason: Reason phrase.
            length: Number of bytes of the body, or None to send it in chunks.
        """
        self.has_begun = True
        self._is_chunked = length is None
        framing = ("Transfer-Encoding", "chunked") if length is None else ("Content-Length", length)
        fields = [*headers, framing]
        self._close_after_response |= self._connection.ends_after_response
        if self._close_after_response:
            fields.append(("Connection", "close"))
        self._connection.write(encode_head(status, reason, fields))

    def write(self, data: bytes):
        """Writes a part of the body after `begin`."""
        if not self._is_chunked:
            self._connection.write(data)
            return
        self._connection.write(b"%x\r\n%b\r\n" % (len(data), data))

    def finish(self):
        """Ends the body after `begin`."""
        if self._is_chunked:
            self._connection.write(b"0\r\n\r\n")
        self.is_complete = True
        self._close_if_requested()

    def abort(self):
        """Resets the connection, so that an incomplete response cannot look complete."""
        self.is_complete = True
        self._connection.abort()

    async def wait_until_writable(self, timeout_s: float) -> bool:
        """Waits until the amount of unsent bytes is below `HIGH_WATER_BYTES`.

        Returns:
            False if the caller has not read enough within `timeout_s` seconds.
        """
        if self._connection.writable.is_set():
            return True
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                await self._connection.writable.wait()
        except TimeoutError:
            return False
        return True

    @property
    def unsent_bytes(self) -> int:
        """Number of written bytes that the system has not taken yet."""
        return self._connection.unsent_bytes

    def _close_if_requested(self):
        if self._close_after_response:
            self._connection.close()


class Connection(asyncio.Protocol):
    """One connection of a caller, as an asyncio protocol."""

    def __init__(self, server):
        self.server = server
        budget = server.intake.budget
        # Accounts of what the caller has sent and of what it has not taken.
        self.input = budget.open_account(server.request_kinds[0])
        self.output = budget.open_account(memory_budget.Kind.ANSWERS)
        self.served_count = 0
        self.writable = asyncio.Event()
        self.writable.set()
        self._transport = None
        self._parser = httptools.HttpRequestParser(self)
        self._request = None
        self._header_bytes = 0
        self._body_bytes = 0
        # Announced bytes of the present body that have not arrived.
        self._body_left_bytes = 0
        # Time at which the present request began or its body last made progress.
        self._progress_at = 0.0
        self._bytes_since_progress = 0
        self._queued_requests = []
        self._queued_bytes = 0
        # Bytes of the request in progress, and received ones that are not parsed yet because enough
        # requests are queued.
        self._serving_bytes = 0
        self._unparsed = b""
        # Whether reading is paused until there is room in the budget.
        self._is_held = False
        self._discarded_bytes = 0
        self._task = None
        # Whether the present request's caller waits for an interim response before it sends the
        # body.
        self._is_continue_due = False
        self._refusal_status = None
        self._last_active_at = clock.now()
        self._closed = False
        # Time at which the sending side was ended, in seconds of `core.clock`, or None.
        self._ended_at = None
        # Bytes written so far, the number of them that the system had taken at the latest check,
        # and the time at which this number last grew or nothing was left to take.
        self._written_bytes = 0
        self._taken_bytes = 0
        self._taken_at = self._last_active_at

    # Callbacks of the event loop.

    def connection_made(self, transport):
        """Registers the new connection with the server."""
        self._transport = transport
        transport.max_size = READ_BYTES
        transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)
        self.server.connections.add(self)
        self.server.intake.limit_connections(self.server)

    def data_received(self, data):
        """Feeds the parser. A malformed request is refused after earlier requests are answered."""
        self._last_active_at = clock.now()
        self.server.transferred_bytes += len(data)
        if self._refusal_status is not None or self._ended_at is not None:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > MAX_DISCARDED_BYTES:
                self._transport.pause_reading()
            return
        if self._unparsed:
            self._unparsed += data
        else:
            self._parse(data)
        # Counted first, so that a request can be refused before it is begun.
        self._update_input()
        self._start_next_request()

    def _parse(self, data):
        """Parses received bytes, until enough requests are queued."""
        # What is part of a body contains no further requests.
        if len(data) <= max(PARSE_BYTES, self._body_left_bytes):
            self._parse_part(data)
        else:
            for start in range(0, len(data), PARSE_BYTES):
                if len(self._queued_requests) >= MAX_PIPELINED_REQUESTS:
                    self._unparsed = data[start:]
                    break
                self._parse_part(data[start : start + PARSE_BYTES])
                if self._refusal_status is not None:
                    break
        if self._is_full:
            self._transport.pause_reading()

    def _parse_part(self, data):
        if self._request is None and not self._queued_requests and self._task is None:
            # The data begins a new request, whose head is counted from zero.
            self._header_bytes = 0
        self._header_bytes += len(data)
        body_bytes_before = self._body_bytes
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._record_refusal(400)
        except httptools.HttpParserError as error:
            if self._refusal_status is None:
                log.info("http: refused a malformed request: %s", error)
            self._record_refusal(self._refusal_status or 400)
        if self._body_bytes > body_bytes_before:
            self._header_bytes = 0
        # Chunk extensions and trailers are limited as well as the head.
        if self._request is not None and self._header_bytes > self.server.limits().header_bytes:
            self._record_refusal(431)

    def _update_input(self):
        """Counts what the caller has sent, and makes room if it is too much."""
        held_bytes = self._serving_bytes + self._queued_bytes + len(self._unparsed)
        request = self._request
        if request is not None:
            held_bytes += request.head_bytes + len(request.body)
            if not request.method:
                fields_bytes = memory_budget.FIELD_BYTES * len(request.headers)
                held_bytes += fields_bytes + self._header_bytes
        if self._is_held or len(self._queued_requests) >= MAX_PIPELINED_REQUESTS:
            # What arrives while reading is paused stays in the system.
            held_bytes += intakes.RECEIVE_BUFFER_BYTES
        account = self.input
        account.update_request(held_bytes, self.server.request_kinds)
        if account.is_over and held_bytes:
            self.server.intake.relieve_requests(self)

    def eof_received(self):
        """Closes the connection, because a caller that ends its side counts as disconnected."""
        return False

    def connection_lost(self, error):
        """Unregisters the connection and cancels its request in progress."""
        self._closed = True
        self.writable.set()
        self.server.connections.discard(self)
        self.server.intake.forget(self)
        self.input.update(0)
        self.output.update(0)
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self):
        """Makes writers wait, because the write buffer is above its high-water mark."""
        self.writable.clear()

    def resume_writing(self):
        """Lets writers continue, because the write buffer was drained."""
        self.writable.set()
        self.output.update(self.unsent_bytes)
        # The next request of the connection may have waited for the caller to read.
        self._start_next_request()

    # Callbacks of the HTTP parser.

    def on_message_begin(self):
        """Creates the next request."""
        self._request = Request(clock.now())
        self._progress_at = self._request.received_at
        self._bytes_since_progress = 0

    def on_url(self, url):
        """Adds a part of the request target."""
        self._request.request_target += url.decode("latin-1")

    def on_header(self, name, value):
        """Adds a header to the request; discards trailers."""
        if self._request.method:
            return
        text = name.decode("latin-1")
        content = value.decode("latin-1")
        self._request.headers.append((text, content))
        self._request.value_by_header.setdefault(text.lower(), content)

    def on_headers_complete(self):
        """Sets the method and checks the head's size.

        Raises:
            ValueError: The head or the announced body is too large.
        """
        request = self._request
        request.method = self._parser.get_method().decode("latin-1")
        request.keep_alive = self._parser.should_keep_alive()
        size = sum(len(name) + len(value) + 4 for name, value in request.headers)
        if size + len(request.request_target) > self.server.limits().header_bytes:
            self._refusal_status = 431
            raise ValueError("the head is too large")
        request.head_bytes += memory_budget.FIELD_BYTES * len(request.headers) + size
        length = request.value_by_header.get("content-length", "")
        self._body_left_bytes = int(length) if length.isdigit() else 0
        if self._body_left_bytes > self.server.max_body_bytes(request):
            self._refusal_status = 413
            raise ValueError("the announced body is too large")
        self._is_continue_due = request.value_by_header.get("expect", "").lower() == "100-continue"

    def on_body(self, body):
        """Adds a part of the body to the request.

        Raises:
            ValueError: The body is too large.
        """
        request = self._request
        self._is_continue_due = False
        self._body_bytes += len(body)
        self._body_left_bytes -= len(body)
        self._bytes_since_progress += len(body)
        if self._bytes_since_progress >= MIN_BODY_PROGRESS_BYTES:
            self._bytes_since_progress = 0
            self._progress_at = clock.now()
        request.body += body
        if len(request.body) > self.server.max_body_bytes(request):
            self._refusal_status = 413
            raise ValueError("the body is too large")

    def on_message_complete(self):
        """Queues the request."""
        self._is_continue_due = False
        self._queued_requests.append(self._request)
        self._queued_bytes += self._request.head_bytes + len(self._request.body)
        self._request = None
        self._header_bytes = 0

    def _record_refusal(self, status):
        self._refusal_status = status

    def _start_next_request(self):
        if self._task is not None or self._closed or self._ended_at is not None:
            return
        if not self.writable.is_set():
            # Answers would pile up for a caller that does not read them.
            return
        if self._queued_requests:
            request = self._queued_requests.pop(0)
            self._serving_bytes = request.head_bytes + len(request.body)
            self._queued_bytes -= self._serving_bytes
            self._task = asyncio.get_running_loop().create_task(self._serve(request))
            return
        if self._refusal_status is not None:
            Responder(self, False).send(self._refusal_status, [])
            return
        if self._is_continue_due:
            self._is_continue_due = False
            self._progress_at = clock.now()
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    async def _serve(self, request):
        responder = Responder(self, request.keep_alive)
        try:
            await self.server.handler(request, responder)
        except asyncio.CancelledError:
            if not self._closed:
                self._transport.abort()
            raise
        # An error in a handler must end only the request that it handles.
        except Exception:
            log.exception("http: the request handler raised an error")
            if responder.has_begun:
                responder.abort()
            else:
                responder.close_after_response()
                responder.send(500, [])
        finally:
            self._task = None
            self._serving_bytes = 0
        self.served_count += 1
        self._last_active_at = clock.now()
        if not responder.is_complete:
            responder.abort()
        if self._closed or self._ended_at is not None or self._transport.is_closing():
            self.input.update(0)
            return
        if self._unparsed and not self._queued_requests and self._refusal_status is None:
            data, self._unparsed = self._unparsed, b""
            self._parse(data)
        self._resume_reading()
        if self._queued_requests or self._request is not None:
            self._update_input()
        else:
            self.input.update(0)
        self._start_next_request()

    def _resume_reading(self):
        if not self._is_full and not self._is_held:
            self._transport.resume_reading()

    @property
    def _is_full(self):
        """Whether so many requests are queued that no more are read."""
        return bool(self._unparsed) or len(self._queued_requests) >= MAX_PIPELINED_REQUESTS

    # Methods for responders and the server.

    def write(self, data: bytes):
        """Writes bytes to the transport unless the connection is closing."""
        if self._ended_at is None and not self._transport.is_closing():
            self._written_bytes += len(data)
            self.server.transferred_bytes += len(data)
            self._transport.write(data)
            unsent_bytes = self._transport.get_write_buffer_size()
            if unsent_bytes or self.output.held_bytes:
                self.output.update(unsent_bytes)
                if self.output.is_over:
                    self.server.intake.relieve_answers()

    def close(self):
        """Ends the connection after all written bytes are sent.

        Input is discarded until the caller closes the connection or `LINGER_SECONDS` have passed.
        A close with unread input would reset the connection and could destroy the response.
        """
        if self._ended_at is not None or self._transport.is_closing():
            return
        self._ended_at = clock.now()
        self._request = None
        self._queued_requests.clear()
        self._queued_bytes = 0
        self._unparsed = b""
        self._is_held = False
        self.server.intake.forget(self)
        self.input.update(self._serving_bytes)
        try:
            self._transport.write_eof()
        except OSError:
            self._transport.abort()
            return
        self._transport.resume_reading()

    def close_for_stop(self):
        """Ends the connection unless a response is due; refuses a request that is partly read."""
        if self._task is not None or self._queued_requests:
            return
        if self._request is not None:
            Responder(self, False).send(503, [("Retry-After", str(CLOSING_RETRY_AFTER_SECONDS))])
            return
        self.close()

    def abort(self):
        """Closes the connection immediately and discards unsent bytes."""
        self._transport.abort()

    # Methods for the intake.

    @property
    def can_wait(self) -> bool:
        """Whether only reading adds to what the connection holds."""
        return self._request is not None and self._task is None and not self._queued_requests

    @property
    def peer_name(self):
        """Address of the caller."""
        return self._transport.get_extra_info("peername")

    @property
    def input_bytes(self) -> int:
        """Bytes that are counted for what the caller has sent."""
        return self.input.held_bytes

    def hold_reading(self):
        """Pauses reading until there is room."""
        self._is_held = True
        self._transport.pause_reading()
        self._update_input()

    def release_reading(self):
        """Reads again after `hold_reading`."""
        self._is_held = False
        self._progress_at = clock.now()
        self._bytes_since_progress = 0
        self._resume_reading()
        self._update_input()

    def claim(self, account, now: float, waiting_s: float | None):
        """Returns a `memory_budget.Claim` of an account, or None if it cannot give way."""
        if self._transport.is_closing():
            return None
        if account is self.output:
            return memory_budget.Claim(self, account.held_bytes, now - self._taken_at)
        if self._ended_at is not None:
            return None
        if self._request is None and not self._queued_requests and not self._unparsed:
            return None
        stalled_s = now - self._progress_at
        age_s = now - self.began_at
        return memory_budget.Claim(self, account.held_bytes, stalled_s, age_s, waiting_s)

    @property
    def began_at(self) -> float:
        """Time at which the request that is being read began, in seconds of `core.clock`."""
        return self._progress_at if self._request is None else self._request.received_at

    def refuse_for_memory(self):
        """Refuses a request that has not begun, with everything that was read of the connection."""
        if self._ended_at is not None or self._transport.is_closing():
            return
        if self._task is not None or self.unsent_bytes:
            self._transport.abort()
            return
        Responder(self, False).send(503, [("Retry-After", str(intakes.RETRY_AFTER_SECONDS))])

    def evict(self):
        """Closes the connection, whose caller cannot tell whether a request of it ran."""
        self.server.connections.discard(self)
        self._transport.abort()

    def idle_claim(self) -> memory_budget.IdleClaim:
        """Returns what the connection does at present."""
        is_serving = self.state in ("serving", "sending")
        active_at = self._progress_at if self._request is not None else self._last_active_at
        return memory_budget.IdleClaim(self, is_serving, self.served_count, active_at)

    @property
    def unsent_bytes(self) -> int:
        """Number of written bytes that the system has not taken yet."""
        return self._transport.get_write_buffer_size()

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress, queued or partly read, or a response is not sent."""
        return self.state in ("reading", "serving", "sending")

    @property
    def is_awaited(self) -> bool:
        """Whether a closing server waits: for a response, or for a request that crossed the end."""
        if self.is_busy or self._ended_at is None:
            return True
        return clock.now() - max(self._ended_at, self._last_active_at) < CROSSING_SECONDS

    @property
    def ends_after_response(self) -> bool:
        """Whether the present response is the last one.

        A draining server answers the requests that were read ahead.
        """
        return self.server.is_draining and not self._queued_requests

    @property
    def state(self) -> str:
        """One of `CONNECTION_STATES`."""
        if self._task is not None or self._queued_requests:
            return "serving"
        if self._request is not None:
            return "reading"
        if self.unsent_bytes:
            return "sending"
        return "idle" if self._ended_at is None else "ending"

    def close_if_expired(self, now: float):
        """Closes the connection if it was idle, or its request has been arriving, for too long.

        The same holds for a caller that takes nothing of a complete response. The deadline of a
        request in progress bounds the wait for its caller.
        """
        if self._transport.is_closing():
            return
        limits = self.server.limits()
        unsent_bytes = self.unsent_bytes
        taken_bytes = self._written_bytes - unsent_bytes
        if taken_bytes > self._taken_bytes or not unsent_bytes:
            self._taken_bytes, self._taken_at = taken_bytes, now
        self.output.update(unsent_bytes)
        if self._task is None and now - self._taken_at > limits.idle_timeout_s:
            self._transport.abort()
            return
        if self._ended_at is not None:
            if unsent_bytes:
                self._ended_at = now
            elif now - self._ended_at > LINGER_SECONDS:
                self._transport.abort()
            return
        if self._task is not None:
            return
        if self._request is not None:
            if now - self._progress_at <= limits.header_timeout_s:
                return
            if self._is_held:
                self.refuse_for_memory()
            else:
                Responder(self, False).send(408, [])
            return
        if now - self._last_active_at > limits.idle_timeout_s:
            self.close()


class Server:
    """HTTP server on one address.

    Attributes:
        handler: Coroutine function that serves a (`Request`, `Responder`).
        limits: Function that returns the `routing.Limits` in force.
        max_body_bytes: Function (request head) that returns the largest size of the request's body.
        connections: Set of open connections.
        is_draining: Whether each connection is closed after its present response.
        transferred_bytes: Bytes received from and written to callers since the start.
        intake: `intake.Intake`, which bounds what the connections hold.
        max_connections: Largest number of connections, 0 if unlimited.
        request_kinds: `memory_budget.Kind` of its small and of its large requests.
    """

    __slots__ = (
        "handler",
        "limits",
        "max_body_bytes",
        "connections",
        "is_draining",
        "transferred_bytes",
        "intake",
        "max_connections",
        "request_kinds",
        "_server",
        "_expiry_task",
    )

    def __init__(
        self,
        handler,
        limits=lambda: routing.DEFAULT_LIMITS,
        max_body_bytes=None,
        intake=None,
        listener=memory_budget.Listener.CALLERS,
    ):
        """Creates a server that has not started; most arguments are the attributes.

        Without `max_body_bytes`, the limits in force bound all bodies alike. Without `intake`, the
        server has one of its own. `listener` is the `memory_budget.Listener` whose share of the
        connections it gets.
        """
        self.handler = handler
        self.limits = limits
        self.max_body_bytes = max_body_bytes or (lambda request: self.limits().body_bytes)
        self.connections = set()
        self.is_draining = False
        self.transferred_bytes = 0
        self.intake = intake or intakes.Intake()
        self.intake.servers.append(self)
        self.max_connections = self.intake.budget.max_connections(listener)
        self.request_kinds = memory_budget.OTHERS_KINDS
        if listener == memory_budget.Listener.CALLERS:
            self.request_kinds = memory_budget.CALLERS_KINDS
        self._server = None
        self._expiry_task = None

    async def start(self, address: str):
        """Starts to listen on `ip:port`. Raises OSError if the address cannot be bound."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        sock = listening.open_listener(host, int(port), self.intake.receive_bytes)
        self._server = await loop.create_server(
            lambda: Connection(self), sock=sock, backlog=listening.ACCEPTED_PER_TURN
        )
        self._expiry_task = loop.create_task(self._close_expired())

    async def _close_expired(self):
        checked_at = clock.now()
        is_late = False
        while True:
            await asyncio.sleep(EXPIRY_CHECK_SECONDS)
            now = clock.now()
            was_late, is_late = is_late, now - checked_at > 2 * EXPIRY_CHECK_SECONDS
            checked_at = now
            if is_late and not was_late:
                # After a pause of this process, callers may have sent or read without a notice.
                continue
            for connection in list(self.connections):
                connection.close_if_expired(now)

    def busy_count(self) -> int:
        """Returns the number of connections with a request or with unsent bytes of a response."""
        return sum(connection.is_busy for connection in self.connections)

    def count_by_state(self) -> dict[str, int]:
        """Returns the number of connections by state."""
        count_by_state = dict.fromkeys(CONNECTION_STATES, 0)
        for connection in self.connections:
            count_by_state[connection.state] += 1
        return count_by_state

    def drain(self):
        """Closes connections after their present response; new ones are still accepted."""
        self.is_draining = True

    async def close(self, timeout_s: float = CLOSE_SECONDS):
        """Stops listening and closes all connections after the responses that are due.

        Args:
            timeout_s: Seconds after which the connections that are still open are reset.
        """
        end = clock.now() + timeout_s
        self.is_draining = True
        await asyncio.sleep(FINAL_READ_SECONDS)
        await self._stop_listening()
        await asyncio.sleep(FINAL_READ_SECONDS)
        while clock.now() < end:
            for connection in list(self.connections):
                connection.close_for_stop()
            if not any(connection.is_awaited for connection in self.connections):
                break
            await asyncio.sleep(CLOSE_POLL_SECONDS)
        self.abort()
        # Lets the event loop cancel the requests of these connections.
        await asyncio.sleep(CLOSE_POLL_SECONDS)

    async def _stop_listening(self):
        if self._server is None:
            return
        for listener in self._server.sockets:
            asyncio.get_running_loop().remove_reader(listener.fileno())
        # Lets the event loop set up the connections that it has accepted.
        await asyncio.sleep(0)
        self._server.close()

    def abort(self):
        """Stops listening and resets all connections."""
        if self._expiry_task is not None:
            self._expiry_task.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()
