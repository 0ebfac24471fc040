"""A node's exchange of leaves with the hubs, so that an acknowledged leave survives lost machines.

A leave is the report that a target drains or has gone.
"""

import asyncio

import expression

from chiveswitch.core import codes, target_table
from chiveswitch.peers import hub, kinds, strict

hub_thrift = hub.hub_thrift

# Longest time in seconds to wait until other hubs have stored a leave. It is shorter than the time
# for which a node waits for a hub's acknowledgement (`node.HUB_ACK_TIMEOUT_SECONDS`).
CONFIRM_TIMEOUT_SECONDS = 0.2
# Further time in seconds to wait if the own disk has not stored the leave yet, as the disks of the
# others may be as slow. A worker waits for a second in all.
SLOW_DISK_SECONDS = 0.5
# Longest time in seconds for which a hub's answer is of use: a worker that got no acknowledgement
# repeats its leave, and is answered at once if the hubs have stored it meanwhile.
STORE_TIMEOUT_SECONDS = 1.0
# Leaves that a node passes to a hub that has started; further ones are left to other nodes.
MAX_RESTORED_LEAVES = 2000


class LeaveExchange:
    """Stores leaves at several hubs, and tells a hub that has started which ones are known.

    Attributes:
        handler_by_kind: Handlers of the messages of other nodes, by kind.
    """

    __slots__ = ("handler_by_kind", "_node")

    def __init__(self, node):
        """Connects the hub and the view of a node with other nodes.

        Args:
            node: The `node.Node`.
        """
        self.handler_by_kind = {kinds.Kind.HUB_LEAVES: self._serve_leaves}
        self._node = node
        node.view.known_leaves = self._known_leaves

    async def confirm(self, report) -> bool:
        """Has a leave that the own hub has stored published by other hubs as well.

        Args:
            report: A TargetReport of `hub_thrift`.

        Returns:
            Whether a majority of the hubs has the leave on its disks, so that it stays known after
            any loss that control survives, and after the end of all processes. After False the
            leave may be known to some hubs.
        """
        node = self._node
        if node.hub.is_leave_confirmed(report):
            return True
        addresses = set(node.hub.members().addresses) - {node.settings.peer_address}
        needed = (len(addresses) + 1) // 2 + 1
        states = [node.watcher.state_by_address.get(address) for address in addresses]
        # All hubs get the leave, also those that are not waited for.
        storing_here = node.forwarder.spawn(self._store_here())
        tasks = [storing_here]
        tasks += [
            node.forwarder.spawn(self._store(state, report))
            for state in states
            if state is not None
        ]
        counting = node.forwarder.spawn(self._count_stored(report, tasks, needed))
        await asyncio.wait([counting], timeout=CONFIRM_TIMEOUT_SECONDS)
        if not storing_here.done():
            await asyncio.wait([counting], timeout=SLOW_DISK_SECONDS)
        if counting.done():
            return counting.result()
        node.log.line("hub", "leave_unconfirmed", target=report.target_id, needed=needed)
        return False

    async def _count_stored(self, report, tasks, needed) -> bool:
        """Waits until enough tasks have stored a leave; returns whether they have."""
        stored_count = 0
        for next_task in asyncio.as_completed(tasks):
            stored_count += await next_task
            if stored_count >= needed:
                self._node.hub.confirm_leave(report)
                return True
        self._node.log.line(
            "hub", "leave_not_stored", target=report.target_id, stored=stored_count, needed=needed
        )
        return False

    async def _store_here(self) -> bool:
        """Stores the leaves of the own hub; returns False if that takes too long."""
        try:
            async with asyncio.timeout(STORE_TIMEOUT_SECONDS):
                return await self._node.leave_store.store()
        except TimeoutError:
            return False

    async def _store(self, state, report) -> bool:
        """Sends a leave to a hub and returns whether the hub has stored it."""
        payload = strict.encode(hub_thrift.TargetReports(reports=[report]))
        result = await state.link.call(kinds.Kind.HUB_LEAVES, payload, STORE_TIMEOUT_SECONDS)
        if result.is_ok() or result.error.code != codes.Code.FRAME_INVALID:
            return result.is_ok()
        # A hub of an earlier version takes it as the announcement of a target.
        payload = strict.encode(hub_thrift.Report(target=report))
        result = await state.link.call(kinds.Kind.HUB_REPORT, payload, STORE_TIMEOUT_SECONDS)
        if result.is_ok():
            result = strict.decode(hub_thrift.ReportAnswer, result.ok)
        return result.is_ok() and result.ok.accepted

    async def _serve_leaves(self, payload, _trace):
        decoded = strict.decode(hub_thrift.TargetReports, payload)
        if decoded.is_error():
            return decoded
        node = self._node
        if not node.is_member():
            return codes.failure(codes.Code.NOT_LEADER, "This node is no hub.")
        for report in decoded.ok.reports:
            if report.state in (target_table.DRAINING, target_table.GONE):
                node.hub.record_target_report(report)
        if not await node.leave_store.store():
            return codes.failure(codes.Code.INTERNAL, "The leaves cannot be written to the disk.")
        return expression.Ok(b"")

    def _known_leaves(self, hub_reports):
        """Returns the TargetReports of known leaves that are missing in the reports of a hub."""
        known_to_hub = {(each.target_id, each.born_ms, each.state) for each in hub_reports}
        reports = []
        for report in self._node.table.leave_reports():
            if (report.target_id, report.born_ms, report.state) not in known_to_hub:
                reports.append(hub.from_table_report(report))
        return reports[-MAX_RESTORED_LEAVES:]
