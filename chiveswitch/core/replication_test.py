"""Simulation in virtual time of owners, holders and takeovers on faulty links, with an oracle.

The oracle checks only what owners report (committed tokens, finished takeovers) by comparing lists.
It does not use majorities or configs, and of epochs only their order.
"""

import heapq
import random

import pytest

from chiveswitch.core import codes, journal, ranking, replication
from chiveswitch.peers import journal_codec

KEY = ("account", "request")
REQUESTS = (
    journal.Install,
    journal.AppendBatch,
    journal.Append,
    journal.Configure,
    journal.Promise,
    journal.Lookup,
    journal.Release,
)
SETTINGS = replication.Settings(
    resend_interval_s=0.03, keepalive_interval_s=0.5, takeover_timeout_s=2.0, initial_backoff_s=0.02
)


class Oracle:
    """Checks the guarantees against the reports of owners. A later owner has a higher epoch."""

    def __init__(self):
        self.token_by_position = {}
        self.end_by_generation = {}
        self.first_epoch_by_report = {}
        self.takeovers = []

    def committed(self, epoch, generation, tokens, length, end):
        for later, held_generation, held, held_end in self.takeovers:
            if epoch >= later:
                continue
            # A superseded owner must not report more than the takeover found.
            assert (generation, length) <= (held_generation, len(held)), "commits after takeover"
            assert end is None or held_end == end, "commits an end after takeover"
        for offset in range(length):
            token = self.token_by_position.setdefault((generation, offset), tokens[offset])
            assert token == tokens[offset], "two tokens committed at one position"
        if end is not None:
            assert self.end_by_generation.setdefault(generation, end) == end == length
        report = (generation, length, end is not None)
        first = self.first_epoch_by_report.setdefault(report, epoch)
        self.first_epoch_by_report[report] = min(first, epoch)

    def taken_over(self, epoch, generation, tokens, end):
        for report, reported_by in self.first_epoch_by_report.items():
            if reported_by < epoch:
                assert report <= (generation, len(tokens), end is not None), "a token is lost"
        self.committed(epoch, generation, tokens, len(tokens), end)
        self.takeovers.append((epoch, generation, list(tokens), end))


class Node:
    """A gateway process of the simulation."""

    def __init__(self, name, incarnation, zone):
        self.name = name
        self.incarnation = incarnation
        self.zone = zone
        self.holder = f"{name}#{incarnation}"
        self.store = journal.JournalStore(journal.StoreSettings(tombstone_s=60.0))
        self.epochs = replication.EpochSource(self.holder)
        self.state_machines = []
        self.paused = False
        self.inbox = []

    def owners(self):
        return [
            p
            for p in self.state_machines
            if isinstance(p, replication.Owner) and not p.has_stepped_down
        ]


