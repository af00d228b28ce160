"""Routes, services and limits of a manifest, as the gateway uses them."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import enum


class RouteKind(enum.StrEnum):
    """Delivery semantics of a route.

    REPEATABLE requests may run more than once, AT_MOST_ONCE requests may not.
    STREAM requests are answered by event streams; the route's `resumable`
    field defines whether these may be resumed.
    """

    REPEATABLE = "repeatable"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Split:
    """A weighted fraction of a route's requests for one service."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Routing rule for requests of a host and path prefix.

    Attributes:
        name: Identifier.
        host: Host header, in lower case, without a port.
        prefix: Path prefix; begins and ends with a slash.
        kind: Delivery semantics.
        timeout_s: Maximum time until the answer, in seconds.
        goal_s: Latency objective of an answer, in seconds.
        priority: Priority class; 0 is served first.
        splits: Services with their weights.
        max_attempts: Maximum number of targets that one request is sent to.
        public: Whether requests need no key.
        resumable: Whether a broken stream may continue on another target.
        gap_s: Latency objective between two events of a stream, in seconds.
    """

    name: str
    host: str
    prefix: bytes
    kind: RouteKind
    timeout_s: float
    goal_s: float
    priority: int = 0
    splits: tuple[Split, ...] = ()
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_s: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Whether a request may run on more than one target."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.REPEATABLE


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Accelerator:
    """A kind of accelerator, relative to the engine's reference figures.

    Attributes:
        name: Identifier.
        memory_bytes: Memory for layers and the caches of requests.
        step_factor: Factor on the decode time per step and context token.
        prefill_factor: Factor on the prefill time.
    """

    name: str
    memory_bytes: float
    step_factor: float
    prefill_factor: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Engine:
    """Performance model of the engines of a service, from the manifest.

    Attributes:
        layers: Number of layers of the model.
        layer_bytes: Memory of one layer, in bytes.
        cache_token_bytes: Cache memory of one token over all layers, in bytes.
        slots: Requests that one target accepts as the first of their chains.
        step_s: Base time of a decode step over all layers, in seconds.
        request_step_s: Additional time of a step for each request in the
            decode phase, in seconds.
        context_step_s: Additional time of a step for each token of context,
            in seconds.
        prefill_s: Prefill time of one prompt token over all layers, in seconds.
        steps_per_pass: Decode steps in one pass.
        prompt_chunk: Most prompt tokens that an engine reads in one pass; 0
            if not stated.
        load_s: Time to load all layers, in seconds.
        concurrent_loads: Concurrent loads beyond which each one slows down.
        typical_prompt: Mean tokens of a prompt.
        typical_answer: Mean tokens of an answer.
        link_seconds: One-way delay by pair of data centres, in seconds.
        accelerators: Kinds of accelerators by name.
        activation_bytes: Bytes that a target sends to the next one for each
            token.
        link_bytes_per_s: Bandwidth of a link between data centres, shared by
            all chains, in bytes per second; 0 for unlimited.
        stall_s: Time after which work that depends on a crashed target fails,
            in seconds.
    """

    layers: int
    layer_bytes: float
    cache_token_bytes: float
    slots: int
    step_s: float
    request_step_s: float
    context_step_s: float
    prefill_s: float
    steps_per_pass: int = 1
    prompt_chunk: int = 0
    load_s: float = 0.0
    concurrent_loads: int = 1
    typical_prompt: float = 0.0
    typical_answer: float = 0.0
    link_seconds: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    accelerators: dict[str, Accelerator] = dataclasses.field(
        default_factory=dict
    )
    activation_bytes: float = 0.0
    link_bytes_per_s: float = 0.0
    stall_s: float = 2.0

    def delay_s(self, source: str, destination: str) -> float:
        """Returns the one-way delay between two data centres."""
        if source == destination:
            return 0.0
        return self.link_seconds.get((source, destination), 0.0)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BackendService:
    """A service whose targets answer requests.

    Attributes:
        name: Identifier.
        max_connections: Connections that one target accepts from all VMs.
        engine: Performance model of its engines; None without engines.
    """

    name: str
    max_connections: int
    engine: Engine | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClientLimits:
    """Limits on requests and connections of clients.

    Attributes:
        max_head_bytes: Maximum size of a request head, in bytes.
        max_body_bytes: Maximum size of a body, in bytes.
        header_timeout_s: Maximum time to receive a request, in seconds.
        idle_timeout_s: Time after which an idle connection is closed, in
            seconds.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WorkspaceKey:
    """Workspace that owns a key, and the priority of its requests."""

    workspace: str
    priority: int | None = None


