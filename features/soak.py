"""Randomized soak: real nodes as processes, faults from outside, promises judged from outside.

Run as `python -m features.soak FOLDER SEED [SEED ...]`. Callers and stand-in workers run in this
process. Each worker is reached through a proxy, and each node by its callers, that delays, resets,
silences or cuts connections one way. Nodes are killed, paused, stopped and restarted by signals, in
series that overlap; their disks are lost or end in a torn write, and their time of day jumps. The
judge reads only what callers and workers saw and shares no code with the product.
"""

import asyncio
import contextlib
import pathlib
import random
import shutil
import signal
import sys
import time

import orjson

from chiveswitch.tools import node_test, processes
from features import platform_standins

DISKS = 3
OTHERS = 2
FAULT_SECONDS = 10.0
# Time after the last fault until service is judged; the users' sheets state 12 s.
RECOVERY_SECONDS = 12.0
# Time from an acknowledgement until it holds everywhere, as the users' sheets state it.
APPLY_SECONDS = 2.0
DRAIN_SECONDS = 2.0
# Time that a node has to catch up before the next one may be lost; the sheets state 4 s.
CATCH_UP_SECONDS = 4.0
# Largest jump of the time of day, in seconds.
CLOCK_JUMP_SECONDS = 30
# Largest length of a torn write, in bytes.
TORN_BYTES = 2000
# What a caller's clock may differ from a worker's in this one process, and a machine under load.
SLACK_SECONDS = 0.5


class Proxy:
    """Passes connections on to a worker or a node and harms them on demand.

    Attributes:
        address: Address that is used instead of the target's own.
        delay: Seconds added to each piece of bytes.
        silent: Whether nothing passes in either direction.
        one_way: Whether nothing passes from the target to the one that connects.
    """

    def __init__(self, address: str, target: str):
        self.address = address
        self.delay = 0.0
        self.silent = False
        self.one_way = False
        self._target = target
        self._writers = set()
        self._server = None

    async def start(self):
        """Starts to listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader, writer):
        host, _, port = self._target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        await asyncio.gather(
            self._pump(reader, far_writer, False), self._pump(far_reader, writer, True)
        )
        self._writers -= {writer, far_writer}

    async def _pump(self, reader, writer, is_answer):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await asyncio.sleep(self.delay)
                # What was held back by a cut is lost, as it is when its sender resets.
                if not self.silent and not (is_answer and self.one_way):
                    writer.write(data)
        writer.close()

    def reset(self):
        """Resets all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def stop(self):
        """Stops listening and resets all connections."""
        self.reset()
        self._server.close()


class Record:
    """What callers and operators saw.

    Attributes:
        calls: (request id, answer) of each unrepeatable call.
        streams: (request id, answer) of each stream.
        acked: (time, version) of each acknowledged config.
        reads: (time asked, version) of each answered read.
        left: (time, worker id) of each acknowledged leave.
        broken: Promises that were broken, in words.
    """

    def __init__(self):
        self.calls = []
        self.streams = []
        self.acked = []
        self.reads = []
        self.left = []
        self.broken = []

    def judge(self, workers, run_times):
        """Adds every broken promise of the whole soak."""
        count_by_id = {}
        for worker in workers:
            for request_id, _ in worker.runs:
                count_by_id[request_id] = count_by_id.get(request_id, 0) + 1
        for request_id, answer in self.calls:
            runs = count_by_id.get(request_id, 0)
            if runs > 1:
                self.broken.append(f"call {request_id} ran {runs} times")
            if answer.status in (408, 421, 429, 503) and runs:
                self.broken.append(f"call {request_id} was refused as not run, and ran")
            if answer.status == 200 and answer.body != b"POST /w/x order":
                self.broken.append(f"call {request_id} got another body: {answer.body[:80]}")
            if answer.status == 200 and not runs:
                self.broken.append(f"call {request_id} was answered and never ran")
        for request_id, answer in self.streams:
            ids = answer.event_ids()
            if answer.status == 200 and ids != list(range(len(ids))):
                self.broken.append(f"stream {request_id} has the events {ids}")
            if answer.status == 200 and answer.complete and len(ids) != workers[-1].events:
                self.broken.append(f"stream {request_id} ended as complete after {len(ids)}")
            for line in answer.body.split(b"\n"):
                if line.startswith(b"data: ") and request_id.encode() + b"-" not in line:
                    self.broken.append(f"stream {request_id} holds {line[:60]}")
                    break
        for asked_at, version in self.reads:
            due = [v for at, v in self.acked if at + APPLY_SECONDS + SLACK_SECONDS < asked_at]
            if due and version < max(due):
                self.broken.append(f"a read gave version {version} after {max(due)}")
        for left_at, worker_id in self.left:
            late = [at for at in run_times[worker_id] if at > left_at + DRAIN_SECONDS]
            if late:
                self.broken.append(f"{worker_id} got work {late[0] - left_at:.1f} s after it left")


