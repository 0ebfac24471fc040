"""Server-sent events: encoding, and an incremental decoder for a stream of byte chunks."""


class Event:
    """One server-sent event.

    Attributes:
        name: Event name, `message` if none was given, `comment` for a comment line.
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
    """Returns the bytes of an event. `data` holds no line break."""
    id_line = f"id: {event_id}\n" if event_id else ""
    return f"{id_line}event: {name}\ndata: ".encode() + data + b"\n\n"


class Decoder:
    """Splits a byte stream into events, however the stream is cut into chunks."""

    __slots__ = ("_rest", "max_bytes")

    def __init__(self, max_bytes: int = 4 * 1024 * 1024):
        self._rest = b""
        self.max_bytes = max_bytes

    def feed(self, chunk: bytes) -> list:
        """Takes in a chunk and returns the events that it completed.

        Raises:
            ValueError: An event is larger than `max_bytes`.
        """
        data = self._rest + chunk
        *blocks, self._rest = data.split(b"\n\n")
        if len(self._rest) > self.max_bytes:
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
