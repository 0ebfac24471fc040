"""Load pattern: many retries of short calls while engines are lost, with many gateways."""

from chiveswitch.core import retry

LIMITS = retry.ServiceRetryLimits(ratio=0.8, slack=150, window_s=10)


def test_retried_calls_leave_the_retries_of_streams():
    # Guards against streams that are cut after the loss of their engine because the gateway has
    # spent its retries on short calls to another service.
    budgets = retry.ServiceRetryBudgets(LIMITS)
    budgets.set_gateway_count(24)
    calls = budgets.of_service("desk", 0.0)
    while calls.spend_retry("a", 0.0).is_ok():
        continue
    assert budgets.of_service("engines", 0.0).spend_retry("a", 0.0).is_ok()


def test_a_run_with_a_copy_continues_without_retries_left():
    # Guards against a response that is cut although a copy of its run stands, and against debts
    # without a bound.
    budget = retry.ServiceRetryBudgets(LIMITS).of_service("engines", 0.0)
    while budget.spend_retry("a", 0.0).is_ok():
        continue
    for _ in range(1000):
        assert budget.spend_retry("a", 0.0, may_overdraw=True).is_ok()
    assert budget.spend_retry("a", 0.0).is_error()
    settings = budget.settings
    earned_at = (settings.burst + 1) / settings.base_refill_per_s
    assert budget.spend_retry("a", earned_at + 0.1).is_ok()


def test_a_large_group_of_gateways_keeps_to_the_limits_of_a_service():
    # Guards against a retry storm of all gateways at once: each request fails at every target.
    for gateway_count, requests_per_s in ((10, 5), (79, 34), (200, 19), (340, 40)):
        spent, requests, gateways = 0, 0, []
        for _ in range(gateway_count):
            budgets = retry.ServiceRetryBudgets(LIMITS)
            budgets.set_gateway_count(gateway_count)
            gateways.append(budgets.of_service("engines", 0.0))
        steps = 100
        for step in range(steps):
            now = step * LIMITS.window_s / steps
            for _ in range(round(requests_per_s * LIMITS.window_s / steps)):
                gateways[requests % gateway_count].record_admission("a", now)
                requests += 1
            for budget in gateways:
                spent += budget.spend_retry("a", now).is_ok()
        assert spent <= LIMITS.ratio * requests + LIMITS.slack, gateway_count


def test_a_gateway_of_a_large_group_may_retry_one_request():
    # Guards against a share of the retries so small that no gateway may ever use it.
    budgets = retry.ServiceRetryBudgets(LIMITS)
    budgets.set_gateway_count(340)
    assert budgets.of_service("engines", 0.0).spend_retry("a", 0.0).is_ok()
