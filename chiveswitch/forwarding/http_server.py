"""HTTP/1.1 towards callers, on the event loop's transports with a library's parser.

The forwarded path needs to know of each connection when its caller has left, which bytes were read
and whether a response was begun, so that it does not go through an application server. Requests of
one connection are handled one after the other, each in a task that is cancelled when the caller
leaves.
"""

import asyncio
import logging

import httptools

from chiveswitch.core import clock, routing

log = logging.getLogger("chiveswitch.http")

REASON_BY_STATUS = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
NO_BODY_STATUSES = frozenset((204, 304))
# Requests that a caller may send ahead on one connection before it is no longer read.
MAX_PIPELINED = 8
# Bytes of a response that wait for the caller before its target is no longer read.
HIGH_WATER_BYTES = 256 * 1024
# Interval in seconds at which idle and slow connections are looked for.
SWEEP_SECONDS = 0.5
BACKLOG = 1024


class Request:
    """A request that was read completely.

    Attributes:
        method: Method as text.
        target: Path and query as sent.
        headers: (name, value) pairs as sent, names in their original case.
        value_by_header: Value by lower-case name; the first one of repeated headers.
        body: The whole body.
        received_at: Time of its first byte, in seconds of `core.clock`.
        keep_alive: Whether the caller keeps the connection open.
    """

    __slots__ = (
        "method",
        "request_target",
        "headers",
        "value_by_header",
        "body",
        "received_at",
        "keep_alive",
    )

    def __init__(self, received_at: float):
        self.method = ""
        self.request_target = ""
        self.headers = []
        self.value_by_header = {}
        self.body = bytearray()
        self.received_at = received_at
        self.keep_alive = True

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.request_target.partition("?")[0]


def encode_head(status: int, reason: str, headers: list[tuple[str, str]]) -> bytes:
    """Returns the head of a response."""
    lines = [f"HTTP/1.1 {status} {reason or REASON_BY_STATUS.get(status, 'Status')}\r\n"]
    for name, value in headers:
        lines.append(f"{name}: {value}\r\n")
    lines.append("\r\n")
    return "".join(lines).encode("latin-1")


class Responder:
    """Writes the one response of a request.

    Attributes:
        begun: Whether a byte of the response was written.
        done: Whether the response is complete.
    """

    __slots__ = ("begun", "done", "_connection", "_close")

    def __init__(self, connection, keep_alive: bool):
        self.begun = False
        self.done = False
        self._connection = connection
        self._close = not keep_alive

    def close_after(self):
        """Ends the connection after this response."""
        self._close = True

    def send(self, status: int, headers: list[tuple[str, str]], body: bytes = b"", reason=""):
        """Writes a whole response."""
        self.begun = self.done = True
        fields = list(headers)
        if status not in NO_BODY_STATUSES:
            fields.append(("Content-Length", str(len(body))))
        self._close = self._close or self._connection.server.closing
        if self._close:
            fields.append(("Connection", "close"))
        self._connection.write(encode_head(status, reason, fields) + bytes(body))
        self._finish()

    def begin(self, status: int, headers: list[tuple[str, str]], reason: str = ""):
        """Writes the head of a response whose length is not known."""
        self.begun = True
        fields = [*headers, ("Transfer-Encoding", "chunked")]
        self._close = self._close or self._connection.server.closing
        if self._close:
            fields.append(("Connection", "close"))
        self._connection.write(encode_head(status, reason, fields))

    def write(self, data: bytes):
        """Writes a part of the body after `begin`."""
        self._connection.write(b"%x\r\n%b\r\n" % (len(data), data))

    def finish(self):
        """Ends the body after `begin`."""
        self._connection.write(b"0\r\n\r\n")
        self.done = True
        self._finish()

    def abort(self):
        """Resets the connection, so that an incomplete response cannot look complete."""
        self.done = True
        self._connection.abort()

    async def drained(self):
        """Waits until the caller has taken enough of what was written."""
        await self._connection.writable.wait()

    def _finish(self):
        if self._close:
            self._connection.close()


