"""The replicated control state: a deterministic state machine over the committed log commands.

Every replica applies the same commands at the same log indexes and so reaches the same state, whose
digests can be compared. The state reads no clock: its time is the leader's timestamp in each
command and never decreases.
"""

import hashlib
import struct

import expression

from chiveswitch.core import bundles, codes
from chiveswitch.peers import strict

control_thrift = strict.load("control.thrift")

COMMAND_FORMAT = 1
SNAPSHOT_FORMAT = 2
COMMAND_HEADER = struct.Struct(">BBq")

# States of an intent, as stored in `IntentEntry.state`.
PENDING, UNCERTAIN, FINISHED, RELEASED = range(4)

# One command moves the time forward by at most this step, so that a leader whose clock is far ahead
# cannot expire all records at once.
MAX_TIME_STEP_MS = 300_000

# Limit of each text field of a command, in bytes of UTF-8.
MAX_NAME_BYTES = 256
# Number of released operation ids that an intent keeps; the oldest ones are dropped.
MAX_RELEASED_OPERATIONS = 8


class Limits:
    """Bounds of the state; equal on all replicas, because the result of a command depends on them.

    A snapshot holds the names and values of its limits, see `text`.

    Attributes:
        bundles: Number of bundles kept besides the one in force.
        operations: Number of operation ids kept with their first answer.
        operation_ms: Retention of an operation id, in milliseconds.
        intents: Number of intents kept. Further ones are refused: if one were dropped instead, its
            call could run a second time.
        finished_ms: Retention of a finished or released intent and of a finished request, in
            milliseconds.
        uncertain_ms: Age in milliseconds from which a pending intent is reported as uncertain.
        outcome_bytes: Largest body of an outcome that is recorded.
        requests: Number of durable requests kept; further ones are refused.
        request_bytes: Largest body of a durable request.
        fences: Number of targets with a recorded fence.
        audit: Number of entries in the audit trail.
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
        """Returns the limits as text; a snapshot holds it to detect a replica with other limits."""
        return " ".join(f"{name}={getattr(self, name)}" for name in self.__slots__)


class CommandKind:
    """A registered kind of command.

    Attributes:
        number: Number that stands for the kind in the encoding.
        struct_class: Thrift struct of the command.
        handler: Function (state, struct) that changes the state and returns an Answer.
    """

    __slots__ = ("number", "struct_class", "handler")

    def __init__(self, number: int, struct_class: type, handler):
        self.number = number
        self.struct_class = struct_class
        self.handler = handler


COMMAND_BY_NUMBER = {}
NUMBER_BY_STRUCT = {}


def register_command(number: int, struct_class: type):
    """Returns a decorator that registers the handler of a kind of command.

    Args:
        number: Number of the kind in the log; it must never be reused for another kind.
        struct_class: Thrift struct of the command.
    """

    def register(handler):
        COMMAND_BY_NUMBER[number] = CommandKind(number, struct_class, handler)
        NUMBER_BY_STRUCT[struct_class] = number
        return handler

    return register


def encode_command(record, time_ms: int) -> bytes:
    """Encodes a command for the log.

    Args:
        record: A command struct of `control_thrift`.
        time_ms: The leader's wall clock in milliseconds.
    """
    return COMMAND_HEADER.pack(
        COMMAND_FORMAT, NUMBER_BY_STRUCT[type(record)], time_ms
    ) + strict.encode(record)


def decode_command(data: bytes) -> expression.Result:
    """Returns Ok with (struct, time in milliseconds), FRAME_INVALID or VERSION_UNSUPPORTED."""
    if len(data) < COMMAND_HEADER.size:
        return codes.failure(codes.Code.FRAME_INVALID, "command is shorter than its header")
    version, number, time_ms = COMMAND_HEADER.unpack_from(data)
    if version != COMMAND_FORMAT or number not in COMMAND_BY_NUMBER:
        message = f"command format {version} kind {number} is not supported"
        return codes.failure(codes.Code.VERSION_UNSUPPORTED, message)
    kind = COMMAND_BY_NUMBER[number]
    return strict.decode(kind.struct_class, data[COMMAND_HEADER.size :]).map(
        lambda record: (record, time_ms)
    )


def answer(
    kind: str, number=0, digest=b"", status=0, body=b"", owner="", term=0, flag=False, message=""
):
    """Returns the Answer to an accepted command; `kind` states its outcome."""
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
    """Returns the Answer to a command that was refused and changed nothing."""
    refused = answer("refused", message=message)
    refused.code = int(code)
    return refused


def result_of_answer(record) -> expression.Result:
    """Returns Ok with an accepted Answer, or Error with the `codes.Failure` of a refused one."""
    if record.code == codes.Code.OK:
        return expression.Ok(record)
    return codes.failure(codes.Code(record.code), record.message)


def encode_result(result: expression.Result) -> bytes:
    """Encodes a result of `ControlState.apply` for a link between processes."""
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
    return result_of_answer(decoded.ok)


class ControlState:
    """The state of one replica.

    Attributes:
        limits: The `Limits`.
        index: Log index of the last applied command.
        term: Log term of the last applied command.
        time_ms: Latest timestamp of a command, in milliseconds.
        operator_by_name: OperatorKey by name, of the bundle in force; before the first roll, of
            the bootstrap command.
        bundle_by_version: BundleEntry by version.
        latest_version: Highest written version, 0 for none.
        rolled_version: Version in force, 0 for none.
        serial: Serial of the last roll, 0 before the first one.
        operation_by_key: OperationEntry by (actor, operation id), oldest first.
        intent_by_key: IntentEntry by (account, key).
        closed_intent_keys: Keys of finished and released intents, oldest first, as a dict with None
            values.
        request_by_key: RequestEntry by (account, request id).
        closed_request_keys: Keys of finished requests, oldest first, as a dict with None values.
        fence_by_target: FenceEntry by target, oldest first.
        audit: Audit trail as a list of AuditEntry, oldest first.
        published: PublishedEntry of the route bundle in force, or None.
        rollout_by_service: RolloutEntry of the latest order by service, the oldest one first.
    """

    __slots__ = (
        "limits",
        "index",
        "term",
        "time_ms",
        "operator_by_name",
        "bundle_by_version",
        "latest_version",
        "rolled_version",
        "serial",
        "operation_by_key",
        "intent_by_key",
        "closed_intent_keys",
        "request_by_key",
        "closed_request_keys",
        "fence_by_target",
        "audit",
        "published",
        "rollout_by_service",
    )

    def __init__(self, limits: Limits):
        self.limits = limits
        self.index = self.term = self.time_ms = 0
        self.operator_by_name = {}
        self.bundle_by_version = {}
        self.latest_version = self.rolled_version = self.serial = 0
        self.operation_by_key = {}
        self.intent_by_key = {}
        self.closed_intent_keys = {}
        self.request_by_key = {}
        self.closed_request_keys = {}
        self.fence_by_target = {}
        self.audit = []
        self.published = None
        self.rollout_by_service = {}

    def apply(self, index: int, term: int, data: bytes) -> expression.Result:
        """Applies one committed command.

        Args:
            index: Log index of the entry, which must be above that of the last applied one.
            term: Log term of the entry.
            data: The command from `encode_command`.

        Returns:
            Ok with an Answer whose `kind` states the outcome, or Error with a `codes.Failure`.
            Every replica refuses a command that cannot be decoded with the same failure.
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
        # The first command sets the time. Later ones move it forward by at most MAX_TIME_STEP_MS.
        if step > 0:
            self.time_ms += step if self.time_ms == 0 else min(step, MAX_TIME_STEP_MS)
        self.drop_expired_records()
        for spec in record.thrift_spec.values():
            value = getattr(record, spec[1])
            if isinstance(value, str) and len(value.encode()) > MAX_NAME_BYTES:
                message = f"{spec[1]} is longer than {MAX_NAME_BYTES} bytes"
                return codes.failure(codes.Code.BAD_REQUEST, message)
        handler = COMMAND_BY_NUMBER[NUMBER_BY_STRUCT[type(record)]].handler
        return result_of_answer(handler(self, record))

    def drop_expired_records(self) -> None:
        """Deletes closed records past their retention; open records are never deleted by age."""
        closed_kinds = (
            (self.closed_intent_keys, self.intent_by_key),
            (self.closed_request_keys, self.request_by_key),
        )
        for closed_keys, record_by_key in closed_kinds:
            while closed_keys:
                key = next(iter(closed_keys))
                if record_by_key[key].time_ms + self.limits.finished_ms > self.time_ms:
                    break
                del closed_keys[key]
                del record_by_key[key]
        while self.operation_by_key:
            key = next(iter(self.operation_by_key))
            is_retained = (
                self.operation_by_key[key].time_ms + self.limits.operation_ms > self.time_ms
            )
            if is_retained and len(self.operation_by_key) <= self.limits.operations:
                break
            del self.operation_by_key[key]

    def add_audit_entry(self, actor: str, action: str, version: int, digest: bytes) -> None:
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
        return self.bundle_by_version.get(self.rolled_version)

    def unfinished_requests(self, owner: str) -> list:
        """Returns the RequestEntry of each unfinished durable request of an owner."""
        return [
            record
            for record in self.request_by_key.values()
            if record.owner == owner and not record.finished
        ]

    def snapshot(self) -> bytes:
        """Returns the whole state as bytes; equal states give equal bytes."""
        # Open records are sorted by key. Closed ones come after them in the order of their closing,
        # from which `restore` rebuilds the order of expiry.
        open_intents = [
            self.intent_by_key[key]
            for key in sorted(self.intent_by_key)
            if key not in self.closed_intent_keys
        ]
        open_requests = [
            self.request_by_key[key]
            for key in sorted(self.request_by_key)
            if key not in self.closed_request_keys
        ]
        closed_intents = [self.intent_by_key[key] for key in self.closed_intent_keys]
        closed_requests = [self.request_by_key[key] for key in self.closed_request_keys]
        record = control_thrift.Snapshot(
            format=SNAPSHOT_FORMAT,
            index=self.index,
            term=self.term,
            time_ms=self.time_ms,
            operators=[self.operator_by_name[name] for name in sorted(self.operator_by_name)],
            bundles=[self.bundle_by_version[version] for version in sorted(self.bundle_by_version)],
            latest_version=self.latest_version,
            rolled_version=self.rolled_version,
            serial=self.serial,
            operations=list(self.operation_by_key.values()),
            intents=open_intents + closed_intents,
            requests=open_requests + closed_requests,
            fences=list(self.fence_by_target.values()),
            audit=list(self.audit),
            limits=self.limits.text(),
            published=[] if self.published is None else [self.published],
            # Missing without orders, so that earlier versions understand the snapshot.
            rollouts=list(self.rollout_by_service.values()) or None,
        )
        return strict.encode(record)

    def digest(self) -> bytes:
        """Returns the SHA-256 digest of the state, to compare replicas at the same log index."""
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
        return codes.failure(
            codes.Code.SETTING_INVALID,
            "the limits of the snapshot differ from those of this replica",
        )
    state = ControlState(limits)
    for name in ("index", "term", "time_ms", "latest_version", "rolled_version", "serial"):
        setattr(state, name, getattr(record, name))
    state.operator_by_name = {entry.name: entry for entry in record.operators}
    state.bundle_by_version = {entry.version: entry for entry in record.bundles}
    state.operation_by_key = {
        (entry.actor, entry.operation_id): entry for entry in record.operations
    }
    state.fence_by_target = {entry.target: entry for entry in record.fences}
    state.audit = record.audit
    state.published = record.published[0] if record.published else None
    state.rollout_by_service = {entry.service_name: entry for entry in record.rollouts or []}
    for entry in record.intents:
        state.intent_by_key[entry.account, entry.key] = entry
        if entry.state in (FINISHED, RELEASED):
            state.closed_intent_keys[entry.account, entry.key] = None
    for entry in record.requests:
        state.request_by_key[entry.account, entry.request_id] = entry
        if entry.finished:
            state.closed_request_keys[entry.account, entry.request_id] = None
    return expression.Ok(state)


