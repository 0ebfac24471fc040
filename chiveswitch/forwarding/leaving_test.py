"""Tests of calls and streams to targets that state in their responses that they leave."""

import asyncio

import pytest

from chiveswitch.forwarding import forwarder_test
from chiveswitch.tools import processes
from features import platform_standins


async def add_pair(fixture, service):
    """Starts a target that leaves and one that stays; only the first one is announced."""
    leaving = await fixture.add("w0", service, "a")
    leaving.leaving_values = ["1"]
    address = f"127.0.0.1:{processes.free_port()}"
    staying = platform_standins.Worker("w1", address, fixture.worker_by_address)
    await staying.start()
    fixture.workers["w1"] = staying
    return leaving, staying


@pytest.mark.parametrize("behaviour", ["answer", "fail", "shed"])
def test_a_target_that_says_that_it_leaves_gets_no_further_calls(tmp_path, behaviour):
    # Guards against calls to a target that has said in a success, a failure or a refusal that it
    # leaves, although its later announcements still say that it is ready.
    async def scenario(fixture):
        leaving, staying = await add_pair(fixture, "plain")
        leaving.behaviour = behaviour
        await forwarder_test.call(fixture, "first")
        assert fixture.table.count_draining() == 1
        fixture.announce(staying, "plain", "b", 1)
        for number in range(20):
            fixture.announce(leaving, "plain", "a", 2 + number)
            answer = await forwarder_test.call(fixture, f"r{number}")
            assert answer.status == 200
        assert len(staying.runs) == 20
        assert len(leaving.arrivals) == 1

    log = forwarder_test.run(scenario, tmp_path)
    assert log.count("gateway: target_leaving") == 1


def test_a_stream_whose_engine_says_at_its_head_that_it_leaves_goes_on(tmp_path):
    # Guards against an engine that gets further streams until the first one that named its leaving
    # has ended, and against cutting that stream.
    async def scenario(fixture):
        leaving, staying = await add_pair(fixture, "engines")
        leaving.event_seconds = 0.05
        first = asyncio.ensure_future(forwarder_test.stream(fixture, "first"))
        await platform_standins.wait_until(
            lambda: fixture.table.is_draining_or_gone(leaving.worker_id)
        )
        fixture.announce(staying, "engines", "b", 1)
        answers = await asyncio.gather(
            *(forwarder_test.stream(fixture, f"r{number}") for number in range(4))
        )
        assert all(answer.event_ids() == list(range(12)) for answer in answers)
        assert (await first).event_ids() == list(range(12))
        assert len(leaving.arrivals) == 1

    forwarder_test.run(scenario, tmp_path)


def test_a_new_start_of_a_target_that_has_left_gets_calls(tmp_path):
    # Guards against a target that gets no calls any more after its restart under the same id.
    async def scenario(fixture):
        leaving, _ = await add_pair(fixture, "plain")
        await forwarder_test.call(fixture, "first")
        assert (await forwarder_test.call(fixture, "second")).status == 503
        leaving.leaving_values = []
        leaving.born_ms += 1
        fixture.announce(leaving, "plain", "a", 1)
        assert (await forwarder_test.call(fixture, "third")).status == 200

    forwarder_test.run(scenario, tmp_path)


@pytest.mark.parametrize("values", [["0"], ["true"], [""], ["1", "1"], ["1" * 9000]])
def test_other_values_are_ignored_with_a_log_line(tmp_path, values):
    # Guards against a target that is left because of a header that means nothing.
    async def scenario(fixture):
        worker = await fixture.add("w0", "plain", "a")
        worker.leaving_values = values
        for number in range(2):
            assert (await forwarder_test.call(fixture, f"r{number}")).status == 200

    log = forwarder_test.run(scenario, tmp_path)
    assert log.count("gateway: leaving_ignored") == 2
    assert max(len(line) for line in log.split("\n")) < 400
