"""Owner side of the journal of one request: replication, config changes and takeovers.

`Owner` replicates one journal under one epoch and reports the committed position. `Takeover`
obtains promises for a higher epoch from a majority, rewrites the journal under that epoch and
returns a new `Owner`. The owner's local replica is treated like every other one: messages to this
gateway's holder id go to the local `journal.JournalStore`, so that a promise made there also stops
this owner.
"""

import math

from chiveswitch.core import codes, journal, ranking

# Resends to a holder that does not reply back off to 2 ** 5 times the resend interval, so that a
# dead holder costs little and a holder that recovers still receives them.
MAX_BACKOFF_EXPONENT = 5
NOTHING_COMMITTED = (0, -1, False)


class Settings:
    """Timing of replication and takeovers. Times are in seconds.

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
    """Allocates epochs; all owners and takeovers of a gateway process share one instance.

    A holder id never uses a counter twice. Otherwise two takeovers of the same request could write
    different journals under one epoch, which the holders would treat as equal.

    Attributes:
        holder: Holder id of this gateway.
        last_counter: Counter of the last epoch returned.
    """

    __slots__ = ("holder", "last_counter")

    def __init__(self, holder: str):
        self.holder = holder
        self.last_counter = 0

    def next_epoch(self, above: int) -> tuple:
        """Returns a new epoch whose counter is higher than `above`."""
        self.last_counter = max(self.last_counter, above) + 1
        return (self.last_counter, self.holder)


class Start(journal.Record):
    """Event: send the first messages of a takeover or of the owner of a new request."""

    __slots__ = ()


class TokensReceived(journal.Record):
    """Event: tokens, an end (final offset) or a `journal.Attempt` to replicate."""

    __slots__ = ("tokens", "end", "attempt")

    def __init__(self, tokens, end=None, attempt=None):
        self.tokens = tokens
        self.end = end
        self.attempt = attempt


class GenerationStarted(journal.Record):
    """Event: a new generation, numbered higher than the last one, replaces all tokens."""

    __slots__ = ("generation", "attempt")

    def __init__(self, generation, attempt=None):
        self.generation = generation
        self.attempt = attempt


class ReplyReceived(journal.Record):
    """Event: a holder sent a reply."""

    __slots__ = ("sender", "message")

    def __init__(self, sender, message):
        self.sender = sender
        self.message = message


class HolderLost(journal.Record):
    """Event: a holder is considered dead or is shutting down, and must be replaced."""

    __slots__ = ("holder",)

    def __init__(self, holder):
        self.holder = holder


class GatewaysChanged(journal.Record):
    """Event: the list of gateways that may hold journals has changed.

    Attributes:
        gateways: Complete list of the live `ranking.Gateway` objects.
    """

    __slots__ = ("gateways",)

    def __init__(self, gateways):
        self.gateways = gateways


class Send(journal.Record):
    """Action: send a message to a holder, or to the local store if `to` is this gateway's id."""

    __slots__ = ("to", "message")

    def __init__(self, to, message):
        self.to = to
        self.message = message


class Committed(journal.Record):
    """Action: the committed position has advanced.

    It is also returned when only `Owner.committed_attempt_number` has risen.

    Attributes:
        generation: Generation number.
        length: Number of committed tokens of the generation, which may be delivered.
        end: Final offset once it is committed, else None.
    """

    __slots__ = ("generation", "length", "end")

    def __init__(self, generation, length, end):
        self.generation = generation
        self.length = length
        self.end = end


class SteppedDown(journal.Record):
    """Action: a holder has promised a higher epoch, so this owner commits nothing more.

    Attributes:
        promised: The higher epoch.
    """

    __slots__ = ("promised",)

    def __init__(self, promised):
        self.promised = promised


class ConfigChangeCompleted(journal.Record):
    """Action: a config change is complete; from now on only the holders in `config` count."""

    __slots__ = ("config",)

    def __init__(self, config):
        self.config = config


class TakenOver(journal.Record):
    """Action: the takeover succeeded. All tokens of the new `owner` are committed."""

    __slots__ = ("owner",)

    def __init__(self, owner):
        self.owner = owner


