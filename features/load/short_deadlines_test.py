"""Load pattern: callers return with little time left, after all machines lost power for example."""

import pytest

from chiveswitch.core import pace

PROMPT_TOKENS = 8_000
MAX_EVENTS = 130


def learned_pace(count=pace.WINDOW_STREAMS, cached=0):
    learned = pace.StreamPace()
    for number in range(count):
        first_event_s = 0.05 if number < cached else 1.0 + 0.1 * (number % 5)
        learned.observe(PROMPT_TOKENS, first_event_s, 0.030 + 0.002 * (number % 4), 0.95, 1.0)
    return learned


def test_the_least_time_of_a_stream_is_its_prefill_and_its_events():
    # Guards against engines that are occupied by streams which end at their deadline, so that
    # streams with enough time left end late as well.
    learned = learned_pace()
    assert learned.least_prefill_s(PROMPT_TOKENS) == pytest.approx(1.0, abs=0.15)
    assert learned.least_events_s(MAX_EVENTS, 0) == pytest.approx(3.7, abs=0.3)
    assert learned.least_events_s(MAX_EVENTS, 100) == pytest.approx(0.7, abs=0.2)
    assert learned.least_events_s(MAX_EVENTS, 130) == 0.0


def test_an_unknown_pace_refuses_no_stream_that_a_fast_engine_could_serve():
    # Guards against refusals that are only a guess.
    for count in range(pace.MIN_STREAMS):
        learned = learned_pace(count)
        assert learned.least_events_s(MAX_EVENTS, 0) == 0.0
        assert learned.least_prefill_s(PROMPT_TOKENS) < 0.75


def test_cached_prompts_do_not_hide_how_long_others_take():
    # Guards against hopeless streams that are admitted because a few prompts were cached.
    assert learned_pace(cached=2).least_prefill_s(PROMPT_TOKENS) > 0.9


def test_the_pace_follows_engines_that_become_faster():
    # Guards against refusals because of an overload that has passed.
    learned = learned_pace()
    for _ in range(pace.WINDOW_STREAMS // 2):
        learned.observe(PROMPT_TOKENS, 0.5, 0.015, 0.95, 1.0)
    assert learned.least_prefill_s(PROMPT_TOKENS) == pytest.approx(0.5)
    assert learned.least_events_s(MAX_EVENTS, 0) < 2.0


def test_a_pace_from_an_overload_does_not_refuse_streams_for_good():
    # Guards against a gateway that refuses all streams because it learned its pace in an overload:
    # refused streams bring no new observations.
    learned = pace.StreamPace()
    for _ in range(pace.WINDOW_STREAMS):
        learned.observe(PROMPT_TOKENS, 30.0, 0.5, 0.95, 1.0)
    learned.forget_old(1.0 + pace.MAX_AGE_SECONDS)
    assert learned.least_prefill_s(PROMPT_TOKENS) == pytest.approx(30.0)
    learned.forget_old(1.1 + pace.MAX_AGE_SECONDS)
    assert learned.least_prefill_s(PROMPT_TOKENS) < 1.0
    assert learned.least_events_s(MAX_EVENTS, 0) == 0.0
