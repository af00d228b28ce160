"""Tests of the inspection of targets."""

import unittest

from rattanroute.actions import SendMessage
from rattanroute.messages.inspections import InspectRequest
from rattanroute.messages.inspections import TargetStates
from rattanroute.systems.inspections import EXPIRY_SECONDS
from rattanroute.systems.inspections import InspectionSystem
from rattanroute.systems.inspections import INTERVAL_SECONDS
from rattanroute.tables.targets import TargetTable
from rattanroute.tests.support import build_report
from rattanroute.tests.support import MemberStub

MEMBERS = (
    MemberStub(vm_id="core-1", data_centre="dc-a", voter=True),
    MemberStub(vm_id="core-2", data_centre="dc-a", voter=True),
    MemberStub(vm_id="core-3", data_centre="dc-b", voter=True),
    MemberStub(vm_id="front", data_centre="dc-a", voter=False),
)


def build_system(vm_id: str, targets: TargetTable) -> InspectionSystem:
    """Builds the system of one of the members."""
    (own,) = (x for x in MEMBERS if x.vm_id == vm_id)
    return InspectionSystem(
        vm_id=vm_id,
        data_centre=own.data_centre,
        voter=own.voter,
        targets=targets,
        members=lambda: MEMBERS,
    )


def build_table() -> TargetTable:
    """Builds a table with a target in each of two data centres."""
    targets = TargetTable()
    for target_id, centre in (("t1", "dc-a"), ("t2", "dc-b")):
        report = build_report(target_id, data_centre=centre)
        targets.record(report=report, observer="v", received_at=0.0)
    return targets


class InspectorTest(unittest.TestCase):
    """Guards against inspections that are missing, doubled or too many."""

    def setUp(self) -> None:
        self.targets = build_table()
        self.system = build_system("core-1", self.targets)

    def due(self, now: float) -> list[str]:
        """Returns the targets to ask."""
        return [x.report.target_id for x in self.system.take_due(now)]

    def test_one_voter_asks_the_targets_of_its_data_centre(self) -> None:
        self.assertEqual(self.due(1.0), ["t1"])
        for other in ("core-2", "front"):
            system = build_system(other, self.targets)
            self.assertEqual(system.take_due(1.0), [])

    def test_target_is_asked_once_at_a_time(self) -> None:
        self.assertEqual(self.due(1.0), ["t1"])
        self.assertEqual(self.due(9.0), [])
        self.system.note_answer("t1", pace=1.0, now=9.0)
        self.assertEqual(self.due(9.5), [])
        self.assertEqual(self.due(9.0 + INTERVAL_SECONDS), ["t1"])

    def test_engine_that_reported_before_its_service_was_known(self) -> None:
        """Guards against engines of the first start that nobody asks."""
        targets = TargetTable()
        early = build_report("t1", sequence=1, total_layers=0, last_layer=-1)
        targets.record(report=early, observer="v", received_at=0.0)
        system = build_system("core-1", targets)
        self.assertEqual(system.take_due(1.0), [])
        known = build_report("t1", sequence=2)
        targets.record(report=known, observer="v", received_at=2.0)
        found = [x.report.target_id for x in system.take_due(2.0)]
        self.assertEqual(found, ["t1"])

    def test_one_lost_answer_is_no_failure(self) -> None:
        self.due(1.0)
        actions = self.system.note_silence("t1", refused=False, now=1.3)
        self.assertEqual(actions, [])

    def test_refused_connection_is_told_to_all_at_once(self) -> None:
        self.due(1.0)
        actions = self.system.note_silence("t1", refused=True, now=1.0)
        self.assertEqual({x.peer for x in actions}, {x.vm_id for x in MEMBERS})
        self.assertFalse(actions[0].message.states[0].reachable)

    def test_suspicion_and_lost_link_hasten_the_next_question(self) -> None:
        self.due(1.0)
        self.system.note_answer("t1", pace=1.0, now=1.0)
        request = InspectRequest(target_id="t1")
        self.system.receive(peer="front", message=request, now=1.3)
        self.assertEqual(self.due(1.3), ["t1"])
        self.system.note_answer("t1", pace=1.0, now=1.3)
        address = self.targets.get("t1").report.address
        self.system.note_lost_link(address, 1.31)
        self.assertEqual(self.due(1.31), ["t1"])


class FollowerTest(unittest.TestCase):
    """Guards against states that outlive their target or are not used."""

    def setUp(self) -> None:
        self.targets = build_table()
        self.core = build_system("core-1", self.targets)
        self.front_targets = build_table()
        self.front = build_system("front", self.front_targets)
        self.gone: list[str] = []
        self.front.on_unreachable = self.gone.append

    def pass_on(self, actions: list[SendMessage], now: float) -> None:
        """Delivers to the front what is meant for it."""
        for action in actions:
            if action.peer == "front":
                self.assertIsInstance(action.message, TargetStates)
                self.front.receive(
                    peer="core-1", message=action.message, now=now
                )

    def lose_target(self) -> None:
        """Lets the core find that a target is gone."""
        self.core.take_due(1.0)
        actions = self.core.note_silence("t1", refused=True, now=1.0)
        self.pass_on(actions, 1.0)

    def test_front_hears_of_a_loss_and_of_a_return(self) -> None:
        self.lose_target()
        self.assertFalse(self.front_targets.get("t1").reachable)
        self.assertEqual(self.gone, ["t1"])
        self.pass_on(self.core.note_answer("t1", pace=3.0, now=2.0), 2.0)
        self.assertTrue(self.front_targets.get("t1").reachable)
        self.assertEqual(self.front_targets.get("t1").pace, 3.0)

    def test_new_incarnation_starts_anew(self) -> None:
        self.lose_target()
        report = build_report("t1", incarnation=7)
        self.front_targets.record(report=report, observer="v", received_at=2.0)
        self.assertTrue(self.front_targets.get("t1").reachable)

    def test_state_that_is_no_longer_heard_is_forgotten(self) -> None:
        self.lose_target()
        self.front.tick(now=1.0 + EXPIRY_SECONDS)
        self.assertTrue(self.front_targets.get("t1").reachable)

    def test_state_is_repeated_while_it_lasts(self) -> None:
        self.lose_target()
        for second in range(2, 12):
            self.pass_on(self.core.tick(now=float(second)), float(second))
            self.front.tick(now=float(second))
        self.assertFalse(self.front_targets.get("t1").reachable)

    def test_front_suspects_at_the_voters_near_the_target(self) -> None:
        actions = self.front.suspect(self.front_targets.get("t1"), 1.0)
        self.assertEqual({x.peer for x in actions}, {"core-1", "core-2"})
        again = self.front.suspect(self.front_targets.get("t1"), 1.1)
        self.assertEqual(again, [])
