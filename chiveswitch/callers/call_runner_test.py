"""Tests of plain service calls over loopback, with the control state in the same process."""

import asyncio
import random

import pytest

from chiveswitch.callers import call_runner
from chiveswitch.core import (
    bundles,
    clock,
    codes,
    control_state,
    directory,
    gateway,
    gateway_settings,
)
from chiveswitch.core import gateway_messages as messages
from chiveswitch.targets import standin_service
from chiveswitch.tools import processes, sample, serving


class FakeControl:
    """Applies commands at once.

    Attributes:
        state: The `control_state.ControlState`.
        responses_to_lose: How many further responses are lost after their command was applied.
    """

    def __init__(self):
        self.state = control_state.ControlState(control_state.Limits())
        self.responses_to_lose = 0
        self._index = 0

    async def propose(self, struct, deadline, trace=""):
        self._index += 1
        data = control_state.encode_command(struct, self._index)
        result = self.state.apply(self._index, 1, data)
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            return codes.failure(codes.Code.LINK_TIMEOUT, "lost")
        return result


class GatewayFixture:
    """A gateway core and a call runner with announced service targets."""

    def __init__(self):
        now = clock.now()
        own = directory.Description("g1", "gateway", "zone-a", "127.0.0.1:1", 1)
        self.core = gateway.GatewayCore(
            gateway_settings.GatewaySettings(), own, random.Random(1), now
        )
        bundle = bundles.parse(sample.sample_bundle()).ok
        self.core.handle(messages.BundleConfirmed(1, bundle, now), now)
        self.control = FakeControl()
        self.runner = call_runner.CallRunner(self.core, self.control, "g1.1")

    def announce(self, name, port):
        description = directory.Description(
            name, "service", "zone-a", f"127.0.0.1:{port}", 1, services=["dispatch", "stock"]
        )
        ticket = b""
        for sequence in (1, 2):
            report = directory.Announcement(description, sequence, "ready", ticket=ticket)
            ticket = self.core.directory.announce(report, clock.now())

    async def call(self, service, key, body=None, runner=None):
        ticking = asyncio.ensure_future(self._tick(runner or self.runner))
        try:
            return await (runner or self.runner).run(
                "desk", key, self.core.service(service), body or {"rack": 7}
            )
        finally:
            ticking.cancel()

    async def _tick(self, runner):
        while True:
            await asyncio.sleep(0.02)
            runner.tick(clock.now())


async def start_service(names=("dispatch", "stock"), delay=0.0):
    service = standin_service.Service(names, delay)
    port = processes.free_port()
    server = await serving.start(standin_service.build_app(service), "127.0.0.1", port)
    return service, port, server


def run(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, 30))


def test_resend_gets_the_recorded_outcome():
    # Guards against a second run when a caller resends under its key, also through another gateway.
    async def scenario():
        fixture = GatewayFixture()
        service, port, server = await start_service()
        fixture.announce("s1", port)
        first = await fixture.call("dispatch", "key-1")
        other = call_runner.CallRunner(fixture.core, fixture.control, "g2.1")
        second = await fixture.call("dispatch", "key-1", runner=other)
        third = await fixture.call("dispatch", "key-1", {"rack": 8})
        await serving.stop(server)
        return first, second, third, service.runs

    first, second, third, runs = run(scenario())
    assert first.code == second.code == codes.Code.OK
    assert second.body == first.body
    assert third.code == codes.Code.KEY_REUSED
    assert len(runs) == 1


@pytest.mark.parametrize("losses", [1, 2, 3])
def test_lost_responses_of_control_cause_no_second_run(losses):
    # Guards against a second permit to run after the response that granted the first was lost.
    async def scenario():
        fixture = GatewayFixture()
        fixture.control.responses_to_lose = losses
        service, port, server = await start_service()
        fixture.announce("s1", port)
        first = await fixture.call("dispatch", "key-1")
        second = await fixture.call("dispatch", "key-1")
        await serving.stop(server)
        return first, second, service.runs

    first, second, runs = run(scenario())
    assert first.code == second.code == codes.Code.OK
    assert len(runs) == 1


def test_refused_connection_is_not_run_and_the_key_stays_usable():
    # Guards against an idempotency key that stays reserved although no byte of its call was sent.
    async def scenario():
        fixture = GatewayFixture()
        fixture.announce("s1", processes.free_port())
        first = await fixture.call("dispatch", "key-1")
        service, port, server = await start_service()
        fixture.announce("s1", port)
        fixture.announce("s2", port)
        del fixture.core.directory.by_id["s1"]
        second = await fixture.call("dispatch", "key-1")
        await serving.stop(server)
        return first, second, service.runs

    first, second, runs = run(scenario())
    assert codes.MEANING_BY_CODE[first.code].run is codes.RunStatus.NOT_RUN
    assert second.code == codes.Code.OK
    assert len(runs) == 1


def test_silent_target_of_an_unrepeatable_call_may_have_run():
    # Guards against the status NOT_RUN, or a second send, after the request was written and the
    # target did not respond.
    async def scenario():
        fixture = GatewayFixture()
        service, port, server = await start_service(delay=60)
        fixture.announce("s1", port)
        fixture.core.service("dispatch").wait_limit_s = 0.5
        first = await fixture.call("dispatch", "key-1")
        second = await fixture.call("dispatch", "key-1")
        server.force_exit = True
        await serving.stop(server)
        return first, second, service.runs

    first, second, runs = run(scenario())
    assert first.code == codes.Code.MAY_HAVE_RUN
    assert codes.MEANING_BY_CODE[second.code].run is codes.RunStatus.UNKNOWN
    assert len(runs) == 1


def test_repeatable_call_is_tried_on_another_target():
    # Guards against a repeatable call that fails although another target could serve it.
    async def scenario():
        fixture = GatewayFixture()
        service, port, server = await start_service()
        fixture.announce("s1", processes.free_port())
        fixture.announce("s2", port)
        responses = [await fixture.call("stock", "") for _ in range(6)]
        await serving.stop(server)
        return responses, service.runs

    responses, runs = run(scenario())
    assert [response.code for response in responses] == [codes.Code.OK] * 6
    assert len(runs) == 6
