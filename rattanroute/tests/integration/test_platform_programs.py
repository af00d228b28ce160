"""Tests of the operator interface: metrics, signals, settings and options."""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import signal
import sys
import tomllib

from rattanroute.http1.heads import encode_request
from rattanroute.platform.trial_deployments import build_call
from rattanroute.platform.trial_deployments import build_configuration
from rattanroute.platform.trial_deployments import CallKind
from rattanroute.platform.trial_deployments import Machine
from rattanroute.platform.trial_deployments import PEER_PORT
from rattanroute.platform.trial_deployments import timeout_s
from rattanroute.tests.integration.platform_support import PlatformTestCase
from rattanroute.tests.integration.platform_support import POLL_SECONDS
from rattanroute.tests.integration.platform_support import START_SECONDS

# Longer than the start of the interpreter, and less than a program takes to
# import its modules, so that the signal arrives during the imports.
SIGNAL_DELAY_SECONDS = 0.1
SIGNAL_INTERVAL_SECONDS = 0.001
METRICS_PORT = PEER_PORT + 1
SEND_INTERVAL_SECONDS = 0.02
LAST_CHUNK = b"\r\n0\r\n\r\n"
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

    async def test_signals_in_a_series_until_the_end(self) -> None:
        """Guards against a stop that a late signal turns into a failure."""
        for machine in (self.front, self.fleet.core[0]):
            # Unlike `Popen.send_signal`, does not reap a process that ended.
            descriptor = os.pidfd_open(self.fleet.processes[machine.name].pid)
            self.addCleanup(os.close, descriptor)
            stop = asyncio.create_task(self.fleet.stop(machine.name))
            numbers = itertools.cycle((signal.SIGHUP, signal.SIGTERM))
            with contextlib.suppress(ProcessLookupError):
                while not stop.done():
                    await asyncio.sleep(SIGNAL_INTERVAL_SECONDS)
                    signal.pidfd_send_signal(descriptor, next(numbers))
            self.assertEqual(await stop, 0)

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


class FrontStopTest(PlatformTestCase):
    """Guards against requests that a stopping front reads and drops."""

    async def asyncSetUp(self) -> None:
        """Starts a deployment whose front serves streams."""
        await self.start_fleet()
        self.front = self.fleet.fronts[0]
        await self.wait_for_success(self.front.ready_url)
        async with asyncio.timeout(START_SECONDS):
            while (
                await self.call(self.front, CallKind.STREAM, b"first", "first")
                != 200
            ):
                await asyncio.sleep(POLL_SECONDS)

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a connection to the front."""
        host, _, port = self.front.front_address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        return reader, writer

    def build_stream(self, request_id: str, events: int) -> bytes:
        """Builds a request for a stream of 0.04 s for each event."""
        head = build_call(
            request_id,
            f"/{CallKind.STREAM.value}/x",
            time_left_s=timeout_s(CallKind.STREAM),
            answer_tokens=events,
        )
        return encode_request(head, b"x" * 100)

    async def test_requests_that_are_complete_during_a_stop(self) -> None:
        begun_reader, begun_writer = await self.connect()
        begun_writer.write(self.build_stream("begun", 100))
        twin_reader, twin_writer = await self.connect()
        twin_writer.write(self.build_stream("one", 10))
        twin_writer.write(self.build_stream("two", 10))
        await asyncio.sleep(0.2)
        stop = asyncio.create_task(self.fleet.stop(self.front.name))
        await asyncio.sleep(1.7)
        begun_writer.write(self.build_stream("behind", 10))
        slow_reader, slow_writer = await self.connect()
        slow_request = self.build_stream("slow", 10)
        slow_writer.write(slow_request[:-50])
        await asyncio.sleep(1.5)
        slow_writer.write(slow_request[-50:])
        begun, twin, slow = await asyncio.gather(
            begun_reader.read(), twin_reader.read(), slow_reader.read()
        )
        self.assertEqual(twin.count(LAST_CHUNK), 2)
        # Its turn comes after the listener has closed.
        self.assertEqual(begun.count(LAST_CHUNK), 1)
        self.assertEqual(begun.count(b"HTTP/1.1 503 "), 1)
        self.assertTrue(slow.startswith(b"HTTP/1.1 503 "))
        self.assertIn(b"Connection: close", slow)
        self.assertEqual(await stop, 0)


class ControlCallTest(PlatformTestCase):
    """Guards against changes that are lost or refused in a hand-over."""

    async def send_changes(self, machine: Machine) -> None:
        """Sends changes to a machine; stores their answers."""
        while not self.stopped:
            version = next(self.versions)
            status = await self.put(machine, build_configuration(version))
            self.statuses.add(status)
            if status == 200:
                self.acknowledged.append(version)
            await asyncio.sleep(SEND_INTERVAL_SECONDS)

    async def test_changes_while_core_machines_stop(self) -> None:
        """Each change is acknowledged or gets no clear answer."""
        await self.start_fleet()
        self.versions = itertools.count(2)
        self.statuses: set[int] = set()
        self.acknowledged: list[int] = []
        self.stopped = False
        machines = self.fleet.core
        async with asyncio.TaskGroup() as group:
            for machine in [*machines, *machines]:
                group.create_task(self.send_changes(machine))
            for machine in machines:
                self.assertEqual(await self.fleet.stop(machine.name), 0)
                await self.fleet.restart(machine.name)
                await self.wait_for_success(machine.configuration_url)
            self.stopped = True
        self.assertLessEqual(self.statuses, {0, 200, 503})
        body = await self.wait_for_success(machines[0].configuration_url)
        self.assertGreaterEqual(
            json.loads(body)["version"], max(self.acknowledged)
        )
