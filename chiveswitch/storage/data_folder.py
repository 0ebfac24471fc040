"""The data folder of a node: lock, node id, write-ahead log and snapshots.

The folder holds `lock`, `id`, `log/` and `snapshots/`. The first start creates `id` last, so that a
folder with an id but without a log or snapshot has lost files and is refused.
"""

from collections.abc import Callable

import expression

from chiveswitch.core import codes
from chiveswitch.core import consensus_messages as messages
from chiveswitch.storage import files as storage_files
from chiveswitch.storage import snapshots, wal


class DataFolder:
    """An open data folder; used by one task.

    Attributes:
        node_id: Id that was generated when the folder was first used.
        stored: State at the time of opening, for `consensus.Node`.
        truncated_bytes: Number of bytes of a torn tail that recovery truncated.
    """

    __slots__ = ("node_id", "stored", "truncated_bytes", "_files", "_path", "_lock", "_wal")

    def __init__(self, files: storage_files.Files, path: str, lock: int):
        self.node_id = ""
        self.stored = None
        self.truncated_bytes = 0
        self._files = files
        self._path = path
        self._lock = lock
        self._wal = None

    def append(self, records: list[messages.Record]) -> None:
        """Buffers the records of a `Persist` action for the next commit."""
        self._wal.append(records)

    def commit(self) -> expression.Result:
        """Makes all buffered records durable with one sync; see `wal.Wal.commit`."""
        return self._wal.commit()

    def save_snapshot(self, snapshot: messages.Snapshot) -> expression.Result:
        """Stores a snapshot durably and deletes the log segments that it covers.

        All appended records must be committed first.

        Returns:
            `Ok(None)` or a failure with `DISK_FULL` or `INTERNAL`. A segment that cannot be deleted
            is not a failure; it is deleted after the next snapshot.
        """
        result = snapshots.save(self._files, f"{self._path}/snapshots", snapshot)
        if result.is_ok():
            self._wal.delete_covered_segments(snapshot.index)
        return result

    def close(self) -> None:
        """Closes the log and releases the lock."""
        if self._wal is not None:
            self._wal.close()
        self._files.close(self._lock)

    def _initialize(
        self, generate_id: Callable, first_configuration: Callable
    ) -> expression.Result:
        files, path = self._files, self._path
        names = files.names(path)
        if "id.new" not in names and set(names) - {"lock", "id.new.tmp"}:
            return codes.failure(
                codes.Code.LOG_CORRUPT, "The data folder holds files but no node id."
            )
        # The file `id.new` marks an interrupted first start. The other files of that start were
        # never used under any id and are replaced.
        node_id = generate_id()
        storage_files.write_file(files, path, "id.new", node_id.encode())
        for part in ("log", "snapshots"):
            files.make_folder(f"{path}/{part}")
            for name in files.names(f"{path}/{part}"):
                files.remove(f"{path}/{part}/{name}")
        files.sync_folder(path)
        configuration = first_configuration(node_id) if first_configuration else None
        first = messages.initial_state(configuration).snapshot
        result = snapshots.save(files, f"{path}/snapshots", first)
        if result.is_ok():
            result = wal.create(files, f"{path}/log", node_id)
        if result.is_ok():
            files.rename(f"{path}/id.new", f"{path}/id")
            files.sync_folder(path)
        return result

    def _recover(self, segment_bytes: int) -> expression.Result:
        # An earlier process may have ended, or failed, between the change of a name and the sync of
        # its folder. A power loss must not undo a name on which the records of this process depend.
        for folder in (self._path, f"{self._path}/log", f"{self._path}/snapshots"):
            self._files.sync_folder(folder)
        self.node_id = self._files.read(f"{self._path}/id").decode()
        result = snapshots.load_latest(self._files, f"{self._path}/snapshots")
        if result.is_error():
            return result
        snapshot = result.ok
        result = wal.open_log(self._files, f"{self._path}/log", self.node_id, segment_bytes)
        if result.is_error():
            return result
        self._wal, recovered = result.ok
        self.truncated_bytes = recovered.truncated_bytes
        first = recovered.entries[0].index if recovered.entries else snapshot.index + 1
        reset_index = recovered.reset.index if recovered.reset is not None else 0
        if first > snapshot.index + 1 or reset_index > snapshot.index:
            return codes.failure(
                codes.Code.LOG_CORRUPT,
                f"The log starts at entry {first}, after the snapshot at {snapshot.index}.",
            )
        entries = _entries_after(snapshot, recovered)
        self.stored = messages.StoredState(recovered.hard_state, snapshot, entries)
        if entries or recovered.last_position() == (snapshot.index, snapshot.term):
            return expression.Ok(None)
        # The node crashed between storing a leader's snapshot and recording the reset of the log.
        # Without that record, the index of the next entry would not follow the old entries.
        self._wal.append([messages.LogReset(snapshot.index, snapshot.term)])
        return self._wal.commit()


def _entries_after(snapshot: messages.Snapshot, recovered: wal.Recovered) -> list[messages.Entry]:
    """Returns the entries after a snapshot, or an empty list if the log diverges from it."""
    for entry in recovered.entries:
        if entry.index == snapshot.index and entry.term != snapshot.term:
            return []
    return [entry for entry in recovered.entries if entry.index > snapshot.index]


def open_folder(
    files: storage_files.Files,
    path: str,
    generate_id: Callable[[], str],
    first_configuration: Callable[[str], messages.Configuration] | None = None,
    segment_bytes: int = 4 * 1024 * 1024,
) -> expression.Result:
    """Locks and opens a data folder; an empty one gets a new node id.

    Args:
        files: File operations.
        path: The data folder.
        generate_id: Function that returns a node id which no other node has or had, for an empty
            folder.
        first_configuration: Returns the first configuration of a new log for the generated id. None
            for a node that joins an existing log.
        segment_bytes: Size in bytes at which a log segment is full and the next commit starts a new
            one.

    Returns:
        `Ok(DataFolder)`. `Error` with `SETTING_INVALID` when another process uses the folder,
        `LOG_CORRUPT` when files are damaged or missing, `DISK_FULL` or `INTERNAL` when a file
        operation fails.
    """
    try:
        files.make_folder(path)
        lock = files.lock(f"{path}/lock")
    except BlockingIOError:
        return codes.failure(
            codes.Code.SETTING_INVALID, "The data folder is in use by another process."
        )
    except OSError as error:
        return storage_files.as_failure(error, "Locking the data folder")
    folder = DataFolder(files, path, lock)
    try:
        result = expression.Ok(None)
        if "id" not in files.names(path):
            result = folder._initialize(generate_id, first_configuration)
        if result.is_ok():
            result = folder._recover(segment_bytes)
    except OSError as error:
        result = storage_files.as_failure(error, "Opening the data folder")
    if result.is_error():
        folder.close()
        return result
    return expression.Ok(folder)
