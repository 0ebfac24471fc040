"""The command that writes, approves and rolls a route bundle in one step."""

import hashlib

from chiveswitch.core import codes, control_state

control_thrift = control_state.control_thrift


@control_state.register_command(12, control_thrift.PublishRoutes)
def publish_routes(state: control_state.ControlState, record):
    """Puts a signed route bundle in force if its version is above the one in force.

    A lower or equal version changes nothing and is acknowledged, so that a resent command is never
    refused after its first copy was acknowledged. The answer's flag is true if the state changed.
    """
    if record.version <= 0:
        return control_state.refusal(
            codes.Code.BUNDLE_INVALID, f"version {record.version} is not positive"
        )
    in_force = state.published
    if in_force is not None and record.version <= in_force.version:
        return control_state.answer("held", number=in_force.version, digest=in_force.digest)
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
