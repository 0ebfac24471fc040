"""Admission of short calls to a service whose targets have too little room.

A gateway learns from the loads and the rejections in responses that all targets of a service are
full. From then on its calls need grants, as for targets that name a limit. The issuer of the grants
learns the rate of each target: it raises or lowers it until few requests wait there.
"""

import collections
import random

from chiveswitch.core import quota

# Share of a route's latency objective that a response of a full target is expected to take at
# least. The rest covers the variation of work times and the way to the caller.
FULL_OBJECTIVE_SHARE = 0.35
# Time in seconds for which a response counts as a statement about the target's room.
FULL_SECONDS = 1.0
# Time in seconds without a sign of pressure after which calls need no grants any more.
HOLD_SECONDS = 2.0
# Work time that is assumed before one was measured, as a share of the latency objective.
# Least expected time of work in seconds, also for routes without a latency objective.
MIN_WORK_SECONDS = 0.001
ASSUMED_WORK_SHARE = 0.2
# Weight of the newest measurement in the average of a service's work times, and bound of it as a
# multiple of that average: some responses are late for causes other than work.
WORK_GAIN = 0.1
MAX_WORK_FACTOR = 2.0
# Largest work time as a share of the latency objective. A longer one leaves calls no time to wait.
MAX_WORK_SHARE = 0.3
# Multiple of the work time that is left of the objective when a waiting call is sent.
WORK_MARGIN = 2.0
# Share of the latency objective, and of the remaining time, for which a call waits for a grant.
WAIT_SHARE = 0.5
# Share of the time until the caller's deadline after which it returns at the latest. Callers do not
# wait longer.
MAX_RETURN_SHARE = 1 / 3
# Least time in seconds until a deadline that is assumed when a caller is told to return.
MIN_LEFT_SECONDS = 0.1
# Limit of the services and targets that are remembered.
MAX_ENTRIES = 4096

# Requests that wait at a target under grants, as a share of its slots. Fewer would leave slots
# without work now and then.
WAITING_GOAL_SHARE = 0.5
# Time in seconds, and multiple of the work time, in which the rate of grants corrects a queue that
# is too long or too short. It exceeds the time between a grant and the report of its effect.
CORRECTION_SECONDS = 0.3
CORRECTION_WORK_FACTOR = 2.0
# Bounds of the learned rate as multiples of the rate at which the usual work time fills the slots.
MIN_RATE_FACTOR = 0.1
MAX_RATE_FACTOR = 4.0
# Weight of a gateway's newest statement in the average of that usual rate.
USUAL_RATE_GAIN = 0.02
# Oldest load in seconds that the issuer takes into account.
MAX_LOAD_AGE_SECONDS = 0.5
# Idle time in seconds of a target whose unused grants are issued at once later.
BURST_SECONDS = 0.05
# The same for a gateway without an issuer, whose share is a few requests a second.
SHARE_BURST_SECONDS = 0.5
# Share of the longest wait that is left to a call that was refused before. Its objective has passed
# or is about to, so that it gets the grants that others leave.
RETURN_WAIT_SHARE = 0.25
# Time in seconds after a refusal in which the same call counts as one that returns.
RETURN_SECONDS = 5.0
# Rates that have not been used for this long are dropped.
IDLE_SECONDS = 30.0


class Load:
    """What a response said about the room of a target.

    Attributes:
        target_id: Id of the target.
        running: Number of requests that it runs.
        waiting: Number of requests that wait there.
        slots: Number of requests that it runs at the same time.
        at: Time of the response in seconds of the process's clock.
    """

    __slots__ = ("target_id", "running", "waiting", "slots", "at")

    def __init__(self, target_id: str, running: int, waiting: int, slots: int, at: float):
        self.target_id = target_id
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.at = at


class _ServicePressure:
    """What a gateway knows of one service.

    Attributes:
        work_s: Average time in seconds that a target works on a call, 0 if unknown.
        pressed_since: Time at which calls began to need grants, or None.
        pressed_until: Time until which they do.
    """

    __slots__ = ("work_s", "pressed_since", "pressed_until")

    def __init__(self):
        self.work_s = 0.0
        self.pressed_since = None
        self.pressed_until = 0.0


