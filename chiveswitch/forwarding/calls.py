"""Forwarding of short calls: a response is read completely before it is sent to the caller.

Only a response that is too large to be buffered is forwarded as it arrives; after that, the call
cannot be sent to another target any more.
"""

import asyncio

from chiveswitch.core import clock, codes, placement, routing
from chiveswitch.forwarding import forwarder as forwarding
from chiveswitch.forwarding import pauses

# Share of the remaining time, or of twice the route's latency objective if that is less, after
# which an idempotent call is sent to another target.
ATTEMPT_TIMEOUT_SHARE = 0.4
# Lower bounds of the wait for a target of an idempotent call, unless it is the last permitted one:
# a multiple of the target's average response time, and a time in seconds.
ATTEMPT_TIMEOUT_LATENCY_FACTOR = 4.0
MIN_ATTEMPT_TIMEOUT_SECONDS = 0.15
# Rejections by targets after which a call fails. Each rejection costs a round trip. Each
# round in which all targets were tried counts as one, too.
MAX_REJECTIONS = 6
# Backoff in seconds after every target was tried, before all of them are tried again.
REJECTED_BACKOFF_SECONDS = 0.03
# Statuses that mean "not run" to callers. They prove it only together with a target's statement
# that it did not run the call.
UNPROVEN_STATUSES = frozenset((408, 421, 429, 503))
# Share of the latency objective, and of the remaining time, for which a call waits for a grant.
GRANT_WAIT_SHARE = 0.5
# Retry-After in seconds for a call that all targets rejected.
REJECTED_RETRY_AFTER_SECONDS = 0.2


@forwarding.register_handler(routing.Kind.IDEMPOTENT, routing.Kind.UNREPEATABLE)
async def serve_call(forwarder, admitted):
    """Sends a call to one target after another until one has answered it.

    An unrepeatable call is sent again only if the previous target stated that it did not run it.
    """
    repeatable = admitted.route.kind == routing.Kind.IDEMPOTENT
    excluded_ids = set()
    rejection_count = 0
    run_count = 0
    reason = "no target"
    while admitted.remaining_s() > forwarding.RESPONSE_MARGIN_SECONDS:
        if not admitted.may_have_run and forwarder.must_refuse(admitted):
            forwarder.refuse_for_drain(admitted)
            return
        held = forwarder.quarantine.find_held(admitted.parts, clock.now())
        if held is not None:
            held_part, quarantine_s = held
            reason = f"{held_part} crashes engines"
            forwarder.fail_request(admitted, codes.Code.PROMPT_QUARANTINED, reason, quarantine_s)
            return
        targets = forwarder.ready_targets(admitted)
        return_after_s = await pauses.wait_for_end(forwarder, admitted, targets)
        if return_after_s:
            reason = "all targets have asked for a pause"
            forwarder.fail_request(admitted, codes.Code.TARGETS_PAUSED, reason, return_after_s)
            return
        available = pauses.without_pause(targets)
        untried = [each for each in available if each.target_id not in excluded_ids]
        if forwarder.overload.applies_to(admitted, available):
            target, retry_after_s = await _select_admitted(
                forwarder, admitted, available, excluded_ids
            )
            if retry_after_s:
                reason = "all targets of the service are full"
                code = codes.Code.SERVICE_OVERLOADED
                forwarder.fail_request(admitted, code, reason, retry_after_s)
                return
        else:
            target, retry_after_s = await _select_target(forwarder, admitted, untried)
        if target is None and retry_after_s and not forwarder.limiter.without_limits(targets):
            reason = "the limits of all targets are used up"
            forwarder.fail_request(admitted, codes.Code.TARGETS_LIMITED, reason, retry_after_s)
            return
        if target is None:
            if not targets or rejection_count >= MAX_REJECTIONS:
                break
            # Every target was tried. A full target may have free capacity after a short backoff.
            excluded_ids.clear()
            rejection_count += 1
            await asyncio.sleep(min(REJECTED_BACKOFF_SECONDS, max(0.0, admitted.remaining_s())))
            continue
        channel = await forwarder.pool.acquire(
            target.target_id,
            target.address,
            not repeatable,
            admitted.remaining_s(),
            admitted.caller.request_id,
        )
        if channel is None:
            forwarder.target_table.record_loss(target, clock.now())
            excluded_ids.add(target.target_id)
            reason = f"{target.target_id} cannot be reached"
            forwarder.metrics.count("connects_failed")
            continue
        # This may have changed while the call waited for its turn or for the channel.
        if forwarder.must_not_send(admitted, target):
            channel.abort()
            continue
        # The process may have begun to stop meanwhile.
        if not admitted.may_have_run and forwarder.must_refuse(admitted):
            channel.abort()
            continue
        attempt_timeout_s = suspicion_s = _attempt_timeout_s(admitted, target)
        if not repeatable or run_count + 1 >= admitted.route.max_runs:
            attempt_timeout_s = admitted.remaining_s()
        outcome = await _send_call(
            forwarder, admitted, target, channel, attempt_timeout_s, suspicion_s
        )
        if outcome.rejected:
            rejection_count += 1
            excluded_ids.add(target.target_id)
            reason = f"{target.target_id} {outcome.reason}"
            if rejection_count >= MAX_REJECTIONS or not forwarder.try_spend_retry(admitted):
                break
            pauses.record_move(forwarder, target)
            continue
        run_count += 1
        response = outcome.response
        if response is not None and (response.status < 500 or not repeatable):
            if response.complete:
                forwarder.relay_response(admitted, target, response)
                return
            await _relay_large_response(forwarder, admitted, target, channel)
            return
        reason = f"{target.target_id} {outcome.reason}"
        excluded_ids.add(target.target_id)
        is_last_run = not repeatable or run_count >= admitted.route.max_runs
        if (
            is_last_run
            or admitted.remaining_s() < MIN_ATTEMPT_TIMEOUT_SECONDS / 2
            or not forwarder.try_spend_retry(admitted)
        ):
            if response is not None and response.complete:
                forwarder.relay_response(admitted, target, response)
                return
            break
        forwarder.log.line(
            "gateway",
            "retry",
            request=admitted.caller.request_id,
            target=target.target_id,
            reason=outcome.reason,
            left=admitted.remaining_s(),
        )
        forwarder.metrics.count("retries")
    code = codes.Code.QUEUE_FULL if rejection_count else codes.Code.NO_TARGET
    forwarder.fail_request(admitted, code, reason, REJECTED_RETRY_AFTER_SECONDS)


