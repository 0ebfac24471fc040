"""Encodes and decodes the journal's messages with thriftpy2 (binary protocol, cython).

thriftpy2's cython memory buffer has no bounds checks: it reads past the end of a truncated frame
without an error, allocates any length that a string announces, and loops over any announced number
of elements of an unknown type. `_check_struct` therefore validates each frame first, so that the
decoder only gets frames whose lengths, types and required fields are valid.
"""

import math
import struct

import expression
import thriftpy2.protocol.cybin as cybin
import thriftpy2.thrift as thrift
import thriftpy2.transport.memory as memory

from chiveswitch.core import codes, journal
from chiveswitch.peers import strict

idl = strict.load("journal.thrift", "journal_thrift")

MAX_DEPTH = 16
FIXED_SIZE_BY_TYPE = {
    thrift.TType.BOOL: 1,
    thrift.TType.BYTE: 1,
    thrift.TType.DOUBLE: 8,
    thrift.TType.I16: 2,
    thrift.TType.I32: 4,
    thrift.TType.I64: 8,
}
# Both text and binary fields have the type STRING on the wire.
WIRE_TYPE_BY_TYPE = {thrift.TType.BINARY: thrift.TType.STRING}
REFUSAL_CODES = (codes.Code.EPOCH_SUPERSEDED, codes.Code.QUEUE_FULL)

_I32 = struct.Struct(">i")
_FIELD_HEADER = struct.Struct(">bh")
_LIST_HEADER = struct.Struct(">bi")
_protocols = cybin.TCyBinaryProtocolFactory(strict_decode=True)


class _InvalidFrameError(Exception):
    """Raised inside this module only; `decode` returns it as FRAME_INVALID."""


def encode(message) -> bytes:
    """Returns the frame of a message record of `core.journal`, without a length prefix.

    Raises:
        ValueError: A batch holds an entry of another owner, which is a bug in the caller.
    """
    name, to_struct = ENCODER_BY_TYPE[type(message)]
    buffer = memory.TCyMemoryBuffer()
    _protocols.get_protocol(buffer).write_struct(idl.JournalMessage(**{name: to_struct(message)}))
    return buffer.getvalue()


def decode(frame: bytes) -> expression.Result:
    """Returns Ok with the message record in a frame, or FRAME_INVALID for any other bytes."""
    try:
        if _check_struct(frame, 0, idl.JournalMessage, MAX_DEPTH) != len(frame):
            raise _InvalidFrameError("trailing bytes after the message")
        message = idl.JournalMessage()
        _protocols.get_protocol(memory.TCyMemoryBuffer(frame)).read_struct(message)
        present = [(k, v) for k, v in vars(message).items() if v is not None]
        if len(present) != 1:
            raise _InvalidFrameError(f"{len(present)} messages instead of one")
        name, body = present[0]
        return expression.Ok(DECODER_BY_NAME[name](body))
    except (_InvalidFrameError, struct.error, IndexError, UnicodeDecodeError) as error:
        return codes.failure(codes.Code.FRAME_INVALID, f"The frame is invalid: {error}.")


def _check_struct(frame, position, struct_class, depth):
    """Returns the position after a struct.

    Args:
        frame: The frame that contains the struct.
        position: Start of the struct.
        struct_class: Its class, or None for the value of an unknown field.
        depth: Number of further nested levels that are allowed.

    Raises:
        _InvalidFrameError: The decoder could not read the struct safely.
        struct.error, IndexError: The frame ends inside the struct.
    """
    if not depth:
        raise _InvalidFrameError("nested too deep")
    spec_by_id = {} if struct_class is None else struct_class.thrift_spec
    seen = set()
    while True:
        field_type = frame[position]
        if field_type == thrift.TType.STOP:
            position += 1
            break
        field_type, field_id = _FIELD_HEADER.unpack_from(frame, position)
        position += _FIELD_HEADER.size
        spec = spec_by_id.get(field_id)
        if spec is None:
            # A field that a newer version has added is checked like any other, because the decoder
            # reads its bytes to skip it.
            position = _check_value(frame, position, field_type, None, depth)
            continue
        if field_type != WIRE_TYPE_BY_TYPE.get(spec[0], spec[0]):
            raise _InvalidFrameError(f"field {spec[1]} has type {field_type}")
        if field_id in seen:
            raise _InvalidFrameError(f"field {spec[1]} is repeated")
        seen.add(field_id)
        detail = spec[2] if len(spec) > 3 else None
        position = _check_value(frame, position, field_type, detail, depth)
    for field_id, spec in spec_by_id.items():
        if spec[-1] and field_id not in seen:
            raise _InvalidFrameError(f"field {spec[1]} is missing")
    return position


