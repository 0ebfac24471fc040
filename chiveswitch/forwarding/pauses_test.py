"""Tests of calls and streams to targets that ask for a pause when they refuse a request."""

import asyncio
import random
import unittest.mock

import pytest

from chiveswitch.core import clock
from chiveswitch.forwarding import forwarder_test, pauses, pool
from features import platform_standins

# Time after a refusal from which on the pause must hold, in seconds, and the number of requests
# that may still arrive in it, as the users state them.
GRACE_SECONDS = 0.5
MAX_ARRIVALS = 2


async def add_refusing(fixture, worker_id, service, value):
    """Starts a worker that refuses each request and asks for a pause."""
    worker = await fixture.add(worker_id, service, "a")
    worker.behaviour, worker.retry_after_values = "shed", [value]
    return worker


def late_arrivals(worker, seconds):
    """Returns the requests that arrived within the pause that the first refusal asked for."""
    first = worker.arrivals[0][0]
    return [at for at, _ in worker.arrivals if first + GRACE_SECONDS < at < first + seconds]


@pytest.mark.parametrize("service", ["plain", "engines"])
def test_no_request_is_refused_while_one_of_two_targets_is_in_a_pause(tmp_path, service):
    # Guards against refusing callers although a target is free, because another one refuses
    # everything, looks the least loaded and uses up the retries.
    async def scenario(fixture):
        refusing = await add_refusing(fixture, "w0", service, "1.5")
        await fixture.add("w1", service, "b")
        started, count, answers = clock.now(), 0, []
        send = forwarder_test.call if service == "plain" else forwarder_test.stream
        while clock.now() < started + 2.0:
            count += 8
            answers += await asyncio.gather(
                *(send(fixture, f"r{count}-{number}") for number in range(8))
            )
        assert {answer.status for answer in answers} == {200}
        assert len(late_arrivals(refusing, 1.5)) <= MAX_ARRIVALS

    forwarder_test.run(scenario, tmp_path)


@pytest.mark.parametrize("service", ["plain", "engines"])
def test_requests_are_refused_at_once_while_all_targets_are_in_a_pause(tmp_path, service):
    # Guards against requests that wait until their deadline, or are told to return too early.
    async def scenario(fixture):
        targets = [await add_refusing(fixture, f"w{n}", service, "20") for n in range(2)]
        send = forwarder_test.call if service == "plain" else forwarder_test.stream
        await send(fixture, "first")
        answers = [await send(fixture, f"r{number}") for number in range(10)]
        assert {answer.status for answer in answers} == {503}
        assert {answer.value_by_header["x-chiveswitch-code"] for answer in answers} == {"3012"}
        returns = [float(answer.value_by_header["retry-after"]) for answer in answers]
        assert min(returns) > 19.0 and max(returns) < 23.0 and len(set(returns)) > 1
        assert sum(len(target.arrivals) for target in targets) == 2

    forwarder_test.run(scenario, tmp_path)


def test_a_call_waits_for_the_end_of_a_short_pause(tmp_path):
    # Guards against refusing a call that can be served within its objective after the pause.
    async def scenario(fixture):
        worker = await add_refusing(fixture, "w0", "plain", "0.2")
        first = asyncio.ensure_future(forwarder_test.call(fixture, "first"))
        await platform_standins.wait_until(lambda: worker.rejected_request_ids)
        worker.behaviour = "answer"
        assert (await first).status == 200
        assert fixture.gateway.metrics.count_by_name["pauses_waited"] == 1

    forwarder_test.run(scenario, tmp_path)


def test_requests_that_wait_for_the_end_of_a_pause_do_not_return_in_one_burst():
    # Guards against a target that gets all requests that waited for it at the same moment.
    gateway = unittest.mock.MagicMock(rng=random.Random(1))
    request = unittest.mock.MagicMock(**{"remaining_s.return_value": 3.0})
    request.route.objective_s = 0.5
    now, left_s = clock.now(), 0.1
    target = unittest.mock.MagicMock(paused_until=now + left_s)
    sleep = unittest.mock.AsyncMock()

    async def wait():
        return [await pauses.wait_for_end(gateway, request, [target]) for _ in range(60)]

    with unittest.mock.patch.object(pauses, "asyncio", unittest.mock.MagicMock(sleep=sleep)):
        with unittest.mock.patch.object(clock, "now", return_value=now):
            assert set(asyncio.run(wait())) == {0.0}
    waits = sorted(call.args[0] for call in sleep.await_args_list)
    max_wait_s = pauses.WAIT_SHARE * request.route.objective_s
    assert waits[0] >= left_s - 1e-6 and waits[-1] <= max_wait_s
    # At most half of them return within a quarter of the time that they have.
    window_s = (max_wait_s - left_s) / 4
    assert max(sum(at <= each < at + window_s for each in waits) for at in waits) <= 30


