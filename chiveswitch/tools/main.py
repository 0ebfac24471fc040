"""The command `chiveswitch`; its subcommands are thin daemons and operator tools."""

import dataclasses
import logging
import sys
from typing import Annotated

import cappa

from chiveswitch.core import settings as settings_module
from chiveswitch.tools import measure_settings, options

option = options.option


def start(settings, errors, run):
    """Checks the settings as a whole, sets up logs and runs a daemon.

    Returns:
        2 with every error printed if the settings are wrong, else 0.
    """
    if errors:
        for error in errors:
            print(f"{int(error.code)} {error.code.name} {error.message}", file=sys.stderr)
        raise cappa.Exit(code=2)
    logging.basicConfig(
        level=getattr(settings, "log_level", "INFO").upper(),
        format="%(asctime)s %(levelname)s %(message)s",
        stream=sys.stderr,
    )
    run(settings)


def run_gateway(settings: "Gateway"):
    """Starts the gateway daemon."""
    from chiveswitch.tools import gateway

    errors = settings_module.required_error("gateway-id", settings.gateway_id)
    errors += settings_module.required_error("availability-zone", settings.availability_zone)
    errors += settings_module.address_error("listen", settings.listen)
    errors += settings_module.address_error("peer-listen", settings.peer_listen)
    errors += settings_module.addresses_errors("peers", settings.peers)
    start(settings, errors, gateway.main)


def run_engine(settings: "Engine"):
    """Starts the stand-in engine."""
    from chiveswitch.tools import standins

    errors = settings_module.required_error("target-id", settings.target_id)
    errors += settings_module.address_error("listen", settings.listen)
    errors += settings_module.addresses_errors("gateways", settings.gateways)
    errors += settings_module.range_error("token-seconds", settings.token_seconds, 0.0005, 10)
    start(settings, errors, standins.run_engine_main)


@cappa.command(name="gateway", invoke=run_gateway, help="Run the gateway of an entry VM.")
@dataclasses.dataclass(slots=True)
class Gateway:
    """Settings of the gateway."""

    gateway_id: Annotated[str, option("gateway-id", "Name of this gateway.", "")]
    listen: Annotated[str, option("listen", "Address for callers, ip:port.", "127.0.0.1:8000")]
    availability_zone: Annotated[str, option("availability-zone", "Zone of this VM.", "")]
    peer_listen: Annotated[
        str, option("peer-listen", "Address for other gateways, ip:port.", "127.0.0.1:8500")
    ]
    peers: Annotated[str, option("peers", "Peer addresses of some gateways, comma-separated.", "")]
    bundle_file: Annotated[str, option("bundle-file", "Bundle to use without control.", "")]
    policy: Annotated[str, option("policy", "Target choice.", "least_loaded")]
    detector: Annotated[str, option("detector", "Failure detector.", "adaptive")]
    copies: Annotated[int, option("copies", "Journal copies; 0 as the service says.", 0)]
    restart: Annotated[bool, option("restart", "Baseline: restart failed generations.", False)]
    trace_file: Annotated[str, option("trace-file", "File for spans, one JSON line each.", "")]
    statsd: Annotated[str, option("statsd", "Address of a statsd server, ip:port.", "")]
    handle_signals: Annotated[bool, cappa.Arg(hidden=True, long=True, default=True)]
    log_level: Annotated[str, option("log-level", "DEBUG, INFO, WARNING or ERROR.", "INFO")]


@cappa.command(name="engine", invoke=run_engine, help="Run a stand-in model engine.")
@dataclasses.dataclass(slots=True)
class Engine:
    """Settings of the stand-in engine."""

    target_id: Annotated[str, option("target-id", "Name of this engine.", "")]
    listen: Annotated[str, option("listen", "Address, ip:port.", "127.0.0.1:9000")]
    gateways: Annotated[str, option("gateways", "Gateway addresses, comma-separated.", "")]
    availability_zone: Annotated[str, option("availability-zone", "Zone of this VM.", "")]
    models: Annotated[str, option("models", "Ready models, model:adapter:version.", "model::1")]
    token_seconds: Annotated[float, option("token-seconds", "Seconds per token.", 0.03)]
    log_level: Annotated[str, option("log-level", "DEBUG, INFO, WARNING or ERROR.", "INFO")]


@cappa.command(help="Serves long model generations on engines that fail.")
@dataclasses.dataclass(slots=True)
class Chiveswitch:
    """The command line."""

    command: cappa.Subcommands[Gateway | Engine | measure_settings.Measure]


def main():
    """Runs the command line."""
    cappa.invoke(Chiveswitch)


if __name__ == "__main__":
    main()
