"""Simulation of a generation in virtual time, checked by an oracle at the readers' side."""

import hashlib
import heapq
import itertools
import random

import hypothesis
import hypothesis.strategies as st
import pytest

from chiveswitch.core import codes, detector, digests, generation, lifecycles
from chiveswitch.core import generation_messages as messages

LENGTH = 40
ENGINES = [f"e{number}" for number in range(6)]
FAULTS = (
    """die die_silently pause silent stall close refuse_prefix repeat skip reorder wrong early_end
late_end ignore_cancel http not_run connection_refused""".split()
)


def engine_token(seed, prompt, known):
    return hashlib.sha256("|".join([str(seed), prompt, *known]).encode()).hexdigest()[:4]


def oracle_tokens(seed, prompt):
    """Computes the whole response by a running hash, independently of engines and machine."""
    running = hashlib.sha256(f"{seed}|{prompt}".encode())
    tokens = []
    while len(tokens) < LENGTH:
        tokens.append(running.hexdigest()[:4])
        running.update(b"|" + tokens[-1].encode())
    return tokens


class Budget:
    def __init__(self, denials=0):
        self.denials = denials

    def take(self, account, now):
        self.denials -= 1
        return self.denials < 0


class EngineAttempt:
    def __init__(self, action, fault, fault_at):
        self.target, self.seed, self.known = action.target, action.seed, list(action.prefix)
        self.fault, self.fault_at = fault, fault_at
        self.link = self.pos = 0
        self.done = self.cancelled = self.lost = False


class Reader:
    def __init__(self, name, streamed):
        self.name, self.streamed = name, streamed
        self.generation, self.tokens, self.ended, self.failures = None, [], False, []
        self.restarts = 0


