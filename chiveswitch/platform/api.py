"""The calls of the platform's operators, workers, callers and checks, answered by the node."""

import urllib.parse

import orjson

from chiveswitch.core import codes
from chiveswitch.platform import documents

JSON = [("Content-Type", "application/json")]
TEXT = [("Content-Type", "text/plain; charset=utf-8")]
# The platform's operator needs no login; what it sends is signed under this name.
OPERATOR = "platform-operator"

HANDLER_BY_CALL = {}


def call(method: str, first_part: str):
    """Registers the handler of a method and the first part of a path."""

    def register(function):
        HANDLER_BY_CALL[method, first_part] = function
        return function

    return register


async def handle(node, request, responder):
    """Answers one call."""
    parts = request.path.strip("/").split("/")
    found = HANDLER_BY_CALL.get((request.method, parts[0]))
    if found is None:
        responder.send(404, [])
        return
    await found(node, request, responder, parts[1:])


def _send_json(responder, status, document):
    responder.send(status, JSON, orjson.dumps(document))


def _send_failure(responder, failure):
    """Sends a failure with the numbered code; only faults of the document are the sender's."""
    invalid = failure.code in (codes.Code.BUNDLE_INVALID, codes.Code.BAD_REQUEST)
    document = {"code": int(failure.code), "name": failure.code.name, "error": failure.message}
    _send_json(responder, 400 if invalid else 503, document)


@call("GET", "ready")
async def get_ready(node, _request, responder, _rest):
    """Says whether the node takes requests."""
    responder.send(200 if node.is_serving else 503, [])


@call("GET", "resolve")
async def get_resolve(node, request, responder, _rest):
    """Names the addresses that a caller should use."""
    query = urllib.parse.parse_qs(request.request_target.partition("?")[2])
    zone = query.get("zone", [""])[0]
    region = query.get("region", [""])[0]
    addresses = node.view.choose_addresses(zone, region)
    if not addresses:
        responder.send(503, [])
        return
    _send_json(responder, 200, {"addresses": addresses, "ttl-s": node.settings.address_ttl_s})


@call("PUT", "config")
async def put_config(node, request, responder, _rest):
    """Writes, approves and rolls a config."""
    decoded = documents.decode_config(request.body)
    if decoded.is_error():
        node.log.line("operator", "publish_refused", reason=decoded.error.message[:400])
        _send_failure(responder, decoded.error)
        return
    result = await node.publish(decoded.ok, OPERATOR)
    if result.is_error():
        _send_failure(responder, result.error)
        return
    _send_json(responder, 200, {"version": result.ok.number})


@call("GET", "config")
async def get_config(node, _request, responder, _rest):
    """Returns the config in force as it was sent."""
    result = await node.read_published()
    if result.is_error():
        _send_failure(responder, result.error)
        return
    if result.ok is None:
        responder.send(503, [])
        return
    responder.send(200, JSON, result.ok.source.encode())


@call("PUT", "instances")
async def put_instance(node, request, responder, rest):
    """Takes a worker's heartbeat."""
    decoded = documents.decode_heartbeat("/".join(rest), request.body)
    if decoded.is_error():
        node.log.line("node", "heartbeat_refused", reason=decoded.error.message[:200])
        _send_failure(responder, decoded.error)
        return
    await _report(node, responder, decoded.ok)


@call("DELETE", "instances")
async def delete_instance(node, request, responder, rest):
    """Takes a worker's farewell."""
    worker_id = "/".join(rest)
    report = documents.gone_report(worker_id, request.body, node.table.find(worker_id))
    await _report(node, responder, report)


async def _report(node, responder, report):
    result = await node.report_target(report)
    if result.is_error():
        node.log.line("node", "report_not_taken", target=report.target_id, state=report.state)
        _send_failure(responder, result.error)
        return
    host = result.ok.rpartition(":")[0]
    port = node.settings.control_address.rpartition(":")[2]
    # The platform calls an ip:port a URL here.
    _send_json(responder, 200, {"heartbeat-url": f"{host}:{port}"})


async def handle_metrics(node, request, responder):
    """Returns counters and histograms as text."""
    if request.path != node.settings.metrics_path:
        responder.send(404, [])
        return
    responder.send(200, TEXT, node.metrics.text().encode())
