"""Connects a gateway to control: sends its heartbeats and its operations on durable requests."""

import asyncio
import logging
import uuid

from chiveswitch.core import bundles, clock, codes, control_state, headers
from chiveswitch.core import gateway_messages as messages
from chiveswitch.peers import control_client

log = logging.getLogger("chiveswitch.gateway")

wire = control_state.control_thrift

HEARTBEAT_INTERVAL_SECONDS = 1.0
# Timeout of one heartbeat. A longer one would be useless, because the lease of 4 s would expire.
HEARTBEAT_TIMEOUT_SECONDS = 3.0
# Timeout of a request to control; longer than a leader election, which takes up to 2 s.
REQUEST_TIMEOUT_SECONDS = 4.0
FINISH_RETRY_INTERVAL_SECONDS = 1.0
# Maximum number of ends of requests that are sent to control at the same time.
MAX_CONCURRENT_FINISHES = 16
# Maximum number of requests whose generation number is cached until their end. The number of other
# requests is looked up in control.
MAX_CACHED_GENERATIONS = 10_000
# Interval of the lookups of a request whose commit or claim has an unknown outcome, and the number
# of lookups without the request after which it counts as not accepted.
SETTLE_INTERVAL_SECONDS = 2.0
MAX_SETTLE_MISSES = 3
# Maximum time to wait at the stop for ends of requests to be recorded.
CLOSE_TIMEOUT_SECONDS = 3.0


