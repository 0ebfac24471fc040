"""Encodes and decodes the messages between the members of the replicated log.

A message is a byte with the number of its class, followed by a thrift struct. Decoding is strict:
bytes that do not fit the IDL, or that hold numbers which no member sends, are FRAME_INVALID and
never reach the consensus node.
"""

import expression
import orjson

from chiveswitch.core import codes
from chiveswitch.core import consensus_messages as messages
from chiveswitch.peers import strict

idl = strict.load("consensus.thrift")

# The numbers are part of the wire format and never reused.
MESSAGE_CLASS_BY_NUMBER = {
    1: messages.PreVoteRequest,
    2: messages.PreVoteResponse,
    3: messages.VoteRequest,
    4: messages.VoteResponse,
    5: messages.AppendRequest,
    6: messages.AppendResponse,
    7: messages.SnapshotChunk,
    8: messages.SnapshotAck,
}
NUMBER_BY_MESSAGE_CLASS = {
    record_class: number for number, record_class in MESSAGE_CLASS_BY_NUMBER.items()
}
VALID_ENTRY_KINDS = frozenset(int(kind) for kind in messages.EntryKind)


def encode(message: messages.Record) -> bytes:
    """Returns the encoding of a peer message of `consensus_messages`."""
    message_class = type(message)
    values = {name: getattr(message, name) for name in message_class.__slots__}
    if message_class is messages.AppendRequest:
        values["entries"] = [
            idl.Entry(index=entry.index, term=entry.term, kind=int(entry.kind), data=entry.data)
            for entry in message.entries
        ]
    elif message_class is messages.SnapshotChunk:
        values["configuration"] = message.configuration.encode()
    struct_class = getattr(idl, message_class.__name__)
    return bytes([NUMBER_BY_MESSAGE_CLASS[message_class]]) + strict.encode(struct_class(**values))


def decode(data: bytes) -> expression.Result:
    """Returns Ok with the decoded message, or FRAME_INVALID."""
    message_class = MESSAGE_CLASS_BY_NUMBER.get(data[0]) if data else None
    if message_class is None:
        return codes.failure(codes.Code.FRAME_INVALID, "the message has an unknown kind")
    decoded = strict.decode(getattr(idl, message_class.__name__), data[1:])
    if decoded.is_error():
        return decoded
    values = {name: getattr(decoded.ok, name) for name in message_class.__slots__}
    if any(type(value) is int and value < 0 for value in values.values()):
        return codes.failure(codes.Code.FRAME_INVALID, "the message holds a negative number")
    if message_class is messages.AppendRequest:
        entries = _decode_entries(values["entries"], values["previous_index"])
        if entries is None:
            return codes.failure(codes.Code.FRAME_INVALID, "the entries are not consecutive")
        values["entries"] = entries
    elif message_class is messages.SnapshotChunk:
        configuration = _decode_configuration(values["configuration"])
        if configuration is None:
            return codes.failure(codes.Code.FRAME_INVALID, "the configuration is not valid")
        values["configuration"] = configuration
    return expression.Ok(message_class(**values))


def _decode_entries(structs, previous_index):
    """Returns the entries, or None if one is invalid or does not follow the one before it."""
    entries = []
    for offset, struct in enumerate(structs):
        if struct.index != previous_index + 1 + offset or struct.term < 0:
            return None
        if struct.kind not in VALID_ENTRY_KINDS:
            return None
        # A configuration that cannot be decoded would stop the node when it is applied.
        if (
            struct.kind == messages.EntryKind.CONFIGURATION
            and _decode_configuration(struct.data) is None
        ):
            return None
        kind = messages.EntryKind(struct.kind)
        entries.append(messages.Entry(struct.index, struct.term, kind, struct.data))
    return entries


def _decode_configuration(data):
    """Returns the decoded configuration, or None if the bytes are not valid."""
    try:
        fields = orjson.loads(data)
    except orjson.JSONDecodeError:
        return None
    if not isinstance(fields, dict) or set(fields) != {"voters", "learners"}:
        return None
    for members in fields.values():
        if not isinstance(members, dict):
            return None
        if not all(isinstance(address, str) for address in members.values()):
            return None
    return messages.Configuration(fields["voters"], fields["learners"])


def encode_frame(to: str, sender: str, address: str, batch: list[messages.Record]) -> bytes:
    """Encodes all messages for one member into one frame.

    Args:
        to: Id of the receiving member.
        sender: Id of the sending member.
        address: Address of the sending member.
        batch: The messages in their order.
    """
    encoded = [encode(message) for message in batch]
    return strict.encode(idl.Frame(to=to, sender=sender, address=address, messages=encoded))


def decode_frame(data: bytes) -> expression.Result:
    """Returns Ok with (to, sender, address, messages), or FRAME_INVALID if any part is invalid."""
    decoded = strict.decode(idl.Frame, data)
    if decoded.is_error():
        return decoded
    frame = decoded.ok
    batch = []
    for encoded in frame.messages:
        message = decode(encoded)
        if message.is_error():
            return message
        batch.append(message.ok)
    return expression.Ok((frame.to, frame.sender, frame.address, batch))
