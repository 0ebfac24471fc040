"""Lifecycles of requests, attempts, members and bundles, as `transitions` state machines.

All objects of a kind share one machine, because a machine per object would take several kilobytes
for each open generation. A machine is used only while a transition is applied.
"""

import collections

import expression
import transitions

from chiveswitch.core import codes

# For each kind of object its initial state and its transitions [name, source states, new state].
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

# Number of unexpected transitions, by (kind, state, transition).
UNEXPECTED_COUNT_BY_TRANSITION = collections.Counter()


class _Model:
    state = None


def _create_machine(kind):
    initial, edges = TRANSITIONS_BY_KIND[kind]
    states = [initial]
    for _, _, target in edges:
        if target not in states:
            states.append(target)
    return transitions.Machine(
        model=_Model(), states=states, transitions=edges, initial=initial, auto_transitions=False
    )


_MACHINE_BY_KIND = {kind: _create_machine(kind) for kind in TRANSITIONS_BY_KIND}


class Lifecycle:
    """Current state of one object in the lifecycle of its kind.

    Attributes:
        kind: A key of `TRANSITIONS_BY_KIND`.
        state: Name of the current state.
    """

    __slots__ = ("kind", "state")

    def __init__(self, kind: str):
        self.kind = kind
        self.state = TRANSITIONS_BY_KIND[kind][0]

    def apply(self, transition: str) -> expression.Result:
        """Applies a transition to the state.

        Args:
            transition: Name of the transition.

        Returns:
            Ok with the new state. If the transition is not permitted in this state, a failure
            INTERNAL with the state unchanged; `UNEXPECTED_COUNT_BY_TRANSITION` counts it.
        """
        machine = _MACHINE_BY_KIND[self.kind]
        model = machine.model
        machine.set_state(self.state)
        try:
            model.trigger(transition)
        except (transitions.MachineError, AttributeError):
            # `transitions` raises AttributeError for a transition that the kind does not have.
            UNEXPECTED_COUNT_BY_TRANSITION[(self.kind, self.state, transition)] += 1
            message = f"{self.kind} in state {self.state} does not permit transition {transition}"
            return codes.failure(codes.Code.INTERNAL, message)
        self.state = model.state
        return expression.Ok(self.state)