async def _select_admitted(forwarder, admitted, targets, excluded_ids):
    """Selects one of some full targets like `_select_target`, with a grant for its room."""

    def choose(candidates):
        return placement.choose_target(candidates, forwarder.zone, clock.now(), forwarder.rng)

    return await forwarder.overload.select_granted(admitted, targets, excluded_ids, choose)


async def _select_target(forwarder, admitted, targets):
    """Selects a target and waits for its grant if it has a limit.

    Args:
        forwarder: The `forwarder.Forwarder`.
        admitted: The call.
        targets: Targets that may be selected.

    Returns:
        The target, or None; and the seconds after which the call may be repeated if the targets'
        limits do not permit it, else 0.
    """

    def choose(candidates):
        return placement.choose_target(
            candidates, forwarder.zone, clock.now(), forwarder.rng, forwarder.speeds
        )

    target = choose(targets)
    if target is None or not forwarder.limiter.is_limited(target):
        return target, 0.0
    max_wait_s = min(
        GRANT_WAIT_SHARE * admitted.route.objective_s,
        GRANT_WAIT_SHARE * admitted.remaining_s(),
    )
    return await forwarder.limiter.select_granted(admitted, target, targets, choose, max_wait_s)


class SendOutcome:
    """Outcome of sending a call to one target.

    Attributes:
        response: The target's response, or None. It is not complete if its body is too large to be
            buffered.
        rejected: Whether the target stated that it did not run the request.
        reason: Cause for the log.
    """

    __slots__ = ("response", "rejected", "reason")

    def __init__(self, response, rejected: bool, reason: str):
        self.response = response
        self.rejected = rejected
        self.reason = reason


def _attempt_timeout_s(admitted, target):
    """Returns the seconds after which a call that may be repeated is sent to the next target."""
    remaining_s = admitted.remaining_s()
    timeout_from_latency_s = max(
        MIN_ATTEMPT_TIMEOUT_SECONDS, ATTEMPT_TIMEOUT_LATENCY_FACTOR * target.latency_s
    )
    return min(
        remaining_s,
        max(
            timeout_from_latency_s,
            ATTEMPT_TIMEOUT_SHARE * min(remaining_s, admitted.route.objective_s * 2),
        ),
    )


