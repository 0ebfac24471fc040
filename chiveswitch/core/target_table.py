"""Table of the targets at one gateway, built from the reports of all hubs and from its requests.

A hub is a process that collects the announcements of targets and reports them to gateways.
"""

# States of a target, which only increase. `GONE` is final for one incarnation, that is, for one run
# of the target's process.
READY, DRAINING, GONE = range(3)
# Sequence number of a state that no later announcement of the same incarnation can end. It is the
# largest one that an announcement may have.
FINAL_SEQUENCE = 2**63 - 1

# A target that could not be reached is avoided for this long. Crashed targets return after a second
# or more, and a second attempt costs a few milliseconds.
AVOID_SECONDS = 1.0
# Longest time for which repeated failures keep a target avoided.
AVOID_MAX_SECONDS = 4.0
# A target whose connection broke is avoided for this long, unless a check ends before that.
SUSPECT_SECONDS = 0.3
# A zone counts as lost for a service if at least this share of its targets there, and at least two
# of them, are lost within this window.
ZONE_WINDOW_SECONDS = 0.8
ZONE_LOST_SHARE = 0.2
ZONE_LOST_MIN = 2
# A target that no hub has confirmed for this long counts as overdue.
UNCONFIRMED_SECONDS = 5.0
# The last report of a target that has gone is kept for this long as a tombstone, so that delayed
# reports do not add the target again.
TOMBSTONE_SECONDS = 60.0
# A load that a target reported in a response is used up to this age.
LOAD_MAX_AGE_SECONDS = 1.0
# A slowdown that a target stated in a response is used up to this age. Neighbours on its machine
# change it several times a second.
SLOWDOWN_MAX_AGE_SECONDS = 0.2
# Weight of the newest value in the exponential averages of a target's failures and latency.
AVERAGE_GAIN = 0.1


class Report:
    """The latest announcement of a target, as a hub reports it.

    Attributes:
        target_id: Id of the target; a later incarnation may have the same one.
        service: Service that the target belongs to.
        address: `ip:port` of the target.
        availability_zone: Zone of the target.
        slots: Number of requests that the target runs at the same time.
        state: READY, DRAINING or GONE.
        born_ms: Start time of the incarnation by the target's clock, in milliseconds. It orders the
            incarnations.
        sequence: Number that increases with each announcement of one incarnation.
        overdue: Whether the next announcement has not reached the hub in time.
        version: Version of the target's software, or an empty string if it is not known.
    """

    __slots__ = (
        "target_id",
        "service",
        "address",
        "availability_zone",
        "slots",
        "state",
        "born_ms",
        "sequence",
        "overdue",
        "version",
    )

    def __init__(self, version: str = "", **fields):
        self.version = version
        for name in self.__slots__[:-1]:
            setattr(self, name, fields[name])

    def supersedes(self, other) -> bool:
        """Returns whether this report is newer than another one with the same id."""
        if self.born_ms != other.born_ms:
            return self.born_ms > other.born_ms
        if GONE in (self.state, other.state):
            return self.state == GONE and other.state != GONE
        if self.state != other.state and self.state == DRAINING:
            # A sequence number of another sender must not hide that the target leaves.
            return True
        return self.sequence > other.sequence

    def is_from_sender_of(self, other) -> bool:
        """Returns whether one incarnation at one address can have sent both reports."""
        own = (self.born_ms, self.service, self.address)
        return own == (other.born_ms, other.service, other.address)

    def contradicts(self, other) -> bool:
        """Returns whether the reports name two services of one incarnation, which has one."""
        if self.born_ms != other.born_ms or GONE in (self.state, other.state):
            return False
        return self.service != other.service

    def replaces(self, other, is_silent: bool) -> bool:
        """Returns whether this report takes the place of another one with the same id.

        Args:
            other: The known report.
            is_silent: Whether no hub hears of the known report's sender any more. It then leaves
                the place to any sender that goes on.
        """
        if self.supersedes(other) and not self.contradicts(other):
            return True
        if self.state == GONE or self.overdue or self.is_from_sender_of(other):
            return False
        return is_silent

    def may_follow(self, gone_report) -> bool:
        """Returns whether this report may list a target again that was removed from the table.

        Args:
            gone_report: The last report of the removed target.
        """
        if self.supersedes(gone_report) and not self.contradicts(gone_report):
            return True
        # A target that lost its address to another one did not leave. Its sender, and others of its
        # id, may go on, also with lower sequence numbers than those of a stranger.
        return gone_report.state != GONE and self.state != GONE and not self.overdue


