"""Retry budget that all VMs share.

A retry is any attempt of a request beyond its first. Half of the budget is
divided among the VMs: each may use its equal part of the system-wide extra,
and the same fraction of the ratio of its own requests, unless the last counts
from the other VMs show that the budget is exhausted.

Failures usually affect few VMs at a time, so a VM also borrows from what the
others have left according to their last counts. Within the propagation time
of the counts all VMs together borrow only a fraction of the remainder, so the
budget holds without coordination on each retry. A VM that has just started
makes no retries until counts arrive, because its previous process may have
used its part.
"""

import collections
from collections.abc import Iterable
import dataclasses
import itertools
import random as randoms

from rattanroute.messages.loads import AttemptCount

# Fraction of the budget that is divided equally among the VMs.
GUARANTEED_FRACTION = 0.5
# Fraction of the budget beyond which optional attempts are not made, so that
# retries after failures find the rest.
OPTIONAL_FRACTION = 0.5
# Fraction of the budget up to which VMs borrow. The rest covers VMs whose
# membership view has fewer members than exist.
USABLE_FRACTION = 0.95
# Fraction of the remaining budget that all VMs together may borrow within the
# propagation time.
BORROWABLE_FRACTION = 0.3
# Maximum time until attempt counts reach all VMs.
PROPAGATION_SECONDS = 1.0
# Time over which the present rate of requests is measured.
RECENT_SECONDS = 1.0
# Time from the first request until the counts of other VMs cover that time.
SETTLING_SECONDS = 1.5
# Nothing is borrowed when the counts of the other VMs are older than this.
COUNTS_EXPIRY_SECONDS = 2.0


@dataclasses.dataclass(kw_only=True, slots=True)
class BorrowBucket:
    """Token bucket of the retries that this VM may borrow for a service.

    Attributes:
        tokens: Retries that may be borrowed; may be a fraction of one.
        updated_at: Time of the last update, in seconds.
    """

    tokens: float = 0.0
    updated_at: float = float("-inf")