class World:
    """Nodes, links and virtual time; everything random comes from one seed."""

    def __init__(self, seed, loss=0.05, replication_factor=3, count=7, transcode=None):
        self.random = random.Random(seed)
        self.loss = loss
        self.replication_factor = replication_factor
        self.transcode = transcode
        self.oracle = Oracle()
        self.now = 0.0
        self.queue = []
        self.sequence = 0
        self.cut_links = set()
        self.failure_codes = []
        self.takeover_owners = []
        self.node_by_holder = {}
        for number in range(count):
            self.add_node(Node(f"g{number}", 0, f"z{number % 4}"))

    def add_node(self, node):
        self.node_by_holder[node.holder] = node
        self.schedule(self.random.uniform(0, 0.02), self.tick_node, node)

    def schedule(self, delay, function, *arguments):
        self.sequence += 1
        heapq.heappush(self.queue, (self.now + delay, self.sequence, function, arguments))

    def run(self, seconds):
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self.queue)
            function(*arguments)
        self.now = end

    def gateways(self):
        return [ranking.Gateway(n.holder, n.zone) for n in self.node_by_holder.values()]

    def live_nodes(self):
        return [n for n in self.node_by_holder.values() if not n.paused]

    def tick_node(self, node):
        if self.node_by_holder.get(node.holder) is not node:
            return
        if not node.paused:
            for state_machine in list(node.state_machines):
                self.handle_event(node, state_machine, journal.Tick())
        self.schedule(0.02, self.tick_node, node)

    def handle_event(self, node, state_machine, event):
        tokens = list(state_machine.tokens) if isinstance(state_machine, replication.Owner) else ()
        for action in state_machine.handle(event, self.now):
            if isinstance(action, replication.Send):
                message = action.message
                if isinstance(message, journal.Append) and self.random.random() < 0.5:
                    message = journal.AppendBatch(node.holder, [message])
                self.send(node.holder, action.to, message)
            elif isinstance(action, replication.Committed):
                tokens = list(state_machine.tokens)
                self.oracle.committed(
                    state_machine.epoch, action.generation, tokens, action.length, action.end
                )
            elif isinstance(action, replication.TakenOver):
                owner = action.owner
                self.oracle.taken_over(owner.epoch, owner.generation, owner.tokens, owner.end)
                self.takeover_owners.append(owner)
                node.state_machines.append(owner)
            elif isinstance(action, replication.TakeoverFailed):
                self.failure_codes.append(action.failure.code)

    def send(self, sender, to, message):
        if self.transcode:
            message = self.transcode(message)
        if sender == to:
            self.schedule(0.0001, self.deliver, sender, to, message)
            return
        for _ in range(2 if self.random.random() < self.loss else 1):
            if (sender, to) in self.cut_links or self.random.random() < self.loss:
                continue
            delay = self.random.uniform(0.001, 0.004)
            if self.random.random() < self.loss:
                delay += self.random.uniform(0, 0.4)
            self.schedule(delay, self.deliver, sender, to, message)

    def deliver(self, sender, to, message):
        node = self.node_by_holder.get(to)
        if node is None:
            return
        if node.paused:
            node.inbox.append((sender, message))
            return
        if isinstance(message, REQUESTS):
            for reply in node.store.handle(message, self.now):
                self.send(to, sender, reply)
            return
        replies = message.entries if isinstance(message, journal.ReplyBatch) else [message]
        for reply in replies:
            for state_machine in list(node.state_machines):
                self.handle_event(node, state_machine, replication.ReplyReceived(sender, reply))

    def admit_request(self, node):
        owner = replication.create_owner(
            KEY, node.epochs, self.gateways(), self.replication_factor, b"header", 60.0, SETTINGS
        )
        node.state_machines.append(owner)
        self.handle_event(node, owner, replication.Start())
        return owner

    def take_over(self, node):
        candidates = ranking.choose_lookup_candidates(KEY, self.gateways())
        takeover = replication.Takeover(
            KEY,
            node.epochs,
            candidates,
            None,
            self.replication_factor,
            self.gateways(),
            SETTINGS,
            self.random,
        )
        node.state_machines.append(takeover)
        self.handle_event(node, takeover, replication.Start())
        return takeover

    def append_tokens(self, probability=1.0):
        """Each owner that has not stepped down appends tokens that contain its epoch and offset."""
        for node in self.live_nodes():
            for owner in node.owners():
                if owner.end is None and self.random.random() < probability:
                    first = len(owner.tokens)
                    count = self.random.randint(1, 3)
                    tokens = [f"{owner.epoch}/{first + n}" for n in range(count)]
                    self.handle_event(node, owner, replication.TokensReceived(tokens))

    def finish_generations(self):
        for node in self.live_nodes():
            for owner in node.owners():
                if owner.end is None:
                    event = replication.TokensReceived([], len(owner.tokens))
                    self.handle_event(node, owner, event)

    def crash_node(self, node):
        del self.node_by_holder[node.holder]
        self.schedule(0.3, self.add_node, Node(node.name, node.incarnation + 1, node.zone))
        self.schedule(self.random.uniform(0.05, 0.2), self.report_lost_holder, node.holder)

    def report_lost_holder(self, holder):
        for node in self.live_nodes():
            for state_machine in list(node.state_machines):
                if isinstance(state_machine, replication.Owner):
                    self.handle_event(node, state_machine, replication.HolderLost(holder))
                self.handle_event(node, state_machine, replication.GatewaysChanged(self.gateways()))

    def pause_node(self, node, seconds):
        node.paused = True
        self.schedule(seconds, self.resume_node, node)

    def resume_node(self, node):
        node.paused = False
        # In half of the cases the timers fire before the queued messages are read.
        if self.random.random() < 0.5:
            for state_machine in list(node.state_machines):
                self.handle_event(node, state_machine, journal.Tick())
        inbox, node.inbox = node.inbox, []
        for sender, message in inbox:
            self.deliver(sender, node.holder, message)

    def cut_random_links(self, seconds):
        sender, to = self.random.sample(list(self.node_by_holder), 2)
        pairs = [(sender, to)]
        if self.random.random() < 0.5:
            pairs = [(sender, other) for other in self.node_by_holder]
        self.cut_links.update(pairs)
        self.schedule(seconds, self.cut_links.difference_update, pairs)

    def inject_fault(self):
        live = self.live_nodes()
        if len(live) < 4:
            return
        owners = [node for node in live if node.owners()]
        node = self.random.choice(owners if owners and self.random.random() < 0.4 else live)
        kind = self.random.randrange(8)
        if kind == 0:
            self.crash_node(node)
        elif kind == 1:
            self.pause_node(node, self.random.uniform(0.05, 0.6))
        elif kind == 2:
            self.cut_random_links(self.random.uniform(0.05, 0.6))
        elif kind <= 5:
            self.take_over(node)
        elif kind == 6:
            self.report_lost_holder(self.random.choice(list(self.node_by_holder)))
        else:
            for owner in node.owners():
                event = replication.GenerationStarted(owner.generation + 1)
                self.handle_event(node, owner, event)


