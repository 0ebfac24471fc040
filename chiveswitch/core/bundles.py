"""The configuration bundle: its JSON format, validation and signatures.

A bundle lists the models, the client accounts, the operators and the services. `parse` returns a
typed `Bundle`, or every problem with the path of its value; it corrects nothing silently. The
content digest is computed over canonical JSON, so that it does not depend on how the same content
is written.
"""

import hashlib
import math
import re

import cryptography.exceptions
import expression
import orjson
from cryptography.hazmat.primitives.asymmetric import ed25519

FORMAT = 1

# 45,000 accounts of about 250 bytes each take 11 MB; the limit permits twice that.
MAX_BYTES = 24 * 1024 * 1024
MAX_ACCOUNTS = 100_000
MAX_MODELS = 200
MAX_SERVICES = 2_000
MAX_OPERATORS = 500
MAX_NAMES = 1_000
MAX_KEYS = 16
MAX_TOKENS = 1_000_000

# Without this bound the check of a malicious 24 MB file could return gigabytes of messages.
MAX_PROBLEMS = 1_000

# The prefix prevents a signature over a bundle from being valid for any other kind of data.
SIGNATURE_CONTEXT = b"chiveswitch bundle v1\x00"

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
DIGEST = re.compile(r"[0-9a-f]{64}")

WRITING_ROLES = ("writer", "operator")
APPROVING_ROLES = ("approver", "operator")
ROLLING_ROLES = ("operator",)


class Problem:
    """One error in a bundle.

    Attributes:
        path: Path of the value, such as `services[2].priority`; empty for the whole bundle.
        message: What is wrong with the value.
    """

    __slots__ = ("path", "message")

    def __init__(self, path: str, message: str):
        self.path = path
        self.message = message

    def __repr__(self):
        return f"{self.path or 'bundle'}: {self.message}"

    def __eq__(self, other):
        return isinstance(other, Problem) and repr(self) == repr(other)

    __hash__ = None


class Record:
    """Base of the typed records: one slot per field of the JSON object."""

    __slots__ = ()

    def __init__(self, **values):
        for name in self.__slots__:
            setattr(self, name, values[name])

    def __eq__(self, other):
        return type(self) is type(other) and to_json_object(self) == to_json_object(other)

    def __repr__(self):
        return f"{type(self).__name__}({to_json_object(self)!r})"

    __hash__ = None


class Model(Record):
    """A model that engines serve.

    Attributes:
        name: Name of the model.
        adapters: Names of its adapters; using no adapter is always permitted.
        versions: Names of its versions.
        engines: Number of engines that should have the model loaded and ready.
        prefill_engines: Number of these engines with the role `prefill` instead of `mixed`.
    """

    __slots__ = ("name", "adapters", "versions", "engines", "prefill_engines")


class Account(Record):
    """A client account.

    Attributes:
        name: Name of the account.
        key_digests: Hexadecimal sha256 digests of its API keys.
        requests_per_second: Limit on admitted requests per second, over all gateways together.
        open_requests: Limit on requests in progress.
        weight: Share of the account in fair queueing.
    """

    __slots__ = ("name", "key_digests", "requests_per_second", "open_requests", "weight")


class Operator(Record):
    """A person or program that may change the configuration.

    Attributes:
        name: Name of the operator.
        role: `writer`, `approver` or `operator`.
        public_key: Hexadecimal Ed25519 public key, 32 bytes.
        key_digest: Hexadecimal sha256 digest of the API key.
    """

    __slots__ = ("name", "role", "public_key", "key_digest")


