"""Three machines of the core are replaced one after the other: control never works again."""

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import stand_ins as si

# Bound `catch-up-s` of the settings: a machine that was removed stops counting as lost once its
# successor has run for this long.
CATCH_UP_SECONDS = 4.0
# Time from the start of a successor until the next machine is lost.
SPACING_SECONDS = CATCH_UP_SECONDS + 0.1
# Time from the removal of a machine to the start of its successor.
REPLACE_SECONDS = 0.1
# Bound `recovery-s` of the settings.
RECOVERY_SECONDS = 12.0
# Time for which the config is then asked for.
READ_SECONDS = 20.0


async def replace(deployment, record, old: int, new: int):
    """Removes a machine for good and starts an empty one at another address."""
    deployment.kill(old)
    record.say("node", old, "is removed for good")
    await asyncio.sleep(REPLACE_SECONDS)
    deployment.disk_nodes.add(new)
    deployment.write_settings(new, bootstrap=False)
    deployment.start(new)
    record.say("node", new, "starts with an empty disk in its place")


async def read_version(deployment, record, node: int):
    """Returns the version that a node answers to a read, or None."""
    answer = await si.request(deployment.address(node, "control"), "GET", "/config")
    record.line("operator: read at node", node, answer.status)
    if answer.status != 200 or not answer.complete:
        return None
    return json.loads(answer.body)["version"]


async def scenario(deployment, record):
    # Nodes 0 to 3 are the core, 4 and 5 have no disk, 8 to 10 the successors, in the same zones.
    for node in range(6):
        deployment.write_settings(node, bootstrap=True)
        deployment.start(node)
    await deployment.publish(si.make_config(3))
    worker = si.Worker(deployment, record, "i-0", "order-desk", 0)
    await worker.start(deployment.address(4, "control"))
    await deployment.wait_until_ready(range(6))
    await asyncio.sleep(CATCH_UP_SECONDS + 1)
    if si.TROUBLE:
        await replace(deployment, record, 0, 8)
        await asyncio.sleep(SPACING_SECONDS)
        await replace(deployment, record, 1, 9)
        await asyncio.sleep(SPACING_SECONDS)
    acknowledged = 4
    acknowledged_at = await deployment.publish(si.make_config(acknowledged), first_node=3)
    record.say("version", acknowledged, "is acknowledged")
    if si.TROUBLE:
        await replace(deployment, record, 2, 10)
    await asyncio.sleep(CATCH_UP_SECONDS + RECOVERY_SECONDS)
    alive = sorted(deployment.process_by_node)
    end = time.monotonic() + READ_SECONDS
    seen = []
    while time.monotonic() < end and not seen:
        for node in alive:
            version = await read_version(deployment, record, node)
            if version is not None:
                seen.append(version)
        await asyncio.sleep(0.2)
    waited = time.monotonic() - acknowledged_at
    await worker.stop()
    if seen and min(seen) >= acknowledged:
        record.say("the config was read back with version", seen[0])
        return []
    if seen:
        return [f"CONFIG: version {min(seen)} was read back after version {acknowledged}"]
    return [
        f"CONFIG: version {acknowledged} was acknowledged, and no node answered a read "
        f"{CATCH_UP_SECONDS + RECOVERY_SECONDS:.0f} to {waited:.0f} s later"
    ]


si.run_case(scenario, __file__)
