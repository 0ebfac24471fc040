"""Where a request goes: targets by load, engines by queued prompts and memory, copies by zone."""

import heapq
import random

import xxhash

from chiveswitch.core import target_table

# Tokens that an engine reads in a second, for comparing queued prompts with running requests.
PREFILL_TOKENS_PER_SECOND = 8000.0
# Seconds that the reading of a prompt of 8,000 tokens costs each request that runs there: it slows
# their tokens to a ninth for a second, most of which counts.
RUNNING_WEIGHT = 0.6
# Seconds until memory becomes free at a full engine: several streams of 5 s run there.
NO_ROOM_SECONDS = 2.0
# What a target in another zone must be better by, in units of a full target.
ZONE_WEIGHT = 0.05
# What the average of failures weighs, in units of a full target.
FAILURE_WEIGHT = 2.0
# Gateways that know the same reports choose differently by up to this part of the score.
SPREAD = 0.1
# Engines that are drawn for a session before the best of them is chosen. Gateways decide at the
# same moment on the same reports, above all after the loss of a zone: one would get all runs.
DRAWN_ENGINES = 4
# What each place in the session's order weighs, in seconds: a caller that returns after the loss of
# its gateway finds its prompt at the first engine of the order, unless that one was busy.
ORDER_WEIGHT = 0.1
# Seconds after which the record of a run whose end was never reported is dropped.
RUN_MAX_SECONDS = 30.0


class Run:
    """Where one generation runs, and where the copy of its memory is.

    Attributes:
        run_id: Id of the request under which engines know the run.
        session: Last part of the prompt, which a returning caller names again.
        target_id: Engine that runs it.
        copy_target_id: Engine that holds the copy, or an empty string.
        copy_reference: How engines name that copy, or an empty string.
        tokens: Tokens of the prompt and the longest response.
        reading: Tokens of the prompt that are not known to be read yet.
        node: Gateway that reports the run.
        sequence: Rises with each report of the run.
        ended: Whether the run has ended.
        changed_at: Time of the last report.
    """

    __slots__ = (
        "run_id",
        "session",
        "target_id",
        "copy_target_id",
        "copy_reference",
        "tokens",
        "unread_tokens",
        "node",
        "sequence",
        "ended",
        "changed_at",
    )

    def __init__(self, run_id, session, tokens, reading, node, now):
        self.run_id = run_id
        self.session = session
        self.target_id = ""
        self.copy_target_id = ""
        self.copy_reference = ""
        self.tokens = tokens
        self.unread_tokens = reading
        self.node = node
        self.sequence = 0
        self.ended = False
        self.changed_at = now


class RunTable:
    """All runs that this gateway knows, its own and those that others report.

    Attributes:
        run_by_id: Runs by id, ended ones for a while.
    """

    __slots__ = ("run_by_id", "_id_by_session")

    def __init__(self):
        self.run_by_id = {}
        self._id_by_session = {}

    def put(self, run: Run):
        """Adds or replaces a run."""
        self.run_by_id[run.run_id] = run
        if run.session:
            self._id_by_session[run.session] = run.run_id

    def latest_of_session(self, session: str) -> Run | None:
        """Returns the latest run of a session, or None."""
        return self.run_by_id.get(self._id_by_session.get(session, ""))

    def sweep(self, now: float):
        """Drops runs whose last report is old."""
        for run_id, run in list(self.run_by_id.items()):
            if now - run.changed_at < RUN_MAX_SECONDS:
                continue
            del self.run_by_id[run_id]
            if self._id_by_session.get(run.session) == run_id:
                del self._id_by_session[run.session]

    def load_by_target(self, now: float) -> dict:
        """Returns (running, tokens held, tokens to read) by target id."""
        load_by_id = {}
        for run in self.run_by_id.values():
            if run.ended:
                continue
            running, held, reading = load_by_id.get(run.target_id, (0, 0, 0))
            # The engine reads while time passes; other gateways do not report how far it is.
            left = max(
                0.0, run.unread_tokens - (now - run.changed_at) * PREFILL_TOKENS_PER_SECOND / 2
            )
            load_by_id[run.target_id] = (running + 1, held + run.tokens, reading + left)
            if run.copy_target_id:
                running, held, reading = load_by_id.get(run.copy_target_id, (0, 0, 0))
                load_by_id[run.copy_target_id] = (running, held + run.tokens, reading)
        return load_by_id


