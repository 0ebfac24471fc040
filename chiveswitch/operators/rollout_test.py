"""Tests of polling the gateways after a roll."""

import asyncio

import pytest
from starlette import applications, routing

from chiveswitch.callers import app as callers_app
from chiveswitch.operators import rollout
from chiveswitch.tools import processes, serving


class Gateway:
    """Serves the status of a gateway.

    Attributes:
        statuses: (serial, whether it admits work) for each poll; the last one is repeated.
        address: Address of the gateway, `ip:port`.
    """

    def __init__(self, background, serial, admits=True, later=()):
        self.statuses = [(serial, admits), *later]
        route = routing.Route("/v1/status", self.status)
        self.address = background.serve(applications.Starlette(routes=[route]))

    async def status(self, _request):
        serial, admits = self.statuses[0]
        if len(self.statuses) > 1:
            self.statuses.pop(0)
        refusal = "" if admits else "BUNDLE_STALE"
        value = {"serial": serial, "admits": admits, "refusal": refusal}
        return callers_app.json_response(value)


@pytest.fixture(scope="module")
def background():
    running = serving.Background()
    yield running
    running.close()


def wait(background, *addresses, timeout_s=3.0):
    awaitable = rollout.wait_for_gateways(list(addresses), 2, timeout_s, poll_s=0.05)
    return background.run(awaitable)


def test_waits_until_all_have_the_serial(background):
    """Guards against reporting a roll as complete while a gateway admits work under the old one."""
    ready = Gateway(background, 2)
    slow = Gateway(background, 1, later=[(1, True), (1, True), (3, True)])
    progress = wait(background, ready.address, slow.address)
    assert progress.confirmed == [ready.address, slow.address] and not progress.unconfirmed
    assert len(slow.statuses) == 1


def test_gateways_that_admit_nothing_are_not_waited_for(background):
    """Guards against waiting for a gateway that is cut off from control and admits no work."""
    ready, cut_off = Gateway(background, 2), Gateway(background, 1, admits=False)
    progress = wait(background, ready.address, cut_off.address)
    assert progress.confirmed == [ready.address] and not progress.unconfirmed
    assert progress.not_admitting == {cut_off.address: "BUNDLE_STALE"}


def test_unconfirmed_gateways_are_listed(background):
    """Guards against an endless wait, and against omitting a dead or outdated gateway."""
    ready, old = Gateway(background, 2), Gateway(background, 1)
    wrong = Gateway(background, "2")
    dead = f"127.0.0.1:{processes.free_port()}"
    # Under load a short last poll can time out; the earlier status of the gateway must be kept.
    addresses = (ready.address, old.address, wrong.address, dead)
    progress = wait(background, *addresses, timeout_s=1)
    assert sorted(progress.unconfirmed) == sorted(addresses[1:])
    assert progress.unconfirmed[old.address] == "it has serial 1"


def test_a_silent_gateway_does_not_extend_the_timeout(background):
    """Guards against a wait beyond the timeout for a connection without a response."""

    silent_tasks = []
    done = asyncio.Event()

    async def wait_without_response(_reader, writer):
        silent_tasks.append(asyncio.current_task())
        await done.wait()
        writer.close()

    async def close_connections():
        server.close()
        done.set()
        await asyncio.gather(*silent_tasks)

    server = background.run(asyncio.start_server(wait_without_response, "127.0.0.1", 0))
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    progress = wait(background, address, timeout_s=0.3)
    assert list(progress.unconfirmed) == [address] and progress.seconds < 2
    background.run(close_connections())
