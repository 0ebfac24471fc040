"""The gateway daemon: passes events to `core.gateway` and executes the actions it returns."""

import asyncio
import logging
import pathlib
import random
import signal
import uuid

import expression

from chiveswitch.callers import app as callers_app
from chiveswitch.callers import call_runner, readers
from chiveswitch.core import (
    addresses,
    bundles,
    calls,
    clock,
    codes,
    detector,
    directory,
    gateway,
    gateway_settings,
    journal,
    selection,
)
from chiveswitch.core import gateway_messages as messages
from chiveswitch.core import generation_messages, telemetry
from chiveswitch.core import settings as settings_module
from chiveswitch.peers import (
    control_client,
    directory_codec,
    directory_feed,
    frames,
    journal_codec,
    kinds,
    links,
)
from chiveswitch.targets import engine_client, streams
from chiveswitch.tools import gateway_control, serving

log = logging.getLogger("chiveswitch.gateway")

TICK_INTERVAL_SECONDS = 0.025
# Accepted values of --copies: 0 uses the number in the service's settings; 1 is a baseline for
# comparisons.
JOURNAL_COPIES = (0, 1, 3, 5)
# Minimum time between two batches. It is also the longest delay that batching adds to a token.
BATCH_INTERVAL_SECONDS = 0.002
PULL_INTERVAL_SECONDS = 0.4
PULL_PEERS = 2
# Minimum time between two contacts recorded for a journal holder, since each recorded contact is
# gossiped to the other gateways.
CONTACT_INTERVAL_SECONDS = 0.3


