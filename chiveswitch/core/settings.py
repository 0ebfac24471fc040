"""Checks of single settings. A daemon checks all of its settings and prints every error at once."""

import ipaddress

from chiveswitch.core import codes


def address_error(name: str, address: str) -> list:
    """Returns the error of an `ip:port` setting, as a list of none or one `codes.Failure`."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return [setting_failure(name, f"{address!r} does not start with an IP address")]
    if not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65536:
        return [setting_failure(name, f"{address!r} does not end with a port number")]
    return []


def addresses_errors(name: str, addresses: str) -> list:
    """Returns the errors of a comma-separated list of `ip:port` addresses."""
    errors = []
    for address in split_list(addresses):
        errors.extend(address_error(name, address))
    return errors


def range_error(name: str, value: float, lowest: float, highest: float) -> list:
    """Returns the error of a number outside [lowest, highest], as a list of none or one failure."""
    if lowest <= value <= highest:
        return []
    return [setting_failure(name, f"{value} is outside {lowest} to {highest}")]


def required_error(name: str, value: str) -> list:
    """Returns the error of an empty setting, as a list of none or one failure."""
    if value:
        return []
    return [setting_failure(name, "is required")]


def setting_failure(name: str, message: str) -> codes.Failure:
    """Returns the failure of one setting; its message starts with the setting's flag."""
    return codes.Failure(codes.Code.SETTING_INVALID, f"--{name}: {message}")


def split_list(text: str) -> list:
    """Returns the non-empty parts of a comma-separated text, without surrounding spaces."""
    return [part.strip() for part in text.split(",") if part.strip()]
