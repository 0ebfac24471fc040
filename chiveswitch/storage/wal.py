"""Segmented write-ahead log of term, vote and entries.

A segment starts with a header record (node id, checksum salt, hard state) that is durable before
any other record is written after it. Each record has a magic number, its length, a CRC-32, a
sequence number that rises by one from record to record across all segments, and the last sequence
number that was durable when it was written. Recovery treats an invalid record as a torn tail unless
a later record proves that it had been durable.

After a sync that failed because the disk is full, the log goes on in a new segment. The header of a
segment supersedes all records with the same or a higher sequence number in the segment before it.
"""

import errno
import os
import struct
import zlib

import expression
import orjson

from chiveswitch.core import codes
from chiveswitch.core import consensus_messages as messages
from chiveswitch.storage import files as storage_files

_MAGIC = b"\xc5\x57\xa1\x0e"
# Magic number, CRC-32 of all bytes after it, body length, kind, sequence number, last durable
# sequence number.
_RECORD_HEADER = struct.Struct("<4sIIBQQ")
_CHECKSUM_START_BYTES = 8
_ENTRY_FIELDS = struct.Struct("<BQQ")
_RESET_FIELDS = struct.Struct("<QQ")

_KIND_SEGMENT_HEADER = 1
_KIND_HARD_STATE = 2
_KIND_ENTRY = 3
_KIND_RESET = 4

_SUFFIX = ".wal"

# Segment headers are padded to this size, so that a file of at most this size has no other record.
_SEGMENT_HEADER_BYTES = 512


class RawRecord:
    """A record of a segment with its body still encoded.

    Attributes:
        kind: One of the `_KIND_` constants.
        sequence: Sequence number.
        durable_sequence: Last sequence number that was durable when the record was written.
        body: Encoded content.
        end: Offset in the segment after the record.
    """

    __slots__ = ("kind", "sequence", "durable_sequence", "body", "end")

    def __init__(self, kind: int, sequence: int, durable_sequence: int, body: bytes, end: int):
        self.kind = kind
        self.sequence = sequence
        self.durable_sequence = durable_sequence
        self.body = body
        self.end = end


class Segment:
    """A segment file.

    Attributes:
        name: File name.
        last_index: Highest index of an entry that was ever written to it, 0 for none.
    """

    __slots__ = ("name", "last_index")

    def __init__(self, name: str, last_index: int = 0):
        self.name = name
        self.last_index = last_index


class Recovered:
    """The state that recovery reads from the segments.

    Attributes:
        hard_state: Last term and vote.
        reset: Last `LogReset`, or None.
        entries: Entries after the reset, contiguous by index.
        truncated_bytes: Number of bytes of a torn tail that were truncated.
    """

    __slots__ = ("hard_state", "reset", "entries", "truncated_bytes")

    def __init__(self):
        self.hard_state = messages.HardState(0, None)
        self.reset = None
        self.entries = []
        self.truncated_bytes = 0

    def last_position(self) -> tuple[int, int]:
        """Returns index and term of the last entry, else of the last reset, else (0, 0)."""
        if self.entries:
            return self.entries[-1].index, self.entries[-1].term
        return (self.reset.index, self.reset.term) if self.reset is not None else (0, 0)


def encode_record(salt: int, kind: int, sequence: int, durable_sequence: int, body: bytes) -> bytes:
    """Returns the encoding of a record.

    Args:
        salt: Start value of the checksum.
        kind: One of the `_KIND_` constants.
        sequence: Sequence number.
        durable_sequence: Last sequence number that is durable at present.
        body: Encoded content.
    """
    record_header = _RECORD_HEADER.pack(_MAGIC, 0, len(body), kind, sequence, durable_sequence)
    checksum = zlib.crc32(body, zlib.crc32(record_header[_CHECKSUM_START_BYTES:], salt))
    return (
        record_header[:4]
        + checksum.to_bytes(4, "little")
        + record_header[_CHECKSUM_START_BYTES:]
        + body
    )


def decode_record(data: bytes, offset: int, salt: int) -> RawRecord | None:
    """Returns the record at an offset, or None if no valid record starts there."""
    if offset + _RECORD_HEADER.size > len(data):
        return None
    magic, checksum, length, kind, sequence, durable_sequence = _RECORD_HEADER.unpack_from(
        data, offset
    )
    end = offset + _RECORD_HEADER.size + length
    if magic != _MAGIC or end > len(data):
        return None
    view = memoryview(data)
    if zlib.crc32(view[offset + _CHECKSUM_START_BYTES : end], salt) != checksum:
        return None
    return RawRecord(
        kind, sequence, durable_sequence, data[offset + _RECORD_HEADER.size : end], end
    )