class Gateway:
    """One gateway process. Only its main task runs the core; other tasks post events to its inbox.

    Attributes:
        settings: Settings of the command `gateway`.
        core: `gateway.GatewayCore`.
        telemetry: `telemetry.Telemetry`.
    """

    def __init__(self, settings, core_settings=None, rng=None):
        self.settings = settings
        self.telemetry = telemetry.Telemetry(
            "gateway", settings.gateway_id, settings.trace_file, settings.statsd
        )
        self._rng = rng or random.Random()
        description = directory.Description(
            settings.gateway_id,
            "gateway",
            settings.availability_zone,
            settings.listen,
            int(clock.now() * 1000),
            peer_address=settings.peer_listen,
        )
        core_settings = core_settings or gateway_settings.GatewaySettings(
            policy=settings.policy,
            detector=settings.detector,
            journal_copies_override=settings.copies,
            restarts_failed_generations=settings.restart,
            gateway_count=len(settings_module.split_list(settings.peers)),
        )
        self.core = gateway.GatewayCore(core_settings, description, self._rng, clock.now())
        self._inbox = asyncio.Queue()
        self._reader_by_id = {}
        self._span_by_key = {}
        self._reply_by_token = {}
        self._next_token = 0
        self._next_call = 0
        self._calls = call_runner.CallRunner(self.core, None, self.core.epochs.holder)
        self._directory_feed = directory_feed.DirectoryFeed(
            self.core.directory, self._pull_seeds, PULL_INTERVAL_SECONDS, PULL_PEERS, self._rng
        )
        self._streams = streams.AttemptStreams(engine_client.EngineClient(), self.post)
        self._tasks = []
        self._server = None
        self._peer_server = None
        self._control_feed = None

    # Called by the HTTP application.

    def authenticate(self, token: str) -> str:
        """Returns the client account of an API key, or an empty string."""
        return self.core.authenticate(token)

    def has_bundle(self) -> bool:
        """Returns whether the gateway has any bundle; without one, every API key is unknown."""
        return self.core.bundle is not None

    def addresses(self, account: str, caller: str) -> dict:
        """Returns the gateway addresses for a caller.

        Args:
            account: Client account of the caller.
            caller: Address of the caller's connection, `ip:port`.

        Returns:
            The fields of the JSON response.
        """
        answer = addresses.choose_addresses(self.core.directory, account, caller, clock.now())
        return {"addresses": answer.addresses, "valid_seconds": answer.valid_s}

    def announce(self, announcement) -> bytes:
        """Records a target's announcement in the directory and returns the target's next ticket."""
        return self.core.directory.announce(announcement, clock.now())

    def submit(self, account, request_id, is_first_send, body, streamed, traceparent):
        """Posts the submission of a generation and returns its reader.

        Args:
            account: Client account of the caller.
            request_id: Request id, or an empty string to draw one.
            is_first_send: Whether the caller has not sent the request before.
            body: Decoded JSON body with `service`, `prompt` and `max_tokens`.
            streamed: Whether the response is an event stream.
            traceparent: Trace context of the caller, or an empty string.
        """
        request_id = request_id or uuid.UUID(int=self._rng.getrandbits(128)).hex
        key = (account, request_id)
        reader = self._new_reader(key, streamed, "gateway.generate", traceparent, is_first_send)
        event = messages.Submit(
            reader.reader_id,
            account,
            request_id,
            is_first_send,
            body["service"],
            body["prompt"],
            body["max_tokens"],
            streamed,
        )
        self.post([event])
        return reader

    def attach(self, account, request_id, position, streamed, traceparent):
        """Posts that a caller reconnects to a generation and returns the new reader.

        Args:
            account: Client account of the caller.
            request_id: Request id of the generation.
            position: Position after which to continue, as fields of `Attach`.
            streamed: Whether the response is an event stream.
            traceparent: Trace context of the caller, or an empty string.
        """
        key = (account, request_id)
        reader = self._new_reader(key, streamed, "gateway.attach", traceparent)
        event = messages.Attach(reader.reader_id, account, request_id, *position, streamed)
        self.post([event])
        return reader

    def cancel(self, account, request_id):
        """Posts the cancellation of a generation and returns a reader of its outcome."""
        reader = self._new_reader((account, request_id), False, "gateway.cancel", "")
        self.post([messages.Cancel(reader.reader_id, account, request_id)])
        return reader

    async def call(self, account, key, is_first_send, name, body, traceparent):
        """Makes a plain service call and returns its HTTP response.

        Args:
            account: Client account of the caller.
            key: Idempotency key, or an empty string.
            is_first_send: Whether the caller has not sent the call before.
            name: Name of the service.
            body: Body of the call.
            traceparent: Trace context of the caller, or an empty string.
        """
        now = clock.now()
        failure = self.core.permission_failure(account, name, "call")
        if failure is not None:
            return callers_app.failure_response(failure)
        service = self.core.service(name)
        self._next_call += 1
        call_id = self._next_call
        failure = self.core.admit_call(account, service, call_id, now)
        if failure is not None:
            self.telemetry.count(f"refused.{failure.code.name}")
            return callers_app.failure_response(failure, is_first_send or not key)
        span = self.telemetry.span("gateway.call", traceparent, service=name)
        try:
            response = await self._calls.run(
                account, key, service, body, self.telemetry.traceparent(span)
            )
            span.set_attribute("outcome", response.code.name)
        finally:
            self.core.finish_call(call_id)
            span.end()
        self.telemetry.timing("call", clock.now() - now)
        if response.code is not codes.Code.OK:
            self.telemetry.count(f"refused.{response.code.name}")
            covers_all = calls.covers_all_submissions(is_first_send, key, service.repeatable)
            return callers_app.error_response(response.code, response.message, covers_all)
        return callers_app.raw_response(response.body, response.status)

    def status(self) -> dict:
        """Returns the fields that `chiveswitch status` shows for this gateway."""
        now = clock.now()
        core = self.core
        refusal = core.admission_failure(now)
        return {
            "gateway_id": self.settings.gateway_id,
            "availability_zone": self.settings.availability_zone,
            "state": core.directory.own.state,
            "admits": refusal is None,
            "refusal": "" if refusal is None else refusal.code.name,
            "serial": core.serial,
            "open": len(core.open_by_key),
            "journals": len(core.store.journal_by_key),
            "journal_bytes": core.store.charged_bytes,
            "peer_bytes_out": sum(
                link.bytes_out for link in self._directory_feed.link_by_address.values()
            ),
            "targets": [
                {
                    "id": entry.description.id,
                    "state": entry.state,
                    "age_seconds": round(now - entry.created_after, 3),
                    "running": entry.running,
                }
                for entry in core.directory.by_id.values()
            ],
            "counters": dict(self.telemetry.count_by_name),
        }

    def reader_disconnected(self, reader):
        """Removes the reader of a closed connection and reports the disconnect to the core."""
        if self._reader_by_id.pop(reader.reader_id, None) is not None:
            event = generation_messages.ReaderDisconnected(reader.reader_id)
            self.post([messages.FromReader(reader.key, event)])

    def discard_reader(self, reader):
        """Removes a reader whose request was refused."""
        self._reader_by_id.pop(reader.reader_id, None)

    def _new_reader(self, key, streamed, span_name, traceparent, is_first_send=False):
        reader = readers.Reader(
            key, streamed, self._on_reader_read, self.reader_disconnected, is_first_send
        )
        self._reader_by_id[reader.reader_id] = reader
        if key not in self._span_by_key:
            self._span_by_key[key] = self.telemetry.span(span_name, traceparent, request=key[1])
        return reader

    def _on_reader_read(self, reader, position):
        event = generation_messages.ReaderRead(reader.reader_id, *position)
        self.post([messages.FromReader(reader.key, event)])

    # The main task.

    def post(self, events: list):
        """Appends a list of events to the inbox of the main task."""
        self._inbox.put_nowait(events)

    async def run(self, bundle):
        """Starts the servers and runs until the gateway is drained or the task is cancelled.

        The first stop signal starts the drain, a second one ends it at once.

        Args:
            bundle: Bundle to use without control, or None to get bundles from control.
        """
        self._control_feed = self._new_control_feed(bundle)
        self._calls.control = self._control_feed.client
        host, _, port = self.settings.listen.rpartition(":")
        peer_host, _, peer_port = self.settings.peer_listen.rpartition(":")
        self._peer_server = links.Server(
            {
                kinds.Kind.JOURNAL: self._serve_journal,
                kinds.Kind.DIRECTORY_PULL: self._serve_pull,
            }
        )
        await self._peer_server.start(peer_host, int(peer_port))
        self._server = await serving.start(callers_app.build_app(self), host, int(port))
        log.info("gateway: %s listens on %s", self.settings.gateway_id, self.settings.listen)
        loop = asyncio.get_running_loop()
        for coroutine in (self._tick(), self._directory_feed.run(), self._control_feed.run()):
            self._tasks.append(asyncio.ensure_future(coroutine))
        main = asyncio.ensure_future(self._main())
        drained = loop.create_future()
        signal_count = 0

        def on_signal():
            nonlocal signal_count
            signal_count += 1
            if signal_count == 1:
                log.info("gateway: draining after a stop signal")
                self.post([messages.Drain()])
            elif not drained.done():
                drained.set_result(False)

        if self.settings.handle_signals:
            for number in (signal.SIGTERM, signal.SIGINT):
                loop.add_signal_handler(number, on_signal)
        try:
            while not drained.done():
                if self.core.is_drained(clock.now()) and not self._calls.count_open_calls():
                    drained.set_result(True)
                done, _ = await asyncio.wait(
                    [main, drained], timeout=0.1, return_when=asyncio.FIRST_COMPLETED
                )
                if main in done:
                    main.result()
            if not drained.result():
                self._server.force_exit = True
                log.warning(
                    "gateway: second stop signal, aborted %s open generations",
                    len(self.core.open_by_key),
                )
        finally:
            main.cancel()
            await self.close()
        log.info("gateway: stopped")

    async def close(self):
        """Stops all tasks and servers.

        Callers may still read the ends of their responses, unless the stop is forced.
        """
        for task in self._tasks:
            task.cancel()
        await self._control_feed.close()
        await self._directory_feed.close()
        await serving.stop(self._server, serving.LAST_RESPONSES_SECONDS)
        await self._peer_server.close()
        await self._streams.client.close()
        self.telemetry.close()

    async def _main(self):
        next_batch_at = 0.0
        while True:
            events = await self._inbox.get()
            # Engines produce tokens at different moments. The wait lets one batch, with its frames
            # and writes, carry the tokens of several engines.
            delay = next_batch_at - clock.now()
            if delay > 0:
                await asyncio.sleep(delay)
            next_batch_at = clock.now() + BATCH_INTERVAL_SECONDS
            # All queued events are handled as one batch, with one journal frame per holder.
            events = list(events)
            while not self._inbox.empty():
                events.extend(self._inbox.get_nowait())
            now = clock.now()
            messages_by_holder = {}
            for event in events:
                for action in self.core.handle(event, now):
                    if type(action) is messages.SendJournal:
                        messages_by_holder.setdefault(action.holder, []).append(action.message)
                        continue
                    HANDLER_BY_ACTION[type(action)](self, action)
            for holder, journal_messages in messages_by_holder.items():
                self._send_journal(holder, journal_messages)

    async def _tick(self):
        heartbeat_at = 0.0
        while True:
            await asyncio.sleep(TICK_INTERVAL_SECONDS)
            self.post([messages.Tick()])
            now = clock.now()
            self._calls.tick(now)
            if now >= heartbeat_at:
                heartbeat_at = now + readers.HEARTBEAT_SECONDS / 2
                # Refreshes the load but keeps the state: the core sets `draining`, which is final.
                own = self.core.directory.own
                self.core.directory.set_own_state(own.state, len(self.core.open_by_key), 0)
                for reader in list(self._reader_by_id.values()):
                    reader.send_heartbeat(now)

    # Journals.

    def _send_journal(self, holder, journal_messages):
        gateway_id, _, incarnation = holder.rpartition(".")
        entry = self.core.directory.by_id.get(gateway_id)
        if entry is None or str(entry.description.incarnation) != incarnation:
            return
        appends = [message for message in journal_messages if type(message) is journal.Append]
        encoded = []
        if appends:
            batch = journal.AppendBatch(self.core.epochs.holder, appends)
            encoded.append(journal_codec.encode(batch))
        for message in journal_messages:
            if type(message) is not journal.Append:
                encoded.append(journal_codec.encode(message))
        frame = frames.encode_struct(
            frames.idl.JournalFrame(to=holder, sender=self.core.epochs.holder, messages=encoded)
        )
        future = asyncio.get_running_loop().create_future()
        link = self._directory_feed.link(entry.description.peer_address)
        if (
            link.post(kinds.Kind.JOURNAL, frame, self._journal_trace(journal_messages), future)
            is None
        ):
            return
        sent_at = clock.now()
        future.add_done_callback(lambda done: self._on_journal_reply(holder, sent_at, done))

    def _journal_trace(self, journal_messages):
        """Returns the trace context of the first journal that the messages install or take over."""
        for message in journal_messages:
            if type(message) not in (journal.Install, journal.Promise):
                continue
            span = self._span_by_key.get(message.key)
            if span is not None:
                return self.telemetry.traceparent(span)
        return ""

    def _on_journal_reply(self, holder, sent_at, future):
        if future.cancelled() or future.result().is_error():
            return
        gateway_id, _, incarnation = holder.rpartition(".")
        # Pulls alone are too rare to confirm within 1.2 s that a holder is alive.
        if self.core.directory.age(gateway_id, sent_at) > CONTACT_INTERVAL_SECONDS:
            self.core.directory.record_contact(gateway_id, int(incarnation), sent_at)
        replies = decode_journal(future.result().ok, holder)
        if replies:
            self.post([messages.JournalReceived(holder, replies)])

    def _serve_journal(self, payload, trace):
        result = frames.decode_struct(frames.idl.JournalFrame(), payload)
        if result.is_error():
            return result
        if result.ok.to != self.core.epochs.holder:
            return codes.failure(
                codes.Code.LINK_CLOSED,
                f"This gateway is {self.core.epochs.holder}, not {result.ok.to}.",
            )
        received = []
        for data in result.ok.messages or []:
            decoded = journal_codec.decode(data)
            if decoded.is_error():
                log.warning(
                    "gateway: dropped an undecodable journal message: %s", decoded.error.message
                )
                continue
            received.append(decoded.ok)
        self._next_token += 1
        future = asyncio.get_running_loop().create_future()
        self._reply_by_token[self._next_token] = future
        if trace:
            # Frames that install or take over a journal carry a trace; frames of tokens do not.
            span = self.telemetry.span("gateway.journal", trace)
            future.add_done_callback(lambda done: span.end())
        self.post([messages.JournalRequest(self._next_token, received)])
        return future

    def _send_journal_replies(self, action):
        future = self._reply_by_token.pop(action.token)
        if future.done():
            return
        encoded = [journal_codec.encode(reply) for reply in action.messages]
        frame = frames.idl.JournalFrame(to="", sender=self.core.epochs.holder, messages=encoded)
        future.set_result(frames.encode_ok(frame))

    # Directory.

    def _pull_seeds(self):
        return settings_module.split_list(self.settings.peers) + self._control_feed.peer_addresses

    def _serve_pull(self, payload, _trace):
        result = directory_codec.decode_request(payload)
        if result.is_error():
            return result
        answer = self.core.directory.answer_pull(result.ok, clock.now())
        return codes.ok(directory_codec.encode_answer(answer))

    # Control.

    def _new_control_feed(self, bundle):
        if bundle is not None:
            return gateway_control.StaticFeed(bundle, self.post)
        addresses = settings_module.split_list(self.settings.control)
        client = control_client.ControlClient(addresses)
        return gateway_control.ControlFeed(client, self.core, self.post)

    # Actions.

    def _reader_generation(self, action):
        reader = self._reader_by_id.get(action.reader)
        if reader is not None:
            reader.send_generation(action.name, action.seed)

    def _reader_tokens(self, action):
        reader = self._reader_by_id.get(action.reader)
        if reader is not None:
            reader.send_tokens(action.name, action.generation, action.offset, action.tokens)

    def _reader_end(self, action):
        reader = self._reader_by_id.pop(action.reader, None)
        if reader is not None:
            reader.send_end(action.name, action.final_offset)

    def _reader_fail(self, action):
        reader = self._reader_by_id.pop(action.reader, None)
        if reader is None:
            return
        self.telemetry.count(f"refused.{action.code.name}")
        reader.fail(action.code, action.message)
        if reader.key not in self.core.open_by_key:
            self._end_span(reader.key, action.code.name)

    def _open_stream(self, action):
        span = self._span_by_key.get(action.key)
        traceparent = ""
        if span is not None:
            attempt = self.telemetry.span(
                "gateway.attempt", self.telemetry.traceparent(span), attempt=action.attempt
            )
            traceparent = self.telemetry.traceparent(attempt)
        self._streams.open_stream(action, traceparent, None if span is None else attempt.end)

    def _reattach_stream(self, action):
        self._add_span_event(action.key, "reattach")
        self._streams.reattach_stream(action)

    def _cancel_stream(self, action):
        self._streams.cancel_attempt(action)

    def _count_metrics(self, action):
        for name, amount in action.amount_by_name.items():
            self.telemetry.count(name, amount)

    def _record_note(self, action):
        self._add_span_event(action.key, action.name)
        if action.key in self._span_by_key and action.name == "OK":
            self._end_span(action.key, action.name)

    def _add_span_event(self, key, name):
        span = self._span_by_key.get(key)
        if span is not None:
            span.add_event(name)

    def _end_span(self, key, outcome):
        span = self._span_by_key.pop(key, None)
        if span is not None:
            span.set_attribute("outcome", outcome)
            span.end()

    def _commit_request(self, action):
        self._control_feed.commit_request(action)

    def _find_request(self, action):
        self._control_feed.find_request(action)

    def _claim_generation(self, action):
        self._control_feed.claim_generation(action)

    def _finish_request(self, action):
        self._control_feed.finish_request(action)


