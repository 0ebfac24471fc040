"""Room of gateways, and the gateways that the directory lists for a caller.

Room is the free share of a VM's scarcest resource. A gateway with enough room is listed in every
answer; one that is short of it is listed in a part of the answers, and other availability zones
serve the callers that the gateways of a zone cannot.
"""

import math
import random

# Room from which on a gateway is listed in every answer.
FULL_LISTING_ROOM = 0.5
# Smallest share of the answers in which a ready gateway is listed: requests show that it has
# recovered, and a zone is not left without gateways.
MIN_LISTING_SHARE = 0.1
# Time constants in seconds of falling and rising room. Callers keep answers for several seconds,
# so that room that rises quickly would bring them all back at once.
FALL_SECONDS = 1.0
RISE_SECONDS = 6.0
# Reported room is a multiple of this, and changes once the room is off by more than the second
# value.
REPORT_STEP = 0.125
REPORT_HYSTERESIS = 0.1
PERMILLE = 1000


class Usage:
    """Used shares of a VM's resources, 0 to 1; 0 for one whose size is unknown.

    Attributes:
        processor: Processor time.
        link: Rate of the network link.
        memory: Memory of the process.
        descriptors: File descriptors.
    """

    __slots__ = ("processor", "link", "memory", "descriptors")

    def __init__(self, processor: float, link: float, memory: float, descriptors: float):
        self.processor = processor
        self.link = link
        self.memory = memory
        self.descriptors = descriptors

    def room(self) -> float:
        """Returns the free share of the scarcest resource, 0 to 1."""
        used = max(self.processor, self.link, self.memory, self.descriptors)
        return min(1.0, max(0.0, 1.0 - used))

    def scarcest(self) -> str:
        """Returns the name of the scarcest resource, for logs."""
        return max(self.__slots__, key=lambda name: getattr(self, name))


class RoomMeter:
    """Smooths the room of one VM.

    Attributes:
        room: Smoothed room, 0 to 1.
        reported_permille: Room to report in thousandths, or None while the gateway is listed in
            every answer.
    """

    __slots__ = ("room", "reported_permille", "_observed_at")

    def __init__(self, now: float):
        self.room = 1.0
        self.reported_permille = None
        self._observed_at = now

    def observe(self, usage: Usage, now: float) -> bool:
        """Adds an observation; returns whether `reported_permille` has changed."""
        room = usage.room()
        constant_s = FALL_SECONDS if room < self.room else RISE_SECONDS
        weight = 1 - math.exp(-max(0.0, now - self._observed_at) / constant_s)
        self._observed_at = now
        self.room += (room - self.room) * weight
        reported = 1.0
        if self.reported_permille is not None:
            reported = self.reported_permille / PERMILLE
        if abs(min(self.room, FULL_LISTING_ROOM) - min(reported, FULL_LISTING_ROOM)) <= (
            REPORT_HYSTERESIS
        ):
            return False
        step_count = math.floor(self.room / REPORT_STEP)
        before = self.reported_permille
        self.reported_permille = None
        if step_count * REPORT_STEP < FULL_LISTING_ROOM:
            self.reported_permille = int(step_count * REPORT_STEP * PERMILLE)
        return self.reported_permille != before


def listing_share(room: float) -> float:
    """Returns the share of the answers in which a gateway is listed."""
    return min(1.0, max(MIN_LISTING_SHARE, room / FULL_LISTING_ROOM))


def draw_listed(room_by_gateway: dict, least: int, rng: random.Random) -> tuple[list, float]:
    """Draws the gateways of a zone for one answer.

    Args:
        room_by_gateway: Room by gateway, 0 to 1.
        least: Number of gateways that are listed at least, as far as there are so many.
        rng: Random source.

    Returns:
        The listed gateways in random order, and the share of the zone's callers, 0 to 1, that the
        other zones should serve.
    """
    gateways = list(room_by_gateway)
    rng.shuffle(gateways)
    listed, left_out, total_share = [], [], 0.0
    for gateway in gateways:
        share = listing_share(room_by_gateway[gateway])
        total_share += share
        (listed if rng.random() < share else left_out).append(gateway)
    missing = max(0, least - len(listed))
    if missing:
        left_out.sort(key=lambda gateway: room_by_gateway[gateway], reverse=True)
        listed += left_out[:missing]
    return listed, 1.0 - total_share / max(1, len(gateways))


def spill_count(listed_count: int, spill_share: float) -> int:
    """Returns how many gateways of other zones join those listed, so that they get a share.

    Args:
        listed_count: Number of listed gateways of the caller's zone.
        spill_share: Share of the callers that other zones should serve, below 1.
    """
    if spill_share <= 0:
        return 0
    return round(listed_count * spill_share / max(MIN_LISTING_SHARE, 1.0 - spill_share))


def draw_others(room_by_gateway: dict, count: int, rng: random.Random) -> list:
    """Draws gateways of other zones; those short of room are drawn less often.

    Args:
        room_by_gateway: Room by gateway, 0 to 1.
        count: Largest number of gateways.
        rng: Random source.
    """
    # Weighted sampling without replacement: the largest u^(1/weight) are drawn.
    key_by_gateway = {}
    for gateway, room in room_by_gateway.items():
        key_by_gateway[gateway] = rng.random() ** (1 / listing_share(room))
    return sorted(key_by_gateway, key=key_by_gateway.get, reverse=True)[:count]
