"""Tests of a node's part in roll-outs: the leader's steps, and what gateways learn of them."""

import asyncio
import math
import types

import expression
import hypothesis
import orjson
import pytest
from hypothesis import strategies

from chiveswitch.core import (
    clock,
    codes,
    control_state,
    decision_log,
    metrics,
    node_settings,
    rollouts,
)
from chiveswitch.peers import control_client, hub, kinds, strict
from chiveswitch.platform import api
from chiveswitch.tools import node_rollouts

control_thrift = control_state.control_thrift
rpc = control_client.rpc
LIMITS = node_settings.RolloutLimits(0.1, 50, 5.0)
DURATION_SECONDS = 12.0


class Member:
    """What `node_rollouts` uses of a node with a control member.

    Attributes:
        state: The member's `control_state.ControlState`.
        is_confirmed: Whether control confirms the proposals of this member.
        lines: Events of the log, as (event, fields).
        applied: States that the gateway's versions were given last.
    """

    def __init__(self, state=None):
        self.state = state or control_state.ControlState(control_state.Limits())
        self.is_confirmed = True
        self.lines = []
        self.applied = []
        self.silence_s = 0.0
        self.settings = types.SimpleNamespace(rollout=LIMITS, name="n1")
        self.incarnation = 1
        self.metrics = metrics.Metrics()
        self.log = types.SimpleNamespace(
            line=lambda part, event, **fields: self.lines.append((event, fields))
        )
        self.hub = types.SimpleNamespace(rollouts=None, publish_rollouts=lambda: None)
        self.view = types.SimpleNamespace(on_rollouts=None)
        self.client = None
        policy = types.SimpleNamespace(
            apply_rollouts=lambda states, now: setattr(self, "applied", states)
        )
        bundle = types.SimpleNamespace(service_by_name={"desk": None})
        self.forwarder = types.SimpleNamespace(
            versions=policy, spawn=asyncio.ensure_future, bundle=bundle
        )
        self.control = self
        self.leases = object()
        self.node = types.SimpleNamespace(
            seconds_since_leader_contact=lambda now: self.silence_s,
            applied_index=1,
            commit_index=1,
        )
        self.exchange = node_rollouts.RolloutExchange(self)

    def leader_address(self):
        return "10.0.0.1:7"

    async def confirm_read(self):
        return expression.Ok(None)

    async def propose(self, record):
        if not self.is_confirmed:
            return codes.failure(codes.Code.MAY_HAVE_RUN, "no majority")
        data = control_state.encode_command(record, int(self.now * 1000))
        result = self.state.apply(self.state.index + 1, 1, data)
        self.exchange.on_control_applied()
        return result

    now = 0.0

    async def start(self, version="v2"):
        record = control_thrift.StartRollout(
            actor="o",
            service_name="desk",
            version=version,
            duration_ms=int(DURATION_SECONDS * 1000),
            share=0.05,
            signature=b"",
        )
        return await self.propose(record)

    def order(self):
        return self.state.rollout_by_service["desk"]

    async def tick(self, now):
        """Lets the member lead at a time, and waits for the step that it writes."""
        self.now = now
        self.exchange._lead(now)
        for _ in range(5):
            await asyncio.sleep(0)

    def report(self, sequence, counts, node="g1"):
        message = rpc.EvidenceReport(node=node, incarnation=1, sequence=sequence, counts=counts)
        handler = self.exchange.handler_by_kind[kinds.Kind.CONTROL_EVIDENCE]
        return strict.decode(rpc.EvidenceAnswer, handler(strict.encode(message), "").ok).ok


def counts(version, answers, failures=0, service="desk"):
    return rpc.EvidenceCounts(
        service_name=service,
        version=version,
        route="calls",
        requests=answers + failures,
        failures=failures,
        latencies=[0] * 12 + [answers],
    )


@pytest.fixture
def manual_clock(monkeypatch):
    """Replaces the clock by one that the test sets."""
    times = types.SimpleNamespace(now=0.0)
    monkeypatch.setattr(clock, "now", lambda: times.now)
    return times


async def play(times, member, seconds, failures=0, sequence=0, start=0.0):
    """Reports evidence twice a second and lets the member lead, until the order ends."""
    now = start
    while now < start + seconds and member.order().state == rollouts.RUNNING:
        now += 0.25
        times.now = now
        if now % 0.5 == 0:
            sequence += 1
            new = max(1, int(50 * member.order().share))
            member.report(sequence, [counts("v2", new, failures), counts("v1", 50 - new)])
        await member.tick(now)
    return sequence


