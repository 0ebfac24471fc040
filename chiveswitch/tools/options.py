"""Flags of the command line, each of which can also be set by an environment variable."""

import cappa


def option(name: str, help_text: str, default=cappa.Empty):
    """Returns a flag `--name` that can also be set by the environment variable CHIVESWITCH_NAME."""
    variable = "CHIVESWITCH_" + name.upper().replace("-", "_")
    if default is cappa.Empty:
        return cappa.Arg(long=f"--{name}", default=cappa.Env(variable), help=help_text)
    return cappa.Arg(long=f"--{name}", default=cappa.Env(variable, default=default), help=help_text)
