"""Randomized soak test of real node processes under overlapping faults.

Run as `python -m features.soak FOLDER SEED [SEED ...]`. Callers and stand-in workers run in this
process. Nodes reach each worker and each other, and callers and the operator reach each node,
through a proxy that can delay, reset or silence connections, block their responses, or be cut.
Nodes are killed, paused, stopped and restarted by signals; their disks are lost, full or end in a
torn write, and their time of day jumps. The checks use only what callers and workers saw, and share
no code with the product.
"""

import argparse
import asyncio
import contextlib
import functools
import math
import pathlib
import random
import shutil
import signal
import sys
import time

import orjson

from chiveswitch.core import clock
from chiveswitch.tools import node_stop_test, node_test, processes
from features import link_faults, platform_standins, proxies

DISK_NODES = 3
DISKLESS_NODES = 2
FAULT_SECONDS = 10.0
# Functions of `os` that report a full disk.
FULL_DISK_OPERATIONS = (
    "write",
    "fdatasync",
    "write ftruncate",
    "write fdatasync fsync ftruncate replace unlink",
)
# Time after the last fault within which service must recover, as the users require it.
RECOVERY_LIMIT_SECONDS = 12.0
# Time within which a config is acknowledged, and the addition for each of its routes, as the users
# require it.
ACKNOWLEDGE_LIMIT_SECONDS = 4.0
ACKNOWLEDGE_LIMIT_SECONDS_PER_ROUTE = 0.003
# Time within which an operator waits for an answer, and probability that it sends an order without
# an answer again, rather than its next one.
OPERATOR_WAIT_SECONDS = 3.0
RESEND_PROBABILITY = 0.5
# Time within which a caller waits for the directory.
RESOLVE_WAIT_SECONDS = 1.0
# Time within which an acknowledged config is in force everywhere, as the users require it.
APPLY_LIMIT_SECONDS = 2.0
# Time after an acknowledged leave within which a worker may still get work.
DRAIN_LIMIT_SECONDS = 2.0
# Time for a restarted node to catch up before the next one may be lost, as the users state it.
CATCH_UP_SECONDS = 4.0
# Time from the first response that names a limit until the limit holds, the window in which
# requests are counted, and the tolerated factor and addition, as the users state them.
LIMIT_GRACE_SECONDS = 3.0
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
LIMIT_ADDITION = 5
# Pause in seconds that workers ask for, time from a refusal until the pause holds, and number of
# requests that a worker may get in a pause from one node, as the users state them.
ASKED_PAUSE_SECONDS = 3.0
PAUSE_GRACE_SECONDS = 0.5
PAUSE_REQUESTS = 2
# Duration of a worker's call in seconds, number of nodes with kept connections and of these to each
# of them, and deadline of the calls on them in milliseconds.
CALL_SECONDS = 0.1
KEPT_NODES = 5
KEPT_CONNECTIONS = 2
KEPT_CALL_DEADLINE_MS = 3000
# Time after the end of a process within which a caller sees the end of its connection.
CLOSE_DELAY_SECONDS = 1.0
# Largest jump of the time of day, in seconds.
MAX_CLOCK_JUMP_SECONDS = 30
# Every so many configs one is so large that nodes with slow links redirect the operator.
LARGE_CONFIG_INTERVAL = 6
LARGE_CONFIG_ROUTES = 1500
MAX_REDIRECTS = 2
# Largest length of a torn write, in bytes.
MAX_TORN_WRITE_BYTES = 2000
# Tolerance for delays of this process between an event and its timestamp on a loaded machine.
TOLERANCE_SECONDS = 0.5


