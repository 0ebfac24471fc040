"""Which orders engines get: the bundle's desired state against what the engines report.

The control leader runs one `Planner`. It asks the log for a fence per order, so that an engine that
honours fences refuses an order of an earlier leader. Engines that ignore them get orders only while
leadership is confirmed and after the predecessor's lease; their state is read back and repaired.
An order names the whole wanted ready set, so that executing it again changes nothing. Before each
order the engine's state is read, because announcements don't show what an engine is loading.
"""

import math

from chiveswitch.core import bundles, calls

# An engine that is silent for less than this keeps its models in the count, so that a short
# absence causes no load elsewhere. A new leader waits as long before it orders any load.
ABSENCE_S = 10.0

# Time that a report may take to get here: an announcement every 0.5 s, of which only the second has
# a valid ticket, and two pulls. It is added to the absence, which the engine ends, not its report.
REPORT_DELAY_S = 2.0

# Greatest age of the state that an order is based on, and time between two questions for it.
STATE_AGE_S = 2.0
READ_BACK_S = 1.0

# Two ages of the same report differ by rounding; a newer report is at least this much newer.
SAME_REPORT_S = 0.001

# Time after which an order without an answer is read back.
ORDER_TIMEOUT_S = 5.0

# Directory age from which an engine gets no new work, and time after which a fence is asked again.
SILENT_S = 2.5
FENCE_TIMEOUT_S = 1.0


class BundleInForce(calls.Message):
    """Event: a bundle came into force; `bundle` is a `bundles.Bundle`."""

    __slots__ = ("bundle",)


class EngineReport(calls.Message):
    """Event: an engine announced itself or answered a read-back.

    `loaded`, `loading` and `running` are tuples of (model, adapter, version): ready for work, being
    loaded, and with generations that run or wait. `loading` is None in an announcement, which does
    not show it; `running` is then an upper bound. `role` is `mixed` or `prefill`, `ready` is False
    for an engine that is leaving, `age` is an upper bound of the report's age in seconds.
    """

    __slots__ = (
        "engine",
        "loaded",
        "role",
        "ready",
        "honours_fencing",
        "loading",
        "running",
        "age",
    )


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
    """Action: send an order if the clock, right before the first byte, is below `send_before`.

    Attributes:
        engine: Id of the engine.
        fence: Fencing token (term, index) of the order.
        wanted_models: All (model, adapter, version) triples that the engine must have ready.
        role: Wanted role, `mixed` or `prefill`.
        send_before: Time in seconds; None for an engine that honours fences.
    """

    __slots__ = ("engine", "fence", "wanted_models", "role", "send_before")


class ReadBack(calls.Message):
    """Action: ask an engine for its state and report it as `EngineReport`."""

    __slots__ = ("engine",)


class LoadBudget:
    """Token bucket that all loads from the weight store share.

    It starts empty, because the predecessor may just have spent the same tokens. Tokens of orders
    that are not sent yet count against the burst; else orders that wait, for instance for a
    confirmation, would all be sent at once.

    Attributes:
        per_second: Loads per second in the long run.
        burst: Loads that may come at once, at least 1.
        tokens: Loads that may be planned now.
        reserved: Loads planned but not sent.
        at: Time in seconds of the last refill.
    """

    __slots__ = ("per_second", "burst", "tokens", "reserved", "at")

    def __init__(self, per_second: float, burst: float, now: float):
        self.per_second = per_second
        self.burst = max(1.0, burst)
        self.drain(now)

    def drain(self, now: float) -> None:
        """Empties the budget: another leader may have spent tokens until now."""
        self.tokens = 0.0
        self.reserved = 0
        self.at = now

    def take(self, now: float) -> bool:
        """Reserves one load at a time in seconds, or returns False when the budget is spent."""
        self.refill(now)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        self.reserved += 1
        return True

    def refill(self, now: float) -> None:
        """Adds the tokens of the time since the last call, up to the burst."""
        refilled = self.tokens + max(0.0, now - self.at) * self.per_second
        self.tokens = min(self.burst - self.reserved, refilled)
        self.at = max(self.at, now)

    def spend(self, loads: int, now: float) -> None:
        """Notes that reserved loads were sent at a time in seconds."""
        # The time until now is counted while the loads still take up the burst.
        self.refill(now)
        self.reserved -= loads

    def give_back(self, loads: int, now: float) -> None:
        """Returns reserved loads that were not sent, at a time in seconds."""
        self.refill(now)
        self.reserved -= loads
        self.tokens += loads


