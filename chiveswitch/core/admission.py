"""Admission of requests at one gateway: limits per client account, a queue per priority class with
weighted fair queueing by account, and refusal at once when the expected wait is too long."""

import collections
import heapq
import math

import expression

from chiveswitch.core import codes, retry

# Seconds over which the measured drain rate of the queue is averaged.
RATE_WINDOW_S = 5.0
# Seconds of an account's share of its rate that may arrive at once.
BURST_S = 0.5


class AccountLimits:
    """Limits of a client account over all gateways.

    Attributes:
        rate: Requests per second.
        open_requests: Queued and running requests.
        weight: Share in the fair queue relative to other accounts.
    """

    __slots__ = ("rate", "open_requests", "weight")

    def __init__(self, rate=math.inf, open_requests=math.inf, weight=1.0):
        self.rate = rate
        self.open_requests = open_requests
        self.weight = weight


class AdmissionSettings:
    """Settings of the queue.

    Attributes:
        classes: Number of priority classes; 0 goes first, the last one is batch work.
        lowest_share: Least share of the lowest class while it has work.
        initial_rate: Requests per second assumed to leave the queue before any were measured.
        max_queued: Upper bound of queued requests, which bounds memory.
    """

    __slots__ = ("classes", "lowest_share", "initial_rate", "max_queued")

    def __init__(self, classes=3, lowest_share=0.05, initial_rate=50.0, max_queued=5000):
        self.classes = classes
        self.lowest_share = lowest_share
        self.initial_rate = initial_rate
        self.max_queued = max_queued


class Request:
    """A request that asks to be admitted.

    Attributes:
        id: Key of the request, unique at the gateway.
        client_account: Account it belongs to.
        priority: Priority class, 0 is the highest.
        wait_limit_s: Seconds that the caller waits in the queue.
        resumed: Whether it continues work that was admitted before. Limits do not apply to it.
        offered_at: Own clock in seconds, set by `offer`.
        deadline: Own clock in seconds until which it may wait in the queue, set by `offer`.
    """

    __slots__ = (
        "id",
        "client_account",
        "priority",
        "wait_limit_s",
        "resumed",
        "offered_at",
        "deadline",
    )

    def __init__(self, id, client_account, priority=0, wait_limit_s=3.0, resumed=False):
        self.id = id
        self.client_account = client_account
        self.priority = priority
        self.wait_limit_s = wait_limit_s
        self.resumed = resumed
        self.offered_at = 0.0
        self.deadline = math.inf


class _AccountQueue:
    """Requests of one account in one class; `finish` is the tag of the first of them."""

    __slots__ = ("by_id", "finish", "weight")

    def __init__(self, finish, weight):
        self.by_id = collections.OrderedDict()
        self.finish = finish
        self.weight = weight


class _Class:
    __slots__ = ("by_account", "heads", "virtual_time", "length")

    def __init__(self):
        self.by_account = {}
        self.heads = []
        self.virtual_time = 0.0
        self.length = 0


