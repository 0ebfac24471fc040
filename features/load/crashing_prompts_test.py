"""Load pattern: prompts with one part in common crash each engine that begins to answer them.

The model has no network: engines read one prompt after the other, gateways choose engines at random
and hear of each other's reports after a delay.
"""

import heapq
import itertools
import random

import pytest

from chiveswitch.core import prompt_quarantine

PREFILL_SECONDS = 1.0
# Time from the head of a response to the crash, or to the events that show that it has begun.
HEAD_SECONDS = 0.05
RESTART_SECONDS = 2.0
REPORT_DELAY_SECONDS = 0.3
MAX_ATTEMPTS = 5
# The specification permits three more requests with such a part, sent later than this after the
# fifth crash, and expects sound ones to be served from twice this time on.
CONTACT_SECONDS = 3.0
END_SECONDS = 50.0
FIRST_CRASHING_AT = 4.0


class Request:
    """A request in the model.

    Attributes:
        parts: Parts of its prompt.
        crashes: Whether it crashes engines.
        gateway: Number of its gateway.
        arrived_at: Time of its arrival in seconds.
        sent_at: Times at which it was sent.
        state: `open`, `begun`, `refused` or `failed`.
    """

    __slots__ = ("parts", "crashes", "gateway", "arrived_at", "sent_at", "state")

    def __init__(self, parts, crashes, gateway, arrived_at):
        self.parts = parts
        self.crashes = crashes
        self.gateway = gateway
        self.arrived_at = arrived_at
        self.sent_at = []
        self.state = "open"


class Model:
    """Gateways, engines and the events between them.

    Attributes:
        requests: All requests so far.
        crashed_at: Times of the crashes of engines by a prompt.
    """

    def __init__(self, gateway_count, engine_count, seed, uses_quarantine=True):
        self.requests = []
        self.crashed_at = []
        self._rng = random.Random(seed)
        self._uses_quarantine = uses_quarantine
        self._now = 0.0
        self._events = []
        self._numbers = itertools.count()
        self._quarantines = []
        for number in range(gateway_count):
            quarantine = prompt_quarantine.PromptQuarantine(random.Random(f"{seed}-{number}"))
            quarantine.gateway_count = gateway_count
            self._quarantines.append(quarantine)
        self._running_by_engine = {engine: {} for engine in range(engine_count)}
        self._down_until = [0.0] * engine_count
        self._free_at = [0.0] * engine_count

    def run(self):
        """Handles all events up to the end of the model's time."""
        while self._events and self._events[0][0] < END_SECONDS:
            self._now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)

    def schedule(self, at, function, *arguments):
        """Calls a function at a time."""
        heapq.heappush(self._events, (at, next(self._numbers), function, arguments))

    def add_request(self, at, parts, crashes):
        """Adds a request that arrives at a random gateway."""
        gateway = self._rng.randrange(len(self._quarantines))
        request = Request(parts, crashes, gateway, at)
        self.requests.append(request)
        self.schedule(at, self._send, request)

    def crash_engines(self, at, engines):
        """Crashes engines for a reason of their own."""
        for engine in engines:
            self.schedule(at, self._crash, engine)

    def _send(self, request):
        quarantine = self._quarantines[request.gateway]
        if self._uses_quarantine and quarantine.find_held(request.parts, self._now) is not None:
            request.state = "refused"
            return
        ready = [e for e, until in enumerate(self._down_until) if until <= self._now]
        if len(request.sent_at) >= MAX_ATTEMPTS or not ready:
            request.state = "failed"
            return
        engine = min(
            self._rng.sample(ready, min(3, len(ready))), key=lambda each: self._free_at[each]
        )
        request.sent_at.append(self._now)
        head_at = max(self._now, self._free_at[engine]) + PREFILL_SECONDS
        self._free_at[engine] = head_at
        self._running_by_engine[engine][request] = head_at
        attempt = len(request.sent_at)
        self.schedule(head_at + HEAD_SECONDS, self._begin, engine, request, attempt)

    def _begin(self, engine, request, attempt):
        is_running = request in self._running_by_engine[engine]
        if not is_running or len(request.sent_at) != attempt:
            return
        if request.crashes:
            self.crashed_at.append(self._now)
            self._crash(engine)
            return
        del self._running_by_engine[engine][request]
        request.state = "begun"
        quarantine = self._quarantines[request.gateway]
        for part in quarantine.record_beginning(request.parts, self._now):
            self._report(request.gateway, prompt_quarantine.Outcome.BEGAN, [part], engine)

    def _crash(self, engine):
        self._down_until[engine] = self._now + RESTART_SECONDS
        self._free_at[engine] = self._now + RESTART_SECONDS
        running, self._running_by_engine[engine] = self._running_by_engine[engine], {}
        for request, head_at in running.items():
            outcome = prompt_quarantine.Outcome.CRASHED_WAITING
            if head_at <= self._now:
                outcome = prompt_quarantine.Outcome.CRASHED_ANSWERING
            self._report(request.gateway, outcome, request.parts, engine)
            self._send(request)

    def _report(self, gateway, outcome, parts, engine, at=None):
        at = self._now if at is None else at
        report = prompt_quarantine.Report(outcome, parts, at, f"e{engine}-{self._now}")
        for number in range(len(self._quarantines)):
            if number == gateway:
                self._apply(number, report)
            else:
                self.schedule(self._now + REPORT_DELAY_SECONDS, self._apply, number, report)

    def _apply(self, gateway, report):
        for part, began_at in self._quarantines[gateway].apply_report(report, self._now):
            self._report(gateway, prompt_quarantine.Outcome.BEGAN, [part], 0, began_at)


