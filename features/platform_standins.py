"""Stand-ins for the users' workers, callers and operators.

They replace the users' test bench in the tests of the forwarding path.
"""

import asyncio

import httptools
import orjson

from chiveswitch.core import clock
from chiveswitch.forwarding import http_server

MODEL = "m"


class Worker:
    """A worker that runs calls and streams, holds backup copies of runs, and fails on demand.

    Attributes:
        worker_id: Its id.
        address: Its `ip:port`.
        runs: (request id, headers by lower-case name) of each request that it ran.
        rejected_request_ids: Ids of requests that it refused or dropped without running them.
        last_event_by_copy: Number of the last event in each backup copy that it holds. The key is
            the handle of a copy that `/kv-move` ordered, or the request id of a copy that a running
            stream updates with each event.
        freed_handles: Handles of backup copies that the gateway released.
        aborted_request_ids: Ids of requests whose connection closed before their end.
        behaviour: How it handles the next requests: a key of `BEHAVIOUR_BY_NAME`.
        events: Number of events in a stream.
        event_seconds: Pause before each event, in seconds.
        call_seconds: Duration of a call, in seconds.
        cut_after: Number of the event in the middle of which the connection is reset, or None.
        silent_after: Number of the event before which the stream stalls for 60 s, or None.
        crashing_parts: Parts of prompts on which it crashes after the head of the response.
        crash_count: Number of these crashes.
        restart_seconds: Seconds from a crash until it listens again.
        named_limit: Limit that it names in its responses, as text, or None.
        retry_after_values: Values of the headers of its refusals that ask for a pause.
        born_ms: Time of its start, in milliseconds.
        leaving_values: Values of the headers of its responses that say that it leaves.
        load: Value of the load header of its responses.
        arrivals: (time in seconds, request id) of each request that arrived for this worker.
        batch: `engine_batch.Batch` that paces its streams instead of `event_seconds`, or None.
    """

    def __init__(self, worker_id: str, address: str, worker_by_address: dict):
        self.worker_id = worker_id
        self.address = address
        self.runs = []
        self.rejected_request_ids = []
        self.last_event_by_copy = {}
        self.aborted_request_ids = []
        self.freed_handles = []
        self.behaviour = "answer"
        self.events = 12
        self.event_seconds = 0.01
        self.call_seconds = 0.0
        self.cut_after = None
        self.silent_after = None
        self.crashing_parts = set()
        self.crash_count = 0
        self.restart_seconds = 0.5
        self.batch = None
        self.named_limit = None
        self.retry_after_values = []
        self.born_ms = 1000
        self.leaving_values = []
        self.load = "1,0,8"
        self.arrivals = []
        self._worker_by_address = worker_by_address
        worker_by_address[address] = self
        self._server = http_server.Server(self._handle)
        self._restart = None

    async def start(self):
        """Starts to listen."""
        await self._server.start(self.address)

    async def stop(self):
        """Resets all connections and stops listening, as a crash would."""
        if self._restart is not None:
            self._restart.cancel()
        self._server.abort()

    async def crash(self):
        """Resets all connections, and listens again after `restart_seconds`."""
        self.crash_count += 1
        await self.stop()
        self._server = http_server.Server(self._handle)
        self._restart = asyncio.get_running_loop().call_later(
            self.restart_seconds, lambda: asyncio.ensure_future(self.start())
        )

    async def crash_from_handler(self):
        """Crashes while it handles a request, whose task ends as well."""
        asyncio.get_running_loop().create_task(self.crash())
        await asyncio.sleep(60)

    def is_crashed_by(self, headers) -> bool:
        """Returns whether a part of the prompt of a request crashes it."""
        parts = headers.get("x-prompt-prefix", "").split(",")
        return bool(self.crashing_parts.intersection(part.partition(":")[0] for part in parts))

    def heartbeat(self, service: str, zone: str, sequence: int, state: str = "ready") -> bytes:
        """Returns the body of a heartbeat request."""
        return orjson.dumps(
            {
                "service": service,
                "address": self.address,
                "zone": zone,
                "version": "v1",
                "slots": 8,
                "state": state,
                "cold-remaining-ms": 0,
                "sequence": sequence,
                "born": self.born_ms,
            }
        )

    async def _handle(self, request, responder):
        headers = request.value_by_header
        request_id = headers.get("x-request-id", "")
        expected = headers.get("x-expect-instance")
        if expected not in (None, self.worker_id):
            refusal_headers = self._refusal_headers(request_id)
            responder.send(421, [("X-Instance-Id", self.worker_id), *refusal_headers])
            return
        if request.path.startswith("/kv-handle/"):
            self.freed_handles.append(request.path.rpartition("/")[2])
            responder.send(200, self._state_headers())
            return
        if request.path == "/kv-move":
            self._accept_copy_order(request, responder)
            return
        self.arrivals.append((clock.now(), request_id))
        try:
            await BEHAVIOUR_BY_NAME[self.behaviour](self, request, responder, request_id)
        except asyncio.CancelledError:
            self.aborted_request_ids.append(request_id)
            raise

    def _accept_copy_order(self, request, responder):
        order = orjson.loads(bytes(request.body))
        holder = self._worker_by_address[order["target"]]
        handle = f"h{order['id']}"
        holder.last_event_by_copy[handle] = 0
        body = orjson.dumps({"handle": handle, "made": 0})
        responder.send(200, self._state_headers(), body)

    def _response_headers(self, request_id):
        return [
            ("X-Request-Id", request_id),
            ("X-Response-Seal", f"seal-{self.worker_id}"),
            ("X-Instance-Load", self.load),
            *self._state_headers(),
        ]

    def _refusal_headers(self, request_id):
        return [
            ("X-Not-Executed", "1"),
            ("X-Request-Id", request_id),
            *self._pause_headers(),
            *self._state_headers(),
        ]

    def _pause_headers(self):
        return [("Retry-After", value) for value in self.retry_after_values]

    def _state_headers(self):
        headers = [("Server-Leaving", value) for value in self.leaving_values]
        if self.named_limit is not None:
            headers.append(("Server-Limit", self.named_limit))
        return headers

    async def _run_stream(self, request, responder, request_id):
        headers = request.value_by_header
        source = headers.get("kv-from", "").rpartition("/")[2]
        if source and source not in self.last_event_by_copy:
            self.rejected_request_ids.append(request_id)
            responder.send(503, self._refusal_headers(request_id))
            return
        batch_request = None
        if self.batch is not None:
            priority = headers.get("x-request-priority")
            batch_request = self.batch.add_request(
                headers["x-prompt-prefix"], None if priority is None else int(priority)
            )
            if batch_request is None:
                await refuse(self, request, responder, request_id)
                return
        self.runs.append((request_id, dict(headers)))
        try:
            await self._send_events(request, responder, request_id, batch_request)
        finally:
            if batch_request is not None:
                self.batch.remove_request(batch_request)

    async def _send_events(self, request, responder, request_id, batch_request):
        headers = request.value_by_header
        first = int(headers.get("last-event-id", "-1")) + 1
        holder = self._worker_by_address.get(headers.get("x-kv-backup", ""))
        responder.begin(200, self._response_headers(request_id))
        if self.is_crashed_by(headers):
            await asyncio.sleep(self.event_seconds)
            await self.crash_from_handler()
        for number in range(first, self.events):
            if batch_request is None:
                await asyncio.sleep(self.event_seconds)
            else:
                await self.batch.step(batch_request)
            event = b"id: %d\ndata: %s-%d\n\n" % (number, request_id.encode(), number)
            if self.cut_after is not None and number >= self.cut_after:
                responder.write(event[:7])
                await asyncio.sleep(0.01)
                responder.abort()
                return
            if self.silent_after is not None and number >= self.silent_after:
                await asyncio.sleep(60)
            responder.write(event)
            if holder is not None:
                holder.last_event_by_copy[request_id] = number
        responder.finish()


