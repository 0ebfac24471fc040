"""The replicated control state: a deterministic machine over the committed commands of the log.

Every replica applies the same commands at the same log positions and reaches the same state, which
`digest` shows. The state reads no clock: time comes from the leader's timestamp in each command and
never goes back.
"""

import hashlib
import struct

import expression

from chiveswitch.core import bundles, codes
from chiveswitch.peers import strict

control_thrift = strict.load("control.thrift")

FORMAT = 1
SNAPSHOT_FORMAT = 2
HEADER = struct.Struct(">BBq")

PENDING, UNCERTAIN, FINISHED, RELEASED = range(4)

# A single leader with a clock far ahead must not expire every record with one command.
MAX_TIME_STEP_MS = 300_000

MAX_NAME_BYTES = 256
MAX_RELEASED_OPERATIONS = 8


class Limits:
    """Bounds of the state; equal on all replicas, since they decide what a command does.

    Attributes:
        bundles: Bundles kept besides the one in force.
        operations: Operation ids kept with their first answer.
        operation_ms: Milliseconds that an operation id is kept.
        intents: Intents kept; further ones are refused, because dropping one permits a second run.
        finished_ms: Milliseconds that a finished or released intent and a finished request is kept.
        uncertain_ms: Age in milliseconds from which a pending intent is reported as uncertain.
        outcome_bytes: Largest recorded body of an outcome.
        requests: Durable requests kept; further ones are refused.
        request_bytes: Largest body of a durable request.
        fences: Targets with a recorded fence.
        audit: Entries of the audit trail.
    """

    __slots__ = (
        "bundles",
        "operations",
        "operation_ms",
        "intents",
        "finished_ms",
        "uncertain_ms",
        "outcome_bytes",
        "requests",
        "request_bytes",
        "fences",
        "audit",
    )

    def __init__(self, **changes):
        self.bundles = 8
        self.operations = 20_000
        self.operation_ms = 86_400_000
        self.intents = 200_000
        self.finished_ms = 3_600_000
        self.uncertain_ms = 120_000
        self.outcome_bytes = 4_096
        self.requests = 2_000
        self.request_bytes = 32_768
        self.fences = 10_000
        self.audit = 1_000
        for name, value in changes.items():
            setattr(self, name, value)

    def text(self) -> str:
        """Returns the limits as text, so that snapshots of other limits are told apart."""
        return " ".join(f"{name}={getattr(self, name)}" for name in self.__slots__)


class Command:
    """A registered kind of command.

    Attributes:
        number: Number of the kind in the encoding.
        struct_class: Thrift struct with its fields.
        handler: Function (state, command) that changes the state and returns an Answer.
    """

    __slots__ = ("number", "struct_class", "handler")

    def __init__(self, number: int, struct_class: type, handler):
        self.number = number
        self.struct_class = struct_class
        self.handler = handler


COMMAND_BY_NUMBER = {}
NUMBER_BY_STRUCT = {}


def command(number: int, struct_class: type):
    """Registers the handler of a kind of command under a number that never changes its meaning."""

    def register(handler):
        COMMAND_BY_NUMBER[number] = Command(number, struct_class, handler)
        NUMBER_BY_STRUCT[struct_class] = number
        return handler

    return register


def encode_command(record, time_ms: int) -> bytes:
    """Encodes a command for the log.

    Args:
        record: A command struct of `control_thrift`.
        time_ms: The leader's wall clock in milliseconds.
    """
    return HEADER.pack(FORMAT, NUMBER_BY_STRUCT[type(record)], time_ms) + strict.encode(record)


def decode_command(data: bytes) -> expression.Result:
    """Returns Ok with (struct, time in milliseconds), FRAME_INVALID or VERSION_UNSUPPORTED."""
    if len(data) < HEADER.size:
        return codes.failure(codes.Code.FRAME_INVALID, "command is shorter than its header")
    version, number, time_ms = HEADER.unpack_from(data)
    if version != FORMAT or number not in COMMAND_BY_NUMBER:
        message = f"command format {version} kind {number} is not supported"
        return codes.failure(codes.Code.VERSION_UNSUPPORTED, message)
    kind = COMMAND_BY_NUMBER[number]
    return strict.decode(kind.struct_class, data[HEADER.size :]).map(
        lambda record: (record, time_ms)
    )


