"""A node's watches: one task for each hub keeps the node's view of targets, nodes and routes."""

import asyncio
import random

from chiveswitch.core import clock, codes
from chiveswitch.peers import hub, kinds, links, strict

hub_thrift = hub.hub_thrift

# Seconds to wait for an answer beyond the time for which a hub may hold it.
ANSWER_SLACK_SECONDS = 0.7
# Pause in seconds after a failed watch, and after an answer of a process that is no hub.
PAUSE_SECONDS = 0.2
# Seconds since its last answer for which a hub counts as reachable.
REACHABLE_SECONDS = 2.0
# Seconds after which another hub is asked for a newer bundle that the first one does not send.
BUNDLE_PATIENCE_SECONDS = 0.3
# Reports of runs and losses leave together after this time in seconds.
REPORT_BATCH_SECONDS = 0.02


class HubState:
    """What a node knows of one hub.

    Attributes:
        address: Peer address.
        link: The `links.Link`.
        incarnation: The hub's incarnation, 0 before the first answer.
        position: Position up to which its reports are known.
        answered_at: Time of its last answer.
        is_hub: Whether it said that it is a hub.
    """

    __slots__ = ("address", "link", "incarnation", "position", "answered_at", "is_hub")

    def __init__(self, address: str, link: links.Link):
        self.address = address
        self.link = link
        self.incarnation = 0
        self.position = 0
        self.answered_at = -REACHABLE_SECONDS
        self.is_hub = False


