"""Tests of the proxy that disturbs connections, with a server that echoes."""

import asyncio

import pytest

from chiveswitch.tools import processes
from features import proxies

# Time after which data counts as held back, in seconds, and that in which it must arrive.
HELD_SECONDS = 0.2
ARRIVAL_SECONDS = 2.0


class Rig:
    """An echoing server behind a proxy.

    Attributes:
        proxy: The `proxies.Proxy`.
        received: What the server has received.
    """

    def __init__(self):
        self.received = []
        self.target = f"127.0.0.1:{processes.free_port()}"
        self.proxy = proxies.Proxy(
            f"127.0.0.1:{processes.free_port()}", self.target, follows_target=True
        )
        self._server = None
        self._writers = []

    async def start_server(self):
        """Starts the server."""
        self._server = await asyncio.start_server(self._echo, *self.target.split(":"))

    def stop_server(self):
        """Stops the server."""
        self._server.close()

    async def close(self):
        """Stops the server and the proxy, and closes all connections."""
        self.stop_server()
        for writer in self._writers:
            writer.transport.abort()
        await self.proxy.stop()
        await asyncio.sleep(0)

    async def _echo(self, reader, writer):
        while data := await reader.read(100):
            self.received.append(data)
            writer.write(data)
        writer.close()

    async def connect(self):
        """Returns the streams of a new connection through the proxy."""
        reader, writer = await asyncio.open_connection(*self.proxy.address.split(":"))
        self._writers.append(writer)
        return reader, writer


def run(scenario):
    async def with_rig():
        rig = Rig()
        await rig.start_server()
        await rig.proxy.start()
        await scenario(rig)
        await rig.close()

    asyncio.run(with_rig())


async def exchange(reader, writer, data, seconds=ARRIVAL_SECONDS):
    """Sends data and returns what arrives, or nothing if nothing does in time."""
    writer.write(data)
    return await read(reader, seconds)


async def read(reader, seconds=ARRIVAL_SECONDS):
    try:
        return await asyncio.wait_for(reader.read(100), seconds)
    except TimeoutError:
        return b""


@pytest.mark.parametrize("from_target", [False, True])
def test_a_cut_holds_one_direction_back_until_it_heals(from_target):
    # Guards against cuts that lose data or that cut the other direction, too.
    async def scenario(rig):
        reader, writer = await rig.connect()
        assert await exchange(reader, writer, b"before") == b"before"
        rig.proxy.cut(from_target)
        assert await exchange(reader, writer, b"held", HELD_SECONDS) == b""
        assert (b"held" in rig.received) == from_target
        rig.proxy.heal(from_target)
        assert await read(reader) == b"held"

    run(scenario)


def test_a_cut_that_ends_while_another_one_lasts_changes_nothing():
    # Guards against cuts that end all other cuts of a connection when they heal.
    async def scenario(rig):
        reader, writer = await rig.connect()
        rig.proxy.cut(False)
        rig.proxy.cut(False)
        rig.proxy.heal(False)
        assert await exchange(reader, writer, b"held", HELD_SECONDS) == b""
        rig.proxy.heal(False)
        assert await read(reader) == b"held"

    run(scenario)


def test_no_connection_opens_during_a_cut():
    # Guards against new connections that reach a node that is cut off.
    async def scenario(rig):
        rig.proxy.cut(True)
        reader, writer = await rig.connect()
        assert await exchange(reader, writer, b"early", HELD_SECONDS) == b""
        assert rig.received == []
        rig.proxy.heal(True)
        assert await read(reader) == b"early"

    run(scenario)


def test_silenced_connections_stay_open_and_new_ones_work():
    # Guards against silent connections that show that they are dead.
    async def scenario(rig):
        reader, writer = await rig.connect()
        assert await exchange(reader, writer, b"before") == b"before"
        rig.proxy.silence_open_connections()
        assert await exchange(reader, writer, b"lost", HELD_SECONDS) == b""
        assert not reader.at_eof()
        assert rig.received == [b"before"]
        assert await exchange(*await rig.connect(), b"new") == b"new"

    run(scenario)


def test_connections_are_refused_while_the_server_is_gone():
    # Guards against a killed node that seems to accept connections.
    async def scenario(rig):
        rig.stop_server()
        with pytest.raises(ConnectionRefusedError):
            for _ in range(20):
                await rig.connect()
                await asyncio.sleep(0.02)
        await rig.start_server()
        end = asyncio.get_running_loop().time() + ARRIVAL_SECONDS
        while asyncio.get_running_loop().time() < end:
            try:
                assert await exchange(*await rig.connect(), b"again") == b"again"
                return
            except ConnectionRefusedError:
                await asyncio.sleep(0.05)
        raise AssertionError("the proxy did not listen again")

    run(scenario)
