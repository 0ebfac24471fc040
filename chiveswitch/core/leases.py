"""What the control leader knows about live gateways, and which of them adopts a durable request.

The leases are in the memory of the leader only. A new leader knows no gateway, so that it assigns
nothing until it has led for as long as a lease lasts.
"""

import xxhash

from chiveswitch.core import ranking

# A gateway sends a heartbeat each second; after this time two in a row were missed.
LEASE_S = 3.0
SCAN_INTERVAL_S = 0.25
# Bounds one heartbeat's answer; the others follow in the next ones.
MAX_ADOPTIONS = 64


class Lease:
    """The last heartbeat of one gateway incarnation.

    Attributes:
        gateway_id: Name of the gateway.
        incarnation: Number that rises with each start of the gateway.
        availability_zone: Its zone.
        address: Its address for other processes of the system.
        state: `ready` or `draining`.
        heard_at: Time at which the heartbeat arrived, in seconds of CLOCK_BOOTTIME.
    """

    __slots__ = (
        "gateway_id",
        "incarnation",
        "availability_zone",
        "address",
        "state",
        "heard_at",
    )

    def __init__(self, gateway_id, incarnation, availability_zone, address, state, heard_at):
        self.gateway_id = gateway_id
        self.incarnation = incarnation
        self.availability_zone = availability_zone
        self.address = address
        self.state = state
        self.heard_at = heard_at

    def holder(self) -> str:
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


class Leases:
    """Leases of gateways at a leader, empty at the start of its term.

    Attributes:
        led_since: Time at which the term began, in seconds of CLOCK_BOOTTIME.
        lease_by_holder: The last `Lease` of each incarnation.
    """

    __slots__ = (
        "led_since",
        "lease_by_holder",
        "_scan_at",
        "_requests_by_holder",
        "_view",
        "_view_at",
    )

    def __init__(self, led_since: float):
        self.led_since = led_since
        self.lease_by_holder = {}
        self._scan_at = led_since
        self._requests_by_holder = {}
        self._view = None
        self._view_at = led_since

    def hear(self, lease: Lease) -> None:
        """Takes a heartbeat that a majority has confirmed this leader for."""
        known = self.lease_by_holder.get(lease.holder())
        if known is None or known.heard_at <= lease.heard_at:
            self.lease_by_holder[lease.holder()] = lease
            if known is None or known.description() != lease.description():
                self._view = None

    def live(self, now: float) -> list[Lease]:
        """Returns the leases that have not ended, by name of their holder."""
        ended = [
            holder
            for holder, lease in self.lease_by_holder.items()
            if now >= lease.heard_at + LEASE_S
        ]
        for holder in ended:
            del self.lease_by_holder[holder]
        return sorted(self.lease_by_holder.values(), key=Lease.holder)

    def view(self, now: float) -> tuple:
        """Returns (digest, live leases), at most `SCAN_INTERVAL_S` old as to leases that ended."""
        if self._view is None or now >= self._view_at + SCAN_INTERVAL_S:
            live = self.live(now)
            self._view = (digest(live), live)
            self._view_at = now
        return self._view

    def adoptions(self, holder: str, requests, now: float) -> list:
        """Returns the unfinished requests that a gateway is to adopt.

        Args:
            holder: The live gateway that asks.
            requests: Iterable of all `RequestEntry` of the control state.
            now: Seconds of CLOCK_BOOTTIME.

        Returns:
            Entries whose owner has been silent for a lease and that rendezvous hashing assigns to
            this gateway.
        """
        if now < self.led_since + LEASE_S:
            return []
        if now >= self._scan_at:
            self._scan_at = now + SCAN_INTERVAL_S
            self._requests_by_holder = self._assign(requests, now)
        return self._requests_by_holder.get(holder, [])[:MAX_ADOPTIONS]

    def _assign(self, requests, now):
        live = self.live(now)
        owners = {lease.holder() for lease in live}
        ready = [
            ranking.Gateway(lease.holder(), lease.availability_zone)
            for lease in live
            if lease.state == "ready"
        ]
        assigned = {}
        for entry in requests:
            if entry.finished or entry.owner in owners or not ready:
                continue
            first = ranking.rank((entry.account, entry.request_id), ready)[0]
            assigned.setdefault(first.holder, []).append(entry)
        return assigned


def digest(live: list[Lease]) -> int:
    """Returns a positive number that changes with the list of live gateways."""
    text = repr([lease.description() for lease in live]).encode()
    return xxhash.xxh3_64_intdigest(text) >> 1
