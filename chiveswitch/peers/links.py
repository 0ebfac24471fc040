"""Connections between the system's processes: a request server and a reconnecting client link."""

import asyncio
import contextlib
import inspect
import logging
import math
import socket
import struct

import expression

from chiveswitch.core import clock, codes, connection_monitor, memory_budget
from chiveswitch.peers import frames, kinds, listening

log = logging.getLogger("chiveswitch.peers")

CONNECT_TIMEOUT_SECONDS = 0.5
PING_INTERVAL_SECONDS = 0.3
# Ping interval that disables pings. It is used for links on which a call is always pending, because
# the timeouts of these calls already detect a dead peer.
PING_DISABLED_SECONDS = math.inf
# Longest pause between two parts of a frame, and longest time for which a call waits for the rest
# of a frame in addition to its timeout.
PART_TIMEOUT_SECONDS = 0.7
MAX_TRANSFER_SECONDS = 20.0
RECONNECT_PAUSE_SECONDS = 0.1
MAX_QUEUED_FRAMES = 10_000
CLOSE_TIMEOUT_SECONDS = 1.0
# A server closes a connection on which no part of a request arrives for this long. Clients send at
# least a ping or a call that is held every few seconds, except while parts of a large reply arrive;
# beyond that, the time is longer than usual pauses.
IDLE_TIMEOUT_SECONDS = MAX_TRANSFER_SECONDS + 15.0
IDLE_CHECK_SECONDS = 1.0
# Shortest time in seconds between two log lines about connections closed for want of room.
EVICTION_LOG_SECONDS = 1.0
# Bytes that are read from a client ahead of the frame that is being decoded.
READ_AHEAD_BYTES = 64 * 1024
# Unsent bytes of replies above which no further request of a connection is read.
MAX_UNSENT_BYTES = 1024 * 1024
# Smallest bound of the size of a request's frame, in bytes, in a process with a budget. It is above
# the largest document of an operator.
MIN_MAX_FRAME_BYTES = 8 * 1024 * 1024


def _close_in_time(writer):
    """Closes a connection and discards what the peer does not accept in `CLOSE_TIMEOUT_SECONDS`.

    A plain close waits for the peer to accept the data in the write buffer, which a peer that hangs
    or is no longer reached never does.
    """

    def abort_if_open():
        # The transport can't be aborted once it has sent everything and closed itself.
        if writer.transport.get_write_buffer_size():
            writer.transport.abort()

    writer.close()
    if writer.transport.get_write_buffer_size():
        asyncio.get_running_loop().call_later(CLOSE_TIMEOUT_SECONDS, abort_if_open)


def _reset(writer):
    """Resets a connection that delivers nothing.

    Without a reset, the kernel goes on sending what it has buffered, and the peer could receive old
    requests long after those of the next connection.
    """
    sock = writer.get_extra_info("socket")
    # With a linger time of 0, closing the socket sends a reset. A closed one has no descriptor.
    if sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Client:
    """What a server knows of one open connection.

    Attributes:
        account: `memory_budget.Account` of the frame that is being read.
        heard_at: Time of the last part of a request, in seconds.
        frame_count: Number of frames that were read whole.
    """

    __slots__ = ("account", "heard_at", "frame_count")

    def __init__(self, account, now: float):
        self.account = account
        self.heard_at = now
        self.frame_count = 0


