"""Simulated network, processes, engines, callers and control that run on virtual time.

They drive `gateway.GatewayCore` and the state machines of `calls` in place of the daemon
`tools.gateway`. The fakes contain no decision logic of the product and never wait for a real clock.
"""

import collections
import functools
import hashlib
import heapq
import itertools
import random

import expression

from chiveswitch.core import (
    bundles,
    calls,
    codes,
    control_state,
    directory,
    gateway,
    gateway_settings,
    journal,
)
from chiveswitch.core import gateway_messages
from chiveswitch.core import generation_messages
from chiveswitch.peers import journal_codec
from chiveswitch.targets import standin_engine
from chiveswitch.tools import sample

wire = control_state.control_thrift
LATENCY_SECONDS = 0.001
TICK_SECONDS = 0.05
TOKEN_SECONDS = 0.03
PREFILL_SECONDS = 0.1
# Longer than every staleness limit and than the lease, so that both expire during a pause.
PAUSE_SECONDS = 4.5
ISOLATION_SECONDS = 4.0
DISTURBANCE_SECONDS = 1.0


@functools.cache
def parse_bundle(content: bytes):
    """Returns the parsed bundle; the cache avoids parsing the same content at every heartbeat."""
    return bundles.parse(content).ok


@functools.cache
def bundle_content(version: int, resume: str) -> bytes:
    """Returns the content of the sample bundle with a version and a policy for resuming."""
    return sample.sample_bundle(version=version, resume_report=resume)


def operator_private_key(name: str) -> bytes:
    """Returns the private signing key of an operator of the sample bundle."""
    return hashlib.sha256(f"sample key of {name}".encode()).digest()


class World:
    """Simulates time, the network and all processes of a system.

    Attributes:
        now: Virtual time in seconds.
        rng: Random generator that makes every random choice of the simulation.
        blocked: Pairs (from, to) of host names between which every message is lost.
        disturbance_ends: Virtual time at which a disturbance ends, by (host name, kind). Kinds are
            `late`, `crossed` (reordered) and `repeated`.
        on_step: Function (step name, host) that is called at every step, or None.
        current_host: Host whose code is running, or None.
        encodes_messages: Whether journal messages pass through their codec, which takes a third of
            the time of a run.
        serial_rollouts: (time, serial) of each bundle that was put in force.
        violations: Violations of the guarantees that the fakes themselves detected, as sentences
            that begin with the number of the guarantee.
        kills: (time, host name) of each killed process.
        wakeup_count: Number of wake-ups so far. A wake-up passes one event to a state machine and
            executes the actions that it returns.
        settle_seconds: Least virtual time that a run of the fault matrix continues after the last
            response.
        executions: (time, service, key, host name) of each executed service call.
        attempts: (time, prompt, attempt id) of each attempt started on an engine.
        callers: All callers, in order of creation.
        host_by_name: All processes, including the callers.
    """

    def __init__(self, seed=1, gateways=4, engines=3, encodes_messages=True):
        self.now = 1000.0
        self.rng = random.Random(seed)
        self.blocked = set()
        self.disturbance_ends = {}
        self.on_step = None
        self.current_host = None
        self.encodes_messages = encodes_messages
        self.serial_rollouts = []
        self.violations = []
        self.kills = []
        self.wakeup_count = 0
        self.settle_seconds = 0.0
        self.executions = []
        self.attempts = []
        self.callers = []
        self._heap = []
        self._ids = itertools.count(1)
        self.host_by_name = {}
        self.control = Control(self)
        self.gateways = [Gateway(self, f"gw{n + 1}", sample.ZONES[n % 4]) for n in range(gateways)]
        self.engines = [Engine(self, f"en{n + 1}", sample.ZONES[n % 4]) for n in range(engines)]
        self.services = [Service(self, f"sv{n + 1}", sample.ZONES[n % 4]) for n in range(2)]
        for host in list(self.host_by_name.values()):
            host.start()
        self.run(1.0)

    def next_id(self) -> int:
        return next(self._ids)

    def schedule(self, delay: float, function, *args):
        heapq.heappush(self._heap, (self.now + delay, self.next_id(), function, args))

    def run(self, seconds: float, until=None):
        """Runs events for some virtual seconds, or until `until()` returns true."""
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            self.now, _, function, args = heapq.heappop(self._heap)
            function(*args)
            if until is not None and until():
                return
        self.now = end

    def report_step(self, name: str):
        if self.on_step is not None and self.current_host is not None:
            self.on_step(name, self.current_host)

    def can_reach(self, source, target) -> bool:
        return (source.name, target.name) not in self.blocked

    def is_disturbed(self, host, kind) -> bool:
        return self.now < self.disturbance_ends.get((host.name, kind), 0.0)

    def message_delay(self, host) -> float:
        delay = LATENCY_SECONDS
        if self.is_disturbed(host, "late"):
            delay += 0.4
        if self.is_disturbed(host, "crossed"):
            delay += self.rng.uniform(0.0, 0.3)
        return delay

    def send(self, source, target, function, *args):
        """Sends a message that may be lost, delayed, reordered or repeated."""
        if not self.can_reach(source, target):
            return
        self.schedule(
            self.message_delay(source), target.deliver, target.incarnation, function, *args
        )
        if self.is_disturbed(source, "repeated"):
            repeat_delay = self.rng.uniform(0.0, 0.5)
            self.schedule(repeat_delay, target.deliver, target.incarnation, function, *args)


