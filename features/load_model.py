"""Load model without a network: gateways place runs on engines by the product's own decisions.

Engines read prompts one after the other and slow down with the number of runs. Gateways learn of
each other's runs after a delay. Patterns of load and trouble are events of a simulation in virtual
time; policies are compared on equal arrivals. `python -m features.load_model` prints a comparison.
"""

import heapq
import itertools
import random

from chiveswitch.core import placement, routing, target_table, target_table_test

PREFILL_TOKENS_PER_SECOND = 6_150.0
RESPONSE_EVENTS = 130
# Seconds between two events of an engine with one run, and what each further run adds.
EVENT_SECONDS = 0.031
EVENT_SECONDS_PER_RUN = 0.004
REPORT_DELAY_SECONDS = 0.1
# Seconds after the first event from which a copy of the run's memory stands.
COPY_DELAY_SECONDS = 0.3
# Time to the first event, and pause between events, up to which a stream is on time, in seconds.
FIRST_EVENT_OBJECTIVE_SECONDS = 4.5
GAP_OBJECTIVE_SECONDS = 0.7
# Seconds after which a stream that its policy has not placed is placed again.
POLL_SECONDS = 0.1
# Seconds until the loss of an engine is detected and the run is sent elsewhere.
DETECTION_SECONDS = 0.3
DOWN_SECONDS = 1.2

POLICY_BY_NAME = {}
PATTERN_BY_NAME = {}


def policy(name: str):
    """Returns a decorator that registers a function (model, targets, loads, run, now) -> target."""

    def register(function):
        POLICY_BY_NAME[name] = function
        return function

    return register


def pattern(name: str):
    """Returns a decorator that registers a function that schedules the events of a pattern."""

    def register(function):
        PATTERN_BY_NAME[name] = function
        return function

    return register


@policy("product")
def choose_as_product(model, targets, loads, run, now):
    """Chooses as gateways do."""
    return placement.choose_engine(targets, loads, model.engine, run.tokens, run.session, now)


@policy("least_loaded")
def choose_least_loaded(_model, targets, loads, _run, _now):
    """Chooses the engine with the fewest runs and queued tokens of all."""
    return min(targets, key=lambda each: loads.get(each.target_id, (0, 0, 0))[::2], default=None)


@policy("first_group")
def choose_in_first_group(model, targets, loads, run, now):
    """Chooses the best of the session's first engines, without those that were just lost."""
    sound = [each for each in targets if each.avoided_until <= now] or targets
    group = placement.rank_by_session(sound, run.session)[: placement.CANDIDATE_ENGINES]
    return placement.choose_engine(group, loads, model.engine, run.tokens, run.session, now)


@policy("random")
def choose_at_random(model, targets, _loads, _run, _now):
    """Chooses any engine."""
    return model.rng.choice(targets) if targets else None


class EngineState:
    """An engine of the model.

    Attributes:
        down_until: Time in seconds until which it accepts nothing.
        prompts_end_at: Time in seconds at which it has read all prompts that it got.
        runs: Runs that it executes.
    """

    __slots__ = ("down_until", "prompts_end_at", "runs")

    def __init__(self):
        self.down_until = 0.0
        self.prompts_end_at = 0.0
        self.runs = set()


class Stream:
    """A caller's stream.

    Attributes:
        run: The `placement.Run` as its gateway reports it.
        gateway: Number of its gateway.
        kind: Kind of request.
        arrived_at: Time in seconds of its arrival.
        first_event_at: Time of the first event of the present attempt, in seconds.
        ends_at: Time of the last event in seconds.
        attempt: Number of the present attempt.
        is_late: Whether an objective was missed.
        delivered_at: Time of the first event that the caller got, or None.
    """

    __slots__ = (
        "run",
        "gateway",
        "kind",
        "arrived_at",
        "first_event_at",
        "ends_at",
        "attempt",
        "is_late",
        "delivered_at",
    )

    def __init__(self, run, gateway, now, kind=""):
        self.run = run
        self.gateway = gateway
        self.kind = kind
        self.arrived_at = now
        self.first_event_at = 0.0
        self.ends_at = 0.0
        self.attempt = 0
        self.is_late = False
        self.delivered_at = None


class Outcome:
    """Sums over all streams of one simulation.

    Attributes:
        streams: Number of streams.
        late: Number of streams that missed an objective.
        repeated_tokens: Prompt tokens that were read again or in vain.
        first_event_s_by_kind: Lists of the seconds to the first event, by kind of request.
    """

    __slots__ = ("streams", "late", "repeated_tokens", "first_event_s_by_kind")

    def __init__(self):
        self.streams = 0
        self.late = 0
        self.repeated_tokens = 0
        self.first_event_s_by_kind = {}

    @property
    def late_share(self) -> float:
        """Share of streams that missed an objective."""
        return self.late / max(1, self.streams)