@dataclasses.dataclass(kw_only=True, slots=True)
class RetryBudget:
    """Limits the retries of each service in a sliding window.

    Attributes:
        ratio: Retries allowed per request.
        extra: Additional retries of the whole system in a window.
        window_s: Length of the window, in seconds.
        firsts: Times of first attempts of this VM, by service.
        repeats: Times of retries of this VM, by service.
        others: Last received counts of the other VMs, by service.
        reporting_vms: Number of VMs in those counts, including this one.
        others_updated_at: Time at which those counts were received.
        borrow_buckets: Retries that may be borrowed, by service.
        random: Source of randomness for borrowing a fraction of a retry.
        blocked_until: Time before which no retry is allowed unless counts
            have been received.
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
    others: dict[str, AttemptCount] = dataclasses.field(default_factory=dict)
    reporting_vms: int = 1
    others_updated_at: float = float("-inf")
    borrow_buckets: dict[str, BorrowBucket] = dataclasses.field(
        default_factory=dict
    )
    random: randoms.Random = dataclasses.field(default_factory=randoms.Random)
    blocked_until: float = float("-inf")

    def note_first(self, service: str, now: float) -> None:
        """Records the first attempt of a request."""
        times = self.firsts.setdefault(service, collections.deque())
        times.append(now)
        self.drop_old(times, now)

    def measure_rate(self, service: str, *, vms: int, now: float) -> float:
        """Returns the requests per second that all VMs receive now.

        The counts of other VMs do not contain the first requests after a
        pause or a start of all VMs yet. Until they do, the others are assumed
        to receive as many as this VM.

        Args:
            service: The service.
            vms: Number of VMs that receive requests.
            now: Current time in seconds.
        """
        own = self.count(service, now).recent
        recent = own
        others = self.others.get(service)
        if others is not None and self.has_recent_counts(now):
            recent += others.recent
        firsts = self.firsts[service]
        if not firsts or now - firsts[0] < SETTLING_SECONDS:
            # The mean of the requests with and without the one that asks.
            recent = max(recent, (own + 0.5) * vms)
        return recent / RECENT_SECONDS

    def drop_old(self, times: collections.deque[float], now: float) -> None:
        """Removes times older than the window."""
        while times and times[0] <= now - self.window_s:
            times.popleft()

    def try_retry(self, service: str, *, vms: int, now: float) -> bool:
        """Records a retry if the budget allows it.

        Args:
            service: The service.
            vms: Number of VMs that share the budget.
            now: Current time in seconds.

        Returns:
            Whether the retry is allowed.
        """
        count = self.count(service, now)
        if self.is_exhausted(service, count, vms=vms, now=now):
            return False
        allowed = self.ratio * count.firsts + self.extra / max(1, vms)
        if (
            count.repeats + 1 > GUARANTEED_FRACTION * allowed
            and not self.borrow(service, count, vms=vms, now=now)
        ):
            return False
        self.repeats[service].append(now)
        return True

    def count(self, service: str, now: float) -> AttemptCount:
        """Returns the attempt counts of this VM in the current window."""
        firsts = self.firsts.setdefault(service, collections.deque())
        repeats = self.repeats.setdefault(service, collections.deque())
        self.drop_old(firsts, now)
        self.drop_old(repeats, now)
        recent = itertools.takewhile(
            lambda at: at > now - RECENT_SECONDS, reversed(firsts)
        )
        return AttemptCount(
            service=service,
            firsts=len(firsts),
            repeats=len(repeats),
            recent=sum(1 for _ in recent),
        )

    def count_own(self, now: float) -> tuple[AttemptCount, ...]:
        """Returns the attempt counts of this VM for all services."""
        return tuple(self.count(service, now) for service in self.firsts)

    def update_others(
        self, counts: Iterable[AttemptCount], *, vms: int, now: float
    ) -> None:
        """Replaces the attempt counts of the other VMs.

        Args:
            counts: Sums over the other VMs, by service.
            vms: Number of VMs in the sums, including this one.
            now: Current time in seconds.
        """
        self.others = {count.service: count for count in counts}
        self.reporting_vms = max(1, vms)
        self.others_updated_at = now

    def borrow(
        self, service: str, own: AttemptCount, *, vms: int, now: float
    ) -> bool:
        """Takes a retry from the part of the budget that all VMs have left.

        With less than one token, this succeeds with a probability equal to
        the tokens. VMs that each hold a fraction of a retry can thus use
        whole ones between them.
        """
        bucket = self.borrow_buckets.setdefault(service, BorrowBucket())
        elapsed = min(now - bucket.updated_at, self.window_s)
        bucket.updated_at = now
        rate = self.compute_borrow_rate(service, own, vms=vms, now=now)
        limit = rate * PROPAGATION_SECONDS
        bucket.tokens = min(limit, bucket.tokens + rate * elapsed)
        granted = self.random.random() < bucket.tokens
        bucket.tokens = max(0.0, bucket.tokens - 1)
        return granted

    def is_exhausted(
        self, service: str, own: AttemptCount, *, vms: int, now: float
    ) -> bool:
        """Returns whether the last known counts leave no retry.

        Args:
            service: The service.
            own: Attempt counts of this VM.
            vms: Number of VMs that share the budget.
            now: Current time in seconds.
        """
        if not self.has_recent_counts(now):
            return now < self.blocked_until
        return self.count_remaining(service, own, vms=vms) <= 0

    def allows_optional(self, service: str, *, vms: int, now: float) -> bool:
        """Returns whether an attempt that no failure requires may be made.

        It may if at most half of the budget is used, of the whole system as
        far as known, and of the equal part of this VM otherwise.

        Args:
            service: The service.
            vms: Number of VMs that share the budget.
            now: Current time in seconds.
        """
        own = self.count(service, now)
        if self.has_recent_counts(now):
            allowed, used = self.sum_counts(service, own, vms=vms)
        elif now < self.blocked_until:
            return False
        else:
            allowed = self.ratio * own.firsts + self.extra / max(1, vms)
            used = own.repeats
        return used + 1 <= OPTIONAL_FRACTION * allowed

    def has_recent_counts(self, now: float) -> bool:
        """Returns whether the counts of the other VMs are recent."""
        return now - self.others_updated_at <= COUNTS_EXPIRY_SECONDS

    def count_remaining(
        self, service: str, own: AttemptCount, *, vms: int
    ) -> float:
        """Returns the retries left to all VMs by the last known counts."""
        allowed, used = self.sum_counts(service, own, vms=vms)
        return max(0.0, USABLE_FRACTION * allowed - used)

    def sum_counts(
        self, service: str, own: AttemptCount, *, vms: int
    ) -> tuple[float, int]:
        """Returns the retries that all VMs may make and those they have made.

        The counts are the last known ones.
        """
        others = self.others.get(service)
        firsts, repeats = own.firsts, own.repeats
        if others is not None:
            firsts += others.firsts
            repeats += others.repeats
        # The part of VMs that are not in the counts is reserved for them.
        reporting_fraction = min(1.0, self.reporting_vms / max(1, vms))
        allowed = self.ratio * firsts + self.extra * reporting_fraction
        return allowed, repeats

    def compute_borrow_rate(
        self, service: str, own: AttemptCount, *, vms: int, now: float
    ) -> float:
        """Returns the retries per second that this VM may borrow."""
        if not self.has_recent_counts(now):
            return 0.0
        remaining = self.count_remaining(service, own, vms=vms)
        return (
            BORROWABLE_FRACTION
            * remaining
            / self.reporting_vms
            / PROPAGATION_SECONDS
        )
