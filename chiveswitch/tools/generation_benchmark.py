"""Benchmark of the hot path of `generation.Generation`.

It prints the CPU time per token with one and with eight tokens per event, and the memory of an open
generation. Each batch takes three events: its tokens, their commit, and the read by one reader.
"""

import argparse
import random
import time
import tracemalloc

from chiveswitch.core import detector, digests, generation
from chiveswitch.core import generation_messages as messages


class _UnlimitedBudget:
    def take(self, account, now):
        return True


def create_generations(count: int, max_tokens: int) -> list:
    """Returns state machines that each have a started attempt and one streaming reader.

    Args:
        count: Number of state machines.
        max_tokens: Largest number of tokens of each generation.
    """
    engine_detector = detector.AdaptiveDetector()
    ledger = generation.WorkLedger()
    rng = random.Random(1)
    settings = generation.Settings()
    machines = []
    for index in range(count):
        header = generation.Header(
            "account", f"request-{index}", settings, "m", "", "1", "prompt", 10, 1, max_tokens, 1
        )
        machine = generation.Generation(header, engine_detector, _UnlimitedBudget(), ledger, rng)
        actions = machine.handle(messages.GenerationOpened(), 0.0)
        machine.handle(messages.ReaderAttached(index, None, 0, True), 0.0)
        note = next(a for a in actions if type(a) is messages.AppendJournal).note
        machine.handle(messages.JournalCommitted(1, 0, False, note), 0.0)
        machine.handle(messages.TargetChosen(1, f"engine-{index % 16}"), 0.0)
        machine.handle(messages.StreamStarted(1, 0, digests.of_tokens([])), 0.0)
        machines.append(machine)
    return machines


def feed_tokens(machines: list, tokens_each: int, batch: int) -> float:
    """Passes batches of tokens to all state machines in turn.

    Args:
        machines: State machines from `create_generations`.
        tokens_each: Number of tokens for each of them.
        batch: Number of tokens per event.

    Returns:
        CPU time in seconds, including the creation of the events.
    """
    texts = [f" word{number % 97}" for number in range(tokens_each)]
    now = 0.0
    started_at = time.process_time()
    for offset in range(0, tokens_each, batch):
        now += 0.03
        end = offset + batch
        for index, machine in enumerate(machines):
            actions = machine.handle(messages.Tokens(1, offset, texts[offset:end]), now)
            note = actions[-1].note
            machine.handle(messages.JournalCommitted(1, end, False, note), now)
            machine.handle(messages.ReaderRead(index, 1, end), now)
    return time.process_time() - started_at


def main():
    """Measures CPU time and memory, and prints the figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--streams", type=int, default=800)
    parser.add_argument("--tokens", type=int, default=400, help="tokens per stream")
    parser.add_argument("--rounds", type=int, default=3)
    arguments = parser.parse_args()
    total = arguments.streams * arguments.tokens
    for batch in (1, 8):
        durations = []
        for _ in range(arguments.rounds):
            machines = create_generations(arguments.streams, arguments.tokens)
            durations.append(feed_tokens(machines, arguments.tokens, batch))
        figures = ", ".join(f"{1e6 * seconds / total:.2f}" for seconds in sorted(durations))
        print(f"{batch} token(s) per event: {figures} us per token")
    tracemalloc.start()
    machines = create_generations(arguments.streams, arguments.tokens)
    empty_bytes = tracemalloc.get_traced_memory()[0] / len(machines)
    print(f"open generation without tokens: {empty_bytes:.0f} bytes")
    feed_tokens(machines, arguments.tokens, 8)
    filled_bytes = tracemalloc.get_traced_memory()[0] / len(machines)
    print(f"open generation with {arguments.tokens} shared tokens: {filled_bytes:.0f} bytes")


if __name__ == "__main__":
    main()
