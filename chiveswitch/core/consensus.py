"""One node of the replicated log, a variant of Raft with pre-vote, check-quorum and read index.

`Node.handle` processes one event and returns the actions to carry out, in order. It does no I/O and
reads no clock. Writes to disk are asynchronous: a message that depends on a record is sent, and the
record counts towards a majority, only after `Persisted` has reported that it is durable.
"""

import enum
import math
import random

import expression

from chiveswitch.core import codes, consensus_leader, consensus_log, membership
from chiveswitch.core import consensus_messages as messages


class Role(enum.Enum):
    """The role of a node."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Settings:
    """Settings of a node; equal on all nodes.

    With the default election timeout and a one-way latency of 1 ms, a failed leader is replaced
    within 2 s even if the first candidate fails.

    Attributes:
        election_timeout_min: Lower bound in seconds of the election timeout, which is drawn anew at
            random for each wait.
        election_timeout_max: Upper bound in seconds.
        first_election_timeout_max: Upper bound in seconds of the first wait of a started node. It
            is short because after a restart of all members there is no leader. If there is one,
            the members deny the pre-vote.
        heartbeat_interval: Seconds between two heartbeats of a leader.
        max_entries: Limit of entries in one message.
        max_bytes: Limit of the bytes of entries in one message.
        window_entries: Limit of entries sent to a member and not yet acknowledged.
        chunk_bytes: Bytes of a snapshot in one message.
        max_uncommitted_entries: Limit of uncommitted entries, above which proposals are refused.
        snapshot_interval: Number of applied entries after which a snapshot is requested.
        snapshot_bytes: Bytes of applied entries after which a snapshot is requested earlier.
        trailing_entries: Number of entries that are kept although a snapshot covers them, as far as
            they have at most `snapshot_bytes`.
        catch_up_entries: Largest number of committed entries that a learner may lack when it
            becomes a voter.
        tolerated_losses: Number of voters that may be lost at the same time.
        member_timeout: Seconds without a response after which a member is removed. Pauses and
            partitions of 8 s are usual, and a member that was removed too early joins again.
        replacement_timeout: Seconds without a response after which a voter is removed if a learner
            can take its place.
        stopped_timeout: Seconds without a response after which a voter that has announced its stop
            may be removed without a learner in its place. A restart usually takes less.
    """

    __slots__ = (
        "election_timeout_min",
        "election_timeout_max",
        "first_election_timeout_max",
        "heartbeat_interval",
        "max_entries",
        "max_bytes",
        "window_entries",
        "chunk_bytes",
        "max_uncommitted_entries",
        "snapshot_interval",
        "snapshot_bytes",
        "trailing_entries",
        "catch_up_entries",
        "tolerated_losses",
        "member_timeout",
        "replacement_timeout",
        "stopped_timeout",
    )

    def __init__(
        self,
        election_timeout_min: float = 0.6,
        election_timeout_max: float = 1.2,
        first_election_timeout_max: float = 0.4,
        heartbeat_interval: float = 0.15,
        max_entries: int = 512,
        max_bytes: int = 256 * 1024,
        window_entries: int = 4096,
        chunk_bytes: int = 256 * 1024,
        max_uncommitted_entries: int = 8192,
        snapshot_interval: int = 10_000,
        trailing_entries: int = 1000,
        catch_up_entries: int = 64,
        snapshot_bytes: int = 8 * 1024 * 1024,
        tolerated_losses: int = 1,
        member_timeout: float = 10.0,
        replacement_timeout: float = 1.2,
        stopped_timeout: float = 2.5,
    ):
        self.election_timeout_min = election_timeout_min
        self.election_timeout_max = election_timeout_max
        self.first_election_timeout_max = first_election_timeout_max
        self.heartbeat_interval = heartbeat_interval
        self.max_entries = max_entries
        self.max_bytes = max_bytes
        self.window_entries = window_entries
        self.chunk_bytes = chunk_bytes
        self.max_uncommitted_entries = max_uncommitted_entries
        self.snapshot_interval = snapshot_interval
        self.snapshot_bytes = snapshot_bytes
        self.trailing_entries = trailing_entries
        self.catch_up_entries = catch_up_entries
        self.tolerated_losses = tolerated_losses
        self.member_timeout = member_timeout
        self.replacement_timeout = replacement_timeout
        self.stopped_timeout = stopped_timeout

    def min_voters(self) -> int:
        """Returns the number of voters of which `tolerated_losses` may be lost."""
        return 2 * self.tolerated_losses + 1


# A queued message is sent once the term and vote are durable, or once all records so far are.
_AFTER_HARD_STATE = 0
_AFTER_LOG = 1

# Limit of messages that wait for a slow disk. Further ones are dropped: the protocol tolerates the
# loss of any message.
_MAX_HELD_MESSAGES = 1024

_LEADER_IS_LIVE = "the leader is in touch"

_RESPONSES = (
    messages.PreVoteResponse,
    messages.VoteResponse,
    messages.AppendResponse,
    messages.SnapshotAck,
)


class Node:
    """A member of the replicated log.

    Attributes:
        node_id: Id that was drawn at random when the data folder was created.
        role: Current role.
        term: Current term; durable before any message carries it.
        leader_id: Id of the leader of the term, or None if unknown.
        log: The `consensus_log.Log` of entries in memory.
        commit_index: Highest index known to be committed.
        applied_index: Highest index in an `Apply` or `Restore` action so far.
        stopping_addresses: Addresses of members whose processes have announced their stop; set from
            outside.
        received_at_by_id: Time of the last message of each other member, in seconds.
    """

    __slots__ = (
        "node_id",
        "role",
        "term",
        "leader_id",
        "log",
        "commit_index",
        "applied_index",
        "stopping_addresses",
        "received_at_by_id",
        "_settings",
        "_random",
        "_now",
        "_vote",
        "_leadership",
        "_pre_votes",
        "_votes",
        "_campaign_term",
        "_pre_vote_round",
        "_election_at",
        "_resend_at",
        "_leader_contact_at",
        "_last_leader_id",
        "_led_until",
        "_refusal_by_candidate",
        "_actions",
        "_outbox",
        "_held_messages",
        "_unwritten_records",
        "_hard_state_unwritten",
        "_last_token",
        "_durable_token",
        "_hard_state_token",
        "_pending_writes",
        "_pending_snapshot_by_token",
        "_incoming_snapshot",
        "_snapshot_requested",
        "_bytes_since_snapshot",
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
        """Starts a node whose applied state is that of `stored.snapshot`.

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
        self.stopping_addresses = frozenset()
        self.received_at_by_id = {}
        self._settings = settings
        self._random = random_source
        self._now = now
        self._vote = stored.hard_state.vote
        self._leadership = None
        self._pre_votes = set()
        self._votes = set()
        # Term in which this process asks for votes, until it leads in it.
        self._campaign_term = None
        self._pre_vote_round = 0
        self._leader_contact_at = -math.inf
        self._last_leader_id = None
        self._led_until = -math.inf
        self._refusal_by_candidate = {}
        self._actions = []
        self._outbox = []
        self._held_messages = []
        self._unwritten_records = []
        self._hard_state_unwritten = False
        self._last_token = 0
        self._durable_token = 0
        self._hard_state_token = 0
        self._pending_writes = []
        self._pending_snapshot_by_token = {}
        self._incoming_snapshot = None
        self._snapshot_requested = False
        # Bytes of the entries applied since the last request of a snapshot.
        self._bytes_since_snapshot = 0
        self._reported_role = (Role.FOLLOWER, self.term, None)
        self._reported_configuration = self.log.configuration_index()
        self._resend_at = math.inf
        self._election_at = now + random_source.uniform(0.0, settings.first_election_timeout_max)

    def handle(self, event: messages.Record, now: float) -> list[messages.Record]:
        """Processes one event and returns the resulting actions, in order."""
        return self.handle_all([event], now)

    def handle_all(self, events: list[messages.Record], now: float) -> list[messages.Record]:
        """Processes several events, with one `Persist` and one round of messages for all of them.

        Args:
            events: Events in the order of their arrival.
            now: Current time in seconds, of a clock that also runs while the VM is suspended.

        Returns:
            Actions to carry out in order.
        """
        self._now = now
        self._actions = []
        # A leader whose process was paused steps down before it processes new events.
        self._check_quorum()
        for event in events:
            _HANDLER_BY_EVENT[type(event)](self, event)
        self._check_election_timer()
        self._flush()
        return self._actions

    def next_deadline(self) -> float:
        """Returns the time at which a `Tick` is due at the latest."""
        if self._leadership is not None:
            return self._leadership.next_heartbeat_at
        return min(self._election_at, self._resend_at)

    def committed_configuration(self) -> tuple[int, messages.Configuration]:
        """Returns the latest committed configuration and its index."""
        committed = self.log.configurations[0]
        for pair in self.log.configurations:
            if pair[0] <= self.commit_index:
                committed = pair
        return committed

    def seconds_since_leader_contact(self, now: float) -> float:
        """Returns the seconds since the last message of a leader, or the end of an own leadership.

        It is 0 on a leader with a majority.
        """
        if self._leadership is not None:
            return 0.0
        return now - max(self._leader_contact_at, self._led_until)

    def pending_write_age(self, now: float) -> float:
        """Returns the seconds for which the oldest write has not been durable; 0 without one."""
        return now - self._pending_writes[0][1] if self._pending_writes else 0.0

    # Election timer and role changes.

    def _arm_election_timer(self) -> None:
        self._election_at = self._now + self._random.uniform(
            self._settings.election_timeout_min, self._settings.election_timeout_max
        )

    def _check_quorum(self) -> None:
        """Steps down if a majority, or the disk, has not responded for an election timeout."""
        if self._leadership is None:
            return
        oldest_allowed = self._now - self._settings.election_timeout_max
        disk_stalled = bool(self._pending_writes) and self._pending_writes[0][1] < oldest_allowed
        if disk_stalled or self._leadership.majority_response_at(self._now) < oldest_allowed:
            self._become_follower(self.term, None)

    def _check_election_timer(self) -> None:
        self._check_quorum()
        if self._leadership is not None:
            return
        if self._now < self._election_at:
            self._resend_vote_requests()
            return
        # A late timer shows that the process was paused. The leader's messages may still be in the
        # receive queue, so the node waits for another timeout.
        was_paused = self._now - self._election_at > 2 * self._settings.heartbeat_interval
        if was_paused or self.node_id not in self.log.configuration().voters:
            self._arm_election_timer()
            return
        # A node that waits for its disk could not lead. It checks again after a short time.
        if self._pending_writes:
            self._election_at = self._now + self._settings.heartbeat_interval
            return
        self._start_pre_vote()

    def _start_pre_vote(self) -> None:
        self.role = Role.PRE_CANDIDATE
        self.leader_id = None
        self._pre_vote_round += 1
        self._pre_votes = {self.node_id}
        self._arm_election_timer()
        self._send_vote_requests()

    def _start_election(self) -> None:
        self._set_hard_state(self.term + 1, self.node_id)
        self._campaign_term = self.term
        self._votes = set()
        self.role = Role.CANDIDATE
        self._arm_election_timer()
        self._send_vote_requests()

    def _send_vote_requests(self) -> None:
        """Sends the request of this candidacy to the voters that have not granted it."""
        last_index, last_term = self.log.last_index(), self.log.last_term()
        if self.role == Role.PRE_CANDIDATE:
            granted_ids = self._pre_votes
            request = messages.PreVoteRequest(
                self.term + 1, self._pre_vote_round, last_index, last_term
            )
        else:
            granted_ids = self._votes
            request = messages.VoteRequest(self.term, last_index, last_term)
        for voter_id in self.log.configuration().voters:
            if voter_id != self.node_id and voter_id not in granted_ids:
                self._queue_message(voter_id, request)
        self._resend_at = self._now + self._settings.heartbeat_interval

    def _resend_vote_requests(self) -> None:
        """Repeats the requests of a candidacy, since requests and responses may be lost."""
        if self._now < self._resend_at:
            return
        self._resend_at = math.inf
        if self.role in (Role.PRE_CANDIDATE, Role.CANDIDATE):
            self._send_vote_requests()

    def _is_majority(self, granted_ids: set) -> bool:
        voters = self.log.configuration().voters
        return 2 * len(granted_ids.intersection(voters)) > len(voters)

    def _count_votes(self) -> None:
        if self.role not in (Role.PRE_CANDIDATE, Role.CANDIDATE):
            return
        # Votes stay valid as long as the term lasts, even if they arrive so late that this node is
        # a pre-candidate again. A term that it has led is not led again: answers to the earlier
        # rounds would confirm reads of the later ones.
        if self._campaign_term == self.term:
            if not self._hard_state_unwritten and self._durable_token >= self._hard_state_token:
                self._votes.add(self.node_id)
            if self._is_majority(self._votes):
                self._become_leader()
                return
        if self.role == Role.PRE_CANDIDATE and self._is_majority(self._pre_votes):
            self._start_election()

    def _become_leader(self) -> None:
        self.role = Role.LEADER
        self._campaign_term = None
        self.leader_id = self.node_id
        self._leadership = consensus_leader.Leadership(
            self.node_id, self.term, self.log, self._settings, self._now
        )
        self._leadership.inherit_silence(self._last_leader_id, self._leader_contact_at, self._now)
        self._last_leader_id = None
        self._append_entry(messages.EntryKind.NO_OP, b"")

    def _become_follower(self, term: int, leader_id: str | None) -> None:
        if term > self.term:
            self._set_hard_state(term, None)
        # Another leader of this term may remove voters, and then the few votes that this node got
        # could look like a majority.
        self._campaign_term = None
        if self.role != Role.FOLLOWER:
            self.role = Role.FOLLOWER
            self._arm_election_timer()
        self.leader_id = leader_id
        leadership, self._leadership = self._leadership, None
        if leadership is None:
            return
        self._led_until = leadership.majority_response_at(self._now)
        for proposal_id in leadership.proposal_by_index.values():
            result = codes.failure(
                codes.Code.MAY_HAVE_RUN, "Leadership was lost before the entry was committed."
            )
            self._actions.append(messages.ProposalDone(proposal_id, result, leader_id))
        for read_id in leadership.unanswered_read_ids():
            self._reject_read(read_id)

    def _set_hard_state(self, term: int, vote: str | None) -> None:
        self.term = term
        self._vote = vote
        self._hard_state_unwritten = True

    # Messages between nodes.

    def _queue_message(
        self, to: str, message: messages.Record, after: int = _AFTER_HARD_STATE
    ) -> None:
        self._outbox.append((to, message, after))

    def _on_received(self, event: messages.Received) -> None:
        message = event.message
        message_class = type(message)
        is_member = event.sender in self.log.configuration().members()
        if is_member:
            self.received_at_by_id[event.sender] = self._now
        if message_class in _RESPONSES and not is_member:
            return
        if message_class is messages.PreVoteRequest:
            self._on_pre_vote_request(event.sender, message)
            return
        # A node that has lost contact to a live leader must not depose it with a higher term.
        if message_class is messages.VoteRequest and self._has_live_leader(event.sender):
            self._report_refusal(event.sender, message.term, _LEADER_IS_LIVE)
            return
        if message.term > self.term:
            self._become_follower(message.term, None)
        _HANDLER_BY_MESSAGE[message_class](self, event.sender, message)

    def _has_live_leader(self, sender: str) -> bool:
        if self._leadership is not None:
            return True
        since_contact = self._now - self._leader_contact_at
        return since_contact < self._settings.election_timeout_min and sender != self.leader_id

    def _log_is_behind(self, last_index: int, last_term: int) -> bool:
        """Returns whether a candidate's log is less up to date than this node's log."""
        return (last_term, last_index) < (self.log.last_term(), self.log.last_index())

    def _refusal_reason(self, request: messages.Record) -> str | None:
        """Returns why no candidate with this log gets a vote or pre-vote of this node, or None."""
        # A learner may vote too: a newer configuration, which has not arrived here, may have made
        # it a voter. Candidates count only the votes of voters in their own configuration.
        if self.node_id not in self.log.configuration().members():
            return "this node is no member"
        if self._log_is_behind(request.last_index, request.last_term):
            return "its log is behind"
        return None

    def _report_refusal(self, candidate: str, term: int, reason: str | None) -> None:
        """Reports a refused vote, once for each reason until a vote is granted."""
        if reason == self._refusal_by_candidate.get(candidate):
            return
        self._refusal_by_candidate[candidate] = reason
        if reason is not None:
            self._actions.append(messages.VoteRefused(candidate, term, reason))

    def _on_pre_vote_request(self, sender: str, request: messages.PreVoteRequest) -> None:
        reason = self._refusal_reason(request)
        if request.term <= self.term:
            reason = reason or "its term has passed"
        if self._has_live_leader(sender):
            reason = reason or _LEADER_IS_LIVE
        self._report_refusal(sender, request.term, reason)
        granted = reason is None
        self._queue_message(sender, messages.PreVoteResponse(self.term, request.round, granted))

    def _on_pre_vote_response(self, sender: str, response: messages.PreVoteResponse) -> None:
        if self.role != Role.PRE_CANDIDATE or response.round != self._pre_vote_round:
            return
        if response.granted:
            self._pre_votes.add(sender)

    def _on_vote_request(self, sender: str, request: messages.VoteRequest) -> None:
        reason = self._refusal_reason(request)
        if request.term != self.term:
            reason = reason or "its term has passed"
        if self._vote not in (None, sender):
            reason = reason or "another candidate has the vote"
        self._report_refusal(sender, request.term, reason)
        granted = reason is None
        if granted:
            if self._vote is None:
                self._set_hard_state(self.term, sender)
            self._arm_election_timer()
        # The response is sent once the vote is durable, so that the node cannot vote again in this
        # term after a restart.
        self._queue_message(sender, messages.VoteResponse(self.term, granted))

    def _on_vote_response(self, sender: str, response: messages.VoteResponse) -> None:
        if response.granted and response.term == self.term == self._campaign_term:
            self._votes.add(sender)

    def _accept_leader(self, sender: str) -> None:
        if self.role != Role.FOLLOWER or self.leader_id != sender:
            self._become_follower(self.term, sender)
        self._leader_contact_at = self._now
        self._last_leader_id = sender
        self._refusal_by_candidate.clear()
        self._arm_election_timer()

    def _on_append_request(self, sender: str, request: messages.AppendRequest) -> None:
        if request.term < self.term:
            self._queue_message(sender, messages.AppendResponse(self.term, False, 0, 0, 0))
            return
        self._accept_leader(sender)
        previous = request.previous_index
        last_matching = previous + len(request.entries)
        if previous >= self.log.base_index and self.log.term_at(previous) != request.previous_term:
            if previous > self.log.last_index():
                last_possible_match = self.log.last_index()
            else:
                last_possible_match = self.log.first_index_of_term(previous) - 1
            self._queue_message(
                sender,
                messages.AppendResponse(
                    self.term, False, last_possible_match, previous, request.round
                ),
            )
            return
        for entry in request.entries:
            # Entries up to the base index are committed, so they equal the leader's.
            if entry.index <= self.log.base_index or self.log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= self.log.last_index():
                if entry.index <= self.commit_index:
                    raise AssertionError(f"leader would replace committed entry {entry.index}")
                self.log.truncate(entry.index)
            self.log.append(entry)
            self._unwritten_records.append(entry)
        last_matching = max(last_matching, self.log.base_index)
        self.commit_index = max(self.commit_index, min(request.commit_index, last_matching))
        self._acknowledge_entries(sender, last_matching, request.round)

    def _acknowledge_entries(self, sender: str, index: int, round: int) -> None:
        # A response that confirms durable entries only need not wait for the disk.
        after = _AFTER_HARD_STATE if index <= self.log.durable_index else _AFTER_LOG
        self._queue_message(
            sender, messages.AppendResponse(self.term, True, index, 0, round), after
        )

    def _on_append_response(self, sender: str, response: messages.AppendResponse) -> None:
        if self._leadership is not None and response.term == self.term:
            self._leadership.on_append_response(sender, response, self._now)

    def _on_snapshot_chunk(self, sender: str, chunk: messages.SnapshotChunk) -> None:
        if chunk.term < self.term:
            self._queue_message(sender, messages.SnapshotAck(self.term, chunk.snapshot_index, 0, 0))
            return
        self._accept_leader(sender)
        if chunk.snapshot_index <= self.commit_index:
            self._incoming_snapshot = None
            self._acknowledge_entries(sender, chunk.snapshot_index, chunk.round)
            return
        key = (chunk.snapshot_index, chunk.snapshot_term)
        is_saving = any(
            (snapshot.index, snapshot.term) == key
            for snapshot, _ in self._pending_snapshot_by_token.values()
        )
        if is_saving:
            expected_offset = chunk.offset + len(chunk.data)
        else:
            # Two leaders may encode the same state as different bytes, so a transfer that began
            # in another term starts again.
            if self._incoming_snapshot is None or self._incoming_snapshot[:2] != (key, chunk.term):
                self._incoming_snapshot = (key, chunk.term, bytearray())
            buffer = self._incoming_snapshot[2]
            if chunk.offset == len(buffer):
                buffer += chunk.data
                if chunk.last:
                    snapshot = messages.Snapshot(*key, chunk.configuration, bytes(buffer))
                    self._save_snapshot(snapshot, (sender, chunk.term, chunk.round))
                    self._incoming_snapshot = None
            expected_offset = len(buffer)
        self._queue_message(
            sender,
            messages.SnapshotAck(self.term, chunk.snapshot_index, expected_offset, chunk.round),
        )

    def _on_snapshot_ack(self, sender: str, ack: messages.SnapshotAck) -> None:
        if self._leadership is not None and ack.term == self.term:
            self._leadership.on_snapshot_ack(sender, ack, self._now)

    # Storage.

    def _issue_token(self) -> int:
        self._last_token += 1
        self._pending_writes.append((self._last_token, self._now))
        return self._last_token

    def _save_snapshot(self, snapshot: messages.Snapshot, source: tuple | None) -> None:
        token = self._issue_token()
        self._pending_snapshot_by_token[token] = (snapshot, source)
        self._actions.append(messages.SaveSnapshot(token, snapshot))

    def _on_persisted(self, event: messages.Persisted) -> None:
        self._durable_token = max(self._durable_token, event.token)
        while self._pending_writes and self._pending_writes[0][0] <= self._durable_token:
            self._pending_writes.pop(0)
        self.log.mark_synced(self._durable_token)
        for token in [
            token for token in self._pending_snapshot_by_token if token <= self._durable_token
        ]:
            snapshot, source = self._pending_snapshot_by_token.pop(token)
            if source is None:
                self._snapshot_requested = False
                if snapshot.index > self.log.snapshot.index:
                    self.log.compact(
                        snapshot, self._settings.trailing_entries, self._settings.snapshot_bytes
                    )
            else:
                self._install_snapshot(snapshot, *source)
        held_messages, self._held_messages = self._held_messages, []
        for required_token, send in held_messages:
            if required_token <= self._durable_token:
                self._actions.append(send)
            else:
                self._held_messages.append((required_token, send))

    def _install_snapshot(
        self, snapshot: messages.Snapshot, sender: str, term: int, round: int
    ) -> None:
        """Adopts a durable snapshot that a leader sent."""
        if snapshot.index > self.commit_index:
            if self.log.term_at(snapshot.index) == snapshot.term:
                self.log.compact(
                    snapshot, self._settings.trailing_entries, self._settings.snapshot_bytes
                )
            else:
                # Records not written yet belong to the replaced log and are discarded.
                self.log.reset(snapshot)
                self._unwritten_records = [messages.LogReset(snapshot.index, snapshot.term)]
            self.commit_index = snapshot.index
            self.applied_index = snapshot.index
            self._actions.append(messages.Restore(snapshot))
        if term == self.term and self.leader_id == sender:
            self._acknowledge_entries(sender, snapshot.index, round)

    def _on_snapshot_taken(self, event: messages.SnapshotTaken) -> None:
        term = self.log.term_at(event.index)
        if event.index <= self.log.snapshot.index or term is None:
            self._snapshot_requested = False
            return
        configuration = self.log.configuration_at(event.index)
        self._save_snapshot(messages.Snapshot(event.index, term, configuration, event.data), None)

    # Proposals, member changes and reads.

    def _append_entry(self, kind: messages.EntryKind, data: bytes) -> int:
        entry = messages.Entry(self.log.last_index() + 1, self.term, kind, data)
        self.log.append(entry)
        self._unwritten_records.append(entry)
        if kind == messages.EntryKind.CONFIGURATION:
            self._leadership.update_members(self._now)
        return entry.index

    def _reject_proposal(self, proposal_id: object, code: codes.Code, message: str) -> None:
        self._actions.append(
            messages.ProposalDone(proposal_id, codes.failure(code, message), self.leader_id)
        )

    def _check_may_append(self, proposal_id: object) -> bool:
        """Returns whether an entry may be appended; if not, rejects the proposal."""
        if self._leadership is None:
            self._reject_proposal(
                proposal_id, codes.Code.NOT_LEADER, "This node is not the leader."
            )
            return False
        if self.log.last_index() - self.commit_index >= self._settings.max_uncommitted_entries:
            self._reject_proposal(
                proposal_id,
                codes.Code.QUEUE_FULL,
                f"{self._settings.max_uncommitted_entries} entries are not committed yet.",
            )
            return False
        return True

    def _on_propose(self, event: messages.Propose) -> None:
        if self._check_may_append(event.proposal_id):
            index = self._append_entry(messages.EntryKind.COMMAND, event.data)
            self._leadership.proposal_by_index[index] = event.proposal_id

    def _on_add_member(self, event: messages.AddMember) -> None:
        configuration = self.log.configuration()
        refusal_reason = None
        if event.member_id in configuration.members():
            refusal_reason = f"Node {event.member_id} is already a member."
        elif configuration.learners:
            refusal_reason = "Another learner has not become a voter yet."
        learners = {**configuration.learners, event.member_id: event.address}
        self._change_members(event.proposal_id, configuration.voters, learners, refusal_reason)

    def _on_join(self, event: messages.Join) -> None:
        configuration = self.log.configuration()
        voters, learners = {**configuration.voters}, {**configuration.learners}
        refusal_reason = None
        if event.member_id in configuration.members():
            refusal_reason = f"Node {event.member_id} is already a member."
        # A member with another id at the same address belonged to a disk that is lost, and never
        # returns. Its removal is the only change of the voters, since a learner has no vote.
        for member_id, address in configuration.members().items():
            if address == event.address:
                voters.pop(member_id, None)
                learners.pop(member_id, None)
                break
        if not voters:
            refusal_reason = refusal_reason or "The last voter cannot be removed."
        if learners:
            refusal_reason = refusal_reason or "Another learner has not become a voter yet."
            if self._leadership is not None:
                self._leadership.join_waits = True
        learners[event.member_id] = event.address
        self._change_members(event.proposal_id, voters, learners, refusal_reason)

    def _on_remove_member(self, event: messages.RemoveMember) -> None:
        configuration = self.log.configuration()
        voters = {**configuration.voters}
        learners = {**configuration.learners}
        is_member = event.member_id in configuration.members()
        voters.pop(event.member_id, None)
        learners.pop(event.member_id, None)
        refusal_reason = None
        if not is_member:
            refusal_reason = f"Node {event.member_id} is not a member."
        elif not voters:
            refusal_reason = "The last voter cannot be removed."
        self._change_members(event.proposal_id, voters, learners, refusal_reason)

    def _change_members(
        self, proposal_id: object, voters: dict, learners: dict, refusal_reason: str | None
    ) -> None:
        if not self._check_may_append(proposal_id):
            return
        # Two uncommitted changes, or a change before an entry of this leader's term is committed,
        # could lead to two majorities without a common member.
        if not self._may_change_members():
            refusal_reason = refusal_reason or (
                "Another member change, or the first entry of this term, is not committed yet."
            )
        if refusal_reason is not None:
            self._reject_proposal(proposal_id, codes.Code.MEMBER_CHANGE_REFUSED, refusal_reason)
            return
        data = messages.Configuration(voters, learners).encode()
        index = self._append_entry(messages.EntryKind.CONFIGURATION, data)
        self._leadership.proposal_by_index[index] = proposal_id

    def _may_change_members(self) -> bool:
        has_committed_in_term = self.commit_index >= self._leadership.no_op_index
        return has_committed_in_term and self.log.configuration_index() <= self.commit_index

    def _reject_read(self, read_id: object) -> None:
        result = codes.failure(codes.Code.NOT_LEADER, "This node is not the leader.")
        self._actions.append(messages.ReadDone(read_id, result, self.leader_id))

    def _on_read(self, event: messages.Read) -> None:
        if self._leadership is None:
            self._reject_read(event.read_id)
            return
        self._leadership.waiting_round.read_ids.append(event.read_id)

    def _on_tick(self, event: messages.Tick) -> None:
        """Does nothing itself: `handle_all` checks the timers after every event."""

    # Steps after the events were processed.

    def _flush(self) -> None:
        self._count_votes()
        if self._leadership is not None:
            self._advance_commit_index()
        self._apply_committed()
        if self._leadership is not None:
            self._change_members_if_due()
        if self._leadership is not None:
            self._leadership.advance_read_rounds(self.commit_index)
            self._answer_reads()
            for to, request in self._leadership.build_due_messages(self.commit_index, self._now):
                self._queue_message(to, request)
        self._persist_records()
        self._send_outbox()
        self._report_changes()

    def _advance_commit_index(self) -> None:
        index = self._leadership.majority_match()
        # A later leader may replace an entry of an older term even if a majority has stored it.
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self.commit_index = index

    def _apply_committed(self) -> None:
        # Only durable entries are applied, so that no snapshot covers entries that the stored log
        # lacks.
        last = min(self.commit_index, self.log.durable_index)
        if last <= self.applied_index:
            return
        start = self.applied_index - self.log.base_index
        entries = self.log.entries[start : last - self.log.base_index]
        self.applied_index = last
        self._bytes_since_snapshot += sum(len(entry.data) for entry in entries)
        self._actions.append(messages.Apply(entries))
        if self._leadership is None:
            return
        for entry in entries:
            proposal_id = self._leadership.proposal_by_index.pop(entry.index, None)
            if proposal_id is not None:
                result = expression.Ok((entry.index, entry.term))
                self._actions.append(messages.ProposalDone(proposal_id, result, self.node_id))
        # A removed leader steps down only once its removal is committed.
        is_removed = self.node_id not in self.log.configuration().voters
        if is_removed and self.log.configuration_index() <= self.commit_index:
            self._become_follower(self.term, None)

    def _change_members_if_due(self) -> None:
        """Removes a member or makes a learner a voter, if `membership` decides so."""
        has_learners = bool(self.log.configuration().learners)
        is_due = has_learners or self._now >= self._leadership.next_heartbeat_at
        if not is_due or not self._may_change_members():
            return
        members = self._leadership.describe_members(
            self.commit_index, self.stopping_addresses, self._now
        )
        change = membership.choose_change(members, self._leadership.join_waits, self._settings)
        if change is None:
            return
        configuration = self.log.configuration()
        voters, learners = {**configuration.voters}, {**configuration.learners}
        if change.kind == membership.Kind.PROMOTE:
            voters[change.member_id] = learners.pop(change.member_id)
        else:
            voters.pop(change.member_id, None)
            learners.pop(change.member_id, None)
        self._leadership.join_waits = False
        self._actions.append(messages.MembersDecided(change, members))
        data = messages.Configuration(voters, learners).encode()
        self._append_entry(messages.EntryKind.CONFIGURATION, data)

    def _answer_reads(self) -> None:
        rounds = self._leadership.confirmed_rounds
        while rounds and rounds[0].index <= self.applied_index:
            read_round = rounds.pop(0)
            for read_id in read_round.read_ids:
                result = expression.Ok(read_round.index)
                self._actions.append(messages.ReadDone(read_id, result, self.node_id))

    def _persist_records(self) -> None:
        records, self._unwritten_records = self._unwritten_records, []
        if self._hard_state_unwritten:
            records.insert(0, messages.HardState(self.term, self._vote))
        if not records:
            return
        token = self._issue_token()
        if self._hard_state_unwritten:
            self._hard_state_token = token
            self._hard_state_unwritten = False
        if isinstance(records[-1], messages.Entry):
            self.log.add_pending_sync(token, self.log.last_index())
        self._actions.append(messages.Persist(token, records))

    def _send_outbox(self) -> None:
        for to, message, after in self._outbox:
            required_token = self._last_token if after == _AFTER_LOG else self._hard_state_token
            send = messages.Send(to, message)
            if required_token <= self._durable_token:
                self._actions.append(send)
            elif len(self._held_messages) < _MAX_HELD_MESSAGES:
                self._held_messages.append((required_token, send))
        self._outbox = []

    def _report_changes(self) -> None:
        """Reports a change of role or configuration, and requests a snapshot if one is due."""
        role = (self.role, self.term, self.leader_id)
        if role != self._reported_role:
            self._reported_role = role
            self._actions.append(messages.RoleChanged(*role))
        index = self.log.configuration_index()
        if index != self._reported_configuration:
            self._reported_configuration = index
            members = self.log.configuration().members()
            self.received_at_by_id = {
                member_id: at
                for member_id, at in self.received_at_by_id.items()
                if member_id in members
            }
            self._actions.append(messages.ConfigurationChanged(index, self.log.configuration()))
        entries_since_snapshot = self.applied_index - self.log.snapshot.index
        is_due = (
            entries_since_snapshot >= self._settings.snapshot_interval
            or self._bytes_since_snapshot >= self._settings.snapshot_bytes
        )
        if is_due and not self._snapshot_requested:
            self._snapshot_requested = True
            self._bytes_since_snapshot = 0
            self._actions.append(messages.TakeSnapshot(self.applied_index))


_HANDLER_BY_EVENT = {
    messages.Tick: Node._on_tick,
    messages.Received: Node._on_received,
    messages.Persisted: Node._on_persisted,
    messages.Propose: Node._on_propose,
    messages.AddMember: Node._on_add_member,
    messages.Join: Node._on_join,
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