class PressureTable:
    """Knowledge of one gateway about services whose targets are full.

    Attributes:
        on_changed: Called with (event, service, seconds) when calls begin to need grants
            ("learned") or need none any more ("lifted", with the time for which they did).
    """

    __slots__ = ("on_changed", "_pressure_by_service", "_full_at_by_target", "_load_by_target")

    def __init__(self, on_changed=None):
        self.on_changed = on_changed or (lambda event, service, seconds: None)
        self._pressure_by_service = {}
        self._full_at_by_target = {}
        self._load_by_target = {}

    def record_response(
        self,
        service: str,
        load: Load,
        is_rejected: bool,
        took_s: float | None,
        objective_s: float,
    ):
        """Learns from a response of a target.

        Args:
            service: Service of the target.
            load: The `Load` at the time of the response.
            is_rejected: Whether the target had no room for the request.
            took_s: Response time in seconds if the request succeeded, else None.
            objective_s: Latency objective of the request in seconds.
        """
        pressure = self._find_or_add(service)
        # Calls wait at full targets before they are worked on.
        if took_s is not None and not load.waiting and pressure.pressed_since is None:
            known_s = self.work_s(service, objective_s)
            pressure.work_s = known_s + (
                WORK_GAIN * (min(took_s, MAX_WORK_FACTOR * known_s) - known_s)
            )
        if len(self._load_by_target) >= MAX_ENTRIES and load.target_id not in self._load_by_target:
            self.forget(next(iter(self._load_by_target)))
        self._load_by_target[load.target_id] = load
        work_s = self.work_s(service, objective_s)
        expected_s = work_s * (1 + (load.waiting + 1) / max(1, load.slots))
        is_slow = load.waiting and expected_s > FULL_OBJECTIVE_SHARE * objective_s
        if not is_rejected and not is_slow:
            self._full_at_by_target.pop(load.target_id, None)
            return
        self._full_at_by_target[load.target_id] = load.at
        if pressure.pressed_since is not None:
            pressure.pressed_until = max(pressure.pressed_until, load.at + HOLD_SECONDS)

    def is_pressed(self, service: str, target_ids: list, now: float) -> bool:
        """Returns whether calls to a service need grants now.

        Args:
            service: Name of the service.
            target_ids: Ids of the targets that could get the call.
            now: Current time in seconds.
        """
        pressure = self._pressure_by_service.get(service)
        if pressure is None:
            return False
        self._lift_if_over(service, pressure, now)
        if pressure.pressed_since is not None:
            return True
        for target_id in target_ids:
            if now - self._full_at_by_target.get(target_id, -FULL_SECONDS) >= FULL_SECONDS:
                return False
        if not target_ids:
            return False
        pressure.pressed_since = now
        pressure.pressed_until = now + HOLD_SECONDS
        self.on_changed("learned", service, 0.0)
        return True

    def record_shortage(self, service: str, now: float):
        """Records that a call had to wait for its grant or got none."""
        pressure = self._find_or_add(service)
        pressure.pressed_until = max(pressure.pressed_until, now + HOLD_SECONDS)

    def work_s(self, service: str, objective_s: float) -> float:
        """Returns the time in seconds that a target is expected to work on a call."""
        pressure = self._pressure_by_service.get(service)
        known_s = pressure.work_s if pressure is not None else 0.0
        expected_s = min(known_s or ASSUMED_WORK_SHARE * objective_s, MAX_WORK_SHARE * objective_s)
        return max(MIN_WORK_SECONDS, expected_s)

    def max_wait_s(self, service, objective_s: float, waited_s: float, remaining_s: float) -> float:
        """Returns how long a call may wait for a grant so that its objective can still be met.

        Args:
            service: Name of the service.
            objective_s: Latency objective of the call in seconds.
            waited_s: Seconds since the call arrived.
            remaining_s: Seconds until its deadline.
        """
        left_s = objective_s - waited_s - WORK_MARGIN * self.work_s(service, objective_s)
        return max(0.0, min(left_s, WAIT_SHARE * objective_s, WAIT_SHARE * remaining_s))

    def load_of(self, target_id: str, now: float) -> Load | None:
        """Returns the last load of a target if the issuer can still use it."""
        load = self._load_by_target.get(target_id)
        return load if load is not None and now - load.at < MAX_LOAD_AGE_SECONDS else None

    def count_pressed(self) -> int:
        """Returns the number of services whose calls need grants."""
        return sum(each.pressed_since is not None for each in self._pressure_by_service.values())

    def forget(self, target_id: str):
        """Forgets a target that has left."""
        self._full_at_by_target.pop(target_id, None)
        self._load_by_target.pop(target_id, None)

    def sweep(self, now: float):
        """Ends what no sign of pressure has confirmed, and forgets old loads."""
        for service, pressure in self._pressure_by_service.items():
            self._lift_if_over(service, pressure, now)
        for target_id, load in list(self._load_by_target.items()):
            if now - load.at > IDLE_SECONDS:
                self.forget(target_id)

    def _find_or_add(self, service):
        pressure = self._pressure_by_service.get(service)
        if pressure is None:
            if len(self._pressure_by_service) >= MAX_ENTRIES:
                del self._pressure_by_service[next(iter(self._pressure_by_service))]
            pressure = self._pressure_by_service[service] = _ServicePressure()
        return pressure

    def _lift_if_over(self, service, pressure, now):
        if pressure.pressed_since is None or now < pressure.pressed_until:
            return
        seconds = now - pressure.pressed_since
        pressure.pressed_since = None
        self.on_changed("lifted", service, seconds)


def limit_return_s(retry_after_s: float, left_s: float, rng: random.Random) -> float:
    """Returns the seconds after which a refused caller is told to return.

    An overload lasts longer than callers wait, so that a later return has a better chance. Returns
    are spread over the second half of the time within which callers return at all, but none is told
    to return before the issuer expects room.

    Args:
        retry_after_s: Seconds after which the issuer expects room.
        left_s: Seconds until the caller's deadline.
        rng: Random source.
    """
    latest_s = MAX_RETURN_SHARE * max(left_s, MIN_LEFT_SECONDS)
    return rng.uniform(min(max(retry_after_s, latest_s / 2), latest_s), latest_s)


