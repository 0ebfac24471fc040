"""Admission of new streams: which ones wait at their gateway while all engines read other prompts.

The most urgent streams of a service never wait here; engines order them by urgency. Others wait
until they have little more time left than the service's shortest latency objective gives, so that
they neither fill the engines' memory nor are bound to an engine that may be lost before it gets to
them. If all routes of a service have the same objective, or all requests the same priority, none
waits.

Gateways decide by the same reports, which are a few hundred milliseconds old. While few engines
have room, a waiting stream is therefore placed by chance, at a rate that grows with their number.
"""

import enum
import random

from chiveswitch.core import placement, rank

# Expected wait in seconds for the prompts before it and for memory up to which an engine has room
# for another prompt. It is the time of a prompt of usual length, so that no engine becomes idle.
ROOM_SECONDS = 1.0
# Share of the engines with room from which on a stream is placed at once.
AMPLE_SHARE = 0.25
# Multiple of the service's shortest latency objective that a stream has left when it stops waiting.
KEPT_FACTOR = 1.5
# Bounds in seconds of the random time after which a waiting stream looks for room again. Reports of
# other gateways' runs arrive within about this time.
MIN_POLL_SECONDS, MAX_POLL_SECONDS = 0.05, 0.15
# Largest number of streams that wait for one service at a gateway; the last ones by rank are
# refused beyond.
MAX_WAITING = 64
# Largest number of accounts whose turns are remembered for one service.
MAX_ACCOUNTS = 1024
# Share of occupied places below which no stream is refused.
LEAST_OCCUPIED_SHARE = 0.5
# Bounds in seconds of the time after which refused streams may return, and the share of it over
# which they are spread.
MIN_RETRY_AFTER_SECONDS, MAX_RETRY_AFTER_SECONDS = 0.5, 8.0
RETRY_SPREAD = 1.0


class Verdict(enum.Enum):
    """What happens to a stream that is not yet at an engine.

    PLACE: it goes to an engine now.
    WAIT: it looks for room again after `Decision.seconds`.
    REFUSE: it is refused; its caller may return after `Decision.seconds`.
    """

    PLACE = enum.auto()
    WAIT = enum.auto()
    REFUSE = enum.auto()


class Decision:
    """Result of `StreamQueue.decide`.

    Attributes:
        verdict: A `Verdict`.
        seconds: See `Verdict`.
        reason: Cause for the log.
        targets: Targets among which the stream is placed.
    """

    __slots__ = ("verdict", "seconds", "reason", "targets")

    def __init__(self, verdict: Verdict, seconds=0.0, reason="", targets=()):
        self.verdict = verdict
        self.seconds = seconds
        self.reason = reason
        self.targets = targets


class Candidate:
    """A stream that is to be placed.

    Attributes:
        stream_id: Key of the stream, unique at the gateway.
        account: Name of its client account, or an empty string.
        rank: Its `rank.Rank`.
        tokens: Tokens of its prompt and the longest possible response.
        deadline: Time in seconds by which its response must be complete.
        least_s: Least seconds from its placement to the end of its response.
        waiting_since: Time in seconds at which it began to wait, or None.
    """

    __slots__ = (
        "stream_id",
        "account",
        "rank",
        "tokens",
        "deadline",
        "least_s",
        "waiting_since",
    )

    def __init__(self, **fields):
        self.waiting_since = None
        for name, value in fields.items():
            setattr(self, name, value)

    def is_due(self, order, now: float) -> bool:
        """Returns whether it waits no longer, because it has no slack left.

        Args:
            order: `routing.ServiceOrder` of the service.
            now: Current time in seconds.
        """
        return now >= self.rank.objective_at - KEPT_FACTOR * order.shortest_objective_s


