"""Telemetry without spans and statsd, for processes that don't load the libraries for these."""


class NoSpan:
    """Span without effect, in place of one that is recorded."""

    __slots__ = ()

    def set_attribute(self, _name: str, _value):
        """Ignores the attribute."""

    def end(self):
        """Ignores the end of the span."""


SPAN = NoSpan()


class NoTelemetry:
    """Implements the counters, gauges and spans of `telemetry.Telemetry` without exporting them.

    Attributes:
        count_by_name: Totals of the counters since the start of the process.
    """

    __slots__ = ("count_by_name",)

    def __init__(self):
        self.count_by_name = {}

    def count(self, name: str, amount: int = 1):
        """Adds to a counter."""
        self.count_by_name[name] = self.count_by_name.get(name, 0) + amount

    def gauge(self, _name: str, _value: float):
        """Ignores the gauge."""

    def span(self, _name: str, _traceparent: str = "", **_attributes) -> NoSpan:
        """Returns a span without effect."""
        return SPAN
