"""Passive detection and ejection of failing and slow targets.

Covers targets that are dead, slow, frozen, flapping or unreachable. A target
is suspect after a failure. It is ejected after consecutive failures, after a
crash, or when it is much slower than other targets of its accelerator kind.
When its back-off ends, a single attempt probes it and restores it or ejects it
again. A target that fails soon after it was restored is ejected for longer.

The fault may lie with this VM, for example behind a link that fails in one
direction. It therefore ejects only a bounded fraction of a pool. Further
failing targets stay suspect, which lowers their rank but keeps them in service.
"""

import dataclasses
import heapq
import math

from rattanroute.tables.targets import ACCELERATOR_WEIGHT
from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetHealth
from rattanroute.tables.targets import TargetTable
from rattanroute.tables.targets import update_average

FAILURES_TO_EJECT = 3
# Fraction of a pool that this VM may eject: one target of two to five.
MAX_EJECTED_FRACTION = 0.34
BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 30.0
# The back-off restarts at its shortest after this time without an ejection.
BACKOFF_RESET_SECONDS = 60.0
# Durations relative to the expected one above which a target counts as slow.
SUSPECT_SLOWNESS = 2.0
EJECT_SLOWNESS = 4.0
MIN_SLOWNESS_SAMPLES = 5
SLOWNESS_WEIGHT = 0.25
# Shorter durations depend on links and on the load of this VM more than on the
# target: on a busy machine, answers of 4 ms took 50 ms and got a service
# ejected.
MIN_COMPARED_SECONDS = 0.25
MAX_RETRY_AFTER_SECONDS = 30.0
# An attempt fails without a first token within this multiple of its expected
# duration, and at least this time: the target is frozen or its answers are
# lost.
START_FACTOR = 4.0
MIN_START_SECONDS = 3.0


