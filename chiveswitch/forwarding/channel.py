"""HTTP/1.1 channels to targets: one request at a time, and stray responses told apart."""

import asyncio
import socket

import httptools

from chiveswitch.core import clock

# Bytes of a response that may wait for the caller before the target is no longer read.
HIGH_WATER_BYTES = 256 * 1024
# Largest number of responses to other requests that are skipped in front of the own one.
MAX_STRAY_RESPONSES = 4


class Response:
    """A response as far as it has arrived.

    Attributes:
        status: Status code, 0 before the head is complete.
        headers: (name, value) pairs as sent.
        value_by_header: Value by lower-case name.
        body: Bytes of the body that were not taken yet.
        complete: Whether the whole response has arrived.
        reason: Reason phrase.
    """

    __slots__ = ("status", "headers", "value_by_header", "body", "complete", "reason")

    def __init__(self):
        self.status = 0
        self.headers = []
        self.value_by_header = {}
        self.body = bytearray()
        self.complete = False
        self.reason = ""


class Channel(asyncio.Protocol):
    """One connection to a target; the event loop's protocol of its socket.

    Attributes:
        address: `ip:port` of the target.
        target_id: Id of the target for which the channel was opened.
        response: The `Response` of the request in progress, or None.
        broken: Why the channel can no longer be used, or an empty string.
        used_at: Time at which its last response ended, in seconds of `core.clock`.
        idle_limit_s: Seconds for which the target keeps an idle connection, if it said so.
    """

    def __init__(self, address: str, target_id: str):
        self.address = address
        self.target_id = target_id
        self.response = None
        self.broken = ""
        self.used_at = clock.now()
        self.idle_limit_s = None
        self._identity = None
        self._strays = 0
        self._transport = None
        self._parser = None
        self._until_close = False
        self._reusable = True
        self._changed = None
        self._paused = False

    # Called by the event loop.

    def connection_made(self, transport):
        """Takes over the socket."""
        self._transport = transport

    def data_received(self, data):
        """Feeds the parser; bytes while no request is in progress make the channel unusable."""
        if self.response is None or self.response.complete:
            self._break("unexpected bytes")
            self._transport.abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.response.complete:
                self._break(f"not a response: {error}")
            else:
                self._reusable = False
            self._transport.abort()
        if len(self.response.body) > HIGH_WATER_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        self.wake()

    def eof_received(self):
        """The end of the connection completes a response that states no length."""
        if self.response is not None and not self.response.complete and self.response.status:
            if self._until_close:
                self.response.complete = True
        self._break("closed by the target")
        return False

    def connection_lost(self, error):
        """Records why the channel ended."""
        self._break(f"reset: {error}" if error else "closed by the target")

    # Called by the parser.

    def on_message_begin(self):
        """A response after the own one belongs to no request."""
        if self.response.complete:
            self._reusable = False

    def on_status(self, reason):
        """Takes the reason phrase."""
        if not self.response.complete:
            self.response.reason += reason.decode("latin-1")

    def on_header(self, name, value):
        """Takes one header."""
        if self.response.complete:
            return
        text, content = name.decode("latin-1"), value.decode("latin-1")
        self.response.headers.append((text, content))
        self.response.value_by_header.setdefault(text.lower(), content)

    def on_headers_complete(self):
        """Takes the status, unless it is interim."""
        response = self.response
        if response.complete:
            return
        status = self._parser.get_status_code()
        if status < 200:
            response.headers.clear()
            response.value_by_header.clear()
            response.reason = ""
            return
        response.status = status
        value_by_header = response.value_by_header
        chunked = "chunked" in value_by_header.get("transfer-encoding", "").lower()
        has_length = "content-length" in value_by_header or status in (204, 304)
        self._until_close = not chunked and not has_length
        if not self._parser.should_keep_alive():
            self._reusable = False
        self._read_keep_alive(value_by_header.get("keep-alive", ""))

    def on_body(self, body):
        """Takes a part of the body."""
        if not self.response.complete:
            self.response.body += body

    def on_message_complete(self):
        """Ends the response, or skips it if it belongs to another request."""
        response = self.response
        if response.complete or response.status < 200:
            return
        name, value = self._identity
        found = response.value_by_header.get(name) if name else None
        if found is not None and found != value and self._strays < MAX_STRAY_RESPONSES:
            self._strays += 1
            self._reusable = False
            self.response = Response()
            return
        response.complete = True

    def _read_keep_alive(self, text):
        for part in text.split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                self.idle_limit_s = float(value)

    def _break(self, reason):
        if not self.broken:
            self.broken = reason
        self.wake()

    def wake(self):
        """Ends the present wait of `changed`."""
        if self._changed is not None and not self._changed.done():
            self._changed.set_result(None)

    # Used by the tasks of requests.

    def send(self, data: bytes, identity: tuple[str, str]):
        """Writes a request.

        Args:
            data: The whole request.
            identity: Lower-case name and value of the header by which the target's response names
                the request.
        """
        self.response = Response()
        self._identity = identity
        self._strays = 0
        self._parser = httptools.HttpResponseParser(self)
        self._until_close = False
        self._transport.write(data)

    async def changed(self, seconds: float) -> bool:
        """Waits until more of the response has arrived or the channel broke.

        Returns:
            False if nothing happened within the time.
        """
        if self.broken:
            return True
        self._changed = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(max(0.0, seconds)):
                await self._changed
        except TimeoutError:
            return False
        finally:
            self._changed = None
        return True

    async def whole_response(self, until: float) -> Response | None:
        """Returns the complete response, or None if the channel broke or the time is over."""
        while not self.response.complete:
            if self.broken or not await self.changed(until - clock.now()):
                return None
        return self.response

    def take_body(self) -> bytes:
        """Returns the bytes of the body that have arrived, and removes them."""
        data = bytes(self.response.body)
        self.response.body.clear()
        if self._paused:
            self._paused = False
            self._transport.resume_reading()
        return data

    def is_for(self, value: str) -> bool:
        """Says whether the response names the request, or names none."""
        found = self.response.value_by_header.get(self._identity[0])
        return found is None or found == value

    def release(self) -> bool:
        """Ends the exchange; returns whether the channel may carry another request."""
        self.used_at = clock.now()
        sent = self._transport.get_write_buffer_size() == 0
        complete = self.response is not None and self.response.complete
        usable = complete and sent and self._reusable and not self._until_close and not self.broken
        if not usable:
            self.abort()
        return usable

    def abort(self):
        """Resets the channel, so that the target stops working on its request."""
        if not self.broken:
            self.broken = "closed here"
        self._transport.abort()


async def connect(address: str, target_id: str, seconds: float) -> Channel | None:
    """Opens a channel; returns None if the target does not accept it in time."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(seconds):
            transport, channel = await loop.create_connection(
                lambda: Channel(address, target_id), host, int(port)
            )
    except (OSError, TimeoutError, ValueError):
        return None
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return channel
