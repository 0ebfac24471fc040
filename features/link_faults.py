"""Proxies between the nodes of a cluster, and the faults that the soak test injects with them."""

import asyncio

from chiveswitch.core import clock
from features import proxies

# Time for which a node counts as out of touch after a disturbance, as the users state it.
CONTACT_SECONDS = 3.0
# Time after which a node that was cut off no longer counts as lost, as the users state it.
CATCH_UP_SECONDS = 4.0
# Shortest and longest duration of a fault, in seconds.
MIN_SECONDS, MAX_SECONDS = 0.5, 8.0

FAULT_BY_NAME = {}


def register_fault(function):
    """Registers a fault, a coroutine function with the links and a random generator."""
    FAULT_BY_NAME[function.__name__] = function
    return function


class NodeLinks:
    """The connections between nodes; each ordered pair of nodes has a proxy of its own.

    Attributes:
        record: The `soak.Record` that gets the disturbances.
        disk_lost_until: Time until which nodes with a disk may not be cut from each other, because
            one of them has lost its disk.
        lines: The injected faults.
    """

    def __init__(self):
        self.record = None
        self.disk_lost_until = 0.0
        self.lines = []
        self._proxy_by_pair = {}
        self._core_cut_until = 0.0
        self._disks = 0
        self._count = 0

    async def start(self, cluster):
        """Starts the proxies, and redirects the nodes to them before the nodes start."""
        self._disks, self._count = cluster.disks, len(cluster.ips)
        port = cluster.port["peer"]
        for source in range(self._count):
            lines = []
            for target in range(self._count):
                if target == source:
                    continue
                address = f"127.0.{10 + source}.{target + 1}:{port}"
                direct = cluster.address(target, "peer")
                proxy = proxies.Proxy(address, direct, follows_target=True)
                await proxy.start()
                self._proxy_by_pair[source, target] = proxy
                lines.append(f"{direct} {address}\n")
            path = cluster.boot_file(source)
            path.with_name(f"{path.name}.proxies").write_text("".join(lines))

    async def stop(self):
        """Stops all proxies."""
        for proxy in self._proxy_by_pair.values():
            await proxy.stop()

    def choose_pair(self, rng):
        """Returns two nodes; most often both have a disk, as their connections matter most."""
        count = self._disks if rng.random() < 0.7 else self._count
        return rng.sample(range(count), 2)

    def choose_node(self, rng):
        """Returns a node."""
        return rng.randrange(self._count)

    def proxies_between(self, one, other):
        """Returns the proxies for connections of the first node and for those of the second."""
        return self._proxy_by_pair[one, other], self._proxy_by_pair[other, one]

    def proxies_of(self, node):
        """Returns all proxies for connections from and to a node."""
        return [proxy for pair, proxy in self._proxy_by_pair.items() if node in pair]

    def all_proxies(self):
        """Returns all proxies."""
        return list(self._proxy_by_pair.values())

    def is_core_cut(self) -> bool:
        """Returns whether a node with a disk counts as lost because of a cut or delay."""
        return clock.now() < self._core_cut_until

    def is_core(self, nodes) -> bool:
        """Returns whether all of these nodes have a disk."""
        return all(node < self._disks for node in nodes)

    def reserve(self, nodes, seconds) -> bool:
        """Returns whether these nodes may be cut from each other now, and notes it if so."""
        if not self.is_core(nodes):
            return True
        if clock.now() < self.disk_lost_until:
            return False
        until = clock.now() + seconds + CATCH_UP_SECONDS
        self._core_cut_until = max(self._core_cut_until, until)
        return True

    def add_disturbance(self, name, nodes, started, concerns_core):
        """Records a disturbance that ends now.

        Args:
            name: Name of the fault.
            nodes: Disturbed nodes.
            started: Time of the begin.
            concerns_core: Whether all nodes are out of touch because of it.
        """
        ended = clock.now()
        self.lines.append(f"{name} {nodes} at={started:.2f} to {ended:.2f}")
        for node in range(self._count) if concerns_core else nodes:
            self.record.out_of_touch.append((node, started, ended + CONTACT_SECONDS))


def duration(rng) -> float:
    """Returns a random duration of a fault, in seconds."""
    return rng.uniform(MIN_SECONDS, MAX_SECONDS)


