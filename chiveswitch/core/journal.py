"""Holder side of the replicated journal: the store of one gateway and the replication messages.

A holder id names a gateway together with its incarnation. A restarted gateway has lost its memory
and therefore gets a new holder id, so that the promises it has lost are never counted. An epoch
is the tuple (counter, holder id of the owner), compared in that order. Configs are compared by
(accepted epoch, version): within one epoch a single owner numbers them, and a takeover starts from
a config that a majority has accepted under the takeover's epoch.
"""

import collections

from chiveswitch.core import codes

NO_EPOCH = (0, "")
# Overhead per token: CPython stores a short ASCII string in 49 bytes plus its text, and a list slot
# takes 8 bytes.
BYTES_PER_TOKEN = 57
# Overhead per journal: tools/journal_benchmark.py measured 1,006 bytes with key and config. The
# other half is a reserve for the allocator and for longer keys.
BYTES_PER_JOURNAL = 2000
# Value of `Gap.length` that requests a full Install.
NEEDS_INSTALL = -1
# Epochs of past owners kept per journal. Each takeover adds one, and few journals have two.
MAX_ACCEPTED_EPOCHS = 16


class Record:
    """Base class of records: compares and prints the fields that `__slots__` lists."""

    __slots__ = ()

    def _fields(self):
        return tuple(getattr(self, name) for name in self.__slots__)

    def __eq__(self, other):
        return type(self) is type(other) and self._fields() == other._fields()

    __hash__ = None

    def __repr__(self):
        fields = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.__slots__)
        return f"{type(self).__name__}({fields})"


class Config(Record):
    """The set of holders of one journal; a joint config while a change is in progress.

    Attributes:
        version: Number that rises by one with every change under one epoch.
        holders: Tuple of holder ids.
        previous_holders: Tuple of the holder ids before the change in progress, empty if there is
            none.
    """

    __slots__ = ("version", "holders", "previous_holders")

    def __init__(self, version, holders, previous_holders=()):
        self.version = version
        self.holders = tuple(holders)
        self.previous_holders = tuple(previous_holders)

    def members(self) -> tuple:
        """Returns the holders, followed by the previous holders that are not among them."""
        if not self.previous_holders:
            return self.holders
        removed_holders = tuple(h for h in self.previous_holders if h not in self.holders)
        return self.holders + removed_holders

    def has_majority(self, holders) -> bool:
        """Returns whether `holders` has a majority of the holders and of the previous holders."""
        for group in (self.holders, self.previous_holders):
            if group and 2 * sum(h in holders for h in group) <= len(group):
                return False
        return True


class Attempt(Record):
    """The engine attempt that produces the tokens, so that a new owner can reattach to it.

    Attributes:
        engine: Engine id.
        number: Attempt number, at least 1, which rises with each attempt of the request.
    """

    __slots__ = ("engine", "number")

    def __init__(self, engine, number):
        self.engine = engine
        self.number = number


class Snapshot(Record):
    """The full content of a journal without its epochs.

    Attributes:
        config: The `Config`.
        header: Opaque bytes with the request data that was fixed at admission.
        keep_s: Seconds for which the finished journal is kept.
        generation: Generation number.
        tokens: List of the token strings.
        end: Final offset, or None while the generation runs.
        attempt: `Attempt` or None.
    """

    __slots__ = ("config", "header", "keep_s", "generation", "tokens", "end", "attempt")

    def __init__(self, config, header, keep_s, generation, tokens, end=None, attempt=None):
        self.config = config
        self.header = header
        self.keep_s = keep_s
        self.generation = generation
        self.tokens = tokens
        self.end = end
        self.attempt = attempt


class Install(Record):
    """Owner to holder: a full journal. With `fresh`, it must not replace an existing journal."""

    __slots__ = ("key", "epoch", "fresh", "snapshot")

    def __init__(self, key, epoch, fresh, snapshot):
        self.key = key
        self.epoch = epoch
        self.fresh = fresh
        self.snapshot = snapshot


class Append(Record):
    """Owner to holder: tokens from `offset` on, with an optional end and an optional `Attempt`."""

    __slots__ = (
        "key",
        "epoch",
        "config_version",
        "generation",
        "offset",
        "tokens",
        "end",
        "attempt",
    )

    def __init__(
        self, key, epoch, config_version, generation, offset, tokens, end=None, attempt=None
    ):
        self.key = key
        self.epoch = epoch
        self.config_version = config_version
        self.generation = generation
        self.offset = offset
        self.tokens = tokens
        self.end = end
        self.attempt = attempt


