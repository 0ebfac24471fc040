"""Owner side of the journal of one request: replication, holder changes and takeovers.

`Owner` replicates one journal under one epoch and reports what is committed. `Takeover` raises the
epoch at a majority, rewrites the journal under it and hands over an `Owner`. The owner's own
copy is reached like every other one: messages to the own holder id go to the local
`journal.JournalStore`, so that a promise made there stops the owner too.
"""

import math

from chiveswitch.core import codes, journal, ranking

# Resends to a silent holder slow down to 2 ** 5 times the resend interval, so that a dead holder
# costs little and one that returns is still reached.
MAX_BACKOFF_EXPONENT = 5
NOTHING_COMMITTED = (0, -1, False)


class Settings:
    """Timing of replication, in seconds.

    Attributes:
        resend_interval_s: Time without a reply after which a message is sent again.
        keepalive_interval_s: Time after which an idle owner sends an empty append to its holders.
            Must be well below `journal.StoreSettings.orphan_s`.
        max_join_resends: Resends to a joining holder after which another holder is tried.
        takeover_timeout_s: Time after which a takeover fails.
        initial_backoff_s: Upper limit of the random backoff after a competing takeover superseded
            this one for the first time. Doubles with each further time.
    """

    __slots__ = (
        "resend_interval_s",
        "keepalive_interval_s",
        "max_join_resends",
        "takeover_timeout_s",
        "initial_backoff_s",
    )

    def __init__(
        self,
        resend_interval_s=0.1,
        keepalive_interval_s=300.0,
        max_join_resends=3,
        takeover_timeout_s=4.0,
        initial_backoff_s=0.05,
    ):
        self.resend_interval_s = resend_interval_s
        self.keepalive_interval_s = keepalive_interval_s
        self.max_join_resends = max_join_resends
        self.takeover_timeout_s = takeover_timeout_s
        self.initial_backoff_s = initial_backoff_s


class EpochSource:
    """Numbers the epochs of one gateway process; one object serves all its owners and takeovers.

    A counter is never used twice by one holder id. Two takeovers of the same request under one
    epoch could otherwise write different journals that holders take for equal.
    """

    __slots__ = ("holder", "last")

    def __init__(self, holder: str):
        self.holder = holder
        self.last = 0

    def next_epoch(self, above: int) -> tuple:
        """Returns a new epoch whose counter is higher than `above`."""
        self.last = max(self.last, above) + 1
        return (self.last, self.holder)


class Start(journal.Record):
    """Event: begin (owner at admission, takeover)."""

    __slots__ = ()


class TokensReceived(journal.Record):
    """Event: tokens, an end (final offset) or an attempt note to be replicated."""

    __slots__ = ("tokens", "end", "attempt")

    def __init__(self, tokens, end=None, attempt=None):
        self.tokens = tokens
        self.end = end
        self.attempt = attempt


class GenerationStarted(journal.Record):
    """Event: a new generation begins without tokens; its number is higher than the last."""

    __slots__ = ("generation", "attempt")

    def __init__(self, generation, attempt=None):
        self.generation = generation
        self.attempt = attempt


class ReplyReceived(journal.Record):
    """Event: a reply of a holder."""

    __slots__ = ("sender", "message")

    def __init__(self, sender, message):
        self.sender = sender
        self.message = message


class HolderLost(journal.Record):
    """Event: a holder is taken for dead or is leaving."""

    __slots__ = ("holder",)

    def __init__(self, holder):
        self.holder = holder


class GatewaysChanged(journal.Record):
    """Event: the complete list of live `ranking.Gateway` objects that take holders."""

    __slots__ = ("gateways",)

    def __init__(self, gateways):
        self.gateways = gateways


class Send(journal.Record):
    """Action: send a message to a holder. Messages to the own id go to the local store."""

    __slots__ = ("to", "message")

    def __init__(self, to, message):
        self.to = to
        self.message = message


class Committed(journal.Record):
    """Action: tokens of `generation` below `length` may be delivered; `end` once it may be.

    It is also returned when only `Owner.committed_attempt_number` has risen.
    """

    __slots__ = ("generation", "length", "end")

    def __init__(self, generation, length, end):
        self.generation = generation
        self.length = length
        self.end = end


