"""Tests of the retry budget."""

import random

from chiveswitch.core import codes, retry


def test_retries_are_bounded_after_a_zone_loss():
    # Guards against a retry storm: 200 of 800 streams fail at once, and each of their retries also
    # fails and is repeated every 50 ms.
    settings, rng = retry.RetrySettings(), random.Random(1)
    budget = retry.RetryBudget(settings, 0.0)
    spent, admitted = 0, 0
    for step in range(200):
        now = step / 20
        for _ in range(200):
            spent += budget.spend_retry(f"a{rng.randrange(10)}", now).is_ok()
        for _ in range(3):
            budget.record_admission(f"a{rng.randrange(10)}", now)
            admitted += 1
    bound = (
        settings.burst + settings.retries_per_request * admitted + settings.base_refill_per_s * 10
    )
    assert bound * 0.9 < spent <= bound


def test_one_account_cannot_spend_the_budget_of_others():
    # Guards against one account with many failures that leaves no retries for the others.
    budget = retry.RetryBudget(retry.RetrySettings(), 0.0)
    spent = sum(budget.spend_retry("large", 0.0).is_ok() for _ in range(500))
    assert spent == 40
    refused = budget.spend_retry("large", 0.0)
    assert refused.error.code == codes.Code.RETRY_BUDGET_SPENT
    assert budget.spend_retry("small", 0.0).is_ok()


def test_gateway_without_requests_earns_retries():
    # Guards against a budget that only admitted requests refill.
    budget = retry.RetryBudget(retry.RetrySettings(burst=1.0), 0.0)
    assert budget.spend_retry("a", 0.0).is_ok()
    assert budget.spend_retry("a", 0.1).is_error()
    assert budget.spend_retry("a", 3.0).is_ok()
