"""Copies of a run's memory at engines in other zones, from which the run continues after a loss.

The engine that executes a stream sends the first copy without a request while the run grows. If the
holder of the copy is lost or drains, the gateway requests a new copy while the run continues.
"""

from chiveswitch.core import clock, placement
from chiveswitch.forwarding import pauses

# Share of the time for which engines keep a requested copy, after which the request is repeated.
COPY_REFRESH_SHARE = 0.7
# Longest wait in seconds for a copy to be made. A copy of 9,000 tokens takes 10 to 100 ms and is
# queued behind others.
COPY_TIMEOUT_SECONDS = 1.0
# Estimated remaining seconds of a stream below which a new copy is not worth its memory.
MIN_REMAINING_SECONDS = 0.8
# Least seconds between two copy requests of one run.
MIN_REQUEST_INTERVAL_SECONDS = 0.3
# Time in seconds over which the copies of streams move to a version that takes over the requests.
MOVE_SPREAD_SECONDS = 0.6
# Longest wait in seconds for a copy to be freed. The engines drop the copy later in any case.
RELEASE_TIMEOUT_SECONDS = 0.25
# Responses to requests about copies have no header that identifies a request.
NO_REQUEST_ID_HEADER = ("", "")


class CopyManager:
    """Chooses, requests and releases the copy of one run's memory.

    Attributes:
        requested_copy_made_at: Time at which the present copy was made on request, in seconds of
            `core.clock`; None if the engine sends the copy without a request.
    """

    __slots__ = (
        "requested_copy_made_at",
        "_forwarder",
        "_admitted",
        "_run",
        "_publish",
        "_next_request_at",
        "_move_at",
    )

    def __init__(self, forwarder, admitted, run, publish):
        """Creates the manager of a run that has no copy yet.

        Args:
            forwarder: The `forwarder.Forwarder`.
            admitted: The `forwarder.AdmittedRequest`.
            run: The `placement.Run`, whose fields state the present copy.
            publish: Function that is called after a requested copy has changed the run.
        """
        self.requested_copy_made_at = None
        self._forwarder = forwarder
        self._admitted = admitted
        self._run = run
        self._publish = publish
        self._next_request_at = clock.now()
        self._move_at = None

    def choose_holder(self, target) -> str:
        """Chooses the engine that will hold the copy of a run, and stores it in the run.

        Args:
            target: The engine at which the run starts or continues.

        Returns:
            The holder's address, or an empty string if no engine can hold a copy.
        """
        self._run.copy_target_id = ""
        self._run.copy_reference = ""
        self.requested_copy_made_at = None
        holder = self._select_holder(target)
        if holder is None:
            return ""
        self._run.copy_target_id = holder.target_id
        self._run.copy_reference = self._forwarder.dialect.copy_reference(
            holder.address, self._admitted.caller.request_id
        )
        self._run.copied_at = clock.now()
        return holder.address

    def _engine_settings(self):
        """Returns the service's engine settings if runs of the route can be copied, or None."""
        engine = self._admitted.service.engine
        if engine is None or not engine.copies or not self._admitted.route.resumable:
            return None
        return engine

    def _select_holder(self, target):
        """Returns an engine in another zone with memory for a copy, or None."""
        engine = self._engine_settings()
        if engine is None:
            return None
        forwarder = self._forwarder
        now = clock.now()
        ready = pauses.without_pause(forwarder.copy_targets(self._admitted))
        # A stream that continues from its copy needs a grant at a target with a limit.
        without_limits = forwarder.limiter.without_limits(ready)
        loads = forwarder.run_table.load_by_target(now, forwarder.speeds)

        def choose(candidates, avoided_zones):
            return placement.choose_copy_target(
                candidates,
                loads,
                engine,
                self._run.tokens,
                avoided_zones,
                now,
                forwarder.rng,
                forwarder.speeds,
            )

        holder = choose(without_limits, {target.zone})
        if holder is None and len(without_limits) < len(ready):
            holder = choose(ready, {target.zone})
        if holder is None and self._must_move(target):
            # The engine will stop before its zone is likely to fail.
            holder = choose(ready, set())
        return holder

    def find_holder(self):
        """Returns the engine that holds the copy, or None if it is gone, draining or restarted."""
        table = self._forwarder.target_table
        target_id = self._run.copy_target_id
        if table.is_draining_or_gone(target_id) or not self.is_copy_current(self._run):
            return None
        return table.find(target_id)

    def is_copy_current(self, run) -> bool:
        """Returns whether the engines that keep and identify a run's copy still know it.

        An engine that restarts loses its copies. If it made a copy on request, it may give the
        same reference to the copy of another run; so may another engine that got its address.
        """
        table = self._forwarder.target_table
        holder = table.find(run.copy_target_id)
        if holder is None or holder.known_since > run.copied_at:
            return False
        dialect = self._forwarder.dialect
        if run.copy_reference == dialect.copy_reference(holder.address, run.run_id):
            return True
        maker = table.find_at(dialect.copy_maker_address(run.copy_reference))
        if maker is None:
            return True
        return maker.target_id == run.target_id and maker.known_since <= run.copied_at

    def _usable_holder(self, now):
        """Returns the engine that holds the copy if no recent loss excludes it, or None."""
        holder = self.find_holder()
        return None if holder is None or holder.avoided_until > now else holder

    def needs_copy(self, remaining_s: float, now: float) -> bool:
        """Returns whether the copy was lost, or was made on request and will expire soon.

        Args:
            remaining_s: Estimated seconds until the end of the stream.
            now: Current time in seconds.
        """
        engine = self._engine_settings()
        if engine is None or now < self._next_request_at or remaining_s < MIN_REMAINING_SECONDS:
            return False
        holder = self._usable_holder(now)
        if holder is None:
            return True
        if self._must_move(holder):
            return self._is_move_due(now) or self._is_refresh_due(now)
        return self._is_refresh_due(now)

    def _is_refresh_due(self, now):
        """Returns whether the present copy was made on request and will expire soon."""
        if self.requested_copy_made_at is None:
            return False
        refresh_after_s = self._admitted.service.engine.copy_kept_s * COPY_REFRESH_SHARE
        return now - self.requested_copy_made_at > refresh_after_s

    def _must_move(self, target):
        """Returns whether streams must leave a target because of its version."""
        service = self._admitted.service.name
        return self._forwarder.versions.must_move_copy(service, target.report.version)

    def _is_move_due(self, now):
        """Returns whether a copy that must leave its holder may be requested now."""
        if self._move_at is None:
            # All gateways learn of the order at about the same time.
            self._move_at = now + MOVE_SPREAD_SECONDS * self._forwarder.rng.random()
        return now >= self._move_at

    async def request_copy(self, target):
        """Makes the engine copy the run's memory to another engine while the run continues.

        Args:
            target: The engine that executes the run.
        """
        forwarder, run = self._forwarder, self._run
        started = clock.now()
        self._next_request_at = started + MIN_REQUEST_INTERVAL_SECONDS
        # A repeated request for the same holder copies only what was added since.
        known_holder = self._usable_holder(started)
        must_move = known_holder is not None and self._must_move(known_holder)
        holder = None
        if self.requested_copy_made_at is not None and not must_move:
            holder = known_holder
        holder = holder or self._select_holder(target)
        if must_move and (holder is None or self._must_move(holder)):
            # The present copy stays until the version has room.
            holder = known_holder if self._is_refresh_due(started) else None
        if holder is None:
            return
        data = forwarder.dialect.encode_copy_request(run.run_id, target.address, holder.address)
        response = await self._send_request(target, data, COPY_TIMEOUT_SECONDS)
        reference, status = "", 0
        if response is not None:
            reference = forwarder.dialect.decode_copy_response(response, target.address)
            status = response.status
        forwarder.metrics.count("copies_ordered")
        forwarder.log.line(
            "gateway",
            "copy",
            request=run.run_id,
            target=target.target_id,
            before=run.copy_target_id,
            holder=holder.target_id,
            outcome=reference or f"status {status}",
            took=clock.now() - started,
        )
        if not reference:
            return
        run.copy_target_id = holder.target_id
        run.copy_reference = reference
        run.copied_at = self.requested_copy_made_at = clock.now()
        self._publish()

    async def release_copy(self, target):
        """Frees a requested copy at its source and its holder.

        Args:
            target: The engine that executed the run.
        """
        data = self._forwarder.dialect.encode_copy_release(self._run.copy_reference)
        await self._send_request(target, data, RELEASE_TIMEOUT_SECONDS)

    async def _send_request(self, target, data, timeout_s):
        """Sends a request to an engine; returns its response, or None if none came in time."""
        if pauses.is_paused(target):
            return None
        if not await self._forwarder.limiter.may_send(self._admitted, target):
            return None
        pool = self._forwarder.pool
        until = clock.now() + timeout_s
        # The response has no id, so that a late one to an earlier request could not be told apart.
        channel = await pool.open(target.target_id, target.address, timeout_s)
        if channel is None:
            return None
        limiter = self._forwarder.limiter
        limiter.record_sent(target)
        channel.send(data, NO_REQUEST_ID_HEADER)
        try:
            response = await channel.read_response(until)
            if response is not None:
                # Such responses may name a limit, but do not lift one.
                response_info = self._forwarder.dialect.decode_response(response)
                self._forwarder.observe_response(target, response_info, 0.0)
            return response
        finally:
            channel.abort()
