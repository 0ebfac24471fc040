"""Subcommands for operators: `bundle`, `audit`, `status` and `addresses`.

Results go to standard output, as plain lines or as one JSON object with `--json`; the operation id,
errors and advice go to standard error. Exit codes: 0 done, 1 refused or invalid, 2 wrong settings,
3 the fate of a change is not known, 4 rolled but not confirmed by all gateways.
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
        "api-key", "Your API key as an operator. Prefer the variable: flags show in `ps`.", ""
    ),
]
OperationId = Annotated[
    str,
    options.option(
        "operation-id",
        "Id of this change. Leave it empty to have one drawn; give the printed id of an earlier"
        " run to learn the result of that run, without a second change.",
        "",
    ),
]
Deadline = Annotated[
    float, options.option("deadline", "Seconds after which the command gives up.", 30.0)
]
Gateways = Annotated[
    str,
    options.option(
        "gateways", "Gateway addresses, ip:port, comma-separated; empty to ask control.", ""
    ),
]
Json = Annotated[bool, cappa.Arg(long="--json", help="Print one JSON object.", default=False)]
BundleFile = Annotated[str, cappa.Arg(help="File with the bundle as JSON.")]
Version = Annotated[int, cappa.Arg(help="Version number of the bundle.")]
ExpectedDigest = Annotated[
    str,
    cappa.Arg(
        long="--digest", default="", help="Refuse unless the bundle has this hexadecimal digest."
    ),
]


def say(text: str) -> None:
    """Prints advice or an error at once, apart from the result."""
    print(text, file=sys.stderr, flush=True)


def show_result(settings, value: dict, lines: list) -> None:
    """Prints a result as JSON or as lines."""
    if settings.json:
        print(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())
        return
    for line in lines:
        print(line)


def fail(settings, failure) -> None:
    """Prints a `codes.Failure` or a `client.Refusal` and ends the command by its meaning."""
    if isinstance(failure, codes.Failure):
        failure = client.Refusal(failure.code, failure.message)
    say(f"{int(failure.code)} {failure.code.name} {failure.message}")
    for problem in failure.details.get("problems", []):
        say(f"{problem['place'] or 'bundle'}: {problem['message']}")
    winner = failure.details.get("winner")
    if winner is not None and failure.code is codes.Code.VERSION_CONFLICT:
        say(
            f"version {winner['version']} was written by {winner['writer']}"
            f" with digest {winner['digest']}"
        )
        say(f"the next free version is {failure.details['latest_version'] + 1}")
    if settings.json:
        print(orjson.dumps(failure.to_object(), option=orjson.OPT_INDENT_2).decode())
    if failure.code is codes.Code.SETTING_INVALID:
        raise cappa.Exit(code=EXIT_SETTINGS)
    unknown = failure.run is codes.RunStatus.UNKNOWN
    raise cappa.Exit(code=EXIT_UNKNOWN if unknown else EXIT_REFUSED)


def value_of(settings, result):
    """Returns the value of a Result, or ends the command with its error."""
    if result.is_error():
        fail(settings, result.error)
    return result.ok


def check_settings(settings, more=()) -> None:
    """Ends the command with every error of its settings."""
    errors = list(more)
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
            message = f"VERSION: {settings.version} is not a version number"
            errors.append(codes.Failure(codes.Code.SETTING_INVALID, message))
    operation_id = getattr(settings, "operation_id", "")
    if operation_id and not app.OPERATION_ID.fullmatch(operation_id):
        message = "is not 1 to 200 printable ASCII characters without spaces"
        errors.append(settings_module.setting_failure("operation-id", message))
    if errors:
        for error in errors:
            say(f"{int(error.code)} {error.code.name} {error.message}")
        raise cappa.Exit(code=EXIT_SETTINGS)


def operator_client(settings) -> client.Client:
    """Returns the client of an operator."""
    addresses = settings_module.split_list(settings.control)
    return client.Client(client.ClientSettings(addresses, settings.api_key, settings.deadline))


def operation_id_of(settings) -> str:
    """Returns the operation id, printed before the first send so that it can be sent again."""
    operation_id = settings.operation_id or uuid.uuid4().hex
    say(f"operation id: {operation_id}")
    return operation_id


def read_file(settings, path: str) -> bytes:
    """Returns the content of a file, or ends the command."""
    try:
        with open(path, "rb") as file:
            return file.read(bundles.MAX_BYTES + 1)
    except OSError as error:
        fail(settings, codes.Failure(codes.Code.SETTING_INVALID, f"{path} cannot be read: {error}"))


def parse_or_fail(settings, data: bytes) -> bundles.Bundle:
    """Returns the bundle in some JSON, or ends the command with every error and its place."""
    parsed = bundles.parse(data)
    if parsed.is_ok():
        return parsed.ok
    message = f"The bundle has errors: {len(parsed.error)}."
    problems = app.problem_objects(parsed.error)
    fail(settings, client.Refusal(codes.Code.BUNDLE_INVALID, message, {"problems": problems}))


def run_check(settings: "Check"):
    """Checks a bundle file without a connection."""
    bundle = parse_or_fail(settings, read_file(settings, settings.file))
    digest = bundles.content_digest(bundle).hex()
    value = {"valid": True, "version": bundle.version, "digest": digest}
    show_result(settings, value, [f"valid: version {bundle.version} digest {digest}"])


def run_write(settings: "Write"):
    """Writes a bundle file as the next version."""
    check_settings(settings)
    data = read_file(settings, settings.file)
    parse_or_fail(settings, data)
    operation_id = operation_id_of(settings)
    result = asyncio.run(operator_client(settings).write(data, operation_id))
    value = value_of(settings, result)
    line = f"written: version {value['version']} digest {value['digest']}"
    show_result(settings, value, [line])


async def fetch_bundle(settings, operator, version: int):
    """Returns (bundle, hexadecimal digest over its own content), checked against the server's."""
    value = value_of(settings, await operator.show(version))
    bundle = parse_or_fail(settings, orjson.dumps(value.get("content")))
    # The digest comes from the content that is shown, so that a signature is over nothing else.
    digest = bundles.content_digest(bundle).hex()
    if digest != value.get("digest") or bundle.version != version:
        message = f"The content of version {version} has the digest {digest}, not the stated one."
        fail(settings, codes.Failure(codes.Code.BUNDLE_INVALID, message))
    check_digest(settings, version, digest)
    return bundle, digest