def decode_journal(payload: bytes, holder: str) -> list:
    """Returns the journal messages of a holder's reply frame.

    Messages that cannot be decoded are skipped; a frame of another sender yields none.
    """
    result = frames.decode_struct(frames.idl.JournalFrame(), payload)
    if result.is_error() or result.ok.sender != holder:
        return []
    decoded = [journal_codec.decode(data) for data in result.ok.messages or []]
    return [each.ok for each in decoded if each.is_ok()]


HANDLER_BY_ACTION = {
    messages.JournalReplies: Gateway._send_journal_replies,
    messages.OpenStream: Gateway._open_stream,
    messages.ReattachStream: Gateway._reattach_stream,
    messages.CancelStream: Gateway._cancel_stream,
    messages.ReaderGeneration: Gateway._reader_generation,
    messages.ReaderTokens: Gateway._reader_tokens,
    messages.ReaderEnd: Gateway._reader_end,
    messages.ReaderFail: Gateway._reader_fail,
    messages.CommitRequest: Gateway._commit_request,
    messages.FindRequest: Gateway._find_request,
    messages.ClaimGeneration: Gateway._claim_generation,
    messages.FinishRequest: Gateway._finish_request,
    messages.Count: Gateway._count_metrics,
    messages.Note: Gateway._record_note,
}


