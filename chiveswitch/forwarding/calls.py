"""Short calls: the whole response is read before the caller gets its first byte."""

import asyncio

from chiveswitch.core import clock, codes, placement, routing
from chiveswitch.forwarding import forwarder as forwarding

# Part of the time left after which an idempotent call is sent to another target.
PATIENCE_SHARE = 0.4
# Least seconds for which the first target of an idempotent call is waited for, as a multiple of
# its average response time, and in seconds.
PATIENCE_OF_LATENCY = 4.0
PATIENCE_MIN_SECONDS = 0.15
# Targets that may turn a call away before it is given up; each costs a round trip.
MAX_REJECTIONS = 6
# Pause in seconds before all targets are asked again.
FULL_PAUSE_SECONDS = 0.03
# Seconds after which a caller that all targets turned away may return.
FULL_RETRY_AFTER_SECONDS = 0.2


@forwarding.handler(routing.Kind.IDEMPOTENT, routing.Kind.UNREPEATABLE)
async def serve_call(forwarder, admitted):
    """Sends a call to targets until one has answered it.

    An unrepeatable call is sent again only after a target has stated that it did not run it.
    """
    repeatable = admitted.route.kind == routing.Kind.IDEMPOTENT
    excluded = set()
    rejections = 0
    runs = 0
    reason = "no target"
    while admitted.left() > forwarding.RETURN_SECONDS:
        targets = forwarder.table.ready_targets(admitted.service.name)
        fresh = [each for each in targets if each.target_id not in excluded]
        target = placement.choose_target(fresh, forwarder.zone, clock.now(), forwarder.rng)
        if target is None:
            if not targets or rejections >= MAX_REJECTIONS:
                break
            # Every target was tried; those that are full may have a place a moment later.
            excluded.clear()
            rejections += 1
            await asyncio.sleep(min(FULL_PAUSE_SECONDS, max(0.0, admitted.left())))
            continue
        channel = await forwarder.pool.acquire(
            target.target_id, target.address, not repeatable, admitted.left()
        )
        if channel is None:
            forwarder.table.record_loss(target, clock.now())
            excluded.add(target.target_id)
            reason = f"{target.target_id} cannot be reached"
            forwarder.metrics.count("connects_failed")
            continue
        # The target may have begun to leave while the channel was opened.
        if forwarder.table.is_draining_or_gone(target.target_id):
            channel.abort()
            continue
        patience = _patience(admitted, target, runs) if repeatable else admitted.left()
        outcome = await _send(forwarder, admitted, target, channel, patience)
        if outcome.rejected:
            rejections += 1
            excluded.add(target.target_id)
            reason = f"{target.target_id} {outcome.reason}"
            if rejections >= MAX_REJECTIONS or not forwarder.may_retry(admitted):
                break
            continue
        runs += 1
        response = outcome.response
        if response is not None and (response.status < 500 or not repeatable):
            forwarder.pass_on(admitted, target, response)
            return
        reason = f"{target.target_id} {outcome.reason}"
        excluded.add(target.target_id)
        last = not repeatable or runs >= admitted.route.max_runs
        if last or admitted.left() < PATIENCE_MIN_SECONDS / 2 or not forwarder.may_retry(admitted):
            if response is not None:
                forwarder.pass_on(admitted, target, response)
                return
            break
        forwarder.log.line(
            "gateway",
            "retry",
            request=admitted.caller.request_id,
            target=target.target_id,
            reason=outcome.reason,
            left=admitted.left(),
        )
        forwarder.metrics.count("retries")
    code = codes.Code.QUEUE_FULL if rejections else codes.Code.NO_TARGET
    forwarder.give_up(admitted, code, reason, FULL_RETRY_AFTER_SECONDS)


class Outcome:
    """What became of one send.

    Attributes:
        response: The target's complete response, or None.
        rejected: Whether the target did not run the request.
        reason: Cause for the log.
    """

    __slots__ = ("response", "rejected", "reason")

    def __init__(self, response, rejected: bool, reason: str):
        self.response = response
        self.rejected = rejected
        self.reason = reason


def _patience(admitted, target, runs):
    """Returns the seconds to wait for an idempotent call's response before the next send."""
    left = admitted.left()
    if runs + 1 >= admitted.route.max_runs:
        return left
    learned = max(PATIENCE_MIN_SECONDS, PATIENCE_OF_LATENCY * target.latency_s)
    return min(left, max(learned, PATIENCE_SHARE * min(left, admitted.route.objective_s * 2)))


async def _send(forwarder, admitted, target, channel, patience) -> Outcome:
    """Sends the call once and waits for the response; always gives the channel back."""
    started = clock.now()
    dialect = forwarder.dialect
    options = forwarder.options(admitted, target)
    admitted.sends += 1
    forwarder.log_sent(admitted, target)
    was_uncertain = admitted.may_have_run
    # Until the target has stated otherwise, a byte that was sent may have made it run.
    admitted.may_have_run = True
    target.open_requests += 1
    try:
        channel.send(
            dialect.encode_request(admitted.request, admitted.caller, options),
            dialect.identity(admitted.caller),
        )
        response = await channel.whole_response(started + patience)
    except BaseException:
        channel.abort()
        raise
    finally:
        target.open_requests -= 1
    now = clock.now()
    if response is None:
        reason = channel.broken or f"no response in {patience:.3f} s"
        channel.abort()
        target.record_outcome(True, now - started)
        if not channel.response.status:
            forwarder.table.record_loss(target, now)
        return Outcome(None, False, reason)
    forwarder.pool.release(channel)
    reply = forwarder.take_reply(target, response)
    if reply.not_run:
        admitted.may_have_run = was_uncertain
        return Outcome(None, True, f"turned it away with {response.status}")
    if not channel.is_for(admitted.caller.request_id) or response.status in (429, 503, 408, 421):
        # Without the statement that it did not run, the status promises nothing.
        target.record_outcome(True, now - started)
        return Outcome(None, False, f"answered {response.status} for another request or unsure")
    target.record_outcome(response.status >= 500, now - started)
    return Outcome(response, False, f"answered {response.status}")
