"""Reports of the measuring tool: JSON, Markdown tables and plots."""

import dataclasses
import os
import pathlib
import platform
import subprocess

import matplotlib
import orjson

from chiveswitch.core import detector
from chiveswitch.tools import measure_check, measure_settings

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402 (the backend must be chosen before)


def describe_environment() -> dict:
    """Returns the commit, and the cores, Python version and load average of the machine."""
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=False
    ).stdout.strip()
    return {
        "commit": commit,
        "cores": os.cpu_count(),
        "python": platform.python_version(),
        "load_average": os.getloadavg(),
    }


def summarise_rounds(rounds_by_setting: dict, settings) -> dict:
    """Returns the summary of all rounds as a JSON object."""
    by_setting = {name: _summarise_setting(rounds) for name, rounds in rounds_by_setting.items()}
    base = by_setting.get(measure_settings.UNDISTURBED)
    for figures in by_setting.values():
        if base is not None:
            figures["extra_work"] = figures["work_per_token"] / base["work_per_token"] - 1
    return {
        "environment": describe_environment(),
        "command": dataclasses.asdict(settings),
        "floor_seconds": {
            "detection": [detector.MIN_SILENCE_LIMIT_SECONDS, detector.MAX_SILENCE_LIMIT_SECONDS],
            "prefill_per_1000_tokens": 1000 / 20_000,
        },
        "settings": by_setting,
    }


def _summarise_setting(rounds):
    def total(name):
        return sum(each[name] for each in rounds)

    def used(role, name):
        return sum(part.get(name, 0) for each in rounds for part in each[role].values())

    delivered = max(1, total("delivered"))
    faults_by_kind = {}
    for each in rounds:
        for fault in each["faults"]:
            faults_by_kind.setdefault(fault["kind"], []).append(fault)
    refusals = {}
    errors = {}
    for each in rounds:
        _merge(refusals, each["refusals"])
        _merge(errors, each["token_errors"])
        for part in each["gateways"].values():
            for name, value in part.items():
                if name.startswith("refused."):
                    _merge(refusals, {"gateway " + name.removeprefix("refused."): value})
    generated = used("engines", "tokens_generated")
    prefill = used("engines", "prefill_tokens")
    cpu = [part.get("cpu_seconds", 0) for each in rounds for part in each["gateways"].values()]
    seconds = total("seconds")
    return {
        "rounds": len(rounds),
        "seconds": seconds,
        "load_average": max(each["load_average"] for each in rounds),
        "generations": total("generations"),
        "complete": total("complete"),
        "restarts": total("restarts"),
        "reconnects": total("reconnects"),
        "crashes": used("gateways", "crashes") + used("engines", "crashes"),
        "token_errors": errors,
        "refusals": refusals,
        "resume": {
            kind: _summarise_resume(faults) for kind, faults in sorted(faults_by_kind.items())
        },
        "between_tokens": measure_check.compute_percentiles(
            gap for each in rounds for gap in each["gaps"]
        ),
        "first_token": measure_check.compute_percentiles(
            time for each in rounds for time in each["first_token"]
        ),
        "delivered": total("delivered"),
        "generated": generated,
        "prefill": prefill,
        "extra_tokens": generated / delivered - 1,
        "work_per_token": (generated + prefill) / delivered,
        "moves_silent": used("gateways", "moves_silent"),
        "moves_false": used("gateways", "moves_false"),
        "hedges": used("gateways", "hedges"),
        "takeovers": used("gateways", "takeovers"),
        "prefill_repeated": used("gateways", "prefill_repeated"),
        "gateway_cpu_us_per_token": 1e6 * sum(cpu) / delivered,
        "gateway_cpu_share": sum(cpu) / len(cpu) / (seconds / len(rounds)),
        "gateway_memory_mb": max(
            part["memory"] for each in rounds for part in each["gateways"].values()
        )
        / 1e6,
        "caller_bytes_per_token": total("bytes_to_callers") / delivered,
        "peer_bytes_per_token": used("gateways", "peer_bytes_out") / delivered,
    }


def _merge(into, more):
    for name, value in more.items():
        into[name] = into.get(name, 0) + value


def _summarise_resume(faults):
    return {
        "faults": len(faults),
        "latency": measure_check.compute_percentiles(
            (value for fault in faults for value in fault["latencies"]), (50, 99)
        ),
        "raw": measure_check.compute_percentiles(
            (value for fault in faults for value in fault["raw"]), (50, 99)
        ),
        "others": measure_check.compute_percentiles(
            (value for fault in faults for value in fault["others"]), (50, 99)
        ),
        "lost": sum(fault["lost"] for fault in faults),
    }


def _ms(figures, name):
    return f"{1000 * figures[name]:.0f}" if name in figures else "-"


