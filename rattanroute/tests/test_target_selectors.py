"""Tests of the health and selection of targets."""

import random
import unittest

from rattanroute.gateway.header_codecs import AnswerMetadata
from rattanroute.gateway.target_selectors import FULL_BACKOFF_SECONDS
from rattanroute.gateway.target_selectors import MAX_FULL_BACKOFF_SECONDS
from rattanroute.gateway.target_selectors import STALE_SECONDS
from rattanroute.gateway.target_selectors import TargetSelector
from rattanroute.systems.outlier_detections import OutlierDetectionSystem
from rattanroute.tables.targets import TargetHealth
from rattanroute.tables.targets import TargetReport
from rattanroute.tables.targets import TargetTable
from rattanroute.tests.gateway_support import build_limiter


def build_selector(targets: TargetTable) -> TargetSelector:
    """Builds a selector of a VM in `dc-a`."""
    return TargetSelector(
        data_centre="dc-a",
        targets=targets,
        detections=OutlierDetectionSystem(targets=targets),
        limiter=build_limiter(targets),
        has_departed=lambda report: False,
        suspect=lambda row: None,
        announce_departure=lambda report: None,
        random=random.Random(1),
    )


def record(targets: TargetTable, target_id: str, received_at: float) -> None:
    """Records a report of a plain service."""
    report = TargetReport(
        target_id=target_id,
        sequence=int(received_at),
        address="10.0.0.1:80",
        data_centre="dc-a",
        model="desk",
    )
    targets.record(report=report, observer="v", received_at=received_at)


class TargetSelectorTest(unittest.TestCase):
    """Guards against work for silent targets and costly selections."""

    def test_target_whose_reports_stopped(self) -> None:
        """Guards against requests to a target whose reports stopped."""
        targets = TargetTable()
        record(targets, "old", 1.0)
        record(targets, "new", 2.0 + STALE_SECONDS)
        selector = build_selector(targets)
        self.assertFalse(selector.is_usable(targets.get("old"), 9.0))
        self.assertTrue(selector.is_usable(targets.get("new"), 9.0))

    def test_target_that_answers_without_reports(self) -> None:
        """Guards against a target that is refused work while it answers."""
        targets = TargetTable()
        record(targets, "old", 1.0)
        selector = build_selector(targets)
        selector.note_answer(targets.get("old").report, AnswerMetadata(), 6.0)
        record(targets, "new", 2.0 + STALE_SECONDS)
        self.assertTrue(selector.is_usable(targets.get("old"), 9.0))

    def test_no_reports_at_all(self) -> None:
        """Guards against a cut-off VM that considers all targets gone."""
        targets = TargetTable()
        record(targets, "a", 1.0)
        record(targets, "b", 2.0)
        selector = build_selector(targets)
        self.assertTrue(selector.is_usable(targets.get("a"), 500.0))

    def test_health_check_reads_a_single_target(self) -> None:
        """Guards against a selection cost quadratic in the targets."""

        class CountingTable(TargetTable):
            """Counts how often all targets are read."""

            reads = 0

            def __iter__(self) -> object:
                """Returns all targets."""
                CountingTable.reads += 1
                return iter(self.rows.values())

        targets = CountingTable()
        for number in range(400):
            record(targets, f"t{number}", 1.0)
        selector = build_selector(targets)
        usable = [selector.is_usable(x, 1.0) for x in targets]
        self.assertTrue(all(usable))
        self.assertEqual(CountingTable.reads, 1)


class FullTargetTest(unittest.TestCase):
    """Guards against calls that keep going to the same full target."""

    def setUp(self) -> None:
        self.targets = TargetTable()
        record(self.targets, "t1", 1.0)
        self.selector = build_selector(self.targets)
        self.row = self.targets.get("t1")

    def test_backoff_grows_until_the_target_serves_again(self) -> None:
        rests = []
        for _ in range(6):
            self.selector.note_full("t1", 10.0)
            rests.append(self.row.full_until - 10.0)
        self.assertLess(rests[0], 2 * FULL_BACKOFF_SECONDS)
        self.assertGreater(rests[3], 2 * rests[0])
        self.assertLess(max(rests), 2 * MAX_FULL_BACKOFF_SECONDS)
        self.selector.note_success("t1", 11.0)
        self.selector.note_full("t1", 12.0)
        self.assertLess(self.row.full_until - 12.0, 2 * FULL_BACKOFF_SECONDS)

    def test_full_target_is_not_ejected(self) -> None:
        """Guards against an overload that ejects working targets.

        After many rejections the back-off must still be a finite number.
        """
        for _ in range(3_000):
            self.selector.note_full("t1", 10.0)
        self.assertIs(self.row.health, TargetHealth.HEALTHY)
        self.assertTrue(self.selector.is_usable(self.row, 10.0))
