"""Client for orders to engines.

It checks right before the first byte whether an order may still be sent, and reads an engine's
state back. Responses are decoded strictly, because an engine may send malformed ones.
"""

import enum

import aiosonic
import orjson

from chiveswitch.core import clock, orders
from chiveswitch.targets import checked_client

RESPONSE_TIMEOUT_SECONDS = 1.0
TIMEOUTS = aiosonic.timeout.Timeouts(
    sock_connect=checked_client.CONNECT_TIMEOUT_SECONDS,
    sock_read=RESPONSE_TIMEOUT_SECONDS,
    request_timeout=checked_client.CONNECT_TIMEOUT_SECONDS + RESPONSE_TIMEOUT_SECONDS,
)
MAX_RESPONSE_BYTES = 256 * 1024
# Longest accepted list of (model, adapter, version) in a status response.
MAX_TRIPLES = 1024
ROLES = ("mixed", "prefill")


class OrderResult(enum.Enum):
    """What is known about an order after an attempt to send it.

    Attributes:
        ACCEPTED: The engine accepted the order.
        FENCED: The engine rejected the order, because it has seen a higher fence.
        NOT_SENT: No byte of the order was sent.
        UNKNOWN: The engine may or may not have accepted the order.
    """

    ACCEPTED = "accepted"
    FENCED = "fenced"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


async def send_order(address: str, order: orders.SendOrder, may_send) -> OrderResult:
    """Sends an order once, over a new connection.

    Args:
        address: `ip:port` of the engine.
        order: The order.
        may_send: Function that returns whether the order may be sent now. It is called after the
            connection is established, right before the first byte.

    Returns:
        The `OrderResult`; UNKNOWN if bytes may have been sent and no valid response arrived.
    """
    body = {
        "fence": list(order.fence),
        "load": [list(triple) for triple in order.wanted_models],
        "role": order.role,
    }
    client = checked_client.new_client()
    try:
        response = await checked_client.post(
            client,
            f"http://{address}/v1/orders",
            may_send,
            headers={"connection": "close"},
            data=orjson.dumps(body),
            timeouts=TIMEOUTS,
        )
        return decode_result(response.status_code, await response.content(), order.fence)
    except checked_client.NOT_SENT_ERRORS:
        return OrderResult.NOT_SENT
    # After the connection was established, bytes may have been sent, so the result is unknown.
    except Exception:
        return OrderResult.UNKNOWN
    finally:
        await client.connector.cleanup()


def decode_result(status: int, data: bytes, fence) -> OrderResult:
    """Returns the `OrderResult` in an engine's response to the order with this fence."""
    body = _decode_json_object(data)
    if body is None:
        return OrderResult.UNKNOWN
    if status == 200 and body.get("accepted") is True and body.get("fence") == list(fence):
        return OrderResult.ACCEPTED
    # A 409 proves that the order was refused only if it states a higher fence.
    seen = body.get("fence")
    if status == 409 and _is_fence(seen) and tuple(seen) > tuple(fence):
        return OrderResult.FENCED
    return OrderResult.UNKNOWN


async def read_back(address: str, engine: str, now=clock.now):
    """Reads the state of an engine.

    Args:
        address: `ip:port` of the engine.
        engine: Id of the engine.
        now: Function that returns the current time in seconds.

    Returns:
        An `orders.EngineReport` whose age counts from before the request was sent, or None if the
        state could not be read.
    """
    requested_at = now()
    client = checked_client.new_client()
    try:
        response = await client.request(
            f"http://{address}/v1/status",
            method="GET",
            headers={"connection": "close"},
            timeouts=TIMEOUTS,
        )
        if response.status_code != 200:
            return None
        data = await response.content()
    # After any failure the engine's state is unknown.
    except Exception:
        return None
    finally:
        await client.connector.cleanup()
    return decode_status(data, engine, now() - requested_at)


def decode_status(data: bytes, engine: str, age: float):
    """Returns the `orders.EngineReport` in a status response, or None if any part is invalid.

    Args:
        data: Body of the response.
        engine: Id of the engine.
        age: Age of the report in seconds.
    """
    body = _decode_json_object(data)
    if body is None:
        return None
    models, loading, running = (
        _decode_triples(body.get(name)) for name in ("models", "loading", "running")
    )
    if models is None or loading is None or running is None:
        return None
    if body.get("role") not in ROLES or type(body.get("honours_fencing")) is not bool:
        return None
    honours_fencing = body["honours_fencing"]
    return orders.EngineReport(
        engine, models, body["role"], True, honours_fencing, loading, running, age
    )


def _decode_json_object(data):
    if len(data) > MAX_RESPONSE_BYTES:
        return None
    try:
        body = orjson.loads(data)
    except orjson.JSONDecodeError:
        return None
    return body if isinstance(body, dict) else None


def _is_fence(value) -> bool:
    return isinstance(value, list) and [type(part) for part in value] == [int, int]


def _decode_triples(value):
    """Returns a tuple of (model, adapter, version) tuples, or None if the value is invalid."""
    if not isinstance(value, list) or len(value) > MAX_TRIPLES:
        return None
    for triple in value:
        if not isinstance(triple, list) or [type(part) for part in triple] != [str, str, str]:
            return None
    return tuple(tuple(triple) for triple in value)
