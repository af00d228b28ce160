"""Tests of the capacity that is reserved for more urgent requests."""

import random
import time
import unittest

from rattanroute.messages.loads import ServiceQueue
from rattanroute.systems.priority_reservations import FIRST_FRACTION
from rattanroute.systems.priority_reservations import MAX_FRACTION
from rattanroute.systems.priority_reservations import MINIMUM_SHARE
from rattanroute.systems.priority_reservations import NOTHING_RESERVED
from rattanroute.systems.priority_reservations import PriorityReservations
from rattanroute.systems.priority_reservations import Reservation
from rattanroute.tables.service_queues import EXPIRY_SECONDS
from rattanroute.tables.service_queues import ServiceQueueTable
from rattanroute.tests.gateway_support import build_chooser
from rattanroute.tests.gateway_support import build_service
from rattanroute.tests.gateway_support import build_targets
from rattanroute.tests.gateway_support import SERVICE
from rattanroute.tests.test_chain_choices import DEMAND

STEP_SECONDS = 0.02
SECONDS_TO_NOTHING = 1.0
# Bound of a decision for a request.
MAX_DECISION_SECONDS = 50e-6


def build_queue(priority: int, **counts: int) -> ServiceQueue:
    """Builds the counts of the other VMs for one rank."""
    values = {"waiting": 0, "refused": 0, "granted": 0, **counts}
    return ServiceQueue(service=SERVICE, priority=priority, **values)


class ReservationTest(unittest.TestCase):
    """Guards against capacity that goes to less urgent requests."""

    def setUp(self) -> None:
        self.queues = ServiceQueueTable()
        self.reservations = PriorityReservations(
            queues=self.queues, random=random.Random(1)
        )
        self.now = 10.0

    def fraction(self, priority: int) -> float:
        """Returns the fraction reserved against a rank."""
        state = self.reservations.get(SERVICE, priority, self.now)
        return state.reservation.fraction

    def run_for(
        self, seconds: float, *others: ServiceQueue, priority: int = 2
    ) -> float:
        """Lets time pass while the other VMs report the same counts.

        Returns:
            The fraction reserved against a rank at the end.
        """
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            self.queues.take_others(others, self.now)
            self.fraction(priority)
        return self.fraction(priority)

    def test_nothing_is_reserved_without_shortage(self) -> None:
        granted = build_queue(0, granted=100)
        self.assertEqual(self.run_for(1.0, granted), 0.0)
        self.assertIs(
            self.reservations.find(SERVICE, 2, self.now), NOTHING_RESERVED
        )

    def test_waiting_and_refused_requests_of_other_vms(self) -> None:
        """Guards against a VM that knows its own queue only."""
        for counts, highest in (
            ({"waiting": 1}, MAX_FRACTION),
            # Refusals are those of a second, so that they prove no shortage
            # that goes on.
            ({"refused": 1}, FIRST_FRACTION),
        ):
            with self.subTest(counts):
                self.setUp()
                urgent = build_queue(0, **counts)
                first = self.run_for(STEP_SECONDS, urgent)
                self.assertEqual(first, FIRST_FRACTION)
                self.assertEqual(self.run_for(5.0, urgent), highest)

    def test_less_urgent_requests_reserve_nothing(self) -> None:
        waiting = build_queue(2, waiting=9)
        self.assertEqual(self.run_for(1.0, waiting, priority=0), 0.0)
        self.assertEqual(self.run_for(1.0, waiting, priority=2), 0.0)

    def test_rank_between(self) -> None:
        waiting = build_queue(1, waiting=9)
        self.assertEqual(self.run_for(1.0, waiting, priority=1), 0.0)
        self.assertGreater(self.run_for(1.0, waiting, priority=2), 0.0)

    def test_reservation_ends_soon(self) -> None:
        """Guards against capacity that is held back for nobody."""
        self.run_for(5.0, build_queue(0, waiting=9))
        self.assertEqual(self.run_for(SECONDS_TO_NOTHING), 0.0)

    def test_rank_that_was_idle_meanwhile(self) -> None:
        """Guards against a reservation that lasts as nobody computes it."""
        self.run_for(5.0, build_queue(0, waiting=9))
        self.now += 3.0
        self.assertEqual(self.fraction(2), 0.0)

    def test_other_service(self) -> None:
        self.run_for(1.0, build_queue(0, waiting=9))
        other = self.reservations.find("other", 2, self.now)
        self.assertEqual(other, NOTHING_RESERVED)

    def test_old_sums(self) -> None:
        """Guards against a stall when the aggregator falls silent."""
        self.run_for(5.0, build_queue(0, waiting=9))
        end = self.now + EXPIRY_SECONDS + SECONDS_TO_NOTHING
        while self.now < end:
            self.now += STEP_SECONDS
            self.fraction(2)
        self.assertEqual(self.fraction(2), 0.0)

    def test_wrong_sums(self) -> None:
        """Guards against an aggregator that invents requests."""
        wrong = build_queue(0, waiting=10**9, refused=10**9)
        self.assertEqual(self.run_for(60.0, wrong), MAX_FRACTION)

    def test_refresh_ends_reservations_and_forgets_idle_ranks(self) -> None:
        self.run_for(5.0, build_queue(0, waiting=9))
        self.queues.take_others((), self.now)
        for _ in range(100):
            self.now += STEP_SECONDS
            fractions = self.reservations.refresh(self.now)
        self.assertEqual(fractions, {(SERVICE, 2): 0.0})
        self.now += 60.0
        self.reservations.refresh(self.now)
        self.assertEqual(self.reservations.states, {})

    def test_decision_is_fast(self) -> None:
        """Guards against a cost that grows with the queues."""
        others = tuple(build_queue(x, waiting=50) for x in range(10))
        self.queues.take_others(others, self.now)
        for rank in range(10):
            for _ in range(20):
                self.queues.note_granted(SERVICE, rank, self.now)
        best = float("inf")
        for _ in range(50):
            self.now += STEP_SECONDS
            self.queues.take_others(others, self.now)
            begun = time.process_time()
            for _ in range(20):
                self.reservations.find(SERVICE, 9, self.now)
            best = min(best, (time.process_time() - begun) / 20)
        self.assertLess(best, MAX_DECISION_SECONDS)


