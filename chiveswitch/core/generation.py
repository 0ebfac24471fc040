"""The owning gateway's state machine for one generation: attempts, journal, readers, resumption.

`Generation.handle(event, now)` returns the actions to execute; events and actions are in
`generation_messages`. A token joins the response only from the current attempt, after that attempt
confirmed the exact prefix, and reaches a reader only after the journal committed it. The methods
for tokens, commits and reads are the hot path: they handle a batch without an object per token.
"""

import orjson

from chiveswitch.core import codes, detector, digests, lifecycles
from chiveswitch.core import generation_messages as messages

RESUME_LATENCY = "latency"
RESUME_RESOURCES = "resources"
ABSENCE_CANCEL = "cancel"
ABSENCE_CONTINUE = "continue"

# A live engine answers a new connection within milliseconds and sends heartbeats each 0.25 s.
REATTACH_TIMEOUT_SECONDS = 0.3
# An engine that closes each new connection at once must not hold a stream for good.
MAX_REATTACHMENTS = 2
# An engine that only sends heartbeats after its prefill makes no progress. A step takes tens of
# milliseconds, and the stream has to go on within 2 s, the new attempt's prefill included.
PROGRESS_TIMEOUT_SECONDS = 1.2
CANCEL_RETRY_SECONDS = 0.5
CHOICE_RETRY_SECONDS = 0.1
# A tick this late means that this process was stalled, so that events may wait unread.
LATE_TICK_SECONDS = 0.1
# Attempt numbers are reserved in blocks, so that a resumption needn't wait for the journal.
ATTEMPT_NUMBER_BLOCK = 8
MIN_RESERVED_NUMBERS = 3
SEED_STEP = 0x9E3779B97F4A7C15
SEED_MASK = (1 << 63) - 1
# Beyond this number of delivered tokens both sides of the ledger are halved, so that the share
# follows recent work.
LEDGER_HALVING_TOKENS = 1 << 20

_MOVE = "move"
_HEDGE = "hedge"


class Settings:
    """Service settings that the machine reads, pinned at admission.

    Attributes:
        resume: RESUME_LATENCY or RESUME_RESOURCES.
        on_absence: ABSENCE_CANCEL or ABSENCE_CONTINUE.
        absence_grace_s: Seconds without a reader before ABSENCE_CANCEL cancels.
        extra_work_percent: Cap of repeated work against delivered tokens, for hedges.
        max_unread_bytes: Bound of bytes handed to a reader and not yet read.
        slow_reader_s: Seconds without a read at the bound before a reader is cut.
        resume_wait_s: Seconds to wait for a target or the retry budget.
        journal_wait_s: Seconds to wait for a commit.
        keep_answer_s: Seconds that a complete response is kept.
        max_failed_attempts: Attempts in a row that may fail without a new token.
        max_prefix_refusals: Number of engines that may refuse the prefix before a new generation
            begins. With 0 no attempt continues from a prefix, which is a baseline for comparison.
        max_restarts: New generations that may begin.
    """

    __slots__ = (
        "resume",
        "on_absence",
        "absence_grace_s",
        "extra_work_percent",
        "max_unread_bytes",
        "slow_reader_s",
        "resume_wait_s",
        "journal_wait_s",
        "keep_answer_s",
        "max_failed_attempts",
        "max_prefix_refusals",
        "max_restarts",
    )

    def __init__(
        self,
        resume: str = RESUME_RESOURCES,
        on_absence: str = ABSENCE_CANCEL,
        absence_grace_s: float = 5.0,
        extra_work_percent: float = 5.0,
        max_unread_bytes: int = 65536,
        slow_reader_s: float = 10.0,
        resume_wait_s: float = 10.0,
        journal_wait_s: float = 10.0,
        keep_answer_s: float = 60.0,
        max_failed_attempts: int = 8,
        max_prefix_refusals: int = 3,
        max_restarts: int = 3,
    ):
        self.resume = resume
        self.on_absence = on_absence
        self.absence_grace_s = absence_grace_s
        self.extra_work_percent = extra_work_percent
        self.max_unread_bytes = max_unread_bytes
        self.slow_reader_s = slow_reader_s
        self.resume_wait_s = resume_wait_s
        self.journal_wait_s = journal_wait_s
        self.keep_answer_s = keep_answer_s
        self.max_failed_attempts = max_failed_attempts
        self.max_prefix_refusals = max_prefix_refusals
        self.max_restarts = max_restarts


class Header:
    """What is pinned at admission and stored in the journal.

    Attributes:
        account: Client account.
        request_id: Request id, unique within the account.
        settings: A `Settings` or any object with its attributes.
        model: Model name.
        adapter: Adapter name or "".
        version: Version of the model and adapter.
        prompt: Prompt text.
        prompt_tokens: Number of tokens of the prompt, for the count of repeated prefill.
        seed: Seed of the first generation.
        max_tokens: Bound of tokens of the response.
        bundle_serial: Serial of the bundle in force at admission.
    """

    __slots__ = (
        "account",
        "request_id",
        "settings",
        "model",
        "adapter",
        "version",
        "prompt",
        "prompt_tokens",
        "seed",
        "max_tokens",
        "bundle_serial",
    )

    def __init__(
        self,
        account: str,
        request_id: str,
        settings,
        model: str,
        adapter: str,
        version: str,
        prompt: str,
        prompt_tokens: int,
        seed: int,
        max_tokens: int,
        bundle_serial: int,
    ):
        self.account = account
        self.request_id = request_id
        self.settings = settings
        self.model = model
        self.adapter = adapter
        self.version = version
        self.prompt = prompt
        self.prompt_tokens = prompt_tokens
        self.seed = seed
        self.max_tokens = max_tokens
        self.bundle_serial = bundle_serial


