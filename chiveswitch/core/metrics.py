"""Counters and latency histograms of one process, served as text on its metrics address."""

from hdrh import histogram

# Bounds of the histograms in microseconds, and their significant digits.
LOWEST_US = 1
HIGHEST_US = 60_000_000
DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """Counters by name, histograms by name, and gauges that are read when they are served.

    Attributes:
        count_by_name: Totals since the start.
        gauge_by_name: Functions that return the present value.
    """

    __slots__ = ("count_by_name", "gauge_by_name", "_histogram_by_name", "_sum_by_name")

    def __init__(self):
        self.count_by_name = {}
        self.gauge_by_name = {}
        self._histogram_by_name = {}
        self._sum_by_name = {}

    def count(self, name: str, amount: int = 1):
        """Adds to a counter."""
        self.count_by_name[name] = self.count_by_name.get(name, 0) + amount

    def observe(self, name: str, seconds: float):
        """Adds a duration to a histogram."""
        found = self._histogram_by_name.get(name)
        if found is None:
            found = histogram.HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
            self._histogram_by_name[name] = found
        found.record_value(min(HIGHEST_US, max(LOWEST_US, int(seconds * 1e6))))
        self._sum_by_name[name] = self._sum_by_name.get(name, 0.0) + seconds

    def text(self) -> str:
        """Returns all values, one a line, in the text format that metrics collectors read."""
        lines = []
        for name in sorted(self.count_by_name):
            lines.append(f"chiveswitch_{name}_total {self.count_by_name[name]}")
        for name in sorted(self.gauge_by_name):
            lines.append(f"chiveswitch_{name} {self.gauge_by_name[name]()}")
        for name in sorted(self._histogram_by_name):
            found = self._histogram_by_name[name]
            for percentile in PERCENTILES:
                value = found.get_value_at_percentile(percentile) / 1e6
                quantile = percentile / 100
                lines.append(f'chiveswitch_{name}_seconds{{quantile="{quantile:g}"}} {value:.6f}')
            lines.append(f"chiveswitch_{name}_seconds_sum {self._sum_by_name[name]:.6f}")
            lines.append(f"chiveswitch_{name}_seconds_count {found.get_total_count()}")
        return "\n".join(lines) + "\n"