class SteppedDown(journal.Record):
    """Action: another gateway owns the request; nothing more is committed here."""

    __slots__ = ("promised",)

    def __init__(self, promised):
        self.promised = promised


class ConfigChangeCompleted(journal.Record):
    """Action: a holder change is complete."""

    __slots__ = ("config",)

    def __init__(self, config):
        self.config = config


class TakenOver(journal.Record):
    """Action: the takeover succeeded; `owner` continues, and all that it holds is committed."""

    __slots__ = ("owner",)

    def __init__(self, owner):
        self.owner = owner


class TakeoverFailed(journal.Record):
    """Action: the takeover ended with a `codes.Failure`."""

    __slots__ = ("failure",)

    def __init__(self, failure):
        self.failure = failure


class Copy:
    """What the owner knows about one holder.

    Attributes:
        installed: Whether the holder accepted anything under the owner's epoch.
        config_version: Highest config version accepted.
        joined: Config version from which on the copy counts, so that a joining holder that
            dropped its copy before it accepted the change is not counted.
        generation: Generation of the tokens held.
        length: Number of tokens held.
        ended: Whether the end is held.
        attempt_number: Number of the attempt note held, 0 if none.
        deadline: Time of the next resend, in seconds.
        tries: Resends since the last reply.
    """

    __slots__ = (
        "installed",
        "config_version",
        "joined",
        "generation",
        "length",
        "ended",
        "attempt_number",
        "deadline",
        "tries",
    )

    def __init__(self, joined=0):
        self.installed = False
        self.config_version = 0
        self.joined = joined
        self.generation = 0
        self.length = -1
        self.ended = False
        self.attempt_number = 0
        self.deadline = math.inf
        self.tries = 0


