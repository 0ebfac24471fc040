"""Tests of the platform's documents: which are refused, and that no input raises an exception."""

import hypothesis
import orjson
import pytest
from hypothesis import strategies

from chiveswitch.core import codes, routing, target_table
from chiveswitch.peers import strict
from chiveswitch.platform import documents
from features import platform_standins


def decode(document):
    return documents.decode_config(orjson.dumps(document))


def is_refused(document):
    """Returns whether a config is refused, by its decoder or by `routing.find_faults`."""
    decoded = decode(document)
    return decoded.is_error() or bool(routing.find_faults(decoded.ok))


def test_config_is_decoded_into_a_route_bundle():
    # Guards against fields of the platform that are lost or converted wrongly.
    bundle = decode(platform_standins.make_config(7)).ok
    assert routing.find_faults(bundle) == []
    route = bundle.match("svc.example", "/s/x")
    assert (route.kind, route.resumable, route.gap_objective_s) == ("stream", True, 0.7)
    assert bundle.match("svc.example", "/w/").max_runs == 1
    assert bundle.service_by_name["engines"].engine.memory_tokens == 50000
    assert bundle.account_by_key["key-2"].name == "account-1"
    assert bundle.limits.header_timeout_s == 1.0
    assert orjson.loads(bundle.source) == platform_standins.make_config(7)


def changed_route(**changes):
    document = platform_standins.make_config(7)
    document["routes"][0].update(changes)
    return document


def same_host_and_prefix(host):
    document = platform_standins.make_config(7)
    first, second = document["routes"][:2]
    second["path-prefix"], second["host"] = first["path-prefix"], host
    return document


def config_with_tenants(*tenants):
    tenants = [{"name": name, "api-keys": keys} for name, keys in tenants]
    return platform_standins.make_config(7, tenants=tenants)


@pytest.mark.parametrize(
    "document",
    [
        changed_route(service="unknown"),
        changed_route(**{"path-prefix": "/r/"}),
        changed_route(**{"timeout-ms": 0}),
        changed_route(**{"traffic-split": [{"service": "plain", "weight": 0}]}),
        changed_route(kind="other"),
        changed_route(host=7),
        changed_route(**{"max-attempts": "3"}),
        changed_route(**{"allow-anonymous": 1}),
        platform_standins.make_config(True),
        platform_standins.make_config("7"),
        platform_standins.make_config(-1),
        platform_standins.make_config(7, routes={}),
        platform_standins.make_config(7, services=[7]),
        platform_standins.make_config(
            7, tenants=[{"name": "a", "api-keys": ["k"]}, {"name": "b", "api-keys": ["k"]}]
        ),
        platform_standins.make_config(7, tenants=[{"name": "a", "api-keys": [7]}]),
    ],
)
def test_an_invalid_config_is_refused(document):
    # Guards against putting a config into force in which a request has no service, or in which a
    # route or an account is ambiguous.
    assert is_refused(document)


def config_with(section, name, value):
    document = platform_standins.make_config(7)
    parents = {
        "route": document["routes"][0],
        "service": document["services"][0],
        "engine": next(each["engine"] for each in document["services"] if "engine" in each),
        "limits": document["limits"],
        "tenant": document["tenants"][0],
    }
    parents[section][name] = value
    return document


# Guards against a config that is in force but cannot be encoded, or with which each request of a
# route raises an exception.
@pytest.mark.parametrize(
    ("section", "name"),
    [
        *[("route", name) for name in ("timeout-ms", "target-latency-ms", "target-gap-ms")],
        *[("route", name) for name in ("max-attempts", "priority")],
        ("service", "max-connections"),
        *[("engine", name) for name in ("slots", "kv-capacity-tokens", "handle-s", "stride")],
        *[("limits", name) for name in ("max-header-bytes", "max-body-bytes")],
        *[("limits", name) for name in ("header-timeout-ms", "idle-timeout-ms")],
        ("tenant", "priority"),
    ],
)
@pytest.mark.parametrize("value", [2**31, -(2**31) - 1, 2**64 - 1, 1e308, True, "1"])
def test_a_config_whose_numbers_nothing_can_carry_is_refused(section, name, value):
    assert not is_refused(config_with(section, name, 2**31 - 1))
    assert is_refused(config_with(section, name, value))


