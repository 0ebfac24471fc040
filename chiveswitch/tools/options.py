"""Flags that can also be set by environment variables, for all subcommands."""

import cappa


def option(name: str, help_text: str, default=cappa.Empty):
    """Returns a flag `--name` that can also be set by the environment variable CHIVESWITCH_NAME."""
    variable = "CHIVESWITCH_" + name.upper().replace("-", "_")
    help_text = f"{help_text} Variable: {variable}."
    if default is cappa.Empty:
        return cappa.Arg(long=f"--{name}", default=cappa.Env(variable), help=help_text)
    return cappa.Arg(long=f"--{name}", default=cappa.Env(variable, default=default), help=help_text)
