"""Tests of client links and their server over the loopback interface."""

import asyncio
import socket
import time
from unittest import mock

import expression

from chiveswitch.core import codes, memory_budget
from chiveswitch.peers import frames, hub, hub_watch, kinds, links
from chiveswitch.tools import processes
from features import platform_standins

KIND = kinds.Kind.DIRECTORY_PULL


def run(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, 30))


async def start(handler):
    port = processes.free_port()
    server = links.Server({KIND: handler})
    await server.start("127.0.0.1", port)
    return server, links.Link(f"127.0.0.1:{port}")


async def call_until_ok(link, payload):
    while True:
        result = await link.call(KIND, payload, 1.0)
        if result.is_ok():
            return result.ok


def test_replies_reach_their_callers():
    # Guards against a reply that reaches the wrong caller when a later request is answered first.
    async def scenario():
        async def handler(payload, trace):
            await asyncio.sleep(0.05 if payload == b"slow" else 0)
            return expression.Ok(payload + b"!")

        server, link = await start(handler)
        await call_until_ok(link, b"first")
        answers = await asyncio.gather(link.call(KIND, b"slow", 2.0), link.call(KIND, b"q", 2.0))
        await link.close()
        await server.close()
        return [answer.ok for answer in answers]

    assert run(scenario()) == [b"slow!", b"q!"]


def test_failing_handler_answers_with_a_code():
    async def scenario():
        async def handler(payload, trace):
            raise RuntimeError("fault")

        server, link = await start(handler)
        result = await link.call(KIND, b"", 2.0)
        while result.error.code == codes.Code.LINK_CLOSED:
            result = await link.call(KIND, b"", 2.0)
        await link.close()
        await server.close()
        return result.error.code

    assert run(scenario()) == codes.Code.INTERNAL


def test_link_reconnects_when_its_connection_delivers_nothing():
    # Guards against a link that keeps a connection which stays open but delivers no data, although
    # a new connection to the same peer would work.
    async def scenario():
        port = processes.free_port()
        silent = True
        closing = asyncio.Event()
        silent_tasks = []
        server = links.Server({KIND: lambda payload, trace: expression.Ok(b"ok")})

        async def accept(reader, writer):
            if silent:
                silent_tasks.append(asyncio.current_task())
                await closing.wait()
                writer.close()
                return
            await server._serve_connection(reader, writer)

        listener = await asyncio.start_server(accept, "127.0.0.1", port)
        link = links.Link(f"127.0.0.1:{port}")
        first = await link.call(KIND, b"", 0.1)
        silent = False
        answer = await call_until_ok(link, b"")
        await link.close()
        listener.close()
        closing.set()
        await asyncio.gather(*silent_tasks)
        return first.error.code, answer

    first, answer = run(scenario())
    assert first in (codes.Code.LINK_TIMEOUT, codes.Code.LINK_CLOSED)
    assert answer == b"ok"


def test_unreachable_peer_fails_calls_at_once():
    async def scenario():
        link = links.Link(f"127.0.0.1:{processes.free_port()}")
        result = await link.call(KIND, b"", 10.0)
        await link.close()
        return result.error.code

    assert run(scenario()) == codes.Code.LINK_CLOSED


def test_failing_plain_handler_and_unknown_codes_leave_the_connection_open():
    # Guards against other calls of a connection that fail because the handler of one raised an
    # error, or because a peer of a later version answered with a code that is unknown here.
    class LaterCode(int):
        pass

    def handler(payload, _trace):
        if payload == b"raise":
            raise RuntimeError("fault")
        if payload == b"later":
            return expression.Error(codes.Failure(LaterCode(9999), "a later code"))
        return expression.Ok(payload)

    async def scenario():
        server, link = await start(handler)
        await call_until_ok(link, b"first")
        found = await asyncio.gather(
            *(link.call(KIND, payload, 2.0) for payload in (b"raise", b"later", b"sound"))
        )
        connected = link.connected
        await link.close()
        await server.close()
        return found, connected

    (raised, later, sound), connected = run(scenario())
    assert raised.error.code == later.error.code == codes.Code.INTERNAL
    assert "9999" in later.error.message
    assert sound.ok == b"sound" and connected


