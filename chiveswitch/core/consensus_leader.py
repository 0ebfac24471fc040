"""What only a leader keeps: the progress of each member, open proposals and read rounds."""

from chiveswitch.core import consensus_log
from chiveswitch.core import consensus_messages as messages


class Progress:
    """What the leader knows about another member.

    Attributes:
        match_index: Last index known to be durable there.
        next_index: Index of the next entry to send; runs ahead of the responses.
        acked_round: Highest read round that the member echoed.
        heard_at: Time of its last response, in seconds.
        due: Whether to send something at the next flush, even without new entries.
        snapshot: Snapshot in transfer, or None.
        offset: Offset of the next byte of the snapshot.
    """

    __slots__ = (
        "match_index",
        "next_index",
        "acked_round",
        "heard_at",
        "due",
        "snapshot",
        "offset",
    )

    def __init__(self, next_index: int, now: float):
        self.match_index = 0
        self.next_index = next_index
        self.acked_round = 0
        # Counting from now gives a new leader one election timeout to hear from a majority.
        self.heard_at = now
        self.due = True
        self.snapshot = None
        self.offset = 0


class ReadRound:
    """Reads that one majority round confirms; `number` is 0 until the round has started."""

    __slots__ = ("number", "index", "read_ids")

    def __init__(self):
        self.number = 0
        self.index = 0
        self.read_ids = []


