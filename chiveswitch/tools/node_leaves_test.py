"""Tests of leaves that hubs in one process pass to each other over real links."""

import asyncio
import errno
import time
import types

import expression

from chiveswitch.core import clock, target_table
from chiveswitch.peers import hub, hub_test, kinds, leave_store, links, strict
from chiveswitch.storage import wal_test
from chiveswitch.tools import node_leaves, processes
from features import platform_standins

thrift = hub.hub_thrift
target = hub_test.target


class SlowFiles(wal_test.FakeFiles):
    """Files whose syncs take time.

    Attributes:
        sync_s: Seconds that each sync takes.
    """

    def __init__(self):
        super().__init__()
        self.sync_s = 0.0

    def sync(self, handle):
        time.sleep(self.sync_s)
        super().sync(handle)


class HubNode:
    """The part of a node that concerns leaves: a hub, and links to the hubs of other nodes.

    Attributes:
        changes: `hub.Entry` of each change that the hub has published.
        received: Kinds of the messages that arrived.
        delay_s: Seconds by which each message is delayed, or None to answer none.
        known_kinds: Kinds of messages that it understands.
        files: `SlowFiles` of its data folder.
    """

    def __init__(self, members):
        self.settings = types.SimpleNamespace(peer_address=f"127.0.0.1:{processes.free_port()}")
        self.changes = []
        self.received = []
        self.delay_s = 0.0
        self.known_kinds = {kinds.Kind.HUB_LEAVES}
        self.time = 0.0
        self.hub = hub.Hub(
            1.2,
            lambda: hub.Members(1, members),
            hub.PublishedBundle,
            self.is_member,
            self.changes.append,
            lambda: self.time,
        )
        self.files = SlowFiles()
        self.files.make_folder("data")
        self.leave_store = leave_store.LeaveStore(self.hub, self.files, "data")
        self.table = target_table.TargetTable()
        self.view = types.SimpleNamespace()
        self.log = types.SimpleNamespace(line=lambda *parts, **fields: None)
        self.forwarder = types.SimpleNamespace(spawn=asyncio.ensure_future)
        self.watcher = types.SimpleNamespace(state_by_address={})
        self.leaves = node_leaves.LeaveExchange(self)
        self._server = links.Server(
            {
                kinds.Kind.HUB_LEAVES: self._serve,
                kinds.Kind.HUB_REPORT: self._serve_announcement,
            }
        )

    def is_member(self):
        return True

    async def start(self):
        host, _, port = self.settings.peer_address.rpartition(":")
        await self._server.start(host, int(port))

    def connect(self, others):
        for other in others:
            address = other.settings.peer_address
            state = types.SimpleNamespace(link=links.Link(address))
            self.watcher.state_by_address[address] = state

    async def _serve(self, payload, trace):
        self.received.append(kinds.Kind.HUB_LEAVES)
        await asyncio.sleep(60.0 if self.delay_s is None else self.delay_s)
        if kinds.Kind.HUB_LEAVES not in self.known_kinds:
            return strict.decode(thrift.Report, b"")
        return await self.leaves.handler_by_kind[kinds.Kind.HUB_LEAVES](payload, trace)

    def _serve_announcement(self, payload, _trace):
        self.received.append(kinds.Kind.HUB_REPORT)
        self.hub.record_target_report(strict.decode(thrift.Report, payload).ok.target)
        return expression.Ok(strict.encode(thrift.ReportAnswer(accepted=True, hub_address="")))

    async def leave(self, report):
        """Stores a leave as a node does, and returns whether it is acknowledged."""
        self.hub.record_target_report(report)
        return await self.leaves.confirm(report)

    def published_states(self):
        """Returns (born_ms, state) of each published change of a target."""
        return [(each.report.born_ms, each.report.state) for each in self.changes]

    async def close(self):
        for state in self.watcher.state_by_address.values():
            await state.link.close()
        await self._server.close()
        await self.leave_store.close()


def run_with_hubs(count, scenario):
    async def with_hubs():
        members = []
        hubs = [HubNode(members) for _ in range(count)]
        members += [each.settings.peer_address for each in hubs]
        for each in hubs:
            await each.start()
        for each in hubs:
            each.connect([other for other in hubs if other is not each])
        try:
            await scenario(hubs)
        finally:
            for each in hubs:
                await each.close()

    asyncio.run(with_hubs())


GONE = target_table.GONE
DRAINING = target_table.DRAINING
READY = target_table.READY


