"""Events that `generation.Generation` handles and actions that it returns."""

import enum


class FailureKind(enum.Enum):
    """Reason why an attempt, or one of its connections, failed.

    Attributes:
        CONNECTION_REFUSED: No connection could be established, so no request was sent on it.
        CLOSED: The connection failed in another way, such as an end of the stream without its end
            marker. The attempt may still run.
        HTTP_ERROR: The engine answered with an error status other than the two below.
        UNKNOWN_ATTEMPT: The engine has no attempt with this number; it may have lost it.
        NOT_RUN: The attempt certainly did not run, because it was refused or never sent.
    """

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


# Events. Messages on the hot path define their own constructors, which take about a quarter of
# the time of the generic one.


class GenerationOpened(Message):
    """The state machine was created; the first event of every request."""

    __slots__ = ()


class TargetChosen(Message):
    """Response to `ChooseTarget`: a target to run on.

    Attributes:
        choice: Number from `ChooseTarget`.
        target: Target id.
    """

    __slots__ = ("choice", "target")


class NoTarget(Message):
    """Response to `ChooseTarget`: no target outside the exclude list is available.

    Attributes:
        choice: Number from `ChooseTarget`.
    """

    __slots__ = ("choice",)


class StreamStarted(Message):
    """An engine's stream began, after `StartAttempt` or `ReattachAttempt`.

    Attributes:
        attempt: Attempt number.
        prefix_length: Number of tokens that the engine holds before the stream's first token.
        prefix_digest: Hexadecimal digest of these tokens.
    """

    __slots__ = ("attempt", "prefix_length", "prefix_digest")


class Tokens(Message):
    """Tokens read from an attempt's stream in one wake-up of the event loop.

    Attributes:
        attempt: Attempt number.
        offset: Offset of the first token.
        tokens: List of tokens. The machine may keep the list, so the sender must not reuse it.
    """

    __slots__ = ("attempt", "offset", "tokens")

    def __init__(self, attempt: int, offset: int, tokens: list):
        self.attempt = attempt
        self.offset = offset
        self.tokens = tokens


class Heartbeat(Message):
    """An engine sent a heartbeat on an attempt's stream.

    Attributes:
        attempt: Attempt number.
    """

    __slots__ = ("attempt",)

    def __init__(self, attempt: int):
        self.attempt = attempt


class StreamEnded(Message):
    """An attempt's stream delivered its explicit end marker.

    Attributes:
        attempt: Attempt number.
        final_offset: Number of tokens in the whole response.
    """

    __slots__ = ("attempt", "final_offset")


class StreamFailed(Message):
    """A connection of an attempt failed or was refused.

    Attributes:
        attempt: Attempt number.
        connection: Number of the connection: 0 if `StartAttempt` opened it, otherwise the number
            from `ReattachAttempt`. Failures of the attempt's earlier connections are ignored.
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
    """A majority of the journal's holders stored this state under the owner's epoch.

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
    """A caller opened a connection to read the response.

    Attributes:
        reader: Reader id; attaching again under the same id replaces the earlier reader.
        generation: Generation of the last event id, or None without one.
        offset: Offset of the last event id, or 0.
        streamed: False for a reader that receives the whole response at the end.
    """

    __slots__ = ("reader", "generation", "offset", "streamed")


class ReaderDisconnected(Message):
    """A reader's connection closed.

    Attributes:
        reader: Reader id.
    """

    __slots__ = ("reader",)


