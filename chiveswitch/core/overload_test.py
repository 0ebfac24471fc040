"""Tests of the admission of calls to services with too little room, in virtual time."""

import heapq
import random

from chiveswitch.core import overload, quota

SERVICE = "desk"
SLOTS, QUEUE = 6, 24
WORK_SECONDS = 0.045
OBJECTIVE_SECONDS = 0.25
DEADLINE_SECONDS = 1.6
GATEWAYS = 65
HOP_SECONDS = 0.001
MAX_KNOCKS, KNOCK_SECONDS = 6, 0.03


class Target:
    """A target that runs some calls at once and queues a few more."""

    def __init__(self, crowd, target_id):
        self.crowd = crowd
        self.target_id = target_id
        self.running, self.queue = 0, []
        self.arrivals = self.rejections = 0

    def load(self):
        now = self.crowd.now
        return overload.Load(self.target_id, self.running, len(self.queue), SLOTS, now)

    def arrive(self, answer):
        self.arrivals += 1
        if self.running >= SLOTS and len(self.queue) >= QUEUE:
            self.rejections += 1
            answer(True)
            return
        self.queue.append(answer)
        self.start()

    def start(self):
        if not self.queue or self.running >= SLOTS:
            return
        self.running += 1
        answer = self.queue.pop(0)
        work_s = WORK_SECONDS * self.crowd.rng.uniform(0.4, 1.6)
        self.crowd.schedule(work_s, self.finish, answer)

    def finish(self, answer):
        self.running -= 1
        answer(False)
        self.start()


class Crowd:
    """Calls of many gateways to some targets, under the decisions of the code."""

    def __init__(self, target_count=1, seed=1):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events, self.serial = [], 0
        self.targets = [Target(self, f"w{number}") for number in range(target_count)]
        self.tables = [overload.PressureTable(self.on_changed) for _ in range(GATEWAYS)]
        self.changes = []
        self.issuer = overload.OverloadIssuer(self.rng)
        self.own_issuers = None
        self.asked = 0
        self.outcomes = []

    def on_changed(self, event, service, seconds):
        self.changes.append((self.now, event))

    def lose_issuer(self):
        self.own_issuers = []
        for _ in range(GATEWAYS):
            issuer = overload.OverloadIssuer(self.rng, overload.SHARE_BURST_SECONDS)
            issuer.set_share(1 / GATEWAYS)
            self.own_issuers.append(issuer)

    def schedule(self, delay_s, function, *arguments):
        self.serial += 1
        heapq.heappush(self.events, (self.now + delay_s, self.serial, function, arguments))

    def run(self, until):
        while self.events and self.events[0][0] < until:
            self.now, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)
        self.now = until

    def add_calls(self, rate, begin, end, **details):
        at = begin
        while (at := at + self.rng.expovariate(rate)) < end:
            self.schedule(at - self.now, Call(self, at, **details).begin)

    def in_aim(self, begin, end, **details):
        """Returns the numbers of calls that began in a time, and of those served in their aim."""
        calls = [call for call in self.outcomes if begin <= call.began_at < end]
        for name, value in details.items():
            calls = [call for call in calls if getattr(call, name) == value]
        served = [call for call in calls if call.took_s < OBJECTIVE_SECONDS]
        return len(calls), len(served)


class Call:
    """One call of a caller that comes back once after a refusal."""

    def __init__(self, crowd, began_at, account="a", priority=0):
        self.crowd = crowd
        self.began_at = began_at
        self.account = account
        self.priority = priority
        self.took_s = float("inf")
        self.attempts = 0
        self.key = crowd.rng.getrandbits(60)

    def begin(self):
        self.attempts += 1
        self.gateway = self.crowd.rng.randrange(GATEWAYS)
        self.arrived_at = self.crowd.now
        self.knocks = 0
        self.admit()

    def admit(self):
        crowd = self.crowd
        table = crowd.tables[self.gateway]
        ids = [target.target_id for target in crowd.targets]
        if not table.is_pressed(SERVICE, ids, crowd.now):
            self.send(crowd.rng.choice(crowd.targets))
            return
        left_s = self.began_at + DEADLINE_SECONDS - crowd.now
        waited_s = crowd.now - self.arrived_at
        max_wait_s = table.max_wait_s(SERVICE, OBJECTIVE_SECONDS, waited_s, left_s)
        rate = SLOTS / table.work_s(SERVICE, OBJECTIVE_SECONDS)
        request = quota.QuotaRequest(
            dict.fromkeys(ids, rate), self.account, self.priority, max_wait_s, key=self.key
        )
        crowd.asked += 1
        loads = [table.load_of(target_id, crowd.now) for target_id in ids]
        issuer = crowd.own_issuers[self.gateway] if crowd.own_issuers else crowd.issuer
        issuer.observe([load for load in loads if load is not None], crowd.now)
        grant = issuer.request(SERVICE, request, crowd.now)
        if not grant.target_id or grant.delay_s > 0:
            table.record_shortage(SERVICE, crowd.now)
        if not grant.target_id:
            self.end(False, overload.limit_return_s(grant.retry_after_s, left_s, crowd.rng))
            return
        target = crowd.targets[ids.index(grant.target_id)]
        crowd.schedule(grant.delay_s + 2 * HOP_SECONDS, self.send, target)

    def send(self, target):
        sent_at = self.crowd.now
        self.crowd.schedule(
            HOP_SECONDS,
            target.arrive,
            lambda is_rejected: self.crowd.schedule(
                HOP_SECONDS, self.answer, target.load(), sent_at, is_rejected
            ),
        )

    def answer(self, load, sent_at, is_rejected):
        crowd = self.crowd
        load.at = crowd.now
        took_s = None if is_rejected else crowd.now - sent_at
        table = crowd.tables[self.gateway]
        table.record_response(SERVICE, load, is_rejected, took_s, OBJECTIVE_SECONDS)
        if not is_rejected:
            self.end(True, 0.0)
            return
        self.knocks += 1
        if self.knocks >= MAX_KNOCKS:
            self.end(False, 0.2)
            return
        crowd.schedule(KNOCK_SECONDS, self.admit)

    def end(self, is_served, retry_after_s):
        crowd = self.crowd
        if is_served:
            self.took_s = crowd.now - self.began_at
        elif self.attempts < 2:
            crowd.schedule(retry_after_s, self.begin)
            return
        crowd.outcomes.append(self)


