"""The file in which a hub keeps the leaves of targets, so that they outlive all processes.

A leave is the report that a target drains or has gone.
"""

import asyncio
import concurrent.futures
import logging
import time

from chiveswitch.peers import hub as hubs
from chiveswitch.peers import strict
from chiveswitch.storage import checked_file, files

log = logging.getLogger("chiveswitch.peers")

hub_thrift = hubs.hub_thrift

FILE_NAME = "leaves"


class LeaveStore:
    """Writes the leaves that a hub holds to its data folder, and restores them at the start."""

    __slots__ = (
        "_hub",
        "_files",
        "_folder",
        "_executor",
        "_writing",
        "_stored_position",
        "_encoded_by_position",
    )

    def __init__(self, hub: hubs.Hub, file_operations: files.Files, folder: str):
        """Prepares the store.

        Args:
            hub: The hub.
            file_operations: File operations.
            folder: Path of the data folder, which exists.
        """
        self._hub = hub
        self._files = file_operations
        self._folder = folder
        self._executor = concurrent.futures.ThreadPoolExecutor(1, "leaves")
        # Task of the write in progress, or None.
        self._writing = None
        # Value of `Hub.leave_position` up to which leaves are durable.
        self._stored_position = hub.leave_position
        # Encoded leaves of the last write, by the position of their entries.
        self._encoded_by_position = {}

    def restore(self):
        """Records the stored leaves in the hub, but those that it would not keep any more.

        A hub without its file is still sound, since other hubs and the nodes tell it their leaves.
        A file that cannot be read is therefore only logged.
        """
        loaded = checked_file.load(self._files, self._folder, FILE_NAME)
        if loaded.is_ok() and loaded.ok is None:
            return
        if loaded.is_ok():
            loaded = strict.decode(hub_thrift.StoredLeaves, loaded.ok)
        if loaded.is_error():
            log.warning("peers: the stored leaves are lost: %s", loaded.error.message)
            return
        now_ms = _time_of_day_ms()
        restored_count = 0
        for encoded in loaded.ok.leaves:
            decoded = strict.decode(hub_thrift.StoredLeave, encoded)
            if decoded.is_error():
                log.warning("peers: a stored leave is skipped: %s", decoded.error.message)
                continue
            age_s = (now_ms - decoded.ok.reported_at_ms) / hubs.MS_PER_SECOND
            if age_s > hubs.RETENTION_SECONDS_BY_KIND["targets"]:
                continue
            self._hub.record_target_report(decoded.ok.report)
            restored_count += 1
        self._stored_position = self._hub.leave_position
        log.info("peers: restored %s of %s leaves", restored_count, len(loaded.ok.leaves))

    async def store(self) -> bool:
        """Makes the leaves that the hub holds durable; returns whether they are."""
        position = self._hub.leave_position
        while self._stored_position < position:
            if self._writing is None:
                self._writing = asyncio.get_running_loop().create_task(self._write())
            # A caller that gives up must not end a write on which others wait.
            if not await asyncio.shield(self._writing):
                return False
        return True

    async def _write(self) -> bool:
        position = self._hub.leave_position
        earlier, self._encoded_by_position = self._encoded_by_position, {}
        for entry in self._hub.leave_entries():
            encoded = earlier.get(entry.position) or self._encode(entry)
            self._encoded_by_position[entry.position] = encoded
        leaves = list(self._encoded_by_position.values())
        content = strict.encode(hub_thrift.StoredLeaves(leaves=leaves))
        loop = asyncio.get_running_loop()
        try:
            result = await loop.run_in_executor(
                self._executor, checked_file.save, self._files, self._folder, FILE_NAME, content
            )
        finally:
            self._writing = None
        if result.is_error():
            log.warning("peers: %s leaves are not stored: %s", len(leaves), result.error.message)
            return False
        self._stored_position = position
        return True

    def _encode(self, entry):
        age_ms = int((self._hub.now() - entry.last_report_at) * hubs.MS_PER_SECOND)
        reported_at_ms = _time_of_day_ms() - age_ms
        return strict.encode(
            hub_thrift.StoredLeave(report=entry.report, reported_at_ms=reported_at_ms)
        )

    async def close(self):
        """Waits for the write in progress."""
        if self._writing is not None:
            await asyncio.wait([self._writing])
        self._executor.shutdown()


def _time_of_day_ms():
    return time.time_ns() // 1_000_000
