"""Subcommands for operators: `bundle`, `audit`, `status` and `addresses`.

Results go to standard output, as plain lines or as one JSON object with `--json`. The operation id,
errors and hints go to standard error. Exit codes: 0 success, 1 refused or invalid, 2 wrong
settings, 3 outcome of the change unknown, 4 rolled but not confirmed by all gateways.
"""

import asyncio
import dataclasses
import sys
import time
import uuid
from typing import Annotated

import cappa
import orjson

from chiveswitch.core import bundles, codes
from chiveswitch.core import settings as settings_module
from chiveswitch.operators import app, client, differences, key_files, rollout
from chiveswitch.tools import options

EXIT_REFUSED = 1
EXIT_SETTINGS = 2
EXIT_UNKNOWN = 3
EXIT_UNCONFIRMED = 4

Control = Annotated[
    str,
    options.option(
        "control", "Administration addresses of the control VMs, ip:port, comma-separated.", ""
    ),
]
ApiKey = Annotated[
    str,
    options.option(
        "api-key", "API key of the operator. Prefer the variable, since `ps` shows flags.", ""
    ),
]
OperationId = Annotated[
    str,
    options.option(
        "operation-id",
        "Id of this change; generated if empty. Give the printed id of an earlier run to get the"
        " result of that run without a second change.",
        "",
    ),
]
Deadline = Annotated[
    float,
    options.option("deadline", "Seconds after which the command gives up, from 0.1 to 3600.", 30.0),
]
Gateways = Annotated[
    str,
    options.option(
        "gateways",
        "Gateway addresses, ip:port, comma-separated; if empty, the gateways that control lists.",
        "",
    ),
]
Json = Annotated[
    bool, cappa.Arg(long="--json", help="Print the result as one JSON object.", default=False)
]
BundleFile = Annotated[str, cappa.Arg(help="JSON file with the bundle.")]
Version = Annotated[int, cappa.Arg(help="Version number of the bundle.")]
ExpectedDigest = Annotated[
    str,
    cappa.Arg(
        long="--digest", default="", help="Refuse unless the bundle has this hexadecimal digest."
    ),
]


def print_to_stderr(text: str) -> None:
    """Prints a hint or an error to standard error."""
    print(text, file=sys.stderr, flush=True)


def show_result(settings, value: dict, lines: list) -> None:
    """Prints a result to standard output.

    Args:
        settings: Settings of the command.
        value: Result to print with --json.
        lines: Lines to print without --json.
    """
    if settings.json:
        print(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())
        return
    for line in lines:
        print(line)


def exit_with_failure(settings, failure) -> None:
    """Prints a `codes.Failure` or a `client.Refusal` and exits with the code for its meaning."""
    if isinstance(failure, codes.Failure):
        failure = client.Refusal(failure.code, failure.message)
    print_to_stderr(f"{int(failure.code)} {failure.code.name} {failure.message}")
    for problem in failure.details.get("problems", []):
        print_to_stderr(f"{problem['place'] or 'bundle'}: {problem['message']}")
    winner = failure.details.get("winner")
    if winner is not None and failure.code is codes.Code.VERSION_CONFLICT:
        print_to_stderr(
            f"version {winner['version']} was written by {winner['writer']}"
            f" with digest {winner['digest']}"
        )
        print_to_stderr(f"the next free version is {failure.details['latest_version'] + 1}")
    if settings.json:
        print(orjson.dumps(failure.to_object(), option=orjson.OPT_INDENT_2).decode())
    if failure.code is codes.Code.SETTING_INVALID:
        raise cappa.Exit(code=EXIT_SETTINGS)
    unknown = failure.run is codes.RunStatus.UNKNOWN
    raise cappa.Exit(code=EXIT_UNKNOWN if unknown else EXIT_REFUSED)


def unwrap_or_exit(settings, result):
    """Returns the value of a Result, or prints its error and exits."""
    if result.is_error():
        exit_with_failure(settings, result.error)
    return result.ok


