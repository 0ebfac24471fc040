"""Events that `gateway.GatewayCore` handles and actions that it returns."""

from chiveswitch.core import generation_messages

Message = generation_messages.Message


# Events.


class Submit(Message):
    """A caller posts a generation.

    Attributes:
        reader: Reader id, unique in this process.
        account: Authenticated client account.
        request_id: Request id.
        is_first_send: Whether the id is surely new, so that no other gateway need be asked.
        service: Service name.
        prompt: Prompt text.
        max_tokens: Tokens wanted.
        streamed: Whether tokens are streamed.
    """

    __slots__ = (
        "reader",
        "account",
        "request_id",
        "is_first_send",
        "service",
        "prompt",
        "max_tokens",
        "streamed",
    )


class Attach(Message):
    """A caller returns for a request.

    Attributes:
        reader: Reader id.
        account: Authenticated client account.
        request_id: Request id.
        answer: Answer id in the caller's last event id, or empty.
        generation: Generation in the last event id, or None.
        offset: Offset in the last event id.
        streamed: Whether tokens are streamed.
    """

    __slots__ = (
        "reader",
        "account",
        "request_id",
        "answer",
        "generation",
        "offset",
        "streamed",
    )


class Cancel(Message):
    """A caller cancels a request; `reader` gets the outcome as `ReaderFail`."""

    __slots__ = ("reader", "account", "request_id")


class FromReader(Message):
    """A `generation_messages` event of a reader: `ReaderLeft` or `ReaderRead`."""

    __slots__ = ("key", "event")


class FromEngine(Message):
    """A `generation_messages` event of an attempt."""

    __slots__ = ("key", "event")


class JournalRequest(Message):
    """Messages of another gateway to the journals held here; answered by `JournalReplies`.

    Attributes:
        token: Identifies the open request; the action repeats it.
        messages: List of `journal` messages.
    """

    __slots__ = ("token", "messages")


class JournalReceived(Message):
    """Replies of a holder to messages that were sent by `SendJournal`."""

    __slots__ = ("sender", "messages")


class BundleConfirmed(Message):
    """Control confirmed the bundle in force.

    Attributes:
        serial: Serial of the roll.
        bundle: The parsed `bundles.Bundle`, or None if the serial is the known one.
        asked_at: Own clock in seconds before control was asked.
    """

    __slots__ = ("serial", "bundle", "asked_at")


class RequestCommitted(Message):
    """Outcome of `CommitRequest`: `failure` is None once control has the request on its disks."""

    __slots__ = ("key", "failure")


class Adopt(Message):
    """Control asks this gateway to run a durable request whose owner is gone.

    Attributes:
        key: Tuple (account, request id).
        header: The header's bytes as committed.
        generation: Highest generation number that control knows.
    """

    __slots__ = ("key", "header", "generation")


class RequestFound(Message):
    """Outcome of `FindRequest`.

    Attributes:
        key: Tuple (account, request id).
        header: The header's bytes as committed, or None if control holds no such request.
        generation: Highest generation number that control knows.
        failure: A `codes.Failure` if control could not be asked, else None.
    """

    __slots__ = ("key", "header", "generation", "failure")


class GenerationClaimed(Message):
    """Outcome of `ClaimGeneration`: the number to use, or a failure."""

    __slots__ = ("key", "generation", "failure")


class Tick(Message):
    """Time has passed."""

    __slots__ = ()


class Drain(Message):
    """The gateway takes no new work once its address answers have expired."""

    __slots__ = ()


# Actions.


class SendJournal(Message):
    """Sends a `journal` message to a holder."""

    __slots__ = ("holder", "message")

    def __init__(self, holder, message):
        self.holder = holder
        self.message = message


class JournalReplies(Message):
    """Answers a `JournalRequest`."""

    __slots__ = ("token", "messages")


class OpenStream(Message):
    """Starts an attempt on an engine; `body` is the JSON object of the engine's API."""

    __slots__ = ("key", "attempt", "address", "body")


class ReattachStream(Message):
    """Reads a running attempt over a new connection and closes the earlier one."""

    __slots__ = ("key", "attempt", "link", "address", "attempt_id", "offset")


class CancelStream(Message):
    """Closes an attempt's connection and asks the engine to cancel it."""

    __slots__ = ("key", "attempt", "address", "attempt_id")


class CloseStream(Message):
    """Closes an attempt's connection without cancelling the attempt."""

    __slots__ = ("key", "attempt")


class ReaderTokens(Message):
    """Hands tokens to a reader's connection."""

    __slots__ = ("key", "reader", "name", "generation", "offset", "tokens")

    def __init__(self, key, reader, name, generation, offset, tokens):
        self.key = key
        self.reader = reader
        self.name = name
        self.generation = generation
        self.offset = offset
        self.tokens = tokens


class ReaderGeneration(Message):
    """Tells a reader which generation follows; `name` is the first part of the event ids."""

    __slots__ = ("key", "reader", "name", "generation", "seed")


class ReaderEnd(Message):
    """Ends a reader's response as complete."""

    __slots__ = ("key", "reader", "name", "final_offset")


class ReaderFail(Message):
    """Ends a reader's response with a result code."""

    __slots__ = ("reader", "code", "message")


class CommitRequest(Message):
    """Asks control to hold a durable request before it is accepted."""

    __slots__ = ("key", "header")


class FindRequest(Message):
    """Asks control whether it holds a durable request of which no journal was found."""

    __slots__ = ("key",)


class ClaimGeneration(Message):
    """Asks control for a new generation of a durable request, by compare-and-set."""

    __slots__ = ("key", "expected")


class FinishRequest(Message):
    """Tells control that a durable request needs to be kept no longer."""

    __slots__ = ("key",)


class Count(Message):
    """Adds to metrics."""

    __slots__ = ("amount_by_name",)


class Note(Message):
    """Marks a step of a request in its trace."""

    __slots__ = ("key", "name")
