"""Forwarded streams: events reach the caller as they arrive, and survive the loss of an engine.

The engine sends a copy of the run's memory to an engine in another availability zone as it grows.
After a loss the run continues there, within the same response, from the event after the last one
that the caller has. Without a copy another engine reads the prompt again.
"""

import asyncio

from chiveswitch.core import clock, codes, detector, events, placement, routing
from chiveswitch.forwarding import channel as channels
from chiveswitch.forwarding import copies
from chiveswitch.forwarding import forwarder as forwarding

# Silence in seconds before the first event after which it is checked that the engine still
# accepts connections. Reading a long prompt takes more than a second without being dead.
CHECK_INTERVAL_SECONDS = 0.4
# Longest wait in seconds for the connection of such a check.
CHECK_SECONDS = 0.25
# Part of the limit of silence at which the engine is checked ahead of a move.
CHECK_SHARE = 0.6
# Part of the longest pause that is on time after which a stream moves to its copy, even if its
# engine accepts connections: the rest is needed to connect and to read what the copy lacks.
MOVE_SHARE = 0.75
# The same for a stream without a copy, for which a move means to read the whole prompt again.
MOVE_SHARE_WITHOUT_COPY = 3.0
# Longest pause in seconds on routes that state none.
DEFAULT_GAP_SECONDS = 1.0
# Part of the time that an idle engine needs to read the whole prompt below which a stream that has
# no copy cannot be served any more.
READ_SHARE = 0.7
# Engines that may turn a stream away before it is refused; each costs a round trip.
MAX_REJECTIONS = 4
# Seconds after which a refused caller may return: about the time until a running stream ends.
FULL_RETRY_AFTER_SECONDS = 1.0
# Seconds after which a caller of a stopping gateway may return, to another gateway.
DRAINING_RETRY_AFTER_SECONDS = 0.05