def check_settings(settings, further_errors=()) -> None:
    """Checks the settings of a command; prints all errors and exits if there are any.

    Args:
        settings: Settings of the command.
        further_errors: Failures that the command itself has found.
    """
    errors = list(further_errors)
    if hasattr(settings, "control"):
        errors += settings_module.addresses_errors("control", settings.control)
    if hasattr(settings, "api_key"):
        errors += settings_module.required_error("control", settings.control)
        errors += settings_module.required_error("api-key", settings.api_key)
        if not settings.api_key.isascii() or not settings.api_key.isprintable():
            errors.append(settings_module.setting_failure("api-key", "is not printable ASCII"))
    if hasattr(settings, "deadline"):
        errors += settings_module.range_error("deadline", settings.deadline, 0.1, 3600)
    if hasattr(settings, "gateways"):
        errors += settings_module.addresses_errors("gateways", settings.gateways)
    if hasattr(settings, "version") and isinstance(settings.version, int):
        if not 0 < settings.version <= app.MAX_VERSION:
            message = (
                f"VERSION: {settings.version} is not a valid version number, a positive integer"
            )
            errors.append(codes.Failure(codes.Code.SETTING_INVALID, message))
    operation_id = getattr(settings, "operation_id", "")
    if operation_id and not app.OPERATION_ID.fullmatch(operation_id):
        message = "is not 1 to 200 printable ASCII characters without spaces"
        errors.append(settings_module.setting_failure("operation-id", message))
    if errors:
        for error in errors:
            print_to_stderr(f"{int(error.code)} {error.code.name} {error.message}")
        raise cappa.Exit(code=EXIT_SETTINGS)


def operator_client(settings) -> client.Client:
    """Returns a client of the administration API with the operator's API key."""
    addresses = settings_module.split_list(settings.control)
    return client.Client(client.ClientSettings(addresses, settings.api_key, settings.deadline))


def choose_operation_id(settings) -> str:
    """Returns the operation id and prints it, so that the operator can resend the change."""
    operation_id = settings.operation_id or uuid.uuid4().hex
    print_to_stderr(f"operation id: {operation_id}")
    return operation_id


def read_file(settings, path: str) -> bytes:
    """Returns the content of a file, at most one byte more than a bundle may have, or exits."""
    try:
        with open(path, "rb") as file:
            return file.read(bundles.MAX_BYTES + 1)
    except OSError as error:
        exit_with_failure(
            settings,
            codes.Failure(codes.Code.SETTING_INVALID, f"FILE: {path} cannot be read: {error}"),
        )


def parse_or_exit(settings, data: bytes) -> bundles.Bundle:
    """Returns the bundle in JSON data, or prints all errors with their places and exits."""
    parsed = bundles.parse(data)
    if parsed.is_ok():
        return parsed.ok
    message = f"The bundle has errors: {len(parsed.error)}."
    problems = app.problem_objects(parsed.error)
    exit_with_failure(
        settings, client.Refusal(codes.Code.BUNDLE_INVALID, message, {"problems": problems})
    )


def run_check(settings: "Check"):
    """Checks a bundle file without a connection."""
    bundle = parse_or_exit(settings, read_file(settings, settings.file))
    digest = bundles.content_digest(bundle).hex()
    value = {"valid": True, "version": bundle.version, "digest": digest}
    show_result(settings, value, [f"valid: version {bundle.version} digest {digest}"])


def run_write(settings: "Write"):
    """Writes a bundle file as the next version."""
    check_settings(settings)
    data = read_file(settings, settings.file)
    parse_or_exit(settings, data)
    operation_id = choose_operation_id(settings)
    result = asyncio.run(operator_client(settings).write(data, operation_id))
    value = unwrap_or_exit(settings, result)
    line = f"written: version {value['version']} digest {value['digest']}"
    show_result(settings, value, [line])


async def fetch_bundle(settings, operator, version: int):
    """Fetches a version and checks its content against the digest that the server states.

    Returns:
        The bundle and the hexadecimal digest of its content.
    """
    value = unwrap_or_exit(settings, await operator.show(version))
    bundle = parse_or_exit(settings, orjson.dumps(value.get("content")))
    # The digest is computed from the content that the approver sees, so that the signature covers
    # exactly this content.
    digest = bundles.content_digest(bundle).hex()
    if digest != value.get("digest") or bundle.version != version:
        message = (
            f"The server's digest of version {version} is not the digest {digest} of its content."
        )
        exit_with_failure(settings, codes.Failure(codes.Code.BUNDLE_INVALID, message))
    check_digest(settings, version, digest)
    return bundle, digest


