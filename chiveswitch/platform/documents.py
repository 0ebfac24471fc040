"""Decodes the platform's JSON documents, configs and heartbeats, into the product's types."""

import ipaddress

import expression
import orjson

from chiveswitch.core import codes, routing, target_table
from chiveswitch.peers import hub, strict

MS_PER_SECOND = 1000.0
# Longest id, service or zone of a worker. One answer to a watch holds the texts of all workers.
MAX_NAME_LENGTH = 256
MAX_PORT_DIGITS = 5
# Largest number of a config, apart from its version: times and priorities are 32-bit integers
# in requests for grants.
MAX_NUMBER = strict.integer_range(hub.hub_thrift.QuotaRequest, "max_wait_ms")[-1]

KIND_BY_WORD = {
    "safe": routing.Kind.IDEMPOTENT,
    "unsafe": routing.Kind.UNREPEATABLE,
    "streaming": routing.Kind.STREAM,
}
STATE_BY_WORD = {"ready": target_table.READY, "draining": target_table.DRAINING}


class FieldError(Exception):
    """Raised for a missing or invalid field; the public functions of this module catch it."""


def _field(document, name, types, default=None):
    if not isinstance(document, dict):
        raise FieldError(f"{name}: the enclosing value is not a JSON object")
    value = document.get(name, default)
    # A JSON boolean would otherwise pass as an int.
    if isinstance(value, bool) and types is not bool:
        raise FieldError(f"{name} must not be a boolean")
    if not isinstance(value, types):
        raise FieldError(f"{name} is missing or has the wrong type")
    return value


def _number(document, name, default=None):
    """Returns a number of the config that messages between nodes can carry."""
    value = _field(document, name, (int, float), default)
    if abs(value) > MAX_NUMBER:
        raise FieldError(f"{name} is above {MAX_NUMBER}")
    return value


def _integer(document, name, default=None):
    """Returns an integer of the config that messages between nodes can carry."""
    _field(document, name, int, default)
    return _number(document, name, default)


def _seconds(document, name, default=None):
    """Returns a field in milliseconds, converted to seconds."""
    return _number(document, name, default) / MS_PER_SECOND


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
            weight = _number(part, "weight")
            weight_by_service[service] = weight_by_service.get(service, 0) + weight
        if "service" in document:
            # The split decides where requests go, but the service must be known.
            weight_by_service.setdefault(_text(document, "service"), 0)
    else:
        weight_by_service[_text(document, "service")] = 1
    timeout_s = _seconds(document, "timeout-ms")
    return routing.Route(
        name=name,
        host=_text(document, "host").lower(),
        path_prefix=_text(document, "path-prefix"),
        kind=KIND_BY_WORD[word],
        timeout_s=timeout_s,
        # A response, or the first event of a stream, counts as good if it arrives within this time.
        objective_s=_seconds(document, "target-latency-ms", timeout_s * MS_PER_SECOND),
        gap_objective_s=_seconds(document, "target-gap-ms", 0),
        # Only workers that run a request count as attempts; workers that reject it do not.
        max_runs=_integer(document, "max-attempts", 1),
        priority=_integer(document, "priority", 1),
        anonymous=_field(document, "allow-anonymous", bool, False),
        resumable=_field(document, "resumable", bool, False),
        weight_by_service=weight_by_service,
    )


def _engine(document):
    if document is None:
        return None
    return routing.Engine(
        slots=_integer(document, "slots"),
        memory_tokens=_integer(document, "kv-capacity-tokens"),
        copies=_field(document, "backups", bool, False),
        copy_kept_s=float(_number(document, "handle-s", 0)),
        event_tokens=_integer(document, "stride", 0),
    )


def _service(document):
    return routing.Service(
        name=_text(document, "name"),
        max_connections=_integer(document, "max-connections", 0),
        engine=_engine(document.get("engine")),
    )


def _limits(document):
    defaults = routing.DEFAULT_LIMITS
    return routing.Limits(
        header_bytes=_integer(document, "max-header-bytes", defaults.header_bytes),
        body_bytes=_integer(document, "max-body-bytes", defaults.body_bytes),
        header_timeout_s=_seconds(
            document, "header-timeout-ms", defaults.header_timeout_s * MS_PER_SECOND
        ),
        idle_timeout_s=_seconds(
            document, "idle-timeout-ms", defaults.idle_timeout_s * MS_PER_SECOND
        ),
    )


def _account(document):
    # The platform calls a client account a tenant.
    keys = _field(document, "api-keys", list)
    for key in keys:
        if not isinstance(key, str) or not key:
            raise FieldError("api-keys must hold non-empty strings only")
    priority = document.get("priority")
    if priority is not None:
        priority = _integer(document, "priority")
    return routing.Account(name=_text(document, "name"), keys=keys, priority=priority)


class RolloutOrder:
    """An operator's order to move a service's requests to the targets of a version.

    Attributes:
        service: Name of the service.
        version: The version.
        duration_s: Seconds until the roll-out must have ended.
    """

    __slots__ = ("service", "version", "duration_s")

    def __init__(self, service: str, version: str, duration_s: float):
        self.service = service
        self.version = version
        self.duration_s = duration_s


