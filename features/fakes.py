"""Fakes around the decision code in virtual time: network, processes, engines, callers, control.

They drive `gateway.GatewayCore` and `calls` with the interfaces of the daemon `tools.gateway`.
Nothing here decides for the system, and nothing here waits for a real clock.
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
from chiveswitch.core import gateway_messages as outward
from chiveswitch.core import generation_messages as inner
from chiveswitch.peers import journal_codec
from chiveswitch.targets import standin_engine
from chiveswitch.tools import sample

wire = control_state.control_thrift
LATENCY_S = 0.001
TICK_S = 0.05
TOKEN_S = 0.03
PREFILL_S = 0.1
# How long a paused process stays away: beyond every limit of staleness and of the lease.
PAUSE_S = 4.5
CUT_S = 4.0
DISTURBANCE_S = 1.0


@functools.cache
def parse(content: bytes):
    """Returns the parsed bundle."""
    return bundles.parse(content).ok


@functools.cache
def content_of(version: int, resume: str) -> bytes:
    """Returns a version of the sample bundle."""
    return sample.sample_bundle(version=version, resume_report=resume)


def operator_key(name: str) -> bytes:
    """Returns the private key of an operator of the sample bundle."""
    return hashlib.sha256(f"sample key of {name}".encode()).digest()


class World:
    """Virtual time, the network and all processes.

    Attributes:
        now: Virtual seconds.
        blocked: Pairs (from, to) of host names that lose every message.
        disturbed: End of a disturbance by (host name, kind): `late`, `crossed`, `repeated`.
        on_step: Function (step name, host) that is told every step, or None.
        host: The host whose code runs at present.
        wakeup: Number of the latest call of a decision machine.
        after: Least virtual seconds that a run of the matrix lasts beyond its last response.
        encodes: Whether journal messages pass through their codec, which takes a third of a run.
    """

    def __init__(self, seed=1, gateways=4, engines=3, encodes=True):
        self.now = 1000.0
        self.rng = random.Random(seed)
        self.blocked = set()
        self.disturbed = {}
        self.on_step = None
        self.host = None
        self.encodes = encodes
        self.serials = []
        self.violations = []
        self.killed = []
        self.wakeup = 0
        self.after = 0.0
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

    def at(self, delay: float, function, *args):
        heapq.heappush(self._heap, (self.now + delay, self.next_id(), function, args))

    def run(self, seconds: float, until=None):
        """Runs events for some virtual seconds, or until the function says so."""
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            self.now, _, function, args = heapq.heappop(self._heap)
            function(*args)
            if until is not None and until():
                return
        self.now = end

    def step(self, name: str):
        if self.on_step is not None and self.host is not None:
            self.on_step(name, self.host)

    def reaches(self, source, target) -> bool:
        return (source.name, target.name) not in self.blocked

    def is_disturbed(self, host, kind) -> bool:
        return self.now < self.disturbed.get((host.name, kind), 0.0)

    def delay(self, host) -> float:
        delay = LATENCY_S
        if self.is_disturbed(host, "late"):
            delay += 0.4
        if self.is_disturbed(host, "crossed"):
            delay += self.rng.uniform(0.0, 0.3)
        return delay

    def send(self, source, target, function, *args):
        """Sends a message that may be lost, late, crossed or repeated."""
        if not self.reaches(source, target):
            return
        self.at(self.delay(source), target.deliver, target.incarnation, function, *args)
        if self.is_disturbed(source, "repeated"):
            again = self.rng.uniform(0.0, 0.5)
            self.at(again, target.deliver, target.incarnation, function, *args)


class Host:
    """A process that can be killed, paused and cut off."""

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
        """Starts the process anew, without any memory."""

    def deliver(self, incarnation, function, *args):
        if self.state == "dead" or incarnation != self.incarnation:
            return
        if self.state == "paused":
            self.backlog.append((function, args))
            return
        before, self.world.host = self.world.host, self
        function(*args)
        self.world.host = before

    def soon(self, delay, function, *args):
        self.world.at(delay, self.deliver, self.incarnation, function, *args)

    def kill(self, back_after=None):
        if self.state == "dead":
            return
        self.state = "dead"
        self.world.killed.append((self.world.now, self.name))
        self.backlog.clear()
        for connection in list(self.connections.values()):
            connection.reset(self)
        self.connections.clear()
        if back_after is not None:
            self.world.at(back_after, self.restart)

    def restart(self):
        self.state = "up"
        self.incarnation += 1
        self.start()

    def pause(self, seconds=PAUSE_S):
        if self.state != "up":
            return
        self.state = "paused"
        self.world.at(seconds, self._resume, self.incarnation)

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

    def cut(self, one_way=False, seconds=CUT_S):
        """Loses everything the host sends, and without `one_way` everything sent to it."""
        pairs = set()
        for name, other in self.world.host_by_name.items():
            if other is self or (one_way and type(other) is Caller):
                continue
            pairs.add((self.name, name))
            if not one_way:
                pairs.add((name, self.name))
        self.world.blocked |= pairs
        self.world.at(seconds, self.world.blocked.difference_update, pairs)

    def disturb(self, kind, seconds=DISTURBANCE_S):
        self.world.disturbed[self.name, kind] = self.world.now + seconds


class Connection:
    """One TCP connection: in order, without repetition; silent for good once it lost something."""

    def __init__(self, world, client, server, on_event):
        self.world = world
        self.ends = (client, server)
        self.incarnations = {host.name: host.incarnation for host in self.ends}
        self.on_event = on_event
        self.open = True
        self.silent = False
        self.id = world.next_id()
        self._order = 0.0
        self._left = None
        for host in self.ends:
            host.connections[self.id] = self

    def push(self, *event):
        """Sends an event from the server to the client."""
        client, server = self.ends
        if not self.open or self.silent:
            return
        if not self.world.reaches(server, client):
            self.silent = True
            return
        self._order = max(self._order, self.world.now + self.world.delay(server))
        self.world.at(
            self._order - self.world.now, client.deliver, self.incarnations[client.name],
            self._arrive, event,
        )  # fmt: skip

    def _arrive(self, event):
        if self.open:
            self.on_event(*event)

    def on_left(self, function):
        """Sets what the server does when the client closes or dies."""
        self._left = function

    def reset(self, host):
        """One end died: its kernel closes the connection."""
        client, server = self.ends
        if not self.open:
            return
        if host is server:
            if self.silent or not self.world.reaches(server, client):
                return
            self.world.at(
                LATENCY_S, client.deliver, self.incarnations[client.name], self._lost
            )  # fmt: skip
        else:
            self.close()

    def _lost(self):
        if self.open:
            self.open = False
            self.on_event("closed")

    def close(self):
        """The client closes."""
        client, server = self.ends
        if not self.open:
            return
        self.open = False
        for host in self.ends:
            host.connections.pop(self.id, None)
        if self._left is not None and self.world.reaches(client, server):
            self.world.at(
                LATENCY_S, server.deliver, self.incarnations[server.name], self._left
            )  # fmt: skip


class Control(Host):
    """Control as one process over a real `ControlState`; consensus has tests of its own."""

    def __init__(self, world):
        super().__init__(world, "control")
        self.log = control_state.ControlState(control_state.Limits())
        self.heard_by_owner = {}
        self._operation = 0

    def start(self):
        operators = [wire.OperatorKey(**entry) for entry in sample.sample_operators()]
        self.commit(wire.Bootstrap(operators=operators))
        self.roll(self.write("wren", 1))
        self.soon(1.0, self._adopt_lost)

    def commit(self, record):
        data = control_state.encode_command(record, int(self.world.now * 1000))
        return self.log.apply(self.log.index + 1, 1, data)

    def write(self, writer, version, resume="latency"):
        """Writes a version; returns its digest, or None on a conflict."""
        self._operation += 1
        content = content_of(version, resume)
        record = wire.WriteBundle(
            operation_id=str(self._operation), actor=writer, content=content
        )  # fmt: skip
        result = self.commit(record)
        return (version, result.ok.digest) if result.is_ok() else None

    def roll(self, written):
        """Approves and rolls a written version."""
        version, digest = written
        self._operation += 1
        operation = str(self._operation)
        signature = bundles.sign_digest(operator_key("amos"), digest)
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
            self.world.serials.append((self.world.now, self.log.serial))
        return result

    def race(self):
        """Two operators write the same version number with other content, and both roll it."""
        version = self.log.latest_version + 1
        first = self.write("wren", version, "resources")
        second = self.write("olga", version, "latency")
        if first is None or second is not None:
            self.world.violations.append("8: two operators both wrote one version")
        self.roll(first)
        self.roll((version, first[1]))

    def heartbeat(self, asker, serial, asked_at):
        self.heard_by_owner[asker.core.epochs.holder] = self.world.now
        entry = self.log.bundle_in_force()
        bundle = None if serial == self.log.serial else parse(entry.content)
        event = outward.BundleConfirmed(self.log.serial, bundle, asked_at)
        self.world.send(self, asker, asker.give, event)

    def command(self, asker, record, answered):
        self.world.send(self, asker, answered, self.commit(record))

    def find(self, asker, key, answered):
        entry = self.log.request_by_key.get(key)
        found = None if entry is None or entry.finished else (entry.body, entry.generation)
        self.world.send(self, asker, answered, expression.Ok(found))

    def _adopt_lost(self):
        self.soon(1.0, self._adopt_lost)
        now = self.world.now
        live = [g for g in self.world.gateways if self._is_heard(g.core.epochs.holder, now)]
        for key, entry in self.log.request_by_key.items():
            if entry.finished or not live or self._is_heard(entry.owner, now):
                continue
            event = outward.Adopt(key, entry.body, entry.generation)
            self.world.send(self, live[0], live[0].give, event)

    def _is_heard(self, holder, now):
        return now - self.heard_by_owner.get(holder, -100.0) < 3.0


class Gateway(Host):
    """Executes the actions of one `GatewayCore` as the daemon does."""

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
        self._questions = {}
        self.soon(0.001 * self.world.rng.randrange(20), self._tick)
        self.soon(0.001 * self.world.rng.randrange(100), self._pull)
        self.soon(0.0, self._heartbeat)

    def give(self, event):
        """Lets the core handle an event and executes the actions, as one wake-up of the daemon."""
        self.world.wakeup += 1
        self.execute(collections.deque(self.core.handle(event, self.world.now)), self.world.now)

    def execute(self, actions, decided_at):
        waiting = {}
        while actions:
            if self.state == "dead":
                return
            if self.state == "paused":
                self._send_waiting(waiting)
                self.backlog.appendleft((self.execute, (actions, decided_at)))
                return
            action = actions.popleft()
            self.world.step(f"action:{type(action).__name__}")
            if self.state != "up":
                actions.appendleft(action)
                continue
            if type(action) is outward.SendJournal:
                waiting.setdefault(action.holder, []).append(action.message)
            else:
                EXECUTE_BY_ACTION[type(action)](self, action, decided_at)
        self._send_waiting(waiting)

    def _send_waiting(self, waiting):
        for holder, records in waiting.items():
            appends = [record for record in records if type(record) is journal.Append]
            others = [record for record in records if type(record) is not journal.Append]
            if appends:
                others.insert(0, journal.AppendBatch(self.core.epochs.holder, appends))
            frames = self._encode(others)
            name, _, incarnation = holder.rpartition(".")
            target = self.world.host_by_name[name]
            if target.incarnation == int(incarnation):
                self.world.send(self, target, target.serve_journal, self, frames)

    def serve_journal(self, asker, frames):
        records = self._decode(frames)
        token = self.world.next_id()
        self._questions[token] = (asker, asker.incarnation)
        self.give(outward.JournalRequest(token, records))

    def _journal_replies(self, action, _at):
        asker, incarnation = self._questions.pop(action.token)
        if asker.incarnation != incarnation:
            return
        frames = self._encode(action.messages)
        holder = self.core.epochs.holder
        self.world.send(self, asker, asker.take_replies, holder, frames)

    def take_replies(self, holder, frames):
        self.give(outward.JournalReceived(holder, self._decode(frames)))

    def _encode(self, records):
        if not self.world.encodes:
            return records
        return [journal_codec.encode(record) for record in records]

    def _decode(self, frames):
        if not self.world.encodes:
            return frames
        return [journal_codec.decode(frame).ok for frame in frames]

    # Time, directory and control.

    def _tick(self):
        self.soon(TICK_S, self._tick)
        self.give(outward.Tick())
        now = self.world.now
        if self.state != "up":
            return
        for reader in list(self.reader_by_id.values()):
            if reader.open and now - reader.pushed_at >= 0.5:
                reader.pushed_at = now
                reader.push("heartbeat")
        if self.core.serial < self.highest_serial:
            self.world.violations.append(f"8: {self.name} went back to serial {self.core.serial}")
        self.highest_serial = self.core.serial
        if self.core.admission_failure(now) is None:
            due = [serial for rolled, serial in self.world.serials if rolled <= now - 6.0]
            if due and self.core.serial < max(due):
                self.world.violations.append(f"8: {self.name} admits under an old bundle after 6 s")
        if self.core.is_drained(now) and self.drained_at is None:
            self.drained_at = now
            self.kill()

    def _pull(self):
        self.soon(0.4 * self.world.rng.uniform(0.9, 1.1), self._pull)
        seeds = [each.name for each in self.world.gateways]
        for peer in self.core.directory.choose_peers(seeds, 2, self.world.rng):
            self._pull_from(peer)

    def _pull_from(self, peer):
        target = self.world.host_by_name[peer]
        request = self.core.directory.pull_request(peer, self.world.now)
        self.world.send(self, target, target.serve_pull, self, request, self.world.now)

    def serve_pull(self, asker, request, sent_at):
        answer = self.core.directory.answer_pull(request, self.world.now)
        self.world.send(self, asker, asker.take_pull, self.name, answer, sent_at)

    def take_pull(self, peer, answer, sent_at):
        if self.core.directory.apply_pull(peer, answer, sent_at, self.world.now):
            self._pull_from(peer)

    def announce(self, target, announcement):
        ticket = self.core.directory.announce(announcement, self.world.now)
        self.world.send(self, target, target.take_ticket, self.name, ticket)

    def _heartbeat(self):
        self.soon(1.0, self._heartbeat)
        control = self.world.control
        asked_at = self.world.now
        self.world.send(self, control, control.heartbeat, self, self.core.serial, asked_at)

    def _ask(self, function, payload, answered, tries=5):
        """Asks control, again after 0.4 s without an answer; finally answers with a failure."""
        done = []

        def take(result):
            if not done:
                done.append(True)
                answered(result)

        def again(left):
            if done:
                return
            if not left:
                take(codes.failure(codes.Code.LINK_TIMEOUT, "control did not answer"))
                return
            self.world.send(self, self.world.control, function, self, payload, take)
            self.soon(0.4, again, left - 1)

        again(tries)

    def _commit_request(self, action, _at):
        account, request_id = action.key
        record = wire.AcceptRequest(
            account=account, request_id=request_id, body=action.header,
            owner=self.core.epochs.holder,
        )  # fmt: skip

        def answered(result):
            failure = None
            if result.is_error():
                # An earlier copy may be committed, so that nothing else than "unknown" is proven.
                failure = codes.Failure(codes.Code.IN_PROGRESS, result.error.message)
            self.give(outward.RequestCommitted(action.key, failure))

        self._ask(self.world.control.command, record, answered)

    def _find_request(self, action, _at):
        def answered(result):
            failure, found = None, None
            if result.is_error():
                failure = codes.Failure(codes.Code.JOURNAL_UNAVAILABLE, result.error.message)
            else:
                found = result.ok
            header, number = found or (None, 0)
            self.give(outward.RequestFound(action.key, header, number, failure))

        self._ask(self.world.control.find, action.key, answered)

    def _claim_generation(self, action, _at):
        account, request_id = action.key
        record = wire.ClaimGeneration(
            account=account, request_id=request_id, expected_generation=action.expected,
            owner=self.core.epochs.holder, operation_id=str(self.world.next_id()),
        )  # fmt: skip

        def answered(result):
            failure, number = None, 0
            if result.is_error() or result.ok.flag:
                failure = codes.Failure(codes.Code.OWNERSHIP_LOST, "another gateway claimed it")
            else:
                number = result.ok.number
            self.give(outward.GenerationClaimed(action.key, number, failure))

        self._ask(self.world.control.command, record, answered)

    def _finish_request(self, action, _at):
        account, request_id = action.key
        entry = self.world.control.log.request_by_key.get(action.key)
        record = wire.FinishRequest(
            account=account, request_id=request_id, generation=entry.generation if entry else 1
        )  # fmt: skip
        self._ask(self.world.control.command, record, lambda _result: None)

    # Callers.

    def serve_caller(self, connection, event_of):
        """Takes a caller's request; `event_of(reader)` is the event for the core."""
        reader = connection.id
        connection.pushed_at = self.world.now
        connection.on_left(lambda: self._reader_left(connection))
        self.reader_by_id[reader] = connection
        connection.whole = []
        event = event_of(reader)
        if type(event) is UnaryCall:
            Call(self, event, connection).give(calls.Begin())
            return
        connection.key = (event.account, event.request_id)
        self.give(event)

    def _reader_left(self, connection):
        if self.reader_by_id.pop(connection.id, None) is not None and hasattr(connection, "key"):
            self.give(outward.FromReader(connection.key, inner.ReaderDisconnected(connection.id)))

    def _push(self, action, *event):
        connection = self.reader_by_id.get(action.reader)
        if connection is None:
            return
        connection.pushed_at = self.world.now
        if event[0] in ("end", "error"):
            del self.reader_by_id[action.reader]
        if connection.streamed or event[0] == "error":
            connection.push(*event)
            return
        connection.whole = [event] if event[0] == "generation" else [*connection.whole, event]
        if event[0] == "end":
            for each in connection.whole:
                connection.push(*each)

    def _reader_generation(self, action, _at):
        self._push(action, "generation", action.name, action.seed)

    def _reader_tokens(self, action, _at):
        self._push(action, "tokens", action.name, action.offset, list(action.tokens))
        if action.reader in self.reader_by_id:
            end = action.offset + len(action.tokens)
            event = inner.ReaderRead(action.reader, action.generation, end)
            self.soon(0.0, self.give, outward.FromReader(action.key, event))

    def _reader_end(self, action, _at):
        self._push(action, "end", action.name, action.final_offset)

    def _reader_fail(self, action, _at):
        self._push(action, "error", action.code)

    # Engines.

    def _engine(self, address):
        return self.world.host_by_name.get(address)

    def _open_stream(self, action, decided_at):
        self._start_stream(action, 0, "submit", action.body, action.address)

    def _reattach_stream(self, action, _at):
        self._start_stream(
            action, action.link, "reattach", (action.attempt_id, action.offset), action.address
        )  # fmt: skip

    def _start_stream(self, action, link, function, payload, address):
        place = (action.key, action.attempt)
        old = self.stream_by_attempt.pop(place, None)
        if old is not None:
            old.close()
        engine = self._engine(address)
        if engine is None or engine.state == "dead" or not self.world.reaches(self, engine):
            delay = LATENCY_S if engine is None or engine.state == "dead" else 0.3
            failed = inner.StreamFailed(
                action.attempt, link, inner.FailureKind.CONNECTION_REFUSED, 0
            )
            self.soon(delay, self.give, outward.FromEngine(action.key, failed))
            return

        def arrived(kind, *values):
            if self.stream_by_attempt.get(place) is not connection:
                return
            if kind == "closed":
                del self.stream_by_attempt[place]
                event = inner.StreamFailed(action.attempt, link, inner.FailureKind.CLOSED, 0)
            elif kind == "status":
                del self.stream_by_attempt[place]
                known = {404: inner.FailureKind.UNKNOWN_ATTEMPT, 409: inner.FailureKind.NOT_RUN}
                event = inner.StreamFailed(action.attempt, link, known[values[0]], values[0])
            else:
                event = getattr(inner, kind)(action.attempt, *values)
            self.give(outward.FromEngine(action.key, event))

        connection = Connection(self.world, self, engine, arrived)
        self.stream_by_attempt[place] = connection
        delay = self.world.delay(self)
        self.world.at(
            delay, engine.deliver, engine.incarnation, getattr(engine, function), connection,
            payload,
        )  # fmt: skip

    def _cancel_stream(self, action, _at):
        old = self.stream_by_attempt.pop((action.key, action.attempt), None)
        if old is not None:
            old.close()
        engine = self._engine(action.address)
        if engine is None or engine.state == "dead":
            return

        def confirmed():
            event = inner.CancelConfirmed(action.attempt)
            self.give(outward.FromEngine(action.key, event))

        self.world.send(self, engine, engine.cancel, self, action.attempt_id, confirmed)

    def _ignore(self, action, _at):
        pass


