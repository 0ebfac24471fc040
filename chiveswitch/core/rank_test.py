"""Tests of ranks: the order of requests and the urgency that targets get."""

import pytest

from chiveswitch.core import rank


def test_requests_are_ordered_by_account_then_route_then_begun_streams_then_objective():
    # Guards against a begun stream whose next event waits behind new prompts, and against urgent
    # requests behind a begun stream of a less urgent kind.
    expected = [
        rank.Rank(0, 0, True, 9.0),
        rank.Rank(0, 0, False, 5.0),
        rank.Rank(0, 0, False, 6.0),
        rank.Rank(0, 2, True, 1.0),
        rank.Rank(0, 2, False, 0.0),
        rank.Rank(1, 0, True, 0.0),
    ]
    assert [each.key() for each in sorted(reversed(expected))] == [each.key() for each in expected]


@pytest.mark.parametrize("priorities", [(), ((1, 1),)])
def test_equal_priorities_send_no_urgency(priorities):
    # Guards against a change for deployments whose requests all have the same priority.
    assert rank.urgency(rank.Rank(1, 1, False, 0.0), priorities) is None


@pytest.mark.parametrize("count", range(2, 13))
def test_urgencies_keep_the_order_of_priorities(count):
    # Guards against priorities that fall on one level, or outside the levels that targets know,
    # when a service has many of them.
    priorities = tuple((number // 2, number % 2) for number in range(count))
    urgencies = [
        rank.urgency(rank.Rank(*pair, is_begun, 0.0), priorities)
        for pair in priorities
        for is_begun in (True, False)
    ]
    assert urgencies == sorted(urgencies)
    assert 0 == urgencies[0] and urgencies[-1] <= 9
    levels = len(set(urgencies))
    assert levels == (2 * count if count <= 5 else min(count, 10))
