"""Client of control for gateways and tools: finds the leader, asks again until a deadline.

Every result says whether a command surely was not appended (CONTROL_UNAVAILABLE) or whether its
fate is unknown (MAY_HAVE_RUN). A command is sent again with the same content, so that its operation
id, or its key and owner, get the first answer if an earlier copy was applied.
"""

import asyncio

import expression

from chiveswitch.core import clock, codes, control_state
from chiveswitch.peers import kinds, links, strict

rpc = strict.load("control_rpc.thrift")

# Longer than a sync under load, short enough to reach a new leader within a caller's few seconds.
ATTEMPT_SECONDS = 0.7
CONNECT_SECONDS = 0.25
CONNECT_POLL_SECONDS = 0.01
PAUSE_SECONDS = 0.05

# Answers that say that this copy of a command was not appended and never will be.
NOT_APPENDED = frozenset((codes.Code.NOT_LEADER, codes.Code.QUEUE_FULL))


class GatewayHeartbeat:
    """What a gateway tells control each second.

    Attributes:
        gateway_id: Name of the gateway.
        incarnation: Number that rises with each start of the gateway.
        availability_zone: Its zone.
        address: Its address for other processes of the system.
        state: `ready` or `draining`.
        known_serial: Serial of the bundle that it has.
        known_gateways: Digest of the live gateways that it knows, 0 for none.
    """

    __slots__ = (
        "gateway_id",
        "incarnation",
        "availability_zone",
        "address",
        "state",
        "known_serial",
        "known_gateways",
    )

    def __init__(
        self,
        gateway_id,
        incarnation,
        availability_zone,
        address,
        state,
        known_serial,
        known_gateways=0,
    ):
        self.gateway_id = gateway_id
        self.incarnation = incarnation
        self.availability_zone = availability_zone
        self.address = address
        self.state = state
        self.known_serial = known_serial
        self.known_gateways = known_gateways


