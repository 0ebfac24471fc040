"""Tests of a real node process on a small machine beside crowds of clients that nobody controls."""

import asyncio
import contextlib
import os
import signal
import socket
import struct

import orjson
import pytest

from chiveswitch.forwarding import endless_bytes_test
from chiveswitch.tools import node_test
from features import hostile_targets_test, platform_standins

pytestmark = pytest.mark.processes

# Limits of the machine in the nodes' settings.
MEMORY_MB = 72
MAX_DESCRIPTORS = 600
# Descriptors of these that the platform reserves for files outside the disk folder.
RESERVED_DESCRIPTORS = 200
# Largest memory in bytes and largest number of descriptors of the node beside a crowd.
MEMORY_BOUND_BYTES = MEMORY_MB * 1_000_000
DESCRIPTOR_BOUND = MAX_DESCRIPTORS - RESERVED_DESCRIPTORS
# Limits on callers in the config, and the limit on bodies of configs.
HEADER_BYTES = 16 * 1024
BODY_BYTES = 1024 * 1024
CONFIG_BYTES = 4 * 1024 * 1024
# The crowds: clients that send much each, and clients that only hold a connection.
CROWD = 128
IDLE_CROWD = 500
UNREAD_CROWD = 32
# Seconds for which a crowd may send; then its connections stay open as they are.
SEND_SECONDS = 3.0
SAMPLE_SECONDS = 0.05
# Attempts at an ordinary request and the pause between them; a refusal asks for another one.
ATTEMPTS = 20
ATTEMPT_PAUSE_SECONDS = 0.2
# The node without a disk, at which the crowds are.
NODE = 3
PIECE_BYTES = 8 * 1024
# Size of the answers that callers do not read, and requests on each of their connections.
ANSWER_BYTES = 250_000
UNREAD_REQUESTS = 30
# Seconds in which targets send these answers, however busy the machine is.
UNREAD_SECONDS = 8.0
SLOW_CALL_SECONDS = 10.0

CALL = (
    b"POST /w/x HTTP/1.1\r\nHost: svc.example\r\nAuthorization: Bearer key-1\r\n"
    b"X-Request-Id: h%d\r\nX-Deadline-Ms: 20000\r\n"
)
BLOCK = b"x" * 65_536
TINY_CHUNKS = b"10\r\n0123456789abcdef\r\n" * 4096
FRAME_PREFIX = struct.Struct("!I")

# Coroutine function (writer, number of the client) by name of the form.
FORM_BY_NAME = {}


def form(function):
    """Registers what one client of a crowd sends."""
    FORM_BY_NAME[function.__name__] = function
    return function


def short_lines(size):
    """Returns header lines of a few bytes with different names."""
    names = (b"%x" % number for number in range(0x100, 0xFFFFF))
    lines = []
    while size > 0:
        lines.append(next(names) + b": \r\n")
        size -= len(lines[-1])
    return b"".join(lines[:-1])


async def write_all(writer, data, piece_bytes=64 * 1024):
    """Writes bytes in pieces and waits until the system has taken each."""
    for start in range(0, len(data), piece_bytes):
        writer.write(data[start : start + piece_bytes])
        await writer.drain()


async def write_body(writer, size, block=BLOCK):
    """Writes bytes of a body, of which the clients share the memory."""
    while size > 0:
        await write_all(writer, block[:size])
        size -= len(block)


@form
async def heads_of_short_lines_without_end(writer, number):
    head = CALL % number
    await write_all(writer, head + short_lines(HEADER_BYTES - len(head) - 64))