def _encode_record_body(record: messages.Record) -> tuple[int, bytes]:
    if isinstance(record, messages.Entry):
        return (
            _KIND_ENTRY,
            _ENTRY_FIELDS.pack(record.kind, record.index, record.term) + record.data,
        )
    if isinstance(record, messages.HardState):
        return _KIND_HARD_STATE, orjson.dumps([record.term, record.vote])
    return _KIND_RESET, _RESET_FIELDS.pack(record.index, record.term)


def _apply_record(recovered: Recovered, raw: RawRecord) -> str | None:
    """Applies a record to the recovered state.

    Returns:
        Description of the fault if the record cannot be applied, else None.
    """
    try:
        if raw.kind == _KIND_HARD_STATE:
            recovered.hard_state = messages.HardState(*orjson.loads(raw.body))
            return None
        if raw.kind == _KIND_RESET:
            recovered.reset = messages.LogReset(*_RESET_FIELDS.unpack(raw.body))
            recovered.entries = []
            return None
        if raw.kind != _KIND_ENTRY:
            return f"kind {raw.kind} is unknown"
        number, index, term = _ENTRY_FIELDS.unpack_from(raw.body)
        kind = messages.EntryKind(number)
    except (struct.error, TypeError, ValueError) as error:
        return f"the content is invalid ({error})"
    entries = recovered.entries
    if entries and index > entries[-1].index + 1:
        return f"entry {index} follows entry {entries[-1].index}"
    if not entries and recovered.reset is not None and index != recovered.reset.index + 1:
        return f"entry {index} follows a reset to {recovered.reset.index}"
    if entries and index <= entries[-1].index:
        del entries[max(0, index - entries[0].index) :]
    entries.append(messages.Entry(index, term, kind, raw.body[_ENTRY_FIELDS.size :]))
    return None


def _is_proven_durable(data: bytes, offset: int, salt: int, sequence: int) -> bool:
    """Returns whether a valid record after an offset proves that record `sequence` was durable."""
    while True:
        offset = data.find(_MAGIC, offset + 1)
        if offset < 0:
            return False
        raw = decode_record(data, offset, salt)
        if raw is not None and raw.sequence > sequence and raw.durable_sequence >= sequence:
            return True


def _segment_name(sequence: int) -> str:
    """Returns the file name of the segment whose header has a sequence number."""
    return f"{sequence:020d}{_SUFFIX}"


def _corrupt(name: str, offset: int, fault: str) -> expression.Result:
    return codes.failure(
        codes.Code.LOG_CORRUPT, f"Segment {name} is corrupt at byte {offset}: {fault}."
    )


