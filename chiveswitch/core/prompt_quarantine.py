"""Quarantine of prompts that crash engines, known as queries of death.

A part of a prompt may crash every engine that begins to answer it. Gateways report each engine that
crashed when it was about to begin a response, with the parts of the prompt, and the parts whose
responses have begun since. Each gateway gets the reports of all, and refuses prompts with a part
that is sufficiently suspect: crashes at different times, of requests that have only this part in
common, and no response with it. A quarantine ends after a while with a trial at one gateway after
the other, and at once if a response with the part begins.
"""

import collections
import enum
import random

# Weight of the evidence that is needed against a part that several requests share, the weight if a
# response with it has begun lately, and the number of these requests.
SHARED_PART_WEIGHT = 3.0
SOUND_PART_WEIGHT = 5.0
SHARED_PART_REQUESTS = 2
# Number of engines that crash after they have begun to answer until the last part is held, which
# only one request or session has.
LAST_PART_ENGINES = 2
# Time after which a crash no longer counts.
EVIDENCE_SECONDS = 120.0
# Time for which a response that began speaks for the parts of its prompt.
SOUND_SECONDS = 60.0
# Length of the first quarantine of a part. Each further one is twice as long, up to the maximum.
QUARANTINE_SECONDS = 60.0
QUARANTINE_MAX_SECONDS = 960.0
# After a quarantine, gateways permit a trial one after the other, on average at this interval.
TRIAL_SECONDS = 2.0
# Time for which a gateway waits for the outcome of its trial before it permits another one.
TRIAL_RESULT_SECONDS = 10.0
# Shortest time between two reports of one gateway that responses with a part begin.
SOUND_REPORT_SECONDS = 1.0
# Limits of the parts that are remembered, and of the parts of one prompt that are looked at.
MAX_SUSPECTS = 1024
MAX_SOUND_PARTS = 4096
MAX_PROMPT_PARTS = 32
# Longest key of a part.
MAX_KEY_LENGTH = 80
# Longest text of the parts of a prompt in a log line.
MAX_LOGGED_LENGTH = 300
# Limit of the crashes that are remembered for one part.
MAX_CRASHES = 32


class Outcome(enum.IntEnum):
    """What a gateway reports of a prompt.

    CRASHED_WAITING: the engine crashed before the head of its response.
    CRASHED_ANSWERING: the engine crashed between the head and the first events of its response.
    BEGAN: the engine has sent the first events of its response.
    """

    CRASHED_WAITING = 0
    CRASHED_ANSWERING = 1
    BEGAN = 2


# Weight of a crash. An engine that had not begun to answer was probably crashed by another request.
WEIGHT_BY_OUTCOME = {Outcome.CRASHED_WAITING: 0.5, Outcome.CRASHED_ANSWERING: 1.0}
# Time in seconds within which crashes of different requests count as one: the loss of a zone takes
# many engines at once, only few of which are about to begin an answer.
INCIDENT_SECONDS_BY_OUTCOME = {Outcome.CRASHED_WAITING: 0.5, Outcome.CRASHED_ANSWERING: 0.1}


def part_keys(model: str, parts: list) -> list:
    """Returns the keys of the parts of a prompt, since the same text may crash one model only.

    Parts in the middle of a very long list are left out.
    """
    if len(parts) > MAX_PROMPT_PARTS:
        parts = [*parts[: MAX_PROMPT_PARTS - 1], parts[-1]]
    return [f"{model}:{part}"[:MAX_KEY_LENGTH] for part in parts]


def format_parts(parts: list) -> str:
    """Returns the keys of parts for a log line; a long list is cut."""
    return ",".join(parts)[:MAX_LOGGED_LENGTH]


class Report:
    """What happened to a prompt at an engine.

    Attributes:
        outcome: An `Outcome`.
        parts: Keys of the prompt's parts in order; the last one belongs to the request or session.
        at: Time in seconds of the process's clock.
        target_id: Id of the engine.
    """

    __slots__ = ("outcome", "parts", "at", "target_id")

    def __init__(self, outcome: Outcome, parts: list, at: float, target_id: str):
        self.outcome = outcome
        self.parts = parts
        self.at = at
        self.target_id = target_id