class Model:
    """One simulation of a policy, or of its function, under a pattern of load.

    Attributes:
        kind_by_run_id: Kind of request by run id.
    """

    def __init__(self, policy_name, zones="abcdef", per_zone=3, gateways=24, per_s=2.6, seed=1):
        self.rng = random.Random(seed)
        self.engine = routing.Engine(
            slots=16, memory_tokens=88_000, copies=True, copy_kept_s=4.0, event_tokens=8
        )
        self.outcome = Outcome()
        self.now = 0.0
        self.per_s = per_s
        self.kind_by_run_id = {}
        self._policy = POLICY_BY_NAME.get(policy_name, policy_name)
        self._tables = []
        self._run_tables = [placement.RunTable() for _ in range(gateways)]
        for _ in range(gateways):
            table = target_table.TargetTable()
            for zone in zones:
                target_table_test.add_zone(table, zone, per_zone)
            self._tables.append(table)
        self.engine_by_id = {each: EngineState() for each in self._tables[0].target_by_id}
        self._events = []
        self._order = itertools.count()

    def schedule(self, at: float, function, *arguments):
        """Calls a function at a time in seconds."""
        heapq.heappush(self._events, (at, next(self._order), function, arguments))

    def simulate(self, pattern_name: str, seconds: float) -> Outcome:
        """Returns the outcome of streams that arrive within some seconds."""
        PATTERN_BY_NAME[pattern_name](self, seconds)
        return self.run_events()

    def run_events(self) -> Outcome:
        """Runs all scheduled events and those that follow; returns the outcome."""
        while self._events:
            self.now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        return self.outcome

    def arrive(self, seconds: float, per_s: float, kind: str = ""):
        """Schedules arrivals until a time; each schedules the next one."""
        if self.now > seconds:
            return
        self.add_stream(kind)
        self.schedule(self.now + self.rng.expovariate(per_s), self.arrive, seconds, per_s, kind)

    def add_stream(self, kind: str = ""):
        """Begins a stream of a kind of request at a random gateway."""
        gateway = self.rng.randrange(len(self._tables))
        prompt = round(min(25_000.0, max(2_000.0, self.rng.lognormvariate(8.9, 0.5))))
        run_id = f"r{self.outcome.streams}"
        run = placement.Run(run_id, run_id, prompt + 1080, prompt, str(gateway), self.now)
        self.outcome.streams += 1
        self.kind_by_run_id[run_id] = kind
        self._place(Stream(run, gateway, self.now, kind), 0)

    def lose_zone(self, zone: str):
        """Crashes all engines of a zone; their runs move after the loss was detected."""
        for target_id, engine in self.engine_by_id.items():
            if not target_id.startswith(zone):
                continue
            engine.down_until = self.now + DOWN_SECONDS
            engine.prompts_end_at = engine.down_until
            for stream in sorted(engine.runs, key=lambda each: each.run.run_id):
                self._lose_run(stream)
            engine.runs.clear()

    def reset_connections(self, share: float):
        """Breaks connections of gateways to engines that keep running."""
        for target_id, engine in self.engine_by_id.items():
            for stream in sorted(engine.runs, key=lambda each: each.run.run_id):
                if self.rng.random() >= share:
                    continue
                engine.runs.discard(stream)
                self._tables[stream.gateway].find(target_id).suspect(self.now)
                self._lose_run(stream)

    def _lose_run(self, stream):
        run = stream.run
        stream.attempt += 1
        has_copy = self.now > stream.first_event_at + COPY_DELAY_SECONDS
        if self.now < stream.first_event_at or not has_copy:
            self.outcome.repeated_tokens += run.unprocessed_tokens
        table = self._tables[stream.gateway]
        self.schedule(self.now + DETECTION_SECONDS, self._record_loss, table, run.target_id)
        self.schedule(self.now + DETECTION_SECONDS, self._place, stream, stream.attempt, has_copy)

    def _record_loss(self, table, target_id):
        if self.engine_by_id[target_id].down_until > self.now:
            table.record_loss(table.find(target_id), self.now)

    def _place(self, stream, attempt, has_copy=False):
        if attempt != stream.attempt:
            return
        run, table = stream.run, self._tables[stream.gateway]
        run_table = self._run_tables[stream.gateway]
        loads = run_table.load_by_target(self.now)
        # The order of the table's sets differs between processes.
        targets = sorted(table.ready_targets("s"), key=lambda each: each.target_id)
        holder = table.find(run.copy_target_id) if has_copy else None
        if holder is not None and self.engine_by_id[holder.target_id].down_until <= self.now:
            target = holder
        else:
            has_copy = False
            target = self._policy(self, targets, loads, run, self.now)
        if target is None:
            self.schedule(self.now + POLL_SECONDS, self._place, stream, attempt, has_copy)
            return
        engine = self.engine_by_id[target.target_id]
        if engine.down_until > self.now:
            table.record_loss(target, self.now)
            self.schedule(self.now + 0.005, self._place, stream, attempt)
            return
        copy = placement.choose_copy_target(
            targets, loads, self.engine, run.tokens, {target.zone}, self.now, self.rng
        )
        run.target_id = target.target_id
        run.copy_target_id = copy.target_id if copy is not None else ""
        run.queued_at = self.now
        prompt_tokens = 0 if has_copy else run.tokens - 1080
        run.unprocessed_tokens = prompt_tokens
        run.sequence += 1
        self._report(stream)
        engine.prompts_end_at = (
            max(self.now, engine.prompts_end_at) + prompt_tokens / PREFILL_TOKENS_PER_SECOND
        )
        engine.runs.add(stream)
        stream.first_event_at = engine.prompts_end_at if prompt_tokens else self.now + 0.02
        self.schedule(stream.first_event_at, self._deliver_first, stream, attempt)

    def _deliver_first(self, stream, attempt):
        if attempt != stream.attempt:
            return
        engine = self.engine_by_id[stream.run.target_id]
        stream.run.unprocessed_tokens = 0
        if stream.delivered_at is None:
            stream.delivered_at = self.now
            first_events = self.outcome.first_event_s_by_kind.setdefault(stream.kind, [])
            first_events.append(self.now - stream.arrived_at)
            stream.is_late |= self.now - stream.arrived_at > FIRST_EVENT_OBJECTIVE_SECONDS
            stream.ends_at = RESPONSE_EVENTS * EVENT_SECONDS
        elif self.now - stream.run.queued_at + DETECTION_SECONDS > GAP_OBJECTIVE_SECONDS:
            stream.is_late = True
        interval = EVENT_SECONDS + EVENT_SECONDS_PER_RUN * (len(engine.runs) - 1)
        self.schedule(self.now + RESPONSE_EVENTS * interval, self._finish, stream, attempt)

    def _finish(self, stream, attempt):
        if attempt != stream.attempt:
            return
        self.engine_by_id[stream.run.target_id].runs.discard(stream)
        stream.run.ended = True
        stream.run.sequence += 1
        self._report(stream)
        self.outcome.late += stream.is_late

    def _report(self, stream):
        self._run_tables[stream.gateway].put(stream.run)
        run = stream.run
        state = (run.target_id, run.copy_target_id, run.unprocessed_tokens, run.ended)
        self.schedule(
            self.now + REPORT_DELAY_SECONDS, self._receive_report, stream, state, self.now
        )

    def _receive_report(self, stream, state, sent_at):
        for number, run_table in enumerate(self._run_tables):
            if number == stream.gateway:
                continue
            own = stream.run
            run = placement.Run(own.run_id, own.session, own.tokens, 0, own.node, self.now)
            run.target_id, run.copy_target_id, run.unprocessed_tokens, run.ended = state
            run.queued_at = sent_at
            run_table.put(run)


