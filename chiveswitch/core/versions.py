"""Which versions of a service a gateway may send requests to, and evidence about their answers.

Operators order a version of a service; control decides from the evidence of all gateways what share
of the requests it may get, and whether it is completed or rolled back. A gateway applies the latest
order that it knows. A version that no order has accepted yet gets nothing beyond its share, whether
or not control is heard.
"""

import math

from chiveswitch.core import rollouts

# Draw of a request that goes to accepted versions only.
NO_SHARE_DRAW = 1.0
# Seconds for which no target of another version was usable, after which a version that has not been
# completed gets the requests in place of a refusal. A gateway that starts has the announcements of
# all hubs by then.
ALONE_SECONDS = 3.0
# Seconds after which a version without an order that runs beside accepted ones is accepted. An
# order that control has confirmed reaches all gateways in touch much earlier.
UNORDERED_SECONDS = 30.0
# Share of the accepted versions' ready targets, and number of them, that have left since a version
# appeared without an order, from which on it is accepted at once, because it replaces them.
REPLACED_SHARE = 0.4
MIN_REPLACED = 2
# Largest number of versions of one service that are remembered.
MAX_VERSIONS = 64
# Largest number of entries, one for each service, version and route, that are kept until the next
# report of evidence.
MAX_EVIDENCE = 512


class _ServiceVersions:
    """What is known of the versions of one service.

    Attributes:
        order_by_version: Latest `rollouts.RolloutState` of each ordered version.
        latest: The latest one of them, or None.
        share_until: Time in seconds until which the share of `latest` may be used.
        accepted: Versions that get requests without an order in force.
        retired: Versions that were accepted before the last completed order.
        held_by_version: Versions without an order that get nothing yet: the time in seconds at
            which each was first seen, and the number of accepted ready targets then.
        seen_at_by_version: Time in seconds at which each version last had a usable target.
        known_since: Time in seconds of the first request.
        has_evidence: Whether answers are counted.
        incumbent: Version that was alone for a while when an order named it, and is alone since
            then, or None. Its order replaces nothing.
    """

    __slots__ = (
        "order_by_version",
        "latest",
        "share_until",
        "accepted",
        "retired",
        "held_by_version",
        "seen_at_by_version",
        "known_since",
        "has_evidence",
        "incumbent",
    )

    def __init__(self):
        self.order_by_version = {}
        self.latest = None
        self.share_until = -math.inf
        self.accepted = set()
        self.retired = set()
        self.held_by_version = {}
        self.seen_at_by_version = {}
        self.known_since = None
        self.has_evidence = False
        self.incumbent = None

    @property
    def running(self):
        """The running order, or None."""
        latest = self.latest
        return latest if latest is not None and latest.state == rollouts.RUNNING else None

    def is_rolled_back(self, version: str) -> bool:
        """Returns whether the latest order for a version was rolled back."""
        if version == self.incumbent:
            return False
        order = self.order_by_version.get(version)
        return order is not None and order.state == rollouts.ROLLED_BACK

    def share(self, now: float) -> float:
        """Returns the share of the running order that is in force, 0 if control is not heard."""
        order = self.running
        if order is None or now > self.share_until:
            return 0.0
        return order.share

    def apply(self, state: rollouts.RolloutState, now: float):
        """Applies a state of an order."""
        known = self.order_by_version.get(state.version)
        if known is not None and not state.newer_than(known):
            if known is self.latest and not known.newer_than(state):
                self.share_until = max(self.share_until, now + state.valid_for_s)
            return
        self.order_by_version[state.version] = state
        if self.latest is None or state.newer_than(self.latest):
            self.latest = state
            self.share_until = now + state.valid_for_s
        self.held_by_version.pop(state.version, None)
        self.retired.discard(state.version)
        if known is None and self._is_only(state.version, now):
            self.incumbent = state.version
        if state.state != rollouts.COMPLETED:
            self.accepted.discard(state.version)
        elif not self._is_overtaken(state):
            self.retired |= self.accepted - {state.version}
            self.accepted = {state.version}
        if len(self.order_by_version) > MAX_VERSIONS:
            oldest = min(self.order_by_version.values(), key=lambda each: each.serial)
            del self.order_by_version[oldest.version]

    def _is_only(self, version, now):
        """Returns whether no other version has had a target since the service has been known."""
        is_long_known = self.known_since is not None and now - self.known_since >= ALONE_SECONDS
        return is_long_known and self.seen_at_by_version.keys() == {version}

    def _is_overtaken(self, state):
        """Returns whether a later order was completed."""
        for other in self.order_by_version.values():
            if other.state == rollouts.COMPLETED and other.newer_than(state):
                return True
        return False

    def observe(self, targets_by_version: dict, now: float):
        """Records which versions have ready targets."""
        if self.known_since is None:
            self.known_since = now
        for version, targets in targets_by_version.items():
            if _has_usable(targets, now):
                self.seen_at_by_version[version] = now
        if len(self.seen_at_by_version) > MAX_VERSIONS:
            oldest = min(self.seen_at_by_version, key=self.seen_at_by_version.get)
            del self.seen_at_by_version[oldest]
        for version in self.held_by_version.keys() - targets_by_version.keys():
            del self.held_by_version[version]
        if self.seen_at_by_version.keys() - {self.incumbent}:
            self.incumbent = None
        self.has_evidence = self.running is not None or len(targets_by_version) > 1

    def is_alone(self, version: str, now: float) -> bool:
        """Returns whether no other version had a usable target for `ALONE_SECONDS`."""
        others_seen_at = self.known_since
        for other, seen_at in self.seen_at_by_version.items():
            if other != version and not self.is_rolled_back(other):
                others_seen_at = max(others_seen_at, seen_at)
        return now - others_seen_at >= ALONE_SECONDS


