"""Retries with a budget and back-off."""

import dataclasses
import heapq
import random as randoms

from rattanroute.actions import Refusal
from rattanroute.events import AttemptFailed
from rattanroute.events import Provenance
from rattanroute.systems import refusals
from rattanroute.systems.ratio_budgets import RatioBudget
from rattanroute.tables.requests import Request

# Retries allowed per request, and the maximum number saved up. The latter
# covers the requests of one large target that fails.
RETRY_RATIO = 0.1
RETRY_BURST = 50.0
INITIAL_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 1.0


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
