"""Tests of a node's watches against scripted hubs on loopback."""

import asyncio
import contextlib
import random
import unittest.mock

import expression

from chiveswitch.core import clock, target_table
from chiveswitch.peers import hub, hub_test, hub_watch, kinds, links, strict
from chiveswitch.tools import processes
from features import platform_standins

thrift = hub.hub_thrift


class ScriptedHub:
    """A hub with one bundle version that answers watches at its own pace.

    Attributes:
        address: Its peer address.
        version: Version of its bundle.
        pause_s: Seconds after which it answers a watch for which it has no news.
        content: Content of its bundle.
        watches: The received watches.
        incarnation: Its incarnation.
        leaves: Ids of the targets of which it was told that they leave.
        runs: (run id, sequence) of each report of a run.
        losses: Ids of the targets in reports of losses.
        acknowledges: Whether it answers reports of runs and losses.
    """

    def __init__(self, version, pause_s=hub.LONG_POLL_SECONDS, content=b"content"):
        self.address = f"127.0.0.1:{processes.free_port()}"
        self.version = version
        self.pause_s = pause_s
        self.content = content
        self.watches = []
        self.incarnation = 1
        self.leaves = []
        self.runs = []
        self.losses = []
        self.acknowledges = True
        self._server = links.Server(
            {
                kinds.Kind.HUB_WATCH: self._serve_watch,
                kinds.Kind.HUB_LEAVES: self._serve_leaves,
                kinds.Kind.HUB_REPORT_RUNS: self._serve_runs,
            }
        )

    async def start(self):
        host, _, port = self.address.rpartition(":")
        await self._server.start(host, int(port))

    async def close(self):
        await self._server.close()

    async def _serve_watch(self, payload, _trace):
        watch = strict.decode(thrift.Watch, payload).ok
        self.watches.append(watch)
        if self.version <= watch.known_version:
            await asyncio.sleep(self.pause_s)
        sends_bundle = watch.wants_bundle and self.version > watch.known_version
        answer = thrift.WatchAnswer(
            is_hub=True,
            hub_incarnation=self.incarnation,
            position=1,
            members_index=1,
            hubs=[],
            version=self.version,
            content=self.content if sends_bundle else b"",
            signature=b"",
            targets=[],
            nodes=[],
            runs=[],
            losses=[],
        )
        return expression.Ok(strict.encode(answer))

    def _serve_leaves(self, payload, _trace):
        reports = strict.decode(thrift.TargetReports, payload).ok.reports
        self.leaves += [each.target_id for each in reports]
        return expression.Ok(b"")

    async def _serve_runs(self, payload, _trace):
        if not self.acknowledges:
            await asyncio.sleep(60.0)
        reports = strict.decode(thrift.Watch, payload).ok
        self.runs += [(each.run_id, each.sequence) for each in reports.runs]
        self.losses += [each.target_id for each in reports.losses]
        return expression.Ok(b"")


class SlowConnections:
    """A proxy before a hub whose connections towards the node carry few bytes a second.

    Attributes:
        address: Address of the proxy.
    """

    def __init__(self, hub_address, bytes_per_s):
        self.address = f"127.0.0.1:{processes.free_port()}"
        self._hub_address = hub_address
        self._bytes_per_s = bytes_per_s
        self._server = None

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def close(self):
        self._server.close()

    async def _serve(self, reader, writer):
        host, _, port = self._hub_address.rpartition(":")
        hub_reader, hub_writer = await asyncio.open_connection(host, int(port))
        requests = asyncio.ensure_future(copy_bytes(reader, hub_writer))
        try:
            await copy_bytes(hub_reader, writer, self._bytes_per_s)
        finally:
            requests.cancel()
            hub_writer.close()
            writer.close()


