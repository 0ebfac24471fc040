"""Tests of the journal's codec: round trips, and FRAME_INVALID for invalid bytes."""

import hypothesis
import hypothesis.strategies as st

from chiveswitch.core import codes, journal
from chiveswitch.peers import journal_codec

TEXT = st.text(st.characters(exclude_categories=["Cs"]), max_size=6)
NUMBER = st.integers(0, 2**62)
KEY = st.tuples(TEXT, TEXT)
EPOCH = st.tuples(NUMBER, TEXT)
HOLDERS = st.lists(TEXT, min_size=1, max_size=5)
CONFIG = st.builds(journal.Config, NUMBER, HOLDERS, st.lists(TEXT, max_size=5))
ATTEMPT = st.none() | st.builds(journal.Attempt, TEXT, NUMBER)
END = st.none() | NUMBER
TOKENS = st.lists(TEXT, max_size=6)
SNAPSHOT = st.builds(
    journal.Snapshot,
    CONFIG,
    st.binary(max_size=9),
    st.floats(0, 1e6),
    NUMBER,
    TOKENS,
    END,
    ATTEMPT,
)
CODE = st.sampled_from([codes.Code.EPOCH_SUPERSEDED, codes.Code.QUEUE_FULL])


def batches(batch, entries):
    def of_owner(owner):
        epoch = st.tuples(NUMBER, st.just(owner))
        return st.builds(batch, st.just(owner), st.lists(entries(epoch), max_size=4))

    return TEXT.flatmap(of_owner)


def appends(epoch):
    return st.builds(journal.Append, KEY, epoch, NUMBER, NUMBER, NUMBER, TOKENS, END, ATTEMPT)


def accepted(epoch):
    return st.builds(journal.Accepted, KEY, epoch, NUMBER, NUMBER, NUMBER, st.booleans(), NUMBER)


def gaps(epoch):
    return st.builds(journal.Gap, KEY, epoch, NUMBER, st.integers(-1, 2**40))


def refusals(epoch):
    return st.builds(journal.Refused, KEY, epoch, CODE, EPOCH)


def unknowns(epoch):
    return st.builds(journal.Unknown, KEY, epoch)


MESSAGE = st.one_of(
    batches(journal.AppendBatch, appends),
    batches(journal.ReplyBatch, accepted),
    batches(journal.ReplyBatch, gaps),
    batches(journal.ReplyBatch, refusals),
    batches(journal.ReplyBatch, unknowns),
    st.builds(journal.Install, KEY, EPOCH, st.booleans(), SNAPSHOT),
    st.builds(journal.Configure, KEY, EPOCH, CONFIG),
    st.builds(journal.Promise, KEY, EPOCH),
    st.builds(journal.Lookup, KEY),
    st.builds(journal.Release, KEY, EPOCH, NUMBER),
    accepted(EPOCH),
    gaps(EPOCH),
    refusals(EPOCH),
    unknowns(EPOCH),
    st.builds(journal.Promised, KEY, EPOCH, EPOCH, SNAPSHOT),
    st.builds(journal.Found, KEY, EPOCH, EPOCH, CONFIG, NUMBER, NUMBER, END),
    st.builds(journal.Released, KEY, EPOCH),
)


@hypothesis.given(MESSAGE)
@hypothesis.settings(max_examples=200)
def test_round_trip(message):
    # Guards against a field that is lost, swapped or changed by encoding and decoding.
    assert journal_codec.decode(journal_codec.encode(message)).ok == message


def assert_valid_or_refused(frame):
    result = journal_codec.decode(frame)
    if result.is_error():
        assert result.error.code == codes.Code.FRAME_INVALID
        return
    # A decoded message must be valid, so that it can be encoded again.
    assert journal_codec.decode(journal_codec.encode(result.ok)).ok == result.ok


@hypothesis.given(MESSAGE, st.data())
@hypothesis.settings(max_examples=150)
def test_truncated_frames_are_refused(message, data):
    # Guards against reads past the end of the frame, which thriftpy2's cython buffer does not
    # detect.
    frame = journal_codec.encode(message)
    length = data.draw(st.integers(0, len(frame) - 1))
    assert journal_codec.decode(frame[:length]).error.code == codes.Code.FRAME_INVALID
    assert journal_codec.decode(frame + b"\0").error.code == codes.Code.FRAME_INVALID


@hypothesis.given(MESSAGE, st.lists(st.tuples(st.integers(0), st.integers(0, 255)), min_size=1))
@hypothesis.settings(max_examples=300)
def test_changed_frames_are_refused_or_valid(message, changes):
    # Guards against exceptions, endless loops and huge allocations on damaged frames.
    frame = bytearray(journal_codec.encode(message))
    for position, value in changes:
        frame[position % len(frame)] = value
    assert_valid_or_refused(bytes(frame))


@hypothesis.given(st.binary(max_size=80))
@hypothesis.settings(max_examples=600)
def test_random_bytes_are_refused_or_valid(frame):
    # Guards against exceptions when the bytes were not written by a peer.
    assert_valid_or_refused(frame)


def test_claimed_sizes_are_checked_before_they_are_used():
    # Guards against loops and allocations for announced sizes beyond the data, such as a list of
    # 2**31 elements or a string of 2 GiB.
    lookup = b"\x0c\x00\x06"
    for field in (
        b"\x0f\x00\x63\x01\x7f\xff\xff\xff",
        b"\x0f\x00\x63\x0b\x7f\xff\xff\xff",
        b"\x0b\x00\x01\x7f\xff\xff\xff",
        b"\x0b\x00\x01\xff\xff\xff\xff",
        b"\x0d\x00\x63\x0b\x0b\x7f\xff\xff\xff",
        b"\x0f\x00\x63" + b"\x0f\x00\x00\x00\x01" * 400,
    ):
        error = journal_codec.decode(lookup + field + b"\0" * 40).error
        assert error.code == codes.Code.FRAME_INVALID
