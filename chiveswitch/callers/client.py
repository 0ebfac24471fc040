"""Client library for callers: finds gateways, streams generations and reconnects until complete."""

import asyncio
import logging
import random
import uuid

import aiosonic
import orjson

from chiveswitch.core import clock, sse
from chiveswitch.targets import pooled_client

log = logging.getLogger("chiveswitch.caller")

# Gateways send a heartbeat every 0.25 s on an idle stream. The limit tolerates three missed
# heartbeats in a row, for example in a pause of the garbage collector or the network.
SILENCE_LIMIT_SECONDS = 0.8
CONNECT_TIMEOUT_SECONDS = 0.3
RECONNECT_PAUSE_SECONDS = 0.05
RETRY_PAUSE_SECONDS = 0.25


class CallerSettings:
    """Settings of a caller.

    Attributes:
        seeds: Addresses of the gateways to contact first, as `ip:port`.
        api_key: API key of the client account.
        no_progress_timeout_seconds: Time without a new token after which a generation is abandoned.
    """

    __slots__ = ("seeds", "api_key", "no_progress_timeout_seconds")

    def __init__(self, seeds, api_key: str, no_progress_timeout_seconds: float = 20.0):
        self.seeds = list(seeds)
        self.api_key = api_key
        self.no_progress_timeout_seconds = no_progress_timeout_seconds


