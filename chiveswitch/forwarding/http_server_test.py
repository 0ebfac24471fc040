"""Tests of the HTTP server for callers: refused input, and the responses on each connection."""

import asyncio
import socket
import time
from unittest import mock

import pytest

from chiveswitch.core import clock, routing
from chiveswitch.forwarding import http_server
from chiveswitch.tools import processes
from features import platform_standins

LIMITS = routing.Limits(header_bytes=1000, body_bytes=100, header_timeout_s=0.2, idle_timeout_s=0.5)
LARGE_BODY = b"x" * 8_000_000


class Echo:
    """Answers with the request target and body; `/wait` waits until the caller disconnects."""

    def __init__(self):
        self.seen = []
        self.disconnected = []

    async def handle(self, request, responder):
        self.seen.append((request.request_target, bytes(request.body)))
        if request.path == "/wait":
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                self.disconnected.append(request.request_target)
                raise
        if request.path == "/slow":
            await asyncio.sleep(0.2)
        if request.path == "/large":
            responder.send(200, [], LARGE_BODY)
            return
        if request.path == "/fault":
            raise RuntimeError("a fault of the handler")
        responder.send(200, [], request.request_target.encode() + b"|" + bytes(request.body))


def run(scenario, limits=LIMITS):
    async def with_server():
        echo = Echo()
        echo.server = server = http_server.Server(echo.handle, lambda: limits)
        address = f"127.0.0.1:{processes.free_port()}"
        await server.start(address)
        try:
            await scenario(echo, address)
        finally:
            await server.close()

    asyncio.run(with_server())


def exchange(data, seconds=3.0):
    results = []

    async def scenario(echo, address):
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        try:
            async with asyncio.timeout(seconds):
                results.append(await reader.read(-1))
        except (TimeoutError, ConnectionError):
            results.append(b"")
        results.append(echo.seen)
        writer.transport.abort()

    run(scenario)
    return results


def test_100_continue_is_sent_between_responses():
    # Guards against a response that is spoiled by the interim response to the next request, which
    # the caller has sent ahead.
    body = b"z" * 50

    async def scenario(_echo, address):
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
        writer.write(b"GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
        writer.write(b"POST /next HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n")
        writer.write(b"Content-Length: 50\r\n\r\n")
        for _ in range(2):
            assert (await reader.readuntil(b"\r\n")).startswith(b"HTTP/1.1 200")
            await reader.readuntil(b"\r\n\r\n/slow|")
        # The time in which the caller waited for this does not count as slow sending.
        assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        await asyncio.sleep(LIMITS.header_timeout_s / 2)
        writer.write(body)
        assert (await reader.readuntil(b"\r\n")).startswith(b"HTTP/1.1 200")
        await reader.readuntil(b"\r\n\r\n/next|" + body)
        writer.transport.abort()

    run(scenario)


def test_100_continue_is_not_sent_after_the_body():
    # Guards against an interim response that nobody waits for any more.
    data = b"POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
    data += b"POST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nz"
    received, _ = exchange(data + b"GET /c HTTP/1.1\r\nConnection: close\r\n\r\n")
    assert received.count(b"HTTP/1.1 200") == 3 and b" 100 " not in received


@pytest.mark.parametrize(
    "data, status",
    [
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 2000 + b"\r\n\r\n", 431),
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 2000, 431),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n" + b"z" * 101, 413),
        (b"no request at all\r\n\r\n", 400),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n",
            400,
        ),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400),
        (b"GET / HTTP/1.1\r\nHost: h\r\n", 408),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab", 408),
    ],
)
def test_bad_input_is_refused_and_the_connection_ends(data, status):
    # Guards against request smuggling, unbounded heads and bodies, and requests that never end.
    answer, seen = exchange(data)
    assert answer.startswith(b"HTTP/1.1 %d" % status)
    assert b"Connection: close" in answer
    assert seen == []


def test_a_request_inside_a_body_is_only_a_body():
    inner = b"GET /inner HTTP/1.1\r\nHost: h\r\n\r\n"
    data = b"POST /outer HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
    data += b"Content-Length: %d\r\n\r\n" % len(inner) + inner
    answer, seen = exchange(data)
    assert seen == [("/outer", inner)]
    assert answer.endswith(b"/outer|" + inner)


