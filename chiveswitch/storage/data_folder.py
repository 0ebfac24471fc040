"""The data folder of a node: lock, node id, write-ahead log and snapshots.

The folder holds `lock`, `id`, `log/` and `snapshots/`. The id appears last at the first start, so
that a folder with an id and without a log or snapshot has lost files and is refused.
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
        node_id: Id that was drawn when the folder was first used.
        stored: State at the time of opening, for `consensus.Node`.
        cut_bytes: Bytes of a torn tail that recovery cut off.
    """

    __slots__ = ("node_id", "stored", "cut_bytes", "_files", "_path", "_lock", "_wal")

    def __init__(self, files: storage_files.Files, path: str, lock: int):
        self.node_id = ""
        self.stored = None
        self.cut_bytes = 0
        self._files = files
        self._path = path
        self._lock = lock
        self._wal = None

    def append(self, records: list[messages.Record]) -> None:
        """Adds the records of a `Persist` action to the next commit."""
        self._wal.append(records)

    def commit(self) -> expression.Result:
        """Makes all added records durable with one sync; see `wal.Wal.commit`."""
        return self._wal.commit()

    def save_snapshot(self, snapshot: messages.Snapshot) -> expression.Result:
        """Stores a snapshot durably and deletes the log segments that it covers.

        Records added before must be committed first.

        Returns:
            `Ok(None)` or a failure with `DISK_FULL` or `INTERNAL`. Segments that cannot be deleted
            are no failure; the next snapshot deletes them.
        """
        result = snapshots.save(self._files, f"{self._path}/snapshots", snapshot)
        if result.is_ok():
            self._wal.release(snapshot.index)
        return result

    def close(self) -> None:
        """Closes the log and releases the lock."""
        if self._wal is not None:
            self._wal.close()
        self._files.close(self._lock)

    def _first_start(self, new_id: Callable, first_configuration: Callable) -> expression.Result:
        files, path = self._files, self._path
        names = files.names(path)
        if "id.new" not in names and set(names) - {"lock", "id.new.tmp"}:
            return codes.failure(
                codes.Code.LOG_CORRUPT, "The data folder holds files but no node id."
            )
        # The name `id.new` marks an unfinished first start; what it left was never used under
        # any id.
        node_id = new_id()
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

    def _load(self, segment_bytes: int) -> expression.Result:
        self.node_id = self._files.read(f"{self._path}/id").decode()
        result = snapshots.load_latest(self._files, f"{self._path}/snapshots")
        if result.is_error():
            return result
        snapshot = result.ok
        result = wal.open_log(self._files, f"{self._path}/log", self.node_id, segment_bytes)
        if result.is_error():
            return result
        self._wal, recovered = result.ok
        self.cut_bytes = recovered.cut_bytes
        first = recovered.entries[0].index if recovered.entries else snapshot.index + 1
        reset_index = recovered.reset.index if recovered.reset is not None else 0
        if first > snapshot.index + 1 or reset_index > snapshot.index:
            return codes.failure(
                codes.Code.LOG_CORRUPT,
                f"The log starts at entry {first}, behind the snapshot at {snapshot.index}.",
            )
        entries = _entries_after(snapshot, recovered)
        self.stored = messages.StoredState(recovered.hard_state, snapshot, entries)
        if entries or recovered.last_position() == (snapshot.index, snapshot.term):
            return expression.Ok(None)
        # A crash came between the snapshot of a leader and the record of the reset. Without the
        # record, the next entry would not fit to the old ones.
        self._wal.append([messages.LogReset(snapshot.index, snapshot.term)])
        return self._wal.commit()


def _entries_after(snapshot: messages.Snapshot, recovered: wal.Recovered) -> list[messages.Entry]:
    """Returns the entries that continue a snapshot; none if the log took another course."""
    for entry in recovered.entries:
        if entry.index == snapshot.index and entry.term != snapshot.term:
            return []
    return [entry for entry in recovered.entries if entry.index > snapshot.index]


def open_folder(
    files: storage_files.Files,
    path: str,
    new_id: Callable[[], str],
    first_configuration: Callable[[str], messages.Configuration] | None = None,
    segment_bytes: int = 4 * 1024 * 1024,
) -> expression.Result:
    """Locks and opens a data folder; an empty one gets a new node id.

    Args:
        files: File operations.
        path: The data folder.
        new_id: Draws a node id that no other node has or had, for an empty folder.
        first_configuration: Returns the first configuration of a new log for the drawn id. None for
            a node that joins an existing log.
        segment_bytes: Size in bytes from which a new log segment is started.

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
            result = folder._first_start(new_id, first_configuration)
        if result.is_ok():
            result = folder._load(segment_bytes)
    except OSError as error:
        result = storage_files.as_failure(error, "Opening the data folder")
    if result.is_error():
        folder.close()
        return result
    return expression.Ok(folder)
