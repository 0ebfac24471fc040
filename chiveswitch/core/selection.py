"""The choice of a target for one attempt: a registry of policies over the directory's entries."""

import collections

import expression

from chiveswitch.core import codes

# Scores closer than this count as equal, so that the zone decides.
TIE = 0.02
# Score by which a warm prefix makes a target look less loaded.
WARM_BONUS = 0.25
# No bonus from this score on, so that a popular prefix cannot fill one target.
WARM_LIMIT = 0.75

POLICY_BY_NAME = {}


def policy(name: str):
    """Returns a decorator that registers `function(entries, need, sends, random) -> entry`."""

    def register(function):
        POLICY_BY_NAME[name] = function
        return function

    return register


class Need:
    """What an attempt needs from a target.

    Attributes:
        model: (model, adapter, version), or None for a service call.
        service: Name of a plain service, or None for a generation.
        role: Required role of an engine, or empty.
        availability_zone: Zone of the gateway.
        warm_prefixes: Digests of prefixes that the attempt could reuse.
        exclude: Ids of targets that must not be chosen.
        avoid_zones: Zones that just lost a target; used only if no other zone has a target.
    """

    __slots__ = (
        "model",
        "service",
        "role",
        "availability_zone",
        "warm_prefixes",
        "exclude",
        "avoid_zones",
    )

    def __init__(
        self,
        availability_zone,
        model=None,
        service=None,
        role="",
        warm_prefixes=(),
        exclude=(),
        avoid_zones=(),
    ):
        self.availability_zone = availability_zone
        self.model = model
        self.service = service
        self.role = role
        self.warm_prefixes = warm_prefixes
        self.exclude = exclude
        self.avoid_zones = avoid_zones


class Sends:
    """The gateway's own sends to targets which their reports may not show yet."""

    __slots__ = ("_steps_by_target",)

    def __init__(self):
        self._steps_by_target = {}

    def sent(self, entry, now: float):
        """Notes that an attempt was sent to a target."""
        self._note(entry, now, 1)

    def finished(self, entry, now: float):
        """Notes that an attempt ended. The entry is the one that `sent` was called with."""
        self._note(entry, now, -1)

    def since_report(self, entry) -> int:
        """Returns sends minus ends that are later than the bound of the report's age.

        The report may already show some of them. Counting these twice makes a target look more
        loaded for one report interval; leaving them out would let a burst go to one target.
        """
        key = (entry.description.id, entry.description.incarnation)
        steps = self._steps_by_target.get(key)
        if steps is None:
            return 0
        while steps and steps[0][0] <= entry.created_after:
            steps.popleft()
        if not steps:
            del self._steps_by_target[key]
        return sum(step for _, step in steps)

    def forget_before(self, time: float):
        """Drops everything noted before a time, which bounds memory for targets that are gone."""
        for key, steps in list(self._steps_by_target.items()):
            while steps and steps[0][0] < time:
                steps.popleft()
            if not steps:
                del self._steps_by_target[key]

    def _note(self, entry, now, step):
        key = (entry.description.id, entry.description.incarnation)
        self._steps_by_target.setdefault(key, collections.deque()).append((now, step))


def score(entry, sends: Sends) -> float:
    """Returns the estimated load of a target relative to its capacity."""
    load = entry.running + entry.queued + sends.since_report(entry)
    return max(0, load) / entry.description.capacity


def choose(entries, need: Need, sends: Sends, random, policy_name: str = "least_loaded"):
    """Chooses a target.

    Args:
        entries: Result of `Directory.usable_targets` at this moment.
        need: What the attempt needs.
        sends: The gateway's own sends. The caller notes the choice there when it sends.
        random: A `random.Random`.
        policy_name: A name in `POLICY_BY_NAME`.

    Returns:
        `Ok` with the chosen entry, or NO_TARGET.
    """
    fitting = [entry for entry in entries if _fits(entry, need)]
    if not fitting:
        return codes.failure(codes.Code.NO_TARGET, "No ready target fits the request.")
    preferred = [e for e in fitting if e.description.availability_zone not in need.avoid_zones]
    chosen = POLICY_BY_NAME[policy_name](preferred or fitting, need, sends, random)
    return expression.Ok(chosen)


@policy("least_loaded")
def least_loaded(entries, need, sends, random):
    """Two random targets and the least loaded warm one; the lowest score of these wins.

    With lagging reports, gateways that all took the lowest score would herd onto one target.
    """
    drawn = random.sample(entries, min(2, len(entries)))
    scored = [(score(entry, sends), entry) for entry in drawn]
    warm = [entry for entry in entries if _is_warm(entry, need)]
    if warm:
        # Also at random from two, for the same reason.
        scored += [(score(entry, sends), entry) for entry in random.sample(warm, min(2, len(warm)))]
    best_value, best = None, None
    for value, entry in scored:
        if value < WARM_LIMIT and _is_warm(entry, need):
            value -= WARM_BONUS
        if best is not None and value > best_value + TIE:
            continue
        if best is not None and value > best_value - TIE and not _is_nearer(entry, best, need):
            continue
        best_value, best = value, entry
    return best


@policy("first_listed")
def first_listed(entries, need, sends, random):
    """The first target by id; a baseline for comparison."""
    return min(entries, key=lambda entry: entry.description.id)


@policy("least_reported")
def least_reported(entries, need, sends, random):
    """The lowest reported load, without own sends; a baseline for comparison."""
    return min(
        entries,
        key=lambda entry: (
            (entry.running + entry.queued) / entry.description.capacity,
            entry.description.id,
        ),
    )


def _fits(entry, need):
    description = entry.description
    if description.id in need.exclude:
        return False
    if need.service is not None:
        return description.kind == "service" and need.service in description.services
    if description.kind != "engine" or need.model not in description.models:
        return False
    return not need.role or description.role == need.role


def _is_warm(entry, need):
    return any(prefix in entry.description.warm_prefixes for prefix in need.warm_prefixes)


def _is_nearer(entry, other, need):
    near = entry.description.availability_zone == need.availability_zone
    return near and other.description.availability_zone != need.availability_zone
