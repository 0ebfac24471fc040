"""Tests of the forwarded path against stand-in workers in one process."""

import asyncio

import orjson
import pytest

from chiveswitch.core import (
    clock,
    decision_log,
    metrics,
    pace,
    placement,
    prompt_quarantine,
    retry,
    speeds,
    target_table,
)
from chiveswitch.forwarding import calls, forwarder, http_server, streams
from chiveswitch.peers import hub
from chiveswitch.platform import documents, headers
from chiveswitch.tools import processes
from features import platform_standins

HANDLERS = (calls.serve_call, streams.serve_stream)
KEY = {"Authorization": "Bearer key-1"}


class Settings:
    """Settings of the gateway under test."""

    name = "g1"
    availability_zone = "a"
    stop_grace_s = 8.0
    retry = retry.ServiceRetryLimits(0.8, 150, 10)
    rollout = None


class GatewayFixture:
    """A gateway and the stand-in workers to which it forwards requests.

    Attributes:
        address: Address for callers.
        gateway: The `forwarder.Forwarder`.
        table: Its `target_table.TargetTable`.
        workers: Stand-in workers by id.
        worker_by_address: Stand-in workers by `ip:port`, shared with all workers.
        server: The `http_server.Server` for callers.
    """

    def __init__(self, log):
        self.address = f"127.0.0.1:{processes.free_port()}"
        self.table = target_table.TargetTable()
        self.gateway = forwarder.Forwarder(
            headers.Dialect(), self.table, log, metrics.Metrics(), Settings, lambda run: None
        )
        self.gateway.bundle = documents.decode_config(
            orjson.dumps(platform_standins.make_config(3))
        ).ok
        self.workers = {}
        self.worker_by_address = {}
        self.server = http_server.Server(self.gateway.handle, self.gateway.limits)

    async def add(self, worker_id, service, zone):
        """Starts a worker and announces it to the gateway."""
        address = f"127.0.0.1:{processes.free_port()}"
        worker = platform_standins.Worker(worker_id, address, self.worker_by_address)
        await worker.start()
        self.workers[worker_id] = worker
        self.announce(worker, service, zone, 1)
        return worker

    def announce(self, worker, service, zone, sequence, state="ready"):
        """Delivers a worker's heartbeat to the gateway."""
        body = worker.heartbeat(service, zone, sequence, state)
        report = documents.decode_heartbeat(worker.worker_id, body).ok
        self.table.apply_report("h", hub.to_table_report(report), clock.now())

    def executed_request_ids(self):
        """Returns the request id of each run at any worker; an id occurs once for each run."""
        return [run[0] for worker in self.workers.values() for run in worker.runs]


def run(scenario, tmp_path):
    async def with_fixture(descriptor):
        fixture = GatewayFixture(decision_log.DecisionLog(descriptor))
        await fixture.server.start(fixture.address)
        try:
            await scenario(fixture)
        finally:
            fixture.gateway.log.flush()
            await fixture.server.close()
            fixture.gateway.pool.close()
            for worker in fixture.workers.values():
                await worker.stop()

    with open(tmp_path / "log", "wb") as file:
        asyncio.run(with_fixture(file.fileno()))
    return (tmp_path / "log").read_text()


async def call(fixture, request_id, prefix="/w/x", method="POST", body=b"order", **more):
    fields = {"X-Request-Id": request_id, "X-Deadline-Ms": "3000", **KEY, **more}
    return await platform_standins.send_request(fixture.address, method, prefix, fields, body)


async def fetch_abandoned_status(_run):
    return placement.RunStatus(True)


async def stream(fixture, request_id, **more):
    fields = platform_standins.stream_headers(request_id, **more)
    return await platform_standins.send_request(fixture.address, "POST", "/s/x", fields, b"prompt")


