"""The owning gateway's state machine for one generation: attempts, journal, readers, resumption.

`Generation.handle(event, now)` returns the actions to execute; events and actions are in
`generation_messages`. Only tokens of the current attempt are added to the response, and only after
this attempt has confirmed the exact prefix. A token is delivered to readers only after the journal
has committed it. The methods for tokens, commits and reads are the hot path: they handle a batch
without creating an object per token.
"""

import orjson

from chiveswitch.core import codes, detector, digests, lifecycles
from chiveswitch.core import generation_messages as messages

# With RESUME_LATENCY a hedge may start while the current attempt is silent. With RESUME_RESOURCES
# another attempt starts only after the current one was abandoned.
RESUME_LATENCY = "latency"
RESUME_RESOURCES = "resources"
# Whether a request without readers is cancelled after the grace period or continues.
ABSENCE_CANCEL = "cancel"
ABSENCE_CONTINUE = "continue"

# A live engine answers a new connection within milliseconds and sends a heartbeat every 0.25 s.
REATTACH_TIMEOUT_SECONDS = 0.3
# Without this bound an engine that closes each new connection at once would block a stream forever.
MAX_REATTACHMENTS = 2
# Once its prefill has ended, an engine that sends only heartbeats for this time has stalled. A
# decoding step takes tens of milliseconds, and the stream must resume within 2 s, including the
# prefill of the new attempt.
PROGRESS_TIMEOUT_SECONDS = 1.2
CANCEL_RETRY_SECONDS = 0.5
CHOICE_RETRY_SECONDS = 0.1
# A tick later than this shows that this process was stalled, so received events may be unread.
LATE_TICK_SECONDS = 0.1
# Attempt numbers are reserved in the journal in blocks, so that a resumption does not wait for a
# commit. The next block is reserved when fewer than MIN_RESERVED_NUMBERS remain.
ATTEMPT_NUMBER_BLOCK = 8
MIN_RESERVED_NUMBERS = 3
SEED_STEP = 0x9E3779B97F4A7C15
SEED_MASK = (1 << 63) - 1
# Above this number of delivered tokens both counts of the work ledger are halved, so that the share
# of repeated work reflects recent work.
LEDGER_HALVING_TOKENS = 1 << 20

# Purposes of a target choice: the next current attempt, including the first one, or a hedge.
_MOVE = "move"
_HEDGE = "hedge"


