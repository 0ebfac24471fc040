"""Roll-outs of a service's version: their state, the evidence about a version, and the decision.

The control leader pools the evidence of all gateways in a `RolloutJudge`. It compares the ordered
version with the service's other versions on the same route at the same time, and decides the share
of requests that the version gets until it is accepted or withdrawn.
"""

import math

RUNNING, COMPLETED, ROLLED_BACK = range(3)
STATE_NAMES = ("running", "completed", "rolled_back")

# Bucket i counts answers within BUCKET_BASE_SECONDS * BUCKET_GROWTH**i; the last one all slower
# ones.
LATENCY_BUCKETS = 40
BUCKET_BASE_SECONDS = 0.001
BUCKET_GROWTH = 2**0.5

# Seconds for which a gateway may act on a share without word from control.
VALID_SECONDS = 3.0
# Seconds before the deadline at which a version is accepted: control has to confirm it by then. At
# most MAX_MARGIN_SHARE of the duration.
COMPLETION_MARGIN_SECONDS = 0.6
MAX_MARGIN_SHARE = 0.15
# Seconds before its acceptance in which a version gets all requests, so that requests end at the
# other targets and streams get their copies: the least, within MAX_FULL_SHARE of the duration, and
# the most.
MIN_FULL_SECONDS = 1.0
MAX_FULL_SECONDS = 4.0
MAX_FULL_SHARE = 0.3
# Share between the first one and 1.0, under which a version bears load beside the others.
HALF_SHARE = 0.5
# Part of the allowed exposure that is spent before the share is raised: the most, and the least,
# which is kept even if the rest does not last from then on. Only a version that turns bad only then
# may exceed the bound.
CANARY_PART = 0.5
MIN_CANARY_PART = 0.35
# Part of the slack that is spent: requests reported late and the chance in each gateway's draws
# need the rest.
SLACK_PART = 0.8
# First share as a part of the allowed one, before the rate of requests is known.
FIRST_PART = 0.5
MAX_CANARY_SHARE = 0.5
MIN_CANARY_SHARE = 0.005
# A changed canary share is published only if it differs by this factor from the one in force.
SHARE_CHANGE_FACTOR = 1.5
# Requests for whose sake a canary share is lowered; fewer are left to the rest of the slack.
MIN_SAVED_REQUESTS = 5
# Seconds of observation before the canary share is adapted to the rate of requests.
RATE_SECONDS = 1.5

# Evidence is kept in slots of this length.
SLOT_SECONDS = 0.5
# Bounds the tables of routes; evidence about further ones is only counted as requests.
MAX_ROUTES = 256
# Seconds back from now over which versions are compared, besides all the time under about the same
# share. Short windows find a version that turns bad.
WINDOWS_SECONDS = (2.0, 6.0)
# Answers of the other versions below which a window is compared with an older baseline.
MIN_BASELINE_ANSWERS = 8
BASELINE_SECONDS = 20.0
# Answers under shares that differ by more than this factor are not added up: if all targets failed
# for a while, most failures would fall to the version that had the larger share just then.
COMPARABLE_SHARES_FACTOR = 2.0
# Stands for all routes together in findings.
ALL_ROUTES = "all"
# Answers of the version without which its share is not raised early, and the least at the end.
MIN_ANSWERS = 10
# Probabilities below which a difference is not by chance: of a verdict, and of a doubt that keeps a
# share from being raised.
VERDICT_CHANCE = 2e-4
DOUBT_CHANCE = 5e-3
MIN_BAD_ANSWERS = 3
# Seconds from the first to the last bad answers, without which they may have one cause that passes,
# such as a lost zone; the second one once the version gets all requests.
MIN_SPAN_SECONDS = 2.0
MIN_FULL_SPAN_SECONDS = 0.5
MIN_DOUBTFUL_ANSWERS = 2
MIN_DOUBTFUL_PORTION = 0.1


class Excess:
    """How far a portion of bad answers must be above that of the other versions.

    Attributes:
        factor: Factor to the others' portion.
        surplus: Added to the product.
    """

    __slots__ = ("factor", "surplus")

    def __init__(self, factor: float, surplus: float):
        self.factor = factor
        self.surplus = surplus

    def bound(self, portion: float) -> float:
        """Returns the portion above which a version is worse."""
        return self.factor * portion + self.surplus


