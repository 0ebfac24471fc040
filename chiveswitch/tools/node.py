"""A node: gateway, directory and, on a machine with a disk, control member and hub."""

import asyncio
import logging
import os
import random
import secrets
import signal
import sys
import time

import expression

from chiveswitch.core import (
    clock,
    codes,
    consensus_messages,
    control_state,
    decision_log,
    metrics,
    routing,
    target_table,
)
from chiveswitch.forwarding import calls, forwarder, http_server, streams
from chiveswitch.peers import control_client, control_server, hub, hub_watch, kinds, links, strict
from chiveswitch.storage import data_folder, files
from chiveswitch.tools import node_view

log = logging.getLogger("chiveswitch.node")

# The modules register the handlers of their kinds of routes.
HANDLERS = (calls.serve_call, streams.serve_stream)

EXIT_FAILED = 1
EXIT_SETTINGS = 2

# Seconds for which an operator's or target's request is passed on before it is answered.
CONTROL_SECONDS = 0.9
# Seconds to wait for a hub's acknowledgement of an announcement.
REPORT_SECONDS = 0.3
# Interval in seconds of the upkeep of tables and pools.
UPKEEP_SECONDS = 1.0
# Interval in seconds at which a process with a disk asks whether it is a member.
JOIN_SECONDS = 0.5
JOINED_SECONDS = 2.0
# Seconds after the stop signal for which new connections are still accepted: callers keep the
# directory's answer for up to three times its lifetime.
TTLS_BEFORE_CLOSE = 3.0
# Seconds before the end of the grace time at which what is left is cut.
CUT_BEFORE_KILL_SECONDS = 0.8
STOP_POLL_SECONDS = 0.05
# Silence of the control leader in seconds after which a hub no longer acknowledges that a target
# leaves: it may be cut off from the gateways, too.
LEADER_SILENCE_SECONDS = 2.0


class ApiListener:
    """An address on which an adapter's handler answers.

    Attributes:
        address: `ip:port`.
        handler: Coroutine function (node, request, responder).
    """

    __slots__ = ("address", "handler")

    def __init__(self, address: str, handler):
        self.address = address
        self.handler = handler


