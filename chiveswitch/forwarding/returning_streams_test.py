"""Tests of callers that return to another gateway while equal or similar requests are running."""

import asyncio
import copy

from chiveswitch.core import clock, placement, target_table
from chiveswitch.forwarding import copies, forwarder_test
from features import platform_standins

BODY = b"prompt"


def add_gateway(fixture):
    """Returns another gateway with the same targets; both know of each other's runs."""
    other = forwarder_test.GatewayFixture(fixture.gateway.log)
    other.gateway.node_name = "g2"
    for target in fixture.table.target_by_id.values():
        other.table.apply_report("h", copy.copy(target.report), clock.now())
    connect_reports(fixture.gateway, other.gateway)
    connect_reports(other.gateway, fixture.gateway)
    return other


def connect_reports(source, destination):
    """Passes the reports of a gateway's runs, and the status of its runs, to another one."""

    def report(run):
        known = destination.run_table.run_by_id.get(run.run_id)
        if known is not None and known.sequence >= run.sequence:
            return
        received = copy.copy(run)
        received.last_event_id = None
        destination.run_table.put(received)

    async def fetch_run_status(run):
        return source.run_status(run.run_id)

    source.report_run = report
    destination.fetch_run_status = fetch_run_status


async def fetch_no_status(_run):
    return placement.RunStatus(None)


class ReadingCaller:
    """A caller that reads a stream until it is told to break its connection."""

    def __init__(self):
        self.reader = self._writer = None

    async def start(self, address, request_id, **more):
        """Sends the request to a gateway and waits for the fifth event."""
        host, _, port = address.rpartition(":")
        self.reader, self._writer = await asyncio.open_connection(host, int(port))
        fields = {"Host": "svc.example", **platform_standins.stream_headers(request_id, **more)}
        self._writer.write(platform_standins.encode_request("POST", "/s/x", fields, BODY))
        await self.reader.readuntil(b"id: 4\n")
        return self

    async def leave(self, fixture, request_id):
        """Breaks the connection and waits until the gateway has ended the run."""
        self.abort()
        runs = fixture.gateway.run_table.run_by_id
        await platform_standins.wait_until(lambda: runs[request_id].ended)

    def abort(self):
        """Breaks the connection."""
        self._writer.transport.abort()


async def start_equal_streams(fixture, other):
    """Starts equal streams `r1` at the first gateway and `r2` at the other; returns the callers."""
    first = await ReadingCaller().start(fixture.address, "r1")
    return [first, await ReadingCaller().start(other.address, "r2")]


def sources(workers):
    """Returns the copy from which each request went on at some workers, by request id."""
    source_by_id = {}
    for worker in workers:
        for request_id, fields in worker.runs:
            source_by_id[request_id] = fields.get("kv-from", "").rpartition("/")[2]
    return source_by_id


def let_no_engine_hold_a_copy_of(monkeypatch, run_id):
    """Makes the copies of a run find no engine with room."""
    select_holder = copies.CopyManager._select_holder

    def select_holder_of_others(manager, target):
        return None if manager._run.run_id == run_id else select_holder(manager, target)

    monkeypatch.setattr(copies.CopyManager, "_select_holder", select_holder_of_others)


def run_with_two_gateways(tmp_path, scenario):
    async def with_two(fixture):
        for worker in await forwarder_test.add_engines(fixture, 4):
            worker.event_seconds = 0.1
        other = add_gateway(fixture)
        await other.server.start(other.address)
        try:
            await scenario(fixture, other)
        finally:
            await other.server.close()
            other.gateway.pool.close()

    return forwarder_test.run(with_two, tmp_path)


