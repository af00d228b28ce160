"""Shared arithmetic: result rows, throughput bounds, recovery and slopes."""

import bisect
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import statistics

RECOVERED_FRACTION = 0.95
RECOVERY_WINDOW_SECONDS = 1.0
RECOVERY_STEP_SECONDS = 0.05
# A restored rate counts as recovery only if it lasts this long.
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
        value: The measured value; None if there is none.
        unit: The unit of the value.
        at_most: Target as an upper bound.
        at_least: Target as a lower bound.
        baseline: The measured value of a baseline.
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
    """The capacity of one engine.

    Attributes:
        slots: Maximum number of concurrent requests.
        tokens_per_second: Decode speed of a request that runs alone.
        prefill_tokens_per_second: Prefill speed of a request.
        batch_slowdown: Relative decode slowdown per additional running
            request.
    """

    slots: int
    tokens_per_second: float
    prefill_tokens_per_second: float
    batch_slowdown: float = 0.0

    def request_seconds(self, *, tokens_in: int, tokens_out: int) -> float:
        """Returns the seconds of a request when all slots are occupied."""
        slowdown = 1.0 + self.batch_slowdown * (self.slots - 1)
        decode = tokens_out * slowdown / self.tokens_per_second
        return tokens_in / self.prefill_tokens_per_second + decode

    def requests_per_second(self, *, tokens_in: int, tokens_out: int) -> float:
        """Returns the throughput of the engine with all slots occupied."""
        return self.slots / self.request_seconds(
            tokens_in=tokens_in, tokens_out=tokens_out
        )


def compute_throughput_bound(
    engines: Iterable[EngineCapacity], *, tokens_in: int, tokens_out: int
) -> float:
    """Returns the maximum throughput of all engines in requests/s."""
    return sum(
        engine.requests_per_second(tokens_in=tokens_in, tokens_out=tokens_out)
        for engine in engines
    )


def window_rate(times: Sequence[float], start: float, seconds: float) -> float:
    """Returns the events per second in a window of sorted times."""
    first = bisect.bisect_left(times, start)
    return (bisect.bisect_left(times, start + seconds) - first) / seconds


def recovery_seconds(
    times: Iterable[float],
    *,
    fault_at: float,
    before_s: float,
    ends_at: float,
) -> float | None:
    """Returns the time from a fault until the completion rate recovers.

    The rate has recovered at the start of the first window from which all
    windows of the hold time reach `RECOVERED_FRACTION` of the rate before the
    fault.

    Args:
        times: Completion times of requests.
        fault_at: Time of the fault.
        before_s: Length of the reference window before the fault, in seconds.
        ends_at: End of the constant load.

    Returns:
        Seconds; 0 if the rate never dropped, None if it did not recover.
    """
    ordered = sorted(times)
    before = window_rate(ordered, fault_at - before_s, before_s)
    needed = RECOVERED_FRACTION * before
    steps = round(
        (ends_at - RECOVERY_WINDOW_SECONDS - fault_at) / RECOVERY_STEP_SECONDS
    )
    hold_steps = round(RECOVERY_HOLD_SECONDS / RECOVERY_STEP_SECONDS)
    consecutive_steps = 0
    for step in range(steps + 1):
        start = fault_at + step * RECOVERY_STEP_SECONDS
        rate = window_rate(ordered, start, RECOVERY_WINDOW_SECONDS)
        consecutive_steps = consecutive_steps + 1 if rate >= needed else 0
        if consecutive_steps > hold_steps:
            return (step - hold_steps) * RECOVERY_STEP_SECONDS
    return None


def fit_line(xs: Iterable[float], ys: Iterable[float]) -> tuple[float, float]:
    """Returns the slope and intercept of the least-squares line."""
    line = statistics.linear_regression(list(xs), list(ys))
    return line.slope, line.intercept
