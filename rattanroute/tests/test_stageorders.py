"""Tests of the orders that engines get."""

import asyncio
import dataclasses
import unittest

from rattanroute.gateway.questions import EngineState
from rattanroute.gateway.stageorders import GAP_SECONDS
from rattanroute.gateway.stageorders import LOST_SECONDS
from rattanroute.gateway.stageorders import RELAYOUT_SECONDS
from rattanroute.gateway.stageorders import SETTLE_SECONDS
from rattanroute.gateway.stageorders import StageOrderer
from rattanroute.gateway.stageorders import STALE_SECONDS
from rattanroute.systems.stageplans import LayerRange
from rattanroute.tables.routes import RoutingTable
from rattanroute.tables.targets import TargetReport
from rattanroute.tables.targets import TargetTable
from rattanroute.tests.gateway_support import build_holders
from rattanroute.tests.gateway_support import build_service
from rattanroute.tests.gateway_support import LAYERS
from rattanroute.tests.gateway_support import SERVICE


class FakeEngines:
    """Engines that carry out orders at once.

    Attributes:
        orders: Orders by address, in order.
        states: Answers to questions, by address.
    """

    def __init__(self) -> None:
        self.orders: list[tuple[str, LayerRange]] = []
        self.states: dict[str, EngineState] = {}

    async def ask_state(self, address: str) -> EngineState:
        """Returns the state of an engine."""
        return self.states.get(address, EngineState())

    async def order_layers(
        self, address: str, layers: LayerRange, *, fence: int, expected: int
    ) -> int:
        """Takes an order."""
        state = self.states.get(address, EngineState())
        if expected != state.orders:
            return 409
        self.orders.append((address, layers))
        self.states[address] = EngineState(orders=expected + 1, layers=layers)
        return 202


@dataclasses.dataclass(kw_only=True)
class FakeLease:
    """A control lease that a test gives and takes."""

    fencing_token: int = 1
    is_held: bool = True

    def held(self, now: float) -> bool:
        """Returns whether the lease is held."""
        return self.is_held


class StageOrdererTest(unittest.IsolatedAsyncioTestCase):
    """Guards against engines that stay empty or get wrong orders."""

    async def asyncSetUp(self) -> None:
        """Builds an orderer and engines that have just started."""
        self.now = asyncio.get_running_loop().time()
        self.engines = FakeEngines()
        self.lease = FakeLease()
        self.targets = TargetTable()
        table = RoutingTable(revision=1, services={SERVICE: build_service()})
        self.orderer = StageOrderer(
            lease=self.lease,
            targets=self.targets,
            routing=lambda: table,
            questions=self.engines,
            has_left=lambda row: row.report.leaving,
        )
        self.sequence = 0
        for holder in build_holders(
            {"dc-b": {"big": 2, "middle": 2, "small": 5}}
        ):
            self.report(holder.target_id, holder.accelerator)

    def report(
        self,
        target_id: str,
        accelerator: str,
        layers: LayerRange | None = None,
        **changes: object,
    ) -> None:
        """Takes a report of an engine."""
        self.sequence += 1
        report = TargetReport(
            target_id=target_id,
            sequence=self.sequence,
            address=target_id,
            data_centre="dc-b",
            model=SERVICE,
            first_layer=layers.first if layers else 0,
            last_layer=layers.end - 1 if layers else -1,
            total_layers=LAYERS,
            accelerator=accelerator,
            **changes,
        )
        self.targets.record(report=report, observer="v", received_at=self.now)

    def settle(self) -> None:
        """Makes all engines known for a while."""
        for row in self.targets:
            row.first_received_at = self.now - SETTLE_SECONDS - 1

    async def run_orders(self) -> list[str]:
        """Lets the orderer work and returns the engines that got orders."""
        self.engines.orders.clear()
        self.orderer.run()
        await asyncio.gather(*self.orderer.tasks)
        return [address for address, _ in self.engines.orders]

    def report_states(self) -> None:
        """Lets all engines report the layers that they hold."""
        for row in list(self.targets):
            report = row.report
            state = self.engines.states.get(report.address)
            if state is not None:
                self.report(report.target_id, report.accelerator, state.layers)

    async def start(self) -> None:
        """Brings all engines to hold their layers."""
        self.settle()
        await self.run_orders()
        self.report_states()

    async def test_engines_of_a_start_are_planned_together(self) -> None:
        self.assertEqual(await self.run_orders(), [])
        self.settle()
        self.assertEqual(len(await self.run_orders()), 9)
        self.assertEqual(await self.run_orders(), [])

    async def test_release_does_not_keep_new_engines_empty(self) -> None:
        await self.start()
        self.report("new-1", "middle")
        self.assertEqual(await self.run_orders(), ["new-1"])

    async def test_without_the_lease_no_order_is_given(self) -> None:
        self.settle()
        self.lease.is_held = False
        self.assertEqual(await self.run_orders(), [])

    async def test_lost_layers_are_taken_over(self) -> None:
        await self.start()
        (lost,) = [
            row for row in self.targets if row.report.target_id == "dc-b-big-1"
        ]
        gap = range(lost.report.first_layer, lost.report.last_layer + 1)
        lost.reachable = False
        await self.run_orders()
        for name in list(self.orderer.gap_since):
            self.orderer.gap_since[name] -= GAP_SECONDS
        await self.run_orders()
        held = {
            layer
            for _, part in self.engines.orders
            for layer in range(part.first, part.end)
        }
        self.assertTrue(held & set(gap))

    async def lose_layers(self) -> None:
        """Loses an engine whose layers no other can take over by itself."""
        self.targets = self.orderer.targets = TargetTable()
        for holder in build_holders(
            {"dc-b": {"big": 1, "middle": 2, "small": 3}}
        ):
            self.report(holder.target_id, holder.accelerator)
        await self.start()
        self.targets.get("dc-b-middle-0").reachable = False
        while await self.run_orders():
            self.report_states()
        for name in list(self.orderer.gap_since):
            self.orderer.gap_since[name] -= RELAYOUT_SECONDS

    async def test_rest_shares_all_layers_after_a_loss(self) -> None:
        """Guards against a data centre that waits for a lost engine."""
        await self.lose_layers()
        given = await self.run_orders()
        self.assertTrue(given)
        held = {
            layer
            for row in self.targets
            if row.reachable
            for part in [self.engines.states[row.report.address].layers]
            for layer in range(part.first, part.end)
        }
        self.assertEqual(held, set(range(LAYERS)))

    async def test_data_centre_behind_a_cut_keeps_its_layers(self) -> None:
        """Guards against loads everywhere while reports are only late."""
        await self.lose_layers()
        silent = self.targets.get("dc-b-small-0")
        silent.received_at = self.now - STALE_SECONDS - 0.1
        self.assertEqual(await self.run_orders(), [])
        silent.received_at = self.now - LOST_SECONDS
        self.assertTrue(await self.run_orders())

    async def test_order_that_came_late_is_not_repeated_blindly(self) -> None:
        self.settle()
        late = LayerRange(first=3, end=9)
        self.engines.states["dc-b-big-0"] = EngineState(orders=1, layers=late)
        given = await self.run_orders()
        self.assertNotIn("dc-b-big-0", given)
