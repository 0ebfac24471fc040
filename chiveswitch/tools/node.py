"""The node process: gateway and directory, plus control member and hub on machines with a disk.

A node forwards callers' requests, answers directory requests and follows the hubs. On a machine
with a disk it also replicates the control log and, once it is a member, acts as a hub.
"""

import asyncio
import functools
import logging
import math
import random
import secrets
import signal
import sys
import time

import expression

from chiveswitch.core import (
    clock,
    codes,
    consensus,
    consensus_messages,
    control_state,
    decision_log,
    memory_budget,
    metrics,
    placement,
    prompt_quarantine,
    rooms,
    routing,
    speeds,
    target_table,
)
from chiveswitch.forwarding import calls, forwarder, http_server, intake, pauses, streams
from chiveswitch.peers import (
    control_client,
    control_server,
    hub,
    hub_watch,
    kinds,
    leave_store,
    links,
    strict,
)
from chiveswitch.storage import data_folder, files
from chiveswitch.tools import node_leaves, node_limits, node_rollouts, node_usage, node_view

log = logging.getLogger("chiveswitch.node")

# Importing these modules registers their handlers by kind of route.
ROUTE_HANDLERS = (calls.serve_call, streams.serve_stream)

EXIT_FAILED = 1
EXIT_SETTINGS = 2

# Timeout in seconds of a request to the control leader, and so of the operator's request behind it.
CONTROL_TIMEOUT_SECONDS = 0.9
# Longest time in seconds that a document for an operator may take on the machine's link. Operators
# wait for a second in all; they are redirected if a document takes longer.
MAX_DOCUMENT_SECONDS = 0.3
# Longest time in seconds for which a document is sent to an operator.
DOCUMENT_TIMEOUT_SECONDS = 30.0
# Timeout in seconds of a hub's acknowledgement of a target's announcement, and of the node's own
# response to the target, which calls the next node after a second.
HUB_ACK_TIMEOUT_SECONDS = 0.3
REPORT_TIMEOUT_SECONDS = 0.9
# Longest time in seconds for which a returning stream waits for the gateway that had its run.
RUN_QUERY_TIMEOUT_SECONDS = 0.2
# Interval in seconds between two sweeps of the tables and the connection pool.
SWEEP_INTERVAL_SECONDS = 1.0
# Seconds between two requests to join the control members: until the join is confirmed, and after
# that, when the request only checks that the process is still a member.
JOIN_RETRY_SECONDS = 0.5
# Interval at which a node tries to open its data folder while the disk is full.
FULL_DISK_RETRY_SECONDS = 0.5
MEMBERSHIP_CHECK_SECONDS = 2.0
# Address lifetimes (`address_ttl_s`) after the stop signal for which new connections are still
# accepted: callers keep the directory's answer for up to three times its lifetime.
LISTEN_AFTER_STOP_TTLS = 3.0
# Time before the end of the grace time at which open requests are cut: a share of the grace time,
# and its upper bound in seconds. What the process closes after that must end before it is killed.
CUT_MARGIN_SHARE = 0.16
MAX_CUT_MARGIN_SECONDS = 0.8
# Share of the time until the process is killed, and its upper bound in seconds, in which the last
# responses must reach their callers.
LAST_RESPONSES_SHARE = 0.5
MAX_LAST_RESPONSES_SECONDS = 1.0
# Time after the stop signal in which streams are admitted that their callers can resume at another
# node: a share of the grace time, and its upper bound in seconds.
STREAM_ADMISSION_SHARE = 0.25
MAX_STREAM_ADMISSION_SECONDS = 2.0
STOP_POLL_SECONDS = 0.05
# Seconds without contact to the control leader after which a hub no longer acknowledges that a
# target leaves: the hub may be cut off from the gateways, too.
MAX_LEADER_SILENCE_SECONDS = 2.0


def _run_state(run):
    if run.interrupted:
        return hub.RUN_INTERRUPTED
    return hub.RUN_ENDED if run.ended else hub.RUN_ACTIVE


def _wire_speed(run):
    """Returns the SpeedReport of a run, or None."""
    if run.speed is None:
        return None
    return hub.hub_thrift.SpeedReport(
        born_ms=run.speed.born_ms, percent=round(run.speed.factor * speeds.PERCENT)
    )


def _wire_prompt_report(report):
    return hub.hub_thrift.PromptReport(
        outcome=int(report.outcome),
        parts=report.parts,
        target_id=report.target_id,
        age_ms=int((clock.now() - report.at) * hub.MS_PER_SECOND),
    )


