"""HTTP handlers of the platform's API: readiness, address lookup, config, heartbeats and metrics.

The platform says worker for a target, instance for one start of a worker, and config for a route
bundle.
"""

import urllib.parse

import orjson

from chiveswitch.core import codes, rollouts, routing
from chiveswitch.platform import documents

JSON_HEADERS = [("Content-Type", "application/json")]
TEXT_HEADERS = [("Content-Type", "text/plain; charset=utf-8")]
# The platform's operator does not log in. The node signs the operator's configs and records them in
# the audit trail under this name.
OPERATOR_NAME = "platform-operator"
# Largest body of a heartbeat or leave, and of requests that need none.
MAX_SMALL_BODY_BYTES = 64 * 1024

# Statuses of failures for which the operator's document is to blame; the others may pass.
STATUS_BY_CODE = {
    codes.Code.BUNDLE_INVALID: 400,
    codes.Code.BAD_REQUEST: 400,
    codes.Code.ROLLOUT_CONFLICT: 409,
}

# Keys are (HTTP method, first segment of the path).
HANDLER_BY_ROUTE = {}


def route(method: str, first_segment: str):
    """Returns a decorator that registers a handler for a method and the first segment of a path."""

    def register(function):
        HANDLER_BY_ROUTE[method, first_segment] = function
        return function

    return register


def max_body_bytes(request) -> int:
    """Returns the largest size of a request's body. Only the operator's configs are large."""
    is_config = request.request_target.strip("/") == "config"
    return routing.DEFAULT_LIMITS.body_bytes if is_config else MAX_SMALL_BODY_BYTES


async def handle_request(node, request, responder):
    """Routes one request to its handler; an unknown method or path gets status 404."""
    segments = request.path.strip("/").split("/")
    handler = HANDLER_BY_ROUTE.get((request.method, segments[0]))
    if handler is None:
        responder.send(404, [])
        return
    await handler(node, request, responder, segments[1:])


def _send_json(responder, status, document):
    responder.send(status, JSON_HEADERS, orjson.dumps(document))


def _send_failure(responder, failure):
    """Sends a failure with its status of `STATUS_BY_CODE`, or 503."""
    status = STATUS_BY_CODE.get(failure.code, 503)
    document = {"code": int(failure.code), "name": failure.code.name, "error": failure.message}
    _send_json(responder, status, document)


@route("GET", "ready")
async def get_ready(node, _request, responder, _segments):
    """Responds with status 200 if the node accepts requests, otherwise 503."""
    responder.send(200 if node.is_serving else 503, [])


@route("GET", "resolve")
async def get_resolve(node, request, responder, _segments):
    """Responds with the addresses that a caller in the given zone and region should use."""
    query = urllib.parse.parse_qs(request.request_target.partition("?")[2])
    zone = query.get("zone", [""])[0]
    region = query.get("region", [""])[0]
    addresses = node.view.choose_addresses(zone, region)
    if not addresses:
        responder.send(503, [])
        return
    _send_json(responder, 200, {"addresses": addresses, "ttl-s": node.settings.address_ttl_s})


def _redirect(node, responder, size):
    """Redirects a request for the config if its bytes take too long on this machine's link.

    Returns:
        Whether the response was sent.
    """
    address = node.find_faster_node(size)
    if not address:
        return False
    responder.send(307, [("Location", f"http://{address}/config")])
    return True


@route("PUT", "config")
async def put_config(node, request, responder, _segments):
    """Decodes a config and publishes it: writes, approves and rolls the bundle."""
    # The leader of control would get the bundle through the same link.
    if _redirect(node, responder, len(request.body)):
        return
    decoded = documents.decode_config(request.body)
    if decoded.is_error():
        node.log.line("operator", "publish_refused", reason=decoded.error.message[:400])
        _send_failure(responder, decoded.error)
        return
    result = await node.publish(decoded.ok, OPERATOR_NAME)
    if result.is_error():
        _send_failure(responder, result.error)
        return
    _send_json(responder, 200, {"version": result.ok.number})


@route("GET", "config")
async def get_config(node, _request, responder, _segments):
    """Responds with the config in force, byte for byte as the operator sent it."""
    if node.forwarder.bundle is not None:
        if _redirect(node, responder, len(node.forwarder.bundle.source)):
            return
    result = await node.read_published()
    if result.is_error():
        _send_failure(responder, result.error)
        return
    if result.ok is None:
        responder.send(503, [])
        return
    await node.send_document(responder, JSON_HEADERS, result.ok.source.encode())


@route("PUT", "instances")
async def put_instance(node, request, responder, id_segments):
    """Applies a worker's heartbeat to the target table."""
    has_version = node.settings.rollout is not None
    decoded = documents.decode_heartbeat("/".join(id_segments), request.body, has_version)
    if decoded.is_error():
        node.log.line("node", "heartbeat_refused", reason=decoded.error.message[:200])
        _send_failure(responder, decoded.error)
        return
    await _report_target(node, responder, decoded.ok)


@route("DELETE", "instances")
async def delete_instance(node, request, responder, id_segments):
    """Marks a worker that shuts down as gone in the target table."""
    worker_id = "/".join(id_segments)
    target = node.table.find(worker_id)
    report = documents.departure_report(worker_id, request.body, target)
    if target is None and not report.born_ms and not node.table.has_left(worker_id):
        # Without the start that leaves, the report would supersede no heartbeat at any hub. Another
        # node may know the worker.
        node.log.line("node", "leave_unknown", target=worker_id)
        responder.send(503, [])
        return
    await _report_target(node, responder, report)


@route("POST", "rollouts")
async def post_rollout(node, request, responder, segments):
    """Orders a roll-out and responds once control has confirmed the order."""
    if node.rollouts is None or segments:
        responder.send(404, [])
        return
    decoded = documents.decode_rollout(request.body)
    if decoded.is_error():
        node.log.line("rollout", "order_refused", reason=decoded.error.message[:200])
        _send_failure(responder, decoded.error)
        return
    order = decoded.ok
    result = await node.rollouts.order(
        order.service, order.version, order.duration_s, OPERATOR_NAME
    )
    if result.is_error():
        _send_failure(responder, result.error)
        return
    _send_json(responder, 200, {"service": order.service, "target": order.version})


@route("GET", "rollouts")
async def get_rollout(node, _request, responder, service_segments):
    """Responds with the state of a service's latest roll-out."""
    if node.rollouts is None or not service_segments:
        responder.send(404, [])
        return
    result = await node.rollouts.read(urllib.parse.unquote("/".join(service_segments)))
    if result.is_error():
        _send_failure(responder, result.error)
        return
    if not result.ok.found:
        responder.send(404, [])
        return
    document = {"state": rollouts.STATE_NAMES[result.ok.state], "target": result.ok.version}
    _send_json(responder, 200, document)


async def _report_target(node, responder, report):
    result = await node.report_target(report)
    if result.is_error():
        node.log.line("node", "report_not_taken", target=report.target_id, state=report.state)
        _send_failure(responder, result.error)
        return
    host = result.ok.rpartition(":")[0]
    port = node.settings.control_address.rpartition(":")[2]
    # The platform names this field a URL but expects ip:port.
    _send_json(responder, 200, {"heartbeat-url": f"{host}:{port}"})


async def handle_metrics(node, request, responder):
    """Responds with counters and histograms in text form at the configured metrics path."""
    if request.path != node.settings.metrics_path:
        responder.send(404, [])
        return
    responder.send(200, TEXT_HEADERS, node.metrics.text().encode())
