"""Load of a measured round: seeded generations from a few client accounts, and the faults."""

import asyncio
import random

from chiveswitch.callers import client
from chiveswitch.core import clock
from chiveswitch.tools import sample

# Share of requests by service, with the range of tokens of each.
SERVICES = (("digest", 0.4, 300, 600), ("report", 0.4, 150, 400), ("draft", 0.2, 40, 120))
# Two accounts are large.
ACCOUNTS = (("planning", 0.5), ("desk", 0.3), ("field", 0.12), ("office", 0.08))
PROMPT_TEXT = "the stock of the northern depots, by article and week, with the open orders. " * 5
GIVE_UP_SECONDS = 20.0
REFUSED_PAUSE_SECONDS = 0.5


class Work:
    """One generation of the load.

    Attributes:
        service: Service name.
        account: Client account.
        prompt: Its prompt, unique in the run.
        max_tokens: Tokens wanted.
        begun_at: Time of the request, in seconds.
        ended_at: Time of the end, or None.
        answer: The `client.Answer`, once any token has come.
    """

    __slots__ = ("service", "account", "prompt", "max_tokens", "begun_at", "ended_at", "answer")

    def __init__(self, service: str, account: str, prompt: str, max_tokens: int):
        self.service = service
        self.account = account
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.begun_at = clock.now()
        self.ended_at = None
        self.answer = None

    def running(self) -> bool:
        """Returns whether tokens have come and more are due."""
        return self.answer is not None and self.ended_at is None


class Caller(client.Client):
    """A client that runs one generation at a time and can lose its connection to silence.

    Attributes:
        address_in_use: Address of the open stream, or an empty string.
        bytes_in: Bytes of streams received.
        work: The current `Work`.
    """

    def __init__(self, settings, rng):
        super().__init__(settings, rng)
        self.address_in_use = ""
        self.bytes_in = 0
        self.work = None
        self._silenced_at = -1.0

    def silence(self):
        """Lets the open stream deliver nothing more, while a new one works."""
        self._silenced_at = clock.now()

    async def _open(self, address, *arguments):
        self.address_in_use = address
        return await super()._open(address, *arguments)

    async def _read_stream(self, response, answer, on_tokens):
        await super()._read_stream(_Stream(self, response, clock.now()), answer, on_tokens)

    def is_silenced(self, opened_at: float) -> bool:
        """Returns whether a stream opened at a time is silent."""
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


class Load:
    """Keeps a number of generations open until a time, then lets them finish.

    Attributes:
        works: All `Work`, in the order of their start.
        callers: One `Caller` for each open generation.
        refusals_by_code: Answers that ended with a failure, by its code's name.
    """

    def __init__(self, seed: int, name: str, addresses: list, count: int):
        self._rng = random.Random(f"load {seed}")
        self._name = name
        self.works = []
        self.refusals_by_code = {}
        self.callers = []
        accounts = self._rng.choices(*zip(*ACCOUNTS, strict=True), k=count)
        for account in accounts:
            settings = client.CallerSettings(
                addresses, sample.KEY_BY_ACCOUNT[account], GIVE_UP_SECONDS
            )
            caller = Caller(settings, random.Random(self._rng.random()))
            caller.account = account
            self.callers.append(caller)

    def _next(self, account: str) -> Work:
        shares = [each[1] for each in SERVICES]
        service, _, low, high = self._rng.choices(SERVICES, shares)[0]
        prompt = f"{service} {self._name} {len(self.works)}: {PROMPT_TEXT}"
        work = Work(service, account, prompt, self._rng.randint(low, high))
        self.works.append(work)
        return work

    async def run(self, until: float):
        """Runs the load.

        Args:
            until: Time after which no generation starts, in seconds.
        """
        # The starts are spread, so that the streams don't end together.
        await asyncio.gather(
            *(self._slot(caller, index, until) for index, caller in enumerate(self.callers))
        )

    async def _slot(self, caller, index, until):
        await asyncio.sleep(0.02 * index)
        while clock.now() < until:
            work = caller.work = self._next(caller.account)

            def on_tokens(answer, work=work):
                work.answer = answer

            answer = await caller.generate(
                work.service, work.prompt, work.max_tokens, on_tokens=on_tokens
            )
            work.answer = answer
            work.ended_at = clock.now()
            caller.address_in_use = ""
            if answer.complete:
                continue
            name = (answer.failure or {}).get("name", "NO_PROGRESS")
            self.refusals_by_code[name] = self.refusals_by_code.get(name, 0) + 1
            await asyncio.sleep(REFUSED_PAUSE_SECONDS)

    def on_engine(self, attempt_ids: list) -> list:
        """Returns the running `Work` whose attempts an engine lists."""
        answers = {attempt_id.rpartition("-")[0] for attempt_id in attempt_ids}
        return [
            caller.work
            for caller in self.callers
            if caller.work is not None
            and caller.work.running()
            and caller.work.answer.generation.partition(".")[2] in answers
        ]

    def on_gateway(self, address: str) -> list:
        """Returns the callers whose stream comes from a gateway."""
        return [
            caller
            for caller in self.callers
            if caller.work is not None
            and caller.work.running()
            and caller.address_in_use == address
        ]


class Fault:
    """One applied fault.

    Attributes:
        kind: For example `kill-engine`.
        part: Name of the part.
        at: Time, in seconds.
        works: The `Work` running on the part.
        others: All other running `Work`.
    """

    __slots__ = ("kind", "part", "at", "works", "others")

    def __init__(self, kind: str, part: str, at: float, works: list, others: list):
        self.kind = kind
        self.part = part
        self.at = at
        self.works = works
        self.others = others


async def apply_faults(system, load: Load, kinds: list, settings, until: float) -> list:
    """Applies faults in turn until a time.

    Args:
        system: The `measure_system.System`.
        load: The `Load`.
        kinds: Kinds of faults, in turn.
        settings: The command's settings.
        until: Time of the last fault, in seconds.
    Returns:
        List of `Fault`.
    """
    rng = random.Random(f"faults {settings.seed}")
    faults = []
    restoring = []
    number = 0
    while kinds:
        await asyncio.sleep(settings.interval)
        if clock.now() >= until:
            break
        kind, _, role = kinds[number % len(kinds)].partition("-")
        number += 1
        parts = [part for part in system.parts(role) if part.up and system.runs(part)]
        rng.shuffle(parts)
        fault = await _apply(system, load, kind, role, parts)
        if fault is None:
            continue
        faults.append(fault)
        part = system.part_by_name[fault.part]
        restoring.append(asyncio.ensure_future(_restore(system, part, kind, settings.hold)))
    await asyncio.gather(*restoring)
    return faults


async def _apply(system, load, kind, role, parts):
    for part in parts:
        callers = []
        if role == "engine":
            works = load.on_engine((await system.get(part, "/standin/attempts"))["attempts"])
        else:
            callers = load.on_gateway(part.address)
            works = [caller.work for caller in callers]
        # A fault of a part that serves nothing says nothing about resumption.
        if not works:
            continue
        if kind == "kill":
            await system.take_use(part)
        others = [
            caller.work
            for caller in load.callers
            if caller.work is not None and caller.work.running() and caller.work not in works
        ]
        at = clock.now()
        if role == "gateway" and kind == "silence":
            for caller in callers:
                caller.silence()
        else:
            await system.fail(part, kind)
        return Fault(f"{kind}-{role}", part.name, at, works, others)
    return None


async def _restore(system, part, kind, hold):
    await asyncio.sleep(hold)
    await system.restore(part, kind)