class ControlClient:
    """Asks the leader of control; safe for use by many tasks of one event loop.

    Attributes:
        addresses: Addresses of control members from the settings.
        leader: Address that answered last, or that was named as the leader.
    """

    __slots__ = ("addresses", "leader", "_link_by_address", "_now")

    def __init__(self, addresses: list, now=clock.now):
        self.addresses = list(addresses)
        self.leader = self.addresses[0]
        self._link_by_address = {}
        self._now = now

    async def close(self):
        """Closes all connections."""
        for link in self._link_by_address.values():
            await link.close()

    def bytes_per_direction(self) -> tuple:
        """Returns the bytes sent and received so far."""
        found = list(self._link_by_address.values())
        return sum(link.bytes_out for link in found), sum(link.bytes_in for link in found)

    async def propose(self, record, deadline: float, trace: str = "") -> expression.Result:
        """Has a command applied.

        Args:
            record: A command struct of `control_state.control_thrift`.
            deadline: Time until which to try, in seconds of CLOCK_BOOTTIME.
            trace: Trace context to pass on.

        Returns:
            The command's own result: Ok with an Answer or its refusal. CONTROL_UNAVAILABLE if it
            surely was not appended and never will be; MAY_HAVE_RUN if it may have been, or may
            still be, applied.
        """
        payload = strict.encode(rpc.Propose(command=control_state.encode_command(record, 0)))
        kind = kinds.Kind.CONTROL_PROPOSE
        asked = await self._ask(kind, payload, rpc.ProposeAnswer, deadline, trace)
        if asked.is_error():
            return asked
        return control_state.decode_result(asked.ok[1].answer)

    async def heartbeat(self, beat: GatewayHeartbeat, deadline: float) -> expression.Result:
        """Sends a heartbeat.

        Returns:
            Ok with (time before the answered attempt in seconds of CLOCK_BOOTTIME, HeartbeatAnswer
            of `control_rpc.thrift`), or CONTROL_UNAVAILABLE.
        """
        fields = {name: getattr(beat, name) for name in GatewayHeartbeat.__slots__}
        payload = strict.encode(rpc.Heartbeat(**fields))
        kind = kinds.Kind.CONTROL_HEARTBEAT
        asked = await self._ask(kind, payload, rpc.HeartbeatAnswer, deadline)
        return asked.map_error(_as_unavailable)

    async def find_request(self, account: str, request_id: str, deadline: float):
        """Looks up a durable request.

        Returns:
            Ok with a ReadAnswer of `control_rpc.thrift`, or CONTROL_UNAVAILABLE.
        """
        payload = strict.encode(rpc.Read(account=account, request_id=request_id))
        asked = await self._ask(kinds.Kind.CONTROL_READ, payload, rpc.ReadAnswer, deadline)
        return asked.map(lambda pair: pair[1]).map_error(_as_unavailable)

    async def fetch_published(self, known_version: int, deadline: float) -> expression.Result:
        """Reads the route bundle in force, confirmed by a majority.

        Returns:
            Ok with a PublishedAnswer of `control_rpc.thrift`, whose content is empty if its version
            is the known one, or CONTROL_UNAVAILABLE.
        """
        payload = strict.encode(rpc.ReadPublished(known_version=known_version))
        kind = kinds.Kind.CONTROL_PUBLISHED
        asked = await self._ask(kind, payload, rpc.PublishedAnswer, deadline)
        return asked.map(lambda pair: pair[1]).map_error(_as_unavailable)

    async def join(self, member_id: str, address: str, deadline: float) -> expression.Result:
        """Asks for membership; Ok says whether the process is a member, or CONTROL_UNAVAILABLE."""
        payload = strict.encode(rpc.Join(member_id=member_id, address=address))
        asked = await self._ask(kinds.Kind.CONTROL_JOIN, payload, rpc.JoinAnswer, deadline)
        return asked.map(lambda pair: pair[1].is_member).map_error(_as_unavailable)

    def update_addresses(self, addresses: list):
        """Replaces the addresses of the members after a membership change."""
        self.addresses = list(addresses)
        if self.leader not in self.addresses:
            self.leader = self.addresses[0]

    async def status(self, deadline: float) -> expression.Result:
        """Returns Ok with the leader's status as JSON bytes, or CONTROL_UNAVAILABLE."""
        found = await self.find_request("", "", deadline)
        return found.map(lambda answer: answer.status)

    async def _ask(self, kind, payload, answer_class, deadline, trace="") -> expression.Result:
        """Asks until a leader answers; Ok holds the time before the attempt and its answer."""
        sent = False
        reason = "no member answered"
        while True:
            remaining = deadline - self._now()
            if remaining <= 0:
                break
            address = self.leader
            link = await self._connected(address, min(CONNECT_SECONDS, remaining))
            if link is None:
                reason = f"{address} cannot be reached"
                self._turn_from(address)
                await asyncio.sleep(PAUSE_SECONDS)
                continue
            asked_at = self._now()
            timeout = min(ATTEMPT_SECONDS, max(0.0, deadline - asked_at))
            result = await link.call(kind, payload, timeout, trace)
            if result.is_ok():
                result = strict.decode(answer_class, result.ok)
            elif result.error.code not in (codes.Code.LINK_CLOSED, codes.Code.LINK_TIMEOUT):
                # The member refused the bytes; it would refuse them again.
                return result
            if result.is_ok() and result.ok.code == codes.Code.OK:
                self.leader = address
                return expression.Ok((asked_at, result.ok))
            if result.is_error():
                # The request may have been sent, and a late copy may still be carried out.
                sent = True
                reason = f"{address}: {result.error.message}"
                self._turn_from(address)
                await asyncio.sleep(PAUSE_SECONDS)
                continue
            sent = sent or result.ok.code not in NOT_APPENDED
            reason = f"{address}: {result.ok.message}"
            hint = result.ok.leader_address
            if hint and hint != address:
                self.leader = hint
                # Two members may name each other until the next leader is elected.
                await asyncio.sleep(PAUSE_SECONDS / 5)
                continue
            self._turn_from(address)
            await asyncio.sleep(PAUSE_SECONDS)
        if sent:
            return codes.failure(codes.Code.MAY_HAVE_RUN, f"Control did not answer: {reason}.")
        return codes.failure(codes.Code.CONTROL_UNAVAILABLE, f"Control has no leader: {reason}.")

    async def _connected(self, address, seconds):
        """Returns the open link to an address, or None if it cannot be opened in time.

        Nothing was sent while there was no open link, so that a failure up to here is certain.
        """
        link = self._link_by_address.get(address)
        if link is None:
            link = self._link_by_address[address] = links.Link(address)
        until = self._now() + seconds
        while not link.connected:
            if self._now() >= until:
                return None
            await asyncio.sleep(CONNECT_POLL_SECONDS)
        return link

    def _turn_from(self, address):
        """Chooses the next address unless another task has already found a leader."""
        if self.leader != address:
            return
        position = self.addresses.index(address) if address in self.addresses else -1
        self.leader = self.addresses[(position + 1) % len(self.addresses)]


def _as_unavailable(failure):
    return codes.Failure(codes.Code.CONTROL_UNAVAILABLE, failure.message)
