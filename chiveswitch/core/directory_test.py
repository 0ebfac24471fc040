"""Tests of the directory in virtual time: ten gateways and their targets on a faulty network."""

import heapq
import itertools
import random

import hypothesis
import hypothesis.stateful
import hypothesis.strategies as st

from chiveswitch.core import directory
from chiveswitch.peers import directory_codec

ZONES = ("z1", "z2", "z3", "z4")


class Target:
    """The true state of a target, with which the test compares the gateways' directories."""

    def __init__(self, name, gateway_ids):
        self.name, self.gateway_ids = name, gateway_ids
        self.incarnation, self.alive, self.state = 0, False, "ready"
        self.ended_at = {}

    def start(self):
        self.incarnation += 1
        self.sequence, self.alive, self.state, self.tickets = 0, True, "ready", {}

    def end(self, now):
        self.ended_at.setdefault(self.incarnation, now)


class World:
    """Gateways with unrelated clocks, targets, and a network with faults."""

    def __init__(self, seed, gateways=10, targets=6, interval=0.4):
        self.random = random.Random(seed)
        self.now, self.events, self.order = 0.0, [], itertools.count()
        self.interval, self.faults, self.blocked, self.paused = interval, False, set(), set()
        self.bytes, self.learned = 0, set()
        self.by_id, self.offset = {}, {}
        for n in range(gateways):
            name = f"g{n}"
            description = directory.Description(
                name, "gateway", ZONES[n % 4], f"10.0.0.{n}:8000", 1, peer_address=name
            )
            self.by_id[name] = directory.Directory(description)
            self.offset[name] = self.random.uniform(0, 1e6)
            self.at(self.random.uniform(0, interval), lambda name=name: self.pull_tick(name))
        self.targets = []
        for n in range(targets):
            first = n % gateways
            target = Target(f"t{n}", (f"g{first}", f"g{(first + 1) % gateways}"))
            target.start()
            self.targets.append(target)
            self.at(self.random.uniform(0, 0.5), lambda target=target: self.announce_tick(target))

    def at(self, when, action):
        heapq.heappush(self.events, (when, next(self.order), action))

    def run(self, seconds, check):
        until = self.now + seconds
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heapq.heappop(self.events)
            action()
            check()
        self.now = until
        check()

    def clock(self, name):
        return self.now + self.offset[name]

    def send(self, source, destination, action):
        copies = [self.random.uniform(0.001, 0.005)]
        if (source, destination) in self.blocked:
            return
        if self.faults:
            kind = self.random.randrange(8)
            if kind == 0:
                return
            if kind == 1:
                copies = [self.random.uniform(0.1, 9.0)]
            if kind == 2:
                copies.append(self.random.uniform(0.1, 9.0))
        for delay in copies:
            self.at(self.now + delay, lambda: self.arrive(destination, action))

    def arrive(self, destination, action):
        if destination in self.paused:
            # Messages stay in the socket buffer of a paused process.
            self.at(self.now + 0.5, lambda: self.arrive(destination, action))
        else:
            action()

    def pull_tick(self, name):
        self.at(self.now + self.interval, lambda: self.pull_tick(name))
        if name in self.paused:
            return
        for peer in self.by_id[name].choose_peers(list(self.by_id), 2, self.random):
            self.pull(name, peer)

    def pull(self, name, peer):
        sent_at = self.clock(name)
        data = directory_codec.encode_request(self.by_id[name].pull_request(peer, sent_at))
        self.bytes += len(data)

        def answer():
            request = directory_codec.decode_request(data).ok
            response = self.by_id[peer].answer_pull(request, self.clock(peer))
            encoded = directory_codec.encode_answer(response)
            self.bytes += len(encoded)
            self.send(peer, name, lambda: apply(encoded))

        def apply(encoded):
            response = directory_codec.decode_answer(encoded).ok
            if self.by_id[name].apply_pull(peer, response, sent_at, self.clock(name)) > 0:
                self.pull(name, peer)
            self.record_leaving(name)

        self.send(name, peer, answer)

    def record_leaving(self, name):
        for id, entry in self.by_id[name].by_id.items():
            if entry.state == "leaving":
                self.learned.add((name, id, entry.description.incarnation))

    def announce_tick(self, target):
        self.at(self.now + 0.5, lambda: self.announce_tick(target))
        if target.alive:
            self.announce(target)

    def announce(self, target, sequence=None, state=None):
        target.sequence += 1
        incarnation = target.incarnation
        fixed = {"models": [("large-v1", "", "2026-01"), ("large-v1", "news", "7")], "capacity": 8}
        warm = [self.random.getrandbits(63) for _ in range(4)]
        address = f"10.0.1.1:80{target.name[1:]}"
        description = directory.Description(
            target.name,
            "engine",
            "z1",
            address,
            incarnation,
            role="decode",
            warm_prefixes=warm,
            **fixed,
        )
        number, state = sequence or target.sequence, state or target.state
        for gateway_id in target.gateway_ids:
            ticket, load = target.tickets.get(gateway_id, b""), self.random.randrange(9)
            report = directory.Announcement(description, number, state, load, 0, ticket)

            def deliver(gateway_id=gateway_id, report=report):
                ticket = self.by_id[gateway_id].announce(report, self.clock(gateway_id))
                if report.state == "leaving":
                    self.learned.add((gateway_id, target.name, incarnation))
                self.send(gateway_id, target.name, lambda: store_ticket(gateway_id, ticket))

            self.send(target.name, gateway_id, deliver)

        def store_ticket(gateway_id, ticket):
            if target.incarnation == incarnation:
                target.tickets[gateway_id] = ticket

    def usable(self, name):
        return self.by_id[name].usable_targets(self.clock(name))


