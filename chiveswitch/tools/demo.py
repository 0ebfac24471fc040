"""The demo: runs a whole system in one process and shows its main guarantees.

It shows a generation that resumes after the loss of its engine, a resent unrepeatable call that
runs once, and the roll of a new bundle.
"""

import asyncio
import random
import tempfile

from chiveswitch.callers import client
from chiveswitch.core import clock, digests
from chiveswitch.peers import control_client
from chiveswitch.targets import standin_engine
from chiveswitch.tools import embedded, sample

TOKENS = 150
KILL_AT_TOKENS = 50
START_TIMEOUT_SECONDS = 20.0


def print_line(text: str):
    """Prints one line of the demo."""
    print(text, flush=True)


def expected_tokens(seed: int, prompt: str, count: int) -> list:
    """Returns the tokens that a stand-in engine generates without interruption."""
    digest = digests.PrefixDigest()
    tokens = []
    for _ in range(count):
        tokens.append(standin_engine.next_token(seed, prompt, digest.hexdigest()))
        digest.add(tokens[-1:])
    return tokens


async def wait_until(condition, seconds: float):
    """Polls until `condition()` is true.

    Raises:
        TimeoutError: The condition was still false after `seconds`.
    """
    deadline = clock.now() + seconds
    while not condition():
        if clock.now() > deadline:
            raise TimeoutError
        await asyncio.sleep(0.05)


async def show_generation(caller, engines) -> bool:
    """Streams a generation and kills its engine before the end.

    Returns:
        Whether the engine was killed and the answer still has each token once and in order.
    """
    print_line(f"1. A report of {TOKENS} tokens; its engine is killed at token {KILL_AT_TOKENS}.")
    killed = []

    def on_tokens(answer):
        if killed or len(answer.tokens) < KILL_AT_TOKENS:
            return
        busy = next(engine for engine in engines if engine.engine.running)
        killed.append(busy.name)
        print_line(f"   {len(answer.tokens)} tokens received; killing engine {busy.name}")
        asyncio.ensure_future(busy.kill())

    answer = await caller.generate("report", "survey of the ridge", TOKENS, on_tokens=on_tokens)
    times = [at for at, _ in answer.token_times]
    longest = max(after - before for before, after in zip(times, times[1:], strict=False))
    is_whole = answer.complete and answer.tokens == expected_tokens(
        answer.seed, "survey of the ridge", TOKENS
    )
    print_line(f"   complete: {answer.complete}; each token once and in order: {is_whole}")
    print_line(f"   longest gap between tokens: {longest:.2f} s")
    return is_whole and bool(killed)


async def show_resend(caller, service) -> bool:
    """Makes an unrepeatable call and sends it again under the same key.

    Returns:
        Whether both answers are equal and the call ran once.
    """
    print_line("2. An unrepeatable call, sent again under the same key.")
    status, first = await caller.call("dispatch", {"batch": 12}, key="batch-12")
    print_line(f"   first:  {status} {first}")
    status, second = await caller.call("dispatch", {"batch": 12}, key="batch-12")
    print_line(f"   resend: {status} {second}")
    print_line(f"   runs at the service: {len(service.service.runs)}")
    return first == second and len(service.service.runs) == 1


async def show_roll(control, gateways) -> bool:
    """Rolls the next version of the bundle.

    Returns:
        Whether the roll succeeded.

    Raises:
        TimeoutError: A gateway did not confirm the roll in time.
    """
    print_line("3. The next version of the bundle is written, approved and rolled.")
    started_at = clock.now()
    result = await embedded.roll_sample(control, 2)
    if result.is_error():
        print_line(f"   failed: {result.error}")
        return False
    await wait_until(lambda: all(gateway.core.serial == 2 for gateway, _ in gateways), 6.0)
    print_line(f"   serial 2 is in force on all gateways after {clock.now() - started_at:.2f} s")
    return True


async def run() -> bool:
    """Runs the demo and returns whether all parts passed.

    Raises:
        RuntimeError: Control refused the first bundle.
    """
    with tempfile.TemporaryDirectory(prefix="chiveswitch-demo-") as folder:
        members = await embedded.start_control(folder)
        addresses = [member.address for member in members]
        control = control_client.ControlClient(addresses)
        first_roll = await embedded.roll_sample(control, 1)
        if first_roll.is_error():
            raise RuntimeError(f"the first bundle was refused: {first_roll.error.message}")
        gateways = embedded.start_gateways(embedded.build_gateways(4, ",".join(addresses)))
        callers = [gateway.settings.listen for gateway, _ in gateways]
        engines = [
            embedded.EmbeddedEngine(f"e{number}", sample.ZONES[number], 0.02) for number in range(3)
        ]
        service = embedded.EmbeddedService("s0", sample.ZONES[3], ["stock", "dispatch"])
        for target in (*engines, service):
            await target.start(callers)
        print_line(
            "Starting 3 control members, 4 gateways, 3 engines and 1 service in one process."
        )
        await wait_until(
            lambda: all(
                gateway.core.admission_failure(clock.now()) is None
                and len(gateway.core.directory.usable_targets(clock.now())) == 4
                for gateway, _ in gateways
            ),
            START_TIMEOUT_SECONDS,
        )
        field = client.Client(client.CallerSettings(callers, "field-key"), random.Random(1))
        desk = client.Client(client.CallerSettings(callers, "desk-key"), random.Random(2))
        passed = await show_generation(field, engines)
        passed = await show_resend(desk, service) and passed
        passed = await show_roll(control, gateways) and passed
        # Connections that are still open when the event loop is closed raise in their finalizers.
        for caller in (field, desk):
            await caller.close()
        for target in (*engines, service):
            await target.kill()
        for _, task in gateways:
            task.cancel()
        await asyncio.gather(*(task for _, task in gateways), return_exceptions=True)
        await control.close()
        for member in members:
            await member.close()
    print_line("The demo passed." if passed else "The demo FAILED.")
    return passed


def main(settings):
    """Runs the demo; exits with 1 if a part failed."""
    if not asyncio.run(run()):
        raise SystemExit(1)