class Suspect:
    """The evidence against a part.

    Attributes:
        crashes: `Report` of each crash since the last response that began, in order of time.
        held_since: Time in seconds at which its quarantine began, or None.
        held_until: Time at which it ends.
        trial_at: Time from which this gateway permits a trial.
        quarantine_count: Number of quarantines since the last response that began.
        changed_at: Time of the last report.
    """

    __slots__ = (
        "crashes",
        "held_since",
        "held_until",
        "trial_at",
        "quarantine_count",
        "changed_at",
    )

    def __init__(self):
        self.crashes = []
        self.held_since = None
        self.held_until = 0.0
        self.trial_at = 0.0
        self.quarantine_count = 0
        self.changed_at = 0.0

    def add_crash(self, report: Report, now: float):
        """Adds a crash to the evidence, unless it is known already."""
        self.changed_at = now
        self.crashes = [each for each in self.crashes if now - each.at < EVIDENCE_SECONDS]
        for crash in self.crashes:
            if (crash.parts[-1], crash.target_id) == (report.parts[-1], report.target_id):
                return
        self.crashes.append(report)
        self.crashes.sort(key=lambda crash: crash.at)
        del self.crashes[:-MAX_CRASHES]

    def weight(self) -> float:
        """Returns the weight of the crashes; those of different requests at one time count once."""
        total, counted_at, counted_weight = 0.0, None, 0.0
        for crash in self.crashes:
            weight = WEIGHT_BY_OUTCOME[crash.outcome]
            window_s = INCIDENT_SECONDS_BY_OUTCOME[crash.outcome]
            if counted_at is None or crash.at - counted_at >= window_s:
                total += weight
                counted_at, counted_weight = crash.at, weight
            elif weight > counted_weight:
                total += weight - counted_weight
                counted_weight = weight
        weights_by_request = {}
        for crash in self.crashes:
            weight = WEIGHT_BY_OUTCOME[crash.outcome]
            weights_by_request.setdefault(crash.parts[-1], []).append(weight)
        # A request is sent again only after a crash, so that its crashes are no single event.
        repeated = [sum(weights) for weights in weights_by_request.values() if len(weights) > 1]
        return max(total, sum(repeated))

    def request_count(self) -> int:
        """Returns the number of requests or sessions whose prompts had the part."""
        return len({crash.parts[-1] for crash in self.crashes})

    def answering_engine_count(self) -> int:
        """Returns the number of engines that crashed after they had begun to answer."""
        engines = set()
        for crash in self.crashes:
            if crash.outcome == Outcome.CRASHED_ANSWERING:
                engines.add(crash.target_id)
        return len(engines)


