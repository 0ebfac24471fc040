"""Holder side of the journal: what a gateway keeps for the owners of requests, and its messages.

A holder id names a gateway together with its incarnation. A restarted gateway has lost its memory
and is therefore another holder, so that a lost promise can never be counted as a promise. An epoch
is the tuple (counter, holder id of the owner), compared in that order. Configs are compared by
(accepted epoch, version): within one epoch a single owner numbers them, and a takeover starts from
a config that it had accepted by a majority.
"""

import collections

from chiveswitch.core import codes

NO_EPOCH = (0, "")
# CPython stores a short ASCII string in 49 bytes plus its text, and a list slot takes 8 bytes.
BYTES_PER_TOKEN = 57
# The benchmark measured 1,006 bytes per open journal with its key and config; the other half is
# allowance for the allocator and for longer keys.
BYTES_PER_JOURNAL = 2000
NEEDS_INSTALL = -1
# Owners of one journal that are remembered; each takeover adds one, and few journals have two.
MAX_ACCEPTED_EPOCHS = 16


class Record:
    """Base of plain records: positional fields from `__slots__`, equality and a readable form."""

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
    """Holders of one journal.

    Attributes:
        version: Number that rises by one with every change under one epoch.
        holders: Tuple of holder ids.
        previous_holders: Holders before the change in progress; empty when there is none.
    """

    __slots__ = ("version", "holders", "previous_holders")

    def __init__(self, version, holders, previous_holders=()):
        self.version = version
        self.holders = tuple(holders)
        self.previous_holders = tuple(previous_holders)

    def members(self) -> tuple:
        """Returns the holders followed by those previous holders that are not among them."""
        if not self.previous_holders:
            return self.holders
        added = tuple(h for h in self.previous_holders if h not in self.holders)
        return self.holders + added

    def has_majority(self, holders) -> bool:
        """Returns whether `holders` contains a majority of every group whose consent is needed."""
        for group in (self.holders, self.previous_holders):
            if group and 2 * sum(h in holders for h in group) <= len(group):
                return False
        return True


class Attempt(Record):
    """The engine attempt that produces the tokens, so that a new owner can reattach to it.

    Attributes:
        engine: Engine id.
        number: Attempt number, at least 1; unique per request and rising.
    """

    __slots__ = ("engine", "number")

    def __init__(self, engine, number):
        self.engine = engine
        self.number = number


class Snapshot(Record):
    """A full journal without its epochs.

    Attributes:
        config: The `Config`.
        header: Opaque bytes: what was pinned at admission.
        keep_s: Seconds for which the finished journal is kept.
        generation: Generation number.
        tokens: List of strings.
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
    """Owner to holder: a full journal. `fresh` is set at admission and never replaces a journal."""

    __slots__ = ("key", "epoch", "fresh", "snapshot")

    def __init__(self, key, epoch, fresh, snapshot):
        self.key = key
        self.epoch = epoch
        self.fresh = fresh
        self.snapshot = snapshot


class Append(Record):
    """Owner to holder: tokens from `offset` on, an optional end and an optional attempt note."""

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
    """Takeover to holder: accept nothing below this epoch any more and return the journal."""

    __slots__ = ("key", "epoch")

    def __init__(self, key, epoch):
        self.key = key
        self.epoch = epoch


class Lookup(Record):
    """Takeover to candidate: asks for config and length and changes nothing."""

    __slots__ = ("key",)

    def __init__(self, key):
        self.key = key


class Release(Record):
    """Owner to a holder: drop the journal.

    Attributes:
        finished: Whether nothing is left to do for the request, so that all of its holders drop
            the journal. Otherwise only the receiver has left the config.
    """

    __slots__ = ("key", "epoch", "config_version", "finished")

    def __init__(self, key, epoch, config_version, finished=False):
        self.key = key
        self.epoch = epoch
        self.config_version = config_version
        self.finished = finished


class AppendBatch(Record):
    """All `Append` entries of one wake-up for one holder; `owner` is the id in their epochs."""

    __slots__ = ("owner", "entries")

    def __init__(self, owner, entries):
        self.owner = owner
        self.entries = entries


class Accepted(Record):
    """Reply to Install, Append and Configure: what the holder has accepted under `epoch`."""

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
    """Reply to Append or Configure that does not fit: the length held, or NEEDS_INSTALL."""

    __slots__ = ("key", "epoch", "generation", "length")

    def __init__(self, key, epoch, generation, length):
        self.key = key
        self.epoch = epoch
        self.generation = generation
        self.length = length


class Refused(Record):
    """Reply that refuses `epoch`.

    Attributes:
        code: EPOCH_SUPERSEDED, or QUEUE_FULL when a limit of the store is reached.
        promised: Promised epoch of the holder.
    """

    __slots__ = ("key", "epoch", "code", "promised")

    def __init__(self, key, epoch, code, promised=NO_EPOCH):
        self.key = key
        self.epoch = epoch
        self.code = code
        self.promised = promised


class Unknown(Record):
    """Reply of a holder that does not hold the key. It never counts as an empty journal.

    Attributes:
        finished_epochs: Tuple of the epochs under which this holder had accepted the journal
            until the owner had it drop the finished request. Empty when it knows of no such end.
    """

    __slots__ = ("key", "epoch", "finished_epochs")

    def __init__(self, key, epoch=NO_EPOCH, finished_epochs=()):
        self.key = key
        self.epoch = epoch
        self.finished_epochs = finished_epochs


class Promised(Record):
    """Reply to Promise: the whole journal and the epoch under which it was accepted."""

    __slots__ = ("key", "epoch", "accepted", "snapshot")

    def __init__(self, key, epoch, accepted, snapshot):
        self.key = key
        self.epoch = epoch
        self.accepted = accepted
        self.snapshot = snapshot


class Found(Record):
    """Reply to Lookup."""

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
    """Reply to Release."""

    __slots__ = ("key", "epoch")

    def __init__(self, key, epoch):
        self.key = key
        self.epoch = epoch


class ReplyBatch(Record):
    """The replies to an `AppendBatch`, in its order; `owner` is the id in their epochs."""

    __slots__ = ("owner", "entries")

    def __init__(self, owner, entries):
        self.owner = owner
        self.entries = entries


class Tick(Record):
    """Event: time has passed."""

    __slots__ = ()


class Dropped(Record):
    """Action of the store: a journal was dropped because its time was over."""

    __slots__ = ("key", "finished")

    def __init__(self, key, finished):
        self.key = key
        self.finished = finished


class StoreSettings:
    """Limits of a store.

    Attributes:
        max_journals: Journals held at most.
        max_bytes: Bytes held at most, as charged by BYTES_PER_JOURNAL and BYTES_PER_TOKEN.
        orphan_s: Seconds without any message from an owner after which a journal is dropped.
            Owners send a keepalive well within this time.
        tombstone_s: Seconds for which the epoch of a dropped journal is remembered.
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
        touched: Time of the last message from an owner, in seconds.
        ended_at: Time at which the end was accepted, or None.
        size: Bytes charged.
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
        "touched",
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
        self.touched = 0.0
        self.ended_at = None
        self.size = BYTES_PER_JOURNAL


