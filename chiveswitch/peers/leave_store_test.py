"""Tests of the file with the leaves of a hub, on a simulated file system with power losses."""

import asyncio
import errno
import time

import pytest

from chiveswitch.core import target_table
from chiveswitch.peers import hub, hub_test, leave_store
from chiveswitch.storage import wal_test

target = hub_test.target
GONE, DRAINING, READY = target_table.GONE, target_table.DRAINING, target_table.READY


def start_hub(fake):
    """Returns a hub as after the start of its process, and its store."""
    fake.make_folder("data")
    started = hub.Hub(
        1.2, lambda: hub.Members(1, []), hub.PublishedBundle, lambda: True, lambda entry: None
    )
    store = leave_store.LeaveStore(started, fake, "data")
    store.restore()
    return started, store


def states(started):
    return {
        entry.report.target_id: (entry.report.born_ms, entry.report.state)
        for entry in started.leave_entries()
    }


def run(scenario):
    asyncio.run(scenario())


@pytest.mark.parametrize("keep", [0, 1 << 30])
def test_stored_leaves_outlive_a_power_loss_of_all_hubs(keep):
    # Guards against a worker that comes back because its leave was only in the memory of processes.
    async def scenario():
        fake = wal_test.FakeFiles()
        first, store = start_hub(fake)
        first.record_target_report(target("t0", sequence=9, state=GONE, born_ms=5))
        first.record_target_report(target("t1", sequence=9, state=DRAINING))
        first.record_target_report(target("t2", state=READY))
        assert await store.store()
        first.record_target_report(target("t3", state=GONE))
        fake.lose_power(keep, garble=False)
        second, _ = start_hub(fake)
        assert states(second) == {"t0": (5, GONE), "t1": (1, DRAINING)}
        second.record_target_report(target("t0", sequence=10, born_ms=5))
        second.record_target_report(target("t1", sequence=8))
        assert states(second) == {"t0": (5, GONE), "t1": (1, DRAINING)}
        second.record_target_report(target("t0", born_ms=6))
        assert "t0" not in states(second)

    run(scenario)


def test_leaves_that_a_hub_would_have_dropped_are_not_restored(monkeypatch):
    # Guards against a worker that starts under its old id after a long standstill and is not used.
    async def scenario():
        fake = wal_test.FakeFiles()
        first, store = start_hub(fake)
        first.record_target_report(target("t0", state=GONE))
        assert await store.store()
        now_ns = time.time_ns()
        retention_s = hub.RETENTION_SECONDS_BY_KIND["targets"]
        # The time of day may have been set back meanwhile.
        for passed_s, expected in ((-90, {"t0"}), (retention_s - 2, {"t0"}), (retention_s + 2, {})):
            shifted_ns = now_ns + int(passed_s * 1e9)
            monkeypatch.setattr(time, "time_ns", lambda value=shifted_ns: value)
            later, _ = start_hub(fake)
            assert set(states(later)) == set(expected), passed_s

    run(scenario)


def test_leaves_that_arrive_together_share_a_write():
    # Guards against a queue of syncs when many workers leave or many nodes tell a hub their leaves.
    async def scenario():
        fake = wal_test.FakeFiles()
        started, store = start_hub(fake)

        async def leave(number):
            started.record_target_report(target(f"t{number}", state=GONE))
            return await store.store()

        assert all(await asyncio.gather(*(leave(number) for number in range(100))))
        assert fake.syncs <= 2
        assert await leave(50)
        assert fake.syncs <= 2
        assert len(states(start_hub(fake)[0])) == 100

    run(scenario)


def test_leaves_are_stored_again_after_the_disk_was_full():
    # Guards against leaves that are acknowledged without a file, and against a store that stays
    # unusable.
    async def scenario():
        fake = wal_test.FakeFiles()
        started, store = start_hub(fake)
        started.record_target_report(target("t0", state=GONE))
        assert await store.store()
        for operation in ("create", "write", "sync", "rename", "sync_folder"):
            fake.errors_by_operation = {operation: [errno.ENOSPC]}
            started.record_target_report(target(f"by-{operation}", state=GONE))
            assert not await store.store()
            assert "t0" in states(start_hub(fake)[0])
            assert await store.store()
            assert f"by-{operation}" in states(start_hub(fake)[0])

    run(scenario)


def test_a_damaged_file_does_not_stop_a_hub():
    # Guards against a node that ends at its start, over and over, because of a lesser file.
    async def scenario():
        fake = wal_test.FakeFiles()
        started, store = start_hub(fake)
        started.record_target_report(target("t0", state=GONE))
        assert await store.store()
        content = fake.names_now["data/leaves"].data
        sound = bytes(content)
        for position in range(len(sound)):
            content[position] ^= 1
            assert states(start_hub(fake)[0]) == {}
            content[position] ^= 1
            del content[position:]
            assert states(start_hub(fake)[0]) == {}
            content[:] = sound
        assert "t0" in states(start_hub(fake)[0])

    run(scenario)
