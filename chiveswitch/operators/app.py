"""HTTP administration API of a control process: bundles, the audit trail and the status.

The actor of a change is the operator whose API key authenticated the request; the body cannot name
one. Each change needs an operation id in the header `Idempotency-Key`, so that a resend after a
lost response returns the first result instead of making a second change.
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

control_thrift = control_state.control_thrift

# An approval holds a digest and a signature, a roll only a digest.
MAX_SMALL_BODY_BYTES = 4096
MAX_VERSION = 2**53
# A stalled client must not keep a partly received bundle of up to 24 MB in memory indefinitely.
BODY_TIMEOUT_SECONDS = 30.0
# Longer than a leader election, shorter than the client's timeout of one attempt.
CONTROL_TIMEOUT_SECONDS = 5.0

OPERATION_ID = re.compile(r"[!-~]{1,200}")
VERSION = re.compile(r"[1-9][0-9]{0,15}")
DIGEST = re.compile(r"[0-9a-f]{64}")
SIGNATURE = re.compile(r"[0-9a-f]{128}")
ADDRESS = re.compile(r"[0-9A-Fa-f.:\[\]]+:[0-9]{1,5}")


def refusal_response(code: codes.Code, message: str, **details):
    """Returns the HTTP response of a refusal.

    Args:
        code: The numbered code.
        message: What was refused, in a sentence.
        **details: Fields added to those of every error.
    """
    meaning = codes.MEANING_BY_CODE[code]
    return callers_app.json_response(
        {**codes.to_json(code, message), **details}, meaning.http_status
    )


def leader_address(message: str) -> str:
    """Returns the first valid address in the message of NOT_LEADER, or an empty text."""
    for candidate in ADDRESS.findall(message):
        if not settings.address_error("leader", candidate):
            return candidate
    return ""


def failure_response(failure: codes.Failure, **details):
    """Returns the HTTP response of a failure from the control object."""
    if failure.code is codes.Code.NOT_LEADER:
        details["leader"] = leader_address(failure.message)
    return refusal_response(failure.code, failure.message, **details)


def problem_objects(problems: list) -> list:
    """Returns the problems of a bundle as JSON objects."""
    return [{"place": problem.path, "message": problem.message} for problem in problems]


def invalid_response(problems: list):
    """Returns the HTTP response that lists all problems of a bundle."""
    message = f"The bundle has {len(problems)} errors."
    if len(problems) == 1:
        message = f"The bundle has an error: {problems[0]!r}."
    return refusal_response(codes.Code.BUNDLE_INVALID, message, problems=problem_objects(problems))


def entry_object(state: control_state.ControlState, entry) -> dict:
    """Returns a stored bundle as a JSON object, without its content."""
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


def operator_finder(api_key: str):
    """Returns a function that finds the name of the operator with an API key in the state."""
    # Starlette decodes header bytes as latin-1; the digest covers the bytes that were sent.
    digest = hashlib.sha256(api_key.encode("latin-1")).hexdigest()

    def find(state):
        for operator in state.operator_by_name.values():
            if hmac.compare_digest(operator.key_digest, digest):
                return operator.name
        return ""

    return find


async def read_body(request, limit: int):
    """Reads the body of a request within a size limit and `BODY_TIMEOUT_SECONDS`.

    Args:
        request: The request.
        limit: Largest size in bytes.

    Returns:
        (bytes, None), or (None, error response).
    """
    data = bytearray()
    try:
        async with asyncio.timeout(BODY_TIMEOUT_SECONDS):
            async for chunk in request.stream():
                data += chunk
                if len(data) > limit:
                    message = f"The body is larger than {limit} bytes."
                    return None, refusal_response(codes.Code.BODY_TOO_LARGE, message)
    except TimeoutError:
        message = f"The body did not arrive within {BODY_TIMEOUT_SECONDS:g} s."
        return None, refusal_response(codes.Code.BAD_REQUEST, message)
    except requests.ClientDisconnect:
        return None, refusal_response(
            codes.Code.BAD_REQUEST, "The connection closed before the end of the body."
        )
    return bytes(data), None


async def read_fields(request, pattern_by_name: dict):
    """Reads a JSON object with exactly the given fields, each a string that matches its pattern.

    Returns:
        (object, None), or (None, error response that lists every error).
    """
    data, error = await read_body(request, MAX_SMALL_BODY_BYTES)
    if error is not None:
        return None, error
    try:
        body = orjson.loads(data)
    except orjson.JSONDecodeError as decode_error:
        return None, refusal_response(
            codes.Code.BAD_REQUEST, f"The body is not JSON: {decode_error}"
        )
    if not isinstance(body, dict):
        return None, refusal_response(codes.Code.BAD_REQUEST, "The body is not a JSON object.")
    errors = [f"{name[:100]} is not a known field" for name in body if name not in pattern_by_name]
    for name, pattern in pattern_by_name.items():
        value = body.get(name)
        if not isinstance(value, str) or not pattern.fullmatch(value):
            errors.append(f"{name} must be a string that matches {pattern.pattern}")
    if errors:
        return None, refusal_response(codes.Code.BAD_REQUEST, "; ".join(errors) + ".")
    return body, None


def parse_version(request):
    """Returns the bundle version in the path, or None if it is not a valid version number."""
    text = request.path_params["version"]
    if not VERSION.fullmatch(text) or int(text) > MAX_VERSION:
        return None
    return int(text)


def parse_content(data: bytes):
    """Returns (version, digest, canonical JSON) of a bundle, or the list of its problems."""
    parsed = bundles.parse(data)
    if parsed.is_error():
        return parsed.error
    return parsed.ok.version, bundles.content_digest(parsed.ok), bundles.canonical(parsed.ok)


async def read_bundle(request):
    """Reads and validates the bundle in the body.

    Returns:
        ((version, digest, canonical JSON), None), or (None, error response).
    """
    data, error = await read_body(request, bundles.MAX_BYTES)
    if error is not None:
        return None, error
    # Checking a bundle of many MB takes long. It runs in a thread, so that the control process
    # continues to send heartbeats.
    parsed = await asyncio.to_thread(parse_content, data)
    if isinstance(parsed, list):
        return None, invalid_response(parsed)
    return parsed, None


async def confirmed_read(control, function):
    """Returns the Result of a read of the state, confirmed within `CONTROL_TIMEOUT_SECONDS`."""
    try:
        async with asyncio.timeout(CONTROL_TIMEOUT_SECONDS):
            return await control.read(function)
    except TimeoutError:
        message = (
            f"A majority of control did not confirm the read within {CONTROL_TIMEOUT_SECONDS:g} s."
        )
        return codes.failure(codes.Code.CONTROL_UNAVAILABLE, message)


async def propose(control, record):
    """Returns the Result of a change, with MAY_HAVE_RUN if its outcome is unknown."""
    try:
        async with asyncio.timeout(CONTROL_TIMEOUT_SECONDS):
            result = await control.propose(record)
    except TimeoutError:
        message = f"Control did not confirm the change within {CONTROL_TIMEOUT_SECONDS:g} s."
        return codes.failure(codes.Code.MAY_HAVE_RUN, message)
    except Exception:
        log.exception("operators: proposing a change raised an exception")
        return codes.failure(codes.Code.MAY_HAVE_RUN, "Proposing the change raised an exception.")
    if (
        result.is_ok()
        or codes.MEANING_BY_CODE[result.error.code].run is not codes.RunStatus.UNKNOWN
    ):
        return result
    return codes.failure(codes.Code.MAY_HAVE_RUN, result.error.message)


def conflict_reader(version: int):
    """Returns a function that describes the bundle in the state that conflicts with a version.

    This is the bundle written under the version or, if there is none, the latest bundle.
    """

    def describe(state):
        entry = state.bundle_by_version.get(version) or state.bundle_by_version.get(
            state.latest_version
        )
        conflict = {"latest_version": state.latest_version}
        if entry is not None:
            conflict["winner"] = entry_object(state, entry)
        return conflict

    return describe


async def change_response(control, record, version: int):
    """Proposes a change and returns the HTTP response of its result."""
    result = await propose(control, record)
    details = {"operation_id": record.operation_id}
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
                **details,
            }
        )
    failure = result.error
    if failure.code is codes.Code.MAY_HAVE_RUN:
        message = (
            f"{failure.message} The change may have been made: resend it under the same"
            f" operation id {record.operation_id} to get its result."
        )
        return refusal_response(failure.code, message, **details)
    if failure.code is codes.Code.VERSION_CONFLICT:
        conflict = await confirmed_read(control, conflict_reader(version))
        if conflict.is_ok():
            details.update(conflict.ok)
    return failure_response(failure, **details)


def build_app(control) -> applications.Starlette:
    """Returns the application.

    Args:
        control: Object of the control process with `async propose(command) -> Result` of an Answer
            or a `codes.Failure`, `async read(function) -> Result` of what `function(state)` returns
            after a majority confirmed the read, and `status() -> dict`. The message of NOT_LEADER
            contains the leader's administration address, `ip:port`, if it is known.
    """

    async def authenticate(request):
        """Returns (operator's name, None), or ("", error response)."""
        api_key = callers_app.bearer_token(request)
        result = await confirmed_read(control, operator_finder(api_key))
        if result.is_error():
            return "", failure_response(result.error)
        if not api_key or not result.ok:
            message = "The API key does not belong to an operator."
            return "", refusal_response(codes.Code.UNAUTHENTICATED, message)
        return result.ok, None

    async def authenticate_change(request):
        """Returns (operator's name, operation id, None), or ("", "", error response)."""
        actor, error = await authenticate(request)
        if error is not None:
            return "", "", error
        operation_id = request.headers.get("idempotency-key", "")
        if not operation_id:
            message = "A change needs an operation id in the header Idempotency-Key."
            return "", "", refusal_response(codes.Code.KEY_REQUIRED, message)
        if not OPERATION_ID.fullmatch(operation_id):
            message = "The operation id must be 1 to 200 printable ASCII characters without spaces."
            return "", "", refusal_response(codes.Code.BAD_REQUEST, message)
        return actor, operation_id, None

    async def respond_read(request, function):
        """Returns the HTTP response with the result of a function of the state.

        Only operators may read the state.
        """
        _, error = await authenticate(request)
        if error is not None:
            return error
        result = await confirmed_read(control, function)
        if result.is_error():
            return failure_response(result.error)
        if isinstance(result.ok, codes.Failure):
            return failure_response(result.ok)
        return callers_app.json_response(result.ok)

    async def check(request):
        _, error = await authenticate(request)
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
        actor, operation_id, error = await authenticate_change(request)
        if error is not None:
            return error
        parsed, error = await read_bundle(request)
        if error is not None:
            return error
        version, _, content = parsed
        # Canonical JSON contains the defaults of absent fields, so it can exceed the size limit
        # although the body did not. The state checks the content that it would store.
        record = control_thrift.WriteBundle(operation_id=operation_id, actor=actor, content=content)
        return await change_response(control, record, version)

    async def change_version(request, pattern_by_name, command_class):
        """Proposes a change of the version in the path.

        Args:
            request: The request.
            pattern_by_name: Patterns of the body's fields, which hold hexadecimal digits.
            command_class: Command struct that receives the decoded fields as keyword arguments.
        """
        actor, operation_id, error = await authenticate_change(request)
        if error is not None:
            return error
        version = parse_version(request)
        if version is None:
            return refusal_response(codes.Code.BAD_REQUEST, "The path has no valid version number.")
        body, error = await read_fields(request, pattern_by_name)
        if error is not None:
            return error
        fields = {name: bytes.fromhex(body[name]) for name in pattern_by_name}
        record = command_class(operation_id=operation_id, actor=actor, version=version, **fields)
        return await change_response(control, record, version)

    async def approve(request):
        patterns = {"digest": DIGEST, "signature": SIGNATURE}
        return await change_version(request, patterns, control_thrift.ApproveBundle)

    async def roll(request):
        return await change_version(request, {"digest": DIGEST}, control_thrift.RollBundle)

    def bundle_reader(version: int):
        """Returns a function that describes a version in the state; 0 means the one in force."""

        def describe(state):
            entry = state.bundle_by_version.get(version or state.rolled_version)
            if entry is None:
                message = f"bundle version {version} does not exist"
                if not version:
                    message = "no bundle is in force yet"
                return codes.Failure(codes.Code.BUNDLE_UNKNOWN, message)
            return {
                **entry_object(state, entry),
                "serial": state.serial,
                "content": orjson.Fragment(entry.content),
            }

        return describe

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
        version = parse_version(request)
        if version is None:
            return refusal_response(codes.Code.BAD_REQUEST, "The path has no valid version number.")
        return await respond_read(request, bundle_reader(version))

    async def audit(request):
        return await respond_read(
            request, lambda state: {"entries": [audit_object(entry) for entry in state.audit]}
        )

    async def status(_request):
        # Needs no API key, like the status of a gateway: without a majority no key can be verified,
        # and that is when an operator needs the status most.
        return callers_app.json_response(control.status())

    async def unknown_path(_request, error):
        message = "The path or the method does not exist."
        value = codes.to_json(codes.Code.BAD_REQUEST, message)
        return callers_app.json_response(value, error.status_code, error.headers)

    async def internal_error(_request, _error):
        return refusal_response(
            codes.Code.INTERNAL, "The control process failed with an internal error."
        )

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
        exception_handlers={404: unknown_path, 405: unknown_path, Exception: internal_error},
    )
