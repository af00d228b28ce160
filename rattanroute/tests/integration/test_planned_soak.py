"""A short soak with planned work only."""

from rattanroute.tests.soak_support import SoakTestCase
from rattanroute.tools.soak import SoakKind

SEED = 4
TRAFFIC_SECONDS = 20.0


class PlannedSoakTest(SoakTestCase):
    """Guards against planned work that interrupts accepted requests."""

    async def test_planned_work(self) -> None:
        """Guards against interrupted streams, also those of slow readers."""
        await self.assert_invariants_hold(
            SEED, TRAFFIC_SECONDS, SoakKind.PLANNED_SEQUENTIAL
        )

    async def test_second_requests_of_a_connection(self) -> None:
        """Guards against requests dropped behind an open one."""
        await self.assert_invariants_hold(
            SEED, TRAFFIC_SECONDS, SoakKind.PLANNED
        )
