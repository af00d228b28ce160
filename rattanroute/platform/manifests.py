"""Decodes the platform's configuration into a routing table."""

from typing import Annotated

import msgspec

from rattanroute.errors import RouterError
from rattanroute.tables.routes import Accelerator
from rattanroute.tables.routes import BackendService
from rattanroute.tables.routes import CallerLimits
from rattanroute.tables.routes import Engine
from rattanroute.tables.routes import index_routes
from rattanroute.tables.routes import Route
from rattanroute.tables.routes import RouteKind
from rattanroute.tables.routes import RoutingTable
from rattanroute.tables.routes import Split
from rattanroute.tables.routes import WorkspaceKey

MILLISECOND = 0.001
MEGABYTE = 1e6
PER_THOUSAND = 1e-3
BYTES_PER_MEGABIT = 125_000.0

KINDS = {
    "safe": RouteKind.REPEATABLE,
    "unsafe": RouteKind.AT_MOST_ONCE,
    "streaming": RouteKind.STREAM,
}

Text = Annotated[str, msgspec.Meta(min_length=1)]


class Backend(msgspec.Struct, frozen=True, kw_only=True):
    """A service of a split route."""

    service: Text
    weight: float


class RouteDocument(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """A route; either `service` or `backends` is set."""

    name: Text
    host: Text
    path_prefix: Text
    kind: str
    timeout_ms: float
    goal_ms: float = 0.0
    priority: int = 0
    service: str | None = None
    backends: list[Backend] | None = None
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_target_ms: float = 0.0


class DelayDocument(
    msgspec.Struct, frozen=True, kw_only=True, rename={"source": "from"}
):
    """One-way delay between two zones."""

    source: str
    to: str
    delay_ms: float


class UsualDocument(msgspec.Struct, frozen=True, kw_only=True):
    """Mean token counts of a request."""

    prompt: float = 0.0
    answer: float = 0.0


class KindDocument(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """A kind of accelerator."""

    name: Text
    size_mb: float
    pace: float = 1.0
    read_x: float = 1.0


class ModelDocument(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """A model that the engines can load."""

    name: str = ""
    load_s: float = 0.0


class EngineDocument(msgspec.Struct, frozen=True, kw_only=True):
    """The published figures of a service's engines."""

    slots: int
    step_ms: float
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    read_per_s: float = 0.0
    stride: int = 1
    token_bytes: float = msgspec.field(name="kvTokenBytes", default=0.0)
    layers: int = 0
    layer_mb: float = msgspec.field(name="layerMb", default=0.0)
    activation_bytes: float = msgspec.field(name="activationBytes", default=0.0)
    pipe_mbps: float = msgspec.field(name="pipeMbps", default=0.0)
    loads_at_once: int = 1
    delays: list[DelayDocument] = []
    usual: UsualDocument = UsualDocument()
    kinds: list[KindDocument] = []
    models: list[ModelDocument] = []


class ServiceDocument(
    msgspec.Struct, frozen=True, kw_only=True, rename="camel"
):
    """A service."""

    name: Text
    max_conns: int = 0
    engine: EngineDocument | None = None


class LimitsDocument(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """What requesters may send."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class TenantDocument(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """A tenant with its keys."""

    name: Text
    api_keys: list[str] = []
    priority: int | None = None


class ConfigurationDocument(msgspec.Struct, frozen=True, kw_only=True):
    """A complete configuration."""

    version: int
    routes: list[RouteDocument]
    services: list[ServiceDocument]
    limits: LimitsDocument = LimitsDocument()
    tenants: list[TenantDocument] | None = None


DECODER = msgspec.json.Decoder(ConfigurationDocument)


class InvalidManifestError(RouterError):
    """A configuration must not come into force."""


def reject(message: str) -> InvalidManifestError:
    """Returns the error of an invalid configuration."""
    return InvalidManifestError(step="check manifest", message=message)


def decode_manifest(data: bytes, *, stall_s: float = 2.0) -> RoutingTable:
    """Decodes and checks a configuration.

    Args:
        data: The JSON document.
        stall_s: Time after which engines end work that waits for a dead one.

    Raises:
        InvalidManifestError: If it cannot be read in full or is not valid.
    """
    try:
        document = DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise reject(str(error)) from error
    if document.version < 0:
        raise reject("the version is negative")
    services = {
        item.name: build_service(item, stall_s) for item in document.services
    }
    return RoutingTable(
        revision=document.version,
        routes=index_routes(build_routes(document, services)),
        services=services,
        keys=build_keys(document.tenants),
        limits=build_limits(document.limits),
    )


def build_routes(
    document: ConfigurationDocument, services: dict[str, BackendService]
) -> list[Route]:
    """Returns the checked routes.

    Raises:
        InvalidManifestError: If a route is invalid.
    """
    places: set[tuple[str, str]] = set()
    routes = []
    for item in document.routes:
        place = (item.host.lower(), item.path_prefix)
        if place in places:
            raise reject(f"two routes at {place[0]}{place[1]}")
        places.add(place)
        routes.append(build_route(item, services))
    return routes


def build_route(
    item: RouteDocument, services: dict[str, BackendService]
) -> Route:
    """Returns a checked route.

    Raises:
        InvalidManifestError: If it is invalid.
    """
    kind = KINDS.get(item.kind)
    if kind is None:
        raise reject(f"route {item.name}: unknown kind {item.kind!r}")
    if item.timeout_ms <= 0:
        raise reject(f"route {item.name}: the time-out is 0")
    if not (item.path_prefix.startswith("/") and item.path_prefix[-1] == "/"):
        raise reject(f"route {item.name}: the prefix needs its slashes")
    splits = build_splits(item)
    for split in splits:
        if split.service not in services:
            raise reject(f"route {item.name}: no service {split.service!r}")
    return Route(
        name=item.name,
        host=item.host.lower(),
        prefix=item.path_prefix.encode(),
        kind=kind,
        timeout_s=item.timeout_ms * MILLISECOND,
        goal_s=item.goal_ms * MILLISECOND,
        priority=item.priority,
        splits=splits,
        max_attempts=max(1, item.max_attempts),
        public=item.public,
        resumable=item.resumable,
        gap_s=item.gap_target_ms * MILLISECOND,
    )


def build_splits(item: RouteDocument) -> tuple[Split, ...]:
    """Returns the services of a route with their weights.

    Raises:
        InvalidManifestError: If there are none, or without any weight.
    """
    if item.backends is not None:
        splits = tuple(
            Split(service=part.service, weight=part.weight)
            for part in item.backends
        )
    elif item.service:
        splits = (Split(service=item.service, weight=1.0),)
    else:
        raise reject(f"route {item.name}: no service")
    if any(split.weight < 0 for split in splits):
        raise reject(f"route {item.name}: a weight is negative")
    if sum(split.weight for split in splits) <= 0:
        raise reject(f"route {item.name}: the weights add up to 0")
    return splits


def build_service(item: ServiceDocument, stall_s: float) -> BackendService:
    """Returns a service."""
    engine = None
    if item.engine is not None:
        engine = build_engine(item.engine, stall_s)
    return BackendService(
        name=item.name, max_connections=item.max_conns, engine=engine
    )


def build_engine(item: EngineDocument, stall_s: float) -> Engine:
    """Returns the model of a service's engines."""
    delays: dict[tuple[str, str], float] = {}
    for delay in item.delays:
        seconds = delay.delay_ms * MILLISECOND
        delays[delay.source, delay.to] = seconds
        delays[delay.to, delay.source] = seconds
    accelerators = {
        kind.name: Accelerator(
            name=kind.name,
            memory_bytes=kind.size_mb * MEGABYTE,
            step_factor=kind.pace,
            prefill_factor=kind.read_x,
        )
        for kind in item.kinds
    }
    return Engine(
        layers=item.layers,
        layer_bytes=item.layer_mb * MEGABYTE,
        cache_token_bytes=item.token_bytes,
        slots=item.slots,
        step_s=item.step_ms * MILLISECOND,
        request_step_s=item.per_seq_ms * MILLISECOND,
        context_step_s=item.context_per_k * MILLISECOND * PER_THOUSAND,
        read_s=1.0 / item.read_per_s if item.read_per_s else 0.0,
        steps_per_pass=item.stride,
        load_s=max((model.load_s for model in item.models), default=0.0),
        concurrent_loads=max(1, item.loads_at_once),
        typical_prompt=item.usual.prompt,
        typical_answer=item.usual.answer,
        link_seconds=delays,
        accelerators=accelerators,
        activation_bytes=item.activation_bytes,
        pipe_bytes_per_s=item.pipe_mbps * BYTES_PER_MEGABIT,
        stall_s=stall_s,
    )


def build_keys(
    tenants: list[TenantDocument] | None,
) -> dict[str, WorkspaceKey] | None:
    """Returns the owner of each key.

    Raises:
        InvalidManifestError: If two tenants share a key.
    """
    if tenants is None:
        return None
    keys: dict[str, WorkspaceKey] = {}
    for tenant in tenants:
        owner = WorkspaceKey(workspace=tenant.name, priority=tenant.priority)
        for key in tenant.api_keys:
            known = keys.setdefault(key, owner)
            if known.workspace != tenant.name:
                raise reject(
                    f"tenants {known.workspace} and {tenant.name} share a key"
                )
    return keys


def build_limits(item: LimitsDocument) -> CallerLimits:
    """Returns what callers may send."""
    return CallerLimits(
        max_head_bytes=item.max_header_bytes,
        max_body_bytes=item.max_body_bytes,
        header_timeout_s=item.header_timeout_ms * MILLISECOND,
        idle_timeout_s=item.idle_timeout_ms * MILLISECOND,
    )
