"""Routes and authenticates client requests and passes them to a forwarder."""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import functools
import random as randoms
from typing import Protocol

from expression import Error
from expression import Ok
from expression import Result

from rattanroute.control.confirmed_lookups import ConfigurationState
from rattanroute.control.confirmed_lookups import ConfirmedLookup
from rattanroute.gateway.calls import Call
from rattanroute.gateway.header_codecs import HeaderCodec
from rattanroute.gateway.header_codecs import RequestMetadata
from rattanroute.http1.servers import Exchange
from rattanroute.logs import get_logger
from rattanroute.systems.shutdown_schedules import ShutdownSchedule
from rattanroute.systems.version_freshness import ConfigurationLag
from rattanroute.tables.routes import Route
from rattanroute.tables.routes import RouteKind
from rattanroute.tables.routes import RoutingTable
from rattanroute.tables.routes import Split
from rattanroute.tables.routes import WorkspaceKey

UNREADY_RETRY_SECONDS = 0.5
# Longer than the targets of a running system need to become known.
START_WAIT_SECONDS = 1.5
START_WAIT_FRACTION = 0.25
NO_OWNER = WorkspaceKey(workspace="")

log = get_logger(__name__)


class Forwarder(Protocol):
    """Forwards calls of one kind."""

    async def forward(self, call: Call) -> None:
        """Sends a call to targets and answers the client."""
        ...


class GatewayConfiguration(ConfigurationState, Protocol):
    """Tells how far the configuration in force may be behind."""

    def measure_lag(self) -> ConfigurationLag:
        """Returns how far the configuration in force may be behind."""
        ...


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """The answer to a request that is not forwarded.

    Attributes:
        status: Status of the answer.
        reason: Reason for the log.
        revision: Revision of the manifest that was applied.
    """

    status: int
    reason: str
    revision: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RouteMatch:
    """What the manifest in force says of a request.

    Attributes:
        table: The routing table.
        route: Route of the request.
        owner: Workspace of its key.
    """

    table: RoutingTable
    route: Route
    owner: WorkspaceKey