class WorkLedger:
    """Repeated and delivered work of one service at one gateway, shared by its generations.

    A single generation can't be held to a share of its own: one hedge repeats the whole prompt and
    prefix.

    Attributes:
        delivered: Tokens delivered.
        repeated: Tokens of prefill repeated by resumed and hedged attempts.
    """

    __slots__ = ("delivered", "repeated")

    def __init__(self):
        self.delivered = 0
        self.repeated = 0

    def permits(self, cost: int, percent: float) -> bool:
        """Returns whether `cost` more repeated tokens keep the share within `percent`."""
        if self.delivered > LEDGER_HALVING_TOKENS:
            self.delivered //= 2
            self.repeated //= 2
        return (self.repeated + cost) * 100 <= self.delivered * percent


def generation_seed(seed: int, generation: int) -> int:
    """Returns the seed of a generation, which differs so that a mix of two is detectable."""
    return (seed + (generation - 1) * SEED_STEP) & SEED_MASK


class Attempt:
    """One attempt on an engine, while it may still contribute tokens.

    Attributes:
        number: Attempt number, unique per request.
        target: Target id.
        base: Prefix length that the engine has to confirm.
        confirmed: Whether the start event confirmed the prefix.
        steady: False until the first token after a start, a reattachment or a hedge.
        last_event: Time of the last event, or of the start.
        progress_at: Time of the last token, or of the confirmation.
        connection: Number of the latest connection.
        reattached_at: Time of an unanswered reattachment, or None.
    """

    __slots__ = (
        "number",
        "target",
        "base",
        "confirmed",
        "steady",
        "last_event",
        "progress_at",
        "connection",
        "reattached_at",
        "_reattaches",
        "_cost",
        "_excused_at",
        "_hedged_at",
        "_intervals",
        "_cycle",
    )

    def __init__(self, number: int, target: str, base: int, now: float, intervals, cost: int):
        self.number = number
        self.target = target
        self.base = base
        self.confirmed = False
        self.steady = False
        self.last_event = now
        self.progress_at = now
        self.connection = 0
        self.reattached_at = None
        self._reattaches = 0
        self._cost = cost
        # Values of last_event for which a late tick was excused, and a hedge was considered.
        self._excused_at = None
        self._hedged_at = None
        self._intervals = intervals
        self._cycle = lifecycles.Lifecycle("attempt")


class _Cancel:
    __slots__ = ("target", "next_at", "silent", "cycle")

    def __init__(self, target, next_at, silent, cycle):
        self.target = target
        self.next_at = next_at
        self.silent = silent
        self.cycle = cycle


class _Reader:
    __slots__ = (
        "reader",
        "streamed",
        "generation",
        "offset",
        "read",
        "unread_bytes",
        "full_since",
    )

    def __init__(self, reader, streamed, generation, offset):
        self.reader = reader
        self.streamed = streamed
        self.generation = generation
        self.offset = offset
        self.read = offset
        self.unread_bytes = 0
        self.full_since = None