class PromptQuarantine:
    """The suspect parts as one gateway knows them.

    Attributes:
        gateway_count: Number of gateways that share the trials.
        on_held: Called with (part, `Suspect`, prompt's parts) when a quarantine begins.
        on_released: Called with (part, `Suspect`) when a response that began ends a quarantine.
    """

    __slots__ = (
        "gateway_count",
        "on_held",
        "on_released",
        "_suspect_by_part",
        "_began_at_by_part",
        "_reported_at_by_part",
        "_rng",
    )

    def __init__(self, rng: random.Random, on_held=None, on_released=None):
        self.gateway_count = 1
        self.on_held = on_held or (lambda part, suspect, parts: None)
        self.on_released = on_released or (lambda part, suspect: None)
        self._suspect_by_part = collections.OrderedDict()
        self._began_at_by_part = collections.OrderedDict()
        # Time of the last report of a beginning, of this or another gateway.
        self._reported_at_by_part = {}
        self._rng = rng

    # Decisions about requests.

    def find_held(self, parts: list, now: float) -> tuple[str, float] | None:
        """Returns the part that keeps a prompt from being sent, or None.

        Args:
            parts: Keys of the prompt's parts.
            now: Current time in seconds.

        Returns:
            The part and the seconds until its quarantine is expected to end. A prompt that is
            permitted as a trial delays the next trial at this gateway.
        """
        trials = []
        for part in parts:
            suspect = self._suspect_by_part.get(part)
            if suspect is None or suspect.held_since is None:
                continue
            ends_at = max(suspect.held_until, suspect.trial_at)
            if now < ends_at:
                return part, ends_at - now
            trials.append(suspect)
        for suspect in trials:
            suspect.trial_at = now + TRIAL_RESULT_SECONDS
        return None

    def held_count(self) -> int:
        """Returns the number of parts in quarantine."""
        return sum(each.held_since is not None for each in self._suspect_by_part.values())

    def held_crashes(self) -> list:
        """Returns the `Report` of each crash that is evidence against a part in quarantine."""
        crashes = []
        for suspect in self._suspect_by_part.values():
            if suspect.held_since is not None:
                crashes.extend(suspect.crashes)
        return crashes

    # Reports.

    def record_beginning(self, parts: list, now: float) -> list:
        """Records that an engine of this gateway has begun to answer a prompt.

        Args:
            parts: Keys of the prompt's parts.
            now: Current time in seconds.

        Returns:
            Suspect parts whose beginning the other gateways should be told.
        """
        due_parts = []
        for part in parts[:MAX_PROMPT_PARTS]:
            if part in self._suspect_by_part:
                reported_at = self._reported_at_by_part.get(part)
                if reported_at is None or now - reported_at >= SOUND_REPORT_SECONDS:
                    due_parts.append(part)
                    self._reported_at_by_part[part] = now
            self._record_sound(part, now)
        return due_parts

    def apply_report(self, report: Report, now: float) -> list:
        """Applies a report of a crash of this gateway, or any report of another one.

        Args:
            report: The report.
            now: Current time in seconds.

        Returns:
            Parts that became suspect, for which only this gateway may know that a response with
            them began, as pairs of the part and that time.
        """
        parts = report.parts[:MAX_PROMPT_PARTS]
        if report.outcome == Outcome.BEGAN:
            for part in parts:
                self._reported_at_by_part[part] = now
                self._record_sound(part, report.at)
            return []
        if now - report.at > EVIDENCE_SECONDS:
            return []
        # A crash that a part in quarantine explains says nothing about the other parts.
        held_parts = [part for part in parts if self._is_held(part)]
        new_parts = [part for part in parts if part not in self._suspect_by_part]
        for part in held_parts or parts:
            # Reports that came through different hubs may arrive in another order.
            if self._began_at_by_part.get(part, report.at) <= report.at:
                self._find_or_add(part).add_crash(report, now)
        if held_parts:
            for part in held_parts:
                self._end_trial(part, parts, report.at, now)
            return []
        culprit = self._find_culprit(parts, now)
        if culprit is not None:
            self._hold(culprit, parts, now)
        return self._known_beginnings(new_parts, now)

    def sweep(self, now: float):
        """Forgets parts for which there was no report or quarantine for a while."""
        for part, suspect in list(self._suspect_by_part.items()):
            if now - max(suspect.changed_at, suspect.held_until) > EVIDENCE_SECONDS:
                del self._suspect_by_part[part]
        for part, reported_at in list(self._reported_at_by_part.items()):
            if now - reported_at > SOUND_SECONDS:
                del self._reported_at_by_part[part]

    def _is_held(self, part):
        suspect = self._suspect_by_part.get(part)
        return suspect is not None and suspect.held_since is not None

    def _find_or_add(self, part):
        suspect = self._suspect_by_part.get(part)
        if suspect is None:
            if len(self._suspect_by_part) >= MAX_SUSPECTS:
                self._suspect_by_part.popitem(last=False)
            suspect = self._suspect_by_part[part] = Suspect()
        self._suspect_by_part.move_to_end(part)
        return suspect

    def _record_sound(self, part, at):
        """Records that a response with a part began at a time, which refutes earlier crashes."""
        known_at = self._began_at_by_part.get(part)
        if known_at is None or at > known_at:
            self._began_at_by_part[part] = at
            self._began_at_by_part.move_to_end(part)
            if len(self._began_at_by_part) > MAX_SOUND_PARTS:
                self._began_at_by_part.popitem(last=False)
        suspect = self._suspect_by_part.get(part)
        if suspect is None:
            return
        suspect.crashes = [crash for crash in suspect.crashes if crash.at > at]
        if suspect.crashes:
            return
        del self._suspect_by_part[part]
        if suspect.held_since is not None:
            self.on_released(part, suspect)

    def _known_beginnings(self, parts, now):
        beginnings = []
        for part in parts:
            began_at = self._began_at_by_part.get(part)
            is_recent = began_at is not None and now - began_at < SOUND_SECONDS
            if is_recent and part not in self._reported_at_by_part:
                self._reported_at_by_part[part] = now
                beginnings.append((part, began_at))
        return beginnings

    def _find_culprit(self, parts, now):
        """Returns the part that most probably crashed an engine, or None if that is not certain."""
        culprit, best_rank = None, None
        for position, part in enumerate(parts[:-1]):
            suspect = self._suspect_by_part.get(part)
            if suspect is None:
                continue
            began_at = self._began_at_by_part.get(part)
            is_sound = began_at is not None and suspect.crashes[0].at - began_at < SOUND_SECONDS
            needed_weight = SOUND_PART_WEIGHT if is_sound else SHARED_PART_WEIGHT
            weight = suspect.weight()
            if weight < needed_weight or suspect.request_count() < SHARED_PART_REQUESTS:
                continue
            # Of parts that explain the same crashes, the last one is the most specific.
            rank = (not is_sound, weight, position)
            if best_rank is None or rank > best_rank:
                culprit, best_rank = part, rank
        if culprit is not None:
            return culprit
        last_suspect = self._suspect_by_part.get(parts[-1])
        if last_suspect is not None and (
            last_suspect.answering_engine_count() >= LAST_PART_ENGINES
        ):
            return parts[-1]
        return None

    def _hold(self, part, parts, now):
        suspect = self._suspect_by_part[part]
        length_s = min(QUARANTINE_SECONDS * 2**suspect.quarantine_count, QUARANTINE_MAX_SECONDS)
        suspect.quarantine_count += 1
        suspect.held_since = now
        suspect.held_until = now + length_s
        spread_s = TRIAL_SECONDS * max(1, self.gateway_count)
        suspect.trial_at = suspect.held_until + self._rng.random() * spread_s
        self.on_held(part, suspect, parts)

    def _end_trial(self, part, parts, crashed_at, now):
        """Holds a part again if a crash after its quarantine shows that the trial failed."""
        if crashed_at >= self._suspect_by_part[part].held_until:
            self._hold(part, parts, now)
