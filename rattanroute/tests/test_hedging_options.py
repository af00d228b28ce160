"""Tests of the options that let a front hedge."""

import pathlib
import tempfile
import unittest

from click.testing import CliRunner
from click.testing import Result

from rattanroute.platform.fronts import FrontDaemon
from rattanroute.platform.programs import build_options
from rattanroute.platform.programs import start
from rattanroute.platform.settings import BootSettings
from rattanroute.platform.settings import ListenSettings
from rattanroute.routers import build_hedge_settings
from rattanroute.settings import HedgingSettings
from rattanroute.systems.hedges import HedgeSettings

ADDRESS = "127.0.0.1"
USAGE_EXIT_CODE = 2


class HedgingOptionsTest(unittest.TestCase):
    """Guards against hedging that operators did not ask for."""

    def run_program(self, *arguments: str) -> Result:
        """Runs a program without a settings file."""
        with tempfile.TemporaryDirectory() as folder:
            path = str(pathlib.Path(folder) / "missing.json")
            return CliRunner().invoke(
                start, [*arguments, "--config", path], obj=[]
            )

    def test_no_hedging_by_default(self) -> None:
        self.assertEqual(
            build_options("front", ratio=None, per_second=None), {}
        )
        self.assertEqual(build_options("core", ratio=None, per_second=None), {})

    def test_zero_switches_hedging_off(self) -> None:
        """Guards against a front that does not start without hedging."""
        for ratio, per_second in ((0.0, 2.0), (0.02, 0.0), (0.0, 0.0)):
            options = build_options("front", ratio=ratio, per_second=per_second)
            self.assertEqual(options, {})

    def test_both_limits(self) -> None:
        options = build_options("front", ratio=0.02, per_second=2.0)
        expected = HedgeSettings(ratio=0.02, per_second=2.0)
        self.assertEqual(options, {"hedging": expected})

    def test_wrong_options(self) -> None:
        """Guards against a limit that is missing or no number."""
        for arguments in (
            ("front", "--hedge-ratio", "0.02"),
            ("front", "--hedge-rate", "2"),
            ("front", "--hedge-ratio", "1.5", "--hedge-rate", "2"),
            ("front", "--hedge-ratio", "-0.1", "--hedge-rate", "2"),
            ("front", "--hedge-ratio", "nan", "--hedge-rate", "2"),
            ("front", "--hedge-ratio", "0.02", "--hedge-rate", "nan"),
            ("core", "--hedge-ratio", "0.02", "--hedge-rate", "2"),
        ):
            with self.subTest(arguments=arguments):
                result = self.run_program(*arguments)
                self.assertEqual(result.exit_code, USAGE_EXIT_CODE)
                self.assertIn("Usage", result.output)

    def test_right_options_reach_the_settings(self) -> None:
        result = self.run_program(
            "front", "--hedge-ratio", "0.02", "--hedge-rate", "2"
        )
        self.assertNotIn("Usage", result.output)


class HedgingSettingsTest(unittest.TestCase):
    """Guards against a daemon that hedges otherwise than it is set to."""

    def test_defaults_are_those_without_settings(self) -> None:
        settings = build_hedge_settings(HedgingSettings())
        self.assertEqual(settings, HedgeSettings())

    def test_all_settings(self) -> None:
        section = HedgingSettings(ratio=0.1, per_second=3.0, percentile=90.0)
        self.assertEqual(
            build_hedge_settings(section),
            HedgeSettings(ratio=0.1, per_second=3.0, percentile=90.0),
        )


class HedgingFrontTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a front that hedges without the options."""

    def build_front(self, **options: HedgeSettings) -> FrontDaemon:
        """Builds a front that is not started."""
        listen = f"{ADDRESS}:0"
        boot = BootSettings(
            node="machine-1",
            ip=ADDRESS,
            zone="zone-a",
            listen=ListenSettings(front=listen, ready=listen),
            internal_port_range=(7340, 7342),
            seeds=[],
            bootstrap=True,
            data_dir=None,
        )
        return FrontDaemon(path=pathlib.Path("unused"), boot=boot, **options)

    async def test_front_without_options(self) -> None:
        front = self.build_front()
        self.assertIsNone(front.services.hedger)
        self.assertIsNone(front.streams.hedger)

    async def test_front_with_options(self) -> None:
        settings = HedgeSettings(ratio=0.02, per_second=2.0)
        front = self.build_front(hedging=settings)
        policy = front.services.hedger.policy
        self.assertIs(policy, front.streams.hedger.policy)
        self.assertEqual(policy.hedges.settings, settings)
        self.assertFalse(policy.is_stopping())
        front.stopping = True
        self.assertTrue(policy.is_stopping())


if __name__ == "__main__":
    unittest.main()
