"""Steps, faults and paths of the fault matrix; the steps come from the code's own registries."""

import contextlib

from chiveswitch.core import calls, generation, journal, replication, requests
from chiveswitch.core import gateway as gateway_module
from chiveswitch.core import gateway_messages as outward
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
    """Returns the names of all steps that the code knows."""
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
    """Reports each registered handler to `world.step` after it ran."""
    saved = [(registry, dict(registry)) for registry in REGISTRY_BY_PREFIX.values()]

    def wrap(name, handler):
        def handle(*arguments):
            result = handler(*arguments)
            world.step(name)
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
    """Returns a decorator that registers `function(world, host)`; `host` is where the step ran."""

    def register(function):
        FAULT_BY_NAME[name] = function
        return function

    return register


def path(name):
    """Returns a decorator that registers `function(world)`, which returns what runs each 10 ms."""

    def register(function):
        PATH_BY_NAME[name] = function
        return function

    return register


@fault("kill")
def kill(world, host):
    host.kill()


@fault("lost disk")
def lose_memory(world, host):
    host.kill(back_after=0.3)


@fault("pause and return")
def pause(world, host):
    host.pause(1.2)


@fault("long pause and return")
def long_pause(world, host):
    host.pause()


@fault("cut")
def cut(world, host):
    host.cut()


@fault("one-way cut")
def one_way_cut(world, host):
    host.cut(one_way=True)


@fault("silent connection")
def silence(world, host):
    for connection in host.connections.values():
        connection.silent = True


@fault("late")
def late(world, host):
    host.disturb("late")


@fault("crossed")
def cross(world, host):
    host.disturb("crossed")


@fault("repeated")
def repeat(world, host):
    host.disturb("repeated")


@fault("operators racing")
def race(world, host):
    world.control.race()


def busy_target(world):
    """Returns the target that works at present, else the first one."""
    for target in [*world.engines, *world.services]:
        if target.connections and target.state == "up":
            return target
    return world.engines[0]


@fault("target killed")
def kill_target(world, host):
    busy_target(world).kill()


@fault("target paused")
def pause_target(world, host):
    busy_target(world).pause(1.2)


def owner_of(world, caller):
    """Returns the gateway that owns the caller's request, or None."""
    key = (caller.account, caller.request_id)
    for each in world.gateways:
        request = each.core.open_by_key.get(key)
        if each.state == "up" and request is not None and request.machine.outcome is None:
            return each
    return None


def at_token(world, service, action, tokens=16, at=6, **options):
    """Starts a caller; `action(world, caller)` runs once it has `at` tokens."""
    caller = fakes.Caller(world, service, f"the prompt of {service}", tokens, **options)
    caller.connect()
    done = []

    def step():
        if not done and len(caller.tokens) >= at:
            done.append(True)
            action(world, caller)

    return step


def nothing(world, caller):
    pass


@path("streamed")
def streamed(world):
    return at_token(world, "report", nothing)


@path("whole")
def whole(world):
    return at_token(world, "report", nothing, streamed=False)


@path("reconnect")
def reconnect(world):
    def act(world, caller):
        caller.next_gateway = caller.gateway
        caller.drop()

    return at_token(world, "draft", act, chosen=True)


@path("takeover")
def take_over(world):
    def act(world, caller):
        here = world.gateways.index(caller.gateway)
        caller.next_gateway = world.gateways[(here + 1) % len(world.gateways)]
        caller.drop()

    return at_token(world, "report", act)


@path("holder change")
def change_holder(world):
    def act(world, caller):
        owner = owner_of(world, caller)
        if owner is None:
            return
        key = (caller.account, caller.request_id)
        holders = [each for each in world.gateways if key in each.core.store.journal_by_key]
        others = [each for each in holders if each is not owner]
        if others:
            others[0].kill(back_after=5.0)

    return at_token(world, "report", act, tokens=50)


@path("durable")
def run_again(world):
    """All holders of a durable request lose their memory."""

    def act(world, caller):
        key = (caller.account, caller.request_id)
        for each in world.gateways:
            if key in each.core.store.journal_by_key:
                each.kill(back_after=0.5)

    return at_token(world, "digest", act)


@path("cancel")
def cancel(world):
    return at_token(world, "digest", lambda world, caller: caller.cancel())


@path("drain")
def drain(world):
    def act(world, caller):
        owner = owner_of(world, caller)
        if owner is not None:
            owner.deliver(owner.incarnation, owner.give, outward.Drain())

    return at_token(world, "report", act)


@path("new generation")
def restart(world):
    """No engine continues the prefix, so that a new generation begins."""

    def act(world, caller):
        for engine in world.engines:
            engine.wrong_prefix = True
        busy_target(world).kill()

    return at_token(world, "report", act)


@path("long prefill")
def wait_for_prefill(world):
    for engine in world.engines:
        engine.prefill_s = 0.6
    return at_token(world, "report", nothing)


@path("lost target")
def lose_target(world):
    """A target that dies and never confirms its cancel is forgotten after 30 s."""
    world.after = 33.0
    return at_token(world, "report", lambda world, caller: busy_target(world).kill())


@path("unrepeatable call")
def dispatch(world):
    return at_token(world, "dispatch", nothing)


@path("idempotent call")
def stock(world):
    return at_token(world, "stock", nothing)


@path("leaving target")
def leave(world):
    def act(world, caller):
        busy_target(world).leave()
        fakes.Caller(world, "report", "a second prompt", 12).connect()

    return at_token(world, "report", act)


class Run:
    """One run of a path with faults.

    Attributes:
        reached: Point of the first time by step name, in order; equal for steps of one wake-up.
        faults: List of (step, fault name) that were injected.
        violations: Sentences of the oracle.
        incomplete: Callers that got no complete response.
        is_excused: Whether no engine was left, or two gateways lost their memory.
    """

    def __init__(self, path_name, faults=(), seed=1, limit=30.0, after=0.3):
        self.reached = {}
        self.faults = []
        self.world = world = fakes.World(seed, encodes=False)
        waiting = list(faults)

        def on_step(name, host):
            # Steps of one call strike at the same point: before any of its actions leaves.
            point = name if name.startswith("action:") else world.wakeup
            self.reached.setdefault(name, point)
            # A second fault strikes only after the first, at the next time its step is reached.
            if waiting and waiting[0][0] == name:
                step, fault_name = waiting.pop(0)
                self.faults.append((step, fault_name))
                FAULT_BY_NAME[fault_name](world, host)

        with instrumented(world):
            world.on_step = on_step
            script = PATH_BY_NAME[path_name](world)
            begun = world.now
            while world.now < begun + limit:
                script()
                world.run(0.01)
                if all(caller.finished for caller in world.callers):
                    break
            # Late messages and processes that return must change nothing any more.
            world.run(max(after, world.after))
        self.violations = oracle.judge(world)
        self.incomplete = [caller for caller in world.callers if not is_answered(caller)]
        lost = {name for _, name in world.killed if name.startswith("gw")}
        # Three copies survive one loss at a time; control survives all for a durable request.
        ready = [e for e in world.engines if e.state == "up" and e.target_state == "ready"]
        self.is_excused = not ready or (path_name != "durable" and len(lost) > 1)


def is_answered(caller) -> bool:
    """Returns whether a caller got all that the path permits."""
    if caller.complete or (caller.cancelled and caller.finished):
        return True
    # An unrepeatable call may end as unknown, which is then said and never hidden.
    unknown = [code.name for _, code in caller.codes[-1:] if int(code) in (4001, 4002)]
    return caller.service == "dispatch" and bool(unknown)