@pytest.mark.parametrize("change", ["pause", "leave"])
def test_a_stream_is_not_sent_to_an_engine_that_refused_while_its_channel_was_opened(
    tmp_path, change
):
    # Guards against streams that reach an engine in its pause, and against taking an engine for
    # lost that asks for a pause or leaves, because their channels were opened before.
    opened, may_go_on = [], asyncio.Event()
    acquire = pool.ChannelPool.acquire

    async def acquire_late(self, target_id, *details):
        channel = await acquire(self, target_id, *details)
        if target_id == "w0" and details[-1] != "first":
            opened.append(channel)
            await may_go_on.wait()
        return channel

    async def scenario(fixture):
        refusing = await add_refusing(fixture, "w0", "engines", "20")
        if change == "leave":
            refusing.retry_after_values, refusing.leaving_values = [], ["1"]
        waiting = [
            asyncio.ensure_future(forwarder_test.stream(fixture, f"r{number}"))
            for number in range(5)
        ]
        await platform_standins.wait_until(lambda: len(opened) == len(waiting))
        assert (await forwarder_test.stream(fixture, "first")).status == 503
        await fixture.add("w1", "engines", "b")
        may_go_on.set()
        assert {answer.status for answer in await asyncio.gather(*waiting)} == {200}
        assert len(refusing.arrivals) == 1
        assert not fixture.table.find("w0").is_lost(clock.now())

    with unittest.mock.patch.object(pool.ChannelPool, "acquire", acquire_late):
        forwarder_test.run(scenario, tmp_path)


def test_a_new_start_of_a_target_ends_its_pause(tmp_path):
    # Guards against a restarted target that gets no requests because of its earlier start.
    async def scenario(fixture):
        worker = await add_refusing(fixture, "w0", "plain", "20")
        await forwarder_test.call(fixture, "first")
        worker.behaviour = "answer"
        worker.born_ms += 1
        fixture.announce(worker, "plain", "a", 1)
        assert (await forwarder_test.call(fixture, "second")).status == 200

    forwarder_test.run(scenario, tmp_path)


def test_an_unrepeatable_call_is_not_sent_again_after_a_pause_that_is_no_refusal(tmp_path):
    # Guards against running a call twice: a pause alone does not say that the call did not run.
    async def scenario(fixture):
        worker = await fixture.add("w0", "plain", "a")
        worker.behaviour, worker.retry_after_values = "unsure", ["20"]
        await fixture.add("w1", "plain", "b")
        worker_runs = 0
        for number in range(10):
            await forwarder_test.call(fixture, f"r{number}")
            worker_runs = len(worker.runs)
        ids = fixture.executed_request_ids()
        assert len(ids) == len(set(ids)) and worker_runs == 1

    forwarder_test.run(scenario, tmp_path)


@pytest.mark.parametrize(
    "values",
    [["Fri, 31 Dec 1999 23:59:59 GMT"], ["soon"], ["-1"], ["1e309"], ["nan"], ["3", "3"], [""]],
)
def test_a_pause_that_cannot_be_read_is_ignored_with_a_log_line(tmp_path, values):
    # Guards against a target that is left because of a header that means nothing.
    async def scenario(fixture):
        worker = await fixture.add("w0", "plain", "a")
        worker.behaviour, worker.retry_after_values = "shed", values
        await forwarder_test.call(fixture, "first")
        worker.behaviour = "answer"
        assert (await forwarder_test.call(fixture, "second")).status == 200

    log = forwarder_test.run(scenario, tmp_path)
    assert "gateway: pause_ignored" in log and "target_paused" not in log


def test_a_pause_of_hours_is_bounded(tmp_path):
    # Guards against a target that one response takes out for hours.
    async def scenario(fixture):
        worker = await add_refusing(fixture, "w0", "plain", "86400")
        await forwarder_test.call(fixture, "first")
        left_s = fixture.table.find("w0").paused_until - clock.now()
        assert left_s < pauses.MAX_PAUSE_SECONDS + pauses.MAX_RETURN_DELAY_SECONDS
        assert len(worker.arrivals) == 1

    forwarder_test.run(scenario, tmp_path)


def test_the_course_of_a_pause_is_logged_once_and_counted(tmp_path):
    # Guards against an operator who cannot tell how a pause ended and which requests it moved.
    async def scenario(fixture):
        refusing = await add_refusing(fixture, "w0", "plain", "0.2")
        await fixture.add("w1", "plain", "b")
        counts = fixture.gateway.metrics.count_by_name
        number = 0
        while not refusing.arrivals:
            number += 1
            assert (await forwarder_test.call(fixture, f"r{number}")).status == 200
        assert pauses.count_paused(fixture.table) == 1
        assert counts["pauses_moved"] == 1 and "pauses_waited" not in counts
        pauses.record(fixture.gateway, fixture.table.find("w0"), 0.4)
        await platform_standins.wait_until(lambda: not pauses.count_paused(fixture.table))
        await asyncio.sleep(0.05)

    log = forwarder_test.run(scenario, tmp_path)
    assert log.count("gateway: target_paused") == 2
    assert log.count("gateway: pause_ended") == 1 and "reason=elapsed" in log


def test_a_pause_that_a_new_start_ended_is_logged_as_such(tmp_path):
    # Guards against an operator who takes a restart for the end of the time that was asked for.
    async def scenario(fixture):
        worker = await add_refusing(fixture, "w0", "plain", "0.3")
        await forwarder_test.call(fixture, "first")
        worker.born_ms += 1
        fixture.announce(worker, "plain", "a", 1)
        assert pauses.count_paused(fixture.table) == 0
        await asyncio.sleep(0.4)

    log = forwarder_test.run(scenario, tmp_path)
    assert log.count("pause_ended") == 1 and 'reason="restarted or gone"' in log
