"""Benchmark of the CPU time that a node spends on each forwarded call and event.

Run as `python -m features.forwarding_benchmark EMPTY_FOLDER`. Nodes run as separate processes;
callers and stand-in workers run in this one, so that only the work of the first node is counted.
"""

import asyncio
import pathlib
import sys

import psutil

from chiveswitch.core import clock
from chiveswitch.tools import node_test
from features import platform_standins

CALLS = 2000
CONCURRENT_CALLS = 8
STREAMS = 40
EVENTS = 200
SINGLE_CALLS = 400
IDLE_SECONDS = 5.0


def cpu_seconds(cluster) -> float:
    """Returns the CPU time that the first node has used, in seconds."""
    times = psutil.Process(cluster.process_id(0)).cpu_times()
    return times.user + times.system


async def measure_calls(cluster, prefix: str) -> list[float]:
    """Sends `CALLS` calls, some at a time; returns their sorted latencies in seconds."""
    numbers = iter(range(CALLS))
    latencies = []

    async def send_calls():
        for number in numbers:
            started = clock.now()
            answer = await node_test.call_node(cluster, 0, f"{prefix}{number}")
            assert answer.status == 200
            latencies.append(clock.now() - started)

    await asyncio.gather(*(send_calls() for _ in range(CONCURRENT_CALLS)))
    return sorted(latencies)


async def measure_node(cluster, fleet):
    """Measures idle load, calls and streams, and prints the figures."""
    process = psutil.Process(cluster.process_id(0))
    before = cpu_seconds(cluster)
    await asyncio.sleep(IDLE_SECONDS)
    idle = (cpu_seconds(cluster) - before) / IDLE_SECONDS
    before = cpu_seconds(cluster)
    latencies = await measure_calls(cluster, "r")
    per_call = (cpu_seconds(cluster) - before) / CALLS
    direct_latencies, node_latencies = [], []
    for number in range(SINGLE_CALLS):
        started = clock.now()
        await platform_standins.send_request(fleet.workers[0].address, "POST", "/w/x", {}, b"order")
        direct_latencies.append(clock.now() - started)
        started = clock.now()
        await node_test.call_node(cluster, 0, f"single-{number}")
        node_latencies.append(clock.now() - started)
    direct_latencies.sort()
    node_latencies.sort()
    for worker in fleet.workers:
        worker.events, worker.event_seconds = EVENTS, 0.002
    before = cpu_seconds(cluster)
    streams = [
        platform_standins.send_request(
            cluster.address(0, "front"), "POST", "/s/x", platform_standins.stream_headers(f"s{n}")
        )
        for n in range(STREAMS)
    ]
    answers = await asyncio.gather(*streams)
    count = sum(len(answer.event_ids()) for answer in answers)
    per_event = (cpu_seconds(cluster) - before) / count
    print(f"idle: {idle * 100:.2f} % of a core with 5 targets announcing each 0.25 s")
    print(
        f"call: {per_call * 1e6:.0f} us of processor time, {CALLS} calls, "
        f"{CONCURRENT_CALLS} at once"
    )
    p50, p99 = latencies[CALLS // 2], latencies[CALLS * 99 // 100]
    print(f"call: p50 {p50 * 1e3:.2f} ms, p99 {p99 * 1e3:.2f} ms through the node")
    for label, each in (
        ("without the node", direct_latencies),
        ("through the node", node_latencies),
    ):
        p50, p99 = each[SINGLE_CALLS // 2], each[SINGLE_CALLS * 99 // 100]
        print(f"one call at a time {label}: p50 {p50 * 1e3:.2f} ms, p99 {p99 * 1e3:.2f} ms")
    print(f"event: {per_event * 1e6:.0f} us of processor time, {count} events, {STREAMS} streams")
    print(f"memory: {process.memory_info().rss / 1e6:.0f} MB resident")


def main(folder: str):
    """Runs the measurement in an empty folder."""
    node_test.run_with_cluster(pathlib.Path(folder), measure_node, disks=3, others=0)


if __name__ == "__main__":
    main(sys.argv[1])