async def copy_bytes(reader, writer, bytes_per_s=None):
    """Copies a stream until it ends, in ten parts a second if its rate is limited."""
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(65536 if bytes_per_s is None else bytes_per_s // 10):
            writer.write(data)
            await writer.drain()
            if bytes_per_s is not None:
                await asyncio.sleep(len(data) / bytes_per_s)


class View:
    """A node's view that prefers one hub and holds the versions that it was given.

    Attributes:
        version: Version of the bundle in force.
        source: Address of the hub that sent it.
        accepts: Whether received bundles are put in force.
        leaves: TargetReports of leaves that it knows.
    """

    def __init__(self, version, preferred, accepts=True):
        self.version = version
        self.source = ""
        self.accepts = accepts
        self.leaves = []
        self._preferred = preferred
        # The view's other methods have no effect here.
        self._ignored = unittest.mock.MagicMock()

    def __getattr__(self, name):
        return getattr(self._ignored, name)

    def known_version(self):
        return self.version

    def preferred_hub(self, addresses):
        return self._preferred if self._preferred in addresses else sorted(addresses)[0]

    def own_limits(self):
        return []

    def held_prompt_reports(self):
        return []

    def known_leaves(self, _hub_reports):
        return self.leaves

    def apply_bundle(self, version, _content, _signature, source):
        if self.accepts:
            self.version, self.source = version, source

    def node_report(self):
        return thrift.NodeReport(
            name="n",
            incarnation=1,
            availability_zone="z",
            region="r",
            caller_address="10.0.0.9:80",
            peer_address="10.0.0.9:90",
            state=hub.NODE_READY,
        )


@contextlib.asynccontextmanager
async def watching(view, hubs):
    """Starts hubs, or proxies before hubs, and watches of them, and ends both."""
    for each in hubs:
        await each.start()
    seeds = [each.address for each in hubs]
    watcher = hub_watch.HubWatcher(view, seeds, "10.0.0.9:90", random.Random(1))
    watcher.start()
    try:
        yield watcher
    finally:
        await watcher.close()
        for each in hubs:
            await each.close()


def test_a_newer_bundle_arrives_although_the_preferred_hub_is_behind():
    # Guards against a node that keeps an old bundle while a hub that is cut off from the leader
    # still answers: each answer of that hub ended the wait for the newer bundle of the others.
    async def scenario():
        behind = ScriptedHub(version=5, pause_s=0.05)
        current = ScriptedHub(version=5, pause_s=0.05)
        view = View(5, behind.address)
        async with watching(view, [behind, current]):
            # From its second watch on, the node wants bundles of the preferred hub only.
            await platform_standins.wait_until(
                lambda: current.watches and not current.watches[-1].wants_bundle
            )
            current.version = 9
            await platform_standins.wait_until(lambda: view.version == 9, 4.0)
        assert view.source == current.address

    asyncio.run(scenario())


def test_a_bundle_arrives_that_takes_longer_than_the_timeout_of_a_watch():
    # Guards against a node with a slow link that never gets a large bundle, because its watch times
    # out, and begins anew, while the answer is still arriving.
    async def scenario():
        current = ScriptedHub(version=9, content=bytes(200_000))
        await current.start()
        slow = SlowConnections(current.address, 100_000)
        view = View(5, slow.address)
        try:
            async with watching(view, [slow]):
                await platform_standins.wait_until(lambda: view.version == 9, 6.0)
        finally:
            await current.close()

    asyncio.run(scenario())


def test_a_refused_bundle_is_requested_with_pauses():
    # Guards against a node that requests a bundle with an invalid signature again and again without
    # a pause, which fills its link and slows down the hub.
    async def scenario():
        current = ScriptedHub(version=9)
        view = View(5, current.address, accepts=False)
        async with watching(view, [current]):
            await platform_standins.wait_until(lambda: len(current.watches) >= 3)
            started = len(current.watches)
            await asyncio.sleep(5 * hub_watch.RETRY_PAUSE_SECONDS)
        assert len(current.watches) - started <= 5

    asyncio.run(scenario())


def test_a_hub_that_has_started_is_told_of_leaves_once():
    # Guards against a late heartbeat that brings a worker back after a restart of all hubs, which
    # have forgotten that it left.
    async def scenario():
        current = ScriptedHub(version=5, pause_s=0.05)
        view = View(5, current.address)
        view.leaves = [hub_test.target("t", state=target_table.GONE)]
        async with watching(view, [current]):
            await platform_standins.wait_until(lambda: current.leaves)
            await platform_standins.wait_until(lambda: len(current.watches) >= 4)
            assert current.leaves == ["t"]
            current.incarnation = 2
            await platform_standins.wait_until(lambda: current.leaves == ["t", "t"])

    asyncio.run(scenario())


def run_report(run_id, sequence=1):
    return thrift.RunReport(
        run_id=run_id,
        request_digest=":d",
        target_id="t",
        copy_target_id="",
        tokens=1,
        state=hub.RUN_ACTIVE,
        node="n",
        sequence=sequence,
        copy_reference="",
    )


def loss_report(target_id):
    at_ms = int(clock.now() * hub.MS_PER_SECOND)
    return thrift.LossReport(target_id=target_id, node="n", at_ms=at_ms)


def test_a_report_that_a_hub_does_not_acknowledge_reaches_another_one():
    # Guards against runs and losses that no other gateway hears of, because the hub that was told
    # was frozen or cut off.
    async def scenario():
        hubs = [ScriptedHub(version=5), ScriptedHub(version=5)]
        async with watching(View(5, hubs[0].address), hubs) as watcher:
            await platform_standins.wait_until(lambda: len(watcher.reachable_hubs()) == 2)
            for number, silent in enumerate([*hubs, *hubs]):
                for each in hubs:
                    each.acknowledges = each is not silent
                watcher.report_run(run_report(f"r{number}"))
                watcher.report_loss(loss_report(f"t{number}"))
                (current,) = [each for each in hubs if each.acknowledges]
                await platform_standins.wait_until(
                    lambda expected=(f"r{number}", 1), at=current: expected in at.runs, 2.0
                )
                assert f"t{number}" in current.losses

    asyncio.run(scenario())


def test_reports_wait_until_a_hub_is_reachable():
    # Guards against a run that other gateways never hear of, because it began while its gateway was
    # cut off from the hubs. Losses are reported for as long as they are of use.
    async def scenario():
        current = ScriptedHub(version=5)
        watcher = hub_watch.HubWatcher(
            View(5, current.address), [current.address], "10.0.0.9:90", random.Random(1)
        )
        watcher.report_run(run_report("r0", 1))
        watcher.report_loss(loss_report("t0"))
        await asyncio.sleep(hub.RETENTION_SECONDS_BY_KIND["losses"] + 0.1)
        watcher.report_run(run_report("r0", 2))
        watcher.report_run(run_report("r1", 1))
        watcher.report_loss(loss_report("t1"))
        await current.start()
        watcher.start()
        try:
            await platform_standins.wait_until(lambda: len(current.runs) == 2, 3.0)
            assert current.runs == [("r0", 2), ("r1", 1)]
            assert current.losses == ["t1"]
        finally:
            await watcher.close()
            await current.close()

    asyncio.run(scenario())


def test_reports_that_wait_for_a_hub_are_bounded():
    # Guards against a gateway without hubs whose memory grows with each request.
    async def scenario():
        watcher = hub_watch.HubWatcher(View(5, ""), [], "10.0.0.9:90", random.Random(1))
        for number in range(3 * hub_watch.MAX_QUEUED_REPORTS):
            watcher.report_run(run_report(f"r{number}"))
            watcher.report_loss(loss_report(f"t{number}"))
        await asyncio.sleep(0.1)
        queued = list(watcher._queued_run_by_id)
        assert len(queued) == hub_watch.MAX_QUEUED_REPORTS
        assert queued[-1] == f"r{3 * hub_watch.MAX_QUEUED_REPORTS - 1}"
        await watcher.close()

    asyncio.run(scenario())


def test_a_watch_goes_on_after_an_answer_that_cannot_be_applied():
    # Guards against a node that never hears of a hub again, because an error in the application of
    # one answer has ended the task of the watch.
    async def scenario():
        current = ScriptedHub(version=5, pause_s=0.05)
        view = View(5, current.address)
        view.apply_target_reports = unittest.mock.Mock(side_effect=RuntimeError("a fault"))
        async with watching(view, [current]):
            await platform_standins.wait_until(lambda: view.apply_target_reports.called)
            current.version = 9
            await platform_standins.wait_until(lambda: view.version == 9)

    asyncio.run(scenario())
