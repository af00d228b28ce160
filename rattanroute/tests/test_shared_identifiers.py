"""Tests of crash records of callers that give all calls one identifier."""

import asyncio
import unittest

from rattanroute.gateway.crash_detectors import LostAttempt
from rattanroute.gateway.crash_detectors import SUSPECT_WAIT_SECONDS
from rattanroute.http1.servers import Exchange
from rattanroute.systems.crash_causes import CRASHES_TO_BAN
from rattanroute.systems.crash_causes import SETTLE_SECONDS
from rattanroute.tables.crash_suspects import CrashEvent
from rattanroute.tests.crash_ban_support import BanCluster
from rattanroute.tests.crash_ban_support import build_crash
from rattanroute.tests.crash_ban_support import FRONTS
from rattanroute.tests.crash_ban_support import SERVICE
from rattanroute.tests.crash_ban_support import TICK_SECONDS
from rattanroute.tests.gateway_hosts import build_head
from rattanroute.tests.gateway_hosts import FakeTarget
from rattanroute.tests.gateway_hosts import GatewayTestCase

REQUEST_ID = "r1"
PART = "part"
BAN_DELAY_SECONDS = SETTLE_SECONDS + 3 * TICK_SECONDS


class CommonCauseTest(unittest.TestCase):
    """Guards against blaming a part for crashes with a common cause."""

    def setUp(self) -> None:
        self.cluster = BanCluster()

    def crash(self, number: int, fingerprint: str) -> None:
        """Crashes a target under a prompt with the part."""
        event = CrashEvent(
            at=self.cluster.now,
            request_id=REQUEST_ID,
            fingerprint=fingerprint,
            parts=frozenset({PART}),
            service=SERVICE,
        )
        self.cluster.systems["front-1"].note_crash(
            fingerprint, build_crash(number), event, self.cluster.now
        )

    def test_targets_that_crash_together(self) -> None:
        """Guards against a rack's failure that counts once for each call."""
        for number in range(CRASHES_TO_BAN):
            self.crash(number, f"request-{number}")
        self.cluster.run(BAN_DELAY_SECONDS)
        self.assertEqual(self.cluster.list_refusing_prompt(PART), [])

    def test_attempts_of_one_request(self) -> None:
        """Guards against attempts in quick succession that count once."""
        for number in range(CRASHES_TO_BAN):
            self.cluster.now += TICK_SECONDS
            self.crash(number, "request")
        self.cluster.run(BAN_DELAY_SECONDS)
        self.assertEqual(self.cluster.list_refusing("request"), list(FRONTS))


class OtherCallTest(GatewayTestCase):
    """Guards against a wait for the verdict on another call."""

    async def lose(self, path: str) -> LostAttempt:
        """Sends a request whose attempt is lost and returns the attempt."""
        await self.call(path, request_id=REQUEST_ID)
        return self.crashes.unresolved[-1]

    async def test_verdict_on_another_call(self) -> None:
        """Guards against a suspect that waits for another request."""
        reset = ["/once/suspect", "/once/other"]

        async def answer(target: FakeTarget, exchange: Exchange) -> None:
            path = exchange.request.head.target.decode()
            if path in reset:
                reset.remove(path)
                exchange.abort()
            else:
                exchange.send(build_head(exchange), b"ok")

        await self.add_target("t1", answer)
        suspect = await self.lose("/once/suspect")
        event = CrashEvent(
            at=suspect.lost_at,
            request_id=REQUEST_ID,
            fingerprint=suspect.fingerprint,
        )
        self.crashes.retract(suspect)
        self.bans.note_crash(
            suspect.fingerprint, build_crash(1), event, suspect.lost_at
        )
        await self.lose("/once/other")
        async with asyncio.timeout(SUSPECT_WAIT_SECONDS / 2):
            found = await self.call("/once/suspect", request_id=REQUEST_ID)
        self.assertEqual(found.status, 200)