class Generation:
    """State machine of one request at its owner.

    Metrics in `AddToMetrics`: tokens_generated, tokens_delivered, prefill_repeated (tokens), moves_silent,
    moves_false, stalls (moves from engines that only send heartbeats), hedges, restarts,
    resumptions, resume_latency_s (sum of seconds), faults (attempts ended for wrong offsets, tokens
    or ends), journal_errors.

    Attributes:
        header: The `Header`.
        generation: Current generation number, from 1.
        outcome: None while running, then the `codes.Code` of the outcome.
        released: Whether `ReleaseRequest` was returned; all later events are ignored.
    """

    __slots__ = (
        "header",
        "generation",
        "outcome",
        "released",
        "_detector",
        "_budget",
        "_ledger",
        "_rng",
        "_tokens",
        "_committed",
        "_exposed",
        "_open",
        "_end",
        "_note",
        "_committed_note",
        "_reserved",
        "_committed_reserved",
        "_last_attempt",
        "_noted_attempts",
        "_current",
        "_hedge",
        "_cancels",
        "_choice",
        "_choosing",
        "_pending_target",
        "_retry_at",
        "_waiting_since",
        "_excluded",
        "_tries",
        "_refused",
        "_restarts",
        "_may_have_run",
        "_taken_over",
        "_readers",
        "_absent_since",
        "_uncommitted_since",
        "_interrupted_at",
        "_interrupted_length",
        "_ended_at",
        "_timer",
        "_cycle",
        "_generated",
        "_delivered",
        "_counts",
        "_actions",
    )

    def __init__(self, header: Header, engine_detector, budget, ledger: WorkLedger, rng):
        """Creates the machine of a newly admitted request; the first event is `GenerationOpened`.

        Args:
            header: What was pinned at admission.
            engine_detector: A detector of `detector`, shared by the gateway.
            budget: Retry budget with `take(account, now) -> bool`.
            ledger: Shared by the generations of one service.
            rng: A `random.Random` for the jitter of retries.
        """
        self.header = header
        self.generation = 1
        self.outcome = None
        self.released = False
        self._detector = engine_detector
        self._budget = budget
        self._ledger = ledger
        self._rng = rng
        self._tokens = []
        self._committed = 0
        # Number of tokens that may have been delivered, by this or an earlier owner.
        self._exposed = 0
        # Whether the journal has committed the current generation number under this owner.
        self._open = False
        self._end = False
        self._note = ""
        self._committed_note = ""
        self._reserved = 0
        self._committed_reserved = 0
        self._last_attempt = 0
        self._noted_attempts = ()
        self._current = None
        self._hedge = None
        self._cancels = {}
        self._choice = 0
        self._choosing = None
        self._pending_target = None
        self._retry_at = None
        self._waiting_since = None
        self._excluded = set()
        self._tries = 0
        self._refused = 0
        self._restarts = 0
        self._may_have_run = False
        self._taken_over = False
        self._readers = {}
        self._absent_since = None
        self._uncommitted_since = None
        self._interrupted_at = None
        self._interrupted_length = 0
        self._ended_at = None
        self._timer = None
        self._cycle = lifecycles.Lifecycle("request")
        self._generated = 0
        self._delivered = 0
        self._counts = {}
        self._actions = []

    @classmethod
    def from_journal(
        cls,
        header: Header,
        generation: int,
        tokens: list,
        ended: bool,
        note: str,
        engine_detector,
        budget,
        ledger: WorkLedger,
        rng,
    ):
        """Returns the machine of a request that was taken over.

        Args:
            header: The journal's header.
            generation: The journal's generation number. When all holders were lost, the number
                that control assigned, with no tokens and an empty note.
            tokens: The journal's tokens; the machine keeps the list.
            ended: Whether the journal holds the end.
            note: The journal's attempt note, or "".
            engine_detector: A detector of `detector`, shared by the gateway.
            budget: Retry budget with `take(account, now) -> bool`.
            ledger: Shared by the generations of one service.
            rng: A `random.Random` for the jitter of retries.
        """
        machine = cls(header, engine_detector, budget, ledger, rng)
        machine.generation = generation
        machine._tokens = tokens
        machine._exposed = len(tokens)
        machine._end = ended
        machine._taken_over = True
        if note:
            machine._reserved, *machine._noted_attempts = orjson.loads(note)
            machine._last_attempt = machine._reserved
        machine._may_have_run = bool(tokens or machine._noted_attempts)
        return machine

    def has_readers(self) -> bool:
        """Returns whether any reader waits for tokens or the end."""
        return bool(self._readers)

    def targets(self) -> set:
        """Returns the ids of the targets on which an attempt runs or is still to be cancelled."""
        running = {each.target for each in (self._current, self._hedge) if each is not None}
        return running | {cancel.target for cancel in self._cancels.values()}

    def handle(self, event, now: float) -> list:
        """Handles one event.

        Args:
            event: An event of `generation_messages`.
            now: Seconds of a clock that never goes back.

        Returns:
            List of actions, to be executed in order.
        """
        actions = self._actions = []
        if self.released:
            if type(event) is messages.ReaderAttached:
                # After a failure such as a lost ownership the request may go on elsewhere, so that
                # it must not be called unknown.
                code = self.outcome if self._is_failed() else codes.Code.REQUEST_UNKNOWN
                self._fail_reader(event.reader, code, "the request was released", now)
            return actions
        handler = _HOT_HANDLERS.get(type(event))
        if handler is not None:
            handler(self, event, now)
            return actions
        _HANDLERS[type(event)](self, event, now)
        self._arm(now)
        return actions

    # Hot path.

    def _on_tokens(self, event, now):
        attempt = self._current
        if attempt is None or event.attempt != attempt.number or not attempt.confirmed:
            self._on_other_tokens(event, now)
            return
        held = self._tokens
        tokens = event.tokens
        length = len(held)
        if event.offset != length:
            tokens = self._check_overlap(event, now)
            if not tokens:
                return
        if length + len(tokens) > self.header.max_tokens:
            self._fault(now)
            return
        attempt._intervals.observe(now - attempt.last_event)
        attempt.last_event = now
        attempt.progress_at = now
        if not attempt.steady:
            self._settle(attempt, now)
            self._arm(now)
        held.extend(tokens)
        self._generated += len(tokens)
        if self._uncommitted_since is None:
            self._uncommitted_since = now
        self._actions.append(
            messages.AppendJournal(self.generation, length, tokens, False, self._note)
        )

    def _on_heartbeat(self, event, now):
        attempt = self._current
        if attempt is not None and event.attempt == attempt.number:
            self._heard(attempt, now)
            return
        hedge = self._hedge
        if hedge is not None and event.attempt == hedge.number:
            self._observe(hedge, now)
            return
        self._late_event(event.attempt)

    def _on_committed(self, event, now):
        if event.generation != self.generation or self._is_failed():
            return
        if event.note != self._committed_note:
            self._note_committed(event.note, now)
        length = event.length
        held = len(self._tokens)
        if length > held:
            self._count("journal_errors", 1)
            return
        if length == held and event.note == self._note and event.ended == self._end:
            self._uncommitted_since = None
        if length > self._committed:
            self._committed = length
            if length > self._exposed:
                self._exposed = length
            if self._uncommitted_since is not None:
                self._uncommitted_since = now
            if self._interrupted_at is not None and length > self._interrupted_length:
                self._count_resumption(now)
        elif self._open and not event.ended:
            return
        self._open = True
        if event.ended and self._end and length == held and self.outcome is None:
            self._complete(now)
        blocked = False
        for reader in tuple(self._readers.values()):
            if self._feed(reader, now):
                blocked = True
        if blocked:
            self._arm(now)

    def _on_read(self, event, now):
        reader = self._readers.get(event.reader)
        if reader is None or not event.generation == reader.generation == self.generation:
            return
        if not reader.read < event.offset <= reader.offset:
            return
        reader.unread_bytes -= _bytes(self._tokens[reader.read : event.offset])
        reader.read = event.offset
        reader.full_since = None
        if reader.offset < self._committed and self._feed(reader, now):
            self._arm(now)

    def _feed(self, reader, now):
        """Delivers what the reader may get; returns whether its bound holds tokens back."""
        if not self._open:
            return False
        if not reader.streamed:
            if self.outcome is codes.Code.OK:
                self._deliver(reader, 0, self._tokens)
                self._deliver_end(reader)
            return False
        if reader.generation != self.generation:
            if reader.generation is not None:
                self._actions.append(messages.DeliverGeneration(reader.reader, self.generation))
            reader.generation = self.generation
            reader.offset = 0
            reader.read = 0
            reader.unread_bytes = 0
            reader.full_since = None
        offset = reader.offset
        if offset < self._committed:
            tokens = self._tokens[offset : self._committed]
            size = _bytes(tokens)
            room = self.header.settings.max_unread_bytes - reader.unread_bytes
            if size > room:
                tokens, size = _fitting(tokens, room, reader.unread_bytes == 0)
            if tokens:
                reader.unread_bytes += size
                reader.offset = offset + len(tokens)
                self._deliver(reader, offset, tokens)
            if reader.offset < self._committed:
                if reader.full_since is None:
                    reader.full_since = now
                return True
        if self.outcome is codes.Code.OK and reader.offset == self._committed:
            self._deliver_end(reader)
        return False

    def _deliver(self, reader, offset, tokens):
        self._delivered += len(tokens)
        self._ledger.delivered += len(tokens)
        self._actions.append(messages.DeliverTokens(reader.reader, self.generation, offset, tokens))

    # Tokens that aren't the next ones of the current attempt.

    def _check_overlap(self, event, now):
        """Returns the new tokens of a batch that doesn't begin at the held length."""
        held = self._tokens
        length = len(held)
        offset = event.offset
        if offset > length or offset < 0:
            self._fault(now)
            return None
        overlap = length - offset
        if held[offset : offset + len(event.tokens)] != event.tokens[:overlap]:
            self._fault(now)
            return None
        return event.tokens[overlap:]

    def _on_other_tokens(self, event, now):
        current = self._current
        if current is not None and event.attempt == current.number:
            self._fault(now)
            return
        hedge = self._hedge
        if hedge is not None and event.attempt == hedge.number:
            self._count("faults", 1)
            self._drop_hedge(now)
            return
        self._late_event(event.attempt)

    def _fault(self, now):
        """Ends the current attempt because its engine broke the protocol."""
        self._count("faults", 1)
        self._move(now)
        self._arm(now)

    def _late_event(self, number):
        cancel = self._cancels.get(number)
        if cancel is not None and cancel.silent:
            cancel.silent = False
            self._detector.count_false_move()
            self._count("moves_false", 1)

    # Liveness.

    def _observe(self, attempt, now):
        attempt._intervals.observe(now - attempt.last_event)
        attempt.last_event = now

    def _heard(self, attempt, now):
        """Takes an event other than a token from the current attempt."""
        self._observe(attempt, now)
        if attempt.reattached_at is not None:
            attempt.reattached_at = None
            attempt.progress_at = now
            if attempt.confirmed:
                attempt._cycle.apply("recover")
                self._resume_cycle()
        self._stop_hedging(now)

    def _settle(self, attempt, now):
        """Returns to the steady state at the first token after a disturbance."""
        attempt.steady = True
        attempt._intervals = self._detector.interval_estimate(attempt.target, detector.DECODE)
        if attempt.reattached_at is not None:
            attempt.reattached_at = None
            attempt._cycle.apply("recover")
        self._resume_cycle()
        attempt._reattaches = 0
        self._tries = 0
        self._refused = 0
        self._waiting_since = None
        self._excluded.clear()
        self._stop_hedging(now)

    def _resume_cycle(self):
        if self._cycle.state == "admitted":
            self._cycle.apply("start")
        elif self._cycle.state == "resuming":
            self._cycle.apply("resume")

    def _interrupt(self, attempt):
        if self._interrupted_at is None:
            self._interrupted_at = attempt.last_event
            self._interrupted_length = len(self._tokens)
        if self._cycle.state == "running":
            self._cycle.apply("interrupt")

    def _count_resumption(self, now):
        self._count("resumptions", 1)
        self._count("resume_latency_s", now - self._interrupted_at)
        self._interrupted_at = None

    def _check_attempts(self, now):
        hedge = self._hedge
        if hedge is not None and now >= hedge.last_event + hedge._intervals.silence_limit():
            self._drop_hedge(now)
        attempt = self._current
        if attempt is None:
            return
        if attempt.reattached_at is not None:
            if now >= attempt.reattached_at + REATTACH_TIMEOUT_SECONDS:
                self._move(now, silent=True)
                return
        elif now >= attempt.last_event + attempt._intervals.silence_limit():
            self._reattach_or_move(attempt, now, silent=True)
            attempt = self._current
        elif attempt.confirmed and now >= attempt.progress_at + PROGRESS_TIMEOUT_SECONDS:
            self._count("stalls", 1)
            self._move(now, silent=True)
            return
        if attempt is not None and self._may_hedge(attempt):
            if now >= attempt.last_event + attempt._intervals.hedge_delay():
                self._start_hedge(attempt, now)

    def _reattach_or_move(self, attempt, now, silent=False):
        self._interrupt(attempt)
        if attempt._reattaches >= MAX_REATTACHMENTS:
            self._move(now, silent=silent)
            return
        attempt._reattaches += 1
        attempt.connection += 1
        attempt.steady = False
        attempt.reattached_at = now
        attempt._cycle.apply("reattach")
        self._actions.append(
            messages.ReattachAttempt(
                attempt.number, attempt.target, len(self._tokens), attempt.connection
            )
        )

    # Moving to another attempt.

    def _supersede(self, attempt, now, silent=False, cancel=True):
        if not cancel:
            attempt._cycle.apply("refuse" if attempt._cycle.state != "live" else "end")
            return
        self._may_have_run = True
        attempt._cycle.apply("supersede")
        if silent:
            self._detector.count_move()
            self._count("moves_silent", 1)
        self._cancels[attempt.number] = _Cancel(
            attempt.target, now + CANCEL_RETRY_SECONDS, silent, attempt._cycle
        )
        self._actions.append(messages.CancelAttempt(attempt.number, attempt.target))

    def _move(self, now, silent=False, cancel=True):
        """Gives up the current attempt and continues elsewhere with the held tokens as prefix."""
        attempt = self._current
        self._interrupt(attempt)
        self._supersede(attempt, now, silent, cancel)
        self._current = None
        self._excluded.add(attempt.target)
        if self._hedge is not None:
            self._current = self._hedge
            self._hedge = None
            return
        if self._choosing is _HEDGE:
            self._choosing = _MOVE
            return
        self._tries += 1
        if self._tries > self.header.settings.max_failed_attempts:
            self._fail_targets(now, "attempts failed on too many targets")
            return
        self._choose(now)

    def _fail_targets(self, now, message):
        code = codes.Code.TARGET_FAILED if self._may_have_run else codes.Code.NO_TARGET
        self._fail(code, message, now)

    def _choose(self, now):
        if self._tokens and self.header.settings.max_prefix_refusals == 0:
            self._restart(now)
            return
        self._choosing = _MOVE
        self._pending_target = None
        repeated = self._last_attempt > 0
        if repeated and not self._budget.take(self.header.account, now):
            self._wait(now, codes.Code.RETRY_BUDGET_SPENT, "the retry budget is spent")
            return
        self._ask_target(self._excluded)

    def _ask_target(self, exclude):
        self._choice += 1
        self._retry_at = None
        resumed = self._taken_over or self._may_have_run
        self._actions.append(
            messages.ChooseTarget(self._choice, tuple(sorted(exclude)), resumed, len(self._tokens))
        )

    def _wait(self, now, code, message):
        """Chooses again after a pause, or fails once the waiting time is over."""
        if self._waiting_since is None:
            self._waiting_since = now
        if now >= self._waiting_since + self.header.settings.resume_wait_s:
            if code is codes.Code.NO_TARGET:
                self._fail_targets(now, message)
            else:
                self._fail(code, message, now)
            return
        self._retry_at = now + CHOICE_RETRY_SECONDS * (1 + self._rng.random())

    def _on_chosen(self, event, now):
        if event.choice != self._choice or self._choosing is None:
            return
        if self._retry_at is not None or self._pending_target is not None:
            return
        if event.target in self._excluded:
            # The target was lost or began to leave while the choice was on its way.
            self._ask_target(self._excluded)
            return
        self._pending_target = event.target
        self._start_pending(now)

    def _on_no_target(self, event, now):
        if event.choice != self._choice or self._choosing is None or self._retry_at is not None:
            return
        if self._choosing is _HEDGE:
            self._choosing = None
            return
        # Every engine that is left has refused the prefix.
        if self._refused and self._tokens:
            self._restart(now)
            return
        self._excluded.clear()
        self._wait(now, codes.Code.NO_TARGET, "no target is available")

    def _start_pending(self, now):
        """Starts the attempt on the chosen target once its number is committed as reserved."""
        number = self._last_attempt + 1
        if number > self._committed_reserved:
            return
        target = self._pending_target
        self._pending_target = None
        repeated = self._may_have_run or self._choosing is _HEDGE
        prefix = list(self._tokens)
        cost = self.header.prompt_tokens + len(prefix) if repeated else 0
        self._ledger.repeated += cost
        self._count("prefill_repeated", cost)
        intervals = self._detector.interval_estimate(target, detector.PREFILL)
        attempt = Attempt(number, target, len(prefix), now, intervals, cost)
        self._last_attempt = number
        if self._choosing is _HEDGE:
            self._hedge = attempt
        else:
            self._current = attempt
        self._choosing = None
        if self._reserved - number < MIN_RESERVED_NUMBERS:
            self._reserved += ATTEMPT_NUMBER_BLOCK
        self._append_note(False, now)
        seed = generation_seed(self.header.seed, self.generation)
        resumed = self._taken_over or repeated
        self._actions.append(
            messages.StartAttempt(number, target, self.generation, seed, prefix, resumed)
        )

    # Hedges.

    def _may_hedge(self, attempt):
        return (
            self.header.settings.resume == RESUME_LATENCY
            and self._hedge is None
            and self._choosing is None
            and attempt._hedged_at != attempt.last_event
        )

    def _start_hedge(self, attempt, now):
        attempt._hedged_at = attempt.last_event
        cost = self.header.prompt_tokens + len(self._tokens)
        if not self._ledger.permits(cost, self.header.settings.extra_work_percent):
            return
        if not self._budget.take(self.header.account, now):
            return
        self._count("hedges", 1)
        attempt.steady = False
        self._choosing = _HEDGE
        self._pending_target = None
        self._ask_target(self._excluded | {attempt.target})

    def _stop_hedging(self, now):
        if self._choosing is _HEDGE:
            self._choosing = None
            self._pending_target = None
        if self._hedge is not None:
            self._drop_hedge(now, exclude=False)

    def _drop_hedge(self, now, cancel=True, exclude=True):
        hedge = self._hedge
        self._hedge = None
        if exclude:
            self._excluded.add(hedge.target)
        self._supersede(hedge, now, cancel=cancel)

    # Prefix confirmation and restarts.

    def _on_started(self, event, now):
        current = self._current
        hedge = self._hedge
        if current is not None and event.attempt == current.number:
            if not self._confirms(event, current):
                self._prefix_refused(now)
                return
            self._confirm(current, now)
            self._heard(current, now)
            return
        if hedge is not None and event.attempt == hedge.number:
            if not self._confirms(event, hedge):
                self._refused += 1
                self._drop_hedge(now)
                return
            self._observe(hedge, now)
            self._confirm(hedge, now)
            self._interrupt(current)
            self._supersede(current, now, silent=True)
            self._excluded.add(current.target)
            self._current = hedge
            self._hedge = None
            return
        self._late_event(event.attempt)

    def _confirms(self, event, attempt):
        length = event.prefix_length
        if attempt.confirmed:
            # The stream of a reattachment may name the attempt's own prefix or the offset asked.
            if not 0 <= length <= len(self._tokens):
                return False
        elif length != attempt.base:
            return False
        return event.prefix_digest == digests.of_tokens(self._tokens[:length])

    def _confirm(self, attempt, now):
        if attempt.confirmed:
            return
        attempt.confirmed = True
        attempt.progress_at = now
        attempt.reattached_at = None
        self._may_have_run = True
        attempt._cycle.apply("confirm")
        self._resume_cycle()

    def _prefix_refused(self, now):
        self._refused += 1
        if not self._tokens:
            self._fault(now)
        elif self._exposed == 0 or self._refused >= self.header.settings.max_prefix_refusals:
            self._restart(now)
        else:
            self._move(now)

    def _restart(self, now):
        """Begins the next generation with no tokens."""
        if self._current is not None:
            self._interrupt(self._current)
            self._supersede(self._current, now)
            self._current = None
        self._choosing = None
        if self._hedge is not None:
            self._drop_hedge(now)
        self._restarts += 1
        if self._restarts > self.header.settings.max_restarts:
            self._fail_targets(now, "no target could continue the generation")
            return
        self._count("restarts", 1)
        self._ledger.repeated += len(self._tokens)
        self.generation += 1
        self._tokens = []
        self._committed = 0
        self._exposed = 0
        self._open = False
        self._interrupted_length = 0
        self._refused = 0
        self._excluded.clear()
        for reader in self._readers.values():
            reader.full_since = None
        self._append_note(False, now)
        self._choose(now)

    # Journal.

    def _append_note(self, end, now):
        current = self._current
        note = [self._reserved, None if current is None else [current.number, current.target]]
        if self._hedge is not None:
            note.append([self._hedge.number, self._hedge.target])
        for number, cancel in self._cancels.items():
            note.append([number, cancel.target])
        self._note = orjson.dumps(note).decode()
        if self._uncommitted_since is None:
            self._uncommitted_since = now
        self._actions.append(
            messages.AppendJournal(self.generation, len(self._tokens), [], end, self._note)
        )

    def _note_committed(self, note, now):
        self._committed_note = note
        self._committed_reserved = orjson.loads(note)[0]
        if self._pending_target is not None:
            self._start_pending(now)
            self._arm(now)

    # Failures and ends of attempts.

    def _on_ended(self, event, now):
        current = self._current
        if current is None or event.attempt != current.number:
            if self._hedge is not None and event.attempt == self._hedge.number:
                self._count("faults", 1)
                self._drop_hedge(now)
                return
            self._late_event(event.attempt)
            return
        if not current.confirmed or event.final_offset != len(self._tokens):
            self._fault(now)
            return
        self._heard(current, now)
        current._cycle.apply("end")
        self._current = None
        self._end = True
        self._cycle.apply("end")
        self._append_note(True, now)

    def _on_failed(self, event, now):
        kinds = messages.FailureKind
        # The engine runs nothing under this number.
        not_run = event.kind in (kinds.UNKNOWN_ATTEMPT, kinds.NOT_RUN) or (
            event.kind is kinds.CONNECTION_REFUSED and event.connection == 0
        )
        current = self._current
        hedge = self._hedge
        if current is not None and event.attempt == current.number:
            if event.connection != current.connection:
                return
            if event.kind is kinds.CLOSED:
                self._reattach_or_move(current, now)
                return
            if not_run:
                self._refund(current, event.kind)
            self._move(now, cancel=not not_run)
            return
        if hedge is not None and event.attempt == hedge.number:
            if event.connection == hedge.connection:
                if not_run:
                    self._refund(hedge, event.kind)
                self._drop_hedge(now, cancel=not not_run)
            return
        if event.kind is kinds.UNKNOWN_ATTEMPT:
            self._close_cancel(event.attempt, now)

    def _refund(self, attempt, kind):
        if kind is messages.FailureKind.UNKNOWN_ATTEMPT:
            # The engine may have run it and lost it since.
            self._may_have_run = True
        else:
            self._ledger.repeated -= attempt._cost
            self._count("prefill_repeated", -attempt._cost)

    def _close_cancel(self, number, now):
        cancel = self._cancels.pop(number, None)
        if cancel is not None:
            cancel.cycle.apply("close")
            self._release_if_idle(now)

    def _on_cancel_confirmed(self, event, now):
        self._late_event(event.attempt)
        self._close_cancel(event.attempt, now)

    def _on_target_lost(self, event, now):
        target = event.target
        for number, cancel in tuple(self._cancels.items()):
            if cancel.target == target:
                self._close_cancel(number, now)
        if self._hedge is not None and self._hedge.target == target:
            self._drop_hedge(now, cancel=False)
        if self._current is not None and self._current.target == target:
            self._may_have_run = True
            self._move(now, cancel=False)
        self._avoid(target, now)

    def _on_target_leaving(self, event, now):
        # Work in progress finishes on a leaving target.
        self._avoid(event.target, now)

    def _avoid(self, target, now):
        self._excluded.add(target)
        if self._pending_target != target:
            return
        if self._choosing is _HEDGE:
            self._stop_hedging(now)
            return
        self._pending_target = None
        self._ask_target(self._excluded)

    # Readers.

    def _on_attached(self, event, now):
        if self._is_failed():
            self._fail_reader(event.reader, self.outcome, "the request has failed", now)
            return
        generation = event.generation
        offset = event.offset if generation is not None else 0
        beyond = generation is not None and (
            generation > self.generation
            or (generation == self.generation and offset > len(self._tokens))
        )
        if beyond:
            self._fail_reader(
                event.reader,
                codes.Code.JOURNAL_STALE,
                f"event id {generation}:{offset} is beyond the journal",
                now,
            )
            return
        if not event.streamed:
            generation, offset = None, 0
        self._absent_since = None
        reader = _Reader(event.reader, event.streamed, generation, offset)
        self._readers[event.reader] = reader
        self._feed(reader, now)

    def _on_left(self, event, now):
        if self._readers.pop(event.reader, None) is not None and not self._readers:
            self._absent_since = now

    def _fail_reader(self, reader, code, message, now):
        self._on_left(messages.ReaderDisconnected(reader), now)
        self._actions.append(messages.FailReader(reader, code, message))

    def _deliver_end(self, reader):
        del self._readers[reader.reader]
        self._actions.append(messages.DeliverEnd(reader.reader, self.generation, len(self._tokens)))

    def _check_readers(self, now):
        settings = self.header.settings
        for reader in tuple(self._readers.values()):
            if reader.full_since is None or now < reader.full_since + settings.slow_reader_s:
                continue
            message = f"reader took nothing for {settings.slow_reader_s} s"
            self._fail_reader(reader.reader, codes.Code.SLOW_READER, message, now)

    # Outcomes.

    def _is_failed(self):
        return self.outcome is not None and self.outcome is not codes.Code.OK

    def _complete(self, now):
        self.outcome = codes.Code.OK
        self._ended_at = now
        self._cycle.apply("complete")
        self._actions.append(messages.RequestFinished(codes.Code.OK))
        self._arm(now)

    def _fail(self, code, message, now, keep=()):
        """Ends a running request; the attempts numbered in `keep` are left to the next owner."""
        self.outcome = code
        for attempt in (self._current, self._hedge):
            if attempt is not None and attempt.number not in keep:
                self._supersede(attempt, now)
        self._current = None
        self._hedge = None
        self._choosing = None
        self._pending_target = None
        for reader in tuple(self._readers):
            self._fail_reader(reader, code, message, now)
        self._cycle.apply("fail")
        self._flush_counts()
        self._actions.append(messages.RequestFinished(code))
        self._release_if_idle(now)

    def _kept_until(self):
        return self._ended_at + self.header.settings.keep_answer_s

    def _release_if_idle(self, now):
        if self.released or self.outcome is None or self._cancels:
            return
        if self._ended_at is not None and now < self._kept_until():
            return
        self.released = True
        self._cycle.apply("release")
        self._flush_counts()
        self._actions.append(messages.ReleaseRequest())

    def _on_caller_cancelled(self, event, now):
        if self.outcome is None:
            self._fail(codes.Code.CANCELLED, "the caller cancelled the request", now)

    def _on_ownership_lost(self, event, now):
        if self.outcome is not None:
            return
        # The next owner reads these attempts from the journal and reattaches or cancels them.
        noted = ()
        if self._committed_note:
            noted = [entry[0] for entry in orjson.loads(self._committed_note)[1:] if entry]
        self._fail(codes.Code.OWNERSHIP_LOST, "another gateway owns the request", now, noted)

    # Opening and timers.

    def _on_opened(self, event, now):
        self._reserved += ATTEMPT_NUMBER_BLOCK
        self._absent_since = now
        self._uncommitted_since = now
        noted = self._noted_attempts
        self._noted_attempts = ()
        current = noted[0] if noted else None
        for number, target in noted[1:]:
            self._cancel_noted(number, target, now)
        if self._end:
            if current is not None:
                self._cancel_noted(current[0], current[1], now)
            self._cycle.apply("end")
            self._append_note(True, now)
            return
        if self._taken_over:
            self._interrupted_at = now
            self._interrupted_length = len(self._tokens)
        if current is None:
            self._append_note(False, now)
            self._choose(now)
            return
        number, target = current
        intervals = self._detector.interval_estimate(target, detector.PREFILL)
        self._current = Attempt(number, target, len(self._tokens), now, intervals, 0)
        self._append_note(False, now)
        self._reattach_or_move(self._current, now)

    def _cancel_noted(self, number, target, now):
        cycle = lifecycles.Lifecycle("attempt")
        cycle.apply("supersede")
        self._cancels[number] = _Cancel(target, now + CANCEL_RETRY_SECONDS, False, cycle)
        self._actions.append(messages.CancelAttempt(number, target))

    def _on_tick(self, event, now):
        late = self._timer is not None and now > self._timer + LATE_TICK_SECONDS
        self._timer = None
        self._flush_counts()
        for number, cancel in self._cancels.items():
            if now >= cancel.next_at:
                cancel.next_at = now + CANCEL_RETRY_SECONDS
                self._actions.append(messages.CancelAttempt(number, cancel.target))
        self._check_readers(now)
        settings = self.header.settings
        if self.outcome is not None:
            self._release_if_idle(now)
            return
        if self._is_absent() and now >= self._absent_since + settings.absence_grace_s:
            self._fail(codes.Code.CANCELLED, "no reader came back", now)
            return
        since = self._uncommitted_since
        if since is not None and now >= since + settings.journal_wait_s:
            self._fail(codes.Code.JOURNAL_UNAVAILABLE, "the journal committed nothing", now)
            return
        if late:
            self._excuse(now)
        self._check_attempts(now)
        if self._retry_at is not None and now >= self._retry_at:
            self._retry_at = None
            if self._choosing is _MOVE:
                self._choose(now)

    def _is_absent(self):
        return self._absent_since is not None and self.header.settings.on_absence == ABSENCE_CANCEL

    def _excuse(self, now):
        """Doesn't take a stall of this process for silence, once per silence."""
        for attempt in (self._current, self._hedge):
            if attempt is None or attempt._excused_at == attempt.last_event:
                continue
            if attempt.reattached_at is not None:
                attempt.reattached_at = now
            attempt.last_event = now
            attempt.progress_at = now
            attempt._excused_at = now

    def _arm(self, now):
        at = self._next_deadline(now)
        if at is not None and (self._timer is None or at < self._timer):
            self._timer = at
            self._actions.append(messages.SetTimer(at))

    def _next_deadline(self, now):
        settings = self.header.settings
        times = [cancel.next_at for cancel in self._cancels.values()]
        for reader in self._readers.values():
            if reader.full_since is not None:
                times.append(reader.full_since + settings.slow_reader_s)
        if self.outcome is not None:
            # Once the response was kept long enough, only open cancels are waited for.
            if self._ended_at is not None and now < self._kept_until():
                times.append(self._kept_until())
            return min(times, default=None)
        if self._is_absent():
            times.append(self._absent_since + settings.absence_grace_s)
        if self._uncommitted_since is not None:
            times.append(self._uncommitted_since + settings.journal_wait_s)
        if self._retry_at is not None:
            times.append(self._retry_at)
        if self._hedge is not None:
            times.append(self._hedge.last_event + self._hedge._intervals.silence_limit())
        attempt = self._current
        if attempt is not None:
            if attempt.reattached_at is not None:
                times.append(attempt.reattached_at + REATTACH_TIMEOUT_SECONDS)
            else:
                times.append(attempt.last_event + attempt._intervals.silence_limit())
                if attempt.confirmed:
                    times.append(attempt.progress_at + PROGRESS_TIMEOUT_SECONDS)
            if self._may_hedge(attempt):
                times.append(attempt.last_event + attempt._intervals.hedge_delay())
        return min(times, default=None)

    # Metrics.

    def _count(self, name, amount):
        if amount:
            self._counts[name] = self._counts.get(name, 0) + amount

    def _flush_counts(self):
        self._count("tokens_generated", self._generated)
        self._count("tokens_delivered", self._delivered)
        self._generated = 0
        self._delivered = 0
        if self._counts:
            self._actions.append(messages.AddToMetrics(self._counts))
            self._counts = {}


