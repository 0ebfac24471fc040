"""Load and faults of a measured round.

The load consists of seeded generations of a few client accounts.
"""

import asyncio
import random

from chiveswitch.callers import client
from chiveswitch.core import clock
from chiveswitch.tools import sample

# (service, share of requests, smallest and largest number of tokens).
SERVICE_SHARES = (("digest", 0.4, 300, 600), ("report", 0.4, 150, 400), ("draft", 0.2, 40, 120))
# (client account, share of callers). Two accounts have most of the load.
ACCOUNT_SHARES = (("planning", 0.5), ("desk", 0.3), ("field", 0.12), ("office", 0.08))
PROMPT_TEXT = "the stock of the northern depots, by article and week, with the open orders. " * 5
CALLER_TIMEOUT_SECONDS = 20.0
PAUSE_AFTER_REFUSAL_SECONDS = 0.5


class GenerationRequest:
    """One request for a generation.

    Attributes:
        service: Service name.
        account: Client account.
        prompt: Prompt, unique in the run.
        max_tokens: Number of tokens to generate.
        started_at: Time of the request, in seconds.
        ended_at: Time of the end, in seconds, or None.
        answer: The `client.Answer`, or None before the first token.
    """

    __slots__ = ("service", "account", "prompt", "max_tokens", "started_at", "ended_at", "answer")

    def __init__(self, service: str, account: str, prompt: str, max_tokens: int):
        self.service = service
        self.account = account
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.started_at = clock.now()
        self.ended_at = None
        self.answer = None

    def is_running(self) -> bool:
        """Returns whether tokens have been received and the request has not ended."""
        return self.answer is not None and self.ended_at is None


class Caller(client.Client):
    """A client that runs one generation at a time and whose stream can be silenced.

    Attributes:
        address_in_use: Address of the open stream, or an empty string.
        bytes_in: Bytes of streams received.
        request: The current `GenerationRequest`.
    """

    def __init__(self, settings, rng):
        super().__init__(settings, rng)
        self.address_in_use = ""
        self.bytes_in = 0
        self.request = None
        self._silenced_at = -1.0

    def silence(self):
        """Stops delivery on the open stream, while a new stream works."""
        self._silenced_at = clock.now()

    async def _open(self, address, *arguments):
        self.address_in_use = address
        return await super()._open(address, *arguments)

    async def _read_stream(self, response, answer, on_tokens):
        await super()._read_stream(_Stream(self, response, clock.now()), answer, on_tokens)

    def is_silenced(self, opened_at: float) -> bool:
        """Returns whether a stream that was opened at a time has been silenced."""
        return opened_at < self._silenced_at


class _Stream:
    __slots__ = ("_caller", "_response", "_opened_at")

    def __init__(self, caller, response, opened_at):
        self._caller = caller
        self._response = response
        self._opened_at = opened_at

    async def read_chunks(self):
        async for chunk in self._response.read_chunks():
            if self._caller.is_silenced(self._opened_at):
                await asyncio.Event().wait()
            self._caller.bytes_in += len(chunk)
            yield chunk


