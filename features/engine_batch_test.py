"""Tests of the simulated batch, since tests of the product rely on it."""

import asyncio

from features import engine_batch


def new_batch(**limits):
    return engine_batch.Batch(engine_batch.BatchSettings(step_seconds=0.001, **limits))


async def generate(batch, prompt, events, priority=None):
    """Runs one request to its end and returns whether it was admitted."""
    request = batch.add_request(prompt, priority)
    if request is None:
        return False
    try:
        for _ in range(events):
            await batch.step(request)
    finally:
        batch.remove_request(request)
    return True


def test_a_shared_prefix_is_prefilled_once():
    """Guards against a wrong prefix cache.

    Cached parts must not be prefilled again; parts after a missing one must be.
    """

    async def scenario():
        batch = new_batch()
        await generate(batch, "aa:200,b1:600", 2)
        await generate(batch, "aa:200,b2:600", 2)
        assert batch.prefill_tokens == 1400
        await generate(batch, "zz:100,b2:600", 2)
        assert batch.prefill_tokens == 2100

    asyncio.run(scenario())


def test_least_recently_used_parts_are_evicted():
    """Guards against a cache that grows without bound."""

    async def scenario():
        batch = new_batch(memory_tokens=1500)
        for part in ("b1", "b2", "b1"):
            await generate(batch, f"{part}:700", 1)
        assert batch.prefill_tokens == 1400
        await generate(batch, "b3:700", 1)
        await generate(batch, "b1:700", 1)
        assert batch.prefill_tokens == 2100
        await generate(batch, "b2:700", 1)
        assert batch.prefill_tokens == 2800

    asyncio.run(scenario())


def test_slots_are_limited_and_urgent_requests_go_first():
    """Guards against a batch of unbounded size, and against a queue that ignores priorities."""

    async def scenario():
        batch = new_batch(slots=1)
        ended = []

        async def one(name, priority):
            await generate(batch, f"{name}:100", 3, priority)
            ended.append(name)

        await asyncio.gather(one("b1", 5), one("b2", 5), one("b3", 0))
        assert batch.max_running == 1 and ended == ["b1", "b3", "b2"]

    asyncio.run(scenario())


def test_short_memory_preempts_the_newest_of_the_least_urgent():
    """Guards against a preempted request that loses events or is not prefilled again."""

    async def scenario():
        batch = new_batch(memory_tokens=1000, tokens_per_event=50)
        runs = [generate(batch, f"b{number}:400", 6) for number in range(2)]
        assert await asyncio.gather(*runs) == [True, True]
        assert batch.preemptions == 1 and batch.prefill_tokens > 1200

    asyncio.run(scenario())


def test_a_prompt_larger_than_the_memory_is_rejected():
    """Guards against a request that waits forever for more memory than the engine has."""

    async def scenario():
        assert not await generate(new_batch(memory_tokens=500), "aa:200,b1:400", 1)

    asyncio.run(scenario())
