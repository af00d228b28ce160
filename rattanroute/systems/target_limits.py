"""Keeps the request rates that targets in need name, summed over all VMs.

A target that is in need names the requests per second that it takes from all
VMs together. The VMs exchange how many requests each of them has sent to such
a target lately, and how many it would have sent. Each VM sends at a part of
the rate that follows from its part of that demand as the others know it, so
that the parts of all VMs add up to the limit even while the exchange lags. A
VM with less than one request in its token bucket sends with a probability
equal to the content, so that many VMs with a fraction each use the whole rate.
Nothing is sent while the known requests of all VMs in the last seconds reach
the limit.

A limit ends with an answer that does not name it, or with a restart of the
target. A small rate always remains, as a target without requests cannot say
that its need is over.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math
import random as randoms

from rattanroute.messages.loads import LimitUse
from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetTable

LIMITED_REASON = "targets are at the limits that they name"
# Time over which the requests to a target are summed.
WINDOW_SECONDS = 4.0
# Requests per second that all VMs together send at least, so that the end of a
# limit is noticed.
MIN_RATE_PER_S = 0.25
# Time over which unused rate accumulates, and while no request may be sent. A
# VM whose requests are rarer than that uses only a part of its rate.
BURST_SECONDS = 1.5
BLOCKED_BURST_SECONDS = 0.25
# Fraction of the limit that the known requests may reach. The rest covers those
# that are not known yet.
USABLE_FRACTION = 0.9
# Largest factor by which a VM exceeds its part of a limit that is not used up.
MAX_BOOST = 3.0
# Requests that each VM without any counts as, so that it gets a part as well.
BASE_DEMAND = 0.1
# The counts of the other VMs are not used when they are older than this.
COUNTS_EXPIRY_SECONDS = 2.0
# Time for which a limit that an answer named holds against inspections without
# a limit, which may be older than the answer.
INSPECTION_LAG_SECONDS = 1.5


@dataclasses.dataclass(kw_only=True, slots=True)
class LimitRow:
    """Requests to one target.

    Attributes:
        sends: Times of the requests that this VM has sent.
        demands: Times of the requests that this VM would have sent.
        shared_demand: Demand of this VM as the others know it.
        other_sends: Requests of the other VMs within the window.
        other_demand: Their demand.
        tokens: Requests that this VM may send; may be a fraction of one.
        updated_at: Time of the last update of `tokens`, in seconds.
    """

    sends: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    demands: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    shared_demand: int = 0
    other_sends: int = 0
    other_demand: int = 0
    tokens: float = 0.0
    updated_at: float = -math.inf

    def drop_unused(self, rate: float) -> None:
        """Drops tokens that would be used at once when others may be sent.

        Args:
            rate: Rate at which tokens accumulate, per second.
        """
        self.tokens = min(self.tokens, rate * BLOCKED_BURST_SECONDS)

    def drop_old(self, now: float) -> None:
        """Removes times before the window."""
        for times in (self.sends, self.demands):
            while times and times[0] <= now - WINDOW_SECONDS:
                times.popleft()


@dataclasses.dataclass(kw_only=True, slots=True)
class TargetLimiter:
    """Decides whether this VM may send a request to a target now.

    Attributes:
        targets: All targets with the limits that they name.
        vms: Returns the number of VMs that share the targets.
        random: Source of randomness for sending with a fraction of a token.
        rows: Requests by target.
        others_at: Time at which the counts of the other VMs were received.
    """

    targets: TargetTable
    vms: Callable[[], int]
    random: randoms.Random
    rows: dict[str, LimitRow] = dataclasses.field(default_factory=dict)
    others_at: float = -math.inf

    def get_row(self, target_id: str, now: float) -> LimitRow:
        """Returns the row of a target without old times; adds a missing one."""
        row = self.rows.get(target_id)
        if row is None:
            row = self.rows[target_id] = LimitRow()
        row.drop_old(now)
        return row

    def note_send(self, target_id: str, now: float) -> None:
        """Counts a request that this VM sends to a target.

        Targets without a limit are counted as well: the window may contain
        requests from before the limit.
        """
        self.get_row(target_id, now).sends.append(now)

    def admit(self, target: Target, demanded: set[str], now: float) -> bool:
        """Counts a request as demand for a target and takes a token for it.

        Args:
            target: The target that would be the best one for the request.
            demanded: IDs of the targets that have counted the request; the
                target is added.
            now: Time in seconds.

        Returns:
            Whether the request may be sent; always to a target without a
            limit.
        """
        if target.limit_per_s is None:
            return True
        target_id = target.report.target_id
        if target_id not in demanded:
            demanded.add(target_id)
            self.get_row(target_id, now).demands.append(now)
        return self.try_take(target, now)

    def try_take(self, target: Target, now: float) -> bool:
        """Takes a token for a request to a target that names a limit.

        Args:
            target: The target.
            now: Time in seconds.

        Returns:
            Whether the request may be sent.
        """
        row = self.get_row(target.report.target_id, now)
        if not self.refill(target, row, now):
            return False
        granted = self.random.random() < row.tokens
        row.tokens = max(0.0, row.tokens - 1)
        return granted

    def refill(self, target: Target, row: LimitRow, now: float) -> bool:
        """Adds the tokens of the time since the last call.

        Returns:
            Whether requests may be sent at all.
        """
        if target.limit_per_s is None:
            return True
        rate = max(target.limit_per_s, MIN_RATE_PER_S)
        share = self.compute_share(row, now)
        own_rate = share * rate * self.compute_boost(row, rate, now)
        elapsed = min(now - row.updated_at, BURST_SECONDS)
        capacity = max(share, own_rate * BURST_SECONDS)
        row.updated_at = now
        row.tokens = min(capacity, row.tokens + own_rate * elapsed)
        if self.has_room(row, share, rate, now):
            return True
        row.drop_unused(share * rate)
        return False

    def compute_share(self, row: LimitRow, now: float) -> float:
        """Returns the part of a target's rate that belongs to this VM."""
        vms = max(1, self.vms())
        if not self.has_recent_counts(now):
            return 1 / vms
        own = row.shared_demand + BASE_DEMAND
        others = row.other_demand + BASE_DEMAND * (vms - 1)
        return own / (own + others)

    def compute_boost(self, row: LimitRow, rate: float, now: float) -> float:
        """Returns the factor by which this VM exceeds its part of a rate.

        If the requests of many VMs are rarer than the time for which unused
        rate accumulates, their parts together use little of a limit although
        the known demand exceeds it.
        """
        allowed = USABLE_FRACTION * rate * WINDOW_SECONDS
        demand = row.shared_demand + row.other_demand
        if not self.has_recent_counts(now) or demand < allowed:
            return 1.0
        used = len(row.sends) + row.other_sends
        return min(MAX_BOOST, allowed / max(1.0, used))

    def has_recent_counts(self, now: float) -> bool:
        """Returns whether the counts of the other VMs are recent."""
        return now - self.others_at <= COUNTS_EXPIRY_SECONDS

    def has_room(
        self, row: LimitRow, share: float, rate: float, now: float
    ) -> bool:
        """Returns whether the known requests are fewer than the limit allows.

        Without recent counts, only this VM's own part is known.
        """
        allowed = USABLE_FRACTION * rate * WINDOW_SECONDS
        if not self.has_recent_counts(now):
            return len(row.sends) < max(1.0, share * allowed)
        return len(row.sends) + row.other_sends < max(1.0, allowed)

    def compute_own_rate(self, target: Target, now: float) -> float:
        """Returns the requests per second that this VM may send to a target.

        Returns:
            The rate; infinite for a target without a limit.
        """
        if target.limit_per_s is None:
            return math.inf
        row = self.get_row(target.report.target_id, now)
        rate = max(target.limit_per_s, MIN_RATE_PER_S)
        return rate * self.compute_share(row, now)

    def list_own(self, now: float) -> tuple[LimitUse, ...]:
        """Returns the counts of this VM to be sent to the others.

        Only targets with a limit are listed.
        """
        found = []
        for target_id in list(self.rows):
            row = self.get_row(target_id, now)
            target = self.targets.get(target_id)
            if target is None or not (row.sends or row.demands):
                del self.rows[target_id]
            elif target.limit_per_s is not None:
                row.shared_demand = len(row.demands)
                found.append(build_use(target, row, now))
        return tuple(found)

    def take_others(self, uses: Iterable[LimitUse], now: float) -> None:
        """Replaces the counts of the other VMs and applies their limits.

        Args:
            uses: Sums over the other VMs, by target.
            now: Time in seconds.
        """
        self.others_at = now
        for row in self.rows.values():
            row.other_sends = row.other_demand = 0
        for use in uses:
            target = self.targets.get(use.target_id)
            if target is None or target.report.incarnation != use.incarnation:
                continue
            row = self.get_row(use.target_id, now)
            row.other_sends = use.sends
            row.other_demand = use.demand
            note_limit(target, use.limit_per_s, now - use.age_s)
            self.refill(target, row, now)