def test_a_call_reaches_a_worker_unchanged_and_its_answer_the_caller(tmp_path):
    async def scenario(fixture):
        await fixture.add("w1", "plain", "a")
        answer = await call(fixture, "r1", "/w/x?q=1")
        assert (answer.status, answer.body) == (200, b"POST /w/x?q=1 order")
        assert answer.value_by_header["x-response-seal"] == "seal-w1"
        fields = fixture.workers["w1"].runs[0][1]
        assert fields["x-tenant"] == "account-1"
        assert "authorization" not in fields
        assert int(fields["x-deadline-ms"]) <= 3000

    text = run(scenario, tmp_path)
    assert "gateway: sent" in text and "gateway: answered" in text and "request=r1" in text


def test_own_refusals_carry_codes_and_no_seal(tmp_path):
    async def scenario(fixture):
        await fixture.add("w1", "plain", "a")
        unknown = await call(fixture, "r1", "/nowhere/")
        assert unknown.status == 404
        wrong = await call(fixture, "r2", Authorization="Bearer other")
        assert wrong.status == 401
        fixture.gateway.bundle = None
        fixture.gateway._started_at -= forwarder.STARTUP_SECONDS
        early = await call(fixture, "r3")
        assert early.status == 503 and "retry-after" in early.value_by_header
        assert "x-response-seal" not in early.value_by_header
        assert early.value_by_header["x-chiveswitch-code"] == "3005"
        assert fixture.executed_request_ids() == []

    run(scenario, tmp_path)


def test_an_unrepeatable_call_whose_answer_is_lost_runs_once(tmp_path):
    # Guards against a duplicate run: the connection is reset after the worker ran the call, so that
    # a second send would run it again.
    async def scenario(fixture):
        for number in range(3):
            worker = await fixture.add(f"w{number}", "plain", "a")
            worker.behaviour = "lose_answer"
        for number in range(6):
            answer = await call(fixture, f"r{number}")
            assert answer.status == 502
            assert "retry-after" not in answer.value_by_header
        assert sorted(fixture.executed_request_ids()) == [f"r{number}" for number in range(6)]

    run(scenario, tmp_path)


def test_a_status_that_looks_like_a_refusal_is_not_passed_on_for_a_run(tmp_path):
    # Guards against a response that states "not run" for a call that a worker ran: a 503 in which
    # the worker does not state that it did not run the call proves nothing.
    async def scenario(fixture):
        worker = await fixture.add("w1", "plain", "a")
        worker.behaviour = "unsure"
        answer = await call(fixture, "r1")
        assert answer.status == 502
        assert fixture.executed_request_ids() == ["r1"]

    run(scenario, tmp_path)


def test_a_call_that_a_worker_turned_away_goes_to_another_one(tmp_path):
    async def scenario(fixture):
        full = await fixture.add("w1", "plain", "a")
        full.behaviour = "shed"
        await fixture.add("w2", "plain", "a")
        for number in range(8):
            assert (await call(fixture, f"r{number}")).status == 200
        assert sorted(fixture.executed_request_ids()) == [f"r{number}" for number in range(8)]
        assert full.rejected_request_ids

    run(scenario, tmp_path)


def test_a_call_that_all_workers_turn_away_is_refused_as_not_run(tmp_path):
    async def scenario(fixture):
        for number in range(2):
            (await fixture.add(f"w{number}", "plain", "a")).behaviour = "shed"
        answer = await call(fixture, "r1")
        assert answer.status == 503
        assert float(answer.value_by_header["retry-after"]) > 0
        assert fixture.executed_request_ids() == []

    run(scenario, tmp_path)


def test_a_call_without_any_worker_is_refused_at_once(tmp_path):
    # Guards against keeping a request that cannot be served until its deadline.
    async def scenario(fixture):
        fixture.gateway._started_at -= forwarder.STARTUP_SECONDS
        started = clock.now()
        answer = await call(fixture, "r1")
        assert answer.status == 503
        assert clock.now() - started < 0.5

    run(scenario, tmp_path)