class Server:
    """Answers requests of other processes.

    A handler is called with (payload bytes, trace context) and returns `expression.Ok(bytes)`, an
    error `Result`, or a coroutine or future that yields one of these.

    Attributes:
        handler_by_kind: Handler function by message kind.
        bytes_in: Bytes received so far; 40 bytes are counted for the envelope of each frame.
        bytes_out: Bytes sent so far.
        evicted_count: Connections that were closed for want of memory or descriptors.
    """

    __slots__ = (
        "handler_by_kind",
        "evicted_count",
        "_server",
        "_client_by_writer",
        "_budget",
        "_is_bounded",
        "_max_frame_bytes",
        "_logged_at",
        "_idle_task",
        "_handler_tasks",
        "_connection_tasks",
        "bytes_in",
        "bytes_out",
    )

    def __init__(self, handler_by_kind: dict, budget: memory_budget.MemoryBudget | None = None):
        """Creates a server that has not started.

        Args:
            handler_by_kind: Handler function by message kind.
            budget: Budget of the process; None bounds neither memory nor connections.
        """
        self.handler_by_kind = handler_by_kind
        self.evicted_count = 0
        self._server = None
        # `Client` of each open connection.
        self._client_by_writer = {}
        self._budget = budget or memory_budget.MemoryBudget()
        self._is_bounded = budget is not None
        self._max_frame_bytes = frames.MAX_FRAME_BYTES
        if budget is not None:
            limit_bytes = budget.limit_by_kind[memory_budget.Kind.FRAMES]
            self._max_frame_bytes = max(MIN_MAX_FRAME_BYTES, limit_bytes)
        self._logged_at = -math.inf
        self._idle_task = None
        self._handler_tasks = set()
        self._connection_tasks = set()
        self.bytes_in = 0
        self.bytes_out = 0

    async def start(self, host: str, port: int):
        """Starts listening.

        Raises:
            OSError: The address cannot be bound.
        """
        sock = listening.open_listener(host, port)
        self._server = await asyncio.start_server(
            self._serve_connection,
            sock=sock,
            limit=READ_AHEAD_BYTES,
            backlog=listening.ACCEPTED_PER_TURN,
        )
        self._idle_task = asyncio.ensure_future(self._close_idle_connections())

    async def close(self):
        """Stops listening and closes all connections."""
        self._idle_task.cancel()
        self._server.close()
        for task in list(self._handler_tasks):
            task.cancel()
        for writer in list(self._client_by_writer):
            writer.close()
        # asyncio logs an error for each task that is still pending when the event loop ends.
        if not self._connection_tasks:
            return
        _, pending = await asyncio.wait(self._connection_tasks, timeout=CLOSE_TIMEOUT_SECONDS)
        for writer in list(self._client_by_writer):
            writer.transport.abort()
        if pending:
            await asyncio.wait(pending, timeout=CLOSE_TIMEOUT_SECONDS)

    async def _close_idle_connections(self):
        """Closes connections of peers that are gone or no longer reached, until it is cancelled."""
        checked_at = clock.now()
        is_late = False
        while True:
            await asyncio.sleep(IDLE_CHECK_SECONDS)
            now = clock.now()
            was_late, is_late = is_late, now - checked_at > 2 * IDLE_CHECK_SECONDS
            checked_at = now
            if is_late and not was_late:
                # After a pause of this process, requests may have arrived that are not read yet.
                continue
            for writer, client in list(self._client_by_writer.items()):
                if now - client.heard_at <= IDLE_TIMEOUT_SECONDS:
                    continue
                log.info(
                    "peers: closed a connection of %s on which nothing arrived for %.1f s",
                    writer.get_extra_info("peername"),
                    now - client.heard_at,
                )
                writer.transport.abort()

    def _evict(self, writers, reason):
        """Closes connections, and logs some of them."""
        for writer in writers:
            self._client_by_writer.pop(writer).account.update(0)
            writer.transport.abort()
            self.evicted_count += 1
            now = clock.now()
            if now - self._logged_at >= EVICTION_LOG_SECONDS:
                self._logged_at = now
                log.info(
                    "peers: closed a connection of %s: %s, code=%d, %d so far",
                    writer.get_extra_info("peername"),
                    reason,
                    codes.Code.MEMORY_SHORT,
                    self.evicted_count,
                )

    def _limit_connections(self):
        limit = self._budget.max_connections(memory_budget.Listener.PEERS)
        if not limit or len(self._client_by_writer) <= limit:
            return
        claims = [
            memory_budget.IdleClaim(writer, False, client.frame_count, client.heard_at)
            for writer, client in self._client_by_writer.items()
        ]
        self._evict(memory_budget.choose_closed(claims, limit), "descriptors")

    def _limit_frames(self, account):
        """Closes the connections whose incomplete frames have held most for longest.

        Those whose frames still arrive are closed only if that leaves too much.
        """
        if not self._is_bounded or not account.is_over or account.is_alone:
            return
        now = clock.now()
        claims = [
            memory_budget.Claim(writer, client.account.held_bytes, now - client.heard_at)
            for writer, client in self._client_by_writer.items()
            if client.account.held_bytes
        ]
        if self._budget.may_wait(memory_budget.Kind.FRAMES):
            stalled_s = memory_budget.STALLED_SECONDS
            claims = [claim for claim in claims if claim.stalled_s >= stalled_s]
        excess_bytes = self._budget.excess_bytes(memory_budget.Kind.FRAMES)
        self._evict(memory_budget.choose_evicted(claims, excess_bytes), "memory")

    async def _serve_connection(self, reader, writer):
        client = Client(self._budget.open_account(memory_budget.Kind.FRAMES), clock.now())
        self._client_by_writer[writer] = client

        def record_part(size=0):
            client.heard_at = clock.now()
            if size or client.account.held_bytes:
                client.account.update(size)
                self._limit_frames(client.account)

        self._connection_tasks.add(asyncio.current_task())
        self._limit_connections()
        try:
            while True:
                if writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
                    # A lost connection is found by the read.
                    with contextlib.suppress(ConnectionError):
                        await writer.drain()
                result = await frames.read_frame(reader, record_part, self._max_frame_bytes)
                client.frame_count += 1
                record_part()
                if result.is_error():
                    if result.error.code != codes.Code.LINK_CLOSED:
                        log.warning("peers: closed a connection: %s", result.error.message)
                    break
                envelope = result.ok
                self.bytes_in += len(envelope.payload) + 40
                handler = self.handler_by_kind.get(envelope.kind)
                if envelope.kind == kinds.Kind.PING:
                    self._reply(writer, envelope, expression.Ok(b""))
                    continue
                if handler is None:
                    self._reply(
                        writer,
                        envelope,
                        codes.failure(
                            codes.Code.FRAME_INVALID, f"unknown message kind {envelope.kind}"
                        ),
                    )
                    continue
                try:
                    outcome = handler(envelope.payload, envelope.trace or "")
                # See `_reply_when_done`.
                except Exception as error:
                    log.exception("peers: a request handler raised an exception")
                    outcome = codes.failure(codes.Code.INTERNAL, repr(error))
                if not (asyncio.isfuture(outcome) or inspect.iscoroutine(outcome)):
                    self._reply(writer, envelope, outcome)
                    continue
                task = asyncio.ensure_future(self._reply_when_done(writer, envelope, outcome))
                self._handler_tasks.add(task)
                task.add_done_callback(self._handler_tasks.discard)
        finally:
            client.account.update(0)
            self._client_by_writer.pop(writer, None)
            self._connection_tasks.discard(asyncio.current_task())
            _close_in_time(writer)

    async def _reply_when_done(self, writer, envelope, outcome):
        try:
            result = await outcome
        # An exception in a handler is returned to the caller as an error code and must not end the
        # connection, which other requests share.
        except Exception as error:
            log.exception("peers: a request handler raised an exception")
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


