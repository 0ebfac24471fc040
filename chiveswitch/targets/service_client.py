"""Client for plain services, which reports whether a call may have reached the target."""

import enum

import aiosonic
import orjson

from chiveswitch.core import clock
from chiveswitch.targets import checked_client

# Smallest and largest status code of an answer. The library takes any number, and interim
# responses, for the status of one.
MIN_STATUS = 200
MAX_STATUS = 599
# Status codes of answers without a body.
BODILESS_STATUSES = frozenset((204, 304))


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


def _is_answer(response) -> bool:
    """Returns whether a response is an answer whose end can be recognized.

    The library takes a response with neither a length nor chunks for one with an empty body.
    """
    status = response.status_code
    has_end = response.chunked or "content-length" in response.headers
    return MIN_STATUS <= status <= MAX_STATUS and (has_end or status in BODILESS_STATUSES)


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
        if not _is_answer(response):
            return CallOutcome(DeliveryStatus.UNKNOWN)
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
