"""Tests of the decision to send a request to a second target."""

import random
import unittest

from rattanroute.systems.hedges import HEDGE_BURST
from rattanroute.systems.hedges import HedgeSettings
from rattanroute.systems.hedges import HedgeSystem
from rattanroute.systems.hedges import MAX_AGE_SECONDS
from rattanroute.systems.hedges import MAX_SAMPLES
from rattanroute.systems.hedges import MIN_HEDGE_SAMPLES

SERVICE = "desk"
REQUESTS_PER_SECOND = 20
TARGETS = 20
USUAL_SECONDS = 0.1
SLOW_SECONDS = 1.0


def record(hedges: HedgeSystem, seconds: float, count: int, now: float) -> None:
    """Records the same time several times."""
    for _ in range(count):
        hedges.record(SERVICE, seconds, now)


class RecentTimesTest(unittest.TestCase):
    """Guards against hedges that follow too few or outdated times."""

    def test_too_few_times_say_nothing(self) -> None:
        hedges = HedgeSystem()
        record(hedges, USUAL_SECONDS, MIN_HEDGE_SAMPLES - 1, 0.0)
        self.assertEqual(hedges.find_late(SERVICE, 0.0), 0.0)
        self.assertEqual(hedges.find_late("other", 0.0), 0.0)
        record(hedges, USUAL_SECONDS, 1, 1.0)
        late = hedges.find_late(SERVICE, 1.0)
        self.assertAlmostEqual(late, USUAL_SECONDS, delta=0.01)

    def test_percentile_of_the_times(self) -> None:
        hedges = HedgeSystem(settings=HedgeSettings(percentile=80.0))
        record(hedges, USUAL_SECONDS, 70, 0.0)
        record(hedges, SLOW_SECONDS, 30, 0.0)
        late = hedges.find_late(SERVICE, 0.0)
        self.assertAlmostEqual(late, SLOW_SECONDS, delta=0.02)

    def test_old_times_are_dropped(self) -> None:
        """Guards against a limit that an earlier load has set."""
        hedges = HedgeSystem()
        record(hedges, SLOW_SECONDS, 100, 0.0)
        now = MAX_AGE_SECONDS - 1
        record(hedges, USUAL_SECONDS, 100, now)
        self.assertEqual(hedges.find_late(SERVICE, now), SLOW_SECONDS)
        now += 2
        record(hedges, USUAL_SECONDS, 1, now)
        self.assertEqual(hedges.find_late(SERVICE, now), USUAL_SECONDS)

    def test_number_of_times_is_bounded(self) -> None:
        """Guards against memory that grows with the load."""
        hedges = HedgeSystem()
        record(hedges, SLOW_SECONDS, MAX_SAMPLES, 0.0)
        record(hedges, USUAL_SECONDS, MAX_SAMPLES, 1.0)
        self.assertEqual(len(hedges.recent[SERVICE].samples), MAX_SAMPLES)
        self.assertEqual(hedges.find_late(SERVICE, 1.0), USUAL_SECONDS)

    def test_nothing_is_known_after_a_long_pause(self) -> None:
        hedges = HedgeSystem()
        record(hedges, USUAL_SECONDS, 100, 0.0)
        self.assertGreater(hedges.find_late(SERVICE, 1.0), 0.0)
        late = hedges.find_late(SERVICE, 2 * MAX_AGE_SECONDS)
        self.assertEqual(late, 0.0)

    def test_times_beyond_the_range(self) -> None:
        """Guards against an error for a time that cannot be recorded."""
        hedges = HedgeSystem()
        record(hedges, 0.0, MIN_HEDGE_SAMPLES, 0.0)
        record(hedges, 1e9, MIN_HEDGE_SAMPLES, 0.0)
        self.assertGreater(hedges.find_late(SERVICE, 0.0), 0.0)