class Host:
    """A process that can be killed, paused and isolated from the network.

    Attributes:
        world: The `World`.
        name: Name, unique in the world.
        zone: Availability zone.
        state: `up`, `paused` or `dead`.
        incarnation: Number of starts; calls scheduled for an earlier incarnation are dropped.
        backlog: (function, arguments) of the calls that wait for the end of a pause.
        connections: Connections by id.
    """

    def __init__(self, world, name, zone=""):
        self.world = world
        self.name = name
        self.zone = zone
        self.state = "up"
        self.incarnation = 1
        self.backlog = collections.deque()
        self.connections = {}
        world.host_by_name[name] = self

    def start(self):
        """Starts the process with empty memory."""

    def deliver(self, incarnation, function, *args):
        if self.state == "dead" or incarnation != self.incarnation:
            return
        if self.state == "paused":
            self.backlog.append((function, args))
            return
        previous_host, self.world.current_host = self.world.current_host, self
        function(*args)
        self.world.current_host = previous_host

    def schedule(self, delay, function, *args):
        self.world.schedule(delay, self.deliver, self.incarnation, function, *args)

    def kill(self, restart_after=None):
        if self.state == "dead":
            return
        self.state = "dead"
        self.world.kills.append((self.world.now, self.name))
        self.backlog.clear()
        for connection in list(self.connections.values()):
            connection.reset(self)
        self.connections.clear()
        if restart_after is not None:
            self.world.schedule(restart_after, self.restart)

    def restart(self):
        self.state = "up"
        self.incarnation += 1
        self.start()

    def pause(self, seconds=PAUSE_SECONDS):
        if self.state != "up":
            return
        self.state = "paused"
        self.world.schedule(seconds, self._resume, self.incarnation)

    def _resume(self, incarnation):
        if self.state != "paused" or incarnation != self.incarnation:
            return
        self.state = "up"
        waiting, self.backlog = self.backlog, collections.deque()
        while waiting and self.state == "up":
            function, args = waiting.popleft()
            self.deliver(incarnation, function, *args)
        if self.state == "paused":
            self.backlog.extend(waiting)

    def isolate(self, one_way=False, seconds=ISOLATION_SECONDS):
        """Drops all messages from the host, and unless `one_way` also all messages to it.

        With `one_way` its messages to callers still arrive.
        """
        pairs = set()
        for name, other in self.world.host_by_name.items():
            if other is self or (one_way and type(other) is Caller):
                continue
            pairs.add((self.name, name))
            if not one_way:
                pairs.add((name, self.name))
        self.world.blocked |= pairs
        self.world.schedule(seconds, self.world.blocked.difference_update, pairs)

    def disturb(self, kind, seconds=DISTURBANCE_SECONDS):
        self.world.disturbance_ends[self.name, kind] = self.world.now + seconds


class Connection:
    """A TCP connection, which delivers events in order and once.

    After one event is lost, the connection delivers nothing more, since TCP never skips data.

    Attributes:
        ends: (client, server), as `Host` objects.
        incarnations: Incarnation of each end when the connection was opened, by host name.
        on_event: Function of the client, called with the kind and values of each event.
        open: False after the client closed it or was notified that the server closed it.
        silent: Whether the connection drops all events.
        id: Number, unique in the world.
    """

    def __init__(self, world, client, server, on_event):
        self.world = world
        self.ends = (client, server)
        self.incarnations = {host.name: host.incarnation for host in self.ends}
        self.on_event = on_event
        self.open = True
        self.silent = False
        self.id = world.next_id()
        self._last_arrival = 0.0
        self._on_disconnect = None
        for host in self.ends:
            host.connections[self.id] = self

    def send_event(self, *event):
        """Sends an event from the server to the client."""
        client, server = self.ends
        if not self.open or self.silent:
            return
        if not self.world.can_reach(server, client):
            self.silent = True
            return
        self._last_arrival = max(
            self._last_arrival, self.world.now + self.world.message_delay(server)
        )
        self.world.schedule(
            self._last_arrival - self.world.now, client.deliver, self.incarnations[client.name],
            self._deliver_event, event,
        )  # fmt: skip

    def _deliver_event(self, event):
        if self.open:
            self.on_event(*event)

    def set_disconnect_handler(self, function):
        """Sets the function that the server runs when the client closes or dies."""
        self._on_disconnect = function

    def reset(self, host):
        """Closes the connection from one end, as the kernel does when that process dies."""
        client, server = self.ends
        if not self.open:
            return
        if host is server:
            if self.silent or not self.world.can_reach(server, client):
                return
            self.world.schedule(
                LATENCY_SECONDS, client.deliver, self.incarnations[client.name], self._notify_closed
            )  # fmt: skip
        else:
            self.close()

    def _notify_closed(self):
        if self.open:
            self.open = False
            self.on_event("closed")

    def close(self):
        """Closes the connection from the client's end."""
        client, server = self.ends
        if not self.open:
            return
        self.open = False
        for host in self.ends:
            host.connections.pop(self.id, None)
        if self._on_disconnect is not None and self.world.can_reach(client, server):
            self.world.schedule(
                LATENCY_SECONDS, server.deliver, self.incarnations[server.name], self._on_disconnect
            )  # fmt: skip