def test_requests_wait_for_the_bundle_and_targets_after_a_start(tmp_path):
    # Guards against refusals right after a start. If all processes are killed and restarted within
    # a second, a refusal by a starting process uses up the caller's only other attempt.
    async def scenario(fixture):
        bundle, fixture.gateway.bundle = fixture.gateway.bundle, None
        tasks = [asyncio.ensure_future(call(fixture, f"r{number}")) for number in range(3)]
        await asyncio.sleep(0.2)
        fixture.gateway.bundle = bundle
        await asyncio.sleep(0.1)
        await fixture.add("w1", "plain", "a")
        for task in tasks:
            assert (await task).status == 200
        # The wait ends after a quarter of the caller's deadline even if the data did not arrive.
        fixture.gateway.bundle = None
        started = clock.now()
        answer = await call(fixture, "r9", **{"X-Deadline-Ms": "800"})
        assert answer.status == 503 and clock.now() - started < 0.4

    run(scenario, tmp_path)


def test_an_idempotent_call_is_served_past_failing_hanging_and_dead_workers(tmp_path):
    async def scenario(fixture):
        (await fixture.add("w1", "plain", "a")).behaviour = "fail"
        (await fixture.add("w2", "plain", "a")).behaviour = "hang"
        dead = await fixture.add("w3", "plain", "a")
        await dead.stop()
        await fixture.add("w4", "plain", "a")
        statuses = []
        for number in range(10):
            answer = await call(fixture, f"r{number}", "/r/x", "GET", b"")
            statuses.append(answer.status)
        # Three runs are permitted, and two of the three reachable workers never succeed.
        assert statuses.count(200) == 10

    run(scenario, tmp_path)


def test_only_idempotent_calls_are_retried_after_an_idle_connection_was_dropped(tmp_path):
    # Guards against a response that states "not run" after a reset that does not prove it, against
    # a second send of an unrepeatable request, and against an idempotent one that is not retried.
    async def scenario(fixture):
        worker = await fixture.add("w0", "plain", "a")
        assert (await call(fixture, "r0")).status == 200
        worker.behaviour = "drop_connection"
        assert (await call(fixture, "u1")).status == 502
        await fixture.add("w1", "plain", "a")
        for number in range(6):
            safe = await call(fixture, f"s{number}", "/r/x", "GET", b"")
            assert safe.status == 200
        ran = fixture.executed_request_ids()
        assert "u1" in worker.rejected_request_ids and "u1" not in ran and len(ran) == len(set(ran))

    run(scenario, tmp_path)


def test_calls_are_served_while_a_worker_goes_down_and_up(tmp_path):
    # Guards against calls that fail whenever a flapping worker goes down, and against a worker that
    # is never used again after it recovered.
    async def scenario(fixture):
        worker = await fixture.add("w0", "plain", "a")
        await fixture.add("w1", "plain", "a")
        number = 0
        for _ in range(4):
            await worker.stop()
            for _ in range(5):
                number += 1
                assert (await call(fixture, f"r{number}", "/r/x", "GET", b"")).status == 200
            await worker.start()
            # The backoff before an unreachable target is tried again grows with each failure.
            await asyncio.sleep(0.3)
        before = len(worker.runs)
        end = clock.now() + 2 * target_table.AVOID_MAX_SECONDS
        while len(worker.runs) == before:
            number += 1
            assert (await call(fixture, f"r{number}", "/r/x", "GET", b"")).status == 200
            assert clock.now() < end, "the worker is not used again"
            await asyncio.sleep(0.05)

    run(scenario, tmp_path)


def test_a_worker_that_announces_itself_but_never_answers_gets_few_calls(tmp_path):
    # Guards against relying on a worker's heartbeats alone: a worker that hangs may still announce
    # itself as ready, so its responses decide whether it is used.
    async def scenario(fixture):
        hanging = await fixture.add("w0", "plain", "a")
        hanging.behaviour = "hang"
        for number in range(1, 4):
            await fixture.add(f"w{number}", "plain", "a")
        for number in range(30):
            fixture.announce(hanging, "plain", "a", number + 2)
            assert (await call(fixture, f"r{number}", "/r/x", "GET", b"")).status == 200
        # About a quarter of the calls would reach it if it were chosen as often as the others.
        assert len(hanging.runs) <= 4

    run(scenario, tmp_path)


