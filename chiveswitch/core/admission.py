"""Admission of requests at one gateway.

There are limits per client account and one queue per priority class, with weighted fair queueing
among accounts. A request is refused at once if its expected wait exceeds its limit.
"""

import collections
import heapq
import math

import expression

from chiveswitch.core import codes, retry

# Time constant in seconds of the exponential average of the rate at which requests leave the queue.
RATE_WINDOW_SECONDS = 5.0
# Burst size of an account's token bucket, in seconds of its rate at this gateway.
BURST_SECONDS = 0.5


class AccountLimits:
    """Limits of a client account over all gateways together.

    Attributes:
        rate: Largest number of requests per second.
        open_requests: Largest number of queued and running requests.
        weight: Weight in the fair queue relative to other accounts.
    """

    __slots__ = ("rate", "open_requests", "weight")

    def __init__(self, rate=math.inf, open_requests=math.inf, weight=1.0):
        self.rate = rate
        self.open_requests = open_requests
        self.weight = weight


class AdmissionSettings:
    """Settings of an `AdmissionQueue`.

    Attributes:
        classes: Number of priority classes; class 0 is served first, the last one is batch work.
        lowest_share: Share of the served requests that the last class gets at least while it has
            requests queued.
        initial_rate: Requests per second that are assumed to leave the queue before the rate has
            been measured.
        max_queued: Largest number of queued requests, which bounds memory.
    """

    __slots__ = ("classes", "lowest_share", "initial_rate", "max_queued")

    def __init__(self, classes=3, lowest_share=0.05, initial_rate=50.0, max_queued=5000):
        self.classes = classes
        self.lowest_share = lowest_share
        self.initial_rate = initial_rate
        self.max_queued = max_queued