class Control(Host):
    """Control as a single process over a real `ControlState`, without consensus.

    Consensus has tests of its own.
    """

    def __init__(self, world):
        super().__init__(world, "control")
        self.replicated_state = control_state.ControlState(control_state.Limits())
        self.last_heartbeat_by_owner = {}
        self._last_operation = 0

    def start(self):
        operators = [wire.OperatorKey(**entry) for entry in sample.sample_operators()]
        self.commit(wire.Bootstrap(operators=operators))
        self.approve_and_roll(self.write_version("wren", 1))
        self.schedule(1.0, self._assign_orphaned_requests)

    def commit(self, record):
        data = control_state.encode_command(record, int(self.world.now * 1000))
        return self.replicated_state.apply(self.replicated_state.index + 1, 1, data)

    def write_version(self, writer, version, resume="latency"):
        """Writes a version; returns (version, digest), or None on a conflict."""
        self._last_operation += 1
        content = bundle_content(version, resume)
        record = wire.WriteBundle(
            operation_id=str(self._last_operation), actor=writer, content=content
        )  # fmt: skip
        result = self.commit(record)
        return (version, result.ok.digest) if result.is_ok() else None

    def approve_and_roll(self, written):
        """Approves a written (version, digest) and puts it in force; returns the last result."""
        version, digest = written
        self._last_operation += 1
        operation = str(self._last_operation)
        signature = bundles.sign_digest(operator_private_key("amos"), digest)
        for record in (
            wire.ApproveBundle(
                operation_id=operation, actor="amos", version=version, digest=digest,
                signature=signature,
            ),
            wire.RollBundle(
                operation_id=operation + "r", actor="olga", version=version, digest=digest
            ),
        ):  # fmt: skip
            result = self.commit(record)
        if result.is_ok():
            self.world.serial_rollouts.append((self.world.now, self.replicated_state.serial))
        return result

    def race_operators(self):
        """Has two operators write different content for one version, and both roll it."""
        version = self.replicated_state.latest_version + 1
        first = self.write_version("wren", version, "resources")
        second = self.write_version("olga", version, "latency")
        if first is None or second is not None:
            self.world.violations.append("8: two operators both wrote one version")
        self.approve_and_roll(first)
        self.approve_and_roll((version, first[1]))

    def handle_heartbeat(self, sender, serial, asked_at):
        self.last_heartbeat_by_owner[sender.core.epochs.holder] = self.world.now
        entry = self.replicated_state.bundle_in_force()
        bundle = None if serial == self.replicated_state.serial else parse_bundle(entry.content)
        event = gateway_messages.BundleConfirmed(self.replicated_state.serial, bundle, asked_at)
        self.world.send(self, sender, sender.handle_event, event)

    def handle_command(self, sender, record, on_answer):
        self.world.send(self, sender, on_answer, self.commit(record))

    def find_request(self, sender, key, on_answer):
        entry = self.replicated_state.request_by_key.get(key)
        found = None
        if entry is not None and not entry.finished:
            is_other = entry.owner != sender.core.epochs.holder
            live_owner = (
                entry.owner if is_other and self._is_alive(entry.owner, self.world.now) else ""
            )
            found = (entry.body, entry.generation, live_owner)
        self.world.send(self, sender, on_answer, expression.Ok(found))

    def _assign_orphaned_requests(self):
        self.schedule(1.0, self._assign_orphaned_requests)
        now = self.world.now
        live = [g for g in self.world.gateways if self._is_alive(g.core.epochs.holder, now)]
        for key, entry in self.replicated_state.request_by_key.items():
            if entry.finished or not live or self._is_alive(entry.owner, now):
                continue
            event = gateway_messages.Adopt(key, entry.body, entry.generation)
            self.world.send(self, live[0], live[0].handle_event, event)

    def _is_alive(self, holder, now):
        return now - self.last_heartbeat_by_owner.get(holder, -100.0) < 3.0