class Service(Record):
    """A service that callers name in their requests.

    Attributes:
        name: Name of the service.
        kind: `generation` or `call`.
        model: Model of a generation; None for a call.
        adapter: Adapter of a generation; empty for none.
        version: Version of the model of a generation; None for a call.
        target_kind: Kind of the targets of a call; None for a generation.
        repeatable: False when the target must run a request at most once.
        priority: `lookup`, `interactive` or `batch`.
        accounts: Names of the accounts that may use it.
        wait_limit_s: Maximum wait of a caller for the first response, in seconds.
        on_absence: `cancel` or `continue` after the caller has disconnected.
        absence_grace_s: Seconds from a caller's disconnection until `on_absence` applies.
        keep_answer_s: Seconds for which a complete response is kept.
        durable: Whether a request is stored in the control log before it is accepted.
        journal_copies: Number of copies of a journal, 3 or 5.
        resume: `latency` or `resources`.
        extra_work_percent: Limit on repeated work, in percent of the delivered tokens, above which
            no hedge starts.
        max_tokens: Maximum number of tokens in a response.
    """

    __slots__ = (
        "name",
        "kind",
        "model",
        "adapter",
        "version",
        "target_kind",
        "repeatable",
        "priority",
        "accounts",
        "wait_limit_s",
        "on_absence",
        "absence_grace_s",
        "keep_answer_s",
        "durable",
        "journal_copies",
        "resume",
        "extra_work_percent",
        "max_tokens",
    )


class Bundle(Record):
    """A bundle that passed all checks.

    Attributes:
        format: Number of the bundle format.
        version: Number of the bundle, from 1, chosen by the writer.
        models: List of `Model`.
        accounts: List of `Account`.
        operators: List of `Operator`.
        services: List of `Service`.
    """

    __slots__ = ("format", "version", "models", "accounts", "operators", "services")


REQUIRED = object()


def pattern_check(pattern: re.Pattern, description: str):
    """Returns a check for strings that match a pattern in full.

    This and the other checks return what is wrong with a value, or None if it is valid.
    """

    def check(value):
        if not isinstance(value, str) or not pattern.fullmatch(value):
            return f"is not {description}"
        return None

    return check


def choice_check(*values):
    """Returns a check for one of several values, which must also have the same type."""

    def check(value):
        for permitted in values:
            if type(value) is type(permitted) and value == permitted:
                return None
        return "is not one of " + ", ".join(str(permitted) for permitted in values)

    return check


def number_check(low: float, high: float, integer_only: bool = False):
    """Returns a check for numbers from low to high; `integer_only` excludes fractions."""

    def check(value):
        kinds = (int,) if integer_only else (int, float)
        if isinstance(value, bool) or not isinstance(value, kinds):
            return "is not a whole number" if integer_only else "is not a number"
        if not math.isfinite(value) or not low <= value <= high:
            return f"is not between {low} and {high}"
        return None

    return check


def distinct_strings_check(item_check, max_count: int, min_count: int = 0):
    """Returns a check for a list of distinct strings, each of which passes another check."""

    def check(value):
        if not isinstance(value, list):
            return "is not a list"
        if not min_count <= len(value) <= max_count:
            return f"has {len(value)} entries instead of {min_count} to {max_count}"
        for index, item in enumerate(value):
            message = item_check(item)
            if message is not None:
                return f"entry {index} {message}"
        if len(set(value)) != len(value):
            return "has a duplicate entry"
        return None

    return check


def check_public_key(value):
    """Checks a hexadecimal Ed25519 public key."""
    if not isinstance(value, str) or not DIGEST.fullmatch(value):
        return "is not 64 lowercase hexadecimal digits"
    try:
        ed25519.Ed25519PublicKey.from_public_bytes(bytes.fromhex(value))
    except ValueError:
        return "is not an Ed25519 public key"
    return None


check_name = pattern_check(NAME, "a name of 1 to 128 letters, digits and ._:-")
check_digest = pattern_check(DIGEST, "64 lowercase hexadecimal digits")
check_adapter = pattern_check(re.compile(NAME.pattern + "|"), "a name or empty")
check_boolean = choice_check(True, False)

