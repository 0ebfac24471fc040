"""Decides from what a connection delivers, and not from what is sent on it, whether it is usable.

A connection can stay open and never deliver data again. Only replies are evidence that it works, so
a probe is sent after a time without data, and its reply must arrive in time whatever else is sent.
"""

import collections
import enum
import math


class Verdict(enum.Enum):
    """What the owner of a connection has to do."""

    WAIT = "wait"
    PROBE = "probe"
    CLOSE = "close"


class Settings:
    """Times of a connection, in seconds.

    Attributes:
        probe_interval_s: Time without data after which a probe is sent; infinite for none.
        reply_timeout_s: Time after which a probe without any data since counts as lost, beyond the
            time that the requests before it need.
        min_bytes_per_s: Rate at which requests are assumed to reach the peer at least.
        max_transfer_s: Longest time that is assumed for the requests before a probe.
        late_check_s: Delay of a check from which on the process may have been paused, so that data
            may have arrived and not been read.
        late_grace_s: Time after such a check in which this data is read.
    """

    __slots__ = (
        "probe_interval_s",
        "reply_timeout_s",
        "min_bytes_per_s",
        "max_transfer_s",
        "late_check_s",
        "late_grace_s",
    )

    def __init__(
        self,
        probe_interval_s: float = 0.3,
        reply_timeout_s: float = 0.9,
        min_bytes_per_s: float = 250_000.0,
        max_transfer_s: float = 20.0,
        late_check_s: float = 0.25,
        late_grace_s: float = 0.1,
    ):
        self.probe_interval_s = probe_interval_s
        self.reply_timeout_s = reply_timeout_s
        self.min_bytes_per_s = min_bytes_per_s
        self.max_transfer_s = max_transfer_s
        self.late_check_s = late_check_s
        self.late_grace_s = late_grace_s


class ConnectionMonitor:
    """Watches one connection from its begin to its end.

    Attributes:
        last_data_at: Time of the last data from the peer or of the begin, in seconds.
        next_check_at: Time at which `check` is due at the latest.
    """

    __slots__ = (
        "last_data_at",
        "next_check_at",
        "_settings",
        "_probe_due_at",
        "_close_at",
        "_was_deferred",
        "_sent_bytes",
        "_delivered_bytes",
        "_unanswered",
    )

    def __init__(self, settings: Settings, now: float):
        self._settings = settings
        self._sent_bytes = 0
        self._delivered_bytes = 0
        # (id of the last request of a write, bytes sent up to its end) in the order of sending.
        self._unanswered = collections.deque()
        self.record_data(now)

    def record_data(self, now: float):
        """Records that data has arrived, which need not be a whole reply."""
        self.last_data_at = now
        self._probe_due_at = now + self._settings.probe_interval_s
        self._close_at = math.inf
        self._was_deferred = False
        self.next_check_at = self._probe_due_at

    def record_sent(self, last_request_id: int, size: int):
        """Records a write of requests with rising ids.

        Args:
            last_request_id: Id of the last request in the write.
            size: Bytes written.
        """
        self._sent_bytes += size
        self._unanswered.append((last_request_id, self._sent_bytes))

    def record_reply(self, request_id: int, now: float):
        """Records a whole reply, which shows that all earlier requests have arrived."""
        self.record_data(now)
        while self._unanswered and self._unanswered[0][0] <= request_id:
            self._delivered_bytes = self._unanswered.popleft()[1]

    def check(self, now: float) -> Verdict:
        """Returns what to do now; after PROBE, a request must be sent that is answered at once."""
        settings = self._settings
        if now >= self._close_at:
            is_late = now - self._close_at > settings.late_check_s
            if not is_late or self._was_deferred:
                return Verdict.CLOSE
            self._was_deferred = True
            self._close_at = self.next_check_at = now + settings.late_grace_s
            return Verdict.WAIT
        if now < self._probe_due_at:
            return Verdict.WAIT
        self._probe_due_at = math.inf
        undelivered_bytes = self._sent_bytes - self._delivered_bytes
        transfer_s = min(undelivered_bytes / settings.min_bytes_per_s, settings.max_transfer_s)
        self._close_at = self.next_check_at = now + settings.reply_timeout_s + transfer_s
        return Verdict.PROBE
