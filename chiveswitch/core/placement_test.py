"""Tests of placement under the load patterns of the users' requirements, without a network."""

import collections
import random

from chiveswitch.core import placement, routing, speeds, target_table, target_table_test

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
    # Guards against herding after the loss of a zone, when 24 runs move at once. Choosing the
    # engine with the least load, which is compared here, puts every run on the one that looks empty
    # and delays first events.
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
    # Guards against runs that queue at a busy engine while others are idle. An engine processes
    # prompts one after the other.
    table = fleet("a", 3)
    loads = {"a0": (1, TOKENS, 24_000), "a1": (1, TOKENS, 0), "a2": (1, TOKENS, 16_000)}
    for number in range(50):
        targets = table.ready_targets("s")
        chosen = placement.choose_engine(targets, loads, ENGINE, TOKENS, f"s{number}", NOW)
        assert chosen.target_id == "a1"


def test_prompts_are_read_where_few_requests_run():
    # Guards against slow token streams under steady load. Prefill of a prompt slows all requests
    # that run on the engine, so an engine with three of them scores worse than one that still has
    # half a prompt to process.
    table = fleet("a", 2)
    loads = {"a0": (3, 3 * TOKENS, 0), "a1": (1, TOKENS, 4_000)}
    for number in range(50):
        targets = table.ready_targets("s")
        chosen = placement.choose_engine(targets, loads, ENGINE, TOKENS, f"s{number}", NOW)
        assert chosen.target_id == "a1"


def test_a_run_goes_where_its_memory_fits():
    # Guards against full engines in a burst of long prompts: a run that does not fit into the
    # memory waits or preempts another one.
    table = fleet("a", 2)
    loads = {"a0": (8, 84_000, 0), "a1": (9, 50_000, 0)}
    for number in range(50):
        targets = table.ready_targets("s")
        chosen = placement.choose_engine(targets, loads, ENGINE, TOKENS, f"s{number}", NOW)
        assert chosen.target_id == "a1"


def test_a_returning_session_finds_the_engine_that_has_read_its_prompt():
    # Guards against processing prompts again after many gateways are killed at once. Their callers
    # reconnect to others, which have no record of the runs, while the prompts are still cached at
    # the engines that processed them.
    table = fleet()
    same = 0
    for number in range(200):
        session = f"session-{number}"
        targets = table.ready_targets("s")
        first = placement.choose_engine(targets, {}, ENGINE, TOKENS, session, NOW)
        # Other runs were placed in the meantime.
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
    # Guards against copies in the zone of their run: zones fail every few seconds, and the copy
    # would be lost with the run.
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
    # Guards against sending as many calls as before to a target that reports good health while it
    # fails part of its requests.
    table = fleet("a", 4)
    for _ in range(20):
        table.find("a0").record_outcome(True, 0.01)
    rng = random.Random(5)
    placed = collections.Counter()
    for _ in range(400):
        placed[placement.choose_target(table.ready_targets("s"), "a", NOW, rng).target_id] += 1
    # Two targets are drawn each time, so the failing one is always compared with a better one.
    assert placed["a0"] == 0


def test_calls_spread_over_equal_targets():
    table = fleet("ab", 2)
    rng = random.Random(6)
    placed = collections.Counter()
    for _ in range(400):
        placed[placement.choose_target(table.ready_targets("s"), "a", NOW, rng).target_id] += 1
    assert min(placed.values()) > 40


def test_runs_that_other_gateways_report_count_as_load():
    # Guards against crowding an engine whose own load report lags behind: runs that other gateways
    # have just placed there count, too.
    runs = placement.RunTable()
    run = placement.Run("r", "session", TOKENS, 8_000, "other", NOW)
    run.target_id, run.copy_target_id = "a0", "b0"
    run.request_digest = ":r"
    runs.put(run)
    loads = runs.load_by_target(NOW)
    assert loads["a0"] == (1, TOKENS, 8_000)
    assert loads["b0"] == (0, TOKENS, 0)
    assert runs.find_resumable(":r", 4.0, NOW) == [run]
    run.ended = True
    assert runs.load_by_target(NOW) == {}
    runs.sweep(NOW + placement.RUN_RETENTION_SECONDS + 1)
    assert runs.run_by_id == {} and runs._ids_by_digest == {}


