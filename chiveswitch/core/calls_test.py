"""Tests of calls over a real control state: at most one send, and "not run" only when true."""

import hypothesis
from hypothesis import stateful, strategies

from chiveswitch.core import calls, codes, control_state, control_state_test

wire = control_state.control_thrift
PICK = strategies.integers(0, 9)


class Gateways(stateful.RuleBasedStateMachine):
    """Gateways share one key; commands are lost, repeated and late; processes pause and die."""

    def __init__(self):
        super().__init__()
        self.log = control_state_test.Log()
        self.now = 0.0
        self.calls = []
        self.commands = []
        self.connecting = []
        self.writing = []
        self.sends = []
        self.unsent = set()
        self.releases = {}

    def act(self, number, actions):
        for action in actions:
            kind = type(action)
            if kind in (calls.OpenIntent, calls.ReleaseIntent, calls.FinishIntent):
                self.commands.append((number, action))
            elif kind is calls.Connect:
                self.connecting.append(number)
            elif kind is calls.WriteRequest:
                assert self.now < action.deadline
                self.writing.append((number, action.deadline))
            elif kind is calls.Respond:
                if codes.MEANING_BY_CODE[action.code].run is codes.Run.NOT_RUN:
                    assert self.releases[number] == 0, "a send came before the release"
                    assert number not in self.sends
                    self.unsent.add(number)

    def give(self, number, event):
        if self.calls[number] is not None:
            self.act(number, self.calls[number].handle(event, self.now))

    @stateful.precondition(lambda self: len(self.calls) < 6)
    @stateful.rule()
    def begin(self):
        number = len(self.calls)
        self.calls.append(
            calls.UnrepeatableCall(calls.Settings("shop", "k", b"b", f"g{number}", "o", 5.0))
        )
        self.give(number, calls.Begin())

    @stateful.precondition(lambda self: self.commands)
    @stateful.rule(pick=PICK, lost=strategies.booleans(), keep=strategies.booleans())
    def commit(self, pick, lost, keep):
        """Commits a command; its answer may be lost and a copy may come again later."""
        at = pick % len(self.commands)
        number, action = self.commands[at] if keep else self.commands.pop(at)
        struct = getattr(wire, type(action).__name__)
        values = {name: getattr(action, name) for name in action.__slots__}
        result = self.log.commit(struct(**values))
        name = {"OpenIntent": "open", "ReleaseIntent": "release"}.get(struct.__name__, "finish")
        if result.is_ok() and result.ok.kind == "released":
            self.releases.setdefault(number, len(self.sends))
        event = calls.ControlLost(name) if lost else calls.ControlAnswered(name, result)
        self.give(number, event)

    @stateful.precondition(lambda self: self.commands)
    @stateful.rule(pick=PICK)
    def lose(self, pick):
        """A command is lost before the commit and the gateway cannot tell."""
        number, action = self.commands.pop(pick % len(self.commands))
        name = type(action).__name__.removesuffix("Intent").lower()
        self.give(number, calls.ControlLost(name))

    @stateful.precondition(lambda self: self.connecting)
    @stateful.rule(pick=PICK, refused=strategies.booleans())
    def connect(self, pick, refused):
        number = self.connecting.pop(pick % len(self.connecting))
        event = calls.NotSent(1, "t") if refused else calls.Connected(1, "t")
        self.give(number, event)

    @stateful.precondition(lambda self: self.writing)
    @stateful.rule(pick=PICK, known=strategies.booleans())
    def write(self, pick, known):
        number, deadline = self.writing.pop(pick % len(self.writing))
        if self.calls[number] is None:
            return
        if self.now >= deadline:
            self.give(number, calls.NotSent(1, "t"))
            return
        self.sends.append(number)
        assert len(self.sends) == 1, "a second send"
        assert number not in self.unsent
        event = calls.Outcome(1, 200, b"x") if known else calls.OutcomeLost(1, "t")
        self.give(number, event)

    @stateful.precondition(lambda self: len(self.calls) < 6)
    @stateful.rule(step=strategies.sampled_from([0.0, 4.0, 20.0]), known=strategies.booleans())
    def advance(self, step, known):
        """Takes one call as far as it gets, since random steps seldom reach a second send."""
        self.begin()
        self.commit(len(self.commands) - 1, False, False)
        if self.connecting:
            self.now += step
            self.connect(len(self.connecting) - 1, False)
        if self.writing:
            self.write(len(self.writing) - 1, known)
        if self.commands:
            self.commit(len(self.commands) - 1, False, False)

    @stateful.rule(step=strategies.sampled_from([0.3, 1.0, 4.0, 20.0]))
    def wait(self, step):
        self.now += step
        for number in range(len(self.calls)):
            self.give(number, calls.Timer())

    @stateful.rule(step=strategies.sampled_from([0.3, 4.0, 20.0]))
    def pause(self, step):
        """Time passes and no gateway notices before the next event."""
        self.now += step

    @stateful.precondition(lambda self: self.calls)
    @stateful.rule(pick=PICK)
    def die(self, pick):
        self.calls[pick % len(self.calls)] = None


