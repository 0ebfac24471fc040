"""A node's part in roll-outs of a service's version.

Operators order a roll-out through any node. The leader of control judges the evidence that all
gateways send, and writes each step to the control log. Every hub publishes the orders of its
control member, and every gateway applies the newest state that it hears of.
"""

import asyncio
import logging
import math

import expression

from chiveswitch.core import clock, codes, control_state, rollout_orders, rollouts
from chiveswitch.peers import control_client, hub, kinds, strict

log = logging.getLogger("chiveswitch.rollouts")

control_thrift = control_state.control_thrift
rpc = control_client.rpc
hub_thrift = hub.hub_thrift

# Interval in seconds at which the leader decides and gateways renew the validity of shares.
TICK_SECONDS = 0.2
# Interval in seconds between two reports of evidence, and the timeout of one.
EVIDENCE_SECONDS = 0.5
EVIDENCE_TIMEOUT_SECONDS = 0.9
# Timeout in seconds of a request to the control leader on behalf of an operator.
CONTROL_TIMEOUT_SECONDS = 0.9
# Time after which the leader proposes a step again that control has not confirmed.
STEP_TIMEOUT_SECONDS = 1.5
# Interval in seconds at which the leader writes the counts of requests to the log.
COUNTS_SECONDS = 2.0
# Time for which a member must have heard the leader and applied all known commands before it says
# that there is no order: its log may lack the latest commands after a start.
SETTLED_SECONDS = 1.0
# Bounds of a report of evidence.
MAX_COUNTS = 1_000
MAX_REPORTING_NODES = 10_000
MAX_COUNT = 1_000_000
# Longest texts in log lines, in characters.
MAX_LOGGED_LENGTH = 200
MAX_EVIDENCE_LENGTH = 1_000


class Known:
    """The newest state of a service's order that this node has heard of.

    Attributes:
        state: `rollouts.RolloutState`.
        valid_until: Time until which a running order's share may be used, in seconds of
            `core.clock`.
    """

    __slots__ = ("state", "valid_until")

    def __init__(self, state, valid_until: float):
        self.state = state
        self.valid_until = valid_until


class Judged:
    """A running order that this member judges as the leader.

    Attributes:
        serial: Serial of the order.
        judge: `rollouts.RolloutJudge`, or None until control has confirmed that this member leads.
        step: Task that writes a step to the log, or None.
        counted_at: Time at which the counts were last written.
    """

    __slots__ = ("serial", "judge", "step", "counted_at")

    def __init__(self, serial: int):
        self.serial = serial
        self.judge = None
        self.step = None
        self.counted_at = -math.inf


