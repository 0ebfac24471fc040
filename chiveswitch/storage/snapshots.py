"""Snapshot files: written under a temporary name, synced, renamed, and verified when loaded."""

import struct
import zlib

import expression
import orjson

from chiveswitch.core import codes
from chiveswitch.core import consensus_messages as messages
from chiveswitch.storage import files as storage_files

_MAGIC = b"CSSNAP1\n"
# Magic number, CRC-32 of all bytes after it, length of the description, length of the state.
_FILE_HEADER = struct.Struct("<8sIIQ")
_CHECKSUM_START_BYTES = 12
_SUFFIX = ".snapshot"


def encode(snapshot: messages.Snapshot) -> bytes:
    """Returns the content of a snapshot file."""
    description = orjson.dumps(
        {
            "index": snapshot.index,
            "term": snapshot.term,
            "voters": snapshot.configuration.voters,
            "learners": snapshot.configuration.learners,
        }
    )
    header = _FILE_HEADER.pack(_MAGIC, 0, len(description), len(snapshot.data))
    body = header[_CHECKSUM_START_BYTES:] + description + snapshot.data
    return _MAGIC + zlib.crc32(body).to_bytes(4, "little") + body


def decode(content: bytes) -> messages.Snapshot | None:
    """Returns the snapshot in the content of a file, or None if the content is invalid."""
    if len(content) < _FILE_HEADER.size:
        return None
    magic, checksum, description_length, data_length = _FILE_HEADER.unpack_from(content)
    if magic != _MAGIC or len(content) != _FILE_HEADER.size + description_length + data_length:
        return None
    if zlib.crc32(memoryview(content)[_CHECKSUM_START_BYTES:]) != checksum:
        return None
    start = _FILE_HEADER.size + description_length
    try:
        fields = orjson.loads(content[_FILE_HEADER.size : start])
        configuration = messages.Configuration(fields["voters"], fields["learners"])
        return messages.Snapshot(fields["index"], fields["term"], configuration, content[start:])
    except (KeyError, TypeError, ValueError):
        return None


def save(files: storage_files.Files, folder: str, snapshot: messages.Snapshot) -> expression.Result:
    """Writes a snapshot durably and deletes the older ones.

    Returns:
        `Ok(None)`, or a failure with `DISK_FULL` or `INTERNAL`; the older snapshot is then intact.
    """
    name = f"{snapshot.index:020d}{_SUFFIX}"
    try:
        storage_files.write_file(files, folder, name, encode(snapshot))
        for other in files.names(folder):
            if other.endswith(_SUFFIX) and other < name:
                files.remove(f"{folder}/{other}")
        files.sync_folder(folder)
    except OSError as error:
        return storage_files.as_failure(error, "Writing a snapshot")
    return expression.Ok(None)


def load_latest(files: storage_files.Files, folder: str) -> expression.Result:
    """Loads the latest snapshot and deletes temporary files.

    Returns:
        `Ok(Snapshot)`. `Error` with `LOG_CORRUPT` when there is none or the latest is damaged: no
        older snapshot is used instead, because the log before the latest one may have been deleted,
        and entries would be lost.
    """
    try:
        names = files.names(folder)
        for name in names:
            if name.endswith(".tmp"):
                files.remove(f"{folder}/{name}")
        found = [name for name in names if name.endswith(_SUFFIX)]
        if not found:
            return codes.failure(codes.Code.LOG_CORRUPT, "There is no snapshot.")
        snapshot = decode(files.read(f"{folder}/{found[-1]}"))
    except OSError as error:
        return storage_files.as_failure(error, "Loading a snapshot")
    if snapshot is None or found[-1] != f"{snapshot.index:020d}{_SUFFIX}":
        return codes.failure(codes.Code.LOG_CORRUPT, f"Snapshot {found[-1]} is damaged.")
    return expression.Ok(snapshot)
