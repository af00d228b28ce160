"""Tests of the exchange of engine loads between VMs."""

import unittest

from rattanroute.messages.loads import AttemptCount
from rattanroute.messages.loads import OtherLoads
from rattanroute.messages.loads import OwnLoads
from rattanroute.systems.engine_loads import ANSWER_TIMEOUT_SECONDS
from rattanroute.systems.engine_loads import EngineLoadSystem
from rattanroute.systems.engine_loads import EXPIRY_SECONDS
from rattanroute.tables.engine_loads import EngineLoadTable
from rattanroute.tests.support import MemberStub

MEMBERS = (
    MemberStub(vm_id="core-1", voter=True),
    MemberStub(vm_id="core-2", voter=True, data_centre="dc-b"),
    MemberStub(vm_id="f1"),
    MemberStub(vm_id="f2", data_centre="dc-b"),
)


class EngineLoadTest(unittest.TestCase):
    """Guards against fronts that do not see the load of the others."""

    def setUp(self) -> None:
        self.tables = {"f1": EngineLoadTable(), "f2": EngineLoadTable()}
        self.systems = {
            name: EngineLoadSystem(
                vm_id=name,
                data_centre="dc-b" if name.endswith("2") else "dc-a",
                members=lambda: MEMBERS,
                loads=self.tables.get(name),
            )
            for name in ("core-1", "core-2", "f1", "f2")
        }

    def exchange(self, now: float, *, lost: str = "") -> None:
        """Exchanges the reports of fronts and the aggregators' responses.

        Args:
            now: Current time in seconds.
            lost: VM that receives no messages.
        """
        for name in self.tables:
            self.exchange_sums(now, lost=lost)
            for action in self.systems[name].tick(now=now):
                if action.peer == lost:
                    continue
                answers = self.systems[action.peer].receive(
                    peer=name, message=action.message, now=now
                )
                for answer in answers:
                    self.systems[answer.peer].receive(
                        peer=action.peer, message=answer.message, now=now
                    )

    def exchange_sums(self, now: float, *, lost: str = "") -> None:
        """Exchanges the sums of the aggregators."""
        for name in ("core-1", "core-2"):
            for action in self.systems[name].tick(now=now):
                if lost not in (name, action.peer):
                    self.systems[action.peer].receive(
                        peer=name, message=action.message, now=now
                    )

    def test_front_sees_the_load_of_another(self) -> None:
        self.tables["f1"].add("t1", requests=40, cache_units=4000)
        self.exchange(1.0)
        self.exchange(2.0)
        row = self.tables["f2"].get("t1")
        self.assertEqual(row.other_requests, 40)
        self.assertEqual(row.all_cache_units, 4000)
        self.assertEqual(self.tables["f1"].get("t1").other_requests, 0)

    def test_load_of_a_stopped_front_expires(self) -> None:
        self.tables["f1"].add("t1", requests=40, cache_units=4000)
        self.exchange(1.0)
        self.exchange(2.0)
        for name in ("core-1", "core-2"):
            aggregator = self.systems[name]
            self.assertTrue(aggregator.sum_others("f3", 2.0).loads)
            others = aggregator.sum_others("f3", 2.0 + EXPIRY_SECONDS + 0.1)
            self.assertEqual(others.loads, ())

    def test_fronts_switch_from_a_silent_aggregator(self) -> None:
        self.tables["f1"].add("t1", requests=40, cache_units=4000)
        second = 1.0
        while second < 3 * ANSWER_TIMEOUT_SECONDS:
            second += 0.25
            self.exchange(second, lost="core-1")
        self.assertEqual(self.tables["f2"].get("t1").other_requests, 40)

    def test_partitioned_data_centre_counts_its_own_load(self) -> None:
        """Guards against engines that seem idle during a partition."""
        members = (*MEMBERS, MemberStub(vm_id="f3"))
        self.tables["f3"] = EngineLoadTable()
        self.systems["f3"] = EngineLoadSystem(
            vm_id="f3",
            data_centre="dc-a",
            members=lambda: members,
            loads=self.tables["f3"],
        )
        self.tables["f1"].add("t1", requests=40, cache_units=4000)
        for step in range(1, 20):
            self.exchange(step * 0.5, lost="core-2")
        self.assertEqual(self.tables["f3"].get("t1").other_requests, 40)


