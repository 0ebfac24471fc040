"""Route bundles: which service serves a host and path, under which limits, for which accounts.

A route bundle is the part of a rolled bundle that gateways need to forward plain HTTP requests. It
is stored and spread as JSON with the names of this module's fields, compressed and signed.
"""

import enum
import hashlib
import zlib

import expression
import orjson
from cryptography import exceptions
from cryptography.hazmat.primitives.asymmetric import ed25519

from chiveswitch.core import codes

# A version of a route bundle is stored as a signed 64-bit number.
MAX_VERSION = 2**63 - 1
# Largest decompressed bundle in bytes: four times the body limit that the users' settings name.
MAX_CONTENT_BYTES = 16 * 1024 * 1024


class Kind(enum.StrEnum):
    """What may be repeated of a request on a route."""

    IDEMPOTENT = "idempotent"
    UNREPEATABLE = "unrepeatable"
    STREAM = "stream"


class Record:
    """Base of the plain records: built from and turned into a dict of their slots."""

    __slots__ = ()

    def __init__(self, **fields):
        for name in self.__slots__:
            setattr(self, name, fields[name])

    def to_dict(self) -> dict:
        """Returns the fields by name."""
        return {name: getattr(self, name) for name in self.__slots__}


class Route(Record):
    """One route.

    Attributes:
        name: Name for logs.
        host: Host that callers name, in lower case.
        path_prefix: Prefix of the path; begins and ends with a slash.
        kind: A `Kind`.
        timeout_s: Longest time in seconds that a caller is kept waiting.
        objective_s: Time in seconds within which the response, or its first event, is on time.
        gap_objective_s: Longest pause in seconds between two events that is on time; 0 for none.
        max_runs: Largest number of targets that may run one request.
        priority: 0 is the most urgent.
        anonymous: Whether requests need no key.
        resumable: Whether another target may continue a stream after a given event.
        weight_by_service: Share of the requests of each service.
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
    """What the engines of a service can do.

    Attributes:
        slots: Requests that one engine runs at once.
        memory_tokens: Tokens that running requests, copies and cached prompts share.
        copies: Whether an engine sends a copy of a run's memory to another one as it grows.
        copy_kept_s: Seconds that a copy is kept after its last part arrived.
        event_tokens: Tokens of one event of a stream; 0 if unknown.
    """

    __slots__ = ("slots", "memory_tokens", "copies", "copy_kept_s", "event_tokens")


class Service(Record):
    """One service.

    Attributes:
        name: Name in routes and announcements.
        max_connections: Connections that one target accepts from all gateways together.
        engine: An `Engine`, or None for a plain service.
    """

    __slots__ = ("name", "max_connections", "engine")


class Limits(Record):
    """What a caller may send and how long it may take.

    Attributes:
        header_bytes: Largest head of a request.
        body_bytes: Largest body of a request.
        header_timeout_s: Seconds until a begun request must be complete.
        idle_timeout_s: Seconds that a connection may be idle.
    """

    __slots__ = ("header_bytes", "body_bytes", "header_timeout_s", "idle_timeout_s")


class Account(Record):
    """One client account.

    Attributes:
        name: Name that targets are told.
        keys: Keys of its callers.
        priority: 0 is the most urgent; None if the route's priority holds.
    """

    __slots__ = ("name", "keys", "priority")


# Limits until the first bundle has arrived: those of the users' settings.
DEFAULT_LIMITS = Limits(
    header_bytes=16384, body_bytes=4 * 1024 * 1024, header_timeout_s=3.0, idle_timeout_s=15.0
)


class RouteBundle:
    """One version of all routes.

    Attributes:
        version: Version number; the highest one is in force.
        routes: `Route` list.
        service_by_name: `Service` by name.
        limits: `Limits`.
        accounts: `Account` list; empty if the bundle has no accounts and keys are not asked for.
        source: The operator's document, returned to operators unchanged.
    """

    __slots__ = (
        "version",
        "routes",
        "service_by_name",
        "limits",
        "accounts",
        "source",
        "account_by_key",
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

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route of the host with the longest prefix of the path, or None."""
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
        """Returns the compressed content, equal for equal bundles."""
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
    """Returns every fault of a bundle, in words for the operator."""
    faults = []
    if not 0 < bundle.version <= MAX_VERSION:
        faults.append(f"version {bundle.version} is not a positive 64-bit number")
    places = set()
    for route in bundle.routes:
        place = (route.host, route.path_prefix)
        if place in places:
            faults.append(f"route {route.name}: {place} belongs to an earlier route")
        places.add(place)
        if not route.path_prefix.startswith("/") or not route.path_prefix.endswith("/"):
            faults.append(f"route {route.name}: the prefix lacks a slash at an end")
        if route.timeout_s <= 0:
            faults.append(f"route {route.name}: the timeout is 0")
        weights = route.weight_by_service.values()
        if min(weights, default=0) < 0 or sum(weights) <= 0:
            faults.append(f"route {route.name}: the weights add up to 0")
        for name in route.weight_by_service:
            if name not in bundle.service_by_name:
                faults.append(f"route {route.name}: service {name} is unknown")
    name_by_key = {}
    for account in bundle.accounts:
        for key in account.keys:
            if name_by_key.setdefault(key, account.name) != account.name:
                faults.append(f"accounts {name_by_key[key]} and {account.name} share a key")
    return faults


def decode(data: bytes) -> expression.Result:
    """Returns Ok with the `RouteBundle` of `RouteBundle.encode`, or BUNDLE_INVALID."""
    try:
        unpacker = zlib.decompressobj()
        text = unpacker.decompress(data, MAX_CONTENT_BYTES)
        if unpacker.unconsumed_tail:
            return codes.failure(codes.Code.BUNDLE_INVALID, "the bundle is too large")
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
        return codes.failure(codes.Code.BUNDLE_INVALID, f"the bundle cannot be read: {error!r}")
    return expression.Ok(bundle)


class Signer:
    """The key of the platform's operator, which signs what it publishes."""

    __slots__ = ("_private",)

    def __init__(self, secret: str):
        """Derives the Ed25519 key from the secret text of the settings."""
        seed = hashlib.sha256(secret.encode()).digest()
        self._private = ed25519.Ed25519PrivateKey.from_private_bytes(seed)

    def sign(self, content: bytes) -> bytes:
        """Returns the signature over the sha256 digest of a bundle's content."""
        return self._private.sign(hashlib.sha256(content).digest())

    def verify(self, content: bytes, signature: bytes) -> bool:
        """Says whether the content was signed with this key."""
        try:
            self._private.public_key().verify(signature, hashlib.sha256(content).digest())
        except exceptions.InvalidSignature:
            return False
        return True