EXECUTE_BY_ACTION = {
    outward.JournalReplies: Gateway._journal_replies,
    outward.OpenStream: Gateway._open_stream,
    outward.ReattachStream: Gateway._reattach_stream,
    outward.CancelStream: Gateway._cancel_stream,
    outward.ReaderGeneration: Gateway._reader_generation,
    outward.ReaderTokens: Gateway._reader_tokens,
    outward.ReaderEnd: Gateway._reader_end,
    outward.ReaderFail: Gateway._reader_fail,
    outward.CommitRequest: Gateway._commit_request,
    outward.FindRequest: Gateway._find_request,
    outward.ClaimGeneration: Gateway._claim_generation,
    outward.FinishRequest: Gateway._finish_request,
    outward.Count: Gateway._ignore,
    outward.Note: Gateway._ignore,
}


class Target(Host):
    """A target that announces itself to two gateways."""

    kind = ""

    def start(self):
        self.sequence = 0
        self.target_state = "ready"
        self.left_at = None
        self._contacts = [0, 1]
        self._ticket_by_gateway = {}
        self._silent = set()
        self.soon(0.0, self._announce)

    def description(self):
        """Returns the `directory.Description`."""
        raise NotImplementedError

    def leave(self):
        """Begins to leave: announced at once and until the end."""
        self.target_state = "leaving"
        self.left_at = self.world.now
        self._send_announcements()

    def _announce(self):
        self.soon(0.5, self._announce)
        self._send_announcements()

    def _send_announcements(self):
        self.sequence += 1
        gateways = self.world.gateways
        for slot, index in enumerate(self._contacts):
            if gateways[index].name in self._silent:
                others = [n for n in range(len(gateways)) if n not in self._contacts]
                if others:
                    self._contacts[slot] = others[self.sequence % len(others)]
        for index in self._contacts:
            target = gateways[index]
            ticket = self._ticket_by_gateway.get(target.name, b"")
            announcement = directory.Announcement(
                self.description(), self.sequence, self.target_state, ticket=ticket
            )
            self._silent.add(target.name)
            self.world.send(self, target, target.announce, self, announcement)

    def take_ticket(self, name, ticket):
        self._silent.discard(name)
        self._ticket_by_gateway[name] = ticket

    def note_work(self):
        """Records work that came too late after the target began to leave."""
        if self.left_at is not None and self.world.now > self.left_at + 3.0:
            self.world.violations.append(f"6: {self.name} got work 3 s after it began to leave")


