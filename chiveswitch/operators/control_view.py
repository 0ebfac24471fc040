"""Adapter of a control member for the administration API and the order controller."""

import expression

from chiveswitch.core import bundles, clock, consensus


class ControlView:
    """Gives the administration API and the order controller access to a control member.

    Attributes:
        server: `control_server.ControlServer`.
        directory: `directory.Directory` filled with the reports of the gateways.
    """

    def __init__(self, server, directory):
        self.server = server
        self.directory = directory
        self._parsed_serial = 0
        self._parsed_bundle = None

    async def propose(self, record) -> expression.Result:
        """Appends a command to the log; see `ControlServer.propose`."""
        return await self.server.propose(record)

    async def read(self, function) -> expression.Result:
        """Returns Ok with `function(state)` after a majority confirmed the read, or NOT_LEADER."""
        confirmed = await self.server.confirm_read()
        return confirmed.map(lambda _index: function(self.server.state))

    def status(self) -> dict:
        """Returns the member's status, which may be out of date."""
        status = self.server.status()
        # The first entry is the directory's own. It stands for this member, which is not a gateway.
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

    @property
    def is_leader(self) -> bool:
        """Whether this member considers itself the leader; a majority may have elected another."""
        return self.server.node.role is consensus.Role.LEADER and self.server.leases is not None

    @property
    def leader_since(self) -> float:
        """Time of the election in seconds of CLOCK_BOOTTIME; valid only while `is_leader`."""
        return self.server.leases.leader_since

    def bundle(self):
        """Returns the `bundles.Bundle` in force in this member's state, or None.

        The parsed bundle is cached by its serial.
        """
        state = self.server.state
        if state.serial != self._parsed_serial:
            entry = state.bundle_in_force()
            parsed = None if entry is None else bundles.parse(entry.content)
            if parsed is not None and parsed.is_ok():
                self._parsed_bundle = parsed.ok
                self._parsed_serial = state.serial
        return self._parsed_bundle

    async def confirm_leadership(self) -> bool:
        """Returns whether a majority confirmed the leadership since the call began, in one term."""
        term = self.server.node.term
        confirmed = await self.server.confirm_read()
        return confirmed.is_ok() and self.server.node.term == term

    def gateway_peer_addresses(self) -> list:
        """Returns the peer addresses of live gateways."""
        leases = self.server.leases
        return (
            [lease.address for lease in leases.live_leases(clock.now())]
            if leases is not None
            else []
        )