class Gateway(Host):
    """A gateway process, which executes the actions of a `GatewayCore` as the daemon does."""

    def start(self):
        self.core = gateway.GatewayCore(
            gateway_settings.GatewaySettings(),
            directory.Description(
                self.name, "gateway", self.zone, self.name, self.incarnation, peer_address=self.name
            ),
            random.Random(self.world.rng.getrandbits(32)),
            self.world.now,
        )
        self.reader_by_id = {}
        self.stream_by_attempt = {}
        self.calls = {}
        self.drained_at = None
        self.highest_serial = 0
        self._sender_by_token = {}
        self.schedule(0.001 * self.world.rng.randrange(20), self._tick)
        self.schedule(0.001 * self.world.rng.randrange(100), self._pull)
        self.schedule(0.0, self._heartbeat)

    def handle_event(self, event):
        """Passes an event to the core and executes its actions, as a wake-up of the daemon does."""
        self.world.wakeup_count += 1
        self.execute_actions(
            collections.deque(self.core.handle(event, self.world.now)), self.world.now
        )

    def execute_actions(self, actions, decided_at):
        messages_by_holder = {}
        while actions:
            if self.state == "dead":
                return
            if self.state == "paused":
                self._send_journal_messages(messages_by_holder)
                self.backlog.appendleft((self.execute_actions, (actions, decided_at)))
                return
            action = actions.popleft()
            self.world.report_step(f"action:{type(action).__name__}")
            if self.state != "up":
                actions.appendleft(action)
                continue
            if type(action) is gateway_messages.SendJournal:
                messages_by_holder.setdefault(action.holder, []).append(action.message)
            else:
                EXECUTE_BY_ACTION[type(action)](self, action, decided_at)
        self._send_journal_messages(messages_by_holder)

    def _send_journal_messages(self, messages_by_holder):
        for holder, records in messages_by_holder.items():
            appends = [record for record in records if type(record) is journal.Append]
            others = [record for record in records if type(record) is not journal.Append]
            if appends:
                others.insert(0, journal.AppendBatch(self.core.epochs.holder, appends))
            frames = self._encode(others)
            name, _, incarnation = holder.rpartition(".")
            target = self.world.host_by_name[name]
            if target.incarnation == int(incarnation):
                self.world.send(self, target, target.serve_journal, self, frames)

    def serve_journal(self, sender, frames):
        records = self._decode(frames)
        token = self.world.next_id()
        self._sender_by_token[token] = (sender, sender.incarnation)
        self.handle_event(gateway_messages.JournalRequest(token, records))

    def _send_journal_replies(self, action, _at):
        sender, incarnation = self._sender_by_token.pop(action.token)
        if sender.incarnation != incarnation:
            return
        frames = self._encode(action.messages)
        holder = self.core.epochs.holder
        self.world.send(self, sender, sender.receive_replies, holder, frames)

    def receive_replies(self, holder, frames):
        self.handle_event(gateway_messages.JournalReceived(holder, self._decode(frames)))

    def _encode(self, records):
        if not self.world.encodes_messages:
            return records
        return [journal_codec.encode(record) for record in records]

    def _decode(self, frames):
        if not self.world.encodes_messages:
            return frames
        return [journal_codec.decode(frame).ok for frame in frames]

    # Timers, directory and control.

    def _tick(self):
        self.schedule(TICK_SECONDS, self._tick)
        self.handle_event(gateway_messages.Tick())
        now = self.world.now
        if self.state != "up":
            return
        for reader in list(self.reader_by_id.values()):
            if reader.open and now - reader.pushed_at >= 0.5:
                reader.pushed_at = now
                reader.send_event("heartbeat")
        if self.core.serial < self.highest_serial:
            self.world.violations.append(f"8: {self.name} went back to serial {self.core.serial}")
        self.highest_serial = self.core.serial
        if self.core.admission_failure(now) is None:
            due = [serial for rolled, serial in self.world.serial_rollouts if rolled <= now - 6.0]
            if due and self.core.serial < max(due):
                self.world.violations.append(f"8: {self.name} admits under an old bundle after 6 s")
        if self.core.is_drained(now) and self.drained_at is None:
            self.drained_at = now
            self.kill()

    def _pull(self):
        self.schedule(0.4 * self.world.rng.uniform(0.9, 1.1), self._pull)
        seeds = [each.name for each in self.world.gateways]
        for peer in self.core.directory.choose_peers(seeds, 2, self.world.rng):
            self._pull_from(peer)

    def _pull_from(self, peer):
        target = self.world.host_by_name[peer]
        request = self.core.directory.pull_request(peer, self.world.now)
        self.world.send(self, target, target.serve_pull, self, request, self.world.now)

    def serve_pull(self, sender, request, sent_at):
        answer = self.core.directory.answer_pull(request, self.world.now)
        self.world.send(self, sender, sender.receive_pull_answer, self.name, answer, sent_at)

    def receive_pull_answer(self, peer, answer, sent_at):
        if self.core.directory.apply_pull(peer, answer, sent_at, self.world.now):
            self._pull_from(peer)

    def announce(self, target, announcement):
        ticket = self.core.directory.announce(announcement, self.world.now)
        self.world.send(self, target, target.receive_ticket, self.name, ticket)

    def _heartbeat(self):
        self.schedule(1.0, self._heartbeat)
        control = self.world.control
        asked_at = self.world.now
        self.world.send(self, control, control.handle_heartbeat, self, self.core.serial, asked_at)

    def _call_control(self, function, payload, on_answer, attempts=5):
        """Calls control, and again each 0.4 s without an answer.

        Args:
            function: Method of `Control`.
            payload: Its argument.
            on_answer: Function that is called once, with the result or with a failure.
            attempts: Number of calls after which `on_answer` gets a failure.
        """
        done = []

        def complete(result):
            if not done:
                done.append(True)
                on_answer(result)

        def send_attempt(attempts_left):
            if done:
                return
            if not attempts_left:
                complete(codes.failure(codes.Code.LINK_TIMEOUT, "control did not answer"))
                return
            self.world.send(self, self.world.control, function, self, payload, complete)
            self.schedule(0.4, send_attempt, attempts_left - 1)

        send_attempt(attempts)

    def _commit_request(self, action, _at):
        account, request_id = action.key
        record = wire.AcceptRequest(
            account=account, request_id=request_id, body=action.header,
            owner=self.core.epochs.holder,
        )  # fmt: skip

        def on_answer(result):
            failure = None
            if result.is_error():
                # An earlier copy of the command may have committed, so the outcome is unknown.
                failure = codes.Failure(codes.Code.IN_PROGRESS, result.error.message)
            self.handle_event(gateway_messages.RequestCommitted(action.key, failure))

        self._call_control(self.world.control.handle_command, record, on_answer)

    def _find_request(self, action, _at):
        def on_answer(result):
            failure, found = None, None
            if result.is_error():
                failure = codes.Failure(codes.Code.JOURNAL_UNAVAILABLE, result.error.message)
            else:
                found = result.ok
            header, number, live_owner = found or (None, 0, "")
            self.handle_event(
                gateway_messages.RequestFound(action.key, header, number, failure, live_owner)
            )

        self._call_control(self.world.control.find_request, action.key, on_answer)

    def _claim_generation(self, action, _at):
        account, request_id = action.key
        record = wire.ClaimGeneration(
            account=account, request_id=request_id, expected_generation=action.expected,
            owner=self.core.epochs.holder, operation_id=str(self.world.next_id()),
        )  # fmt: skip

        def on_answer(result):
            failure, number = None, 0
            if result.is_error() or result.ok.flag:
                failure = codes.Failure(codes.Code.OWNERSHIP_LOST, "another gateway claimed it")
            else:
                number = result.ok.number
            self.handle_event(gateway_messages.GenerationClaimed(action.key, number, failure))

        self._call_control(self.world.control.handle_command, record, on_answer)

    def _finish_request(self, action, _at):
        account, request_id = action.key
        entry = self.world.control.replicated_state.request_by_key.get(action.key)
        record = wire.FinishRequest(
            account=account, request_id=request_id, generation=entry.generation if entry else 1
        )  # fmt: skip
        self._call_control(self.world.control.handle_command, record, lambda _result: None)

    # Connections of callers.

    def serve_caller(self, connection, make_event):
        """Serves a caller's request; `make_event(reader)` returns the event for the core."""
        reader = connection.id
        connection.pushed_at = self.world.now
        connection.set_disconnect_handler(lambda: self._handle_reader_disconnect(connection))
        self.reader_by_id[reader] = connection
        connection.buffered_events = []
        event = make_event(reader)
        if type(event) is UnaryCall:
            CallExecutor(self, event, connection).handle_event(calls.Begin())
            return
        connection.key = (event.account, event.request_id)
        self.handle_event(event)

    def _handle_reader_disconnect(self, connection):
        if self.reader_by_id.pop(connection.id, None) is not None and hasattr(connection, "key"):
            self.handle_event(
                gateway_messages.FromReader(
                    connection.key, generation_messages.ReaderDisconnected(connection.id)
                )
            )

    def _send_to_reader(self, action, *event):
        connection = self.reader_by_id.get(action.reader)
        if connection is None:
            return
        connection.pushed_at = self.world.now
        if event[0] in ("end", "error"):
            del self.reader_by_id[action.reader]
        if connection.streamed or event[0] == "error":
            connection.send_event(*event)
            return
        connection.buffered_events = (
            [event] if event[0] == "generation" else [*connection.buffered_events, event]
        )
        if event[0] == "end":
            for each in connection.buffered_events:
                connection.send_event(*each)

    def _send_generation(self, action, _at):
        self._send_to_reader(action, "generation", action.name, action.seed)

    def _send_tokens(self, action, _at):
        self._send_to_reader(action, "tokens", action.name, action.offset, list(action.tokens))
        if action.reader in self.reader_by_id:
            end = action.offset + len(action.tokens)
            event = generation_messages.ReaderRead(action.reader, action.generation, end)
            self.schedule(0.0, self.handle_event, gateway_messages.FromReader(action.key, event))

    def _send_end(self, action, _at):
        self._send_to_reader(action, "end", action.name, action.final_offset)

    def _send_error(self, action, _at):
        self._send_to_reader(action, "error", action.code)

    # Streams of engines.

    def _find_engine(self, address):
        return self.world.host_by_name.get(address)

    def _open_stream(self, action, decided_at):
        self._start_stream(action, 0, "submit", action.body, action.address)

    def _reattach_stream(self, action, _at):
        self._start_stream(
            action,
            action.connection,
            "reattach",
            (action.attempt_id, action.offset),
            action.address,
        )

    def _start_stream(self, action, connection_number, method_name, payload, address):
        attempt_key = (action.key, action.attempt)
        old = self.stream_by_attempt.pop(attempt_key, None)
        if old is not None:
            old.close()
        engine = self._find_engine(address)
        if engine is None or engine.state == "dead" or not self.world.can_reach(self, engine):
            delay = LATENCY_SECONDS if engine is None or engine.state == "dead" else 0.3
            failed = generation_messages.StreamFailed(
                action.attempt,
                connection_number,
                generation_messages.FailureKind.CONNECTION_REFUSED,
                0,
            )
            self.schedule(delay, self.handle_event, gateway_messages.FromEngine(action.key, failed))
            return

        def on_event(kind, *values):
            if self.stream_by_attempt.get(attempt_key) is not connection:
                return
            if kind == "closed":
                del self.stream_by_attempt[attempt_key]
                event = generation_messages.StreamFailed(
                    action.attempt, connection_number, generation_messages.FailureKind.CLOSED, 0
                )
            elif kind == "status":
                del self.stream_by_attempt[attempt_key]
                kind_by_status = {
                    404: generation_messages.FailureKind.UNKNOWN_ATTEMPT,
                    409: generation_messages.FailureKind.NOT_RUN,
                }
                event = generation_messages.StreamFailed(
                    action.attempt, connection_number, kind_by_status[values[0]], values[0]
                )
            else:
                event = getattr(generation_messages, kind)(action.attempt, *values)
            self.handle_event(gateway_messages.FromEngine(action.key, event))

        connection = Connection(self.world, self, engine, on_event)
        self.stream_by_attempt[attempt_key] = connection
        delay = self.world.message_delay(self)
        self.world.schedule(
            delay, engine.deliver, engine.incarnation, getattr(engine, method_name), connection,
            payload,
        )  # fmt: skip

    def _cancel_stream(self, action, _at):
        old = self.stream_by_attempt.pop((action.key, action.attempt), None)
        if old is not None:
            old.close()
        engine = self._find_engine(action.address)
        if engine is None or engine.state == "dead":
            return

        def confirmed():
            event = generation_messages.CancelConfirmed(action.attempt)
            self.handle_event(gateway_messages.FromEngine(action.key, event))

        self.world.send(self, engine, engine.cancel, self, action.attempt_id, confirmed)

    def _ignore(self, action, _at):
        pass