class _Running:
    def __init__(self, attempt, ready_at):
        self.attempt = attempt
        self.ready_at = ready_at
        self.streams = []


class Engine(Target):
    """An engine with the behaviour of `targets.standin_engine`."""

    def start(self):
        self.running_by_id = {}
        self.wrong_prefix = False
        self.prefill_s = PREFILL_S
        self._stepping = False
        super().start()

    def description(self):
        return directory.Description(
            self.name, "engine", self.zone, self.name, self.incarnation,
            models=[(sample.MODEL, "", "1")], capacity=8,
        )  # fmt: skip

    def submit(self, connection, body):
        self.note_work()
        held = self.running_by_id.get(body["attempt_id"])
        if held is None:
            self.world.attempts.append((self.world.now, body["prompt"], body["attempt_id"]))
            body = dict(body, prefix=[] if self.wrong_prefix else list(body["prefix"]))
            attempt = standin_engine.Attempt(body, self.world.now)
            held = _Running(attempt, self.world.now + self.prefill_s)
            self.running_by_id[body["attempt_id"]] = held
        self._attach(connection, held, held.attempt.prefix_length)

    def reattach(self, connection, payload):
        attempt_id, offset = payload
        held = self.running_by_id.get(attempt_id)
        known = held is not None and held.attempt.prefix_length <= offset
        if not known or offset > len(held.attempt.tokens):
            connection.push("status", 404)
            return
        self._attach(connection, held, offset)

    def cancel(self, asker, attempt_id, confirmed):
        held = self.running_by_id.pop(attempt_id, None)
        if held is not None:
            for stream in held.streams:
                stream.reset(self)
        self.world.send(self, asker, confirmed)

    def _attach(self, connection, held, offset):
        connection.offset, connection.started = offset, False
        connection.pushed_at = self.world.now
        held.streams.append(connection)
        if not self._stepping:
            self._stepping = True
            self.soon(TOKEN_S, self._step)

    def _step(self):
        now = self.world.now
        for held in list(self.running_by_id.values()):
            held.streams = [stream for stream in held.streams if stream.open]
            attempt = held.attempt
            if now >= held.ready_at and not attempt.ended:
                attempt.started = True
                if len(attempt.tokens) < attempt.max_tokens:
                    digest = attempt.digest.hexdigest()
                    token = standin_engine.next_token(attempt.seed, attempt.prompt, digest)
                    attempt.tokens.append(token)
                    attempt.digest.add((token,))
                attempt.ended = len(attempt.tokens) >= attempt.max_tokens
            for stream in held.streams:
                self._push_new(stream, attempt, now)
        self._stepping = any(held.streams for held in self.running_by_id.values())
        if self._stepping:
            self.soon(TOKEN_S, self._step)

    def _push_new(self, stream, attempt, now):
        if attempt.started and not stream.started:
            stream.started = True
            stream.push("StreamStarted", attempt.prefix_length, attempt.prefix_digest)
        if stream.started and stream.offset < len(attempt.tokens):
            stream.push("Tokens", stream.offset, attempt.tokens[stream.offset :])
            stream.offset = len(attempt.tokens)
            stream.pushed_at = now
        elif now - stream.pushed_at >= standin_engine.HEARTBEAT_SECONDS:
            stream.push("Heartbeat")
            stream.pushed_at = now
        if stream.started and attempt.ended and not stream.silent:
            stream.push("StreamEnded", len(attempt.tokens))
            stream.reset(self)

    def silence(self):
        """All open connections go silent; new ones work."""
        for connection in self.connections.values():
            connection.silent = True


