"""Tests of targets that write an earlier response once more, or stop within a response."""

import asyncio

import orjson
import pytest

from chiveswitch.core import clock
from chiveswitch.forwarding import endless_bytes_test, forwarder_test, unframed_responses_test
from features import platform_standins

REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)
ANSWER = endless_bytes_test.HEAD + b"Content-Length: 4\r\n\r\ndone"
ERROR = (
    b"HTTP/1.1 500 Internal Server Error\r\nX-Request-Id: %s\r\nX-Response-Seal: e\r\n"
    b"Content-Length: 6\r\n\r\nfailed"
)
EVENT_COUNT = 12


class Refuser:
    """Writes the answers of a target that refuses each request once and repeats the refusal.

    Attributes:
        runs: Id of each request that the target ran, once for each run.
        idle_copies: Number of copies that it writes after a refusal, while the connection is idle.
        pause_s: Seconds between a refusal and these copies.
        answer: Answer to a request that it ran.
    """

    def __init__(self, idle_copies=0, pause_s=0.0, answer=ANSWER):
        self.answer = answer
        self.runs = []
        self.idle_copies = idle_copies
        self.pause_s = pause_s
        self._refused_ids = set()
        self._refusal_by_writer = {}

    async def write_answer(self, target, writer, request_id):
        """Answers one request."""
        if request_id not in self._refused_ids:
            self._refused_ids.add(request_id)
            self._refusal_by_writer[writer] = REFUSAL % request_id
            await target.write(writer, REFUSAL % request_id)
            for _ in range(self.idle_copies):
                await asyncio.sleep(self.pause_s)
                await target.write(writer, REFUSAL % request_id)
            return
        self.runs.append(request_id)
        if writer in self._refusal_by_writer:
            await target.write(writer, self._refusal_by_writer[writer])
            await asyncio.sleep(0.05)
        await target.write(writer, self.answer % request_id)


@pytest.mark.parametrize(("path", "method"), [("/w/x", "POST"), ("/r/x", "GET")])
def test_a_refusal_that_is_written_once_more_is_not_believed(tmp_path, path, method):
    # Guards against a call that runs twice, or is refused although it has run, because the target
    # writes its earlier refusal again when the call comes again on the same connection.
    async def scenario(fixture):
        refuser = Refuser()
        target = endless_bytes_test.RawTarget("t", refuser.write_answer)
        await target.start(fixture, "plain", "a")
        for number in range(3):
            answer = await forwarder_test.call(fixture, f"r{number}", path, method)
            assert (answer.status, answer.body) == (200, b"done")
        assert refuser.runs == [b"r0", b"r1", b"r2"]
        await target.stop()

    forwarder_test.run(scenario, tmp_path)


@pytest.mark.parametrize("pause_s", [0.0, 0.02, 0.04])
def test_refusals_written_while_the_connection_is_idle_are_not_believed(tmp_path, pause_s):
    # Guards against the same with copies that arrive before the call is sent again.
    async def scenario(fixture):
        refuser = Refuser(2, pause_s)
        target = endless_bytes_test.RawTarget("t", refuser.write_answer)
        await target.start(fixture, "plain", "a")
        for number in range(5):
            answer = await forwarder_test.call(fixture, f"r{number}")
            assert (answer.status, answer.body) == (200, b"done")
        assert len(refuser.runs) == len(set(refuser.runs)) == 5
        await target.stop()

    forwarder_test.run(scenario, tmp_path)


def test_a_refused_stream_is_not_sent_again_on_its_connection(tmp_path):
    # Guards against a stream that runs at two engines because an earlier refusal is believed.
    async def scenario(fixture):
        events = unframed_responses_test.events(0, EVENT_COUNT)
        head = endless_bytes_test.HEAD + b"Content-Length: %d\r\n\r\n" % len(events)
        refuser = Refuser(answer=head + events)
        engine = endless_bytes_test.RawTarget("e", refuser.write_answer)
        await engine.start(fixture, "engines", "a")
        answer = await forwarder_test.stream(fixture, "r0")
        assert answer.event_ids() == list(range(EVENT_COUNT)) and refuser.runs == [b"r0"]
        await engine.stop()

    forwarder_test.run(scenario, tmp_path)


