"""A stream that returns after the loss of its node goes on from another request's memory."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import stand_ins as si

# Nodes that take the two requests, and the one to which the client of the first one returns.
FIRST_NODE, SECOND_NODE, OTHER_NODE = 4, 0, 5
# Time from the start of the second request to the kill of the first node.
KILL_AFTER_SECONDS = 1.0
FIRST_BODY, SECOND_BODY = b"digest of the night shift", b"digest of the day shift"
# Both requests belong to one session, so that their prompts have the same last part. Its clients
# allow 9,000 tokens for prompt and response together.
FIRST_USAGE, FIRST_PREFIX = "8200,800", "5c1e07a2:200,e4402b7d:8000"
SECOND_USAGE, SECOND_PREFIX = "8500,500", "5c1e07a2:200,e4402b7d:8300"


class StreamClient:
    """A client that reads a stream, and returns with `Last-Event-Id` after a broken channel.

    Attributes:
        events: (id, data) of each event.
        is_complete: Whether the stream has ended as complete.
    """

    def __init__(self, deployment, record, name: str, body: bytes, usage: str, prefix: str):
        self.events = []
        self.is_complete = False
        self._deployment = deployment
        self._record = record
        self._name = name
        self._body = body
        self._headers = {
            "Host": si.HOST,
            "X-Model": "m",
            "X-Token-Usage": usage,
            "X-Prompt-Prefix": prefix,
            "X-Deadline-Ms": "25000",
            "Authorization": f"Bearer {si.KEY}",
        }

    async def run(self, nodes: list):
        """Sends the request to the first node, and after a broken channel to the next one."""
        for attempt, node in enumerate(nodes):
            request_id = f"{self._name}-{attempt}"
            headers = {**self._headers, "X-Request-Id": request_id}
            if self.events:
                headers["Last-Event-Id"] = str(self.events[-1][0])
            self._record.line("client:", request_id, self._body, "to node", node, headers)
            await self._read(node, headers)
            self._record.line(
                "client:", request_id, "has", len(self.events), "events, end:", self.is_complete
            )
            if self.is_complete:
                return

    async def _read(self, node, headers):
        host, _, port = self._deployment.address(node, "front").rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return
        writer.write(si.encode_request("POST", "/s/x", headers, self._body))
        head = await si.read_head(reader)
        if head is None or " 200 " not in head[0]:
            self._record.line("client:", head)
            return
        data = b""

        def keep(chunk):
            nonlocal data
            *blocks, data = (data + chunk).split(b"\n\n")
            for block in blocks:
                first, second = block.split(b"\n")
                self.events.append((int(first[4:]), second[6:]))

        try:
            await si.read_body(reader, head[1], keep)
            self.is_complete = True
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


async def scenario(deployment, record):
    await deployment.start_all()
    await deployment.publish(si.make_config(3, backups=True))
    workers = []
    for number in range(4):
        worker = si.Worker(deployment, record, f"i-{number}", "model-floor", number)
        await worker.start(deployment.address(number, "control"))
        workers.append(worker)
    await deployment.wait_until_ready()
    await asyncio.sleep(si.CONTACT_SECONDS)
    first = StreamClient(deployment, record, "first", FIRST_BODY, FIRST_USAGE, FIRST_PREFIX)
    second = StreamClient(
        deployment, record, "second", SECOND_BODY, SECOND_USAGE, SECOND_PREFIX
    )
    streams = [asyncio.ensure_future(first.run([FIRST_NODE, OTHER_NODE]))]
    await asyncio.sleep(0.5)
    streams.append(asyncio.ensure_future(second.run([SECOND_NODE])))
    await asyncio.sleep(KILL_AFTER_SECONDS)
    if si.TROUBLE:
        deployment.kill(FIRST_NODE)
        record.say("node", FIRST_NODE, "is killed; it served the first request")
    await asyncio.gather(*streams)
    for worker in workers:
        await worker.stop()
    if not (first.events and second.events):
        raise si.CannotRun("a stream was not served")
    broken = []
    foreign = [number for number, data in first.events if data != FIRST_BODY]
    if foreign:
        broken.append(
            f"MIXED: the client of {FIRST_BODY.decode()!r} got events {foreign[0]} to "
            f"{foreign[-1]} of {SECOND_BODY.decode()!r}"
        )
    for worker in workers:
        for request_id, body, source in worker.resumed:
            owner = FIRST_BODY if "/first-" in source else SECOND_BODY
            if body != owner:
                broken.append(f"MIXED: {request_id} went on from the memory {source}")
    return broken


si.run_case(scenario, __file__)
