"""Counts the bytes of responses that a process holds, and tells when they are too many."""

# Bytes of incomplete responses, over all targets, above which each one may hold little.
LIMIT_BYTES = 16 * 1024 * 1024


class MemoryBudget:
    """The bytes that the holders of a process have counted here.

    Attributes:
        held_bytes: Bytes held at present.
    """

    __slots__ = ("held_bytes",)

    def __init__(self):
        self.held_bytes = 0

    @property
    def is_short(self) -> bool:
        """Whether so much is held that holders have to make do with their smaller limits."""
        return self.held_bytes > LIMIT_BYTES

    def open_account(self):
        """Returns a new `Account` of this budget."""
        return Account(self)


class Account:
    """What one holder has counted in a `MemoryBudget`."""

    __slots__ = ("budget", "_held_bytes")

    def __init__(self, budget: MemoryBudget):
        self.budget = budget
        self._held_bytes = 0

    def update(self, held_bytes: int):
        """Counts the bytes that the holder has now; 0 when it gives them up."""
        self.budget.held_bytes += held_bytes - self._held_bytes
        self._held_bytes = held_bytes
