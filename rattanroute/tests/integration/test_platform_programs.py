"""The platform's programs as operators see them: metrics, signals, options."""

import asyncio
import signal
import sys

from rattanroute.platform.trials import build_configuration
from rattanroute.platform.trials import PEER_PORT
from rattanroute.tests.integration.platform_support import PlatformTestCase

# Within the time that a program takes to import its modules.
EARLY_SECONDS = 0.2
METRICS_PORT = PEER_PORT + 1


class PlatformProgramTest(PlatformTestCase):
    """Guards against programs that operators cannot watch or steer."""

    async def asyncSetUp(self) -> None:
        """Starts a deployment with one front in each zone."""
        await self.start_fleet()
        self.front = self.fleet.fronts[0]
        await self.wait_status(self.front.ready_url)

    async def test_metrics_reload_and_stop(self) -> None:
        """Guards against lost metrics, a reload that ends, an unclean stop."""
        for machine in (self.front, self.fleet.core[0]):
            url = f"http://{machine.address}:{METRICS_PORT}/metrics"
            self.assertIn(
                "rattanroute_live_members", await self.wait_status(url)
            )
        self.fleet.signal(self.front.name, signal.SIGHUP)
        await self.wait_logged(self.front.name, "settings reloaded")
        await self.wait_status(self.front.ready_url)
        self.assertEqual(await self.fleet.stop(self.front.name), 0)
        await self.wait_logged(self.front.name, "daemon stopped")

    async def test_reload_during_the_start(self) -> None:
        """Guards against a program that SIGHUP ends before it is ready.

        The platform may send it at any time after the start.
        """
        await self.fleet.stop(self.front.name)
        await self.fleet.restart(self.front.name)
        await asyncio.sleep(EARLY_SECONDS)
        self.fleet.signal(self.front.name, signal.SIGHUP)
        await asyncio.sleep(1.0)
        self.assertIsNone(self.fleet.processes[self.front.name].returncode)
        await self.wait_status(self.front.ready_url)

    async def test_wrong_settings_do_not_stop_a_program(self) -> None:
        """Guards against a reload that takes a damaged file."""
        path = self.fleet.folder / f"{self.front.name}.json"
        path.write_bytes(b'{"node": ')
        self.fleet.signal(self.front.name, signal.SIGHUP)
        await self.wait_logged(self.front.name, "settings not reloaded")
        await self.wait_status(self.front.ready_url)

    async def test_invalid_configurations_are_refused(self) -> None:
        """Guards against an invalid configuration that is acknowledged."""
        body = build_configuration(2)
        wrong = (
            body[:-1],
            body.replace(b'"service":"desk"', b'"service":"unknown"'),
            body.replace(b'"timeoutMs":3000', b'"timeoutMs":0'),
            body.replace(b'"pathPrefix":"/unsafe/"', b'"pathPrefix":"/safe/"'),
        )
        for content in wrong:
            status = await self.put(self.fleet.core[0], content)
            self.assertEqual(status, 400, content[:80])
        url = self.fleet.core[0].configuration_url
        self.assertEqual(
            await self.wait_status(url), build_configuration(1).decode()
        )

    async def test_check_of_settings(self) -> None:
        """Guards against a check that does not tell right from wrong."""
        path = self.fleet.folder / f"{self.front.name}.json"
        for content, code in ((path.read_bytes(), 0), (b"{}", 2)):
            path.write_bytes(content)
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "rattanroute.platform",
                "front",
                "--config",
                str(path),
                "--check",
                stdout=asyncio.subprocess.DEVNULL,
                stderr=asyncio.subprocess.DEVNULL,
            )
            self.assertEqual(await process.wait(), code)
