"""Tests of the measuring tool's analysis, without processes."""

import pytest

from chiveswitch.core import digests
from chiveswitch.targets import standin_engine
from chiveswitch.tools import measure_check

TOKENS = measure_check.compute_expected_tokens(7, "survey", 20)


def test_expected_tokens_are_those_of_the_engine():
    # Guards against a check that differs from the stand-in engine and so rejects every response.
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
        (TOKENS[:5] + measure_check.compute_expected_tokens(8, "survey", 20)[5:], {"mixed"}),
        (measure_check.compute_expected_tokens(7, "other", 20), {"mixed"}),
    ],
)
def test_token_errors_are_found(tokens, kinds):
    # Guards against a check that accepts a response with a lost, repeated or foreign token.
    found = measure_check.count_token_errors(tokens, 7, "survey", 20, complete=True)
    assert kinds <= set(found)
    assert bool(found) == bool(kinds)


def test_an_answer_without_a_seed_is_an_error():
    # Guards against tokens that count as correct although there is nothing to compare them with.
    assert measure_check.count_token_errors(["a"], None, "survey", 20, complete=False) == {
        "mixed": 1
    }


def test_the_gap_around_a_fault_is_found():
    # Guards against choosing a gap that ended before the fault, or one long after it.
    times = [(0.1 * step, step + 1) for step in range(10)]
    times += [(1.7 + 0.1 * step, 11 + step) for step in range(40)]
    times.append((9.0, 51))
    latency, raw = measure_check.find_gap_around_fault(times, 0.95)
    assert raw == pytest.approx(0.8)
    assert latency == pytest.approx(0.7)
    assert measure_check.find_gap_around_fault(times, 9.5) == (None, None)
    assert measure_check.find_gap_around_fault(times, 1.75)[1] == pytest.approx(0.1)


def test_a_gap_lasts_until_a_restarted_stream_makes_progress():
    # Guards against counting the first token of a restarted generation as progress of the stream.
    times = [(0.0, 1), (0.1, 2), (0.2, 3), (0.5, 1), (0.6, 2), (0.7, 3), (0.8, 4), (0.9, 5)]
    assert measure_check.find_gap_around_fault(times, 0.25)[1] == pytest.approx(0.6)


def test_tokens_of_one_batch_have_no_gap():
    # Guards against percentiles over batches instead of tokens.
    gaps = measure_check.find_token_gaps([(0.0, 1), (0.1, 4)])
    assert gaps == pytest.approx([0.1, 0.0, 0.0])


def test_percentiles_and_fit():
    # Guards against a wrong unit of the histogram.
    found = measure_check.compute_percentiles([0.001 * step for step in range(1, 101)])
    assert found["p50"] == pytest.approx(0.05, rel=0.01)
    assert found["max"] == pytest.approx(0.1)
    assert measure_check.fit_line([1, 2, 3], [3, 5, 7]) == pytest.approx((2, 1))
