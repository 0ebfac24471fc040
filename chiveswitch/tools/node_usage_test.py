"""Tests of the measurement of a node's usage."""

import types

from chiveswitch.core import memory_budget
from chiveswitch.tools import node_usage


def make_probe(**sizes):
    settings = types.SimpleNamespace(link_bytes_per_s=sizes.get("link_bytes_per_s", 0.0))
    server = types.SimpleNamespace(
        transferred_bytes=0,
        connections=set(range(95)),
        max_connections=sizes.get("max_connections", 0),
        intake=types.SimpleNamespace(budget=memory_budget.MemoryBudget()),
    )
    return node_usage.UsageProbe(settings, server, 0.0), server


def test_unknown_sizes_never_count():
    # Guards against VMs whose settings state no sizes and that look full.
    probe, server = make_probe()
    server.transferred_bytes = 10**9
    assert probe.measure(1.0).room() == 1.0


def test_each_resource_is_measured_against_its_size():
    probe, server = make_probe(link_bytes_per_s=1000.0, max_connections=190)
    server.transferred_bytes = 200
    budget = server.intake.budget
    account = budget.open_account()
    account.update_request(budget.limit_by_kind[memory_budget.Kind.LARGE_REQUESTS] // 4)
    usage = probe.measure(1.0)
    assert (usage.link, usage.descriptors, usage.processor) == (0.4, 0.5, 0.0)
    assert usage.memory == 0.25
    server.transferred_bytes = 200
    assert probe.measure(2.0).link == 0.0


def test_a_late_measurement_shows_a_busy_processor():
    # Load: callers whose requests keep the event loop busy.
    probe, _ = make_probe()
    assert abs(probe.measure(1.1).processor - 0.5) < 1e-6
    assert probe.measure(9.0).processor == 1.0