def check_digest(settings, version: int, digest: str) -> None:
    """Ends the command when a version has another digest than the one of `--digest`."""
    if settings.digest and settings.digest.lower() != digest:
        message = f"Version {version} has the digest {digest}, not {settings.digest}."
        fail(settings, codes.Failure(codes.Code.VERSION_CONFLICT, message))


async def fetch_digest(settings, operator, version: int) -> str:
    """Returns the hexadecimal digest of a version without its content, which may have many MB."""
    value = value_of(settings, await operator.request("GET", "/v1/bundles"))
    for entry in value["bundles"]:
        if entry["version"] == version:
            check_digest(settings, version, entry["digest"])
            return entry["digest"]
    message = f"Version {version} is not among the kept bundles."
    fail(settings, codes.Failure(codes.Code.BUNDLE_UNKNOWN, message))


async def approve(settings, private_key: bytes):
    """Shows a version with its difference to the bundle in force, then signs and sends."""
    operator = operator_client(settings)
    bundle, digest = await fetch_bundle(settings, operator, settings.version)
    in_force = await operator.show("in-force")
    old = None
    if in_force.is_ok():
        old = parse_or_fail(settings, orjson.dumps(in_force.ok["content"]))
    elif in_force.error.code is not codes.Code.BUNDLE_UNKNOWN:
        fail(settings, in_force.error)
    difference = differences.diff_bundles(old, bundle)
    if not settings.json:
        base = f"version {old.version}, in force" if old else "nothing, as no bundle is in force"
        print(f"version {bundle.version} digest {digest}")
        print(f"difference to {base}:")
        print("\n".join(differences.format_lines(difference)), flush=True)
    if sys.stdin.isatty() and not settings.yes:
        say("Sign this bundle? Type yes:")
        if sys.stdin.readline().strip() != "yes":
            say("not signed")
            raise cappa.Exit(code=EXIT_REFUSED)
    operation_id = operation_id_of(settings)
    signature = bundles.sign_digest(private_key, bytes.fromhex(digest)).hex()
    result = await operator.approve(bundle.version, digest, signature, operation_id)
    value = value_of(settings, result)
    line = f"approved: version {value['version']} digest {value['digest']}"
    show_result(settings, {**value, "difference": difference}, [line])


