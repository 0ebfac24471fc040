"""HTTP application of a gateway: addresses, generations, calls and target announcements."""

import asyncio
import base64
import binascii

import orjson
from starlette import applications, responses, routing

from chiveswitch.core import codes, directory

MAX_BODY_BYTES = 1024 * 1024
MAX_ID_LENGTH = 200
# A refusal within this time becomes the HTTP status. After it the response starts, so that the
# caller gets heartbeats, and a later refusal is sent inside the stream.
REFUSAL_WAIT_SECONDS = 0.5


def error_response(code: codes.Code, message: str, is_first_send: bool = True):
    """Returns the HTTP response of a result code; see `codes.to_json`."""
    meaning = codes.MEANING_BY_CODE[code]
    return json_response(codes.to_json(code, message, is_first_send), meaning.http_status)


def failure_response(failure: codes.Failure, is_first_send: bool = True):
    """Returns the HTTP response of a `codes.Failure`."""
    return error_response(failure.code, failure.message, is_first_send)


def json_response(value, status: int = 200, headers=None):
    """Returns a JSON response."""
    return responses.Response(
        orjson.dumps(value), status_code=status, media_type="application/json", headers=headers
    )


def raw_response(body: bytes, status: int):
    """Returns a target's response unchanged.

    Args:
        body: Body of the response; empty if control did not record it because it exceeds the limit.
        status: HTTP status of the response; 0 becomes 200.
    """
    return responses.Response(body, status_code=status or 200, media_type="application/json")


async def read_json(request):
    """Reads a JSON object of at most `MAX_BODY_BYTES` from the body.

    Returns:
        (object, None), or (None, error response).
    """
    data = bytearray()
    async for chunk in request.stream():
        data += chunk
        if len(data) > MAX_BODY_BYTES:
            return None, error_response(
                codes.Code.BODY_TOO_LARGE, f"The body is larger than {MAX_BODY_BYTES} bytes."
            )
    try:
        value = orjson.loads(bytes(data))
    except orjson.JSONDecodeError as error:
        return None, error_response(codes.Code.BAD_REQUEST, f"The body is not JSON: {error}")
    if not isinstance(value, dict):
        return None, error_response(codes.Code.BAD_REQUEST, "The body is not a JSON object.")
    return value, None


def check_fields(body: dict, type_by_name: dict):
    """Returns an error response that lists every missing or mistyped field, or None."""
    errors = []
    for name, kind in type_by_name.items():
        value = body.get(name)
        # Python counts a boolean as an int, but in JSON it is not a number.
        if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
            errors.append(f"{name} must be a {kind.__name__}")
    if errors:
        return error_response(codes.Code.BAD_REQUEST, "; ".join(errors) + ".")
    return None


def parse_event_id(text: str):
    """Parses an event id `generation.answer:offset`.

    Returns:
        (answer id, generation number, token offset); ("", None, 0) for an empty text, or None for
        an invalid one.
    """
    if not text:
        return "", None, 0
    name, _, offset = text.partition(":")
    number, _, answer = name.partition(".")
    if not (number.isascii() and number.isdigit() and offset.isascii() and offset.isdigit()):
        return None
    return answer, int(number), int(offset)


def is_first_send(request) -> bool:
    """Returns whether the caller states that it never sent this request before."""
    return request.headers.get("x-first-send") == "true"


def bearer_token(request) -> str:
    """Returns the bearer token of a request, or an empty string."""
    scheme, _, token = request.headers.get("authorization", "").partition(" ")
    return token if scheme.lower() == "bearer" else ""


def parse_announcement(body: dict):
    """Returns the `directory.Announcement` of a JSON object, or None if it is invalid."""
    try:
        description = directory.Description(
            id=_bounded_text(body["id"]),
            kind=body["kind"],
            availability_zone=_bounded_text(body["availability_zone"]),
            address=_bounded_text(body["address"]),
            incarnation=int(body["incarnation"]),
            models=[[_bounded_text(part) for part in model] for model in body["models"]],
            role=_bounded_text(body["role"]),
            capacity=max(1, int(body["load"]["capacity"])),
            warm_prefixes=[int(prefix) for prefix in body["warm"]],
            honours_fencing=bool(body["honours_fencing"]),
            services=[_bounded_text(name) for name in body["services"]],
        )
        if description.kind not in ("engine", "service") or body["state"] not in directory.STATES:
            return None
        return directory.Announcement(
            description,
            int(body["sequence"]),
            body["state"],
            int(body["load"]["running"]),
            int(body["load"]["queued"]),
            base64.b64decode(body["ticket"], validate=True),
        )
    except (KeyError, TypeError, ValueError, AttributeError, binascii.Error):
        return None


