"""Outcomes of simulated requests of different ranks, and their measures."""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

WINDOW_SECONDS = 2.0


@dataclasses.dataclass(kw_only=True, slots=True)
class Outcome:
    """What became of a request.

    Attributes:
        priority: Its rank.
        arrived_at: Time of its first arrival, in seconds.
        goal_s: Target time to its first event, in seconds.
        started_at: Time of its first event; None if there was none.
        attempts: Number of its arrivals.
        retry_delays: The delays with which it was refused, in seconds.
    """

    priority: int
    arrived_at: float
    goal_s: float
    started_at: float | None = None
    attempts: int = 0
    retry_delays: list[float] = dataclasses.field(default_factory=list)

    @property
    def timely(self) -> bool:
        """Whether its first event met the goal."""
        return (
            self.started_at is not None
            and self.started_at <= self.arrived_at + self.goal_s
        )


def measure_windows(
    outcomes: list[Outcome],
    is_served: Callable[[Outcome], bool],
    *,
    step_s: float = 0.25,
) -> Iterator[dict[int, float]]:
    """Measures how the ranks are served in sliding windows.

    Args:
        outcomes: Outcomes of all requests.
        is_served: Returns whether a request counts as served.
        step_s: Time between the begins of two windows, in seconds.

    Yields:
        The part of the requests that arrived in a window and were served, by
        rank.
    """
    end = max(x.arrived_at for x in outcomes)
    begin = 0.0
    while begin + WINDOW_SECONDS <= end:
        served: collections.Counter[int] = collections.Counter()
        total: collections.Counter[int] = collections.Counter()
        for x in outcomes:
            if begin <= x.arrived_at < begin + WINDOW_SECONDS:
                total[x.priority] += 1
                served[x.priority] += is_served(x)
        yield {rank: served[rank] / count for rank, count in total.items()}
        begin += step_s


def measure_gap(
    outcomes: list[Outcome], is_served: Callable[[Outcome], bool]
) -> float:
    """Returns how much worse rank 0 is served than rank 2 in any window."""
    return max(
        parts.get(2, 0.0) - parts.get(0, 1.0)
        for parts in measure_windows(outcomes, is_served)
    )
