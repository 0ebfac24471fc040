"""Tests of a target's announcements over connections that stay open and deliver nothing."""

import asyncio

from chiveswitch.core import clock
from chiveswitch.forwarding import http_server
from chiveswitch.targets import announcer
from chiveswitch.tools import processes
from features import proxies


def test_announcements_use_a_new_connection_after_a_silent_one():
    # Guards against a target that announces itself on a kept connection which delivers nothing, and
    # counts as gone although new connections work.
    announced_at = []

    async def accept(_request, responder):
        announced_at.append(clock.now())
        responder.send(200, [("Content-Type", "application/json")], b'{"ticket": "t"}')

    async def scenario():
        own_address, address = (f"127.0.0.1:{port}" for port in processes.free_ports(2))
        server = http_server.Server(accept)
        await server.start(own_address)
        proxy = proxies.Proxy(address, own_address)
        await proxy.start()
        target = announcer.Announcer(lambda: {"id": "t"}, [address])
        task = asyncio.ensure_future(target.run())
        await asyncio.sleep(1.2)
        assert len(announced_at) >= 2 and proxy.accepted == 1
        proxy.silence_open_connections()
        silent_at = clock.now()
        await asyncio.sleep(2.0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await server.close()
        await proxy.stop()
        return [at - silent_at for at in announced_at if at > silent_at]

    delays = asyncio.run(scenario())
    assert delays and delays[0] < 1.5


def test_a_late_response_is_not_taken_for_the_next_one():
    # Guards against a kept connection on which an announcement timed out: the late response to it
    # would be read as the response to the next announcement.
    received = []

    async def accept_late(request, responder):
        received.append(request)
        number = len(received)
        if number == 2:
            await asyncio.sleep(announcer.ANNOUNCE_TIMEOUT_SECONDS + 0.1)
        fields = [("Content-Type", "application/json")]
        responder.send(200, fields, b'{"ticket": "t%d"}' % number)

    async def scenario():
        address = f"127.0.0.1:{processes.free_port()}"
        server = http_server.Server(accept_late)
        await server.start(address)
        target = announcer.Announcer(lambda: {"id": "t"}, [address])
        for _ in range(2):
            await target.announce()
        await asyncio.sleep(0.3)
        await target.announce()
        ticket = target._ticket_by_gateway[address]
        await target._client.aclose()
        await server.close()
        return ticket

    assert asyncio.run(scenario()) == "t3"
