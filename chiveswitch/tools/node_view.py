"""A node's view of the others: targets, nodes, runs and routes, from all hubs."""

import random

from chiveswitch.core import clock, placement, routing
from chiveswitch.peers import hub

hub_thrift = hub.hub_thrift

# Largest number of addresses in an answer to a caller.
MAX_ADDRESSES = 64
# Nodes of other zones in an answer, for the case that all of the caller's zone have gone.
OTHER_ZONES = 2
# Nodes of the caller's zone below which all nodes are named.
ENOUGH_NODES = 2


class NodeEntry:
    """What hubs say of one node.

    Attributes:
        report: The latest NodeReport.
        state_by_hub: State of this incarnation by hub address.
    """

    __slots__ = ("report", "state_by_hub")

    def __init__(self, report):
        self.report = report
        self.state_by_hub = {}


class NodeView:
    """What one node knows, and what it says of itself.

    Attributes:
        watcher: The `hub_watch.Watcher`; set after its creation.
        state: Own state as a number of `hub`.
        published: `hub.Published` with the highest version known.
        on_bundle: Called with a new `routing.RouteBundle`.
    """

    __slots__ = (
        "watcher",
        "state",
        "published",
        "on_bundle",
        "_settings",
        "_incarnation",
        "_table",
        "_runs",
        "_entry_by_name",
        "_log",
        "_signer",
        "_rng",
    )

    def __init__(self, settings, incarnation, table, runs, log, signer, on_bundle):
        self.watcher = None
        self.state = hub.NODE_DRAINING
        self.published = hub.Published()
        self.on_bundle = on_bundle
        self._settings = settings
        self._incarnation = incarnation
        self._table = table
        self._runs = runs
        self._entry_by_name = {}
        self._log = log
        self._signer = signer
        self._rng = random.Random()

    # For the watcher.

    def node_report(self):
        """Returns the own NodeReport."""
        return hub_thrift.NodeReport(
            name=self._settings.name,
            incarnation=self._incarnation,
            availability_zone=self._settings.availability_zone,
            region=self._settings.region,
            caller_address=self._settings.caller_address,
            peer_address=self._settings.peer_address,
            state=self.state,
        )

    def known_version(self) -> int:
        """Returns the version of the bundle in force here."""
        return self.published.version

    def preferred_hub(self, addresses: list) -> str:
        """Returns the hub that sends this node its bundles."""
        ranked = sorted(addresses, key=lambda address: hash((self._settings.name, address)))
        return ranked[0]

    def apply_bundle(self, version: int, content: bytes, signature: bytes, source: str):
        """Puts a newer bundle in force if its signature is right; never an older one."""
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
        self.published = hub.Published(version, content, signature)
        self.on_bundle(decoded.ok)

    def apply_target_reports(self, hub_address: str, reports):
        """Takes reports of targets."""
        now = clock.now()
        for record in reports:
            report = hub.as_report(record)
            if not self._table.apply_report(hub_address, report, now):
                continue
            self._log.line(
                "node",
                "target_changed",
                target=report.target_id,
                service=report.service,
                zone=report.availability_zone,
                address=report.address,
                state=report.state,
                overdue=int(report.overdue),
                sequence=report.sequence,
                hub=hub_address,
            )

    def apply_node_reports(self, hub_address: str, reports):
        """Takes reports of nodes."""
        for report in reports:
            entry = self._entry_by_name.get(report.name)
            if entry is not None and entry.report.incarnation > report.incarnation:
                # See `Hub.take_node`: numbers fall when a machine's time of day is set back.
                if entry.state_by_hub.get(hub_address) != hub.NODE_GONE:
                    continue
            if entry is None or entry.report.incarnation != report.incarnation:
                entry = self._entry_by_name[report.name] = NodeEntry(report)
            if entry.state_by_hub.get(hub_address) != report.state:
                self._log.line(
                    "node", "node_changed", name=report.name, state=report.state, hub=hub_address
                )
            entry.state_by_hub[hub_address] = report.state

    def apply_run_reports(self, reports):
        """Takes reports of runs of other gateways."""
        now = clock.now()
        for report in reports:
            if report.node == self._settings.name:
                continue
            known = self._runs.run_by_id.get(report.run_id)
            if known is not None and known.sequence >= report.sequence:
                continue
            run = placement.Run(
                report.run_id, report.session, report.tokens, report.tokens, report.node, now
            )
            run.target_id = report.target_id
            run.copy_target_id = report.copy_target_id
            run.copy_reference = report.copy_reference
            run.sequence = report.sequence
            run.ended = report.state == hub.RUN_ENDED
            self._runs.put(run)

    def apply_loss_reports(self, reports):
        """Takes that other gateways have lost targets."""
        now = clock.now()
        for report in reports:
            if report.node == self._settings.name:
                continue
            if self._table.record_remote_loss(report.target_id, now):
                self._log.line(
                    "node", "target_avoided", target=report.target_id, reporter=report.node
                )

    def discard_hub_reports(self, hub_address: str):
        """Forgets what a hub said before."""
        self._table.reset_hub(hub_address)
        for entry in self._entry_by_name.values():
            entry.state_by_hub.pop(hub_address, None)

    def log_hub_state(self, hub_address: str, reachable: bool, reason: str):
        """Logs that a hub was lost or regained."""
        event = "hub_regained" if reachable else "hub_lost"
        self._log.line("node", event, hub=hub_address, reason=reason)

    # For the directory.

    def live_hubs(self) -> set:
        """Returns the addresses whose reports are current; the own hub's is empty."""
        return {"", *(state.address for state in self.watcher.reachable())}

    def ready_nodes(self) -> list:
        """Returns the reports of nodes that take requests, as far as hubs say."""
        live = self.live_hubs()
        found = []
        for entry in self._entry_by_name.values():
            current = [state for name, state in entry.state_by_hub.items() if name in live]
            states = current or list(entry.state_by_hub.values())
            if hub.NODE_READY in states and hub.NODE_DRAINING not in states:
                found.append(entry.report)
        return found

    def choose_addresses(self, zone: str, region: str) -> list[str]:
        """Returns the addresses that a caller of a zone should use."""
        ready = self.ready_nodes()
        if self.state == hub.NODE_READY:
            if all(report.name != self._settings.name for report in ready):
                ready.append(self.node_report())
        self._rng.shuffle(ready)
        near = [report for report in ready if report.availability_zone == zone]
        if len(near) < ENOUGH_NODES:
            return [report.caller_address for report in ready[:MAX_ADDRESSES]]
        far = [report for report in ready if report.availability_zone != zone]
        far.sort(key=lambda report: report.region != region)
        chosen = near[: MAX_ADDRESSES - OTHER_ZONES] + far[:OTHER_ZONES]
        return [report.caller_address for report in chosen]
