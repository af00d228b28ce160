"""Tests of placement decisions and of the client that sends the orders."""

import asyncio
from collections.abc import Iterator
import dataclasses
import unittest

from rattanroute.clients.orders import OrderClient
from rattanroute.messages.orders import Demand
from rattanroute.messages.orders import DemandReport
from rattanroute.systems import placements
from rattanroute.systems.placements import PlacementSystem
from rattanroute.systems.replica_groups import ReplicaGroup
from rattanroute.tables.configurations import Configuration
from rattanroute.tables.configurations import Model
from rattanroute.tables.placements import Order
from rattanroute.tables.placements import OrderKind
from rattanroute.tables.targets import TargetTable
from rattanroute.tests.standin_support import StandinTestCase
from rattanroute.tests.support import build_report

LEASE_WAIT_SECONDS = (
    placements.LEASE_SECONDS
    + placements.CLOCK_DRIFT_SECONDS
    + placements.ORDER_FLIGHT_SECONDS
)
REPLICA_CAPACITY = 400.0


class FakeLease:
    """Control lease with settable values."""

    def __init__(self) -> None:
        self.fencing_token = 7
        self.expires_at = 1e9
        self.holder = True

    def held(self, now: float) -> bool:
        return self.holder and now < self.expires_at


class PlacementCase(unittest.TestCase):
    """Runs a placement system with a simulated clock."""

    def setUp(self) -> None:
        self.lease = FakeLease()
        self.targets = TargetTable()
        self.configuration = Configuration(
            models={
                "a": Model(name="a", version="1"),
                "b": Model(name="b", version="1"),
            }
        )
        self.dead: set[str] = set()
        self.demand: dict[tuple[str, str, str], float] = {}
        self.now = 0.0
        self.build_system()

    def build_system(self) -> None:
        self.system = PlacementSystem(
            lease=self.lease,
            targets=self.targets,
            configuration=lambda: self.configuration,
            eligible=lambda row, now: row.report.target_id not in self.dead,
        )

    def add(self, target_id: str, model: str, **changes: object) -> None:
        values = {"model": model, "checks_fencing": True, **changes}
        report = build_report(target_id, **values)
        self.targets.record(report=report, observer="vm", received_at=0.0)

    def run_for(self, seconds: float) -> Iterator[Order]:
        """Ticks once per second and yields the orders."""
        end = self.now + seconds
        while self.now < end:
            demands = tuple(
                Demand(
                    model=model,
                    version=version,
                    adapter=adapter,
                    tokens_per_second=speed,
                )
                for (model, version, adapter), speed in self.demand.items()
            )
            self.system.receive(
                peer="vm", message=DemandReport(demands=demands), now=self.now
            )
            for action in self.system.tick(now=self.now):
                yield action.order
            self.now += 1.0

    def execute(self, order: Order) -> None:
        """Updates a target's report as if it had executed a load."""
        report = self.targets.get(order.target_id).report
        report.model = order.model
        report.version = order.version


