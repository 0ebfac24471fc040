"""Processes of a measured system: starts them, injects faults and reads their resource usage."""

import asyncio
import pathlib
import signal

import aiosonic
import orjson
import psutil

from chiveswitch.core import bundles, clock
from chiveswitch.tools import processes, sample

START_TIMEOUT_SECONDS = 30.0
# A saturated gateway answers late, but its figures are still needed.
STATUS_TIMEOUT_SECONDS = 10.0


class Instance:
    """A gateway or engine, whose process may be restarted.

    Attributes:
        name: Name of its process in the fleet.
        role: `gateway` or `engine`.
        address: Address of its HTTP API.
        arguments: Arguments of its command.
        is_up: Whether it runs and is not paused.
        usage: Sums of collected CPU seconds, counters and tokens over its processes, by name.
        memory: Largest resident memory observed, in bytes.
        initial_cpu_seconds: CPU seconds that its current process used before the load began.
    """

    __slots__ = (
        "name",
        "role",
        "address",
        "arguments",
        "is_up",
        "usage",
        "memory",
        "initial_cpu_seconds",
    )

    def __init__(self, name: str, role: str, address: str, arguments: list):
        self.name = name
        self.role = role
        self.address = address
        self.arguments = arguments
        self.is_up = True
        self.usage = {}
        self.memory = 0
        self.initial_cpu_seconds = 0.0