def render_table(titles: list, rows: list) -> str:
    """Returns a Markdown table."""
    lines = [titles, ["---"] * len(titles), *rows]
    return "\n".join("| " + " | ".join(str(cell) for cell in line) + " |" for line in lines)


def render_markdown(summary: dict) -> str:
    """Returns the summary as Markdown tables."""
    by_setting = summary["settings"]
    resume_rows = []
    for name, figures in by_setting.items():
        for kind, resume in figures["resume"].items():
            latency, raw = resume["latency"], resume["raw"]
            resume_rows.append(
                [name, kind, resume["faults"], latency["count"]]
                + [_ms(latency, each) for each in ("p50", "p99", "max")]
                + [_ms(raw, each) for each in ("p50", "p99", "max")]
                + [resume["lost"], _ms(resume["others"], "p99")]
            )
    rows = []
    use_rows = []
    for name, figures in by_setting.items():
        between, first = figures["between_tokens"], figures["first_token"]
        rows.append(
            [name, figures["generations"], figures["complete"]]
            + [_ms(between, each) for each in ("p50", "p95", "p99", "max")]
            + [_ms(first, each) for each in ("p50", "p95", "p99")]
            + [figures["token_errors"] or 0, figures["crashes"]]
            + [figures["refusals"] or 0, f"{figures['load_average']:.1f}"]
        )
        extra = figures.get("extra_work")
        use_rows.append(
            [name, figures["delivered"], f"{100 * figures['extra_tokens']:.2f}"]
            + [f"{100 * extra:.2f}" if extra is not None else "-", figures["restarts"]]
            + [figures["moves_silent"], figures["moves_false"], figures["hedges"]]
            + [f"{figures['gateway_cpu_us_per_token']:.0f}"]
            + [f"{100 * figures['gateway_cpu_share']:.1f}", f"{figures['gateway_memory_mb']:.0f}"]
            + [f"{figures['caller_bytes_per_token']:.0f}"]
            + [f"{figures['peer_bytes_per_token']:.0f}"]
        )
    titles = "setting|fault|faults|streams|p50 ms|p99 ms|max ms|raw p50|raw p99|raw max|lost"
    answers = "setting|generations|complete|between p50 ms|p95|p99|max|first p50 ms|p95|p99"
    use = "setting|tokens delivered|extra tokens %|extra work %|restarts|moves|false moves|hedges"
    use += "|gateway CPU us/token|gateway CPU %|gateway MB|caller bytes/token|peer bytes/token"
    environment_line = ", ".join(f"{name} {v}" for name, v in summary["environment"].items())
    parts = [
        f"Seed {summary['command']['seed']}, {environment_line}.",
        "Resume latency:\n\n"
        + render_table([*titles.split("|"), "other streams p99"], resume_rows),
        "Answers:\n\n"
        + render_table(
            [*answers.split("|"), "token errors", "crashes", "refusals", "load average"], rows
        ),
        "Use:\n\n" + render_table(use.split("|"), use_rows),
    ]
    return "\n\n".join(parts) + "\n"


def write_report(folder: pathlib.Path, summary: dict, rounds_by_setting: dict):
    """Writes `summary.json`, `summary.md`, `faults.json` and the plots."""
    options = orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS
    (folder / "summary.json").write_bytes(orjson.dumps(summary, option=options))
    (folder / "summary.md").write_text(render_markdown(summary))
    faults = {
        name: [each["faults"] for each in rounds] for name, rounds in rounds_by_setting.items()
    }
    (folder / "faults.json").write_bytes(orjson.dumps(faults, option=options))
    _plot_resume(folder / "resume.png", rounds_by_setting)
    _plot_gaps(folder / "between_tokens.png", rounds_by_setting)


def _plot_resume(path, rounds_by_setting):
    figure, axes = pyplot.subplots(figsize=(9, 5))
    for name, rounds in rounds_by_setting.items():
        values = sorted(
            value for each in rounds for fault in each["faults"] for value in fault["latencies"]
        )
        if not values:
            continue
        shares = [(index + 1) / len(values) for index in range(len(values))]
        axes.step(values, shares, where="post", label=name)
    axes.axvline(2.0, color="grey", linestyle=":")
    axes.set_xlabel("resume latency, s")
    axes.set_ylabel("share of affected streams")
    if axes.get_legend_handles_labels()[0]:
        axes.legend()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)


def _plot_gaps(path, rounds_by_setting):
    figure, axes = pyplot.subplots(figsize=(9, 5))
    shares = [step / 1000 for step in range(1, 1001)]
    for name, rounds in rounds_by_setting.items():
        histogram = measure_check.make_histogram(gap for each in rounds for gap in each["gaps"])
        values = [histogram.get_value_at_percentile(100 * share) / 1000 for share in shares]
        axes.plot(values, shares, label=name)
    axes.set_xscale("log")
    axes.set_xlabel("time between tokens, ms")
    axes.set_ylabel("share of tokens")
    axes.legend()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
