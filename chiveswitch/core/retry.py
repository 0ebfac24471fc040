"""Retry budget: each admitted request earns a fraction of a retry, so that the loss of an
availability zone cannot cause a retry storm."""

import expression

from chiveswitch.core import codes

# When this number of accounts is reached, the accounts with a full bucket are removed.
MAX_ACCOUNTS = 1024
# Share of a service's accepted retries that gateways use. The rest is a margin, because a gateway
# counts only its own requests.
USED_SHARE = 0.5
# Number of gateways that is assumed until a gateway knows the others.
ASSUMED_GATEWAYS = 10
# Retries that a gateway can always save up. With a smaller bucket, a gateway in a large group could
# never retry.
MIN_BURST = 1.0


class RetrySettings:
    """Settings of the retry budget.

    Attributes:
        retries_per_request: Retries earned by each admitted request.
        base_refill_per_s: Retries per second that the gateway earns without any request.
        burst: Maximum number of retries that the gateway can save up.
        account_base_refill_per_s: Retries per second that one account earns without any request.
        account_burst: Maximum number of retries that one account can save up.
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
        tokens: Number of tokens at `refilled_at`.
        refilled_at: Time of the last refill, in seconds of the process's clock.
    """

    __slots__ = ("tokens", "refilled_at")

    def __init__(self, tokens, now):
        self.tokens = tokens
        self.refilled_at = now

    def refill(self, rate: float, burst: float, now: float) -> float:
        """Adds the tokens earned since the last refill and returns the number of tokens.

        Args:
            rate: Tokens earned per second.
            burst: Maximum number of tokens in the bucket.
            now: Seconds on the process's clock.
        """
        elapsed = max(0.0, now - self.refilled_at)
        self.tokens = min(burst, self.tokens + elapsed * rate)
        self.refilled_at = now
        return self.tokens


class RetryBudget:
    """Token buckets of the gateway and of each client account; a retry takes a token from both.

    Attributes:
        settings: The `RetrySettings`.
    """

    __slots__ = ("settings", "_gateway_bucket", "_bucket_by_account")

    def __init__(self, settings: RetrySettings, now: float):
        self.settings = settings
        self._gateway_bucket = TokenBucket(settings.burst, now)
        self._bucket_by_account = {}

    def record_admission(self, client_account: str, now: float):
        """Credits the retries that one admitted request earns. Must not be called for retries."""
        settings = self.settings
        account = self._refill_account_bucket(client_account, now)
        self._gateway_bucket.refill(settings.base_refill_per_s, settings.burst, now)
        account.tokens = min(settings.account_burst, account.tokens + settings.retries_per_request)
        self._gateway_bucket.tokens = min(
            settings.burst, self._gateway_bucket.tokens + settings.retries_per_request
        )

    def spend_retry(
        self, client_account: str, now: float, may_overdraw: bool = False
    ) -> expression.Result:
        """Takes one token from each of the two buckets for a retry.

        Args:
            client_account: Name of the account.
            now: Seconds on the process's clock.
            may_overdraw: Whether the retry is permitted without tokens, as the continuation of
                work that would otherwise be lost. Later retries have to wait until it is earned.

        Returns:
            Ok, or RETRY_BUDGET_SPENT if a bucket has less than one token. No token is taken then.
        """
        account = self._refill_account_bucket(client_account, now)
        gateway = self._gateway_bucket.refill(
            self.settings.base_refill_per_s, self.settings.burst, now
        )
        if not may_overdraw and (gateway < 1 or account.tokens < 1):
            return codes.failure(codes.Code.RETRY_BUDGET_SPENT, "The retry budget is spent.")
        for bucket, burst in (
            (self._gateway_bucket, self.settings.burst),
            (account, self.settings.account_burst),
        ):
            bucket.tokens = max(-burst, bucket.tokens - 1)
        return expression.Ok(None)

    def _refill_account_bucket(self, client_account, now):
        settings = self.settings
        bucket = self._bucket_by_account.get(client_account)
        if bucket is None:
            if len(self._bucket_by_account) >= MAX_ACCOUNTS:
                self._remove_full_buckets(now)
            bucket = self._bucket_by_account[client_account] = TokenBucket(
                settings.account_burst, now
            )
        bucket.refill(settings.account_base_refill_per_s, settings.account_burst, now)
        return bucket

    def _remove_full_buckets(self, now):
        settings = self.settings
        for account, bucket in list(self._bucket_by_account.items()):
            tokens = bucket.refill(settings.account_base_refill_per_s, settings.account_burst, now)
            if tokens >= settings.account_burst:
                del self._bucket_by_account[account]


class ServiceRetryLimits:
    """Retries that each service accepts from all gateways together.

    Attributes:
        ratio: Accepted retries as a share of the requests.
        slack: Number of retries accepted in addition in each window.
        window_s: Length of the window in seconds.
    """

    __slots__ = ("ratio", "slack", "window_s")

    def __init__(self, ratio: float, slack: float, window_s: float):
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s

    def share(self, gateway_count: int) -> RetrySettings:
        """Returns the settings of one gateway's budget for one service.

        Args:
            gateway_count: Number of gateways that share the limits.
        """
        fixed = self.slack * USED_SHARE / max(1, gateway_count)
        # One client account may spend the whole budget of its gateway, because it may cause most of
        # the gateway's traffic.
        return RetrySettings(
            retries_per_request=self.ratio * USED_SHARE,
            base_refill_per_s=fixed / self.window_s,
            burst=max(MIN_BURST, fixed),
            account_base_refill_per_s=fixed / self.window_s,
            account_burst=max(MIN_BURST, fixed),
        )


class ServiceRetryBudgets:
    """One gateway's retry budgets, one for each service, so that none spends another's retries.

    Attributes:
        limits: The `ServiceRetryLimits`.
        budget_by_service: `RetryBudget` by the name of the service.
    """

    __slots__ = ("limits", "budget_by_service", "_gateway_count")

    def __init__(self, limits: ServiceRetryLimits):
        self.limits = limits
        self.budget_by_service = {}
        self._gateway_count = ASSUMED_GATEWAYS

    def set_gateway_count(self, count: int):
        """Divides the limits among another number of gateways."""
        if count == self._gateway_count:
            return
        self._gateway_count = count
        settings = self.limits.share(count)
        for budget in self.budget_by_service.values():
            budget.settings = settings

    def of_service(self, name: str, now: float) -> RetryBudget:
        """Returns the budget of a service, which is created on first use."""
        budget = self.budget_by_service.get(name)
        if budget is None:
            settings = self.limits.share(self._gateway_count)
            budget = self.budget_by_service[name] = RetryBudget(settings, now)
        return budget

    def retain_services(self, names):
        """Drops the budgets of services that are no longer configured."""
        for name in list(self.budget_by_service):
            if name not in names:
                del self.budget_by_service[name]
