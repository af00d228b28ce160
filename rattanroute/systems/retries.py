"""Retries with a budget and back-off, and hedging of late requests."""

import dataclasses
import heapq
import random as randoms

from hdrh.histogram import HdrHistogram

from rattanroute.actions import Refusal
from rattanroute.events import AttemptFailed
from rattanroute.events import Provenance
from rattanroute.systems import refusals
from rattanroute.tables.requests import Request

# Retries allowed per request, and the maximum number saved up. The latter
# covers the requests of one large target that fails.
RETRY_RATIO = 0.1
RETRY_BURST = 50.0
# The same for hedges, which are optional and need no large reserve.
HEDGE_RATIO = 0.05
HEDGE_BURST = 5.0
HEDGE_PERCENTILE = 95.0
MIN_HEDGE_SAMPLES = 20
# A hedge that starts sooner than this after the dispatch only adds load.
MIN_HEDGE_SECONDS = 0.05
PERCENTILE_REFRESH_SECONDS = 1.0
INITIAL_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 1.0


@dataclasses.dataclass(kw_only=True, slots=True)
class RatioBudget:
    """A token bucket that is filled by requests instead of by time.

    Attributes:
        ratio_per_request: Tokens that one request adds.
        burst: Maximum number of tokens.
        tokens: Current number of tokens.
    """

    ratio_per_request: float
    burst: float
    tokens: float

    def earn(self) -> None:
        """Adds the tokens of one request."""
        self.tokens = min(self.burst, self.tokens + self.ratio_per_request)

    def spend(self) -> bool:
        """Takes a token; returns whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclasses.dataclass(kw_only=True, slots=True)
class RetrySystem:
    """Decides on retries and delays them with exponential back-off.

    Attributes:
        random: Source of randomness for the delays.
        max_attempts: Maximum number of attempts of a request that may have
            run without delivering a token; half as many more may fail before
            their dispatch, which takes at most 2.5 s of back-off.
        budget: Budget of retries.
        delayed: Heap of delayed requests as (release time, request id).
    """

    random: randoms.Random
    max_attempts: int
    budget: RatioBudget = dataclasses.field(
        default_factory=lambda: RatioBudget(
            ratio_per_request=RETRY_RATIO, burst=RETRY_BURST, tokens=RETRY_BURST
        )
    )
    delayed: list[tuple[float, str]] = dataclasses.field(default_factory=list)

    def check_retry(
        self, request: Request, event: AttemptFailed, *, banned: float
    ) -> Refusal | None:
        """Decides whether a failed request may be retried.

        Args:
            request: The request; its latest attempt has failed.
            event: The failure.
            banned: Seconds for which the request is quarantined; 0 if it is
                not.

        Returns:
            The refusal of a request that may not be retried, else None.
        """
        never_dispatched = event.provenance is Provenance.NOT_DISPATCHED
        if not never_dispatched and not request.repeatable:
            return refusals.outcome_unknown(request)
        if banned:
            return refusals.quarantined(request, banned)
        if self.is_exhausted(request):
            return refusals.attempts_exhausted(request)
        # A refused connection costs the target nothing. Retries that follow
        # an overload response are charged, as they add to the overload.
        free = never_dispatched and event.retry_after_s is None
        if not free and not self.budget.spend():
            return refusals.retry_budget_exhausted(request)
        return None

    def is_exhausted(self, request: Request) -> bool:
        """Returns whether a request has had all attempts that it may have."""
        # Attempts that delivered tokens made progress, and superseded ones
        # did not fail; they do not count.
        unproductive = [
            row
            for row in request.attempts
            if not row.tokens_out and not row.superseded
        ]
        ran = sum(not attempt.never_dispatched for attempt in unproductive)
        tries = len(unproductive)
        return ran >= self.max_attempts or tries >= self.max_attempts * 3 // 2

    def may_supplement(self, request: Request, *, banned: float) -> bool:
        """Decides whether an attempt may run beside suspected ones.

        Args:
            request: A request whose running attempts are all suspected.
            banned: Seconds for which the request is quarantined; 0 if it is
                not.
        """
        if banned or not request.repeatable or self.is_exhausted(request):
            return False
        return self.budget.spend()

    def delay(self, request_id: str, *, failures: int, now: float) -> float:
        """Delays a request with jittered exponential back-off.

        The delay is between one half and the whole of the back-off.

        Args:
            request_id: The request.
            failures: Number of earlier failures.
            now: Current time in seconds.

        Returns:
            The time at which the request is released, in seconds.
        """
        limit = min(MAX_BACKOFF_SECONDS, INITIAL_BACKOFF_SECONDS * 2**failures)
        due = now + limit * (0.5 + 0.5 * self.random.random())
        heapq.heappush(self.delayed, (due, request_id))
        return due

    def release(self, now: float) -> list[str]:
        """Removes and returns the requests whose delay has passed."""
        released = []
        while self.delayed and self.delayed[0][0] <= now:
            released.append(heapq.heappop(self.delayed)[1])
        return released


@dataclasses.dataclass(kw_only=True, slots=True)
class DurationRatios:
    """Durations of answers as multiples of the expected duration.

    Attributes:
        histogram: Multiples in thousandths.
        late_ratio: Multiple past which an answer is late; 0 if not known.
        refreshed_at: Time at which `late_ratio` was computed, in seconds.
    """

    histogram: HdrHistogram = dataclasses.field(
        default_factory=lambda: HdrHistogram(1, 100_000, 2)
    )
    late_ratio: float = 0.0
    refreshed_at: float = float("-inf")

    def add(self, ratio: float) -> None:
        """Adds a duration as a multiple of the expected one."""
        self.histogram.record_value(max(1, min(100_000, int(ratio * 1000))))

    def find_late_ratio(self, now: float) -> float:
        """Returns the multiple past which an answer is late; 0 if not known."""
        if now - self.refreshed_at >= PERCENTILE_REFRESH_SECONDS:
            self.refreshed_at = now
            if self.histogram.get_total_count() >= MIN_HEDGE_SAMPLES:
                value = self.histogram.get_value_at_percentile(HEDGE_PERCENTILE)
                self.late_ratio = value / 1000
        return self.late_ratio


@dataclasses.dataclass(kw_only=True, slots=True)
class HedgeSystem:
    """Finds late attempts that a second target may complete sooner.

    Attributes:
        budget: Budget of hedges.
        duration_ratios: Relative durations by model.
        due: Heap of running attempts as (time at which the attempt is late,
            request id, attempt number).
    """

    budget: RatioBudget = dataclasses.field(
        default_factory=lambda: RatioBudget(
            ratio_per_request=HEDGE_RATIO, burst=HEDGE_BURST, tokens=HEDGE_BURST
        )
    )
    duration_ratios: dict[str, DurationRatios] = dataclasses.field(
        default_factory=dict
    )
    due: list[tuple[float, str, int]] = dataclasses.field(default_factory=list)

    def watch(
        self,
        *,
        request_id: str,
        attempt: int,
        model: str,
        expected: float,
        now: float,
    ) -> None:
        """Schedules the check of an attempt at the 95th percentile duration."""
        duration_ratios = self.duration_ratios.get(model)
        ratio = (
            duration_ratios.find_late_ratio(now)
            if duration_ratios is not None
            else 0.0
        )
        if ratio:
            due = now + max(MIN_HEDGE_SECONDS, ratio * expected)
            heapq.heappush(self.due, (due, request_id, attempt))

    def record_duration(
        self, *, model: str, seconds: float, expected: float
    ) -> None:
        """Records the duration of a complete answer."""
        duration_ratios = self.duration_ratios.get(model)
        if duration_ratios is None:
            duration_ratios = self.duration_ratios[model] = DurationRatios()
        duration_ratios.add(seconds / max(expected, 1e-6))

    def take_late(self, now: float) -> list[tuple[str, int]]:
        """Removes and returns the attempts that are late."""
        found = []
        while self.due and self.due[0][0] <= now:
            _, request_id, attempt = heapq.heappop(self.due)
            found.append((request_id, attempt))
        return found