class Request:
    """A request that is offered for admission.

    Attributes:
        id: Key of the request, unique at the gateway.
        client_account: Account that the request belongs to.
        priority: Priority class; 0 is the most urgent.
        wait_limit_s: Largest wait in the queue, in seconds.
        resumed: Whether the request continues work that was admitted before. Limits do not apply
            to it, and it is served before all others.
        offered_at: Time of the offer by the own clock in seconds, set by `offer`.
        deadline: Time by the own clock in seconds until which it may wait in the queue, set by
            `offer`.
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
    """Queued requests of one account in one priority class.

    Attributes:
        by_id: Requests by id, in the order of their arrival.
        finish_tag: Virtual finish time of the first request, by which weighted fair queueing orders
            the accounts.
        weight: Weight of the account.
    """

    __slots__ = ("by_id", "finish_tag", "weight")

    def __init__(self, finish_tag, weight):
        self.by_id = collections.OrderedDict()
        self.finish_tag = finish_tag
        self.weight = weight


class _PriorityClass:
    """Weighted fair queue of one priority class.

    Attributes:
        by_account: `_AccountQueue` by account.
        account_heap: Heap of (finish tag, account); it may hold outdated pairs.
        virtual_time: Finish tag of the last request that was served.
        length: Number of queued requests.
    """

    __slots__ = ("by_account", "account_heap", "virtual_time", "length")

    def __init__(self):
        self.by_account = {}
        self.account_heap = []
        self.virtual_time = 0.0
        self.length = 0


class AdmissionQueue:
    """Admission queue and account limits of one gateway.

    Each gateway enforces an account's limit divided by the number of live gateways. The sum over
    all gateways then exceeds the limit by their bursts at most, although no request waits for a
    message between gateways. A partitioned gateway cannot admit more than its share.
    """

    __slots__ = (
        "settings",
        "_limits_by_account",
        "_live_gateway_count",
        "_classes",
        "_resumed_by_id",
        "_queued_by_id",
        "_deadlines",
        "_enqueued_total",
        "_open_count_by_account",
        "_account_by_id",
        "_bucket_by_account",
        "_lowest_class_credit",
        "_decayed_dequeue_count",
        "_decayed_backlog_s",
        "_rate_updated_at",
    )

    def __init__(self, settings: AdmissionSettings, now: float):
        self.settings = settings
        self._limits_by_account = {}
        self._live_gateway_count = 1
        self._classes = [_PriorityClass() for _ in range(settings.classes)]
        self._resumed_by_id = {}
        self._queued_by_id = {}
        self._deadlines = []
        self._enqueued_total = 0
        self._open_count_by_account = {}
        self._account_by_id = {}
        self._bucket_by_account = {}
        self._lowest_class_credit = 0.0
        # The quotient of these two is the rate at which requests leave the queue.
        self._decayed_dequeue_count = settings.initial_rate * RATE_WINDOW_SECONDS
        self._decayed_backlog_s = RATE_WINDOW_SECONDS
        self._rate_updated_at = now

    def set_limits(self, limits_by_account: dict):
        """Replaces the `AccountLimits` of all accounts; an account without limits is unlimited."""
        self._limits_by_account = limits_by_account
        for account in list(self._bucket_by_account):
            if account not in limits_by_account:
                del self._bucket_by_account[account]

    def set_live_gateways(self, count: int):
        """Sets the number of live gateways that share the limits, including this one."""
        self._live_gateway_count = max(1, count)

    def queued_count(self) -> int:
        """Returns the number of queued requests."""
        return len(self._queued_by_id)

    def offer(self, request: Request, now: float) -> expression.Result:
        """Queues a request or refuses it at once.

        Returns:
            `Ok(None)`, or a failure: ACCOUNT_LIMIT, QUEUE_FULL, or BAD_REQUEST if the id is already
            open or the priority class does not exist.
        """
        if request.id in self._account_by_id or not 0 <= request.priority < len(self._classes):
            return codes.failure(
                codes.Code.BAD_REQUEST,
                "The request id is already open or the priority class does not exist.",
            )
        self._update_dequeue_rate(now)
        request.offered_at = now
        if request.resumed:
            request.deadline = math.inf
            self._register(request)
            self._resumed_by_id[request.id] = request
            return expression.Ok(None)
        request.deadline = now + request.wait_limit_s
        account = request.client_account
        limits = self._limits_by_account.get(account) or AccountLimits()
        open_limit = max(1, limits.open_requests / self._live_gateway_count)
        if self._open_count_by_account.get(account, 0) + 1 > open_limit:
            return codes.failure(
                codes.Code.ACCOUNT_LIMIT, "The account's limit of open requests is reached."
            )
        wait_s = self.expected_wait(account, request.priority, now)
        if len(self._queued_by_id) >= self.settings.max_queued or wait_s > request.wait_limit_s:
            return codes.failure(
                codes.Code.QUEUE_FULL, f"The expected wait of {wait_s:.1f} s is too long."
            )
        # The rate limit is checked last, so that a request refused for another reason spends no
        # token.
        if not self._spend_rate_token(account, limits, now):
            return codes.failure(
                codes.Code.ACCOUNT_LIMIT, "The account's limit of requests per second is exceeded."
            )
        self._register(request)
        self._enqueue(request, limits.weight)
        return expression.Ok(None)

    def expected_wait(self, client_account: str, priority: int, now: float) -> float:
        """Returns the expected wait in seconds of one more request of an account and class."""
        self._update_dequeue_rate(now)
        rate = max(1e-3, self._decayed_dequeue_count / self._decayed_backlog_s)
        higher = len(self._resumed_by_id) + sum(c.length for c in self._classes[:priority])
        limits = self._limits_by_account.get(client_account) or AccountLimits()
        ahead = self._count_ahead(self._classes[priority], client_account, limits.weight)
        wait_s = (higher + ahead) / rate
        if priority == len(self._classes) - 1:
            # Its minimum share lets the last class advance while higher classes have a backlog.
            wait_by_share_s = len(self._resumed_by_id) / rate + ahead / (
                rate * self.settings.lowest_share
            )
            wait_s = min(wait_s, wait_by_share_s)
        return wait_s

    def dequeue(self, count: int, now: float) -> list:
        """Removes up to `count` requests from the queue and returns them in the order to run them.

        Requests whose wait limit has passed are not returned here but by `expire`.
        """
        self._update_dequeue_rate(now)
        dequeued = []
        while len(dequeued) < count and self._queued_by_id:
            request = self._pop_next()
            if request is None:
                break
            if now > request.deadline:
                # The request stays open until `expire` returns it, so its caller gets an error.
                continue
            del self._queued_by_id[request.id]
            dequeued.append(request)
        self._decayed_dequeue_count += len(dequeued)
        return dequeued

    def expire(self, now: float) -> list:
        """Removes requests whose wait limit has passed.

        Returns:
            List of (request, `codes.Failure` with WAIT_EXPIRED).
        """
        self._update_dequeue_rate(now)
        expired = []
        while self._deadlines and self._deadlines[0][0] < now:
            _, _, request = heapq.heappop(self._deadlines)
            # The request may have been dequeued or cancelled, and its id may be in use again.
            if self._queued_by_id.get(request.id) is not request:
                continue
            self.cancel(request.id)
            error = codes.Failure(
                codes.Code.WAIT_EXPIRED, "The request's wait limit in the queue has passed."
            )
            expired.append((request, error))
        return expired

    def next_deadline(self) -> float:
        """Returns the time by the own clock at which `expire` is next due, infinite if never."""
        return self._deadlines[0][0] if self._deadlines else math.inf

    def cancel(self, id) -> bool:
        """Removes a request from the queue, so that it no longer counts as open.

        Returns:
            Whether the request was queued.
        """
        request = self._queued_by_id.pop(id, None)
        if request is None:
            return False
        if self._resumed_by_id.pop(id, None) is None:
            priority_class = self._classes[request.priority]
            queue = priority_class.by_account.get(request.client_account)
            if queue is not None and queue.by_id.pop(id, None) is not None:
                priority_class.length -= 1
                if not queue.by_id:
                    del priority_class.by_account[request.client_account]
        self.finish(id)
        return True

    def finish(self, id):
        """Ends a request, which then no longer counts as open; unknown ids are ignored."""
        account = self._account_by_id.pop(id, None)
        if account is None:
            return
        self._open_count_by_account[account] -= 1
        if not self._open_count_by_account[account]:
            del self._open_count_by_account[account]

    def _register(self, request):
        account = request.client_account
        self._account_by_id[request.id] = account
        self._open_count_by_account[account] = self._open_count_by_account.get(account, 0) + 1
        self._queued_by_id[request.id] = request
        if not request.resumed:
            self._enqueued_total += 1
            # The counter breaks ties of equal deadlines, because requests cannot be compared.
            heapq.heappush(self._deadlines, (request.deadline, self._enqueued_total, request))

    def _spend_rate_token(self, account, limits, now):
        if limits.rate == math.inf:
            return True
        rate = limits.rate / self._live_gateway_count
        burst = max(1.0, rate * BURST_SECONDS)
        bucket = self._bucket_by_account.get(account)
        if bucket is None:
            bucket = self._bucket_by_account[account] = retry.TokenBucket(burst, now)
        if bucket.refill(rate, burst, now) < 1:
            return False
        bucket.tokens -= 1
        return True

    def _enqueue(self, request, weight):
        priority_class = self._classes[request.priority]
        queue = priority_class.by_account.get(request.client_account)
        if queue is None:
            queue = _AccountQueue(priority_class.virtual_time + 1.0 / weight, weight)
            priority_class.by_account[request.client_account] = queue
            heapq.heappush(priority_class.account_heap, (queue.finish_tag, request.client_account))
        queue.by_id[request.id] = request
        priority_class.length += 1

    def _count_ahead(self, priority_class, account, weight):
        # Finish tags of one account are evenly spaced, so the number of requests ahead can be
        # computed without walking through the queue.
        own = priority_class.by_account.get(account)
        if own is None:
            finish = priority_class.virtual_time + 1.0 / weight
        else:
            finish = own.finish_tag + len(own.by_id) / own.weight
        ahead = 0
        for queue in priority_class.by_account.values():
            before = math.floor((finish - queue.finish_tag) * queue.weight + 1e-9) + 1
            ahead += min(len(queue.by_id), max(0, before))
        return ahead

    def _pop_next(self):
        if self._resumed_by_id:
            id = min(self._resumed_by_id, key=lambda id: self._resumed_by_id[id].priority)
            return self._resumed_by_id.pop(id)
        lowest = self._classes[-1]
        if lowest.length and self._lowest_class_credit >= 1.0:
            self._lowest_class_credit -= 1.0
            return self._pop_from_class(lowest)
        for priority_class in self._classes:
            if priority_class.length:
                if priority_class is not lowest and lowest.length:
                    self._lowest_class_credit += self.settings.lowest_share
                return self._pop_from_class(priority_class)
        return None

    def _pop_from_class(self, priority_class):
        while True:
            finish, account = heapq.heappop(priority_class.account_heap)
            queue = priority_class.by_account.get(account)
            # Cancelling requests can empty a queue; the pair that stays in the heap is skipped.
            if queue is None or queue.finish_tag != finish:
                continue
            _, request = queue.by_id.popitem(last=False)
            priority_class.length -= 1
            priority_class.virtual_time = max(priority_class.virtual_time, finish)
            if queue.by_id:
                queue.finish_tag = finish + 1.0 / queue.weight
                heapq.heappush(priority_class.account_heap, (queue.finish_tag, account))
            else:
                del priority_class.by_account[account]
            return request

    def _update_dequeue_rate(self, now):
        # Only time with queued requests is counted: the rate of an idle gateway shows its demand,
        # not its capacity.
        elapsed = max(0.0, now - self._rate_updated_at)
        self._rate_updated_at = now
        if not self._queued_by_id or not elapsed:
            return
        decay = math.exp(-elapsed / RATE_WINDOW_SECONDS)
        self._decayed_dequeue_count *= decay
        self._decayed_backlog_s = self._decayed_backlog_s * decay + elapsed