class Order:
    """An order under way.

    Attributes:
        load: The wanted ready set.
        missing: The part of it that is to be loaded and was taken from the budget.
        role: The wanted role.
        bundle: The bundle that it follows.
        fence: Its fence, or None until the log gave one.
        asked_at: Time in seconds at which the fence was last asked for.
        sent_at: Time in seconds at which it was sent, or None.
        accepted: Whether the engine accepted it.
    """

    __slots__ = ("load", "missing", "role", "bundle", "fence", "asked_at", "sent_at", "accepted")

    def __init__(self, load, missing, role, bundle, now):
        self.load = load
        self.missing = missing
        self.role = role
        self.bundle = bundle
        self.fence = None
        self.asked_at = now
        self.sent_at = None
        self.accepted = False


class Engine:
    """What the planner knows of one engine.

    Attributes:
        report: The last `EngineReport`.
        basis: Time in seconds at which the report surely did not exist yet.
        seen_at: Time in seconds at which the report arrived.
        loading: Triples being loaded, as the last read-back showed.
        state_at: Basis of the last read-back.
        read_at: Time in seconds at which the last read-back was asked for.
        order: The `Order` under way, or None.
        highest: Highest fence used for this engine.
    """

    __slots__ = (
        "report",
        "basis",
        "seen_at",
        "loading",
        "state_at",
        "read_at",
        "order",
        "highest",
    )

    def __init__(self):
        self.report = None
        self.basis = -math.inf
        self.seen_at = 0.0
        self.loading = ()
        self.state_at = -math.inf
        self.read_at = -math.inf
        self.order = None
        self.highest = (0, 0)

    def is_present(self, now: float) -> bool:
        """Returns whether the engine was heard lately and is not leaving."""
        return self.report.ready and now - self.basis < SILENT_S

    def differs(self, load, role) -> bool:
        """Returns whether the engine has another ready set or role."""
        return set(self.report.loaded) != set(load) or self.report.role != role


