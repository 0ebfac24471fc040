"""Frames between the system's processes: a four-byte length followed by a thrift envelope."""

import struct

import expression
from thriftpy2.protocol import cybin
from thriftpy2.transport import memory

from chiveswitch.core import codes
from chiveswitch.peers import strict

WIRE_VERSION = 1
MAX_FRAME_BYTES = 64 * 1024 * 1024
# Largest part of a frame that is read at once.
PART_BYTES = 256 * 1024
LENGTH_PREFIX = struct.Struct("!I")

idl = strict.load("link.thrift", "chiveswitch_link_thrift")


def encode_struct(value) -> bytes:
    """Returns the binary thrift encoding of a struct."""
    transport = memory.TCyMemoryBuffer()
    protocol = cybin.TCyBinaryProtocol(transport)
    protocol.write_struct(value)
    return transport.getvalue()


def decode_struct(value, data: bytes) -> expression.Result:
    """Fills an empty thrift struct from its binary encoding.

    Args:
        value: An empty instance of the struct's class.
        data: The encoded bytes.
    Returns:
        Ok with the filled struct, or FRAME_INVALID.
    """
    # thriftpy2's fast decoder does not verify lengths and counts, so they are checked first.
    failure = strict.find_fault(type(value), data)
    if failure is not None:
        return expression.Error(failure)
    cybin.TCyBinaryProtocol(memory.TCyMemoryBuffer(data)).read_struct(value)
    return expression.Ok(value)


def encode_ok(value) -> expression.Result:
    """Returns Ok with the encoding of a struct, in the form that a request handler returns."""
    return expression.Ok(encode_struct(value))


def encode_frame(envelope) -> bytes:
    """Returns the length-prefixed frame of an envelope."""
    data = encode_struct(envelope)
    return LENGTH_PREFIX.pack(len(data)) + data


def decode_envelope(data: bytes) -> expression.Result:
    """Decodes an envelope without its length prefix.

    Returns:
        Ok with the envelope, FRAME_INVALID, or VERSION_UNSUPPORTED for another wire version.
    """
    result = decode_struct(idl.Envelope(), data)
    if result.is_error():
        return result
    envelope = result.ok
    if envelope.version != WIRE_VERSION:
        return codes.failure(
            codes.Code.VERSION_UNSUPPORTED, f"wire version {envelope.version} is not supported"
        )
    if isinstance(envelope.payload, str):
        envelope.payload = envelope.payload.encode()
    return expression.Ok(envelope)


async def read_frame(
    reader, on_part=lambda size: None, max_bytes: int = MAX_FRAME_BYTES
) -> expression.Result:
    """Reads one frame from an asyncio stream.

    Args:
        reader: The stream.
        on_part: Called each time that a part of the frame has arrived and more is expected, with
            the number of bytes so far.
        max_bytes: Largest size of a frame.

    Returns:
        Ok with the envelope, LINK_CLOSED at the end of the stream or after a connection error,
        FRAME_TOO_LARGE above `max_bytes`, or an error of `decode_envelope`.
    """
    try:
        size = LENGTH_PREFIX.unpack(await reader.readexactly(LENGTH_PREFIX.size))[0]
        if size > max_bytes:
            return codes.failure(
                codes.Code.FRAME_TOO_LARGE,
                f"a frame of {size} bytes is too large",
            )
        data = bytearray()
        while len(data) < size:
            on_part(len(data))
            part = await reader.read(min(PART_BYTES, size - len(data)))
            if not part:
                return codes.failure(codes.Code.LINK_CLOSED, "the stream ended within a frame")
            data += part
    except (EOFError, OSError) as error:
        return codes.failure(codes.Code.LINK_CLOSED, repr(error))
    return decode_envelope(bytes(data))
