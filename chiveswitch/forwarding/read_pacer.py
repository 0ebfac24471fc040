"""Shares reading among the channels of a process whose targets send as fast as they are read."""

import asyncio
import collections

from chiveswitch.core import memory_budget


class ReadPacer:
    """Lets one of the channels that have filled a read continue in each turn of the event loop.

    The work on what a target sends without a pause is thus bounded in each turn, and the requests
    of others are served in between, however many such targets there are.

    Attributes:
        budget: `memory_budget.MemoryBudget` of what all channels hold.
    """

    __slots__ = ("budget", "_waiting_channels", "_is_scheduled")

    def __init__(self):
        self.budget = memory_budget.MemoryBudget()
        self._waiting_channels = collections.deque()
        self._is_scheduled = False

    def wait(self, channel):
        """Queues a channel whose reading is paused; its turn is a call of its `resume_reading`."""
        self._waiting_channels.append(channel)
        self._schedule()

    def _schedule(self):
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._resume_next)

    def _resume_next(self):
        self._is_scheduled = False
        self._waiting_channels.popleft().resume_reading()
        if self._waiting_channels:
            self._schedule()
