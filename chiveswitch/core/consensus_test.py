"""Tests of the replicated log, most of them in a simulation with virtual time and a faulty network.

The test oracle in `World` checks the nodes' actions and disks and shares no code with the nodes.
"""

import collections
import functools
import heapq
import json
import random

import hypothesis
import hypothesis.strategies as st
import pytest

from chiveswitch.core import codes, consensus, consensus_log
from chiveswitch.core import consensus_messages as messages

SMALL_SETTINGS = {
    "max_entries": 4,
    "window_entries": 16,
    "chunk_bytes": 24,
    "snapshot_interval": 20,
    "trailing_entries": 5,
}

# Time within which a leader that is lost has to be replaced.
LEADER_SECONDS = 4.0


class Disk:
    """Disk that loses its unsynced actions in a crash, except a prefix of the oldest records."""

    def __init__(self, snapshot):
        self.snapshot, self.records, self.unsynced_actions = snapshot, [], collections.deque()

    def sync_one(self):
        action = self.unsynced_actions.popleft()
        if isinstance(action, messages.SaveSnapshot):
            if action.snapshot.index > self.snapshot.index:
                self.snapshot = action.snapshot
        else:
            self.records += action.records
        return action.token

    def crash(self, rng):
        if self.unsynced_actions and isinstance(self.unsynced_actions[0], messages.Persist):
            records = self.unsynced_actions[0].records
            self.records += records[: rng.randint(0, len(records))]
        self.unsynced_actions.clear()

    def hard_state(self):
        states = [record for record in self.records if isinstance(record, messages.HardState)]
        return states[-1] if states else messages.HardState(0, None)

    def entries(self):
        entries = []
        for record in self.records:
            if isinstance(record, messages.LogReset):
                entries = []
            if isinstance(record, messages.Entry):
                entries = [entry for entry in entries if entry.index < record.index] + [record]
        return entries

    def has_entry(self, index, term):
        if self.snapshot.index >= index:
            return True
        for record in reversed(self.records):
            if isinstance(record, messages.LogReset):
                return False
            if isinstance(record, messages.Entry) and record.index <= index:
                return record.index == index and record.term == term
        return False

    def recover(self):
        entries = self.entries()
        term_by_index = {entry.index: entry.term for entry in entries}
        snapshot_index = self.snapshot.index
        if term_by_index.get(snapshot_index, self.snapshot.term) != self.snapshot.term:
            entries = []
        entries = [entry for entry in entries if entry.index > snapshot_index]
        if not entries:
            self.records.append(messages.LogReset(snapshot_index, self.snapshot.term))
        return messages.StoredState(self.hard_state(), self.snapshot, entries)


class Host:
    """A node with its disk, its applied state and the events that wait while it is paused."""

    def __init__(self, node_id, disk):
        self.node_id, self.disk = node_id, disk
        self.node, self.incarnation, self.paused_until, self.inbox = None, 0, 0.0, []
        self.state, self.applied = [], 0