async def call_once(address: str, kind: int, payload: bytes, timeout: float):
    """Sends one request on a connection of its own; see `Link.call`."""
    link = Link(address, ping_interval=PING_DISABLED_SECONDS)
    try:
        return await link.call(kind, payload, timeout)
    finally:
        await link.close()


class Link:
    """A client's connection to one peer, which reconnects after a loss.

    One task owns the socket; callers pass their requests to it through a queue.

    Attributes:
        address: `host:port` of the peer.
        is_receiving: Whether a part of a frame has arrived and the rest is expected.
        bytes_out: Bytes sent so far.
        bytes_in: Bytes received so far; 40 bytes are counted for the envelope of each frame.
    """

    __slots__ = (
        "address",
        "is_receiving",
        "bytes_out",
        "bytes_in",
        "_now",
        "_outbox",
        "_future_by_request_id",
        "_next_request_id",
        "_task",
        "_connected",
        "_wake",
        "_monitor_settings",
        "_monitor",
        "_abort_requested",
    )

    def __init__(self, address: str, now=clock.now, ping_interval: float = PING_INTERVAL_SECONDS):
        """Starts a task that connects to the peer and reconnects after a loss.

        Args:
            address: `host:port` of the peer.
            now: Clock in seconds.
            ping_interval: Seconds without data from the peer after which a ping is sent.
        """
        self.address = address
        self._monitor_settings = connection_monitor.Settings(probe_interval_s=ping_interval)
        self._monitor = connection_monitor.ConnectionMonitor(self._monitor_settings, now())
        self._abort_requested = False
        self.is_receiving = False
        self.bytes_out = 0
        self.bytes_in = 0
        self._now = now
        self._outbox = []
        self._wake = asyncio.Event()
        self._future_by_request_id = {}
        self._next_request_id = 1
        self._connected = False
        self._task = asyncio.ensure_future(self._keep_connected())

    @property
    def connected(self) -> bool:
        """Whether the connection is open."""
        return self._connected

    @property
    def last_data_at(self) -> float:
        """Time of the last data from the peer or of the last connect, in seconds of the clock."""
        return self._monitor.last_data_at

    async def close(self):
        """Closes the connection and fails all pending calls with LINK_CLOSED."""
        self._task.cancel()
        self._fail_pending_calls(codes.Code.LINK_CLOSED, "the link was closed")

    def reconnect(self):
        """Aborts the connection, which may no longer deliver data, and opens a new one."""
        if self._connected:
            self._abort_requested = True
            self._wake.set()

    async def call(
        self,
        kind: int,
        payload: bytes,
        timeout: float,
        trace: str = "",
        extends_timeout: bool = False,
    ):
        """Sends a request and waits for its reply.

        Args:
            kind: Message kind.
            payload: Encoded request.
            timeout: Seconds to wait for the reply.
            trace: Trace context to pass on.
            extends_timeout: Whether the call waits longer while parts of a frame are arriving,
                because a large reply may take longer than the timeout on a slow link.
        Returns:
            Ok with the reply's bytes, or an error: the peer's own failure, LINK_TIMEOUT if no
            reply arrives in time, or LINK_CLOSED if the connection is lost or the queue is full.
        """
        future = asyncio.get_running_loop().create_future()
        request_id = self.post(kind, payload, trace, future)
        if request_id is None:
            return codes.failure(codes.Code.LINK_CLOSED, "the link's queue is full")
        transfer_until = self._now() + timeout + MAX_TRANSFER_SECONDS
        wait_s = timeout
        try:
            while True:
                done, _ = await asyncio.wait((future,), timeout=wait_s)
                if done:
                    return future.result()
                wait_s = min(self.last_data_at + PART_TIMEOUT_SECONDS, transfer_until) - self._now()
                if not extends_timeout or not self.is_receiving or wait_s <= 0:
                    return codes.failure(codes.Code.LINK_TIMEOUT, f"no reply in {timeout} s")
        finally:
            self._future_by_request_id.pop(request_id, None)

    def post(self, kind: int, payload: bytes, trace: str = "", future=None):
        """Queues a request for sending.

        Args:
            kind: Message kind.
            payload: Encoded request.
            trace: Trace context to pass on.
            future: Set to the `Result` of the reply; None if the reply is of no interest.

        Returns:
            The request id, or None if the queue is full.
        """
        if len(self._outbox) >= MAX_QUEUED_FRAMES:
            return None
        request_id = self._next_request_id
        self._next_request_id += 1
        if future is not None:
            self._future_by_request_id[request_id] = future
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

    def _fail_pending_calls(self, code, message):
        for future in self._future_by_request_id.values():
            if not future.done():
                future.set_result(codes.failure(code, message))
        self._future_by_request_id.clear()

    async def _keep_connected(self):
        host, _, port = self.address.rpartition(":")
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                    reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
            except (OSError, TimeoutError):
                # Requests to an unreachable peer fail immediately, so that callers need not wait
                # for their timeouts.
                self._outbox.clear()
                self._fail_pending_calls(
                    codes.Code.LINK_CLOSED, f"cannot connect to {self.address}"
                )
                await asyncio.sleep(RECONNECT_PAUSE_SECONDS)
                continue
            self._connected = True
            self._abort_requested = False
            connected_at = self._now()
            self._monitor = connection_monitor.ConnectionMonitor(
                self._monitor_settings, connected_at
            )
            self.is_receiving = False
            receiver = asyncio.ensure_future(self._receive_replies(reader))
            try:
                await self._send_queued(writer, receiver)
                self._log_loss(connected_at)
            finally:
                self._connected = self.is_receiving = False
                receiver.cancel()
                if self._abort_requested:
                    _reset(writer)
                _close_in_time(writer)
                self._fail_pending_calls(
                    codes.Code.LINK_CLOSED, f"lost the connection to {self.address}"
                )

    def _log_loss(self, connected_at):
        now = self._now()
        log.info(
            "peers: the connection to %s ended after %.2f s, last data %.2f s ago, %s open calls",
            self.address,
            now - connected_at,
            now - self.last_data_at,
            len(self._future_by_request_id),
        )

    async def _send_queued(self, writer, receiver):
        while not receiver.done() and not self._abort_requested:
            if self._outbox:
                # All frames queued since the last wake-up are sent in one write.
                data = b"".join(self._outbox)
                self._outbox.clear()
                self.bytes_out += len(data)
                self._monitor.record_sent(self._next_request_id - 1, len(data))
                writer.write(data)
            verdict = self._monitor.check(self._now())
            if verdict == connection_monitor.Verdict.PROBE:
                self.post(kinds.Kind.PING, b"")
                continue
            if verdict == connection_monitor.Verdict.CLOSE:
                self._abort_requested = True
                return
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(0.0, self._monitor.next_check_at - self._now())):
                    await self._wake.wait()

    def _record_part(self, _size):
        self.is_receiving = True
        self._monitor.record_data(self._now())

    async def _receive_replies(self, reader):
        while True:
            result = await frames.read_frame(reader, self._record_part)
            self.is_receiving = False
            if result.is_error():
                self._wake.set()
                return
            envelope = result.ok
            self._monitor.record_reply(envelope.request_id, self._now())
            self.bytes_in += len(envelope.payload) + 40
            future = self._future_by_request_id.pop(envelope.request_id, None)
            if future is None or future.done():
                continue
            if envelope.code == codes.Code.OK:
                future.set_result(expression.Ok(envelope.payload))
                continue
            message = envelope.payload.decode(errors="replace")
            try:
                code = codes.Code(envelope.code)
            except ValueError:
                # A peer of a later version may have further codes.
                code, message = codes.Code.INTERNAL, f"unknown code {envelope.code}: {message}"
            future.set_result(codes.failure(code, message))