class MinimumShareTest(unittest.TestCase):
    """Guards against ranks that starve."""

    VMS = 20
    GRANTED_PER_SECOND = 100
    SECONDS = 20

    def count_granted(self, waiting: dict[int, int]) -> int:
        """Counts the requests of rank 2 that may pass the reservation.

        Args:
            waiting: Waiting requests of rank 2 by number of the VM.
        """
        vms = []
        for number in range(self.VMS):
            queues = ServiceQueueTable()
            queues.get(SERVICE, 2).waiting = waiting.get(number, 0)
            vms.append(
                PriorityReservations(
                    queues=queues, random=random.Random(number)
                )
            )
        total = sum(waiting.values())
        granted = 0
        for step in range(round(self.SECONDS / STEP_SECONDS)):
            now = step * STEP_SECONDS
            for number, vm in enumerate(vms):
                own = waiting.get(number, 0)
                vm.queues.take_others(
                    (
                        build_queue(
                            0, waiting=50, granted=self.GRANTED_PER_SECOND
                        ),
                        build_queue(2, waiting=total - own),
                    ),
                    now,
                )
                if own and vm.find(SERVICE, 2, now) is NOTHING_RESERVED:
                    granted += vm.may_pass(SERVICE, 2, now)
                    vm.note_granted(SERVICE, 2, now)
        return granted

    def test_share_of_all_vms_together(self) -> None:
        expected = self.SECONDS * self.GRANTED_PER_SECOND * MINIMUM_SHARE
        for waiting in (
            dict.fromkeys(range(self.VMS), 1),
            {3: 24},
            {3: 24, 4: 1, 5: 1},
        ):
            with self.subTest(waiting):
                granted = self.count_granted(waiting)
                # The grants of this VM count for its share too.
                self.assertGreater(granted, 0.9 * expected)
                self.assertLess(granted, 1.3 * expected)

    def test_share_needs_grants(self) -> None:
        """Guards against requests that overfill engines without turnover."""
        queues = ServiceQueueTable()
        queues.get(SERVICE, 2).waiting = 5
        vm = PriorityReservations(queues=queues, random=random.Random(1))
        passed = 0
        for step in range(500):
            now = step * STEP_SECONDS
            queues.take_others((build_queue(0, waiting=50),), now)
            passed += vm.may_pass(SERVICE, 2, now)
        self.assertEqual(passed, 0)


class ReservedRoomTest(unittest.TestCase):
    """Guards against chains through engines that are nearly full."""

    def setUp(self) -> None:
        self.targets = build_targets()
        self.service = build_service()

    def count_served(self, reservation: Reservation) -> int:
        """Counts the requests that engines take until none has room."""
        chooser = build_chooser(self.targets)
        served = 0
        while served < 500:
            chain = chooser.choose(
                self.service,
                DEMAND,
                excluded=frozenset(),
                demanded=set(),
                reservation=reservation,
                now=0.0,
            )
            if not chain:
                break
            served += 1
            for hop in chain:
                layers = hop.end_layer - hop.first_layer
                chooser.loads.add(
                    hop.target_id,
                    requests=1,
                    cache_units=DEMAND.tokens * layers,
                )
        return served

    def test_reserved_memory_stays_free(self) -> None:
        everything = self.count_served(NOTHING_RESERVED)
        rest = self.count_served(Reservation(fraction=0.2))
        self.assertLess(rest, 0.9 * everything)
        self.assertGreater(rest, 0.6 * everything)

    def test_slots(self) -> None:
        self.assertEqual(NOTHING_RESERVED.limit_slots(96), 96)
        reservation = Reservation(fraction=0.1)
        self.assertEqual(reservation.limit_slots(96), 86)
        self.assertEqual(reservation.limit_slots(4), 3)
        self.assertEqual(reservation.limit_slots(1), 1)