def decode_rollout(body: bytes) -> expression.Result:
    """Decodes the order of a roll-out.

    Returns:
        Ok with the `RolloutOrder`, or BAD_REQUEST.
    """
    try:
        document = orjson.loads(body)
        return expression.Ok(
            RolloutOrder(
                _text(document, "service"),
                _text(document, "target"),
                float(_number(document, "duration-s")),
            )
        )
    except (orjson.JSONDecodeError, FieldError) as error:
        return codes.failure(codes.Code.BAD_REQUEST, f"roll-out: {error}")


def decode_config(body: bytes) -> expression.Result:
    """Decodes the operator's config.

    Args:
        body: JSON document.

    Returns:
        Ok with a `routing.RouteBundle`, or BUNDLE_INVALID. Each field is checked by itself; the
        rules across fields are left to `routing.find_faults`.
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
        return codes.failure(codes.Code.BUNDLE_INVALID, f"the config is not valid JSON: {error}")
    except (FieldError, UnicodeDecodeError) as error:
        return codes.failure(codes.Code.BUNDLE_INVALID, f"the config is not valid: {error}")
    return expression.Ok(bundle)


def decode_heartbeat(worker_id: str, body: bytes, has_version: bool = False) -> expression.Result:
    """Decodes a worker's heartbeat.

    Args:
        worker_id: Id of the worker, from the path of the request.
        body: JSON document.
        has_version: Whether the report states the version of the worker's software. Earlier
            versions of nodes do not understand such reports.

    Returns:
        Ok with a TargetReport, or BAD_REQUEST.
    """
    try:
        document = orjson.loads(body)
        word = _field(document, "state", str)
        if word not in STATE_BY_WORD:
            raise FieldError(f"state {word!r} is unknown")
        if not 0 < len(worker_id) <= MAX_NAME_LENGTH:
            raise FieldError(f"the id is empty or longer than {MAX_NAME_LENGTH} characters")
        report = hub.hub_thrift.TargetReport(
            target_id=worker_id,
            service_name=_name(document, "service"),
            address=_address(document),
            availability_zone=_name(document, "zone"),
            slots=_carried(document, "slots", "slots"),
            state=STATE_BY_WORD[word],
            # The platform requires `born` in every message of a worker, but its example of a
            # heartbeat omits it.
            born_ms=_carried(document, "born", "born_ms", 0),
            sequence=_carried(document, "sequence", "sequence"),
            overdue=False,
            version=_version(document) if has_version else None,
        )
    except (orjson.JSONDecodeError, FieldError) as error:
        return codes.failure(codes.Code.BAD_REQUEST, f"the heartbeat is not valid: {error}")
    return expression.Ok(report)


def _name(document, field):
    value = _text(document, field)
    if len(value) > MAX_NAME_LENGTH:
        raise FieldError(f"{field} is longer than {MAX_NAME_LENGTH} characters")
    return value


def _version(document):
    """Returns the version of the worker's software, or None if it is missing."""
    value = _field(document, "version", str, "")
    if len(value) > MAX_NAME_LENGTH:
        raise FieldError(f"version is longer than {MAX_NAME_LENGTH} characters")
    return value or None


def _address(document):
    """Returns `ip:port` as sent; it becomes a part of headers to other workers."""
    address = _text(document, "address")
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise FieldError(f"address {address[:MAX_NAME_LENGTH]!r} is not ip:port") from None
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not is_number or not 0 < int(port) < 65536:
        raise FieldError(f"address {address[:MAX_NAME_LENGTH]!r} is not ip:port")
    return address


def _carried(document, name, report_field, default=None):
    """Returns a count or number that a field of the TargetReport can carry."""
    value = _field(document, name, int, default)
    carried = strict.integer_range(hub.hub_thrift.TargetReport, report_field)
    if value < 0 or value not in carried:
        raise FieldError(f"{name} is outside 0 to {carried[-1]}")
    return value


def departure_report(worker_id: str, body: bytes, target):
    """Returns the TargetReport with the state GONE for a worker that shuts down.

    Args:
        worker_id: The worker's id.
        body: Body of the request, usually empty; it may state `born`.
        target: The `target_table.Target` with this id, or None.
    """
    born_ms = target.report.born_ms if target is not None else 0
    try:
        document = orjson.loads(body) if body else {}
        born_ms = _carried(document, "born", "born_ms", born_ms)
    except (orjson.JSONDecodeError, FieldError):
        # An invalid body is ignored, because the id in the path identifies the worker.
        pass
    return hub.hub_thrift.TargetReport(
        target_id=worker_id,
        service_name=target.report.service if target is not None else "",
        address=target.report.address if target is not None else "",
        availability_zone=target.report.availability_zone if target is not None else "",
        slots=0,
        state=target_table.GONE,
        born_ms=born_ms,
        sequence=target.report.sequence if target is not None else 0,
        overdue=False,
    )