def check(settings) -> list:
    """Returns the errors of the settings that are checked against registries or files."""
    errors = []
    for name, registry in (
        ("policy", selection.POLICY_BY_NAME),
        ("detector", detector.DETECTOR_BY_NAME),
    ):
        value = getattr(settings, name)
        if value not in registry:
            message = f"unknown value {value!r}; accepted are: {', '.join(sorted(registry))}"
            errors.append(settings_module.setting_failure(name, message))
    if settings.copies not in JOURNAL_COPIES:
        message = f"unknown value {settings.copies}; accepted are: {JOURNAL_COPIES}"
        errors.append(settings_module.setting_failure("copies", message))
    if settings.statsd:
        errors += settings_module.address_error("statsd", settings.statsd)
    if settings.bundle_file:
        errors += read_bundle(settings.bundle_file).swap().default_value([])
    return errors


def read_bundle(path: str) -> expression.Result:
    """Returns Ok with the bundle in a file, or an error with the list of failures."""
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        return expression.Error([settings_module.setting_failure("bundle-file", str(error))])
    parsed = bundles.parse(data)
    if parsed.is_ok():
        return parsed
    return expression.Error(
        [settings_module.setting_failure("bundle-file", repr(each)) for each in parsed.error]
    )


async def run(settings, bundle):
    """Runs a gateway until it is drained; without control if a bundle is given."""
    await Gateway(settings).run(bundle)


def main(settings):
    """Runs the gateway daemon until it is drained."""
    bundle = None
    if settings.bundle_file:
        bundle = read_bundle(settings.bundle_file).ok
    asyncio.run(run(settings, bundle))
