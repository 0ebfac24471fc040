"""Tests of an HTTP server on a small machine beside callers that hold more than it has room for."""

import asyncio

from chiveswitch.core import memory_budget, routing
from chiveswitch.forwarding import http_server, intake
from chiveswitch.tools import processes
from features import platform_standins

MEMORY_BYTES = 72_000_000
BODY_BYTES = 1024 * 1024
LIMITS = routing.Limits(
    header_bytes=16_384, body_bytes=BODY_BYTES, header_timeout_s=5.0, idle_timeout_s=5.0
)
ANSWER_BYTES = 200_000
# More than the system's buffers of a connection take.
HUGE_ANSWER_BYTES = 8_000_000
SIZE_BY_PATH = {"/large": ANSWER_BYTES, "/huge": HUGE_ANSWER_BYTES}


class Fixture:
    """A server with the budget of a small machine, and the callers of a test.

    Attributes:
        seen: Length of the body of each request that was begun.
        counters: Names of the counters that were increased.
        intake: The `intake.Intake`.
    """

    def __init__(self):
        self.seen = []
        self.counters = []
        budget = memory_budget.MemoryBudget(MEMORY_BYTES)
        self.intake = intake.Intake(budget, self.counters.append)
        self.server = http_server.Server(self._answer, lambda: LIMITS, intake=self.intake)
        self.address = f"127.0.0.1:{processes.free_port()}"
        self._writers = []

    async def _answer(self, request, responder):
        self.seen.append(len(request.body))
        size = SIZE_BY_PATH.get(request.path, len(request.path))
        responder.send(200, [], b"x" * size)

    async def connect(self, data=b""):
        """Opens a connection, sends bytes, and returns its reader and writer."""
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self._writers.append(writer)
        writer.write(data)
        return reader, writer

    def close(self):
        for writer in self._writers:
            writer.transport.abort()


def run(scenario):
    async def with_fixture():
        fixture = Fixture()
        await fixture.server.start(fixture.address)
        try:
            async with asyncio.timeout(20.0):
                await scenario(fixture)
        finally:
            fixture.close()
            await fixture.server.close()
            fixture.server.abort()
        assert fixture.intake.budget.held_by_kind == [0] * len(memory_budget.Kind)

    asyncio.run(with_fixture())


def post(length):
    return b"POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % length


def test_a_sound_body_is_served_beside_open_ones():
    # Load: more bodies that stop one byte short than there is room for, before a sound one.
    async def scenario(fixture):
        for _ in range(20):
            await fixture.connect(post(BODY_BYTES) + b"x" * (BODY_BYTES - 1))
        await asyncio.sleep(0.5)
        reader, writer = await fixture.connect(post(BODY_BYTES) + b"x" * BODY_BYTES)
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")

    run(scenario)


def test_a_request_without_room_is_refused_and_not_begun():
    # Load: the same bodies, whose callers are promised that their requests were not run.
    async def scenario(fixture):
        crowd = [
            await fixture.connect(post(BODY_BYTES) + b"x" * (BODY_BYTES - 1)) for _ in range(20)
        ]
        found = [asyncio.ensure_future(reader.read(400)) for reader, _ in crowd]
        done, pending = await asyncio.wait(found, return_when=asyncio.FIRST_COMPLETED)
        answer = done.pop().result()
        for future in pending:
            future.cancel()
        assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After" in answer
        assert fixture.seen == [] and "connections_closed_memory" in fixture.counters

    run(scenario)


def test_small_requests_pass_beside_large_bodies():
    # Load: large bodies without end, which must not take the room of ordinary requests.
    async def scenario(fixture):
        for _ in range(20):
            await fixture.connect(post(BODY_BYTES) + b"x" * (BODY_BYTES - 1))
        for _ in range(50):
            reader, writer = await fixture.connect(post(4000) + b"x" * 4000)
            assert (await reader.readline()).startswith(b"HTTP/1.1 200")
            writer.transport.abort()

    run(scenario)