def answer(
    kind: str, number=0, digest=b"", status=0, body=b"", owner="", term=0, flag=False, message=""
):
    """Returns the Answer of a command that was accepted; see `ControlState.apply`."""
    return control_thrift.Answer(
        code=int(codes.Code.OK),
        message=message,
        kind=kind,
        number=number,
        digest=digest,
        status=status,
        body=body,
        owner=owner,
        term=term,
        flag=flag,
    )


def refusal(code: codes.Code, message: str):
    """Returns the Answer of a command that changed nothing."""
    refused = answer("refused", message=message)
    refused.code = int(code)
    return refused


def to_result(record) -> expression.Result:
    """Turns an Answer into Ok with the Answer or Error with a `codes.Failure`."""
    if record.code == codes.Code.OK:
        return expression.Ok(record)
    return codes.failure(codes.Code(record.code), record.message)


def encode_result(result: expression.Result) -> bytes:
    """Encodes a result of `apply` for a link between processes."""
    if result.is_ok():
        return strict.encode(result.ok)
    return strict.encode(refusal(result.error.code, result.error.message))


def decode_result(data: bytes) -> expression.Result:
    """Returns the result that `encode_result` encoded, or FRAME_INVALID."""
    decoded = strict.decode(control_thrift.Answer, data)
    if decoded.is_error():
        return decoded
    if decoded.ok.code not in set(codes.Code):
        return codes.failure(codes.Code.FRAME_INVALID, "answer has an unknown code")
    return to_result(decoded.ok)