# Fields of each record: (name, check, default value or REQUIRED).
FIELDS_BY_TYPE = {
    Model: (
        ("name", check_name, REQUIRED),
        ("adapters", distinct_strings_check(check_name, MAX_NAMES), []),
        ("versions", distinct_strings_check(check_name, MAX_NAMES, min_count=1), REQUIRED),
        ("engines", number_check(0, 10_000, integer_only=True), 1),
        ("prefill_engines", number_check(0, 10_000, integer_only=True), 0),
    ),
    Account: (
        ("name", check_name, REQUIRED),
        ("key_digests", distinct_strings_check(check_digest, MAX_KEYS, min_count=1), REQUIRED),
        ("requests_per_second", number_check(0.001, 1_000_000), REQUIRED),
        ("open_requests", number_check(1, 1_000_000, integer_only=True), REQUIRED),
        ("weight", number_check(0.001, 1_000), 1),
    ),
    Operator: (
        ("name", check_name, REQUIRED),
        ("role", choice_check("writer", "approver", "operator"), REQUIRED),
        ("public_key", check_public_key, REQUIRED),
        ("key_digest", check_digest, REQUIRED),
    ),
    Service: (
        ("name", check_name, REQUIRED),
        ("kind", choice_check("generation", "call"), REQUIRED),
        ("model", check_name, None),
        ("adapter", check_adapter, ""),
        ("version", check_name, None),
        ("target_kind", check_name, None),
        ("repeatable", check_boolean, REQUIRED),
        ("priority", choice_check("lookup", "interactive", "batch"), REQUIRED),
        ("accounts", distinct_strings_check(check_name, MAX_ACCOUNTS, min_count=1), REQUIRED),
        ("wait_limit_s", number_check(0.05, 60), 5),
        ("on_absence", choice_check("cancel", "continue"), "cancel"),
        ("absence_grace_s", number_check(0, 3_600), 1),
        ("keep_answer_s", number_check(0, 86_400), 60),
        ("durable", check_boolean, False),
        ("journal_copies", choice_check(3, 5), 3),
        ("resume", choice_check("latency", "resources"), "latency"),
        ("extra_work_percent", number_check(0, 100), 5),
        ("max_tokens", number_check(1, MAX_TOKENS, integer_only=True), 8_192),
    ),
}

SECTIONS = (
    ("models", Model, MAX_MODELS),
    ("accounts", Account, MAX_ACCOUNTS),
    ("operators", Operator, MAX_OPERATORS),
    ("services", Service, MAX_SERVICES),
)


def parse(data: bytes) -> expression.Result:
    """Parses and checks a bundle.

    Args:
        data: The bundle as JSON, in any formatting.

    Returns:
        Ok with a `Bundle`, or Error with a list of `Problem`: all problems in the order of the
        bundle, up to `MAX_PROBLEMS`.
    """
    if len(data) > MAX_BYTES:
        return expression.Error([Problem("", f"has {len(data)} bytes, more than {MAX_BYTES}")])
    try:
        content = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        return expression.Error([Problem("", f"is not JSON: {error}")])
    if not isinstance(content, dict):
        return expression.Error([Problem("", "is not an object")])
    problems = []
    check_field_names(content, Bundle.__slots__, "", problems)
    check_field(content, "format", choice_check(FORMAT), "", problems)
    check_field(content, "version", number_check(1, 2**53, integer_only=True), "", problems)
    values = {"format": content.get("format"), "version": content.get("version")}
    for name, record_class, max_count in SECTIONS:
        values[name] = parse_list(content, name, record_class, max_count, problems)
    check_references(values, problems)
    if problems:
        return expression.Error(problems[:MAX_PROBLEMS])
    for name, _, _ in SECTIONS:
        values[name] = [record for _, record in values[name]]
    return expression.Ok(Bundle(**values))


def check_field_names(content: dict, known: tuple, prefix: str, problems: list) -> None:
    """Adds a problem for each field that the format does not have."""
    for name in content:
        if name not in known:
            problems.append(Problem(f"{prefix}{name[:128]}", "is not a known field"))


