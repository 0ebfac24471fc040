"""Selection of the target for an attempt, by policies that compare entries of the directory."""

import collections

import expression

from chiveswitch.core import codes

# Load scores that differ by less than this count as equal; then the target in the gateway's own
# zone is preferred.
SCORE_TIE_TOLERANCE = 0.02
# Amount that a cached prompt prefix takes off a target's load score.
WARM_PREFIX_BONUS = 0.25
# A target with this load score or a higher one gets no bonus, so that a popular prefix cannot
# overload one target.
WARM_PREFIX_MAX_SCORE = 0.75

POLICY_BY_NAME = {}


def register_policy(name: str):
    """Returns a decorator that registers a policy under a name.

    A policy is a function (entries, requirements, tracker, random) that returns one of the entries.
    """

    def register(function):
        POLICY_BY_NAME[name] = function
        return function

    return register


class TargetRequirements:
    """Requirements and preferences of an attempt for its target.

    Attributes:
        model: Tuple (model, adapter, version), or None for a service call.
        service: Name of a plain service, or None for a generation.
        role: Required role of an engine, or empty.
        availability_zone: Zone of the gateway, which is preferred when loads are equal.
        warm_prefixes: Digests of prompt prefixes that the attempt can reuse if they are cached.
        exclude: Ids of targets that must not be chosen.
        avoid_zones: Zones that recently lost a target; used only if no other zone has a target.
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


class SendTracker:
    """Counts the gateway's own attempts that the load reports of targets may not include yet."""

    __slots__ = ("_changes_by_target",)

    def __init__(self):
        self._changes_by_target = {}

    def record_send(self, entry, now: float):
        """Counts an attempt that was sent to the target of a directory entry."""
        self._record_change(entry, now, 1)

    def record_end(self, entry, now: float):
        """Counts the end of an attempt; `entry` is the one that `record_send` was called with."""
        self._record_change(entry, now, -1)

    def unreported_count(self, entry) -> int:
        """Returns the sends minus the ends since the earliest time the report may be from.

        The report may already include some of them. Counting these twice makes a target look more
        loaded for one report interval; leaving them out would let a burst go to one target.
        """
        key = (entry.description.id, entry.description.incarnation)
        changes = self._changes_by_target.get(key)
        if changes is None:
            return 0
        while changes and changes[0][0] <= entry.created_after:
            changes.popleft()
        if not changes:
            del self._changes_by_target[key]
        return sum(delta for _, delta in changes)

    def forget_before(self, time: float):
        """Drops sends and ends before a time, which bounds memory for targets that are gone."""
        for key, changes in list(self._changes_by_target.items()):
            while changes and changes[0][0] < time:
                changes.popleft()
            if not changes:
                del self._changes_by_target[key]

    def _record_change(self, entry, now, change):
        key = (entry.description.id, entry.description.incarnation)
        self._changes_by_target.setdefault(key, collections.deque()).append((now, change))


def load_score(entry, tracker: SendTracker) -> float:
    """Returns a target's load score: its estimated requests divided by its capacity."""
    load = entry.running + entry.queued + tracker.unreported_count(entry)
    return max(0, load) / entry.description.capacity


def select_target(
    entries,
    requirements: TargetRequirements,
    tracker: SendTracker,
    random,
    policy_name: str = "least_loaded",
):
    """Selects a target for an attempt.

    Args:
        entries: Present result of `Directory.usable_targets`.
        requirements: `TargetRequirements` of the attempt.
        tracker: The gateway's own sends. The caller records the attempt there when it is sent.
        random: A `random.Random`.
        policy_name: A name in `POLICY_BY_NAME`.

    Returns:
        `Ok` with the selected entry, or NO_TARGET.
    """
    fitting = [entry for entry in entries if _fits(entry, requirements)]
    if not fitting:
        return codes.failure(codes.Code.NO_TARGET, "No ready target fits the request.")
    preferred = [
        e for e in fitting if e.description.availability_zone not in requirements.avoid_zones
    ]
    chosen = POLICY_BY_NAME[policy_name](preferred or fitting, requirements, tracker, random)
    return expression.Ok(chosen)


@register_policy("least_loaded")
def least_loaded(entries, requirements, tracker, random):
    """Returns the least loaded of two random targets and up to two random warm ones.

    Reports lag: if all gateways chose the lowest score of all targets, they would send their
    requests to the same target until its next report (herding).
    """
    drawn = random.sample(entries, min(2, len(entries)))
    scored = [(load_score(entry, tracker), entry) for entry in drawn]
    warm = [entry for entry in entries if _is_warm(entry, requirements)]
    if warm:
        # Of the warm targets, too, two are drawn at random to prevent herding.
        scored += [
            (load_score(entry, tracker), entry) for entry in random.sample(warm, min(2, len(warm)))
        ]
    best_value, best = None, None
    for value, entry in scored:
        if value < WARM_PREFIX_MAX_SCORE and _is_warm(entry, requirements):
            value -= WARM_PREFIX_BONUS
        if best is not None and value > best_value + SCORE_TIE_TOLERANCE:
            continue
        if (
            best is not None
            and value > best_value - SCORE_TIE_TOLERANCE
            and not _is_nearer(entry, best, requirements)
        ):
            continue
        best_value, best = value, entry
    return best


@register_policy("first_listed")
def first_listed(entries, requirements, tracker, random):
    """Returns the first target by id; serves as a baseline in comparisons."""
    return min(entries, key=lambda entry: entry.description.id)


@register_policy("least_reported")
def least_reported(entries, requirements, tracker, random):
    """Returns the target with the lowest reported load, without the gateway's own recent sends.

    It serves as a baseline in comparisons.
    """
    return min(
        entries,
        key=lambda entry: (
            (entry.running + entry.queued) / entry.description.capacity,
            entry.description.id,
        ),
    )


def _fits(entry, requirements):
    description = entry.description
    if description.id in requirements.exclude:
        return False
    if requirements.service is not None:
        return description.kind == "service" and requirements.service in description.services
    if description.kind != "engine" or requirements.model not in description.models:
        return False
    return not requirements.role or description.role == requirements.role


def _is_warm(entry, requirements):
    return any(prefix in entry.description.warm_prefixes for prefix in requirements.warm_prefixes)


def _is_nearer(entry, other, requirements):
    near = entry.description.availability_zone == requirements.availability_zone
    return near and other.description.availability_zone != requirements.availability_zone
