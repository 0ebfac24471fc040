"""Data of the replicated log: entries, configurations, peer messages, events and actions.

Everything here is plain data. `consensus.Node.handle` takes an event and returns actions; messages
travel between nodes inside `Send` actions and `Received` events.
"""

import enum

import expression
import orjson


class EntryKind(enum.IntEnum):
    """What a log entry holds; the number is stored on disk."""

    NO_OP = 0
    COMMAND = 1
    CONFIGURATION = 2


class Record:
    """Base of the plain data classes: equality and representation by slots."""

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
    """

    __slots__ = ("index", "term", "kind", "data")

    def __init__(self, index: int, term: int, kind: EntryKind, data: bytes = b""):
        self.index = index
        self.term = term
        self.kind = kind
        self.data = data


class HardState(Record):
    """The term and the vote in it, as a record of `Persist`; `vote` is None before voting."""

    __slots__ = ("term", "vote")

    def __init__(self, term: int, vote: str | None):
        self.term = term
        self.vote = vote


class LogReset(Record):
    """Says that the stored log restarts after an installed snapshot, as a record of `Persist`."""

    __slots__ = ("index", "term")

    def __init__(self, index: int, term: int):
        self.index = index
        self.term = term


class Configuration(Record):
    """The members of the log.

    Attributes:
        voters: Address of each voter by node id.
        learners: Address of each member that is still catching up, by node id. A learner does not
            count towards a majority.
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
    """The state after the entry at `index`; `data` is opaque to the log."""

    __slots__ = ("index", "term", "configuration", "data")

    def __init__(self, index: int, term: int, configuration: Configuration, data: bytes = b""):
        self.index = index
        self.term = term
        self.configuration = configuration
        self.data = data


class StoredState(Record):
    """What storage recovered: the last hard state, the last snapshot and the entries after it."""

    __slots__ = ("hard_state", "snapshot", "entries")

    def __init__(self, hard_state: HardState, snapshot: Snapshot, entries: list[Entry]):
        self.hard_state = hard_state
        self.snapshot = snapshot
        self.entries = entries


def initial_state(configuration: Configuration | None = None) -> StoredState:
    """Returns the state of a node with an empty data folder.

    Args:
        configuration: The first configuration of a new log. Every node that starts the log must get
            the same one. A node that joins an existing log gets None and waits to be added.
    """
    snapshot = Snapshot(0, 0, configuration or Configuration({}))
    return StoredState(HardState(0, None), snapshot, [])


# Messages between nodes. Each carries the sender's term.


class PreVoteRequest(Record):
    """Asks whether the receiver would vote for the sender in `term`; changes no state."""

    __slots__ = ("term", "round", "last_index", "last_term")

    def __init__(self, term: int, round: int, last_index: int, last_term: int):
        self.term = term
        self.round = round
        self.last_index = last_index
        self.last_term = last_term


class PreVoteResponse(Record):
    """Response to a pre-vote; `term` is the responder's own term, `round` is echoed."""

    __slots__ = ("term", "round", "granted")

    def __init__(self, term: int, round: int, granted: bool):
        self.term = term
        self.round = round
        self.granted = granted


class VoteRequest(Record):
    """Asks for a vote in `term`."""

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

    `round` numbers the read rounds of the leader's term; the response echoes it.
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
    """A part of a snapshot for a member that lags behind the bounded log."""

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
    """Says which byte of the snapshot the responder expects next."""

    __slots__ = ("term", "snapshot_index", "offset", "round")

    def __init__(self, term: int, snapshot_index: int, offset: int, round: int):
        self.term = term
        self.snapshot_index = snapshot_index
        self.offset = offset
        self.round = round


# Events, the input of `consensus.Node.handle`.


class Tick(Record):
    """Time has passed; due at `consensus.Node.next_deadline` at the latest."""

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
    """Asks to append an opaque command; answered by `ProposalDone`."""

    __slots__ = ("proposal_id", "data")

    def __init__(self, proposal_id: object, data: bytes):
        self.proposal_id = proposal_id
        self.data = data


