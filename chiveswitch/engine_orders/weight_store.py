"""Weight store: a client with a rate limit shared by its users, and a stand-in server.

The stand-in answers 429 with `Retry-After` above its rate. The client waits for its own rate limit
before each fetch, so that refusals are rare. After a refusal it delays the fetches of all users.
"""

import asyncio
import hashlib
import math

import aiosonic
import expression
from starlette import applications, responses, routing

from chiveswitch.core import clock, codes
from chiveswitch.targets import pooled_client

FETCH_TIMEOUTS = aiosonic.timeout.Timeouts(sock_connect=0.5, sock_read=10.0, request_timeout=30.0)
# Upper bound of an accepted `Retry-After`. A faulty, very large value must not stop all loads.
MAX_RETRY_AFTER_SECONDS = 30.0
DEFAULT_RETRY_AFTER_SECONDS = 1.0
# Size in bytes of the weights that the stand-in returns.
STANDIN_WEIGHTS_BYTES = 64 * 1024


class TokenBucket:
    """Token bucket that limits the rate of fetches.

    Attributes:
        fetches_per_second: Long-term rate at which tokens are added.
        burst: Capacity of the bucket in tokens, at least 1.
    """

    __slots__ = ("fetches_per_second", "burst", "_tokens", "_refilled_at", "_blocked_until")

    def __init__(self, fetches_per_second: float, burst: float):
        self.fetches_per_second = fetches_per_second
        self.burst = max(1.0, burst)
        self._tokens = self.burst
        self._refilled_at = None
        self._blocked_until = -math.inf

    def try_acquire(self, now: float) -> float:
        """Takes one token if one is available.

        Args:
            now: Current time in seconds.

        Returns:
            0 if a token was taken, else the seconds after which to try again.
        """
        if now < self._blocked_until:
            return self._blocked_until - now
        elapsed = 0.0 if self._refilled_at is None else max(0.0, now - self._refilled_at)
        self._tokens = min(self.burst, self._tokens + elapsed * self.fetches_per_second)
        self._refilled_at = now
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return max(0.001, (1.0 - self._tokens) / self.fetches_per_second)

    def block_until(self, until: float):
        """Lets no token be taken before a time in seconds."""
        self._blocked_until = max(self._blocked_until, until)


def fetch_failure(message: str) -> expression.Result:
    """Returns the failed result of a fetch."""
    return codes.failure(codes.Code.TARGET_FAILED, message)


def parse_retry_after(text) -> float:
    """Returns the bounded seconds of a `Retry-After` header, or a default if it is invalid."""
    try:
        seconds = float(text)
    except (TypeError, ValueError):
        return DEFAULT_RETRY_AFTER_SECONDS
    if not 0.0 <= seconds:
        return DEFAULT_RETRY_AFTER_SECONDS
    return min(seconds, MAX_RETRY_AFTER_SECONDS)


class Client:
    """Fetches weights from a weight store.

    Attributes:
        address: `ip:port` of the weight store.
        token_bucket: `TokenBucket` whose rate all users of the client share.
    """

    __slots__ = ("address", "token_bucket", "_client", "_now")

    def __init__(self, address: str, token_bucket: TokenBucket, now=clock.now):
        self.address = address
        self.token_bucket = token_bucket
        self._client = pooled_client.new_client()
        self._now = now

    async def close(self):
        """Closes all connections."""
        await self._client.aclose()

    async def fetch(self, triple) -> expression.Result:
        """Fetches the weights of a (model, adapter, version), after waiting for the rate limit.

        Returns:
            Ok with the bytes, or a failure TARGET_FAILED if the store refused the fetch, failed or
            did not answer.
        """
        while True:
            wait_s = self.token_bucket.try_acquire(self._now())
            if wait_s <= 0:
                break
            await asyncio.sleep(wait_s)
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
            retry_after_s = parse_retry_after(response.headers.get("retry-after"))
            self.token_bucket.block_until(self._now() + retry_after_s)
            return fetch_failure(
                f"the weight store's rate is exceeded; next fetch in {retry_after_s:.1f} s"
            )
        if response.status_code != 200:
            return fetch_failure(f"the weight store answered {response.status_code}")
        return codes.ok(content)


def build_app(token_bucket: TokenBucket, now=clock.now) -> applications.Starlette:
    """Returns the HTTP application of the stand-in weight store.

    Args:
        token_bucket: Rate limit of the stand-in.
        now: Function that returns the current time in seconds.
    """
    count_by_status = {200: 0, 429: 0}

    async def weights(request):
        wait_s = token_bucket.try_acquire(now())
        count_by_status[429 if wait_s else 200] += 1
        if wait_s:
            headers = {"retry-after": f"{wait_s:.3f}"}
            return responses.JSONResponse({"error": "rate exceeded"}, 429, headers=headers)
        key = repr(sorted(request.query_params.items())).encode()
        return responses.Response(hashlib.blake2b(key).digest() * (STANDIN_WEIGHTS_BYTES // 64))

    async def counts(_request):
        body = {"served": count_by_status[200], "refused": count_by_status[429]}
        return responses.JSONResponse(body)

    return applications.Starlette(
        routes=[
            routing.Route("/v1/weights", weights, methods=["GET"]),
            routing.Route("/standin/counts", counts, methods=["GET"]),
        ]
    )
