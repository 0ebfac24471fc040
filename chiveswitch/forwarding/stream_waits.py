"""Waits of new streams at their gateway until an engine has room for their prompt."""

import asyncio

from chiveswitch.core import clock, stream_admission
from chiveswitch.forwarding import pauses

PLACE = stream_admission.Decision(stream_admission.Verdict.PLACE)


class StreamWait:
    """The wait of one stream, which consists of steps between which its caller may leave.

    Attributes:
        candidate: Its `stream_admission.Candidate`, or None before the first step.
        waited_s: Seconds for which it waited before it was placed.
    """

    __slots__ = ("candidate", "waited_s", "_stream", "_preferred_ids")

    def __init__(self, stream):
        self.candidate = None
        self.waited_s = 0.0
        self._stream = stream
        self._preferred_ids = frozenset()

    def _needs_decision(self):
        admitted = self._stream.admitted
        if admitted.service.engine is None or len(admitted.service_order.priorities) < 2:
            return False
        # A caller that has a part of its stream waits for the next event.
        return not admitted.rank.is_begun and admitted.send_count == 0

    def _queue(self):
        return self._stream.forwarder.stream_queue_of(self._stream.admitted.service.name)

    def _make_candidate(self, targets):
        admitted = self._stream.admitted
        return stream_admission.Candidate(
            stream_id=admitted.caller.request_id,
            account=admitted.account or "",
            rank=admitted.rank,
            tokens=self._stream.run.tokens,
            deadline=admitted.deadline,
            least_s=self._stream.least_remaining_s(targets),
        )

    async def take_step(self) -> stream_admission.Decision:
        """Decides whether the stream is placed now; if not, waits a moment.

        Returns:
            The `stream_admission.Decision`; after WAIT the next step follows at once, once the
            caller has checked what else may end the request.
        """
        if not self._needs_decision():
            self.leave()
            return PLACE
        forwarder, admitted, now = self._stream.forwarder, self._stream.admitted, clock.now()
        ready = [
            each
            for each in forwarder.ready_targets(admitted)
            if each.target_id not in self._stream.excluded_ids
        ]
        if self.candidate is None:
            self.candidate = self._make_candidate(ready)
        decision = self._queue().decide(
            self.candidate,
            admitted.service_order,
            pauses.without_pause(ready),
            forwarder.recent_loads(now),
            admitted.service.engine,
            now,
            forwarder.speeds,
        )
        if decision.verdict == stream_admission.Verdict.WAIT:
            if self.candidate.waiting_since == now:
                self._log("stream_waits", now)
            await asyncio.sleep(decision.seconds)
            return decision
        if decision.verdict == stream_admission.Verdict.PLACE:
            self._preferred_ids = frozenset(each.target_id for each in decision.targets)
        if self.candidate.waiting_since is not None:
            waited_s = now - self.candidate.waiting_since
            self.candidate.waiting_since = None
            self.waited_s += waited_s
            forwarder.metrics.observe("stream_wait", waited_s)
            self._log(
                "stream_waited",
                now,
                outcome=decision.verdict.name.lower(),
                seconds=waited_s,
                with_room=len(decision.targets),
                ready=len(ready),
            )
        return decision

    def _log(self, event, now, **details):
        admitted = self._stream.admitted
        self._stream.forwarder.log.line(
            "gateway",
            event,
            request=admitted.caller.request_id,
            priority=admitted.priority,
            route_priority=admitted.route.priority,
            waiting=len(self._queue().candidate_by_id),
            objective_in=admitted.rank.objective_at - now,
            **details,
            left=admitted.remaining_s(),
        )

    def preferred(self, targets: list) -> list:
        """Returns those of some targets that had room, or all if none of them had."""
        if self._stream.admitted.send_count:
            return targets
        return [each for each in targets if each.target_id in self._preferred_ids] or targets

    def spread_return(self, seconds: float) -> float:
        """Returns the seconds after which the refused caller may return.

        Args:
            seconds: Time that applies if all requests to the service have the same priority.
        """
        admitted = self._stream.admitted
        priorities = admitted.service_order.priorities
        if len(priorities) < 2:
            return seconds
        return self._queue().retry_after_s(admitted.rank, priorities, seconds)

    def leave(self):
        """Ends the wait, also when the caller has left."""
        if self.candidate is not None:
            self._queue().leave(self.candidate.stream_id)
