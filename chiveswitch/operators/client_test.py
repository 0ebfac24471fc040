"""Tests of the administration client: leaders that move, answers that are lost, deadlines."""

import asyncio

import pytest

from chiveswitch.core import codes
from chiveswitch.operators import app, app_test, standin_control
from chiveswitch.tools import processes

running = app_test.running
system = app_test.system


class Relay:
    """Forwards requests to a server and can lose the answers, after the server gave them."""

    def __init__(self, background, target: str):
        self.target = target
        self.lose = 0
        self.requests = 0
        self.server = background.run(asyncio.start_server(self.serve, "127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        self.requests += 1
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        body = await reader.readexactly(length)
        host, _, port = self.target.rpartition(":")
        answers, requests = await asyncio.open_connection(host, int(port))
        requests.write(head + body)
        answer = await answers.read(65536)
        if self.lose:
            self.lose -= 1
        else:
            writer.write(answer)
        requests.close()
        writer.close()


def write(system, operator, version=1, operation_id="w"):
    return system.background.run(operator.write(app_test.content(version), operation_id))


def test_follows_the_leader(system):
    """Guards against a client that stays at a follower, a silent address or one without a process.

    It must not give up either while no leader is known.
    """

    async def stay(_reader, _writer):
        await asyncio.sleep(20)

    server = system.background.run(asyncio.start_server(stay, "127.0.0.1", 0))
    silent = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    follower = standin_control.Control(app_test.operators())
    messages = ["No leader is known.", *[f"The leader is at {system.address}."] * 9]
    follower.reads = [codes.failure(codes.Code.NOT_LEADER, message) for message in messages]
    first = system.background.serve(app.build_app(follower))
    nobody = f"127.0.0.1:{processes.free_port()}"
    operator = system.client("wren", nobody, silent, first, attempt_s=0.3)
    assert write(system, operator).ok["result"] == "written"
    assert not follower.proposed and len(follower.reads) < 9


@pytest.mark.parametrize("losses", [1, 2])
def test_resend_after_lost_answers(system, losses):
    """Guards against a second change, and against an error, after an answer was lost."""
    relay = Relay(system.background, system.address)
    relay.lose = losses
    result = write(system, system.client("wren", relay.address))
    assert result.ok["operation_id"] == "w" and relay.requests == losses + 1
    assert [entry.action for entry in system.control.state.audit] == ["bootstrap", "write"]


def test_resend_after_may_have_run(system):
    """Guards against an unknown fate that the client hands on while it can still learn it."""
    system.control.after.append(codes.failure(codes.Code.MAY_HAVE_RUN, "Stepped down."))
    assert write(system, system.client("wren")).ok["result"] == "written"
    assert len(system.control.state.audit) == 2
    assert {record.operation_id for record in system.control.proposed} == {"w"}


def test_deadline_after_an_unknown_send(system):
    """Guards against `not run` for a change that a lost answer may have reported as made."""
    relay = Relay(system.background, system.address)
    relay.lose = 1_000
    refusal = write(system, system.client("wren", relay.address, deadline_s=0.5)).error
    assert refusal.code is codes.Code.MAY_HAVE_RUN and refusal.run is codes.RunStatus.UNKNOWN
    assert "same operation id w" in refusal.message
    assert len(system.control.state.audit) == 2
    # A refusal of a later send says nothing of the earlier one.
    relay.lose = 1
    operator = system.client("stranger", relay.address)
    refusal = write(system, operator, operation_id="x").error
    assert refusal.code is codes.Code.UNAUTHENTICATED and refusal.run is codes.RunStatus.UNKNOWN


def test_deadline_without_a_send(system):
    """Guards against `may have run` for a change that reached no process."""
    nobody = f"127.0.0.1:{processes.free_port()}"
    refusal = write(system, system.client("wren", nobody, deadline_s=0.4)).error
    assert refusal.code is codes.Code.CONTROL_UNAVAILABLE and refusal.run is codes.RunStatus.NOT_RUN


def test_refusals_are_final(system):
    """Guards against resends of a refused change."""
    refusal = write(system, system.client("amos")).error
    assert refusal.code is codes.Code.NOT_PERMITTED and len(system.control.proposed) == 1