EXECUTE_BY_ACTION = {
    gateway_messages.JournalReplies: Gateway._send_journal_replies,
    gateway_messages.OpenStream: Gateway._open_stream,
    gateway_messages.ReattachStream: Gateway._reattach_stream,
    gateway_messages.CancelStream: Gateway._cancel_stream,
    gateway_messages.ReaderGeneration: Gateway._send_generation,
    gateway_messages.ReaderTokens: Gateway._send_tokens,
    gateway_messages.ReaderEnd: Gateway._send_end,
    gateway_messages.ReaderFail: Gateway._send_error,
    gateway_messages.CommitRequest: Gateway._commit_request,
    gateway_messages.FindRequest: Gateway._find_request,
    gateway_messages.ClaimGeneration: Gateway._claim_generation,
    gateway_messages.FinishRequest: Gateway._finish_request,
    gateway_messages.Count: Gateway._ignore,
    gateway_messages.Note: Gateway._ignore,
}


class Target(Host):
    """A target that announces itself to two gateways."""

    kind = ""

    def start(self):
        self.sequence = 0
        self.target_state = "ready"
        self.leaving_since = None
        self._contacts = [0, 1]
        self._ticket_by_gateway = {}
        self._unanswered = set()
        self.schedule(0.0, self._announce)

    def description(self):
        """Returns the `directory.Description`."""
        raise NotImplementedError

    def begin_leaving(self):
        """Changes to the state `leaving`, which every announcement carries from now on."""
        self.target_state = "leaving"
        self.leaving_since = self.world.now
        self._send_announcements()

    def _announce(self):
        self.schedule(0.5, self._announce)
        self._send_announcements()

    def _send_announcements(self):
        self.sequence += 1
        gateways = self.world.gateways
        for slot, index in enumerate(self._contacts):
            if gateways[index].name in self._unanswered:
                others = [n for n in range(len(gateways)) if n not in self._contacts]
                if others:
                    self._contacts[slot] = others[self.sequence % len(others)]
        for index in self._contacts:
            target = gateways[index]
            ticket = self._ticket_by_gateway.get(target.name, b"")
            announcement = directory.Announcement(
                self.description(), self.sequence, self.target_state, ticket=ticket
            )
            self._unanswered.add(target.name)
            self.world.send(self, target, target.announce, self, announcement)

    def receive_ticket(self, name, ticket):
        self._unanswered.discard(name)
        self._ticket_by_gateway[name] = ticket

    def record_late_work(self):
        """Records a violation if work arrives more than 3 s after the target began to leave."""
        if self.leaving_since is not None and self.world.now > self.leaving_since + 3.0:
            self.world.violations.append(f"6: {self.name} got work 3 s after it began to leave")


