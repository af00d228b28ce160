"""Tests of crash records of callers that give all calls one identifier."""

import unittest

from rattanroute.systems.crash_causes import CRASHES_TO_BAN
from rattanroute.systems.crash_causes import SETTLE_SECONDS
from rattanroute.tables.crash_suspects import CrashEvent
from rattanroute.tests.crash_ban_support import BanCluster
from rattanroute.tests.crash_ban_support import build_crash
from rattanroute.tests.crash_ban_support import FRONTS
from rattanroute.tests.crash_ban_support import SERVICE
from rattanroute.tests.crash_ban_support import TICK_SECONDS

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
