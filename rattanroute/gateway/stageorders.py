"""Orders empty engines to load layers, from the VM that leads the log."""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Protocol

from rattanroute.errors import RouterError
from rattanroute.http1.clients import CollectingSink
from rattanroute.http1.clients import ConnectionPool
from rattanroute.http1.heads import RequestHead
from rattanroute.logs import get_logger
from rattanroute.systems.stageplans import LayerRange
from rattanroute.systems.stageplans import plan_stages
from rattanroute.systems.stageplans import StageHolder
from rattanroute.tables.routes import BackendService
from rattanroute.tables.routes import RoutingTable
from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetTable

ORDER_TIMEOUT_SECONDS = 1.0
# Time after the first report of an engine before a plan counts it, so that
# the engines of a start are planned together.
SETTLE_SECONDS = 1.5
# An order without effect after the expected time of loading and this margin
# is given again.
RETRY_MARGIN_SECONDS = 6.0
STALE_SECONDS = 5.0
MAX_ANSWER_BYTES = 1_048_576
ACCEPTED = frozenset({200, 202})

log = get_logger(__name__)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EngineState:
    """What an engine says when asked.

    Attributes:
        orders: Orders that it has accepted since its start.
        busy: Whether it is carrying one out.
        layers: Layers that it holds; None when it is empty.
    """

    orders: int
    busy: bool
    layers: LayerRange | None


class OrderCodec(Protocol):
    """Encodes questions and orders for engines, and decodes their state."""

    def build_question(self, address: str) -> RequestHead:
        """Returns the head of the question for an engine's state."""
        ...

    def decode_state(self, address: str, data: bytes) -> EngineState:
        """Decodes an engine's state.

        Raises:
            RouterError: If it cannot be read.
        """
        ...

    def build_order(self, address: str) -> RequestHead:
        """Returns the head of an order."""
        ...

    def encode_order(
        self, layers: LayerRange, *, fence: int, expected: int
    ) -> bytes:
        """Encodes the order to hold some layers."""
        ...


class ControlLease(Protocol):
    """The lease of the VM that may give orders."""

    fencing_token: int

    def held(self, now: float) -> bool:
        """Returns whether this VM holds the lease at a time."""
        ...


@dataclasses.dataclass(kw_only=True, slots=True)
class PendingOrder:
    """An order whose effect is not reported yet."""

    layers: LayerRange
    expires_at: float


class StageOrderer:
    """Plans and orders the layers of empty engines.

    Args:
        lease: The control lease.
        targets: All targets.
        routing: Returns the manifest in force.
        pool: Connections to targets.
        codec: Questions and orders.
        has_left: Whether a target said it ends.
    """

    def __init__(
        self,
        *,
        lease: ControlLease,
        targets: TargetTable,
        routing: Callable[[], RoutingTable | None],
        pool: ConnectionPool,
        codec: OrderCodec,
        has_left: Callable[[Target], bool],
    ) -> None:
        self.lease = lease
        self.targets = targets
        self.routing = routing
        self.pool = pool
        self.codec = codec
        self.has_left = has_left
        self.pending: dict[tuple[str, int], PendingOrder] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def run(self) -> None:
        """Gives the orders that are due; called at an interval."""
        now = asyncio.get_running_loop().time()
        table = self.routing()
        if table is None or not self.lease.held(now):
            return
        for key, order in list(self.pending.items()):
            if now >= order.expires_at:
                del self.pending[key]
        for service in table.services.values():
            if service.engine is not None:
                self.plan(service, now)

    def plan(self, service: BackendService, now: float) -> None:
        """Plans the engines of a service and starts the orders."""
        rows = [
            row
            for row in self.targets.serving(service.name)
            if now - row.heard_at < STALE_SECONDS and not self.has_left(row)
        ]
        if any(now - row.first_heard_at < SETTLE_SECONDS for row in rows):
            return
        holders = [self.build_holder(row) for row in rows]
        plan = plan_stages(service.engine, holders)
        for row in rows:
            layers = plan.get(row.report.target_id)
            if layers is not None:
                self.start_order(service, row, layers, now)

    def build_holder(self, row: Target) -> StageHolder:
        """Returns a target as the plan sees it."""
        report = row.report
        layers = None
        if report.last_layer >= report.first_layer:
            layers = LayerRange(
                first=report.first_layer, end=report.last_layer + 1
            )
        key = (report.target_id, report.incarnation)
        if key in self.pending:
            if layers is None:
                layers = self.pending[key].layers
            else:
                del self.pending[key]
        return StageHolder(
            target_id=report.target_id,
            data_centre=report.data_centre,
            accelerator=report.accelerator,
            layers=layers,
        )

    def start_order(
        self,
        service: BackendService,
        row: Target,
        layers: LayerRange,
        now: float,
    ) -> None:
        """Starts an order and notes it until its effect is reported."""
        report = row.report
        engine = service.engine
        part = (layers.end - layers.first) / engine.layers
        self.pending[report.target_id, report.incarnation] = PendingOrder(
            layers=layers,
            expires_at=now + engine.load_s * part + RETRY_MARGIN_SECONDS,
        )
        task = asyncio.create_task(self.order(row, layers))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def order(self, row: Target, layers: LayerRange) -> None:
        """Asks an engine for its state and orders it to load layers."""
        report = row.report
        address = report.address
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_SECONDS):
                question = self.codec.build_question(address)
                _, body = await self.ask(address, question, b"")
                state = self.codec.decode_state(address, body)
                if state.busy or state.layers is not None:
                    log.info(
                        "order not needed",
                        target=report.target_id,
                        busy=state.busy,
                        layers=state.layers,
                    )
                    return
                if not self.lease.held(asyncio.get_running_loop().time()):
                    return
                status, _ = await self.ask(
                    address,
                    self.codec.build_order(address),
                    self.codec.encode_order(
                        layers,
                        fence=self.lease.fencing_token,
                        expected=state.orders,
                    ),
                )
        except (RouterError, TimeoutError) as error:
            log.warning(
                "order failed", target=report.target_id, error=str(error)
            )
            return
        log.info(
            "order accepted" if status in ACCEPTED else "order refused",
            target=report.target_id,
            kind=report.accelerator,
            data_centre=report.data_centre,
            first_layer=layers.first,
            end_layer=layers.end,
            fencing_token=self.lease.fencing_token,
            orders=state.orders,
            status=status,
        )

    async def ask(
        self, address: str, head: RequestHead, body: bytes
    ) -> tuple[int, bytes]:
        """Sends a request and returns status and body.

        Raises:
            RouterError: If there is no whole answer.
        """
        connection = await self.pool.take(
            address, timeout_s=ORDER_TIMEOUT_SECONDS
        )
        sink = CollectingSink(max_bytes=MAX_ANSWER_BYTES)
        try:
            connection.send(head, body, sink)
            await sink.done
        finally:
            if not sink.done.done() or sink.done.cancelled():
                connection.cancel()
        return sink.head.status, sink.body
