"""Detects a pipeline stage whose round trips become slow during a run."""

import dataclasses

WARM_UP_POSITIONS = 8
"""Round trips averaged before the detection starts."""
MEAN_WEIGHT = 0.1
"""Weight of a new round trip in the mean."""
DEGRADED_FACTOR = 4.0
DEGRADED_EXCESS_S = 0.02
"""Least excess over the mean, in seconds; less is scheduling noise."""
DEGRADED_POSITIONS = 5
"""Consecutive slow positions; a single one is a pause, not a slow link."""


@dataclasses.dataclass(kw_only=True, slots=True)
class LinkMonitor:
    """Compares the round trips of one stage with their moving average.

    Attributes:
        count: Round trips included in the mean.
        mean_s: Moving average of the round trip, in seconds.
        slow: Consecutive slow round trips; these are not in the mean.
    """

    count: int = 0
    mean_s: float = 0.0
    slow: int = 0

    @property
    def degraded(self) -> bool:
        """Whether `DEGRADED_POSITIONS` consecutive positions were slow."""
        return self.slow >= DEGRADED_POSITIONS

    def record(self, seconds: float) -> None:
        """Adds the round trip of one position, in seconds."""
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
        """Clears the mean, so that it is learned again from a slow stage."""
        self.count = 0
        self.mean_s = 0.0
        self.slow = 0
