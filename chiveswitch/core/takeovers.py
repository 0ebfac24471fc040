"""Requests that are not open at this gateway: takeovers of their journals, and reruns of durable
requests whose journals are lost but which control still holds."""

from chiveswitch.core import (
    codes,
    directory,
    generation,
    generation_messages,
    headers,
    journal,
    ranking,
    replication,
    requests,
)
from chiveswitch.core import gateway_messages as messages

# Minimum time between two takeovers of the same orphaned journal or durable request.
RETRY_DELAY_SECONDS = 2.0
# Entries of `_retry_at_by_key` are removed this long after their time has passed.
RETRY_ENTRY_KEPT_SECONDS = 60.0
# With at most this many live gateways, a lookup queries all of them instead of some per zone.
MAX_GATEWAYS_FOR_FULL_LOOKUP = 16
CANDIDATES_PER_ZONE = 2


class _PendingTakeover:
    """A takeover in progress and the callers' events that wait for it.

    Attributes:
        takeover: `replication.Takeover`.
        waiting_events: List of `Submit`, `Attach` and `Cancel` events.
    """

    __slots__ = ("takeover", "waiting_events")

    def __init__(self, takeover, waiting_events):
        self.takeover = takeover
        self.waiting_events = waiting_events


class _ControlLookup:
    """A lookup in control of a request for which no journal was found.

    Attributes:
        waiting_events: List of `Submit`, `Attach` and `Cancel` events.
        failure: `codes.Failure` of the takeover.
        header: Bytes of the request's header once control has returned them, else None.
        replaced_epoch_counter: Highest epoch counter of the lost journal, or 0.
        asked_holders: Holder ids that were asked for a journal.
    """

    __slots__ = (
        "waiting_events",
        "failure",
        "header",
        "replaced_epoch_counter",
        "asked_holders",
    )

    def __init__(self, waiting_events, failure, replaced_epoch_counter, asked_holders):
        self.waiting_events = waiting_events
        self.failure = failure
        self.header = None
        self.replaced_epoch_counter = replaced_epoch_counter
        self.asked_holders = asked_holders


