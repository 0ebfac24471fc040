"""Measures the journal's cost per token and per open journal, in one process without sockets.

Run with `python -m chiveswitch.tools.journal_benchmark`. It drives 800 streams that each append one
token per wake-up, replicated from one owner to its own store and two others, which is the load of
a node at the target size (24,000 tokens/s: a wake-up every 33 ms).
"""

import gc
import time
import tracemalloc

from chiveswitch.core import journal, ranking, replication
from chiveswitch.peers import journal_codec

STREAMS = 800
WAKE_UPS = 300
HOLDERS = ("g0#0", "g1#0", "g2#0")


def measure(streams=STREAMS, wake_ups=WAKE_UPS) -> dict:
    """Returns microseconds per token by part, and bytes per open journal.

    Args:
        streams: Open streams, each of which appends one token per wake-up.
        wake_ups: Number of wake-ups.

    Returns:
        Dict of float by name. Parts of the holders are per token at one holder; those of the owner
        are per token for all holders together.
    """
    gateways = [ranking.Gateway(holder, f"z{n}") for n, holder in enumerate(HOLDERS)]
    owner_memory = _Memory()
    epochs = replication.EpochSource(HOLDERS[0])
    settings = replication.Settings(resend_interval_s=1e9)
    owner_by_key = {}
    for number in range(streams):
        key = (f"account-{number % 40}", f"request-{number:012d}")
        owner = replication.create_owner(key, epochs, gateways, 3, b"h" * 64, 60.0, settings)
        owner_by_key[key] = owner
    owner_bytes = owner_memory.used() / streams
    # The owner's own store and one other; the second other one would only repeat the first.
    stores = {holder: journal.JournalStore(journal.StoreSettings()) for holder in HOLDERS}
    store_memory = _Memory()
    for owner in owner_by_key.values():
        for action in owner.handle(replication.Start(), 0.0):
            frame = journal_codec.encode(action.message)
            (reply,) = stores[action.to].handle(journal_codec.decode(frame).ok, 0.0)
            owner.handle_accepted(action.to, reply, 0.0)
    holder_bytes = store_memory.used() / streams / len(HOLDERS)

    spent = dict.fromkeys(("owner append", "encode", "decode", "holder", "reply codec", "ack"), 0.0)
    clock = time.perf_counter
    committed = frame_bytes = 0
    for wake_up in range(wake_ups):
        batch_by_holder = {holder: [] for holder in HOLDERS}
        begin = clock()
        for owner in owner_by_key.values():
            for send in owner.append([f"tok{wake_up}"], None, None, 0.0):
                batch_by_holder[send.to].append(send.message)
        spent["owner append"] += clock() - begin
        for holder, entries in batch_by_holder.items():
            batch = journal.AppendBatch(HOLDERS[0], entries)
            if holder != HOLDERS[0]:
                begin = clock()
                frame = journal_codec.encode(batch)
                middle = clock()
                batch = journal_codec.decode(frame).ok
                spent["encode"] += middle - begin
                spent["decode"] += clock() - middle
                frame_bytes += len(frame)
            begin = clock()
            (replies,) = stores[holder].handle(batch, 0.0)
            spent["holder"] += clock() - begin
            if holder != HOLDERS[0]:
                begin = clock()
                replies = journal_codec.decode(journal_codec.encode(replies)).ok
                spent["reply codec"] += clock() - begin
            begin = clock()
            for reply in replies.entries:
                for action in owner_by_key[reply.key].handle_accepted(holder, reply, 0.0):
                    committed += isinstance(action, replication.Committed)
            spent["ack"] += clock() - begin
    tokens = streams * wake_ups
    if committed != tokens:
        raise RuntimeError(f"{committed} commits were reported for {tokens} tokens")
    remote = len(HOLDERS) - 1
    calls = {"encode": remote, "decode": remote, "reply codec": remote, "holder": len(HOLDERS)}
    figures = {name: 1e6 * s / tokens / calls.get(name, 1) for name, s in spent.items()}
    # An owner encodes two batches and decodes two replies; the reply codec counts both sides.
    figures["node"] = 1e6 * sum(spent.values()) / tokens
    figures["frame bytes per token"] = frame_bytes / tokens / remote
    figures["owner bytes"] = owner_bytes
    figures["holder bytes"] = holder_bytes
    return figures


class _Memory:
    """Bytes allocated by Python objects since the object was created."""

    def __init__(self):
        gc.collect()
        tracemalloc.start()

    def used(self) -> int:
        """Stops the measurement and returns the bytes."""
        gc.collect()
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        return used


def main():
    """Prints the figures."""
    figures = measure()
    print(f"{STREAMS} streams, {WAKE_UPS} wake-ups, 1 token per stream and wake-up, 3 copies")
    for name in ("owner append", "ack"):
        print(f"owner: {name}: {figures[name]:.2f} us per token for all holders")
    print(f"owner: encode batch: {figures['encode']:.2f} us per token and remote holder")
    print(f"holder: decode batch: {figures['decode']:.2f} us per token")
    print(f"holder: append: {figures['holder']:.2f} us per token")
    print(f"reply batch, encode and decode: {figures['reply codec']:.2f} us per token and holder")
    print(f"frame: {figures['frame bytes per token']:.0f} bytes per token and remote holder")
    # With every node in both roles, a node does the work of one owner and three holders per token.
    print(f"node: {figures['node']:.2f} us per token in all")
    print(f"memory: {figures['owner bytes']:.0f} bytes per owner, without tokens")
    print(f"memory: {figures['holder bytes']:.0f} bytes per open journal at a holder")


if __name__ == "__main__":
    main()
