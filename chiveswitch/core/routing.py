"""Route bundles: which service serves a host and path, under which limits, for which accounts.

A route bundle is the part of a published bundle that gateways need to forward plain HTTP requests.
It is stored and distributed as compressed and signed JSON, whose keys are the field names of the
records in this module.
"""

import enum
import hashlib
import zlib

import expression
import orjson
from cryptography import exceptions
from cryptography.hazmat.primitives.asymmetric import ed25519

from chiveswitch.core import codes

# The version of a route bundle is stored as a signed 64-bit number.
MAX_VERSION = 2**63 - 1
# Largest size of a decompressed bundle: four times the body limit in the users' settings.
MAX_CONTENT_BYTES = 16 * 1024 * 1024


class Kind(enum.StrEnum):
    """Kind of the requests on a route, which decides whether they may be retried.

    Attributes:
        IDEMPOTENT: Calls that may run several times.
        UNREPEATABLE: Calls that are retried only if the target stated that it did not run them.
        STREAM: Requests whose response is a stream of events.
    """

    IDEMPOTENT = "idempotent"
    UNREPEATABLE = "unrepeatable"
    STREAM = "stream"


class Record:
    """Base of plain records, which are built from and converted to a dict of their slots."""

    __slots__ = ()

    def __init__(self, **fields):
        for name in self.__slots__:
            setattr(self, name, fields[name])

    def to_dict(self) -> dict:
        """Returns the fields by name."""
        return {name: getattr(self, name) for name in self.__slots__}


class Route(Record):
    """A route from a host and path prefix to services.

    Attributes:
        name: Name of the route in logs.
        host: Host of the requests, in lower case.
        path_prefix: Prefix of the path; begins and ends with a slash.
        kind: A `Kind`.
        timeout_s: Longest time in seconds that a caller waits for a response.
        objective_s: Latency objective in seconds for the response, or for its first event.
        gap_objective_s: Latency objective in seconds for the time between two events of a stream; 0
            if there is none.
        max_runs: Largest number of targets that may run the same request.
        priority: Priority of the requests; 0 is the most urgent.
        anonymous: Whether requests are accepted without an account's key.
        resumable: Whether another target may continue a stream after a given event.
        weight_by_service: Weight of each service when requests are distributed, by service name.
    """

    __slots__ = (
        "name",
        "host",
        "path_prefix",
        "kind",
        "timeout_s",
        "objective_s",
        "gap_objective_s",
        "max_runs",
        "priority",
        "anonymous",
        "resumable",
        "weight_by_service",
    )


class Engine(Record):
    """Capacity and features of the engines of a service.

    Attributes:
        slots: Number of requests that one engine runs at the same time.
        memory_tokens: Size of an engine's memory in tokens, which running requests, copies and
            cached prompts share.
        copies: Whether an engine can replicate the memory of a run to another engine as it grows.
        copy_kept_s: Seconds for which a copy is kept after its last part has arrived.
        event_tokens: Number of tokens in one event of a stream; 0 if unknown.
    """

    __slots__ = ("slots", "memory_tokens", "copies", "copy_kept_s", "event_tokens")


class Service(Record):
    """A service whose targets serve requests.

    Attributes:
        name: Name of the service in routes and announcements.
        max_connections: Largest number of connections that one target accepts from all gateways
            together.
        engine: An `Engine`, or None for a plain service.
    """

    __slots__ = ("name", "max_connections", "engine")


class Limits(Record):
    """Limits on the size and duration of callers' requests.

    Attributes:
        header_bytes: Largest size in bytes of a request's headers.
        body_bytes: Largest size in bytes of a request's body.
        header_timeout_s: Seconds within which the head of a request must arrive after its first
            byte, and in which its body must make progress.
        idle_timeout_s: Seconds for which a connection may be idle.
    """

    __slots__ = ("header_bytes", "body_bytes", "header_timeout_s", "idle_timeout_s")


class Account(Record):
    """A client account.

    Attributes:
        name: Name of the account, which is passed on to targets.
        keys: Keys that authenticate the account's callers.
        priority: Priority of the account's requests, 0 is the most urgent; None to use the priority
            of the route.
    """

    __slots__ = ("name", "keys", "priority")


class ServiceOrder:
    """What the routes and accounts of a bundle say of the order among requests to a service.

    Attributes:
        priorities: Pairs (priority of the account or else of the route, priority of the route) that
            its requests may have, the most urgent one first.
        shortest_objective_s: Shortest latency objective of its routes in seconds.
    """

    __slots__ = ("priorities", "shortest_objective_s")

    def __init__(self, priorities: tuple = (), shortest_objective_s: float = 0.0):
        self.priorities = priorities
        self.shortest_objective_s = shortest_objective_s


# Limits that apply until the first bundle has arrived; they are those of the users' settings.
DEFAULT_LIMITS = Limits(
    header_bytes=16384, body_bytes=4 * 1024 * 1024, header_timeout_s=3.0, idle_timeout_s=15.0
)


