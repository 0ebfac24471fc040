"""Rank of a request: the order in which it is served, from the gateway's queues to the engines.

A client account's priority takes the place of its route's. Among requests of equal priority, those
whose stream has begun come before new ones, and then the one whose objective ends first.
"""

# Range of the urgencies that targets understand; 0 is served first.
MOST_URGENT, LEAST_URGENT = 0, 9
URGENCIES = LEAST_URGENT - MOST_URGENT + 1


class Rank:
    """Rank of one request.

    Attributes:
        priority: Priority of its account, or else of its route; 0 is the most urgent.
        is_begun: Whether its caller already has a part of the stream.
        objective_at: Time in seconds until which the response, or its first event, is on time.
    """

    __slots__ = ("priority", "is_begun", "objective_at")

    def __init__(self, priority: int, is_begun: bool, objective_at: float):
        self.priority = priority
        self.is_begun = is_begun
        self.objective_at = objective_at

    def key(self) -> tuple:
        """Returns the sort key; the lowest one is served first."""
        return self.priority, not self.is_begun, self.objective_at

    def __lt__(self, other):
        return self.key() < other.key()


def urgency(rank: Rank, priorities: tuple) -> int | None:
    """Returns the urgency to send to a target, from 0 to 9, or None if there is only one priority.

    Up to five priorities have two levels each, of which begun streams get the first one. If there
    are more, each has one, and the last level is shared by the remaining ones.

    Args:
        rank: Rank of the request.
        priorities: All priorities of the requests to the service, in ascending order.
    """
    if len(priorities) < 2:
        return None
    level = sum(priority < rank.priority for priority in priorities)
    if 2 * len(priorities) <= URGENCIES:
        return min(2 * level + (not rank.is_begun), LEAST_URGENT)
    return min(level, LEAST_URGENT)


def is_patient(rank: Rank, priorities: tuple) -> bool:
    """Returns whether a service has more urgent requests than this one."""
    return bool(priorities) and rank.priority > priorities[0]
