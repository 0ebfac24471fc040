"""Tests of servers inside daemons: what a stop waits for."""

import asyncio
import time
from unittest import mock

from chiveswitch.tools import processes, serving

BODY_BYTES = 20_000_000


async def serve_large(_scope, _receive, send):
    """Sends a response that does not fit into the system's buffers."""
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"x" * BODY_BYTES})


async def serve_without_end(_scope, _receive, _send):
    """Never sends a response."""
    await asyncio.sleep(60)


def run_with_server(app, scenario):
    async def with_server():
        port = processes.free_port()
        server = await serving.start(app, "127.0.0.1", port)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await asyncio.sleep(0.2)
        await scenario(server, reader)
        writer.transport.abort()
        await asyncio.sleep(0)

    asyncio.run(with_server())


def test_a_stop_waits_until_the_last_response_is_sent():
    # Guards against a daemon that ends while its caller has not got the end of a response.
    async def scenario(server, reader):
        stopping = asyncio.ensure_future(serving.stop(server, 5.0))
        await asyncio.sleep(0.5)
        assert not stopping.done()
        received = await reader.read(-1)
        assert received.endswith(b"0\r\n\r\n") and received.count(b"x") >= BODY_BYTES
        await stopping

    run_with_server(serve_large, scenario)


def test_a_stop_does_not_wait_for_ever():
    # Guards against a daemon that does not end because a response does not.
    async def scenario(server, _reader):
        started = time.monotonic()
        await serving.stop(server, 0.3)
        assert time.monotonic() - started < 1.5

    run_with_server(serve_without_end, scenario)


def test_a_connection_whose_caller_takes_no_bytes_is_given_up():
    # Guards against connections of callers that are gone without a reset, which are kept with their
    # unsent bytes, and their handlers with them, until the process ends.
    async def scenario(server, _reader):
        assert len(server.server_state.connections) == 1
        await asyncio.sleep(2.5)
        assert not server.server_state.connections
        assert not server.server_state.tasks

    with (
        mock.patch.object(serving, "SEND_TIMEOUT_SECONDS", 1.0),
        mock.patch.object(serving, "SEND_CHECK_SECONDS", 0.2),
    ):
        run_with_server(serve_large, scenario)