class Target:
    """One target, with its load and health as seen by this gateway.

    Attributes:
        report: The newest `Report`.
        open_requests: Number of this gateway's requests in progress at the target.
        load: Tuple (running, waiting) of requests that the target reported last in a response.
        load_at: Time of that response in seconds, 0 before the first one.
        avoided_until: Time in seconds until which other targets are preferred.
        paused_until: Time in seconds until which the target wants no requests of this gateway.
        failure_rate: Exponential average of failed requests, from 0 to 1.
        latency_s: Exponential average of response times in seconds, 0 if unknown.
        last_contact_at: Time in seconds of the last byte from the target.
        known_since: Time in seconds at which this incarnation was added to the table.
    """

    __slots__ = (
        "report",
        "open_requests",
        "load",
        "load_at",
        "_slowdown",
        "_slowdown_at",
        "avoided_until",
        "paused_until",
        "failure_rate",
        "latency_s",
        "last_contact_at",
        "known_since",
        "_failures_in_a_row",
    )

    def __init__(self, report: Report):
        self.report = report
        self.open_requests = 0
        self.load = (0, 0)
        self.load_at = 0.0
        self._slowdown = 1.0
        self._slowdown_at = 0.0
        self.avoided_until = 0.0
        self.paused_until = 0.0
        self.failure_rate = 0.0
        self.latency_s = 0.0
        self.last_contact_at = 0.0
        self.known_since = 0.0
        self._failures_in_a_row = 0

    @property
    def target_id(self) -> str:
        """Id of the target."""
        return self.report.target_id

    @property
    def address(self) -> str:
        """`ip:port` of the target."""
        return self.report.address

    @property
    def zone(self) -> str:
        """Availability zone of the target."""
        return self.report.availability_zone

    def record_contact(self, now: float):
        """Records that the target has responded, and stops avoiding it."""
        self.last_contact_at = now
        self._failures_in_a_row = 0
        self.avoided_until = 0.0

    def has_responded_during(self, silent_since: float, now: float) -> bool:
        """Returns whether the target responded while one connection to it was silent.

        Only the later half of the silence counts: the last responses of a target that was lost
        arrive at about the same time on all of its connections.

        Args:
            silent_since: Time of the last data on that connection, in seconds.
            now: Current time in seconds.
        """
        return self.last_contact_at > (silent_since + now) / 2

    def is_lost(self, now: float) -> bool:
        """Returns whether the target is avoided because of a loss, not only of a suspicion."""
        return self.avoided_until > now and self._failures_in_a_row > 0

    def suspect(self, now: float):
        """Avoids the target until it has been checked, because a connection to it broke."""
        self.avoided_until = max(self.avoided_until, now + SUSPECT_SECONDS)

    def record_unreachable(self, now: float):
        """Avoids the target for a while because it could not be reached or stopped responding.

        Each further failure in a row makes the time longer, up to `AVOID_MAX_SECONDS`.
        """
        # Several requests may detect the same loss; it counts once.
        if self.is_lost(now):
            return
        self._failures_in_a_row += 1
        self.avoided_until = now + min(AVOID_SECONDS * self._failures_in_a_row, AVOID_MAX_SECONDS)

    def record_outcome(self, failed: bool, seconds: float):
        """Adds the outcome of a request to the averages.

        Args:
            failed: Whether the request failed.
            seconds: Response time, which counts only if the request succeeded.
        """
        self.failure_rate += (failed - self.failure_rate) * AVERAGE_GAIN
        if failed:
            return
        if self.latency_s == 0.0:
            self.latency_s = seconds
        self.latency_s += (seconds - self.latency_s) * AVERAGE_GAIN

    def update_load(self, running: int, waiting: int, now: float, slowdown: float | None = None):
        """Stores the load that the target reported in a response.

        Args:
            running: Number of requests that it runs.
            waiting: Number of requests that wait there.
            now: Current time in seconds.
            slowdown: How long work takes there at this moment, 1.0 as usual, or None if not stated.
        """
        self.load = (running, waiting)
        self.load_at = now
        if slowdown is None:
            return
        self._slowdown = slowdown
        self._slowdown_at = now

    def slowdown(self, now: float) -> float:
        """Returns how long work takes at the target by its latest statement, 1.0 as usual.

        It is 1.0 if the target states nothing, and after `SLOWDOWN_MAX_AGE_SECONDS`.
        """
        if now - self._slowdown_at >= SLOWDOWN_MAX_AGE_SECONDS:
            return 1.0
        return self._slowdown

    def occupancy(self, now: float) -> float:
        """Returns the number of requests at the target divided by its slots.

        The number is the larger one of this gateway's own requests and the reported load.
        """
        count = self.open_requests
        if now - self.load_at < LOAD_MAX_AGE_SECONDS:
            count = max(count, sum(self.load))
        return count / max(1, self.report.slots)


