"""Numbered result codes. Each states whether the request ran and whether a retry makes sense."""

import enum

import expression


class RunStatus(enum.Enum):
    """Whether the request was executed, as far as the sender of the result can tell."""

    RUN = "run"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class RetryAdvice(enum.Enum):
    """How a caller should react to a result."""

    NO = "no"
    LATER = "later"
    SAME_KEY = "same_key"
    OTHER_ADDRESS = "other_address"


class Code(enum.IntEnum):
    """Result codes, as listed in docs/result-codes.md."""

    OK = 1000
    BAD_REQUEST = 2001
    BODY_TOO_LARGE = 2002
    UNAUTHENTICATED = 2003
    SERVICE_UNKNOWN = 2004
    NOT_PERMITTED = 2005
    KEY_REQUIRED = 2006
    KEY_REUSED = 2007
    REQUEST_UNKNOWN = 2008
    ACCOUNT_LIMIT = 3001
    QUEUE_FULL = 3002
    WAIT_EXPIRED = 3003
    NO_TARGET = 3004
    BUNDLE_STALE = 3005
    DRAINING = 3006
    CONTROL_UNAVAILABLE = 3007
    RETRY_BUDGET_SPENT = 3008
    VIEW_INCOMPLETE = 3009
    PROMPT_QUARANTINED = 3010
    TARGETS_LIMITED = 3011
    TARGETS_PAUSED = 3012
    MEMORY_SHORT = 3013
    SERVICE_OVERLOADED = 3014
    MAY_HAVE_RUN = 4001
    IN_PROGRESS = 4002
    OWNERSHIP_LOST = 4003
    JOURNAL_STALE = 4004
    JOURNAL_UNAVAILABLE = 4005
    CANCELLED = 4006
    SLOW_READER = 4007
    TARGET_FAILED = 4008
    INTERNAL = 5001
    BUNDLE_INVALID = 6001
    VERSION_CONFLICT = 6002
    NOT_APPROVED = 6003
    APPROVER_IS_WRITER = 6004
    BAD_SIGNATURE = 6005
    STALE_SERIAL = 6006
    NOT_LEADER = 6007
    OPERATION_REUSED = 6008
    BUNDLE_UNKNOWN = 6009
    MEMBER_CHANGE_REFUSED = 6010
    FENCED = 6011
    ROLLOUT_CONFLICT = 6012
    FRAME_INVALID = 7001
    FRAME_TOO_LARGE = 7002
    VERSION_UNSUPPORTED = 7003
    LOG_CORRUPT = 7004
    DISK_FULL = 7005
    LINK_TIMEOUT = 7006
    LINK_CLOSED = 7007
    EPOCH_SUPERSEDED = 7008
    SETTING_INVALID = 8001


class Meaning:
    """Semantics of a code for a caller.

    Attributes:
        run: Whether the request was executed.
        retry: What the caller may do next.
        http_status: Status of the HTTP response that carries the code.
    """

    __slots__ = ("run", "retry", "http_status")

    def __init__(self, run: RunStatus, retry: RetryAdvice, http_status: int):
        self.run = run
        self.retry = retry
        self.http_status = http_status


