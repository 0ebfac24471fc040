"""Tests of roll-outs with complete node processes; the test sends the gateways' evidence itself."""

import asyncio
import re
import signal

import orjson
import pytest

from chiveswitch.core import clock
from chiveswitch.peers import control_client
from chiveswitch.tools import node_test
from features import platform_standins

pytestmark = pytest.mark.processes

rpc = control_client.rpc
SERVICE = "plain"
DURATION_SECONDS = 10
REPORT_SECONDS = 0.25
# Requests of all gateways to the service in this interval, and those of them to the new version.
REPORTED_REQUESTS = 25
MIN_NEW_REQUESTS = 2
BUCKET = 12


async def use_rollouts(cluster):
    cluster.contracts = ["base", "rollout"]


async def send(cluster, number, method, path, document=None):
    """Sends a request of an operator; returns (status, document), or (None, None) for no answer."""
    body = b"" if document is None else orjson.dumps(document)
    try:
        async with asyncio.timeout(1.0):
            answer = await platform_standins.send_request(
                cluster.address(number, "control"), method, path, body=body
            )
    except (OSError, TimeoutError):
        return None, None
    return answer.status, orjson.loads(answer.body) if answer.body else None


def order(target, service=SERVICE):
    return {"service": service, "target": target, "duration-s": DURATION_SECONDS}


async def send_until_confirmed(cluster, number, document):
    """Sends an order as operators do, until a status other than 503; returns the status."""
    end = clock.now() + 5.0
    while clock.now() < end:
        status, _ = await send(cluster, number, "POST", "/rollouts", document)
        if status not in (None, 503):
            return status
        await asyncio.sleep(0.1)
    return None


async def read_state(cluster, number):
    _, document = await send(cluster, number, "GET", f"/rollouts/{SERVICE}")
    return None if document is None else document.get("state")


def known_share(cluster, number):
    """Returns the share that a node has logged last."""
    shares = re.findall(r"rollout state .*?share=([0-9.e-]+)", cluster.log(number))
    return float(shares[-1]) if shares else 0.0


def make_report(sequence, share, failures):
    """Returns the evidence of all gateways about some requests to both versions."""
    new = max(MIN_NEW_REQUESTS, round(share * REPORTED_REQUESTS))
    counts = []
    for version, requests, failed in (
        ("v2", new, failures),
        ("v1", max(0, REPORTED_REQUESTS - new), 0),
    ):
        counts.append(
            rpc.EvidenceCounts(
                service_name=SERVICE,
                version=version,
                route="calls",
                requests=requests,
                failures=failed,
                latencies=[0] * BUCKET + [requests - failed],
            )
        )
    return rpc.EvidenceReport(node="tester", incarnation=1, sequence=sequence, counts=counts)


async def report_until_ended(cluster, failures, kill_at=None):
    """Sends evidence until the order has ended; kills the leader after some seconds.

    Returns:
        (state, seconds since the start, number of the killed node or None).
    """
    client = control_client.ControlClient([cluster.address(n, "peer") for n in range(3)])
    started = clock.now()
    killed = None
    sequence = 0
    state = None
    try:
        while clock.now() < started + DURATION_SECONDS + 3.0:
            await asyncio.sleep(REPORT_SECONDS)
            sequence += 1
            report = make_report(sequence, known_share(cluster, 3), failures)
            await client.send_evidence(report, clock.now() + 1.0)
            if kill_at is not None and killed is None and clock.now() - started > kill_at:
                killed = cluster.ips.index(client.leader.rpartition(":")[0])
                cluster.signal(killed, signal.SIGKILL)
                cluster.wait(killed)
            state = await read_state(cluster, 3)
            if state in ("completed", "rolled_back"):
                break
    finally:
        await client.close()
    return state, clock.now() - started, killed


def test_a_good_version_is_accepted_although_the_leader_is_lost(tmp_path):
    # Guards against an order, its deadline or its steps that are lost with the leader.
    async def scenario(cluster, _fleet):
        assert await send_until_confirmed(cluster, 3, order("v2")) == 200
        # The same order again, and another one, while it runs.
        assert await send_until_confirmed(cluster, 1, order("v2")) == 200
        assert await send_until_confirmed(cluster, 2, order("v3")) == 409
        assert await send_until_confirmed(cluster, 3, order("v2", "unknown")) == 400
        status, _ = await send(cluster, 3, "GET", "/rollouts/engines")
        assert status == 404
        state, took, killed = await report_until_ended(cluster, 0, kill_at=4.0)
        assert state == "completed" and took <= DURATION_SECONDS
        others = [number for number in range(4) if number != killed]
        for number in others:
            await wait_for_log(cluster, number, "state=completed")
        assert await send_until_confirmed(cluster, others[0], order("v2")) == 200

    node_test.run_with_cluster(tmp_path, scenario, prepare=use_rollouts)


def test_a_bad_version_is_withdrawn_and_stays_so_over_a_restart_of_all(tmp_path):
    async def scenario(cluster, _fleet):
        assert await send_until_confirmed(cluster, 3, order("v2")) == 200
        state, took, _ = await report_until_ended(cluster, 1)
        assert state == "rolled_back" and took < DURATION_SECONDS
        for number in range(4):
            await wait_for_log(cluster, number, "state=rolled_back")
        for number in range(4):
            cluster.signal(number, signal.SIGKILL)
            cluster.wait(number)
        for number in range(4):
            cluster.start(number)
        await node_test.wait_ready(cluster, range(4))
        end = clock.now() + 10.0
        while await read_state(cluster, 3) != "rolled_back":
            assert clock.now() < end
            await asyncio.sleep(0.1)

    node_test.run_with_cluster(tmp_path, scenario, prepare=use_rollouts)


async def wait_for_log(cluster, number, text):
    end = clock.now() + 5.0
    while f"service={SERVICE} version=v2 {text}" not in cluster.log(number):
        assert clock.now() < end, f"node {number} has not logged {text}"
        await asyncio.sleep(0.05)