def speeds_of(table, factor_of):
    """Returns the speeds of a fleet's targets after several observations of each.

    Args:
        table: The fleet.
        factor_of: Function that returns the factor of the target with an index.
    """
    known = speeds.SpeedTable()
    for index, target_id in enumerate(sorted(table.target_by_id)):
        for number in range(5):
            known.observe(speeds.Observation(target_id, 1, factor_of(index)), NOW - 5 + number)
    return known


def first_event_times(known, uses_speeds):
    """Returns the 95th percentile of the seconds until the first event, and the runs by factor.

    The model: engines read prompts of 8,000 tokens one after the other; 24 of them, of which each
    third one takes 0.6, 1.0 or 1.6 times the usual time, get 20 prompts a second for 48 s.
    """
    table = fleet(zones="abc", per_zone=8)
    rng = random.Random(3)
    used = known(table) if uses_speeds else placement.NO_SPEEDS
    factor_by_id = dict(zip(sorted(table.target_by_id), 8 * [0.6, 1.0, 1.6], strict=True))
    free_at, runs, counts, waits = collections.Counter(), [], collections.Counter(), []
    now = NOW
    for number in range(960):
        now += rng.expovariate(20)
        runs = [run for run in runs if run[0] > now]
        loads = {}
        for _, target_id in runs:
            running, held, _ = loads.get(target_id, (0, 0, 0))
            queued = max(0.0, free_at[target_id] - now) * 8000 / factor_by_id[target_id]
            loads[target_id] = (running + 1, held + TOKENS, queued)
        targets = list(table.target_by_id.values())
        target = placement.choose_engine(
            targets, loads, ENGINE, TOKENS, f"s{number}", now, used, 8000
        )
        factor = factor_by_id[target.target_id]
        free_at[target.target_id] = max(now, free_at[target.target_id]) + factor
        waits.append(free_at[target.target_id] - now)
        runs.append((free_at[target.target_id] + 4 * factor, target.target_id))
        counts[factor] += 1
    return sorted(waits)[int(0.95 * len(waits))], counts


def test_fast_engines_get_more_prompts_and_first_events_come_sooner():
    # A steady stream of long prompts to engines of three speeds, near what they can read together.
    def known(table):
        return speeds_of(table, lambda index: (0.6, 1.0, 1.6)[index % 3])

    wait_s, counts = first_event_times(known, True)
    equal_wait_s, _ = first_event_times(known, False)
    assert counts[0.6] > 1.3 * counts[1.0] > 1.3 * counts[1.6]
    assert wait_s < 0.8 * equal_wait_s


def test_engines_of_equal_speed_are_chosen_as_if_nothing_were_known():
    # A deployment whose targets state that they are as fast as usual.
    def known(table):
        return speeds_of(table, lambda index: 1.0)

    assert first_event_times(known, True) == first_event_times(known, False)


def test_calls_avoid_a_target_that_a_neighbour_slows_down_at_this_moment():
    # Idle targets of a plain service, one of which has just stated that work takes 2.5 times as
    # long; a little later nobody knows.
    table = fleet(zones="a", per_zone=2)
    table.target_by_id["a0"].update_load(0, 0, NOW, 2.5)
    targets, rng = list(table.target_by_id.values()), random.Random(1)

    def count(now):
        chosen = [placement.choose_target(targets, "a", now, rng) for _ in range(100)]
        return sum(target.target_id == "a0" for target in chosen)

    assert count(NOW + 0.1) == 0
    assert 30 < count(NOW + target_table.SLOWDOWN_MAX_AGE_SECONDS) < 70


def test_copies_go_to_fast_engines_first():
    # Copies of runs at idle engines of two speeds.
    table = fleet(zones="ab", per_zone=2)
    known = speeds_of(table, lambda index: (0.6, 1.6)[index % 2])
    targets = list(table.target_by_id.values())
    holder = placement.choose_copy_target(
        targets, {}, ENGINE, TOKENS, {"b"}, NOW, random.Random(1), known
    )
    assert holder.target_id == "a0"
