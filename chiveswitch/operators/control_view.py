"""What the administration API and the controller of orders see of a control member."""

import expression

from chiveswitch.core import bundles, clock, consensus


class ControlView:
    """A member of control as its operators' side uses it.

    Attributes:
        server: `control_server.ControlServer`.
        directory: `directory.Directory` of what the gateways report.
    """

    def __init__(self, server, directory):
        self.server = server
        self.directory = directory
        self._serial = 0
        self._bundle = None

    async def propose(self, record) -> expression.Result:
        """Appends a command; see `ControlServer.propose`."""
        return await self.server.propose(record)

    async def read(self, function) -> expression.Result:
        """Returns `function(state)` after a majority confirmed the read, or NOT_LEADER."""
        confirmed = await self.server.confirm_read()
        return confirmed.map(lambda _index: function(self.server.state))

    def status(self) -> dict:
        """Returns the member's status, which may lag behind."""
        status = self.server.status()
        # The directory's own entry stands for this member and is no gateway.
        status["gateways"] = [
            {
                "id": entry.description.id,
                "availability_zone": entry.description.availability_zone,
                "state": entry.state,
                "address": entry.description.address,
            }
            for entry in self.directory.live_gateways(clock.now())[1:]
        ]
        return status

    # For the controller of orders.

    @property
    def is_leader(self) -> bool:
        """Whether this member believes that it leads."""
        return self.server.node.role is consensus.Role.LEADER and self.server.leases is not None

    @property
    def leader_since(self) -> float:
        """Time of the election in seconds of CLOCK_BOOTTIME, while `is_leader`."""
        return self.server.leases.leader_since

    def bundle(self):
        """Returns the `bundles.Bundle` in force as this member knows it, or None."""
        state = self.server.state
        if state.serial != self._serial:
            entry = state.bundle_in_force()
            parsed = None if entry is None else bundles.parse(entry.content)
            if parsed is not None and parsed.is_ok():
                self._bundle = parsed.ok
                self._serial = state.serial
        return self._bundle

    async def confirm_leadership(self) -> bool:
        """Returns whether a majority confirmed the leadership after the call began."""
        term = self.server.node.term
        confirmed = await self.server.confirm_read()
        return confirmed.is_ok() and self.server.node.term == term

    def gateway_peer_addresses(self) -> list:
        """Returns the peer addresses of live gateways."""
        held = self.server.leases
        return (
            [lease.address for lease in held.live_leases(clock.now())] if held is not None else []
        )
