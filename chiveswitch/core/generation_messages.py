"""Events that `generation.Generation` handles and actions that it returns."""

import enum


class FailureKind(enum.Enum):
    """How an attempt, or one connection of it, failed."""

    CONNECTION_REFUSED = "connection_refused"
    CLOSED = "closed"
    HTTP_ERROR = "http_error"
    UNKNOWN_ATTEMPT = "unknown_attempt"
    NOT_RUN = "not_run"


class Message:
    """Base of events and actions: plain data that compares by type and fields."""

    __slots__ = ()

    def __init__(self, *values, **named):
        names = self.__slots__
        if len(values) + len(named) != len(names):
            raise TypeError(f"{type(self).__name__} takes {', '.join(names) or 'no fields'}")
        for name, value in zip(names, values, strict=False):
            setattr(self, name, value)
        for name, value in named.items():
            setattr(self, name, value)

    def __repr__(self):
        fields = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.__slots__)
        return f"{type(self).__name__}({fields})"

    def __eq__(self, other):
        return type(self) is type(other) and all(
            getattr(self, name) == getattr(other, name) for name in self.__slots__
        )

    __hash__ = None


# Events. The messages of the hot path have constructors of their own, which take about a quarter
# of the time of the general one.


class GenerationOpened(Message):
    """First event of every generation."""

    __slots__ = ()


class TargetChosen(Message):
    """Response to `ChooseTarget`: a target to run on.

    Attributes:
        choice: Number from the action.
        target: Target id.
    """

    __slots__ = ("choice", "target")


class NoTarget(Message):
    """Response to `ChooseTarget`: no target outside the exclude list is available.

    Attributes:
        choice: Number from the action.
    """

    __slots__ = ("choice",)


class StreamStarted(Message):
    """Start event of a stream, after `StartAttempt` or `ReattachAttempt`.

    Attributes:
        attempt: Attempt number.
        prefix_length: Number of tokens that the engine holds before the stream's first token.
        prefix_digest: Digest of these tokens, hexadecimal.
    """

    __slots__ = ("attempt", "prefix_length", "prefix_digest")


class Tokens(Message):
    """Everything that one wake-up read from an attempt's stream.

    Attributes:
        attempt: Attempt number.
        offset: Offset of the first token.
        tokens: List of tokens; the machine may keep it.
    """

    __slots__ = ("attempt", "offset", "tokens")

    def __init__(self, attempt: int, offset: int, tokens: list):
        self.attempt = attempt
        self.offset = offset
        self.tokens = tokens


class Heartbeat(Message):
    """Heartbeat of an attempt's stream.

    Attributes:
        attempt: Attempt number.
    """

    __slots__ = ("attempt",)

    def __init__(self, attempt: int):
        self.attempt = attempt


class StreamEnded(Message):
    """Explicit end marker of an attempt.

    Attributes:
        attempt: Attempt number.
        final_offset: Number of tokens of the whole response.
    """

    __slots__ = ("attempt", "final_offset")


class StreamFailed(Message):
    """A connection of an attempt failed or was refused.

    Attributes:
        attempt: Attempt number.
        connection: Number of the connection, 0 for `StartAttempt`, otherwise that of
            `ReattachAttempt`; failures of earlier connections of the attempt are ignored.
        kind: A `FailureKind`.
        status: HTTP status for `HTTP_ERROR`, otherwise 0.
    """

    __slots__ = ("attempt", "connection", "kind", "status")


class CancelConfirmed(Message):
    """The engine confirmed that an attempt is cancelled or has ended.

    Attributes:
        attempt: Attempt number.
    """

    __slots__ = ("attempt",)


class JournalCommitted(Message):
    """A majority of the journal's holders has this state under the owner's epoch.

    Attributes:
        generation: Generation number.
        length: Number of committed tokens.
        ended: Whether the end is committed.
        note: Latest committed attempt note, as given in `AppendJournal`.
    """

    __slots__ = ("generation", "length", "ended", "note")

    def __init__(self, generation: int, length: int, ended: bool, note: str):
        self.generation = generation
        self.length = length
        self.ended = ended
        self.note = note


class ReaderAttached(Message):
    """A caller's connection wants the response.

    Attributes:
        reader: Reader id; attaching again under the same id replaces the earlier reader.
        generation: Generation of the last event id, or None without one.
        offset: Offset of the last event id, or 0.
        streamed: False for a reader that gets the whole response at the end.
    """

    __slots__ = ("reader", "generation", "offset", "streamed")


class ReaderDisconnected(Message):
    """A reader's connection closed.

    Attributes:
        reader: Reader id.
    """

    __slots__ = ("reader",)


