"""Scenarios of the guarantees over the decision code, judged by the oracle in virtual time."""

import pytest
import pytest_bdd
from pytest_bdd import given, parsers, then, when

from chiveswitch.core import gateway_messages as outward
from features import fakes, faults, oracle

pytest_bdd.scenarios("guarantees.feature")


@pytest.fixture
def state():
    """What a scenario's steps hand to each other."""
    return {}


def wait_for_tokens(world, caller, count=6):
    world.run(10.0, until=lambda: len(caller.tokens) >= count)
    assert len(caller.tokens) >= count


def finish(world, seconds=30.0):
    world.run(seconds, until=lambda: all(caller.finished for caller in world.callers))
    world.run(1.0)


def ask(world, service="report", tokens=24, prompt=""):
    number = len(world.callers)
    caller = fakes.Caller(world, service, prompt or f"prompt {number}", tokens)
    caller.connect()
    return caller


@given("four gateways in four zones, three engines and two services", target_fixture="world")
def make_world():
    return fakes.World(11)


@given(parsers.parse("a caller reads a {service}"), target_fixture="caller")
def caller_reads(world, service):
    long = service.startswith("long ")
    return ask(world, service.removeprefix("long "), 200 if long else 24)


@given("no engine continues a prefix any more")
def refuse_prefixes(world):
    for engine in world.engines:
        engine.wrong_prefix = True


@given(parsers.parse("{count:d} callers read reports"))
def callers_read(world, count):
    for _ in range(count):
        ask(world)


@given("control cannot be reached for 6 s")
def cut_control(world):
    world.control.cut(seconds=6.0)
    world.run(4.5)


@given("a caller sends a dispatch", target_fixture="caller")
def send_dispatch(world):
    return ask(world, "dispatch")


@given("an engine begins to leave and only one gateway hears of it")
def leave_quietly(world):
    engine = world.engines[0]
    world.blocked |= {(engine.name, each.name) for each in world.gateways[1:]}
    engine.leave()


@given("a gateway is cut off from control and the other gateways")
def cut_gateway(world):
    world.gateways[0].cut(seconds=12.0)


@when("its gateway dies after 6 tokens")
def kill_gateway(world, caller):
    wait_for_tokens(world, caller)
    caller.gateway.kill()
    finish(world)


@when("its engine dies after 6 tokens")
def kill_engine(world, caller):
    wait_for_tokens(world, caller)
    faults.busy_target(world).kill()
    finish(world)


@when("its gateway is cut off from the other gateways after 6 tokens")
def cut_owner(world, caller):
    wait_for_tokens(world, caller)
    caller.gateway.cut(one_way=True)
    finish(world)


@when("messages of all gateways cross, repeat and come late for 1 s")
def disturb(world):
    for each in world.gateways:
        for kind in ("late", "crossed", "repeated"):
            each.disturb(kind)
    finish(world)


@when("a caller asks for a report", target_fixture="caller")
def ask_for_report(world):
    caller = ask(world)
    world.run(0.2)
    return caller


@when("its gateway pauses before the first byte until the permit has expired")
def pause_before_write(world, caller):
    def strike(name, host):
        if name == "call:UnrepeatableCall.writing" and host.state == "up":
            world.on_step = None
            host.pause(11.0)

    world.on_step = strike
    finish(world)


@when("callers ask for reports every 0.2 s during 6 s")
def ask_often(world):
    for _ in range(30):
        ask(world, tokens=4)
        world.run(0.2)
    finish(world)


@when("its gateway is told to shut down after 6 tokens")
def drain(world, caller, state):
    wait_for_tokens(world, caller)
    state["drained"] = caller.gateway
    caller.gateway.give(outward.Drain())
    finish(world)


@when("two operators race to roll a new bundle")
def race(world):
    world.control.race()
    world.run(14.0)


@when("one holder dies and, once it is replaced, the owner dies")
def lose_two_in_a_row(world, caller):
    wait_for_tokens(world, caller)
    owner = faults.owner_of(world, caller)
    request = owner.core.open_by_key[(caller.account, caller.request_id)]
    lost = next(h for h in request.owner.config.holders if h != owner.core.epochs.holder)
    world.host_by_name[lost.rpartition(".")[0]].kill()

    def is_replaced():
        config = request.owner.config
        return lost not in config.members() and len(config.holders) == 3

    world.run(4.0, until=is_replaced)
    assert is_replaced()
    owner.kill()
    finish(world)


@when("all gateways with its journal lose their memory after 6 tokens")
def lose_all_holders(world, caller):
    wait_for_tokens(world, caller)
    for each in world.gateways:
        if (caller.account, caller.request_id) in each.core.store.journal_by_key:
            each.kill(back_after=0.5)
    finish(world)


@then("the response is complete and each token came once")
def is_whole(world, caller):
    assert caller.complete, (len(caller.tokens), caller.codes)
    assert oracle.judge(world) == []


@then("the caller saw a new generation announced before its first token")
def saw_generation(caller):
    names = [values[0] for _, _, kind, values in caller.events if kind == "generation"]
    assert len(set(names)) >= 2


@then("each response is complete and belongs to its request")
def all_whole(world):
    assert all(caller.complete for caller in world.callers)
    assert oracle.judge(world) == []


@then("it is refused as not run")
def is_refused(caller):
    assert caller.codes and all(int(code) in oracle.NOT_RUN for _, code in caller.codes)


@then("no engine ran it")
def is_not_run(world, caller):
    assert not [prompt for _, prompt, _ in world.attempts if prompt == caller.prompt]
    assert oracle.judge(world) == []


@then("the dispatch ran at most once")
def ran_once(world, caller):
    assert len([each for each in world.executions if each[2] == caller.request_id]) <= 1
    assert oracle.judge(world) == []
    assert caller.codes


@then("the engine got no work later than 3 s after it began to leave")
def got_no_work(world):
    assert all(caller.complete for caller in world.callers)
    assert oracle.judge(world) == []


@then("the response is complete over one connection")
def one_connection(world, caller):
    is_whole(world, caller)
    assert caller.reconnects == 0


@then(parsers.parse("the gateway exits by itself within {seconds:d} s"))
def exits(world, state, seconds):
    world.run(seconds)
    assert state["drained"].drained_at is not None


@then("after 6 s no gateway admits work under the old bundle")
def in_force(world):
    assert world.violations == []
    assert {each.core.serial for each in world.gateways} == {2}


@then("no gateway ever went back to an older bundle")
def never_back(world):
    assert oracle.judge(world) == []
