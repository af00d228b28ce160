"""Simulations of VMs that share the limit of a target."""

from collections.abc import Callable
import dataclasses
import random
import unittest

from rattanroute.systems.engine_loads import EngineLoadSystem
from rattanroute.systems.target_limits import TargetLimiter
from rattanroute.systems.target_limits import WINDOW_SECONDS
from rattanroute.tables.engine_loads import EngineLoadTable
from rattanroute.tables.targets import TargetTable
from rattanroute.tests.support import build_report
from rattanroute.tests.support import MemberStub

TICK_SECONDS = 0.1
DELAY_SECONDS = 0.05
# Grace after the first answer with a limit, and for the reaction of each VM.
CONTACT_SECONDS = 3.0
TOLD_SECONDS = 0.5
CENTRES = ("dc-a", "dc-b", "dc-c")


@dataclasses.dataclass(kw_only=True)
class LimitedFleet:
    """Fronts that send requests to one target, with an exchange of counts.

    Each answer names the limit while the target is in need.

    Attributes:
        fronts: Number of fronts.
        limit_per_s: The limit.
        seed: Seed of arrivals and choices.
        named_at: Time from which answers name the limit, in seconds.
        lost: VMs that neither send nor receive messages.
    """

    fronts: int
    limit_per_s: float
    seed: int = 1
    named_at: float = 5.0
    lost: set[str] = dataclasses.field(default_factory=set)

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.now = 0.0
        self.sends: list[tuple[float, str]] = []
        self.told_at: dict[str, float] = {}
        self.denied: dict[str, int] = {}
        self.granted: dict[str, int] = {}
        self.messages: list[tuple[float, str, str, object]] = []
        self.systems: dict[str, EngineLoadSystem] = {}
        self.limiters: dict[str, TargetLimiter] = {}
        self.members = [
            MemberStub(vm_id=f"core-{dc}", data_centre=dc, voter=True)
            for dc in CENTRES
        ]
        for member in list(self.members):
            self.systems[member.vm_id] = self.build_system(member, None)
        for number in range(self.fronts):
            self.add_front(f"f{number}", CENTRES[number % len(CENTRES)])

    def add_front(self, vm_id: str, data_centre: str) -> None:
        """Starts a front that knows the target but not its limit."""
        member = MemberStub(vm_id=vm_id, data_centre=data_centre)
        self.members.append(member)
        targets = TargetTable()
        targets.record(
            report=build_report("t1", data_centre="dc-a"),
            observer="v",
            received_at=0.0,
        )
        self.limiters[vm_id] = TargetLimiter(
            targets=targets,
            vms=lambda: len(self.limiters),
            random=random.Random(f"{self.seed}-{vm_id}"),
        )
        self.systems[vm_id] = self.build_system(member, self.limiters[vm_id])

    def build_system(
        self, member: MemberStub, limiter: TargetLimiter | None
    ) -> EngineLoadSystem:
        """Builds the exchange of a VM."""
        return EngineLoadSystem(
            vm_id=member.vm_id,
            data_centre=member.data_centre,
            members=lambda: self.members,
            loads=EngineLoadTable() if limiter else None,
            limiter=limiter,
        )

    def exchange(self) -> None:
        """Runs the ticks and delivers the messages that are due."""
        for vm_id, system in self.systems.items():
            self.post(vm_id, system.tick(now=self.now))
        due = [x for x in self.messages if x[0] <= self.now]
        self.messages = [x for x in self.messages if x[0] > self.now]
        for _, sender, receiver, message in due:
            if {sender, receiver} & self.lost:
                continue
            system = self.systems[receiver]
            self.post(
                receiver,
                system.receive(peer=sender, message=message, now=self.now),
            )

    def post(self, sender: str, actions: list[object]) -> None:
        """Sends messages with a delay."""
        at = self.now + DELAY_SECONDS
        for action in actions:
            self.messages.append((at, sender, action.peer, action.message))

    def request(self, vm_id: str) -> None:
        """Lets a front send a request, if the limit allows it."""
        limiter = self.limiters[vm_id]
        target = limiter.targets.get("t1")
        if not limiter.admit(target, set(), self.now):
            self.denied[vm_id] = self.denied.get(vm_id, 0) + 1
            return
        self.granted[vm_id] = self.granted.get(vm_id, 0) + 1
        limiter.note_send("t1", self.now)
        self.sends.append((self.now, vm_id))
        if self.now >= self.named_at:
            target.limit_per_s = self.limit_per_s
            target.limit_named_at = self.now
            self.told_at.setdefault(vm_id, self.now)

    def run(self, until: float, rate: Callable[[str, float], float]) -> None:
        """Runs until a time.

        Args:
            until: Time in seconds.
            rate: Returns the requests per second of a front at a time.
        """
        while self.now < until:
            self.exchange()
            for vm_id in list(self.limiters):
                expected = rate(vm_id, self.now) * TICK_SECONDS
                while self.random.random() < expected:
                    self.request(vm_id)
                    expected -= 1
            self.now += TICK_SECONDS

    def find_most(self) -> int:
        """Returns the most requests in a window that ends under the rule.

        Only fronts count that knew of the limit half a second before.
        """
        return max(
            (
                self.count_window(end)
                for end, _ in self.sends
                if end >= self.named_at + CONTACT_SECONDS
            ),
            default=0,
        )

    def count_window(self, end: float) -> int:
        """Returns the requests of fronts that know the limit in a window."""
        return sum(
            end - WINDOW_SECONDS < at <= end
            and self.told_at.get(vm_id, end) <= end - TOLD_SECONDS
            for at, vm_id in self.sends
        )

    def measure_use(self, since: float) -> float:
        """Returns the part of the limit that was used since a time."""
        count = sum(at >= since for at, _ in self.sends)
        return count / (self.limit_per_s * (self.now - since))