@dataclasses.dataclass(kw_only=True, slots=True)
class HostRoutes:
    """Routes of a host.

    Attributes:
        by_prefix: Routes by path prefix.
        lengths: Lengths of the prefixes, longest first.
    """

    by_prefix: dict[bytes, Route]
    lengths: tuple[int, ...]

    def __iter__(self) -> Iterator[Route]:
        return iter(self.by_prefix.values())

    def find(self, path: bytes) -> Route | None:
        """Returns the route with the longest prefix that matches a path."""
        for length in self.lengths:
            route = self.by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


@dataclasses.dataclass(kw_only=True, slots=True)
class RoutingTable:
    """The active manifest.

    Attributes:
        revision: Revision of the manifest.
        routes: Routes by host.
        services: Services by name.
        keys: Workspaces by key; None when no keys are required.
        limits: Limits on requests and connections of clients.
        ranked_services: Services with engines whose requests may have
            different priorities; found once, as the table does not change.
    """

    revision: int
    routes: dict[str, HostRoutes] = dataclasses.field(default_factory=dict)
    services: dict[str, BackendService] = dataclasses.field(
        default_factory=dict
    )
    keys: dict[str, WorkspaceKey] | None = None
    limits: ClientLimits = ClientLimits()
    ranked_services: frozenset[str] = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.ranked_services = find_ranked_services(self)

    def find_route(self, host: str, path: bytes) -> Route | None:
        """Returns the route with the longest prefix that matches a path."""
        routes = self.routes.get(host)
        return routes.find(path) if routes is not None else None


def find_ranked_services(table: RoutingTable) -> frozenset[str]:
    """Returns the services with engines that get different priorities.

    A key is valid on every route, and its priority, if it has one, overrides
    that of the route.
    """
    owners = table.keys.values() if table.keys is not None else ()
    of_keys = {x.priority for x in owners if x.priority is not None}
    uses_routes = table.keys is None or any(x.priority is None for x in owners)
    priorities: dict[str, set[int]] = {}
    for routes in table.routes.values():
        for route in routes:
            for split in route.splits:
                if not split.weight:
                    continue
                found = priorities.setdefault(split.service, set())
                if uses_routes or route.public:
                    found.add(route.priority)
    return frozenset(
        name
        for name, found in priorities.items()
        if len(found | of_keys) > 1
        and name in table.services
        and table.services[name].engine is not None
    )


def index_routes(routes: Iterable[Route]) -> dict[str, HostRoutes]:
    """Returns routes by host; the first one of a host and prefix counts."""
    groups: dict[str, dict[bytes, Route]] = {}
    for route in routes:
        group = groups.get(route.host)
        if group is None:
            group = groups[route.host] = {}
        group.setdefault(route.prefix, route)
    return {
        host: HostRoutes(by_prefix=group, lengths=measure_prefixes(group))
        for host, group in groups.items()
    }


def measure_prefixes(prefixes: Collection[bytes]) -> tuple[int, ...]:
    """Returns the lengths of prefixes, longest first."""
    if len(prefixes) == 1:
        # Most hosts have one route, and sorting takes most of the time then.
        return (len(next(iter(prefixes))),)
    return tuple(sorted(set(map(len, prefixes)), reverse=True))
