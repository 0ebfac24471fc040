"""Tests of the codec for the messages between the members of the replicated log."""

import hypothesis
import hypothesis.strategies as st

from chiveswitch.core import codes
from chiveswitch.core import consensus_messages as messages
from chiveswitch.peers import consensus_codec

NUMBER = st.integers(0, (1 << 63) - 1)
MEMBERS = st.dictionaries(st.text(max_size=4), st.text(max_size=8), max_size=3)
CONFIGURATIONS = st.builds(messages.Configuration, MEMBERS, MEMBERS)


@st.composite
def entries(draw, previous):
    generated = []
    for offset in range(draw(st.integers(0, 3))):
        kind = draw(st.sampled_from(messages.EntryKind))
        data = draw(st.binary(max_size=20))
        if kind == messages.EntryKind.CONFIGURATION:
            data = draw(CONFIGURATIONS).encode()
        generated.append(messages.Entry(previous + 1 + offset, draw(NUMBER), kind, data))
    return generated


@st.composite
def append_requests(draw):
    previous = draw(st.integers(0, 1 << 62))
    return messages.AppendRequest(
        draw(NUMBER), previous, draw(NUMBER), draw(entries(previous)), draw(NUMBER), draw(NUMBER)
    )


MESSAGES = st.one_of(
    st.builds(messages.PreVoteRequest, NUMBER, NUMBER, NUMBER, NUMBER),
    st.builds(messages.PreVoteResponse, NUMBER, NUMBER, st.booleans()),
    st.builds(messages.VoteRequest, NUMBER, NUMBER, NUMBER),
    st.builds(messages.VoteResponse, NUMBER, st.booleans()),
    append_requests(),
    st.builds(messages.AppendResponse, NUMBER, st.booleans(), NUMBER, NUMBER, NUMBER),
    st.builds(
        messages.SnapshotChunk,
        *(NUMBER, NUMBER, NUMBER, CONFIGURATIONS, NUMBER, st.binary(max_size=20)),
        *(st.booleans(), NUMBER),
    ),
    st.builds(messages.SnapshotAck, NUMBER, NUMBER, NUMBER, NUMBER),
)


@hypothesis.given(st.lists(MESSAGES, max_size=4), st.text(max_size=4))
def test_frame_round_trip(batch, to):
    # Guards against a field that is lost, or a message that is decoded as another class.
    encoded = consensus_codec.encode_frame(to, "me", "127.0.0.1:1", batch)
    decoded = consensus_codec.decode_frame(encoded).ok
    assert decoded == (to, "me", "127.0.0.1:1", batch)
    assert [type(each) for each in decoded[3]] == [type(each) for each in batch]


@hypothesis.given(MESSAGES, st.data())
def test_damaged_message_never_raises(message, data):
    # Guards against an exception, which would end the member's main task: damaged bytes decode to
    # another valid message or give FRAME_INVALID.
    encoded = consensus_codec.encode(message)
    cut = data.draw(st.integers(0, len(encoded) - 1))
    assert consensus_codec.decode(encoded[:cut]).error.code == codes.Code.FRAME_INVALID
    damaged = bytearray(encoded)
    damaged[cut] ^= data.draw(st.integers(1, 255))
    decoded = consensus_codec.decode(bytes(damaged))
    if decoded.is_error():
        assert decoded.error.code == codes.Code.FRAME_INVALID
    else:
        assert consensus_codec.decode(consensus_codec.encode(decoded.ok)).ok == decoded.ok
    trailing = consensus_codec.decode(encoded + data.draw(st.binary(min_size=1, max_size=4)))
    assert trailing.error.code == codes.Code.FRAME_INVALID


@hypothesis.given(st.binary(max_size=60))
def test_arbitrary_bytes_are_refused(data):
    # Guards against lengths and counts beyond the data, which would allocate memory or cause loops
    # of minutes.
    for each in (consensus_codec.decode_frame(data), consensus_codec.decode(data)):
        assert each.is_ok() or each.error.code == codes.Code.FRAME_INVALID


def test_entries_that_do_not_follow_the_previous_one_are_refused():
    # Guards against a log with gaps: the node appends the entries of a message without comparing
    # their indices.
    entry = messages.Entry(9, 1, messages.EntryKind.COMMAND, b"")
    gap = messages.AppendRequest(1, 4, 1, [entry], 0, 0)
    negative = messages.AppendRequest(-1, 8, 1, [entry], 0, 0)
    broken = messages.Entry(9, 1, messages.EntryKind.CONFIGURATION, b"{}")
    unreadable = messages.AppendRequest(1, 8, 1, [broken], 0, 0)
    for request in (gap, negative, unreadable):
        result = consensus_codec.decode(consensus_codec.encode(request))
        assert result.error.code == codes.Code.FRAME_INVALID