class ControlState:
    """The state of one replica.

    Attributes:
        limits: The `Limits`.
        index: Log index of the last applied command.
        term: Log term of the last applied command.
        time_ms: Latest timestamp of a command, in milliseconds.
        operators: OperatorKey by name: from the bundle in force, before that from bootstrap.
        bundles: BundleEntry by version.
        latest_version: Highest written version.
        rolled_version: Version in force, 0 for none.
        serial: Roll serial, 0 before the first roll.
        operations: OperationEntry by (actor, operation id), oldest first.
        intents: IntentEntry by (account, key).
        closed_intents: Keys of finished and released intents, oldest first.
        requests: RequestEntry by (account, request id).
        closed_requests: Keys of finished requests, oldest first.
        fences: FenceEntry by target, oldest first.
        audit: AuditEntry list, oldest first.
        published: PublishedEntry of the route bundle in force, or None.
    """

    __slots__ = (
        "limits",
        "index",
        "term",
        "time_ms",
        "operators",
        "bundles",
        "latest_version",
        "rolled_version",
        "serial",
        "operations",
        "intents",
        "closed_intents",
        "requests",
        "closed_requests",
        "fences",
        "audit",
        "published",
    )

    def __init__(self, limits: Limits):
        self.limits = limits
        self.index = self.term = self.time_ms = 0
        self.operators = {}
        self.bundles = {}
        self.latest_version = self.rolled_version = self.serial = 0
        self.operations = {}
        self.intents = {}
        self.closed_intents = {}
        self.requests = {}
        self.closed_requests = {}
        self.fences = {}
        self.audit = []
        self.published = None

    def apply(self, index: int, term: int, data: bytes) -> expression.Result:
        """Applies one committed command.

        Args:
            index: Log index; each is applied once, in rising order.
            term: Log term of the entry.
            data: The command from `encode_command`.

        Returns:
            Ok with an Answer whose `kind` says what happened, or Error with a `codes.Failure`. A
            command that cannot be decoded is refused alike on every replica.
        """
        if index <= self.index:
            message = f"index {index} is already applied"
            return codes.failure(codes.Code.STALE_SERIAL, message)
        self.index = index
        self.term = term
        decoded = decode_command(data)
        if decoded.is_error():
            return decoded
        record, time_ms = decoded.ok
        step = time_ms - self.time_ms
        # The first command sets the time; later ones move it forward by a bounded step.
        if step > 0:
            self.time_ms += step if self.time_ms == 0 else min(step, MAX_TIME_STEP_MS)
        self.expire()
        for spec in record.thrift_spec.values():
            value = getattr(record, spec[1])
            if isinstance(value, str) and len(value.encode()) > MAX_NAME_BYTES:
                message = f"{spec[1]} is longer than {MAX_NAME_BYTES} bytes"
                return codes.failure(codes.Code.BAD_REQUEST, message)
        handler = COMMAND_BY_NUMBER[NUMBER_BY_STRUCT[type(record)]].handler
        return to_result(handler(self, record))

    def expire(self) -> None:
        """Drops closed records past their retention; open ones stay however old they are."""
        closed = ((self.closed_intents, self.intents), (self.closed_requests, self.requests))
        for order, records in closed:
            while order:
                key = next(iter(order))
                if records[key].time_ms + self.limits.finished_ms > self.time_ms:
                    break
                del order[key]
                del records[key]
        while self.operations:
            key = next(iter(self.operations))
            kept = self.operations[key].time_ms + self.limits.operation_ms > self.time_ms
            if kept and len(self.operations) <= self.limits.operations:
                break
            del self.operations[key]

    def note(self, actor: str, action: str, version: int, digest: bytes) -> None:
        """Adds an entry to the audit trail."""
        entry = control_thrift.AuditEntry(
            index=self.index,
            time_ms=self.time_ms,
            actor=actor,
            action=action,
            version=version,
            digest=digest,
            serial=self.serial,
        )
        self.audit.append(entry)
        del self.audit[: -self.limits.audit]

    def bundle_in_force(self):
        """Returns the BundleEntry in force, or None before the first roll."""
        return self.bundles.get(self.rolled_version)

    def unfinished_requests(self, owner: str) -> list:
        """Returns the RequestEntry list of the unfinished durable requests of an owner."""
        return [
            record
            for record in self.requests.values()
            if record.owner == owner and not record.finished
        ]

    def snapshot(self) -> bytes:
        """Returns the whole state as bytes; equal states give equal bytes."""
        # Closed records follow in the order of their closing, which a decoder needs for expiry.
        open_intents = [
            self.intents[key] for key in sorted(self.intents) if key not in self.closed_intents
        ]
        open_requests = [
            self.requests[key] for key in sorted(self.requests) if key not in self.closed_requests
        ]
        closed_intents = [self.intents[key] for key in self.closed_intents]
        closed_requests = [self.requests[key] for key in self.closed_requests]
        record = control_thrift.Snapshot(
            format=SNAPSHOT_FORMAT,
            index=self.index,
            term=self.term,
            time_ms=self.time_ms,
            operators=[self.operators[name] for name in sorted(self.operators)],
            bundles=[self.bundles[version] for version in sorted(self.bundles)],
            latest_version=self.latest_version,
            rolled_version=self.rolled_version,
            serial=self.serial,
            operations=list(self.operations.values()),
            intents=open_intents + closed_intents,
            requests=open_requests + closed_requests,
            fences=list(self.fences.values()),
            audit=list(self.audit),
            limits=self.limits.text(),
            published=[] if self.published is None else [self.published],
        )
        return strict.encode(record)

    def digest(self) -> bytes:
        """Returns the sha256 digest of the state, for comparing replicas at the same index."""
        return hashlib.sha256(self.snapshot()).digest()


