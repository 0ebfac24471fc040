"""State that only a leader has: progress of each member, open proposals and read rounds."""

import math

from chiveswitch.core import consensus_log, membership
from chiveswitch.core import consensus_messages as messages


class Progress:
    """Replication progress of another member, as tracked by the leader.

    Attributes:
        match_index: Highest index known to be durable on the member.
        next_index: Index of the next entry to send. Entries are sent without waiting for the
            responses to earlier ones.
        acked_round: Highest read round that the member echoed.
        tracked_since: Time since which this leader tracks the member, in seconds.
        last_response_at: Time of its last response, in seconds.
        silent_since: Like `last_response_at`, but may be before the begin of the leadership.
        send_due: Whether the next flush sends a message even if there are no new entries.
        snapshot: Snapshot in transfer, or None.
        offset: Offset of the next byte of the snapshot.
    """

    __slots__ = (
        "match_index",
        "next_index",
        "acked_round",
        "tracked_since",
        "last_response_at",
        "silent_since",
        "send_due",
        "snapshot",
        "offset",
    )

    def __init__(self, next_index: int, now: float):
        self.match_index = 0
        self.next_index = next_index
        self.acked_round = 0
        self.tracked_since = now
        # A new leader has one election timeout to receive responses from a majority.
        self.last_response_at = now
        self.silent_since = now
        self.send_due = True
        self.snapshot = None
        self.offset = 0

    def record_response(self, round: int, now: float) -> None:
        """Records that the member responded, and the read round that it echoed."""
        self.last_response_at = now
        self.silent_since = now
        self.acked_round = max(self.acked_round, round)


class ReadRound:
    """Reads that the same round of a majority confirms.

    Attributes:
        number: Number of the round, or 0 until it has started.
        index: Commit index at the start of the round, up to which the state must be applied.
        read_ids: Ids of the reads.
    """

    __slots__ = ("number", "index", "read_ids")

    def __init__(self):
        self.number = 0
        self.index = 0
        self.read_ids = []


