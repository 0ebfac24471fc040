"""Tests of the commands for roll-outs."""

import hypothesis
import pytest
from hypothesis import strategies

from chiveswitch.core import codes, control_state, rollout_orders, rollouts

control_thrift = rollout_orders.control_thrift
RUNNING, COMPLETED, ROLLED_BACK = range(3)


class Log:
    """A control state and the commands applied to it."""

    def __init__(self):
        self.state = control_state.ControlState(control_state.Limits())
        self.commands = []

    def apply(self, record, time_ms=1_000):
        data = control_state.encode_command(record, time_ms)
        self.commands.append(data)
        return self.state.apply(self.state.index + 1, 1, data)

    def start(self, version="v2", service="desk", duration_ms=12_000, time_ms=1_000):
        record = control_thrift.StartRollout(
            actor="o",
            service_name=service,
            version=version,
            duration_ms=duration_ms,
            share=0.05,
            signature=b"s",
        )
        return self.apply(record, time_ms)

    def advance(self, state=RUNNING, share=0.1, moves_copies=False, time_ms=1_000, **changes):
        entry = self.state.rollout_by_service["desk"]
        fields = {
            "service_name": "desk",
            "serial": entry.serial,
            "revision": entry.revision,
            "state": state,
            "share": share,
            "moves_copies": moves_copies,
            "spent": 7,
            "total": 70,
            "reason": "r",
            **changes,
        }
        return self.apply(control_thrift.AdvanceRollout(**fields), time_ms)

    def order(self):
        return self.state.rollout_by_service["desk"]


def test_an_order_runs_from_its_first_share():
    log = Log()
    result = log.start()
    assert (result.ok.kind, result.ok.flag, result.ok.number) == ("started", True, 1)
    entry = log.order()
    assert (entry.version, entry.state, entry.share, entry.step) == ("v2", RUNNING, 0.05, 1)
    assert (entry.started_ms, entry.duration_ms) == (1_000, 12_000)
    assert [each.action for each in log.state.audit] == ["rollout"]


@pytest.mark.parametrize("end", [RUNNING, COMPLETED, ROLLED_BACK])
def test_the_same_order_again_is_acknowledged_and_changes_nothing(end):
    # Guards against a second roll-out when the acknowledgement of an order was lost.
    log = Log()
    log.start()
    log.advance(end)
    before = control_state.restore(log.state.snapshot(), control_state.Limits()).ok
    result = log.start(time_ms=2_000)
    assert (result.ok.kind, result.ok.flag, result.ok.status) == ("held", False, end)
    assert log.state.rollout_by_service == before.rollout_by_service


def test_another_version_conflicts_while_one_is_rolled_out():
    log = Log()
    log.start()
    assert log.start("v3").error.code == codes.Code.ROLLOUT_CONFLICT
    assert log.order().version == "v2"
    log.advance(ROLLED_BACK, 0.0)
    assert log.start("v3").ok.kind == "started"
    assert (log.order().version, log.order().serial) == ("v3", log.state.index)


def test_a_withdrawn_version_can_be_ordered_again_later():
    log = Log()
    log.start()
    log.advance(ROLLED_BACK, 0.0)
    later_ms = 1_001 + rollout_orders.RESEND_MS
    assert log.start(time_ms=later_ms).ok.kind == "started"


@pytest.mark.parametrize(
    "changes",
    [
        {"version": ""},
        {"service": ""},
        {"duration_ms": 0},
        {"duration_ms": -5},
        {"duration_ms": rollout_orders.MAX_DURATION_MS + 1},
    ],
)
def test_an_invalid_order_is_refused_and_changes_nothing(changes):
    log = Log()
    assert log.start(**changes).error.code == codes.Code.BAD_REQUEST
    assert not log.state.rollout_by_service and not log.state.audit


def test_a_step_of_a_former_leader_changes_nothing():
    # Guards against a leader that was cut off and raises a share that its successor has lowered.
    log = Log()
    log.start()
    log.advance(ROLLED_BACK, 0.0)
    result = log.advance(RUNNING, 1.0, True, revision=1)
    assert result.error.code == codes.Code.STALE_SERIAL
    assert (log.order().state, log.order().share) == (ROLLED_BACK, 0.0)


