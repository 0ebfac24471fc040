"""The decisions of one gateway: admission, open generations, takeovers and holders of journals.

`GatewayCore.handle(event, now)` does no I/O and returns the actions to execute; events and actions
are in `gateway_messages`. The daemon, the tests and the embedded mode drive this same code.
"""

import hashlib

from chiveswitch.core import (
    addresses,
    admission,
    codes,
    detector,
    directory,
    generation,
    generation_messages,
    headers,
    journal,
    ranking,
    replication,
    requests,
    retry,
    selection,
    takeovers,
)
from chiveswitch.core import gateway_messages as messages

SCAN_INTERVAL_S = 0.25
# For this long after its start a gateway waits to know enough others to hold its journals. Later
# it works with those that are there, since the others may be dead.
START_GRACE_S = 5.0
START_GATEWAYS = 3
# A draining gateway waits at most this long for other gateways to replace it as a holder.
DRAIN_JOURNALS_S = 5.0
PRIORITY_BY_NAME = {"lookup": 0, "interactive": 1, "batch": 2}
ZONE_LOSS_MEMORY_S = 5.0


class _Budget:
    """The retry budget in the form that the generation machine asks for."""

    __slots__ = ("_retries",)

    def __init__(self, retries):
        self._retries = retries

    def take(self, account, now):
        """Returns whether one retry is paid for."""
        return self._retries.spend(account, now).is_ok()


class _Waiting:
    """A submitted request that is in the queue or waits until control has committed it.

    Attributes:
        submits: The `Submit` events that wait, the first of which made the entry.
        service: `bundles.Service`.
        pinned: Set once the request left the queue.
    """

    __slots__ = ("submits", "service", "pinned")

    def __init__(self, submits, service):
        self.submits = submits
        self.service = service
        self.pinned = None


