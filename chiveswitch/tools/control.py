"""The control daemon: opens the data folder and runs one control member until SIGTERM."""

import asyncio
import logging
import os
import pathlib
import random
import signal
import sys
import uuid

import expression
import orjson

from chiveswitch.core import bundles, clock, codes, directory, orders, telemetry
from chiveswitch.core import consensus_messages as messages
from chiveswitch.core import settings as settings_module
from chiveswitch.operators import app as operators_app
from chiveswitch.operators import control_view
from chiveswitch.peers import control_server, directory_feed
from chiveswitch.engine_orders import controller as controller_module
from chiveswitch.storage import data_folder, files
from chiveswitch.tools import serving

log = logging.getLogger("chiveswitch.control")

EXIT_FAILED = 1
EXIT_SETTINGS = 2
# Control needs the reports of engines and the addresses of gateways, but not their latest load.
PULL_INTERVAL_SECONDS = 0.5
# Maximum number of weight loads that the leader may order at once.
MAX_LOAD_BURST = 2.0


def parse_members(text: str) -> expression.Result:
    """Returns Ok with the address by member id from `id=ip:port,...`, or the list of failures."""
    address_by_id = {}
    errors = []
    for part in settings_module.split_list(text):
        member_id, separator, address = part.partition("=")
        if not member_id or not separator:
            errors.append(
                settings_module.setting_failure(
                    "first-members", f"{part!r} is not of the form id=ip:port"
                )
            )
            continue
        if member_id in address_by_id or address in address_by_id.values():
            errors.append(
                settings_module.setting_failure(
                    "first-members", f"{part!r} repeats an id or an address"
                )
            )
        errors += settings_module.address_error("first-members", address)
        address_by_id[member_id] = address
    return expression.Error(errors) if errors else expression.Ok(address_by_id)


def check(settings) -> list:
    """Returns all errors of the settings that can be found without opening the data folder."""
    errors = settings_module.required_error("availability-zone", settings.availability_zone)
    errors += settings_module.required_error("data-folder", settings.data_folder)
    errors += settings_module.address_error("listen", settings.listen)
    if settings.admin_listen:
        errors += settings_module.address_error("admin-listen", settings.admin_listen)
    members = parse_members(settings.first_members)
    if members.is_error():
        errors += members.error
    if settings.first_members and settings.join:
        errors.append(
            settings_module.setting_failure("join", "cannot be combined with --first-members")
        )
    if settings.first_members and members.is_ok():
        own_address = members.ok.get(settings.node_id)
        if own_address is None:
            message = f"{settings.node_id!r} is not an id in --first-members"
            errors.append(settings_module.setting_failure("node-id", message))
        elif own_address != settings.listen:
            message = f"is not the address {own_address} of {settings.node_id} in --first-members"
            errors.append(settings_module.setting_failure("listen", message))
    operators = read_operators(settings.operators_file)
    if operators.is_error():
        errors.append(operators.error)
    return errors


def read_operators(path: str) -> expression.Result:
    """Reads the operators of a new log.

    Args:
        path: Path of the JSON file, or an empty string for no operators.

    Returns:
        Ok with the list of operators as JSON objects, or the failure to read or accept the file.
    """
    if not path:
        return expression.Ok([])
    try:
        operators = orjson.loads(pathlib.Path(path).read_bytes())
    except (OSError, orjson.JSONDecodeError) as error:
        return expression.Error(settings_module.setting_failure("operators-file", str(error)))
    field_names = set(bundles.Operator.__slots__)
    if not isinstance(operators, list) or not all(
        isinstance(operator, dict)
        and set(operator) == field_names
        and all(isinstance(value, str) for value in operator.values())
        for operator in operators
    ):
        message = (
            f"is not a JSON list of objects with exactly the string fields {sorted(field_names)}"
        )
        return expression.Error(settings_module.setting_failure("operators-file", message))
    return expression.Ok(operators)


