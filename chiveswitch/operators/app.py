"""Administration API of a control process: bundles, the audit trail and the status, over HTTP.

The actor of a change is the operator whose API key authenticated the request; a body cannot name
one. Each change needs an operation id in the header `Idempotency-Key`, so that a resend after a
lost answer gets the first result instead of a second change.
"""

import asyncio
import hashlib
import hmac
import logging
import re

import orjson
from starlette import applications, requests, routing

from chiveswitch.callers import app as callers_app
from chiveswitch.core import bundles, codes, control_state, settings

log = logging.getLogger("chiveswitch.operators")

wire = control_state.control_thrift

# An approval or a roll holds a digest and a signature only.
MAX_SMALL_BODY_BYTES = 4096
MAX_VERSION = 2**53
# A sender that stalls must not hold a partly received bundle of 24 MB for good.
BODY_SECONDS = 30.0
# Longer than a change of leader, shorter than the client's own limit of an attempt.
CONTROL_SECONDS = 5.0

OPERATION_ID = re.compile(r"[!-~]{1,200}")
VERSION = re.compile(r"[1-9][0-9]{0,15}")
DIGEST = re.compile(r"[0-9a-f]{64}")
SIGNATURE = re.compile(r"[0-9a-f]{128}")
ADDRESS = re.compile(r"[0-9A-Fa-f.:\[\]]+:[0-9]{1,5}")


def refused(code: codes.Code, message: str, **details):
    """Returns the HTTP response of a refusal, with details beside the fields of every error."""
    meaning = codes.MEANING_BY_CODE[code]
    return callers_app.json_response(
        {**codes.to_json(code, message), **details}, meaning.http_status
    )


def leader_address(message: str) -> str:
    """Returns the leader's address in the message of NOT_LEADER, or an empty text."""
    for candidate in ADDRESS.findall(message):
        if not settings.address_error("leader", candidate):
            return candidate
    return ""


def failure_response(failure: codes.Failure, **details):
    """Returns the HTTP response of a failure of the control object."""
    if failure.code is codes.Code.NOT_LEADER:
        details["leader"] = leader_address(failure.message)
    return refused(failure.code, failure.message, **details)


def problem_objects(problems: list) -> list:
    """Returns problems of a bundle as JSON objects."""
    return [{"place": problem.path, "message": problem.message} for problem in problems]


def invalid_response(problems: list):
    """Returns the HTTP response of a bundle with problems, all of them listed."""
    message = f"The bundle has {len(problems)} errors."
    if len(problems) == 1:
        message = f"The bundle has an error: {problems[0]!r}."
    return refused(codes.Code.BUNDLE_INVALID, message, problems=problem_objects(problems))


def entry_object(state: control_state.ControlState, entry) -> dict:
    """Returns what the API says of a stored bundle, without its content."""
    return {
        "version": entry.version,
        "digest": entry.digest.hex(),
        "writer": entry.writer,
        "approver": entry.approver,
        "in_force": entry.version == state.rolled_version,
        "bytes": len(entry.content),
    }


def audit_object(entry) -> dict:
    """Returns an entry of the audit trail as a JSON object."""
    return {
        "index": entry.index,
        "time_ms": entry.time_ms,
        "actor": entry.actor,
        "action": entry.action,
        "version": entry.version,
        "digest": entry.digest.hex(),
        "serial": entry.serial,
    }


def operator_of(token: str):
    """Returns a function of the state that finds the name of the operator with an API key."""
    # Starlette decodes header bytes as latin-1; the digest is over the bytes that were sent.
    digest = hashlib.sha256(token.encode("latin-1")).hexdigest()

    def find(state):
        for operator in state.operator_by_name.values():
            if hmac.compare_digest(operator.key_digest, digest):
                return operator.name
        return ""

    return find


async def read_body(request, limit: int):
    """Reads a body that is bounded in size and time.

    Returns:
        (bytes, None), or (None, error response).
    """
    data = bytearray()
    try:
        async with asyncio.timeout(BODY_SECONDS):
            async for chunk in request.stream():
                data += chunk
                if len(data) > limit:
                    message = f"The body is larger than {limit} bytes."
                    return None, refused(codes.Code.BODY_TOO_LARGE, message)
    except TimeoutError:
        message = f"The body did not arrive within {BODY_SECONDS:g} s."
        return None, refused(codes.Code.BAD_REQUEST, message)
    except requests.ClientDisconnect:
        return None, refused(codes.Code.BAD_REQUEST, "The connection closed within the body.")
    return bytes(data), None


async def read_fields(request, pattern_by_name: dict):
    """Reads a JSON object with exactly the given fields, each a text that matches its pattern.

    Returns:
        (object, None), or (None, error response that lists every error).
    """
    data, error = await read_body(request, MAX_SMALL_BODY_BYTES)
    if error is not None:
        return None, error
    try:
        body = orjson.loads(data)
    except orjson.JSONDecodeError as decode_error:
        return None, refused(codes.Code.BAD_REQUEST, f"The body is not JSON: {decode_error}")
    if not isinstance(body, dict):
        return None, refused(codes.Code.BAD_REQUEST, "The body is not a JSON object.")
    errors = [f"{name[:100]} is not a known field" for name in body if name not in pattern_by_name]
    for name, pattern in pattern_by_name.items():
        value = body.get(name)
        if not isinstance(value, str) or not pattern.fullmatch(value):
            errors.append(f"{name} must match {pattern.pattern}")
    if errors:
        return None, refused(codes.Code.BAD_REQUEST, "; ".join(errors) + ".")
    return body, None


