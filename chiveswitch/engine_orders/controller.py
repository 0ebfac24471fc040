"""Runs the order planner in the leading control process and executes the planner's actions."""

import asyncio
import logging

from chiveswitch.core import clock, control_state, orders
from chiveswitch.engine_orders import orders_client

log = logging.getLogger("chiveswitch.orders")

STEP_INTERVAL_SECONDS = 0.2
# Time for which a confirmed leadership permits orders to engines that ignore fencing. A new leader
# waits for this time before it sends such orders. It equals the gateways' lease.
LEASE_SECONDS = 4.0
# Largest assumed relative difference between the clock rates of two VMs. A new leader's wait is
# longer by this share, so that the lease has ended on its predecessor's clock, too.
MAX_CLOCK_DRIFT_SHARE = 0.01
# Time after which an unanswered command or confirmation is abandoned. The planner repeats it.
CONTROL_TIMEOUT_SECONDS = 2.0


class Controller:
    """Drives an `orders.Planner` with the state of control and of the directory.

    `control` has `is_leader`, `leader_since` (seconds of `clock.now()`, not before the election),
    `bundle()` that returns the `bundles.Bundle` in force or None, `async propose(struct)` that
    returns a `Result` of the committed answer, and `async confirm_leadership()` that returns True
    only if a majority confirmed the leadership after the call began.

    Attributes:
        control: The object described above.
        list_entries: Function that returns the present `directory.Entry` objects. Entries of other
            kinds than `engine` are ignored.
        planner: The `orders.Planner`.
    """

    def __init__(
        self,
        control,
        list_entries,
        budget: orders.LoadBudget,
        now=clock.now,
        send=orders_client.send_order,
        read_back=orders_client.read_back,
    ):
        self.control = control
        self.list_entries = list_entries
        self.planner = orders.Planner(budget)
        self._now = now
        self._send = send
        self._read_back = read_back
        self._leading_since = None
        self._handled_bundle = None
        self._entry_by_id = {}
        self._is_confirming = False
        self._tasks = set()

    async def run(self):
        """Runs `step` periodically until cancelled."""
        try:
            while True:
                self.step()
                await asyncio.sleep(STEP_INTERVAL_SECONDS)
        finally:
            self._cancel_tasks()

    def step(self):
        """Passes leadership, bundle and engine reports to the planner and starts its actions."""
        now = self._now()
        since = self.control.leader_since if self.control.is_leader else None
        if since != self._leading_since:
            self._change_leadership(since, now)
        bundle = self.control.bundle()
        if bundle is not None and bundle is not self._handled_bundle:
            self._handled_bundle = bundle
            self._handle(orders.BundleInForce(bundle))
        self._entry_by_id = {}
        for entry in self.list_entries():
            if entry.description.kind != "engine":
                continue
            self._entry_by_id[entry.description.id] = entry
            self._handle(build_engine_report(entry, now))
        self._handle(orders.Tick())

    def _change_leadership(self, since, now):
        if self._leading_since is not None:
            log.info("orders: no longer the leader; pending actions are cancelled")
            self._handle(orders.LeadershipLost())
            self._cancel_tasks()
        self._leading_since = since
        if since is None:
            return
        until = max(now, since) + LEASE_SECONDS * (1 + MAX_CLOCK_DRIFT_SHARE)
        log.info("orders: became the leader; the predecessor's lease ends in %.1f s", until - now)
        self._is_confirming = False
        self._handle(orders.LeadershipGained(until))

    def _still_leads(self, since) -> bool:
        """Returns whether the leadership that began at `since` still lasts."""
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
            await HANDLER_BY_ACTION_TYPE[type(action)](self, action, since)
        # A failed action must not end the controller. The planner repeats actions without a result.
        except Exception:
            log.exception("orders: the action %r failed", action)

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
        if result.is_error() or result.ok.kind != "fence" or not self._still_leads(since):
            return
        fence = (result.ok.term, result.ok.number)
        self._handle(orders.FenceGranted(action.engine, fence))

    async def _confirm_leadership(self, _action, since):
        if self._is_confirming:
            return
        self._is_confirming = True
        # The lease counts from before the request, so that it ends before a successor's wait ends.
        requested_at = self._now()
        try:
            async with asyncio.timeout(CONTROL_TIMEOUT_SECONDS):
                confirmed = await self.control.confirm_leadership()
        except TimeoutError:
            return
        finally:
            if self._leading_since == since:
                self._is_confirming = False
        if confirmed and self._still_leads(since):
            self._handle(orders.LeadershipConfirmed(requested_at + LEASE_SECONDS))

    async def _send_order(self, action, since):
        entry = self._entry_by_id.get(action.engine)
        if entry is None:
            return

        def may_send():
            in_lease = action.send_before is None or self._now() < action.send_before
            return in_lease and self._still_leads(since)

        if not may_send():
            return
        result = await self._send(entry.description.address, action, may_send)
        log.info(
            "orders: order with fence %s for engine %s: %s",
            action.fence,
            action.engine,
            result.value,
        )
        if not self._still_leads(since):
            return
        if result is orders_client.OrderResult.UNKNOWN:
            # The order may still arrive. The planner reads the engine's state after its timeout.
            return
        accepted = result is orders_client.OrderResult.ACCEPTED
        self._handle(orders.OrderAnswered(action.engine, action.fence, accepted))

    async def _read_state(self, action, since):
        entry = self._entry_by_id.get(action.engine)
        if entry is None:
            return
        report = await self._read_back(entry.description.address, action.engine, self._now)
        if report is None or not self._still_leads(since):
            return
        # The status response does not state whether the engine is leaving.
        report.ready = self._entry_by_id.get(action.engine, entry).state == "ready"
        self._handle(report)


HANDLER_BY_ACTION_TYPE = {
    orders.RequestFence: Controller._request_fence,
    orders.ConfirmLeadership: Controller._confirm_leadership,
    orders.SendOrder: Controller._send_order,
    orders.ReadBack: Controller._read_state,
}


def build_engine_report(entry, now: float) -> orders.EngineReport:
    """Returns the engine report of a directory entry.

    The entry counts requests without their models, so a busy engine is reported as running all
    models that it has.

    Args:
        entry: The `directory.Entry` of an engine.
        now: Current time in seconds.
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
        max(0.0, now - entry.created_after),
    )
