"""A node's view of the system, merged from the reports of all hubs.

It covers targets, nodes, runs of other gateways and the route bundle in force.
"""

import random

from chiveswitch.core import clock, placement, rooms, routing, speeds
from chiveswitch.peers import hub

hub_thrift = hub.hub_thrift

# Maximum number of addresses in the answer to a caller.
MAX_ADDRESSES = 64
# Maximum number of nodes of other zones in an answer with enough nodes of the caller's zone that
# have room. They serve the caller if all nodes of its zone fail.
MAX_OTHER_ZONE_NODES = 2
# If fewer nodes of the caller's zone are ready, the answer has the nodes of all zones alike.
MIN_SAME_ZONE_NODES = 2
MAX_LOGGED_LENGTH = 200


class NodeEntry:
    """The reports of hubs about one node.

    Attributes:
        report: The first NodeReport of the current incarnation.
        room: Room that the node reported last, 0 to 1; see `rooms`.
        state_by_hub: State of this incarnation as last reported, by hub address.
        was_ready: Whether a hub has reported this incarnation as ready.
        is_stopping: Whether a hub has reported it as draining after that.
    """

    __slots__ = ("report", "room", "state_by_hub", "was_ready", "is_stopping")

    def __init__(self, report):
        self.report = report
        self.room = 1.0
        self.state_by_hub = {}
        self.was_ready = False
        self.is_stopping = False

    def record_state(self, hub_address: str, state: int):
        """Stores the state that a hub reports."""
        self.state_by_hub[hub_address] = state
        if state == hub.NODE_READY:
            self.was_ready = True
        elif state == hub.NODE_DRAINING:
            # A process that starts reports that it is draining until it is ready.
            self.is_stopping = self.was_ready


