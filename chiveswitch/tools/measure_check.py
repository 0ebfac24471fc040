"""Checks answers token by token and finds the gaps in streams, without code of the gateway."""

import bisect
import hashlib
import statistics

import hdrh.histogram

# A fault's effect on a stream begins within this time, or the stream was not affected.
EFFECT_WINDOW_SECONDS = 3.0
HISTOGRAM_MAX_US = 120_000_000


def expected_tokens(seed: int, prompt: str, count: int) -> list:
    """Returns the first tokens that the stand-in engine makes for a prompt.

    This repeats the published rule of the stand-in: a token is a hash of the seed, the prompt and
    the digest of all earlier tokens, each with its length before it.
    """
    prefix = hashlib.blake2b(digest_size=16)
    tokens = []
    for _ in range(count):
        data = f"{seed}|{prompt}|{prefix.hexdigest()}".encode()
        token = hashlib.blake2b(data, digest_size=3).hexdigest() + " "
        encoded = token.encode()
        prefix.update(len(encoded).to_bytes(4, "big") + encoded)
        tokens.append(token)
    return tokens


def token_errors(tokens: list, seed, prompt: str, max_tokens: int, complete: bool) -> dict:
    """Compares an answer with the tokens that it must hold.

    Args:
        tokens: Tokens of the answer.
        seed: Sampling seed of the answer's generation.
        prompt: The request's prompt.
        max_tokens: Tokens wanted.
        complete: Whether the answer had its end marker; a prefix suffices if not.
    Returns:
        Number of errors by kind: missing, repeated, mixed. Empty if there is none.
    """
    expected = expected_tokens(seed, prompt, max_tokens) if seed is not None else []
    errors = {}
    if complete and len(tokens) < max_tokens:
        errors["missing"] = max_tokens - len(tokens)
    if len(tokens) > max_tokens:
        errors["repeated"] = len(tokens) - max_tokens
    for index, token in enumerate(tokens[: len(expected)]):
        if token == expected[index]:
            continue
        if token in expected[index + 1 :]:
            kind = "missing"
        elif token in expected[:index]:
            kind = "repeated"
        else:
            kind = "mixed"
        # Everything after the first difference differs too, so that one error is counted.
        errors[kind] = errors.get(kind, 0) + 1
        break
    if tokens and not expected:
        errors["mixed"] = len(tokens)
    return errors


def progress(token_times: list) -> list:
    """Returns (time, tokens) of the batches that brought a caller beyond all it had before.

    A restarted generation sends tokens again from the first; the caller's stream continues only
    when it passes the place it had reached.
    """
    rising = []
    reached = 0
    for at, held in token_times:
        if held > reached:
            rising.append((at, held - reached))
            reached = held
    return rising


def token_gaps(token_times: list) -> list:
    """Returns the seconds between tokens; later tokens of one batch have a gap of 0."""
    rising = progress(token_times)
    gaps = []
    for (earlier, _), (later, count) in zip(rising, rising[1:], strict=False):
        gaps.append(later - earlier)
        gaps.extend([0.0] * (count - 1))
    return gaps


def gap_around(token_times: list, fault_at: float):
    """Returns (resume latency, raw gap) in seconds of a stream around a fault.

    The raw gap is the longest gap that a token after the fault ended and that began at most
    `EFFECT_WINDOW_SECONDS` after it. The resume latency is the raw gap without the stream's median
    gap.

    Returns:
        (None, None) if no token came after the fault.
    """
    times = [at for at, _ in progress(token_times)]
    first = bisect.bisect_right(times, fault_at)
    if first == 0 or first == len(times):
        return None, None
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    around = [
        gap
        for gap, begin in zip(gaps[first - 1 :], times[first - 1 :], strict=False)
        if begin <= fault_at + EFFECT_WINDOW_SECONDS
    ]
    raw = max(around)
    return max(0.0, raw - statistics.median(gaps)), raw


def histogram(seconds) -> hdrh.histogram.HdrHistogram:
    """Returns a histogram of times, in microseconds with three digits."""
    result = hdrh.histogram.HdrHistogram(1, HISTOGRAM_MAX_US, 3)
    for value in seconds:
        result.record_value(min(HISTOGRAM_MAX_US, max(1, round(value * 1e6))))
    return result


def percentiles(seconds, wanted=(50, 95, 99)) -> dict:
    """Returns percentiles, maximum and count of times in seconds."""
    seconds = list(seconds)
    if not seconds:
        return {"count": 0}
    held = histogram(seconds)
    result = {f"p{each}": held.get_value_at_percentile(each) / 1e6 for each in wanted}
    return {**result, "max": max(seconds), "count": len(seconds)}


def linear_fit(xs: list, ys: list) -> tuple:
    """Returns (slope, intercept) of the least-squares line."""
    return tuple(statistics.linear_regression(xs, ys))