def test_a_stream_returns_to_its_own_run_beside_another_request_of_its_session(tmp_path):
    # Guards against a response that goes on from the memory of another request: both belong to one
    # session and have the same sum of prompt and longest response. The first gateway is lost before
    # it reports the end of its run.
    async def scenario(fixture, other):
        first, second = ReadingCaller(), ReadingCaller()
        await first.start(fixture.address, "r1")
        await second.start(other.address, "r2", **{"X-Token-Usage": "850,50"})
        fixture.gateway.report_run = lambda run: None
        await first.leave(fixture, "r1")
        answer = await forwarder_test.stream(other, "r3", **{"Last-Event-Id": "4"})
        assert answer.event_ids() == list(range(5, 12))
        assert sources(fixture.workers.values())["r3"] == "r1"
        second.abort()

    run_with_two_gateways(tmp_path, scenario)


def test_a_run_whose_caller_is_present_is_not_adopted(tmp_path):
    # Guards against two callers that read from one run. Their requests are equal, and the report of
    # the first one's run was lost with its gateway.
    async def scenario(fixture, other):
        present = await ReadingCaller().start(fixture.address, "r1")
        for gateway in (fixture, other):
            request_id = f"q-{gateway.gateway.node_name}"
            answer = await forwarder_test.stream(gateway, request_id, **{"Last-Event-Id": "3"})
            assert answer.event_ids() == list(range(4, 12))
            assert sources(fixture.workers.values())[request_id] == ""
        present.abort()

    run_with_two_gateways(tmp_path, scenario)


def test_of_two_equal_requests_the_abandoned_one_is_adopted(tmp_path):
    async def scenario(fixture, other):
        abandoned, present = ReadingCaller(), ReadingCaller()
        await abandoned.start(fixture.address, "r1")
        await present.start(other.address, "r2")
        await abandoned.leave(fixture, "r1")
        await forwarder_test.stream(other, "r3", **{"Last-Event-Id": "4"})
        assert sources(fixture.workers.values())["r3"] == "r1"
        present.abort()

    run_with_two_gateways(tmp_path, scenario)


def test_of_two_abandoned_runs_of_equal_requests_none_is_adopted(tmp_path):
    # Guards against a response of pieces of two runs: nothing tells which run a caller has read.
    async def scenario(fixture, other):
        callers = await start_equal_streams(fixture, other)
        await callers[0].leave(fixture, "r1")
        await callers[1].leave(other, "r2")
        answer = await forwarder_test.stream(other, "r3", **{"Last-Event-Id": "4"})
        assert answer.event_ids() == list(range(5, 12))
        assert sources(fixture.workers.values())["r3"] == ""

    run_with_two_gateways(tmp_path, scenario)


def test_a_run_without_a_copy_may_be_the_one_that_a_caller_has_read(tmp_path, monkeypatch):
    # Guards against a response of pieces of two runs: the caller's own run had no copy, and that of
    # an equal request has one.
    let_no_engine_hold_a_copy_of(monkeypatch, "r1")

    async def scenario(fixture, other):
        callers = await start_equal_streams(fixture, other)
        await callers[0].leave(fixture, "r1")
        await callers[1].leave(other, "r2")
        await forwarder_test.stream(other, "r3", **{"Last-Event-Id": "4"})
        assert sources(fixture.workers.values())["r3"] == ""

    run_with_two_gateways(tmp_path, scenario)


def test_a_run_whose_copy_has_expired_may_be_the_one_that_a_caller_has_read(tmp_path):
    # Guards against a response of pieces of two runs after a caller returned late.
    async def scenario(fixture, other):
        callers = await start_equal_streams(fixture, other)
        await callers[0].leave(fixture, "r1")
        await callers[1].leave(other, "r2")
        other.gateway.run_table.run_by_id["r1"].changed_at -= 20.0
        await forwarder_test.stream(other, "r3", **{"Last-Event-Id": "4"})
        assert sources(fixture.workers.values())["r3"] == ""

    run_with_two_gateways(tmp_path, scenario)


