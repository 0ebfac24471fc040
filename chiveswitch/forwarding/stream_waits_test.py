"""Tests of streams that wait at their gateway, with a gateway and stand-in workers."""

import asyncio
import unittest.mock

import orjson
import pytest

from chiveswitch.core import clock, pace, placement, prompt_quarantine
from chiveswitch.forwarding import forwarder, forwarder_test
from chiveswitch.platform import documents
from features import platform_standins

URGENT, PATIENT = "/urgent/", "/patient/"


def put_in_force(fixture, priorities=(0, 2)):
    """Publishes a config with an urgent and a patient route, which may wait for seconds."""
    document = platform_standins.make_config(4)
    template = document["routes"][0]
    aims_ms = (500, 3000)
    document["routes"] = [
        {
            **template,
            "name": prefix.strip("/"),
            "path-prefix": prefix,
            "priority": priority,
            "target-latency-ms": aim_ms,
        }
        for prefix, priority, aim_ms in zip((URGENT, PATIENT), priorities, aims_ms, strict=True)
    ]
    fixture.gateway.set_bundle(documents.decode_config(orjson.dumps(document)).ok)


def fill(fixture, worker_id, prompts=4):
    """Reports runs of another gateway, whose prompts an engine has yet to read."""
    runs = []
    for number in range(prompts):
        run = placement.Run(f"other-{number}", "", 9_000, 8_000, "g2", clock.now())
        run.target_id = worker_id
        runs.append(run)
        fixture.gateway.run_table.put(run)
    return runs


def start(fixture, request_id, prefix):
    fields = platform_standins.stream_headers(request_id)
    return asyncio.ensure_future(
        platform_standins.send_request(fixture.address, "POST", prefix + "x", fields, b"prompt")
    )


async def wait_until_waiting(fixture, count=1):
    await platform_standins.wait_until(lambda: fixture.gateway.count_waiting_streams() == count)


def test_a_patient_stream_waits_while_an_urgent_one_is_served(tmp_path):
    # The only engine has prompts to read. Guards against an urgent stream behind a patient one, and
    # against a wait that goes on after room shows.
    async def scenario(fixture):
        put_in_force(fixture)
        await fixture.add("w0", "engines", "a")
        runs = fill(fixture, "w0")
        patient = start(fixture, "patient", PATIENT)
        await wait_until_waiting(fixture)
        assert (await start(fixture, "urgent", URGENT)).status == 200
        assert not patient.done()
        for run in runs:
            run.ended = True
        assert (await patient).status == 200
        assert fixture.gateway.count_waiting_streams() == 0
        assert fixture.executed_request_ids() == ["urgent", "patient"]

    text = forwarder_test.run(scenario, tmp_path)
    assert "stream_waits" in text and "stream_waited" in text and "outcome=place" in text


@pytest.mark.parametrize("priorities", [(0, 2), (1, 1)], ids=["ordered", "equal"])
def test_engines_learn_the_urgency_only_if_priorities_differ(tmp_path, priorities):
    # Guards against engines that preempt an urgent stream for a patient one, and against a change
    # for services whose requests all have the same priority, which do not wait either.
    async def scenario(fixture):
        put_in_force(fixture, priorities)
        worker = await fixture.add("w0", "engines", "a")
        if priorities == (1, 1):
            fill(fixture, "w0")
        for name, prefix in (("urgent", URGENT), ("patient", PATIENT)):
            assert (await start(fixture, name, prefix)).status == 200
        sent = [fields.get("x-request-priority") for _, fields, *_ in worker.runs]
        assert sent == (["1", "3"] if priorities == (0, 2) else [None, None])
        assert "stream_wait_seconds" not in fixture.gateway.metrics.text()

    forwarder_test.run(scenario, tmp_path)


def test_a_caller_that_leaves_while_its_stream_waits_frees_the_place(tmp_path):
    # Guards against streams that wait behind one whose caller is gone, and against its execution.
    async def scenario(fixture):
        put_in_force(fixture)
        await fixture.add("w0", "engines", "a")
        fill(fixture, "w0")
        patient = start(fixture, "patient", PATIENT)
        await wait_until_waiting(fixture)
        patient.cancel()
        await wait_until_waiting(fixture, 0)
        assert fixture.executed_request_ids() == []

    assert "caller_gone" in forwarder_test.run(scenario, tmp_path)


