"""Structured log lines on standard output: bounded in volume, and never blocking.

Each line is `part: event key=value ...`. Lines collect during one pass of the event loop and leave
in one write. A full pipe or too many lines in a second drop lines; their number is logged later.
"""

import asyncio
import logging
import os
import sys

from chiveswitch.core import clock

# Lines per second that one process writes at most: about 40 KB/s.
MAX_LINES_PER_SECOND = 300
# Lines that may be written at once after a quiet time.
BURST_LINES = 600
# Longest time in seconds that a line waits for others to share its write.
FLUSH_SECONDS = 0.25
# Bytes that wait for a reader that is slower than the process.
MAX_WAITING_BYTES = 256 * 1024


class DecisionLog:
    """Writes the lines of one process.

    Attributes:
        dropped: Lines that were dropped so far.
    """

    __slots__ = (
        "dropped",
        "_descriptor",
        "_lines",
        "_waiting",
        "_tokens",
        "_filled_at",
        "_reported",
        "_timer",
        "_now",
    )

    def __init__(self, descriptor: int | None = None, now=clock.now):
        """Writes to a descriptor, standard output by default; it is made non-blocking."""
        self.dropped = 0
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        os.set_blocking(self._descriptor, False)
        self._lines = []
        self._waiting = b""
        self._tokens = float(BURST_LINES)
        self._now = now
        self._filled_at = now()
        self._reported = 0
        self._timer = None

    def line(self, part: str, event: str, **fields):
        """Adds a line.

        Args:
            part: Part of the system, the prefix of the line.
            event: What was decided or happened.
            fields: Inputs and outcome; texts with spaces are quoted.
        """
        now = self._now()
        if self._admit(now):
            self._add(_format(f"{part}: {event} at={now:.3f}", fields))

    def text(self, message: str):
        """Adds a line of the standard logger, whose message starts with its part's prefix."""
        now = self._now()
        if self._admit(now):
            self._add(f"{' '.join(message.split())} at={now:.3f}")

    def _admit(self, now):
        """Takes a line from the allowance, or counts it as dropped."""
        self._tokens = min(
            BURST_LINES, self._tokens + (now - self._filled_at) * MAX_LINES_PER_SECOND
        )
        self._filled_at = now
        if self._tokens < 1:
            self.dropped += 1
            return False
        self._tokens -= 1
        return True

    def _add(self, line):
        self._lines.append(line)
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(FLUSH_SECONDS, self.flush)

    def flush(self):
        """Writes what the reader takes now; drops whole lines beyond the bound."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.dropped != self._reported:
            self._lines.append(f"log: lines_dropped count={self.dropped - self._reported}")
            self._reported = self.dropped
        for line in self._lines:
            if len(self._waiting) > MAX_WAITING_BYTES:
                self.dropped += 1
                continue
            self._waiting += line.encode() + b"\n"
        self._lines.clear()
        if not self._waiting:
            return
        try:
            written = os.write(self._descriptor, self._waiting)
        except BlockingIOError:
            return
        self._waiting = self._waiting[written:]


def _format(head: str, fields: dict) -> str:
    words = [head]
    for name, value in fields.items():
        if isinstance(value, float):
            value = f"{value:.3f}"
        elif isinstance(value, str) and (not value or " " in value):
            value = f'"{value}"'
        words.append(f"{name}={value}")
    return " ".join(words)


class DecisionLogHandler(logging.Handler):
    """Passes what the standard loggers of the event loop's thread log on to a decision log."""

    def __init__(self, log: DecisionLog):
        super().__init__()
        self._log = log

    def emit(self, record):
        """Adds a record, with its exception in short."""
        message = record.getMessage()
        if record.exc_info and record.exc_info[1] is not None:
            message = f"{message}: {record.exc_info[1]!r}"
        self._log.text(message)
