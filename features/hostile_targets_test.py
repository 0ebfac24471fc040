"""Test of a real node process whose targets send bytes without end to many callers at once."""

import asyncio

import pytest

from chiveswitch.forwarding import endless_bytes_test
from chiveswitch.tools import node_test
from features import platform_standins

pytestmark = pytest.mark.processes

# Memory in KiB of the smallest machines of the users.
MACHINE_KIB = 160 * 1024
CALLERS = 200
DEADLINE_SECONDS = 3
TARGETS = 4
# Blocks that a target sends in each answer; the rest of the answer never comes.
BLOCKS = 16
# The node without a disk, at which all callers are.
NODE = 3
BEGIN_STREAM = endless_bytes_test.HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
PART_BY_CASE = {
    "header fields": (b"HTTP/1.1 200 OK\r\n", b"X-Many: 1\r\n" * 6000),
    "an event without an end": (BEGIN_STREAM, b"ea60\r\n%b\r\n" % (b"x" * 60_000)),
}


class Announcer:
    """Announces targets to the nodes until it is closed."""

    def __init__(self, cluster):
        self._cluster = cluster
        self._tasks = []

    def announce(self, worker, service, zone, sequence):
        """Announces a target from now on; the name is that of `forwarder_test.GatewayFixture`."""
        self._tasks.append(asyncio.ensure_future(self._repeat(worker, service, zone, sequence)))

    async def _repeat(self, worker, service, zone, sequence):
        while True:
            body = worker.heartbeat(service, zone, sequence)
            address = self._cluster.address(sequence % self._cluster.disks, "control")
            path = f"/instances/{worker.worker_id}"
            await platform_standins.send_request(address, "PUT", path, body=body)
            sequence += 1
            await asyncio.sleep(0.3)

    async def close(self):
        """Ends the announcements."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def make_config():
    """Returns a config with a route of streams to the hostile targets."""
    document = platform_standins.make_config(4)
    route = {**document["routes"][0], "name": "hostile", "path-prefix": "/hostile/"}
    document["routes"].append({**route, "service": "hostile"})
    document["services"].append({**document["services"][0], "name": "hostile"})
    return document


def peak_kib(process_id):
    """Returns the largest resident memory that a process has had."""
    with open(f"/proc/{process_id}/status") as file:
        (line,) = [line for line in file if line.startswith("VmHWM:")]
    return int(line.split()[1])


async def send_stream(address, number):
    """Sends one stream, and reads what comes of it or nothing at all until its deadline."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=4096)
    fields = platform_standins.stream_headers(
        f"b{number}", **{"X-Deadline-Ms": DEADLINE_SECONDS * 1000}
    )
    fields["Host"] = "svc.example"
    writer.write(platform_standins.encode_request("POST", "/hostile/x", fields, b"prompt"))
    try:
        async with asyncio.timeout(DEADLINE_SECONDS):
            if number % 2:
                await asyncio.sleep(DEADLINE_SECONDS)
            while await reader.read(65_536):
                pass
    except (ConnectionError, TimeoutError):
        pass
    writer.transport.abort()


@pytest.mark.parametrize("case", PART_BY_CASE)
def test_bytes_without_end_for_many_callers_fit_into_a_small_machine(case, tmp_path):
    # Guards against a node that runs out of memory, and with it the requests of all other callers.
    begin, block = PART_BY_CASE[case]

    async def write_answer(target, writer, request_id):
        await target.write(writer, begin % request_id if b"%s" in begin else begin)
        for _ in range(BLOCKS):
            await target.write(writer, block)
        await asyncio.sleep(60.0)

    async def scenario(cluster, _fleet):
        assert (await node_test.put_config(cluster, 0, make_config())).status == 200
        await node_test.wait_in_force(cluster, NODE, 4)
        announcer = Announcer(cluster)
        targets = []
        for number in range(TARGETS):
            targets.append(endless_bytes_test.RawTarget(f"bad{number}", write_answer))
            await targets[-1].start(announcer, "hostile", "abcd"[number])
        await node_test.wait_for_gauge(cluster, NODE, "targets", 5 + TARGETS)
        address = cluster.address(NODE, "front")
        streams = [asyncio.ensure_future(send_stream(address, n)) for n in range(CALLERS)]
        number = 0
        while not all(stream.done() for stream in streams):
            number += 1
            answer = await node_test.call_node(cluster, NODE, f"r{number}")
            assert answer.status == 200
            await asyncio.sleep(0.05)
        assert sum(target.request_count for target in targets) >= CALLERS
        assert peak_kib(cluster.process_id(NODE)) < MACHINE_KIB
        assert cluster.log(NODE).count("node: start ") == 1
        await announcer.close()
        for target in targets:
            await target.stop()

    node_test.run_with_cluster(tmp_path, scenario)
