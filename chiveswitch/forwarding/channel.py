"""HTTP/1.1 channels to targets, which carry one request at a time and skip stray responses."""

import asyncio
import fcntl
import os
import socket
import struct
import termios

import httptools

from chiveswitch.core import clock
from chiveswitch.forwarding import read_pacer

# Bytes of a response, and of a stream, that are read at a time. The work on them blocks the event
# loop; the events of a stream need more of it than a body that is passed on.
READ_BYTES = 64 * 1024
STREAM_READ_BYTES = 16 * 1024
# Buffered bytes of a response above which reading from the target is paused; for streams, whose
# events are forwarded as they arrive; and for all while the process holds too much.
HIGH_WATER_BYTES = 256 * 1024
STREAM_HIGH_WATER_BYTES = 64 * 1024
SHORT_HIGH_WATER_BYTES = 16 * 1024
# Time in seconds after which a connection that is not established is attempted once more.
SECOND_CONNECT_SECONDS = 0.06
# Largest number of bytes in a row that are no body: heads of interim and final responses, blank
# lines, chunk extensions and trailers.
MAX_FRAMING_BYTES = 64 * 1024
# Largest number of header fields of a response, since each one needs much more memory than its
# bytes.
MAX_HEADER_FIELDS = 256
# Smallest and largest status code of HTTP, and the smallest one that is not interim.
MIN_STATUS = 100
MAX_STATUS = 599
FINAL_STATUS = 200
# Largest number of responses to other requests that are skipped before the expected one.
MAX_STRAY_RESPONSES = 4
# Interval in seconds at which a channel whose response has ended checks whether the target has
# received the rest of the request.
DELIVERY_CHECK_SECONDS = 0.01
# Number of `answered_ids` from which on a channel is not reused any more.
MAX_ANSWERED_IDS = 64