class Stream:
    """One caller's stream while it is forwarded.

    Attributes:
        forwarder: The `forwarder.Forwarder`.
        admitted: The `forwarder.Admitted`.
        run: The `placement.Run`.
        buffer: `events.EventBuffer` with the position of the caller.
        delivered: Number of events handed to the caller.
        excluded: Ids of targets that failed or turned the stream away.
        continues: Whether the next send continues from the copy's memory.
        gap_s: Longest pause in seconds that is on time.
        first_event_s: Seconds from the arrival to the first event, or None.
        longest_pause_s: Longest pause in seconds between two events so far.
        delivered_at: Time of the last delivery.
        copies: `copies.Copies` of the run.
    """

    __slots__ = (
        "forwarder",
        "admitted",
        "run",
        "buffer",
        "delivered",
        "excluded",
        "continues",
        "gap_s",
        "first_event_s",
        "longest_pause_s",
        "delivered_at",
        "copies",
    )

    def __init__(self, forwarder, admitted):
        caller = admitted.caller
        now = clock.now()
        self.forwarder = forwarder
        self.admitted = admitted
        tokens = caller.prompt_tokens + caller.response_tokens
        self.run = placement.Run(
            caller.request_id,
            caller.session,
            tokens,
            caller.prompt_tokens,
            forwarder.node_name,
            now,
        )
        self.buffer = events.EventBuffer(caller.last_event_id)
        self.delivered = 0
        self.excluded = set()
        self.continues = False
        self.gap_s = admitted.route.gap_objective_s or DEFAULT_GAP_SECONDS
        self.first_event_s = None
        self.longest_pause_s = 0.0
        self.delivered_at = now
        self.copies = copies.Copies(forwarder, admitted, self.run, self.publish)

    def least_read_s(self) -> float:
        """Returns the seconds below which no engine can read the prompt."""
        if self.admitted.service.engine is None:
            return 0.0
        tokens = self.admitted.caller.prompt_tokens
        return READ_SHARE * tokens / placement.PREFILL_TOKENS_PER_SECOND

    # Where the run is.

    def adopt(self):
        """Continues a run that another gateway has begun, if its copy is known."""
        known = self.forwarder.runs.latest_of_session(self.admitted.caller.session)
        if known is None or known.ended or self.admitted.caller.last_event_id is None:
            return
        # Another request of the session must not continue from this one's memory.
        if known.tokens != self.run.tokens:
            return
        holder = self.forwarder.table.find(known.copy_target_id)
        if holder is None:
            return
        known.ended = True
        self.run.run_id = known.run_id
        self.run.copy_target_id = known.copy_target_id
        self.run.copy_reference = known.copy_reference
        self.run.sequence = known.sequence
        self.continues = True

    def publish(self):
        """Reports the place of the run to the own table and to other gateways."""
        run = self.run
        run.sequence += 1
        run.changed_at = clock.now()
        self.forwarder.runs.put(run)
        self.forwarder.report_run(run)

    def choose(self):
        """Returns (target, whether it holds the copy), or (None, False)."""
        forwarder = self.forwarder
        if self.continues:
            self.continues = False
            holder = self.copies.holder()
            if holder is not None and holder.target_id not in self.excluded:
                return holder, True
        now = clock.now()
        targets = [
            each
            for each in forwarder.table.ready_targets(self.admitted.service.name)
            if each.target_id not in self.excluded
        ]
        engine = self.admitted.service.engine
        if engine is None:
            return placement.choose_target(targets, forwarder.zone, now, forwarder.rng), False
        loads = forwarder.runs.load_by_target(now)
        session = self.run.session or self.admitted.caller.request_id
        chosen = placement.choose_engine(targets, loads, engine, self.run.tokens, session, now)
        return chosen, False

    def left_s(self) -> float:
        """Returns the seconds that the stream may still take, at its pace so far."""
        engine = self.admitted.service.engine
        if engine is None or not engine.event_tokens or self.delivered < 2:
            return self.admitted.left()
        events_left = self.admitted.caller.response_tokens / engine.event_tokens - self.delivered
        since_first = self.delivered_at - self.admitted.request.received_at - self.first_event_s
        return max(0.0, events_left) * since_first / (self.delivered - 1)

    # One send.

    async def open(self, target, from_copy) -> channels.Channel | None:
        """Connects to a target and sends the request; None if it cannot be reached."""
        forwarder, admitted = self.forwarder, self.admitted
        channel = await forwarder.pool.acquire(
            target.target_id, target.address, True, admitted.left()
        )
        if channel is None or forwarder.table.is_draining_or_gone(target.target_id):
            if channel is not None:
                channel.abort()
            return None
        options = forwarder.options(admitted, target)
        options.last_event_id = self.buffer.last_id
        if from_copy:
            options.memory_reference = self.run.copy_reference
        options.copy_address = self.copies.choose(target)
        self.run.target_id = target.target_id
        self.run.run_id = admitted.caller.request_id
        self.run.unread_tokens = 0 if from_copy else admitted.caller.prompt_tokens
        self.publish()
        admitted.sends += 1
        self.buffer.restart()
        forwarder.log_sent(
            admitted,
            target,
            from_copy=int(from_copy),
            copy=self.run.copy_target_id,
            after_event=self.buffer.last_id if self.buffer.last_id is not None else -1,
            tokens=self.run.tokens,
        )
        channel.send(
            forwarder.dialect.encode_request(admitted.request, admitted.caller, options),
            forwarder.dialect.identity(admitted.caller),
        )
        return channel

    async def relay(self, target, channel) -> str:
        """Forwards events until the stream ends or cannot go on with this engine.

        Returns:
            `ended` if the caller has the whole response, `rejected` if the target did not run it,
            else the cause of the loss.
        """
        forwarder, admitted = self.forwarder, self.admitted
        dialect, responder = forwarder.dialect, admitted.responder
        was_uncertain = admitted.may_have_run
        admitted.may_have_run = True
        heard_at = clock.now()
        check = None
        copying = None
        confirmed = False
        got_events = False
        accepted = False
        intervals = forwarder.detector.intervals(target.target_id, detector.DECODE)
        try:
            while True:
                response = channel.response
                if response.status and not accepted:
                    if response.status != 200 or not channel.is_for(admitted.caller.request_id):
                        return await self.take_refusal(target, channel, was_uncertain)
                    accepted = True
                    reply = dialect.decode_response(response)
                    if reply.load is not None:
                        target.update_load(*reply.load, clock.now())
                if accepted and response.body:
                    data, count = self.buffer.feed(channel.take_body())
                    now = clock.now()
                    if count:
                        if got_events:
                            intervals.observe((now - heard_at) / count)
                        else:
                            got_events = True
                            self.run.unread_tokens = 0
                        target.record_contact(now)
                        self.deliver(channel, data, count)
                        await responder.drained()
                    heard_at = now
                    confirmed = False
                    idle = copying is None or copying.done()
                    if got_events and idle and self.copies.is_needed(self.left_s(), now):
                        copying = asyncio.get_running_loop().create_task(self.copies.order(target))
                if self.buffer.fault:
                    return self.buffer.fault
                if response.complete and accepted:
                    return self.end(target, channel)
                if channel.broken:
                    return channel.broken
                if admitted.left() <= 0:
                    return "the deadline has passed"
                if check is not None and check.done():
                    if not check.result():
                        return "no longer accepts connections"
                    check, confirmed = None, True
                    if not got_events:
                        # The engine lives; it is checked again after another interval.
                        heard_at, confirmed = clock.now(), False
                limit, check_after = self.patience(intervals, got_events, confirmed)
                silence = clock.now() - heard_at
                if silence >= limit:
                    return f"silent for {silence:.3f} s"
                wait = min(limit - silence, admitted.left())
                if check is None and not confirmed:
                    wait = min(wait, max(0.0, check_after - silence))
                    if wait <= 0:
                        check = asyncio.get_running_loop().create_task(
                            self.check_alive(target, channel)
                        )
                        continue
                await channel.changed(wait)
        finally:
            for task in (check, copying):
                if task is not None:
                    task.cancel()

    def patience(self, intervals, got_events, confirmed) -> tuple[float, float]:
        """Returns the seconds of silence after which the run moves, and after which to check."""
        if not got_events:
            return CHECK_INTERVAL_SECONDS + 2 * CHECK_SECONDS, CHECK_INTERVAL_SECONDS
        learned = intervals.limit()
        if self.run.copy_target_id:
            longest = self.gap_s * MOVE_SHARE
        else:
            longest = self.gap_s * MOVE_SHARE_WITHOUT_COPY
        limit = longest if confirmed else min(longest, max(learned, CHECK_SECONDS))
        return limit, limit * CHECK_SHARE

    async def check_alive(self, target, channel) -> bool:
        """Says whether the engine still accepts connections."""
        self.forwarder.metrics.count("liveness_checks")
        opened = await channels.connect(target.address, target.target_id, CHECK_SECONDS)
        if opened is not None:
            opened.abort()
        # Wakes the relay, which waits for the channel.
        asyncio.get_running_loop().call_soon(channel.wake)
        return opened is not None

    def begun_responder(self, channel):
        """Returns the caller's responder, which has the head of the first engine's response."""
        responder = self.admitted.responder
        if not responder.begun:
            headers = self.forwarder.dialect.response_headers(channel.response)
            responder.begin(channel.response.status, headers, channel.response.reason)
        return responder

    def deliver(self, channel, data, count):
        """Writes events to the caller."""
        responder = self.begun_responder(channel)
        now = clock.now()
        if self.first_event_s is None:
            self.first_event_s = now - self.admitted.request.received_at
            self.forwarder.metrics.observe("first_event", self.first_event_s)
        else:
            self.longest_pause_s = max(self.longest_pause_s, now - self.delivered_at)
        self.delivered_at = now
        self.delivered += count
        responder.write(data)

    def end(self, target, channel) -> str:
        """Ends the response after the engine has ended the stream."""
        if not self.buffer.is_between_events:
            return "ended in the middle of an event"
        self.begun_responder(channel).finish()
        self.forwarder.pool.release(channel)
        if self.copies.ordered_at is not None:
            self.forwarder.spawn(self.copies.release(target))
        self.forwarder.metrics.observe("longest_pause", self.longest_pause_s)
        self.forwarder.answered(
            self.admitted,
            target,
            200,
            events=self.delivered,
            first=self.first_event_s or 0.0,
            pause=self.longest_pause_s,
        )
        return "ended"

    async def take_refusal(self, target, channel, was_uncertain) -> str:
        """Takes a response that is no stream."""
        forwarder, admitted = self.forwarder, self.admitted
        response = await channel.whole_response(clock.now() + CHECK_SECONDS)
        if response is None:
            return channel.broken or "an incomplete refusal"
        forwarder.pool.release(channel)
        reply = forwarder.take_reply(target, response)
        status = response.status
        if reply.not_run:
            admitted.may_have_run = was_uncertain
            return "rejected"
        if status == 200 or status >= 500 or status in (408, 421, 429):
            return f"answered {status}"
        if not admitted.responder.begun:
            forwarder.pass_on(admitted, target, response)
            return "ended"
        return f"answered {status}"


