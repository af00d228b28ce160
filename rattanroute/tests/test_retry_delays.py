"""Tests of the delay after which a refused client returns."""

import random
import unittest

from rattanroute.systems.retry_delays import choose_retry_delay
from rattanroute.systems.retry_delays import estimate_wait
from rattanroute.systems.retry_delays import is_hopeless
from rattanroute.systems.retry_delays import MAX_RETRY_FRACTION
from rattanroute.systems.retry_delays import MIN_RETRY_SECONDS
from rattanroute.tables.service_queues import QueueCounts

SHARE = 0.1


class WaitEstimateTest(unittest.TestCase):
    """Guards against clients that return too early or too late."""

    def estimate(self, priority: int, **ranks: QueueCounts) -> float | None:
        """Estimates the wait of a rank; `r0` is the queue of rank 0."""
        sums = {int(name[1:]): counts for name, counts in ranks.items()}
        return estimate_wait(sums, priority, minimum_share=SHARE)

    def test_queue_and_rate(self) -> None:
        wait = self.estimate(0, r0=QueueCounts(waiting=9, granted=20))
        self.assertAlmostEqual(wait, 0.5)

    def test_less_urgent_requests_do_not_matter(self) -> None:
        wait = self.estimate(
            0, r0=QueueCounts(granted=10), r2=QueueCounts(waiting=99)
        )
        self.assertAlmostEqual(wait, 0.1)

    def test_more_urgent_requests_go_first(self) -> None:
        wait = self.estimate(
            2,
            r0=QueueCounts(waiting=9, granted=80),
            r2=QueueCounts(waiting=10, granted=20),
        )
        self.assertAlmostEqual(wait, 1.0)

    def test_minimum_share(self) -> None:
        """Guards against a rank that is told that it gets nothing."""
        wait = self.estimate(
            2, r0=QueueCounts(granted=100), r2=QueueCounts(waiting=4)
        )
        self.assertAlmostEqual(wait, 0.5)

    def test_nothing_granted(self) -> None:
        """Guards against a refusal where nothing is known."""
        wait = self.estimate(0, r0=QueueCounts(waiting=9))
        self.assertIsNone(wait)
        self.assertFalse(is_hopeless(wait, 1.0))

    def test_wait_that_is_much_too_long(self) -> None:
        self.assertFalse(is_hopeless(1.5, 1.0))
        self.assertTrue(is_hopeless(2.5, 1.0))

    def test_refused_requests_of_others_do_not_matter(self) -> None:
        """Guards against clients that delay others by many attempts."""
        quiet = self.estimate(0, r0=QueueCounts(granted=10))
        loud = self.estimate(0, r0=QueueCounts(granted=10, refused=999))
        self.assertEqual(quiet, loud)


class RetryDelayTest(unittest.TestCase):
    """Guards against delays that clients do not honour."""

    def choose(self, wait_s: float, time_left_s: float) -> list[float]:
        """Chooses many delays."""
        source = random.Random(1)
        return [
            choose_retry_delay(wait_s, time_left_s, source) for _ in range(200)
        ]

    def test_bounds(self) -> None:
        for wait_s in (0.0, 0.2, 3.0, 99.0, float("inf")):
            for time_left_s in (0.5, 5.0, 20.0):
                delays = self.choose(wait_s, time_left_s)
                longest = MAX_RETRY_FRACTION * time_left_s
                self.assertGreaterEqual(min(delays), MIN_RETRY_SECONDS)
                self.assertLessEqual(max(delays), longest)

    def test_clients_are_spread(self) -> None:
        """Guards against clients that return together."""
        for wait_s in (1.0, 99.0):
            delays = self.choose(wait_s, 20.0)
            self.assertGreater(max(delays) - min(delays), 0.3)

    def test_delay_follows_the_queue(self) -> None:
        self.assertGreaterEqual(min(self.choose(2.0, 20.0)), 2.0)
        self.assertLess(max(self.choose(0.3, 20.0)), 0.5)

    def test_no_time_left(self) -> None:
        self.assertEqual(set(self.choose(1.0, 0.0)), {MIN_RETRY_SECONDS})
