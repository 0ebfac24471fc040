"""Tests of route bundles: validation, matching of routes, encoding and signatures."""

import hypothesis
import pytest
from hypothesis import strategies

from chiveswitch.core import routing


def route(name="r", **changes):
    fields = {
        "name": name,
        "host": "h",
        "path_prefix": "/a/",
        "kind": "idempotent",
        "timeout_s": 1.0,
        "objective_s": 0.5,
        "gap_objective_s": 0.0,
        "max_runs": 2,
        "priority": 1,
        "anonymous": False,
        "resumable": False,
        "weight_by_service": {"s": 1},
    }
    fields.update(changes)
    return routing.Route(**fields)


def bundle(routes, version=1, accounts=()):
    services = [routing.Service(name="s", max_connections=1, engine=None)]
    return routing.RouteBundle(
        version, routes, services, routing.DEFAULT_LIMITS, list(accounts), "{}"
    )


@pytest.mark.parametrize(
    "broken",
    [
        bundle([route(), route("other")]),
        bundle([route(weight_by_service={"unknown": 1})]),
        bundle([route(weight_by_service={"s": 0})]),
        bundle([route(weight_by_service={})]),
        bundle([route(timeout_s=0)]),
        bundle([route(path_prefix="/a")]),
        bundle([], version=0),
        bundle([], version=2**63),
        bundle(
            [],
            accounts=[
                routing.Account(name="a", keys=["k"], priority=None),
                routing.Account(name="b", keys=["k"], priority=None),
            ],
        ),
    ],
)
def test_a_faulty_bundle_is_refused(broken):
    # Guards against a bundle in force whose routes lead to no service or are ambiguous, or in which
    # one key belongs to two accounts.
    assert routing.find_faults(broken)


def test_the_longest_prefix_of_the_host_wins():
    # Guards against a route with a short prefix that gets the requests of one with a longer prefix.
    found = bundle([route("a"), route("ab", path_prefix="/a/b/"), route("other", host="x")])
    assert routing.find_faults(found) == []
    assert found.match("h", "/a/b/c").name == "ab"
    assert found.match("h", "/a/bc").name == "a"
    assert found.match("h", "/a/b").name == "a"
    assert found.match("h", "/b/") is None
    assert found.match("y", "/a/") is None


def test_the_encoding_keeps_every_field():
    # Guards against fields of the operator's bundle that are lost on the way to a gateway.
    account = routing.Account(name="a", keys=["k"], priority=2)
    first = bundle([route()], accounts=[account])
    second = routing.decode(first.encode()).ok
    assert second.encode() == first.encode()
    assert second.account_by_key["k"].name == "a"


def test_the_priorities_of_a_service_are_those_of_its_callers():
    # Guards against an order among requests that all have the same priority: a route without weight
    # leads nobody to a service, and an account's priority comes before the route's.
    routes = [route("a", priority=0), route("b", path_prefix="/b/", priority=2)]
    unused = route("c", path_prefix="/c/", priority=7, weight_by_service={"s": 0, "t": 1})
    named = routing.Account(name="a", keys=["k"], priority=1)
    unnamed = routing.Account(name="b", keys=["l"], priority=None)

    def priorities(routes, *accounts):
        return bundle(routes, accounts=accounts).order_by_service["s"].priorities

    assert priorities([*routes, unused]) == ((0, 0), (2, 2))
    assert priorities(routes, named) == ((1, 0), (1, 2))
    assert priorities(routes, named, unnamed) == ((0, 0), (1, 0), (1, 2), (2, 2))
    anonymous = route("d", path_prefix="/d/", priority=3, anonymous=True)
    assert priorities([anonymous], named) == ((1, 3), (3, 3))
    assert priorities([route("a"), route("e", path_prefix="/e/")], named) == ((1, 1),)


@hypothesis.given(strategies.binary(max_size=200))
def test_other_bytes_are_refused_without_an_exception(data):
    assert routing.decode(data).is_error()


@hypothesis.given(strategies.integers(0, 400), strategies.integers(0, 255))
def test_a_changed_bundle_does_not_keep_its_signature(at, value):
    # Guards against a bundle that is modified between its publication and a gateway.
    signer = routing.Signer("secret")
    content = bundle([route()]).encode()
    signature = signer.sign(content)
    changed = bytearray(content)
    changed[at % len(changed)] = value
    same = bytes(changed) == content
    assert signer.verify(bytes(changed), signature) == same
    assert not routing.Signer("other").verify(content, signature)