class Admission:
    """Queue and limits of one gateway.

    Each gateway enforces an account's limit divided by the number of live gateways. So the sum
    never exceeds the limit by more than the bursts, with no message between gateways on the path
    of a request, and a gateway that is cut off cannot hand out more than its share.
    """

    __slots__ = (
        "settings",
        "_limits_by_account",
        "_gateways",
        "_classes",
        "_resumed_by_id",
        "_queued_by_id",
        "_deadlines",
        "_offers",
        "_open_by_account",
        "_account_by_id",
        "_bucket_by_account",
        "_share_credit",
        "_drained",
        "_busy_s",
        "_measured_at",
    )

    def __init__(self, settings: AdmissionSettings, now: float):
        self.settings = settings
        self._limits_by_account = {}
        self._gateways = 1
        self._classes = [_Class() for _ in range(settings.classes)]
        self._resumed_by_id = {}
        self._queued_by_id = {}
        self._deadlines = []
        self._offers = 0
        self._open_by_account = {}
        self._account_by_id = {}
        self._bucket_by_account = {}
        self._share_credit = 0.0
        self._drained = settings.initial_rate * RATE_WINDOW_S
        self._busy_s = RATE_WINDOW_S
        self._measured_at = now

    def set_limits(self, limits_by_account: dict):
        """Replaces the `AccountLimits` by account; an account without limits is unlimited."""
        self._limits_by_account = limits_by_account
        for account in list(self._bucket_by_account):
            if account not in limits_by_account:
                del self._bucket_by_account[account]

    def set_live_gateways(self, count: int):
        """Sets the number of live gateways that share the limits, this one included."""
        self._gateways = max(1, count)

    def queued(self) -> int:
        """Returns the number of queued requests."""
        return len(self._queued_by_id)

    def offer(self, request: Request, now: float) -> expression.Result:
        """Puts a request in the queue or refuses it at once.

        Returns:
            `Ok(None)`, or ACCOUNT_LIMIT, QUEUE_FULL or BAD_REQUEST (an id that is open already or
            a priority that does not exist).
        """
        if request.id in self._account_by_id or not 0 <= request.priority < len(self._classes):
            return codes.failure(codes.Code.BAD_REQUEST, "The id is in use or the class unknown.")
        self._measure(now)
        request.offered_at = now
        if request.resumed:
            request.deadline = math.inf
            self._enter(request)
            self._resumed_by_id[request.id] = request
            return expression.Ok(None)
        request.deadline = now + request.wait_limit_s
        account = request.client_account
        limits = self._limits_by_account.get(account) or AccountLimits()
        open_limit = max(1, limits.open_requests / self._gateways)
        if self._open_by_account.get(account, 0) + 1 > open_limit:
            return codes.failure(codes.Code.ACCOUNT_LIMIT, "Too many open requests.")
        wait_s = self.expected_wait(account, request.priority, now)
        if len(self._queued_by_id) >= self.settings.max_queued or wait_s > request.wait_limit_s:
            return codes.failure(
                codes.Code.QUEUE_FULL, f"The expected wait of {wait_s:.1f} s is too long."
            )
        # The rate comes last, so that a refused request does not use it up.
        if not self._take_rate(account, limits, now):
            return codes.failure(codes.Code.ACCOUNT_LIMIT, "The account's rate is exceeded.")
        self._enter(request)
        self._enqueue(request, limits.weight)
        return expression.Ok(None)

    def expected_wait(self, client_account: str, priority: int, now: float) -> float:
        """Returns the expected wait in seconds of one more request of the account and class."""
        self._measure(now)
        rate = max(1e-3, self._drained / self._busy_s)
        higher = len(self._resumed_by_id) + sum(c.length for c in self._classes[:priority])
        limits = self._limits_by_account.get(client_account) or AccountLimits()
        ahead = self._ahead(self._classes[priority], client_account, limits.weight)
        wait_s = (higher + ahead) / rate
        if priority == len(self._classes) - 1:
            shared = len(self._resumed_by_id) / rate + ahead / (rate * self.settings.lowest_share)
            wait_s = min(wait_s, shared)
        return wait_s

    def take(self, count: int, now: float) -> list:
        """Returns up to `count` requests that run next, and removes them from the queue.

        Requests whose wait limit has passed are never returned; `expire` reports them.
        """
        self._measure(now)
        taken = []
        while len(taken) < count and self._queued_by_id:
            request = self._next()
            if request is None:
                break
            if now > request.deadline:
                # Stays open until `expire` reports it, so that its caller gets an error.
                continue
            del self._queued_by_id[request.id]
            taken.append(request)
        self._drained += len(taken)
        return taken

    def expire(self, now: float) -> list:
        """Removes requests whose wait limit has passed; returns pairs (request, `Failure`)."""
        self._measure(now)
        expired = []
        while self._deadlines and self._deadlines[0][0] < now:
            _, _, request = heapq.heappop(self._deadlines)
            # It may have been taken or cancelled, and its id used again since.
            if self._queued_by_id.get(request.id) is not request:
                continue
            self.cancel(request.id)
            error = codes.Failure(codes.Code.WAIT_EXPIRED, "The request waited too long.")
            expired.append((request, error))
        return expired

    def next_deadline(self) -> float:
        """Returns when `expire` should be called next by the own clock, infinite if never."""
        return self._deadlines[0][0] if self._deadlines else math.inf

    def cancel(self, id) -> bool:
        """Removes a queued request and closes it; returns whether it was queued."""
        request = self._queued_by_id.pop(id, None)
        if request is None:
            return False
        if self._resumed_by_id.pop(id, None) is None:
            each = self._classes[request.priority]
            queue = each.by_account.get(request.client_account)
            if queue is not None and queue.by_id.pop(id, None) is not None:
                each.length -= 1
                if not queue.by_id:
                    del each.by_account[request.client_account]
        self.finish(id)
        return True

    def finish(self, id):
        """Closes a request that was taken; it no longer counts as open."""
        account = self._account_by_id.pop(id, None)
        if account is None:
            return
        self._open_by_account[account] -= 1
        if not self._open_by_account[account]:
            del self._open_by_account[account]

    def _enter(self, request):
        account = request.client_account
        self._account_by_id[request.id] = account
        self._open_by_account[account] = self._open_by_account.get(account, 0) + 1
        self._queued_by_id[request.id] = request
        if not request.resumed:
            self._offers += 1
            # The counter keeps the heap from comparing requests of equal deadline.
            heapq.heappush(self._deadlines, (request.deadline, self._offers, request))

    def _take_rate(self, account, limits, now):
        if limits.rate == math.inf:
            return True
        rate = limits.rate / self._gateways
        burst = max(1.0, rate * BURST_S)
        bucket = self._bucket_by_account.get(account)
        if bucket is None:
            bucket = self._bucket_by_account[account] = retry.TokenBucket(burst, now)
        if bucket.refill(rate, burst, now) < 1:
            return False
        bucket.tokens -= 1
        return True

    def _enqueue(self, request, weight):
        each = self._classes[request.priority]
        queue = each.by_account.get(request.client_account)
        if queue is None:
            queue = _AccountQueue(each.virtual_time + 1.0 / weight, weight)
            each.by_account[request.client_account] = queue
            heapq.heappush(each.heads, (queue.finish, request.client_account))
        queue.by_id[request.id] = request
        each.length += 1

    def _ahead(self, each, account, weight):
        # Tags of one account are spaced evenly, so the requests ahead need no walk of the queue.
        own = each.by_account.get(account)
        if own is None:
            finish = each.virtual_time + 1.0 / weight
        else:
            finish = own.finish + len(own.by_id) / own.weight
        ahead = 0
        for queue in each.by_account.values():
            before = math.floor((finish - queue.finish) * queue.weight + 1e-9) + 1
            ahead += min(len(queue.by_id), max(0, before))
        return ahead

    def _next(self):
        if self._resumed_by_id:
            id = min(self._resumed_by_id, key=lambda id: self._resumed_by_id[id].priority)
            return self._resumed_by_id.pop(id)
        lowest = self._classes[-1]
        if lowest.length and self._share_credit >= 1.0:
            self._share_credit -= 1.0
            return self._pop(lowest)
        for each in self._classes:
            if each.length:
                if each is not lowest and lowest.length:
                    self._share_credit += self.settings.lowest_share
                return self._pop(each)
        return None

    def _pop(self, each):
        while True:
            finish, account = heapq.heappop(each.heads)
            queue = each.by_account.get(account)
            # A cancelled request may have left a head behind that belongs to no queue.
            if queue is None or queue.finish != finish:
                continue
            _, request = queue.by_id.popitem(last=False)
            each.length -= 1
            each.virtual_time = max(each.virtual_time, finish)
            if queue.by_id:
                queue.finish = finish + 1.0 / queue.weight
                heapq.heappush(each.heads, (queue.finish, account))
            else:
                del each.by_account[account]
            return request

    def _measure(self, now):
        # Only time with a queue counts; an idle gateway's rate says nothing about its capacity.
        elapsed = max(0.0, now - self._measured_at)
        self._measured_at = now
        if not self._queued_by_id or not elapsed:
            return
        decay = math.exp(-elapsed / RATE_WINDOW_S)
        self._drained *= decay
        self._busy_s = self._busy_s * decay + elapsed
