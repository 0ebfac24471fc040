"""Settings of a node that forwards plain HTTP, with every error found at once."""

from chiveswitch.core import retry
from chiveswitch.core import settings as settings_module

# Share of the retry allowance that is used: gateways know only their own requests.
RETRY_SHARE = 0.5
# Gateways among which the fixed part of the allowance is divided.
EXPECTED_GATEWAYS = 10


class NodeSettings:
    """What a node is told at its start.

    Attributes:
        name: Unique name of the node.
        availability_zone: Its zone.
        region: Its region.
        peer_address: Own `ip:port` for other processes of the system.
        seeds: Peer addresses of processes that know the others, maybe.
        first_start: Whether the system starts for the first time, with empty disks.
        data_folder: Folder on the node's disk, or an empty string.
        losses: Machines with a disk that may be lost at the same time.
        caller_address: Address for callers' requests.
        ready_address: Address for readiness checks.
        control_address: Address for targets and operators, or an empty string.
        directory_address: Address for callers' questions, or an empty string.
        metrics_address: Address for metrics, or an empty string.
        metrics_path: Path of the metrics.
        heartbeat_s: Interval of targets' announcements in seconds.
        stop_grace_s: Seconds between the stop signal and the kill.
        address_ttl_s: Seconds for which callers keep an answer of the directory.
        operator_secret: Secret from which the operator's signing key is derived.
        retry: `retry.RetrySettings`.
    """

    __slots__ = (
        "name",
        "availability_zone",
        "region",
        "peer_address",
        "seeds",
        "first_start",
        "data_folder",
        "losses",
        "caller_address",
        "ready_address",
        "control_address",
        "directory_address",
        "metrics_address",
        "metrics_path",
        "heartbeat_s",
        "stop_grace_s",
        "address_ttl_s",
        "operator_secret",
        "retry",
    )

    def __init__(self, **fields):
        for name in self.__slots__:
            setattr(self, name, fields[name])


def retry_settings(ratio: float, slack: float, window_s: float) -> retry.RetrySettings:
    """Returns one gateway's share of the retries that a service accepts.

    Args:
        ratio: Accepted retries as a share of the requests.
        slack: Accepted retries beyond that in a window, for all gateways.
        window_s: Length of the window in seconds.
    """
    share = ratio * RETRY_SHARE
    fixed = slack * RETRY_SHARE / EXPECTED_GATEWAYS
    # A client account with much of the traffic may use all of its gateway's budget.
    return retry.RetrySettings(
        retries_per_request=share,
        base_refill_per_s=fixed / window_s,
        burst=fixed,
        account_base_refill_per_s=fixed / window_s,
        account_burst=fixed,
    )


def find_errors(settings: NodeSettings) -> list:
    """Returns every error of the settings."""
    errors = []
    for name in ("name", "availability_zone", "operator_secret"):
        errors += settings_module.required_error(name, getattr(settings, name))
    for name in ("peer_address", "caller_address", "ready_address"):
        errors += settings_module.address_error(name, getattr(settings, name))
    for name in ("control_address", "directory_address", "metrics_address"):
        if getattr(settings, name):
            errors += settings_module.address_error(name, getattr(settings, name))
    for address in settings.seeds:
        errors += settings_module.address_error("seeds", address)
    if not settings.seeds:
        errors.append(settings_module.setting_failure("seeds", "names no process"))
    for name in ("heartbeat_s", "stop_grace_s", "address_ttl_s"):
        if getattr(settings, name) <= 0:
            errors.append(settings_module.setting_failure(name, "must be above 0"))
    if settings.losses < 0:
        errors.append(settings_module.setting_failure("losses", "must not be negative"))
    return errors
