"""Readers: the connections of callers that wait for a generation."""

import asyncio
import itertools

import orjson

from chiveswitch.core import clock, codes, sse

HEARTBEAT_SECONDS = 0.25
# Feedback on what a reader took is sent once per this many bytes; the bound is 64 KB.
READ_REPORT_BYTES = 8192
_ids = itertools.count(1)


class Reader:
    """One caller's connection. The gateway's task pushes to it and the HTTP task drains it.

    Attributes:
        reader_id: Id, unique in this process.
        key: Tuple (account, request id).
        streamed: Whether tokens are sent as events; else the answer is one JSON object.
        is_first_send: Whether the caller says that it never sent the request before.
        opened: Future of None once the answer has begun, or of the `codes.Failure`.
        pushed_at: Time of the last push, in seconds.
    """

    __slots__ = (
        "reader_id",
        "key",
        "streamed",
        "is_first_send",
        "opened",
        "pushed_at",
        "_chunks",
        "_done",
        "_wake",
        "_position",
        "_unreported",
        "_whole",
        "_on_read",
        "_on_left",
        "_task",
    )

    def __init__(self, key, streamed: bool, on_read, on_left, is_first_send=True):
        self.reader_id = next(_ids)
        self.key = key
        self.streamed = streamed
        self.is_first_send = is_first_send
        self.opened = asyncio.get_running_loop().create_future()
        self.pushed_at = clock.now()
        self._chunks = []
        self._done = False
        self._wake = asyncio.Event()
        self._position = (0, 0)
        self._unreported = 0
        self._whole = {"generation": "", "seed": None, "tokens": []}
        self._on_read = on_read
        self._on_left = on_left
        self._task = None

    def send_generation(self, name: str, seed: int):
        """Tells the caller which generation follows."""
        if self.streamed:
            data = orjson.dumps({"generation": name, "seed": seed})
            self._push(sse.encode("generation", data, f"{name}:0"))
        else:
            self._whole.update(generation=name, seed=seed, tokens=[])
            self._open()

    def send_tokens(self, name: str, generation: int, offset: int, tokens: list):
        """Sends tokens."""
        end = offset + len(tokens)
        self._position = (generation, end)
        if not self.streamed:
            self._whole["tokens"].extend(tokens)
            return
        data = orjson.dumps({"o": offset, "t": tokens})
        self._push(sse.encode("tokens", data, f"{name}:{end}"))

    def send_end(self, name: str, final_offset: int):
        """Ends a complete answer."""
        if self.streamed:
            data = orjson.dumps({"final_offset": final_offset})
            self._push(sse.encode("end", data, f"{name}:{final_offset}"))
        else:
            self._whole["final_offset"] = final_offset
            self._push(orjson.dumps(self._whole))
        self._finish()

    def fail(self, code: codes.Code, message: str):
        """Ends the answer with a result code."""
        if not self.opened.done():
            self.opened.set_result(codes.Failure(code, message))
            self._finish()
            return
        data = orjson.dumps(codes.to_json(code, message, self.is_first_send))
        self._push(sse.encode("error", data) if self.streamed else data)
        self._finish()
        if code is codes.Code.SLOW_READER and self._task is not None:
            # The HTTP task waits for a socket that takes nothing.
            self._task.cancel()

    def send_heartbeat(self, now: float):
        """Sends a heartbeat if nothing was sent for the heartbeat's interval."""
        if self.opened.done() and not self._done and now - self.pushed_at >= HEARTBEAT_SECONDS:
            self._push(sse.HEARTBEAT if self.streamed else b" ")

    def _open(self):
        if not self.opened.done():
            self.opened.set_result(None)

    def _push(self, chunk):
        self._open()
        self._chunks.append(chunk)
        self.pushed_at = clock.now()
        self._wake.set()

    def _finish(self):
        self._done = True
        self._wake.set()

    async def body(self):
        """Yields the bytes of the response, all that one wake-up brought at a time."""
        self._task = asyncio.current_task()
        try:
            while True:
                if not self._chunks:
                    if self._done:
                        return
                    self._wake.clear()
                    await self._wake.wait()
                    continue
                data = b"".join(self._chunks)
                position = self._position
                self._chunks.clear()
                yield data
                self._unreported += len(data)
                if self._unreported >= READ_REPORT_BYTES:
                    self._unreported = 0
                    self._on_read(self, position)
        finally:
            self._done = True
            self._on_left(self)
