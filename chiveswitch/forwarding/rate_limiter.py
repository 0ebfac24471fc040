"""Keeps the requests of all gateways together below the limits that targets name.

A gateway learns limits from responses and from other gateways. Before it sends a request to a
target with a limit, it asks the issuer of the target's service for a grant. Requests that come
while an answer of the issuer is awaited are sent to it together. Without an issuer each gateway
uses an equal share of the limit.
"""

import asyncio
import math

from chiveswitch.core import clock, quota, rate_limits, retry
from chiveswitch.forwarding import grant_requester

# Largest number of targets among which the issuer chooses for one request.
MAX_CANDIDATES = 8
# Number of gateways that is assumed until they are known.
ASSUMED_GATEWAYS = 10
# Window over which the requests to targets with a limit are counted for the metrics.
USE_WINDOW_SECONDS = 4.0
# Largest number of targets whose limits are served as metrics.
MAX_METRIC_TARGETS = 50


class RateLimiter(grant_requester.GrantRequester):
    """Limits known to one gateway, and its requests for grants.

    Attributes:
        table: `rate_limits.RateLimitTable`.
        report: Function that is called with each `rate_limits.Report` for the other gateways.
    """

    __slots__ = ("table", "report", "_count_by_target", "_node_name")

    def __init__(self, log, metrics, node_name: str, spawn, rng):
        """Creates a limiter without limits.

        Args:
            log: `decision_log.DecisionLog`.
            metrics: `metrics.Metrics`.
            node_name: Name of this gateway's node.
            spawn: Function that runs a coroutine as a task.
            rng: Random number generator.
        """
        super().__init__(log, metrics, spawn, quota.QuotaIssuer(rng))
        self.table = rate_limits.RateLimitTable(self._on_changed)
        self.report = lambda report: None
        self._count_by_target = {}
        self._node_name = node_name

    # Knowledge of limits.

    def is_limited(self, target) -> bool:
        """Returns whether a `target_table.Target` has a limit."""
        return self.table.rate_of(target, clock.now()) is not None

    def any_limited(self, targets: list) -> bool:
        """Returns whether any of the targets has a limit."""
        return any(self.is_limited(target) for target in targets)

    def without_limits(self, targets: list) -> list:
        """Returns the targets that have no limit."""
        return [target for target in targets if not self.is_limited(target)]

    def observe_response(self, target, response_info, sent_at: float):
        """Learns from a response that belongs to its request.

        Args:
            target: The `target_table.Target` that sent it.
            response_info: The `exchange.ResponseInfo`.
            sent_at: Time in seconds at which the request was sent.
        """
        if response_info.is_misdirected:
            return
        if response_info.rate_limit_fault:
            self._metrics.count("limits_ignored")
            self._log.line(
                "gateway",
                "limit_ignored",
                target=target.target_id,
                reason=response_info.rate_limit_fault,
            )
            return
        report = self.table.observe_response(
            target, response_info.rate_limit, sent_at, clock.now(), self._node_name
        )
        if report is not None:
            self.report(report)

    def forget(self, target_id: str):
        """Forgets a target that has left."""
        self.table.forget(target_id)
        self._count_by_target.pop(target_id, None)

    def sweep(self, gateway_count: int, now: float):
        """Forgets what is too old, and sets the number of gateways that share the limits."""
        if self.issue is not None:
            self._own_issuer.share = 1 / max(2, gateway_count)
        self.table.sweep(now)
        self.sweep_requests(now)
        for target_id, count in list(self._count_by_target.items()):
            if not count.total(now):
                del self._count_by_target[target_id]

    def connect(self, issue, report):
        """Sets the functions `issue` and `report` to those of a group of gateways."""
        self.issue = issue
        self.report = report
        self._own_issuer.share = 1 / ASSUMED_GATEWAYS

    def _on_changed(self, event, report, previous):
        now = clock.now()
        self._metrics.count(f"limits_{event}")
        self._log.line(
            "gateway",
            f"limit_{event}",
            target=report.target_id,
            rate=math.inf if report.rate is None else report.rate,
            before=math.inf if previous is None else previous,
            source=report.source,
            age=now - report.at,
            since=now - report.since,
        )

    # Grants.

    async def select_granted(
        self, admitted, chosen, targets: list, choose, max_wait_s: float, is_resumed: bool = False
    ):
        """Returns a target to which a request may be sent now, and may wait for its grant.

        Args:
            admitted: The `forwarder.AdmittedRequest`.
            chosen: The preferred one of the targets, which has a limit.
            targets: Targets that may be chosen.
            choose: Function that returns the best one of a list of targets.
            max_wait_s: Longest time in seconds for which the request may wait if all targets have
                a limit. It does not wait if there are others.
            is_resumed: Whether the request continues a stream that was interrupted.

        Returns:
            The target, or None; and the seconds after which the request may be repeated if no
            target is permitted.
        """
        now = clock.now()
        free, limited = [], []
        for target in targets:
            (free if self.table.rate_of(target, now) is None else limited).append(target)
        rate_by_target = {}
        candidate = chosen if chosen in limited else choose(limited)
        while candidate is not None and len(rate_by_target) < MAX_CANDIDATES:
            rate_by_target[candidate.target_id] = self.table.rate_of(candidate, now)
            limited.remove(candidate)
            candidate = choose(limited)
        request = quota.QuotaRequest(
            rate_by_target,
            admitted.account or "",
            admitted.priority,
            0.0 if free else max(0.0, max_wait_s),
            is_resumed,
        )
        grant = await self.request_grant(admitted.service.name, request)
        target_by_id = {target.target_id: target for target in targets}
        if grant.target_id:
            if grant.delay_s > 0:
                self._log_outcome(admitted, "held", grant.target_id, grant.delay_s)
                await asyncio.sleep(grant.delay_s)
            return target_by_id.get(grant.target_id), 0.0
        if free:
            target = choose(free)
            self._log_outcome(admitted, "moved", target.target_id, 0.0)
            return target, 0.0
        self._log_outcome(admitted, "denied", chosen.target_id, grant.retry_after_s)
        return None, grant.retry_after_s

    async def may_send(self, admitted, target) -> bool:
        """Returns whether a request about a run may be sent to its engine now.

        Args:
            admitted: The `forwarder.AdmittedRequest` of the run.
            target: The engine.
        """
        rate = self.table.rate_of(target, clock.now())
        if rate is None:
            return True
        request = quota.QuotaRequest({target.target_id: rate}, admitted.account or "")
        grant = await self.request_grant(admitted.service.name, request)
        return grant.target_id == target.target_id

    def record_sent(self, target):
        """Counts a request that is sent to a target with a limit."""
        now = clock.now()
        if self.table.rate_of(target, now) is None:
            return
        count = self._count_by_target.get(target.target_id)
        if count is None:
            count = retry.WindowCount(USE_WINDOW_SECONDS)
            self._count_by_target[target.target_id] = count
        count.add(now)

    def _log_outcome(self, admitted, outcome, target_id, seconds):
        self._metrics.count(f"limited_{outcome}")
        self._log.line(
            "gateway",
            "limited",
            request=admitted.caller.request_id,
            outcome=outcome,
            target=target_id,
            seconds=seconds,
            left=admitted.remaining_s(),
        )

    # Metrics.

    def limit_by_target(self) -> dict:
        """Returns the limits in requests per second by target, of a bounded number of targets."""
        reports = self.table.in_force()[-MAX_METRIC_TARGETS:]
        return {report.target_id: report.rate for report in reports}

    def use_by_target(self) -> dict:
        """Returns the rate at which this gateway sends requests to each of the same targets."""
        now = clock.now()
        rate_by_target = {}
        for target_id in self.limit_by_target():
            count = self._count_by_target.get(target_id)
            rate_by_target[target_id] = count.total(now) / USE_WINDOW_SECONDS if count else 0.0
        return rate_by_target
