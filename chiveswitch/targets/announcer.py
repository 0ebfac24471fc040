"""Announces a target to two gateways at a time, in different availability zones."""

import asyncio
import logging

import aiosonic
import orjson

from chiveswitch.core import clock
from chiveswitch.targets import pooled_client

log = logging.getLogger("chiveswitch.announcer")

ANNOUNCE_INTERVAL_SECONDS = 0.5
ANNOUNCE_TIMEOUT_SECONDS = 0.4
GATEWAYS_AT_A_TIME = 2
ANNOUNCE_TIMEOUTS = aiosonic.timeout.Timeouts(
    sock_connect=0.3, sock_read=ANNOUNCE_TIMEOUT_SECONDS, request_timeout=ANNOUNCE_TIMEOUT_SECONDS
)


def build_announcement(
    target_id,
    kind,
    availability_zone,
    address,
    load,
    models=(),
    role="",
    honours_fencing=False,
    services=(),
) -> dict:
    """Returns the fields of an announcement that describe the target, under the API's names.

    The result is what the `describe` function of an `Announcer` has to return. The announcer adds
    the remaining fields.

    Args:
        target_id: Id of the target.
        kind: `engine` or `service`.
        availability_zone: Availability zone of the target.
        address: `ip:port` of the target.
        load: Dict with the numbers of running and queued requests and the capacity.
        models: Ready models as (model, adapter, version).
        role: Role of an engine, or an empty string.
        honours_fencing: Whether an engine refuses orders with an old fencing token.
        services: Names of the services.
    """
    return {
        "id": target_id,
        "kind": kind,
        "availability_zone": availability_zone,
        "address": address,
        "models": [list(model) for model in models],
        "role": role,
        "load": load,
        "warm": [],
        "honours_fencing": honours_fencing,
        "services": list(services),
    }


class Announcer:
    """Sends a target's announcements and replaces gateways that do not answer.

    Attributes:
        describe: Function that returns the result of `build_announcement` with the present load.
        gateways: Seed addresses (`host:port`) of gateways.
        incarnation: Number that increases with every start of the target's process: the start time
            in microseconds.
        sequence: Number of the last announcement.
        state: State of the target in the next announcement.
    """

    def __init__(self, describe, gateways, offset: int = 0):
        """Chooses the first gateways, which are spread evenly over the seed addresses.

        Args:
            describe: Value of the attribute `describe`.
            gateways: Seed addresses (`host:port`) of gateways.
            offset: Number that decides which gateways are chosen first, so that targets with
                different offsets announce themselves to different gateways.
        """
        self.describe = describe
        self.gateways = list(gateways)
        self.incarnation = int(clock.now() * 1e6)
        self.sequence = 0
        self.state = "ready"
        self._chosen_indexes = [
            (offset + i * max(1, len(self.gateways) // GATEWAYS_AT_A_TIME)) % len(self.gateways)
            for i in range(min(GATEWAYS_AT_A_TIME, len(self.gateways)))
        ]
        self._ticket_by_gateway = {}
        self._client = pooled_client.new_client()

    async def run(self):
        """Announces until cancelled, and then closes the connections to the gateways."""
        try:
            while True:
                await self.announce()
                await asyncio.sleep(ANNOUNCE_INTERVAL_SECONDS)
        finally:
            await self._client.aclose()

    async def announce(self):
        """Sends one announcement to each chosen gateway."""
        self.sequence += 1
        slots = range(len(self._chosen_indexes))
        results = await asyncio.gather(*(self._send(self._chosen_indexes[slot]) for slot in slots))
        for slot in slots:
            if results[slot]:
                continue
            # Replaces the gateway by the next one that no other slot uses.
            for step in range(1, len(self.gateways)):
                candidate = (self._chosen_indexes[slot] + step) % len(self.gateways)
                if candidate not in self._chosen_indexes:
                    self._chosen_indexes[slot] = candidate
                    break

    async def _send(self, index: int) -> bool:
        gateway = self.gateways[index]
        body = {
            **self.describe(),
            "incarnation": self.incarnation,
            "sequence": self.sequence,
            "state": self.state,
            "ticket": self._ticket_by_gateway.get(gateway, ""),
        }
        try:
            response = await self._client.post(
                f"http://{gateway}/v1/targets/announce",
                data=orjson.dumps(body),
                timeouts=ANNOUNCE_TIMEOUTS,
            )
            if response.status_code != 200:
                return False
            self._ticket_by_gateway[gateway] = orjson.loads(await response.content())["ticket"]
            return True
        # After any failure of the library or the network another gateway is tried.
        except Exception as error:
            log.debug("announcer: gateway %s did not answer: %r", gateway, error)
            return False
