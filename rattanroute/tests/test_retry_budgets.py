"""Tests of the shared retry budget."""

import random
import unittest

from rattanroute.messages.loads import AttemptCount
from rattanroute.systems.retry_budgets import COUNTS_EXPIRY_SECONDS
from rattanroute.systems.retry_budgets import RetryBudget


class RetryBudgetTest(unittest.TestCase):
    """Guards against retries that multiply the load of a failing service."""

    def test_excessive_retries_stay_within_the_shared_budget(self) -> None:
        vms = 15
        budgets = [
            RetryBudget(ratio=0.2, extra=424, window_s=10) for _ in range(vms)
        ]
        times: list[float] = []
        firsts: list[float] = []
        for step in range(3000):
            now = step * 0.01
            for budget in budgets:
                budget.note_first("s", now)
                firsts.append(now)
                for _ in range(3):
                    if budget.try_retry("s", vms=vms, now=now):
                        times.append(now)
        for start in (0.0, 5.0, 19.9):
            end = start + 10
            repeats = sum(start <= t < end for t in times)
            requests = sum(start <= t < end for t in firsts)
            self.assertLessEqual(repeats, 0.2 * requests + 424)
        self.assertGreater(len(times), 0)

    def test_budget_returns_after_the_window(self) -> None:
        budget = RetryBudget(ratio=0.0, extra=10, window_s=10)
        taken = [budget.try_retry("s", vms=1, now=1.0) for _ in range(20)]
        self.assertTrue(taken[0])
        self.assertFalse(taken[-1])
        self.assertTrue(budget.try_retry("s", vms=1, now=11.5))

    def test_budgets_are_per_service(self) -> None:
        budget = RetryBudget(ratio=0.0, extra=2, window_s=10)
        while budget.try_retry("s", vms=1, now=1.0):
            pass
        self.assertTrue(budget.try_retry("other", vms=1, now=1.0))


class SharedBudgetTest(unittest.TestCase):
    """Guards against a shared budget that is exceeded or cannot be used."""

    VMS = 195
    RATIO = 0.2
    EXTRA = 574.0
    WINDOW_SECONDS = 10.0
    EXCHANGE_INTERVAL_SECONDS = 0.25

    def setUp(self) -> None:
        self.budgets = [self.build(number) for number in range(self.VMS)]
        self.firsts: list[float] = []
        self.repeats: list[float] = []
        self.sums: tuple[AttemptCount, ...] = ()
        self.ended: list[AttemptCount] = []
        self.now = 0.0

    def build(self, number: int) -> RetryBudget:
        """Builds the budget of a VM; the number seeds its random choices."""
        return RetryBudget(
            ratio=self.RATIO,
            extra=self.EXTRA,
            window_s=self.WINDOW_SECONDS,
            random=random.Random(number),
        )

    def simulate(self, retrying: range, *, seconds: float) -> None:
        """Simulates one request per second at each VM.

        Counts arrive late: each VM receives the sums of the previous
        interval.

        Args:
            retrying: VMs that attempt 20 retries in each interval.
            seconds: Simulated time.
        """
        steps = int(seconds / self.EXCHANGE_INTERVAL_SECONDS)
        for step in range(steps):
            self.now += self.EXCHANGE_INTERVAL_SECONDS
            now = self.now
            counts = [x.count("s", now) for x in self.budgets] + self.ended
            for number, budget in enumerate(self.budgets):
                budget.update_others(self.sums, vms=self.VMS, now=now)
                if step % 4 == number % 4:
                    budget.note_first("s", now)
                    self.firsts.append(now)
                for _ in range(20 if number in retrying else 0):
                    if budget.try_retry("s", vms=self.VMS, now=now):
                        self.repeats.append(now)
            total = AttemptCount(
                service="s",
                firsts=sum(x.firsts for x in counts),
                repeats=sum(x.repeats for x in counts),
            )
            self.sums = (total,)

    def restart(self, numbers: range) -> None:
        """Restarts VMs; the sums still include their earlier attempts."""
        for number in numbers:
            self.ended.append(self.budgets[number].count("s", self.now))
            self.budgets[number] = self.build(number)
            self.budgets[number].blocked_until = (
                self.now + COUNTS_EXPIRY_SECONDS
            )

    def count_window(self, times: list[float], start: float) -> int:
        """Counts the times in the window that begins at `start`."""
        return sum(start <= t < start + self.WINDOW_SECONDS for t in times)

    def check_bound(self, seconds: float) -> None:
        """Checks the limit of the budget in sliding windows."""
        for start in range(int(seconds - self.WINDOW_SECONDS) + 1):
            allowed = self.EXTRA + self.RATIO * self.count_window(
                self.firsts, start
            )
            used = self.count_window(self.repeats, start)
            self.assertLessEqual(used, allowed, start)

    def test_few_vms_with_a_failed_chain(self) -> None:
        """A few VMs whose chain failed get over twice their equal part."""
        self.simulate(range(10), seconds=25.0)
        self.check_bound(25.0)
        equal = 10 * (self.EXTRA / self.VMS + self.RATIO * 10)
        self.assertGreater(self.count_window(self.repeats, 12.0), 2 * equal)

    def test_retry_storm_of_all_vms(self) -> None:
        """All VMs retry at once on outdated counts."""
        self.simulate(range(self.VMS), seconds=30.0)
        self.check_bound(30.0)

    def test_retry_storm_after_an_idle_period(self) -> None:
        """The retries saved up while none are needed are bounded."""
        self.simulate(range(0), seconds=15.0)
        self.simulate(range(self.VMS), seconds=12.0)
        self.check_bound(27.0)

    def test_retry_storm_that_moves_to_other_vms(self) -> None:
        """Guards against lending a part that its owner uses afterwards.

        Some VMs borrow all that is left; then the other VMs use their parts.
        """
        self.simulate(range(65), seconds=6.0)
        self.simulate(range(65, self.VMS), seconds=6.0)
        self.check_bound(12.0)

    def test_vms_that_restart_in_a_retry_storm(self) -> None:
        """Guards against a restarted VM that exceeds the budget.

        It has lost its counts, but its retries are still in the window.
        """
        for part in (range(65), range(self.VMS)):
            with self.subTest(vms=len(part)):
                self.setUp()
                self.simulate(part, seconds=5.0)
                self.restart(part)
                self.simulate(part, seconds=5.0)
                self.check_bound(10.0)

    def test_started_vm_waits_for_counts(self) -> None:
        """Guards against restarted VMs that each use their part again."""
        budget = self.build(0)
        budget.blocked_until = COUNTS_EXPIRY_SECONDS
        self.assertFalse(budget.try_retry("s", vms=self.VMS, now=1.0))
        self.assertTrue(budget.try_retry("s", vms=self.VMS, now=2.1))
        budget = self.build(0)
        budget.blocked_until = COUNTS_EXPIRY_SECONDS
        budget.update_others((), vms=self.VMS, now=0.5)
        self.assertTrue(budget.try_retry("s", vms=self.VMS, now=1.0))

    def test_nothing_is_borrowed_without_counts(self) -> None:
        """Guards against partitions that each use the whole budget."""
        budget = self.budgets[0]
        budget.update_others((), vms=self.VMS, now=0.0)
        later = 3.0
        taken = 0
        while budget.try_retry("s", vms=self.VMS, now=later):
            taken += 1
        self.assertLessEqual(taken, self.EXTRA / self.VMS)

    def test_partitions_stay_within_the_budget(self) -> None:
        """The partitions together stay within the budget."""
        parts = (range(39), range(39, 117), range(117, self.VMS))
        for part in parts:
            for step in range(41):
                now = step * 0.25
                counts = [self.budgets[x].count("s", now) for x in part]
                total = AttemptCount(
                    service="s",
                    firsts=0,
                    repeats=sum(x.repeats for x in counts),
                )
                for number in part:
                    budget = self.budgets[number]
                    budget.update_others((total,), vms=len(part), now=now)
                    while budget.try_retry("s", vms=self.VMS, now=now):
                        self.repeats.append(now)
        self.assertLessEqual(self.count_window(self.repeats, 0.0), self.EXTRA)


