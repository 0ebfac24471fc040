"""Pace of a service's recent streams at one gateway; the least time for a stream follows from it.

A stream that cannot end before its deadline even at the best recent pace is refused at once: it
would only slow down the others and occupy memory.
"""

import collections

# Number of recent streams that are considered.
WINDOW_STREAMS = 16
# Number of streams below which no pace is known.
MIN_STREAMS = 4
# Seconds without an observation after which the pace is unknown again. Refused streams bring none,
# so that a pace from an overload would otherwise last.
MAX_AGE_SECONDS = 10.0
# Share of the recent streams that count as exceptionally fast, for example because an engine had
# their prompt cached.
OUTLIER_SHARE = 0.2
# Prompt tokens per second that are assumed to be possible while no pace is known.
FAST_PREFILL_TOKENS_PER_SECOND = 11_500.0


class StreamPace:
    """Pace of the recent streams of one service, as if all its engines were of usual speed.

    All values describe the best streams, without outliers.
    """

    __slots__ = (
        "_prefill_seconds_per_token",
        "_event_intervals",
        "_length_shares",
        "_observed_at",
    )

    def __init__(self):
        self._prefill_seconds_per_token = collections.deque(maxlen=WINDOW_STREAMS)
        self._event_intervals = collections.deque(maxlen=WINDOW_STREAMS)
        self._length_shares = collections.deque(maxlen=WINDOW_STREAMS)
        self._observed_at = 0.0

    def forget_old(self, now: float):
        """Forgets the pace if no stream was observed for `MAX_AGE_SECONDS`."""
        if now - self._observed_at <= MAX_AGE_SECONDS:
            return
        for values in (
            self._prefill_seconds_per_token,
            self._event_intervals,
            self._length_shares,
        ):
            values.clear()

    def observe(
        self,
        prompt_tokens: int,
        first_event_s: float,
        event_interval_s: float,
        length_share: float,
        now: float,
        factor: float = 1.0,
    ):
        """Adds a stream that one engine served from its first event to its last.

        Args:
            prompt_tokens: Tokens of its prompt.
            first_event_s: Seconds from the request to the first event.
            event_interval_s: Average seconds between two events.
            length_share: Number of its events as a share of the largest possible number.
            now: Current time in seconds.
            factor: How long work takes at the engine, 1.0 as usual.
        """
        self._observed_at = now
        if prompt_tokens:
            self._prefill_seconds_per_token.append(first_event_s / prompt_tokens / factor)
        self._event_intervals.append(event_interval_s / factor)
        self._length_shares.append(length_share)

    def least_prefill_s(self, prompt_tokens: int) -> float:
        """Returns the least seconds in which an engine of usual speed reads a prompt."""
        per_token = _low_quantile(self._prefill_seconds_per_token)
        if per_token is None:
            per_token = 1 / FAST_PREFILL_TOKENS_PER_SECOND
        return prompt_tokens * per_token

    def least_events_s(self, max_events: float, sent_events: int) -> float:
        """Returns the least seconds in which an engine of usual speed sends the rest of a stream.

        Args:
            max_events: Largest possible number of events of the stream.
            sent_events: Number of events that the caller already has.
        """
        interval = _low_quantile(self._event_intervals)
        share = _low_quantile(self._length_shares)
        if interval is None or share is None:
            return 0.0
        return max(0.0, max_events * share - sent_events) * interval


def _low_quantile(values):
    """Returns the lowest value that is no outlier, or None without enough values."""
    if len(values) < MIN_STREAMS:
        return None
    return sorted(values)[int(len(values) * OUTLIER_SHARE)]