def restore(data: bytes, limits: Limits) -> expression.Result:
    """Returns Ok with the `ControlState` of a snapshot, or a failure.

    Args:
        data: Bytes from `ControlState.snapshot`.
        limits: This replica's limits, which must be those of the snapshot.
    """
    decoded = strict.decode(control_thrift.Snapshot, data)
    if decoded.is_error():
        return decoded
    record = decoded.ok
    if record.format != SNAPSHOT_FORMAT:
        message = f"snapshot format {record.format} is not supported"
        return codes.failure(codes.Code.VERSION_UNSUPPORTED, message)
    if record.limits != limits.text():
        return codes.failure(codes.Code.SETTING_INVALID, "snapshot was taken with other limits")
    state = ControlState(limits)
    for name in ("index", "term", "time_ms", "latest_version", "rolled_version", "serial"):
        setattr(state, name, getattr(record, name))
    state.operators = {entry.name: entry for entry in record.operators}
    state.bundles = {entry.version: entry for entry in record.bundles}
    state.operations = {(entry.actor, entry.operation_id): entry for entry in record.operations}
    state.fences = {entry.target: entry for entry in record.fences}
    state.audit = record.audit
    state.published = record.published[0] if record.published else None
    for entry in record.intents:
        state.intents[entry.account, entry.key] = entry
        if entry.state in (FINISHED, RELEASED):
            state.closed_intents[entry.account, entry.key] = None
    for entry in record.requests:
        state.requests[entry.account, entry.request_id] = entry
        if entry.finished:
            state.closed_requests[entry.account, entry.request_id] = None
    return expression.Ok(state)


def once(handler):
    """Gives a resend of an operation its first answer and refuses other content under its id.

    Refusals are not recorded: they changed nothing, so a resend is judged anew.
    """

    def handle(state, record):
        key = (record.actor, record.operation_id)
        kind = NUMBER_BY_STRUCT[type(record)]
        digest = hashlib.sha256(bytes([kind]) + strict.encode(record)).digest()
        known = state.operations.get(key)
        if known is not None:
            if known.command_digest != digest:
                message = f"operation {record.operation_id} was used for another command"
                return refusal(codes.Code.OPERATION_REUSED, message)
            return strict.decode(control_thrift.Answer, known.answer).ok
        response = handler(state, record)
        if response.code == codes.Code.OK:
            state.operations[key] = control_thrift.OperationEntry(
                actor=record.actor,
                operation_id=record.operation_id,
                command_digest=digest,
                answer=strict.encode(response),
                time_ms=state.time_ms,
            )
        return response

    return handle


def permitted(state: ControlState, actor: str, roles: tuple):
    """Returns the OperatorKey of an actor with one of the roles, or None."""
    operator = state.operators.get(actor)
    return operator if operator is not None and operator.role in roles else None


def not_permitted(actor: str, action: str):
    """Returns the refusal of an actor without the role for an action."""
    return refusal(codes.Code.NOT_PERMITTED, f"{actor} may not {action} bundles")


@command(1, control_thrift.Bootstrap)
def bootstrap(state: ControlState, record):
    """Sets the first operators, only while the state has none and no bundle."""
    if state.operators or state.latest_version:
        return refusal(codes.Code.NOT_PERMITTED, "the state already has operators")
    problems = []
    pairs = []
    for index, operator in enumerate(record.operators):
        values = {name: getattr(operator, name) for name in bundles.Operator.__slots__}
        for name, check, _ in bundles.FIELDS_BY_TYPE[bundles.Operator]:
            bundles.check_field(values, name, check, f"operators[{index}].", problems)
        pairs.append((index, bundles.Operator(**values)))
    for field in ("name", "public_key", "key_digest"):
        bundles.check_unique(pairs, "operators", field, problems)
    bundles.check_operators(pairs, problems)
    if problems:
        return refusal(codes.Code.BUNDLE_INVALID, "; ".join(map(repr, problems)))
    state.operators = {operator.name: operator for operator in record.operators}
    state.note("", "bootstrap", 0, b"")
    return answer("bootstrapped")


