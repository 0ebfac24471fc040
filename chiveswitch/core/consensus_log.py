"""In-memory log of a node: the kept entries, their configurations and how far they are durable."""

from chiveswitch.core import consensus_messages as messages


class Log:
    """The entries after a base index, with the configurations among them.

    Attributes:
        base_index: Index of the last entry that is no longer kept.
        base_term: Term of the entry at `base_index`.
        entries: Kept entries, in order of index.
        durable_index: Highest index up to which all entries are known to be on disk.
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
        "_pending_syncs",
    )

    def __init__(self, snapshot: messages.Snapshot, entries: list[messages.Entry]):
        self.snapshot = snapshot
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self.entries = []
        self.configurations = [(snapshot.index, snapshot.configuration)]
        self._pending_syncs = []
        for entry in entries:
            self.append(entry)
        self.durable_index = self.last_index()

    def last_index(self) -> int:
        """Returns the index of the last entry."""
        return self.base_index + len(self.entries)

    def last_term(self) -> int:
        """Returns the term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Returns the term of the entry at an index, or None if it is not kept here."""
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
        in_force = self.configurations[0][1]
        for first_index, configuration in self.configurations:
            if first_index <= index:
                in_force = configuration
        return in_force

    def append(self, entry: messages.Entry) -> None:
        """Appends an entry, whose index must follow that of the last one."""
        self.entries.append(entry)
        if entry.kind == messages.EntryKind.CONFIGURATION:
            self.configurations.append((entry.index, messages.decode_configuration(entry.data)))

    def truncate(self, index: int) -> None:
        """Removes the entries at and after an index, with their configurations."""
        del self.entries[index - self.base_index - 1 :]
        self.configurations = [
            pair
            for pair in self.configurations
            if pair[0] < index or pair[0] == self.snapshot.index
        ]
        self.durable_index = min(self.durable_index, index - 1)
        # The write of a removed entry may complete later. It must not mark the entry that replaced
        # it as durable.
        self._pending_syncs = [item for item in self._pending_syncs if item[1] < index]

    def add_pending_sync(self, token: int, index: int) -> None:
        """Records that the entries up to an index are durable once a write completes.

        Args:
            token: Token of the write.
            index: Index of the last entry in the write.
        """
        self._pending_syncs.append((token, index))

    def mark_synced(self, token: int) -> None:
        """Raises `durable_index` to the last entry of the writes up to a token."""
        while self._pending_syncs and self._pending_syncs[0][0] <= token:
            self.durable_index = max(self.durable_index, self._pending_syncs.pop(0)[1])

    def slice_entries(self, first: int, max_entries: int, max_bytes: int) -> list[messages.Entry]:
        """Returns consecutive entries for one message.

        Args:
            first: Index of the first entry.
            max_entries: Limit of the number of entries.
            max_bytes: Limit of their data. The first entry is returned even if it is larger.
        """
        start = first - self.base_index - 1
        selected = []
        size_bytes = 0
        for entry in self.entries[start : start + max_entries]:
            size_bytes += len(entry.data)
            if selected and size_bytes > max_bytes:
                break
            selected.append(entry)
        return selected

    def first_index_of_term(self, index: int) -> int:
        """Returns the index of the first kept entry with the same term as the entry at an index."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def compact(
        self, snapshot: messages.Snapshot, trailing_entries: int, trailing_bytes: int
    ) -> None:
        """Adopts a durable snapshot of this log and drops entries that it covers.

        Args:
            snapshot: Snapshot of a committed prefix of this log.
            trailing_entries: Number of covered entries that are kept, so that members that lag
                need no snapshot.
            trailing_bytes: Limit of the data of the covered entries that are kept.
        """
        self.snapshot = snapshot
        later = [pair for pair in self.configurations if pair[0] > snapshot.index]
        self.configurations = [(snapshot.index, snapshot.configuration), *later]
        lowest_base = max(self.base_index, snapshot.index - trailing_entries)
        new_base = snapshot.index
        while new_base > lowest_base:
            trailing_bytes -= len(self.entries[new_base - self.base_index - 1].data)
            if trailing_bytes < 0:
                break
            new_base -= 1
        base_term = self.term_at(new_base)
        del self.entries[: new_base - self.base_index]
        self.base_index = new_base
        self.base_term = base_term
        self.durable_index = max(self.durable_index, snapshot.index)

    def reset(self, snapshot: messages.Snapshot) -> None:
        """Replaces the whole log with a durable snapshot."""
        self.snapshot = snapshot
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self.entries = []
        self.configurations = [(snapshot.index, snapshot.configuration)]
        self.durable_index = snapshot.index
        self._pending_syncs = []