def version_of(request):
    """Returns the version in the path, or None when it is not a version number."""
    text = request.path_params["version"]
    if not VERSION.fullmatch(text) or int(text) > MAX_VERSION:
        return None
    return int(text)


def parse_content(data: bytes):
    """Parses a bundle; returns (version, digest, canonical JSON), or its list of problems."""
    parsed = bundles.parse(data)
    if parsed.is_error():
        return parsed.error
    return parsed.ok.version, bundles.content_digest(parsed.ok), bundles.canonical(parsed.ok)


async def read_bundle(request):
    """Reads and checks the bundle in the body.

    Returns:
        ((version, digest, canonical JSON), None), or (None, error response).
    """
    data, error = await read_body(request, bundles.MAX_BYTES)
    if error is not None:
        return None, error
    # A bundle of many MB takes long to check, and the control process must keep its heartbeats.
    parsed = await asyncio.to_thread(parse_content, data)
    if isinstance(parsed, list):
        return None, invalid_response(parsed)
    return parsed, None


async def confirmed_read(control, function):
    """Returns the Result of a read of the state, with a limit of time."""
    try:
        async with asyncio.timeout(CONTROL_SECONDS):
            return await control.read(function)
    except TimeoutError:
        message = f"A majority of control did not confirm the read within {CONTROL_SECONDS:g} s."
        return codes.failure(codes.Code.CONTROL_UNAVAILABLE, message)


async def propose(control, record):
    """Returns the Result of a change; an end that nobody knows becomes MAY_HAVE_RUN."""
    try:
        async with asyncio.timeout(CONTROL_SECONDS):
            result = await control.propose(record)
    except TimeoutError:
        message = f"Control did not confirm the change within {CONTROL_SECONDS:g} s."
        return codes.failure(codes.Code.MAY_HAVE_RUN, message)
    except Exception:
        log.exception("operators: the proposal of a change failed")
        return codes.failure(codes.Code.MAY_HAVE_RUN, "The proposal of the change failed.")
    if (
        result.is_ok()
        or codes.MEANING_BY_CODE[result.error.code].run is not codes.RunStatus.UNKNOWN
    ):
        return result
    return codes.failure(codes.Code.MAY_HAVE_RUN, result.error.message)


def winner_of(version: int):
    """Returns a function of the state that describes the bundle which took a version's place."""

    def find(state):
        entry = state.bundle_by_version.get(version) or state.bundle_by_version.get(
            state.latest_version
        )
        found = {"latest_version": state.latest_version}
        if entry is not None:
            found["winner"] = entry_object(state, entry)
        return found

    return find


async def change_response(control, record, version: int):
    """Proposes a change and returns the HTTP response of its result."""
    result = await propose(control, record)
    operation = {"operation_id": record.operation_id}
    if result.is_ok():
        return callers_app.json_response(
            {
                "code": int(codes.Code.OK),
                "name": codes.Code.OK.name,
                "result": result.ok.kind,
                "actor": record.actor,
                "version": version,
                "digest": result.ok.digest.hex(),
                "serial": result.ok.number if result.ok.kind == "rolled" else None,
                **operation,
            }
        )
    failure = result.error
    if failure.code is codes.Code.MAY_HAVE_RUN:
        message = (
            f"{failure.message} The change may have been made: resend it under the same"
            f" operation id {record.operation_id} to learn its result."
        )
        return refused(failure.code, message, **operation)
    if failure.code is codes.Code.VERSION_CONFLICT:
        winner = await confirmed_read(control, winner_of(version))
        if winner.is_ok():
            operation.update(winner.ok)
    return failure_response(failure, **operation)


