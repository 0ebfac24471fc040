"""A control cell (the members of one control log) of real processes on loopback.

Tests and measurements use it.
"""

import asyncio
import os
import uuid

import orjson

from chiveswitch.core import bundles, clock, control_state
from chiveswitch.peers import control_client
from chiveswitch.tools import processes, sample

wire = control_state.control_thrift

POLL_INTERVAL_SECONDS = 0.02


class Cell:
    """The control members of one log, each a process.

    Attributes:
        fleet: The `processes.Fleet` that runs the members.
        addresses: Address of each member by its name.
    """

    def __init__(self, fleet: processes.Fleet, folder: str, members: int):
        self.fleet = fleet
        ports = processes.free_ports(members)
        self.addresses = {f"c{n}": f"127.0.0.1:{port}" for n, port in enumerate(ports)}
        self._folder = folder
        self._operators_file = os.path.join(folder, "operators.json")
        with open(self._operators_file, "wb") as file:
            file.write(orjson.dumps(sample.sample_operators()))

    def data_folder(self, name: str) -> str:
        """Returns the data folder of a member."""
        return os.path.join(self._folder, name)

    def arguments(self, name: str, first: bool = False) -> list:
        """Returns the command-line arguments of a member.

        Args:
            name: Name of the member.
            first: Whether this is the first start, which begins a new log.
        """
        member_number = int(name[1:])
        arguments = ["control", "--listen", self.addresses[name]]
        arguments += ["--availability-zone", sample.ZONES[member_number % len(sample.ZONES)]]
        arguments += ["--data-folder", self.data_folder(name), "--node-id", name]
        if first:
            members = ",".join(f"{member}={address}" for member, address in self.addresses.items())
            arguments += ["--first-members", members, "--operators-file", self._operators_file]
        return arguments

    def start(self, first: bool = False):
        """Starts all members; with `first`, as the members of a new log."""
        for name in self.addresses:
            self.fleet.start(name, *self.arguments(name, first))

    def client(self) -> control_client.ControlClient:
        """Returns a client of all members; needs a running event loop."""
        return control_client.ControlClient(list(self.addresses.values()))

    def member_name(self, address: str) -> str:
        """Returns the name of the member at an address."""
        return next(
            name for name, member_address in self.addresses.items() if member_address == address
        )


async def wait_for_leader(client: control_client.ControlClient, seconds: float = 30.0) -> dict:
    """Waits for a leader that a majority confirms and returns its status.

    Raises:
        TimeoutError: No leader was confirmed in time.
    """
    result = await client.status(clock.now() + seconds)
    if result.is_error():
        raise TimeoutError(result.error.message)
    return orjson.loads(result.ok)


async def wait_until(condition, seconds: float = 30.0):
    """Polls a condition, an asynchronous function, and returns its first true value.

    Raises:
        TimeoutError: The condition stayed false for the given seconds.
    """
    async with asyncio.timeout(seconds):
        while True:
            value = await condition()
            if value:
                return value
            await asyncio.sleep(POLL_INTERVAL_SECONDS)


async def put_in_force(client: control_client.ControlClient, version: int) -> int:
    """Writes, approves and rolls a version of the sample bundle and returns its serial.

    Raises:
        RuntimeError: One of the operations was refused.
    """
    content = sample.sample_bundle(version=version)
    digest = bundles.content_digest(bundles.parse(content).ok)
    signature = bundles.sign_digest(sample.private_key("amos"), digest)
    commands = (
        wire.WriteBundle(operation_id=uuid.uuid4().hex, actor="wren", content=content),
        wire.ApproveBundle(
            operation_id=uuid.uuid4().hex,
            actor="amos",
            version=version,
            digest=digest,
            signature=signature,
        ),
        wire.RollBundle(
            operation_id=uuid.uuid4().hex, actor="olga", version=version, digest=digest
        ),
    )
    for command in commands:
        result = await client.propose(command, clock.now() + 30.0)
        if result.is_error():
            raise RuntimeError(f"{type(command).__name__}: {result.error!r}")
    return result.ok.number
