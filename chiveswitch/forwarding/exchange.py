"""Interface between the forwarded path and the adapter that maps a platform's HTTP headers."""


class CallerRequest:
    """Decoded headers of a caller's request.

    Attributes:
        request_id: Id of this attempt of the caller; an empty string if it sent none.
        account_key: Authentication key of the client account, or None.
        wait_s: Seconds for which the caller waits for the response, or None if not stated.
        last_event_id: Id of the last event that the caller received, or None.
        prompt_tokens: Tokens of the prompt, 0 if unknown.
        max_response_tokens: Largest number of tokens of the response, 0 if unknown.
        model: Name of the model, or an empty string.
        prompt_parts: Ids of the parts of the prompt in order. Requests share parts, except for the
            last one.
        session: Id of the last part of the prompt, which only this request or the requests of its
            session contain; it serves as the session's id.
        forwarded_headers: (name, value) pairs that are sent to targets unchanged.
    """

    __slots__ = (
        "request_id",
        "account_key",
        "wait_s",
        "last_event_id",
        "prompt_tokens",
        "max_response_tokens",
        "model",
        "prompt_parts",
        "session",
        "forwarded_headers",
    )

    def __init__(self):
        self.request_id = ""
        self.account_key = None
        self.wait_s = None
        self.last_event_id = None
        self.prompt_tokens = 0
        self.max_response_tokens = 0
        self.model = ""
        self.prompt_parts = []
        self.session = ""
        self.forwarded_headers = []


class SendOptions:
    """Values that the gateway adds to a request for one target.

    Attributes:
        target_id: Id of the intended target; a target with another id rejects the request.
        remaining_s: Seconds until the request's deadline.
        account: Name of the client account, or None.
        last_event_id: Id of the event after which a stream continues, or None.
        copy_address: Address of the engine that receives a copy of the run's memory as it grows,
            or an empty string.
        resume_reference: Reference of the copy from which the run continues, in the engines'
            notation, or an empty string.
        urgency: Order in which the target serves its requests, from 0 (first) to 9; None if it is
            not sent.
    """

    __slots__ = (
        "target_id",
        "remaining_s",
        "account",
        "last_event_id",
        "copy_address",
        "resume_reference",
        "urgency",
    )

    def __init__(self, target_id: str, remaining_s: float, account: str | None):
        self.target_id = target_id
        self.remaining_s = remaining_s
        self.account = account
        self.last_event_id = None
        self.copy_address = ""
        self.resume_reference = ""
        self.urgency = None


class ResponseInfo:
    """Decoded status and headers of a target's response.

    Attributes:
        not_run: Whether the target states that it did not run the request.
        is_misdirected: Whether another target now has the address.
        has_receipt: Whether the response bears a receipt of the target, as each of its successes
            does.
        load: (running, waiting) requests of the target, or None if not stated.
        slowdown: How long work takes at the target at this moment, 1.0 as usual and 2.0 twice as
            long, or None if not stated.
        rate_limit: Requests per second that the target takes from all gateways together, or None if
            the response names no limit.
        rate_limit_fault: Why a named limit cannot be read, or an empty string.
        is_leaving: Whether the target states that it is about to shut down.
        leaving_fault: Why such a statement cannot be read, or an empty string.
        pause_s: Seconds for which the target wants no requests of this gateway, 0 if not stated.
        pause_fault: Why a stated pause cannot be read, or an empty string.
    """

    __slots__ = (
        "not_run",
        "is_misdirected",
        "has_receipt",
        "load",
        "slowdown",
        "rate_limit",
        "rate_limit_fault",
        "is_leaving",
        "leaving_fault",
        "pause_s",
        "pause_fault",
    )

    def __init__(self, not_run: bool, is_misdirected: bool, load: tuple | None):
        self.not_run = not_run
        self.is_misdirected = is_misdirected
        self.has_receipt = False
        self.load = load
        self.slowdown = None
        self.rate_limit = None
        self.rate_limit_fault = ""
        self.is_leaving = False
        self.leaving_fault = ""
        self.pause_s = 0.0
        self.pause_fault = ""


class Dialect:
    """Encodes and decodes a platform's HTTP headers. Each adapter implements every method."""

    __slots__ = ()

    def decode_request(self, request) -> CallerRequest:
        """Decodes the headers of an `http_server.Request`."""
        raise NotImplementedError

    def identity_headers(self, caller: CallerRequest) -> list[tuple[str, str]]:
        """Returns the sorted (lower-case name, value) pairs that all attempts at a request share.

        They are the forwarded headers without those that may differ between two attempts.
        """
        raise NotImplementedError

    def encode_request(self, request, caller: CallerRequest, options: SendOptions) -> bytes:
        """Returns the complete request for a target, head and body."""
        raise NotImplementedError

    def copy_reference(self, address: str, run_id: str) -> str:
        """Returns the engines' reference of the copy of a run at the engine with an address."""
        raise NotImplementedError

    def encode_copy_request(self, run_id: str, source: str, holder: str) -> bytes:
        """Returns the request that makes an engine copy a run's memory to another engine.

        Args:
            run_id: Id of the run at the source.
            source: Address of the engine that executes the run.
            holder: Address of the engine that receives the copy.
        """
        raise NotImplementedError

    def encode_copy_release(self, reference: str) -> bytes:
        """Returns the request that makes the source of a requested copy free it."""
        raise NotImplementedError

    def copy_maker_address(self, reference: str) -> str:
        """Returns the address of the engine that made a requested copy."""
        raise NotImplementedError

    def decode_copy_response(self, response, source: str) -> str:
        """Returns the engines' reference of the copy, or an empty string if none was made."""
        raise NotImplementedError

    def request_id_header(self, caller: CallerRequest) -> tuple[str, str]:
        """Returns lower-case name and value of the header that identifies a response's request."""
        raise NotImplementedError

    def decode_response(self, response) -> ResponseInfo:
        """Decodes the status and headers of a `channel.Response`."""
        raise NotImplementedError

    def response_headers(self, response) -> list[tuple[str, str]]:
        """Returns the headers of a target's response that are forwarded to the caller."""
        raise NotImplementedError

    def refusal_headers(self, caller: CallerRequest, retry_after_s: float | None):
        """Returns the headers of a refusal that the gateway itself generates."""
        raise NotImplementedError
