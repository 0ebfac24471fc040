"""The scaling mode: measures one gateway at rising numbers of streams.

Two other gateways hold copies of its journals.
"""

import asyncio
import dataclasses
import os
import pathlib
import pstats
import signal

import orjson
import psutil
from matplotlib import pyplot

from chiveswitch.core import clock
from chiveswitch.core import settings as settings_module
from chiveswitch.tools import measure_check, measure_report, measure_system

GATEWAYS = 3
DIRECT_STREAMS = 6
RAMP_SECONDS = 3.0
# Time before the measured window, in which the drivers start and open their streams.
WARM_UP_SECONDS = 8.0
TOP_COST_COUNT = 10
# Functions that run at interpreter startup, and the wait for events.
EXCLUDED_FUNCTIONS = ("poll", "builtins.compile", "builtins.exec", "marshal", "__build_class__")


async def run_level(settings, streams: int, folder: pathlib.Path) -> dict:
    """Measures a new system at one number of streams.

    Args:
        settings: The command's settings; `seconds` is the length of the measured window.
        streams: Streams through the measured gateway.
        folder: Folder for logs and the drivers' plans.
    """
    system_settings = dataclasses.replace(settings, gateways=GATEWAYS)
    system = measure_system.System(
        system_settings, folder / f"streams-{streams}", profile=settings.profile
    )
    try:
        await system.wait_ready()
        gateway = system.instance_by_name["g0"]
        process_by_name = {
            name: psutil.Process(process.pid)
            for name, process in system.fleet.process_by_name.items()
        }
        memory_before = process_by_name["g0"].memory_info().rss
        load_average = os.getloadavg()[0]
        begin = clock.now() + WARM_UP_SECONDS
        end = begin + settings.seconds
        drivers = min(settings.drivers, streams)
        plans = []
        for number in range(drivers):
            plan = {
                "name": f"{number}",
                "gateway": gateway.address,
                "engines": [instance.address for instance in system.instances("engine")],
                "streams": streams // drivers + (number < streams % drivers),
                "direct": DIRECT_STREAMS,
                "ramp": RAMP_SECONDS,
                "window": (begin, end),
                "seed": settings.seed,
            }
            path = folder / f"streams-{streams}" / f"driver-{number}.json"
            path.with_suffix(".result").unlink(missing_ok=True)
            path.write_bytes(orjson.dumps(plan))
            plans.append(path)
            system.fleet.start(f"d{number}", "measure", "--driver-plan", str(path))
        await asyncio.sleep(begin - clock.now())
        cpu_begin = {name: _read_cpu_seconds(process) for name, process in process_by_name.items()}
        await asyncio.sleep(end - clock.now())
        cpu = {
            name: _read_cpu_seconds(process) - cpu_begin[name]
            for name, process in process_by_name.items()
        }
        memory = process_by_name["g0"].memory_info().rss
        status = await system.get(gateway, "/v1/status")
        results = await _read_results(system, plans)
        if settings.profile:
            await _stop_profiled(system)
    finally:
        await system.close()
    gaps = [gap for result in results for gap in result["gaps"]]
    direct = [gap for result in results for gap in result["direct_gaps"]]
    tokens = sum(result["tokens"] for result in results)
    between = measure_check.compute_percentiles(gaps)
    between_direct = measure_check.compute_percentiles(direct)
    errors = {}
    for result in results:
        for kind, count in result["errors"].items():
            errors[kind] = errors.get(kind, 0) + count
    return {
        "streams": streams,
        "open": sum(result["open"] for result in results),
        "load_average": load_average,
        "tokens_per_second": tokens / settings.seconds,
        "cpu_share": cpu["g0"] / settings.seconds,
        "cpu_us_per_token": 1e6 * cpu["g0"] / max(1, tokens),
        "holder_cpu_share": max(cpu["g1"], cpu["g2"]) / settings.seconds,
        "engine_cpu_share": max(cpu[instance.name] for instance in system.instances("engine"))
        / settings.seconds,
        "driver_cpu_share": max(result["cpu_share"] for result in results),
        "memory_per_generation": (memory - memory_before) / streams,
        "memory": memory,
        "between_tokens": between,
        "between_tokens_direct": between_direct,
        "added_p95": between.get("p95", 0) - between_direct.get("p95", 0),
        "added_p50": between.get("p50", 0) - between_direct.get("p50", 0),
        "token_errors": errors,
        "moves_silent": status["counters"].get("moves_silent", 0),
        "moves_false": status["counters"].get("moves_false", 0),
    }


def _read_cpu_seconds(process):
    times = process.cpu_times()
    return times.user + times.system


async def _read_results(system, plans):
    for number in range(len(plans)):
        process = system.fleet.process_by_name[f"d{number}"]
        await asyncio.to_thread(process.wait, 60)
    return [orjson.loads(path.with_suffix(".result").read_bytes()) for path in plans]


async def _stop_profiled(system):
    """Stops the profiled gateway, so that its profile is written.

    The second signal ends it without waiting for its streams.
    """
    process = system.fleet.process_by_name["g0"]
    process.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.5)
    process.send_signal(signal.SIGTERM)
    await asyncio.to_thread(process.wait, 20)


