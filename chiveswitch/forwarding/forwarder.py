"""Admission of forwarded requests: determines route, client account and deadline of a request and
calls the handler of its route's kind."""

import asyncio
import math
import random

from chiveswitch.core import (
    clock,
    codes,
    detector,
    pace,
    placement,
    prompt_quarantine,
    rank,
    retry,
    routing,
    speeds,
    stream_admission,
    versions,
)
from chiveswitch.forwarding import channel as channels
from chiveswitch.forwarding import exchange, overload_guard, pauses, pool, rate_limiter

# Time in seconds for which a caller that states no deadline is assumed to wait. The route's timeout
# applies as well.
DEFAULT_WAIT_SECONDS = 60.0
# Seconds before the caller's deadline that are reserved for sending the response to the caller.
RESPONSE_MARGIN_SECONDS = 0.01
# Retry-After in seconds for a request refused by a stopping gateway. The caller retries at another
# gateway.
DRAINING_RETRY_AFTER_SECONDS = 0.05

# Seconds after the start of the process within which its first bundle and the announcements of
# targets arrive. They need an election, a watch and one heartbeat interval.
STARTUP_SECONDS = 3.0
# Longest time in seconds, and share of the caller's waiting time, for which a request waits for
# this data. A refusal would use up the caller's only other attempt, although the request can be
# served soon.
MAX_STARTUP_WAIT_SECONDS = 1.0
STARTUP_WAIT_SHARE = 0.25
STARTUP_POLL_SECONDS = 0.02
# Time in seconds for which waiting streams share one computation of the targets' loads. Reports of
# other gateways are older than that.
LOADS_KEPT_SECONDS = 0.05

# Ratio by which the factor of a target has to change before the change is logged.
MIN_LOGGED_RATIO = 1.25
# Order of a service that no route of the bundle leads to any more.
UNORDERED = routing.ServiceOrder()

HANDLER_BY_KIND = {}


def register_handler(*kinds: routing.Kind):
    """Returns a decorator that registers the coroutine function serving routes of some kinds."""

    def register(function):
        for kind in kinds:
            HANDLER_BY_KIND[kind] = function
        return function

    return register


class Drain:
    """Limits of the requests that a stopping gateway still serves.

    Attributes:
        cut_at: Time at which open requests are cut, in seconds of `core.clock`.
        streams_until: Time until which a stream that its caller can resume at another gateway is
            admitted although it may be cut, in seconds of `core.clock`.
    """

    __slots__ = ("cut_at", "streams_until")

    def __init__(self, cut_at: float, streams_until: float):
        self.cut_at = cut_at
        self.streams_until = streams_until