def test_a_good_version_is_accepted_before_the_deadline(manual_clock):
    async def scenario():
        member = Member()
        await member.start()
        await play(manual_clock, member, DURATION_SECONDS)
        return member

    member = asyncio.run(scenario())
    assert member.order().state == rollouts.COMPLETED
    assert manual_clock.now < DURATION_SECONDS
    assert [state.share for state in member.applied] == [1.0]
    assert [event for event, _ in member.lines if event == "decision"]


def test_a_bad_version_is_withdrawn_for_all_gateways(manual_clock):
    async def scenario():
        member = Member()
        await member.start()
        await play(manual_clock, member, DURATION_SECONDS, failures=2)
        return member

    member = asyncio.run(scenario())
    assert member.order().state == rollouts.ROLLED_BACK
    assert (member.applied[0].state, member.applied[0].share) == (rollouts.ROLLED_BACK, 0.0)


def test_a_new_leader_goes_on_from_the_logs_step(manual_clock):
    # Guards against a leader that forgets the exposure so far, or an order at its election.
    async def scenario():
        member = Member()
        await member.start()
        sequence = await play(manual_clock, member, 5.0)
        spent, share = member.order().spent, member.order().share
        successor = Member(control_state.restore(member.state.snapshot(), member.state.limits).ok)
        successor.now = 5.5
        successor.exchange.on_control_applied()
        await successor.tick(5.5)
        judge = successor.exchange._judged_by_service["desk"].judge
        assert (judge.spent, judge.order.share) == (spent, share)
        assert judge.order.deadline == pytest.approx(DURATION_SECONDS, abs=COUNTED_SECONDS)
        await play(manual_clock, successor, DURATION_SECONDS, sequence=sequence, start=5.5)
        return successor

    assert asyncio.run(scenario()).order().state == rollouts.COMPLETED


COUNTED_SECONDS = node_rollouts.COUNTS_SECONDS + 0.5


def test_a_member_that_is_not_confirmed_judges_nothing(manual_clock):
    # Guards against a former leader that takes evidence, which its successor then lacks.
    async def scenario():
        member = Member()
        await member.start()
        member.is_confirmed = False
        await member.tick(0.5)
        answer = member.report(1, [counts("v2", 5)])
        assert answer.code == codes.Code.NOT_LEADER
        member.is_confirmed = True
        await member.tick(1.0)
        assert member.report(1, [counts("v2", 5)]).code == codes.Code.OK
        member.leases = None
        await member.tick(1.5)
        assert member.report(2, [counts("v2", 5)]).code == codes.Code.NOT_LEADER

    asyncio.run(scenario())


def test_a_report_that_is_sent_again_counts_once(manual_clock):
    async def scenario():
        member = Member()
        await member.start()
        await member.tick(0.5)
        for _ in range(3):
            member.report(1, [counts("v2", 5), counts("v1", 20)])
        judge = member.exchange._judged_by_service["desk"].judge
        assert (judge.spent, judge.total) == (5, 25)

    asyncio.run(scenario())


def test_negative_and_huge_counts_are_bounded(manual_clock):
    async def scenario():
        member = Member()
        await member.start()
        await member.tick(0.5)
        bad = counts("v2", 5)
        bad.requests, bad.failures, bad.latencies = -5, 2**31 - 1, [-1] * 100
        member.report(1, [bad])
        judge = member.exchange._judged_by_service["desk"].judge
        assert judge.spent == 0

    asyncio.run(scenario())


def wire_state(serial=5, step=1, share=0.05, state=rollouts.RUNNING, valid_ms=3_000):
    return hub.hub_thrift.RolloutState(
        service_name="desk",
        version="v2",
        state=state,
        serial=serial,
        step=step,
        share=share,
        moves_copies=False,
        valid_ms=valid_ms,
    )


def run_gateway(manual_clock, answers):
    """Applies hubs' answers, as (seconds, state), and returns what the gateway knows at the end."""

    async def scenario():
        member = Member()
        for at, state in answers:
            manual_clock.now = at
            member.exchange.apply_states([state] if state is not None else [])
        return member.applied

    return asyncio.run(scenario())