class Settings:
    """Service settings of the state machine, fixed at admission.

    Attributes:
        resume: RESUME_LATENCY or RESUME_RESOURCES.
        on_absence: ABSENCE_CANCEL or ABSENCE_CONTINUE.
        absence_grace_s: Seconds without a reader before ABSENCE_CANCEL cancels.
        extra_work_percent: Limit on repeated work, in percent of the delivered tokens, above which
            no hedge starts.
        max_unread_bytes: Maximum number of bytes delivered to a reader and not yet read.
        slow_reader_s: Seconds without a read at that maximum before a reader is disconnected.
        resume_wait_s: Maximum wait for a target or the retry budget, in seconds.
        journal_wait_s: Maximum wait for a commit, in seconds.
        keep_answer_s: Seconds for which a complete response is kept.
        max_failed_attempts: Number of consecutive attempts that may fail without a new token.
        max_lost_engines: Number of engines in a row that may be lost before they send a token. A
            prompt that crashes engines thus ends no more of them.
        max_prefix_refusals: Number of engines that may refuse the prefix before a new generation
            begins. With 0 no attempt continues from a prefix, which is a baseline for comparison.
        max_restarts: Number of new generations that may begin after the first.
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
        "max_lost_engines",
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
        max_lost_engines: int = 3,
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
        self.max_lost_engines = max_lost_engines
        self.max_prefix_refusals = max_prefix_refusals
        self.max_restarts = max_restarts


class Header:
    """Request data that is fixed at admission and stored in the journal.

    Attributes:
        account: Client account.
        request_id: Request id, unique within the account.
        settings: A `Settings` or any object with its attributes.
        model: Model name.
        adapter: Adapter name or "".
        version: Version of the model and adapter.
        prompt: Prompt text.
        prompt_tokens: Number of prompt tokens, for the count of repeated prefill.
        seed: Seed of the first generation.
        max_tokens: Maximum number of tokens in the response.
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

    The share of repeated work is not limited per generation, because a single hedge already repeats
    the whole prompt and prefix.

    Attributes:
        delivered: Tokens delivered.
        repeated: Tokens of prefill repeated by resumed and hedged attempts.
    """

    __slots__ = ("delivered", "repeated")

    def __init__(self):
        self.delivered = 0
        self.repeated = 0

    def permits(self, cost: int, percent: float) -> bool:
        """Returns whether `cost` more repeated tokens keep the total within `percent`."""
        if self.delivered > LEDGER_HALVING_TOKENS:
            self.delivered //= 2
            self.repeated //= 2
        return (self.repeated + cost) * 100 <= self.delivered * percent


def generation_seed(seed: int, generation: int) -> int:
    """Returns the seed of a generation.

    Each generation has a different seed, so that a mix of tokens of two generations is detectable.
    """
    return (seed + (generation - 1) * SEED_STEP) & SEED_MASK


class Attempt:
    """One attempt on an engine that may still contribute tokens.

    Attributes:
        number: Attempt number, unique per request.
        target: Target id.
        expected_prefix_length: Prefix length that the engine must confirm.
        is_journaled: Whether an earlier owner started the attempt, so that its prefix length is
            unknown here.
        confirmed: Whether the start event confirmed the prefix.
        is_steady: False until the first token after a start, a reattachment or a hedge.
        last_event_at: Time of the last event, or of the start.
        progress_at: Time of the last token, or of the confirmation.
        connection: Number of the latest connection.
        reattached_at: Time of an unanswered reattachment, or None.
    """

    __slots__ = (
        "number",
        "target",
        "expected_prefix_length",
        "is_journaled",
        "confirmed",
        "is_steady",
        "last_event_at",
        "progress_at",
        "connection",
        "reattached_at",
        "_reattachments",
        "_repeated_tokens",
        "_stall_discounted_at",
        "_hedge_considered_at",
        "_interval_estimate",
        "_lifecycle",
    )

    def __init__(
        self,
        number: int,
        target: str,
        expected_prefix_length: int,
        now: float,
        interval_estimate,
        repeated_tokens: int,
    ):
        self.number = number
        self.target = target
        self.expected_prefix_length = expected_prefix_length
        self.is_journaled = False
        self.confirmed = False
        self.is_steady = False
        self.last_event_at = now
        self.progress_at = now
        self.connection = 0
        self.reattached_at = None
        self._reattachments = 0
        self._repeated_tokens = repeated_tokens
        # Values of `last_event_at` for which a stall of this process was discounted and a hedge was
        # considered; each happens once per silence.
        self._stall_discounted_at = None
        self._hedge_considered_at = None
        self._interval_estimate = interval_estimate
        self._lifecycle = lifecycles.Lifecycle("attempt")


class _Cancel:
    """A superseded attempt whose cancellation is not confirmed yet."""

    __slots__ = ("target", "retry_at", "moved_for_silence", "lifecycle")

    def __init__(self, target, retry_at, moved_for_silence, lifecycle):
        self.target = target
        self.retry_at = retry_at
        self.moved_for_silence = moved_for_silence
        self.lifecycle = lifecycle


class _Reader:
    """A reader with its delivered offset, its read offset and the bytes in between."""

    __slots__ = (
        "reader_id",
        "streamed",
        "generation",
        "offset",
        "read_offset",
        "unread_bytes",
        "blocked_since",
    )

    def __init__(self, reader_id, streamed, generation, offset):
        self.reader_id = reader_id
        self.streamed = streamed
        self.generation = generation
        self.offset = offset
        self.read_offset = offset
        self.unread_bytes = 0
        self.blocked_since = None


class Generation:
    """State machine of one request at the gateway that owns it.

    Metrics in `AddToMetrics`: tokens_generated, tokens_delivered, prefill_repeated (tokens),
    moves_silent (moves after silence, a stall or a won hedge), moves_false (such moves after which
    the engine answered), stalls (moves from engines that only send heartbeats), hedges, restarts,
    resumptions, resume_latency_s (sum of seconds), faults (attempts ended because of wrong offsets,
    tokens or ends), journal_errors (commits of more tokens than were appended).

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
        "_committed_length",
        "_possibly_delivered",
        "_is_generation_committed",
        "_has_end",
        "_note",
        "_committed_note",
        "_reserved_number",
        "_committed_reserved_number",
        "_last_attempt_number",
        "_journaled_attempts",
        "_current",
        "_hedge",
        "_cancels",
        "_choice_number",
        "_choice_purpose",
        "_pending_target",
        "_retry_at",
        "_waiting_since",
        "_excluded_targets",
        "_failed_attempts",
        "_lost_engines",
        "_prefix_refusals",
        "_restart_count",
        "_may_have_run",
        "_was_taken_over",
        "_readers",
        "_absent_since",
        "_uncommitted_since",
        "_interrupted_at",
        "_interrupted_length",
        "_ended_at",
        "_timer",
        "_lifecycle",
        "_generated",
        "_delivered",
        "_counts",
        "_actions",
    )

    def __init__(self, header: Header, engine_detector, budget, ledger: WorkLedger, rng):
        """Creates the machine of a newly admitted request, whose first event is `GenerationOpened`.

        Args:
            header: Request data that was fixed at admission.
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
        self._committed_length = 0
        # Number of tokens that this or an earlier owner may have delivered.
        self._possibly_delivered = 0
        # Whether the journal committed the current generation number under this owner.
        self._is_generation_committed = False
        self._has_end = False
        self._note = ""
        self._committed_note = ""
        self._reserved_number = 0
        self._committed_reserved_number = 0
        self._last_attempt_number = 0
        self._journaled_attempts = ()
        self._current = None
        self._hedge = None
        self._cancels = {}
        self._choice_number = 0
        self._choice_purpose = None
        self._pending_target = None
        self._retry_at = None
        self._waiting_since = None
        self._excluded_targets = set()
        self._failed_attempts = 0
        self._lost_engines = 0
        self._prefix_refusals = 0
        self._restart_count = 0
        self._may_have_run = False
        self._was_taken_over = False
        self._readers = {}
        self._absent_since = None
        self._uncommitted_since = None
        self._interrupted_at = None
        self._interrupted_length = 0
        self._ended_at = None
        self._timer = None
        self._lifecycle = lifecycles.Lifecycle("request")
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
        """Returns the state machine of a request that was taken over.

        Args:
            header: The journal's header.
            generation: The journal's generation number. If all holders were lost, this is the
                number that control assigned, with no tokens and an empty note.
            tokens: The journal's tokens. The machine keeps the list and extends it.
            ended: Whether the journal contains the end.
            note: The journal's attempt note, or "".
            engine_detector: A detector of `detector`, shared by the gateway.
            budget: Retry budget with `take(account, now) -> bool`.
            ledger: Shared by the generations of one service.
            rng: A `random.Random` for the jitter of retries.
        """
        machine = cls(header, engine_detector, budget, ledger, rng)
        machine.generation = generation
        machine._tokens = tokens
        machine._possibly_delivered = len(tokens)
        machine._has_end = ended
        machine._was_taken_over = True
        if note:
            machine._reserved_number, *machine._journaled_attempts = orjson.loads(note)
            machine._last_attempt_number = machine._reserved_number
        machine._may_have_run = bool(tokens or machine._journaled_attempts)
        return machine

    def has_readers(self) -> bool:
        """Returns whether any reader is attached and waits for tokens or the end."""
        return bool(self._readers)

    def targets(self) -> set:
        """Returns the ids of targets with a running attempt or an unconfirmed cancellation."""
        running = {each.target for each in (self._current, self._hedge) if each is not None}
        return running | {cancel.target for cancel in self._cancels.values()}

    def handle(self, event, now: float) -> list:
        """Handles one event.

        Args:
            event: An event of `generation_messages`.
            now: Seconds on a monotonic clock.

        Returns:
            List of actions, to be executed in order.
        """
        actions = self._actions = []
        if self.released:
            if type(event) is messages.ReaderAttached:
                # After a failure such as lost ownership, another gateway may continue the request,
                # so the code must not be REQUEST_UNKNOWN.
                code = self.outcome if self._is_failed() else codes.Code.REQUEST_UNKNOWN
                self._fail_reader(event.reader, code, "the request was released", now)
            return actions
        handler = _HOT_HANDLERS.get(type(event))
        if handler is not None:
            handler(self, event, now)
            return actions
        _HANDLERS[type(event)](self, event, now)
        self._arm_timer(now)
        return actions

    # Hot path.

    def _on_tokens(self, event, now):
        attempt = self._current
        if attempt is None or event.attempt != attempt.number or not attempt.confirmed:
            self._on_other_tokens(event, now)
            return
        received = self._tokens
        tokens = event.tokens
        length = len(received)
        if event.offset != length:
            tokens = self._check_overlap(event, now)
            if not tokens:
                return
        if length + len(tokens) > self.header.max_tokens:
            self._handle_protocol_violation(now)
            return
        attempt._interval_estimate.observe(now - attempt.last_event_at)
        attempt.last_event_at = now
        attempt.progress_at = now
        if not attempt.is_steady:
            self._enter_steady_state(attempt, now)
            self._arm_timer(now)
        received.extend(tokens)
        self._generated += len(tokens)
        if self._uncommitted_since is None:
            self._uncommitted_since = now
        self._actions.append(
            messages.AppendJournal(self.generation, length, tokens, False, self._note)
        )

    def _on_heartbeat(self, event, now):
        attempt = self._current
        if attempt is not None and event.attempt == attempt.number:
            self._record_liveness(attempt, now)
            return
        hedge = self._hedge
        if hedge is not None and event.attempt == hedge.number:
            self._observe_interval(hedge, now)
            return
        self._count_false_move(event.attempt)

    def _on_journal_committed(self, event, now):
        if event.generation != self.generation or self._is_failed():
            return
        if event.note != self._committed_note:
            self._record_committed_note(event.note, now)
        length = event.length
        received_length = len(self._tokens)
        if length > received_length:
            self._count("journal_errors", 1)
            return
        if length == received_length and event.note == self._note and event.ended == self._has_end:
            self._uncommitted_since = None
        if length > self._committed_length:
            self._committed_length = length
            if length > self._possibly_delivered:
                self._possibly_delivered = length
            if self._uncommitted_since is not None:
                self._uncommitted_since = now
            if self._interrupted_at is not None and length > self._interrupted_length:
                self._count_resumption(now)
        elif self._is_generation_committed and not event.ended:
            return
        self._is_generation_committed = True
        if event.ended and self._has_end and length == received_length and self.outcome is None:
            self._complete_request(now)
        blocked = False
        for reader in tuple(self._readers.values()):
            if self._deliver_pending(reader, now):
                blocked = True
        if blocked:
            self._arm_timer(now)

    def _on_reader_read(self, event, now):
        reader = self._readers.get(event.reader)
        if reader is None or not event.generation == reader.generation == self.generation:
            return
        if not reader.read_offset < event.offset <= reader.offset:
            return
        reader.unread_bytes -= _encoded_bytes(self._tokens[reader.read_offset : event.offset])
        reader.read_offset = event.offset
        reader.blocked_since = None
        if reader.offset < self._committed_length and self._deliver_pending(reader, now):
            self._arm_timer(now)

    def _deliver_pending(self, reader, now):
        """Delivers pending tokens; returns whether the reader's byte limit blocks the rest."""
        if not self._is_generation_committed:
            return False
        if not reader.streamed:
            if self.outcome is codes.Code.OK:
                self._deliver(reader, 0, self._tokens)
                self._deliver_end(reader)
            return False
        if reader.generation != self.generation:
            if reader.generation is not None:
                self._actions.append(messages.DeliverGeneration(reader.reader_id, self.generation))
            reader.generation = self.generation
            reader.offset = 0
            reader.read_offset = 0
            reader.unread_bytes = 0
            reader.blocked_since = None
        offset = reader.offset
        if offset < self._committed_length:
            tokens = self._tokens[offset : self._committed_length]
            size = _encoded_bytes(tokens)
            available_bytes = self.header.settings.max_unread_bytes - reader.unread_bytes
            if size > available_bytes:
                tokens, size = _limit_to_bytes(tokens, available_bytes, reader.unread_bytes == 0)
            if tokens:
                reader.unread_bytes += size
                reader.offset = offset + len(tokens)
                self._deliver(reader, offset, tokens)
            if reader.offset < self._committed_length:
                if reader.blocked_since is None:
                    reader.blocked_since = now
                return True
        if self.outcome is codes.Code.OK and reader.offset == self._committed_length:
            self._deliver_end(reader)
        return False

    def _deliver(self, reader, offset, tokens):
        self._delivered += len(tokens)
        self._ledger.delivered += len(tokens)
        self._actions.append(
            messages.DeliverTokens(reader.reader_id, self.generation, offset, tokens)
        )

    # Tokens other than the next ones of the current attempt.

    def _check_overlap(self, event, now):
        """Returns the new tokens of a batch that begins before the end of the received ones.

        Returns None after a protocol violation: a gap, or an overlap whose tokens differ.
        """
        received = self._tokens
        length = len(received)
        offset = event.offset
        if offset > length or offset < 0:
            self._handle_protocol_violation(now)
            return None
        overlap = length - offset
        if received[offset : offset + len(event.tokens)] != event.tokens[:overlap]:
            self._handle_protocol_violation(now)
            return None
        return event.tokens[overlap:]

    def _on_other_tokens(self, event, now):
        current = self._current
        if current is not None and event.attempt == current.number:
            self._handle_protocol_violation(now)
            return
        hedge = self._hedge
        if hedge is not None and event.attempt == hedge.number:
            self._count("faults", 1)
            self._drop_hedge(now)
            return
        self._count_false_move(event.attempt)

    def _handle_protocol_violation(self, now):
        """Abandons the current attempt because its engine violated the protocol."""
        self._count("faults", 1)
        self._move_to_next_attempt(now)
        self._arm_timer(now)

    def _count_false_move(self, number):
        """Counts a false move if the attempt was moved for silence but its engine answered."""
        cancel = self._cancels.get(number)
        if cancel is not None and cancel.moved_for_silence:
            cancel.moved_for_silence = False
            self._detector.count_false_move()
            self._count("moves_false", 1)

    # Liveness.

    def _observe_interval(self, attempt, now):
        attempt._interval_estimate.observe(now - attempt.last_event_at)
        attempt.last_event_at = now

    def _record_liveness(self, attempt, now):
        """Records that the current attempt is alive, after an event other than tokens."""
        self._observe_interval(attempt, now)
        if attempt.reattached_at is not None:
            attempt.reattached_at = None
            attempt.progress_at = now
            if attempt.confirmed:
                attempt._lifecycle.apply("recover")
                self._mark_running()
        self._stop_hedging(now)

    def _enter_steady_state(self, attempt, now):
        """Resets the failure counts and any hedge at the first token after a disturbance."""
        attempt.is_steady = True
        attempt._interval_estimate = self._detector.interval_estimate(
            attempt.target, detector.DECODE
        )
        if attempt.reattached_at is not None:
            attempt.reattached_at = None
            attempt._lifecycle.apply("recover")
        self._mark_running()
        attempt._reattachments = 0
        self._failed_attempts = 0
        self._lost_engines = 0
        self._prefix_refusals = 0
        self._waiting_since = None
        self._excluded_targets.clear()
        self._stop_hedging(now)

    def _mark_running(self):
        if self._lifecycle.state == "admitted":
            self._lifecycle.apply("start")
        elif self._lifecycle.state == "resuming":
            self._lifecycle.apply("resume")

    def _mark_interrupted(self, attempt):
        """Records the time of the attempt's last event, to measure the resumption latency."""
        if self._interrupted_at is None:
            self._interrupted_at = attempt.last_event_at
            self._interrupted_length = len(self._tokens)
        if self._lifecycle.state == "running":
            self._lifecycle.apply("interrupt")

    def _count_resumption(self, now):
        self._count("resumptions", 1)
        self._count("resume_latency_s", now - self._interrupted_at)
        self._interrupted_at = None

    def _check_attempts(self, now):
        hedge = self._hedge
        if (
            hedge is not None
            and now >= hedge.last_event_at + hedge._interval_estimate.silence_limit()
        ):
            self._drop_hedge(now)
        attempt = self._current
        if attempt is None:
            return
        if attempt.reattached_at is not None:
            if now >= attempt.reattached_at + REATTACH_TIMEOUT_SECONDS:
                self._move_to_next_attempt(now, silent=True)
                return
        elif now >= attempt.last_event_at + attempt._interval_estimate.silence_limit():
            self._reattach_or_move(attempt, now, silent=True)
            attempt = self._current
        elif attempt.confirmed and now >= attempt.progress_at + PROGRESS_TIMEOUT_SECONDS:
            self._count("stalls", 1)
            self._move_to_next_attempt(now, silent=True)
            return
        if attempt is not None and self._can_hedge(attempt):
            if now >= attempt.last_event_at + attempt._interval_estimate.hedge_delay():
                self._start_hedge(attempt, now)

    def _reattach_or_move(self, attempt, now, silent=False):
        """Opens a new connection to the attempt, or moves after `MAX_REATTACHMENTS` of them."""
        self._mark_interrupted(attempt)
        if attempt._reattachments >= MAX_REATTACHMENTS:
            self._move_to_next_attempt(now, silent=silent)
            return
        attempt._reattachments += 1
        attempt.connection += 1
        attempt.is_steady = False
        attempt.reattached_at = now
        attempt._lifecycle.apply("reattach")
        self._actions.append(
            messages.ReattachAttempt(
                attempt.number, attempt.target, len(self._tokens), attempt.connection
            )
        )

    # Moves to another attempt.

    def _supersede_attempt(self, attempt, now, silent=False, cancel=True):
        """Cancels a replaced attempt, unless `cancel` is False because no engine runs it."""
        if not cancel:
            attempt._lifecycle.apply("refuse" if attempt._lifecycle.state != "live" else "end")
            return
        self._may_have_run = True
        attempt._lifecycle.apply("supersede")
        if silent:
            self._detector.count_move()
            self._count("moves_silent", 1)
        self._cancels[attempt.number] = _Cancel(
            attempt.target, now + CANCEL_RETRY_SECONDS, silent, attempt._lifecycle
        )
        self._actions.append(messages.CancelAttempt(attempt.number, attempt.target))

    def _move_to_next_attempt(self, now, silent=False, cancel=True, exclude=True):
        """Abandons the current attempt; continues with the received tokens as prefix.

        Args:
            now: Seconds on the caller's clock.
            silent: Whether the engine was silent.
            cancel: Whether the attempt has to be cancelled at its engine.
            exclude: Whether the generation must continue at another engine.
        """
        attempt = self._current
        self._mark_interrupted(attempt)
        self._supersede_attempt(attempt, now, silent, cancel)
        self._current = None
        if exclude:
            self._excluded_targets.add(attempt.target)
        if self._hedge is not None:
            self._current = self._hedge
            self._hedge = None
            return
        if self._choice_purpose is _HEDGE:
            self._choice_purpose = _MOVE
            return
        self._failed_attempts += 1
        if self._failed_attempts > self.header.settings.max_failed_attempts:
            self._fail_without_target(now, "too many attempts in a row failed without a new token")
            return
        if self._lost_engines > self.header.settings.max_lost_engines:
            message = f"{self._lost_engines} engines in a row were lost before they sent a token"
            self._fail_without_target(now, message)
            return
        self._choose_target(now)

    def _fail_without_target(self, now, message):
        """Fails the request with TARGET_FAILED, or with NO_TARGET if no attempt may have run."""
        code = codes.Code.TARGET_FAILED if self._may_have_run else codes.Code.NO_TARGET
        self._fail_request(code, message, now)

    def _choose_target(self, now):
        """Requests a target; all attempts but the first need a retry from the budget."""
        if self._tokens and self.header.settings.max_prefix_refusals == 0:
            self._start_new_generation(now)
            return
        self._choice_purpose = _MOVE
        self._pending_target = None
        repeated = self._last_attempt_number > 0
        if repeated and not self._budget.take(self.header.account, now):
            self._schedule_choice_retry(
                now, codes.Code.RETRY_BUDGET_SPENT, "the retry budget is spent"
            )
            return
        self._request_target(self._excluded_targets)

    def _request_target(self, exclude):
        self._choice_number += 1
        self._retry_at = None
        resumed = self._was_taken_over or self._may_have_run
        self._actions.append(
            messages.ChooseTarget(
                self._choice_number, tuple(sorted(exclude)), resumed, len(self._tokens)
            )
        )

    def _schedule_choice_retry(self, now, code, message):
        """Schedules another target choice, or fails the request after `resume_wait_s`."""
        if self._waiting_since is None:
            self._waiting_since = now
        if now >= self._waiting_since + self.header.settings.resume_wait_s:
            if code is codes.Code.NO_TARGET:
                self._fail_without_target(now, message)
            else:
                self._fail_request(code, message, now)
            return
        self._retry_at = now + CHOICE_RETRY_SECONDS * (1 + self._rng.random())

    def _on_target_chosen(self, event, now):
        if event.choice != self._choice_number or self._choice_purpose is None:
            return
        if self._retry_at is not None or self._pending_target is not None:
            return
        if event.target in self._excluded_targets:
            # The target was lost or began to leave while it was being chosen.
            self._request_target(self._excluded_targets)
            return
        self._pending_target = event.target
        self._start_pending_attempt(now)

    def _on_no_target(self, event, now):
        if (
            event.choice != self._choice_number
            or self._choice_purpose is None
            or self._retry_at is not None
        ):
            return
        if self._choice_purpose is _HEDGE:
            self._choice_purpose = None
            return
        # No target is left that could confirm the prefix, and at least one engine refused it.
        if self._prefix_refusals and self._tokens:
            self._start_new_generation(now)
            return
        self._excluded_targets.clear()
        self._schedule_choice_retry(now, codes.Code.NO_TARGET, "no target is available")

    def _start_pending_attempt(self, now):
        """Starts an attempt on the chosen target once its number is reserved in the journal."""
        number = self._last_attempt_number + 1
        if number > self._committed_reserved_number:
            return
        target = self._pending_target
        self._pending_target = None
        repeated = self._may_have_run or self._choice_purpose is _HEDGE
        prefix = list(self._tokens)
        cost = self.header.prompt_tokens + len(prefix) if repeated else 0
        self._ledger.repeated += cost
        self._count("prefill_repeated", cost)
        estimate = self._detector.interval_estimate(target, detector.PREFILL)
        attempt = Attempt(number, target, len(prefix), now, estimate, cost)
        self._last_attempt_number = number
        if self._choice_purpose is _HEDGE:
            self._hedge = attempt
        else:
            self._current = attempt
        self._choice_purpose = None
        if self._reserved_number - number < MIN_RESERVED_NUMBERS:
            self._reserved_number += ATTEMPT_NUMBER_BLOCK
        self._append_attempt_note(False, now)
        seed = generation_seed(self.header.seed, self.generation)
        resumed = self._was_taken_over or repeated
        self._actions.append(
            messages.StartAttempt(number, target, self.generation, seed, prefix, resumed)
        )

    # Hedges.

    def _can_hedge(self, attempt):
        return (
            self.header.settings.resume == RESUME_LATENCY
            and self._hedge is None
            and self._choice_purpose is None
            and attempt._hedge_considered_at != attempt.last_event_at
        )

    def _start_hedge(self, attempt, now):
        attempt._hedge_considered_at = attempt.last_event_at
        cost = self.header.prompt_tokens + len(self._tokens)
        if not self._ledger.permits(cost, self.header.settings.extra_work_percent):
            return
        if not self._budget.take(self.header.account, now):
            return
        self._count("hedges", 1)
        attempt.is_steady = False
        self._choice_purpose = _HEDGE
        self._pending_target = None
        self._request_target(self._excluded_targets | {attempt.target})

    def _stop_hedging(self, now):
        if self._choice_purpose is _HEDGE:
            self._choice_purpose = None
            self._pending_target = None
        if self._hedge is not None:
            self._drop_hedge(now, exclude=False)

    def _drop_hedge(self, now, cancel=True, exclude=True):
        hedge = self._hedge
        self._hedge = None
        if exclude:
            self._excluded_targets.add(hedge.target)
        self._supersede_attempt(hedge, now, cancel=cancel)

    # Prefix confirmation and restarts.

    def _on_stream_started(self, event, now):
        current = self._current
        hedge = self._hedge
        if current is not None and event.attempt == current.number:
            if not self._confirms_prefix(event, current):
                if current.is_journaled and not current.confirmed:
                    # The engine reports the prefix with which the attempt began. Whether all later
                    # tokens are the attempt's own cannot be told, but the engine may continue the
                    # generation by another attempt.
                    self._move_to_next_attempt(now, exclude=False)
                    return
                self._handle_prefix_refusal(now)
                return
            self._mark_confirmed(current, now)
            self._record_liveness(current, now)
            return
        if hedge is not None and event.attempt == hedge.number:
            if not self._confirms_prefix(event, hedge):
                self._prefix_refusals += 1
                self._drop_hedge(now)
                return
            self._observe_interval(hedge, now)
            self._mark_confirmed(hedge, now)
            self._mark_interrupted(current)
            self._supersede_attempt(current, now, silent=True)
            self._excluded_targets.add(current.target)
            self._current = hedge
            self._hedge = None
            return
        self._count_false_move(event.attempt)

    def _confirms_prefix(self, event, attempt):
        length = event.prefix_length
        if attempt.confirmed:
            # After a reattachment the engine may report the prefix or the requested offset.
            if not 0 <= length <= len(self._tokens):
                return False
        elif length != attempt.expected_prefix_length:
            return False
        return event.prefix_digest == digests.of_tokens(self._tokens[:length])

    def _mark_confirmed(self, attempt, now):
        if attempt.confirmed:
            return
        attempt.confirmed = True
        attempt.progress_at = now
        attempt.reattached_at = None
        self._may_have_run = True
        attempt._lifecycle.apply("confirm")
        self._mark_running()

    def _handle_prefix_refusal(self, now):
        self._prefix_refusals += 1
        if not self._tokens:
            self._handle_protocol_violation(now)
        elif (
            self._possibly_delivered == 0
            or self._prefix_refusals >= self.header.settings.max_prefix_refusals
        ):
            self._start_new_generation(now)
        else:
            self._move_to_next_attempt(now)

    def _start_new_generation(self, now):
        """Discards all tokens and begins the next generation."""
        if self._current is not None:
            self._mark_interrupted(self._current)
            self._supersede_attempt(self._current, now)
            self._current = None
        self._choice_purpose = None
        if self._hedge is not None:
            self._drop_hedge(now)
        self._restart_count += 1
        if self._restart_count > self.header.settings.max_restarts:
            self._fail_without_target(now, "no target could continue the generation")
            return
        self._count("restarts", 1)
        self._ledger.repeated += len(self._tokens)
        self.generation += 1
        self._tokens = []
        self._committed_length = 0
        self._possibly_delivered = 0
        self._is_generation_committed = False
        self._interrupted_length = 0
        self._prefix_refusals = 0
        self._excluded_targets.clear()
        for reader in self._readers.values():
            reader.blocked_since = None
        self._append_attempt_note(False, now)
        self._choose_target(now)

    # Journal.

    def _append_attempt_note(self, end, now):
        """Appends a note of all attempts that a next owner would have to handle.

        The note is a JSON list: the highest reserved attempt number, [number, target] of the
        current attempt or null, then [number, target] of the hedge and of each unconfirmed
        cancellation.
        """
        current = self._current
        note = [
            self._reserved_number,
            None if current is None else [current.number, current.target],
        ]
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

    def _record_committed_note(self, note, now):
        self._committed_note = note
        self._committed_reserved_number = orjson.loads(note)[0]
        if self._pending_target is not None:
            self._start_pending_attempt(now)
            self._arm_timer(now)

    # Failures and ends of attempts.

    def _on_stream_ended(self, event, now):
        current = self._current
        if current is None or event.attempt != current.number:
            if self._hedge is not None and event.attempt == self._hedge.number:
                self._count("faults", 1)
                self._drop_hedge(now)
                return
            self._count_false_move(event.attempt)
            return
        if not current.confirmed or event.final_offset != len(self._tokens):
            self._handle_protocol_violation(now)
            return
        self._record_liveness(current, now)
        current._lifecycle.apply("end")
        self._current = None
        self._has_end = True
        self._lifecycle.apply("end")
        self._append_attempt_note(True, now)

    def _on_stream_failed(self, event, now):
        kinds = messages.FailureKind
        # Whether the engine has no attempt with this number, so that there is nothing to cancel.
        is_attempt_absent = event.kind in (kinds.UNKNOWN_ATTEMPT, kinds.NOT_RUN) or (
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
            if is_attempt_absent:
                self._refund_repeated_work(current, event.kind)
            elif event.kind is kinds.CONNECTION_REFUSED:
                self._count_lost_engine(current)
            self._move_to_next_attempt(now, cancel=not is_attempt_absent)
            return
        if hedge is not None and event.attempt == hedge.number:
            if event.connection == hedge.connection:
                if is_attempt_absent:
                    self._refund_repeated_work(hedge, event.kind)
                self._drop_hedge(now, cancel=not is_attempt_absent)
            return
        if event.kind is kinds.UNKNOWN_ATTEMPT:
            self._finish_cancellation(event.attempt, now)

    def _refund_repeated_work(self, attempt, kind):
        """Subtracts an attempt's repeated prefill again if the engine certainly did not run it."""
        if kind is messages.FailureKind.UNKNOWN_ATTEMPT:
            # The engine may have run the attempt and lost it since.
            self._may_have_run = True
        else:
            self._ledger.repeated -= attempt._repeated_tokens
            self._count("prefill_repeated", -attempt._repeated_tokens)

    def _finish_cancellation(self, number, now):
        cancel = self._cancels.pop(number, None)
        if cancel is not None:
            cancel.lifecycle.apply("close")
            self._release_if_idle(now)

    def _on_cancel_confirmed(self, event, now):
        self._count_false_move(event.attempt)
        self._finish_cancellation(event.attempt, now)

    def _on_target_lost(self, event, now):
        target = event.target
        for number, cancel in tuple(self._cancels.items()):
            if cancel.target == target:
                self._finish_cancellation(number, now)
        if self._hedge is not None and self._hedge.target == target:
            self._drop_hedge(now, cancel=False)
        if self._current is not None and self._current.target == target:
            self._may_have_run = True
            self._count_lost_engine(self._current)
            self._move_to_next_attempt(now, cancel=False)
        self._exclude_target(target, now)

    def _count_lost_engine(self, attempt):
        if not attempt.is_steady:
            self._lost_engines += 1

    def _on_target_leaving(self, event, now):
        # Running attempts finish on a leaving target, so only new ones avoid it.
        self._exclude_target(event.target, now)

    def _exclude_target(self, target, now):
        self._excluded_targets.add(target)
        if self._pending_target != target:
            return
        if self._choice_purpose is _HEDGE:
            self._stop_hedging(now)
            return
        self._pending_target = None
        self._request_target(self._excluded_targets)

    # Readers.

    def _on_reader_attached(self, event, now):
        if self._is_failed():
            self._fail_reader(event.reader, self.outcome, "the request has failed", now)
            return
        generation = event.generation
        offset = event.offset if generation is not None else 0
        is_beyond_journal = generation is not None and (
            generation > self.generation
            or (generation == self.generation and offset > len(self._tokens))
        )
        if is_beyond_journal:
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
        self._deliver_pending(reader, now)

    def _on_reader_disconnected(self, event, now):
        if self._readers.pop(event.reader, None) is not None and not self._readers:
            self._absent_since = now

    def _fail_reader(self, reader, code, message, now):
        self._on_reader_disconnected(messages.ReaderDisconnected(reader), now)
        self._actions.append(messages.FailReader(reader, code, message))

    def _deliver_end(self, reader):
        del self._readers[reader.reader_id]
        self._actions.append(
            messages.DeliverEnd(reader.reader_id, self.generation, len(self._tokens))
        )

    def _check_readers(self, now):
        settings = self.header.settings
        for reader in tuple(self._readers.values()):
            if reader.blocked_since is None or now < reader.blocked_since + settings.slow_reader_s:
                continue
            message = f"the reader read nothing for {settings.slow_reader_s} s"
            self._fail_reader(reader.reader_id, codes.Code.SLOW_READER, message, now)

    # Outcomes.

    def _is_failed(self):
        return self.outcome is not None and self.outcome is not codes.Code.OK

    def _complete_request(self, now):
        self.outcome = codes.Code.OK
        self._ended_at = now
        self._lifecycle.apply("complete")
        self._actions.append(messages.RequestFinished(codes.Code.OK))
        self._arm_timer(now)

    def _fail_request(self, code, message, now, keep=()):
        """Fails the request. Attempts numbered in `keep` are left running for the next owner."""
        self.outcome = code
        for attempt in (self._current, self._hedge):
            if attempt is not None and attempt.number not in keep:
                self._supersede_attempt(attempt, now)
        self._current = None
        self._hedge = None
        self._choice_purpose = None
        self._pending_target = None
        for reader in tuple(self._readers):
            self._fail_reader(reader, code, message, now)
        self._lifecycle.apply("fail")
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
        self._lifecycle.apply("release")
        self._flush_counts()
        self._actions.append(messages.ReleaseRequest())

    def _on_caller_cancelled(self, event, now):
        if self.outcome is None:
            self._fail_request(codes.Code.CANCELLED, "the caller cancelled the request", now)

    def _on_ownership_lost(self, event, now):
        if self.outcome is not None:
            return
        # The next owner reads these attempts from the journal, and reattaches or cancels them.
        kept_numbers = ()
        if self._committed_note:
            kept_numbers = [entry[0] for entry in orjson.loads(self._committed_note)[1:] if entry]
        self._fail_request(
            codes.Code.OWNERSHIP_LOST, "another gateway owns the request", now, kept_numbers
        )

    # Opening and timers.

    def _on_generation_opened(self, event, now):
        self._reserved_number += ATTEMPT_NUMBER_BLOCK
        self._absent_since = now
        self._uncommitted_since = now
        journaled = self._journaled_attempts
        self._journaled_attempts = ()
        current = journaled[0] if journaled else None
        for number, target in journaled[1:]:
            self._cancel_journaled_attempt(number, target, now)
        if self._has_end:
            if current is not None:
                self._cancel_journaled_attempt(current[0], current[1], now)
            self._lifecycle.apply("end")
            self._append_attempt_note(True, now)
            return
        if self._was_taken_over:
            self._interrupted_at = now
            self._interrupted_length = len(self._tokens)
        if current is None:
            self._append_attempt_note(False, now)
            self._choose_target(now)
            return
        number, target = current
        estimate = self._detector.interval_estimate(target, detector.PREFILL)
        self._current = Attempt(number, target, len(self._tokens), now, estimate, 0)
        self._current.is_journaled = True
        self._append_attempt_note(False, now)
        self._reattach_or_move(self._current, now)

    def _cancel_journaled_attempt(self, number, target, now):
        lifecycle = lifecycles.Lifecycle("attempt")
        lifecycle.apply("supersede")
        self._cancels[number] = _Cancel(target, now + CANCEL_RETRY_SECONDS, False, lifecycle)
        self._actions.append(messages.CancelAttempt(number, target))

    def _on_tick(self, event, now):
        is_late = self._timer is not None and now > self._timer + LATE_TICK_SECONDS
        self._timer = None
        self._flush_counts()
        for number, cancel in self._cancels.items():
            if now >= cancel.retry_at:
                cancel.retry_at = now + CANCEL_RETRY_SECONDS
                self._actions.append(messages.CancelAttempt(number, cancel.target))
        self._check_readers(now)
        settings = self.header.settings
        if self.outcome is not None:
            self._release_if_idle(now)
            return
        if self._cancels_on_absence() and now >= self._absent_since + settings.absence_grace_s:
            self._fail_request(
                codes.Code.CANCELLED, "no reader was attached within the grace period", now
            )
            return
        since = self._uncommitted_since
        if since is not None and now >= since + settings.journal_wait_s:
            self._fail_request(
                codes.Code.JOURNAL_UNAVAILABLE,
                "the journal committed nothing within the time limit",
                now,
            )
            return
        if is_late:
            self._discount_stall(now)
        self._check_attempts(now)
        if self._retry_at is not None and now >= self._retry_at:
            self._retry_at = None
            if self._choice_purpose is _MOVE:
                self._choose_target(now)

    def _cancels_on_absence(self):
        """Returns whether no reader is attached and that will cancel the request."""
        return self._absent_since is not None and self.header.settings.on_absence == ABSENCE_CANCEL

    def _discount_stall(self, now):
        """Restarts the silence timers after a stall of this process, at most once per silence."""
        for attempt in (self._current, self._hedge):
            if attempt is None or attempt._stall_discounted_at == attempt.last_event_at:
                continue
            if attempt.reattached_at is not None:
                attempt.reattached_at = now
            attempt.last_event_at = now
            attempt.progress_at = now
            attempt._stall_discounted_at = now

    def _arm_timer(self, now):
        at = self._next_deadline(now)
        if at is not None and (self._timer is None or at < self._timer):
            self._timer = at
            self._actions.append(messages.SetTimer(at))

    def _next_deadline(self, now):
        settings = self.header.settings
        times = [cancel.retry_at for cancel in self._cancels.values()]
        for reader in self._readers.values():
            if reader.blocked_since is not None:
                times.append(reader.blocked_since + settings.slow_reader_s)
        if self.outcome is not None:
            # After the retention time only unconfirmed cancellations need the timer.
            if self._ended_at is not None and now < self._kept_until():
                times.append(self._kept_until())
            return min(times, default=None)
        if self._cancels_on_absence():
            times.append(self._absent_since + settings.absence_grace_s)
        if self._uncommitted_since is not None:
            times.append(self._uncommitted_since + settings.journal_wait_s)
        if self._retry_at is not None:
            times.append(self._retry_at)
        if self._hedge is not None:
            times.append(self._hedge.last_event_at + self._hedge._interval_estimate.silence_limit())
        attempt = self._current
        if attempt is not None:
            if attempt.reattached_at is not None:
                times.append(attempt.reattached_at + REATTACH_TIMEOUT_SECONDS)
            else:
                times.append(attempt.last_event_at + attempt._interval_estimate.silence_limit())
                if attempt.confirmed:
                    times.append(attempt.progress_at + PROGRESS_TIMEOUT_SECONDS)
            if self._can_hedge(attempt):
                times.append(attempt.last_event_at + attempt._interval_estimate.hedge_delay())
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


def _encoded_bytes(tokens):
    return len("".join(tokens).encode())


def _limit_to_bytes(tokens, max_bytes, at_least_one):
    """Returns the longest head of a token list that fits into `max_bytes`, and its size in bytes.

    With `at_least_one` the first token is returned even if it is larger than that. A token larger
    than the reader's whole limit could otherwise never be delivered.
    """
    size = 0
    for count, token in enumerate(tokens):
        length = len(token.encode())
        if size + length > max_bytes and not (at_least_one and count == 0):
            return tokens[:count], size
        size += length
    return tokens, size


_HOT_HANDLERS = {
    messages.Tokens: Generation._on_tokens,
    messages.Heartbeat: Generation._on_heartbeat,
    messages.JournalCommitted: Generation._on_journal_committed,
    messages.ReaderRead: Generation._on_reader_read,
}

_HANDLERS = {
    messages.GenerationOpened: Generation._on_generation_opened,
    messages.TargetChosen: Generation._on_target_chosen,
    messages.NoTarget: Generation._on_no_target,
    messages.StreamStarted: Generation._on_stream_started,
    messages.StreamEnded: Generation._on_stream_ended,
    messages.StreamFailed: Generation._on_stream_failed,
    messages.CancelConfirmed: Generation._on_cancel_confirmed,
    messages.ReaderAttached: Generation._on_reader_attached,
    messages.ReaderDisconnected: Generation._on_reader_disconnected,
    messages.CallerCancelled: Generation._on_caller_cancelled,
    messages.OwnershipLost: Generation._on_ownership_lost,
    messages.TargetLost: Generation._on_target_lost,
    messages.TargetLeaving: Generation._on_target_leaving,
    messages.Tick: Generation._on_tick,
}
