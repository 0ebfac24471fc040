"""Data of the replicated log: entries, configurations, peer messages, events and actions.

These classes hold data only. `consensus.Node.handle` processes an event and returns actions. Nodes
exchange messages inside `Send` actions and `Received` events.
"""

import enum

import expression
import orjson


class EntryKind(enum.IntEnum):
    """Kind of a log entry; the number is stored on disk."""

    NO_OP = 0
    COMMAND = 1
    CONFIGURATION = 2


class Record:
    """Base of the data classes: compares and represents them by their slots."""

    __slots__ = ()
    __hash__ = None

    def __eq__(self, other):
        return type(self) is type(other) and all(
            getattr(self, name) == getattr(other, name) for name in self.__slots__
        )

    def __repr__(self):
        fields = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.__slots__)
        return f"{type(self).__name__}({fields})"


class Entry(Record):
    """One entry of the log.

    As a record of `Persist`, an entry replaces every stored entry of the same or a higher index.

    Attributes:
        index: Position in the log, from 1.
        term: Term of the leader that appended the entry.
        kind: Kind of the data.
        data: The command, the encoded configuration, or nothing for a no-op.
    """

    __slots__ = ("index", "term", "kind", "data")

    def __init__(self, index: int, term: int, kind: EntryKind, data: bytes = b""):
        self.index = index
        self.term = term
        self.kind = kind
        self.data = data


class HardState(Record):
    """The durable term and vote, as a record of `Persist`; `vote` is None before voting."""

    __slots__ = ("term", "vote")

    def __init__(self, term: int, vote: str | None):
        self.term = term
        self.vote = vote


class LogReset(Record):
    """Record of `Persist`: discards all stored entries, because a snapshot was installed.

    The stored log continues with the entry after `index`.

    Attributes:
        index: Index of the last entry that the snapshot covers.
        term: Term of that entry.
    """

    __slots__ = ("index", "term")

    def __init__(self, index: int, term: int):
        self.index = index
        self.term = term


class Configuration(Record):
    """The members of the log.

    Attributes:
        voters: Address of each voter by node id.
        learners: Address of each member that still receives older entries, by node id. A learner
            does not count towards a majority.
    """

    __slots__ = ("voters", "learners")

    def __init__(self, voters: dict[str, str], learners: dict[str, str] | None = None):
        self.voters = voters
        self.learners = learners or {}

    def members(self) -> dict[str, str]:
        """Returns the address of every voter and learner by node id."""
        return {**self.voters, **self.learners}

    def encode(self) -> bytes:
        """Returns the configuration as JSON."""
        return orjson.dumps(
            {"voters": self.voters, "learners": self.learners}, option=orjson.OPT_SORT_KEYS
        )


def decode_configuration(data: bytes) -> Configuration:
    """Returns the configuration that `Configuration.encode` wrote."""
    fields = orjson.loads(data)
    return Configuration(fields["voters"], fields["learners"])


class Snapshot(Record):
    """The state after the entry at `index`.

    Attributes:
        index: Index of the last applied entry.
        term: Term of that entry.
        configuration: Configuration in force after that entry.
        data: The encoded state; the log does not interpret it.
    """

    __slots__ = ("index", "term", "configuration", "data")

    def __init__(self, index: int, term: int, configuration: Configuration, data: bytes = b""):
        self.index = index
        self.term = term
        self.configuration = configuration
        self.data = data


class StoredState(Record):
    """State recovered from storage: last hard state, last snapshot and the entries after it."""

    __slots__ = ("hard_state", "snapshot", "entries")

    def __init__(self, hard_state: HardState, snapshot: Snapshot, entries: list[Entry]):
        self.hard_state = hard_state
        self.snapshot = snapshot
        self.entries = entries


def initial_state(configuration: Configuration | None = None) -> StoredState:
    """Returns the state of a node with an empty data folder.

    Args:
        configuration: The first configuration of a new log. Every node that starts the log must be
            given the same one. None is for a node that joins an existing log and waits until it is
            added to the configuration.
    """
    snapshot = Snapshot(0, 0, configuration or Configuration({}))
    return StoredState(HardState(0, None), snapshot, [])


# Messages between nodes. Each carries the term of its sender.


class PreVoteRequest(Record):
    """Request for a pre-vote: would the receiver vote for the sender in `term`?

    It changes no state of the receiver.

    Attributes:
        term: Term of the election that the sender would start.
        round: Number of the pre-vote, which the response echoes.
        last_index: Index of the last entry in the sender's log.
        last_term: Term of that entry.
    """

    __slots__ = ("term", "round", "last_index", "last_term")

    def __init__(self, term: int, round: int, last_index: int, last_term: int):
        self.term = term
        self.round = round
        self.last_index = last_index
        self.last_term = last_term


class PreVoteResponse(Record):
    """Response to a pre-vote; `term` is the responder's, `round` that of the request."""

    __slots__ = ("term", "round", "granted")

    def __init__(self, term: int, round: int, granted: bool):
        self.term = term
        self.round = round
        self.granted = granted


