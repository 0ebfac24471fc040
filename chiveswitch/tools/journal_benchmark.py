"""Benchmark of the CPU time and memory of journal replication, in one process without sockets.

Run as `python -m chiveswitch.tools.journal_benchmark`. It simulates 800 streams that append one
token per wake-up, which the owner replicates to its own store and two others. This is the load of
a node at the target size (24,000 tokens/s, with a wake-up every 33 ms).
"""

import gc
import time
import tracemalloc

from chiveswitch.core import journal, ranking, replication
from chiveswitch.peers import journal_codec

STREAMS = 800
WAKE_UPS = 300
HOLDERS = ("g0#0", "g1#0", "g2#0")


def measure_journal(streams=STREAMS, wake_ups=WAKE_UPS) -> dict:
    """Returns microseconds per token of each part of the replication, and bytes per open journal.

    Args:
        streams: Number of open streams, each of which appends one token per wake-up.
        wake_ups: Number of wake-ups.

    Returns:
        Dict of float by name. Figures of holders are per token at one holder; figures of the owner
        are per token for all holders together.
    """
    gateways = [ranking.Gateway(holder, f"z{n}") for n, holder in enumerate(HOLDERS)]
    owner_memory = _MemoryMeter()
    epochs = replication.EpochSource(HOLDERS[0])
    settings = replication.Settings(resend_interval_s=1e9)
    owner_by_key = {}
    for number in range(streams):
        key = (f"account-{number % 40}", f"request-{number:012d}")
        owner = replication.create_owner(key, epochs, gateways, 3, b"h" * 64, 60.0, settings)
        owner_by_key[key] = owner
    owner_bytes = owner_memory.stop() / streams
    # The owner's own store and two remote ones.
    stores = {holder: journal.JournalStore(journal.StoreSettings()) for holder in HOLDERS}
    store_memory = _MemoryMeter()
    for owner in owner_by_key.values():
        for action in owner.handle(replication.Start(), 0.0):
            frame = journal_codec.encode(action.message)
            (reply,) = stores[action.to].handle(journal_codec.decode(frame).ok, 0.0)
            owner.handle_accepted(action.to, reply, 0.0)
    holder_bytes = store_memory.stop() / streams / len(HOLDERS)

    seconds_by_part = dict.fromkeys(
        ("owner append", "encode", "decode", "holder", "reply codec", "ack"), 0.0
    )
    clock = time.perf_counter
    committed = frame_bytes = 0
    for wake_up in range(wake_ups):
        batch_by_holder = {holder: [] for holder in HOLDERS}
        begin = clock()
        for owner in owner_by_key.values():
            for send in owner.append([f"tok{wake_up}"], None, None, 0.0):
                batch_by_holder[send.to].append(send.message)
        seconds_by_part["owner append"] += clock() - begin
        for holder, entries in batch_by_holder.items():
            batch = journal.AppendBatch(HOLDERS[0], entries)
            if holder != HOLDERS[0]:
                begin = clock()
                frame = journal_codec.encode(batch)
                encoded_at = clock()
                batch = journal_codec.decode(frame).ok
                seconds_by_part["encode"] += encoded_at - begin
                seconds_by_part["decode"] += clock() - encoded_at
                frame_bytes += len(frame)
            begin = clock()
            (replies,) = stores[holder].handle(batch, 0.0)
            seconds_by_part["holder"] += clock() - begin
            if holder != HOLDERS[0]:
                begin = clock()
                replies = journal_codec.decode(journal_codec.encode(replies)).ok
                seconds_by_part["reply codec"] += clock() - begin
            begin = clock()
            for reply in replies.entries:
                for action in owner_by_key[reply.key].handle_accepted(holder, reply, 0.0):
                    committed += isinstance(action, replication.Committed)
            seconds_by_part["ack"] += clock() - begin
    tokens = streams * wake_ups
    if committed != tokens:
        raise RuntimeError(f"{committed} commits were reported for {tokens} tokens")
    remote_holders = len(HOLDERS) - 1
    calls_per_token = {
        "encode": remote_holders,
        "decode": remote_holders,
        "reply codec": remote_holders,
        "holder": len(HOLDERS),
    }
    figures = {
        name: 1e6 * seconds / tokens / calls_per_token.get(name, 1)
        for name, seconds in seconds_by_part.items()
    }
    # Includes all parts: an owner encodes two batches and decodes two replies, and the figure of
    # the reply codec includes the encoding by the holder.
    figures["node"] = 1e6 * sum(seconds_by_part.values()) / tokens
    figures["frame bytes per token"] = frame_bytes / tokens / remote_holders
    figures["owner bytes"] = owner_bytes
    figures["holder bytes"] = holder_bytes
    return figures


class _MemoryMeter:
    """Measures the bytes allocated by Python objects since its creation."""

    def __init__(self):
        gc.collect()
        tracemalloc.start()

    def stop(self) -> int:
        """Stops the measurement and returns the allocated bytes."""
        gc.collect()
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        return used


def main():
    """Runs the benchmark and prints the figures."""
    figures = measure_journal()
    print(f"{STREAMS} streams, {WAKE_UPS} wake-ups, 1 token per stream and wake-up, 3 copies")
    for name in ("owner append", "ack"):
        print(f"owner: {name}: {figures[name]:.2f} us per token for all holders")
    print(f"owner: encode batch: {figures['encode']:.2f} us per token and remote holder")
    print(f"holder: decode batch: {figures['decode']:.2f} us per token")
    print(f"holder: append: {figures['holder']:.2f} us per token")
    print(f"reply batch, encode and decode: {figures['reply codec']:.2f} us per token and holder")
    print(f"frame: {figures['frame bytes per token']:.0f} bytes per token and remote holder")
    # If every node has both roles, it does the work of one owner and three holders per token.
    print(f"node: {figures['node']:.2f} us per token in all")
    print(f"memory: {figures['owner bytes']:.0f} bytes per owner, without tokens")
    print(f"memory: {figures['holder bytes']:.0f} bytes per open journal at a holder")


if __name__ == "__main__":
    main()
