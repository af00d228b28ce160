"""Tests of broken streams that wait for capacity."""

import asyncio
import unittest

from rattanroute.http1.servers import Exchange
from rattanroute.systems.wait_queues import MAX_WAITING
from rattanroute.systems.wait_queues import WaitQueue
from rattanroute.tests.gateway_hosts import build_events
from rattanroute.tests.gateway_hosts import build_head
from rattanroute.tests.gateway_hosts import FakeTarget
from rattanroute.tests.gateway_support import SERVICE
from rattanroute.tests.test_silent_streams import ALL_EVENTS
from rattanroute.tests.test_silent_streams import fail
from rattanroute.tests.test_silent_streams import SilentEngineTestCase
from rattanroute.tests.test_silent_streams import stream_rest
from rattanroute.tests.test_wait_queues import enqueue

GOAL_SECONDS = 1.6


async def send_and_break(target: FakeTarget, exchange: Exchange) -> None:
    """Closes the connection after two events."""
    exchange.start(build_head(exchange))
    exchange.write(build_events(1, 3))
    await asyncio.sleep(0.01)
    exchange.abort()


class FullQueueTest(unittest.TestCase):
    """Guards against a begun answer that is cut because others wait."""

    def test_broken_stream_at_a_full_queue(self) -> None:
        """Guards against an abort while requests without an answer wait."""
        queue = WaitQueue()
        for _ in range(MAX_WAITING):
            self.assertIsNotNone(enqueue(queue, 1.0))
        broken = queue.enqueue(
            service="llm",
            priority=0,
            arrived_at=0.0,
            goal_s=GOAL_SECONDS,
            max_wait_s=1.5,
            underway=True,
            now=1.1,
        )
        self.assertIsNotNone(broken)


class BlockedQueueTest(SilentEngineTestCase):
    """Guards against a stream that waits in vain and blocks others."""

    async def test_stream_that_may_use_no_other_engine(self) -> None:
        """Guards against new calls that wait behind a stream without hope.

        Both engines that may run the request broke off; a third one is idle.
        """
        await self.add_engines(send_and_break, fail)
        self.targets.get("t2").report.data_centre = "dc-a"
        await self.add_target("t3", stream_rest, service=SERVICE)
        loop = asyncio.get_running_loop()
        first = asyncio.create_task(self.call("/stream/"))
        async with asyncio.timeout(1.0):
            while not (self.silent.seen and self.other.seen):
                await asyncio.sleep(0.01)
        started = loop.time()
        second = await self.call("/stream/", request_id="r2", body=b"y")
        self.assertEqual((second.status, second.body), (200, ALL_EVENTS))
        self.assertLess(loop.time() - started, 0.3)
        await first
