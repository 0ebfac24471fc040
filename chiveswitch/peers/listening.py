"""Listening sockets that accept few connections at a time."""

import contextlib
import socket

# Connections that are accepted in one turn of the event loop. A crowd could otherwise use up all
# descriptors before the first of its connections is counted.
ACCEPTED_PER_TURN = 16
# Established connections that wait in the system until they are accepted.
BACKLOG = 1024


class Listener(socket.socket):
    """A socket whose backlog is `BACKLOG`, however many connections `asyncio` accepts at a time."""

    def listen(self, _accepted_per_turn):
        """Starts to listen; `asyncio` passes the number that it accepts at a time."""
        super().listen(BACKLOG)


def open_listener(host: str, port: int, receive_bytes: int = 0) -> Listener:
    """Opens a socket for `asyncio` to listen on with `backlog=ACCEPTED_PER_TURN`.

    Args:
        host: Own IPv4 address.
        port: Port.
        receive_bytes: Size of the receive buffers of its connections, 0 for that of the system.

    Raises:
        OSError: The address cannot be bound.
    """
    sock = Listener(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if receive_bytes:
            # Connections inherit the size. Without it more is received than the process may hold.
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    sock.setblocking(False)
    return sock
