"""Placement of requests: targets by load, engines by queued prompts and memory, copies by zone.

A run is one generation on an engine. Its copy is a replica of its memory on another engine, where
the generation can continue if the first engine is lost.
"""

import random

import xxhash

from chiveswitch.core import speeds, target_table

# Prompt tokens that an engine is assumed to process in a second.
PREFILL_TOKENS_PER_SECOND = speeds.DEFAULT_READ_RATE
# Cost in seconds of each running request. Prefill of a prompt of 8,000 tokens takes a second, in
# which each request that runs on the engine has a ninth of its token rate and thus loses most of
# the second.
RUNNING_REQUEST_SECONDS = 0.6
# Expected wait in seconds for free memory at a full engine. It runs several streams of 5 s, so one
# of them ends soon.
MEMORY_WAIT_SECONDS = 2.0
# Score of the time that a call itself takes at a target of usual speed, in times of a full target.
CALL_SCORE = 0.5
# Score penalty of a target in another zone; 1 is the score of a full target.
OTHER_ZONE_PENALTY = 0.05
# Score penalty of a target at which all requests fail; the average of failures scales it.
FAILURE_PENALTY = 2.0
# Largest random addition to a score, so that gateways with the same reports choose differently.
MAX_SCORE_JITTER = 0.1
# Number of engines that are drawn at a time for a session and among which the best one is chosen.
# Gateways choose at the same time with the same reports, above all after the loss of a zone. If
# each of them chose the best of all engines, that one would get all runs.
CANDIDATE_ENGINES = 4
# Further engines are drawn while the best one so far scores worse by more than this than the best
# of all.
MAX_EXCESS_SECONDS = 2.0
# Score penalty in seconds of an engine that was lost a moment ago. An attempt to connect to it
# shows whether it is back.
AVOIDED_PENALTY_SECONDS = 1.5
# Score penalty in seconds of an engine whose announcement is overdue.
OVERDUE_PENALTY_SECONDS = 1.0
# Share of an engine's prefill rate that is assumed while it also generates.
PREFILL_DRAIN_SHARE = 0.75
# Score penalty in seconds of each place in the session's order of engines, up to the number that is
# drawn at a time. The first engine is thus
# preferred, so that a caller that reconnects after the loss of its gateway finds its prompt cached
# there, unless that engine was busy.
RANK_PENALTY_SECONDS = 0.1
# A run without a new report for this long is dropped, because the report of its end may be lost.
RUN_RETENTION_SECONDS = 30.0
# Table for choices among targets of equal speed.
NO_SPEEDS = speeds.SpeedTable()


class Run:
    """The engines of one generation: the one that runs it and the one that holds its copy.

    Attributes:
        run_id: Request id by which engines identify the run.
        session: Last part of the prompt; may be empty, as for runs of other gateways.
        request_digest: `request_identity.RequestIdentity.digest` of the request, by which a
            reconnecting caller finds the run, or an empty string if it cannot be resumed.
        target_id: Id of the engine that runs the generation.
        copy_target_id: Id of the engine that holds the copy, or an empty string.
        copy_reference: Reference by which engines identify the copy, or an empty string.
        copied_at: Time in seconds at which this gateway learned of the copy.
        tokens: Number of tokens of the prompt and the longest possible response.
        unprocessed_tokens: Number of prompt tokens that the engine had to process when it got the
            run, 0 after the first event.
        queued_at: Time in seconds at which the engine got the run.
        node: Name of the gateway that reports the run.
        sequence: Number that increases with each report of the run.
        ended: Whether the run is no longer executed by an engine.
        interrupted: Whether the run ended before its response was complete. Another gateway can
            continue it until its copy expires.
        changed_at: Time in seconds of the last report.
        last_event_id: Id of the last event that was sent to the caller; None before the end of the
            run, if there was none, and for runs of other gateways.
        speed: `speeds.Observation` of the engine that this gateway made during the run, or None.
    """

    __slots__ = (
        "run_id",
        "session",
        "request_digest",
        "target_id",
        "copy_target_id",
        "copy_reference",
        "copied_at",
        "tokens",
        "unprocessed_tokens",
        "queued_at",
        "node",
        "sequence",
        "ended",
        "interrupted",
        "changed_at",
        "last_event_id",
        "speed",
    )

    def __init__(self, run_id, session, tokens, unprocessed, node, now):
        self.run_id = run_id
        self.session = session
        self.request_digest = ""
        self.target_id = ""
        self.copy_target_id = ""
        self.copy_reference = ""
        self.copied_at = now
        self.tokens = tokens
        self.unprocessed_tokens = unprocessed
        self.queued_at = now
        self.node = node
        self.sequence = 0
        self.ended = False
        self.interrupted = False
        self.changed_at = now
        self.last_event_id = None
        self.speed = None