class HedgeLimitTest(unittest.TestCase):
    """Guards against hedges that double the load of the targets."""

    def test_fraction_of_the_requests(self) -> None:
        hedges = HedgeSystem(settings=HedgeSettings(ratio=0.02))
        sent = 0
        for number in range(1000):
            hedges.earn()
            sent += hedges.spend(number * 0.01)
            self.assertLessEqual(sent, 0.02 * (number + 1) + 1e-9)
        self.assertGreaterEqual(sent, 19)

    def test_reserve_is_bounded(self) -> None:
        """Guards against a burst of hedges after a long quiet time."""
        hedges = HedgeSystem(settings=HedgeSettings(ratio=0.5))
        for _ in range(1000):
            hedges.earn()
        sent = sum(hedges.spend(0.0) for _ in range(100))
        self.assertEqual(sent, HEDGE_BURST)

    def test_number_per_second(self) -> None:
        for per_second in (0.5, 1.0, 2.0, 2.5):
            with self.subTest(per_second=per_second):
                settings = HedgeSettings(ratio=1.0, per_second=per_second)
                hedges = HedgeSystem(settings=settings)
                times = []
                for step in range(2000):
                    hedges.earn()
                    if hedges.spend(step * 0.01):
                        times.append(step * 0.01)
                self.assertAlmostEqual(
                    len(times), 20 * per_second, delta=per_second + 1
                )
                for start in times:
                    window = [x for x in times if start <= x < start + 1.0]
                    self.assertLessEqual(len(window), max(1, per_second + 0.5))

    def test_zero_forbids_hedges(self) -> None:
        for settings in (
            HedgeSettings(ratio=0.0),
            HedgeSettings(ratio=1.0, per_second=0.0),
        ):
            hedges = HedgeSystem(settings=settings)
            for number in range(100):
                hedges.earn()
                self.assertFalse(hedges.spend(float(number)))

    def test_refusal_by_the_rate_costs_no_budget(self) -> None:
        settings = HedgeSettings(ratio=1.0, per_second=1.0)
        hedges = HedgeSystem(settings=settings)
        hedges.earn()
        hedges.earn()
        self.assertTrue(hedges.spend(0.0))
        self.assertFalse(hedges.spend(0.5))
        self.assertTrue(hedges.spend(1.0))


class LoadSimulation:
    """Requests to targets of which some answer late.

    Attributes:
        hedges: The system that decides.
        times: Time until the first answer of each request, in seconds.
        hedged: Number of hedges.
    """

    def __init__(self, *, ratio: float, per_second: float) -> None:
        self.hedges = HedgeSystem(
            settings=HedgeSettings(ratio=ratio, per_second=per_second)
        )
        self.random = random.Random(1)
        self.times: list[float] = []
        self.hedged = 0

    def run(self, *, first: int, end: int, slow_targets: int) -> None:
        """Sends the requests of some seconds.

        Args:
            first: First second.
            end: Second after the last one.
            slow_targets: Number of targets that answer late.
        """
        for number in range(
            first * REQUESTS_PER_SECOND, end * REQUESTS_PER_SECOND
        ):
            self.send(number / REQUESTS_PER_SECOND, slow_targets)

    def send(self, now: float, slow_targets: int) -> None:
        """Sends one request, and a hedge if it is late."""
        self.hedges.earn()
        names = self.random.sample(range(TARGETS), 2)
        first, second = (self.answer_time(x, slow_targets) for x in names)
        late = self.hedges.find_late(SERVICE, now)
        if late and first > late and self.hedges.spend(now + late):
            self.hedged += 1
            first = min(first, late + second)
        self.times.append(first)
        self.hedges.record(SERVICE, first, now + first)

    def answer_time(self, target: int, slow_targets: int) -> float:
        """Returns the time that a target takes, in seconds."""
        usual = SLOW_SECONDS if target < slow_targets else USUAL_SECONDS
        return usual * self.random.uniform(0.8, 1.2)


class LoadTest(unittest.TestCase):
    """Names the patterns of load that hedging is for, and those it is not."""

    def test_one_slow_target_among_many(self) -> None:
        """Guards against slow answers while other targets are idle."""
        without = LoadSimulation(ratio=0.0, per_second=5.0)
        hedged = LoadSimulation(ratio=0.1, per_second=5.0)
        for load in (without, hedged):
            load.run(first=0, end=60, slow_targets=1)
        self.assertGreater(count_slow(without), 30)
        self.assertLess(count_slow(hedged), count_slow(without) / 4)
        self.assertLessEqual(hedged.hedged, 0.1 * len(hedged.times))

    def test_all_targets_slow(self) -> None:
        """Guards against extra load when no target is faster than another."""
        load = LoadSimulation(ratio=0.02, per_second=2.0)
        load.run(first=0, end=60, slow_targets=0)
        before = load.hedged
        load.run(first=60, end=120, slow_targets=TARGETS)
        requests = 60 * REQUESTS_PER_SECOND
        sent = load.hedged - before
        self.assertLessEqual(sent, 0.02 * requests + HEDGE_BURST)


def count_slow(load: LoadSimulation) -> int:
    """Returns the number of requests that took long."""
    return sum(x > SLOW_SECONDS / 2 for x in load.times)


if __name__ == "__main__":
    unittest.main()
