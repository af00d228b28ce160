"""The seeds of the soak that once failed."""

from rattanroute.tests.soak_support import FAILED_SEEDS
from rattanroute.tests.soak_support import SoakTestCase


class FailedSeedTest(SoakTestCase):
    """Guards against the return of faults that a soak found."""

    async def assert_fixed(self, seed: int) -> None:
        """Runs a seed again that failed once."""
        failed = FAILED_SEEDS[seed]
        await self.assert_kept(failed.seed, failed.seconds)

    async def test_seed_1(self) -> None:
        """Guards against a check of changes that sees too much."""
        await self.assert_fixed(1)

    async def test_seed_1015(self) -> None:
        """Guards against a last read that comes before the last change."""
        await self.assert_fixed(1015)

    async def test_seed_1026(self) -> None:
        """Guards against a last read that comes before the last change."""
        await self.assert_fixed(1026)

    async def test_seed_1043(self) -> None:
        """Guards against a program that a reload ends during its start."""
        await self.assert_fixed(1043)

    async def test_seed_2000(self) -> None:
        """Guards against a ban that is lost with all programs."""
        await self.assert_fixed(2000)

    async def test_seed_2001(self) -> None:
        """Guards against a ban that is lost with all programs."""
        await self.assert_fixed(2001)

    async def test_seed_2021(self) -> None:
        """Guards against an older manifest after all programs have ended."""
        await self.assert_fixed(2021)

    async def test_seed_2031(self) -> None:
        """Guards against findings on what a crashed replica broke off."""
        await self.assert_fixed(2031)

    async def test_seed_1510155370(self) -> None:
        """Guards against callers that wait on, and against a slow return."""
        await self.assert_fixed(1510155370)
