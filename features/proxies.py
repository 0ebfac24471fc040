"""A TCP proxy of the tests, which delays, resets, blocks or silences connections on demand."""

import asyncio
import contextlib

# Time between two looks at whether a target listens again, in seconds.
TARGET_CHECK_SECONDS = 0.1


class Connection:
    """One connection through a proxy.

    Attributes:
        writers: Streams to the client and to the target.
        silent: Whether data and the ends of streams are dropped from now on, in both directions.
    """

    __slots__ = ("writers", "silent")

    def __init__(self, writers: tuple):
        self.writers = writers
        self.silent = False


class Proxy:
    """A TCP proxy before a server that disturbs connections on demand.

    Attributes:
        address: Address on which it listens in place of the target.
        delay: Seconds by which each chunk is delayed.
        silent: Whether data is dropped in both directions.
        blocks_requests: Whether data to the target is dropped.
        blocks_responses: Whether data from the target is dropped.
        resume_factor: Time for which an open connection stays cut after the end of a cut, as a
            factor of the cut, because retransmissions become rarer.
        accepted: Number of connections that it has accepted.
    """

    def __init__(self, address: str, target: str, follows_target: bool = False):
        """Prepares a proxy.

        Args:
            address: Address on which to listen.
            target: Address of the server.
            follows_target: Whether connections are refused while the server does not listen.
        """
        self.address = address
        self.delay = 0.0
        self.silent = False
        self.blocks_requests = False
        self.blocks_responses = False
        self.resume_factor = 0.0
        self.accepted = 0
        self._target = target
        self._follows_target = follows_target
        # Number of cuts that hold back data to the target, and data from it.
        self._cuts = {False: 0, True: 0}
        self._healed = asyncio.Event()
        self._connections = set()
        self._tasks = set()
        self._server = None
        self._listening_task = None

    async def start(self):
        """Starts to listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def _open_target(self):
        host, _, port = self._target.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def _listen_with_target(self):
        """Stops listening until the target listens again."""
        self._server.close()
        while True:
            await asyncio.sleep(TARGET_CHECK_SECONDS)
            with contextlib.suppress(OSError):
                _, writer = await self._open_target()
                writer.transport.abort()
                await self.start()
                self._listening_task = None
                return

    async def _serve(self, reader, writer):
        self.accepted += 1
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._serve_until_end(reader, writer)
        finally:
            writer.close()
            self._tasks.discard(task)

    async def _serve_until_end(self, reader, writer):
        # A connection cannot be opened while packets of either direction are lost.
        while self._cuts[False] or self._cuts[True]:
            await self._healed.wait()
        try:
            target_reader, target_writer = await self._open_target()
        except OSError:
            writer.transport.abort()
            if self._follows_target and self._listening_task is None:
                self._listening_task = asyncio.ensure_future(self._listen_with_target())
            return
        connection = Connection((writer, target_writer))
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._pump(connection, reader, target_writer, False),
                self._pump(connection, target_reader, writer, True),
            )
        finally:
            target_writer.close()
            self._connections.discard(connection)

    def cut(self, from_target: bool):
        """Holds data of one direction, and new connections, back until the cut heals."""
        self._cuts[from_target] += 1

    def heal(self, from_target: bool):
        """Ends one cut of a direction."""
        self._cuts[from_target] -= 1
        self._healed.set()
        self._healed = asyncio.Event()

    async def _wait_while_cut(self, from_target):
        loop = asyncio.get_running_loop()
        while self._cuts[from_target]:
            started = loop.time()
            while self._cuts[from_target]:
                await self._healed.wait()
            await asyncio.sleep(self.resume_factor * (loop.time() - started))

    async def _pump(self, connection, reader, writer, from_target):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await asyncio.sleep(self.delay)
                await self._wait_while_cut(from_target)
                blocked = self.blocks_responses if from_target else self.blocks_requests
                # Dropped data is never sent later.
                if not (connection.silent or self.silent or blocked):
                    writer.write(data)
        await self._wait_while_cut(from_target)
        if not connection.silent:
            writer.close()

    def silence_open_connections(self):
        """Drops all further data of the open connections for good; new connections work."""
        for connection in self._connections:
            connection.silent = True

    def reset(self):
        """Resets all open connections."""
        for connection in list(self._connections):
            for writer in connection.writers:
                writer.transport.abort()

    async def stop(self):
        """Stops listening and resets all connections."""
        if self._listening_task is not None:
            self._listening_task.cancel()
        self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
