"""Measures what a node uses of its VM: processor, network link, memory and descriptors."""

from chiveswitch.core import rooms

# Each byte of a caller passes the link a second time, to or from a target.
LINK_PASSES = 2
# Time between two measurements, and the delay of one at which the processor counts as used up:
# callers notice such a delay in each step of their requests.
INTERVAL_SECONDS = 1.0
FULL_DELAY_SECONDS = 0.2


class UsageProbe:
    """Measures the usage since the last measurement."""

    __slots__ = ("_settings", "_server", "_measured_at", "_bytes")

    def __init__(self, settings, server, now: float):
        """Starts to measure.

        Args:
            settings: `node_settings.NodeSettings` with the sizes of the VM.
            server: The `http_server.Server` of callers.
            now: Current time in seconds.
        """
        self._settings = settings
        self._server = server
        self._measured_at = now
        self._bytes = server.transferred_bytes

    def measure(self, now: float) -> rooms.Usage:
        """Returns the `rooms.Usage` since the last call; it is called each `INTERVAL_SECONDS`."""
        settings = self._settings
        elapsed_s = max(now - self._measured_at, 1e-3)
        transferred = self._server.transferred_bytes
        delay_s = max(0.0, elapsed_s - INTERVAL_SECONDS)
        link = _share(
            LINK_PASSES * (transferred - self._bytes) / elapsed_s, settings.link_bytes_per_s
        )
        self._measured_at = now
        self._bytes = transferred
        return rooms.Usage(
            min(1.0, delay_s / FULL_DELAY_SECONDS),
            link,
            min(1.0, self._server.intake.budget.callers_share()),
            _share(len(self._server.connections), self._server.max_connections),
        )


def _share(used, size):
    return used / size if size > 0 else 0.0
