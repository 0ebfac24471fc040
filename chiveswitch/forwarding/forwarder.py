"""Admission of forwarded requests: route, account, deadline, and the handler of the kind."""

import asyncio
import random

from chiveswitch.core import clock, codes, detector, placement, retry, routing
from chiveswitch.forwarding import exchange, pool

# Time in seconds that a caller without a stated patience waits; the route's timeout also holds.
DEFAULT_WAIT_SECONDS = 60.0
# What is kept of the time left for the response's way back, in seconds.
RETURN_SECONDS = 0.01
# Streams that arrive later than this part of the grace time after the stop began would be cut.
STREAM_SHARE_OF_GRACE = 0.25

# Seconds after the start of the process in which its first bundle and the announcements of targets
# arrive: an election, a watch and one heartbeat interval.
START_SECONDS = 3.0
# Longest time in seconds, and part of the caller's patience, for which a request waits for them. A
# refusal would take the caller's only other attempt, although the request can be served soon.
START_WAIT_SECONDS = 1.0
START_WAIT_SHARE = 0.25
START_POLL_SECONDS = 0.02

HANDLER_BY_KIND = {}


def handler(*kinds: routing.Kind):
    """Registers the coroutine function that serves requests on routes of some kinds."""

    def register(function):
        for kind in kinds:
            HANDLER_BY_KIND[kind] = function
        return function

    return register


