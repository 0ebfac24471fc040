"""Tests of the controller with a stand-in for control, and of orders over HTTP."""

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
    """Stand-in for control that commits every proposal; the test sets the leadership."""

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


class ControllerFixture:
    """A controller with one engine, recorded orders and a clock that the test advances."""

    def __init__(self, engine_honours_fencing=True, send=None):
        self.now = 0.0
        self.control = Control()
        self.sent = []
        self.engine_honours_fencing = engine_honours_fencing
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
            "e1",
            "engine",
            "a",
            "127.0.0.1:1",
            1,
            role="mixed",
            honours_fencing=self.engine_honours_fencing,
        )
        return [directory.Entry(description, 1, "ready", 0, 0, self.now - 0.1)]

    async def send(self, address, order, may_send):
        if not may_send():
            return orders_client.OrderResult.NOT_SENT
        self.sent.append((self.now, order))
        return orders_client.OrderResult.ACCEPTED

    async def read_back(self, address, engine, now):
        return orders.EngineReport(
            engine, (), "mixed", True, self.engine_honours_fencing, (), (), 0.01
        )

    async def run(self, until):
        while self.now < until:
            self.now = round(self.now + 0.2, 3)
            self.controller.step()
            for _ in range(8):
                await asyncio.sleep(0)


def test_order_reaches_an_engine_after_the_lease_and_with_a_fence():
    fixture = ControllerFixture(engine_honours_fencing=False)
    asyncio.run(fixture.run(14.0))
    [(at, order)] = fixture.sent
    assert at >= controller.LEASE_SECONDS
    assert order.wanted_models == LOAD and order.fence[0] == 3 and at < order.send_before


def test_leader_that_cannot_confirm_orders_no_engine_that_ignores_fencing():
    # Guards against orders by a control VM that is partitioned and still considers itself leader.
    fixture = ControllerFixture(engine_honours_fencing=False)
    fixture.control.confirms = False
    asyncio.run(fixture.run(20.0))
    assert fixture.sent == []


def test_nothing_is_sent_once_the_leadership_is_lost():
    # Guards against an order that is sent although the leadership ended while its connection was
    # being opened.
    allowed = []

    async def slow_send(_address, _order, may_send):
        allowed.append(may_send())
        fixture.control.is_leader = False
        allowed.append(may_send())
        fixture.control.is_leader, fixture.control.leader_since = True, fixture.now
        allowed.append(may_send())
        return orders_client.OrderResult.NOT_SENT

    fixture = ControllerFixture(send=slow_send)
    asyncio.run(fixture.run(12.0))
    assert allowed == [True, False, False]


def test_order_to_an_engine_that_ignores_fencing_is_not_sent_after_the_lease():
    # Guards against an order that a leader sends late because its process paused between the
    # decision and the first byte.
    allowed = []

    async def paused_send(_address, order, may_send):
        fixture.now = order.send_before
        allowed.append(may_send())
        return orders_client.OrderResult.NOT_SENT

    fixture = ControllerFixture(engine_honours_fencing=False, send=paused_send)
    asyncio.run(fixture.run(13.0))
    assert allowed and not any(allowed)


async def send_orders_over_http():
    port, store_port, dead_port = processes.free_ports(3)
    server_bucket = weight_store.TokenBucket(1000.0, 1.0)
    store = await serving.start(weight_store.build_app(server_bucket), "127.0.0.1", store_port)
    client_bucket = weight_store.TokenBucket(1000.0, 5.0)
    client = weight_store.Client(f"127.0.0.1:{store_port}", client_bucket)
    settings = standin_engine.EngineSettings(load_seconds=0.01)
    engine = standin_engine.Engine(settings, [], fetch=client.fetch)
    loading_task = asyncio.ensure_future(engine.follow_orders())
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
            results.append(
                await orders_client.send_order(target, order, lambda each=may_send: each)
            )
        for _ in range(500):
            if not engine.loading:
                break
            await asyncio.sleep(0.01)
        report = await orders_client.read_back(address, "e1")
    finally:
        loading_task.cancel()
        await client.close()
        await serving.stop(server)
        await serving.stop(store)
    return results, report, engine


def test_order_over_http_loads_once_and_an_old_fence_is_refused():
    results, report, engine = asyncio.run(send_orders_over_http())
    kinds = orders_client.OrderResult
    accepted, not_sent = kinds.ACCEPTED, kinds.NOT_SENT
    assert results == [accepted, accepted, kinds.FENCED, not_sent, not_sent]
    assert (report.loaded, report.loading, report.role) == (LOAD, (), "prefill")
    assert engine.loads == 1 and engine.fence == (2, 5)


def test_unload_waits_for_the_generation_that_runs():
    # Guards against an order that interrupts a running generation.
    engine = standin_engine.Engine(standin_engine.EngineSettings(), LOAD, now=lambda: 0.0)
    request = {"attempt_id": "a1", "prompt": "", "seed": 1, "max_tokens": 3}
    model = dict(zip(("model", "adapter", "version"), LOAD[0], strict=True))
    attempt = engine.submit({**request, **model})
    assert engine.accept_order(standin_engine.Order((1, 1), (), "mixed"))
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
def test_orders_endpoint_rejects_malformed_orders(data):
    # Guards against an engine that fails on a malformed order or executes it.
    order = standin_engine.parse_order(data)
    if order is not None:
        assert all(type(part) is int and part >= 0 for part in order.fence)
        assert order.role in ("mixed", "prefill")


def all_small(value) -> bool:
    """Returns whether all integers in the value are in the 64-bit range that orjson supports."""
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
    # Guards against malformed answers that are decoded as a report or as the result of an order.
    assert orders_client.decode_status(orjson.dumps(STATUS), "e1", 0.1).loaded == LOAD
    report = orders_client.decode_status(orjson.dumps({**STATUS, name: value}), "e1", 0.1)
    if report is not None:
        assert value in ([], "mixed", "prefill", True, False)
    unknown, fenced = orders_client.OrderResult.UNKNOWN, orders_client.OrderResult.FENCED
    is_pair = isinstance(value, list) and [type(part) for part in value] == [int, int]
    for status in (200, 409, 500):
        body = orjson.dumps({"accepted": value, "fence": value})
        # A refusal that states a higher fence, such as [3, 0], is a valid answer.
        expected = fenced if status == 409 and is_pair and value > [2, 5] else unknown
        assert orders_client.decode_result(status, body, (2, 5)) is expected
        assert orders_client.decode_result(status, body[:-1], (2, 5)) is unknown
    older = orjson.dumps({"fence": [1, 1]})
    assert orders_client.decode_result(409, older, (2, 5)) is unknown
