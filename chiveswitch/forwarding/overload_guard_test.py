"""Tests of calls to services whose targets are full."""

import asyncio

from chiveswitch.core import clock, quota
from chiveswitch.forwarding import forwarder_test
from chiveswitch.platform import headers

CALLS = 40


class LoadedDialect(headers.Dialect):
    """The platform's dialect, whose responses all name the same load."""

    load = (6, 24)

    def decode_response(self, response):
        info = super().decode_response(response)
        info.load = self.load
        return info


async def call_many(fixture):
    tasks = [forwarder_test.call(fixture, f"r{number}") for number in range(CALLS)]
    return await asyncio.gather(*tasks)


def test_calls_to_a_full_service_are_refused_without_knocking(tmp_path):
    # Load: a crowd of calls to two targets that reject all of them.
    async def scenario(fixture):
        workers = [await fixture.add(f"w{number}", "plain", "a") for number in range(2)]
        for worker in workers:
            worker.behaviour = "shed"
        await forwarder_test.call(fixture, "first")
        fixture.gateway.overload._own_issuer.set_share(0.1)
        before = sum(len(worker.rejected_request_ids) for worker in workers)
        answers = await call_many(fixture)
        assert sum(len(worker.rejected_request_ids) for worker in workers) - before < CALLS / 2
        codes = [answer.value_by_header["x-chiveswitch-code"] for answer in answers]
        assert codes.count("3014") > CALLS / 2
        # The callers' deadline is 3 s.
        delays = [float(answer.value_by_header["retry-after"]) for answer in answers]
        assert max(delays) <= 1.0
        assert max(delays) - min(delays) > 0.1

    text = forwarder_test.run(scenario, tmp_path)
    assert "overload_learned" in text and "outcome=denied" in text


def test_one_target_that_rejects_calls_is_no_overload(tmp_path):
    # Load: one target rejects every call while another one has room.
    async def scenario(fixture):
        full = await fixture.add("w0", "plain", "a")
        full.behaviour = "shed"
        await fixture.add("w1", "plain", "a")
        answers = await call_many(fixture)
        assert {answer.status for answer in answers} == {200}
        assert fixture.gateway.overload.table.count_pressed() == 0

    text = forwarder_test.run(scenario, tmp_path)
    assert "overload" not in text


def test_the_issuer_gets_the_loads_and_recognizes_a_call_that_returns(tmp_path):
    # Load: a full target whose responses say how many requests wait there.
    asked = []

    async def issue(_service, requests, loads):
        asked.append((requests, loads))
        return [quota.QuotaGrant("", 0.0, 0.3) for _ in requests]

    async def scenario(fixture):
        fixture.gateway.dialect = LoadedDialect()
        fixture.gateway.overload.connect(issue)
        await fixture.add("w0", "plain", "a")
        await forwarder_test.call(fixture, "r0")
        for request_id, body in (("r1", b"one"), ("r2", b"one"), ("r3", b"two")):
            answer = await forwarder_test.call(fixture, request_id, body=body)
            assert answer.status == 503
        assert fixture.executed_request_ids() == ["r0"]
        keys = [requests[0].key for requests, _ in asked]
        assert keys[0] == keys[1] != keys[2]
        load = asked[0][1][0]
        assert (load.target_id, load.running, load.waiting) == ("w0", 6, 24)

    forwarder_test.run(scenario, tmp_path)


def test_calls_of_all_routes_wait_equally_long(tmp_path):
    # Load: calls with a long objective, which would fill the issuer's queue beyond the wait that
    # those with a short one permit.
    asked = []

    async def issue(_service, requests, _loads):
        asked.extend(requests)
        return [quota.QuotaGrant("", 0.0, 0.3) for _ in requests]

    async def scenario(fixture):
        for route in fixture.gateway.bundle.routes:
            if route.path_prefix == "/r/":
                route.objective_s = 0.1
        fixture.gateway.overload.connect(issue)
        (await fixture.add("w0", "plain", "a")).behaviour = "shed"
        await forwarder_test.call(fixture, "r0", "/w/x")
        await forwarder_test.call(fixture, "r1", "/w/x")
        assert 0.0 < asked[-1].max_wait_s <= 0.05

    forwarder_test.run(scenario, tmp_path)


def test_no_grant_is_asked_for_a_target_that_was_lost(tmp_path):
    # Load: one of two full targets is lost; its unused grants would be the first ones.
    asked = []

    async def issue(_service, requests, _loads):
        asked.extend(requests)
        return [quota.QuotaGrant("", 0.0, 0.3) for _ in requests]

    async def scenario(fixture):
        fixture.gateway.overload.connect(issue)
        for number in range(2):
            (await fixture.add(f"w{number}", "plain", "a")).behaviour = "shed"
        fixture.table.record_loss(fixture.table.find("w0"), clock.now())
        await forwarder_test.call(fixture, "r0")
        assert [list(request.rate_by_target) for request in asked] == [["w1"]]

    forwarder_test.run(scenario, tmp_path)
