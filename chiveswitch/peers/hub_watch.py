"""A node's watches: one task for each hub updates the node's view of targets, nodes and routes."""

import asyncio
import logging
import random

from chiveswitch.core import clock, codes
from chiveswitch.peers import hub, kinds, links, strict

log = logging.getLogger("chiveswitch.peers")

hub_thrift = hub.hub_thrift

# Time to wait for an answer beyond the time for which a hub may hold a watch.
RESPONSE_MARGIN_SECONDS = 0.7
# Pause after a failed watch, a bundle that was refused and an answer of a process that is no hub.
RETRY_PAUSE_SECONDS = 0.2
# Time since its last answer for which a hub counts as reachable.
REACHABLE_SECONDS = 2.0
# Time after which one more hub is asked for a newer bundle that has not arrived.
BUNDLE_TIMEOUT_SECONDS = 0.3
# Time to wait for a hub's acknowledgement of reports, and number of hubs that are tried for reports
# of prompts or limits.
REPORT_TIMEOUT_SECONDS = 0.3
MAX_REPORT_ATTEMPTS = 10
# Reports of runs and losses are collected for this time and sent together.
REPORT_BATCH_SECONDS = 0.02
# Reports of runs, and of losses, that wait for a hub; further ones replace the oldest.
MAX_QUEUED_REPORTS = 2000


class HubState:
    """The state of a node's watch of one hub.

    Attributes:
        address: Peer address.
        link: The `links.Link`.
        incarnation: The hub's incarnation, 0 before the first answer.
        position: Position of the hub up to which its reports have been received.
        answered_at: Time of its last answer.
        is_hub: Whether its last answer said that it is a hub; False after it became unreachable.
        version: Version of the bundle that its last answer named; 0 after a failed watch.
        asked_since: Value of `HubWatcher.bundle_missing_since` when the hub was last asked for a
            missing bundle, or None.
    """

    __slots__ = (
        "address",
        "link",
        "incarnation",
        "position",
        "answered_at",
        "is_hub",
        "version",
        "asked_since",
    )

    def __init__(self, address: str, link: links.Link):
        self.address = address
        self.link = link
        self.incarnation = 0
        self.position = 0
        self.answered_at = -REACHABLE_SECONDS
        self.is_hub = False
        self.version = 0
        self.asked_since = None

    def is_reachable(self, now: float) -> bool:
        """Returns whether the hub answered lately, or a part of an answer has arrived lately."""
        heard_at = self.answered_at
        if self.link.is_receiving:
            heard_at = max(heard_at, self.link.last_data_at)
        return self.is_hub and now - heard_at < REACHABLE_SECONDS


def _merge_queues(older: dict, newer: dict) -> dict:
    """Returns the latest reports of both queues, by the id of their subject."""
    merged = list({**older, **newer}.items())
    return dict(merged[-MAX_QUEUED_REPORTS:])