class RunStatus:
    """What the gateway of a run says about the run's caller.

    Attributes:
        is_abandoned: Whether the caller has lost the response before its end; None if unknown.
        last_event_id: Id of the last event that was sent to the caller, or None if unknown.
    """

    __slots__ = ("is_abandoned", "last_event_id")

    def __init__(self, is_abandoned: bool | None, last_event_id: int | None = None):
        self.is_abandoned = is_abandoned
        self.last_event_id = last_event_id


class RunTable:
    """Runs of this gateway and runs that other gateways report.

    Attributes:
        run_by_id: `Run` by id, including recently ended ones.
    """

    __slots__ = ("run_by_id", "_ids_by_digest")

    def __init__(self):
        self.run_by_id = {}
        self._ids_by_digest = {}

    def put(self, run: Run):
        """Adds or replaces a run."""
        self._remove(run.run_id)
        self.run_by_id[run.run_id] = run
        if run.request_digest:
            self._ids_by_digest.setdefault(run.request_digest, set()).add(run.run_id)

    def _remove(self, run_id):
        run = self.run_by_id.pop(run_id, None)
        if run is None or not run.request_digest:
            return
        ids = self._ids_by_digest[run.request_digest]
        ids.discard(run_id)
        if not ids:
            del self._ids_by_digest[run.request_digest]

    def find_undelivered(self, request_digest: str) -> list[Run]:
        """Returns the runs of a request whose response is not known to be complete.

        There are several if a client account has sent equal requests. A run that has not ended
        belongs to its caller as long as that one is present, which the table does not know.

        Args:
            request_digest: Digest of the request.
        """
        runs = []
        for run_id in self._ids_by_digest.get(request_digest, ()):
            run = self.run_by_id[run_id]
            if run.interrupted or not run.ended:
                runs.append(run)
        return runs

    def find_resumable(self, request_digest: str, copy_kept_s: float, now: float) -> list[Run]:
        """Returns the undelivered runs of a request that may be continued from their copies.

        Args:
            request_digest: Digest of the request.
            copy_kept_s: Seconds for which an engine keeps a copy after the end of the run.
            now: Current time in seconds.
        """
        runs = []
        for run in self.find_undelivered(request_digest):
            is_expired = run.ended and now - run.changed_at > copy_kept_s
            if run.copy_target_id and not is_expired:
                runs.append(run)
        return runs

    def interrupt_runs_of(self, node: str, now: float):
        """Marks the runs of a gateway that is gone as interrupted, so that they are no load."""
        for run in self.run_by_id.values():
            if run.node != node or run.ended:
                continue
            run.ended = run.interrupted = True
            run.changed_at = now

    def sweep(self, now: float):
        """Drops runs without a report for `RUN_RETENTION_SECONDS`."""
        for run_id, run in list(self.run_by_id.items()):
            if now - run.changed_at < RUN_RETENTION_SECONDS:
                continue
            self._remove(run_id)

    def load_by_target(self, now: float, speed_table: speeds.SpeedTable = NO_SPEEDS) -> dict:
        """Returns the load by target id.

        The load is a tuple (running requests, held tokens, unprocessed prompt tokens). Held tokens
        include those of copies, which occupy memory but are not running.

        Args:
            now: Current time in seconds.
            speed_table: Speeds of the targets.
        """
        load_by_id = {}
        prompts_by_id = {}
        for run in self.run_by_id.values():
            if run.ended:
                continue
            running, held, _ = load_by_id.get(run.target_id, (0, 0, 0))
            load_by_id[run.target_id] = (running + 1, held + run.tokens, 0)
            if run.unprocessed_tokens:
                prompts = prompts_by_id.setdefault(run.target_id, [])
                prompts.append((run.queued_at, run.unprocessed_tokens))
            if run.copy_target_id:
                running, held, _ = load_by_id.get(run.copy_target_id, (0, 0, 0))
                load_by_id[run.copy_target_id] = (running, held + run.tokens, 0)
        for target_id, prompts in prompts_by_id.items():
            running, held, _ = load_by_id[target_id]
            factor = speed_table.factor(target_id, now)
            load_by_id[target_id] = (running, held, _queued_tokens(prompts, now, factor))
        return load_by_id


