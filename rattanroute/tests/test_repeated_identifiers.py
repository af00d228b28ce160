"""Tests of callers that repeat a request under the same identifier."""

import asyncio
import random

from rattanroute.tests.gateway_hosts import Answer
from rattanroute.tests.gateway_hosts import GatewayTestCase
from rattanroute.tests.gateway_hosts import PLAIN_SERVICE
from rattanroute.tests.gateway_support import SERVICE
from rattanroute.tests.repeating_targets import EVENTS
from rattanroute.tests.repeating_targets import FailingTarget
from rattanroute.tests.repeating_targets import FAILURE
from rattanroute.tests.repeating_targets import NOT_RUN_STATUS
from rattanroute.tests.repeating_targets import PROMISES
from rattanroute.tests.repeating_targets import ScriptedTarget

AT_MOST_ONCE_PATHS = ("once", "single", "desksingle")
PATHS = ("safe", "stream", "deskstream", *AT_MOST_ONCE_PATHS)
CALLS = 120
CALLERS = 6
MAX_TRIES = 4


class RepeatedCallTest(GatewayTestCase):
    """Guards against a second answer to an earlier try of the same request."""

    async def repeat(
        self, path: str, service: str, *statuses: tuple[int, int | None]
    ) -> Answer:
        """Sends a request twice under one identifier.

        Returns:
            The answer to the second one.
        """
        self.script = ScriptedTarget(*statuses)
        self.target = await self.add_target("t1", self.script, service=service)
        await self.call(path, body=b"0")
        return await self.call(path, body=b"1")

    async def test_success_under_a_repeated_call(self) -> None:
        """Guards against a success where the target has failed."""
        answer = await self.repeat(
            "/safe/", PLAIN_SERVICE, (500, 200), (504, None)
        )
        self.assertEqual((answer.status, answer.body), (504, FAILURE))

    async def test_failure_under_a_repeated_call(self) -> None:
        """Guards against the failure of a try that a success has followed."""
        answer = await self.repeat(
            "/safe/", PLAIN_SERVICE, (500, 500), (200, None)
        )
        self.assertEqual((answer.status, answer.body), (200, EVENTS))

    async def test_promise_under_a_repeated_call(self) -> None:
        """Guards against a refusal of a call that has run."""
        answer = await self.repeat(
            "/safe/", PLAIN_SERVICE, (503, 503), (200, None)
        )
        self.assertEqual((answer.status, answer.body), (200, EVENTS))

    async def test_success_under_a_repeated_stream(self) -> None:
        """Guards against the events of an earlier try."""
        answer = await self.repeat("/stream/", SERVICE, (500, 200), (504, None))
        self.assertEqual((answer.status, answer.body), (504, FAILURE))

    async def test_promise_under_a_repeated_stream(self) -> None:
        """Guards against a refusal of a stream that has run once."""
        answer = await self.repeat("/single/", SERVICE, (503, 503), (200, None))
        self.assertEqual((answer.status, answer.body), (200, EVENTS))

    async def test_promise_under_a_repeated_resumed_stream(self) -> None:
        """Guards against the same for a stream without engines."""
        answer = await self.repeat(
            "/deskstream/", PLAIN_SERVICE, (503, 503), (200, None)
        )
        self.assertEqual((answer.status, answer.body), (200, EVENTS))

    async def test_calls_without_an_identifier(self) -> None:
        """Guards against an answer that nothing tells apart."""
        self.script = ScriptedTarget((200, None), (200, None))
        target = await self.add_target("t1", self.script, service=PLAIN_SERVICE)
        for body in (b"0", b"1"):
            await self.call("/safe/", request_id="", body=body)
        connections = {id(x.connection) for x in target.seen}
        self.assertEqual(len(connections), 2)


class RepeatingCallersTest(GatewayTestCase):
    """Guards against answers to other tries of callers that repeat."""

    async def test_seed_0(self) -> None:
        await self.play(0)

    async def test_seed_1(self) -> None:
        await self.play(1)

    async def test_seed_2(self) -> None:
        await self.play(2)

    async def test_seed_3(self) -> None:
        await self.play(3)

    async def play(self, seed: int) -> None:
        """Sends requests of all kinds; callers repeat those that failed."""
        self.script = FailingTarget(seed)
        for number in range(2):
            for service in (PLAIN_SERVICE, SERVICE):
                name = f"{service}{number}"
                await self.add_target(name, self.script, service=service)
        paths = random.Random(seed).choices(PATHS, k=CALLS)
        waiting = iter([(f"{seed}-{n}", x) for n, x in enumerate(paths)])
        await asyncio.gather(*(self.use(waiting) for _ in range(CALLERS)))

    async def use(self, waiting: object) -> None:
        """Sends one request after the other, with repeats."""
        for request_id, path in waiting:
            for number in range(MAX_TRIES):
                body = b"%d" % number
                answer = await self.call(
                    f"/{path}/x", request_id=request_id, body=body
                )
                self.check(request_id, path, body, answer)
                may_repeat = path not in AT_MOST_ONCE_PATHS
                if answer.status < 500 or not (
                    may_repeat or answer.status == NOT_RUN_STATUS
                ):
                    break

    def check(
        self, request_id: str, path: str, number: bytes, answer: Answer
    ) -> None:
        """Checks the answer to a try against what the targets ran for it."""
        runs = [
            x
            for x in self.script.runs.values()
            if (x.request_id, x.number) == (request_id, number)
        ]
        if answer.status in PROMISES:
            self.assertEqual(runs, [], f"{request_id} was refused and has run")
        if path in AT_MOST_ONCE_PATHS:
            self.assertLess(len(runs), 2, f"{request_id} ran twice")
        stamp = answer.headers.get(b"rattanroute-replica-stamp", b"").decode()
        if not stamp:
            self.assertGreaterEqual(answer.status, 400)
            return
        run = self.script.runs.get(stamp)
        self.assertIn(run, runs, f"{request_id}: answer of another try")
        self.assertEqual(run.status, answer.status)