def _check_value(frame, position, value_type, detail, depth):
    size = FIXED_SIZE_BY_TYPE.get(value_type)
    if size is not None:
        return _check_end(frame, position + size)
    if value_type == thrift.TType.STRING:
        (size,) = _I32.unpack_from(frame, position)
        if size < 0:
            raise _InvalidFrameError("negative length")
        return _check_end(frame, position + 4 + size)
    if value_type == thrift.TType.STRUCT:
        return _check_struct(frame, position, detail, depth - 1)
    if value_type in (thrift.TType.LIST, thrift.TType.SET):
        return _check_list(frame, position, detail, depth - 1)
    # No message has a map, and newer versions must not add one.
    raise _InvalidFrameError(f"type {value_type} is not used")


def _check_list(frame, position, detail, depth):
    if not depth:
        raise _InvalidFrameError("nested too deep")
    element_type, count = _LIST_HEADER.unpack_from(frame, position)
    position += _LIST_HEADER.size
    if count < 0:
        raise _InvalidFrameError("negative count")
    element_detail = None
    if detail is not None:
        expected_type, element_detail = detail if isinstance(detail, tuple) else (detail, None)
        if element_type != WIRE_TYPE_BY_TYPE.get(expected_type, expected_type):
            raise _InvalidFrameError(f"list of type {element_type}")
    size = FIXED_SIZE_BY_TYPE.get(element_type)
    if size is not None:
        return _check_end(frame, position + size * count)
    if element_type == thrift.TType.STRING:
        # Each element occupies at least its length prefix; this check bounds the loop below.
        _check_end(frame, position + 4 * count)
        unpack = _I32.unpack_from
        for _ in range(count):
            (size,) = unpack(frame, position)
            if size < 0:
                raise _InvalidFrameError("negative length")
            position += 4 + size
        return _check_end(frame, position)
    for _ in range(count):
        position = _check_value(frame, position, element_type, element_detail, depth)
    return position


def _check_end(frame, position):
    if position > len(frame):
        raise _InvalidFrameError("truncated")
    return position


def _epoch_to_struct(epoch):
    return idl.Epoch(*epoch)


def _epoch_from_struct(epoch):
    return (epoch.counter, epoch.gateway)


def _epochs_to_struct(epochs):
    return [_epoch_to_struct(epoch) for epoch in epochs] or None


def _epochs_from_struct(epochs):
    return tuple(_epoch_from_struct(epoch) for epoch in epochs or ())


def _config_to_struct(config):
    return idl.Config(config.version, config.holders, config.previous_holders)


def _config_from_struct(config):
    if not config.holders:
        raise _InvalidFrameError("a configuration without holders")
    return journal.Config(config.version, config.holders, config.previous_holders)


def _attempt_to_struct(attempt):
    return None if attempt is None else idl.Attempt(attempt.engine, attempt.number)


def _attempt_from_struct(attempt):
    return None if attempt is None else journal.Attempt(attempt.engine, attempt.number)


def _snapshot_to_struct(snapshot):
    return idl.Snapshot(
        _config_to_struct(snapshot.config),
        snapshot.header,
        snapshot.keep_s,
        snapshot.generation,
        snapshot.tokens,
        snapshot.end,
        _attempt_to_struct(snapshot.attempt),
    )