class Soak:
    """One seeded run.

    Attributes:
        record: The `Record`.
        schedule: Faults in words, with their times.
    """

    def __init__(self, seed: int, cluster, fleet):
        self.record = Record()
        self.schedule = []
        self._rng = random.Random(seed)
        self._cluster = cluster
        self._fleet = fleet
        self._proxy_by_worker = {}
        self._proxy_by_node = {}
        self._run_times = {}
        self._numbers = iter(range(1_000_000))
        self._version = 10
        self._busy_nodes = set()
        self._started = time.monotonic()

    async def run(self):
        """Plays the faults beside the load, waits for the recovery and judges."""
        await self._interpose()
        stop = asyncio.Event()
        load = [
            asyncio.ensure_future(self._callers(stop)),
            asyncio.ensure_future(self._streams(stop)),
            asyncio.ensure_future(self._operator(stop)),
            asyncio.ensure_future(self._readers(stop)),
        ]
        faults = []
        while time.monotonic() - self._started < FAULT_SECONDS:
            name = self._rng.choice(sorted(FAULT_BY_NAME))
            self.schedule.append(f"{time.monotonic() - self._started:.2f} {name}")
            faults.append(asyncio.ensure_future(FAULT_BY_NAME[name](self)))
            await asyncio.sleep(self._rng.uniform(0.3, 1.8))
        await asyncio.gather(*faults)
        await self._recover()
        stop.set()
        await asyncio.gather(*load)
        self.record.judge(self._fleet.workers, self._run_times)
        for proxy in (*self._proxy_by_worker.values(), *self._proxy_by_node.values()):
            await proxy.stop()

    async def _interpose(self):
        for worker in self._fleet.workers:
            proxy = Proxy(f"127.0.3.1:{processes.free_port()}", worker.address)
            await proxy.start()
            self._proxy_by_worker[worker] = proxy
            times = self._run_times[worker.worker_id] = []
            worker.runs = TimedList(times)
            # Copies are named by the address that the nodes know.
            self._fleet.announce_address(worker, proxy.address)
        for node in range(DISKS + OTHERS):
            target = self._cluster.address(node, "front")
            proxy = Proxy(f"127.0.4.1:{processes.free_port()}", target)
            await proxy.start()
            self._proxy_by_node[node] = proxy
        await asyncio.sleep(1.5)

    async def _recover(self):
        end = time.monotonic() + RECOVERY_SECONDS
        number = 0
        while time.monotonic() < end:
            served = 0
            for node in range(DISKS + OTHERS):
                number += 1
                answer = await self._call(node, f"after-{number}")
                served += answer is not None and answer.status == 200
            if served == DISKS + OTHERS:
                break
            await asyncio.sleep(0.2)
        else:
            self.record.broken.append("service did not recover in time")
        newest = max(version for _, version in self.record.acked) if self.record.acked else 0
        for _ in range(50):
            answer = await node_test.request_config(self._cluster, 0, "GET")
            if answer is not None and answer.status == 200:
                version = orjson.loads(answer.body)["version"]
                if version < newest:
                    self.record.broken.append(f"version {newest} was acknowledged and is gone")
                return
            await asyncio.sleep(0.1)
        self.record.broken.append("no read was answered at the end")

    # Load.

    async def _call(self, node, request_id):
        try:
            answer = await node_test.call_address(self._proxy_by_node[node].address, request_id)
        except (OSError, TimeoutError):
            answer = platform_standins.Answer()
        self.record.calls.append((request_id, answer))
        return answer

    async def _callers(self, stop):
        while not stop.is_set():
            node = self._rng.randrange(DISKS + OTHERS)
            asyncio.ensure_future(self._call(node, f"c{next(self._numbers)}"))
            await asyncio.sleep(0.03)

    async def _stream(self, node, request_id):
        fields = platform_standins.stream_headers(request_id)
        address = self._proxy_by_node[node].address
        try:
            answer = await platform_standins.call(address, "POST", "/s/x", fields)
        except (OSError, TimeoutError):
            return
        self.record.streams.append((request_id, answer))

    async def _streams(self, stop):
        while not stop.is_set():
            node = self._rng.randrange(DISKS + OTHERS)
            asyncio.ensure_future(self._stream(node, f"s{next(self._numbers)}"))
            await asyncio.sleep(0.15)

    async def _operator(self, stop):
        while not stop.is_set():
            self._version += self._rng.randrange(1, 4)
            body = orjson.dumps(platform_standins.config(self._version))
            node = self._rng.randrange(DISKS + OTHERS)
            answer = await node_test.request_config(self._cluster, node, "PUT", body)
            if answer is not None and answer.status == 200:
                self.record.acked.append((time.monotonic(), self._version))
            elif answer is not None and 400 <= answer.status < 500:
                self.record.broken.append(f"version {self._version} was refused")
            await asyncio.sleep(0.3)

    async def _readers(self, stop):
        while not stop.is_set():
            asked_at = time.monotonic()
            node = self._rng.randrange(DISKS + OTHERS)
            answer = await node_test.request_config(self._cluster, node, "GET")
            if answer is not None and answer.status == 200:
                self.record.reads.append((asked_at, orjson.loads(answer.body)["version"]))
            await asyncio.sleep(0.2)

    # Faults.

    def _free_node(self, numbers):
        found = [number for number in numbers if number not in self._busy_nodes]
        # One member with a disk may be lost at a time.
        if self._busy_nodes.intersection(range(DISKS)):
            found = [number for number in found if number >= DISKS]
        return self._rng.choice(found) if found else None

    @contextlib.asynccontextmanager
    async def _node(self):
        number = self._free_node(range(DISKS + OTHERS))
        if number is None:
            yield None
            return
        self._busy_nodes.add(number)
        try:
            yield number
            await asyncio.sleep(CATCH_UP_SECONDS)
        finally:
            self._busy_nodes.discard(number)

    async def kill(self):
        """Kills a node and starts it again."""
        async with self._node() as number:
            if number is None:
                return
            self._cluster.signal(number, signal.SIGKILL)
            self._cluster.wait(number)
            await asyncio.sleep(self._rng.uniform(0.0, 1.5))
            self._cluster.start(number)

    async def lose_disk(self):
        """Kills a node and starts it again with an empty disk."""
        async with self._node() as number:
            if number is None or number >= DISKS:
                return
            self._cluster.signal(number, signal.SIGKILL)
            self._cluster.wait(number)
            shutil.rmtree(self._cluster.data_folder(number))
            self._cluster.start(number)

    async def tear_disk(self):
        """Kills a node and leaves part of a write that was not synced at the end of its log."""
        async with self._node() as number:
            if number is None or number >= DISKS:
                return
            self._cluster.signal(number, signal.SIGKILL)
            self._cluster.wait(number)
            last = max((self._cluster.data_folder(number) / "log").iterdir())
            torn = self._rng.randbytes(self._rng.randrange(1, TORN_BYTES))
            last.write_bytes(last.read_bytes() + torn)
            self._cluster.start(number)

    async def shift_clock(self):
        """Has the time of day of a node jump, and for good."""
        number = self._rng.randrange(DISKS + OTHERS)
        seconds = self._rng.randrange(-CLOCK_JUMP_SECONDS, CLOCK_JUMP_SECONDS + 1)
        path = self._cluster.boot_file(number)
        path.with_name(f"{path.name}.clock").write_text(str(seconds))

    async def pause(self):
        """Pauses a node."""
        async with self._node() as number:
            if number is None:
                return
            self._cluster.signal(number, signal.SIGSTOP)
            await asyncio.sleep(self._rng.uniform(0.3, 3.0))
            self._cluster.signal(number, signal.SIGCONT)

    async def stop_node(self):
        """Stops a node and starts it again."""
        async with self._node() as number:
            if number is None:
                return
            self._cluster.signal(number, signal.SIGTERM)
            status = await asyncio.to_thread(self._cluster.wait, number, 20.0)
            if status != 0:
                self.record.broken.append(f"node {number} ended with status {status}")
            self._cluster.start(number)

    async def harm_worker(self):
        """Delays, resets, silences or cuts the connections of a worker one way."""
        await self._harm(self._proxy_by_worker[self._rng.choice(self._fleet.workers)])

    async def harm_callers(self):
        """Does the same to the connections of a node's callers."""
        await self._harm(self._proxy_by_node[self._rng.randrange(DISKS + OTHERS)])

    async def _harm(self, proxy):
        how = self._rng.choice(("delay", "reset", "silent", "one_way"))
        seconds = self._rng.uniform(0.3, 2.0)
        if how == "reset":
            proxy.reset()
            return
        if how == "delay":
            proxy.delay = self._rng.uniform(0.02, 0.3)
        else:
            setattr(proxy, how, True)
        await asyncio.sleep(seconds)
        proxy.delay, proxy.silent, proxy.one_way = 0.0, False, False
        # What was held back is lost, so that the connections cannot go on.
        proxy.reset()

    async def spoil_worker(self):
        """Has a worker fail for a while."""
        worker = self._rng.choice(self._fleet.workers)
        names = ("shed", "unsure", "lose_answer", "fail")
        worker.behaviour = self._rng.choice(names)
        await asyncio.sleep(self._rng.uniform(0.3, 2.0))
        worker.behaviour = "answer"

    async def leave(self):
        """Has a worker of the plain service leave, once, while two others stay."""
        plain = [w for w in self._fleet.workers if w.worker_id.startswith("w")]
        worker = plain[0]
        if worker.worker_id in self._fleet.acknowledged_leavers:
            return
        self._fleet.announce_leaving(worker)
        for _ in range(100):
            if worker.worker_id in self._fleet.acknowledged_leavers:
                self.record.left.append((time.monotonic(), worker.worker_id))
                return
            await asyncio.sleep(0.05)