class Service(Target):
    """A plain service that records every execution."""

    def description(self):
        return directory.Description(
            self.name, "service", self.zone, self.name, self.incarnation,
            services=("stock", "dispatch"), capacity=8,
        )  # fmt: skip

    def run(self, connection, event):
        self.note_work()
        self.world.executions.append((self.world.now, event.service, event.key, self.name))
        connection.push("Outcome", 200, f"{event.key} done".encode())


class UnaryCall:
    """A caller's plain service call, as it reaches a gateway."""

    def __init__(self, account, service, key, body, repeatable, is_first_send):
        self.account = account
        self.service = service
        self.key = key
        self.body = body
        self.repeatable = repeatable
        self.is_first_send = is_first_send


class Call:
    """Executes the actions of one call's state machine at its gateway."""

    def __init__(self, host, event, caller):
        self.host = host
        self.world = host.world
        self.event = event
        self.caller = caller
        digest = hashlib.sha256(event.body).digest()
        settings = calls.CallParameters(
            event.account, event.key, digest, host.core.epochs.holder,
            str(self.world.next_id()), 5.0,
        )  # fmt: skip
        if event.repeatable:
            self.machine = calls.IdempotentCall(settings, lambda _now: True)
        else:
            self.machine = calls.UnrepeatableCall(settings)
        self._connection = None
        self._target = None

    def give(self, event):
        self.world.wakeup += 1
        actions = collections.deque(self.machine.handle(event, self.world.now))
        self.world.step(f"call:{type(self.machine).__name__}.{self.machine.state}")
        self._execute(actions)

    def _execute(self, actions):
        while actions:
            if self.host.state == "dead":
                return
            if self.host.state == "paused":
                self.host.backlog.appendleft((self._execute, (actions,)))
                return
            EXECUTE_BY_CALL_ACTION[type(actions[0])](self, actions.popleft())

    def _command(self, action, name, fields):
        record = getattr(wire, type(action).__name__)(
            **{field: getattr(action, field) for field in fields}
        )
        done = []

        def answered(result):
            done.append(True)
            self.give(calls.ControlAnswered(name, result))

        def lost():
            if not done:
                self.give(calls.ControlAnswerLost(name))

        control = self.world.control
        self.world.send(self.host, control, control.command, self.host, record, answered)
        self.host.soon(0.4, lost)

    def _open(self, action):
        self._command(action, "open", action.__slots__)

    def _release(self, action):
        self._command(action, "release", action.__slots__)

    def _finish(self, action):
        self._command(action, "finish", action.__slots__)

    def _connect(self, action):
        entry = self.host.core.choose_service_target(
            self.event.service, action.exclude, self.world.now
        )
        if entry is None:
            self.host.soon(0.0, self.give, calls.NotSent(action.attempt, None))
            return
        target = self._target = self.world.host_by_name[entry.description.id]
        if target.state == "dead" or not self.world.reaches(self.host, target):
            self.host.soon(0.3, self.give, calls.NotSent(action.attempt, target.name))
            return

        def arrived(kind, *values):
            if kind == "closed":
                self.give(calls.OutcomeLost(action.attempt, target.name))
            else:
                connection.close()
                self.give(calls.Outcome(action.attempt, *values))

        connection = self._connection = Connection(self.world, self.host, target, arrived)
        self.host.soon(2 * LATENCY_S, self.give, calls.Connected(action.attempt, target.name))

    def _write(self, action):
        if self.world.now >= action.deadline:
            self.give(calls.NotSent(action.attempt, action.target))
            return
        connection, target = self._connection, self._target
        if self.world.reaches(self.host, target):
            self.world.at(
                self.world.delay(self.host), target.deliver, connection.incarnations[target.name],
                target.run, connection, self.event,
            )  # fmt: skip
        self.host.soon(1.5, self._silent, connection, action)

    def _silent(self, connection, action):
        if connection.open:
            connection.close()
            self.give(calls.OutcomeLost(action.attempt, action.target))

    def _close(self, action):
        if self._connection is not None:
            self._connection.close()

    def _timer(self, action):
        self.host.soon(max(0.0, action.at - self.world.now), self.give, calls.TimerFired())

    def _respond(self, action):
        if self.host.reader_by_id.pop(self.caller.id, None) is not None:
            event = self.event
            covers_all = calls.covers_all_submissions(
                event.is_first_send, event.key, event.repeatable
            )
            run = codes.to_json(action.code, "", covers_all)["run"]
            self.caller.push("response", action.code, action.body, run)


