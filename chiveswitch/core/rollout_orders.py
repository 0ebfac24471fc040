"""The commands for roll-outs of a service's version: an order, and the steps of its progress.

Control keeps the latest order of each service. Only the leader of control proposes steps, each on
condition of the state that it saw, so that a former leader changes nothing.
"""

import hashlib

from chiveswitch.core import codes, control_state, rollouts

control_thrift = control_state.control_thrift

# Number of services whose latest order is kept; an ended one makes room for a new one.
MAX_ORDERS = 256
# Bounds of an order's duration in milliseconds.
MIN_DURATION_MS = 1_000
MAX_DURATION_MS = 3_600_000
# Time after the end of an order in which the same order counts as sent again, in milliseconds.
RESEND_MS = 60_000
# Longest reason that is kept, in characters.
MAX_REASON_LENGTH = 160


def order_content(service: str, version: str, duration_ms: int) -> bytes:
    """Returns the bytes of an order that its sender signs."""
    return b"\0".join((b"rollout", service.encode(), version.encode(), b"%d" % duration_ms))


def find_fault(service: str, version: str, duration_ms: int) -> str:
    """Returns what is wrong with an order, or an empty string."""
    if not service or not version:
        return "service and version must not be empty"
    if any(len(name.encode()) > control_state.MAX_NAME_BYTES for name in (service, version)):
        return f"service and version must not exceed {control_state.MAX_NAME_BYTES} bytes"
    if not MIN_DURATION_MS <= duration_ms <= MAX_DURATION_MS:
        return f"the duration must be {MIN_DURATION_MS} to {MAX_DURATION_MS} ms"
    return ""


@control_state.register_command(13, control_thrift.StartRollout)
def start_rollout(state: control_state.ControlState, record):
    """Starts the roll-out of a version, unless the same order is known.

    The answer's flag is true if the state changed, its number is the order's serial, its owner the
    version and its status the order's state.
    """
    fault = find_fault(record.service_name, record.version, record.duration_ms)
    if fault or not 0 <= record.share <= 1:
        return control_state.refusal(codes.Code.BAD_REQUEST, fault or "the share is invalid")
    known = state.rollout_by_service.get(record.service_name)
    if known is not None and known.version == record.version and not _may_restart(state, known):
        return _answer_order("held", known, False)
    if known is not None and known.state == rollouts.RUNNING:
        return control_state.refusal(
            codes.Code.ROLLOUT_CONFLICT,
            f"version {known.version!r} of {record.service_name!r} is being rolled out",
        )
    if known is None and not _make_room(state):
        return control_state.refusal(codes.Code.QUEUE_FULL, "too many roll-outs are in progress")
    digest = hashlib.sha256(order_content(record.service_name, record.version, record.duration_ms))
    entry = control_thrift.RolloutEntry(
        service_name=record.service_name,
        version=record.version,
        actor=record.actor,
        signature=record.signature,
        state=rollouts.RUNNING,
        serial=state.index,
        step=1,
        revision=1,
        share=record.share,
        moves_copies=False,
        spent=0,
        total=0,
        started_ms=state.time_ms,
        duration_ms=record.duration_ms,
        changed_ms=state.time_ms,
        reason="ordered",
    )
    state.rollout_by_service[record.service_name] = entry
    state.add_audit_entry(record.actor, "rollout", 0, digest.digest())
    return _answer_order("started", entry, True)


def _may_restart(state, known):
    """Returns whether the same order again, some time after its version was withdrawn, is new."""
    is_withdrawn = known.state == rollouts.ROLLED_BACK
    return is_withdrawn and state.time_ms - known.changed_ms > RESEND_MS


def _make_room(state):
    """Drops the oldest ended order if the table is full; returns whether there is room."""
    if len(state.rollout_by_service) < MAX_ORDERS:
        return True
    ended = [each for each in state.rollout_by_service.values() if each.state != rollouts.RUNNING]
    # The accepted version of a service must stay known, or all of its versions would get requests.
    withdrawn = [each for each in ended if each.state == rollouts.ROLLED_BACK]
    if not withdrawn:
        return False
    del state.rollout_by_service[min(withdrawn, key=lambda each: each.serial).service_name]
    return True


def _answer_order(kind, entry, flag):
    return control_state.answer(
        kind, number=entry.serial, status=entry.state, owner=entry.version, flag=flag
    )


@control_state.register_command(14, control_thrift.AdvanceRollout)
def advance_rollout(state: control_state.ControlState, record):
    """Changes the share or the state of a running order, or notes its counts.

    It is refused unless the order is in the revision that the leader saw. The answer's flag is true
    if gateways have to learn of the change.
    """
    entry = state.rollout_by_service.get(record.service_name)
    if entry is None or (entry.serial, entry.revision) != (record.serial, record.revision):
        return control_state.refusal(codes.Code.STALE_SERIAL, "the order has changed meanwhile")
    is_valid = record.state in range(len(rollouts.STATE_NAMES)) and 0 <= record.share <= 1
    if entry.state != rollouts.RUNNING or not is_valid:
        return control_state.refusal(codes.Code.BAD_REQUEST, "the order cannot take this step")
    old = (entry.state, entry.share, entry.moves_copies)
    new = (record.state, record.share, record.moves_copies)
    entry.state, entry.share, entry.moves_copies = new
    entry.revision += 1
    entry.spent, entry.total = record.spent, record.total
    entry.changed_ms = state.time_ms
    if old != new:
        entry.step += 1
        entry.reason = record.reason[:MAX_REASON_LENGTH]
    if record.state != rollouts.RUNNING:
        state.add_audit_entry(
            entry.actor, rollouts.STATE_NAMES[record.state], 0, entry.version.encode()
        )
    return _answer_order("advanced", entry, old != new)


def to_rollout_state(entry, valid_for_s: float) -> rollouts.RolloutState:
    """Returns what gateways need of a RolloutEntry; see `rollouts.RolloutState`."""
    return rollouts.RolloutState(
        entry.service_name,
        entry.version,
        entry.state,
        entry.serial,
        entry.step,
        entry.share,
        entry.moves_copies,
        valid_for_s,
    )