def test_an_older_state_of_another_hub_is_ignored(manual_clock):
    states = [(0.0, wire_state(step=3, share=0.0)), (0.1, wire_state(step=2, share=1.0))]
    assert run_gateway(manual_clock, states)[0].share == 0.0


def test_a_share_lasts_only_as_long_as_hubs_hear_the_leader(manual_clock):
    # Guards against a share of 1.0 that is held while control has no leader.
    answers = [(0.0, wire_state(share=1.0)), (2.0, wire_state(share=1.0, valid_ms=500))]
    answers.append((2.9, None))
    assert run_gateway(manual_clock, answers)[0].valid_for_s == pytest.approx(0.1)
    answers.append((3.5, None))
    assert run_gateway(manual_clock, answers)[0].valid_for_s == 0.0


def test_an_ended_order_lasts(manual_clock):
    answers = [(0.0, wire_state(state=rollouts.COMPLETED, share=1.0)), (99.0, None)]
    assert run_gateway(manual_clock, answers)[0].valid_for_s == math.inf


def test_a_hub_says_that_there_is_no_order_only_when_it_knows(manual_clock):
    # Guards against a member whose log is behind after a start and that denies an order.
    async def scenario():
        member = Member()
        member.node.applied_index = 0
        member.exchange._update_settled(0.0)
        manual_clock.now = 5.0
        assert member.hub.rollouts() is None
        member.node.applied_index = 1
        member.exchange._update_settled(5.0)
        assert member.hub.rollouts() is None
        manual_clock.now = 5.0 + node_rollouts.SETTLED_SECONDS
        assert member.hub.rollouts() == []
        member.silence_s = rollouts.VALID_SECONDS
        member.exchange._update_settled(manual_clock.now)
        assert member.hub.rollouts() is None

    asyncio.run(scenario())


class FailingClient:
    """A control client whose reports of evidence end with some results."""

    def __init__(self, results):
        self.results = list(results)
        self.sequences = []

    async def send_evidence(self, report, _deadline):
        self.sequences.append(report.sequence)
        return self.results.pop(0)


def test_a_report_of_unknown_fate_is_sent_again_unchanged(manual_clock):
    # Guards against evidence that is lost or counted twice when the leader changes.
    async def scenario():
        member = Member()
        member.exchange.apply_states([wire_state()])
        taken, restored = [], []
        evidence = rollouts.Evidence("desk", "v2", "calls", 3)
        policy = types.SimpleNamespace(
            take_evidence=lambda now: taken.append(now) or [evidence],
            restore_evidence=restored.extend,
        )
        member.forwarder.versions = policy
        unknown = codes.failure(codes.Code.MAY_HAVE_RUN, "")
        refused = codes.failure(codes.Code.CONTROL_UNAVAILABLE, "")
        member.client = FailingClient([unknown, expression.Ok(None), refused])
        for _ in range(3):
            await member.exchange.send_evidence()
        assert member.client.sequences == [1, 1, 2]
        assert (len(taken), restored) == (2, [evidence])

    asyncio.run(scenario())


losses = strategies.lists(strategies.sampled_from(["ok", "unconfirmed", "leader"]), max_size=50)


@hypothesis.settings(max_examples=30, deadline=None)
@hypothesis.given(losses, strategies.sampled_from([0, 2]))
def test_an_order_ends_rightly_over_losses(events, failures):
    # Guards against an order that stays open, or a bad version that is accepted, because control
    # confirms no steps for a while or the leader is lost at some step.
    times = types.SimpleNamespace(now=0.0)
    real_now, clock.now = clock.now, lambda: times.now

    async def scenario():
        member = Member()
        await member.start()
        now, sequence = 0.0, 0
        pending = iter(events)
        while now < 2 * DURATION_SECONDS and member.order().state == rollouts.RUNNING:
            now += 0.25
            times.now = now
            event = next(pending, "ok")
            member.is_confirmed = event != "unconfirmed"
            if event == "leader":
                member = Member(
                    control_state.restore(member.state.snapshot(), member.state.limits).ok
                )
                member.exchange.on_control_applied()
            sequence += 1
            new = max(1, int(25 * member.order().share))
            member.report(sequence, [counts("v2", new, failures), counts("v1", 25 - new)])
            await member.tick(now)
        assert member.order().state != rollouts.RUNNING
        if failures:
            assert member.order().state == rollouts.ROLLED_BACK

    try:
        asyncio.run(scenario())
    finally:
        clock.now = real_now