def check_field(content: dict, name: str, check, prefix: str, problems: list) -> bool:
    """Adds a problem if a field is missing or invalid; returns whether it is valid."""
    if name not in content:
        problems.append(Problem(f"{prefix}{name}", "is missing"))
        return False
    message = check(content[name])
    if message is not None:
        problems.append(Problem(f"{prefix}{name}", message))
        return False
    return True


def parse_list(
    content: dict, name: str, record_class: type, max_count: int, problems: list
) -> list:
    """Parses one list of records; returns pairs of index and record for the valid entries.

    The index is that of the entry in the JSON list, also if earlier entries are invalid.
    """
    if name not in content:
        problems.append(Problem(name, "is missing"))
        return []
    items = content[name]
    if not isinstance(items, list):
        problems.append(Problem(name, "is not a list"))
        return []
    if len(items) > max_count:
        problems.append(Problem(name, f"has {len(items)} entries, more than {max_count}"))
        return []
    records = []
    for index, item in enumerate(items):
        # Stops early because `parse` returns at most this number of problems.
        if len(problems) >= MAX_PROBLEMS:
            break
        prefix = f"{name}[{index}]."
        if not isinstance(item, dict):
            problems.append(Problem(prefix[:-1], "is not an object"))
            continue
        before = len(problems)
        check_field_names(item, record_class.__slots__, prefix, problems)
        values = {}
        for field, check, default in FIELDS_BY_TYPE[record_class]:
            if field not in item and default is not REQUIRED:
                values[field] = list(default) if isinstance(default, list) else default
                continue
            # Canonical JSON contains fields without a value as null.
            if default is None and item.get(field, REQUIRED) is None:
                values[field] = None
                continue
            if check_field(item, field, check, prefix, problems):
                values[field] = item[field]
        if len(problems) == before:
            records.append((index, record_class(**values)))
    return records


def check_unique(pairs: list, name: str, field: str, problems: list) -> None:
    """Adds a problem for each record whose field has the same value as in an earlier record."""
    index_by_value = {}
    for index, record in pairs:
        value = getattr(record, field)
        if value in index_by_value:
            path = f"{name}[{index}].{field}"
            problems.append(Problem(path, f"repeats {name}[{index_by_value[value]}].{field}"))
            continue
        index_by_value[value] = index


def check_references(values: dict, problems: list) -> None:
    """Adds the problems that involve more than one field."""
    for name, _, _ in SECTIONS:
        check_unique(values[name], name, "name", problems)
    # With one key under two names a writer could approve their own bundle.
    check_unique(values["operators"], "operators", "public_key", problems)
    check_unique(values["operators"], "operators", "key_digest", problems)
    account_by_digest = {}
    for index, account in values["accounts"]:
        for digest in account.key_digests:
            owner = account_by_digest.setdefault(digest, account.name)
            if owner != account.name:
                path = f"accounts[{index}].key_digests"
                problems.append(Problem(path, f"contains a key of account {owner}"))
    check_operators(values["operators"], problems)
    model_by_name = {model.name: model for _, model in values["models"]}
    accounts = {account.name for _, account in values["accounts"]}
    # References are checked only if all records are valid. Otherwise one invalid account would
    # cause a second problem in each service that refers to it.
    can_check_references = not problems
    for index, service in values["services"]:
        check_service(
            f"services[{index}].", service, model_by_name, accounts, can_check_references, problems
        )
    for index, model in values["models"]:
        if model.prefill_engines > model.engines:
            path = f"models[{index}].prefill_engines"
            problems.append(Problem(path, "is more than engines"))


