"""A core machine that missed a few large configs never catches up again; see claim.txt."""

import asyncio
import json
import pathlib
import random
import string
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness_3  # noqa: E402

# The users expect 45,000 accounts within two years; a config may have 4,194,304 bytes.
ACCOUNTS = 6_000
KEY_LETTERS = string.ascii_lowercase + string.digits
KEYS = 2
KEY_LENGTH = 20
# Changes before that, which all core machines have.
COMMON_CHANGES = 8
# Changes while a core machine is down.
MISSED_CHANGES = 23
# Orders in progress at the same time; the pages permit eight.
ORDERS_AT_ONCE = 3
NEWEST = COMMON_CHANGES + MISSED_CHANGES
# `catch-up-s` is 4, `recovery-s` 12 and `contact-ms` 3,000.
CATCH_UP_SECONDS = 12.0
REPLACEMENT_SECONDS = 2.0
RECOVERY_SECONDS = 15.0
READ_SECONDS = 8.0

RNG = random.Random(58)
TENANTS = [
    {
        "name": f"t{number}",
        "api-keys": ["".join(RNG.choices(KEY_LETTERS, k=KEY_LENGTH)) for _ in range(KEYS)],
        "priority": 1,
    }
    for number in range(ACCOUNTS)
]


def config(version):
    """Returns a config of a version, with all accounts and one route."""
    document = {
        "version": version,
        "routes": [
            {
                "name": "r-lookup",
                "host": "ficu95.example",
                "path-prefix": "/lookup/",
                "kind": "safe",
                "timeout-ms": 800 + version,
                "target-latency-ms": 100,
                "priority": 2,
                "service": "wuno96b",
                "max-attempts": 2,
                "allow-anonymous": False,
            }
        ],
        "services": [
            {
                "name": "wuno96b",
                "health-path": "/health",
                "max-connections": 120,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": TENANTS,
    }
    return json.dumps(document).encode()


async def play(case):
    """Plays the case."""
    case.start_all()
    await asyncio.sleep(2.0)
    first = config(1)
    case.note(f"a config with {ACCOUNTS} accounts has {len(first)} bytes")
    await case.wait_ready(first)
    await asyncio.sleep(3.0)

    later = {version: config(version) for version in range(2, NEWEST + 1)}
    for version in range(2, COMMON_CHANGES + 1):
        if await case.put_config(later[version], wait=3.0, label=f"v{version}") is None:
            raise harness_3.CannotRun(f"version {version} was not acknowledged")
    await asyncio.sleep(2.0)
    leader = case.leader()
    if leader is None:
        raise harness_3.CannotRun("no machine leads control")
    absent = next(name for name in case.core if name != leader)
    waiting = list(range(COMMON_CHANGES + 1, NEWEST + 1))

    async def send_orders():
        while waiting:
            version = waiting.pop(0)
            if await case.put_config(later[version], wait=3.0, label=f"v{version}") is None:
                raise harness_3.CannotRun(f"version {version} was not acknowledged")

    down_since = time.monotonic()
    if case.trouble:
        case.kill(absent)
    await asyncio.gather(*(send_orders() for _ in range(ORDERS_AT_ONCE)))
    absence = time.monotonic() - down_since
    case.note(f"{MISSED_CHANGES} changes took {absence:.2f} s")
    if case.trouble:
        case.start(absent)
    await asyncio.sleep(CATCH_UP_SECONDS)
    for name in list(case.processes):
        _, version = await case.get_config(name, 3.0)
        if version != NEWEST:
            raise harness_3.CannotRun(f"{name} has version {version} before the second loss")

    lost = case.leader()
    if lost is None or lost == absent:
        raise harness_3.CannotRun(f"{lost} leads control before the second loss")
    if case.trouble:
        case.kill(lost)
        await asyncio.sleep(REPLACEMENT_SECONDS)
        case.seeds = [name for name in case.core if name != lost] + ["spare-1"]
        case.zone["spare-1"] = case.zone[lost]
        case.start("spare-1")
    await asyncio.sleep(RECOVERY_SECONDS)
    ended = case.ended()
    if ended:
        raise harness_3.CannotRun(f"processes ended: {ended}")

    read = []
    until = time.monotonic() + READ_SECONDS
    while time.monotonic() < until:
        for name in list(case.processes):
            status, version = await case.get_config(name, 3.0)
            if status == 200:
                read.append(version)
        await asyncio.sleep(0.3)
    took = await case.put_config(config(100), wait=3.0, label="v100", seconds=8.0)
    case.note(f"version 100 was acknowledged after {took} s")
    if not read:
        case.fail(
            f"CONFIG: no node gives back the acknowledged config {NEWEST} for {READ_SECONDS} s, "
            f"{RECOVERY_SECONDS} s after the replacement of {lost}"
        )
    elif min(read) < NEWEST:
        case.fail(f"CONFIG: version {min(read)} is read back, {NEWEST} was acknowledged")


if __name__ == "__main__":
    harness_3.main(HERE, play, core=4, others=2, spares=1)