def test_a_waiting_stream_is_refused_when_the_gateway_stops(tmp_path):
    # Guards against a stream that is begun late in a drain, and would be cut.
    async def scenario(fixture):
        put_in_force(fixture)
        await fixture.add("w0", "engines", "a")
        fill(fixture, "w0")
        patient = start(fixture, "patient", PATIENT)
        await wait_until_waiting(fixture)
        fixture.gateway.begin_drain(forwarder.Drain(clock.now(), clock.now()))
        answer = await patient
        assert (answer.status, answer.value_by_header["x-chiveswitch-code"]) == (503, "3006")
        assert fixture.executed_request_ids() == []

    forwarder_test.run(scenario, tmp_path)


def test_a_waiting_stream_is_refused_when_its_prompt_is_found_to_crash_engines(tmp_path):
    # Guards against a prompt in quarantine that is sent because its stream waited meanwhile.
    async def scenario(fixture):
        put_in_force(fixture)
        await fixture.add("w0", "engines", "a")
        fill(fixture, "w0")
        patient = start(fixture, "patient", PATIENT)
        await wait_until_waiting(fixture)
        (candidate,) = fixture.gateway.stream_queue_of("engines").candidate_by_id.values()
        (stream,) = fixture.gateway.open_streams
        assert stream.wait.candidate is candidate
        for number in range(3):
            fixture.gateway.apply_prompt_report(
                prompt_quarantine.Report(
                    prompt_quarantine.Outcome.CRASHED_ANSWERING,
                    stream.admitted.parts,
                    clock.now(),
                    f"crashed-{number}",
                )
            )
        answer = await patient
        assert (answer.status, answer.value_by_header["x-chiveswitch-code"]) == (503, "3010")
        assert fixture.executed_request_ids() == []

    forwarder_test.run(scenario, tmp_path)


def test_what_cannot_end_in_time_is_refused_with_a_time_to_return(tmp_path):
    # All places are taken by streams with unread prompts, more than the caller's time. Guards
    # against a refusal without a time, and against reading the prompt in vain.
    async def scenario(fixture):
        put_in_force(fixture)
        await fixture.add("w0", "engines", "a")
        fill(fixture, "w0", 9)
        answer = await start(fixture, "urgent", URGENT)
        assert (answer.status, answer.value_by_header["x-chiveswitch-code"]) == (503, "3002")
        assert float(answer.value_by_header["retry-after"]) > 0
        assert fixture.executed_request_ids() == []

    assert 'reason="needs' in forwarder_test.run(scenario, tmp_path)


def test_callers_that_all_engines_turned_away_return_spread_and_by_rank(tmp_path):
    # A crowd at engines that are full. Guards against callers that all return at the same moment,
    # the patient ones before the urgent ones.
    async def scenario(fixture):
        put_in_force(fixture)
        (await fixture.add("w0", "engines", "a")).behaviour = "shed"
        returns = []
        for prefix in (URGENT, PATIENT):
            callers = [start(fixture, f"{prefix}{number}", prefix) for number in range(12)]
            answers = await asyncio.gather(*callers)
            assert {answer.status for answer in answers} == {503}
            returns.append([float(answer.value_by_header["retry-after"]) for answer in answers])
        urgent, patient = returns
        assert max(urgent) - min(urgent) > 0.3
        assert sum(urgent) < sum(patient)

    forwarder_test.run(scenario, tmp_path)


def test_the_wait_is_no_part_of_the_learned_pace(tmp_path):
    # A patient stream waits for a second. Guards against refusals because the engines seem slow.
    async def scenario(fixture):
        put_in_force(fixture)
        fixture.gateway.bundle.service_by_name["engines"].engine.event_tokens = 9
        await fixture.add("w0", "engines", "a")
        runs = fill(fixture, "w0")
        patient = start(fixture, "patient", PATIENT)
        await asyncio.sleep(1.0)
        assert fixture.gateway.count_waiting_streams() == 1
        for run in runs:
            run.ended = True
        with unittest.mock.patch.object(pace.StreamPace, "observe") as observe:
            assert (await patient).status == 200
        assert observe.call_args.args[1] < 0.5

    forwarder_test.run(scenario, tmp_path)
