"""Detects a stage whose round trips have become slow during a run."""

import dataclasses

WARM_UP_POSITIONS = 8
"""Round trips that form the first mean."""
MEAN_WEIGHT = 0.1
"""Weight of a new round trip in the mean."""
DEGRADED_FACTOR = 4.0
DEGRADED_EXCESS_S = 0.02
"""Least excess over the mean; smaller ones are scheduling noise."""
DEGRADED_POSITIONS = 5
"""Consecutive slow positions; a single one is a pause, not a slow link."""


@dataclasses.dataclass(kw_only=True, slots=True)
class LinkMonitor:
    """Mean round trip of one stage, and how many recent ones exceed it.

    Attributes:
        count: Round trips that formed the mean.
        mean_s: Mean round trip, in seconds.
        slow: Consecutive slow round trips.
    """

    count: int = 0
    mean_s: float = 0.0
    slow: int = 0

    @property
    def degraded(self) -> bool:
        """Whether several positions in a row were slow."""
        return self.slow >= DEGRADED_POSITIONS

    def record(self, seconds: float) -> None:
        """Adds the round trip of one position."""
        bound = max(
            self.mean_s * DEGRADED_FACTOR, self.mean_s + DEGRADED_EXCESS_S
        )
        if self.count >= WARM_UP_POSITIONS and seconds > bound:
            self.slow += 1
            return
        self.slow = 0
        self.count += 1
        weight = max(1 / self.count, MEAN_WEIGHT)
        self.mean_s += weight * (seconds - self.mean_s)

    def reset(self) -> None:
        """Learns the mean anew, after a slow link was kept."""
        self.count = 0
        self.mean_s = 0.0
        self.slow = 0
