"""A small file that is replaced as a whole and carries a checksum."""

import zlib

import expression

from chiveswitch.core import codes
from chiveswitch.storage import files as storage_files

_MAGIC = b"CSFILE1\n"
_CHECKSUM_BYTES = 4


def save(files: storage_files.Files, folder: str, name: str, content: bytes) -> expression.Result:
    """Writes a file durably; after a failure, the earlier content is intact.

    Returns:
        `Ok(None)`, or a failure with `DISK_FULL` or `INTERNAL`.
    """
    checksum = zlib.crc32(content).to_bytes(_CHECKSUM_BYTES, "little")
    try:
        storage_files.write_file(files, folder, name, _MAGIC + checksum + content)
    except OSError as error:
        return storage_files.as_failure(error, f"Writing {name}")
    return expression.Ok(None)


def load(files: storage_files.Files, folder: str, name: str) -> expression.Result:
    """Returns `Ok` with the content of a file, or with None if there is no file of that name.

    A failure has `LOG_CORRUPT` if the file is damaged, and `INTERNAL` if it cannot be read.
    """
    try:
        if name not in files.names(folder):
            return expression.Ok(None)
        data = files.read(f"{folder}/{name}")
    except OSError as error:
        return storage_files.as_failure(error, f"Reading {name}")
    start = len(_MAGIC) + _CHECKSUM_BYTES
    checksum = int.from_bytes(data[len(_MAGIC) : start], "little")
    if not data.startswith(_MAGIC) or zlib.crc32(data[start:]) != checksum:
        return codes.failure(codes.Code.LOG_CORRUPT, f"{name} is damaged.")
    return expression.Ok(data[start:])
