"""Lasting speed of targets, learned from what they state in their responses.

Targets of one service may run on machines of different speeds and share them with others. A factor
says how long work takes at a target: 1.0 as usual, 2.0 twice as long. Gateways pool what they
observe, because one of them sends few requests to each target.
"""

import collections
import math
import statistics

# Factors are stated in percent.
PERCENT = 100.0
# Bounds of the factors that count; others are errors of a target or of a gateway.
MIN_FACTOR = 0.05
MAX_FACTOR = 20.0
# Factors this close to 1.0, as a ratio, count as 1.0.
EQUAL_RATIO = 1.1
# Evidence that is this old counts half. Neighbours on a machine change its speed within a second,
# but the machine stays the same.
HALF_LIFE_SECONDS = 30.0
# Evidence older than this is dropped.
MAX_AGE_SECONDS = 120.0
# Number of the latest observations of a target that are kept.
MAX_OBSERVATIONS = 7
# Share of the evidence that counts as exceptionally fast. Neighbours slow a target down for a while
# and nothing makes it faster than it is, so that low values are closer to its lasting speed.
OUTLIER_SHARE = 1 / 3
# Observations that follow within this time of another one count once.
SAME_MOMENT_SECONDS = 0.4
# Weight of the assumption that a target is as fast as usual, in observations.
PRIOR_WEIGHT = 0.5
# Time for which a computed factor is used if no further observation comes.
REFRESH_SECONDS = 5.0
# Prompt tokens that an engine of usual speed reads in a second, before a service's rate is known.
DEFAULT_READ_RATE = 8000.0
# Bounds of the learned rate, as a ratio to that.
MAX_READ_RATE_RATIO = 8.0
# Number of the latest reads of a service that are considered, and below which no rate is known.
MAX_READS = 15
MIN_READS = 5
# Shortest prompt whose read says something of the rate. The time for a shorter one is mostly that
# of the network and of the first token.
MIN_READ_TOKENS = 1000
# Targets with evidence beyond this number replace the ones observed longest ago.
MAX_TARGETS = 4096


class Observation:
    """What a target stated in one response.

    Attributes:
        target_id: Id of the target.
        born_ms: Start time of its incarnation; see `target_table.Report`.
        factor: Stated factor.
    """

    __slots__ = ("target_id", "born_ms", "factor")

    def __init__(self, target_id: str, born_ms: int, factor: float):
        self.target_id = target_id
        self.born_ms = born_ms
        self.factor = factor

    def is_plausible(self) -> bool:
        """Returns whether a target can be as fast as the observation says."""
        return MIN_FACTOR <= self.factor <= MAX_FACTOR


class _Evidence:
    """The latest observations of one incarnation, as (time in seconds, logarithm) pairs."""

    __slots__ = ("born_ms", "logs", "changed_at", "_factor", "_refresh_at")

    def __init__(self, born_ms):
        self.born_ms = born_ms
        self.logs = []
        self.changed_at = 0.0
        self._factor = 1.0
        self._refresh_at = 0.0

    def add(self, log_factor, now):
        self._refresh_at = 0.0
        if self.logs and now - self.logs[-1][0] < SAME_MOMENT_SECONDS:
            # A neighbour that is active shows in all answers of that moment.
            self.logs[-1] = (self.logs[-1][0], min(self.logs[-1][1], log_factor))
            return
        self.logs.append((now, log_factor))
        del self.logs[:-MAX_OBSERVATIONS]
        self.changed_at = now

    def factor(self, now):
        """Returns the factor, or exactly 1.0 if it is close to that."""
        if now >= self._refresh_at:
            log_factor = self._estimate(now)
            is_equal = abs(log_factor) < math.log(EQUAL_RATIO)
            self._factor = 1.0 if is_equal else math.exp(log_factor)
            self._refresh_at = now + REFRESH_SECONDS
        return self._factor

    def _estimate(self, now):
        """Returns the logarithm of the factor, closer to 0 with less evidence."""
        weighted = []
        for at, log_factor in self.logs:
            age_s = max(0.0, now - at)
            if age_s < MAX_AGE_SECONDS:
                weighted.append((log_factor, 0.5 ** (age_s / HALF_LIFE_SECONDS)))
        total = sum(weight for _, weight in weighted)
        return _low_quantile(weighted, total) * total / (total + PRIOR_WEIGHT)


