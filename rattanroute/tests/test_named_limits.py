"""Tests of targets that name the requests per second that they take."""

import asyncio

from rattanroute.http1.servers import Exchange
from rattanroute.tests.gateway_hosts import Answer
from rattanroute.tests.gateway_hosts import build_events
from rattanroute.tests.gateway_hosts import build_head
from rattanroute.tests.gateway_hosts import FakeTarget
from rattanroute.tests.gateway_hosts import GatewayTestCase
from rattanroute.tests.gateway_support import SERVICE

LIMIT_PER_S = 2.0
WINDOW_SECONDS = 4.0
# The platform allows one and a half times the limit and five requests more.
MAX_REQUESTS = 1.5 * LIMIT_PER_S * WINDOW_SECONDS + 5
# Between two calls of a test, so that 40 calls take one window.
INTERVAL_SECONDS = 0.1
CALLS = 40
# A refusal that is certain from the start comes within this time.
REFUSAL_SECONDS = 0.3


async def answer_with_limit(target: FakeTarget, exchange: Exchange) -> None:
    """Answers with success and names a limit."""
    exchange.send(build_head(exchange, limit_per_s=LIMIT_PER_S), b"body")


async def answer(target: FakeTarget, exchange: Exchange) -> None:
    """Answers with success."""
    exchange.send(build_head(exchange), b"body")


async def stream_with_limit(target: FakeTarget, exchange: Exchange) -> None:
    """Streams two events and names a limit."""
    exchange.start(build_head(exchange, limit_per_s=LIMIT_PER_S))
    exchange.write(build_events(1, 3))
    exchange.end()


async def stream(target: FakeTarget, exchange: Exchange) -> None:
    """Streams two events."""
    exchange.start(build_head(exchange))
    exchange.write(build_events(1, 3))
    exchange.end()


class NamedLimitTestCase(GatewayTestCase):
    """A test case that sends calls at a constant rate."""

    async def call_repeatedly(self, path: str) -> list[Answer]:
        """Sends calls for the time of one window and returns the answers."""
        tasks = []
        for _ in range(CALLS):
            tasks.append(asyncio.create_task(self.call(path)))
            await asyncio.sleep(INTERVAL_SECONDS)
        return await asyncio.gather(*tasks)

    def count_served(self, answers: list[Answer]) -> int:
        """Returns the number of calls that were answered with success."""
        return sum(x.status == 200 and x.complete for x in answers)


class ServiceLimitTest(NamedLimitTestCase):
    """Guards against a target that gets more requests than it takes."""

    async def test_another_target_takes_the_rest(self) -> None:
        limited = await self.add_target("t1", answer_with_limit)
        await self.add_target("t2", answer)
        answers = await self.call_repeatedly("/safe/")
        self.assertEqual(self.count_served(answers), CALLS)
        self.assertLessEqual(len(limited.seen), MAX_REQUESTS)
        self.assertGreater(len(limited.seen), 1)

    async def test_all_targets_at_their_limits(self) -> None:
        """Guards against calls that wait in vain, or return at once."""
        limited = await self.add_target("t1", answer_with_limit)
        answers = await self.call_repeatedly("/once/")
        self.assertLessEqual(len(limited.seen), MAX_REQUESTS)
        self.assertEqual(self.count_served(answers), len(limited.seen))
        refused = [x for x in answers if x.status != 200]
        self.assertEqual({x.status for x in refused}, {503})
        for refusal in refused:
            self.assertGreater(float(refusal.headers[b"retry-after"]), 0)
        loop = asyncio.get_running_loop()
        started = loop.time()
        await asyncio.gather(*(self.call("/once/") for _ in range(4)))
        last = await self.call("/once/")
        self.assertIn(last.status, (200, 503))
        self.assertLess(loop.time() - started, 1.5)

    async def test_end_of_a_limit(self) -> None:
        """Guards against a limit that outlasts the need of its target."""
        target = await self.add_target("t1", answer_with_limit)
        await self.call("/safe/")
        self.assertEqual(self.targets.get("t1").limit_per_s, LIMIT_PER_S)
        target.script = answer
        answers = await self.call_repeatedly("/safe/")
        self.assertGreater(self.count_served(answers), 0.8 * CALLS)
        self.assertIsNone(self.targets.get("t1").limit_per_s)


class StreamLimitTest(NamedLimitTestCase):
    """Guards against an engine that gets more requests than it takes."""

    async def test_another_engine_takes_the_rest(self) -> None:
        limited = await self.add_target(
            "t1", stream_with_limit, service=SERVICE
        )
        self.targets.get("t1").report.data_centre = "dc-a"
        await self.add_target("t2", stream, service=SERVICE)
        answers = await self.call_repeatedly("/stream/")
        self.assertEqual(self.count_served(answers), CALLS)
        self.assertLessEqual(len(limited.seen), MAX_REQUESTS)
        self.assertGreater(len(limited.seen), 1)

    async def test_all_engines_at_their_limits(self) -> None:
        """Guards against streams that wait in vain."""
        limited = await self.add_target(
            "t1", stream_with_limit, service=SERVICE
        )
        answers = await self.call_repeatedly("/stream/")
        self.assertLessEqual(len(limited.seen), MAX_REQUESTS)
        self.assertEqual(self.count_served(answers), len(limited.seen))
        self.targets.get("t1").limit_per_s = 0.1
        await self.call("/stream/")
        loop = asyncio.get_running_loop()
        started = loop.time()
        refusal = await self.call("/stream/")
        self.assertLess(loop.time() - started, REFUSAL_SECONDS)
        self.assertEqual(refusal.status, 503)
        self.assertGreater(float(refusal.headers[b"retry-after"]), 0)
