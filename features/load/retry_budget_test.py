"""Load pattern: many retries of short calls while engines are lost, with many gateways."""

import random

from chiveswitch.core import retry

LIMITS = retry.ServiceRetryLimits(ratio=0.8, slack=150, window_s=10)


def budgets_of(gateway_count):
    budgets = retry.ServiceRetryBudgets(LIMITS)
    budgets.gateway_count = gateway_count
    return budgets


def test_retried_calls_leave_the_retries_of_streams():
    # Guards against streams that are cut after the loss of their engine because the gateway has
    # spent its retries on short calls to another service.
    budgets = budgets_of(24)
    while budgets.spend_retry("desk", 0.0):
        continue
    assert budgets.spend_retry("engines", 0.0)


def test_a_run_with_a_copy_continues_without_retries_left():
    # Guards against a response that is cut although a copy of its run stands, and against such
    # continuations that do not count.
    budgets = budgets_of(10)
    for _ in range(30):
        assert budgets.spend_retry("engines", 0.0, may_exceed=True)
    assert not budgets.spend_retry("engines", 5.0)
    assert budgets.spend_retry("engines", 11.0)


def test_all_gateways_together_keep_to_the_limits_of_a_service():
    # Guards against a retry storm of all gateways at once: each request fails at every target. The
    # limits hold in any window, so the storm begins after a time without failures.
    rng = random.Random(1)
    for gateway_count, requests_per_s in ((10, 5), (79, 34), (200, 19), (340, 40)):
        gateways = [budgets_of(gateway_count) for _ in range(gateway_count)]
        sent_at, spent_at = [], []
        for step in range(300):
            now = step / 10
            for _ in range(rng.randrange(requests_per_s // 5 + 1)):
                rng.choice(gateways).record_admission("engines", now)
                sent_at.append(now)
            if step < 100:
                continue
            for budgets in gateways:
                while budgets.spend_retry("engines", now):
                    spent_at.append(now)
        for start in range(10, 20):
            window = (start, start + LIMITS.window_s)
            spent = sum(window[0] <= at < window[1] for at in spent_at)
            # The users count the requests of the window or of the one before, whichever are more.
            requests = max(
                sum(window[0] - back <= at < window[1] - back for at in sent_at) for back in (0, 10)
            )
            assert spent <= LIMITS.ratio * requests + LIMITS.slack, (gateway_count, start)


def test_a_gateway_of_a_large_group_may_retry_one_request():
    # Guards against a share of the retries so small that no gateway may ever use it.
    budgets = budgets_of(340)
    assert budgets.spend_retry("engines", 0.0)
    assert not budgets.spend_retry("engines", 0.1)
