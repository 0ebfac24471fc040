"""Settings of a node, which forwards plain HTTP, and checks that find all errors at once."""

from chiveswitch.core import settings as settings_module


class RolloutLimits:
    """Bounds of the traffic that a version gets before it is accepted.

    Attributes:
        share: Largest share of a service's requests that an unaccepted version may get, 0 to 1.
        slack: Number of requests that it may get in addition.
        rollback_s: Seconds after enough bad responses from which on it must get no request.
    """

    __slots__ = ("share", "slack", "rollback_s")

    def __init__(self, share: float, slack: int, rollback_s: float):
        self.share = share
        self.slack = slack
        self.rollback_s = rollback_s


class NodeSettings:
    """Settings of a node at its start. Addresses are `ip:port`.

    Attributes:
        name: Unique name of the node.
        availability_zone: Zone of the node.
        region: Region of the node.
        peer_address: Listening address for other processes of the system.
        seeds: Peer addresses of processes through which the node tries to find the others.
        first_start: Whether the system starts for the first time, with empty disks.
        data_folder: Folder on the node's disk, or an empty string for a node without one.
        may_vote: Whether the node joins the control members if it has a disk. Machines of which any
            number may be lost must not, since a majority of the members has to remain.
        losses: Number of machines with a disk that may be lost at the same time.
        caller_address: Listening address for callers' requests.
        ready_address: Listening address for readiness probes.
        control_address: Listening address for targets and operators, or an empty string.
        directory_address: Listening address for callers' address lookups, or an empty string.
        metrics_address: Listening address for metrics, or an empty string.
        metrics_path: HTTP path of the metrics.
        heartbeat_s: Interval of targets' announcements in seconds.
        stop_grace_s: Seconds between the stop signal and the kill signal.
        address_ttl_s: Seconds for which callers may cache a response of the directory.
        operator_secret: Secret from which the operator's signing key is derived.
        retry: `retry.ServiceRetryLimits` that all gateways together keep to.
        link_bytes_per_s: Rate of the machine's network link in bytes per second, 0 if unknown.
        memory_bytes: Memory that the process may use, 0 if unknown.
        max_descriptors: Number of file descriptors that the process may open, 0 if unknown.
        processors: Processor time that the process may use in seconds per second, 0 if unknown.
        rollout: `RolloutLimits`, or None if operators order no roll-outs of versions.
    """

    __slots__ = (
        "name",
        "availability_zone",
        "region",
        "peer_address",
        "seeds",
        "first_start",
        "data_folder",
        "may_vote",
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
        "link_bytes_per_s",
        "memory_bytes",
        "max_descriptors",
        "processors",
        "rollout",
    )

    def __init__(self, **fields):
        for name in self.__slots__:
            setattr(self, name, fields[name])


def find_errors(settings: NodeSettings) -> list:
    """Returns all errors of the settings, as a list of `codes.Failure`."""
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
        errors.append(settings_module.setting_failure("seeds", "contains no address"))
    for name in ("heartbeat_s", "stop_grace_s", "address_ttl_s"):
        if getattr(settings, name) <= 0:
            errors.append(settings_module.setting_failure(name, "must be above 0"))
    for name in ("losses", "link_bytes_per_s", "memory_bytes", "max_descriptors", "processors"):
        if getattr(settings, name) < 0:
            errors.append(settings_module.setting_failure(name, "must not be negative"))
    if settings.rollout is not None and not 0 < settings.rollout.share <= 1:
        errors.append(
            settings_module.setting_failure("rollout.share", "must be above 0, at most 1")
        )
    return errors