class World:
    """Simulation of hosts, network and clients, with the oracle; times are in seconds.

    Attributes:
        blocked_links: Pairs (sender, receiver) between which messages are dropped.
        lost_disk_names: Names of hosts whose disk was lost.
        leader_by_term: Name of the leader of each term.
        committed_by_index: Term, kind and data of each committed entry.
        vote_by_node_and_term: Candidate that a node voted for in a term.
        configurations: Pairs (index, configuration) that any node reported.
        index_by_proposal: Index of each acknowledged proposal.
        error_by_proposal: Failure of each refused or lost proposal.
        data_by_proposal: Data of each proposed command.
        min_index_by_read: Lowest index that the result of a read must include.
        acknowledged_index: Highest index that a client knows to be committed.
    """

    def __init__(self, seed, size=5, settings=None, loss=0.0):
        self.rng = random.Random(seed)
        self.settings = consensus.Settings(**(settings or SMALL_SETTINGS))
        self.now, self.event_queue, self.last_number, self.loss_probability = 0.0, [], 0, loss
        self.blocked_links, self.lost_disk_names, self.host_by_name, self.unused_numbers = (
            set(),
            set(),
            {},
            iter(range(1000)),
        )
        self.leader_by_term, self.committed_by_index, self.vote_by_node_and_term = {}, {}, {}
        self.configurations = []
        (
            self.index_by_proposal,
            self.min_index_by_read,
            self.data_by_proposal,
            self.error_by_proposal,
            self.acknowledged_index,
        ) = ({}, {}, {}, {}, 0)
        self.disk_delay, self.last_leader_at, self.answered_reads = (0.0005, 0.004), 0.0, 0
        ids = [f"n{next(self.unused_numbers)}" for _ in range(size)]
        self.first_configuration = messages.Configuration({name: f"address-{name}" for name in ids})
        for name in ids:
            self.add_host(name, self.first_configuration)

    def add_host(self, name, configuration=None):
        stored = messages.initial_state(configuration)
        self.host_by_name[name] = Host(name, Disk(stored.snapshot))
        self.start(name)

    # Virtual time.

    def schedule(self, delay, call, *arguments):
        self.last_number += 1
        heapq.heappush(self.event_queue, (self.now + delay, self.last_number, call, arguments))

    def run(self, seconds, until=None):
        end = self.now + seconds
        while self.event_queue and self.event_queue[0][0] <= end:
            self.now, _, call, arguments = heapq.heappop(self.event_queue)
            call(*arguments)
            if until is not None and until():
                return True
        self.now = end
        return until is not None and until()

    # Hosts and faults.

    def start(self, name):
        host = self.host_by_name[name]
        if host.node is not None:
            return
        stored = host.disk.recover()
        host.incarnation += 1
        host.node = consensus.Node(name, stored, self.settings, self.rng, self.now)
        host.state = json.loads(stored.snapshot.data or b"[]")
        host.applied, host.paused_until, host.inbox = stored.snapshot.index, 0.0, []
        self.schedule(0, self.tick, host, host.incarnation)

    def crash(self, name):
        host = self.host_by_name[name]
        if host.node is not None:
            host.node = None
            host.disk.crash(self.rng)

    def lose_disk(self, name):
        """Replaces a host with a new one, which has an empty disk and waits to be added."""
        self.crash(name)
        del self.host_by_name[name]
        self.lost_disk_names.add(name)
        new_name = f"n{next(self.unused_numbers)}"
        self.add_host(new_name)
        return new_name

    def pause(self, name, seconds):
        self.host_by_name[name].paused_until = self.now + seconds

    def tick(self, host, incarnation):
        if host.node is None or host.incarnation != incarnation:
            return
        self.deliver(host, incarnation, messages.Tick())
        delay = max(0.001, host.node.next_deadline() - self.now)
        self.schedule(
            min(delay, 0.05) if host.paused_until <= self.now else 0.05,
            self.tick,
            host,
            incarnation,
        )

    def deliver(self, host, incarnation, event):
        if host.node is None or host.incarnation != incarnation:
            return
        if host.paused_until > self.now:
            if not host.inbox:
                self.schedule(host.paused_until - self.now, self.resume, host, incarnation)
            if not isinstance(event, messages.Tick):
                host.inbox.append(event)
            return
        self.execute_actions(host, host.node.handle(event, self.now))

    def resume(self, host, incarnation):
        if host.node is None or host.incarnation != incarnation or host.paused_until > self.now:
            return
        events, host.inbox = host.inbox, []
        self.execute_actions(host, host.node.handle_all(events, self.now))

    def send(self, sender, to, message):
        if (
            self.rng.random() < self.loss_probability
            or (sender, to) in self.blocked_links
            or to not in self.host_by_name
        ):
            return
        copies = 2 if self.rng.random() < self.loss_probability else 1
        for _ in range(copies):
            late = self.rng.random() < self.loss_probability
            delay = self.rng.uniform(0.001, 0.4 if late else 0.003)
            host = self.host_by_name[to]
            self.schedule(delay, self.receive, host, messages.Received(sender, message))

    def receive(self, host, event):
        if (event.sender, host.node_id) not in self.blocked_links:
            self.deliver(host, host.incarnation, event)

    def sync(self, host, incarnation):
        if host.node is not None and host.incarnation == incarnation:
            self.deliver(host, incarnation, messages.Persisted(host.disk.sync_one()))

    # Client requests.

    def propose(self, name):
        key = f"p{len(self.data_by_proposal)}"
        self.data_by_proposal[key] = key.encode()
        host = self.host_by_name[name]
        self.deliver(host, host.incarnation, messages.Propose(key, key.encode()))
        return key

    def read(self, name):
        key = f"r{len(self.min_index_by_read)}"
        self.min_index_by_read[key] = self.acknowledged_index
        host = self.host_by_name[name]
        self.deliver(host, host.incarnation, messages.Read(key))
        return key

    def change_members(self, name, event_class, *arguments):
        key = f"c{self.last_number}"
        self.last_number += 1
        host = self.host_by_name[name]
        self.deliver(host, host.incarnation, event_class(key, *arguments))
        return key

    def leaders(self):
        return [
            name
            for name, host in self.host_by_name.items()
            if host.node is not None and host.node.role == consensus.Role.LEADER
        ]

    def wait_for_leader(self):
        assert self.run(
            10, until=lambda: len(self.leaders()) == 1 and self.leader_has_applied_no_op()
        )
        return self.leaders()[0]

    def leader_has_applied_no_op(self):
        host = self.host_by_name[self.leaders()[0]]
        return host.paused_until <= self.now and host.applied >= host.node._leadership.no_op_index

    # Actions and oracle.

    def execute_actions(self, host, actions):
        for action in actions:
            if isinstance(action, messages.ConfigurationChanged):
                self.configurations.append((action.index, action.configuration))
        for action in actions:
            if isinstance(action, messages.Send):
                self.check_send(host, action)
                self.send(host.node_id, action.to, action.message)
            elif isinstance(action, messages.Persist | messages.SaveSnapshot):
                host.disk.unsynced_actions.append(action)
                delay = self.rng.uniform(*self.disk_delay)
                self.schedule(delay, self.sync, host, host.incarnation)
            elif isinstance(action, messages.Apply):
                self.check_apply(host, action.entries)
            elif isinstance(action, messages.Restore):
                assert action.snapshot.index > host.applied
                host.state = json.loads(action.snapshot.data or b"[]")
                host.applied = action.snapshot.index
                assert host.state == self.state_at(host.applied)
            elif isinstance(action, messages.TakeSnapshot):
                assert action.index == host.applied
                data = json.dumps(host.state).encode()
                event = messages.SnapshotTaken(action.index, data)
                self.schedule(0.001, self.deliver, host, host.incarnation, event)
            elif isinstance(action, messages.ProposalDone):
                self.check_proposal(host, action)
            elif isinstance(action, messages.ReadDone):
                self.check_read(host, action)
            elif isinstance(action, messages.RoleChanged):
                if action.role == consensus.Role.LEADER:
                    first_leader = self.leader_by_term.setdefault(action.term, host.node_id)
                    assert first_leader == host.node_id, "a term has two leaders"
                    durable = host.disk.hard_state()
                    assert (durable.term, durable.vote) == (action.term, host.node_id)
                    self.last_leader_at = self.now

    def state_at(self, index):
        return [
            data.decode()
            for entry_index, (_, kind, data) in sorted(self.committed_by_index.items())
            if entry_index <= index and kind == messages.EntryKind.COMMAND
        ]

    def check_send(self, host, action):
        message = action.message
        durable = host.disk.hard_state()
        if not isinstance(message, messages.PreVoteRequest):
            assert (
                message.term <= durable.term
            ), "a message with a term was sent before the term was durable"
        if isinstance(message, messages.VoteResponse) and message.granted:
            if durable.term == message.term:
                assert durable.vote == action.to, "a vote was sent before it was durable"
            first = self.vote_by_node_and_term.setdefault((host.node_id, message.term), action.to)
            assert first == action.to, "a node voted twice in one term"

    def check_apply(self, host, entries):
        for entry in entries:
            assert entry.index == host.applied + 1
            value = (entry.term, entry.kind, entry.data)
            if entry.index not in self.committed_by_index:
                # A leader counts a majority of the latest configuration in its log, which may be
                # uncommitted and later than the entry.
                later = [each for index, each in self.configurations if index > entry.index]
                possible = [host.node.log.configuration_at(entry.index), *later]
                assert any(
                    2 * self.count_durable_copies(entry, each.voters) > len(each.voters)
                    for each in possible
                ), "committed before a majority had synced it"
            assert (
                self.committed_by_index.setdefault(entry.index, value) == value
            ), "committed entry changed"
            host.applied = entry.index
            if entry.kind == messages.EntryKind.COMMAND:
                host.state.append(entry.data.decode())

    def count_durable_copies(self, entry, voters):
        return sum(
            name in self.lost_disk_names
            or self.host_by_name[name].disk.has_entry(entry.index, entry.term)
            for name in voters
            if name in self.lost_disk_names or name in self.host_by_name
        )

    def check_proposal(self, host, action):
        if action.result.is_error():
            self.error_by_proposal[action.proposal_id] = action.result.error
            return
        index, term = action.result.ok
        assert host.applied >= index
        self.index_by_proposal[action.proposal_id] = index
        self.acknowledged_index = max(self.acknowledged_index, index)
        if action.proposal_id in self.data_by_proposal:
            assert self.committed_by_index[index][2] == self.data_by_proposal[action.proposal_id]

    def check_read(self, host, action):
        if action.result.is_ok():
            assert host.applied >= self.min_index_by_read[action.read_id], "stale read"
            assert host.applied >= action.result.ok
            self.acknowledged_index = max(self.acknowledged_index, host.applied)
            self.answered_reads += 1

    # Steps of a test.

    def client_step(self):
        targets = self.leaders() + [self.rng.choice(sorted(self.host_by_name))]
        for name in targets:
            for _ in range(3):
                self.propose(name)
                self.read(name)
            self.repair_membership(name)

    def repair_membership(self, name):
        """Requests to add new hosts and to remove hosts whose disk was lost."""
        node = self.host_by_name[name].node
        if node is None or node.role != consensus.Role.LEADER:
            return
        configuration = node.log.configuration()
        members = configuration.members()
        for new_name in sorted(set(self.host_by_name) - set(members)):
            self.change_members(name, messages.AddMember, new_name, f"address-{new_name}")
        for lost_name in sorted(self.lost_disk_names & set(members)):
            if len(configuration.voters) > len(self.host_by_name) - 1:
                self.change_members(name, messages.RemoveMember, lost_name)

    def has_voter(self, leader, name, expected):
        """Returns whether the committed configuration has a voter, or lacks it."""
        node = self.host_by_name[leader].node
        committed = node.log.configuration_index() <= node.commit_index
        return committed and (name in node.log.configuration().voters) == expected

    def may_lose_disk(self):
        """Returns whether every host is a committed voter, so that one disk may be lost."""
        leaders = [self.host_by_name[leader] for leader in self.leaders()]
        return bool(leaders) and all(
            set(host.node.log.configuration().voters) == set(self.host_by_name)
            and host.node.log.configuration_index() <= host.node.commit_index
            for host in leaders
        )

    def fault(self, kind, number):
        names = sorted(self.host_by_name)
        name = names[number % len(names)]
        other = names[(number // 7) % len(names)]
        if kind == "crash":
            self.crash(name)
        elif kind == "crash leader":
            for leader in self.leaders():
                self.crash(leader)
        elif kind == "start":
            for each in names:
                self.start(each)
        elif kind == "pause":
            self.pause(name, 0.1 + number % 30 / 10)
        elif kind == "pause leader":
            for leader in self.leaders():
                self.pause(leader, 0.5 + number % 30 / 10)
        elif kind == "split":
            side = {each for position, each in enumerate(names) if number >> position & 1}
            self.blocked_links = {
                (a, b) for a in names for b in names if (a in side) != (b in side)
            }
        elif kind == "one way":
            self.blocked_links.add((name, other))
        elif kind == "leader receives nothing":
            for leader in self.leaders():
                self.blocked_links |= {(each, leader) for each in names}
        elif kind == "heal":
            self.blocked_links = set()
        elif kind == "slow disk":
            self.disk_delay = (0.0005, 0.3) if number % 2 else (0.0005, 0.004)
        elif kind == "lose disk" and self.may_lose_disk():
            self.lose_disk(name)

    def finish(self):
        """Ends all faults and checks that the log makes progress and has lost nothing."""
        self.blocked_links, self.loss_probability, self.disk_delay = set(), 0.0, (0.0005, 0.004)
        for name in sorted(self.host_by_name):
            self.host_by_name[name].paused_until = min(
                self.host_by_name[name].paused_until, self.now
            )
            self.start(name)
            self.schedule(
                0, self.resume, self.host_by_name[name], self.host_by_name[name].incarnation
            )
        for _ in range(20):
            self.run(0.5)
            self.client_step()
        self.run(1.0)
        leader = self.host_by_name[self.wait_for_leader()]
        key = self.propose(leader.node_id)
        self.run(1.0)
        assert key in self.index_by_proposal, "no progress after the faults ended"
        configuration = leader.node.log.configuration()
        assert set(configuration.voters) == set(self.host_by_name), "a host is not a voter"
        assert sorted(self.committed_by_index) == list(range(1, len(self.committed_by_index) + 1))
        for host in self.host_by_name.values():
            assert host.state == self.state_at(host.applied)
            assert host.applied == leader.applied
        for key, data in self.data_by_proposal.items():
            if key in self.index_by_proposal:
                assert data.decode() in leader.state, "an acknowledged command is lost"
            elif (
                self.error_by_proposal.get(key)
                and self.error_by_proposal[key].code == codes.Code.NOT_LEADER
            ):
                assert data.decode() not in leader.state, "a refused command was applied"


FAULTS = [
    "crash",
    "crash leader",
    "start",
    "start",
    "pause",
    "pause leader",
    "split",
    "one way",
    "leader receives nothing",
    "heal",
    "heal",
    "slow disk",
    "lose disk",
]


@hypothesis.settings(max_examples=60)
@hypothesis.given(
    st.integers(0, 2**32),
    st.sampled_from([3, 5]),
    st.sampled_from([0.0, 0.1, 0.25]),
    st.lists(
        st.tuples(st.sampled_from(FAULTS), st.integers(0, 2**16), st.sampled_from([0.05, 0.3, 1])),
        min_size=3,
        max_size=12,
    ),
)
def test_log_is_safe_and_recovers_under_faults(seed, size, loss, faults):
    # Guards against two leaders in a term, lost or changed entries, stale reads and a log that
    # makes no progress after the faults have ended.
    world = World(seed, size, loss=loss)
    world.run(1.5)
    for kind, number, seconds in faults:
        world.fault(kind, number)
        world.client_step()
        world.run(seconds / 2)
        world.client_step()
        world.run(seconds / 2)
    world.finish()


def test_dead_leader_is_replaced_within_two_seconds():
    # Guards the design's bound: 2 s after the leader crashes, in at least 99 of 100 seeded runs.
    late = 0
    for seed in range(100):
        world = World(seed, settings={})
        leader = world.wait_for_leader()
        world.run(world.rng.uniform(0.2, 0.4))
        crashed_at = world.now
        world.crash(leader)
        world.run(6, until=lambda world=world: bool(world.leaders()))
        late += world.last_leader_at - crashed_at > 2.0 or not world.leaders()
    assert late <= 1


@pytest.mark.parametrize("seed", range(10))
def test_second_loss_right_after_a_repair_loses_nothing(seed):
    # Guards against counting a new member as a voter before it has the committed entries. A second
    # lost disk then loses them.
    world = World(seed, 3)
    for _ in range(2):
        leader = world.wait_for_leader()
        keys = [world.propose(leader) for _ in range(30)]
        world.run(0.5)
        assert all(key in world.index_by_proposal for key in keys)
        victim = next(name for name in sorted(world.host_by_name) if name != leader)
        new_name = world.lose_disk(victim)
        world.change_members(leader, messages.AddMember, new_name, "address")
        assert world.run(5, until=functools.partial(world.has_voter, leader, new_name, True))
        world.change_members(leader, messages.RemoveMember, victim)
        assert world.run(5, until=functools.partial(world.has_voter, leader, victim, False))
    world.crash(leader)
    world.run(5, until=lambda: bool(world.leaders()))
    world.start(leader)
    world.finish()


def test_lost_messages_do_not_delay_an_election_that_needs_all_voters():
    # Guards the same bound where each voter left must agree and 5 % of the messages are lost.
    late = 0
    for seed in range(100):
        world = World(seed, 4, settings={}, loss=0.05)
        leader = world.wait_for_leader()
        world.run(world.rng.uniform(0.2, 0.4))
        crashed_at = world.now
        world.crash(leader)
        world.run(10, until=lambda world=world: bool(world.leaders()))
        late += world.last_leader_at - crashed_at > 2.0 or not world.leaders()
    assert late <= 1


def test_node_outside_the_configuration_neither_votes_nor_campaigns():
    # Guards against a second vote in one term by a node that lost its disk and so its first vote.
    world = World(1, 3)
    leader = world.wait_for_leader()
    new_name = world.lose_disk(next(name for name in world.host_by_name if name != leader))
    term = world.host_by_name[leader].node.term
    outsider = world.host_by_name[new_name]
    sent = []
    world.send = lambda sender, to, message: sent.append((sender, message))
    world.deliver(
        outsider, 1, messages.Received(leader, messages.PreVoteRequest(term + 1, 1, 99, term))
    )
    world.deliver(
        outsider, 1, messages.Received(leader, messages.VoteRequest(term + 1, 99, term + 1))
    )
    world.run(10)
    responses = [message for sender, message in sent if sender == new_name]
    assert len(responses) == 2 and not any(message.granted for message in responses)


def test_isolated_leader_steps_down_and_its_open_proposals_are_unknown():
    # Guards against a leader that is cut off from the others and stays leader for a long time.
    world = World(2)
    leader = world.wait_for_leader()
    world.blocked_links = {(name, leader) for name in world.host_by_name}
    key = world.propose(leader)
    world.run(2.0)
    assert world.host_by_name[leader].node.role != consensus.Role.LEADER
    assert world.error_by_proposal[key].code == codes.Code.MAY_HAVE_RUN
    refused = world.propose(leader)
    assert world.error_by_proposal[refused].code == codes.Code.NOT_LEADER


def test_cut_off_node_does_not_disturb_a_live_leader_when_it_returns():
    # Guards the pre-vote. Without it, a cut-off node raises its term with each election, and this
    # term deposes the leader when the node returns.
    world = World(3)
    leader = world.wait_for_leader()
    term = world.host_by_name[leader].node.term
    away = next(name for name in world.host_by_name if name != leader)
    world.blocked_links = {
        (a, b) for a in world.host_by_name for b in world.host_by_name if away in (a, b)
    }
    world.run(10)
    world.blocked_links = set()
    world.run(3)
    assert world.leaders() == [leader]
    assert world.host_by_name[leader].node.term == term


def test_a_refused_vote_is_reported_once_for_each_reason():
    # Guards against logs that do not tell why a candidate gets no votes, and against a line for
    # each of its requests.
    world = World(3)
    leader = world.wait_for_leader()
    world.run(1)
    voter, candidate = [name for name in world.host_by_name if name != leader][:2]
    node = world.host_by_name[voter].node
    last_index, last_term = node.log.last_index(), node.log.last_term()

    def refusals(term, last_index):
        request = messages.PreVoteRequest(term, 1, last_index, last_term)
        actions = node.handle(messages.Received(candidate, request), world.now)
        return [each.reason for each in actions if isinstance(each, messages.VoteRefused)]

    assert refusals(node.term + 1, last_index) == ["the leader is in touch"]
    assert refusals(node.term + 1, last_index) == []
    assert refusals(node.term + 1, last_index - 1) == ["its log is behind"]
    assert refusals(node.term, last_index) == ["its term has passed"]


def test_new_leader_serves_reads_only_after_its_no_op():
    # Guards against stale reads: the commit index of a new leader may be below its predecessor's
    # until its first entry, the no-op, is committed.
    world = World(4, 3)
    old = world.wait_for_leader()
    world.propose(old)
    # The leader acknowledges the proposal but crashes before any follower receives the new commit
    # index.
    world.run(0.02, until=lambda: bool(world.index_by_proposal))
    assert world.index_by_proposal
    world.crash(old)
    assert world.run(5, until=lambda: bool(world.leaders()))
    key = world.read(world.leaders()[0])
    assert world.min_index_by_read[key] == world.acknowledged_index
    done = world.answered_reads
    world.run(1.0)
    assert world.answered_reads == done + 1


def test_reads_share_one_round_and_wait_for_a_majority():
    # Guards against a stale read: a round that started before the read arrived must not confirm it.
    world = World(5, 3)
    leader = world.wait_for_leader()
    host = world.host_by_name[leader]
    for name in world.host_by_name:
        if name != leader:
            world.blocked_links.add((leader, name))
    rounds = host.node._leadership.last_round
    for _ in range(5):
        world.read(leader)
    world.run(0.4)
    assert world.answered_reads == 0
    assert host.node._leadership.last_round == rounds + 1
    world.blocked_links = set()
    world.run(0.5)
    assert world.answered_reads == 5
    assert host.node._leadership.last_round == rounds + 2


def test_one_change_at_a_time_and_the_last_voter_stays():
    # Guards against two concurrent member changes, which can lead to two majorities without a
    # common member.
    world = World(6, 3)
    leader = world.wait_for_leader()
    others = sorted(set(world.host_by_name) - {leader})
    first = world.change_members(leader, messages.RemoveMember, others[0])
    second = world.change_members(leader, messages.RemoveMember, others[1])
    assert world.error_by_proposal[second].code == codes.Code.MEMBER_CHANGE_REFUSED
    world.run(0.5)
    third = world.change_members(leader, messages.RemoveMember, others[1])
    world.run(0.5)
    assert first in world.index_by_proposal and third in world.index_by_proposal
    last = world.change_members(leader, messages.RemoveMember, leader)
    assert world.error_by_proposal[last].code == codes.Code.MEMBER_CHANGE_REFUSED


def test_leader_can_remove_itself():
    # Guards against a removed leader that stays leader, and against a log without a new leader.
    world = World(7, 3)
    leader = world.wait_for_leader()
    key = world.change_members(leader, messages.RemoveMember, leader)
    assert world.run(1, until=lambda: key in world.index_by_proposal)
    assert world.host_by_name[leader].node.role == consensus.Role.FOLLOWER
    world.run(5)
    assert world.leaders() and world.leaders() != [leader]


def test_leader_with_a_stalled_disk_is_replaced():
    # Guards against a log that makes no progress while the leader's disk is full.
    world = World(8)
    leader = world.wait_for_leader()
    world.sync = lambda host, incarnation, sync=world.sync: (
        sync(host, incarnation) if host.node_id != leader else None
    )
    for _ in range(5):
        world.propose(leader)
        world.run(0.5)
    world.run(3)
    assert world.leaders() and leader not in world.leaders()
    key = world.propose(world.leaders()[0])
    world.run(1)
    assert key in world.index_by_proposal


def test_single_voter_leads_only_after_its_vote_is_durable():
    # Guards against a node that counts its own vote before the vote is durable. The oracle checks
    # this when a node becomes leader.
    world = World(9, 1)
    key = world.propose(world.wait_for_leader())
    world.run(1)
    assert key in world.index_by_proposal


def test_majority_for_an_entry_of_an_older_term_commits_nothing():
    # Guards against committing an entry that a leader of a later term may still replace: an entry
    # of an older term, even if a majority stores it (section 5.4.2 of the Raft paper).
    voters = messages.Configuration({name: "address" for name in ("a", "b", "c", "d", "e")})
    stored = messages.initial_state(voters)
    stored.hard_state = messages.HardState(3, None)
    stored.entries.append(messages.Entry(1, 2, messages.EntryKind.COMMAND, b"old"))
    node = consensus.Node("a", stored, consensus.Settings(), random.Random(1), 0.0)
    now = node.next_deadline()
    node.handle(messages.Tick(), now)
    for name in ("b", "c"):
        node.handle(messages.Received(name, messages.PreVoteResponse(3, 1, True)), now)
    node.handle(messages.Persisted(1), now)
    for name in ("b", "c"):
        node.handle(messages.Received(name, messages.VoteResponse(4, True)), now)
    assert node.role == consensus.Role.LEADER
    for index, committed in ((1, 0), (2, 2)):
        for name in ("b", "c", "d"):
            response = messages.AppendResponse(4, True, index, 0, 0)
            node.handle(messages.Received(name, response), now)
        assert node.commit_index == committed


def test_node_that_cannot_hear_the_leader_does_not_depose_it():
    # Guards against repeated elections in a one-way partition: a node that receives nothing from
    # the leader must not depose it.
    world = World(10)
    leader = world.wait_for_leader()
    term = world.host_by_name[leader].node.term
    cut_off, other = sorted(set(world.host_by_name) - {leader})[:2]
    world.blocked_links = {(leader, cut_off)}
    world.run(10)
    request = messages.VoteRequest(term + 5, 1000, term + 4)
    world.deliver(world.host_by_name[other], 1, messages.Received(cut_off, request))
    world.run(1)
    world.blocked_links = set()
    world.run(3)
    assert world.leaders() == [leader]
    assert world.host_by_name[leader].node.term == term


def test_member_that_never_answers_stays_a_learner():
    # Guards against promoting a member that has no entries: a majority would then count it.
    world = World(11, 3)
    leader = world.wait_for_leader()
    key = world.change_members(leader, messages.AddMember, "silent", "address")
    world.run(5)
    assert key in world.index_by_proposal
    configuration = world.host_by_name[leader].node.log.configuration()
    assert "silent" in configuration.learners and "silent" not in configuration.voters


def test_late_sync_of_a_replaced_entry_does_not_count():
    # Guards against treating an entry as durable because the write of the entry that it replaced
    # completed.
    log = consensus_log.Log(messages.initial_state().snapshot, [])
    for token, term in ((1, 3), (2, 4)):
        log.append(messages.Entry(1, term, messages.EntryKind.COMMAND))
        log.add_pending_sync(token, 1)
        if term == 3:
            log.truncate(1)
    log.mark_synced(1)
    assert log.durable_index == 0
    log.mark_synced(2)
    assert log.durable_index == 1


def test_follower_that_wakes_late_does_not_campaign_at_once():
    # Guards against a needless election after a pause of the process, while the leader's messages
    # are still in the receive queue.
    state = messages.initial_state(messages.Configuration({"a": "", "b": "", "c": ""}))
    node = consensus.Node("a", state, consensus.Settings(), random.Random(1), 0.0)
    assert node.handle(messages.Tick(), node.next_deadline() + 5) == []
    assert len(node.handle(messages.Tick(), node.next_deadline())) == 3


def start_campaign():
    """Returns a node that has asked two others for their votes, and the time."""
    state = messages.initial_state(messages.Configuration({"a": "", "b": "", "c": ""}))
    node = consensus.Node("a", state, consensus.Settings(), random.Random(1), 0.0)
    now = node.next_deadline()
    node.handle(messages.Tick(), now)
    node.handle(messages.Received("b", messages.PreVoteResponse(0, 1, True)), now)
    assert node.role == consensus.Role.CANDIDATE
    node.handle(messages.Persisted(1), now)
    return node, now


def run_until_next_campaign(node, now):
    """Lets the timers of a node run out until it is a pre-candidate; returns the time."""
    for _ in range(20):
        now = node.next_deadline()
        node.handle(messages.Tick(), now)
        if node.role == consensus.Role.PRE_CANDIDATE:
            return now
    raise AssertionError("the node does not campaign again")


def test_votes_that_arrive_after_the_election_timeout_count():
    # Guards against members without a leader for as long as a vote takes longer than the election
    # timeout, because of late turns or slow syncs: the only candidate drops the votes that it gets.
    node, now = start_campaign()
    now = run_until_next_campaign(node, now)
    node.handle(messages.Received("b", messages.VoteResponse(1, True)), now)
    assert node.role == consensus.Role.LEADER and node.term == 1


def test_a_term_that_was_led_is_not_led_again():
    # Guards against stale reads: rounds of reads start anew with each leadership, and late answers
    # to those of the first one in a term would confirm those of a second one.
    node, now = start_campaign()
    node.handle(messages.Received("b", messages.VoteResponse(1, True)), now)
    assert node.role == consensus.Role.LEADER
    node.handle(messages.Persisted(2), now)
    now = run_until_next_campaign(node, now)
    for voter_id in ("b", "c"):
        node.handle(messages.Received(voter_id, messages.VoteResponse(1, True)), now)
    assert node.role == consensus.Role.PRE_CANDIDATE


def test_votes_of_a_term_that_another_node_leads_do_not_count():
    # Guards against a second leader in one term: its leader has removed voters, and the votes that
    # a loser of the election got before are a majority of those that remain.
    members = {name: "" for name in "abcde"}
    state = messages.initial_state(messages.Configuration(members))
    node = consensus.Node("a", state, consensus.Settings(), random.Random(1), 0.0)
    now = node.next_deadline()
    node.handle(messages.Tick(), now)
    for voter_id in ("b", "e"):
        node.handle(messages.Received(voter_id, messages.PreVoteResponse(0, 1, True)), now)
    assert node.role == consensus.Role.CANDIDATE
    node.handle(messages.Persisted(1), now)
    node.handle(messages.Received("e", messages.VoteResponse(1, True)), now)
    entries = [messages.Entry(1, 1, messages.EntryKind.NO_OP)]
    for removed in ("c", "d"):
        del members[removed]
        data = messages.Configuration(dict(members)).encode()
        kind = messages.EntryKind.CONFIGURATION
        entries.append(messages.Entry(len(entries) + 1, 1, kind, data))
    node.handle(messages.Received("b", messages.AppendRequest(1, 0, 0, entries, 3, 1)), now)
    assert node.leader_id == "b" and set(node.log.configuration().voters) == {"a", "b", "e"}
    node.handle(messages.Persisted(2), now)
    while node.role == consensus.Role.FOLLOWER:
        node.handle(messages.Tick(), node.next_deadline())
    assert node.role == consensus.Role.PRE_CANDIDATE and node.term == 1


def test_votes_of_an_earlier_process_do_not_count():
    # Guards against the same after a restart of a leader, which does not know that it has led.
    state = messages.initial_state(messages.Configuration({"a": "", "b": "", "c": ""}))
    state.hard_state = messages.HardState(1, "a")
    node = consensus.Node("a", state, consensus.Settings(), random.Random(1), 0.0)
    now = run_until_next_campaign(node, 0.0)
    for voter_id in ("b", "c"):
        node.handle(messages.Received(voter_id, messages.VoteResponse(1, True)), now)
    assert node.role == consensus.Role.PRE_CANDIDATE


@pytest.mark.parametrize("sync_seconds", [(0.4, 0.5), (0.5, 0.6)])
def test_members_with_slow_disks_replace_a_leader(sync_seconds):
    # Guards the same on members whose every sync takes a large part of the election timeout.
    for seed in range(20):
        world = World(seed, 3, settings={})
        leader = world.wait_for_leader()
        world.disk_delay = sync_seconds
        world.run(3)
        world.crash(leader)
        assert world.run(LEADER_SECONDS, until=lambda world=world: bool(world.leaders())), seed


def test_a_leader_that_steps_down_has_been_in_touch_until_then():
    # Guards against a former leader that takes itself for a machine that is out of touch since the
    # last message of the leader before it, and refuses to serve.
    node, now = start_campaign()
    now += 100.0
    node.handle(messages.Received("b", messages.VoteResponse(1, True)), now)
    node.handle(messages.Persisted(2), now)
    assert node.role == consensus.Role.LEADER
    response = messages.AppendResponse(1, True, 1, 0, 0)
    responded_at = now + 1.0
    node.handle(messages.Received("b", response), responded_at)
    now = responded_at + 2.0
    node.handle(messages.Tick(), now)
    assert node.role == consensus.Role.FOLLOWER
    assert node.seconds_since_leader_contact(now) == pytest.approx(2.0)


def test_a_leader_that_leads_again_forgets_the_leader_before_its_first_term():
    # Guards against a member that responded until a moment ago, and that is removed early because
    # its silence is counted from the time at which it was the leader itself.
    node, now = start_campaign()
    request = messages.AppendRequest(1, 0, 0, [], 0, 0)
    node.handle(messages.Received("c", request), now)
    for _ in range(2):
        now = run_until_next_campaign(node, now + 20.0)
        term, pre_vote_round = node.term, node._pre_vote_round
        node.handle(
            messages.Received("b", messages.PreVoteResponse(term, pre_vote_round, True)), now
        )
        node.handle(messages.Persisted(node._last_token), now)
        node.handle(messages.Received("b", messages.VoteResponse(node.term, True)), now)
        assert node.role == consensus.Role.LEADER
        node.handle(messages.Persisted(node._last_token), now)
        silence = now - node._leadership.progress_by_id["c"].silent_since
        now += 2.0
        node.handle(messages.Tick(), now)
        assert node.role == consensus.Role.FOLLOWER
    assert silence == 0.0
