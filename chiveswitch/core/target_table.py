"""The targets that a gateway knows, from the reports of all hubs and from its own requests."""

# Reports of a target in rising order; `GONE` is final for one start of a target.
READY, DRAINING, GONE = range(3)

# Seconds for which a target is avoided after it was found unreachable. Crashed targets return
# after a second or more, and a second attempt costs a few milliseconds.
AVOID_SECONDS = 1.0
# Longest time in seconds that repeated failures keep a target avoided.
AVOID_MAX_SECONDS = 4.0
# Seconds in which the loss of several targets of a zone counts as the loss of the zone, and the
# part of its targets that must be lost, two at least.
ZONE_WINDOW_SECONDS = 0.8
ZONE_LOST_SHARE = 0.2
ZONE_LOST_MIN = 2
# Seconds without a confirmation by any hub after which a target counts as overdue.
UNCONFIRMED_SECONDS = 5.0
# Seconds for which the start of a target that has gone is remembered, against late reports.
GONE_KEPT_SECONDS = 60.0
# Age in seconds up to which a load that a target told in a response is used.
LOAD_MAX_AGE_SECONDS = 1.0
# Gain of the running averages of failures and latency of a target.
AVERAGE_GAIN = 0.1


class Report:
    """What a target announced of itself, as told by a hub.

    Attributes:
        target_id: Id of this start of the target; may be reused by a later start.
        service: Service that it belongs to.
        address: Its `ip:port`.
        availability_zone: Its zone.
        slots: Requests that it runs at once.
        state: READY, DRAINING or GONE.
        born_ms: Start of the target by its own clock, in milliseconds; orders its starts.
        sequence: Rises with each announcement of one start.
        overdue: Whether the hub waits for an announcement for too long.
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
    )

    def __init__(self, **fields):
        for name in self.__slots__:
            setattr(self, name, fields[name])

    def supersedes(self, other) -> bool:
        """Says whether this report is newer than another one of the same id."""
        if self.born_ms != other.born_ms:
            return self.born_ms > other.born_ms
        if GONE in (self.state, other.state):
            return self.state == GONE and other.state != GONE
        return self.sequence > other.sequence


class Target:
    """One target with what this gateway knows of its load and health.

    Attributes:
        report: The newest `Report`.
        open_requests: Own requests in progress.
        load: (running, waiting) that the target told last, with `load_at` its time.
        avoided_until: Time until which other targets are chosen first.
        failures: Running average of failed requests, 0 to 1.
        latency_s: Running average of response times in seconds, 0 if unknown.
        last_contact_at: Time of the last byte from the target.
    """

    __slots__ = (
        "report",
        "open_requests",
        "load",
        "load_at",
        "avoided_until",
        "failure_rate",
        "latency_s",
        "last_contact_at",
        "_misses",
    )

    def __init__(self, report: Report):
        self.report = report
        self.open_requests = 0
        self.load = (0, 0)
        self.load_at = 0.0
        self.avoided_until = 0.0
        self.failure_rate = 0.0
        self.latency_s = 0.0
        self.last_contact_at = 0.0
        self._misses = 0

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
        """Notes a sign of life."""
        self.last_contact_at = now
        self._misses = 0
        self.avoided_until = 0.0

    def record_unreachable(self, now: float):
        """Notes that the target could not be reached or fell silent."""
        # Several requests may notice one loss.
        if self.avoided_until > now:
            return
        self._misses += 1
        self.avoided_until = now + min(AVOID_SECONDS * self._misses, AVOID_MAX_SECONDS)

    def record_outcome(self, failed: bool, seconds: float):
        """Takes the outcome of a request into the averages."""
        self.failure_rate += (failed - self.failure_rate) * AVERAGE_GAIN
        if failed:
            return
        if self.latency_s == 0.0:
            self.latency_s = seconds
        self.latency_s += (seconds - self.latency_s) * AVERAGE_GAIN

    def update_load(self, running: int, waiting: int, now: float):
        """Takes the load that the target told in a response."""
        self.load = (running, waiting)
        self.load_at = now

    def occupancy(self, now: float) -> float:
        """Returns the requests at the target as a share of its slots, as far as known."""
        count = self.open_requests
        if now - self.load_at < LOAD_MAX_AGE_SECONDS:
            count = max(count, sum(self.load))
        return count / max(1, self.report.slots)


class TargetTable:
    """All known targets.

    Attributes:
        target_by_id: Targets that are ready, draining or overdue.
        on_gone: Called with the id of a target that may get no more requests.
        on_lost: Called with the id of a target that a request of this gateway has lost.
    """

    __slots__ = (
        "target_by_id",
        "on_gone",
        "on_lost",
        "_losses_by_zone",
        "_ids_by_service",
        "_listed_by_hub",
        "_confirmed_at_by_id",
        "_gone_by_id",
        "_id_by_address",
    )

    def __init__(self, on_gone=lambda target_id: None, on_lost=lambda target_id: None):
        self.target_by_id = {}
        self.on_gone = on_gone
        self.on_lost = on_lost
        self._losses_by_zone = {}
        self._ids_by_service = {}
        self._listed_by_hub = {}
        self._confirmed_at_by_id = {}
        self._gone_by_id = {}
        self._id_by_address = {}

    def apply_report(self, hub: str, report: Report, now: float) -> bool:
        """Takes a report from a hub.

        Args:
            hub: Address of the hub, or an empty string for the own hub.
            report: The report.
            now: Current time in seconds.

        Returns:
            Whether the report changed what is known of the target.
        """
        target_id = report.target_id
        listed = self._listed_by_hub.setdefault(hub, set())
        if report.overdue or report.state == GONE:
            listed.discard(target_id)
        else:
            listed.add(target_id)
            self._confirmed_at_by_id[target_id] = now
        gone = self._gone_by_id.get(target_id)
        if gone is not None and not report.supersedes(gone[0]):
            return False
        known = self.target_by_id.get(target_id)
        if known is None:
            return self._add(report, now)
        if report.supersedes(known.report):
            if report.state == GONE:
                self._remove(target_id, report, now)
                return True
            if report.born_ms != known.report.born_ms or report.address != known.address:
                # Another start under the same id: nothing of the earlier one holds.
                self._remove(target_id, known.report, now)
                del self._gone_by_id[target_id]
                return self._add(report, now)
            changed = report.state != known.report.state or known.report.overdue
            known.report = report
            if report.state == DRAINING and changed:
                self.on_gone(target_id)
            return changed
        if report.born_ms == known.report.born_ms and report.sequence == known.report.sequence:
            changed = report.overdue != known.report.overdue
            known.report.overdue = report.overdue
            return changed
        return False

    def _add(self, report, now):
        target_id = report.target_id
        if report.state == GONE:
            self._gone_by_id[target_id] = (report, now)
            return False
        other_id = self._id_by_address.get(report.address)
        if other_id is not None and other_id != target_id:
            other = self.target_by_id[other_id]
            if other.report.born_ms > report.born_ms:
                return False
            self._remove(other_id, other.report, now)
        self.target_by_id[target_id] = Target(report)
        self._id_by_address[report.address] = target_id
        self._ids_by_service.setdefault(report.service, set()).add(target_id)
        return True

    def _remove(self, target_id, report, now):
        target = self.target_by_id.pop(target_id)
        self._ids_by_service[target.report.service].discard(target_id)
        if self._id_by_address.get(target.address) == target_id:
            del self._id_by_address[target.address]
        self._gone_by_id[target_id] = (report, now)
        self.on_gone(target_id)

    def remove(self, target_id: str, now: float):
        """Drops a target whose address answers as another one."""
        target = self.target_by_id.get(target_id)
        if target is not None:
            self._remove(target_id, target.report, now)

    def record_loss(self, target: Target, now: float):
        """Notes that a request could not reach a target or lost it, and tells other gateways."""
        if target.avoided_until <= now:
            self.on_lost(target.target_id)
        self._note_loss(target, now)

    def record_remote_loss(self, target_id: str, now: float) -> bool:
        """Notes another gateway's loss; returns whether the target was not avoided before."""
        target = self.target_by_id.get(target_id)
        if target is None or target.avoided_until > now:
            return False
        self._note_loss(target, now)
        return True

    def _note_loss(self, target, now):
        target.record_unreachable(now)
        key = (target.report.service, target.zone)
        lost_at_by_id = self._losses_by_zone.setdefault(key, {})
        lost_at_by_id[target.target_id] = now
        for target_id, lost_at in list(lost_at_by_id.items()):
            if now - lost_at > ZONE_WINDOW_SECONDS:
                del lost_at_by_id[target_id]
        peers = [each for each in self.ready_targets(key[0]) if each.zone == target.zone]
        if len(lost_at_by_id) < max(ZONE_LOST_MIN, ZONE_LOST_SHARE * len(peers)):
            return
        # Targets of a zone fail together: the others are avoided before a request is lost there.
        for peer in peers:
            if now - peer.last_contact_at > ZONE_WINDOW_SECONDS / 4:
                peer.record_unreachable(now)

    def reset_hub(self, hub: str):
        """Forgets what a hub listed, because it has restarted or is no hub any more."""
        self._listed_by_hub.pop(hub, None)

    def sweep(self, live_hubs: set, now: float):
        """Marks targets overdue that no reachable hub has confirmed for a while."""
        for hub, listed in self._listed_by_hub.items():
            if hub not in live_hubs:
                continue
            for target_id in listed:
                self._confirmed_at_by_id[target_id] = now
        for target_id, target in self.target_by_id.items():
            confirmed_at = self._confirmed_at_by_id.get(target_id, now)
            if now - confirmed_at > UNCONFIRMED_SECONDS:
                target.report.overdue = True
        for target_id, (_, gone_at) in list(self._gone_by_id.items()):
            if now - gone_at > GONE_KEPT_SECONDS:
                del self._gone_by_id[target_id]
        for target_id in list(self._confirmed_at_by_id):
            if target_id not in self.target_by_id:
                del self._confirmed_at_by_id[target_id]

    def ready_targets(self, service: str) -> list[Target]:
        """Returns the targets of a service that may get new requests, overdue ones included."""
        found = []
        for target_id in self._ids_by_service.get(service, ()):
            target = self.target_by_id[target_id]
            if target.report.state == READY:
                found.append(target)
        return found

    def find(self, target_id: str) -> Target | None:
        """Returns a target by its id, or None."""
        return self.target_by_id.get(target_id)

    def is_draining_or_gone(self, target_id: str) -> bool:
        """Says whether a target is draining or has gone."""
        target = self.target_by_id.get(target_id)
        return target is None or target.report.state != READY