@pytest.mark.parametrize("weight", [1e308, 2**64 - 1])
def test_weights_that_cannot_be_added_are_refused(weight):
    # Guards against a split whose sum is infinite, so that no service can be drawn, or that cannot
    # be encoded.
    part = {"service": "plain", "weight": weight}
    assert is_refused(changed_route(**{"traffic-split": [part, part, part]}))


# The sentence of PROTOCOL.md on invalid configs, part by part.
@pytest.mark.parametrize(
    ("part", "document"),
    [
        ("a route names an unknown service", changed_route(service="unknown")),
        (
            "a route names an unknown service",
            changed_route(**{"traffic-split": [{"service": "unknown", "weight": 1}]}),
        ),
        (
            "a route names an unknown service",
            changed_route(
                **{
                    "service": "plain",
                    "traffic-split": [
                        {"service": "plain", "weight": 1},
                        {"service": "unknown", "weight": 0},
                    ],
                }
            ),
        ),
        (
            "a route names an unknown service",
            changed_route(
                **{
                    "service": "unknown",
                    "traffic-split": [{"service": "plain", "weight": 1}],
                }
            ),
        ),
        ("two routes share the same host and prefix", same_host_and_prefix("svc.example")),
        ("two routes share the same host and prefix", same_host_and_prefix("SVC.example")),
        (
            "a route's weights add up to 0",
            changed_route(**{"traffic-split": [{"service": "plain", "weight": 0}]}),
        ),
        ("a route's weights add up to 0", changed_route(**{"traffic-split": []})),
        ("a timeout-ms is 0", changed_route(**{"timeout-ms": 0})),
        ("a timeout-ms is 0", changed_route(**{"timeout-ms": 0.0})),
        ("two tenants share a key", config_with_tenants(("a", ["k"]), ("b", ["l", "k"]))),
        ("two tenants share a key", config_with_tenants(("a", ["k"]), ("a", ["k"]))),
    ],
)
def test_each_kind_of_invalid_config_is_refused(part, document):
    # Guards against acknowledging a config that the platform calls invalid.
    assert is_refused(document), part


# Guards against refusing a config that the platform does not call invalid.
@pytest.mark.parametrize(
    "document",
    [
        config_with_tenants(("a", ["k"]), ("a", ["l"])),
        config_with_tenants(("a", ["k", "k"])),
        changed_route(
            **{"service": "engines", "traffic-split": [{"service": "plain", "weight": 1}]}
        ),
    ],
)
def test_a_valid_config_is_accepted(document):
    assert not is_refused(document)


def test_a_service_beside_a_split_gets_no_requests():
    # Guards against requests to a service that has no part in the split.
    document = changed_route(
        **{"service": "engines", "traffic-split": [{"service": "plain", "weight": 1}]}
    )
    assert decode(document).ok.routes[0].weight_by_service == {"plain": 1, "engines": 0}


def test_truncated_config_is_refused():
    # Guards against an exception, or a partial bundle, for a body that was cut off.
    body = orjson.dumps(platform_standins.make_config(7))
    for end in range(0, len(body) - 1, 37):
        result = documents.decode_config(body[:end])
        assert result.error.code == codes.Code.BUNDLE_INVALID


json_values = strategies.recursive(
    strategies.none() | strategies.booleans() | strategies.integers() | strategies.text(max_size=4),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(
        strategies.sampled_from(["version", "routes", "services", "tenants", "limits", "name"]),
        inner,
        max_size=4,
    ),
    max_leaves=12,
)


@hypothesis.given(strategies.binary(max_size=80) | json_values.map(lambda v: repr(v).encode()))
def test_no_bytes_raise_an_exception(body):
    assert documents.decode_config(body).is_error()
    assert documents.decode_heartbeat("w", body).is_error()


# Guards against JSON of an unexpected shape that raises an exception: it would end the
# process for all users because of one sender.
@hypothesis.given(json_values)
def test_other_json_is_refused_or_decoded(value):
    try:
        body = orjson.dumps(value)
    except TypeError:
        return
    documents.decode_config(body)
    documents.decode_heartbeat("w", body)


HEARTBEAT = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v",
    "slots": 4,
    "state": "ready",
    "cold-remaining-ms": 0,
    "sequence": 3,
    "born": 17,
}


def heartbeat(**changes):
    return documents.decode_heartbeat("w", orjson.dumps({**HEARTBEAT, **changes}))


