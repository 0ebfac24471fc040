"""Whole events of a target's stream: each id once and in order, however the bytes arrive."""

SEPARATOR = b"\n\n"


class EventBuffer:
    """Splits a stream into whole events and drops those that the caller has.

    Attributes:
        last_id: Id of the last event that was handed out, or None.
        fault: Why the stream cannot be continued, or an empty string.
    """

    __slots__ = ("last_id", "fault", "_rest", "_max_bytes")

    def __init__(self, last_id: int | None, max_bytes: int = 1024 * 1024):
        self.last_id = last_id
        self.fault = ""
        self._rest = b""
        self._max_bytes = max_bytes

    def restart(self):
        """Drops a part of an event that another target's stream has left."""
        self._rest = b""
        self.fault = ""

    @property
    def is_between_events(self) -> bool:
        """Whether no part of an event waits for its rest."""
        return not self._rest.strip()

    def feed(self, chunk: bytes) -> tuple[bytes, int]:
        """Takes bytes of the stream.

        Returns:
            The whole new events, joined, and their number. After a `fault` nothing more is
            returned.
        """
        if self.fault:
            return b"", 0
        data = self._rest + chunk
        if SEPARATOR not in data:
            self._rest = data
            if len(data) > self._max_bytes:
                self.fault = "an event is too large"
            return b"", 0
        *blocks, self._rest = data.split(SEPARATOR)
        whole = []
        for block in blocks:
            event_id = parse_event_id(block)
            if event_id is None:
                self.fault = "an event has no id"
                break
            if self.last_id is not None and event_id <= self.last_id:
                continue
            if self.last_id is not None and event_id != self.last_id + 1:
                self.fault = f"event {event_id} follows {self.last_id}"
                break
            self.last_id = event_id
            whole.append(block + SEPARATOR)
        return b"".join(whole), len(whole)


def parse_event_id(block: bytes) -> int | None:
    """Returns the number in the id line of an event, or None."""
    for line in block.split(b"\n"):
        if not line.startswith(b"id:"):
            continue
        text = line[3:].strip()
        return int(text) if text.isdigit() else None
    return None
