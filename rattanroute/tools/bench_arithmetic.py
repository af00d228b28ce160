"""Arithmetic that the benchmarks share: rows, bounds, recovery and slopes."""

import bisect
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import statistics

RECOVERED_PART = 0.95
RECOVERY_WINDOW_SECONDS = 1.0
RECOVERY_STEP_SECONDS = 0.05
# A rate that is back counts as recovery only if it stays back this long.
RECOVERY_HOLD_SECONDS = 1.0


def build_row(
    name: str,
    value: float | None,
    unit: str,
    *,
    at_most: float | None = None,
    at_least: float | None = None,
    baseline: float | str | None = None,
) -> dict[str, object]:
    """Builds one row of the results.

    Args:
        name: What was measured.
        value: The figure; None when it was not reached.
        unit: Its unit.
        at_most: Upper bound that is the target.
        at_least: Lower bound that is the target.
        baseline: The same figure of a baseline.
    """
    target = at_most if at_most is not None else at_least
    met = None
    if target is not None:
        met = value is not None and (
            value <= target if at_most is not None else value >= target
        )
    return {
        "name": name,
        "value": value,
        "unit": unit,
        "target": target,
        "met": met,
        "baseline": baseline,
    }


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineCapacity:
    """The known speed of one engine.

    Attributes:
        slots: Requests that run at once.
        tokens_per_second: Decoding speed of one running request.
        prefill_tokens_per_second: Prompt tokens per second of a request.
        batch_slowdown: Relative slowdown for each further running request.
    """

    slots: int
    tokens_per_second: float
    prefill_tokens_per_second: float
    batch_slowdown: float = 0.0

    def request_seconds(self, *, tokens_in: int, tokens_out: int) -> float:
        """Returns the time of a request in a slot of the full engine."""
        slowdown = 1.0 + self.batch_slowdown * (self.slots - 1)
        decode = tokens_out * slowdown / self.tokens_per_second
        return tokens_in / self.prefill_tokens_per_second + decode

    def requests_per_second(self, *, tokens_in: int, tokens_out: int) -> float:
        """Returns the requests per second of the full engine."""
        return self.slots / self.request_seconds(
            tokens_in=tokens_in, tokens_out=tokens_out
        )


def bound_requests_per_second(
    engines: Iterable[EngineCapacity], *, tokens_in: int, tokens_out: int
) -> float:
    """Returns the requests per second that all engines together complete."""
    return sum(
        engine.requests_per_second(tokens_in=tokens_in, tokens_out=tokens_out)
        for engine in engines
    )


def window_rate(times: Sequence[float], start: float, seconds: float) -> float:
    """Returns the events per second of a window of sorted times."""
    first = bisect.bisect_left(times, start)
    return (bisect.bisect_left(times, start + seconds) - first) / seconds


def recovery_seconds(
    times: Iterable[float],
    *,
    fault_at: float,
    before_s: float,
    ends_at: float,
) -> float | None:
    """Returns the time from a fault until the rate of events is back.

    The rate is back at the start of the first window from which on all
    windows of the hold time reach the part of the rate before the fault.

    Args:
        times: Times of complete answers.
        fault_at: Time of the fault.
        before_s: Length of the time before the fault that gives the rate.
        ends_at: End of the steady load.

    Returns:
        Seconds; 0 when the rate never fell, None when it did not come back.
    """
    ordered = sorted(times)
    before = window_rate(ordered, fault_at - before_s, before_s)
    needed = RECOVERED_PART * before
    steps = round(
        (ends_at - RECOVERY_WINDOW_SECONDS - fault_at) / RECOVERY_STEP_SECONDS
    )
    held = round(RECOVERY_HOLD_SECONDS / RECOVERY_STEP_SECONDS)
    run = 0
    for step in range(steps + 1):
        start = fault_at + step * RECOVERY_STEP_SECONDS
        rate = window_rate(ordered, start, RECOVERY_WINDOW_SECONDS)
        run = run + 1 if rate >= needed else 0
        if run > held:
            return (step - held) * RECOVERY_STEP_SECONDS
    return None


def fit_line(xs: Iterable[float], ys: Iterable[float]) -> tuple[float, float]:
    """Returns the slope and intercept of the least-squares line."""
    line = statistics.linear_regression(list(xs), list(ys))
    return line.slope, line.intercept