class NodeView:
    """The merged reports of all hubs, and the report of the node about itself.

    Attributes:
        watcher: The `hub_watch.HubWatcher`; set after its creation.
        state: Own state, `hub.NODE_READY` or `hub.NODE_DRAINING`.
        room_permille: Own room as reported, in thousandths, or None; see `rooms.RoomMeter`.
        published: `hub.PublishedBundle` with the bundle in force, of the highest version received.
        on_bundle: Called with each new `routing.RouteBundle`.
        on_speed: Called with each received `speeds.Observation`.
        on_prompt_report: Called with each received PromptReport of `hub_thrift`.
        held_prompt_reports: Function that returns the PromptReports that led to quarantines in
            force.
        on_limit_report: Called with each received LimitReport of `hub_thrift`.
        own_limits: Function that returns the LimitReports of limits in force that this node has
            learned last.
        on_rollouts: Called with the list of RolloutStates of `hub_thrift` of each hub's answer.
        known_leaves: Function that returns the TargetReports of known leaves that are missing in a
            hub's TargetReports.
    """

    __slots__ = (
        "watcher",
        "state",
        "room_permille",
        "published",
        "on_bundle",
        "on_speed",
        "on_prompt_report",
        "held_prompt_reports",
        "on_limit_report",
        "own_limits",
        "known_leaves",
        "on_rollouts",
        "_settings",
        "_incarnation",
        "_table",
        "_run_table",
        "_entry_by_name",
        "_log",
        "_signer",
        "_rng",
    )

    def __init__(self, settings, incarnation, table, runs, log, signer, on_bundle):
        self.watcher = None
        self.state = hub.NODE_DRAINING
        self.room_permille = None
        self.published = hub.PublishedBundle()
        self.on_bundle = on_bundle
        self.on_speed = lambda observation: None
        self.on_prompt_report = lambda report: None
        self.held_prompt_reports = list
        self.on_limit_report = lambda report: None
        self.own_limits = list
        self.known_leaves = lambda hub_reports: []
        self.on_rollouts = lambda states: None
        self._settings = settings
        self._incarnation = incarnation
        self._table = table
        self._run_table = runs
        self._entry_by_name = {}
        self._log = log
        self._signer = signer
        self._rng = random.Random()

    # Called by the watcher.

    def node_report(self):
        """Returns the NodeReport of this node."""
        return hub_thrift.NodeReport(
            name=self._settings.name,
            incarnation=self._incarnation,
            availability_zone=self._settings.availability_zone,
            region=self._settings.region,
            caller_address=self._settings.caller_address,
            peer_address=self._settings.peer_address,
            state=self.state,
            room=self.room_permille,
        )

    def known_version(self) -> int:
        """Returns the version of the bundle in force on this node."""
        return self.published.version

    def preferred_hub(self, addresses: list) -> str:
        """Returns the address of the hub that sends this node its bundles; nodes differ in it."""
        ranked = sorted(addresses, key=lambda address: hash((self._settings.name, address)))
        return ranked[0]

    def apply_bundle(self, version: int, content: bytes, signature: bytes, source: str):
        """Puts a bundle in force if its version is newer and its signature is valid.

        Args:
            version: Version of the bundle.
            content: Encoded bundle.
            signature: Signature over the content.
            source: Address or role of the sender, for the log.
        """
        if version <= self.published.version:
            return
        if not self._signer.verify(content, signature):
            self._log.line("node", "bundle_refused", version=version, source=source, reason="sig")
            return
        decoded = routing.decode(content)
        if decoded.is_error():
            reason = decoded.error.message
            self._log.line("node", "bundle_refused", version=version, source=source, reason=reason)
            return
        self._log.line(
            "node", "bundle_in_force", version=version, before=self.published.version, source=source
        )
        self.published = hub.PublishedBundle(version, content, signature)
        self.on_bundle(decoded.ok)

    def apply_target_reports(self, hub_address: str, reports):
        """Applies target reports of a hub to the target table and logs each change."""
        self._apply_each(self._apply_target_report, reports, hub_address)

    def _apply_each(self, apply, reports, *arguments):
        """Calls a function with each report; an exception costs this report and no other one."""
        for report in reports:
            try:
                apply(report, *arguments)
            except Exception as error:
                self._log.line(
                    "node",
                    "report_skipped",
                    kind=type(report).__name__,
                    report=repr(report)[:MAX_LOGGED_LENGTH],
                    error=repr(error)[:MAX_LOGGED_LENGTH],
                )

    def _apply_target_report(self, record, hub_address):
        report = hub.to_table_report(record)
        if not self._table.apply_report(hub_address, report, clock.now()):
            return
        self._log.line(
            "node",
            "target_changed",
            target=report.target_id,
            service=report.service,
            version=report.version,
            zone=report.availability_zone,
            address=report.address,
            state=report.state,
            overdue=int(report.overdue),
            sequence=report.sequence,
            hub=hub_address,
        )

    def apply_node_reports(self, hub_address: str, reports):
        """Records the states of nodes that a hub reports, and ignores older incarnations."""
        self._apply_each(self._apply_node_report, reports, hub_address)

    def _apply_node_report(self, report, hub_address):
        entry = self._entry_by_name.get(report.name)
        if entry is not None and entry.report.incarnation > report.incarnation:
            # See `Hub.record_node_report`: numbers fall when a machine's time of day is set back.
            if entry.state_by_hub.get(hub_address) != hub.NODE_GONE:
                return
        if entry is None or entry.report.incarnation != report.incarnation:
            entry = self._entry_by_name[report.name] = NodeEntry(report)
        if entry.state_by_hub.get(hub_address) != report.state:
            self._log.line(
                "node", "node_changed", name=report.name, state=report.state, hub=hub_address
            )
        entry.record_state(hub_address, report.state)
        entry.room = 1.0 if report.room is None else report.room / rooms.PERMILLE
        if report.state == hub.NODE_GONE and report.name != self._settings.name:
            self._run_table.interrupt_runs_of(report.name, clock.now())

    def apply_run_reports(self, reports):
        """Copies newer reports of runs on other gateways into the run table."""
        self._apply_each(self._apply_run_report, reports)

    def _apply_run_report(self, report):
        if report.node == self._settings.name:
            return
        known_run = self._run_table.run_by_id.get(report.run_id)
        if known_run is not None and known_run.sequence >= report.sequence:
            return
        run = placement.Run(
            report.run_id, "", report.tokens, report.tokens, report.node, clock.now()
        )
        run.request_digest = report.request_digest
        run.target_id = report.target_id
        run.copy_target_id = report.copy_target_id
        run.copy_reference = report.copy_reference
        run.sequence = report.sequence
        run.ended = report.state != hub.RUN_ACTIVE
        run.interrupted = report.state == hub.RUN_INTERRUPTED
        if known_run is not None and known_run.target_id == run.target_id:
            run.queued_at = known_run.queued_at
        if known_run is not None and known_run.copy_reference == run.copy_reference:
            run.copied_at = known_run.copied_at
        self._run_table.put(run)
        if report.speed is None:
            return
        factor = report.speed.percent / speeds.PERCENT
        run.speed = speeds.Observation(report.target_id, report.speed.born_ms, factor)
        # Later reports of a run repeat what was observed at its beginning.
        is_repeated = (
            known_run is not None
            and known_run.speed is not None
            and known_run.speed.target_id == report.target_id
        )
        if not is_repeated:
            self.on_speed(run.speed)

    def apply_loss_reports(self, reports):
        """Marks targets to which other gateways have lost their connections as to be avoided."""
        self._apply_each(self._apply_loss_report, reports)

    def _apply_loss_report(self, report):
        if report.node == self._settings.name:
            return
        if self._table.record_remote_loss(report.target_id, clock.now()):
            self._log.line("node", "target_avoided", target=report.target_id, reporter=report.node)

    def apply_prompt_reports(self, reports):
        """Passes reports of prompts on to `on_prompt_report`."""
        self._apply_each(self.on_prompt_report, reports)

    def apply_limit_reports(self, reports):
        """Passes reports of limits on to `on_limit_report`."""
        self._apply_each(self.on_limit_report, reports)

    def apply_rollouts(self, states):
        """Passes the states of roll-outs on to `on_rollouts`."""
        self.on_rollouts(states)

    def discard_hub_reports(self, hub_address: str):
        """Discards all reports of a hub that has restarted or is no longer watched."""
        self._table.reset_hub(hub_address)
        for entry in self._entry_by_name.values():
            entry.state_by_hub.pop(hub_address, None)

    def log_hub_state(self, hub_address: str, reachable: bool, reason: str):
        """Logs that a hub was lost or regained."""
        event = "hub_regained" if reachable else "hub_lost"
        self._log.line("node", event, hub=hub_address, reason=reason)

    def log_watch_timeout(self, hub_address: str):
        """Logs that a hub did not answer a watch in time."""
        self._log.line("node", "watch_timeout", hub=hub_address)

    def log_bundle_announced(self, version: int, hub_address: str):
        """Logs that a hub has a newer bundle than this node."""
        known = self.published.version
        self._log.line("node", "bundle_announced", version=version, known=known, hub=hub_address)

    def log_bundle_requested(self, hub_address: str, waited: float):
        """Logs that a hub is asked for an announced bundle, and the seconds since then."""
        self._log.line("node", "bundle_requested", hub=hub_address, waited=waited)

    # Called by the directory, the forwarder and the periodic sweep.

    def find_node(self, name: str):
        """Returns the NodeReport of the latest known incarnation of a node, or None."""
        entry = self._entry_by_name.get(name)
        return None if entry is None else entry.report

    def stopping_addresses(self) -> frozenset:
        """Returns the peer addresses of nodes whose latest process has announced its stop."""
        return frozenset(
            entry.report.peer_address for entry in self._entry_by_name.values() if entry.is_stopping
        )

    def live_hubs(self) -> set:
        """Returns the addresses of reachable hubs, with an empty text for the hub of this node."""
        return {"", *(state.address for state in self.watcher.reachable_hubs())}

    def ready_nodes(self) -> list:
        """Returns the reports of nodes that some hub reports as ready and none as draining.

        Only reachable hubs count, unless no reachable hub has reported on the node.
        """
        live_addresses = self.live_hubs()
        ready_reports = []
        for entry in self._entry_by_name.values():
            live_states = [
                state
                for hub_address, state in entry.state_by_hub.items()
                if hub_address in live_addresses
            ]
            states = live_states or list(entry.state_by_hub.values())
            if hub.NODE_READY in states and hub.NODE_DRAINING not in states:
                ready_reports.append(entry.report)
        return ready_reports

    def choose_addresses(self, zone: str, region: str) -> list[str]:
        """Returns the addresses that a caller should use, in random order within each group.

        Args:
            zone: Availability zone of the caller.
            region: Region of the caller; nodes of other zones in it come before those outside.
        """
        ready = self.ready_nodes()
        if self.state == hub.NODE_READY:
            if all(report.name != self._settings.name for report in ready):
                ready.append(self.node_report())
        self._rng.shuffle(ready)
        room_by_address = {report.caller_address: self._room_of(report) for report in ready}
        same_zone = {}
        for report in ready:
            if report.availability_zone == zone:
                same_zone[report.caller_address] = room_by_address[report.caller_address]
        if len(same_zone) < MIN_SAME_ZONE_NODES:
            listed, _ = rooms.draw_listed(room_by_address, MIN_SAME_ZONE_NODES, self._rng)
            return listed[:MAX_ADDRESSES]
        listed, spill_share = rooms.draw_listed(same_zone, MIN_SAME_ZONE_NODES, self._rng)
        other_count = max(MAX_OTHER_ZONE_NODES, rooms.spill_count(len(listed), spill_share))
        others = self._draw_other_zones(ready, room_by_address, zone, region, other_count)
        return listed[: MAX_ADDRESSES - len(others)] + others

    def _draw_other_zones(self, ready, room_by_address, zone, region, count):
        """Returns addresses of nodes in other zones, those of the region first."""
        count = min(count, MAX_ADDRESSES // 2)
        drawn = []
        for in_region in (True, False):
            group = {}
            for report in ready:
                is_other = report.availability_zone != zone
                if is_other and (report.region == region) == in_region:
                    group[report.caller_address] = room_by_address[report.caller_address]
            drawn += rooms.draw_others(group, count - len(drawn), self._rng)
        return drawn

    def _room_of(self, report):
        entry = self._entry_by_name.get(report.name)
        return 1.0 if entry is None else entry.room