@forwarding.handler(routing.Kind.STREAM)
async def serve_stream(forwarder, admitted):
    """Forwards a stream to its end, through the loss of engines."""
    if forwarder.draining_since is not None:
        if clock.now() - forwarder.draining_since > forwarder.last_stream_arrival_s:
            forwarder.give_up(
                admitted, codes.Code.DRAINING, "the gateway stops", DRAINING_RETRY_AFTER_SECONDS
            )
            return
    stream = Stream(forwarder, admitted)
    stream.adopt()
    try:
        await _serve(stream)
    finally:
        stream.run.ended = True
        stream.publish()


async def _serve(stream):
    forwarder, admitted = stream.forwarder, stream.admitted
    rejections = 0
    runs = 0
    too_late = False
    reason = "no target"
    while admitted.left() > 0:
        if not stream.continues and admitted.left() < stream.least_read_s():
            reason = f"the prompt cannot be read in {admitted.left():.3f} s"
            too_late = True
            break
        target, from_copy = stream.choose()
        if target is None:
            if not stream.excluded or rejections >= MAX_REJECTIONS:
                break
            # Targets that failed earlier may be back.
            stream.excluded.clear()
            rejections += 1
            await asyncio.sleep(CHECK_SECONDS / 2)
            continue
        channel = await stream.open(target, from_copy)
        if channel is None:
            forwarder.table.record_loss(target, clock.now())
            stream.excluded.add(target.target_id)
            reason = f"{target.target_id} cannot be reached"
            forwarder.metrics.count("connects_failed")
            continue
        try:
            reason = await stream.relay(target, channel)
        except BaseException:
            channel.abort()
            raise
        if reason == "ended":
            return
        now = clock.now()
        # The run must have stopped here before it goes on elsewhere.
        channel.abort()
        if reason == "rejected":
            if not from_copy:
                rejections += 1
                stream.excluded.add(target.target_id)
            if rejections >= MAX_REJECTIONS:
                break
        else:
            runs += 1
            forwarder.table.record_loss(target, now)
            stream.excluded = {target.target_id}
            # The copy begins with the first event.
            stream.continues = bool(stream.run.copy_target_id) and stream.buffer.last_id is not None
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
            events=stream.delivered,
            left=admitted.left(),
        )
        may_go_on = admitted.route.resumable or reason == "rejected"
        if not may_go_on or runs >= admitted.route.max_runs:
            break
        if not from_copy and not forwarder.may_retry(admitted):
            reason = f"{reason}; the retry budget is spent"
            break
    if admitted.responder.begun:
        forwarder.metrics.count("streams_cut")
        forwarder.log.line(
            "gateway",
            "stream_cut",
            request=admitted.caller.request_id,
            code=int(codes.Code.TARGET_FAILED),
            reason=reason,
            events=stream.delivered,
            left=admitted.left(),
        )
        admitted.responder.abort()
        return
    if too_late:
        # Coming back would not help: no time is left at any gateway.
        forwarder.give_up(admitted, codes.Code.WAIT_EXPIRED, reason)
        return
    forwarder.give_up(admitted, codes.Code.QUEUE_FULL, reason, FULL_RETRY_AFTER_SECONDS)
