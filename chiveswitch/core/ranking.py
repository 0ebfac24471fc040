"""Ranks gateways for a request by rendezvous hashing; chooses holders and lookup candidates."""

import xxhash


class Gateway:
    """A live gateway.

    Attributes:
        holder: Holder id: the gateway's id with its incarnation.
        availability_zone: Name of its availability zone.
    """

    __slots__ = ("holder", "availability_zone")

    def __init__(self, holder: str, availability_zone: str):
        self.holder = holder
        self.availability_zone = availability_zone


def rank_gateways(key, gateways) -> list:
    """Returns the gateways by descending rendezvous rank for a key.

    Args:
        key: Tuple (account, request id).
        gateways: Iterable of `Gateway`.
    """
    account, request_id = key
    # The length prefix gives ("ab", "c") and ("a", "bc") different hash inputs.
    prefix = f"{len(account)}:{account}{request_id}\0".encode()
    digest = xxhash.xxh3_64_intdigest
    scored = [(digest(prefix + g.holder.encode()), g.holder, g) for g in gateways]
    scored.sort(reverse=True)
    return [gateway for _, _, gateway in scored]


def choose_next_holder(ranked, holders):
    """Returns the gateway to add to `holders`, or None if all gateways are in it.

    Args:
        ranked: Gateways by descending rank.
        holders: Holder ids that are already chosen.

    Returns:
        The highest ranked gateway in the availability zones with the fewest holders, so that no
        zone gets a second holder while another zone has none.
    """
    count_by_zone = {gateway.availability_zone: 0 for gateway in ranked}
    for gateway in ranked:
        if gateway.holder in holders:
            count_by_zone[gateway.availability_zone] += 1
    best = None
    for gateway in ranked:
        if gateway.holder in holders:
            continue
        count = count_by_zone[gateway.availability_zone]
        if best is None or count < count_by_zone[best.availability_zone]:
            best = gateway
    return best


def choose_holders(key, owner, gateways, replication_factor) -> list:
    """Returns the holder ids for a new request: the owner, then gateways in other zones.

    Args:
        key: Tuple (account, request id).
        owner: Holder id of the owner, which is among the gateways.
        gateways: Live gateways.
        replication_factor: Number of replicas, 3 or 5. If there are fewer gateways, all of them
            are returned.
    """
    ranked = rank_gateways(key, gateways)
    holders = [owner]
    while len(holders) < replication_factor:
        gateway = choose_next_holder(ranked, holders)
        if gateway is None:
            break
        holders.append(gateway.holder)
    return holders


def choose_lookup_candidates(key, gateways, known_holders=(), per_zone=2) -> list:
    """Returns the holder ids to which a takeover sends its lookups.

    Args:
        key: Tuple (account, request id).
        gateways: Live gateways.
        known_holders: Holder ids from a config that is already known.
        per_zone: Maximum number of gateways per availability zone.

    Returns:
        The known holders, then the highest ranked gateways of each zone, without duplicates.
    """
    candidates = list(dict.fromkeys(known_holders))
    count_by_zone = {}
    for gateway in rank_gateways(key, gateways):
        count = count_by_zone.get(gateway.availability_zone, 0)
        if count == per_zone:
            continue
        count_by_zone[gateway.availability_zone] = count + 1
        if gateway.holder not in candidates:
            candidates.append(gateway.holder)
    return candidates