class Connection(asyncio.Protocol):
    """One connection of a caller; the event loop's protocol of its socket."""

    def __init__(self, server):
        self.server = server
        self.writable = asyncio.Event()
        self.writable.set()
        self._transport = None
        self._parser = httptools.HttpRequestParser(self)
        self._request = None
        self._header_bytes = 0
        self._waiting = []
        self._task = None
        self._refusal = None
        self._active_at = clock.now()
        self._closed = False

    # Called by the event loop.

    def connection_made(self, transport):
        """Takes over the socket."""
        self._transport = transport
        transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)
        self.server.connections.add(self)

    def data_received(self, data):
        """Feeds the parser; a fault in the bytes is answered after earlier requests."""
        self._active_at = clock.now()
        if self._refusal is not None:
            return
        if self._request is None and not self._waiting and self._task is None:
            # Counts as the first byte of the next request.
            self._header_bytes = 0
        self._header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError as error:
            if self._refusal is None:
                log.info("http: refused bytes that are no request: %s", error)
            self._refuse(self._refusal or 400)
        if self._request is not None and not self._request.method:
            if self._header_bytes > self.server.limits().header_bytes:
                self._refuse(431)
        if len(self._waiting) >= MAX_PIPELINED:
            self._transport.pause_reading()
        self._next()

    def eof_received(self):
        """A caller that ends its side has left; its request is cancelled."""
        return False

    def connection_lost(self, error):
        """Cancels the request in progress."""
        self._closed = True
        self.writable.set()
        self.server.connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self):
        """Called when the caller does not read."""
        self.writable.clear()

    def resume_writing(self):
        """Called when the caller reads again."""
        self.writable.set()

    # Called by the parser.

    def on_message_begin(self):
        """Starts a request."""
        self._request = Request(clock.now())

    def on_url(self, url):
        """Takes a part of the target."""
        self._request.request_target += url.decode("latin-1")

    def on_header(self, name, value):
        """Takes one header."""
        text = name.decode("latin-1")
        content = value.decode("latin-1")
        self._request.headers.append((text, content))
        self._request.value_by_header.setdefault(text.lower(), content)

    def on_headers_complete(self):
        """Takes the method and asks for the body if the caller waits to be asked."""
        request = self._request
        request.method = self._parser.get_method().decode("latin-1")
        request.keep_alive = self._parser.should_keep_alive()
        size = sum(len(name) + len(value) + 4 for name, value in request.headers)
        if size + len(request.request_target) > self.server.limits().header_bytes:
            self._refusal = 431
            raise ValueError("the head is too large")
        if request.value_by_header.get("expect", "").lower() == "100-continue":
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body):
        """Takes a part of the body."""
        request = self._request
        request.body += body
        if len(request.body) > self.server.limits().body_bytes:
            self._refusal = 413
            raise ValueError("the body is too large")

    def on_message_complete(self):
        """Queues the request."""
        self._waiting.append(self._request)
        self._request = None
        self._header_bytes = 0

    # Requests.

    def _refuse(self, status):
        self._refusal = status

    def _next(self):
        if self._task is not None or self._closed:
            return
        if self._waiting:
            request = self._waiting.pop(0)
            self._task = asyncio.get_running_loop().create_task(self._serve(request))
            return
        if self._refusal is not None:
            Responder(self, False).send(self._refusal, [])

    async def _serve(self, request):
        responder = Responder(self, request.keep_alive)
        try:
            await self.server.handler(request, responder)
        except asyncio.CancelledError:
            if not self._closed:
                self._transport.abort()
            raise
        # A handler's fault must end its request and no other one.
        except Exception:
            log.exception("http: a handler failed")
            if responder.begun:
                responder.abort()
            else:
                responder.close_after()
                responder.send(500, [])
        finally:
            self._task = None
        self._active_at = clock.now()
        if not responder.done:
            responder.abort()
        if self._closed or self._transport.is_closing():
            return
        if len(self._waiting) < MAX_PIPELINED:
            self._transport.resume_reading()
        self._next()

    # Used by responders and the server.

    def write(self, data: bytes):
        """Hands bytes to the transport unless the caller has left."""
        if not self._transport.is_closing():
            self._transport.write(data)

    def close(self):
        """Closes after what was written is sent."""
        self._transport.close()

    def abort(self):
        """Resets the connection at once."""
        self._transport.abort()

    @property
    def busy(self) -> bool:
        """Whether a request is in progress or partly read."""
        return self._task is not None or bool(self._waiting) or self._request is not None

    def sweep(self, now: float):
        """Ends the connection if it is idle or its request takes too long to arrive."""
        if self._task is not None or self._transport.is_closing():
            return
        limits = self.server.limits()
        if self._request is not None:
            if now - self._request.received_at > limits.header_timeout_s:
                Responder(self, False).send(408, [])
            return
        if now - self._active_at > limits.idle_timeout_s:
            self._transport.close()


class Server:
    """Listens on one address.

    Attributes:
        handler: Coroutine function (request, responder).
        limits: Function that returns the `routing.Limits` in force.
        connections: Open connections.
        closing: Whether responses end their connections.
    """

    __slots__ = ("handler", "limits", "connections", "closing", "_server", "_sweeper")

    def __init__(self, handler, limits=lambda: routing.DEFAULT_LIMITS):
        self.handler = handler
        self.limits = limits
        self.connections = set()
        self.closing = False
        self._server = None
        self._sweeper = None

    async def start(self, address: str):
        """Starts to listen. Raises OSError if the address cannot be bound."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(self), host, int(port), backlog=BACKLOG
        )
        self._sweeper = loop.create_task(self._sweep())

    async def _sweep(self):
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            now = clock.now()
            for connection in list(self.connections):
                connection.sweep(now)

    def busy_count(self) -> int:
        """Returns the number of connections with a request in progress."""
        return sum(connection.busy for connection in self.connections)

    def drain(self):
        """Ends connections after their present response; new ones are still accepted."""
        self.closing = True

    async def close(self):
        """Stops listening and closes all connections."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()