def test_an_acknowledged_leave_is_published_by_a_majority_of_the_hubs():
    # Guards against a leave that only the hub which acknowledged it has ever had.
    async def scenario(hubs):
        assert await hubs[0].leave(target("t", state=DRAINING))
        stored = [each for each in hubs[1:] if each.published_states() == [(1, DRAINING)]]
        assert len(stored) >= 2
        # The other hubs get it as well, a moment later.
        await asyncio.sleep(0.1)
        assert all(each.published_states() == [(1, DRAINING)] for each in hubs)

    run_with_hubs(5, scenario)


def test_a_leave_is_acknowledged_beside_a_hub_that_does_not_answer():
    # Guards against workers that wait for the slowest hub.
    async def scenario(hubs):
        hubs[1].delay_s = None
        started = clock.now()
        assert await hubs[0].leave(target("t", state=GONE))
        assert clock.now() - started < 0.05
        assert hubs[2].published_states() == [(1, GONE)]

    run_with_hubs(3, scenario)


def test_a_leave_needs_a_majority_of_the_hubs():
    # Guards against an acknowledgement within the smaller part of a core, or by hubs that may be
    # lost together.
    async def scenario(hubs):
        for each in hubs[1:3]:
            each.delay_s = None
        assert await hubs[0].leave(target("t", state=GONE))
        hubs[3].delay_s = None
        assert not await hubs[0].leave(target("u", state=GONE))

    run_with_hubs(5, scenario)
    run_with_hubs(4, lose_half)


async def lose_half(hubs):
    for each in hubs[2:]:
        await each.close()
    assert not await hubs[0].leave(target("t", state=GONE))
    assert not hubs[0].hub.is_leave_confirmed(target("t", state=GONE))


def test_a_leave_that_no_other_hub_has_stored_is_not_acknowledged():
    async def scenario(hubs):
        for each in hubs[1:]:
            each.delay_s = None
        started = clock.now()
        assert not await hubs[0].leave(target("t", state=GONE))
        # A worker calls the next node a second after its call.
        assert clock.now() - started < 0.3
        await hubs[1]._server.close()
        await hubs[2]._server.close()
        assert not await hubs[0].leave(target("t", state=GONE))

    run_with_hubs(3, scenario)


def test_a_leave_is_acknowledged_when_a_majority_has_it_on_its_disks():
    # Guards against a leave that is lost when all processes end, and against workers that wait for
    # the slowest or a full disk.
    async def scenario(hubs):
        hubs[0].files.sync_s = 0.5
        assert await hubs[0].leave(target("t", state=GONE))
        hubs[1].files.errors_by_operation = {"sync": [errno.ENOSPC] * 9}
        assert not await hubs[0].leave(target("u", state=GONE))
        for each in hubs[1:3]:
            assert {"t", "u"} == {entry.report.target_id for entry in each.hub.leave_entries()}
        hubs[1].files.errors_by_operation = {}
        # The worker calls again, and the nodes have left it meanwhile.
        assert await hubs[0].leave(target("u", state=GONE))

    run_with_hubs(3, scenario)


def test_a_leave_is_acknowledged_although_all_disks_are_slow():
    # Guards against a worker that gets no acknowledgement within its second on machines whose disks
    # take a tenth of a second or two for a sync.
    async def scenario(hubs):
        for each in hubs:
            each.files.sync_s = 0.35
        assert await hubs[0].leave(target("t", state=GONE))
        # Hubs that do not answer are not waited for as long as a disk.
        for each in hubs:
            each.files.sync_s = 0.0
            each.delay_s = None
        started = clock.now()
        assert not await hubs[0].leave(target("u", state=GONE))
        assert clock.now() - started < 0.3

    run_with_hubs(3, scenario)


def test_a_leave_that_is_stored_late_is_acknowledged_when_it_is_repeated():
    # Guards against a worker that gets no acknowledgement at all from hubs that are slow.
    async def scenario(hubs):
        for each in hubs[1:]:
            each.delay_s = 0.3
        assert not await hubs[0].leave(target("t", state=DRAINING))
        await platform_standins.wait_until(
            lambda: hubs[0].hub.is_leave_confirmed(target("t", state=DRAINING))
        )
        started = clock.now()
        assert await hubs[0].leave(target("t", sequence=2, state=DRAINING))
        assert clock.now() - started < 0.05
        assert len(hubs[1].received) == 1

    run_with_hubs(3, scenario)


def test_a_core_of_few_machines_acknowledges_what_all_of_it_has_stored():
    async def scenario(hubs):
        assert await hubs[0].leave(target("t", state=GONE))
        assert all(each.published_states() == [(1, GONE)] for each in hubs)

    run_with_hubs(2, scenario)
    run_with_hubs(1, scenario)


