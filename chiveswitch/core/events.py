"""Splits a target's event stream into complete events, each returned once and in order of id."""

from chiveswitch.core import memory_budget

SEPARATOR = b"\n\n"
# Most digits of an event id; the time to parse a number grows with the square of its length.
MAX_ID_DIGITS = 18
# Largest size of an event, and of one while the process holds too much.
MAX_EVENT_BYTES = 256 * 1024
SHORT_MAX_EVENT_BYTES = 16 * 1024
# Most bytes in a row of comments and blank lines.
MAX_FILLER_BYTES = 64 * 1024
# Most bytes in a row of events that the caller already has.
MAX_REPEATED_BYTES = 1024 * 1024


class EventBuffer:
    """Splits a stream into complete events and drops those that the caller already has.

    Attributes:
        last_id: Id of the last event that the caller has, or None. Events up to it are dropped, and
            the next one must have the following id.
        fault: Reason why the stream cannot be used any further, or an empty string.
    """

    __slots__ = (
        "last_id",
        "fault",
        "_partial_event",
        "_max_bytes",
        "_filler_bytes",
        "_repeated_bytes",
        "_account",
    )

    def __init__(
        self,
        last_id: int | None,
        max_bytes: int = MAX_EVENT_BYTES,
        budget: memory_budget.MemoryBudget | None = None,
    ):
        self.last_id = last_id
        self.fault = ""
        self._partial_event = b""
        self._max_bytes = max_bytes
        # Bytes of comments and blank lines, and of repeated events, since the last new event.
        self._filler_bytes = 0
        self._repeated_bytes = 0
        self._account = (budget or memory_budget.MemoryBudget()).open_account()

    def restart(self):
        """Discards an incomplete event and the fault, before another target's stream begins."""
        self._keep(b"")
        self.fault = ""
        self._filler_bytes = self._repeated_bytes = 0

    def _keep(self, partial_event):
        self._partial_event = partial_event
        self._account.update(len(partial_event))

    @property
    def is_between_events(self) -> bool:
        """Whether no incomplete event is buffered."""
        return not self._partial_event.strip()

    def feed(self, chunk: bytes) -> tuple[bytes, int]:
        """Adds bytes of the stream.

        Returns:
            The new complete events, concatenated, and their number. After a `fault` no further
            events are returned.
        """
        if self.fault:
            return b"", 0
        data = self._partial_event + chunk
        *blocks, partial_event = data.split(SEPARATOR)
        self._keep(partial_event)
        is_short = self._account.budget.is_short
        if len(partial_event) > (SHORT_MAX_EVENT_BYTES if is_short else self._max_bytes):
            self.fault = "an event is too large"
            self._keep(b"")
        complete_events = []
        for block in blocks:
            if not block or is_comment(block):
                self._filler_bytes += len(block) + len(SEPARATOR)
                if self._filler_bytes > MAX_FILLER_BYTES:
                    self.fault = f"{self._filler_bytes} bytes of comments without an event"
                    break
                continue
            event_id = parse_event_id(block)
            if event_id is None:
                self.fault = "an event has no id"
                break
            if self.last_id is not None and event_id <= self.last_id:
                self._repeated_bytes += len(block) + len(SEPARATOR)
                if self._repeated_bytes > MAX_REPEATED_BYTES:
                    self.fault = f"{self._repeated_bytes} bytes of events were sent before"
                    break
                continue
            if self.last_id is not None and event_id != self.last_id + 1:
                self.fault = f"event {event_id} follows event {self.last_id}"
                break
            self.last_id = event_id
            self._filler_bytes = self._repeated_bytes = 0
            complete_events.append(block + SEPARATOR)
        return b"".join(complete_events), len(complete_events)


def is_comment(block: bytes) -> bool:
    """Returns whether a block holds only comments, which engines may send to keep a stream open."""
    return all(line.startswith(b":") or not line for line in block.split(b"\n"))


def parse_event_id(block: bytes) -> int | None:
    """Returns the number in the id line of an event, or None."""
    for line in block.split(b"\n"):
        if not line.startswith(b"id:"):
            continue
        text = line[3:].strip()
        return int(text) if text.isdigit() and len(text) <= MAX_ID_DIGITS else None
    return None