class GatewayCore:
    """State and decisions of one gateway.

    Attributes:
        settings: `GatewaySettings`.
        directory: `directory.Directory`, which the daemon also feeds with announcements and pulls.
        store: `journal.JournalStore` of the journals held for other gateways and for the own ones.
        epochs: `replication.EpochSource` with the own holder id.
        open_by_key: `requests.OpenRequest` by (account, request id).
        serial: Serial of the bundle in force, 0 without one.
        bundle: The bundle in force, or None.
    """

    def __init__(self, settings, description, rng, now: float):
        self.settings = settings
        self.directory = directory.Directory(description)
        self.store = journal.JournalStore(settings.store)
        self.epochs = replication.EpochSource(holder_id(description))
        self.open_by_key = {}
        self.serial = 0
        self.bundle = None
        self._rng = rng
        self._confirmed_at = -1e9
        self._started_at = now
        self._service_by_name = {}
        self._account_by_digest = {}
        self._waiting_by_key = {}
        self._takeovers = takeovers.Takeovers(self, rng)
        self._pool_by_model = {}
        self._ledger_by_service = {}
        self._retry = retry.RetryBudget(settings.retry, now)
        self._budget = _Budget(self._retry)
        self._detector = detector.DETECTOR_BY_NAME[settings.detector]()
        self._sends = selection.Sends()
        self._scan_at = now
        self._live = ()
        self._live_gateways = ()
        self._drain_at = None
        self._lost_zone_at = {}
        self._usable_zone_by_target = {}

    def handle(self, event, now: float) -> list:
        """Handles one event.

        Args:
            event: An event of `gateway_messages`.
            now: Seconds of CLOCK_BOOTTIME.

        Returns:
            List of actions of `gateway_messages`, to be executed in order.
        """
        actions = []
        HANDLER_BY_EVENT[type(event)](self, event, now, actions)
        return actions

    # Bundle and admission.

    def authenticate(self, token: str) -> str:
        """Returns the client account of an API key, or an empty string."""
        digest = hashlib.sha256(token.encode()).hexdigest()
        return self._account_by_digest.get(digest, "")

    def service(self, name: str):
        """Returns the `bundles.Service` of a name, or None."""
        return self._service_by_name.get(name)

    def admission_failure(self, now: float):
        """Returns why no new work is admitted now, as a `codes.Failure`, or None."""
        if self._drain_at is not None and now >= self._drain_at + addresses.DRAIN_ACCEPT_S:
            return codes.Failure(codes.Code.DRAINING, "This gateway is shutting down.")
        if self.bundle is None or now >= self._confirmed_at + self.settings.bundle_lease_s:
            return codes.Failure(
                codes.Code.BUNDLE_STALE, "This gateway cannot confirm its bundle at control."
            )
        if now < self._started_at + START_GRACE_S:
            known = sum(entry.state == "ready" for entry in self.directory.live_gateways(now))
            if known < min(START_GATEWAYS, self.settings.gateway_count):
                return codes.Failure(
                    codes.Code.VIEW_INCOMPLETE,
                    "This gateway has started and does not yet know enough other gateways.",
                )
        return None

    def permission_failure(self, account: str, service_name: str, kind: str):
        """Returns why an account may not use a service, as a `codes.Failure`, or None."""
        service = self._service_by_name.get(service_name)
        if service is None or service.kind != kind:
            return codes.Failure(codes.Code.SERVICE_UNKNOWN, f"No such {kind}: {service_name!r}.")
        if account not in service.accounts:
            return codes.Failure(
                codes.Code.NOT_PERMITTED, f"The account may not use {service_name!r}."
            )
        return None

    def is_drained(self, now: float) -> bool:
        """Returns whether a draining gateway may exit without cutting anything."""
        if self._drain_at is None or now < self._drain_at + addresses.DRAIN_ACCEPT_S:
            return False
        for request in self.open_by_key.values():
            if request.machine.outcome is None or request.machine.has_readers():
                return False
        if self._waiting_by_key or self._takeovers.is_busy():
            return False
        held = any(entry.accepted[1] != self.epochs.holder for entry in self.store.by_key.values())
        return not held or now >= self._drain_at + addresses.DRAIN_ACCEPT_S + DRAIN_JOURNALS_S

    def _bundle_confirmed(self, event, now, actions):
        if event.serial < self.serial:
            return
        if event.serial > self.serial:
            if event.bundle is None:
                return
            self.serial = event.serial
            self.bundle = event.bundle
            self._service_by_name = {service.name: service for service in event.bundle.services}
            self._account_by_digest = {
                digest: account.name
                for account in event.bundle.accounts
                for digest in account.key_digests
            }
            for pool in self._pool_by_model.values():
                self._set_limits(pool)
        self._confirmed_at = max(self._confirmed_at, event.asked_at)

    def _set_limits(self, pool):
        pool.set_limits(
            {
                account.name: admission.AccountLimits(
                    account.requests_per_second, account.open_requests, account.weight
                )
                for account in self.bundle.accounts
            }
        )
        pool.set_live_gateways(max(1, len(self._live)))

    def submit(self, event, now, actions):
        """Handles a caller's new generation."""
        key = (event.account, event.request_id)
        failure = self.permission_failure(event.account, event.service, "generation")
        if failure is None:
            service = self._service_by_name[event.service]
            if not 0 < event.max_tokens <= service.max_tokens:
                failure = codes.Failure(
                    codes.Code.BAD_REQUEST, f"max_tokens is outside 1 to {service.max_tokens}."
                )
        if failure is not None:
            actions.append(messages.ReaderFail(event.reader, failure.code, failure.message))
            return
        if key in self.open_by_key:
            self.attach_caller(self.open_by_key[key], event, now, actions)
            return
        if key in self._waiting_by_key:
            self._waiting_by_key[key].submits.append(event)
            return
        if self._takeovers.wait(key, event):
            return
        if not event.is_first_send:
            self._takeovers.begin(key, event, now, actions)
            return
        self.enqueue(event, now, actions)

    def enqueue(self, event, now, actions):
        """Puts a submitted request in the queue, or refuses it."""
        failure = self.admission_failure(now)
        if failure is None and len(self.open_by_key) >= self.settings.max_open_generations:
            failure = codes.Failure(codes.Code.QUEUE_FULL, "Too many generations are open.")
        if failure is not None:
            actions.append(messages.ReaderFail(event.reader, failure.code, failure.message))
            return
        service = self._service_by_name[event.service]
        key = (event.account, event.request_id)
        pool = self._pool(service)
        result = pool.offer(
            admission.Request(
                key, event.account, PRIORITY_BY_NAME[service.priority], service.wait_limit_s
            ),
            now,
        )
        if result.is_error():
            failure = result.error
            actions.append(messages.ReaderFail(event.reader, failure.code, failure.message))
            return
        self._waiting_by_key[key] = _Waiting([event], service)
        self._pump(pool, now, actions)

    def _pool(self, service):
        model = (service.model, service.adapter, service.version)
        pool = self._pool_by_model.get(model)
        if pool is None:
            pool = admission.Admission(self.settings.admission, 0.0)
            self._pool_by_model[model] = pool
            self._set_limits(pool)
        return pool

    def _pump(self, pool, now, actions):
        """Starts queued requests while targets have room."""
        while pool.queued():
            model = next(model for model, each in self._pool_by_model.items() if each is pool)
            if not self._has_room(model, now):
                return
            taken = pool.take(1, now)
            if not taken:
                return
            self._start(taken[0].id, now, actions)

    def _has_room(self, model, now):
        for entry in self.directory.usable_targets(now):
            if model not in entry.description.models:
                continue
            if selection.score(entry, self._sends) < 1.0:
                return True
        return False

    def _start(self, key, now, actions):
        waiting = self._waiting_by_key[key]
        submit = waiting.submits[0]
        answer = f"{self._rng.getrandbits(64):016x}"
        seed = self._rng.getrandbits(62)
        waiting.pinned = headers.pin(submit, waiting.service, self.serial, answer, seed)
        if self.settings.restarts_failed_generations:
            waiting.pinned.header.settings.prefix_tries = 0
        self._retry.admitted(submit.account, now)
        if waiting.pinned.durable:
            actions.append(messages.CommitRequest(key, headers.encode(waiting.pinned)))
            return
        self._open_admitted(key, now, actions)

    def _request_committed(self, event, now, actions):
        waiting = self._waiting_by_key.get(event.key)
        if waiting is None or waiting.pinned is None:
            return
        if event.failure is None:
            self._open_admitted(event.key, now, actions)
            return
        del self._waiting_by_key[event.key]
        self._finish_admission(event.key, waiting.pinned)
        takeovers.fail_waiting(waiting.submits, event.failure, actions)

    def _open_admitted(self, key, now, actions):
        waiting = self._waiting_by_key.pop(key)
        pinned = waiting.pinned
        machine = generation.Generation(pinned.header, *self.generation_dependencies(pinned))
        self.open_request(key, pinned, machine, waiting.submits, now, actions)

    def generation_dependencies(self, pinned) -> tuple:
        """Returns the last arguments of a `generation.Generation`: what the gateway shares."""
        ledger = self._ledger_by_service.setdefault(pinned.service, generation.WorkLedger())
        return self._detector, self._budget, ledger, self._rng

    def journal_copy_count(self, pinned) -> int:
        """Returns the number of journal copies of a request."""
        return self.settings.journal_copies_override or pinned.journal_copies

    def open_request(
        self, key, pinned, machine, waiting, now, actions, generation_number=1, replaced=0
    ):
        """Opens a request under a new journal and joins the callers that wait.

        Args:
            key: Tuple (account, request id).
            pinned: `headers.Pinned`.
            machine: `generation.Generation` that was not opened yet.
            waiting: `Submit`, `Attach` and `Cancel` events.
            now: Seconds of CLOCK_BOOTTIME.
            actions: List that the actions are appended to.
            generation_number: First generation number.
            replaced: Highest epoch counter of a lost journal of this request, or 0.
        """
        owner = replication.admit(
            key,
            self.epochs,
            self.holder_candidates(now),
            self.journal_copy_count(pinned),
            headers.encode(pinned),
            pinned.header.settings.keep_answer_s,
            self.settings.replication,
            generation=generation_number,
            replaced=replaced,
        )
        request = requests.OpenRequest(key, pinned, owner, machine, self)
        self.open_by_key[key] = request
        request.owner_event(replication.Start(), now, actions)
        request.handle(generation_messages.Opened(), now, actions)
        for event in waiting:
            self.attach_caller(request, event, now, actions)

    def _finish_admission(self, key, pinned):
        header = pinned.header
        pool = self._pool_by_model.get((header.model, header.adapter, header.version))
        if pool is not None:
            pool.finish(key)

    # Callers.

    def attach_caller(self, request, event, now, actions):
        """Attaches a waiting `Submit`, `Attach` or `Cancel` to an open request."""
        kind = type(event)
        if kind is messages.Cancel:
            request.handle(generation_messages.CallerCancelled(), now, actions)
            actions.append(messages.ReaderFail(event.reader, codes.Code.OK, "cancelled"))
            return
        generation_number, offset = None, 0
        if kind is messages.Submit:
            digest = headers.digest_body(event.service, event.prompt, event.max_tokens)
            if digest != request.pinned.body_digest:
                actions.append(
                    messages.ReaderFail(
                        event.reader,
                        codes.Code.KEY_REUSED,
                        "The request id was used with another body.",
                    )
                )
                return
        elif event.answer == request.pinned.answer:
            generation_number, offset = event.generation, event.offset
        request.handle(
            generation_messages.ReaderAttached(
                event.reader, generation_number, offset, event.streamed
            ),
            now,
            actions,
        )

    def _attach(self, event, now, actions):
        key = (event.account, event.request_id)
        if key in self.open_by_key:
            self.attach_caller(self.open_by_key[key], event, now, actions)
        elif key in self._waiting_by_key and type(event) is messages.Attach:
            self._waiting_by_key[key].submits.append(event)
        elif not self._takeovers.wait(key, event):
            self._takeovers.begin(key, event, now, actions)

    def _from_reader(self, event, now, actions):
        request = self.open_by_key.get(event.key)
        if request is not None:
            request.handle(event.event, now, actions)
            return
        if type(event.event) is not generation_messages.ReaderLeft:
            return
        reader = event.event.reader
        self._takeovers.reader_left(reader)
        # A caller that left the queue must not be run for nobody.
        for key, waiting in list(self._waiting_by_key.items()):
            waiting.submits = [each for each in waiting.submits if each.reader != reader]
            if waiting.submits or waiting.pinned is not None:
                continue
            if waiting.service.on_absence == generation.ABSENCE_CANCEL:
                self._pool(waiting.service).cancel(key)
                del self._waiting_by_key[key]

    def _from_engine(self, event, now, actions):
        request = self.open_by_key.get(event.key)
        if request is not None:
            request.handle(event.event, now, actions)

    def submit_unknown(self, event, now, actions):
        """Admits a submitted request that neither a journal nor control knows."""
        key = (event.account, event.request_id)
        if key in self.open_by_key:
            self.attach_caller(self.open_by_key[key], event, now, actions)
        elif key in self._waiting_by_key:
            self._waiting_by_key[key].submits.append(event)
        else:
            self.enqueue(event, now, actions)

    def _request_found(self, event, now, actions):
        self._takeovers.request_found(event, now, actions)

    def _generation_claimed(self, event, now, actions):
        self._takeovers.generation_claimed(event, now, actions)

    def _adopt(self, event, now, actions):
        if event.key not in self.open_by_key and event.key not in self._waiting_by_key:
            self._takeovers.adopt(event.key, now, actions)

    def is_waiting(self, key) -> bool:
        """Returns whether a request is in the queue or waits for its commit at control."""
        return key in self._waiting_by_key

    # Journals.

    def _journal_request(self, event, now, actions):
        replies = []
        for message in event.messages:
            replies.extend(self.store.handle(message, now))
        actions.append(messages.JournalReplies(event.token, replies))

    def _journal_received(self, event, now, actions):
        for message in event.messages:
            if type(message) is journal.ReplyBatch:
                for entry in message.entries:
                    self._journal_reply(event.sender, entry, now, actions)
                continue
            self._journal_reply(event.sender, message, now, actions)

    def _journal_reply(self, sender, reply, now, actions):
        request = self.open_by_key.get(reply.key)
        if request is not None:
            if type(reply) is journal.Accepted:
                results = request.owner.acknowledge(sender, reply, now)
                if results:
                    request.owner_actions(results, now, actions)
                return
            request.owner_event(replication.Received(sender, reply), now, actions)
            return
        self._takeovers.received(sender, reply, now, actions)

    def holder_candidates(self, now, with_draining=False):
        """Returns the live gateways that may hold journals, as `ranking.Gateway`."""
        return [
            ranking.Gateway(holder_id(entry.description), entry.description.availability_zone)
            for entry in self.directory.live_gateways(now)
            if with_draining or entry.state == "ready"
        ]

    # Calls of `requests.OpenRequest`.

    def choose_target(self, request, action, now):
        """Returns the directory entry of the target for an attempt, or None."""
        header = request.pinned.header
        need = selection.Need(
            self.directory.own.description.availability_zone,
            model=(header.model, header.adapter, header.version),
            exclude=action.exclude,
            avoid_zones=[
                zone
                for zone, at in self._lost_zone_at.items()
                if action.resumed and now < at + ZONE_LOSS_MEMORY_S
            ],
        )
        result = selection.choose(
            self.directory.usable_targets(now), need, self._sends, self._rng, self.settings.policy
        )
        return result.ok if result.is_ok() else None

    def choose_service_target(self, service_name: str, exclude, now):
        """Returns the directory entry of a target for a plain service's call, or None."""
        need = selection.Need(
            self.directory.own.description.availability_zone,
            service=service_name,
            exclude=exclude,
        )
        result = selection.choose(
            self.directory.usable_targets(now), need, self._sends, self._rng, self.settings.policy
        )
        return result.ok if result.is_ok() else None

    def usable_address(self, target: str, now: float) -> str:
        """Returns the address of a target if it may get new work at this moment, else empty."""
        for entry in self.directory.usable_targets(now):
            if entry.description.id == target:
                return entry.description.address
        return ""

    def spend_retry(self, account: str, now: float) -> bool:
        """Takes one retry from the budgets; returns whether there was one."""
        return self._budget.take(account, now)

    def admit_call(self, account: str, service, call_id, now: float):
        """Admits a plain service call, which is not queued.

        Returns:
            None, or why the call is refused as a `codes.Failure`. An admitted call is ended by
            `finish_call`.
        """
        failure = self.admission_failure(now)
        if failure is not None:
            return failure
        pool = self._call_pool()
        priority = PRIORITY_BY_NAME[service.priority]
        request = admission.Request(call_id, account, priority, service.wait_limit_s)
        result = pool.offer(request, now)
        if result.is_error():
            return result.error
        pool.take(1, now)
        self._retry.admitted(account, now)
        return None

    def finish_call(self, call_id):
        """Ends an admitted call."""
        self._call_pool().finish(call_id)

    def _call_pool(self):
        pool = self._pool_by_model.get(None)
        if pool is None:
            pool = self._pool_by_model[None] = admission.Admission(self.settings.admission, 0.0)
            self._set_limits(pool)
        return pool

    def attempt_started(self, request, number, target, now):
        """Notes a send and returns the target's address."""
        entry = self.directory.by_id.get(target)
        if entry is None:
            return ""
        self._sends.sent(entry, now)
        request.entry_by_attempt[number] = entry
        return entry.description.address

    def attempt_finished(self, request, number, now):
        """Notes that an attempt takes no more of its target's capacity."""
        entry = request.entry_by_attempt.pop(number, None)
        if entry is not None:
            self._sends.finished(entry, now)

    def target_address(self, target):
        """Returns the address of a target, or an empty string if it is not known any more."""
        entry = self.directory.by_id.get(target)
        return "" if entry is None else entry.description.address

    def sampling_seed(self, request, number):
        """Returns the sampling seed of a generation."""
        return generation.generation_seed(request.pinned.header.seed, number)

    def engine_priority(self, pinned, resumed):
        """Returns the priority for engines, of which the lowest number goes first."""
        return 0 if resumed else 1 + PRIORITY_BY_NAME[pinned.priority]

    def request_finished(self, request, code, now, actions):
        """Handles the outcome of a request."""
        self._finish_admission(request.key, request.pinned)
        actions.append(messages.Note(request.key, code.name))

    def request_released(self, request, now, actions):
        """Drops a request of which nothing is left to do."""
        if self.open_by_key.get(request.key) is request:
            del self.open_by_key[request.key]
        outcome = request.machine.outcome
        lost = (codes.Code.OWNERSHIP_LOST, codes.Code.JOURNAL_UNAVAILABLE)
        if outcome not in lost and outcome is not codes.Code.OK:
            request.release_journal(now, actions)
        if request.pinned.durable and outcome not in lost:
            actions.append(messages.FinishRequest(request.key))

    # Time.

    def _tick(self, event, now, actions):
        for request in list(self.open_by_key.values()):
            if request.timer is not None and request.timer <= now:
                request.timer = None
                request.handle(generation_messages.Tick(), now, actions)
            if request.owner.deadline <= now:
                request.owner_event(journal.Tick(), now, actions)
        self._takeovers.tick(now, actions)
        if now >= self._scan_at:
            self._scan_at = now + SCAN_INTERVAL_S
            self._scan(now, actions)
        for pool in self._pool_by_model.values():
            if not pool.queued():
                continue
            self._expire(pool, now, actions)
            self._pump(pool, now, actions)

    def _expire(self, pool, now, actions):
        for expired, failure in pool.expire(now):
            waiting = self._waiting_by_key.pop(expired.id, None)
            if waiting is not None:
                takeovers.fail_waiting(waiting.submits, failure, actions)

    def _scan(self, now, actions):
        self._scan_gateways(now, actions)
        self._scan_targets(now, actions)
        self._takeovers.scan_orphans(now, actions)
        self.store.handle(journal.Tick(), now)
        self._sends.forget_before(now - directory.RETENTION_SECONDS)

    def _scan_gateways(self, now, actions):
        if not self.directory.is_current(now):
            return
        limit = self.settings.suspect_s
        live = tuple(
            sorted(
                holder_id(entry.description)
                for entry in self.directory.live_gateways(now, limit)
                if entry.state == "ready"
            )
        )
        if live != self._live:
            self._live = live
            self._live_gateways = [
                gateway for gateway in self.holder_candidates(now) if gateway.holder in live
            ]
            for pool in self._pool_by_model.values():
                pool.set_live_gateways(max(1, len(live)))
        # A journal that was admitted or taken over since the last change may have a holder that
        # was lost before, or too few of them.
        for request in list(self.open_by_key.values()):
            if request.owner.gateways is not self._live_gateways:
                event = replication.GatewaysChanged(self._live_gateways)
                request.owner_event(event, now, actions)

    def _scan_targets(self, now, actions):
        usable = {entry.description.id for entry in self.directory.usable_targets(now)}
        for target, zone in self._usable_zone_by_target.items():
            if target not in usable:
                self._lost_zone_at[zone] = now
        self._usable_zone_by_target = {
            entry.description.id: entry.description.availability_zone
            for entry in self.directory.usable_targets(now)
        }
        is_current = self.directory.is_current(now)
        for request in list(self.open_by_key.values()):
            for target in request.machine.targets() - usable:
                entry = self.directory.by_id.get(target)
                if entry is None and is_current:
                    request.handle(generation_messages.TargetLost(target), now, actions)
                elif entry is not None and entry.state == "leaving":
                    request.handle(generation_messages.TargetLeaving(target), now, actions)

    def _drain(self, event, now, actions):
        if self._drain_at is None:
            self._drain_at = now
            self.directory.set_own_state("draining", len(self.open_by_key), 0)


def holder_id(description) -> str:
    """Returns the holder id of a gateway: its name with its incarnation."""
    return f"{description.id}.{description.incarnation}"


HANDLER_BY_EVENT = {
    messages.Submit: GatewayCore.submit,
    messages.Attach: GatewayCore._attach,
    messages.Cancel: GatewayCore._attach,
    messages.FromReader: GatewayCore._from_reader,
    messages.FromEngine: GatewayCore._from_engine,
    messages.JournalRequest: GatewayCore._journal_request,
    messages.JournalReceived: GatewayCore._journal_received,
    messages.BundleConfirmed: GatewayCore._bundle_confirmed,
    messages.RequestCommitted: GatewayCore._request_committed,
    messages.RequestFound: GatewayCore._request_found,
    messages.GenerationClaimed: GatewayCore._generation_claimed,
    messages.Adopt: GatewayCore._adopt,
    messages.Tick: GatewayCore._tick,
    messages.Drain: GatewayCore._drain,
}