class HubWatcher:
    """Watches all hubs and sends the node's reports to them.

    Attributes:
        state_by_address: `HubState` of each watched address.
        members: Latest `hub.Members`.
        bundle_missing_since: Time since which some hub has named a newer bundle than the one in
            force, or None.
    """

    __slots__ = (
        "state_by_address",
        "members",
        "bundle_missing_since",
        "_waiting_version",
        "_view",
        "_seeds",
        "_own_address",
        "_task_by_address",
        "_restore_tasks",
        "_queued_run_by_id",
        "_queued_loss_by_target",
        "_report_task",
        "_report_hub",
        "_rng",
    )

    def __init__(self, view, seeds: list, own_address: str, rng: random.Random):
        """Prepares the watches.

        Args:
            view: The node's view: `node_report()` returns the own NodeReport, `known_version()` the
                version of the bundle, and `apply_target_reports`, `apply_node_reports`,
                `apply_run_reports`, `apply_loss_reports`, `apply_prompt_reports`,
                `apply_limit_reports`, `apply_rollouts`, `apply_bundle`, `discard_hub_reports` and
                `log_hub_state` apply what was received; `held_prompt_reports` returns the
                PromptReports of quarantines in force, `own_limits` the LimitReports of limits seen
                here, and `known_leaves` the TargetReports of leaves that are missing in a list;
                `log_watch_timeout`, `log_bundle_announced` and `log_bundle_requested` log the
                watches.
            seeds: Peer addresses from the settings, watched until the members are known.
            own_address: Own peer address, which is not watched.
            rng: Random source.
        """
        self.state_by_address = {}
        self.members = hub.Members(-1, [])
        self.bundle_missing_since = None
        # Version in force when the present wait for a newer bundle began.
        self._waiting_version = 0
        self._view = view
        self._seeds = seeds
        self._own_address = own_address
        self._task_by_address = {}
        self._restore_tasks = set()
        self._queued_run_by_id = {}
        self._queued_loss_by_target = {}
        # Sends the queued reports; None if there are none.
        self._report_task = None
        # Address of the hub that has acknowledged the latest reports.
        self._report_hub = ""
        self._rng = rng

    def start(self):
        """Starts watching the seeds."""
        self._update_watched_addresses()

    async def close(self):
        """Cancels all watches and closes their links."""
        tasks = [*self._task_by_address.values(), *self._restore_tasks]
        if self._report_task is not None:
            tasks.append(self._report_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for state in self.state_by_address.values():
            await state.link.close()

    def update_members(self, members: hub.Members):
        """Watches the hubs of a membership if it is later than the known one and not empty."""
        if members.index <= self.members.index or not members.addresses:
            return
        self.members = members
        self._update_watched_addresses()

    def reachable_hubs(self) -> list[HubState]:
        """Returns the states of hubs from which an answer came within `REACHABLE_SECONDS`."""
        now = clock.now()
        return [state for state in self.state_by_address.values() if state.is_reachable(now)]

    def report_run(self, report):
        """Queues the report of a run, in place of an earlier one of the same run.

        Queued reports are sent together until a hub has acknowledged them.
        """
        self._queue(self._queued_run_by_id, report.run_id, report)

    def report_loss(self, report):
        """Queues the report of a lost target for as long as hubs would keep it."""
        self._queue(self._queued_loss_by_target, report.target_id, report)

    def _queue(self, report_by_id, subject_id, report):
        # The oldest report comes first.
        report_by_id.pop(subject_id, None)
        report_by_id[subject_id] = report
        if len(report_by_id) > MAX_QUEUED_REPORTS:
            del report_by_id[next(iter(report_by_id))]
        if self._report_task is None:
            self._report_task = asyncio.get_running_loop().create_task(self._send_queued())

    async def report_prompts(self, reports: list):
        """Sends reports of prompts until a hub has acknowledged them.

        Args:
            reports: List of PromptReport of `hub_thrift`.
        """
        await self._report(kinds.Kind.HUB_REPORT_PROMPTS, hub_thrift.PromptReports, reports)

    async def report_limits(self, reports: list):
        """Sends reports of limits until a hub has acknowledged them.

        Args:
            reports: List of LimitReport of `hub_thrift`.
        """
        await self._report(kinds.Kind.HUB_REPORT_LIMITS, hub_thrift.LimitReports, reports)

    async def _report(self, kind, message_class, reports):
        sent_at = clock.now()
        for _ in range(MAX_REPORT_ATTEMPTS):
            states = self.reachable_hubs()
            if not states:
                await asyncio.sleep(RETRY_PAUSE_SECONDS)
                continue
            age_ms = int((clock.now() - sent_at) * hub.MS_PER_SECOND)
            aged_reports = [hub.add_age(each, age_ms) for each in reports]
            state = self._rng.choice(states)
            result = await self._send_reports_to(state, kind, message_class, aged_reports)
            if result.is_ok():
                return
        log.warning("peers: no hub acknowledged %s of %s", len(reports), message_class.__name__)

    async def _send_reports_to(self, state, kind, message_class, reports):
        message = strict.encode(message_class(reports=reports))
        return await state.link.call(kind, message, REPORT_TIMEOUT_SECONDS)

    async def request_grants(self, address: str, message: bytes, timeout_s: float):
        """Asks a hub for grants to send requests to targets with a limit.

        Args:
            address: Peer address of a reachable hub.
            message: Encoded QuotaRequests of `hub_thrift`.
            timeout_s: Longest time in seconds to wait for the answer.

        Returns:
            Ok with the list of QuotaGrant of `hub_thrift`, or the failure.
        """
        link = self.state_by_address[address].link
        result = await link.call(kinds.Kind.HUB_QUOTA, message, timeout_s)
        if result.is_ok():
            result = strict.decode(hub_thrift.QuotaGrants, result.ok)
        return result.map(lambda answer: answer.grants)

    async def _send_queued(self):
        """Sends the queued reports of runs and losses until there are none."""
        try:
            while self._queued_run_by_id or self._queued_loss_by_target:
                await asyncio.sleep(REPORT_BATCH_SECONDS)
                run_by_id, self._queued_run_by_id = self._queued_run_by_id, {}
                loss_by_target, self._queued_loss_by_target = self._queued_loss_by_target, {}
                if await self._send_batch(list(run_by_id.values()), list(loss_by_target.values())):
                    continue
                self._queued_run_by_id = _merge_queues(run_by_id, self._queued_run_by_id)
                self._queued_loss_by_target = _merge_queues(
                    loss_by_target, self._queued_loss_by_target
                )
                self._drop_old_losses()
                await asyncio.sleep(RETRY_PAUSE_SECONDS)
        finally:
            self._report_task = None

    async def _send_batch(self, runs, losses) -> bool:
        """Sends reports to one hub after the other; returns whether one has acknowledged them."""
        states = self.reachable_hubs()
        self._rng.shuffle(states)
        states.sort(key=lambda each: (each.address != self._report_hub, not each.link.connected))
        for state in states:
            watch = strict.encode(self._build_watch(state, runs, losses, False))
            result = await state.link.call(
                kinds.Kind.HUB_REPORT_RUNS, watch, REPORT_TIMEOUT_SECONDS
            )
            if result.is_ok():
                self._report_hub = state.address
                return True
        return False

    def _drop_old_losses(self):
        oldest_ms = (clock.now() - hub.RETENTION_SECONDS_BY_KIND["losses"]) * hub.MS_PER_SECOND
        for target_id, report in list(self._queued_loss_by_target.items()):
            if report.at_ms < oldest_ms:
                del self._queued_loss_by_target[target_id]

    def send_node_state(self):
        """Sends the node's state to all hubs, because the pending watches carry an older one."""
        for state in self.reachable_hubs():
            watch = self._build_watch(state, [], [], False)
            state.link.post(kinds.Kind.HUB_REPORT_RUNS, strict.encode(watch))

    def _update_watched_addresses(self):
        # Until the members are known, the seeds are watched.
        desired_addresses = set(self.members.addresses or self._seeds) - {self._own_address}
        for address in desired_addresses - set(self._task_by_address):
            self._start_watch(address)
        for address in set(self._task_by_address) - desired_addresses:
            self._task_by_address.pop(address).cancel()
            state = self.state_by_address.pop(address)
            asyncio.get_running_loop().create_task(state.link.close())
            self._view.discard_hub_reports(address)

    def _restore_reports(self, state, targets):
        """Tells a hub that has restarted what this node knows and the hub may not.

        These are quarantines in force, limits seen here, and targets that have left.

        Args:
            state: The `HubState`.
            targets: The TargetReports that the hub has sent.
        """
        prompts = (
            kinds.Kind.HUB_REPORT_PROMPTS,
            hub_thrift.PromptReports,
            self._view.held_prompt_reports(),
        )
        limits = (
            kinds.Kind.HUB_REPORT_LIMITS,
            hub_thrift.LimitReports,
            self._view.own_limits(),
        )
        leaves = (
            kinds.Kind.HUB_LEAVES,
            hub_thrift.TargetReports,
            self._view.known_leaves(targets),
        )
        for kind, message_class, reports in (prompts, limits, leaves):
            if not reports:
                continue
            sending = self._send_reports_to(state, kind, message_class, reports)
            task = asyncio.get_running_loop().create_task(sending)
            self._restore_tasks.add(task)
            task.add_done_callback(self._restore_tasks.discard)

    def _build_watch(self, state, runs, losses, wants_bundle):
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
        # The preferred hub sends the bundle and the others only its version. If the preferred hub
        # does not deliver an announced bundle in time, the hubs that have it are asked one by one.
        reachable = [each.address for each in self.reachable_hubs()]
        if not reachable or state.address == self._view.preferred_hub(reachable):
            return True
        if self.bundle_missing_since is None or state.version <= self._view.known_version():
            return False
        waited = clock.now() - self.bundle_missing_since
        announcing = []
        for each in self.reachable_hubs():
            if each.version > self._view.known_version():
                announcing.append(each.address)
            if each.link.is_receiving:
                # A large bundle is probably on its way.
                return False
        for _ in range(int(waited / BUNDLE_TIMEOUT_SECONDS)):
            if not announcing:
                break
            asked = self._view.preferred_hub(announcing)
            if asked == state.address:
                return True
            announcing.remove(asked)
        return False

    def _update_bundle_wait(self, state):
        """Starts or ends the wait for a newer bundle after an answer or the failure of a hub."""
        known_version = self._view.known_version()
        if all(each.version <= known_version for each in self.reachable_hubs()):
            self.bundle_missing_since = None
            return
        if self.bundle_missing_since is None or self._waiting_version != known_version:
            self.bundle_missing_since = clock.now()
            self._waiting_version = known_version
            self._view.log_bundle_announced(state.version, state.address)

    async def _watch_hub(self, state):
        while True:
            wants_bundle = self._wants_bundle(state)
            if wants_bundle and self.bundle_missing_since is not None:
                self._log_bundle_request(state)
            request = self._build_watch(state, [], [], wants_bundle)
            result = await state.link.call(
                kinds.Kind.HUB_WATCH,
                strict.encode(request),
                hub.LONG_POLL_SECONDS + RESPONSE_MARGIN_SECONDS,
                extends_timeout=True,
            )
            if result.is_ok():
                result = strict.decode(hub_thrift.WatchAnswer, result.ok)
            if result.is_error():
                if result.error.code == codes.Code.LINK_TIMEOUT:
                    state.link.reconnect()
                    self._view.log_watch_timeout(state.address)
                self._handle_failure(state, result.error.message)
                await asyncio.sleep(RETRY_PAUSE_SECONDS)
                continue
            answer = result.ok
            try:
                self._apply_answer(state, answer)
            # The watch is the only task that hears of this hub and must not end.
            except Exception:
                log.exception("peers: an answer of %s could not be applied", state.address)
                await asyncio.sleep(RETRY_PAUSE_SECONDS)
                continue
            is_refused = answer.content and answer.version > self._view.known_version()
            if not state.is_hub or is_refused:
                await asyncio.sleep(RETRY_PAUSE_SECONDS)

    def _log_bundle_request(self, state):
        if state.asked_since == self.bundle_missing_since:
            return
        state.asked_since = self.bundle_missing_since
        self._view.log_bundle_requested(state.address, clock.now() - self.bundle_missing_since)

    def _handle_failure(self, state, message):
        state.version = 0
        self._update_bundle_wait(state)
        if state.is_hub and not state.is_reachable(clock.now()):
            state.is_hub = False
            self._view.log_hub_state(state.address, False, message)
        # If no hub is reachable, the seeds may name other hubs.
        if not self.reachable_hubs():
            for address in self._seeds:
                if address not in self._task_by_address and address != self._own_address:
                    self._start_watch(address)

    def _start_watch(self, address):
        state = HubState(address, links.Link(address, ping_interval=links.PING_DISABLED_SECONDS))
        self.state_by_address[address] = state
        task = asyncio.get_running_loop().create_task(self._watch_hub(state))
        self._task_by_address[address] = task

    def _apply_answer(self, state, answer):
        if not state.is_hub and answer.is_hub:
            self._view.log_hub_state(state.address, True, "")
        state.is_hub = answer.is_hub
        state.answered_at = clock.now()
        if answer.hub_incarnation != state.incarnation:
            self._view.discard_hub_reports(state.address)
            state.incarnation = answer.hub_incarnation
            if answer.is_hub:
                self._restore_reports(state, answer.targets)
        if answer.is_hub:
            state.position = answer.position
        if answer.content:
            self._view.apply_bundle(answer.version, answer.content, answer.signature, state.address)
        state.version = answer.version
        self._update_bundle_wait(state)
        # An answer lists the newest reports first; they are applied in the order of their changes.
        self._view.apply_target_reports(state.address, reversed(answer.targets))
        self._view.apply_node_reports(state.address, reversed(answer.nodes))
        self._view.apply_run_reports(reversed(answer.runs))
        self._view.apply_loss_reports(reversed(answer.losses))
        self._view.apply_prompt_reports(reversed(answer.prompts or []))
        self._view.apply_limit_reports(reversed(answer.limits or []))
        if answer.rollouts is not None:
            self._view.apply_rollouts(answer.rollouts)
        self.update_members(hub.Members(answer.members_index, answer.hubs))