class Node:
    """One process with all its roles.

    Attributes:
        settings: `node_settings.NodeSettings`.
        log: `decision_log.DecisionLog`.
        metrics: `metrics.Metrics`.
        table: `target_table.TargetTable`.
        forwarder: `forwarder.Forwarder`.
        view: `node_view.NodeView`.
        control: `control_server.ControlServer`, or None without a disk.
        client: `control_client.ControlClient`.
    """

    __slots__ = (
        "settings",
        "log",
        "metrics",
        "table",
        "forwarder",
        "view",
        "control",
        "client",
        "hub",
        "watcher",
        "_listeners",
        "_servers",
        "_front",
        "_peers",
        "_tasks",
        "_stop",
        "_signer",
        "_stopping",
        "_incarnation",
        "_reported_ready",
    )

    def __init__(self, settings, dialect, listeners: list):
        """Prepares a node.

        Args:
            settings: `node_settings.NodeSettings`.
            dialect: `exchange.Dialect` of the platform.
            listeners: `ApiListener` list of the adapter.
        """
        self.settings = settings
        self.log = decision_log.DecisionLog()
        # Changes of the control leader and faults of other parts; standard error could block.
        parts = logging.getLogger("chiveswitch")
        parts.setLevel(logging.INFO)
        parts.propagate = False
        parts.addHandler(decision_log.DecisionLogHandler(self.log))
        self.metrics = metrics.Metrics()
        self.table = target_table.TargetTable(self._target_left, self._report_loss)
        self.forwarder = forwarder.Forwarder(
            dialect, self.table, self.log, self.metrics, settings, self._report_run
        )
        # Incarnations of one name rise with time also where the disk is lost.
        self._incarnation = time.time_ns() // 1000
        self._signer = routing.Signer(settings.operator_secret)
        self.view = node_view.NodeView(
            settings,
            self._incarnation,
            self.table,
            self.forwarder.run_table,
            self.log,
            self._signer,
            self._bundle_changed,
        )
        self.watcher = hub_watch.Watcher(
            self.view, settings.seeds, settings.peer_address, random.Random()
        )
        self.view.watcher = self.watcher
        self.hub = hub.Hub(
            settings.heartbeat_s,
            self._members,
            lambda: self.view.published,
            self._is_member,
            self._hub_changed,
        )
        self.control = None
        self.client = control_client.ControlClient(settings.seeds)
        self._listeners = listeners
        self._servers = []
        self._front = http_server.Server(self.forwarder.handle, self.forwarder.limits)
        self._peers = None
        self._tasks = []
        self._stop = None
        self._stopping = False
        self._reported_ready = False

    # Life of the node.

    async def run(self):
        """Runs until a stop signal or a fault.

        Returns:
            None after a signal, or the `codes.Failure` that ended the node.
        """
        loop = asyncio.get_running_loop()
        self._stop = loop.create_future()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop_asked, number)
        loop.add_signal_handler(signal.SIGHUP, self._reload_asked)
        settings = self.settings
        self.log.line(
            "node",
            "start",
            name=settings.name,
            zone=settings.availability_zone,
            disk=int(bool(settings.data_folder)),
            first=int(settings.first_start),
            seeds=",".join(settings.seeds),
            incarnation=self._incarnation,
        )
        try:
            opened = await self._start_peers()
            if opened.is_error():
                return opened.error
            for listener in self._listeners:
                server = http_server.Server(self._api_handler(listener))
                self._servers.append(server)
                await server.start(listener.address)
            await self._front.start(settings.caller_address)
        except OSError as error:
            return codes.Failure(codes.Code.SETTING_INVALID, f"Cannot listen: {error}")
        self._gauges()
        self.watcher.start()
        for coroutine in (self.hub.run(), self._keep_up(), self._keep_membership()):
            self._tasks.append(loop.create_task(coroutine))
        waited = [self._stop]
        if self.control is not None:
            waited.append(self.control.failed)
        await asyncio.wait([*waited, *self._tasks], return_when=asyncio.FIRST_COMPLETED)
        failure = self._failure()
        if failure is None:
            await self._drain()
        await self._close()
        outcome = "stopped" if failure is None else failure.message
        self.log.line("node", "stop", name=settings.name, outcome=outcome)
        self.log.flush()
        return failure

    def _failure(self):
        if self.control is not None and self.control.failed.done():
            return self.control.failed.result()
        for task in self._tasks:
            if task.done() and not task.cancelled() and task.exception() is not None:
                log.error("node: a task failed", exc_info=task.exception())
                return codes.Failure(codes.Code.INTERNAL, repr(task.exception()))
        return None

    def _stop_asked(self, number):
        self.log.line("node", "stop_asked", signal=int(number))
        if not self._stop.done():
            self._stop.set_result(None)

    def _reload_asked(self):
        # Addresses and roles of a running process do not change; seeds count at the next start.
        self.log.line("node", "reload", outcome="settings are read at the next start")

    async def _drain(self):
        """Finishes what the grace time allows; callers are told to go elsewhere."""
        started = clock.now()
        self._stopping = True
        self.forwarder.draining_since = started
        self._front.drain()
        self._update_state()
        listens_until = started + TTLS_BEFORE_CLOSE * self.settings.address_ttl_s
        cut_at = started + self.settings.stop_grace_s - CUT_BEFORE_KILL_SECONDS
        while clock.now() < cut_at:
            busy = self._front.busy_count()
            if not busy and clock.now() >= listens_until:
                break
            await asyncio.sleep(STOP_POLL_SECONDS)
        self.log.line("node", "drained", took=clock.now() - started, cut=self._front.busy_count())

    async def _close(self):
        await self._front.close()
        for server in self._servers:
            await server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.watcher.close()
        await self.client.close()
        self.forwarder.pool.close()
        if self.control is not None:
            await self.control.close()
        elif self._peers is not None:
            await self._peers.close()

    async def _start_peers(self) -> expression.Result:
        settings = self.settings
        handlers_by_kind = {
            kinds.Kind.HUB_WATCH: self.hub.serve_watch,
            kinds.Kind.HUB_REPORT: self._serve_report,
            kinds.Kind.HUB_REPORT_RUNS: self._serve_runs,
        }
        host, _, port = settings.peer_address.rpartition(":")
        if not settings.data_folder:
            self._peers = links.Server(handlers_by_kind)
            await self._peers.start(host, int(port))
            return expression.Ok(None)
        opened = open_folder(settings)
        if opened.is_error():
            return opened
        self.control = control_server.ControlServer(
            settings.peer_address,
            opened.ok,
            handlers_by_kind=handlers_by_kind,
            losses=settings.losses,
            on_applied=self._state_applied,
        )
        await self.control.start()
        self._state_applied()
        return expression.Ok(None)

    def _gauges(self):
        gauges = self.metrics.gauge_by_name
        gauges["bundle_version"] = lambda: self.view.published.version
        gauges["targets"] = lambda: len(self.table.target_by_id)
        gauges["channels_opened"] = lambda: self.forwarder.pool.opened_count
        gauges["requests_open"] = self._front.busy_count
        gauges["log_lines_dropped"] = lambda: self.log.dropped
        gauges["hubs_reachable"] = lambda: len(self.watcher.reachable())
        gauges["stream_moves_false"] = lambda: self.forwarder.detector.false_moves

    def _api_handler(self, listener):
        async def handle(request, responder):
            await listener.handler(self, request, responder)

        return handle

    # State.

    @property
    def ready(self) -> bool:
        """Whether the node takes requests."""
        return not self._stopping and self.forwarder.bundle is not None and self._knows_targets()

    def _knows_targets(self):
        return bool(self.table.target_by_id) and bool(self.watcher.reachable() or self._is_member())

    def _update_state(self):
        if self.ready:
            self._reported_ready = True
        # Losing all hubs for a while does not make a node that serves unready.
        ready = self._reported_ready and not self._stopping
        state = hub.NODE_READY if ready else hub.NODE_DRAINING
        if state == self.view.state:
            return
        self.view.state = state
        self.log.line("node", "state", ready=int(ready), bundle=self.view.published.version)
        report = self.view.node_report()
        if self._is_member():
            self.hub.take_node(report)
        self.watcher.send_state()

    @property
    def is_serving(self) -> bool:
        """Whether the node counts as ready for the platform."""
        return self.view.state == hub.NODE_READY

    def _members(self) -> hub.Members:
        own = hub.Members(-1, [])
        if self.control is not None:
            index, configuration = self.control.node.committed_configuration()
            own = hub.Members(index, list(configuration.voters.values()))
        # A process that was removed may hold an old membership.
        known = self.watcher.members
        return own if own.addresses and own.index >= known.index else known

    def _is_member(self) -> bool:
        return self.settings.peer_address in self._members().addresses

    def _state_applied(self):
        entry = self.control.state.published
        if entry is not None:
            self.view.apply_bundle(entry.version, entry.content, entry.signature, "control")

    def _bundle_changed(self, bundle):
        self.forwarder.bundle = bundle
        self._update_state()
        self.hub.wake()

    def _hub_changed(self, entry):
        kind = entry.kind
        if kind == "targets":
            self.view.apply_target_reports("", [entry.report])
            self._update_state()
            return
        if kind == "nodes":
            self.view.apply_node_reports("", [entry.report])
            return
        if kind == "runs":
            self.view.apply_run_reports([entry.report])
            return
        self.view.apply_loss_reports([entry.report])

    def _target_left(self, target_id):
        self.forwarder.pool.close_target(target_id)
        self.forwarder.detector.forget_engine(target_id)

    def _report_run(self, run):
        report = hub.hub_thrift.RunReport(
            run_id=run.run_id,
            session=run.session,
            target_id=run.target_id,
            copy_target_id=run.copy_target_id,
            tokens=run.tokens,
            state=hub.RUN_ENDED if run.ended else hub.RUN_ACTIVE,
            node=run.node,
            sequence=run.sequence,
            copy_reference=run.copy_reference,
        )
        if self._is_member():
            self.hub.take_run(report)
            return
        self.watcher.report_run(report)

    def _report_loss(self, target_id):
        report = hub.hub_thrift.LossReport(
            target_id=target_id, node=self.settings.name, at_ms=int(clock.now() * 1000)
        )
        if self._is_member():
            self.hub.take_loss(report)
            return
        self.watcher.report_loss(report)

    async def _keep_up(self):
        while True:
            await asyncio.sleep(UPKEEP_SECONDS)
            now = clock.now()
            self.table.sweep(self.view.live_hubs(), now)
            self.forwarder.run_table.sweep(now)
            self.forwarder.pool.close_stale_channels()
            self._update_state()
            self._learn_members()

    def _learn_members(self):
        members = self._members()
        self.watcher.learn_members(members)
        if members.addresses:
            self.client.learn(members.addresses)

    async def _keep_membership(self):
        if self.control is None:
            await asyncio.get_running_loop().create_future()
        while True:
            self._learn_members()
            asked = await self.client.join(
                self.control.node.node_id,
                self.settings.peer_address,
                clock.now() + CONTROL_SECONDS,
            )
            joined = asked.is_ok() and asked.ok
            await asyncio.sleep(JOINED_SECONDS if joined else JOIN_SECONDS)

    # Reports of targets and runs.

    async def report_target(self, report) -> expression.Result:
        """Passes a target's announcement to a hub.

        Args:
            report: A TargetReport of `hub_thrift`.

        Returns:
            Ok with the peer address of the hub that has it; CONTROL_UNAVAILABLE if none took it.
        """
        if self._is_member():
            if self._accept(report):
                return expression.Ok(self.settings.peer_address)
        found = self.watcher.reachable()
        found.sort(key=lambda state: not state.link.connected)
        payload = strict.encode(hub.hub_thrift.Report(target=report))
        for state in found[:2]:
            result = await state.link.call(kinds.Kind.HUB_REPORT, payload, REPORT_SECONDS)
            if result.is_ok():
                result = strict.decode(hub.hub_thrift.ReportAnswer, result.ok)
            if result.is_ok() and result.ok.accepted:
                return expression.Ok(state.address)
        return codes.failure(codes.Code.CONTROL_UNAVAILABLE, "no hub took the announcement")

    def _accept(self, report) -> bool:
        leaves = report.state != target_table.READY
        if leaves and self.control is not None:
            age = self.control.node.seconds_since_leader_contact(clock.now())
            if age > LEADER_SILENCE_SECONDS:
                self.log.line("hub", "leave_refused", target=report.target_id, leader_silence=age)
                return False
        self.hub.take_target(report)
        return True

    def _serve_report(self, payload, _trace):
        decoded = strict.decode(hub.hub_thrift.Report, payload)
        if decoded.is_error():
            return decoded
        accepted = self._is_member() and self._accept(decoded.ok.target)
        answer = hub.hub_thrift.ReportAnswer(
            accepted=accepted, hub_address=self.settings.peer_address
        )
        return expression.Ok(strict.encode(answer))

    def _serve_runs(self, payload, _trace):
        decoded = strict.decode(hub.hub_thrift.Watch, payload)
        if decoded.is_error():
            return decoded
        if self._is_member():
            self.hub.take_node(decoded.ok.node)
            self.hub.take_reports(decoded.ok)
        return expression.Ok(b"")

    # Orders of operators.

    async def publish(self, bundle: routing.RouteBundle, actor: str) -> expression.Result:
        """Writes, approves and rolls a route bundle.

        Returns:
            Ok with the Answer; BUNDLE_INVALID with all faults; CONTROL_UNAVAILABLE or MAY_HAVE_RUN
            if control did not answer in time.
        """
        faults = routing.find_faults(bundle)
        if faults:
            reason = "; ".join(faults)
            self.log.line(
                "operator", "publish_refused", version=bundle.version, reason=reason[:400]
            )
            return codes.failure(codes.Code.BUNDLE_INVALID, reason)
        content = bundle.encode()
        record = control_state.control_thrift.PublishRoutes(
            actor=actor,
            version=bundle.version,
            content=content,
            signature=self._signer.sign(content),
        )
        result = await self.client.propose(record, clock.now() + CONTROL_SECONDS)
        outcome = result.ok.kind if result.is_ok() else result.error.message
        held = result.ok.number if result.is_ok() else 0
        self.log.line(
            "operator", "publish", version=bundle.version, held=held, outcome=outcome[:200]
        )
        return result

    async def read_published(self) -> expression.Result:
        """Returns Ok with the `routing.RouteBundle` in force or None, confirmed by a majority."""
        known = self.view.published
        asked = await self.client.published(known.version, clock.now() + CONTROL_SECONDS)
        if asked.is_error():
            self.log.line("operator", "read", outcome=asked.error.message[:200])
            return asked
        answer = asked.ok
        self.log.line("operator", "read", version=answer.version, outcome="confirmed")
        if answer.version > self.view.published.version:
            self.view.apply_bundle(answer.version, answer.content, answer.signature, "read")
        if answer.version == 0:
            return expression.Ok(None)
        if self.forwarder.bundle is None or self.forwarder.bundle.version < answer.version:
            return codes.failure(codes.Code.CONTROL_UNAVAILABLE, "the bundle did not arrive")
        return expression.Ok(self.forwarder.bundle)


def open_folder(settings) -> expression.Result:
    """Opens the node's data folder; the seeds of a first start are the first members.

    A node whose disk was lost gets a new member id, since it has forgotten its vote and its log.
    """
    first = settings.first_start and settings.peer_address in settings.seeds
    voters = {f"first-{address}": address for address in settings.seeds}

    def new_id():
        return f"first-{settings.peer_address}" if first else secrets.token_hex(8)

    def first_configuration(_node_id):
        return consensus_messages.Configuration(voters)

    os.makedirs(settings.data_folder, exist_ok=True)
    return data_folder.open_folder(
        files.Files(),
        settings.data_folder,
        new_id,
        first_configuration if first else None,
    )


def run(settings, dialect, listeners: list):
    """Runs a node to its end; exits with a numbered error if it cannot go on."""
    failure = asyncio.run(Node(settings, dialect, listeners).run())
    if failure is not None:
        print(f"{int(failure.code)} {failure.code.name} {failure.message}", file=sys.stderr)
        is_setting = failure.code == codes.Code.SETTING_INVALID
        sys.exit(EXIT_SETTINGS if is_setting else EXIT_FAILED)