def shrunk_crowd(rate=130.0, end=20.0, **details):
    """Returns calls to three targets, of which one is left at 8 s."""
    crowd = Crowd(3)
    crowd.add_calls(rate, 0.0, end, **details)
    crowd.run(8.0)
    del crowd.targets[1:]
    return crowd


def test_calls_that_fit_are_served_in_their_aim_and_few_are_rejected():
    # Load: 160 calls/s of 65 gateways to three targets of which one is left, which can serve 133/s.
    crowd = shrunk_crowd(160.0)
    target = crowd.targets[0]
    rejected_before = target.rejections
    crowd.run(22.0)
    _, served = crowd.in_aim(8.0, 20.0)
    assert served > 0.8 * 12.0 * SLOTS / WORK_SECONDS
    # A gateway learns of the crowd by one rejection at most.
    assert target.rejections - rejected_before < GATEWAYS


def test_a_target_that_was_overrun_is_used_in_full_soon_after():
    # Load: 200 calls/s to one target, and for 2 s as many as it can serve without any grant.
    crowd = shrunk_crowd(200.0)
    target = crowd.targets[0]
    for number in range(267):
        crowd.schedule(4.0 + number / 133, target.arrive, lambda is_rejected: None)
    crowd.run(14.2)
    arrivals_before = target.arrivals
    crowd.run(16.2)
    assert target.arrivals - arrivals_before > 0.85 * 2.0 * SLOTS / WORK_SECONDS


def test_the_queue_stays_as_short_as_the_objective_requires():
    # Load: 200 calls/s to one target; a full queue alone takes most of the objective.
    crowd = shrunk_crowd(200.0)
    lengths = []
    for step in range(100):
        crowd.run(10.0 + step / 10)
        lengths.append(len(crowd.targets[0].queue))
    lengths.sort()
    assert lengths[90] * WORK_SECONDS / SLOTS < OBJECTIVE_SECONDS / 2


def test_slots_are_in_use_while_calls_are_refused():
    # Load: 200 calls/s to one target. Room that is left unused is refused to callers in vain.
    crowd = shrunk_crowd(200.0)
    arrivals_before = crowd.targets[0].arrivals
    crowd.run(20.0)
    arrived = crowd.targets[0].arrivals - arrivals_before
    assert arrived > 0.9 * 12.0 * SLOTS / WORK_SECONDS


def test_targets_with_room_need_no_grants():
    # Load: 130 calls/s to three targets that can serve 400/s.
    crowd = Crowd(3)
    crowd.add_calls(130.0, 0.0, 20.0)
    crowd.run(22.0)
    assert crowd.asked == 0


def test_one_full_target_beside_others_with_room_needs_no_grants():
    # Load: one target rejects everything while two others have room.
    crowd = Crowd(3)
    crowd.targets[0].running = SLOTS
    crowd.targets[0].queue = [lambda is_rejected: None] * QUEUE
    crowd.add_calls(130.0, 0.0, 10.0)
    crowd.run(12.0)
    assert crowd.targets[0].rejections > 0
    assert crowd.asked == 0


def test_grants_end_soon_after_the_crowd():
    # Load: 200 calls/s to one target until 20 s, and 40/s after that.
    crowd = shrunk_crowd(200.0)
    crowd.add_calls(40.0, 20.0, 40.0)
    crowd.run(20.0 + 1.5 * overload.HOLD_SECONDS)
    asked = crowd.asked
    crowd.run(42.0)
    assert crowd.asked - asked < 0.05 * 40.0 * 17.0


