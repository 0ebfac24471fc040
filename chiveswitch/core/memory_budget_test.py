"""Tests of the decision who gives way when others make the process hold too much."""

from chiveswitch.core import memory_budget

KINDS = memory_budget.Kind
MIB = 1024 * 1024


def test_limits_follow_the_memory_of_the_machine():
    # Guards against a process of 41 MB that outgrows a machine of 160 MB, and against one that has
    # no room for two bodies of 4 MB there.
    budget = memory_budget.MemoryBudget(160_000_000)
    assert sum(budget.limit_by_kind) + memory_budget.PROCESS_BYTES < 120_000_000
    assert budget.limit_by_kind[KINDS.LARGE_REQUESTS] > 2 * 4 * MIB


def test_an_unknown_machine_keeps_the_limit_of_responses():
    # Guards against other limits where the settings state no memory.
    budget = memory_budget.MemoryBudget()
    assert budget.limit_by_kind[KINDS.RESPONSES] == memory_budget.LIMIT_BYTES


def test_large_requests_leave_room_for_small_ones():
    # Load: many open bodies just short of their end beside ordinary requests of a few kilobytes.
    budget = memory_budget.MemoryBudget(160_000_000)
    for _ in range(100):
        budget.open_account(KINDS.SMALL_REQUESTS).update_request(MIB)
    small = budget.open_account(KINDS.SMALL_REQUESTS)
    small.update_request(8 * 1024)
    assert budget.is_over(KINDS.LARGE_REQUESTS) and not small.is_over


def test_a_request_that_grows_is_counted_once():
    # Guards against room that is never given back after requests that became large.
    budget = memory_budget.MemoryBudget()
    account = budget.open_account(KINDS.SMALL_REQUESTS)
    for size in (1000, MIB, 2 * MIB, 0):
        account.update_request(size)
    assert budget.held_by_kind == [0] * len(KINDS)


def test_those_that_hold_most_for_longest_go_first():
    # Load: heads without end that were sent at once, beside heads that are just arriving.
    claims = [
        memory_budget.Claim("new and large", 900, 0.0),
        memory_budget.Claim("old and small", 100, 2.0),
        memory_budget.Claim("old and large", 900, 2.0),
    ]
    assert memory_budget.choose_evicted(claims, 1000) == ["old and large", "new and large"]


def test_stalled_bodies_give_way_to_those_that_wait():
    # Load: bodies that stop one byte short, beside sound ones that wait for room.
    claims = [
        memory_budget.Claim("stalled", MIB, 1.0),
        memory_budget.Claim("arriving", MIB, 0.1),
        memory_budget.Claim("waiting", MIB, 1.0, 1.0, 1.0),
    ]
    assert memory_budget.choose_for_waiting(claims, 2 * MIB) == ["stalled"]


def test_the_oldest_of_those_that_wait_can_end():
    # Load: more large bodies at once than there is room for, none of which could end.
    claims = [
        memory_budget.Claim(number, MIB, 0.0, age_s=float(number), waiting_s=0.5)
        for number in range(4)
    ]
    assert memory_budget.choose_for_waiting(claims, 2 * MIB) == [0, 1]


def test_bodies_that_wait_for_a_moment_only_are_kept():
    # Load: a short peak of large sound bodies.
    claims = [memory_budget.Claim(n, MIB, 0.0, 0.1, 0.1) for n in range(4)]
    assert memory_budget.choose_for_waiting(claims, 2 * MIB) == []


def test_connections_that_never_asked_are_closed_first():
    # Load: idle connections up to the limit, beside callers that keep theirs between two requests.
    claims = [
        memory_budget.IdleClaim("serving", True, 0, 1.0),
        memory_budget.IdleClaim("idle caller", False, 3, 1.0),
        memory_budget.IdleClaim("silent", False, 0, 5.0),
        memory_budget.IdleClaim("new", False, 0, 9.0),
    ]
    assert memory_budget.choose_closed(claims, 3) == ["silent"]


def test_listeners_leave_descriptors_for_targets_and_peers():
    # Guards against a node whose listeners take all descriptors, so that it reaches no target.
    budget = memory_budget.MemoryBudget(0, 1638)
    listeners = memory_budget.Listener
    callers, others, peers = (budget.max_connections(listener) for listener in listeners)
    assert callers + 4 * others + peers <= 0.9 * (1638 - memory_budget.RESERVED_DESCRIPTORS)