TestGateways = Gateways.TestCase
TestGateways.settings = hypothesis.settings(max_examples=80, stateful_step_count=30, deadline=None)


class Bench:
    """One call over a fresh control state."""

    def __init__(self, key="k"):
        self.log = control_state_test.Log()
        self.call = calls.UnrepeatableCall(calls.Settings("shop", key, b"b", "g1", "o", 5.0))

    def commit(self, action, now):
        values = {name: getattr(action, name) for name in action.__slots__}
        result = self.log.commit(getattr(wire, type(action).__name__)(**values))
        name = type(action).__name__.removesuffix("Intent").lower()
        return self.call.handle(calls.ControlAnswered(name, result), now)


def test_outcome_is_recorded_before_the_answer():
    bench = Bench()
    open_ = bench.call.handle(calls.Begin(), 0.0)[0]
    assert bench.commit(open_, 0.1) == [calls.Connect(1, ())]
    bench.call.handle(calls.Connected(1, "t"), 0.2)
    [finish] = bench.call.handle(calls.Outcome(1, 200, b"x"), 0.3)
    assert bench.commit(finish, 0.4) == [calls.Respond(codes.Code.OK, 200, b"x", "")]


def test_connection_after_the_deadline_writes_nothing_and_releases():
    """A gateway that was paused between the record and the send must not send."""
    bench = Bench()
    bench.commit(bench.call.handle(calls.Begin(), 0.0)[0], 0.1)
    actions = bench.call.handle(calls.Connected(1, "t"), 11.0)
    assert [type(action) for action in actions[:2]] == [calls.CloseAttempt, calls.ReleaseIntent]


def test_lost_outcome_keeps_the_permit_so_that_nobody_sends_again():
    bench = Bench()
    bench.commit(bench.call.handle(calls.Begin(), 0.0)[0], 0.1)
    bench.call.handle(calls.Connected(1, "t"), 0.2)
    respond, finish = bench.call.handle(calls.OutcomeLost(1, "t"), 0.3)
    assert respond.code == codes.Code.MAY_HAVE_RUN
    bench.commit(finish, 0.4)
    again = bench.log.commit(control_state_test.open_intent("k", "g2", "p")).ok
    assert (again.kind, again.flag) == ("pending", True)


def test_lost_answers_end_in_a_release_that_proves_not_run():
    bench = Bench()
    bench.call.handle(calls.Begin(), 0.0)
    bench.call.handle(calls.ControlLost("open"), 0.2)
    assert type(bench.call.handle(calls.Timer(), 0.5)[0]) is calls.OpenIntent
    [release] = bench.call.handle(calls.Timer(), 3.6)
    assert bench.commit(release, 3.7)[0].code == codes.Code.WAIT_EXPIRED


def test_call_without_a_key_is_refused():
    assert Bench(None).call.handle(calls.Begin(), 0.0)[0].code == codes.Code.KEY_REQUIRED


def idempotent(budget):
    settings = calls.Settings("shop", None, b"b", "g1", "o", 5.0)
    call = calls.IdempotentCall(settings, lambda now: budget.pop() if budget else False)
    assert call.handle(calls.Begin(), 0.0) == [calls.SetTimer(5.0), calls.Connect(1, ())]
    return call


def test_idempotent_call_moves_to_another_target_and_ignores_the_first():
    call = idempotent([True])
    call.handle(calls.Connected(1, "a"), 0.1)
    assert call.handle(calls.OutcomeLost(1, "a"), 0.2) == [calls.Connect(2, ("a",))]
    assert call.handle(calls.Outcome(1, 200, b"late"), 0.3) == []
    call.handle(calls.Connected(2, "b"), 0.3)
    answered = [calls.Respond(codes.Code.OK, 200, b"x", "")]
    assert call.handle(calls.Outcome(2, 200, b"x"), 0.4) == answered
    assert call.handle(calls.Outcome(2, 200, b"x"), 0.4) == []


def test_idempotent_call_respects_the_budget_and_the_wait_limit():
    assert idempotent([]).handle(calls.NotSent(1, "a"), 0.1)[0].code == (
        codes.Code.RETRY_BUDGET_SPENT
    )
    assert idempotent([]).handle(calls.NotSent(1, None), 0.1)[0].code == codes.Code.NO_TARGET
    assert idempotent([]).handle(calls.Timer(), 5.0)[1].code == codes.Code.WAIT_EXPIRED
    sent = idempotent([True])
    sent.handle(calls.Connected(1, "a"), 0.1)
    sent.handle(calls.OutcomeLost(1, "a"), 0.2)
    assert sent.handle(calls.NotSent(2, None), 0.3)[0].code == codes.Code.TARGET_FAILED


def test_lost_question_never_shows_the_outcome_of_another_body():
    """The release that follows a lost question compares the body as the question does."""
    bench = Bench()
    grant = bench.log.commit(control_state_test.open_intent("k", "g2", "p", b"other")).ok.number
    bench.log.commit(control_state_test.finish_intent(grant, "k", "g2"))
    bench.call.handle(calls.Begin(), 0.0)
    [release] = bench.call.handle(calls.Timer(), 3.6)
    assert bench.commit(release, 3.7)[0].code == codes.Code.KEY_REUSED