class LoadGenerator:
    """Keeps a number of generations running until a time, then lets them finish.

    Args:
        seed: Seed of all random choices.
        name: Name that makes the prompts unique.
        addresses: Addresses of the gateways.
        count: Number of generations that run at a time.

    Attributes:
        requests: All `GenerationRequest`, in the order of their start.
        callers: One `Caller` for each generation that runs at a time.
        refusals_by_code: Number of requests that failed, by the name of the result code.
    """

    def __init__(self, seed: int, name: str, addresses: list, count: int):
        self._rng = random.Random(f"load {seed}")
        self._name = name
        self.requests = []
        self.refusals_by_code = {}
        self.callers = []
        accounts = self._rng.choices(*zip(*ACCOUNT_SHARES, strict=True), k=count)
        for account in accounts:
            settings = client.CallerSettings(
                addresses, sample.KEY_BY_ACCOUNT[account], CALLER_TIMEOUT_SECONDS
            )
            caller = Caller(settings, random.Random(self._rng.random()))
            caller.account = account
            self.callers.append(caller)

    def _create_generation(self, account: str) -> GenerationRequest:
        shares = [each[1] for each in SERVICE_SHARES]
        service, _, low, high = self._rng.choices(SERVICE_SHARES, shares)[0]
        prompt = f"{service} {self._name} {len(self.requests)}: {PROMPT_TEXT}"
        request = GenerationRequest(service, account, prompt, self._rng.randint(low, high))
        self.requests.append(request)
        return request

    async def run(self, until: float):
        """Runs the load.

        Args:
            until: Time after which no generation starts, in seconds.
        """
        # The starts are spread out, so that the streams do not end at the same time.
        await asyncio.gather(
            *(self._run_caller(caller, index, until) for index, caller in enumerate(self.callers))
        )

    async def _run_caller(self, caller, index, until):
        await asyncio.sleep(0.02 * index)
        while clock.now() < until:
            request = caller.request = self._create_generation(caller.account)

            def on_tokens(answer, request=request):
                request.answer = answer

            answer = await caller.generate(
                request.service, request.prompt, request.max_tokens, on_tokens=on_tokens
            )
            request.answer = answer
            request.ended_at = clock.now()
            caller.address_in_use = ""
            if answer.complete:
                continue
            name = (answer.failure or {}).get("name", "NO_PROGRESS")
            self.refusals_by_code[name] = self.refusals_by_code.get(name, 0) + 1
            await asyncio.sleep(PAUSE_AFTER_REFUSAL_SECONDS)

    def find_requests_on_engine(self, attempt_ids: list) -> list:
        """Returns the running requests whose attempts an engine lists."""
        answers = {attempt_id.rpartition("-")[0] for attempt_id in attempt_ids}
        return [
            caller.request
            for caller in self.callers
            if caller.request is not None
            and caller.request.is_running()
            and caller.request.answer.generation.partition(".")[2] in answers
        ]

    def find_callers_on_gateway(self, address: str) -> list:
        """Returns the callers with a running request that read from a gateway."""
        return [
            caller
            for caller in self.callers
            if caller.request is not None
            and caller.request.is_running()
            and caller.address_in_use == address
        ]


class Fault:
    """An injected fault.

    Attributes:
        kind: For example `kill-engine`.
        instance: Name of the instance.
        at: Time, in seconds.
        requests: Requests that ran on the instance.
        unaffected: All other running requests.
    """

    __slots__ = ("kind", "instance", "at", "requests", "unaffected")

    def __init__(self, kind: str, instance: str, at: float, requests: list, unaffected: list):
        self.kind = kind
        self.instance = instance
        self.at = at
        self.requests = requests
        self.unaffected = unaffected


async def inject_faults(system, load: LoadGenerator, kinds: list, settings, until: float) -> list:
    """Injects faults at regular intervals until a time.

    Args:
        system: The `measure_system.System`.
        load: The `LoadGenerator`.
        kinds: Kinds of faults, used in rotation.
        settings: The command's settings.
        until: Time after which no fault is injected, in seconds.
    Returns:
        List of `Fault`.
    """
    rng = random.Random(f"faults {settings.seed}")
    faults = []
    restore_tasks = []
    number = 0
    while kinds:
        await asyncio.sleep(settings.interval)
        if clock.now() >= until:
            break
        kind, _, role = kinds[number % len(kinds)].partition("-")
        number += 1
        candidates = [
            instance
            for instance in system.instances(role)
            if instance.is_up and system.is_running(instance)
        ]
        rng.shuffle(candidates)
        fault = await _inject_on_busy_instance(system, load, kind, role, candidates)
        if fault is None:
            continue
        faults.append(fault)
        instance = system.instance_by_name[fault.instance]
        restore_tasks.append(
            asyncio.ensure_future(_restore_after_hold(system, instance, kind, settings.hold))
        )
    await asyncio.gather(*restore_tasks)
    return faults


async def _inject_on_busy_instance(system, load, kind, role, candidates):
    """Injects a fault on the first candidate with running requests; returns it, or None."""
    for instance in candidates:
        callers = []
        if role == "engine":
            requests = load.find_requests_on_engine(
                (await system.get(instance, "/standin/attempts"))["attempts"]
            )
        else:
            callers = load.find_callers_on_gateway(instance.address)
            requests = [caller.request for caller in callers]
        # A fault of an instance without running requests would not exercise resumption.
        if not requests:
            continue
        if kind == "kill":
            await system.collect_usage(instance)
        unaffected = [
            caller.request
            for caller in load.callers
            if caller.request is not None
            and caller.request.is_running()
            and caller.request not in requests
        ]
        at = clock.now()
        if role == "gateway" and kind == "silence":
            for caller in callers:
                caller.silence()
        else:
            await system.inject_fault(instance, kind)
        return Fault(f"{kind}-{role}", instance.name, at, requests, unaffected)
    return None


async def _restore_after_hold(system, instance, kind, hold):
    await asyncio.sleep(hold)
    await system.restore(instance, kind)
