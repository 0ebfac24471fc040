"""The weight store: a client with a rate limit that its users share, and a stand-in server.

The stand-in answers 429 with `Retry-After` beyond its rate. The client waits for its own limit
first, so that a refusal is rare, and holds all its users back after one.
"""

import asyncio
import hashlib
import math

import aiosonic
import expression
from starlette import applications, responses, routing

from chiveswitch.core import clock, codes

FETCH_TIMEOUTS = aiosonic.timeout.Timeouts(sock_connect=0.5, sock_read=10.0, request_timeout=30.0)
# Longest pause that a `Retry-After` is obeyed for; an absurd value must not stop all loads.
MAX_RETRY_AFTER_SECONDS = 30.0
DEFAULT_RETRY_AFTER_SECONDS = 1.0
# Size of the weights that the stand-in returns.
STANDIN_BYTES = 64 * 1024


class TokenBucket:
    """Token bucket of fetches.

    Attributes:
        per_second: Fetches per second in the long run.
        burst: Fetches that may come at once, at least 1.
    """

    __slots__ = ("per_second", "burst", "_tokens", "_at", "_held_until")

    def __init__(self, per_second: float, burst: float):
        self.per_second = per_second
        self.burst = max(1.0, burst)
        self._tokens = self.burst
        self._at = None
        self._held_until = -math.inf

    def try_acquire(self, now: float) -> float:
        """Takes one token at a time in seconds.

        Returns:
            0 if the fetch may go, else the seconds after which to ask again; nothing is taken then.
        """
        if now < self._held_until:
            return self._held_until - now
        elapsed = 0.0 if self._at is None else max(0.0, now - self._at)
        self._tokens = min(self.burst, self._tokens + elapsed * self.per_second)
        self._at = now
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return max(0.001, (1.0 - self._tokens) / self.per_second)

    def block_until(self, until: float):
        """Lets no fetch go before a time in seconds."""
        self._held_until = max(self._held_until, until)


def fetch_failure(message: str) -> expression.Result:
    """Returns the failure of a fetch."""
    return codes.failure(codes.Code.TARGET_FAILED, message)


def parse_retry_after(text) -> float:
    """Returns the seconds of a `Retry-After` header, bounded; a default if it is no number."""
    try:
        seconds = float(text)
    except (TypeError, ValueError):
        return DEFAULT_RETRY_AFTER_SECONDS
    if not 0.0 <= seconds:
        return DEFAULT_RETRY_AFTER_SECONDS
    return min(seconds, MAX_RETRY_AFTER_SECONDS)


class Client:
    """Fetches weights; all users of one `RateLimit` share its rate."""

    __slots__ = ("address", "limit", "_client", "_now")

    def __init__(self, address: str, limit: TokenBucket, now=clock.now):
        self.address = address
        self.limit = limit
        self._client = aiosonic.HTTPClient()
        self._now = now

    async def fetch(self, triple) -> expression.Result:
        """Fetches the weights of a (model, adapter, version).

        Returns:
            The bytes, or TARGET_FAILED if the store refused, failed or did not answer.
        """
        while True:
            wait = self.limit.try_acquire(self._now())
            if wait <= 0:
                break
            await asyncio.sleep(wait)
        model, adapter, version = triple
        try:
            response = await self._client.get(
                f"http://{self.address}/v1/weights",
                params={"model": model, "adapter": adapter, "version": version},
                timeouts=FETCH_TIMEOUTS,
            )
            content = await response.content()
        # Any failure of the library or the network means that the weights did not arrive.
        except Exception as error:
            return fetch_failure(f"the weight store did not answer: {error!r}")
        if response.status_code == 429:
            pause = parse_retry_after(response.headers.get("retry-after"))
            self.limit.block_until(self._now() + pause)
            return fetch_failure(f"the weight store is at its rate; next fetch in {pause:.1f} s")
        if response.status_code != 200:
            return fetch_failure(f"the weight store answered {response.status_code}")
        return codes.ok(content)


def build_app(limit: TokenBucket, now=clock.now) -> applications.Starlette:
    """Returns the stand-in's HTTP application."""
    count_by_status = {200: 0, 429: 0}

    async def weights(request):
        wait = limit.try_acquire(now())
        count_by_status[429 if wait else 200] += 1
        if wait:
            headers = {"retry-after": f"{wait:.3f}"}
            return responses.JSONResponse({"error": "rate exceeded"}, 429, headers=headers)
        key = repr(sorted(request.query_params.items())).encode()
        return responses.Response(hashlib.blake2b(key).digest() * (STANDIN_BYTES // 64))

    async def counts(_request):
        body = {"served": count_by_status[200], "refused": count_by_status[429]}
        return responses.JSONResponse(body)

    return applications.Starlette(
        routes=[
            routing.Route("/v1/weights", weights, methods=["GET"]),
            routing.Route("/standin/counts", counts, methods=["GET"]),
        ]
    )
