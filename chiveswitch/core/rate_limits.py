"""Limits that targets name in their responses: the rate of requests that each takes in all.

A limit holds for all gateways together. Each gateway learns it from its own responses and from the
reports of other gateways. It ends with a response that names none, or when no response has
confirmed it for a while.
"""

import collections

# Time after which a limit that no response has confirmed is forgotten.
EXPIRY_SECONDS = 30.0
# Shortest time between two reports of one gateway that confirm an unchanged limit.
CONFIRM_SECONDS = 5.0
# Limit of the targets whose limits are remembered.
MAX_TARGETS = 4096


class Report:
    """What a response of a target said about its limit.

    Attributes:
        target_id: Id of the target.
        born_ms: Start time of the target's incarnation; see `target_table.Report`.
        rate: Requests per second, or None if the response named no limit.
        at: Time of the response in seconds of the process's clock.
        since: Time of the first response that named a limit without a break since then.
        source: Name of the gateway that got the response.
    """

    __slots__ = ("target_id", "born_ms", "rate", "at", "since", "source")

    def __init__(self, target_id: str, born_ms: int, rate, at: float, since: float, source: str):
        self.target_id = target_id
        self.born_ms = born_ms
        self.rate = rate
        self.at = at
        self.since = since
        self.source = source


class RateLimitTable:
    """The latest report about each target that has named a limit.

    A report that a limit was lifted is kept as long as the limit would be, so that a delayed report
    does not restore it.

    Attributes:
        on_changed: Called with (event, `Report`, previous rate) when a limit is "named", "changed",
            "lifted" or "expired".
    """

    __slots__ = ("on_changed", "_report_by_target", "_reported_at_by_target")

    def __init__(self, on_changed=None):
        self.on_changed = on_changed or (lambda event, report, previous: None)
        self._report_by_target = collections.OrderedDict()
        # Time of the last report of this gateway or another one.
        self._reported_at_by_target = {}

    def rate_of(self, target, now: float) -> float | None:
        """Returns the limit of a `target_table.Target` in requests per second, or None."""
        report = self._report_by_target.get(target.target_id)
        if report is None or report.born_ms != target.report.born_ms:
            return None
        return report.rate if now - report.at < EXPIRY_SECONDS else None

    def in_force(self) -> list:
        """Returns the `Report` of each target with a limit."""
        return [each for each in self._report_by_target.values() if each.rate is not None]

    def observe_response(
        self, target, rate: float | None, sent_at: float, now: float, source: str
    ) -> Report | None:
        """Records what a response of a target said.

        Args:
            target: The `target_table.Target`.
            rate: The limit that the response names, in requests per second, or None.
            sent_at: Time in seconds at which its request was sent.
            now: Current time in seconds.
            source: Name of this gateway.

        Returns:
            The `Report` for the other gateways if they need it, else None.
        """
        known = self._known(target.target_id, target.report.born_ms)
        is_limited = known is not None and known.rate is not None
        if rate is None and not (is_limited and sent_at > known.since):
            # A response that was under way when the limit was first named lifts nothing.
            return None
        since = known.since if is_limited else now
        report = Report(target.target_id, target.report.born_ms, rate, now, since, source)
        is_changed = not is_limited or known.rate != rate
        self._put(report, now)
        reported_at = self._reported_at_by_target.get(target.target_id)
        if not is_changed and reported_at is not None and now - reported_at < CONFIRM_SECONDS:
            return None
        self._reported_at_by_target[target.target_id] = now
        return report

    def apply_report(self, report: Report, now: float):
        """Applies a report of another gateway unless a later response is known."""
        known = self._report_by_target.get(report.target_id)
        if known is not None:
            if (known.born_ms, known.at) >= (report.born_ms, report.at):
                return
        if now - report.at >= EXPIRY_SECONDS:
            return
        if known is not None and known.born_ms == report.born_ms:
            if None not in (known.rate, report.rate):
                report.since = min(known.since, report.since)
        self._put(report, now)
        self._reported_at_by_target[report.target_id] = now

    def forget(self, target_id: str):
        """Forgets the limit of a target that has left."""
        self._report_by_target.pop(target_id, None)
        self._reported_at_by_target.pop(target_id, None)

    def sweep(self, now: float):
        """Forgets limits that no response has confirmed for `EXPIRY_SECONDS`."""
        for target_id, report in list(self._report_by_target.items()):
            if now - report.at < EXPIRY_SECONDS:
                continue
            self.forget(target_id)
            if report.rate is not None:
                self.on_changed("expired", report, report.rate)

    def _known(self, target_id, born_ms):
        report = self._report_by_target.get(target_id)
        return report if report is not None and report.born_ms == born_ms else None

    def _put(self, report, now):
        known = self._known(report.target_id, report.born_ms)
        previous = known.rate if known is not None and now - known.at < EXPIRY_SECONDS else None
        self._report_by_target[report.target_id] = report
        self._report_by_target.move_to_end(report.target_id)
        if len(self._report_by_target) > MAX_TARGETS:
            oldest_id = next(iter(self._report_by_target))
            self.forget(oldest_id)
        if report.rate == previous:
            return
        if report.rate is None:
            self.on_changed("lifted", report, previous)
        elif previous is None:
            self.on_changed("named", report, previous)
        else:
            self.on_changed("changed", report, previous)
