"""Tests of bytes that a faulty target sends in place of its response.

They lack the id of the request, have a status that HTTP does not have, or are a success without a
receipt.
"""

import pytest

from chiveswitch.core import clock
from chiveswitch.forwarding import endless_bytes_test, forwarder_test, unframed_responses_test
from features import platform_standins

LARGE_BODY = b"x" * 300_000
EVENTS = unframed_responses_test.events(0, unframed_responses_test.EVENT_COUNT)
REQUEST_ID = b"X-Request-Id: %s"
RECEIPT = b"X-Response-Seal: seal"


def response(status, body, *fields, length=True):
    """Returns the bytes of a response; those of a `REQUEST_ID` field are completed later.

    Args:
        status: Status code.
        body: Body.
        fields: Header lines.
        length: Whether the response states its length; otherwise it ends with its connection.
    """
    lines = [b"HTTP/1.1 %03d Status" % status, *fields]
    if length:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


RESPONSE_BY_CASE = {
    "success without id": response(200, b"ready\n", RECEIPT),
    "large success without id": response(200, LARGE_BODY, RECEIPT),
    "events without id": response(200, EVENTS, RECEIPT),
    "success without id and length": response(200, EVENTS, RECEIPT, length=False),
    "refusal without id": response(404, b"gone", RECEIPT),
    "failure without id": response(500, b"failed", RECEIPT),
    "other instance without id": response(421, b"", RECEIPT),
    "full without id": response(503, b"", b"X-Not-Executed: 1"),
    "empty id": response(200, EVENTS, RECEIPT, b"X-Request-Id:"),
    "success without receipt": response(200, b"ready\n", REQUEST_ID),
    "large success without receipt": response(200, LARGE_BODY, REQUEST_ID),
    "events without receipt": response(200, EVENTS, REQUEST_ID),
    "success without receipt and length": response(200, EVENTS, REQUEST_ID, length=False),
    "empty success without receipt": response(204, b"", REQUEST_ID, length=False),
    "other success without receipt": response(299, b"ready\n", REQUEST_ID),
    "empty receipt": response(200, EVENTS, REQUEST_ID, b"X-Response-Seal:"),
    "status 000": response(0, EVENTS, REQUEST_ID, RECEIPT),
    "status 000 before a success": response(0, b"failed\n", REQUEST_ID, RECEIPT)
    + response(200, EVENTS, REQUEST_ID, RECEIPT),
    "status 199 with a body before a success": response(199, b"failed\n", REQUEST_ID, RECEIPT)
    + response(200, EVENTS, REQUEST_ID, RECEIPT),
    "status 600": response(600, b"failed", REQUEST_ID, RECEIPT),
    "status 999 without a length": response(999, EVENTS, REQUEST_ID, RECEIPT, length=False),
}


def send_always(data):
    """Returns a function that answers each request with the same bytes on a new connection."""

    async def write_answer(target, writer, request_id):
        await target.write(writer, data.replace(b"%s", request_id))
        writer.close()

    return write_answer


@pytest.mark.parametrize("case", RESPONSE_BY_CASE)
def test_a_call_gets_no_response_that_no_target_has_stated(tmp_path, case):
    # Guards against callers of unrepeatable calls that take the bytes of a faulty target for its
    # response, and against a second run after a rejection that no target has stated.
    async def scenario(fixture):
        faulty = endless_bytes_test.RawTarget("t", send_always(RESPONSE_BY_CASE[case]))
        await faulty.start(fixture, "plain", "a")
        sound = await fixture.add("w0", "plain", "a")
        fixture.table.find("w0").open_requests = 1000
        answer = await forwarder_test.call(fixture, "u1")
        assert (answer.status, answer.complete, answer.body) == (502, True, b"")
        assert "x-response-seal" not in answer.value_by_header
        assert faulty.request_count == 1 and not sound.runs
        await faulty.stop()

    forwarder_test.run(scenario, tmp_path)


