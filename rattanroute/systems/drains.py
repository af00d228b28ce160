"""Which targets may get new work, slots aside."""

from collections.abc import Set
import dataclasses

from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetHealth

SOON_SECONDS = 1.0


@dataclasses.dataclass(kw_only=True, slots=True)
class DrainSystem:
    """Keeps leaving, drained, stale and blocked targets free of new work.

    Attributes:
        heartbeat_timeout_s: Age of a report after which its target gets no
            new work.
    """

    heartbeat_timeout_s: float

    def serves(self, row: Target, drained: Set[str], now: float) -> bool:
        """Tells whether a target may get new work now or soon.

        A request can wait for a target that is being probed or that asked to
        be left alone for a moment.
        """
        if row.health is TargetHealth.PROBING:
            return (
                not row.report.leaving
                and now - row.received_at <= self.heartbeat_timeout_s
                and row.report.target_id not in drained
            )
        blocked = row.blocked_until - now
        if 0 < blocked <= SOON_SECONDS:
            return self.admits(row, drained, row.blocked_until)
        return self.admits(row, drained, now)

    def admits(self, row: Target, drained: Set[str], now: float) -> bool:
        """Tells whether a target may get new work.

        Args:
            row: The target.
            drained: Targets that operators take out of service.
            now: Time in seconds.

        Returns:
            False for a target that leaves, is drained, stale, ejected or
            blocked, and for one that is being probed by another attempt.
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
