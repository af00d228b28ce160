"""What a manifest declares, in the form that the gateway reads."""

import dataclasses
import enum


class RouteKind(enum.StrEnum):
    """What may be repeated on a route.

    REPEATABLE requests may run more than once, AT_MOST_ONCE ones may not.
    STREAM answers are series of events; whether they may be resumed is a
    field of the route.
    """

    REPEATABLE = "repeatable"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Split:
    """A part of a route's requests that goes to one service."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Where requests of a host and path go, and how.

    Attributes:
        name: Identifier.
        host: Host header, in lower case, without a port.
        prefix: Start of the path; begins and ends with a slash.
        kind: What may be repeated.
        timeout_s: Longest time that a request may wait for its answer.
        goal_s: Time within which an answer is most useful.
        priority: Rank; 0 is served first.
        splits: Services with their weights.
        max_attempts: Targets to which one request may be sent.
        public: Whether no key is needed.
        resumable: Whether a broken stream may go on at another target.
        gap_s: Longest pause between events of a good stream.
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
        memory_bytes: Memory for layers and requests.
        step_factor: Factor on the time of a token step and its context.
        prefill_factor: Factor on the time of reading a prompt.
    """

    name: str
    memory_bytes: float
    step_factor: float
    prefill_factor: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Engine:
    """The published model of the engines of a service.

    Attributes:
        layers: Layers of the model.
        layer_bytes: Memory of one layer.
        cache_token_bytes: Memory of one token's cache over all layers.
        slots: Requests that one target takes as the first of its chains.
        step_s: Time of a token step over all layers without requests.
        request_step_s: Further time of a step for each request that writes.
        context_step_s: Further time of a step for each token of context.
        read_s: Time to read one prompt token over all layers.
        steps_per_pass: Token steps of one pass.
        load_s: Time to load all layers.
        concurrent_loads: Loads at once before each takes longer.
        typical_prompt: Mean tokens of a prompt.
        typical_answer: Mean tokens of an answer.
        link_seconds: One-way delay by pair of data centres.
        accelerators: Kinds of accelerators by name.
        activation_bytes: Bytes that a target passes on for each token.
        pipe_bytes_per_s: Rate of the links between data centres, which all
            chains share; 0 when not limited.
        stall_s: Time after which work that depends on a dead target ends.
    """

    layers: int
    layer_bytes: float
    cache_token_bytes: float
    slots: int
    step_s: float
    request_step_s: float
    context_step_s: float
    read_s: float
    steps_per_pass: int = 1
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
    pipe_bytes_per_s: float = 0.0
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
        engine: Model of its engines; None for a plain service.
    """

    name: str
    max_connections: int
    engine: Engine | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """What callers may send.

    Attributes:
        max_head_bytes: Largest request head.
        max_body_bytes: Largest body.
        header_timeout_s: Longest time to receive a request.
        idle_timeout_s: Time after which an unused connection is closed.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WorkspaceKey:
    """Who a key belongs to."""

    workspace: str
    priority: int | None = None


@dataclasses.dataclass(kw_only=True, slots=True)
class RoutingTable:
    """A manifest in force.

    Attributes:
        revision: Number of the manifest.
        routes: Routes by host, longest prefix first.
        services: Services by name.
        keys: Workspaces by key; None when no keys are asked for.
        limits: What callers may send.
    """

    revision: int
    routes: dict[str, list[Route]] = dataclasses.field(default_factory=dict)
    services: dict[str, BackendService] = dataclasses.field(
        default_factory=dict
    )
    keys: dict[str, WorkspaceKey] | None = None
    limits: CallerLimits = CallerLimits()

    def find_route(self, host: str, path: bytes) -> Route | None:
        """Returns the route with the longest prefix that begins a path."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def index_routes(routes: list[Route]) -> dict[str, list[Route]]:
    """Returns routes by host, longest prefix first."""
    found: dict[str, list[Route]] = {}
    for route in routes:
        found.setdefault(route.host, []).append(route)
    for group in found.values():
        group.sort(key=lambda route: len(route.prefix), reverse=True)
    return found