class RolloutExchange:
    """Takes orders, judges versions on the leader, and distributes the states of the orders.

    Attributes:
        handler_by_kind: Handlers of the messages of other nodes, by kind.
    """

    __slots__ = (
        "handler_by_kind",
        "_node",
        "_known_by_service",
        "_judged_by_service",
        "_began_by_serial",
        "_published_steps",
        "_settled_since",
        "_sequence_by_node",
        "_sequence",
        "_unsent",
    )

    def __init__(self, node):
        """Connects the gateway, the hub and the control member of a node.

        Args:
            node: The `node.Node`, whose settings have bounds for roll-outs.
        """
        self.handler_by_kind = {
            kinds.Kind.CONTROL_EVIDENCE: self._serve_evidence,
            kinds.Kind.CONTROL_ROLLOUTS: self._serve_rollout,
        }
        self._node = node
        self._known_by_service = {}
        self._judged_by_service = {}
        # Time of each order by its serial, in seconds of this machine's clock.
        self._began_by_serial = {}
        self._published_steps = {}
        self._settled_since = None
        # Incarnation and sequence of the last report of evidence by the name of the node.
        self._sequence_by_node = {}
        self._sequence = 0
        # A report whose delivery is uncertain, which is sent again unchanged.
        self._unsent = None
        node.hub.rollouts = self._published
        node.view.on_rollouts = self.apply_states

    async def run(self):
        """Judges, renews and reports until cancelled."""
        reporting = asyncio.ensure_future(self._report_evidence())
        try:
            while True:
                await asyncio.sleep(TICK_SECONDS)
                # A fault in the judgement of one order must not end the node.
                try:
                    self._tick(clock.now())
                except Exception:
                    log.exception("rollout: a tick failed")
        finally:
            reporting.cancel()

    def _tick(self, now):
        self._update_settled(now)
        self._lead(now)
        self._apply_own(now)

    # Orders and requests of operators.

    async def order(self, service: str, version: str, duration_s: float, actor: str):
        """Has control record an order.

        Args:
            service: Name of the service.
            version: Version of the targets that are to get the service's requests.
            duration_s: Seconds until the version must be accepted or withdrawn.
            actor: Name of the operator, for the audit.

        Returns:
            Ok with the Answer of `rollout_orders.start_rollout`; BAD_REQUEST; ROLLOUT_CONFLICT if
            another version of the service is being rolled out; CONTROL_UNAVAILABLE or MAY_HAVE_RUN
            if control did not confirm it in time.
        """
        node = self._node
        duration_ms = int(duration_s * hub.MS_PER_SECOND)
        fault = rollout_orders.find_fault(service, version, duration_ms)
        result = codes.failure(codes.Code.BAD_REQUEST, fault)
        if not fault:
            result = await self._check_service(service)
        if result.is_ok():
            record = control_thrift.StartRollout(
                actor=actor,
                service_name=service,
                version=version,
                duration_ms=duration_ms,
                share=rollouts.first_share(node.settings.rollout),
                signature=node.sign(rollout_orders.order_content(service, version, duration_ms)),
            )
            result = await node.client.propose(record, clock.now() + CONTROL_TIMEOUT_SECONDS)
        outcome = result.ok.kind if result.is_ok() else result.error.message
        node.log.line(
            "rollout",
            "order",
            service=service[:MAX_LOGGED_LENGTH],
            version=version[:MAX_LOGGED_LENGTH],
            duration=duration_s,
            outcome=outcome[:MAX_LOGGED_LENGTH],
        )
        return result

    async def _check_service(self, service):
        """Returns Ok if the published bundle has a service."""
        if self._has_service(service):
            return expression.Ok(None)
        # The bundle of this node may be older than the operator's.
        read_result = await self._node.read_published()
        if read_result.is_error() or self._has_service(service):
            return read_result
        return codes.failure(codes.Code.BAD_REQUEST, f"service {service!r} is unknown")

    def _has_service(self, service):
        bundle = self._node.forwarder.bundle
        return bundle is not None and service in bundle.service_by_name

    async def read(self, service: str) -> expression.Result:
        """Reads the latest order of a service, confirmed by a majority of the control members.

        Returns:
            Ok with the RolloutAnswer of `control_rpc.thrift`, or CONTROL_UNAVAILABLE.
        """
        return await self._node.client.fetch_rollout(service, clock.now() + CONTROL_TIMEOUT_SECONDS)

    async def _serve_rollout(self, payload, _trace):
        decoded = strict.decode(rpc.ReadRollout, payload)
        if decoded.is_error():
            return decoded
        control = self._node.control
        confirmed = codes.failure(codes.Code.NOT_LEADER, "This node is no control member.")
        if control is not None:
            confirmed = await control.confirm_read()
        answer = rpc.RolloutAnswer(
            code=int(codes.Code.OK),
            message="",
            leader_address="" if control is None else control.leader_address(),
            found=False,
            version="",
            state=rollouts.RUNNING,
        )
        if confirmed.is_error():
            answer.code, answer.message = int(confirmed.error.code), confirmed.error.message
            return expression.Ok(strict.encode(answer))
        entry = control.state.rollout_by_service.get(decoded.ok.service_name)
        if entry is not None:
            answer.found, answer.version, answer.state = True, entry.version, entry.state
        return expression.Ok(strict.encode(answer))

    # The control member's state.

    def on_control_applied(self):
        """Publishes the orders of the own control member if one of them has changed."""
        state = self._node.control.state
        now = clock.now()
        for entry in state.rollout_by_service.values():
            # The member's own clock decides on deadlines, so that another leader's clock, or one
            # that is set, moves none. Time passed for control in any case up to its last command.
            # Control's time may lag before an order and catch up after it, so it is read once.
            if entry.serial in self._began_by_serial:
                continue
            began = now - (state.time_ms - entry.started_ms) / hub.MS_PER_SECOND
            self._began_by_serial[entry.serial] = began
        steps = {
            entry.service_name: (entry.serial, entry.step)
            for entry in state.rollout_by_service.values()
        }
        if steps == self._published_steps:
            return
        self._published_steps = steps
        serials = {serial for serial, _ in steps.values()}
        for serial in self._began_by_serial.keys() - serials:
            del self._began_by_serial[serial]
        self._node.hub.publish_rollouts()
        self._apply_own(now)

    def _update_settled(self, now):
        control = self._node.control
        is_settled = control is not None and self._valid_for_s(now) > 0
        if is_settled and control.node.applied_index == control.node.commit_index:
            if self._settled_since is None:
                self._settled_since = now
            return
        if not is_settled:
            self._settled_since = None

    def _valid_for_s(self, now):
        """Returns the seconds for which gateways may act on this member's state."""
        silence_s = self._node.control.node.seconds_since_leader_contact(now)
        return max(0.0, rollouts.VALID_SECONDS - silence_s)

    def _own_states(self, now):
        """Returns the `rollouts.RolloutState`s of the own member, or None if they may be old."""
        control = self._node.control
        if control is None:
            return None
        valid_for_s = self._valid_for_s(now)
        entries = control.state.rollout_by_service.values()
        is_settled = (
            self._settled_since is not None and now - self._settled_since >= SETTLED_SECONDS
        )
        if not entries and not is_settled:
            return None
        return [rollout_orders.to_rollout_state(entry, valid_for_s) for entry in entries]

    def _published(self):
        """Returns the RolloutStates of `hub_thrift` for the hub's answers, or None."""
        states = self._own_states(clock.now())
        return None if states is None else [_encode_state(state) for state in states]

    # The gateway's view.

    def apply_states(self, wire_states):
        """Applies the RolloutStates of `hub_thrift` of a hub."""
        self._apply([_decode_state(each) for each in wire_states], clock.now())

    def _apply_own(self, now):
        states = self._own_states(now)
        if states is not None:
            self._apply(states, now)

    def _apply(self, states, now):
        for state in states:
            valid_until = now + state.valid_for_s
            known = self._known_by_service.get(state.service)
            if known is None or state.newer_than(known.state):
                self._log_change(state)
                self._known_by_service[state.service] = Known(state, valid_until)
                continue
            if not known.state.newer_than(state):
                known.valid_until = max(known.valid_until, valid_until)
        current = []
        for known in self._known_by_service.values():
            known.state.valid_for_s = math.inf
            if known.state.state == rollouts.RUNNING:
                known.state.valid_for_s = max(0.0, known.valid_until - now)
            current.append(known.state)
        self._node.forwarder.versions.apply_rollouts(current, now)

    def _log_change(self, state):
        self._node.log.line(
            "rollout",
            "state",
            service=state.service,
            version=state.version,
            state=rollouts.STATE_NAMES[state.state],
            serial=state.serial,
            step=state.step,
            share=state.share,
            moves_copies=int(state.moves_copies),
        )

    def running_count(self) -> int:
        """Returns the number of orders in progress that this node knows."""
        return sum(
            known.state.state == rollouts.RUNNING for known in self._known_by_service.values()
        )

    # Evidence.

    async def _report_evidence(self):
        while True:
            await asyncio.sleep(EVIDENCE_SECONDS)
            try:
                await self.send_evidence()
            except Exception:
                log.exception("rollout: evidence could not be sent")

    async def send_evidence(self):
        """Sends the evidence since the last report to the control leader."""
        node = self._node
        running = {
            service
            for service, known in self._known_by_service.items()
            if known.state.state == rollouts.RUNNING
        }
        if self._unsent is None:
            reports = node.forwarder.versions.take_evidence(clock.now())
            reports = [each for each in reports if each.service in running][:MAX_COUNTS]
            if not reports:
                return
            self._sequence += 1
            self._unsent = reports
        elif not running:
            self._unsent = None
            return
        message = rpc.EvidenceReport(
            node=node.settings.name,
            incarnation=node.incarnation,
            sequence=self._sequence,
            counts=[_encode_evidence(each) for each in self._unsent],
        )
        result = await node.client.send_evidence(message, clock.now() + EVIDENCE_TIMEOUT_SECONDS)
        if result.is_ok():
            self._unsent = None
            return
        node.metrics.count("rollout_evidence_unsent")
        if result.error.code == codes.Code.CONTROL_UNAVAILABLE:
            node.forwarder.versions.restore_evidence(self._unsent)
            self._unsent = None

    def _serve_evidence(self, payload, _trace):
        decoded = strict.decode(rpc.EvidenceReport, payload)
        if decoded.is_error():
            return decoded
        control = self._node.control
        answer = rpc.EvidenceAnswer(
            code=int(codes.Code.OK),
            message="",
            leader_address="" if control is None else control.leader_address(),
        )
        if not self._is_judging():
            answer.code = int(codes.Code.NOT_LEADER)
            answer.message = "This node does not judge the orders."
        elif self._is_new(decoded.ok):
            self._record(decoded.ok)
        return expression.Ok(strict.encode(answer))

    def _is_judging(self):
        control = self._node.control
        if control is None or control.leases is None:
            return False
        return all(
            entry.state != rollouts.RUNNING or self._judge_of(entry) is not None
            for entry in control.state.rollout_by_service.values()
        )

    def _judge_of(self, entry):
        judged = self._judged_by_service.get(entry.service_name)
        return judged.judge if judged is not None and judged.serial == entry.serial else None

    def _is_new(self, report):
        incarnation, sequence = self._sequence_by_node.pop(report.node, (0, 0))
        # Incarnations are not ordered: a machine's time of day may have been set back.
        is_new = incarnation != report.incarnation or report.sequence > sequence
        last = (report.incarnation, report.sequence) if is_new else (incarnation, sequence)
        self._sequence_by_node[report.node] = last
        if len(self._sequence_by_node) > MAX_REPORTING_NODES:
            del self._sequence_by_node[next(iter(self._sequence_by_node))]
        return is_new

    def _record(self, report):
        now = clock.now()
        reports = [_decode_evidence(each) for each in report.counts[:MAX_COUNTS]]
        for judged in self._judged_by_service.values():
            if judged.judge is not None:
                judged.judge.record(reports, now)

    # The leader.

    def _lead(self, now):
        control = self._node.control
        if control is None or control.leases is None:
            self._judged_by_service.clear()
            return
        running = {
            entry.service_name: entry
            for entry in control.state.rollout_by_service.values()
            if entry.state == rollouts.RUNNING
        }
        for service in self._judged_by_service.keys() - running.keys():
            del self._judged_by_service[service]
        for service, entry in running.items():
            judged = self._judged_by_service.get(service)
            if judged is None or judged.serial != entry.serial:
                judged = self._judged_by_service[service] = Judged(entry.serial)
            if judged.step is None or judged.step.done():
                self._judge(judged, entry, now)

    def _judge(self, judged, entry, now):
        """Writes the next step of an order to the log if there is one."""
        same = rollouts.Decision(entry.state, entry.share, entry.moves_copies, "counts")
        if judged.judge is None:
            # The confirmation shows that this member leads and knows the order's latest step.
            judged.step = self._spawn(self._take_over(judged, entry, same))
            return
        judge = judged.judge
        if (entry.share, entry.moves_copies) != (judge.order.share, judge.order.moves_copies):
            judge.apply(entry.share, entry.moves_copies, now)
        decision = judge.decide(now)
        if decision is None:
            counts = (judge.spent, judge.total)
            if now - judged.counted_at < COUNTS_SECONDS or counts == (entry.spent, entry.total):
                return
            decision = same
        else:
            self._log_decision(judge, entry, decision)
        judged.counted_at = now
        judged.step = self._spawn(self._advance(entry, decision, judge.spent, judge.total))

    def _spawn(self, coroutine):
        return self._node.forwarder.spawn(coroutine)

    async def _take_over(self, judged, entry, same):
        counted_ms = entry.changed_ms
        if not await self._advance(entry, same, entry.spent, entry.total):
            return
        now = clock.now()
        began = self._began_by_serial[entry.serial]
        uncounted_s = (self._node.control.state.time_ms - counted_ms) / hub.MS_PER_SECOND
        uncounted_s = min(uncounted_s, now - began)
        order = rollouts.Order(
            entry.service_name,
            entry.version,
            began,
            began + entry.duration_ms / hub.MS_PER_SECOND,
            entry.share,
            entry.moves_copies,
            entry.spent,
            entry.total,
            now - uncounted_s,
        )
        judged.judge = rollouts.RolloutJudge(order, self._node.settings.rollout, now)
        judged.counted_at = now
        self._node.log.line(
            "rollout",
            "judging",
            service=entry.service_name,
            version=entry.version,
            serial=entry.serial,
            left=order.deadline - now,
            spent=entry.spent,
            total=entry.total,
        )

    async def _advance(self, entry, decision, spent, total) -> bool:
        """Writes a step to the log; returns whether control has confirmed it in time."""
        record = control_thrift.AdvanceRollout(
            service_name=entry.service_name,
            serial=entry.serial,
            revision=entry.revision,
            state=decision.state,
            share=decision.share,
            moves_copies=decision.moves_copies,
            spent=int(spent),
            total=int(total),
            reason=decision.reason,
        )
        try:
            async with asyncio.timeout(STEP_TIMEOUT_SECONDS):
                result = await self._node.control.propose(record)
        except TimeoutError:
            result = codes.failure(codes.Code.MAY_HAVE_RUN, "control did not confirm it in time")
        if result.is_error():
            self._node.log.line(
                "rollout",
                "step_unconfirmed",
                service=entry.service_name,
                serial=entry.serial,
                reason=result.error.message[:MAX_LOGGED_LENGTH],
            )
        return result.is_ok()

    def _log_decision(self, judge, entry, decision):
        node = self._node
        node.metrics.count(f"rollout_decisions_{rollouts.STATE_NAMES[decision.state]}")
        node.log.line(
            "rollout",
            "decision",
            service=entry.service_name,
            version=entry.version,
            serial=entry.serial,
            state=rollouts.STATE_NAMES[decision.state],
            share=decision.share,
            reason=decision.reason,
            spent=judge.spent,
            total=judge.total,
            evidence=judge.describe()[:MAX_EVIDENCE_LENGTH],
        )