FAILURE_EXCESS = Excess(1.5, 0.04)
SLOW_EXCESS = Excess(1.5, 0.15)
# Without answers of the others at the same time, a crowd or a lost zone looks like a bad version.
LONE_FAILURE_EXCESS = Excess(2.0, 0.1)
LONE_SLOW_EXCESS = Excess(1.5, 0.5)
# An answer is slow above a quantile of the others' times by a number of buckets; two are a factor
# of 2.
SLOW_BOUNDS = ((0.5, 2), (0.9, 2))
LONE_SLOW_BOUNDS = ((0.9, 3),)
# Answers within 32 ms are never slow: a new connection, or a busy gateway, takes as long.
MIN_SLOW_BUCKET = 10


class RolloutState:
    """What gateways know of a service's latest order.

    Attributes:
        service: Name of the service.
        version: The ordered version.
        state: RUNNING, COMPLETED or ROLLED_BACK.
        serial: Log index of the order.
        step: Number that rises with each change of the order.
        share: Share of the service's requests, 0 to 1, that the version may get now.
        moves_copies: Whether copies of running streams go to targets of the version only.
        valid_for_s: Seconds from its receipt for which the share of a running order may be used
            without further word from control; the version gets no request after that.
    """

    __slots__ = (
        "service",
        "version",
        "state",
        "serial",
        "step",
        "share",
        "moves_copies",
        "valid_for_s",
    )

    def __init__(
        self, service, version, state, serial, step, share, moves_copies, valid_for_s=math.inf
    ):
        self.service = service
        self.version = version
        self.state = state
        self.serial = serial
        self.step = step
        self.share = share
        self.moves_copies = moves_copies
        self.valid_for_s = valid_for_s

    def newer_than(self, other) -> bool:
        """Returns whether this state follows another one of the same service."""
        return (self.serial, self.step) > (other.serial, other.step)


class Evidence:
    """Counts of the answers of targets of one version on one route since the last report.

    Attributes:
        service: Name of the service.
        version: Version of the targets.
        route: Name of the route.
        requests: Number of requests sent.
        failures: Number of answers that are failures to a caller.
        latencies: Counts of the other answers by bucket; see LATENCY_BUCKETS.
    """

    __slots__ = ("service", "version", "route", "requests", "failures", "latencies")

    def __init__(self, service, version, route, requests=0, failures=0, latencies=None):
        self.service = service
        self.version = version
        self.route = route
        self.requests = requests
        self.failures = failures
        self.latencies = latencies if latencies is not None else [0] * LATENCY_BUCKETS


class Order:
    """An order as the control log holds it, in seconds of the judge's clock.

    Attributes:
        service: Name of the service.
        version: The ordered version.
        started_at: Time of the order.
        deadline: Time by which the version must be accepted or withdrawn.
        share: Share in force.
        moves_copies: Whether copies of running streams go to targets of the version only.
        spent: Requests to the version so far, as last written to the log.
        total: Requests to the service so far, as last written to the log.
        counted_at: Time at which these counts were written.
    """

    __slots__ = (
        "service",
        "version",
        "started_at",
        "deadline",
        "share",
        "moves_copies",
        "spent",
        "total",
        "counted_at",
    )

    def __init__(
        self,
        service,
        version,
        started_at,
        deadline,
        share,
        moves_copies=False,
        spent=0,
        total=0,
        counted_at=None,
    ):
        self.service = service
        self.version = version
        self.started_at = started_at
        self.deadline = deadline
        self.share = share
        self.moves_copies = moves_copies
        self.spent = spent
        self.total = total
        self.counted_at = started_at if counted_at is None else counted_at


class Decision:
    """The next step of an order.

    Attributes:
        state: RUNNING, COMPLETED or ROLLED_BACK.
        share: Share of the service's requests that the version may get.
        moves_copies: Whether copies of running streams go to targets of the version only.
        reason: Why, in a few words.
    """

    __slots__ = ("state", "share", "moves_copies", "reason")

    def __init__(self, state: int, share: float, moves_copies: bool, reason: str):
        self.state = state
        self.share = share
        self.moves_copies = moves_copies
        self.reason = reason

    def __repr__(self):
        return f"Decision({STATE_NAMES[self.state]}, {self.share:.3f}, {self.reason!r})"


