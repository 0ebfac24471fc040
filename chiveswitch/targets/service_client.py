"""Client for plain services, which reports whether a call may have reached the target."""

import enum

import aiosonic
import orjson

from chiveswitch.core import clock
from chiveswitch.targets import checked_client


class DeliveryStatus(enum.Enum):
    """Known result of an attempt to send a call.

    Attributes:
        ANSWERED: The target answered.
        NOT_SENT: No byte was sent, because the connection could not be opened.
        DEADLINE_PASSED: No byte was sent, because the deadline had passed.
        UNKNOWN: The call may have reached the target, but no answer arrived.
    """

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    DEADLINE_PASSED = "deadline_passed"
    UNKNOWN = "unknown"


class CallOutcome:
    """Outcome of one attempt of a call.

    Attributes:
        delivery: Known result of the attempt.
        status: HTTP status, 0 without an answer.
        body: Body of the answer, empty without an answer.
    """

    __slots__ = ("delivery", "status", "body")

    def __init__(self, delivery: DeliveryStatus, status: int = 0, body: bytes = b""):
        self.delivery = delivery
        self.status = status
        self.body = body


async def send_call(
    address, service_name, body, idempotency_key, timeout, deadline=None, traceparent=""
) -> CallOutcome:
    """Sends one call over a new connection.

    A pooled connection may have been dropped without notice, and a retry by the library could send
    the call twice. Therefore each call opens its own connection and is sent as POST, which the
    library never repeats.

    Args:
        address: `ip:port` of the target.
        service_name: Name of the service.
        body: JSON value.
        idempotency_key: The caller's idempotency key, or an empty string.
        timeout: Seconds to wait for the answer.
        deadline: Time (CLOCK_BOOTTIME seconds) after which the first byte must not be sent, or
            None.
        traceparent: Trace context, or an empty string.

    Returns:
        The `CallOutcome`.
    """
    client = checked_client.new_client()
    headers = {"connection": "close", "traceparent": traceparent}
    if idempotency_key:
        headers["idempotency-key"] = idempotency_key
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
            data=orjson.dumps({"service": service_name, "body": body}),
            timeouts=timeouts,
        )
        return CallOutcome(DeliveryStatus.ANSWERED, response.status_code, await response.content())
    except checked_client.SendForbiddenError:
        return CallOutcome(DeliveryStatus.DEADLINE_PASSED)
    except checked_client.NOT_SENT_ERRORS:
        return CallOutcome(DeliveryStatus.NOT_SENT)
    # After the connection was established, bytes may have been sent, so the result is unknown.
    except Exception:
        return CallOutcome(DeliveryStatus.UNKNOWN)
    finally:
        await client.connector.cleanup()