class _RunningAttempt:
    def __init__(self, attempt, prefilled_at):
        self.attempt = attempt
        self.prefilled_at = prefilled_at
        self.streams = []


class Engine(Target):
    """An engine with the behaviour of `targets.standin_engine`."""

    def start(self):
        self.running_by_id = {}
        self.rejects_prefixes = False
        self.prefill_seconds = PREFILL_SECONDS
        self._stepping = False
        super().start()

    def description(self):
        return directory.Description(
            self.name, "engine", self.zone, self.name, self.incarnation,
            models=[(sample.MODEL, "", "1")], capacity=8,
        )  # fmt: skip

    def submit(self, connection, body):
        self.record_late_work()
        running = self.running_by_id.get(body["attempt_id"])
        if running is None:
            self.world.attempts.append((self.world.now, body["prompt"], body["attempt_id"]))
            body = dict(body, prefix=[] if self.rejects_prefixes else list(body["prefix"]))
            attempt = standin_engine.Attempt(body, self.world.now)
            running = _RunningAttempt(attempt, self.world.now + self.prefill_seconds)
            self.running_by_id[body["attempt_id"]] = running
        self._attach(connection, running, running.attempt.prefix_length)

    def reattach(self, connection, payload):
        attempt_id, offset = payload
        running = self.running_by_id.get(attempt_id)
        known = running is not None and running.attempt.prefix_length <= offset
        if not known or offset > len(running.attempt.tokens):
            connection.send_event("status", 404)
            return
        self._attach(connection, running, offset)

    def cancel(self, sender, attempt_id, confirmed):
        running = self.running_by_id.pop(attempt_id, None)
        if running is not None:
            for stream in running.streams:
                stream.reset(self)
        self.world.send(self, sender, confirmed)

    def _attach(self, connection, running, offset):
        connection.offset, connection.started = offset, False
        connection.pushed_at = self.world.now
        running.streams.append(connection)
        if not self._stepping:
            self._stepping = True
            self.schedule(TOKEN_SECONDS, self._step)

    def _step(self):
        now = self.world.now
        for running in list(self.running_by_id.values()):
            running.streams = [stream for stream in running.streams if stream.open]
            attempt = running.attempt
            if now >= running.prefilled_at and not attempt.ended:
                attempt.started = True
                if len(attempt.tokens) < attempt.max_tokens:
                    digest = attempt.digest.hexdigest()
                    token = standin_engine.next_token(attempt.seed, attempt.prompt, digest)
                    attempt.tokens.append(token)
                    attempt.digest.add((token,))
                attempt.ended = len(attempt.tokens) >= attempt.max_tokens
            for stream in running.streams:
                self._send_new_tokens(stream, attempt, now)
        self._stepping = any(each.streams for each in self.running_by_id.values())
        if self._stepping:
            self.schedule(TOKEN_SECONDS, self._step)

    def _send_new_tokens(self, stream, attempt, now):
        if attempt.started and not stream.started:
            stream.started = True
            stream.send_event("StreamStarted", attempt.prefix_length, attempt.prefix_digest)
        if stream.started and stream.offset < len(attempt.tokens):
            stream.send_event("Tokens", stream.offset, attempt.tokens[stream.offset :])
            stream.offset = len(attempt.tokens)
            stream.pushed_at = now
        elif now - stream.pushed_at >= standin_engine.HEARTBEAT_SECONDS:
            stream.send_event("Heartbeat")
            stream.pushed_at = now
        if stream.started and attempt.ended and not stream.silent:
            stream.send_event("StreamEnded", len(attempt.tokens))
            stream.reset(self)

    def silence_connections(self):
        """Stops delivery on all open connections, while new connections work."""
        for connection in self.connections.values():
            connection.silent = True


class Service(Target):
    """A service that executes calls and records each execution."""

    def description(self):
        return directory.Description(
            self.name, "service", self.zone, self.name, self.incarnation,
            services=("stock", "dispatch"), capacity=8,
        )  # fmt: skip

    def execute_call(self, connection, call):
        self.record_late_work()
        self.world.executions.append((self.world.now, call.service, call.key, self.name))
        connection.send_event("Outcome", 200, f"{call.key} done".encode())


class UnaryCall:
    """A caller's call of a service, as it reaches a gateway.

    Attributes:
        account: Client account.
        service: Service name.
        key: Idempotency key.
        body: Body, as bytes.
        repeatable: Whether the service may execute the call more than once.
        is_first_send: Whether this is certainly the first time that the caller sends the call.
    """

    def __init__(self, account, service, key, body, repeatable, is_first_send):
        self.account = account
        self.service = service
        self.key = key
        self.body = body
        self.repeatable = repeatable
        self.is_first_send = is_first_send