def run_approve(settings: "Approve"):
    """Approves a version by a signature."""
    errors = settings_module.required_error("key-file", settings.key_file)
    if not errors:
        key = key_files.read_private_key(settings.key_file)
        errors = [key.error] if key.is_error() else []
    check_settings(settings, errors)
    asyncio.run(approve(settings, key.ok))


async def gateway_addresses(settings) -> list:
    """Returns the gateways' addresses: the given ones, else those that control knows."""
    given = settings_module.split_list(settings.gateways)
    if given:
        return given
    found = []
    for _, result in await statuses(settings_module.split_list(settings.control)):
        gateways = result.ok.get("gateways") if result.is_ok() else None
        for gateway in gateways if isinstance(gateways, list) else []:
            address = gateway.get("address") if isinstance(gateway, dict) else gateway
            if isinstance(address, str) and not settings_module.address_error("", address):
                found.append(address)
    return sorted(set(found))


async def statuses(addresses: list) -> list:
    """Returns pairs of address and Result of its status, asked for at the same time."""
    results = await asyncio.gather(
        *(client.fetch_json(address, "/v1/status") for address in addresses)
    )
    return list(zip(addresses, results, strict=True))


async def roll(settings):
    """Rolls a version and, when asked to, waits until the gateways have it."""
    operator = operator_client(settings)
    digest = await fetch_digest(settings, operator, settings.version)
    operation_id = operation_id_of(settings)
    value = value_of(settings, await operator.roll(settings.version, digest, operation_id))
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
        say("no gateways are known; name them by --gateways")
    for address, reason in state.unconfirmed.items():
        say(f"not confirmed after {state.seconds} s: {address}: {reason}")
    say(f"the roll is made and stays: serial {state.serial}")
    raise cappa.Exit(code=EXIT_UNCONFIRMED)


def run_roll(settings: "Roll"):
    """Puts an approved version into force."""
    check_settings(settings)
    asyncio.run(roll(settings))


def run_show(settings: "Show"):
    """Shows one bundle, or lists all."""
    wrong = settings.version not in ("", "in-force") and not app.VERSION.fullmatch(settings.version)
    message = f"VERSION: {settings.version!r} is neither a version number nor in-force"
    check_settings(settings, [codes.Failure(codes.Code.SETTING_INVALID, message)] if wrong else [])
    operator = operator_client(settings)
    if settings.version:
        value = value_of(settings, asyncio.run(operator.show(settings.version)))
        content = orjson.dumps(value["content"], option=orjson.OPT_INDENT_2).decode()
        show_result(settings, value, [bundle_line(value), content])
        return
    value = value_of(settings, asyncio.run(operator.request("GET", "/v1/bundles")))
    lines = [bundle_line(entry) for entry in value["bundles"]]
    show_result(settings, value, [f"serial {value['serial']}", *lines])


def bundle_line(entry: dict) -> str:
    """Returns the line of a bundle in a list."""
    approver = entry["approver"] or "nobody"
    mark = " in force" if entry["in_force"] else ""
    return (
        f"version {entry['version']} digest {entry['digest']} written by {entry['writer']}"
        f" approved by {approver}{mark}"
    )


def run_audit(settings: "Audit"):
    """Lists the changes."""
    check_settings(settings)
    value = value_of(settings, asyncio.run(operator_client(settings).request("GET", "/v1/audit")))
    lines = []
    for entry in value["entries"]:
        moment = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(entry["time_ms"] / 1000))
        lines.append(
            f"{moment} {entry['actor'] or '-'} {entry['action']} version {entry['version']}"
            f" serial {entry['serial']} digest {entry['digest'] or '-'}"
        )
    show_result(settings, value, lines)


