"""Strict thrift decoding: every byte is checked against the IDL before thriftpy2 decodes it.

thriftpy2 loops over announced element counts without comparing them with the length of the data, so
that a few malicious bytes can keep it busy for minutes. The check refuses such input, and also
unknown, repeated, missing and reordered fields, wrong types and trailing bytes. Only a field that
the IDL declares optional may be missing.
"""

import pathlib
import struct

import expression
from ply import lex, yacc
from thriftpy2 import thrift, utils
from thriftpy2.parser import parser as idl_parser

from chiveswitch.core import codes

SIZE_BYTES_BY_TYPE = {
    thrift.TType.BOOL: 1,
    thrift.TType.BYTE: 1,
    thrift.TType.I16: 2,
    thrift.TType.I32: 4,
    thrift.TType.I64: 8,
    thrift.TType.DOUBLE: 8,
}
BINARY = thrift.TType.BINARY
RANGE_BY_TYPE = {
    thrift.TType.I16: range(-(2**15), 2**15),
    thrift.TType.I32: range(-(2**31), 2**31),
    thrift.TType.I64: range(-(2**63), 2**63),
}


class WireError(Exception):
    """Raised for bytes that do not fit the IDL; caught inside this module."""


# Most of the time of a load is spent on building the parser tables of the IDL grammar, so all loads
# share them.
LEXER = lex.lex(module=idl_parser)
PARSER = yacc.yacc(module=idl_parser, debug=False, write_tables=False)


def load(file_name: str, module_name: str = ""):
    """Loads an IDL file of this package and returns its module of struct classes."""
    path = pathlib.Path(__file__).with_name(file_name)
    name = module_name or f"{path.stem}_thrift"
    return idl_parser.parse(str(path), name, lexer=LEXER, parser=PARSER)


def integer_range(struct_class: type, field_name: str) -> range:
    """Returns the integers that a field of a struct can carry.

    Args:
        struct_class: Class of the struct from `load`.
        field_name: Name of an integer field.
    """
    for spec in struct_class.thrift_spec.values():
        if spec[1] == field_name:
            return RANGE_BY_TYPE[spec[0]]
    raise KeyError(field_name)


def encode(record) -> bytes:
    """Returns the encoding of a struct."""
    return utils.serialize(record)


def decode(struct_class: type, data: bytes) -> expression.Result:
    """Decodes a struct after checking its encoding.

    Args:
        struct_class: Class of the struct from `load`.
        data: The encoded struct and nothing after it.

    Returns:
        Ok with the struct, or FRAME_INVALID.
    """
    failure = find_fault(struct_class, data)
    if failure is not None:
        return expression.Error(failure)
    return expression.Ok(utils.deserialize(struct_class(), data))


def find_fault(struct_class: type, data: bytes):
    """Returns None if the bytes are exactly one struct of the class, else a `Failure`."""
    try:
        end = check_struct(struct_class, data, 0)
        if end != len(data):
            raise WireError("has trailing bytes")
    except (WireError, struct.error, IndexError, UnicodeDecodeError) as error:
        message = f"{struct_class.__name__} is not valid: {error}"
        return codes.Failure(codes.Code.FRAME_INVALID, message)
    return None


def check_struct(struct_class: type, data: bytes, offset: int) -> int:
    """Checks the struct at an offset and returns the offset after it; raises `WireError`."""
    for field_id, spec in sorted(struct_class.thrift_spec.items()):
        # The stop byte at the end of the data, where optional fields may be missing, has no id.
        if offset + 3 <= len(data):
            field_type, found_id = struct.unpack_from(">bh", data, offset)
        else:
            field_type, found_id = data[offset], None
        # `binary` and `string` have the same type number on the wire.
        expected = thrift.TType.STRING if spec[0] == BINARY else spec[0]
        if (field_type, found_id) != (expected, field_id):
            is_required = spec[-1]
            if not is_required:
                continue
            raise WireError(f"field {spec[1]} is missing or has another type")
        detail = spec[2] if len(spec) == 4 else None
        offset = check_value(spec[0], detail, data, offset + 3)
    if data[offset] != thrift.TType.STOP:
        raise WireError("has an unknown field")
    return offset + 1


def check_value(value_type: int, detail, data: bytes, offset: int) -> int:
    """Checks the value at an offset and returns the offset after it; raises `WireError`.

    Args:
        value_type: Number of the thrift type.
        detail: Class of a struct, or item type of a list, with the item's own detail if it has one.
        data: The encoded bytes.
        offset: Start of the value.
    """
    if value_type in SIZE_BYTES_BY_TYPE:
        end = offset + SIZE_BYTES_BY_TYPE[value_type]
        if end > len(data):
            raise WireError("is cut off")
        if value_type == thrift.TType.BOOL and data[offset] > 1:
            raise WireError("has a flag that is neither 0 nor 1")
        return end
    if value_type in (thrift.TType.STRING, BINARY):
        (size,) = struct.unpack_from(">i", data, offset)
        end = offset + 4 + size
        if size < 0 or end > len(data):
            raise WireError("has a string longer than the data")
        if value_type == thrift.TType.STRING:
            str(data[offset + 4 : end], "utf-8")
        return end
    if value_type == thrift.TType.STRUCT:
        return check_struct(detail, data, offset)
    if value_type != thrift.TType.LIST:
        raise WireError(f"uses type {value_type}, which this check does not support")
    item_type, item_detail = detail if isinstance(detail, tuple) else (detail, None)
    found_type, count = struct.unpack_from(">bi", data, offset)
    expected = thrift.TType.STRING if item_type == BINARY else item_type
    # Each element occupies at least one byte, which bounds the count by the length of the data.
    if found_type != expected or not 0 <= count <= len(data) - offset - 5:
        raise WireError("has a list of another type or longer than the data")
    offset += 5
    for _ in range(count):
        offset = check_value(item_type, item_detail, data, offset)
    return offset
