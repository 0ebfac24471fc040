"""Load patterns: steady arrivals, crowds, zones lost one after the other, resets of connections."""

from chiveswitch.core import placement, routing, target_table, target_table_test
from features import load_model

ENGINE = routing.Engine(
    slots=16, memory_tokens=88_000, copies=True, copy_kept_s=4.0, event_tokens=8
)
TOKENS = 9_000


def test_fewer_streams_are_late_than_with_simpler_choices():
    # Guards against herds of gateways on one engine and long queues beside idle engines.
    result = load_model.compare(seconds=120.0, per_s=5.0)
    for pattern_name in load_model.PATTERN_BY_NAME:
        product = result[pattern_name, "product"][0]
        for policy_name in ("least_loaded", "random"):
            assert product <= result[pattern_name, policy_name][0], (pattern_name, policy_name)


def test_steady_arrivals_are_on_time():
    # Guards against a choice that makes streams late without any trouble.
    assert load_model.compare(seconds=60.0)["steady", "product"][0] < 0.01


def test_prompts_are_queued_one_after_the_other():
    # Guards against a queue of several prompts that is taken for read after the time of one.
    runs = placement.RunTable()
    for number in range(6):
        run = placement.Run(f"r{number}", f"s{number}", 10_000, 10_000, "g", 100.0)
        run.target_id = "a0"
        runs.put(run)
    rate = placement.PREFILL_TOKENS_PER_SECOND * placement.PREFILL_DRAIN_SHARE
    assert runs.load_by_target(102.0)["a0"][2] == 60_000 - 2 * rate
    # A later report, for example of a new copy, does not queue the prompt again.
    runs.run_by_id["r0"].changed_at = 102.0
    assert runs.load_by_target(102.0)["a0"][2] == 60_000 - 2 * rate


def test_an_engine_that_was_just_lost_is_tried_before_a_long_queue():
    # Guards against one engine that gets all runs because all others seemed lost for a moment.
    table = target_table.TargetTable()
    target_table_test.add_zone(table, "a", 6)
    for number in range(1, 6):
        table.find(f"a{number}").record_unreachable(100.0)
    targets = table.ready_targets("s")
    loads = {"a0": (5, 5 * TOKENS, 40_000)}
    for number in range(20):
        arguments = (loads, ENGINE, TOKENS, f"s{number}", 100.1)
        assert placement.choose_engine(targets, *arguments).target_id != "a0"
        # With a short queue the engine that is known to be there comes first.
        arguments = ({"a0": (1, TOKENS, 0)}, ENGINE, TOKENS, f"s{number}", 100.1)
        assert placement.choose_engine(targets, *arguments).target_id == "a0"