def test_a_server_closes_connections_on_which_nothing_arrives():
    # Guards against connections of peers that are gone, which are kept until the process ends, and
    # against closing those of peers that have no requests but send pings.
    async def scenario():
        server, link = await start(lambda payload, _trace: expression.Ok(payload))
        await call_until_ok(link, b"first")
        host, _, port = link.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            async with asyncio.timeout(10.0):
                assert await reader.read() == b""
        except ConnectionResetError:
            pass
        kept = link.connected
        writer.close()
        await link.close()
        await server.close()
        return kept

    with (
        mock.patch.object(links, "IDLE_TIMEOUT_SECONDS", 1.0),
        mock.patch.object(links, "IDLE_CHECK_SECONDS", 0.2),
    ):
        assert run(scenario())


def test_a_server_waits_for_clients_that_receive_a_large_reply():
    # Guards against large replies over slow connections that are cut off each time, because clients
    # send nothing while their parts arrive.
    longest_call = hub.LONG_POLL_SECONDS + hub_watch.RESPONSE_MARGIN_SECONDS
    longest_call += links.MAX_TRANSFER_SECONDS
    assert links.IDLE_TIMEOUT_SECONDS >= longest_call + 10.0


def test_a_link_to_a_peer_that_reads_nothing_is_closed_in_time():
    # Guards against a connection that is closed and yet kept, with what the peer has not accepted,
    # until the process ends.
    async def scenario():
        writers = []
        open_connection = asyncio.open_connection

        async def record_connection(*args, **options):
            reader, writer = await open_connection(*args, **options)
            writers.append(writer)
            return reader, writer

        with socket.create_server(("127.0.0.1", 0)) as peer:
            with mock.patch.object(asyncio, "open_connection", record_connection):
                link = links.Link(f"127.0.0.1:{peer.getsockname()[1]}")
                await platform_standins.wait_until(lambda: link.connected)
            link.post(KIND, bytes(16 << 20))
            (writer,) = writers
            await platform_standins.wait_until(writer.transport.get_write_buffer_size)
            await link.close()
            await asyncio.wait_for(asyncio.shield(writer.wait_closed()), 3.0)

    run(scenario())


def test_a_server_closes_connections_of_peers_that_read_nothing_in_time():
    # Guards against a server that waits for a peer which accepts no replies any more.
    async def scenario():
        server, link = await start(lambda payload, _trace: expression.Ok(payload))
        await call_until_ok(link, b"first")
        await link.close()
        request = frames.encode_frame(
            frames.idl.Envelope(
                version=frames.WIRE_VERSION,
                kind=int(KIND),
                request_id=1,
                is_reply=False,
                code=0,
                payload=bytes(16 << 20),
                trace="",
            )
        )
        host, _, port = link.address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port), limit=1)
        writer.write(request)
        await writer.drain()
        await platform_standins.wait_until(lambda: server.bytes_out > len(request) / 2)
        tasks = set(server._connection_tasks)
        await server.close()
        await asyncio.sleep(2 * links.CLOSE_TIMEOUT_SECONDS)
        assert tasks and all(task.done() for task in tasks)
        writer.transport.abort()

    run(scenario())


def keep_busy(seconds):
    """Blocks the event loop."""
    time.sleep(seconds)


def test_a_server_whose_checks_are_always_late_closes_idle_connections():
    # Guards against connections of peers that are gone, which a process that is busy all the time
    # keeps for ever.
    async def scenario():
        server, link = await start(lambda payload, _trace: expression.Ok(payload))
        await link.close()
        host, _, port = link.address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        await platform_standins.wait_until(lambda: len(server._client_by_writer) == 1)
        for _ in range(12):
            keep_busy(2.5 * links.IDLE_CHECK_SECONDS)
            await asyncio.sleep(0.001)
        open_count = len(server._client_by_writer)
        writer.transport.abort()
        await server.close()
        return open_count

    with (
        mock.patch.object(links, "IDLE_TIMEOUT_SECONDS", 1.0),
        mock.patch.object(links, "IDLE_CHECK_SECONDS", 0.1),
    ):
        assert run(scenario()) == 0


