"""Tests of the detection of failing and slow targets."""

import unittest

from rattanroute.actions import CancelAttempt
from rattanroute.actions import Dispatch
from rattanroute.events import AttemptStarted
from rattanroute.events import AttemptSucceeded
from rattanroute.events import Provenance
from rattanroute.events import RequestArrived
from rattanroute.systems.outlier_detections import FAILURES_TO_EJECT
from rattanroute.systems.outlier_detections import MAX_BACKOFF_SECONDS
from rattanroute.systems.outlier_detections import OutlierDetectionSystem
from rattanroute.tables.targets import TargetHealth
from rattanroute.tables.targets import TargetTable
from rattanroute.tests.support import build_core
from rattanroute.tests.support import build_report
from rattanroute.tests.support import build_request
from rattanroute.tests.test_cores import fail


def build_system(count: int) -> OutlierDetectionSystem:
    """Builds a system over a pool of targets t0, t1, ..."""
    targets = TargetTable()
    for number in range(count):
        targets.record(
            report=build_report(f"t{number}"), observer="x", received_at=0.0
        )
    return OutlierDetectionSystem(targets=targets)


def fail_until_ejected(
    system, target_id: str, now: float = 0.0
) -> TargetHealth:
    """Fails enough attempts to eject a target; returns its health."""
    row = system.targets.get(target_id)
    for _ in range(FAILURES_TO_EJECT):
        system.note_failure(row, crashed=False, retry_after_s=None, now=now)
    return row.health


class DetectionTest(unittest.TestCase):
    """Guards against failing targets in service and against empty pools."""

    def test_consecutive_failures_eject_and_one_probe_restores(self) -> None:
        core = build_core(build_report("t1"), build_report("t2"))
        row = core.targets.get("t1")
        self.assertIs(
            fail_until_ejected(core.detections, "t1"), TargetHealth.EJECTED
        )
        for other in core.targets:
            other.received_at = 1.5
        core.tick(now=1.5)
        self.assertIs(row.health, TargetHealth.PROBING)
        core.targets.get("t2").blocked_until = 99.0
        sent = core.handle(RequestArrived(request=build_request("r1")), now=1.5)
        self.assertEqual(sent[0].chain[0].target_id, "t1")
        waiting = build_request("r2")
        self.assertEqual(
            core.handle(RequestArrived(request=waiting), now=1.5), []
        )
        done = AttemptSucceeded(request_id="r1", attempt=1, tokens_out=5)
        _, sent = core.handle(done, now=1.6)
        self.assertIs(row.health, TargetHealth.HEALTHY)
        self.assertIsInstance(sent, Dispatch)

    def test_flapping_target_is_ejected_longer_each_time(self) -> None:
        system = build_system(3)
        row = system.targets.get("t0")
        waits = []
        now = 0.0
        for _ in range(8):
            fail_until_ejected(system, "t0", now)
            waits.append(row.blocked_until - now)
            now = row.blocked_until + 0.1
            system.end_backoffs(now)
            system.note_success(row, now)
        self.assertEqual(waits[:4], [1.0, 2.0, 4.0, 8.0])
        self.assertEqual(waits[-1], MAX_BACKOFF_SECONDS)

    def test_faulty_observer_cannot_empty_the_pool(self) -> None:
        for count in (1, 2, 5, 30):
            system = build_system(count)
            healths = [
                fail_until_ejected(system, f"t{n}") for n in range(count)
            ]
            ejected = healths.count(TargetHealth.EJECTED)
            self.assertLessEqual(ejected, max(1, 0.34 * count))
            self.assertLess(ejected, count)

    def test_target_slower_than_its_kind_is_ejected(self) -> None:
        system = build_system(4)
        slow, normal = system.targets.get("t0"), system.targets.get("t1")
        for _ in range(12):
            system.note_duration(slow, seconds=6.0, expected=1.0, now=0.0)
            system.note_duration(normal, seconds=1.2, expected=1.0, now=0.0)
        self.assertIs(slow.health, TargetHealth.EJECTED)
        self.assertIs(normal.health, TargetHealth.HEALTHY)

    def test_short_answers_of_a_busy_vm_eject_no_target(self) -> None:
        system = build_system(2)
        row = system.targets.get("t0")
        for _ in range(30):
            system.note_duration(row, seconds=0.05, expected=0.004, now=0.0)
        self.assertIs(row.health, TargetHealth.HEALTHY)

    def test_target_with_slow_first_tokens_is_ejected(self) -> None:
        system = build_system(4)
        for _ in range(30):
            for number in range(1, 4):
                row = system.targets.get(f"t{number}")
                system.note_start(row, seconds=0.2, now=0.0)
            slow = system.targets.get("t0")
            system.note_start(slow, seconds=3.0, now=0.0)
        self.assertIs(slow.health, TargetHealth.EJECTED)

    def test_repeatable_request_moves_from_an_unresponsive_target(self) -> None:
        core = build_core(build_report("t1"), build_report("t2"))
        [first] = core.handle(RequestArrived(request=build_request()), now=0.0)
        for row in core.targets:
            row.received_at = 3.5
        [second] = core.tick(now=3.5)
        self.assertNotEqual(first.chain, second.chain)
        start = AttemptStarted(request_id="r1", attempt=2)
        core.handle(start, now=3.6)
        self.assertEqual(core.tick(now=9.0), [])
        answer = AttemptSucceeded(request_id="r1", attempt=2)
        _, cancel = core.handle(answer, now=9.1)
        self.assertIsInstance(cancel, CancelAttempt)
        self.assertEqual(cancel.attempt, 1)

    def test_new_incarnation_is_healthy(self) -> None:
        system = build_system(3)
        fail_until_ejected(system, "t0")
        report = build_report("t0", incarnation=1)
        system.targets.record(report=report, observer="x", received_at=0.1)
        row = system.targets.get("t0")
        self.assertIs(row.health, TargetHealth.HEALTHY)
        self.assertEqual(row.blocked_until, 0.0)

    def test_crash_ejects_at_once(self) -> None:
        core = build_core(build_report("t1"), build_report("t2"))
        [first] = core.handle(RequestArrived(request=build_request()), now=0.0)
        core.handle(fail(first, Provenance.UNKNOWN, crashed=True), now=0.1)
        row = core.targets.get(first.chain[0].target_id)
        self.assertIs(row.health, TargetHealth.EJECTED)