class VoteRequest(Record):
    """Request for a vote in `term`.

    Attributes:
        term: Term of the election.
        last_index: Index of the last entry in the candidate's log.
        last_term: Term of that entry.
    """

    __slots__ = ("term", "last_index", "last_term")

    def __init__(self, term: int, last_index: int, last_term: int):
        self.term = term
        self.last_index = last_index
        self.last_term = last_term


class VoteResponse(Record):
    """Response to a vote request; sent only after the vote is durable."""

    __slots__ = ("term", "granted")

    def __init__(self, term: int, granted: bool):
        self.term = term
        self.granted = granted


class AppendRequest(Record):
    """Entries after `previous_index`, or a heartbeat without entries.

    Attributes:
        term: The leader's term.
        previous_index: Index of the entry before the first one sent.
        previous_term: Term of that entry.
        entries: Entries to append.
        commit_index: Highest index that the leader has committed.
        round: Number of the leader's last read round in this term, which the response echoes.
    """

    __slots__ = ("term", "previous_index", "previous_term", "entries", "commit_index", "round")

    def __init__(
        self,
        term: int,
        previous_index: int,
        previous_term: int,
        entries: list[Entry],
        commit_index: int,
        round: int,
    ):
        self.term = term
        self.previous_index = previous_index
        self.previous_term = previous_term
        self.entries = entries
        self.commit_index = commit_index
        self.round = round


class AppendResponse(Record):
    """Response to `AppendRequest`, and to the last `SnapshotChunk` once it is installed.

    Attributes:
        term: The responder's term.
        success: Whether the responder's log matches the leader's up to `index`, durably.
        index: On success the last matching index; otherwise the last index that may match.
        rejected_index: The `previous_index` that did not match; 0 on success.
        round: The round of the request.
    """

    __slots__ = ("term", "success", "index", "rejected_index", "round")

    def __init__(self, term: int, success: bool, index: int, rejected_index: int, round: int):
        self.term = term
        self.success = success
        self.index = index
        self.rejected_index = rejected_index
        self.round = round


class SnapshotChunk(Record):
    """Part of a snapshot, for a member that needs entries the leader's log no longer holds.

    Attributes:
        term: The leader's term.
        snapshot_index: Index of the last entry that the snapshot covers.
        snapshot_term: Term of that entry.
        configuration: Configuration in the snapshot.
        offset: Offset of the first byte of `data` in the snapshot.
        data: Bytes of this part.
        last: Whether the snapshot ends with this part.
        round: Number of the leader's last read round in this term, which the response echoes.
    """

    __slots__ = (
        "term",
        "snapshot_index",
        "snapshot_term",
        "configuration",
        "offset",
        "data",
        "last",
        "round",
    )

    def __init__(
        self,
        term: int,
        snapshot_index: int,
        snapshot_term: int,
        configuration: Configuration,
        offset: int,
        data: bytes,
        last: bool,
        round: int,
    ):
        self.term = term
        self.snapshot_index = snapshot_index
        self.snapshot_term = snapshot_term
        self.configuration = configuration
        self.offset = offset
        self.data = data
        self.last = last
        self.round = round


class SnapshotAck(Record):
    """Response to `SnapshotChunk`; the next byte that the responder expects is at `offset`."""

    __slots__ = ("term", "snapshot_index", "offset", "round")

    def __init__(self, term: int, snapshot_index: int, offset: int, round: int):
        self.term = term
        self.snapshot_index = snapshot_index
        self.offset = offset
        self.round = round


# Events: the input of `consensus.Node.handle`.


class Tick(Record):
    """Time has passed; must arrive at `consensus.Node.next_deadline` at the latest."""

    __slots__ = ()


class Received(Record):
    """A message arrived from the node with the id `sender`."""

    __slots__ = ("sender", "message")

    def __init__(self, sender: str, message: Record):
        self.sender = sender
        self.message = message


class Persisted(Record):
    """The `Persist` or `SaveSnapshot` with this token, and all before it, are durable."""

    __slots__ = ("token",)

    def __init__(self, token: int):
        self.token = token


class Propose(Record):
    """Request to append an opaque command; `ProposalDone` carries the result."""

    __slots__ = ("proposal_id", "data")

    def __init__(self, proposal_id: object, data: bytes):
        self.proposal_id = proposal_id
        self.data = data


class AddMember(Record):
    """Request to add a member as a learner; it becomes a voter once its log is nearly complete.

    `ProposalDone` carries the result when the configuration with the learner is applied. The later
    promotion to a voter is reported by `ConfigurationChanged`.
    """

    __slots__ = ("proposal_id", "member_id", "address")

    def __init__(self, proposal_id: object, member_id: str, address: str):
        self.proposal_id = proposal_id
        self.member_id = member_id
        self.address = address


