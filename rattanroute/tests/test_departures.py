"""Tests of the departure notices of targets."""

import unittest

import msgspec

from rattanroute.codecs import encode
from rattanroute.messages.departures import Departure
from rattanroute.messages.departures import DepartureReceipt
from rattanroute.systems.departures import DepartureSystem
from rattanroute.systems.departures import MAX_REPEATS
from rattanroute.systems.departures import REPEAT_SECONDS
from rattanroute.tables.targets import TargetTable
from rattanroute.tests.support import build_report
from rattanroute.tests.support import MemberStub

MEMBERS = (
    MemberStub(vm_id="a", voter=True),
    MemberStub(vm_id="b", voter=True),
    MemberStub(vm_id="front-1"),
    MemberStub(vm_id="front-2"),
)


class EarlierDepartures(
    msgspec.Struct, array_like=True, frozen=True, kw_only=True
):
    """The message of releases that know no receipts."""

    departures: tuple[Departure, ...]


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
    """Guards against new work for a target after its departure notice."""

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

    def test_notice_that_is_repeated_is_not_sent_at_once_as_well(self) -> None:
        """Guards against a broadcast for each report of a leaving target."""
        self.first.announce(target_id="t1", until_incarnation=5, now=1.0)
        sent = []
        for second in range(1, 10):
            now = 1.0 + 0.05 * second
            sent += self.first.announce(
                target_id="t1", until_incarnation=5, now=now
            )
        self.assertEqual(sent, [])
        self.assertEqual(len(self.first.tick(now=1.5)), 1)
        later = self.first.announce(
            target_id="t1", until_incarnation=6, now=1.6
        )
        self.assertEqual([x.peer for x in later], ["b"])

    def test_notice_after_the_last_repetition_is_sent_again(self) -> None:
        """Guards against VMs that were cut off during all repetitions."""
        now = 1.0
        self.first.announce(target_id="t1", until_incarnation=5, now=now)
        for _ in range(MAX_REPEATS):
            now += REPEAT_SECONDS
            self.assertEqual(len(self.first.tick(now=now)), 1)
        actions = self.first.announce(
            target_id="t1", until_incarnation=5, now=now
        )
        self.assertEqual([x.peer for x in actions], ["b"])

    def test_delayed_report_does_not_restore_the_target(self) -> None:
        self.first.announce(target_id="t1", until_incarnation=5, now=1.0)
        late = build_report("t1", incarnation=5, sequence=9)
        self.assertTrue(self.first.covers(late))
        self.first.targets.record(report=late, observer="v", received_at=2.0)
        self.first.tick(now=2.0)
        self.assertTrue(self.first.targets.get("t1").report.leaving)

    def test_notice_before_the_first_report_applies(self) -> None:
        self.first.announce(target_id="new", until_incarnation=8, now=1.0)
        self.assertTrue(self.first.covers(build_report("new", incarnation=8)))

    def test_restarted_target_is_accepted(self) -> None:
        self.first.announce(target_id="t1", until_incarnation=5, now=1.0)
        again = build_report("t1", incarnation=6)
        self.assertFalse(self.first.covers(again))


class FrontNoticeTest(unittest.TestCase):
    """Guards against links from a front to all other VMs for one notice."""

    def test_front_sends_to_voters_and_voter_sends_to_all(self) -> None:
        front = build_system("front-1", MEMBERS)
        actions = front.announce(target_id="t1", until_incarnation=5, now=1.0)
        self.assertEqual({x.peer for x in actions}, {"a", "b"})
        voter = build_system("a", MEMBERS)
        message = actions[0].message
        forwarded = voter.receive(peer="front-1", message=message, now=1.0)
        self.assertEqual(
            {x.peer for x in forwarded}, {"b", "front-1", "front-2"}
        )
        again = voter.receive(peer="front-2", message=message, now=1.1)
        self.assertEqual(again, [], "a known notice was broadcast again")

    def test_voter_does_not_forward_the_notice_of_a_voter(self) -> None:
        first = build_system("a", MEMBERS)
        actions = first.announce(target_id="t1", until_incarnation=5, now=1.0)
        second = build_system("b", MEMBERS)
        forwarded = second.receive(
            peer="a", message=actions[0].message, now=1.0
        )
        (receipt,) = forwarded
        self.assertEqual(receipt.peer, "a")
        self.assertIsInstance(receipt.message, DepartureReceipt)
        (repeated, *_) = first.tick(now=1.0 + REPEAT_SECONDS)
        second.receive(peer="a", message=repeated.message, now=1.5)
        for step in range(1, 2 * MAX_REPEATS):
            self.assertEqual(second.tick(now=1.5 + step * REPEAT_SECONDS), [])


class LostVoterTest(unittest.TestCase):
    """Guards against notices that end with the voter that acknowledged them."""

    def setUp(self) -> None:
        """Announces a notice to the first voter, which then fails."""
        self.first = build_system("a", MEMBERS)
        self.second = build_system("b", MEMBERS)
        actions = self.first.announce(
            target_id="t1", until_incarnation=5, now=1.0
        )
        (self.notice,) = (x.message for x in actions if x.peer == "b")

    def test_voter_takes_the_broadcast_over(self) -> None:
        self.second.tick(now=1.0)
        self.second.receive(peer="a", message=self.notice, now=1.0)
        sent = []
        for step in range(1, 4):
            sent += self.second.tick(now=1.0 + step * REPEAT_SECONDS)
        peers = {x.peer for x in sent}
        self.assertLessEqual({"front-1", "front-2"}, peers)

    def test_notice_is_confirmed_by_another_voter(self) -> None:
        self.assertFalse(self.first.is_confirmed("t1"))
        confirmed = []
        self.first.on_confirmed = confirmed.append
        (receipt,) = self.second.receive(peer="a", message=self.notice, now=1.0)
        self.first.receive(peer="b", message=receipt.message, now=1.1)
        self.assertTrue(self.first.is_confirmed("t1"))
        self.assertEqual(confirmed, ["t1"])

    def test_later_incarnation_needs_a_receipt_of_its_own(self) -> None:
        (receipt,) = self.second.receive(peer="a", message=self.notice, now=1.0)
        self.first.receive(peer="b", message=receipt.message, now=1.1)
        self.first.announce(target_id="t1", until_incarnation=6, now=1.2)
        self.assertFalse(self.first.is_confirmed("t1"))

    def test_front_confirms_nothing(self) -> None:
        front = build_system("front-1", MEMBERS)
        self.assertEqual(
            front.receive(peer="a", message=self.notice, now=1.0), []
        )

    def test_only_voter_needs_no_receipt(self) -> None:
        alone = build_system("a", (MEMBERS[0], MEMBERS[2]))
        alone.announce(target_id="t1", until_incarnation=5, now=1.0)
        self.assertTrue(alone.is_confirmed("t1"))

    def test_earlier_release_reads_a_notice(self) -> None:
        """Guards against voters of an earlier release that reject it."""
        kind, body = encode(self.notice)
        self.assertEqual(kind, 240)
        read = msgspec.msgpack.decode(body, type=EarlierDepartures)
        self.assertEqual(read.departures, self.notice.departures)
