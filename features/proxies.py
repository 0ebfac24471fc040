"""A TCP proxy of the tests, which delays, resets, blocks or silences connections on demand."""

import asyncio
import contextlib


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
        accepted: Number of connections that it has accepted.
    """

    def __init__(self, address: str, target: str):
        self.address = address
        self.delay = 0.0
        self.silent = False
        self.blocks_requests = False
        self.blocks_responses = False
        self.accepted = 0
        self._target = target
        self._connections = set()
        self._server = None

    async def start(self):
        """Starts to listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader, writer):
        self.accepted += 1
        host, _, port = self._target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        connection = Connection((writer, target_writer))
        self._connections.add(connection)
        await asyncio.gather(
            self._pump(connection, reader, target_writer, False),
            self._pump(connection, target_reader, writer, True),
        )
        # Both writers of a silenced connection are still open.
        if not connection.silent:
            self._connections.discard(connection)

    async def _pump(self, connection, reader, writer, from_target):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await asyncio.sleep(self.delay)
                blocked = self.blocks_responses if from_target else self.blocks_requests
                # Dropped data is never sent later.
                if not (connection.silent or self.silent or blocked):
                    writer.write(data)
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
        self.reset()
        self._server.close()
