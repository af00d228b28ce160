"""Detection of dead, slow, frozen, flapping and unreachable targets.

A target is suspected after a failure and ejected after consecutive failures,
after a crash, or while it is much slower than its accelerator kind. The end of
a back-off starts a probe: a single attempt that restores or ejects the target
again. A target that fails soon after it was restored is ejected for longer.

This VM may be the faulty part, for example behind a link that is cut one way.
It therefore ejects only a bounded part of a pool; beyond it a failing target
stays suspected, which lowers its rank but leaves it in service.
"""

import dataclasses
import heapq
import math

from rattanroute.tables.targets import ACCELERATOR_WEIGHT
from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetHealth
from rattanroute.tables.targets import TargetTable
from rattanroute.tables.targets import update_average

MAX_FAILURES = 3
# Part of a pool that this VM may eject; one target in a pool of two to five.
EJECTED_PART = 0.34
BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 30.0
# A target without an ejection for so long starts again with a short back-off.
FORGIVE_SECONDS = 60.0
# Durations relative to the kind's mean at which a target counts as slow.
SUSPECT_SLOWNESS = 2.0
EJECT_SLOWNESS = 4.0
MIN_SLOWNESS_SAMPLES = 5
SLOWNESS_WEIGHT = 0.25
# Shorter durations differ by links and by the load of this VM rather than by
# the target; on a busy machine answers of 4 ms took 50 ms and got a service
# ejected.
MIN_JUDGED_SECONDS = 0.25
MAX_STAY_AWAY_SECONDS = 30.0
# An attempt without a first token for this multiple of its expected duration,
# and at least for this time, failed: the target is frozen or its answers are
# lost on the way.
START_FACTOR = 4.0
MIN_START_SECONDS = 3.0


@dataclasses.dataclass(kw_only=True, slots=True)
class DetectionSystem:
    """Keeps the health of targets.

    Attributes:
        targets: All targets.
        start_seconds: Mean time to the first token of a stream, by model and
            accelerator kind.
        ejected: Ejected targets by model; entries are checked when read.
        wakes: Ends of back-offs as (time, target identifier).
        starts: Attempts without a first token as (time, id, attempt).
    """

    targets: TargetTable
    start_seconds: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    ejected: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    wakes: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    starts: list[tuple[float, str, int]] = dataclasses.field(
        default_factory=list
    )

    def note_success(self, row: Target, now: float) -> None:
        """Restores a target that answered."""
        row.failures = 0
        if row.health is TargetHealth.EJECTED and row.blocked_until > now:
            return
        slow = row.samples >= MIN_SLOWNESS_SAMPLES
        slow = slow and row.slowness > SUSPECT_SLOWNESS
        row.health = TargetHealth.SUSPECT if slow else TargetHealth.HEALTHY
        self.ejected.get(row.report.model, set()).discard(row.report.target_id)
        self.targets.update_open_sets(row)

    def note_duration(
        self, row: Target, *, seconds: float, expected: float, now: float
    ) -> None:
        """Compares an answer's duration with that of the accelerator kind.

        Args:
            row: The target.
            seconds: Measured duration.
            expected: Duration on a typical target of the same kind.
            now: Time in seconds.
        """
        ratio = max(seconds, MIN_JUDGED_SECONDS) / max(
            expected, MIN_JUDGED_SECONDS
        )
        row.slowness += SLOWNESS_WEIGHT * (ratio - row.slowness)
        row.samples += 1
        if row.samples < MIN_SLOWNESS_SAMPLES:
            return
        if row.slowness > EJECT_SLOWNESS:
            if self.eject(row, now):
                # The probe after the back-off is judged on its own.
                row.samples = 0
                row.slowness = 1.0
        elif (
            row.slowness > SUSPECT_SLOWNESS
            and row.health is TargetHealth.HEALTHY
        ):
            row.health = TargetHealth.SUSPECT

    def note_start(self, row: Target, *, seconds: float, now: float) -> None:
        """Compares a first token's delay with that of the kind."""
        kind = (row.report.model, row.report.accelerator)
        expected = self.start_seconds.get(kind, seconds)
        self.note_duration(row, seconds=seconds, expected=expected, now=now)
        self.start_seconds[kind] = update_average(
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
        """Suspects or ejects a target after a failed attempt."""
        if retry_after_s is not None:
            until = now + min(MAX_STAY_AWAY_SECONDS, max(0.0, retry_after_s))
            self.block(row, until)
            return
        row.failures += 1
        probing = row.health is TargetHealth.PROBING
        if crashed or probing or row.failures >= MAX_FAILURES:
            self.eject(row, now)
        elif row.health is TargetHealth.HEALTHY:
            row.health = TargetHealth.SUSPECT

    def eject(self, row: Target, now: float) -> bool:
        """Ejects a target for a growing time unless too many are.

        Returns:
            Whether the target is ejected.
        """
        report = row.report
        if row.health is TargetHealth.EJECTED and row.blocked_until > now:
            return True
        names = self.ejected.setdefault(report.model, set())
        size = sum(1 for _ in self.targets.serving(report.model))
        names.intersection_update(self.current(names))
        names.discard(report.target_id)
        limit = max(1 if size > 1 else 0, math.floor(EJECTED_PART * size))
        if len(names) >= limit:
            row.health = TargetHealth.SUSPECT
            return False
        if now - row.ejected_at > FORGIVE_SECONDS:
            row.ejections = 0
        seconds = min(MAX_BACKOFF_SECONDS, BACKOFF_SECONDS * 2**row.ejections)
        row.ejections = min(row.ejections + 1, 16)
        row.ejected_at = now
        row.health = TargetHealth.EJECTED
        names.add(report.target_id)
        self.block(row, now + seconds)
        return True

    def current(self, names: set[str]) -> set[str]:
        """Returns those of the given targets that are still ejected."""
        out = (TargetHealth.EJECTED, TargetHealth.PROBING)
        rows = [self.targets.get(name) for name in names]
        return {
            row.report.target_id
            for row in rows
            if row is not None and row.health in out
        }

    def block(self, row: Target, until: float) -> None:
        """Keeps new work from a target until a time."""
        row.blocked_until = max(row.blocked_until, until)
        heapq.heappush(self.wakes, (until, row.report.target_id))

    def wake(self, now: float) -> None:
        """Starts the probes of targets whose back-off has passed."""
        while self.wakes and self.wakes[0][0] <= now:
            row = self.targets.get(heapq.heappop(self.wakes)[1])
            if row is None or row.blocked_until > now:
                continue
            if row.health is TargetHealth.EJECTED:
                row.health = TargetHealth.PROBING
            self.targets.update_open_sets(row)

    def watch_start(
        self, *, request_id: str, attempt: int, expected: float, now: float
    ) -> None:
        """Schedules the check that an attempt has started to answer."""
        due = now + max(MIN_START_SECONDS, START_FACTOR * expected)
        heapq.heappush(self.starts, (due, request_id, attempt))

    def silent(self, now: float) -> list[tuple[str, int]]:
        """Removes and returns attempts whose time to start has passed."""
        found = []
        while self.starts and self.starts[0][0] <= now:
            _, request_id, attempt = heapq.heappop(self.starts)
            found.append((request_id, attempt))
        return found
