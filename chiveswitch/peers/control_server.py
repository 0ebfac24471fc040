"""The server of a control process: one task owns the consensus node and the applied state.

Requests of peers, gateways and tools are events in the task's inbox. All events of one wake-up are
passed to `consensus.Node.handle_all` together, so that many proposals share one disk sync. A
separate thread writes the data folder, because a sync must not delay heartbeats.
"""

import asyncio
import concurrent.futures
import logging
import math
import random
import time

import expression
import orjson

from chiveswitch.core import (
    clock,
    codes,
    consensus,
    control_state,
    leases,
    no_telemetry,
    publication,
    rollout_orders,
)
from chiveswitch.core import consensus_messages as messages
from chiveswitch.peers import consensus_codec, kinds, links, strict

log = logging.getLogger("chiveswitch.control")

rpc = strict.load("control_rpc.thrift")
# Importing these modules registers their commands with `control_state`; this use keeps the imports.
COMMAND_HANDLERS = (publication.publish_routes, rollout_orders.start_rollout)

DISK_FULL_RETRY_SECONDS = 0.2
# Heartbeats that arrive within this time share one confirmation round with the majority. With one
# round for each heartbeat, 100 gateways used 28 % of a core of the leader.
HEARTBEAT_BATCH_SECONDS = 0.05
# Time without a leader after which a member logs what it knows of the others, and the interval of
# the following lines. An election takes less.
LEADERLESS_REPORT_SECONDS = 2.0
LEADERLESS_POLL_SECONDS = 0.5