def _preferred(targets, now):
    """Returns the best group of targets: in good state, else overdue, else avoided ones."""
    good = [each for each in targets if each.avoided_until <= now and not each.report.overdue]
    if good:
        return good
    reachable = [each for each in targets if each.avoided_until <= now]
    return reachable or list(targets)


def choose_target(
    targets: list[target_table.Target], zone: str, now: float, rng: random.Random
) -> target_table.Target | None:
    """Returns the better one of two random targets of a plain service, or None.

    Args:
        targets: Targets that may be chosen.
        zone: Availability zone of the gateway.
        now: Current time in seconds.
        rng: Random source.
    """
    group = _preferred(targets, now)
    if not group:
        return None
    if len(group) > 2:
        group = rng.sample(group, 2)
    best, best_score = None, 0.0
    for target in group:
        score = target.occupancy(now) + FAILURE_WEIGHT * target.failure_rate
        score += ZONE_WEIGHT * (target.zone != zone) + SPREAD * rng.random()
        if best is None or score < best_score:
            best, best_score = target, score
    return best


def draw(targets, session: str, count: int) -> list[target_table.Target]:
    """Returns the first targets in the order of a session, which is the same at all gateways."""
    prefix = session.encode() + b"\0"
    return heapq.nlargest(
        count,
        targets,
        key=lambda target: xxhash.xxh3_64_intdigest(prefix + target.target_id.encode()),
    )


def choose_engine(
    targets: list[target_table.Target],
    load_by_id: dict,
    engine,
    tokens: int,
    session: str,
    now: float,
) -> target_table.Target | None:
    """Returns the engine at which a prompt is read and generated soonest, or None.

    Args:
        targets: Engines that may be chosen.
        load_by_id: Load from `RunTable.load_by_target`.
        engine: `routing.Engine` of the service.
        tokens: Tokens of the prompt and the longest response.
        session: Last part of the prompt, or the request's id.
        now: Current time in seconds.
    """
    best, best_score = None, 0.0
    drawn = draw(_preferred(targets, now), session, DRAWN_ENGINES)
    for place, target in enumerate(drawn):
        running, held, reading = load_by_id.get(target.target_id, (0, 0, 0))
        if now - target.load_at < target_table.LOAD_MAX_AGE_SECONDS:
            running = max(running, sum(target.load))
        score = reading / PREFILL_TOKENS_PER_SECOND + RUNNING_WEIGHT * running
        # A run that does not fit waits, or preempts another one, until memory is free.
        missing = held + tokens - engine.memory_tokens
        if missing > 0:
            score += NO_ROOM_SECONDS + missing / PREFILL_TOKENS_PER_SECOND
        score += max(0, running + 1 - engine.slots)
        score += FAILURE_WEIGHT * target.failure_rate + ORDER_WEIGHT * place
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
) -> target_table.Target | None:
    """Returns the engine with most free memory outside some zones for the copy of a run, or None.

    Args:
        targets: Engines that may be chosen.
        load_by_id: Load from `RunTable.load_by_target`.
        engine: `routing.Engine` of the service.
        tokens: Tokens of the prompt and the longest response.
        avoided_zones: Zones that may fail together with the run's own.
        now: Current time in seconds.
        rng: Random source.
    """
    best, best_score = None, 0.0
    group = []
    for target in targets:
        if target.avoided_until > now or target.report.overdue or target.zone in avoided_zones:
            continue
        group.append(target)
    for target in rng.sample(group, min(DRAWN_ENGINES, len(group))):
        running, held, reading = load_by_id.get(target.target_id, (0, 0, 0))
        if held + tokens > engine.memory_tokens or running >= engine.slots:
            continue
        score = held / engine.memory_tokens + running / engine.slots + SPREAD * rng.random()
        if best is None or score < best_score:
            best, best_score = target, score
    return best