def test_an_ended_order_takes_no_step():
    log = Log()
    log.start()
    log.advance(COMPLETED, 1.0, True)
    assert log.advance(ROLLED_BACK, 0.0).is_error()
    assert log.order().state == COMPLETED


@pytest.mark.parametrize("changes", [{"state": 3}, {"share": 1.5}, {"share": -0.1}])
def test_an_invalid_step_is_refused(changes):
    log = Log()
    log.start()
    assert log.advance(**changes).error.code == codes.Code.BAD_REQUEST


def test_noted_counts_are_no_step_for_gateways():
    # Guards against sending all nodes each change of the counts.
    log = Log()
    log.start()
    assert log.advance(RUNNING, 0.05).ok.flag is False
    assert (log.order().step, log.order().revision, log.order().spent) == (1, 2, 7)
    assert log.advance(RUNNING, 0.5).ok.flag is True
    assert (log.order().step, log.order().revision) == (2, 3)


def test_a_snapshot_keeps_the_orders():
    log = Log()
    log.start()
    log.advance(RUNNING, 1.0, True)
    restored = control_state.restore(log.state.snapshot(), control_state.Limits()).ok
    assert restored.rollout_by_service == log.state.rollout_by_service
    assert restored.digest() == log.state.digest()


def test_a_snapshot_without_orders_is_as_in_earlier_versions():
    # Guards against members of an earlier version that cannot read the snapshot.
    snapshot = Log().state.snapshot()
    record = control_state.strict.decode(control_thrift.Snapshot, snapshot).ok
    assert record.rollouts is None
    # Field 17 has the two bytes 0 and 17 after its type; the snapshot ends with the empty list 16.
    assert snapshot.endswith(b"\x0f\x00\x10\x0c\x00\x00\x00\x00\x00")


def test_the_number_of_orders_is_bounded():
    log = Log()
    for number in range(rollout_orders.MAX_ORDERS):
        log.start(service="desk" if not number else f"s{number}")
    assert log.start(service="more").error.code == codes.Code.QUEUE_FULL
    log.advance(ROLLED_BACK, 0.0)
    assert log.start(service="more").is_ok()
    assert len(log.state.rollout_by_service) == rollout_orders.MAX_ORDERS


steps = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just("start"), strategies.sampled_from(["v1", "v2"])),
        strategies.tuples(
            strategies.just("advance"), strategies.sampled_from([RUNNING, COMPLETED, ROLLED_BACK])
        ),
        strategies.tuples(strategies.just("late"), strategies.sampled_from([RUNNING, COMPLETED])),
    ),
    max_size=20,
)


@hypothesis.given(steps, strategies.integers(0, 20))
def test_replicas_agree_also_after_a_snapshot(commands, snapshot_after):
    # Guards against orders that a member which restarts from a snapshot knows differently, and
    # against an older state that follows a newer one.
    log = Log()
    replica = None
    last = None
    for number, (kind, value) in enumerate(commands):
        if kind == "start":
            log.start(value, time_ms=1_000 + number * 40_000)
        elif "desk" in log.state.rollout_by_service:
            changes = {"revision": 1} if kind == "late" else {}
            log.advance(value, 0.5, time_ms=1_000 + number * 40_000, **changes)
        else:
            continue
        if replica is not None:
            replica.apply(log.state.index, 1, log.commands[-1])
        if replica is None and number >= snapshot_after:
            replica = control_state.restore(log.state.snapshot(), control_state.Limits()).ok
        entry = log.order()
        state = rollout_orders.to_rollout_state(entry, 1.0)
        assert last is None or state.newer_than(last) or not last.newer_than(state)
        last = state
    assert replica is None or replica.digest() == log.state.digest()


def test_orders_are_named_in_words():
    assert rollouts.STATE_NAMES == ("running", "completed", "rolled_back")