def test_a_head_of_many_lines_is_served():
    # Guards against a limit that a caller inside the limits of bytes meets in calm.
    async def scenario(fixture):
        lines = b"".join(b"%x: \r\n" % number for number in range(0x100, 0x9F0))
        reader, _ = await fixture.connect(b"GET /p HTTP/1.1\r\nHost: h\r\n" + lines + b"\r\n")
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")

    run(scenario)


def test_heads_count_as_the_objects_that_they_become():
    # Load: heads of legal size whose short lines become many times their bytes.
    async def scenario(fixture):
        head = b"GET /p HTTP/1.1\r\nHost: h\r\n" + b"x:\r\n" * 3000
        await fixture.connect(head)
        held = fixture.intake.budget.held_by_kind
        await platform_standins.wait_until(lambda: sum(held) > 3000 * memory_budget.FIELD_BYTES)

    run(scenario)


def test_requests_that_are_sent_ahead_are_answered_in_order():
    # Guards against requests that are lost because enough others of their connection are queued.
    async def scenario(fixture):
        count = 3000
        data = b"".join(b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n" % n for n in range(count))
        reader, writer = await fixture.connect(data)
        for number in range(count):
            head = await reader.readuntil(b"\r\n\r\n")
            length = len(str(number)) + 1
            assert b"Content-Length: %d\r\n" % length in head
            await reader.readexactly(length)

    run(scenario)


def test_a_caller_that_reads_nothing_gets_few_answers():
    # Load: callers that send requests ahead and read none of the large answers.
    async def scenario(fixture):
        _, writer = await fixture.connect(b"GET /large HTTP/1.1\r\nHost: h\r\n\r\n" * 500)
        writer.transport.pause_reading()
        await asyncio.sleep(1.0)
        # The buffers of the system take some of the answers.
        assert len(fixture.seen) * ANSWER_BYTES < 20_000_000

    run(scenario)


def test_an_announced_body_over_the_limit_is_refused_at_once():
    # Load: bodies over the limit that would be read up to the limit before they are refused.
    async def scenario(fixture):
        reader, _ = await fixture.connect(post(BODY_BYTES + 1))
        assert (await reader.readline()).startswith(b"HTTP/1.1 413")

    run(scenario)


def test_idle_connections_give_way_to_new_ones():
    # Load: connections up to the limit on which nothing is sent.
    async def scenario(fixture):
        fixture.server.max_connections = 10
        for _ in range(30):
            await fixture.connect()
        reader, _ = await fixture.connect(post(1) + b"x")
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")
        assert len(fixture.server.connections) <= 10

    run(scenario)


def test_announcements_are_taken_beside_a_large_config():
    # Load: an operator's config that takes the room of all large requests to its listener.
    budget = memory_budget.MemoryBudget(MEMORY_BYTES)
    config = budget.open_account()
    config.update_request(8 * BODY_BYTES, memory_budget.OTHERS_KINDS)
    announcement = budget.open_account()
    announcement.update_request(4_000, memory_budget.OTHERS_KINDS)
    assert config.is_over and config.is_alone
    assert not announcement.is_over


def test_unread_last_answers_give_way():
    # Load: callers that close after one answer and read nothing of it.
    async def scenario(fixture):
        budget = fixture.intake.budget
        kind = memory_budget.Kind.ANSWERS
        request = b"GET /huge HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"

        async def connect_all(count):
            before = len(fixture.seen)
            for _ in range(count):
                _, writer = await fixture.connect()
                writer.transport.pause_reading()
                writer.write(request)
            await platform_standins.wait_until(lambda: len(fixture.seen) >= before + count)

        await connect_all(6)
        await asyncio.sleep(2 * intake.STALLED_ANSWER_SECONDS)
        await connect_all(1)
        # A single answer may be larger than the limit.
        assert budget.held_by_kind[kind] <= 2 * HUGE_ANSWER_BYTES

    run(scenario)