def _snapshot_from_struct(snapshot):
    # A retention time of NaN would compare as already passed.
    if not 0 <= snapshot.keep_s < math.inf:
        raise _InvalidFrameError(f"retention time of {snapshot.keep_s} s")
    return journal.Snapshot(
        _config_from_struct(snapshot.config),
        snapshot.header,
        snapshot.keep_s,
        snapshot.generation,
        snapshot.tokens,
        snapshot.end_offset,
        _attempt_from_struct(snapshot.attempt),
    )


def _code_from_number(code):
    if code not in REFUSAL_CODES:
        raise _InvalidFrameError(f"refusal code {code}")
    return codes.Code(code)


# (function that converts to thrift, function that converts back) by field name, for fields whose
# representations differ.
CONVERSION_BY_FIELD = {
    "epoch": (_epoch_to_struct, _epoch_from_struct),
    "promised": (_epoch_to_struct, _epoch_from_struct),
    "accepted": (_epoch_to_struct, _epoch_from_struct),
    "config": (_config_to_struct, _config_from_struct),
    "snapshot": (_snapshot_to_struct, _snapshot_from_struct),
    "code": (int, _code_from_number),
    "finished": (bool, bool),
    "finished_epochs": (_epochs_to_struct, _epochs_from_struct),
}


def _field_conversions(record_class, struct_class):
    """Returns (record field, thrift field, conversion or None) of each field after the key."""
    names = [name for name in record_class.__slots__ if name != "key"]
    specs = [struct_class.thrift_spec[each] for each in sorted(struct_class.thrift_spec)][2:]
    return [
        (name, spec[1], CONVERSION_BY_FIELD.get(name))
        for name, spec in zip(names, specs, strict=True)
    ]


def _build_encoder(record_class, struct_class):
    conversions = _field_conversions(record_class, struct_class)

    def to_struct(message):
        values = []
        for name, _, conversion in conversions:
            value = getattr(message, name)
            values.append(value if conversion is None else conversion[0](value))
        return struct_class(*message.key, *values)

    return to_struct


def _build_decoder(record_class, struct_class):
    conversions = _field_conversions(record_class, struct_class)

    def to_record(body):
        values = []
        for _, name, conversion in conversions:
            value = getattr(body, name)
            values.append(value if conversion is None else conversion[1](value))
        return record_class((body.account, body.request_id), *values)

    return to_record


def _append_batch_to_struct(batch):
    entries, owner = batch.entries, batch.owner
    tokens, ends, attempt_entries, attempts = [], [], [], []
    for number, entry in enumerate(entries):
        if entry.epoch[1] != owner:
            raise ValueError(f"an entry of {entry.epoch[1]} in a batch of {owner}")
        tokens += entry.tokens
        ends.append(-1 if entry.end is None else entry.end)
        if entry.attempt is not None:
            attempt_entries.append(number)
            attempts.append(_attempt_to_struct(entry.attempt))
    return idl.AppendBatch(
        owner,
        [entry.key[0] for entry in entries],
        [entry.key[1] for entry in entries],
        [entry.epoch[0] for entry in entries],
        [entry.config_version for entry in entries],
        [entry.generation for entry in entries],
        [entry.offset for entry in entries],
        [len(entry.tokens) for entry in entries],
        tokens,
        ends,
        attempt_entries,
        attempts,
    )


