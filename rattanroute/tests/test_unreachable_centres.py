"""Tests of data centres that are cut off, and of what that costs of the budget.

A VM is cut off from the targets of a data centre, or targets are gone, while
others could answer.
"""

import asyncio
import unittest

from rattanroute.http1.clients import ClientConnection
from rattanroute.http1.clients import ConnectError
from rattanroute.http1.servers import Exchange
from rattanroute.systems.centre_reachabilities import CentreReachability
from rattanroute.systems.centre_reachabilities import SUSPICION_SECONDS
from rattanroute.tests.gateway_hosts import build_events
from rattanroute.tests.gateway_hosts import build_head
from rattanroute.tests.gateway_hosts import FakeTarget
from rattanroute.tests.gateway_hosts import GatewayTestCase
from rattanroute.tests.gateway_support import SERVICE
from rattanroute.tests.test_silent_streams import ALL_EVENTS
from rattanroute.tests.test_silent_streams import stream_rest

# Shorter than the time that a broken stream may wait to go on.
BUDGET_RETURN_SECONDS = 0.5


async def break_off_at_once(target: FakeTarget, exchange: Exchange) -> None:
    """Closes the connection after two events."""
    exchange.start(build_head(exchange))
    exchange.write(build_events(1, 3))
    await asyncio.sleep(0.05)
    exchange.abort()


async def abort(target: FakeTarget, exchange: Exchange) -> None:
    """Closes the connection without an answer."""
    exchange.abort()


class CentreReachabilityTest(unittest.TestCase):
    """Guards against data centres that are wrongly avoided or tried."""

    def setUp(self) -> None:
        self.centres = CentreReachability()

    def test_one_dead_target_is_no_partition(self) -> None:
        for now in (0.0, 1.0, 2.0):
            self.centres.note_timeout("dc-b", "t1", now)
        self.assertFalse(self.centres.is_suspect("dc-b", 2.0))

    def test_two_targets_are_suspect_for_a_while(self) -> None:
        self.centres.note_timeout("dc-b", "t1", 0.0)
        self.centres.note_timeout("dc-b", "t2", 0.5)
        self.assertTrue(self.centres.is_suspect("dc-b", 0.5))
        self.assertFalse(self.centres.is_suspect("dc-a", 0.5))
        self.assertFalse(
            self.centres.is_suspect("dc-b", 0.5 + SUSPICION_SECONDS)
        )

    def test_an_answer_ends_the_suspicion(self) -> None:
        self.centres.note_timeout("dc-b", "t1", 0.0)
        self.centres.note_timeout("dc-b", "t2", 0.5)
        self.centres.note_answer("dc-b")
        self.assertFalse(self.centres.is_suspect("dc-b", 0.5))


class CutCentreTest(GatewayTestCase):
    """Guards against a request that waits for each target behind a cut."""

    async def cut_centre(self, count: int) -> None:
        """Adds engines of a data centre whose connections time out."""
        self.tried: list[str] = []
        cut = set()
        for number in range(count):
            name = f"cut{number}"
            target = await self.add_target(name, stream_rest, service=SERVICE)
            self.targets.get(name).report.data_centre = "dc-a"
            cut.add(target.address)
        take = self.pool.take

        async def time_out(address: str, **options: object) -> ClientConnection:
            self.tried.append(address)
            if address in cut:
                raise ConnectError(
                    step="connect", peer=address, message="timed out"
                )
            return await take(address, **options)

        self.pool.take = time_out

    async def test_one_attempt_behind_the_cut(self) -> None:
        await self.cut_centre(4)
        await self.add_target("t9", stream_rest, service=SERVICE)
        # The others are expected to be faster.
        self.targets.get("t9").pace = 4.0
        answer = await self.call("/stream/")
        self.assertEqual(answer.body, ALL_EVENTS)
        self.assertEqual(len(self.tried), 2)

    async def test_all_targets_are_tried_if_no_others_serve(self) -> None:
        await self.cut_centre(3)
        answer = await self.call("/stream/")
        self.assertEqual(answer.status, 503)
        self.assertGreater(len(self.tried), 1)


class BudgetTest(GatewayTestCase):
    """Guards against requests that are given up for want of retry budget."""

    def set_budget(self, extra: float) -> None:
        """Sets the number of retries that all VMs may make."""
        budget = self.streams.budget.retry_budget
        budget.ratio = 0.0
        budget.extra = extra

    async def test_targets_that_cannot_be_connected_to(self) -> None:
        # Nothing has reached a target, so that the next attempt is the first.
        self.set_budget(0.0)
        gone = await self.add_target("t1", stream_rest, service=SERVICE)
        self.targets.get("t1").report.data_centre = "dc-a"
        await gone.server.close()
        await self.add_target("t2", stream_rest, service=SERVICE)
        answer = await self.call("/stream/")
        self.assertEqual(answer.body, ALL_EVENTS)
        self.assertFalse(gone.seen)

    async def test_request_that_was_sent_is_charged(self) -> None:
        self.set_budget(0.0)
        broken = await self.add_target("t1", abort, service=SERVICE)
        self.targets.get("t1").report.data_centre = "dc-a"
        other = await self.add_target("t2", stream_rest, service=SERVICE)
        answer = await self.call("/stream/")
        self.assertEqual(answer.status, 502)
        self.assertEqual((len(broken.seen), len(other.seen)), (1, 0))

    async def test_broken_stream_waits_for_the_budget(self) -> None:
        self.set_budget(0.0)
        await self.add_target("t1", break_off_at_once, service=SERVICE)
        self.targets.get("t1").report.data_centre = "dc-a"
        await self.add_target("t2", stream_rest, service=SERVICE)
        loop = asyncio.get_running_loop()
        loop.call_later(BUDGET_RETURN_SECONDS, self.set_budget, 10.0)
        answer = await self.call("/stream/", deadline_ms=5000)
        self.assertEqual(answer.body, ALL_EVENTS)
        self.assertTrue(answer.complete)

    async def test_broken_stream_does_not_wait_for_long(self) -> None:
        self.set_budget(0.0)
        await self.add_target("t1", break_off_at_once, service=SERVICE)
        self.targets.get("t1").report.data_centre = "dc-a"
        await self.add_target("t2", stream_rest, service=SERVICE)
        answer = await self.call(
            "/stream/", deadline_ms=30_000, leave_after=4.0
        )
        self.assertFalse(answer.complete)