class Configure(Record):
    """Owner to holder: a config change."""

    __slots__ = ("key", "epoch", "config")

    def __init__(self, key, epoch, config):
        self.key = key
        self.epoch = epoch
        self.config = config


class Promise(Record):
    """Takeover to holder: accept no lower epoch from now on, and return the journal."""

    __slots__ = ("key", "epoch")

    def __init__(self, key, epoch):
        self.key = key
        self.epoch = epoch


class Lookup(Record):
    """Takeover to candidate: read-only request for the config and length of a journal."""

    __slots__ = ("key",)

    def __init__(self, key):
        self.key = key


class Release(Record):
    """Owner to holder: drop the journal.

    Attributes:
        finished: Whether the request is complete, so that all of its holders drop the journal.
            Otherwise only the receiver does, because it has left the config.
    """

    __slots__ = ("key", "epoch", "config_version", "finished")

    def __init__(self, key, epoch, config_version, finished=False):
        self.key = key
        self.epoch = epoch
        self.config_version = config_version
        self.finished = finished


class AppendBatch(Record):
    """The `Append` entries of one event loop pass for one holder.

    Attributes:
        owner: Holder id of the sender, which is the owner in the epochs of all entries.
        entries: List of `Append`.
    """

    __slots__ = ("owner", "entries")

    def __init__(self, owner, entries):
        self.owner = owner
        self.entries = entries


class Accepted(Record):
    """Reply to Install, Append and Configure: the state that the holder accepted under `epoch`."""

    __slots__ = (
        "key",
        "epoch",
        "config_version",
        "generation",
        "length",
        "ended",
        "attempt_number",
    )

    def __init__(self, key, epoch, config_version, generation, length, ended, attempt_number):
        self.key = key
        self.epoch = epoch
        self.config_version = config_version
        self.generation = generation
        self.length = length
        self.ended = ended
        self.attempt_number = attempt_number


class Gap(Record):
    """Reply to an Append or Configure that cannot be applied.

    Attributes:
        length: Number of tokens held, from which the owner must resend, or NEEDS_INSTALL.
    """

    __slots__ = ("key", "epoch", "generation", "length")

    def __init__(self, key, epoch, generation, length):
        self.key = key
        self.epoch = epoch
        self.generation = generation
        self.length = length


class Refused(Record):
    """Reply that refuses a message sent under `epoch`.

    Attributes:
        code: EPOCH_SUPERSEDED, or QUEUE_FULL when a limit of the store is reached.
        promised: Highest epoch that the holder has promised.
    """

    __slots__ = ("key", "epoch", "code", "promised")

    def __init__(self, key, epoch, code, promised=NO_EPOCH):
        self.key = key
        self.epoch = epoch
        self.code = code
        self.promised = promised


class Unknown(Record):
    """Reply of a holder that has no journal for the key. It must not count as an empty journal.

    Attributes:
        finished_epochs: Tuple of the epochs under which this holder had accepted the journal
            before the owner released the finished request. Empty if the holder has no tombstone of
            a finished request.
    """

    __slots__ = ("key", "epoch", "finished_epochs")

    def __init__(self, key, epoch=NO_EPOCH, finished_epochs=()):
        self.key = key
        self.epoch = epoch
        self.finished_epochs = finished_epochs


class Promised(Record):
    """Reply to Promise: the full journal and the epoch under which it was accepted."""

    __slots__ = ("key", "epoch", "accepted", "snapshot")

    def __init__(self, key, epoch, accepted, snapshot):
        self.key = key
        self.epoch = epoch
        self.accepted = accepted
        self.snapshot = snapshot


class Found(Record):
    """Reply to Lookup: the epochs, config and position of the journal."""

    __slots__ = ("key", "promised", "accepted", "config", "generation", "length", "end")

    def __init__(self, key, promised, accepted, config, generation, length, end):
        self.key = key
        self.promised = promised
        self.accepted = accepted
        self.config = config
        self.generation = generation
        self.length = length
        self.end = end


class Released(Record):
    """Reply to Release: the holder has no journal for the key any more."""

    __slots__ = ("key", "epoch")

    def __init__(self, key, epoch):
        self.key = key
        self.epoch = epoch


class ReplyBatch(Record):
    """The replies to an `AppendBatch`, in its order.

    Attributes:
        owner: Holder id of the owner in the epochs of all entries.
        entries: List of replies.
    """

    __slots__ = ("owner", "entries")

    def __init__(self, owner, entries):
        self.owner = owner
        self.entries = entries


class Tick(Record):
    """Event: check the deadlines."""

    __slots__ = ()


