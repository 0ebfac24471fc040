"""Tests of clients of control, hubs and directories whose connections fall silent for good."""

import asyncio
import random

import expression
import pytest

from chiveswitch.core import clock, codes
from chiveswitch.peers import (
    control_client,
    directory_feed,
    hub_watch,
    hub_watch_test,
    kinds,
    links,
    strict,
)
from chiveswitch.tools import processes
from features import platform_standins, proxies

# Time within which a process must be in touch again after its connections fell silent.
CONTACT_SECONDS = 3.0


async def start_proxy(target):
    """Starts a proxy before a server."""
    proxy = proxies.Proxy(f"127.0.0.1:{processes.free_port()}", target)
    await proxy.start()
    return proxy


async def start_server(handler_by_kind):
    """Starts a server; returns it and a proxy before it."""
    server = links.Server(handler_by_kind)
    port = processes.free_port()
    await server.start("127.0.0.1", port)
    return server, await start_proxy(f"127.0.0.1:{port}")


@pytest.mark.parametrize("interval", [0.05, 0.25, 0.9])
def test_control_answers_soon_after_all_connections_to_it_fell_silent(interval):
    # Guards against a client of control whose own calls, or whose changes of the address, keep it
    # from noticing that none of its connections delivers anything.
    rpc = control_client.rpc

    def answer(_payload, _trace):
        return expression.Ok(
            strict.encode(
                rpc.PublishedAnswer(
                    code=int(codes.Code.OK),
                    message="",
                    leader_address="",
                    version=1,
                    content=b"",
                    signature=b"",
                )
            )
        )

    async def scenario():
        members = [await start_server({kinds.Kind.CONTROL_PUBLISHED: answer}) for _ in range(4)]
        client = control_client.ControlClient([proxy.address for _, proxy in members])
        for address in client.addresses:
            client.leader = address
            assert (await client.fetch_published(0, clock.now() + 2.0)).is_ok()
        for _, proxy in members:
            proxy.silence_open_connections()
        silent_at = answered_at = clock.now()
        while True:
            result = await client.fetch_published(0, clock.now() + 0.9)
            answered_at = clock.now()
            if result.is_ok() or answered_at - silent_at > 10.0:
                break
            await asyncio.sleep(interval)
        await client.close()
        for server, proxy in members:
            await server.close()
            await proxy.stop()
        return answered_at - silent_at

    assert asyncio.run(scenario()) < CONTACT_SECONDS


@pytest.mark.parametrize("interval", [0.02, 0.2])
def test_a_hub_is_watched_again_soon_after_its_connection_fell_silent(interval):
    # Guards against a watch that other calls on its connection prolong while nothing arrives.
    async def scenario():
        current = hub_watch_test.ScriptedHub(version=5)
        await current.start()
        proxy = await start_proxy(current.address)
        view = hub_watch_test.View(5, proxy.address)
        watcher = hub_watch.HubWatcher(view, [proxy.address], "10.0.0.9:90", random.Random(1))
        watcher.start()
        await platform_standins.wait_until(watcher.reachable_hubs)
        proxy.silence_open_connections()
        silent_at = clock.now()
        watch_count = len(current.watches)
        number = 0
        while len(current.watches) == watch_count and clock.now() - silent_at < 10.0:
            number += 1
            watcher.report_run(hub_watch_test.run_report(f"r{number}"))
            watcher.send_node_state()
            await asyncio.sleep(interval)
        took = clock.now() - silent_at
        await platform_standins.wait_until(lambda: (f"r{number}", 1) in current.runs, 2.0)
        await watcher.close()
        await current.close()
        await proxy.stop()
        return took

    assert asyncio.run(scenario()) < CONTACT_SECONDS


def test_a_directory_is_pulled_again_soon_after_its_connection_fell_silent():
    # Guards against a feed whose pulls are all lost on a connection that delivers nothing.
    pulled_at = []

    def answer(_payload, _trace):
        pulled_at.append(clock.now())
        return codes.failure(codes.Code.INTERNAL, "no entries")

    class Directory:
        def choose_peers(self, seeds, _count, _rng):
            return seeds

        def pull_request(self, _peer, _now):
            return None

    async def scenario(monkeypatch):
        monkeypatch.setattr(directory_feed.directory_codec, "encode_request", lambda _request: b"")
        server, proxy = await start_server({kinds.Kind.DIRECTORY_PULL: answer})
        feed = directory_feed.DirectoryFeed(
            Directory(), lambda: [proxy.address], 0.1, 1, random.Random(1)
        )
        task = asyncio.ensure_future(feed.run())
        await platform_standins.wait_until(lambda: len(pulled_at) > 2)
        proxy.silence_open_connections()
        silent_at = clock.now()
        count = len(pulled_at)
        await platform_standins.wait_until(lambda: len(pulled_at) > count)
        task.cancel()
        await feed.close()
        await server.close()
        await proxy.stop()
        return pulled_at[count] - silent_at

    with pytest.MonkeyPatch.context() as monkeypatch:
        assert asyncio.run(scenario(monkeypatch)) < CONTACT_SECONDS
