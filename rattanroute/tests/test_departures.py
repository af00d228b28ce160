"""Tests of the notices of targets that end."""

import unittest

from rattanroute.systems.departures import DepartureSystem
from rattanroute.tables.targets import TargetTable
from rattanroute.tests.support import build_report
from rattanroute.tests.support import MemberStub

MEMBERS = (
    MemberStub(vm_id="a", voter=True),
    MemberStub(vm_id="b", voter=True),
    MemberStub(vm_id="front-1"),
    MemberStub(vm_id="front-2"),
)


def build_system(
    vm_id: str, members: tuple[MemberStub, ...] = MEMBERS[:2]
) -> DepartureSystem:
    """Builds the system of a VM, with one target."""
    targets = TargetTable()
    report = build_report("t1", incarnation=5, sequence=1)
    targets.record(report=report, observer="v", received_at=0.0)
    return DepartureSystem(
        vm_id=vm_id,
        voter=not vm_id.startswith("front"),
        targets=targets,
        members=lambda: members,
    )


class DepartureTest(unittest.TestCase):
    """Guards against work for a target after its notice was acknowledged."""

    def setUp(self) -> None:
        self.first = build_system("a")
        self.second = build_system("b")

    def test_notice_reaches_the_other_vm_at_once(self) -> None:
        actions = self.first.announce(
            target_id="t1", until_incarnation=5, now=1.0
        )
        (action,) = actions
        self.assertEqual(action.peer, "b")
        self.second.receive(peer="a", message=action.message, now=1.0)
        self.assertTrue(self.second.targets.get("t1").report.leaving)

    def test_lost_notice_is_repeated(self) -> None:
        self.first.announce(target_id="t1", until_incarnation=5, now=1.0)
        (action,) = self.first.tick(now=1.5)
        self.second.receive(peer="a", message=action.message, now=1.5)
        self.assertTrue(self.second.targets.get("t1").report.leaving)

    def test_delayed_report_does_not_bring_the_target_back(self) -> None:
        self.first.announce(target_id="t1", until_incarnation=5, now=1.0)
        late = build_report("t1", incarnation=5, sequence=9)
        self.assertTrue(self.first.covers(late))
        self.first.targets.record(report=late, observer="v", received_at=2.0)
        self.first.tick(now=2.0)
        self.assertTrue(self.first.targets.get("t1").report.leaving)

    def test_notice_that_comes_before_the_first_report_holds(self) -> None:
        self.first.announce(target_id="new", until_incarnation=8, now=1.0)
        self.assertTrue(self.first.covers(build_report("new", incarnation=8)))

    def test_restarted_target_is_welcome(self) -> None:
        self.first.announce(target_id="t1", until_incarnation=5, now=1.0)
        again = build_report("t1", incarnation=6)
        self.assertFalse(self.first.covers(again))


class NoticeInAnAnswerTest(unittest.TestCase):
    """Guards against links from each front to all others for one notice."""

    def test_front_tells_the_voters_and_a_voter_tells_all(self) -> None:
        front = build_system("front-1", MEMBERS)
        actions = front.announce(target_id="t1", until_incarnation=5, now=1.0)
        self.assertEqual({x.peer for x in actions}, {"a", "b"})
        voter = build_system("a", MEMBERS)
        message = actions[0].message
        passed = voter.receive(peer="front-1", message=message, now=1.0)
        self.assertEqual({x.peer for x in passed}, {"b", "front-1", "front-2"})
        again = voter.receive(peer="front-2", message=message, now=1.1)
        self.assertEqual(again, [], "what is known is not flooded again")

    def test_voter_does_not_pass_on_what_a_voter_floods(self) -> None:
        first = build_system("a", MEMBERS)
        actions = first.announce(target_id="t1", until_incarnation=5, now=1.0)
        second = build_system("b", MEMBERS)
        passed = second.receive(peer="a", message=actions[0].message, now=1.0)
        self.assertEqual(passed, [])
