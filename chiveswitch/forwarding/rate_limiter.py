"""The limits that targets name, as one gateway knows them."""

from chiveswitch.core import clock, rate_limits


class RateLimiter:
    """Learns limits from responses and from other gateways.

    Attributes:
        table: `rate_limits.RateLimitTable`.
        report: Function that is called with each `rate_limits.Report` for the other gateways.
    """

    __slots__ = ("table", "report", "_log", "_metrics", "_node_name")

    def __init__(self, log, metrics, node_name: str):
        """Creates a limiter without limits.

        Args:
            log: `decision_log.DecisionLog`.
            metrics: `metrics.Metrics`.
            node_name: Name of this gateway's node.
        """
        self.table = rate_limits.RateLimitTable(self._on_changed)
        self.report = lambda report: None
        self._log = log
        self._metrics = metrics
        self._node_name = node_name

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

    def _on_changed(self, event, report, previous):
        now = clock.now()
        self._metrics.count(f"limits_{event}")
        self._log.line(
            "gateway",
            f"limit_{event}",
            target=report.target_id,
            rate=-1.0 if report.rate is None else report.rate,
            before=-1.0 if previous is None else previous,
            source=report.source,
            age=now - report.at,
            since=now - report.since,
        )
