"""Pauses for which targets have asked this gateway in their refusals.

A target in a pause is sound and keeps its place in the tables, but gets no requests of this
gateway until the pause ends.
"""

import asyncio

from chiveswitch.core import clock

# Longest pause in seconds; a target that asks for a longer one is asked again after this time.
MAX_PAUSE_SECONDS = 60.0
# Share of a pause, and upper bound in seconds, by which its end is delayed at random, so that the
# gateways do not return to the target all at once.
RETURN_SHARE = 0.1
MAX_RETURN_DELAY_SECONDS = 1.0
# Time in seconds over which the callers of one priority are told to return after the end of a
# pause, and over which requests that wait for the end return; callers of the next priority return
# after them.
RETURN_SPREAD_SECONDS = 0.2
# Share of the latency objective, and of the remaining time, for which a request waits for the end
# of a pause.
WAIT_SHARE = 0.5


def record(forwarder, target, seconds: float):
    """Records that a target has asked for a pause; a longer one is kept.

    Args:
        forwarder: The `forwarder.Forwarder`.
        target: The `target_table.Target`.
        seconds: Length of the pause.
    """
    now = clock.now()
    seconds = min(seconds, MAX_PAUSE_SECONDS)
    delay_s = forwarder.rng.uniform(0.0, min(MAX_RETURN_DELAY_SECONDS, RETURN_SHARE * seconds))
    left_s = target.paused_until - now
    if seconds <= left_s:
        return
    target.paused_until = now + seconds + delay_s
    forwarder.metrics.count("pauses_asked")
    forwarder.log.line(
        "gateway",
        "target_paused",
        target=target.target_id,
        seconds=seconds,
        left_before=max(0.0, left_s),
        open=target.open_requests,
    )
    until = target.paused_until
    asyncio.get_running_loop().call_later(until - now, _log_end, forwarder, target, until)


def _log_end(forwarder, target, until: float):
    # A later refusal has extended the pause.
    if target.paused_until != until:
        return
    is_same_start = forwarder.target_table.find(target.target_id) is target
    forwarder.log.line(
        "gateway",
        "pause_ended",
        target=target.target_id,
        reason="elapsed" if is_same_start else "restarted or gone",
    )


def is_paused(target) -> bool:
    """Returns whether a target is in a pause."""
    return target.paused_until > clock.now()


def without_pause(targets: list) -> list:
    """Returns the targets that are not in a pause."""
    return [target for target in targets if not is_paused(target)]


def count_paused(table) -> int:
    """Returns the number of targets of a `target_table.TargetTable` that are in a pause."""
    return sum(is_paused(target) for target in table.target_by_id.values())


def record_move(forwarder, target):
    """Counts a request that goes to another target because the last one has asked for a pause."""
    if is_paused(target):
        forwarder.metrics.count("pauses_moved")


async def wait_for_end(forwarder, admitted, targets: list) -> float:
    """Waits until the first pause ends if all targets are in one and it ends soon.

    Args:
        forwarder: The `forwarder.Forwarder`.
        admitted: The `forwarder.AdmittedRequest`.
        targets: The ready targets of its service.

    Returns:
        0 if a target may be available, or the seconds after which the caller should return.
    """
    if not targets or without_pause(targets):
        return 0.0
    left_s = max(0.0, min(target.paused_until for target in targets) - clock.now())
    max_wait_s = WAIT_SHARE * min(admitted.route.objective_s, admitted.remaining_s())
    if left_s <= max_wait_s:
        forwarder.metrics.count("pauses_waited")
        spread_s = min(RETURN_SPREAD_SECONDS, max_wait_s - left_s)
        await asyncio.sleep(left_s + spread_s * forwarder.rng.random())
        return 0.0
    return left_s + RETURN_SPREAD_SECONDS * (admitted.priority + forwarder.rng.random())