@pytest.mark.parametrize("case", RESPONSE_BY_CASE)
def test_a_repeatable_call_gets_the_response_of_a_sound_target(tmp_path, case):
    # Guards against callers of repeatable calls that get such bytes although a target is sound.
    async def scenario(fixture):
        faulty = endless_bytes_test.RawTarget("t", send_always(RESPONSE_BY_CASE[case]))
        await faulty.start(fixture, "plain", "a")
        await fixture.add("w0", "plain", "a")
        fixture.table.find("w0").open_requests = 1000
        answer = await forwarder_test.call(fixture, "s1", "/r/x", "GET", b"")
        assert answer.status == 200 and answer.body.startswith(b"GET /r/x")
        assert answer.value_by_header["x-response-seal"] == "seal-w0"
        assert faulty.request_count == 1
        await faulty.stop()

    forwarder_test.run(scenario, tmp_path)


@pytest.mark.parametrize("case", RESPONSE_BY_CASE)
def test_a_stream_continues_after_a_response_that_no_engine_has_stated(tmp_path, case):
    # Guards against streams of bytes that no engine has stated, after a failover.
    async def scenario(fixture):
        async def begin(target, writer, request_id):
            head = endless_bytes_test.HEAD % request_id
            await target.write(writer, head + b"\r\n" + unframed_responses_test.events(0, 3))
            await faulty.start(fixture, "engines", "a")
            fixture.table.remove("e0", clock.now())
            unframed_responses_test.reset(writer)

        async def answer_falsely(target, writer, request_id):
            await fixture.add("e2", "engines", "b")
            await send_always(RESPONSE_BY_CASE[case])(target, writer, request_id)

        broken = endless_bytes_test.RawTarget("e0", begin)
        faulty = endless_bytes_test.RawTarget("e1", answer_falsely)
        await broken.start(fixture, "engines", "a")
        answer = await forwarder_test.stream(fixture, "r1")
        assert answer.complete
        assert answer.event_ids() == list(range(unframed_responses_test.EVENT_COUNT))
        assert (broken.request_count, faulty.request_count) == (1, 1)
        sound = fixture.workers["e2"]
        assert [fields.get("last-event-id") for _, fields in sound.runs] == ["2"]
        await broken.stop()
        await faulty.stop()

    forwarder_test.run(scenario, tmp_path)


@pytest.mark.parametrize("case", RESPONSE_BY_CASE)
def test_a_stream_that_runs_once_gets_no_response_that_no_engine_has_stated(tmp_path, case):
    # Guards against the same bytes at the start of a stream, and against a second run of it.
    async def scenario(fixture):
        async def answer_falsely(target, writer, request_id):
            await fixture.add("e1", "engines", "b")
            await send_always(RESPONSE_BY_CASE[case])(target, writer, request_id)

        fixture.gateway.bundle.routes[0].resumable = False
        faulty = endless_bytes_test.RawTarget("e0", answer_falsely)
        await faulty.start(fixture, "engines", "a")
        answer = await forwarder_test.stream(fixture, "r1")
        assert (answer.status, answer.body) == (502, b"")
        assert faulty.request_count == 1 and not fixture.workers["e1"].runs
        await faulty.stop()

    forwarder_test.run(scenario, tmp_path)


@pytest.mark.parametrize("prefix", ["/w/x", "/s/x"])
def test_a_target_is_not_judged_by_bytes_that_it_has_not_stated(tmp_path, prefix):
    # Guards against targets that are dropped until their next start, or chosen by a load that is
    # not theirs, because of bytes that belong to no request.
    data = response(421, b"", b"X-Instance-Load: 70,30,8", b"X-Not-Executed: 1")

    async def scenario(fixture):
        service = "engines" if prefix == "/s/x" else "plain"
        faulty = endless_bytes_test.RawTarget("t", send_always(data))
        await faulty.start(fixture, service, "a")
        fields = platform_standins.stream_headers("r1")
        answer = await platform_standins.send_request(
            fixture.address, "POST", prefix, fields, b"order"
        )
        assert answer.status == 502
        target = fixture.table.find("t")
        assert target in fixture.table.ready_targets(service)
        assert not target.load_at
        await faulty.stop()

    forwarder_test.run(scenario, tmp_path)
