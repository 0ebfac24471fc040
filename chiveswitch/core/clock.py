"""Clock for leases and deadlines, which keeps running while the VM is suspended."""

import time


def now() -> float:
    """Returns the time in seconds of CLOCK_BOOTTIME.

    On Linux, `time.monotonic()` stops while the VM is suspended, so a lease that should have ended
    during the suspension would still seem valid after it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
