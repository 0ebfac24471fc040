from chiveswitch.core import lifecycles


def test_each_kind_reaches_every_state_and_objects_are_independent():
    """Guards against a shared machine that leaks the state of one object into another."""
    for kind, (initial, steps) in lifecycles.STEPS_BY_KIND.items():
        for name, sources, target in steps:
            for source in [sources] if isinstance(sources, str) else sources:
                other = lifecycles.LifeCycle(kind)
                cycle = lifecycles.LifeCycle(kind)
                cycle.state = source
                assert cycle.step(name).ok == target
                assert (cycle.state, other.state) == (target, initial)


def test_unexpected_step_is_counted_and_changes_nothing():
    """Guards against a crash, or a silent change of state, on an unexpected step."""
    before = lifecycles.ERRORS_BY_STEP.total()
    cycle = lifecycles.LifeCycle("request")
    assert cycle.step("complete").is_error()
    assert cycle.step("no_such_step").is_error()
    assert cycle.state == "admitted"
    assert lifecycles.ERRORS_BY_STEP[("request", "admitted", "complete")] >= 1
    assert lifecycles.ERRORS_BY_STEP.total() == before + 2