class Admitted:
    """A request on its way through this gateway.

    Attributes:
        request: The `http_server.Request`.
        responder: The `http_server.Responder`.
        caller: The `exchange.CallerRequest`.
        bundle: The `routing.RouteBundle` that was in force at its arrival.
        route: Its `routing.Route`.
        service: Its `routing.Service`.
        account: Name of its client account, or None.
        deadline: Time at which it has to be answered, in seconds of `core.clock`.
        sends: Number of targets to which it was sent.
        may_have_run: Whether a target may have run it.
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
        "sends",
        "may_have_run",
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
        self.sends = 0
        self.may_have_run = False

    def left(self) -> float:
        """Returns the seconds until the deadline."""
        return self.deadline - clock.now()


class Forwarder:
    """Forwards the requests of one gateway.

    Attributes:
        dialect: The `exchange.Dialect` of the platform.
        table: `target_table.TargetTable`.
        runs: `placement.RunTable`.
        pool: `pool.Pool`.
        detector: Limits of silence by engine.
        budget: Retry budget of this gateway.
        bundle: The `routing.RouteBundle` in force, or None before the first one.
        log: `decision_log.DecisionLog`.
        metrics: `metrics.Metrics`.
        zone: Own availability zone.
        node_name: Own name.
        report_run: Called with a `placement.Run` that has changed.
        draining_since: Time at which the process began to stop, or None.
    """

    __slots__ = (
        "dialect",
        "table",
        "runs",
        "pool",
        "detector",
        "budget",
        "bundle",
        "log",
        "metrics",
        "zone",
        "node_name",
        "report_run",
        "draining_since",
        "last_stream_arrival_s",
        "rng",
        "_tasks",
        "_started_at",
    )

    def __init__(self, dialect, table, log, metrics, settings, report_run):
        """Creates a forwarder.

        Args:
            dialect: The `exchange.Dialect` of the platform.
            table: `target_table.TargetTable`.
            log: `decision_log.DecisionLog`.
            metrics: `metrics.Metrics`.
            settings: `node_settings.NodeSettings`.
            report_run: Called with a `placement.Run` that has changed.
        """
        self.dialect = dialect
        self.table = table
        self.runs = placement.RunTable()
        self.pool = pool.Pool()
        self.detector = detector.AdaptiveDetector()
        self.budget = retry.RetryBudget(settings.retry, clock.now())
        self.bundle = None
        self.log = log
        self.metrics = metrics
        self.zone = settings.availability_zone
        self.node_name = settings.name
        self.report_run = report_run
        self.draining_since = None
        self.last_stream_arrival_s = settings.stop_grace_s * STREAM_SHARE_OF_GRACE
        self.rng = random.Random()
        self._tasks = set()
        self._started_at = clock.now()

    async def _wait_for_start(self, request, caller, is_known):
        """Waits a moment for what a process that has just started does not know yet."""
        patience = DEFAULT_WAIT_SECONDS if caller.wait_s is None else caller.wait_s
        until = request.received_at + min(START_WAIT_SECONDS, patience * START_WAIT_SHARE)
        until = min(until, self._started_at + START_SECONDS)
        while True:
            if is_known() or clock.now() >= until:
                return
            await asyncio.sleep(START_POLL_SECONDS)

    def spawn(self, coroutine):
        """Runs work that outlives its request."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def limits(self) -> routing.Limits:
        """Returns the limits in force."""
        return routing.DEFAULT_LIMITS if self.bundle is None else self.bundle.limits

    async def handle(self, request, responder):
        """Serves one request of a caller to its end."""
        caller = self.dialect.decode_request(request)
        if self.bundle is None:
            await self._wait_for_start(request, caller, lambda: self.bundle is not None)
        bundle = self.bundle
        if bundle is None:
            self.refuse(request, responder, caller, codes.Code.BUNDLE_STALE, "no bundle yet", 0.3)
            return
        host = request.value_by_header.get("host", "").partition(":")[0].lower()
        route = bundle.match(host, request.path)
        if route is None:
            reason = f"no route for {host}{request.path[:80]}"
            self.refuse(request, responder, caller, codes.Code.SERVICE_UNKNOWN, reason)
            return
        account = bundle.account_by_key.get(caller.key)
        if bundle.accounts and not route.anonymous and account is None:
            self.refuse(
                request, responder, caller, codes.Code.UNAUTHENTICATED, "the key is unknown"
            )
            return
        wait = route.timeout_s
        if caller.wait_s is not None:
            wait = min(wait, caller.wait_s)
        admitted = Admitted(
            request,
            responder,
            caller,
            bundle,
            route,
            bundle.service_by_name[self._choose_service(route)],
            account.name if account is not None else None,
            request.received_at + wait - RETURN_SECONDS,
        )
        if caller.request_id == "":
            self.refuse(request, responder, caller, codes.Code.BAD_REQUEST, "the id is missing")
            return
        name = admitted.service.name
        if not self.table.ready_targets(name):
            await self._wait_for_start(request, caller, lambda: self.table.ready_targets(name))
        self.metrics.count(f"requests_{route.kind}")
        self.budget.admitted(admitted.account or "", clock.now())
        await HANDLER_BY_KIND[route.kind](self, admitted)
        self.metrics.observe(f"request_{route.kind}", clock.now() - request.received_at)

    def _choose_service(self, route):
        if len(route.weight_by_service) == 1:
            return next(iter(route.weight_by_service))
        names = list(route.weight_by_service)
        return self.rng.choices(names, list(route.weight_by_service.values()))[0]

    def may_retry(self, admitted: Admitted) -> bool:
        """Says whether the retry budget permits one more send, and pays for it."""
        permitted = self.budget.spend(admitted.account or "", clock.now()).is_ok()
        if not permitted:
            self.metrics.count("retries_denied")
        return permitted

    def options(self, admitted: Admitted, target) -> exchange.SendOptions:
        """Returns the options of a send that starts now."""
        return exchange.SendOptions(target.target_id, max(0.001, admitted.left()), admitted.account)

    # Own answers.

    def refuse(self, request, responder, caller, code, reason, retry_after_s=None):
        """Answers with an own status; the log line names the cause."""
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

    def give_up(self, admitted: Admitted, code: codes.Code, reason: str, retry_after_s=None):
        """Ends a request that cannot be served; says "not run" only if no target may have run it.

        Args:
            admitted: The request.
            code: Result code if the request surely did not run.
            reason: Cause for the log.
            retry_after_s: Seconds after which the caller may return, if it did not run.
        """
        if admitted.may_have_run:
            late = admitted.left() <= RETURN_SECONDS
            code = codes.Code.MAY_HAVE_RUN if late else codes.Code.TARGET_FAILED
            retry_after_s = None
        self.refuse(
            admitted.request, admitted.responder, admitted.caller, code, reason, retry_after_s
        )

    def take_reply(self, target, response) -> exchange.Reply:
        """Decodes a target's complete response and notes what it says of the target."""
        now = clock.now()
        reply = self.dialect.decode_response(response)
        target.record_contact(now)
        if reply.load is not None:
            target.update_load(*reply.load, now)
        if reply.is_other_target:
            self.table.remove(target.target_id, now)
        return reply

    def pass_on(self, admitted: Admitted, target, response):
        """Hands a target's complete response to the caller."""
        self.answered(admitted, target, response.status)
        admitted.responder.send(
            response.status,
            self.dialect.response_headers(response),
            bytes(response.body),
            response.reason,
        )

    def log_sent(self, admitted: Admitted, target, **details):
        """Logs that a request goes to a target, with details of its kind."""
        self.log.line(
            "gateway",
            "sent",
            request=admitted.caller.request_id,
            route=admitted.route.name,
            bundle=admitted.bundle.version,
            target=target.target_id,
            zone=target.zone,
            load_age=clock.now() - target.load_at if target.load_at else -1.0,
            **details,
            left=admitted.left(),
        )

    def answered(self, admitted: Admitted, target, status: int, **details):
        """Logs the end of a request that a target answered, with details of its kind."""
        self.metrics.count(f"answered_{status // 100}xx")
        self.log.line(
            "gateway",
            "answered",
            request=admitted.caller.request_id,
            route=admitted.route.name,
            bundle=admitted.bundle.version,
            target=target.target_id,
            status=status,
            sends=admitted.sends,
            **details,
            took=clock.now() - admitted.request.received_at,
        )
