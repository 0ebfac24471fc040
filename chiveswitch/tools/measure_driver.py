"""A driver process of the scaling mode.

It reads streams from one gateway, and for comparison some directly from the engines.
"""

import asyncio
import gc
import pathlib
import random
import time

import orjson

from chiveswitch.callers import client
from chiveswitch.core import clock
from chiveswitch.targets import engine_client
from chiveswitch.tools import measure_check, measure_load, sample

MAX_TOKENS = 3000


class PinnedCaller(measure_load.Caller):
    """A caller that always uses the same gateway."""

    async def address(self) -> str:
        """Returns the gateway's address."""
        return self.settings.seeds[0]


async def run(plan: dict) -> dict:
    """Opens streams, reads them until the plan ends, and returns figures of the measured window.

    Args:
        plan: JSON object with name, gateway, engines, streams, direct, ramp, window and seed.
            `window` is the measured time as (begin, end), in seconds of `clock.now`.
    Returns:
        JSON object with the gaps between tokens through the gateway and from the engines, in
        seconds, the tokens, the token errors and the CPU seconds of this process.
    """
    begin, end = plan["window"]
    requests = []
    direct = []
    settings = client.CallerSettings([plan["gateway"]], sample.KEY_BY_ACCOUNT["planning"])
    callers = []
    tasks = []
    rng = random.Random(f"driver {plan['seed']} {plan['name']}")
    for index in range(plan["streams"]):
        prompt = f"report {plan['name']} {index}: {measure_load.PROMPT_TEXT}"
        request = measure_load.GenerationRequest("report", "planning", prompt, MAX_TOKENS)
        requests.append(request)
        callers.append(PinnedCaller(settings, random.Random(rng.random())))
        tasks.append(asyncio.ensure_future(_read_through_gateway(callers[-1], request)))
        await asyncio.sleep(plan["ramp"] / plan["streams"])
    for index in range(plan["direct"]):
        times = []
        direct.append(times)
        address = plan["engines"][index % len(plan["engines"])]
        name = f"direct-{plan['name']}-{index}"
        tasks.append(asyncio.ensure_future(_read_from_engine(address, name, times)))
    # A full garbage collection in the driver would appear as a delay of the gateway.
    gc.collect()
    gc.freeze()
    await asyncio.sleep(max(0.0, begin - clock.now()))
    cpu_begin = time.process_time()
    await asyncio.sleep(max(0.0, end - clock.now()))
    cpu_end = time.process_time()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    gateway_times = [request.answer.token_times if request.answer else [] for request in requests]
    return {
        "gaps": _find_gaps(gateway_times, begin, end),
        "direct_gaps": _find_gaps(direct, begin, end),
        "tokens": _count_tokens(gateway_times, begin, end),
        "open": sum(any(at >= begin for at, _ in times) for times in gateway_times),
        "errors": _count_token_errors(requests),
        "cpu_share": (cpu_end - cpu_begin) / (end - begin),
    }


async def _read_through_gateway(caller, request):
    def on_tokens(answer):
        request.answer = answer

    await caller.generate(request.service, request.prompt, request.max_tokens, on_tokens=on_tokens)


async def _read_from_engine(address, name, times):
    body = {
        "attempt_id": name,
        "model": sample.MODEL,
        "adapter": "",
        "version": "1",
        "prompt": f"{name}: {measure_load.PROMPT_TEXT}",
        "seed": 1,
        "max_tokens": MAX_TOKENS,
        "prefix": [],
    }
    stream = await engine_client.EngineClient().start_attempt(address, body)
    token_count = 0
    async for batch in stream.read_batches():
        for event in batch:
            if event.name == "tokens":
                token_count += len(orjson.loads(event.data)["t"])
                times.append((clock.now(), token_count))


def _within(times, begin, end):
    return [each for each in times if begin <= each[0] <= end]


def _find_gaps(all_times, begin, end):
    gaps = []
    for times in all_times:
        gaps.extend(measure_check.find_token_gaps(_within(times, begin, end)))
    return gaps


def _count_tokens(all_times, begin, end):
    total = 0
    for times in all_times:
        inside = _within(times, begin, end)
        if inside:
            total += inside[-1][1] - inside[0][1]
    return total


def _count_token_errors(requests):
    errors = {}
    for request in requests:
        if request.answer is None:
            continue
        answer = request.answer
        found = measure_check.count_token_errors(
            answer.tokens, answer.seed, request.prompt, request.max_tokens, answer.complete
        )
        if answer.errors:
            found["protocol"] = len(answer.errors)
        for kind, count in found.items():
            errors[kind] = errors.get(kind, 0) + count
    return errors


def main(plan_file: str) -> int:
    """Runs the plan in a file and writes the result beside it, with the suffix `.result`."""
    path = pathlib.Path(plan_file)
    result = asyncio.run(run(orjson.loads(path.read_bytes())))
    path.with_suffix(".result").write_bytes(orjson.dumps(result))
    return 0
