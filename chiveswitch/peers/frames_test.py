"""Tests of the frames between the system's processes."""

import asyncio

import hypothesis
import hypothesis.strategies as st

from chiveswitch.core import codes
from chiveswitch.peers import frames

PAYLOADS = st.one_of(st.binary(max_size=40), st.text(max_size=20).map(str.encode))


def envelope(payload=b"", version=frames.WIRE_VERSION):
    return frames.idl.Envelope(
        version=version,
        kind=10,
        request_id=7,
        is_reply=False,
        code=0,
        payload=payload,
        trace="",
    )


@hypothesis.given(PAYLOADS)
def test_payload_comes_back_as_bytes(payload):
    # Guards against a payload that arrives as str: thriftpy2 returns a binary field as str when its
    # bytes are valid UTF-8.
    result = frames.decode_envelope(frames.encode_frame(envelope(payload))[4:])
    assert result.ok.payload == payload


@hypothesis.given(st.lists(PAYLOADS, max_size=4))
def test_journal_messages_come_back_as_bytes(payloads):
    frame = frames.idl.JournalFrame(to="g1.1", sender="g2.1", messages=payloads)
    result = frames.decode_struct(frames.idl.JournalFrame(), frames.encode_struct(frame))
    assert result.ok.messages == payloads


@hypothesis.given(st.binary(max_size=60))
def test_arbitrary_bytes_are_refused_or_decoded(data):
    # Guards against exceptions and huge allocations when a faulty peer sends invalid bytes.
    result = frames.decode_envelope(data)
    assert result.is_ok() or result.error.code in (
        codes.Code.FRAME_INVALID,
        codes.Code.VERSION_UNSUPPORTED,
    )


@hypothesis.given(st.data())
def test_changed_envelopes_are_refused_or_decoded(data):
    encoded = bytearray(frames.encode_struct(envelope(b"payload")))
    at = data.draw(st.integers(0, len(encoded) - 1))
    encoded[at] = data.draw(st.integers(0, 255))
    result = frames.decode_envelope(bytes(encoded))
    assert result.is_ok() or result.error.code in (
        codes.Code.FRAME_INVALID,
        codes.Code.VERSION_UNSUPPORTED,
    )


def test_other_wire_versions_are_refused():
    # Guards against decoding a frame of an unknown format, as a peer may send it during a rolling
    # upgrade.
    result = frames.decode_envelope(frames.encode_struct(envelope(version=2)))
    assert result.error.code == codes.Code.VERSION_UNSUPPORTED


def test_oversized_frames_are_refused_before_they_are_read():
    async def read():
        reader = asyncio.StreamReader()
        reader.feed_data((frames.MAX_FRAME_BYTES + 1).to_bytes(4, "big"))
        return await frames.read_frame(reader)

    assert asyncio.run(read()).error.code == codes.Code.FRAME_TOO_LARGE
