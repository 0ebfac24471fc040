"""Tests of what is learned of targets' speeds, without a network."""

import random

import pytest

from chiveswitch.core import speeds

NOW = 100.0


def table_of(*factors, born_ms=1):
    """Returns a table in which the target `t` was observed with some factors, 1 s apart."""
    table = speeds.SpeedTable()
    for number, factor in enumerate(factors, 1):
        table.observe(speeds.Observation("t", born_ms, factor), NOW - len(factors) + number)
    return table


@pytest.mark.parametrize("factor", [0.6, 1.6])
def test_the_speed_of_a_machine_is_learned_from_few_answers(factor):
    # Engines of 0.6 and 1.6 times the usual duration, each seen by one gateway every few seconds.
    assert table_of(factor, factor, factor).factor("t", NOW) == pytest.approx(factor, rel=0.15)


def test_little_evidence_moves_a_factor_less():
    # A crowd must not follow the first word of one target.
    few, many = table_of(0.6).factor("t", NOW), table_of(*5 * [0.6]).factor("t", NOW)
    assert 0.6 < many < few < 1.0


@pytest.mark.parametrize("factors", [(1.0, 2.5, 1.0), (2.5, 1.0), (1.0, 1.0, 2.5, 2.5)])
def test_a_neighbour_that_slows_a_target_for_a_moment_does_not_count_as_its_speed(factors):
    # Neighbours that take 60% of a machine in a sixth of the time, for 0.2 s each.
    assert table_of(*factors).factor("t", NOW) == 1.0


def test_many_answers_of_one_moment_count_once():
    # A crowd at a target, which a neighbour slows down for 0.2 s.
    table = table_of(1.0, 1.0)
    for step in range(20):
        table.observe(speeds.Observation("t", 1, 2.5), NOW + 1 + step / 100)
    assert table.factor("t", NOW + 2) == 1.0


def test_targets_of_equal_speed_have_no_factor():
    # A fleet of equal machines whose neighbours disturb them at random.
    rng = random.Random(5)
    table = speeds.SpeedTable()
    for step in range(400):
        factor = 2.5 if rng.random() < 0.15 else 1.0
        table.observe(speeds.Observation(f"t{step % 40}", 1, factor), NOW + step / 10)
    factors = [table.factor(f"t{index}", NOW + 40) for index in range(40)]
    assert factors.count(1.0) >= 38


def test_a_restarted_target_starts_anew():
    # A target that comes back on another machine under the same id.
    table = table_of(1.6, 1.6, 1.6)
    table.observe(speeds.Observation("t", 2, 1.0), NOW)
    assert table.factor("t", NOW) == 1.0


def test_late_words_of_an_earlier_start_change_nothing():
    # A hub that was cut off passes on what it heard before a restart.
    table = table_of(1.0, 1.0, born_ms=2)
    for step in range(7):
        table.observe(speeds.Observation("t", 1, 1.6), NOW + step)
    assert table.factor("t", NOW) == 1.0


@pytest.mark.parametrize("factor", [0.0, -1.0, 0.001, 1e9, float("nan"), float("inf")])
def test_values_that_no_machine_can_have_are_ignored(factor):
    # A gateway or target that reports nonsense, without pause.
    assert table_of(*10 * [factor]).factor("t", NOW) == 1.0


def test_old_evidence_loses_weight_and_ends():
    # A target that no gateway has used for minutes, because it was slow once.
    table = table_of(1.6, 1.6)
    fresh = table.factor("t", NOW)
    assert 1.0 < table.factor("t", NOW + speeds.HALF_LIFE_SECONDS) < fresh
    assert table.factor("t", NOW + speeds.MAX_AGE_SECONDS + 2) == 1.0
    table.sweep(NOW + speeds.MAX_AGE_SECONDS + 2)
    assert table.factor_by_target(NOW) == {}


def test_the_number_of_targets_is_bounded():
    # Reports about targets that do not exist.
    table = speeds.SpeedTable()
    for index in range(speeds.MAX_TARGETS + 10):
        table.observe(speeds.Observation(f"t{index}", 1, 1.6), NOW)
    assert len(table.factor_by_target(NOW)) == speeds.MAX_TARGETS
    assert table.factor("t0", NOW) == 1.0


def test_the_reading_rate_of_a_service_is_learned():
    # Engines of several speeds that read 5,000 tokens a second; prompts are cached at times.
    table = table_of(1.6, 1.6, 1.6, 1.6, 1.6)
    factor = table.factor("t", NOW)
    for seconds in [1.0, 1.0, 0.1, 1.0, 1.0 * factor, 3.0, 1.0]:
        target_id = "t" if seconds == factor else "usual"
        table.observe_read("s", target_id, 5000, seconds, NOW)
    assert table.read_rate("s") == pytest.approx(5000)


@pytest.mark.parametrize("count", [0, speeds.MIN_READS - 1])
def test_few_reads_leave_the_default_rate(count):
    # A gateway that has just started.
    table = speeds.SpeedTable()
    for _ in range(count):
        table.observe_read("s", "t", 5000, 1.0, NOW)
    assert table.read_rate("s") == speeds.DEFAULT_READ_RATE


def test_short_prompts_and_odd_times_move_the_rate_within_bounds():
    # Callers that state few tokens, and an engine that answers before it can have read.
    table = speeds.SpeedTable()
    for _ in range(20):
        table.observe_read("s", "t", 10, 1.0, NOW)
        table.observe_read("s", "t", 5000, 1e-9, NOW)
    assert table.read_rate("s") == speeds.DEFAULT_READ_RATE * speeds.MAX_READ_RATE_RATIO
