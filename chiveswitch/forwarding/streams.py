"""Forwarding of event streams with failover to another engine within the same response.

The engine sends a copy of the run's memory to an engine in another availability zone as it grows.
After the loss of the engine the run continues from the copy, with the event after the last one that
the caller received. Without a copy another engine reads the prompt again.
"""

import asyncio
import enum

from chiveswitch.core import (
    clock,
    codes,
    detector,
    events,
    placement,
    prompt_quarantine,
    request_identity,
    routing,
    stream_admission,
)
from chiveswitch.forwarding import channel as channels
from chiveswitch.forwarding import copies, pauses, stream_waits
from chiveswitch.forwarding import forwarder as forwarding

# Silence in seconds before the first event after which a liveness probe checks that the engine
# still accepts connections. A live engine may need more than a second to read a long prompt.
PROBE_AFTER_SILENCE_SECONDS = 0.4
# Longest wait in seconds for the connection of a liveness probe.
PROBE_TIMEOUT_SECONDS = 0.25
# Share of the time until a failover after which the engine is probed, so that the result is known
# when the failover is due.
PROBE_SHARE = 0.6
# Share of the route's gap objective after which a silent stream fails over to its copy, even if its
# engine accepts connections. The rest is needed to connect and to read what the copy lacks.
FAILOVER_SHARE = 0.75
# Multiple of the gap objective that applies instead to a stream without a copy, and to the last run
# that the route permits. This failover costs more, because another engine has to read the whole
# prompt again, or the caller has to return.
FAILOVER_FACTOR_WITHOUT_COPY = 3.0
# Multiple of the gap objective from which on a pause is evidence against an engine's version.
FAILED_PAUSE_FACTOR = 3.0
# Gap objective in seconds of routes that state none.
DEFAULT_GAP_OBJECTIVE_SECONDS = 1.0
# Equal requests of one client account beyond this number are not resumed from their copies, because
# the gateway of each has to be asked.
MAX_EQUAL_RUNS = 4
# Events after which a crash of the engine says nothing about the prompt any more.
BEGUN_EVENTS = 3
# Rejections by engines after which a stream is refused. Each rejection costs a round trip. Each
# round in which all engines were tried counts as one, too.
MAX_REJECTIONS = 4
# Share of the latency objective of the first event, and of the remaining time, for which a stream
# waits for a grant.
GRANT_WAIT_SHARE = 0.4
# Retry-After in seconds for a refused stream: about the time until a running stream ends.
REJECTED_RETRY_AFTER_SECONDS = 1.0


class AttemptEnd(enum.Enum):
    """How the attempt to serve a stream at one engine ended.

    DELIVERED: the caller received the whole response.
    REJECTED: the engine stated that it did not run the request.
    SILENT: the engine sent no event in time.
    UNREACHABLE: the engine sent no event and no longer accepts connections.
    DISCONNECTED: the connection to the engine ended.
    FAULTY: the engine sent something else than the expected events.
    EXPIRED: the caller's deadline passed.
    QUARANTINED: the prompt was found to crash engines before this one sent an event.
    """

    DELIVERED = enum.auto()
    REJECTED = enum.auto()
    SILENT = enum.auto()
    UNREACHABLE = enum.auto()
    DISCONNECTED = enum.auto()
    FAULTY = enum.auto()
    EXPIRED = enum.auto()
    QUARANTINED = enum.auto()