class VersionPolicy:
    """Decides which versions get requests, and pools evidence, for one gateway.

    Without limits every target is eligible and nothing is recorded.
    """

    __slots__ = (
        "_limits",
        "_rng",
        "_on_event",
        "_has_heard",
        "_known_by_service",
        "_evidence_by_key",
    )

    def __init__(self, limits, rng, on_event=lambda event, **fields: None):
        """Creates a policy that knows no order.

        Args:
            limits: `node_settings.RolloutLimits`, or None if operators order no roll-outs.
            rng: `random.Random` for the draws.
            on_event: Function that is called with the name and the fields of each change.
        """
        self._limits = limits
        self._rng = rng
        self._on_event = on_event
        self._has_heard = False
        self._known_by_service = {}
        self._evidence_by_key = {}

    @property
    def is_active(self) -> bool:
        """Whether operators order roll-outs."""
        return self._limits is not None

    def draw(self) -> float:
        """Returns the draw of a new request, from 0 to 1; the lowest draws make up a share."""
        return NO_SHARE_DRAW if self._limits is None else self._rng.random()

    def apply_rollouts(self, states: list, now: float):
        """Applies what control says of the orders; older states than the known ones are ignored.

        Args:
            states: `rollouts.RolloutState`s; none if there is no order.
            now: Time in seconds of their receipt.
        """
        if self._limits is None:
            return
        self._has_heard = True
        for state in sorted(states, key=lambda each: (each.serial, each.step)):
            self._service(state.service).apply(state, now)

    def retain_services(self, names):
        """Forgets the services that are not named, except those with orders."""
        for service, known in list(self._known_by_service.items()):
            if service not in names and known.latest is None:
                del self._known_by_service[service]

    def count_held(self) -> int:
        """Returns the number of versions that get nothing, because no order accepts them."""
        count = 0
        for known in self._known_by_service.values():
            count += len(known.held_by_version)
            count += sum(map(known.is_rolled_back, known.order_by_version))
        return count

    def largest_share(self, now: float) -> float:
        """Returns the largest share in force of a running order, 0 without one."""
        shares = [known.share(now) for known in self._known_by_service.values()]
        return max(shares, default=0.0)

    def _service(self, service):
        known = self._known_by_service.get(service)
        if known is None:
            known = self._known_by_service[service] = _ServiceVersions()
        return known

    # Choice of targets.

    def eligible(self, service: str, targets: list, now: float, draw: float) -> list:
        """Returns the targets to which a request may be sent.

        A rolled-back version gets nothing even if no other target is ready. Otherwise there is a
        target for each request once the ready versions have been known for `ALONE_SECONDS`.

        Args:
            service: Name of the service.
            targets: Its ready `target_table.Target`s.
            now: Current time in seconds.
            draw: Result of `draw` for the request, or `NO_SHARE_DRAW` if it was sent before.
        """
        if self._limits is None or not targets:
            return targets
        known, by_version = self._observe(service, targets, now)
        order = known.running
        if order is None:
            return self._accepted_targets(service, known, by_version, now)
        ordered = by_version.pop(order.version, [])
        accepted = self._accepted_targets(service, known, by_version, now)
        share = known.share(now)
        if share >= 1.0:
            if not _has_usable(ordered, now) and _has_usable(accepted, now):
                return accepted
            return ordered or accepted
        # A few new targets would not bear the whole share.
        share = min(share, _slots(ordered) / max(1, _slots(ordered) + _slots(accepted)))
        if draw < share and _has_usable(ordered, now):
            return ordered
        # A share of 1 means that the version is sound, and that the others may stop soon.
        if order.share >= 1.0 and not _has_usable(accepted, now):
            return ordered or accepted
        if _has_usable(accepted, now) or not known.is_alone(order.version, now):
            return accepted
        return ordered if _has_usable(ordered, now) else accepted or ordered

    def copy_targets(self, service: str, targets: list, now: float) -> list:
        """Returns the targets that may hold copies of running streams.

        Args:
            service: Name of the service.
            targets: Its ready `target_table.Target`s.
            now: Current time in seconds.
        """
        if self._limits is None or not targets:
            return targets
        known, by_version = self._observe(service, targets, now)
        order = known.running
        if order is not None and order.moves_copies and order.version in by_version:
            return by_version[order.version]
        return self.eligible(service, targets, now, NO_SHARE_DRAW)

    def may_resume(self, service: str, version: str) -> bool:
        """Returns whether a stream may continue at a target of a version that holds its copy."""
        known = self._known_by_service.get(service)
        if self._limits is None or known is None:
            return True
        if known.is_rolled_back(version) or version in known.retired:
            return False
        order = known.running
        if order is None or version != order.version:
            return version not in known.held_by_version
        return order.moves_copies or order.share >= 1.0

    def is_withdrawn(self, service: str, version: str) -> bool:
        """Returns whether a version gets no request because its order was rolled back."""
        known = self._known_by_service.get(service)
        return known is not None and known.is_rolled_back(version)

    def must_move_copy(self, service: str, version: str) -> bool:
        """Returns whether the copy of a running stream must leave a target of a version."""
        known = self._known_by_service.get(service)
        if self._limits is None or known is None:
            return False
        if not self.may_resume(service, version):
            return True
        order = known.running
        return order is not None and order.moves_copies and version != order.version

    def _observe(self, service, targets, now):
        """Returns the service's `_ServiceVersions` and its ready targets by version."""
        known = self._service(service)
        by_version = _group(targets)
        known.observe(by_version, now)
        return known, by_version

    def _accepted_targets(self, service, known, by_version, now):
        """Returns the ready targets of accepted versions; accepts versions without an order.

        Args:
            service: Name of the service.
            known: Its `_ServiceVersions`.
            by_version: Its ready targets by version, without those of a running order.
            now: Current time in seconds.
        """
        usable = {
            version: targets
            for version, targets in by_version.items()
            if not known.is_rolled_back(version)
        }
        if len(usable) == 1 and known.accepted >= usable.keys():
            return next(iter(usable.values()))
        if not usable:
            return []
        if not known.accepted & usable.keys():
            candidates = usable.keys() - known.retired
            if not candidates:
                return _join(usable.values())
            version = max(candidates, key=lambda each: _weight(usable[each]))
            # Before control is heard, the choice follows the targets that become known.
            if not self._has_heard:
                return usable[version]
            self._accept(service, known, version, "most targets")
        accepted_count = sum(len(usable.get(each, ())) for each in known.accepted)
        for version in usable.keys() - known.accepted - known.retired:
            reason = self._reason_to_accept(service, known, version, accepted_count, now)
            if reason:
                self._accept(service, known, version, reason)
        accepted = _join(usable[version] for version in usable if version in known.accepted)
        if _has_usable(accepted, now):
            return accepted
        # Targets that are stopped without leaving stay listed for a while.
        others = _join(usable.values())
        return others if _has_usable(others, now) else accepted

    def _reason_to_accept(self, service, known, version, accepted_count, now):
        """Returns why a version without an order is accepted, or an empty string."""
        held = known.held_by_version.get(version)
        if held is None:
            if len(known.held_by_version) >= MAX_VERSIONS:
                return ""
            known.held_by_version[version] = (now, accepted_count)
            self._on_event("version_held", service=service, version=version)
            return ""
        seen_at, count_then = held
        if now - seen_at >= UNORDERED_SECONDS:
            return "no order"
        lost_count = count_then - accepted_count
        if lost_count >= max(MIN_REPLACED, REPLACED_SHARE * count_then):
            return "replaces others"
        return ""

    def _accept(self, service, known, version, reason):
        known.held_by_version.pop(version, None)
        known.accepted.add(version)
        if len(known.accepted) > MAX_VERSIONS:
            known.accepted = {version}
        self._on_event("version_accepted", service=service, version=version, reason=reason)

    # Evidence.

    def record_sent(self, service: str, version: str, route: str) -> bool:
        """Counts a request that is sent to a target; returns whether its version is on trial."""
        evidence = self._evidence(service, version, route)
        if evidence is not None:
            evidence.requests += 1
        known = self._known_by_service.get(service)
        order = None if known is None else known.running
        return order is not None and order.version == version

    def record_answer(
        self, service: str, version: str, route: str, failed: bool, seconds: float | None = None
    ):
        """Counts the answer to a request.

        Args:
            service: Name of the service.
            version: Version of the target.
            route: Name of the request's route.
            failed: Whether it is a failure to a caller.
            seconds: Time from the sending to the answer or the first event of a stream, if it is no
                failure; None if the time says nothing about the version.
        """
        evidence = self._evidence(service, version, route)
        if evidence is None:
            return
        if failed:
            evidence.failures += 1
        elif seconds is not None:
            evidence.latencies[bucket_of(seconds)] += 1

    def _evidence(self, service, version, route):
        """Returns the counts to which an answer belongs, or None if it is not counted."""
        known = self._known_by_service.get(service)
        if known is None or not known.has_evidence:
            return None
        return self._pooled(service, version, route)

    def _pooled(self, service, version, route):
        key = (service, version, route)
        evidence = self._evidence_by_key.get(key)
        if evidence is None and len(self._evidence_by_key) < MAX_EVIDENCE:
            evidence = self._evidence_by_key[key] = rollouts.Evidence(service, version, route)
        return evidence

    def take_evidence(self, _now: float) -> list:
        """Returns the `rollouts.Evidence` since the last call, and forgets it."""
        taken = list(self._evidence_by_key.values())
        self._evidence_by_key = {}
        return taken

    def restore_evidence(self, evidence: list):
        """Adds evidence again that `take_evidence` returned and that could not be sent."""
        for each in evidence:
            pooled = self._pooled(each.service, each.version, each.route)
            if pooled is None:
                continue
            pooled.requests += each.requests
            pooled.failures += each.failures
            counts = zip(pooled.latencies, each.latencies, strict=True)
            pooled.latencies = [sum(pair) for pair in counts]


def bucket_of(seconds: float) -> int:
    """Returns the bucket of `rollouts.Evidence.latencies` that counts a time."""
    if seconds <= rollouts.BUCKET_BASE_SECONDS:
        return 0
    steps = math.log(seconds / rollouts.BUCKET_BASE_SECONDS, rollouts.BUCKET_GROWTH)
    # The logarithm of a bound may lie just above its bucket.
    return min(rollouts.LATENCY_BUCKETS - 1, math.ceil(steps - 1e-9))


def _group(targets):
    """Returns targets by version."""
    version = targets[0].report.version
    # Most of the time there is one version.
    for target in targets:
        if target.report.version != version:
            break
    else:
        return {version: targets}
    by_version = {}
    for target in targets:
        by_version.setdefault(target.report.version, []).append(target)
    return by_version


def _has_usable(targets, now):
    for target in targets:
        if max(target.avoided_until, target.paused_until) <= now and not target.report.overdue:
            return True
    return False


def _slots(targets):
    return sum(target.report.slots for target in targets)


def _weight(targets):
    """Returns the order in which versions are taken for the accepted one; of equals, the older."""
    return len(targets), -min(target.report.born_ms for target in targets)


def _join(lists):
    return [target for targets in lists for target in targets]