class DirectoryMachine(hypothesis.stateful.RuleBasedStateMachine):
    """Guards against dispatch to a target that left, crashed or was replaced by a later start."""

    @hypothesis.stateful.initialize(seed=st.integers(0, 1000), faults=st.booleans())
    def begin(self, seed, faults):
        self.world = World(seed)
        self.world.run(4, lambda: None)
        self.world.faults = faults
        self.seen = {}

    def check(self):
        world = self.world
        truth = {target.name: target for target in world.targets}
        for name in world.by_id:
            if name in world.paused:
                continue
            for entry in world.usable(name):
                id, incarnation = entry.description.id, entry.description.incarnation
                ended_at = truth[id].ended_at.get(incarnation, world.now)
                assert world.now - ended_at <= 3.0, "dispatch more than 3 s after the end"
                assert (name, id, incarnation) not in world.learned, "dispatch after `leaving`"
                assert incarnation >= self.seen.get((name, id), 0), "older incarnation returned"
                self.seen[name, id] = incarnation

    @hypothesis.stateful.rule(seconds=st.sampled_from([0.3, 1.0, 2.6, 6.0]))
    def advance(self, seconds):
        self.world.run(seconds, self.check)

    @hypothesis.stateful.rule(n=st.integers(0, 5), race=st.booleans(), die=st.booleans())
    def leave(self, n, race, die):
        target = self.world.targets[n]
        if not target.alive or target.state == "leaving":
            return
        target.end(self.world.now)
        target.state = "leaving"
        self.world.announce(target)
        if race:
            # Another task of the target created this report just before the target left.
            self.world.announce(target, target.sequence + 1, "ready")
        target.alive = not die
        self.world.run(1.0, self.check)

    @hypothesis.stateful.rule(n=st.integers(0, 5), restart=st.booleans())
    def die(self, n, restart):
        target = self.world.targets[n]
        target.end(self.world.now)
        target.alive = False
        if restart:
            target.start()
        self.world.run(1.0, self.check)

    @hypothesis.stateful.rule(n=st.integers(0, 9), seconds=st.sampled_from([0.5, 4.0, 40.0]))
    def pause(self, n, seconds):
        name = f"g{n}"
        self.world.paused.add(name)
        self.world.run(min(seconds, 8.0), self.check)
        # The rest of a longer pause only advances the gateway's clock, to keep the test fast.
        self.world.offset[name] += max(0.0, seconds - 8.0)
        self.world.paused.discard(name)
        self.check()
        self.world.run(0.5, self.check)

    @hypothesis.stateful.rule(
        cut=st.integers(1, 9), one_way=st.booleans(), cut_targets=st.booleans()
    )
    def partition(self, cut, one_way, cut_targets):
        names = list(self.world.by_id)
        right = names[cut:] + [target.name for target in self.world.targets if cut_targets]
        for left, other in itertools.product(names[:cut], right):
            self.world.blocked.add((left, other))
            if not one_way:
                self.world.blocked.add((other, left))
        self.world.run(2.0, self.check)

    @hypothesis.stateful.rule()
    def heal(self):
        self.world.blocked.clear()


