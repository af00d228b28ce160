"""What a trial deployment on loopback is told, and what its callers send.

The soak uses this module, so that only this package knows the platform's
names.
"""

import dataclasses
import enum

import msgspec

from rattanroute.http1.heads import find_header
from rattanroute.http1.heads import RequestHead
from rattanroute.http1.heads import ResponseHead
from rattanroute.platform import headers

HOST = "trial.example"
KEY = "trial-key"
DESK = "desk"
ENGINE = "engine"
LAYERS = 8
# Layers that fit into the memory of an engine, so that a model takes two.
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
# Newest versions whose own route is part of a configuration.
VERSIONS_KEPT = 6
TIMEOUT_MS = 3000
STREAM_TIMEOUT_MS = 8000
PROMPT_TOKENS = 40
PROMISES = frozenset({408, 421, 429, 503})


class CallKind(enum.StrEnum):
    """Kinds of requests of the trial."""

    REPEATABLE = "safe"
    ONCE = "unsafe"
    STREAM = "streaming"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Machine:
    """A machine of the trial deployment."""

    name: str
    zone: str
    address: str
    core: bool

    @property
    def peer_address(self) -> str:
        """Address for the other machines."""
        return f"{self.address}:{PEER_PORT}"

    @property
    def front_address(self) -> str:
        """Address for callers."""
        return f"{self.address}:{FRONT_PORT}"

    @property
    def ready_url(self) -> str:
        """Where it tells whether it takes callers."""
        return f"http://{self.address}:{READY_PORT}{READY_PATH}"

    @property
    def control_address(self) -> str:
        """Address for operators and replicas."""
        return f"{self.address}:{CONTROL_PORT}"

    @property
    def configuration_url(self) -> str:
        """Where an operator reads and writes the configuration."""
        return f"http://{self.control_address}{CONFIGURATION_PATH}"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Bounds:
    """Times within which the promises hold, in seconds.

    Attributes:
        apply_s: From an acknowledgement until the change is in force.
        regress_s: From a seen version until an older one is a fault.
        contact_s: From a disturbance until a machine counts again.
        drain_s: From a notice until new requests stay away from a replica.
        recovery_s: From the last fault until requests are served again.
        grace_s: From SIGTERM to SIGKILL.
        answer_s: Beyond a route's timeout until an answer is due.
        repeat_ratio: Further arrivals for each request.
        repeat_extra: Further arrivals in a window.
        window_s: Window of the further arrivals.
    """

    apply_s: float = 2.0
    regress_s: float = 0.25
    contact_s: float = 4.0
    drain_s: float = 2.0
    recovery_s: float = 12.0
    grace_s: float = 8.0
    answer_s: float = 0.5
    repeat_ratio: float = 0.2
    repeat_extra: float = 100.0
    window_s: float = 10.0


def build_boot(
    machine: Machine,
    *,
    zones: list[str],
    seeds: list[str],
    bootstrap: bool,
    folder: str | None,
    peer_routes: dict[str, str],
    bounds: Bounds,
) -> bytes:
    """Builds the settings file of a machine."""
    at = machine.address
    listen = {"control": f"{at}:{CONTROL_PORT}"}
    if not machine.core:
        listen = {"front": f"{at}:{FRONT_PORT}", "ready": f"{at}:{READY_PORT}"}
    return msgspec.json.encode(
        {
            "node": machine.name,
            "ip": at,
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
                "retryBudgetRatio": bounds.repeat_ratio,
                "budgetWindowS": bounds.window_s,
                "budgetExtra": bounds.repeat_extra,
            },
            "faultTolerance": {"machines": 1, "zones": 1},
            "peerRoutes": peer_routes,
        }
    )


def build_configuration(version: int) -> bytes:
    """Builds a configuration.

    Each version adds a route of its own and drops that of the version that is
    `VERSIONS_KEPT` older.
    """
    routes = [
        build_route(CallKind.REPEATABLE, DESK, maxAttempts=2),
        build_route(CallKind.ONCE, DESK, maxAttempts=1),
        build_route(
            CallKind.STREAM,
            ENGINE,
            maxAttempts=2,
            resumable=True,
            gapTargetMs=500,
            timeoutMs=STREAM_TIMEOUT_MS,
        ),
    ]
    for number in range(max(1, version - VERSIONS_KEPT + 1), version + 1):
        route = build_route(CallKind.REPEATABLE, DESK, public=True)
        route.update(name=f"v{number}", pathPrefix=version_prefix(number))
        routes.append(route)
    return msgspec.json.encode(
        {
            "version": version,
            "routes": routes,
            "services": [
                {"name": DESK, "maxConns": 200},
                {"name": ENGINE, "maxConns": 200, "engine": build_engine()},
            ],
            "tenants": [{"name": "tenant", "apiKeys": [KEY]}],
        }
    )


def build_route(
    kind: CallKind, service: str, **values: object
) -> dict[str, object]:
    """Builds a route."""
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


def build_engine() -> dict[str, object]:
    """Builds the figures of the engines."""
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
        "usual": {"prompt": PROMPT_TOKENS, "answer": 20},
        "kinds": [{"name": "card", "sizeMb": MAX_LAYERS * LAYER_MB + 50}],
        "models": [{"name": "m", "loadS": 1.0}],
        "stall_ms": 2000,
    }


def version_prefix(version: int) -> str:
    """Returns the path prefix of a version's own route."""
    return f"/version-{version}/"


def timeout_s(kind: CallKind) -> float:
    """Returns the timeout of a kind's route."""
    stream = kind is CallKind.STREAM
    return (STREAM_TIMEOUT_MS if stream else TIMEOUT_MS) / 1000


def build_call(
    request_id: str, path: str, *, time_left_s: float, answer_tokens: int = 0
) -> RequestHead:
    """Builds the head of a caller's request."""
    fields = [
        (b"Host", HOST.encode()),
        (headers.REQUEST_ID, request_id.encode()),
        (headers.TIME_LEFT, b"%d" % int(time_left_s * headers.MILLISECONDS)),
        (b"Authorization", b"Bearer " + KEY.encode()),
    ]
    if answer_tokens:
        tokens = b"%d,%d" % (PROMPT_TOKENS, answer_tokens)
        fields.append((headers.TOKENS, tokens))
    return RequestHead(method=b"POST", target=path.encode(), headers=fields)


def is_signed(head: ResponseHead, request_id: str) -> bool:
    """Whether an answer is signed and belongs to a request."""
    found = find_header(head.headers, headers.REQUEST_ID.lower())
    stamp = find_header(head.headers, headers.STAMP.lower())
    return stamp is not None and found == request_id.encode()
