"""Tests of the stand-ins' daemons: SIGTERM lets running work finish."""

import asyncio
import signal

import orjson
import pytest

from chiveswitch.targets import engine_client, service_client
from chiveswitch.tools import processes


@pytest.fixture
def fleet(tmp_path):
    fleet = processes.Fleet(str(tmp_path))
    fleet.addresses = [f"127.0.0.1:{port}" for port in processes.free_ports(2)]
    common = ("--target-id", "t", "--listen")
    fleet.ledger = tmp_path / "ledger"
    service = ("--delay-seconds", "0.5", "--ledger-file", str(fleet.ledger))
    fleet.start("e", "engine", *common, fleet.addresses[0], "--models", "m::1")
    fleet.start("s", "service", *common, fleet.addresses[1], "--services", "stamp", *service)
    yield fleet
    fleet.close()


async def call(address):
    """Calls the service until it accepts a connection, and returns the outcome."""
    for _ in range(200):
        outcome = await service_client.send_call(address, "stamp", 1, "", 10.0)
        if outcome.delivery is not service_client.DeliveryStatus.NOT_SENT:
            return outcome
        await asyncio.sleep(0.05)
    raise AssertionError("the service does not listen")


async def generate(fleet, begun):
    """Runs a generation, sets `begun` at its first events and returns all events."""
    client = engine_client.EngineClient()
    body = {"attempt_id": "a", "prompt": "", "seed": 1, "max_tokens": 30, "prefix": []}
    body |= {"model": "m", "adapter": "", "version": "1"}
    for _ in range(200):
        try:
            stream = await client.start_attempt(fleet.addresses[0], body)
            break
        except OSError:
            await asyncio.sleep(0.05)
    events = []
    async for batch in stream.read_batches():
        events += [event for event in batch if event.name]
        begun.set()
    return events


async def terminate_during_work(fleet):
    """Ends both stand-ins while they work and returns the events and the outcome of the call."""
    begun = asyncio.Event()
    generating = asyncio.ensure_future(generate(fleet, begun))
    calling = asyncio.ensure_future(call(fleet.addresses[1]))
    await begun.wait()
    for _ in range(200):
        if fleet.ledger.exists() and fleet.ledger.read_bytes():
            break
        await asyncio.sleep(0.02)
    fleet.signal("e", signal.SIGTERM)
    fleet.signal("s", signal.SIGTERM)
    return await generating, await calling


@pytest.mark.processes
def test_sigterm_ends_both_stand_ins_after_their_running_work(fleet):
    # Guards against a stand-in that aborts running work, or ends with an error, after SIGTERM.
    events, outcome = asyncio.run(terminate_during_work(fleet))
    assert outcome.status == 200
    assert events[-1].name == "end"
    assert orjson.loads(events[-1].data) == {"final_offset": 30}
    assert [fleet.process_by_name[name].wait(20) for name in ("e", "s")] == [0, 0]
