"""One node of the replicated log, a variant of Raft with pre-vote, check-quorum and read index.

`Node.handle` takes one event and returns the actions to carry out, in order. It does no I/O and
reads no clock. Storing is asynchronous: what depends on a record leaves the node, and counts
towards a majority, only after `Persisted` has reported it.
"""

import enum
import math
import random

import expression

from chiveswitch.core import codes, consensus_leader, consensus_log
from chiveswitch.core import consensus_messages as messages


class Role(enum.Enum):
    """The role of a node."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Settings:
    """Times in seconds, sizes in bytes or entries.

    The election timeout is drawn between its two bounds for each wait. With a one-way latency of
    1 ms a dead leader is replaced within 2 s even if the first candidate fails. The first wait of a
    started node is at most `first_election_max`: after a restart of all members nobody leads, and
    where somebody does, the pre-vote is refused.
    """

    __slots__ = (
        "election_timeout_min",
        "election_timeout_max",
        "first_election_max",
        "heartbeat_interval",
        "max_entries",
        "max_bytes",
        "window_entries",
        "chunk_bytes",
        "max_uncommitted",
        "snapshot_interval",
        "trailing_entries",
        "catch_up_entries",
    )

    def __init__(
        self,
        election_timeout_min: float = 0.6,
        election_timeout_max: float = 1.2,
        first_election_max: float = 0.4,
        heartbeat_interval: float = 0.15,
        max_entries: int = 512,
        max_bytes: int = 256 * 1024,
        window_entries: int = 4096,
        chunk_bytes: int = 256 * 1024,
        max_uncommitted: int = 8192,
        snapshot_interval: int = 10_000,
        trailing_entries: int = 1000,
        catch_up_entries: int = 64,
    ):
        self.election_timeout_min = election_timeout_min
        self.election_timeout_max = election_timeout_max
        self.first_election_max = first_election_max
        self.heartbeat_interval = heartbeat_interval
        self.max_entries = max_entries
        self.max_bytes = max_bytes
        self.window_entries = window_entries
        self.chunk_bytes = chunk_bytes
        self.max_uncommitted = max_uncommitted
        self.snapshot_interval = snapshot_interval
        self.trailing_entries = trailing_entries
        self.catch_up_entries = catch_up_entries


# Messages leave once the term and vote, or also all log records so far, are durable.
_AFTER_TERM = 0
_AFTER_LOG = 1

# A stalled disk holds messages back. The network may lose any message, so excess ones are dropped.
_MAX_HELD = 1024

_RESPONSES = (
    messages.PreVoteResponse,
    messages.VoteResponse,
    messages.AppendResponse,
    messages.SnapshotAck,
)


class Node:
    """A member of the replicated log.

    Attributes:
        node_id: Id drawn when the data folder was created.
        role: Current role.
        term: Current term; durable before any message carries it.
        leader_id: Leader of the term as far as known, or None.
        log: Entries in memory.
        commit_index: Highest index known to be committed.
        applied_index: Highest index handed out by `Apply` or `Restore`.
    """

    __slots__ = (
        "node_id",
        "role",
        "term",
        "leader_id",
        "log",
        "commit_index",
        "applied_index",
        "_settings",
        "_random",
        "_now",
        "_vote",
        "_leadership",
        "_votes",
        "_round",
        "_election_at",
        "_leader_contact_at",
        "_actions",
        "_outbox",
        "_held",
        "_records",
        "_hard_state_changed",
        "_last_token",
        "_done_token",
        "_hard_state_token",
        "_issued",
        "_saving",
        "_incoming",
        "_snapshot_requested",
        "_reported_role",
        "_reported_configuration",
    )

    def __init__(
        self,
        node_id: str,
        stored: messages.StoredState,
        settings: Settings,
        random_source: random.Random,
        now: float,
    ):
        """Starts a node; its applied state is that of `stored.snapshot`.

        Args:
            node_id: Id from the data folder.
            stored: State from the data folder.
            settings: Settings, equal on all nodes.
            random_source: Source of the election timeouts.
            now: Current time in seconds.
        """
        self.node_id = node_id
        self.role = Role.FOLLOWER
        self.term = stored.hard_state.term
        self.leader_id = None
        self.log = consensus_log.Log(stored.snapshot, stored.entries)
        self.commit_index = stored.snapshot.index
        self.applied_index = stored.snapshot.index
        self._settings = settings
        self._random = random_source
        self._now = now
        self._vote = stored.hard_state.vote
        self._leadership = None
        self._votes = set()
        self._round = 0
        self._leader_contact_at = -math.inf
        self._actions = []
        self._outbox = []
        self._held = []
        self._records = []
        self._hard_state_changed = False
        self._last_token = 0
        self._done_token = 0
        self._hard_state_token = 0
        self._issued = []
        self._saving = {}
        self._incoming = None
        self._snapshot_requested = False
        self._reported_role = (Role.FOLLOWER, self.term, None)
        self._reported_configuration = self.log.configuration_index()
        self._election_at = now + random_source.uniform(0.0, settings.first_election_max)

    def handle(self, event: messages.Record, now: float) -> list[messages.Record]:
        """Takes one event and returns the actions that follow, in order."""
        return self.handle_all([event], now)

    def handle_all(self, events: list[messages.Record], now: float) -> list[messages.Record]:
        """Takes the events of one wake-up, with one `Persist` and one round of messages for all.

        Args:
            events: Events in the order of their arrival.
            now: Current time in seconds, of a clock that also runs while the VM is suspended.

        Returns:
            Actions to carry out in order.
        """
        self._now = now
        self._actions = []
        # A leader that was paused steps down before it takes anything new.
        self._check_quorum()
        for event in events:
            _HANDLER_BY_EVENT[type(event)](self, event)
        self._check_timers()
        self._flush()
        return self._actions

    def next_deadline(self) -> float:
        """Returns the time at which a `Tick` is due at the latest."""
        if self._leadership is not None:
            return self._leadership.heartbeat_at
        return self._election_at

    def committed_configuration(self) -> tuple[int, messages.Configuration]:
        """Returns the latest committed configuration and its index."""
        found = self.log.configurations[0]
        for pair in self.log.configurations:
            if pair[0] <= self.commit_index:
                found = pair
        return found

    def unresponsive_members(self, seconds: float, now: float) -> list[str]:
        """Returns the members that a leader has not heard for some seconds; none elsewhere."""
        if self._leadership is None:
            return []
        return [
            member_id
            for member_id, progress in self._leadership.progress_by_id.items()
            if now - progress.heard_at > seconds
        ]

    def seconds_since_leader_contact(self, now: float) -> float:
        """Returns the seconds since the leader was heard; 0 on a leader with a majority."""
        return 0.0 if self._leadership is not None else now - self._leader_contact_at

    # Timers and roles.

    def _arm_election_timer(self) -> None:
        self._election_at = self._now + self._random.uniform(
            self._settings.election_timeout_min, self._settings.election_timeout_max
        )

    def _check_quorum(self) -> None:
        """Steps down if a majority or the own disk has been silent for an election timeout."""
        if self._leadership is None:
            return
        limit = self._now - self._settings.election_timeout_max
        stalled = bool(self._issued) and self._issued[0][1] < limit
        if stalled or self._leadership.majority_heard_at(self._now) < limit:
            self._become_follower(self.term, None)

    def _check_timers(self) -> None:
        self._check_quorum()
        if self._leadership is not None or self._now < self._election_at:
            return
        # After a pause of the process the leader's messages may still be in the receive queue.
        late = self._now - self._election_at > 2 * self._settings.heartbeat_interval
        if late or self.node_id not in self.log.configuration().voters:
            self._arm_election_timer()
            return
        # A node whose disk stalls cannot lead; it tries again soon.
        if self._issued:
            self._election_at = self._now + self._settings.heartbeat_interval
            return
        self._start_pre_vote()

    def _start_pre_vote(self) -> None:
        self.role = Role.PRE_CANDIDATE
        self.leader_id = None
        self._round += 1
        self._votes = {self.node_id}
        self._arm_election_timer()
        request = messages.PreVoteRequest(
            self.term + 1, self._round, self.log.last_index(), self.log.last_term()
        )
        self._ask_voters(request)

    def _start_election(self) -> None:
        self._set_hard_state(self.term + 1, self.node_id)
        self.role = Role.CANDIDATE
        # The own vote is added once it is durable.
        self._votes = set()
        self._arm_election_timer()
        self._ask_voters(
            messages.VoteRequest(self.term, self.log.last_index(), self.log.last_term())
        )

    def _ask_voters(self, request: messages.Record) -> None:
        for voter_id in self.log.configuration().voters:
            if voter_id != self.node_id:
                self._send(voter_id, request)

    def _has_majority(self) -> bool:
        voters = self.log.configuration().voters
        return 2 * len(self._votes.intersection(voters)) > len(voters)

    def _count_votes(self) -> None:
        if self.role == Role.PRE_CANDIDATE and self._has_majority():
            self._start_election()
        if self.role != Role.CANDIDATE:
            return
        if not self._hard_state_changed and self._done_token >= self._hard_state_token:
            self._votes.add(self.node_id)
        if self._has_majority():
            self._become_leader()

    def _become_leader(self) -> None:
        self.role = Role.LEADER
        self.leader_id = self.node_id
        self._leadership = consensus_leader.Leadership(
            self.node_id, self.term, self.log, self._settings, self._now
        )
        self._append(messages.EntryKind.NO_OP, b"")

    def _become_follower(self, term: int, leader_id: str | None) -> None:
        if term > self.term:
            self._set_hard_state(term, None)
        if self.role != Role.FOLLOWER:
            self.role = Role.FOLLOWER
            self._arm_election_timer()
        self.leader_id = leader_id
        leadership, self._leadership = self._leadership, None
        if leadership is None:
            return
        for proposal_id in leadership.proposal_by_index.values():
            result = codes.failure(
                codes.Code.MAY_HAVE_RUN, "Leadership was lost before the entry was committed."
            )
            self._actions.append(messages.ProposalDone(proposal_id, result, leader_id))
        for read_id in leadership.open_read_ids():
            self._refuse_read(read_id)

    def _set_hard_state(self, term: int, vote: str | None) -> None:
        self.term = term
        self._vote = vote
        self._hard_state_changed = True

    # Messages.

    def _send(self, to: str, message: messages.Record, after: int = _AFTER_TERM) -> None:
        self._outbox.append((to, message, after))

    def _on_received(self, event: messages.Received) -> None:
        message = event.message
        kind = type(message)
        if kind in _RESPONSES and event.sender not in self.log.configuration().members():
            return
        if kind is messages.PreVoteRequest:
            self._on_pre_vote_request(event.sender, message)
            return
        # A live leader is not deposed by a node that has lost contact to it.
        if kind is messages.VoteRequest and self._hears_leader(event.sender):
            return
        if message.term > self.term:
            self._become_follower(message.term, None)
        _HANDLER_BY_MESSAGE[kind](self, event.sender, message)

    def _hears_leader(self, sender: str) -> bool:
        if self._leadership is not None:
            return True
        silence = self._now - self._leader_contact_at
        return silence < self._settings.election_timeout_min and sender != self.leader_id

    def _log_is_behind(self, last_index: int, last_term: int) -> bool:
        """Says whether a candidate's log ends before the own one."""
        return (last_term, last_index) < (self.log.last_term(), self.log.last_index())

    def _may_vote(self) -> bool:
        # A learner may be a voter already in a configuration that has not arrived here; candidates
        # count the votes of their own voters only.
        return self.node_id in self.log.configuration().members()

    def _on_pre_vote_request(self, sender: str, request: messages.PreVoteRequest) -> None:
        granted = (
            self._may_vote()
            and request.term > self.term
            and not self._hears_leader(sender)
            and not self._log_is_behind(request.last_index, request.last_term)
        )
        self._send(sender, messages.PreVoteResponse(self.term, request.round, granted))

    def _on_pre_vote_response(self, sender: str, response: messages.PreVoteResponse) -> None:
        if self.role != Role.PRE_CANDIDATE or response.round != self._round:
            return
        if response.granted:
            self._votes.add(sender)

    def _on_vote_request(self, sender: str, request: messages.VoteRequest) -> None:
        granted = (
            self._may_vote()
            and request.term == self.term
            and self._vote in (None, sender)
            and not self._log_is_behind(request.last_index, request.last_term)
        )
        if granted:
            if self._vote is None:
                self._set_hard_state(self.term, sender)
            self._arm_election_timer()
        # The response leaves after the vote is durable, so that a restart cannot vote twice.
        self._send(sender, messages.VoteResponse(self.term, granted))

    def _on_vote_response(self, sender: str, response: messages.VoteResponse) -> None:
        if self.role == Role.CANDIDATE and response.term == self.term and response.granted:
            self._votes.add(sender)

    def _accept_leader(self, sender: str) -> None:
        if self.role != Role.FOLLOWER or self.leader_id != sender:
            self._become_follower(self.term, sender)
        self._leader_contact_at = self._now
        self._arm_election_timer()

    def _on_append_request(self, sender: str, request: messages.AppendRequest) -> None:
        if request.term < self.term:
            self._send(sender, messages.AppendResponse(self.term, False, 0, 0, 0))
            return
        self._accept_leader(sender)
        previous = request.previous_index
        last_matching = previous + len(request.entries)
        if previous >= self.log.base_index and self.log.term(previous) != request.previous_term:
            if previous > self.log.last_index():
                hint = self.log.last_index()
            else:
                hint = self.log.first_index_of_term(previous) - 1
            self._send(
                sender,
                messages.AppendResponse(self.term, False, hint, previous, request.round),
            )
            return
        for entry in request.entries:
            # Entries up to the base are committed and so equal to the leader's.
            if entry.index <= self.log.base_index or self.log.term(entry.index) == entry.term:
                continue
            if entry.index <= self.log.last_index():
                if entry.index <= self.commit_index:
                    raise AssertionError(f"entry {entry.index} is committed and would change")
                self.log.truncate(entry.index)
            self.log.append(entry)
            self._records.append(entry)
        last_matching = max(last_matching, self.log.base_index)
        self.commit_index = max(self.commit_index, min(request.commit_index, last_matching))
        self._acknowledge(sender, last_matching, request.round)

    def _acknowledge(self, sender: str, index: int, round: int) -> None:
        # Heartbeats need not wait for the disk if all they confirm is durable.
        after = _AFTER_TERM if index <= self.log.durable_index else _AFTER_LOG
        self._send(sender, messages.AppendResponse(self.term, True, index, 0, round), after)

    def _on_append_response(self, sender: str, response: messages.AppendResponse) -> None:
        if self._leadership is not None and response.term == self.term:
            self._leadership.on_append_response(sender, response, self._now)

    def _on_snapshot_chunk(self, sender: str, chunk: messages.SnapshotChunk) -> None:
        if chunk.term < self.term:
            self._send(sender, messages.SnapshotAck(self.term, chunk.snapshot_index, 0, 0))
            return
        self._accept_leader(sender)
        if chunk.snapshot_index <= self.commit_index:
            self._incoming = None
            self._acknowledge(sender, chunk.snapshot_index, chunk.round)
            return
        key = (chunk.snapshot_index, chunk.snapshot_term)
        saving = any(
            (snapshot.index, snapshot.term) == key for snapshot, _ in self._saving.values()
        )
        if saving:
            expected = chunk.offset + len(chunk.data)
        else:
            # Two leaders may hold different bytes for the same position, so that a transfer is
            # not continued across terms.
            if self._incoming is None or self._incoming[:2] != (key, chunk.term):
                self._incoming = (key, chunk.term, bytearray())
            buffer = self._incoming[2]
            if chunk.offset == len(buffer):
                buffer += chunk.data
                if chunk.last:
                    snapshot = messages.Snapshot(*key, chunk.configuration, bytes(buffer))
                    self._save_snapshot(snapshot, (sender, chunk.term, chunk.round))
                    self._incoming = None
            expected = len(buffer)
        self._send(
            sender,
            messages.SnapshotAck(self.term, chunk.snapshot_index, expected, chunk.round),
        )

    def _on_snapshot_ack(self, sender: str, ack: messages.SnapshotAck) -> None:
        if self._leadership is not None and ack.term == self.term:
            self._leadership.on_snapshot_ack(sender, ack, self._now)

    # Storage.

    def _issue_token(self) -> int:
        self._last_token += 1
        self._issued.append((self._last_token, self._now))
        return self._last_token

    def _save_snapshot(self, snapshot: messages.Snapshot, source: tuple | None) -> None:
        token = self._issue_token()
        self._saving[token] = (snapshot, source)
        self._actions.append(messages.SaveSnapshot(token, snapshot))

    def _on_persisted(self, event: messages.Persisted) -> None:
        self._done_token = max(self._done_token, event.token)
        while self._issued and self._issued[0][0] <= self._done_token:
            self._issued.pop(0)
        self.log.synced(self._done_token)
        for token in [token for token in self._saving if token <= self._done_token]:
            snapshot, source = self._saving.pop(token)
            if source is None:
                self._snapshot_requested = False
                if snapshot.index > self.log.snapshot.index:
                    self.log.compact(snapshot, self._settings.trailing_entries)
            else:
                self._install(snapshot, *source)
        held, self._held = self._held, []
        for required, send in held:
            if required <= self._done_token:
                self._actions.append(send)
            else:
                self._held.append((required, send))

    def _install(self, snapshot: messages.Snapshot, sender: str, term: int, round: int) -> None:
        """Adopts a durable snapshot that came from a leader."""
        if snapshot.index > self.commit_index:
            if self.log.term(snapshot.index) == snapshot.term:
                self.log.compact(snapshot, self._settings.trailing_entries)
            else:
                # Entries that arrived for storage in this wake-up belong to the replaced log.
                self.log.reset(snapshot)
                self._records = [messages.LogReset(snapshot.index, snapshot.term)]
            self.commit_index = snapshot.index
            self.applied_index = snapshot.index
            self._actions.append(messages.Restore(snapshot))
        if term == self.term and self.leader_id == sender:
            self._acknowledge(sender, snapshot.index, round)

    def _on_snapshot_taken(self, event: messages.SnapshotTaken) -> None:
        term = self.log.term(event.index)
        if event.index <= self.log.snapshot.index or term is None:
            self._snapshot_requested = False
            return
        configuration = self.log.configuration_at(event.index)
        self._save_snapshot(messages.Snapshot(event.index, term, configuration, event.data), None)

    # Requests of the daemon.

    def _append(self, kind: messages.EntryKind, data: bytes) -> int:
        entry = messages.Entry(self.log.last_index() + 1, self.term, kind, data)
        self.log.append(entry)
        self._records.append(entry)
        if kind == messages.EntryKind.CONFIGURATION:
            self._leadership.update_members(self._now)
        return entry.index

    def _refuse(self, proposal_id: object, code: codes.Code, message: str) -> None:
        self._actions.append(
            messages.ProposalDone(proposal_id, codes.failure(code, message), self.leader_id)
        )

    def _may_append(self, proposal_id: object) -> bool:
        if self._leadership is None:
            self._refuse(proposal_id, codes.Code.NOT_LEADER, "This node is not the leader.")
            return False
        if self.log.last_index() - self.commit_index >= self._settings.max_uncommitted:
            self._refuse(proposal_id, codes.Code.QUEUE_FULL, "Too many entries are uncommitted.")
            return False
        return True

    def _on_propose(self, event: messages.Propose) -> None:
        if self._may_append(event.proposal_id):
            index = self._append(messages.EntryKind.COMMAND, event.data)
            self._leadership.proposal_by_index[index] = event.proposal_id

    def _on_add_member(self, event: messages.AddMember) -> None:
        configuration = self.log.configuration()
        fault = None
        if event.member_id in configuration.members():
            fault = "The node is a member already."
        elif configuration.learners:
            fault = "Another member is still catching up."
        learners = {**configuration.learners, event.member_id: event.address}
        self._change(event.proposal_id, configuration.voters, learners, fault)

    def _on_remove_member(self, event: messages.RemoveMember) -> None:
        configuration = self.log.configuration()
        voters = {**configuration.voters}
        learners = {**configuration.learners}
        known = event.member_id in configuration.members()
        voters.pop(event.member_id, None)
        learners.pop(event.member_id, None)
        fault = None
        if not known:
            fault = "The node is not a member."
        elif not voters:
            fault = "The last voter cannot be removed."
        self._change(event.proposal_id, voters, learners, fault)

    def _change(self, proposal_id: object, voters: dict, learners: dict, fault: str | None) -> None:
        if not self._may_append(proposal_id):
            return
        # Two changes in flight, or a change before an entry of the own term is committed, can
        # leave two majorities without a common member.
        if not self._may_change():
            fault = fault or "Another change is not committed yet."
        if fault is not None:
            self._refuse(proposal_id, codes.Code.MEMBER_CHANGE_REFUSED, fault)
            return
        data = messages.Configuration(voters, learners).encode()
        index = self._append(messages.EntryKind.CONFIGURATION, data)
        self._leadership.proposal_by_index[index] = proposal_id

    def _may_change(self) -> bool:
        committed_own = self.commit_index >= self._leadership.first_index
        return committed_own and self.log.configuration_index() <= self.commit_index

    def _refuse_read(self, read_id: object) -> None:
        result = codes.failure(codes.Code.NOT_LEADER, "This node is not the leader.")
        self._actions.append(messages.ReadDone(read_id, result, self.leader_id))

    def _on_read(self, event: messages.Read) -> None:
        if self._leadership is None:
            self._refuse_read(event.read_id)
            return
        self._leadership.waiting.read_ids.append(event.read_id)

    def _on_tick(self, event: messages.Tick) -> None:
        """Timers are checked after every event."""

    # The end of a wake-up.

    def _flush(self) -> None:
        self._count_votes()
        if self._leadership is not None:
            self._commit()
        self._apply()
        if self._leadership is not None:
            self._promote()
        if self._leadership is not None:
            self._leadership.advance_reads(self.commit_index)
            self._answer_reads()
            for to, request in self._leadership.requests(self.commit_index, self._now):
                self._send(to, request)
        self._persist()
        self._release_outbox()
        self._report()

    def _commit(self) -> None:
        index = self._leadership.majority_match()
        # An entry of an older term may be replaced even if a majority holds it.
        if index > self.commit_index and self.log.term(index) == self.term:
            self.commit_index = index

    def _apply(self) -> None:
        # Only durable entries are applied, so that no snapshot runs ahead of the stored log.
        last = min(self.commit_index, self.log.durable_index)
        if last <= self.applied_index:
            return
        start = self.applied_index - self.log.base_index
        entries = self.log.entries[start : last - self.log.base_index]
        self.applied_index = last
        self._actions.append(messages.Apply(entries))
        if self._leadership is None:
            return
        for entry in entries:
            proposal_id = self._leadership.proposal_by_index.pop(entry.index, None)
            if proposal_id is not None:
                result = expression.Ok((entry.index, entry.term))
                self._actions.append(messages.ProposalDone(proposal_id, result, self.node_id))
        # A leader leads until its own removal is committed.
        removed = self.node_id not in self.log.configuration().voters
        if removed and self.log.configuration_index() <= self.commit_index:
            self._become_follower(self.term, None)

    def _promote(self) -> None:
        if not self._may_change():
            return
        learner_id = self._leadership.promotable(self.commit_index, self._now)
        if learner_id is None:
            return
        configuration = self.log.configuration()
        learners = {**configuration.learners}
        voters = {**configuration.voters, learner_id: learners.pop(learner_id)}
        data = messages.Configuration(voters, learners).encode()
        self._append(messages.EntryKind.CONFIGURATION, data)

    def _answer_reads(self) -> None:
        confirmed = self._leadership.confirmed
        while confirmed and confirmed[0].index <= self.applied_index:
            read_round = confirmed.pop(0)
            for read_id in read_round.read_ids:
                result = expression.Ok(read_round.index)
                self._actions.append(messages.ReadDone(read_id, result, self.node_id))

    def _persist(self) -> None:
        records, self._records = self._records, []
        if self._hard_state_changed:
            records.insert(0, messages.HardState(self.term, self._vote))
        if not records:
            return
        token = self._issue_token()
        if self._hard_state_changed:
            self._hard_state_token = token
            self._hard_state_changed = False
        if isinstance(records[-1], messages.Entry):
            self.log.await_sync(token, self.log.last_index())
        self._actions.append(messages.Persist(token, records))

    def _release_outbox(self) -> None:
        for to, message, after in self._outbox:
            required = self._last_token if after == _AFTER_LOG else self._hard_state_token
            send = messages.Send(to, message)
            if required <= self._done_token:
                self._actions.append(send)
            elif len(self._held) < _MAX_HELD:
                self._held.append((required, send))
        self._outbox = []

    def _report(self) -> None:
        role = (self.role, self.term, self.leader_id)
        if role != self._reported_role:
            self._reported_role = role
            self._actions.append(messages.RoleChanged(*role))
        index = self.log.configuration_index()
        if index != self._reported_configuration:
            self._reported_configuration = index
            self._actions.append(messages.ConfigurationChanged(index, self.log.configuration()))
        behind = self.applied_index - self.log.snapshot.index
        if behind >= self._settings.snapshot_interval and not self._snapshot_requested:
            self._snapshot_requested = True
            self._actions.append(messages.TakeSnapshot(self.applied_index))


_HANDLER_BY_EVENT = {
    messages.Tick: Node._on_tick,
    messages.Received: Node._on_received,
    messages.Persisted: Node._on_persisted,
    messages.Propose: Node._on_propose,
    messages.AddMember: Node._on_add_member,
    messages.RemoveMember: Node._on_remove_member,
    messages.Read: Node._on_read,
    messages.SnapshotTaken: Node._on_snapshot_taken,
}

_HANDLER_BY_MESSAGE = {
    messages.PreVoteResponse: Node._on_pre_vote_response,
    messages.VoteRequest: Node._on_vote_request,
    messages.VoteResponse: Node._on_vote_response,
    messages.AppendRequest: Node._on_append_request,
    messages.AppendResponse: Node._on_append_response,
    messages.SnapshotChunk: Node._on_snapshot_chunk,
    messages.SnapshotAck: Node._on_snapshot_ack,
}