EXECUTE_BY_CALL_ACTION = {
    calls.OpenIntent: Call._open,
    calls.ReleaseIntent: Call._release,
    calls.FinishIntent: Call._finish,
    calls.Connect: Call._connect,
    calls.WriteRequest: Call._write,
    calls.CloseAttempt: Call._close,
    calls.SetTimer: Call._timer,
    calls.Respond: Call._respond,
}


class Caller(Host):
    """A caller that reconnects with request id and last event id as `callers.client` does.

    Attributes:
        events: Everything it received, as (time, connection number, event), for the oracle.
        tokens, name, seed, complete: The response so far.
        codes: Result codes received, as (time, code).
        fate_unknown_at: Times of the responses that say that the call may have run.
    """

    def __init__(self, world, service, prompt, max_tokens=24, streamed=True, chosen=False):
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
        self.fate_unknown_at = []
        self.asked = []
        self.tokens, self.name_of_answer, self.seed = [], "", None
        self.complete = self.finished = self.cancelled = False
        self.response = None
        self.reconnects = 0
        self.connection = None
        self.gateway = None
        self.next_gateway = None
        self._failed_at = {}
        self._posted = False
        self._chosen = chosen
        self._heard_at = world.now

    def connect(self):
        if self.finished:
            return
        target = self.next_gateway or self._choose()
        self.next_gateway = None
        self.gateway = target
        self.asked.append(self.world.now)
        if target.state == "dead" or not self.world.reaches(self, target):
            delay = LATENCY_S if target.state == "dead" else 0.3
            self._failed_at[target.name] = self.world.now
            self.reconnects += 1
            self.soon(delay + 0.05, self.connect)
            return
        self.connection = Connection(self.world, self, target, self._arrived)
        self.connection.streamed = self.streamed
        self._heard_at = self.world.now
        self._attached = False
        arguments = (self.connection, self._event)
        self.world.at(
            LATENCY_S, target.deliver, target.incarnation, target.serve_caller, *arguments
        )  # fmt: skip
        self._watch(self.connection, 3.1)

    def _choose(self):
        usable = [
            each
            for each in self.world.gateways
            if self.world.now - self._failed_at.get(each.name, -100.0) > 5.0
            and each.core.directory.own.state == "ready"
        ]
        return self.world.rng.choice(usable or self.world.gateways)

    def _event(self, reader):
        if self.service in ("stock", "dispatch"):
            repeatable = self.service == "stock"
            key = self.request_id
            is_first = len(self.asked) == 1
            body = self.prompt.encode()
            return UnaryCall(self.account, self.service, key, body, repeatable, is_first)
        if self.cancelled:
            return outward.Cancel(reader, self.account, self.request_id)
        if self._posted:
            number, _, answer = self.name_of_answer.partition(".")
            position = (answer, int(number), len(self.tokens)) if number else ("", None, 0)
            return outward.Attach(
                reader, self.account, self.request_id, *position, self.streamed
            )  # fmt: skip
        first = not self.reconnects and not self.codes and not self._chosen
        return outward.Submit(
            reader, self.account, self.request_id, first, self.service, self.prompt,
            self.max_tokens, self.streamed,
        )  # fmt: skip

    def _watch(self, connection, limit):
        self.soon(0.1, self._check_silence, connection, limit)

    def _check_silence(self, connection, limit):
        if connection is not self.connection or self.finished:
            return
        if self._attached:
            limit = 0.8
        if self.world.now - self._heard_at > limit:
            self._lost(posted=self._attached)
            return
        self._watch(connection, limit)

    def _lost(self, posted=True, pause=0.05):
        """Gives up the connection and opens another one."""
        self._posted = self._posted or posted
        self._failed_at[self.gateway.name] = self.world.now
        self.drop(pause)

    def drop(self, pause=0.05):
        """Closes the connection and reconnects after a pause."""
        connection, self.connection = self.connection, None
        if connection is not None:
            self._posted = self._posted or self._attached
            connection.close()
        self.reconnects += 1
        self.soon(pause, self.connect)

    def cancel(self):
        """Cancels the request at any gateway."""
        self.cancelled = True
        if self.connection is not None:
            self.connection.close()
        self.connect()

    def _arrived(self, kind, *values):
        self._heard_at = self.world.now
        self.events.append((self.world.now, self.connection and self.connection.id, kind, values))
        if kind == "heartbeat":
            self._attached = True
        elif kind == "closed":
            self._lost(posted=self._attached)
        elif kind == "generation":
            self._attached = True
            if values[0] != self.name_of_answer:
                self.name_of_answer, self.seed = values
                self.tokens = []
        elif kind == "tokens":
            if values[0] == self.name_of_answer and values[1] == len(self.tokens):
                self.tokens.extend(values[2])
        elif kind == "end":
            self.complete = values[1] == len(self.tokens)
            self._finish()
        elif kind == "response":
            self._responded(*values)
        else:
            self._refused(values[0])

    def _finish(self):
        self.finished = True
        self.connection.close()

    def _responded(self, code, body, run):
        self.codes.append((self.world.now, code))
        if run == codes.RunStatus.UNKNOWN.value:
            self.fate_unknown_at.append(self.world.now)
        if code is codes.Code.OK:
            self.response = body
            self.complete = True
            self._finish()
            return
        self._retry(code)

    def _refused(self, code):
        self.codes.append((self.world.now, code))
        if code is codes.Code.JOURNAL_STALE:
            self._check_copies()
        if code is codes.Code.OK and self.cancelled:
            self._finish()
        elif self._attached:
            # An error inside a stream; the answer to the next connection tells whether to go on.
            self._lost(pause=0.0)
        else:
            self._retry(code)

    def _check_copies(self):
        """A stale owner may refuse, but two of three copies must hold what was delivered."""
        held = [
            each.core.store.journal_by_key.get((self.account, self.request_id))
            for each in self.world.gateways
        ]
        enough = [each for each in held if each and len(each.tokens) >= len(self.tokens)]
        if len(enough) < 2 and len({name for _, name in self.world.killed}) < 2:
            self.world.violations.append("1: a token was delivered before a majority had it")

    def _retry(self, code):
        retry = codes.MEANING_BY_CODE[code].retry
        if code is codes.Code.REQUEST_UNKNOWN and not self.tokens and not self.cancelled:
            self._posted = False
        elif retry is codes.RetryAdvice.NO:
            self._finish()
            return
        if retry is codes.RetryAdvice.OTHER_ADDRESS:
            self._failed_at[self.gateway.name] = self.world.now
        connection, self.connection = self.connection, None
        connection.close()
        self.soon(0.25, self.connect)