MEANING_BY_CODE = {
    Code.OK: Meaning(RunStatus.RUN, RetryAdvice.NO, 200),
    Code.BAD_REQUEST: Meaning(RunStatus.NOT_RUN, RetryAdvice.NO, 400),
    Code.BODY_TOO_LARGE: Meaning(RunStatus.NOT_RUN, RetryAdvice.NO, 413),
    Code.UNAUTHENTICATED: Meaning(RunStatus.NOT_RUN, RetryAdvice.NO, 401),
    Code.SERVICE_UNKNOWN: Meaning(RunStatus.NOT_RUN, RetryAdvice.NO, 404),
    Code.NOT_PERMITTED: Meaning(RunStatus.NOT_RUN, RetryAdvice.NO, 403),
    Code.KEY_REQUIRED: Meaning(RunStatus.NOT_RUN, RetryAdvice.NO, 400),
    Code.KEY_REUSED: Meaning(RunStatus.NOT_RUN, RetryAdvice.NO, 409),
    Code.REQUEST_UNKNOWN: Meaning(RunStatus.UNKNOWN, RetryAdvice.NO, 404),
    Code.ACCOUNT_LIMIT: Meaning(RunStatus.NOT_RUN, RetryAdvice.LATER, 429),
    Code.QUEUE_FULL: Meaning(RunStatus.NOT_RUN, RetryAdvice.LATER, 503),
    Code.WAIT_EXPIRED: Meaning(RunStatus.NOT_RUN, RetryAdvice.LATER, 503),
    Code.NO_TARGET: Meaning(RunStatus.NOT_RUN, RetryAdvice.LATER, 503),
    Code.BUNDLE_STALE: Meaning(RunStatus.NOT_RUN, RetryAdvice.OTHER_ADDRESS, 503),
    Code.DRAINING: Meaning(RunStatus.NOT_RUN, RetryAdvice.OTHER_ADDRESS, 503),
    Code.CONTROL_UNAVAILABLE: Meaning(RunStatus.NOT_RUN, RetryAdvice.LATER, 503),
    Code.RETRY_BUDGET_SPENT: Meaning(RunStatus.UNKNOWN, RetryAdvice.LATER, 503),
    Code.VIEW_INCOMPLETE: Meaning(RunStatus.NOT_RUN, RetryAdvice.OTHER_ADDRESS, 503),
    Code.PROMPT_QUARANTINED: Meaning(RunStatus.NOT_RUN, RetryAdvice.LATER, 503),
    Code.TARGETS_LIMITED: Meaning(RunStatus.NOT_RUN, RetryAdvice.LATER, 503),
    Code.TARGETS_PAUSED: Meaning(RunStatus.NOT_RUN, RetryAdvice.LATER, 503),
    Code.MEMORY_SHORT: Meaning(RunStatus.NOT_RUN, RetryAdvice.LATER, 503),
    Code.SERVICE_OVERLOADED: Meaning(RunStatus.NOT_RUN, RetryAdvice.LATER, 503),
    Code.MAY_HAVE_RUN: Meaning(RunStatus.UNKNOWN, RetryAdvice.SAME_KEY, 504),
    Code.IN_PROGRESS: Meaning(RunStatus.UNKNOWN, RetryAdvice.SAME_KEY, 409),
    Code.OWNERSHIP_LOST: Meaning(RunStatus.UNKNOWN, RetryAdvice.OTHER_ADDRESS, 409),
    Code.JOURNAL_STALE: Meaning(RunStatus.UNKNOWN, RetryAdvice.OTHER_ADDRESS, 409),
    Code.JOURNAL_UNAVAILABLE: Meaning(RunStatus.UNKNOWN, RetryAdvice.SAME_KEY, 503),
    Code.CANCELLED: Meaning(RunStatus.UNKNOWN, RetryAdvice.NO, 410),
    Code.SLOW_READER: Meaning(RunStatus.UNKNOWN, RetryAdvice.SAME_KEY, 408),
    Code.TARGET_FAILED: Meaning(RunStatus.UNKNOWN, RetryAdvice.SAME_KEY, 502),
    Code.INTERNAL: Meaning(RunStatus.UNKNOWN, RetryAdvice.SAME_KEY, 500),
    Code.BUNDLE_INVALID: Meaning(RunStatus.NOT_RUN, RetryAdvice.NO, 422),
    Code.VERSION_CONFLICT: Meaning(RunStatus.NOT_RUN, RetryAdvice.NO, 409),
    Code.NOT_APPROVED: Meaning(RunStatus.NOT_RUN, RetryAdvice.NO, 409),
    Code.APPROVER_IS_WRITER: Meaning(RunStatus.NOT_RUN, RetryAdvice.NO, 403),
    Code.BAD_SIGNATURE: Meaning(RunStatus.NOT_RUN, RetryAdvice.NO, 403),
    Code.STALE_SERIAL: Meaning(RunStatus.NOT_RUN, RetryAdvice.NO, 409),
    Code.NOT_LEADER: Meaning(RunStatus.NOT_RUN, RetryAdvice.OTHER_ADDRESS, 503),
    Code.OPERATION_REUSED: Meaning(RunStatus.NOT_RUN, RetryAdvice.NO, 409),
    Code.BUNDLE_UNKNOWN: Meaning(RunStatus.NOT_RUN, RetryAdvice.NO, 404),
    Code.MEMBER_CHANGE_REFUSED: Meaning(RunStatus.NOT_RUN, RetryAdvice.LATER, 409),
    Code.FENCED: Meaning(RunStatus.NOT_RUN, RetryAdvice.NO, 409),
    Code.ROLLOUT_CONFLICT: Meaning(RunStatus.NOT_RUN, RetryAdvice.NO, 409),
    Code.FRAME_INVALID: Meaning(RunStatus.NOT_RUN, RetryAdvice.NO, 400),
    Code.FRAME_TOO_LARGE: Meaning(RunStatus.NOT_RUN, RetryAdvice.NO, 413),
    Code.VERSION_UNSUPPORTED: Meaning(RunStatus.NOT_RUN, RetryAdvice.NO, 400),
    Code.LOG_CORRUPT: Meaning(RunStatus.UNKNOWN, RetryAdvice.NO, 500),
    Code.DISK_FULL: Meaning(RunStatus.UNKNOWN, RetryAdvice.LATER, 507),
    Code.LINK_TIMEOUT: Meaning(RunStatus.UNKNOWN, RetryAdvice.LATER, 504),
    Code.LINK_CLOSED: Meaning(RunStatus.UNKNOWN, RetryAdvice.LATER, 502),
    Code.EPOCH_SUPERSEDED: Meaning(RunStatus.UNKNOWN, RetryAdvice.OTHER_ADDRESS, 409),
    Code.SETTING_INVALID: Meaning(RunStatus.NOT_RUN, RetryAdvice.NO, 400),
}