def deduplicated(handler):
    """Makes a command idempotent by its operation id.

    A resent command gets the answer to its first execution. Another command under the same id is
    refused. Refusals are not recorded, because they changed nothing: a resent command is executed
    again.

    Args:
        handler: Handler of a command with the fields `actor` and `operation_id`.
    """

    def handle(state, record):
        key = (record.actor, record.operation_id)
        kind = NUMBER_BY_STRUCT[type(record)]
        digest = hashlib.sha256(bytes([kind]) + strict.encode(record)).digest()
        operation = state.operation_by_key.get(key)
        if operation is not None:
            if operation.command_digest != digest:
                message = f"operation {record.operation_id} was used for another command"
                return refusal(codes.Code.OPERATION_REUSED, message)
            return strict.decode(control_thrift.Answer, operation.answer).ok
        response = handler(state, record)
        if response.code == codes.Code.OK:
            state.operation_by_key[key] = control_thrift.OperationEntry(
                actor=record.actor,
                operation_id=record.operation_id,
                command_digest=digest,
                answer=strict.encode(response),
                time_ms=state.time_ms,
            )
        return response

    return handle


def find_permitted_operator(state: ControlState, actor: str, roles: tuple):
    """Returns the OperatorKey of an actor, or None if the actor has none of the roles."""
    operator = state.operator_by_name.get(actor)
    return operator if operator is not None and operator.role in roles else None


