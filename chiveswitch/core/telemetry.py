"""Trace spans, metrics and logging for all daemons.

Spans are exported by a thread of the OpenTelemetry library.
"""

import json
import logging

import statsd
from opentelemetry import trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry.trace.propagation import tracecontext

PROPAGATOR = tracecontext.TraceContextTextMapPropagator()
LOG_FORMAT = "%(asctime)s %(levelname)s %(message)s"


class LineExporter(export.SpanExporter):
    """Appends one JSON line per finished span to a file."""

    def __init__(self, path: str):
        self._file = open(path, "a", encoding="utf-8")

    def export(self, spans):
        """Writes finished spans; returns SUCCESS, or FAILURE if the file cannot be written."""
        try:
            for span in spans:
                context = span.get_span_context()
                line = {
                    "trace": f"{context.trace_id:032x}",
                    "span": f"{context.span_id:016x}",
                    "parent": f"{span.parent.span_id:016x}" if span.parent else "",
                    "name": span.name,
                    "start_ns": span.start_time,
                    "end_ns": span.end_time,
                    "process": span.resource.attributes.get("service.instance.id", ""),
                    "attributes": dict(span.attributes),
                    "events": [[event.name, event.timestamp] for event in span.events],
                }
                self._file.write(json.dumps(line) + "\n")
            self._file.flush()
        except OSError:
            return export.SpanExportResult.FAILURE
        return export.SpanExportResult.SUCCESS

    def shutdown(self):
        """Closes the file."""
        self._file.close()


class Telemetry:
    """Trace spans and metrics of one process.

    Attributes:
        count_by_name: Totals of the counters since the start; kept without a statsd server, too.
    """

    def __init__(self, part: str, instance: str, trace_file: str = "", statsd_address: str = ""):
        resource = resources.Resource.create(
            {"service.name": f"chiveswitch-{part}", "service.instance.id": instance}
        )
        self._provider = sdk_trace.TracerProvider(resource=resource)
        if trace_file:
            self._provider.add_span_processor(
                export.BatchSpanProcessor(LineExporter(trace_file), schedule_delay_millis=200)
            )
        self._tracing = bool(trace_file)
        self._tracer = self._provider.get_tracer("chiveswitch")
        self.count_by_name = {}
        self._statsd = None
        if statsd_address:
            host, _, port = statsd_address.rpartition(":")
            self._statsd = statsd.StatsClient(host, int(port), prefix=f"chiveswitch.{part}")

    def count(self, name: str, amount: int = 1):
        """Adds to a counter."""
        self.count_by_name[name] = self.count_by_name.get(name, 0) + amount
        if self._statsd is not None:
            self._statsd.incr(name, amount)

    def gauge(self, name: str, value: float):
        """Sends the value of a gauge to statsd."""
        if self._statsd is not None:
            self._statsd.gauge(name, value)

    def timing(self, name: str, seconds: float):
        """Sends a duration in seconds to statsd, which gets it in milliseconds."""
        if self._statsd is not None:
            self._statsd.timing(name, seconds * 1000)

    def span(self, name: str, traceparent: str = "", **attributes):
        """Starts a span, which its `end()` finishes.

        Args:
            name: Name of the span.
            traceparent: Trace context of the parent span, or empty for a new trace.
            attributes: Attributes of the span.
        """
        if not self._tracing:
            return trace.INVALID_SPAN
        context = PROPAGATOR.extract({"traceparent": traceparent}) if traceparent else None
        return self._tracer.start_span(name, context=context, attributes=attributes)

    def traceparent(self, span) -> str:
        """Returns the trace context that makes a span the parent of remote spans, or empty."""
        if span is trace.INVALID_SPAN:
            return ""
        carrier = {}
        PROPAGATOR.inject(carrier, context=trace.set_span_in_context(span))
        return carrier.get("traceparent", "")

    def close(self):
        """Exports the buffered spans and stops the exporter."""
        self._provider.shutdown()


def set_up_logging(level: str):
    """Configures logging to standard error; messages start with the prefix of their part."""
    logging.basicConfig(level=level.upper(), format=LOG_FORMAT)
    logging.getLogger("uvicorn").setLevel(logging.WARNING)
