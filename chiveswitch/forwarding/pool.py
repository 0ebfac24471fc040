"""Kept channels to targets; only fresh ones carry unrepeatable requests."""

from chiveswitch.core import clock
from chiveswitch.forwarding import channel as channels

# Time in seconds to open a channel. Three round trips between availability zones are under 10 ms,
# and a lost opening packet is sent again after a second, too late for a short call.
CONNECT_SECONDS = 0.25
# Idle seconds after which a channel carries no unrepeatable request: its target may be closing it.
FRESH_SECONDS = 0.5
# Idle seconds after which a channel is closed. Connections go silent without notice, so that an
# old one costs a repeated request.
KEPT_SECONDS = 4.0
# Kept channels to one target; its limit is shared by all gateways.
MAX_KEPT = 4


class ChannelPool:
    """Channels of one gateway to all targets.

    Attributes:
        opened: Number of channels opened so far.
    """

    __slots__ = ("opened_count", "_kept_by_target")

    def __init__(self):
        self.opened_count = 0
        self._kept_by_target = {}

    async def acquire(
        self, target_id: str, address: str, fresh: bool, seconds: float
    ) -> channels.Channel | None:
        """Returns a channel for one request, or None if the target cannot be reached.

        Args:
            target_id: Id of the target.
            address: Its `ip:port`.
            fresh: Whether only a new channel or one used a moment ago will do.
            seconds: Longest time to open a channel.
        """
        kept = self._kept_by_target.get(target_id, [])
        now = clock.now()
        # The channel used last stands at the end.
        while kept and self._is_usable(kept[-1], address, fresh, now):
            channel = kept.pop()
            if not channel.broken:
                return channel
        self.opened_count += 1
        return await channels.connect(address, target_id, min(seconds, CONNECT_SECONDS))

    def _is_usable(self, channel, address, fresh, now):
        limit = FRESH_SECONDS if fresh else KEPT_SECONDS
        # The target may close the channel while the request is on its way.
        if channel.idle_limit_s is not None:
            limit = min(limit, channel.idle_limit_s / 2)
        return channel.address == address and now - channel.used_at <= limit

    def release(self, channel: channels.Channel):
        """Takes a channel back after its response, and closes it if it is of no more use."""
        if not channel.release():
            return
        kept = self._kept_by_target.setdefault(channel.target_id, [])
        if len(kept) >= MAX_KEPT:
            channel.abort()
            return
        kept.append(channel)

    def close_target(self, target_id: str):
        """Closes the kept channels of a target that has left."""
        for channel in self._kept_by_target.pop(target_id, []):
            channel.abort()

    def close_stale_channels(self):
        """Closes channels that were idle for too long."""
        now = clock.now()
        for target_id, kept in list(self._kept_by_target.items()):
            stale = [each for each in kept if each.broken or now - each.used_at > KEPT_SECONDS]
            for channel in stale:
                kept.remove(channel)
                channel.abort()
            if not kept:
                del self._kept_by_target[target_id]

    def close(self):
        """Closes all kept channels."""
        for target_id in list(self._kept_by_target):
            self.close_target(target_id)
