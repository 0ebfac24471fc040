"""Benchmark of control on loopback: proposals, heartbeats, restart and elections.

Run as `python -m chiveswitch.tools.control_benchmark EMPTY_FOLDER [MEMBERS]`. It prints one JSON
line per figure. All processes share one machine and one disk.
"""

import asyncio
import json
import signal
import sys
import time

import psutil

from chiveswitch.core import clock, control_state
from chiveswitch.peers import control_client
from chiveswitch.storage import data_folder, files
from chiveswitch.tools import cells, processes, sample

wire = control_state.control_thrift

ELECTION_COUNT = 12
PROPOSAL_COUNT = 2000
RESTART_LOG_ENTRIES = 10_000
HEARTBEAT_WINDOW_SECONDS = 10.0


def print_figure(figure, **values):
    """Prints a named figure and its values as a JSON line."""
    print(json.dumps({"figure": figure, **values}), flush=True)


def compute_quantile(values, share) -> float:
    """Returns a quantile of a list of seconds, rounded to 0.1 ms."""
    return round(sorted(values)[min(len(values) - 1, int(share * len(values)))], 4)


async def propose_many(client, count, concurrent, first=0):
    """Proposes new fences and returns the latency of each proposal in seconds.

    Raises RuntimeError if a proposal fails.
    """
    seconds = []
    numbers = iter(range(first, first + count))

    async def propose_in_turn():
        for number in numbers:
            record = wire.NextFence(target=f"t{number}")
            started = time.perf_counter()
            result = await client.propose(record, clock.now() + 30.0)
            if result.is_error():
                raise RuntimeError(repr(result.error))
            seconds.append(time.perf_counter() - started)

    await asyncio.gather(*(propose_in_turn() for _ in range(concurrent)))
    return seconds


async def measure_proposals(cell):
    """Measures the latency and the rate of proposals with 1 and 50 of them in flight."""
    client = cell.client()
    await cells.wait_for_leader(client)
    for concurrent in (1, 50):
        await propose_many(client, 100, concurrent)
        started = time.perf_counter()
        seconds = await propose_many(client, PROPOSAL_COUNT, concurrent)
        print_figure(
            "propose",
            concurrent=concurrent,
            p50_s=compute_quantile(seconds, 0.5),
            p99_s=compute_quantile(seconds, 0.99),
            per_second=round(PROPOSAL_COUNT / (time.perf_counter() - started)),
        )
    await client.close()


async def measure_elections(cell):
    """Kills the leader repeatedly and measures the time until a proposal is applied."""
    seconds = []
    client = cell.client()
    for number in range(ELECTION_COUNT):
        status = await cells.wait_for_leader(client)
        leader_name = cell.member_name(status["leader_address"])
        cell.fleet.kill(leader_name)
        started = time.perf_counter()
        await propose_many(client, 1, 1, 100_000 + number)
        seconds.append(time.perf_counter() - started)
        cell.fleet.start(leader_name, *cell.arguments(leader_name))

        async def has_restarted(leader_name=leader_name):
            probe = control_client.ControlClient([cell.addresses[leader_name]])
            result = await probe.status(clock.now() + 1.0)
            await probe.close()
            return result.is_ok()

        await cells.wait_until(has_restarted)
    print_figure(
        "kill to applied proposal",
        elections=ELECTION_COUNT,
        p50_s=compute_quantile(seconds, 0.5),
        max_s=compute_quantile(seconds, 1.0),
    )
    await client.close()


async def measure_restart(cell):
    """Restarts all members with a long log and measures the time until a confirmed read."""
    client = cell.client()
    status = await cells.wait_for_leader(client)
    await propose_many(client, max(0, RESTART_LOG_ENTRIES - status["applied_index"]), 50)
    index = (await cells.wait_for_leader(client))["applied_index"]
    for name in cell.addresses:
        cell.fleet.signal(name, signal.SIGKILL)
        cell.fleet.process_by_name.pop(name).wait()
    for name in cell.addresses:
        started = time.perf_counter()
        folder = data_folder.open_folder(files.Files(), cell.data_folder(name), str).ok
        opened = time.perf_counter() - started
        entries = len(folder.stored.entries)
        folder.close()
        print_figure("open folder", member=name, entries=entries, seconds=round(opened, 3))
    started = time.perf_counter()
    cell.start()
    await cells.wait_for_leader(client)
    print_figure("restart of all", index=index, seconds=round(time.perf_counter() - started, 3))
    await client.close()


