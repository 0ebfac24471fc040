"""Tests of placement under the load patterns of the users' sheets, without a network."""

import collections
import random

from chiveswitch.core import placement, routing, target_table, target_table_test

ENGINE = routing.Engine(
    slots=16, memory_tokens=88_000, copies=True, copy_kept_s=4.0, event_tokens=8
)
TOKENS = 9_000
NOW = 100.0


def fleet(zones="abcd", per_zone=9):
    table = target_table.TargetTable()
    for name in zones:
        target_table_test.add_zone(table, name, per_zone)
    return table


def test_gateways_that_move_runs_at_the_same_moment_do_not_choose_the_same_engine():
    # Pattern: a zone is lost and 24 runs move at once. Choosing the engine with the least load, the
    # policy compared here, puts every run on the one that looks empty and delays first events.
    table = fleet()
    loads = {target_id: (2, 2 * TOKENS, 4000) for target_id in table.target_by_id}
    loads["a0"] = (0, 0, 0)
    for seed in range(20):
        drawn, least = collections.Counter(), collections.Counter()
        for number in range(24):
            targets = table.ready_targets("s")
            session = f"session-{seed}-{number}"
            chosen = placement.choose_engine(targets, loads, ENGINE, TOKENS, session, NOW)
            drawn[chosen.target_id] += 1
            least[min(targets, key=lambda each: loads[each.target_id]).target_id] += 1
        assert max(least.values()) == 24
        assert max(drawn.values()) <= 8


def test_an_engine_with_a_long_prompt_queue_is_avoided():
    # Pattern: hot engines while others are idle; prompts are read one after the other.
    table = fleet("a", 3)
    loads = {"a0": (1, TOKENS, 24_000), "a1": (1, TOKENS, 0), "a2": (1, TOKENS, 16_000)}
    for number in range(50):
        targets = table.ready_targets("s")
        chosen = placement.choose_engine(targets, loads, ENGINE, TOKENS, f"s{number}", NOW)
        assert chosen.target_id == "a1"


def test_prompts_are_read_where_few_requests_run():
    # Pattern: steady load; each prompt that is read slows the tokens of all requests beside it, so
    # that an engine with three of them is worse than one that still reads half a prompt.
    table = fleet("a", 2)
    loads = {"a0": (3, 3 * TOKENS, 0), "a1": (1, TOKENS, 4_000)}
    for number in range(50):
        targets = table.ready_targets("s")
        chosen = placement.choose_engine(targets, loads, ENGINE, TOKENS, f"s{number}", NOW)
        assert chosen.target_id == "a1"


def test_a_run_goes_where_its_memory_fits():
    # Pattern: burst of long prompts; a run that does not fit waits or preempts another one.
    table = fleet("a", 2)
    loads = {"a0": (8, 84_000, 0), "a1": (9, 50_000, 0)}
    for number in range(50):
        targets = table.ready_targets("s")
        chosen = placement.choose_engine(targets, loads, ENGINE, TOKENS, f"s{number}", NOW)
        assert chosen.target_id == "a1"


def test_a_returning_session_finds_the_engine_that_has_read_its_prompt():
    # Pattern: many gateways are killed at once and their callers return to others, which know
    # nothing of the runs; the prompt is still in the memory of the engine that read it.
    table = fleet()
    same = 0
    for number in range(200):
        session = f"session-{number}"
        targets = table.ready_targets("s")
        first = placement.choose_engine(targets, {}, ENGINE, TOKENS, session, NOW)
        # Others were placed in between.
        loads = {each.target_id: (number % 2, TOKENS, 0) for each in targets}
        random.Random(number).shuffle(targets)
        again = placement.choose_engine(targets, loads, ENGINE, TOKENS, session, NOW + 2)
        same += first is again
    assert same == 200


def test_sessions_spread_evenly_over_engines():
    table = fleet()
    placed = collections.Counter()
    for number in range(3600):
        targets = table.ready_targets("s")
        chosen = placement.choose_engine(targets, {}, ENGINE, TOKENS, f"s{number}", NOW)
        placed[chosen.target_id] += 1
    assert max(placed.values()) < 150 and min(placed.values()) > 60


def test_copies_lie_outside_the_zone_and_never_at_avoided_engines():
    # Pattern: a zone goes dark every few seconds; a copy in it would be lost with its run.
    table = fleet()
    table.record_loss(table.find("b0"), NOW)
    table.record_loss(table.find("b1"), NOW)
    rng = random.Random(3)
    zones = collections.Counter()
    for _ in range(200):
        targets = table.ready_targets("s")
        holder = placement.choose_copy_target(targets, {}, ENGINE, TOKENS, {"a"}, NOW + 0.1, rng)
        zones[holder.zone] += 1
    assert set(zones) == {"c", "d"}
    assert min(zones.values()) > 60


def test_no_copy_is_ordered_where_no_engine_has_room():
    table = fleet("ab", 1)
    loads = {"b0": (1, 85_000, 0)}
    rng = random.Random(4)
    targets = table.ready_targets("s")
    assert placement.choose_copy_target(targets, loads, ENGINE, TOKENS, {"a"}, NOW, rng) is None


def test_a_failing_target_gets_fewer_calls():
    # Pattern: a worker fails part of its requests while its health is good.
    table = fleet("a", 4)
    for _ in range(20):
        table.find("a0").record_outcome(True, 0.01)
    rng = random.Random(5)
    placed = collections.Counter()
    for _ in range(400):
        placed[placement.choose_target(table.ready_targets("s"), "a", NOW, rng).target_id] += 1
    # Two targets are drawn, so that it is chosen only when it is drawn alone: never.
    assert placed["a0"] == 0


def test_calls_spread_over_equal_targets():
    table = fleet("ab", 2)
    rng = random.Random(6)
    placed = collections.Counter()
    for _ in range(400):
        placed[placement.choose_target(table.ready_targets("s"), "a", NOW, rng).target_id] += 1
    assert min(placed.values()) > 40


def test_runs_that_other_gateways_report_count_as_load():
    # Pattern: reports of workers lag; the runs placed a moment ago by others are known anyway.
    runs = placement.RunTable()
    run = placement.Run("r", "session", TOKENS, 8_000, "other", NOW)
    run.target_id, run.copy_target_id = "a0", "b0"
    runs.put(run)
    loads = runs.load_by_target(NOW)
    assert loads["a0"] == (1, TOKENS, 8_000)
    assert loads["b0"] == (0, TOKENS, 0)
    assert runs.latest_of_session("session") is run
    run.ended = True
    assert runs.load_by_target(NOW) == {}
    runs.sweep(NOW + placement.RUN_MAX_SECONDS + 1)
    assert runs.latest_of_session("session") is None
