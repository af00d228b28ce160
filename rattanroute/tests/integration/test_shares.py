"""Shares of neighbours under load."""

import asyncio

from rattanroute.tests.integration.cluster_support import ClusterTestCase
from rattanroute.tools.demo_configuration import ADVICE_KEY
from rattanroute.tools.demo_configuration import NOTES_KEY
from rattanroute.tools.loads import LoadGenerator
from rattanroute.tools.loads import LoadPlan
from rattanroute.tools.loads import LoadReport

SLOTS = 4
ENGINES = ("engine-a", "engine-b")
TOKENS = 40
TOKENS_PER_SECOND = 50.0
# One request holds a slot for TOKENS / TOKENS_PER_SECOND seconds.
CAPACITY = len(ENGINES) * SLOTS * TOKENS_PER_SECOND / TOKENS
LOAD_SECONDS = 12.0
GREEDY_VMS = ("dc-a-1", "dc-a-2")
MODEST_VMS = ("dc-a-3",)
# Each neighbour paid for half of the pool. The documented limit on overshoot
# is the floor fraction, a fifth.
SHARE = 0.5
OVERSHOOT = 1.2


class SharesTest(ClusterTestCase):
    """Guards against a neighbour that takes more than its share."""

    data_centres = {"dc-a": 3}

    async def start_targets(self) -> None:
        for name in ENGINES:
            await self.cluster.add_engine(
                name,
                "dc-a",
                model="chat",
                slots=SLOTS,
                tokens_per_second=TOKENS_PER_SECOND,
                prefill_tokens_per_second=1e6,
            )

    async def run_load(
        self, key: str, vms: tuple[str, ...], rate: float, seed: int
    ) -> LoadReport:
        """Sends the load of one neighbour to the given VMs."""
        plan = LoadPlan(
            urls=tuple(self.cluster.vms[name].callers_url for name in vms),
            keys=(key,),
            model="chat",
            rate=rate,
            seconds=LOAD_SECONDS,
            max_tokens=TOKENS,
            prompt_words=4,
            deadline_s=4.0,
            seed=seed,
        )
        return await LoadGenerator(client=self.cluster.client).run(plan)

    async def test_shares_hold_under_load(self) -> None:
        """Guards against starvation, overshoot and idle capacity.

        First both neighbours exceed their share, one of them with four times
        the capacity of the pool. They use different VMs, so that no VM's
        queue has requests of both. Then the greedy one runs alone.
        """
        greedy, modest = await asyncio.gather(
            self.run_load(NOTES_KEY, GREEDY_VMS, 4 * CAPACITY, seed=1),
            self.run_load(ADVICE_KEY, MODEST_VMS, 0.8 * CAPACITY, seed=2),
        )
        self.assertEqual(greedy.lost + modest.lost, 0)
        total = greedy.tokens + modest.tokens
        self.assertLessEqual(greedy.tokens / total, SHARE * OVERSHOOT)
        self.assertGreaterEqual(modest.tokens / total, 1.0 - SHARE * OVERSHOOT)
        alone = await self.run_load(
            NOTES_KEY, GREEDY_VMS, 1.5 * CAPACITY, seed=3
        )
        used = alone.done / (CAPACITY * LOAD_SECONDS)
        self.assertGreaterEqual(used, SHARE * OVERSHOOT, alone.refusals)