def build_use(target: Target, row: LimitRow, now: float) -> LimitUse:
    """Returns this VM's counts for a target with a limit."""
    return LimitUse(
        target_id=target.report.target_id,
        incarnation=target.report.incarnation,
        limit_per_s=target.limit_per_s,
        age_s=now - target.limit_named_at,
        sends=len(row.sends),
        demand=len(row.demands),
    )


def note_limit(target: Target, limit_per_s: float | None, at: float) -> bool:
    """Records what a target says about its limit unless newer is known.

    Args:
        target: The target.
        limit_per_s: The limit; None if the target names none.
        at: Time of its answer, in seconds.

    Returns:
        Whether the limit has changed.
    """
    if at < target.limit_named_at:
        return False
    changed = limit_per_s != target.limit_per_s
    target.limit_per_s = limit_per_s
    target.limit_named_at = at
    return changed


def note_inspected_limit(
    target: Target, limit_per_s: float | None, now: float
) -> None:
    """Records the limit that an inspection of a target found.

    Args:
        target: The target.
        limit_per_s: The limit; None if the target names none.
        now: Time at which the finding arrived, in seconds.
    """
    is_recent = now - target.limit_named_at < INSPECTION_LAG_SECONDS
    if limit_per_s is None and target.limit_per_s is not None and is_recent:
        return
    note_limit(target, limit_per_s, now)
