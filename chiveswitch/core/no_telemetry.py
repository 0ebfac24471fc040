"""Telemetry of a process without spans and statsd; the libraries for these are not loaded."""


class NoSpan:
    """A span that is not recorded."""

    __slots__ = ()

    def set_attribute(self, _name: str, _value):
        """Records nothing."""

    def end(self):
        """Records nothing."""


SPAN = NoSpan()


class NoTelemetry:
    """The interface of `telemetry.Telemetry` for counters and spans.

    Attributes:
        counters_by_name: Totals since the start.
    """

    __slots__ = ("counters_by_name",)

    def __init__(self):
        self.counters_by_name = {}

    def count(self, name: str, amount: int = 1):
        """Adds to a counter."""
        self.counters_by_name[name] = self.counters_by_name.get(name, 0) + amount

    def gauge(self, _name: str, _value: float):
        """Sends nothing."""

    def span(self, _name: str, _traceparent: str = "", **_attributes) -> NoSpan:
        """Returns a span that is not recorded."""
        return SPAN
