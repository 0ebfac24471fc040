from chiveswitch.core import lifecycles


def test_each_kind_reaches_every_state_and_objects_are_independent():
    """Guards against a shared machine that leaks the state of one object into another."""
    for kind, (initial, steps) in lifecycles.TRANSITIONS_BY_KIND.items():
        for name, sources, target in steps:
            for source in [sources] if isinstance(sources, str) else sources:
                other = lifecycles.Lifecycle(kind)
                cycle = lifecycles.Lifecycle(kind)
                cycle.state = source
                assert cycle.apply(name).ok == target
                assert (cycle.state, other.state) == (target, initial)


def test_unexpected_step_is_counted_and_changes_nothing():
    """Guards against a crash, or a silent change of state, on an unexpected step."""
    before = lifecycles.UNEXPECTED_COUNT_BY_TRANSITION.total()
    cycle = lifecycles.Lifecycle("request")
    assert cycle.apply("complete").is_error()
    assert cycle.apply("no_such_step").is_error()
    assert cycle.state == "admitted"
    assert lifecycles.UNEXPECTED_COUNT_BY_TRANSITION[("request", "admitted", "complete")] >= 1
    assert lifecycles.UNEXPECTED_COUNT_BY_TRANSITION.total() == before + 2