@command(2, control_thrift.WriteBundle)
@once
def write_bundle(state: ControlState, record):
    """Writes the next version; an equal version with other content names the winner."""
    writer = permitted(state, record.actor, bundles.WRITING_ROLES)
    if writer is None:
        return not_permitted(record.actor, "write")
    parsed = bundles.parse(record.content)
    if parsed.is_error():
        return refusal(codes.Code.BUNDLE_INVALID, "; ".join(map(repr, parsed.error)))
    content = bundles.canonical(parsed.ok)
    # The canonical form spells out defaults; what cannot be parsed again must not be stored.
    if len(content) > bundles.MAX_BYTES:
        message = f"the canonical form has {len(content)} bytes, more than {bundles.MAX_BYTES}"
        return refusal(codes.Code.BUNDLE_INVALID, message)
    version = parsed.ok.version
    digest = bundles.content_digest(parsed.ok)
    winner = state.bundles.get(version)
    if winner is not None and winner.digest == digest:
        return answer("written", number=version, digest=digest, owner=winner.writer)
    if version != state.latest_version + 1:
        latest = state.bundles.get(state.latest_version)
        message = f"version {version} does not follow the latest version {state.latest_version}"
        if winner is not None:
            message = (
                f"version {version} was written by {winner.writer}"
                f" with digest {winner.digest.hex()}"
            )
        elif latest is not None:
            message += f", written by {latest.writer} with digest {latest.digest.hex()}"
        return refusal(codes.Code.VERSION_CONFLICT, message)
    state.bundles[version] = control_thrift.BundleEntry(
        version=version,
        content=content,
        digest=digest,
        writer=record.actor,
        writer_key=writer.public_key,
        approver="",
        approver_key="",
    )
    state.latest_version = version
    for old in sorted(state.bundles)[: -state.limits.bundles]:
        if old != state.rolled_version:
            del state.bundles[old]
    state.note(record.actor, "write", version, digest)
    return answer("written", number=version, digest=digest, owner=record.actor)


def find_bundle(state: ControlState, record):
    """Returns (BundleEntry, None), or (None, refusal) when version and digest name no bundle."""
    entry = state.bundles.get(record.version)
    if entry is None:
        message = f"bundle version {record.version} is not there"
        return None, refusal(codes.Code.BUNDLE_UNKNOWN, message)
    if entry.digest != record.digest:
        message = (
            f"version {record.version} was written by {entry.writer}"
            f" with digest {entry.digest.hex()}"
        )
        return None, refusal(codes.Code.VERSION_CONFLICT, message)
    return entry, None


@command(3, control_thrift.ApproveBundle)
@once
def approve_bundle(state: ControlState, record):
    """Records an approval by another person than the writer, proven by a signature."""
    approver = permitted(state, record.actor, bundles.APPROVING_ROLES)
    if approver is None:
        return not_permitted(record.actor, "approve")
    entry, refused = find_bundle(state, record)
    if entry is None:
        return refused
    # The key is compared too, because a later bundle may give the writer another name.
    if entry.writer == record.actor or entry.writer_key == approver.public_key:
        message = f"{record.actor} wrote version {record.version}"
        return refusal(codes.Code.APPROVER_IS_WRITER, message)
    if not bundles.verify_signature(approver.public_key, entry.digest, record.signature):
        return refusal(codes.Code.BAD_SIGNATURE, f"signature is not by the key of {record.actor}")
    entry.approver = record.actor
    entry.approver_key = approver.public_key
    state.note(record.actor, "approve", record.version, entry.digest)
    return answer("approved", number=record.version, digest=entry.digest, owner=record.actor)


@command(4, control_thrift.RollBundle)
@once
def roll_bundle(state: ControlState, record):
    """Puts an approved version above the one in force into force under the next serial."""
    if permitted(state, record.actor, bundles.ROLLING_ROLES) is None:
        return not_permitted(record.actor, "roll")
    entry, refused = find_bundle(state, record)
    if entry is None:
        return refused
    # An approval lapses with the approver's role, which another roll may have taken away.
    approver = permitted(state, entry.approver, bundles.APPROVING_ROLES)
    if approver is None or approver.public_key != entry.approver_key:
        message = f"version {record.version} has no approval by a present approver"
        return refusal(codes.Code.NOT_APPROVED, message)
    if record.version <= state.rolled_version:
        message = f"version {state.rolled_version} is already in force, serial {state.serial}"
        return refusal(codes.Code.STALE_SERIAL, message)
    state.serial += 1
    state.rolled_version = record.version
    state.operators = {
        operator.name: control_thrift.OperatorKey(**bundles.to_json_object(operator))
        for operator in bundles.parse(entry.content).ok.operators
    }
    state.note(record.actor, "roll", record.version, entry.digest)
    return answer("rolled", number=state.serial, digest=entry.digest)