class Tombstone:
    """What a holder remembers of a journal that it has dropped.

    Attributes:
        promised: Lowest epoch that may install the journal again.
        config_version: Version of the config under which the journal was dropped.
        finished_epochs: Tuple of the epochs under which the journal was accepted, if the request
            had finished, else empty.
        expires_at: Time at which the tombstone is forgotten, in seconds.
    """

    __slots__ = ("promised", "config_version", "finished_epochs", "expires_at")

    def __init__(self, promised, config_version, finished_epochs, expires_at):
        self.promised = promised
        self.config_version = config_version
        self.finished_epochs = finished_epochs
        self.expires_at = expires_at


NO_TOMBSTONE = Tombstone(NO_EPOCH, 0, (), 0.0)


class JournalStore:
    """All journals that this holder keeps.

    Attributes:
        settings: `StoreSettings`.
        journal_by_key: Dict of `Journal` by (account, request id).
        charged_bytes: Bytes charged for all journals.
    """

    __slots__ = ("settings", "journal_by_key", "charged_bytes", "_tombstones")

    def __init__(self, settings):
        self.settings = settings
        self.journal_by_key = {}
        self.charged_bytes = 0
        # What a dropped journal leaves. Without it, a delayed Install could bring back a stale
        # majority, or an epoch that was already superseded.
        self._tombstones = collections.OrderedDict()

    def handle(self, event, now) -> list:
        """Processes one message or `Tick` and returns the replies (or `Dropped` actions).

        Args:
            event: A message record or `Tick`.
            now: Seconds on the caller's clock.

        Returns:
            List of replies, all for the sender of the message.
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
        # Tokens of another epoch may differ from the owner's at the same offset.
        if epoch != journal.accepted:
            return Gap(message.key, epoch, message.generation, NEEDS_INSTALL)
        journal.touched = now
        tokens = journal.tokens
        if message.generation != journal.generation:
            if message.generation < journal.generation:
                return _accepted(message.key, journal)
            if message.offset:
                return Gap(message.key, epoch, message.generation, 0)
            self.charged_bytes -= journal.size
            tokens = journal.tokens = []
            journal.generation = message.generation
            journal.end = journal.ended_at = None
            journal.size = BYTES_PER_JOURNAL + len(journal.header)
            self.charged_bytes += journal.size
        held = len(tokens)
        new = message.tokens
        if message.offset != held:
            if message.offset > held:
                return Gap(message.key, epoch, message.generation, held)
            new = new[held - message.offset :]
        if new:
            added = BYTES_PER_TOKEN * len(new)
            for token in new:
                added += len(token)
            if self.charged_bytes + added > self.settings.max_bytes:
                return Refused(message.key, epoch, codes.Code.QUEUE_FULL, journal.promised)
            tokens.extend(new)
            journal.size += added
            self.charged_bytes += added
        if message.end is not None and journal.end is None and len(tokens) == message.end:
            journal.end = message.end
            journal.ended_at = now
        if message.attempt is not None:
            _note_attempt(journal, message.attempt)
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
            tombstone = self._tombstones.get(key, NO_TOMBSTONE)
            if (epoch, snapshot.config.version) < (tombstone.promised, tombstone.config_version):
                return [Refused(key, epoch, codes.Code.EPOCH_SUPERSEDED, tombstone.promised)]
        elif epoch < journal.promised or (message.fresh and epoch != journal.accepted):
            return [Refused(key, epoch, codes.Code.EPOCH_SUPERSEDED, journal.promised)]
        elif epoch == journal.accepted:
            journal.touched = now
            # A repeated Install of the same owner may be older than the appends after it.
            if snapshot.config.version > journal.config.version:
                journal.config = snapshot.config
            if (snapshot.generation, len(snapshot.tokens)) <= (
                journal.generation,
                len(journal.tokens),
            ):
                same = snapshot.generation == journal.generation
                if same and journal.end is None and snapshot.end == len(journal.tokens):
                    journal.end, journal.ended_at = snapshot.end, now
                if snapshot.attempt is not None:
                    _note_attempt(journal, snapshot.attempt)
                return [_accepted(key, journal)]
        size = BYTES_PER_JOURNAL + len(snapshot.header)
        size += sum(BYTES_PER_TOKEN + len(token) for token in snapshot.tokens)
        held = 0 if journal is None else journal.size
        full = journal is None and len(self.journal_by_key) >= self.settings.max_journals
        if full or self.charged_bytes - held + size > self.settings.max_bytes:
            promised = NO_EPOCH if journal is None else journal.promised
            return [Refused(key, epoch, codes.Code.QUEUE_FULL, promised)]
        if journal is None:
            journal = self.journal_by_key[key] = Journal()
            self._tombstones.pop(key, None)
        self.charged_bytes += size - held
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
        journal.touched = now
        journal.ended_at = None if snapshot.end is None else now
        journal.size = size
        return [_accepted(key, journal)]

    def _configure(self, message, now):
        journal = self.journal_by_key.get(message.key)
        if journal is None:
            return [Unknown(message.key, message.epoch)]
        if message.epoch < journal.promised:
            code = codes.Code.EPOCH_SUPERSEDED
            return [Refused(message.key, message.epoch, code, journal.promised)]
        if message.epoch != journal.accepted:
            return [Gap(message.key, message.epoch, journal.generation, NEEDS_INSTALL)]
        journal.touched = now
        if message.config.version > journal.config.version:
            journal.config = message.config
        return [_accepted(message.key, journal)]

    def _promise(self, message, now):
        journal = self.journal_by_key.get(message.key)
        if journal is None:
            return [Unknown(message.key, message.epoch)]
        if message.epoch < journal.promised:
            code = codes.Code.EPOCH_SUPERSEDED
            return [Refused(message.key, message.epoch, code, journal.promised)]
        journal.promised = message.epoch
        journal.touched = now
        return [Promised(message.key, message.epoch, journal.accepted, to_snapshot(journal))]

    def _lookup(self, message, now):
        journal = self.journal_by_key.get(message.key)
        if journal is None:
            tombstone = self._tombstones.get(message.key, NO_TOMBSTONE)
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
            # A delayed Release from before this holder joined again must not drop its journal.
            if message.epoch == journal.accepted and (
                message.config_version < journal.config.version
            ):
                return [_accepted(message.key, journal)]
            self._drop(message.key, max(message.epoch, journal.promised), message, now)
        return [Released(message.key, message.epoch)]

    def _tick(self, event, now):
        actions = []
        for key, journal in list(self.journal_by_key.items()):
            finished = journal.ended_at is not None
            if finished:
                due = journal.ended_at + journal.keep_s
            else:
                due = journal.touched + self.settings.orphan_s
            if now < due:
                continue
            self._drop(key, journal.promised, None, now)
            actions.append(Dropped(key, finished))
        while self._tombstones:
            key, tombstone = next(iter(self._tombstones.items()))
            if tombstone.expires_at > now:
                break
            del self._tombstones[key]
        return actions

    def _drop(self, key, promised, release, now):
        journal = self.journal_by_key.pop(key)
        self.charged_bytes -= journal.size
        version = journal.config.version if release is None else release.config_version
        finished_epochs = ()
        if release is not None and release.finished:
            finished_epochs = journal.accepted_epochs
        expires_at = now + self.settings.tombstone_s
        self._tombstones[key] = Tombstone(promised, version, finished_epochs, expires_at)
        self._tombstones.move_to_end(key)
        if len(self._tombstones) > self.settings.max_journals:
            self._tombstones.popitem(last=False)


def _accepted(key, journal):
    return Accepted(
        key,
        journal.accepted,
        journal.config.version,
        journal.generation,
        len(journal.tokens),
        journal.end is not None,
        0 if journal.attempt is None else journal.attempt.number,
    )


def _note_attempt(journal, attempt):
    # Attempt numbers rise, so that a delayed append cannot bring back an older note.
    if journal.attempt is None or attempt.number > journal.attempt.number:
        journal.attempt = attempt


def to_snapshot(journal) -> Snapshot:
    """Returns a copy of a `Journal` that later appends do not change."""
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