class System:
    """Gateways and engines on loopback.

    Attributes:
        instance_by_name: All instances.
        fleet: Their processes.
        http: Client for status and fault requests.
    """

    def __init__(self, settings, folder: pathlib.Path, gateway_flags=(), profile: str = ""):
        folder.mkdir(parents=True, exist_ok=True)
        self.settings = settings
        self.fleet = processes.Fleet(str(folder))
        self.http = aiosonic.HTTPClient()
        self.instance_by_name = {}
        bundle_file = folder / "bundle.json"
        bundle_file.write_bytes(encode_bundle())
        ports = processes.free_ports(2 * settings.gateways + settings.engines)
        addresses = [f"127.0.0.1:{port}" for port in ports]
        callers = addresses[: settings.gateways]
        peers = addresses[settings.gateways : 2 * settings.gateways]
        for number, address in enumerate(callers):
            arguments = [
                *("gateway", "--gateway-id", f"g{number}", "--listen", address),
                *("--peer-listen", peers[number], "--peers", ",".join(peers)),
                *("--availability-zone", sample.ZONES[number % 4]),
                *("--bundle-file", str(bundle_file), "--log-level", "WARNING"),
                *gateway_flags,
            ]
            interpreter = ("-m", "cProfile", "-o", profile) if profile and number == 0 else ()
            self._add(f"g{number}", "gateway", address, arguments, interpreter)
        for number, address in enumerate(addresses[2 * settings.gateways :]):
            # Engines announce to the first two gateways, so that the order differs per engine.
            offset = number % len(callers)
            arguments = [
                *("engine", "--target-id", f"e{number}", "--listen", address),
                *("--gateways", ",".join(callers[offset:] + callers[:offset])),
                *("--models", f"{sample.MODEL}::1", "--log-level", "WARNING"),
                *("--availability-zone", sample.ZONES[number % 4]),
                *("--token-seconds", str(settings.token_seconds)),
            ]
            self._add(f"e{number}", "engine", address, arguments)

    def _add(self, name, role, address, arguments, interpreter=()):
        self.instance_by_name[name] = Instance(name, role, address, arguments)
        self.fleet.start(name, *arguments, interpreter=interpreter)

    def instances(self, role: str) -> list:
        """Returns the instances with a role."""
        return [instance for instance in self.instance_by_name.values() if instance.role == role]

    async def get(self, instance: Instance, path: str) -> dict:
        """Returns a JSON object from the API of an instance.

        Raises TimeoutError or a connection error.
        """
        async with asyncio.timeout(STATUS_TIMEOUT_SECONDS):
            response = await self.http.get(f"http://{instance.address}{path}")
            return orjson.loads(await response.content())

    async def wait_ready(self):
        """Waits until every gateway admits work and lists all engines.

        Raises RuntimeError if that takes longer than `START_TIMEOUT_SECONDS`.
        """
        limit = clock.now() + START_TIMEOUT_SECONDS
        for instance in self.instances("gateway"):
            while True:
                if clock.now() > limit:
                    raise RuntimeError(
                        f"{instance.name} did not become ready within the start timeout"
                    )
                try:
                    status = await self.get(instance, "/v1/status")
                    known = {target["id"] for target in status["targets"]}
                    if status["admits"] and len(known) >= len(self.instance_by_name) - 1:
                        break
                # The process may not listen yet, so the request is repeated after any failure.
                except Exception:
                    pass
                await asyncio.sleep(0.1)
        # CPU time of the interpreter startup is not part of the measured load.
        for instance in self.instance_by_name.values():
            instance.initial_cpu_seconds = self.cpu_seconds(instance)

    def is_running(self, instance: Instance) -> bool:
        """Returns whether the process of an instance has not ended."""
        return self.fleet.process_by_name[instance.name].poll() is None

    def cpu_seconds(self, instance: Instance) -> float:
        """Returns the CPU seconds of the current process of an instance."""
        times = psutil.Process(self.fleet.process_by_name[instance.name].pid).cpu_times()
        return times.user + times.system

    async def collect_usage(self, instance: Instance):
        """Adds the figures of the current process of an instance to `instance.usage`."""
        if not self.is_running(instance):
            # The process ended without an injected fault; the report counts the crash.
            instance.usage["crashes"] = instance.usage.get("crashes", 0) + 1
            return
        process = psutil.Process(self.fleet.process_by_name[instance.name].pid)
        instance.memory = max(instance.memory, process.memory_info().rss)
        figures = {"cpu_seconds": self.cpu_seconds(instance) - instance.initial_cpu_seconds}
        status = await self.get(instance, "/v1/status")
        if instance.role == "gateway":
            figures.update(status["counters"])
            figures["peer_bytes_out"] = status["peer_bytes_out"]
        else:
            figures["tokens_generated"] = status["tokens_generated"]
            figures["prefill_tokens"] = status["prefill_tokens"]
        for name, value in figures.items():
            instance.usage[name] = instance.usage.get(name, 0) + value

    async def inject_fault(self, instance: Instance, kind: str):
        """Injects a fault: `kill`, `pause`, or `silence` for the open streams of an engine."""
        if kind == "silence":
            await self.http.post(
                f"http://{instance.address}/standin/faults",
                data=orjson.dumps({"silence_streams": True}),
            )
            return
        instance.is_up = False
        if kind == "kill":
            self.fleet.kill(instance.name)
            return
        self.fleet.signal(instance.name, signal.SIGSTOP)

    async def restore(self, instance: Instance, kind: str):
        """Restarts a killed process or continues a paused one, and waits until it answers."""
        if kind == "kill":
            self.fleet.start(instance.name, *instance.arguments)
            instance.initial_cpu_seconds = 0.0
        elif kind == "pause":
            self.fleet.signal(instance.name, signal.SIGCONT)
        limit = clock.now() + START_TIMEOUT_SECONDS
        while not instance.is_up and clock.now() < limit:
            try:
                await self.get(instance, "/v1/status")
                instance.is_up = True
            # The process may not listen yet, so the request is repeated after any failure.
            except Exception:
                await asyncio.sleep(0.1)

    async def close(self):
        """Ends all processes and closes the HTTP client."""
        self.fleet.close()
        await self.http.connector.cleanup()


def encode_bundle() -> bytes:
    """Returns the sample bundle without durable services, since those need control VMs."""
    value = sample.bundle_object(sample.sample_operators())
    for service in value["services"]:
        service.pop("durable", None)
    return bundles.canonical(bundles.parse(orjson.dumps(value)).ok)
