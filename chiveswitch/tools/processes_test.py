"""Tests with real processes on loopback. They wait on conditions and assert nothing on time."""

import asyncio

import aiosonic
import orjson
import pytest

from chiveswitch.core import digests
from chiveswitch.targets import engine_client, standin_engine
from chiveswitch.tools import processes


def expected_tokens(seed, prompt, count):
    digest = digests.PrefixDigest()
    tokens = []
    for _ in range(count):
        tokens.append(standin_engine.next_token(seed, prompt, digest.hexdigest()))
        digest.add(tokens[-1:])
    return tokens


async def generate(address, prompt, count):
    client = aiosonic.HTTPClient()
    for _ in range(200):
        try:
            response = await client.request(
                f"http://{address}/v1/generations",
                method="POST",
                data=orjson.dumps({"service": "report", "prompt": prompt, "max_tokens": count}),
                timeouts=engine_client.STREAM_TIMEOUTS,
                stream=True,
            )
        except OSError:
            await asyncio.sleep(0.1)
            continue
        if response.status_code == 200:
            break
        await response.content()
        await asyncio.sleep(0.1)
    tokens, end = [], None
    async for batch in engine_client.Stream(response).batches():
        for event in batch:
            if event.name == "tokens":
                tokens += orjson.loads(event.data)["t"]
            if event.name == "end":
                end = orjson.loads(event.data)["final_offset"]
    return tokens, end


@pytest.mark.processes
def test_generation_reaches_the_caller_whole():
    # Guards the thin path: an announced engine's tokens reach the caller, each once, with the end.
    gateway_port, engine_port = processes.free_ports(2)
    fleet = processes.Fleet()
    try:
        gateway = f"127.0.0.1:{gateway_port}"
        fleet.start("g1", "gateway", "--gateway-id", "g1", "--listen", gateway)
        fleet.start(
            "e1",
            "engine",
            "--target-id",
            "e1",
            "--listen",
            f"127.0.0.1:{engine_port}",
            "--gateways",
            gateway,
            "--token-seconds",
            "0.005",
        )
        tokens, end = asyncio.run(generate(gateway, "survey of path 7", 40))
    finally:
        fleet.close()
    assert tokens == expected_tokens(1, "survey of path 7", 40)
    assert end == 40
