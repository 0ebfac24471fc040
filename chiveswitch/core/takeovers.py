"""Requests that are not open at this gateway: takeovers of their journals, and their rerun when
control still holds them although their journals are lost."""

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

# An orphaned journal or a durable request is tried again after this time.
RETRY_S = 2.0
# Memory of such tries.
RETRY_MEMORY_S = 60.0
# Up to this number of gateways a lookup asks all of them.
SMALL_SYSTEM = 16
CANDIDATES_PER_ZONE = 2


class _Takeover:
    """A takeover in progress with the callers that wait for it.

    Attributes:
        takeover: `replication.Takeover`.
        waiting: `Submit`, `Attach` and `Cancel` events.
    """

    __slots__ = ("takeover", "waiting")

    def __init__(self, takeover, waiting):
        self.takeover = takeover
        self.waiting = waiting


class _Asking:
    """A request without a journal, of which control is asked.

    Attributes:
        waiting: `Submit`, `Attach` and `Cancel` events.
        failure: The takeover's `codes.Failure`.
        header: The header's bytes once control has named them.
        replaced: Highest epoch counter of the lost journal, or 0.
    """

    __slots__ = ("waiting", "failure", "header", "replaced")

    def __init__(self, waiting, failure, replaced):
        self.waiting = waiting
        self.failure = failure
        self.header = None
        self.replaced = replaced


