"""Steps of the guarantee scenarios, which run the product's state machines in virtual time."""

import pytest
import pytest_bdd
from pytest_bdd import given, parsers, then, when

from chiveswitch.core import gateway_messages
from features import fakes, faults, oracle

pytest_bdd.scenarios("guarantees.feature")


@pytest.fixture
def state():
    """Returns a dict in which steps of a scenario pass values to later steps."""
    return {}


def wait_for_tokens(world, caller, count=6):
    world.run(10.0, until=lambda: len(caller.tokens) >= count)
    assert len(caller.tokens) >= count


def run_to_completion(world, seconds=30.0):
    world.run(seconds, until=lambda: all(caller.finished for caller in world.callers))
    world.run(1.0)


def start_caller(world, service="report", tokens=24, prompt=""):
    number = len(world.callers)
    caller = fakes.Caller(world, service, prompt or f"prompt {number}", tokens)
    caller.connect()
    return caller


@given("four gateways in four zones, three engines and two services", target_fixture="world")
def make_world():
    return fakes.World(11)


@given(parsers.parse("a caller reads a {service}"), target_fixture="caller")
def caller_reads(world, service):
    is_long = service.startswith("long ")
    return start_caller(world, service.removeprefix("long "), 200 if is_long else 24)


@given("no engine accepts a prefix any more")
def refuse_prefixes(world):
    for engine in world.engines:
        engine.rejects_prefixes = True


@given(parsers.parse("{count:d} callers read reports"))
def callers_read(world, count):
    for _ in range(count):
        start_caller(world)


@given("control cannot be reached for 6 s")
def isolate_control(world):
    world.control.isolate(seconds=6.0)
    world.run(4.5)


@given("a caller sends a dispatch", target_fixture="caller")
def send_dispatch(world):
    return start_caller(world, "dispatch")


@given("an engine begins to leave and its announcements reach only one gateway")
def announce_leaving_to_one_gateway(world):
    engine = world.engines[0]
    world.blocked |= {(engine.name, each.name) for each in world.gateways[1:]}
    engine.begin_leaving()


@given("a gateway is isolated from control and the other gateways")
def isolate_gateway(world):
    world.gateways[0].isolate(seconds=12.0)


@when("its gateway dies after 6 tokens")
def kill_gateway(world, caller):
    wait_for_tokens(world, caller)
    caller.gateway.kill()
    run_to_completion(world)


@when("its engine dies after 6 tokens")
def kill_engine(world, caller):
    wait_for_tokens(world, caller)
    faults.find_busy_target(world).kill()
    run_to_completion(world)


@when("its gateway is isolated from the other gateways after 6 tokens")
def isolate_owner(world, caller):
    wait_for_tokens(world, caller)
    caller.gateway.isolate(one_way=True)
    run_to_completion(world)


@when("messages of all gateways are reordered, repeated and delayed for 1 s")
def disturb_messages(world):
    for each in world.gateways:
        for kind in ("late", "crossed", "repeated"):
            each.disturb(kind)
    run_to_completion(world)


@when("a caller asks for a report", target_fixture="caller")
def request_report(world):
    caller = start_caller(world)
    world.run(0.2)
    return caller


@when("its gateway pauses before the first byte until the permit has expired")
def pause_before_write(world, caller):
    def pause_at_write(name, host):
        if name == "call:UnrepeatableCall.writing" and host.state == "up":
            world.on_step = None
            host.pause(11.0)

    world.on_step = pause_at_write
    run_to_completion(world)


@when("callers ask for reports every 0.2 s during 6 s")
def start_callers_repeatedly(world):
    for _ in range(30):
        start_caller(world, tokens=4)
        world.run(0.2)
    run_to_completion(world)


@when("its gateway is told to shut down after 6 tokens")
def drain_gateway(world, caller, state):
    wait_for_tokens(world, caller)
    state["drained"] = caller.gateway
    caller.gateway.handle_event(gateway_messages.Drain())
    run_to_completion(world)


@when("two operators race to roll a new bundle")
def race_operators(world):
    world.control.race_operators()
    world.run(14.0)


@when("one holder dies and, once it is replaced, the owner dies")
def lose_two_in_a_row(world, caller):
    wait_for_tokens(world, caller)
    owner = faults.find_owner(world, caller)
    request = owner.core.open_by_key[(caller.account, caller.request_id)]
    lost = next(each for each in request.owner.config.holders if each != owner.core.epochs.holder)
    world.host_by_name[lost.rpartition(".")[0]].kill()

    def is_replaced():
        config = request.owner.config
        return lost not in config.members() and len(config.holders) == 3

    world.run(4.0, until=is_replaced)
    assert is_replaced()
    owner.kill()
    run_to_completion(world)


@when("all gateways with its journal lose their memory after 6 tokens")
def lose_all_holders(world, caller):
    wait_for_tokens(world, caller)
    for each in world.gateways:
        if (caller.account, caller.request_id) in each.core.store.journal_by_key:
            each.kill(restart_after=0.5)
    run_to_completion(world)


@then("the response is complete and each token was received once")
def check_response_complete(world, caller):
    assert caller.complete, (len(caller.tokens), caller.codes)
    assert oracle.find_violations(world) == []


@then("the caller saw a new generation announced before its first token")
def check_generation_announced(caller):
    names = [values[0] for _, _, kind, values in caller.events if kind == "generation"]
    assert len(set(names)) >= 2


@then("each response is complete and belongs to its request")
def check_all_complete(world):
    assert all(caller.complete for caller in world.callers)
    assert oracle.find_violations(world) == []


@then("it is refused as not run")
def check_refused(caller):
    assert caller.codes and all(int(code) in oracle.NOT_RUN_CODES for _, code in caller.codes)


@then("no engine ran it")
def check_not_run(world, caller):
    assert not [prompt for _, prompt, _ in world.attempts if prompt == caller.prompt]
    assert oracle.find_violations(world) == []


@then("the dispatch ran at most once")
def check_ran_once(world, caller):
    assert len([each for each in world.executions if each[2] == caller.request_id]) <= 1
    assert oracle.find_violations(world) == []
    assert caller.codes


@then("the engine got no work later than 3 s after it began to leave")
def check_no_late_work(world):
    assert all(caller.complete for caller in world.callers)
    assert oracle.find_violations(world) == []


@then("the response is complete over one connection")
def check_one_connection(world, caller):
    check_response_complete(world, caller)
    assert caller.reconnects == 0


@then(parsers.parse("the gateway exits by itself within {seconds:d} s"))
def check_gateway_exits(world, state, seconds):
    world.run(seconds)
    assert state["drained"].drained_at is not None


@then("after 6 s no gateway admits work under the old bundle")
def check_bundle_in_force(world):
    assert world.violations == []
    assert {each.core.serial for each in world.gateways} == {2}


@then("no gateway ever returned to an older bundle")
def check_no_rollback(world):
    assert oracle.find_violations(world) == []
