"""Steps, faults and paths of the fault matrix.

A step is one handler or action of the product, taken from the product's own registries, or a state
of a service call. A fault is injected at a step. A path is a scenario of a caller, such as a
takeover.
"""

import contextlib

from chiveswitch.core import calls, generation, journal, replication, requests
from chiveswitch.core import gateway as gateway_module
from chiveswitch.core import gateway_messages
from features import fakes, oracle

REGISTRY_BY_PREFIX = {
    "gateway": gateway_module.HANDLER_BY_EVENT,
    "request": requests.HANDLER_BY_ACTION,
    "generation": generation._HANDLERS,
    "stream": generation._HOT_HANDLERS,
    "holder": journal.HANDLER_BY_EVENT,
    "owner": replication.OWNER_HANDLER_BY_EVENT,
    "takeover": replication.TAKEOVER_HANDLER_BY_EVENT,
    "reply": replication.TAKEOVER_HANDLER_BY_REPLY,
    "call-event": calls.HANDLER_BY_EVENT,
}


def registered_steps() -> set:
    """Returns the names of all steps in the registries of the product and the fakes."""
    steps = {
        f"{prefix}:{kind.__name__}"
        for prefix, registry in REGISTRY_BY_PREFIX.items()
        for kind in registry
    }
    steps |= {f"action:{kind.__name__}" for kind in fakes.EXECUTE_BY_ACTION}
    steps.add("action:SendJournal")
    steps |= {f"call:UnrepeatableCall.{state}" for state in calls.LIFECYCLE.states}
    steps |= {f"call:IdempotentCall.{state}" for state in ("connecting", "writing", "closed")}
    return steps


@contextlib.contextmanager
def instrumented(world):
    """Reports each registered handler to `world.report_step` after it has run."""
    saved = [(registry, dict(registry)) for registry in REGISTRY_BY_PREFIX.values()]

    def wrap(name, handler):
        def handle(*arguments):
            result = handler(*arguments)
            world.report_step(name)
            return result

        return handle

    for prefix, registry in REGISTRY_BY_PREFIX.items():
        for kind, handler in list(registry.items()):
            registry[kind] = wrap(f"{prefix}:{kind.__name__}", handler)
    try:
        yield
    finally:
        for registry, handlers in saved:
            registry.update(handlers)


FAULT_BY_NAME = {}
PATH_BY_NAME = {}


def fault(name):
    """Returns a decorator that registers a fault.

    The decorated `function(world, host)` injects the fault; `host` is the one that ran the step.
    """

    def register(function):
        FAULT_BY_NAME[name] = function
        return function

    return register


def path(name):
    """Returns a decorator that registers a path.

    The decorated `function(world)` sets up the path and returns a function that is called every
    10 ms of virtual time.
    """

    def register(function):
        PATH_BY_NAME[name] = function
        return function

    return register


@fault("kill")
def kill(world, host):
    host.kill()


@fault("lost disk")
def lose_memory(world, host):
    host.kill(restart_after=0.3)


@fault("pause and return")
def pause(world, host):
    host.pause(1.2)


@fault("long pause and return")
def long_pause(world, host):
    host.pause()


@fault("cut")
def isolate(world, host):
    host.isolate()


@fault("one-way cut")
def isolate_one_way(world, host):
    host.isolate(one_way=True)


@fault("silent connection")
def silence_connections(world, host):
    for connection in host.connections.values():
        connection.silent = True


@fault("late")
def delay_messages(world, host):
    host.disturb("late")


@fault("crossed")
def reorder_messages(world, host):
    host.disturb("crossed")


@fault("repeated")
def repeat_messages(world, host):
    host.disturb("repeated")


@fault("operators racing")
def race_operators(world, host):
    world.control.race_operators()


def find_busy_target(world):
    """Returns a target that is serving a connection, or the first engine if there is none."""
    for target in [*world.engines, *world.services]:
        if target.connections and target.state == "up":
            return target
    return world.engines[0]


@fault("target killed")
def kill_target(world, host):
    find_busy_target(world).kill()


@fault("target paused")
def pause_target(world, host):
    find_busy_target(world).pause(1.2)


def find_owner(world, caller):
    """Returns the running gateway that owns the caller's unfinished request, or None."""
    key = (caller.account, caller.request_id)
    for each in world.gateways:
        request = each.core.open_by_key.get(key)
        if each.state == "up" and request is not None and request.machine.outcome is None:
            return each
    return None


def act_at_token(world, service, action, max_tokens=16, token_count=6, **options):
    """Starts a caller and returns a function to be called repeatedly.

    That function runs `action(world, caller)` once, when the caller has `token_count` tokens.
    """
    caller = fakes.Caller(world, service, f"the prompt of {service}", max_tokens, **options)
    caller.connect()
    done = []

    def poll():
        if not done and len(caller.tokens) >= token_count:
            done.append(True)
            action(world, caller)

    return poll


def do_nothing(world, caller):
    pass


@path("streamed")
def read_stream(world):
    return act_at_token(world, "report", do_nothing)


@path("whole")
def read_whole_response(world):
    return act_at_token(world, "report", do_nothing, streamed=False)


@path("reconnect")
def reconnect(world):
    def act(world, caller):
        caller.next_gateway = caller.gateway
        caller.reconnect()

    return act_at_token(world, "draft", act, may_be_resend=True)


