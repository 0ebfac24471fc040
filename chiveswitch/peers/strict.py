"""Strict thrift decoding: every byte is checked against the IDL before the library reads it.

The library loops over announced element counts without comparing them with the bytes that are
there, so that a few hostile bytes can keep it busy for minutes. The check refuses such input, as
well as unknown, repeated, missing and reordered fields, wrong types and trailing bytes.
"""

import pathlib
import struct

import expression
from ply import lex, yacc
from thriftpy2 import thrift, utils
from thriftpy2.parser import parser as idl_parser

from chiveswitch.core import codes

SIZE_BY_TYPE = {
    thrift.TType.BOOL: 1,
    thrift.TType.BYTE: 1,
    thrift.TType.I16: 2,
    thrift.TType.I32: 4,
    thrift.TType.I64: 8,
    thrift.TType.DOUBLE: 8,
}
BINARY = thrift.TType.BINARY


class WireError(Exception):
    """Bytes that do not fit the IDL; never leaves this module."""


# Building the tables of the IDL grammar takes most of the time of a load, so all loads share them.
LEXER = lex.lex(module=idl_parser)
PARSER = yacc.yacc(module=idl_parser, debug=False, write_tables=False)


def load(file_name: str, module_name: str = ""):
    """Loads an IDL file of this package and returns its module of struct classes."""
    path = pathlib.Path(__file__).with_name(file_name)
    name = module_name or f"{path.stem}_thrift"
    return idl_parser.parse(str(path), name, lexer=LEXER, parser=PARSER)


def encode(record) -> bytes:
    """Returns the bytes of a struct."""
    return utils.serialize(record)


def decode(struct_class: type, data: bytes) -> expression.Result:
    """Decodes a struct.

    Args:
        struct_class: Class of the struct from `load`.
        data: The whole encoding, without trailing bytes.

    Returns:
        Ok with the struct, or FRAME_INVALID.
    """
    failure = find_fault(struct_class, data)
    if failure is not None:
        return expression.Error(failure)
    return expression.Ok(utils.deserialize(struct_class(), data))


def find_fault(struct_class: type, data: bytes):
    """Returns None if the bytes are a whole struct of the class, else a FRAME_INVALID `Failure`."""
    try:
        end = check_struct(struct_class, data, 0)
        if end != len(data):
            raise WireError("has trailing bytes")
    except (WireError, struct.error, IndexError, UnicodeDecodeError) as error:
        message = f"{struct_class.__name__} is not valid: {error}"
        return codes.Failure(codes.Code.FRAME_INVALID, message)
    return None


def check_struct(struct_class: type, data: bytes, at: int) -> int:
    """Checks a struct from a position and returns the position after it."""
    for field_id, spec in sorted(struct_class.thrift_spec.items()):
        kind, found_id = struct.unpack_from(">bh", data, at)
        # `binary` and `string` have the same type number on the wire.
        expected = thrift.TType.STRING if spec[0] == BINARY else spec[0]
        if (kind, found_id) != (expected, field_id):
            raise WireError(f"field {spec[1]} is missing or has another type")
        detail = spec[2] if len(spec) == 4 else None
        at = check_value(spec[0], detail, data, at + 3)
    if data[at] != thrift.TType.STOP:
        raise WireError("has an unknown field")
    return at + 1


def check_value(kind: int, detail, data: bytes, at: int) -> int:
    """Checks one value and returns the position after it."""
    if kind in SIZE_BY_TYPE:
        end = at + SIZE_BY_TYPE[kind]
        if end > len(data):
            raise WireError("is cut off")
        if kind == thrift.TType.BOOL and data[at] > 1:
            raise WireError("has a flag that is neither 0 nor 1")
        return end
    if kind in (thrift.TType.STRING, BINARY):
        (size,) = struct.unpack_from(">i", data, at)
        end = at + 4 + size
        if size < 0 or end > len(data):
            raise WireError("has a string longer than the data")
        if kind == thrift.TType.STRING:
            str(data[at + 4 : end], "utf-8")
        return end
    if kind == thrift.TType.STRUCT:
        return check_struct(detail, data, at)
    if kind != thrift.TType.LIST:
        raise WireError(f"uses type {kind}, which this check does not support")
    item_kind, item_detail = detail if isinstance(detail, tuple) else (detail, None)
    found_kind, count = struct.unpack_from(">bi", data, at)
    expected = thrift.TType.STRING if item_kind == BINARY else item_kind
    # Each element takes at least one byte.
    if found_kind != expected or not 0 <= count <= len(data) - at - 5:
        raise WireError("has a list of another type or longer than the data")
    at += 5
    for _ in range(count):
        at = check_value(item_kind, item_detail, data, at)
    return at
