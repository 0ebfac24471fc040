"""Tests of the controller with a stand-in of control, and of the order's way over HTTP."""

import asyncio

import expression
import hypothesis
import orjson
from hypothesis import strategies as st

from chiveswitch.core import bundles, bundles_test, control_state, directory, orders
from chiveswitch.engine_orders import controller, orders_client, weight_store
from chiveswitch.targets import standin_engine
from chiveswitch.tools import processes, serving

fuzz = hypothesis.settings(derandomize=True, max_examples=150, deadline=None, database=None)
LOAD = (("m", "a", "v1"),)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=4),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=6,
)


class Control:
    """Control that always commits; the test sets who leads."""

    def __init__(self):
        self.is_leader = True
        self.leader_since = 0.0
        self.index = 0
        self.confirms = True
        self.in_force = bundles.parse(orjson.dumps(bundles_test.example())).ok

    def bundle(self):
        return self.in_force

    async def propose(self, struct):
        self.index += 1
        answer = control_state.answer("fence", number=self.index, term=3, owner=struct.target)
        return expression.Ok(answer)

    async def confirm_leadership(self):
        return self.confirms


class Bench:
    def __init__(self, honours=True, send=None):
        self.now = 0.0
        self.control = Control()
        self.sent = []
        self.honours = honours
        self.controller = controller.Controller(
            self.control,
            self.entries,
            orders.LoadBudget(10.0, 10.0, 0.0),
            now=lambda: self.now,
            send=send or self.send,
            read_back=self.read_back,
        )

    def entries(self):
        description = directory.Description(
            "e1", "engine", "a", "127.0.0.1:1", 1, role="mixed", honours_fencing=self.honours
        )
        return [directory.Entry(description, 1, "ready", 0, 0, self.now - 0.1)]

    async def send(self, address, order, may_send):
        if not may_send():
            return orders_client.Result.NOT_SENT
        self.sent.append((self.now, order))
        return orders_client.Result.ACCEPTED

    async def read_back(self, address, engine, now):
        return orders.EngineReport(engine, (), "mixed", True, self.honours, (), (), 0.01)

    async def run(self, until):
        while self.now < until:
            self.now = round(self.now + 0.2, 3)
            self.controller.step()
            for _ in range(8):
                await asyncio.sleep(0)


def test_order_reaches_an_engine_after_the_lease_and_with_a_fence():
    bench = Bench(honours=False)
    asyncio.run(bench.run(14.0))
    [(at, order)] = bench.sent
    assert at >= controller.LEASE_SECONDS
    assert order.wanted_models == LOAD and order.fence[0] == 3 and at < order.send_before


def test_leader_that_cannot_confirm_orders_no_engine_that_ignores_fencing():
    # Guards against orders by a control VM that is cut off and believes that it leads.
    bench = Bench(honours=False)
    bench.control.confirms = False
    asyncio.run(bench.run(20.0))
    assert bench.sent == []


def test_nothing_is_sent_once_the_leadership_is_lost():
    # Guards against an order whose connection was being opened when the leadership ended.
    allowed = []

    async def slow_send(_address, _order, may_send):
        allowed.append(may_send())
        bench.control.is_leader = False
        allowed.append(may_send())
        bench.control.is_leader, bench.control.leader_since = True, bench.now
        allowed.append(may_send())
        return orders_client.Result.NOT_SENT

    bench = Bench(send=slow_send)
    asyncio.run(bench.run(12.0))
    assert allowed == [True, False, False]


def test_order_to_an_ignoring_engine_is_not_sent_after_its_lease():
    # Guards against a leader that pauses between its decision and the first byte.
    allowed = []

    async def paused_send(_address, order, may_send):
        bench.now = order.send_before
        allowed.append(may_send())
        return orders_client.Result.NOT_SENT

    bench = Bench(honours=False, send=paused_send)
    asyncio.run(bench.run(13.0))
    assert allowed and not any(allowed)


