"""Polls the gateways after a roll until all that admit work have the new serial."""

import asyncio

from chiveswitch.core import clock
from chiveswitch.operators import client

# A gateway that cannot reach control stops admitting within its lease of 4 s, so that a bundle is
# in force everywhere within 6 s of its roll.
TIMEOUT_SECONDS = 6.0
POLL_SECONDS = 0.2


class Rollout:
    """Progress of a roll: which gateways have confirmed its serial.

    Attributes:
        serial: The serial to confirm.
        confirmed: Addresses of the gateways that admit work under it.
        not_admitting: Reason by address of the gateways that admit no work.
        unconfirmed: Reason by address of the gateways that have not confirmed.
        seconds: Duration of the wait.
    """

    __slots__ = ("serial", "confirmed", "not_admitting", "unconfirmed", "seconds")

    def __init__(self, serial: int):
        self.serial = serial
        self.confirmed = []
        self.not_admitting = {}
        self.unconfirmed = {}
        self.seconds = 0.0

    def record_status(self, address: str, result) -> None:
        """Adds a gateway to one of the collections.

        Args:
            address: Address of the gateway.
            result: Result of a poll, Ok with the JSON object of the gateway's status.
        """
        if result.is_error():
            # An earlier status is kept, because the end of the wait can cut the last poll short.
            if address not in self.not_admitting:
                self.unconfirmed.setdefault(address, result.error.message)
            return
        self.not_admitting.pop(address, None)
        self.unconfirmed.pop(address, None)
        serial, admits = result.ok.get("serial"), result.ok.get("admits")
        if admits is False:
            self.not_admitting[address] = str(result.ok.get("refusal", ""))
        elif not isinstance(serial, int) or isinstance(serial, bool):
            self.unconfirmed[address] = "its status contains no valid serial"
        # A later roll replaces this one, so a higher serial confirms it too.
        elif serial < self.serial or admits is not True:
            self.unconfirmed[address] = f"it has serial {serial}"
        else:
            self.confirmed.append(address)

    def to_object(self) -> dict:
        """Returns the rollout as a JSON object."""
        return {name: getattr(self, name) for name in self.__slots__}


async def wait_for_gateways(
    addresses: list, serial: int, timeout_s: float = TIMEOUT_SECONDS, poll_s: float = POLL_SECONDS
) -> Rollout:
    """Polls gateways until each of them has the serial or admits no work.

    Args:
        addresses: Gateways' addresses for callers, `ip:port`.
        serial: Serial of the roll.
        timeout_s: Seconds until the wait ends.
        poll_s: Seconds between two polls.

    Returns:
        The `Rollout`; it is complete if `unconfirmed` is empty. A gateway that does not respond
        counts as unconfirmed, because it may still admit work.
    """
    started_at = clock.now()
    progress = Rollout(serial)
    while True:
        remaining_s = started_at + timeout_s - clock.now()
        # A gateway never applies a lower serial, so one confirmation is enough.
        polled = [address for address in addresses if address not in progress.confirmed]
        poll_timeout_s = max(0.05, min(client.STATUS_TIMEOUT_SECONDS, remaining_s))
        results = await asyncio.gather(
            *(client.fetch_json(address, "/v1/status", "", poll_timeout_s) for address in polled)
        )
        for address, result in zip(polled, results, strict=True):
            progress.record_status(address, result)
        progress.seconds = round(clock.now() - started_at, 3)
        if not progress.unconfirmed or started_at + timeout_s - clock.now() <= poll_s:
            return progress
        await asyncio.sleep(poll_s)
