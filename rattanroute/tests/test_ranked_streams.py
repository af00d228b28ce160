"""Tests of streams of different ranks through the gateway."""

import asyncio
import random

from rattanroute.gateway.outcomes import MAX_RETRY_FRACTION
from rattanroute.gateway.outcomes import MIN_RETRY_FRACTION
from rattanroute.messages.loads import ServiceQueue
from rattanroute.systems.wait_queues import MAX_WAIT_SECONDS
from rattanroute.tables.service_queues import ServiceQueueTable
from rattanroute.tests.gateway_hosts import Answer
from rattanroute.tests.gateway_hosts import GatewayTestCase
from rattanroute.tests.gateway_support import build_engine
from rattanroute.tests.gateway_support import SERVICE
from rattanroute.tests.test_forwarded_ranks import RANK
from rattanroute.tests.test_forwarded_ranks import rank_routes
from rattanroute.tests.test_gateway_stream_forwarders import reject_first
from rattanroute.tests.test_gateway_stream_forwarders import stream

URGENT_PATH = "/stream/"
OTHER_PATH = "/single/"
SLOTS = build_engine().slots
DEADLINE_MS = 3000
FOREVER = 1e9
# Allowances start with 0.13 and 0.85.
SEED = 1


class RankedStreamTestCase(GatewayTestCase):
    """A gateway whose routes to engines have the ranks 0 and 2."""

    async def asyncSetUp(self) -> None:
        """Starts the gateway and one engine."""
        await super().asyncSetUp()
        self.table = rank_routes(self.table, stream=0, single=2)
        self.engine = await self.add_target("t1", stream, service=SERVICE)
        # The first allowance of a rank is random. One of 0.9 or more lets a
        # held stream use its minimum share after the first grant.
        reservations = self.streams.finder.admission.reservations
        reservations.random = random.Random(SEED)

    @property
    def queues(self) -> ServiceQueueTable:
        """Queues that the gateway counts."""
        return self.streams.finder.admission.reservations.queues

    def load(self, requests: int) -> None:
        """Sets the number of open requests of other VMs at the engine."""
        self.streams.finder.chooser.loads.get("t1").other_requests = requests

    def report_others(self, priority: int, **counts: int) -> None:
        """Reports queues of the other VMs, valid until the test ends."""
        values = {"waiting": 0, "refused": 0, "granted": 0, **counts}
        queue = ServiceQueue(service=SERVICE, priority=priority, **values)
        self.queues.take_others((*self.queues.others, queue), FOREVER)

    async def start(self, path: str, request_id: str) -> asyncio.Task[Answer]:
        """Starts a call and lets it reach the queue."""
        task = asyncio.create_task(
            self.call(
                path,
                request_id=request_id,
                body=request_id.encode(),
                deadline_ms=DEADLINE_MS,
            )
        )
        await asyncio.sleep(0.05)
        return task