class Response:
    """The part of a response that has arrived.

    Attributes:
        status: Status code, 0 before the head is complete.
        headers: (name, value) pairs as sent.
        value_by_header: Value by lower-case name; the first one of repeated headers.
        body: Received bytes of the body that `Channel.take_body` has not returned yet.
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


class Channel(asyncio.BufferedProtocol):
    """One connection to a target, as an asyncio protocol.

    Attributes:
        address: `ip:port` of the target.
        target_id: Id of the target for which the channel was opened.
        response: The `Response` of the latest request, or None before the first one.
        failure_reason: Why the channel can no longer be used, or an empty string.
        last_used_at: Time at which its last response ended, in seconds of `core.clock`.
        idle_limit_s: Seconds for which the target keeps an idle connection open, or None if not
            stated.
        answered_ids: Ids of requests that may be sent again, but not on this channel: a late copy
            of the response to the first one would be taken for the response to the second one.
    """

    # Callbacks copy what they keep, so that all channels can use one buffer.
    _read_buffer = memoryview(bytearray(READ_BYTES))

    def __init__(self, address: str, target_id: str, pacer: read_pacer.ReadPacer):
        self.address = address
        self.target_id = target_id
        self.response = None
        self.failure_reason = ""
        self.last_used_at = clock.now()
        self.idle_limit_s = None
        self.answered_ids = set()
        self._request_id_header = None
        self._stray_count = 0
        self._framing_bytes = 0
        self._body_bytes = 0
        self._transport = None
        self._parser = None
        self._is_close_delimited = False
        self._is_reusable = True
        self._change_waiter = None
        self._pacer = pacer
        self._account = pacer.budget.open_account()
        self._high_water_bytes = HIGH_WATER_BYTES
        self._read_bytes = READ_BYTES
        # Whether reading is paused until the body has been taken.
        self._is_body_full = False
        # Whether the channel waits for its turn to read.
        self._is_paced = False

    # Callbacks of the event loop.

    def connection_made(self, transport):
        """Stores the transport of the new connection."""
        self._transport = transport

    def get_buffer(self, _size_hint):
        """Returns the buffer for the next read."""
        return self._read_buffer[: self._read_bytes]

    def buffer_updated(self, size):
        """Handles the bytes of a read. After a full one, other channels read first."""
        self._receive(self._read_buffer[:size])
        is_full_read = size == self._read_bytes and not self.failure_reason
        if self._is_body_full or is_full_read:
            self._transport.pause_reading()
        if is_full_read and not self._is_body_full:
            self._wait_for_turn()

    def _wait_for_turn(self):
        if not self._is_paced:
            self._is_paced = True
            self._pacer.wait(self)

    def resume_reading(self):
        """Reads again, unless the body has to be taken first."""
        self._is_paced = False
        if not self._is_body_full:
            self._transport.resume_reading()

    def _receive(self, data):
        """Feeds the parser. Bytes that arrive without a request in progress fail the channel."""
        if self.response is None or self.response.complete:
            self._mark_failed("bytes arrived without a request in progress")
            self._transport.abort()
            return
        body_bytes_before = self._body_bytes
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.response.complete:
                # The parser wraps exceptions of the callbacks.
                self._mark_failed(f"invalid HTTP response: {error.__context__ or error}")
            else:
                self._is_reusable = False
            self._transport.abort()
        self._framing_bytes += len(data)
        if self._body_bytes > body_bytes_before:
            self._framing_bytes = 0
        if self._framing_bytes > MAX_FRAMING_BYTES and not self.response.complete:
            self._mark_failed(f"sent {self._framing_bytes} bytes that are no body")
            self._transport.abort()
        body_size = len(self.response.body)
        self._account.update(body_size)
        high_water_bytes = self._high_water_bytes
        if self._pacer.budget.is_short:
            high_water_bytes = SHORT_HIGH_WATER_BYTES
        self._is_body_full = body_size > high_water_bytes
        self.wake_waiter()

    def eof_received(self):
        """Completes a response that is delimited by the end of the connection."""
        response = self.response
        is_in_progress = response is not None and response.status and not response.complete
        if is_in_progress and self._is_close_delimited:
            self._complete_after_request()
            # Keeps the connection open for the rest of the request.
            return True
        self._mark_failed("closed by the target")
        return False

    def _complete_after_request(self):
        """Completes a response that has ended, as soon as the target has the whole request.

        A target that does not read the rest resets the connection after it has closed it. Such a
        response was broken off.
        """
        if self.failure_reason:
            return
        sock = self._transport.get_extra_info("socket")
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._mark_failed(f"reset: [Errno {error}] {os.strerror(error)}")
            self._transport.abort()
            return
        if self._transport.get_write_buffer_size() or _unacknowledged_bytes(sock):
            loop = asyncio.get_running_loop()
            loop.call_later(DELIVERY_CHECK_SECONDS, self._complete_after_request)
            return
        self.response.complete = True
        self._mark_failed("closed by the target")
        self._transport.close()

    def connection_lost(self, error):
        """Records why the connection ended."""
        self._account.update(0)
        self._mark_failed(f"reset: {error}" if error else "closed by the target")

    # Callbacks of the HTTP parser, which passes on exceptions as errors of the response.

    def on_message_begin(self):
        """Makes the channel unusable for further requests if a second response begins."""
        if self.response.complete:
            self._is_reusable = False

    def on_status(self, reason):
        """Adds a part of the reason phrase to the response."""
        if not self.response.complete:
            self.response.reason += reason.decode("latin-1")

    def on_header(self, name, value):
        """Adds a header to the response; discards trailers."""
        if self.response.complete or self.response.status:
            return
        if len(self.response.headers) >= MAX_HEADER_FIELDS:
            raise ValueError(f"more than {MAX_HEADER_FIELDS} header fields")
        text, content = name.decode("latin-1"), value.decode("latin-1")
        self.response.headers.append((text, content))
        self.response.value_by_header.setdefault(text.lower(), content)

    def on_headers_complete(self):
        """Sets the status and the framing of the response; discards interim responses (1xx)."""
        response = self.response
        if response.complete:
            return
        status = self._parser.get_status_code()
        if not MIN_STATUS <= status <= MAX_STATUS:
            raise ValueError(f"status {status:03d}")
        if status < FINAL_STATUS:
            response.headers.clear()
            response.value_by_header.clear()
            response.reason = ""
            return
        response.status = status
        value_by_header = response.value_by_header
        chunked = "chunked" in value_by_header.get("transfer-encoding", "").lower()
        has_length = "content-length" in value_by_header or status in (204, 304)
        self._is_close_delimited = not chunked and not has_length
        if not self._parser.should_keep_alive():
            self._is_reusable = False
        self._read_keep_alive(value_by_header.get("keep-alive", ""))

    def on_body(self, body):
        """Adds a part of the body to the response."""
        self._body_bytes += len(body)
        if not self.response.status:
            raise ValueError("an interim response has a body")
        if not self.response.complete:
            self.response.body += body

    def on_message_complete(self):
        """Completes the response, or discards it if it belongs to another request."""
        response = self.response
        if response.complete or response.status < 200:
            return
        if self.answers_other_request and self._stray_count < MAX_STRAY_RESPONSES:
            self._stray_count += 1
            self._is_reusable = False
            self.response = Response()
            return
        response.complete = True

    def _read_keep_alive(self, text):
        for part in text.split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.isascii() and value.isdigit():
                self.idle_limit_s = float(value)

    def _mark_failed(self, reason):
        if not self.failure_reason:
            self.failure_reason = reason
        self.wake_waiter()

    def wake_waiter(self):
        """Makes the present call of `wait_for_change` return."""
        if self._change_waiter is not None and not self._change_waiter.done():
            self._change_waiter.set_result(None)

    # Methods for the tasks that serve requests.

    def send(self, data: bytes, request_id_header: tuple[str, str], is_stream: bool = False):
        """Writes a request.

        Args:
            data: The whole request.
            request_id_header: Lower-case name and value of the header that identifies the request
                in the target's response. With an empty name every response is accepted.
            is_stream: Whether the body is taken as it arrives, so that little of it is buffered.
        """
        self._high_water_bytes = STREAM_HIGH_WATER_BYTES if is_stream else HIGH_WATER_BYTES
        self._read_bytes = STREAM_READ_BYTES if is_stream else READ_BYTES
        self.response = Response()
        self._request_id_header = request_id_header
        self._stray_count = 0
        self._framing_bytes = 0
        self._parser = httptools.HttpResponseParser(self)
        self._is_close_delimited = False
        self._transport.write(data)

    async def wait_for_change(self, timeout_s: float) -> bool:
        """Waits until more of the response has arrived or the channel has failed.

        Returns:
            False if neither happened within `timeout_s` seconds.
        """
        if self.failure_reason:
            return True
        self._change_waiter = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                await self._change_waiter
        except TimeoutError:
            return False
        finally:
            self._change_waiter = None
        return True

    @property
    def has_large_body(self) -> bool:
        """Whether more of the body has arrived than is buffered."""
        return self.response.status > 0 and self._is_body_full

    async def read_response(self, until: float, accepts_part: bool = False) -> Response | None:
        """Waits for the complete response.

        Args:
            until: Time at which the wait ends, in seconds of `core.clock`.
            accepts_part: Whether the wait also ends with a part of a body that is too large to be
                buffered. The rest is then read with `take_body`.

        Returns:
            The `Response`, or None if the channel failed or the wait timed out.
        """
        while not self.response.complete:
            if accepts_part and self.has_large_body:
                break
            if self.failure_reason or not await self.wait_for_change(until - clock.now()):
                return None
        return self.response

    def take_body(self) -> bytes:
        """Removes and returns the received bytes of the body; resumes reading if it was paused."""
        data = bytes(self.response.body)
        self.response.body.clear()
        self._account.update(0)
        if self._is_body_full:
            self._is_body_full = False
            self._wait_for_turn()
        return data

    @property
    def answers_other_request(self) -> bool:
        """Whether the response names the id of another request than the present one."""
        name, value = self._request_id_header
        return self.response.value_by_header.get(name, value) != value

    def find_mismatch(self) -> str:
        """Returns why the response does not belong to the request, or an empty string.

        A response without an id may be a late one to an earlier request, or no response of the
        target at all.
        """
        name, _ = self._request_id_header
        if self.answers_other_request:
            return f"answered {self.response.status} for another request"
        if name not in self.response.value_by_header:
            return f"answered {self.response.status} without a request id"
        return ""

    def release(self) -> bool:
        """Ends the request; closes the channel and returns False if it is not reusable."""
        self.last_used_at = clock.now()
        self._account.update(0)
        sent = self._transport.get_write_buffer_size() == 0
        complete = self.response is not None and self.response.complete
        usable = (
            complete
            and sent
            and self._is_reusable
            and not self._is_close_delimited
            and not self.failure_reason
            and len(self.answered_ids) < MAX_ANSWERED_IDS
        )
        if not usable:
            self.abort()
        return usable

    def abort(self):
        """Resets the connection, so that the target stops working on its request."""
        if not self.failure_reason:
            self.failure_reason = "closed by the gateway"
        self._transport.abort()


def _unacknowledged_bytes(sock) -> int:
    """Returns how many bytes were written to a socket and not acknowledged by the other side."""
    (size,) = struct.unpack("i", fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4)))
    return size


async def _open(address, target_id, pacer) -> Channel:
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    transport, channel = await loop.create_connection(
        lambda: Channel(address, target_id, pacer), host, int(port)
    )
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return channel


def _discard(attempt):
    """Cancels an attempt to open a channel, or closes the channel that it has opened."""
    if not attempt.done():
        attempt.cancel()
    elif not attempt.cancelled() and attempt.exception() is None:
        attempt.result().abort()


async def connect(
    address: str, target_id: str, timeout_s: float, pacer: read_pacer.ReadPacer
) -> Channel | None:
    """Opens a channel; returns None if no connection is established in time.

    A second attempt starts after `SECOND_CONNECT_SECONDS`, because a lost SYN packet is repeated
    only after a second. A refusal ends both.

    Args:
        address: `ip:port` of the target.
        target_id: Id of the target.
        timeout_s: Longest time in seconds until a connection is established.
        pacer: The `read_pacer.ReadPacer` of the process.
    """
    loop = asyncio.get_running_loop()
    until = clock.now() + timeout_s
    attempts = [loop.create_task(_open(address, target_id, pacer))]
    try:
        while True:
            wait_s = max(0.0, until - clock.now())
            if len(attempts) == 1:
                wait_s = min(wait_s, SECOND_CONNECT_SECONDS)
            done, _ = await asyncio.wait(
                attempts, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
            )
            if done:
                attempt = done.pop()
                attempts.remove(attempt)
                return attempt.result()
            if clock.now() >= until:
                return None
            if len(attempts) == 1:
                attempts.append(loop.create_task(_open(address, target_id, pacer)))
    except (OSError, ValueError):
        return None
    finally:
        for attempt in attempts:
            _discard(attempt)


async def can_connect(address: str, timeout_s: float) -> bool:
    """Returns whether a target accepts a connection within `timeout_s` seconds."""
    channel = await connect(address, "", timeout_s, read_pacer.ReadPacer())
    if channel is not None:
        channel.abort()
    return channel is not None
