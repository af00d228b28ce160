"""Tests of the crash detection for attempts that go on after a suspicion."""

import asyncio
import dataclasses

from rattanroute.gateway.crash_detectors import SUSPECT_WAIT_SECONDS
from rattanroute.gateway.crash_detectors import VERDICT_TIMEOUT_SECONDS
from rattanroute.http1.servers import Exchange
from rattanroute.tests.gateway_hosts import build_events
from rattanroute.tests.gateway_hosts import build_head
from rattanroute.tests.gateway_hosts import FakeTarget
from rattanroute.tests.test_silent_streams import DEADLINE_MS
from rattanroute.tests.test_silent_streams import pause
from rattanroute.tests.test_silent_streams import SILENCE_SECONDS
from rattanroute.tests.test_silent_streams import SilentEngineTestCase

REQUEST = {"body": b"a request", "deadline_ms": DEADLINE_MS}


class SuspectedAttemptTest(SilentEngineTestCase):
    """Guards against verdicts from the time of a suspicion that was wrong."""

    async def go_on_and_crash(
        self, target: FakeTarget, exchange: Exchange
    ) -> None:
        """Goes on after a silence, and crashes when the test says so."""
        exchange.start(build_head(exchange))
        exchange.write(build_events(1, 3))
        await asyncio.sleep(SILENCE_SECONDS)
        exchange.write(build_events(3, 4))
        await self.crash_due.wait()
        target.server.listener.close()
        exchange.abort()

    async def test_crash_long_after_the_suspicion(self) -> None:
        """Guards against a crash that does not count against its request.

        A request may crash one engine after the other that way.
        """
        self.crash_due = asyncio.Event()
        await self.add_engines(self.go_on_and_crash, None)
        call = asyncio.create_task(self.call("/stream/", **REQUEST))
        await asyncio.sleep(SILENCE_SECONDS + 0.1)
        # The verdict on the suspicion is due and finds no crash.
        self.crashes.unresolved = [
            dataclasses.replace(
                lost, lost_at=lost.lost_at - VERDICT_TIMEOUT_SECONDS
            )
            for lost in self.crashes.unresolved
        ]
        self.crashes.check()
        self.assertEqual(len(self.bans.suspects), 0)
        self.crash_due.set()
        await call
        await asyncio.sleep(0.3)
        self.targets.get("t1").reachable = False
        self.crashes.check()
        self.assertEqual(len(self.bans.suspects), 1)

    async def test_crash_soon_after_the_suspicion(self) -> None:
        """Guards against a late verdict on a host that refuses connections.

        The host was probed at the suspicion and not when the stream broke.
        Retries of the request may crash other engines meanwhile.
        """
        self.crash_due = asyncio.Event()
        self.crash_due.set()
        await self.add_engines(self.go_on_and_crash, None)
        await self.call("/stream/", **REQUEST)
        await asyncio.sleep(SUSPECT_WAIT_SECONDS)
        self.crashes.check()
        self.assertEqual(len(self.bans.suspects), 1)

    async def test_crash_after_the_answer(self) -> None:
        """Guards against blaming a request that the engine has answered."""
        await self.add_engines(pause, None)
        answer = await self.call("/stream/", **REQUEST)
        self.assertTrue(answer.complete)
        self.targets.get("t1").reachable = False
        self.crashes.check()
        self.assertEqual(len(self.bans.suspects), 0)