def test_the_run_of_a_silent_gateway_may_be_the_one_that_a_caller_has_read(tmp_path):
    # Guards against a response of pieces of two runs: the caller has left a gateway that is frozen
    # or cut off, and the run of an equal request is abandoned as well.
    async def scenario(fixture, other):
        callers = await start_equal_streams(fixture, other)
        await callers[1].leave(other, "r2")
        other.gateway.fetch_run_status = fetch_no_status
        await forwarder_test.stream(other, "r3", **{"Last-Event-Id": "4"})
        assert sources(fixture.workers.values())["r3"] == ""
        callers[0].abort()

    run_with_two_gateways(tmp_path, scenario)


def test_a_caller_that_returns_twice_goes_on_from_its_latest_run(tmp_path, monkeypatch):
    # Guards against prompts that are read again because the caller's first run, which could not be
    # continued, is taken for that of another caller.
    let_no_engine_hold_a_copy_of(monkeypatch, "r1")

    async def scenario(fixture, other):
        caller = await ReadingCaller().start(fixture.address, "r1")
        await caller.leave(fixture, "r1")
        later = {"Last-Event-Id": "2"}
        caller = await ReadingCaller().start(other.address, "r2", **later)
        await caller.leave(other, "r2")
        await forwarder_test.stream(other, "r3", **{"Last-Event-Id": "4"})
        assert sources(fixture.workers.values())["r2"] == ""
        assert sources(fixture.workers.values())["r3"] == "r2"

    run_with_two_gateways(tmp_path, scenario)


def test_a_run_that_has_sent_less_than_the_caller_has_is_not_adopted(tmp_path):
    async def scenario(fixture, other):
        caller = await ReadingCaller().start(fixture.address, "r1")
        await caller.leave(fixture, "r1")
        await forwarder_test.stream(other, "r2", **{"Last-Event-Id": "9"})
        assert sources(fixture.workers.values())["r2"] == ""
        await forwarder_test.stream(other, "r3", **{"Last-Event-Id": "4"})

    run_with_two_gateways(tmp_path, scenario)


def test_a_run_is_adopted_once(tmp_path):
    # Guards against two returning callers that go on from the same copy.
    async def scenario(fixture, other):
        caller = await ReadingCaller().start(fixture.address, "r1")
        await caller.leave(fixture, "r1")
        later = {"Last-Event-Id": "4"}
        tasks = []
        for number in range(3):
            tasks.append(asyncio.ensure_future(forwarder_test.stream(other, f"q{number}", **later)))
        await asyncio.gather(*tasks)
        found = [sources(fixture.workers.values())[f"q{number}"] for number in range(3)]
        assert sorted(found) == ["", "", "r1"]

    run_with_two_gateways(tmp_path, scenario)


def test_the_run_of_a_silent_gateway_is_not_adopted(tmp_path):
    # Guards against the adoption of a run whose gateway is cut off from this one, but not from the
    # caller.
    async def scenario(fixture, other):
        caller = await ReadingCaller().start(fixture.address, "r1")
        other.gateway.fetch_run_status = fetch_no_status
        await forwarder_test.stream(other, "r2", **{"Last-Event-Id": "3"})
        assert sources(fixture.workers.values())["r2"] == ""
        caller.abort()

    run_with_two_gateways(tmp_path, scenario)


def test_the_run_of_a_gateway_that_the_hubs_have_lost_is_adopted(tmp_path):
    async def scenario(fixture, other):
        caller = await ReadingCaller().start(fixture.address, "r1")
        other.gateway.fetch_run_status = fetch_no_status
        fixture.gateway.report_run = lambda run: None
        caller.abort()
        other.gateway.run_table.interrupt_runs_of("g1", clock.now())
        await forwarder_test.stream(other, "r2", **{"Last-Event-Id": "4"})
        assert sources(fixture.workers.values())["r2"] == "r1"

    run_with_two_gateways(tmp_path, scenario)


def restart_engine(gateways, target_id):
    """Makes the gateways learn that an engine has started again under its id."""
    for gateway in gateways:
        report = copy.copy(gateway.table.find(target_id).report)
        report.born_ms += 1
        gateway.table.apply_report("h", report, clock.now())