BEHAVIOUR_BY_NAME = {}
# Statuses of the responses of `send_foreign_bytes`, in turn.
FOREIGN_STATUSES = (200, 404, 503)


def behaviour(name: str):
    """Returns a decorator that registers a function as the behaviour of a name."""

    def register(function):
        BEHAVIOUR_BY_NAME[name] = function
        return function

    return register


@behaviour("answer")
async def run_and_answer(worker, request, responder, request_id):
    """Runs the request and answers."""
    if "x-token-usage" in request.value_by_header:
        await worker._run_stream(request, responder, request_id)
        return
    worker.runs.append((request_id, dict(request.value_by_header)))
    if worker.is_crashed_by(request.value_by_header):
        await worker.crash_from_handler()
    if worker.call_seconds:
        await asyncio.sleep(worker.call_seconds)
    body = b"%s %s %s" % (
        request.method.encode(),
        request.request_target.encode(),
        bytes(request.body),
    )
    responder.send(200, worker._response_headers(request_id), body)


@behaviour("shed")
async def refuse(worker, _request, responder, request_id):
    """Refuses the request and states that it did not run."""
    worker.rejected_request_ids.append(request_id)
    responder.send(503, worker._refusal_headers(request_id))


@behaviour("unsure")
async def answer_ambiguously(worker, request, responder, request_id):
    """Runs the request and answers 503 without the header that marks a refusal."""
    worker.runs.append((request_id, dict(request.value_by_header)))
    state_headers = [*worker._pause_headers(), *worker._state_headers()]
    responder.send(503, [("X-Request-Id", request_id), *state_headers])


@behaviour("lose_answer")
async def lose_answer(worker, request, responder, request_id):
    """Runs the request and resets the connection, so that the response is lost."""
    worker.runs.append((request_id, dict(request.value_by_header)))
    responder.abort()


@behaviour("drop_connection")
async def drop_connection(worker, _request, responder, request_id):
    """Resets the connection without running the request, as after an idle timeout."""
    worker.rejected_request_ids.append(request_id)
    responder.abort()