@path("takeover")
def take_over(world):
    def act(world, caller):
        index = world.gateways.index(caller.gateway)
        caller.next_gateway = world.gateways[(index + 1) % len(world.gateways)]
        caller.reconnect()

    return act_at_token(world, "report", act)


@path("holder change")
def change_holder(world):
    def act(world, caller):
        owner = find_owner(world, caller)
        if owner is None:
            return
        key = (caller.account, caller.request_id)
        holders = [each for each in world.gateways if key in each.core.store.journal_by_key]
        others = [each for each in holders if each is not owner]
        if others:
            others[0].kill(restart_after=5.0)

    return act_at_token(world, "report", act, max_tokens=50)


@path("durable")
def lose_all_holders(world):
    """Restarts all holders of a durable request, which lose their memory."""

    def act(world, caller):
        key = (caller.account, caller.request_id)
        for each in world.gateways:
            if key in each.core.store.journal_by_key:
                each.kill(restart_after=0.5)

    return act_at_token(world, "digest", act)


@path("cancel")
def cancel(world):
    return act_at_token(world, "digest", lambda world, caller: caller.cancel())


@path("drain")
def drain_owner(world):
    def act(world, caller):
        owner = find_owner(world, caller)
        if owner is not None:
            owner.deliver(owner.incarnation, owner.handle_event, gateway_messages.Drain())

    return act_at_token(world, "report", act)


@path("new generation")
def force_new_generation(world):
    """Kills the engine while no other one accepts the prefix, so that a new generation begins."""

    def act(world, caller):
        for engine in world.engines:
            engine.rejects_prefixes = True
        find_busy_target(world).kill()

    return act_at_token(world, "report", act)


@path("long prefill")
def wait_for_prefill(world):
    for engine in world.engines:
        engine.prefill_seconds = 0.6
    return act_at_token(world, "report", do_nothing)


@path("lost target")
def lose_target(world):
    """Kills a target, which never confirms its cancel; gateways drop it after 30 s."""
    world.settle_seconds = 33.0
    return act_at_token(world, "report", lambda world, caller: find_busy_target(world).kill())


@path("unrepeatable call")
def send_dispatch(world):
    return act_at_token(world, "dispatch", do_nothing)


@path("idempotent call")
def send_stock(world):
    return act_at_token(world, "stock", do_nothing)


@path("leaving target")
def begin_leaving(world):
    def act(world, caller):
        find_busy_target(world).begin_leaving()
        fakes.Caller(world, "report", "a second prompt", 12).connect()

    return act_at_token(world, "report", act)


class Run:
    """One run of a path with injected faults.

    Args:
        path_name: Key of `PATH_BY_NAME`.
        faults: (step, fault name) of the faults to inject, in this order.
        seed: Seed of the `World`.
        limit_seconds: Longest virtual time until all callers have finished.
        settle_seconds: Least virtual time that the run continues after the last response.

    Attributes:
        world: The `World` of the run.
        reached: Point at which each step first ran, by step name and in order. Steps of one wake-up
            have the same point.
        faults: List of (step, fault name) that were injected.
        violations: Violations of the guarantees, as sentences of the oracle.
        incomplete: Callers that got no complete response.
        is_excused: Whether a missing response is acceptable, because no engine is ready or more
            gateways lost their memory than the path tolerates.
    """

    def __init__(self, path_name, faults=(), seed=1, limit_seconds=30.0, settle_seconds=0.3):
        self.reached = {}
        self.faults = []
        self.world = world = fakes.World(seed, encodes_messages=False)
        pending_faults = list(faults)

        def on_step(name, host):
            # Faults at any step of one wake-up take effect at the same point: before the first of
            # its actions is executed.
            point = name if name.startswith("action:") else world.wakeup_count
            self.reached.setdefault(name, point)
            # The second fault is injected only after the first, when its step is next reached.
            if pending_faults and pending_faults[0][0] == name:
                step, fault_name = pending_faults.pop(0)
                self.faults.append((step, fault_name))
                FAULT_BY_NAME[fault_name](world, host)

        with instrumented(world):
            world.on_step = on_step
            poll_path = PATH_BY_NAME[path_name](world)
            started_at = world.now
            while world.now < started_at + limit_seconds:
                poll_path()
                world.run(0.01)
                if all(caller.finished for caller in world.callers):
                    break
            # Late messages and returning processes must not change the result.
            world.run(max(settle_seconds, world.settle_seconds))
        self.violations = oracle.find_violations(world)
        self.incomplete = [caller for caller in world.callers if not is_answered(caller)]
        lost = {name for _, name in world.kills if name.startswith("gw")}
        # Three copies tolerate one loss at a time. A durable request survives the loss of all
        # copies, since control stores it.
        ready = [e for e in world.engines if e.state == "up" and e.target_state == "ready"]
        self.is_excused = not ready or (path_name != "durable" and len(lost) > 1)


def is_answered(caller) -> bool:
    """Returns whether a caller got a response that its kind of request permits."""
    if caller.complete or (caller.cancelled and caller.finished):
        return True
    # An unrepeatable call may end with an unknown outcome, which the result code must state.
    unknown = [code.name for _, code in caller.codes[-1:] if int(code) in (4001, 4002)]
    return caller.service == "dispatch" and bool(unknown)
