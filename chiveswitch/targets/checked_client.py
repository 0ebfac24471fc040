"""HTTP client for requests that may be sent only while a condition holds, such as a permit.

A pooled connection may have gone silent, and its reuse would skip the check on connecting, so each
client opens one connection for one request.
"""

import contextvars

import aiosonic
from aiosonic import connection, connectors, exceptions, pools

CONNECT_TIMEOUT_SECONDS = 0.5

_may_send = contextvars.ContextVar("may_send", default=None)


class SendForbiddenError(Exception):
    """The condition ended before the first byte was sent."""


# With these errors no byte of the request has left.
NOT_SENT_ERRORS = (SendForbiddenError, ConnectionRefusedError, exceptions.ConnectTimeout)


class _CheckedConnection(connection.Connection):
    """A connection that asks after connecting, before the first byte, whether to send."""

    async def connect(self, *args, **kwargs):
        await super().connect(*args, **kwargs)
        may_send = _may_send.get()
        if may_send is not None and not may_send():
            self.close()
            raise SendForbiddenError


def new_client() -> aiosonic.HTTPClient:
    """Returns a client for one request; end it with `connector.cleanup()`."""
    return aiosonic.HTTPClient(
        connectors.TCPConnector(
            pool_configs={":default": pools.PoolConfig(size=1)}, connection_cls=_CheckedConnection
        )
    )


async def post(client, url: str, may_send, **options):
    """Sends a POST, which the library never repeats, if it may still be sent.

    Args:
        client: Client from `new_client`.
        url: URL.
        may_send: Function that is asked once the connection stands, or None.
        options: Further arguments of the library's `request`.

    Returns:
        The library's response. Raises one of `NOT_SENT_ERRORS` if no byte has left.
    """
    token = _may_send.set(may_send)
    try:
        return await client.request(url, method="POST", **options)
    finally:
        _may_send.reset(token)