class ReaderRead(Message):
    """Tokens up to an offset were written to a reader's socket, so they no longer count as unread.

    Attributes:
        reader: Reader id.
        generation: Generation number.
        offset: Number of tokens written to the socket so far.
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
    """A target's lease expired, so no attempt runs on it any more.

    Attributes:
        target: Target id.
    """

    __slots__ = ("target",)


class TargetLeaving(Message):
    """A target accepts no new attempts but finishes the running ones.

    Attributes:
        target: Target id.
    """

    __slots__ = ("target",)


class Tick(Message):
    """The timer set by `SetTimer` fired."""

    __slots__ = ()


# Actions.


class ChooseTarget(Message):
    """Requests a target from target selection.

    Attributes:
        choice: Number that the response repeats; responses to earlier choices are ignored.
        exclude: Tuple of target ids that must not be chosen.
        resumed: Whether this continues interrupted work, which takes precedence over new work.
        prefix_length: Number of tokens that the target would have to prefill beyond the prompt.
    """

    __slots__ = ("choice", "exclude", "resumed", "prefix_length")


class StartAttempt(Message):
    """Starts an attempt on its first connection, number 0.

    Attributes:
        attempt: Attempt number.
        target: Target id.
        generation: Generation number.
        seed: Seed of this generation.
        prefix: List of tokens after which the engine continues.
        resumed: Whether this continues interrupted work.
    """

    __slots__ = ("attempt", "target", "generation", "seed", "prefix", "resumed")


class ReattachAttempt(Message):
    """Opens a new connection to a running attempt and closes the earlier one.

    Attributes:
        attempt: Attempt number.
        target: Target id.
        offset: Offset of the first requested token.
        connection: Number of the new connection.
    """

    __slots__ = ("attempt", "target", "offset", "connection")


class CancelAttempt(Message):
    """Cancels an attempt and closes its connections; repeated until it is confirmed.

    Attributes:
        attempt: Attempt number.
        target: Target id.
    """

    __slots__ = ("attempt", "target")


class AppendJournal(Message):
    """Appends tokens, the end marker or an attempt note to the journal.

    Attributes:
        generation: Generation number; a higher number than before clears the journal's tokens.
        offset: Offset of the first token.
        tokens: List of tokens, possibly empty.
        end: Whether the response ends after these tokens.
        note: Attempt note, opaque text that replaces the previous note.
    """

    __slots__ = ("generation", "offset", "tokens", "end", "note")

    def __init__(self, generation: int, offset: int, tokens: list, end: bool, note: str):
        self.generation = generation
        self.offset = offset
        self.tokens = tokens
        self.end = end
        self.note = note


class DeliverTokens(Message):
    """Sends tokens to a reader.

    Attributes:
        reader: Reader id.
        generation: Generation number.
        offset: Offset of the first token.
        tokens: List of tokens, which the receiver must not modify.
    """

    __slots__ = ("reader", "generation", "offset", "tokens")

    def __init__(self, reader, generation: int, offset: int, tokens: list):
        self.reader = reader
        self.generation = generation
        self.offset = offset
        self.tokens = tokens


class DeliverGeneration(Message):
    """Notifies a reader that a new generation begins at offset 0.

    Attributes:
        reader: Reader id.
        generation: Generation number.
    """

    __slots__ = ("reader", "generation")


class DeliverEnd(Message):
    """Notifies a reader that its response is complete, and detaches the reader.

    Attributes:
        reader: Reader id.
        generation: Generation number.
        final_offset: Number of tokens in the response.
    """

    __slots__ = ("reader", "generation", "final_offset")


class FailReader(Message):
    """Ends a reader's connection with an error, and detaches the reader.

    Attributes:
        reader: Reader id.
        code: A `codes.Code`.
        message: One sentence that says what failed.
    """

    __slots__ = ("reader", "code", "message")


class SetTimer(Message):
    """Schedules a `Tick`, which replaces any timer set before.

    Attributes:
        at: Time of the tick, in seconds on the clock passed to `handle`.
    """

    __slots__ = ("at",)


class AddToMetrics(Message):
    """Adds amounts to metrics.

    Attributes:
        amount_by_name: Amounts by metric name; see `generation.Generation`.
    """

    __slots__ = ("amount_by_name",)


class RequestFinished(Message):
    """Reports the outcome of the request; sent exactly once.

    Attributes:
        code: OK for a complete response, otherwise the code of the failure.
    """

    __slots__ = ("code",)


class ReleaseRequest(Message):
    """Permits dropping the state machine and the owner's journal copy, as no work remains."""

    __slots__ = ()
