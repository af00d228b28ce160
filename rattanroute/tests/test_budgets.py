"""Tests of the budget of further attempts."""

import unittest

from rattanroute.systems.budgets import RepeatBudget


class RepeatBudgetTest(unittest.TestCase):
    """Guards against retries that multiply the load of a failing service."""

    def test_retry_abuse_stays_within_the_budget_of_all_vms(self) -> None:
        vms = 15
        budgets = [
            RepeatBudget(ratio=0.2, extra=424, window_s=10) for _ in range(vms)
        ]
        times: list[float] = []
        firsts: list[float] = []
        for step in range(3000):
            now = step * 0.01
            for budget in budgets:
                budget.note_first("s", now)
                firsts.append(now)
                for _ in range(3):
                    if budget.take_repeat("s", vms=vms, now=now):
                        times.append(now)
        for start in (0.0, 5.0, 19.9):
            end = start + 10
            repeats = sum(start <= t < end for t in times)
            requests = sum(start <= t < end for t in firsts)
            self.assertLessEqual(repeats, 0.2 * requests + 424)
        self.assertGreater(len(times), 0)

    def test_budget_returns_after_the_window(self) -> None:
        budget = RepeatBudget(ratio=0.0, extra=10, window_s=10)
        taken = [budget.take_repeat("s", vms=1, now=1.0) for _ in range(20)]
        self.assertTrue(taken[0])
        self.assertFalse(taken[-1])
        self.assertTrue(budget.take_repeat("s", vms=1, now=11.5))

    def test_services_have_budgets_of_their_own(self) -> None:
        budget = RepeatBudget(ratio=0.0, extra=2, window_s=10)
        while budget.take_repeat("s", vms=1, now=1.0):
            pass
        self.assertTrue(budget.take_repeat("other", vms=1, now=1.0))
