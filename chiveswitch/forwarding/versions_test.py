"""Tests of calls and streams during the roll-out of a version, against stand-in workers."""

import asyncio

from chiveswitch.core import clock, node_settings, rollouts, versions
from chiveswitch.forwarding import forwarder_test
from features import platform_standins

LIMITS = node_settings.RolloutLimits(0.5, 50, 5.0)


def order(fixture, service, state=rollouts.RUNNING, step=1, share=0.5, moves_copies=False):
    """Delivers an order for version v2 to the gateway."""
    states = [rollouts.RolloutState(service, "v2", state, 7, step, share, moves_copies)]
    fixture.gateway.versions.apply_rollouts(states, clock.now())


async def add(fixture, worker_id, service, zone, version):
    """Starts a worker of a version and announces it to the gateway."""
    worker = await fixture.add(worker_id, service, zone)
    fixture.table.find(worker_id).report.version = version
    return worker


def run(scenario, tmp_path):
    async def with_policy(fixture):
        gateway = fixture.gateway
        gateway.versions = versions.VersionPolicy(LIMITS, gateway.rng, gateway._on_version_event)
        await scenario(fixture)

    return forwarder_test.run(with_policy, tmp_path)


def evidence(fixture):
    """Returns the pooled evidence by version."""
    return {each.version: each for each in fixture.gateway.versions.take_evidence(clock.now())}


def test_calls_that_a_bad_version_fails_are_answered_by_the_accepted_one(tmp_path):
    # Failure: all answers of a version that is rolled out are failures.
    async def scenario(fixture):
        order(fixture, "plain")
        await add(fixture, "w1", "plain", "a", "v1")
        bad = await add(fixture, "w2", "plain", "a", "v2")
        bad.behaviour = "fail"
        for number in range(24):
            answer = await forwarder_test.call(fixture, f"r{number}", "/r/x", "GET", b"")
            assert answer.status == 200
        assert 0 < len(bad.runs) < 24
        found = evidence(fixture)
        assert (found["v2"].requests, found["v2"].failures) == (len(bad.runs), len(bad.runs))
        assert (found["v1"].requests, found["v1"].failures) == (24, 0)
        assert sum(found["v1"].latencies) == 24 and sum(found["v2"].latencies) == 0

    text = run(scenario, tmp_path)
    assert "version=v2" in text and "gateway: version_accepted" in text


def test_a_service_without_requests_keeps_the_version_that_it_had(tmp_path):
    # Failure: the first request comes after the targets of another version, for which no order is
    # known yet, have become as many.
    async def scenario(fixture):
        await add(fixture, "w1", "plain", "a", "v1")
        fixture.gateway.versions.apply_rollouts([], clock.now())
        fixture.gateway.observe_versions(clock.now())
        for worker_id in ("w2", "w3"):
            new = await add(fixture, worker_id, "plain", "a", "v2")
            fixture.gateway.observe_versions(clock.now())
        for number in range(8):
            await forwarder_test.call(fixture, f"r{number}")
        assert not new.runs
        assert evidence(fixture)["v1"].requests == 8

    run(scenario, tmp_path)


def test_unrepeatable_calls_run_once_whichever_version_gets_them(tmp_path):
    # Guards against a request that runs on both versions: only a refusal permits another attempt.
    async def scenario(fixture):
        order(fixture, "plain", share=0.9)
        await add(fixture, "w1", "plain", "a", "v1")
        new = await add(fixture, "w2", "plain", "a", "v2")
        new.behaviour = "lose_answer"
        lost = [(await forwarder_test.call(fixture, f"r{n}")).status for n in range(12)]
        assert set(lost) == {200, 502} and lost.count(502) == len(new.runs)
        assert evidence(fixture)["v2"].failures == len(new.runs)
        new.behaviour = "shed"
        shed = [(await forwarder_test.call(fixture, f"s{n}")).status for n in range(12)]
        assert set(shed) == {200} and new.rejected_request_ids
        ran = fixture.executed_request_ids()
        assert len(ran) == len(set(ran)) == 24
        # A refusal says nothing about the version's answers.
        assert evidence(fixture)["v2"].failures == 0

    run(scenario, tmp_path)