class TargetTable:
    """Table of all targets that hubs report.

    Attributes:
        target_by_id: Targets that are ready, draining or overdue.
        on_draining_or_gone: Called with the id of a target that starts to drain or is removed, and
            must not get new requests any more.
        on_lost: Called with the id of a target that a request of this gateway found unreachable.
    """

    __slots__ = (
        "target_by_id",
        "on_draining_or_gone",
        "on_lost",
        "_lost_at_by_zone",
        "_ids_by_service",
        "_live_reports_by_hub",
        "_confirmed_at_by_id",
        "_tombstone_by_id",
        "_id_by_address",
    )

    def __init__(self, on_draining_or_gone=lambda target_id: None, on_lost=lambda target_id: None):
        self.target_by_id = {}
        self.on_draining_or_gone = on_draining_or_gone
        self.on_lost = on_lost
        self._lost_at_by_zone = {}
        self._ids_by_service = {}
        self._live_reports_by_hub = {}
        self._confirmed_at_by_id = {}
        self._tombstone_by_id = {}
        self._id_by_address = {}

    def apply_report(self, hub: str, report: Report, now: float) -> bool:
        """Merges a hub's report of a target into the table.

        Args:
            hub: Address of the hub, or an empty string for the hub in this process.
            report: The report.
            now: Current time in seconds.

        Returns:
            Whether the report added or removed the target, or changed its state, its version or its
            `overdue` flag.
        """
        target_id = report.target_id
        is_overdue = report.overdue
        live_reports = self._live_reports_by_hub.setdefault(hub, {})
        if is_overdue or report.state == GONE:
            live_reports.pop(target_id, None)
        else:
            live_reports[target_id] = report
        has_changed = self._merge(report, now)
        known = self.target_by_id.get(target_id)
        if known is None:
            return has_changed
        was_overdue = known.report.overdue
        if is_overdue:
            known.report.overdue = was_overdue or not self._is_confirmed(known)
            if self._is_silent(known) and self._list_other_sender(target_id, now):
                return True
        elif report.is_from_sender_of(known.report):
            known.report.overdue = False
            self._confirmed_at_by_id[target_id] = now
        return has_changed or known.report.overdue != was_overdue

    def _list_other_sender(self, target_id, now):
        """Lists a sender that a hub still hears of in place of another one with the same id.

        It takes no address from another target, so that one change leads to one more at most.
        """
        for live_reports in self._live_reports_by_hub.values():
            report = live_reports.get(target_id)
            if report is None:
                continue
            if self._id_by_address.get(report.address, target_id) != target_id:
                continue
            if self._merge(report, now):
                return True
        return False

    def _merge(self, report, now):
        """Adds, updates or removes the target of a report; returns whether it changed."""
        target_id = report.target_id
        tombstone = self._tombstone_by_id.get(target_id)
        if tombstone is not None:
            if not report.may_follow(tombstone[0]):
                return False
        known = self.target_by_id.get(target_id)
        if known is None:
            return self._add(report, now)
        if not report.replaces(known.report, self._is_silent(known)):
            return False
        if report.state == GONE:
            self._remove(target_id, report, now)
            return True
        if not report.is_from_sender_of(known.report):
            if not self._can_take_address(report):
                return False
            # The load and health of the earlier target don't apply to this one.
            self._remove(target_id, known.report, now)
            del self._tombstone_by_id[target_id]
            self._add(report, now)
            return True
        has_new_state = report.state != known.report.state
        report.version = report.version or known.report.version
        has_changed = has_new_state or report.version != known.report.version
        report.overdue = known.report.overdue
        known.report = report
        if report.state == DRAINING and has_new_state:
            self.on_draining_or_gone(target_id)
        return has_changed

    def _is_silent(self, known):
        return known.report.overdue and not self._is_confirmed(known)

    def _is_confirmed(self, known):
        """Returns whether a hub hears of the sender of a known report."""
        for live_reports in self._live_reports_by_hub.values():
            report = live_reports.get(known.target_id)
            if report is not None and report.is_from_sender_of(known.report):
                return True
        return False

    def _add(self, report, now):
        target_id = report.target_id
        if report.state == GONE:
            self._tombstone_by_id[target_id] = (report, now)
            return False
        if not self._can_take_address(report):
            return False
        other_id = self._id_by_address.get(report.address)
        if other_id is not None:
            self._remove(other_id, self.target_by_id[other_id].report, now)
        target = self.target_by_id[target_id] = Target(report)
        target.known_since = now
        self._id_by_address[report.address] = target_id
        self._ids_by_service.setdefault(report.service, set()).add(target_id)
        if other_id is not None:
            self._list_other_sender(other_id, now)
        return True

    def _can_take_address(self, report):
        """Returns whether the target with the address of a report, if any, yields to the report."""
        other_id = self._id_by_address.get(report.address)
        if other_id is None or other_id == report.target_id:
            return True
        other = self.target_by_id[other_id]
        if report.born_ms >= other.report.born_ms:
            return True
        return not report.overdue and self._is_silent(other)

    def _remove(self, target_id, report, now):
        target = self.target_by_id.pop(target_id)
        self._ids_by_service[target.report.service].discard(target_id)
        if self._id_by_address.get(target.address) == target_id:
            del self._id_by_address[target.address]
        self._tombstone_by_id[target_id] = (report, now)
        self.on_draining_or_gone(target_id)

    def remove(self, target_id: str, now: float):
        """Removes a target because another target responds at its address."""
        target = self.target_by_id.get(target_id)
        if target is not None:
            self._remove(target_id, target.report, now)

    def record_leaving(self, target: Target) -> bool:
        """Records that a target has stated in a response that it is about to shut down.

        Returns:
            Whether the target was ready before.
        """
        if target.report.state != READY:
            return False
        target.report.state = DRAINING
        target.report.sequence = FINAL_SEQUENCE
        if self.target_by_id.get(target.target_id) is target:
            self.on_draining_or_gone(target.target_id)
        return True

    def count_draining(self) -> int:
        """Returns the number of targets that announced, or said in a response, that they leave."""
        return sum(target.report.state == DRAINING for target in self.target_by_id.values())

    def record_loss(self, target: Target, now: float):
        """Avoids a target that failed during a request or could not be reached; calls `on_lost`.

        A target that already counts as lost is not reported again.
        """
        if not target.is_lost(now):
            self.on_lost(target.target_id)
        self._avoid_after_loss(target, now)

    def record_remote_loss(self, target_id: str, now: float) -> bool:
        """Avoids a target whose loss another gateway has reported.

        Returns:
            Whether the target is in the table and did not already count as lost.
        """
        target = self.target_by_id.get(target_id)
        if target is None or target.is_lost(now):
            return False
        self._avoid_after_loss(target, now)
        return True

    def _avoid_after_loss(self, target, now):
        target.record_unreachable(now)
        key = (target.report.service, target.zone)
        lost_at_by_id = self._lost_at_by_zone.setdefault(key, {})
        lost_at_by_id[target.target_id] = now
        for target_id, lost_at in list(lost_at_by_id.items()):
            if now - lost_at > ZONE_WINDOW_SECONDS:
                del lost_at_by_id[target_id]
        zone_targets = [each for each in self.ready_targets(key[0]) if each.zone == target.zone]
        if len(lost_at_by_id) < max(ZONE_LOST_MIN, ZONE_LOST_SHARE * len(zone_targets)):
            return
        # The whole zone has probably failed. Its other targets are avoided before requests are lost
        # there, except those that have just responded.
        for zone_target in zone_targets:
            if now - zone_target.last_contact_at > ZONE_WINDOW_SECONDS / 4:
                zone_target.record_unreachable(now)

    def reset_hub(self, hub: str):
        """Drops the list of targets that a hub confirms, after the hub restarted or was removed."""
        self._live_reports_by_hub.pop(hub, None)

    def sweep(self, live_hubs: set, now: float):
        """Marks targets overdue that no live hub has confirmed lately, and drops old tombstones.

        Args:
            live_hubs: Addresses of the hubs that are reachable.
            now: Current time in seconds.
        """
        for hub, live_reports in self._live_reports_by_hub.items():
            if hub not in live_hubs:
                continue
            for target_id, report in live_reports.items():
                target = self.target_by_id.get(target_id)
                if target is not None and report.is_from_sender_of(target.report):
                    self._confirmed_at_by_id[target_id] = now
        for target_id, target in self.target_by_id.items():
            confirmed_at = self._confirmed_at_by_id.get(target_id, now)
            if now - confirmed_at > UNCONFIRMED_SECONDS:
                target.report.overdue = True
        for target_id, (_, gone_at) in list(self._tombstone_by_id.items()):
            if now - gone_at > TOMBSTONE_SECONDS:
                del self._tombstone_by_id[target_id]
        for target_id in list(self._confirmed_at_by_id):
            if target_id not in self.target_by_id:
                del self._confirmed_at_by_id[target_id]

    def ready_targets(self, service: str) -> list[Target]:
        """Returns the ready targets of a service, including overdue ones."""
        found = []
        for target_id in self._ids_by_service.get(service, ()):
            target = self.target_by_id[target_id]
            if target.report.state == READY:
                found.append(target)
        return found

    def leave_reports(self) -> list[Report]:
        """Returns the reports of targets that drain, and of those that have gone lately."""
        reports = [report for report, _ in self._tombstone_by_id.values()]
        reports += [target.report for target in self.target_by_id.values()]
        # A target that was replaced at its address has a tombstone without having left.
        return [report for report in reports if report.state != READY]

    def has_left(self, target_id: str) -> bool:
        """Returns whether the target with an id has gone lately."""
        tombstone = self._tombstone_by_id.get(target_id)
        return tombstone is not None and tombstone[0].state == GONE

    def is_contradicted(self, report: Report) -> bool:
        """Returns whether a target with the same id and start time has another service.

        The target is live, or has lost its address to another one without having left.

        Args:
            report: The announcement that may contradict those of the target.
        """
        known = self.target_by_id.get(report.target_id)
        if known is not None:
            return not known.report.overdue and report.contradicts(known.report)
        tombstone = self._tombstone_by_id.get(report.target_id)
        return tombstone is not None and report.contradicts(tombstone[0])

    def lists(self, report: Report) -> bool:
        """Returns whether the table holds the state of a live target as a report states it."""
        known = self.target_by_id.get(report.target_id)
        if known is None:
            return report.state == GONE
        if known.report.overdue or known.report.state != report.state:
            return False
        return report.is_from_sender_of(known.report)

    def find(self, target_id: str) -> Target | None:
        """Returns the target with an id, or None."""
        return self.target_by_id.get(target_id)

    def find_at(self, address: str) -> Target | None:
        """Returns the target with an address, or None."""
        return self.target_by_id.get(self._id_by_address.get(address))

    def is_draining_or_gone(self, target_id: str) -> bool:
        """Returns whether a target is draining or no longer in the table."""
        target = self.target_by_id.get(target_id)
        return target is None or target.report.state != READY