def test_requests_sent_ahead_are_answered_in_order():
    data = b"".join(b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n" % n for n in range(5))
    data += b"GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    answer, seen = exchange(data)
    assert [target for target, _ in seen] == ["/0", "/1", "/2", "/3", "/4", "/last"]
    assert answer.count(b"HTTP/1.1 200") == 6


def test_a_chunked_body_is_read_whole():
    data = b"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
    data += b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    _, seen = exchange(data)
    assert seen == [("/c", b"abcde")]


def test_a_large_body_may_take_longer_than_the_header_timeout():
    # Guards against a large config or request that a slow link never gets through, because the
    # whole body has to arrive within a time that does not depend on its size.
    limits = routing.Limits(
        header_bytes=1000, body_bytes=1 << 20, header_timeout_s=1.0, idle_timeout_s=5.0
    )
    parts = [b"z" * http_server.MIN_BODY_PROGRESS_BYTES] * 12

    async def scenario(echo, address):
        host, _, port = address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        length = sum(len(part) for part in parts)
        writer.write(b"POST /large HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % length)
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0.2)
        await platform_standins.wait_until(lambda: echo.seen)
        assert echo.seen == [("/large", b"".join(parts))]
        writer.transport.abort()

    run(scenario, limits)


def test_a_caller_that_leaves_ends_its_request():
    # Guards against handlers that continue to run after the caller has disconnected.
    async def scenario(echo, address):
        host, _, port = address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
        await platform_standins.wait_until(lambda: echo.seen)
        writer.transport.abort()
        await platform_standins.wait_until(lambda: echo.disconnected)

    run(scenario)


def test_a_fault_of_a_handler_ends_one_request_only():
    async def scenario(echo, address):
        failed = await platform_standins.send_request(address, "GET", "/fault")
        assert failed.status == 500
        assert (await platform_standins.send_request(address, "GET", "/x")).body == b"/x|"

    run(scenario)


def test_an_idle_connection_is_closed():
    answer, _ = exchange(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 200") and b"Connection: close" not in answer


async def connect(address, data=b""):
    """Connects with a blocking socket, sends bytes and reads nothing yet."""
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host, int(port)))
    sock.sendall(data)
    sock.setblocking(False)
    return sock


async def read_all(sock, seconds=5.0):
    """Reads until the server ends the connection; raises ConnectionResetError if it is reset."""
    received = b""
    try:
        async with asyncio.timeout(seconds):
            while data := await asyncio.get_running_loop().sock_recv(sock, 1 << 20):
                received += data
    finally:
        sock.close()
    return received


def statuses(received):
    """Returns the status of each response in some bytes."""
    return [int(part[:3]) for part in received.split(b"HTTP/1.1 ")[1:]]


def test_a_refusal_reaches_a_caller_that_is_still_sending():
    # Guards against a close with unread input, which resets the connection and destroys the
    # response before the caller has read it.
    async def scenario(echo, address):
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n"
        sock = await connect(address, head + b"z" * 200)
        loop = asyncio.get_running_loop()
        for _ in range(8):
            await asyncio.sleep(0.02)
            await loop.sock_sendall(sock, b"z" * 100_000)
        assert statuses(await read_all(sock)) == [413]

    run(scenario)


