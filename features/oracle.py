"""Judges a run from what callers, engines and services saw; shares no code with the product."""

import hashlib

# Result codes that say "not run", kept apart from the product's table on purpose.
NOT_RUN = {2001, 2002, 2003, 2004, 2005, 2006, 2007, 3001, 3002, 3003, 3004, 3005, 3006, 3007}


def expected_tokens(seed: int, prompt: str, count: int) -> list:
    """Returns the tokens of a prompt as the engine interface defines them."""
    running = hashlib.blake2b(digest_size=16)
    tokens = []
    for _ in range(count):
        text = f"{seed}|{prompt}|{running.hexdigest()}"
        token = hashlib.blake2b(text.encode(), digest_size=3).hexdigest() + " "
        running.update(len(token).to_bytes(4, "big") + token.encode())
        tokens.append(token)
    return tokens


def judge(world) -> list:
    """Returns the violations of the guarantees in a run, as sentences that begin with a number."""
    found = list(world.violations)
    for caller in world.callers:
        found += judge_tokens(caller)
        found += judge_refusals(caller, world)
    runs = {}
    for _, service, key, _ in world.executions:
        if service == "dispatch":
            runs[key] = runs.get(key, 0) + 1
    found += [f"5: the call {key} ran {count} times" for key, count in runs.items() if count > 1]
    return found


def judge_tokens(caller) -> list:
    """Guarantees 1 to 3: replays the caller's events against the recomputed response."""
    found, name, seed, length, wanted = [], "", None, 0, []
    for _, _, kind, values in caller.events:
        if kind == "generation" and values[0] != name:
            name, seed = values
            length = 0
            wanted = expected_tokens(seed, caller.prompt, caller.max_tokens)
        elif kind == "tokens":
            answer, offset, tokens = values
            if answer != name:
                found.append(f"2: tokens of {answer} came in generation {name}")
            if offset != length:
                found.append(f"1: offset {offset} came after {length} tokens")
            if tokens != wanted[offset : offset + len(tokens)]:
                found.append(f"2 or 3: tokens at {offset} are not those of the request")
            length = offset + len(tokens)
        elif kind == "end":
            if values[1] != length or length != caller.max_tokens or values[0] != name:
                found.append(f"3: the end at {values[1]} came after {length} tokens")
    if caller.response is not None and caller.response != f"{caller.request_id} done".encode():
        found.append(f"3: the response {caller.response!r} is of another request")
    return found


def judge_refusals(caller, world) -> list:
    """Guarantee 4: what was refused as not run did not run before, nor later by itself."""
    found = []
    starts = [at for at, prompt, _ in world.attempts if prompt == caller.prompt]
    starts += [at for at, _, key, _ in world.executions if key == caller.request_id]
    for told, code in caller.codes:
        if int(code) not in NOT_RUN or told in caller.fate_unknown_at:
            continue
        asked_later = [at for at in caller.asked if at > told]
        until = min(asked_later, default=float("inf"))
        if any(at < until for at in starts):
            found.append(f"4: code {int(code)} said not run, but it ran")
    return found
