"""Sample bundle, keys and zones of a small system, for the demo, the measuring tool and tests."""

import hashlib

import orjson
from cryptography.hazmat.primitives.asymmetric import ed25519

from chiveswitch.core import bundles

ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
MODEL = "writer"
# API keys of the sample's client accounts. Like those of its operators, they protect nothing.
KEY_BY_ACCOUNT = {
    "planning": "planning-key",
    "desk": "desk-key",
    "field": "field-key",
    "office": "office-key",
}
ROLE_BY_OPERATOR = {"wren": "writer", "amos": "approver", "olga": "operator"}
SERVICE_DEFAULTS = {"accounts": sorted(KEY_BY_ACCOUNT)}


def digest(key: str) -> str:
    """Returns the hexadecimal sha256 digest of an API key."""
    return hashlib.sha256(key.encode()).hexdigest()


def bundle_object(operators, version: int = 1, resume_report: str = "latency") -> dict:
    """Returns a bundle as a JSON object.

    Args:
        operators: List of operators as JSON objects.
        version: Version number.
        resume_report: Setting `resume` of the service `report`.
    """
    writer = {"kind": "generation", "model": MODEL, "version": "1", "repeatable": True}
    services = [
        {
            "name": "digest",
            **writer,
            "priority": "batch",
            "on_absence": "continue",
            "durable": True,
            "resume": "resources",
            "wait_limit_s": 60,
            "keep_answer_s": 300,
        },
        {
            "name": "report",
            **writer,
            "priority": "interactive",
            "on_absence": "continue",
            "resume": resume_report,
            "extra_work_percent": 10,
            "keep_answer_s": 120,
        },
        {
            "name": "draft",
            **writer,
            "priority": "interactive",
            "on_absence": "cancel",
            "absence_grace_s": 5,
            "resume": "resources",
        },
        {
            "name": "stock",
            "kind": "call",
            "target_kind": "service",
            "repeatable": True,
            "priority": "lookup",
        },
        {
            "name": "dispatch",
            "kind": "call",
            "target_kind": "service",
            "repeatable": False,
            "priority": "interactive",
        },
    ]
    return {
        "format": 1,
        "version": version,
        "models": [{"name": MODEL, "adapters": [], "versions": ["1"], "engines": 1}],
        "accounts": [
            {
                "name": name,
                "key_digests": [digest(key)],
                "requests_per_second": 100_000,
                "open_requests": 100_000,
            }
            for name, key in sorted(KEY_BY_ACCOUNT.items())
        ],
        "operators": operators,
        "services": [{**SERVICE_DEFAULTS, **service} for service in services],
    }


def private_key(name: str) -> bytes:
    """Returns the Ed25519 private key (32 bytes) of an operator of the sample."""
    return hashlib.sha256(f"sample key of {name}".encode()).digest()


def sample_operators(role_by_name=ROLE_BY_OPERATOR) -> list:
    """Returns operators as JSON objects, by default one of each role.

    Args:
        role_by_name: Role of each operator by name.
    """
    operator_objects = []
    for name, role in role_by_name.items():
        public = ed25519.Ed25519PrivateKey.from_private_bytes(private_key(name)).public_key()
        operator_objects.append(
            {
                "name": name,
                "role": role,
                "public_key": public.public_bytes_raw().hex(),
                "key_digest": digest(f"{name}-key"),
            }
        )
    return operator_objects


def sample_bundle(**options) -> bytes:
    """Returns the canonical bytes of the sample bundle, with the options of `bundle_object`."""
    result = bundles.parse(orjson.dumps(bundle_object(sample_operators(), **options)))
    return bundles.canonical(result.ok)
