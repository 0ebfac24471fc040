"""Caller's library: finds gateways, streams a generation, and reconnects until it has the end."""

import asyncio
import logging
import random
import uuid

import aiosonic
import orjson
from aiosonic import connectors, pools

from chiveswitch.core import clock, sse

log = logging.getLogger("chiveswitch.caller")

# Gateways send a heartbeat each 0.25 s on an idle stream; three in a row may get lost in a pause
# of the garbage collector or the network before the connection is given up.
SILENCE_LIMIT_SECONDS = 0.8
CONNECT_TIMEOUT_SECONDS = 0.3
RECONNECT_PAUSE_SECONDS = 0.05
RETRY_PAUSE_SECONDS = 0.25


class CallerSettings:
    """Settings of a caller.

    Attributes:
        seeds: Addresses to ask first, as `ip:port`.
        token: API key of the client account.
        give_up_seconds: Longest time without any progress.
    """

    __slots__ = ("seeds", "token", "give_up_seconds")

    def __init__(self, seeds, token: str, give_up_seconds: float = 20.0):
        self.seeds = list(seeds)
        self.token = token
        self.give_up_seconds = give_up_seconds


class Answer:
    """What a caller got for one generation.

    Attributes:
        request_id: The request's id.
        generation: Name of the generation that the tokens belong to.
        tokens: Tokens, in order.
        complete: Whether the end marker came with the right final offset.
        failure: The last error object of a gateway, or None.
        restarts: How often a new generation replaced delivered tokens.
        reconnects: How often the stream was opened again.
        errors: Violations seen by the client, as sentences.
        token_times: (time in seconds, tokens held) for each batch that arrived.
        seed: Sampling seed reported for the generation, for checks; None if unknown.
    """

    __slots__ = (
        "request_id",
        "generation",
        "tokens",
        "complete",
        "failure",
        "restarts",
        "reconnects",
        "errors",
        "token_times",
        "seed",
    )

    def __init__(self, request_id: str):
        self.request_id = request_id
        self.generation = ""
        self.tokens = []
        self.complete = False
        self.failure = None
        self.restarts = 0
        self.reconnects = 0
        self.errors = []
        self.token_times = []
        self.seed = None


