"""Runs gateways, control members and stand-ins in one process, for the demo and development."""

import asyncio
import dataclasses
import os

import orjson

from chiveswitch.core import bundles, clock, codes, control_state
from chiveswitch.core import consensus_messages as consensus
from chiveswitch.peers import control_client, control_server
from chiveswitch.storage import data_folder, files
from chiveswitch.targets import announcer, standin_engine, standin_service
from chiveswitch.tools import gateway as gateway_daemon
from chiveswitch.tools import processes, sample, serving


@dataclasses.dataclass(slots=True)
class GatewaySettings:
    """Settings of an embedded gateway, with the fields of `main.Gateway`."""

    gateway_id: str
    listen: str
    peer_listen: str
    peers: str
    availability_zone: str
    control: str = ""
    bundle_file: str = ""
    policy: str = "least_loaded"
    detector: str = "adaptive"
    copies: int = 0
    restart: bool = False
    trace_file: str = ""
    statsd: str = ""
    handle_signals: bool = False


class EmbeddedTarget:
    """Base of a stand-in target with its server and its announcements.

    Attributes:
        name: Target id.
    """

    def __init__(self, name: str, zone: str):
        self.name = name
        self._zone = zone
        self._address = f"127.0.0.1:{processes.free_port()}"
        self._server = None
        self._tasks = []

    async def _serve(self, app, gateways, *coroutines):
        """Starts the server, the announcements to the gateways and further coroutines."""
        host, _, port = self._address.rpartition(":")
        self._server = await serving.start(app, host, int(port))
        announcing = announcer.Announcer(self._describe, gateways, offset=int(port))
        self._tasks = [asyncio.ensure_future(each) for each in (announcing.run(), *coroutines)]

    async def kill(self):
        """Stops the target at once and aborts its connections, as if its process was killed."""
        for task in self._tasks:
            task.cancel()
        await serving.abort(self._server)


class EmbeddedEngine(EmbeddedTarget):
    """A stand-in engine in this process.

    Attributes:
        engine: `standin_engine.Engine`.
    """

    def __init__(self, name: str, zone: str, token_seconds: float):
        super().__init__(name, zone)
        self.engine = standin_engine.Engine(
            standin_engine.EngineSettings(token_seconds=token_seconds), [(sample.MODEL, "", "1")]
        )

    async def start(self, gateways):
        """Starts to serve and to announce."""
        await self._serve(standin_engine.build_app(self.engine), gateways, self.engine.run())

    def _describe(self):
        engine = self.engine
        return announcer.build_announcement(
            self.name,
            "engine",
            self._zone,
            self._address,
            engine.load_report(),
            engine.models,
            "mixed",
            True,
        )


class EmbeddedService(EmbeddedTarget):
    """A stand-in plain service in this process.

    Attributes:
        service: `standin_service.Service`.
    """

    def __init__(self, name: str, zone: str, services):
        super().__init__(name, zone)
        self.service = standin_service.Service(services)

    async def start(self, gateways):
        """Starts to serve and to announce."""
        await self._serve(standin_service.build_app(self.service), gateways)

    def _describe(self):
        return announcer.build_announcement(
            self.name,
            "service",
            self._zone,
            self._address,
            self.service.load_report(),
            services=self.service.names,
        )


def build_gateways(count: int, control: str = "") -> list:
    """Returns the settings of gateways, spread over the sample's availability zones.

    Args:
        count: Number of gateways.
        control: Addresses of the control members, comma-separated; empty to run without control.
    """
    ports = processes.free_ports(2 * count)
    peers = [f"127.0.0.1:{port}" for port in ports[count:]]
    return [
        GatewaySettings(
            gateway_id=f"g{number}",
            listen=f"127.0.0.1:{ports[number]}",
            peer_listen=peers[number],
            peers=",".join(peers),
            availability_zone=sample.ZONES[number % len(sample.ZONES)],
            control=control,
        )
        for number in range(count)
    ]


def start_gateways(all_settings, bundle=None) -> list:
    """Starts gateways as tasks.

    Args:
        all_settings: List of `GatewaySettings`.
        bundle: Bundle to use without control, or None to get bundles from control.

    Returns:
        Pairs of (gateway, task).
    """
    started = []
    for settings in all_settings:
        gateway = gateway_daemon.Gateway(settings)
        started.append((gateway, asyncio.ensure_future(gateway.run(bundle))))
    return started


async def start_control(folder: str, count: int = 3) -> list:
    """Starts the control members of a new log with data folders below `folder`.

    Returns:
        The running `control_server.ControlServer` objects.
    Raises:
        RuntimeError: A data folder cannot be opened.
    """
    addresses = [f"127.0.0.1:{port}" for port in processes.free_ports(count)]
    voters = {f"c{number}": address for number, address in enumerate(addresses)}
    servers = []
    for name, address in voters.items():
        opened = data_folder.open_folder(
            files.Files(),
            os.path.join(folder, name),
            lambda name=name: name,
            lambda node_id: consensus.Configuration(voters),
        )
        if opened.is_error():
            raise RuntimeError(opened.error.message)
        server = control_server.ControlServer(address, opened.ok, sample.sample_operators())
        await server.start()
        servers.append(server)
    return servers


async def roll_sample(client: control_client.ControlClient, version: int):
    """Writes, approves and rolls a version of the sample bundle.

    Returns:
        Ok with the answer to the roll, or the first failure.
    """
    content = orjson.dumps(sample.bundle_object(sample.sample_operators(), version=version))
    bundle = bundles.parse(content).ok
    digest = bundles.content_digest(bundle)
    signing_key = sample.private_key("amos")
    thrift = control_state.control_thrift
    commands = [
        thrift.WriteBundle(
            operation_id=f"write-{version}", actor="wren", content=bundles.canonical(bundle)
        ),
        thrift.ApproveBundle(
            operation_id=f"approve-{version}",
            actor="amos",
            version=version,
            digest=digest,
            signature=bundles.sign_digest(signing_key, digest),
        ),
        thrift.RollBundle(
            operation_id=f"roll-{version}", actor="olga", version=version, digest=digest
        ),
    ]
    result = codes.failure(codes.Code.INTERNAL, "nothing was proposed")
    for command in commands:
        result = await client.propose(command, clock.now() + 10.0)
        if result.is_error():
            return result
    return result