def test_a_worker_at_a_reused_address_does_not_run_the_request(tmp_path):
    async def scenario(fixture):
        worker = await fixture.add("w1", "plain", "a")
        worker.worker_id = "w9"
        answer = await call(fixture, "r1")
        assert answer.status == 503
        assert fixture.executed_request_ids() == [] and fixture.table.find("w1") is None

    run(scenario, tmp_path)


def test_a_call_ends_with_its_caller(tmp_path):
    async def scenario(fixture):
        worker = await fixture.add("w1", "plain", "a")
        worker.behaviour = "hang"
        host, _, port = fixture.address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        fields = {"Host": "svc.example", "X-Request-Id": "r1", **KEY}
        writer.write(platform_standins.encode_request("POST", "/w/x", fields))
        await platform_standins.wait_until(lambda: worker.runs)
        writer.transport.abort()
        await platform_standins.wait_until(lambda: worker.aborted_request_ids == ["r1"])

    run(scenario, tmp_path)


def test_a_hanging_unrepeatable_call_ends_with_the_routes_timeout(tmp_path):
    async def scenario(fixture):
        (await fixture.add("w1", "plain", "a")).behaviour = "hang"
        started = clock.now()
        answer = await call(fixture, "r1", **{"X-Deadline-Ms": "700"})
        assert answer.status == 504
        assert clock.now() - started < 0.95

    run(scenario, tmp_path)


def test_a_leaving_worker_gets_no_more_requests(tmp_path):
    async def scenario(fixture):
        leaving = await fixture.add("w1", "plain", "a")
        await fixture.add("w2", "plain", "a")
        await call(fixture, "r0")
        fixture.announce(leaving, "plain", "a", 2, "draining")
        before = len(leaving.runs)
        for number in range(1, 10):
            assert (await call(fixture, f"r{number}")).status == 200
        assert len(leaving.runs) == before

    run(scenario, tmp_path)


async def add_engines(fixture, count=3):
    return [await fixture.add(f"e{n}", "engines", "abcd"[n % 4]) for n in range(count)]


def test_a_stream_arrives_whole(tmp_path):
    async def scenario(fixture):
        await add_engines(fixture)
        answer = await stream(fixture, "r1")
        assert answer.complete and answer.event_ids() == list(range(12))
        assert answer.value_by_header["x-response-seal"].startswith("seal-e")

    run(scenario, tmp_path)


def test_the_slowdown_that_an_engine_states_is_kept_and_reported(tmp_path):
    # A gateway whose streams go to a machine that is slow for its lifetime.
    async def scenario(fixture):
        (engine,) = await add_engines(fixture, 1)
        engine.load = "1,0,8,160"
        reports = []
        fixture.gateway.report_run = lambda run: reports.append((run.target_id, run.speed))
        await stream(fixture, "r1")
        target_id, speed = reports[-1]
        assert (target_id, speed.factor, speed.born_ms) == ("e0", 1.6, engine.born_ms)
        assert fixture.gateway.speeds.factor("e0", clock.now()) > 1.2

    assert "gateway: target_speed" in run(scenario, tmp_path)


@pytest.mark.parametrize(("more", "count"), [({}, 1), ({"Last-Event-Id": "5"}, 0)])
def test_only_whole_reads_count_for_the_reading_rate(tmp_path, monkeypatch, more, count):
    # Callers that return after a crowd: the engine still has their prompts and answers at once.
    reads = []

    async def scenario(fixture):
        await add_engines(fixture)
        table = type(fixture.gateway.speeds)
        monkeypatch.setattr(table, "observe_read", lambda self, *read: reads.append(read))
        await stream(fixture, "r1", **more)

    run(scenario, tmp_path)
    assert len(reads) == count


