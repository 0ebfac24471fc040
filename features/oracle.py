"""Checks the guarantees against what callers, engines and services saw.

The oracle shares no code with the product, so that a fault of the product cannot hide in the check.
"""

import hashlib

# Result codes that promise that a request did not run. They repeat the product's table on purpose,
# so that a mistake in that table is detected.
NOT_RUN_CODES = {2001, 2002, 2003, 2004, 2005, 2006, 2007, 3001, 3002, 3003, 3004, 3005, 3006, 3007}


def expected_tokens(seed: int, prompt: str, count: int) -> list:
    """Returns the tokens of a prompt as the engine interface defines them."""
    prefix = hashlib.blake2b(digest_size=16)
    tokens = []
    for _ in range(count):
        text = f"{seed}|{prompt}|{prefix.hexdigest()}"
        token = hashlib.blake2b(text.encode(), digest_size=3).hexdigest() + " "
        prefix.update(len(token).to_bytes(4, "big") + token.encode())
        tokens.append(token)
    return tokens


def find_violations(world) -> list:
    """Returns the violations of the guarantees in a run, as sentences that begin with a number."""
    violations = list(world.violations)
    for caller in world.callers:
        violations += find_token_violations(caller)
        violations += find_refusal_violations(caller, world)
    run_count_by_key = {}
    for _, service, key, _ in world.executions:
        if service == "dispatch":
            run_count_by_key[key] = run_count_by_key.get(key, 0) + 1
    violations += [
        f"5: the call {key} ran {count} times"
        for key, count in run_count_by_key.items()
        if count > 1
    ]
    return violations


def find_token_violations(caller) -> list:
    """Checks guarantees 1 to 3 by comparing a caller's events with the recomputed response."""
    violations, name, seed, length, expected = [], "", None, 0, []
    for _, _, kind, values in caller.events:
        if kind == "generation" and values[0] != name:
            name, seed = values
            length = 0
            expected = expected_tokens(seed, caller.prompt, caller.max_tokens)
        elif kind == "tokens":
            token_generation, offset, tokens = values
            if token_generation != name:
                violations.append(f"2: tokens of {token_generation} arrived in generation {name}")
            if offset != length:
                violations.append(f"1: offset {offset} arrived after {length} tokens")
            if tokens != expected[offset : offset + len(tokens)]:
                violations.append(f"2 or 3: tokens at {offset} differ from those of the request")
            length = offset + len(tokens)
        elif kind == "end":
            if values[1] != length or length != caller.max_tokens or values[0] != name:
                violations.append(f"3: the end at {values[1]} arrived after {length} tokens")
    if caller.response is not None and caller.response != f"{caller.request_id} done".encode():
        violations.append(f"3: the response {caller.response!r} belongs to another request")
    return violations


def find_refusal_violations(caller, world) -> list:
    """Checks guarantee 4: what was refused as not run did not run.

    It must run neither before the refusal nor after it, until the caller connects again.
    """
    violations = []
    start_times = [at for at, prompt, _ in world.attempts if prompt == caller.prompt]
    start_times += [at for at, _, key, _ in world.executions if key == caller.request_id]
    for refused_at, code in caller.codes:
        if int(code) not in NOT_RUN_CODES or refused_at in caller.unknown_outcome_times:
            continue
        later_connect_times = [at for at in caller.connect_times if at > refused_at]
        until = min(later_connect_times, default=float("inf"))
        if any(at < until for at in start_times):
            violations.append(f"4: the request ran although code {int(code)} said not run")
    return violations