def _bounded_text(value) -> str:
    """Returns a value that is a text of at most `MAX_ID_LENGTH`; raises ValueError otherwise."""
    if not isinstance(value, str) or len(value) > MAX_ID_LENGTH:
        raise ValueError(value)
    return value


def build_app(backend) -> applications.Starlette:
    """Returns the application.

    Args:
        backend: The gateway; see `chiveswitch.tools.gateway.Gateway`.
    """

    def authenticate_request(request):
        """Returns (account, None), or ("", error response)."""
        account = backend.authenticate(bearer_token(request))
        if account:
            return account, None
        if not backend.has_bundle():
            return "", error_response(
                codes.Code.BUNDLE_STALE, "This gateway has not yet received a bundle from control."
            )
        return "", error_response(codes.Code.UNAUTHENTICATED, "The API key is unknown.")

    async def respond(reader):
        """Returns the error response of an early refusal, or a response that drains the reader."""
        failure = None
        try:
            async with asyncio.timeout(REFUSAL_WAIT_SECONDS):
                failure = await asyncio.shield(reader.opened)
        except TimeoutError:
            if not reader.opened.done():
                reader.opened.set_result(None)
        except asyncio.CancelledError:
            backend.reader_disconnected(reader)
            raise
        headers = {"x-request-id": reader.key[1]}
        if failure is not None:
            backend.discard_reader(reader)
            # The gateway reports a successful cancellation as a failure with the code OK.
            if failure.code is codes.Code.OK:
                return json_response({"cancelled": True}, headers=headers)
            return failure_response(failure, reader.is_first_send)
        media_type = "text/event-stream" if reader.streamed else "application/json"
        return responses.StreamingResponse(
            reader.body(), media_type=media_type, headers={**headers, "cache-control": "no-store"}
        )

    async def addresses(request):
        account = backend.authenticate(bearer_token(request))
        host = request.client.host if request.client else ""
        port = request.client.port if request.client else 0
        return json_response(backend.addresses(account, f"{host}:{port}"))

    async def announce(request):
        body, error = await read_json(request)
        if error is not None:
            return error
        announcement = parse_announcement(body)
        if announcement is None:
            return error_response(codes.Code.BAD_REQUEST, "The announcement is invalid.")
        ticket = backend.announce(announcement)
        return json_response({"ticket": base64.b64encode(ticket).decode()})

    async def generate(request):
        account, error = authenticate_request(request)
        if error is not None:
            return error
        body, error = await read_json(request)
        if error is None:
            error = check_fields(body, {"service": str, "prompt": str, "max_tokens": int})
        if error is not None:
            return error
        request_id = request.headers.get("idempotency-key", "")
        if len(request_id) > MAX_ID_LENGTH:
            return error_response(
                codes.Code.BAD_REQUEST, f"The request id is longer than {MAX_ID_LENGTH} characters."
            )
        is_initial_send = not request_id or is_first_send(request)
        reader = backend.submit(
            account,
            request_id,
            is_initial_send,
            body,
            body.get("stream", True) is not False,
            request.headers.get("traceparent", ""),
        )
        return await respond(reader)

    async def attach(request):
        account, error = authenticate_request(request)
        if error is not None:
            return error
        position = parse_event_id(request.headers.get("last-event-id", ""))
        if position is None:
            return error_response(
                codes.Code.BAD_REQUEST,
                "The header Last-Event-Id must have the form generation.answer:offset.",
            )
        reader = backend.attach(
            account,
            request.path_params["request_id"],
            position,
            request.query_params.get("stream", "true") != "false",
            request.headers.get("traceparent", ""),
        )
        return await respond(reader)

    async def cancel(request):
        account, error = authenticate_request(request)
        if error is not None:
            return error
        return await respond(backend.cancel(account, request.path_params["request_id"]))

    async def call(request):
        account, error = authenticate_request(request)
        if error is not None:
            return error
        body, error = await read_json(request)
        if error is None:
            error = check_fields(body, {"service": str})
        if error is not None:
            return error
        return await backend.call(
            account,
            request.headers.get("idempotency-key", ""),
            is_first_send(request),
            body["service"],
            body.get("body"),
            request.headers.get("traceparent", ""),
        )

    async def status(_request):
        return json_response(backend.status())

    generation_path = "/v1/generations/{request_id}"
    return applications.Starlette(
        routes=[
            routing.Route("/v1/addresses", addresses, methods=["GET"]),
            routing.Route("/v1/targets/announce", announce, methods=["POST"]),
            routing.Route("/v1/generations", generate, methods=["POST"]),
            routing.Route(generation_path, attach, methods=["GET"]),
            routing.Route(generation_path, cancel, methods=["DELETE"]),
            routing.Route("/v1/calls", call, methods=["POST"]),
            routing.Route("/v1/status", status, methods=["GET"]),
        ]
    )