class AdmittedRequest:
    """An authenticated request that has a route and a deadline.

    Attributes:
        request: The `http_server.Request`.
        responder: The `http_server.Responder`.
        caller: The `exchange.CallerRequest`.
        bundle: The `routing.RouteBundle` that was in force when the request arrived.
        route: Its `routing.Route`.
        service: Its `routing.Service`.
        account: Name of its client account, or None.
        deadline: Time by which the request must be answered, in seconds of `core.clock`.
        rank: Its `rank.Rank`.
        parts: Keys of the parts of its prompt; see `prompt_quarantine.part_keys`.
        send_count: Number of times that the request was sent to a target.
        may_have_run: Whether a target may have run it.
        target_id: Id of the target to which it was sent last, or an empty string.
        cut_timer: `asyncio.Timeout` that ends the request when the process stops.
        version_draw: Draw by which a share of the requests goes to a version that is rolled out.
    """

    __slots__ = (
        "request",
        "responder",
        "caller",
        "bundle",
        "route",
        "service",
        "account",
        "deadline",
        "rank",
        "parts",
        "send_count",
        "may_have_run",
        "target_id",
        "cut_timer",
        "version_draw",
    )

    def __init__(self, request, responder, caller, bundle, route, service, account, deadline):
        self.request = request
        self.responder = responder
        self.caller = caller
        self.bundle = bundle
        self.route = route
        self.service = service
        self.account = account
        self.deadline = deadline
        priority = route.priority
        known_account = bundle.account_by_key.get(caller.account_key)
        if known_account is not None and known_account.priority is not None:
            priority = known_account.priority
        self.rank = rank.Rank(
            priority,
            route.priority,
            caller.last_event_id is not None,
            request.received_at + route.objective_s,
        )
        self.parts = prompt_quarantine.part_keys(caller.model, caller.prompt_parts)
        self.send_count = 0
        self.may_have_run = False
        self.target_id = ""
        self.cut_timer = asyncio.timeout(None)
        self.version_draw = versions.NO_SHARE_DRAW

    @property
    def priority(self) -> int:
        """Priority of the request; 0 is the most urgent."""
        return self.rank.priority

    @property
    def service_order(self) -> routing.ServiceOrder:
        """The order among the requests to its service."""
        return self.bundle.order_by_service.get(self.service.name, UNORDERED)

    def remaining_s(self) -> float:
        """Returns the seconds until the deadline."""
        return self.deadline - clock.now()

    @property
    def is_cut(self) -> bool:
        """Whether the request is ended because the process stops."""
        return self.cut_timer.expired()

    def cut(self):
        """Ends the request."""
        if not self.is_cut:
            self.cut_timer.reschedule(asyncio.get_running_loop().time())


async def _fetch_unknown_status(_run):
    return placement.RunStatus(None)