def permission_refusal(actor: str, action: str):
    """Returns the Answer to an actor whose role does not permit an action on bundles."""
    return refusal(codes.Code.NOT_PERMITTED, f"{actor} may not {action} bundles")


@register_command(1, control_thrift.Bootstrap)
def bootstrap(state: ControlState, record):
    """Sets the first operators; refused once the state has operators or a bundle."""
    if state.operator_by_name or state.latest_version:
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
    state.operator_by_name = {operator.name: operator for operator in record.operators}
    state.add_audit_entry("", "bootstrap", 0, b"")
    return answer("bootstrapped")


@register_command(2, control_thrift.WriteBundle)
@deduplicated
def write_bundle(state: ControlState, record):
    """Stores the next version of the bundle.

    If the version exists with other content, the refusal names its writer.
    """
    writer = find_permitted_operator(state, record.actor, bundles.WRITING_ROLES)
    if writer is None:
        return permission_refusal(record.actor, "write")
    parsed = bundles.parse(record.content)
    if parsed.is_error():
        return refusal(codes.Code.BUNDLE_INVALID, "; ".join(map(repr, parsed.error)))
    content = bundles.canonical(parsed.ok)
    # The canonical form includes defaults, so it may exceed the limit although the content does
    # not. A bundle that cannot be parsed again must not be stored.
    if len(content) > bundles.MAX_BYTES:
        message = f"the canonical form has {len(content)} bytes, more than {bundles.MAX_BYTES}"
        return refusal(codes.Code.BUNDLE_INVALID, message)
    version = parsed.ok.version
    digest = bundles.content_digest(parsed.ok)
    existing = state.bundle_by_version.get(version)
    if existing is not None and existing.digest == digest:
        return answer("written", number=version, digest=digest, owner=existing.writer)
    if version != state.latest_version + 1:
        latest = state.bundle_by_version.get(state.latest_version)
        message = f"version {version} does not follow the latest version {state.latest_version}"
        if existing is not None:
            message = (
                f"version {version} was written by {existing.writer}"
                f" with digest {existing.digest.hex()}"
            )
        elif latest is not None:
            message += f", written by {latest.writer} with digest {latest.digest.hex()}"
        return refusal(codes.Code.VERSION_CONFLICT, message)
    state.bundle_by_version[version] = control_thrift.BundleEntry(
        version=version,
        content=content,
        digest=digest,
        writer=record.actor,
        writer_key=writer.public_key,
        approver="",
        approver_key="",
    )
    state.latest_version = version
    for old in sorted(state.bundle_by_version)[: -state.limits.bundles]:
        if old != state.rolled_version:
            del state.bundle_by_version[old]
    state.add_audit_entry(record.actor, "write", version, digest)
    return answer("written", number=version, digest=digest, owner=record.actor)


