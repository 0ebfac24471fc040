"""A model of continuous batching in an engine: slots, memory, prefix cache and preemption."""

import asyncio
import collections

# Priority of a request without one. 0 is the most urgent.
DEFAULT_PRIORITY = 5


class BatchSettings:
    """Limits of one engine.

    Attributes:
        slots: Largest number of requests that run at once.
        memory_tokens: Size of the memory that running requests and cached parts share, in tokens.
        prefill_tokens_per_second: Speed of the prefill.
        step_seconds: Time between two events of a request that runs alone. With several running
            requests it is multiplied by their number.
        tokens_per_event: Tokens that each event adds to the memory of its request.
    """

    __slots__ = (
        "slots",
        "memory_tokens",
        "prefill_tokens_per_second",
        "step_seconds",
        "tokens_per_event",
    )

    def __init__(
        self,
        slots=4,
        memory_tokens=4000,
        prefill_tokens_per_second=100_000.0,
        step_seconds=0.005,
        tokens_per_event=8,
    ):
        self.slots = slots
        self.memory_tokens = memory_tokens
        self.prefill_tokens_per_second = prefill_tokens_per_second
        self.step_seconds = step_seconds
        self.tokens_per_event = tokens_per_event


class BatchRequest:
    """One request in a batch.

    Attributes:
        size_by_part: Tokens of each part of the prompt, by part id and in order.
        priority: From 0, the most urgent, to 9.
        number: Position in the order of arrival.
        generated_tokens: Tokens generated so far.
        running: Whether it occupies a slot.
    """

    __slots__ = ("size_by_part", "priority", "number", "generated_tokens", "running")

    def __init__(self, size_by_part, priority, number):
        self.size_by_part = size_by_part
        self.priority = priority
        self.number = number
        self.generated_tokens = 0
        self.running = False

    def needed_tokens(self) -> int:
        """Returns the memory that the request needs while it runs, in tokens."""
        return sum(self.size_by_part.values()) + self.generated_tokens

    def sort_key(self):
        """Returns the sort key of admission: the lowest is admitted first and preempted last."""
        return (self.priority, self.number)


class Batch:
    """The running and waiting requests of one engine.

    Attributes:
        settings: `BatchSettings`.
        prefill_tokens: Prompt tokens that were prefilled, including repeated ones.
        preemptions: Number of times that a running request lost its slot.
        max_running: Largest number of requests that ran at once.
    """

    def __init__(self, settings: BatchSettings):
        self.settings = settings
        self.prefill_tokens = 0
        self.preemptions = 0
        self.max_running = 0
        self._requests = []
        self._cached_by_part = collections.OrderedDict()
        self._changed = asyncio.Event()
        self._arrivals = 0

    def add_request(self, prompt: str, priority: int | None) -> BatchRequest | None:
        """Adds a request to the queue; returns None if it can never fit into the memory.

        Args:
            prompt: Parts of the prompt, as comma-separated `id:tokens`.
            priority: Priority of the request, or None.
        """
        size_by_part = {}
        for part in prompt.split(","):
            part_id, _, tokens = part.partition(":")
            size_by_part[part_id] = int(tokens)
        self._arrivals += 1
        request = BatchRequest(
            size_by_part, DEFAULT_PRIORITY if priority is None else priority, self._arrivals
        )
        if request.needed_tokens() > self.settings.memory_tokens:
            return None
        self._requests.append(request)
        return request

    def remove_request(self, request: BatchRequest):
        """Ends a request. Its prompt stays cached until other parts need the memory."""
        if request in self._requests:
            self._requests.remove(request)
            self._wake_waiting()

    def cached_tokens(self, request: BatchRequest) -> int:
        """Returns the length of the cached prefix of a prompt, in tokens."""
        tokens = 0
        for part_id, size in request.size_by_part.items():
            if part_id not in self._cached_by_part:
                break
            tokens += size
        return tokens

    async def step(self, request: BatchRequest):
        """Generates one event of a request, after waiting for a slot and for the prefill."""
        while not request.running:
            await self._admit(request)
        settings = self.settings
        running = sum(each.running for each in self._requests)
        self.max_running = max(self.max_running, running)
        await asyncio.sleep(settings.step_seconds * running)
        request.generated_tokens += settings.tokens_per_event
        self._preempt()

    async def _admit(self, request):
        waiting = [each for each in self._requests if not each.running]
        # No request overtakes the most urgent one, even if that one does not fit yet.
        is_next = min(waiting, key=BatchRequest.sort_key) is request
        running = [each for each in self._requests if each.running]
        fits = self._used_tokens() + request.needed_tokens() <= self.settings.memory_tokens
        if not (is_next and fits and len(running) < self.settings.slots):
            self._changed.clear()
            await self._changed.wait()
            return
        missing = request.needed_tokens() - self.cached_tokens(request)
        request.running = True
        self.prefill_tokens += missing
        for part_id, size in request.size_by_part.items():
            self._cached_by_part[part_id] = size
            self._cached_by_part.move_to_end(part_id)
        self._evict()
        await asyncio.sleep(missing / self.settings.prefill_tokens_per_second)
        self._wake_waiting()

    def _used_tokens(self):
        return sum(each.needed_tokens() for each in self._requests if each.running)

    def _evict(self):
        """Evicts least recently used parts that no running request needs, until memory suffices."""
        needed = {part for each in self._requests if each.running for part in each.size_by_part}
        idle = [part for part in self._cached_by_part if part not in needed]
        free_tokens = self.settings.memory_tokens - self._used_tokens()
        idle_tokens = sum(self._cached_by_part[part] for part in idle)
        for part in idle:
            if idle_tokens <= free_tokens:
                break
            idle_tokens -= self._cached_by_part.pop(part)

    def _preempt(self):
        """Preempts the newest of the least urgent requests while too much memory is in use.

        The parts of a preempted prompt leave the cache, so that they are prefilled again.
        """
        while self._used_tokens() > self.settings.memory_tokens:
            last = max((each for each in self._requests if each.running), key=BatchRequest.sort_key)
            last.running = False
            self.preemptions += 1
            for part_id in last.size_by_part:
                self._cached_by_part.pop(part_id, None)
        self._evict()

    def _wake_waiting(self):
        self._changed.set()