class ForwardedStream:
    """One caller's stream while it is forwarded.

    Attributes:
        forwarder: The `forwarder.Forwarder`.
        admitted: The `forwarder.AdmittedRequest`.
        run: The `placement.Run`.
        buffer: `events.EventBuffer` with the caller's position in the stream.
        delivered_count: Number of events written to the caller.
        excluded_ids: Ids of targets that failed or rejected the stream.
        resumes_from_copy: Whether the next attempt continues from the copy of the run's memory.
        max_gap_s: Longest pause in seconds between two events that meets the route's objective.
        first_event_s: Seconds from the request's arrival to the first event, or None.
        longest_pause_s: Longest pause in seconds between two events so far.
        delivered_at: Time of the last delivery, in seconds of `core.clock`.
        is_delivered: Whether the caller has the whole response.
        is_last_run: Whether the present attempt is the last one that the route permits.
        copy_manager: `copies.CopyManager` of the run.
        attempt_event_count: Number of events that the present engine has sent.
        channel: Channel of the present attempt, or None.
        sent_at: Time at which the request of the present attempt was sent, in seconds of
            `core.clock`.
        quarantined_part: Part for which the present attempt is given up, or an empty string.
        reads_at_once: Whether the engine of the present attempt has to read the whole prompt and
            no other one was known to be queued there.
        wait: `stream_waits.StreamWait` until the first attempt.
        limited_for_s: Seconds after which the limits of the targets are expected to permit the
            stream, 0 if they did not prevent the latest selection.
        has_failed: Whether the present attempt is counted as a failure of the target's version.
    """

    __slots__ = (
        "forwarder",
        "admitted",
        "run",
        "buffer",
        "delivered_count",
        "excluded_ids",
        "resumes_from_copy",
        "max_gap_s",
        "first_event_s",
        "longest_pause_s",
        "delivered_at",
        "is_delivered",
        "is_last_run",
        "copy_manager",
        "attempt_event_count",
        "channel",
        "sent_at",
        "quarantined_part",
        "reads_at_once",
        "wait",
        "limited_for_s",
        "has_failed",
    )

    def __init__(self, forwarder, admitted):
        caller = admitted.caller
        now = clock.now()
        self.forwarder = forwarder
        self.admitted = admitted
        tokens = caller.prompt_tokens + caller.max_response_tokens
        self.run = placement.Run(
            caller.request_id,
            caller.session,
            tokens,
            caller.prompt_tokens,
            forwarder.node_name,
            now,
        )
        engine = admitted.service.engine
        if engine is not None and engine.copies and admitted.route.resumable:
            self.run.request_digest = self._identify_request().digest()
        self.buffer = events.EventBuffer(caller.last_event_id, budget=forwarder.pool.pacer.budget)
        self.delivered_count = 0
        self.excluded_ids = set()
        self.resumes_from_copy = False
        self.max_gap_s = admitted.route.gap_objective_s or DEFAULT_GAP_OBJECTIVE_SECONDS
        self.first_event_s = None
        self.longest_pause_s = 0.0
        self.delivered_at = now
        self.is_delivered = False
        self.is_last_run = False
        self.copy_manager = copies.CopyManager(forwarder, admitted, self.run, self.publish_run)
        self.attempt_event_count = 0
        self.channel = None
        self.sent_at = now
        self.quarantined_part = ""
        self.reads_at_once = False
        self.wait = stream_waits.StreamWait(self)
        self.limited_for_s = 0.0
        self.has_failed = False

    def _identify_request(self):
        admitted, request, caller = self.admitted, self.admitted.request, self.admitted.caller
        return request_identity.RequestIdentity(
            account=admitted.account,
            route=admitted.route.name,
            service=admitted.service.name,
            method=request.method,
            request_target=request.request_target,
            model=caller.model,
            prompt_parts=caller.prompt_parts,
            prompt_tokens=caller.prompt_tokens,
            max_response_tokens=caller.max_response_tokens,
            headers=self.forwarder.dialect.identity_headers(caller),
            body=request.body,
        )

    @property
    def is_past_start(self) -> bool:
        """Whether some engine has sent the first events of the response without a crash."""
        return self.buffer.last_id is not None and self.buffer.last_id + 1 >= BEGUN_EVENTS

    def cancel_start(self, part: str):
        """Gives up the present attempt if its prompt contains a part that crashes engines."""
        if part in self.admitted.parts and not self.is_past_start:
            self.quarantined_part = part
            self.channel.wake_waiter()

    def _least_usual_s(self):
        """Returns the least seconds in which an engine of usual speed can finish.

        The engine does not hold the run's memory.
        """
        admitted, engine = self.admitted, self.admitted.service.engine
        caller = admitted.caller
        if engine is None:
            return 0.0
        pace = self.forwarder.pace_of(admitted.service.name)
        # The prompt of a caller that returns may still be cached.
        least_s = 0.0
        if caller.last_event_id is None:
            least_s = pace.least_prefill_s(caller.prompt_tokens)
        if engine.event_tokens:
            max_events = caller.max_response_tokens / engine.event_tokens
            sent_events = 0 if self.buffer.last_id is None else self.buffer.last_id + 1
            least_s += pace.least_events_s(max_events, sent_events)
        return least_s

    def least_remaining_s(self, targets: list) -> float:
        """Returns the least seconds in which the fastest of some engines can finish.

        Args:
            targets: Engines without the run's memory.
        """
        speed_table, now = self.forwarder.speeds, clock.now()
        factors = [speed_table.factor(each.target_id, now) for each in targets]
        return self._least_usual_s() * min(factors, default=1.0)

    def targets_in_time(self, targets: list) -> list:
        """Returns the targets at which the stream can end before its deadline, or all if none."""
        least_s, remaining_s = self._least_usual_s(), self.admitted.remaining_s()
        speed_table, now = self.forwarder.speeds, clock.now()
        found = []
        for target in targets:
            if least_s * speed_table.factor(target.target_id, now) <= remaining_s:
                found.append(target)
        return found or targets

    def observe_pace(self):
        """Adds the delivered stream to the service's pace, if one engine served all of it."""
        admitted, engine = self.admitted, self.admitted.service.engine
        caller = admitted.caller
        is_whole = admitted.send_count == 1 and caller.last_event_id is None
        if engine is None or not engine.event_tokens or not is_whole or self.delivered_count < 2:
            return
        max_events = caller.max_response_tokens / engine.event_tokens
        if not max_events:
            return
        first_event_at = admitted.request.received_at + self.first_event_s
        self.forwarder.pace_of(admitted.service.name).observe(
            caller.prompt_tokens,
            max(0.0, self.first_event_s - self.wait.waited_s),
            (self.delivered_at - first_event_at) / (self.delivered_count - 1),
            self.delivered_count / max_events,
            clock.now(),
            self.forwarder.speeds.factor(self.run.target_id, clock.now()),
        )

    async def adopt_run(self):
        """Continues the run of the caller's earlier attempt, if its copy can be used.

        If several runs of equal requests may be the caller's own, none is continued, because
        nothing tells which one the caller has read.
        """
        forwarder, engine = self.forwarder, self.admitted.service.engine
        if self.admitted.caller.last_event_id is None or not self.run.request_digest:
            return
        run_table, digest = forwarder.run_table, self.run.request_digest
        known_runs = run_table.find_undelivered(digest)
        if len(known_runs) > MAX_EQUAL_RUNS:
            return
        statuses = await asyncio.gather(*(self._fetch_status(each) for each in known_runs))
        status_by_id = {}
        for run, status in zip(known_runs, statuses, strict=True):
            if self._may_have_read(status):
                status_by_id[run.run_id] = status
        if len(status_by_id) != 1:
            return
        ((run_id, status),) = status_by_id.items()
        # Another stream may have adopted the run meanwhile.
        known_run = next(
            (run for run in run_table.find_undelivered(digest) if run.run_id == run_id), None
        )
        if known_run is None or not status.is_abandoned:
            return
        resumable = run_table.find_resumable(digest, engine.copy_kept_s, clock.now())
        # A run that cannot be continued is over as well: the response goes on in a new one.
        known_run.ended = True
        known_run.interrupted = False
        known_run.node = forwarder.node_name
        known_run.sequence += 1
        forwarder.report_run(known_run)
        if known_run not in resumable or not self.copy_manager.is_copy_current(known_run):
            return
        self.run.run_id = known_run.run_id
        self.run.sequence = known_run.sequence
        self.run.target_id = known_run.target_id
        self.run.copy_target_id = known_run.copy_target_id
        self.run.copy_reference = known_run.copy_reference
        self.run.copied_at = known_run.copied_at
        self.resumes_from_copy = True

    async def _fetch_status(self, run) -> placement.RunStatus:
        """Returns the `placement.RunStatus` of a run."""
        forwarder = self.forwarder
        if run.node == forwarder.node_name:
            status = forwarder.run_status(run.run_id)
        else:
            status = await forwarder.fetch_run_status(run)
        if status.is_abandoned is None and run.interrupted:
            # The gateway has reported the interruption before, or the hubs have lost it as well.
            status.is_abandoned = True
        return status

    def _may_have_read(self, status) -> bool:
        """Returns whether this caller may be the one that has lost a run."""
        if status.is_abandoned is False:
            return False
        last_id = status.last_event_id
        return last_id is None or self.admitted.caller.last_event_id <= last_id

    def publish_run(self):
        """Stores the run in this gateway's table and reports it to other gateways."""
        run = self.run
        run.sequence += 1
        run.changed_at = clock.now()
        self.forwarder.run_table.put(run)
        self.forwarder.report_run(run)

    async def select_target(self):
        """Selects the next target and waits for its grant if it has a limit.

        Returns:
            (target, whether it holds the copy), or (None, False) without a usable target.
        """
        forwarder = self.forwarder
        self.reads_at_once = False
        if self.resumes_from_copy:
            self.resumes_from_copy = False
            holder = self.copy_manager.find_holder()
            is_usable = holder is not None and not pauses.is_paused(holder)
            is_usable = is_usable and forwarder.versions.may_resume(
                self.admitted.service.name, holder.report.version
            )
            if is_usable and holder.target_id not in self.excluded_ids:
                granted = await self._wait_for_grant(holder, [holder], lambda targets: None)
                if granted is not None:
                    return granted, True
        targets = [
            each
            for each in pauses.without_pause(forwarder.ready_targets(self.admitted))
            if each.target_id not in self.excluded_ids
        ]
        targets = self.wait.preferred(self.targets_in_time(targets))
        loads = forwarder.run_table.load_by_target(clock.now(), forwarder.speeds)

        def choose(candidates):
            return self._choose_target(candidates, loads)

        target = await self._wait_for_grant(choose(targets), targets, choose)
        if target is not None:
            _, _, unprocessed = loads.get(target.target_id, (0, 0, 0))
            self.reads_at_once = unprocessed == 0 and self.buffer.last_id is None
        return target, False

    def _choose_target(self, targets, loads):
        """Returns the best one of some targets, or None.

        Args:
            targets: Targets that may be chosen.
            loads: Result of `placement.RunTable.load_by_target`.
        """
        forwarder, now = self.forwarder, clock.now()
        engine = self.admitted.service.engine
        if engine is None:
            return placement.choose_target(
                targets, forwarder.zone, now, forwarder.rng, forwarder.speeds
            )
        session = self.run.session or self.admitted.caller.request_id
        return placement.choose_engine(
            targets,
            loads,
            engine,
            self.run.tokens,
            session,
            now,
            forwarder.speeds,
            self.admitted.caller.prompt_tokens,
        )

    async def _wait_for_grant(self, chosen, targets, choose):
        """Returns the chosen target, or another one if its limit does not permit the stream.

        Sets `limited_for_s`.

        Args:
            chosen: Preferred one of the targets, or None.
            targets: Targets that may be chosen.
            choose: Function that returns the best one of some targets, or None.
        """
        self.limited_for_s = 0.0
        admitted = self.admitted
        limiter = self.forwarder.limiter
        if chosen is None or not limiter.is_limited(chosen):
            return chosen
        is_resumed = self.buffer.last_id is not None
        if is_resumed:
            max_wait_s = max(0.0, self.max_gap_s - (clock.now() - self.delivered_at))
        else:
            max_wait_s = GRANT_WAIT_SHARE * admitted.route.objective_s
        max_wait_s = min(max_wait_s, GRANT_WAIT_SHARE * admitted.remaining_s())
        target, self.limited_for_s = await limiter.select_granted(
            admitted, chosen, targets, choose, max_wait_s, is_resumed
        )
        return target

    def estimate_remaining_s(self) -> float:
        """Returns the seconds until the stream ends, estimated from its event rate so far."""
        engine = self.admitted.service.engine
        if engine is None or not engine.event_tokens or self.delivered_count < 2:
            return self.admitted.remaining_s()
        events_left = (
            self.admitted.caller.max_response_tokens / engine.event_tokens - self.delivered_count
        )
        since_first = self.delivered_at - self.admitted.request.received_at - self.first_event_s
        return max(0.0, events_left) * since_first / (self.delivered_count - 1)

    def is_unwanted_at(self, target) -> bool:
        """Returns whether the stream must not be sent to a target any more."""
        return self.forwarder.must_not_send(self.admitted, target)

    async def open_channel(self, target, from_copy) -> channels.Channel | None:
        """Connects to a target and sends the request.

        Args:
            target: The target.
            from_copy: Whether the target continues the run from its copy.

        Returns:
            The channel, or None if the target cannot be reached or wants no requests, or the
            process stops.
        """
        forwarder, admitted = self.forwarder, self.admitted
        channel = await forwarder.pool.acquire(
            target.target_id,
            target.address,
            True,
            admitted.remaining_s(),
            admitted.caller.request_id,
        )
        is_refused = not admitted.may_have_run and forwarder.must_refuse(admitted)
        if channel is None or is_refused or self.is_unwanted_at(target):
            if channel is not None:
                channel.abort()
            return None
        options = forwarder.build_send_options(admitted, target)
        options.last_event_id = self.buffer.last_id
        if from_copy:
            options.resume_reference = self.run.copy_reference
        options.copy_address = self.copy_manager.choose_holder(target)
        self.run.target_id = target.target_id
        self.run.run_id = admitted.caller.request_id
        self.run.unprocessed_tokens = 0 if from_copy else admitted.caller.prompt_tokens
        self.run.queued_at = clock.now()
        self.run.speed = None
        self.publish_run()
        admitted.send_count += 1
        self.sent_at = clock.now()
        self.buffer.restart()
        forwarder.record_sent(
            admitted,
            target,
            from_copy=int(from_copy),
            copy=self.run.copy_target_id,
            after_event=self.buffer.last_id if self.buffer.last_id is not None else -1,
            prompt=admitted.caller.prompt_tokens,
            longest=admitted.caller.max_response_tokens,
        )
        channel.send(
            forwarder.dialect.encode_request(admitted.request, admitted.caller, options),
            forwarder.dialect.request_id_header(admitted.caller),
            is_stream=True,
        )
        return channel

    async def relay_events(self, target, channel) -> tuple[AttemptEnd, str]:
        """Forwards events until the stream ends or this engine is given up.

        Returns:
            How the attempt ended, and the reason for the log.
        """
        forwarder, admitted = self.forwarder, self.admitted
        dialect, responder = forwarder.dialect, admitted.responder
        may_have_run_before = admitted.may_have_run
        admitted.may_have_run = True
        last_arrival_at = clock.now()
        probe = None
        copy_task = None
        probe_succeeded = False
        got_events = False
        accepted = False
        interval_estimate = forwarder.detector.interval_estimate(target.target_id, detector.DECODE)
        self.channel = channel
        self.attempt_event_count = 0
        self.quarantined_part = ""
        self.has_failed = False
        self.forwarder.starting_streams.add(self)
        try:
            while True:
                response = channel.response
                if response.status and not accepted:
                    response_info = dialect.decode_response(response)
                    fault = forwarder.find_response_fault(channel, response_info)
                    if response.status != 200 or fault:
                        return await self.handle_other_response(
                            target, channel, may_have_run_before
                        )
                    accepted = True
                    forwarder.observe_response(target, response_info, self.sent_at)
                    is_first = not forwarder.speeds.is_known(target.target_id)
                    self.run.speed = forwarder.observe_load(target, response_info)
                    if self.run.speed is not None and is_first:
                        # The other gateways would learn it only at the end of the run.
                        self.publish_run()
                if accepted and response.body:
                    data, count = self.buffer.feed(channel.take_body())
                    now = clock.now()
                    if count:
                        if got_events:
                            interval_estimate.observe((now - last_arrival_at) / count)
                            self.record_pause(target, now - last_arrival_at)
                        else:
                            got_events = True
                            self.record_first_event(target, now)
                            self.run.unprocessed_tokens = 0
                            self.observe_read(target, now)
                        target.record_contact(now)
                        self.count_events(target, count)
                        self.deliver_events(channel, data, count)
                        if not await responder.wait_until_writable(admitted.remaining_s()):
                            return AttemptEnd.EXPIRED, "the caller did not read in time"
                        # Bytes of an incomplete event or a comment are no sign of progress. The
                        # time in which the caller did not read is no silence of the engine.
                        last_arrival_at = clock.now()
                        probe_succeeded = False
                    no_copy_pending = copy_task is None or copy_task.done()
                    if (
                        got_events
                        and no_copy_pending
                        and self.copy_manager.needs_copy(self.estimate_remaining_s(), now)
                    ):
                        copy_task = asyncio.get_running_loop().create_task(
                            self.copy_manager.request_copy(target)
                        )
                if self.buffer.fault:
                    return AttemptEnd.FAULTY, self.buffer.fault
                if response.complete and accepted:
                    return self.finish_response(target, channel)
                if channel.failure_reason:
                    return AttemptEnd.DISCONNECTED, channel.failure_reason
                if admitted.remaining_s() <= 0:
                    return AttemptEnd.EXPIRED, "the deadline has passed"
                if self.quarantined_part and not got_events:
                    return AttemptEnd.QUARANTINED, f"{self.quarantined_part} crashes engines"
                if probe is not None and probe.done():
                    if not probe.result():
                        return AttemptEnd.UNREACHABLE, "no longer accepts connections"
                    probe, probe_succeeded = None, True
                    if not got_events:
                        # The engine is alive; it is probed again after another interval.
                        last_arrival_at, probe_succeeded = clock.now(), False
                failover_after_s, probe_after_s = self.silence_limits(
                    interval_estimate, got_events, probe_succeeded
                )
                silence_s = clock.now() - last_arrival_at
                if silence_s >= failover_after_s:
                    return AttemptEnd.SILENT, f"silent for {silence_s:.3f} s"
                wait_s = min(failover_after_s - silence_s, admitted.remaining_s())
                if probe is None and not probe_succeeded:
                    wait_s = min(wait_s, max(0.0, probe_after_s - silence_s))
                    if wait_s <= 0:
                        probe = asyncio.get_running_loop().create_task(
                            self.probe_engine(target, channel)
                        )
                        continue
                await channel.wait_for_change(wait_s)
        finally:
            self.forwarder.starting_streams.discard(self)
            for task in (probe, copy_task):
                if task is not None:
                    task.cancel()

    def record_first_event(self, target, now: float):
        """Counts the time to the first event of a stream as evidence about the target's version."""
        is_start = not self.delivered_count and self.admitted.caller.last_event_id is None
        seconds = now - self.sent_at if is_start else None
        self.forwarder.record_answer(self.admitted, target, False, seconds)

    def record_pause(self, target, seconds: float):
        """Counts a pause of the engine as evidence if it is a failure to the caller."""
        if seconds > FAILED_PAUSE_FACTOR * self.max_gap_s:
            self.record_failure(target)

    def record_end(self, target, end: AttemptEnd):
        """Counts the end of an attempt as evidence about the target's version."""
        if end in (AttemptEnd.DELIVERED, AttemptEnd.REJECTED, AttemptEnd.QUARANTINED):
            return
        # The deadline may have passed because the caller did not read.
        if end == AttemptEnd.EXPIRED and self.admitted.responder.unsent_bytes:
            return
        self.record_failure(target)

    def record_failure(self, target):
        """Counts the present attempt as failed, once."""
        if not self.has_failed:
            self.has_failed = True
            self.forwarder.record_answer(self.admitted, target, True)

    def count_events(self, target, count: int):
        """Counts events of the present engine and records that it has begun to answer."""
        before, self.attempt_event_count = (
            self.attempt_event_count,
            self.attempt_event_count + count,
        )
        if before < BEGUN_EVENTS <= self.attempt_event_count:
            self.forwarder.starting_streams.discard(self)
            self.forwarder.record_beginning(self.admitted.parts, target)

    def observe_read(self, target, now: float):
        """Learns from the first event how fast the engine has read the prompt.

        The prompt of a caller that returns may have been cached.
        """
        admitted = self.admitted
        if not self.reads_at_once or admitted.service.engine is None:
            return
        self.forwarder.speeds.observe_read(
            admitted.service.name,
            target.target_id,
            admitted.caller.prompt_tokens,
            now - self.sent_at,
            now,
        )

    def silence_limits(self, interval_estimate, got_events, probe_succeeded) -> tuple[float, float]:
        """Returns the seconds of silence after which to fail over, and after which to probe.

        Args:
            interval_estimate: The detector's estimate of the engine's event intervals.
            got_events: Whether the engine has sent an event of this stream.
            probe_succeeded: Whether a probe has succeeded since the last event.
        """
        if not got_events:
            return (
                PROBE_AFTER_SILENCE_SECONDS + 2 * PROBE_TIMEOUT_SECONDS,
                PROBE_AFTER_SILENCE_SECONDS,
            )
        learned_limit_s = interval_estimate.silence_limit()
        if self.run.copy_target_id and not self.is_last_run:
            # An engine that has been slower than that for a while is sound.
            longest_silence_s = max(self.max_gap_s * FAILOVER_SHARE, learned_limit_s)
        else:
            longest_silence_s = self.max_gap_s * FAILOVER_FACTOR_WITHOUT_COPY
        failover_after_s = (
            longest_silence_s
            if probe_succeeded
            else min(longest_silence_s, max(learned_limit_s, PROBE_TIMEOUT_SECONDS))
        )
        return failover_after_s, failover_after_s * PROBE_SHARE

    async def probe_engine(self, target, channel) -> bool:
        """Returns whether the engine still accepts connections."""
        self.forwarder.metrics.count("liveness_checks")
        reachable = await channels.can_connect(target.address, PROBE_TIMEOUT_SECONDS)
        # Wakes `relay_events`, which waits for the channel.
        asyncio.get_running_loop().call_soon(channel.wake_waiter)
        return reachable

    def record_silence(self, target, now: float):
        """Records that an engine was silent, or only the channel if it responded on others."""
        silent_since = max(self.sent_at, self.delivered_at)
        if target.has_responded_during(silent_since, now):
            target.suspect(now)
            return
        self.forwarder.target_table.record_loss(target, now)

    def begin_response(self, channel):
        """Writes the head of the response to the caller once; returns the caller's responder.

        After a failover the caller keeps the head of the first engine's response.
        """
        responder = self.admitted.responder
        if not responder.has_begun:
            headers = self.forwarder.dialect.response_headers(channel.response)
            responder.begin(channel.response.status, headers, channel.response.reason)
        return responder

    def deliver_events(self, channel, data, count):
        """Writes events to the caller and updates the stream's timing."""
        responder = self.begin_response(channel)
        now = clock.now()
        if self.first_event_s is None:
            self.admitted.rank.is_begun = True
            self.first_event_s = now - self.admitted.request.received_at
            self.forwarder.metrics.observe("first_event", self.first_event_s)
        else:
            self.longest_pause_s = max(self.longest_pause_s, now - self.delivered_at)
        self.delivered_at = now
        self.delivered_count += count
        responder.write(data)

    def finish_response(self, target, channel) -> tuple[AttemptEnd, str]:
        """Completes the caller's response after the engine has ended the stream.

        Returns:
            A result as `relay_events` does; a stream that ends within an event is faulty.
        """
        if not self.buffer.is_between_events:
            return AttemptEnd.FAULTY, "ended in the middle of an event"
        self.begin_response(channel).finish()
        self.is_delivered = True
        if self.attempt_event_count < BEGUN_EVENTS:
            self.forwarder.record_beginning(self.admitted.parts, target)
        target.record_outcome(False, clock.now() - self.admitted.request.received_at)
        self.observe_pace()
        self.forwarder.pool.release(channel)
        if self.copy_manager.requested_copy_made_at is not None:
            self.forwarder.spawn(self.copy_manager.release_copy(target))
        self.forwarder.metrics.observe("longest_pause", self.longest_pause_s)
        self.forwarder.log_answered(
            self.admitted,
            target,
            200,
            events=self.delivered_count,
            first=self.first_event_s or 0.0,
            pause=self.longest_pause_s,
        )
        return AttemptEnd.DELIVERED, ""

    async def handle_other_response(
        self, target, channel, may_have_run_before
    ) -> tuple[AttemptEnd, str]:
        """Processes a response that is not a stream; returns a result as `relay_events` does."""
        forwarder, admitted = self.forwarder, self.admitted
        response_info = forwarder.dialect.decode_response(channel.response)
        fault = forwarder.find_response_fault(channel, response_info)
        # The expected response may follow one to another request.
        if fault and not channel.answers_other_request:
            return AttemptEnd.FAULTY, fault
        is_complete = await channel.read_response(clock.now() + PROBE_TIMEOUT_SECONDS) is not None
        response = channel.response
        response_info = forwarder.dialect.decode_response(response)
        fault = forwarder.find_response_fault(channel, response_info)
        # The head of a rejection states it, even if the rest of the response does not arrive.
        is_rejection = response.status and response_info.not_run and not fault
        if not is_complete and not is_rejection:
            if channel.failure_reason:
                return AttemptEnd.DISCONNECTED, channel.failure_reason
            return AttemptEnd.SILENT, "the response was not complete in time"
        if fault:
            return AttemptEnd.FAULTY, fault
        forwarder.pool.release(channel)
        forwarder.process_response(target, response_info)
        forwarder.observe_response(target, response_info, self.sent_at)
        status = response.status
        if response_info.not_run:
            admitted.may_have_run = may_have_run_before
            return AttemptEnd.REJECTED, "rejected"
        is_failure = status == 200 or status >= 500 or status in (408, 421, 429)
        if is_failure or admitted.responder.has_begun:
            return AttemptEnd.FAULTY, f"answered {status}"
        forwarder.relay_response(admitted, target, response)
        return AttemptEnd.DELIVERED, ""


