"""Tests of generations with real gateway and engine processes on loopback.

They wait for conditions and assert nothing about times.
"""

import asyncio
import random
import signal

import pytest

from chiveswitch.callers import client
from chiveswitch.core import digests
from chiveswitch.targets import standin_engine
from chiveswitch.tools import processes, sample

TOKENS = 60


def expected_tokens(seed, prompt, count):
    digest = digests.PrefixDigest()
    tokens = []
    for _ in range(count):
        tokens.append(standin_engine.next_token(seed, prompt, digest.hexdigest()))
        digest.add(tokens[-1:])
    return tokens


@pytest.fixture
def system(tmp_path):
    """Starts four gateways in four zones and three engines."""
    (tmp_path / "bundle.json").write_bytes(sample.sample_bundle())
    fleet = processes.Fleet(str(tmp_path))
    ports = processes.free_ports(11)
    fleet.callers = [f"127.0.0.1:{port}" for port in ports[:4]]
    fleet.engines = [f"127.0.0.1:{port}" for port in ports[8:]]
    peers = [f"127.0.0.1:{port}" for port in ports[4:8]]
    for number, address in enumerate(fleet.callers):
        fleet.start(
            f"g{number}",
            *("gateway", "--gateway-id", f"g{number}", "--listen", address),
            *("--peer-listen", peers[number], "--peers", ",".join(peers)),
            *("--availability-zone", sample.ZONES[number]),
            *("--bundle-file", str(tmp_path / "bundle.json")),
        )
    for number, address in enumerate(fleet.engines):
        fleet.start(
            f"e{number}",
            *("engine", "--target-id", f"e{number}", "--listen", address),
            *("--gateways", ",".join(fleet.callers), "--models", "writer::1"),
            *("--availability-zone", sample.ZONES[number]),
        )
    yield fleet
    fleet.close()


async def run_callers(system, fault):
    """Runs six generations, calls `fault` once all have tokens, and returns the answers."""
    callers = [
        client.Client(client.CallerSettings(system.callers, "field-key", 40.0), random.Random(seed))
        for seed in range(6)
    ]
    begun = asyncio.Event()
    begun_count = 0

    def on_tokens(answer):
        nonlocal begun_count
        begun_count += len(answer.token_times) == 1
        if begun_count == len(callers):
            begun.set()

    tasks = [
        asyncio.ensure_future(
            caller.generate("report", f"survey {number}", TOKENS, on_tokens=on_tokens)
        )
        for number, caller in enumerate(callers)
    ]
    # If a generation ends without tokens, the test must fail instead of waiting forever.
    waiting = asyncio.ensure_future(begun.wait())
    await asyncio.wait([waiting, *tasks], return_when=asyncio.FIRST_COMPLETED)
    fault()
    answers = await asyncio.gather(*tasks)
    for caller in callers:
        await caller.close()
    return answers


@pytest.mark.processes
@pytest.mark.parametrize(
    ("name", "number"),
    [
        ("e0", signal.SIGKILL),
        ("e0", signal.SIGSTOP),
        ("g0", signal.SIGKILL),
        ("g0", signal.SIGSTOP),
    ],
)
def test_answers_are_whole_when_a_process_is_lost(system, name, number):
    # Guards against lost, repeated or mixed tokens when an engine or a gateway is killed or stopped
    # during a generation.
    answers = asyncio.run(run_callers(system, lambda: system.signal(name, number)))
    for index, answer in enumerate(answers):
        assert answer.complete, answer.failure
        assert answer.errors == []
        assert answer.tokens == expected_tokens(answer.seed, f"survey {index}", TOKENS)


def test_processes_that_run_at_the_same_time_choose_different_ports():
    # Guards against two workers of a test run that choose the same port, one of which has not bound
    # it yet or needs it to stay unused.
    count = 2 * processes.BLOCK_PORTS
    # Every source tries the same block first.
    sources = [processes.PortBlocks(random.Random(1)) for _ in range(3)]
    try:
        ports = [source.next_port() for _ in range(count) for source in sources]
    finally:
        for source in sources:
            source.close()
    assert len(set(ports)) == len(ports) == 3 * count
    assert min(ports) >= processes.FIRST_PORT and max(ports) < processes.LAST_PORT


def test_ports_run_out_with_an_error(monkeypatch):
    monkeypatch.setattr(processes, "LAST_PORT", processes.FIRST_PORT + processes.BLOCK_PORTS)
    source = processes.PortBlocks(random.Random(1))
    with pytest.raises(OSError):
        for _ in range(processes.BLOCK_PORTS):
            source.next_port()
    source.close()
