"""Tests of the target table: late, repeated and reordered reports, reused addresses and ids."""

import hypothesis
from hypothesis import strategies

from chiveswitch.core import target_table

READY, DRAINING, GONE = target_table.READY, target_table.DRAINING, target_table.GONE


def report(target_id="t", sequence=1, state=READY, born_ms=1, address="10.0.0.1:1", **changes):
    fields = {
        "target_id": target_id,
        "service": "s",
        "address": address,
        "availability_zone": "z",
        "slots": 4,
        "state": state,
        "born_ms": born_ms,
        "sequence": sequence,
        "overdue": False,
    }
    fields.update(changes)
    return target_table.Report(**fields)


def ids(table):
    return sorted(target.target_id for target in table.ready_targets("s"))


@hypothesis.given(
    strategies.permutations([(1, READY), (2, READY), (3, DRAINING), (4, GONE)]),
    strategies.integers(0, 4),
)
def test_a_target_that_leaves_is_not_brought_back_by_late_reports(order, hub):
    # Guards against new work for a leaving target: its reports reach the gateway through several
    # hubs in any order, and an older one may arrive last.
    table = target_table.TargetTable()
    seen = set()
    for sequence, state in order:
        table.apply_report(f"h{hub}", report(sequence=sequence, state=state), 1.0)
        seen.add(state)
        if GONE in seen or DRAINING in seen and sequence <= 3:
            assert ids(table) == []
    assert ids(table) == []


def test_a_restart_under_the_same_id_counts_anew():
    # Guards against ignoring a restarted target because its sequence numbers start again at 1.
    table = target_table.TargetTable()
    table.apply_report("h", report(sequence=90), 1.0)
    table.apply_report("h", report(sequence=90, state=GONE), 2.0)
    assert ids(table) == []
    table.apply_report("h", report(sequence=1, born_ms=2), 3.0)
    assert ids(table) == ["t"]
    table.apply_report("h", report(sequence=91, born_ms=1), 4.0)
    assert table.find("t").report.born_ms == 2


def test_a_reused_address_belongs_to_the_later_start():
    # Guards against requests to a target whose address now belongs to a target of another service.
    gone_ids = []
    table = target_table.TargetTable(gone_ids.append)
    table.apply_report("h", report("old", born_ms=1), 1.0)
    table.apply_report("h", report("new", born_ms=5, service="other"), 2.0)
    assert ids(table) == []
    assert gone_ids == ["old"]
    # A heartbeat of the crashed target arrives late because of a partition.
    table.apply_report("h", report("old", born_ms=1, sequence=9), 3.0)
    assert ids(table) == []


def test_a_target_is_overdue_only_when_no_reachable_hub_confirms_it():
    table = target_table.TargetTable()
    table.apply_report("a", report(), 0.0)
    table.apply_report("b", report(sequence=2), 0.0)
    table.sweep({"b"}, 20.0)
    assert not table.find("t").report.overdue
    table.sweep({"c"}, 30.0)
    assert table.find("t").report.overdue
    # An overdue target still gets requests if there is no other one.
    assert ids(table) == ["t"]


def add_zone(table, name, count):
    for number in range(count):
        target_id = f"{name}{number}"
        address = f"10.0.0.{ord(name)}:{number + 1}"
        table.apply_report("h", report(target_id, address=address, availability_zone=name), 0.0)


def test_the_loss_of_several_targets_of_a_zone_makes_the_zone_avoided():
    # Guards against losing a stream at each target of a zone that fails as a whole.
    table = target_table.TargetTable()
    add_zone(table, "a", 6)
    add_zone(table, "b", 6)
    table.record_loss(table.find("a0"), 10.0)
    assert table.find("a5").avoided_until == 0.0
    table.record_remote_loss("a1", 10.2)
    avoided = [each for each in table.ready_targets("s") if each.avoided_until > 10.2]
    assert {each.zone for each in avoided} == {"a"}
    assert len(avoided) == 6


def test_a_target_that_has_just_responded_is_not_avoided_with_its_zone():
    table = target_table.TargetTable()
    add_zone(table, "a", 6)
    table.find("a5").record_contact(10.15)
    table.record_loss(table.find("a0"), 10.0)
    table.record_loss(table.find("a1"), 10.2)
    assert table.find("a5").avoided_until == 0.0


def test_one_loss_is_reported_once_and_counts_as_one_failure():
    # Guards against a flood of loss reports, and too long avoidance, when many streams detect the
    # same loss.
    reported = []
    table = target_table.TargetTable(on_lost=reported.append)
    add_zone(table, "a", 1)
    for moment in range(5):
        table.record_loss(table.find("a0"), 10.0 + moment / 100)
    assert reported == ["a0"]
    assert table.find("a0").avoided_until == 10.0 + target_table.AVOID_SECONDS
