"""Tests of the callers' client over connections that stay open and deliver nothing."""

import asyncio

import orjson

from chiveswitch.callers import client
from chiveswitch.forwarding import http_server
from chiveswitch.tools import processes
from features import proxies


def test_calls_use_a_new_connection_after_a_silent_one():
    # Guards against a caller whose calls all time out on a kept connection that delivers nothing,
    # although new connections work.
    async def scenario():
        own_address, address = (f"127.0.0.1:{port}" for port in processes.free_ports(2))

        async def answer(request, responder):
            body = {"addresses": [address], "valid_seconds": 60.0}
            responder.send(200, [("Content-Type", "application/json")], orjson.dumps(body))

        server = http_server.Server(answer)
        await server.start(own_address)
        proxy = proxies.Proxy(address, own_address)
        await proxy.start()
        caller = client.Client(client.CallerSettings([address], "key"))
        first, _ = await caller.call("s", {})
        proxy.silence_open_connections()
        lost, _ = await caller.call("s", {}, timeout=0.3)
        later, _ = await caller.call("s", {}, timeout=0.3)
        await caller.close()
        await server.close()
        await proxy.stop()
        return first, lost, later

    assert asyncio.run(scenario()) == (200, 0, 200)
