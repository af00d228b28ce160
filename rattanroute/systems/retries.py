"""Retry budget, back-off and hedging of late requests."""

import dataclasses
import heapq
import random as randoms

from hdrh.histogram import HdrHistogram

from rattanroute.actions import Refusal
from rattanroute.events import AttemptFailed
from rattanroute.events import Provenance
from rattanroute.systems import refusals
from rattanroute.tables.requests import Request

# Part of the requests that may be retried, and retries that may be saved up.
# The latter covers the requests of one large target that dies.
RETRY_PART = 0.1
RETRY_BURST = 50.0
# The same for hedges, which are an optimisation and need no large reserve.
HEDGE_PART = 0.05
HEDGE_BURST = 5.0
HEDGE_PERCENTILE = 95.0
MIN_HEDGE_SAMPLES = 20
# A hedge that starts earlier than this after the dispatch only adds load.
MIN_HEDGE_SECONDS = 0.05
PERCENTILE_REFRESH_SECONDS = 1.0
BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 1.0


@dataclasses.dataclass(kw_only=True, slots=True)
class Budget:
    """A token bucket that is filled by requests instead of by time.

    Attributes:
        part: Tokens that one request earns.
        burst: Most tokens that are kept.
        tokens: Tokens left.
    """

    part: float
    burst: float
    tokens: float

    def earn(self) -> None:
        """Adds the tokens of one request."""
        self.tokens = min(self.burst, self.tokens + self.part)

    def spend(self) -> bool:
        """Takes a token and tells whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclasses.dataclass(kw_only=True, slots=True)
class RetrySystem:
    """Holds failed requests back and releases them after a random delay.

    Attributes:
        random: Random numbers for the delays.
        max_attempts: Attempts of one request that may have run without a
            token for the caller; half as many more may fail before they are
            dispatched, which takes at most 2.5 s of back-off.
        budget: Retries that are left.
        delayed: Requests that wait as (time, id).
    """

    random: randoms.Random
    max_attempts: int
    budget: Budget = dataclasses.field(
        default_factory=lambda: Budget(
            part=RETRY_PART, burst=RETRY_BURST, tokens=RETRY_BURST
        )
    )
    delayed: list[tuple[float, str]] = dataclasses.field(default_factory=list)

    def judge(
        self, request: Request, event: AttemptFailed, *, banned: float
    ) -> Refusal | None:
        """Returns why a failed request may not be tried again, or None.

        Args:
            request: The request; its latest attempt has failed.
            event: The failure.
            banned: Seconds for which quarantine refuses the request.
        """
        never_dispatched = event.provenance is Provenance.NOT_DISPATCHED
        if not never_dispatched and not request.repeatable:
            return refusals.outcome_unknown(request)
        if banned:
            return refusals.quarantined(request, banned)
        # An attempt that brought the answer forward is no reason to give up.
        fruitless = [row for row in request.attempts if not row.tokens_out]
        ran = sum(not attempt.never_dispatched for attempt in fruitless)
        tries = len(fruitless)
        if ran >= self.max_attempts or tries >= self.max_attempts * 3 // 2:
            return refusals.attempts_exhausted(request)
        # A refused connection costs targets nothing; a target that answers
        # that it is overloaded must not be asked by retries in addition.
        free = never_dispatched and event.retry_after_s is None
        if not free and not self.budget.spend():
            return refusals.retry_budget_exhausted(request)
        return None

    def delay(self, request_id: str, *, failures: int, now: float) -> float:
        """Holds a request back with exponential back-off and full jitter.

        Returns:
            The time at which the request is released, in seconds.
        """
        limit = min(MAX_BACKOFF_SECONDS, BACKOFF_SECONDS * 2**failures)
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
class Lateness:
    """Durations of whole answers relative to what was expected of them."""

    histogram: HdrHistogram = dataclasses.field(
        default_factory=lambda: HdrHistogram(1, 100_000, 2)
    )
    late_ratio: float = 0.0
    refreshed_at: float = float("-inf")

    def add(self, ratio: float) -> None:
        """Adds a duration as a multiple of the expected one."""
        self.histogram.record_value(max(1, min(100_000, int(ratio * 1000))))

    def late_after(self, now: float) -> float:
        """Returns the multiple past which an answer is late; 0 for none."""
        if now - self.refreshed_at >= PERCENTILE_REFRESH_SECONDS:
            self.refreshed_at = now
            if self.histogram.get_total_count() >= MIN_HEDGE_SAMPLES:
                value = self.histogram.get_value_at_percentile(HEDGE_PERCENTILE)
                self.late_ratio = value / 1000
        return self.late_ratio


@dataclasses.dataclass(kw_only=True, slots=True)
class HedgeSystem:
    """Finds late attempts that a second target may answer sooner.

    Attributes:
        budget: Hedges that are left.
        lateness: Durations by model.
        due: Running attempts as (time, id, attempt).
    """

    budget: Budget = dataclasses.field(
        default_factory=lambda: Budget(
            part=HEDGE_PART, burst=HEDGE_BURST, tokens=HEDGE_BURST
        )
    )
    lateness: dict[str, Lateness] = dataclasses.field(default_factory=dict)
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
        """Schedules the check of an attempt at the 95th percentile."""
        lateness = self.lateness.get(model)
        ratio = lateness.late_after(now) if lateness is not None else 0.0
        if ratio:
            due = now + max(MIN_HEDGE_SECONDS, ratio * expected)
            heapq.heappush(self.due, (due, request_id, attempt))

    def learn(self, *, model: str, seconds: float, expected: float) -> None:
        """Adds the duration of a complete answer."""
        lateness = self.lateness.get(model)
        if lateness is None:
            lateness = self.lateness[model] = Lateness()
        lateness.add(seconds / max(expected, 1e-6))

    def late(self, now: float) -> list[tuple[str, int]]:
        """Removes and returns the attempts that are late."""
        found = []
        while self.due and self.due[0][0] <= now:
            _, request_id, attempt = heapq.heappop(self.due)
            found.append((request_id, attempt))
        return found
