"""HTTP application of a gateway: addresses, generations, calls, and target announcements."""

import orjson
from starlette import applications, responses, routing

from chiveswitch.core import codes

MAX_BODY_BYTES = 1024 * 1024


def error_response(code: codes.Code, message: str):
    """Returns the HTTP response of a result code."""
    meaning = codes.MEANING_BY_CODE[code]
    return responses.Response(
        orjson.dumps(codes.to_json(code, message)),
        status_code=meaning.http_status,
        media_type="application/json",
    )


def json_response(value, status: int = 200, headers=None):
    """Returns a JSON response."""
    return responses.Response(
        orjson.dumps(value), status_code=status, media_type="application/json", headers=headers
    )


async def read_json(request):
    """Reads a JSON object from the body, bounded in size.

    Returns:
        (object, None), or (None, error response).
    """
    data = bytearray()
    async for chunk in request.stream():
        data += chunk
        if len(data) > MAX_BODY_BYTES:
            return None, error_response(
                codes.Code.BODY_TOO_LARGE, f"the body is larger than {MAX_BODY_BYTES} bytes"
            )
    try:
        value = orjson.loads(bytes(data))
    except orjson.JSONDecodeError as error:
        return None, error_response(codes.Code.BAD_REQUEST, f"the body is not JSON: {error}")
    if not isinstance(value, dict):
        return None, error_response(codes.Code.BAD_REQUEST, "the body is not a JSON object")
    return value, None


def build_app(backend) -> applications.Starlette:
    """Returns the application.

    Args:
        backend: The gateway; see `chiveswitch.tools.gateway.Gateway`.
    """

    async def addresses(request):
        return json_response(backend.addresses(bearer(request), caller_key(request)))

    async def announce(request):
        body, error = await read_json(request)
        if error is not None:
            return error
        return json_response(backend.announce(body))

    async def generate(request):
        body, error = await read_json(request)
        if error is not None:
            return error
        return await backend.generate(
            bearer(request), request.headers.get("idempotency-key", ""), body
        )

    return applications.Starlette(
        routes=[
            routing.Route("/v1/addresses", addresses, methods=["GET"]),
            routing.Route("/v1/targets/announce", announce, methods=["POST"]),
            routing.Route("/v1/generations", generate, methods=["POST"]),
        ]
    )


def bearer(request) -> str:
    """Returns the bearer token of a request, or an empty string."""
    scheme, _, token = request.headers.get("authorization", "").partition(" ")
    return token if scheme.lower() == "bearer" else ""


def caller_key(request) -> str:
    """Returns what tells callers of one account apart: their IP number and port."""
    return f"{request.client.host}:{request.client.port}" if request.client else ""
