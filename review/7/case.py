"""Bytes of a faulty worker that are no answer reach clients as a success without a seal."""

import asyncio
import contextlib
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import platform2 as platform  # noqa: E402

CLIENTS = 240
# All clients send at about the same moments, so that nodes open further channels.
ROUNDS = 11
ROUND_SECONDS = 0.5
DEADLINE_MS = 1500
ANSWER_BYTES = 800
# Share of its answers that one of the workers spoils, and for how long, as the site file states for
# garble.
SPOILED_SHARE = 0.02
SPOILED_SECONDS = 5.5
WORKERS = 4
# Bytes that are no answer of a worker: they name no request and have no seal.
SPOILED = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nready\n"

rng = random.Random(51)
spoiled_ids = set()


async def answer(worker, _first_line, headers, _body, _reader, writer):
    """Runs a request; a faulty worker sends other bytes in place of some answers."""
    worker.record_run(headers)
    await asyncio.sleep(0.02)
    is_faulty = time.monotonic() < worker.faulty_until
    if is_faulty and rng.random() < SPOILED_SHARE:
        spoiled_ids.add(headers["x-request-id"])
        writer.write(SPOILED)
        return True
    size = f"Content-Length: {ANSWER_BYTES}"
    writer.write(worker.head(headers, framing=size) + b"x" * ANSWER_BYTES)
    return True


async def run_client(address, started):
    """Sends requests on a kept channel; returns (request id, answer) of each."""
    answers = []
    writer = None
    for number in range(ROUNDS):
        await asyncio.sleep(max(0.0, started + number * ROUND_SECONDS - time.monotonic()))
        if writer is None:
            reader, writer = await asyncio.open_connection(*address)
        request_id = platform.new_request_id()
        headers = platform.client_headers(request_id, DEADLINE_MS)
        writer.write(platform.encode_request("POST", "/w/order", headers, b"{}"))
        async with asyncio.timeout(DEADLINE_MS / 1000 + 1):
            found = await platform.read_answer(reader)
        answers.append((request_id, found))
        if not found.complete or found.headers.get("connection") == "close":
            writer.transport.abort()
            writer = None
    if writer is not None:
        writer.transport.abort()
    return answers


async def scenario(recorder):
    deployment = platform.Deployment()
    workers = [platform.Worker(deployment, i, "orders", answer, slots=6) for i in range(WORKERS)]
    for worker in workers:
        worker.faulty_until = 0.0
    try:
        deployment.start()
        for worker in workers:
            await worker.start()
        routes = [platform.route("order", "/w/", "unsafe", "orders", **{"timeout-ms": 1500})]
        services = [{"name": "orders", "health-path": "/health", "max-connections": 120}]
        await deployment.publish(platform.config(7, routes, services))
        await deployment.wait_ready()
        await asyncio.sleep(2.0)
        nodes = deployment.nodes
        started = time.monotonic() + 0.1
        if platform.TROUBLE:
            workers[0].faulty_until = started + SPOILED_SECONDS
        results = await asyncio.gather(
            *(run_client(nodes[i % len(nodes)].front, started) for i in range(CLIENTS))
        )
        run_ids = {each for worker in workers for _, each, _ in worker.runs}
        total, breaks = 0, []
        for request_id, found in (each for answers in results for each in answers):
            total += 1
            seal = found.headers.get("x-response-seal")
            recorder.quiet(
                f"answered {request_id}: status {found.status}, complete={found.complete}, "
                f"seal={seal}, run={request_id in run_ids}, spoiled={request_id in spoiled_ids}"
            )
            if 200 <= found.status < 300 and found.complete and seal is None:
                breaks.append(
                    f"MIXED: request {request_id} got status {found.status} without a seal and "
                    f"with the body {bytes(found.body)!r}"
                )
        recorder.line(
            f"{total} requests; the worker spoiled {len(spoiled_ids)} answers, "
            f"{len(breaks)} of them reached clients as a success"
        )
        return breaks
    finally:
        for worker in workers:
            with contextlib.suppress(Exception):
                await worker.stop()
        deployment.close()


if __name__ == "__main__":
    platform.run(FOLDER, scenario)
