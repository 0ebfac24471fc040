"""Tests of the measuring tool's analysis, without processes."""

import pytest

from chiveswitch.core import digests
from chiveswitch.targets import standin_engine
from chiveswitch.tools import measure_check

TOKENS = measure_check.expected_tokens(7, "survey", 20)


def test_the_check_follows_the_engine():
    # Guards against a check that drifts from the stand-in and so fails every answer.
    digest = digests.PrefixDigest()
    for token in TOKENS:
        assert token == standin_engine.next_token(7, "survey", digest.hexdigest())
        digest.add([token])


@pytest.mark.parametrize(
    ("tokens", "kinds"),
    [
        (TOKENS, set()),
        (TOKENS[:5] + TOKENS[6:], {"missing"}),
        (TOKENS[:5] + TOKENS[4:], {"repeated"}),
        (TOKENS[:-1], {"missing"}),
        (TOKENS[:5] + measure_check.expected_tokens(8, "survey", 20)[5:], {"mixed"}),
        (measure_check.expected_tokens(7, "other", 20), {"mixed"}),
    ],
)
def test_token_errors_are_found(tokens, kinds):
    # Guards against a check that passes an answer with a lost, repeated or foreign token.
    found = measure_check.token_errors(tokens, 7, "survey", 20, complete=True)
    assert kinds <= set(found)
    assert bool(found) == bool(kinds)


def test_an_answer_without_a_seed_is_an_error():
    # Guards against tokens that nothing could be compared with and that count as right.
    assert measure_check.token_errors(["a"], None, "survey", 20, complete=False) == {"mixed": 1}


def test_the_gap_around_a_fault_is_found():
    # Guards against taking a gap that ended before the fault, or one long after it.
    times = [(0.1 * step, step + 1) for step in range(10)]
    times += [(1.7 + 0.1 * step, 11 + step) for step in range(40)]
    times.append((9.0, 51))
    latency, raw = measure_check.gap_around(times, 0.95)
    assert raw == pytest.approx(0.8)
    assert latency == pytest.approx(0.7)
    assert measure_check.gap_around(times, 9.5) == (None, None)
    assert measure_check.gap_around(times, 1.75)[1] == pytest.approx(0.1)


def test_a_restart_counts_until_the_stream_passes_its_place():
    # Guards against taking the first token of a restarted generation as the continuation.
    times = [(0.0, 1), (0.1, 2), (0.2, 3), (0.5, 1), (0.6, 2), (0.7, 3), (0.8, 4), (0.9, 5)]
    assert measure_check.gap_around(times, 0.25)[1] == pytest.approx(0.6)


def test_tokens_of_one_batch_have_no_gap():
    # Guards against a percentile of batches in place of tokens.
    gaps = measure_check.token_gaps([(0.0, 1), (0.1, 4)])
    assert gaps == pytest.approx([0.1, 0.0, 0.0])


def test_percentiles_and_fit():
    # Guards against a wrong unit of the histogram.
    found = measure_check.percentiles([0.001 * step for step in range(1, 101)])
    assert found["p50"] == pytest.approx(0.05, rel=0.01)
    assert found["max"] == pytest.approx(0.1)
    assert measure_check.linear_fit([1, 2, 3], [3, 5, 7]) == pytest.approx((2, 1))
