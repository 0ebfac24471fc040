"""A node's exchange of limits and grants with the hubs.

Every hub is the issuer of some services' grants. Reports of limits reach all nodes through any
hub.
"""

import math

import expression

from chiveswitch.core import clock, codes, overload, quota, rate_limits
from chiveswitch.peers import hub, kinds, strict

hub_thrift = hub.hub_thrift

# Timeout in seconds of a request for grants. The gateway uses its own share of a limit after that.
QUOTA_TIMEOUT_SECONDS = 0.15
# Largest count of a target's requests that a message may state.
MAX_COUNT = 100_000
# Seconds without contact to the control leader after which a hub issues no grants: the hub may be
# cut off from the gateways, which then ask another one.
MAX_LEADER_SILENCE_SECONDS = 2.0


class LimitExchange:
    """Sends and receives a node's reports of limits and requests for grants.

    Attributes:
        handler_by_kind: Handlers of the messages of other nodes, by kind.
    """

    __slots__ = ("handler_by_kind", "_node", "_issuer", "_overload_issuer")

    def __init__(self, node, rng):
        """Connects the limiter of a node's gateway with the hubs.

        Args:
            node: The `node.Node`.
            rng: Random number generator.
        """
        self.handler_by_kind = {
            kinds.Kind.HUB_REPORT_LIMITS: self._serve_limits,
            kinds.Kind.HUB_QUOTA: self._serve_quota,
        }
        self._node = node
        self._issuer = quota.QuotaIssuer(rng)
        self._overload_issuer = overload.OverloadIssuer(rng)
        node.forwarder.limiter.connect(self._request_grants, self._report_limit)
        node.forwarder.overload.connect(self._request_grants)
        node.view.on_limit_report = self._apply_report
        node.view.own_limits = self._own_limits

    def sweep(self, now: float):
        """Drops what the issuer has not used lately."""
        self._issuer.sweep(now)
        self._overload_issuer.sweep(now)
        for target_id, (rate, load) in self._overload_issuer.rates_in_use(now).items():
            self._node.log.line(
                "hub",
                "overload_rate",
                target=target_id,
                rate=rate,
                running=-1 if load is None else load.running,
                waiting=-1 if load is None else load.waiting,
                age=-1.0 if load is None else now - load.at,
            )

    # Reports of limits.

    def _report_limit(self, report):
        node = self._node
        wire_report = _encode_report(report)
        if node.is_member():
            node.hub.record_limit_report(wire_report)
            return
        node.forwarder.spawn(node.watcher.report_limits([wire_report]))

    def _own_limits(self):
        """Returns the limits in force that a response to this gateway confirmed last."""
        reports = []
        for report in self._node.forwarder.limiter.table.in_force():
            if report.source == self._node.settings.name:
                reports.append(_encode_report(report))
        return reports

    def _apply_report(self, wire_report):
        now = clock.now()
        report = rate_limits.Report(
            wire_report.target_id,
            wire_report.born_ms,
            wire_report.rate if wire_report.limited else None,
            now - wire_report.age_ms / hub.MS_PER_SECOND,
            now - wire_report.since_ms / hub.MS_PER_SECOND,
            wire_report.source,
        )
        self._node.forwarder.limiter.table.apply_report(report, now)

    def _serve_limits(self, payload, _trace):
        decoded = strict.decode(hub_thrift.LimitReports, payload)
        if decoded.is_error():
            return decoded
        if not self._node.is_member():
            return codes.failure(codes.Code.NOT_LEADER, "This node is no hub.")
        for report in decoded.ok.reports:
            self._node.hub.record_limit_report(report)
        return expression.Ok(b"")

    # Grants.

    def _issuer_address(self, service) -> str:
        """Returns the address of the hub that issues the grants of a service, "" for none."""
        node = self._node
        addresses = [state.address for state in node.watcher.reachable_hubs()]
        if node.is_member():
            addresses.append(node.settings.peer_address)
        return quota.choose_issuer(service, addresses) if addresses else ""

    async def _request_grants(self, service, requests, loads=None):
        """Returns the list of `quota.QuotaGrant` for some `quota.QuotaRequest`, or None.

        Args:
            service: Service of the targets.
            requests: List of `quota.QuotaRequest`.
            loads: List of `overload.Load` if the targets are full, None if they name limits.
        """
        address = self._issuer_address(service)
        if not address:
            return None
        if address == self._node.settings.peer_address:
            return self._issue(service, requests, loads)
        message = encode_requests(service, requests, loads)
        result = await self._node.watcher.request_grants(address, message, QUOTA_TIMEOUT_SECONDS)
        return [_decode_grant(each) for each in result.ok] if result.is_ok() else None

    def _issue(self, service, requests, loads):
        """Returns the grants for a list of `quota.QuotaRequest`, or None if not responsible."""
        node = self._node
        now = clock.now()
        silence_s = node.control.node.seconds_since_leader_contact(now)
        is_issuer = self._issuer_address(service) == node.settings.peer_address
        if silence_s > MAX_LEADER_SILENCE_SECONDS or not is_issuer:
            node.log.line("hub", "quota_refused", service=service, leader_silence=silence_s)
            return None
        issued = []
        if loads is not None:
            self._overload_issuer.observe(loads, now)
        for request in requests:
            if loads is not None:
                issued.append(self._overload_issuer.request(service, request, now))
                continue
            self._update_rates(request, now)
            issued.append(self._issuer.request(service, request, now))
        granted_count = sum(bool(grant.target_id) for grant in issued)
        node.metrics.count("quota_granted", granted_count)
        node.metrics.count("quota_denied", len(issued) - granted_count)
        return issued

    def _update_rates(self, request, now):
        """Replaces the limits that a gateway knows by those that this hub knows."""
        for target_id in request.rate_by_target:
            target = self._node.table.find(target_id)
            if target is None:
                continue
            rate = self._node.forwarder.limiter.table.rate_of(target, now)
            if rate is not None:
                request.rate_by_target[target_id] = rate

    def _serve_quota(self, payload, _trace):
        decoded = strict.decode(hub_thrift.QuotaRequests, payload)
        if decoded.is_error():
            return decoded
        requests, loads = decode_requests(decoded.ok), decode_loads(decoded.ok)
        service = decoded.ok.service_name
        issued = self._issue(service, requests, loads) if self._node.is_member() else None
        if issued is None:
            return codes.failure(codes.Code.NOT_LEADER, "This node does not issue these grants.")
        return expression.Ok(encode_grants(issued))


