"""Tests of the room of gateways under uneven load, without a network."""

import collections
import random

from chiveswitch.core import rooms


def usage(processor=0.0, link=0.0):
    return rooms.Usage(processor, link, 0.3, 0.1)


def test_the_scarcest_resource_is_the_room():
    # Guards against a gateway whose link is full and that looks idle by its processor.
    full_link = usage(processor=0.1, link=0.95)
    assert full_link.scarcest() == "link"
    assert abs(full_link.room() - 0.05) < 1e-9
    assert rooms.Usage(0.0, 1.7, 0.0, 0.0).room() == 0.0


def test_nothing_is_reported_in_calm():
    # Load: half of a small VM, with short peaks. Answers and messages stay as without reports.
    meter = rooms.RoomMeter(0.0)
    for second in range(1, 60):
        assert not meter.observe(usage(processor=0.4 if second % 10 else 0.6), float(second))
    assert meter.reported_permille is None


def test_room_falls_within_seconds_and_returns_slowly():
    # Load: a crowd of ten seconds at one VM. Its callers come back over several answers.
    meter = rooms.RoomMeter(0.0)
    for second in range(1, 11):
        meter.observe(usage(processor=1.0), float(second))
    assert meter.reported_permille == 0
    returned_at = None
    for second in range(11, 60):
        meter.observe(usage(), float(second))
        if returned_at is None and meter.reported_permille is None:
            returned_at = second
    assert 13 <= returned_at <= 25


def drawn_counts(room_by_gateway, answers=4000):
    rng = random.Random(1)
    counts = collections.Counter()
    for _ in range(answers):
        listed, _ = rooms.draw_listed(room_by_gateway, 2, rng)
        for gateway in listed:
            counts[gateway] += 1 / len(listed)
    return counts


def test_small_vms_that_are_short_of_room_get_fewer_callers():
    # Load: VMs of a third of the others' size under a crowd spread evenly.
    room_by_gateway = {f"large-{i}": 0.9 for i in range(6)}
    room_by_gateway.update({f"small-{i}": 0.1 for i in range(6)})
    counts = drawn_counts(room_by_gateway)
    small = sum(counts[name] for name in counts if name.startswith("small"))
    large = sum(counts[name] for name in counts if name.startswith("large"))
    assert small < 0.35 * large
    # They still get some, whose requests show when they have recovered.
    assert small > 0.1 * large


def test_a_zone_keeps_its_callers_while_it_has_room():
    # Load: zones in opposite phases, one at two thirds of its VMs.
    _, spill_share = rooms.draw_listed({i: 0.5 for i in range(10)}, 2, random.Random(2))
    assert spill_share == 0.0
    assert rooms.spill_count(10, spill_share) == 0


def test_a_zone_without_room_spills_over_by_need():
    # Load: demand of one zone far above its VMs, while another zone is idle.
    listed, spill_share = rooms.draw_listed({i: 0.25 for i in range(20)}, 2, random.Random(3))
    assert abs(spill_share - 0.5) < 1e-9
    count = rooms.spill_count(len(listed), spill_share)
    assert count == len(listed)
    others = rooms.draw_others({f"o{i}": 0.9 for i in range(30)}, count, random.Random(4))
    assert len(set(others)) == count


def test_a_crowd_is_spread_without_swinging():
    # Load: demand of 1.2 times one zone's VMs, answers kept for six seconds, reports once a second.
    # Guards against directories that empty a zone and fill it again by turns.
    rng = random.Random(5)
    meters = {name: rooms.RoomMeter(0.0) for name in range(10)}
    spill_shares = []
    answer_by_caller = {caller: (0, 0.0) for caller in range(200)}
    for second in range(1, 120):
        room_by_gateway = {}
        for name, meter in meters.items():
            reported = meter.reported_permille
            room_by_gateway[name] = 1.0 if reported is None else reported / rooms.PERMILLE
        load = collections.Counter()
        for caller, (spill, kept_until) in answer_by_caller.items():
            if kept_until <= second:
                _, spill = rooms.draw_listed(room_by_gateway, 2, rng)
                answer_by_caller[caller] = (spill, second + rng.uniform(2, 6))
            for name in meters:
                load[name] += 1.2 * (1 - spill) / len(answer_by_caller)
        for name, meter in meters.items():
            meter.observe(usage(processor=min(1.0, load[name])), float(second))
        spill_shares.append(sum(load.values()) / 12)
    later = spill_shares[60:]
    assert max(later) - min(later) < 0.35
    assert max(later) < 0.85


def test_no_list_is_empty():
    # Guards against callers without any address while all gateways of a zone are full.
    rng = random.Random(6)
    for _ in range(200):
        listed, _ = rooms.draw_listed(dict.fromkeys(range(3), 0.0), 2, rng)
        assert len(listed) >= 2
    assert rooms.draw_listed({}, 2, rng) == ([], 1.0)
    assert rooms.draw_others({}, 2, rng) == []
