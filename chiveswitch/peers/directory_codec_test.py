"""Tests of the codec for the directory's pull messages."""

import hypothesis
import hypothesis.strategies as st

from chiveswitch.core import codes, directory
from chiveswitch.peers import directory_codec

I64 = st.integers(-(1 << 63), (1 << 63) - 1)
COUNT = st.integers(0, 30000)
ROWS = st.builds(
    directory.Row,
    I64,
    st.integers(0, (1 << 31) - 1),
    st.floats(0, 300),
    st.sampled_from(directory.STATES),
    COUNT,
    COUNT,
)
DESCRIPTIONS = st.builds(
    directory.Description,
    st.text(max_size=5),
    st.sampled_from(directory.KINDS),
    st.text(max_size=3),
    st.text(max_size=5),
    COUNT,
    models=st.lists(st.tuples(st.text(max_size=3), st.text(max_size=3), st.just("1")), max_size=2),
    capacity=st.integers(1, 64),
    warm_prefixes=st.lists(I64, max_size=3),
    honours_fencing=st.booleans(),
    services=st.lists(st.text(max_size=3), max_size=2),
)
ANSWERS = st.builds(
    directory.PullAnswer,
    st.text(max_size=5),
    COUNT,
    COUNT,
    COUNT,
    st.lists(ROWS, max_size=4),
    st.lists(DESCRIPTIONS, max_size=2),
)


@hypothesis.given(ANSWERS)
def test_answer_round_trip_never_lowers_an_age(answer):
    # Guards against an entry that has a lower age after decoding, and against a description whose
    # digest differs at the receiver, which would then request it in each pull.
    decoded = directory_codec.decode_answer(directory_codec.encode_answer(answer)).ok
    assert [each.digest for each in decoded.descriptions] == [
        each.digest for each in answer.descriptions
    ]
    assert len(decoded.rows) == len(answer.rows)
    for before, after in zip(answer.rows, decoded.rows, strict=True):
        assert before.age <= after.age + 1e-9 <= before.age + 0.0101
        for name in ("digest", "sequence", "state", "running", "queued"):
            assert getattr(before, name) == getattr(after, name)


@hypothesis.given(ANSWERS, st.data())
def test_damaged_bytes_are_an_error_value(answer, data):
    # Guards against an exception that ends the task of the link, and against lengths in damaged
    # bytes that make thriftpy2 allocate gigabytes.
    encoded = bytearray(directory_codec.encode_answer(answer))
    cut = data.draw(st.integers(0, len(encoded) - 1))
    damaged = bytearray(encoded)
    damaged[cut] ^= data.draw(st.integers(1, 255))
    for each in (bytes(encoded[:cut]), bytes(damaged)):
        for decode in (directory_codec.decode_answer, directory_codec.decode_request):
            assert decode(each).error.code == codes.Code.FRAME_INVALID


@hypothesis.given(ANSWERS)
def test_message_of_another_kind_is_an_error_value(answer):
    # Guards against accepting an intact request as a response, or the reverse.
    request = directory_codec.encode_request(directory.PullRequest("g1", "g2", 7, 12, []))
    assert directory_codec.decode_answer(request).error.code == codes.Code.FRAME_INVALID
    encoded = directory_codec.encode_answer(answer)
    assert directory_codec.decode_request(encoded).error.code == codes.Code.FRAME_INVALID


def test_request_round_trip():
    request = directory.PullRequest("g1", "g2", 7, 12, [-5, 9])
    decoded = directory_codec.decode_request(directory_codec.encode_request(request)).ok
    for name in directory.PullRequest.__slots__:
        assert getattr(decoded, name) == getattr(request, name)