def test_a_returning_target_is_not_overrun():
    # Load: 200 calls/s to one target; a second one that has just started joins it.
    crowd = shrunk_crowd(200.0)
    crowd.run(14.0)
    crowd.targets.append(Target(crowd, "w9"))
    crowd.run(20.0)
    assert crowd.targets[1].arrivals > 0.5 * 200.0 * 6.0 / 2
    assert crowd.targets[1].rejections == 0


def test_urgent_calls_come_first():
    # Load: 40 urgent calls/s beside 160 others to one target that can serve 133/s.
    crowd = shrunk_crowd(160.0, priority=2)
    crowd.add_calls(40.0, 8.0, 20.0, priority=0)
    crowd.run(22.0)
    urgent, urgent_served = crowd.in_aim(9.0, 20.0, priority=0)
    assert urgent_served > 0.9 * urgent


def test_a_large_account_leaves_room_to_small_ones():
    # Load: one account sends 200 calls/s, another one 20/s, to one target that can serve 133/s.
    crowd = shrunk_crowd(200.0, account="large")
    crowd.add_calls(20.0, 8.0, 20.0, account="small")
    crowd.run(22.0)
    small, small_served = crowd.in_aim(9.0, 20.0, account="small")
    assert small_served > 0.9 * small


def test_gateways_without_an_issuer_use_their_shares():
    # Load: 160 calls/s to one target that can serve 133/s, while no gateway reaches an issuer.
    crowd = shrunk_crowd(160.0)
    crowd.lose_issuer()
    target = crowd.targets[0]
    rejected_before = target.rejections
    crowd.run(22.0)
    calls, served = crowd.in_aim(8.0, 20.0)
    assert served > 0.5 * calls
    assert target.rejections - rejected_before < GATEWAYS


def test_a_call_that_was_refused_gets_what_first_attempts_leave():
    # Load: a crowd in which calls that return would take the room of those that can meet their aim.
    issuer = overload.OverloadIssuer(random.Random(1))
    rate = SLOTS / WORK_SECONDS

    def request(key, now):
        return issuer.request(
            SERVICE, quota.QuotaRequest({"w": rate}, max_wait_s=0.1, key=key), now
        )

    while request(0, 1.0).target_id:
        continue
    assert not request(7, 1.0).target_id
    # Half of the wait has passed, which is more than a returning call may wait.
    assert not request(7, 1.05).target_id
    assert request(8, 1.05).target_id


def test_callers_are_told_to_return_before_they_give_up():
    # Load: refused callers that ignore a time beyond a third of what is left of their deadline.
    rng = random.Random(1)
    for retry_after_s in (0.0, 0.1, 0.4, 10.0):
        told_s = overload.limit_return_s(retry_after_s, 1.5, rng)
        assert min(retry_after_s, 0.5) <= told_s <= 0.5


def test_work_times_under_pressure_change_nothing():
    # Load: answers that waited at a full target; a longer work time would lower the usual rate.
    table = overload.PressureTable()
    table.record_response(SERVICE, overload.Load("w", 1, 0, SLOTS, 1.0), False, 0.05, 1.0)
    known_s = table.work_s(SERVICE, 1.0)
    table.record_response(SERVICE, overload.Load("w", 6, 9, SLOTS, 2.0), False, 0.1, 1.0)
    assert table.work_s(SERVICE, 1.0) == known_s


def test_late_responses_of_targets_with_room_leave_calls_time_to_wait():
    # Load: one response in ten takes longer than the objective, as over a link with losses.
    table = overload.PressureTable()
    for number in range(200):
        took_s = 1.5 if number % 10 == 0 else WORK_SECONDS
        load = overload.Load("w", 1, 0, SLOTS, number)
        table.record_response(SERVICE, load, False, took_s, OBJECTIVE_SECONDS)
    assert table.work_s(SERVICE, OBJECTIVE_SECONDS) < 1.5 * WORK_SECONDS
    wait_s = table.max_wait_s(SERVICE, OBJECTIVE_SECONDS, 0.0, DEADLINE_SECONDS)
    assert wait_s > OBJECTIVE_SECONDS / 3


def test_targets_and_refusals_that_are_remembered_are_bounded():
    # Load: more targets and refused calls than the tables keep.
    table, issuer = overload.PressureTable(), overload.OverloadIssuer(random.Random(1))
    for number in range(overload.MAX_ENTRIES + 10):
        load = overload.Load(f"w{number}", 6, 24, SLOTS, 1.0)
        table.record_response(SERVICE, load, True, None, 0.2)
        issuer.request(SERVICE, quota.QuotaRequest({"w": 0.1}, key=number + 1), 1.0)
    assert len(table._load_by_target) == len(table._full_at_by_target) == overload.MAX_ENTRIES
    issuer.sweep(1.0)
    assert len(issuer._refused_at_by_key) == overload.MAX_ENTRIES