def first_share(limits) -> float:
    """Returns the share of a new order under `node_settings.RolloutLimits`."""
    return limits.share * FIRST_PART


class Counts:
    """Pooled answers of one side of the comparison on one route.

    Attributes:
        failures: Number of failures.
        latencies: Counts of the other answers by bucket.
    """

    __slots__ = ("failures", "latencies")

    def __init__(self):
        self.failures = 0
        self.latencies = [0] * LATENCY_BUCKETS

    @property
    def answers(self) -> int:
        """Number of all answers."""
        return self.failures + sum(self.latencies)

    def add(self, failures: int, latencies: list):
        """Adds the counts of a report."""
        self.failures += failures
        for bucket, count in enumerate(latencies[:LATENCY_BUCKETS]):
            self.latencies[bucket] += count

    def quantile_bucket(self, quantile: float) -> int:
        """Returns the bucket that holds a quantile of the times."""
        left = quantile * sum(self.latencies)
        for bucket, count in enumerate(self.latencies):
            left -= count
            if left <= 0:
                return bucket
        return LATENCY_BUCKETS - 1

    def slower_than(self, bucket: int) -> int:
        """Returns the number of answers in buckets above one."""
        return sum(self.latencies[bucket + 1 :])


class Slot:
    """The answers of a while.

    Attributes:
        began_at: Time of the first report in it.
        counts_by_route: Pair of `Counts` of the version and of the others, by route.
    """

    __slots__ = ("began_at", "counts_by_route")

    def __init__(self, began_at: float):
        self.began_at = began_at
        self.counts_by_route = {}

    def add(self, report: Evidence, side: int):
        """Adds a report to side 0, the version, or 1, the others."""
        pair = self.counts_by_route.get(report.route)
        if pair is None:
            if len(self.counts_by_route) >= MAX_ROUTES:
                return
            pair = self.counts_by_route[report.route] = (Counts(), Counts())
        pair[side].add(report.failures, report.latencies)

    def has_bad(self, finding) -> bool:
        """Returns whether bad answers of a `Finding` are among these."""
        for route, (version, _) in self.counts_by_route.items():
            if finding.route not in (route, ALL_ROUTES):
                continue
            bad = version.failures
            if finding.bucket is not None:
                bad = version.slower_than(finding.bucket)
            if bad:
                return True
        return False


def pool(slots) -> dict:
    """Returns the pair of `Counts` of the version and of the others, by route, over some slots."""
    pooled = {}
    for slot in slots:
        for name, pair in slot.counts_by_route.items():
            sums = pooled.setdefault(name, (Counts(), Counts()))
            for target, counts in zip(sums, pair, strict=True):
                target.add(counts.failures, counts.latencies)
    return pooled


def chance_of_split(bad: int, answers: int, other_bad: int, other_answers: int) -> float:
    """Returns the probability that so many of all bad answers fall to one side by chance.

    This is the upper tail of the hypergeometric distribution (Fisher's exact test).
    """
    every, all_bad = answers + other_answers, bad + other_bad
    tail = 0.0
    base = _log_choose(every, all_bad)
    for count in range(bad, min(answers, all_bad) + 1):
        if all_bad - count > other_answers:
            continue
        term = math.exp(
            _log_choose(answers, count) + _log_choose(other_answers, all_bad - count) - base
        )
        tail += term
        if term < tail * 1e-9:
            break
    return min(1.0, tail)


def chance_of_count(bad: int, answers: int, portion: float) -> float:
    """Returns the probability of so many bad answers or more at a portion (binomial tail)."""
    if portion >= 1.0 or bad <= 0:
        return 1.0
    tail = 0.0
    for count in range(bad, answers + 1):
        term = math.exp(
            _log_choose(answers, count)
            + count * math.log(portion)
            + (answers - count) * math.log(1.0 - portion)
        )
        tail += term
        if term < tail * 1e-9:
            break
    return min(1.0, tail)


def _log_choose(total, chosen):
    return math.lgamma(total + 1) - math.lgamma(chosen + 1) - math.lgamma(total - chosen + 1)


