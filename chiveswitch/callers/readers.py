"""Buffers between a generation and the HTTP responses of the callers that read it."""

import asyncio
import itertools

import orjson

from chiveswitch.core import clock, codes, sse

HEARTBEAT_SECONDS = 0.25
# The position that a caller has read is reported once per this many bytes. It must stay well below
# the 64 KB that may be delivered to a reader and not yet be read (`max_unread_bytes`).
READ_REPORT_BYTES = 8192
_next_reader_id = itertools.count(1)


class Reader:
    """The response to one caller. The gateway's task fills it and the HTTP task drains it.

    Attributes:
        reader_id: Id, unique within this process.
        key: Tuple (account, request id).
        streamed: Whether tokens are sent as events; otherwise the response is one JSON object.
        is_first_send: Whether the caller states that it never sent the request before.
        opened: Future that resolves to None once the response has started, or to the
            `codes.Failure` that refused the request.
        pushed_at: Time of the last chunk, in seconds of CLOCK_BOOTTIME.
    """

    __slots__ = (
        "reader_id",
        "key",
        "streamed",
        "is_first_send",
        "opened",
        "pushed_at",
        "_chunks",
        "_is_finished",
        "_wake_event",
        "_position",
        "_unreported_bytes",
        "_json_body",
        "_on_read",
        "_on_disconnect",
        "_http_task",
    )

    def __init__(self, key, streamed: bool, on_read, on_disconnect, is_first_send=True):
        self.reader_id = next(_next_reader_id)
        self.key = key
        self.streamed = streamed
        self.is_first_send = is_first_send
        self.opened = asyncio.get_running_loop().create_future()
        self.pushed_at = clock.now()
        self._chunks = []
        self._is_finished = False
        self._wake_event = asyncio.Event()
        self._position = (0, 0)
        self._unreported_bytes = 0
        self._json_body = {"generation": "", "seed": None, "tokens": []}
        self._on_read = on_read
        self._on_disconnect = on_disconnect
        self._http_task = None

    def send_generation(self, name: str, seed: int):
        """Sends the name and the sampling seed of the generation that the next tokens belong to."""
        if self.streamed:
            data = orjson.dumps({"generation": name, "seed": seed})
            self._push(sse.encode("generation", data, f"{name}:0"))
        else:
            self._json_body.update(generation=name, seed=seed, tokens=[])
            self._mark_opened()

    def send_tokens(self, name: str, generation: int, offset: int, tokens: list):
        """Sends tokens of a generation.

        Args:
            name: The generation's name, which becomes part of the event id.
            generation: The generation's number, for the reports of the position read.
            offset: Offset of the first token.
            tokens: The tokens.
        """
        end = offset + len(tokens)
        self._position = (generation, end)
        if not self.streamed:
            self._json_body["tokens"].extend(tokens)
            return
        data = orjson.dumps({"o": offset, "t": tokens})
        self._push(sse.encode("tokens", data, f"{name}:{end}"))

    def send_end(self, name: str, final_offset: int):
        """Ends the response of a complete generation."""
        if self.streamed:
            data = orjson.dumps({"final_offset": final_offset})
            self._push(sse.encode("end", data, f"{name}:{final_offset}"))
        else:
            self._json_body["final_offset"] = final_offset
            self._push(orjson.dumps(self._json_body))
        self._finish()

    def fail(self, code: codes.Code, message: str):
        """Ends the response with an error; before its start, the error becomes the HTTP status."""
        if not self.opened.done():
            self.opened.set_result(codes.Failure(code, message))
            self._finish()
            return
        data = orjson.dumps(codes.to_json(code, message, self.is_first_send))
        self._push(sse.encode("error", data) if self.streamed else data)
        self._finish()
        if code is codes.Code.SLOW_READER and self._http_task is not None:
            # The HTTP task is blocked on a socket from which the caller reads nothing.
            self._http_task.cancel()

    def send_heartbeat(self, now: float):
        """Sends a heartbeat if nothing was sent for `HEARTBEAT_SECONDS`."""
        if (
            self.opened.done()
            and not self._is_finished
            and now - self.pushed_at >= HEARTBEAT_SECONDS
        ):
            self._push(sse.HEARTBEAT if self.streamed else b" ")

    def _mark_opened(self):
        if not self.opened.done():
            self.opened.set_result(None)

    def _push(self, chunk):
        self._mark_opened()
        self._chunks.append(chunk)
        self.pushed_at = clock.now()
        self._wake_event.set()

    def _finish(self):
        self._is_finished = True
        self._wake_event.set()

    async def body(self):
        """Yields the bytes of the response; each item joins all chunks that are pending."""
        self._http_task = asyncio.current_task()
        try:
            while True:
                if not self._chunks:
                    if self._is_finished:
                        return
                    self._wake_event.clear()
                    await self._wake_event.wait()
                    continue
                data = b"".join(self._chunks)
                position = self._position
                self._chunks.clear()
                yield data
                self._unreported_bytes += len(data)
                if self._unreported_bytes >= READ_REPORT_BYTES:
                    self._unreported_bytes = 0
                    self._on_read(self, position)
        finally:
            self._is_finished = True
            self._on_disconnect(self)