def test_a_stream_goes_where_it_can_end_in_time(tmp_path):
    # A late caller while the only idle engine is slow and the other one is busy.
    async def scenario(fixture):
        slow, busy = await add_engines(fixture, 2)
        now = clock.now()
        for age_s in range(5, 0, -1):
            fixture.gateway.speeds.observe(speeds.Observation("e0", 1000, 10.0), now - age_s)
        for _ in range(pace.MIN_STREAMS):
            fixture.gateway.pace_of("engines").observe(1000, 1.0, 0.01, 0.1, now)
        fixture.table.target_by_id["e1"].update_load(30, 30, now)
        await stream(fixture, "r1", **{"X-Deadline-Ms": "3000"})
        assert (len(slow.runs), len(busy.runs)) == (0, 1)

    run(scenario, tmp_path)


def test_a_stream_continues_from_its_copy_after_a_crash_in_the_middle_of_an_event(tmp_path):
    # Guards against lost, repeated and truncated events, and against reading the prompt again.
    async def scenario(fixture):
        engines = await add_engines(fixture)
        for worker in engines:
            worker.cut_after = 5
        task = asyncio.ensure_future(stream(fixture, "r1"))
        await platform_standins.wait_until(fixture.executed_request_ids)
        for worker in engines:
            if not worker.runs:
                worker.cut_after = None
        answer = await task
        assert answer.complete and answer.event_ids() == list(range(12))
        runs = [(w, r) for w in engines for r in w.runs]
        assert len(runs) == 2
        continued = next(r for _, r in runs if "kv-from" in r[1])
        assert continued[1]["last-event-id"] == "4"
        # The response keeps the head of its first engine.
        first = next(w for w, r in runs if "kv-from" not in r[1])
        assert answer.value_by_header["x-response-seal"] == f"seal-{first.worker_id}"
        zones = {fixture.table.find(w.worker_id).zone for w, _ in runs}
        assert len(zones) == 2

    run(scenario, tmp_path)


def test_a_stream_fails_over_from_a_silent_engine_within_the_gap_objective(tmp_path):
    # Guards against streams that hang when a zone is cut off: connections stay open, but no bytes
    # arrive.
    async def scenario(fixture):
        engines = await add_engines(fixture)
        for worker in engines:
            worker.silent_after = 6
            worker.event_seconds = 0.02
        task = asyncio.ensure_future(stream(fixture, "r1"))
        await platform_standins.wait_until(fixture.executed_request_ids)
        silent = next(worker for worker in engines if worker.runs)
        for worker in engines:
            if worker is not silent:
                worker.silent_after = None
        await platform_standins.wait_until(lambda: fixture.gateway.run_table.run_by_id)
        await silent._server.close()
        answer = await task
        assert answer.complete and answer.event_ids() == list(range(12))
        # The old connection is closed before the run continues at another engine.
        assert silent.aborted_request_ids == ["r1"]

    text = run(scenario, tmp_path)
    line = next(line for line in text.split("\n") if "gateway: answered" in line)
    pause = float(line.split(" pause=")[1].split()[0])
    assert pause < 0.7


def test_a_stream_without_copy_continues_after_another_engine_reads_the_prompt(tmp_path):
    async def scenario(fixture):
        engines = await add_engines(fixture, 2)
        for worker in engines:
            worker.cut_after = 5
        task = asyncio.ensure_future(stream(fixture, "r1"))
        await platform_standins.wait_until(fixture.executed_request_ids)
        other = next(worker for worker in engines if not worker.runs)
        other.cut_after = None
        await platform_standins.wait_until(lambda: other.last_event_by_copy)
        other.last_event_by_copy = {}
        other._worker_by_address.clear()
        answer = await task
        assert answer.complete and answer.event_ids() == list(range(12))

    run(scenario, tmp_path)


def test_a_returning_caller_gets_the_events_after_its_last_one(tmp_path):
    async def scenario(fixture):
        await add_engines(fixture)
        answer = await stream(fixture, "r2", **{"Last-Event-Id": "7"})
        assert answer.complete and answer.event_ids() == [8, 9, 10, 11]

    run(scenario, tmp_path)


