"""Tests of the turns of connections with pipelined requests."""

import asyncio
import time
import unittest

from rattanroute.http1.exchanges import Exchange
from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.pipelined_requests import MAX_STARTS
from rattanroute.http1.pipelined_requests import PipelinePacer
from rattanroute.tests import crowd_patterns
from rattanroute.tests.test_client_pressure import HELD_REQUEST
from rattanroute.tests.test_client_pressure import HOST
from rattanroute.tests.test_client_pressure import PressureTestCase
from rattanroute.tests.test_client_pressure import REQUEST

CLIENTS = 200
REQUESTS_AHEAD = 100
ORDINARY_REQUEST = crowd_patterns.build_start(b"GET", b"/one", HOST) + b"\r\n"
HANDLER_SECONDS = 0.0002
LONG_SECONDS = 0.05


def use_processor(seconds: float) -> None:
    """Uses processor time."""
    end = time.thread_time() + seconds
    while time.thread_time() < end:
        pass


class StartedConnection:
    """A connection with pipelined requests.

    Args:
        name: Its name.
        started: Names of all connections that have started a request.
        cost_s: Processor time that a start uses, in seconds.
    """

    def __init__(
        self, name: int, started: list[int], *, cost_s: float = 0.0
    ) -> None:
        self.name = name
        self.started = started
        self.cost_s = cost_s

    def start_pipelined(self) -> None:
        """Records the start."""
        use_processor(self.cost_s)
        self.started.append(self.name)


class FailingConnection:
    """A connection whose request cannot start."""

    def start_pipelined(self) -> None:
        """Fails."""
        raise RuntimeError("request not started")


class PacerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against connections that start out of turn."""

    async def asyncSetUp(self) -> None:
        """Creates a pacer."""
        self.now = 0.0
        self.pacer = PipelinePacer(clock=lambda: self.now)
        self.started: list[int] = []

    def add(self, count: int, **values: float) -> list[StartedConnection]:
        """Adds connections."""
        added = [
            StartedConnection(number, self.started, **values)
            for number in range(count)
        ]
        for connection in added:
            self.pacer.add(connection)
        return added

    async def test_few_start_in_each_step(self) -> None:
        self.add(3 * MAX_STARTS)
        counts = []
        while len(self.started) < 3 * MAX_STARTS:
            await asyncio.sleep(0)
            counts.append(len(self.started))
        steps = [0, *counts]
        self.assertLessEqual(
            max(b - a for a, b in zip(steps, counts, strict=False)), MAX_STARTS
        )
        self.assertEqual(self.started, list(range(3 * MAX_STARTS)))

    async def test_closed_connection_does_not_start(self) -> None:
        added = self.add(2)
        self.pacer.discard(added[0])
        await asyncio.sleep(0.01)
        self.assertEqual(self.started, [1])

    async def test_error_of_a_connection(self) -> None:
        """Guards against turns that end with an unexpected error."""
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        self.pacer.add(FailingConnection())
        self.add(2 * MAX_STARTS)
        await asyncio.sleep(0.01)
        self.assertEqual(self.started, list(range(2 * MAX_STARTS)))

    async def test_costly_requests_wait(self) -> None:
        """Guards against pipelined requests that use the whole time."""
        self.add(2 * MAX_STARTS, cost_s=LONG_SECONDS / MAX_STARTS)
        for _ in range(10):
            await asyncio.sleep(0)
        self.assertEqual(len(self.started), MAX_STARTS)
        await asyncio.sleep(6 * LONG_SECONDS)
        self.assertEqual(len(self.started), 2 * MAX_STARTS)


class OrdinaryClientTest(PressureTestCase):
    """Guards against pipelined requests that starve new clients."""

    async def answer(self, exchange: Exchange) -> None:
        """Answers after some processor time; `/held` waits for the gate."""
        if exchange.request.head.target == b"/held":
            await self.gate.wait()
        use_processor(HANDLER_SECONDS)
        self.answered.append(exchange)
        exchange.send(ResponseHead(status=404))

    def test_new_client_beside_many(self) -> None:
        async def test() -> None:
            data = HELD_REQUEST + REQUEST * REQUESTS_AHEAD
            for _ in range(CLIENTS):
                await self.connect(data)
            await self.wait_until(
                lambda: len(self.server.connections) == CLIENTS
            )
            self.gate.set()
            reader, _ = await self.connect(ORDINARY_REQUEST)
            self.assertIn(b" 404 ", await reader.readline())
            self.assertLess(len(self.answered), 2 * CLIENTS)

        self.run_test(test)

    def test_all_pipelined_requests_are_answered(self) -> None:
        """Guards against connections that lose their turn."""

        async def test() -> None:
            clients = [
                await self.connect(REQUEST * REQUESTS_AHEAD) for _ in range(5)
            ]
            for reader, _ in clients:
                for _ in range(REQUESTS_AHEAD):
                    await reader.readuntil(b"\r\n\r\n")
            self.assertEqual(len(self.answered), 5 * REQUESTS_AHEAD)

        self.run_test(test)
