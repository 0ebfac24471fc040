"""Stand-in for the control process behind the administration API: one state without a log."""

from chiveswitch.core import codes, control_state


class Control:
    """Applies each command at once to one `ControlState`; nothing is durable.

    Attributes:
        state: The `ControlState`.
        before: Results given in place of the next proposals, which are not applied.
        after: Results given in place of those of the next proposals, which are applied.
        reads: Results given in place of the next reads.
        proposed: All proposed commands.
        gateways: Gateways in the status, objects with `id` and `address`.
    """

    def __init__(self, operators: list):
        """Begins with the operators of a list of JSON objects."""
        self.state = control_state.ControlState(control_state.Limits())
        self.before, self.after, self.reads, self.proposed, self.gateways = [], [], [], [], []
        wire = control_state.control_thrift
        keys = [wire.OperatorKey(**entry) for entry in operators]
        self._apply(wire.Bootstrap(operators=keys))

    def _apply(self, record):
        index = self.state.index + 1
        return self.state.apply(index, 1, control_state.encode_command(record, 1_000 + index))

    async def propose(self, record):
        """Applies a command struct and returns the Result of its Answer."""
        self.proposed.append(record)
        if self.before:
            return self.before.pop(0)
        result = self._apply(record)
        return self.after.pop(0) if self.after else result

    async def read(self, function):
        """Returns Ok with what a function of the state returns."""
        return self.reads.pop(0) if self.reads else codes.ok(function(self.state))

    def status(self) -> dict:
        """Returns the status of the process."""
        return {"role": "leader", "serial": self.state.serial, "gateways": self.gateways}
