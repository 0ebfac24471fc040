"""Keeps the short calls of all gateways together within the room of a service.

A gateway learns from responses that all targets of a service are full. Until the pressure ends it
asks the service's issuer for a grant before it sends a call, and refuses the calls that get none in
time for their objective.
"""

import asyncio
import hashlib

from chiveswitch.core import clock, overload, quota
from chiveswitch.forwarding import grant_requester, rate_limiter

# Bytes of the digest by which the issuer recognizes a call that returns; a positive i64.
KEY_BYTES = 7


class OverloadGuard(grant_requester.GrantRequester):
    """Knowledge of one gateway about full services, and its requests for grants.

    Attributes:
        table: `overload.PressureTable`.
    """

    __slots__ = ("table", "_limiter", "_rng")

    def __init__(self, log, metrics, spawn, rng, limiter):
        """Creates a guard that limits nothing.

        Args:
            log: `decision_log.DecisionLog`.
            metrics: `metrics.Metrics`.
            spawn: Function that runs a coroutine as a task.
            rng: Random number generator.
            limiter: `rate_limiter.RateLimiter`; the limits that targets name come first.
        """
        own_issuer = overload.OverloadIssuer(rng, overload.SHARE_BURST_SECONDS)
        super().__init__(log, metrics, spawn, own_issuer)
        self.table = overload.PressureTable(self._on_changed)
        self._limiter = limiter
        self._rng = rng

    def connect(self, issue):
        """Sets the function that asks the issuer of a group of gateways.

        Args:
            issue: Coroutine function (service, list of `quota.QuotaRequest`, list of
                `overload.Load`) that returns a list of `quota.QuotaGrant`, or None.
        """

        async def issue_with_loads(service, requests):
            return await issue(service, requests, self._loads_of(requests))

        self.issue = issue_with_loads
        self._own_issuer.set_share(1 / rate_limiter.ASSUMED_GATEWAYS)

    def sweep(self, gateway_count: int, now: float):
        """Forgets what is too old, and sets the number of gateways that share the room."""
        if self.issue is not None:
            self._own_issuer.set_share(1 / max(2, gateway_count))
        self.table.sweep(now)
        self.sweep_requests(now)

    def observe_response(self, admitted, target, info, is_failure: bool, sent_at: float):
        """Learns from the response to a call.

        Args:
            admitted: The `forwarder.AdmittedRequest`.
            target: The `target_table.Target` that sent it.
            info: The `exchange.ResponseInfo` of a response that belongs to the call.
            is_failure: Whether it is no success.
            sent_at: Time in seconds at which the call was sent.
        """
        # A target that leaves, asks for a pause or is another one says nothing about its room.
        if info.is_misdirected or info.is_leaving or info.pause_s:
            return
        now = clock.now()
        slots = max(1, target.report.slots)
        # A target that names no load is full when it rejects a call, and just busy otherwise.
        running, waiting = info.load or (slots, slots * info.not_run)
        load = overload.Load(target.target_id, running, waiting, slots, now)
        took_s = None if is_failure or info.not_run else now - sent_at
        self.table.record_response(
            admitted.service.name, load, info.not_run, took_s, admitted.route.objective_s
        )

    def applies_to(self, admitted, targets: list) -> bool:
        """Returns whether a call needs a grant.

        Args:
            admitted: The `forwarder.AdmittedRequest`.
            targets: Targets that are ready and in no pause.
        """
        if admitted.service.engine is not None or self._limiter.any_limited(targets):
            return False
        now = clock.now()
        reachable = [target for target in targets if not target.is_lost(now)]
        return self.table.is_pressed(
            admitted.service.name, [target.target_id for target in reachable], now
        )

    async def select_granted(self, admitted, targets: list, excluded_ids: set, choose):
        """Returns a target to which a call may be sent now, and may wait for its grant.

        Args:
            admitted: The `forwarder.AdmittedRequest`.
            targets: Targets that are ready and in no pause.
            excluded_ids: Ids of those that were tried.
            choose: Function that returns the best one of a list of targets.

        Returns:
            The target, or None; and the seconds after which the call may be repeated if there is
            no grant in time for its objective, else 0.
        """
        service = admitted.service.name
        # Calls that could wait longer than others would get the grants of those.
        objective_s = min(
            route.objective_s
            for route in admitted.bundle.routes
            if service in route.weight_by_service
        )
        work_s = self.table.work_s(service, objective_s)
        now = clock.now()
        # A lost target has unused grants, which would come first.
        healthy = [target for target in targets if target.avoided_until <= now]
        candidates = [each for each in healthy or targets if each.target_id not in excluded_ids]
        if not candidates:
            return None, 0.0
        rate_by_target = {}
        candidate = choose(candidates)
        while candidate is not None and len(rate_by_target) < rate_limiter.MAX_CANDIDATES:
            rate_by_target[candidate.target_id] = max(1, candidate.report.slots) / work_s
            candidates.remove(candidate)
            candidate = choose(candidates)
        waited_s = now - admitted.request.received_at
        request = quota.QuotaRequest(
            rate_by_target,
            admitted.account or "",
            admitted.priority,
            self.table.max_wait_s(service, objective_s, waited_s, admitted.remaining_s()),
            key=_call_key(admitted),
        )
        grant = await self.request_grant(service, request)
        if not grant.target_id:
            self.table.record_shortage(service, clock.now())
            self._log_outcome(admitted, "denied", request.max_wait_s, work_s)
            left_s = admitted.route.timeout_s
            if admitted.caller.wait_s is not None:
                left_s = admitted.caller.wait_s
            left_s -= clock.now() - admitted.request.received_at
            return None, overload.limit_return_s(grant.retry_after_s, left_s, self._rng)
        if grant.delay_s > 0:
            self.table.record_shortage(service, clock.now())
            self._log_outcome(admitted, "held", grant.delay_s, work_s)
            await asyncio.sleep(grant.delay_s)
        target_by_id = {target.target_id: target for target in targets}
        return target_by_id.get(grant.target_id), 0.0

    def _loads_of(self, requests):
        """Returns the recent loads of the targets of some `quota.QuotaRequest`."""
        now = clock.now()
        target_ids = {target_id for request in requests for target_id in request.rate_by_target}
        loads = [self.table.load_of(target_id, now) for target_id in sorted(target_ids)]
        return [load for load in loads if load is not None]

    def _on_changed(self, event, service, seconds):
        self._metrics.count(f"overloads_{event}")
        self._log.line("gateway", f"overload_{event}", service=service, seconds=seconds)

    def _log_outcome(self, admitted, outcome, seconds, work_s):
        self._metrics.count(f"overload_{outcome}")
        self._log.line(
            "gateway",
            "overloaded",
            request=admitted.caller.request_id,
            service=admitted.service.name,
            outcome=outcome,
            seconds=seconds,
            work=work_s,
            left=admitted.remaining_s(),
        )


def _call_key(admitted) -> int:
    """Returns a number that is the same for all attempts of a caller at one call."""
    request = admitted.request
    state = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in (admitted.account or "", request.method, request.request_target):
        content = part.encode("utf-8", "surrogatepass")
        state.update(b"%d:" % len(content))
        state.update(content)
    state.update(request.body)
    return int.from_bytes(state.digest())