class StreamQueue:
    """New streams of one service that wait at a gateway.

    Attributes:
        candidate_by_id: Waiting `Candidate`s by stream id.
    """

    __slots__ = ("candidate_by_id", "_served_tokens_by_account", "_rng")

    def __init__(self, rng: random.Random):
        self.candidate_by_id = {}
        self._served_tokens_by_account = {}
        self._rng = rng

    def leave(self, stream_id: str):
        """Removes a stream that was placed or refused or whose caller left."""
        self.candidate_by_id.pop(stream_id, None)
        if not self.candidate_by_id:
            self._served_tokens_by_account.clear()

    def decide(
        self,
        candidate: Candidate,
        order,
        targets,
        loads,
        engine,
        now,
        speed_table=placement.NO_SPEEDS,
    ) -> Decision:
        """Decides about a new stream; puts it into the queue or takes it out.

        Args:
            candidate: The stream.
            order: `routing.ServiceOrder` of the service.
            targets: Engines that may be chosen.
            loads: Result of `placement.RunTable.load_by_target`.
            engine: `routing.Engine` of the service.
            now: Current time in seconds.
            speed_table: `speeds.SpeedTable` with the speeds of the engines.
        """
        place = Decision(Verdict.PLACE, targets=targets)
        priorities = order.priorities
        if len(priorities) < 2 or not targets:
            self.leave(candidate.stream_id)
            return place
        # An engine that was just lost has no load, and is no room.
        sound = placement.preferred_targets(targets, now)
        wait_by_id = {
            each.target_id: placement.engine_wait_s(
                each, loads, engine, candidate.tokens, now, speed_table
            )
            for each in sound
        }
        best_wait_s = min(wait_by_id.values())
        left_s = candidate.deadline - now
        running = sum(placement.running_requests(each, loads, now) for each in targets)
        may_refuse = running >= LEAST_OCCUPIED_SHARE * engine.slots * len(targets)
        if may_refuse and left_s < candidate.least_s + best_wait_s:
            reason = f"needs {candidate.least_s + best_wait_s:.3f} s of {left_s:.3f} s"
            return self._refuse(candidate, priorities, best_wait_s, reason)
        if not candidate.rank.level(priorities):
            return place
        with_room = [each for each in sound if wait_by_id[each.target_id] <= ROOM_SECONDS]
        is_full = len(self.candidate_by_id) > MAX_WAITING
        if may_refuse and is_full and self._is_last(candidate):
            reason = f"{MAX_WAITING} streams wait already"
            return self._refuse(candidate, priorities, best_wait_s, reason)
        is_due = is_full or candidate.is_due(order, now)
        chance = len(with_room) / (AMPLE_SHARE * len(sound))
        if is_due or (self._is_next(candidate) and self._rng.random() < chance):
            self._record_turn(candidate)
            self.leave(candidate.stream_id)
            return Decision(Verdict.PLACE, targets=targets if is_due else with_room)
        if candidate.waiting_since is None:
            candidate.waiting_since = now
        self.candidate_by_id[candidate.stream_id] = candidate
        return Decision(Verdict.WAIT, self._rng.uniform(MIN_POLL_SECONDS, MAX_POLL_SECONDS))

    def _refuse(self, candidate, priorities, best_wait_s, reason):
        self.leave(candidate.stream_id)
        seconds = self.retry_after_s(candidate.rank, priorities, best_wait_s)
        return Decision(Verdict.REFUSE, seconds, reason)

    def retry_after_s(self, request_rank: rank.Rank, priorities: tuple, wait_s: float) -> float:
        """Returns the seconds after which a refused caller may return, urgent ones first.

        Args:
            request_rank: Rank of the refused request.
            priorities: Pairs of priorities of the service's requests, the most urgent one first.
            wait_s: Expected wait in seconds at the best engine.
        """
        base_s = max(MIN_RETRY_AFTER_SECONDS, wait_s) * (1 + request_rank.level(priorities))
        return min(base_s, MAX_RETRY_AFTER_SECONDS) * (1 + RETRY_SPREAD * self._rng.random())

    def _order(self, candidate):
        """Returns the sort key of a waiting stream.

        Among streams of equal priority the account that has had the fewest tokens comes first.
        """
        priorities, is_new, objective_at = candidate.rank.key()
        served = self._served_tokens_by_account.get(candidate.account, 0)
        return priorities, is_new, served, objective_at

    def _is_next(self, candidate):
        own = self._order(candidate)
        return all(own <= self._order(each) for each in self.candidate_by_id.values())

    def _is_last(self, candidate):
        own = self._order(candidate)
        return all(own >= self._order(each) for each in self.candidate_by_id.values())

    def _record_turn(self, candidate):
        if not self.candidate_by_id:
            return
        served = self._served_tokens_by_account
        if candidate.account not in served and len(served) >= MAX_ACCOUNTS:
            del served[next(iter(served))]
        served[candidate.account] = served.get(candidate.account, 0) + candidate.tokens
