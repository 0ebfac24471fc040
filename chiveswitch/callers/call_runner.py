"""Runs plain service calls: drives the decisions of `core.calls` against targets and control."""

import asyncio
import hashlib
import logging

import orjson

from chiveswitch.core import calls, clock, codes, control_state
from chiveswitch.targets import service_client

log = logging.getLogger("chiveswitch.gateway")

# Time of one question to control; the state machine asks again after it.
CONTROL_TIMEOUT_SECONDS = 1.0
# Statuses with which a target says that it could not take a call now.
BUSY_STATUSES = (502, 503, 504)

_THRIFT = control_state.control_thrift
COMMAND_BY_ACTION = {
    calls.OpenIntent: ("open", _THRIFT.OpenIntent),
    calls.ReleaseIntent: ("release", _THRIFT.ReleaseIntent),
    calls.FinishIntent: ("finish", _THRIFT.FinishIntent),
}
# With these answers the command may still be committed, or was refused before it was.
UNDECIDED_CODES = (
    *calls.UNCOMMITTED_CODES,
    codes.Code.MAY_HAVE_RUN,
    codes.Code.QUEUE_FULL,
    codes.Code.INTERNAL,
)


class CallRunner:
    """Runs the calls of one gateway; each call has a task that outlives its response.

    Attributes:
        core: `gateway.GatewayCore`, for the choice of targets and the retry budget.
        control: Object with `async propose(struct, deadline, trace) -> Result`, or None.
    """

    def __init__(self, core, control, gateway: str):
        self.core = core
        self.control = control
        self._gateway = gateway
        self._next_operation = 0
        self._open = set()

    def count_open_calls(self) -> int:
        """Returns the number of calls that are not closed."""
        return len(self._open)

    def tick(self, now: float):
        """Posts the timers of all calls that are due at a time in seconds of CLOCK_BOOTTIME."""
        for call in list(self._open):
            call.tick(now)

    async def run(self, account, key, service, body, traceparent=""):
        """Runs a call.

        Args:
            account: Client account.
            key: The caller's key, or empty.
            service: `bundles.Service`.
            body: JSON value.
            traceparent: Trace context for the target.
        Returns:
            `calls.Respond`.
        """
        self._next_operation += 1
        content = orjson.dumps([service.name, body], option=orjson.OPT_SORT_KEYS)
        settings = calls.CallParameters(
            account,
            key or None,
            hashlib.sha256(content).digest(),
            self._gateway,
            f"{self._gateway}-{self._next_operation}",
            service.wait_limit_s,
        )
        if service.repeatable:
            machine = calls.IdempotentCall(
                settings, lambda now: self.core.spend_retry(account, now)
            )
        elif self.control is None:
            return calls.Respond(
                codes.Code.CONTROL_UNAVAILABLE, 0, b"", "This gateway runs without control."
            )
        else:
            machine = calls.UnrepeatableCall(settings)
        call = _Call(self, machine, service, body, traceparent)
        self._open.add(call)
        task = asyncio.ensure_future(call.run())
        task.add_done_callback(lambda done: self._open.discard(call))
        return await asyncio.shield(call.response)


class _Call:
    """One call in progress.

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
        self._others = set()
        self._timers = []

    async def run(self):
        """Handles events until the machine is closed."""
        self._inbox.put_nowait(calls.Begin())
        try:
            while self._machine.state != "closed":
                event = await self._inbox.get()
                for action in self._machine.handle(event, clock.now()):
                    HANDLER_BY_ACTION[type(action)](self, action)
        finally:
            for task in (*self._task_by_attempt.values(), *self._others):
                task.cancel()
            if not self.response.done():
                self.response.set_result(
                    calls.Respond(codes.Code.MAY_HAVE_RUN, 0, b"", "The call was given up.")
                )

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._others.add(task)
        task.add_done_callback(self._others.discard)

    def _ask_control(self, action):
        command, struct_class = COMMAND_BY_ACTION[type(action)]
        fields = {name: getattr(action, name) for name in action.__slots__}
        self._spawn(self._propose(command, struct_class(**fields)))

    async def _propose(self, command, struct):
        deadline = clock.now() + CONTROL_TIMEOUT_SECONDS
        result = await self._runner.control.propose(struct, deadline, self._traceparent)
        if result.is_error() and result.error.code in UNDECIDED_CODES:
            self._inbox.put_nowait(calls.ControlAnswerLost(command))
            return
        self._inbox.put_nowait(calls.ControlAnswered(command, result))

    def _connect(self, action):
        # The connection is opened with the write, by a client that checks the deadline between.
        entry = self._runner.core.choose_service_target(
            self._service.name, action.exclude, clock.now()
        )
        if entry is None:
            self._inbox.put_nowait(calls.NotSent(action.attempt, None))
            return
        self._inbox.put_nowait(calls.Connected(action.attempt, entry.description.id))

    def _write(self, action):
        # The entry may have become stale since the choice.
        address = self._runner.core.usable_address(action.target, clock.now())
        if not address:
            self._inbox.put_nowait(calls.NotSent(action.attempt, action.target))
            return
        task = asyncio.ensure_future(self._send(action, address))
        self._task_by_attempt[action.attempt] = task

    async def _send(self, action, address):
        now = clock.now()
        timeout = max(0.05, min(self._service.wait_limit_s, action.deadline - now))
        outcome = await service_client.send_call(
            address,
            self._service.name,
            self._body,
            self._machine.parameters.key or "",
            timeout,
            action.deadline,
            self._traceparent,
        )
        fates = service_client.DeliveryStatus
        if outcome.delivery in (fates.NOT_SENT, fates.DEADLINE_PASSED):
            event = calls.NotSent(action.attempt, action.target)
        elif outcome.delivery is fates.UNKNOWN:
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
        self._timers.append(action.at)

    def tick(self, now):
        """Posts the timers that are due."""
        due = [at for at in self._timers if at <= now]
        if due:
            self._timers = [at for at in self._timers if at > now]
            self._inbox.put_nowait(calls.TimerFired())

    def _respond(self, action):
        if not self.response.done():
            self.response.set_result(action)


HANDLER_BY_ACTION = {
    calls.OpenIntent: _Call._ask_control,
    calls.ReleaseIntent: _Call._ask_control,
    calls.FinishIntent: _Call._ask_control,
    calls.Connect: _Call._connect,
    calls.WriteRequest: _Call._write,
    calls.CloseAttempt: _Call._close_attempt,
    calls.SetTimer: _Call._set_timer,
    calls.Respond: _Call._respond,
}
