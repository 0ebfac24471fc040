"""Tests of the event buffer: events are complete, unique and in order for any chunk boundaries."""

import hypothesis
import pytest
from hypothesis import strategies

from chiveswitch.core import events, memory_budget


def stream(first, last):
    return b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(first, last + 1))


@hypothesis.given(
    strategies.lists(strategies.integers(1, 30), min_size=1), strategies.integers(1, 9)
)
def test_any_cut_of_the_bytes_gives_the_same_events(sizes, count):
    buffer = events.EventBuffer(None)
    data = stream(0, count)
    found, position, step = b"", 0, 0
    while position < len(data):
        size = sizes[step % len(sizes)]
        found += buffer.feed(data[position : position + size])[0]
        position, step = position + size, step + 1
    assert found == data
    assert buffer.is_between_events and buffer.last_id == count


@hypothesis.given(strategies.integers(0, 8), strategies.integers(0, 8), strategies.integers(0, 12))
def test_a_move_in_the_middle_of_an_event_repeats_and_loses_nothing(cut, again, rest):
    # Guards against an incomplete, repeated or missing event after a stream breaks off and another
    # engine continues it.
    buffer = events.EventBuffer(None)
    found = buffer.feed(stream(0, cut) + stream(cut + 1, cut + 1)[:rest])[0]
    buffer.restart()
    start = max(0, cut - again)
    found += buffer.feed(stream(start, 12))[0]
    assert not buffer.fault
    assert found == stream(0, 12)


def test_a_gap_or_a_missing_id_ends_the_use_of_a_stream():
    # Guards against joining the events of two different runs: an event id is missing in between, or
    # an event has none.
    buffer = events.EventBuffer(3)
    assert buffer.feed(stream(5, 6)) == (b"", 0)
    assert buffer.fault
    buffer = events.EventBuffer(None)
    buffer.feed(b"data: no id\n\n")
    assert buffer.fault


def test_an_event_without_end_is_bounded():
    # Guards against unbounded buffering of a stream that never ends its event.
    buffer = events.EventBuffer(None, max_bytes=100)
    buffer.feed(b"x" * 101)
    assert buffer.fault


@pytest.mark.parametrize("filler", [b": a\n\n", b"\n", b": a\n: b\n\n"])
def test_comments_and_blank_lines_without_an_event_are_bounded(filler):
    # Guards against a stream that keeps its caller and the processor with bytes that are no event.
    buffer = events.EventBuffer(None)
    part = filler * (4096 // len(filler))
    fed = 0
    while not buffer.fault:
        buffer.feed(part)
        fed += len(part)
        assert fed <= events.MAX_FILLER_BYTES + 2 * len(part)
    # Between events there may be as many again.
    buffer = events.EventBuffer(None)
    for number in range(50):
        buffer.feed(part + stream(number, number))
    assert not buffer.fault and buffer.last_id == 49


def test_events_that_are_repeated_without_end_are_bounded():
    # Guards against a stream that sends the same events over and over.
    buffer = events.EventBuffer(None)
    part = stream(0, 99)
    fed = 0
    while not buffer.fault:
        buffer.feed(part)
        fed += len(part)
        assert fed <= events.MAX_REPEATED_BYTES + 3 * len(part)
    # An engine may send all of a response again.
    buffer = events.EventBuffer(9_999)
    assert buffer.feed(stream(0, 10_000)) == (stream(10_000, 10_000), 1)


def test_incomplete_events_of_many_streams_share_a_budget():
    # Guards against a process that ends because many engines send an event without an end at once.
    budget = memory_budget.MemoryBudget()
    buffers = [events.EventBuffer(None, budget=budget) for _ in range(1000)]
    for _ in range(events.MAX_EVENT_BYTES // 4096):
        for buffer in buffers:
            buffer.feed(b"x" * 4096)
    most = memory_budget.LIMIT_BYTES + len(buffers) * events.SHORT_MAX_EVENT_BYTES
    assert budget.held_bytes <= most
    assert any(buffer.fault for buffer in buffers)
    # A stream with usual events goes on meanwhile.
    sound = events.EventBuffer(None, budget=budget)
    assert sound.feed(stream(0, 3) + b"id: 4\ndata") == (stream(0, 3), 4)
    for buffer in buffers:
        buffer.restart()
    sound.restart()
    assert budget.held_bytes == 0