class World:
    """Engines, a late journal, readers and the current owner, driven by one event heap."""

    def __init__(self, rng, faults=(), resume="resources", streamed=(True,), budget=None, **extra):
        self.rng, self.faults, self.budget = rng, list(faults), budget or Budget()
        self.now, self.heap, self.order = 0.0, [], itertools.count()
        self.settings = generation.Settings(resume=resume, **extra)
        self.header = generation.Header(
            "a", "r", self.settings, "m", "", "1", "prompt", 5, 77, 64, 1
        )
        self.detector = detector.AdaptiveDetector()
        self.ledger = generation.WorkLedger()
        self.ledger.delivered = 100_000
        self.attempts, self.live, self.seeds = {}, set(), {}
        self.paused_until, self.dead = dict.fromkeys(ENGINES, 0.0), set()
        self.appended = (1, [], False, "")
        self.committed = (1, 0, False, "")
        self.last_commit_at = 0.0
        self.counts, self.outcomes, self.released, self.lost_owners = {}, [], False, []
        self.readers = {str(n): Reader(str(n), s) for n, s in enumerate(streamed)}
        self.machine = self.timer = None
        self.own(generation.Generation(*self.parts()))
        for name in self.readers:
            self.attach(name)

    def parts(self):
        return self.header, self.detector, self.budget, self.ledger, self.rng

    def own(self, machine):
        self.machine, self.live = machine, set()
        self.send(messages.GenerationOpened())

    def at(self, delay, call, *arguments):
        heapq.heappush(self.heap, (self.now + delay, next(self.order), call, arguments))

    def send(self, event, machine=None):
        machine = machine or self.machine
        if machine is not self.machine and machine not in self.lost_owners:
            return
        for action in machine.handle(event, self.now):
            getattr(self, type(action).__name__)(action, machine)

    def run(self, until=60.0):
        while self.heap and self.heap[0][0] <= until and not self.released:
            self.now, _, call, arguments = heapq.heappop(self.heap)
            call(*arguments)
        return self

    # Takeover: the next owner sees all that was committed and a part of what was appended.
    def take_over(self):
        if self.outcomes:
            return
        old, (number, tokens, ended, note) = self.machine, self.appended
        if self.rng.random() < 0.7 or number != self.committed[0]:
            number, length, ended, note = self.committed
            tokens = self.history[number][:length] if length else []
        self.appended = (number, list(tokens), ended, note)
        self.lost_owners.append(old)
        journal = (number, list(tokens), ended, note)
        self.own(generation.Generation.from_journal(self.header, *journal, *self.parts()[1:]))
        for name in self.readers:
            self.at(0.05, self.attach, name)
        self.at(self.rng.uniform(0, 2), self.send, messages.OwnershipLost(), old)

    history = property(lambda self: self.__dict__.setdefault("_history", {}))

    # Readers.
    def attach(self, name):
        reader = self.readers[name]
        if not reader.ended:
            position = (reader.generation, len(reader.tokens))
            self.send(messages.ReaderAttached(name, *position, reader.streamed))

    def leave(self, name, gap):
        self.send(messages.ReaderDisconnected(name))
        self.at(gap, self.attach, name)

    def DeliverTokens(self, action, machine):  # noqa: N802
        reader = self.readers[action.reader]
        assert machine is self.machine and not reader.ended
        assert (action.generation, action.offset + len(action.tokens)) <= self.committed[:2]
        assert reader.generation in (None, action.generation), "two generations mixed"
        assert action.offset == len(reader.tokens), "token lost or repeated"
        reader.generation = action.generation
        reader.tokens += action.tokens
        expected = oracle_tokens(self.seeds[action.generation], "prompt")
        assert reader.tokens == expected[: len(reader.tokens)]
        read = messages.ReaderRead(action.reader, action.generation, len(reader.tokens))
        self.at(0.01, self.send, read, machine)

    def DeliverGeneration(self, action, machine):  # noqa: N802
        reader = self.readers[action.reader]
        assert reader.streamed and action.generation > reader.generation
        reader.generation, reader.tokens = action.generation, []
        reader.restarts += 1

    def DeliverEnd(self, action, machine):  # noqa: N802
        reader = self.readers[action.reader]
        assert action.final_offset == len(reader.tokens) == LENGTH, "incomplete response"
        assert self.committed[2] and not reader.ended
        reader.ended = True

    def FailReader(self, action, machine):  # noqa: N802
        if machine is self.machine:
            self.readers[action.reader].failures.append(action.code)

    # Journal: commits in order, late, for the current owner only.
    def AppendJournal(self, action, machine):  # noqa: N802
        if machine is not self.machine:
            return
        tokens = self.appended[1] if action.generation == self.appended[0] else []
        assert action.offset == len(tokens) and action.generation >= self.appended[0]
        tokens = tokens + action.tokens
        self.history[action.generation] = tokens
        self.appended = (action.generation, tokens, action.end, action.note)
        self.last_commit_at = max(self.last_commit_at, self.now + self.rng.uniform(0.001, 0.02))
        state = (action.generation, len(tokens), action.end, action.note)
        self.at(self.last_commit_at - self.now, self.commit, state, machine)

    def commit(self, state, machine):
        if machine is self.machine:
            self.committed = state
            self.send(messages.JournalCommitted(*state))

    # Engines.
    def ChooseTarget(self, action, machine):  # noqa: N802
        free = [name for name in ENGINES if name not in action.exclude and name not in self.dead]
        event = messages.NoTarget(action.choice)
        if free:
            event = messages.TargetChosen(action.choice, self.rng.choice(free))
        self.at(0.001, self.send, event, machine)

    def StartAttempt(self, action, machine):  # noqa: N802
        assert action.attempt not in self.attempts, "attempt number used twice"
        if machine is self.machine:
            assert self.settings.resume == "latency" or not self.live, "two live attempts"
            self.live.add(action.attempt)
        assert self.seeds.setdefault(action.generation, action.seed) == action.seed
        assert len(set(self.seeds.values())) == len(self.seeds)
        fault = self.faults.pop(0) if self.faults else None
        fault_at = len(action.prefix) + self.rng.randrange(0, 14)
        attempt = EngineAttempt(action, fault, fault_at)
        self.attempts[action.attempt] = attempt
        kinds = messages.FailureKind
        refusals = {"not_run": kinds.NOT_RUN, "connection_refused": kinds.CONNECTION_REFUSED}
        refusals["http"] = kinds.HTTP_ERROR
        if attempt.target in self.dead:
            fault = "connection_refused"
        if fault in refusals:
            attempt.lost = True
            self.fail(action.attempt, 0, refusals[fault], machine)
            return
        if fault == "refuse_prefix" and action.prefix:
            # Either a shorter prefix, or one of the right length with another last token.
            attempt.known[-1:] = self.rng.choice([[], ["lost"]])
        self.at(0.1, self.begin, action.attempt, 0, len(attempt.known), machine)

    def fail(self, number, link, kind, machine):
        self.at(0.002, self.failed, messages.StreamFailed(number, link, kind, 503), machine)

    def failed(self, event, machine):
        if event.kind is not messages.FailureKind.CLOSED and machine is self.machine:
            self.live.discard(event.attempt)
        self.send(event, machine)

    def ReattachAttempt(self, action, machine):  # noqa: N802
        attempt = self.attempts[action.attempt]
        if machine is self.machine:
            self.live.add(action.attempt)
        attempt.link = (action.connection, id(machine))
        if attempt.target in self.dead:
            kind = messages.FailureKind.CONNECTION_REFUSED
            self.at(
                0,
                self.send,
                messages.StreamFailed(action.attempt, action.connection, kind, 0),
                machine,
            )
        elif attempt.done or attempt.lost or attempt.cancelled:
            self.fail(
                action.attempt, action.connection, messages.FailureKind.UNKNOWN_ATTEMPT, machine
            )
        else:
            self.at(0.01, self.begin, action.attempt, attempt.link, action.offset, machine)

    def begin(self, number, link, offset, machine):
        attempt = self.attempts[number]
        pause = self.paused_until[attempt.target] - self.now
        if pause > 0:
            self.at(pause, self.begin, number, link, offset, machine)
        elif not attempt.lost and link == attempt.link:
            while len(attempt.known) < offset:
                attempt.known.append(engine_token(attempt.seed, "prompt", attempt.known))
            attempt.pos = offset
            if attempt.fault == "silent_now":
                # Only the earlier connection is silent.
                attempt.fault = None
            digest = digests.of_tokens(attempt.known[:offset])
            self.send(messages.StreamStarted(number, offset, digest), machine)
            self.at(0.25, self.beat, number, link, machine)
            self.at(self.rng.choice([0.03, 0.4]), self.step, number, link, machine)

    def beat(self, number, link, machine):
        attempt = self.attempts[number]
        pause = self.paused_until[attempt.target] - self.now
        if attempt.done or attempt.lost or attempt.cancelled or link != attempt.link:
            return
        if pause <= 0 and attempt.fault != "silent_now":
            self.send(messages.Heartbeat(number), machine)
        self.at(max(pause, 0.25), self.beat, number, link, machine)

    def step(self, number, link, machine):
        attempt = self.attempts[number]
        if attempt.done or attempt.lost or attempt.cancelled or link != attempt.link:
            return
        pause = self.paused_until[attempt.target] - self.now
        if pause > 0:
            self.at(pause, self.step, number, link, machine)
            return
        fault, offset = attempt.fault, attempt.pos
        if offset >= attempt.fault_at and fault not in (None, "silent_now"):
            if self.break_down(number, attempt, machine):
                return
        size = min(self.rng.randrange(1, 4), LENGTH - offset)
        attempt.pos += size
        while len(attempt.known) < attempt.pos:
            attempt.known.append(engine_token(attempt.seed, "prompt", attempt.known))
        if size and attempt.fault != "silent_now":
            tokens = attempt.known[offset : attempt.pos]
            self.send(messages.Tokens(number, offset, tokens), machine)
        if attempt.pos < LENGTH:
            self.at(0.03, self.step, number, link, machine)
        elif attempt.fault != "silent_now":
            attempt.done = True
            self.live.discard(number)
            self.send(messages.StreamEnded(number, LENGTH), machine)

    def break_down(self, number, attempt, machine):
        """Carries out a fault; returns whether the stream stops here."""
        fault, offset, target = attempt.fault, attempt.pos, attempt.target
        attempt.fault = None
        known = attempt.known
        link = attempt.link[0] if attempt.link else 0
        if fault in ("die", "die_silently"):
            for other in self.attempts.values():
                other.lost = other.lost or other.target == target
            self.dead.add(target)
            self.at(2.5, self.lose, target)
            self.at(3.0, self.dead.discard, target)
            if fault == "die":
                self.fail(number, link, messages.FailureKind.CLOSED, machine)
            return True
        if fault == "pause":
            self.paused_until[target] = self.now + self.rng.uniform(0.2, 3.0)
        elif fault == "silent":
            attempt.fault = "silent_now"
        elif fault == "stall":
            # Makes no more tokens, but its heartbeats go on.
            return True
        elif fault == "close":
            self.fail(number, link, messages.FailureKind.CLOSED, machine)
            # A late failure of the closed connection, after the reattachment.
            late = messages.StreamFailed(number, link, messages.FailureKind.HTTP_ERROR, 502)
            self.at(0.008, self.send, late, machine)
            return True
        elif fault == "repeat" and offset:
            self.send(messages.Tokens(number, offset - 1, known[offset - 1 : offset]), machine)
        elif fault == "skip":
            self.send(messages.Tokens(number, offset + 1, ["x"]), machine)
        elif fault == "reorder":
            self.send(messages.Tokens(number, offset + 2, ["b"]), machine)
            self.send(messages.Tokens(number, offset, ["a"]), machine)
        elif fault == "wrong" and offset:
            self.send(messages.Tokens(number, offset - 1, ["x", "y"]), machine)
        elif fault == "early_end":
            self.send(messages.StreamEnded(number, offset - 1), machine)
        elif fault == "late_end":
            self.send(messages.StreamEnded(number, offset + 1), machine)
        elif fault == "ignore_cancel":
            # Goes silent, and sends wrong tokens at the right offsets from then on.
            attempt.lost = True
            for delay in range(4, 60):
                self.at(delay * 0.05, self.send_stale, number, machine)
            return True
        return False

    def lose(self, target):
        self.live -= {number for number in self.live if self.attempts[number].target == target}
        self.send(messages.TargetLost(target))

    def send_stale(self, number, machine):
        if number not in self.live and not self.attempts[number].cancelled:
            offset = len(self.appended[1])
            self.send(messages.Tokens(number, offset, ["stale"]), machine)

    def CancelAttempt(self, action, machine):  # noqa: N802
        if machine is self.machine:
            self.live.discard(action.attempt)
        attempt = self.attempts[action.attempt]
        if attempt.target not in self.dead and self.rng.random() < 0.7:
            delay = max(self.paused_until[attempt.target] - self.now, 0) + 0.3
            self.at(delay, self.cancel, action.attempt, machine)

    def cancel(self, number, machine):
        self.attempts[number].cancelled = True
        self.send(messages.CancelConfirmed(number), machine)

    # The rest.
    def SetTimer(self, action, machine):  # noqa: N802
        key = self.timer = (next(self.order), machine)
        timers = self.__dict__.setdefault("timers", {})
        timers[id(machine)] = key
        self.at(action.at - self.now, self.tick, key, machine)

    def tick(self, key, machine):
        if self.timers[id(machine)] == key:
            self.send(messages.Tick(), machine)

    def AddToMetrics(self, action, machine):  # noqa: N802
        for name, amount in action.amount_by_name.items():
            self.counts[name] = self.counts.get(name, 0) + amount

    def RequestFinished(self, action, machine):  # noqa: N802
        if machine is self.machine:
            self.outcomes.append(action.code)

    def ReleaseRequest(self, action, machine):  # noqa: N802
        self.released = self.released or machine is self.machine


