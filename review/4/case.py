"""Heartbeats of another writer end the publication of configs and of leaving workers."""

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import stand_ins as si

# Nodes without a disk, which learn configs and workers from the others only.
PLAIN_NODES = (4, 5)
DROPPED_KEY = "key-2"
# Time after the acknowledgement of the config in which requests with the dropped key are sent.
WATCHED_SECONDS = 20.0


def config(version: int, keys: list) -> dict:
    """Returns a config with the keys of the only tenant."""
    return si.make_config(version, tenants=[{"name": "tenant-1", "api-keys": keys, "priority": 1}])


async def send_foreign_heartbeats(deployment, record):
    """Sends a heartbeat to one node after the other, as a writer that picks a node each time.

    It names a service that no config names, and its sequence is a number that does not fit into
    a signed 64-bit integer.
    """
    for node in range(deployment.count):
        document = {
            "service": "archive",
            "address": "127.0.0.1:9",
            "zone": "werkhalle",
            "version": "v1",
            "slots": 1,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": 18446744073709551615,
            "born": int(time.time() * 1000),
        }
        body = json.dumps(document).encode()
        address = deployment.address(node, "control")
        answer = await si.request(address, "PUT", "/instances/other-1", {}, body)
        record.say("other writer: heartbeat to node", node, "answered with", answer.status)
        await asyncio.sleep(si.HEARTBEAT_SECONDS)


async def scenario(deployment, record):
    await deployment.start_all()
    await deployment.publish(config(3, [si.KEY, DROPPED_KEY]))
    workers = []
    for number in range(4):
        worker = si.Worker(deployment, record, f"i-{number}", "order-desk", number)
        await worker.start(deployment.address(number, "control"))
        workers.append(worker)
    await deployment.wait_until_ready()
    await asyncio.sleep(si.CONTACT_SECONDS + 1)
    clients = si.Clients(deployment, record)
    load = asyncio.ensure_future(clients.run(list(range(deployment.count)), 35.0))
    headers = {"Authorization": f"Bearer {DROPPED_KEY}"}
    before = [await clients.call(node, headers=headers) for node in PLAIN_NODES]
    if any(answer.status != 200 for answer in before):
        raise si.CannotRun("the key was not served before it was dropped")
    if si.TROUBLE:
        await send_foreign_heartbeats(deployment, record)

    acknowledged_at = await deployment.publish(config(5, [si.KEY]))
    record.say("version 5, which drops the key, is acknowledged")
    leaver = workers[1]
    leaver.state = "draining"
    answer = await leaver.send_beat()
    if answer.status != 200:
        raise si.CannotRun(f"the leave was answered with {answer.status}")
    left_at = time.monotonic()
    record.say("worker", leaver.worker_id, "is acknowledged as draining")

    await asyncio.sleep(si.APPLY_SECONDS + si.TOLERANCE_SECONDS)
    served = []
    while time.monotonic() < acknowledged_at + WATCHED_SECONDS:
        for node in PLAIN_NODES:
            sent_at = time.monotonic()
            answer = await clients.call(node, headers=headers)
            if answer.status == 200:
                served.append(sent_at - acknowledged_at)
        await asyncio.sleep(0.2)
    await load
    for worker in workers:
        await worker.stop()
    late = [
        at - left_at
        for at, _ in leaver.arrivals
        if at > left_at + si.DRAIN_SECONDS + si.TOLERANCE_SECONDS
    ]
    broken = []
    if served:
        broken.append(
            f"CONFIG: {len(served)} requests with a dropped key were served "
            f"{served[0]:.1f} to {served[-1]:.1f} s after the acknowledgement"
        )
    if late:
        record.say(
            f"also DRAIN: {len(late)} requests reached {leaver.worker_id} {late[0]:.1f} to "
            f"{late[-1]:.1f} s after it was acknowledged as draining"
        )
    return broken


si.run_case(scenario, __file__)
