"""A short soak of the platform's programs."""

from rattanroute.tests.soak_support import SoakTestCase

SEED = 20_261_204
TRAFFIC_SECONDS = 10.0


class SoakTest(SoakTestCase):
    """Guards against violated invariants under injected faults."""

    async def test_short_soak(self) -> None:
        """Guards against violated invariants with a fixed seed."""
        await self.assert_invariants_hold(SEED, TRAFFIC_SECONDS)