class AddMember(Record):
    """Asks to add a member as a learner; it becomes a voter once it has caught up.

    `ProposalDone` answers when the learner's entry is applied. The later promotion shows in
    `ConfigurationChanged`.
    """

    __slots__ = ("proposal_id", "member_id", "address")

    def __init__(self, proposal_id: object, member_id: str, address: str):
        self.proposal_id = proposal_id
        self.member_id = member_id
        self.address = address


class RemoveMember(Record):
    """Asks to remove a voter or learner; answered by `ProposalDone`."""

    __slots__ = ("proposal_id", "member_id")

    def __init__(self, proposal_id: object, member_id: str):
        self.proposal_id = proposal_id
        self.member_id = member_id


class Read(Record):
    """Asks for a linearizable read; answered by `ReadDone`."""

    __slots__ = ("read_id",)

    def __init__(self, read_id: object):
        self.read_id = read_id


class SnapshotTaken(Record):
    """The state after `index`, as asked for by `TakeSnapshot`."""

    __slots__ = ("index", "data")

    def __init__(self, index: int, data: bytes):
        self.index = index
        self.data = data


# Actions, the output of `consensus.Node.handle`, to be carried out in order.


class Send(Record):
    """Send a message; it may be lost, repeated or reordered."""

    __slots__ = ("to", "message")

    def __init__(self, to: str, message: Record):
        self.to = to
        self.message = message


class Persist(Record):
    """Store records durably, in order, then report `Persisted(token)`.

    Tokens rise by one and are shared with `SaveSnapshot`; they must be completed in order. On a
    full disk, retry the same action until it succeeds.
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
    """Replace the state by that of a snapshot received from the leader."""

    __slots__ = ("snapshot",)

    def __init__(self, snapshot: Snapshot):
        self.snapshot = snapshot


class TakeSnapshot(Record):
    """Capture the state as it is now, after `index`, and report `SnapshotTaken`."""

    __slots__ = ("index",)

    def __init__(self, index: int):
        self.index = index


class ProposalDone(Record):
    """Answer to a proposal.

    Attributes:
        proposal_id: The id of the proposal.
        result: `Ok((index, term))` once the entry is applied. `Error` with `NOT_LEADER`,
            `QUEUE_FULL` or `MEMBER_CHANGE_REFUSED` when it was not appended and never will be, or
            with `MAY_HAVE_RUN` when leadership was lost and the fate is unknown.
        leader_id: The leader as far as known, or None.
    """

    __slots__ = ("proposal_id", "result", "leader_id")

    def __init__(self, proposal_id: object, result: expression.Result, leader_id: str | None):
        self.proposal_id = proposal_id
        self.result = result
        self.leader_id = leader_id


class ReadDone(Record):
    """Answer to a read.

    Attributes:
        read_id: The id of the read.
        result: `Ok(index)` when the state, as applied by the actions before this one, may be read;
            `Error` with `NOT_LEADER` otherwise.
        leader_id: The leader as far as known, or None.
    """

    __slots__ = ("read_id", "result", "leader_id")

    def __init__(self, read_id: object, result: expression.Result, leader_id: str | None):
        self.read_id = read_id
        self.result = result
        self.leader_id = leader_id


class RoleChanged(Record):
    """The node's role, its term or the leader it knows changed."""

    __slots__ = ("role", "term", "leader_id")

    def __init__(self, role: enum.Enum, term: int, leader_id: str | None):
        self.role = role
        self.term = term
        self.leader_id = leader_id


class ConfigurationChanged(Record):
    """The latest configuration in the log changed; it may still be uncommitted."""

    __slots__ = ("index", "configuration")

    def __init__(self, index: int, configuration: Configuration):
        self.index = index
        self.configuration = configuration
