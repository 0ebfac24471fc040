"""The clock of leases and deadlines, which also runs while the VM is suspended."""

import time


def now() -> float:
    """Returns seconds of CLOCK_BOOTTIME.

    `time.monotonic()` stops while a VM is suspended on Linux, so that a lease would outlive the
    suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
