"""Detects silent engines from the learned interval between the events of their streams."""

HEARTBEAT_INTERVAL_SECONDS = 0.25
MIN_SILENCE_LIMIT_SECONDS = 0.3
MAX_SILENCE_LIMIT_SECONDS = 1.0

# Minimum gains of the exponential moving averages of the mean and the mean deviation. Many streams
# of an engine share one estimate, so even small gains follow a change of the batch size within a
# second. Gains start at 1/2 and fall with the number of intervals, so that the limit of a new
# engine settles within ten tokens.
MEAN_GAIN = 1 / 16
DEVIATION_GAIN = 1 / 8

# Longer intervals count as this length. A pause of a minute would otherwise keep the limit at its
# maximum for a long time after the engine has recovered.
MAX_OBSERVED_INTERVAL_SECONDS = 2 * MAX_SILENCE_LIMIT_SECONDS

PREFILL = "prefill"
DECODE = "decode"

DETECTOR_BY_NAME = {}


def register(name: str):
    """Returns a decorator that registers a detector class under a name."""

    def add_to_registry(detector_class):
        DETECTOR_BY_NAME[name] = detector_class
        return detector_class

    return add_to_registry


class IntervalEstimate:
    """Moving estimate of the interval between events of one engine in one phase.

    Attributes:
        mean: Moving average of the interval, in seconds.
        deviation: Moving average of the absolute deviation, in seconds.
        min_hedge_delay: Minimum silence before a hedge, in seconds.
    """

    __slots__ = ("mean", "deviation", "min_hedge_delay", "_gain")

    def __init__(self, min_hedge_delay: float):
        # Without observations the silence limit is at its maximum.
        self.mean = HEARTBEAT_INTERVAL_SECONDS
        self.deviation = (MAX_SILENCE_LIMIT_SECONDS - HEARTBEAT_INTERVAL_SECONDS) / 4
        self.min_hedge_delay = min_hedge_delay
        self._gain = 0.5

    def observe(self, interval: float):
        """Updates the estimate with the seconds between two events of one stream."""
        if interval > MAX_OBSERVED_INTERVAL_SECONDS:
            interval = MAX_OBSERVED_INTERVAL_SECONDS
        error = interval - self.mean
        if error < 0:
            absolute_error = -error
        else:
            absolute_error = error
        gain = self._gain
        if gain > MEAN_GAIN:
            self._gain = gain / (1 + gain)
            self.mean += error * gain
            self.deviation += (absolute_error - self.deviation) * max(gain, DEVIATION_GAIN)
            return
        self.mean += error * MEAN_GAIN
        self.deviation += (absolute_error - self.deviation) * DEVIATION_GAIN

    def silence_limit(self) -> float:
        """Returns the seconds of silence after which a stream counts as lost."""
        return min(
            max(self.mean + 4 * self.deviation, MIN_SILENCE_LIMIT_SECONDS),
            MAX_SILENCE_LIMIT_SECONDS,
        )

    def hedge_delay(self) -> float:
        """Returns the seconds of silence before a hedge may start, at most the silence limit."""
        limit = self.silence_limit()
        return min(limit, max(limit / 2, self.mean + 2 * self.deviation, self.min_hedge_delay))


class FixedEstimate:
    """Constant silence limit with the interface of `IntervalEstimate`."""

    __slots__ = ("timeout",)

    def __init__(self, timeout: float):
        self.timeout = timeout

    def observe(self, interval: float):
        """Ignores the interval, because the limit is constant."""

    def silence_limit(self) -> float:
        """Returns the constant limit, in seconds."""
        return self.timeout

    def hedge_delay(self) -> float:
        """Returns half the constant limit, in seconds."""
        return self.timeout / 2


class _Detector:
    __slots__ = ("_estimate_by_key", "moves", "false_moves")

    def __init__(self):
        self._estimate_by_key = {}
        self.moves = 0
        self.false_moves = 0

    def interval_estimate(self, engine: str, phase: str):
        """Returns the estimate shared by all streams of an engine in a phase.

        It is created on first use.
        """
        key = (engine, phase)
        estimate = self._estimate_by_key.get(key)
        if estimate is None:
            estimate = self._estimate_by_key[key] = self._create_estimate(phase)
        return estimate

    def forget_engine(self, engine: str):
        """Deletes the estimates of an engine that left the directory."""
        for phase in (PREFILL, DECODE):
            self._estimate_by_key.pop((engine, phase), None)

    def count_move(self):
        """Counts a stream that was moved because its engine was silent."""
        self.moves += 1

    def count_false_move(self):
        """Counts a move after which the engine that was silent answered."""
        self.false_moves += 1


@register("adaptive")
class AdaptiveDetector(_Detector):
    """Detector that learns a limit per engine and phase.

    Attributes:
        moves: Number of streams moved because of silence.
        false_moves: Number of these moves after which the engine answered.
    """

    __slots__ = ()

    def _create_estimate(self, phase):
        # An engine sends only heartbeats during prefill. If hedges could start before the next
        # heartbeat is due, one would start in every undisturbed prefill.
        return IntervalEstimate(MIN_SILENCE_LIMIT_SECONDS if phase == PREFILL else 0.0)


@register("fixed_timeout")
class FixedTimeoutDetector(_Detector):
    """Baseline for comparisons: one constant limit for all engines and phases.

    Attributes:
        moves: Number of streams moved because of silence.
        false_moves: Number of these moves after which the engine answered.
    """

    __slots__ = ("timeout",)

    def __init__(self, timeout: float = MAX_SILENCE_LIMIT_SECONDS):
        super().__init__()
        self.timeout = timeout

    def _create_estimate(self, phase):
        return FixedEstimate(self.timeout)