class ControlFeed:
    """Sends a gateway's heartbeats and actions to control and posts the results as events.

    Attributes:
        client: `control_client.ControlClient`.
        peer_addresses: Peer addresses of the live gateways in the last list that control sent.
    """

    def __init__(self, client, core, post):
        """Creates a feed that has not started; `run` sends the heartbeats.

        Args:
            client: `control_client.ControlClient`.
            core: The gateway's `gateway.GatewayCore`, read only.
            post: Function that takes a list of events of `gateway_messages`.
        """
        self.client = client
        self.peer_addresses = []
        self._core = core
        self._post = post
        self._gateways_digest = 0
        self._generation_by_key = {}
        self._tasks = set()
        self._finish_tasks = set()
        self._finish_limit = asyncio.Semaphore(MAX_CONCURRENT_FINISHES)

    async def run(self):
        """Sends heartbeats until the task is cancelled."""
        while True:
            started_at = clock.now()
            await self._send_heartbeat(started_at)
            await asyncio.sleep(max(0.0, started_at + HEARTBEAT_INTERVAL_SECONDS - clock.now()))

    async def close(self):
        """Waits a limited time until the ends of requests are recorded, then stops all tasks."""
        if self._finish_tasks:
            await asyncio.wait(self._finish_tasks, timeout=CLOSE_TIMEOUT_SECONDS)
        for task in self._tasks:
            task.cancel()
        await self.client.close()

    async def _send_heartbeat(self, now):
        own = self._core.directory.own
        beat = control_client.GatewayHeartbeat(
            own.description.id,
            own.description.incarnation,
            own.description.availability_zone,
            own.description.peer_address,
            own.state,
            self._core.serial,
            self._gateways_digest,
        )
        result = await self.client.heartbeat(beat, now + HEARTBEAT_TIMEOUT_SECONDS)
        if result.is_error():
            log.warning(
                "gateway: heartbeat failed, the bundle is not confirmed: %s", result.error.message
            )
            return
        sent_at, answer = result.ok
        if answer.gateways:
            self._gateways_digest = answer.gateways_digest
            self.peer_addresses = [gateway.address for gateway in answer.gateways]
        bundle = None
        if answer.bundle:
            parsed = bundles.parse(answer.bundle)
            if parsed.is_error():
                log.error(
                    "gateway: cannot decode the bundle of serial %s from control", answer.serial
                )
                return
            bundle = parsed.ok
        events = [messages.BundleConfirmed(answer.serial, bundle, sent_at)]
        for adoption in answer.adoptions:
            # Without a header the core looks up the request in control if it finds no journal.
            key = (adoption.account, adoption.request_id)
            events.append(messages.Adopt(key, None, adoption.generation))
        self._post(events)

    def _spawn(self, coroutine, group=None):
        task = asyncio.ensure_future(coroutine)
        for tasks in (self._tasks, group):
            if tasks is not None:
                tasks.add(task)
                task.add_done_callback(tasks.discard)

    # Actions of the gateway.

    def commit_request(self, action):
        """Commits a durable request to control; posts `RequestCommitted`."""
        self._spawn(self._commit(action.key, action.header))

    def find_request(self, action):
        """Looks up a durable request; posts `RequestFound`."""
        self._spawn(self._find(action.key))

    def claim_generation(self, action):
        """Claims the next generation of a durable request; posts `GenerationClaimed`."""
        self._spawn(self._claim(action.key, action.expected))

    def finish_request(self, action):
        """Records the end of a durable request in control; retries until control has decided."""
        generation = self._generation_by_key.pop(action.key, None)
        self._spawn(self._finish(action.key, generation), self._finish_tasks)

    async def _commit(self, key, header):
        account, request_id = key
        holder = self._core.epochs.holder
        record = wire.AcceptRequest(
            account=account, request_id=request_id, body=header, owner=holder
        )
        result = await self.client.propose(record, clock.now() + REQUEST_TIMEOUT_SECONDS)
        failure = None
        if result.is_error():
            failure = result.error
            if failure.code == codes.Code.KEY_REUSED:
                failure = await self._classify_reuse(key, header, failure)
            if failure.code == codes.Code.MAY_HAVE_RUN:
                self._spawn(self._settle(key))
        elif result.ok.owner != holder or result.ok.flag:
            failure = codes.Failure(
                codes.Code.OWNERSHIP_LOST, f"The request is owned by {result.ok.owner}."
            )
        else:
            self._cache_generation(key, result.ok.number)
        self._post([messages.RequestCommitted(key, failure)])

    async def _classify_reuse(self, key, header, failure):
        """Returns the failure to report for a commit that control refused with KEY_REUSED.

        Control compares whole headers, which differ between gateways. The failure stays KEY_REUSED
        if the body that control holds differs. It becomes IN_PROGRESS if another gateway has
        accepted the same body or the earlier request has ended, and MAY_HAVE_RUN if the lookup
        fails.
        """
        found = await self.client.find_request(*key, clock.now() + REQUEST_TIMEOUT_SECONDS)
        if found.is_error():
            return codes.Failure(codes.Code.MAY_HAVE_RUN, failure.message)
        if found.ok.finished or not found.ok.found:
            return codes.Failure(
                codes.Code.IN_PROGRESS, "The request id was used by an earlier request."
            )
        committed, own = headers.decode(found.ok.body), headers.decode(header)
        if committed.is_ok() and committed.ok.body_digest != own.ok.body_digest:
            return failure
        return codes.Failure(codes.Code.IN_PROGRESS, f"The request is owned by {found.ok.owner}.")

    async def _find(self, key):
        found = await self.client.find_request(*key, clock.now() + REQUEST_TIMEOUT_SECONDS)
        header, generation, failure, live_owner = None, 0, None, ""
        if found.is_error():
            # CONTROL_UNAVAILABLE would say that the request did not run, but it may have run.
            failure = codes.Failure(codes.Code.JOURNAL_UNAVAILABLE, found.error.message)
        elif found.ok.finished:
            failure = codes.Failure(
                codes.Code.REQUEST_UNKNOWN, "The request has ended and its answer was dropped."
            )
        elif found.ok.found:
            header, generation = found.ok.body, found.ok.generation
            if found.ok.owner != self._core.epochs.holder:
                live_owner, failure = await self._live_owner(found.ok.owner)
        if failure is not None:
            header = None
        self._post([messages.RequestFound(key, header, generation, failure, live_owner)])

    async def _live_owner(self, holder):
        """Returns (the holder if it may be alive, else an empty string; a failure or None)."""
        result = await self.client.may_live(holder, clock.now() + REQUEST_TIMEOUT_SECONDS)
        if result.is_error():
            return "", codes.Failure(codes.Code.JOURNAL_UNAVAILABLE, result.error.message)
        return (holder if result.ok else ""), None

    async def _claim(self, key, expected):
        account, request_id = key
        record = wire.ClaimGeneration(
            account=account,
            request_id=request_id,
            expected_generation=expected,
            owner=self._core.epochs.holder,
            operation_id=uuid.uuid4().hex,
        )
        result = await self.client.propose(record, clock.now() + REQUEST_TIMEOUT_SECONDS)
        generation, failure = 0, None
        if result.is_error():
            failure = result.error
            if failure.code == codes.Code.MAY_HAVE_RUN:
                self._spawn(self._settle(key))
            elif failure.code == codes.Code.CONTROL_UNAVAILABLE:
                # CONTROL_UNAVAILABLE would say "not run", but an earlier generation may have run.
                failure = codes.Failure(codes.Code.JOURNAL_UNAVAILABLE, failure.message)
        elif result.ok.kind == "claimed":
            generation = result.ok.number
            self._cache_generation(key, generation)
        else:
            failure = codes.Failure(
                codes.Code.REQUEST_UNKNOWN, "The request has ended and its answer was dropped."
            )
        self._post([messages.GenerationClaimed(key, generation, failure)])

    async def _finish(self, key, generation):
        account, request_id = key
        async with self._finish_limit:
            while True:
                if generation is None:
                    # The request was taken over from a journal, which lacks control's number.
                    found = await self.client.find_request(
                        *key, clock.now() + REQUEST_TIMEOUT_SECONDS
                    )
                    if found.is_ok() and (found.ok.finished or not found.ok.found):
                        return
                    generation = found.ok.generation if found.is_ok() else None
                if generation is not None:
                    record = wire.FinishRequest(
                        account=account, request_id=request_id, generation=generation
                    )
                    result = await self.client.propose(
                        record, clock.now() + REQUEST_TIMEOUT_SECONDS
                    )
                    if result.is_ok() or result.error.code not in UNDECIDED_CODES:
                        return
                await asyncio.sleep(FINISH_RETRY_INTERVAL_SECONDS)

    def _cache_generation(self, key, generation):
        self._generation_by_key[key] = generation
        if len(self._generation_by_key) > MAX_CACHED_GENERATIONS:
            del self._generation_by_key[next(iter(self._generation_by_key))]

    async def _settle(self, key):
        """Looks up a request of unknown outcome and adopts it if control holds it for this gateway.

        Control assigns a request to another gateway only when its owner is gone. So this gateway
        itself has to find out whether control holds the request for it.
        """
        missing_count = 0
        while missing_count < MAX_SETTLE_MISSES and key not in self._core.open_by_key:
            await asyncio.sleep(SETTLE_INTERVAL_SECONDS)
            found = await self.client.find_request(*key, clock.now() + REQUEST_TIMEOUT_SECONDS)
            if found.is_error():
                continue
            if not found.ok.found:
                missing_count += 1
                continue
            if found.ok.finished or found.ok.owner != self._core.epochs.holder:
                return
            self._post([messages.Adopt(key, None, found.ok.generation)])


