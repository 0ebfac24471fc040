"""Streams of attempts: one task per open attempt reads its engine and posts what it brought."""

import asyncio
import functools
import logging

import orjson
from aiosonic import exceptions

from chiveswitch.core import gateway_messages, generation_messages

log = logging.getLogger("chiveswitch.gateway")

# Statuses with which an engine says that it did not run the attempt.
NOT_RUN_STATUSES = (409, 429, 503)


class AttemptStreams:
    """Tasks of all open attempts of one gateway.

    Attributes:
        client: `engine_client.EngineClient`.
        post: Function that takes a list of `gateway_messages.FromEngine` events.
    """

    __slots__ = ("client", "post", "_task_by_attempt", "_others")

    def __init__(self, client, post):
        self.client = client
        self.post = post
        self._task_by_attempt = {}
        self._others = set()

    def open_stream(self, action, traceparent: str = "", on_end=None):
        """Executes `gateway_messages.OpenStream`.

        Args:
            action: The action.
            traceparent: Trace context for the engine.
            on_end: Function that is called when this connection has ended, or None.
        """
        opening = functools.partial(
            self.client.start_attempt, action.address, action.body, traceparent
        )
        task = self._start(action.key, action.attempt, 0, opening)
        if on_end is not None:
            task.add_done_callback(lambda done: on_end())

    def reattach_stream(self, action):
        """Executes `gateway_messages.ReattachStream`."""
        opening = functools.partial(
            self.client.reattach_attempt, action.address, action.attempt_id, action.offset
        )
        self._start(action.key, action.attempt, action.link, opening)

    def cancel_attempt(self, action):
        """Executes `gateway_messages.CancelStream`."""
        self.close_stream(action.key, action.attempt)
        task = asyncio.ensure_future(self._cancel(action))
        self._others.add(task)
        task.add_done_callback(self._others.discard)

    def close_stream(self, key, attempt):
        """Closes the connection of an attempt."""
        task = self._task_by_attempt.pop((key, attempt), None)
        if task is not None:
            task.cancel()

    def _start(self, key, attempt, link, opening):
        # `opening` is a function, since the coroutine of a task that is cancelled before its first
        # step would never be awaited.
        self.close_stream(key, attempt)
        task = asyncio.ensure_future(self._read(key, attempt, link, opening))
        self._task_by_attempt[key, attempt] = task

        def forget(done):
            if self._task_by_attempt.get((key, attempt)) is done:
                del self._task_by_attempt[key, attempt]

        task.add_done_callback(forget)
        return task

    async def _cancel(self, action):
        if action.address and await self.client.cancel_attempt(action.address, action.attempt_id):
            self._post(action.key, [generation_messages.CancelConfirmed(action.attempt)])

    def _post(self, key, events):
        self.post([gateway_messages.FromEngine(key, event) for event in events])

    async def _read(self, key, attempt, link, opening):
        kinds = generation_messages.FailureKind
        try:
            stream = await opening()
        except (ConnectionRefusedError, exceptions.ConnectTimeout):
            self._fail(key, attempt, link, kinds.CONNECTION_REFUSED)
            return
        # Every other error of the library means that the connection broke.
        except Exception as error:
            log.debug("gateway: an engine's connection broke: %r", error)
            self._fail(key, attempt, link, kinds.CLOSED)
            return
        try:
            if stream.status != 200:
                kind = kinds.HTTP_ERROR
                if stream.status == 404:
                    kind = kinds.UNKNOWN_ATTEMPT
                elif stream.status in NOT_RUN_STATUSES:
                    kind = kinds.NOT_RUN
                self._fail(key, attempt, link, kind, stream.status)
                return
            async for batch in stream.read_batches():
                self._post(key, convert(attempt, batch))
        except Exception as error:
            log.debug("gateway: an engine's stream broke: %r", error)
        finally:
            await stream.close()
        self._fail(key, attempt, link, kinds.CLOSED)

    def _fail(self, key, attempt, link, kind, status=0):
        self._post(key, [generation_messages.StreamFailed(attempt, link, kind, status)])


def convert(attempt: int, batch: list) -> list:
    """Returns the machine's events for a batch of `sse.Event`; adjacent tokens become one event.

    Raises:
        ValueError, KeyError, TypeError: The engine's data is not of the protocol.
    """
    events = []
    for event in batch:
        if event.name == "tokens":
            data = orjson.loads(event.data)
            offset, tokens = data["o"], data["t"]
            last = events[-1] if events else None
            if (
                type(last) is generation_messages.Tokens
                and last.offset + len(last.tokens) == offset
            ):
                last.tokens.extend(tokens)
                continue
            events.append(generation_messages.Tokens(attempt, offset, tokens))
        elif event.name == "comment":
            events.append(generation_messages.Heartbeat(attempt))
        elif event.name == "start":
            data = orjson.loads(event.data)
            events.append(
                generation_messages.StreamStarted(
                    attempt, data["prefix_length"], data["prefix_digest"]
                )
            )
        elif event.name == "end":
            events.append(
                generation_messages.StreamEnded(attempt, orjson.loads(event.data)["final_offset"])
            )
    return events
