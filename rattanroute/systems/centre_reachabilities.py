"""Suspects data centres whose targets do not answer connection attempts.

A partition cuts a VM off from all targets of a data centre at once. Each
connection attempt there costs a request its connect timeout, and the targets
would be found unreachable one by one, by one request each.
"""

import dataclasses

# Time for which a connection attempt that timed out counts. A VM receives
# about one request per second, and a shorter time would let most of them try
# the data centre again.
SUSPICION_SECONDS = 3.0
# A target that is dead by itself does not make its data centre suspect.
MIN_TARGETS = 2


@dataclasses.dataclass(kw_only=True, slots=True)
class CentreReachability:
    """Connection attempts that timed out since the latest answer.

    Attributes:
        timeouts: Time of the latest timeout by target, by data centre.
    """

    timeouts: dict[str, dict[str, float]] = dataclasses.field(
        default_factory=dict
    )

    def note_timeout(
        self, data_centre: str, target_id: str, now: float
    ) -> None:
        """Records that a connection attempt to a target timed out."""
        self.timeouts.setdefault(data_centre, {})[target_id] = now

    def note_answer(self, data_centre: str) -> None:
        """Records that a target of a data centre answered."""
        self.timeouts.pop(data_centre, None)

    def is_suspect(self, data_centre: str, now: float) -> bool:
        """Returns whether no target of a data centre seems reachable."""
        times = self.timeouts.get(data_centre)
        if not times:
            return False
        recent = sum(now - at < SUSPICION_SECONDS for at in times.values())
        return recent >= MIN_TARGETS
