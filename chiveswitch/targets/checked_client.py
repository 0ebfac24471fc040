"""HTTP client for requests that may be sent only while a condition holds, such as a lease.

A pooled connection may have been dropped without notice, and its reuse would skip the check after
connecting. Therefore each client opens one connection for one request.
"""

import contextvars

import aiosonic
from aiosonic import connection, connectors, exceptions, pools

CONNECT_TIMEOUT_SECONDS = 0.5

_may_send = contextvars.ContextVar("may_send", default=None)


class SendForbiddenError(Exception):
    """The condition no longer held when the first byte was to be sent."""


# Errors after which certainly no byte of the request was sent.
NOT_SENT_ERRORS = (SendForbiddenError, ConnectionRefusedError, exceptions.ConnectTimeout)


class _CheckedConnection(connection.Connection):
    """A connection that checks after connecting, before the first byte, whether it may send."""

    async def connect(self, *args, **kwargs):
        await super().connect(*args, **kwargs)
        may_send = _may_send.get()
        if may_send is not None and not may_send():
            self.close()
            raise SendForbiddenError


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
