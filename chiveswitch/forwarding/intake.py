"""Enforces the memory budget among the connections of the process's HTTP servers."""

import asyncio
import logging

from chiveswitch.core import clock, codes, memory_budget

log = logging.getLogger("chiveswitch.http")

# Interval in seconds at which requests that wait for room are looked after.
TICK_SECONDS = 0.1
# Retry-After in seconds of a request that is refused for want of memory.
RETRY_AFTER_SECONDS = 0.2
# Size in bytes of the receive buffer of a connection on a machine whose memory is stated. The
# system counts up to twice as much.
RECEIVE_BUFFER_BYTES = 64 * 1024
# Time in seconds after which a caller that has taken nothing of an answer counts as stalled, and
# interval in seconds between two searches for such callers.
STALLED_ANSWER_SECONDS = 1.0
ANSWER_CHECK_SECONDS = 0.1
# Shortest time in seconds between two log lines of one reason.
LOG_INTERVAL_SECONDS = 1.0


class Intake:
    """Decides which connections are read from and which give way, for one or more servers.

    Attributes:
        budget: `memory_budget.MemoryBudget` of the process.
        servers: Servers that share this intake.
        count: Function that is called with the name of a counter.
        receive_bytes: Size of the receive buffer of a connection, 0 for that of the system.
    """

    __slots__ = (
        "budget",
        "servers",
        "count",
        "receive_bytes",
        "_waiting_since",
        "_timer",
        "_answers_checked_at",
        "_unlogged_by_reason",
        "_logged_at_by_reason",
    )

    def __init__(self, budget=None, count=lambda name: None, receive_bytes: int = 0):
        self.budget = budget or memory_budget.MemoryBudget()
        self.servers = []
        self.count = count
        self.receive_bytes = receive_bytes
        # Time since which a connection waits for room.
        self._waiting_since = {}
        self._timer = None
        self._answers_checked_at = float("-inf")
        self._unlogged_by_reason = {}
        self._logged_at_by_reason = {}

    def record_closed(self, reason: str, connection):
        """Counts a connection that has to give way, and logs some of them."""
        self.count(f"connections_closed_{reason}")
        skipped = self._unlogged_by_reason.get(reason, 0)
        now = clock.now()
        if now - self._logged_at_by_reason.get(reason, float("-inf")) < LOG_INTERVAL_SECONDS:
            self._unlogged_by_reason[reason] = skipped + 1
            return
        self._logged_at_by_reason[reason] = now
        self._unlogged_by_reason[reason] = 0
        log.info(
            "http: closed a connection of %s: %s, code=%d, state=%s, held=%d; %d more before",
            connection.peer_name,
            reason,
            codes.Code.MEMORY_SHORT,
            connection.state,
            connection.input_bytes,
            skipped,
        )

    def limit_connections(self, server):
        """Closes the idlest connections of a server that has too many."""
        if not server.max_connections or len(server.connections) <= server.max_connections:
            return
        claims = [connection.idle_claim() for connection in server.connections]
        for connection in memory_budget.choose_closed(claims, server.max_connections):
            self.record_closed("descriptors", connection)
            connection.evict()

    def _claims(self, account_of, kind):
        now = clock.now()
        claims = []
        for server in self.servers:
            for connection in server.connections:
                account = account_of(connection)
                if account.kind != kind or not account.held_bytes:
                    continue
                since = self._waiting_since.get(connection)
                waiting_s = None if since is None else now - since
                claims.append(connection.claim(account, now, waiting_s))
        return [claim for claim in claims if claim is not None]

    def _refuse(self, connections):
        for connection in connections:
            self.record_closed("memory", connection)
            connection.refuse_for_memory()

    def relieve_requests(self, connection):
        """Makes room after a connection has counted more input than there is room for.

        A large request waits for room if it may; otherwise others give way, or it does.
        """
        account = connection.input
        if account.is_alone:
            return
        kind = account.kind
        is_large = account.held_bytes > memory_budget.SMALL_REQUEST_BYTES
        if is_large and connection.can_wait and self.budget.may_wait(kind):
            self._wait(connection)
            return
        claims = self._claims(lambda c: c.input, kind)
        excess_bytes = self.budget.excess_bytes(kind)
        if is_large:
            stalled = memory_budget.choose_for_waiting(claims, excess_bytes)
            self._refuse(stalled)
            if stalled and connection.can_wait and self.budget.may_wait(kind):
                self._wait(connection)
            elif not self.budget.may_wait(kind):
                self._refuse([connection])
            return
        self._refuse(memory_budget.choose_evicted(claims, excess_bytes))

    def relieve_answers(self):
        """Closes connections whose callers take nothing of their answers.

        Those that do take some are closed only if that leaves too much.
        """
        kind = memory_budget.Kind.ANSWERS
        now = clock.now()
        may_wait = self.budget.may_wait(kind)
        if may_wait and now - self._answers_checked_at < ANSWER_CHECK_SECONDS:
            return
        self._answers_checked_at = now
        claims = self._claims(lambda c: c.output, kind)
        if len(claims) < 2:
            return
        if may_wait:
            claims = [claim for claim in claims if claim.stalled_s >= STALLED_ANSWER_SECONDS]
        excess_bytes = self.budget.excess_bytes(kind)
        for connection in memory_budget.choose_evicted(claims, excess_bytes):
            self.record_closed("unread_answers", connection)
            connection.evict()

    # Waiting for room.

    def _wait(self, connection):
        if connection in self._waiting_since:
            return
        self._waiting_since[connection] = clock.now()
        connection.hold_reading()
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(TICK_SECONDS, self._look_after_waiting)

    def forget(self, connection):
        """Removes a connection that has ended."""
        self._waiting_since.pop(connection, None)

    def _look_after_waiting(self):
        self._timer = None
        for kind in {connection.input.kind for connection in self._waiting_since}:
            if self.budget.is_over(kind):
                claims = self._claims(lambda c: c.input, kind)
                excess_bytes = self.budget.excess_bytes(kind)
                self._refuse(memory_budget.choose_for_waiting(claims, excess_bytes))
            self._resume(kind)
        if self._waiting_since:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(TICK_SECONDS, self._look_after_waiting)

    def _resume(self, kind):
        """Reads again from those that wait, the oldest first, as far as there is room.

        Each needs room for a part. The first one is read from also without it if it alone holds
        something.
        """
        room_bytes = self.budget.limit_by_kind[kind] - self.budget.held_by_kind[kind]
        for connection in sorted(self._waiting_since, key=lambda c: c.began_at):
            if connection.input.kind != kind or connection not in self._waiting_since:
                # A connection that was read from may have made others give way.
                continue
            if room_bytes <= 0 and not connection.input.is_alone:
                return
            del self._waiting_since[connection]
            connection.release_reading()
            room_bytes -= 2 * memory_budget.SMALL_REQUEST_BYTES
