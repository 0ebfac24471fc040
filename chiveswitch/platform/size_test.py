"""Checks that the adapter stays small and that only the adapter uses the platform's names."""

import pathlib

PACKAGE = pathlib.Path(__file__).parent.parent
# Names of the platform's protocol. Outside the adapter only stand-ins and tests may use them.
PLATFORM_NAMES = (
    "X-Prompt-Prefix",
    "X-Kv-Backup",
    "Kv-From",
    "kv-move",
    "heartbeat-url",
    "traffic-split",
    "X-Expect-Instance",
    "X-Tenant",
    "X-Not-Executed",
    "x-instance-load",
    "tenants",
)
# The adapter only translates and makes no decisions, so it stays below a tenth of the product.
MAX_ADAPTER_SHARE = 0.1


def product_files():
    for path in sorted(PACKAGE.rglob("*.py")):
        if not path.name.endswith("_test.py"):
            yield path


def test_only_the_adapter_uses_the_platforms_names():
    # Guards against product code that depends on one platform.
    for path in product_files():
        if path.parent.name == "platform":
            continue
        text = path.read_text(encoding="utf-8").lower()
        for name in PLATFORM_NAMES:
            assert name.lower() not in text, f"{path} uses {name}"


def test_the_adapter_is_a_small_part_of_the_product(capsys):
    lines_by_part = {"adapter": 0, "product": 0}
    for path in product_files():
        part = "adapter" if path.parent.name == "platform" else "product"
        lines_by_part[part] += len(path.read_text(encoding="utf-8").splitlines())
    with capsys.disabled():
        print(f"\nlines: {lines_by_part}")
    assert lines_by_part["adapter"] < MAX_ADAPTER_SHARE * lines_by_part["product"]