class _LearnedRate:
    """Rate of the grants of one target.

    Attributes:
        usual: Requests per second at which the usual work time fills the slots, as gateways say.
        base: Rate at which the number of waiting requests would not change, as learned so far.
        load: The latest `Load`, or None.
        is_short: Whether a request was delayed or refused since then.
        used_at: Time of the last request.
    """

    __slots__ = ("usual", "base", "load", "is_short", "used_at")

    def __init__(self, usual):
        self.usual = self.base = usual
        self.load = None
        self.is_short = False
        self.used_at = 0.0

    def observe(self, load):
        """Adapts the rate to a load that is later than the known ones."""
        previous, self.load = self.load, load
        if previous is None:
            return
        error = self._error()
        # A rate that nobody has used up shows nothing about the room for more.
        if error > 0 and not self.is_short:
            return
        self.is_short = False
        elapsed_s = min(load.at - previous.at, MAX_LOAD_AGE_SECONDS)
        # A long queue says more about calls that came without grants than about the target.
        error = max(error, -WAITING_GOAL_SHARE * load.slots)
        correction_s = self._correction_s()
        self.base = self._bound(self.base + error * elapsed_s / (2 * correction_s) ** 2)

    def rate(self, now):
        """Returns the requests per second for which grants are issued now."""
        if self.load is None or now - self.load.at > FULL_SECONDS:
            return self.base
        return self._bound(self.base + self._error() / self._correction_s())

    def _error(self):
        load = self.load
        return load.slots * (1 + WAITING_GOAL_SHARE) - load.running - load.waiting

    def _correction_s(self):
        work_s = (self.load.slots if self.load is not None else 1) / self.usual
        return max(CORRECTION_SECONDS, CORRECTION_WORK_FACTOR * work_s)

    def _bound(self, rate):
        return min(max(rate, MIN_RATE_FACTOR * self.usual), MAX_RATE_FACTOR * self.usual)


class OverloadIssuer:
    """Issues the grants of targets that are full, at rates that it learns from their loads."""

    __slots__ = ("_issuer", "_rate_by_target", "_refused_at_by_key")

    def __init__(self, rng: random.Random, burst_s: float = BURST_SECONDS):
        self._issuer = quota.QuotaIssuer(rng, burst_s=burst_s)
        self._rate_by_target = {}
        self._refused_at_by_key = collections.OrderedDict()

    def set_share(self, share: float):
        """Sets the share of all grants that this issuer issues."""
        self._issuer.share = share

    def observe(self, loads: list, now: float):
        """Learns from loads that gateways have got with responses.

        Args:
            loads: List of `Load`.
            now: Current time in seconds.
        """
        for load in loads:
            learned = self._rate_by_target.get(load.target_id)
            if learned is None or now - load.at > MAX_LOAD_AGE_SECONDS:
                continue
            if learned.load is None or load.at > learned.load.at:
                learned.observe(load)

    def request(self, service: str, request: quota.QuotaRequest, now: float) -> quota.QuotaGrant:
        """Issues a grant for one of the acceptable targets, or refuses it.

        Args:
            service: Service of the targets.
            request: The `quota.QuotaRequest`. Its rates are those at which the usual work time
                fills the slots.
            now: Current time in seconds.
        """
        self._forget_refusals(now)
        if request.key in self._refused_at_by_key:
            request.max_wait_s *= RETURN_WAIT_SHARE
        rates = []
        for target_id, usual in request.rate_by_target.items():
            usual = max(usual, 1 / quota.TRIAL_SECONDS)
            learned = self._rate_by_target.get(target_id)
            if learned is None:
                learned = self._rate_by_target[target_id] = _LearnedRate(usual)
            learned.usual += (usual - learned.usual) * USUAL_RATE_GAIN
            learned.used_at = now
            request.rate_by_target[target_id] = learned.rate(now)
            rates.append(learned)
        grant = self._issuer.request(service, request, now)
        if not grant.target_id or grant.delay_s > 0:
            for learned in rates:
                learned.is_short = True
        if not grant.target_id and request.key:
            self._refused_at_by_key.setdefault(request.key, now)
        return grant

    def rates_in_use(self, now: float) -> dict:
        """Returns (requests per second, last `Load` or None) by target of recent requests."""
        return {
            target_id: (learned.rate(now), learned.load)
            for target_id, learned in self._rate_by_target.items()
            if now - learned.used_at < FULL_SECONDS
        }

    def sweep(self, now: float):
        """Drops the rates and counts that have not been used lately."""
        self._issuer.sweep(now)
        self._forget_refusals(now)
        for target_id, learned in list(self._rate_by_target.items()):
            if now - learned.used_at > IDLE_SECONDS:
                del self._rate_by_target[target_id]

    def _forget_refusals(self, now):
        refused = self._refused_at_by_key
        while refused:
            refused_at = next(iter(refused.values()))
            if len(refused) <= MAX_ENTRIES and now - refused_at < RETURN_SECONDS:
                return
            refused.popitem(last=False)
