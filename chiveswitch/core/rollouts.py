"""Records that control and gateways exchange about the roll-out of a service's version."""

import math

RUNNING, COMPLETED, ROLLED_BACK = range(3)
STATE_NAMES = ("running", "completed", "rolled_back")

# Bucket i counts answers within BUCKET_BASE_SECONDS * BUCKET_GROWTH**i; the last one all slower
# ones.
LATENCY_BUCKETS = 40
BUCKET_BASE_SECONDS = 0.001
BUCKET_GROWTH = 2**0.5


class RolloutState:
    """What gateways know of a service's latest order.

    Attributes:
        service: Name of the service.
        version: The ordered version.
        state: RUNNING, COMPLETED or ROLLED_BACK.
        serial: Log index of the order.
        step: Number that rises with each change of the order.
        share: Share of the service's requests, 0 to 1, that the version may get now.
        moves_copies: Whether copies of running streams go to targets of the version only.
        valid_for_s: Seconds from its receipt for which the share of a running order may be used
            without further word from control; the version gets no request after that.
    """

    __slots__ = (
        "service",
        "version",
        "state",
        "serial",
        "step",
        "share",
        "moves_copies",
        "valid_for_s",
    )

    def __init__(
        self, service, version, state, serial, step, share, moves_copies, valid_for_s=math.inf
    ):
        self.service = service
        self.version = version
        self.state = state
        self.serial = serial
        self.step = step
        self.share = share
        self.moves_copies = moves_copies
        self.valid_for_s = valid_for_s

    def newer_than(self, other) -> bool:
        """Returns whether this state follows another one of the same service."""
        return (self.serial, self.step) > (other.serial, other.step)


class Evidence:
    """Counts of the answers of targets of one version on one route since the last report.

    Attributes:
        service: Name of the service.
        version: Version of the targets.
        route: Name of the route.
        requests: Number of requests sent.
        failures: Number of answers that are failures to a caller.
        latencies: Counts of the other answers by bucket; see LATENCY_BUCKETS.
    """

    __slots__ = ("service", "version", "route", "requests", "failures", "latencies")

    def __init__(self, service, version, route, requests=0, failures=0, latencies=None):
        self.service = service
        self.version = version
        self.route = route
        self.requests = requests
        self.failures = failures
        self.latencies = latencies if latencies is not None else [0] * LATENCY_BUCKETS
