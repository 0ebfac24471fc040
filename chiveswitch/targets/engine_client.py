"""Client for model engines: starts, reattaches to and cancels attempts and decodes their events."""

import aiosonic
import orjson

from chiveswitch.core import sse
from chiveswitch.targets import bounded_connection, pooled_client

# The library queues requests when all connections of its pool are in use, so the pool is large.
POOL_SIZE = 4000
CONNECT_TIMEOUT_SECONDS = 0.5
# The library's default timeouts would end long streams.
STREAM_TIMEOUTS = aiosonic.timeout.Timeouts(
    sock_connect=CONNECT_TIMEOUT_SECONDS, sock_read=None, request_timeout=None
)
CANCEL_TIMEOUTS = aiosonic.timeout.Timeouts(
    sock_connect=CONNECT_TIMEOUT_SECONDS, sock_read=0.8, request_timeout=0.8
)


class _EngineConnection(pooled_client.FailClosedConnection, bounded_connection.BoundedConnection):
    """A kept connection that is closed after a failed request and by too large responses."""


class AttemptStream:
    """Open event stream of an attempt.

    Attributes:
        status: HTTP status of the response.
    """

    __slots__ = ("status", "_response", "_decoder")

    def __init__(self, response):
        self.status = response.status_code
        self._response = response
        self._decoder = sse.Decoder()

    async def read_batches(self):
        """Yields lists of `sse.Event`, one list per network read that completed any."""
        async for chunk in self._response.read_chunks():
            events = self._decoder.feed(chunk)
            if events:
                yield events

    async def close(self):
        """Closes the stream and its connection."""
        await self._response.aclose()


class EngineClient:
    """Sends requests to engines over a shared pool of connections."""

    __slots__ = ("_client",)

    def __init__(self):
        self._client = pooled_client.new_client(
            _EngineConnection, size=POOL_SIZE, max_conn_idle_ms=1000, max_conn_requests=100
        )

    async def close(self):
        """Closes all connections."""
        await self._client.aclose()

    async def start_attempt(self, address: str, body: dict, traceparent: str = "") -> AttemptStream:
        """Starts a new attempt.

        Args:
            address: `ip:port` of the engine.
            body: Body of the request.
            traceparent: Trace context, or an empty string.

        Returns:
            The attempt's stream. Raises OSError or an aiosonic error if no response arrived.
        """
        response = await self._client.request(
            f"http://{address}/v1/generations",
            method="POST",
            data=orjson.dumps(body),
            headers={"traceparent": traceparent} if traceparent else None,
            timeouts=STREAM_TIMEOUTS,
            stream=True,
        )
        return AttemptStream(response)

    async def reattach_attempt(self, address: str, attempt_id: str, offset: int) -> AttemptStream:
        """Opens the stream of a running attempt at a token offset.

        Raises OSError or an aiosonic error if no response arrived.
        """
        response = await self._client.request(
            f"http://{address}/v1/generations/{attempt_id}?offset={offset}",
            method="GET",
            timeouts=STREAM_TIMEOUTS,
            stream=True,
        )
        return AttemptStream(response)

    async def cancel_attempt(self, address: str, attempt_id: str) -> bool:
        """Cancels an attempt; returns whether the engine confirmed the cancellation."""
        try:
            response = await self._client.request(
                f"http://{address}/v1/generations/{attempt_id}",
                method="DELETE",
                timeouts=CANCEL_TIMEOUTS,
            )
            await response.aclose()
            return response.status_code == 200
        # After any failure the cancellation is unconfirmed, and the caller repeats it.
        except Exception:
            return False