def _queued_tokens(prompts, now, factor):
    """Returns the prompt tokens that an engine has yet to process.

    Args:
        prompts: Pairs of the time in seconds at which the engine got a prompt, and its tokens. The
            engine processes them one after the other.
        now: Current time in seconds.
        factor: How long work takes at the engine, 1.0 as usual.
    """
    rate = PREFILL_TOKENS_PER_SECOND * PREFILL_DRAIN_SHARE / factor
    queued, updated_at = 0.0, 0.0
    for queued_at, tokens in sorted(prompts):
        queued = max(0.0, queued - (queued_at - updated_at) * rate) + tokens
        updated_at = queued_at
    return max(0.0, queued - max(0.0, now - updated_at) * rate)


def preferred_targets(targets: list, now: float) -> list:
    """Returns the healthy targets if there are any, else the overdue ones, else all."""
    healthy = [each for each in targets if each.avoided_until <= now and not each.report.overdue]
    if healthy:
        return healthy
    reachable = [each for each in targets if each.avoided_until <= now]
    return reachable or list(targets)


def _call_factor(target, speed_table, now):
    """Returns how long a call is expected to take at a target, 1.0 as usual."""
    slowdown = target.slowdown(now)
    return slowdown if slowdown != 1.0 else speed_table.factor(target.target_id, now)


def choose_target(
    targets: list[target_table.Target],
    zone: str,
    now: float,
    rng: random.Random,
    speed_table: speeds.SpeedTable = NO_SPEEDS,
) -> target_table.Target | None:
    """Returns the target with the lower score of two random ones, for a plain service, or None.

    Args:
        targets: Targets that may be chosen.
        zone: Availability zone of the gateway.
        now: Current time in seconds.
        rng: Random source.
        speed_table: Speeds of the targets.
    """
    preferred = preferred_targets(targets, now)
    if not preferred:
        return None
    if len(preferred) > 2:
        preferred = rng.sample(preferred, 2)
    best, best_score = None, 0.0
    for target in preferred:
        factor = _call_factor(target, speed_table, now)
        score = target.occupancy(now) * factor + CALL_SCORE * (factor - 1.0)
        score += FAILURE_PENALTY * target.failure_rate
        score += OTHER_ZONE_PENALTY * (target.zone != zone) + MAX_SCORE_JITTER * rng.random()
        if best is None or score < best_score:
            best, best_score = target, score
    return best


def rank_by_session(targets, session: str) -> list[target_table.Target]:
    """Returns the targets in the rendezvous order of a session.

    The order is the same at all gateways, and the loss of a target moves only its own sessions.
    """
    prefix = session.encode() + b"\0"
    return sorted(
        targets,
        key=lambda target: xxhash.xxh3_64_intdigest(prefix + target.target_id.encode()),
        reverse=True,
    )


def running_requests(target, load_by_id: dict, now: float) -> int:
    """Returns the number of requests that an engine is known to run or to have queued."""
    running = load_by_id.get(target.target_id, (0, 0, 0))[0]
    if now - target.load_at < target_table.LOAD_MAX_AGE_SECONDS:
        running = max(running, sum(target.load))
    return running


def engine_wait_s(
    target: target_table.Target,
    load_by_id: dict,
    engine,
    tokens: int,
    now: float,
    speed_table: speeds.SpeedTable = NO_SPEEDS,
) -> float:
    """Returns the expected seconds until an engine begins to read another prompt.

    Args:
        target: The engine.
        load_by_id: Result of `RunTable.load_by_target`.
        engine: `routing.Engine` of the service.
        tokens: Number of tokens of the prompt and the longest possible response.
        now: Current time in seconds.
        speed_table: Speeds of the targets.
    """
    _, held, unprocessed = load_by_id.get(target.target_id, (0, 0, 0))
    factor = speed_table.factor(target.target_id, now)
    wait_s = factor * unprocessed / speed_table.read_rate(target.report.service)
    # A run that does not fit waits until memory is free, or preempts another run.
    excess_tokens = held + tokens - engine.memory_tokens
    if excess_tokens > 0:
        wait_s += MEMORY_WAIT_SECONDS + excess_tokens / PREFILL_TOKENS_PER_SECOND
    return wait_s + max(0, running_requests(target, load_by_id, now) + 1 - engine.slots)