class PlacementSystemTest(PlacementCase):
    """Tests decisions about replicas, layers and adapters."""

    def test_demand_moves_a_replica(self) -> None:
        """Guards against a busy model while another has idle replicas."""
        for number in range(3):
            self.add(f"a{number}", "a")
        self.add("b0", "b")
        self.demand = {("b", "", ""): 0.9 * REPLICA_CAPACITY}
        orders = []
        for order in self.run_for(200):
            self.execute(order)
            orders.append(order)
        self.assertEqual(len(orders), 1)
        self.assertEqual(orders[0].kind, OrderKind.LOAD_VERSION)
        self.assertEqual((orders[0].model, orders[0].version), ("b", "1"))
        self.assertEqual(orders[0].fencing_token, 7)

    def test_short_need_is_not_met(self) -> None:
        """Guards against loads for a short burst of demand."""
        for number in range(3):
            self.add(f"a{number}", "a")
        self.add("b0", "b")
        for _ in range(5):
            self.demand = {("b", "", ""): REPLICA_CAPACITY}
            hold = placements.HOLD_SECONDS - 2
            self.assertFalse(list(self.run_for(hold)))
            self.demand = {}
            self.assertFalse(list(self.run_for(2)))

    def test_balanced_load_moves_nothing(self) -> None:
        """Guards against a replica that moves back and forth."""
        for number in range(2):
            self.add(f"a{number}", "a")
            self.add(f"b{number}", "b")
        orders = 0
        for part in range(20):
            heavy, light = ("a", "b") if part % 2 else ("b", "a")
            self.demand = {
                (heavy, "", ""): 0.85 * 2 * REPLICA_CAPACITY,
                (light, "", ""): 0.55 * 2 * REPLICA_CAPACITY,
            }
            for order in self.run_for(60):
                self.execute(order)
                orders += 1
        self.assertEqual(orders, 0)

    def test_last_replica_stays(self) -> None:
        """Guards against taking the last usable replica of a model in use."""
        self.add("a0", "a")
        self.add("a1", "a")
        self.add("b0", "b")
        self.dead = {"a1"}
        self.demand = {("b", "", ""): 10 * REPLICA_CAPACITY}
        self.assertFalse(list(self.run_for(300)))

    def test_loading_replica_does_not_replace_the_last(self) -> None:
        """Guards against relying on a load that may fail."""
        self.add("a0", "a")
        rows = list(self.targets)
        group = ReplicaGroup(wanted=1, rows=rows, loading=1)
        self.assertFalse(group.has_spare_replica(placements.LOW_UTILISATION))

    def test_pending_load_is_not_repeated(self) -> None:
        """Guards against a second replica while the first one loads."""
        self.add("x0", "", version="")
        self.add("x1", "", version="")
        self.add("b0", "b")
        orders = list(self.run_for(placements.LOAD_TIMEOUT_SECONDS))
        self.assertEqual([(o.model, o.version) for o in orders], [("a", "1")])

    def test_weight_store_rate(self) -> None:
        """Guards against exceeding the rate limit of the weight store."""
        for number in range(20):
            self.add(f"x{number:02}", "", version="")
        model = self.configuration.models["a"]
        self.configuration.put(dataclasses.replace(model, min_replicas=10))
        times = []
        for _ in self.run_for(placements.LOAD_TIMEOUT_SECONDS):
            times.append(self.now)
        self.assertEqual(len(times), placements.MAX_CONCURRENT_LOADS)
        gap = times[1] - times[0]
        self.assertGreaterEqual(gap, placements.LOAD_INTERVAL_SECONDS)

    def test_new_version_keeps_one_replica_of_a_used_one(self) -> None:
        """Guards against a roll-out that removes a version still in use."""
        for number in range(3):
            self.add(f"a{number}", "a")
        self.add("b0", "b")
        self.configuration.models["a"] = Model(
            name="a", version="2", versions=("1", "2"), min_replicas=3
        )
        self.demand = {("a", "1", ""): 1.0}
        for order in self.run_for(2000):
            self.execute(order)
        held = [row.report.version for row in self.targets.serving("a")]
        self.assertEqual(sorted(held), ["1", "2", "2"])

    def test_layers_without_target_get_a_spare_stage(self) -> None:
        """Guards against missing layers while there are spare targets."""
        for name in ("s0", "s1", "s3"):
            self.add(name, "a", last_layer=3)
        self.add("s2", "a", first_layer=4)
        self.assertFalse(
            [o for o in self.run_for(60) if o.kind is OrderKind.CHANGE_ROLE]
        )
        self.dead = {"s2"}
        roles = [
            order
            for order in self.run_for(60)
            if order.kind is OrderKind.CHANGE_ROLE
        ]
        self.assertEqual(len(roles), 1)
        self.assertEqual((roles[0].first_layer, roles[0].last_layer), (4, 7))

    def test_last_stage_of_a_layer_keeps_its_role(self) -> None:
        """Guards against covering missing layers by uncovering others."""
        self.add("s0", "a", last_layer=3)
        self.add("s1", "a", first_layer=2, last_layer=5)
        self.assertFalse(list(self.run_for(200)))

    def test_adapter_is_loaded_once(self) -> None:
        """Guards against repeated loads of an adapter that no target holds."""
        self.add("a0", "a")
        self.add("a1", "a")
        self.add("b0", "b")
        self.demand = {("a", "", "x"): 5.0}
        orders = list(self.run_for(60))
        self.assertEqual(
            [(o.kind, o.adapter) for o in orders],
            [(OrderKind.LOAD_ADAPTER, "x")],
        )


