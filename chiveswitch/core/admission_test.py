"""Tests of admission: fairness between accounts, the batch share, limits and the bounded queue."""

import hypothesis
import hypothesis.stateful
import hypothesis.strategies as st

from chiveswitch.core import admission, codes


def new(**settings):
    return admission.AdmissionQueue(admission.AdmissionSettings(**settings), 0.0)


def test_large_account_cannot_push_small_accounts_wait():
    # Guards against an account with 100 times the demand of another one that fills the queue, so
    # that requests of the other account wait long or are refused.
    queue, waits, large_taken = new(), [], 0
    for step in range(2000):
        now = step / 100
        for n in range(4):
            queue.offer(admission.Request((step, n), "large"), now)
        if step % 25 == 0:
            assert queue.offer(admission.Request((step, "s"), "small"), now).is_ok()
        if step % 2 == 0:
            for request in queue.dequeue(1, now):
                queue.finish(request.id)
                if request.client_account == "small":
                    waits.append(now - request.offered_at)
                else:
                    large_taken += 1
        queue.expire(now)
    # At 50 requests per second, a request of the small account waits for at most two of the large
    # one.
    assert len(waits) >= 79 and max(waits) <= 0.06
    assert large_taken > 850


def test_weights_share_the_queue():
    # Guards against account weights that have no effect on the order of the queue.
    queue = new(initial_rate=1000.0)
    queue.set_limits({"heavy": admission.AccountLimits(weight=3.0)})
    for n in range(100):
        queue.offer(admission.Request(("h", n), "heavy"), 0.0)
        queue.offer(admission.Request(("l", n), "light"), 0.0)
    taken = [request.client_account for request in queue.dequeue(80, 0.0)]
    assert 58 <= taken.count("heavy") <= 62


def test_batch_work_finishes_under_constant_lookups():
    # Guards against starvation: urgent lookups exceed the capacity all the time, so that batch
    # requests would never run without their minimum share.
    queue, finished = new(lowest_share=0.05), 0
    for n in range(10):
        assert queue.offer(admission.Request(("b", n), "batch", 2, 60.0), 0.0).is_ok()
    for step in range(1000):
        now = step / 50
        for n in range(3):
            queue.offer(admission.Request((step, n), f"a{n}", 0), now)
        for request in queue.dequeue(1, now):
            queue.finish(request.id)
            finished += request.priority == 2
        queue.expire(now)
    assert finished == 10


def test_limits_are_shared_by_live_gateways():
    # Guards against ten gateways that each enforce the whole limit of an account, which would then
    # get ten times its limit.
    limits = {"a": admission.AccountLimits(rate=100.0, open_requests=40)}
    queues = [new() for _ in range(10)]
    granted, refused = 0, set()
    for queue in queues:
        queue.set_limits(limits)
        queue.set_live_gateways(10)
    for step in range(500):
        for queue in queues:
            result = queue.offer(admission.Request(step, "a"), step / 100)
            if result.is_error():
                refused.add(result.error.code)
                continue
            granted += 1
            queue.dequeue(1, step / 100)
            queue.finish(step)
    assert refused == {codes.Code.ACCOUNT_LIMIT}
    assert 480 <= granted <= 100 * 5 + 10 * 5
    queue = new()
    queue.set_limits({"a": admission.AccountLimits(open_requests=40)})
    queue.set_live_gateways(10)
    granted = [queue.offer(admission.Request(n, "a"), 0.0).is_ok() for n in range(5)]
    assert granted == [True] * 4 + [False]


class AdmissionMachine(hypothesis.stateful.RuleBasedStateMachine):
    """Guards against requests that are lost, returned twice or never returned, and long waits."""

    @hypothesis.stateful.initialize()
    def begin(self):
        self.queue, self.now, self.ids = new(initial_rate=5.0), 0.0, 0
        self.waiting, self.running = {}, set()

    @hypothesis.stateful.rule(
        account=st.integers(0, 3),
        priority=st.integers(0, 2),
        wait=st.sampled_from([0.2, 1.0, 3.0]),
        resumed=st.booleans(),
        count=st.integers(1, 4),
    )
    def offer(self, account, priority, wait, resumed, count):
        for _ in range(count):
            self.ids += 1
            request = admission.Request(self.ids, f"a{account}", priority, wait, resumed)
            expected = self.queue.expected_wait(f"a{account}", priority, self.now)
            result = self.queue.offer(request, self.now)
            assert result.is_ok() == (resumed or expected <= wait)
            if result.is_ok():
                self.waiting[self.ids] = request
            else:
                assert result.error.code == codes.Code.QUEUE_FULL

    @hypothesis.stateful.rule(count=st.integers(1, 6))
    def take(self, count):
        live = [each for each in self.waiting.values() if each.resumed or self.in_time(each)]
        taken = self.queue.dequeue(count, self.now)
        assert len(taken) == min(count, len(live))
        resumed = [each for each in live if each.resumed]
        assert all(each.resumed for each in taken[: len(resumed)])
        for request in taken:
            assert request.resumed or self.in_time(request)
            del self.waiting[request.id]
            self.running.add(request.id)

    @hypothesis.stateful.rule(seconds=st.sampled_from([0.05, 0.5, 2.0]))
    def advance(self, seconds):
        self.now += seconds
        queued = [each for each in self.waiting.values() if not each.resumed]
        late = {each.id for each in queued if not self.in_time(each)}
        if self.ids % 2:
            expired = self.queue.expire(self.now)
            assert {request.id for request, _ in expired} == late
            for id in late:
                del self.waiting[id]

    @hypothesis.stateful.rule(n=st.integers(0, 20))
    def cancel(self, n):
        known = self.waiting.pop(n, None)
        assert self.queue.cancel(n) == (known is not None)

    @hypothesis.stateful.rule()
    def finish(self):
        for id in self.running:
            self.queue.finish(id)
        self.running = set()

    @hypothesis.stateful.invariant()
    def same_queue(self):
        if hasattr(self, "queue"):
            assert self.queue.queued_count() == len(self.waiting)

    def in_time(self, request):
        return self.now <= request.offered_at + request.wait_limit_s


TestAdmission = AdmissionMachine.TestCase
TestAdmission.settings = hypothesis.settings(max_examples=60, stateful_step_count=20)
