"""Load pattern: the network resets many connections at once while all targets keep running."""

from chiveswitch.core import target_table, target_table_test


def test_suspicions_do_not_exclude_a_zone_or_the_target_for_long():
    # Guards against a zone that all gateways avoid after connections to two of its targets broke.
    lost_ids = []
    table = target_table.TargetTable(on_lost=lost_ids.append)
    target_table_test.add_zone(table, "a", 6)
    for target_id in ("a0", "a1", "a2"):
        table.find(target_id).suspect(10.0)
    assert lost_ids == []
    assert all(table.find(f"a{number}").avoided_until == 0.0 for number in (3, 4, 5))
    table.find("a0").record_contact(10.01)
    assert table.find("a0").avoided_until <= 10.01
    assert table.find("a1").avoided_until <= 10.0 + target_table.SUSPECT_SECONDS


def test_a_confirmed_suspicion_is_reported_once():
    # Guards against a loss that stays unreported because the target was already suspected.
    lost_ids = []
    table = target_table.TargetTable(on_lost=lost_ids.append)
    target_table_test.add_zone(table, "a", 6)
    target = table.find("a0")
    target.suspect(10.0)
    table.record_loss(target, 10.1)
    table.record_loss(target, 10.2)
    assert lost_ids == ["a0"]
    assert target.avoided_until >= 10.1 + target_table.AVOID_SECONDS
