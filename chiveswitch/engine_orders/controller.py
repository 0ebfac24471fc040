"""Runs the planner of orders in the leading control process and carries out its actions."""

import asyncio
import logging

from chiveswitch.core import clock, control_state, orders
from chiveswitch.engine_orders import orders_client

log = logging.getLogger("chiveswitch.orders")

TICK_SECONDS = 0.2
# Time for which a confirmation of the leadership permits orders to engines that ignore fencing,
# and which a new leader therefore waits out. It equals the gateways' lease.
LEASE_SECONDS = 4.0
# Share by which the clocks of two VMs may run apart during the lease.
CLOCK_DRIFT = 0.01
# Time after which an unanswered command or confirmation is given up; the planner asks again.
CONTROL_TIMEOUT_SECONDS = 2.0


class Controller:
    """Drives an `orders.Planner` from what control and the directory know.

    `control` has `is_leader`, `leader_since` (seconds of `clock.now()`, not before the election),
    `bundle()` that returns the `bundles.Bundle` in force or None, `async propose(struct)` that
    returns a `Result` of the committed answer, and `async confirm_leadership()` that returns True
    only if a majority confirmed the leadership after the call began.

    Attributes:
        control: The object above.
        list_entries: Function that returns the `directory.Entry` objects known now; entries of
            other kinds than `engine` are left out.
        planner: The `orders.Planner`.
    """

    def __init__(
        self,
        control,
        list_entries,
        budget: orders.LoadBudget,
        now=clock.now,
        send=orders_client.send,
        read_back=orders_client.read_back,
    ):
        self.control = control
        self.list_entries = list_entries
        self.planner = orders.Planner(budget)
        self._now = now
        self._send = send
        self._read_back = read_back
        self._leading_since = None
        self._bundle = None
        self._entry_by_id = {}
        self._confirming = False
        self._tasks = set()

    async def run(self):
        """Plans and orders until cancelled."""
        try:
            while True:
                self.step()
                await asyncio.sleep(TICK_SECONDS)
        finally:
            self._cancel_tasks()

    def step(self):
        """Takes in leadership, bundle and reports, and starts the actions that are due."""
        now = self._now()
        since = self.control.leader_since if self.control.is_leader else None
        if since != self._leading_since:
            self._change_leadership(since, now)
        bundle = self.control.bundle()
        if bundle is not None and bundle is not self._bundle:
            self._bundle = bundle
            self._handle(orders.BundleInForce(bundle))
        self._entry_by_id = {}
        for entry in self.list_entries():
            if entry.description.kind != "engine":
                continue
            self._entry_by_id[entry.description.id] = entry
            self._handle(report_of(entry, now))
        self._handle(orders.Tick())

    def _change_leadership(self, since, now):
        if self._leading_since is not None:
            log.info("orders: no longer the leader; nothing more is sent")
            self._handle(orders.LeadershipLost())
            self._cancel_tasks()
        self._leading_since = since
        if since is None:
            return
        until = max(now, since) + LEASE_SECONDS * (1 + CLOCK_DRIFT)
        log.info("orders: leads; the predecessor's lease ends in %.1f s", until - now)
        self._confirming = False
        self._handle(orders.LeadershipGained(until))

    def _leads(self, since) -> bool:
        """Returns whether the leadership that began at `since` lasts."""
        return (
            since is not None
            and self._leading_since == since
            and self.control.is_leader
            and self.control.leader_since == since
        )

    def _handle(self, event):
        for action in self.planner.handle(event, self._now()):
            task = asyncio.ensure_future(self._run_action(action, self._leading_since))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _run_action(self, action, since):
        try:
            await HANDLER_BY_ACTION[type(action)](self, action, since)
        # One failed action must not end the controller; the planner repeats what is missing.
        except Exception:
            log.exception("orders: an action failed: %r", action)

    def _cancel_tasks(self):
        for task in self._tasks:
            task.cancel()

    async def _request_fence(self, action, since):
        command = control_state.control_thrift.NextFence(target=action.engine)
        try:
            async with asyncio.timeout(CONTROL_TIMEOUT_SECONDS):
                result = await self.control.propose(command)
        except TimeoutError:
            return
        if result.is_error() or result.ok.kind != "fence" or not self._leads(since):
            return
        fence = (result.ok.term, result.ok.number)
        self._handle(orders.FenceGranted(action.engine, fence))

    async def _confirm(self, _action, since):
        if self._confirming:
            return
        self._confirming = True
        # Counted from before the question, so that the lease ends before a successor's wait.
        asked_at = self._now()
        try:
            async with asyncio.timeout(CONTROL_TIMEOUT_SECONDS):
                confirmed = await self.control.confirm_leadership()
        except TimeoutError:
            return
        finally:
            if self._leading_since == since:
                self._confirming = False
        if confirmed and self._leads(since):
            self._handle(orders.LeadershipConfirmed(asked_at + LEASE_SECONDS))

    async def _send_order(self, action, since):
        entry = self._entry_by_id.get(action.engine)
        if entry is None:
            return

        def may_send():
            in_lease = action.send_before is None or self._now() < action.send_before
            return in_lease and self._leads(since)

        if not may_send():
            return
        result = await self._send(entry.description.address, action, may_send)
        log.info("orders: %s for %s: %s", action.fence, action.engine, result.value)
        if not self._leads(since):
            return
        if result is orders_client.Result.UNKNOWN:
            # The order may be under way; the planner reads back after its time limit.
            return
        accepted = result is orders_client.Result.ACCEPTED
        self._handle(orders.OrderAnswered(action.engine, action.fence, accepted))

    async def _read_state(self, action, since):
        entry = self._entry_by_id.get(action.engine)
        if entry is None:
            return
        report = await self._read_back(entry.description.address, action.engine, self._now)
        if report is None or not self._leads(since):
            return
        # The answer doesn't tell whether the engine is leaving.
        report.ready = self._entry_by_id.get(action.engine, entry).state == "ready"
        self._handle(report)


HANDLER_BY_ACTION = {
    orders.RequestFence: Controller._request_fence,
    orders.ConfirmLeadership: Controller._confirm,
    orders.SendOrder: Controller._send_order,
    orders.ReadBack: Controller._read_state,
}


def report_of(entry, now: float) -> orders.EngineReport:
    """Returns the report of a directory entry at a time in seconds.

    The entry counts requests without their models, so a busy engine counts as running all it has.
    """
    description = entry.description
    running = description.models if entry.running or entry.queued else ()
    return orders.EngineReport(
        description.id,
        description.models,
        description.role or "mixed",
        entry.state == "ready",
        description.honours_fencing,
        None,
        running,
        max(0.0, now - entry.basis),
    )