class Answer:
    """What a caller received for one request of a generation.

    Attributes:
        request_id: The request's id.
        generation: Name of the generation that the tokens belong to; empty before the first.
        tokens: Tokens, in order.
        complete: Whether the end event arrived with a final offset equal to the token count.
        failure: The last JSON error object of a gateway, or None.
        restarts: How many times a new generation replaced delivered tokens.
        reconnects: How many times the client connected again.
        errors: Violations of the stream's protocol, as sentences.
        token_times: (time in seconds, tokens received so far) for each batch that arrived.
        seed: Sampling seed of the generation, which tests use to check tokens; None if unknown.
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
    """Sends the requests of one client account to the gateways.

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
        self._http = pooled_client.new_client(size=2000, max_conn_idle_ms=1000)

    async def close(self):
        """Closes all connections."""
        await self._http.aclose()

    async def address(self) -> str:
        """Returns a gateway's address.

        Fetches a new list first if the cached one expired or all of its addresses failed lately.
        """
        if clock.now() >= self._valid_until or not self._usable_addresses():
            await self._refresh_addresses()
        choices = self._usable_addresses() or self._addresses or self.settings.seeds
        return choices[self._rng.randrange(min(2, len(choices)))]

    def _usable_addresses(self):
        """Returns the cached addresses that did not fail within the last five seconds."""
        now = clock.now()
        return [
            address
            for address in self._addresses
            if now - self._failed_at_by_address.get(address, -100.0) > 5.0
        ]

    def mark_failed(self, address: str):
        """Makes the client avoid an address for five seconds."""
        self._failed_at_by_address[address] = clock.now()

    async def _refresh_addresses(self):
        """Fetches the list of addresses from the first gateway that responds."""
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
                    body = orjson.loads(await response.content())
                self._addresses = body["addresses"]
                self._valid_until = clock.now() + body["valid_seconds"]
                return
            # Whatever the failure, the next gateway is tried.
            except Exception:
                self.mark_failed(seed)

    def _headers(self, **more):
        return {"authorization": f"Bearer {self.settings.api_key}", **more}

    async def generate(
        self, service, prompt, max_tokens, request_id="", stream=True, on_tokens=None
    ):
        """Runs a generation to its end and reconnects as often as needed.

        Args:
            service: Service name.
            prompt: Prompt text.
            max_tokens: Number of tokens wanted.
            request_id: Request id, or empty to use a random one.
            stream: Whether tokens are streamed; otherwise they arrive in one JSON object.
            on_tokens: Function called with the `Answer` after each batch.

        Returns:
            The `Answer`. Its `complete` is False if the generation failed, or if no token arrived
            within `no_progress_timeout_seconds`.
        """
        answer = Answer(request_id or uuid.UUID(int=self._rng.getrandbits(128)).hex)
        body = orjson.dumps(
            {"service": service, "prompt": prompt, "max_tokens": max_tokens, "stream": stream}
        )
        is_posted = False
        progress_at = clock.now()
        while not answer.complete:
            if clock.now() - progress_at > self.settings.no_progress_timeout_seconds:
                return answer
            token_count = len(answer.tokens)
            address = await self.address()
            outcome = await self._open(
                address, answer, body, is_posted, bool(request_id), on_tokens, stream
            )
            if len(answer.tokens) != token_count:
                progress_at = clock.now()
            if outcome == "attached":
                is_posted = True
                answer.reconnects += not answer.complete
                self.mark_failed(address)
                continue
            if outcome == "unreachable":
                self.mark_failed(address)
                # The request may have reached the gateway although its response was lost.
                answer.reconnects += 1
                await asyncio.sleep(RECONNECT_PAUSE_SECONDS)
                continue
            retry = (answer.failure or {}).get("retry", "no")
            if retry == "no" and (answer.failure or {}).get("name") != "REQUEST_UNKNOWN":
                return answer
            if (answer.failure or {}).get("name") == "REQUEST_UNKNOWN":
                if answer.tokens:
                    return answer
                is_posted = False
            if retry == "other_address":
                self.mark_failed(address)
            await asyncio.sleep(RETRY_PAUSE_SECONDS)
        return answer

    async def _open(self, address, answer, body, is_posted, is_id_chosen, on_tokens, stream):
        """Sends the request to a gateway and reads the response into the answer.

        Returns:
            "attached" if the gateway accepted the request, even if its response broke off;
            "refused" if it responded with an error, which is then in `answer.failure`;
            "unreachable" if no response arrived.
        """
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS + SILENCE_LIMIT_SECONDS + 2.0):
                response = await self._request(address, answer, body, is_posted, is_id_chosen)
        except Exception as error:
            log.debug("caller: cannot reach gateway %s: %r", address, error)
            return "unreachable"
        try:
            if response.status_code != 200:
                answer.failure = orjson.loads(await response.content())
                return "refused"
            if not stream:
                return await self._read_json_body(response, answer)
            await self._read_stream(response, answer, on_tokens)
            return "attached"
        except Exception as error:
            log.debug("caller: the response stream of gateway %s broke: %r", address, error)
            return "attached"
        finally:
            await response.aclose()

    async def _request(self, address, answer, body, is_posted, is_id_chosen):
        timeouts = aiosonic.timeout.Timeouts(
            sock_connect=CONNECT_TIMEOUT_SECONDS, sock_read=None, request_timeout=None
        )
        if is_posted:
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
        if not answer.reconnects and answer.failure is None and not is_id_chosen:
            headers["x-first-send"] = "true"
        return await self._http.request(
            f"http://{address}/v1/generations",
            method="POST",
            data=body,
            headers=headers,
            timeouts=timeouts,
            stream=True,
        )

    async def _read_json_body(self, response, answer):
        chunks = response.read_chunks()
        data = b""
        while True:
            try:
                async with asyncio.timeout(SILENCE_LIMIT_SECONDS):
                    data += await anext(chunks)
            except StopAsyncIteration:
                break
        # Heartbeats of a response that is not streamed are spaces before the JSON object.
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

    async def _read_stream(self, response, answer, on_tokens):
        decoder = sse.Decoder()
        chunks = response.read_chunks()
        while True:
            try:
                async with asyncio.timeout(SILENCE_LIMIT_SECONDS):
                    chunk = await anext(chunks)
            except (StopAsyncIteration, TimeoutError):
                return
            for event in decoder.feed(chunk):
                apply_event(answer, event)
                if event.name == "tokens" and on_tokens is not None:
                    on_tokens(answer)
                if event.name in ("end", "error"):
                    return

    async def call(self, service, payload, key="", timeout=8.0):
        """Makes a plain service call; with a key it is sent to up to four addresses.

        Args:
            service: Service name.
            payload: JSON value for the service.
            key: Idempotency key, or empty. A call without a key is never resent.
            timeout: Seconds until one send is abandoned.

        Returns:
            (HTTP status, JSON object); (0, {}) if no gateway responded.
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
                log.debug("caller: no response from gateway %s: %r", address, error)
                self.mark_failed(address)
                if not key:
                    return 0, {}
        return 0, {}


def apply_event(answer: Answer, event: sse.Event):
    """Applies one event to an answer; appends violations of the stream's protocol to `errors`."""
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
                f"tokens of generation {generation} arrived within generation {answer.generation}"
            )
            return
        if value["o"] != len(answer.tokens):
            answer.errors.append(
                f"tokens at offset {value['o']} arrived after {len(answer.tokens)} tokens"
            )
            return
        answer.tokens.extend(value["t"])
        if int(offset) != len(answer.tokens):
            answer.errors.append(
                f"event id {event.event_id} does not match the number of tokens received"
            )
        answer.token_times.append((clock.now(), len(answer.tokens)))
        return
    if event.name == "end":
        value = orjson.loads(event.data)
        if value["final_offset"] != len(answer.tokens):
            answer.errors.append(
                f"final offset {value['final_offset']} does not match the"
                " number of tokens received"
            )
            return
        answer.complete = True
        return
    if event.name == "error":
        answer.failure = orjson.loads(event.data)