@dataclasses.dataclass(kw_only=True, slots=True)
class OutlierDetectionSystem:
    """Updates the health of targets by the results of attempts.

    Attributes:
        targets: All targets.
        first_token_seconds: Mean time to the first token of a stream, by model
            and accelerator kind.
        ejected: Identifiers of ejected targets by model; may contain targets
            that are no longer ejected, which readers filter out.
        backoff_ends: Heap of back-offs as (end in seconds, target).
        pending_starts: Heap of attempts to check for a first token, as (due
            time in seconds, request, attempt).
    """

    targets: TargetTable
    first_token_seconds: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    ejected: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    backoff_ends: list[tuple[float, str]] = dataclasses.field(
        default_factory=list
    )
    pending_starts: list[tuple[float, str, int]] = dataclasses.field(
        default_factory=list
    )

    def note_success(self, row: Target, now: float) -> None:
        """Records a success and restores the target, unless it backs off."""
        row.failures = 0
        if row.health is TargetHealth.EJECTED and row.blocked_until > now:
            return
        slow = row.samples >= MIN_SLOWNESS_SAMPLES
        slow = slow and row.slowness > SUSPECT_SLOWNESS
        row.health = TargetHealth.SUSPECT if slow else TargetHealth.HEALTHY
        self.ejected.get(row.report.model, set()).discard(row.report.target_id)
        self.targets.update_open_sets(row)

    def restore(self, row: Target, now: float) -> None:
        """Ends an ejection, as the attempt that caused it goes on."""
        if row.health is TargetHealth.EJECTED:
            row.blocked_until = now
        self.note_success(row, now)

    def note_duration(
        self, row: Target, *, seconds: float, expected: float, now: float
    ) -> None:
        """Compares the duration of an answer with the expected one.

        Args:
            row: The target.
            seconds: Measured duration.
            expected: Duration in seconds on a typical target of the same
                accelerator kind.
            now: Time in seconds.
        """
        ratio = max(seconds, MIN_COMPARED_SECONDS) / max(
            expected, MIN_COMPARED_SECONDS
        )
        row.slowness += SLOWNESS_WEIGHT * (ratio - row.slowness)
        row.samples += 1
        if row.samples < MIN_SLOWNESS_SAMPLES:
            return
        if row.slowness > EJECT_SLOWNESS:
            if self.eject(row, now):
                # The probe after the back-off is assessed independently.
                row.samples = 0
                row.slowness = 1.0
        elif (
            row.slowness > SUSPECT_SLOWNESS
            and row.health is TargetHealth.HEALTHY
        ):
            row.health = TargetHealth.SUSPECT

    def note_start(self, row: Target, *, seconds: float, now: float) -> None:
        """Compares the time to a first token with the mean of the kind."""
        kind = (row.report.model, row.report.accelerator)
        expected = self.first_token_seconds.get(kind, seconds)
        self.note_duration(row, seconds=seconds, expected=expected, now=now)
        self.first_token_seconds[kind] = update_average(
            expected, seconds, ACCELERATOR_WEIGHT
        )

    def note_failure(
        self,
        row: Target,
        *,
        crashed: bool,
        retry_after_s: float | None,
        now: float,
    ) -> None:
        """Blocks, suspects or ejects a target after a failed attempt.

        Args:
            row: The target.
            crashed: Whether the target crashed during the attempt.
            retry_after_s: Seconds for which the target asked to get no work;
                None if it did not.
            now: Time in seconds.
        """
        if retry_after_s is not None:
            until = now + min(MAX_RETRY_AFTER_SECONDS, max(0.0, retry_after_s))
            self.block_until(row, until)
            return
        row.failures += 1
        probing = row.health is TargetHealth.PROBING
        if crashed or probing or row.failures >= FAILURES_TO_EJECT:
            self.eject(row, now)
        elif row.health is TargetHealth.HEALTHY:
            row.health = TargetHealth.SUSPECT

    def eject(self, row: Target, now: float) -> bool:
        """Ejects a target unless too many of its pool are ejected.

        Each ejection doubles the back-off, up to a limit.

        Returns:
            Whether the target is ejected.
        """
        report = row.report
        if row.health is TargetHealth.EJECTED and row.blocked_until > now:
            return True
        ejected_ids = self.ejected.setdefault(report.model, set())
        size = sum(1 for _ in self.targets.serving(report.model))
        ejected_ids.intersection_update(self.filter_ejected(ejected_ids))
        ejected_ids.discard(report.target_id)
        limit = max(
            1 if size > 1 else 0, math.floor(MAX_EJECTED_FRACTION * size)
        )
        if len(ejected_ids) >= limit:
            row.health = TargetHealth.SUSPECT
            return False
        if now - row.ejected_at > BACKOFF_RESET_SECONDS:
            row.ejections = 0
        seconds = min(MAX_BACKOFF_SECONDS, BACKOFF_SECONDS * 2**row.ejections)
        row.ejections = min(row.ejections + 1, 16)
        row.ejected_at = now
        row.health = TargetHealth.EJECTED
        ejected_ids.add(report.target_id)
        self.block_until(row, now + seconds)
        return True

    def filter_ejected(self, ejected_ids: set[str]) -> set[str]:
        """Returns those of the given targets that are ejected or probed."""
        excluded = (TargetHealth.EJECTED, TargetHealth.PROBING)
        rows = [self.targets.get(name) for name in ejected_ids]
        return {
            row.report.target_id
            for row in rows
            if row is not None and row.health in excluded
        }

    def block_until(self, row: Target, until: float) -> None:
        """Withholds new work from a target until a time in seconds."""
        row.blocked_until = max(row.blocked_until, until)
        heapq.heappush(self.backoff_ends, (until, row.report.target_id))

    def end_backoffs(self, now: float) -> None:
        """Makes targets whose back-off has ended ready to be probed."""
        while self.backoff_ends and self.backoff_ends[0][0] <= now:
            row = self.targets.get(heapq.heappop(self.backoff_ends)[1])
            if row is None or row.blocked_until > now:
                continue
            if row.health is TargetHealth.EJECTED:
                row.health = TargetHealth.PROBING
            self.targets.update_open_sets(row)

    def schedule_start_check(
        self, *, request_id: str, attempt: int, expected: float, now: float
    ) -> None:
        """Schedules the check that an attempt has its first token.

        Args:
            request_id: The request.
            attempt: Number of the attempt.
            expected: Expected duration of the attempt in seconds.
            now: Time in seconds.
        """
        due = now + max(MIN_START_SECONDS, START_FACTOR * expected)
        heapq.heappush(self.pending_starts, (due, request_id, attempt))

    def unstarted(self, now: float) -> list[tuple[str, int]]:
        """Removes and returns attempts whose check for a start is due."""
        found = []
        while self.pending_starts and self.pending_starts[0][0] <= now:
            _, request_id, attempt = heapq.heappop(self.pending_starts)
            found.append((request_id, attempt))
        return found
