"""Budget of attempts beyond the first, which all VMs share.

Each VM may use an equal part of the allowance of the whole system, and the
same part of the ratio of its own requests, unless it heard that the budget is
spent. Failures hit few VMs at a time, so that a VM also borrows from what the
others have left, as it heard a moment ago. All together they borrow only a
part of that within the time that news take, so that the budget holds without a
question for each attempt. A VM that has just started first waits for news: its
earlier process may have spent its part.
"""

import collections
from collections.abc import Iterable
import dataclasses
import random as randoms

from rattanroute.messages.loads import AttemptCount

# Part of the budget that is divided among the VMs.
EQUAL_PART = 0.5
# Part of the budget up to which VMs borrow; the rest covers VMs that count
# fewer members than there are.
USED_PART = 0.95
# Part of what is left that all VMs may borrow within the time of news.
BORROWED_PART = 0.3
# Time that news of attempts take to all VMs, at most.
NEWS_SECONDS = 1.0
# Without news for so long nothing is borrowed.
SILENCE_SECONDS = 2.0


@dataclasses.dataclass(kw_only=True, slots=True)
class Loan:
    """What a VM may borrow now for a service.

    Attributes:
        level: Attempts; part of one when below 1.
        updated_at: Time of the level.
    """

    level: float = 0.0
    updated_at: float = float("-inf")


@dataclasses.dataclass(kw_only=True, slots=True)
class RepeatBudget:
    """Counts first and further attempts of each service in a window.

    Attributes:
        ratio: Further attempts for each request.
        extra: Further attempts of the whole system in a window.
        window_s: Length of the window, in seconds.
        firsts: Times of first attempts, by service.
        repeats: Times of further attempts, by service.
        others: Attempts of the other VMs, by service, as last heard.
        heard_vms: VMs whose attempts are known, this one included.
        received_at: When they were heard.
        loans: What may be borrowed, by service.
        random: Decides when less than one attempt may be borrowed.
        quiet_until: Time until which nothing is repeated without news.
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
    heard_vms: int = 1
    received_at: float = float("-inf")
    loans: dict[str, Loan] = dataclasses.field(default_factory=dict)
    random: randoms.Random = dataclasses.field(default_factory=randoms.Random)
    quiet_until: float = float("-inf")

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
        count = self.count(service, now)
        if self.is_spent(service, count, vms=vms, now=now):
            return False
        allowed = self.ratio * count.firsts + self.extra / max(1, vms)
        if count.repeats + 1 > EQUAL_PART * allowed and not self.borrow(
            service, count, vms=vms, now=now
        ):
            return False
        self.repeats[service].append(now)
        return True

    def count(self, service: str, now: float) -> AttemptCount:
        """Returns the attempts of this VM in the window that ends now."""
        firsts = self.firsts.setdefault(service, collections.deque())
        repeats = self.repeats.setdefault(service, collections.deque())
        self.drop_old(firsts, now)
        self.drop_old(repeats, now)
        return AttemptCount(
            service=service, firsts=len(firsts), repeats=len(repeats)
        )

    def count_own(self, now: float) -> tuple[AttemptCount, ...]:
        """Returns the attempts of this VM at all services."""
        return tuple(self.count(service, now) for service in self.firsts)

    def take_others(
        self, counts: Iterable[AttemptCount], *, vms: int, now: float
    ) -> None:
        """Takes the attempts of the other VMs.

        Args:
            counts: Their sums by service.
            vms: VMs that they come from, with this one.
            now: Time in seconds.
        """
        self.others = {count.service: count for count in counts}
        self.heard_vms = max(1, vms)
        self.received_at = now

    def borrow(
        self, service: str, own: AttemptCount, *, vms: int, now: float
    ) -> bool:
        """Takes an attempt from what all VMs have left.

        With less than one attempt to borrow, this succeeds in as many cases:
        many VMs that each have a part of one share the whole ones.
        """
        loan = self.loans.setdefault(service, Loan())
        elapsed = min(now - loan.updated_at, self.window_s)
        loan.updated_at = now
        rate = self.find_rate(service, own, vms=vms, now=now)
        most = rate * NEWS_SECONDS
        loan.level = min(most, loan.level + rate * elapsed)
        granted = self.random.random() < loan.level
        loan.level = max(0.0, loan.level - 1)
        return granted

    def is_spent(
        self, service: str, own: AttemptCount, *, vms: int, now: float
    ) -> bool:
        """Whether nothing is left, as far as is known.

        Args:
            service: The service.
            own: Attempts of this VM.
            vms: VMs that share the allowance.
            now: Time in seconds.
        """
        if not self.has_news(now):
            return now < self.quiet_until
        return self.find_left(service, own, vms=vms) <= 0

    def has_news(self, now: float) -> bool:
        """Whether this VM heard of the others a moment ago."""
        return now - self.received_at <= SILENCE_SECONDS

    def find_left(self, service: str, own: AttemptCount, *, vms: int) -> float:
        """Returns the attempts that all VMs have left, as last heard."""
        others = self.others.get(service)
        firsts, repeats = own.firsts, own.repeats
        if others is not None:
            firsts += others.firsts
            repeats += others.repeats
        # Those that were not heard keep their part of the allowance.
        heard_part = min(1.0, self.heard_vms / max(1, vms))
        allowed = self.ratio * firsts + self.extra * heard_part
        return max(0.0, USED_PART * allowed - repeats)

    def find_rate(
        self, service: str, own: AttemptCount, *, vms: int, now: float
    ) -> float:
        """Returns the attempts a second that this VM may borrow."""
        if not self.has_news(now):
            return 0.0
        left = self.find_left(service, own, vms=vms)
        return BORROWED_PART * left / self.heard_vms / NEWS_SECONDS
