"""Tests of the detectors of silent engines."""

import random

from chiveswitch.core import detector


def _observe_all(estimate, intervals):
    for interval in intervals:
        estimate.observe(interval)


def test_limit_follows_the_interval_within_its_bounds():
    """Guards against a limit that ignores the observed estimate or leaves 0.3 s to 1.0 s."""
    adaptive = detector.AdaptiveDetector()
    decode = adaptive.interval_estimate("e1", detector.DECODE)
    assert decode.silence_limit() == detector.MAX_SILENCE_LIMIT_SECONDS
    _observe_all(decode, [0.03] * 200)
    assert decode.silence_limit() == detector.MIN_SILENCE_LIMIT_SECONDS
    rng = random.Random(1)
    _observe_all(decode, [rng.uniform(0.05, 0.25) for _ in range(300)])
    assert 0.3 < decode.silence_limit() < 0.6
    _observe_all(decode, [60.0] * 50)
    assert decode.silence_limit() == detector.MAX_SILENCE_LIMIT_SECONDS
    _observe_all(decode, [0.03] * 100)
    assert decode.silence_limit() == detector.MIN_SILENCE_LIMIT_SECONDS
    # Each engine and phase has its own estimate.
    assert (
        adaptive.interval_estimate("e1", detector.PREFILL).silence_limit()
        == detector.MAX_SILENCE_LIMIT_SECONDS
    )


def test_heartbeats_in_prefill_cause_neither_a_move_nor_a_hedge():
    """Guards against treating an engine as dead because its prefill is slow.

    During prefill an engine sends only heartbeats, every 0.25 s.
    """
    prefill = detector.AdaptiveDetector().interval_estimate("e1", detector.PREFILL)
    rng = random.Random(2)
    for _ in range(1000):
        interval = detector.HEARTBEAT_INTERVAL_SECONDS + rng.uniform(-0.02, 0.02)
        prefill.observe(interval)
        assert interval < prefill.hedge_delay() <= prefill.silence_limit()


def test_registry_holds_the_baseline():
    """Guards against a baseline for comparisons that cannot be selected by name."""
    fixed = detector.DETECTOR_BY_NAME["fixed_timeout"](0.7)
    estimate = fixed.interval_estimate("e1", detector.DECODE)
    _observe_all(estimate, [0.01] * 100)
    assert estimate.silence_limit() == 0.7
    assert detector.DETECTOR_BY_NAME["adaptive"] is detector.AdaptiveDetector