class Finding:
    """The least likely difference between a version and the others.

    Attributes:
        chance: Probability of the difference if the version is as good as the others.
        reason: What differs, with the counts.
        bad: Number of bad answers of the version.
        portion: Portion of the version's answers that is bad.
        route: Name of the route, or ALL_ROUTES.
        bucket: Bucket above which the bad answers are slow, or None if they are failures.
    """

    __slots__ = ("chance", "reason", "bad", "portion", "route", "bucket")

    def __init__(self, chance=1.0, reason="", bad=0, portion=0.0, route="", bucket=None):
        self.chance = chance
        self.reason = reason
        self.bad = bad
        self.portion = portion
        self.route = route
        self.bucket = bucket


class RolloutJudge:
    """Pools evidence about one running order and decides its next step.

    Attributes:
        order: The `Order`.
        spent: Requests to the version since the order, as far as known.
        total: Requests to the service since the order, as far as known.
    """

    __slots__ = (
        "order",
        "spent",
        "total",
        "_limits",
        "_slots",
        "_sums",
        "_answers",
        "_heard_count",
        "_watched_since",
        "_watched_total",
        "_comparable_since",
        "_compared_share",
        "_baseline",
    )

    def __init__(self, order: Order, limits, now: float):
        """Begins to watch an order, from its start or from the step that a former leader left.

        Args:
            order: The order.
            limits: `node_settings.RolloutLimits`.
            now: Time in seconds.
        """
        self.order = order
        self.spent = order.spent
        self.total = order.total
        self._limits = limits
        # Answers of the last BASELINE_SECONDS, and all under about the share in force.
        self._slots = []
        self._sums = Slot(now)
        # Answers of the version, and of the others. A former leader has judged what it counted.
        self._answers = [order.spent, 0]
        # Answers of the version that this judge has counted itself.
        self._heard_count = 0
        self._watched_since = now
        self._watched_total = 0
        self._comparable_since = now
        self._compared_share = order.share
        # Pooled answers of the others before the version got all requests.
        self._baseline = {}

    def record(self, reports: list, now: float):
        """Adds reports of a gateway.

        Args:
            reports: `Evidence` list; other services' reports are ignored.
            now: Time in seconds.
        """
        for report in reports:
            if report.service != self.order.service:
                continue
            is_version = report.version == self.order.version
            self.total += report.requests
            self._watched_total += report.requests
            self.spent += report.requests if is_version else 0
            if not self._slots or now - self._slots[-1].began_at >= SLOT_SECONDS:
                self._slots = [*self._recent(now, BASELINE_SECONDS), Slot(now)]
            side = 0 if is_version else 1
            for slot in (self._slots[-1], self._sums):
                slot.add(report, side)
            answer_count = report.failures + sum(report.latencies)
            self._answers[side] += answer_count
            self._heard_count += answer_count if is_version else 0

    # Exposure.

    def rate(self, now: float) -> float:
        """Returns the service's requests per second since this judge watches it."""
        watched_s = now - self._watched_since
        return self._watched_total / watched_s if watched_s > 0 else 0.0

    def spent_by_now(self, now: float) -> float:
        """Returns the requests to the version, including those between two leaders."""
        return self.spent + self.order.share * self._missed(now)

    def _missed(self, now):
        """Returns the requests to the service that were reported to a former leader only."""
        return max(0.0, self._watched_since - self.order.counted_at) * self.rate(now)

    def allowed(self, now: float) -> float:
        """Returns the number of requests that the version may get until the deadline."""
        to_come = self.rate(now) * max(0.0, self.order.deadline - now)
        total = self.total + self._missed(now) + to_come
        return self._limits.share * total + SLACK_PART * self._limits.slack

    def _canary_share(self, now):
        """Returns the share until the last part, so that enough exposure is left for that."""
        order = self.order
        rate = self.rate(now)
        canary_s = self._full_by - now
        if rate <= 0 or canary_s <= 0:
            return order.share
        allowed = self.allowed(now)
        last_part = rate * (order.deadline - self._completion_at + self._min_full_s)
        budget = max(MIN_CANARY_PART * allowed, min(CANARY_PART * allowed, allowed - last_part))
        share = (budget - self.spent_by_now(now)) / (rate * canary_s)
        return min(MAX_CANARY_SHARE, max(MIN_CANARY_SHARE, share))

    @property
    def _duration(self):
        return self.order.deadline - self.order.started_at

    @property
    def _completion_at(self):
        margin_s = min(COMPLETION_MARGIN_SECONDS, MAX_MARGIN_SHARE * self._duration)
        return self.order.deadline - margin_s

    @property
    def _full_by(self):
        return self._completion_at - self._min_full_s

    @property
    def _min_full_s(self):
        return min(MIN_FULL_SECONDS, MAX_FULL_SHARE * self._duration)

    # The decision.

    def decide(self, now: float) -> Decision | None:
        """Returns the next step, or None if the step in force stays."""
        order = self.order
        finding = self.find_difference(now)
        if finding.bad >= MIN_BAD_ANSWERS and finding.chance < VERDICT_CHANCE:
            return Decision(ROLLED_BACK, 0.0, False, finding.reason)
        is_doubtful = (
            finding.chance < DOUBT_CHANCE
            and finding.bad >= MIN_DOUBTFUL_ANSWERS
            and finding.portion >= MIN_DOUBTFUL_PORTION
        )
        if order.moves_copies:
            return self._decide_full(now, is_doubtful, finding)
        if now >= order.deadline:
            return Decision(ROLLED_BACK, 0.0, False, "the deadline passed before all requests")
        answers = self._answers[0]
        if now >= self._full_by:
            if is_doubtful:
                return Decision(ROLLED_BACK, 0.0, False, f"doubtful: {finding.reason}")
            if answers:
                return self._begin_full(now, "the deadline is near")
            if now >= self._completion_at:
                return Decision(ROLLED_BACK, 0.0, False, "no answer of the version")
            return None
        if is_doubtful or answers < MIN_ANSWERS:
            return self._adapt_canary(now, may_rise=not is_doubtful)
        left = self.allowed(now) - self.spent_by_now(now)
        rate = self.rate(now)
        full_at = self._completion_at - min(MAX_FULL_SECONDS, MAX_FULL_SHARE * self._duration)
        if now >= full_at and rate * (order.deadline - now) <= left:
            return self._begin_full(now, "the allowed exposure lasts until the deadline")
        half_need = rate * (HALF_SHARE * max(0.0, full_at - now) + order.deadline - full_at)
        if order.share < HALF_SHARE and now < full_at and half_need <= left:
            return Decision(RUNNING, HALF_SHARE, False, "the allowed exposure lasts for half")
        return self._adapt_canary(now, may_rise=True)

    def _begin_full(self, now, reason):
        return Decision(RUNNING, 1.0, True, reason)

    def _decide_full(self, now, is_doubtful, finding):
        if now < self._completion_at:
            return None
        if is_doubtful:
            return Decision(ROLLED_BACK, 0.0, False, f"doubtful: {finding.reason}")
        if not self._heard_count:
            # A new leader has not heard of the version yet.
            if now < self.order.deadline:
                return None
            return Decision(ROLLED_BACK, 0.0, False, "no answer of the version")
        return Decision(COMPLETED, 1.0, True, "as good as the others")

    def _adapt_canary(self, now, may_rise):
        order = self.order
        if now - self._watched_since < RATE_SECONDS or order.share >= HALF_SHARE:
            return None
        share = self._canary_share(now)
        if share > order.share * SHARE_CHANGE_FACTOR and may_rise and self._answers[1]:
            return Decision(RUNNING, share, False, "adapted to the rate of requests")
        saved = (order.share - share) * self.rate(now) * (self._full_by - now)
        if share < order.share / SHARE_CHANGE_FACTOR and saved > MIN_SAVED_REQUESTS:
            return Decision(RUNNING, share, False, "adapted to the rate of requests")
        return None

    def apply(self, share: float, moves_copies: bool, now: float):
        """Notes the share that control has confirmed."""
        if moves_copies and not self.order.moves_copies:
            self._baseline = pool(self._recent(now, BASELINE_SECONDS))
        low, high = sorted((share, self._compared_share))
        if high > COMPARABLE_SHARES_FACTOR * low:
            self._comparable_since = now
            self._compared_share = share
            self._sums = Slot(now)
        self.order.share = share
        self.order.moves_copies = moves_copies

    # The comparison.

    def find_difference(self, now: float) -> Finding:
        """Returns the least likely difference on any route, or over all, in any window."""
        is_full = self.order.moves_copies
        past = self._baseline if is_full else pool(self._recent(now, BASELINE_SECONDS))
        compared = [self._sums.counts_by_route]
        for window_s in WINDOWS_SECONDS:
            slots = self._recent(now, window_s)
            compared.append(pool(s for s in slots if s.began_at >= self._comparable_since))
        least = Finding()
        for pooled in compared:
            pairs = [(name, pair, past.get(name)) for name, pair in pooled.items()]
            pairs.append((ALL_ROUTES, _sum_failures(pooled), _sum_failures(past)))
            for name, (version, others), earlier in pairs:
                is_lone = is_full or others.answers < MIN_BASELINE_ANSWERS
                if is_lone:
                    others = earlier[1] if earlier is not None else Counts()
                for finding in compare(name, version, others, is_lone):
                    if finding.chance < least.chance and self._is_spread(finding):
                        least = finding
        return least

    def _is_spread(self, finding):
        """Returns whether the bad answers of a finding came over some time."""
        if finding.chance >= DOUBT_CHANCE:
            return True
        first = last = None
        for slot in self._slots:
            if slot.began_at < self._comparable_since or not slot.has_bad(finding):
                continue
            first = slot.began_at if first is None else first
            last = slot.began_at
        min_span_s = MIN_FULL_SPAN_SECONDS if self.order.moves_copies else MIN_SPAN_SECONDS
        return first is not None and last - first >= min_span_s

    def _recent(self, now, window_s):
        return [slot for slot in self._slots if now - slot.began_at < window_s]

    def describe(self) -> str:
        """Returns the counts per route and side under about the share in force, for the log."""
        parts = []
        for name, pair in sorted(self._sums.counts_by_route.items()):
            for side, counts in zip(("new", "old"), pair, strict=True):
                parts.append(
                    f"{name}/{side}:{counts.answers}a,{counts.failures}f,"
                    f"p50={_bucket_ms(counts, 0.5)},p90={_bucket_ms(counts, 0.9)}"
                )
        return " ".join(parts)


