"""The command `chiveswitch`: its subcommands start daemons and operator tools."""

import dataclasses
import sys
from typing import Annotated

import cappa

from chiveswitch.core import settings as settings_module
from chiveswitch.core import telemetry
from chiveswitch.tools import measure_settings, operator_commands, options

option = options.option

LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


def run_daemon(settings, errors, run):
    """Prints the errors of the settings and exits, or sets up logging and runs a daemon.

    Args:
        settings: Settings of the subcommand.
        errors: List of `codes.Failure` that the subcommand has found in them.
        run: Function that runs the daemon with the settings.

    Raises:
        cappa.Exit: The settings have errors; the exit code is 2.
    """
    level = getattr(settings, "log_level", "INFO").upper()
    if level not in LOG_LEVELS:
        message = f"unknown value {level!r}; accepted are: {', '.join(LOG_LEVELS)}"
        errors = [*errors, settings_module.setting_failure("log-level", message)]
    if errors:
        for error in errors:
            print(f"{int(error.code)} {error.code.name} {error.message}", file=sys.stderr)
        raise cappa.Exit(code=2)
    telemetry.set_up_logging(level)
    run(settings)


def run_gateway(settings: "Gateway"):
    """Checks the settings and runs the gateway daemon."""
    from chiveswitch.tools import gateway

    errors = gateway.check(settings)
    errors += settings_module.required_error("gateway-id", settings.gateway_id)
    errors += settings_module.required_error("availability-zone", settings.availability_zone)
    errors += settings_module.address_error("listen", settings.listen)
    errors += settings_module.address_error("peer-listen", settings.peer_listen)
    errors += settings_module.addresses_errors("peers", settings.peers)
    errors += settings_module.addresses_errors("control", settings.control)
    if bool(settings.control) == bool(settings.bundle_file):
        message = "give exactly one of --control and --bundle-file"
        errors.append(settings_module.setting_failure("control", message))
    run_daemon(settings, errors, gateway.main)


def run_control(settings: "Control"):
    """Checks the settings and runs the control daemon."""
    from chiveswitch.tools import control

    run_daemon(settings, control.check(settings), control.main)


def run_engine(settings: "Engine"):
    """Checks the settings and runs the stand-in engine."""
    from chiveswitch.tools import standins

    errors = settings_module.required_error("target-id", settings.target_id)
    errors += settings_module.address_error("listen", settings.listen)
    errors += settings_module.addresses_errors("gateways", settings.gateways)
    errors += settings_module.range_error("token-seconds", settings.token_seconds, 0.0005, 10)
    if settings.weight_store:
        errors += settings_module.address_error("weight-store", settings.weight_store)
    errors += settings_module.range_error(
        "weight-store-rate", settings.weight_store_rate, 0.001, 10_000
    )
    if settings.honours_fencing and settings.ignores_fencing:
        message = "cannot be combined with --honours-fencing"
        errors.append(settings_module.setting_failure("ignores-fencing", message))
    run_daemon(settings, errors, standins.run_engine_main)


def run_service(settings: "Service"):
    """Checks the settings and runs the stand-in plain service."""
    from chiveswitch.tools import standins

    errors = settings_module.required_error("target-id", settings.target_id)
    errors += settings_module.required_error("services", settings.services)
    errors += settings_module.address_error("listen", settings.listen)
    errors += settings_module.addresses_errors("gateways", settings.gateways)
    errors += settings_module.range_error("delay-seconds", settings.delay_seconds, 0, 600)
    run_daemon(settings, errors, standins.run_service_main)


def run_weight_store(settings: "WeightStore"):
    """Checks the settings and runs the stand-in weight store."""
    from chiveswitch.tools import standins

    errors = settings_module.address_error("listen", settings.listen)
    errors += settings_module.range_error("rate", settings.rate, 0.001, 100_000)
    errors += settings_module.range_error("burst", settings.burst, 1, 100_000)
    run_daemon(settings, errors, standins.run_weight_store_main)


def run_demo(settings: "Demo"):
    """Runs the demo."""
    from chiveswitch.tools import demo

    run_daemon(settings, [], demo.main)


@cappa.command(
    name="demo",
    invoke=run_demo,
    help="Run a whole system in one process and show a failure, a resend and a roll.",
)
@dataclasses.dataclass(slots=True)
class Demo:
    """Settings of the demo."""

    log_level: Annotated[str, option("log-level", "DEBUG, INFO, WARNING or ERROR.", "ERROR")]


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
    peers: Annotated[
        str,
        option(
            "peers", "Peer addresses, ip:port, of gateways to contact first, comma-separated.", ""
        ),
    ]
    control: Annotated[
        str, option("control", "Addresses, ip:port, of the control members, comma-separated.", "")
    ]
    bundle_file: Annotated[
        str, option("bundle-file", "JSON file of a bundle to use without control.", "")
    ]
    policy: Annotated[str, option("policy", "Policy that chooses targets.", "least_loaded")]
    detector: Annotated[str, option("detector", "Failure detector.", "adaptive")]
    copies: Annotated[
        int, option("copies", "Journal copies, 1, 3 or 5; 0 uses each service's setting.", 0)
    ]
    restart: Annotated[bool, option("restart", "Baseline: restart failed generations.", False)]
    trace_file: Annotated[str, option("trace-file", "File for spans, one JSON line each.", "")]
    statsd: Annotated[str, option("statsd", "Address of a statsd server, ip:port.", "")]
    handle_signals: Annotated[bool, cappa.Arg(hidden=True, long=True, default=True)]
    log_level: Annotated[str, option("log-level", "DEBUG, INFO, WARNING or ERROR.", "INFO")]


