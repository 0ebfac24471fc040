"""Tests of control members whose connections stay open and deliver nothing from some time on."""

import asyncio
import logging
import random

from chiveswitch.core import clock
from chiveswitch.core import consensus_messages as messages
from chiveswitch.peers import control_server
from chiveswitch.storage import data_folder, files
from chiveswitch.tools import processes
from features import proxies


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