class RankedStreamTest(RankedStreamTestCase):
    """Guards against less urgent streams that go first."""

    async def test_capacity_goes_to_the_urgent_stream_of_another_vm(
        self,
    ) -> None:
        """Guards against a VM that takes what others need more.

        One slot is free while rank 0 waits at another VM.
        """
        self.load(SLOTS - 1)
        self.report_others(0, waiting=5)
        held = await self.call(OTHER_PATH, deadline_ms=DEADLINE_MS)
        self.assertEqual(held.status, 503)
        self.assertEqual(self.engine.seen, [])
        urgent = await self.call(URGENT_PATH, deadline_ms=DEADLINE_MS)
        self.assertEqual(urgent.status, 200)

    async def test_enough_capacity(self) -> None:
        """Guards against streams that are held back without need."""
        self.load(SLOTS // 2)
        self.report_others(0, waiting=5)
        answer = await self.call(OTHER_PATH, deadline_ms=DEADLINE_MS)
        self.assertEqual(answer.status, 200)

    async def test_held_stream_starts_when_the_shortage_ends(self) -> None:
        self.load(SLOTS - 1)
        self.report_others(0, waiting=5)
        held = await self.start(OTHER_PATH, "r1")
        await asyncio.sleep(0.1)
        self.assertFalse(held.done())
        self.queues.take_others((), FOREVER)
        self.assertEqual((await held).status, 200)

    async def test_urgent_stream_passes_held_ones_of_its_vm(self) -> None:
        self.load(SLOTS - 1)
        self.report_others(0, waiting=5)
        held = await self.start(OTHER_PATH, "r1")
        urgent = await self.start(URGENT_PATH, "r2")
        self.assertEqual((await urgent).status, 200)
        self.assertEqual(self.engine.header(0, RANK), b"0")
        self.assertEqual((await held).status, 503)

    async def test_outcomes_are_counted(self) -> None:
        self.load(SLOTS)
        waiting = await self.start(OTHER_PATH, "r1")
        loop = asyncio.get_running_loop()
        sums = self.queues.sum_ranks(SERVICE, loop.time())
        self.assertEqual(sums[2].waiting, 1)
        await waiting
        self.load(0)
        await self.call(URGENT_PATH)
        sums = self.queues.sum_ranks(SERVICE, loop.time())
        self.assertEqual(sums[2].waiting, 0)
        self.assertEqual(sums[2].refused, 1)
        self.assertEqual(sums[0].granted, 1)

    async def test_rejection_by_an_engine(self) -> None:
        """Guards against grants of which requests could make no use."""
        self.engine.script = reject_first
        answer = await self.call(URGENT_PATH)
        self.assertEqual(answer.status, 200)
        now = asyncio.get_running_loop().time()
        counts = self.queues.sum_ranks(SERVICE, now)[0]
        self.assertEqual((counts.granted, counts.refused), (1, 1))

    async def test_client_that_leaves_no_longer_waits(self) -> None:
        """Guards against capacity that is reserved for nobody."""
        self.load(SLOTS)
        await self.call(URGENT_PATH, leave_after=0.1)
        await asyncio.sleep(0.05)
        self.assertEqual(self.queues.get(SERVICE, 0).waiting, 0)

    async def test_retry_delay_follows_the_queue_of_all_vms(self) -> None:
        """Guards against clients that return long after the queue is empty."""
        self.load(SLOTS)
        self.report_others(0, waiting=9, granted=50)
        refused = await self.call(URGENT_PATH, deadline_ms=DEADLINE_MS)
        delay = float(refused.headers[b"retry-after"])
        self.assertGreaterEqual(delay, 0.2)
        self.assertLess(delay, 0.31)

    async def test_hopeless_stream_is_refused_at_once(self) -> None:
        """Guards against clients that wait only to be refused."""
        self.load(SLOTS)
        self.report_others(0, waiting=500, granted=50)
        first = await self.start(URGENT_PATH, "r1")
        loop = asyncio.get_running_loop()
        started = loop.time()
        second = await self.call(URGENT_PATH, request_id="r2", body=b"y")
        self.assertEqual(second.status, 503)
        self.assertLess(loop.time() - started, MAX_WAIT_SECONDS / 2)
        self.assertFalse(first.done())
        await first


class UnrankedStreamTest(RankedStreamTestCase):
    """Guards against a change for services without different priorities."""

    async def asyncSetUp(self) -> None:
        """Gives all routes the same priority."""
        await super().asyncSetUp()
        self.table = rank_routes(self.table, stream=2, single=2)

    async def test_nothing_is_reserved_or_counted(self) -> None:
        self.load(SLOTS - 1)
        self.report_others(0, waiting=5)
        answer = await self.call(OTHER_PATH)
        self.assertEqual(answer.status, 200)
        self.load(SLOTS)
        refused = await self.call(OTHER_PATH)
        self.assertEqual(refused.status, 503)
        self.assertEqual(self.queues.rows, {})

    async def test_retry_delay(self) -> None:
        """Guards against another `Retry-After` where ranks do not differ."""
        self.load(SLOTS)
        self.report_others(2, granted=500)
        self.streams.finisher.random = random.Random(7)
        refused = await self.call(OTHER_PATH, deadline_ms=DEADLINE_MS)
        fraction = random.Random(7).uniform(
            MIN_RETRY_FRACTION, MAX_RETRY_FRACTION
        )
        left_s = DEADLINE_MS / 1000 - MAX_WAIT_SECONDS
        delay = float(refused.headers[b"retry-after"])
        self.assertAlmostEqual(delay, fraction * left_s, delta=0.1)

    async def test_stream_behind_a_waiting_one(self) -> None:
        """Guards against a new call that passes those that wait."""
        self.load(SLOTS)
        first = await self.start(OTHER_PATH, "r1")
        second = await self.start(URGENT_PATH, "r2")
        # One at a time, as two connections may reach the engine in any order.
        self.load(SLOTS - 1)
        await first
        await second
        order = [
            self.engine.header(x, b"rattanroute-request-id") for x in (0, 1)
        ]
        self.assertEqual(order, [b"r1", b"r2"])


class DisabledTest(RankedStreamTestCase):
    """Guards against ranks that count although they are switched off."""

    async def asyncSetUp(self) -> None:
        """Switches ranks off."""
        await super().asyncSetUp()
        self.handler.ranks_enabled = False

    async def test_nothing_changes(self) -> None:
        self.load(SLOTS - 1)
        self.report_others(0, waiting=5)
        answer = await self.call(OTHER_PATH)
        self.assertEqual(answer.status, 200)
        self.assertIsNone(self.engine.header(0, RANK))
        self.assertEqual(self.queues.rows, {})