def open_folder(settings) -> expression.Result:
    """Opens the data folder; creates a new one only with the flags of a first start.

    A member whose disk was lost must not return under its old id, since its vote and its log are
    lost, too. So --first-members is refused once the folder is in use and has to be removed from
    the settings; otherwise it would apply to an empty folder after the loss of a disk.

    Args:
        settings: The command's settings, which `check` has accepted.

    Returns:
        Ok with the open `data_folder.DataFolder`, or a failure.
    """
    folder = settings.data_folder
    is_new = not os.path.exists(os.path.join(folder, "id"))
    is_first_start = bool(settings.first_members or settings.join)
    if is_new and not is_first_start:
        message = (
            f"{folder} is new: give --join for a running log, or --first-members and --node-id"
            " for a new log"
        )
        return expression.Error(settings_module.setting_failure("data-folder", message))
    if not is_new and settings.first_members:
        message = f"{folder} is in use already: remove this flag, which is for the first start only"
        return expression.Error(settings_module.setting_failure("first-members", message))
    first_configuration = None
    if settings.first_members:
        voters = parse_members(settings.first_members).ok

        def first_configuration(_node_id):
            return messages.Configuration(voters)

    opened = data_folder.open_folder(
        files.Files(),
        folder,
        lambda: settings.node_id if settings.first_members else uuid.uuid4().hex,
        first_configuration,
    )
    if opened.is_error():
        return opened
    if settings.node_id and opened.ok.node_id != settings.node_id:
        message = f"{folder} belongs to {opened.ok.node_id}: give this id or another folder"
        opened.ok.close()
        return expression.Error(settings_module.setting_failure("node-id", message))
    return opened


async def serve(settings, folder):
    """Runs a control member until SIGTERM, SIGINT or a fault.

    Args:
        settings: The command's settings.
        folder: The open `data_folder.DataFolder`, which is closed at the end.

    Returns:
        None after a signal, or the `codes.Failure` that ended the member.
    """
    instruments = telemetry.Telemetry(
        "control", folder.node_id, settings.trace_file, settings.statsd
    )
    operators = read_operators(settings.operators_file).ok
    server = control_server.ControlServer(
        settings.listen, folder, operators, instruments=instruments
    )
    own_description = directory.Description(
        folder.node_id, "gateway", settings.availability_zone, settings.listen, 0
    )
    view = control_view.ControlView(server, directory.Directory(own_description))
    feed = directory_feed.DirectoryFeed(
        view.directory, view.gateway_peer_addresses, PULL_INTERVAL_SECONDS, 1, random.Random()
    )
    budget = orders.LoadBudget(settings.loads_per_second, MAX_LOAD_BURST, clock.now())
    controller = controller_module.Controller(
        view, lambda: view.directory.usable_targets(clock.now()), budget
    )
    tasks = []
    admin_server = None
    stopped = asyncio.get_running_loop().create_future()

    def on_signal():
        if not stopped.done():
            stopped.set_result(None)

    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, on_signal)
    try:
        await server.start()
        if settings.admin_listen:
            host, _, port = settings.admin_listen.rpartition(":")
            admin_server = await serving.start(operators_app.build_app(view), host, int(port))
        tasks.append(asyncio.ensure_future(feed.run()))
        if settings.orders:
            tasks.append(asyncio.ensure_future(controller.run()))
        log.info("control: %s listens on %s", folder.node_id, settings.listen)
        await asyncio.wait([stopped, server.failed], return_when=asyncio.FIRST_COMPLETED)
    except (OSError, RuntimeError) as error:
        return codes.Failure(codes.Code.SETTING_INVALID, f"Cannot listen: {error}")
    finally:
        # Responses to operators need the other parts.
        if admin_server is not None:
            await serving.stop(admin_server, serving.LAST_RESPONSES_SECONDS)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await feed.close()
        await server.close()
        instruments.close()
    log.info("control: stopped")
    return server.failed.result() if server.failed.done() else None


def main(settings):
    """Opens the data folder and runs the daemon; exits with a numbered error if it cannot."""
    opened = open_folder(settings)
    failure = opened.error if opened.is_error() else None
    if failure is None:
        failure = asyncio.run(serve(settings, opened.ok))
    if failure is not None:
        print(f"{int(failure.code)} {failure.code.name} {failure.message}", file=sys.stderr)
        is_setting = failure.code == codes.Code.SETTING_INVALID
        sys.exit(EXIT_SETTINGS if is_setting else EXIT_FAILED)
