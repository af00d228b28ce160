"""Decodes and validates the platform's configuration documents.

The result is a routing table.
"""

import collections
from collections.abc import Iterable
import dataclasses
from typing import Annotated

import msgspec

from rattanroute.errors import RouterError
from rattanroute.tables.routes import Accelerator
from rattanroute.tables.routes import BackendService
from rattanroute.tables.routes import ClientLimits
from rattanroute.tables.routes import Engine
from rattanroute.tables.routes import HostRoutes
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

ROUTE_KINDS = {
    "safe": RouteKind.REPEATABLE,
    "unsafe": RouteKind.AT_MOST_ONCE,
    "streaming": RouteKind.STREAM,
}

Text = Annotated[str, msgspec.Meta(min_length=1)]


class BackendDocument(msgspec.Struct, frozen=True, kw_only=True):
    """A service that receives a weighted fraction of a route's requests."""

    service: Text
    weight: float


class RouteDocument(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """A route; either `service` or `backends` is set.

    Attributes:
        kind: Delivery semantics, a key of `ROUTE_KINDS`.
        timeout_ms: Time until the answer is due.
        goal_ms: Latency objective.
        priority: Rank among waiting requests.
        max_attempts: Number of targets that a request may be sent to.
        public: Whether requests need no key.
        resumable: Whether a broken stream may continue at another target.
        gap_target_ms: Objective for the time between two events of a stream.
    """

    name: Text
    host: Text
    path_prefix: Text
    kind: str
    timeout_ms: float
    goal_ms: float = 0.0
    priority: int = 0
    service: str | None = None
    backends: list[BackendDocument] | None = None
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_target_ms: float = 0.0


class LinkDelayDocument(
    msgspec.Struct, frozen=True, kw_only=True, rename={"source": "from"}
):
    """One-way delay between two zones."""

    source: str
    to: str
    delay_ms: float


class TypicalTokensDocument(msgspec.Struct, frozen=True, kw_only=True):
    """Mean token counts of a request's prompt and answer."""

    prompt: float = 0.0
    answer: float = 0.0


class AcceleratorDocument(
    msgspec.Struct, frozen=True, kw_only=True, rename="camel"
):
    """A kind of accelerator.

    Attributes:
        size_mb: Memory, in megabytes.
        pace: Factor on the duration of a step.
        read_x: Factor on the duration of the prefill.
    """

    name: Text
    size_mb: float
    pace: float = 1.0
    read_x: float = 1.0


class ModelDocument(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """A model that the engines can load.

    Attributes:
        load_s: Seconds to load all layers.
    """

    name: str = ""
    load_s: float = 0.0


class EngineDocument(msgspec.Struct, frozen=True, kw_only=True):
    """Published performance figures of a service's engines.

    Attributes:
        slots: Requests that one engine runs as the first of its chains.
        step_ms: Duration of a step.
        per_seq_ms: Additional duration of a step for each request.
        context_per_k: Additional milliseconds of a step for each 1000 tokens
            of context.
        read_per_s: Prompt tokens processed in a second (prefill).
        stride: Token steps in one pass through the chain.
        chunk: Most prompt tokens processed in one pass.
        token_bytes: Memory for the cache entry of a token.
        layers: Layers of the model; 0 for a plain service.
        layer_mb: Memory for a layer, in megabytes.
        activation_bytes: Bytes sent to the next engine of a chain for each
            token.
        pipe_mbps: Bandwidth of a link between data centres in Mbit/s, shared
            by all chains; 0 for no limit.
        loads_at_once: Concurrent loads before each one takes longer.
        usual: Token counts of a typical request.
        kinds: Kinds of accelerators.
    """

    slots: int
    step_ms: float
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    read_per_s: float = 0.0
    stride: int = 1
    chunk: int = 0
    token_bytes: float = msgspec.field(name="kvTokenBytes", default=0.0)
    layers: int = 0
    layer_mb: float = msgspec.field(name="layerMb", default=0.0)
    activation_bytes: float = msgspec.field(name="activationBytes", default=0.0)
    pipe_mbps: float = msgspec.field(name="pipeMbps", default=0.0)
    loads_at_once: int = 1
    delays: list[LinkDelayDocument] = []
    usual: TypicalTokensDocument = TypicalTokensDocument()
    kinds: list[AcceleratorDocument] = []
    models: list[ModelDocument] = []


class ServiceDocument(
    msgspec.Struct, frozen=True, kw_only=True, rename="camel"
):
    """A service.

    Attributes:
        max_conns: Connections that one target accepts from all VMs.
        engine: Figures of its engines; None for a plain service.
    """

    name: Text
    max_conns: int = 0
    engine: EngineDocument | None = None


class LimitsDocument(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Limits on the requests of clients."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class TenantDocument(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """A tenant (a workspace) with its keys."""

    name: Text
    api_keys: list[str] = []
    priority: int | None = None


class ConfigurationDocument(msgspec.Struct, frozen=True, kw_only=True):
    """A complete configuration; without `tenants`, no key is required.

    Routes stay encoded: most of them do not change between two versions.
    """

    version: int
    routes: list[msgspec.Raw]
    services: list[ServiceDocument]
    limits: LimitsDocument = LimitsDocument()
    tenants: list[TenantDocument] | None = None


DECODER = msgspec.json.Decoder(ConfigurationDocument)
ROUTE_DECODER = msgspec.json.Decoder(RouteDocument)


class InvalidManifestError(RouterError):
    """A configuration is malformed or invalid and must not become active."""


def build_manifest_error(message: str) -> InvalidManifestError:
    """Returns the error of an invalid configuration."""
    return InvalidManifestError(step="check manifest", message=message)


def decode_manifest(
    data: bytes, *, stall_s: float = 2.0, submitted: bool = False
) -> RoutingTable:
    """Decodes and validates one configuration; see `ManifestDecoder`."""
    return ManifestDecoder(stall_s=stall_s).decode(data, submitted=submitted)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DecodedRoute:
    """A decoded route.

    Attributes:
        route: The route.
        named_service: Service that it names, also beside back ends.
    """

    route: Route
    named_service: str | None


@dataclasses.dataclass(kw_only=True, slots=True)
class ManifestDecoder:
    """Decodes successive configurations; unchanged routes only once.

    Attributes:
        stall_s: Seconds after which an engine aborts a request that waits for
            a failed engine of its chain.
        known_routes: Routes of the last configuration, by their encoding.
        known_services: Names of its services.
    """

    stall_s: float = 2.0
    known_routes: dict[bytes, DecodedRoute] = dataclasses.field(
        default_factory=dict
    )
    known_services: frozenset[str] = frozenset()

    def decode(self, data: bytes, *, submitted: bool = False) -> RoutingTable:
        """Decodes and validates a configuration.

        Args:
            data: The JSON document.
            submitted: Whether an operator has just sent it. One that an
                earlier version has accepted must stay readable, so that a
                check that is added later applies to submitted ones only.

        Raises:
            InvalidManifestError: If it is malformed, truncated or invalid.
        """
        try:
            document = DECODER.decode(data)
            encoded = [bytes(item) for item in document.routes]
            unknown = [x for x in encoded if x not in self.known_routes]
            new = {item: decode_route(item) for item in unknown}
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise build_manifest_error(str(error)) from error
        if document.version < 0:
            raise build_manifest_error("the version is negative")
        services = {
            item.name: build_service(item, self.stall_s)
            for item in document.services
        }
        known = {**self.known_routes, **new} if new else self.known_routes
        decoded = [known[item] for item in encoded]
        if submitted:
            check_named_services(decoded, services)
        # Known routes were checked with the services of the last document.
        is_same = services.keys() == self.known_services
        check_services(new.values() if is_same else decoded, services)
        routes = index_routes(item.route for item in decoded)
        check_places(decoded, routes)
        self.known_routes = dict(zip(encoded, decoded, strict=True))
        self.known_services = frozenset(services)
        return RoutingTable(
            revision=document.version,
            routes=routes,
            services=services,
            keys=build_keys(document.tenants),
            limits=build_limits(document.limits),
        )


def decode_route(data: bytes) -> DecodedRoute:
    """Decodes a route.

    Raises:
        InvalidManifestError: If the route is invalid.
        msgspec.DecodeError: If it is malformed.
    """
    item = ROUTE_DECODER.decode(data)
    return DecodedRoute(route=build_route(item), named_service=item.service)


def check_named_services(
    decoded: list[DecodedRoute], services: dict[str, BackendService]
) -> None:
    """Checks the services that routes name beside their back ends.

    Raises:
        InvalidManifestError: If one of them is unknown.
    """
    for item in decoded:
        if item.named_service and item.named_service not in services:
            raise build_manifest_error(
                f"route {item.route.name}: no service {item.named_service!r}"
            )


def check_services(
    decoded: Iterable[DecodedRoute], services: dict[str, BackendService]
) -> None:
    """Checks the services that get requests of routes.

    Raises:
        InvalidManifestError: If one of them is unknown.
    """
    for item in decoded:
        for split in item.route.splits:
            if split.service not in services:
                raise build_manifest_error(
                    f"route {item.route.name}: no service {split.service!r}"
                )


def check_places(
    decoded: list[DecodedRoute], routes: dict[str, HostRoutes]
) -> None:
    """Checks that no two routes have the same host and path prefix.

    Raises:
        InvalidManifestError: If fewer routes are in the index than decoded.
    """
    if sum(len(group.by_prefix) for group in routes.values()) == len(decoded):
        return
    places = collections.Counter(
        (x.route.host, x.route.prefix) for x in decoded
    )
    (host, prefix), _ = places.most_common(1)[0]
    raise build_manifest_error(f"two routes at {host}{prefix.decode()}")


def build_route(item: RouteDocument) -> Route:
    """Returns the validated route of a document.

    Raises:
        InvalidManifestError: If the route is invalid.
    """
    kind = ROUTE_KINDS.get(item.kind)
    if kind is None:
        raise build_manifest_error(
            f"route {item.name}: unknown kind {item.kind!r}"
        )
    if item.timeout_ms <= 0:
        raise build_manifest_error(f"route {item.name}: the time-out is 0")
    if not (item.path_prefix.startswith("/") and item.path_prefix[-1] == "/"):
        raise build_manifest_error(
            f"route {item.name}: the prefix needs its slashes"
        )
    splits = build_splits(item)
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
        InvalidManifestError: If there is no service, a weight is negative or
            all are 0.
    """
    if item.backends is not None:
        splits = tuple(
            Split(service=part.service, weight=part.weight)
            for part in item.backends
        )
    elif item.service:
        splits = (Split(service=item.service, weight=1.0),)
    else:
        raise build_manifest_error(f"route {item.name}: no service")
    if any(split.weight < 0 for split in splits):
        raise build_manifest_error(f"route {item.name}: a weight is negative")
    if sum(split.weight for split in splits) <= 0:
        raise build_manifest_error(
            f"route {item.name}: the weights add up to 0"
        )
    return splits


def build_service(item: ServiceDocument, stall_s: float) -> BackendService:
    """Returns the service that a document describes."""
    engine = None
    if item.engine is not None:
        engine = build_engine(item.engine, stall_s)
    return BackendService(
        name=item.name, max_connections=item.max_conns, engine=engine
    )


def build_engine(item: EngineDocument, stall_s: float) -> Engine:
    """Returns the performance model of a service's engines."""
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
        prefill_s=1.0 / item.read_per_s if item.read_per_s else 0.0,
        steps_per_pass=item.stride,
        prompt_chunk=item.chunk,
        load_s=max((model.load_s for model in item.models), default=0.0),
        concurrent_loads=max(1, item.loads_at_once),
        typical_prompt=item.usual.prompt,
        typical_answer=item.usual.answer,
        link_seconds=delays,
        accelerators=accelerators,
        activation_bytes=item.activation_bytes,
        link_bytes_per_s=item.pipe_mbps * BYTES_PER_MEGABIT,
        stall_s=stall_s,
    )


def build_keys(
    tenants: list[TenantDocument] | None,
) -> dict[str, WorkspaceKey] | None:
    """Returns the workspace of each key; None if no key is required.

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
                raise build_manifest_error(
                    f"tenants {known.workspace} and {tenant.name} share a key"
                )
    return keys


def build_limits(item: LimitsDocument) -> ClientLimits:
    """Returns the limits on the requests of clients."""
    return ClientLimits(
        max_head_bytes=item.max_header_bytes,
        max_body_bytes=item.max_body_bytes,
        header_timeout_s=item.header_timeout_ms * MILLISECOND,
        idle_timeout_s=item.idle_timeout_ms * MILLISECOND,
    )
