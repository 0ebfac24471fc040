"""Shifts the time of day of a process under test; loaded by Python from its module path at start.

The seconds are read from the file that is named like the process's settings with `.clock` after
it, at each question for the time, so that the clock jumps while the process runs.
"""

import os
import time

_path = f"{os.environ.get('CHIVESWITCH_BOOT', '')}.clock"
_time, _time_ns = time.time, time.time_ns


def _shift() -> int:
    try:
        with open(_path) as file:
            return int(file.read() or 0)
    except OSError:
        # No file means a clock that is right.
        return 0


time.time = lambda: _time() + _shift()
time.time_ns = lambda: _time_ns() + _shift() * 1_000_000_000
