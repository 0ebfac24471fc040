"""Planning of the orders that bring the engines from their reported state to that of the bundle.

The control leader runs one `Planner`. Each order carries a fence, a fencing token (term, index)
that the replicated log issues: an engine that honours fences refuses an order of an earlier leader.
An engine that ignores them is sent orders only while a majority confirms the leadership and after
the predecessor's lease has ended, and its state is read back and corrected. An order names all
models that the engine must have ready, so that executing it twice has no further effect. The
engine's state is read before each order, because announcements don't show what it is loading.
"""

import math

from chiveswitch.core import bundles, calls

# An engine without reports for less than this time still counts as having its models, so that a
# short absence causes no load on another engine. A new leader waits as long before its first order
# of a load.
ABSENCE_GRACE_SECONDS = 10.0

# Longest time that a report takes to arrive: an announcement every 0.5 s, of which only the second
# has a valid ticket, and two pulls of the directory. It is added to the grace time, because an
# absence ends when the engine is back, which is earlier than its report arrives.
MAX_REPORT_DELAY_SECONDS = 2.0

# Greatest age of the state that an order is based on, and time between two read-backs of it.
MAX_STATE_AGE_SECONDS = 2.0
READ_BACK_INTERVAL_SECONDS = 1.0

# The time of a report is computed from its rounded age, so copies of the same report may differ. A
# report counts as newer if its time is later by more than this.
REPORT_TIME_TOLERANCE_SECONDS = 0.001

# Time after which the engine is read back if it has not answered an order.
ORDER_TIMEOUT_SECONDS = 5.0

# Age of the report in the directory from which an engine is sent no order, and time after which a
# fence is requested again.
MAX_REPORT_AGE_SECONDS = 2.5
FENCE_TIMEOUT_SECONDS = 1.0


class BundleInForce(calls.Message):
    """Event: a bundle came into force; `bundle` is a `bundles.Bundle`."""

    __slots__ = ("bundle",)