class Watcher:
    """Watches all hubs.

    Attributes:
        state_by_address: `HubState` of each watched address.
        members: Latest `hub.Members`.
        bundle_at: Time at which a newer version was first named and not yet received, or None.
    """

    __slots__ = (
        "state_by_address",
        "members",
        "bundle_at",
        "_view",
        "_seeds",
        "_own_address",
        "_task_by_address",
        "_runs",
        "_losses",
        "_report_timer",
        "_rng",
    )

    def __init__(self, view, seeds: list, own_address: str, rng: random.Random):
        """Prepares the watches.

        Args:
            view: The node's view: `node_report()` returns the own NodeReport, `known_version()` the
                version of the bundle, and `apply_target_reports`, `apply_node_reports`,
                `apply_run_reports`, `apply_loss_reports`, `apply_bundle`, `discard_hub_reports`
                and `log_hub_state` take what arrives.
            seeds: Peer addresses from the settings.
            own_address: Own peer address, which is not watched.
            rng: Random source.
        """
        self.state_by_address = {}
        self.members = hub.Members(-1, [])
        self.bundle_at = None
        self._view = view
        self._seeds = seeds
        self._own_address = own_address
        self._task_by_address = {}
        self._runs = []
        self._losses = []
        self._report_timer = None
        self._rng = rng

    def start(self):
        """Starts to watch the seeds."""
        self._watch_all()

    async def close(self):
        """Ends all watches."""
        for task in self._task_by_address.values():
            task.cancel()
        await asyncio.gather(*self._task_by_address.values(), return_exceptions=True)
        for state in self.state_by_address.values():
            await state.link.close()

    def learn_members(self, members: hub.Members):
        """Takes a membership that is later than the known one."""
        if members.index <= self.members.index or not members.addresses:
            return
        self.members = members
        self._watch_all()

    def reachable(self) -> list[HubState]:
        """Returns the states of hubs that answered a moment ago."""
        now = clock.now()
        return [
            state
            for state in self.state_by_address.values()
            if state.is_hub and now - state.answered_at < REACHABLE_SECONDS
        ]

    def report_run(self, report):
        """Sends the report of a run to the first reachable hub, together with others."""
        self._runs.append(report)
        self._report_soon()

    def report_loss(self, report):
        """Sends the report of a lost target like that of a run."""
        self._losses.append(report)
        self._report_soon()

    def _report_soon(self):
        if self._report_timer is None:
            self._report_timer = asyncio.get_running_loop().call_later(
                REPORT_BATCH_SECONDS, self._send_reports
            )

    def _send_reports(self):
        self._report_timer = None
        runs, self._runs = self._runs, []
        losses, self._losses = self._losses, []
        for state in self.reachable():
            if state.link.connected:
                watch = self._request(state, runs, losses, False)
                state.link.post(kinds.Kind.HUB_REPORT_RUNS, strict.encode(watch))
                return

    def send_state(self):
        """Tells all hubs the node's present state; the pending watches carry an older one."""
        for state in self.reachable():
            watch = self._request(state, [], [], False)
            state.link.post(kinds.Kind.HUB_REPORT_RUNS, strict.encode(watch))

    def _watch_all(self):
        wanted = set(self.members.addresses or self._seeds) - {self._own_address}
        # Seeds are asked until the members are known.
        for address in wanted - set(self._task_by_address):
            self._start_watch(address)
        for address in set(self._task_by_address) - wanted:
            self._task_by_address.pop(address).cancel()
            state = self.state_by_address.pop(address)
            asyncio.get_running_loop().create_task(state.link.close())
            self._view.discard_hub_reports(address)

    def _request(self, state, runs, losses, wants_bundle):
        return hub_thrift.Watch(
            node=self._view.node_report(),
            hub_incarnation=state.incarnation,
            position=state.position,
            known_version=self._view.known_version(),
            wants_bundle=wants_bundle,
            runs=runs,
            losses=losses,
        )

    def _wants_bundle(self, state):
        # One hub sends the bundle; the others only name its version, unless that takes too long.
        if self.bundle_at is not None and clock.now() - self.bundle_at > BUNDLE_PATIENCE_SECONDS:
            return True
        found = [each.address for each in self.reachable()]
        return not found or state.address == self._view.preferred_hub(found)

    async def _watch(self, state):
        while True:
            request = self._request(state, [], [], self._wants_bundle(state))
            result = await state.link.call(
                kinds.Kind.HUB_WATCH,
                strict.encode(request),
                hub.HOLD_SECONDS + ANSWER_SLACK_SECONDS,
            )
            if result.is_ok():
                result = strict.decode(hub_thrift.WatchAnswer, result.ok)
            if result.is_error():
                if result.error.code == codes.Code.LINK_TIMEOUT:
                    state.link.reset()
                self._failed(state, result.error.message)
                await asyncio.sleep(PAUSE_SECONDS)
                continue
            self._take(state, result.ok)
            if not state.is_hub:
                await asyncio.sleep(PAUSE_SECONDS)

    def _failed(self, state, message):
        if state.is_hub and clock.now() - state.answered_at > REACHABLE_SECONDS:
            state.is_hub = False
            self._view.log_hub_state(state.address, False, message)
        # After the loss of all hubs the seeds may know others.
        if not self.reachable():
            for address in self._seeds:
                if address not in self._task_by_address and address != self._own_address:
                    self._start_watch(address)

    def _start_watch(self, address):
        state = HubState(address, links.Link(address, ping_interval=links.NO_PING_SECONDS))
        self.state_by_address[address] = state
        task = asyncio.get_running_loop().create_task(self._watch(state))
        self._task_by_address[address] = task

    def _take(self, state, answer):
        if not state.is_hub and answer.is_hub:
            self._view.log_hub_state(state.address, True, "")
        state.is_hub = answer.is_hub
        state.answered_at = clock.now()
        if answer.hub_incarnation != state.incarnation:
            self._view.discard_hub_reports(state.address)
            state.incarnation = answer.hub_incarnation
        if answer.is_hub:
            state.position = answer.position
        if answer.content:
            self._view.apply_bundle(answer.version, answer.content, answer.signature, state.address)
        if answer.version > self._view.known_version():
            if self.bundle_at is None:
                self.bundle_at = clock.now()
        else:
            self.bundle_at = None
        # Reports arrive newest first.
        self._view.apply_target_reports(state.address, reversed(answer.targets))
        self._view.apply_node_reports(state.address, reversed(answer.nodes))
        self._view.apply_run_reports(reversed(answer.runs))
        self._view.apply_loss_reports(reversed(answer.losses))
        self.learn_members(hub.Members(answer.members_index, answer.hubs))
