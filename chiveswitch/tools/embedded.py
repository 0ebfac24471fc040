"""Embedded mode: gateways and stand-ins in one process, for the demo and for development."""

import asyncio
import dataclasses

from chiveswitch.targets import announcer, standin_engine, standin_service
from chiveswitch.tools import gateway as gateway_daemon
from chiveswitch.tools import processes, sample, serving


@dataclasses.dataclass(slots=True)
class GatewaySettings:
    """Settings of an embedded gateway; the fields are those of the command's."""

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


class EmbeddedEngine:
    """A stand-in engine with its server and announcements.

    Attributes:
        name: Target id.
        engine: `standin_engine.Engine`.
    """

    def __init__(self, name: str, zone: str, token_seconds: float):
        self.name = name
        self.engine = standin_engine.Engine(
            standin_engine.EngineSettings(token_seconds=token_seconds), [(sample.MODEL, "", "1")]
        )
        self._zone = zone
        self._address = f"127.0.0.1:{processes.free_port()}"
        self._server = None
        self._tasks = []

    async def start(self, gateways):
        """Starts to serve and to announce."""
        host, _, port = self._address.rpartition(":")
        app = standin_engine.build_app(self.engine)
        self._server = await serving.start(app, host, int(port))
        announcing = announcer.Announcer(self._describe, gateways, offset=int(port))
        self._tasks = [
            asyncio.ensure_future(self.engine.run()),
            asyncio.ensure_future(announcing.run()),
        ]

    async def kill(self):
        """Ends the engine at once, with its connections reset, as a killed process would."""
        for task in self._tasks:
            task.cancel()
        await serving.abort(self._server)

    def _describe(self):
        return {
            "id": self.name,
            "kind": "engine",
            "availability_zone": self._zone,
            "address": self._address,
            "models": [list(model) for model in self.engine.models],
            "role": "mixed",
            "load": self.engine.load(),
            "warm": [],
            "honours_fencing": True,
            "services": [],
        }


class EmbeddedService:
    """A stand-in plain service with its server and announcements.

    Attributes:
        service: `standin_service.Service`.
    """

    def __init__(self, name: str, zone: str, services):
        self.name = name
        self.service = standin_service.Service(services)
        self._zone = zone
        self._address = f"127.0.0.1:{processes.free_port()}"
        self._tasks = []
        self._server = None

    async def start(self, gateways):
        """Starts to serve and to announce."""
        host, _, port = self._address.rpartition(":")
        app = standin_service.build_app(self.service)
        self._server = await serving.start(app, host, int(port))
        announcing = announcer.Announcer(self._describe, gateways, offset=int(port))
        self._tasks = [asyncio.ensure_future(announcing.run())]

    async def kill(self):
        """Ends the service at once."""
        for task in self._tasks:
            task.cancel()
        await serving.abort(self._server)

    def _describe(self):
        return {
            "id": self.name,
            "kind": "service",
            "availability_zone": self._zone,
            "address": self._address,
            "models": [],
            "role": "",
            "load": self.service.load(),
            "warm": [],
            "honours_fencing": False,
            "services": self.service.names,
        }


def build_gateways(count: int, control: str = "") -> list:
    """Returns the settings of `count` gateways over the sample's availability zones."""
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
    """Starts gateways as tasks. Returns pairs of (gateway, task)."""
    started = []
    for settings in all_settings:
        gateway = gateway_daemon.Gateway(settings)
        started.append((gateway, asyncio.ensure_future(gateway.run(bundle))))
    return started