def check_completed(world):
    assert world.outcomes == [codes.Code.OK]
    for reader in world.readers.values():
        assert reader.ended and not reader.failures
    for number, attempt in world.attempts.items():
        assert attempt.done or attempt.cancelled or attempt.lost, f"attempt {number} runs on"
    assert not lifecycles.UNEXPECTED_COUNT_BY_TRANSITION.total() - world.errors_before


def simulate(seed, faults, resume, streamed, takeovers=(), gaps=()):
    before = lifecycles.UNEXPECTED_COUNT_BY_TRANSITION.total()
    extra = {"keep_answer_s": 20.0, "max_failed_attempts": 20, "max_restarts": 9}
    world = World(random.Random(seed), faults, resume, streamed, **extra)
    world.errors_before = before
    for moment in takeovers:
        world.at(moment, world.take_over)
    for moment, gap in gaps:
        world.at(moment, world.leave, "0", gap)
    return world.run(90.0)


MOMENTS = st.floats(0.0, 3.0)


@hypothesis.settings(max_examples=250)
@hypothesis.given(
    st.integers(0, 10**6),
    st.lists(st.sampled_from(FAULTS), max_size=5),
    st.sampled_from(["latency", "resources"]),
    st.sampled_from([(True,), (True, False), (False,)]),
    st.lists(MOMENTS, max_size=2),
    st.lists(st.tuples(MOMENTS, st.floats(0.05, 1.0)), max_size=2),
)
def test_every_reader_gets_each_token_once(seed, faults, resume, streamed, takeovers, gaps):
    """Guards the guarantees 1 to 3 against engine faults, takeovers and returning readers."""
    check_completed(simulate(seed, faults, resume, streamed, takeovers, gaps))


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("resume", ["latency", "resources"])
def test_each_fault_alone(fault, resume):
    """Guards against a fault that is covered only by luck of the random search."""
    for seed in range(12):
        check_completed(simulate(seed, ["die", fault], resume, (True,)))
        world = simulate(seed, [fault], resume, (True,))
        check_completed(world)
        if fault in ("close", "silent") and resume == "resources":
            # A reattachment continues without extra work.
            assert len(world.attempts) == 1 and "prefill_repeated" not in world.counts
        if world.counts.get("resumptions") and fault != "refuse_prefix":
            assert world.counts["resume_latency_s"] / world.counts["resumptions"] < 2.0


