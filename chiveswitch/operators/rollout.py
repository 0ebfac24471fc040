"""Watches the gateways after a roll until all that admit work have the new serial."""

import asyncio

from chiveswitch.core import clock
from chiveswitch.operators import client

# A gateway that cannot reach control stops admitting within its lease of 4 s, so that a bundle is
# in force everywhere within 6 s of its roll.
LIMIT_SECONDS = 6.0
POLL_SECONDS = 0.2


class Rollout:
    """How far a serial has spread.

    Attributes:
        serial: The serial that was waited for.
        confirmed: Addresses of the gateways that admit work under it.
        not_admitting: Reason by address of the gateways that admit no work.
        unconfirmed: Reason by address of the gateways that have not confirmed.
        seconds: Time of the wait.
    """

    __slots__ = ("serial", "confirmed", "not_admitting", "unconfirmed", "seconds")

    def __init__(self, serial: int):
        self.serial = serial
        self.confirmed = []
        self.not_admitting = {}
        self.unconfirmed = {}
        self.seconds = 0.0

    def take(self, address: str, result) -> None:
        """Sorts in the status of a gateway, a Result of its JSON object."""
        if result.is_error():
            # A gateway that answered before keeps what it said: the limit cuts the last poll short.
            if address not in self.not_admitting:
                self.unconfirmed.setdefault(address, result.error.message)
            return
        self.not_admitting.pop(address, None)
        self.unconfirmed.pop(address, None)
        serial, admits = result.ok.get("serial"), result.ok.get("admits")
        if admits is False:
            self.not_admitting[address] = str(result.ok.get("refusal", ""))
        elif not isinstance(serial, int) or isinstance(serial, bool):
            self.unconfirmed[address] = "its status names no serial"
        # A later roll replaces this one, so that a higher serial confirms it too.
        elif serial < self.serial or admits is not True:
            self.unconfirmed[address] = f"it has serial {serial}"
        else:
            self.confirmed.append(address)

    def to_object(self) -> dict:
        """Returns the rollout as a JSON object."""
        return {name: getattr(self, name) for name in self.__slots__}


async def wait_for_gateways(
    addresses: list, serial: int, limit_s: float = LIMIT_SECONDS, poll_s: float = POLL_SECONDS
) -> Rollout:
    """Polls gateways until each of them has the serial or admits no work.

    Args:
        addresses: Gateways' addresses for callers, `ip:port`.
        serial: Serial of the roll.
        limit_s: Seconds until the wait is given up.
        poll_s: Seconds between two polls.
    Returns:
        The `Rollout`; it is complete when `unconfirmed` is empty. A gateway
        without an answer counts as unconfirmed, because it may still admit work.
    """
    begin = clock.now()
    state = Rollout(serial)
    while True:
        left = begin + limit_s - clock.now()
        # A gateway never applies a lower serial, so that one confirmation is enough.
        asked = [address for address in addresses if address not in state.confirmed]
        one_poll_s = max(0.05, min(client.STATUS_SECONDS, left))
        results = await asyncio.gather(
            *(client.fetch_json(address, "/v1/status", "", one_poll_s) for address in asked)
        )
        for address, result in zip(asked, results, strict=True):
            state.take(address, result)
        state.seconds = round(clock.now() - begin, 3)
        if not state.unconfirmed or begin + limit_s - clock.now() <= poll_s:
            return state
        await asyncio.sleep(poll_s)
