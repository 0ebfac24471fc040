"""Shifts the time of day of a process under test; Python imports this module at startup.

Each call of `time.time` reads the shift in seconds from the file that `CHIVESWITCH_BOOT` names,
with the suffix `.clock`. A test can therefore make the clock jump while the process runs.
"""

import os
import time

_shift_file = f"{os.environ.get('CHIVESWITCH_BOOT', '')}.clock"
_real_time, _real_time_ns = time.time, time.time_ns


def _read_shift_seconds() -> int:
    try:
        with open(_shift_file) as file:
            return int(file.read() or 0)
    except OSError:
        # Without the file the clock is not shifted.
        return 0


time.time = lambda: _real_time() + _read_shift_seconds()
time.time_ns = lambda: _real_time_ns() + _read_shift_seconds() * 1_000_000_000
