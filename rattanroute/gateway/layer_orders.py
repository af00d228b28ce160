"""Orders engines to load layers, from the VM that holds the control lease."""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Protocol

from rattanroute.errors import RouterError
from rattanroute.gateway.engine_control_clients import EngineControlClient
from rattanroute.logs import get_logger
from rattanroute.systems.layer_assignments import LayerHolder
from rattanroute.systems.layer_assignments import LayerRange
from rattanroute.systems.layer_assignments import plan_loads
from rattanroute.systems.layer_assignments import plan_moves
from rattanroute.systems.repartitions import find_incomplete_centres
from rattanroute.systems.repartitions import plan_repartitions
from rattanroute.tables.routes import BackendService
from rattanroute.tables.routes import RoutingTable
from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetTable

ORDER_TIMEOUT_SECONDS = 1.0
# While many engines have just reported for the first time, planning waits for
# the others that start with them.
SETTLE_SECONDS = 1.5
SETTLING_FRACTION = 0.25
# Time for which a layer must be missing in a data centre before an engine that
# holds other layers is ordered to load it: an engine that restarts reloads its
# own layers.
LAYER_GAP_SECONDS = 0.5
# Time for which a layer must be missing before all layers are repartitioned
# among the targets of the data centre: most crashed targets are back, or
# replaced, within seconds.
REPARTITION_SECONDS = 1.5
# An order that has no effect after the expected load time and this margin is
# sent again.
RETRY_MARGIN_SECONDS = 6.0
# Targets whose last report is older than this are left out of the plans.
STALE_SECONDS = 5.0
# A target whose reports stopped, but that was not found unreachable, is
# considered gone only after this time: it may be behind a network partition
# that heals.
LOST_SECONDS = 15.0
ACCEPTED = frozenset({200, 202})

log = get_logger(__name__)


class ControlLease(Protocol):
    """Lease of the VM that may send layer orders."""

    fencing_token: int

    def held(self, now: float) -> bool:
        """Returns whether this VM holds the lease at a time."""
        ...


@dataclasses.dataclass(kw_only=True, slots=True)
class PendingOrder:
    """An order whose effect has not been reported yet.

    Attributes:
        layers: Layers that the engine was ordered to hold.
        expires_at: Time after which the order may be sent again, in seconds
            of the event loop's clock.
    """

    layers: LayerRange
    expires_at: float


