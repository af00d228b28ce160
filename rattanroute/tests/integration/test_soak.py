"""A short soak of the platform's programs, and the seeds that once failed."""

import unittest

from rattanroute.tests.soak_support import FAILED_SEEDS
from rattanroute.tools.soak import Soak

SEED = 20_261_204
TRAFFIC_SECONDS = 10.0


class SoakTest(unittest.IsolatedAsyncioTestCase):
    """Guards against broken promises under faults from outside."""

    async def assert_kept(self, seed: int, seconds: float) -> None:
        """Runs a soak that must break no promise."""
        soak = Soak(seed=seed, seconds=seconds)
        broken = await soak.run()
        self.assertEqual(broken, {}, f"logs: {soak.fleet.folder}")

    async def test_short_soak(self) -> None:
        """Guards against broken promises on a fixed seed."""
        await self.assert_kept(SEED, TRAFFIC_SECONDS)

    async def test_seeds_that_failed(self) -> None:
        """Guards against the return of faults that a soak found."""
        for failed in FAILED_SEEDS:
            with self.subTest(seed=failed.seed, cause=failed.cause):
                await self.assert_kept(failed.seed, failed.seconds)