class TimedList(list):
    """A list of runs that notes the time of each."""

    def __init__(self, times: list):
        super().__init__()
        self._times = times

    def append(self, item):
        """Adds a run."""
        self._times.append(time.monotonic())
        super().append(item)


FAULT_BY_NAME = {
    "harm_callers": Soak.harm_callers,
    "harm_worker": Soak.harm_worker,
    "kill": Soak.kill,
    "leave": Soak.leave,
    "lose_disk": Soak.lose_disk,
    "pause": Soak.pause,
    "shift_clock": Soak.shift_clock,
    "spoil_worker": Soak.spoil_worker,
    "stop": Soak.stop_node,
    "tear_disk": Soak.tear_disk,
}


def play(seed: int, folder: pathlib.Path) -> list[str]:
    """Plays one seed in an empty folder; returns the promises that were broken."""
    found = []

    async def scenario(cluster, fleet):
        await fleet.add("w3", "plain", "c")
        soak = Soak(seed, cluster, fleet)
        await soak.run()
        record = soak.record
        served = sum(answer.status == 200 for _, answer in record.calls)
        whole = sum(answer.complete for _, answer in record.streams)
        print(
            f"seed {seed}: {len(soak.schedule)} faults; {served} of {len(record.calls)} calls and "
            f"{whole} of {len(record.streams)} streams served; {len(record.acked)} configs "
            f"acknowledged, {len(record.reads)} reads; {len(record.broken)} promises broken",
            flush=True,
        )
        found.extend(record.broken)
        if record.broken:
            print("\n".join(soak.schedule + record.broken), flush=True)

    modules = str(pathlib.Path(__file__).parent / "shifted_clock")
    node_test.run_with_cluster(folder, scenario, DISKS, OTHERS, {"PYTHONPATH": modules})
    return found


def main(folder: str, *seeds: str):
    """Plays seeds one after the other, each in a folder of its own that stays with its logs."""
    failed = []
    for seed in seeds:
        place = pathlib.Path(folder) / f"seed-{seed}"
        place.mkdir(parents=True)
        if play(int(seed), place):
            failed.append(seed)
    print(f"{len(seeds)} seeds, failed: {' '.join(failed) or 'none'}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main(*sys.argv[1:])