def _encode_report(report):
    now = clock.now()
    return hub_thrift.LimitReport(
        target_id=report.target_id,
        born_ms=report.born_ms,
        limited=report.rate is not None,
        rate=report.rate or 0.0,
        age_ms=int((now - report.at) * hub.MS_PER_SECOND),
        since_ms=int((now - report.since) * hub.MS_PER_SECOND),
        source=report.source,
    )


def _encode_request(request):
    targets = []
    for target_id, rate in request.rate_by_target.items():
        targets.append(hub_thrift.QuotaTarget(target_id=target_id, rate=rate))
    return hub_thrift.QuotaRequest(
        targets=targets,
        account=request.account,
        priority=request.priority,
        max_wait_ms=int(request.max_wait_s * hub.MS_PER_SECOND),
        resumed=request.is_resumed,
        key=request.key or None,
    )


def _encode_load(load):
    return hub_thrift.TargetLoad(
        target_id=load.target_id,
        running=load.running,
        waiting=load.waiting,
        slots=load.slots,
        age_ms=int((clock.now() - load.at) * hub.MS_PER_SECOND),
    )


def encode_requests(service: str, requests: list, loads: list | None = None) -> bytes:
    """Returns the message with a list of `quota.QuotaRequest` for a service's targets.

    Args:
        service: Name of the service.
        requests: The requests.
        loads: List of `overload.Load` if the targets are full, None if they name limits.
    """
    message = hub_thrift.QuotaRequests(
        service_name=service, requests=[_encode_request(request) for request in requests]
    )
    if loads is not None:
        message.loads = [_encode_load(load) for load in loads]
    return strict.encode(message)


def decode_loads(message) -> list | None:
    """Returns the `overload.Load` list of a decoded QuotaRequests of `hub_thrift`, or None."""
    if message.loads is None:
        return None
    now = clock.now()
    loads = []
    for each in message.loads:
        at = now - max(0, each.age_ms) / hub.MS_PER_SECOND
        counts = [min(max(0, count), MAX_COUNT) for count in (each.running, each.waiting)]
        slots = min(max(1, each.slots), MAX_COUNT)
        loads.append(overload.Load(each.target_id, *counts, slots, at))
    return loads


def decode_requests(message) -> list:
    """Returns the `quota.QuotaRequest` list of a decoded QuotaRequests of `hub_thrift`."""
    return [_decode_request(each) for each in message.requests]


def encode_grants(issued: list) -> bytes:
    """Returns the message with a list of `quota.QuotaGrant`."""
    return strict.encode(hub_thrift.QuotaGrants(grants=[_encode_grant(each) for each in issued]))


def _decode_request(wire_request):
    rate_by_target = {}
    for target in wire_request.targets:
        if 0 <= target.rate < math.inf:
            rate_by_target[target.target_id] = target.rate
    return quota.QuotaRequest(
        rate_by_target,
        wire_request.account,
        wire_request.priority,
        wire_request.max_wait_ms / hub.MS_PER_SECOND,
        wire_request.resumed,
        wire_request.key or 0,
    )


def _encode_grant(grant):
    return hub_thrift.QuotaGrant(
        target_id=grant.target_id,
        delay_ms=math.ceil(grant.delay_s * hub.MS_PER_SECOND),
        retry_after_ms=math.ceil(grant.retry_after_s * hub.MS_PER_SECOND),
    )


def _decode_grant(wire_grant):
    return quota.QuotaGrant(
        wire_grant.target_id,
        wire_grant.delay_ms / hub.MS_PER_SECOND,
        wire_grant.retry_after_ms / hub.MS_PER_SECOND,
    )
