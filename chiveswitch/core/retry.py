"""Retry budget: each admitted request earns a fraction of a retry, so that the loss of an
availability zone cannot cause a retry storm."""

import collections

import expression

from chiveswitch.core import codes

# When this number of accounts is reached, the accounts with a full bucket are removed.
MAX_ACCOUNTS = 1024
# Share of a service's accepted retries that gateways use. The rest is a margin, because a gateway
# counts only its own requests, whose number varies between windows.
USED_SHARE = 0.7
# Number of gateways that is assumed until a gateway knows the others.
ASSUMED_GATEWAYS = 10
# Retries that a gateway may use in each window, whatever its share is. Otherwise a gateway in a
# large group could never retry.
MIN_WINDOW_RETRIES = 1.0
# Number of parts of a window in which events are counted together.
WINDOW_PARTS = 20


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

    def spend_retry(self, client_account: str, now: float) -> expression.Result:
        """Takes one token from each of the two buckets for a retry.

        Returns:
            Ok, or RETRY_BUDGET_SPENT if a bucket has less than one token. No token is taken then.
        """
        account = self._refill_account_bucket(client_account, now)
        gateway = self._gateway_bucket.refill(
            self.settings.base_refill_per_s, self.settings.burst, now
        )
        if gateway < 1 or account.tokens < 1:
            return codes.failure(codes.Code.RETRY_BUDGET_SPENT, "The retry budget is spent.")
        self._gateway_bucket.tokens -= 1
        account.tokens -= 1
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


class WindowCount:
    """Number of events within the last seconds; the oldest part of a window is counted whole."""

    __slots__ = ("_part_s", "_parts", "_total")

    def __init__(self, window_s: float):
        self._part_s = window_s / WINDOW_PARTS
        self._parts = collections.deque()
        self._total = 0

    def add(self, now: float):
        """Counts one event."""
        self._drop_old(now)
        part = int(now / self._part_s)
        if not self._parts or self._parts[-1][0] != part:
            self._parts.append([part, 0])
        self._parts[-1][1] += 1
        self._total += 1

    def total(self, now: float) -> int:
        """Returns the number of events in the window that ends now."""
        self._drop_old(now)
        return self._total

    def _drop_old(self, now):
        oldest = int(now / self._part_s) - WINDOW_PARTS
        while self._parts and self._parts[0][0] < oldest:
            self._total -= self._parts.popleft()[1]


class ServiceRetryLimits:
    """Retries that each service accepts in any window, from all gateways together.

    Attributes:
        ratio: Accepted retries as a share of the requests.
        slack: Number of retries accepted in addition.
        window_s: Length of the window in seconds.
    """

    __slots__ = ("ratio", "slack", "window_s")

    def __init__(self, ratio: float, slack: float, window_s: float):
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s


class ServiceRetryBudget:
    """One gateway's retries of the requests to one service."""

    __slots__ = ("_limits", "_requests", "_retries")

    def __init__(self, limits: ServiceRetryLimits):
        self._limits = limits
        self._requests = WindowCount(limits.window_s)
        self._retries = WindowCount(limits.window_s)

    def record_admission(self, now: float):
        """Counts an admitted request. Must not be called for retries."""
        self._requests.add(now)

    def spend_retry(self, gateway_count: int, now: float, may_exceed: bool = False) -> bool:
        """Counts a retry if the budget permits it.

        Args:
            gateway_count: Number of gateways that share the limits.
            now: Seconds on the process's clock.
            may_exceed: Whether the retry is permitted and counted in any case, as the continuation
                of work that would otherwise be lost.

        Returns:
            Whether the retry is permitted.
        """
        limits = self._limits
        share = limits.slack / max(1, gateway_count) + limits.ratio * self._requests.total(now)
        permitted = max(MIN_WINDOW_RETRIES, USED_SHARE * share)
        if not may_exceed and self._retries.total(now) + 1 > permitted:
            return False
        self._retries.add(now)
        return True


class ServiceRetryBudgets:
    """One gateway's retry budgets, one for each service, so that none spends another's retries.

    Attributes:
        limits: The `ServiceRetryLimits`.
        gateway_count: Number of gateways that share the limits.
        budget_by_service: `ServiceRetryBudget` by the name of the service.
    """

    __slots__ = ("limits", "gateway_count", "budget_by_service")

    def __init__(self, limits: ServiceRetryLimits):
        self.limits = limits
        self.gateway_count = ASSUMED_GATEWAYS
        self.budget_by_service = {}

    def record_admission(self, service: str, now: float):
        """Counts an admitted request to a service."""
        self._budget(service).record_admission(now)

    def spend_retry(self, service: str, now: float, may_exceed: bool = False) -> bool:
        """Counts a retry and returns True, or returns False if the service's budget is spent."""
        return self._budget(service).spend_retry(self.gateway_count, now, may_exceed)

    def _budget(self, service):
        budget = self.budget_by_service.get(service)
        if budget is None:
            budget = self.budget_by_service[service] = ServiceRetryBudget(self.limits)
        return budget

    def retain_services(self, names):
        """Drops the budgets of services that are no longer configured."""
        for name in list(self.budget_by_service):
            if name not in names:
                del self.budget_by_service[name]
