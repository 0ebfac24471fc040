"""JSON documents of the platform: configs and announcements, decoded once into own types."""

import expression
import orjson

from chiveswitch.core import codes, routing, target_table
from chiveswitch.peers import hub

MS = 1000.0

KIND_BY_WORD = {
    "safe": routing.Kind.IDEMPOTENT,
    "unsafe": routing.Kind.UNREPEATABLE,
    "streaming": routing.Kind.STREAM,
}
STATE_BY_WORD = {"ready": target_table.READY, "draining": target_table.DRAINING}


class FieldError(Exception):
    """A field that is missing or has another type; never leaves this module."""


def _field(document, name, kinds, default=None):
    if not isinstance(document, dict):
        raise FieldError(f"{name}: its parent is not an object")
    value = document.get(name, default)
    if isinstance(value, bool) and kinds is not bool:
        raise FieldError(f"{name} is a truth value")
    if not isinstance(value, kinds):
        raise FieldError(f"{name} is missing or has another type")
    return value


def _seconds(document, name, default=None):
    """Returns a field in milliseconds as seconds."""
    return _field(document, name, (int, float), default) / MS


def _text(document, name):
    value = _field(document, name, str)
    if not value:
        raise FieldError(f"{name} is empty")
    return value


def _route(document):
    name = _text(document, "name")
    word = _field(document, "kind", str)
    if word not in KIND_BY_WORD:
        raise FieldError(f"route {name}: kind {word!r} is unknown")
    weight_by_service = {}
    if "traffic-split" in document:
        for part in _field(document, "traffic-split", list):
            service = _text(part, "service")
            weight = _field(part, "weight", (int, float))
            weight_by_service[service] = weight_by_service.get(service, 0) + weight
    else:
        weight_by_service[_text(document, "service")] = 1
    timeout_s = _seconds(document, "timeout-ms")
    return routing.Route(
        name=name,
        host=_text(document, "host").lower(),
        path_prefix=_text(document, "path-prefix"),
        kind=KIND_BY_WORD[word],
        timeout_s=timeout_s,
        # The time within which a response, or the first event of a stream, earns its credit.
        objective_s=_seconds(document, "target-latency-ms", timeout_s * MS),
        gap_objective_s=_seconds(document, "target-gap-ms", 0),
        # Counts the workers that run a request; those that turn it away do not count.
        max_runs=_field(document, "max-attempts", int, 1),
        priority=_field(document, "priority", int, 1),
        anonymous=_field(document, "allow-anonymous", bool, False),
        resumable=_field(document, "resumable", bool, False),
        weight_by_service=weight_by_service,
    )


def _engine(document):
    if document is None:
        return None
    return routing.Engine(
        slots=_field(document, "slots", int),
        memory_tokens=_field(document, "kv-capacity-tokens", int),
        copies=_field(document, "backups", bool, False),
        copy_kept_s=float(_field(document, "handle-s", (int, float), 0)),
        event_tokens=_field(document, "stride", int, 0),
    )


def _service(document):
    return routing.Service(
        name=_text(document, "name"),
        max_connections=_field(document, "max-connections", int, 0),
        engine=_engine(document.get("engine")),
    )


def _limits(document):
    known = routing.DEFAULT_LIMITS
    return routing.Limits(
        header_bytes=_field(document, "max-header-bytes", int, known.header_bytes),
        body_bytes=_field(document, "max-body-bytes", int, known.body_bytes),
        header_timeout_s=_seconds(document, "header-timeout-ms", known.header_timeout_s * MS),
        idle_timeout_s=_seconds(document, "idle-timeout-ms", known.idle_timeout_s * MS),
    )


def _account(document):
    keys = _field(document, "api-keys", list)
    for key in keys:
        if not isinstance(key, str) or not key:
            raise FieldError("api-keys holds something else than texts")
    priority = document.get("priority")
    if priority is not None and (isinstance(priority, bool) or not isinstance(priority, int)):
        raise FieldError("priority of a tenant is not a whole number")
    return routing.Account(name=_text(document, "name"), keys=keys, priority=priority)


def decode_config(body: bytes) -> expression.Result:
    """Decodes the operator's config.

    Returns:
        Ok with a `routing.RouteBundle`, whose own check is still to be made, or BUNDLE_INVALID.
    """
    try:
        document = orjson.loads(body)
        routes = [_route(each) for each in _field(document, "routes", list)]
        services = [_service(each) for each in _field(document, "services", list)]
        bundle = routing.RouteBundle(
            _field(document, "version", int),
            routes,
            services,
            _limits(_field(document, "limits", dict, {})),
            [_account(each) for each in _field(document, "tenants", list, [])],
            bytes(body).decode(),
        )
    except orjson.JSONDecodeError as error:
        return codes.failure(codes.Code.BUNDLE_INVALID, f"the config cannot be read: {error}")
    except (FieldError, UnicodeDecodeError) as error:
        return codes.failure(codes.Code.BUNDLE_INVALID, f"the config is not valid: {error}")
    return expression.Ok(bundle)


def decode_heartbeat(worker_id: str, body: bytes) -> expression.Result:
    """Decodes a worker's heartbeat; Ok with a TargetReport, or BAD_REQUEST."""
    try:
        document = orjson.loads(body)
        word = _field(document, "state", str)
        if word not in STATE_BY_WORD:
            raise FieldError(f"state {word!r} is unknown")
        address = _text(document, "address")
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise FieldError(f"address {address!r} is no ip:port")
        report = hub.hub_thrift.TargetReport(
            target_id=worker_id,
            service_name=_text(document, "service"),
            address=address,
            availability_zone=_text(document, "zone"),
            slots=_int32(document, "slots"),
            state=STATE_BY_WORD[word],
            # Absent in the platform's example, stated elsewhere for all that a worker says.
            born_ms=_field(document, "born", int, 0),
            sequence=_field(document, "sequence", int),
            overdue=False,
        )
    except (orjson.JSONDecodeError, FieldError) as error:
        return codes.failure(codes.Code.BAD_REQUEST, f"the heartbeat is not valid: {error}")
    return expression.Ok(report)


def _int32(document, name):
    value = _field(document, name, int)
    if not 0 <= value < 2**31:
        raise FieldError(f"{name} is out of range")
    return value


def departure_report(worker_id: str, body: bytes, known):
    """Returns the TargetReport of a worker that says that it goes away.

    Args:
        worker_id: The worker's id.
        body: Body of the call, mostly empty.
        known: The `target_table.Target` with this id, or None.
    """
    born_ms = known.report.born_ms if known is not None else 0
    try:
        document = orjson.loads(body) if body else {}
        born_ms = _field(document, "born", int, born_ms)
    except (orjson.JSONDecodeError, FieldError):
        # The body adds nothing that is needed; the id alone names the worker.
        pass
    return hub.hub_thrift.TargetReport(
        target_id=worker_id,
        service_name=known.report.service if known is not None else "",
        address=known.report.address if known is not None else "",
        availability_zone=known.report.availability_zone if known is not None else "",
        slots=0,
        state=target_table.GONE,
        born_ms=born_ms,
        sequence=known.report.sequence if known is not None else 0,
        overdue=False,
    )