async def send_heartbeats(client, number, latencies):
    """Sends the heartbeats of one simulated gateway each second until it is cancelled."""
    zone = sample.ZONES[number % len(sample.ZONES)]
    name = f"gateway-{number}"
    heartbeat = control_client.GatewayHeartbeat(name, 1, zone, f"10.0.0.1:{number}", "ready", 0)
    while True:
        started = clock.now()
        result = await client.heartbeat(heartbeat, started + 3.0)
        if result.is_ok():
            _, answer = result.ok
            heartbeat.known_serial = answer.serial
            heartbeat.known_gateways = answer.gateways_digest
            latencies.append(clock.now() - started)
        await asyncio.sleep(max(0.0, started + 1.0 - clock.now()))


async def measure_heartbeats(cell):
    """Measures the CPU time, memory and bytes that heartbeats of simulated gateways cost."""
    probe = cell.client()
    for gateways in (0, 10, 50, 100):
        clients = [cell.client() for _ in range(gateways)]
        latencies = []
        tasks = []
        for number, each in enumerate(clients):
            tasks.append(asyncio.ensure_future(send_heartbeats(each, number, latencies)))
            await asyncio.sleep(1.0 / gateways)
        # The first answers carry the bundle, and gateway lists that change while gateways join.
        await asyncio.sleep(3.0)
        status = await cells.wait_for_leader(probe)
        leader = cell.member_name(status["leader_address"])
        process_by_name = {
            name: psutil.Process(cell.fleet.process_by_name[name].pid) for name in cell.addresses
        }
        cpu_before = {name: sum(each.cpu_times()[:2]) for name, each in process_by_name.items()}
        bytes_before = [sum(pair) for pair in zip((0, 0), *map(count_bytes, clients), strict=True)]
        latencies.clear()
        started = time.perf_counter()
        await asyncio.sleep(HEARTBEAT_WINDOW_SECONDS)
        elapsed = time.perf_counter() - started
        cpu_after = {name: sum(each.cpu_times()[:2]) for name, each in process_by_name.items()}
        bytes_after = [sum(pair) for pair in zip((0, 0), *map(count_bytes, clients), strict=True)]
        cpu_percent = {
            n: round(100 * (cpu_after[n] - cpu_before[n]) / elapsed, 2) for n in process_by_name
        }
        values = {}
        if gateways:
            gateway_seconds = gateways * elapsed
            values = {
                "gateway_out_bytes_per_s": round(
                    (bytes_after[0] - bytes_before[0]) / gateway_seconds
                ),
                "gateway_in_bytes_per_s": round(
                    (bytes_after[1] - bytes_before[1]) / gateway_seconds
                ),
                "p50_s": compute_quantile(latencies, 0.5),
                "p99_s": compute_quantile(latencies, 0.99),
            }
        print_figure(
            "heartbeats",
            gateways=gateways,
            leader_cpu_percent=cpu_percent.pop(leader),
            follower_cpu_percent=sorted(cpu_percent.values()),
            leader_rss_mb=round(process_by_name[leader].memory_info().rss / 1e6),
            **values,
        )
        for task in tasks:
            task.cancel()
        for each in clients:
            await each.close()
    await probe.close()


def count_bytes(client) -> tuple:
    """Returns the numbers of bytes that a client has sent and received."""
    return client.bytes_per_direction()


async def measure_cell(cell):
    """Runs all measurements on a new cell."""
    client = cell.client()
    await cells.wait_for_leader(client)

    async def try_put_in_force():
        try:
            return await cells.put_in_force(client, 1)
        except RuntimeError:
            return 0

    await cells.wait_until(try_put_in_force)
    await client.close()
    await measure_proposals(cell)
    await measure_heartbeats(cell)
    await measure_restart(cell)
    await measure_elections(cell)


def main():
    """Runs the measurements in a folder that must be empty."""
    members = int(sys.argv[2]) if len(sys.argv) > 2 else 3
    fleet = processes.Fleet(sys.argv[1])
    cell = cells.Cell(fleet, sys.argv[1], members)
    try:
        cell.start(first=True)
        asyncio.run(measure_cell(cell))
    finally:
        fleet.close()


if __name__ == "__main__":
    main()