def status_lines(kind: str, address: str, result) -> list:
    """Returns the lines of one process: its plain values, or why there are none."""
    if result.is_error():
        return [f"{kind} {address}: {result.error.message}"]
    pairs = [
        f"{name}={value}"
        for name, value in result.ok.items()
        if isinstance(value, str | int | float) and value != ""
    ]
    return [f"{kind} {address}: " + " ".join(pairs)]


async def gather_status(settings):
    """Returns the statuses of the control processes and of the gateways."""
    control = await statuses(settings_module.split_list(settings.control))
    return control, await statuses(await gateway_addresses(settings))


def run_status(settings: "Status"):
    """Shows the status of control and of the gateways; exits 1 when some give none."""
    check_settings(settings, location_errors(settings))
    groups = dict(zip(("control", "gateways"), asyncio.run(gather_status(settings)), strict=True))
    value, lines, failed = {}, [], False
    for kind, pairs in groups.items():
        value[kind] = {}
        for address, result in pairs:
            failed |= result.is_error()
            error = {"error": result.error.message} if result.is_error() else None
            value[kind][address] = error or result.ok
            lines.extend(status_lines(kind.removesuffix("s"), address, result))
    show_result(settings, value, lines)
    if failed:
        raise cappa.Exit(code=EXIT_REFUSED)


def location_errors(settings) -> list:
    """Returns the error of settings that name neither control nor a gateway."""
    if settings.control or settings.gateways:
        return []
    return [settings_module.setting_failure("control", "or --gateways is required")]


async def gather_addresses(settings):
    """Returns the first answer of a gateway to the question for addresses."""
    result = codes.failure(codes.Code.NO_TARGET, "No gateways are known; name them by --gateways.")
    for address in await gateway_addresses(settings):
        result = await client.fetch_json(address, "/v1/addresses", settings.account_key)
        if result.is_ok():
            break
    return result


def run_addresses(settings: "Addresses"):
    """Shows the addresses that a caller would use."""
    check_settings(settings, location_errors(settings))
    value = value_of(settings, asyncio.run(gather_addresses(settings)))
    lines = [*value["addresses"], f"valid for {value['valid_seconds']} s"]
    show_result(settings, value, lines)


@cappa.command(name="check", invoke=run_check, help="List every error of a bundle file.")
@dataclasses.dataclass(slots=True)
class Check:
    """Settings of `bundle check`, which needs no connection."""

    file: BundleFile
    json: Json


@cappa.command(
    name="write",
    invoke=run_write,
    help="Write a bundle file as the next version. It is not in force before approval and roll.",
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
    help="Show what a version changes and sign it. The writer cannot approve his own version.",
)
@dataclasses.dataclass(slots=True)
class Approve:
    """Settings of `bundle approve`."""

    version: Version
    key_file: Annotated[
        str,
        options.option(
            "key-file",
            "File with your Ed25519 private key, 32 bytes or 64 hexadecimal digits, that only you"
            " can read (chmod 600).",
            "",
        ),
    ]
    digest: ExpectedDigest
    yes: Annotated[bool, cappa.Arg(long="--yes", help="Sign without a question.", default=False)]
    control: Control
    api_key: ApiKey
    operation_id: OperationId
    deadline: Deadline
    json: Json


@cappa.command(
    name="roll",
    invoke=run_roll,
    help="Put an approved version into force. A lower version never follows a higher one.",
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


@cappa.command(name="show", invoke=run_show, help="Show a bundle, or list all without a version.")
@dataclasses.dataclass(slots=True)
class Show:
    """Settings of `bundle show`."""

    version: Annotated[
        str, cappa.Arg(default="", help="Version number, or in-force; empty lists all bundles.")
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
    """Subcommands of bundles."""

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
    help="Show the gateway addresses that a caller is told to use.",
)
@dataclasses.dataclass(slots=True)
class Addresses:
    """Settings of `addresses`."""

    control: Control
    gateways: Gateways
    account_key: Annotated[
        str,
        options.option(
            "account-key", "API key of a client account, since the answer differs by account.", ""
        ),
    ]
    json: Json