@pattern("steady")
def schedule_steady(model, seconds):
    """Streams arrive at an even rate."""
    model.schedule(0.0, model.arrive, seconds, model.per_s)


@pattern("crowd")
def schedule_crowd(model, seconds):
    """Three times the usual rate for a third of the time."""
    model.schedule(0.0, model.arrive, seconds, model.per_s)
    model.schedule(seconds / 3, model.arrive, seconds * 2 / 3, 2 * model.per_s)


@pattern("zone_losses")
def schedule_zone_losses(model, seconds):
    """One zone after the other is lost, every six seconds."""
    model.schedule(0.0, model.arrive, seconds, model.per_s)
    for number, zone in enumerate("abcdef" * 10):
        if 6.0 * (number + 1) > seconds:
            break
        model.schedule(6.0 * (number + 1), model.lose_zone, zone)


@pattern("resets")
def schedule_resets(model, seconds):
    """The network resets half of all connections every five seconds."""
    model.schedule(0.0, model.arrive, seconds, model.per_s)
    for number in range(int(seconds / 5)):
        model.schedule(5.0 * number + 4.0, model.reset_connections, 0.5)


def compare(seconds: float = 120.0, seeds=range(1, 4), per_s: float = 2.6) -> dict:
    """Returns (late share, repeated prompt tokens for each stream) by pattern and policy."""
    result = {}
    for pattern_name in PATTERN_BY_NAME:
        for policy_name in POLICY_BY_NAME:
            outcomes = [
                Model(policy_name, seed=seed, per_s=per_s).simulate(pattern_name, seconds)
                for seed in seeds
            ]
            streams = sum(each.streams for each in outcomes)
            result[pattern_name, policy_name] = (
                sum(each.late for each in outcomes) / streams,
                sum(each.repeated_tokens for each in outcomes) / streams,
            )
    return result


def main():
    """Prints the comparison of all policies under all patterns."""
    print("pattern       policy         late    tokens read again for each stream")
    for (pattern_name, policy_name), (late, tokens) in compare().items():
        print(f"{pattern_name:12}  {policy_name:12}  {late:6.3f}  {tokens:10.0f}")


if __name__ == "__main__":
    main()
