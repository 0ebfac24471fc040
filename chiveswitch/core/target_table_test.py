"""Tests of the table of targets: late, repeated and crossed reports, reused addresses and ids."""

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
    # Guards against work for a leaving target after its announcements crossed on the way.
    table = target_table.TargetTable()
    seen = set()
    for sequence, state in order:
        table.apply_report(f"h{hub}", report(sequence=sequence, state=state), 1.0)
        seen.add(state)
        if GONE in seen or DRAINING in seen and sequence <= 3:
            assert ids(table) == []
    assert ids(table) == []


def test_a_restart_under_the_same_id_counts_anew():
    # Guards against refusing a restarted target because its sequence began again.
    table = target_table.TargetTable()
    table.apply_report("h", report(sequence=90), 1.0)
    table.apply_report("h", report(sequence=90, state=GONE), 2.0)
    assert ids(table) == []
    table.apply_report("h", report(sequence=1, born_ms=2), 3.0)
    assert ids(table) == ["t"]
    table.apply_report("h", report(sequence=91, born_ms=1), 4.0)
    assert table.find("t").report.born_ms == 2


def test_a_reused_address_belongs_to_the_later_start():
    # Guards against sending to a target whose address another service has now.
    left = []
    table = target_table.TargetTable(left.append)
    table.apply_report("h", report("old", born_ms=1), 1.0)
    table.apply_report("h", report("new", born_ms=5, service="other"), 2.0)
    assert ids(table) == []
    assert left == ["old"]
    # A heartbeat of the crashed start that a partition has delayed.
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
    # It still gets requests if nothing else is left.
    assert ids(table) == ["t"]


def zone(table, name, count):
    for number in range(count):
        target_id = f"{name}{number}"
        address = f"10.0.0.{ord(name)}:{number + 1}"
        table.apply_report("h", report(target_id, address=address, availability_zone=name), 0.0)


def test_the_loss_of_several_targets_of_a_zone_makes_the_zone_avoided():
    # Pattern: a whole zone of workers goes dark; guards against losing one stream at each of them.
    table = target_table.TargetTable()
    zone(table, "a", 6)
    zone(table, "b", 6)
    table.record_loss(table.find("a0"), 10.0)
    assert table.find("a5").avoided_until == 0.0
    table.record_remote_loss("a1", 10.2)
    avoided = [each for each in table.ready_targets("s") if each.avoided_until > 10.2]
    assert {each.zone for each in avoided} == {"a"}
    assert len(avoided) == 6


def test_a_target_that_was_just_heard_survives_the_loss_of_its_zone():
    table = target_table.TargetTable()
    zone(table, "a", 6)
    table.find("a5").record_contact(10.15)
    table.record_loss(table.find("a0"), 10.0)
    table.record_loss(table.find("a1"), 10.2)
    assert table.find("a5").avoided_until == 0.0


def test_a_loss_is_told_once_and_one_loss_counts_one_miss():
    # Guards against a storm of reports when many streams notice the same loss.
    told = []
    table = target_table.TargetTable(on_lost=told.append)
    zone(table, "a", 1)
    for moment in range(5):
        table.record_loss(table.find("a0"), 10.0 + moment / 100)
    assert told == ["a0"]
    assert table.find("a0").avoided_until == 10.0 + target_table.AVOID_SECONDS
