"""Decides which targets may get new work, regardless of free slots."""

from collections.abc import Set
import dataclasses

from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetHealth

# Longest block of a target that requests may wait for.
MAX_BLOCK_WAIT_SECONDS = 1.0


@dataclasses.dataclass(kw_only=True, slots=True)
class TargetFilter:
    """Excludes leaving, drained, stale, ejected and blocked targets.

    Attributes:
        heartbeat_timeout_s: Age of a report in seconds after which its target
            is stale.
    """

    heartbeat_timeout_s: float

    def accepts_work_soon(
        self, row: Target, drained: Set[str], now: float
    ) -> bool:
        """Returns whether a target may get new work now or soon.

        A request may wait for a target that is being probed or that is blocked
        for up to `MAX_BLOCK_WAIT_SECONDS`.
        """
        if row.health is TargetHealth.PROBING:
            return (
                not row.report.leaving
                and now - row.received_at <= self.heartbeat_timeout_s
                and row.report.target_id not in drained
            )
        blocked = row.blocked_until - now
        if 0 < blocked <= MAX_BLOCK_WAIT_SECONDS:
            return self.accepts_work(row, drained, row.blocked_until)
        return self.accepts_work(row, drained, now)

    def accepts_work(self, row: Target, drained: Set[str], now: float) -> bool:
        """Returns whether a target may get new work now.

        Args:
            row: The target.
            drained: Identifiers of targets that operators drain.
            now: Time in seconds.

        Returns:
            False for a target that is leaving, drained, stale, ejected,
            blocked or being probed by another attempt.
        """
        if row.report.leaving or row.blocked_until > now:
            return False
        if now - row.received_at > self.heartbeat_timeout_s:
            return False
        if row.health is not TargetHealth.HEALTHY:
            if row.health is TargetHealth.EJECTED:
                return False
            if row.health is TargetHealth.PROBING and row.in_flight:
                return False
        return not drained or row.report.target_id not in drained
