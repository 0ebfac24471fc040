"""Divides the memory and the connections of a process among what others make it hold.

Holders count what they hold in accounts. The budget has a limit for each kind, so that no kind can
take the room of another one, and tells which holders must give way when a kind is over its limit.
"""

import enum

# Memory in bytes that the process needs for itself: code, tables, connections and log.
PROCESS_BYTES = 56_000_000
# Smallest share of the machine's memory that counts as free for what others make it hold.
MIN_FREE_SHARE = 0.25
# Share of the free memory that may be counted as held. The rest is for copies in the making, for
# buffers of the system, and for freed memory that is not returned to it.
HELD_SHARE = 0.5
# Bytes that may be held by a process whose settings do not state its memory.
DEFAULT_HELD_BYTES = 64 * 1024 * 1024
# Bytes of incomplete responses, over all targets, above which each one may hold little; the limit
# of their kind by default.
LIMIT_BYTES = 16 * 1024 * 1024
# Largest cost in bytes of a small request. These have a limit of their own, so that they pass
# beside large ones.
SMALL_REQUEST_BYTES = 64 * 1024
# Memory in bytes of a request without fields, and of one header field beside its text.
REQUEST_BYTES = 1000
FIELD_BYTES = 350
# Share of a limit to which holders are evicted once it is exceeded, so that evictions are rare.
EVICTION_SHARE = 0.875
# Multiple of a limit above which large requests no longer wait for room.
WAITING_FACTOR = 2
# Time in seconds without progress after which a holder counts as stalled.
STALLED_SECONDS = 0.3
# Descriptors that the platform reserves for files outside the data folder.
RESERVED_DESCRIPTORS = 200
# Share of the connections that is closed at once when a listener has too many, so that the search
# for the idlest ones is rare.
CONNECTION_EVICTION_SHARE = 1 / 32


class Kind(enum.IntEnum):
    """What is held."""

    SMALL_REQUESTS = 0
    LARGE_REQUESTS = 1
    # Large requests to listeners other than that of the callers.
    LARGE_OTHER_REQUESTS = 2
    # Bytes of responses that were written and that the receiver has not taken.
    ANSWERS = 3
    # Incomplete responses of targets.
    RESPONSES = 4
    # Incomplete frames of peers.
    FRAMES = 5
    # Small requests to listeners other than that of the callers, such as announcements.
    SMALL_OTHER_REQUESTS = 6


# Kinds of small and of large requests, of callers and of others.
CALLERS_KINDS = (Kind.SMALL_REQUESTS, Kind.LARGE_REQUESTS)
OTHERS_KINDS = (Kind.SMALL_OTHER_REQUESTS, Kind.LARGE_OTHER_REQUESTS)

SHARE_BY_KIND = {
    Kind.SMALL_REQUESTS: 3 / 16,
    Kind.LARGE_REQUESTS: 4 / 16,
    Kind.LARGE_OTHER_REQUESTS: 3 / 32,
    Kind.SMALL_OTHER_REQUESTS: 1 / 32,
    Kind.ANSWERS: 2 / 16,
    Kind.RESPONSES: 4 / 16,
    Kind.FRAMES: 1 / 16,
}


class Listener(enum.Enum):
    """Whose connections a listener accepts."""

    CALLERS = "callers"
    OTHERS = "others"
    PEERS = "peers"


# Shares of the free descriptors that the connections of one listener may take. The rest is for
# channels to targets and links to peers.
CONNECTION_SHARE_BY_LISTENER = {
    Listener.CALLERS: 3 / 8,
    Listener.OTHERS: 1 / 16,
    Listener.PEERS: 1 / 4,
}


