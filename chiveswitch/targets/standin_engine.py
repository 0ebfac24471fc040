"""Stand-in for a model engine with continuous batching, prefix cache, resume, cancel and orders.

Token n depends on the seed, the prompt and the digest of all earlier tokens, so that a lost,
repeated or foreign token changes every later one.
"""

import asyncio
import collections
import hashlib
import logging

import orjson
from starlette import applications, responses, routing

from chiveswitch.core import clock, digests, sse

log = logging.getLogger("chiveswitch.engine")

HEARTBEAT_SECONDS = 0.25
# Time after which an attempt without readers is cancelled, as real engines do.
ORPHAN_TIMEOUT_SECONDS = 15.0
MAX_KEPT_ATTEMPTS = 4096

ROLES = ("mixed", "prefill")
# Backoff after a failed fetch from the weight store.
FETCH_BACKOFF_SECONDS = 0.2
# Upper bounds of an order. Real orders contain a few (model, adapter, version) triples.
MAX_ORDER_BYTES = 64 * 1024
MAX_ORDER_TRIPLES = 256
MAX_FENCE = (1 << 63) - 1


def next_token(seed: int, prompt: str, digest: str) -> str:
    """Returns the token that follows the prefix with the given digest."""
    data = f"{seed}|{prompt}|{digest}".encode()
    return hashlib.blake2b(data, digest_size=3).hexdigest() + " "


class EngineSettings:
    """Speed and limits of a stand-in engine.

    Attributes:
        token_seconds: Time in seconds of one decoding step of a small batch.
        batch_slowdown: Share by which a decoding step of a full batch is slower.
        prefill_tokens_per_second: Prompt and prefix tokens processed per second in the prefill.
        capacity: Largest number of attempts in a batch.
        cached_prefixes: Number of prompt prefixes in the prefix cache.
        load_seconds: Time in seconds to load one (model, adapter, version) after its weights
            arrived.
        honours_fencing: Whether an order with a lower fencing token than an earlier one is refused.
    """

    __slots__ = (
        "token_seconds",
        "batch_slowdown",
        "prefill_tokens_per_second",
        "capacity",
        "cached_prefixes",
        "load_seconds",
        "honours_fencing",
    )

    def __init__(
        self,
        token_seconds=0.03,
        batch_slowdown=0.3,
        prefill_tokens_per_second=20_000.0,
        capacity=64,
        cached_prefixes=64,
        load_seconds=0.5,
        honours_fencing=True,
    ):
        self.token_seconds = token_seconds
        self.batch_slowdown = batch_slowdown
        self.prefill_tokens_per_second = prefill_tokens_per_second
        self.capacity = capacity
        self.cached_prefixes = cached_prefixes
        self.load_seconds = load_seconds
        self.honours_fencing = honours_fencing


class Order:
    """An order that sets the models and the role of an engine, with a fencing token.

    Attributes:
        fence: Fencing token, a tuple (term, index).
        load: Tuple of the (model, adapter, version) that must become ready.
        role: One of `ROLES`.
    """

    __slots__ = ("fence", "load", "role")

    def __init__(self, fence, load, role):
        self.fence = fence
        self.load = load
        self.role = role


def parse_order(data: bytes):
    """Returns the `Order` in a request body, or None if any part of it is invalid."""
    if len(data) > MAX_ORDER_BYTES:
        return None
    try:
        body = orjson.loads(data)
    except orjson.JSONDecodeError:
        return None
    if not isinstance(body, dict) or set(body) != {"fence", "load", "role"}:
        return None
    fence, load = body["fence"], body["load"]
    # The exact type also excludes booleans, which are integers in Python.
    if not isinstance(fence, list) or [type(part) for part in fence] != [int, int]:
        return None
    if not all(0 <= part <= MAX_FENCE for part in fence) or body["role"] not in ROLES:
        return None
    if not isinstance(load, list) or len(load) > MAX_ORDER_TRIPLES:
        return None
    for triple in load:
        if not isinstance(triple, list) or [type(part) for part in triple] != [str, str, str]:
            return None
    triples = tuple(dict.fromkeys(tuple(triple) for triple in load))
    return Order(tuple(fence), triples, body["role"])