class ApiListener:
    """An address and the adapter's handler that answers the requests to it.

    Attributes:
        address: `ip:port`.
        handler: Coroutine function (node, request, responder).
        max_body_bytes: Function (request) that returns the largest size of the request's body.
    """

    __slots__ = ("address", "handler", "max_body_bytes")

    def __init__(self, address: str, handler, max_body_bytes):
        self.address = address
        self.handler = handler
        self.max_body_bytes = max_body_bytes


class Node:
    """One node process with all its roles.

    Attributes:
        settings: `node_settings.NodeSettings`.
        log: `decision_log.DecisionLog`.
        metrics: `metrics.Metrics`.
        budget: `memory_budget.MemoryBudget` of the process.
        intake: `intake.Intake` of all its HTTP servers.
        table: `target_table.TargetTable` with the targets that hubs have reported.
        forwarder: `forwarder.Forwarder`, which handles the callers' requests.
        view: `node_view.NodeView`.
        control: `control_server.ControlServer` of the own member, or None without a disk.
        client: `control_client.ControlClient`, which sends requests to the control leader.
        hub: `hub.Hub`, which serves watches while the node is a control member.
        leave_store: `leave_store.LeaveStore` of the hub, or None without a disk.
        watcher: `hub_watch.Watcher`, which follows all hubs.
        rollouts: `node_rollouts.RolloutExchange`, or None if operators order no roll-outs.
        incarnation: Number of this start; a later start of the node has a higher one.
    """

    __slots__ = (
        "settings",
        "log",
        "metrics",
        "budget",
        "intake",
        "table",
        "forwarder",
        "view",
        "control",
        "client",
        "hub",
        "leave_store",
        "watcher",
        "rollouts",
        "incarnation",
        "_listeners",
        "_api_servers",
        "_caller_server",
        "_peer_server",
        "_tasks",
        "_stop_future",
        "_signer",
        "_rng",
        "_stopping",
        "_stop_asked_at",
        "_ends_by",
        "_answers_until",
        "_was_ready",
        "_limit_exchange",
        "_leave_exchange",
        "_room_meter",
        "_usage_probe",
    )

    def __init__(self, settings, dialect, listeners: list):
        """Creates a node that has not started; see `run`.

        Args:
            settings: `node_settings.NodeSettings`.
            dialect: `exchange.Dialect` of the platform.
            listeners: `ApiListener` list of the adapter.
        """
        self.settings = settings
        self.log = decision_log.DecisionLog()
        # Records of the other modules, such as changes of the control leader and faults, go to the
        # decision log, because a write to standard error could block.
        package_log = logging.getLogger("chiveswitch")
        package_log.setLevel(logging.INFO)
        package_log.propagate = False
        package_log.addHandler(decision_log.DecisionLogHandler(self.log))
        self.metrics = metrics.Metrics()
        self.table = target_table.TargetTable(self._on_target_removed, self._report_loss)
        self.forwarder = forwarder.Forwarder(
            dialect, self.table, self.log, self.metrics, settings, self._report_run
        )
        self.budget = memory_budget.MemoryBudget(settings.memory_bytes, settings.max_descriptors)
        self.forwarder.pool.pacer.budget = self.budget
        # From the time of day, so that incarnations of one name also rise after a disk is lost.
        self.incarnation = time.time_ns() // 1000
        self._signer = routing.Signer(settings.operator_secret)
        self._rng = random.Random()
        self.view = node_view.NodeView(
            settings,
            self.incarnation,
            self.table,
            self.forwarder.run_table,
            self.log,
            self._signer,
            self._on_bundle_changed,
        )
        self.watcher = hub_watch.HubWatcher(
            self.view, settings.seeds, settings.peer_address, self._rng
        )
        self.view.watcher = self.watcher
        self.view.on_speed = self.forwarder.apply_speed
        self.view.on_prompt_report = self._on_prompt_report
        self.view.held_prompt_reports = self._held_prompt_reports
        self.forwarder.report_prompt = self._report_prompt
        self.forwarder.fetch_run_status = self._fetch_run_status
        self.forwarder.report_leaving = self._report_leaving
        self._limit_exchange = node_limits.LimitExchange(self, self._rng)
        self._leave_exchange = node_leaves.LeaveExchange(self)
        self.hub = hub.Hub(
            settings.heartbeat_s,
            self._current_members,
            lambda: self.view.published,
            self.is_member,
            self._on_hub_changed,
        )
        self.rollouts = None
        if settings.rollout is not None:
            self.rollouts = node_rollouts.RolloutExchange(self)
        self.leave_store = None
        self.control = None
        self.client = control_client.ControlClient(settings.seeds)
        self._listeners = listeners
        self._api_servers = []
        receive_bytes = intake.RECEIVE_BUFFER_BYTES if settings.memory_bytes else 0
        self.intake = intake.Intake(self.budget, self.metrics.count, receive_bytes)
        self._caller_server = http_server.Server(
            self.forwarder.handle, self.forwarder.limits, intake=self.intake
        )
        self._peer_server = None
        self._tasks = []
        self._stop_future = None
        self._stopping = False
        # Time of the first stop signal, in seconds of `core.clock`.
        self._stop_asked_at = math.inf
        # Time at which the process may be killed, in seconds of `core.clock`.
        self._ends_by = math.inf
        # Time from which requests of operators and others are refused, in seconds of `core.clock`.
        self._answers_until = math.inf
        self._was_ready = False
        self._room_meter = rooms.RoomMeter(clock.now())
        self._usage_probe = node_usage.UsageProbe(settings, self._caller_server, clock.now())

    # Start and stop.

    async def run(self):
        """Runs the node until a stop signal or a fault.

        Returns:
            None after a signal, or the `codes.Failure` that ended the node.
        """
        loop = asyncio.get_running_loop()
        self._stop_future = loop.create_future()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_stop_signal, number)
        loop.add_signal_handler(signal.SIGHUP, self._on_reload_signal)
        settings = self.settings
        self.log.line(
            "node",
            "start",
            name=settings.name,
            zone=settings.availability_zone,
            disk=int(bool(settings.data_folder)),
            first=int(settings.first_start),
            seeds=",".join(settings.seeds),
            incarnation=self.incarnation,
        )
        try:
            opened = await self._start_peers()
            if opened.is_error():
                return opened.error
            for listener in self._listeners:
                server = http_server.Server(
                    self._api_handler(listener),
                    max_body_bytes=listener.max_body_bytes,
                    intake=self.intake,
                    listener=memory_budget.Listener.OTHERS,
                )
                self._api_servers.append(server)
                await server.start(listener.address)
            await self._caller_server.start(settings.caller_address)
        except OSError as error:
            return codes.Failure(codes.Code.SETTING_INVALID, f"Cannot listen: {error}")
        self._register_gauges()
        self.watcher.start()
        for coroutine in (
            self.hub.run_sweeps(),
            self._sweep_periodically(),
            self._maintain_membership(),
        ):
            self._tasks.append(loop.create_task(coroutine))
        if self.rollouts is not None:
            self._tasks.append(loop.create_task(self.rollouts.run()))
        futures = [self._stop_future]
        if self.control is not None:
            futures.append(self.control.failed)
        await asyncio.wait([*futures, *self._tasks], return_when=asyncio.FIRST_COMPLETED)
        failure = self._find_failure()
        if failure is None:
            await self._drain()
        await self._close()
        outcome = "stopped" if failure is None else failure.message
        self.log.line("node", "stop", name=settings.name, outcome=outcome)
        self.log.flush()
        return failure

    def _find_failure(self):
        if self.control is not None and self.control.failed.done():
            return self.control.failed.result()
        for task in self._tasks:
            if task.done() and not task.cancelled() and task.exception() is not None:
                log.error("node: a background task failed", exc_info=task.exception())
                return codes.Failure(codes.Code.INTERNAL, repr(task.exception()))
        return None

    def _on_stop_signal(self, number):
        self.log.line("node", "stop_asked", signal=int(number))
        if not self._stop_future.done():
            self._stop_asked_at = clock.now()
            self._stop_future.set_result(None)

    def _on_reload_signal(self):
        # Nothing is reloaded: addresses and roles of a running process do not change, and changed
        # seeds are used from the next start on.
        self.log.line("node", "reload", outcome="settings are read at the next start")

    async def _drain(self):
        """Waits for open requests up to the grace time; new callers are sent to other nodes."""
        # The signal may have come while the process started or could not handle it at once.
        started = min(self._stop_asked_at, clock.now())
        self._stopping = True
        grace_s = self.settings.stop_grace_s
        self._ends_by = started + grace_s
        cut_at = self._ends_by - min(MAX_CUT_MARGIN_SECONDS, CUT_MARGIN_SHARE * grace_s)
        self._answers_until = cut_at - CONTROL_TIMEOUT_SECONDS
        streams_for_s = min(MAX_STREAM_ADMISSION_SECONDS, STREAM_ADMISSION_SHARE * grace_s)
        self.forwarder.begin_drain(forwarder.Drain(cut_at, started + streams_for_s))
        self._caller_server.drain()
        self._update_state()
        listens_until = started + LISTEN_AFTER_STOP_TTLS * self.settings.address_ttl_s
        while clock.now() < cut_at:
            if clock.now() >= listens_until and not self._caller_server.busy_count():
                break
            await asyncio.sleep(STOP_POLL_SECONDS)
        # The lines about requests that are cut are needed even if the node is busy.
        self.log.permit_burst()
        self.log.line(
            "node",
            "drained",
            took=clock.now() - started,
            cut=self._caller_server.busy_count(),
            **self._caller_server.count_by_state(),
        )

    async def _close(self):
        took_by_step = {}
        for name, step in (
            ("servers", self._close_servers),
            ("tasks", self._close_tasks),
            ("links", self._close_links),
            ("control", self._close_control),
        ):
            started = clock.now()
            await step()
            took_by_step[name] = clock.now() - started
        self.log.line("node", "closed", **took_by_step)

    async def _close_servers(self):
        now = clock.now()
        self._answers_until = min(self._answers_until, now)
        self.forwarder.cut_open_requests()
        left_s = max(0.0, self._ends_by - now)
        timeout_s = min(MAX_LAST_RESPONSES_SECONDS, LAST_RESPONSES_SHARE * left_s)
        servers = [self._caller_server, *self._api_servers]
        await asyncio.gather(*(server.close(timeout_s) for server in servers))

    async def _close_tasks(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _close_links(self):
        await self.watcher.close()
        await self.client.close()
        self.forwarder.pool.close()

    async def _close_control(self):
        if self.control is not None:
            await self.control.close()
            await self.leave_store.close()
        elif self._peer_server is not None:
            await self._peer_server.close()

    async def _start_peers(self) -> expression.Result:
        settings = self.settings
        handler_by_kind = {
            kinds.Kind.HUB_WATCH: self.hub.serve_watch,
            kinds.Kind.HUB_REPORT: self._serve_report,
            kinds.Kind.HUB_REPORT_RUNS: self._serve_runs,
            kinds.Kind.HUB_REPORT_PROMPTS: self._serve_prompts,
            kinds.Kind.RUN_QUERY: self._serve_run_query,
            **self._limit_exchange.handler_by_kind,
            **self._leave_exchange.handler_by_kind,
        }
        if self.rollouts is not None:
            handler_by_kind.update(self.rollouts.handler_by_kind)
        host, _, port = settings.peer_address.rpartition(":")
        if not settings.data_folder:
            self._peer_server = links.Server(handler_by_kind, self.budget)
            await self._peer_server.start(host, int(port))
            return expression.Ok(None)
        opened = await open_folder_with_room(settings, self._stop_future, self.log)
        if opened.is_error():
            return opened
        self.control = control_server.ControlServer(
            settings.peer_address,
            opened.ok,
            handler_by_kind=handler_by_kind,
            settings=consensus.Settings(tolerated_losses=settings.losses),
            on_applied=self._apply_control_state,
            budget=self.budget,
        )
        self.leave_store = leave_store.LeaveStore(self.hub, files.Files(), settings.data_folder)
        self.leave_store.restore()
        await self.control.start()
        self._apply_control_state()
        return expression.Ok(None)

    def _register_gauges(self):
        gauges = self.metrics.gauge_by_name
        gauges["bundle_version"] = lambda: self.view.published.version
        gauges["targets"] = lambda: len(self.table.target_by_id)
        gauges["targets_draining"] = self.table.count_draining
        gauges["targets_paused"] = lambda: pauses.count_paused(self.table)
        gauges["streams_waiting"] = self.forwarder.count_waiting_streams
        gauges["channels_opened"] = lambda: self.forwarder.pool.opened_count
        gauges["response_bytes_held"] = lambda: self.budget.held_bytes
        for kind in memory_budget.Kind:
            gauges[f"held_bytes_{kind.name.lower()}"] = functools.partial(self._held_bytes, kind)
        gauges["connections_open"] = lambda: sum(
            len(server.connections) for server in self.intake.servers
        )
        gauges["requests_open"] = self._caller_server.busy_count
        for state in http_server.CONNECTION_STATES:
            gauges[f"connections_{state}"] = functools.partial(self._count_connections, state)
        gauges["log_lines_dropped"] = lambda: self.log.dropped
        gauges["room"] = lambda: self._room_meter.room
        gauges["hubs_reachable"] = lambda: len(self.watcher.reachable_hubs())
        gauges["prompts_in_quarantine"] = self.forwarder.quarantine.held_count
        if self.control is not None:
            node = self.control.node
            gauges["control_voters"] = lambda: len(node.log.configuration().voters)
            gauges["control_learners"] = lambda: len(node.log.configuration().learners)
        limiter = self.forwarder.limiter
        gauges["services_overloaded"] = self.forwarder.overload.table.count_pressed
        if self.rollouts is not None:
            gauges["rollouts_running"] = self.rollouts.running_count
        gauges["targets_limited"] = lambda: len(limiter.table.in_force())
        self.metrics.target_gauge_by_name["target_limit"] = limiter.limit_by_target
        self.metrics.target_gauge_by_name["target_limit_use"] = limiter.use_by_target
        versions = self.forwarder.versions
        gauges["versions_held"] = versions.count_held
        gauges["rollout_share"] = lambda: versions.largest_share(clock.now())
        self.metrics.target_gauge_by_name["target_speed_factor"] = (
            self.forwarder.speed_factor_by_target
        )
        gauges["stream_moves_false"] = lambda: self.forwarder.detector.false_moves

    def _held_bytes(self, kind):
        return self.budget.held_by_kind[kind]

    def _count_connections(self, state):
        return self._caller_server.count_by_state()[state]

    def _api_handler(self, listener):
        async def handle(request, responder):
            if clock.now() >= self._answers_until:
                responder.send(503, [])
                return
            await listener.handler(self, request, responder)

        return handle

    # Readiness and state.

    @property
    def can_serve(self) -> bool:
        """Whether the node has a bundle and targets, and is not stopping."""
        return (
            not self._stopping and self.forwarder.bundle is not None and self._has_current_targets()
        )

    def _has_current_targets(self):
        return bool(self.table.target_by_id) and bool(
            self.watcher.reachable_hubs() or self.is_member()
        )

    def _update_state(self):
        if self.can_serve:
            self._was_ready = True
        # A node that has been ready stays so when it loses all hubs for a while.
        ready = self._was_ready and not self._stopping
        state = hub.NODE_READY if ready else hub.NODE_DRAINING
        if state == self.view.state:
            return
        self.view.state = state
        self.log.line("node", "state", ready=int(ready), bundle=self.view.published.version)
        self._publish_own_report()

    def _publish_own_report(self):
        if self.is_member():
            self.hub.record_node_report(self.view.node_report())
        self.watcher.send_node_state()

    @property
    def is_serving(self) -> bool:
        """Whether the node reports itself as ready to the platform and to the hubs."""
        return self.view.state == hub.NODE_READY

    def _current_members(self) -> hub.Members:
        own_members = hub.Members(-1, [])
        if self.control is not None:
            index, configuration = self.control.node.committed_configuration()
            own_members = hub.Members(index, list(configuration.voters.values()))
        # The own log of a member that was removed may hold an outdated configuration.
        watched_members = self.watcher.members
        return (
            own_members
            if own_members.addresses and own_members.index >= watched_members.index
            else watched_members
        )

    def is_member(self) -> bool:
        """Returns whether this node is a control member and thus a hub."""
        return self.settings.peer_address in self._current_members().addresses

    def _apply_control_state(self):
        entry = self.control.state.published
        if entry is not None:
            self.view.apply_bundle(entry.version, entry.content, entry.signature, "control")
        if self.rollouts is not None:
            self.rollouts.on_control_applied()

    def _on_bundle_changed(self, bundle):
        self.forwarder.set_bundle(bundle)
        self._update_state()
        self.hub.schedule_watch_answers()

    def _on_hub_changed(self, entry):
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
        if kind == "prompts":
            self.view.apply_prompt_reports([entry.report])
            return
        if kind == "limits":
            self.view.apply_limit_reports([entry.report])
            return
        self.view.apply_loss_reports([entry.report])

    def _on_target_removed(self, target_id):
        self.forwarder.pool.close_target(target_id)
        self.forwarder.detector.forget_engine(target_id)
        self.forwarder.limiter.forget(target_id)
        self.forwarder.overload.table.forget(target_id)
        self.forwarder.forget_speed(target_id)

    def _report_run(self, run):
        report = hub.hub_thrift.RunReport(
            run_id=run.run_id,
            request_digest=run.request_digest,
            target_id=run.target_id,
            copy_target_id=run.copy_target_id,
            tokens=run.tokens,
            state=_run_state(run),
            node=run.node,
            sequence=run.sequence,
            copy_reference=run.copy_reference,
            speed=_wire_speed(run),
        )
        if self.is_member():
            self.hub.record_run_report(report)
            return
        self.watcher.report_run(report)

    async def _fetch_run_status(self, run) -> placement.RunStatus:
        """Asks the node of a run whether its caller is still there.

        A node whose address accepts no connections has lost all its callers. Nothing is known if it
        does not answer in time.
        """
        owner = self.view.find_node(run.node)
        if owner is None:
            return placement.RunStatus(None)
        result = await links.call_once(
            owner.peer_address,
            kinds.Kind.RUN_QUERY,
            strict.encode(hub.hub_thrift.RunQuery(run_id=run.run_id)),
            RUN_QUERY_TIMEOUT_SECONDS,
        )
        if result.is_ok():
            result = strict.decode(hub.hub_thrift.RunQueryAnswer, result.ok)
        if result.is_error():
            is_closed = result.error.code == codes.Code.LINK_CLOSED
            return placement.RunStatus(True if is_closed else None)
        answer = result.ok
        last_event_id = answer.last_event_id if answer.last_event_id >= 0 else None
        return placement.RunStatus(answer.abandoned, last_event_id)

    def _serve_run_query(self, payload, _trace):
        decoded = strict.decode(hub.hub_thrift.RunQuery, payload)
        if decoded.is_error():
            return decoded
        status = self.forwarder.run_status(decoded.ok.run_id)
        last_event_id = -1 if status.last_event_id is None else status.last_event_id
        return expression.Ok(
            strict.encode(
                hub.hub_thrift.RunQueryAnswer(
                    abandoned=status.is_abandoned, last_event_id=last_event_id
                )
            )
        )

    def _report_loss(self, target_id):
        report = hub.hub_thrift.LossReport(
            target_id=target_id, node=self.settings.name, at_ms=int(clock.now() * 1000)
        )
        if self.is_member():
            self.hub.record_loss_report(report)
            return
        self.watcher.report_loss(report)

    def _report_leaving(self, target):
        self.forwarder.spawn(self._share_leaving(hub.from_table_report(target.report)))

    async def _share_leaving(self, report):
        result = await self.report_target(report)
        if result.is_error():
            # The other gateways learn it from their own responses or the target's announcements.
            reason = result.error.message
            self.log.line("node", "leaving_not_shared", target=report.target_id, reason=reason)

    def _report_prompt(self, report):
        wire_report = _wire_prompt_report(report)
        if self.is_member():
            self.hub.record_prompt_report(wire_report)
            return
        self.forwarder.spawn(self.watcher.report_prompts([wire_report]))

    def _held_prompt_reports(self):
        return [_wire_prompt_report(each) for each in self.forwarder.quarantine.held_crashes()]

    def _on_prompt_report(self, wire_report):
        self.forwarder.apply_prompt_report(
            prompt_quarantine.Report(
                prompt_quarantine.Outcome(wire_report.outcome),
                wire_report.parts,
                clock.now() - wire_report.age_ms / hub.MS_PER_SECOND,
                wire_report.target_id,
            )
        )

    async def _sweep_periodically(self):
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            now = clock.now()
            self.table.sweep(self.view.live_hubs(), now)
            self.forwarder.run_table.sweep(now)
            self.forwarder.speeds.sweep(now)
            self.forwarder.pool.close_stale_channels()
            self.forwarder.observe_versions(now)
            gateway_count = max(1, len(self.view.ready_nodes()))
            self.forwarder.retry_budgets.gateway_count = gateway_count
            self.forwarder.quarantine.gateway_count = gateway_count
            self.forwarder.quarantine.sweep(now)
            self.forwarder.limiter.sweep(gateway_count, now)
            self.forwarder.overload.sweep(gateway_count, now)
            self._limit_exchange.sweep(now)
            self._update_room(now)
            self._update_state()
            self._update_members()

    def _update_room(self, now):
        usage = self._usage_probe.measure(now)
        if not self._room_meter.observe(usage, now):
            return
        self.view.room_permille = self._room_meter.reported_permille
        self.log.line(
            "node",
            "room",
            room=self._room_meter.room,
            listed=rooms.listing_share(self._room_meter.room),
            scarcest=usage.scarcest(),
            processor=usage.processor,
            link=usage.link,
            memory=usage.memory,
            descriptors=usage.descriptors,
        )
        self._publish_own_report()

    def _update_members(self):
        if self.control is not None:
            self.control.node.stopping_addresses = self.view.stopping_addresses()
        members = self._current_members()
        self.watcher.update_members(members)
        if members.addresses:
            self.client.update_addresses(members.addresses)

    async def _maintain_membership(self):
        if self.control is None or not self.settings.may_vote:
            await asyncio.get_running_loop().create_future()
        while True:
            self._update_members()
            join_result = await self.client.join(
                self.control.node.node_id,
                self.settings.peer_address,
                clock.now() + CONTROL_TIMEOUT_SECONDS,
            )
            is_joined = join_result.is_ok() and join_result.ok
            await asyncio.sleep(MEMBERSHIP_CHECK_SECONDS if is_joined else JOIN_RETRY_SECONDS)

    # Reports of targets and runs.

    async def report_target(self, report) -> expression.Result:
        """Delivers a target's announcement to a hub.

        If this node is a member, it accepts the announcement itself; otherwise it sends it to up to
        two reachable hubs, connected ones and those that send nothing large first.

        Args:
            report: A TargetReport of `hub_thrift`.

        Returns:
            Ok with the peer address of the hub that accepted it; CONTROL_UNAVAILABLE if none did;
            BAD_REQUEST if the announcement contradicts those of a live target.
        """
        if self.table.is_contradicted(hub.to_table_report(report)):
            return codes.failure(
                codes.Code.BAD_REQUEST,
                f"target {report.target_id!r} has another service",
            )
        until = clock.now() + REPORT_TIMEOUT_SECONDS
        if self.is_member():
            if await self._accept_report(report):
                return expression.Ok(self.settings.peer_address)
        hub_states = self.watcher.reachable_hubs()
        # An acknowledgement would have to wait for the rest of a large bundle on the same link.
        hub_states.sort(key=lambda state: (not state.link.connected, state.link.is_receiving))
        payload = strict.encode(hub.hub_thrift.Report(target=report))
        is_leaving = report.state != target_table.READY
        for position, state in enumerate(hub_states[:2]):
            timeout_s = until - clock.now()
            # The second hub may wait for disks to which the first one has passed on a leave.
            if position == 0 or not is_leaving:
                timeout_s = min(timeout_s, HUB_ACK_TIMEOUT_SECONDS)
            if timeout_s <= 0:
                break
            result = await state.link.call(kinds.Kind.HUB_REPORT, payload, timeout_s)
            if result.is_ok():
                result = strict.decode(hub.hub_thrift.ReportAnswer, result.ok)
            if result.is_ok() and result.ok.accepted:
                return expression.Ok(state.address)
        return codes.failure(
            codes.Code.CONTROL_UNAVAILABLE,
            f"no hub acknowledged the announcement of target {report.target_id!r}",
        )

    async def _accept_report(self, report) -> bool:
        """Stores an announcement in the own hub; returns whether it may be acknowledged.

        The leave of a target is acknowledged only when it survives the loss of this machine.
        """
        is_leaving = report.state != target_table.READY
        if is_leaving and self.control is not None:
            age = self.control.node.seconds_since_leader_contact(clock.now())
            if age > MAX_LEADER_SILENCE_SECONDS:
                self.log.line("hub", "leave_refused", target=report.target_id, leader_silence=age)
                return False
        self.hub.record_target_report(report, self.table.lists(hub.to_table_report(report)))
        return not is_leaving or await self._leave_exchange.confirm(report)

    async def _serve_report(self, payload, _trace):
        decoded = strict.decode(hub.hub_thrift.Report, payload)
        if decoded.is_error():
            return decoded
        accepted = self.is_member() and await self._accept_report(decoded.ok.target)
        answer = hub.hub_thrift.ReportAnswer(
            accepted=accepted, hub_address=self.settings.peer_address
        )
        return expression.Ok(strict.encode(answer))

    def _serve_runs(self, payload, _trace):
        decoded = strict.decode(hub.hub_thrift.Watch, payload)
        if decoded.is_error():
            return decoded
        if not self.is_member():
            return codes.failure(codes.Code.NOT_LEADER, "This node is no hub.")
        self.hub.record_node_report(decoded.ok.node)
        self.hub.record_watch_reports(decoded.ok)
        return expression.Ok(b"")

    def _serve_prompts(self, payload, _trace):
        decoded = strict.decode(hub.hub_thrift.PromptReports, payload)
        if decoded.is_error():
            return decoded
        if not self.is_member():
            return codes.failure(codes.Code.NOT_LEADER, "This node is no hub.")
        for report in decoded.ok.reports:
            self.hub.record_prompt_report(report)
        return expression.Ok(b"")

    # Requests of operators.

    async def publish(self, bundle: routing.RouteBundle, actor: str) -> expression.Result:
        """Writes, approves and rolls a route bundle through control.

        Args:
            bundle: The bundle to publish.
            actor: Name of the operator, for the audit.

        Returns:
            Ok with the Answer; BUNDLE_INVALID with all faults; CONTROL_UNAVAILABLE or MAY_HAVE_RUN
            if control did not confirm it within CONTROL_TIMEOUT_SECONDS.
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
        result = await self.client.propose(record, clock.now() + CONTROL_TIMEOUT_SECONDS)
        outcome = result.ok.kind if result.is_ok() else result.error.message
        held_version = result.ok.number if result.is_ok() else 0
        self.log.line(
            "operator", "publish", version=bundle.version, held=held_version, outcome=outcome[:200]
        )
        return result

    async def read_published(self) -> expression.Result:
        """Returns the published route bundle, confirmed by a majority of the control members.

        Returns:
            Ok with the `routing.RouteBundle`, or None if none was published; CONTROL_UNAVAILABLE if
            control did not confirm it in time or this node could not put it in force.
        """
        local_bundle = self.view.published
        started = clock.now()
        read_result = await self.client.fetch_published(
            local_bundle.version, started + CONTROL_TIMEOUT_SECONDS
        )
        took = clock.now() - started
        if read_result.is_error():
            reason = read_result.error.message[:200]
            self.log.line("operator", "read", outcome=reason, took=took)
            return read_result
        answer = read_result.ok
        self.log.line("operator", "read", version=answer.version, outcome="confirmed", took=took)
        if answer.version > self.view.published.version:
            self.view.apply_bundle(answer.version, answer.content, answer.signature, "read")
        if answer.version == 0:
            return expression.Ok(None)
        if self.forwarder.bundle is None or self.forwarder.bundle.version < answer.version:
            return codes.failure(
                codes.Code.CONTROL_UNAVAILABLE,
                f"bundle version {answer.version} is published but not in force on this node",
            )
        return expression.Ok(self.forwarder.bundle)

    def sign(self, content: bytes) -> bytes:
        """Returns the signature of an operator's order with the operator's key."""
        return self._signer.sign(content)

    def find_faster_node(self, size: int) -> str:
        """Returns the control address of a node that should exchange a document with an operator.

        Hubs run on the machines that the operators of the system chose for control, whose links
        also carry the bundles to all nodes.

        Args:
            size: Size of the document in bytes.

        Returns:
            The address of a reachable hub, or an empty string if this node should do it: it is a
            hub itself, its link is fast enough, or no hub is reachable.
        """
        link_rate = self.settings.link_bytes_per_s
        if not link_rate or size <= link_rate * MAX_DOCUMENT_SECONDS or self.is_member():
            return ""
        hubs = self.watcher.reachable_hubs()
        newest_version = max((state.version for state in hubs), default=0)
        current_hubs = [state for state in hubs if state.version == newest_version]
        if not current_hubs:
            return ""
        host = self._rng.choice(current_hubs).address.rpartition(":")[0]
        # All nodes use the same ports.
        port = self.settings.control_address.rpartition(":")[2]
        self.log.line("operator", "redirected", bytes=size, hub=host)
        return f"{host}:{port}"

    async def send_document(self, responder, headers: list, body: bytes):
        """Sends a document to an operator, and logs whether and when the operator took it.

        Args:
            responder: The `http_server.Responder` of the operator's request.
            headers: (name, value) pairs of the response.
            body: The document.
        """
        started = clock.now()
        responder.send(200, headers, body)
        outcome = "cut"
        try:
            if await responder.wait_until_writable(DOCUMENT_TIMEOUT_SECONDS):
                outcome = "sent"
        finally:
            self.log.line(
                "operator",
                "document",
                outcome=outcome,
                bytes=len(body),
                unsent=responder.unsent_bytes,
                took=clock.now() - started,
            )


def open_folder(settings) -> expression.Result:
    """Opens the node's data folder; at a first start the seeds become the first members.

    A node whose disk was lost gets a new member id, since its vote and its log are lost, too.

    Args:
        settings: `node_settings.NodeSettings` with a data folder.

    Returns:
        Ok with the open `data_folder.DataFolder`, or the failure to open it.
    """
    is_first_start = settings.first_start and settings.peer_address in settings.seeds
    voters = {f"first-{address}": address for address in settings.seeds}

    def choose_node_id():
        return f"first-{settings.peer_address}" if is_first_start else secrets.token_hex(8)

    def first_configuration(_node_id):
        return consensus_messages.Configuration(voters)

    return data_folder.open_folder(
        files.Files(),
        settings.data_folder,
        choose_node_id,
        first_configuration if is_first_start else None,
    )


async def open_folder_with_room(settings, stop_future, events_log) -> expression.Result:
    """Opens the node's data folder as `open_folder` does, and waits while the disk is full.

    A process that ended instead would be started again and again, until its supervisor gives up.

    Args:
        settings: `node_settings.NodeSettings` with a data folder.
        stop_future: Future that a stop signal sets; it ends the wait.
        events_log: `decision_log.DecisionLog` of the node.

    Returns:
        The result of the last call of `open_folder`.
    """
    while True:
        opened = open_folder(settings)
        is_full = opened.is_error() and opened.error.code == codes.Code.DISK_FULL
        if not is_full or stop_future.done():
            return opened
        events_log.line("node", "disk_full", reason=opened.error.message)
        await asyncio.wait([stop_future], timeout=FULL_DISK_RETRY_SECONDS)


def run(settings, dialect, listeners: list):
    """Runs a node until it stops; after a fault, prints the numbered error and exits.

    Args:
        settings: `node_settings.NodeSettings`.
        dialect: `exchange.Dialect` of the platform.
        listeners: `ApiListener` list of the adapter.
    """
    failure = asyncio.run(Node(settings, dialect, listeners).run())
    if failure is not None:
        print(f"{int(failure.code)} {failure.code.name} {failure.message}", file=sys.stderr)
        is_setting = failure.code == codes.Code.SETTING_INVALID
        sys.exit(EXIT_SETTINGS if is_setting else EXIT_FAILED)