def test_a_returning_caller_continues_from_the_copy_that_another_gateway_ordered(tmp_path):
    # Guards against reading the prompt again after the loss of a gateway. The caller reconnects at
    # another gateway, which received the report of the run's copy.
    async def scenario(fixture):
        engines = await add_engines(fixture)
        holder = engines[1]
        await stream(fixture, "r1")
        holder.last_event_by_copy["old-run"] = 7
        known = streams.placement.Run("old-run", "bb", 900, 800, "other", clock.now())
        known.target_id, known.copy_target_id = "e0", "e1"
        known.copy_reference = f"{holder.address}/old-run"
        known.request_digest = fixture.gateway.run_table.run_by_id["r1"].request_digest
        fixture.gateway.fetch_run_status = fetch_abandoned_status
        fixture.gateway.run_table.put(known)
        answer = await stream(fixture, "r2", **{"Last-Event-Id": "7"})
        assert answer.event_ids() == [8, 9, 10, 11]
        fields = next(fields for run_id, fields in holder.runs if run_id == "r2")
        assert fields["kv-from"].endswith("/old-run")

    run(scenario, tmp_path)


def test_a_target_counts_as_lost_only_if_it_does_not_accept_connections(tmp_path):
    # Guards against engines and services that all gateways avoid because the network reset some
    # connections, so that the remaining ones get all the load.
    async def scenario(fixture):
        lost_ids = []
        fixture.table.on_lost = lost_ids.append
        engines = await add_engines(fixture, 4)
        await fixture.add("w0", "plain", "a")
        fixture.workers["w0"].behaviour = "lose_answer"
        for worker in engines:
            worker.cut_after = 5
        assert (await call(fixture, "u1")).status == 502
        await stream(fixture, "r1")
        await asyncio.sleep(0.1)
        now = clock.now()
        assert lost_ids == []
        assert all(target.avoided_until <= now for target in fixture.table.target_by_id.values())
        await fixture.workers["w0"].stop()
        assert (await call(fixture, "u2")).status == 503
        assert lost_ids == ["w0"]

    run(scenario, tmp_path)


def test_a_stream_at_its_deadline_says_nothing_about_its_engine(tmp_path):
    # Guards against sound engines that are reported as lost because callers had no time left.
    async def scenario(fixture):
        lost_ids = []
        fixture.table.on_lost = lost_ids.append
        for worker in await add_engines(fixture):
            worker.event_seconds = 0.2
        answer = await stream(fixture, "r1", **{"X-Deadline-Ms": "900"})
        assert not answer.complete
        assert lost_ids == []

    run(scenario, tmp_path)


def test_a_caller_whose_connection_was_reset_continues_from_the_copy(tmp_path):
    # Guards against reading the prompt again after a caller has lost its connection, because its
    # run counts as ended.
    async def scenario(fixture):
        engines = await add_engines(fixture)
        for worker in engines:
            worker.event_seconds = 0.05
        host, _, port = fixture.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        fields = {"Host": "svc.example", **platform_standins.stream_headers("r1")}
        writer.write(platform_standins.encode_request("POST", "/s/x", fields, b"prompt"))
        await reader.readuntil(b"id: 4\n")
        writer.transport.abort()
        await platform_standins.wait_until(
            lambda: any(worker.aborted_request_ids for worker in engines)
        )
        answer = await stream(fixture, "r2", **{"Last-Event-Id": "3"})
        assert answer.complete and answer.event_ids() == list(range(4, 12))
        fields = next(f for worker in engines for r, f in worker.runs if r == "r2")
        assert fields["kv-from"].endswith("/r1")

    assert "gateway: caller_gone" in run(scenario, tmp_path)


def test_another_request_of_a_session_does_not_continue_from_its_memory(tmp_path):
    # Guards against a response that mixes two requests of one session. They have the same last part
    # of the prompt and differ in their token counts.
    async def scenario(fixture):
        engines = await add_engines(fixture)
        await stream(fixture, "r1", **{"X-Token-Usage": "801,100"})
        engines[1].last_event_by_copy["old-run"] = 7
        known = streams.placement.Run("old-run", "bb", 901, 801, "other", clock.now())
        known.request_digest = fixture.gateway.run_table.run_by_id["r1"].request_digest
        fixture.gateway.fetch_run_status = fetch_abandoned_status
        known.target_id, known.copy_target_id = "e0", "e1"
        known.copy_reference = f"{engines[1].address}/old-run"
        fixture.gateway.run_table.put(known)
        answer = await stream(fixture, "r2", **{"Last-Event-Id": "7"})
        assert answer.event_ids() == [8, 9, 10, 11]
        assert all("kv-from" not in run[1] for worker in engines for run in worker.runs)

    run(scenario, tmp_path)