class Leadership:
    """The state of one leader in one term."""

    __slots__ = (
        "node_id",
        "term",
        "log",
        "settings",
        "first_index",
        "progress_by_id",
        "proposal_by_index",
        "round",
        "waiting",
        "running",
        "confirmed",
        "heartbeat_at",
    )

    def __init__(self, node_id: str, term: int, log: consensus_log.Log, settings, now: float):
        self.node_id = node_id
        self.term = term
        self.log = log
        self.settings = settings
        # Index of the no-op: nothing before it counts as committed by this leader alone.
        self.first_index = log.last_index() + 1
        self.progress_by_id = {}
        self.proposal_by_index = {}
        self.round = 0
        self.waiting = ReadRound()
        self.running = None
        self.confirmed = []
        self.heartbeat_at = now
        self.update_members(now)

    def update_members(self, now: float) -> None:
        """Brings the progress table in line with the latest configuration."""
        members = self.log.configuration().members()
        self.progress_by_id = {
            member_id: self.progress_by_id.get(member_id)
            or Progress(self.log.last_index() + 1, now)
            for member_id in members
            if member_id != self.node_id
        }

    def _majority(self, own: float, value_of) -> float:
        """Returns the highest value that a majority of the voters has reached."""
        values = []
        for voter_id in self.log.configuration().voters:
            values.append(
                own if voter_id == self.node_id else value_of(self.progress_by_id[voter_id])
            )
        values.sort(reverse=True)
        return values[len(values) // 2]

    def majority_match(self) -> int:
        """Returns the highest index that is durable on a majority of the voters.

        The leader's own copy counts only once it is durable, like any other.
        """
        return self._majority(self.log.durable_index, lambda progress: progress.match_index)

    def majority_heard_at(self, now: float) -> float:
        """Returns the time up to which a majority of the voters was heard."""
        return self._majority(now, lambda progress: progress.heard_at)

    def advance_reads(self, commit_index: int) -> None:
        """Ends the running read round if a majority echoed it, and starts the next one.

        Reads that arrive while a round runs wait for the next one: the majority may have echoed
        the running round before they arrived.
        """
        while True:
            if self.running is not None:
                acked = self._majority(self.running.number, lambda progress: progress.acked_round)
                if acked < self.running.number:
                    return
                self.confirmed.append(self.running)
                self.running = None
            # Until the no-op is committed, an older leader may have committed entries that this
            # leader has but does not yet know to be committed.
            if not self.waiting.read_ids or commit_index < self.first_index:
                return
            self.round += 1
            self.running = self.waiting
            self.running.number = self.round
            self.running.index = commit_index
            self.waiting = ReadRound()
            for progress in self.progress_by_id.values():
                progress.due = progress.due or progress.snapshot is None

    def open_read_ids(self) -> list:
        """Returns the ids of all reads that have no answer yet."""
        rounds = [*self.confirmed, self.waiting]
        if self.running is not None:
            rounds.append(self.running)
        return [read_id for read_round in rounds for read_id in read_round.read_ids]

    def on_append_response(
        self, sender: str, response: messages.AppendResponse, now: float
    ) -> None:
        """Takes a member's response of this term."""
        progress = self.progress_by_id[sender]
        progress.heard_at = now
        progress.acked_round = max(progress.acked_round, response.round)
        if response.success:
            progress.match_index = max(progress.match_index, response.index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            if progress.snapshot is not None and progress.match_index >= progress.snapshot.index:
                progress.snapshot = None
            progress.due = progress.due or progress.next_index <= self.log.last_index()
            return
        # A rejection at or before the match is an old message that arrived late.
        if response.rejected_index <= progress.match_index or progress.snapshot is not None:
            return
        if response.rejected_index >= progress.next_index:
            return
        progress.next_index = max(
            progress.match_index + 1, min(response.rejected_index, response.index + 1)
        )
        progress.due = True

    def on_snapshot_ack(self, sender: str, ack: messages.SnapshotAck, now: float) -> None:
        """Takes a member's acknowledgement of a part of a snapshot."""
        progress = self.progress_by_id[sender]
        progress.heard_at = now
        progress.acked_round = max(progress.acked_round, ack.round)
        if progress.snapshot is None or progress.snapshot.index != ack.snapshot_index:
            return
        # An equal offset is the member asking for nothing new: the heartbeat resends the chunk.
        if ack.offset != progress.offset:
            progress.offset = ack.offset
            progress.due = ack.offset < len(progress.snapshot.data)

    def promotable(self, commit_index: int, now: float) -> str | None:
        """Returns the id of a learner that has caught up and still responds, or None."""
        for learner_id in self.log.configuration().learners:
            progress = self.progress_by_id[learner_id]
            # It knows that it is a member, and what it lacks fits into one message.
            needed = commit_index - self.settings.catch_up_entries
            if progress.match_index < max(needed, self.log.configuration_index()):
                continue
            if now - progress.heard_at < self.settings.election_timeout_min:
                return learner_id
        return None

    def requests(self, commit_index: int, now: float) -> list[tuple[str, messages.Record]]:
        """Returns the messages that are due: new entries, chunks and heartbeats."""
        heartbeat = now >= self.heartbeat_at
        if heartbeat:
            self.heartbeat_at = now + self.settings.heartbeat_interval
        sent = []
        for member_id, progress in self.progress_by_id.items():
            due = heartbeat or progress.due
            progress.due = False
            if progress.snapshot is None and progress.next_index <= self.log.base_index:
                progress.snapshot = self.log.snapshot
                progress.offset = 0
                due = True
            if progress.snapshot is not None:
                if due:
                    sent.append((member_id, self._chunk(progress)))
                continue
            # Entries are sent ahead of the responses, up to the window; lost ones show when the
            # next heartbeat is rejected.
            while True:
                entries = []
                in_flight = progress.next_index - progress.match_index
                if in_flight <= self.settings.window_entries:
                    entries = self.log.slice(
                        progress.next_index, self.settings.max_entries, self.settings.max_bytes
                    )
                if not entries and not due:
                    break
                previous = progress.next_index - 1
                sent.append(
                    (
                        member_id,
                        messages.AppendRequest(
                            self.term,
                            previous,
                            self.log.term(previous),
                            entries,
                            commit_index,
                            self.round,
                        ),
                    )
                )
                progress.next_index += len(entries)
                due = False
        return sent

    def _chunk(self, progress: Progress) -> messages.SnapshotChunk:
        """Returns the next part of the snapshot in transfer."""
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
            self.round,
        )