def _encode_state(state):
    valid_ms = int(min(state.valid_for_s, rollouts.VALID_SECONDS) * hub.MS_PER_SECOND)
    return hub_thrift.RolloutState(
        service_name=state.service,
        version=state.version,
        state=state.state,
        serial=state.serial,
        step=state.step,
        share=state.share,
        moves_copies=state.moves_copies,
        valid_ms=valid_ms,
    )


def _decode_state(wire_state):
    valid_for_s = min(rollouts.VALID_SECONDS, wire_state.valid_ms / hub.MS_PER_SECOND)
    return rollouts.RolloutState(
        wire_state.service_name,
        wire_state.version,
        wire_state.state,
        wire_state.serial,
        wire_state.step,
        min(1.0, max(0.0, wire_state.share)),
        wire_state.moves_copies,
        valid_for_s,
    )


def _encode_evidence(report):
    latencies = list(report.latencies)
    while latencies and not latencies[-1]:
        latencies.pop()
    return rpc.EvidenceCounts(
        service_name=report.service,
        version=report.version,
        route=report.route,
        requests=report.requests,
        failures=report.failures,
        latencies=latencies,
    )


def _decode_evidence(counts):
    latencies = [_bounded(each) for each in counts.latencies[: rollouts.LATENCY_BUCKETS]]
    latencies += [0] * (rollouts.LATENCY_BUCKETS - len(latencies))
    return rollouts.Evidence(
        counts.service_name,
        counts.version,
        counts.route,
        _bounded(counts.requests),
        _bounded(counts.failures),
        latencies,
    )


def _bounded(count):
    return min(MAX_COUNT, max(0, count))
