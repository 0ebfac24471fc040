"""Tests of calls on a real control state: at most one send, and "not run" only if it is proven."""

import hypothesis
from hypothesis import stateful, strategies

from chiveswitch.core import calls, codes, control_state, control_state_test

wire = control_state.control_thrift
PICK = strategies.integers(0, 9)


class Gateways(stateful.RuleBasedStateMachine):
    """Gateways call under one key; commands are lost, repeated or late; gateways pause or crash."""

    def __init__(self):
        super().__init__()
        self.log = control_state_test.Log()
        self.now = 0.0
        self.calls = []
        self.commands = []
        self.connecting = []
        self.writing = []
        self.sends = []
        self.reported_not_run = set()
        self.sends_before_release = {}

    def execute_actions(self, number, actions):
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
                if codes.MEANING_BY_CODE[action.code].run is codes.RunStatus.NOT_RUN:
                    assert self.sends_before_release[number] == 0, "a send came before the release"
                    assert number not in self.sends
                    self.reported_not_run.add(number)

    def send_event(self, number, event):
        if self.calls[number] is not None:
            self.execute_actions(number, self.calls[number].handle(event, self.now))

    @stateful.precondition(lambda self: len(self.calls) < 6)
    @stateful.rule()
    def begin(self):
        number = len(self.calls)
        self.calls.append(
            calls.UnrepeatableCall(calls.CallParameters("shop", "k", b"b", f"g{number}", "o", 5.0))
        )
        self.send_event(number, calls.Begin())

    @stateful.precondition(lambda self: self.commands)
    @stateful.rule(pick=PICK, lost=strategies.booleans(), keep=strategies.booleans())
    def commit(self, pick, lost, keep):
        """Commits a command; its answer may be lost, and a copy may be committed again later."""
        at = pick % len(self.commands)
        number, action = self.commands[at] if keep else self.commands.pop(at)
        struct = getattr(wire, type(action).__name__)
        values = {name: getattr(action, name) for name in action.__slots__}
        result = self.log.commit(struct(**values))
        name = {"OpenIntent": "open", "ReleaseIntent": "release"}.get(struct.__name__, "finish")
        if result.is_ok() and result.ok.kind == "released":
            self.sends_before_release.setdefault(number, len(self.sends))
        event = calls.ControlAnswerLost(name) if lost else calls.ControlAnswered(name, result)
        self.send_event(number, event)

    @stateful.precondition(lambda self: self.commands)
    @stateful.rule(pick=PICK)
    def lose(self, pick):
        """Loses a command before its commit, which looks like a lost answer to the gateway."""
        number, action = self.commands.pop(pick % len(self.commands))
        name = type(action).__name__.removesuffix("Intent").lower()
        self.send_event(number, calls.ControlAnswerLost(name))

    @stateful.precondition(lambda self: self.connecting)
    @stateful.rule(pick=PICK, refused=strategies.booleans())
    def connect(self, pick, refused):
        number = self.connecting.pop(pick % len(self.connecting))
        event = calls.NotSent(1, "t") if refused else calls.Connected(1, "t")
        self.send_event(number, event)

    @stateful.precondition(lambda self: self.writing)
    @stateful.rule(pick=PICK, known=strategies.booleans())
    def write(self, pick, known):
        number, deadline = self.writing.pop(pick % len(self.writing))
        if self.calls[number] is None:
            return
        if self.now >= deadline:
            self.send_event(number, calls.NotSent(1, "t"))
            return
        self.sends.append(number)
        assert len(self.sends) == 1, "a second send"
        assert number not in self.reported_not_run
        event = calls.Outcome(1, 200, b"x") if known else calls.OutcomeLost(1, "t")
        self.send_event(number, event)

    @stateful.precondition(lambda self: len(self.calls) < 6)
    @stateful.rule(step=strategies.sampled_from([0.0, 4.0, 20.0]), known=strategies.booleans())
    def advance(self, step, known):
        """Runs one call as far as possible, since random steps seldom reach a second send."""
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
            self.send_event(number, calls.TimerFired())

    @stateful.rule(step=strategies.sampled_from([0.3, 4.0, 20.0]))
    def pause(self, step):
        """Lets time pass without timer events, as when the gateways are paused."""
        self.now += step

    @stateful.precondition(lambda self: self.calls)
    @stateful.rule(pick=PICK)
    def die(self, pick):
        self.calls[pick % len(self.calls)] = None


TestGateways = Gateways.TestCase
TestGateways.settings = hypothesis.settings(max_examples=80, stateful_step_count=30, deadline=None)


class CallHarness:
    """One unrepeatable call on an empty control state."""

    def __init__(self, key="k"):
        self.log = control_state_test.Log()
        self.call = calls.UnrepeatableCall(calls.CallParameters("shop", key, b"b", "g1", "o", 5.0))

    def commit(self, action, now):
        values = {name: getattr(action, name) for name in action.__slots__}
        result = self.log.commit(getattr(wire, type(action).__name__)(**values))
        name = type(action).__name__.removesuffix("Intent").lower()
        return self.call.handle(calls.ControlAnswered(name, result), now)