def _bytes(tokens):
    return len("".join(tokens).encode())


def _fitting(tokens, room, at_least_one):
    """Returns the longest start of a token list that takes up at most `room` bytes, and its size.

    A single token larger than the whole bound passes when the reader has nothing unread.
    """
    size = 0
    for count, token in enumerate(tokens):
        length = len(token.encode())
        if size + length > room and not (at_least_one and count == 0):
            return tokens[:count], size
        size += length
    return tokens, size


_HOT_HANDLERS = {
    messages.Tokens: Generation._on_tokens,
    messages.Heartbeat: Generation._on_heartbeat,
    messages.JournalCommitted: Generation._on_committed,
    messages.ReaderRead: Generation._on_read,
}

_HANDLERS = {
    messages.GenerationOpened: Generation._on_opened,
    messages.TargetChosen: Generation._on_chosen,
    messages.NoTarget: Generation._on_no_target,
    messages.StreamStarted: Generation._on_started,
    messages.StreamEnded: Generation._on_ended,
    messages.StreamFailed: Generation._on_failed,
    messages.CancelConfirmed: Generation._on_cancel_confirmed,
    messages.ReaderAttached: Generation._on_attached,
    messages.ReaderDisconnected: Generation._on_left,
    messages.CallerCancelled: Generation._on_caller_cancelled,
    messages.OwnershipLost: Generation._on_ownership_lost,
    messages.TargetLost: Generation._on_target_lost,
    messages.TargetLeaving: Generation._on_target_leaving,
    messages.Tick: Generation._on_tick,
}