def check_digest(settings, version: int, digest: str) -> None:
    """Exits if `--digest` is given and differs from the digest of the version."""
    if settings.digest and settings.digest.lower() != digest:
        message = f"Version {version} has the digest {digest}, not {settings.digest}."
        exit_with_failure(settings, codes.Failure(codes.Code.VERSION_CONFLICT, message))


async def fetch_digest(settings, operator, version: int) -> str:
    """Returns the hexadecimal digest of a version from the list of bundles.

    The list avoids the transfer of the content, which may have many MB.
    """
    value = unwrap_or_exit(settings, await operator.request("GET", "/v1/bundles"))
    for entry in value["bundles"]:
        if entry["version"] == version:
            check_digest(settings, version, entry["digest"])
            return entry["digest"]
    message = f"Version {version} is not among the bundles that control keeps."
    exit_with_failure(settings, codes.Failure(codes.Code.BUNDLE_UNKNOWN, message))


async def approve(settings, private_key: bytes):
    """Shows how a version differs from the bundle in force, then signs and approves it."""
    operator = operator_client(settings)
    bundle, digest = await fetch_bundle(settings, operator, settings.version)
    in_force = await operator.show("in-force")
    old = None
    if in_force.is_ok():
        old = parse_or_exit(settings, orjson.dumps(in_force.ok["content"]))
    elif in_force.error.code is not codes.Code.BUNDLE_UNKNOWN:
        exit_with_failure(settings, in_force.error)
    difference = differences.diff_bundles(old, bundle)
    if not settings.json:
        base = f"version {old.version}, in force" if old else "nothing, as no bundle is in force"
        print(f"version {bundle.version} digest {digest}")
        print(f"difference to {base}:")
        print("\n".join(differences.format_lines(difference)), flush=True)
    if sys.stdin.isatty() and not settings.yes:
        print_to_stderr("Sign this bundle? Type yes:")
        if sys.stdin.readline().strip() != "yes":
            print_to_stderr("not signed: the answer was not yes")
            raise cappa.Exit(code=EXIT_REFUSED)
    operation_id = choose_operation_id(settings)
    signature = bundles.sign_digest(private_key, bytes.fromhex(digest)).hex()
    result = await operator.approve(bundle.version, digest, signature, operation_id)
    value = unwrap_or_exit(settings, result)
    line = f"approved: version {value['version']} digest {value['digest']}"
    show_result(settings, {**value, "difference": difference}, [line])


def run_approve(settings: "Approve"):
    """Approves a version with a signature by the approver's key."""
    errors = settings_module.required_error("key-file", settings.key_file)
    if not errors:
        key = key_files.read_private_key(settings.key_file)
        errors = [key.error] if key.is_error() else []
    check_settings(settings, errors)
    asyncio.run(approve(settings, key.ok))


async def gateway_addresses(settings) -> list:
    """Returns the addresses from --gateways, or without it those that control lists."""
    given = settings_module.split_list(settings.gateways)
    if given:
        return given
    found = []
    for _, result in await fetch_statuses(settings_module.split_list(settings.control)):
        gateways = result.ok.get("gateways") if result.is_ok() else None
        for gateway in gateways if isinstance(gateways, list) else []:
            address = gateway.get("address") if isinstance(gateway, dict) else gateway
            if isinstance(address, str) and not settings_module.address_error("", address):
                found.append(address)
    return sorted(set(found))


async def fetch_statuses(addresses: list) -> list:
    """Fetches the statuses of all addresses concurrently, as pairs of address and Result."""
    results = await asyncio.gather(
        *(client.fetch_json(address, "/v1/status") for address in addresses)
    )
    return list(zip(addresses, results, strict=True))


async def roll(settings):
    """Rolls a version and, with --wait, waits until the gateways confirm its serial."""
    operator = operator_client(settings)
    digest = await fetch_digest(settings, operator, settings.version)
    operation_id = choose_operation_id(settings)
    value = unwrap_or_exit(settings, await operator.roll(settings.version, digest, operation_id))
    lines = [f"rolled: version {value['version']} serial {value['serial']} digest {digest}"]
    if not settings.wait:
        show_result(settings, value, lines)
        return
    addresses = await gateway_addresses(settings)
    state = await rollout.wait_for_gateways(addresses, value["serial"])
    value["rollout"] = state.to_object()
    lines.extend(
        f"{address}: admits no work ({reason})" for address, reason in state.not_admitting.items()
    )
    if addresses and not state.unconfirmed:
        lines.append(
            f"in force: serial {state.serial} at {len(state.confirmed)} gateways"
            f" after {state.seconds} s"
        )
        show_result(settings, value, lines)
        return
    show_result(settings, value, lines)
    if not addresses:
        print_to_stderr("no gateways are known; name them with --gateways")
    for address, reason in state.unconfirmed.items():
        print_to_stderr(f"not confirmed after {state.seconds} s: {address}: {reason}")
    print_to_stderr(f"the roll itself succeeded and stays in force: serial {state.serial}")
    raise cappa.Exit(code=EXIT_UNCONFIRMED)


