"""Decides when a request is also sent to a second target.

A hedge shortens the slowest answers at the price of extra work. An attempt is
late when it has taken longer than a percentile of the recent times of its
service or model. Hedges are limited to a fraction of the requests and to a
number per second, so that a slowdown of all targets cannot double the load.

Both request paths use this system: the daemon's core and the gateway.
"""

import collections
from collections.abc import Hashable
import dataclasses
import heapq
import math

from rattanroute.systems.ratio_budgets import RatioBudget

# Hedges allowed per request, and the maximum number saved up. Hedges are
# optional and need no large reserve.
HEDGE_RATIO = 0.05
HEDGE_BURST = 5.0
HEDGE_PERCENTILE = 95.0
# Fewer samples do not determine such a percentile.
MIN_HEDGE_SAMPLES = 20
# A hedge that starts sooner than this after the dispatch only adds load.
MIN_HEDGE_SECONDS = 0.05
PERCENTILE_REFRESH_SECONDS = 1.0
# Times are kept for this long, and at most this many of each service. They are
# about 170 on a VM that receives 1.4 requests per second, and follow a change
# of the load within seconds on one that receives a hundred.
MAX_AGE_SECONDS = 120.0
MAX_SAMPLES = 512


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HedgeSettings:
    """Limits of the hedges of this VM.

    Attributes:
        ratio: Hedges allowed per request; 0 for none.
        per_second: Hedges allowed per second.
        percentile: Percentile of the recent times past which an attempt is
            late.
    """

    ratio: float = HEDGE_RATIO
    per_second: float = math.inf
    percentile: float = HEDGE_PERCENTILE


@dataclasses.dataclass(kw_only=True, slots=True)
class RecentTimes:
    """Times of the latest answers of a service or model.

    The values are seconds, or multiples of the expected time. They are kept
    one by one, as a histogram cannot drop those that are old.

    Attributes:
        percentile: Percentile past which an answer is late.
        samples: Latest values as (time in seconds, value), oldest first.
        late: Value past which an answer is late; 0 if not known.
        refreshed_at: Time at which `late` was computed, in seconds.
    """

    percentile: float
    samples: collections.deque[tuple[float, float]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )
    late: float = 0.0
    refreshed_at: float = -math.inf

    def add(self, value: float, now: float) -> None:
        """Adds a value."""
        self.samples.append((now, value))

    def find_late(self, now: float) -> float:
        """Returns the value past which an answer is late; 0 if not known."""
        if now - self.refreshed_at >= PERCENTILE_REFRESH_SECONDS:
            self.refreshed_at = now
            while self.samples and now - self.samples[0][0] > MAX_AGE_SECONDS:
                self.samples.popleft()
            self.late = self.compute_late()
        return self.late

    def compute_late(self) -> float:
        """Returns the percentile of all values; 0 if there are too few."""
        count = len(self.samples)
        if count < MIN_HEDGE_SAMPLES:
            return 0.0
        values = sorted(value for _, value in self.samples)
        return values[math.ceil(self.percentile / 100 * count) - 1]


@dataclasses.dataclass(kw_only=True, slots=True)
class RateLimit:
    """Allows a number of events per second.

    Attributes:
        per_second: The number; infinite for no limit.
        times: Times of the latest events, oldest first.
    """

    per_second: float
    times: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )

    def has_room(self, now: float) -> bool:
        """Returns whether an event is allowed now."""
        if math.isinf(self.per_second):
            return True
        if self.per_second <= 0:
            return False
        # A rate that is no whole number is kept over the shortest window that
        # allows one.
        count = math.ceil(self.per_second)
        window_s = count / self.per_second
        while self.times and now - self.times[0] >= window_s:
            self.times.popleft()
        return len(self.times) < count

    def note(self, now: float) -> None:
        """Records an event."""
        if not math.isinf(self.per_second):
            self.times.append(now)


@dataclasses.dataclass(kw_only=True, slots=True)
class HedgeSystem:
    """Finds late attempts that a second target may complete sooner.

    Attributes:
        settings: Limits of the hedges.
        budget: Budget of hedges that requests fill.
        rate: Limit of the hedges per second.
        recent: Recent times, by service or model.
        due: Heap of running attempts as (time at which the attempt is late,
            request id, attempt number).
    """

    settings: HedgeSettings = HedgeSettings()
    budget: RatioBudget = dataclasses.field(init=False)
    rate: RateLimit = dataclasses.field(init=False)
    recent: dict[Hashable, RecentTimes] = dataclasses.field(
        default_factory=dict
    )
    due: list[tuple[float, str, int]] = dataclasses.field(default_factory=list)

    def __post_init__(self) -> None:
        # Starts empty: hedges never exceed the fraction of the requests.
        self.budget = RatioBudget(
            ratio_per_request=self.settings.ratio,
            burst=HEDGE_BURST,
            tokens=0.0,
        )
        self.rate = RateLimit(per_second=self.settings.per_second)

    def earn(self) -> None:
        """Counts a request, which allows a fraction of a hedge."""
        self.budget.earn()

    def spend(self, now: float) -> bool:
        """Counts a hedge; returns whether the limits allow it."""
        if not self.rate.has_room(now) or not self.budget.spend():
            return False
        self.rate.note(now)
        return True

    def record(self, key: Hashable, value: float, now: float) -> None:
        """Records the time of an answer.

        Args:
            key: The service or model.
            value: The time in seconds, or a multiple of the expected time; the
                same for all values of a key.
            now: Current time in seconds.
        """
        recent = self.recent.get(key)
        if recent is None:
            recent = RecentTimes(percentile=self.settings.percentile)
            self.recent[key] = recent
        recent.add(value, now)

    def find_late(self, key: Hashable, now: float) -> float:
        """Returns the value past which an answer is late; 0 if not known."""
        recent = self.recent.get(key)
        return recent.find_late(now) if recent is not None else 0.0

    def watch(
        self,
        *,
        request_id: str,
        attempt: int,
        model: str,
        expected: float,
        now: float,
    ) -> None:
        """Schedules the check of an attempt at the time when it is late."""
        ratio = self.find_late(model, now)
        if ratio:
            due = now + max(MIN_HEDGE_SECONDS, ratio * expected)
            heapq.heappush(self.due, (due, request_id, attempt))

    def record_duration(
        self, *, model: str, seconds: float, expected: float, now: float
    ) -> None:
        """Records the duration of a complete answer."""
        self.record(model, seconds / max(expected, 1e-6), now)

    def take_late(self, now: float) -> list[tuple[str, int]]:
        """Removes and returns the attempts that are late."""
        found = []
        while self.due and self.due[0][0] <= now:
            _, request_id, attempt = heapq.heappop(self.due)
            found.append((request_id, attempt))
        return found