def simulate(seed, transcode=None):
    world = World(
        seed, loss=(0.0, 0.05, 0.15)[seed % 3], replication_factor=5 if seed % 5 == 0 else 3
    )
    world.transcode = transcode
    world.admit_request(world.node_by_holder["g0#0"])
    world.run(0.05)
    for _ in range(40):
        world.append_tokens(0.7)
        if world.random.random() < 0.35:
            world.inject_fault()
        if world.random.random() < 0.02:
            world.finish_generations()
        world.run(world.random.uniform(0.005, 0.06))
    return world


@pytest.mark.parametrize("block", range(8))
def test_committed_tokens_survive_random_faults(block):
    # Guards against lost tokens, and two tokens committed at one position, under random crashes,
    # pauses, lost messages, takeovers and config changes.
    committed = takeovers = 0
    for seed in range(block * 25, block * 25 + 25):
        try:
            world = simulate(seed)
        except AssertionError as error:
            raise AssertionError(f"seed {seed}: {error}") from error
        committed += len(world.oracle.token_by_position)
        takeovers += len(world.takeover_owners)
    # The checks above also pass in a simulation without commits and takeovers.
    assert committed > 500 and takeovers > 20


def test_committed_tokens_survive_with_encoded_messages():
    # Guards against a protocol that works only because both sides share Python objects.
    def transcode(message):
        return journal_codec.decode(journal_codec.encode(message)).ok

    assert sum(len(simulate(seed, transcode).takeover_owners) for seed in range(1000, 1030)) > 30


@pytest.mark.parametrize("block", range(3))
def test_competing_takeovers_finish_and_one_owner_remains(block):
    # Guards against takeovers that supersede each other forever, and against a config change,
    # commit or end that stalls after lost messages.
    for seed in range(block * 15, block * 15 + 15):
        world = World(seed, loss=0.1, replication_factor=3 + seed % 2 * 2)
        world.admit_request(world.node_by_holder["g0#0"])
        world.run(0.3)
        for _ in range(4):
            world.append_tokens()
            world.run(0.05)
        world.crash_node(world.node_by_holder["g0#0"])
        for name in ("g1#0", "g2#0", "g3#0"):
            world.take_over(world.node_by_holder[name])
        world.run(2.5)
        assert world.takeover_owners, f"seed {seed}: no takeover finished"
        world.append_tokens()
        world.run(0.3)
        world.finish_generations()
        world.run(6.0)
        owners = [owner for node in world.live_nodes() for owner in node.owners()]
        assert len(owners) == 1, f"seed {seed}: {len(owners)} owners"
        (owner,) = owners
        assert owner.is_fully_replicated() and owner.committed[2], f"seed {seed}: not settled"
        assert owner.epoch[1] in owner.config.holders
        assert len(owner.config.holders) == world.replication_factor
        assert all(holder in world.node_by_holder for holder in owner.config.holders)


