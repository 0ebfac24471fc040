"""The in-memory log of a node: a bounded list of entries, its configurations and its durability."""

from chiveswitch.core import consensus_messages as messages


class Log:
    """Entries after a base position, with the configurations that they contain.

    Attributes:
        base_index: Index before the first kept entry.
        base_term: Term of the entry at `base_index`.
        entries: Kept entries, in order of index.
        durable_index: Highest index up to which the log is known to be stored.
        snapshot: The latest durable snapshot. Entries before it may still be kept.
        configurations: Pairs (index, configuration) by rising index; the first covers the snapshot.
    """

    __slots__ = (
        "base_index",
        "base_term",
        "entries",
        "durable_index",
        "snapshot",
        "configurations",
        "_unsynced",
    )

    def __init__(self, snapshot: messages.Snapshot, entries: list[messages.Entry]):
        self.snapshot = snapshot
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self.entries = []
        self.configurations = [(snapshot.index, snapshot.configuration)]
        self._unsynced = []
        for entry in entries:
            self.append(entry)
        self.durable_index = self.last_index()

    def last_index(self) -> int:
        """Returns the index of the last entry."""
        return self.base_index + len(self.entries)

    def last_term(self) -> int:
        """Returns the term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term(self, index: int) -> int | None:
        """Returns the term of the entry at an index, or None if it is not known here."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index():
            return self.entries[index - self.base_index - 1].term
        return None

    def configuration(self) -> messages.Configuration:
        """Returns the latest configuration, committed or not."""
        return self.configurations[-1][1]

    def configuration_index(self) -> int:
        """Returns the index of the latest configuration."""
        return self.configurations[-1][0]

    def configuration_at(self, index: int) -> messages.Configuration:
        """Returns the configuration that was in force after the entry at an index."""
        found = self.configurations[0][1]
        for position, configuration in self.configurations:
            if position <= index:
                found = configuration
        return found

    def append(self, entry: messages.Entry) -> None:
        """Appends the entry that follows the last one."""
        self.entries.append(entry)
        if entry.kind == messages.EntryKind.CONFIGURATION:
            self.configurations.append((entry.index, messages.decode_configuration(entry.data)))

    def truncate(self, index: int) -> None:
        """Removes the entries from an index on, with the configurations in them."""
        del self.entries[index - self.base_index - 1 :]
        self.configurations = [
            pair
            for pair in self.configurations
            if pair[0] < index or pair[0] == self.snapshot.index
        ]
        self.durable_index = min(self.durable_index, index - 1)
        # A write of a removed entry that completes later must not count for its replacement.
        self._unsynced = [item for item in self._unsynced if item[1] < index]

    def await_sync(self, token: int, index: int) -> None:
        """Remembers that entries up to an index are durable once the token is."""
        self._unsynced.append((token, index))

    def synced(self, token: int) -> None:
        """Moves `durable_index` up to the entries whose tokens are done."""
        while self._unsynced and self._unsynced[0][0] <= token:
            self.durable_index = max(self.durable_index, self._unsynced.pop(0)[1])

    def slice(self, first: int, max_entries: int, max_bytes: int) -> list[messages.Entry]:
        """Returns entries from `first` on, at least one if there is one, within the limits."""
        start = first - self.base_index - 1
        chosen = []
        size = 0
        for entry in self.entries[start : start + max_entries]:
            size += len(entry.data)
            if chosen and size > max_bytes:
                break
            chosen.append(entry)
        return chosen

    def first_index_of_term(self, index: int) -> int:
        """Returns the first kept index of the run of equal terms that contains an index."""
        term = self.term(index)
        while index - 1 > self.base_index and self.term(index - 1) == term:
            index -= 1
        return index

    def compact(self, snapshot: messages.Snapshot, trailing_entries: int) -> None:
        """Adopts a durable snapshot of this log and drops old entries.

        Args:
            snapshot: Snapshot of a committed prefix of this log.
            trailing_entries: How many entries before the snapshot stay for members that lag.
        """
        self.snapshot = snapshot
        later = [pair for pair in self.configurations if pair[0] > snapshot.index]
        self.configurations = [(snapshot.index, snapshot.configuration), *later]
        new_base = max(self.base_index, snapshot.index - trailing_entries)
        base_term = self.term(new_base)
        del self.entries[: new_base - self.base_index]
        self.base_index = new_base
        self.base_term = base_term
        self.durable_index = max(self.durable_index, snapshot.index)

    def reset(self, snapshot: messages.Snapshot) -> None:
        """Replaces the whole log by a durable snapshot."""
        self.snapshot = snapshot
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self.entries = []
        self.configurations = [(snapshot.index, snapshot.configuration)]
        self.durable_index = snapshot.index
        self._unsynced = []
