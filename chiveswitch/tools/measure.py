"""The measuring tool: runs systems of real processes under faults and reports what callers saw.

Each round starts a new system with one setting, puts load on it and injects faults.
"""

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
    """Runs one round with a new system.

    Args:
        settings: The command's settings.
        name: Name of the compared setting.
        round_number: Number of the round, which is added to the seed.
        folder: Folder for the logs of the processes.
    Returns:
        The round's figures; see `analyse_round`.
    """
    flags = measure_settings.FLAGS_BY_SETTING.get(name, ())
    kinds = settings_module.split_list(settings.faults)
    if name == measure_settings.UNDISTURBED:
        kinds = []
    system = measure_system.System(settings, folder / f"{name}-{round_number}", flags)
    try:
        await system.wait_ready()
        load_average = os.getloadavg()[0]
        callers = [instance.address for instance in system.instances("gateway")]
        load = measure_load.LoadGenerator(
            settings.seed + round_number, str(round_number), callers, settings.streams
        )
        began = clock.now()
        until = began + settings.seconds
        running = asyncio.ensure_future(load.run(until))
        faults = await measure_load.inject_faults(system, load, kinds, settings, until)
        async with asyncio.timeout(settings.seconds + FINISH_TIMEOUT_SECONDS):
            await running
        for instance in system.instance_by_name.values():
            await system.collect_usage(instance)
        return analyse_round(system, load, faults, clock.now() - began, load_average)
    finally:
        await system.close()


def analyse_round(system, load, faults, seconds: float, load_average: float) -> dict:
    """Returns the figures of a round as JSON.

    Args:
        system: The `measure_system.System`, after the usage of every instance was collected.
        load: The finished `measure_load.LoadGenerator`.
        faults: List of `measure_load.Fault`.
        seconds: Duration of the round.
        load_average: Load average of the machine before the round.
    """
    errors_by_kind = {}
    gaps, first_token, delivered = [], [], 0
    for request in load.requests:
        answer = request.answer
        found = measure_check.count_token_errors(
            answer.tokens, answer.seed, request.prompt, request.max_tokens, answer.complete
        )
        if answer.errors:
            found["protocol"] = len(answer.errors)
        for kind, count in found.items():
            errors_by_kind[kind] = errors_by_kind.get(kind, 0) + count
        progress = measure_check.find_progress(answer.token_times)
        delivered += sum(count for _, count in progress)
        gaps.extend(measure_check.find_token_gaps(answer.token_times))
        if progress:
            first_token.append(progress[0][0] - request.started_at)
    return {
        "seconds": seconds,
        "load_average": load_average,
        "generations": len(load.requests),
        "complete": sum(request.answer.complete for request in load.requests),
        "restarts": sum(request.answer.restarts for request in load.requests),
        "reconnects": sum(request.answer.reconnects for request in load.requests),
        "token_errors": errors_by_kind,
        "refusals": load.refusals_by_code,
        "delivered": delivered,
        "bytes_to_callers": sum(caller.bytes_in for caller in load.callers),
        "gaps": gaps,
        "first_token": first_token,
        "faults": [_fault_figures(fault) for fault in faults],
        "gateways": {
            instance.name: _instance_figures(instance) for instance in system.instances("gateway")
        },
        "engines": {
            instance.name: _instance_figures(instance) for instance in system.instances("engine")
        },
    }


def _instance_figures(instance):
    return {**instance.usage, "memory": instance.memory}


def _fault_figures(fault):
    latencies, raws, lost = [], [], 0
    for request in fault.requests:
        latency, raw = measure_check.find_gap_around_fault(request.answer.token_times, fault.at)
        if latency is None:
            # A stream that had already received its last token is complete and was not affected.
            lost += not request.answer.complete
            continue
        latencies.append(latency)
        raws.append(raw)
    unaffected = [
        measure_check.find_gap_around_fault(request.answer.token_times, fault.at)
        for request in fault.unaffected
    ]
    return {
        "kind": fault.kind,
        "part": fault.instance,
        "at": fault.at,
        "latencies": latencies,
        "raw": raws,
        "lost": lost,
        "others": [latency for latency, _ in unaffected if latency is not None],
    }


async def run(settings) -> dict:
    """Runs all rounds; each round runs every setting once.

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
            # The report is written after each round, so that a later failure loses no results.
            summary = measure_report.summarise_rounds(rounds_by_setting, settings)
            measure_report.write_report(folder, summary, rounds_by_setting)
            print(
                f"measure: {name} round {number}: {figures['complete']} of "
                f"{figures['generations']} complete, token errors {figures['token_errors']}",
                file=sys.stderr,
                flush=True,
            )
    return rounds_by_setting


def main(settings) -> int:
    """Runs the tool in the mode that the settings select.

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
    summary = measure_report.summarise_rounds(rounds_by_setting, settings)
    print(measure_report.render_markdown(summary))
    return int(any(figures["token_errors"] for figures in summary["settings"].values()))