class EndedProcessTest(unittest.TestCase):
    """Guards against losing the attempts of a VM that stops or restarts."""

    WINDOW_SECONDS = 10.0

    def setUp(self) -> None:
        self.aggregators = {
            name: EngineLoadSystem(
                vm_id=name,
                data_centre=centre,
                members=lambda: MEMBERS,
                window_s=self.WINDOW_SECONDS,
            )
            for name, centre in (("core-1", "dc-a"), ("core-2", "dc-b"))
        }

    def report(self, repeats: int, *, process: int, now: float) -> OtherLoads:
        """Sends a report of a front; returns the aggregator's response."""
        count = AttemptCount(service="s", firsts=10, repeats=repeats)
        message = OwnLoads(loads=(), attempts=(count,), process=process)
        [answer] = self.aggregators["core-1"].receive(
            peer="f1", message=message, now=now
        )
        return answer.message

    def test_restarted_front_receives_its_earlier_attempts(self) -> None:
        self.assertEqual(self.report(7, process=1, now=1.0).attempts, ())
        [count] = self.report(0, process=2, now=3.0).attempts
        self.assertEqual(count.repeats, 7)
        self.assertEqual(self.report(0, process=2, now=11.1).attempts, ())

    def test_attempts_of_a_stopped_front_still_count(self) -> None:
        self.report(7, process=1, now=1.0)
        others = self.aggregators["core-1"].sum_others(
            "f9", 1 + EXPIRY_SECONDS + 1
        )
        self.assertEqual(others.attempts[0].repeats, 7)
        self.assertEqual(others.vms, 1)

    def test_other_aggregators_receive_the_attempts(self) -> None:
        self.report(7, process=1, now=1.0)
        [action] = self.aggregators["core-1"].tick(now=1 + EXPIRY_SECONDS + 1)
        self.aggregators["core-2"].receive(
            peer="core-1", message=action.message, now=5.0
        )
        others = self.aggregators["core-2"].sum_others("f2", 5.0)
        self.assertEqual(others.attempts[0].repeats, 7)


class ScalingTest(unittest.TestCase):
    """Guards against a cost that grows with the square of the VM count."""

    def count(self, vms: int) -> tuple[int, int]:
        """Counts the messages of one second.

        Args:
            vms: Number of fronts.

        Returns:
            The most reports that one aggregator received, and the number of
            messages between aggregators.
        """
        centres = [f"dc-{number}" for number in range(5)]
        members = [
            MemberStub(vm_id=f"core-{x}", data_centre=x, voter=True)
            for x in centres
        ]
        members += [
            MemberStub(vm_id=f"f{number}", data_centre=centres[number % 5])
            for number in range(vms)
        ]
        tables = {}
        systems = {}
        for member in members:
            if not member.voter:
                tables[member.vm_id] = EngineLoadTable()
                tables[member.vm_id].add("t1", requests=1, cache_units=9)
            systems[member.vm_id] = EngineLoadSystem(
                vm_id=member.vm_id,
                data_centre=member.data_centre,
                members=lambda: members,
                loads=tables.get(member.vm_id),
            )
        reports = {x.vm_id: 0 for x in members}
        between = 0
        for step in range(1, 5):
            for name, system in systems.items():
                for action in system.tick(now=step * 0.25):
                    reports[action.peer] += name in tables
                    between += name not in tables
                    for answer in systems[action.peer].receive(
                        peer=name, message=action.message, now=step * 0.25
                    ):
                        system.receive(
                            peer=action.peer,
                            message=answer.message,
                            now=step * 0.25,
                        )
        seen = {x.get("t1").all_requests for x in tables.values()}
        self.assertEqual(seen, {vms})
        return max(reports.values()), between

    def test_aggregators_share_the_reports(self) -> None:
        small, small_between = self.count(20)
        large, large_between = self.count(195)
        self.assertLessEqual(large, 4 * 195 / 5)
        self.assertLessEqual(large / small, 10.0)
        self.assertEqual(small_between, large_between)
