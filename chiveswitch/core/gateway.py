"""The core of one gateway: admission, open generations, takeovers and the holders of journals.

`GatewayCore.handle(event, now)` does no I/O and returns the actions to execute; events and actions
are defined in `gateway_messages`. The daemon, the tests and the embedded mode run this same code.
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

# Interval of the checks for lost gateways, lost targets and journals without an owner.
SCAN_INTERVAL_SECONDS = 0.25
# For this long after its start a gateway refuses work until it has found enough gateways to hold
# its journals. Afterwards it uses the gateways that it has found, because the others may be dead.
STARTUP_GRACE_SECONDS = 5.0
STARTUP_MIN_GATEWAYS = 3
# After `addresses.DRAIN_ACCEPT_SECONDS` a draining gateway waits at most this long for other
# gateways to replace it as a journal holder.
JOURNAL_HANDOFF_SECONDS = 5.0
PRIORITY_BY_NAME = {"lookup": 0, "interactive": 1, "batch": 2}
# Resumed attempts avoid a zone for this long after one of its targets became unusable.
ZONE_LOSS_AVOID_SECONDS = 5.0


class _GenerationRetryBudget:
    """Adapts `retry.RetryBudget` to the interface that `generation.Generation` uses."""

    __slots__ = ("_budget",)

    def __init__(self, budget):
        self._budget = budget

    def take(self, account, now):
        """Spends one retry of the account; returns False if the budget is spent."""
        return self._budget.spend_retry(account, now).is_ok()


class _PendingSubmission:
    """A submitted request that is queued, or that control has not yet committed.

    Attributes:
        waiting_events: `Submit` and `Attach` events of the waiting callers; the first one created
            this entry.
        service: `bundles.Service`.
        pinned: `headers.PinnedRequest` once the request has left the queue, else None.
    """

    __slots__ = ("waiting_events", "service", "pinned")

    def __init__(self, waiting_events, service):
        self.waiting_events = waiting_events
        self.service = service
        self.pinned = None


class GatewayCore:
    """State and decisions of one gateway.

    Attributes:
        settings: `gateway_settings.GatewaySettings`.
        directory: `directory.Directory`, to which the daemon also passes announcements and pulls.
        store: `journal.JournalStore` of the journal copies held here, this gateway's own included.
        epochs: `replication.EpochSource` with this gateway's holder id.
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
        self._bundle_confirmed_at = -1e9
        self._started_at = now
        self._service_by_name = {}
        self._account_by_digest = {}
        self._pending_by_key = {}
        self._takeovers = takeovers.TakeoverManager(self, rng)
        self._queue_by_model = {}
        self._work_ledger_by_service = {}
        self._retry_budget = retry.RetryBudget(settings.retry, now)
        self._generation_retry_budget = _GenerationRetryBudget(self._retry_budget)
        self._detector = detector.DETECTOR_BY_NAME[settings.detector]()
        self._send_tracker = selection.SendTracker()
        self._next_scan_at = now
        self._live_holder_ids = ()
        self._live_holders = ()
        self._draining_since = None
        self._target_lost_at_by_zone = {}
        self._zone_by_usable_target = {}

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

    # The bundle in force, and admission.

    def authenticate(self, token: str) -> str:
        """Returns the client account that an API key belongs to, or an empty string."""
        digest = hashlib.sha256(token.encode()).hexdigest()
        return self._account_by_digest.get(digest, "")

    def service(self, name: str):
        """Returns the `bundles.Service` of a name, or None."""
        return self._service_by_name.get(name)

    def admission_failure(self, now: float):
        """Returns a `codes.Failure` if this gateway admits no new work at present, else None."""
        if (
            self._draining_since is not None
            and now >= self._draining_since + addresses.DRAIN_ACCEPT_SECONDS
        ):
            return codes.Failure(codes.Code.DRAINING, "This gateway is shutting down.")
        if self.bundle is None or now >= self._bundle_confirmed_at + self.settings.bundle_lease_s:
            return codes.Failure(
                codes.Code.BUNDLE_STALE,
                "Control has not confirmed this gateway's bundle recently enough.",
            )
        if now < self._started_at + STARTUP_GRACE_SECONDS:
            ready_count = sum(entry.state == "ready" for entry in self.directory.live_gateways(now))
            if ready_count < min(STARTUP_MIN_GATEWAYS, self.settings.gateway_count):
                return codes.Failure(
                    codes.Code.VIEW_INCOMPLETE,
                    "This gateway has just started and has not found enough other gateways yet.",
                )
        return None

    def permission_failure(self, account: str, service_name: str, kind: str):
        """Returns a `codes.Failure` if an account may not use a service, else None.

        Args:
            account: Authenticated client account.
            service_name: Name of the service.
            kind: Kind that the service must have, `generation` or `call`.
        """
        service = self._service_by_name.get(service_name)
        if service is None or service.kind != kind:
            return codes.Failure(
                codes.Code.SERVICE_UNKNOWN, f"No {kind} service has the name {service_name!r}."
            )
        if account not in service.accounts:
            return codes.Failure(
                codes.Code.NOT_PERMITTED,
                f"The account has no permission for the service {service_name!r}.",
            )
        return None

    def is_drained(self, now: float) -> bool:
        """Returns whether a draining gateway may exit without interrupting a request.

        Journal copies of other gateways delay the exit by `JOURNAL_HANDOFF_SECONDS` at most.
        """
        if (
            self._draining_since is None
            or now < self._draining_since + addresses.DRAIN_ACCEPT_SECONDS
        ):
            return False
        for request in self.open_by_key.values():
            if request.machine.outcome is None or request.machine.has_readers():
                return False
        if self._pending_by_key or self._takeovers.has_pending_requests():
            return False
        holds_foreign_journals = any(
            entry.accepted[1] != self.epochs.holder for entry in self.store.journal_by_key.values()
        )
        return (
            not holds_foreign_journals
            or now
            >= self._draining_since + addresses.DRAIN_ACCEPT_SECONDS + JOURNAL_HANDOFF_SECONDS
        )

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
            for queue in self._queue_by_model.values():
                self._apply_limits(queue)
        self._bundle_confirmed_at = max(self._bundle_confirmed_at, event.asked_at)

    def _apply_limits(self, queue):
        queue.set_limits(
            {
                account.name: admission.AccountLimits(
                    account.requests_per_second, account.open_requests, account.weight
                )
                for account in self.bundle.accounts
            }
        )
        queue.set_live_gateways(max(1, len(self._live_holder_ids)))

    def submit(self, event, now, actions):
        """Handles a `Submit` event: attaches it to the request if one exists, else admits it."""
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
        if key in self._pending_by_key:
            self._pending_by_key[key].waiting_events.append(event)
            return
        if self._takeovers.join_pending(key, event):
            return
        if not event.is_first_send:
            self._takeovers.start_takeover(key, event, now, actions)
            return
        self.enqueue(event, now, actions)

    def enqueue(self, event, now, actions):
        """Queues a submitted request for admission, or refuses it."""
        failure = self.admission_failure(now)
        if failure is None and len(self.open_by_key) >= self.settings.max_open_generations:
            failure = codes.Failure(
                codes.Code.QUEUE_FULL,
                "The gateway's limit of open generations is reached.",
            )
        if failure is not None:
            actions.append(messages.ReaderFail(event.reader, failure.code, failure.message))
            return
        service = self._service_by_name[event.service]
        key = (event.account, event.request_id)
        queue = self._admission_queue(service)
        result = queue.offer(
            admission.Request(
                key, event.account, PRIORITY_BY_NAME[service.priority], service.wait_limit_s
            ),
            now,
        )
        if result.is_error():
            failure = result.error
            actions.append(messages.ReaderFail(event.reader, failure.code, failure.message))
            return
        self._pending_by_key[key] = _PendingSubmission([event], service)
        self._start_queued(queue, now, actions)

    def _admission_queue(self, service):
        model = (service.model, service.adapter, service.version)
        queue = self._queue_by_model.get(model)
        if queue is None:
            queue = admission.AdmissionQueue(self.settings.admission, 0.0)
            self._queue_by_model[model] = queue
            self._apply_limits(queue)
        return queue

    def _start_queued(self, queue, now, actions):
        """Starts queued requests while a target of their model has free capacity."""
        while queue.queued_count():
            model = next(model for model, each in self._queue_by_model.items() if each is queue)
            if not self._has_capacity(model, now):
                return
            dequeued = queue.dequeue(1, now)
            if not dequeued:
                return
            self._admit(dequeued[0].id, now, actions)

    def _has_capacity(self, model, now):
        for entry in self.directory.usable_targets(now):
            if model not in entry.description.models:
                continue
            if selection.load_score(entry, self._send_tracker) < 1.0:
                return True
        return False

    def _admit(self, key, now, actions):
        pending = self._pending_by_key[key]
        submit = pending.waiting_events[0]
        answer = f"{self._rng.getrandbits(64):016x}"
        seed = self._rng.getrandbits(62)
        pending.pinned = headers.pin_request(submit, pending.service, self.serial, answer, seed)
        if self.settings.restarts_failed_generations:
            pending.pinned.header.settings.max_prefix_refusals = 0
        self._retry_budget.record_admission(submit.account, now)
        if pending.pinned.durable:
            actions.append(messages.CommitRequest(key, headers.encode(pending.pinned)))
            return
        self._open_admitted(key, now, actions)

    def _request_committed(self, event, now, actions):
        pending = self._pending_by_key.get(event.key)
        if pending is None or pending.pinned is None:
            return
        if event.failure is None:
            self._open_admitted(event.key, now, actions)
            return
        del self._pending_by_key[event.key]
        self._release_admission(event.key, pending.pinned)
        takeovers.fail_waiting_callers(pending.waiting_events, event.failure, actions)

    def _open_admitted(self, key, now, actions):
        pending = self._pending_by_key.pop(key)
        pinned = pending.pinned
        machine = generation.Generation(pinned.header, *self.generation_dependencies(pinned))
        self.open_request(key, pinned, machine, pending.waiting_events, now, actions)

    def generation_dependencies(self, pinned) -> tuple:
        """Returns the objects that a request's `generation.Generation` shares with the others.

        They are its last constructor arguments: detector, retry budget, work ledger of the service,
        and random source.
        """
        ledger = self._work_ledger_by_service.setdefault(pinned.service, generation.WorkLedger())
        return self._detector, self._generation_retry_budget, ledger, self._rng

    def journal_copy_count(self, pinned) -> int:
        """Returns the number of journal copies for a request."""
        return self.settings.journal_copies_override or pinned.journal_copies

    def open_request(
        self, key, pinned, machine, waiting, now, actions, generation_number=1, replaced=0
    ):
        """Opens a request under a new journal and attaches the callers that wait for it.

        Args:
            key: Tuple (account, request id).
            pinned: `headers.PinnedRequest` of the request.
            machine: `generation.Generation` that has not been opened yet.
            waiting: `Submit`, `Attach` and `Cancel` events of the waiting callers.
            now: Seconds of CLOCK_BOOTTIME.
            actions: List to which the resulting actions are appended.
            generation_number: First generation number.
            replaced: Highest epoch counter of a lost journal of this request, or 0.
        """
        owner = replication.create_owner(
            key,
            self.epochs,
            self.holder_candidates(now),
            self.journal_copy_count(pinned),
            headers.encode(pinned),
            pinned.header.settings.keep_answer_s,
            self.settings.replication,
            generation=generation_number,
            replaced_epoch_counter=replaced,
        )
        request = requests.OpenRequest(key, pinned, owner, machine, self)
        self.open_by_key[key] = request
        request.handle_owner_event(replication.Start(), now, actions)
        request.handle(generation_messages.GenerationOpened(), now, actions)
        for event in waiting:
            self.attach_caller(request, event, now, actions)

    def _release_admission(self, key, pinned):
        header = pinned.header
        queue = self._queue_by_model.get((header.model, header.adapter, header.version))
        if queue is not None:
            queue.finish(key)

    # Events of callers and engines.

    def attach_caller(self, request, event, now, actions):
        """Applies a caller's `Submit`, `Attach` or `Cancel` to an open request."""
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

    def _attach_or_cancel(self, event, now, actions):
        key = (event.account, event.request_id)
        if key in self.open_by_key:
            self.attach_caller(self.open_by_key[key], event, now, actions)
        elif key in self._pending_by_key and type(event) is messages.Attach:
            self._pending_by_key[key].waiting_events.append(event)
        elif not self._takeovers.join_pending(key, event):
            self._takeovers.start_takeover(key, event, now, actions)

    def _from_reader(self, event, now, actions):
        request = self.open_by_key.get(event.key)
        if request is not None:
            request.handle(event.event, now, actions)
            return
        if type(event.event) is not generation_messages.ReaderDisconnected:
            return
        reader = event.event.reader
        self._takeovers.remove_reader(reader)
        # A queued request that no caller waits for any more is dropped, unless its service keeps
        # running without callers.
        for key, pending in list(self._pending_by_key.items()):
            pending.waiting_events = [
                each for each in pending.waiting_events if each.reader != reader
            ]
            if pending.waiting_events or pending.pinned is not None:
                continue
            if pending.service.on_absence == generation.ABSENCE_CANCEL:
                self._admission_queue(pending.service).cancel(key)
                del self._pending_by_key[key]

    def _from_engine(self, event, now, actions):
        request = self.open_by_key.get(event.key)
        if request is not None:
            request.handle(event.event, now, actions)

    def submit_unknown(self, event, now, actions):
        """Admits a submitted request of which no journal and no record at control was found."""
        key = (event.account, event.request_id)
        if key in self.open_by_key:
            self.attach_caller(self.open_by_key[key], event, now, actions)
        elif key in self._pending_by_key:
            self._pending_by_key[key].waiting_events.append(event)
        else:
            self.enqueue(event, now, actions)

    def _request_found(self, event, now, actions):
        self._takeovers.handle_request_found(event, now, actions)

    def _generation_claimed(self, event, now, actions):
        self._takeovers.handle_generation_claimed(event, now, actions)

    def _adopt(self, event, now, actions):
        if event.key not in self.open_by_key and event.key not in self._pending_by_key:
            self._takeovers.adopt_request(event.key, now, actions)

    def is_waiting(self, key) -> bool:
        """Returns whether a request is queued or waits for its commit at control."""
        return key in self._pending_by_key

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
                results = request.owner.handle_accepted(sender, reply, now)
                if results:
                    request.execute_owner_actions(results, now, actions)
                return
            request.handle_owner_event(replication.ReplyReceived(sender, reply), now, actions)
            return
        self._takeovers.handle_reply(sender, reply, now, actions)

    def holder_candidates(self, now, with_draining=False):
        """Returns the live gateways that may hold journals, as a list of `ranking.Gateway`.

        Args:
            now: Seconds of CLOCK_BOOTTIME.
            with_draining: Whether draining gateways are included.
        """
        return [
            ranking.Gateway(holder_id(entry.description), entry.description.availability_zone)
            for entry in self.directory.live_gateways(now)
            if with_draining or entry.state == "ready"
        ]

    # Functions that `requests.OpenRequest` and the runner of plain service calls use.

    def choose_target(self, request, action, now):
        """Returns the directory entry of the target for an attempt, or None if no target fits."""
        header = request.pinned.header
        requirements = selection.TargetRequirements(
            self.directory.own.description.availability_zone,
            model=(header.model, header.adapter, header.version),
            exclude=action.exclude,
            avoid_zones=[
                zone
                for zone, at in self._target_lost_at_by_zone.items()
                if action.resumed and now < at + ZONE_LOSS_AVOID_SECONDS
            ],
        )
        result = selection.select_target(
            self.directory.usable_targets(now),
            requirements,
            self._send_tracker,
            self._rng,
            self.settings.policy,
        )
        return result.ok if result.is_ok() else None

    def choose_service_target(self, service_name: str, exclude, now):
        """Returns the directory entry of a target for a plain service call, or None.

        Args:
            service_name: Name of the plain service.
            exclude: Ids of targets that must not be chosen.
            now: Seconds of CLOCK_BOOTTIME.
        """
        requirements = selection.TargetRequirements(
            self.directory.own.description.availability_zone,
            service=service_name,
            exclude=exclude,
        )
        result = selection.select_target(
            self.directory.usable_targets(now),
            requirements,
            self._send_tracker,
            self._rng,
            self.settings.policy,
        )
        return result.ok if result.is_ok() else None

    def usable_address(self, target: str, now: float) -> str:
        """Returns the address of a target that may get new work, or an empty string."""
        for entry in self.directory.usable_targets(now):
            if entry.description.id == target:
                return entry.description.address
        return ""

    def spend_retry(self, account: str, now: float) -> bool:
        """Spends one retry of an account; returns False if the retry budget is spent."""
        return self._generation_retry_budget.take(account, now)

    def admit_call(self, account: str, service, call_id, now: float):
        """Admits or refuses a plain service call; such calls never wait in the queue.

        Returns:
            None if the call is admitted, else a `codes.Failure`. `finish_call` must follow for an
            admitted call.
        """
        failure = self.admission_failure(now)
        if failure is not None:
            return failure
        queue = self._call_admission_queue()
        priority = PRIORITY_BY_NAME[service.priority]
        request = admission.Request(call_id, account, priority, service.wait_limit_s)
        result = queue.offer(request, now)
        if result.is_error():
            return result.error
        queue.dequeue(1, now)
        self._retry_budget.record_admission(account, now)
        return None

    def finish_call(self, call_id):
        """Releases the admission of a plain service call that has ended."""
        self._call_admission_queue().finish(call_id)

    def _call_admission_queue(self):
        # All plain service calls share one queue, under the key None instead of a model.
        queue = self._queue_by_model.get(None)
        if queue is None:
            queue = self._queue_by_model[None] = admission.AdmissionQueue(
                self.settings.admission, 0.0
            )
            self._apply_limits(queue)
        return queue

    def attempt_started(self, request, number, target, now):
        """Counts an attempt towards its target's load; returns the target's address, or empty."""
        entry = self.directory.by_id.get(target)
        if entry is None:
            return ""
        self._send_tracker.record_send(entry, now)
        request.entry_by_attempt[number] = entry
        return entry.description.address

    def attempt_finished(self, request, number, now):
        """Stops counting an attempt towards its target's load."""
        entry = request.entry_by_attempt.pop(number, None)
        if entry is not None:
            self._send_tracker.record_end(entry, now)

    def target_address(self, target):
        """Returns the address of a target, or an empty string if the directory dropped it."""
        entry = self.directory.by_id.get(target)
        return "" if entry is None else entry.description.address

    def sampling_seed(self, request, number):
        """Returns the sampling seed for a generation number of a request."""
        return generation.generation_seed(request.pinned.header.seed, number)

    def engine_priority(self, pinned, resumed):
        """Returns the priority sent to engines, which run the lowest number first."""
        return 0 if resumed else 1 + PRIORITY_BY_NAME[pinned.priority]

    def request_finished(self, request, code, now, actions):
        """Releases the admission of a request that has its outcome, and traces the outcome."""
        self._release_admission(request.key, request.pinned)
        actions.append(messages.Note(request.key, code.name))

    def request_released(self, request, now, actions):
        """Drops a request that needs no further processing.

        Control may then delete the record of a durable request, and the journal of a failed request
        is released. Neither happens if another owner has the request or its journal is unavailable.
        """
        if self.open_by_key.get(request.key) is request:
            del self.open_by_key[request.key]
        outcome = request.machine.outcome
        lost = (codes.Code.OWNERSHIP_LOST, codes.Code.JOURNAL_UNAVAILABLE)
        if outcome not in lost and outcome is not codes.Code.OK:
            request.release_journal(now, actions)
        if request.pinned.durable and outcome not in lost:
            actions.append(messages.FinishRequest(request.key))

    # Timers and periodic checks.

    def _tick(self, event, now, actions):
        for request in list(self.open_by_key.values()):
            if request.timer is not None and request.timer <= now:
                request.timer = None
                request.handle(generation_messages.Tick(), now, actions)
            if request.owner.deadline <= now:
                request.handle_owner_event(journal.Tick(), now, actions)
        self._takeovers.tick(now, actions)
        if now >= self._next_scan_at:
            self._next_scan_at = now + SCAN_INTERVAL_SECONDS
            self._scan(now, actions)
        for queue in self._queue_by_model.values():
            if not queue.queued_count():
                continue
            self._fail_expired(queue, now, actions)
            self._start_queued(queue, now, actions)

    def _fail_expired(self, queue, now, actions):
        for expired, failure in queue.expire(now):
            pending = self._pending_by_key.pop(expired.id, None)
            if pending is not None:
                takeovers.fail_waiting_callers(pending.waiting_events, failure, actions)

    def _scan(self, now, actions):
        self._scan_gateways(now, actions)
        self._scan_targets(now, actions)
        self._takeovers.take_over_orphans(now, actions)
        self.store.handle(journal.Tick(), now)
        self._send_tracker.forget_before(now - directory.RETENTION_SECONDS)

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
        if live != self._live_holder_ids:
            self._live_holder_ids = live
            self._live_holders = [
                gateway for gateway in self.holder_candidates(now) if gateway.holder in live
            ]
            for queue in self._queue_by_model.values():
                queue.set_live_gateways(max(1, len(live)))
        # A journal that was opened or taken over since the last change may have too few holders, or
        # a holder that was already lost.
        for request in list(self.open_by_key.values()):
            if request.owner.gateways is not self._live_holders:
                event = replication.GatewaysChanged(self._live_holders)
                request.handle_owner_event(event, now, actions)

    def _scan_targets(self, now, actions):
        usable = {entry.description.id for entry in self.directory.usable_targets(now)}
        for target, zone in self._zone_by_usable_target.items():
            if target not in usable:
                self._target_lost_at_by_zone[zone] = now
        self._zone_by_usable_target = {
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
        if self._draining_since is None:
            self._draining_since = now
            self.directory.set_own_state("draining", len(self.open_by_key), 0)


def holder_id(description) -> str:
    """Returns the id of a gateway as a journal holder: `<gateway id>.<incarnation>`."""
    return f"{description.id}.{description.incarnation}"


HANDLER_BY_EVENT = {
    messages.Submit: GatewayCore.submit,
    messages.Attach: GatewayCore._attach_or_cancel,
    messages.Cancel: GatewayCore._attach_or_cancel,
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
