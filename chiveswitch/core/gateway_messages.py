"""Events that `gateway.GatewayCore` handles and actions that it returns.

A reader is one caller's connection that receives the response of a request. Several readers may be
attached to one request. A key is the tuple (account, request id).
"""

from chiveswitch.core import generation_messages

Message = generation_messages.Message


# Events.


class Submit(Message):
    """A caller submits a generation.

    Attributes:
        reader: Reader id, unique in this process.
        account: Authenticated client account.
        request_id: Request id.
        is_first_send: Whether the caller states that it never sent the request before. Then no
            other gateway can have a journal of it, and the search for one is skipped.
        service: Service name.
        prompt: Prompt text.
        max_tokens: Largest number of tokens to generate.
        streamed: Whether the reader receives tokens as they are generated.
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
    """A caller reconnects to a request that was submitted earlier.

    Attributes:
        reader: Reader id.
        account: Authenticated client account.
        request_id: Request id.
        answer: Answer id in the last event id that the caller received, or empty.
        generation: Generation number in that event id, or None.
        offset: Token offset in that event id.
        streamed: Whether the reader receives tokens as they are generated.
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
    """A caller cancels a request; the outcome is returned to `reader` as a `ReaderFail`."""

    __slots__ = ("reader", "account", "request_id")


class FromReader(Message):
    """Carries a `generation_messages` event of a reader: `ReaderDisconnected` or `ReaderRead`."""

    __slots__ = ("key", "event")


class FromEngine(Message):
    """Carries a `generation_messages` event of an attempt on an engine."""

    __slots__ = ("key", "event")


class JournalRequest(Message):
    """Another gateway sends messages to the journals held here; `JournalReplies` answers them.

    Attributes:
        token: Identifies the journal request; `JournalReplies` carries the same token.
        messages: List of `journal` messages.
    """

    __slots__ = ("token", "messages")


class JournalReceived(Message):
    """A journal holder replies to messages that `SendJournal` sent.

    Attributes:
        sender: Holder id of the replying gateway.
        messages: List of `journal` replies.
    """

    __slots__ = ("sender", "messages")


class BundleConfirmed(Message):
    """Control confirmed which bundle is in force.

    Attributes:
        serial: Serial number of the rollout that put the bundle in force.
        bundle: The parsed `bundles.Bundle`, or None if the gateway already has this serial.
        asked_at: Own clock in seconds before the request was sent to control.
    """

    __slots__ = ("serial", "bundle", "asked_at")


class RequestCommitted(Message):
    """Outcome of `CommitRequest`.

    Attributes:
        key: Tuple (account, request id).
        failure: None once control has stored the request on disk, else a `codes.Failure`.
    """

    __slots__ = ("key", "failure")


class Adopt(Message):
    """Control assigns a durable request to this gateway because its owner is gone.

    Attributes:
        key: Tuple (account, request id).
        header: Encoded request header as it was committed.
        generation: Highest generation number that control has recorded.
    """

    __slots__ = ("key", "header", "generation")


class RequestFound(Message):
    """Outcome of `FindRequest`.

    Attributes:
        key: Tuple (account, request id).
        header: Encoded request header as it was committed, or None if control has no such request.
        generation: Highest generation number that control has recorded.
        failure: A `codes.Failure` if control could not be reached, else None.
        live_owner: Holder id of the gateway that owns the request, if that may be alive and is
            another one, else an empty string.
    """

    __slots__ = ("key", "header", "generation", "failure", "live_owner")


class GenerationClaimed(Message):
    """Outcome of `ClaimGeneration`: the generation number to use, or a `codes.Failure`."""

    __slots__ = ("key", "generation", "failure")


class Tick(Message):
    """Lets timers and periodic checks that are due run."""

    __slots__ = ()


class Drain(Message):
    """Starts to drain the gateway.

    It refuses new work only after `addresses.DRAIN_ACCEPT_SECONDS`, when the address lists that
    name it have expired.
    """

    __slots__ = ()


# Actions.


class SendJournal(Message):
    """Sends a `journal` message to a journal holder."""

    __slots__ = ("holder", "message")

    def __init__(self, holder, message):
        self.holder = holder
        self.message = message


class JournalReplies(Message):
    """Answers a `JournalRequest`."""

    __slots__ = ("token", "messages")


class OpenStream(Message):
    """Starts an attempt on an engine; `body` is the JSON object that the engine's API expects."""

    __slots__ = ("key", "attempt", "address", "body")


class ReattachStream(Message):
    """Resumes reading a running attempt over a new connection and closes the earlier one.

    Attributes:
        key: Tuple (account, request id).
        attempt: Attempt number.
        connection: Number of the new connection, as in `generation_messages.ReattachAttempt`.
        address: `ip:port` of the engine.
        attempt_id: Id by which the engine identifies the attempt.
        offset: Offset of the first requested token.
    """

    __slots__ = ("key", "attempt", "connection", "address", "attempt_id", "offset")


class CancelStream(Message):
    """Closes an attempt's connection and asks the engine to cancel it."""

    __slots__ = ("key", "attempt", "address", "attempt_id")


class CloseStream(Message):
    """Closes an attempt's connection without cancelling the attempt."""

    __slots__ = ("key", "attempt")


class ReaderTokens(Message):
    """Sends tokens to a reader.

    Attributes:
        key: Tuple (account, request id).
        reader: Reader id.
        name: First part of the event ids.
        generation: Generation number.
        offset: Offset of the first token.
        tokens: List of tokens.
    """

    __slots__ = ("key", "reader", "name", "generation", "offset", "tokens")

    def __init__(self, key, reader, name, generation, offset, tokens):
        self.key = key
        self.reader = reader
        self.name = name
        self.generation = generation
        self.offset = offset
        self.tokens = tokens


class ReaderGeneration(Message):
    """Announces to a reader the generation that its next tokens belong to.

    Attributes:
        key: Tuple (account, request id).
        reader: Reader id.
        name: First part of the event ids.
        generation: Generation number.
        seed: Sampling seed of the generation.
    """

    __slots__ = ("key", "reader", "name", "generation", "seed")


class ReaderEnd(Message):
    """Ends a reader's response as complete, with the offset after its last token."""

    __slots__ = ("key", "reader", "name", "final_offset")


class ReaderFail(Message):
    """Ends a reader's response with a result code."""

    __slots__ = ("reader", "code", "message")


class CommitRequest(Message):
    """Asks control to store a durable request before the request is accepted."""

    __slots__ = ("key", "header")


class FindRequest(Message):
    """Asks control for a durable request of which no journal was found at other gateways."""

    __slots__ = ("key",)


class ClaimGeneration(Message):
    """Asks control for a new generation number of a durable request, by compare-and-set.

    Attributes:
        key: Tuple (account, request id).
        expected: Generation number that the compare-and-set expects to find.
    """

    __slots__ = ("key", "expected")


class FinishRequest(Message):
    """Lets control delete a durable request that has ended."""

    __slots__ = ("key",)


class Count(Message):
    """Adds each amount to the counter of that name."""

    __slots__ = ("amount_by_name",)


class Note(Message):
    """Adds an event called `name` to the trace span of a request; the name `OK` ends the span."""

    __slots__ = ("key", "name")