def test_outcome_is_recorded_before_the_answer():
    # Guards against a response to the caller before control has committed the outcome.
    harness = CallHarness()
    open_intent = harness.call.handle(calls.Begin(), 0.0)[0]
    assert harness.commit(open_intent, 0.1) == [calls.Connect(1, ())]
    harness.call.handle(calls.Connected(1, "t"), 0.2)
    [finish] = harness.call.handle(calls.Outcome(1, 200, b"x"), 0.3)
    assert harness.commit(finish, 0.4) == [calls.Respond(codes.Code.OK, 200, b"x", "")]


def test_connection_after_the_deadline_writes_nothing_and_releases():
    # Guards against a gateway that is paused between the grant of the permit and the send, and then
    # sends after the permit's deadline.
    harness = CallHarness()
    harness.commit(harness.call.handle(calls.Begin(), 0.0)[0], 0.1)
    actions = harness.call.handle(calls.Connected(1, "t"), 11.0)
    assert [type(action) for action in actions[:2]] == [calls.CloseAttempt, calls.ReleaseIntent]


def test_lost_outcome_keeps_the_permit_so_that_nobody_sends_again():
    # Guards against a second send by another gateway after a target's response was lost.
    harness = CallHarness()
    harness.commit(harness.call.handle(calls.Begin(), 0.0)[0], 0.1)
    harness.call.handle(calls.Connected(1, "t"), 0.2)
    respond, finish = harness.call.handle(calls.OutcomeLost(1, "t"), 0.3)
    assert respond.code == codes.Code.MAY_HAVE_RUN
    harness.commit(finish, 0.4)
    again = harness.log.commit(control_state_test.open_intent("k", "g2", "p")).ok
    assert (again.kind, again.flag) == ("pending", True)


def test_lost_answers_end_in_a_release_that_proves_not_run():
    # Guards against an unknown outcome for a call that was never sent, when the answers of control
    # to its requests for a permit are lost.
    harness = CallHarness()
    harness.call.handle(calls.Begin(), 0.0)
    harness.call.handle(calls.ControlAnswerLost("open"), 0.2)
    assert type(harness.call.handle(calls.TimerFired(), 0.5)[0]) is calls.OpenIntent
    [release] = harness.call.handle(calls.TimerFired(), 3.6)
    assert harness.commit(release, 3.7)[0].code == codes.Code.WAIT_EXPIRED


def test_call_without_a_key_is_refused():
    # Guards against an unrepeatable call that runs without a permit.
    assert CallHarness(None).call.handle(calls.Begin(), 0.0)[0].code == codes.Code.KEY_REQUIRED


def new_idempotent_call(budget):
    parameters = calls.CallParameters("shop", None, b"b", "g1", "o", 5.0)
    call = calls.IdempotentCall(parameters, lambda now: budget.pop() if budget else False)
    assert call.handle(calls.Begin(), 0.0) == [calls.SetTimer(5.0), calls.Connect(1, ())]
    return call


def test_idempotent_call_moves_to_another_target_and_ignores_the_first():
    # Guards against a late response of an earlier attempt that is returned to the caller.
    call = new_idempotent_call([True])
    call.handle(calls.Connected(1, "a"), 0.1)
    assert call.handle(calls.OutcomeLost(1, "a"), 0.2) == [calls.Connect(2, ("a",))]
    assert call.handle(calls.Outcome(1, 200, b"late"), 0.3) == []
    call.handle(calls.Connected(2, "b"), 0.3)
    answered = [calls.Respond(codes.Code.OK, 200, b"x", "")]
    assert call.handle(calls.Outcome(2, 200, b"x"), 0.4) == answered
    assert call.handle(calls.Outcome(2, 200, b"x"), 0.4) == []


def test_idempotent_call_respects_the_budget_and_the_wait_limit():
    # Guards against retries beyond the budget or the wait limit, and against a code that means "not
    # run" after a target may have run the call.
    assert new_idempotent_call([]).handle(calls.NotSent(1, "a"), 0.1)[0].code == (
        codes.Code.RETRY_BUDGET_SPENT
    )
    assert (
        new_idempotent_call([]).handle(calls.NotSent(1, None), 0.1)[0].code == codes.Code.NO_TARGET
    )
    assert (
        new_idempotent_call([]).handle(calls.TimerFired(), 5.0)[1].code == codes.Code.WAIT_EXPIRED
    )
    sent = new_idempotent_call([True])
    sent.handle(calls.Connected(1, "a"), 0.1)
    sent.handle(calls.OutcomeLost(1, "a"), 0.2)
    assert sent.handle(calls.NotSent(2, None), 0.3)[0].code == codes.Code.TARGET_FAILED


def test_release_after_a_lost_open_never_returns_the_outcome_of_another_body():
    # Guards against a ReleaseIntent that returns the recorded outcome of another body under the
    # same key, if only the lost OpenIntent compared the digests of the bodies.
    harness = CallHarness()
    grant = harness.log.commit(control_state_test.open_intent("k", "g2", "p", b"other")).ok.number
    harness.log.commit(control_state_test.finish_intent(grant, "k", "g2"))
    harness.call.handle(calls.Begin(), 0.0)
    [release] = harness.call.handle(calls.TimerFired(), 3.6)
    assert harness.commit(release, 3.7)[0].code == codes.Code.KEY_REUSED
