"""Which orders engines get: the bundle's desired state against what the engines report.

The control leader runs one `Planner`. It asks the log for a fence per order, so that an engine that
honours fences refuses an order of an earlier leader. Engines that ignore them get orders only while
leadership is confirmed and after the predecessor's lease; their state is read back and repaired.
"""

from chiveswitch.core import bundles, calls

# An engine that is silent for less than this keeps its models in the count, so that a short
# absence causes no load elsewhere. A new leader waits as long before it orders any load.
ABSENCE_S = 10.0

# Time after which an order without an answer is read back.
ORDER_TIMEOUT_S = 5.0

# Directory age from which an engine gets no new work, and time after which a fence is asked again.
SILENT_S = 2.5
FENCE_TIMEOUT_S = 1.0

# Tokens of the load budget per loaded (model, adapter, version).
LOAD_COST = 1.0


class BundleInForce(calls.Message):
    """Event: a bundle came into force; `bundle` is a `bundles.Bundle`."""

    __slots__ = ("bundle",)


class EngineReport(calls.Message):
    """Event: an engine announced itself or answered a read-back.

    `loaded` is a tuple of (model, adapter, version), `role` is `mixed` or `prefill`, `ready` is
    False for an engine that is leaving.
    """

    __slots__ = ("engine", "loaded", "role", "ready", "honours_fencing")


class LeadershipGained(calls.Message):
    """Event: this process leads; `predecessor_until` is the end of its predecessor's lease."""

    __slots__ = ("predecessor_until",)


class LeadershipConfirmed(calls.Message):
    """Event: a majority confirmed the leadership until a time in seconds."""

    __slots__ = ("until",)


class LeadershipLost(calls.Message):
    """Event: this process leads no longer."""


class FenceGranted(calls.Message):
    """Event: the log gave the fence (term, index) for an engine."""

    __slots__ = ("engine", "fence")


class OrderAnswered(calls.Message):
    """Event: an engine answered the order with this fence, or refused it."""

    __slots__ = ("engine", "fence", "accepted")


class Tick(calls.Message):
    """Event: time passed; expected several times a second."""


class RequestFence(calls.Message):
    """Action: commit `next_fence` for an engine."""

    __slots__ = ("engine",)


class ConfirmLeadership(calls.Message):
    """Action: have a majority confirm the leadership."""


class SendOrder(calls.Message):
    """Action: send an order, only if the clock right before the first byte is below `before`.

    `load` is a tuple of (model, adapter, version) to be loaded. `before` is None for an engine that
    honours fences.
    """

    __slots__ = ("engine", "fence", "load", "role", "before")


class ReadBack(calls.Message):
    """Action: ask an engine for its state and report it as `EngineReport`."""

    __slots__ = ("engine",)


class LoadBudget:
    """Token bucket that all loads from the weight store share.

    It starts empty, because the predecessor may just have spent the same tokens.
    """

    __slots__ = ("per_second", "burst", "tokens", "at")

    def __init__(self, per_second: float, burst: float, now: float):
        self.per_second = per_second
        self.burst = burst
        self.tokens = 0.0
        self.at = now

    def take(self, cost: float, now: float) -> bool:
        """Takes tokens at a time in seconds, or returns False when too few are there."""
        self.tokens = min(self.burst, self.tokens + max(0.0, now - self.at) * self.per_second)
        self.at = max(self.at, now)
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True


class Engine:
    """What the planner knows of one engine: its last report and the order under way."""

    __slots__ = ("report", "seen_at", "order", "fence", "asked_at", "sent_at", "highest")

    def __init__(self):
        self.report = None
        self.seen_at = 0.0
        self.order = None
        self.fence = None
        self.asked_at = 0.0
        self.sent_at = None
        self.highest = (0, 0)