@behaviour("fail")
async def fail(worker, request, responder, request_id):
    """Runs the request and fails."""
    worker.runs.append((request_id, dict(request.value_by_header)))
    responder.send(500, worker._response_headers(request_id), b"failed")


@behaviour("send_foreign_bytes")
async def send_foreign_bytes(worker, request, responder, request_id):
    """Runs the request and sends, in place of its response, one that belongs to no request."""
    worker.runs.append((request_id, dict(request.value_by_header)))
    status = FOREIGN_STATUSES[len(worker.runs) % len(FOREIGN_STATUSES)]
    headers = [("X-Not-Executed", "1")] if status == 503 else []
    responder.send(status, headers, b"id: 0\ndata: foreign\n\n")


@behaviour("hang")
async def hang(worker, request, _responder, request_id):
    """Runs the request and never answers."""
    worker.runs.append((request_id, dict(request.value_by_header)))
    await asyncio.sleep(60)


class Response:
    """An HTTP response as a caller received it.

    Attributes:
        status: Status code, or 0 if no header section arrived.
        value_by_header: Header values by lower-case name.
        body: The part of the body that arrived.
        complete: Whether the whole response arrived, according to its framing.
    """

    def __init__(self):
        self.status = 0
        self.value_by_header = {}
        self.body = b""
        self.complete = False
        self._parser = httptools.HttpResponseParser(self)

    def on_header(self, name, value):
        self.value_by_header[name.decode().lower()] = value.decode()

    def on_headers_complete(self):
        self.status = self._parser.get_status_code()

    def on_body(self, body):
        self.body += body

    def on_message_complete(self):
        self.complete = True

    def feed(self, data):
        self._parser.feed_data(data)

    def event_ids(self) -> list[int]:
        """Returns the ids of the events in the body."""
        lines = self.body.split(b"\n")
        return [int(line[4:]) for line in lines if line.startswith(b"id: ")]


def encode_request(method: str, path: str, headers: dict, body: bytes = b"") -> bytes:
    """Returns an HTTP/1.1 request as bytes."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def send_bytes(address: str, data: bytes, seconds: float = 10.0) -> Response:
    """Sends bytes on a new connection and reads one response.

    A connection that breaks ends the response early. Raises OSError if the connection cannot be
    opened, and TimeoutError after `seconds`.
    """
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    response = Response()
    try:
        writer.write(data)
        async with asyncio.timeout(seconds):
            while not response.complete:
                chunk = await reader.read(65536)
                if not chunk:
                    break
                response.feed(chunk)
    except ConnectionError:
        pass
    finally:
        writer.transport.abort()
    return response


async def send_request(
    address: str, method: str, path: str, headers=None, body: bytes = b""
) -> Response:
    """Sends one request on a new connection and returns its response."""
    fields = {"Host": "svc.example", **(headers or {})}
    return await send_bytes(address, encode_request(method, path, fields, body))


def stream_headers(request_id: str, **more) -> dict:
    """Returns the headers of a caller's request for a stream."""
    return {
        "X-Request-Id": request_id,
        "X-Model": MODEL,
        "X-Token-Usage": "800,100",
        "X-Prompt-Prefix": "aa:200,bb:600",
        "X-Deadline-Ms": "10000",
        "Authorization": "Bearer key-1",
        **more,
    }


def make_config(version: int, **changes) -> dict:
    """Returns a config document with a streaming, a safe and an unsafe route."""

    def route(name, prefix, kind, service, **more):
        return {
            "name": name,
            "host": "svc.example",
            "path-prefix": prefix,
            "kind": kind,
            "timeout-ms": 5000,
            "target-latency-ms": 500,
            "priority": 1,
            "service": service,
            "max-attempts": 3,
            "allow-anonymous": False,
            **more,
        }

    engine = {"slots": 8, "kv-capacity-tokens": 50000, "backups": True, "handle-s": 4.0}
    document = {
        "version": version,
        "routes": [
            route(
                "stream", "/s/", "streaming", "engines", resumable=True, **{"target-gap-ms": 700}
            ),
            route("safe", "/r/", "safe", "plain"),
            route("unsafe", "/w/", "unsafe", "plain", **{"max-attempts": 1}),
        ],
        "services": [
            {"name": "engines", "max-connections": 50, "engine": engine},
            {"name": "plain", "max-connections": 50},
        ],
        "limits": {
            "max-header-bytes": 4096,
            "max-body-bytes": 65536,
            "header-timeout-ms": 1000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "account-1", "api-keys": ["key-1", "key-2"], "priority": 1}],
    }
    document.update(changes)
    return document


async def wait_until(condition, seconds: float = 10.0):
    """Waits until a condition holds; fails the test if it does not hold within `seconds`."""
    end = clock.now() + seconds
    while not condition():
        assert clock.now() < end, f"the condition did not hold within {seconds} s"
        await asyncio.sleep(0.02)
