"""Client of a model engine: opens, reattaches and cancels attempts and decodes their streams."""

import aiosonic
import orjson
from aiosonic import connectors, pools

from chiveswitch.core import sse

# The library's pool queues requests beyond its size, and its default timeouts end long streams.
POOL_SIZE = 4000
CONNECT_TIMEOUT_SECONDS = 0.5
STREAM_TIMEOUTS = aiosonic.timeout.Timeouts(
    sock_connect=CONNECT_TIMEOUT_SECONDS, sock_read=None, request_timeout=None
)
CANCEL_TIMEOUTS = aiosonic.timeout.Timeouts(
    sock_connect=CONNECT_TIMEOUT_SECONDS, sock_read=0.8, request_timeout=0.8
)


class AttemptStream:
    """An open stream of an attempt.

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
    """Requests to engines over a shared pool of connections."""

    __slots__ = ("_client",)

    def __init__(self):
        self._client = aiosonic.HTTPClient(
            connectors.TCPConnector(
                pool_configs={
                    ":default": pools.PoolConfig(
                        size=POOL_SIZE, max_conn_idle_ms=1000, max_conn_requests=100
                    )
                }
            )
        )

    async def start_attempt(self, address: str, body: dict, traceparent: str = "") -> AttemptStream:
        """Opens a new attempt. Raises OSError or an aiosonic error if no response came."""
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
        """Opens the stream of a running attempt at a token offset."""
        response = await self._client.request(
            f"http://{address}/v1/generations/{attempt_id}?offset={offset}",
            method="GET",
            timeouts=STREAM_TIMEOUTS,
            stream=True,
        )
        return AttemptStream(response)

    async def cancel_attempt(self, address: str, attempt_id: str) -> bool:
        """Cancels an attempt. Returns whether the engine confirmed."""
        try:
            response = await self._client.request(
                f"http://{address}/v1/generations/{attempt_id}",
                method="DELETE",
                timeouts=CANCEL_TIMEOUTS,
            )
            await response.content()
            return response.status_code == 200
        # Any failure means that the cancel is not confirmed; it is repeated.
        except Exception:
            return False