def _append_batch_from_struct(body):
    owner, tokens, count = body.owner, body.tokens, len(body.accounts)
    columns = (
        body.request_ids,
        body.counters,
        body.config_versions,
        body.generations,
        body.offsets,
        body.token_counts,
        body.ends,
    )
    if any(len(column) != count for column in columns):
        raise _InvalidFrameError("columns of different lengths")
    if min(body.token_counts, default=0) < 0 or sum(body.token_counts) != len(tokens):
        raise _InvalidFrameError("token counts that do not match the tokens")
    if min(body.offsets, default=0) < 0:
        raise _InvalidFrameError("negative offset")
    append, first, entries = journal.Append, 0, []
    for account, request_id, counter, version, generation, offset, length, end in zip(
        body.accounts, *columns, strict=True
    ):
        last = first + length
        entries.append(
            append(
                (account, request_id),
                (counter, owner),
                version,
                generation,
                offset,
                tokens[first:last],
                None if end < 0 else end,
            )
        )
        first = last
    if len(body.attempt_entries) != len(body.attempts):
        raise _InvalidFrameError("columns of different lengths")
    for number, attempt in zip(body.attempt_entries, body.attempts, strict=True):
        if not 0 <= number < count:
            raise _InvalidFrameError(f"an attempt note for entry {number} of {count}")
        entries[number].attempt = _attempt_from_struct(attempt)
    return journal.AppendBatch(owner, entries)


def _reply_batch_to_struct(batch):
    owner = batch.owner
    accepted, others = [], {journal.Gap: [], journal.Refused: [], journal.Unknown: []}
    for entry in batch.entries:
        if entry.epoch[1] != owner:
            raise ValueError(f"an entry of {entry.epoch[1]} in a batch of {owner}")
        if type(entry) is journal.Accepted:
            accepted.append(entry)
        else:
            others[type(entry)].append(ENCODER_BY_TYPE[type(entry)][1](entry))
    return idl.ReplyBatch(
        owner,
        [entry.key[0] for entry in accepted],
        [entry.key[1] for entry in accepted],
        [entry.epoch[0] for entry in accepted],
        [entry.config_version for entry in accepted],
        [entry.generation for entry in accepted],
        [entry.length for entry in accepted],
        [entry.ended for entry in accepted],
        [entry.attempt_number for entry in accepted],
        *others.values(),
    )


def _reply_batch_from_struct(body):
    owner, count = body.owner, len(body.accounts)
    columns = (
        body.request_ids,
        body.counters,
        body.config_versions,
        body.generations,
        body.lengths,
        body.ended,
        body.attempt_numbers,
    )
    if any(len(column) != count for column in columns):
        raise _InvalidFrameError("columns of different lengths")
    accepted = journal.Accepted
    entries = [
        accepted((account, request_id), (counter, owner), *rest)
        for account, request_id, counter, *rest in zip(body.accounts, *columns, strict=True)
    ]
    for name, replies in (
        ("gap", body.gaps),
        ("refused", body.refusals),
        ("unknown", body.unknowns),
    ):
        entries += [DECODER_BY_NAME[name](reply) for reply in replies]
    if any(entry.epoch[1] != owner for entry in entries[count:]):
        raise _InvalidFrameError("an entry of another owner in the batch")
    return journal.ReplyBatch(owner, entries)


def _append_to_struct(message):
    return _append_batch_to_struct(journal.AppendBatch(message.epoch[1], [message]))


# (field of JournalMessage, function that builds its struct) by class of the message record.
ENCODER_BY_TYPE = {
    journal.AppendBatch: ("append_batch", _append_batch_to_struct),
    journal.ReplyBatch: ("reply_batch", _reply_batch_to_struct),
    # A single append is sent as a batch of one entry.
    journal.Append: ("append_batch", _append_to_struct),
}
# Function that builds the message record, by field of JournalMessage.
DECODER_BY_NAME = {
    "append_batch": _append_batch_from_struct,
    "reply_batch": _reply_batch_from_struct,
}
for _name, _record_class in (
    ("install", journal.Install),
    ("configure", journal.Configure),
    ("promise", journal.Promise),
    ("lookup", journal.Lookup),
    ("release", journal.Release),
    ("accepted", journal.Accepted),
    ("gap", journal.Gap),
    ("refused", journal.Refused),
    ("unknown", journal.Unknown),
    ("promised", journal.Promised),
    ("found", journal.Found),
    ("released", journal.Released),
):
    _struct_class = getattr(idl, _record_class.__name__)
    ENCODER_BY_TYPE[_record_class] = (_name, _build_encoder(_record_class, _struct_class))
    DECODER_BY_NAME[_name] = _build_decoder(_record_class, _struct_class)