# The platform's API.


class Responder:
    def __init__(self):
        self.status = None
        self.document = None

    def send(self, status, _headers, body=b""):
        self.status = status
        self.document = orjson.loads(body) if body else None


def ask(method, path, body=b"", order=None, read=None, is_used=True):
    """Sends a request to the API of a node whose control gives some results."""

    async def answer_order(*_arguments):
        return order

    async def answer_read(_service):
        return read

    exchange = types.SimpleNamespace(order=answer_order, read=answer_read)
    node = types.SimpleNamespace(
        rollouts=exchange if is_used else None, log=decision_log.DecisionLog()
    )
    request = types.SimpleNamespace(method=method, path=path, request_target=path, body=body)
    responder = Responder()
    asyncio.run(api.handle_request(node, request, responder))
    return responder


ORDER = b'{"service":"desk","target":"v2","duration-s":12}'


@pytest.mark.parametrize(
    ("result", "status"),
    [
        (expression.Ok(None), 200),
        (codes.failure(codes.Code.BAD_REQUEST, ""), 400),
        (codes.failure(codes.Code.ROLLOUT_CONFLICT, ""), 409),
        (codes.failure(codes.Code.QUEUE_FULL, ""), 503),
        (codes.failure(codes.Code.CONTROL_UNAVAILABLE, ""), 503),
        (codes.failure(codes.Code.MAY_HAVE_RUN, ""), 503),
    ],
)
def test_an_order_is_answered_by_its_result(result, status):
    # Guards against a status that ends the operator's attempts at an order that may succeed.
    assert ask("POST", "/rollouts", ORDER, order=result).status == status


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b'{"service":"desk","target":"v2"}',
        b'{"service":"desk","target":"v2","duration-s":"12"}',
        b'{"service":"desk","target":"v2","duration-s":true}',
        b'{"service":"","target":"v2","duration-s":12}',
        b'{"service":"desk","target":2,"duration-s":12}',
    ],
)
def test_an_order_that_cannot_be_read_is_refused_with_a_number(body):
    answer = ask("POST", "/rollouts", body)
    assert (answer.status, answer.document["code"]) == (400, codes.Code.BAD_REQUEST)


def test_the_state_is_named_as_the_platform_does():
    found = types.SimpleNamespace(found=True, state=rollouts.ROLLED_BACK, version="v2")
    answer = ask("GET", "/rollouts/desk", read=expression.Ok(found))
    assert (answer.status, answer.document) == (200, {"state": "rolled_back", "target": "v2"})


@pytest.mark.parametrize(
    ("read", "status"),
    [
        (expression.Ok(types.SimpleNamespace(found=False)), 404),
        (codes.failure(codes.Code.CONTROL_UNAVAILABLE, ""), 503),
    ],
)
def test_an_unknown_or_unconfirmed_state_is_not_shown(read, status):
    assert ask("GET", "/rollouts/desk", read=read).status == status


@pytest.mark.parametrize(("method", "path"), [("POST", "/rollouts"), ("GET", "/rollouts/desk")])
def test_a_deployment_without_roll_outs_has_no_such_address(method, path):
    assert ask(method, path, ORDER, is_used=False).status == 404


def test_a_lag_of_controls_time_moves_no_deadline(manual_clock):
    # Failure: control was idle for an hour, so that its time lags and catches up in steps of five
    # minutes with the commands after the order.
    async def scenario():
        member = Member()
        member.state.time_ms = 1
        manual_clock.now = member.now = 3600.0
        await member.start()
        await play(manual_clock, member, DURATION_SECONDS, start=3600.0)
        return member

    member = asyncio.run(scenario())
    assert member.order().state == rollouts.COMPLETED
    assert manual_clock.now > 3600.0 + DURATION_SECONDS / 2


def test_a_gateway_that_restarts_with_an_earlier_time_of_day_is_counted(manual_clock):
    member = Member()
    asyncio.run(member.start())
    report = rpc.EvidenceReport(node="g1", incarnation=9, sequence=5, counts=[])
    assert member.exchange._is_new(report)
    assert not member.exchange._is_new(report)
    report.incarnation, report.sequence = 3, 1
    assert member.exchange._is_new(report)
