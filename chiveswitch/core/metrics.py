"""Counters and latency histograms of one process, served as text on its metrics address."""

from hdrh import histogram

# Range of the histograms in microseconds, and the number of significant digits they keep.
LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """Counters, latency histograms, and gauges whose values are read when they are served.

    Attributes:
        count_by_name: Totals of the counters since the start of the process.
        gauge_by_name: Functions that return the present value of a gauge.
        target_gauge_by_name: Functions that return the present values of a gauge by target id.
    """

    __slots__ = (
        "count_by_name",
        "gauge_by_name",
        "target_gauge_by_name",
        "_histogram_by_name",
        "_sum_by_name",
    )

    def __init__(self):
        self.count_by_name = {}
        self.gauge_by_name = {}
        self.target_gauge_by_name = {}
        self._histogram_by_name = {}
        self._sum_by_name = {}

    def count(self, name: str, amount: int = 1):
        """Adds to a counter."""
        self.count_by_name[name] = self.count_by_name.get(name, 0) + amount

    def observe(self, name: str, seconds: float):
        """Adds a duration to a histogram; values outside its range are clamped."""
        latencies = self._histogram_by_name.get(name)
        if latencies is None:
            latencies = histogram.HdrHistogram(
                LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
            )
            self._histogram_by_name[name] = latencies
        latencies.record_value(
            min(HIGHEST_MICROSECONDS, max(LOWEST_MICROSECONDS, int(seconds * 1e6)))
        )
        self._sum_by_name[name] = self._sum_by_name.get(name, 0.0) + seconds

    def text(self) -> str:
        """Returns all values in the Prometheus text format, one per line."""
        lines = []
        for name in sorted(self.count_by_name):
            lines.append(f"chiveswitch_{name}_total {self.count_by_name[name]}")
        for name in sorted(self.gauge_by_name):
            lines.append(f"chiveswitch_{name} {self.gauge_by_name[name]()}")
        for name in sorted(self.target_gauge_by_name):
            for target_id, value in self.target_gauge_by_name[name]().items():
                lines.append(f'chiveswitch_{name}{{target="{target_id}"}} {value:.3f}')
        for name in sorted(self._histogram_by_name):
            latencies = self._histogram_by_name[name]
            for percentile in PERCENTILES:
                value = latencies.get_value_at_percentile(percentile) / 1e6
                quantile = percentile / 100
                lines.append(f'chiveswitch_{name}_seconds{{quantile="{quantile:g}"}} {value:.6f}')
            lines.append(f"chiveswitch_{name}_seconds_sum {self._sum_by_name[name]:.6f}")
            lines.append(f"chiveswitch_{name}_seconds_count {latencies.get_total_count()}")
        return "\n".join(lines) + "\n"