def test_new_generation_when_no_engine_confirms_the_prefix():
    """Guards against mixed generations, and against a restart while another engine may do."""
    shown = 0
    for seed in range(20):
        world = simulate(seed, ["die"] + ["refuse_prefix"] * 3, "resources", (True, False))
        check_completed(world)
        streamed, whole = world.readers.values()
        assert streamed.generation == whole.generation == max(world.seeds)
        shown += streamed.restarts
        if streamed.restarts:
            assert len(world.attempts) == 5, "restarted before three engines refused"
    assert shown > 10


@pytest.mark.parametrize("resume", ["latency", "resources"])
def test_undisturbed_run_causes_no_extra_work(resume):
    """Guards against hedges, moves and repeated prefill when nothing fails."""
    for seed in range(30):
        world = simulate(seed, [], resume, (True, False))
        check_completed(world)
        assert len(world.attempts) == 1 and world.detector.moves == 0
        assert world.counts == {"tokens_generated": LENGTH, "tokens_delivered": 2 * LENGTH}


def test_slow_reader_is_bounded_and_cut():
    """Guards against unbounded bytes towards a reader that doesn't read."""
    world = World(random.Random(1), streamed=(True, True), max_unread_bytes=20, slow_reader_s=2.0)
    send = world.send

    def drop_reads(event, machine=None):
        if not (type(event) is messages.ReaderRead and event.reader == "0"):
            send(event, machine)

    world.send = drop_reads
    world.run(5.0)
    slow, other = world.readers.values()
    assert slow.failures == [codes.Code.SLOW_READER] and len("".join(slow.tokens)) == 20
    assert other.ended
    # The reader comes back with its last event id and gets the rest.
    world.send = send
    world.attach("0")
    world.run(10.0)
    assert slow.ended and slow.tokens == other.tokens