# Codes after which it is unknown whether control has executed a command, so it is sent again.
UNDECIDED_CODES = frozenset((codes.Code.CONTROL_UNAVAILABLE, codes.Code.MAY_HAVE_RUN))


class StaticFeed:
    """Confirms a fixed bundle without control, for `--bundle-file`; refuses durable requests.

    Attributes:
        client: None, because of which unrepeatable calls are refused.
        peer_addresses: Always empty.
    """

    def __init__(self, bundle, post):
        self.client = None
        self.peer_addresses = []
        self._bundle = bundle
        self._post = post

    async def run(self):
        """Confirms the bundle regularly until the task is cancelled."""
        while True:
            self._post([messages.BundleConfirmed(1, self._bundle, clock.now())])
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)

    async def close(self):
        """Does nothing, because there is no connection."""

    def commit_request(self, action):
        """Refuses a durable request."""
        self._post([messages.RequestCommitted(action.key, NO_CONTROL)])

    def find_request(self, action):
        """Posts that the request was not found."""
        self._post([messages.RequestFound(action.key, None, 0, None, "")])

    def claim_generation(self, action):
        """Refuses a claim."""
        self._post([messages.GenerationClaimed(action.key, 0, NO_CONTROL)])

    def finish_request(self, action):
        """Does nothing, because no durable request was accepted."""


NO_CONTROL = codes.Failure(
    codes.Code.CONTROL_UNAVAILABLE, "This gateway runs without control, which this request needs."
)