def build_app(control) -> applications.Starlette:
    """Returns the application.

    Args:
        control: Object of the control process with `async propose(command) -> Result` of an Answer
            or a `codes.Failure`, `async read(function) -> Result` of what `function(state)` returns
            after a majority confirmed the read, and `status() -> dict`. The message of NOT_LEADER
            contains the leader's administration address, `ip:port`, when it is known.
    """

    async def authenticated(request):
        """Returns (operator's name, None), or ("", error response)."""
        token = callers_app.bearer_token(request)
        result = await confirmed_read(control, operator_of(token))
        if result.is_error():
            return "", failure_response(result.error)
        if not token or not result.ok:
            message = "The API key is not that of an operator."
            return "", refused(codes.Code.UNAUTHENTICATED, message)
        return result.ok, None

    async def changer(request):
        """Returns (operator's name, operation id, None), or ("", "", error response)."""
        actor, error = await authenticated(request)
        if error is not None:
            return "", "", error
        operation_id = request.headers.get("idempotency-key", "")
        if not operation_id:
            message = "A change needs an operation id in the header Idempotency-Key."
            return "", "", refused(codes.Code.KEY_REQUIRED, message)
        if not OPERATION_ID.fullmatch(operation_id):
            message = "The operation id is not 1 to 200 printable ASCII characters without spaces."
            return "", "", refused(codes.Code.BAD_REQUEST, message)
        return actor, operation_id, None

    async def respond_read(request, function):
        """Returns the response with what a function of the state returns, for operators only."""
        _, error = await authenticated(request)
        if error is not None:
            return error
        result = await confirmed_read(control, function)
        if result.is_error():
            return failure_response(result.error)
        if isinstance(result.ok, codes.Failure):
            return failure_response(result.ok)
        return callers_app.json_response(result.ok)

    async def check(request):
        _, error = await authenticated(request)
        if error is not None:
            return error
        parsed, error = await read_bundle(request)
        if error is not None:
            return error
        version, digest, _ = parsed
        return callers_app.json_response(
            {"valid": True, "version": version, "digest": digest.hex()}
        )

    async def write(request):
        actor, operation_id, error = await changer(request)
        if error is not None:
            return error
        parsed, error = await read_bundle(request)
        if error is not None:
            return error
        version, _, content = parsed
        # The canonical JSON fills absent fields in and may pass the limit although the body did
        # not; the state judges the content that it would store.
        record = wire.WriteBundle(operation_id=operation_id, actor=actor, content=content)
        return await change_response(control, record, version)

    async def change_version(request, pattern_by_name, kind):
        """Proposes a change of the version in the path; `kind` takes the body's bytes by name."""
        actor, operation_id, error = await changer(request)
        if error is not None:
            return error
        version = version_of(request)
        if version is None:
            return refused(codes.Code.BAD_REQUEST, "The path has no valid version number.")
        body, error = await read_fields(request, pattern_by_name)
        if error is not None:
            return error
        fields = {name: bytes.fromhex(body[name]) for name in pattern_by_name}
        record = kind(operation_id=operation_id, actor=actor, version=version, **fields)
        return await change_response(control, record, version)

    async def approve(request):
        patterns = {"digest": DIGEST, "signature": SIGNATURE}
        return await change_version(request, patterns, wire.ApproveBundle)

    async def roll(request):
        return await change_version(request, {"digest": DIGEST}, wire.RollBundle)

    def bundle_reader(version: int):
        """Returns a function of the state that describes a bundle; 0 is the one in force."""

        def find(state):
            entry = state.bundle_by_version.get(version or state.rolled_version)
            if entry is None:
                message = f"bundle version {version} is not there"
                if not version:
                    message = "no bundle is in force yet"
                return codes.Failure(codes.Code.BUNDLE_UNKNOWN, message)
            return {
                **entry_object(state, entry),
                "serial": state.serial,
                "content": orjson.Fragment(entry.content),
            }

        return find

    async def list_bundles(request):
        return await respond_read(
            request,
            lambda state: {
                "serial": state.serial,
                "version_in_force": state.rolled_version,
                "latest_version": state.latest_version,
                "bundles": [
                    entry_object(state, state.bundle_by_version[version])
                    for version in sorted(state.bundle_by_version)
                ],
            },
        )

    async def in_force(request):
        return await respond_read(request, bundle_reader(0))

    async def show(request):
        version = version_of(request)
        if version is None:
            return refused(codes.Code.BAD_REQUEST, "The path has no valid version number.")
        return await respond_read(request, bundle_reader(version))

    async def audit(request):
        return await respond_read(
            request, lambda state: {"entries": [audit_object(entry) for entry in state.audit]}
        )

    async def status(_request):
        # Needs no key, like the status of a gateway: without a majority no key can be confirmed,
        # and that is when an operator needs the status most.
        return callers_app.json_response(control.status())

    async def unknown_path(_request, error):
        message = "There is no such path or method."
        value = codes.to_json(codes.Code.BAD_REQUEST, message)
        return callers_app.json_response(value, error.status_code, error.headers)

    async def internal(_request, _error):
        return refused(codes.Code.INTERNAL, "The request met an error in the control process.")

    return applications.Starlette(
        routes=[
            routing.Route("/v1/bundles/check", check, methods=["POST"]),
            routing.Route("/v1/bundles", write, methods=["POST"]),
            routing.Route("/v1/bundles", list_bundles, methods=["GET"]),
            routing.Route("/v1/bundles/in-force", in_force, methods=["GET"]),
            routing.Route("/v1/bundles/{version}", show, methods=["GET"]),
            routing.Route("/v1/bundles/{version}/approvals", approve, methods=["POST"]),
            routing.Route("/v1/bundles/{version}/roll", roll, methods=["POST"]),
            routing.Route("/v1/audit", audit, methods=["GET"]),
            routing.Route("/v1/status", status, methods=["GET"]),
        ],
        exception_handlers={404: unknown_path, 405: unknown_path, Exception: internal},
    )