class ArrivalRateTest(unittest.TestCase):
    """Guards against a wrong idea of the present load of all VMs."""

    def setUp(self) -> None:
        self.budget = RetryBudget(ratio=0.2, extra=10, window_s=10)

    def note_firsts(self, start: float, count: int) -> None:
        """Records requests of this VM, ten per second."""
        for number in range(count):
            self.budget.note_first("s", start + number / 10)

    def test_sum_of_all_vms(self) -> None:
        self.note_firsts(0.0, 50)
        self.budget.update_others(
            (AttemptCount(service="s", firsts=900, repeats=0, recent=90),),
            vms=10,
            now=4.8,
        )
        rate = self.budget.measure_rate("s", vms=10, now=4.9)
        self.assertAlmostEqual(rate, 100.0)

    def test_burst_after_a_pause_is_not_taken_for_few_requests(self) -> None:
        self.note_firsts(0.0, 5)
        self.budget.update_others(
            (AttemptCount(service="s", firsts=1, repeats=0, recent=1),),
            vms=10,
            now=0.4,
        )
        rate = self.budget.measure_rate("s", vms=10, now=0.4)
        self.assertGreaterEqual(rate, 50.0)

    def test_old_counts_of_others_do_not_count(self) -> None:
        self.note_firsts(0.0, 100)
        self.budget.update_others(
            (AttemptCount(service="s", firsts=900, repeats=0, recent=90),),
            vms=10,
            now=1.0,
        )
        rate = self.budget.measure_rate("s", vms=10, now=9.9)
        self.assertAlmostEqual(rate, 10.0)


class OptionalAttemptTest(unittest.TestCase):
    """Guards against optional attempts that leave no retries after failures."""

    def test_half_of_the_own_part_without_counts(self) -> None:
        budget = RetryBudget(ratio=0.2, extra=40, window_s=10)
        for _ in range(30):
            budget.note_first("s", 0.0)
        sent = 0
        while budget.allows_optional("s", vms=4, now=1.0):
            self.assertTrue(budget.try_retry("s", vms=4, now=1.0))
            sent += 1
        # Half of 0.2 x 30 requests and a quarter of the extra.
        self.assertEqual(sent, 8)

    def test_retries_of_other_vms_count(self) -> None:
        budget = RetryBudget(ratio=0.2, extra=40, window_s=10)
        for repeats, allowed in ((10, True), (39, True), (41, False)):
            count = AttemptCount(service="s", firsts=200, repeats=repeats)
            budget.update_others([count], vms=4, now=0.0)
            with self.subTest(repeats=repeats):
                self.assertEqual(
                    budget.allows_optional("s", vms=4, now=0.0), allowed
                )

    def test_none_until_counts_arrive_after_the_start(self) -> None:
        budget = RetryBudget(
            ratio=0.2, extra=40, window_s=10, blocked_until=2.0
        )
        self.assertFalse(budget.allows_optional("s", vms=1, now=1.0))
        self.assertTrue(budget.allows_optional("s", vms=1, now=2.5))
