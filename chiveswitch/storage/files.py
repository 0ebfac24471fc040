"""File operations of the storage package, separated so that tests can inject faults."""

import errno
import fcntl
import os

import expression

from chiveswitch.core import codes


class Files:
    """File operations of the operating system.

    Each method raises `OSError` when the operation fails.
    """

    __slots__ = ()

    def make_folder(self, path: str) -> None:
        """Creates a folder unless it exists."""
        os.makedirs(path, exist_ok=True)

    def names(self, path: str) -> list[str]:
        """Returns the sorted names in a folder."""
        return sorted(os.listdir(path))

    def read(self, path: str) -> bytes:
        """Returns the content of a file as it is on the disk, as far as the system supports this.

        After a failed sync, the page cache may hold bytes that are not on the disk and that no
        later sync brings there.
        """
        with open(path, "rb") as file:
            try:
                os.posix_fadvise(file.fileno(), 0, 0, os.POSIX_FADV_DONTNEED)
            except OSError:
                pass
            return file.read()

    def create(self, path: str) -> int:
        """Creates an empty file, replacing an old one, and returns a handle for writing."""
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)

    def open(self, path: str) -> int:
        """Returns a handle for appending to a file."""
        return os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)

    def write(self, handle: int, data: bytes) -> int:
        """Writes at the end of a file and returns the number of bytes written."""
        return os.write(handle, data)

    def sync(self, handle: int) -> None:
        """Makes the content and the size of a file durable."""
        os.fdatasync(handle)

    def truncate(self, handle: int, size: int) -> None:
        """Truncates a file and moves the write position to its new end."""
        os.ftruncate(handle, size)
        os.lseek(handle, size, os.SEEK_SET)

    def close(self, handle: int) -> None:
        """Closes a handle."""
        os.close(handle)

    def rename(self, old: str, new: str) -> None:
        """Renames a file, replacing one of the new name."""
        os.replace(old, new)

    def remove(self, path: str) -> None:
        """Deletes a file."""
        os.unlink(path)

    def sync_folder(self, path: str) -> None:
        """Makes the directory entries of a folder durable."""
        handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def lock(self, path: str) -> int:
        """Locks a file for this process; raises `BlockingIOError` if it is locked already."""
        handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(handle)
            raise
        return handle


def write_all(files: Files, handle: int, data: bytes) -> None:
    """Writes all bytes, continuing after short writes; raises `OSError`."""
    view = memoryview(data)
    while view:
        written = files.write(handle, view)
        if written <= 0:
            raise OSError(errno.EIO, "write made no progress")
        view = view[written:]


def write_file(files: Files, folder: str, name: str, data: bytes) -> None:
    """Writes a whole file durably: temporary name, sync, rename, folder sync.

    Raises:
        OSError: The file could not be written; a file of that name is then unchanged.
    """
    temporary = f"{folder}/{name}.tmp"
    handle = files.create(temporary)
    try:
        try:
            write_all(files, handle, data)
            files.sync(handle)
        finally:
            files.close(handle)
        files.rename(temporary, f"{folder}/{name}")
    except OSError:
        remove_quietly(files, temporary)
        raise
    files.sync_folder(folder)


def remove_quietly(files: Files, path: str) -> None:
    """Deletes a file if possible; otherwise the next start deletes it."""
    try:
        files.remove(path)
    except OSError:
        pass


def as_failure(error: OSError, operation: str) -> expression.Result:
    """Returns a failure for a failed file operation: `DISK_FULL` or `INTERNAL`.

    Args:
        error: Error of the operating system.
        operation: Name of the operation, with which the message starts.
    """
    is_full = error.errno in (errno.ENOSPC, errno.EDQUOT)
    code = codes.Code.DISK_FULL if is_full else codes.Code.INTERNAL
    return codes.failure(code, f"{operation} failed: {error.strerror or error}.")
