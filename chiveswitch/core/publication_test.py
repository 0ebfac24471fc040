"""Tests of the command that puts a route bundle in force."""

import hypothesis
from hypothesis import strategies

from chiveswitch.core import control_state, publication

control_thrift = publication.control_thrift


def publish(state, index, version, content=b"c"):
    record = control_thrift.PublishRoutes(
        actor="o", version=version, content=content, signature=b"s"
    )
    return state.apply(index, 1, control_state.encode_command(record, index))


def new_state():
    return control_state.ControlState(control_state.Limits())


@hypothesis.given(strategies.lists(strategies.integers(1, 9), max_size=12))
def test_the_highest_version_is_in_force_and_all_are_acknowledged(versions):
    # Guards against a race of two operators in which the older version comes into force last.
    state = new_state()
    for index, version in enumerate(versions, start=1):
        assert publish(state, index, version, b"%d" % version).is_ok()
        assert state.published.version == max(versions[:index])
        assert state.published.content == b"%d" % state.published.version


def test_other_content_under_the_held_version_changes_nothing():
    # Guards against replicas or gateways that have two contents with the same version.
    state = new_state()
    publish(state, 1, 4, b"first")
    result = publish(state, 2, 4, b"second")
    assert (result.ok.kind, result.ok.flag) == ("held", False)
    assert state.published.content == b"first"


def test_a_snapshot_keeps_the_bundle_in_force():
    # Guards against a snapshot without the bundle, which is then lost when the log is compacted.
    state = new_state()
    publish(state, 1, 7, b"kept")
    restored = control_state.restore(state.snapshot(), control_state.Limits()).ok
    assert (restored.published.version, restored.published.content) == (7, b"kept")
    assert restored.digest() == state.digest()
