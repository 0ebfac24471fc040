"""Tests of control members whose connections stay open and deliver nothing from some time on."""

import asyncio
import logging
import random

import expression
import pytest

from chiveswitch.core import clock
from chiveswitch.core import consensus_messages as messages
from chiveswitch.peers import control_server, kinds, links
from chiveswitch.storage import data_folder, files
from chiveswitch.tools import processes
from features import proxies

# Longest time without a leader, which is the time within which a config must be acknowledged.
LEADER_SECONDS = 4.0
# Time within which a member must be in touch again, before the leader considers it lost.
CONTACT_SECONDS = 3.0


class Members:
    """Control members in one event loop; each is reached through a proxy of its own.

    Attributes:
        servers: The `control_server.ControlServer` of each member.
        proxies: Proxy before each member.
    """

    def __init__(self, folder, count, seed):
        self.servers = []
        self.proxies = []
        self._folder = folder
        self._count = count
        self._seed = seed

    async def start(self):
        """Starts all members and waits until one leads and each is connected to each other one."""
        for _ in range(self._count):
            own_address, address = (f"127.0.0.1:{port}" for port in processes.free_ports(2))
            self.proxies.append(proxies.Proxy(address, own_address))
            await self.proxies[-1].start()
            self.servers.append(own_address)
        configuration = messages.Configuration(
            {f"m{number}": proxy.address for number, proxy in enumerate(self.proxies)}
        )
        for number, own_address in enumerate(self.servers):
            opened = data_folder.open_folder(
                files.Files(),
                str(self._folder / f"member-{number}"),
                lambda number=number: f"m{number}",
                lambda _node_id: configuration,
            )
            rng = random.Random(self._seed * self._count + number)
            server = control_server.ControlServer(own_address, opened.ok, rng=rng)
            await server.start()
            # The other members answer to the proxy.
            server.address = self.proxies[number].address
            self.servers[number] = server
        await wait_for(lambda: self.leader() is not None, 20.0)
        # Members are connected to those that they have voted for or asked for votes.
        for server in self.servers:
            for member_id in configuration.voters:
                if member_id != server.node.node_id:
                    server._send(member_id, [])
        await wait_for(
            lambda: all(proxy.accepted >= self._count - 1 for proxy in self.proxies), 20.0
        )

    def leader(self):
        """Returns the server of a member that leads, or None."""
        return next((each for each in self.servers if each.leases is not None), None)

    async def close(self):
        """Stops all members and proxies."""
        for server in self.servers:
            await server.close()
        for proxy in self.proxies:
            await proxy.stop()


async def wait_for(condition, seconds):
    """Waits until a condition holds; returns whether it did within `seconds`."""
    until = clock.now() + seconds
    while not condition():
        if clock.now() >= until:
            return False
        await asyncio.sleep(0.02)
    return True


def run(scenario, folder, count=4, seed=1):
    async def with_members():
        members = Members(folder, count, seed)
        try:
            await members.start()
            await scenario(members)
        finally:
            await members.close()

    asyncio.run(with_members())


@pytest.mark.parametrize("seed", range(3))
def test_members_elect_a_leader_when_all_their_connections_fall_silent(seed, tmp_path):
    # Guards against members that repeat their vote requests on connections that deliver nothing,
    # and whose traffic keeps them from noticing that.
    async def scenario(members):
        for proxy in members.proxies:
            proxy.silence_open_connections()
        await asyncio.sleep(members.servers[0].node._settings.election_timeout_max + 0.3)
        assert await wait_for(lambda: members.leader() is not None, LEADER_SECONDS)

    run(scenario, tmp_path, seed=seed)


def test_a_follower_whose_connections_fall_silent_is_in_touch_again(tmp_path):
    # Guards against a live member that stays out of touch until the leader removes it, because the
    # leader's heartbeats keep the leader from noticing that the connection delivers nothing.
    async def scenario(members):
        leader = members.leader()
        number = next(n for n, each in enumerate(members.servers) if each is not leader)
        follower = members.servers[number].node
        members.proxies[number].silence_open_connections()
        silent_at = clock.now()
        await asyncio.sleep(0.5)
        assert await wait_for(
            lambda: follower.seconds_since_leader_contact(clock.now()) < clock.now() - silent_at,
            CONTACT_SECONDS,
        )

    run(scenario, tmp_path)


def test_a_member_logs_why_it_has_no_leader(tmp_path, caplog):
    # Guards against logs that do not tell silent connections from slow disks or refused votes.
    async def scenario(members):
        leader = members.leader()
        cut_off = next(each for each in members.servers if each is not leader)
        for proxy in members.proxies:
            proxy.silent = True
        await wait_for(lambda: "no leader known" in caplog.text, 10.0)
        line = next(each for each in caplog.messages if "no leader known" in each)
        assert "oldest write 0.00 s old" in line
        assert line.count("last message") == len(members.servers) - 1
        assert line.count("connect") == len(members.servers) - 1
        assert cut_off.node.leader_id is None

    caplog.set_level(logging.INFO, "chiveswitch")
    run(scenario, tmp_path)


@pytest.mark.parametrize("interval", [0.15, 0.25, 0.5])
def test_a_busy_link_notices_that_its_connection_delivers_nothing(interval):
    # Guards against a link whose own requests suppress the check of the age of the last data.
    async def scenario():
        own_address, address = (f"127.0.0.1:{port}" for port in processes.free_ports(2))
        server = links.Server(
            {kinds.Kind.DIRECTORY_PULL: lambda payload, _trace: expression.Ok(b"")}
        )
        host, _, port = own_address.rpartition(":")
        await server.start(host, int(port))
        proxy = proxies.Proxy(address, own_address)
        await proxy.start()
        link = links.Link(address)
        await wait_for(lambda: link.connected, CONTACT_SECONDS)
        proxy.silence_open_connections()
        until = clock.now() + CONTACT_SECONDS
        while proxy.accepted < 2 and clock.now() < until:
            link.post(kinds.Kind.DIRECTORY_PULL, b"")
            await asyncio.sleep(interval)
        await link.close()
        await server.close()
        await proxy.stop()
        return proxy.accepted

    assert asyncio.run(scenario()) == 2