def find_bundle(state: ControlState, record):
    """Returns (BundleEntry, None), or (None, refusal) if no bundle has the version and digest."""
    entry = state.bundle_by_version.get(record.version)
    if entry is None:
        message = f"bundle version {record.version} does not exist"
        return None, refusal(codes.Code.BUNDLE_UNKNOWN, message)
    if entry.digest != record.digest:
        message = (
            f"version {record.version} was written by {entry.writer}"
            f" with digest {entry.digest.hex()}"
        )
        return None, refusal(codes.Code.VERSION_CONFLICT, message)
    return entry, None


@register_command(3, control_thrift.ApproveBundle)
@deduplicated
def approve_bundle(state: ControlState, record):
    """Records an approval, which must be signed and not come from the writer."""
    approver = find_permitted_operator(state, record.actor, bundles.APPROVING_ROLES)
    if approver is None:
        return permission_refusal(record.actor, "approve")
    entry, refused = find_bundle(state, record)
    if entry is None:
        return refused
    # The key is compared too, because a bundle rolled since may list the writer under another name.
    if entry.writer == record.actor or entry.writer_key == approver.public_key:
        message = f"{record.actor} wrote version {record.version}"
        return refusal(codes.Code.APPROVER_IS_WRITER, message)
    if not bundles.verify_signature(approver.public_key, entry.digest, record.signature):
        return refusal(codes.Code.BAD_SIGNATURE, f"signature is not by the key of {record.actor}")
    entry.approver = record.actor
    entry.approver_key = approver.public_key
    state.add_audit_entry(record.actor, "approve", record.version, entry.digest)
    return answer("approved", number=record.version, digest=entry.digest, owner=record.actor)


