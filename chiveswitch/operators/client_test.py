"""Tests of the administration client: changes of leader, lost responses and timeouts."""

import asyncio

import pytest

from chiveswitch.core import codes
from chiveswitch.operators import app, app_test, standin_control
from chiveswitch.tools import processes

running = app_test.running
system = app_test.system


class Relay:
    """Forwards requests to a server; can drop its responses after the server sent them.

    Attributes:
        target: Address of the server, `ip:port`.
        responses_to_lose: How many further responses are dropped.
        requests: Count of forwarded requests.
        address: Address of the relay, `ip:port`.
    """

    def __init__(self, background, target: str):
        self.target = target
        self.responses_to_lose = 0
        self.requests = 0
        self.server = background.run(asyncio.start_server(self.serve, "127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader, writer):
        try:
            await self.forward(reader, writer)
        finally:
            writer.close()

    async def forward(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        self.requests += 1
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        body = await reader.readexactly(length)
        host, _, port = self.target.rpartition(":")
        server_reader, server_writer = await asyncio.open_connection(host, int(port))
        try:
            server_writer.write(head + body)
            response = await server_reader.read(65536)
        finally:
            server_writer.close()
        if self.responses_to_lose:
            self.responses_to_lose -= 1
        else:
            writer.write(response)


def write(system, operator_client, version=1, operation_id="w"):
    return system.background.run(operator_client.write(app_test.content(version), operation_id))


def test_follows_the_leader(system):
    """Guards against a client that keeps trying one address that cannot serve it.

    The addresses are a follower, a server that does not respond, and one without a process. The
    client must also keep trying while the follower knows no leader.
    """

    silent_tasks = []
    done = asyncio.Event()

    async def wait_without_response(_reader, writer):
        silent_tasks.append(asyncio.current_task())
        await done.wait()
        writer.close()

    server = system.background.run(asyncio.start_server(wait_without_response, "127.0.0.1", 0))
    silent_address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    follower = standin_control.Control(app_test.operators())
    messages = ["No leader is known.", *[f"The leader is at {system.address}."] * 9]
    follower.read_results = [codes.failure(codes.Code.NOT_LEADER, message) for message in messages]
    follower_address = system.background.serve(app.build_app(follower))
    unused_address = f"127.0.0.1:{processes.free_port()}"
    operator_client = system.client(
        "wren", unused_address, silent_address, follower_address, attempt_timeout_s=0.3
    )
    assert write(system, operator_client).ok["result"] == "written"
    assert not follower.proposed and len(follower.read_results) < 9

    async def close_connections():
        server.close()
        done.set()
        await asyncio.gather(*silent_tasks)

    system.background.run(close_connections())


@pytest.mark.parametrize("losses", [1, 2])
def test_resend_after_lost_responses_makes_one_change(system, losses):
    """Guards against a second change, and against an error, after a response was lost."""
    relay = Relay(system.background, system.address)
    relay.responses_to_lose = losses
    result = write(system, system.client("wren", relay.address))
    assert result.ok["operation_id"] == "w" and relay.requests == losses + 1
    assert [entry.action for entry in system.control.state.audit] == ["bootstrap", "write"]


def test_resend_after_may_have_run_returns_the_outcome(system):
    """Guards against reporting an unknown outcome although a resend would return the outcome."""
    system.control.applied_results.append(codes.failure(codes.Code.MAY_HAVE_RUN, "Stepped down."))
    assert write(system, system.client("wren")).ok["result"] == "written"
    assert len(system.control.state.audit) == 2
    assert {record.operation_id for record in system.control.proposed} == {"w"}


def test_timeout_after_an_unknown_send_reports_unknown(system):
    """Guards against `not run` for a change that was made, after its response was lost."""
    relay = Relay(system.background, system.address)
    relay.responses_to_lose = 1_000
    refusal = write(system, system.client("wren", relay.address, operation_timeout_s=0.5)).error
    assert refusal.code is codes.Code.MAY_HAVE_RUN and refusal.run is codes.RunStatus.UNKNOWN
    assert "same operation id w" in refusal.message
    assert len(system.control.state.audit) == 2
    # The refusal of a later send does not show whether the earlier one ran.
    relay.responses_to_lose = 1
    operator_client = system.client("stranger", relay.address)
    refusal = write(system, operator_client, operation_id="x").error
    assert refusal.code is codes.Code.UNAUTHENTICATED and refusal.run is codes.RunStatus.UNKNOWN


def test_timeout_without_a_send_reports_not_run(system):
    """Guards against `may have run` for a change that reached no process."""
    unused_address = f"127.0.0.1:{processes.free_port()}"
    refusal = write(system, system.client("wren", unused_address, operation_timeout_s=0.4)).error
    assert refusal.code is codes.Code.CONTROL_UNAVAILABLE and refusal.run is codes.RunStatus.NOT_RUN


def test_refusals_are_final(system):
    """Guards against resends of a refused change."""
    refusal = write(system, system.client("amos")).error
    assert refusal.code is codes.Code.NOT_PERMITTED and len(system.control.proposed) == 1
