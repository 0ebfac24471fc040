"""Choice of the gateway addresses that a caller should use."""

import xxhash

# A caller may cache a response for this long, counted from the time at which it sent the request.
VALID_SECONDS = 10.0
# Validity of a response while the gateway's directory is not current. The gateway can then name
# only itself.
ISOLATED_VALID_SECONDS = 2.0
MAX_ADDRESSES = 4
# A draining gateway accepts new work for this long. Other gateways may return its address until its
# entry is stale (2.5 s), and callers may use their responses for VALID_SECONDS after that.
DRAIN_ACCEPT_SECONDS = 12.5


class GatewayAddresses:
    """Gateway addresses for one caller.

    Attributes:
        addresses: Up to `MAX_ADDRESSES` addresses `host:port`, the preferred one first.
        valid_s: Seconds for which the caller may use them.
    """

    __slots__ = ("addresses", "valid_s")

    def __init__(self, addresses, valid_s):
        self.addresses = addresses
        self.valid_s = valid_s


def choose_addresses(directory, client_account: str, caller: str, now: float) -> GatewayAddresses:
    """Returns the gateway addresses that a caller should use.

    Rendezvous hashing spreads callers evenly, and the loss of a gateway moves only its own callers.

    Args:
        directory: The gateway's `directory.Directory`.
        client_account: Account of the caller.
        caller: Text that distinguishes callers of one account, such as the caller's IP address.
        now: Own clock in seconds.
    """
    ranked = []
    for entry in directory.live_gateways(now):
        if entry.state != "ready":
            continue
        key = "\0".join((client_account, caller, entry.description.id))
        ranked.append((xxhash.xxh64_intdigest(key.encode()), entry.description))
    ranked.sort(key=lambda pair: (pair[0], pair[1].id), reverse=True)
    # The first pass takes one gateway per zone, so that some addresses remain usable after the loss
    # of a zone. The second pass fills the list.
    chosen, zones = [], set()
    for _, description in ranked:
        if len(chosen) == MAX_ADDRESSES or description.availability_zone in zones:
            continue
        zones.add(description.availability_zone)
        chosen.append(description)
    for _, description in ranked:
        if len(chosen) < MAX_ADDRESSES and description not in chosen:
            chosen.append(description)
    valid_s = VALID_SECONDS if directory.is_current(now) else ISOLATED_VALID_SECONDS
    return GatewayAddresses([description.address for description in chosen], valid_s)