@pytest.mark.parametrize("on_absence", ["cancel", "continue"])
def test_absence_of_the_caller(on_absence):
    """Guards against work for nobody, and against a report that is lost with its caller."""
    world = World(random.Random(2), on_absence=on_absence, absence_grace_s=0.2)
    world.at(0.3, world.send, messages.ReaderDisconnected("0"))
    world.run(30.0)
    cancelled = on_absence == "cancel"
    assert world.outcomes == [codes.Code.CANCELLED if cancelled else codes.Code.OK]
    assert [attempt.cancelled for attempt in world.attempts.values()] == [cancelled]


def test_cancelled_stale_and_unrun_requests():
    """Guards against wrong codes: a code says whether the request ran."""
    world = World(random.Random(3))
    world.at(0.4, world.send, messages.CallerCancelled())
    world.at(0.1, world.send, messages.ReaderAttached("0", 1, 99, True))
    world.run(30.0)
    assert world.readers["0"].failures[0] == codes.Code.JOURNAL_STALE
    assert world.outcomes == [codes.Code.CANCELLED] and world.attempts[1].cancelled
    refused = World(random.Random(4), ["not_run"] * 99, on_absence="continue").run(30.0)
    assert refused.outcomes == [codes.Code.NO_TARGET] and refused.ledger.repeated == 0
    failing = World(random.Random(4), ["http"] * 99).run(30.0)
    assert failing.outcomes == [codes.Code.TARGET_FAILED]
    denied = World(random.Random(4), ["http"] * 99, budget=Budget(10**6)).run(30.0)
    assert denied.outcomes == [codes.Code.RETRY_BUDGET_SPENT]


