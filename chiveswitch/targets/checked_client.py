"""HTTP client for requests that may be sent only while a condition holds, such as a lease.

A pooled connection may have been dropped without notice, and its reuse would skip the check after
connecting. Therefore each client opens one connection for one request.
"""

import contextvars

import aiosonic
from aiosonic import connectors, exceptions, pools

from chiveswitch.targets import bounded_connection

CONNECT_TIMEOUT_SECONDS = 0.5
# Largest response in bytes.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024

_may_send = contextvars.ContextVar("may_send", default=None)


class SendForbiddenError(Exception):
    """The condition no longer held when the first byte was to be sent."""


# Errors after which certainly no byte of the request was sent.
NOT_SENT_ERRORS = (SendForbiddenError, ConnectionRefusedError, exceptions.ConnectTimeout)


class _CheckedConnection(bounded_connection.BoundedConnection):
    """A connection that checks after connecting, before the first byte, whether it may send."""

    max_part_bytes = MAX_RESPONSE_BYTES

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._body_bytes = 0

    async def connect(self, *args, **kwargs):
        await super().connect(*args, **kwargs)
        may_send = _may_send.get()
        if may_send is not None and not may_send():
            self.close()
            raise SendForbiddenError

    async def readexactly(self, size: int):
        """Reads a chunk, or a body with a length."""
        # The connection has one response, whose chunks are joined.
        self._body_bytes += size
        self.check_size(self._body_bytes, MAX_RESPONSE_BYTES)
        return await super().readexactly(size)


def new_client() -> aiosonic.HTTPClient:
    """Returns a client for one request; release it with `connector.cleanup()`."""
    return aiosonic.HTTPClient(
        connectors.TCPConnector(
            pool_configs={":default": pools.PoolConfig(size=1)}, connection_cls=_CheckedConnection
        )
    )


async def post(client, url: str, may_send, **options):
    """Sends a POST request if the condition still holds. The library never repeats a POST.

    Args:
        client: Client from `new_client`.
        url: URL of the request.
        may_send: Function that returns whether the request may be sent. It is called after the
            connection is established. None means always.
        options: Further arguments of the library's `request`.

    Returns:
        The library's response.

    Raises:
        SendForbiddenError, ConnectionRefusedError, ConnectTimeout: No byte was sent.
    """
    token = _may_send.set(may_send)
    try:
        return await client.request(url, method="POST", **options)
    finally:
        _may_send.reset(token)
