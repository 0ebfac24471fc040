"""Updates a directory by periodic pulls from gateways; used by gateways and by control."""

import asyncio
import logging

from chiveswitch.core import clock
from chiveswitch.peers import directory_codec, kinds, links

log = logging.getLogger("chiveswitch.peers")

PULL_TIMEOUT_SECONDS = 0.35
# Limit of consecutive pulls from one peer: the first pull returns digests of descriptions, and a
# second one is needed to fetch the descriptions that are unknown.
MAX_CONSECUTIVE_PULLS = 3


class DirectoryFeed:
    """Pulls entries from other gateways into one directory.

    Attributes:
        directory: `directory.Directory`.
        link_by_address: Links to gateways, shared with the owner of the feed.
    """

    __slots__ = ("directory", "link_by_address", "_seeds", "_interval", "_peers_per_round", "_rng")

    def __init__(self, directory, seeds, interval: float, peers_per_round: int, rng):
        """Prepares the pulls, which `run` starts.

        Args:
            directory: The directory to update.
            seeds: Function that returns further peer addresses to pull from besides the known ones.
            interval: Mean seconds between rounds of pulls; each interval varies by up to 10 %.
            peers_per_round: Number of gateways to pull from in each round.
            rng: A `random.Random`.
        """
        self.directory = directory
        self.link_by_address = {}
        self._seeds = seeds
        self._interval = interval
        self._peers_per_round = peers_per_round
        self._rng = rng

    def link(self, address: str) -> links.Link:
        """Returns the link to an address; the first call opens it."""
        link = self.link_by_address.get(address)
        if link is None:
            link = self.link_by_address[address] = links.Link(address)
        return link

    async def run(self):
        """Pulls from randomly chosen peers in rounds until cancelled."""
        while True:
            chosen = self.directory.choose_peers(self._seeds(), self._peers_per_round, self._rng)
            await asyncio.gather(*(self._pull_from(peer) for peer in chosen))
            await asyncio.sleep(self._interval * self._rng.uniform(0.9, 1.1))

    async def close(self):
        """Closes all links."""
        for link in self.link_by_address.values():
            await link.close()

    async def _pull_from(self, peer):
        for _ in range(MAX_CONSECUTIVE_PULLS):
            sent_at = clock.now()
            request = self.directory.pull_request(peer, sent_at)
            result = await self.link(peer).call(
                kinds.Kind.DIRECTORY_PULL,
                directory_codec.encode_request(request),
                PULL_TIMEOUT_SECONDS,
            )
            if result.is_error():
                return
            answer = directory_codec.decode_answer(result.ok)
            if answer.is_error():
                log.warning("peers: dropped an invalid directory answer: %s", answer.error.message)
                return
            if not self.directory.apply_pull(peer, answer.ok, sent_at, clock.now()):
                return
