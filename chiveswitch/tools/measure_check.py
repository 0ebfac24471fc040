"""Checks responses token by token and finds the gaps in streams.

It uses no code of the gateway, so that a fault there cannot hide in the check.
"""

import bisect
import hashlib
import statistics

import hdrh.histogram

# A gap that begins later than this after a fault is not attributed to the fault.
EFFECT_WINDOW_SECONDS = 3.0
HISTOGRAM_MAX_US = 120_000_000


def compute_expected_tokens(seed: int, prompt: str, count: int) -> list:
    """Returns the first tokens that the stand-in engine generates for a prompt.

    This repeats the published rule of the stand-in: a token is a hash of the seed, the prompt and
    the digest of all earlier tokens, each with its length as a prefix.
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


def count_token_errors(tokens: list, seed, prompt: str, max_tokens: int, complete: bool) -> dict:
    """Compares a response with the tokens that it must contain.

    Args:
        tokens: Tokens of the response.
        seed: Sampling seed of the generation, or None if none was received.
        prompt: Prompt of the request.
        max_tokens: Number of tokens that the request asks for.
        complete: Whether the response had its end marker. Without it a prefix is correct.
    Returns:
        Number of errors by kind: missing, repeated or mixed. Empty if there are none.
    """
    expected = compute_expected_tokens(seed, prompt, max_tokens) if seed is not None else []
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
        # All later tokens differ as a consequence, so only the first difference is counted.
        errors[kind] = errors.get(kind, 0) + 1
        break
    if tokens and not expected:
        errors["mixed"] = len(tokens)
    return errors


def find_progress(token_times: list) -> list:
    """Returns (time, new tokens) of the batches that extended the stream of a caller.

    A restarted generation sends all tokens again. The stream makes progress only when it passes the
    largest number of tokens received before.
    """
    progress = []
    reached = 0
    for at, token_count in token_times:
        if token_count > reached:
            progress.append((at, token_count - reached))
            reached = token_count
    return progress


def find_token_gaps(token_times: list) -> list:
    """Returns the seconds between tokens. Tokens of one batch after its first have a gap of 0."""
    progress = find_progress(token_times)
    gaps = []
    for (earlier, _), (later, count) in zip(progress, progress[1:], strict=False):
        gaps.append(later - earlier)
        gaps.extend([0.0] * (count - 1))
    return gaps


def find_gap_around_fault(token_times: list, fault_at: float):
    """Returns (resume latency, raw gap) in seconds of a stream around a fault.

    The raw gap is the longest gap that a token after the fault ended and that began at most
    `EFFECT_WINDOW_SECONDS` after it. The resume latency is the raw gap without the stream's median
    gap.

    Returns:
        (None, None) if no token came after the fault.
    """
    times = [at for at, _ in find_progress(token_times)]
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


def make_histogram(seconds) -> hdrh.histogram.HdrHistogram:
    """Returns a histogram of durations, in microseconds with three significant digits."""
    result = hdrh.histogram.HdrHistogram(1, HISTOGRAM_MAX_US, 3)
    for value in seconds:
        result.record_value(min(HISTOGRAM_MAX_US, max(1, round(value * 1e6))))
    return result


def compute_percentiles(seconds, wanted=(50, 95, 99)) -> dict:
    """Returns percentiles, maximum and count of durations in seconds."""
    seconds = list(seconds)
    if not seconds:
        return {"count": 0}
    histogram = make_histogram(seconds)
    result = {f"p{each}": histogram.get_value_at_percentile(each) / 1e6 for each in wanted}
    return {**result, "max": max(seconds), "count": len(seconds)}


def fit_line(xs: list, ys: list) -> tuple:
    """Returns (slope, intercept) of the least-squares line."""
    return tuple(statistics.linear_regression(xs, ys))