async def wait_for_requested_copy(fixture, run_id):
    """Has a gateway request a new copy of a run, and returns the run once it is made."""
    run = fixture.gateway.run_table.run_by_id[run_id]
    before = run.copy_target_id
    fixture.table.record_loss(fixture.table.find(before), clock.now())
    await platform_standins.wait_until(lambda: run.copy_target_id not in ("", before))
    assert f"/h{run_id}" in run.copy_reference
    return run


def test_a_copy_whose_holder_has_restarted_is_not_used(tmp_path):
    async def scenario(fixture, other):
        caller = await ReadingCaller().start(fixture.address, "r1")
        await caller.leave(fixture, "r1")
        holder = other.gateway.run_table.run_by_id["r1"].copy_target_id
        restart_engine((fixture, other), holder)
        await forwarder_test.stream(other, "r2", **{"Last-Event-Id": "4"})
        assert sources(fixture.workers.values())["r2"] == ""

    run_with_two_gateways(tmp_path, scenario)


def test_a_requested_copy_is_not_used_after_a_restart_of_the_engine_that_made_it(tmp_path):
    # Guards against the memory of another run: a restarted engine counts its handles anew, and may
    # give the same one to the copy of another run at the same holder.
    async def scenario(fixture, other):
        caller = await ReadingCaller().start(fixture.address, "r1")
        run = await wait_for_requested_copy(fixture, "r1")
        await caller.leave(fixture, "r1")
        restart_engine((fixture, other), run.target_id)
        await forwarder_test.stream(other, "r2", **{"Last-Event-Id": "4"})
        assert sources(fixture.workers.values())["r2"] == ""

    run_with_two_gateways(tmp_path, scenario)


def replace_engine(gateways, target_id):
    """Makes the gateways learn that an engine has left and that another one has its address."""
    for gateway in gateways:
        report = copy.copy(gateway.table.find(target_id).report)
        report.state = target_table.GONE
        gateway.table.apply_report("h", report, clock.now())
        report = copy.copy(report)
        report.target_id, report.state = f"{target_id}-next", target_table.READY
        gateway.table.apply_report("h", report, clock.now())


def test_a_requested_copy_is_not_used_after_another_engine_took_the_makers_address(tmp_path):
    # Guards against the memory of another run: engines refer to a requested copy by the address of
    # the engine that made it, where the next engine counts its handles anew.
    async def scenario(fixture, other):
        caller = await ReadingCaller().start(fixture.address, "r1")
        run = await wait_for_requested_copy(fixture, "r1")
        await caller.leave(fixture, "r1")
        replace_engine((fixture, other), run.target_id)
        await forwarder_test.stream(other, "r2", **{"Last-Event-Id": "4"})
        assert sources(fixture.workers.values())["r2"] == ""

    run_with_two_gateways(tmp_path, scenario)


def test_a_requested_copy_is_used_after_its_maker_has_left(tmp_path):
    async def scenario(fixture, other):
        caller = await ReadingCaller().start(fixture.address, "r1")
        run = await wait_for_requested_copy(fixture, "r1")
        await caller.leave(fixture, "r1")
        other.table.remove(run.target_id, clock.now())
        await forwarder_test.stream(other, "r2", **{"Last-Event-Id": "4"})
        assert sources(fixture.workers.values())["r2"] == "hr1"

    run_with_two_gateways(tmp_path, scenario)


def test_the_copy_of_an_engine_that_crashed_and_restarted_is_used(tmp_path):
    # Guards against reading prompts again after the crash for which the copies are made: the holder
    # identifies a copy that an engine sends by itself by the request id.
    async def scenario(fixture, other):
        caller = await ReadingCaller().start(fixture.address, "r1")
        await caller.leave(fixture, "r1")
        restart_engine((fixture, other), other.gateway.run_table.run_by_id["r1"].target_id)
        await forwarder_test.stream(other, "r2", **{"Last-Event-Id": "4"})
        assert sources(fixture.workers.values())["r2"] == "r1"

    run_with_two_gateways(tmp_path, scenario)