class Planner:
    """Decides the orders to engines.

    Attributes:
        budget: The `LoadBudget`.
        bundle: The `bundles.Bundle` in force, or None.
        engines: Engine by id.
        leading_since: Time in seconds since which this process leads, or None.
    """

    __slots__ = (
        "budget",
        "bundle",
        "engines",
        "leading_since",
        "predecessor_until",
        "confirmed_until",
    )

    def __init__(self, budget: LoadBudget):
        self.budget = budget
        self.bundle = None
        self.engines = {}
        self.leading_since = None
        self.predecessor_until = 0.0
        self.confirmed_until = 0.0

    def handle(self, event, now: float) -> list:
        """Takes one event at a time `now` in seconds and returns a list of actions."""
        kind = type(event)
        if kind is BundleInForce:
            self.bundle = event.bundle
        elif kind is EngineReport:
            self.take_report(event, now)
        elif kind is LeadershipGained:
            self.leading_since = now
            self.predecessor_until = event.predecessor_until
            self.confirmed_until = 0.0
        elif kind is LeadershipConfirmed:
            self.confirmed_until = event.until
        elif kind is LeadershipLost:
            self.leading_since = None
            for engine in self.engines.values():
                engine.order = engine.fence = engine.sent_at = None
        elif kind is FenceGranted:
            return self.take_fence(event)
        elif kind is OrderAnswered:
            return self.take_answer(event)
        elif kind is Tick and self.leading_since is not None:
            return self.plan(now)
        return []

    def take_report(self, event, now) -> None:
        """Keeps a report; one that shows the ordered state ends the order."""
        engine = self.engines.setdefault(event.engine, Engine())
        engine.report = event
        engine.seen_at = now
        if engine.sent_at is None:
            return
        load, role = engine.order
        done = set(load) <= set(event.loaded) and role == event.role
        # A report before the timeout may be older than the order.
        if done or now >= engine.sent_at + ORDER_TIMEOUT_S:
            engine.order = engine.fence = engine.sent_at = None

    def take_fence(self, event) -> list:
        """Keeps the fence of a waiting order; an older one than before is never used."""
        engine = self.engines.get(event.engine)
        if engine is None or engine.order is None or event.fence <= engine.highest:
            return []
        engine.fence = engine.highest = event.fence
        return []

    def take_answer(self, event) -> list:
        """Reads an engine back after its answer; a refused order is planned anew."""
        engine = self.engines.get(event.engine)
        if engine is None or engine.fence != event.fence:
            return []
        if not event.accepted:
            engine.order = engine.fence = engine.sent_at = None
        return [ReadBack(event.engine)]

    def plan(self, now: float) -> list:
        """Returns the actions that are due: new orders, fenced orders to send, read-backs."""
        if self.bundle is None:
            return []
        for engine_id in [
            engine_id
            for engine_id, engine in self.engines.items()
            if now - engine.seen_at >= ABSENCE_S
        ]:
            del self.engines[engine_id]
        actions = self.send_orders(now)
        if now - self.leading_since < ABSENCE_S:
            return actions
        desired = self.assign()
        ready = self.count_ready()
        # The sort puts engines for models without a ready engine first in line for the budget.
        for engine_id in sorted(desired, key=lambda name: (ready[desired[name][0]] > 0, name)):
            engine = self.engines[engine_id]
            _, load, role = desired[engine_id]
            missing = tuple(item for item in load if item not in engine.report.loaded)
            if engine.order is not None or (not missing and role == engine.report.role):
                continue
            # An absent engine may come back with its models.
            if now - engine.seen_at >= SILENT_S:
                continue
            if missing and not self.budget.take(LOAD_COST * len(missing), now):
                # Waits instead of letting a cheaper order overtake one that is more urgent.
                break
            engine.order = (missing, role)
            engine.asked_at = now
            actions.append(RequestFence(engine_id))
        return actions

    def send_orders(self, now: float) -> list:
        """Sends the orders that have a fence and reads back those without an answer."""
        actions = []
        confirm = False
        for engine_id, engine in self.engines.items():
            if engine.sent_at is not None and now >= engine.sent_at + ORDER_TIMEOUT_S:
                actions.append(ReadBack(engine_id))
            # The command for the fence may have been lost.
            if engine.order and not engine.fence and now >= engine.asked_at + FENCE_TIMEOUT_S:
                engine.asked_at = now
                actions.append(RequestFence(engine_id))
            if engine.fence is None or engine.sent_at is not None:
                continue
            before = None
            if not engine.report.honours_fencing:
                if now < self.predecessor_until:
                    continue
                if now >= self.confirmed_until:
                    confirm = True
                    continue
                before = self.confirmed_until
            engine.sent_at = now
            actions.append(SendOrder(engine_id, engine.fence, *engine.order, before))
        if confirm:
            actions.append(ConfirmLeadership())
        return actions

    def count_ready(self) -> dict:
        """Returns the number of engines by model that have one of its versions."""
        ready = {model.name: 0 for model in self.bundle.models}
        for engine in self.engines.values():
            if not engine.report.ready:
                continue
            for name in {item[0] for item in engine.report.loaded}:
                if name in ready:
                    ready[name] += 1
        return ready

    def assign(self) -> dict:
        """Returns (model, load, role) by engine id; an engine keeps a model that it has."""
        wanted = {model.name: model_load(self.bundle, model) for model in self.bundle.models}
        names_by_model = {model.name: [] for model in self.bundle.models}
        free = []
        for engine_id in sorted(self.engines):
            report = self.engines[engine_id].report
            if not report.ready:
                continue
            held = [item[0] for item in report.loaded if item[0] in names_by_model]
            order = self.engines[engine_id].order
            if order is not None and order[0]:
                held.insert(0, order[0][0][0])
            room = [
                model.name
                for model in self.bundle.models
                if model.name in held and len(names_by_model[model.name]) < model.engines
            ]
            if room:
                names_by_model[room[0]].append(engine_id)
            else:
                free.append(engine_id)
        while free:
            short = [
                model
                for model in self.bundle.models
                if len(names_by_model[model.name]) < model.engines
            ]
            if not short:
                break
            neediest = min(short, key=lambda model: len(names_by_model[model.name]))
            names_by_model[neediest.name].append(free.pop(0))
        desired = {}
        for model in self.bundle.models:
            for position, engine_id in enumerate(names_by_model[model.name]):
                role = "prefill" if position < model.prefill_engines else "mixed"
                desired[engine_id] = (model.name, wanted[model.name], role)
        return desired


def model_load(bundle: bundles.Bundle, model: bundles.Model) -> tuple:
    """Returns the (model, adapter, version) triples that the services of a model name."""
    triples = set()
    for service in bundle.services:
        if service.model == model.name:
            triples.add((model.name, service.adapter, service.version))
    return tuple(sorted(triples))
