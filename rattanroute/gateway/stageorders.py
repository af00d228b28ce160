"""Orders empty engines to load layers, from the VM that leads the log."""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Protocol

from rattanroute.errors import RouterError
from rattanroute.gateway.questions import TargetQuestions
from rattanroute.logs import get_logger
from rattanroute.systems.relayouts import find_broken_centres
from rattanroute.systems.relayouts import plan_relayouts
from rattanroute.systems.stageplans import LayerRange
from rattanroute.systems.stageplans import plan_moves
from rattanroute.systems.stageplans import plan_stages
from rattanroute.systems.stageplans import StageHolder
from rattanroute.tables.routes import BackendService
from rattanroute.tables.routes import RoutingTable
from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetTable

ORDER_TIMEOUT_SECONDS = 1.0
# While many engines have just reported for the first time, a plan waits for
# the others of the same start.
SETTLE_SECONDS = 1.5
SETTLING_PART = 0.25
# Time for which a layer must be missing in a data centre before engines move:
# one that restarts fills its own gap.
GAP_SECONDS = 0.5
# Time for which it must be missing before the targets there share all layers
# anew: most that crash are back, or replaced, within seconds.
RELAYOUT_SECONDS = 1.5
# An order without effect after the expected time of loading and this margin
# is given again.
RETRY_MARGIN_SECONDS = 6.0
STALE_SECONDS = 5.0
# A target whose reports stopped, and that nobody found unreachable, is taken
# to be gone only after this time: it may be behind a cut that heals.
LOST_SECONDS = 15.0
ACCEPTED = frozenset({200, 202})

log = get_logger(__name__)


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
        questions: Asks and orders engines.
        has_left: Whether a target said it ends.
    """

    def __init__(
        self,
        *,
        lease: ControlLease,
        targets: TargetTable,
        routing: Callable[[], RoutingTable | None],
        questions: TargetQuestions,
        has_left: Callable[[Target], bool],
    ) -> None:
        self.lease = lease
        self.targets = targets
        self.routing = routing
        self.questions = questions
        self.has_left = has_left
        self.pending: dict[tuple[str, int], PendingOrder] = {}
        self.gap_since: dict[str, float] = {}
        # Targets, by service, for which there was nothing to do.
        self.complete: dict[str, list[StageHolder]] = {}
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
            if now - row.received_at < STALE_SECONDS
            and row.reachable
            and not self.has_left(row)
        ]
        settling = sum(now - x.first_received_at < SETTLE_SECONDS for x in rows)
        if settling > SETTLING_PART * len(rows):
            return
        holders = [self.build_holder(row) for row in rows]
        if self.complete.get(service.name) == holders:
            return
        plan = plan_stages(service.engine, holders)
        if not plan:
            plan = self.plan_lasting_moves(service, holders, now)
        for row in rows:
            layers = plan.get(row.report.target_id)
            if layers is not None:
                self.start_order(service, row, layers, now)

    def plan_lasting_moves(
        self, service: BackendService, holders: list[StageHolder], now: float
    ) -> dict[str, LayerRange]:
        """Returns moves into gaps that have lasted for a while."""
        engine = service.engine
        moves = plan_moves(engine, holders)
        if not moves and not find_broken_centres(engine, holders):
            self.gap_since.pop(service.name, None)
            self.complete[service.name] = holders
            return {}
        lasted = now - self.gap_since.setdefault(service.name, now)
        if moves:
            return moves if lasted >= GAP_SECONDS else {}
        if lasted < RELAYOUT_SECONDS:
            return {}
        unsure = self.find_unsure_centres(service, now)
        relayouts = plan_relayouts(
            engine, [x for x in holders if x.data_centre not in unsure]
        )
        if relayouts:
            log.info(
                "layers shared anew",
                service=service.name,
                targets=len(relayouts),
                seconds=lasted,
            )
        return relayouts

    def find_unsure_centres(
        self, service: BackendService, now: float
    ) -> set[str]:
        """Returns data centres with targets that may only seem to be gone.

        Sharing their layers anew would stop a data centre that still serves
        behind a cut.
        """
        return {
            row.report.data_centre
            for row in self.targets.serving(service.name)
            if STALE_SECONDS <= now - row.received_at < LOST_SECONDS
            and row.reachable
            and not self.has_left(row)
        }

    def build_holder(self, row: Target) -> StageHolder:
        """Returns a target as the plan sees it; orders count as done."""
        report = row.report
        layers = find_held(row)
        key = (report.target_id, report.incarnation)
        pending = self.pending.get(key)
        if pending is not None:
            if layers == pending.layers:
                del self.pending[key]
            layers = pending.layers
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
        key = (report.target_id, report.incarnation)
        self.pending[key] = PendingOrder(
            layers=layers,
            expires_at=now + engine.load_s * part + RETRY_MARGIN_SECONDS,
        )
        task = asyncio.create_task(self.run_order(row, layers, key))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run_order(
        self, row: Target, layers: LayerRange, key: tuple[str, int]
    ) -> None:
        """Gives an order; one that has no effect may be given again."""
        if not await self.order(row, layers):
            self.pending.pop(key, None)

    async def order(self, row: Target, layers: LayerRange) -> bool:
        """Asks an engine for its state and orders it to hold layers.

        Returns:
            Whether the engine holds or loads them now, as far as is known.
        """
        report = row.report
        address = report.address
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_SECONDS):
                state = await self.questions.ask_state(address)
                if state.busy or state.layers != find_held(row):
                    log.info(
                        "order not given",
                        target=report.target_id,
                        busy=state.busy,
                        layers=state.layers,
                    )
                    return state.busy
                if not self.lease.held(asyncio.get_running_loop().time()):
                    return False
                status = await self.questions.order_layers(
                    address,
                    layers,
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


def find_held(row: Target) -> LayerRange | None:
    """Returns the layers that a target reports; None when it is empty."""
    report = row.report
    if report.last_layer < report.first_layer:
        return None
    return LayerRange(first=report.first_layer, end=report.last_layer + 1)
