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
