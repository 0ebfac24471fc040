"""Tests of the bundle format: validation, the canonical digest and signatures."""

import copy

import hypothesis
import orjson
import pytest
from cryptography.hazmat.primitives.asymmetric import ed25519
from hypothesis import strategies

from chiveswitch.core import bundles


def private_key(name: str) -> bytes:
    return name.encode().ljust(32, b"\x01")


def operator(name: str, role: str) -> dict:
    key = ed25519.Ed25519PrivateKey.from_private_bytes(private_key(name))
    digest = name.encode().hex().ljust(64, "0")
    public = key.public_key().public_bytes_raw().hex()
    return {"name": name, "role": role, "public_key": public, "key_digest": digest}


def example(version: int = 1, weight: float = 1) -> dict:
    return {
        "format": 1,
        "version": version,
        "models": [{"name": "m", "adapters": ["a"], "versions": ["v1", "v2"], "engines": 2}],
        "accounts": [
            {
                "name": "shop",
                "key_digests": ["ab" * 32],
                "requests_per_second": 10,
                "open_requests": 5,
                "weight": weight,
            }
        ],
        "operators": [
            operator("ann", "writer"),
            operator("bob", "approver"),
            operator("cy", "operator"),
        ],
        "services": [
            {
                "name": "chat",
                "kind": "generation",
                "model": "m",
                "adapter": "a",
                "version": "v1",
                "repeatable": True,
                "priority": "interactive",
                "accounts": ["shop"],
            },
            {
                "name": "stamp",
                "kind": "call",
                "target_kind": "printer",
                "repeatable": False,
                "priority": "lookup",
                "accounts": ["shop"],
            },
        ],
    }


def parse(content) -> object:
    return bundles.parse(orjson.dumps(content))


def test_canonical_form_does_not_depend_on_the_formatting():
    # Guards against a digest, and so a signature, that changes with the order of keys or with white
    # space, and against one that does not change with the content.
    first = parse(example()).ok
    reordered = dict(reversed(example().items()))
    second = bundles.parse(orjson.dumps(reordered, option=orjson.OPT_INDENT_2)).ok
    assert bundles.content_digest(first) == bundles.content_digest(second)
    assert bundles.parse(bundles.canonical(first)).ok == first
    assert bundles.content_digest(parse(example(weight=2)).ok) != bundles.content_digest(first)


def test_every_problem_is_listed_with_its_path():
    # Guards against a check that stops at the first problem.
    content = example()
    content["colour"] = 1
    content["services"][0]["priority"] = "urgent"
    content["services"][1]["journal_copies"] = 4
    content["services"][1]["repeatable"] = 1
    content["accounts"][0]["key_digests"] = ["x"]
    del content["models"][0]["versions"]
    paths = [problem.path for problem in parse(content).error]
    assert paths == [
        "colour",
        "models[0].versions",
        "accounts[0].key_digests",
        "services[0].priority",
        "services[1].repeatable",
        "services[1].journal_copies",
    ]


@pytest.mark.parametrize(
    ("path", "value", "problem_path"),
    [
        (("services", 0, "model"), "other", "services[0].model"),
        (("services", 0, "version"), "v9", "services[0].version"),
        (("services", 0, "adapter"), "z", "services[0].adapter"),
        (("services", 0, "repeatable"), False, "services[0].repeatable"),
        (("services", 0, "accounts"), ["nobody"], "services[0].accounts"),
        (("services", 1, "target_kind"), None, "services[1].target_kind"),
        (("services", 1, "name"), "chat", "services[1].name"),
        (("operators", 1, "public_key"), operator("ann", "")["public_key"], "operators[1]."),
        (("operators", 2, "role"), "writer", "operators"),
        (("models", 0, "prefill_engines"), 3, "models[0].prefill_engines"),
        (("version",), True, "version"),
        (("accounts", 0, "weight"), 1e300, "accounts[0].weight"),
        (("accounts",), [{}] * (bundles.MAX_ACCOUNTS + 1), "accounts"),
    ],
)
def test_wrong_values_and_references_are_refused(path, value, problem_path):
    # Guards against a bundle in force that refers to missing records or cannot be replaced.
    content = example()
    part = content
    for step in path[:-1]:
        part = part[step]
    part[path[-1]] = value
    assert parse(content).error[0].path.startswith(problem_path)


def test_too_many_bytes_are_refused_before_parsing():
    # Guards against the cost of parsing an oversized file.
    assert "bytes" in bundles.parse(b" " * (bundles.MAX_BYTES + 1)).error[0].message


def test_signature_binds_key_and_digest():
    # Guards against a signature that is valid for another key or another bundle.
    digest = bundles.content_digest(parse(example()).ok)
    signature = bundles.sign_digest(private_key("bob"), digest)
    bob = operator("bob", "approver")["public_key"]
    assert bundles.verify_signature(bob, digest, signature)
    assert not bundles.verify_signature(bob, digest[::-1], signature)
    assert not bundles.verify_signature(operator("ann", "")["public_key"], digest, signature)
    assert not bundles.verify_signature(bob, digest, signature[:-1])
    assert not bundles.verify_signature("zz", digest, signature)


json_values = strategies.recursive(
    strategies.none() | strategies.booleans() | strategies.integers(-3, 2**60) | strategies.text(),
    lambda inner: strategies.lists(inner) | strategies.dictionaries(strategies.text(), inner),
    max_leaves=8,
)


@hypothesis.settings(max_examples=40)
@hypothesis.given(strategies.binary() | json_values.map(orjson.dumps))
def test_arbitrary_input_gives_problems_and_no_exception(data):
    assert bundles.parse(data).error


@hypothesis.settings(max_examples=120)
@hypothesis.given(strategies.data(), json_values)
def test_a_changed_bundle_gives_a_bundle_or_problems(data, value):
    """A parse that fails with an exception would stop every replica that applies the write."""
    content = copy.deepcopy(example())
    part = content
    while True:
        keys = list(part) if isinstance(part, dict) else list(range(len(part)))
        key = data.draw(strategies.sampled_from(keys))
        if isinstance(part[key], dict | list) and part[key] and data.draw(strategies.booleans()):
            part = part[key]
            continue
        part[key] = value
        break
    result = parse(content)
    if result.is_ok():
        assert bundles.parse(bundles.canonical(result.ok)).ok == result.ok
    else:
        assert all(problem.message for problem in result.error)
