"""Tests of the arithmetic of the benchmarks."""

import unittest

from rattanroute.tools import bench_arithmetic
from rattanroute.tools.bench_arithmetic import build_row
from rattanroute.tools.bench_arithmetic import compute_throughput_bound
from rattanroute.tools.bench_arithmetic import EngineCapacity
from rattanroute.tools.bench_arithmetic import fit_line
from rattanroute.tools.bench_arithmetic import recovery_seconds
from rattanroute.tools.bench_arithmetic import window_rate


class BoundTest(unittest.TestCase):
    """Guards against a throughput bound that is too low or too high."""

    def test_slots_and_prefill_count(self) -> None:
        engine = EngineCapacity(
            slots=4, tokens_per_second=10.0, prefill_tokens_per_second=100.0
        )
        # 50 prompt tokens take 0.5 s and 15 generated ones 1.5 s.
        rate = engine.requests_per_second(tokens_in=50, tokens_out=15)
        self.assertAlmostEqual(rate, 2.0)

    def test_batch_slows_down_decoding_only(self) -> None:
        engine = EngineCapacity(
            slots=3,
            tokens_per_second=10.0,
            prefill_tokens_per_second=100.0,
            batch_slowdown=0.5,
        )
        seconds = engine.request_seconds(tokens_in=100, tokens_out=10)
        self.assertAlmostEqual(seconds, 1.0 + 1.0 * 2.0)

    def test_bound_adds_engines_of_different_kinds(self) -> None:
        engines = [
            EngineCapacity(
                slots=1,
                tokens_per_second=speed,
                prefill_tokens_per_second=1e12,
            )
            for speed in (10.0, 30.0)
        ]
        bound = compute_throughput_bound(engines, tokens_in=1, tokens_out=10)
        self.assertAlmostEqual(bound, 4.0, places=6)


class RecoveryTest(unittest.TestCase):
    """Guards against recovery times that miss or overstate an outage."""

    def measure(self, times: list[float]) -> float | None:
        return recovery_seconds(
            times, fault_at=10.0, before_s=5.0, ends_at=20.0
        )

    def test_steady_rate_recovers_immediately(self) -> None:
        self.assertEqual(self.measure([x / 100 for x in range(2000)]), 0.0)

    def test_gap_counts_until_rate_recovers(self) -> None:
        times = [x / 100 for x in range(2000) if not 1000 <= x < 1200]
        # A window may contain 5% fewer events, so it may start 0.05 s early.
        self.assertAlmostEqual(self.measure(times), 2.0, delta=0.051)

    def test_short_recovery_between_gaps_does_not_count(self) -> None:
        gaps = [*range(1000, 1100), *range(1250, 1400)]
        times = [x / 100 for x in range(2000) if x not in gaps]
        self.assertAlmostEqual(self.measure(times), 4.0, delta=0.051)

    def test_lower_rate_to_the_end_is_no_recovery(self) -> None:
        times = [x / 100 for x in range(1000)]
        times += [10 + x / 90 for x in range(900)]
        self.assertIsNone(self.measure(times))

    def test_events_outside_the_window_do_not_count(self) -> None:
        self.assertEqual(window_rate([1.0, 2.0, 2.5, 3.0], 2.0, 1.0), 2.0)


class RowTest(unittest.TestCase):
    """Guards against reporting a missed target as met."""

    def test_upper_and_lower_targets(self) -> None:
        self.assertFalse(build_row("a", 2.0, "s", at_most=1.0)["met"])
        self.assertTrue(build_row("a", 1.0, "s", at_most=1.0)["met"])
        self.assertFalse(build_row("a", 0.9, "s", at_least=1.0)["met"])
        self.assertIsNone(build_row("a", 0.9, "s")["met"])

    def test_missing_value_misses_its_target(self) -> None:
        self.assertFalse(build_row("a", None, "s", at_most=1.0)["met"])

    def test_zero_is_a_target(self) -> None:
        self.assertFalse(build_row("a", 1, "requests", at_most=0)["met"])


class LineTest(unittest.TestCase):
    """Guards against swapped axes and a missing intercept."""

    def test_slope_and_intercept(self) -> None:
        slope, intercept = fit_line([4, 8, 16], [14.0, 18.0, 26.0])
        self.assertAlmostEqual(slope, 1.0)
        self.assertAlmostEqual(intercept, 10.0)

    def test_hold_is_longer_than_the_window(self) -> None:
        self.assertGreaterEqual(
            bench_arithmetic.RECOVERY_HOLD_SECONDS,
            bench_arithmetic.RECOVERY_WINDOW_SECONDS,
        )