class RouteBundle:
    """One version of all routes, with their services, limits and accounts.

    Attributes:
        version: Version number; the bundle with the highest version is in force.
        routes: List of `Route`.
        service_by_name: `Service` by name.
        limits: `Limits` of callers' requests.
        accounts: List of `Account`; if it is empty, requests need no key.
        source: The operator's document, which is returned to operators unchanged.
        account_by_key: `Account` by each of its keys.
        order_by_service: `ServiceOrder` by the name of the service.
    """

    __slots__ = (
        "version",
        "routes",
        "service_by_name",
        "limits",
        "accounts",
        "source",
        "account_by_key",
        "order_by_service",
        "_routes_by_host",
    )

    def __init__(self, version, routes, services, limits, accounts, source=None):
        self.version = version
        self.routes = routes
        self.service_by_name = {service.name: service for service in services}
        self.limits = limits
        self.accounts = accounts
        self.source = source
        self.account_by_key = {}
        for account in accounts:
            for key in account.keys:
                self.account_by_key[key] = account
        self._routes_by_host = {}
        for route in routes:
            self._routes_by_host.setdefault(route.host, {})[route.path_prefix] = route
        self.order_by_service = self._find_orders()

    def _find_orders(self):
        account_priorities = {account.priority for account in self.accounts}
        uses_route_priority = not self.accounts or None in account_priorities
        account_priorities.discard(None)
        pairs_by_service, objectives_by_service = {}, {}
        for route in self.routes:
            priorities = set(account_priorities)
            if uses_route_priority or route.anonymous:
                priorities.add(route.priority)
            for name, weight in route.weight_by_service.items():
                if weight <= 0:
                    continue
                pairs = pairs_by_service.setdefault(name, set())
                pairs.update((priority, route.priority) for priority in priorities)
                objectives_by_service.setdefault(name, []).append(route.objective_s)
        return {
            name: ServiceOrder(tuple(sorted(pairs)), min(objectives_by_service[name]))
            for name, pairs in pairs_by_service.items()
        }

    def match(self, host: str, path: str) -> Route | None:
        """Returns the host's route with the longest prefix of a path, or None."""
        route_by_prefix = self._routes_by_host.get(host)
        if route_by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = route_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def encode(self) -> bytes:
        """Returns the compressed JSON of the bundle; equal bundles have equal bytes."""
        content = {
            "version": self.version,
            "routes": [route.to_dict() for route in self.routes],
            "services": [
                {**service.to_dict(), "engine": service.engine and service.engine.to_dict()}
                for service in self.service_by_name.values()
            ],
            "limits": self.limits.to_dict(),
            "accounts": [account.to_dict() for account in self.accounts],
            "source": self.source,
        }
        return zlib.compress(orjson.dumps(content, option=orjson.OPT_SORT_KEYS))


def find_faults(bundle: RouteBundle) -> list[str]:
    """Returns all faults of a bundle as messages for the operator; empty for a valid bundle."""
    faults = []
    if not 0 < bundle.version <= MAX_VERSION:
        faults.append(f"version {bundle.version} is not a positive 64-bit number")
    seen_prefixes = set()
    for route in bundle.routes:
        host_and_prefix = (route.host, route.path_prefix)
        if host_and_prefix in seen_prefixes:
            faults.append(
                f"route {route.name}: an earlier route has the host and prefix {host_and_prefix}"
            )
        seen_prefixes.add(host_and_prefix)
        if not route.path_prefix.startswith("/") or not route.path_prefix.endswith("/"):
            faults.append(f"route {route.name}: the prefix does not begin and end with a slash")
        if route.timeout_s <= 0:
            faults.append(f"route {route.name}: the timeout is not above 0")
        weights = route.weight_by_service.values()
        if min(weights, default=0) < 0 or sum(weights) <= 0:
            faults.append(f"route {route.name}: a weight is negative or the weights add up to 0")
        for name in route.weight_by_service:
            if name not in bundle.service_by_name:
                faults.append(f"route {route.name}: the bundle has no service {name}")
    account_by_key = {}
    for account in bundle.accounts:
        for key in account.keys:
            other = account_by_key.setdefault(key, account)
            if other is not account:
                faults.append(f"accounts {other.name} and {account.name} have the same key")
    return faults


def decode(data: bytes) -> expression.Result:
    """Decodes the result of `RouteBundle.encode`; returns Ok with the bundle, or BUNDLE_INVALID."""
    try:
        unpacker = zlib.decompressobj()
        text = unpacker.decompress(data, MAX_CONTENT_BYTES)
        if unpacker.unconsumed_tail:
            return codes.failure(
                codes.Code.BUNDLE_INVALID, "the decompressed bundle is larger than 16 MiB"
            )
        content = orjson.loads(text)
        services = [
            Service(**{**each, "engine": each["engine"] and Engine(**each["engine"])})
            for each in content["services"]
        ]
        bundle = RouteBundle(
            content["version"],
            [Route(**each) for each in content["routes"]],
            services,
            Limits(**content["limits"]),
            [Account(**each) for each in content["accounts"]],
            content["source"],
        )
    except (zlib.error, orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
        return codes.failure(codes.Code.BUNDLE_INVALID, f"the bundle cannot be decoded: {error!r}")
    return expression.Ok(bundle)


class Signer:
    """Signs and verifies bundles with the key of the platform's operator."""

    __slots__ = ("_private",)

    def __init__(self, secret: str):
        """Derives the Ed25519 key from the operator's secret in the settings."""
        seed = hashlib.sha256(secret.encode()).digest()
        self._private = ed25519.Ed25519PrivateKey.from_private_bytes(seed)

    def sign(self, content: bytes) -> bytes:
        """Returns the signature over the sha256 digest of a bundle's content."""
        return self._private.sign(hashlib.sha256(content).digest())

    def verify(self, content: bytes, signature: bytes) -> bool:
        """Returns whether a signature of a bundle's content was made with this key."""
        try:
            self._private.public_key().verify(signature, hashlib.sha256(content).digest())
        except exceptions.InvalidSignature:
            return False
        return True
