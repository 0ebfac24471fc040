"""Encodes server-sent events and decodes them incrementally from chunks of bytes."""


class Event:
    """One server-sent event.

    Attributes:
        name: Event name; `message` if the stream gives none, `comment` for a comment line.
        data: Data text.
        event_id: The event's id, or an empty string.
    """

    __slots__ = ("name", "data", "event_id")

    def __init__(self, name: str, data: str, event_id: str = ""):
        self.name = name
        self.data = data
        self.event_id = event_id


HEARTBEAT = b":\n\n"


def encode(name: str, data: bytes, event_id: str = "") -> bytes:
    """Returns the bytes of an event.

    Args:
        name: Event name.
        data: Data text as UTF-8, without line breaks.
        event_id: The event's id, or an empty string for none.
    """
    id_line = f"id: {event_id}\n" if event_id else ""
    return f"{id_line}event: {name}\ndata: ".encode() + data + b"\n\n"


class Decoder:
    """Splits a byte stream into events, independently of the boundaries of its chunks.

    Attributes:
        max_bytes: Maximum size of an incomplete event.
    """

    __slots__ = ("_partial_event", "max_bytes")

    def __init__(self, max_bytes: int = 4 * 1024 * 1024):
        self._partial_event = b""
        self.max_bytes = max_bytes

    def feed(self, chunk: bytes) -> list:
        """Adds a chunk and returns the events that it completes.

        Raises:
            ValueError: An incomplete event is larger than `max_bytes`.
        """
        data = self._partial_event + chunk
        *blocks, self._partial_event = data.split(b"\n\n")
        if len(self._partial_event) > self.max_bytes:
            raise ValueError(f"an event is larger than {self.max_bytes} bytes")
        return [_parse(block) for block in blocks if block]


def _parse(block: bytes) -> Event:
    name, data, event_id = "message", [], ""
    if block.startswith(b":"):
        return Event("comment", block[1:].decode(errors="replace").strip())
    for line in block.decode(errors="replace").split("\n"):
        field, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if field == "event":
            name = value
        elif field == "data":
            data.append(value)
        elif field == "id":
            event_id = value
    return Event(name, "\n".join(data), event_id)
