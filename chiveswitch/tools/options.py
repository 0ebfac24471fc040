"""Defines flags that can also be set by environment variables, for all subcommands."""

import cappa


def option(name: str, help_text: str, default=cappa.Empty):
    """Returns a flag `--name` that can also be set by the environment variable CHIVESWITCH_NAME.

    Args:
        name: Name of the flag without the leading hyphens.
        help_text: Description, to which the variable's name is added.
        default: Default value; without one the flag is required.
    """
    variable = "CHIVESWITCH_" + name.upper().replace("-", "_")
    help_text = f"{help_text} Variable: {variable}."
    if default is cappa.Empty:
        return cappa.Arg(long=f"--{name}", default=cappa.Env(variable), help=help_text)
    return cappa.Arg(long=f"--{name}", default=cappa.Env(variable, default=default), help=help_text)
