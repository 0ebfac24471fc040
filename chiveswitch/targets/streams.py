"""Streams of attempts: one task per open attempt reads events from its engine and posts them."""

import asyncio
import functools
import logging

import orjson
from aiosonic import exceptions

from chiveswitch.core import gateway_messages, generation_messages

log = logging.getLogger("chiveswitch.gateway")

# Statuses with which an engine states that it did not run the attempt.
NOT_RUN_STATUSES = (409, 429, 503)


class AttemptStreams:
    """Reads the streams of all open attempts of one gateway.

    Attributes:
        client: `engine_client.EngineClient`.
        post_events: Function that is called with a list of `gateway_messages.FromEngine` events.
    """

    __slots__ = ("client", "post_events", "_task_by_attempt", "_cancel_tasks")

    def __init__(self, client, post_events):
        self.client = client
        self.post_events = post_events
        self._task_by_attempt = {}
        self._cancel_tasks = set()

    def open_stream(self, action, traceparent: str = "", on_end=None):
        """Executes `gateway_messages.OpenStream`.

        Args:
            action: The action to execute.
            traceparent: Trace context for the engine.
            on_end: Function that is called when reading from this connection has ended, or None.
        """
        open_request = functools.partial(
            self.client.start_attempt, action.address, action.body, traceparent
        )
        task = self._start_reading(action.key, action.attempt, 0, open_request)
        if on_end is not None:
            task.add_done_callback(lambda finished_task: on_end())

    def reattach_stream(self, action):
        """Executes `gateway_messages.ReattachStream`."""
        open_request = functools.partial(
            self.client.reattach_attempt, action.address, action.attempt_id, action.offset
        )
        self._start_reading(action.key, action.attempt, action.connection, open_request)

    def cancel_attempt(self, action):
        """Executes `gateway_messages.CancelStream`."""
        self.close_stream(action.key, action.attempt)
        task = asyncio.ensure_future(self._send_cancel(action))
        self._cancel_tasks.add(task)
        task.add_done_callback(self._cancel_tasks.discard)

    def close_stream(self, key, attempt):
        """Closes the connection of an attempt, if one is open."""
        task = self._task_by_attempt.pop((key, attempt), None)
        if task is not None:
            task.cancel()

    def _start_reading(self, key, attempt, connection, open_request):
        # `open_request` is a function instead of a coroutine, because a task that is cancelled
        # before its first step would never await the coroutine.
        self.close_stream(key, attempt)
        task = asyncio.ensure_future(self._read_stream(key, attempt, connection, open_request))
        self._task_by_attempt[key, attempt] = task

        def remove_task(finished_task):
            if self._task_by_attempt.get((key, attempt)) is finished_task:
                del self._task_by_attempt[key, attempt]

        task.add_done_callback(remove_task)
        return task

    async def _send_cancel(self, action):
        if action.address and await self.client.cancel_attempt(action.address, action.attempt_id):
            self._post(action.key, [generation_messages.CancelConfirmed(action.attempt)])

    def _post(self, key, events):
        self.post_events([gateway_messages.FromEngine(key, event) for event in events])

    async def _read_stream(self, key, attempt, connection, open_request):
        failure_kinds = generation_messages.FailureKind
        try:
            stream = await open_request()
        except (ConnectionRefusedError, exceptions.ConnectTimeout):
            self._post_failure(key, attempt, connection, failure_kinds.CONNECTION_REFUSED)
            return
        # After any other error of the library the connection is unusable.
        except Exception as error:
            log.debug("gateway: connection to an engine failed: %r", error)
            self._post_failure(key, attempt, connection, failure_kinds.CLOSED)
            return
        try:
            if stream.status != 200:
                kind = failure_kinds.HTTP_ERROR
                if stream.status == 404:
                    kind = failure_kinds.UNKNOWN_ATTEMPT
                elif stream.status in NOT_RUN_STATUSES:
                    kind = failure_kinds.NOT_RUN
                self._post_failure(key, attempt, connection, kind, stream.status)
                return
            async for batch in stream.read_batches():
                self._post(key, decode_batch(attempt, batch))
        except Exception as error:
            log.debug("gateway: stream from an engine failed: %r", error)
        finally:
            await stream.close()
        self._post_failure(key, attempt, connection, failure_kinds.CLOSED)

    def _post_failure(self, key, attempt, connection, kind, status=0):
        self._post(key, [generation_messages.StreamFailed(attempt, connection, kind, status)])


def decode_batch(attempt: int, batch: list) -> list:
    """Returns the `generation_messages` events for a batch of `sse.Event`.

    Adjacent token events are combined into one.

    Args:
        attempt: Number of the attempt.
        batch: List of `sse.Event`.

    Raises:
        ValueError, KeyError, TypeError: The engine's data violates the protocol.
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