def run_roll(settings: "Roll"):
    """Puts an approved version into force."""
    check_settings(settings)
    asyncio.run(roll(settings))


def run_show(settings: "Show"):
    """Shows one bundle, or lists all bundles."""
    is_invalid = settings.version not in ("", "in-force") and not app.VERSION.fullmatch(
        settings.version
    )
    message = f"VERSION: {settings.version!r} is neither a version number nor in-force"
    check_settings(
        settings, [codes.Failure(codes.Code.SETTING_INVALID, message)] if is_invalid else []
    )
    operator = operator_client(settings)
    if settings.version:
        value = unwrap_or_exit(settings, asyncio.run(operator.show(settings.version)))
        content = orjson.dumps(value["content"], option=orjson.OPT_INDENT_2).decode()
        show_result(settings, value, [bundle_line(value), content])
        return
    value = unwrap_or_exit(settings, asyncio.run(operator.request("GET", "/v1/bundles")))
    lines = [bundle_line(entry) for entry in value["bundles"]]
    show_result(settings, value, [f"serial {value['serial']}", *lines])


def bundle_line(entry: dict) -> str:
    """Returns the line that describes a bundle in a list."""
    approver = entry["approver"] or "nobody"
    mark = " in force" if entry["in_force"] else ""
    return (
        f"version {entry['version']} digest {entry['digest']} written by {entry['writer']}"
        f" approved by {approver}{mark}"
    )


def run_audit(settings: "Audit"):
    """Lists the changes of bundles from the audit."""
    check_settings(settings)
    value = unwrap_or_exit(
        settings, asyncio.run(operator_client(settings).request("GET", "/v1/audit"))
    )
    lines = []
    for entry in value["entries"]:
        timestamp = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(entry["time_ms"] / 1000))
        lines.append(
            f"{timestamp} {entry['actor'] or '-'} {entry['action']} version {entry['version']}"
            f" serial {entry['serial']} digest {entry['digest'] or '-'}"
        )
    show_result(settings, value, lines)


def status_lines(kind: str, address: str, result) -> list:
    """Returns the line of one process: its scalar status values, or the error."""
    if result.is_error():
        return [f"{kind} {address}: {result.error.message}"]
    pairs = [
        f"{name}={value}"
        for name, value in result.ok.items()
        if isinstance(value, str | int | float) and value != ""
    ]
    return [f"{kind} {address}: " + " ".join(pairs)]


async def gather_status(settings):
    """Returns the statuses of the control processes and the gateways, as two lists of pairs."""
    control = await fetch_statuses(settings_module.split_list(settings.control))
    return control, await fetch_statuses(await gateway_addresses(settings))


def run_status(settings: "Status"):
    """Shows the status of control and of the gateways; exits with 1 if any of them has none."""
    check_settings(settings, location_errors(settings))
    groups = dict(zip(("control", "gateways"), asyncio.run(gather_status(settings)), strict=True))
    value, lines, has_failed = {}, [], False
    for kind, pairs in groups.items():
        value[kind] = {}
        for address, result in pairs:
            has_failed |= result.is_error()
            error = {"error": result.error.message} if result.is_error() else None
            value[kind][address] = error or result.ok
            lines.extend(status_lines(kind.removesuffix("s"), address, result))
    show_result(settings, value, lines)
    if has_failed:
        raise cappa.Exit(code=EXIT_REFUSED)


def location_errors(settings) -> list:
    """Returns an error if the settings name neither control nor a gateway."""
    if settings.control or settings.gateways:
        return []
    return [settings_module.setting_failure("control", "or --gateways is required")]


