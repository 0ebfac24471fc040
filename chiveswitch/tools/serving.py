"""Runs a Starlette application by uvicorn inside a daemon that handles its signals itself."""

import asyncio
import contextlib

import uvicorn


class Server(uvicorn.Server):
    """A uvicorn server that leaves SIGTERM and SIGINT to the daemon, which drains first."""

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


async def stop(server: Server):
    """Stops a server after its open responses have ended."""
    server.should_exit = True
    await server.task


async def abort(server: Server):
    """Stops a server at once and resets its connections."""
    for connection in list(server.server_state.connections):
        connection.transport.abort()
    server.force_exit = True
    server.should_exit = True
    await server.task
