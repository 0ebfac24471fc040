"""Rank of a request: the order in which it is served, from the gateway's queues to the engines.

A client account's priority comes before its route's, which decides among accounts of equal priority
and stands for the account's if that has none. Among requests that are equal in both, those whose
stream has begun come before new ones, and then the one whose objective ends first.
"""

# Range of the urgencies that targets understand; 0 is served first.
MOST_URGENT, LEAST_URGENT = 0, 9
URGENCIES = LEAST_URGENT - MOST_URGENT + 1


class Rank:
    """Rank of one request.

    Attributes:
        priority: Priority of its account, or else of its route; 0 is the most urgent.
        route_priority: Priority of its route.
        is_begun: Whether its caller already has a part of the stream.
        objective_at: Time in seconds until which the response, or its first event, is on time.
    """

    __slots__ = ("priority", "route_priority", "is_begun", "objective_at")

    def __init__(self, priority: int, route_priority: int, is_begun: bool, objective_at: float):
        self.priority = priority
        self.route_priority = route_priority
        self.is_begun = is_begun
        self.objective_at = objective_at

    @property
    def priorities(self) -> tuple:
        """The pair of both priorities; the lower pair is the more urgent one."""
        return self.priority, self.route_priority

    def key(self) -> tuple:
        """Returns the sort key; the lowest one is served first."""
        return self.priorities, not self.is_begun, self.objective_at

    def level(self, known_priorities: tuple) -> int:
        """Returns the number of more urgent pairs among those of a service."""
        return sum(each < self.priorities for each in known_priorities)

    def __lt__(self, other):
        return self.key() < other.key()


def urgency(rank: Rank, known_priorities: tuple) -> int | None:
    """Returns the urgency to send to a target, from 0 to 9, or None if all requests are equal.

    Up to five pairs of priorities have two urgencies each, of which begun streams get the first
    one. If there are more, each has one, and the last one is shared by the remaining pairs.

    Args:
        rank: Rank of the request.
        known_priorities: Pairs of priorities of all requests to the service; see
            `routing.ServiceOrder`.
    """
    if len(known_priorities) < 2:
        return None
    level = rank.level(known_priorities)
    if 2 * len(known_priorities) <= URGENCIES:
        return min(2 * level + (not rank.is_begun), LEAST_URGENT)
    return min(level, LEAST_URGENT)
