"""Tests of what counts as the answer of a service."""

import asyncio

import pytest

from chiveswitch.targets import service_client

BODY = b'{"stamped":1}'
LENGTH = b"Content-Length: %d\r\n\r\n" % len(BODY)


def call(data):
    """Returns the outcome of a call to a service that sends some bytes and then closes."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        writer.close()

    async def scenario():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        try:
            return await service_client.send_call(f"{host}:{port}", "stamp", 1, "", 10.0)
        finally:
            server.close()

    return asyncio.run(scenario())


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 000 Trouble\r\n" + LENGTH + BODY,
        b"HTTP/1.1 099 Trouble\r\n" + LENGTH + BODY,
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 600 Trouble\r\n" + LENGTH + BODY,
        b"HTTP/1.1 200 OK\r\n\r\n" + BODY,
        b"HTTP/1.1 200 OK\r\n" + LENGTH + BODY[:5],
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(BODY), BODY),
    ],
)
def test_bytes_that_are_no_whole_answer_leave_the_outcome_unknown(data):
    # Guards against callers that get a status that HTTP does not have, or an empty or cut body, as
    # the answer of a service.
    outcome = call(data)
    assert outcome.delivery is service_client.DeliveryStatus.UNKNOWN
    assert (outcome.status, outcome.body) == (0, b"")


@pytest.mark.parametrize(
    ("data", "status", "body"),
    [
        (b"HTTP/1.1 200 OK\r\n" + LENGTH + BODY, 200, BODY),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 200, b""),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n"
            % (len(BODY), BODY),
            200,
            BODY,
        ),
        (b"HTTP/1.1 204 No Content\r\n\r\n", 204, b""),
        (b"HTTP/1.1 503 Full\r\n" + LENGTH + BODY, 503, BODY),
    ],
)
def test_a_whole_answer_is_passed_on(data, status, body):
    # Guards against sound answers that are taken for lost ones.
    outcome = call(data)
    assert outcome.delivery is service_client.DeliveryStatus.ANSWERED
    assert (outcome.status, outcome.body) == (status, body)
