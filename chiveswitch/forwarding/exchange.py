"""What the forwarded path asks of the adapter that knows the header names of a platform."""


class CallerRequest:
    """What a caller's request says, decoded once.

    Attributes:
        request_id: Id of this attempt of the caller; an empty string if it gave none.
        key: Key of the client account, or None.
        wait_s: Seconds that the caller waits, or None.
        last_event_id: Id of the last event that the caller has, or None.
        prompt_tokens: Tokens of the prompt, 0 if unknown.
        response_tokens: Longest response in tokens, 0 if unknown.
        session: Last part of the prompt, which belongs to this request or its session.
        forwarded: (name, value) pairs that targets receive as they are.
    """

    __slots__ = (
        "request_id",
        "key",
        "wait_s",
        "last_event_id",
        "prompt_tokens",
        "response_tokens",
        "session",
        "forwarded",
    )

    def __init__(self):
        self.request_id = ""
        self.key = None
        self.wait_s = None
        self.last_event_id = None
        self.prompt_tokens = 0
        self.response_tokens = 0
        self.session = ""
        self.forwarded = []


class SendOptions:
    """What the gateway adds to a request for one target.

    Attributes:
        target_id: The target that is meant; any other one refuses.
        wait_s: Seconds that are left.
        account: Name of the client account, or None.
        last_event_id: Event after which a stream continues, or None.
        copy_address: Engine that receives a copy of the run's memory as it grows, or an empty
            string.
        memory_reference: How engines name the copy from which the run continues, or an empty
            string.
    """

    __slots__ = (
        "target_id",
        "wait_s",
        "account",
        "last_event_id",
        "copy_address",
        "memory_reference",
    )

    def __init__(self, target_id: str, wait_s: float, account: str | None):
        self.target_id = target_id
        self.wait_s = wait_s
        self.account = account
        self.last_event_id = None
        self.copy_address = ""
        self.memory_reference = ""


class Reply:
    """What a target's response says of the request.

    Attributes:
        not_run: Whether the target states that it did not run the request.
        is_other_target: Whether another target has the address.
        load: (running, waiting) of the target, or None.
    """

    __slots__ = ("not_run", "is_other_target", "load")

    def __init__(self, not_run: bool, is_other_target: bool, load: tuple | None):
        self.not_run = not_run
        self.is_other_target = is_other_target
        self.load = load


class Dialect:
    """The interface of a platform's HTTP headers. An adapter implements every method."""

    __slots__ = ()

    def decode_request(self, request) -> CallerRequest:
        """Decodes the headers of an `http_server.Request`."""
        raise NotImplementedError

    def encode_request(self, request, caller: CallerRequest, options: SendOptions) -> bytes:
        """Returns the whole request for a target."""
        raise NotImplementedError

    def copy_reference(self, address: str, run_id: str) -> str:
        """Returns how engines name the copy that an engine at an address gets of a run."""
        raise NotImplementedError

    def encode_copy_order(self, run_id: str, source: str, holder: str) -> bytes:
        """Returns the request that has an engine copy a run's memory to another engine.

        Args:
            run_id: Id of the run at the source.
            source: Address of the engine that runs it.
            holder: Address of the engine that gets the copy.
        """
        raise NotImplementedError

    def encode_copy_release(self, reference: str) -> bytes:
        """Returns the request that has the source of an ordered copy free it."""
        raise NotImplementedError

    def decode_copy_reply(self, response, source: str) -> str:
        """Returns how engines name the copy that was made, or an empty string if none was."""
        raise NotImplementedError

    def identity(self, caller: CallerRequest) -> tuple[str, str]:
        """Returns lower-case name and value of the header by which a response names the request."""
        raise NotImplementedError

    def decode_response(self, response) -> Reply:
        """Decodes the head of a `channel.Response`."""
        raise NotImplementedError

    def response_headers(self, response) -> list[tuple[str, str]]:
        """Returns the headers of a target's response that the caller receives."""
        raise NotImplementedError

    def refusal_headers(self, caller: CallerRequest, retry_after_s: float | None):
        """Returns the headers of an own refusal."""
        raise NotImplementedError