class Leadership:
    """The state of one leader in one term.

    Attributes:
        node_id: Id of the leader.
        term: Its term.
        log: Its log.
        settings: The `consensus.Settings`.
        no_op_index: Index of the no-op entry with which the leader starts its term.
        progress_by_id: `Progress` of each other member by node id.
        proposal_by_index: Id of each open proposal by the index of its entry.
        last_round: Number of the last read round that was started.
        waiting_round: `ReadRound` of the reads that wait for the next round.
        running_round: Started `ReadRound`, or None.
        confirmed_rounds: Rounds confirmed by a majority whose reads have no result yet.
        next_heartbeat_at: Time of the next heartbeat, in seconds.
        join_waits: Whether a process was refused as a member because of another learner.
    """

    __slots__ = (
        "node_id",
        "term",
        "log",
        "settings",
        "no_op_index",
        "progress_by_id",
        "proposal_by_index",
        "last_round",
        "waiting_round",
        "running_round",
        "confirmed_rounds",
        "next_heartbeat_at",
        "join_waits",
    )

    def __init__(self, node_id: str, term: int, log: consensus_log.Log, settings, now: float):
        self.node_id = node_id
        self.term = term
        self.log = log
        self.settings = settings
        # The leader does not treat entries of earlier terms as committed until its no-op is.
        self.no_op_index = log.last_index() + 1
        self.progress_by_id = {}
        self.proposal_by_index = {}
        self.last_round = 0
        self.waiting_round = ReadRound()
        self.running_round = None
        self.confirmed_rounds = []
        self.next_heartbeat_at = now
        self.join_waits = False
        self.update_members(now)

    def update_members(self, now: float) -> None:
        """Adds and removes `progress_by_id` entries to match the latest configuration."""
        members = self.log.configuration().members()
        self.progress_by_id = {
            member_id: self.progress_by_id.get(member_id)
            or Progress(self.log.last_index() + 1, now)
            for member_id in members
            if member_id != self.node_id
        }

    def inherit_silence(self, last_leader_id: str | None, contact_at: float, now: float) -> None:
        """Counts the silence of the last leader from its last message to this node.

        Half of the time after which it may be removed remains in which it can respond.
        """
        progress = self.progress_by_id.get(last_leader_id)
        if progress is not None:
            earliest = now - self.settings.replacement_timeout / 2
            progress.silent_since = min(now, max(contact_at, earliest))

    def _majority_value(self, own_value: float, value_of_progress) -> float:
        """Returns the highest value that a majority of the voters has reached.

        Args:
            own_value: Value of this node, used if it is a voter.
            value_of_progress: Function that returns the value of another voter's `Progress`.
        """
        values = []
        for voter_id in self.log.configuration().voters:
            values.append(
                own_value
                if voter_id == self.node_id
                else value_of_progress(self.progress_by_id[voter_id])
            )
        values.sort(reverse=True)
        return values[len(values) // 2]

    def majority_match(self) -> int:
        """Returns the highest index that is durable on a majority of the voters.

        The leader counts itself only for entries that are durable on its own disk.
        """
        return self._majority_value(self.log.durable_index, lambda progress: progress.match_index)

    def majority_response_at(self, now: float) -> float:
        """Returns the latest time at or after which a majority of the voters has responded."""
        return self._majority_value(now, lambda progress: progress.last_response_at)

    def advance_read_rounds(self, commit_index: int) -> None:
        """Confirms the running read round if a majority echoed it, and starts the next one.

        Reads that arrive during a round wait for the next one, because members may have echoed the
        running round before the reads arrived.
        """
        while True:
            if self.running_round is not None:
                acked = self._majority_value(
                    self.running_round.number, lambda progress: progress.acked_round
                )
                if acked < self.running_round.number:
                    return
                self.confirmed_rounds.append(self.running_round)
                self.running_round = None
            # An earlier leader may have committed entries that are in this leader's log but above
            # its commit index. Only the commit of its no-op brings the commit index past them.
            if not self.waiting_round.read_ids or commit_index < self.no_op_index:
                return
            self.last_round += 1
            self.running_round = self.waiting_round
            self.running_round.number = self.last_round
            self.running_round.index = commit_index
            self.waiting_round = ReadRound()
            for progress in self.progress_by_id.values():
                progress.send_due = progress.send_due or progress.snapshot is None

    def unanswered_read_ids(self) -> list:
        """Returns the ids of all reads that have no result yet."""
        rounds = [*self.confirmed_rounds, self.waiting_round]
        if self.running_round is not None:
            rounds.append(self.running_round)
        return [read_id for read_round in rounds for read_id in read_round.read_ids]

    def on_append_response(
        self, sender: str, response: messages.AppendResponse, now: float
    ) -> None:
        """Updates a member's progress from its response of this term."""
        progress = self.progress_by_id[sender]
        progress.record_response(response.round, now)
        if response.success:
            progress.match_index = max(progress.match_index, response.index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            if progress.snapshot is not None and progress.match_index >= progress.snapshot.index:
                progress.snapshot = None
            progress.send_due = progress.send_due or progress.next_index <= self.log.last_index()
            return
        # A rejection at or before `match_index` is an old message that arrived late.
        if response.rejected_index <= progress.match_index or progress.snapshot is not None:
            return
        if response.rejected_index >= progress.next_index:
            return
        progress.next_index = max(
            progress.match_index + 1, min(response.rejected_index, response.index + 1)
        )
        progress.send_due = True

    def on_snapshot_ack(self, sender: str, ack: messages.SnapshotAck, now: float) -> None:
        """Updates a member's progress from its acknowledgement of a part of a snapshot."""
        progress = self.progress_by_id[sender]
        progress.record_response(ack.round, now)
        if progress.snapshot is None or progress.snapshot.index != ack.snapshot_index:
            return
        # With an equal offset the member still expects the chunk that was sent last. The next
        # heartbeat sends it again.
        if ack.offset != progress.offset:
            progress.offset = ack.offset
            progress.send_due = ack.offset < len(progress.snapshot.data)

    def describe_members(
        self, commit_index: int, stopping_addresses: frozenset, now: float
    ) -> list[membership.Member]:
        """Returns what decides on the next change of the members.

        Args:
            commit_index: Index of the last committed entry.
            stopping_addresses: Addresses of members whose processes have announced their stop.
            now: Current time in seconds.
        """
        configuration = self.log.configuration()
        # The entries that a member lacks must fit into one message.
        min_match_index = max(
            commit_index - self.settings.catch_up_entries, self.log.configuration_index()
        )
        described = []
        for member_id, address in configuration.members().items():
            is_voter = member_id in configuration.voters
            if member_id == self.node_id:
                described.append(membership.Member(member_id, is_voter, 0.0, math.inf, True))
                continue
            progress = self.progress_by_id[member_id]
            silence = now - progress.silent_since
            is_caught_up = (
                progress.match_index >= min_match_index
                and silence < self.settings.election_timeout_min
            )
            age = now - progress.tracked_since
            missing_entries = max(0, commit_index - progress.match_index)
            described.append(
                membership.Member(
                    member_id,
                    is_voter,
                    silence,
                    age,
                    is_caught_up,
                    missing_entries,
                    address in stopping_addresses,
                )
            )
        return described

    def build_due_messages(
        self, commit_index: int, now: float
    ) -> list[tuple[str, messages.Record]]:
        """Returns the due messages as (member id, message): new entries, chunks and heartbeats.

        The call advances the progress of each member as if the messages were sent.
        """
        heartbeat_due = now >= self.next_heartbeat_at
        if heartbeat_due:
            self.next_heartbeat_at = now + self.settings.heartbeat_interval
        due_messages = []
        for member_id, progress in self.progress_by_id.items():
            due = heartbeat_due or progress.send_due
            progress.send_due = False
            if progress.snapshot is None and progress.next_index <= self.log.base_index:
                progress.snapshot = self.log.snapshot
                progress.offset = 0
                due = True
            if progress.snapshot is not None:
                if due:
                    due_messages.append((member_id, self._next_snapshot_chunk(progress)))
                continue
            # Entries are sent without waiting for responses, up to the window. If some are lost,
            # the member rejects the next heartbeat.
            while True:
                entries = []
                in_flight = progress.next_index - progress.match_index
                if in_flight <= self.settings.window_entries:
                    entries = self.log.slice_entries(
                        progress.next_index, self.settings.max_entries, self.settings.max_bytes
                    )
                if not entries and not due:
                    break
                previous = progress.next_index - 1
                due_messages.append(
                    (
                        member_id,
                        messages.AppendRequest(
                            self.term,
                            previous,
                            self.log.term_at(previous),
                            entries,
                            commit_index,
                            self.last_round,
                        ),
                    )
                )
                progress.next_index += len(entries)
                due = False
        return due_messages

    def _next_snapshot_chunk(self, progress: Progress) -> messages.SnapshotChunk:
        """Returns the next part of the snapshot that the member is being sent."""
        snapshot = progress.snapshot
        end = progress.offset + self.settings.chunk_bytes
        return messages.SnapshotChunk(
            self.term,
            snapshot.index,
            snapshot.term,
            snapshot.configuration,
            progress.offset,
            snapshot.data[progress.offset : end],
            end >= len(snapshot.data),
            self.last_round,
        )
