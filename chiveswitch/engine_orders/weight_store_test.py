"""Tests of the weight store's shared rate limit."""

import hypothesis
from hypothesis import strategies as st

from chiveswitch.engine_orders import weight_store


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None, database=None)
@hypothesis.given(st.lists(st.floats(0.0, 3.0), max_size=60), st.floats(0.1, 5), st.floats(1, 4))
def test_fetches_never_exceed_the_rate(pauses, rate, burst):
    token_bucket = weight_store.TokenBucket(rate, burst)
    now, taken = 0.0, []
    for pause in pauses:
        now += pause
        if token_bucket.try_acquire(now) == 0:
            taken.append(now)
    for position, start in enumerate(taken):
        for count, end in enumerate(taken[position:], 1):
            assert count <= burst + rate * (end - start) + 1e-6


def test_refusal_holds_back_all_users_for_a_bounded_time():
    # Guards against all users fetching at once after a 429 (thundering herd), and against a store
    # that stops all loads with a very large `Retry-After`.
    token_bucket = weight_store.TokenBucket(10.0, 5.0)
    token_bucket.block_until(2.0)
    assert token_bucket.try_acquire(1.5) == 0.5
    assert token_bucket.try_acquire(2.0) == 0
    for text, seconds in (("0.5", 0.5), ("inf", 30.0), ("nan", 1.0), ("-1", 1.0), (None, 1.0)):
        assert weight_store.parse_retry_after(text) == seconds
