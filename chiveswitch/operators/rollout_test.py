"""Tests of the wait for gateways after a roll."""

import asyncio

import pytest
from starlette import applications, routing

from chiveswitch.callers import app as callers_app
from chiveswitch.operators import rollout
from chiveswitch.tools import processes, serving


class Gateway:
    """Serves the status of a gateway; `later` holds the statuses that follow the first."""

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


def wait(background, *addresses, limit_s=3.0):
    awaitable = rollout.wait_for_gateways(list(addresses), 2, limit_s, poll_s=0.05)
    return background.run(awaitable)


def test_waits_until_all_have_the_serial(background):
    """Guards against a roll that is reported in force while a gateway admits work under the old."""
    ready = Gateway(background, 2)
    slow = Gateway(background, 1, later=[(1, True), (1, True), (3, True)])
    state = wait(background, ready.address, slow.address)
    assert state.confirmed == [ready.address, slow.address] and not state.unconfirmed
    assert len(slow.statuses) == 1


def test_gateways_that_admit_nothing_are_not_waited_for(background):
    """Guards against a wait for a gateway that a cut from control already keeps from admitting."""
    ready, cut = Gateway(background, 2), Gateway(background, 1, admits=False)
    state = wait(background, ready.address, cut.address)
    assert state.confirmed == [ready.address] and not state.unconfirmed
    assert state.not_admitting == {cut.address: "BUNDLE_STALE"}


def test_names_those_that_have_not_confirmed(background):
    """Guards against an endless wait, and against a dead or old gateway that is left out."""
    ready, old = Gateway(background, 2), Gateway(background, 1)
    wrong = Gateway(background, "2")
    dead = f"127.0.0.1:{processes.free_port()}"
    # Under load a short last poll gets no answer; what the gateway said before must stay.
    addresses = (ready.address, old.address, wrong.address, dead)
    state = wait(background, *addresses, limit_s=1)
    assert sorted(state.unconfirmed) == sorted(addresses[1:])
    assert state.unconfirmed[old.address] == "it has serial 1"


def test_a_silent_gateway_does_not_stretch_the_limit(background):
    """Guards against a wait beyond its limit for an open connection that gives no answer."""

    async def stay(_reader, _writer):
        await asyncio.sleep(20)

    server = background.run(asyncio.start_server(stay, "127.0.0.1", 0))
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    state = wait(background, address, limit_s=0.3)
    assert list(state.unconfirmed) == [address] and state.seconds < 2
