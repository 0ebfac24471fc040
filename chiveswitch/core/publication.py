"""The command that writes, approves and rolls a route bundle in one step."""

import hashlib

from chiveswitch.core import codes, control_state

control_thrift = control_state.control_thrift


@control_state.register_command(12, control_thrift.PublishRoutes)
def publish_routes(state: control_state.ControlState, record):
    """Puts a signed route bundle in force if its version is above the one held.

    A lower or equal version changes nothing and is acknowledged, so that a resend of an
    acknowledged change is never refused. The answer's flag says whether the state changed.
    """
    if record.version <= 0:
        return control_state.refusal(codes.Code.BUNDLE_INVALID, "the version is not positive")
    held = state.published
    if held is not None and record.version <= held.version:
        return control_state.answer("held", number=held.version, digest=held.digest)
    digest = hashlib.sha256(record.content).digest()
    state.published = control_thrift.PublishedEntry(
        version=record.version,
        content=record.content,
        digest=digest,
        signature=record.signature,
        actor=record.actor,
    )
    state.add_audit_entry(record.actor, "publish", record.version, digest)
    return control_state.answer("published", number=record.version, digest=digest, flag=True)
