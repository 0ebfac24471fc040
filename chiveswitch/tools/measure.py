"""The measuring tool: runs systems of real processes under faults and reports what callers saw."""

import asyncio
import os
import pathlib
import sys

from chiveswitch.core import clock
from chiveswitch.core import settings as settings_module
from chiveswitch.tools import measure_check, measure_load, measure_report, measure_settings
from chiveswitch.tools import measure_driver, measure_scaling, measure_system

FINISH_TIMEOUT_SECONDS = 90.0


async def run_round(settings, name: str, round_number: int, folder: pathlib.Path) -> dict:
    """Runs one round of a setting.

    Args:
        settings: The command's settings.
        name: Name of the compared setting.
        round_number: Number of the round, which changes the seed.
        folder: Folder for the logs of the processes.
    Returns:
        The round's figures; see `analyse`.
    """
    flags = measure_settings.FLAGS_BY_SETTING.get(name, ())
    kinds = settings_module.split_list(settings.faults)
    if name == measure_settings.UNDISTURBED:
        kinds = []
    system = measure_system.System(settings, folder / f"{name}-{round_number}", flags)
    try:
        await system.wait_ready()
        load_average = os.getloadavg()[0]
        callers = [part.address for part in system.parts("gateway")]
        load = measure_load.Load(
            settings.seed + round_number, str(round_number), callers, settings.streams
        )
        began = clock.now()
        until = began + settings.seconds
        running = asyncio.ensure_future(load.run(until))
        faults = await measure_load.apply_faults(system, load, kinds, settings, until)
        async with asyncio.timeout(settings.seconds + FINISH_TIMEOUT_SECONDS):
            await running
        for part in system.part_by_name.values():
            await system.take_use(part)
        return analyse(system, load, faults, clock.now() - began, load_average)
    finally:
        await system.close()


def analyse(system, load, faults, seconds: float, load_average: float) -> dict:
    """Returns the figures of a round as JSON.

    Args:
        system: The `measure_system.System`, of which the use of every part was taken.
        load: The finished `measure_load.Load`.
        faults: List of `measure_load.Fault`.
        seconds: Duration of the round.
        load_average: Load average of the machine before the round.
    """
    errors_by_kind = {}
    gaps, first_token, delivered = [], [], 0
    for work in load.works:
        answer = work.answer
        found = measure_check.token_errors(
            answer.tokens, answer.seed, work.prompt, work.max_tokens, answer.complete
        )
        if answer.errors:
            found["protocol"] = len(answer.errors)
        for kind, count in found.items():
            errors_by_kind[kind] = errors_by_kind.get(kind, 0) + count
        rising = measure_check.progress(answer.token_times)
        delivered += sum(count for _, count in rising)
        gaps.extend(measure_check.token_gaps(answer.token_times))
        if rising:
            first_token.append(rising[0][0] - work.begun_at)
    return {
        "seconds": seconds,
        "load_average": load_average,
        "generations": len(load.works),
        "complete": sum(work.answer.complete for work in load.works),
        "restarts": sum(work.answer.restarts for work in load.works),
        "reconnects": sum(work.answer.reconnects for work in load.works),
        "token_errors": errors_by_kind,
        "refusals": load.refusals_by_code,
        "delivered": delivered,
        "bytes_to_callers": sum(caller.bytes_in for caller in load.callers),
        "gaps": gaps,
        "first_token": first_token,
        "faults": [_fault_figures(fault) for fault in faults],
        "gateways": {part.name: _part_figures(part) for part in system.parts("gateway")},
        "engines": {part.name: _part_figures(part) for part in system.parts("engine")},
    }


def _part_figures(part):
    return {**part.use, "memory": part.memory}


def _fault_figures(fault):
    latencies, raws, lost = [], [], 0
    for work in fault.works:
        latency, raw = measure_check.gap_around(work.answer.token_times, fault.at)
        if latency is None:
            # A stream that was at its last token is complete and waited for nothing.
            lost += not work.answer.complete
            continue
        latencies.append(latency)
        raws.append(raw)
    others = [measure_check.gap_around(work.answer.token_times, fault.at) for work in fault.others]
    return {
        "kind": fault.kind,
        "part": fault.part,
        "at": fault.at,
        "latencies": latencies,
        "raw": raws,
        "lost": lost,
        "others": [latency for latency, _ in others if latency is not None],
    }


async def run(settings) -> dict:
    """Runs all rounds, in which the settings take turns.

    Returns:
        List of round figures by setting.
    """
    folder = pathlib.Path(settings.results)
    names = settings_module.split_list(settings.compare)
    rounds_by_setting = {}
    for number in range(settings.rounds):
        for name in names:
            figures = await run_round(settings, name, number, folder / "logs")
            rounds_by_setting.setdefault(name, []).append(figures)
            # A long run that fails later keeps what it has measured.
            summary = measure_report.summarise(rounds_by_setting, settings)
            measure_report.write(folder, summary, rounds_by_setting)
            print(
                f"measure: {name} round {number}: {figures['complete']} of "
                f"{figures['generations']} complete, token errors {figures['token_errors']}",
                file=sys.stderr,
                flush=True,
            )
    return rounds_by_setting


def main(settings) -> int:
    """Runs the tool.

    Returns:
        1 if any token error was found, else 0.
    """
    if settings.driver_plan:
        return measure_driver.main(settings.driver_plan)
    folder = pathlib.Path(settings.results)
    folder.mkdir(parents=True, exist_ok=True)
    if settings.streams_per_core:
        return measure_scaling.main(settings, folder)
    rounds_by_setting = asyncio.run(run(settings))
    summary = measure_report.summarise(rounds_by_setting, settings)
    print(measure_report.markdown(summary))
    return int(any(figures["token_errors"] for figures in summary["settings"].values()))