class Forwarder:
    """Forwards the requests of one gateway.

    Attributes:
        dialect: The `exchange.Dialect` of the platform.
        target_table: `target_table.TargetTable`.
        run_table: `placement.RunTable`.
        pool: `pool.ChannelPool`.
        detector: `detector.AdaptiveDetector` with the silence limits of each engine.
        retry_budgets: `retry.ServiceRetryBudgets` of this gateway.
        bundle: The `routing.RouteBundle` in force, or None before the first one.
        log: `decision_log.DecisionLog`.
        metrics: `metrics.Metrics`.
        zone: Availability zone of this gateway.
        node_name: Name of this gateway's node.
        report_run: Function that is called with each changed `placement.Run`.
        quarantine: `prompt_quarantine.PromptQuarantine` with the prompts that crash engines.
        report_prompt: Function that is called with each `prompt_quarantine.Report` for the other
            gateways.
        speeds: `speeds.SpeedTable` with the lasting speeds of targets.
        limiter: `rate_limiter.RateLimiter` with the limits that targets name.
        overload: `overload_guard.OverloadGuard` of services whose targets are full.
        fetch_run_status: Coroutine function that returns the `placement.RunStatus` of another
            gateway's run.
        open_streams: Streams whose callers are present; each has `run`.
        report_leaving: Function that is called with each target that states in a response that it
            leaves.
        starting_streams: Streams that wait for the first events of an engine; each has
            `cancel_start`.
        stream_queue_by_service: `stream_admission.StreamQueue` by service.
        drain: `Drain` of a stopping process, or None.
        open_requests: Set of the `AdmittedRequest`s in progress.
        rng: Random number generator for the choice of services and targets.
        versions: `versions.VersionPolicy` with the orders of versions.
    """

    __slots__ = (
        "dialect",
        "target_table",
        "run_table",
        "pool",
        "detector",
        "retry_budgets",
        "bundle",
        "log",
        "metrics",
        "zone",
        "node_name",
        "report_run",
        "quarantine",
        "report_prompt",
        "speeds",
        "limiter",
        "overload",
        "fetch_run_status",
        "open_streams",
        "report_leaving",
        "starting_streams",
        "stream_queue_by_service",
        "drain",
        "open_requests",
        "rng",
        "versions",
        "_pace_by_service",
        "_logged_factor_by_id",
        "_recent_loads",
        "_tasks",
        "_check_by_id",
        "_started_at",
    )

    def __init__(self, dialect, target_table, log, metrics, settings, report_run):
        """Creates a forwarder.

        Args:
            dialect: The `exchange.Dialect` of the platform.
            target_table: `target_table.TargetTable`.
            log: `decision_log.DecisionLog`.
            metrics: `metrics.Metrics`.
            settings: `node_settings.NodeSettings`.
            report_run: Function that is called with each changed `placement.Run`.
        """
        self.dialect = dialect
        self.target_table = target_table
        self.run_table = placement.RunTable()
        self.pool = pool.ChannelPool()
        self.detector = detector.AdaptiveDetector()
        self.retry_budgets = retry.ServiceRetryBudgets(settings.retry)
        self.bundle = None
        self.log = log
        self.metrics = metrics
        self.zone = settings.availability_zone
        self.node_name = settings.name
        self.report_run = report_run
        self.report_prompt = lambda report: None
        self.fetch_run_status = _fetch_unknown_status
        self.open_streams = set()
        self.report_leaving = lambda target: None
        self.starting_streams = set()
        self.stream_queue_by_service = {}
        self.drain = None
        self.open_requests = set()
        self.rng = random.Random()
        self.versions = versions.VersionPolicy(settings.rollout, self.rng, self._on_version_event)
        self.speeds = speeds.SpeedTable()
        self.limiter = rate_limiter.RateLimiter(log, metrics, settings.name, self.spawn, self.rng)
        self.overload = overload_guard.OverloadGuard(
            log, metrics, self.spawn, self.rng, self.limiter
        )
        self.quarantine = prompt_quarantine.PromptQuarantine(
            self.rng, self._on_prompt_held, self._on_prompt_released
        )
        self._pace_by_service = {}
        self._logged_factor_by_id = {}
        self._recent_loads = (-math.inf, {})
        self._tasks = set()
        self._check_by_id = {}
        self._started_at = clock.now()

    async def _wait_for_startup_data(self, request, caller, is_available):
        """Waits for data that a newly started process may not have received yet.

        Returns without an error when the data is available, `STARTUP_SECONDS` after the start of
        the process, or when the request has waited as long as it may.
        """
        caller_wait_s = DEFAULT_WAIT_SECONDS if caller.wait_s is None else caller.wait_s
        until = request.received_at + min(
            MAX_STARTUP_WAIT_SECONDS, caller_wait_s * STARTUP_WAIT_SHARE
        )
        until = min(until, self._started_at + STARTUP_SECONDS)
        while True:
            if is_available() or clock.now() >= until or self.drain is not None:
                return
            await asyncio.sleep(STARTUP_POLL_SECONDS)

    def spawn(self, coroutine) -> asyncio.Task:
        """Runs a coroutine as a task that may outlive its request, and returns the task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def set_bundle(self, bundle: routing.RouteBundle):
        """Puts a bundle in force and drops what was learned of services that it does not name."""
        self.bundle = bundle
        self.retry_budgets.retain_services(bundle.service_by_name)
        self.versions.retain_services(bundle.service_by_name)
        self.speeds.retain_services(bundle.service_by_name)
        for name in list(self._pace_by_service):
            if name not in bundle.service_by_name:
                del self._pace_by_service[name]
        for name, queue in list(self.stream_queue_by_service.items()):
            if name not in bundle.service_by_name and not queue.candidate_by_id:
                del self.stream_queue_by_service[name]

    def pace_of(self, service: str) -> pace.StreamPace:
        """Returns the recent pace of a service's streams."""
        known_pace = self._pace_by_service.setdefault(service, pace.StreamPace())
        known_pace.forget_old(clock.now())
        return known_pace

    def stream_queue_of(self, service: str) -> stream_admission.StreamQueue:
        """Returns the queue of the streams that wait for a service's engines."""
        queue = self.stream_queue_by_service.get(service)
        if queue is None:
            queue = stream_admission.StreamQueue(self.rng)
            self.stream_queue_by_service[service] = queue
        return queue

    def count_waiting_streams(self) -> int:
        """Returns the number of streams that wait for room at an engine."""
        return sum(len(each.candidate_by_id) for each in self.stream_queue_by_service.values())

    def check_target(self, target) -> asyncio.Task:
        """Checks whether a target is lost or only one connection to it broke.

        Other targets are preferred until the check has ended. A connection may also break because
        of the network, this VM or the target's limit of connections.

        Returns:
            The task of the check, whose result is whether the target accepts connections.
        """
        target.suspect(clock.now())
        check = self._check_by_id.get(target.target_id)
        if check is None:
            check = self._check_by_id[target.target_id] = self.spawn(self._check_target(target))
        return check

    async def _check_target(self, target):
        try:
            reachable = await channels.can_connect(target.address, pool.CONNECT_TIMEOUT_SECONDS)
        finally:
            del self._check_by_id[target.target_id]
        self.metrics.count("liveness_checks")
        if reachable:
            target.record_contact(clock.now())
        else:
            self.target_table.record_loss(target, clock.now())
        self.log.line("gateway", "target_checked", target=target.target_id, lost=int(not reachable))
        return reachable

    async def report_crash_if_lost(self, admitted: AdmittedRequest, target, check, channel):
        """Reports a crash if an engine accepts no connections after the one to it broke.

        Args:
            admitted: The request, which the engine had not begun to answer.
            target: The engine.
            check: Task of `check_target`.
            channel: Channel to the engine that broke.
        """
        if not admitted.parts:
            return
        outcome = prompt_quarantine.Outcome.CRASHED_WAITING
        if channel.response.status == 200:
            outcome = prompt_quarantine.Outcome.CRASHED_ANSWERING
        report = prompt_quarantine.Report(outcome, admitted.parts, clock.now(), target.target_id)

        async def report_after_check():
            if not await check:
                self._report_crash(report)

        # The other gateways need the report even if the caller leaves now.
        await asyncio.shield(self.spawn(report_after_check()))

    def _report_crash(self, report):
        if self.target_table.is_draining_or_gone(report.target_id):
            return
        self.log.line(
            "gateway",
            "prompt_reported",
            outcome=report.outcome.name.lower(),
            target=report.target_id,
            parts=prompt_quarantine.format_parts(report.parts),
        )
        self.metrics.count(f"prompts_{report.outcome.name.lower()}")
        self.report_prompt(report)
        self.apply_prompt_report(report)

    def record_beginning(self, parts: list, target):
        """Records that an engine has begun to answer a prompt.

        Args:
            parts: Keys of the prompt's parts.
            target: The engine.
        """
        now = clock.now()
        for part in self.quarantine.record_beginning(parts, now):
            self._report_beginning(part, now, target.target_id)

    def apply_prompt_report(self, report: prompt_quarantine.Report):
        """Applies a crash that this gateway saw, or a report of another gateway."""
        for part, began_at in self.quarantine.apply_report(report, clock.now()):
            self._report_beginning(part, began_at, report.target_id)

    def _report_beginning(self, part, began_at, target_id):
        outcome = prompt_quarantine.Outcome.BEGAN
        self.report_prompt(prompt_quarantine.Report(outcome, [part], began_at, target_id))

    def _on_prompt_held(self, part, suspect, parts):
        self.metrics.count("prompts_held")
        engines = {crash.target_id for crash in suspect.crashes}
        self.log.line(
            "gateway",
            "prompt_held",
            held=part,
            crashes=len(suspect.crashes),
            weight=suspect.weight(),
            requests=suspect.request_count(),
            engines=",".join(sorted(engines)),
            first=suspect.held_since - suspect.crashes[0].at,
            seconds=suspect.held_until - suspect.held_since,
            prompt=prompt_quarantine.format_parts(parts),
        )
        for stream in list(self.starting_streams):
            stream.cancel_start(part)

    def _on_prompt_released(self, part, suspect):
        held_s = clock.now() - suspect.held_since
        self.log.line("gateway", "prompt_released", held=part, seconds=held_s)

    def run_status(self, run_id: str) -> placement.RunStatus:
        """Returns the status of a run of this gateway or of an earlier process at its address."""
        if any(stream.run.run_id == run_id for stream in self.open_streams):
            return placement.RunStatus(False)
        run = self.run_table.run_by_id.get(run_id)
        if run is None or run.node != self.node_name:
            return placement.RunStatus(True)
        return placement.RunStatus(run.interrupted, run.last_event_id)

    def limits(self) -> routing.Limits:
        """Returns the limits in force."""
        return routing.DEFAULT_LIMITS if self.bundle is None else self.bundle.limits

    async def handle(self, request, responder):
        """Serves one request of a caller until it is answered or refused."""
        caller = self.dialect.decode_request(request)
        if self.bundle is None:
            await self._wait_for_startup_data(request, caller, lambda: self.bundle is not None)
        bundle = self.bundle
        if bundle is None:
            self.refuse(
                request, responder, caller, codes.Code.BUNDLE_STALE, "no bundle received yet", 0.3
            )
            return
        host = request.value_by_header.get("host", "").partition(":")[0].lower()
        route = bundle.match(host, request.path)
        if route is None:
            reason = f"no route for {host}{request.path[:80]}"
            self.refuse(request, responder, caller, codes.Code.SERVICE_UNKNOWN, reason)
            return
        account = bundle.account_by_key.get(caller.account_key)
        if bundle.accounts and not route.anonymous and account is None:
            self.refuse(
                request, responder, caller, codes.Code.UNAUTHENTICATED, "unknown account key"
            )
            return
        wait = route.timeout_s
        if caller.wait_s is not None:
            wait = min(wait, caller.wait_s)
        admitted = AdmittedRequest(
            request,
            responder,
            caller,
            bundle,
            route,
            bundle.service_by_name[self._choose_service(route)],
            account.name if account is not None else None,
            request.received_at + wait - RESPONSE_MARGIN_SECONDS,
        )
        if caller.request_id == "":
            self.refuse(request, responder, caller, codes.Code.BAD_REQUEST, "missing request id")
            return
        name = admitted.service.name
        admitted.version_draw = self.versions.draw()
        if not self.ready_targets(admitted):
            await self._wait_for_startup_data(request, caller, lambda: self.ready_targets(admitted))
        self.metrics.count(f"requests_{route.kind}")
        self.retry_budgets.record_admission(name, clock.now())
        await self._serve_until_cut(admitted)
        self.metrics.observe(f"request_{route.kind}", clock.now() - request.received_at)

    def ready_targets(self, admitted: AdmittedRequest) -> list:
        """Returns the ready targets to which a request may be sent."""
        name = admitted.service.name
        # A repeat goes to accepted versions, so that a bad one fails a request only once.
        draw = versions.NO_SHARE_DRAW if admitted.send_count else admitted.version_draw
        targets = self.target_table.ready_targets(name)
        return self.versions.eligible(name, targets, clock.now(), draw)

    def observe_versions(self, now: float):
        """Lets the versions of all services be known, also of those without requests."""
        if self.bundle is None or not self.versions.is_active:
            return
        for name in self.bundle.service_by_name:
            targets = self.target_table.ready_targets(name)
            self.versions.eligible(name, targets, now, versions.NO_SHARE_DRAW)

    def recent_loads(self, now: float) -> dict:
        """Returns the loads of targets, computed at most `LOADS_KEPT_SECONDS` ago."""
        computed_at, loads = self._recent_loads
        if now - computed_at > LOADS_KEPT_SECONDS:
            loads = self.run_table.load_by_target(now, self.speeds)
            self._recent_loads = (now, loads)
        return loads

    def must_not_send(self, admitted: AdmittedRequest, target) -> bool:
        """Returns whether a chosen target leaves, asked for a pause, or has a withdrawn version."""
        if self.target_table.is_draining_or_gone(target.target_id) or pauses.is_paused(target):
            return True
        return self.versions.is_withdrawn(admitted.service.name, target.report.version)

    def copy_targets(self, admitted: AdmittedRequest) -> list:
        """Returns the ready targets that may hold the copy of a stream."""
        name = admitted.service.name
        targets = self.target_table.ready_targets(name)
        return self.versions.copy_targets(name, targets, clock.now())

    def record_answer(
        self, admitted: AdmittedRequest, target, failed: bool, seconds: float | None = None
    ):
        """Counts an answer as evidence about the target's version.

        Args:
            admitted: The request.
            target: The `target_table.Target`.
            failed: Whether it is a failure to a caller.
            seconds: Time to the answer, or to the first event of a stream; None if it says nothing.
        """
        version = target.report.version
        self.versions.record_answer(
            admitted.service.name, version, admitted.route.name, failed, seconds
        )

    def _on_version_event(self, event, **fields):
        self.metrics.count(event)
        self.log.line("gateway", event, **fields)

    def begin_drain(self, drain: Drain):
        """Refuses requests that may last too long from now on."""
        self.drain = drain

    def cut_open_requests(self):
        """Answers all open requests, or resets their connections, and refuses new requests."""
        now = clock.now()
        self.drain = Drain(now, now)
        for admitted in self.open_requests:
            admitted.cut()

    def must_refuse(self, admitted: AdmittedRequest) -> bool:
        """Returns whether a request that has not run is not sent any more, because it may be cut.

        A stream that its caller can resume may be cut, but is not begun late.
        """
        drain = self.drain
        if drain is None or admitted.deadline <= drain.cut_at:
            return False
        if admitted.route.kind == routing.Kind.STREAM and admitted.route.resumable:
            return clock.now() > drain.streams_until
        return True

    def refuse_for_drain(self, admitted: AdmittedRequest):
        """Answers a request that a stopping gateway does not serve."""
        self.fail_request(
            admitted,
            codes.Code.DRAINING,
            "the gateway is stopping",
            DRAINING_RETRY_AFTER_SECONDS,
        )

    async def _serve_until_cut(self, admitted):
        """Serves a request; if it is cut, gives it an answer or resets its connection."""
        self.open_requests.add(admitted)
        try:
            async with admitted.cut_timer:
                await HANDLER_BY_KIND[admitted.route.kind](self, admitted)
        except TimeoutError:
            if not admitted.is_cut:
                raise
            if admitted.responder.is_complete:
                return
            if admitted.responder.has_begun:
                self._log_cut(admitted, "reset")
                admitted.responder.abort()
                return
            self._log_cut(admitted, "answered")
            self.refuse_for_drain(admitted)
        except asyncio.CancelledError:
            if self.drain is not None and clock.now() >= self.drain.cut_at:
                self._log_cut(admitted, "closed")
            raise
        finally:
            self.open_requests.discard(admitted)

    def _log_cut(self, admitted, outcome):
        """Counts and logs a request that is ended because the process stops.

        Args:
            admitted: The request.
            outcome: How its connection ends.
        """
        self.metrics.count(f"requests_cut_{outcome}")
        self.log.line(
            "gateway",
            "request_cut",
            request=admitted.caller.request_id,
            route=admitted.route.name,
            outcome=outcome,
            age=clock.now() - admitted.request.received_at,
            sends=admitted.send_count,
            target=admitted.target_id,
            may_have_run=int(admitted.may_have_run),
            begun=int(admitted.responder.has_begun),
            unsent=admitted.responder.unsent_bytes,
            left=admitted.remaining_s(),
        )

    def _choose_service(self, route):
        if len(route.weight_by_service) == 1:
            return next(iter(route.weight_by_service))
        names = list(route.weight_by_service)
        return self.rng.choices(names, list(route.weight_by_service.values()))[0]

    def try_spend_retry(self, admitted: AdmittedRequest, may_exceed: bool = False) -> bool:
        """Spends one retry of the service's budget; returns False if it is used up.

        Args:
            admitted: The request.
            may_exceed: Whether the retry is permitted even then.
        """
        service = admitted.service.name
        permitted = self.retry_budgets.spend_retry(service, clock.now(), may_exceed)
        if not permitted:
            self.metrics.count("retries_denied")
        return permitted

    def build_send_options(self, admitted: AdmittedRequest, target) -> exchange.SendOptions:
        """Returns the options for a request that is sent to a target now."""
        options = exchange.SendOptions(
            target.target_id, max(0.001, admitted.remaining_s()), admitted.account
        )
        if admitted.service.engine is not None:
            options.urgency = rank.urgency(admitted.rank, admitted.service_order.priorities)
        return options

    def refuse(self, request, responder, caller, code, reason, retry_after_s=None):
        """Answers a request with an error response of the gateway and logs the reason.

        Args:
            request: The `http_server.Request`.
            responder: Its `http_server.Responder`.
            caller: Its `exchange.CallerRequest`.
            code: The `codes.Code`, which determines the HTTP status.
            reason: Cause for the log.
            retry_after_s: Seconds after which the caller may retry, or None.
        """
        status = codes.MEANING_BY_CODE[code].http_status
        self.metrics.count(f"refused_{code.name.lower()}")
        self.log.line(
            "gateway",
            "refused",
            request=caller.request_id,
            code=int(code),
            status=status,
            reason=reason,
            bundle=self.bundle.version if self.bundle is not None else 0,
            retry_after=-1.0 if retry_after_s is None else retry_after_s,
            waited=clock.now() - request.received_at,
        )
        headers = self.dialect.refusal_headers(caller, retry_after_s)
        headers.append(("X-Chiveswitch-Code", str(int(code))))
        responder.send(status, headers, b"")

    def fail_request(
        self, admitted: AdmittedRequest, code: codes.Code, reason: str, retry_after_s=None
    ):
        """Answers a request that cannot be served.

        The response states that the request did not run only if no target may have run it.

        Args:
            admitted: The request.
            code: Result code that is used if the request certainly did not run.
            reason: Cause for the log.
            retry_after_s: Seconds after which the caller may retry a request that did not run, or
                None.
        """
        if admitted.may_have_run:
            late = admitted.remaining_s() <= RESPONSE_MARGIN_SECONDS
            code = codes.Code.MAY_HAVE_RUN if late else codes.Code.TARGET_FAILED
            retry_after_s = None
        self.refuse(
            admitted.request, admitted.responder, admitted.caller, code, reason, retry_after_s
        )

    def find_response_fault(self, channel, response_info: exchange.ResponseInfo) -> str:
        """Returns why a response is not its target's answer to the request, or an empty string.

        Args:
            channel: The `channel.Channel` with the response, at least its head.
            response_info: The decoded head.
        """
        mismatch = channel.find_mismatch()
        if mismatch:
            return mismatch
        status = channel.response.status
        if 200 <= status < 300 and not response_info.has_receipt:
            return f"answered {status} without a receipt"
        return ""

    def process_response(self, target, response_info: exchange.ResponseInfo):
        """Updates a target's load and liveness after its complete response."""
        now = clock.now()
        target.record_contact(now)
        if response_info.is_misdirected:
            self.target_table.remove(target.target_id, now)
            return
        self.observe_load(target, response_info)

    def observe_load(self, target, response_info: exchange.ResponseInfo):
        """Stores the load and the slowdown that a target states in a response.

        Returns:
            The `speeds.Observation`, or None if the target states no slowdown.
        """
        if response_info.load is None:
            return None
        now = clock.now()
        target.update_load(*response_info.load, now, response_info.slowdown)
        if response_info.slowdown is None:
            return None
        observation = speeds.Observation(
            target.target_id, target.report.born_ms, response_info.slowdown
        )
        self.apply_speed(observation)
        return observation

    def apply_speed(self, observation: speeds.Observation):
        """Applies an observation of a target's speed that this or another gateway has made."""
        target_id, now = observation.target_id, clock.now()
        target = self.target_table.find(target_id)
        if target is None or target.report.born_ms != observation.born_ms:
            return
        self.speeds.observe(observation, now)
        factor = self.speeds.factor(target_id, now)
        logged = self._logged_factor_by_id.get(target_id, 1.0)
        if max(factor, logged) < min(factor, logged) * MIN_LOGGED_RATIO:
            return
        self._logged_factor_by_id[target_id] = factor
        self.log.line("gateway", "target_speed", target=target_id, factor=factor, before=logged)

    def forget_speed(self, target_id: str):
        """Drops what is known of the speed of a target that has gone."""
        self.speeds.forget(target_id)
        self._logged_factor_by_id.pop(target_id, None)

    def speed_factor_by_target(self) -> dict:
        """Returns the factors that differ from 1.0, of a bounded number of targets."""
        factor_by_id = self.speeds.factor_by_target(clock.now())
        return dict(list(factor_by_id.items())[-rate_limiter.MAX_METRIC_TARGETS :])

    def observe_response(self, target, response_info: exchange.ResponseInfo, sent_at: float):
        """Learns what a response says of its target beyond the request's outcome.

        Args:
            target: The `target_table.Target` that sent it.
            response_info: The decoded response, which belongs to its request.
            sent_at: Time in seconds at which the request was sent; 0 if the response lifts no
                limit.
        """
        self.limiter.observe_response(target, response_info, sent_at)
        if response_info.leaving_fault:
            self.metrics.count("leaving_ignored")
            self.log.line(
                "gateway",
                "leaving_ignored",
                target=target.target_id,
                reason=response_info.leaving_fault,
            )
        if response_info.pause_fault:
            self.metrics.count("pauses_ignored")
            self.log.line(
                "gateway",
                "pause_ignored",
                target=target.target_id,
                reason=response_info.pause_fault,
            )
        if response_info.is_misdirected:
            return
        if response_info.pause_s:
            pauses.record(self, target, response_info.pause_s)
        if not response_info.is_leaving:
            return
        if not self.target_table.record_leaving(target):
            return
        self.metrics.count("targets_leaving")
        self.log.line(
            "gateway",
            "target_leaving",
            target=target.target_id,
            service=target.report.service,
            sequence=target.report.sequence,
            open=target.open_requests,
        )
        self.report_leaving(target)

    def relay_response(self, admitted: AdmittedRequest, target, response):
        """Sends a target's complete response to the caller."""
        self.log_answered(admitted, target, response.status)
        admitted.responder.send(
            response.status,
            self.dialect.response_headers(response),
            bytes(response.body),
            response.reason,
        )

    def record_sent(self, admitted: AdmittedRequest, target, **details):
        """Counts and logs a request that is sent to a target, with details of the route's kind."""
        self.limiter.record_sent(target)
        version = target.report.version
        if self.versions.record_sent(admitted.service.name, version, admitted.route.name):
            self.metrics.count("sent_on_trial")
        if version:
            details["version"] = version
        admitted.target_id = target.target_id
        self.log.line(
            "gateway",
            "sent",
            request=admitted.caller.request_id,
            route=admitted.route.name,
            bundle=admitted.bundle.version,
            target=target.target_id,
            zone=target.zone,
            priority=admitted.priority,
            route_priority=admitted.route.priority,
            load_age=clock.now() - target.load_at if target.load_at else -1.0,
            **details,
            left=admitted.remaining_s(),
        )

    def log_answered(self, admitted: AdmittedRequest, target, status: int, **details):
        """Counts and logs a request that a target answered, with details of the route's kind."""
        self.metrics.count(f"answered_{status // 100}xx")
        self.log.line(
            "gateway",
            "answered",
            request=admitted.caller.request_id,
            route=admitted.route.name,
            bundle=admitted.bundle.version,
            target=target.target_id,
            status=status,
            sends=admitted.send_count,
            **details,
            took=clock.now() - admitted.request.received_at,
        )