def test_holders_are_replaced_one_after_another():
    # Guards against lost tokens when another holder crashes right after a config change, and
    # against configs that contain a holder again that was replaced.
    for seed in range(10):
        world = World(seed, loss=0.1)
        owner = world.admit_request(world.node_by_holder["g0#0"])
        for _ in range(5):
            world.run(0.6)
            world.append_tokens()
            world.run(0.01)
            world.crash_node(world.node_by_holder[owner.config.holders[-1]])
        world.run(2.0)
        assert not owner.has_stepped_down and owner.committed[1] == len(owner.tokens) > 0
        assert not owner.config.previous_holders and owner.config.version >= 11
        world.crash_node(world.node_by_holder["g0#0"])
        world.take_over(world.node_by_holder[owner.config.holders[-1]])
        world.run(1.0)
        assert world.takeover_owners[0].tokens[: len(owner.tokens)] == owner.tokens


class Cluster:
    """Stores that reply at once, without a simulated network; only those in `reachable` reply."""

    def __init__(self, *names):
        self.gateways = [ranking.Gateway(name, f"z-{name}") for name in names]
        self.store_by_holder = {
            name: journal.JournalStore(journal.StoreSettings()) for name in names
        }
        self.reachable = set(names)
        self.actions = []

    def run(self, state_machine, event, now=0.0):
        """Handles an event and all replies that follow; returns the actions that are no `Send`."""
        pending, others = state_machine.handle(event, now), []
        while pending:
            action = pending.pop(0)
            if not isinstance(action, replication.Send):
                others.append(action)
                state_machine = (
                    action.owner if isinstance(action, replication.TakenOver) else state_machine
                )
            elif action.to in self.reachable:
                for reply in self.store_by_holder[action.to].handle(action.message, now):
                    pending += state_machine.handle(
                        replication.ReplyReceived(action.to, reply), now
                    )
        return others

    def owner(self, holders, tokens=()):
        config = journal.Config(1, holders)
        snapshot = journal.Snapshot(config, b"", 9.0, 1, list(tokens))
        gateways = [g for g in self.gateways if g.holder in holders]
        epoch = replication.EpochSource(holders[0]).next_epoch(0)
        owner = replication.Owner(KEY, epoch, snapshot, len(holders), gateways, SETTINGS)
        self.run(owner, replication.Start())
        return owner

    def takeover(self, by, candidates, last=None):
        gateways = [g for g in self.gateways if g.holder in self.reachable]
        return replication.Takeover(
            KEY,
            replication.EpochSource(by),
            candidates,
            last,
            3,
            gateways,
            SETTINGS,
            random.Random(1),
        )

    def lengths(self):
        return {
            n: len(s.journal_by_key[KEY].tokens)
            for n, s in self.store_by_holder.items()
            if KEY in s.journal_by_key
        }


def test_owner_without_majority_commits_nothing():
    # Guards against a commit by a minority that includes the owner's local replica.
    cluster = Cluster("a", "b", "c")
    owner = cluster.owner(["a", "b", "c"])
    cluster.reachable = {"a"}
    assert cluster.run(owner, replication.TokensReceived(["x"])) == []
    cluster.reachable = {"a", "c"}
    assert cluster.run(owner, journal.Tick(), 1.0) == [replication.Committed(1, 1, None)]


def test_paused_owner_is_refused_after_a_takeover():
    # Guards against a holder that accepts appends below its promised epoch.
    cluster = Cluster("a", "b", "c")
    owner = cluster.owner(["a", "b", "c"], ["x"])
    cluster.reachable = {"b", "c"}
    assert cluster.run(cluster.takeover("b", ["b"]), replication.Start())
    cluster.reachable = {"a", "b", "c"}
    (stepped_down,) = cluster.run(owner, replication.TokensReceived(["y"]))
    assert stepped_down == replication.SteppedDown((2, "b"))
    assert owner.handle(replication.TokensReceived(["z"]), 0.0) == []


