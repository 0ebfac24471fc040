"""Tests of the lifecycles."""

from chiveswitch.core import lifecycles


def test_each_kind_reaches_every_state_and_objects_are_independent():
    """Guards against the machine shared by a kind leaking the state of one object to another."""
    for kind, (initial, transitions) in lifecycles.TRANSITIONS_BY_KIND.items():
        for name, sources, target in transitions:
            for source in [sources] if isinstance(sources, str) else sources:
                other = lifecycles.Lifecycle(kind)
                lifecycle = lifecycles.Lifecycle(kind)
                lifecycle.state = source
                assert lifecycle.apply(name).ok == target
                assert (lifecycle.state, other.state) == (target, initial)


def test_unexpected_transition_is_counted_and_changes_nothing():
    """Guards against a crash, or a silent change of state, on an unexpected transition."""
    before = lifecycles.UNEXPECTED_COUNT_BY_TRANSITION.total()
    lifecycle = lifecycles.Lifecycle("request")
    assert lifecycle.apply("complete").is_error()
    assert lifecycle.apply("no_such_step").is_error()
    assert lifecycle.state == "admitted"
    assert lifecycles.UNEXPECTED_COUNT_BY_TRANSITION[("request", "admitted", "complete")] >= 1
    assert lifecycles.UNEXPECTED_COUNT_BY_TRANSITION.total() == before + 2