class Planner:
    """Decides the orders to engines.

    Attributes:
        budget: The `LoadBudget`.
        bundle: The `bundles.Bundle` in force, or None.
        bundle_at: Time in seconds since which it is known.
        engines: Engine by id.
        leading_since: Time in seconds since which this process leads, or None.
    """

    __slots__ = (
        "budget",
        "bundle",
        "bundle_at",
        "engines",
        "leading_since",
        "predecessor_until",
        "confirmed_until",
    )

    def __init__(self, budget: LoadBudget):
        self.budget = budget
        self.bundle = None
        self.bundle_at = 0.0
        self.engines = {}
        self.leading_since = None
        self.predecessor_until = 0.0
        self.confirmed_until = 0.0

    def handle(self, event, now: float) -> list:
        """Takes one event at a time `now` in seconds and returns a list of actions."""
        kind = type(event)
        if kind is BundleInForce:
            self.bundle = event.bundle
            self.bundle_at = now
        elif kind is EngineReport:
            self.take_report(event, now)
        elif kind is LeadershipGained:
            self.leading_since = now
            self.predecessor_until = event.predecessor_until
            self.confirmed_until = 0.0
            self.budget.drain(now)
            # What this process knew or ordered in an earlier term may have been changed since.
            for engine in self.engines.values():
                engine.order = None
                engine.state_at = engine.read_at = -math.inf
        elif kind is LeadershipConfirmed:
            self.confirmed_until = event.until
        elif kind is LeadershipLost:
            self.leading_since = None
            for engine in self.engines.values():
                engine.order = None
        elif kind is FenceGranted:
            return self.take_fence(event)
        elif kind is OrderAnswered:
            return self.take_answer(event)
        elif kind is Tick and self.leading_since is not None:
            return self.plan(now)
        return []

    def take_report(self, event, now) -> None:
        """Keeps a report unless a newer one is known, and ends an order whose result it shows."""
        engine = self.engines.setdefault(event.engine, Engine())
        basis = now - event.age
        if basis <= engine.basis + SAME_REPORT_S:
            # The news that an engine leaves may overtake the report that it belongs to.
            if not event.ready:
                engine.report.ready = False
            return
        engine.report = event
        engine.basis = basis
        engine.seen_at = now
        if event.loading is not None:
            engine.loading = event.loading
            engine.state_at = basis
        else:
            engine.loading = tuple(each for each in engine.loading if each not in event.loaded)
        order = engine.order
        # A report from before the order shows nothing of it.
        if order is None or order.sent_at is None or basis < order.sent_at:
            return
        if not engine.differs(order.load, order.role):
            engine.order = None
            return
        if event.loading is None:
            return
        under_way = set(event.loaded) | set(event.loading)
        if set(order.load) == under_way and order.role == event.role:
            return
        # Without an answer the order may still be on its way.
        if order.accepted or now >= order.sent_at + ORDER_TIMEOUT_S:
            engine.order = None

    def take_fence(self, event) -> list:
        """Keeps the fence of a waiting order; an older one than before is never used."""
        engine = self.engines.get(event.engine)
        if engine is None or engine.order is None or engine.order.sent_at is not None:
            return []
        if event.fence > engine.highest:
            engine.order.fence = engine.highest = event.fence
        return []

    def take_answer(self, event) -> list:
        """Reads an engine back after its answer; a refused order is planned anew."""
        engine = self.engines.get(event.engine)
        if engine is None or engine.order is None or engine.order.fence != event.fence:
            return []
        engine.order.accepted = event.accepted
        if not event.accepted:
            engine.order = None
            # The state that the order was based on is outdated.
            engine.state_at = -math.inf
        return [ReadBack(event.engine)]

    def plan(self, now: float) -> list:
        """Returns the actions that are due: new orders, fenced orders to send, read-backs."""
        if self.bundle is None:
            return []
        for engine_id in [
            engine_id
            for engine_id, engine in self.engines.items()
            if now - engine.seen_at >= ABSENCE_S + REPORT_DELAY_S
        ]:
            order = self.engines.pop(engine_id).order
            if order is not None and order.sent_at is None:
                self.budget.give_back(len(order.missing), now)
        actions = self.send_orders(now)
        if now - self.leading_since < ABSENCE_S:
            return actions
        desired = self.assign()
        for engine_id in self.by_urgency(desired, now):
            engine = self.engines[engine_id]
            _, load, role = desired[engine_id]
            # An absent engine may come back with its models.
            if engine.order is not None or not engine.is_present(now):
                continue
            kept = self.kept(engine_id, desired, now)
            unwanted_loading = set(engine.loading) - set(load)
            if not engine.differs((*load, *kept), role) and not unwanted_loading:
                continue
            if now - engine.state_at > STATE_AGE_S:
                if now >= engine.read_at + READ_BACK_S:
                    engine.read_at = now
                    actions.append(ReadBack(engine_id))
                continue
            present = set(engine.report.loaded) | set(engine.loading)
            missing = []
            for triple in load:
                if triple not in present and self.budget.take(now):
                    missing.append(triple)
            wanted = tuple(triple for triple in load if triple in present or triple in missing)
            wanted += kept
            # Nothing but waiting for the budget or for loads in progress may be left to do.
            if present == set(wanted) and role == engine.report.role:
                continue
            engine.order = Order(wanted, tuple(missing), role, self.bundle, now)
            actions.append(RequestFence(engine_id))
        return actions

    def send_orders(self, now: float) -> list:
        """Sends the orders that have a fence and reads back those without an answer."""
        actions = []
        confirm = False
        for engine_id, engine in self.engines.items():
            order = engine.order
            if order is None:
                continue
            if order.sent_at is not None:
                late = now >= order.sent_at + ORDER_TIMEOUT_S
                if late and now >= engine.read_at + READ_BACK_S:
                    engine.read_at = now
                    actions.append(ReadBack(engine_id))
                continue
            if self.is_outdated(engine, now):
                self.budget.give_back(len(order.missing), now)
                engine.order = None
                continue
            # The command for the fence may have been lost.
            if order.fence is None:
                if now >= order.asked_at + FENCE_TIMEOUT_S:
                    order.asked_at = now
                    actions.append(RequestFence(engine_id))
                continue
            before = None
            if not engine.report.honours_fencing:
                if now < self.predecessor_until:
                    continue
                if now >= self.confirmed_until:
                    confirm = True
                    continue
                before = self.confirmed_until
            order.sent_at = now
            self.budget.spend(len(order.missing), now)
            actions.append(SendOrder(engine_id, order.fence, order.load, order.role, before))
        if confirm:
            actions.append(ConfirmLeadership())
        return actions

    def is_outdated(self, engine, now) -> bool:
        """Returns whether an unsent order no longer fits the bundle or the engine's state."""
        order = engine.order
        if order.bundle is not self.bundle or not engine.is_present(now):
            return True
        # The engine lost models since, so that the order would load more than the budget gave.
        present = set(engine.report.loaded) | set(engine.loading)
        return bool(set(order.load) - present - set(order.missing))

    def kept(self, engine_id, desired, now) -> tuple:
        """Returns the loaded triples that an engine must keep besides its desired ones."""
        engine = self.engines[engine_id]
        model, load, _ = desired[engine_id]
        incomplete = not set(load) <= set(engine.report.loaded)
        wanted_by_model = {name: triples for name, triples, _ in desired.values()}
        kept = []
        for triple in engine.report.loaded:
            if triple in load:
                continue
            if triple in wanted_by_model.get(triple[0], ()):
                # Running generations end there anyway; new ones need another engine.
                needed = not any(
                    other_id != engine_id
                    and desired[other_id][0] == triple[0]
                    and self.engines[other_id].is_present(now)
                    and triple in self.engines[other_id].report.loaded
                    for other_id in desired
                )
            else:
                # Gateways admit by the former bundle for a while, and a generation that is pinned
                # to a former version can only be resumed where that version is ready.
                needed = (
                    now < self.bundle_at + ABSENCE_S
                    or (incomplete and triple[0] == model)
                    or any(triple in other.report.running for other in self.engines.values())
                )
            if needed:
                kept.append(triple)
        return tuple(kept)

    def by_urgency(self, desired, now) -> list:
        """Returns the engine ids of `desired`; those of models with the least cover come first."""
        cover = {}
        waiting = []
        for engine_id in sorted(desired):
            engine = self.engines[engine_id]
            name, load, _ = desired[engine_id]
            under_way = set(engine.report.loaded) | set(engine.loading)
            if engine.order is not None:
                under_way |= set(engine.order.missing)
            # An absent engine serves nothing, even though its models are not loaded elsewhere.
            if engine.is_present(now) and under_way & set(load):
                cover[name] = cover.get(name, 0) + 1
            if not set(load) <= set(engine.report.loaded):
                waiting.append(engine_id)
        rank_by_id = {}
        for engine_id in waiting:
            name = desired[engine_id][0]
            rank_by_id[engine_id] = cover.get(name, 0)
            # The second engine of a model comes after the first one of every other model.
            cover[name] = cover.get(name, 0) + 1
        return sorted(desired, key=lambda name: (rank_by_id.get(name, math.inf), name))

    def held_models(self, engine) -> list:
        """Returns the names of models that an engine has, loads or is ordered to load."""
        held = [item[0] for item in engine.order.missing] if engine.order is not None else []
        held += [item[0] for item in engine.loading]
        held += [item[0] for item in engine.report.loaded]
        return held

    def assign(self) -> dict:
        """Returns (model, load, role) by engine id; an engine keeps a model that it has."""
        wanted = {model.name: model_load(self.bundle, model) for model in self.bundle.models}
        model_by_name = {model.name: model for model in self.bundle.models}
        names_by_model = {model.name: [] for model in self.bundle.models}
        free = []
        for engine_id in sorted(self.engines):
            engine = self.engines[engine_id]
            if not engine.report.ready:
                continue
            for name in self.held_models(engine):
                model = model_by_name.get(name)
                if model is not None and len(names_by_model[name]) < model.engines:
                    names_by_model[name].append(engine_id)
                    break
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
        self.share_engines(names_by_model)
        desired = {}
        for model in self.bundle.models:
            # Engines that have the role keep it, so that a new engine changes no other one's role.
            engine_ids = sorted(
                names_by_model[model.name],
                key=lambda name: (self.engines[name].report.role != "prefill", name),
            )
            for position, engine_id in enumerate(engine_ids):
                role = "prefill" if position < model.prefill_engines else "mixed"
                desired[engine_id] = (model.name, wanted[model.name], role)
        return desired

    def share_engines(self, names_by_model) -> None:
        """Moves engines to models that have none from models that have several."""
        for model in self.bundle.models:
            if model.engines == 0 or names_by_model[model.name]:
                continue
            donor = max(names_by_model, key=lambda name: len(names_by_model[name]))
            if len(names_by_model[donor]) < 2:
                return
            # One that already has the model needs no load.
            moved = max(
                names_by_model[donor],
                key=lambda name: (model.name in self.held_models(self.engines[name]), name),
            )
            names_by_model[donor].remove(moved)
            names_by_model[model.name].append(moved)


def model_load(bundle: bundles.Bundle, model: bundles.Model) -> tuple:
    """Returns the (model, adapter, version) triples that the services of a model name."""
    triples = set()
    for service in bundle.services:
        if service.model == model.name:
            triples.add((model.name, service.adapter, service.version))
    return tuple(sorted(triples))
