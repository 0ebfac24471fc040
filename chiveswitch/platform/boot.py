"""Decodes the platform's settings file and environment variables into the settings of a node."""

import os
import pathlib
import tomllib

import expression

from chiveswitch.core import codes, node_settings, retry

FILE_VARIABLE = "CHIVESWITCH_BOOT"
SECRET_VARIABLE = "CHIVESWITCH_OPERATOR_SECRET"
# Port and path of the metrics, for example 9105/metrics.
METRICS_VARIABLE = "CHIVESWITCH_METRICS"
TTL_VARIABLE = "CHIVESWITCH_ADDRESS_TTL"

# Seconds for which callers cache a list of addresses. Some cache it three times as long; even these
# must fetch a new list within the grace period of a shutdown.
DEFAULT_TTL_SECONDS = 2.0
# Defaults for bounds that are missing from the file. The users stated these values for their first
# deployments.
DEFAULT_RETRY_RATIO = 0.8
DEFAULT_RETRY_SLACK = 150
DEFAULT_WINDOW_SECONDS = 10
DEFAULT_GRACE_SECONDS = 8
DEFAULT_HEARTBEAT_MS = 1200
DEFAULT_CANARY_SHARE = 0.1
DEFAULT_CANARY_SLACK = 50
DEFAULT_ROLLBACK_MS = 5000
BYTES_PER_MEGABIT = 1e6 / 8
BYTES_PER_MEGABYTE = 1_000_000
# Name among the contracts by which the platform says that operators order roll-outs.
ROLLOUT_CONTRACT = "rollout"


def read_settings(environment=os.environ) -> expression.Result:
    """Reads the settings file and the environment variables.

    Args:
        environment: Environment variables by name.

    Returns:
        Ok with the `node_settings.NodeSettings` of the process, or Error with a list of all
        failures, each with the code SETTING_INVALID.
    """
    path = environment.get(FILE_VARIABLE, "")
    try:
        fields = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
        settings = _decode(fields, environment)
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        message = f"{FILE_VARIABLE}={path!r}: {error}"
        return expression.Error([codes.Failure(codes.Code.SETTING_INVALID, message)])
    except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
        message = f"{path}: a field is missing or has the wrong type: {error!r}"
        return expression.Error([codes.Failure(codes.Code.SETTING_INVALID, message)])
    errors = node_settings.find_errors(settings)
    return expression.Error(errors) if errors else expression.Ok(settings)


def _decode(fields, environment):
    bounds = fields.get("bounds", {})
    limits = fields.get("limits", {})
    listen = fields["listen"]
    own_ip = fields["ip"]
    peer_port = fields["internal-port-range"][0]
    metrics_port, _, metrics_path = environment.get(METRICS_VARIABLE, "").partition("/")
    return node_settings.NodeSettings(
        name=fields["node-name"],
        availability_zone=fields["zone"],
        region=fields["region"],
        peer_address=f"{own_ip}:{peer_port}",
        # The file lists the seeds' control addresses. Peers listen on the first internal port,
        # which is the same on all machines.
        seeds=[f"{seed.rpartition(':')[0]}:{peer_port}" for seed in fields["seeds"]],
        first_start=fields.get("bootstrap", False),
        data_folder=fields.get("data-dir", ""),
        may_vote=fields.get("counts-as-loss", True),
        losses=fields.get("fault-tolerance", {}).get("machines", 1),
        caller_address=listen["front"],
        ready_address=listen["ready"],
        control_address=listen.get("control", ""),
        directory_address=listen.get("directory", ""),
        metrics_address=f"{own_ip}:{metrics_port}" if metrics_port else "",
        metrics_path=f"/{metrics_path}",
        heartbeat_s=fields.get("heartbeat-ms", DEFAULT_HEARTBEAT_MS) / 1000,
        stop_grace_s=float(bounds.get("grace-s", DEFAULT_GRACE_SECONDS)),
        address_ttl_s=min(
            float(environment.get(TTL_VARIABLE, DEFAULT_TTL_SECONDS)),
            float(bounds.get("ttl_max_s", DEFAULT_TTL_SECONDS)),
        ),
        operator_secret=environment.get(SECRET_VARIABLE, ""),
        retry=retry.ServiceRetryLimits(
            bounds.get("retry-budget-ratio", DEFAULT_RETRY_RATIO),
            bounds.get("budget-slack", DEFAULT_RETRY_SLACK),
            bounds.get("budget-window-s", DEFAULT_WINDOW_SECONDS),
        ),
        link_bytes_per_s=float(limits.get("link-mbps", 0)) * BYTES_PER_MEGABIT,
        memory_bytes=int(limits.get("memory-mb", 0) * BYTES_PER_MEGABYTE),
        max_descriptors=int(limits.get("max-fds", 0)),
        # The share is one of each core.
        processors=float(limits.get("cpu-share", 0) * limits.get("cores", 1)),
        rollout=_rollout_limits(fields.get("contracts", []), bounds),
    )


def _rollout_limits(contracts, bounds):
    if ROLLOUT_CONTRACT not in contracts:
        return None
    return node_settings.RolloutLimits(
        float(bounds.get("canary-share", DEFAULT_CANARY_SHARE)),
        int(bounds.get("canary-slack", DEFAULT_CANARY_SLACK)),
        bounds.get("rollback-ms", DEFAULT_ROLLBACK_MS) / 1000,
    )