class Owner:
    """Owner of one request under one epoch.

    Attributes:
        key: Tuple (account, request id).
        epoch: The owner's epoch; its second part is the own holder id.
        config: Config proposed last.
        generation, tokens, end, attempt: The journal, including what is not committed yet.
        committed: Tuple (generation, length, ended) reported last.
        committed_attempt_number: Number of the latest attempt note that a majority has, 0 if none.
        has_stepped_down: Whether the owner stepped down.
        deadline: Time before which a `Tick` has nothing to do, in seconds.
        gateways: List of live gateways as given last.
    """

    __slots__ = (
        "key",
        "epoch",
        "config",
        "header",
        "keep_s",
        "generation",
        "tokens",
        "end",
        "attempt",
        "committed",
        "committed_attempt_number",
        "has_stepped_down",
        "deadline",
        "_fresh",
        "_copies_wanted",
        "_settings",
        "gateways",
        "_copy_by_holder",
        "_lost",
        "_joining",
        "_leaving",
        "_failed",
        "_sent_at",
    )

    def __init__(self, key, epoch, snapshot, replication_factor, gateways, settings, fresh=True):
        """Creates the owner of a new request; `fresh` is False after a takeover.

        Args:
            key: Tuple (account, request id).
            epoch: A new epoch of the own `EpochSource`.
            snapshot: `journal.Snapshot` to start with. Its token list becomes the owner's.
            replication_factor: 3 or 5.
            gateways: Live gateways, the own one included.
            settings: `Settings`.
            fresh: Whether no holder may hold a journal of this request yet.
        """
        self.key = key
        self.epoch = epoch
        self.config = snapshot.config
        self.header = snapshot.header
        self.keep_s = snapshot.keep_s
        self.generation = snapshot.generation
        self.tokens = snapshot.tokens
        self.end = snapshot.end
        self.attempt = snapshot.attempt
        self.committed = NOTHING_COMMITTED
        self.committed_attempt_number = 0
        self.has_stepped_down = False
        self.deadline = math.inf
        self._fresh = fresh
        self._copies_wanted = replication_factor
        self._settings = settings
        self.gateways = gateways
        self._copy_by_holder = {holder: Copy() for holder in snapshot.config.members()}
        self._lost = ()
        self._joining = None
        self._leaving = None
        self._failed = ()
        self._sent_at = 0.0

    def handle(self, event, now) -> list:
        """Processes one event and returns the actions.

        Args:
            event: `Start`, `TokensReceived`, `GenerationStarted`, `ReplyReceived`, `HolderLost`,
                `GatewaysChanged` or `journal.Tick`.
            now: Seconds on the caller's clock.

        Returns:
            List of `Send`, `Committed`, `ConfigChangeCompleted` and `SteppedDown`. Empty after
            the owner has stepped down.
        """
        if self.has_stepped_down:
            return []
        return OWNER_HANDLER_BY_EVENT[type(event)](self, event, now)

    def set_replication_factor(self, replication_factor: int):
        """Sets the number of copies once the header of a journal that was taken over is known."""
        self._copies_wanted = replication_factor

    def is_fully_replicated(self) -> bool:
        """Returns whether the end is committed and every holder has everything."""
        if not self.committed[2] or self._joining or self.config.previous_holders:
            return False
        return all(self._in_sync(copy) for copy in self._copy_by_holder.values())

    def append(self, tokens, end, attempt, now) -> list:
        """Appends tokens; the direct form of `TokensReceived` for the hot path."""
        if self.has_stepped_down:
            return []
        offset = len(self.tokens)
        self.tokens.extend(tokens)
        if end is not None:
            self.end = end
        if attempt is not None:
            self.attempt = attempt
        message = journal.Append(
            self.key,
            self.epoch,
            self.config.version,
            self.generation,
            offset,
            tokens,
            end,
            attempt,
        )
        due = now + self._settings.resend_interval_s
        self._sent_at = now
        if due < self.deadline:
            self.deadline = due
        sends = []
        for holder, copy in self._copy_by_holder.items():
            # A silent holder gets everything at once with the next resend or after its reply.
            if copy.tries:
                continue
            if copy.deadline > due:
                copy.deadline = due
            sends.append(Send(holder, message))
        return sends

    def handle_accepted(self, sender, reply, now) -> list:
        """Counts an `Accepted` reply; the direct form of `ReplyReceived` for the hot path."""
        if self.has_stepped_down or reply.epoch != self.epoch:
            return []
        copy = self._copy_by_holder.get(sender)
        if copy is None:
            return []
        installed, version = copy.installed, copy.config_version
        copy.installed = True
        if reply.config_version > version:
            copy.config_version = reply.config_version
        if reply.generation > copy.generation:
            copy.generation = reply.generation
            copy.length = reply.length
            copy.ended = reply.ended
        elif reply.generation == copy.generation:
            if reply.length > copy.length:
                copy.length = reply.length
            if reply.ended:
                copy.ended = True
        if reply.attempt_number > copy.attempt_number:
            copy.attempt_number = reply.attempt_number
        actions = []
        if self._in_sync(copy):
            copy.deadline = math.inf
            copy.tries = 0
        elif copy.tries:
            copy.tries = 0
            self._send_missing(sender, copy, now, actions)
        else:
            self._arm(copy, now)
        # Also a config accepted earlier may wait for this copy to have all that is committed.
        if not installed or copy.config_version != version or self.config.previous_holders:
            self._advance_config(now, actions)
        # Of three acks per token only one can advance the commit; the others end here.
        generation, committed, ended = self.committed
        if (
            reply.length > committed
            or reply.generation > generation
            or reply.ended > ended
            or reply.attempt_number > self.committed_attempt_number
        ):
            self._advance_commit(actions)
        return actions

    def _start(self, event, now):
        actions = []
        for holder, copy in self._copy_by_holder.items():
            self._send_missing(holder, copy, now, actions)
        return actions

    def resume(self, replies_by_holder, now) -> list:
        """Continues after a takeover, whose Install a majority accepted.

        Args:
            replies_by_holder: The `Accepted` replies to the Install.
            now: Seconds on the caller's clock.
        """
        self.committed = (self.generation, len(self.tokens), self.end is not None)
        self.committed_attempt_number = 0 if self.attempt is None else self.attempt.number
        self._sent_at = now
        actions = []
        for copy in self._copy_by_holder.values():
            self._arm(copy, now)
        for holder, reply in replies_by_holder.items():
            actions += self.handle_accepted(holder, reply, now)
        self._start_change(now, actions)
        return actions

    def _tokens_received(self, event, now):
        return self.append(event.tokens, event.end, event.attempt, now)

    def _generation_started(self, event, now):
        self.generation = event.generation
        self.tokens = []
        self.end = None
        return self.append([], None, event.attempt, now)

    def _received(self, event, now):
        message = event.message
        kind = type(message)
        if kind is journal.Accepted:
            return self.handle_accepted(event.sender, message, now)
        if getattr(message, "epoch", None) != self.epoch:
            return []
        if kind is journal.Refused and message.code == codes.Code.EPOCH_SUPERSEDED:
            if message.promised == self.epoch:
                # A delayed Install reached a holder after its Release: nobody else is the owner.
                return []
            self.has_stepped_down = True
            return [SteppedDown(message.promised)]
        copy = self._copy_by_holder.get(event.sender)
        if copy is None:
            return []
        actions = []
        if kind is journal.Refused:
            self._lose(event.sender, now, actions)
        elif kind is journal.Unknown:
            # An append may overtake the Install. A holder that had accepted has lost its copy; it
            # may have lost a promise as well, so it is replaced and not installed again.
            if copy.installed:
                self._lose(event.sender, now, actions)
            else:
                self._send_missing(event.sender, copy, now, actions)
        elif kind is journal.Gap:
            if message.length == journal.NEEDS_INSTALL:
                copy.installed = False
            elif message.generation != self.generation:
                return []
            elif copy.generation == message.generation:
                copy.length = max(copy.length, message.length)
            else:
                copy.generation, copy.length, copy.ended = message.generation, message.length, False
            copy.tries = 0
            self._send_missing(event.sender, copy, now, actions)
        return actions

    def _holder_lost(self, event, now):
        actions = []
        self._lose(event.holder, now, actions)
        return actions

    def _gateways_changed(self, event, now):
        self.gateways = event.gateways
        live = {gateway.holder for gateway in event.gateways}
        self._lost = tuple(holder for holder in self._lost if holder not in live)
        self._failed = ()
        actions = []
        if self._joining and not self.config.previous_holders and self._joining not in live:
            self._abandon_join()
        self._start_change(now, actions)
        return actions

    def _tick(self, event, now):
        actions = []
        if now < self.deadline:
            return actions
        if now >= self._sent_at + self._settings.keepalive_interval_s:
            actions += self.append([], None, None, now)
        for holder, copy in list(self._copy_by_holder.items()):
            if copy.deadline > now:
                continue
            copy.tries += 1
            joins = holder == self._joining and not self.config.previous_holders
            if joins and copy.tries > self._settings.max_join_resends:
                self._failed += (holder,)
                self._abandon_join()
                self._start_change(now, actions)
                continue
            self._send_missing(holder, copy, now, actions)
        due = min((copy.deadline for copy in self._copy_by_holder.values()), default=math.inf)
        self.deadline = min(due, self._sent_at + self._settings.keepalive_interval_s)
        return actions

    def _in_sync(self, copy):
        return (
            copy.length == len(self.tokens)
            and copy.generation == self.generation
            and copy.installed
            and copy.config_version >= self.config.version
            and copy.ended == (self.end is not None)
            and (self.attempt is None or copy.attempt_number >= self.attempt.number)
        )

    def _arm(self, copy, now):
        exponent = min(copy.tries, MAX_BACKOFF_EXPONENT)
        copy.deadline = now + self._settings.resend_interval_s * 2**exponent
        self.deadline = min(self.deadline, copy.deadline)

    def _send_missing(self, holder, copy, now, actions):
        self._arm(copy, now)
        self._sent_at = now
        if not copy.installed:
            snapshot = journal.Snapshot(
                self.config,
                self.header,
                self.keep_s,
                self.generation,
                list(self.tokens),
                self.end,
                self.attempt,
            )
            install = journal.Install(self.key, self.epoch, self._fresh, snapshot)
            actions.append(Send(holder, install))
            return
        if copy.config_version < self.config.version and holder in self.config.members():
            actions.append(Send(holder, journal.Configure(self.key, self.epoch, self.config)))
        offset = max(copy.length, 0) if copy.generation == self.generation else 0
        message = journal.Append(
            self.key,
            self.epoch,
            self.config.version,
            self.generation,
            offset,
            self.tokens[offset:],
            self.end,
            self.attempt,
        )
        actions.append(Send(holder, message))

    def _majority_position(self):
        """Returns the (length, ended) in this generation that every needed majority has."""
        length, ended = self._group_position(self.config.holders)
        if self.config.previous_holders:
            old_length, old_ended = self._group_position(self.config.previous_holders)
            length, ended = min(length, old_length), ended and old_ended
        return length, ended and length == self.end

    def _group_position(self, group):
        copy_by_holder, generation = self._copy_by_holder, self.generation
        lengths, ends = [], 0
        for holder in group:
            copy = copy_by_holder[holder]
            if (
                copy.generation != generation
                or copy.config_version < copy.joined
                or not copy.installed
            ):
                lengths.append(-1)
                continue
            lengths.append(copy.length)
            ends += copy.ended
        lengths.sort()
        length = min(len(self.tokens), lengths[(len(group) - 1) // 2])
        return length, self.end is not None and 2 * ends > len(group)

    def _majority_attempt(self):
        """Returns the number of the latest attempt note that every needed majority has."""
        noted = self.attempt.number
        for group in (self.config.holders, self.config.previous_holders):
            if not group:
                continue
            numbers = []
            for holder in group:
                copy = self._copy_by_holder[holder]
                counts = copy.installed and copy.config_version >= copy.joined
                numbers.append(copy.attempt_number if counts else 0)
            numbers.sort()
            noted = min(noted, numbers[(len(group) - 1) // 2])
        return noted

    def _advance_commit(self, actions):
        length, ended = self._majority_position()
        position = (self.generation, length, ended)
        if length < 0 or position < self.committed:
            return
        noted = self.committed_attempt_number
        if self.attempt is not None and noted < self.attempt.number:
            noted = max(noted, self._majority_attempt())
        if position == self.committed and noted == self.committed_attempt_number:
            return
        self.committed = position
        self.committed_attempt_number = noted
        actions.append(Committed(self.generation, length, self.end if ended else None))

    def _lose(self, holder, now, actions):
        if holder not in self._lost:
            self._lost += (holder,)
        if holder == self._joining and not self.config.previous_holders:
            self._failed += (holder,)
            self._abandon_join()
        self._start_change(now, actions)

    def _abandon_join(self):
        del self._copy_by_holder[self._joining]
        self._joining = None

    def _start_change(self, now, actions):
        if self._joining or self.config.previous_holders:
            return
        live = {gateway.holder for gateway in self.gateways}
        holders = self.config.holders
        own = self.epoch[1]
        self._leaving = next((h for h in holders if h in self._lost or h not in live), None)
        is_short = len(holders) < self._copies_wanted
        is_placed = own in holders or own not in live
        if is_placed and self._leaving is None and not is_short:
            return
        usable = [
            gateway
            for gateway in self.gateways
            if gateway.holder not in self._lost and gateway.holder not in self._failed
        ]
        ranked = ranking.rank_gateways(self.key, usable)
        if own in live - set(holders) and own not in self._failed and own not in self._lost:
            # After a takeover the new owner joins first: its own copy is the quickest to reach. An
            # owner that drains is not live: it was replaced as a holder and must not join again.
            joining = own
            if self._leaving is None and not is_short:
                order = [g.holder for g in ranking.rank_gateways(self.key, self.gateways)]
                self._leaving = max(holders, key=order.index)
        else:
            staying = [holder for holder in holders if holder != self._leaving]
            candidates = [gateway for gateway in ranked if gateway.holder != self._leaving]
            gateway = ranking.choose_next_holder(candidates, staying)
            if gateway is None:
                return
            joining = gateway.holder
        self._joining = joining
        copy = self._copy_by_holder[joining] = Copy(joined=self.config.version + 1)
        self._send_missing(joining, copy, now, actions)

    def _advance_config(self, now, actions):
        if not self.config.previous_holders:
            if self._joining and self._copy_by_holder[self._joining].installed:
                self._propose(now, actions)
            return
        accepted = [
            holder
            for holder, copy in self._copy_by_holder.items()
            if copy.config_version >= self.config.version
        ]
        if not self.config.has_majority(accepted):
            return
        # The new holders replace the old ones, so a majority of them needs all that is committed.
        length, ended = self._majority_position()
        if (self.generation, length, ended) < self.committed:
            return
        removed = [h for h in self.config.previous_holders if h not in self.config.holders]
        self.config = journal.Config(self.config.version + 1, self.config.holders)
        self._joining = self._leaving = None
        for holder in removed:
            del self._copy_by_holder[holder]
            release = journal.Release(self.key, self.epoch, self.config.version)
            actions.append(Send(holder, release))
        actions.append(ConfigChangeCompleted(self.config))
        self._send_config(now, actions)
        # What waited only for the old majority is committed now.
        self._advance_commit(actions)
        self._start_change(now, actions)

    def _propose(self, now, actions):
        old = self.config.holders
        holders = tuple(holder for holder in old if holder != self._leaving) + (self._joining,)
        self.config = journal.Config(self.config.version + 1, holders, old)
        self._send_config(now, actions)

    def _send_config(self, now, actions):
        message = journal.Configure(self.key, self.epoch, self.config)
        for holder in self.config.members():
            self._arm(self._copy_by_holder[holder], now)
            actions.append(Send(holder, message))


OWNER_HANDLER_BY_EVENT = {
    Start: Owner._start,
    TokensReceived: Owner._tokens_received,
    GenerationStarted: Owner._generation_started,
    ReplyReceived: Owner._received,
    HolderLost: Owner._holder_lost,
    GatewaysChanged: Owner._gateways_changed,
    journal.Tick: Owner._tick,
}


class Takeover:
    """Takeover of one request by this gateway.

    Attributes:
        key: Tuple (account, request id).
        epoch: Epoch of the current round, `journal.NO_EPOCH` before the first one.
        done: Whether `TakenOver` or `TakeoverFailed` was returned.
        deadline: Time before which a `Tick` has nothing to do, in seconds.
        counter: Highest counter of an epoch that a holder has promised.
    """

    __slots__ = (
        "key",
        "epoch",
        "done",
        "deadline",
        "counter",
        "_epochs",
        "_candidates",
        "_last",
        "_copies_wanted",
        "_gateways",
        "_settings",
        "_random",
        "_config",
        "_config_rank",
        "_answered",
        "_absent",
        "_finished_epochs",
        "_promises",
        "_snapshot",
        "_accepted",
        "_round_at",
        "_resend_at",
        "_expires_at",
        "_losses",
    )

    def __init__(
        self, key, epochs, candidates, last, replication_factor, gateways, settings, random_source
    ):
        """Creates a takeover; `Start` begins it.

        Args:
            key: Tuple (account, request id).
            epochs: The process's `EpochSource`.
            candidates: Holder ids to ask, from `ranking.choose_lookup_candidates`.
            last: Tuple (generation, offset) that the caller received last, or None.
            replication_factor: 3 or 5.
            gateways: Live gateways, the own one included.
            settings: `Settings`.
            random_source: Object with `uniform(a, b)`.
        """
        self.key = key
        self.epoch = journal.NO_EPOCH
        self.done = False
        self.deadline = 0.0
        self._epochs = epochs
        self._candidates = candidates
        self._last = last
        self._copies_wanted = replication_factor
        self._gateways = gateways
        self._settings = settings
        self._random = random_source
        self._config = None
        self._config_rank = (journal.NO_EPOCH, 0)
        self.counter = 0
        self._answered = set()
        self._absent = set()
        self._finished_epochs = set()
        self._promises = {}
        self._snapshot = None
        self._accepted = {}
        self._round_at = math.inf
        self._resend_at = math.inf
        self._expires_at = math.inf
        self._losses = 0

    def handle(self, event, now) -> list:
        """Processes one event and returns the actions.

        Args:
            event: `Start`, `ReplyReceived`, `GatewaysChanged` or `journal.Tick`.
            now: Seconds on the caller's clock.

        Returns:
            List of `Send`, `TakenOver` and `TakeoverFailed`. Empty once `TakenOver` or
            `TakeoverFailed` was returned. Failure codes: JOURNAL_UNAVAILABLE, REQUEST_UNKNOWN,
            JOURNAL_STALE.
        """
        if self.done:
            return []
        actions = []
        TAKEOVER_HANDLER_BY_EVENT[type(event)](self, event, now, actions)
        self.deadline = min(self._round_at, self._resend_at, self._expires_at)
        return actions

    def _start(self, event, now, actions):
        self._expires_at = now + self._settings.takeover_timeout_s
        self._send_pending(now, actions)

    def _gateways_changed(self, event, now, actions):
        self._gateways = event.gateways

    def _tick(self, event, now, actions):
        if now >= self._expires_at:
            self._fail(
                codes.Code.JOURNAL_UNAVAILABLE, "No majority of the holders answered.", actions
            )
        elif now >= self._round_at:
            self._begin_round(now, actions)
        elif now >= self._resend_at:
            self._send_pending(now, actions)

    def _received(self, event, now, actions):
        handler = TAKEOVER_HANDLER_BY_REPLY.get(type(event.message))
        if handler is not None:
            handler(self, event.sender, event.message, now, actions)

    def _found(self, sender, reply, now, actions):
        self._answered.add(sender)
        self.counter = max(self.counter, reply.promised[0])
        self._adopt(reply.accepted, reply.config, now, actions)
        self._check_finished(actions)

    def _unknown(self, sender, reply, now, actions):
        if reply.epoch == journal.NO_EPOCH:
            self._answered.add(sender)
            self._finished_epochs.update(reply.finished_epochs)
        elif reply.epoch == self.epoch:
            self._absent.add(sender)
        if not self._answered.issuperset(self._candidates) or self._check_finished(actions):
            return
        if self._config is None:
            self._fail(codes.Code.REQUEST_UNKNOWN, "No candidate holds the request.", actions)
            return
        reachable = [h for h in self._config.members() if h not in self._absent]
        if not self._config.has_majority(reachable):
            self._fail(
                codes.Code.JOURNAL_UNAVAILABLE, "A majority of the holders has no copy.", actions
            )

    def _check_finished(self, actions):
        """Ends the takeover if the newest copy found is left over from a finished request.

        The last owner has released it, but the message did not reach every holder. An epoch
        belongs to one owner, so that a later request under the same key has none of these epochs.
        A candidate that has not answered may hold such a request.
        """
        if self.done or not self._answered.issuperset(self._candidates):
            return False
        if self._config_rank[0] not in self._finished_epochs:
            return False
        for holder in self._config.members():
            release = journal.Release(self.key, self.epoch, self._config.version, finished=True)
            actions.append(Send(holder, release))
        self._fail(codes.Code.REQUEST_UNKNOWN, "The request has finished.", actions)
        return True

    def _promised(self, sender, reply, now, actions):
        if reply.epoch != self.epoch:
            return
        if self._adopt(reply.accepted, reply.snapshot.config, now, actions):
            return
        self._promises[sender] = reply
        if self._snapshot is None and self._config.has_majority(self._promises):
            self._choose(now, actions)

    def _refused(self, sender, reply, now, actions):
        self.counter = max(self.counter, reply.promised[0])
        lost = reply.epoch == self.epoch and reply.code == codes.Code.EPOCH_SUPERSEDED
        if not lost or self._round_at != math.inf:
            return
        # A random wait that grows lets one of several competing takeovers finish.
        limit = self._settings.initial_backoff_s * 2 ** min(self._losses, MAX_BACKOFF_EXPONENT)
        self._losses += 1
        self._round_at = now + self._random.uniform(0, limit)
        self._resend_at = math.inf

    def _install_accepted(self, sender, reply, now, actions):
        if reply.epoch != self.epoch or self._snapshot is None:
            return
        self._accepted[sender] = reply
        # Before the rewrite is at a majority, a token that only a minority held could be
        # delivered and then be missing from the journal of the next owner.
        if not self._config.has_majority(self._accepted):
            return
        self.done = True
        # The sent Install still refers to the snapshot; the owner extends its own token list.
        self._snapshot = journal.Snapshot(*self._snapshot._fields())
        self._snapshot.tokens = list(self._snapshot.tokens)
        owner = Owner(
            self.key,
            self.epoch,
            self._snapshot,
            self._copies_wanted,
            self._gateways,
            self._settings,
            fresh=False,
        )
        actions.append(TakenOver(owner))
        actions += owner.resume(self._accepted, now)

    def _adopt(self, accepted, config, now, actions):
        """Starts over with a config if it is newer than the known one; returns whether it is."""
        rank = (accepted, config.version)
        if rank <= self._config_rank:
            return False
        self._config_rank = rank
        self._config = config
        self._begin_round(now, actions)
        return True

    def _begin_round(self, now, actions):
        self.epoch = self._epochs.next_epoch(self.counter)
        self._promises = {}
        self._accepted = {}
        self._snapshot = None
        self._absent = set()
        self._round_at = math.inf
        self._send_pending(now, actions)

    def _choose(self, now, actions):
        best = max(self._promises.values(), key=_journal_rank).snapshot
        if self._last is not None and (best.generation, len(best.tokens)) < self._last:
            self._fail(
                codes.Code.JOURNAL_STALE, "The caller's last offset is beyond the journal.", actions
            )
            return
        notes = [r.snapshot.attempt for r in self._promises.values() if r.snapshot.attempt]
        self._snapshot = journal.Snapshot(
            self._config,
            best.header,
            best.keep_s,
            best.generation,
            best.tokens,
            best.end,
            max(notes, key=_attempt_number, default=None),
        )
        self._send_pending(now, actions)

    def _send_pending(self, now, actions):
        self._resend_at = now + self._settings.resend_interval_s
        for holder in self._candidates:
            if holder not in self._answered:
                actions.append(Send(holder, journal.Lookup(self.key)))
        if self._config is None:
            return
        for holder in self._config.members():
            if self._snapshot is not None and holder not in self._accepted:
                install = journal.Install(self.key, self.epoch, False, self._snapshot)
                actions.append(Send(holder, install))
            elif self._snapshot is None and holder not in self._promises:
                actions.append(Send(holder, journal.Promise(self.key, self.epoch)))

    def _fail(self, code, message, actions):
        self.done = True
        actions.append(TakeoverFailed(codes.Failure(code, message)))


def _journal_rank(reply):
    snapshot = reply.snapshot
    has_end = snapshot.end is not None
    return (reply.accepted, snapshot.generation, len(snapshot.tokens), has_end)


def _attempt_number(attempt):
    return attempt.number


TAKEOVER_HANDLER_BY_EVENT = {
    Start: Takeover._start,
    ReplyReceived: Takeover._received,
    GatewaysChanged: Takeover._gateways_changed,
    journal.Tick: Takeover._tick,
}

TAKEOVER_HANDLER_BY_REPLY = {
    journal.Found: Takeover._found,
    journal.Unknown: Takeover._unknown,
    journal.Promised: Takeover._promised,
    journal.Refused: Takeover._refused,
    journal.Accepted: Takeover._install_accepted,
}


def create_owner(
    key,
    epochs,
    gateways,
    replication_factor,
    header,
    keep_s,
    settings,
    attempt=None,
    generation=1,
    replaced_epoch_counter=None,
) -> Owner:
    """Returns the owner of a new request, which `Start` sets going.

    Args:
        key: Tuple (account, request id).
        epochs: The process's `EpochSource`; its holder is among the gateways.
        gateways: Live gateways.
        replication_factor: 3 or 5.
        header: Opaque bytes: what was pinned at admission.
        keep_s: Seconds for which the finished journal is kept.
        settings: `Settings`.
        attempt: `journal.Attempt` or None.
        generation: First generation number.
        replaced_epoch_counter: Highest epoch counter of the lost journal that this one replaces,
            or None for a new request. The new epoch is above it, and the Install may replace a
            copy of the lost journal, which a holder would refuse for a new request.
    """
    holders = ranking.choose_holders(key, epochs.holder, gateways, replication_factor)
    config = journal.Config(1, holders)
    snapshot = journal.Snapshot(config, header, keep_s, generation, [], None, attempt)
    epoch = epochs.next_epoch(replaced_epoch_counter or 0)
    fresh = replaced_epoch_counter is None
    return Owner(key, epoch, snapshot, replication_factor, gateways, settings, fresh)