def describe(state: ControlState, intent):
    """Returns the Answer that says how an intent stands for somebody without its permit."""
    if intent.state == FINISHED:
        return answer(
            "recorded",
            number=intent.grant,
            status=intent.status,
            body=intent.body,
            owner=intent.gateway,
            flag=intent.body_dropped,
        )
    if intent.state == RELEASED:
        return answer("released", number=intent.grant)
    uncertain = intent.state == UNCERTAIN
    if state.time_ms - intent.time_ms >= state.limits.uncertain_ms:
        uncertain = True
    return answer("pending", number=intent.grant, owner=intent.gateway, flag=uncertain)


def holds(intent, gateway: str, operation_id: str) -> bool:
    """Returns whether an open permit belongs to an operation of a gateway."""
    same = (intent.gateway, intent.operation_id) == (gateway, operation_id)
    return same and intent.state == PENDING


@command(5, control_thrift.OpenIntent)
def open_intent(state: ControlState, record):
    """Grants one send, at most one at a time and never after an outcome.

    A resend by the holder gets the same grant. An operation id that was released is never granted,
    so that a late copy of the question leaves no permit that nobody knows of.
    """
    key = (record.account, record.key)
    intent = state.intents.get(key)
    if intent is None and len(state.intents) >= state.limits.intents:
        return refusal(codes.Code.QUEUE_FULL, "the limit of recorded intents is reached")
    if intent is not None:
        if intent.body_digest not in (record.body_digest, b""):
            return refusal(codes.Code.KEY_REUSED, "the key was used with another body")
        mark = f"{record.gateway} {record.operation_id}"
        if mark in intent.released:
            return describe(state, intent)
        if holds(intent, record.gateway, record.operation_id):
            return answer("granted", number=intent.grant, owner=intent.gateway)
        if intent.state != RELEASED:
            return describe(state, intent)
    # The log index as grant number rises even after the record of an earlier grant expired.
    state.intents[key] = control_thrift.IntentEntry(
        account=record.account,
        key=record.key,
        body_digest=record.body_digest,
        state=PENDING,
        grant=state.index,
        gateway=record.gateway,
        operation_id=record.operation_id,
        status=0,
        body=b"",
        body_dropped=False,
        time_ms=state.time_ms,
        released=intent.released if intent is not None else [],
    )
    state.closed_intents.pop(key, None)
    return answer("granted", number=state.index, owner=record.gateway)


@command(6, control_thrift.FinishIntent)
def finish_intent(state: ControlState, record):
    """Records the outcome of a send, by the holder of the permit only; the first one stays."""
    key = (record.account, record.key)
    intent = state.intents.get(key)
    if intent is None:
        return refusal(codes.Code.REQUEST_UNKNOWN, "there is no such intent")
    if (intent.gateway, intent.grant) != (record.gateway, record.grant):
        return refusal(codes.Code.FENCED, f"grant {record.grant} is not held by {record.gateway}")
    if intent.state in (FINISHED, RELEASED):
        return describe(state, intent)
    if not record.known:
        intent.state = UNCERTAIN
        return describe(state, intent)
    intent.state = FINISHED
    intent.status = record.status
    # A large body is dropped instead of refused: the fact that the call ran must be recorded.
    intent.body_dropped = len(record.body) > state.limits.outcome_bytes
    intent.body = b"" if intent.body_dropped else record.body
    intent.time_ms = state.time_ms
    state.closed_intents[key] = None
    return describe(state, intent)