def test_a_rolled_back_version_alone_gets_no_request(tmp_path):
    # Failure: the accepted targets are gone when the version is rolled back.
    async def scenario(fixture):
        order(fixture, "plain", state=rollouts.ROLLED_BACK)
        new = await add(fixture, "w2", "plain", "a", "v2")
        assert (await forwarder_test.call(fixture, "r1")).status == 503
        assert new.runs == []

    run(scenario, tmp_path)


async def start_stream(fixture):
    """Starts a slow stream at one of two engines of v1 beside six of v2."""
    for number, version in enumerate(("v1", "v1", *["v2"] * 6)):
        worker = await add(fixture, f"e{number}", "engines", "ab"[number % 2], version)
        worker.event_seconds = 0.15
    task = asyncio.ensure_future(forwarder_test.stream(fixture, "r1"))
    await platform_standins.wait_until(fixture.executed_request_ids)
    state = fixture.gateway.run_table.run_by_id["r1"]
    await platform_standins.wait_until(lambda: state.copy_target_id)
    assert {state.target_id, state.copy_target_id} == {"e0", "e1"}
    return task, state


def test_a_stream_continues_at_the_version_that_takes_over(tmp_path):
    # Failure: the old targets stop at once when the order is completed.
    async def scenario(fixture):
        order(fixture, "engines", share=0.0)
        task, state = await start_stream(fixture)
        order(fixture, "engines", step=2, share=1.0, moves_copies=True)
        await platform_standins.wait_until(lambda: state.copy_target_id not in ("e0", "e1"))
        order(fixture, "engines", state=rollouts.COMPLETED, step=3, share=1.0)
        for name in ("e0", "e1"):
            await fixture.workers[name].stop()
        answer = await task
        assert answer.complete and answer.event_ids() == list(range(12))
        (continued,) = fixture.workers[state.target_id].runs
        assert state.target_id not in ("e0", "e1") and "kv-from" in continued[1]

    run(scenario, tmp_path)


def test_a_copy_moves_within_the_zone_if_the_version_has_no_other_engine(tmp_path):
    # Failure: the old targets stop, and the only new one is in the zone of the stream's engine.
    async def scenario(fixture):
        order(fixture, "engines", share=0.0)
        for name, zone in (("e0", "a"), ("e1", "b")):
            worker = await add(fixture, name, "engines", zone, "v1")
            worker.event_seconds = 0.15
        task = asyncio.ensure_future(forwarder_test.stream(fixture, "r1"))
        await platform_standins.wait_until(fixture.executed_request_ids)
        state = fixture.gateway.run_table.run_by_id["r1"]
        zone = fixture.table.find(state.target_id).zone
        await add(fixture, "e2", "engines", zone, "v2")
        order(fixture, "engines", step=2, share=1.0, moves_copies=True)
        await platform_standins.wait_until(lambda: state.copy_target_id == "e2")
        assert (await task).complete

    run(scenario, tmp_path)


def test_a_stream_does_not_continue_from_a_copy_at_a_rolled_back_version(tmp_path):
    # Failure: a version is rolled back after copies were moved to it, and an old engine is lost.
    async def scenario(fixture):
        order(fixture, "engines", share=0.0)
        task, state = await start_stream(fixture)
        order(fixture, "engines", step=2, share=1.0, moves_copies=True)
        await platform_standins.wait_until(lambda: state.copy_target_id not in ("e0", "e1"))
        order(fixture, "engines", state=rollouts.ROLLED_BACK, step=3, share=0.0)
        await fixture.workers[state.target_id].stop()
        answer = await task
        assert answer.complete and answer.event_ids() == list(range(12))
        ran_at = {name for name, worker in fixture.workers.items() if worker.runs}
        assert ran_at == {"e0", "e1"}

    run(scenario, tmp_path)


def test_streams_count_first_events_and_breaks(tmp_path):
    # Failure: a version breaks off its streams after a few events.
    async def scenario(fixture):
        order(fixture, "engines", share=1.0)
        bad = await add(fixture, "e2", "engines", "b", "v2")
        bad.cut_after = 5
        task = asyncio.ensure_future(forwarder_test.stream(fixture, "r1"))
        await platform_standins.wait_until(lambda: bad.runs)
        await add(fixture, "e1", "engines", "a", "v1")
        order(fixture, "engines", state=rollouts.ROLLED_BACK, step=2, share=0.0)
        assert (await task).complete
        found = evidence(fixture)["v2"]
        assert (found.requests, found.failures, sum(found.latencies)) == (1, 1, 1)

    run(scenario, tmp_path)
