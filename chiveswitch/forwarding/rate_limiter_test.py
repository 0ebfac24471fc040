"""Tests of calls and streams to targets that name the rate of requests that they take."""

import asyncio

from chiveswitch.core import clock
from chiveswitch.forwarding import forwarder_test

RATE = 4.0


def most_requests(seconds):
    """Returns how many requests a target with the limit `RATE` may get in a time."""
    return 1.5 * RATE * seconds + 5


def test_calls_go_to_other_targets_beyond_the_limit_that_a_target_names(tmp_path):
    # Guards against a target that gets far more requests than the limit that it has named.
    async def scenario(fixture):
        limited = await fixture.add("w0", "plain", "a")
        limited.named_limit = str(RATE)
        await forwarder_test.call(fixture, "first")
        free = await fixture.add("w1", "plain", "a")
        started = clock.now()
        for number in range(80):
            answer = await forwarder_test.call(fixture, f"r{number}")
            assert answer.status == 200
        assert len(limited.arrived_at) - 1 <= most_requests(clock.now() - started)
        assert len(free.arrived_at) + len(limited.arrived_at) == 81

    forwarder_test.run(scenario, tmp_path)


def test_streams_go_to_other_engines_beyond_the_limit_that_an_engine_names(tmp_path):
    # Guards against the same for streams, whose heads name the limit long before their ends.
    async def scenario(fixture):
        limited = await fixture.add("e0", "engines", "a")
        limited.named_limit = str(RATE)
        await forwarder_test.stream(fixture, "first")
        await fixture.add("e1", "engines", "a")
        started = clock.now()
        tasks = []
        for number in range(40):
            prompt = {"X-Prompt-Prefix": f"aa:200,{number:x}:600"}
            stream = forwarder_test.stream(fixture, f"r{number}", **prompt)
            tasks.append(asyncio.ensure_future(stream))
            await asyncio.sleep(0.01)
        answers = await asyncio.gather(*tasks)
        assert all(answer.event_ids() == list(range(12)) for answer in answers)
        assert len(limited.arrived_at) - 1 <= most_requests(clock.now() - started)

    forwarder_test.run(scenario, tmp_path)


def test_what_the_limits_of_all_targets_do_not_permit_is_refused_at_once(tmp_path):
    # Guards against callers that wait until their deadline for a target that takes no more.
    async def scenario(fixture):
        limited = await fixture.add("w0", "plain", "a")
        limited.named_limit = str(RATE)
        await forwarder_test.call(fixture, "first")
        started = clock.now()
        tasks = [forwarder_test.call(fixture, f"r{number}") for number in range(60)]
        answers = await asyncio.gather(*tasks)
        seconds = clock.now() - started
        assert seconds < 1.5
        assert len(limited.arrived_at) - 1 <= most_requests(seconds)
        refused = [answer for answer in answers if answer.status != 200]
        assert {answer.status for answer in refused} == {503}
        assert {answer.value_by_header["x-chiveswitch-code"] for answer in refused} == {"3011"}
        delays = sorted(float(answer.value_by_header["retry-after"]) for answer in refused)
        # Returns are spread over the time in which the limit permits as many requests.
        assert delays[-1] - delays[0] > len(refused) / RATE / 4
        assert len(limited.runs) == 1 + len(answers) - len(refused)

    forwarder_test.run(scenario, tmp_path)
