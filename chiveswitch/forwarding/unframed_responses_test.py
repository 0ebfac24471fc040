"""Tests of responses with neither a length nor chunks, which end with their connection."""

import asyncio
import socket
import struct

import orjson
import pytest

from chiveswitch.core import clock
from chiveswitch.forwarding import endless_bytes_test, forwarder_test
from features import platform_standins

HEAD = endless_bytes_test.HEAD + b"\r\n"
EVENT_COUNT = 12
# More than the system receives on a connection that is not read from.
UPLOAD = b"u" * 4_000_000


def reset(writer):
    """Resets a connection: with a linger time of 0, closing the socket sends a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def close(writer):
    """Closes a connection after all written bytes."""
    writer.close()


async def end_and_reset(writer):
    """Ends the written side of a connection and resets it when the end has arrived."""
    writer.write_eof()
    await asyncio.sleep(0.05)
    reset(writer)


def send_body(body, end):
    """Returns a function that answers with a body and then ends the connection."""

    async def write_answer(target, writer, request_id):
        await target.write(writer, HEAD % request_id + body)
        await asyncio.sleep(0.05)
        end(writer)

    return write_answer


def events(first, end):
    """Returns the events from the number `first` up to but without `end`."""
    return b"".join(b"id: %d\ndata: x\n\n" % number for number in range(first, end))


@pytest.mark.parametrize("size", [0, 10, 1_000_000])
def test_a_call_whose_response_ends_with_its_connection_is_delivered(tmp_path, size):
    # Guards against callers that wait for the rest of a response that is complete.
    async def scenario(fixture):
        target = endless_bytes_test.RawTarget("t", send_body(b"x" * size, close))
        await target.start(fixture, "plain", "a")
        for number in range(2):
            answer = await forwarder_test.call(fixture, f"r{number}")
            assert answer.complete and answer.status == 200
            assert answer.body == b"x" * size
            assert answer.value_by_header["x-response-seal"] == "seal"
        assert target.request_count == 2
        await target.stop()

    forwarder_test.run(scenario, tmp_path)


@pytest.mark.parametrize("size", [10, 1_000_000])
def test_a_call_whose_response_was_reset_does_not_look_complete(tmp_path, size):
    # Guards against a truncated response that callers take for the whole one.
    async def scenario(fixture):
        target = endless_bytes_test.RawTarget("t", send_body(b"x" * size, reset))
        await target.start(fixture, "plain", "a")
        answer = await forwarder_test.call(fixture, "u1")
        assert answer.status == 502 or not answer.complete
        assert target.request_count == 1
        if size < 1_000_000:
            await fixture.add("w0", "plain", "a")
            answer = await forwarder_test.call(fixture, "s1", "/r/x", "GET", b"")
            assert answer.status == 200 and answer.body.startswith(b"GET /r/x")
        await target.stop()

    forwarder_test.run(scenario, tmp_path)


def test_a_stream_that_ends_with_its_connection_is_complete(tmp_path):
    # Guards against a stream that is requested again, or reported as broken off, after its end.
    async def scenario(fixture):
        target = endless_bytes_test.RawTarget("e", send_body(events(0, EVENT_COUNT), close))
        await target.start(fixture, "engines", "a")
        answer = await forwarder_test.stream(fixture, "r1")
        assert answer.complete and answer.event_ids() == list(range(EVENT_COUNT))
        assert target.request_count == 1
        await target.stop()

    forwarder_test.run(scenario, tmp_path)


@pytest.mark.parametrize(
    ("sent", "end", "last_id"),
    [
        (events(0, 5) + b"id: 5\ndata: ", close, "4"),
        (events(0, 5) + b"id: 5\ndata: x\n", close, "4"),
        (events(0, 5), reset, "4"),
        (events(0, 5) + b"id", reset, "4"),
        (b"id: 0\nda", close, None),
    ],
)
def test_a_stream_that_was_broken_off_continues_at_another_engine(tmp_path, sent, end, last_id):
    # Guards against a stream that ends inside an event, or with a reset, and looks complete.
    async def scenario(fixture):
        broken = endless_bytes_test.RawTarget("e0", send_body(sent, end))
        await broken.start(fixture, "engines", "a")
        task = asyncio.ensure_future(forwarder_test.stream(fixture, "r1"))
        await platform_standins.wait_until(lambda: broken.request_count)
        sound = await fixture.add("e1", "engines", "b")
        answer = await task
        assert answer.complete and answer.event_ids() == list(range(EVENT_COUNT))
        assert [fields.get("last-event-id") for _, fields in sound.runs] == [last_id]
        await broken.stop()

    forwarder_test.run(scenario, tmp_path)


def test_a_rejection_that_ends_with_its_connection_is_understood(tmp_path):
    # Guards against an unrepeatable call that is not sent to another target although the first one
    # has stated that it did not run it.
    async def write_rejection(target, writer, request_id):
        head = b"HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\n\r\n"
        await target.write(writer, head % request_id)
        writer.close()

    async def scenario(fixture):
        target = endless_bytes_test.RawTarget("t", write_rejection)
        await target.start(fixture, "plain", "a")
        full = fixture.table.find("t")
        await fixture.add("w0", "plain", "a")
        fixture.table.find("w0").open_requests = 1000
        answer = await forwarder_test.call(fixture, "u1")
        assert answer.status == 200 and target.request_count == 1
        assert full.failure_rate == 0.0
        await target.stop()

    forwarder_test.run(scenario, tmp_path)


@pytest.mark.parametrize(("end", "is_made"), [(close, True), (reset, False)])
def test_the_response_to_a_requested_copy_may_end_with_its_connection(tmp_path, end, is_made):
    # Guards against copies that exist but are not known, because the response that names them has
    # no length, and against copies named by a response that was broken off.
    async def write_answer(target, writer, _request_id):
        body = orjson.dumps({"handle": "h1", "made": 3})
        await target.write(writer, b"HTTP/1.1 200 OK\r\n\r\n" + body)
        end(writer)

    async def scenario(fixture):
        source = endless_bytes_test.RawTarget("e0", write_answer, makes_copies=True)
        await source.start(fixture, "engines", "a")
        dialect = fixture.gateway.dialect
        target = fixture.table.find("e0")
        channel = await fixture.gateway.pool.acquire("e0", target.address, True, 1.0, "r")
        request = dialect.encode_copy_request("r1", target.address, "127.0.0.1:1")
        channel.send(request, ("", ""))
        response = await channel.read_response(clock.now() + 1.0)
        reference = ""
        if response is not None:
            reference = dialect.decode_copy_response(response, target.address)
        assert reference == (f"{target.address}/h1" if is_made else "")
        await source.stop()

    forwarder_test.run(scenario, tmp_path)


async def upload(fixture, prefix, fields):
    """Sends a request with a body that takes a while."""
    fixture.gateway.bundle.limits.body_bytes = len(UPLOAD)
    return await platform_standins.send_request(fixture.address, "POST", prefix, fields, UPLOAD)


@pytest.mark.parametrize("size", [10, 1_000_000])
@pytest.mark.parametrize("end", [end_and_reset, reset, close])
def test_an_early_response_that_is_reset_during_the_upload_does_not_look_complete(
    tmp_path, end, size
):
    # Guards against a part of a response that callers take for the whole one: a reset that follows
    # the end of the connection, while the request is still being sent, was not noticed.
    async def answer_and_end(target, writer, request_id):
        await target.write(writer, HEAD % request_id + b"x" * size)
        ended = end(writer)
        if ended is not None:
            await ended

    async def scenario(fixture):
        target = endless_bytes_test.RawTarget("t", answer_and_end, answers_early=True)
        await target.start(fixture, "plain", "a")
        fields = {"X-Request-Id": "u1", "X-Deadline-Ms": "3000", **forwarder_test.KEY}
        answer = await upload(fixture, "/w/x", fields)
        assert answer.status == 502 or not answer.complete
        assert target.request_count == 1 and target.received_bytes == 0
        await target.stop()

    forwarder_test.run(scenario, tmp_path)


def test_a_stream_that_is_reset_during_the_upload_continues_at_another_engine(tmp_path):
    # Guards against a stream that looks complete after its first events, for the same reason.
    async def scenario(fixture):
        async def begin_and_end(target, writer, request_id):
            await target.write(writer, HEAD % request_id + events(0, 5))
            await fixture.add("e1", "engines", "b")
            await end_and_reset(writer)

        broken = endless_bytes_test.RawTarget("e0", begin_and_end, answers_early=True)
        await broken.start(fixture, "engines", "a")
        answer = await upload(fixture, "/s/x", platform_standins.stream_headers("r"))
        assert answer.complete and answer.event_ids() == list(range(EVENT_COUNT))
        sound = fixture.workers["e1"]
        assert [fields.get("last-event-id") for _, fields in sound.runs] == ["4"]
        await broken.stop()

    forwarder_test.run(scenario, tmp_path)


@pytest.mark.parametrize("size", [10, 1_000_000])
def test_an_early_response_of_a_target_that_reads_on_is_delivered(tmp_path, size):
    # Guards against sound responses that are given up because the request is still being sent.
    async def answer_and_read_on(target, writer, request_id):
        await target.write(writer, HEAD % request_id + b"x" * size)
        writer.write_eof()
        await asyncio.sleep(0.05)

    async def scenario(fixture):
        target = endless_bytes_test.RawTarget("t", answer_and_read_on, answers_early=True)
        await target.start(fixture, "plain", "a")
        fields = {"X-Request-Id": "u1", "X-Deadline-Ms": "3000", **forwarder_test.KEY}
        answer = await upload(fixture, "/w/x", fields)
        assert answer.status == 200 and answer.complete
        assert answer.body == b"x" * size
        await platform_standins.wait_until(lambda: target.received_bytes == len(UPLOAD))
        await target.stop()

    forwarder_test.run(scenario, tmp_path)


@pytest.mark.parametrize("prefix", ["/w/x", "/s/x"])
@pytest.mark.parametrize("end", [end_and_reset, reset])
def test_an_early_rejection_that_is_reset_during_the_upload_is_understood(tmp_path, end, prefix):
    # Guards against an unrepeatable request that is not sent to another target although the head of
    # the first one's response states that it was not run.
    async def scenario(fixture):
        service = "engines" if prefix == "/s/x" else "plain"

        async def reject_and_end(target, writer, request_id):
            await fixture.add("w0", service, "b")
            head = b"HTTP/1.1 503 Full\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\n\r\nfull"
            await target.write(writer, head % request_id)
            await asyncio.sleep(0.05)
            ended = end(writer)
            if ended is not None:
                await ended

        fixture.gateway.bundle.routes[0].resumable = False
        full = endless_bytes_test.RawTarget("t", reject_and_end, answers_early=True)
        await full.start(fixture, service, "a")
        answer = await upload(fixture, prefix, platform_standins.stream_headers("u1"))
        assert answer.status == 200 and answer.complete
        assert full.request_count == 1 and len(fixture.workers["w0"].runs) == 1
        await full.stop()

    forwarder_test.run(scenario, tmp_path)
