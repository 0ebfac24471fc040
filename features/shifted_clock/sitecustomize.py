"""Shifts the time of day, fills the disk, and redirects connections of a process under test.

Python imports this module at startup. Each call of `time.time` reads the shift in seconds from the
file that `CHIVESWITCH_BOOT` names, with the suffix `.clock`. A test can therefore make the clock
jump while the process runs. While the file with the suffix `.full` exists, the functions of `os`
that it names, separated by spaces, report that the disk is full. If a file with the suffix
`.proxies` exists at startup, each of its lines has an address and that of the proxy to which
asyncio connects in its place, both as `host:port`.
"""

import errno
import os
import time

_shift_file = f"{os.environ.get('CHIVESWITCH_BOOT', '')}.clock"
_full_file = f"{os.environ.get('CHIVESWITCH_BOOT', '')}.full"
_real_time, _real_time_ns = time.time, time.time_ns


def _read_shift_seconds() -> int:
    try:
        with open(_shift_file) as file:
            return int(file.read() or 0)
    except OSError:
        # Without the file the clock is not shifted.
        return 0


time.time = lambda: _real_time() + _read_shift_seconds()
time.time_ns = lambda: _real_time_ns() + _read_shift_seconds() * 1_000_000_000


def _refuse_when_full(name):
    function = getattr(os, name)

    def refuse_or_call(*arguments, **more):
        try:
            with open(_full_file) as file:
                refused = name in file.read().split()
        except OSError:
            refused = False
        if refused:
            raise OSError(errno.ENOSPC, "No space left on device")
        return function(*arguments, **more)

    setattr(os, name, refuse_or_call)


for _name in ("write", "fdatasync", "fsync", "ftruncate", "replace", "unlink"):
    _refuse_when_full(_name)


def _redirect_connections(proxy_by_address):
    import asyncio

    connect = asyncio.BaseEventLoop.create_connection

    async def connect_to_proxy(self, protocol_factory, host=None, port=None, **more):
        proxy = proxy_by_address.get(f"{host}:{port}")
        if proxy is not None:
            host, _, port = proxy.rpartition(":")
        return await connect(self, protocol_factory, host, port and int(port), **more)

    asyncio.BaseEventLoop.create_connection = connect_to_proxy


try:
    with open(f"{os.environ.get('CHIVESWITCH_BOOT', '')}.proxies") as _file:
        _redirect_connections(dict(_line.split() for _line in _file))
except OSError:
    # Without the file all connections are direct.
    pass
