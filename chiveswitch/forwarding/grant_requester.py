"""A gateway's requests for grants to the issuers of services.

Requests that come while an answer of the issuer is awaited are sent to it together. Without an
issuer the gateway issues its own share.
"""

import asyncio
import logging

from chiveswitch.core import clock, quota

log = logging.getLogger("chiveswitch.forwarding")

# Largest number of requests in one message to the issuer.
MAX_BATCH = 64
# Time after a failed request to the issuer in which the gateway uses its own share.
ISSUER_RETRY_SECONDS = 0.5


class GrantRequester:
    """Requests for grants of one gateway.

    Attributes:
        issue: Coroutine function (service, list of `quota.QuotaRequest`) that returns the list
            of `quota.QuotaGrant` of the service's issuer, or None if there is none; None if this
            gateway is the only one.
    """

    __slots__ = (
        "issue",
        "_own_issuer",
        "_waiting_by_service",
        "_failed_at_by_service",
        "_spawn",
        "_log",
        "_metrics",
    )

    def __init__(self, log, metrics, spawn, own_issuer):
        """Creates a requester for a gateway without others.

        Args:
            log: `decision_log.DecisionLog`.
            metrics: `metrics.Metrics`.
            spawn: Function that runs a coroutine as a task.
            own_issuer: Issuer of what the gateway may send without the service's issuer; has
                `request` like `quota.QuotaIssuer`, and `sweep`.
        """
        self.issue = None
        self._own_issuer = own_issuer
        # (request, future) pairs of services whose issuer is being asked.
        self._waiting_by_service = {}
        self._failed_at_by_service = {}
        self._spawn = spawn
        self._log = log
        self._metrics = metrics

    def sweep_requests(self, now: float):
        """Drops what the own issuer has not used lately, and old failures."""
        self._own_issuer.sweep(now)
        for service, failed_at in list(self._failed_at_by_service.items()):
            if now - failed_at >= ISSUER_RETRY_SECONDS:
                del self._failed_at_by_service[service]

    async def request_grant(self, service: str, request: quota.QuotaRequest) -> quota.QuotaGrant:
        """Returns the grant or the refusal for one request.

        Args:
            service: Service of the targets.
            request: The `quota.QuotaRequest`.
        """
        now = clock.now()
        failed_at = self._failed_at_by_service.get(service)
        is_failing = failed_at is not None and now - failed_at < ISSUER_RETRY_SECONDS
        if self.issue is None or is_failing:
            return self._own_issuer.request(service, request, now)
        future = asyncio.get_running_loop().create_future()
        waiting = self._waiting_by_service.get(service)
        if waiting is not None:
            waiting.append((request, future))
        else:
            self._waiting_by_service[service] = [(request, future)]
            self._spawn(self._ask_issuer(service))
        return await future

    async def _ask_issuer(self, service):
        """Asks the issuer until no request for a grant is left."""
        while waiting := self._waiting_by_service[service]:
            batch, self._waiting_by_service[service] = waiting[:MAX_BATCH], waiting[MAX_BATCH:]
            try:
                answers = await self.issue(service, [request for request, _ in batch])
            # The waiting requests must get an answer in any case.
            except Exception:
                log.exception("gateway: the issuer of %s could not be asked", service)
                answers = None
            if answers is None or len(answers) != len(batch):
                batch += self._waiting_by_service[service]
                self._waiting_by_service[service] = []
                answers = self._issue_own_share(service, batch)
            for (_, future), grant in zip(batch, answers, strict=True):
                if not future.done():
                    future.set_result(grant)
        del self._waiting_by_service[service]

    def _issue_own_share(self, service, batch):
        now = clock.now()
        self._failed_at_by_service[service] = now
        self._metrics.count("quota_without_issuer", len(batch))
        self._log.line("gateway", "issuer_failed", service=service, requests=len(batch))
        return [self._own_issuer.request(service, request, now) for request, _ in batch]