def test_versions_of_workers_are_read_only_where_operators_order_rollouts():
    # Guards against reports that nodes of earlier versions refuse, and against texts of any length
    # in the answers to all nodes.
    assert heartbeat().ok.version is None
    for version, expected in (("v2", "v2"), ("", None), ("x" * 256, "x" * 256)):
        body = orjson.dumps({**HEARTBEAT, "version": version})
        assert documents.decode_heartbeat("w", body, True).ok.version == expected
    for version in ("x" * 257, 2, None):
        body = orjson.dumps({**HEARTBEAT, "version": version})
        assert documents.decode_heartbeat("w", body, True).is_error()
    body = orjson.dumps({name: HEARTBEAT[name] for name in HEARTBEAT if name != "version"})
    assert documents.decode_heartbeat("w", body, True).ok.version is None


def test_heartbeat_is_decoded_into_a_target_report():
    report = heartbeat(state="draining").ok
    assert (report.state, report.born_ms, report.sequence) == (target_table.DRAINING, 17, 3)


@pytest.mark.parametrize(
    "changes",
    [
        {"service": 1},
        {"service": None},
        {"address": "10.0.0.1"},
        {"address": "10.0.0.1:99999"},
        {"address": "10.0.0.1:" + "1" * 5000},
        {"address": "10.0.0.1:\u00b2"},
        {"address": "10.0.0.1:-1"},
        {"address": "10.0.0.1:0"},
        {"address": "worker.example:80"},
        {"address": "10.0.0.1\r\nX-Tenant: a:80"},
        {"address": "\u4e2d:80"},
        {"service": "s" * 257},
        {"zone": "z" * 257},
        {"slots": "4"},
        {"slots": -1},
        {"state": "gone"},
        {"sequence": 1.5},
        {"sequence": True},
        {"born": "17"},
        {"sequence": 2**63},
        {"sequence": -1},
        {"born": 2**64 - 1},
        {"slots": 2**31},
    ],
)
def test_heartbeat_with_invalid_fields_is_refused(changes):
    # Guards against a target table that holds a worker with an unusable address or count.
    assert heartbeat(**changes).is_error()


@pytest.mark.parametrize("worker_id", ["", "i" * 257])
def test_a_heartbeat_without_a_usable_id_is_refused(worker_id):
    # Guards against a target that no request can name, and answers to watches of unbounded size.
    body = orjson.dumps(HEARTBEAT)
    assert documents.decode_heartbeat("w", body).is_ok()
    assert documents.decode_heartbeat(worker_id, body).is_error()


# Guards against a parser that ends the process or the request for all on deeply nested values.
@pytest.mark.parametrize("depth", [900, 1100, 200_000])
def test_deeply_nested_documents_raise_no_exception(depth):
    for start, end in ((b"[", b"]"), (b'{"state":', b"}")):
        for body in (start * depth, start * depth + b"1" + end * depth):
            assert documents.decode_heartbeat("w", body).is_error()
            assert documents.decode_config(body).is_error()
            assert documents.departure_report("w", body, None).state == target_table.GONE


# Guards against a number that is acknowledged and stored, but cannot be encoded in the answers to
# watches, so that the nodes that watch get no reports any more.
@pytest.mark.parametrize(
    "changes",
    [
        {"sequence": 2**63 - 1, "born": 2**63 - 1, "slots": 2**31 - 1},
        {"sequence": 0, "born": 0, "slots": 0},
    ],
)
def test_the_largest_and_smallest_numbers_of_a_heartbeat_can_be_encoded(changes):
    assert strict.encode(heartbeat(**changes).ok)


# Guards against a departure that is stored but cannot be encoded in the answers to watches.
@pytest.mark.parametrize("born", [2**63, 2**64 - 1, -1, True, "17"])
def test_a_departure_with_an_invalid_start_time_can_be_encoded(born):
    report = documents.departure_report("w", orjson.dumps({"born": born}), None)
    assert report.born_ms == 0
    assert strict.encode(report)


def test_departure_report_names_the_known_incarnation():
    # Guards against a shutdown that is ignored because its body is empty or invalid, or because the
    # worker is unknown.
    target = target_table.Target(
        target_table.Report(
            target_id="w",
            service="s",
            address="10.0.0.1:80",
            availability_zone="z",
            slots=4,
            state=target_table.READY,
            born_ms=17,
            sequence=3,
            overdue=False,
        )
    )
    assert documents.departure_report("w", b"", target).born_ms == 17
    assert documents.departure_report("w", b"{broken", target).state == target_table.GONE
    assert documents.departure_report("x", b"", None).address == ""
