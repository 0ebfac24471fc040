"""Links between own processes: a server that answers frames, and a client link that reconnects."""

import asyncio
import inspect
import logging

import expression

from chiveswitch.core import clock, codes
from chiveswitch.peers import frames, kinds

log = logging.getLogger("chiveswitch.peers")

CONNECT_TIMEOUT_SECONDS = 0.5
PING_INTERVAL_SECONDS = 0.3
# For links whose calls show by themselves whether the peer lives.
NO_PING_SECONDS = 3600.0
# A link from which nothing came for this long is closed; open connections can go silent for good.
SILENCE_LIMIT_SECONDS = 1.0
RECONNECT_PAUSE_SECONDS = 0.1
MAX_QUEUED_FRAMES = 10_000
CLOSE_TIMEOUT_SECONDS = 1.0


class Server:
    """Answers requests of other processes.

    A handler takes (payload bytes, trace context) and returns `expression.Ok(bytes)`, an error
    `Result`, or a coroutine of one.

    Attributes:
        handlers_by_kind: The handler of each message kind.
    """

    __slots__ = (
        "handlers_by_kind",
        "_server",
        "_writers",
        "_tasks",
        "_serving",
        "bytes_in",
        "bytes_out",
    )

    def __init__(self, handlers_by_kind: dict):
        self.handlers_by_kind = handlers_by_kind
        self._server = None
        self._writers = set()
        self._tasks = set()
        self._serving = set()
        self.bytes_in = 0
        self.bytes_out = 0

    async def start(self, host: str, port: int):
        """Starts to listen. Raises OSError if the address cannot be bound."""
        self._server = await asyncio.start_server(self._serve, host, port, limit=1 << 20)

    async def close(self):
        """Stops listening and closes all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.close()
        # Tasks that are still waiting when the event loop ends are logged as errors.
        if self._serving:
            await asyncio.wait(self._serving, timeout=CLOSE_TIMEOUT_SECONDS)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        self._serving.add(asyncio.current_task())
        try:
            while True:
                result = await frames.read_frame(reader)
                if result.is_error():
                    if result.error.code != codes.Code.LINK_CLOSED:
                        log.warning("peers: closed a connection: %s", result.error.message)
                    break
                envelope = result.ok
                self.bytes_in += len(envelope.payload) + 40
                handler = self.handlers_by_kind.get(envelope.kind)
                if envelope.kind == kinds.Kind.PING:
                    self._reply(writer, envelope, expression.Ok(b""))
                    continue
                if handler is None:
                    self._reply(
                        writer,
                        envelope,
                        codes.failure(codes.Code.FRAME_INVALID, f"unknown kind {envelope.kind}"),
                    )
                    continue
                outcome = handler(envelope.payload, envelope.trace or "")
                if not (asyncio.isfuture(outcome) or inspect.iscoroutine(outcome)):
                    self._reply(writer, envelope, outcome)
                    continue
                task = asyncio.ensure_future(self._finish(writer, envelope, outcome))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        finally:
            self._writers.discard(writer)
            self._serving.discard(asyncio.current_task())
            writer.close()

    async def _finish(self, writer, envelope, outcome):
        try:
            result = await outcome
        # A handler's fault must reach the asker as a code and must not end the connection.
        except Exception as error:
            log.exception("peers: a handler failed")
            result = codes.failure(codes.Code.INTERNAL, repr(error))
        self._reply(writer, envelope, result)

    def _reply(self, writer, envelope, result):
        if writer.is_closing():
            return
        if result.is_error():
            code, payload = result.error.code, result.error.message.encode()
        else:
            code, payload = codes.Code.OK, result.ok
        frame = frames.encode_frame(
            frames.idl.Envelope(
                version=frames.WIRE_VERSION,
                kind=envelope.kind,
                request_id=envelope.request_id,
                is_reply=True,
                code=int(code),
                payload=payload,
                trace="",
            )
        )
        self.bytes_out += len(frame)
        writer.write(frame)


class Link:
    """A client's connection to one peer. One task owns the socket; callers talk to it by a queue.

    Attributes:
        address: `host:port` of the peer.
        heard_at: Time of the last frame from the peer, in seconds of the injected clock.
    """

    __slots__ = (
        "address",
        "heard_at",
        "bytes_out",
        "bytes_in",
        "_now",
        "_outbox",
        "_waiting_by_request_id",
        "_next_request_id",
        "_task",
        "_connected",
        "_wake",
        "_ping_interval",
        "_reset",
    )

    def __init__(self, address: str, now=clock.now, ping_interval: float = PING_INTERVAL_SECONDS):
        """Starts to connect.

        Args:
            address: `host:port` of the peer.
            now: Clock in seconds.
            ping_interval: Idle seconds after which the peer is asked for a sign of life.
        """
        self.address = address
        self._ping_interval = ping_interval
        self._reset = False
        self.heard_at = 0.0
        self.bytes_out = 0
        self.bytes_in = 0
        self._now = now
        self._outbox = []
        self._wake = asyncio.Event()
        self._waiting_by_request_id = {}
        self._next_request_id = 1
        self._connected = False
        self._task = asyncio.ensure_future(self._run())

    @property
    def connected(self) -> bool:
        """Whether the connection is open and not silent."""
        return self._connected

    async def close(self):
        """Closes the connection and fails all waiting calls."""
        self._task.cancel()
        self._fail_waiting(codes.Code.LINK_CLOSED, "the link was closed")

    def reset(self):
        """Drops the connection, which may be silent, and opens a new one."""
        if self._connected:
            self._reset = True
            self._wake.set()

    async def call(self, kind: int, payload: bytes, timeout: float, trace: str = ""):
        """Sends a request and waits for its reply.

        Args:
            kind: Message kind.
            payload: Encoded request.
            timeout: Seconds to wait for the reply.
            trace: Trace context to pass on.
        Returns:
            Ok with the reply's bytes, the peer's failure, LINK_TIMEOUT or LINK_CLOSED.
        """
        future = asyncio.get_running_loop().create_future()
        request_id = self.post(kind, payload, trace, future)
        if request_id is None:
            return codes.failure(codes.Code.LINK_CLOSED, "the link's queue is full")
        try:
            async with asyncio.timeout(timeout):
                return await future
        except TimeoutError:
            return codes.failure(codes.Code.LINK_TIMEOUT, f"no reply in {timeout} s")
        finally:
            self._waiting_by_request_id.pop(request_id, None)

    def post(self, kind: int, payload: bytes, trace: str = "", future=None):
        """Queues a request; `future`, if given, gets the `Result` of the reply.

        Returns:
            The request id, or None if the queue is full.
        """
        if len(self._outbox) >= MAX_QUEUED_FRAMES:
            return None
        request_id = self._next_request_id
        self._next_request_id += 1
        if future is not None:
            self._waiting_by_request_id[request_id] = future
        self._outbox.append(
            frames.encode_frame(
                frames.idl.Envelope(
                    version=frames.WIRE_VERSION,
                    kind=int(kind),
                    request_id=request_id,
                    is_reply=False,
                    code=0,
                    payload=payload,
                    trace=trace,
                )
            )
        )
        self._wake.set()
        return request_id

    def _fail_waiting(self, code, message):
        for future in self._waiting_by_request_id.values():
            if not future.done():
                future.set_result(codes.failure(code, message))
        self._waiting_by_request_id.clear()

    async def _run(self):
        host, _, port = self.address.rpartition(":")
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                    reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
            except (OSError, TimeoutError):
                # Requests to an unreachable peer fail at once, so that their callers can go on.
                self._outbox.clear()
                self._fail_waiting(codes.Code.LINK_CLOSED, f"cannot connect to {self.address}")
                await asyncio.sleep(RECONNECT_PAUSE_SECONDS)
                continue
            self._connected = True
            self._reset = False
            self.heard_at = self._now()
            receiver = asyncio.ensure_future(self._receive(reader))
            try:
                await self._send(writer, receiver)
            finally:
                self._connected = False
                receiver.cancel()
                if self._reset:
                    # What is queued for a silent peer would keep the socket open.
                    writer.transport.abort()
                writer.close()
                self._fail_waiting(codes.Code.LINK_CLOSED, f"lost {self.address}")

    async def _send(self, writer, receiver):
        while not receiver.done() and not self._reset:
            if self._outbox:
                # All frames of one wake-up go out in one write.
                data = b"".join(self._outbox)
                self._outbox.clear()
                self.bytes_out += len(data)
                writer.write(data)
            self._wake.clear()
            try:
                async with asyncio.timeout(self._ping_interval):
                    await self._wake.wait()
                continue
            except TimeoutError:
                pass
            if self._now() - self.heard_at > SILENCE_LIMIT_SECONDS:
                log.info("peers: the connection to %s went silent", self.address)
                return
            self.post(kinds.Kind.PING, b"")

    async def _receive(self, reader):
        while True:
            result = await frames.read_frame(reader)
            if result.is_error():
                self._wake.set()
                return
            envelope = result.ok
            self.heard_at = self._now()
            self.bytes_in += len(envelope.payload) + 40
            future = self._waiting_by_request_id.pop(envelope.request_id, None)
            if future is None or future.done():
                continue
            if envelope.code == codes.Code.OK:
                future.set_result(expression.Ok(envelope.payload))
                continue
            future.set_result(
                codes.failure(codes.Code(envelope.code), envelope.payload.decode(errors="replace"))
            )