class LeaseTest(PlacementCase):
    """Tests which VM may send orders and when."""

    def test_without_lease_nothing_is_ordered(self) -> None:
        """Guards against orders from a VM that is not the leader."""
        self.add("x0", "", version="")
        self.lease.holder = False
        self.assertFalse(list(self.run_for(100)))

    def test_targets_without_fencing_wait_for_the_old_lease(self) -> None:
        """Guards against orders from two lease holders at one target."""
        self.add("x0", "", version="", checks_fencing=False)
        self.assertTrue(list(self.run_for(100)))
        self.lease.fencing_token = 8
        acquired = self.now
        self.add("x1", "", version="", checks_fencing=False)
        times = [self.now for _ in self.run_for(100)]
        self.assertTrue(times)
        self.assertGreaterEqual(times[0], acquired + LEASE_WAIT_SECONDS)

    def test_targets_with_fencing_wait_only_for_the_need(self) -> None:
        """Guards against an unnecessary wait where fencing protects."""
        self.system.needed_since[
            ("version", "a", "1")
        ] = -placements.HOLD_SECONDS
        self.add("x0", "", version="")
        times = [self.now for _ in self.run_for(20)]
        self.assertEqual(times, [placements.LOAD_INTERVAL_SECONDS])

    def test_order_expires_with_the_lease(self) -> None:
        """Guards against an order that outlives its holder's lease."""
        self.add("x0", "", version="")
        due = placements.LOAD_INTERVAL_SECONDS + placements.HOLD_SECONDS
        self.lease.expires_at = due + 1.5
        orders = list(self.run_for(100))
        self.assertEqual(len(orders), 1)
        self.assertLessEqual(orders[0].expires_at, self.lease.expires_at)


class OrderClientTest(StandinTestCase):
    """Tests orders to a stand-in engine."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.host = await self.start_engine(checks_fencing=False)
        self.lease = FakeLease()
        self.lease.expires_at = 10.0
        self.times = [0.0]
        self.client = OrderClient(
            session=self.session, lease=self.lease, clock=self.read_clock
        )

    def read_clock(self) -> float:
        """Returns the next preset time; repeats the last one."""
        return self.times.pop(0) if len(self.times) > 1 else self.times[0]

    def build_order(self, **changes: object) -> Order:
        values: dict[str, object] = {
            "order_id": "7-1",
            "target_id": "e1",
            "address": self.host.address,
            "kind": OrderKind.LOAD_VERSION,
            "fencing_token": 7,
            "expires_at": 5.0,
            "model": "other",
            "version": "2",
        }
        values.update(changes)
        return Order(**values)

    async def test_order_takes_effect_once(self) -> None:
        """Guards against lost orders and against repeated execution."""
        for _ in range(2):
            outcome = await self.client.send(self.build_order())
            self.assertTrue(outcome.accepted)
        await asyncio.sleep(0.05)
        self.assertEqual((self.host.model, self.host.version), ("other", "2"))
        self.assertEqual(len(self.host.executions), 1)

    async def test_frozen_holder_sends_nothing(self) -> None:
        """Guards against a holder that resumes after its lease has expired."""
        for times in ([20.0], [0.0, 20.0], [0.0, 7.0]):
            with self.subTest(times):
                self.times = list(times)
                outcome = await self.client.send(self.build_order())
                self.assertFalse(outcome.accepted or outcome.sent)
                await asyncio.sleep(0.02)
                self.assertFalse(self.host.executions)

    async def test_order_of_an_earlier_lease_is_not_sent(self) -> None:
        """Guards against a decision from an earlier lease of this VM."""
        outcome = await self.client.send(self.build_order(fencing_token=6))
        self.assertFalse(outcome.sent)
        self.assertFalse(self.host.executions)

    async def test_outdated_token_is_refused(self) -> None:
        """Guards against treating a refusal as success."""
        host = await self.start_engine("e2", checks_fencing=True)
        host.orders.highest_fencing_token = 8
        outcome = await self.client.send(self.build_order(address=host.address))
        self.assertEqual((outcome.accepted, outcome.sent), (False, True))
        self.assertIn("outdated_fencing_token", outcome.reason)
