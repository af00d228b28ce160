"""Tests of what operators see of priorities, and of the options."""

import asyncio
import json
import pathlib
import random
import tempfile
import unittest
from unittest import mock

import click
import loguru

from rattanroute.logs import format_record
from rattanroute.messages.loads import ServiceQueue
from rattanroute.metrics import MetricsRegistry
from rattanroute.platform import programs
from rattanroute.platform.fronts import FrontDaemon
from rattanroute.platform.priority_monitors import PriorityMonitor
from rattanroute.platform.settings import load_boot_settings
from rattanroute.systems.priority_reservations import AdmissionSettings
from rattanroute.systems.priority_reservations import PriorityReservations
from rattanroute.tables.service_queues import ServiceQueueTable
from rattanroute.tests.gateway_support import SERVICE

BOOT = {
    "node": "front-1",
    "ip": "127.0.0.1",
    "zone": "dc-a",
    "internalPortRange": [40000, 40009],
}
FOREVER = 1e9


class PriorityMonitorTest(unittest.IsolatedAsyncioTestCase):
    """Guards against reservations that operators cannot see."""

    def setUp(self) -> None:
        self.queues = ServiceQueueTable()
        self.reservations = PriorityReservations(
            queues=self.queues, random=random.Random(1)
        )
        self.metrics = MetricsRegistry()
        self.monitor = PriorityMonitor(
            reservations=self.reservations, metrics=self.metrics
        )
        self.lines: list[str] = []
        handler = loguru.logger.add(self.lines.append, format=format_record)
        self.addCleanup(loguru.logger.remove, handler)

    def report(self, waiting: int) -> None:
        """Reports waiting requests of rank 0 at other VMs."""
        queue = ServiceQueue(
            service=SERVICE, priority=0, waiting=waiting, refused=0, granted=0
        )
        self.queues.take_others((queue,) if waiting else (), FOREVER)

    def read_metric(self, name: str, priority: int) -> float:
        """Returns the value of a gauge of one rank."""
        gauge = getattr(self.metrics, name)
        return gauge.get({"service": SERVICE, "priority": str(priority)})

    async def test_begin_and_end(self) -> None:
        now = asyncio.get_running_loop().time()
        self.report(3)
        self.reservations.find(SERVICE, 2, now)
        self.monitor.run()
        self.monitor.run()
        self.assertEqual(len(self.lines), 1)
        self.assertIn('event="reservation began"', self.lines[0])
        self.assertIn("priority=2", self.lines[0])
        self.assertIn("urgent_waiting=3", self.lines[0])
        self.assertGreater(self.read_metric("reserved_fraction", 2), 0)
        self.assertEqual(self.read_metric("queued_requests", 0), 3)
        self.report(0)
        for _ in range(8):
            await asyncio.sleep(0.05)
            self.monitor.run()
        self.assertEqual(len(self.lines), 2)
        self.assertIn('event="reservation ended"', self.lines[1])
        self.assertEqual(self.read_metric("reserved_fraction", 2), 0)
        self.assertEqual(self.read_metric("queued_requests", 0), 0)

    async def test_nothing_without_ranks(self) -> None:
        self.monitor.run()
        self.assertEqual(self.lines, [])
        self.assertEqual(self.monitor.shown, set())


class OptionTest(unittest.TestCase):
    """Guards against options that have no effect."""

    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = pathlib.Path(folder, "boot.json")
        self.path.write_text(json.dumps(BOOT), encoding="utf-8")

    def start(self, *options: str) -> AdmissionSettings:
        """Runs the program; returns the settings that the front got."""
        found = []

        def build(*, admission: AdmissionSettings, **settings: object) -> None:
            """Takes the place of the daemon."""
            found.append(admission)

        with (
            mock.patch("rattanroute.platform.fronts.FrontDaemon", build),
            mock.patch.object(programs, "run_process", mock.Mock()),
            mock.patch.object(programs.uvloop, "run"),
            mock.patch.object(programs, "configure_logs"),
            mock.patch.object(programs, "BoundedSink"),
        ):
            programs.start.main(
                ["front", "--config", str(self.path), *options],
                obj=[],
                standalone_mode=False,
            )
        return found[0]

    def test_defaults(self) -> None:
        self.assertEqual(
            self.start(), AdmissionSettings(enabled=True, minimum_share=0.1)
        )

    def test_options(self) -> None:
        settings = self.start("--no-ranked-admission", "--minimum-share", "0.2")
        self.assertEqual(
            settings, AdmissionSettings(enabled=False, minimum_share=0.2)
        )

    def test_share_that_leaves_nothing_to_urgent_requests(self) -> None:
        with self.assertRaises(click.BadParameter):
            self.start("--minimum-share", "0.9")

    def test_front_uses_the_settings(self) -> None:
        settings = AdmissionSettings(enabled=False, minimum_share=0.3)
        daemon = FrontDaemon(
            path=self.path,
            boot=load_boot_settings(self.path),
            admission=settings,
        )
        self.assertFalse(daemon.handler.ranks_enabled)
        self.assertEqual(daemon.reservations.minimum_share, 0.3)
        finder = daemon.streams.finder
        self.assertIs(finder.admission.reservations, daemon.reservations)