class TakeoverFailed(journal.Record):
    """Action: the takeover failed with a `codes.Failure`."""

    __slots__ = ("failure",)

    def __init__(self, failure):
        self.failure = failure


class ReplicaProgress:
    """Replication progress of one holder, as its replies reported it.

    Attributes:
        installed: Whether the holder accepted an Install under the owner's epoch.
        config_version: Highest config version that the holder accepted.
        joined_version: Config version that the holder must have accepted to count towards a
            majority. A joining holder that drops its journal before it accepts the change must not
            count.
        generation: Generation of the tokens held.
        length: Number of tokens held, -1 before the first reply.
        ended: Whether the holder has the end.
        attempt_number: Number of the `journal.Attempt` held, 0 if none.
        deadline: Time of the next resend, in seconds.
        resends: Number of resends since the last reply.
    """

    __slots__ = (
        "installed",
        "config_version",
        "joined_version",
        "generation",
        "length",
        "ended",
        "attempt_number",
        "deadline",
        "resends",
    )

    def __init__(self, joined_version=0):
        self.installed = False
        self.config_version = 0
        self.joined_version = joined_version
        self.generation = 0
        self.length = -1
        self.ended = False
        self.attempt_number = 0
        self.deadline = math.inf
        self.resends = 0


class Owner:
    """Owner of one request under one epoch.

    Attributes:
        key: Tuple (account, request id).
        epoch: The owner's epoch; its second part is the holder id of this gateway.
        config: The `journal.Config` that was proposed last.
        header: Opaque bytes with the request data that was fixed at admission.
        keep_s: Seconds for which holders keep the finished journal.
        generation: Generation number.
        tokens: List of tokens, including uncommitted ones.
        end: Final offset, possibly uncommitted, or None.
        attempt: Latest `journal.Attempt`, possibly uncommitted, or None.
        committed: Tuple (generation, length, ended) that was last reported as committed.
        committed_attempt_number: Number of the latest attempt that a majority holds, 0 if none.
        has_stepped_down: Whether another gateway has superseded this owner.
        deadline: Earliest time at which `Tick` has an effect, in seconds.
        gateways: List of the live gateways.
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
        "_replication_factor",
        "_settings",
        "gateways",
        "_progress_by_holder",
        "_lost_holders",
        "_joining_holder",
        "_leaving_holder",
        "_failed_joiners",
        "_last_sent_at",
    )

    def __init__(self, key, epoch, snapshot, replication_factor, gateways, settings, fresh=True):
        """Creates an owner that has sent nothing yet; see `create_owner` for a new request.

        Args:
            key: Tuple (account, request id).
            epoch: A new epoch of the process's `EpochSource`.
            snapshot: Initial `journal.Snapshot`. The owner keeps and extends its token list.
            replication_factor: Number of replicas, 3 or 5.
            gateways: Live gateways, including this one.
            settings: `Settings`.
            fresh: Whether holders must refuse to replace a journal of this request. False after a
                takeover.
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
        self._replication_factor = replication_factor
        self._settings = settings
        self.gateways = gateways
        self._progress_by_holder = {
            holder: ReplicaProgress() for holder in snapshot.config.members()
        }
        self._lost_holders = ()
        self._joining_holder = None
        self._leaving_holder = None
        self._failed_joiners = ()
        self._last_sent_at = 0.0

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
        """Sets the number of replicas, which after a takeover is known only from the header."""
        self._replication_factor = replication_factor

    def is_fully_replicated(self) -> bool:
        """Returns whether the end is committed and every holder has the complete journal."""
        if not self.committed[2] or self._joining_holder or self.config.previous_holders:
            return False
        return all(self._is_in_sync(progress) for progress in self._progress_by_holder.values())

    def append(self, tokens, end, attempt, now) -> list:
        """Appends and sends tokens; handles `TokensReceived` without an event on the hot path.

        Args:
            tokens: List of new tokens, possibly empty.
            end: Final offset or None.
            attempt: `journal.Attempt` or None.
            now: Seconds on the caller's clock.

        Returns:
            List of `Send`.
        """
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
        resend_at = now + self._settings.resend_interval_s
        self._last_sent_at = now
        if resend_at < self.deadline:
            self.deadline = resend_at
        sends = []
        for holder, progress in self._progress_by_holder.items():
            # A holder that does not reply gets all missing tokens with the next resend or after
            # its next reply.
            if progress.resends:
                continue
            if progress.deadline > resend_at:
                progress.deadline = resend_at
            sends.append(Send(holder, message))
        return sends

    def handle_accepted(self, sender, reply, now) -> list:
        """Handles an `Accepted` reply without a `ReplyReceived` event, for the hot path.

        Args:
            sender: Holder id of the sender.
            reply: `journal.Accepted`.
            now: Seconds on the caller's clock.

        Returns:
            List of actions as for `handle`.
        """
        if self.has_stepped_down or reply.epoch != self.epoch:
            return []
        progress = self._progress_by_holder.get(sender)
        if progress is None:
            return []
        installed, version = progress.installed, progress.config_version
        progress.installed = True
        if reply.config_version > version:
            progress.config_version = reply.config_version
        if reply.generation > progress.generation:
            progress.generation = reply.generation
            progress.length = reply.length
            progress.ended = reply.ended
        elif reply.generation == progress.generation:
            if reply.length > progress.length:
                progress.length = reply.length
            if reply.ended:
                progress.ended = True
        if reply.attempt_number > progress.attempt_number:
            progress.attempt_number = reply.attempt_number
        actions = []
        if self._is_in_sync(progress):
            progress.deadline = math.inf
            progress.resends = 0
        elif progress.resends:
            progress.resends = 0
            self._send_missing(sender, progress, now, actions)
        else:
            self._schedule_resend(progress, now)
        # A config change whose config was accepted earlier may still wait until this holder has
        # every committed token.
        if not installed or progress.config_version != version or self.config.previous_holders:
            self._advance_config(now, actions)
        # Skips the commit calculation for acks that cannot advance it: with three replicas, only
        # one of the three acks per token can.
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
        for holder, progress in self._progress_by_holder.items():
            self._send_missing(holder, progress, now, actions)
        return actions

    def resume(self, replies_by_holder, now) -> list:
        """Starts replication after a takeover whose Install a majority has accepted.

        Args:
            replies_by_holder: Dict of the `Accepted` replies to the Install by holder id.
            now: Seconds on the caller's clock.

        Returns:
            List of actions as for `handle`.
        """
        self.committed = (self.generation, len(self.tokens), self.end is not None)
        self.committed_attempt_number = 0 if self.attempt is None else self.attempt.number
        self._last_sent_at = now
        actions = []
        for progress in self._progress_by_holder.values():
            self._schedule_resend(progress, now)
        for holder, reply in replies_by_holder.items():
            actions += self.handle_accepted(holder, reply, now)
        self._start_config_change(now, actions)
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
                # A delayed Install reached a holder after the Release, whose tombstone names the
                # owner's own epoch. No other gateway owns the request.
                return []
            self.has_stepped_down = True
            return [SteppedDown(message.promised)]
        progress = self._progress_by_holder.get(event.sender)
        if progress is None:
            return []
        actions = []
        if kind is journal.Refused:
            self._replace_lost_holder(event.sender, now, actions)
        elif kind is journal.Unknown:
            # An Append may arrive before the Install, which is then sent again. A holder that had
            # accepted the Install has lost its journal. It may have lost a promise as well, so it
            # is replaced instead of getting another Install.
            if progress.installed:
                self._replace_lost_holder(event.sender, now, actions)
            else:
                self._send_missing(event.sender, progress, now, actions)
        elif kind is journal.Gap:
            if message.length == journal.NEEDS_INSTALL:
                progress.installed = False
            elif message.generation != self.generation:
                return []
            elif progress.generation == message.generation:
                progress.length = max(progress.length, message.length)
            else:
                progress.generation, progress.length, progress.ended = (
                    message.generation,
                    message.length,
                    False,
                )
            progress.resends = 0
            self._send_missing(event.sender, progress, now, actions)
        return actions

    def _holder_lost(self, event, now):
        actions = []
        self._replace_lost_holder(event.holder, now, actions)
        return actions

    def _gateways_changed(self, event, now):
        self.gateways = event.gateways
        live = {gateway.holder for gateway in event.gateways}
        self._lost_holders = tuple(holder for holder in self._lost_holders if holder not in live)
        self._failed_joiners = ()
        actions = []
        if (
            self._joining_holder
            and not self.config.previous_holders
            and self._joining_holder not in live
        ):
            self._abort_join()
        self._start_config_change(now, actions)
        return actions

    def _tick(self, event, now):
        actions = []
        if now < self.deadline:
            return actions
        if now >= self._last_sent_at + self._settings.keepalive_interval_s:
            actions += self.append([], None, None, now)
        for holder, progress in list(self._progress_by_holder.items()):
            if progress.deadline > now:
                continue
            progress.resends += 1
            is_joining = holder == self._joining_holder and not self.config.previous_holders
            if is_joining and progress.resends > self._settings.max_join_resends:
                self._failed_joiners += (holder,)
                self._abort_join()
                self._start_config_change(now, actions)
                continue
            self._send_missing(holder, progress, now, actions)
        resend_at = min(
            (progress.deadline for progress in self._progress_by_holder.values()), default=math.inf
        )
        self.deadline = min(resend_at, self._last_sent_at + self._settings.keepalive_interval_s)
        return actions

    def _is_in_sync(self, progress):
        return (
            progress.length == len(self.tokens)
            and progress.generation == self.generation
            and progress.installed
            and progress.config_version >= self.config.version
            and progress.ended == (self.end is not None)
            and (self.attempt is None or progress.attempt_number >= self.attempt.number)
        )

    def _schedule_resend(self, progress, now):
        exponent = min(progress.resends, MAX_BACKOFF_EXPONENT)
        progress.deadline = now + self._settings.resend_interval_s * 2**exponent
        self.deadline = min(self.deadline, progress.deadline)

    def _send_missing(self, holder, progress, now, actions):
        self._schedule_resend(progress, now)
        self._last_sent_at = now
        if not progress.installed:
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
        if progress.config_version < self.config.version and holder in self.config.members():
            actions.append(Send(holder, journal.Configure(self.key, self.epoch, self.config)))
        offset = max(progress.length, 0) if progress.generation == self.generation else 0
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
        """Returns the (length, ended) in this generation that each required majority holds."""
        length, ended = self._group_position(self.config.holders)
        if self.config.previous_holders:
            old_length, old_ended = self._group_position(self.config.previous_holders)
            length, ended = min(length, old_length), ended and old_ended
        return length, ended and length == self.end

    def _group_position(self, group):
        progress_by_holder, generation = self._progress_by_holder, self.generation
        lengths, ended_count = [], 0
        for holder in group:
            progress = progress_by_holder[holder]
            if (
                progress.generation != generation
                or progress.config_version < progress.joined_version
                or not progress.installed
            ):
                lengths.append(-1)
                continue
            lengths.append(progress.length)
            ended_count += progress.ended
        lengths.sort()
        length = min(len(self.tokens), lengths[(len(group) - 1) // 2])
        return length, self.end is not None and 2 * ended_count > len(group)

    def _majority_attempt_number(self):
        """Returns the number of the latest attempt that each required majority holds."""
        attempt_number = self.attempt.number
        for group in (self.config.holders, self.config.previous_holders):
            if not group:
                continue
            numbers = []
            for holder in group:
                progress = self._progress_by_holder[holder]
                is_counted = (
                    progress.installed and progress.config_version >= progress.joined_version
                )
                numbers.append(progress.attempt_number if is_counted else 0)
            numbers.sort()
            attempt_number = min(attempt_number, numbers[(len(group) - 1) // 2])
        return attempt_number

    def _advance_commit(self, actions):
        length, ended = self._majority_position()
        position = (self.generation, length, ended)
        if length < 0 or position < self.committed:
            return
        attempt_number = self.committed_attempt_number
        if self.attempt is not None and attempt_number < self.attempt.number:
            attempt_number = max(attempt_number, self._majority_attempt_number())
        if position == self.committed and attempt_number == self.committed_attempt_number:
            return
        self.committed = position
        self.committed_attempt_number = attempt_number
        actions.append(Committed(self.generation, length, self.end if ended else None))

    def _replace_lost_holder(self, holder, now, actions):
        if holder not in self._lost_holders:
            self._lost_holders += (holder,)
        if holder == self._joining_holder and not self.config.previous_holders:
            self._failed_joiners += (holder,)
            self._abort_join()
        self._start_config_change(now, actions)

    def _abort_join(self):
        del self._progress_by_holder[self._joining_holder]
        self._joining_holder = None

    def _start_config_change(self, now, actions):
        if self._joining_holder or self.config.previous_holders:
            return
        live = {gateway.holder for gateway in self.gateways}
        holders = self.config.holders
        own_holder = self.epoch[1]
        self._leaving_holder = next(
            (h for h in holders if h in self._lost_holders or h not in live), None
        )
        has_too_few_holders = len(holders) < self._replication_factor
        owner_needs_no_join = own_holder in holders or own_holder not in live
        if owner_needs_no_join and self._leaving_holder is None and not has_too_few_holders:
            return
        usable = [
            gateway
            for gateway in self.gateways
            if gateway.holder not in self._lost_holders
            and gateway.holder not in self._failed_joiners
        ]
        ranked = ranking.rank_gateways(self.key, usable)
        if (
            own_holder in live - set(holders)
            and own_holder not in self._failed_joiners
            and own_holder not in self._lost_holders
        ):
            # After a takeover the new owner joins first, because its local replica has the lowest
            # latency. A draining owner is not live: it was replaced as a holder and must not join
            # again.
            joining = own_holder
            if self._leaving_holder is None and not has_too_few_holders:
                order = [g.holder for g in ranking.rank_gateways(self.key, self.gateways)]
                self._leaving_holder = max(holders, key=order.index)
        else:
            remaining_holders = [holder for holder in holders if holder != self._leaving_holder]
            candidates = [gateway for gateway in ranked if gateway.holder != self._leaving_holder]
            gateway = ranking.choose_next_holder(candidates, remaining_holders)
            if gateway is None:
                return
            joining = gateway.holder
        self._joining_holder = joining
        progress = self._progress_by_holder[joining] = ReplicaProgress(
            joined_version=self.config.version + 1
        )
        self._send_missing(joining, progress, now, actions)

    def _advance_config(self, now, actions):
        if not self.config.previous_holders:
            if self._joining_holder and self._progress_by_holder[self._joining_holder].installed:
                self._propose_config(now, actions)
            return
        accepted = [
            holder
            for holder, progress in self._progress_by_holder.items()
            if progress.config_version >= self.config.version
        ]
        if not self.config.has_majority(accepted):
            return
        # A majority of the new holders must have every committed token before the old ones leave.
        length, ended = self._majority_position()
        if (self.generation, length, ended) < self.committed:
            return
        removed = [h for h in self.config.previous_holders if h not in self.config.holders]
        self.config = journal.Config(self.config.version + 1, self.config.holders)
        self._joining_holder = self._leaving_holder = None
        for holder in removed:
            del self._progress_by_holder[holder]
            release = journal.Release(self.key, self.epoch, self.config.version)
            actions.append(Send(holder, release))
        actions.append(ConfigChangeCompleted(self.config))
        self._send_config(now, actions)
        # Tokens that lacked only the majority of the old holders are committed now.
        self._advance_commit(actions)
        self._start_config_change(now, actions)

    def _propose_config(self, now, actions):
        old_holders = self.config.holders
        holders = tuple(holder for holder in old_holders if holder != self._leaving_holder) + (
            self._joining_holder,
        )
        self.config = journal.Config(self.config.version + 1, holders, old_holders)
        self._send_config(now, actions)

    def _send_config(self, now, actions):
        message = journal.Configure(self.key, self.epoch, self.config)
        for holder in self.config.members():
            self._schedule_resend(self._progress_by_holder[holder], now)
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

    The takeover looks up the newest config at the candidates, obtains promises for a new epoch from
    a majority of its holders, and installs the newest journal that they returned at a majority. A
    newer config or a higher promised epoch starts another round under another epoch.

    Attributes:
        key: Tuple (account, request id).
        epoch: Epoch of the current round, `journal.NO_EPOCH` before the first one.
        done: Whether `TakenOver` or `TakeoverFailed` was returned.
        deadline: Earliest time at which `Tick` has an effect, in seconds.
        highest_counter: Highest epoch counter that any holder has reported as promised.
        candidates: Holder ids that the takeover asks for a journal.
    """

    __slots__ = (
        "key",
        "epoch",
        "done",
        "deadline",
        "highest_counter",
        "_epochs",
        "candidates",
        "_last_received",
        "_replication_factor",
        "_gateways",
        "_settings",
        "_random_source",
        "_config",
        "_config_rank",
        "_answered_candidates",
        "_holders_without_journal",
        "_finished_epochs",
        "_promise_by_holder",
        "_snapshot",
        "_accepted_by_holder",
        "_next_round_at",
        "_resend_at",
        "_expires_at",
        "_superseded_rounds",
    )

    def __init__(
        self,
        key,
        epochs,
        candidates,
        last_received,
        replication_factor,
        gateways,
        settings,
        random_source,
    ):
        """Creates a takeover, which the event `Start` begins.

        Args:
            key: Tuple (account, request id).
            epochs: The process's `EpochSource`.
            candidates: Holder ids for the lookup, from `ranking.choose_lookup_candidates`.
            last_received: Tuple (generation, offset) that the caller received last, or None.
            replication_factor: Number of replicas, 3 or 5.
            gateways: Live gateways, including this one.
            settings: `Settings`.
            random_source: Object with `uniform(a, b)`.
        """
        self.key = key
        self.epoch = journal.NO_EPOCH
        self.done = False
        self.deadline = 0.0
        self._epochs = epochs
        self.candidates = candidates
        self._last_received = last_received
        self._replication_factor = replication_factor
        self._gateways = gateways
        self._settings = settings
        self._random_source = random_source
        self._config = None
        self._config_rank = (journal.NO_EPOCH, 0)
        self.highest_counter = 0
        self._answered_candidates = set()
        self._holders_without_journal = set()
        self._finished_epochs = set()
        self._promise_by_holder = {}
        self._snapshot = None
        self._accepted_by_holder = {}
        self._next_round_at = math.inf
        self._resend_at = math.inf
        self._expires_at = math.inf
        self._superseded_rounds = 0

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
        self.deadline = min(self._next_round_at, self._resend_at, self._expires_at)
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
        elif now >= self._next_round_at:
            self._begin_round(now, actions)
        elif now >= self._resend_at:
            self._send_pending(now, actions)

    def _received(self, event, now, actions):
        handler = TAKEOVER_HANDLER_BY_REPLY.get(type(event.message))
        if handler is not None:
            handler(self, event.sender, event.message, now, actions)

    def _found(self, sender, reply, now, actions):
        self._answered_candidates.add(sender)
        self.highest_counter = max(self.highest_counter, reply.promised[0])
        self._adopt_config(reply.accepted, reply.config, now, actions)
        self._check_finished(actions)

    def _unknown(self, sender, reply, now, actions):
        if reply.epoch == journal.NO_EPOCH:
            self._answered_candidates.add(sender)
            self._finished_epochs.update(reply.finished_epochs)
        elif reply.epoch == self.epoch:
            self._holders_without_journal.add(sender)
        if not self._answered_candidates.issuperset(self.candidates) or self._check_finished(
            actions
        ):
            return
        if self._config is None:
            self._fail(
                codes.Code.REQUEST_UNKNOWN,
                "No queried gateway has a journal of the request.",
                actions,
            )
            return
        reachable = [h for h in self._config.members() if h not in self._holders_without_journal]
        if not self._config.has_majority(reachable):
            self._fail(
                codes.Code.JOURNAL_UNAVAILABLE,
                "No majority of the holders still has the journal.",
                actions,
            )

    def _check_finished(self, actions):
        """Fails the takeover if the newest journal found belongs to a finished request.

        Its last owner sent a Release that did not reach every holder, so that one of them still has
        the journal. An epoch belongs to one owner, so a later request under the same key has none
        of the finished epochs. The check waits for the replies of all candidates, because each of
        them may hold the journal of such a later request.

        Returns:
            Whether the takeover has failed here.
        """
        if self.done or not self._answered_candidates.issuperset(self.candidates):
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
        if self._adopt_config(reply.accepted, reply.snapshot.config, now, actions):
            return
        self._promise_by_holder[sender] = reply
        if self._snapshot is None and self._config.has_majority(self._promise_by_holder):
            self._choose_snapshot(now, actions)

    def _refused(self, sender, reply, now, actions):
        self.highest_counter = max(self.highest_counter, reply.promised[0])
        is_superseded = reply.epoch == self.epoch and reply.code == codes.Code.EPOCH_SUPERSEDED
        if not is_superseded or self._next_round_at != math.inf:
            return
        # Random exponential backoff lets one of several competing takeovers finish.
        max_backoff_s = self._settings.initial_backoff_s * 2 ** min(
            self._superseded_rounds, MAX_BACKOFF_EXPONENT
        )
        self._superseded_rounds += 1
        self._next_round_at = now + self._random_source.uniform(0, max_backoff_s)
        self._resend_at = math.inf

    def _install_accepted(self, sender, reply, now, actions):
        if reply.epoch != self.epoch or self._snapshot is None:
            return
        self._accepted_by_holder[sender] = reply
        # Until a majority has accepted the Install, only a minority may hold the last tokens. If
        # they were delivered now, the journal of the next owner could lack them.
        if not self._config.has_majority(self._accepted_by_holder):
            return
        self.done = True
        # The Install that was sent still refers to the snapshot, so the owner gets its own copy of
        # the token list to extend.
        self._snapshot = journal.Snapshot(*self._snapshot._fields())
        self._snapshot.tokens = list(self._snapshot.tokens)
        owner = Owner(
            self.key,
            self.epoch,
            self._snapshot,
            self._replication_factor,
            self._gateways,
            self._settings,
            fresh=False,
        )
        actions.append(TakenOver(owner))
        actions += owner.resume(self._accepted_by_holder, now)

    def _adopt_config(self, accepted, config, now, actions):
        """Starts a new round if the config is newer than the current one; returns whether it is."""
        rank = (accepted, config.version)
        if rank <= self._config_rank:
            return False
        self._config_rank = rank
        self._config = config
        self._begin_round(now, actions)
        return True

    def _begin_round(self, now, actions):
        self.epoch = self._epochs.next_epoch(self.highest_counter)
        self._promise_by_holder = {}
        self._accepted_by_holder = {}
        self._snapshot = None
        self._holders_without_journal = set()
        self._next_round_at = math.inf
        self._send_pending(now, actions)

    def _choose_snapshot(self, now, actions):
        best = max(self._promise_by_holder.values(), key=_journal_rank).snapshot
        if (
            self._last_received is not None
            and (best.generation, len(best.tokens)) < self._last_received
        ):
            self._fail(
                codes.Code.JOURNAL_STALE, "The caller's last offset is beyond the journal.", actions
            )
            return
        attempts = [
            r.snapshot.attempt for r in self._promise_by_holder.values() if r.snapshot.attempt
        ]
        self._snapshot = journal.Snapshot(
            self._config,
            best.header,
            best.keep_s,
            best.generation,
            best.tokens,
            best.end,
            max(attempts, key=_attempt_number, default=None),
        )
        self._send_pending(now, actions)

    def _send_pending(self, now, actions):
        self._resend_at = now + self._settings.resend_interval_s
        for holder in self.candidates:
            if holder not in self._answered_candidates:
                actions.append(Send(holder, journal.Lookup(self.key)))
        if self._config is None:
            return
        for holder in self._config.members():
            if self._snapshot is not None and holder not in self._accepted_by_holder:
                install = journal.Install(self.key, self.epoch, False, self._snapshot)
                actions.append(Send(holder, install))
            elif self._snapshot is None and holder not in self._promise_by_holder:
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
    """Returns the owner of a new request. The event `Start` makes it send the first messages.

    Args:
        key: Tuple (account, request id).
        epochs: The process's `EpochSource`; its holder is among the gateways.
        gateways: Live gateways.
        replication_factor: Number of replicas, 3 or 5.
        header: Opaque bytes with the request data that was fixed at admission.
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