class EngineReport(calls.Message):
    """Event: an engine announced itself or answered a read-back.

    Models are (model, adapter, version) triples.

    Attributes:
        engine: Id of the engine.
        loaded: Tuple of the models that are ready for work.
        role: `mixed` or `prefill`.
        ready: Whether the engine is not about to stop.
        honours_fencing: Whether it refuses orders with an older fence.
        loading: Tuple of the models being loaded; None in an announcement, which does not show it.
        running: Tuple of the models with running or waiting generations; in an announcement an
            upper bound, which may include models without any.
        age: Upper bound of the age of the report, in seconds.
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
    """Event: this process became leader; `predecessor_lease_end` is a time in seconds."""

    __slots__ = ("predecessor_lease_end",)


class LeadershipConfirmed(calls.Message):
    """Event: a majority confirmed the leadership up to the time `until`, in seconds."""

    __slots__ = ("until",)


class LeadershipLost(calls.Message):
    """Event: this process is no longer the leader."""


class FenceGranted(calls.Message):
    """Event: the log issued the fence (term, index) for an order to an engine."""

    __slots__ = ("engine", "fence")


class OrderAnswered(calls.Message):
    """Event: an engine accepted or refused the order with this fence."""

    __slots__ = ("engine", "fence", "accepted")


class Tick(calls.Message):
    """Event: time has passed; must arrive several times a second."""


class RequestFence(calls.Message):
    """Action: commit the command `NextFence` for an engine."""

    __slots__ = ("engine",)


class ConfirmLeadership(calls.Message):
    """Action: have a majority confirm the leadership and report `LeadershipConfirmed`."""


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
    """Action: read the state of an engine and report it as `EngineReport`."""

    __slots__ = ("engine",)


class LoadBudget:
    """Token bucket that limits the rate of all loads from the weight store.

    It starts empty, because the previous leader may just have spent the same tokens. Loads that are
    planned but not sent count against the burst. Otherwise orders that wait, for instance for a
    confirmation of the leadership, could all be sent at once in addition to a full burst.

    Attributes:
        per_second: Tokens added per second; one load costs one token.
        burst: Largest number of tokens, at least 1.
        tokens: Loads that may be planned now.
        reserved: Loads planned but not sent.
        refilled_at: Time in seconds of the last refill.
    """

    __slots__ = ("per_second", "burst", "tokens", "reserved", "refilled_at")

    def __init__(self, per_second: float, burst: float, now: float):
        self.per_second = per_second
        self.burst = max(1.0, burst)
        self.empty(now)

    def empty(self, now: float) -> None:
        """Empties the bucket, because another leader may have spent all tokens until now."""
        self.tokens = 0.0
        self.reserved = 0
        self.refilled_at = now

    def reserve_load(self, now: float) -> bool:
        """Reserves one load and returns True, or returns False if no token is left.

        Args:
            now: Current time in seconds.
        """
        self.refill(now)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        self.reserved += 1
        return True

    def refill(self, now: float) -> None:
        """Adds the tokens of the time since the last call, up to the burst."""
        refilled = self.tokens + max(0.0, now - self.refilled_at) * self.per_second
        self.tokens = min(self.burst - self.reserved, refilled)
        self.refilled_at = max(self.refilled_at, now)

    def spend_loads(self, loads: int, now: float) -> None:
        """Ends the reservation of loads whose order was sent.

        Args:
            loads: Number of reserved loads.
            now: Current time in seconds.
        """
        # The refill comes first, because until now the loads still counted against the burst.
        self.refill(now)
        self.reserved -= loads

    def return_loads(self, loads: int, now: float) -> None:
        """Returns the tokens of reserved loads whose order is not sent.

        Args:
            loads: Number of reserved loads.
            now: Current time in seconds.
        """
        self.refill(now)
        self.reserved -= loads
        self.tokens += loads


class Order:
    """An order that is planned or sent and whose result is not known yet.

    Attributes:
        wanted_models: All triples that the engine must have ready.
        models_to_load: Those that it must load, reserved in the budget.
        role: The wanted role.
        bundle: The bundle that the order implements.
        fence: Its fence, or None until the log has issued one.
        fence_requested_at: Time in seconds of the last request for the fence.
        sent_at: Time in seconds at which it was sent, or None.
        accepted: Whether the engine accepted it.
    """

    __slots__ = (
        "wanted_models",
        "models_to_load",
        "role",
        "bundle",
        "fence",
        "fence_requested_at",
        "sent_at",
        "accepted",
    )

    def __init__(self, wanted_models, models_to_load, role, bundle, now):
        self.wanted_models = wanted_models
        self.models_to_load = models_to_load
        self.role = role
        self.bundle = bundle
        self.fence = None
        self.fence_requested_at = now
        self.sent_at = None
        self.accepted = False


class Engine:
    """Reported state of one engine, and the order to it.

    Attributes:
        report: The last `EngineReport`.
        report_not_before: Time in seconds; the report was made then or later.
        report_arrived_at: Time in seconds at which the report arrived.
        loading: Triples being loaded, as the last read-back showed.
        state_not_before: `report_not_before` of the last read-back.
        read_back_requested_at: Time in seconds of the last request for a read-back.
        order: The current `Order`, or None.
        highest_fence: Highest fence used for this engine.
    """

    __slots__ = (
        "report",
        "report_not_before",
        "report_arrived_at",
        "loading",
        "state_not_before",
        "read_back_requested_at",
        "order",
        "highest_fence",
    )

    def __init__(self):
        self.report = None
        self.report_not_before = -math.inf
        self.report_arrived_at = 0.0
        self.loading = ()
        self.state_not_before = -math.inf
        self.read_back_requested_at = -math.inf
        self.order = None
        self.highest_fence = (0, 0)

    def is_present(self, now: float) -> bool:
        """Returns whether the engine has a recent report and is not about to stop."""
        return self.report.ready and now - self.report_not_before < MAX_REPORT_AGE_SECONDS

    def differs_from(self, wanted_models, role) -> bool:
        """Returns whether the engine has other models ready, or another role."""
        return set(self.report.loaded) != set(wanted_models) or self.report.role != role


class Planner:
    """State machine that plans the orders to engines.

    Attributes:
        budget: The `LoadBudget`.
        bundle: The `bundles.Bundle` in force, or None.
        bundle_received_at: Time in seconds at which it arrived.
        engine_by_id: `Engine` by engine id.
        leading_since: Time in seconds since which this process leads, or None.
        predecessor_lease_end: Time in seconds before which the previous leader may send orders.
        confirmed_until: Time in seconds up to which the leadership is confirmed.
    """

    __slots__ = (
        "budget",
        "bundle",
        "bundle_received_at",
        "engine_by_id",
        "leading_since",
        "predecessor_lease_end",
        "confirmed_until",
    )

    def __init__(self, budget: LoadBudget):
        self.budget = budget
        self.bundle = None
        self.bundle_received_at = 0.0
        self.engine_by_id = {}
        self.leading_since = None
        self.predecessor_lease_end = 0.0
        self.confirmed_until = 0.0

    def handle(self, event, now: float) -> list:
        """Processes one event at a time `now` in seconds and returns a list of actions."""
        kind = type(event)
        if kind is BundleInForce:
            self.bundle = event.bundle
            self.bundle_received_at = now
        elif kind is EngineReport:
            self.handle_report(event, now)
        elif kind is LeadershipGained:
            self.leading_since = now
            self.predecessor_lease_end = event.predecessor_lease_end
            self.confirmed_until = 0.0
            self.budget.empty(now)
            # Another leader may since have changed what this process read or ordered in an earlier
            # term.
            for engine in self.engine_by_id.values():
                engine.order = None
                engine.state_not_before = engine.read_back_requested_at = -math.inf
        elif kind is LeadershipConfirmed:
            self.confirmed_until = event.until
        elif kind is LeadershipLost:
            self.leading_since = None
            for engine in self.engine_by_id.values():
                engine.order = None
        elif kind is FenceGranted:
            return self.handle_fence(event)
        elif kind is OrderAnswered:
            return self.handle_answer(event)
        elif kind is Tick and self.leading_since is not None:
            return self.plan_actions(now)
        return []

    def handle_report(self, event, now) -> None:
        """Stores a report unless a newer one is stored, and ends an order whose result it shows."""
        engine = self.engine_by_id.setdefault(event.engine, Engine())
        report_not_before = now - event.age
        if report_not_before <= engine.report_not_before + REPORT_TIME_TOLERANCE_SECONDS:
            # The notice that an engine is about to stop may arrive with an older time than the last
            # report.
            if not event.ready:
                engine.report.ready = False
            return
        engine.report = event
        engine.report_not_before = report_not_before
        engine.report_arrived_at = now
        if event.loading is not None:
            engine.loading = event.loading
            engine.state_not_before = report_not_before
        else:
            engine.loading = tuple(each for each in engine.loading if each not in event.loaded)
        order = engine.order
        # A report from before the order was sent does not show its result.
        if order is None or order.sent_at is None or report_not_before < order.sent_at:
            return
        if not engine.differs_from(order.wanted_models, order.role):
            engine.order = None
            return
        if event.loading is None:
            return
        present_models = set(event.loaded) | set(event.loading)
        if set(order.wanted_models) == present_models and order.role == event.role:
            return
        # An order without an answer may still arrive at the engine until its timeout.
        if order.accepted or now >= order.sent_at + ORDER_TIMEOUT_SECONDS:
            engine.order = None

    def handle_fence(self, event) -> list:
        """Stores the fence of a planned order if it is above all fences used for the engine."""
        engine = self.engine_by_id.get(event.engine)
        if engine is None or engine.order is None or engine.order.sent_at is not None:
            return []
        if event.fence > engine.highest_fence:
            engine.order.fence = engine.highest_fence = event.fence
        return []

    def handle_answer(self, event) -> list:
        """Returns a read-back after the answer to an order; drops the order if it was refused."""
        engine = self.engine_by_id.get(event.engine)
        if engine is None or engine.order is None or engine.order.fence != event.fence:
            return []
        engine.order.accepted = event.accepted
        if not event.accepted:
            engine.order = None
            # A refusal shows that the order was based on an outdated state. The next order is
            # planned after a read-back.
            engine.state_not_before = -math.inf
        return [ReadBack(event.engine)]

    def plan_actions(self, now: float) -> list:
        """Returns the actions that are due: requests of fences, orders to send and read-backs."""
        if self.bundle is None:
            return []
        for engine_id in [
            engine_id
            for engine_id, engine in self.engine_by_id.items()
            if now - engine.report_arrived_at >= ABSENCE_GRACE_SECONDS + MAX_REPORT_DELAY_SECONDS
        ]:
            order = self.engine_by_id.pop(engine_id).order
            if order is not None and order.sent_at is None:
                self.budget.return_loads(len(order.models_to_load), now)
        actions = self.send_orders(now)
        if now - self.leading_since < ABSENCE_GRACE_SECONDS:
            return actions
        desired_by_engine_id = self.assign_models()
        for engine_id in self.sort_by_urgency(desired_by_engine_id, now):
            engine = self.engine_by_id[engine_id]
            _, desired_models, role = desired_by_engine_id[engine_id]
            # An absent engine is sent no order, because it may come back with its models.
            if engine.order is not None or not engine.is_present(now):
                continue
            retained = self.retained_models(engine_id, desired_by_engine_id, now)
            unwanted_loading = set(engine.loading) - set(desired_models)
            if not engine.differs_from((*desired_models, *retained), role) and not unwanted_loading:
                continue
            if now - engine.state_not_before > MAX_STATE_AGE_SECONDS:
                if now >= engine.read_back_requested_at + READ_BACK_INTERVAL_SECONDS:
                    engine.read_back_requested_at = now
                    actions.append(ReadBack(engine_id))
                continue
            present_models = set(engine.report.loaded) | set(engine.loading)
            models_to_load = []
            for triple in desired_models:
                if triple not in present_models and self.budget.reserve_load(now):
                    models_to_load.append(triple)
            wanted_models = tuple(
                triple
                for triple in desired_models
                if triple in present_models or triple in models_to_load
            )
            wanted_models += retained
            # No order is needed if the engine only waits for the budget or for loads in progress.
            if present_models == set(wanted_models) and role == engine.report.role:
                continue
            engine.order = Order(wanted_models, tuple(models_to_load), role, self.bundle, now)
            actions.append(RequestFence(engine_id))
        return actions

    def send_orders(self, now: float) -> list:
        """Returns the actions to send fenced orders and to read back engines without an answer.

        Orders that are outdated are dropped.
        """
        actions = []
        needs_confirmation = False
        for engine_id, engine in self.engine_by_id.items():
            order = engine.order
            if order is None:
                continue
            if order.sent_at is not None:
                is_overdue = now >= order.sent_at + ORDER_TIMEOUT_SECONDS
                if is_overdue and now >= engine.read_back_requested_at + READ_BACK_INTERVAL_SECONDS:
                    engine.read_back_requested_at = now
                    actions.append(ReadBack(engine_id))
                continue
            if self.is_outdated(engine, now):
                self.budget.return_loads(len(order.models_to_load), now)
                engine.order = None
                continue
            # The request is repeated, because its command may have been lost.
            if order.fence is None:
                if now >= order.fence_requested_at + FENCE_TIMEOUT_SECONDS:
                    order.fence_requested_at = now
                    actions.append(RequestFence(engine_id))
                continue
            send_before = None
            if not engine.report.honours_fencing:
                if now < self.predecessor_lease_end:
                    continue
                if now >= self.confirmed_until:
                    needs_confirmation = True
                    continue
                send_before = self.confirmed_until
            order.sent_at = now
            self.budget.spend_loads(len(order.models_to_load), now)
            actions.append(
                SendOrder(engine_id, order.fence, order.wanted_models, order.role, send_before)
            )
        if needs_confirmation:
            actions.append(ConfirmLeadership())
        return actions

    def is_outdated(self, engine, now) -> bool:
        """Returns whether an unsent order no longer fits the bundle or the engine's state."""
        order = engine.order
        if order.bundle is not self.bundle or not engine.is_present(now):
            return True
        # If the engine has lost models since, the order would load more than was reserved.
        present_models = set(engine.report.loaded) | set(engine.loading)
        return bool(set(order.wanted_models) - present_models - set(order.models_to_load))

    def retained_models(self, engine_id, desired_by_engine_id, now) -> tuple:
        """Returns the loaded triples that an engine must keep in addition to its desired ones."""
        engine = self.engine_by_id[engine_id]
        model, desired_models, _ = desired_by_engine_id[engine_id]
        is_incomplete = not set(desired_models) <= set(engine.report.loaded)
        triples_by_model = {name: triples for name, triples, _ in desired_by_engine_id.values()}
        retained = []
        for triple in engine.report.loaded:
            if triple in desired_models:
                continue
            if triple in triples_by_model.get(triple[0], ()):
                # Running generations finish here in any case. The model stays until another engine
                # can serve new ones.
                is_needed = not any(
                    other_id != engine_id
                    and desired_by_engine_id[other_id][0] == triple[0]
                    and self.engine_by_id[other_id].is_present(now)
                    and triple in self.engine_by_id[other_id].report.loaded
                    for other_id in desired_by_engine_id
                )
            else:
                # Gateways admit requests by the previous bundle for a while. A generation that is
                # pinned to a previous version can be resumed only where that version is ready.
                is_needed = (
                    now < self.bundle_received_at + ABSENCE_GRACE_SECONDS
                    or (is_incomplete and triple[0] == model)
                    or any(triple in other.report.running for other in self.engine_by_id.values())
                )
            if is_needed:
                retained.append(triple)
        return tuple(retained)

    def sort_by_urgency(self, desired_by_engine_id, now) -> list:
        """Returns the engine ids; those of models with the fewest engines come first."""
        engine_count_by_model = {}
        incomplete_ids = []
        for engine_id in sorted(desired_by_engine_id):
            engine = self.engine_by_id[engine_id]
            name, desired_models, _ = desired_by_engine_id[engine_id]
            present_models = set(engine.report.loaded) | set(engine.loading)
            if engine.order is not None:
                present_models |= set(engine.order.models_to_load)
            # An absent engine serves no requests, so it does not count, although its models are not
            # loaded on other engines.
            if engine.is_present(now) and present_models & set(desired_models):
                engine_count_by_model[name] = engine_count_by_model.get(name, 0) + 1
            if not set(desired_models) <= set(engine.report.loaded):
                incomplete_ids.append(engine_id)
        rank_by_id = {}
        for engine_id in incomplete_ids:
            name = desired_by_engine_id[engine_id][0]
            rank_by_id[engine_id] = engine_count_by_model.get(name, 0)
            # The second engine of a model comes after the first one of every other model.
            engine_count_by_model[name] = engine_count_by_model.get(name, 0) + 1
        return sorted(
            desired_by_engine_id,
            key=lambda engine_id: (rank_by_id.get(engine_id, math.inf), engine_id),
        )

    def held_model_names(self, engine) -> list:
        """Returns the names of models that an engine is ordered to load, loads or has loaded."""
        held_names = (
            [triple[0] for triple in engine.order.models_to_load]
            if engine.order is not None
            else []
        )
        held_names += [triple[0] for triple in engine.loading]
        held_names += [triple[0] for triple in engine.report.loaded]
        return held_names

    def assign_models(self) -> dict:
        """Returns (model name, desired triples, role) by engine id.

        An engine keeps a model that it has.
        """
        triples_by_model = {
            model.name: model_triples(self.bundle, model) for model in self.bundle.models
        }
        model_by_name = {model.name: model for model in self.bundle.models}
        engine_ids_by_model = {model.name: [] for model in self.bundle.models}
        unassigned_ids = []
        for engine_id in sorted(self.engine_by_id):
            engine = self.engine_by_id[engine_id]
            if not engine.report.ready:
                continue
            for name in self.held_model_names(engine):
                model = model_by_name.get(name)
                if model is not None and len(engine_ids_by_model[name]) < model.engines:
                    engine_ids_by_model[name].append(engine_id)
                    break
            else:
                unassigned_ids.append(engine_id)
        while unassigned_ids:
            incomplete_models = [
                model
                for model in self.bundle.models
                if len(engine_ids_by_model[model.name]) < model.engines
            ]
            if not incomplete_models:
                break
            least_covered = min(
                incomplete_models, key=lambda model: len(engine_ids_by_model[model.name])
            )
            engine_ids_by_model[least_covered.name].append(unassigned_ids.pop(0))
        self.reassign_engines(engine_ids_by_model)
        desired_by_engine_id = {}
        for model in self.bundle.models:
            # Engines with the role `prefill` keep it, so that a new engine does not change the role
            # of another one.
            engine_ids = sorted(
                engine_ids_by_model[model.name],
                key=lambda engine_id: (
                    self.engine_by_id[engine_id].report.role != "prefill",
                    engine_id,
                ),
            )
            for position, engine_id in enumerate(engine_ids):
                role = "prefill" if position < model.prefill_engines else "mixed"
                desired_by_engine_id[engine_id] = (model.name, triples_by_model[model.name], role)
        return desired_by_engine_id

    def reassign_engines(self, engine_ids_by_model) -> None:
        """Moves engines from models that have several to models that have none."""
        for model in self.bundle.models:
            if model.engines == 0 or engine_ids_by_model[model.name]:
                continue
            largest_model = max(
                engine_ids_by_model, key=lambda name: len(engine_ids_by_model[name])
            )
            if len(engine_ids_by_model[largest_model]) < 2:
                return
            # An engine that already has the model is preferred, because it need not load it.
            moved_id = max(
                engine_ids_by_model[largest_model],
                key=lambda engine_id: (
                    model.name in self.held_model_names(self.engine_by_id[engine_id]),
                    engine_id,
                ),
            )
            engine_ids_by_model[largest_model].remove(moved_id)
            engine_ids_by_model[model.name].append(moved_id)


def model_triples(bundle: bundles.Bundle, model: bundles.Model) -> tuple:
    """Returns the (model, adapter, version) triples that the services of a model use."""
    triples = set()
    for service in bundle.services:
        if service.model == model.name:
            triples.add((model.name, service.adapter, service.version))
    return tuple(sorted(triples))