def expected_read_s(
    target: target_table.Target,
    load_by_id: dict,
    prompt_tokens: int,
    now: float,
    speed_table: speeds.SpeedTable = NO_SPEEDS,
) -> float:
    """Returns the expected seconds for which an engine reads a prompt beside what it runs.

    Args:
        target: The engine.
        load_by_id: Result of `RunTable.load_by_target`.
        prompt_tokens: Tokens of the prompt.
        now: Current time in seconds.
        speed_table: Speeds of the targets.
    """
    read_s = prompt_tokens / speed_table.read_rate(target.report.service)
    read_s += RUNNING_REQUEST_SECONDS * running_requests(target, load_by_id, now)
    return speed_table.factor(target.target_id, now) * read_s


def _engine_score(target, load_by_id, engine, tokens, prompt_tokens, now, speed_table):
    """Returns the expected seconds until an engine has processed the prompt, with penalties."""
    score = engine_wait_s(target, load_by_id, engine, tokens, now, speed_table)
    score += expected_read_s(target, load_by_id, prompt_tokens, now, speed_table)
    score += FAILURE_PENALTY * target.failure_rate
    if target.avoided_until > now:
        score += AVOIDED_PENALTY_SECONDS
    if target.report.overdue:
        score += OVERDUE_PENALTY_SECONDS
    return score


def choose_engine(
    targets: list[target_table.Target],
    load_by_id: dict,
    engine,
    tokens: int,
    session: str,
    now: float,
    speed_table: speeds.SpeedTable = NO_SPEEDS,
    prompt_tokens: int = 0,
) -> target_table.Target | None:
    """Returns the engine that is expected to process a prompt soon, or None.

    Args:
        targets: Engines that may be chosen.
        load_by_id: Result of `RunTable.load_by_target`.
        engine: `routing.Engine` of the service.
        tokens: Number of tokens of the prompt and the longest possible response.
        session: Last part of the prompt, or the request id.
        now: Current time in seconds.
        speed_table: Speeds of the engines.
        prompt_tokens: Tokens of the prompt that the engine has to read.
    """
    scores = [
        _engine_score(each, load_by_id, engine, tokens, prompt_tokens, now, speed_table)
        for each in targets
    ]
    score_by_id = {each.target_id: score for each, score in zip(targets, scores, strict=True)}
    accepted_score = min(scores, default=0.0) + MAX_EXCESS_SECONDS
    # The sort is stable, so that engines that were just lost are drawn last.
    ranked = sorted(rank_by_session(targets, session), key=lambda each: each.avoided_until > now)
    best, best_score = None, 0.0
    for rank, target in enumerate(ranked):
        is_next_group = rank > 0 and rank % CANDIDATE_ENGINES == 0
        if is_next_group and best_score <= accepted_score:
            break
        score = score_by_id[target.target_id]
        score += RANK_PENALTY_SECONDS * min(rank, CANDIDATE_ENGINES)
        if best is None or score < best_score:
            best, best_score = target, score
    return best


def choose_copy_target(
    targets: list[target_table.Target],
    load_by_id: dict,
    engine,
    tokens: int,
    avoided_zones: set,
    now: float,
    rng: random.Random,
    speed_table: speeds.SpeedTable = NO_SPEEDS,
) -> target_table.Target | None:
    """Returns the engine for the copy of a run, or None if no engine has room.

    Of a few random engines outside the avoided zones it is the one with the lowest sum of used
    memory and used slots, as shares of the engine's capacity, and its factor.

    Args:
        targets: Engines that may be chosen.
        load_by_id: Result of `RunTable.load_by_target`.
        engine: `routing.Engine` of the service.
        tokens: Number of tokens of the prompt and the longest possible response.
        avoided_zones: Zones that may fail together with the zone of the run.
        now: Current time in seconds.
        rng: Random source.
        speed_table: Speeds of the engines.
    """
    best, best_score = None, 0.0
    eligible = []
    for target in targets:
        if target.avoided_until > now or target.report.overdue or target.zone in avoided_zones:
            continue
        eligible.append(target)
    for target in rng.sample(eligible, min(CANDIDATE_ENGINES, len(eligible))):
        running, held, unprocessed = load_by_id.get(target.target_id, (0, 0, 0))
        if held + tokens > engine.memory_tokens or running >= engine.slots:
            continue
        score = (
            held / engine.memory_tokens + running / engine.slots + MAX_SCORE_JITTER * rng.random()
        )
        # The run continues there after the loss of its engine.
        score += speed_table.factor(target.target_id, now) - 1.0
        if best is None or score < best_score:
            best, best_score = target, score
    return best
