"""Tests of the bundle changes that are shown to an approver."""

import orjson

from chiveswitch.core import bundles
from chiveswitch.operators import app_test, differences


def test_every_change_is_listed():
    """Guards against a change that is not shown to the approver who signs the bundle."""
    old = bundles.parse(app_test.content(1)).ok
    content = orjson.loads(app_test.content(2, "resources"))
    content["accounts"][0]["weight"] = 3
    content["accounts"][1]["key_digests"] = ["ab" * 32]
    content["models"].append({"name": "reader", "versions": ["7"]})
    del content["services"][3]
    content["operators"][0]["role"] = "operator"
    new = bundles.parse(orjson.dumps(content)).ok
    lines = differences.format_lines(differences.diff_bundles(old, new))
    old_key = old.accounts[1].key_digests[0]
    assert lines == [
        "- services stock",
        "~ services report resume: latency -> resources",
        "~ accounts desk weight: 1 -> 3",
        f"~ accounts field key_digests: [{old_key}] -> [{'ab' * 32}]",
        "+ models reader",
        "~ operators wren role: writer -> operator",
    ]


def test_first_bundle_and_no_change():
    """Guards against a first bundle whose parts are not shown as added."""
    bundle = bundles.parse(app_test.content(1)).ok
    lines = differences.format_lines(differences.diff_bundles(None, bundle))
    assert len(lines) == 5 + 4 + 1 + 5 and all(line.startswith("+ ") for line in lines)
    assert len(differences.format_lines(differences.diff_bundles(bundle, bundle))) == 1