class SharedLimitTest(unittest.TestCase):
    """Guards against VMs that together exceed the limit of a target."""

    def check(self, fleet: LimitedFleet) -> None:
        """Checks the bound of the platform."""
        bound = 1.5 * fleet.limit_per_s * WINDOW_SECONDS + 5
        self.assertLessEqual(fleet.find_most(), bound)

    def test_even_demand(self) -> None:
        """Guards against parts that exceed the limit, or use little of it.

        Parts of less than one request are lent with a probability, which uses
        less of a limit.
        """
        for fronts, limit_per_s, least_use in (
            (15, 10.4, 0.6),
            (195, 10.0, 0.2),
            (15, 1.0, 0.2),
        ):
            for seed in range(3):
                with self.subTest(fronts=fronts, limit=limit_per_s, seed=seed):
                    fleet = LimitedFleet(
                        fronts=fronts, limit_per_s=limit_per_s, seed=seed
                    )
                    demand = 2 * limit_per_s / fronts
                    fleet.run(30.0, lambda vm, now, d=demand: d)
                    self.check(fleet)
                    self.assertGreater(fleet.measure_use(10.0), least_use)

    def test_hot_front_beside_idle_ones(self) -> None:
        """Guards against a limit that idle VMs keep from a busy one."""
        for fronts in (15, 195):
            with self.subTest(fronts=fronts):
                fleet = LimitedFleet(fronts=fronts, limit_per_s=10.0)
                fleet.run(30.0, lambda vm, now: 20.0 if vm == "f0" else 0.0)
                self.check(fleet)
                self.assertGreater(fleet.measure_use(10.0), 0.5)

    def test_burst_at_all_fronts(self) -> None:
        """Guards against a burst before the counts of the others arrive."""
        for fronts in (15, 195):
            for seed in range(4):
                with self.subTest(fronts=fronts, seed=seed):
                    fleet = LimitedFleet(
                        fronts=fronts, limit_per_s=10.0, seed=seed
                    )
                    for _ in range(2):
                        low, high = 5.0 / fronts, 200.0 / fronts
                        fleet.run(fleet.now + 15, lambda vm, now, x=low: x)
                        fleet.run(fleet.now + 5, lambda vm, now, x=high: x)
                    self.check(fleet)

    def test_demand_that_moves(self) -> None:
        """Guards against two VMs that both hold the whole limit."""
        fleet = LimitedFleet(fronts=15, limit_per_s=10.0)

        def rate(vm: str, now: float) -> float:
            return 30.0 if vm == f"f{int(now) % 15}" else 0.0

        fleet.run(45.0, rate)
        self.check(fleet)

    def test_fronts_that_start(self) -> None:
        """Guards against fronts that start and know no limit."""
        fleet = LimitedFleet(fronts=15, limit_per_s=10.0)
        fleet.run(15.0, lambda vm, now: 20.0 / 15)
        for number in range(15):
            fleet.add_front(f"new-{number}", CENTRES[number % 3])
            fleet.run(fleet.now + 0.5, lambda vm, now: 20.0 / 15)
        fleet.run(fleet.now + 10.0, lambda vm, now: 20.0 / 30)
        self.check(fleet)

    def test_lost_aggregator(self) -> None:
        """Guards against fronts without counts that send too much."""
        fleet = LimitedFleet(fronts=15, limit_per_s=10.0)
        fleet.run(12.0, lambda vm, now: 30.0 / 15)
        fleet.lost = {"core-dc-a"}
        fleet.run(25.0, lambda vm, now: 30.0 / 15)
        fleet.lost = {"core-dc-a", "core-dc-b", "core-dc-c"}
        fleet.run(40.0, lambda vm, now: 30.0 / 15)
        self.check(fleet)

    def test_restarted_aggregators(self) -> None:
        """Guards against counts of new aggregators that lack other VMs."""
        fleet = LimitedFleet(fronts=15, limit_per_s=10.0)
        fleet.run(12.0, lambda vm, now: 120.0 / 15)
        for _ in range(6):
            for member in fleet.members:
                if member.voter:
                    system = fleet.build_system(member, None)
                    fleet.systems[member.vm_id] = system
            fleet.run(fleet.now + 0.6, lambda vm, now: 120.0 / 15)
        fleet.run(fleet.now + 5.0, lambda vm, now: 120.0 / 15)
        self.check(fleet)

    def test_rare_requests_are_not_starved(self) -> None:
        """Guards against a front with few requests that gets no part."""
        fleet = LimitedFleet(fronts=15, limit_per_s=10.0)
        fleet.run(45.0, lambda vm, now: 30.0 if vm == "f0" else 0.3)
        self.check(fleet)
        rare = [f"f{number}" for number in range(1, 15)]
        granted = sum(fleet.granted.get(x, 0) for x in rare)
        asked = granted + sum(fleet.denied.get(x, 0) for x in rare)
        self.assertGreater(granted, 0.1 * asked)