def _low_quantile(weighted, total):
    """Returns the lowest value that is no outlier, or 0 without values."""
    passed = 0.0
    for value, weight in sorted(weighted):
        passed += weight
        if passed >= total * OUTLIER_SHARE:
            return value
    return 0.0


class SpeedTable:
    """Factors of targets, and rates at which the engines of a service read prompts."""

    __slots__ = ("_evidence_by_id", "_reads_by_service", "_rate_by_service")

    def __init__(self):
        self._evidence_by_id = {}
        self._reads_by_service = {}
        self._rate_by_service = {}

    def observe(self, observation: Observation, now: float):
        """Adds an observation; one of an earlier incarnation is ignored, a later one starts anew.

        Args:
            observation: The `Observation`.
            now: Time in seconds of the observation.
        """
        if not observation.is_plausible():
            return
        target_id, born_ms = observation.target_id, observation.born_ms
        # The dict keeps the order of insertion, so that the one observed longest ago comes first.
        evidence = self._evidence_by_id.pop(target_id, None)
        if evidence is None or evidence.born_ms < born_ms:
            evidence = _Evidence(born_ms)
        self._evidence_by_id[target_id] = evidence
        if evidence.born_ms == born_ms:
            evidence.add(math.log(observation.factor), now)
        if len(self._evidence_by_id) > MAX_TARGETS:
            del self._evidence_by_id[next(iter(self._evidence_by_id))]

    def factor(self, target_id: str, now: float) -> float:
        """Returns how long work takes at a target, 1.0 as usual or if nothing is known."""
        evidence = self._evidence_by_id.get(target_id)
        return 1.0 if evidence is None else evidence.factor(now)

    def observe_read(self, service: str, target_id: str, tokens: int, seconds: float, now: float):
        """Adds the time that an engine took to read a prompt before which none was queued there.

        Args:
            service: Service of the engine.
            target_id: Id of the engine.
            tokens: Tokens of the prompt.
            seconds: Seconds from the request to the first event.
            now: Current time in seconds.
        """
        if tokens < MIN_READ_TOKENS or seconds <= 0:
            return
        rate = tokens / seconds * self.factor(target_id, now)
        ratio = min(MAX_READ_RATE_RATIO, max(1 / MAX_READ_RATE_RATIO, rate / DEFAULT_READ_RATE))
        reads = self._reads_by_service.get(service)
        if reads is None:
            reads = self._reads_by_service[service] = collections.deque(maxlen=MAX_READS)
        reads.append(ratio * DEFAULT_READ_RATE)
        if len(reads) >= MIN_READS:
            self._rate_by_service[service] = statistics.median(reads)

    def read_rate(self, service: str) -> float:
        """Returns the prompt tokens that an engine of usual speed reads in a second."""
        return self._rate_by_service.get(service, DEFAULT_READ_RATE)

    def retain_services(self, services):
        """Drops the rates of all services but some."""
        for service in list(self._reads_by_service):
            if service not in services:
                del self._reads_by_service[service]
                self._rate_by_service.pop(service, None)

    def is_known(self, target_id: str) -> bool:
        """Returns whether anything is known of a target's speed."""
        return target_id in self._evidence_by_id

    def forget(self, target_id: str):
        """Drops what is known of a target that has gone."""
        self._evidence_by_id.pop(target_id, None)

    def sweep(self, now: float):
        """Drops evidence of targets that were not observed for `MAX_AGE_SECONDS`."""
        for target_id, evidence in list(self._evidence_by_id.items()):
            if now - evidence.changed_at < MAX_AGE_SECONDS:
                break
            del self._evidence_by_id[target_id]

    def factor_by_target(self, now: float) -> dict:
        """Returns the factors that differ from 1.0, by target id."""
        factor_by_id = {}
        for target_id in self._evidence_by_id:
            factor = self.factor(target_id, now)
            if factor != 1.0:
                factor_by_id[target_id] = factor
        return factor_by_id
