"""Tests of the messages and the responsibilities for grants."""

import asyncio
import math
import random
import types

from chiveswitch.core import clock, codes, decision_log, metrics, overload, quota, target_table
from chiveswitch.forwarding import forwarder, forwarder_test
from chiveswitch.peers import hub, kinds, strict
from chiveswitch.platform import headers
from chiveswitch.tools import node_limits, node_view

ADDRESSES = [f"10.0.0.{number}:7" for number in range(4)]
SERVICE = "desk"
ISSUER = quota.choose_issuer(SERVICE, ADDRESSES)


def make_node(address, reachable, leader_silence_s=0.0):
    """Returns what `node_limits` uses of a node that is a member and reaches some hubs."""
    log, counters = decision_log.DecisionLog(), metrics.Metrics()
    table = target_table.TargetTable()
    gateway = forwarder.Forwarder(
        headers.Dialect(), table, log, counters, forwarder_test.Settings, lambda run: None
    )
    view = node_view.NodeView(
        forwarder_test.Settings, 1, table, gateway.run_table, log, None, lambda bundle: None
    )
    return types.SimpleNamespace(
        settings=types.SimpleNamespace(peer_address=address, name="g1"),
        watcher=types.SimpleNamespace(
            reachable_hubs=lambda: [types.SimpleNamespace(address=each) for each in reachable]
        ),
        control=types.SimpleNamespace(
            node=types.SimpleNamespace(seconds_since_leader_contact=lambda now: leader_silence_s)
        ),
        is_member=lambda: True,
        forwarder=gateway,
        table=table,
        view=view,
        log=log,
        metrics=counters,
    )


def ask(node):
    """Asks a node for one grant as another gateway does; returns the result of its handler."""

    async def scenario():
        exchange = node_limits.LimitExchange(node, random.Random(1))
        request = quota.QuotaRequest({"w": 2.0}, "account", 1, 0.1)
        message = node_limits.encode_requests(SERVICE, [request])
        return exchange.handler_by_kind[kinds.Kind.HUB_QUOTA](message, "")

    return asyncio.run(scenario())


def test_the_responsible_hub_issues_grants():
    others = [address for address in ADDRESSES if address != ISSUER]
    result = ask(make_node(ISSUER, others))
    assert strict.decode(hub.hub_thrift.QuotaGrants, result.ok).ok.grants[0].target_id == "w"


def test_a_hub_issues_no_grants_if_another_one_may_do_so():
    # Guards against two hubs that both issue the whole limit, after the network was cut.
    other = next(address for address in ADDRESSES if address != ISSUER)
    result = ask(make_node(other, [ISSUER]))
    assert result.error.code == codes.Code.NOT_LEADER
    silence_s = node_limits.MAX_LEADER_SILENCE_SECONDS + 0.1
    assert ask(make_node(other, [], silence_s)).error.code == codes.Code.NOT_LEADER
    assert ask(make_node(other, [])).is_ok()


def test_quota_messages_keep_their_contents():
    request = quota.QuotaRequest({"w1": 2.5, "w0": 0.0}, "account", 3, 0.25, True)
    message = node_limits.encode_requests(SERVICE, [request])
    decoded = strict.decode(hub.hub_thrift.QuotaRequests, message).ok
    found = node_limits.decode_requests(decoded)[0]
    for name in quota.QuotaRequest.__slots__:
        assert getattr(found, name) == getattr(request, name)
    assert list(found.rate_by_target) == ["w1", "w0"]


def test_a_rate_that_is_no_number_is_left_out():
    # Guards against an issuer whose times become infinite.
    request = quota.QuotaRequest({"w0": math.nan, "w1": math.inf, "w2": -1.0, "w3": 1.0})
    message = node_limits.encode_requests(SERVICE, [request])
    decoded = strict.decode(hub.hub_thrift.QuotaRequests, message).ok
    assert node_limits.decode_requests(decoded)[0].rate_by_target == {"w3": 1.0}


def test_loads_keep_their_contents():
    load = overload.Load("w1", 6, 24, 6, clock.now() - 0.1)
    request = quota.QuotaRequest({"w1": 2.5}, key=2**55)
    message = node_limits.encode_requests(SERVICE, [request], [load])
    decoded = strict.decode(hub.hub_thrift.QuotaRequests, message).ok
    found = node_limits.decode_loads(decoded)[0]
    assert (found.target_id, found.running, found.waiting, found.slots) == ("w1", 6, 24, 6)
    assert abs(found.at - load.at) < 0.05
    assert node_limits.decode_requests(decoded)[0].key == 2**55


def test_requests_to_targets_that_name_limits_have_no_fields_of_overloads():
    # Guards against messages that issuers of an earlier version refuse while no service is full.
    message = node_limits.encode_requests(SERVICE, [quota.QuotaRequest({"w1": 2.5})])
    decoded = strict.decode(hub.hub_thrift.QuotaRequests, message).ok
    assert (decoded.loads, decoded.requests[0].key) == (None, None)


def test_an_issuer_grants_a_full_target_no_more_than_its_room():
    # Load: 100 calls at one moment to a target that serves 133 calls/s and has a long queue.
    others = [address for address in ADDRESSES if address != ISSUER]

    async def scenario():
        exchange = node_limits.LimitExchange(make_node(ISSUER, others), random.Random(1))
        requests = [quota.QuotaRequest({"w": 133.0}, max_wait_s=0.1) for _ in range(100)]
        loads = [overload.Load("w", 6, 24, 6, clock.now())]
        return await exchange._request_grants(SERVICE, requests, loads)

    grants = asyncio.run(scenario())
    assert 0 < sum(bool(grant.target_id) for grant in grants) < 30