def test_promise_alone_stops_the_old_owner():
    # Guards against commits between the promises and the Install of a takeover.
    cluster = Cluster("a", "b", "c")
    owner = cluster.owner(["a", "b", "c"])
    for name in ("b", "c"):
        cluster.store_by_holder[name].handle(journal.Promise(KEY, (2, "b")), 0.0)
    actions = cluster.run(owner, replication.TokensReceived(["y"]))
    assert actions == [replication.SteppedDown((2, "b"))] and owner.committed == (1, 0, False)


def test_unknown_is_not_an_empty_journal():
    # Guards against a takeover that counts holders without a journal as holders of an empty one.
    cluster = Cluster("a", "b", "c")
    cluster.owner(["a", "b", "c"], ["x"])
    for name in ("a", "c"):
        cluster.store_by_holder[name] = journal.JournalStore(journal.StoreSettings())
    (failed,) = cluster.run(cluster.takeover("b", ["a", "b", "c"]), replication.Start())
    assert failed.failure.code == codes.Code.JOURNAL_UNAVAILABLE


def test_takeover_fails_with_the_code_of_its_cause():
    # Guards against wrong failure codes: REQUEST_UNKNOWN requires replies of all candidates, and
    # JOURNAL_STALE takes precedence over JOURNAL_UNAVAILABLE.
    cluster = Cluster("a", "b", "c")
    (failed,) = cluster.run(cluster.takeover("b", ["a", "b", "c"]), replication.Start())
    assert failed.failure.code == codes.Code.REQUEST_UNKNOWN
    cluster.reachable = {"a", "b"}
    takeover = cluster.takeover("b", ["a", "b", "c"])
    assert cluster.run(takeover, replication.Start()) == []
    (failed,) = cluster.run(takeover, journal.Tick(), 3.0)
    assert failed.failure.code == codes.Code.JOURNAL_UNAVAILABLE
    cluster.owner(["a", "b", "c"], ["x"])
    (failed,) = cluster.run(cluster.takeover("b", ["b"], (1, 2)), replication.Start())
    assert failed.failure.code == codes.Code.JOURNAL_STALE
    (failed,) = cluster.run(cluster.takeover("b", ["b"], (2, 0)), replication.Start())
    assert failed.failure.code == codes.Code.JOURNAL_STALE


class FilteringStore:
    """A store to which messages of one type are never delivered."""

    def __init__(self, store, kind):
        self.journal_by_key = store.journal_by_key
        self._store = store
        self._kind = kind

    def handle(self, message, now):
        return [] if isinstance(message, self._kind) else self._store.handle(message, now)


def test_takeover_rewrites_before_it_hands_over():
    # Guards against delivery of a token that only one holder has, before the Install of the
    # takeover has reached a majority.
    cluster = Cluster("a", "b", "c")
    owner = cluster.owner(["a", "b", "c"])
    cluster.reachable = {"b"}
    cluster.run(owner, replication.TokensReceived(["x"]))
    cluster.reachable = {"b", "c"}
    store = cluster.store_by_holder["c"]
    cluster.store_by_holder["c"] = FilteringStore(store, journal.Install)
    takeover = cluster.takeover("b", ["b", "c"])
    assert cluster.run(takeover, replication.Start()) == []
    cluster.store_by_holder["c"] = store
    assert cluster.run(takeover, journal.Tick(), 0.05)[0].owner.tokens == ["x"]
    assert cluster.lengths() == {"a": 0, "b": 1, "c": 1}


def test_takeover_prefers_the_higher_accepted_epoch_to_the_longer_journal():
    # Guards against committed tokens that are replaced by the longer, uncommitted journal of a
    # superseded owner.
    cluster = Cluster("a", "b", "c")
    owner = cluster.owner(["a", "b", "c"])
    cluster.reachable = {"a"}
    cluster.run(owner, replication.TokensReceived(["x", "y", "z"]))
    cluster.reachable = {"b", "c"}
    taken_over, *_ = cluster.run(cluster.takeover("b", ["b"]), replication.Start())
    cluster.run(taken_over.owner, replication.TokensReceived(["p"]))
    cluster.reachable = {"a", "c"}
    taken_over, *_ = cluster.run(cluster.takeover("c", ["a", "c"]), replication.Start())
    assert taken_over.owner.tokens == ["p"]