def test_a_connection_that_the_caller_keeps_open_is_closed_after_its_last_response():
    # Guards against callers that hold connections for ever after the end of the response.
    async def scenario(echo, address):
        sock = await connect(address, b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        await asyncio.sleep(http_server.LINGER_SECONDS / 2)
        assert echo.server.count_by_state()["ending"] == 1 and not echo.server.busy_count()
        await asyncio.sleep(http_server.LINGER_SECONDS / 2 + 3 * http_server.EXPIRY_CHECK_SECONDS)
        assert not echo.server.connections
        assert statuses(await read_all(sock)) == [200]

    run(scenario)


@pytest.mark.parametrize(
    "data, expected",
    [
        (b"", []),
        (b"GET /a HT", [503]),
        (b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab", [503]),
        (b"GET /slow HTTP/1.1\r\nHost: h\r\n\r\n", [200]),
        (b"GET /slow HTTP/1.1\r\nHost: h\r\n\r\n" * 3, [200, 200, 200]),
        (b"GET /large HTTP/1.1\r\nHost: h\r\n\r\n", [200]),
        (b"GET /slow HTTP/1.1\r\nHost: h\r\n\r\nGET /b HT", [200]),
    ],
    ids=["idle", "head", "body", "in progress", "ahead", "unsent", "ahead in part"],
)
def test_a_closing_server_answers_what_it_has_read(data, expected):
    # Guards against connections that are closed without a response, or before its last byte was
    # sent, although a request was read.
    async def scenario(echo, address):
        sock = await connect(address, data)
        await asyncio.sleep(0.05)
        closing = asyncio.ensure_future(echo.server.close(3.0))
        await asyncio.sleep(0.3)
        received = await read_all(sock)
        await closing
        assert statuses(received) == expected
        if b"large" in data:
            assert received.endswith(LARGE_BODY)
        # The head of the large response was written before.
        if expected and b"large" not in data:
            assert received.count(b"Connection: close") == 1
        with pytest.raises(OSError):
            await connect(address)

    run(scenario)


def test_a_closing_server_answers_connections_that_it_had_not_accepted():
    # Guards against the reset of requests that wait in the system's queue of connections.
    async def scenario(echo, address):
        data = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
        # Nothing here lets the event loop accept them.
        sockets = [await connect(address, data) for _ in range(50)]
        await asyncio.gather(echo.server.close(2.0), *(finish(sock) for sock in sockets))

    async def finish(sock):
        assert statuses(await read_all(sock)) == [200]

    run(scenario)


def test_a_connection_is_busy_until_its_last_response_is_sent():
    # Guards against a stop that ends while a slow caller still receives its response.
    async def scenario(echo, address):
        sock = await connect(address, b"GET /large HTTP/1.1\r\n\r\n")
        server = echo.server
        await platform_standins.wait_until(lambda: server.count_by_state()["sending"] == 1)
        assert server.busy_count() == 1
        assert len(await read_all(sock)) > len(LARGE_BODY)
        assert server.busy_count() == 0

    run(scenario)


def test_a_closing_server_does_not_wait_for_idle_connections():
    # Guards against a stop that takes longer because callers keep connections open.
    async def scenario(echo, address):
        sock = await connect(address)
        await platform_standins.wait_until(lambda: echo.server.connections)
        started = clock.now()
        await echo.server.close(5.0)
        assert clock.now() - started < 2.0
        sock.close()

    run(scenario)


def test_a_closing_server_waits_for_a_bounded_time():
    # Guards against a process that does not end because a handler or a caller does not.
    async def scenario(echo, address):
        silent = await connect(address, b"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
        idle = await connect(address)
        await asyncio.sleep(0.05)
        started = asyncio.get_running_loop().time()
        await echo.server.close(0.3)
        assert asyncio.get_running_loop().time() - started < 0.8
        assert echo.disconnected == ["/wait"]
        silent.close()
        idle.close()

    run(scenario)


@pytest.mark.parametrize("field", [b"", b"Connection: close\r\n"])
def test_a_connection_whose_caller_takes_no_bytes_is_given_up(field):
    # Guards against connections of callers that are gone without a reset, which are kept with their
    # unsent bytes until the process ends because each check prolongs them.
    async def scenario(echo, address):
        silent = await connect(address, b"GET /large HTTP/1.1\r\nHost: h\r\n" + field + b"\r\n")
        await platform_standins.wait_until(lambda: echo.server.busy_count() == 1)
        await platform_standins.wait_until(lambda: not echo.server.connections, 4.0)
        silent.close()

    run(scenario)


def test_a_slow_caller_receives_the_whole_response():
    # Guards against giving up a caller that reads slowly, for longer than the idle timeout.
    async def scenario(_echo, address):
        caller = await connect(address, b"GET /large HTTP/1.1\r\nConnection: close\r\n\r\n")
        loop, started, size = asyncio.get_running_loop(), clock.now(), 0
        while data := await loop.sock_recv(caller, 400_000):
            size += len(data)
            await asyncio.sleep(0.04)
        assert size > len(LARGE_BODY)
        assert clock.now() - started > LIMITS.idle_timeout_s
        caller.close()

    run(scenario)


def keep_busy(seconds):
    """Blocks the event loop."""
    time.sleep(seconds)


def test_a_server_whose_checks_are_always_late_closes_idle_connections():
    # Guards against connections that are kept for ever by a process that is busy all the time.
    async def scenario(echo, address):
        idle = await connect(address)
        await platform_standins.wait_until(lambda: echo.server.connections)
        until = clock.now() + 4.0
        while echo.server.connections and clock.now() < until:
            keep_busy(2 * http_server.EXPIRY_CHECK_SECONDS)
            await asyncio.sleep(0.001)
        assert not echo.server.connections
        idle.close()

    with mock.patch.object(http_server, "EXPIRY_CHECK_SECONDS", 0.1):
        run(scenario)
