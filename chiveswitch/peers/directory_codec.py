"""Encodes and decodes the pull messages between gateways in thrift's binary protocol."""

import math

import expression
import xxhash
from thriftpy2.protocol import cybin
from thriftpy2.transport import memory

from chiveswitch.core import codes, directory
from chiveswitch.peers import strict

_IDL = strict.load("directory.thrift", "directory_thrift")
_MAX_I16 = (1 << 15) - 1
_MAX_I64 = (1 << 63) - 1
_AGE_TICKS_PER_SECOND = 100
_CHECKSUM_BYTES = 8


def encode_request(request: directory.PullRequest) -> bytes:
    """Returns the encoding of a pull request."""
    return _encode_with_checksum(
        _IDL.PullRequest(
            asker=request.asker,
            gateway_id=request.gateway_id,
            incarnation=request.incarnation,
            watermark=request.watermark,
            wanted=list(request.wanted),
        )
    )


def decode_request(data: bytes) -> expression.Result:
    """Returns Ok with the decoded `PullRequest`, or FRAME_INVALID."""
    return _decode_with_checksum(data, _IDL.PullRequest, _request_from_struct)


def encode_answer(answer: directory.PullAnswer) -> bytes:
    """Returns the encoding of a pull response.

    Ages are rounded up, so that a decoded age is never below the real one.
    """
    rows = answer.rows
    return _encode_with_checksum(
        _IDL.PullAnswer(
            gateway_id=answer.gateway_id,
            incarnation=answer.incarnation,
            since=answer.since,
            watermark=answer.watermark,
            digests=[row.digest for row in rows],
            sequences=[row.sequence for row in rows],
            ages=[min(_MAX_I16, math.ceil(row.age * _AGE_TICKS_PER_SECOND)) for row in rows],
            states=[directory.STATES.index(row.state) for row in rows],
            running=[min(_MAX_I16, row.running) for row in rows],
            queued=[min(_MAX_I16, row.queued) for row in rows],
            descriptions=[_description_to_struct(each) for each in answer.descriptions],
        )
    )


def decode_answer(data: bytes) -> expression.Result:
    """Returns Ok with the decoded `PullAnswer`, or FRAME_INVALID."""
    return _decode_with_checksum(data, _IDL.PullAnswer, _answer_from_struct)


def _encode_with_checksum(struct):
    buffer = memory.TCyMemoryBuffer()
    protocol = cybin.TCyBinaryProtocol(buffer)
    protocol.write_struct(struct)
    protocol.write_message_end()
    body = buffer.getvalue()
    return xxhash.xxh64_digest(body) + body


def _decode_with_checksum(data, struct_class, build):
    # thriftpy2 does not verify the lengths in its input: damaged bytes make it allocate up to 2 GB,
    # and past the end of a truncated message it reads uninitialised memory. So it only gets bytes
    # whose checksum matches.
    body = data[_CHECKSUM_BYTES:]
    if xxhash.xxh64_digest(body) != data[:_CHECKSUM_BYTES]:
        return codes.failure(codes.Code.FRAME_INVALID, "The pull message is damaged.")
    # For a message of another type thriftpy2 raises errors of many classes, among them
    # AttributeError, TypeError and its own. Only the base class covers all of them.
    try:
        buffer = memory.TCyMemoryBuffer(body)
        struct = struct_class()
        cybin.TCyBinaryProtocol(buffer).read_struct(struct)
        if any(getattr(struct, spec[1]) is None for spec in struct.thrift_spec.values()):
            return codes.failure(codes.Code.FRAME_INVALID, "A field of the message is missing.")
        return expression.Ok(build(struct))
    except Exception as error:
        return codes.failure(
            codes.Code.FRAME_INVALID, f"The pull message cannot be read: {type(error).__name__}."
        )


def _request_from_struct(struct):
    if not 0 <= struct.watermark <= _MAX_I64:
        raise ValueError("watermark out of range")
    return directory.PullRequest(
        struct.asker, struct.gateway_id, struct.incarnation, struct.watermark, struct.wanted
    )


def _answer_from_struct(struct):
    columns = (
        struct.digests,
        struct.sequences,
        struct.ages,
        struct.states,
        struct.running,
        struct.queued,
    )
    if min(struct.since, struct.watermark, *struct.ages, *struct.states, 0) < 0:
        raise ValueError("negative number")
    rows = []
    for digest, sequence, age, state, running, queued in zip(*columns, strict=True):
        row = directory.Row(
            digest, sequence, age / _AGE_TICKS_PER_SECOND, directory.STATES[state], running, queued
        )
        rows.append(row)
    descriptions = [_description_from_struct(each) for each in struct.descriptions]
    return directory.PullAnswer(
        struct.gateway_id, struct.incarnation, struct.since, struct.watermark, rows, descriptions
    )


def _description_to_struct(description):
    models = [_IDL.Model(model=m, adapter=a, version=v) for m, a, v in description.models]
    return _IDL.Description(
        id=description.id,
        kind=directory.KINDS.index(description.kind),
        availability_zone=description.availability_zone,
        address=description.address,
        peer_address=description.peer_address,
        incarnation=description.incarnation,
        models=models,
        role=description.role,
        capacity=description.capacity,
        warm_prefixes=list(description.warm_prefixes),
        honours_fencing=description.honours_fencing,
        services=list(description.services),
    )


def _description_from_struct(struct):
    if struct.kind < 0 or struct.capacity < 1:
        raise ValueError("kind or capacity out of range")
    return directory.Description(
        id=struct.id,
        kind=directory.KINDS[struct.kind],
        availability_zone=struct.availability_zone,
        address=struct.address,
        incarnation=struct.incarnation,
        peer_address=struct.peer_address,
        models=[(each.model, each.adapter, each.version) for each in struct.models],
        role=struct.role,
        capacity=struct.capacity,
        warm_prefixes=struct.warm_prefixes,
        honours_fencing=struct.honours_fencing,
        services=struct.services,
    )