def test_joining_holder_that_dropped_its_copy_is_not_counted():
    # Guards against a completed config change whose majority includes a holder that has dropped its
    # journal.
    cluster = Cluster("a", "b", "c", "d")
    owner = cluster.owner(["a", "b", "c"])
    cluster.reachable = {"a", "c"}
    cluster.run(owner, replication.TokensReceived(["x"]))
    assert owner.committed == (1, 1, False)
    owner.handle(replication.GatewaysChanged(cluster.gateways), 0.0)
    (install,) = owner.handle(replication.HolderLost("c"), 0.0)
    (accepted,) = cluster.store_by_holder["d"].handle(install.message, 0.0)
    cluster.store_by_holder["d"].handle(journal.Release(KEY, owner.epoch, 1), 0.0)
    for send in owner.handle(replication.ReplyReceived("d", accepted), 0.0):
        for reply in cluster.store_by_holder[send.to].handle(send.message, 0.0):
            owner.handle(replication.ReplyReceived(send.to, reply), 0.0)
    assert owner.config.previous_holders and cluster.lengths() == {"a": 1, "b": 0, "c": 1}


def test_copy_left_over_from_a_finished_request_is_released():
    # Guards against a finished request for which callers get JOURNAL_UNAVAILABLE as long as one
    # holder that missed the Release keeps its journal.
    cluster = Cluster("a", "b", "c")
    owner = cluster.owner(["a", "b", "c"], ["x"])
    for name in ("a", "b"):
        cluster.store_by_holder[name].handle(
            journal.Release(KEY, owner.epoch, 1, finished=True), 0.0
        )
    (failed,) = cluster.run(cluster.takeover("b", ["a", "b", "c"]), replication.Start())
    assert failed.failure.code is codes.Code.REQUEST_UNKNOWN
    assert not cluster.lengths()


def test_tombstone_of_a_finished_request_does_not_end_a_later_one_under_its_key():
    # Guards against a running request that is reported as unknown because a gateway has a tombstone
    # of an earlier request under the same key.
    cluster = Cluster("a", "b", "c", "d")
    owner = cluster.owner(["d"], ["x"])
    cluster.store_by_holder["d"].handle(journal.Release(KEY, owner.epoch, 1, finished=True), 0.0)
    cluster.owner(["a", "b", "c"], ["y"])
    taken_over, *_ = cluster.run(cluster.takeover("b", ["d", "b"]), replication.Start())
    assert taken_over.owner.tokens == ["y"]


def propose_config_change(cluster, owner, lost, reachable):
    """Replaces `lost` by d, while Configure messages reach only the stores in `reachable`."""
    for name, store in cluster.store_by_holder.items():
        if name not in reachable:
            cluster.store_by_holder[name] = FilteringStore(store, journal.Configure)
    cluster.reachable.discard(lost)
    owner.handle(replication.GatewaysChanged(cluster.gateways), 0.0)
    return cluster.run(owner, replication.HolderLost(lost))


def test_config_change_needs_majorities_of_old_and_new_holders():
    # Guards against a completed config change that a majority of the old holders has not accepted.
    cluster = Cluster("a", "b", "c", "d")
    owner = cluster.owner(["a", "b", "c"], ["x"])
    assert propose_config_change(cluster, owner, "c", {"a", "d"}) == []
    assert owner.config.previous_holders == ("a", "b", "c")
    # A majority of the new holders alone commits nothing.
    cluster.reachable = {"a", "d"}
    assert cluster.run(owner, replication.TokensReceived(["y"])) == []
    # The old holders b and c, which did not receive the change, suffice for a takeover, and the
    # owner steps down.
    cluster.reachable = {"b", "c"}
    taken_over, *_ = cluster.run(cluster.takeover("b", ["b", "c"]), replication.Start())
    assert taken_over.owner.tokens == ["x"]
    cluster.reachable = {"a", "b", "d"}
    assert isinstance(cluster.run(owner, journal.Tick(), 1.0)[-1], replication.SteppedDown)


