"""Client of an engine's orders: sends one with a last check before the first byte, and reads back
the engine's state. Answers are decoded strictly, because an engine may answer anything."""

import enum

import aiosonic
import orjson

from chiveswitch.core import clock, orders
from chiveswitch.targets import checked_client

ANSWER_TIMEOUT_SECONDS = 1.0
TIMEOUTS = aiosonic.timeout.Timeouts(
    sock_connect=checked_client.CONNECT_TIMEOUT_SECONDS,
    sock_read=ANSWER_TIMEOUT_SECONDS,
    request_timeout=checked_client.CONNECT_TIMEOUT_SECONDS + ANSWER_TIMEOUT_SECONDS,
)
MAX_ANSWER_BYTES = 256 * 1024
MAX_TRIPLES = 1024
ROLES = ("mixed", "prefill")


class Result(enum.Enum):
    """What is known of an order after it was sent."""

    ACCEPTED = "accepted"
    FENCED = "fenced"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


async def send(address: str, order: orders.SendOrder, may_send) -> Result:
    """Sends an order once, over a new connection.

    Args:
        address: `ip:port` of the engine.
        order: The order.
        may_send: Function that returns whether the order may be sent now. It is asked after the
            connection stands, right before the first byte.

    Returns:
        The `Result`; UNKNOWN if bytes may have left and no valid answer came.
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
        return Result.NOT_SENT
    # After the connection stood, bytes may have left; nothing more is known.
    except Exception:
        return Result.UNKNOWN
    finally:
        await client.connector.cleanup()


def decode_result(status: int, data: bytes, fence) -> Result:
    """Returns the `Result` that an engine's answer to the order with this fence states."""
    body = _json_object(data)
    if body is None:
        return Result.UNKNOWN
    if status == 200 and body.get("accepted") is True and body.get("fence") == list(fence):
        return Result.ACCEPTED
    # Only a higher fence explains the refusal; any other 409 states nothing about the order.
    seen = body.get("fence")
    if status == 409 and _is_fence(seen) and tuple(seen) > tuple(fence):
        return Result.FENCED
    return Result.UNKNOWN


async def read_back(address: str, engine: str, now=clock.now):
    """Asks an engine for its state.

    Args:
        address: `ip:port` of the engine.
        engine: Id of the engine.
        now: The clock.

    Returns:
        An `orders.EngineReport` whose age counts from before the request was sent, or None.
    """
    asked_at = now()
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
    # Any failure means that the state is not known.
    except Exception:
        return None
    finally:
        await client.connector.cleanup()
    return decode_status(data, engine, now() - asked_at)


def decode_status(data: bytes, engine: str, age: float):
    """Returns the `orders.EngineReport` in a status answer, or None if any part is invalid."""
    body = _json_object(data)
    if body is None:
        return None
    models, loading, running = (
        _triples(body.get(name)) for name in ("models", "loading", "running")
    )
    if models is None or loading is None or running is None:
        return None
    if body.get("role") not in ROLES or type(body.get("honours_fencing")) is not bool:
        return None
    honours = body["honours_fencing"]
    return orders.EngineReport(engine, models, body["role"], True, honours, loading, running, age)


def _json_object(data):
    if len(data) > MAX_ANSWER_BYTES:
        return None
    try:
        body = orjson.loads(data)
    except orjson.JSONDecodeError:
        return None
    return body if isinstance(body, dict) else None


def _is_fence(value) -> bool:
    return isinstance(value, list) and [type(part) for part in value] == [int, int]


def _triples(value):
    if not isinstance(value, list) or len(value) > MAX_TRIPLES:
        return None
    for triple in value:
        if not isinstance(triple, list) or [type(part) for part in triple] != [str, str, str]:
            return None
    return tuple(tuple(triple) for triple in value)
