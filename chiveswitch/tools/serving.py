"""Runs ASGI applications with uvicorn inside daemons that handle signals themselves."""

import asyncio
import contextlib
import threading

import uvicorn

from chiveswitch.core import clock

# Longest time in seconds that a stopping daemon waits for its last responses.
LAST_RESPONSES_SECONDS = 1.0
# Time in seconds after which a connection is reset whose caller takes none of the bytes that wait
# for it, and interval of the checks.
SEND_TIMEOUT_SECONDS = 15.0
SEND_CHECK_SECONDS = 1.0


class Server(uvicorn.Server):
    """A uvicorn server without signal handlers: on SIGTERM and SIGINT the daemon drains first.

    It resets connections whose callers take no bytes. The library waits for them without a limit.
    """

    def __init__(self, config):
        super().__init__(config)
        self._checked_at = clock.now()
        self._was_late = False
        # (unsent bytes, time since which they have not become less) by connection.
        self._unsent_by_connection = {}

    async def on_tick(self, counter: int) -> bool:
        """Checks the connections between the library's own regular tasks."""
        now = clock.now()
        interval_s = now - self._checked_at
        if interval_s >= SEND_CHECK_SECONDS:
            self._checked_at = now
            # After a pause of this process, callers may have read without a notice.
            is_late = interval_s > 2 * SEND_CHECK_SECONDS
            self._reset_stuck_connections(now, is_late and not self._was_late)
            self._was_late = is_late
        return await super().on_tick(counter)

    def _reset_stuck_connections(self, now, was_paused):
        unsent_by_connection = {}
        for connection in self.server_state.connections:
            unsent_bytes = connection.transport.get_write_buffer_size()
            if not unsent_bytes:
                continue
            known_bytes, since = self._unsent_by_connection.get(connection, (unsent_bytes, now))
            if was_paused or unsent_bytes < known_bytes:
                since = now
            unsent_by_connection[connection] = (unsent_bytes, since)
            if now - since > SEND_TIMEOUT_SECONDS:
                connection.transport.abort()
        self._unsent_by_connection = unsent_by_connection

    @contextlib.contextmanager
    def capture_signals(self):
        """Installs no signal handlers."""
        yield


async def start(app, host: str, port: int) -> Server:
    """Starts a server and returns once it accepts connections.

    Args:
        app: The ASGI application.
        host: IP number to listen on.
        port: TCP port.
    Returns:
        The running server; call `stop` with it to end it.
    Raises:
        RuntimeError: The address could not be bound.
    """
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        workers=1,
        loop="asyncio",
        http="httptools",
        ws="none",
        lifespan="off",
        access_log=False,
        log_config=None,
        timeout_keep_alive=30,
        backlog=1024,
    )
    server = Server(config)
    task = asyncio.ensure_future(server.serve())
    server.task = task
    while not server.started:
        if task.done():
            raise RuntimeError(f"cannot listen on {host}:{port}")
        await asyncio.sleep(0.005)
    return server


async def stop(server: Server, timeout_s: float | None = None):
    """Stops a server after its open responses have ended.

    Args:
        server: The server.
        timeout_s: Seconds after which the responses that are still open are cut, or None.
    """
    server.should_exit = True
    await asyncio.wait([server.task], timeout=timeout_s)
    server.force_exit = True
    await server.task


async def abort(server: Server):
    """Stops a server at once and aborts its connections."""
    # The listeners are closed first, so that no client can connect again before the server stops.
    for listener in server.servers:
        listener.close()
    for connection in list(server.server_state.connections):
        connection.transport.abort()
    server.force_exit = True
    server.should_exit = True
    await server.task


class Background:
    """An event loop in a thread, for servers beside code that blocks or runs its own event loop.

    Attributes:
        loop: The event loop.
    """

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()
        self._servers = []

    def run(self, awaitable, limit_s: float = 30.0):
        """Runs an awaitable in the loop and returns its result.

        Args:
            awaitable: Coroutine or future of the loop.
            limit_s: Seconds to wait for the result.

        Raises:
            TimeoutError: There was no result in time.
        """
        return asyncio.run_coroutine_threadsafe(awaitable, self.loop).result(limit_s)

    def serve(self, app) -> str:
        """Serves an application on a free loopback port and returns its address, `ip:port`."""
        server = self.run(start(app, "127.0.0.1", 0))
        self._servers.append(server)
        return f"127.0.0.1:{server.servers[0].sockets[0].getsockname()[1]}"

    def close(self):
        """Stops all servers concurrently, then the loop and its thread."""

        async def stop_all():
            await asyncio.gather(*(stop(server) for server in self._servers))

        self.run(stop_all())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()
        self.loop.close()
