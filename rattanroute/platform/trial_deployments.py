"""Settings, configurations and requests of a trial deployment on loopback.

The soak tool uses this module, so that only this package contains the
platform's names.
"""

from collections.abc import Mapping
import dataclasses
import enum
import functools
import hashlib
import types

import msgspec

from rattanroute.http1.heads import find_header
from rattanroute.http1.heads import RequestHead
from rattanroute.http1.heads import ResponseHead
from rattanroute.platform import headers
from rattanroute.platform.standin_records import TRY_HEADER

HOST = "trial.example"
API_KEY = "trial-key"
PLAIN_SERVICE = "desk"
ENGINE_SERVICE = "engine"
LAYERS = 8
# Layers that fit into the memory of an engine; fewer than the model has, so
# that it needs a chain of two engines.
MAX_LAYERS = 6
LAYER_MB = 100.0
FRONT_PORT = 8080
READY_PORT = 8081
CONTROL_PORT = 8082
PEER_PORT = 7340
LAST_INTERNAL_PORT = 7355
REPLICA_PORT = 9000
CONFIGURATION_PATH = "/rattanroute/config"
READY_PATH = "/rattanroute/ready"
# Number of latest versions whose own routes a configuration contains.
KEPT_VERSION_ROUTES = 6
GRACE_SECONDS = 8.0
TIMEOUT_MS = 3000
STREAM_TIMEOUT_MS = 8000
# Streams of 250 events take 10 s without a pause.
LONG_STREAM_TIMEOUT_MS = 20_000
PROMPT_TOKENS = 40
EXTRA_NAME_LENGTH = 12
# Statuses of the router which state that a request did not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class CallKind(enum.StrEnum):
    """Kinds of requests, by the delivery semantics of their routes."""

    REPEATABLE = "safe"
    ONCE = "unsafe"
    STREAM = "streaming"


class VersionDocument(msgspec.Struct, frozen=True, kw_only=True):
    """The number of a configuration; other fields are ignored."""

    version: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DeploymentShape:
    """Size of the engines and of the streams of a deployment.

    Attributes:
        name: Name of the shape.
        engines_per_zone: Number of engines in each zone.
        max_layers: Layers that fit into the memory of an engine.
        stream_timeout_ms: Time limit of the route for streams.
        min_events: Fewest events of a stream.
        max_events: Most events of a stream.
        usual_events: Events of a typical stream.
        extra_routes: Routes of the configuration that no version changes.
    """

    name: str = "short streams"
    engines_per_zone: int = 2
    max_layers: int = MAX_LAYERS
    stream_timeout_ms: int = STREAM_TIMEOUT_MS
    min_events: int = 5
    max_events: int = 40
    usual_events: int = 20
    extra_routes: int = 0

    def timeout_s(self, kind: CallKind) -> float:
        """Returns the timeout of the route for a kind, in seconds."""
        stream = kind is CallKind.STREAM
        return (self.stream_timeout_ms if stream else TIMEOUT_MS) / 1000


