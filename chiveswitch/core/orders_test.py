"""Tests of the order planner: fences, leadership, the load budget and short absences of engines."""

import orjson

from chiveswitch.core import bundles, bundles_test, orders

LOAD = (("m", "a", "v1"),)


class Bench:
    """A planner that leads from time 0, with a bundle of one model."""

    def __init__(self, per_second=100.0):
        self.planner = orders.Planner(orders.LoadBudget(per_second, 100.0, 0.0))
        bundle = bundles.parse(orjson.dumps(bundles_test.example())).ok
        self.planner.handle(orders.BundleInForce(bundle), 0.0)
        self.planner.handle(orders.LeadershipGained(4.0), 0.0)

    def report(self, now, engine="e1", loaded=(), honours=True, loading=(), running=()):
        event = orders.EngineReport(engine, loaded, "mixed", True, honours, loading, running, 0.0)
        self.planner.handle(event, now)

    def tick(self, now):
        return self.planner.handle(orders.Tick(), now)


def test_order_is_sent_with_its_fence_and_an_older_fence_is_never_used():
    # Guards against a late answer of the log that replaces the fence with an older one, with which
    # the engine would refuse the order.
    bench = Bench()
    bench.report(11.0)
    assert bench.tick(11.0) == [orders.RequestFence("e1")]
    assert bench.tick(11.1) == []
    assert bench.tick(12.0) == [orders.RequestFence("e1")]
    bench.planner.handle(orders.FenceGranted("e1", (2, 7)), 12.2)
    bench.planner.handle(orders.FenceGranted("e1", (1, 9)), 12.2)
    assert bench.tick(12.3) == [orders.SendOrder("e1", (2, 7), LOAD, "mixed", None)]
    bench.report(12.5, loaded=LOAD)
    assert bench.tick(12.6) == []


def test_engine_that_ignores_fences_needs_confirmed_leadership_and_is_repaired():
    # Guards against two leaders that order such an engine at the same time, and against an order
    # without effect that is not repeated.
    bench = Bench()
    bench.planner.handle(orders.LeadershipGained(12.0), 0.0)
    bench.report(11.0, honours=False)
    bench.tick(11.0)
    bench.planner.handle(orders.FenceGranted("e1", (2, 7)), 11.2)
    assert bench.tick(11.9) == []
    assert bench.tick(12.1) == [orders.ConfirmLeadership()]
    bench.planner.handle(orders.LeadershipConfirmed(13.0), 12.2)
    assert bench.tick(12.3) == [orders.SendOrder("e1", (2, 7), LOAD, "mixed", 13.0)]
    answered = orders.OrderAnswered("e1", (2, 7), True)
    assert bench.planner.handle(answered, 12.4) == [orders.ReadBack("e1")]
    assert bench.tick(17.4) == [orders.ReadBack("e1")]
    bench.report(17.5, honours=False)
    assert bench.tick(17.6) == [orders.RequestFence("e1")]


def test_engine_back_within_ten_seconds_causes_no_load():
    # Guards against a load on the spare engine e3 when e1 is absent for less than the grace time.
    bench = Bench()
    bench.report(11.0, "e1", LOAD)
    bench.report(11.0, "e2", LOAD)
    for now in range(11, 19):
        bench.report(now, "e2", LOAD)
        bench.report(now, "e3")
        assert bench.tick(now) == []
    bench.report(19.0, "e1", LOAD)
    bench.report(22.0, "e2", LOAD)
    bench.report(22.0, "e3")
    assert bench.tick(22.0) == []
    # The absence ends when the engine is back, but its report may take up to 2 s more to arrive.
    for now in (30.9, 31.0):
        bench.report(now, "e2", LOAD)
        bench.report(now, "e3")
        assert bench.tick(now) == ([] if now < 31.0 else [orders.RequestFence("e3")])