class Client:
    """Requests of one client account.

    Attributes:
        settings: The `CallerSettings`.
    """

    def __init__(self, settings: CallerSettings, rng=None):
        self.settings = settings
        self._rng = rng or random.Random()
        self._addresses = []
        self._valid_until = 0.0
        self._next_address = 0
        self._failed_at_by_address = {}
        self._http = aiosonic.HTTPClient(
            connectors.TCPConnector(
                pool_configs={":default": pools.PoolConfig(size=2000, max_conn_idle_ms=1000)}
            )
        )

    async def address(self) -> str:
        """Returns an address to use; asks for new ones when the cached answer has expired."""
        if clock.now() >= self._valid_until or not self._usable():
            await self._refresh()
        choices = self._usable() or self._addresses or self.settings.seeds
        return choices[self._rng.randrange(min(2, len(choices)))]

    def _usable(self):
        now = clock.now()
        return [
            address
            for address in self._addresses
            if now - self._failed_at_by_address.get(address, -100.0) > 5.0
        ]

    def mark_failed(self, address: str):
        """Avoids an address for some seconds."""
        self._failed_at_by_address[address] = clock.now()

    async def _refresh(self):
        now = clock.now()
        seeds = self._addresses + self.settings.seeds
        seeds = sorted(set(seeds), key=lambda seed: (self._failed_at_by_address.get(seed, 0.0)))
        self._rng.shuffle(seeds)
        seeds.sort(key=lambda seed: now - self._failed_at_by_address.get(seed, -100.0) < 5.0)
        for seed in seeds:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS * 2):
                    response = await self._http.get(
                        f"http://{seed}/v1/addresses", headers=self._headers()
                    )
                    answer = orjson.loads(await response.content())
                self._addresses = answer["addresses"]
                self._valid_until = clock.now() + answer["valid_seconds"]
                return
            # Any failure means the same here: ask the next gateway.
            except Exception:
                self.mark_failed(seed)

    def _headers(self, **more):
        return {"authorization": f"Bearer {self.settings.token}", **more}

    async def generate(
        self, service, prompt, max_tokens, request_id="", stream=True, on_tokens=None
    ):
        """Runs a generation to its end, over as many connections as it takes.

        Args:
            service: Service name.
            prompt: Prompt text.
            max_tokens: Number of tokens wanted.
            request_id: Request id, or empty to draw one.
            stream: Whether tokens are streamed; else the answer comes as a whole.
            on_tokens: Function called with the `Answer` after each batch.
        Returns:
            The `Answer`; `complete` tells whether it is whole.
        """
        answer = Answer(request_id or uuid.UUID(int=self._rng.getrandbits(128)).hex)
        body = orjson.dumps(
            {"service": service, "prompt": prompt, "max_tokens": max_tokens, "stream": stream}
        )
        posted = False
        progress_at = clock.now()
        while not answer.complete:
            if clock.now() - progress_at > self.settings.give_up_seconds:
                return answer
            held = len(answer.tokens)
            address = await self.address()
            outcome = await self._open(
                address, answer, body, posted, bool(request_id), on_tokens, stream
            )
            if len(answer.tokens) != held:
                progress_at = clock.now()
            if outcome == "attached":
                posted = True
                answer.reconnects += not answer.complete
                self.mark_failed(address)
                continue
            if outcome == "unreachable":
                self.mark_failed(address)
                # The first request may have arrived although its response did not.
                answer.reconnects += 1
                await asyncio.sleep(RECONNECT_PAUSE_SECONDS)
                continue
            retry = (answer.failure or {}).get("retry", "no")
            if retry == "no" and (answer.failure or {}).get("name") != "REQUEST_UNKNOWN":
                return answer
            if (answer.failure or {}).get("name") == "REQUEST_UNKNOWN":
                if answer.tokens:
                    return answer
                posted = False
            if retry == "other_address":
                self.mark_failed(address)
            await asyncio.sleep(RETRY_PAUSE_SECONDS)
        return answer

    async def _open(self, address, answer, body, posted, chosen, on_tokens, stream):
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS + SILENCE_LIMIT_SECONDS + 2.0):
                response = await self._request(address, answer, body, posted, chosen)
        except Exception as error:
            log.debug("caller: %s cannot be reached: %r", address, error)
            return "unreachable"
        try:
            if response.status_code != 200:
                answer.failure = orjson.loads(await response.content())
                return "refused"
            if not stream:
                return await self._take_whole(response, answer)
            await self._take_stream(response, answer, on_tokens)
            return "attached"
        except Exception as error:
            log.debug("caller: the stream of %s broke: %r", address, error)
            return "attached"
        finally:
            await response.aclose()

    async def _request(self, address, answer, body, posted, chosen):
        timeouts = aiosonic.timeout.Timeouts(
            sock_connect=CONNECT_TIMEOUT_SECONDS, sock_read=None, request_timeout=None
        )
        if posted:
            headers = self._headers()
            if answer.generation:
                headers["last-event-id"] = f"{answer.generation}:{len(answer.tokens)}"
            return await self._http.request(
                f"http://{address}/v1/generations/{answer.request_id}",
                method="GET",
                headers=headers,
                timeouts=timeouts,
                stream=True,
            )
        headers = self._headers(**{"idempotency-key": answer.request_id})
        if not answer.reconnects and answer.failure is None and not chosen:
            headers["x-first-send"] = "true"
        return await self._http.request(
            f"http://{address}/v1/generations",
            method="POST",
            data=body,
            headers=headers,
            timeouts=timeouts,
            stream=True,
        )

    async def _take_whole(self, response, answer):
        chunks = response.read_chunks()
        data = b""
        while True:
            try:
                async with asyncio.timeout(SILENCE_LIMIT_SECONDS):
                    data += await anext(chunks)
            except StopAsyncIteration:
                break
        # Heartbeats of the non-streamed form are blanks before the JSON object.
        value = orjson.loads(data)
        if "tokens" not in value:
            answer.failure = value
            return "refused"
        answer.tokens = value["tokens"]
        answer.generation = value["generation"]
        answer.seed = value.get("seed")
        answer.complete = value["final_offset"] == len(answer.tokens)
        answer.token_times.append((clock.now(), len(answer.tokens)))
        return "attached"

    async def _take_stream(self, response, answer, on_tokens):
        decoder = sse.Decoder()
        chunks = response.read_chunks()
        while True:
            try:
                async with asyncio.timeout(SILENCE_LIMIT_SECONDS):
                    chunk = await anext(chunks)
            except (StopAsyncIteration, TimeoutError):
                return
            for event in decoder.feed(chunk):
                take_event(answer, event)
                if event.name == "tokens" and on_tokens is not None:
                    on_tokens(answer)
                if event.name in ("end", "error"):
                    return

    async def call(self, service, payload, key="", timeout=8.0):
        """Makes a plain service call.

        Returns:
            (HTTP status, JSON object); (0, {}) if no gateway answered.
        """
        headers = self._headers()
        if key:
            headers["idempotency-key"] = key
        for _ in range(4):
            address = await self.address()
            try:
                async with asyncio.timeout(timeout):
                    response = await self._http.post(
                        f"http://{address}/v1/calls",
                        data=orjson.dumps({"service": service, "body": payload}),
                        headers=headers,
                    )
                    return response.status_code, orjson.loads(await response.content())
            except Exception as error:
                log.debug("caller: no answer from %s: %r", address, error)
                self.mark_failed(address)
                if not key:
                    return 0, {}
        return 0, {}


def take_event(answer: Answer, event: sse.Event):
    """Applies one event to an answer and notes every violation of the stream's rules."""
    if event.name == "generation":
        value = orjson.loads(event.data)
        if value["generation"] == answer.generation:
            return
        answer.restarts += bool(answer.tokens)
        answer.generation = value["generation"]
        answer.seed = value.get("seed")
        answer.tokens = []
        return
    if event.name == "tokens":
        generation, _, offset = event.event_id.partition(":")
        value = orjson.loads(event.data)
        if generation != answer.generation:
            answer.errors.append(
                f"tokens of generation {generation} came in generation {answer.generation}"
            )
            return
        if value["o"] != len(answer.tokens):
            answer.errors.append(f"offset {value['o']} came after {len(answer.tokens)} tokens")
            return
        answer.tokens.extend(value["t"])
        if int(offset) != len(answer.tokens):
            answer.errors.append(f"event id {event.event_id} names another offset")
        answer.token_times.append((clock.now(), len(answer.tokens)))
        return
    if event.name == "end":
        value = orjson.loads(event.data)
        if value["final_offset"] != len(answer.tokens):
            answer.errors.append(f"the end at {value['final_offset']} is not at the last token")
            return
        answer.complete = True
        return
    if event.name == "error":
        answer.failure = orjson.loads(event.data)