@form
async def heads_of_equal_lines_without_end(writer, number):
    head = CALL % number
    await write_all(writer, head + b"x:\r\n" * ((HEADER_BYTES - len(head) - 64) // 4))


@form
async def heads_of_short_lines(writer, number):
    head = CALL % number + b"Content-Length: 0\r\n"
    await write_all(writer, head + short_lines(HEADER_BYTES - len(head) - 64) + b"\r\n")


@form
async def whole_bodies_one_byte_short(writer, number):
    writer.write(CALL % number + b"Content-Length: %d\r\n\r\n" % BODY_BYTES)
    await write_body(writer, BODY_BYTES - 1)


@form
async def bodies_piece_by_piece_one_byte_short(writer, number):
    writer.write(CALL % number + b"Content-Length: %d\r\n\r\n" % BODY_BYTES)
    for _ in range(BODY_BYTES // PIECE_BYTES - 1):
        await write_all(writer, b"x" * PIECE_BYTES)
        await asyncio.sleep(0.005)
    await write_all(writer, b"x" * (PIECE_BYTES - 1))


@form
async def chunked_bodies_without_end(writer, number):
    writer.write(CALL % number + b"Transfer-Encoding: chunked\r\n\r\n")
    size = BODY_BYTES - 1
    writer.write(b"%x\r\n" % size)
    await write_body(writer, size)
    writer.write(b"\r\n")


@form
async def bodies_of_tiny_chunks(writer, number):
    writer.write(CALL % number + b"Transfer-Encoding: chunked\r\n\r\n")
    await write_body(writer, (BODY_BYTES // 16 - 1) * 22, TINY_CHUNKS)


@form
async def bodies_announced_over_the_limit(writer, number):
    size = 8 * BODY_BYTES
    writer.write(CALL % number + b"Content-Length: %d\r\n\r\n" % size)
    await write_body(writer, size)


@form
async def bodies_over_the_limit(writer, number):
    writer.write(CALL % number + b"Transfer-Encoding: chunked\r\n\r\n")
    for _ in range(128):
        await write_all(writer, b"10000\r\n%b\r\n" % BLOCK)


@form
async def idle_connections(_writer, _number):
    pass


@form
async def pipelined_requests(writer, number):
    requests = (CALL % number + b"Content-Length: 0\r\n\r\n") * 256
    for _ in range(64):
        await write_all(writer, requests)


@form
async def answers_that_are_not_read(writer, number):
    for _ in range(UNREAD_REQUESTS):
        head = CALL.replace(b"/w/x", b"/large/x") % number
        await write_all(writer, head + b"Content-Length: 0\r\n\r\n")


@form
async def heads_and_bodies(writer, number):
    send = heads_of_short_lines_without_end if number % 2 else whole_bodies_one_byte_short
    await send(writer, number)


@form
async def configs_one_byte_short(writer, _number):
    writer.write(b"PUT /config HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % CONFIG_BYTES)
    await write_body(writer, CONFIG_BYTES - 1)


@form
async def frames_one_byte_short(writer, _number):
    writer.write(FRAME_PREFIX.pack(CONFIG_BYTES))
    await write_body(writer, CONFIG_BYTES - 1)


class Gauge:
    """Largest memory and number of descriptors of a process that was seen.

    Attributes:
        bytes: Largest resident memory, with what was received and not read at that time.
        descriptors: Largest number of open descriptors.
    """

    def __init__(self, cluster):
        self.bytes = 0
        self.descriptors = 0
        self._process_id = cluster.process_id(NODE)
        # Addresses in /proc/net/tcp are numbers in the order of bytes of the machine.
        (number,) = struct.unpack("=I", socket.inet_aton(cluster.ips[NODE]))
        self._ip = f"{number:08X}"

    async def run(self):
        """Samples until it is cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_SECONDS)

    def sample(self):
        """Takes one sample."""
        peak_bytes = hostile_targets_test.peak_kib(self._process_id) * 1024
        self.bytes = max(self.bytes, peak_bytes + self._unread_bytes())
        count = len(os.listdir(f"/proc/{self._process_id}/fd"))
        self.descriptors = max(self.descriptors, count)

    def _unread_bytes(self):
        total = 0
        with open("/proc/net/tcp") as file:
            for line in file:
                fields = line.split()
                # Listeners, whose state is 0A, count connections there.
                if fields[1].startswith(self._ip) and fields[3] != "0A":
                    total += int(fields[4].partition(":")[2], 16)
        return total


async def hold(address, name, number, until):
    """Is one client: sends and keeps the connection open, without reading, until an event is set.

    The client's receive buffer is small, so that it does not take what the test wants unread.
    """
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    writer = None
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(SEND_SECONDS):
            await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
            _, writer = await asyncio.open_connection(sock=sock, limit=4096)
            writer.transport.pause_reading()
            await FORM_BY_NAME[name](writer, number)
    await until.wait()
    if writer is not None:
        writer.transport.abort()
    sock.close()


async def call_until_answered(cluster, request_id):
    """Sends an ordinary request, again after a refusal or a closed connection; returns its status.

    Its id differs between attempts, as those of callers do.
    """
    status = None
    for attempt in range(ATTEMPTS):
        with contextlib.suppress(OSError, TimeoutError, AssertionError):
            async with asyncio.timeout(4.0):
                answer = await node_test.call_node(cluster, NODE, f"{request_id}-{attempt}")
            status = answer.status
        if status == 200:
            break
        await asyncio.sleep(ATTEMPT_PAUSE_SECONDS)
    return status


def make_config():
    """Returns a config with larger limits, and with a route to a target of large answers."""
    document = platform_standins.make_config(4)
    document["limits"] = {
        "max-header-bytes": HEADER_BYTES,
        "max-body-bytes": BODY_BYTES,
        "header-timeout-ms": 10_000,
        "idle-timeout-ms": 15_000,
    }
    document["routes"][2]["timeout-ms"] = 20_000
    route = {**document["routes"][2], "name": "large", "path-prefix": "/large/"}
    document["routes"].append({**route, "service": "large"})
    document["services"].append({**document["services"][1], "name": "large"})
    return document


async def write_large_answer(target, writer, request_id):
    """Answers with a complete body that the gateway buffers whole."""
    head = endless_bytes_test.HEAD % request_id + b"Content-Length: %d\r\n\r\n" % ANSWER_BYTES
    await target.write(writer, head + b"x" * ANSWER_BYTES)


def run_beside_crowd(
    tmp_path, name, listener="front", count=CROWD, slow=False, seconds=SEND_SECONDS
):
    """Runs a crowd at a listener of a small machine; returns its `Gauge` and the statuses.

    Args:
        tmp_path: Folder of the cluster.
        name: Name of the form.
        listener: Name of the listener.
        count: Number of clients.
        slow: Whether the workers hold the crowd's requests.
        seconds: Seconds until the first ordinary request.
    """
    found = []

    async def prepare(cluster):
        cluster.limits = f"memory-mb = {MEMORY_MB}\nmax-fds = {MAX_DESCRIPTORS}"

    async def scenario(cluster, fleet):
        assert (await node_test.put_config(cluster, 0, make_config())).status == 200
        await node_test.wait_in_force(cluster, NODE, 4)
        announcer = hostile_targets_test.Announcer(cluster)
        target = endless_bytes_test.RawTarget("large", write_large_answer)
        await target.start(announcer, "large", "a")
        await node_test.wait_for_gauge(cluster, NODE, "targets", 6)
        gauge = Gauge(cluster)
        sampling = asyncio.ensure_future(gauge.run())
        is_over = asyncio.Event()
        for worker in fleet.workers:
            worker.call_seconds = SLOW_CALL_SECONDS if slow else 0.0
        address = cluster.address(NODE, listener)
        crowd = [asyncio.ensure_future(hold(address, name, n, is_over)) for n in range(count)]
        await asyncio.sleep(seconds)
        for worker in fleet.workers:
            worker.call_seconds = 0.0
        statuses = [await call_until_answered(cluster, "beside")]
        is_over.set()
        await asyncio.gather(*crowd)
        statuses.append(await call_until_answered(cluster, "after"))
        sampling.cancel()
        gauge.sample()
        await announcer.close()
        await target.stop()
        assert cluster.log(NODE).count("node: start ") == 1
        found.append((gauge, statuses))

    node_test.run_with_cluster(tmp_path, scenario, prepare=prepare)
    return found[0]


def check_node(gauge, statuses):
    """Checks that the node kept to its machine and that ordinary requests were answered."""
    print(f"{gauge.bytes} bytes, {gauge.descriptors} descriptors")
    seen = {
        "memory": gauge.bytes < MEMORY_BOUND_BYTES,
        "descriptors": gauge.descriptors <= DESCRIPTOR_BOUND,
        "statuses": statuses,
    }
    expected = {"memory": True, "descriptors": True, "statuses": [200, 200]}
    assert seen == expected


CALLER_FORMS = (
    heads_of_short_lines_without_end,
    heads_of_equal_lines_without_end,
    whole_bodies_one_byte_short,
    bodies_piece_by_piece_one_byte_short,
    chunked_bodies_without_end,
    bodies_of_tiny_chunks,
    bodies_announced_over_the_limit,
    bodies_over_the_limit,
    heads_and_bodies,
)


@pytest.mark.parametrize("name", [function.__name__ for function in CALLER_FORMS])
def test_callers_fit_into_a_small_machine(name, tmp_path):
    # Guards against a node that runs out of memory by what callers have it hold.
    check_node(*run_beside_crowd(tmp_path, name))


def test_answers_that_are_not_read_fit_into_a_small_machine(tmp_path):
    # Guards against a node that runs out of memory by answers that wait for their callers.
    name = answers_that_are_not_read.__name__
    check_node(*run_beside_crowd(tmp_path, name, count=UNREAD_CROWD, seconds=UNREAD_SECONDS))


@pytest.mark.parametrize("name", ["heads_of_short_lines", "pipelined_requests"])
def test_requests_in_progress_fit_into_a_small_machine(name, tmp_path):
    # Guards against a node that runs out of memory by complete requests that wait for targets.
    check_node(*run_beside_crowd(tmp_path, name, slow=True))


@pytest.mark.parametrize("listener", ["front", "control", "directory", "ready", "metrics", "peer"])
def test_idle_connections_leave_descriptors(listener, tmp_path):
    # Guards against a node that can open no file and no connection any more.
    check_node(*run_beside_crowd(tmp_path, "idle_connections", listener, IDLE_CROWD))


FORM_BY_LISTENER = {
    "control": configs_one_byte_short,
    "directory": heads_of_short_lines_without_end,
    "ready": heads_of_short_lines_without_end,
    "metrics": heads_of_short_lines_without_end,
    "peer": frames_one_byte_short,
}


@pytest.mark.parametrize("listener", FORM_BY_LISTENER)
def test_clients_of_other_listeners_fit_into_a_small_machine(listener, tmp_path):
    # Guards against a node that runs out of memory by what others than callers have it hold.
    check_node(*run_beside_crowd(tmp_path, FORM_BY_LISTENER[listener].__name__, listener))


def test_a_large_config_is_published_beside_open_ones(tmp_path):
    # Guards against a budget that keeps an operator's large document out.
    published = []

    async def prepare(cluster):
        cluster.limits = f"memory-mb = {MEMORY_MB}\nmax-fds = {MAX_DESCRIPTORS}"

    async def scenario(cluster, _fleet):
        is_over = asyncio.Event()
        address = cluster.address(NODE, "control")
        crowd = [
            asyncio.ensure_future(hold(address, configs_one_byte_short.__name__, n, is_over))
            for n in range(CROWD)
        ]
        await asyncio.sleep(SEND_SECONDS)
        document = node_test.make_large_config(4, 500)
        body = orjson.dumps(document)
        for _ in range(ATTEMPTS):
            answer = await node_test.request_config(cluster, NODE, "PUT", body)
            if answer is not None and answer.status == 307:
                number = node_test.redirected_node(cluster, answer)
                answer = await node_test.request_config(cluster, number, "PUT", body)
            if answer is not None and answer.status == 200:
                published.append(answer.status)
                break
            await asyncio.sleep(ATTEMPT_PAUSE_SECONDS)
        is_over.set()
        await asyncio.gather(*crowd)

    node_test.run_with_cluster(tmp_path, scenario, prepare=prepare)
    assert published == [200]


def test_a_planned_stop_ends_beside_a_crowd(tmp_path):
    # Guards against a stop that waits for clients that never end their requests.
    statuses = []

    async def prepare(cluster):
        cluster.limits = f"memory-mb = {MEMORY_MB}\nmax-fds = {MAX_DESCRIPTORS}"

    async def scenario(cluster, _fleet):
        is_over = asyncio.Event()
        address = cluster.address(NODE, "front")
        crowd = [
            asyncio.ensure_future(hold(address, heads_and_bodies.__name__, n, is_over))
            for n in range(CROWD)
        ]
        await asyncio.sleep(SEND_SECONDS)
        cluster.signal(NODE, signal.SIGTERM)
        # The platform kills a process after the grace time; a busy machine may be late.
        seconds = 2 * node_test.GRACE_SECONDS
        statuses.append(await asyncio.to_thread(cluster.wait, NODE, seconds))
        is_over.set()
        await asyncio.gather(*crowd)

    node_test.run_with_cluster(tmp_path, scenario, prepare=prepare)
    assert statuses == [0]
