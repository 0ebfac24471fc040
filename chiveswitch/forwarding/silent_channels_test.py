"""Tests of channels to targets that stay open and deliver nothing, while new ones work."""

import asyncio

from chiveswitch.core import clock
from chiveswitch.forwarding import pool
from chiveswitch.forwarding import forwarder_test as fixtures
from features import platform_standins, proxies

call, run = fixtures.call, fixtures.run


async def add_behind_proxy(fixture, worker_id, service, zone):
    """Starts a worker that is reached through a proxy, and announces it to the gateway."""
    worker = await fixture.add(worker_id, service, zone)
    address = f"127.0.0.1:{fixtures.processes.free_port()}"
    proxy = proxies.Proxy(address, worker.address)
    await proxy.start()
    worker.address = address
    fixture.worker_by_address[address] = worker
    fixture.announce(worker, service, zone, 2)
    return worker, proxy


async def fill_pool(fixture, worker):
    """Leaves the largest number of idle channels to a worker in the gateway's pool."""
    worker.call_seconds = 0.1
    count = pool.MAX_IDLE_CHANNELS
    await asyncio.gather(*(call(fixture, f"fill-{number}", "/r/x") for number in range(count)))
    worker.call_seconds = 0.0


def test_a_call_is_repeated_on_a_new_channel_after_a_silent_one(tmp_path):
    # Guards against a call that may be repeated and whose sends all use idle channels which have
    # become silent at the same moment.
    async def scenario(fixture):
        worker, proxy = await add_behind_proxy(fixture, "w1", "plain", "a")
        await fill_pool(fixture, worker)
        proxy.silence_open_connections()
        started = clock.now()
        answer = await call(fixture, "r1", "/r/x")
        assert answer.status == 200
        assert clock.now() - started < 1.0
        for number in range(pool.MAX_IDLE_CHANNELS):
            started = clock.now()
            answer = await call(fixture, f"later-{number}", "/r/x")
            assert answer.status == 200 and clock.now() - started < 0.15
        await proxy.stop()

    run(scenario, tmp_path)


def test_calls_use_new_channels_while_one_waits_on_a_silent_channel(tmp_path):
    # Guards against calls that may not be repeated and are lost one after the other on idle
    # channels that have become silent at the same moment.
    async def scenario(fixture):
        worker, proxy = await add_behind_proxy(fixture, "w1", "plain", "a")
        worker.call_seconds = 0.1
        for number in range(2):
            first = asyncio.ensure_future(call(fixture, f"fill-{number}-a"))
            await asyncio.gather(first, call(fixture, f"fill-{number}-b"))
        worker.call_seconds = 0.0
        proxy.silence_open_connections()
        lost = asyncio.ensure_future(call(fixture, "r1", **{"X-Deadline-Ms": "1000"}))
        await asyncio.sleep(0.45)
        answer = await call(fixture, "r2", **{"X-Deadline-Ms": "1000"})
        assert answer.status == 200
        assert (await lost).status == 504
        assert fixture.executed_request_ids().count("r1") == 0
        await proxy.stop()

    run(scenario, tmp_path)


def test_an_engine_that_answers_on_other_channels_is_not_lost_after_a_silent_one(tmp_path):
    # Guards against avoiding, at all gateways, a live engine of which one old channel is silent.
    async def scenario(fixture):
        lost_ids = []
        fixture.table.on_lost = lost_ids.append
        worker, proxy = await add_behind_proxy(fixture, "e1", "engines", "a")
        worker.event_seconds = 0.05
        worker.events = 30
        first = asyncio.ensure_future(fixtures.stream(fixture, "r1"))
        await asyncio.sleep(0.5)
        proxy.silence_open_connections()
        silent_at = clock.now()
        await asyncio.sleep(0.1)
        second = asyncio.ensure_future(fixtures.stream(fixture, "r2"))
        await platform_standins.wait_until(lambda: proxy.accepted >= 2)
        answer = await first
        assert answer.complete and answer.event_ids() == list(range(30))
        assert clock.now() - silent_at < 7.0
        assert (await second).complete
        assert lost_ids == []
        await proxy.stop()

    text = run(scenario, tmp_path)
    line = next(line for line in text.split("\n") if "gateway: stream_moves" in line)
    assert "reason=silent" in line.replace('"', "")