class Takeovers:
    """Takeovers of one gateway.

    Attributes:
        core: The `gateway.GatewayCore`.
    """

    __slots__ = ("core", "_rng", "_takeover_by_key", "_asking_by_key", "_retry_at_by_key")

    def __init__(self, core, rng):
        self.core = core
        self._rng = rng
        self._takeover_by_key = {}
        self._asking_by_key = {}
        self._retry_at_by_key = {}

    def is_busy(self) -> bool:
        """Returns whether any request is looked for."""
        return bool(self._takeover_by_key or self._asking_by_key)

    def wait(self, key, event) -> bool:
        """Lets a caller's event wait for a search in progress; returns whether there is one."""
        pending = self._takeover_by_key.get(key) or self._asking_by_key.get(key)
        if pending is None:
            return False
        pending.waiting.append(event)
        return True

    def reader_left(self, reader):
        """Drops the events of a caller that has left."""
        for pending in (*self._takeover_by_key.values(), *self._asking_by_key.values()):
            pending.waiting = [event for event in pending.waiting if event.reader != reader]

    def begin(self, key, event, now, actions):
        """Starts to look for a request that is not open here.

        Args:
            key: Tuple (account, request id).
            event: The caller's event that waits for the outcome, or None.
            now: Seconds of CLOCK_BOOTTIME.
            actions: List that the actions are appended to.
        """
        core = self.core
        failure = self._cut_off(now)
        if failure is not None:
            fail_waiting([] if event is None else [event], failure, actions)
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
        self._takeover_by_key[key] = _Takeover(takeover, [] if event is None else [event])
        actions.append(messages.Count({"takeovers": 1}))
        self._run(key, takeover.handle(replication.Start(), now), now, actions)

    def received(self, sender, reply, now, actions):
        """Handles a holder's reply to a takeover."""
        pending = self._takeover_by_key.get(reply.key)
        if pending is not None:
            event = replication.Received(sender, reply)
            self._run(reply.key, pending.takeover.handle(event, now), now, actions)

    def tick(self, now, actions):
        """Handles the deadlines of takeovers."""
        for key, pending in list(self._takeover_by_key.items()):
            if pending.takeover.deadline <= now:
                self._run(key, pending.takeover.handle(journal.Tick(), now), now, actions)

    def adopt(self, key, now, actions):
        """Runs a durable request whose owner is gone, as control asks for."""
        if self._is_sought(key) or now < self._retry_at_by_key.get(key, 0.0):
            return
        self.begin(key, None, now, actions)

    def scan_orphans(self, now, actions):
        """Takes over journals whose owner is gone, if this gateway is their first live holder.

        An owner counts as gone only when its directory entry is stale, so that callers had the
        time to reconnect by themselves.
        """
        core = self.core
        if not core.directory.is_current(now):
            return
        live = {gateway.holder for gateway in core.holder_candidates(now, with_draining=True)}
        for key, held in list(core.store.by_key.items()):
            if held.accepted[1] in live or key in core.open_by_key or core.is_waiting(key):
                continue
            if self._is_sought(key) or now < self._retry_at_by_key.get(key, 0.0):
                continue
            first = next((each for each in held.config.members() if each in live), None)
            if first == core.epochs.holder:
                self._retry_at_by_key[key] = now + RETRY_S
                self.begin(key, None, now, actions)
        for key, at in list(self._retry_at_by_key.items()):
            if now > at + RETRY_MEMORY_S:
                del self._retry_at_by_key[key]

    def request_found(self, event, now, actions):
        """Handles control's answer about a request without a journal."""
        asking = self._asking_by_key.get(event.key)
        if asking is None:
            return
        failure = self._cut_off(now)
        if failure is not None:
            del self._asking_by_key[event.key]
            actions.append(messages.Note(event.key, failure.message))
            fail_waiting(asking.waiting, failure, actions)
            return
        if event.header is not None:
            asking.header = event.header
            actions.append(messages.ClaimGeneration(event.key, event.generation))
            return
        del self._asking_by_key[event.key]
        failure = event.failure or asking.failure
        waiting = asking.waiting
        if event.failure is None and failure.code is codes.Code.REQUEST_UNKNOWN:
            for each in waiting:
                if type(each) is messages.Submit:
                    self.core.submit_unknown(each, now, actions)
            waiting = [each for each in waiting if type(each) is not messages.Submit]
        fail_waiting(waiting, failure, actions)

    def generation_claimed(self, event, now, actions):
        """Runs a durable request again under the generation that control has assigned."""
        asking = self._asking_by_key.pop(event.key, None)
        if asking is None:
            return
        # Without the other gateways the new journal would have a single copy, and would replace
        # this gateway's copy of a journal that they may still hold.
        failure = event.failure or self._cut_off(now)
        if failure is not None:
            actions.append(messages.Note(event.key, failure.message))
            fail_waiting(asking.waiting, failure, actions)
            return
        result = headers.decode(asking.header)
        if result.is_error():
            fail_waiting(asking.waiting, result.error, actions)
            return
        pinned = result.ok
        # Another answer id, so that nothing of the lost journal can be joined to this answer.
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
            asking.waiting,
            now,
            actions,
            event.generation,
            asking.replaced,
        )

    def _cut_off(self, now):
        """Returns the failure of a gateway that does not hear the other gateways, or None.

        A gateway that has just started knows no other one, so that it would call a request unknown
        that others hold. One whose settings name only itself has nobody to wait for.
        """
        if self.core.settings.gateway_count == 1 or self.core.directory.is_complete(now):
            return None
        return codes.Failure(
            codes.Code.JOURNAL_UNAVAILABLE, "This gateway is cut off from the other gateways."
        )

    def _is_sought(self, key):
        return key in self._takeover_by_key or key in self._asking_by_key

    def _candidates(self, key, now):
        live = self.core.holder_candidates(now, with_draining=True)
        per_zone = len(live) if len(live) <= SMALL_SYSTEM else CANDIDATES_PER_ZONE
        held = self.core.store.by_key.get(key)
        live_ids = {gateway.holder for gateway in live}
        known = () if held is None else held.config.members()
        known = [holder for holder in known if holder in live_ids]
        return ranking.choose_candidates(key, live, known, per_zone)

    def _run(self, key, results, now, actions):
        pending = self._takeover_by_key.get(key)
        own = self.core.epochs.holder
        for index, action in enumerate(results):
            kind = type(action)
            if kind is replication.TakenOver:
                del self._takeover_by_key[key]
                rest = results[index + 1 :]
                self._taken_over(key, action.owner, rest, pending.waiting, now, actions)
                return
            if kind is replication.Failed:
                del self._takeover_by_key[key]
                self._failed(key, action.failure, pending, now, actions)
                return
            if action.to != own:
                actions.append(messages.SendJournal(action.to, action.message))
                continue
            for reply in self.core.store.handle(action.message, now):
                event = replication.Received(own, reply)
                self._run(key, pending.takeover.handle(event, now), now, actions)
                if self._takeover_by_key.get(key) is not pending:
                    return

    def _taken_over(self, key, owner, owner_actions, waiting, now, actions):
        core = self.core
        result = headers.decode(owner.header)
        if result.is_error():
            fail_waiting(waiting, result.error, actions)
            return
        pinned = result.ok
        if core.settings.restarts_failed_generations:
            pinned.header.settings.prefix_tries = 0
        owner.set_copies(core.journal_copy_count(pinned))
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
        request.owner_actions(owner_actions, now, actions)
        request.handle(generation_messages.Opened(), now, actions)
        if owner.committed[1] >= 0:
            # The takeover committed all that the journal held.
            committed = generation_messages.JournalCommitted(
                owner.generation, owner.committed[1], owner.committed[2], request.note_committed()
            )
            request.handle(committed, now, actions)
        for event in waiting:
            core.attach_caller(request, event, now, actions)

    def _may_be_out_of_reach(self, now):
        """Returns whether all holders of a journal may be gateways that are not heard at present.

        Holders are in different zones, and a majority of them has a copy. Gateways that stopped
        in an orderly way have handed theirs over.
        """
        majority = (self.core.settings.journal_copies_override or 3) // 2 + 1
        zones = set()
        for entry in self.core.directory.suspected_gateways(now, directory.STALE_SECONDS):
            if entry.state not in directory.FINAL_STATES:
                zones.add(entry.description.availability_zone)
        return len(zones) >= majority

    def _failed(self, key, failure, pending, now, actions):
        self._retry_at_by_key[key] = now + RETRY_S
        waiting = pending.waiting
        submits = [event for event in waiting if type(event) is messages.Submit]
        # A caller without any token submits an unknown request anew; one with tokens gives it up.
        has_readers = len(submits) < len(waiting)
        unknown = failure.code is codes.Code.REQUEST_UNKNOWN
        if unknown and has_readers and self._may_be_out_of_reach(now):
            failure = codes.Failure(
                codes.Code.JOURNAL_UNAVAILABLE, "Gateways that may hold the request are not heard."
            )
        durable = any(self.core.service(event.service).durable for event in submits)
        if durable or has_readers or not waiting:
            # Control may hold the request although no journal was found.
            self._asking_by_key[key] = _Asking(waiting, failure, pending.takeover.counter)
            actions.append(messages.FindRequest(key))
            return
        if failure.code is not codes.Code.REQUEST_UNKNOWN:
            fail_waiting(waiting, failure, actions)
            return
        for event in submits:
            self.core.submit_unknown(event, now, actions)


def fail_waiting(waiting, failure, actions):
    """Tells all callers in a list of events the same failure."""
    for event in waiting:
        actions.append(messages.ReaderFail(event.reader, failure.code, failure.message))