class CallExecutor:
    """Executes the actions of the state machine of one service call, at its gateway."""

    def __init__(self, host, call, caller_connection):
        self.host = host
        self.world = host.world
        self.call = call
        self.caller_connection = caller_connection
        digest = hashlib.sha256(call.body).digest()
        parameters = calls.CallParameters(
            call.account, call.key, digest, host.core.epochs.holder,
            str(self.world.next_id()), 5.0,
        )  # fmt: skip
        if call.repeatable:
            self.machine = calls.IdempotentCall(parameters, lambda _now: True)
        else:
            self.machine = calls.UnrepeatableCall(parameters)
        self._connection = None
        self._target = None

    def handle_event(self, event):
        self.world.wakeup_count += 1
        actions = collections.deque(self.machine.handle(event, self.world.now))
        self.world.report_step(f"call:{type(self.machine).__name__}.{self.machine.state}")
        self._execute_actions(actions)

    def _execute_actions(self, actions):
        while actions:
            if self.host.state == "dead":
                return
            if self.host.state == "paused":
                self.host.backlog.appendleft((self._execute_actions, (actions,)))
                return
            EXECUTE_BY_CALL_ACTION[type(actions[0])](self, actions.popleft())

    def _send_command(self, action, name, fields):
        record = getattr(wire, type(action).__name__)(
            **{field: getattr(action, field) for field in fields}
        )
        done = []

        def on_answer(result):
            done.append(True)
            self.handle_event(calls.ControlAnswered(name, result))

        def on_timeout():
            if not done:
                self.handle_event(calls.ControlAnswerLost(name))

        control = self.world.control
        self.world.send(self.host, control, control.handle_command, self.host, record, on_answer)
        self.host.schedule(0.4, on_timeout)

    def _open_intent(self, action):
        self._send_command(action, "open", action.__slots__)

    def _release_intent(self, action):
        self._send_command(action, "release", action.__slots__)

    def _finish_intent(self, action):
        self._send_command(action, "finish", action.__slots__)

    def _connect(self, action):
        entry = self.host.core.choose_service_target(
            self.call.service, action.exclude, self.world.now
        )
        if entry is None:
            self.host.schedule(0.0, self.handle_event, calls.NotSent(action.attempt, None))
            return
        target = self._target = self.world.host_by_name[entry.description.id]
        if target.state == "dead" or not self.world.can_reach(self.host, target):
            self.host.schedule(0.3, self.handle_event, calls.NotSent(action.attempt, target.name))
            return

        def on_event(kind, *values):
            if kind == "closed":
                self.handle_event(calls.OutcomeLost(action.attempt, target.name))
            else:
                connection.close()
                self.handle_event(calls.Outcome(action.attempt, *values))

        connection = self._connection = Connection(self.world, self.host, target, on_event)
        self.host.schedule(
            2 * LATENCY_SECONDS, self.handle_event, calls.Connected(action.attempt, target.name)
        )

    def _write(self, action):
        if self.world.now >= action.deadline:
            self.handle_event(calls.NotSent(action.attempt, action.target))
            return
        connection, target = self._connection, self._target
        if self.world.can_reach(self.host, target):
            self.world.schedule(
                self.world.message_delay(self.host), target.deliver,
                connection.incarnations[target.name], target.execute_call, connection, self.call,
            )  # fmt: skip
        self.host.schedule(1.5, self._handle_response_timeout, connection, action)

    def _handle_response_timeout(self, connection, action):
        if connection.open:
            connection.close()
            self.handle_event(calls.OutcomeLost(action.attempt, action.target))

    def _close(self, action):
        if self._connection is not None:
            self._connection.close()

    def _set_timer(self, action):
        self.host.schedule(
            max(0.0, action.at - self.world.now), self.handle_event, calls.TimerFired()
        )

    def _respond(self, action):
        if self.host.reader_by_id.pop(self.caller_connection.id, None) is not None:
            call = self.call
            covers_all = calls.covers_all_submissions(call.is_first_send, call.key, call.repeatable)
            run = codes.to_json(action.code, "", covers_all)["run"]
            self.caller_connection.send_event("response", action.code, action.body, run)


EXECUTE_BY_CALL_ACTION = {
    calls.OpenIntent: CallExecutor._open_intent,
    calls.ReleaseIntent: CallExecutor._release_intent,
    calls.FinishIntent: CallExecutor._finish_intent,
    calls.Connect: CallExecutor._connect,
    calls.WriteRequest: CallExecutor._write,
    calls.CloseAttempt: CallExecutor._close,
    calls.SetTimer: CallExecutor._set_timer,
    calls.Respond: CallExecutor._respond,
}