def test_change_waits_for_committed_tokens_at_the_new_majority():
    # Guards against a new config whose majority lacks tokens that were committed under the old one.
    cluster = Cluster("a", "b", "c", "d")
    owner = cluster.owner(["a", "b", "c"], ["x"])
    cluster.reachable = {"a", "c"}
    cluster.run(owner, replication.TokensReceived(["y"]))
    assert owner.committed == (1, 2, False)
    # The Install at d lacks the last token, and appends to b and d are lost.
    cluster.reachable = {"a", "b", "d"}
    owner.handle(replication.GatewaysChanged(cluster.gateways), 0.0)
    pending = owner.handle(replication.HolderLost("c"), 0.0)
    for send in pending:
        send.message.snapshot.tokens = ["x"]
    while pending:
        send = pending.pop(0)
        if isinstance(send, replication.Send) and not isinstance(send.message, journal.Append):
            for reply in cluster.store_by_holder[send.to].handle(send.message, 0.0):
                pending += owner.handle(replication.ReplyReceived(send.to, reply), 0.0)
    assert owner.config.previous_holders and cluster.lengths()["d"] == 1
    cluster.run(owner, journal.Tick(), 1.0)
    assert owner.config == journal.Config(3, ["a", "b", "d"])


def test_newer_config_restarts_the_takeover():
    # Guards against a takeover under an outdated config, by a holder that was removed from it and a
    # holder that lacks the last token.
    cluster = Cluster("a", "b", "c", "d", "e")
    owner = cluster.owner(["a", "b", "c"], ["x"])
    cluster.reachable.discard("c")
    owner.handle(replication.GatewaysChanged(cluster.gateways), 0.0)
    cluster.run(owner, replication.HolderLost("c"))
    (joined,) = set(owner.config.holders) - {"a", "b"}
    cluster.reachable = {"a", joined}
    cluster.run(owner, replication.TokensReceived(["y"]))
    assert owner.committed == (1, 2, False)
    # c still has the first config, and b lacks the last token.
    cluster.reachable = {"b", "c"}
    takeover = cluster.takeover("c", ["c"])
    assert cluster.run(takeover, replication.Start()) == []
    cluster.reachable = {"b", "c", joined}
    taken_over = cluster.run(takeover, journal.Tick(), 0.05)[0]
    assert taken_over.owner.tokens == ["x", "y"]


def test_removed_holder_refuses_a_delayed_install():
    # Guards against a removed holder that accepts a delayed Install, which would restore a stale
    # majority.
    cluster = Cluster("a", "b", "c", "d")
    owner = cluster.owner(["a", "b", "c"], ["x"])
    snapshot = journal.Snapshot(journal.Config(1, ["a", "b", "c"]), b"", 9.0, 1, [])
    delayed = journal.Install(KEY, owner.epoch, True, snapshot)
    owner.handle(replication.GatewaysChanged(cluster.gateways), 0.0)
    cluster.run(owner, replication.HolderLost("c"))
    assert KEY not in cluster.store_by_holder["c"].journal_by_key
    (reply,) = cluster.store_by_holder["c"].handle(delayed, 1.0)
    assert reply.code == codes.Code.EPOCH_SUPERSEDED


def test_joining_holder_that_fails_is_replaced():
    # Guards against a config change that waits forever for a joining holder that does not reply or
    # refuses the Install because its store is full.
    cluster = Cluster("a", "b", "c", "d", "e")
    owner = cluster.owner(["a", "b", "c"], ["x"])
    cluster.reachable = {"a", "b"}
    owner.handle(replication.GatewaysChanged(cluster.gateways), 0.0)
    (send,) = owner.handle(replication.HolderLost("c"), 0.0)
    (other,) = {"d", "e"} - {send.to}
    cluster.reachable.add(other)
    for second in range(1, 6):
        cluster.run(owner, journal.Tick(), float(second))
    assert set(owner.config.holders) == {"a", "b", other}


def test_config_of_a_superseded_owner_does_not_count():
    # Guards against the incomplete config change of a superseded owner that takes precedence by its
    # higher version number.
    cluster = Cluster("a", "b", "c", "d")
    owner = cluster.owner(["a", "b", "c"], ["x"])
    propose_config_change(cluster, owner, "c", {"a"})
    cluster.reachable = {"b", "c"}
    taken_over, *_ = cluster.run(cluster.takeover("b", ["b"]), replication.Start())
    assert taken_over.owner.config.version == 1
    cluster.reachable = {"a", "b"}
    taken_over, *_ = cluster.run(cluster.takeover("b", ["a", "b"]), replication.Start())
    assert "d" not in taken_over.owner.config.members()
