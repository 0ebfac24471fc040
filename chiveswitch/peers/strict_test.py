"""Tests of the strict decoding of thrift structs."""

import struct

import pytest

from chiveswitch.core import codes
from chiveswitch.peers import strict

thrift = strict.load("hub.thrift")
STOP = b"\0"


def answer(**changes):
    fields = {
        "is_hub": True,
        "hub_incarnation": 1,
        "position": 2,
        "members_index": 3,
        "hubs": ["h"],
        "version": 4,
        "content": b"",
        "signature": b"",
        "targets": [],
        "nodes": [],
        "runs": [],
        "losses": [],
        **changes,
    }
    return thrift.WatchAnswer(**fields)


def report():
    return thrift.PromptReport(outcome=1, parts=["a"], target_id="e", age_ms=5)


def test_an_optional_field_may_be_missing_or_present():
    # Guards against a node that refuses the messages of another version during a rolling upgrade.
    without = strict.decode(thrift.WatchAnswer, strict.encode(answer())).ok
    assert without.prompts is None and without.version == 4
    with_prompts = strict.decode(thrift.WatchAnswer, strict.encode(answer(prompts=[report()]))).ok
    assert with_prompts.prompts == [report()]


@pytest.mark.parametrize("name", ["is_hub", "hubs", "losses"])
def test_a_required_field_must_be_present(name):
    value = answer()
    setattr(value, name, None)
    result = strict.decode(thrift.WatchAnswer, strict.encode(value))
    assert result.error.code == codes.Code.FRAME_INVALID


@pytest.mark.parametrize(
    "tail",
    [
        # Another type, a list longer than the data, an unknown field, and a missing end.
        struct.pack(">bhi", 8, 13, 1) + STOP,
        struct.pack(">bhbi", 15, 13, 12, 1000) + STOP,
        struct.pack(">bhb", 2, 14, 1) + STOP,
        struct.pack(">bhbi", 15, 13, 12, 0),
        b"",
    ],
)
def test_an_optional_field_is_checked_like_the_others(tail):
    data = strict.encode(answer())
    assert data.endswith(STOP)
    result = strict.decode(thrift.WatchAnswer, data[:-1] + tail)
    assert result.error.code == codes.Code.FRAME_INVALID
