"""Budget of attempts beyond the first, shared by all VMs without messages.

Each VM may use an equal part of the allowance of the whole system, and the
stated ratio of its own requests.
"""

import collections
import dataclasses

# Part of the stated budget that is used; the rest covers VMs that count
# fewer members than there are.
USED_PART = 0.7


@dataclasses.dataclass(kw_only=True, slots=True)
class RepeatBudget:
    """Counts first and further attempts of each service in a window.

    Attributes:
        ratio: Further attempts for each request.
        extra: Further attempts of the whole system in a window.
        window_s: Length of the window, in seconds.
        firsts: Times of first attempts, by service.
        repeats: Times of further attempts, by service.
    """

    ratio: float
    extra: float
    window_s: float
    firsts: dict[str, collections.deque[float]] = dataclasses.field(
        default_factory=dict
    )
    repeats: dict[str, collections.deque[float]] = dataclasses.field(
        default_factory=dict
    )

    def note_first(self, service: str, now: float) -> None:
        """Counts a first attempt."""
        times = self.firsts.setdefault(service, collections.deque())
        times.append(now)
        self.drop_old(times, now)

    def drop_old(self, times: collections.deque[float], now: float) -> None:
        """Forgets what is older than the window."""
        while times and times[0] <= now - self.window_s:
            times.popleft()

    def take_repeat(self, service: str, *, vms: int, now: float) -> bool:
        """Counts a further attempt if the budget allows it.

        Args:
            service: The service.
            vms: VMs that share the allowance.
            now: Time in seconds.
        """
        firsts = self.firsts.setdefault(service, collections.deque())
        repeats = self.repeats.setdefault(service, collections.deque())
        self.drop_old(firsts, now)
        self.drop_old(repeats, now)
        allowed = self.ratio * len(firsts) + self.extra / max(1, vms)
        if len(repeats) + 1 > USED_PART * allowed:
            return False
        repeats.append(now)
        return True
