"""Runs plain service calls: executes the actions of the state machines of `core.calls`."""

import asyncio
import hashlib
import logging

import orjson

from chiveswitch.core import calls, clock, codes, control_state
from chiveswitch.targets import service_client

log = logging.getLogger("chiveswitch.gateway")

# Timeout of one proposal to control; the state machine proposes again after it.
CONTROL_TIMEOUT_SECONDS = 1.0
# HTTP statuses by which a target states that it is temporarily unable to serve a call.
BUSY_STATUSES = (502, 503, 504)

_THRIFT = control_state.control_thrift
COMMAND_BY_ACTION = {
    calls.OpenIntent: ("open", _THRIFT.OpenIntent),
    calls.ReleaseIntent: ("release", _THRIFT.ReleaseIntent),
    calls.FinishIntent: ("finish", _THRIFT.FinishIntent),
}
# Results after which the command may still be committed, or was refused before it was committed.
UNDECIDED_CODES = (
    *calls.UNCOMMITTED_CODES,
    codes.Code.MAY_HAVE_RUN,
    codes.Code.QUEUE_FULL,
    codes.Code.INTERNAL,
)


class CallRunner:
    """Runs the calls of one gateway, each in a task that outlives its response.

    Attributes:
        core: `gateway.GatewayCore`, which chooses targets and holds the retry budget.
        control: Object with `async propose(struct, deadline, trace) -> Result`, or None.
    """

    def __init__(self, core, control, gateway: str):
        self.core = core
        self.control = control
        self._gateway = gateway
        self._next_operation = 0
        self._open_calls = set()

    def count_open_calls(self) -> int:
        """Returns the number of calls whose state machine is not closed."""
        return len(self._open_calls)

    def tick(self, now: float):
        """Fires the due timers of all calls.

        Args:
            now: Time in seconds of CLOCK_BOOTTIME.
        """
        for call in list(self._open_calls):
            call.tick(now)

    async def run(self, account, key, service, body, traceparent=""):
        """Runs a call.

        Args:
            account: Client account.
            key: The caller's idempotency key, or empty.
            service: `bundles.Service`.
            body: JSON value, sent to the target.
            traceparent: Trace context for the target.

        Returns:
            `calls.Respond`.
        """
        self._next_operation += 1
        content = orjson.dumps([service.name, body], option=orjson.OPT_SORT_KEYS)
        parameters = calls.CallParameters(
            account,
            key or None,
            hashlib.sha256(content).digest(),
            self._gateway,
            f"{self._gateway}-{self._next_operation}",
            service.wait_limit_s,
        )
        if service.repeatable:
            machine = calls.IdempotentCall(
                parameters, lambda now: self.core.spend_retry(account, now)
            )
        elif self.control is None:
            return calls.Respond(
                codes.Code.CONTROL_UNAVAILABLE,
                0,
                b"",
                "This gateway runs without control, which an unrepeatable call needs.",
            )
        else:
            machine = calls.UnrepeatableCall(parameters)
        call = _Call(self, machine, service, body, traceparent)
        self._open_calls.add(call)
        task = asyncio.ensure_future(call.run())
        task.add_done_callback(lambda _task: self._open_calls.discard(call))
        return await asyncio.shield(call.response)


class _Call:
    """A call in progress: its state machine, events, tasks and timers.

    Attributes:
        response: Future of the `calls.Respond`.
    """

    def __init__(self, runner, machine, service, body, traceparent):
        self.response = asyncio.get_running_loop().create_future()
        self._runner = runner
        self._machine = machine
        self._service = service
        self._body = body
        self._traceparent = traceparent
        self._inbox = asyncio.Queue()
        self._task_by_attempt = {}
        self._background_tasks = set()
        self._timer_times = []

    async def run(self):
        """Handles events until the state machine is closed."""
        self._inbox.put_nowait(calls.Begin())
        try:
            while self._machine.state != "closed":
                event = await self._inbox.get()
                for action in self._machine.handle(event, clock.now()):
                    HANDLER_BY_ACTION[type(action)](self, action)
        finally:
            for task in (*self._task_by_attempt.values(), *self._background_tasks):
                task.cancel()
            if not self.response.done():
                self.response.set_result(
                    calls.Respond(
                        codes.Code.MAY_HAVE_RUN, 0, b"", "The gateway abandoned the call."
                    )
                )

    def _start_task(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    def _propose_command(self, action):
        command, struct_class = COMMAND_BY_ACTION[type(action)]
        fields = {name: getattr(action, name) for name in action.__slots__}
        self._start_task(self._propose(command, struct_class(**fields)))

    async def _propose(self, command, struct):
        deadline = clock.now() + CONTROL_TIMEOUT_SECONDS
        result = await self._runner.control.propose(struct, deadline, self._traceparent)
        if result.is_error() and result.error.code in UNDECIDED_CODES:
            self._inbox.put_nowait(calls.ControlAnswerLost(command))
            return
        self._inbox.put_nowait(calls.ControlAnswered(command, result))

    def _connect(self, action):
        # Only a target is chosen here. The client of `_write` connects, checks the deadline, and
        # then writes.
        entry = self._runner.core.choose_service_target(
            self._service.name, action.exclude, clock.now()
        )
        if entry is None:
            self._inbox.put_nowait(calls.NotSent(action.attempt, None))
            return
        self._inbox.put_nowait(calls.Connected(action.attempt, entry.description.id))

    def _write(self, action):
        # The entry may have become stale since the target was chosen.
        address = self._runner.core.usable_address(action.target, clock.now())
        if not address:
            self._inbox.put_nowait(calls.NotSent(action.attempt, action.target))
            return
        task = asyncio.ensure_future(self._send(action, address))
        self._task_by_attempt[action.attempt] = task

    async def _send(self, action, address):
        now = clock.now()
        timeout_s = max(0.05, min(self._service.wait_limit_s, action.deadline - now))
        outcome = await service_client.send_call(
            address,
            self._service.name,
            self._body,
            self._machine.parameters.key or "",
            timeout_s,
            action.deadline,
            self._traceparent,
        )
        statuses = service_client.DeliveryStatus
        if outcome.delivery in (statuses.NOT_SENT, statuses.DEADLINE_PASSED):
            event = calls.NotSent(action.attempt, action.target)
        elif outcome.delivery is statuses.UNKNOWN:
            event = calls.OutcomeLost(action.attempt, action.target)
        elif self._service.repeatable and outcome.status in BUSY_STATUSES:
            event = calls.OutcomeLost(action.attempt, action.target)
        else:
            event = calls.Outcome(action.attempt, outcome.status, outcome.body)
        self._inbox.put_nowait(event)

    def _close_attempt(self, action):
        task = self._task_by_attempt.pop(action.attempt, None)
        if task is not None:
            task.cancel()

    def _set_timer(self, action):
        self._timer_times.append(action.at)

    def tick(self, now):
        """Posts one event for all timers that are due."""
        due = [at for at in self._timer_times if at <= now]
        if due:
            self._timer_times = [at for at in self._timer_times if at > now]
            self._inbox.put_nowait(calls.TimerFired())

    def _respond(self, action):
        if not self.response.done():
            self.response.set_result(action)


HANDLER_BY_ACTION = {
    calls.OpenIntent: _Call._propose_command,
    calls.ReleaseIntent: _Call._propose_command,
    calls.FinishIntent: _Call._propose_command,
    calls.Connect: _Call._connect,
    calls.WriteRequest: _Call._write,
    calls.CloseAttempt: _Call._close_attempt,
    calls.SetTimer: _Call._set_timer,
    calls.Respond: _Call._respond,
}
