"""Connection of the HTTP library on which a target cannot send bytes without end into memory.

The library keeps a head, a chunk or a body with a length as a whole, whatever their size.
"""

from aiosonic import connection

# Longest head of a response in bytes.
MAX_HEAD_BYTES = 64 * 1024
# Longest chunk, or body with a length, in bytes that is kept as a whole.
MAX_PART_BYTES = 4 * 1024 * 1024


class ResponseTooLargeError(Exception):
    """A target has sent, or has announced, more than may be kept of its response."""


class BoundedConnection(connection.Connection):
    """A connection that is closed when a part of a response is too large.

    Attributes:
        max_part_bytes: Bound of a chunk or a body with a length.
    """

    max_part_bytes = MAX_PART_BYTES

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._head_bytes = 0

    async def readuntil(self, *args, **kwargs):
        """Reads the first line of a response."""
        self._head_bytes = 0
        return await super().readuntil(*args, **kwargs)

    async def readline(self):
        """Reads a line of a head, or the length of a chunk."""
        line = await super().readline()
        self._head_bytes += len(line)
        self.check_size(self._head_bytes, MAX_HEAD_BYTES)
        return line

    async def readexactly(self, size: int):
        """Reads a chunk, or a body with a length."""
        self._head_bytes = 0
        self.check_size(size, self.max_part_bytes)
        return await super().readexactly(size)

    def check_size(self, size: int, max_bytes: int):
        """Closes the connection and raises `ResponseTooLargeError` if a size is above its bound."""
        if size <= max_bytes:
            return
        self.keep = False
        self.close()
        raise ResponseTooLargeError(f"{size} bytes of a response, of which {max_bytes} are kept")
