"""Tests of clients of targets that send a response without end."""

import asyncio
import contextlib
import unittest.mock

import pytest

from chiveswitch.engine_orders import orders_client
from chiveswitch.targets import bounded_connection, engine_client, service_client

# Bytes after which the stand-ins stop sending and give up.
MAX_SENT_BYTES = 64 * 1024 * 1024
BLOCK = b"x" * 8000
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "head": (HEAD, b"X-Filler: " + BLOCK + b"\r\n"),
    "chunk": (CHUNKED + b"fffffffffff\r\n", BLOCK),
    "chunks": (CHUNKED, b"%x\r\n%b\r\n" % (len(BLOCK), BLOCK)),
    "body": (HEAD + b"Content-Length: 99999999999\r\n\r\n", BLOCK),
}


async def count_sent(form, request) -> int:
    """Returns the bytes that a target could send of an endless response to a request.

    Args:
        form: Key of `ENDLESS`.
        request: Coroutine function that sends a request to an address.
    """
    begin, block = ENDLESS[form]
    sent_bytes = 0
    finished = asyncio.Event()

    async def serve(reader, writer):
        nonlocal sent_bytes
        with contextlib.suppress(OSError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(begin)
            while sent_bytes < MAX_SENT_BYTES:
                writer.write(block)
                await writer.drain()
                sent_bytes += len(block)
        writer.close()
        finished.set()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        await request(f"{host}:{port}")
        await finished.wait()
    finally:
        server.close()
    return sent_bytes


@pytest.mark.parametrize("form", ENDLESS)
def test_a_call_does_not_keep_a_response_without_end(form):
    # Guards against a gateway that runs out of memory because one target sends without end.
    async def call(address):
        outcome = await service_client.send_call(address, "stamp", 1, "", 20.0)
        assert outcome.delivery is service_client.DeliveryStatus.UNKNOWN

    assert asyncio.run(count_sent(form, call)) < MAX_SENT_BYTES


@pytest.mark.parametrize("form", ENDLESS)
def test_an_order_does_not_keep_a_response_without_end(form):
    # Guards against a controller that runs out of memory because one engine sends without end.
    async def order(address):
        details = {"fence": (1, 1, 1), "wanted_models": [], "role": "mixed"}
        sent = unittest.mock.MagicMock(**details)
        result = await orders_client.send_order(address, sent, lambda: True)
        assert result is orders_client.OrderResult.UNKNOWN

    assert asyncio.run(count_sent(form, order)) < MAX_SENT_BYTES


@pytest.mark.parametrize("form", ENDLESS)
def test_a_stream_does_not_keep_a_response_without_end(form):
    # Guards against a gateway that runs out of memory because one engine sends without end.
    async def stream(address):
        client = engine_client.EngineClient()
        with pytest.raises((bounded_connection.ResponseTooLargeError, ValueError)):
            opened = await client.start_attempt(address, {})
            async for _ in opened.read_batches():
                pass
        await client.close()

    assert asyncio.run(count_sent(form, stream)) < MAX_SENT_BYTES


@pytest.mark.parametrize("form", ENDLESS)
def test_a_cancellation_does_not_keep_a_response_without_end(form):
    # Guards against a gateway that keeps what an engine sends after the status of a cancellation.
    async def cancel(address):
        client = engine_client.EngineClient()
        await client.cancel_attempt(address, "a")
        await client.close()

    assert asyncio.run(count_sent(form, cancel)) < MAX_SENT_BYTES
