"""Leases of live gateways at the control leader, and the assignment of durable requests to them.

Leases exist only in the memory of the leader. A new leader starts without any, so it assigns no
request until it has been the leader for the duration of a lease.
"""

import xxhash

from chiveswitch.core import ranking

# A gateway sends a heartbeat each second, so its lease ends after two missed heartbeats in a row.
LEASE_SECONDS = 3.0
# Longest time for which the list of live leases and the assignment of requests are reused.
SCAN_INTERVAL_SECONDS = 0.25
# Limits the size of one heartbeat answer. Further requests follow in the next answers.
MAX_ADOPTIONS_PER_ANSWER = 64


class Lease:
    """The last heartbeat of one gateway incarnation.

    Attributes:
        gateway_id: Name of the gateway.
        incarnation: Number that rises with each start of the gateway.
        availability_zone: Its zone.
        address: Its address for the other processes of the system.
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
        """Returns the id under which this incarnation of the gateway owns requests."""
        return f"{self.gateway_id}.{self.incarnation}"

    def description(self) -> tuple:
        """Returns all fields but the time, which changes with each heartbeat."""
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
        lease_by_holder: Dict of the last `Lease` of each gateway incarnation by holder id.
    """

    __slots__ = (
        "leader_since",
        "lease_by_holder",
        "_next_scan_at",
        "_requests_by_holder",
        "_cached_view",
        "_cached_at",
    )

    def __init__(self, leader_since: float):
        self.leader_since = leader_since
        self.lease_by_holder = {}
        self._next_scan_at = leader_since
        self._requests_by_holder = {}
        self._cached_view = None
        self._cached_at = leader_since

    def record_heartbeat(self, lease: Lease) -> None:
        """Starts or extends a lease.

        The caller must have had the leadership confirmed by a majority after the heartbeat arrived.
        """
        known_lease = self.lease_by_holder.get(lease.holder_id())
        if known_lease is None or known_lease.received_at <= lease.received_at:
            self.lease_by_holder[lease.holder_id()] = lease
            if known_lease is None or known_lease.description() != lease.description():
                self._cached_view = None

    def live_leases(self, now: float) -> list[Lease]:
        """Removes the leases that have ended and returns the others, sorted by holder id."""
        ended = [
            holder
            for holder, lease in self.lease_by_holder.items()
            if now >= lease.received_at + LEASE_SECONDS
        ]
        for holder in ended:
            del self.lease_by_holder[holder]
        return sorted(self.lease_by_holder.values(), key=Lease.holder_id)

    def may_live(self, holder: str, now: float) -> bool:
        """Returns whether a gateway incarnation may be alive.

        A leader knows all leases only when it has been the leader for the duration of one.
        """
        if now < self.leader_since + LEASE_SECONDS:
            return True
        return any(lease.holder_id() == holder for lease in self.live_leases(now))

    def digest_and_leases(self, now: float) -> tuple:
        """Returns (digest, live leases).

        An ended lease may still be listed for up to `SCAN_INTERVAL_SECONDS`.
        """
        if self._cached_view is None or now >= self._cached_at + SCAN_INTERVAL_SECONDS:
            live = self.live_leases(now)
            self._cached_view = (digest(live), live)
            self._cached_at = now
        return self._cached_view

    def requests_to_adopt(self, holder: str, requests, now: float) -> list:
        """Returns the unfinished requests that a gateway must adopt.

        Args:
            holder: Holder id of the live gateway that sent the heartbeat.
            requests: Iterable of all `RequestEntry` of the control state.
            now: Seconds of CLOCK_BOOTTIME.

        Returns:
            List of at most `MAX_ADOPTIONS_PER_ANSWER` entries whose owner's lease has ended and
            which rendezvous hashing assigns to this gateway.
        """
        if now < self.leader_since + LEASE_SECONDS:
            return []
        if now >= self._next_scan_at:
            self._next_scan_at = now + SCAN_INTERVAL_SECONDS
            self._requests_by_holder = self._assign_requests(requests, now)
        return self._requests_by_holder.get(holder, [])[:MAX_ADOPTIONS_PER_ANSWER]

    def _assign_requests(self, requests, now):
        live = self.live_leases(now)
        live_owners = {lease.holder_id() for lease in live}
        ready = [
            ranking.Gateway(lease.holder_id(), lease.availability_zone)
            for lease in live
            if lease.state == "ready"
        ]
        requests_by_holder = {}
        for entry in requests:
            if entry.finished or entry.owner in live_owners or not ready:
                continue
            first_gateway = ranking.rank_gateways((entry.account, entry.request_id), ready)[0]
            requests_by_holder.setdefault(first_gateway.holder, []).append(entry)
        return requests_by_holder


def digest(live: list[Lease]) -> int:
    """Returns a non-negative 63-bit digest of the list of live gateways."""
    text = repr([lease.description() for lease in live]).encode()
    return xxhash.xxh3_64_intdigest(text) >> 1
