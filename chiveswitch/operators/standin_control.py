"""Stand-in for the control process behind the administration API: one state, without consensus."""

from chiveswitch.core import codes, control_state


class Control:
    """Applies each command at once to one `ControlState`; nothing is durable.

    Attributes:
        state: The `ControlState`.
        unapplied_results: Results returned for the next proposals, which are then not applied.
        applied_results: Results returned for the next proposals in place of the real ones, after
            these were applied.
        read_results: Results returned for the next reads, which then do not read the state.
        proposed: All proposed commands.
        gateways: Gateways in the status, objects with `id` and `address`.
    """

    def __init__(self, operators: list):
        """Bootstraps the state.

        Args:
            operators: JSON objects of the operators.
        """
        self.state = control_state.ControlState(control_state.Limits())
        self.unapplied_results, self.applied_results, self.read_results = [], [], []
        self.proposed, self.gateways = [], []
        thrift = control_state.control_thrift
        keys = [thrift.OperatorKey(**entry) for entry in operators]
        self._apply(thrift.Bootstrap(operators=keys))

    def _apply(self, record):
        index = self.state.index + 1
        return self.state.apply(index, 1, control_state.encode_command(record, 1_000 + index))

    async def propose(self, record):
        """Applies a command struct and returns the Result of its Answer."""
        self.proposed.append(record)
        if self.unapplied_results:
            return self.unapplied_results.pop(0)
        result = self._apply(record)
        return self.applied_results.pop(0) if self.applied_results else result

    async def read(self, function):
        """Returns Ok with `function(state)`."""
        return self.read_results.pop(0) if self.read_results else codes.ok(function(self.state))

    def status(self) -> dict:
        """Returns the status of the control process."""
        return {"role": "leader", "serial": self.state.serial, "gateways": self.gateways}
