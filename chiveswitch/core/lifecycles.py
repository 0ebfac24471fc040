"""Life cycles of requests, attempts, members and bundles, as `transitions` state machines.

One machine per kind is shared by all objects of that kind: a machine per object would take
several kilobytes for each open generation. The machines are used per life-cycle step only.
"""

import collections

import expression
import transitions

from chiveswitch.core import codes

TRANSITIONS_BY_KIND = {
    "request": (
        "admitted",
        [
            ["start", "admitted", "running"],
            ["interrupt", "running", "resuming"],
            ["resume", "resuming", "running"],
            ["end", ["admitted", "running", "resuming"], "ended"],
            ["complete", "ended", "completed"],
            ["fail", ["admitted", "running", "resuming", "ended"], "failed"],
            ["release", ["completed", "failed"], "released"],
        ],
    ),
    "attempt": (
        "starting",
        [
            ["confirm", ["starting", "reattaching"], "live"],
            ["reattach", ["starting", "live", "reattaching"], "reattaching"],
            ["recover", "reattaching", "live"],
            ["end", "live", "ended"],
            ["refuse", ["starting", "reattaching"], "closed"],
            ["supersede", ["starting", "live", "reattaching"], "cancelling"],
            ["close", "cancelling", "closed"],
        ],
    ),
    "member": (
        "unknown",
        [
            ["announce", ["unknown", "silent", "ready"], "ready"],
            ["leave", ["unknown", "ready", "silent", "leaving"], "leaving"],
            ["fall_silent", "ready", "silent"],
            ["lose", ["ready", "silent", "leaving"], "lost"],
            ["restart", ["silent", "leaving", "lost"], "ready"],
        ],
    ),
    "bundle": (
        "written",
        [
            ["approve", "written", "approved"],
            ["roll", ["approved", "superseded"], "rolled"],
            ["confirm", "rolled", "in_force"],
            ["supersede", ["rolled", "in_force"], "superseded"],
        ],
    ),
}

# Number of unexpected steps, by (kind, state, step). Daemons report it as a metric.
UNEXPECTED_COUNT_BY_TRANSITION = collections.Counter()


class _Model:
    state = None


def _machine(kind):
    initial, steps = TRANSITIONS_BY_KIND[kind]
    states = [initial]
    for _, _, target in steps:
        if target not in states:
            states.append(target)
    return transitions.Machine(
        model=_Model(), states=states, transitions=steps, initial=initial, auto_transitions=False
    )


_MACHINE_BY_KIND = {kind: _machine(kind) for kind in TRANSITIONS_BY_KIND}


class Lifecycle:
    """Place of one object in the life cycle of its kind.

    Attributes:
        kind: A key of `TRANSITIONS_BY_KIND`.
        state: Name of the current state.
    """

    __slots__ = ("kind", "state")

    def __init__(self, kind: str):
        self.kind = kind
        self.state = TRANSITIONS_BY_KIND[kind][0]

    def apply(self, name: str) -> expression.Result:
        """Takes a step.

        Args:
            name: Name of the step.

        Returns:
            Ok with the new state, or a failure INTERNAL with the state unchanged when the step is
            unexpected in this state; such steps are counted in `UNEXPECTED_COUNT_BY_TRANSITION`.
        """
        machine = _MACHINE_BY_KIND[self.kind]
        model = machine.model
        machine.set_state(self.state)
        try:
            model.trigger(name)
        except (transitions.MachineError, AttributeError):
            # `transitions` raises AttributeError for a step that the kind doesn't have.
            UNEXPECTED_COUNT_BY_TRANSITION[(self.kind, self.state, name)] += 1
            message = f"{self.kind} in state {self.state} got unexpected step {name}"
            return codes.failure(codes.Code.INTERNAL, message)
        self.state = model.state
        return expression.Ok(self.state)
