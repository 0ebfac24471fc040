"""Client of control for gateways and tools: finds the leader and retries until a deadline.

Each failure says whether a command was certainly not appended (CONTROL_UNAVAILABLE) or whether its
outcome is unknown (MAY_HAVE_RUN). Retries send the same bytes, so that control recognises a command
by its operation id, or by its key and owner, and returns the first answer if an earlier copy was
applied.
"""

import asyncio

import expression

from chiveswitch.core import clock, codes, control_state
from chiveswitch.peers import kinds, links, strict

rpc = strict.load("control_rpc.thrift")

# Longer than a disk sync under load takes, and short enough to reach a new leader within the few
# seconds that a caller waits.
ATTEMPT_TIMEOUT_SECONDS = 0.7
CONNECT_TIMEOUT_SECONDS = 0.25
CONNECT_POLL_SECONDS = 0.01
RETRY_PAUSE_SECONDS = 0.05

# Codes of an answer which say that this copy of a command was not appended and never will be.
NOT_APPENDED_CODES = frozenset((codes.Code.NOT_LEADER, codes.Code.QUEUE_FULL))


class GatewayHeartbeat:
    """The content of the heartbeat that a gateway sends to control each second.

    The attributes are named as the fields of `rpc.Heartbeat`, which is built from them.

    Attributes:
        gateway_id: Name of the gateway.
        incarnation: Number that rises with each start of the gateway.
        availability_zone: Its zone.
        address: Its address for other processes of the system.
        state: `ready` or `draining`.
        known_serial: Serial of the bundle that it holds.
        known_gateways: Digest of the last list of live gateways that it received, 0 for none.
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
    """Sends requests to the leader of control; many tasks of one event loop may share it.

    Attributes:
        addresses: Addresses of the control members.
        leader: Address to try next: the last one that answered, or the leader that it named.
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
        all_links = list(self._link_by_address.values())
        return sum(link.bytes_out for link in all_links), sum(link.bytes_in for link in all_links)

    async def propose(self, record, deadline: float, trace: str = "") -> expression.Result:
        """Sends a command and waits until it is applied.

        Args:
            record: A command struct of `control_state.control_thrift`.
            deadline: Time until which to try, in seconds of CLOCK_BOOTTIME.
            trace: Trace context to pass on.

        Returns:
            The command's own result: Ok with an Answer or its refusal. CONTROL_UNAVAILABLE if it
            was certainly not appended and never will be; MAY_HAVE_RUN if it may have been applied
            or may still be.
        """
        payload = strict.encode(rpc.Propose(command=control_state.encode_command(record, 0)))
        kind = kinds.Kind.CONTROL_PROPOSE
        answered = await self._call_leader(kind, payload, rpc.ProposeAnswer, deadline, trace)
        if answered.is_error():
            return answered
        return control_state.decode_result(answered.ok[1].answer)

    async def heartbeat(self, beat: GatewayHeartbeat, deadline: float) -> expression.Result:
        """Sends a heartbeat.

        Returns:
            Ok with (time at which the answered attempt was sent, in seconds of CLOCK_BOOTTIME;
            HeartbeatAnswer of `control_rpc.thrift`), or CONTROL_UNAVAILABLE.
        """
        fields = {name: getattr(beat, name) for name in GatewayHeartbeat.__slots__}
        payload = strict.encode(rpc.Heartbeat(**fields))
        kind = kinds.Kind.CONTROL_HEARTBEAT
        answered = await self._call_leader(kind, payload, rpc.HeartbeatAnswer, deadline)
        return answered.map_error(_as_unavailable)

    async def find_request(self, account: str, request_id: str, deadline: float):
        """Looks up a durable request, confirmed by a majority.

        Returns:
            Ok with a ReadAnswer of `control_rpc.thrift`, or CONTROL_UNAVAILABLE.
        """
        payload = strict.encode(rpc.Read(account=account, request_id=request_id))
        answered = await self._call_leader(
            kinds.Kind.CONTROL_READ, payload, rpc.ReadAnswer, deadline
        )
        return answered.map(lambda pair: pair[1]).map_error(_as_unavailable)

    async def may_live(self, holder: str, deadline: float) -> expression.Result:
        """Asks whether a gateway incarnation may be alive, confirmed by a majority.

        Args:
            holder: Id under which the incarnation owns requests.
            deadline: Time until which to try, in seconds of CLOCK_BOOTTIME.

        Returns:
            Ok with a bool, or CONTROL_UNAVAILABLE.
        """
        payload = strict.encode(rpc.ReadOwner(holder=holder))
        kind = kinds.Kind.CONTROL_OWNER
        answered = await self._call_leader(kind, payload, rpc.OwnerAnswer, deadline)
        return answered.map(lambda pair: pair[1].may_live).map_error(_as_unavailable)

    async def fetch_published(self, known_version: int, deadline: float) -> expression.Result:
        """Reads the route bundle in force, confirmed by a majority.

        Args:
            known_version: Version that the caller holds, 0 for none.
            deadline: Time until which to try, in seconds of CLOCK_BOOTTIME.

        Returns:
            Ok with a PublishedAnswer of `control_rpc.thrift`, whose content is empty if its version
            is not above the known one, or CONTROL_UNAVAILABLE.
        """
        payload = strict.encode(rpc.ReadPublished(known_version=known_version))
        kind = kinds.Kind.CONTROL_PUBLISHED
        answered = await self._call_leader(kind, payload, rpc.PublishedAnswer, deadline)
        return answered.map(lambda pair: pair[1]).map_error(_as_unavailable)

    async def send_evidence(self, report, deadline: float) -> expression.Result:
        """Sends an EvidenceReport of `control_rpc.thrift` to the leader.

        Returns:
            Ok; CONTROL_UNAVAILABLE if the leader has certainly not counted the report; MAY_HAVE_RUN
            if it may have.
        """
        payload = strict.encode(report)
        kind = kinds.Kind.CONTROL_EVIDENCE
        answered = await self._call_leader(kind, payload, rpc.EvidenceAnswer, deadline)
        return answered.map(lambda pair: pair[1])

    async def fetch_rollout(self, service: str, deadline: float) -> expression.Result:
        """Reads the latest order of a service, confirmed by a majority.

        Returns:
            Ok with a RolloutAnswer of `control_rpc.thrift`, or CONTROL_UNAVAILABLE.
        """
        payload = strict.encode(rpc.ReadRollout(service_name=service))
        kind = kinds.Kind.CONTROL_ROLLOUTS
        answered = await self._call_leader(kind, payload, rpc.RolloutAnswer, deadline)
        return answered.map(lambda pair: pair[1]).map_error(_as_unavailable)

    async def join(self, member_id: str, address: str, deadline: float) -> expression.Result:
        """Asks the leader to add this process to the members.

        Returns:
            Ok with whether the process is a member already, or CONTROL_UNAVAILABLE.
        """
        payload = strict.encode(rpc.Join(member_id=member_id, address=address))
        answered = await self._call_leader(
            kinds.Kind.CONTROL_JOIN, payload, rpc.JoinAnswer, deadline
        )
        return answered.map(lambda pair: pair[1].is_member).map_error(_as_unavailable)

    def update_addresses(self, addresses: list):
        """Replaces the member addresses after a membership change."""
        self.addresses = list(addresses)
        if self.leader not in self.addresses:
            self.leader = self.addresses[0]

    async def status(self, deadline: float) -> expression.Result:
        """Returns Ok with the leader's status as JSON bytes, or CONTROL_UNAVAILABLE."""
        found = await self.find_request("", "", deadline)
        return found.map(lambda answer: answer.status)

    async def _call_leader(
        self, kind, payload, answer_class, deadline, trace=""
    ) -> expression.Result:
        """Sends a request until a leader answers it or the deadline passes.

        Returns:
            Ok with (time at which the answered attempt was sent, answer), CONTROL_UNAVAILABLE,
            MAY_HAVE_RUN, or the error of a member that refused the request as invalid.
        """
        may_be_appended = False
        reason = "no member answered"
        while True:
            remaining = deadline - self._now()
            if remaining <= 0:
                break
            address = self.leader
            link = await self._open_link(address, min(CONNECT_TIMEOUT_SECONDS, remaining))
            if link is None:
                reason = f"{address} cannot be reached"
                self._try_next_address(address)
                await asyncio.sleep(RETRY_PAUSE_SECONDS)
                continue
            sent_at = self._now()
            timeout = min(ATTEMPT_TIMEOUT_SECONDS, max(0.0, deadline - sent_at))
            result = await link.call(kind, payload, timeout, trace)
            if result.is_ok():
                result = strict.decode(answer_class, result.ok)
            elif result.error.code not in (codes.Code.LINK_CLOSED, codes.Code.LINK_TIMEOUT):
                # The member refused the bytes and would refuse them again.
                return result
            if result.is_ok() and result.ok.code == codes.Code.OK:
                self.leader = address
                return expression.Ok((sent_at, result.ok))
            if result.is_error():
                # The request may have been sent, and a delayed copy may still be executed.
                may_be_appended = True
                reason = f"{address}: {result.error.message}"
                self._try_next_address(address)
                await asyncio.sleep(RETRY_PAUSE_SECONDS)
                continue
            may_be_appended = may_be_appended or result.ok.code not in NOT_APPENDED_CODES
            reason = f"{address}: {result.ok.message}"
            leader_hint = result.ok.leader_address
            if leader_hint and leader_hint != address:
                self.leader = leader_hint
                # Until the next leader is elected, two members may name each other as the leader.
                # The pause keeps this loop from spinning between them.
                await asyncio.sleep(RETRY_PAUSE_SECONDS / 5)
                continue
            self._try_next_address(address)
            await asyncio.sleep(RETRY_PAUSE_SECONDS)
        if may_be_appended:
            return codes.failure(codes.Code.MAY_HAVE_RUN, f"Control did not answer: {reason}.")
        return codes.failure(codes.Code.CONTROL_UNAVAILABLE, f"Control has no leader: {reason}.")

    async def _open_link(self, address, seconds):
        """Returns the open link to an address, or None if it cannot be opened in time.

        Nothing is sent before the link is open, so that an attempt that fails here has certainly
        not appended the command.
        """
        link = self._link_by_address.get(address)
        if link is None:
            link = self._link_by_address[address] = links.Link(address)
        give_up_at = self._now() + seconds
        while not link.connected:
            if self._now() >= give_up_at:
                return None
            await asyncio.sleep(CONNECT_POLL_SECONDS)
        return link

    def _try_next_address(self, address):
        """Selects the address after `address`, unless another task has already selected another."""
        if self.leader != address:
            return
        position = self.addresses.index(address) if address in self.addresses else -1
        self.leader = self.addresses[(position + 1) % len(self.addresses)]


def _as_unavailable(failure):
    return codes.Failure(codes.Code.CONTROL_UNAVAILABLE, failure.message)