class Record:
    """Responses and acknowledgements that callers, operators and workers received.

    Attributes:
        calls: (request id, answer) of each unrepeatable call.
        streams: (request id, answer) of each stream.
        acknowledged: (time, version) of each acknowledged config.
        reads: (time of the request, version) of each answered read.
        leaves: (time, worker id) of each acknowledged leave.
        limits: (worker, rate, start, end) of each time for which a worker named a limit.
        pauses: (worker, start, end) of each time for which a worker refused requests and asked for
            a pause.
        leaving_since: (worker, time) since which a worker says in its responses that it leaves.
        worker_disturbances: (worker, start, end) of each disturbance of a worker's connections.
        waits: (start, end, limit) of each time for which no order of the operator was acknowledged
            though one was sent, and the time that is permitted when nothing is disturbed.
        out_of_touch: (node, start, end) of each time for which a node need not keep bounds of time
            because of its connections to other nodes.
        other_disturbances: (start, end) of disturbances of the time of day and of the operator's
            connections.
        disturbances: (node, start, end) of each time for which a node was down or catching up.
        stops: (node, time of the signal, time of the end) of each planned stop.
        kept_callers: (node, `node_stop_test.Caller`) of each caller that uses one node without a
            proxy, also while it stops.
        node_by_request: Node that got each request of a caller.
        violations: Violations of the promises to users, as sentences.
    """

    def __init__(self):
        self.calls = []
        self.streams = []
        self.acknowledged = []
        self.reads = []
        self.waits = []
        self.out_of_touch = []
        self.other_disturbances = []
        self.leaves = []
        self.limits = []
        self.pauses = []
        self.leaving_since = []
        self.worker_disturbances = []
        self.disturbances = []
        self.stops = []
        self.kept_callers = []
        self.node_by_request = {}
        self.violations = []

    def find_violations(self, workers, run_times):
        """Adds the violations in all calls, streams, reads and leaves.

        Args:
            workers: All workers; the last one has the number of events of a stream.
            run_times: Times of the runs by worker id.
        """
        count_by_id = {}
        for worker in workers:
            for request_id, _ in worker.runs:
                count_by_id[request_id] = count_by_id.get(request_id, 0) + 1
        for node, caller in self.kept_callers:
            self._add_kept_calls(node, caller, count_by_id)
        for request_id, answer in self.calls:
            runs = count_by_id.get(request_id, 0)
            if runs > 1:
                self.violations.append(f"call {request_id} ran {runs} times")
            if answer.status in (408, 421, 429, 503) and runs:
                self.violations.append(f"call {request_id} was refused as not run, and ran")
            if answer.status == 200 and answer.body != b"POST /w/x order":
                self.violations.append(f"call {request_id} got another body: {answer.body[:80]}")
            if answer.status == 200 and not runs:
                self.violations.append(f"call {request_id} was answered and never ran")
        for request_id, answer in (*self.calls, *self.streams):
            if answer.status == 200 and not answer.value_by_header.get("x-response-seal"):
                self.violations.append(f"{request_id} got a success without a receipt")
            if answer.status == 404:
                self.violations.append(f"{request_id} got 404 on a known route")
        for request_id, answer in self.streams:
            ids = answer.event_ids()
            if answer.status == 200 and ids != list(range(len(ids))):
                self.violations.append(f"stream {request_id} has the events {ids}")
            if answer.status == 200 and answer.complete and len(ids) != workers[-1].events:
                self.violations.append(f"stream {request_id} ended as complete after {len(ids)}")
            for line in answer.body.split(b"\n"):
                if line.startswith(b"data: ") and request_id.encode() + b"-" not in line:
                    self.violations.append(f"stream {request_id} holds {line[:60]}")
                    break
        for limit in self.limits:
            self._find_exceeded_limit(*limit)
        for pause in self.pauses:
            self._find_ignored_pause(*pause)
        for worker, since in self.leaving_since:
            self._find_work_for_leaving(worker, since)
        for asked_at, version in self.reads:
            due = [
                v
                for at, v in self.acknowledged
                if at + APPLY_LIMIT_SECONDS + TOLERANCE_SECONDS < asked_at
            ]
            if due and version < max(due):
                self.violations.append(f"a read gave version {version} after {max(due)}")
        for left_at, worker_id in self.leaves:
            worker = next(each for each in workers if each.worker_id == worker_id)
            late = []
            for (request_id, _), at in zip(worker.runs, run_times[worker_id], strict=True):
                if at > left_at + DRAIN_LIMIT_SECONDS and not self._is_out_of_touch(request_id, at):
                    late.append(at)
            if late:
                self.violations.append(
                    f"{worker_id} got work {late[0] - left_at:.1f} s after it left"
                )

        self._find_late_acknowledgements()

    def _is_out_of_touch(self, request_id, at):
        """Returns whether the node that got a request was out of touch at a time."""
        node = self.node_by_request.get(request_id)
        return any(
            each == node and start <= at <= end + TOLERANCE_SECONDS
            for each, start, end in self.out_of_touch
        )

    def disturbed_until(self) -> float:
        """Returns the time from which on nothing is disturbed."""
        return max((end for _, end in self._all_disturbances()), default=0.0)

    def _all_disturbances(self):
        times = [(start, end) for _, start, end in self.disturbances + self.out_of_touch]
        return sorted(times + self.other_disturbances)

    def _find_late_acknowledgements(self):
        """Adds a violation for each order that was not acknowledged while nothing was disturbed."""
        calm_since = 0.0
        calm = []
        for start, end in (*self._all_disturbances(), (math.inf, math.inf)):
            if start > calm_since:
                calm.append((calm_since, start))
            calm_since = max(calm_since, end)
        for since, until, limit in self.waits:
            for start, end in calm:
                waited = min(until, end) - max(since, start)
                if waited > limit:
                    self.violations.append(
                        f"no config was acknowledged within {waited:.1f} s of calm"
                    )

    def _add_kept_calls(self, node, caller, count_by_id):
        """Adds a caller's calls, and a violation for each that a planned stop left unanswered.

        Whatever happens to workers, their nodes answer. A stop overlaps with no other disturbance
        of its node, and the caller uses no proxy.
        """
        for _, request_id, answer in caller.answered:
            self.calls.append((request_id, answer))
            self.node_by_request[request_id] = node
        for sent_at, closed_at, request_id in caller.unanswered:
            self.node_by_request[request_id] = node
            crossed = closed_at - sent_at <= node_stop_test.CROSSING_SECONDS
            if crossed and request_id not in count_by_id:
                continue
            for stopped_node, signalled_at, ended_at in self.stops:
                until = ended_at + CLOSE_DELAY_SECONDS
                if node == stopped_node and signalled_at <= closed_at <= until:
                    self.violations.append(
                        f"call {request_id} was cut {closed_at - signalled_at:.2f} s after the "
                        f"stop signal of node {node}"
                    )

    def _undisturbed_arrivals(self, worker, since, until):
        """Returns the (time, request id) of arrivals at a worker, by node.

        Nodes and connections that were disturbed in the meantime do not count.
        """
        if any(
            each is worker and start < until and end > since
            for each, start, end in self.worker_disturbances
        ):
            return {}
        disturbed = {
            node for node, start, end in self.disturbances if start < until and end > since
        }
        arrivals_by_node = {}
        for at, request_id in worker.arrivals:
            node = self.node_by_request.get(request_id)
            if since <= at < until and node is not None and node not in disturbed:
                arrivals_by_node.setdefault(node, []).append((at, request_id))
        return arrivals_by_node

    def _find_ignored_pause(self, worker, since, until):
        """Adds a violation if a node sent requests to a worker that had asked it for a pause."""
        refused_ids = set(worker.rejected_request_ids)
        for node, arrivals in self._undisturbed_arrivals(worker, since, until).items():
            for refused_at, request_id in arrivals:
                if request_id not in refused_ids:
                    continue
                begin = refused_at + PAUSE_GRACE_SECONDS + TOLERANCE_SECONDS
                end = refused_at + ASKED_PAUSE_SECONDS
                count = sum(begin < at < end for at, _ in arrivals)
                if count > PAUSE_REQUESTS:
                    self.violations.append(
                        f"node {node} sent {count} requests to {worker.worker_id} in a pause"
                    )
                    return

    def _find_work_for_leaving(self, worker, since):
        """Adds a violation if a node sent work to a worker from which it knew that it leaves."""
        for node, arrivals in self._undisturbed_arrivals(worker, since, math.inf).items():
            first_at = arrivals[0][0] + CALL_SECONDS
            late_after = first_at + DRAIN_LIMIT_SECONDS + 2 * TOLERANCE_SECONDS
            late = [at for at, _ in arrivals if at > late_after]
            if late:
                self.violations.append(
                    f"node {node} sent work to {worker.worker_id} {late[0] - first_at:.1f} s after "
                    f"a response that it leaves"
                )

    def _find_exceeded_limit(self, worker, rate, since, until):
        """Adds a violation if a worker got more requests in a window than its limit permits.

        Nodes that were disturbed in the meantime do not count.
        """
        disturbed = {
            node for node, start, end in self.disturbances if start < until and end > since
        }
        counted = []
        for at, request_id in worker.arrivals:
            node = self.node_by_request.get(request_id)
            is_counted = node not in disturbed and not self._is_out_of_touch(request_id, at)
            if since + LIMIT_GRACE_SECONDS <= at < until and is_counted:
                counted.append(at)
        permitted = LIMIT_FACTOR * rate * LIMIT_WINDOW_SECONDS + LIMIT_ADDITION
        for start in counted:
            count = sum(start <= at < start + LIMIT_WINDOW_SECONDS for at in counted)
            if count > permitted:
                self.violations.append(
                    f"{worker.worker_id} with a limit of {rate} got {count} requests in "
                    f"{LIMIT_WINDOW_SECONDS} s"
                )
                return


