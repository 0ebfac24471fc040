"""Bytes of the pull messages between gateways, in the `thrift` binary protocol."""

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
_TICKS_PER_S = 100
_CHECKSUM_BYTES = 8


def encode_request(request: directory.PullRequest) -> bytes:
    """Returns the bytes of a pull request."""
    return _write(
        _IDL.PullRequest(
            asker=request.asker,
            gateway_id=request.gateway_id,
            incarnation=request.incarnation,
            watermark=request.watermark,
            wanted=list(request.wanted),
        )
    )


def decode_request(data: bytes) -> expression.Result:
    """Returns the `PullRequest` in the bytes, or FRAME_INVALID."""
    return _read(data, _IDL.PullRequest, _request_of)


def encode_answer(answer: directory.PullAnswer) -> bytes:
    """Returns the bytes of a pull response. Ages are rounded up, so that they remain bounds."""
    rows = answer.rows
    return _write(
        _IDL.PullAnswer(
            gateway_id=answer.gateway_id,
            incarnation=answer.incarnation,
            since=answer.since,
            watermark=answer.watermark,
            digests=[row.digest for row in rows],
            sequences=[row.sequence for row in rows],
            ages=[min(_MAX_I16, math.ceil(row.age * _TICKS_PER_S)) for row in rows],
            states=[directory.STATES.index(row.state) for row in rows],
            running=[min(_MAX_I16, row.running) for row in rows],
            queued=[min(_MAX_I16, row.queued) for row in rows],
            descriptions=[_description_to_wire(each) for each in answer.descriptions],
        )
    )


def decode_answer(data: bytes) -> expression.Result:
    """Returns the `PullAnswer` in the bytes, or FRAME_INVALID."""
    return _read(data, _IDL.PullAnswer, _answer_of)


def _write(struct):
    buffer = memory.TCyMemoryBuffer()
    protocol = cybin.TCyBinaryProtocol(buffer)
    protocol.write_struct(struct)
    protocol.write_message_end()
    body = buffer.getvalue()
    return xxhash.xxh64_digest(body) + body


def _read(data, struct_class, build):
    # The library trusts the lengths in its input: damaged bytes make it allocate up to 2 GB, and
    # past the end of a shortened message it reads memory that was never written. So it only gets
    # bytes whose checksum matches.
    body = data[_CHECKSUM_BYTES:]
    if xxhash.xxh64_digest(body) != data[:_CHECKSUM_BYTES]:
        return codes.failure(codes.Code.FRAME_INVALID, "The pull message is damaged.")
    # The library raises errors of many classes for a message of another shape, among them
    # AttributeError, TypeError and its own, so that only the base class covers all of them.
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


def _request_of(struct):
    if not 0 <= struct.watermark <= _MAX_I64:
        raise ValueError("watermark")
    return directory.PullRequest(
        struct.asker, struct.gateway_id, struct.incarnation, struct.watermark, struct.wanted
    )


def _answer_of(struct):
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
            digest, sequence, age / _TICKS_PER_S, directory.STATES[state], running, queued
        )
        rows.append(row)
    descriptions = [_description_of(each) for each in struct.descriptions]
    return directory.PullAnswer(
        struct.gateway_id, struct.incarnation, struct.since, struct.watermark, rows, descriptions
    )


def _description_to_wire(description):
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


def _description_of(struct):
    if struct.kind < 0 or struct.capacity < 1:
        raise ValueError("kind or capacity")
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