def _bucket_ms(counts, quantile):
    if not sum(counts.latencies):
        return "-"
    upper_s = BUCKET_BASE_SECONDS * BUCKET_GROWTH ** counts.quantile_bucket(quantile)
    return f"{upper_s * 1000:.0f}ms"


def _sum_failures(pooled):
    """Returns the pair of `Counts` over all routes, whose times cannot be compared."""
    pair = (Counts(), Counts())
    for counts in pooled.values():
        for target, source in zip(pair, counts, strict=True):
            target.failures += source.failures
            target.latencies[0] += sum(source.latencies)
    return pair


def compare(route: str, version: Counts, others: Counts, is_lone: bool) -> list:
    """Compares the answers of a version with those of the others.

    Args:
        route: Name of the route, for the reason.
        version: Answers of the version.
        others: Answers of the others.
        is_lone: Whether the others' answers are from an earlier time.

    Returns:
        A list of `Finding`.
    """
    answers, other_answers = version.answers, others.answers
    excess = LONE_FAILURE_EXCESS if is_lone else FAILURE_EXCESS
    counts = (version.failures, answers, others.failures, other_answers)
    findings = _find_excess(route, None, counts, excess, is_lone)
    timed, other_timed = sum(version.latencies), sum(others.latencies)
    if other_timed < MIN_BASELINE_ANSWERS:
        return findings
    excess = LONE_SLOW_EXCESS if is_lone else SLOW_EXCESS
    for quantile, more_buckets in LONE_SLOW_BOUNDS if is_lone else SLOW_BOUNDS:
        bucket = max(MIN_SLOW_BUCKET, others.quantile_bucket(quantile) + more_buckets)
        counts = (version.slower_than(bucket), timed, others.slower_than(bucket), other_timed)
        findings += _find_excess(route, bucket, counts, excess, is_lone)
    return findings


def _find_excess(route, bucket, counts, excess, is_lone):
    bad, answers, other_bad, other_answers = counts
    if not answers or not bad:
        return []
    other_portion = other_bad / other_answers if other_answers else 0.0
    bound = excess.bound(other_portion)
    if bad / answers <= bound:
        return []
    if is_lone:
        chance = chance_of_count(bad, answers, bound)
    else:
        chance = chance_of_split(bad, answers, other_bad, other_answers)
    what = "failed"
    if bucket is not None:
        what = f"above {BUCKET_BASE_SECONDS * BUCKET_GROWTH**bucket:.3f} s"
    reason = f"{route}: {bad} of {answers} {what}, others {other_bad} of {other_answers}"
    return [Finding(chance, reason, bad, bad / answers, route, bucket)]
