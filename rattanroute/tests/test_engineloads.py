"""Tests of the load of engines that VMs tell each other."""

import dataclasses
import unittest

from rattanroute.systems.engineloads import EngineLoadSystem
from rattanroute.systems.engineloads import EXPIRY_SECONDS
from rattanroute.systems.engineloads import SILENCE_SECONDS
from rattanroute.tables.engineloads import EngineLoadTable


@dataclasses.dataclass(frozen=True, kw_only=True)
class MemberStub:
    """A live VM."""

    vm_id: str
    voter: bool = False


MEMBERS = (
    MemberStub(vm_id="core-1", voter=True),
    MemberStub(vm_id="core-2", voter=True),
    MemberStub(vm_id="f1"),
    MemberStub(vm_id="f2"),
)


class EngineLoadTest(unittest.TestCase):
    """Guards against fronts that each believe the engines are free."""

    def setUp(self) -> None:
        self.tables = {"f1": EngineLoadTable(), "f2": EngineLoadTable()}
        self.systems = {
            name: EngineLoadSystem(
                vm_id=name,
                members=lambda: MEMBERS,
                loads=self.tables.get(name),
            )
            for name in ("core-1", "core-2", "f1", "f2")
        }

    def exchange(self, now: float, *, lost: str = "") -> None:
        """Lets the fronts report and hear the keeper's answers."""
        for name in self.tables:
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

    def test_burst_on_one_front_is_seen_by_the_other(self) -> None:
        self.tables["f1"].add("t1", requests=40, cache_units=4000)
        self.exchange(1.0)
        row = self.tables["f2"].get("t1")
        self.assertEqual(row.other_requests, 40)
        self.assertEqual(row.all_cache_units, 4000)
        self.assertEqual(self.tables["f1"].get("t1").other_requests, 0)

    def test_load_of_a_front_that_is_gone_is_forgotten(self) -> None:
        self.tables["f1"].add("t1", requests=40, cache_units=4000)
        self.exchange(1.0)
        keeper = self.systems["core-1"]
        others = keeper.sum_others("f2", 1.0 + EXPIRY_SECONDS + 0.1)
        self.assertEqual(others.loads, ())

    def test_another_keeper_is_asked_after_silence(self) -> None:
        self.tables["f1"].add("t1", requests=40, cache_units=4000)
        second = 1.0
        while second < 3 * SILENCE_SECONDS:
            second += 0.25
            self.exchange(second, lost="core-1")
        self.assertEqual(self.tables["f2"].get("t1").other_requests, 40)