@dataclasses.dataclass(kw_only=True, slots=True)
class GatewayHandler:
    """Handles HTTP requests up to the choice of the forwarder.

    Attributes:
        codec: Header codec of the deployment.
        routing: Returns the routing table in force; None before the first
            one.
        services: Forwards requests with other answers to plain services.
        streams: Forwards requests whose answers are event streams.
        random: Selects among the services of a split route.
        startup_done: Set once a manifest and targets are known.
        shutdown: Returns the times of the planned stop; None before it.
        configuration: Tells how far the configuration may be behind.
        refusal_age_s: Seconds since the configuration in force was known to
            be current, up to which it suffices to refuse a request for an
            unknown route or key.
        ranks_enabled: Whether different priorities of a service count at its
            engines and beyond the queue of this VM.
        lookup: Finds routes and keys, of a newer configuration if needed.
    """

    codec: HeaderCodec
    routing: Callable[[], RoutingTable | None]
    services: Forwarder
    streams: Forwarder
    random: randoms.Random
    startup_done: asyncio.Event
    configuration: GatewayConfiguration
    refusal_age_s: float = 2.0
    ranks_enabled: bool = True
    shutdown: Callable[[], ShutdownSchedule | None] = lambda: None
    lookup: ConfirmedLookup = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.lookup = ConfirmedLookup(
            configuration=self.configuration, max_age_s=self.refusal_age_s
        )

    async def handle(self, exchange: Exchange) -> None:
        """Routes, authenticates and forwards a request."""
        head = exchange.request.head
        metadata = self.codec.read_request(head)
        if not self.startup_done.is_set():
            await self.wait_for_start(metadata)
        match = await self.find_match(metadata, head.path)
        if exchange.disconnected or exchange.ended:
            log.info(
                "request not routed",
                request_id=metadata.request_id,
                reason=exchange.connection.disconnect_reason,
            )
            return
        if isinstance(match, Refusal):
            self.refuse(exchange, metadata, match)
            return
        call = self.build_call(exchange, metadata, match)
        if not self.may_finish(call):
            refusal = Refusal(
                status=503, reason="stopping", revision=match.table.revision
            )
            self.refuse(exchange, metadata, refusal)
            return
        if match.route.kind is RouteKind.STREAM:
            await self.streams.forward(call)
        else:
            await self.services.forward(call)

    async def find_match(
        self, metadata: RequestMetadata, path: bytes
    ) -> RouteMatch | Refusal:
        """Returns the route of a request, or why it has none.

        A request that would be refused for good waits a moment for the newest
        configuration, and is told to come back if that cannot be had.
        """
        look_up = functools.partial(self.look_up, metadata, path)
        result = await self.lookup.find(
            look_up, time_left_s=metadata.time_left_s
        )
        if result is None:
            result = look_up().map_error(build_unconfirmed_refusal)
        return result.ok if result.is_ok() else result.error

    def look_up(
        self, metadata: RequestMetadata, path: bytes
    ) -> Result[RouteMatch | Refusal, Refusal]:
        """Returns the route of a request; a final refusal is an error."""
        match = find_match(self.routing(), metadata, path)
        if isinstance(match, RouteMatch) or match.status == 503:
            return Ok(match)
        return Error(match)

    def may_finish(self, call: Call) -> bool:
        """Returns whether a planned stop, if any, leaves time for a call."""
        schedule = self.shutdown()
        now = asyncio.get_running_loop().time()
        return schedule is None or schedule.admits(
            deadline=call.deadline, now=now
        )

    async def wait_for_start(self, metadata: RequestMetadata) -> None:
        """Waits until a process that has just started can serve.

        This takes a fraction of a second. A refused client would retry later
        than that and might have no retry left.
        """
        wait = START_WAIT_SECONDS
        if metadata.time_left_s is not None:
            wait = min(wait, START_WAIT_FRACTION * metadata.time_left_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait):
                await self.startup_done.wait()

    def build_call(
        self,
        exchange: Exchange,
        metadata: RequestMetadata,
        match: RouteMatch,
    ) -> Call:
        """Returns the call with its service, priority and deadline."""
        table, route, owner = match.table, match.route, match.owner
        remaining_s = route.timeout_s
        priority = route.priority
        if owner.priority is not None:
            priority = owner.priority
        if metadata.time_left_s is not None:
            remaining_s = min(remaining_s, metadata.time_left_s)
        service = table.services[self.choose_split(route.splits)]
        return Call(
            exchange=exchange,
            metadata=metadata,
            route=route,
            service=service,
            workspace=owner.workspace,
            priority=priority,
            ranked=(
                self.ranks_enabled and service.name in table.ranked_services
            ),
            deadline=exchange.received_at + remaining_s,
            revision=table.revision,
        )

    def choose_split(self, splits: tuple[Split, ...]) -> str:
        """Returns a service of a route, selected at random by weight."""
        if len(splits) == 1:
            return splits[0].service
        weights = [split.weight for split in splits]
        return self.random.choices(splits, weights)[0].service

    def refuse(
        self,
        exchange: Exchange,
        metadata: RequestMetadata,
        refusal: Refusal,
    ) -> None:
        """Answers a request that is not forwarded."""
        status = refusal.status
        retry_after_s = UNREADY_RETRY_SECONDS if status == 503 else None
        lag = self.configuration.measure_lag()
        log.info(
            "request refused",
            request_id=metadata.request_id,
            status=status,
            reason=refusal.reason,
            host=metadata.host,
            revision=refusal.revision,
            version=lag.version,
            known_version=lag.known_version,
            age_s=None if lag.age_s is None else round(lag.age_s, 3),
        )
        exchange.send(
            self.codec.build_refusal(
                status=status,
                request_id=metadata.request_id,
                retry_after_s=retry_after_s,
            )
        )


def build_unconfirmed_refusal(refusal: Refusal) -> Refusal:
    """Returns the refusal of a request that a newer configuration may allow."""
    return Refusal(
        status=503,
        reason=f"{refusal.reason}, configuration not confirmed",
        revision=refusal.revision,
    )


def find_match(
    table: RoutingTable | None, metadata: RequestMetadata, path: bytes
) -> RouteMatch | Refusal:
    """Returns the route of a request in a table, or why it has none."""
    if table is None:
        return Refusal(status=503, reason="no manifest is in force")
    route = table.find_route(metadata.host, path)
    if route is None:
        return Refusal(status=404, reason="no route", revision=table.revision)
    owner = find_owner(table, route, metadata.key)
    if owner is None:
        return Refusal(
            status=401, reason="unknown key", revision=table.revision
        )
    return RouteMatch(table=table, route=route, owner=owner)


def find_owner(
    table: RoutingTable, route: Route, key: str
) -> WorkspaceKey | None:
    """Returns the workspace key for a request; None if it is unauthorised."""
    if table.keys is None:
        return NO_OWNER
    owner = table.keys.get(key) if key else None
    if owner is None and route.public:
        return NO_OWNER
    return owner