@register_command(4, control_thrift.RollBundle)
@deduplicated
def roll_bundle(state: ControlState, record):
    """Puts an approved version into force under the next serial.

    It must be above the version in force.
    """
    if find_permitted_operator(state, record.actor, bundles.ROLLING_ROLES) is None:
        return permission_refusal(record.actor, "roll")
    entry, refused = find_bundle(state, record)
    if entry is None:
        return refused
    # An approval counts only while the approver has the role. A bundle rolled since may have
    # removed the approver or changed the key.
    approver = find_permitted_operator(state, entry.approver, bundles.APPROVING_ROLES)
    if approver is None or approver.public_key != entry.approver_key:
        message = f"version {record.version} has no approval by a current approver"
        return refusal(codes.Code.NOT_APPROVED, message)
    if record.version <= state.rolled_version:
        message = f"version {state.rolled_version} is already in force, serial {state.serial}"
        return refusal(codes.Code.STALE_SERIAL, message)
    state.serial += 1
    state.rolled_version = record.version
    state.operator_by_name = {
        operator.name: control_thrift.OperatorKey(**bundles.to_json_object(operator))
        for operator in bundles.parse(entry.content).ok.operators
    }
    state.add_audit_entry(record.actor, "roll", record.version, entry.digest)
    return answer("rolled", number=state.serial, digest=entry.digest)