async def gather_addresses(settings):
    """Returns the addresses from the first gateway that answers, or the last failure."""
    result = codes.failure(
        codes.Code.NO_TARGET, "No gateways are known; name them with --gateways."
    )
    for address in await gateway_addresses(settings):
        result = await client.fetch_json(address, "/v1/addresses", settings.account_key)
        if result.is_ok():
            break
    return result


def run_addresses(settings: "Addresses"):
    """Shows the gateway addresses that a caller of a client account would use."""
    check_settings(settings, location_errors(settings))
    value = unwrap_or_exit(settings, asyncio.run(gather_addresses(settings)))
    lines = [*value["addresses"], f"valid for {value['valid_seconds']} s"]
    show_result(settings, value, lines)


@cappa.command(
    name="check", invoke=run_check, help="List all errors of a bundle file, without a connection."
)
@dataclasses.dataclass(slots=True)
class Check:
    """Settings of `bundle check`, which needs no connection."""

    file: BundleFile
    json: Json


@cappa.command(
    name="write",
    invoke=run_write,
    help="Write a bundle file as the next version. It comes into force after approval and roll.",
)
@dataclasses.dataclass(slots=True)
class Write:
    """Settings of `bundle write`."""

    file: BundleFile
    control: Control
    api_key: ApiKey
    operation_id: OperationId
    deadline: Deadline
    json: Json


@cappa.command(
    name="approve",
    invoke=run_approve,
    help="Show what a version changes and sign it. Writers cannot approve their own versions.",
)
@dataclasses.dataclass(slots=True)
class Approve:
    """Settings of `bundle approve`."""

    version: Version
    key_file: Annotated[
        str,
        options.option(
            "key-file",
            "File with the approver's Ed25519 private key, 32 bytes or 64 hexadecimal digits,"
            " readable by its owner only (chmod 600).",
            "",
        ),
    ]
    digest: ExpectedDigest
    yes: Annotated[bool, cappa.Arg(long="--yes", help="Sign without confirmation.", default=False)]
    control: Control
    api_key: ApiKey
    operation_id: OperationId
    deadline: Deadline
    json: Json


@cappa.command(
    name="roll",
    invoke=run_roll,
    help="Put an approved version in force. It must be higher than the one in force.",
)
@dataclasses.dataclass(slots=True)
class Roll:
    """Settings of `bundle roll`."""

    version: Version
    wait: Annotated[
        bool,
        cappa.Arg(
            long="--wait",
            default=False,
            help="Wait up to 6 s until all gateways that admit work have the serial.",
        ),
    ]
    digest: ExpectedDigest
    gateways: Gateways
    control: Control
    api_key: ApiKey
    operation_id: OperationId
    deadline: Deadline
    json: Json


@cappa.command(name="show", invoke=run_show, help="Show a bundle; without a version, list all.")
@dataclasses.dataclass(slots=True)
class Show:
    """Settings of `bundle show`."""

    version: Annotated[
        str,
        cappa.Arg(default="", help="Version number or in-force; if empty, all bundles are listed."),
    ]
    control: Control
    api_key: ApiKey
    deadline: Deadline
    json: Json


@cappa.command(
    name="bundle",
    help="Change the configuration: check a file, write it, have it approved, roll it.",
)
@dataclasses.dataclass(slots=True)
class BundleCommand:
    """Subcommands of `bundle`."""

    command: cappa.Subcommands[Check | Write | Approve | Roll | Show]


@cappa.command(name="audit", invoke=run_audit, help="List who changed what and when.")
@dataclasses.dataclass(slots=True)
class Audit:
    """Settings of `audit`."""

    control: Control
    api_key: ApiKey
    deadline: Deadline
    json: Json


@cappa.command(
    name="status", invoke=run_status, help="Show the state of the control VMs and the gateways."
)
@dataclasses.dataclass(slots=True)
class Status:
    """Settings of `status`, which needs no API key."""

    control: Control
    gateways: Gateways
    json: Json


@cappa.command(
    name="addresses",
    invoke=run_addresses,
    help="Show the gateway addresses that a caller gets.",
)
@dataclasses.dataclass(slots=True)
class Addresses:
    """Settings of `addresses`."""

    control: Control
    gateways: Gateways
    account_key: Annotated[
        str,
        options.option(
            "account-key", "API key of a client account; the addresses differ by account.", ""
        ),
    ]
    json: Json
