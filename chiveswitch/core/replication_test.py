"""Simulation in virtual time of owners, holders and takeovers on faulty links, with an oracle.

The oracle sees only what owners report (tokens committed, takeovers finished) and compares plain
lists; it knows nothing of majorities, configs or epochs beyond their order.
"""

import heapq
import random

import pytest

from chiveswitch.core import journal, ranking, replication

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
SETTINGS = replication.Settings(resend_s=0.03, keepalive_s=0.5, takeover_s=2.0, backoff_s=0.02)


class Oracle:
    """Checks the guarantees over what owners report. A later owner has a higher epoch."""

    def __init__(self):
        self.token_by_position = {}
        self.end_by_generation = {}
        self.first_epoch_by_report = {}
        self.takeovers = []

    def committed(self, epoch, generation, tokens, length, end):
        for later, held_generation, held, held_end in self.takeovers:
            if epoch >= later:
                continue
            # A superseded owner reports at most what the takeover found.
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
        self.parts = []
        self.paused = False
        self.inbox = []

    def owners(self):
        return [p for p in self.parts if isinstance(p, replication.Owner) and not p.closed]


class World:
    """Nodes, links and virtual time; everything random comes from one seed."""

    def __init__(self, seed, loss=0.05, copies=3, count=7, transcode=None):
        self.random = random.Random(seed)
        self.loss = loss
        self.copies = copies
        self.transcode = transcode
        self.oracle = Oracle()
        self.now = 0.0
        self.queue = []
        self.sequence = 0
        self.cuts = set()
        self.failures = []
        self.finished = []
        self.node_by_holder = {}
        for number in range(count):
            self.add(Node(f"g{number}", 0, f"z{number % 4}"))

    def add(self, node):
        self.node_by_holder[node.holder] = node
        self.at(self.random.uniform(0, 0.02), self.tick, node)

    def at(self, delay, function, *arguments):
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

    def live(self):
        return [n for n in self.node_by_holder.values() if not n.paused]

    def tick(self, node):
        if self.node_by_holder.get(node.holder) is not node:
            return
        if not node.paused:
            for part in list(node.parts):
                self.step(node, part, journal.Tick())
        self.at(0.02, self.tick, node)

    def step(self, node, part, event):
        tokens = list(part.tokens) if isinstance(part, replication.Owner) else ()
        for action in part.handle(event, self.now):
            if isinstance(action, replication.Send):
                message = action.message
                if isinstance(message, journal.Append) and self.random.random() < 0.5:
                    message = journal.AppendBatch(node.holder, [message])
                self.send(node.holder, action.to, message)
            elif isinstance(action, replication.Committed):
                tokens = list(part.tokens)
                self.oracle.committed(
                    part.epoch, action.generation, tokens, action.length, action.end
                )
            elif isinstance(action, replication.TakenOver):
                owner = action.owner
                self.oracle.taken_over(owner.epoch, owner.generation, owner.tokens, owner.end)
                self.finished.append(owner)
                node.parts.append(owner)
            elif isinstance(action, replication.Failed):
                self.failures.append(action.failure.code)

    def send(self, sender, to, message):
        if self.transcode:
            message = self.transcode(message)
        if sender == to:
            self.at(0.0001, self.deliver, sender, to, message)
            return
        for _ in range(2 if self.random.random() < self.loss else 1):
            if (sender, to) in self.cuts or self.random.random() < self.loss:
                continue
            delay = self.random.uniform(0.001, 0.004)
            if self.random.random() < self.loss:
                delay += self.random.uniform(0, 0.4)
            self.at(delay, self.deliver, sender, to, message)

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
            for part in list(node.parts):
                self.step(node, part, replication.Received(sender, reply))

    def admit(self, node):
        owner = replication.admit(
            KEY, node.epochs, self.gateways(), self.copies, b"header", 60.0, SETTINGS
        )
        node.parts.append(owner)
        self.step(node, owner, replication.Start())
        return owner

    def take_over(self, node):
        candidates = ranking.choose_candidates(KEY, self.gateways())
        takeover = replication.Takeover(
            KEY, node.epochs, candidates, None, self.copies, self.gateways(), SETTINGS, self.random
        )
        node.parts.append(takeover)
        self.step(node, takeover, replication.Start())
        return takeover

    def produce(self, probability=1.0):
        """Every owner that believes in itself appends tokens that name their origin."""
        for node in self.live():
            for owner in node.owners():
                if owner.end is None and self.random.random() < probability:
                    first = len(owner.tokens)
                    count = self.random.randint(1, 3)
                    tokens = [f"{owner.epoch}/{first + n}" for n in range(count)]
                    self.step(node, owner, replication.TokensReceived(tokens))

    def finish(self):
        for node in self.live():
            for owner in node.owners():
                if owner.end is None:
                    event = replication.TokensReceived([], len(owner.tokens))
                    self.step(node, owner, event)

    def crash(self, node):
        del self.node_by_holder[node.holder]
        self.at(0.3, self.add, Node(node.name, node.incarnation + 1, node.zone))
        self.at(self.random.uniform(0.05, 0.2), self.report, node.holder)

    def report(self, holder):
        for node in self.live():
            for part in list(node.parts):
                if isinstance(part, replication.Owner):
                    self.step(node, part, replication.HolderLost(holder))
                self.step(node, part, replication.GatewaysChanged(self.gateways()))

    def pause(self, node, seconds):
        node.paused = True
        self.at(seconds, self.unpause, node)

    def unpause(self, node):
        node.paused = False
        # Half of the time the timers fire before the queued messages are read.
        if self.random.random() < 0.5:
            for part in list(node.parts):
                self.step(node, part, journal.Tick())
        inbox, node.inbox = node.inbox, []
        for sender, message in inbox:
            self.deliver(sender, node.holder, message)

    def cut(self, seconds):
        sender, to = self.random.sample(list(self.node_by_holder), 2)
        pairs = [(sender, to)]
        if self.random.random() < 0.5:
            pairs = [(sender, other) for other in self.node_by_holder]
        self.cuts.update(pairs)
        self.at(seconds, self.cuts.difference_update, pairs)

    def fault(self):
        live = self.live()
        if len(live) < 4:
            return
        owners = [node for node in live if node.owners()]
        node = self.random.choice(owners if owners and self.random.random() < 0.4 else live)
        kind = self.random.randrange(8)
        if kind == 0:
            self.crash(node)
        elif kind == 1:
            self.pause(node, self.random.uniform(0.05, 0.6))
        elif kind == 2:
            self.cut(self.random.uniform(0.05, 0.6))
        elif kind <= 5:
            self.take_over(node)
        elif kind == 6:
            self.report(self.random.choice(list(self.node_by_holder)))
        else:
            for owner in node.owners():
                event = replication.GenerationStarted(owner.generation + 1)
                self.step(node, owner, event)


def simulate(seed, transcode=None):
    world = World(seed, loss=(0.0, 0.05, 0.15)[seed % 3], copies=5 if seed % 5 == 0 else 3)
    world.transcode = transcode
    world.admit(world.node_by_holder["g0#0"])
    world.run(0.05)
    for _ in range(40):
        world.produce(0.7)
        if world.random.random() < 0.35:
            world.fault()
        if world.random.random() < 0.02:
            world.finish()
        world.run(world.random.uniform(0.005, 0.06))
    return world


@pytest.mark.parametrize("block", range(8))
def test_committed_tokens_survive_random_faults(block):
    # Guards against lost, mixed or doubly committed tokens under any mix of faults.
    committed = takeovers = 0
    for seed in range(block * 25, block * 25 + 25):
        try:
            world = simulate(seed)
        except AssertionError as error:
            raise AssertionError(f"seed {seed}: {error}") from error
        committed += len(world.oracle.token_by_position)
        takeovers += len(world.finished)
    # A simulation in which nothing happens would prove nothing.
    assert committed > 500 and takeovers > 20
