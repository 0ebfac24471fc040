"""What the control leader knows about live gateways, and which of them adopts a durable request.

The leases are in the memory of the leader only. A new leader knows no gateway, so that it assigns
nothing until it has led for as long as a lease lasts.
"""

import xxhash

from chiveswitch.core import ranking

# A gateway sends a heartbeat each second; after this time two in a row were missed.
LEASE_SECONDS = 3.0
SCAN_INTERVAL_SECONDS = 0.25
# Bounds one heartbeat's answer; the others follow in the next ones.
MAX_ADOPTIONS_PER_ANSWER = 64


class Lease:
    """The last heartbeat of one gateway incarnation.

    Attributes:
        gateway_id: Name of the gateway.
        incarnation: Number that rises with each start of the gateway.
        availability_zone: Its zone.
        address: Its address for other processes of the system.
        state: `ready` or `draining`.
        received_at: Time at which the heartbeat arrived, in seconds of CLOCK_BOOTTIME.
    """

    __slots__ = (
        "gateway_id",
        "incarnation",
        "availability_zone",
        "address",
        "state",
        "received_at",
    )

    def __init__(self, gateway_id, incarnation, availability_zone, address, state, received_at):
        self.gateway_id = gateway_id
        self.incarnation = incarnation
        self.availability_zone = availability_zone
        self.address = address
        self.state = state
        self.received_at = received_at

    def holder_id(self) -> str:
        """Returns the name under which the incarnation owns requests."""
        return f"{self.gateway_id}.{self.incarnation}"

    def description(self) -> tuple:
        """Returns all fields that do not change with each heartbeat."""
        return (
            self.gateway_id,
            self.incarnation,
            self.availability_zone,
            self.address,
            self.state,
        )


class LeaseTable:
    """Leases of gateways at a leader, empty at the start of its term.

    Attributes:
        leader_since: Time at which the term began, in seconds of CLOCK_BOOTTIME.
        lease_by_holder: The last `Lease` of each incarnation.
    """

    __slots__ = (
        "leader_since",
        "lease_by_holder",
        "_scan_at",
        "_requests_by_holder",
        "_view",
        "_view_at",
    )

    def __init__(self, leader_since: float):
        self.leader_since = leader_since
        self.lease_by_holder = {}
        self._scan_at = leader_since
        self._requests_by_holder = {}
        self._view = None
        self._view_at = leader_since

    def record_heartbeat(self, lease: Lease) -> None:
        """Takes a heartbeat that a majority has confirmed this leader for."""
        known = self.lease_by_holder.get(lease.holder_id())
        if known is None or known.received_at <= lease.received_at:
            self.lease_by_holder[lease.holder_id()] = lease
            if known is None or known.description() != lease.description():
                self._view = None

    def live_leases(self, now: float) -> list[Lease]:
        """Returns the leases that have not ended, by name of their holder."""
        ended = [
            holder
            for holder, lease in self.lease_by_holder.items()
            if now >= lease.received_at + LEASE_SECONDS
        ]
        for holder in ended:
            del self.lease_by_holder[holder]
        return sorted(self.lease_by_holder.values(), key=Lease.holder_id)

    def digest_and_leases(self, now: float) -> tuple:
        """Returns (digest, live leases).

        An ended lease may still be listed for up to `SCAN_INTERVAL_SECONDS`.
        """
        if self._view is None or now >= self._view_at + SCAN_INTERVAL_SECONDS:
            live = self.live_leases(now)
            self._view = (digest(live), live)
            self._view_at = now
        return self._view

    def requests_to_adopt(self, holder: str, requests, now: float) -> list:
        """Returns the unfinished requests that a gateway is to adopt.

        Args:
            holder: The live gateway that asks.
            requests: Iterable of all `RequestEntry` of the control state.
            now: Seconds of CLOCK_BOOTTIME.

        Returns:
            Entries whose owner has been silent for a lease and that rendezvous hashing assigns to
            this gateway.
        """
        if now < self.leader_since + LEASE_SECONDS:
            return []
        if now >= self._scan_at:
            self._scan_at = now + SCAN_INTERVAL_SECONDS
            self._requests_by_holder = self._assign(requests, now)
        return self._requests_by_holder.get(holder, [])[:MAX_ADOPTIONS_PER_ANSWER]

    def _assign(self, requests, now):
        live = self.live_leases(now)
        owners = {lease.holder_id() for lease in live}
        ready = [
            ranking.Gateway(lease.holder_id(), lease.availability_zone)
            for lease in live
            if lease.state == "ready"
        ]
        assigned = {}
        for entry in requests:
            if entry.finished or entry.owner in owners or not ready:
                continue
            first = ranking.rank_gateways((entry.account, entry.request_id), ready)[0]
            assigned.setdefault(first.holder, []).append(entry)
        return assigned


def digest(live: list[Lease]) -> int:
    """Returns a positive number that changes with the list of live gateways."""
    text = repr([lease.description() for lease in live]).encode()
    return xxhash.xxh3_64_intdigest(text) >> 1