class LayerOrderer:
    """Plans the layers of engines and sends the orders.

    Args:
        lease: The control lease.
        targets: All known targets.
        routing: Returns the active routing table.
        engine_control: Client for state queries and layer orders.
        has_left: Returns whether a target has announced its departure.
    """

    def __init__(
        self,
        *,
        lease: ControlLease,
        targets: TargetTable,
        routing: Callable[[], RoutingTable | None],
        engine_control: EngineControlClient,
        has_left: Callable[[Target], bool],
    ) -> None:
        self.lease = lease
        self.targets = targets
        self.routing = routing
        self.engine_control = engine_control
        self.has_left = has_left
        self.pending: dict[tuple[str, int], PendingOrder] = {}
        self.gap_since: dict[str, float] = {}
        # Targets by service for which the last plan found no gap.
        self.holders_without_gaps: dict[str, list[LayerHolder]] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def run(self) -> None:
        """Plans and sends the orders that are due; called at an interval."""
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
        """Plans the layers of a service's engines and starts the orders."""
        rows = [
            row
            for row in self.targets.serving(service.name)
            if now - row.seen_at < STALE_SECONDS
            and row.reachable
            and not self.has_left(row)
        ]
        settling = sum(now - x.first_received_at < SETTLE_SECONDS for x in rows)
        if settling > SETTLING_FRACTION * len(rows):
            return
        holders = [self.build_holder(row) for row in rows]
        if self.holders_without_gaps.get(service.name) == holders:
            return
        plan = plan_loads(service.engine, holders)
        if not plan:
            plan = self.plan_delayed_moves(service, holders, now)
        for row in rows:
            layers = plan.get(row.report.target_id)
            if layers is not None:
                self.start_order(service, row, layers, now)

    def plan_delayed_moves(
        self, service: BackendService, holders: list[LayerHolder], now: float
    ) -> dict[str, LayerRange]:
        """Returns moves, or a repartition, for gaps that have persisted."""
        engine = service.engine
        moves = plan_moves(engine, holders)
        if not moves and not find_incomplete_centres(engine, holders):
            self.gap_since.pop(service.name, None)
            self.holders_without_gaps[service.name] = holders
            return {}
        gap_duration = now - self.gap_since.setdefault(service.name, now)
        if moves:
            return moves if gap_duration >= LAYER_GAP_SECONDS else {}
        if gap_duration < REPARTITION_SECONDS:
            return {}
        uncertain = self.find_uncertain_centres(service, now)
        repartition = plan_repartitions(
            engine, [x for x in holders if x.data_centre not in uncertain]
        )
        if repartition:
            log.info(
                "layers repartitioned",
                service=service.name,
                targets=len(repartition),
                seconds=gap_duration,
            )
        return repartition

    def find_uncertain_centres(
        self, service: BackendService, now: float
    ) -> set[str]:
        """Returns data centres with silent targets that may still be running.

        Repartitioning their layers would stop a data centre that still serves
        behind a network partition.
        """
        return {
            row.report.data_centre
            for row in self.targets.serving(service.name)
            if STALE_SECONDS <= now - row.seen_at < LOST_SECONDS
            and row.reachable
            and not self.has_left(row)
        }

    def build_holder(self, row: Target) -> LayerHolder:
        """Returns a target as planning input; pending orders count as done."""
        report = row.report
        layers = find_reported_layers(row)
        key = (report.target_id, report.incarnation)
        pending = self.pending.get(key)
        if pending is not None:
            if layers == pending.layers:
                del self.pending[key]
            layers = pending.layers
        return LayerHolder(
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
        """Starts an order, which is pending until its effect is reported."""
        report = row.report
        engine = service.engine
        fraction = (layers.end - layers.first) / engine.layers
        key = (report.target_id, report.incarnation)
        self.pending[key] = PendingOrder(
            layers=layers,
            expires_at=now + engine.load_s * fraction + RETRY_MARGIN_SECONDS,
        )
        task = asyncio.create_task(self.run_order(row, layers, key))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run_order(
        self, row: Target, layers: LayerRange, key: tuple[str, int]
    ) -> None:
        """Sends an order; if it is not accepted, it may be sent again."""
        if not await self.order(row, layers):
            self.pending.pop(key, None)

    async def order(self, row: Target, layers: LayerRange) -> bool:
        """Queries an engine's state and orders it to hold layers.

        Returns:
            Whether the engine holds or loads layers, as far as is known.
        """
        report = row.report
        address = report.address
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_SECONDS):
                state = await self.engine_control.fetch_state(address)
                if state.is_of_another(report.incarnation):
                    log.info(
                        "order not sent",
                        target=report.target_id,
                        incarnation=report.incarnation,
                        found=state.incarnation,
                    )
                    return False
                if state.busy or state.layers != find_reported_layers(row):
                    log.info(
                        "order not sent",
                        target=report.target_id,
                        busy=state.busy,
                        layers=state.layers,
                    )
                    return state.busy
                if not self.lease.held(asyncio.get_running_loop().time()):
                    return False
                status = await self.engine_control.order_layers(
                    address,
                    layers,
                    target_id=report.target_id,
                    fence=self.lease.fencing_token,
                    expected=state.orders,
                )
        except (RouterError, TimeoutError) as error:
            log.warning(
                "order failed", target=report.target_id, error=str(error)
            )
            return False
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
        return status in ACCEPTED


def find_reported_layers(row: Target) -> LayerRange | None:
    """Returns the layers that a target reports; None if it is empty."""
    report = row.report
    if report.last_layer < report.first_layer:
        return None
    return LayerRange(first=report.first_layer, end=report.last_layer + 1)