class TakeoverManager:
    """Takeovers and lookups in control that this gateway has in progress.

    Attributes:
        core: The `gateway.GatewayCore`.
    """

    __slots__ = (
        "core",
        "_rng",
        "_takeover_by_key",
        "_control_lookup_by_key",
        "_retry_at_by_key",
        "_owner_by_key",
    )

    def __init__(self, core, rng):
        self.core = core
        self._rng = rng
        self._takeover_by_key = {}
        self._control_lookup_by_key = {}
        self._retry_at_by_key = {}
        # Owner of a request according to control, which the next lookup asks as well.
        self._owner_by_key = {}

    def has_pending_requests(self) -> bool:
        """Returns whether any takeover or lookup in control is in progress."""
        return bool(self._takeover_by_key or self._control_lookup_by_key)

    def join_pending(self, key, event) -> bool:
        """Adds a caller's event to the takeover or lookup of a request that is in progress.

        Returns:
            Whether there is one. Otherwise the event was not added.
        """
        pending = self._takeover_by_key.get(key) or self._control_lookup_by_key.get(key)
        if pending is None:
            return False
        pending.waiting_events.append(event)
        return True

    def remove_reader(self, reader):
        """Removes the waiting events of a caller that has disconnected."""
        for pending in (*self._takeover_by_key.values(), *self._control_lookup_by_key.values()):
            pending.waiting_events = [
                event for event in pending.waiting_events if event.reader != reader
            ]

    def start_takeover(self, key, event, now, actions):
        """Starts a takeover of a request that is not open here.

        Fails the event instead while this gateway is isolated.

        Args:
            key: Tuple (account, request id).
            event: The caller's event that waits for the outcome, or None.
            now: Seconds of CLOCK_BOOTTIME.
            actions: List that the actions are appended to.
        """
        core = self.core
        failure = self._isolation_failure(now)
        if failure is not None:
            fail_waiting_callers([] if event is None else [event], failure, actions)
            return
        takeover = replication.Takeover(
            key,
            core.epochs,
            self._candidates(key, now),
            None,
            core.settings.journal_copies_override or 3,
            core.holder_candidates(now),
            core.settings.replication,
            self._rng,
        )
        self._takeover_by_key[key] = _PendingTakeover(takeover, [] if event is None else [event])
        actions.append(messages.Count({"takeovers": 1}))
        self._execute_actions(key, takeover.handle(replication.Start(), now), now, actions)

    def handle_reply(self, sender, reply, now, actions):
        """Passes a holder's reply to the takeover of its request."""
        pending = self._takeover_by_key.get(reply.key)
        if pending is not None:
            event = replication.ReplyReceived(sender, reply)
            self._execute_actions(reply.key, pending.takeover.handle(event, now), now, actions)

    def tick(self, now, actions):
        """Passes a `journal.Tick` to the takeovers whose deadline has passed."""
        for key, pending in list(self._takeover_by_key.items()):
            if pending.takeover.deadline <= now:
                self._execute_actions(
                    key, pending.takeover.handle(journal.Tick(), now), now, actions
                )

    def adopt_request(self, key, now, actions):
        """Takes over a durable request whose owner is gone, because control assigned it here."""
        if self._is_pending(key) or now < self._retry_at_by_key.get(key, 0.0):
            return
        self.start_takeover(key, None, now, actions)

    def take_over_orphans(self, now, actions):
        """Takes over journals whose owner is gone and whose first live holder is this gateway.

        An owner counts as gone only when its directory entry is stale. Callers have had time to
        reconnect by then, which would have started a takeover already.
        """
        core = self.core
        if not core.directory.is_current(now):
            return
        live = {gateway.holder for gateway in core.holder_candidates(now, with_draining=True)}
        for key, held in list(core.store.journal_by_key.items()):
            if held.accepted[1] in live or key in core.open_by_key or core.is_waiting(key):
                continue
            if self._is_pending(key) or now < self._retry_at_by_key.get(key, 0.0):
                continue
            first = next((each for each in held.config.members() if each in live), None)
            if first == core.epochs.holder:
                self._retry_at_by_key[key] = now + RETRY_DELAY_SECONDS
                self.start_takeover(key, None, now, actions)
        for key, retry_at in list(self._retry_at_by_key.items()):
            if now > retry_at + RETRY_ENTRY_KEPT_SECONDS:
                del self._retry_at_by_key[key]
                self._owner_by_key.pop(key, None)

    def handle_request_found(self, event, now, actions):
        """Handles the reply of control to the lookup of a request without a journal."""
        lookup = self._control_lookup_by_key.get(event.key)
        if lookup is None:
            return
        failure = self._isolation_failure(now)
        if failure is not None:
            del self._control_lookup_by_key[event.key]
            actions.append(messages.Note(event.key, failure.message))
            fail_waiting_callers(lookup.waiting_events, failure, actions)
            return
        if event.header is not None:
            if event.live_owner and event.live_owner not in lookup.asked_holders:
                self._refuse_claim(event, lookup, now, actions)
                return
            lookup.header = event.header
            actions.append(messages.ClaimGeneration(event.key, event.generation))
            return
        del self._control_lookup_by_key[event.key]
        failure = event.failure or lookup.failure
        waiting_events = lookup.waiting_events
        if event.failure is None and failure.code is codes.Code.REQUEST_UNKNOWN:
            for each in waiting_events:
                if type(each) is messages.Submit:
                    self.core.submit_unknown(each, now, actions)
            waiting_events = [each for each in waiting_events if type(each) is not messages.Submit]
        fail_waiting_callers(waiting_events, failure, actions)

    def _refuse_claim(self, event, lookup, now, actions):
        """Fails the callers of a request whose owner is alive and was not asked for its journal.

        Gateways that have just started do not know each other yet. The next lookup asks the owner.
        """
        del self._control_lookup_by_key[event.key]
        self._owner_by_key[event.key] = event.live_owner
        self._retry_at_by_key[event.key] = now + RETRY_DELAY_SECONDS
        failure = codes.Failure(
            codes.Code.JOURNAL_UNAVAILABLE,
            f"The request is owned by {event.live_owner}, which was not asked for it.",
        )
        actions.append(messages.Note(event.key, failure.message))
        fail_waiting_callers(lookup.waiting_events, failure, actions)

    def handle_generation_claimed(self, event, now, actions):
        """Reruns a durable request under the new generation that control has assigned."""
        lookup = self._control_lookup_by_key.pop(event.key, None)
        if lookup is None:
            return
        # An isolated gateway would create a journal with a single replica, which would also replace
        # its own replica of a journal that the other gateways may still hold.
        failure = event.failure or self._isolation_failure(now)
        if failure is not None:
            actions.append(messages.Note(event.key, failure.message))
            fail_waiting_callers(lookup.waiting_events, failure, actions)
            return
        result = headers.decode(lookup.header)
        if result.is_error():
            fail_waiting_callers(lookup.waiting_events, result.error, actions)
            return
        pinned = result.ok
        # A new answer id keeps tokens of the lost journal apart from those of the rerun.
        pinned.answer = f"{self._rng.getrandbits(64):016x}"
        pinned.header.seed = self._rng.getrandbits(62)
        machine = generation.Generation.from_journal(
            pinned.header,
            event.generation,
            [],
            False,
            "",
            *self.core.generation_dependencies(pinned),
        )
        actions.append(messages.Note(event.key, "run again after its journal was lost"))
        self.core.open_request(
            event.key,
            pinned,
            machine,
            lookup.waiting_events,
            now,
            actions,
            event.generation,
            lookup.replaced_epoch_counter,
        )

    def _isolation_failure(self, now):
        """Returns a failure if this gateway has no complete view of the other gateways, else None.

        A gateway that has just started has no other gateway in its directory. It would report
        requests as unknown that other gateways hold. A gateway whose settings list no other peer
        does not wait for a complete view.
        """
        if self.core.settings.gateway_count == 1 or self.core.directory.is_complete(now):
            return None
        return codes.Failure(
            codes.Code.JOURNAL_UNAVAILABLE, "This gateway is cut off from the other gateways."
        )

    def _is_pending(self, key):
        return key in self._takeover_by_key or key in self._control_lookup_by_key

    def _candidates(self, key, now):
        live = self.core.holder_candidates(now, with_draining=True)
        per_zone = len(live) if len(live) <= MAX_GATEWAYS_FOR_FULL_LOOKUP else CANDIDATES_PER_ZONE
        held = self.core.store.journal_by_key.get(key)
        live_ids = {gateway.holder for gateway in live}
        known_holders = () if held is None else held.config.members()
        known_holders = [*known_holders, self._owner_by_key.get(key)]
        known_holders = [holder for holder in known_holders if holder in live_ids]
        return ranking.choose_lookup_candidates(key, live, known_holders, per_zone)

    def _execute_actions(self, key, takeover_actions, now, actions):
        pending = self._takeover_by_key.get(key)
        own_holder = self.core.epochs.holder
        for index, action in enumerate(takeover_actions):
            kind = type(action)
            if kind is replication.TakenOver:
                del self._takeover_by_key[key]
                remaining_actions = takeover_actions[index + 1 :]
                self._open_taken_over(
                    key, action.owner, remaining_actions, pending.waiting_events, now, actions
                )
                return
            if kind is replication.TakeoverFailed:
                del self._takeover_by_key[key]
                self._handle_failure(key, action.failure, pending, now, actions)
                return
            if action.to != own_holder:
                actions.append(messages.SendJournal(action.to, action.message))
                continue
            for reply in self.core.store.handle(action.message, now):
                event = replication.ReplyReceived(own_holder, reply)
                self._execute_actions(key, pending.takeover.handle(event, now), now, actions)
                if self._takeover_by_key.get(key) is not pending:
                    return

    def _open_taken_over(self, key, owner, owner_actions, waiting_events, now, actions):
        core = self.core
        result = headers.decode(owner.header)
        if result.is_error():
            fail_waiting_callers(waiting_events, result.error, actions)
            return
        pinned = result.ok
        if core.settings.restarts_failed_generations:
            pinned.header.settings.max_prefix_refusals = 0
        owner.set_replication_factor(core.journal_copy_count(pinned))
        machine = generation.Generation.from_journal(
            pinned.header,
            owner.generation,
            list(owner.tokens),
            owner.end is not None,
            "" if owner.attempt is None else owner.attempt.engine,
            *core.generation_dependencies(pinned),
        )
        request = requests.OpenRequest(key, pinned, owner, machine, core)
        core.open_by_key[key] = request
        actions.append(messages.Note(key, "taken over"))
        request.execute_owner_actions(owner_actions, now, actions)
        request.handle(generation_messages.GenerationOpened(), now, actions)
        if owner.committed[1] >= 0:
            # The takeover committed all that the journal held.
            committed = generation_messages.JournalCommitted(
                owner.generation, owner.committed[1], owner.committed[2], request.committed_note()
            )
            request.handle(committed, now, actions)
        for event in waiting_events:
            core.attach_caller(request, event, now, actions)

    def _majority_may_be_unreachable(self, now):
        """Returns whether a majority of a journal's holders may be unreachable gateways.

        Only a majority of the holders is sure to have a replica, so all replicas may be unreachable
        then. The holders are in different zones, so the zones of unreachable gateways are counted.
        Gateways that were shut down in an orderly way do not count, because they have handed over
        their journals.
        """
        majority = (self.core.settings.journal_copies_override or 3) // 2 + 1
        zones = set()
        for entry in self.core.directory.suspected_gateways(now, directory.STALE_SECONDS):
            if entry.state not in directory.FINAL_STATES:
                zones.add(entry.description.availability_zone)
        return len(zones) >= majority

    def _handle_failure(self, key, failure, pending, now, actions):
        self._retry_at_by_key[key] = now + RETRY_DELAY_SECONDS
        waiting_events = pending.waiting_events
        submits = [event for event in waiting_events if type(event) is messages.Submit]
        # A caller that has received no token submits an unknown request again. A caller that has
        # received tokens abandons the request, so it must not be reported as unknown too early.
        has_readers = len(submits) < len(waiting_events)
        is_unknown = failure.code is codes.Code.REQUEST_UNKNOWN
        if is_unknown and has_readers and self._majority_may_be_unreachable(now):
            failure = codes.Failure(
                codes.Code.JOURNAL_UNAVAILABLE,
                "Gateways that may hold the request are unreachable.",
            )
        is_durable = any(self.core.service(event.service).durable for event in submits)
        if is_durable or has_readers or not waiting_events:
            # No journal was found, but control may hold the request if it is durable.
            self._control_lookup_by_key[key] = _ControlLookup(
                waiting_events,
                failure,
                pending.takeover.highest_counter,
                frozenset(pending.takeover.candidates),
            )
            actions.append(messages.FindRequest(key))
            return
        if failure.code is not codes.Code.REQUEST_UNKNOWN:
            fail_waiting_callers(waiting_events, failure, actions)
            return
        for event in submits:
            self.core.submit_unknown(event, now, actions)


def fail_waiting_callers(waiting_events, failure, actions):
    """Sends the same failure to the callers of all events in a list.

    Args:
        waiting_events: List of `Submit`, `Attach` and `Cancel` events.
        failure: `codes.Failure`.
        actions: List that the actions are appended to.
    """
    for event in waiting_events:
        actions.append(messages.ReaderFail(event.reader, failure.code, failure.message))
