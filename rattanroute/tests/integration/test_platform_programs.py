"""Tests of the operator interface: metrics, signals, settings and options."""

import asyncio
import pathlib
import signal
import sys
import tomllib

from rattanroute.platform.trial_deployments import build_configuration
from rattanroute.platform.trial_deployments import PEER_PORT
from rattanroute.tests.integration.platform_support import PlatformTestCase

# Less than a program takes to import its modules, so that the signal arrives
# during the imports.
SIGNAL_DELAY_SECONDS = 0.2
METRICS_PORT = PEER_PORT + 1
DEPLOY_FILE = pathlib.Path(__file__).parents[3] / "deploy" / "system.toml"


class PlatformProgramTest(PlatformTestCase):
    """Guards against programs that operators cannot monitor or control."""

    async def asyncSetUp(self) -> None:
        """Starts a deployment with one front in each zone."""
        await self.start_fleet()
        self.front = self.fleet.fronts[0]
        await self.wait_for_success(self.front.ready_url)

    async def test_metrics_reload_and_stop(self) -> None:
        """Guards against missing metrics, a fatal reload, an unclean stop."""
        for machine in (self.front, self.fleet.core[0]):
            url = f"http://{machine.address}:{METRICS_PORT}/metrics"
            self.assertIn(
                "rattanroute_live_members", await self.wait_for_success(url)
            )
        self.fleet.signal(self.front.name, signal.SIGHUP)
        await self.wait_for_log(self.front.name, "settings reloaded")
        await self.wait_for_success(self.front.ready_url)
        self.assertEqual(await self.fleet.stop(self.front.name), 0)
        await self.wait_for_log(self.front.name, "daemon stopped")

    async def test_reload_during_the_start(self) -> None:
        """Guards against a SIGHUP that ends a program before it is ready.

        The platform may send the signal at any time after the start.
        """
        await self.fleet.stop(self.front.name)
        await self.fleet.restart(self.front.name)
        await asyncio.sleep(SIGNAL_DELAY_SECONDS)
        self.fleet.signal(self.front.name, signal.SIGHUP)
        await asyncio.sleep(1.0)
        self.assertIsNone(self.fleet.processes[self.front.name].returncode)
        await self.wait_for_success(self.front.ready_url)

    async def test_handler_is_installed_before_packages_are_found(self) -> None:
        """Guards against a long first part of the start that SIGHUP ends.

        The deploy file's command is run, as its options decide what the
        interpreter does before the first line of the program.
        """
        path = self.fleet.folder / f"{self.front.name}.json"
        roles = tomllib.loads(DEPLOY_FILE.read_text())["roles"]
        words = roles["front"]["run"].split()
        options = ("-X", "importtime")
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, *options, *words[1:]),
            *("--config", str(path), "--check"),
            cwd=DEPLOY_FILE.parent.parent,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        output, errors = await process.communicate()
        self.assertEqual(process.returncode, 0, output)
        lines = errors.decode().splitlines()
        modules = [line.rpartition("|")[2].strip() for line in lines]
        self.assertNotIn("site", modules[: modules.index("signal")])

    async def test_wrong_settings_do_not_stop_a_program(self) -> None:
        """Guards against a malformed settings file that ends a program."""
        path = self.fleet.folder / f"{self.front.name}.json"
        path.write_bytes(b'{"node": ')
        self.fleet.signal(self.front.name, signal.SIGHUP)
        await self.wait_for_log(self.front.name, "settings not reloaded")
        await self.wait_for_success(self.front.ready_url)

    async def test_invalid_configurations_are_refused(self) -> None:
        """Guards against the acknowledgement of an invalid configuration."""
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
            await self.wait_for_success(url), build_configuration(1).decode()
        )

    async def test_check_of_settings(self) -> None:
        """Guards against wrong exit codes of the settings check."""
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