def test_a_copy_is_ordered_again_after_its_holder_is_lost(tmp_path):
    # Guards against a run without a copy when zones fail one after the other: its prompt would have
    # to be read again after the second failure.
    async def scenario(fixture):
        engines = await add_engines(fixture, 4)
        for worker in engines:
            worker.event_seconds = 0.1
        task = asyncio.ensure_future(stream(fixture, "r1"))
        await platform_standins.wait_until(fixture.executed_request_ids)
        run = fixture.gateway.run_table.run_by_id["r1"]
        await platform_standins.wait_until(lambda: run.copy_target_id)
        lost = run.copy_target_id
        fixture.table.record_loss(fixture.table.find(lost), clock.now())
        await platform_standins.wait_until(lambda: run.copy_target_id not in ("", lost))
        assert "/hr1" in run.copy_reference
        answer = await task
        assert answer.complete

    text = run(scenario, tmp_path)
    assert "gateway: copy " in text


def test_a_copy_is_ordered_again_when_its_holder_leaves_and_freed_at_the_end(tmp_path):
    # Guards against a run whose copy is lost with a draining worker, and against copies that are
    # never freed. If workers are replaced one after the other while zones fail, the prompt of such
    # a run had to be read again.
    async def scenario(fixture):
        engines = await add_engines(fixture, 4)
        for worker in engines:
            worker.event_seconds = 0.1
        task = asyncio.ensure_future(stream(fixture, "r1"))
        await platform_standins.wait_until(fixture.executed_request_ids)
        run = fixture.gateway.run_table.run_by_id["r1"]
        await platform_standins.wait_until(lambda: run.copy_target_id)
        holder = fixture.workers[run.copy_target_id]
        zone = fixture.table.find(holder.worker_id).zone
        fixture.announce(holder, "engines", zone, 2, "draining")
        await platform_standins.wait_until(lambda: run.copy_target_id != holder.worker_id)
        answer = await task
        assert answer.complete
        source = fixture.workers[run.target_id]
        await platform_standins.wait_until(lambda: source.freed_handles == ["hr1"])

    run(scenario, tmp_path)


def test_a_stream_that_cannot_be_read_in_time_is_refused_at_once(tmp_path):
    async def scenario(fixture):
        await add_engines(fixture)
        fields = {"X-Deadline-Ms": "300", "X-Token-Usage": "9000,100"}
        started = clock.now()
        answer = await stream(fixture, "r1", **fields)
        assert answer.status == 503
        assert answer.value_by_header["x-chiveswitch-code"] == "3003"
        assert "retry-after" not in answer.value_by_header
        assert clock.now() - started < 0.25
        assert fixture.executed_request_ids() == []

    run(scenario, tmp_path)


def test_a_stopping_gateway_refuses_late_streams_and_ends_connections(tmp_path):
    async def scenario(fixture):
        await add_engines(fixture)
        fixture.server.drain()
        now = clock.now()
        fixture.gateway.begin_drain(forwarder.Drain(now + 7.2, now + 2.0))
        early = await stream(fixture, "r1")
        assert early.complete and early.value_by_header["connection"] == "close"
        fixture.gateway.begin_drain(forwarder.Drain(now + 3.2, now - 2.0))
        late = await stream(fixture, "r2")
        assert late.status == 503 and "retry-after" in late.value_by_header

    run(scenario, tmp_path)