SHORT_STREAMS = DeploymentShape()
# Streams that last longer than the grace time of a stop.
LONG_STREAMS = DeploymentShape(
    name="long streams",
    stream_timeout_ms=LONG_STREAM_TIMEOUT_MS,
    min_events=20,
    max_events=250,
    usual_events=135,
)
# The same over chains of three engines and more.
LONG_CHAINS = dataclasses.replace(
    LONG_STREAMS, name="long chains", engines_per_zone=4, max_layers=3
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Machine:
    """A machine of the trial deployment.

    Attributes:
        name: Name of the machine.
        zone: Data centre of the machine.
        address: IP address.
        core: Whether it runs the core program rather than a front.
    """

    name: str
    zone: str
    address: str
    core: bool

    @property
    def peer_address(self) -> str:
        """Address for connections of other machines."""
        return f"{self.address}:{PEER_PORT}"

    @property
    def front_address(self) -> str:
        """Address for client requests."""
        return f"{self.address}:{FRONT_PORT}"

    @property
    def ready_url(self) -> str:
        """URL of the readiness check."""
        return f"http://{self.address}:{READY_PORT}{READY_PATH}"

    @property
    def control_address(self) -> str:
        """Address for operators and replicas."""
        return f"{self.address}:{CONTROL_PORT}"

    @property
    def configuration_url(self) -> str:
        """URL at which operators read and write the configuration."""
        return f"http://{self.control_address}{CONFIGURATION_PATH}"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SoakBounds:
    """Limits within which the invariants of a soak hold; times in seconds.

    Attributes:
        apply_s: From an acknowledgement until the change is active.
        regress_s: From the observation of a version until an older one counts
            as a fault.
        contact_s: From a fault until a machine must meet the invariants again.
        drain_s: From a leave notice until a replica gets no new requests.
        recovery_s: From the last fault until requests are served again.
        grace_s: From SIGTERM to SIGKILL.
        answer_s: From a route's timeout until an answer is overdue.
        retry_ratio: Retries allowed for each request.
        retry_extra: Additional retries allowed in a window.
        window_s: Window in which retries are counted.
    """

    apply_s: float = 2.0
    regress_s: float = 0.25
    contact_s: float = 4.0
    drain_s: float = 2.0
    recovery_s: float = 12.0
    grace_s: float = GRACE_SECONDS
    answer_s: float = 0.5
    retry_ratio: float = 0.2
    retry_extra: float = 100.0
    window_s: float = 10.0


def build_boot(
    machine: Machine,
    *,
    zones: list[str],
    seeds: list[str],
    bootstrap: bool,
    folder: str | None,
    peer_routes: dict[str, str],
    bounds: SoakBounds,
    limits: Mapping[str, float] = types.MappingProxyType({}),
) -> bytes:
    """Builds the content of a machine's settings file.

    Args:
        machine: The machine.
        zones: Data centres of the deployment.
        seeds: IP addresses of some machines.
        bootstrap: Whether the deployment starts for the first time.
        folder: Folder of the replicated log; None if it is no voter.
        peer_routes: Addresses to dial instead of the peers' own addresses.
        bounds: Limits of the soak.
        limits: Size of the machine, as the fields of `limits`.
    """
    address = machine.address
    listen = {"control": f"{address}:{CONTROL_PORT}"}
    if not machine.core:
        listen = {
            "front": f"{address}:{FRONT_PORT}",
            "ready": f"{address}:{READY_PORT}",
        }
    return msgspec.json.encode(
        {
            "node": machine.name,
            "ip": address,
            "zone": machine.zone,
            "region": "trial",
            "zones": dict.fromkeys(zones, "trial"),
            "listen": listen,
            "internalPortRange": [PEER_PORT, LAST_INTERNAL_PORT],
            "seeds": [f"{seed}:{CONTROL_PORT}" for seed in seeds],
            "bootstrap": bootstrap,
            "dataDir": folder,
            "bounds": {
                "graceS": bounds.grace_s,
                "retryBudgetRatio": bounds.retry_ratio,
                "budgetWindowS": bounds.window_s,
                "budgetExtra": bounds.retry_extra,
            },
            "faultTolerance": {"machines": 1, "zones": 1},
            "limits": dict(limits),
            "peerRoutes": peer_routes,
        }
    )


def build_configuration(
    version: int, shape: DeploymentShape = SHORT_STREAMS
) -> bytes:
    """Builds the configuration of a version.

    Each version adds a route of its own and drops the route of the version
    that is `KEPT_VERSION_ROUTES` older. It also adds a route and a key that all
    later versions keep.

    Args:
        version: Number of the version.
        shape: Size of the engines and of the streams.
    """
    routes = [
        build_route(CallKind.REPEATABLE, PLAIN_SERVICE, maxAttempts=2),
        build_route(CallKind.ONCE, PLAIN_SERVICE, maxAttempts=1),
        build_route(
            CallKind.STREAM,
            ENGINE_SERVICE,
            maxAttempts=2,
            resumable=True,
            gapTargetMs=500,
            timeoutMs=shape.stream_timeout_ms,
        ),
    ]
    for number in range(max(1, version - KEPT_VERSION_ROUTES + 1), version + 1):
        route = build_route(CallKind.REPEATABLE, PLAIN_SERVICE, public=True)
        route.update(name=f"v{number}", pathPrefix=build_version_prefix(number))
        routes.append(route)
    for number in range(1, version + 1):
        route = build_route(CallKind.REPEATABLE, PLAIN_SERVICE)
        route.update(name=f"k{number}", pathPrefix=build_kept_prefix(number))
        routes.append(route)
    routes += build_extra_routes(shape.extra_routes)
    tenants = [{"name": "tenant", "apiKeys": [API_KEY]}]
    tenants += [
        {"name": f"tenant-{x}", "apiKeys": [build_kept_key(x)]}
        for x in range(1, version + 1)
    ]
    return msgspec.json.encode(
        {
            "version": version,
            "routes": routes,
            "services": [
                {"name": PLAIN_SERVICE, "maxConns": 200},
                {
                    "name": ENGINE_SERVICE,
                    "maxConns": 200,
                    "engine": build_engine(shape),
                },
            ],
            "tenants": tenants,
        }
    )


def build_route(
    kind: CallKind, service: str, **values: object
) -> dict[str, object]:
    """Builds a route document.

    Args:
        kind: Kind of its requests.
        service: Name of its service.
        values: Further fields, which override the default ones.
    """
    return {
        "name": kind.name.lower(),
        "host": HOST,
        "pathPrefix": f"/{kind.value}/",
        "kind": kind.value,
        "service": service,
        "timeoutMs": TIMEOUT_MS,
        "goalMs": 500,
        **values,
    }


@functools.cache
def build_extra_routes(count: int) -> list[dict[str, object]]:
    """Builds routes of other hosts, whose names do not compress well."""
    routes = []
    for number in range(count):
        name = hashlib.sha256(b"%d" % number).hexdigest()[:EXTRA_NAME_LENGTH]
        route = build_route(CallKind.REPEATABLE, PLAIN_SERVICE, public=True)
        route.update(name=f"x-{name}", host=f"{name}.example")
        routes.append(route)
    return routes


def read_version(content: bytes) -> int:
    """Returns the number in a configuration; 0 if it cannot be read."""
    try:
        return msgspec.json.decode(content, type=VersionDocument).version
    except msgspec.MsgspecError:
        return 0


def build_engine(shape: DeploymentShape) -> dict[str, object]:
    """Builds the document of the engines' performance figures."""
    size_mb = shape.max_layers * LAYER_MB + 50
    return {
        "slots": 16,
        "step_ms": 1.0,
        "read_per_s": 100_000.0,
        "kvTokenBytes": 100_000,
        "linkMbps": 10_000.0,
        "layers": LAYERS,
        "layerMb": LAYER_MB,
        "activationBytes": 1000,
        "pipeMbps": 1000.0,
        "usual": {
            "prompt": PROMPT_TOKENS,
            "answer": shape.usual_events,
        },
        "kinds": [{"name": "card", "sizeMb": size_mb}],
        "models": [{"name": "m", "loadS": 1.0}],
        "stall_ms": 2000,
    }


def build_version_prefix(version: int) -> str:
    """Returns the path prefix of a version's own route."""
    return f"/version-{version}/"


def build_kept_prefix(version: int) -> str:
    """Returns the path prefix of the route that a version adds for good."""
    return f"/kept-{version}/"


def build_kept_key(version: int) -> str:
    """Returns the key that a version adds for good."""
    return f"kept-key-{version}"


def timeout_s(kind: CallKind) -> float:
    """Returns the timeout of a kind in a deployment of short streams."""
    return SHORT_STREAMS.timeout_s(kind)


def build_call(
    request_id: str,
    path: str,
    *,
    time_left_s: float,
    answer_tokens: int = 0,
    parts: tuple[str, ...] = (),
    try_number: int = 0,
    key: str = API_KEY,
) -> RequestHead:
    """Builds the head of a client's request.

    Args:
        request_id: Identifier of the request.
        path: Path of the request.
        time_left_s: Seconds that the client waits.
        answer_tokens: Maximum tokens of the answer; 0 for none stated.
        parts: Identifiers of the parts of the prompt, in order.
        try_number: Number of the try under this identifier; 0 to state none.
        key: Key of the caller.
    """
    fields = [
        (b"Host", HOST.encode()),
        (headers.REQUEST_ID, request_id.encode()),
        (headers.TIME_LEFT, b"%d" % int(time_left_s * headers.MILLISECONDS)),
        (b"Authorization", b"Bearer " + key.encode()),
    ]
    if answer_tokens:
        tokens = b"%d,%d" % (PROMPT_TOKENS, answer_tokens)
        fields.append((headers.TOKENS, tokens))
    if parts:
        size = PROMPT_TOKENS // len(parts)
        text = ",".join(f"{part}:{size}" for part in parts)
        fields.append((headers.PROMPT_PARTS, text.encode()))
    if try_number:
        fields.append((TRY_HEADER, b"%d" % try_number))
    return RequestHead(method=b"POST", target=path.encode(), headers=fields)


def is_signed(head: ResponseHead, request_id: str) -> bool:
    """Whether an answer has a replica's stamp and belongs to a request."""
    found = find_header(head.headers, headers.REQUEST_ID.lower())
    return bool(read_stamp(head)) and found == request_id.encode()


def read_stamp(head: ResponseHead) -> str:
    """Returns the stamp of a replica's answer; empty if there is none."""
    stamp = find_header(head.headers, headers.STAMP.lower())
    return (stamp or b"").decode("latin-1")