def test_other_hubs_tell_older_heartbeats_and_new_starts_from_the_worker_that_left():
    # Guards against a late heartbeat, or one of an earlier start, that brings a worker back, and
    # against a new start under the same id that is not used.
    async def scenario(hubs):
        assert await hubs[0].leave(target("t", sequence=7, state=GONE, born_ms=5))
        await platform_standins.wait_until(lambda: hubs[1].changes)
        other = hubs[1].hub
        other.record_target_report(target("t", sequence=6, state=READY, born_ms=5))
        other.record_target_report(target("t", sequence=8, state=READY, born_ms=5))
        other.record_target_report(target("t", sequence=90, state=READY, born_ms=4))
        assert hubs[1].published_states() == [(5, GONE)]
        other.record_target_report(target("t", sequence=1, state=READY, born_ms=6))
        assert hubs[1].published_states() == [(5, GONE), (6, READY)]
        # A late repetition of the leave does not concern the new start.
        assert await hubs[0].leave(target("t", sequence=7, state=GONE, born_ms=5))
        assert await hubs[2].leave(target("t", sequence=7, state=GONE, born_ms=5))
        assert hubs[1].published_states() == [(5, GONE), (6, READY)]

    run_with_hubs(3, scenario)


def test_heartbeats_of_a_draining_worker_are_passed_on_once():
    # Guards against a message between all hubs for each heartbeat of each draining worker.
    async def scenario(hubs):
        for sequence in range(1, 20):
            assert await hubs[0].leave(target("t", sequence=sequence, state=DRAINING))
        assert len(hubs[1].received) == 1
        assert await hubs[0].leave(target("t", sequence=20, state=GONE))
        assert len(hubs[1].received) == 2
        assert await hubs[0].leave(target("t", sequence=1, born_ms=2, state=DRAINING))
        assert hubs[1].published_states()[-1] == (2, DRAINING)

    run_with_hubs(2, scenario)


def test_hubs_of_an_earlier_version_store_leaves_as_announcements():
    # Guards against leaves that nobody acknowledges while nodes are replaced by the next version.
    async def scenario(hubs):
        hubs[1].known_kinds.clear()
        assert await hubs[0].leave(target("t", state=GONE))
        assert hubs[1].received == [kinds.Kind.HUB_LEAVES, kinds.Kind.HUB_REPORT]
        assert hubs[1].published_states() == [(1, GONE)]

    run_with_hubs(2, scenario)


def test_a_hub_that_has_started_gets_the_leaves_that_it_lacks():
    # Guards against an older heartbeat that brings back a worker after a restart of all hubs.
    async def scenario(hubs):
        now = clock.now()
        table = hubs[0].table
        for number, state in enumerate((GONE, DRAINING, READY)):
            ready = hub.to_table_report(target(f"t{number}", address=f"a:{number}"))
            table.apply_report("h", ready, now)
            later = target(f"t{number}", sequence=2, state=state, address=f"a:{number}")
            table.apply_report("h", hub.to_table_report(later), now)
        # A target that was replaced at its address has not left.
        next_report = target("t3", born_ms=2, address="a:2")
        table.apply_report("h", hub.to_table_report(next_report), now)
        missing = hubs[0].view.known_leaves([])
        assert [(each.target_id, each.state) for each in missing] == [
            ("t0", GONE),
            ("t1", DRAINING),
        ]
        assert hubs[0].view.known_leaves(missing) == []
        assert [each.target_id for each in hubs[0].view.known_leaves(missing[:1])] == ["t1"]
        message = strict.encode(thrift.TargetReports(reports=missing))
        link = hubs[0].watcher.state_by_address[hubs[1].settings.peer_address].link
        assert (await link.call(kinds.Kind.HUB_LEAVES, message, 1.0)).is_ok()
        hubs[1].hub.record_target_report(target("t0", address="a:0"))
        assert hubs[1].published_states() == [(1, GONE), (1, DRAINING)]
        # Only leaves are taken on this way.
        message = strict.encode(thrift.TargetReports(reports=[target("t9")]))
        assert (await link.call(kinds.Kind.HUB_LEAVES, message, 1.0)).is_ok()
        assert len(hubs[1].changes) == 2

    run_with_hubs(2, scenario)


def test_a_thousand_leaves_a_minute_are_forgotten_after_a_while():
    # Guards against hubs whose memory grows with each worker that has left.
    async def scenario(hubs):
        for number in range(1000):
            assert await hubs[0].leave(target(f"t{number}", state=GONE))
        retention_s = hub.RETENTION_SECONDS_BY_KIND["targets"]
        for each in hubs:
            assert len(each.hub._entry_by_key) == 1000
            each.time = retention_s + 1.0
            each.hub.sweep()
            assert each.hub._entry_by_key == {}

    run_with_hubs(2, scenario)
