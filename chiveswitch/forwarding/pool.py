"""Pool of idle channels to targets. Only recently used channels carry unrepeatable requests."""

from chiveswitch.core import clock
from chiveswitch.forwarding import channel as channels
from chiveswitch.forwarding import read_pacer

# Longest time in seconds to open a channel. Three round trips between availability zones take less
# than 10 ms. A lost SYN packet is sent again only after a second, too late for a short call.
CONNECT_TIMEOUT_SECONDS = 0.25
# Idle seconds after which a channel carries no unrepeatable request, because its target may be
# closing it.
FRESH_IDLE_SECONDS = 0.5
# Idle seconds after which a channel is closed. A connection may be dropped without notice, and a
# request on such a connection has to be repeated.
MAX_IDLE_SECONDS = 4.0
# Largest number of idle channels to one target. All gateways share the target's connection limit.
MAX_IDLE_CHANNELS = 4


class ChannelPool:
    """Idle channels of one gateway to all targets.

    Attributes:
        opened_count: Number of channels that the pool has tried to open.
        pacer: `read_pacer.ReadPacer` of the channels.
    """

    __slots__ = ("opened_count", "pacer", "_idle_channels_by_target")

    def __init__(self):
        self.opened_count = 0
        self.pacer = read_pacer.ReadPacer()
        self._idle_channels_by_target = {}

    async def acquire(
        self, target_id: str, address: str, must_be_fresh: bool, timeout_s: float, request_id: str
    ) -> channels.Channel | None:
        """Returns a channel for one request, or None if the target cannot be reached.

        Args:
            target_id: Id of the target.
            address: Its `ip:port`.
            must_be_fresh: Whether the channel must be new or used within `FRESH_IDLE_SECONDS`.
            timeout_s: Longest time in seconds to open a channel.
            request_id: Id of the request, by which its response is recognized.
        """
        idle_channels = self._idle_channels_by_target.get(target_id, [])
        now = clock.now()
        # The most recently used channel is the last one.
        for channel in reversed(idle_channels[:]):
            if not self._is_usable(channel, address, must_be_fresh, now):
                break
            if request_id in channel.answered_ids:
                continue
            idle_channels.remove(channel)
            if not channel.failure_reason:
                return channel
        return await self.open(target_id, address, timeout_s)

    async def open(self, target_id: str, address: str, timeout_s: float) -> channels.Channel | None:
        """Returns a new channel, or None if the target cannot be reached.

        Args:
            target_id: Id of the target.
            address: Its `ip:port`.
            timeout_s: Longest time in seconds to open the channel.
        """
        self.opened_count += 1
        connect_timeout_s = min(timeout_s, CONNECT_TIMEOUT_SECONDS)
        return await channels.connect(address, target_id, connect_timeout_s, self.pacer)

    def _is_usable(self, channel, address, must_be_fresh, now):
        limit = FRESH_IDLE_SECONDS if must_be_fresh else MAX_IDLE_SECONDS
        # The target may close the channel while the request is on its way.
        if channel.idle_limit_s is not None:
            limit = min(limit, channel.idle_limit_s / 2)
        return channel.address == address and now - channel.last_used_at <= limit

    def release(self, channel: channels.Channel):
        """Returns a channel to the pool after its response, or closes it if it is not reusable."""
        if not channel.release():
            return
        idle_channels = self._idle_channels_by_target.setdefault(channel.target_id, [])
        if len(idle_channels) >= MAX_IDLE_CHANNELS:
            channel.abort()
            return
        idle_channels.append(channel)

    def close_target(self, target_id: str):
        """Closes the idle channels of a target that has left."""
        for channel in self._idle_channels_by_target.pop(target_id, []):
            channel.abort()

    def close_unused_since(self, target_id: str, time: float):
        """Closes idle channels of a target on which no response has ended since a time.

        Channels can stay open and deliver nothing, usually all of them from the same moment on.

        Args:
            target_id: Id of the target.
            time: Time in seconds since which another channel of the target has been silent.
        """
        for channel in self._idle_channels_by_target.get(target_id, [])[:]:
            if channel.last_used_at < time:
                self._idle_channels_by_target[target_id].remove(channel)
                channel.abort()

    def close_stale_channels(self):
        """Closes channels that failed or were idle for too long."""
        now = clock.now()
        for target_id, idle_channels in list(self._idle_channels_by_target.items()):
            stale = [
                each
                for each in idle_channels
                if each.failure_reason or now - each.last_used_at > MAX_IDLE_SECONDS
            ]
            for channel in stale:
                idle_channels.remove(channel)
                channel.abort()
            if not idle_channels:
                del self._idle_channels_by_target[target_id]

    def close(self):
        """Closes all idle channels."""
        for target_id in list(self._idle_channels_by_target):
            self.close_target(target_id)