class Caller(Host):
    """A caller that reconnects with request id and last event id, as `callers.client` does.

    Args:
        streamed: Whether it reads tokens as they are generated, or the whole response at its end.
        may_be_resend: Whether it never marks a submission as the first one, like a caller that
            restarted with a stored request id.

    Attributes:
        events: All events received, as (time, connection number, kind, values), for the oracle.
        tokens: Tokens of the current generation received so far.
        generation_name: Name of the current generation, or an empty string.
        seed: Sampling seed of the current generation, or None.
        complete: Whether the whole response was received.
        response: Body of the successful response of a service call, or None.
        reconnects: Number of connections that were lost, closed by `reconnect` or not opened.
        finished: Whether the caller sends nothing more.
        codes: Result codes received, as (time, code).
        unknown_outcome_times: Times of the responses that say that the call may have run.
        connect_times: Times at which it opened or tried to open a connection.
        next_gateway: Gateway for the next connection, or None to choose one.
    """

    def __init__(self, world, service, prompt, max_tokens=24, streamed=True, may_be_resend=False):
        super().__init__(world, f"caller{len(world.callers) + 1}")
        world.callers.append(self)
        self.service = service
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.streamed = streamed
        self.request_id = f"r-{self.name}"
        self.account = "planning"
        self.events = []
        self.codes = []
        self.unknown_outcome_times = []
        self.connect_times = []
        self.tokens, self.generation_name, self.seed = [], "", None
        self.complete = self.finished = self.cancelled = False
        self.response = None
        self.reconnects = 0
        self.connection = None
        self.gateway = None
        self.next_gateway = None
        self._failure_time_by_gateway = {}
        self._was_submitted = False
        self._may_be_resend = may_be_resend
        self._last_event_at = world.now

    def connect(self):
        if self.finished:
            return
        target = self.next_gateway or self._choose_gateway()
        self.next_gateway = None
        self.gateway = target
        self.connect_times.append(self.world.now)
        if target.state == "dead" or not self.world.can_reach(self, target):
            delay = LATENCY_SECONDS if target.state == "dead" else 0.3
            self._failure_time_by_gateway[target.name] = self.world.now
            self.reconnects += 1
            self.schedule(delay + 0.05, self.connect)
            return
        self.connection = Connection(self.world, self, target, self._handle_event)
        self.connection.streamed = self.streamed
        self._last_event_at = self.world.now
        self._attached = False
        arguments = (self.connection, self._make_event)
        self.world.schedule(
            LATENCY_SECONDS, target.deliver, target.incarnation, target.serve_caller, *arguments
        )  # fmt: skip
        self._schedule_silence_check(self.connection, 3.1)

    def _choose_gateway(self):
        usable = [
            each
            for each in self.world.gateways
            if self.world.now - self._failure_time_by_gateway.get(each.name, -100.0) > 5.0
            and each.core.directory.own.state == "ready"
        ]
        return self.world.rng.choice(usable or self.world.gateways)

    def _make_event(self, reader):
        if self.service in ("stock", "dispatch"):
            repeatable = self.service == "stock"
            key = self.request_id
            is_first = len(self.connect_times) == 1
            body = self.prompt.encode()
            return UnaryCall(self.account, self.service, key, body, repeatable, is_first)
        if self.cancelled:
            return gateway_messages.Cancel(reader, self.account, self.request_id)
        if self._was_submitted:
            number, _, answer = self.generation_name.partition(".")
            position = (answer, int(number), len(self.tokens)) if number else ("", None, 0)
            return gateway_messages.Attach(
                reader, self.account, self.request_id, *position, self.streamed
            )  # fmt: skip
        first = not self.reconnects and not self.codes and not self._may_be_resend
        return gateway_messages.Submit(
            reader, self.account, self.request_id, first, self.service, self.prompt,
            self.max_tokens, self.streamed,
        )  # fmt: skip

    def _schedule_silence_check(self, connection, limit):
        self.schedule(0.1, self._check_silence, connection, limit)

    def _check_silence(self, connection, limit):
        if connection is not self.connection or self.finished:
            return
        if self._attached:
            limit = 0.8
        if self.world.now - self._last_event_at > limit:
            self._handle_lost_connection(submitted=self._attached)
            return
        self._schedule_silence_check(connection, limit)

    def _handle_lost_connection(self, submitted=True, pause=0.05):
        """Marks the gateway as failed and reconnects.

        Args:
            submitted: Whether the gateway has received the request.
            pause: Time until the next connection, in seconds.
        """
        self._was_submitted = self._was_submitted or submitted
        self._failure_time_by_gateway[self.gateway.name] = self.world.now
        self.reconnect(pause)

    def reconnect(self, pause=0.05):
        """Closes the connection and reconnects after a pause."""
        connection, self.connection = self.connection, None
        if connection is not None:
            self._was_submitted = self._was_submitted or self._attached
            connection.close()
        self.reconnects += 1
        self.schedule(pause, self.connect)

    def cancel(self):
        """Cancels the request at any gateway."""
        self.cancelled = True
        if self.connection is not None:
            self.connection.close()
        self.connect()

    def _handle_event(self, kind, *values):
        self._last_event_at = self.world.now
        self.events.append((self.world.now, self.connection and self.connection.id, kind, values))
        if kind == "heartbeat":
            self._attached = True
        elif kind == "closed":
            self._handle_lost_connection(submitted=self._attached)
        elif kind == "generation":
            self._attached = True
            if values[0] != self.generation_name:
                self.generation_name, self.seed = values
                self.tokens = []
        elif kind == "tokens":
            if values[0] == self.generation_name and values[1] == len(self.tokens):
                self.tokens.extend(values[2])
        elif kind == "end":
            self.complete = values[1] == len(self.tokens)
            self._finish()
        elif kind == "response":
            self._handle_response(*values)
        else:
            self._handle_error(values[0])

    def _finish(self):
        self.finished = True
        self.connection.close()

    def _handle_response(self, code, body, run):
        self.codes.append((self.world.now, code))
        if run == codes.RunStatus.UNKNOWN.value:
            self.unknown_outcome_times.append(self.world.now)
        if code is codes.Code.OK:
            self.response = body
            self.complete = True
            self._finish()
            return
        self._retry_or_finish(code)

    def _handle_error(self, code):
        self.codes.append((self.world.now, code))
        if code is codes.Code.JOURNAL_STALE:
            self._check_journal_copies()
        if code is codes.Code.OK and self.cancelled:
            self._finish()
        elif self._attached:
            # An error within a stream; the answer on the next connection shows whether to retry.
            self._handle_lost_connection(pause=0.0)
        else:
            self._retry_or_finish(code)

    def _check_journal_copies(self):
        """Checks that two of three journal copies hold all delivered tokens.

        A stale owner may refuse a request, but a majority must hold what was delivered.
        """
        copies = [
            each.core.store.journal_by_key.get((self.account, self.request_id))
            for each in self.world.gateways
        ]
        enough = [each for each in copies if each and len(each.tokens) >= len(self.tokens)]
        if len(enough) < 2 and len({name for _, name in self.world.kills}) < 2:
            self.world.violations.append("1: a token was delivered before a majority had it")

    def _retry_or_finish(self, code):
        retry = codes.MEANING_BY_CODE[code].retry
        if code is codes.Code.REQUEST_UNKNOWN and not self.tokens and not self.cancelled:
            self._was_submitted = False
        elif retry is codes.RetryAdvice.NO:
            self._finish()
            return
        if retry is codes.RetryAdvice.OTHER_ADDRESS:
            self._failure_time_by_gateway[self.gateway.name] = self.world.now
        connection, self.connection = self.connection, None
        connection.close()
        self.schedule(0.25, self.connect)