class MemoryBudget:
    """The bytes that the holders of a process have counted here.

    Attributes:
        limit_by_kind: Bytes by `Kind` above which holders of the kind have to give way.
        held_by_kind: Bytes held at present by `Kind`.
    """

    __slots__ = ("limit_by_kind", "held_by_kind", "_max_descriptors")

    def __init__(self, memory_bytes: int = 0, max_descriptors: int = 0):
        """Creates a budget in which nothing is held.

        Args:
            memory_bytes: Memory that the process may use, 0 if unknown.
            max_descriptors: Descriptors that the process may open, 0 if unknown.
        """
        held_bytes = DEFAULT_HELD_BYTES
        if memory_bytes:
            free_bytes = max(memory_bytes - PROCESS_BYTES, memory_bytes * MIN_FREE_SHARE)
            held_bytes = free_bytes * HELD_SHARE
        self.limit_by_kind = [int(held_bytes * SHARE_BY_KIND[kind]) for kind in Kind]
        self.held_by_kind = [0] * len(Kind)
        self._max_descriptors = max_descriptors

    @property
    def held_bytes(self) -> int:
        """Bytes of incomplete responses of targets."""
        return self.held_by_kind[Kind.RESPONSES]

    @property
    def is_short(self) -> bool:
        """Whether holders of responses have to make do with their smaller limits."""
        return self.held_by_kind[Kind.RESPONSES] > self.limit_by_kind[Kind.RESPONSES]

    def callers_share(self) -> float:
        """Returns the used share of the scarcest limit that callers meet, above 1 if exceeded."""
        kinds = (*CALLERS_KINDS, Kind.ANSWERS)
        return max(self.held_by_kind[kind] / self.limit_by_kind[kind] for kind in kinds)

    def is_over(self, kind: Kind) -> bool:
        """Returns whether more than its limit is held of a kind."""
        return self.held_by_kind[kind] > self.limit_by_kind[kind]

    def excess_bytes(self, kind: Kind) -> float:
        """Returns the bytes that have to be given up once a kind is over its limit."""
        return self.held_by_kind[kind] - EVICTION_SHARE * self.limit_by_kind[kind]

    def may_wait(self, kind: Kind) -> bool:
        """Returns whether further holders over the limit may wait for room."""
        return self.held_by_kind[kind] <= WAITING_FACTOR * self.limit_by_kind[kind]

    def open_account(self, kind: Kind = Kind.RESPONSES):
        """Returns a new `Account` of this budget."""
        return Account(self, kind)

    def max_connections(self, listener: Listener) -> int:
        """Returns the number of connections that a listener may have, or 0 if unlimited."""
        if not self._max_descriptors:
            return 0
        free_count = max(0, self._max_descriptors - RESERVED_DESCRIPTORS)
        return max(1, int(free_count * CONNECTION_SHARE_BY_LISTENER[listener]))


class Account:
    """What one holder has counted in a `MemoryBudget`.

    Attributes:
        budget: The `MemoryBudget`.
        kind: `Kind` under which it is counted.
        held_bytes: Bytes counted at present.
    """

    __slots__ = ("budget", "kind", "held_bytes")

    def __init__(self, budget: MemoryBudget, kind: Kind):
        self.budget = budget
        self.kind = kind
        self.held_bytes = 0

    def update(self, held_bytes: int):
        """Counts the bytes that the holder has now; 0 when it gives them up."""
        self.budget.held_by_kind[self.kind] += held_bytes - self.held_bytes
        self.held_bytes = held_bytes

    def update_request(self, held_bytes: int, kinds: tuple = CALLERS_KINDS):
        """Counts a request as a small or large one, by its cost.

        Args:
            held_bytes: Bytes that it makes the process hold.
            kinds: Its kind if it is small, and if it is large.
        """
        kind = kinds[held_bytes > SMALL_REQUEST_BYTES]
        if kind is not self.kind:
            self.update(0)
            self.kind = kind
        self.budget.held_by_kind[kind] += held_bytes - self.held_bytes
        self.held_bytes = held_bytes

    @property
    def is_over(self) -> bool:
        """Whether the holder's kind is over its limit."""
        budget = self.budget
        return budget.held_by_kind[self.kind] > budget.limit_by_kind[self.kind]

    @property
    def is_alone(self) -> bool:
        """Whether no other holder of the kind has counted anything."""
        return self.budget.held_by_kind[self.kind] == self.held_bytes