def test_an_earlier_answer_about_a_copy_is_not_taken_for_a_later_one(tmp_path):
    # Guards against a stream that continues from the copy of another run, because the answers to
    # requests for copies name no request.
    async def scenario(fixture):
        orders, last_answer_by_writer = [], {}
        events = unframed_responses_test.events(0, EVENT_COUNT)

        async def write_answer(target, writer, request_id):
            if not request_id:
                if writer in last_answer_by_writer:
                    await target.write(writer, last_answer_by_writer[writer])
                    await asyncio.sleep(0.01)
                body = orjson.dumps({"handle": f"h{len(orders)}", "made": 1})
                orders.append(writer)
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
                last_answer_by_writer[writer] = head % len(body) + body
                await target.write(writer, last_answer_by_writer[writer])
                return
            await target.write(
                writer, endless_bytes_test.HEAD % request_id + b"Connection: close\r\n\r\n"
            )
            for event in events.split(b"\n\n")[:-1]:
                await asyncio.sleep(0.08)
                await target.write(writer, event + b"\n\n")
            writer.close()

        engine = endless_bytes_test.RawTarget("e0", write_answer, makes_copies=True)
        await engine.start(fixture, "engines", "a")
        holder = await fixture.add("e1", "engines", "b")
        fixture.table.find("e1").avoided_until = clock.now() + 60
        streams = []
        for number in range(2):
            prompt = {"X-Prompt-Prefix": f"aa:200,{number:x}:600"}
            stream = forwarder_test.stream(fixture, f"r{number}", **prompt)
            streams.append(asyncio.ensure_future(stream))
            await asyncio.sleep(0.15)
        # The holder takes no copies until both runs are in progress; then each run is copied.
        fixture.table.find("e1").avoided_until = 0.0
        await platform_standins.wait_until(lambda: len(orders) >= 2)
        await asyncio.sleep(0.05)
        references = set()
        for run in fixture.gateway.run_table.run_by_id.values():
            references.add(run.copy_reference)
        assert len(references) == 2
        for answer in await asyncio.gather(*streams):
            assert answer.event_ids() == list(range(EVENT_COUNT))
        assert not holder.runs
        await engine.stop()

    forwarder_test.run(scenario, tmp_path)


@pytest.mark.parametrize("next_answer", [ERROR, REFUSAL, ANSWER])
@pytest.mark.parametrize("sent", [b"", b"id: 5\ndata: "])
def test_an_error_of_the_next_engine_stays_out_of_a_stream(tmp_path, next_answer, sent):
    # Guards against the head or the text of an error in the middle of a stream, and against a
    # stream that ends with it as if it were complete.
    async def scenario(fixture):
        async def break_off(target, writer, request_id):
            begin = endless_bytes_test.HEAD % request_id + b"Connection: close\r\n\r\n"
            await target.write(writer, begin + unframed_responses_test.events(0, 5) + sent)
            await asyncio.sleep(0.05)
            unframed_responses_test.reset(writer)

        async def answer_otherwise(target, writer, request_id):
            await target.write(writer, next_answer % request_id)

        broken = endless_bytes_test.RawTarget("e0", break_off)
        await broken.start(fixture, "engines", "a")
        task = asyncio.ensure_future(forwarder_test.stream(fixture, "r1"))
        await platform_standins.wait_until(lambda: broken.request_count)
        await broken.stop()
        other = endless_bytes_test.RawTarget("e1", answer_otherwise)
        await other.start(fixture, "engines", "b")
        answer = await task
        assert other.request_count > 0
        assert answer.status == 200 and not answer.complete
        assert answer.event_ids() == list(range(5))
        for text in (b"failed", b"done", b"HTTP/1.1", b"X-Request-Id"):
            assert text not in answer.body
        await other.stop()

    forwarder_test.run(scenario, tmp_path)


HEAD_END = endless_bytes_test.HEAD + b"Content-Length: 4\r\n\r\n"
CUT_HEADS = [
    b"HTTP/1.1 2",
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 200 OK\r\nX-Requ",
    endless_bytes_test.HEAD,
    endless_bytes_test.HEAD + b"Content-Length: 4",
    endless_bytes_test.HEAD + b"Content-Length: 4\r\n",
    endless_bytes_test.HEAD + b"Transfer-Encoding: chunked\r\n",
    HEAD_END,
    HEAD_END + b"don",
]


@pytest.mark.parametrize("head", CUT_HEADS)
@pytest.mark.parametrize("end", [unframed_responses_test.close, unframed_responses_test.reset])
def test_a_head_that_is_cut_off_is_no_success(tmp_path, head, end):
    # Guards against a response of a target that stopped in the middle of its head, which callers
    # get as a whole one with an empty or a short body.
    async def scenario(fixture):
        async def write_answer(target, writer, request_id):
            await target.write(writer, head % request_id if b"%s" in head else head)
            await asyncio.sleep(0.02)
            end(writer)

        target = endless_bytes_test.RawTarget("t", write_answer)
        await target.start(fixture, "plain", "a")
        answer = await forwarder_test.call(fixture, "u1")
        assert (answer.status, answer.complete) == (502, True)
        assert target.request_count == 1
        engine = endless_bytes_test.RawTarget("e", write_answer)
        await engine.start(fixture, "engines", "a")
        answer = await forwarder_test.stream(fixture, "s1", **{"X-Deadline-Ms": "1500"})
        assert answer.status != 200 or not answer.complete
        assert b"done" not in answer.body
        await target.stop()
        await engine.stop()

    forwarder_test.run(scenario, tmp_path)
