"""Client of plain services, which tells whether any byte of a call can have reached the target."""

import enum

import aiosonic
import orjson

from chiveswitch.core import clock
from chiveswitch.targets import checked_client


class DeliveryStatus(enum.Enum):
    """What is known of a call after its attempt."""

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    DEADLINE_PASSED = "deadline_passed"
    UNKNOWN = "unknown"


class CallOutcome:
    """Outcome of one attempt of a call.

    Attributes:
        fate: What is known.
        status: HTTP status, 0 without an answer.
        body: Bytes of the answer.
    """

    __slots__ = ("delivery", "status", "body")

    def __init__(self, delivery: DeliveryStatus, status: int = 0, body: bytes = b""):
        self.delivery = delivery
        self.status = status
        self.body = body


async def send_call(
    address, service, body, key, timeout, deadline=None, traceparent=""
) -> CallOutcome:
    """Sends one call over a new connection.

    A pooled connection may have gone silent, and a retry inside the library could send twice, so
    each call opens its own and is sent as POST, which the library never repeats.

    Args:
        address: `ip:port` of the target.
        service: Service name.
        body: JSON value.
        key: The caller's key, or empty.
        timeout: Seconds to wait for the answer.
        deadline: Time (CLOCK_BOOTTIME seconds) after which the first byte must not be sent.
        traceparent: Trace context.
    Returns:
        The `Outcome`.
    """
    client = checked_client.new_client()
    headers = {"connection": "close", "traceparent": traceparent}
    if key:
        headers["idempotency-key"] = key
    timeouts = aiosonic.timeout.Timeouts(
        sock_connect=checked_client.CONNECT_TIMEOUT_SECONDS,
        sock_read=timeout,
        request_timeout=timeout,
    )
    try:
        response = await checked_client.post(
            client,
            f"http://{address}/v1/calls",
            None if deadline is None else lambda: clock.now() < deadline,
            headers={name: value for name, value in headers.items() if value},
            data=orjson.dumps({"service": service, "body": body}),
            timeouts=timeouts,
        )
        return CallOutcome(DeliveryStatus.ANSWERED, response.status_code, await response.content())
    except checked_client.SendForbiddenError:
        return CallOutcome(DeliveryStatus.DEADLINE_PASSED)
    except checked_client.NOT_SENT_ERRORS:
        return CallOutcome(DeliveryStatus.NOT_SENT)
    # After the connection stood, bytes may have left; nothing more is known.
    except Exception:
        return CallOutcome(DeliveryStatus.UNKNOWN)
    finally:
        await client.connector.cleanup()