def find_top_costs(profile: str) -> list:
    """Returns the functions of a profile with the largest own time.

    Startup and waiting for events are excluded. cProfile measures wall time, so that times on a
    busy machine include the wait for a core.

    Args:
        profile: File written by cProfile.
    Returns:
        List of (function, calls, own microseconds), both per event from an engine. An event holds
        one token or few more.
    """
    stats = pstats.Stats(profile).stats
    events = sum(
        calls
        for (path, _, name), (_, calls, _, _, _) in stats.items()
        if path.endswith("core/sse.py") and name == "_parse"
    )
    rows = []
    for (path, line, name), (_, calls, own, _, _) in sorted(
        stats.items(), key=lambda item: -item[1][2]
    ):
        if any(part in name for part in EXCLUDED_FUNCTIONS):
            continue
        place = f"{'/'.join(path.split('/')[-2:])}:{line} {name}" if line else name
        rows.append((place, calls / events, 1e6 * own / events))
    return rows[:TOP_COST_COUNT]


def fit_levels(levels: list) -> dict:
    """Returns linear fits of CPU and memory against streams, as slope and intercept.

    Only levels at which the gateway kept up with the engines are used. A process that is saturated,
    or that gets no core on a busy machine, falls behind instead of using more CPU.
    """
    usable = []
    for level in levels:
        interval = level["between_tokens_direct"].get("p50", 0)
        if level["tokens_per_second"] * interval >= 0.9 * level["streams"]:
            usable.append(level)
    if len(usable) < 2:
        return {}
    streams = [level["streams"] for level in usable]
    slope, intercept = measure_check.fit_line(streams, [x["cpu_share"] for x in usable])
    memory_slope, memory_intercept = measure_check.fit_line(
        streams, [level["memory"] for level in usable]
    )
    return {
        "levels": streams,
        "cpu_share_per_stream": slope,
        "cpu_share_idle": intercept,
        "memory_per_stream": memory_slope,
        "memory_idle": memory_intercept,
        "streams_per_core": (1 - intercept) / slope if slope > 0 else 0,
    }


def render_markdown(result: dict) -> str:
    """Returns the result as Markdown."""
    titles = "streams|tokens/s|gateway CPU %|CPU us/token|KB per generation|added p95 ms"
    titles += "|through gateway p50/p95/p99 ms|direct p50/p95/p99 ms|holder CPU %|engine CPU %"
    titles += "|driver CPU %|moves|false moves|token errors|load average"
    rows = []
    for level in result["levels"]:
        through, direct = level["between_tokens"], level["between_tokens_direct"]
        rows.append(
            [
                level["streams"],
                f"{level['tokens_per_second']:.0f}",
                f"{100 * level['cpu_share']:.0f}",
                f"{level['cpu_us_per_token']:.0f}",
                f"{level['memory_per_generation'] / 1000:.0f}",
                f"{1000 * level['added_p95']:.1f}",
                "/".join(f"{1000 * through.get(p, 0):.1f}" for p in ("p50", "p95", "p99")),
                "/".join(f"{1000 * direct.get(p, 0):.1f}" for p in ("p50", "p95", "p99")),
                f"{100 * level['holder_cpu_share']:.0f}",
                f"{100 * level['engine_cpu_share']:.0f}",
                f"{100 * level['driver_cpu_share']:.0f}",
                level["moves_silent"],
                level["moves_false"],
                level["token_errors"] or 0,
                f"{level['load_average']:.1f}",
            ]
        )
    parts = [measure_report.render_table(titles.split("|"), rows)]
    if result["fits"]:
        fit = result["fits"]
        parts.append(
            f"CPU share = {fit['cpu_share_idle']:.3f} + {fit['cpu_share_per_stream']:.5f} * "
            f"streams; memory = {fit['memory_idle'] / 1e6:.1f} MB + "
            f"{fit['memory_per_stream'] / 1e3:.1f} KB * streams; levels {fit['levels']}; "
            f"one core is full at {fit['streams_per_core']:.0f} streams."
        )
    if result["costs"]:
        rows = [
            [f"`{name}`", f"{calls:.2f}", f"{cost:.1f}"] for name, calls, cost in result["costs"]
        ]
        parts.append(measure_report.render_table(["function", "calls/event", "own us/event"], rows))
    return "\n\n".join(parts) + "\n"


async def run(settings, folder: pathlib.Path) -> list:
    """Measures all levels in turn and returns their figures."""
    levels = []
    for streams in settings_module.split_list(settings.levels):
        levels.append(await run_level(settings, int(streams), folder / "logs"))
    return levels


def main(settings, folder: pathlib.Path) -> int:
    """Runs the scaling mode, and prints and saves its report.

    Returns:
        1 if any token error was found, else 0.
    """
    if settings.profile:
        settings = dataclasses.replace(settings, profile=str(pathlib.Path(settings.profile)))
    levels = asyncio.run(run(settings, folder))
    costs = []
    if settings.profile:
        costs = find_top_costs(settings.profile)
    result = {
        "environment": measure_report.describe_environment(),
        "command": dataclasses.asdict(settings),
        "levels": levels,
        "fits": fit_levels(levels),
        "costs": costs,
    }
    text = render_markdown(result)
    (folder / "scaling.json").write_bytes(orjson.dumps(result, option=orjson.OPT_INDENT_2))
    (folder / "scaling.md").write_text(text)
    _plot(folder / "scaling.png", levels)
    print(text)
    return int(any(level["token_errors"] for level in levels))


def _plot(path, levels):
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 4))
    streams = [level["streams"] for level in levels]
    left.plot(streams, [100 * level["cpu_share"] for level in levels], marker="o")
    left.set_xlabel("streams")
    left.set_ylabel("gateway CPU, %")
    right.plot(streams, [1000 * level["added_p95"] for level in levels], marker="o")
    right.axhline(5, color="grey", linestyle=":")
    right.set_xlabel("streams")
    right.set_ylabel("added between tokens at p95, ms")
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
