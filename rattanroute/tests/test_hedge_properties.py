"""Tests of hedging under random delays and failures of all targets."""

import asyncio
import collections
import math
import random

from rattanroute.http1.heads import find_header
from rattanroute.http1.servers import Exchange
from rattanroute.systems.retry_budgets import RetryBudget
from rattanroute.tests.gateway_hosts import Answer
from rattanroute.tests.gateway_hosts import build_events
from rattanroute.tests.gateway_hosts import build_head
from rattanroute.tests.gateway_hosts import FakeTarget
from rattanroute.tests.gateway_hosts import PLAIN_SERVICE
from rattanroute.tests.gateway_support import SERVICE
from rattanroute.tests.hedging_support import HedgingTestCase
from rattanroute.tests.hedging_support import never_answer

SEEDS = range(1, 4)
CALLS = 60
CONCURRENT_CALLS = 12
TARGETS = 4
EVENTS = 6
ALL_EVENTS = build_events(1, EVENTS + 1)
MAX_ATTEMPTS = 2
MAX_DELAY_SECONDS = 0.3
DEADLINE_MS = 1500
# Time after which the targets have noticed the ends of all connections.
SETTLE_SECONDS = 0.5


class RandomTargets:
    """Scripts of targets that answer late or fail at random.

    Attributes:
        random: Source of the behaviour.
        runs: Targets that ran each request.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.runs: dict[str, set[str]] = collections.defaultdict(set)

    async def behave(self, target: FakeTarget, exchange: Exchange) -> None:
        """Answers, rejects, fails or says nothing, after a random delay."""
        choices = (self.answer, self.reject, self.hang_up, never_answer)
        script = self.random.choices(choices, (12, 2, 2, 1))[0]
        if script != self.reject:
            headers = exchange.request.head.headers
            name = find_header(headers, b"rattanroute-request-id")
            self.runs[name.decode()].add(target.target_id)
        await asyncio.sleep(self.random.uniform(0, MAX_DELAY_SECONDS))
        await script(target, exchange)

    async def answer(self, target: FakeTarget, exchange: Exchange) -> None:
        """Sends the events that are missing, sometimes only a part of them."""
        headers = exchange.request.head.headers
        last = int(find_header(headers, b"last-event-id") or 0)
        if exchange.request.head.path.startswith(b"/safe"):
            exchange.send(build_head(exchange), ALL_EVENTS)
            return
        exchange.start(build_head(exchange))
        for number in range(last + 1, EVENTS + 1):
            if exchange.disconnected:
                return
            exchange.write(build_events(number, number + 1))
            await asyncio.sleep(0.01)
            if self.random.random() < 0.02:
                exchange.abort()
                return
        exchange.end()

    async def reject(self, target: FakeTarget, exchange: Exchange) -> None:
        """Rejects the request without running it."""
        exchange.send(build_head(exchange, 503, stamped=False, not_run=True))

    async def hang_up(self, target: FakeTarget, exchange: Exchange) -> None:
        """Closes the connection without an answer."""
        exchange.abort()


class HedgePropertyTest(HedgingTestCase):
    """Guards against runs, answers and statements that break the rules."""

    async def run_calls(self, path: str, service: str, seed: int) -> None:
        """Sends calls side by side and checks each of them."""
        await self.asyncTearDown()
        await self.asyncSetUp()
        self.hedges.budget.burst = self.hedges.budget.tokens = math.inf
        self.hedges.rate.per_second = math.inf
        self.streams.budget.retry_budget = RetryBudget(
            ratio=10, extra=10_000, window_s=10
        )
        script = RandomTargets(seed)
        for number in range(TARGETS):
            name = f"s{seed}-{number}"
            await self.add_target(name, script.behave, service=service)
        slots = asyncio.Semaphore(CONCURRENT_CALLS)

        async def call(number: int) -> None:
            async with slots:
                name = f"r{number}"
                answer = await self.call(
                    path, request_id=name, deadline_ms=DEADLINE_MS
                )
                self.check(answer, script.runs[name])

        async with asyncio.TaskGroup() as group:
            for number in range(CALLS):
                group.create_task(call(number))
        self.assertGreater(self.count("started", service), 0)
        self.assertGreater(self.count("won", service), 0)
        await asyncio.sleep(SETTLE_SECONDS)
        self.check_end(script)

    def check(self, answer: Answer, runs: set[str]) -> None:
        """Checks the answer to a call and the targets that ran it."""
        self.assertLessEqual(len(runs), MAX_ATTEMPTS)
        if answer.status == 200 and answer.complete:
            self.assertEqual(answer.body, ALL_EVENTS)
        elif answer.status == 200:
            self.assertTrue(ALL_EVENTS.startswith(answer.body))
        elif answer.status == 503:
            self.assertEqual(runs, set())
        else:
            self.assertIn(answer.status, (502, 504))

    def check_end(self, script: RandomTargets) -> None:
        """Checks that nothing is left of the calls."""
        for runs in script.runs.values():
            self.assertLessEqual(len(runs), MAX_ATTEMPTS)
        self.assertEqual(self.streams.finder.chooser.loads.own_loads(), ())
        self.assertEqual(self.streams.runs, set())
        self.assertEqual(self.services.runs, set())
        self.assertEqual(self.pool.busy, set())
        self.assertEqual([x.in_flight for x in self.targets], [0] * TARGETS)

    async def test_calls(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                await self.run_calls("/safe/", PLAIN_SERVICE, seed)

    async def test_streams_of_engines(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                await self.run_calls("/stream/", SERVICE, seed)

    async def test_streams_without_engines(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                await self.run_calls("/deskstream/", PLAIN_SERVICE, seed)
