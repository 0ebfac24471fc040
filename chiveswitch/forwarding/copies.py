"""Copies of a run's memory at engines of other zones, from which it continues after a loss.

The engine that runs a stream sends the first copy by itself as the run grows. A copy whose holder
was lost or leaves is replaced by one that the gateway orders while the run continues.
"""

from chiveswitch.core import clock, placement

# Part of the time for which an ordered copy is kept, after which the order is repeated.
COPY_REFRESH_SHARE = 0.7
# Longest wait in seconds for a copy: 9,000 tokens take 10 to 100 ms, queued behind others.
COPY_SECONDS = 1.0
# Seconds that a stream must still take for a further copy to be worth its memory.
COPY_LEFT_SECONDS = 0.8
# Least seconds between two orders for one run.
COPY_PAUSE_SECONDS = 0.3
# Longest wait in seconds for a copy to be freed; the engines drop it by themselves later.
RELEASE_SECONDS = 0.25
# Orders are answered on their channel without naming a request.
NO_IDENTITY = ("", "")


class Copies:
    """The copy of one run.

    Attributes:
        ordered_at: Time at which the present copy was ordered, None if the engine sends it by
            itself.
    """

    __slots__ = ("ordered_at", "_forwarder", "_admitted", "_run", "_publish", "_next_order_at")

    def __init__(self, forwarder, admitted, run, publish):
        """Prepares the copies of a run.

        Args:
            forwarder: The `forwarder.Forwarder`.
            admitted: The `forwarder.Admitted`.
            run: The `placement.Run`, which names the present copy.
            publish: Called after an ordered copy has changed the run.
        """
        self.ordered_at = None
        self._forwarder = forwarder
        self._admitted = admitted
        self._run = run
        self._publish = publish
        self._next_order_at = clock.now()

    def choose(self, target) -> str:
        """Chooses the holder of a run that starts at a target.

        Returns:
            The holder's address, or an empty string if there is none.
        """
        self._run.copy_target_id = ""
        self._run.copy_reference = ""
        self.ordered_at = None
        holder = self._find_holder(target)
        if holder is None:
            return ""
        self._run.copy_target_id = holder.target_id
        self._run.copy_reference = self._forwarder.dialect.copy_reference(
            holder.address, self._admitted.caller.request_id
        )
        return holder.address

    def _engine(self):
        """Returns the engine's abilities if runs of the route can be copied, or None."""
        engine = self._admitted.service.engine
        if engine is None or not engine.copies or not self._admitted.route.resumable:
            return None
        return engine

    def _find_holder(self, target):
        """Returns an engine in another zone with room for a copy, or None."""
        engine = self._engine()
        if engine is None:
            return None
        forwarder = self._forwarder
        now = clock.now()
        return placement.choose_copy_target(
            forwarder.table.ready_targets(self._admitted.service.name),
            forwarder.runs.load_by_target(now),
            engine,
            self._run.tokens,
            {target.zone},
            now,
            forwarder.rng,
        )

    def holder(self):
        """Returns the engine that holds the copy, or None if it is gone or leaves."""
        table = self._forwarder.table
        target_id = self._run.copy_target_id
        return None if table.is_draining_or_gone(target_id) else table.find(target_id)

    def _usable_holder(self, now):
        """Returns the present holder if it was not lost a moment ago, or None."""
        holder = self.holder()
        return None if holder is None or holder.avoided_until > now else holder

    def is_needed(self, left_s: float, now: float) -> bool:
        """Says whether the copy was lost, or was ordered and will soon be dropped.

        Args:
            left_s: Seconds that the stream may still take.
            now: Current time in seconds.
        """
        engine = self._engine()
        if engine is None or now < self._next_order_at or left_s < COPY_LEFT_SECONDS:
            return False
        if self._usable_holder(now) is None:
            return True
        kept = engine.copy_kept_s * COPY_REFRESH_SHARE
        return self.ordered_at is not None and now - self.ordered_at > kept

    async def order(self, target):
        """Has the engine copy the run's memory to another one while the run continues."""
        forwarder, run = self._forwarder, self._run
        started = clock.now()
        self._next_order_at = started + COPY_PAUSE_SECONDS
        # A repeated order to the same holder copies only what is new.
        holder = self._usable_holder(started) if self.ordered_at is not None else None
        holder = holder or self._find_holder(target)
        if holder is None:
            return
        order = forwarder.dialect.encode_copy_order(run.run_id, target.address, holder.address)
        response = await self._ask(target, order, COPY_SECONDS)
        reference, status = "", 0
        if response is not None:
            reference = forwarder.dialect.decode_copy_reply(response, target.address)
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
        self.ordered_at = clock.now()
        self._publish()

    async def release(self, target):
        """Frees an ordered copy that is not needed any more, at both of its ends."""
        order = self._forwarder.dialect.encode_copy_release(self._run.copy_reference)
        await self._ask(target, order, RELEASE_SECONDS)

    async def _ask(self, target, data, seconds):
        """Sends an order to an engine; returns its response, or None."""
        pool = self._forwarder.pool
        until = clock.now() + seconds
        channel = await pool.acquire(target.target_id, target.address, False, seconds)
        if channel is None:
            return None
        channel.send(data, NO_IDENTITY)
        try:
            response = await channel.whole_response(until)
        finally:
            if channel.response.complete:
                pool.release(channel)
            else:
                channel.abort()
        return response
