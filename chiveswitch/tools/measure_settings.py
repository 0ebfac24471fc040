"""Settings of the command `chiveswitch measure`."""

import dataclasses
import sys
from typing import Annotated

import cappa

from chiveswitch.core import settings as settings_module
from chiveswitch.tools import options

# Flags of the gateways for each setting that can be compared.
FLAGS_BY_SETTING = {
    "default": (),
    "restart": ("--restart",),
    "fixed_timeout": ("--detector", "fixed_timeout"),
    "no_holders": ("--copies", "1"),
    "first_listed": ("--policy", "first_listed"),
}
# The default settings without faults, as the baseline for extra work.
UNDISTURBED = "undisturbed"
FAULT_KINDS = tuple(
    f"{kind}-{part}" for part in ("engine", "gateway") for kind in ("kill", "pause", "silence")
)


def run_measure(settings: "Measure"):
    """Validates the settings and runs the measuring tool.

    Exits with status 2 if a setting is invalid.
    """
    from chiveswitch.tools import measure

    errors = settings_module.range_error("gateways", settings.gateways, 1, 20)
    errors += settings_module.range_error("engines", settings.engines, 1, 30)
    errors += settings_module.range_error("streams", settings.streams, 1, 2000)
    errors += settings_module.range_error("drivers", settings.drivers, 1, 6)
    for name in settings_module.split_list(settings.compare):
        if name != UNDISTURBED and name not in FLAGS_BY_SETTING:
            errors.append(
                settings_module.setting_failure(
                    "compare", f"{name!r} is not a setting that can be compared"
                )
            )
    for kind in settings_module.split_list(settings.faults):
        if kind not in FAULT_KINDS:
            errors.append(
                settings_module.setting_failure("faults", f"{kind!r} is not a kind of fault")
            )
    if errors:
        for error in errors:
            print(f"{int(error.code)} {error.code.name} {error.message}", file=sys.stderr)
        raise cappa.Exit(code=2)
    raise cappa.Exit(code=measure.main(settings))


@cappa.command(name="measure", invoke=run_measure, help="Measure a system of real processes.")
@dataclasses.dataclass(slots=True)
class Measure:
    """Settings of the measuring tool."""

    results: Annotated[str, options.option("results", "Folder for results.", "results")]
    seed: Annotated[int, options.option("seed", "Seed of the load and the faults.", 1)]
    seconds: Annotated[float, options.option("seconds", "Seconds of load in a round.", 60.0)]
    rounds: Annotated[int, options.option("rounds", "Rounds of each setting.", 1)]
    compare: Annotated[
        str,
        options.option("compare", "Settings to compare, run alternately.", "undisturbed,default"),
    ]
    gateways: Annotated[int, options.option("gateways", "Gateway processes.", 10)]
    engines: Annotated[int, options.option("engines", "Engine processes.", 14)]
    streams: Annotated[int, options.option("streams", "Generations open at a time.", 70)]
    token_seconds: Annotated[
        float, options.option("token-seconds", "Seconds per token of an engine.", 0.03)
    ]
    faults: Annotated[
        str, options.option("faults", "Kinds of faults, in turn.", ",".join(FAULT_KINDS))
    ]
    interval: Annotated[float, options.option("interval", "Seconds between faults.", 5.0)]
    hold: Annotated[float, options.option("hold", "Seconds until a failed process returns.", 3.0)]
    streams_per_core: Annotated[
        bool, options.option("streams-per-core", "Measure one gateway at rising load.", False)
    ]
    levels: Annotated[
        str, options.option("levels", "Stream counts of the scaling mode.", "25,50,100,200,400,800")
    ]
    drivers: Annotated[int, options.option("drivers", "Driver processes of the scaling mode.", 2)]
    profile: Annotated[
        str, options.option("profile", "File for a profile of the measured gateway.", "")
    ]
    driver_plan: Annotated[str, cappa.Arg(hidden=True, long=True, default="")]