TestDirectory = DirectoryMachine.TestCase
TestDirectory.settings = hypothesis.settings(
    max_examples=14, stateful_step_count=10, suppress_health_check=list(hypothesis.HealthCheck)
)


def test_live_targets_stay_usable_undisturbed():
    # Guards against entries that expire between refreshes, and against control traffic above its
    # limit of 10 KB/s per node, sent and received bytes together.
    world = World(3, targets=22)
    world.run(4, lambda: None)
    world.bytes = 0
    for _ in range(120):
        world.run(0.1, lambda: None)
        for name in world.by_id:
            assert len(world.usable(name)) == 22
    # Each byte counts twice: one gateway sends it and another one receives it.
    assert 2 * world.bytes / 12 / 10 < 10_000


def test_ticket_bounds_the_age_of_a_report():
    # Guards against an entry that looks fresh although its age is unknown: its announcement was
    # late or had no ticket, or the ticket belongs to another gateway, target or incarnation.
    def report(view, now, ticket, incarnation=1, id="t0", sequence=1):
        description = directory.Description(id, "engine", "z1", "", incarnation)
        report = directory.Announcement(description, sequence, "ready", ticket=ticket)
        return view.announce(report, now)

    def usable_after(ticket, now, **fields):
        view = directory.Directory(directory.Description("g0", "gateway", "z1", "", 1))
        report(view, now, ticket, **fields)
        return len(view.usable_targets(now))

    view = directory.Directory(directory.Description("g0", "gateway", "z1", "", 1))
    ticket = report(view, 100.0, b"")
    assert view.usable_targets(100.0) == []
    assert view.is_current(100.0) is False
    assert usable_after(ticket, 102.4) == 1
    assert usable_after(ticket, 102.6) == 0
    assert usable_after(ticket, 99.0) == 0
    assert usable_after(ticket, 100.1, incarnation=2) == 0
    assert usable_after(ticket, 100.1, id="t1") == 0
    for id, incarnation in (("g1", 1), ("g0", 2)):
        other = directory.Directory(directory.Description(id, "gateway", "z1", "", incarnation))
        assert usable_after(report(other, 100.0, b""), 100.1) == 0


def test_paused_gateway_has_a_stale_view_until_it_pulls():
    # Guards against a gateway that was paused and then sends work to targets which may have left,
    # or suspects all others because it received nothing from them.
    world = World(4)
    world.run(4, lambda: None)
    view = world.by_id["g0"]
    later = world.clock("g0") + 60
    assert view.usable_targets(later) == []
    assert not view.is_current(later)
    assert view.suspected_gateways(later, 1.2) == []
    assert [each.description.id for each in view.live_gateways(later)] == ["g0"]


def test_silent_gateway_is_suspected_and_contact_counts():
    # Guards against a dead gateway that is kept as a journal holder, and against suspecting a
    # gateway that responds to other traffic.
    world = World(5, interval=0.1)
    world.run(4, lambda: None)
    world.paused.add("g3")
    world.run(1.3, lambda: None)
    view, now = world.by_id["g0"], world.clock("g0")
    assert [each.description.id for each in view.suspected_gateways(now, 1.2)] == ["g3"]
    view.record_contact("g3", 0, now)
    assert len(view.suspected_gateways(now, 1.2)) == 1
    view.record_contact("g3", 1, now - 0.1)
    assert view.suspected_gateways(now, 1.2) == []
