"""Connects a gateway's decisions to control: heartbeats and the durable requests."""

import asyncio
import logging
import uuid

from chiveswitch.core import bundles, clock, codes, control_state, headers
from chiveswitch.core import gateway_messages as messages
from chiveswitch.peers import control_client

log = logging.getLogger("chiveswitch.gateway")

wire = control_state.control_thrift

HEARTBEAT_SECONDS = 1.0
# A heartbeat is tried until the lease of 4 s would be over anyway.
HEARTBEAT_DEADLINE_SECONDS = 3.0
# Longer than the election of a new leader, which takes up to 2 s.
REQUEST_SECONDS = 4.0
FINISH_RETRY_SECONDS = 1.0
MAX_FINISHING = 16
# Generations of which the number is remembered for their end; others are looked up.
MAX_REMEMBERED = 10_000
SETTLE_SECONDS = 2.0
SETTLE_MISSING = 3
CLOSE_SECONDS = 3.0


class ControlFeed:
    """Posts events of control to a gateway and executes the gateway's actions towards control.

    Attributes:
        client: `control_client.ControlClient`.
        peer_addresses: Addresses of the other live gateways, as control knows them.
    """

    def __init__(self, client, core, post):
        """Prepares the connection; `run` starts the heartbeats.

        Args:
            client: `control_client.ControlClient`.
            core: The gateway's `gateway.GatewayCore`, read only.
            post: Function that takes a list of events of `gateway_messages`.
        """
        self.client = client
        self.peer_addresses = []
        self._core = core
        self._post = post
        self._known_gateways = 0
        self._generation_by_key = {}
        self._tasks = set()
        self._finishing = set()
        self._finish_limit = asyncio.Semaphore(MAX_FINISHING)

    async def run(self):
        """Sends heartbeats until it is cancelled."""
        while True:
            started_at = clock.now()
            await self._beat(started_at)
            await asyncio.sleep(max(0.0, started_at + HEARTBEAT_SECONDS - clock.now()))

    async def close(self):
        """Waits a short time for the ends of requests to be recorded, then stops."""
        if self._finishing:
            await asyncio.wait(self._finishing, timeout=CLOSE_SECONDS)
        for task in self._tasks:
            task.cancel()
        await self.client.close()

    async def _beat(self, now):
        own = self._core.directory.own
        beat = control_client.GatewayHeartbeat(
            own.description.id,
            own.description.incarnation,
            own.description.availability_zone,
            own.description.peer_address,
            own.state,
            self._core.serial,
            self._known_gateways,
        )
        result = await self.client.heartbeat(beat, now + HEARTBEAT_DEADLINE_SECONDS)
        if result.is_error():
            log.warning("gateway: control did not confirm the bundle: %s", result.error.message)
            return
        asked_at, answer = result.ok
        if answer.gateways:
            self._known_gateways = answer.gateways_digest
            self.peer_addresses = [each.address for each in answer.gateways]
        bundle = None
        if answer.bundle:
            parsed = bundles.parse(answer.bundle)
            if parsed.is_error():
                log.error("gateway: bundle of serial %s is not usable", answer.serial)
                return
            bundle = parsed.ok
        events = [messages.BundleConfirmed(answer.serial, bundle, asked_at)]
        for each in answer.adoptions:
            # The core reads the request's body itself if it finds no journal.
            key = (each.account, each.request_id)
            events.append(messages.Adopt(key, None, each.generation))
        self._post(events)

    def _spawn(self, coroutine, group=None):
        task = asyncio.ensure_future(coroutine)
        for tasks in (self._tasks, group):
            if tasks is not None:
                tasks.add(task)
                task.add_done_callback(tasks.discard)

    # Actions of the gateway.

    def commit_request(self, action):
        """Has control hold a durable request; posts `RequestCommitted`."""
        self._spawn(self._commit(action.key, action.header))

    def find_request(self, action):
        """Looks up a durable request; posts `RequestFound`."""
        self._spawn(self._find(action.key))

    def claim_generation(self, action):
        """Claims the next generation of a durable request; posts `GenerationClaimed`."""
        self._spawn(self._claim(action.key, action.expected))

    def finish_request(self, action):
        """Records the end of a durable request, and tries again until that is done."""
        generation = self._generation_by_key.pop(action.key, None)
        self._spawn(self._finish(action.key, generation), self._finishing)

    async def _commit(self, key, header):
        account, request_id = key
        holder = self._core.epochs.holder
        record = wire.AcceptRequest(
            account=account, request_id=request_id, body=header, owner=holder
        )
        result = await self.client.propose(record, clock.now() + REQUEST_SECONDS)
        failure = None
        if result.is_error():
            failure = result.error
            if failure.code == codes.Code.KEY_REUSED:
                failure = await self._reused(key, header, failure)
            if failure.code == codes.Code.MAY_HAVE_RUN:
                self._spawn(self._settle(key))
        elif result.ok.owner != holder or result.ok.flag:
            failure = codes.Failure(
                codes.Code.OWNERSHIP_LOST, f"The request is owned by {result.ok.owner}."
            )
        else:
            self._remember(key, result.ok.number)
        self._post([messages.RequestCommitted(key, failure)])

    async def _reused(self, key, header, failure):
        """Tells a request of another body from one that another gateway accepted meanwhile."""
        found = await self.client.find_request(*key, clock.now() + REQUEST_SECONDS)
        if found.is_error():
            return codes.Failure(codes.Code.MAY_HAVE_RUN, failure.message)
        if found.ok.finished or not found.ok.found:
            return codes.Failure(codes.Code.IN_PROGRESS, "The request id was used before.")
        committed, own = headers.decode(found.ok.body), headers.decode(header)
        if committed.is_ok() and committed.ok.body_digest != own.ok.body_digest:
            return failure
        return codes.Failure(codes.Code.IN_PROGRESS, f"The request is owned by {found.ok.owner}.")

    async def _find(self, key):
        found = await self.client.find_request(*key, clock.now() + REQUEST_SECONDS)
        header, generation, failure = None, 0, None
        if found.is_error():
            # The request may have run, so that CONTROL_UNAVAILABLE, which denies it, is wrong.
            failure = codes.Failure(codes.Code.JOURNAL_UNAVAILABLE, found.error.message)
        elif found.ok.finished:
            failure = codes.Failure(
                codes.Code.REQUEST_UNKNOWN, "The request has ended and its answer was dropped."
            )
        elif found.ok.found:
            header, generation = found.ok.body, found.ok.generation
        self._post([messages.RequestFound(key, header, generation, failure)])

    async def _claim(self, key, expected):
        account, request_id = key
        record = wire.ClaimGeneration(
            account=account,
            request_id=request_id,
            expected_generation=expected,
            owner=self._core.epochs.holder,
            operation_id=uuid.uuid4().hex,
        )
        result = await self.client.propose(record, clock.now() + REQUEST_SECONDS)
        generation, failure = 0, None
        if result.is_error():
            failure = result.error
            if failure.code == codes.Code.MAY_HAVE_RUN:
                self._spawn(self._settle(key))
            elif failure.code == codes.Code.CONTROL_UNAVAILABLE:
                # An earlier generation may have run.
                failure = codes.Failure(codes.Code.JOURNAL_UNAVAILABLE, failure.message)
        elif result.ok.kind == "claimed":
            generation = result.ok.number
            self._remember(key, generation)
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
                    # Taken over from a journal, which does not hold control's number.
                    found = await self.client.find_request(*key, clock.now() + REQUEST_SECONDS)
                    if found.is_ok() and (found.ok.finished or not found.ok.found):
                        return
                    generation = found.ok.generation if found.is_ok() else None
                if generation is not None:
                    record = wire.FinishRequest(
                        account=account, request_id=request_id, generation=generation
                    )
                    result = await self.client.propose(record, clock.now() + REQUEST_SECONDS)
                    if result.is_ok() or result.error.code not in UNDECIDED:
                        return
                await asyncio.sleep(FINISH_RETRY_SECONDS)

    def _remember(self, key, generation):
        self._generation_by_key[key] = generation
        if len(self._generation_by_key) > MAX_REMEMBERED:
            del self._generation_by_key[next(iter(self._generation_by_key))]

    async def _settle(self, key):
        """Runs a request that control may hold for this gateway without this gateway knowing.

        Control assigns a request to another gateway only when its owner is gone, so that the owner
        itself must find out.
        """
        missing = 0
        while missing < SETTLE_MISSING and key not in self._core.open_by_key:
            await asyncio.sleep(SETTLE_SECONDS)
            found = await self.client.find_request(*key, clock.now() + REQUEST_SECONDS)
            if found.is_error():
                continue
            if not found.ok.found:
                missing += 1
                continue
            if found.ok.finished or found.ok.owner != self._core.epochs.holder:
                return
            self._post([messages.Adopt(key, None, found.ok.generation)])


UNDECIDED = frozenset((codes.Code.CONTROL_UNAVAILABLE, codes.Code.MAY_HAVE_RUN))


class StaticFeed:
    """Confirms one bundle without control, for tests; durable requests are refused.

    Attributes:
        client: None, so that unrepeatable calls are refused.
        peer_addresses: Always empty.
    """

    def __init__(self, bundle, post):
        self.client = None
        self.peer_addresses = []
        self._bundle = bundle
        self._post = post

    async def run(self):
        """Confirms the bundle until it is cancelled."""
        while True:
            self._post([messages.BundleConfirmed(1, self._bundle, clock.now())])
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def close(self):
        """Does nothing."""

    def commit_request(self, action):
        """Refuses a durable request."""
        self._post([messages.RequestCommitted(action.key, NO_CONTROL)])

    def find_request(self, action):
        """Finds nothing."""
        self._post([messages.RequestFound(action.key, None, 0, None)])

    def claim_generation(self, action):
        """Refuses a claim."""
        self._post([messages.GenerationClaimed(action.key, 0, NO_CONTROL)])

    def finish_request(self, action):
        """Does nothing, because no durable request was accepted."""


NO_CONTROL = codes.Failure(codes.Code.CONTROL_UNAVAILABLE, "There is no control.")