class Attempt:
    """One queued, running or finished attempt to generate a response.

    Attributes:
        attempt_id: Id of the attempt.
        model: Tuple (model, adapter, version).
        prompt: The prompt.
        seed: Seed of the token sequence.
        max_tokens: Number of tokens, including the prefix, after which the attempt ends.
        priority: Position in the queue; lower values run first.
        prefix_length: Number of tokens that the request contains.
        prefix_digest: Digest of these tokens.
        tokens: All tokens so far, including the prefix.
        digest: `digests.PrefixDigest` of `tokens`.
        prefill_done_at: Time in seconds at which the prefill ends.
        started: Whether the first decoding step was made.
        ended: Whether all tokens were generated.
        cancelled: Whether the attempt was cancelled.
        reader_count: Number of open streams of the attempt.
        last_reader_left_at: Time in seconds at which the last stream ended, or of the creation.
        progress_event: `asyncio.Event` that is set at the next change.
    """

    __slots__ = (
        "attempt_id",
        "model",
        "prompt",
        "seed",
        "max_tokens",
        "priority",
        "prefix_length",
        "prefix_digest",
        "tokens",
        "digest",
        "prefill_done_at",
        "started",
        "ended",
        "cancelled",
        "reader_count",
        "last_reader_left_at",
        "progress_event",
    )

    def __init__(self, request: dict, now: float):
        prefix = request.get("prefix", [])
        self.attempt_id = request["attempt_id"]
        self.model = (request["model"], request["adapter"], request["version"])
        self.prompt = request["prompt"]
        self.seed = request["seed"]
        self.max_tokens = request["max_tokens"]
        self.priority = request.get("priority", 1)
        self.prefix_length = len(prefix)
        self.digest = digests.PrefixDigest()
        self.digest.add(prefix)
        self.prefix_digest = self.digest.hexdigest()
        self.tokens = list(prefix)
        self.prefill_done_at = 0.0
        self.started = False
        self.ended = False
        self.cancelled = False
        self.reader_count = 0
        self.last_reader_left_at = now
        self.progress_event = asyncio.Event()

    def wake_readers(self):
        """Wakes all readers; each of them sends all new tokens as one batch."""
        self.progress_event.set()
        self.progress_event = asyncio.Event()