def describe_intent(state: ControlState, intent):
    """Returns the Answer with the state of an intent, for a gateway that gets no permit to send."""
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
    is_uncertain = intent.state == UNCERTAIN
    if state.time_ms - intent.time_ms >= state.limits.uncertain_ms:
        is_uncertain = True
    return answer("pending", number=intent.grant, owner=intent.gateway, flag=is_uncertain)


def is_open_permit_of(intent, gateway: str, operation_id: str) -> bool:
    """Returns whether an intent is a pending permit of an operation of a gateway."""
    is_same_operation = (intent.gateway, intent.operation_id) == (gateway, operation_id)
    return is_same_operation and intent.state == PENDING


@register_command(5, control_thrift.OpenIntent)
def open_intent(state: ControlState, record):
    """Grants a permit for one send of the call with this key.

    There is at most one permit at a time, and none once an outcome is recorded. A resent command of
    the holder gets the same grant. A released operation id is never granted a permit: a late
    duplicate of the command would create one that no gateway uses or releases.
    """
    key = (record.account, record.key)
    intent = state.intent_by_key.get(key)
    if intent is None and len(state.intent_by_key) >= state.limits.intents:
        return refusal(codes.Code.QUEUE_FULL, "the limit of recorded intents is reached")
    if intent is not None:
        if intent.body_digest not in (record.body_digest, b""):
            return refusal(codes.Code.KEY_REUSED, "the key was used with another body")
        released_operation = f"{record.gateway} {record.operation_id}"
        if released_operation in intent.released:
            return describe_intent(state, intent)
        if is_open_permit_of(intent, record.gateway, record.operation_id):
            return answer("granted", number=intent.grant, owner=intent.gateway)
        if intent.state != RELEASED:
            return describe_intent(state, intent)
    # The grant number is the log index, so that it is above all earlier ones even after their
    # records have expired.
    state.intent_by_key[key] = control_thrift.IntentEntry(
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
    state.closed_intent_keys.pop(key, None)
    return answer("granted", number=state.index, owner=record.gateway)


@register_command(6, control_thrift.FinishIntent)
def finish_intent(state: ControlState, record):
    """Records the outcome of a send.

    Only the holder of the permit may record it. The first outcome is kept. If the outcome is not
    known, the intent becomes uncertain.
    """
    key = (record.account, record.key)
    intent = state.intent_by_key.get(key)
    if intent is None:
        return refusal(codes.Code.REQUEST_UNKNOWN, "no intent has this key")
    if (intent.gateway, intent.grant) != (record.gateway, record.grant):
        return refusal(codes.Code.FENCED, f"grant {record.grant} is not held by {record.gateway}")
    if intent.state in (FINISHED, RELEASED):
        return describe_intent(state, intent)
    if not record.known:
        intent.state = UNCERTAIN
        return describe_intent(state, intent)
    intent.state = FINISHED
    intent.status = record.status
    # A body that is too large is dropped rather than refused, because the state must record that
    # the call ran.
    intent.body_dropped = len(record.body) > state.limits.outcome_bytes
    intent.body = b"" if intent.body_dropped else record.body
    intent.time_ms = state.time_ms
    state.closed_intent_keys[key] = None
    return describe_intent(state, intent)


@register_command(7, control_thrift.ReleaseIntent)
def release_intent(state: ControlState, record):
    """Releases a permit that was not used and never will be, and bars its operation id from grants.

    The answer `released` means that the key has no permit. Any other answer is the state of the
    permit that another operation holds.
    """
    key = (record.account, record.key)
    intent = state.intent_by_key.get(key)
    if intent is None:
        if len(state.intent_by_key) >= state.limits.intents:
            return refusal(codes.Code.QUEUE_FULL, "the limit of recorded intents is reached")
        # The record bars the operation id, because its `OpenIntent` may still arrive.
        intent = state.intent_by_key[key] = control_thrift.IntentEntry(
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
        state.closed_intent_keys[key] = None
    if is_open_permit_of(intent, record.gateway, record.operation_id):
        intent.state = RELEASED
        intent.time_ms = state.time_ms
        state.closed_intent_keys[key] = None
    # The operation id is not barred if its permit may have been used.
    if (intent.gateway, intent.operation_id) != (record.gateway, record.operation_id) or (
        intent.state == RELEASED
    ):
        released_operation = f"{record.gateway} {record.operation_id}"
        if released_operation not in intent.released:
            intent.released = [*intent.released, released_operation][-MAX_RELEASED_OPERATIONS:]
    # An outcome of a call with another body must not be returned as that of this one.
    if intent.body_digest not in (record.body_digest, b""):
        return refusal(codes.Code.KEY_REUSED, "the key was used with another body")
    return describe_intent(state, intent)


@register_command(8, control_thrift.AcceptRequest)
def accept_request(state: ControlState, record):
    """Accepts a durable request; a resent one is answered with its current owner and generation."""
    key = (record.account, record.request_id)
    digest = hashlib.sha256(record.body).digest()
    request = state.request_by_key.get(key)
    if request is None:
        if len(record.body) > state.limits.request_bytes:
            return refusal(
                codes.Code.BODY_TOO_LARGE,
                f"the body of the request is larger than {state.limits.request_bytes} bytes",
            )
        if len(state.request_by_key) >= state.limits.requests:
            return refusal(codes.Code.QUEUE_FULL, "the limit of durable requests is reached")
        request = state.request_by_key[key] = control_thrift.RequestEntry(
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
    if request.body_digest != digest:
        return refusal(codes.Code.KEY_REUSED, "the request id was used with another body")
    return answer("accepted", number=request.generation, owner=request.owner, flag=request.finished)


@register_command(9, control_thrift.ClaimGeneration)
def claim_generation(state: ControlState, record):
    """Assigns an unfinished request to a new owner and raises its generation."""
    request = state.request_by_key.get((record.account, record.request_id))
    if request is None:
        return refusal(codes.Code.REQUEST_UNKNOWN, "no durable request has this id")
    if request.finished:
        return answer("finished", number=request.generation, owner=request.owner, flag=True)
    is_resent = (request.operation_id, request.owner, request.generation) == (
        record.operation_id,
        record.owner,
        record.expected_generation + 1,
    )
    if not is_resent:
        if request.generation != record.expected_generation:
            message = f"generation {request.generation} is owned by {request.owner}"
            return refusal(codes.Code.OWNERSHIP_LOST, message)
        request.generation += 1
        request.owner = record.owner
        request.operation_id = record.operation_id
    return answer("claimed", number=request.generation, owner=request.owner)


@register_command(10, control_thrift.FinishRequest)
def finish_request(state: ControlState, record):
    """Marks a request as finished; refused unless the generation is the current one."""
    key = (record.account, record.request_id)
    request = state.request_by_key.get(key)
    if request is None:
        return refusal(codes.Code.REQUEST_UNKNOWN, "no durable request has this id")
    if request.generation != record.generation:
        message = f"generation {request.generation} is owned by {request.owner}"
        return refusal(codes.Code.OWNERSHIP_LOST, message)
    if not request.finished:
        request.finished = True
        request.body = b""
        request.time_ms = state.time_ms
        state.closed_request_keys[key] = None
    return answer("finished", number=request.generation, owner=request.owner, flag=True)


@register_command(11, control_thrift.NextFence)
def next_fence(state: ControlState, record):
    """Issues a fencing token (term, index) for orders to a target, above all earlier ones."""
    state.fence_by_target.pop(record.target, None)
    state.fence_by_target[record.target] = control_thrift.FenceEntry(
        target=record.target, term=state.term, number=state.index
    )
    if len(state.fence_by_target) > state.limits.fences:
        del state.fence_by_target[next(iter(state.fence_by_target))]
    return answer("fence", number=state.index, term=state.term, owner=record.target)
