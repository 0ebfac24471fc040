"""Structured log lines on standard output, with a bounded volume and non-blocking writes.

Each line is `part: event key=value ...`. Lines are buffered for a short time and written together.
If the pipe is full, or too many lines are logged in a second, lines are dropped; the number of
dropped lines is logged later.
"""

import asyncio
import logging
import os
import sys

from chiveswitch.core import clock

# Largest number of lines per second that one process logs: about 40 KB/s.
MAX_LINES_PER_SECOND = 300
# Capacity of the token bucket: lines that may be logged at once after a time with few lines.
BURST_LINES = 600
# Longest time for which a line is buffered so that it can be written together with others.
FLUSH_SECONDS = 0.25
# Lines are dropped while more than this is buffered, because the reader of the log is too slow.
MAX_BUFFERED_BYTES = 256 * 1024


class DecisionLog:
    """Writes the lines of one process.

    Attributes:
        dropped: Number of lines that were dropped so far.
    """

    __slots__ = (
        "dropped",
        "_descriptor",
        "_lines",
        "_unwritten",
        "_tokens",
        "_refilled_at",
        "_reported_dropped",
        "_timer",
        "_now",
    )

    def __init__(self, descriptor: int | None = None, now=clock.now):
        """Creates a log that writes to a descriptor, which is made non-blocking.

        Args:
            descriptor: File descriptor, or None for standard output.
            now: Function that returns the time in seconds.
        """
        self.dropped = 0
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        os.set_blocking(self._descriptor, False)
        self._lines = []
        self._unwritten = b""
        self._tokens = float(BURST_LINES)
        self._now = now
        self._refilled_at = now()
        self._reported_dropped = 0
        self._timer = None

    def line(self, part: str, event: str, **fields):
        """Logs an event.

        Args:
            part: Part of the system that logs, the prefix of the line.
            event: Name of the event or decision.
            fields: Values by key, such as inputs and outcome; texts with spaces are quoted.
        """
        now = self._now()
        if self._spend_token(now):
            self._buffer_line(_format_line(f"{part}: {event} at={now:.3f}", fields))

    def text(self, message: str):
        """Logs a message of the standard logger, which starts with the prefix of its part."""
        now = self._now()
        if self._spend_token(now):
            self._buffer_line(f"{' '.join(message.split())} at={now:.3f}")

    def permit_burst(self):
        """Permits a whole burst of lines from now on, whatever was logged before."""
        self._tokens = float(BURST_LINES)

    def _spend_token(self, now):
        """Spends a token of the bucket for a line; counts the line as dropped if none is left."""
        self._tokens = min(
            BURST_LINES, self._tokens + (now - self._refilled_at) * MAX_LINES_PER_SECOND
        )
        self._refilled_at = now
        if self._tokens < 1:
            self.dropped += 1
            return False
        self._tokens -= 1
        return True

    def _buffer_line(self, line):
        self._lines.append(line)
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(FLUSH_SECONDS, self.flush)

    def flush(self):
        """Writes as much as the descriptor accepts; drops whole lines beyond the buffer's limit."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.dropped != self._reported_dropped:
            self._lines.append(f"log: lines_dropped count={self.dropped - self._reported_dropped}")
            self._reported_dropped = self.dropped
        for line in self._lines:
            if len(self._unwritten) > MAX_BUFFERED_BYTES:
                self.dropped += 1
                continue
            self._unwritten += line.encode() + b"\n"
        self._lines.clear()
        if not self._unwritten:
            return
        try:
            written = os.write(self._descriptor, self._unwritten)
        except BlockingIOError:
            return
        self._unwritten = self._unwritten[written:]


def _format_line(head: str, fields: dict) -> str:
    parts = [head]
    for name, value in fields.items():
        if isinstance(value, float):
            value = f"{value:.3f}"
        elif isinstance(value, str) and (not value or " " in value):
            value = f'"{value}"'
        parts.append(f"{name}={value}")
    return " ".join(parts)


class DecisionLogHandler(logging.Handler):
    """Forwards records of standard loggers to a decision log.

    It may only be used in the thread of the event loop.
    """

    def __init__(self, log: DecisionLog):
        super().__init__()
        self._log = log

    def emit(self, record):
        """Logs a record; its exception is appended as one line without the traceback."""
        message = record.getMessage()
        if record.exc_info and record.exc_info[1] is not None:
            message = f"{message}: {record.exc_info[1]!r}"
        self._log.text(message)