class ReaderRead(Message):
    """A reader's connection took everything up to an offset.

    Attributes:
        reader: Reader id.
        generation: Generation number.
        offset: Number of tokens written out to the reader's socket.
    """

    __slots__ = ("reader", "generation", "offset")

    def __init__(self, reader, generation: int, offset: int):
        self.reader = reader
        self.generation = generation
        self.offset = offset


class CallerCancelled(Message):
    """The caller cancelled the request."""

    __slots__ = ()


class OwnershipLost(Message):
    """A journal holder refused the owner's epoch."""

    __slots__ = ()


class TargetLost(Message):
    """A target's lease has ended: nothing runs there any more.

    Attributes:
        target: Target id.
    """

    __slots__ = ("target",)


class TargetLeaving(Message):
    """A target takes no new work, but finishes what it runs.

    Attributes:
        target: Target id.
    """

    __slots__ = ("target",)


class Tick(Message):
    """The timer set by `SetTimer` fired."""

    __slots__ = ()


# Actions.


class ChooseTarget(Message):
    """Asks target selection for a target.

    Attributes:
        choice: Number that the response repeats; a response to an earlier choice is ignored.
        exclude: Tuple of target ids not to choose.
        resumed: Whether this continues interrupted work, which goes before new work.
        prefix_length: Number of tokens that the target would have to prefill beyond the prompt.
    """

    __slots__ = ("choice", "exclude", "resumed", "prefix_length")


class StartAttempt(Message):
    """Starts an attempt on connection (link) 0.

    Attributes:
        attempt: Attempt number.
        target: Target id.
        generation: Generation number.
        seed: Seed of this generation.
        prefix: List of tokens to continue after.
        resumed: Whether this continues interrupted work.
    """

    __slots__ = ("attempt", "target", "generation", "seed", "prefix", "resumed")


class ReattachAttempt(Message):
    """Opens a new connection to a running attempt and closes its earlier one.

    Attributes:
        attempt: Attempt number.
        target: Target id.
        offset: Offset of the first token wanted.
        connection: Number of the new connection.
    """

    __slots__ = ("attempt", "target", "offset", "connection")


class CancelAttempt(Message):
    """Cancels an attempt and closes its connections; sent again until confirmed.

    Attributes:
        attempt: Attempt number.
        target: Target id.
    """

    __slots__ = ("attempt", "target")


class AppendJournal(Message):
    """Appends to the journal.

    Attributes:
        generation: Generation number; a higher one than before empties the token list.
        offset: Offset of the first token.
        tokens: List of tokens, possibly empty.
        end: Whether the response ends after these tokens.
        note: Attempt note, opaque text that replaces the earlier one.
    """

    __slots__ = ("generation", "offset", "tokens", "end", "note")

    def __init__(self, generation: int, offset: int, tokens: list, end: bool, note: str):
        self.generation = generation
        self.offset = offset
        self.tokens = tokens
        self.end = end
        self.note = note


class DeliverTokens(Message):
    """Hands tokens to a reader.

    Attributes:
        reader: Reader id.
        generation: Generation number.
        offset: Offset of the first token.
        tokens: List of tokens, not to be changed.
    """

    __slots__ = ("reader", "generation", "offset", "tokens")

    def __init__(self, reader, generation: int, offset: int, tokens: list):
        self.reader = reader
        self.generation = generation
        self.offset = offset
        self.tokens = tokens


class DeliverGeneration(Message):
    """Tells a reader that a new generation begins at offset 0.

    Attributes:
        reader: Reader id.
        generation: Generation number.
    """

    __slots__ = ("reader", "generation")


class DeliverEnd(Message):
    """Tells a reader that its response is complete; the reader is detached.

    Attributes:
        reader: Reader id.
        generation: Generation number.
        final_offset: Number of tokens of the response.
    """

    __slots__ = ("reader", "generation", "final_offset")


class FailReader(Message):
    """Ends a reader's connection with an error; the reader is detached.

    Attributes:
        reader: Reader id.
        code: A `codes.Code`.
        message: One sentence that says what failed.
    """

    __slots__ = ("reader", "code", "message")


class SetTimer(Message):
    """Asks for a `Tick`; replaces the timer set before.

    Attributes:
        at: Time of the tick, in seconds of the clock that `handle` is given.
    """

    __slots__ = ("at",)


class AddToMetrics(Message):
    """Adds to metrics.

    Attributes:
        amount_by_name: Amounts by metric name; see `generation.Generation`.
    """

    __slots__ = ("amount_by_name",)


class RequestFinished(Message):
    """The request has its outcome; sent once.

    Attributes:
        code: OK for a complete response, otherwise the code of the failure.
    """

    __slots__ = ("code",)


class ReleaseRequest(Message):
    """Nothing is left to do: the machine and the journal's copy of this owner may be dropped."""

    __slots__ = ()
