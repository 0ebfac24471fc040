"""The response to a caller that asks which gateway addresses to use."""

import xxhash

# A caller may cache a response for this long, counted from before it asked.
VALID_SECONDS = 10.0
# Validity of a response by a gateway whose view is not current and that can name only itself.
ISOLATED_VALID_SECONDS = 2.0
MAX_ADDRESSES = 4
# A gateway that drains keeps accepting for this long: other gateways may hand out its address
# until its entry is stale (2.5 s), and their responses are valid for VALID_SECONDS after that.
DRAIN_ACCEPT_SECONDS = 12.5


class GatewayAddresses:
    """Addresses for one caller.

    Attributes:
        addresses: Up to 4 addresses `host:port`, the preferred one first.
        valid_s: Seconds for which the caller may use them.
    """

    __slots__ = ("addresses", "valid_s")

    def __init__(self, addresses, valid_s):
        self.addresses = addresses
        self.valid_s = valid_s


def choose_addresses(directory, client_account: str, caller: str, now: float) -> GatewayAddresses:
    """Returns the addresses for a caller.

    Rendezvous hashing spreads callers evenly, and a gateway's loss moves only its own callers.

    Args:
        directory: The gateway's `directory.Directory`.
        client_account: Account of the caller.
        caller: What tells callers of one account apart, such as the caller's IP address.
        now: Own clock in seconds.
    """
    ranked = []
    for entry in directory.live_gateways(now):
        if entry.state != "ready":
            continue
        key = "\0".join((client_account, caller, entry.description.id))
        ranked.append((xxhash.xxh64_intdigest(key.encode()), entry.description))
    ranked.sort(key=lambda pair: (pair[0], pair[1].id), reverse=True)
    # The first pass takes one gateway per zone, so that a zone's loss leaves other addresses.
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
