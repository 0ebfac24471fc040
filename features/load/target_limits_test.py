"""Load pattern: all targets of a service name limits far below the demand."""

import random

from chiveswitch.core import quota

RATE_BY_TARGET = {f"w{number}": 2.5 for number in range(4)}
TOTAL_RATE = sum(RATE_BY_TARGET.values())
SECONDS = 60
WAIT_SECONDS = 0.1


class Arrival:
    """One call of a caller, and when it may return if it is refused."""

    def __init__(self, account, priority):
        self.account = account
        self.priority = priority
        self.refused_at = None
        self.retry_after_s = None


def play(demand_per_s, choose_arrival, seconds=SECONDS, seed=1):
    """Plays random arrivals; returns all of them by whether they got a grant."""
    rng = random.Random(seed)
    issuer = quota.QuotaIssuer(rng)
    by_outcome = {True: [], False: []}
    now = 100.0
    while now < 100.0 + seconds:
        now += rng.expovariate(demand_per_s)
        arrival = choose_arrival(rng)
        request = quota.QuotaRequest(
            dict(RATE_BY_TARGET), arrival.account, arrival.priority, WAIT_SECONDS
        )
        grant = issuer.request("desk", request, now)
        arrival.refused_at, arrival.retry_after_s = now, grant.retry_after_s
        by_outcome[bool(grant.target_id)].append(arrival)
    return by_outcome


def share_of(by_outcome, accept):
    """Returns the share of the accepted arrivals that got a grant."""
    granted = sum(accept(each) for each in by_outcome[True])
    return granted / (granted + sum(accept(each) for each in by_outcome[False]))


def test_the_limits_are_used_in_an_overload():
    # Guards against refusals while targets could take more.
    by_outcome = play(4 * TOTAL_RATE, lambda rng: Arrival("a", 1))
    assert len(by_outcome[True]) >= 0.95 * TOTAL_RATE * SECONDS


def test_urgent_requests_get_the_grants_first_and_less_urgent_ones_some():
    # Guards against less urgent requests that take the grants of urgent ones, and against their
    # starvation.
    def choose(rng):
        return Arrival("a", 1 if rng.random() < 0.8 else 2)

    by_outcome = play(6 * TOTAL_RATE, choose)
    urgent = share_of(by_outcome, lambda each: each.priority == 1)
    other = share_of(by_outcome, lambda each: each.priority == 2)
    assert urgent > 1.3 * other
    assert other > 0.4 * len(by_outcome[True]) / (6 * TOTAL_RATE * SECONDS)


def test_a_large_account_does_not_take_the_grants_of_the_others():
    # Guards against one account with most of the requests that leaves the others without service,
    # and against accounts that get nothing because they are large.
    def choose(rng):
        return Arrival("large" if rng.random() < 0.6 else f"a{rng.randrange(9)}", 1)

    by_outcome = play(4 * TOTAL_RATE, choose)
    large = share_of(by_outcome, lambda each: each.account == "large")
    small = share_of(by_outcome, lambda each: each.account != "large")
    assert small > 1.2 * large
    overall = len(by_outcome[True]) / (len(by_outcome[True]) + len(by_outcome[False]))
    assert large > 0.4 * overall


def test_refused_requests_return_as_the_limits_permit():
    # Guards against refused callers who all return at once and are refused again.
    by_outcome = play(4 * TOTAL_RATE, lambda rng: Arrival("a", 1), seconds=2)
    returns = [each.refused_at + each.retry_after_s for each in by_outcome[False]]
    assert len(returns) > 4 * TOTAL_RATE
    for start in returns:
        assert sum(start <= each < start + 1 for each in returns) <= 1.2 * TOTAL_RATE + 1
