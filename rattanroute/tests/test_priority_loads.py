"""Tests of priorities across VMs under load, without a network.

Load pattern: 40 VMs share 12 engines that serve 120 requests per second; 30 of
each of three ranks arrive per second, and for six seconds a surge of rank 2 of
60 or 120 more. Loads and queues of other VMs are 0.25 to 0.5 s old.
"""

import collections
import unittest

from rattanroute.messages.loads import OtherLoads
from rattanroute.messages.loads import ServiceQueue
from rattanroute.systems.priority_reservations import FALL_PER_SECOND
from rattanroute.systems.priority_reservations import MAX_FRACTION
from rattanroute.tables.service_queues import EXPIRY_SECONDS
from rattanroute.tests.gateway_support import SERVICE
from rattanroute.tests.priority_measures import measure_gap
from rattanroute.tests.priority_measures import Outcome
from rattanroute.tests.priority_simulations import build_load
from rattanroute.tests.priority_simulations import ENGINES
from rattanroute.tests.priority_simulations import LOAD_SECONDS
from rattanroute.tests.priority_simulations import PrioritySimulation
from rattanroute.tests.priority_simulations import SharedEngines
from rattanroute.tests.priority_simulations import simulate
from rattanroute.tests.priority_simulations import SLOTS
from rattanroute.tests.priority_simulations import Surge
from rattanroute.tests.priority_simulations import SURGE_SECONDS
from rattanroute.tests.priority_simulations import VMS
from rattanroute.tests.virtual_loops import VirtualLoop

MAX_GAP = 0.02
SURGE_RATES = (60.0, 120.0)
SEEDS = (1, 2)
FROZEN = "core-dc-a"
# Shorter than the time after which VMs turn to another aggregator.
FREEZE_SECONDS = 2.0


def is_timely(outcome: Outcome) -> bool:
    """Returns whether a request met its goal."""
    return outcome.timely


class SurgeTest(unittest.TestCase):
    """Guards against a surge of rank 2 that costs rank 0 its answers."""

    def test_most_urgent_rank_is_served_best(self) -> None:
        for rate in SURGE_RATES:
            for seed in SEEDS:
                with self.subTest(rate=rate, seed=seed):
                    outcomes = simulate(surge_rate=rate, seed=seed).outcomes
                    gap = measure_gap(outcomes, is_timely)
                    self.assertLessEqual(gap, MAX_GAP)

    def test_load_is_one_that_needs_priorities(self) -> None:
        """Guards against a load that shows nothing."""
        for rate in SURGE_RATES:
            with self.subTest(rate=rate):
                simulation = simulate(surge_rate=rate, seed=1, ranked=False)
                gap = measure_gap(simulation.outcomes, is_timely)
                self.assertGreater(gap, 2 * MAX_GAP)

    def test_least_urgent_rank_is_served_too(self) -> None:
        """Guards against a rank that starves or returns in vain."""
        outcomes = simulate(surge_rate=120.0, seed=3).outcomes
        started = collections.Counter(
            int(x.started_at)
            for x in outcomes
            if x.priority == 2 and x.started_at is not None
        )
        for second in range(*map(int, SURGE_SECONDS)):
            self.assertGreater(started[second], 0)
        answered = sum(x.started_at is not None for x in outcomes)
        self.assertGreater(answered / len(outcomes), 0.98)

    def test_nothing_is_held_back_without_a_surge(self) -> None:
        """Guards against reservations while there is capacity for all."""
        outcomes = simulate(surge_rate=1.0, seed=1).outcomes
        self.assertTrue(all(map(is_timely, outcomes)))


class FrozenAggregatorTest(unittest.TestCase):
    """Guards against a burst or a stall when an aggregator fails."""

    def setUp(self) -> None:
        self.loop = VirtualLoop()
        self.addCleanup(self.loop.close)
        self.simulation = PrioritySimulation(
            vms=VMS,
            engines=SharedEngines(count=ENGINES, slots=SLOTS),
            ranked=True,
            seed=5,
        )
        self.fractions: list[tuple[float, float]] = []

    def run_load(self, surges: list[Surge], seconds: float) -> None:
        """Runs a load and samples the reservations against rank 2."""
        self.loop.call_later(0.1, self.sample)
        self.loop.run_until_complete(
            self.simulation.run(surges, seconds=seconds)
        )

    def sample(self) -> None:
        """Notes the highest fraction of all VMs."""
        now = self.loop.time()
        found = [
            vm.finder.admission.reservations.refresh(now)
            for vm in self.simulation.vms
        ]
        highest = max(x.get((SERVICE, 2), 0.0) for x in found)
        self.fractions.append((now, highest))
        self.loop.call_later(0.1, self.sample)

    def freeze_at(self, begin: float) -> float:
        """Freezes an aggregator at a time; returns when it goes on."""
        end = begin + FREEZE_SECONDS
        self.loop.call_at(begin, self.simulation.frozen.add, FROZEN)
        self.loop.call_at(end, self.simulation.thaw, FROZEN)
        return end

    def test_requests_are_served_meanwhile(self) -> None:
        """Guards against a stall of the VMs whose aggregator is frozen."""
        begin = SURGE_SECONDS[0] + 1.0
        end = self.freeze_at(begin)
        self.run_load(build_load(surge_rate=60.0), LOAD_SECONDS)
        started = collections.Counter(
            int(x.started_at)
            for x in self.simulation.outcomes
            if x.started_at is not None
        )
        usual = sum(started[x] for x in range(5, 8)) / 3
        for second in range(int(begin), int(end) + 2):
            self.assertGreater(started[second], 0.6 * usual)
        lost = [x for x in self.simulation.outcomes if x.started_at is None]
        self.assertEqual(lost, [])
        self.assertLessEqual(max(x for _, x in self.fractions), MAX_FRACTION)

    def test_old_sums_reserve_nothing_for_long(self) -> None:
        """Guards against sums of a shortage that is over.

        The load ends while the aggregator is frozen; then it goes on with the
        messages of the shortage.
        """
        stop = SURGE_SECONDS[0] + 2.0
        surges = build_load(surge_rate=120.0)
        for surge in surges:
            surge.end = stop
        end = self.freeze_at(stop - 0.5)
        self.run_load(surges, end + 5.0)
        during = [x for now, x in self.fractions if stop - 1 < now < stop]
        self.assertGreater(max(during), 0.0)
        decline_s = EXPIRY_SECONDS + MAX_FRACTION / FALL_PER_SECOND
        after = [x for now, x in self.fractions if now > end + decline_s + 1]
        self.assertEqual(max(after), 0.0)

    def test_wrong_sums_leave_most_capacity(self) -> None:
        """Guards against an aggregator that invents urgent requests."""
        wrong = ServiceQueue(
            service=SERVICE,
            priority=0,
            waiting=10**6,
            refused=10**6,
            granted=10**6,
        )
        message = OtherLoads(loads=(), vms=VMS, queues=(wrong,))
        for member in self.simulation.members:
            if member.voter:
                system = self.simulation.systems[member.vm_id]
                system.sum_others = lambda peer, now: message
        surge = Surge(priority=2, rate=60.0, begin=0.0, end=10.0, goal_s=1.0)
        self.run_load([surge], 10.0)
        timely = sum(map(is_timely, self.simulation.outcomes))
        self.assertEqual(timely, len(self.simulation.outcomes))