class Join(Record):
    """Request of a process to become a member; `ProposalDone` carries the result.

    An id that is not a member yet must not have been a voter with another disk.
    """

    __slots__ = ("proposal_id", "member_id", "address")

    def __init__(self, proposal_id: object, member_id: str, address: str):
        self.proposal_id = proposal_id
        self.member_id = member_id
        self.address = address


class RemoveMember(Record):
    """Request to remove a voter or learner; `ProposalDone` carries the result."""

    __slots__ = ("proposal_id", "member_id")

    def __init__(self, proposal_id: object, member_id: str):
        self.proposal_id = proposal_id
        self.member_id = member_id


class Read(Record):
    """Request for a linearizable read; `ReadDone` carries the result."""

    __slots__ = ("read_id",)

    def __init__(self, read_id: object):
        self.read_id = read_id


class SnapshotTaken(Record):
    """The encoded state after `index` that `TakeSnapshot` requested."""

    __slots__ = ("index", "data")

    def __init__(self, index: int, data: bytes):
        self.index = index
        self.data = data


# Actions: the output of `consensus.Node.handle`, to be carried out in order.


class Send(Record):
    """Send a message to a node; the network may lose, duplicate or reorder it."""

    __slots__ = ("to", "message")

    def __init__(self, to: str, message: Record):
        self.to = to
        self.message = message


class Persist(Record):
    """Store records durably, in order, then report `Persisted(token)`.

    `Persist` and `SaveSnapshot` share one sequence of tokens, which rise by one, and must complete
    in that order. When the disk is full, retry the same action until it succeeds.
    """

    __slots__ = ("token", "records")

    def __init__(self, token: int, records: list[Record]):
        self.token = token
        self.records = records


class SaveSnapshot(Record):
    """Store a snapshot durably, then report `Persisted(token)`."""

    __slots__ = ("token", "snapshot")

    def __init__(self, token: int, snapshot: Snapshot):
        self.token = token
        self.snapshot = snapshot


class Apply(Record):
    """Apply committed entries to the state, in order; only `COMMAND` entries hold commands."""

    __slots__ = ("entries",)

    def __init__(self, entries: list[Entry]):
        self.entries = entries


class Restore(Record):
    """Replace the state with that of a snapshot received from the leader."""

    __slots__ = ("snapshot",)

    def __init__(self, snapshot: Snapshot):
        self.snapshot = snapshot


class TakeSnapshot(Record):
    """Encode the present state, which is that after `index`, and report `SnapshotTaken`."""

    __slots__ = ("index",)

    def __init__(self, index: int):
        self.index = index


class ProposalDone(Record):
    """Result of a proposal.

    Attributes:
        proposal_id: The id of the proposal.
        result: `Ok((index, term))` once the entry is applied. `Error` with `NOT_LEADER`,
            `QUEUE_FULL` or `MEMBER_CHANGE_REFUSED` when it was not appended and never will be, or
            with `MAY_HAVE_RUN` when leadership was lost and the entry may or may not be committed.
        leader_id: Id of the current leader, or None if unknown.
    """

    __slots__ = ("proposal_id", "result", "leader_id")

    def __init__(self, proposal_id: object, result: expression.Result, leader_id: str | None):
        self.proposal_id = proposal_id
        self.result = result
        self.leader_id = leader_id


class ReadDone(Record):
    """Result of a read.

    Attributes:
        read_id: The id of the read.
        result: `Ok(index)` when the state, as applied by the actions before this one, may be read;
            `Error` with `NOT_LEADER` otherwise.
        leader_id: Id of the current leader, or None if unknown.
    """

    __slots__ = ("read_id", "result", "leader_id")

    def __init__(self, read_id: object, result: expression.Result, leader_id: str | None):
        self.read_id = read_id
        self.result = result
        self.leader_id = leader_id


class RoleChanged(Record):
    """The node's role, its term or its current leader changed; `leader_id` is None if unknown."""

    __slots__ = ("role", "term", "leader_id")

    def __init__(self, role: enum.Enum, term: int, leader_id: str | None):
        self.role = role
        self.term = term
        self.leader_id = leader_id


class ConfigurationChanged(Record):
    """The latest configuration in the log changed; it may not be committed yet."""

    __slots__ = ("index", "configuration")

    def __init__(self, index: int, configuration: Configuration):
        self.index = index
        self.configuration = configuration


class MembersDecided(Record):
    """The leader changes the members by itself; the `ConfigurationChanged` follows.

    Attributes:
        change: The `membership.Change`.
        members: The `membership.Member` list on which it was decided.
    """

    __slots__ = ("change", "members")

    def __init__(self, change, members: list):
        self.change = change
        self.members = members


class VoteRefused(Record):
    """The node refuses a vote or pre-vote for a reason that differs from its last one.

    Attributes:
        candidate: Id of the candidate.
        term: Term for which it asked.
        reason: Why, for the log.
    """

    __slots__ = ("candidate", "term", "reason")

    def __init__(self, candidate: str, term: int, reason: str):
        self.candidate = candidate
        self.term = term
        self.reason = reason
