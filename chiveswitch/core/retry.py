"""The retry budget: retries are paid from a share of admitted work, so a zone's loss cannot turn
into a storm of retries."""

import expression

from chiveswitch.core import codes

# Accounts with a full bucket are forgotten above this number.
MAX_ACCOUNTS = 1024


class RetrySettings:
    """Settings of the retry budget.

    Attributes:
        retries_per_request: Retries earned by each admitted request.
        base_refill_per_s: Retries per second that a quiet gateway earns anyway.
        burst: Largest number of retries saved up by the gateway.
        account_base_refill_per_s: The same floor for one account.
        account_burst: Largest number of retries saved up by one account.
    """

    __slots__ = (
        "retries_per_request",
        "base_refill_per_s",
        "burst",
        "account_base_refill_per_s",
        "account_burst",
    )

    def __init__(
        self,
        retries_per_request=0.1,
        base_refill_per_s=2.0,
        burst=100.0,
        account_base_refill_per_s=0.5,
        account_burst=40.0,
    ):
        self.retries_per_request = retries_per_request
        self.base_refill_per_s = base_refill_per_s
        self.burst = burst
        self.account_base_refill_per_s = account_base_refill_per_s
        self.account_burst = account_burst


class TokenBucket:
    """A token bucket.

    Attributes:
        tokens: Tokens at `filled_at`.
        filled_at: Own clock in seconds of the last refill.
    """

    __slots__ = ("tokens", "filled_at")

    def __init__(self, tokens, now):
        self.tokens = tokens
        self.filled_at = now

    def refill(self, rate: float, burst: float, now: float) -> float:
        """Adds what `rate` tokens per second earned, up to `burst`; returns the tokens."""
        elapsed = max(0.0, now - self.filled_at)
        self.tokens = min(burst, self.tokens + elapsed * rate)
        self.filled_at = now
        return self.tokens


class RetryBudget:
    """Token buckets of the gateway and of each account; a retry takes one token from both."""

    __slots__ = ("settings", "_gateway", "_by_account")

    def __init__(self, settings: RetrySettings, now: float):
        self.settings = settings
        self._gateway = TokenBucket(settings.burst, now)
        self._by_account = {}

    def record_admission(self, client_account: str, now: float):
        """Refills by the share of one admitted request. Retries must not be counted here."""
        settings = self.settings
        account = self._account(client_account, now)
        self._gateway.refill(settings.base_refill_per_s, settings.burst, now)
        account.tokens = min(settings.account_burst, account.tokens + settings.retries_per_request)
        self._gateway.tokens = min(
            settings.burst, self._gateway.tokens + settings.retries_per_request
        )

    def spend_retry(self, client_account: str, now: float) -> expression.Result:
        """Takes one retry, or returns RETRY_BUDGET_SPENT and takes nothing."""
        account = self._account(client_account, now)
        gateway = self._gateway.refill(self.settings.base_refill_per_s, self.settings.burst, now)
        if gateway < 1 or account.tokens < 1:
            return codes.failure(codes.Code.RETRY_BUDGET_SPENT, "The retry budget is spent.")
        self._gateway.tokens -= 1
        account.tokens -= 1
        return expression.Ok(None)

    def _account(self, client_account, now):
        settings = self.settings
        bucket = self._by_account.get(client_account)
        if bucket is None:
            if len(self._by_account) >= MAX_ACCOUNTS:
                self._forget_full(now)
            bucket = self._by_account[client_account] = TokenBucket(settings.account_burst, now)
        bucket.refill(settings.account_base_refill_per_s, settings.account_burst, now)
        return bucket

    def _forget_full(self, now):
        settings = self.settings
        for account, bucket in list(self._by_account.items()):
            tokens = bucket.refill(settings.account_base_refill_per_s, settings.account_burst, now)
            if tokens >= settings.account_burst:
                del self._by_account[account]