def check_operators(operators: list, problems: list) -> None:
    """Checks that the operators are able to write, approve and roll the next bundle.

    Otherwise the bundle could never be replaced, because each change needs a writer, a different
    operator who approves it, and one who rolls it.
    """
    records = [operator for _, operator in operators]
    writers = {record.name for record in records if record.role in WRITING_ROLES}
    approvers = {record.name for record in records if record.role in APPROVING_ROLES}
    if not any(record.role in ROLLING_ROLES for record in records):
        problems.append(Problem("operators", "include no operator who may roll a bundle"))
    if not writers or not approvers or len(writers | approvers) < 2:
        problems.append(
            Problem("operators", "include no writer with a different operator as approver")
        )


def check_service(
    prefix: str,
    service: Service,
    model_by_name: dict,
    accounts: set,
    can_check_references: bool,
    problems,
) -> None:
    """Adds the problems of one service that involve more than one of its fields."""
    if service.kind == "call":
        for field in ("model", "version"):
            if getattr(service, field) is not None:
                problems.append(Problem(f"{prefix}{field}", "is permitted only for a generation"))
        if service.adapter:
            problems.append(Problem(f"{prefix}adapter", "is permitted only for a generation"))
        if service.durable:
            problems.append(Problem(f"{prefix}durable", "is permitted only for a generation"))
        if service.target_kind is None:
            problems.append(Problem(f"{prefix}target_kind", "is missing"))
    else:
        for field in ("model", "version"):
            if getattr(service, field) is None:
                problems.append(Problem(f"{prefix}{field}", "is missing"))
        if service.target_kind is not None:
            problems.append(Problem(f"{prefix}target_kind", "is permitted only for a call"))
        # A generation may resume on other engines, which an unrepeatable request forbids.
        if not service.repeatable:
            problems.append(Problem(f"{prefix}repeatable", "must be true for a generation"))
    if not can_check_references:
        return
    unknown = [name for name in service.accounts if name not in accounts]
    if unknown:
        problems.append(Problem(f"{prefix}accounts", f"refers to unknown account {unknown[0]}"))
    if service.kind == "call" or service.model is None:
        return
    model = model_by_name.get(service.model)
    if model is None:
        problems.append(Problem(f"{prefix}model", f"refers to unknown model {service.model}"))
        return
    if service.version is not None and service.version not in model.versions:
        problems.append(Problem(f"{prefix}version", f"is not a version of {model.name}"))
    if service.adapter and service.adapter not in model.adapters:
        problems.append(Problem(f"{prefix}adapter", f"is not an adapter of {model.name}"))


def to_json_object(record: Record) -> dict:
    """Returns a record as a JSON object with every field."""
    content = {}
    for name in record.__slots__:
        value = getattr(record, name)
        if isinstance(value, list) and value and isinstance(value[0], Record):
            value = [to_json_object(item) for item in value]
        content[name] = value
    return content


def canonical(bundle: Bundle) -> bytes:
    """Returns the canonical JSON of a bundle: all fields, sorted keys, no white space."""
    return orjson.dumps(to_json_object(bundle), option=orjson.OPT_SORT_KEYS)


def content_digest(bundle: Bundle) -> bytes:
    """Returns the sha256 digest (32 bytes) of the canonical JSON, which includes the version."""
    return hashlib.sha256(canonical(bundle)).digest()


def sign_digest(private_key: bytes, digest: bytes) -> bytes:
    """Returns the Ed25519 signature (64 bytes) over a content digest.

    Args:
        private_key: 32 raw bytes of an Ed25519 private key.
        digest: Content digest of the bundle, 32 bytes.
    """
    key = ed25519.Ed25519PrivateKey.from_private_bytes(private_key)
    return key.sign(SIGNATURE_CONTEXT + digest)


def verify_signature(public_key_hex: str, digest: bytes, signature: bytes) -> bool:
    """Returns whether a signature over a content digest was made with the matching private key."""
    try:
        key = ed25519.Ed25519PublicKey.from_public_bytes(bytes.fromhex(public_key_hex))
        key.verify(signature, SIGNATURE_CONTEXT + digest)
    except (cryptography.exceptions.InvalidSignature, ValueError):
        return False
    return True
