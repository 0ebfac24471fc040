"""Grants of the right to send requests to targets that have named a limit.

One process, the issuer, hands out the grants of a service's targets to all gateways. It spaces the
grants of each target with the generic cell rate algorithm: a grant may lie in the future, and its
request then waits at the gateway. A request whose wait would be too long gets no grant. Urgent
requests may wait the longest, so that they get the grants that less urgent ones leave in an
overload.
"""

import random

import xxhash

# Idle time of a target whose unused grants are issued at once later.
BURST_SECONDS = 0.25
# A target with a lower limit gets one request in this time all the same, whose response shows
# whether the limit still holds.
TRIAL_SECONDS = 10.0
# Grants that interrupted streams get without a wait, beyond the spaced ones: at once after a quiet
# time, in seconds of the limit in addition, and as a share of the limit in the long run. Later
# grants are delayed by as many.
OVERDRAFT_GRANTS = 2.0
OVERDRAFT_SECONDS = 0.5
OVERDRAFT_SHARE = 0.25
# Share of the longest wait that each rank of urgency below the first one leaves of the rank above.
RANK_WAIT_SHARE = 0.5
LOWEST_RANK = 2
# An account or priority that gets less than this share of the overall share of granted requests
# counts as urgent.
LEAST_RELATIVE_SHARE = 0.5
# Time constant of the counts of requests and grants.
DEMAND_SECONDS = 4.0
# Decayed number of requests below which an account or priority is no longer counted.
MIN_DEMAND = 0.05
# Limit of the accounts that are counted for one service.
MAX_ACCOUNTS = 4096
# Longest time after which refused requests are told to return.
MAX_RETRY_AFTER_SECONDS = 10.0
# A schedule that has not been used for this long is dropped.
IDLE_SECONDS = 30.0


class QuotaRequest:
    """A gateway's wish to send one request.

    Attributes:
        rate_by_target: Limits in requests per second of the acceptable targets, by id, the
            preferred one first.
        account: Name of the client account, or an empty string.
        priority: Priority of the request; 0 is the most urgent.
        max_wait_s: Longest time in seconds that the request may wait before it is sent.
        is_resumed: Whether it continues a stream that was interrupted.
        key: Number that is the same for all attempts of a caller at one request, 0 if unknown.
    """

    __slots__ = ("rate_by_target", "account", "priority", "max_wait_s", "is_resumed", "key")

    def __init__(
        self,
        rate_by_target: dict,
        account: str = "",
        priority: int = 0,
        max_wait_s: float = 0.0,
        is_resumed: bool = False,
        key: int = 0,
    ):
        self.rate_by_target = rate_by_target
        self.account = account
        self.priority = priority
        self.max_wait_s = max_wait_s
        self.is_resumed = is_resumed
        self.key = key


class QuotaGrant:
    """The answer to a `QuotaRequest`.

    Attributes:
        target_id: Target to which the request may be sent, or an empty string if it may not.
        delay_s: Seconds after which it may be sent.
        retry_after_s: Seconds after which a request without a grant may be repeated.
    """

    __slots__ = ("target_id", "delay_s", "retry_after_s")

    def __init__(self, target_id: str, delay_s: float = 0.0, retry_after_s: float = 0.0):
        self.target_id = target_id
        self.delay_s = delay_s
        self.retry_after_s = retry_after_s


class _Schedule:
    """Theoretical times of the next grants of one target.

    Attributes:
        rate: QuotaGrants per second.
        burst_s: Idle time in seconds whose unused grants are issued at once later.
        next_at: Time of the next spaced grant.
        overdraft_at: The same for grants of interrupted streams.
        used_at: Time of the last request.
    """

    __slots__ = ("rate", "burst_s", "next_at", "overdraft_at", "used_at")

    def __init__(self, rate, burst_s, next_at, now):
        self.rate = rate
        self.burst_s = burst_s
        self.next_at = next_at
        self.overdraft_at = now
        self.used_at = now

    def set_rate(self, rate, now):
        """Changes the rate, and with it the time that grants issued in advance take."""
        if rate != self.rate:
            self.next_at = now + max(0.0, self.next_at - now) * self.rate / rate
            self.rate = rate
        self.used_at = now

    def delay(self, now):
        """Returns the seconds until the next spaced grant."""
        return max(0.0, self.next_at - self.burst_s - now)

    def take(self, now):
        self.next_at = max(self.next_at, now) + 1 / self.rate

    def take_overdraft(self, now):
        """Takes a grant in advance for an interrupted stream; returns whether there was one."""
        grants = OVERDRAFT_GRANTS + OVERDRAFT_SECONDS * self.rate
        interval = 1 / (OVERDRAFT_SHARE * self.rate)
        if max(self.overdraft_at, now) + interval > now + grants * interval:
            return False
        self.overdraft_at = max(self.overdraft_at, now) + interval
        self.take(now)
        return True


class _Count:
    """Decaying numbers of requests and grants."""

    __slots__ = ("requested", "granted", "_at")

    def __init__(self, now):
        self.requested = 0.0
        self.granted = 0.0
        self._at = now

    def decay(self, now):
        factor = max(0.0, 1 - (now - self._at) / DEMAND_SECONDS)
        self.requested *= factor
        self.granted *= factor
        self._at = now

    def share(self):
        return self.granted / self.requested if self.requested else 1.0