class Failure:
    """An error that is returned as a value: a result code and a message.

    Attributes:
        code: The result code.
        message: One sentence that says what failed.
    """

    __slots__ = ("code", "message")

    def __init__(self, code: Code, message: str):
        self.code = code
        self.message = message

    def __repr__(self):
        return f"Failure({self.code.name}, {self.message!r})"

    def __eq__(self, other):
        return (
            isinstance(other, Failure) and self.code == other.code and self.message == other.message
        )

    __hash__ = None


def failure(code: Code, message: str) -> expression.Result:
    """Returns an `expression.Error` that holds a `Failure` of the given code and message."""
    return expression.Error(Failure(code, message))


def ok(value) -> expression.Result:
    """Returns an `expression.Ok` of a value."""
    return expression.Ok(value)


# Refusals for lack of capacity. Their status NOT_RUN applies to the refused submission only, not to
# earlier submissions of the same request.
REFUSAL_CODES = range(3000, 4000)


def to_json(code: Code, message: str, is_first_send: bool = True) -> dict:
    """Returns the JSON object that an HTTP error response carries.

    Args:
        code: The result code.
        message: One sentence.
        is_first_send: Whether the caller states that it never sent the request before. If it did,
            a refusal does not show whether the earlier submission ran, so the status is UNKNOWN.
    """
    meaning = MEANING_BY_CODE[code]
    run = meaning.run
    if code in REFUSAL_CODES and not is_first_send:
        run = RunStatus.UNKNOWN
    return {
        "code": int(code),
        "name": code.name,
        "run": run.value,
        "retry": meaning.retry.value,
        "message": message,
    }