class Engine:
    """Runs attempts in batches and executes orders.

    Attributes:
        settings: The `EngineSettings`.
        attempts_by_id: Attempts that are queued, running or kept for readers.
        running: Attempts in the present batch.
        queue: Attempts that wait for the batch, by priority.
        warm_prefixes: Time of the last use by prompt prefix, for prefixes in the cache.
        models: Ready models as (model, adapter, version).
        loading: Models that are being loaded or wait for it.
        unloading: Models that accept no new attempts and are unloaded after their attempts end.
        role: One of `ROLES`.
        fence: Highest fencing token of the accepted orders. If the engine ignores fencing, the
            token of the last order.
        loads: Number of loads begun since the start.
        tokens_generated: Number of tokens generated since the start.
        prefill_tokens: Number of prompt and prefix tokens processed since the start.
        silenced_before: Streams opened before this time send no more events (fault injection).
    """

    def __init__(self, settings: EngineSettings, models, now=clock.now, fetch=None):
        """Creates an engine.

        Args:
            settings: The `EngineSettings`.
            models: Models that are ready from the start.
            now: Function that returns the current time in seconds.
            fetch: Coroutine function that fetches the weights of a (model, adapter, version) and
                returns a `Result`, or None to load without fetching.
        """
        self.settings = settings
        self.models = list(models)
        self.loading = []
        self.unloading = []
        self.role = "mixed"
        self.loads = 0
        self._fetch = fetch
        self._wanted_triples = None
        self._order_accepted = asyncio.Event()
        self.attempts_by_id = collections.OrderedDict()
        self.running = []
        self.queue = []
        self.warm_prefixes = collections.OrderedDict()
        self.tokens_generated = 0
        self.prefill_tokens = 0
        self.silenced_before = -1.0
        self.fence = (0, 0)
        self._now = now

    def submit(self, request: dict) -> Attempt:
        """Queues an attempt. For a repeated attempt id, returns the existing attempt instead."""
        existing = self.attempts_by_id.get(request["attempt_id"])
        if existing is not None:
            return existing
        attempt = Attempt(request, self._now())
        self.attempts_by_id[attempt.attempt_id] = attempt
        self.queue.append(attempt)
        self.queue.sort(key=lambda queued: queued.priority)
        while len(self.attempts_by_id) > MAX_KEPT_ATTEMPTS:
            self.attempts_by_id.popitem(last=False)
        return attempt

    def cancel(self, attempt_id: str) -> bool:
        """Cancels an attempt; returns whether the engine had it."""
        attempt = self.attempts_by_id.pop(attempt_id, None)
        if attempt is None:
            return False
        attempt.cancelled = True
        attempt.wake_readers()
        return True

    def _start_queued(self, now: float):
        while self.queue and len(self.running) < self.settings.capacity:
            attempt = self.queue.pop(0)
            if attempt.cancelled:
                continue
            prefix_key = attempt.prompt[:64]
            prefill_work = attempt.prefix_length + len(attempt.prompt) // 4
            if prefix_key in self.warm_prefixes:
                prefill_work -= min(prefill_work, len(attempt.prompt) // 4)
            self.warm_prefixes[prefix_key] = now
            self.warm_prefixes.move_to_end(prefix_key)
            while len(self.warm_prefixes) > self.settings.cached_prefixes:
                self.warm_prefixes.popitem(last=False)
            self.prefill_tokens += prefill_work
            attempt.prefill_done_at = now + prefill_work / self.settings.prefill_tokens_per_second
            self.running.append(attempt)

    def step(self, now: float):
        """Generates one token for each running attempt whose prefill is done."""
        self._start_queued(now)
        still_running = []
        for attempt in self.running:
            if attempt.cancelled:
                continue
            if (
                attempt.reader_count == 0
                and now - attempt.last_reader_left_at > ORPHAN_TIMEOUT_SECONDS
            ):
                self.cancel(attempt.attempt_id)
                continue
            if now < attempt.prefill_done_at:
                still_running.append(attempt)
                continue
            attempt.started = True
            if len(attempt.tokens) < attempt.max_tokens:
                token = next_token(attempt.seed, attempt.prompt, attempt.digest.hexdigest())
                attempt.tokens.append(token)
                attempt.digest.add((token,))
                self.tokens_generated += 1
            if len(attempt.tokens) >= attempt.max_tokens:
                attempt.ended = True
            else:
                still_running.append(attempt)
            attempt.wake_readers()
        self.running = still_running
        self.unload_idle()

    async def run(self):
        """Runs decoding steps until cancelled."""
        while True:
            began = self._now()
            self.step(began)
            load = len(self.running) / self.settings.capacity
            period = self.settings.token_seconds * (1 + self.settings.batch_slowdown * load)
            await asyncio.sleep(max(0.001, period - (self._now() - began)))

    async def stream(self, attempt: Attempt, offset: int):
        """Yields the server-sent events of an attempt, starting at a token offset."""
        opened = self._now()
        attempt.reader_count += 1
        started = False
        try:
            while True:
                if opened < self.silenced_before:
                    await asyncio.sleep(HEARTBEAT_SECONDS)
                    continue
                progress_event = attempt.progress_event
                if attempt.cancelled:
                    return
                if attempt.started and not started:
                    started = True
                    yield sse.encode(
                        "start",
                        orjson.dumps(
                            {
                                "prefix_length": attempt.prefix_length,
                                "prefix_digest": attempt.prefix_digest,
                            }
                        ),
                    )
                if started and offset < len(attempt.tokens):
                    tokens = attempt.tokens[offset:]
                    yield sse.encode("tokens", orjson.dumps({"o": offset, "t": tokens}))
                    offset += len(tokens)
                if started and attempt.ended and offset >= len(attempt.tokens):
                    yield sse.encode("end", orjson.dumps({"final_offset": len(attempt.tokens)}))
                    return
                try:
                    async with asyncio.timeout(HEARTBEAT_SECONDS):
                        await progress_event.wait()
                except TimeoutError:
                    yield sse.HEARTBEAT
        finally:
            attempt.reader_count -= 1
            attempt.last_reader_left_at = self._now()

    def accept_order(self, order: Order) -> bool:
        """Accepts an order; returns False if the engine honours fencing and has a higher token."""
        if self.settings.honours_fencing and order.fence < self.fence:
            return False
        self.fence = order.fence
        self.role = order.role
        self._wanted_triples = order.load
        for triple in [triple for triple in self.models if triple not in order.load]:
            self.models.remove(triple)
            self.unloading.append(triple)
        # A model that still waits for its unload and is ordered again needs no load.
        for triple in [triple for triple in self.unloading if triple in order.load]:
            self.unloading.remove(triple)
            self.models.append(triple)
        self.loading = [triple for triple in order.load if triple not in self.models]
        self.unload_idle()
        self._order_accepted.set()
        return True

    def running_models(self) -> list:
        """Returns the models of all running and queued attempts."""
        attempts = [attempt for attempt in self.running + self.queue if not attempt.cancelled]
        return sorted({attempt.model for attempt in attempts})

    def unload_idle(self):
        """Removes the models to be unloaded that have no running or queued attempts."""
        if self.unloading:
            running = self.running_models()
            self.unloading = [triple for triple in self.unloading if triple in running]

    async def follow_orders(self):
        """Loads the models of the last order one after the other, until cancelled."""
        while True:
            if not self.loading:
                self._order_accepted.clear()
                await self._order_accepted.wait()
                continue
            triple = self.loading[0]
            self.loads += 1
            loaded = await self._load(triple)
            # A later order may have withdrawn the triple.
            if loaded and triple in self.loading:
                self.loading.remove(triple)
                self.models.append(triple)

    async def _load(self, triple) -> bool:
        while triple in self.loading:
            result = await self._fetch(triple) if self._fetch else None
            if result is None or result.is_ok():
                await asyncio.sleep(self.settings.load_seconds)
                return True
            log.warning("engine: weights of %s did not arrive: %s", triple, result.error.message)
            await asyncio.sleep(FETCH_BACKOFF_SECONDS)
        return False

    def load_report(self) -> dict:
        """Returns the load fields of announcements."""
        return {
            "running": len(self.running),
            "queued": len(self.queue),
            "capacity": self.settings.capacity,
        }


async def trace_stream(stream, span):
    """Yields the chunks of a stream and ends a telemetry span when the stream ends."""
    try:
        async for chunk in stream:
            yield chunk
    finally:
        await stream.aclose()
        span.end()


def build_app(engine: Engine, instruments=None) -> applications.Starlette:
    """Returns the engine's HTTP application.

    Args:
        engine: The engine.
        instruments: `telemetry.Telemetry` for spans, or None.
    """

    async def generate(request):
        body = orjson.loads(await request.body())
        wanted = (body["model"], body["adapter"], body["version"])
        if wanted not in engine.models:
            return responses.JSONResponse({"error": "the model is not loaded"}, 409)
        attempt = engine.submit(body)
        stream = engine.stream(attempt, attempt.prefix_length)
        if instruments is not None:
            traceparent = request.headers.get("traceparent", "")
            span = instruments.span(
                "engine.attempt", traceparent, prefix_length=attempt.prefix_length
            )
            stream = trace_stream(stream, span)
        return responses.StreamingResponse(stream, media_type="text/event-stream")

    async def reattach(request):
        attempt = engine.attempts_by_id.get(request.path_params["attempt_id"])
        offset = int(request.query_params.get("offset", "0"))
        if attempt is None or offset < attempt.prefix_length or offset > len(attempt.tokens):
            return responses.JSONResponse({"error": "unknown attempt or offset"}, 404)
        return responses.StreamingResponse(
            engine.stream(attempt, offset), media_type="text/event-stream"
        )

    async def cancel(request):
        was_held = engine.cancel(request.path_params["attempt_id"])
        return responses.JSONResponse({"cancelled": True, "was_held": was_held})

    async def orders(request):
        order = parse_order(await request.body())
        if order is None:
            return responses.JSONResponse({"error": "the order is invalid"}, 400)
        if not engine.accept_order(order):
            log.info("engine: refused an order: fence %s is below %s", order.fence, engine.fence)
            body = {"error": "the fence is old", "fence": list(engine.fence)}
            return responses.JSONResponse(body, 409)
        log.info("engine: accepted an order with fence %s: %s", order.fence, order.load)
        return responses.JSONResponse({"accepted": True, "fence": list(engine.fence)})

    async def status(_request):
        return responses.JSONResponse(
            {
                "load": engine.load_report(),
                "models": [list(model) for model in engine.models],
                "loading": [list(model) for model in engine.loading],
                "unloading": [list(model) for model in engine.unloading],
                "running": [list(model) for model in engine.running_models()],
                "role": engine.role,
                "loads": engine.loads,
                "honours_fencing": engine.settings.honours_fencing,
                "tokens_generated": engine.tokens_generated,
                "prefill_tokens": engine.prefill_tokens,
                "fence": list(engine.fence),
            }
        )

    async def attempts(_request):
        running = [each.attempt_id for each in engine.running if not each.cancelled]
        return responses.JSONResponse({"attempts": running})

    async def faults(request):
        body = orjson.loads(await request.body())
        if body.get("silence_streams"):
            engine.silenced_before = clock.now()
        if "token_seconds" in body:
            engine.settings.token_seconds = float(body["token_seconds"])
        return responses.JSONResponse({})

    return applications.Starlette(
        routes=[
            routing.Route("/v1/generations", generate, methods=["POST"]),
            routing.Route("/v1/generations/{attempt_id}", reattach, methods=["GET"]),
            routing.Route("/v1/generations/{attempt_id}", cancel, methods=["DELETE"]),
            routing.Route("/v1/orders", orders, methods=["POST"]),
            routing.Route("/v1/status", status, methods=["GET"]),
            routing.Route("/standin/attempts", attempts, methods=["GET"]),
            routing.Route("/standin/faults", faults, methods=["POST"]),
        ]
    )