def test_hedge_needs_room_under_the_cap():
    """Guards against hedges beyond extra_work_percent; a necessary resume always starts."""
    for delivered, hedged in ((0, False), (100_000, True)):
        world = World(random.Random(5), ["die_silently"], "latency")
        world.ledger.delivered = delivered
        world.run(30.0)
        assert world.outcomes == [codes.Code.OK] and len(world.attempts) == 2
        assert ("hedges" in world.counts) == hedged


def test_false_move_is_counted():
    """Guards against a detector that can't be judged: the paused engine answers after the move."""
    world = simulate(1, ["pause"], "resources", (True,))
    check_completed(world)
    assert world.detector.false_moves == world.counts.get("moves_false", 0)
    runs = [simulate(seed, ["pause"], "resources", (True,)) for seed in range(10)]
    assert sum(run.detector.false_moves for run in runs) > 0


def test_commit_of_an_earlier_generation_delivers_nothing():
    """Guards against a late commit that is taken for one of the new generation."""
    world = World(random.Random(6))
    machine = world.machine
    machine.generation, machine._tokens, machine._is_generation_committed = 2, ["a", "b"], True
    assert machine.handle(messages.JournalCommitted(1, 2, False, machine._note), 0.1) == []
    actions = machine.handle(messages.JournalCommitted(2, 1, False, machine._note), 0.1)
    delivered = [action for action in actions if type(action) is messages.DeliverTokens]
    assert delivered == [messages.DeliverTokens("0", 2, 0, ["a"])]