class ControlServer:
    """One member of control.

    Attributes:
        node: The `consensus.Node`.
        state: The applied `control_state.ControlState`.
        leases: `leases.LeaseTable` of the current term while this member leads, else None.
        failed: Future that is set to a `codes.Failure` when the server cannot continue.
    """

    def __init__(
        self,
        address: str,
        folder,
        operators: list | None = None,
        limits: control_state.Limits | None = None,
        settings: consensus.Settings | None = None,
        rng: random.Random | None = None,
        instruments=None,
        handler_by_kind: dict | None = None,
        on_applied=lambda: None,
        budget=None,
    ):
        """Restores the state from an open data folder, which the server then owns and closes.

        Must be called inside a running event loop.

        Args:
            address: Own `ip:port` for the other members, gateways and tools.
            folder: `data_folder.DataFolder`.
            operators: JSON objects of the first operators, which a leader proposes if the state has
                none.
            limits: Limits of the control state, equal on all members.
            settings: Settings of the node, equal on all members.
            rng: Random source of the election timeouts.
            instruments: `telemetry.Telemetry` for proposal spans and counters; None disables both.
            handler_by_kind: Handlers of further message kinds on the same address.
            on_applied: Called after commands or a snapshot were applied.
            budget: `memory_budget.MemoryBudget` of the process, or None.
        """
        self.address = address
        self.leases = None
        self.failed = asyncio.get_running_loop().create_future()
        self._folder = folder
        self._operators = operators or []
        # Task that records the first operators; None until this member has led.
        self._bootstrap_task = None
        self._limits = limits or control_state.Limits()
        self._telemetry = instruments or no_telemetry.NoTelemetry()
        self._now = clock.now
        stored = folder.stored
        self.state = self._restored_state(stored.snapshot.data)
        self.node = consensus.Node(
            folder.node_id,
            stored,
            settings or consensus.Settings(),
            rng or random.Random(),
            self._now(),
        )
        self._inbox = []
        self._wake = asyncio.Event()
        self._link_by_address = {}
        # Addresses that members sent in their frames, for members not yet in the configuration.
        self._address_by_id = {}
        self._storage_queue = []
        self._storage_wake = asyncio.Event()
        self._next_confirmation = None
        self._result_by_index = {}
        # Tokens of the last `Persist` added to the log and of the last action that is durable.
        self._added_token = 0
        self._written_token = 0
        self._executor = concurrent.futures.ThreadPoolExecutor(1, "storage")
        self._server = links.Server(
            {
                kinds.Kind.CONSENSUS: self._serve_consensus,
                kinds.Kind.CONTROL_HEARTBEAT: self._serve_heartbeat,
                kinds.Kind.CONTROL_PROPOSE: self._serve_propose,
                kinds.Kind.CONTROL_READ: self._serve_read,
                kinds.Kind.CONTROL_PUBLISHED: self._serve_published,
                kinds.Kind.CONTROL_OWNER: self._serve_owner,
                kinds.Kind.CONTROL_JOIN: self._serve_join,
                **(handler_by_kind or {}),
            },
            budget,
        )
        self._tasks = set()
        self._on_applied = on_applied

    # Start and stop.

    async def start(self):
        """Starts listening and taking part in the consensus.

        Raises:
            OSError: The address cannot be bound.
        """
        host, _, port = self.address.rpartition(":")
        await self._server.start(host, int(port))
        for each in (self._main(), self._write_queued(), self._report_missing_leader()):
            self._spawn(each)

    async def close(self):
        """Stops after the writes that are under way have finished, and closes the folder."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for link in self._link_by_address.values():
            await link.close()
        await self._server.close()
        self._executor.shutdown()
        self._folder.close()

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("control: a task failed", exc_info=task.exception())
            self._fail(codes.Failure(codes.Code.INTERNAL, repr(task.exception())))

    def _fail(self, failure):
        if not self.failed.done():
            self.failed.set_result(failure)

    def _restored_state(self, data):
        if not data:
            return control_state.ControlState(self._limits)
        restored = control_state.restore(data, self._limits)
        if restored.is_error():
            # Without the snapshot's state this member would apply the following commands to a state
            # that differs from the other members'.
            raise ValueError(f"the snapshot cannot be restored: {restored.error!r}")
        return restored.ok

    # Methods for the administration API and the request handlers.

    def leader_address(self) -> str:
        """Returns the address of the leader, or an empty string if it is unknown."""
        return self.node.log.configuration().members().get(self.node.leader_id, "")

    async def propose(self, record) -> expression.Result:
        """Appends a command of `control_state` and waits until it is applied here.

        Args:
            record: A command struct of `control_state.control_thrift`.

        Returns:
            The result of the command. NOT_LEADER or QUEUE_FULL if it was not appended and never
            will be; MAY_HAVE_RUN if its outcome is unknown.
        """
        _, result = await self._propose(record)
        return result

    async def _propose(self, record):
        """Returns (whether the command was applied, result)."""
        if self._bootstrap_task is not None:
            # Until the first operators are recorded, the state refuses what they are permitted.
            await asyncio.wait([self._bootstrap_task])
        return await self._append(record)

    async def _append(self, record):
        data = control_state.encode_command(record, int(time.time() * 1000))
        future = asyncio.get_running_loop().create_future()
        self._post(messages.Propose(future, data))
        return await future

    async def confirm_read(self) -> expression.Result:
        """Waits until a majority confirms this leader, so that `state` is current.

        Returns:
            Ok, or NOT_LEADER if this member does not lead or the majority does not confirm it.
        """
        future = asyncio.get_running_loop().create_future()
        self._post(messages.Read(future))
        return await future

    async def _confirm_read_in_batch(self):
        """Like `confirm_read`, in one round shared by all heartbeats that arrive before it."""
        if self._next_confirmation is None:
            loop = asyncio.get_running_loop()
            self._next_confirmation = loop.create_future()
            loop.call_later(HEARTBEAT_BATCH_SECONDS, self._start_confirmation)
        # A cancelled handler must not cancel the confirmation that other handlers wait for.
        return await asyncio.shield(self._next_confirmation)

    def _start_confirmation(self):
        future, self._next_confirmation = self._next_confirmation, None
        self._post(messages.Read(future))

    async def change_members(self, event) -> expression.Result:
        """Adds or removes a member by a `consensus_messages` event whose proposal id is None."""
        event.proposal_id = asyncio.get_running_loop().create_future()
        self._post(event)
        _, result = await event.proposal_id
        return result

    def status(self) -> dict:
        """Returns what `chiveswitch status` shows of this member; it may lag behind the leader."""
        node = self.node
        live = self.leases.live_leases(self._now()) if self.leases is not None else []
        configuration = node.log.configuration()
        return {
            "node_id": node.node_id,
            "role": node.role.value,
            "term": node.term,
            "leader_id": node.leader_id or "",
            "leader_address": self.leader_address(),
            "commit_index": node.commit_index,
            "applied_index": node.applied_index,
            "voters": configuration.voters,
            "learners": configuration.learners,
            "serial": self.state.serial,
            "rolled_version": self.state.rolled_version,
            "latest_version": self.state.latest_version,
            "unfinished_requests": sum(not e.finished for e in self.state.request_by_key.values()),
            "gateways": [lease.holder_id() for lease in live],
        }

    # Main task.

    def _post(self, event):
        self._inbox.append(event)
        self._wake.set()

    async def _main(self):
        while True:
            try:
                async with asyncio.timeout(max(0.0, self.node.next_deadline() - self._now())):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            events, self._inbox = self._inbox, []
            actions = self.node.handle_all(events or [messages.Tick()], self._now())
            batch_by_member = {}
            for action in actions:
                if type(action) is messages.Send:
                    batch_by_member.setdefault(action.to, []).append(action.message)
                    continue
                HANDLER_BY_ACTION[type(action)](self, action)
            self._result_by_index.clear()
            for member_id, batch in batch_by_member.items():
                self._send(member_id, batch)

    def _send(self, member_id, batch):
        members = self.node.log.configuration().members()
        address = members.get(member_id) or self._address_by_id.get(member_id)
        if address is None:
            return
        link = self._link_by_address.get(address)
        if link is None:
            link = self._link_by_address[address] = links.Link(address)
        frame = consensus_codec.encode_frame(member_id, self.node.node_id, self.address, batch)
        link.post(kinds.Kind.CONSENSUS, frame)

    # Actions of the node.

    def _queue_for_storage(self, action):
        self._storage_queue.append(action)
        self._storage_wake.set()

    def _apply(self, action):
        for entry in action.entries:
            if entry.kind == messages.EntryKind.COMMAND:
                result = self.state.apply(entry.index, entry.term, entry.data)
                self._result_by_index[entry.index] = result
        self._on_applied()

    def _restore(self, action):
        self.state = self._restored_state(action.snapshot.data)
        self._on_applied()

    def _take_snapshot(self, action):
        self._post(messages.SnapshotTaken(action.index, self.state.snapshot()))

    def _proposal_done(self, action):
        future = action.proposal_id
        if future.done():
            return
        result = action.result
        applied = result.is_ok()
        if applied:
            # Membership changes are not commands of the state and have no result there.
            result = self._result_by_index.get(result.ok[0], result)
        future.set_result((applied, result))

    def _read_done(self, action):
        if not action.read_id.done():
            action.read_id.set_result(action.result)

    def _role_changed(self, action):
        role, leader_id = action.role, action.leader_id
        log.info("control: %s in term %s, leader %s", role.value, action.term, leader_id)
        self.leases = None
        self._telemetry.gauge("term", action.term)
        if action.role == consensus.Role.LEADER:
            self._telemetry.count("elections_won")
            self.leases = leases.LeaseTable(self._now())
            if self._operators:
                self._bootstrap_task = self._spawn(self._bootstrap())

    def _configuration_changed(self, action):
        log.info("control: members %r", action.configuration)
        addresses = set(action.configuration.members().values())
        for address in [each for each in self._link_by_address if each not in addresses]:
            self._spawn(self._link_by_address.pop(address).close())

    async def _bootstrap(self):
        confirmed = await self.confirm_read()
        if confirmed.is_error() or self.state.operator_by_name or self.state.latest_version:
            return
        keys = [control_state.control_thrift.OperatorKey(**each) for each in self._operators]
        _, result = await self._append(control_state.control_thrift.Bootstrap(operators=keys))
        if result.is_error():
            log.warning("control: the first operators were refused: %s", result.error.message)

    def _log_vote_refused(self, action):
        log.info(
            "control: refused a vote to %s in term %s: %s",
            action.candidate,
            action.term,
            action.reason,
        )

    async def _report_missing_leader(self):
        """Logs the state of this member and of its connections while it knows no leader."""
        report_at = math.inf
        while True:
            await asyncio.sleep(LEADERLESS_POLL_SECONDS)
            now = self._now()
            if self.node.leader_id is not None:
                report_at = math.inf
                continue
            if now >= report_at:
                log.warning("control: %s", self._describe_missing_leader(now))
                report_at = math.inf
            report_at = min(report_at, now + LEADERLESS_REPORT_SECONDS)

    def _describe_missing_leader(self, now):
        node = self.node
        parts = [
            f"no leader known, {node.role.value} in term {node.term}, last entry "
            f"{node.log.last_index()} of term {node.log.last_term()}, "
            f"oldest write {node.pending_write_age(now):.2f} s old"
        ]
        for member_id, address in node.log.configuration().members().items():
            if member_id == node.node_id:
                continue
            received_at = node.received_at_by_id.get(member_id, -math.inf)
            parts.append(
                f"{member_id} at {address}: last message {now - received_at:.2f} s ago, "
                f"{self._describe_link(address, now)}"
            )
        return "; ".join(parts)

    def _describe_link(self, address, now):
        link = self._link_by_address.get(address)
        if link is None:
            return "never connected to"
        if not link.connected:
            return "not connected to"
        return f"last data of the connection to it {now - link.last_data_at:.2f} s ago"

    # Membership.

    def _log_members_decided(self, action):
        change = action.change
        log.info(
            "control: %s member %s: %s; members %r",
            change.kind.value,
            change.member_id,
            change.reason,
            action.members,
        )

    async def _serve_join(self, payload, _trace):
        decoded = strict.decode(rpc.Join, payload)
        if decoded.is_error():
            return decoded
        join = decoded.ok
        answer = rpc.JoinAnswer(
            code=int(codes.Code.OK),
            message="",
            leader_address=self.leader_address(),
            is_member=False,
        )
        if self.node.role != consensus.Role.LEADER:
            answer.code = int(codes.Code.NOT_LEADER)
            answer.message = "This member is not the leader."
            return expression.Ok(strict.encode(answer))
        members = self.node.log.configuration().members()
        if join.member_id in members:
            answer.is_member = True
            return expression.Ok(strict.encode(answer))
        result = await self.change_members(messages.Join(None, join.member_id, join.address))
        if result.is_error():
            answer.message = result.error.message
        log.info(
            "control: member %s at %s asked to join: %s",
            join.member_id,
            join.address,
            answer.message or "accepted",
        )
        return expression.Ok(strict.encode(answer))

    async def _serve_published(self, payload, _trace):
        decoded = strict.decode(rpc.ReadPublished, payload)
        if decoded.is_error():
            return decoded
        confirmed = await self.confirm_read()
        answer = rpc.PublishedAnswer(
            code=int(codes.Code.OK),
            message="",
            leader_address=self.leader_address(),
            version=0,
            content=b"",
            signature=b"",
        )
        if confirmed.is_error():
            answer.code = int(confirmed.error.code)
            answer.message = confirmed.error.message
            return expression.Ok(strict.encode(answer))
        entry = self.state.published
        if entry is not None:
            answer.version = entry.version
            if entry.version > decoded.ok.known_version:
                answer.content = entry.content
                answer.signature = entry.signature
        return expression.Ok(strict.encode(answer))

    async def _serve_owner(self, payload, _trace):
        decoded = strict.decode(rpc.ReadOwner, payload)
        if decoded.is_error():
            return decoded
        confirmed = await self.confirm_read()
        answer = rpc.OwnerAnswer(
            code=int(codes.Code.OK),
            message="",
            leader_address=self.leader_address(),
            may_live=True,
        )
        if confirmed.is_error():
            answer.code = int(confirmed.error.code)
            answer.message = confirmed.error.message
        elif self.leases is not None:
            answer.may_live = self.leases.may_live(decoded.ok.holder, self._now())
        return expression.Ok(strict.encode(answer))

    # Storage of records and snapshots.

    async def _write_queued(self):
        loop = asyncio.get_running_loop()
        while True:
            await self._storage_wake.wait()
            self._storage_wake.clear()
            actions, self._storage_queue = self._storage_queue, []
            while actions:
                done, failure = await loop.run_in_executor(self._executor, self._write, actions)
                del actions[:done]
                if done:
                    self._post(messages.Persisted(self._written_token))
                if failure is None:
                    continue
                if failure.code != codes.Code.DISK_FULL:
                    self._fail(failure)
                    return
                log.warning("control: %s", failure.message)
                await asyncio.sleep(DISK_FULL_RETRY_SECONDS)

    def _write(self, actions):
        """Writes actions in the storage thread.

        Returns:
            (number of leading actions that are durable, `codes.Failure` of the next one or None).
        """
        position = 0
        while position < len(actions):
            action = actions[position]
            if type(action) is messages.SaveSnapshot:
                result = self._folder.save_snapshot(action.snapshot)
                end = position + 1
            else:
                end = position
                while end < len(actions) and type(actions[end]) is messages.Persist:
                    # The log keeps the records of a failed commit, so they must not be added again.
                    if actions[end].token > self._added_token:
                        self._folder.append(actions[end].records)
                        self._added_token = actions[end].token
                    end += 1
                result = self._folder.commit()
            if result.is_error():
                return position, result.error
            position = end
            self._written_token = actions[end - 1].token
        return position, None

    # Request handlers.

    def _serve_consensus(self, payload, _trace):
        decoded = consensus_codec.decode_frame(payload)
        if decoded.is_error():
            log.warning("control: dropped an invalid frame: %s", decoded.error.message)
            return decoded
        to, sender, address, batch = decoded.ok
        if to != self.node.node_id:
            return codes.failure(codes.Code.LINK_CLOSED, "the frame is addressed to another member")
        self._address_by_id[sender] = address
        for message in batch:
            self._post(messages.Received(sender, message))
        return expression.Ok(b"")

    async def _serve_propose(self, payload, trace):
        decoded = strict.decode(rpc.Propose, payload)
        if decoded.is_error():
            return decoded
        command = control_state.decode_command(decoded.ok.command)
        if command.is_error():
            return command
        record = command.ok[0]
        span = self._telemetry.span("control.propose", trace, command=type(record).__name__)
        applied, result = await self._propose(record)
        outcome = result.ok.kind if result.is_ok() else result.error.code.name
        span.set_attribute("outcome", outcome)
        span.end()
        self._telemetry.count(f"proposals.{outcome}")
        # A refusal by the state is a final answer. A refusal by the log says nothing about earlier
        # copies of the command.
        code, message, answer = codes.Code.OK, "", b""
        if applied:
            answer = control_state.encode_result(result)
        else:
            code, message = result.error.code, result.error.message
        return expression.Ok(
            strict.encode(
                rpc.ProposeAnswer(
                    code=int(code),
                    message=message,
                    leader_address=self.leader_address(),
                    answer=answer,
                )
            )
        )

    async def _serve_heartbeat(self, payload, _trace):
        decoded = strict.decode(rpc.Heartbeat, payload)
        if decoded.is_error():
            return decoded
        heartbeat = decoded.ok
        received_at = self._now()
        # Without the confirmation, a leader that was replaced but has not yet received the new term
        # would return an outdated serial. The round starts after the heartbeat arrived, so that the
        # gateway may count its lease from the time at which it sent the heartbeat.
        confirmed = await self._confirm_read_in_batch()
        answer = rpc.HeartbeatAnswer(
            code=int(codes.Code.OK),
            message="",
            leader_address=self.leader_address(),
            serial=0,
            bundle=b"",
            adoptions=[],
            gateways_digest=0,
            gateways=[],
        )
        if confirmed.is_error() or self.leases is None:
            answer.code = int(codes.Code.NOT_LEADER)
            answer.message = "This member is not the leader."
            return expression.Ok(strict.encode(answer))
        self._telemetry.count("heartbeats")
        self.leases.record_heartbeat(
            leases.Lease(
                heartbeat.gateway_id,
                heartbeat.incarnation,
                heartbeat.availability_zone,
                heartbeat.address,
                heartbeat.state,
                received_at,
            )
        )
        self._fill_heartbeat_answer(heartbeat, answer)
        return expression.Ok(strict.encode(answer))

    def _fill_heartbeat_answer(self, heartbeat, answer):
        now = self._now()
        state = self.state
        answer.serial = state.serial
        entry = state.bundle_in_force()
        if entry is not None and state.serial > heartbeat.known_serial:
            answer.bundle = entry.content
        holder = f"{heartbeat.gateway_id}.{heartbeat.incarnation}"
        answer.adoptions = [
            rpc.Adoption(
                account=entry.account, request_id=entry.request_id, generation=entry.generation
            )
            for entry in self.leases.requests_to_adopt(holder, state.request_by_key.values(), now)
        ]
        answer.gateways_digest, live = self.leases.digest_and_leases(now)
        if answer.gateways_digest != heartbeat.known_gateways:
            answer.gateways = [rpc.LiveGateway(*lease.description()) for lease in live]

    async def _serve_read(self, payload, _trace):
        decoded = strict.decode(rpc.Read, payload)
        if decoded.is_error():
            return decoded
        lookup = decoded.ok
        confirmed = await self.confirm_read()
        answer = rpc.ReadAnswer(
            code=int(codes.Code.OK),
            message="",
            leader_address=self.leader_address(),
            found=False,
            body=b"",
            owner="",
            generation=0,
            finished=False,
            status=b"",
        )
        if confirmed.is_error():
            answer.code = int(confirmed.error.code)
            answer.message = confirmed.error.message
        elif not lookup.request_id:
            answer.status = orjson.dumps(self.status())
        else:
            entry = self.state.request_by_key.get((lookup.account, lookup.request_id))
            if entry is not None:
                answer.found = True
                for name in ("body", "owner", "generation", "finished"):
                    setattr(answer, name, getattr(entry, name))
        return expression.Ok(strict.encode(answer))


HANDLER_BY_ACTION = {
    messages.Persist: ControlServer._queue_for_storage,
    messages.SaveSnapshot: ControlServer._queue_for_storage,
    messages.Apply: ControlServer._apply,
    messages.Restore: ControlServer._restore,
    messages.TakeSnapshot: ControlServer._take_snapshot,
    messages.ProposalDone: ControlServer._proposal_done,
    messages.ReadDone: ControlServer._read_done,
    messages.RoleChanged: ControlServer._role_changed,
    messages.ConfigurationChanged: ControlServer._configuration_changed,
    messages.MembersDecided: ControlServer._log_members_decided,
    messages.VoteRefused: ControlServer._log_vote_refused,
}