def test_model_without_a_ready_engine_goes_first_within_the_budget():
    # Guards against spending the budget on a second engine of a model while another one has none.
    bench = Bench(per_second=0.1)
    content = bundles_test.example()
    content["models"].append({"name": "z", "versions": ["v1"], "engines": 1})
    service = {**content["services"][0], "name": "z", "model": "z", "adapter": ""}
    content["services"].append(service)
    bundle = bundles.parse(orjson.dumps(content)).ok
    bench.planner.handle(orders.BundleInForce(bundle), 0.0)
    for engine, loaded in (("e0", (("m", "", "v0"),)), ("e1", LOAD), ("e2", ())):
        bench.report(11.0, engine, loaded)
    [fence] = bench.tick(11.0)
    assert bench.planner.engine_by_id[fence.engine].order.wanted_models == (("z", "", "v1"),)


def test_new_leader_waits_and_a_lost_leader_orders_nothing():
    # Guards against orders by a leader that has not seen all engines yet or is no longer leader.
    bench = Bench()
    bench.report(9.0)
    assert bench.tick(9.0) == []
    bench.report(10.5)
    bench.planner.handle(orders.LeadershipLost(), 10.6)
    assert bench.tick(10.7) == []


def test_order_is_dropped_when_its_engine_lost_models_before_it_was_sent():
    # Guards against an order that loads more than was reserved in the budget, because the engine
    # lost a model after the order was planned.
    bench = Bench()
    bench.report(11.0, loaded=(("m", "", "v0"),), running=(("m", "", "v0"),))
    assert bench.tick(11.0) == [orders.RequestFence("e1")]
    bench.report(11.2)
    bench.planner.handle(orders.FenceGranted("e1", (2, 7)), 11.3)
    assert bench.planner.budget.reserved == 1
    assert bench.tick(11.4) == [orders.RequestFence("e1")]
    assert bench.planner.engine_by_id["e1"].order.wanted_models == LOAD
    assert bench.planner.budget.reserved == 1


def test_former_version_stays_while_generations_run_on_it():
    # Guards against unloading the version to which running generations are pinned: they could not
    # be resumed on any other engine.
    bench = Bench()
    former = ("m", "a", "v0")
    for now, running in ((21.0, (former,)), (22.0, ())):
        bench.report(now, "e1", (former, *LOAD))
        bench.report(now, "e2", LOAD, running=running)
        assert bench.tick(now) == ([] if running else [orders.RequestFence("e1")])
    assert bench.planner.engine_by_id["e1"].order.wanted_models == LOAD


def test_engine_that_leaves_gets_no_order_even_if_the_news_has_an_older_age():
    # Guards against loads on an engine that is about to stop. Its notice has an age of 0.3 s and so
    # seems older than the report that arrived 0.1 s before.
    bench = Bench()
    bench.report(11.0)
    leaving = orders.EngineReport("e1", (), "mixed", False, True, None, (), 0.3)
    bench.planner.handle(leaving, 11.1)
    assert bench.tick(11.2) == []


def test_leader_that_leads_again_starts_with_an_empty_budget():
    # Guards against exceeding the load rate with tokens that another leader spent meanwhile.
    bench = Bench(per_second=0.05)
    bench.report(60.0)
    assert bench.tick(60.0) == [orders.RequestFence("e1")]
    assert bench.planner.budget.tokens == 2.0
    bench.planner.handle(orders.LeadershipLost(), 100.0)
    bench.planner.handle(orders.LeadershipGained(104.0), 100.0)
    bench.report(110.5)
    assert bench.tick(110.5) == []
    bench.report(121.0)
    assert bench.tick(121.0) == [orders.RequestFence("e1")]


def test_report_that_is_older_than_the_last_read_back_is_not_used():
    # Guards against a second load after an announcement from before the load that arrived late.
    bench = Bench()
    bench.report(11.0, loaded=LOAD)
    late = orders.EngineReport("e1", (), "mixed", True, True, None, (), 1.5)
    bench.planner.handle(late, 11.1)
    assert bench.tick(11.1) == []