@cappa.command(name="control", invoke=run_control, help="Run a control member on a VM with a disk.")
@dataclasses.dataclass(slots=True)
class Control:
    """Settings of a control member."""

    listen: Annotated[
        str, option("listen", "Address for members and gateways, ip:port.", "127.0.0.1:8600")
    ]
    availability_zone: Annotated[str, option("availability-zone", "Zone of this VM.", "")]
    data_folder: Annotated[str, option("data-folder", "Folder of the log and the snapshots.", "")]
    node_id: Annotated[
        str, option("node-id", "Id of this member; must be the folder's id if it has one.", "")
    ]
    first_members: Annotated[
        str, option("first-members", "Members of a new log, id=ip:port,...; first start only.", "")
    ]
    join: Annotated[
        bool, option("join", "Create the data folder of a member that joins a running log.", False)
    ]
    operators_file: Annotated[
        str, option("operators-file", "JSON file with the list of the operators of a new log.", "")
    ]
    admin_listen: Annotated[
        str, option("admin-listen", "Administration address for operators, ip:port.", "")
    ]
    orders: Annotated[
        bool, option("orders", "Send orders to engines while this member is the leader.", False)
    ]
    loads_per_second: Annotated[
        float, option("loads-per-second", "Loads per second that the weight store permits.", 0.5)
    ]
    trace_file: Annotated[str, option("trace-file", "File for spans, one JSON line each.", "")]
    statsd: Annotated[str, option("statsd", "Address of a statsd server, ip:port.", "")]
    log_level: Annotated[str, option("log-level", "DEBUG, INFO, WARNING or ERROR.", "INFO")]


@cappa.command(name="engine", invoke=run_engine, help="Run a stand-in model engine.")
@dataclasses.dataclass(slots=True)
class Engine:
    """Settings of the stand-in engine."""

    target_id: Annotated[str, option("target-id", "Name of this engine.", "")]
    listen: Annotated[str, option("listen", "Address, ip:port.", "127.0.0.1:9000")]
    gateways: Annotated[str, option("gateways", "Gateway addresses, comma-separated.", "")]
    availability_zone: Annotated[str, option("availability-zone", "Zone of this VM.", "")]
    models: Annotated[
        str, option("models", "Ready models, model:adapter:version, comma-separated.", "model::1")
    ]
    token_seconds: Annotated[float, option("token-seconds", "Seconds per token.", 0.03)]
    weight_store: Annotated[
        str, option("weight-store", "Address of the weight store, ip:port.", "")
    ]
    weight_store_rate: Annotated[
        float, option("weight-store-rate", "Maximum fetches per second of this engine.", 1.0)
    ]
    honours_fencing: Annotated[
        bool, option("honours-fencing", "Refuse orders with an old fence (default).", False)
    ]
    ignores_fencing: Annotated[
        bool, option("ignores-fencing", "Execute orders regardless of their fence.", False)
    ]
    trace_file: Annotated[str, option("trace-file", "File for spans, one JSON line each.", "")]
    log_level: Annotated[str, option("log-level", "DEBUG, INFO, WARNING or ERROR.", "INFO")]


@cappa.command(name="service", invoke=run_service, help="Run a stand-in plain service.")
@dataclasses.dataclass(slots=True)
class Service:
    """Settings of the stand-in plain service."""

    target_id: Annotated[str, option("target-id", "Name of this target.", "")]
    listen: Annotated[str, option("listen", "Address, ip:port.", "127.0.0.1:9200")]
    gateways: Annotated[str, option("gateways", "Gateway addresses, comma-separated.", "")]
    availability_zone: Annotated[str, option("availability-zone", "Zone of this VM.", "")]
    services: Annotated[str, option("services", "Service names, comma-separated.", "")]
    delay_seconds: Annotated[float, option("delay-seconds", "Duration of a call in seconds.", 0.01)]
    ledger_file: Annotated[
        str, option("ledger-file", "File to which each run appends one line.", "")
    ]
    log_level: Annotated[str, option("log-level", "DEBUG, INFO, WARNING or ERROR.", "INFO")]


@cappa.command(name="weight-store", invoke=run_weight_store, help="Run a stand-in weight store.")
@dataclasses.dataclass(slots=True)
class WeightStore:
    """Settings of the stand-in weight store."""

    listen: Annotated[str, option("listen", "Address, ip:port.", "127.0.0.1:9300")]
    rate: Annotated[float, option("rate", "Maximum sustained rate of fetches per second.", 1.0)]
    burst: Annotated[float, option("burst", "Maximum number of fetches at once.", 2.0)]
    log_level: Annotated[str, option("log-level", "DEBUG, INFO, WARNING or ERROR.", "INFO")]


@cappa.command(help="Serves long model generations on engines that fail.")
@dataclasses.dataclass(slots=True)
class Chiveswitch:
    """The command line with its subcommands."""

    command: cappa.Subcommands[
        Gateway
        | Control
        | operator_commands.BundleCommand
        | operator_commands.Audit
        | operator_commands.Status
        | operator_commands.Addresses
        | Engine
        | Service
        | WeightStore
        | Demo
        | measure_settings.Measure
    ]


def main():
    """Parses the command line and runs the subcommand."""
    cappa.invoke(Chiveswitch)


if __name__ == "__main__":
    main()