@command(7, control_thrift.ReleaseIntent)
def release_intent(state: ControlState, record):
    """Gives back a permit that was provably not used, and bars its operation id from a grant.

    The answer `released` says that no permit exists for the key; otherwise it says how the permit
    of somebody else stands.
    """
    key = (record.account, record.key)
    intent = state.intents.get(key)
    if intent is None:
        if len(state.intents) >= state.limits.intents:
            return refusal(codes.Code.QUEUE_FULL, "the limit of recorded intents is reached")
        # Bars the operation id, because its question may still be under way.
        intent = state.intents[key] = control_thrift.IntentEntry(
            account=record.account,
            key=record.key,
            body_digest=b"",
            state=RELEASED,
            grant=0,
            gateway="",
            operation_id="",
            status=0,
            body=b"",
            body_dropped=False,
            time_ms=state.time_ms,
            released=[],
        )
        state.closed_intents[key] = None
    if holds(intent, record.gateway, record.operation_id):
        intent.state = RELEASED
        intent.time_ms = state.time_ms
        state.closed_intents[key] = None
    # A permit that may have been used keeps its operation id.
    if (intent.gateway, intent.operation_id) != (record.gateway, record.operation_id) or (
        intent.state == RELEASED
    ):
        mark = f"{record.gateway} {record.operation_id}"
        if mark not in intent.released:
            intent.released = [*intent.released, mark][-MAX_RELEASED_OPERATIONS:]
    # The outcome of another body is never shown as that of this one.
    if intent.body_digest not in (record.body_digest, b""):
        return refusal(codes.Code.KEY_REUSED, "the key was used with another body")
    return describe(state, intent)


@command(8, control_thrift.AcceptRequest)
def accept_request(state: ControlState, record):
    """Accepts a durable request once; a resend learns its present owner and generation."""
    key = (record.account, record.request_id)
    digest = hashlib.sha256(record.body).digest()
    known = state.requests.get(key)
    if known is None:
        if len(record.body) > state.limits.request_bytes:
            return refusal(codes.Code.BODY_TOO_LARGE, "the body of a durable request is too large")
        if len(state.requests) >= state.limits.requests:
            return refusal(codes.Code.QUEUE_FULL, "the limit of durable requests is reached")
        known = state.requests[key] = control_thrift.RequestEntry(
            account=record.account,
            request_id=record.request_id,
            body=record.body,
            body_digest=digest,
            owner=record.owner,
            generation=1,
            operation_id="",
            finished=False,
            time_ms=state.time_ms,
        )
    if known.body_digest != digest:
        return refusal(codes.Code.KEY_REUSED, "the request id was used with another body")
    return answer("accepted", number=known.generation, owner=known.owner, flag=known.finished)


@command(9, control_thrift.ClaimGeneration)
def claim_generation(state: ControlState, record):
    """Gives an unfinished request a new owner under the next generation number."""
    known = state.requests.get((record.account, record.request_id))
    if known is None:
        return refusal(codes.Code.REQUEST_UNKNOWN, "there is no such request")
    if known.finished:
        return answer("finished", number=known.generation, owner=known.owner, flag=True)
    resent = (known.operation_id, known.owner, known.generation) == (
        record.operation_id,
        record.owner,
        record.expected_generation + 1,
    )
    if not resent:
        if known.generation != record.expected_generation:
            message = f"generation {known.generation} is owned by {known.owner}"
            return refusal(codes.Code.OWNERSHIP_LOST, message)
        known.generation += 1
        known.owner = record.owner
        known.operation_id = record.operation_id
    return answer("claimed", number=known.generation, owner=known.owner)


@command(10, control_thrift.FinishRequest)
def finish_request(state: ControlState, record):
    """Marks a request as finished, for its present generation only."""
    key = (record.account, record.request_id)
    known = state.requests.get(key)
    if known is None:
        return refusal(codes.Code.REQUEST_UNKNOWN, "there is no such request")
    if known.generation != record.generation:
        message = f"generation {known.generation} is owned by {known.owner}"
        return refusal(codes.Code.OWNERSHIP_LOST, message)
    if not known.finished:
        known.finished = True
        known.body = b""
        known.time_ms = state.time_ms
        state.closed_requests[key] = None
    return answer("finished", number=known.generation, owner=known.owner, flag=True)


@command(11, control_thrift.NextFence)
def next_fence(state: ControlState, record):
    """Returns a fence (term, index) for orders to a target, above all earlier ones."""
    state.fences.pop(record.target, None)
    state.fences[record.target] = control_thrift.FenceEntry(
        target=record.target, term=state.term, number=state.index
    )
    if len(state.fences) > state.limits.fences:
        del state.fences[next(iter(state.fences))]
    return answer("fence", number=state.index, term=state.term, owner=record.target)