def test_a_link_resets_a_connection_that_delivers_nothing():
    # Guards against requests that the system still holds for a connection that was given up, and
    # that reach the peer after those of the next connection.
    async def scenario():
        ends = []

        async def accept(reader, writer):
            try:
                while await reader.read(65536):
                    pass
                ends.append("end")
            except ConnectionResetError:
                ends.append("reset")
            writer.close()

        port = processes.free_port()
        listener = await asyncio.start_server(accept, "127.0.0.1", port)
        link = links.Link(f"127.0.0.1:{port}")
        while not ends:
            link.post(KIND, b"")
            await asyncio.sleep(0.05)
        await link.close()
        listener.close()
        return ends[0]

    assert run(scenario()) == "reset"


def test_a_closed_connection_whose_peer_reads_the_rest_is_not_closed_again():
    # Guards against an exception in the event loop a second after a connection was closed whose
    # peer has accepted the buffered data meanwhile.
    async def scenario():
        faults = []
        asyncio.get_running_loop().set_exception_handler(lambda _loop, fault: faults.append(fault))
        buffered = []

        async def send_and_close(_reader, writer):
            writer.write(bytes(16 << 20))
            buffered.append(writer.transport.get_write_buffer_size())
            links._close_in_time(writer)

        listener = await asyncio.start_server(send_and_close, "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*listener.sockets[0].getsockname())
        received = await reader.read()
        await asyncio.sleep(links.CLOSE_TIMEOUT_SECONDS + 0.2)
        writer.close()
        listener.close()
        return buffered[0], len(received), faults

    buffered, received, faults = run(scenario())
    assert buffered and received == 16 << 20
    assert faults == []


def test_a_link_is_kept_while_a_large_request_is_on_its_way():
    # Guards against large requests over slow connections, which take longer than the reply to a
    # ping may, and are cut off and sent anew each time.
    size = 16 << 20

    async def scenario():
        server = links.Server({KIND: lambda payload, _trace: expression.Ok(b"%d" % len(payload))})
        accepted = []

        async def serve_slowly(reader, writer):
            accepted.append(writer)
            read = reader.read

            async def read_slowly(count):
                await asyncio.sleep(count / 6e6)
                return await read(count)

            reader.read = read_slowly
            await server._serve_connection(reader, writer)

        listener = await asyncio.start_server(serve_slowly, "127.0.0.1", 0)
        link = links.Link("{}:{}".format(*listener.sockets[0].getsockname()))
        await platform_standins.wait_until(lambda: link.connected)
        result = await link.call(KIND, bytes(size), 15.0)
        await link.close()
        listener.close()
        return result, len(accepted)

    result, accepted = run(scenario())
    assert result.is_ok() and result.ok == b"%d" % size
    assert accepted == 1


def test_a_link_is_kept_while_parts_of_a_large_reply_arrive():
    # Guards against large replies over slow connections that are cut off, because only whole
    # replies count as data.
    async def scenario():
        async def reply_slowly(reader, writer):
            request = (await frames.read_frame(reader)).ok
            request.is_reply, request.code = True, int(codes.Code.OK)
            request.payload = bytes(1 << 20)
            frame = frames.encode_frame(request)
            for start in range(0, len(frame), 50_000):
                writer.write(frame[start : start + 50_000])
                await asyncio.sleep(0.1)
            writer.close()

        listener = await asyncio.start_server(reply_slowly, "127.0.0.1", 0)
        link = links.Link("{}:{}".format(*listener.sockets[0].getsockname()))
        result = await link.call(KIND, b"", 5.0)
        await link.close()
        listener.close()
        return result

    result = run(scenario())
    assert result.is_ok() and len(result.ok) == 1 << 20


def test_frames_that_are_never_complete_leave_room():
    # Load: clients that send a large frame up to its last byte and stop there.
    async def scenario():
        budget = memory_budget.MemoryBudget(72_000_000, 600)
        server = links.Server({KIND: lambda payload, trace: expression.Ok(b"ok")}, budget)
        port = processes.free_port()
        await server.start("127.0.0.1", port)
        size = 1024 * 1024
        writers = []
        for _ in range(8):
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(frames.LENGTH_PREFIX.pack(size) + b"x" * (size - 1))
            writers.append(writer)
        await platform_standins.wait_until(lambda: server.evicted_count >= 6)
        assert budget.held_by_kind[memory_budget.Kind.FRAMES] <= 2 * size
        result = await links.call_once(f"127.0.0.1:{port}", KIND, b"", 3.0)
        assert result.ok == b"ok"
        for writer in writers:
            writer.transport.abort()
        await server.close()

    asyncio.run(scenario())