class Dropped(Record):
    """Action of the store: a journal was dropped because its retention time has passed.

    Attributes:
        finished: Whether the journal had an end. Otherwise it was orphaned.
    """

    __slots__ = ("key", "finished")

    def __init__(self, key, finished):
        self.key = key
        self.finished = finished


class StoreSettings:
    """Limits of a store.

    Attributes:
        max_journals: Maximum number of journals, and of tombstones.
        max_bytes: Maximum of the bytes charged, see BYTES_PER_JOURNAL and BYTES_PER_TOKEN.
        orphan_s: Seconds without any message from an owner after which a journal is dropped.
            Owners send keepalives well within this time.
        tombstone_s: Seconds for which the tombstone of a dropped journal is kept.
    """

    __slots__ = ("max_journals", "max_bytes", "orphan_s", "tombstone_s")

    def __init__(self, max_journals=6000, max_bytes=160_000_000, orphan_s=900.0, tombstone_s=120.0):
        self.max_journals = max_journals
        self.max_bytes = max_bytes
        self.orphan_s = orphan_s
        self.tombstone_s = tombstone_s


class Journal:
    """One journal at one holder.

    Attributes:
        promised: Lowest epoch that may still change the journal.
        accepted: Epoch under which config, tokens and end were accepted.
        accepted_epochs: Tuple of the last epochs under which this holder accepted the journal.
        last_message_at: Time of the last message from an owner, in seconds.
        ended_at: Time at which the end was accepted, in seconds, or None.
        size: Bytes charged for the journal.

    The other attributes are those of `Snapshot`.
    """

    __slots__ = (
        "promised",
        "accepted",
        "accepted_epochs",
        "config",
        "header",
        "keep_s",
        "generation",
        "tokens",
        "end",
        "attempt",
        "last_message_at",
        "ended_at",
        "size",
    )

    def __init__(self):
        self.promised = NO_EPOCH
        self.accepted = NO_EPOCH
        self.accepted_epochs = ()
        self.config = None
        self.header = b""
        self.keep_s = 0.0
        self.generation = 0
        self.tokens = []
        self.end = None
        self.attempt = None
        self.last_message_at = 0.0
        self.ended_at = None
        self.size = BYTES_PER_JOURNAL


class Tombstone:
    """Record of a journal that a holder has dropped; it rejects delayed Install messages.

    Attributes:
        promised: Lowest epoch that may install the journal again.
        config_version: Version of the config under which the journal was dropped.
        finished_epochs: Tuple of the epochs under which the journal was accepted, if the request
            had finished, else empty.
        expires_at: Time at which the tombstone is removed, in seconds.
    """

    __slots__ = ("promised", "config_version", "finished_epochs", "expires_at")

    def __init__(self, promised, config_version, finished_epochs, expires_at):
        self.promised = promised
        self.config_version = config_version
        self.finished_epochs = finished_epochs
        self.expires_at = expires_at


NO_TOMBSTONE = Tombstone(NO_EPOCH, 0, (), 0.0)


