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


def record_heartbeat(table, name, at, state="ready", incarnation=1):
    table.record_heartbeat(
        leases.Lease(name, incarnation, f"zone-{name}", "127.0.0.1:1", state, at)
    )


def adopters_by_request(table, requests, now, names):
    holders_by_request = {}
    for name in names:
        for each in table.requests_to_adopt(name, requests, now):
            holders_by_request.setdefault(each.request_id, []).append(name)
    return holders_by_request


def test_no_adoption_before_the_leader_has_led_for_a_lease():
    # Guards against a new leader that has every durable request run again, because it has no leases
    # yet and so considers all owners gone.
    table = leases.LeaseTable(100.0)
    record_heartbeat(table, "a", 102.9)
    requests = [entry(1, "b.1")]
    assert table.requests_to_adopt("a.1", requests, 102.9) == []
    assert table.requests_to_adopt("a.1", requests, 103.0) == requests


def test_request_of_an_owner_without_lease_goes_to_one_ready_gateway_until_its_owner_changes():
    # Guards against requests that two gateways adopt, that no gateway adopts, or that are assigned
    # to a draining gateway, one whose lease has ended, or the old incarnation of a restarted one.
    table = leases.LeaseTable(0.0)
    record_heartbeat(table, "c", 96.9)
    for at in (98.0, 99.0, 100.0):
        record_heartbeat(table, "a", at)
        record_heartbeat(table, "b", at)
        record_heartbeat(table, "d", at, state="draining")
    record_heartbeat(table, "e", 100.0, incarnation=2)
    requests = [entry(number, "c.1") for number in range(40)]
    requests += [entry(50, "a.1"), entry(51, "d.1"), entry(52, "c.1", finished=True)]
    requests += [entry(53, "e.1")]
    names = ("a.1", "b.1", "c.1", "d.1", "e.2")
    holders_by_request = adopters_by_request(table, requests, 100.0, names)
    assert sorted(holders_by_request) == sorted([f"r{number}" for number in range(40)] + ["r53"])
    assert all(len(adopters) == 1 for adopters in holders_by_request.values())
    assert {adopters[0] for adopters in holders_by_request.values()} == {"a.1", "b.1", "e.2"}
    assert adopters_by_request(table, requests, 100.1, names) == holders_by_request
    requests[0].owner = "a.1"
    assert "r0" not in adopters_by_request(table, requests, 100.5, names)


def test_heartbeat_that_is_confirmed_late_does_not_shorten_a_lease():
    # Guards against a lease that is shortened when heartbeats are confirmed in another order than
    # they arrived.
    table = leases.LeaseTable(0.0)
    record_heartbeat(table, "a", 10.0)
    record_heartbeat(table, "a", 9.0)
    assert [lease.received_at for lease in table.live_leases(12.9)] == [10.0]
    assert table.live_leases(13.0) == []


def test_digest_changes_with_state_and_not_with_time():
    # Guards against sending the complete list in each answer, and against a list that is not sent
    # when a gateway starts to drain.
    table = leases.LeaseTable(0.0)
    record_heartbeat(table, "a", 10.0)
    first = leases.digest(table.live_leases(10.0))
    record_heartbeat(table, "a", 11.0)
    assert leases.digest(table.live_leases(11.0)) == first
    record_heartbeat(table, "a", 12.0, state="draining")
    assert leases.digest(table.live_leases(12.0)) != first


def test_digest_and_leases_list_new_gateways_at_once_and_drop_ended_leases_soon():
    # Guards against a gateway that is listed long after its lease has ended, and a gateway that is
    # missing from the answer to its own first heartbeat.
    table = leases.LeaseTable(0.0)
    record_heartbeat(table, "a", 10.0)
    assert [lease.gateway_id for lease in table.digest_and_leases(10.0)[1]] == ["a"]
    record_heartbeat(table, "b", 10.01)
    assert [lease.gateway_id for lease in table.digest_and_leases(10.01)[1]] == ["a", "b"]
    record_heartbeat(table, "b", 12.9, state="draining")
    digest, live = table.digest_and_leases(12.9)
    assert [lease.state for lease in live] == ["ready", "draining"]
    assert table.digest_and_leases(13.2)[0] != digest
    assert [lease.gateway_id for lease in table.digest_and_leases(13.2)[1]] == ["b"]