def add_arrivals(model, rng, rate, share, make_parts):
    """Adds requests at a rate; from `FIRST_CRASHING_AT` on a share of them crashes engines."""
    at = 0.0
    while True:
        at += rng.expovariate(rate)
        if at >= END_SECONDS:
            return
        crashes = at >= FIRST_CRASHING_AT and rng.random() < share
        model.add_request(at, make_parts(rng, crashes), crashes)


def part_after_first(rng, crashes):
    """The bad part follows a first part that many requests share."""
    own = f"own-{rng.random()}"
    return ["first", "bad", own] if crashes else ["first", own]


def part_before_shared(rng, crashes):
    """The bad part stands before a part that all requests share."""
    own = f"own-{rng.random()}"
    first = f"first-{rng.randrange(7)}"
    return [first, "bad", "shared", own] if crashes else [first, "shared", own]


def part_among_few(rng, crashes):
    """The other shared parts are rare."""
    own, first = f"own-{rng.random()}", f"first-{rng.randrange(45)}"
    return [first, "bad", own] if crashes else [first, own]


def part_at_start(rng, crashes):
    """The bad part is the first one."""
    own, second = f"own-{rng.random()}", f"second-{rng.randrange(7)}"
    return ["bad", second, own] if crashes else ["good", second, own]


@pytest.mark.parametrize(
    "make_parts", [part_after_first, part_before_shared, part_among_few, part_at_start]
)
@pytest.mark.parametrize(
    ("gateway_count", "engine_count", "rate", "share"),
    [
        (10, 14, 0.5, 0.6),
        (10, 14, 3.5, 0.2),
        (10, 14, 3.5, 0.6),
        (80, 48, 14.0, 0.2),
        (200, 62, 18.0, 0.05),
    ],
)
def test_few_requests_with_a_part_that_crashes_engines_are_sent(
    make_parts, gateway_count, engine_count, rate, share
):
    # Guards against requests that crash one engine after the other, and against a quarantine of the
    # parts that they share with sound requests.
    for seed in range(5):
        rng = random.Random(seed)
        model = Model(gateway_count, engine_count, seed)
        add_arrivals(model, rng, rate, share, make_parts)
        model.run()
        context = (make_parts.__name__, rate, share, seed, len(model.crashed_at))
        if len(model.crashed_at) >= 5:
            limit_at = model.crashed_at[4] + CONTACT_SECONDS
            late = 0
            for request in model.requests:
                if request.crashes:
                    late += sum(at > limit_at for at in request.sent_at)
            assert late <= 3, context
        if not model.crashed_at:
            continue
        fifth_at = model.crashed_at[:5][-1]
        sound = []
        for request in model.requests:
            is_late = fifth_at + 2 * CONTACT_SECONDS < request.arrived_at < END_SECONDS - 5.0
            if is_late and not request.crashes:
                sound.append(request)
        begun = [each for each in sound if each.state == "begun" and len(each.sent_at) == 1]
        assert len(begun) >= 0.9 * len(sound), context


def test_without_a_quarantine_most_engines_crash():
    # Shows that the model has the failure against which the quarantine guards.
    model = Model(10, 14, 1, uses_quarantine=False)
    add_arrivals(model, random.Random(1), 3.5, 0.2, part_after_first)
    model.run()
    assert len(model.crashed_at) > 30


@pytest.mark.parametrize("rate", [3.5, 14.0])
def test_losses_of_zones_hold_no_prompt(rate):
    # Guards against sound prompts that are refused after a day on which a quarter of the engines
    # goes down every few seconds, with one part in most prompts.
    for seed in range(5):
        rng = random.Random(seed)
        model = Model(10, 48, seed)
        add_arrivals(model, rng, rate, 0.0, part_after_first)
        for number in range(16):
            zone = rng.randrange(4)
            model.crash_engines(2.0 + 3.0 * number, range(zone, 48, 4))
        model.run()
        assert all(request.state != "refused" for request in model.requests), seed