class JournalStore:
    """The journals and tombstones of this holder.

    Attributes:
        settings: The `StoreSettings`.
        journal_by_key: Dict of `Journal` by (account, request id).
        charged_bytes: Bytes charged for all journals.
    """

    __slots__ = ("settings", "journal_by_key", "charged_bytes", "_tombstone_by_key")

    def __init__(self, settings):
        self.settings = settings
        self.journal_by_key = {}
        self.charged_bytes = 0
        # Ordered by expiry. Without tombstones, a delayed Install could restore a stale majority
        # or an epoch that is already superseded.
        self._tombstone_by_key = collections.OrderedDict()

    def handle(self, event, now) -> list:
        """Processes one message or `Tick` and returns the replies (or `Dropped` actions).

        Args:
            event: A message record or `Tick`.
            now: Seconds on the caller's clock.

        Returns:
            List of replies, which all go to the sender of the message.
        """
        return HANDLER_BY_EVENT[type(event)](self, event, now)

    def _append_batch(self, batch, now):
        by_key = self.journal_by_key
        append = self._append
        replies = [append(by_key.get(entry.key), entry, now) for entry in batch.entries]
        return [ReplyBatch(batch.owner, replies)]

    def _append_one(self, message, now):
        return [self._append(self.journal_by_key.get(message.key), message, now)]

    def _append(self, journal, message, now):
        if journal is None:
            return Unknown(message.key, message.epoch)
        epoch = message.epoch
        if epoch < journal.promised:
            return Refused(message.key, epoch, codes.Code.EPOCH_SUPERSEDED, journal.promised)
        # Tokens accepted under another epoch may differ from the owner's at the same offset.
        if epoch != journal.accepted:
            return Gap(message.key, epoch, message.generation, NEEDS_INSTALL)
        journal.last_message_at = now
        tokens = journal.tokens
        if message.generation != journal.generation:
            if message.generation < journal.generation:
                return _accepted_reply(message.key, journal)
            if message.offset:
                return Gap(message.key, epoch, message.generation, 0)
            self.charged_bytes -= journal.size
            tokens = journal.tokens = []
            journal.generation = message.generation
            journal.end = journal.ended_at = None
            journal.size = BYTES_PER_JOURNAL + len(journal.header)
            self.charged_bytes += journal.size
        held_length = len(tokens)
        new_tokens = message.tokens
        if message.offset != held_length:
            if message.offset > held_length:
                return Gap(message.key, epoch, message.generation, held_length)
            new_tokens = new_tokens[held_length - message.offset :]
        if new_tokens:
            added_bytes = BYTES_PER_TOKEN * len(new_tokens)
            for token in new_tokens:
                added_bytes += len(token)
            if self.charged_bytes + added_bytes > self.settings.max_bytes:
                return Refused(message.key, epoch, codes.Code.QUEUE_FULL, journal.promised)
            tokens.extend(new_tokens)
            journal.size += added_bytes
            self.charged_bytes += added_bytes
        if message.end is not None and journal.end is None and len(tokens) == message.end:
            journal.end = message.end
            journal.ended_at = now
        if message.attempt is not None:
            _update_attempt(journal, message.attempt)
        attempt = journal.attempt
        return Accepted(
            message.key,
            epoch,
            journal.config.version,
            journal.generation,
            len(tokens),
            journal.end is not None,
            0 if attempt is None else attempt.number,
        )

    def _install(self, message, now):
        key, epoch, snapshot = message.key, message.epoch, message.snapshot
        journal = self.journal_by_key.get(key)
        if journal is None:
            tombstone = self._tombstone_by_key.get(key, NO_TOMBSTONE)
            if (epoch, snapshot.config.version) < (tombstone.promised, tombstone.config_version):
                return [Refused(key, epoch, codes.Code.EPOCH_SUPERSEDED, tombstone.promised)]
        elif epoch < journal.promised or (message.fresh and epoch != journal.accepted):
            return [Refused(key, epoch, codes.Code.EPOCH_SUPERSEDED, journal.promised)]
        elif epoch == journal.accepted:
            journal.last_message_at = now
            # A resent Install of the same owner may be older than appends that arrived before it.
            if snapshot.config.version > journal.config.version:
                journal.config = snapshot.config
            if (snapshot.generation, len(snapshot.tokens)) <= (
                journal.generation,
                len(journal.tokens),
            ):
                is_same_generation = snapshot.generation == journal.generation
                if (
                    is_same_generation
                    and journal.end is None
                    and snapshot.end == len(journal.tokens)
                ):
                    journal.end, journal.ended_at = snapshot.end, now
                if snapshot.attempt is not None:
                    _update_attempt(journal, snapshot.attempt)
                return [_accepted_reply(key, journal)]
        size = BYTES_PER_JOURNAL + len(snapshot.header)
        size += sum(BYTES_PER_TOKEN + len(token) for token in snapshot.tokens)
        old_size = 0 if journal is None else journal.size
        is_full = journal is None and len(self.journal_by_key) >= self.settings.max_journals
        if is_full or self.charged_bytes - old_size + size > self.settings.max_bytes:
            promised = NO_EPOCH if journal is None else journal.promised
            return [Refused(key, epoch, codes.Code.QUEUE_FULL, promised)]
        if journal is None:
            journal = self.journal_by_key[key] = Journal()
            self._tombstone_by_key.pop(key, None)
        self.charged_bytes += size - old_size
        if epoch != journal.accepted or snapshot.config.version > journal.config.version:
            journal.config = snapshot.config
        if epoch != journal.accepted:
            epochs = (*journal.accepted_epochs, epoch)
            journal.accepted_epochs = epochs[-MAX_ACCEPTED_EPOCHS:]
        journal.promised = journal.accepted = epoch
        journal.header = snapshot.header
        journal.keep_s = snapshot.keep_s
        journal.generation = snapshot.generation
        journal.tokens = list(snapshot.tokens)
        journal.end = snapshot.end
        journal.attempt = snapshot.attempt
        journal.last_message_at = now
        journal.ended_at = None if snapshot.end is None else now
        journal.size = size
        return [_accepted_reply(key, journal)]

    def _configure(self, message, now):
        journal = self.journal_by_key.get(message.key)
        if journal is None:
            return [Unknown(message.key, message.epoch)]
        if message.epoch < journal.promised:
            code = codes.Code.EPOCH_SUPERSEDED
            return [Refused(message.key, message.epoch, code, journal.promised)]
        if message.epoch != journal.accepted:
            return [Gap(message.key, message.epoch, journal.generation, NEEDS_INSTALL)]
        journal.last_message_at = now
        if message.config.version > journal.config.version:
            journal.config = message.config
        return [_accepted_reply(message.key, journal)]

    def _promise(self, message, now):
        journal = self.journal_by_key.get(message.key)
        if journal is None:
            return [Unknown(message.key, message.epoch)]
        if message.epoch < journal.promised:
            code = codes.Code.EPOCH_SUPERSEDED
            return [Refused(message.key, message.epoch, code, journal.promised)]
        journal.promised = message.epoch
        journal.last_message_at = now
        return [Promised(message.key, message.epoch, journal.accepted, to_snapshot(journal))]

    def _lookup(self, message, now):
        journal = self.journal_by_key.get(message.key)
        if journal is None:
            tombstone = self._tombstone_by_key.get(message.key, NO_TOMBSTONE)
            return [Unknown(message.key, finished_epochs=tombstone.finished_epochs)]
        return [
            Found(
                message.key,
                journal.promised,
                journal.accepted,
                journal.config,
                journal.generation,
                len(journal.tokens),
                journal.end,
            )
        ]

    def _release(self, message, now):
        journal = self.journal_by_key.get(message.key)
        if journal is not None:
            if message.epoch < journal.promised:
                code = codes.Code.EPOCH_SUPERSEDED
                return [Refused(message.key, message.epoch, code, journal.promised)]
            # A Release from before this holder rejoined may arrive late. It must not drop the
            # journal that was installed since.
            if message.epoch == journal.accepted and (
                message.config_version < journal.config.version
            ):
                return [_accepted_reply(message.key, journal)]
            self._drop(message.key, max(message.epoch, journal.promised), message, now)
        return [Released(message.key, message.epoch)]

    def _tick(self, event, now):
        actions = []
        for key, journal in list(self.journal_by_key.items()):
            finished = journal.ended_at is not None
            if finished:
                drop_at = journal.ended_at + journal.keep_s
            else:
                drop_at = journal.last_message_at + self.settings.orphan_s
            if now < drop_at:
                continue
            self._drop(key, journal.promised, None, now)
            actions.append(Dropped(key, finished))
        while self._tombstone_by_key:
            key, tombstone = next(iter(self._tombstone_by_key.items()))
            if tombstone.expires_at > now:
                break
            del self._tombstone_by_key[key]
        return actions

    def _drop(self, key, promised, release, now):
        journal = self.journal_by_key.pop(key)
        self.charged_bytes -= journal.size
        version = journal.config.version if release is None else release.config_version
        finished_epochs = ()
        if release is not None and release.finished:
            finished_epochs = journal.accepted_epochs
        expires_at = now + self.settings.tombstone_s
        self._tombstone_by_key[key] = Tombstone(promised, version, finished_epochs, expires_at)
        self._tombstone_by_key.move_to_end(key)
        if len(self._tombstone_by_key) > self.settings.max_journals:
            self._tombstone_by_key.popitem(last=False)


def _accepted_reply(key, journal):
    return Accepted(
        key,
        journal.accepted,
        journal.config.version,
        journal.generation,
        len(journal.tokens),
        journal.end is not None,
        0 if journal.attempt is None else journal.attempt.number,
    )


def _update_attempt(journal, attempt):
    # Attempt numbers rise, so a delayed append is ignored instead of restoring an older attempt.
    if journal.attempt is None or attempt.number > journal.attempt.number:
        journal.attempt = attempt


def to_snapshot(journal) -> Snapshot:
    """Returns a `Snapshot` of a `Journal` with its own token list."""
    return Snapshot(
        journal.config,
        journal.header,
        journal.keep_s,
        journal.generation,
        list(journal.tokens),
        journal.end,
        journal.attempt,
    )


HANDLER_BY_EVENT = {
    AppendBatch: JournalStore._append_batch,
    Append: JournalStore._append_one,
    Install: JournalStore._install,
    Configure: JournalStore._configure,
    Promise: JournalStore._promise,
    Lookup: JournalStore._lookup,
    Release: JournalStore._release,
    Tick: JournalStore._tick,
}