class _Demand:
    """Requests and grants of one service, in all and by account and priority.

    Attributes:
        returns_at: Time at which the last refused request was told to return.
    """

    __slots__ = ("returns_at", "_total", "_by_account", "_by_priority")

    def __init__(self, now):
        self.returns_at = now
        self._total = _Count(now)
        self._by_account = {}
        self._by_priority = {}

    def record_request(self, request, now):
        for count in self._counts(request, now):
            count.decay(now)
            count.requested += 1

    def record_grant(self, request, now):
        for count in self._counts(request, now):
            count.granted += 1

    def rank(self, request):
        """Returns the urgency of a request; 0 is the most urgent."""
        account, priority = self._by_account[request.account], self._by_priority[request.priority]
        least_share = LEAST_RELATIVE_SHARE * self._total.share()
        if min(account.share(), priority.share()) < least_share:
            return 0
        rank = sorted(self._by_priority).index(request.priority)
        # Accounts with more than an equal part of the grants come after the others.
        if account.granted * len(self._by_account) > self._total.granted:
            rank += 1
        return min(rank, LOWEST_RANK)

    def sweep(self, now):
        """Drops accounts and priorities without recent requests; returns whether any are left."""
        for count_by_key in (self._by_account, self._by_priority):
            for key, count in list(count_by_key.items()):
                count.decay(now)
                if count.requested < MIN_DEMAND:
                    del count_by_key[key]
        return bool(self._by_account)

    def _counts(self, request, now):
        if len(self._by_account) >= MAX_ACCOUNTS and request.account not in self._by_account:
            del self._by_account[next(iter(self._by_account))]
        return (
            self._total,
            self._by_account.setdefault(request.account, _Count(now)),
            self._by_priority.setdefault(request.priority, _Count(now)),
        )


class QuotaIssuer:
    """Issues the grants of targets, or a fixed share of them.

    Attributes:
        share: Share of each limit that is issued. An issuer with less than all of it begins
            without a grant, because others may just have issued theirs.
        burst_s: Idle time in seconds of a target whose unused grants are issued at once later.
    """

    __slots__ = ("share", "burst_s", "_schedule_by_target", "_demand_by_service", "_rng")

    def __init__(self, rng: random.Random, share: float = 1.0, burst_s: float = BURST_SECONDS):
        self.share = share
        self.burst_s = burst_s
        self._schedule_by_target = {}
        self._demand_by_service = {}
        self._rng = rng

    def request(self, service: str, request: QuotaRequest, now: float) -> QuotaGrant:
        """Issues a grant for one of the acceptable targets, or refuses it.

        Args:
            service: Service of the targets.
            request: The `QuotaRequest`.
            now: Current time in seconds.
        """
        demand = self._demand_by_service.get(service)
        if demand is None:
            demand = self._demand_by_service[service] = _Demand(now)
        demand.record_request(request, now)
        best_id, best_delay_s = "", 0.0
        for target_id, rate in request.rate_by_target.items():
            delay_s = self._schedule(target_id, rate, now).delay(now)
            if not best_id or delay_s < best_delay_s:
                best_id, best_delay_s = target_id, delay_s
        if request.is_resumed and best_delay_s > 0:
            for target_id in request.rate_by_target:
                if self._schedule_by_target[target_id].take_overdraft(now):
                    demand.record_grant(request, now)
                    return QuotaGrant(target_id)
        longest_s = request.max_wait_s
        if not request.is_resumed:
            longest_s *= RANK_WAIT_SHARE ** demand.rank(request)
        if best_id and best_delay_s <= longest_s:
            self._schedule_by_target[best_id].take(now)
            demand.record_grant(request, now)
            return QuotaGrant(best_id, best_delay_s)
        return QuotaGrant("", 0.0, self._retry_after(demand, request, best_delay_s, now))

    def _schedule(self, target_id, limit, now):
        rate = max(limit, 1 / TRIAL_SECONDS) * self.share
        schedule = self._schedule_by_target.get(target_id)
        if schedule is None:
            next_at = now
            if self.share < 1 or limit < 1 / TRIAL_SECONDS:
                next_at = now + self.burst_s + 1 / rate
            schedule = _Schedule(rate, self.burst_s, next_at, now)
            self._schedule_by_target[target_id] = schedule
        schedule.set_rate(rate, now)
        return schedule

    def _retry_after(self, demand, request, delay_s, now):
        """Returns when a refused request may return: one after the other, as the limits permit."""
        rates = [self._schedule_by_target[each].rate for each in request.rate_by_target]
        demand.returns_at = max(demand.returns_at, now + delay_s) + 1 / max(sum(rates), 1e-3)
        retry_after_s = demand.returns_at - now
        if retry_after_s <= MAX_RETRY_AFTER_SECONDS:
            return retry_after_s
        demand.returns_at = now + MAX_RETRY_AFTER_SECONDS
        return self._rng.uniform(min(delay_s, MAX_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)

    def sweep(self, now: float):
        """Drops the schedules and counts that have not been used lately."""
        for target_id, schedule in list(self._schedule_by_target.items()):
            if now - max(schedule.used_at, schedule.next_at) > IDLE_SECONDS:
                del self._schedule_by_target[target_id]
        for service, demand in list(self._demand_by_service.items()):
            if not demand.sweep(now):
                del self._demand_by_service[service]


def choose_issuer(service: str, addresses) -> str:
    """Returns the address of the process that issues the grants of a service.

    Rendezvous hashing spreads the services over the processes, and the loss of one moves only its
    own services.

    Args:
        service: Name of the service.
        addresses: Addresses of the processes, not empty.
    """
    prefix = service.encode() + b"\0"
    return max(addresses, key=lambda address: xxhash.xxh3_64_intdigest(prefix + address.encode()))