@forwarding.register_handler(routing.Kind.STREAM)
async def serve_stream(forwarder, admitted):
    """Forwards a stream until it ends, with failover after the loss of an engine."""
    if forwarder.must_refuse(admitted):
        forwarder.refuse_for_drain(admitted)
        return
    stream = ForwardedStream(forwarder, admitted)
    forwarder.open_streams.add(stream)
    try:
        await stream.adopt_run()
        await _serve(stream)
    except asyncio.CancelledError:
        if not admitted.is_cut:
            forwarder.metrics.count("callers_gone")
            forwarder.log.line(
                "gateway",
                "caller_gone",
                request=admitted.caller.request_id,
                target=stream.run.target_id,
                copy=stream.run.copy_target_id,
                events=stream.delivered_count,
                left=admitted.remaining_s(),
            )
        raise
    finally:
        forwarder.open_streams.discard(stream)
        stream.wait.leave()
        stream.buffer.restart()
        run = stream.run
        run.ended = True
        run.last_event_id = stream.buffer.last_id
        has_copy = stream.delivered_count > 0 or stream.resumes_from_copy
        run.interrupted = has_copy and not stream.is_delivered
        stream.publish_run()


async def _serve(stream):
    forwarder, admitted = stream.forwarder, stream.admitted
    rejection_count = 0
    run_count = 0
    too_late = False
    quarantine_s = None
    return_after_s = 0.0
    refused_for_s = 0.0
    reason = "no target"
    while admitted.remaining_s() > 0:
        if not admitted.may_have_run and forwarder.must_refuse(admitted):
            forwarder.refuse_for_drain(admitted)
            return
        if not stream.is_past_start:
            held = forwarder.quarantine.find_held(admitted.parts, clock.now())
            if held is not None:
                held_part, quarantine_s = held
                reason = f"{held_part} crashes engines"
                break
        targets = forwarder.ready_targets(admitted)
        least_s = 0.0 if stream.resumes_from_copy else stream.least_remaining_s(targets)
        if admitted.remaining_s() < least_s:
            reason = f"needs {least_s:.3f} s of {admitted.remaining_s():.3f} s"
            too_late = True
            break
        return_after_s = await pauses.wait_for_end(forwarder, admitted, targets)
        if return_after_s:
            reason = "all engines have asked for a pause"
            break
        decision = await stream.wait.take_step()
        if decision.verdict == stream_admission.Verdict.WAIT:
            continue
        if decision.verdict == stream_admission.Verdict.REFUSE:
            reason, refused_for_s = decision.reason, decision.seconds
            break
        target, from_copy = await stream.select_target()
        if target is None:
            is_limited = stream.limited_for_s > 0
            if is_limited:
                reason = "the limits of all engines are used up"
            may_wait = stream.excluded_ids or (is_limited and stream.buffer.last_id is not None)
            if not may_wait or rejection_count >= MAX_REJECTIONS:
                break
            # Targets that failed earlier may have recovered.
            stream.excluded_ids.clear()
            rejection_count += 1
            await asyncio.sleep(PROBE_TIMEOUT_SECONDS / 2)
            continue
        channel = await stream.open_channel(target, from_copy)
        if channel is None and not admitted.may_have_run and forwarder.must_refuse(admitted):
            continue
        # The target may have begun to drain, or asked for a pause, while the channel was opened.
        if channel is None and stream.is_unwanted_at(target):
            continue
        if channel is None:
            forwarder.target_table.record_loss(target, clock.now())
            stream.excluded_ids.add(target.target_id)
            reason = f"{target.target_id} cannot be reached"
            forwarder.metrics.count("connects_failed")
            continue
        stream.is_last_run = run_count + 1 >= admitted.route.max_runs
        try:
            end, reason = await stream.relay_events(target, channel)
        except BaseException:
            channel.abort()
            raise
        stream.record_end(target, end)
        if end == AttemptEnd.DELIVERED:
            return
        now = clock.now()
        # The run must be stopped at this engine before it continues at another one.
        channel.abort()
        if end == AttemptEnd.QUARANTINED:
            continue
        if end == AttemptEnd.REJECTED:
            if not from_copy:
                rejection_count += 1
                stream.excluded_ids.add(target.target_id)
            if rejection_count >= MAX_REJECTIONS:
                break
        else:
            run_count += 1
            if end == AttemptEnd.SILENT:
                stream.record_silence(target, now)
            elif end == AttemptEnd.UNREACHABLE:
                forwarder.target_table.record_loss(target, now)
            elif end == AttemptEnd.DISCONNECTED:
                check = forwarder.check_target(target)
                if not stream.is_past_start:
                    await forwarder.report_crash_if_lost(admitted, target, check, channel)
            if end != AttemptEnd.EXPIRED:
                target.record_outcome(True, 0.0)
            stream.excluded_ids = {target.target_id}
            # A copy exists only after the first event.
            stream.resumes_from_copy = (
                bool(stream.run.copy_target_id) and stream.buffer.last_id is not None
            )
            forwarder.metrics.count("streams_moved")
        forwarder.log.line(
            "gateway",
            "stream_moves",
            request=admitted.caller.request_id,
            target=target.target_id,
            zone=target.zone,
            reason=reason,
            copy=stream.run.copy_target_id,
            from_copy=from_copy,
            events=stream.delivered_count,
            answering=int(channel.response.status > 0),
            parts=prompt_quarantine.format_parts(admitted.parts),
            left=admitted.remaining_s(),
        )
        may_continue = admitted.route.resumable or end == AttemptEnd.REJECTED
        if not may_continue or end == AttemptEnd.EXPIRED or run_count >= admitted.route.max_runs:
            break
        # Continuing from a copy costs little, and the caller's only other attempt would cost more.
        if not forwarder.try_spend_retry(admitted, from_copy or stream.resumes_from_copy):
            reason = f"{reason}; the retry budget is spent"
            break
        if end == AttemptEnd.REJECTED:
            pauses.record_move(forwarder, target)
    if admitted.responder.has_begun:
        forwarder.metrics.count("streams_cut")
        forwarder.log.line(
            "gateway",
            "stream_cut",
            request=admitted.caller.request_id,
            code=int(codes.Code.TARGET_FAILED),
            reason=reason,
            events=stream.delivered_count,
            left=admitted.remaining_s(),
        )
        admitted.responder.abort()
        return
    if quarantine_s is not None:
        forwarder.fail_request(admitted, codes.Code.PROMPT_QUARANTINED, reason, quarantine_s)
        return
    if too_late:
        # A retry cannot succeed, because no gateway can meet the deadline.
        forwarder.fail_request(admitted, codes.Code.WAIT_EXPIRED, reason)
        return
    if refused_for_s:
        forwarder.fail_request(admitted, codes.Code.QUEUE_FULL, reason, refused_for_s)
        return
    if return_after_s:
        forwarder.fail_request(admitted, codes.Code.TARGETS_PAUSED, reason, return_after_s)
        return
    if stream.limited_for_s > 0:
        forwarder.fail_request(admitted, codes.Code.TARGETS_LIMITED, reason, stream.limited_for_s)
        return
    retry_after_s = stream.wait.spread_return(REJECTED_RETRY_AFTER_SECONDS)
    forwarder.fail_request(admitted, codes.Code.QUEUE_FULL, reason, retry_after_s)
