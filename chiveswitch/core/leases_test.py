"""Tests of the leader's leases in virtual time."""

from chiveswitch.core import control_state, leases

ENTRY = control_state.control_thrift.RequestEntry


def entry(number, owner, finished=False):
    return ENTRY(
        account="shop",
        request_id=f"r{number}",
        owner=owner,
        generation=1,
        finished=finished,
        body=b"",
    )


def hear(table, name, at, state="ready", incarnation=1):
    table.record_heartbeat(
        leases.Lease(name, incarnation, f"zone-{name}", "127.0.0.1:1", state, at)
    )


def adopted(table, requests, now, names):
    found = {}
    for name in names:
        for each in table.requests_to_adopt(name, requests, now):
            found.setdefault(each.request_id, []).append(name)
    return found


def test_no_adoption_before_the_leader_has_led_for_a_lease():
    # Guards against a new leader that runs every durable request again, since it knows no gateway.
    table = leases.LeaseTable(100.0)
    hear(table, "a", 102.9)
    requests = [entry(1, "b.1")]
    assert table.requests_to_adopt("a.1", requests, 102.9) == []
    assert table.requests_to_adopt("a.1", requests, 103.0) == requests


def test_request_of_a_silent_owner_goes_to_one_ready_gateway_until_its_owner_changes():
    # Guards against requests that two gateways adopt, that none adopts, or that a draining,
    # silent or restarted gateway gets.
    table = leases.LeaseTable(0.0)
    hear(table, "c", 96.9)
    for at in (98.0, 99.0, 100.0):
        hear(table, "a", at)
        hear(table, "b", at)
        hear(table, "d", at, state="draining")
    hear(table, "e", 100.0, incarnation=2)
    requests = [entry(number, "c.1") for number in range(40)]
    requests += [entry(50, "a.1"), entry(51, "d.1"), entry(52, "c.1", finished=True)]
    requests += [entry(53, "e.1")]
    names = ("a.1", "b.1", "c.1", "d.1", "e.2")
    found = adopted(table, requests, 100.0, names)
    assert sorted(found) == sorted([f"r{number}" for number in range(40)] + ["r53"])
    assert all(len(owners) == 1 for owners in found.values())
    assert {owners[0] for owners in found.values()} == {"a.1", "b.1", "e.2"}
    assert adopted(table, requests, 100.1, names) == found
    requests[0].owner = "a.1"
    assert "r0" not in adopted(table, requests, 100.5, names)


def test_heartbeat_that_is_confirmed_late_does_not_shorten_a_lease():
    # Guards against two heartbeats that are confirmed in another order than they came.
    table = leases.LeaseTable(0.0)
    hear(table, "a", 10.0)
    hear(table, "a", 9.0)
    assert [lease.received_at for lease in table.live_leases(12.9)] == [10.0]
    assert table.live_leases(13.0) == []


def test_digest_changes_with_state_and_not_with_time():
    # Guards against sending the whole list in each answer, or hiding that a gateway drains.
    table = leases.LeaseTable(0.0)
    hear(table, "a", 10.0)
    first = leases.digest(table.live_leases(10.0))
    hear(table, "a", 11.0)
    assert leases.digest(table.live_leases(11.0)) == first
    hear(table, "a", 12.0, state="draining")
    assert leases.digest(table.live_leases(12.0)) != first


def test_view_follows_arrivals_at_once_and_ends_of_leases_soon():
    # Guards against a gateway that is listed long after its lease has ended, or is missing from
    # the answer to its own first heartbeat.
    table = leases.LeaseTable(0.0)
    hear(table, "a", 10.0)
    assert [lease.gateway_id for lease in table.digest_and_leases(10.0)[1]] == ["a"]
    hear(table, "b", 10.01)
    assert [lease.gateway_id for lease in table.digest_and_leases(10.01)[1]] == ["a", "b"]
    hear(table, "b", 12.9, state="draining")
    digest, live = table.digest_and_leases(12.9)
    assert [lease.state for lease in live] == ["ready", "draining"]
    assert table.digest_and_leases(13.2)[0] != digest
    assert [lease.gateway_id for lease in table.digest_and_leases(13.2)[1]] == ["b"]
