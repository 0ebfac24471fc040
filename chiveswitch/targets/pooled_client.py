"""HTTP client with kept connections, which closes a connection whose request fails or times out.

The library would use it again: if it delivers nothing, all further requests on it time out too, and
a late response would be taken for that to the next request.
"""

import aiosonic
from aiosonic import connection, connectors, pools


class FailClosedConnection(connection.Connection):
    """A connection that is not used again after a failed request."""

    async def __aexit__(self, exc_type, exc, traceback):
        if exc_type is not None:
            self.keep = False
            self.blocked = False
            self.close()
        await super().__aexit__(exc_type, exc, traceback)


def new_client(connection_class=FailClosedConnection, **pool_options) -> aiosonic.HTTPClient:
    """Returns a client; close it with `aclose()`.

    Args:
        connection_class: Subclass of `FailClosedConnection`.
        pool_options: Arguments of the library's `PoolConfig`.
    """
    return aiosonic.HTTPClient(
        connectors.TCPConnector(
            pool_configs={":default": pools.PoolConfig(**pool_options)},
            connection_cls=connection_class,
        )
    )