async def _send_call(
    forwarder, admitted, target, channel, attempt_timeout_s, suspicion_s
) -> SendOutcome:
    """Sends the call once and waits for the response.

    Releases or closes the channel unless a part of a large response is returned.

    Args:
        forwarder: The `forwarder.Forwarder`.
        admitted: The call.
        target: The target.
        channel: An idle or new channel to it.
        attempt_timeout_s: Seconds to wait for the response.
        suspicion_s: Seconds without a response after which the target's idle channels may be
            silent like this one.
    """
    started = clock.now()
    dialect = forwarder.dialect
    options = forwarder.build_send_options(admitted, target)
    admitted.send_count += 1
    forwarder.record_sent(admitted, target)
    may_have_run_before = admitted.may_have_run
    # Once a byte was sent, the target may run the call unless it states that it did not.
    admitted.may_have_run = True
    target.open_requests += 1
    try:
        channel.send(
            dialect.encode_request(admitted.request, admitted.caller, options),
            dialect.request_id_header(admitted.caller),
        )
        suspicious_at = started + min(suspicion_s, attempt_timeout_s)
        response = await channel.read_response(suspicious_at, accepts_part=True)
        if response is None and not channel.failure_reason and not channel.response.status:
            forwarder.pool.close_unused_since(target.target_id, started)
        if response is None and not channel.failure_reason:
            response = await channel.read_response(started + attempt_timeout_s, accepts_part=True)
    except BaseException:
        channel.abort()
        raise
    finally:
        target.open_requests -= 1
    now = clock.now()
    response_info = dialect.decode_response(channel.response)
    fault = forwarder.find_response_fault(channel, response_info)
    if channel.response.status and not fault:
        forwarder.observe_response(target, response_info, started)
        if response_info.not_run:
            # The head states it, even if the rest of the response does not arrive.
            response = channel.response
    if response is None:
        is_broken = bool(channel.failure_reason)
        reason = channel.failure_reason or f"no response in {attempt_timeout_s:.3f} s"
        channel.abort()
        target.record_outcome(True, now - started)
        forwarder.record_answer(admitted, target, True)
        if is_broken or not channel.response.status:
            check = forwarder.check_target(target)
            if is_broken:
                await forwarder.report_crash_if_lost(admitted, target, check, channel)
        return SendOutcome(None, False, reason)
    if fault:
        channel.abort()
        target.record_outcome(True, now - started)
        forwarder.record_answer(admitted, target, True)
        return SendOutcome(None, False, fault)
    is_failure = response.status >= 500
    forwarder.overload.observe_response(admitted, target, response_info, is_failure, started)
    if response_info.not_run or is_failure:
        channel.answered_ids.add(admitted.caller.request_id)
    if response.complete:
        forwarder.pool.release(channel)
    elif is_failure or response_info.not_run or response.status in UNPROVEN_STATUSES:
        channel.abort()
    forwarder.process_response(target, response_info)
    if response_info.not_run:
        admitted.may_have_run = may_have_run_before
        return SendOutcome(None, True, f"rejected the request with status {response.status}")
    if response.status in UNPROVEN_STATUSES:
        target.record_outcome(True, now - started)
        forwarder.record_answer(admitted, target, True)
        reason = f"answered {response.status} without a statement that it did not run"
        return SendOutcome(None, False, reason)
    forwarder.record_beginning(admitted.parts, target)
    target.record_outcome(is_failure, now - started)
    forwarder.record_answer(admitted, target, is_failure, now - started)
    return SendOutcome(response, False, f"answered {response.status}")


async def _relay_large_response(forwarder, admitted, target, channel):
    """Forwards a response as it arrives; resets the caller's connection if it stays incomplete."""
    response, responder = channel.response, admitted.responder
    headers = forwarder.dialect.response_headers(response)
    length = response.value_by_header.get("content-length")
    responder.begin(response.status, headers, response.reason, length)
    reason = ""
    is_released = False
    try:
        while not reason:
            data = channel.take_body()
            if data:
                responder.write(data)
                if not await responder.wait_until_writable(admitted.remaining_s()):
                    reason = "the caller did not read the response in time"
                continue
            if response.complete:
                responder.finish()
                forwarder.pool.release(channel)
                is_released = True
                forwarder.log_answered(admitted, target, response.status)
                return
            if channel.failure_reason:
                reason = channel.failure_reason
                forwarder.record_answer(admitted, target, True)
            elif not await channel.wait_for_change(admitted.remaining_s()):
                reason = "the deadline has passed"
    finally:
        if not is_released:
            channel.abort()
    forwarder.metrics.count("responses_cut")
    forwarder.log.line(
        "gateway",
        "response_cut",
        request=admitted.caller.request_id,
        target=target.target_id,
        reason=reason,
        left=admitted.remaining_s(),
    )
    responder.abort()