class Wal:
    """The open log; used by one task.

    `append` buffers records and `commit` makes all buffered records durable together.
    """

    __slots__ = (
        "_files",
        "_folder",
        "_node_id",
        "_segment_bytes",
        "_segments",
        "_handle",
        "_size",
        "_salt",
        "_sequence",
        "_durable_sequence",
        "_hard_state",
        "_pending",
        "_has_partial_write",
        "_is_abandoned",
        "_fault",
    )

    def __init__(self, files: storage_files.Files, folder: str, node_id: str, segment_bytes: int):
        self._files = files
        self._folder = folder
        self._node_id = node_id
        self._segment_bytes = segment_bytes
        self._segments = []
        self._handle = None
        self._size = 0
        self._salt = 0
        self._sequence = 0
        self._durable_sequence = 0
        self._hard_state = messages.HardState(0, None)
        self._pending = []
        self._has_partial_write = False
        # Whether a sync of the active segment failed, so that nothing may be written to it.
        self._is_abandoned = False
        self._fault = None

    def append(self, records: list[messages.Record]) -> None:
        """Buffers `HardState`, `Entry` and `LogReset` records for the next commit."""
        self._pending.extend(records)

    def commit(self) -> expression.Result:
        """Writes all buffered records and makes them durable with one sync.

        Returns:
            `Ok` with the sequence number of the last durable record. `Error` with `DISK_FULL` when
            the disk is full: no buffered record is acknowledged, the records stay buffered and the
            next commit retries them. `Error` with `INTERNAL` after a sync that failed for another
            reason: it is unknown then which records reached the disk, and all further commits fail
            until the log is opened again.
        """
        if self._fault is not None:
            return self._fault
        if not self._pending:
            return expression.Ok(self._durable_sequence)
        if self._has_partial_write:
            truncated = self._truncate_partial_write()
            if truncated.is_error():
                return truncated
        try:
            if self._is_abandoned or self._size >= self._segment_bytes:
                self._start_segment()
        except OSError as error:
            return storage_files.as_failure(error, "Creating a log segment")
        sequence = self._sequence
        chunks = []
        last_index = self._segments[-1].last_index
        hard_state = self._hard_state
        for record in self._pending:
            sequence += 1
            kind, body = _encode_record_body(record)
            chunks.append(encode_record(self._salt, kind, sequence, self._durable_sequence, body))
            if kind == _KIND_ENTRY:
                last_index = max(last_index, record.index)
            elif kind == _KIND_HARD_STATE:
                hard_state = record
        data = b"".join(chunks)
        try:
            storage_files.write_all(self._files, self._handle, data)
        except OSError as error:
            self._has_partial_write = True
            self._truncate_partial_write()
            return storage_files.as_failure(error, "Writing the log")
        try:
            self._files.sync(self._handle)
        except OSError as error:
            return self._abandon_segment(error)
        self._pending = []
        self._size += len(data)
        self._sequence = sequence
        self._durable_sequence = sequence
        self._segments[-1].last_index = last_index
        self._hard_state = hard_state
        return expression.Ok(sequence)

    def delete_covered_segments(self, index: int) -> expression.Result:
        """Deletes the oldest segments whose entries a durable snapshot at `index` covers.

        Returns:
            Ok with the number of deleted segments, or a failure.
        """
        removed = 0
        try:
            while len(self._segments) > 1 and self._segments[0].last_index <= index:
                try:
                    self._files.remove(f"{self._folder}/{self._segments[0].name}")
                except FileNotFoundError:
                    # An earlier call removed it and failed to sync the folder.
                    pass
                # A power loss may undo each removal that was not synced, and a log whose older
                # segment remains while a later one is missing is refused.
                self._files.sync_folder(self._folder)
                self._segments.pop(0)
                removed += 1
        except OSError as error:
            return storage_files.as_failure(error, "Deleting a log segment")
        return expression.Ok(removed)

    def close(self) -> None:
        """Closes the active segment; buffered records that were not committed are discarded."""
        if self._handle is not None:
            self._files.close(self._handle)
            self._handle = None

    def _truncate_partial_write(self) -> expression.Result:
        """Removes the bytes after the last durable record; the next commit retries a failure."""
        try:
            self._files.truncate(self._handle, self._size)
        except OSError as error:
            return storage_files.as_failure(error, "Truncating the log")
        self._has_partial_write = False
        return expression.Ok(None)

    def _abandon_segment(self, error: OSError) -> expression.Result:
        """Ends the use of the active segment after a failed sync.

        The kernel may drop the pages of a failed sync and report success for the next sync, so the
        buffered records must be written again to another file.
        """
        # The page cache may still hold the dropped pages. Without the truncation, a process that
        # opens the log next could read records that are not on the disk.
        self._has_partial_write = True
        self._truncate_partial_write()
        failure = storage_files.as_failure(error, "Syncing the log")
        if failure.error.code == codes.Code.DISK_FULL:
            self._is_abandoned = True
        else:
            self._fault = failure
        return failure

    def _start_segment(self) -> None:
        """Creates the next segment with a durable header; raises `OSError`."""
        # A segment without records is replaced, so that failed retries add no files. The first
        # segment is kept, because a log without a valid segment is refused.
        is_replaced = (
            self._is_abandoned and self._size == _SEGMENT_HEADER_BYTES and len(self._segments) > 1
        )
        sequence = self._sequence if is_replaced else self._sequence + 1
        name = _segment_name(sequence)
        salt_bytes = os.urandom(4)
        body = orjson.dumps(
            {
                "node_id": self._node_id,
                "salt": int.from_bytes(salt_bytes, "little"),
                "hard_state": [self._hard_state.term, self._hard_state.vote],
            }
        )
        if len(body) > _SEGMENT_HEADER_BYTES - _RECORD_HEADER.size:
            raise OSError(errno.EINVAL, "the node id is too long")
        padded = body.ljust(_SEGMENT_HEADER_BYTES - _RECORD_HEADER.size)
        data = encode_record(0, _KIND_SEGMENT_HEADER, sequence, sequence - 1, padded)
        path = f"{self._folder}/{name}"
        handle = self._files.create(path)
        try:
            storage_files.write_all(self._files, handle, data)
            self._files.sync(handle)
            self._files.sync_folder(self._folder)
        except OSError:
            self._files.close(handle)
            storage_files.remove_quietly(self._files, path)
            raise
        self.close()
        self._handle = handle
        self._size = len(data)
        self._salt = int.from_bytes(salt_bytes, "little")
        self._sequence = sequence
        self._durable_sequence = sequence
        if not is_replaced:
            self._segments.append(Segment(name))
        self._is_abandoned = False
        self._has_partial_write = False

    def _recover(self) -> expression.Result:
        """Reads all segments, truncates a torn tail and opens the last segment for appending."""
        recovered = Recovered()
        names = [name for name in self._files.names(self._folder) if name.endswith(_SUFFIX)]
        if not names:
            return codes.failure(codes.Code.LOG_CORRUPT, "The log has no segment.")
        recovered.truncated_bytes += self._remove_torn_segment(names)
        for position, name in enumerate(names):
            is_last = name == names[-1]
            data = self._files.read(f"{self._folder}/{name}")
            header = decode_record(data, 0, 0)
            if header is None:
                return _corrupt(name, 0, "the header is invalid")
            fault = self._apply_segment_header(recovered, header, name)
            if fault is not None:
                return _corrupt(name, 0, fault)
            segment = Segment(name)
            self._segments.append(segment)
            offset = header.end
            while offset < len(data):
                if not is_last and names[position + 1] == _segment_name(self._sequence + 1):
                    break
                raw = decode_record(data, offset, self._salt)
                if raw is None:
                    expected = self._sequence + 1
                    is_torn = is_last and not _is_proven_durable(data, offset, self._salt, expected)
                    if not is_torn:
                        return _corrupt(name, offset, "the record is invalid")
                    break
                if raw.sequence != self._sequence + 1:
                    return _corrupt(name, offset, "the sequence number is out of order")
                fault = _apply_record(recovered, raw)
                if fault is not None:
                    return _corrupt(name, offset, fault)
                if raw.kind == _KIND_ENTRY:
                    segment.last_index = max(segment.last_index, recovered.last_position()[0])
                self._sequence = raw.sequence
                offset = raw.end
            self._size = offset
        torn_bytes = len(data) - offset
        recovered.truncated_bytes += torn_bytes
        self._hard_state = recovered.hard_state
        self._handle = self._files.open(f"{self._folder}/{self._segments[-1].name}")
        if torn_bytes:
            self._files.truncate(self._handle, self._size)
        # Records of an interrupted commit may be readable without being durable. They are part of
        # the recovered state, so they must be made durable before anything depends on them.
        self._files.sync(self._handle)
        self._durable_sequence = self._sequence
        return expression.Ok(recovered)

    def _remove_torn_segment(self, names: list[str]) -> int:
        """Removes a last segment without a valid header; raises `OSError`.

        A segment header is durable before any record is written after it, so no record follows a
        torn header. The earlier segments then hold all records.

        Args:
            names: Names of all segments, from which the removed one is removed, too.

        Returns:
            Number of bytes removed.
        """
        data = self._files.read(f"{self._folder}/{names[-1]}")
        is_torn = decode_record(data, 0, 0) is None and len(data) <= _SEGMENT_HEADER_BYTES
        if not is_torn or len(names) == 1:
            return 0
        self._files.remove(f"{self._folder}/{names.pop()}")
        self._files.sync_folder(self._folder)
        return len(data)

    def _apply_segment_header(
        self, recovered: Recovered, header: RawRecord, name: str
    ) -> str | None:
        if header.kind != _KIND_SEGMENT_HEADER or header.end != _SEGMENT_HEADER_BYTES:
            return "the header is invalid"
        if name != _segment_name(header.sequence):
            return "the header does not belong to this file"
        if self._segments and header.sequence != self._sequence + 1:
            return "the segment before it is missing or incomplete"
        try:
            fields = orjson.loads(header.body)
            if fields["node_id"] != self._node_id:
                return "the segment belongs to another node"
            self._salt = fields["salt"]
            recovered.hard_state = messages.HardState(*fields["hard_state"])
        except (KeyError, TypeError, ValueError):
            return "the header is invalid"
        self._sequence = header.sequence
        return None


def create(files: storage_files.Files, folder: str, node_id: str) -> expression.Result:
    """Creates a log with one segment without entries; returns `Ok(None)` or a failure."""
    log = Wal(files, folder, node_id, 0)
    try:
        log._start_segment()
        log.close()
    except OSError as error:
        return storage_files.as_failure(error, "Creating the log")
    return expression.Ok(None)


def open_log(
    files: storage_files.Files, folder: str, node_id: str, segment_bytes: int = 4 * 1024 * 1024
) -> expression.Result:
    """Recovers and opens a log.

    Args:
        files: File operations.
        folder: Folder of the segments.
        node_id: Id that the header of each segment must contain.
        segment_bytes: Size in bytes at which a segment is full and the next commit starts a new
            one.

    Returns:
        `Ok((Wal, Recovered))`. `Error` with `LOG_CORRUPT` when a record that had been durable
        cannot be read, `DISK_FULL` or `INTERNAL` when a file operation fails.
    """
    log = Wal(files, folder, node_id, segment_bytes)
    try:
        result = log._recover()
    except OSError as error:
        log.close()
        return storage_files.as_failure(error, "Opening the log")
    if result.is_error():
        log.close()
        return result
    return expression.Ok((log, result.ok))