def silence(links, name, chosen, nodes):
    """Silences all open connections of some proxies for good."""
    for proxy in chosen:
        proxy.silence_open_connections()
    links.add_disturbance(name, nodes, clock.now(), True)


@register_fault
async def silence_pair(links, rng):
    """Silences the open connections between two nodes."""
    nodes = links.choose_pair(rng)
    silence(links, "silence_pair", links.proxies_between(*nodes), nodes)


@register_fault
async def silence_node(links, rng):
    """Silences the open connections of a node."""
    node = links.choose_node(rng)
    silence(links, "silence_node", links.proxies_of(node), [node])


@register_fault
async def silence_all(links, rng):
    """Silences all open connections between nodes."""
    silence(links, "silence_all", links.all_proxies(), [])


@register_fault
async def silence_repeatedly(links, rng):
    """Silences the open connections of nodes again and again, also while they elect a leader."""
    concerns_all = rng.random() < 0.5
    for _ in range(rng.randrange(2, 7)):
        node = links.choose_node(rng)
        chosen = links.all_proxies() if concerns_all else links.proxies_of(node)
        silence(links, "silence_repeatedly", chosen, [] if concerns_all else [node])
        await asyncio.sleep(rng.uniform(0.2, 1.5))


async def cut(links, rng, nodes, seconds, name, both=True):
    """Cuts the packets from the first of two nodes to the second, or both directions."""
    if not links.reserve(nodes, seconds):
        return
    started = clock.now()
    forward, backward = links.proxies_between(*nodes)
    forward.resume_factor, backward.resume_factor = rng.random(), rng.random()
    # Packets from the first node are requests on its own connections and responses on others.
    directions = [(forward, False), (backward, True)]
    if both:
        directions += [(forward, True), (backward, False)]
    for proxy, from_target in directions:
        proxy.cut(from_target)
    await asyncio.sleep(seconds)
    for proxy, from_target in directions:
        proxy.heal(from_target)
    links.add_disturbance(name, nodes, started, links.is_core(nodes))


@register_fault
async def cut_one_way(links, rng):
    """Cuts one direction between two nodes for a while."""
    await cut(links, rng, links.choose_pair(rng), duration(rng), "cut_one_way", both=False)


@register_fault
async def cut_pair(links, rng):
    """Cuts two nodes from each other for a while."""
    await cut(links, rng, links.choose_pair(rng), duration(rng), "cut_pair")


@register_fault
async def cut_in_turn(links, rng):
    """Cuts several pairs, of which each heals while the next one is cut already."""
    cuts = []
    for _ in range(rng.randrange(2, 5)):
        seconds = rng.uniform(MIN_SECONDS, MAX_SECONDS / 2)
        both = rng.random() < 0.5
        nodes = links.choose_pair(rng)
        cuts.append(asyncio.ensure_future(cut(links, rng, nodes, seconds, "cut_in_turn", both)))
        await asyncio.sleep(seconds * rng.uniform(0.5, 1.0))
    await asyncio.gather(*cuts)


@register_fault
async def delay_pair(links, rng):
    """Delays all data between two nodes for a while."""
    nodes = links.choose_pair(rng)
    seconds, delay = duration(rng), rng.uniform(0.02, 0.3)
    if not links.reserve(nodes, seconds):
        return
    started = clock.now()
    chosen = links.proxies_between(*nodes)
    for proxy in chosen:
        proxy.delay += delay
    await asyncio.sleep(seconds)
    for proxy in chosen:
        # Sums of floats need not return to zero.
        proxy.delay = max(0.0, round(proxy.delay - delay, 6))
    links.add_disturbance("delay_pair", nodes, started, links.is_core(nodes))


@register_fault
async def reset_links(links, rng):
    """Resets the connections between two nodes, or all connections of a node."""
    nodes = links.choose_pair(rng)
    chosen = links.proxies_between(*nodes)
    if rng.random() < 0.5:
        nodes = nodes[:1]
        chosen = links.proxies_of(nodes[0])
    for proxy in chosen:
        proxy.reset()
    concerns_core = any(links.is_core([node]) for node in nodes)
    links.add_disturbance("reset_links", nodes, clock.now(), concerns_core)