class Claim:
    """What one holder has, for the decision who gives way.

    Attributes:
        holder: The holder.
        held_bytes: Bytes that it would give up.
        stalled_s: Seconds since it last made progress.
        age_s: Seconds since its request began.
        waiting_s: Seconds for which the process has not read from it for want of room, or None.
    """

    __slots__ = ("holder", "held_bytes", "stalled_s", "age_s", "waiting_s")

    def __init__(
        self,
        holder,
        held_bytes: int,
        stalled_s: float,
        age_s: float = 0.0,
        waiting_s: float | None = None,
    ):
        self.holder = holder
        self.held_bytes = held_bytes
        self.stalled_s = stalled_s
        self.age_s = age_s
        self.waiting_s = waiting_s


def choose_evicted(claims: list[Claim], excess_bytes: float) -> list:
    """Returns the holders that give up `excess_bytes`, as far as there are enough.

    Those go first that have held most for longest without progress. A holder that waits for room
    makes none through no fault of its own.
    """

    def weight(claim):
        stalled_s = claim.stalled_s if claim.waiting_s is None else 0.0
        return claim.held_bytes * (STALLED_SECONDS + stalled_s)

    evicted = []
    for claim in sorted(claims, key=weight, reverse=True):
        if excess_bytes <= 0:
            break
        evicted.append(claim.holder)
        excess_bytes -= claim.held_bytes
    return evicted


def choose_for_waiting(claims: list[Claim], excess_bytes: float) -> list:
    """Returns the holders that give way to those that wait for room.

    These are stalled ones. If there are none and the oldest request has waited for long, it gets
    room from the newest ones, so that the others can end.
    """
    stalled = [c for c in claims if c.waiting_s is None and c.stalled_s >= STALLED_SECONDS]
    if stalled:
        return choose_evicted(stalled, excess_bytes)
    waiting = [claim for claim in claims if claim.waiting_s is not None]
    waiting.sort(key=lambda claim: claim.age_s)
    if not waiting or waiting[-1].waiting_s < STALLED_SECONDS:
        return []
    evicted = []
    for claim in waiting[:-1]:
        if excess_bytes <= 0:
            break
        evicted.append(claim.holder)
        excess_bytes -= claim.held_bytes
    return evicted


class IdleClaim:
    """What one connection of a listener does, for the decision which ones are closed.

    Attributes:
        connection: The connection.
        is_serving: Whether a request is in progress or an answer is not sent.
        served_count: Number of requests that were answered on it.
        active_at: Time of its last progress in seconds.
    """

    __slots__ = ("connection", "is_serving", "served_count", "active_at")

    def __init__(self, connection, is_serving: bool, served_count: int, active_at: float):
        self.connection = connection
        self.is_serving = is_serving
        self.served_count = served_count
        self.active_at = active_at


def choose_closed(claims: list[IdleClaim], max_connections: int) -> list:
    """Returns the connections to close so that a listener has no more than `max_connections`.

    Those go first that never had a request answered, then idle ones, and last those with a request
    in progress; among equal ones those that made no progress for longest.
    """
    count = len(claims) - max_connections
    if count <= 0:
        return []
    count += int(max_connections * CONNECTION_EVICTION_SHARE)
    claims = sorted(claims, key=lambda c: (c.is_serving, c.served_count > 0, c.active_at))
    idle_count = sum(not claim.is_serving for claim in claims)
    # Requests in progress are ended only as far as it is inevitable.
    count = min(count, max(idle_count, len(claims) - max_connections))
    return [claim.connection for claim in claims[:count]]