async def over_http():
    port, store_port, dead_port = processes.free_ports(3)
    limit = weight_store.RateLimit(1000.0, 1.0)
    store = await serving.start(weight_store.build_app(limit), "127.0.0.1", store_port)
    client_limit = weight_store.RateLimit(1000.0, 5.0)
    client = weight_store.Client(f"127.0.0.1:{store_port}", client_limit)
    settings = standin_engine.EngineSettings(load_seconds=0.01)
    engine = standin_engine.Engine(settings, [], fetch=client.fetch)
    following = asyncio.ensure_future(engine.follow_orders())
    server = await serving.start(standin_engine.build_app(engine), "127.0.0.1", port)
    address = f"127.0.0.1:{port}"
    results = []
    try:
        for fence, target, may_send in (
            ((2, 5), address, True),
            ((2, 5), address, True),
            ((1, 9), address, True),
            ((9, 9), address, False),
            ((9, 9), f"127.0.0.1:{dead_port}", True),
        ):
            order = orders.SendOrder("e1", fence, LOAD, "prefill", None)
            results.append(await orders_client.send(target, order, lambda each=may_send: each))
        for _ in range(500):
            if not engine.loading:
                break
            await asyncio.sleep(0.01)
        report = await orders_client.read_back(address, "e1")
    finally:
        following.cancel()
        await serving.stop(server)
        await serving.stop(store)
    return results, report, engine


def test_order_over_http_loads_once_and_an_old_fence_is_refused():
    results, report, engine = asyncio.run(over_http())
    kinds = orders_client.Result
    accepted, not_sent = kinds.ACCEPTED, kinds.NOT_SENT
    assert results == [accepted, accepted, kinds.FENCED, not_sent, not_sent]
    assert (report.loaded, report.loading, report.role) == (LOAD, (), "prefill")
    assert engine.loads == 1 and engine.fence == (2, 5)


def test_unload_waits_for_the_generation_that_runs():
    # Guards against an order that cuts off a generation.
    engine = standin_engine.Engine(standin_engine.EngineSettings(), LOAD, now=lambda: 0.0)
    request = {"attempt_id": "a1", "prompt": "", "seed": 1, "max_tokens": 3}
    model = dict(zip(("model", "adapter", "version"), LOAD[0], strict=True))
    attempt = engine.submit({**request, **model})
    assert engine.order(standin_engine.Order((1, 1), (), "mixed"))
    assert (engine.models, engine.unloading) == ([], list(LOAD))
    for step in range(5):
        engine.step(float(step))
    assert attempt.ended and engine.unloading == []


@fuzz
@hypothesis.given(
    st.binary(max_size=60)
    | JSON.map(lambda value: repr(value).encode())
    | st.fixed_dictionaries({"fence": JSON, "load": JSON, "role": JSON}).map(
        lambda value: (
            orjson.dumps(value, default=str, option=orjson.OPT_NON_STR_KEYS)
            if all_small(value)
            else b""
        )
    )
)
def test_orders_endpoint_takes_no_malformed_order(data):
    # Guards against an engine that fails on, or executes, an order that it cannot have been sent.
    order = standin_engine.parse_order(data)
    if order is not None:
        assert all(type(part) is int and part >= 0 for part in order.fence)
        assert order.role in ("mixed", "prefill")


def all_small(value) -> bool:
    """Returns whether orjson can write the value: it takes integers of 64 bits only."""
    if isinstance(value, dict):
        return all(all_small(each) for each in value.values())
    if isinstance(value, list):
        return all(all_small(each) for each in value)
    return not isinstance(value, int) or abs(value) < 1 << 63


STATUS = {
    "models": [list(LOAD[0])],
    "loading": [],
    "running": [],
    "role": "mixed",
    "honours_fencing": True,
}


@fuzz
@hypothesis.given(st.sampled_from(sorted(STATUS)), JSON.filter(all_small))
def test_answers_are_decoded_strictly(name, value):
    # Guards against a report, or a result of an order, that an engine never stated.
    assert orders_client.decode_status(orjson.dumps(STATUS), "e1", 0.1).loaded == LOAD
    report = orders_client.decode_status(orjson.dumps({**STATUS, name: value}), "e1", 0.1)
    if report is not None:
        assert value in ([], "mixed", "prefill", True, False)
    unknown, fenced = orders_client.Result.UNKNOWN, orders_client.Result.FENCED
    is_pair = isinstance(value, list) and [type(part) for part in value] == [int, int]
    for status in (200, 409, 500):
        body = orjson.dumps({"accepted": value, "fence": value})
        # A refusal that states a higher fence, such as [3, 0], is a valid answer.
        expected = fenced if status == 409 and is_pair and value > [2, 5] else unknown
        assert orders_client.decode_result(status, body, (2, 5)) is expected
        assert orders_client.decode_result(status, body[:-1], (2, 5)) is unknown
    older = orjson.dumps({"fence": [1, 1]})
    assert orders_client.decode_result(409, older, (2, 5)) is unknown
