"""Placement orders to targets while the configuration leader changes."""

import asyncio
import time

import msgspec

from rattanroute.systems.placements import CLOCK_DRIFT_SECONDS
from rattanroute.systems.placements import LEASE_SECONDS
from rattanroute.systems.placements import LOAD_INTERVAL_SECONDS
from rattanroute.systems.placements import ORDER_FLIGHT_SECONDS
from rattanroute.tests.integration.cluster_support import ClusterTestCase
from rattanroute.tools.demo_configuration import LAYERS
from rattanroute.tools.proxies import Fault
from rattanroute.tools.proxies import FaultKind

MODEL = "instruct"
CHECKING_ENGINE = "engine-checks"
IGNORING_ENGINE = "engine-ignores"
ENGINES = (CHECKING_ENGINE, IGNORING_ENGINE)
OLD_LEADER_SECONDS = LEASE_SECONDS + CLOCK_DRIFT_SECONDS + ORDER_FLIGHT_SECONDS
# Longer than the placement lease, and shorter than the time that a new leader
# waits for targets that ignore fencing tokens, so that the old leader resumes
# between the two.
FROZEN_SECONDS = LEASE_SECONDS + 1.0
LOADED_TIMEOUT_SECONDS = 30.0
RESUMED_SECONDS = 5.0
# Long enough to freeze the leader between the start of a need and its order.
HOLD_SECONDS = 2.0


def build_model(*versions: str) -> list[dict[str, object]]:
    """Returns the operations that put the last version into service."""
    return [
        {
            "put_model": {
                "name": MODEL,
                "layers": LAYERS,
                "versions": list(versions),
                "version": versions[-1],
                "min_replicas": len(ENGINES),
            }
        }
    ]


class OrderTest(ClusterTestCase):
    """Only the holder of the control lease sends orders."""

    data_centres = {"dc-a": 3}
    voters = 3
    settings = {"placement": {"hold_s": HOLD_SECONDS, "cooldown_s": 1.0}}

    async def start_targets(self) -> None:
        for name in ENGINES:
            await self.cluster.add_engine(
                name,
                "dc-a",
                model=MODEL,
                version="",
                load_seconds=0.3,
                checks_fencing=name == CHECKING_ENGINE,
            )

    async def orders(self, engine: str) -> list[dict[str, object]]:
        """Returns every order that reached an engine, oldest first."""
        url = f"{self.cluster.targets[engine].url}/v1/orders"
        async with self.cluster.client.get(url) as response:
            return (await response.json())["orders"]

    async def version(self, engine: str) -> str:
        """Returns the version that an engine has loaded."""
        url = f"{self.cluster.targets[engine].url}/healthz"
        async with self.cluster.client.get(url) as response:
            return (await response.json())["version"]

    async def find_leader(self) -> str:
        """Returns the leader that `status` reports."""
        result = await self.cluster.run_tool("--output=json", "status")
        self.assertEqual(result.code, 0, result.errors)
        return msgspec.json.decode(result.output)["leader"]

    async def apply(self, *versions: str) -> None:
        """Puts a version into service."""
        result = await self.cluster.apply(build_model(*versions))
        self.assertEqual(result.code, 0, result.errors)

    async def wait_loaded(self, version: str, *engines: str) -> None:
        """Waits until engines have loaded a version."""

        async def is_loaded() -> bool:
            held = [await self.version(name) for name in engines]
            return set(held) == {version}

        await self.wait_for(is_loaded, seconds=LOADED_TIMEOUT_SECONDS)

    async def check_served(self, version: str) -> None:
        """Waits until a request for the version just loaded is served."""

        async def is_served() -> bool:
            answer = await self.chat("dc-a-1", version, model=MODEL)
            if answer.status != 200:
                return False
            self.assert_complete(answer, version)
            return True

        await self.wait_for(is_served, seconds=5.0)

    def count_sent(self, vm: str) -> int:
        """Returns how many orders a VM sent, according to its log."""
        return self.cluster.read_log(vm).count('event="order ')

    async def test_frozen_leader_sends_nothing(self) -> None:
        """Guards against orders from two leaders at one target.

        An isolated leader that was frozen past its lease must send nothing
        when it resumes. A target that ignores fencing tokens must not get
        an order from the new leader while one from the old leader may still
        arrive.
        """
        await self.apply("1")
        await self.wait_loaded("1", *ENGINES)
        await self.check_served("1")
        # The leader evaluates the need again only after this interval.
        await asyncio.sleep(LOAD_INTERVAL_SECONDS)
        leader = await self.find_leader()
        self.check_only_sender(leader)
        before = {name: await self.orders(name) for name in ENGINES}
        # Drops version 1, whose recent demand would otherwise retain a replica.
        await self.apply("2")
        # The isolated leader cannot learn of a new one when it resumes.
        await self.cluster.set_faults(*self.isolate(leader))
        await asyncio.sleep(HOLD_SECONDS / 4)
        self.cluster.freeze(leader)
        frozen_at = time.monotonic()
        await self.wait_loaded("2", CHECKING_ENGINE)
        await self.wait_until(frozen_at + FROZEN_SECONDS)
        sent = self.count_sent(leader)
        self.cluster.thaw(leader)
        await self.wait_until(time.monotonic() + RESUMED_SECONDS)
        self.assertEqual(self.count_sent(leader), sent)
        await self.cluster.set_faults()
        await self.wait_loaded("2", *ENGINES)
        self.assertEqual(self.count_sent(leader), sent)
        await self.check_served("2")
        for name in ENGINES:
            orders = await self.orders(name)
            new = orders[len(before[name]) :]
            self.check_fencing_tokens(orders, before[name], new)
            if name == IGNORING_ENGINE:
                waited = new[0]["received_at"] - frozen_at
                self.assertGreaterEqual(waited, OLD_LEADER_SECONDS)

    def isolate(self, vm: str) -> list[Fault]:
        """Returns faults that partition a VM from the others."""
        return [
            Fault(route=f"peer:{source}:{peer}", kind=FaultKind.HOLD)
            for other in self.cluster.vms
            if other != vm
            for source, peer in ((vm, other), (other, vm))
        ]

    async def wait_until(self, due: float) -> None:
        """Waits until a time of the monotonic clock."""

        async def is_due() -> bool:
            return time.monotonic() >= due

        await self.wait_for(is_due, seconds=max(1.0, 2 * FROZEN_SECONDS))

    def check_only_sender(self, leader: str) -> None:
        """Checks that no VM but the leader has sent an order."""
        senders = {name for name in self.cluster.vms if self.count_sent(name)}
        self.assertEqual(senders, {leader})

    def check_fencing_tokens(
        self,
        orders: list[dict[str, object]],
        before: list[dict[str, object]],
        new: list[dict[str, object]],
    ) -> None:
        """Checks the fencing tokens of the orders that reached a target.

        They never decrease, and those of the new leader are higher.
        """
        tokens = [item["order"]["fencing_token"] for item in orders]
        self.assertEqual(tokens, sorted(tokens))
        self.assertTrue(before)
        self.assertTrue(new, "the new leader sent no order")
        old_token = before[-1]["order"]["fencing_token"]
        for item in new:
            self.assertGreater(item["order"]["fencing_token"], old_token)
        self.assertTrue(all(item["accepted"] for item in orders))