class Soak:
    """One seeded run.

    Attributes:
        record: The `Record`.
        schedule: Injected faults, as lines with the seconds since the start and the fault name.
    """

    def __init__(self, seed: int, cluster, fleet, links, fault_names):
        self.record = Record()
        self.schedule = []
        # The faults and their times do not depend on what the load draws meanwhile.
        self._schedule_rng = random.Random(seed)
        self._rng = random.Random(seed + 1)
        self._cluster = cluster
        self._fleet = fleet
        self._links = links
        self._seed = seed
        self._fault_names = sorted(fault_names)
        links.record = self.record
        self._node_count = len(cluster.ips)
        self._proxy_by_worker = {}
        self._proxy_by_node = {}
        self._operator_proxy_by_node = {}
        self._directory_proxy_by_node = {}
        self._sends_large_configs = True
        self._run_times = {}
        self._numbers = iter(range(1_000_000))
        self._version = 10
        self._reserved_nodes = set()
        self._started = time.monotonic()

    async def run(self):
        """Injects faults under load, waits for recovery and checks the record."""
        await self._start_proxies()
        stop = asyncio.Event()
        load = [
            asyncio.ensure_future(self._run_callers(stop)),
            asyncio.ensure_future(self._run_kept_callers(stop)),
            asyncio.ensure_future(self._run_streams(stop)),
            asyncio.ensure_future(self._run_operator(stop)),
            asyncio.ensure_future(self._run_readers(stop)),
            asyncio.ensure_future(self._run_resolvers(stop)),
        ]
        faults = []
        while time.monotonic() - self._started < FAULT_SECONDS:
            name = self._schedule_rng.choice(self._fault_names)
            at = time.monotonic()
            self.schedule.append(f"{at - self._started:.2f} at={at:.2f} {name}")
            faults.append(asyncio.ensure_future(FAULT_BY_NAME[name](self)))
            await asyncio.sleep(self._schedule_rng.uniform(0.3, 1.8))
        await asyncio.gather(*faults)
        await self._check_recovery()
        await self._wait_for_calm_order()
        stop.set()
        await asyncio.gather(*load)
        self.record.find_violations(self._fleet.workers, self._run_times)
        groups = (
            self._proxy_by_worker,
            self._proxy_by_node,
            self._operator_proxy_by_node,
            self._directory_proxy_by_node,
        )
        for group in groups:
            for proxy in group.values():
                await proxy.stop()
        await self._links.stop()

    async def _start_proxies(self):
        for worker in self._fleet.workers:
            worker.call_seconds = CALL_SECONDS
            proxy = proxies.Proxy(f"127.0.3.1:{processes.free_port()}", worker.address)
            await proxy.start()
            self._proxy_by_worker[worker] = proxy
            times = self._run_times[worker.worker_id] = []
            worker.runs = TimestampedList(times)
            # Copies are identified by the address that the nodes use, which is that of the proxy.
            self._fleet.announce_address(worker, proxy.address)
        proxy_by_node_by_listener = {
            "front": self._proxy_by_node,
            "control": self._operator_proxy_by_node,
            "directory": self._directory_proxy_by_node,
        }
        for listener, proxy_by_node in proxy_by_node_by_listener.items():
            for node in range(self._node_count):
                address = f"127.0.4.1:{processes.free_port()}"
                proxy = proxies.Proxy(address, self._cluster.address(node, listener))
                await proxy.start()
                proxy_by_node[node] = proxy
        await asyncio.sleep(1.5)

    async def _check_recovery(self):
        end = time.monotonic() + RECOVERY_LIMIT_SECONDS
        number = 0
        while time.monotonic() < end:
            served = 0
            for node in range(self._node_count):
                number += 1
                answer = await self._send_call(node, f"after-{number}")
                served += answer is not None and answer.status == 200
            if served == self._node_count:
                break
            await asyncio.sleep(0.2)
        else:
            self.record.violations.append(
                f"service did not recover within {RECOVERY_LIMIT_SECONDS} s"
            )
        newest = (
            max(version for _, version in self.record.acknowledged)
            if self.record.acknowledged
            else 0
        )
        for _ in range(50):
            answer = await node_test.request_config(self._cluster, 0, "GET")
            if answer is not None and answer.status == 200:
                version = orjson.loads(answer.body)["version"]
                if version < newest:
                    self.record.violations.append(f"acknowledged version {newest} was lost")
                return
            await asyncio.sleep(0.1)
        self.record.violations.append("no read of the config was answered after the recovery")

    async def _wait_for_calm_order(self):
        """Waits until an order is acknowledged some time after the last disturbance, or overdue."""
        self._sends_large_configs = False
        calm_since = self.record.disturbed_until()
        overdue_at = calm_since + acknowledge_limit(LARGE_CONFIG_ROUTES)
        while time.monotonic() < overdue_at + TOLERANCE_SECONDS:
            if any(at > calm_since for at, _ in self.record.acknowledged):
                return
            await asyncio.sleep(0.05)

    # Generation of load.

    async def _send_call(self, node, request_id):
        self.record.node_by_request[request_id] = node
        try:
            answer = await node_test.call_address(self._proxy_by_node[node].address, request_id)
        except (OSError, TimeoutError):
            answer = platform_standins.Response()
        self.record.calls.append((request_id, answer))
        return answer

    async def _run_callers(self, stop):
        while not stop.is_set():
            node = self._rng.randrange(self._node_count)
            asyncio.ensure_future(self._send_call(node, f"c{next(self._numbers)}"))
            await asyncio.sleep(0.03)

    async def _run_resolvers(self, stop):
        """Asks the directory of any node where to connect, and calls one of the named nodes."""
        node_by_address = {
            self._cluster.address(node, "front"): node for node in range(self._node_count)
        }
        while not stop.is_set():
            await asyncio.sleep(0.2)
            node = self._rng.randrange(self._node_count)
            address = self._directory_proxy_by_node[node].address
            path = "/resolve?name=svc.example&region=r&zone=a"
            try:
                async with asyncio.timeout(RESOLVE_WAIT_SECONDS):
                    answer = await platform_standins.send_request(address, "GET", path)
            except (OSError, TimeoutError):
                continue
            if answer.status != 200 or not answer.complete:
                continue
            named = orjson.loads(answer.body)["addresses"]
            if not node_by_address.keys() >= set(named):
                self.record.violations.append(f"the directory named {named}")
                return
            if named:
                chosen = node_by_address[self._rng.choice(named)]
                asyncio.ensure_future(self._send_call(chosen, f"d{next(self._numbers)}"))

    async def _run_kept_callers(self, stop):
        """Uses each node on one connection until the node closes it, and then on a new one."""
        encode = node_stop_test.call_encoder(KEPT_CALL_DEADLINE_MS)
        nodes = self._rng.sample(range(self._node_count), min(KEPT_NODES, self._node_count))
        for number in range(KEPT_CONNECTIONS * len(nodes)):
            node = nodes[number // KEPT_CONNECTIONS]
            address = self._cluster.address(node, "front")
            caller = node_stop_test.Caller(f"k{number}", address, encode)
            self.record.kept_callers.append((node, caller))
        await asyncio.gather(*(caller.run(stop.is_set) for _, caller in self.record.kept_callers))

    async def _send_stream(self, node, request_id):
        self.record.node_by_request[request_id] = node
        fields = platform_standins.stream_headers(request_id)
        address = self._proxy_by_node[node].address
        try:
            answer = await platform_standins.send_request(address, "POST", "/s/x", fields)
        except (OSError, TimeoutError):
            return
        self.record.streams.append((request_id, answer))

    async def _run_streams(self, stop):
        while not stop.is_set():
            node = self._rng.randrange(self._node_count)
            asyncio.ensure_future(self._send_stream(node, f"s{next(self._numbers)}"))
            await asyncio.sleep(0.15)

    async def _request_config(self, method, body=b""):
        """Sends a request for the config to a random node and follows redirects."""
        node = self._rng.randrange(self._node_count)
        for _ in range(1 + MAX_REDIRECTS):
            address = self._operator_proxy_by_node[node].address
            try:
                async with asyncio.timeout(OPERATOR_WAIT_SECONDS):
                    answer = await platform_standins.send_request(
                        address, method, "/config", body=body
                    )
            except (OSError, TimeoutError):
                return None
            if answer.status != 307:
                return answer
            node = node_test.redirected_node(self._cluster, answer)
        return None

    async def _run_operator(self, stop):
        waits_since = None
        while not stop.is_set():
            if waits_since is None or self._rng.random() > RESEND_PROBABILITY:
                self._version += self._rng.randrange(1, 4)
                is_large = self._rng.randrange(LARGE_CONFIG_INTERVAL) == 0
                routes = LARGE_CONFIG_ROUTES if is_large and self._sends_large_configs else 0
                body = orjson.dumps(node_test.make_large_config(self._version, routes))
            if waits_since is None:
                waits_since, limit = time.monotonic(), 0.0
            limit = max(limit, acknowledge_limit(routes))
            answer = await self._request_config("PUT", body)
            if answer is not None and answer.status == 200:
                self.record.acknowledged.append((time.monotonic(), self._version))
                self.record.waits.append((waits_since, time.monotonic(), limit))
                waits_since = None
            elif answer is not None and 400 <= answer.status < 500:
                self.record.violations.append(f"version {self._version} was refused")
            await asyncio.sleep(0.3)
        if waits_since is not None:
            self.record.waits.append((waits_since, time.monotonic(), limit))

    async def _run_readers(self, stop):
        while not stop.is_set():
            asked_at = time.monotonic()
            answer = await self._request_config("GET")
            if answer is not None and answer.status == 200:
                self.record.reads.append((asked_at, orjson.loads(answer.body)["version"]))
            await asyncio.sleep(0.2)

    # Injection of faults.

    def _choose_idle_node(self, numbers):
        found = [number for number in numbers if number not in self._reserved_nodes]
        # At most one node with a disk may be unavailable at a time, so that a majority remains.
        if self._reserved_nodes.intersection(range(self._cluster.disks)):
            found = [number for number in found if number >= self._cluster.disks]
        return self._rng.choice(found) if found else None

    @contextlib.asynccontextmanager
    async def _reserve_node(self):
        number = self._choose_idle_node(range(self._node_count))
        if number is None:
            yield None
            return
        self._reserved_nodes.add(number)
        started = clock.now()
        try:
            yield number
            await asyncio.sleep(CATCH_UP_SECONDS)
        finally:
            self.record.disturbances.append((number, started, clock.now()))
            self._reserved_nodes.discard(number)

    async def kill(self):
        """Kills a node and starts it again."""
        async with self._reserve_node() as number:
            if number is None:
                return
            self._cluster.signal(number, signal.SIGKILL)
            self._cluster.wait(number)
            await asyncio.sleep(self._rng.uniform(0.0, 1.5))
            self._cluster.start(number)

    async def lose_disk(self):
        """Kills a node and starts it again with an empty disk."""
        async with self._reserve_node() as number:
            # A disk may be lost only while no other machine with a disk counts as lost.
            if number is None or number >= self._cluster.disks or self._links.is_core_cut():
                return
            self._links.disk_lost_until = math.inf
            self._cluster.signal(number, signal.SIGKILL)
            self._cluster.wait(number)
            shutil.rmtree(self._cluster.data_folder(number))
            self._cluster.start(number)
            self._links.disk_lost_until = clock.now() + CATCH_UP_SECONDS

    async def tear_disk(self):
        """Kills a node and leaves part of a write that was not synced at the end of its log."""
        async with self._reserve_node() as number:
            if number is None or number >= self._cluster.disks:
                return
            self._cluster.signal(number, signal.SIGKILL)
            self._cluster.wait(number)
            last = max((self._cluster.data_folder(number) / "log").iterdir())
            torn = self._rng.randbytes(self._rng.randrange(1, MAX_TORN_WRITE_BYTES))
            last.write_bytes(last.read_bytes() + torn)
            self._cluster.start(number)

    async def fill_disk(self):
        """Lets operations of a node's disk fail for want of room, some from the next sync on."""
        async with self._reserve_node() as number:
            if number is None or number >= self._cluster.disks:
                return
            full = full_disk_file(self._cluster, number)
            full.write_text(self._rng.choice(FULL_DISK_OPERATIONS))
            await asyncio.sleep(self._rng.uniform(0.5, 3.0))
            full.unlink()

    async def shift_clock(self):
        """Shifts the time of day of a node permanently."""
        number = self._rng.randrange(self._node_count)
        seconds = self._rng.randrange(-MAX_CLOCK_JUMP_SECONDS, MAX_CLOCK_JUMP_SECONDS + 1)
        path = self._cluster.boot_file(number)
        path.with_name(f"{path.name}.clock").write_text(str(seconds))
        now = clock.now()
        self.record.other_disturbances.append((now, now + link_faults.CONTACT_SECONDS))

    async def disturb_node_connections(self, name):
        """Disturbs connections between nodes."""
        rng = random.Random(self._seed * 1000 + len(self.schedule))
        await link_faults.FAULT_BY_NAME[name](self._links, rng)

    async def disturb_directory_connections(self):
        """Disturbs the connections from callers to the directory of a node."""
        await self._disturb_proxy(
            self._directory_proxy_by_node[self._rng.randrange(self._node_count)]
        )

    async def disturb_operator_connections(self):
        """Disturbs the connections from operators to a node."""
        started = clock.now()
        await self._disturb_proxy(
            self._operator_proxy_by_node[self._rng.randrange(self._node_count)]
        )
        ended = clock.now() + link_faults.CONTACT_SECONDS
        self.record.other_disturbances.append((started, ended))

    async def pause(self):
        """Pauses a node."""
        async with self._reserve_node() as number:
            if number is None:
                return
            self._cluster.signal(number, signal.SIGSTOP)
            await asyncio.sleep(self._rng.uniform(0.3, 3.0))
            self._cluster.signal(number, signal.SIGCONT)

    async def stop_node(self):
        """Stops a node and starts it again."""
        async with self._reserve_node() as number:
            if number is None:
                return
            signalled_at = clock.now()
            self._cluster.signal(number, signal.SIGTERM)
            status = await asyncio.to_thread(self._cluster.wait, number, 20.0)
            ended_at = clock.now()
            self.record.stops.append((number, signalled_at, ended_at))
            if ended_at - signalled_at > node_test.GRACE_SECONDS:
                took_s = ended_at - signalled_at
                self.record.violations.append(f"node {number} took {took_s:.2f} s to stop")
            if status != 0:
                self.record.violations.append(f"node {number} ended with status {status}")
            self._cluster.start(number)

    async def disturb_worker_connections(self):
        """Disturbs the connections from nodes to a worker."""
        worker = self._rng.choice(self._fleet.workers)
        started = clock.now()
        await self._disturb_proxy(self._proxy_by_worker[worker])
        self.record.worker_disturbances.append((worker, started, clock.now()))

    async def disturb_caller_connections(self):
        """Disturbs the connections from callers to a node."""
        await self._disturb_proxy(self._proxy_by_node[self._rng.randrange(self._node_count)])

    async def _disturb_proxy(self, proxy):
        disturbance = self._rng.choice(("delay", "reset", "silent", "blocks_responses"))
        seconds = self._rng.uniform(0.3, 2.0)
        if disturbance == "reset":
            proxy.reset()
            return
        if disturbance == "delay":
            proxy.delay = self._rng.uniform(0.02, 0.3)
        else:
            setattr(proxy, disturbance, True)
        await asyncio.sleep(seconds)
        proxy.delay, proxy.silent, proxy.blocks_responses = 0.0, False, False
        # Dropped data leaves gaps in the streams of bytes, so the connections cannot continue.
        proxy.reset()

    async def fail_requests(self):
        """Makes a worker refuse requests, fail or lose responses for a while."""
        worker = self._rng.choice(self._fleet.workers)
        names = ("shed", "unsure", "lose_answer", "fail", "send_foreign_bytes")
        worker.behaviour = self._rng.choice(names)
        await asyncio.sleep(self._rng.uniform(0.3, 2.0))
        worker.behaviour = "answer"

    async def limit_workers(self):
        """Makes some workers name a limit for a while."""
        rate = self._rng.choice((0.0, 0.5, 2.0, 6.0))
        count = self._rng.randrange(1, len(self._fleet.workers) + 1)
        chosen = []
        for worker in self._rng.sample(self._fleet.workers, count):
            if worker.named_limit is None:
                worker.named_limit = str(rate)
                chosen.append(worker)
        started = clock.now()
        await asyncio.sleep(self._rng.uniform(5.0, 9.0))
        for worker in chosen:
            self.record.limits.append((worker, rate, started, clock.now()))
            worker.named_limit = None

    async def pause_worker(self):
        """Makes a worker refuse requests and ask for a pause, for longer than the pause."""
        worker = self._rng.choice(self._fleet.workers)
        if worker.behaviour != "answer" or worker.retry_after_values:
            return
        worker.behaviour = "shed"
        worker.retry_after_values = [str(ASKED_PAUSE_SECONDS)]
        started = clock.now()
        await asyncio.sleep(self._rng.uniform(1.0, 2.0) * ASKED_PAUSE_SECONDS)
        worker.behaviour = "answer"
        worker.retry_after_values = []
        self.record.pauses.append((worker, started, clock.now() + ASKED_PAUSE_SECONDS))

    async def announce_leaving_in_responses(self):
        """Makes one engine say in its responses that it leaves, while it announces to be ready."""
        engine = next(w for w in self._fleet.workers if w.worker_id.startswith("e"))
        if not engine.leaving_values:
            engine.leaving_values = ["1"]
            self.record.leaving_since.append((engine, clock.now()))

    async def leave_worker(self):
        """Makes one worker of the plain service leave, if it has not left yet. Two others stay."""
        plain = [w for w in self._fleet.workers if w.worker_id.startswith("w")]
        worker = plain[0]
        if worker.worker_id in self._fleet.acknowledged_leavers:
            return
        self._fleet.announce_leaving(worker)
        for _ in range(100):
            if worker.worker_id in self._fleet.acknowledged_leavers:
                self.record.leaves.append((time.monotonic(), worker.worker_id))
                return
            await asyncio.sleep(0.05)


class TimestampedList(list):
    """A list of runs that also records when each was added."""

    def __init__(self, times: list):
        super().__init__()
        self._times = times

    def append(self, item):
        """Appends a run and its time."""
        self._times.append(time.monotonic())
        super().append(item)


FAULT_BY_NAME = {
    "fill_disk": Soak.fill_disk,
    "harm_callers": Soak.disturb_caller_connections,
    "harm_directory": Soak.disturb_directory_connections,
    "harm_operator": Soak.disturb_operator_connections,
    "harm_worker": Soak.disturb_worker_connections,
    "kill": Soak.kill,
    "leave": Soak.leave_worker,
    "limit": Soak.limit_workers,
    "lose_disk": Soak.lose_disk,
    "pause": Soak.pause,
    "pause_worker": Soak.pause_worker,
    "say_leaving": Soak.announce_leaving_in_responses,
    "shift_clock": Soak.shift_clock,
    "spoil_worker": Soak.fail_requests,
    "stop": Soak.stop_node,
    "tear_disk": Soak.tear_disk,
}
for _name in link_faults.FAULT_BY_NAME:
    FAULT_BY_NAME[_name] = functools.partial(Soak.disturb_node_connections, name=_name)


def acknowledge_limit(routes):
    """Returns the time in which a config with a number of routes must be acknowledged."""
    limit_s = ACKNOWLEDGE_LIMIT_SECONDS + ACKNOWLEDGE_LIMIT_SECONDS_PER_ROUTE * routes
    return limit_s + TOLERANCE_SECONDS


def full_disk_file(cluster, number):
    """Returns the path of the file that names the functions which report a full disk at a node."""
    path = cluster.boot_file(number)
    return path.with_name(f"{path.name}.full")


def run_seed(
    seed: int,
    folder: pathlib.Path,
    disks: int = DISK_NODES,
    others: int = DISKLESS_NODES,
    fault_names=tuple(FAULT_BY_NAME),
) -> list[str]:
    """Runs one seed in an empty folder; returns the violations."""
    found = []
    links = link_faults.NodeLinks()

    async def scenario(cluster, fleet):
        await fleet.add("w3", "plain", "c")
        soak = Soak(seed, cluster, fleet, links, fault_names)
        await soak.run()
        record = soak.record
        served = sum(answer.status == 200 for _, answer in record.calls)
        complete = sum(answer.complete for _, answer in record.streams)
        print(
            f"seed {seed}: {len(soak.schedule)} faults; {served} of {len(record.calls)} calls and "
            f"{complete} of {len(record.streams)} streams served; "
            f"{len(record.acknowledged)} configs acknowledged, {len(record.reads)} reads; "
            f"faults of connections between nodes: {len(links.lines)}; "
            f"{len(record.violations)} promises broken",
            flush=True,
        )
        found.extend(record.violations)
        (folder / "schedule").write_text("\n".join(soak.schedule + links.lines) + "\n")
        if record.violations:
            lines = soak.schedule + links.lines + record.violations
            print("\n".join(lines), flush=True)

    modules = str(pathlib.Path(__file__).parent / "shifted_clock")
    environment = {"PYTHONPATH": modules}
    node_test.run_with_cluster(folder, scenario, disks, others, environment, prepare=links.start)
    return found


def main(arguments):
    """Runs seeds one after the other, each in a new folder that keeps its logs."""
    parser = argparse.ArgumentParser()
    parser.add_argument("folder", type=pathlib.Path)
    parser.add_argument("seeds", type=int, nargs="+")
    parser.add_argument("--disks", type=int, default=DISK_NODES, help="nodes with a disk")
    parser.add_argument("--others", type=int, default=DISKLESS_NODES, help="nodes without a disk")
    parser.add_argument("--faults", help="names of the faults to inject, separated by commas")
    options = parser.parse_args(arguments)
    fault_names = options.faults.split(",") if options.faults else FAULT_BY_NAME
    failed = []
    for seed in options.seeds:
        seed_folder = options.folder / f"seed-{seed}"
        seed_folder.mkdir(parents=True)
        if run_seed(seed, seed_folder, options.disks, options.others, fault_names):
            failed.append(str(seed))
    print(f"{len(options.seeds)} seeds, failed: {' '.join(failed) or 'none'}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main(sys.argv[1:])