def test_the_retry_budget_bounds_repeats(tmp_path):
    # Guards against retries that multiply the load when all workers fail.
    async def scenario(fixture):
        for number in range(3):
            (await fixture.add(f"w{number}", "plain", "a")).behaviour = "fail"
        for number in range(60):
            await call(fixture, f"r{number}", "/r/x", "GET", b"")
        repeats = len(fixture.executed_request_ids()) - 60
        limits = Settings.retry
        assert repeats <= limits.slack / retry.ASSUMED_GATEWAYS + 60 * limits.ratio

    run(scenario, tmp_path)


def prompt(*parts):
    """Returns the header that lists the parts of a prompt."""
    return {"X-Prompt-Prefix": ",".join(f"{part}:100" for part in parts)}


def test_prompts_with_a_part_that_crashes_engines_are_refused(tmp_path):
    # Guards against requests that share one part only and crash one engine after the other, and
    # against the refusal of sound prompts that have the other parts in common with them.
    async def scenario(fixture):
        await add_engines(fixture, 8)
        engines = list(fixture.workers.values())
        for engine in engines:
            engine.crashing_parts = {"bad"}
            engine.restart_seconds = 60.0
        statuses = []
        for number in range(6):
            answer = await stream(fixture, f"r{number}", **prompt("aa", "bad", f"b{number}"))
            statuses.append(answer.status)
        assert sum(engine.crash_count for engine in engines) <= 5
        # The first requests may have run; the others certainly have not.
        assert statuses[0] == 502 and statuses[-1] == 503
        assert answer.value_by_header["x-chiveswitch-code"] == "3010"
        assert float(answer.value_by_header["retry-after"]) > 1.0
        sound = await stream(fixture, "s1", **prompt("aa", "c1"))
        assert sound.event_ids() == list(range(12))

    text = run(scenario, tmp_path)
    assert "gateway: prompt_held" in text and "held=m:bad" in text


def test_calls_with_a_part_that_crashes_targets_are_refused(tmp_path):
    # Guards against prompts of calls without a stream, which crash targets in the same way.
    async def scenario(fixture):
        for number in range(10):
            worker = await fixture.add(f"w{number}", "plain", "a")
            worker.crashing_parts = {"bad"}
            worker.restart_seconds = 60.0
        for number in range(8):
            answer = await call(
                fixture, f"r{number}", "/r/x", "GET", b"", **prompt("aa", "bad", f"b{number}")
            )
        assert answer.value_by_header["x-chiveswitch-code"] == "3010"
        # Calls wait at a crashed target without the head of a response.
        assert sum(worker.crash_count for worker in fixture.workers.values()) <= 7
        sound = await call(fixture, "s", "/r/x", "GET", b"", **prompt("aa", "c"))
        assert sound.status == 200

    run(scenario, tmp_path)


def test_a_request_that_waits_is_given_up_when_its_prompt_is_found_to_crash_engines(tmp_path):
    # Guards against the crash of engines that already have requests with a part, when this part is
    # found to crash engines.
    async def scenario(fixture):
        await add_engines(fixture, 1)
        worker = fixture.workers["e0"]
        worker.behaviour = "hang"
        waiting = asyncio.ensure_future(stream(fixture, "r1", **prompt("aa", "bad", "b1")))
        await platform_standins.wait_until(lambda: worker.runs)
        for number in range(3):
            report = prompt_quarantine.Report(
                prompt_quarantine.Outcome.CRASHED_ANSWERING,
                ["m:aa", "m:bad", f"m:c{number}"],
                clock.now() - number,
                "other",
            )
            fixture.gateway.apply_prompt_report(report)
        assert (await waiting).status == 502
        await platform_standins.wait_until(lambda: worker.aborted_request_ids == ["r1"])

    run(scenario, tmp_path)


def test_a_broken_connection_to_a_running_engine_is_no_crash(tmp_path):
    # Guards against sound prompts that are suspected because the network resets connections.
    async def scenario(fixture):
        await add_engines(fixture, 3)
        for worker in fixture.workers.values():
            worker.cut_after = 0
        for number in range(4):
            await stream(fixture, f"r{number}", **prompt("aa", "mid", f"b{number}"))

    assert "prompt_reported" not in run(scenario, tmp_path)
