"""Health of targets and the choice among the targets of a plain service."""

from collections.abc import Callable
import dataclasses
import random as randoms

from rattanroute.gateway.questions import MAX_PAUSE_SECONDS
from rattanroute.gateway.terms import AnswerTerms
from rattanroute.logs import get_logger
from rattanroute.systems.detections import DetectionSystem
from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetHealth
from rattanroute.tables.targets import TargetReport
from rattanroute.tables.targets import TargetTable

# A target whose reports stopped for so long while those of others go on is
# gone. Reports come every second or so and may be delayed.
STALE_SECONDS = 5.0
# Penalties in units of one open request.
OTHER_CENTRE_PENALTY = 0.5
SUSPECT_PENALTY = 3.0
JITTER = 0.3
# A target that was full is left alone for a few passes of its engine, and for
# longer each time that it still is.
FULL_REST_SECONDS = 0.15
MAX_FULL_REST_SECONDS = 1.2
# Keeps VMs that were rejected together from returning together.
REST_SPREAD = 0.25

log = get_logger(__name__)


@dataclasses.dataclass(kw_only=True, slots=True)
class TargetSelector:
    """Chooses targets and learns from their answers.

    Attributes:
        data_centre: Data centre of this VM.
        targets: All targets.
        detections: Verdicts on targets.
        has_departed: Whether a report comes from a target that said it ends.
        suspect: Asks for an inspection of a target.
        note_departure: Tells the other VMs that a target leaves.
        random: Source of the jitter.
    """

    data_centre: str
    targets: TargetTable
    detections: DetectionSystem
    has_departed: Callable[[TargetReport], bool]
    suspect: Callable[[Target], None]
    note_departure: Callable[[TargetReport], None]
    random: randoms.Random

    def is_current(self, target: Target, now: float) -> bool:
        """Whether a target's report still counts.

        When no reports arrive at all, this VM is cut off and goes on with
        what it knows.
        """
        age = self.targets.newest_received_at - target.received_at
        return age <= STALE_SECONDS

    def is_usable(self, target: Target, now: float) -> bool:
        """Whether a target may get new work."""
        report = target.report
        if report.leaving or self.is_held_back(target, now):
            return False
        if not target.reachable:
            return False
        if self.has_departed(report):
            return False
        if target.health is TargetHealth.PROBING and target.in_flight:
            return False
        return self.is_current(target, now)

    def is_held_back(self, target: Target, now: float) -> bool:
        """Whether a back-off or a pause that the target asked for runs."""
        return max(target.blocked_until, target.paused_until) > now

    def is_paused(self, target_id: str, now: float) -> bool:
        """Whether a target wants nothing from this VM for now."""
        target = self.targets.get(target_id)
        return target is not None and target.paused_until > now

    def find_pause_end(self, service: str, now: float) -> float | None:
        """Returns when the first pause of a service's targets ends.

        Returns:
            The time; None when no target asked for a pause.
        """
        ends = [
            target.paused_until
            for target in self.targets.serving(service)
            if target.paused_until > now and not target.report.leaving
        ]
        return min(ends, default=None)

    def has_usable(self, service: str, now: float) -> bool:
        """Whether any target of a service may get new work."""
        return any(
            self.is_usable(target, now)
            for target in self.targets.serving(service)
        )

    def note_answer(
        self, report: TargetReport, terms: AnswerTerms, now: float
    ) -> None:
        """Heeds what an answer says of the target that gave it.

        Args:
            report: The target's report at the time of the request, so that a
                late answer does not count for a later incarnation.
            terms: What the answer says.
            now: Time in seconds.
        """
        if terms.leaving and not self.has_departed(report):
            self.note_departure(report)
        row = self.targets.get(report.target_id)
        if terms.pause_s is None or row is None:
            return
        if row.report.incarnation != report.incarnation:
            return
        pause_s = min(terms.pause_s, MAX_PAUSE_SECONDS)
        row.paused_until = max(row.paused_until, now + pause_s)
        log.info(
            "target asked for a pause",
            target=report.target_id,
            seconds=pause_s,
            request_id=terms.request_id,
        )

    def choose(
        self, service: str, *, excluded: set[str], now: float
    ) -> Target | None:
        """Returns the least loaded target of a plain service, or None."""
        self.detections.wake(now)
        found = [
            target
            for target in self.targets.serving(service)
            if target.report.target_id not in excluded
            and self.is_usable(target, now)
        ]
        return min(found, key=self.rank, default=None)

    def rank(self, target: Target) -> float:
        """Returns how unwelcome more work is at a target."""
        score = float(target.in_flight) + JITTER * self.random.random()
        if target.report.data_centre != self.data_centre:
            score += OTHER_CENTRE_PENALTY
        if target.health is not TargetHealth.HEALTHY:
            score += SUSPECT_PENALTY
        return score

    def note_success(self, target_id: str, now: float) -> None:
        """Restores a target that answered."""
        row = self.targets.get(target_id)
        if row is not None:
            row.rejections = 0
            self.detections.note_success(row, now)

    def note_full(self, target_id: str, now: float) -> None:
        """Leaves a target alone that had no room, and has it looked at.

        A target also seems full when a member of its chain is gone.
        """
        row = self.targets.get(target_id)
        if row is None:
            return
        rest_s = FULL_REST_SECONDS * 2**row.rejections
        if rest_s < MAX_FULL_REST_SECONDS:
            row.rejections += 1
        spread = self.random.uniform(1 - REST_SPREAD, 1 + REST_SPREAD)
        row.full_until = now + min(rest_s, MAX_FULL_REST_SECONDS) * spread
        self.suspect(row)

    def note_failure(
        self, target_id: str, *, now: float, crashed: bool = False
    ) -> None:
        """Suspects or ejects a target that failed an attempt."""
        row = self.targets.get(target_id)
        if row is not None:
            self.detections.note_failure(
                row, crashed=crashed, retry_after_s=None, now=now
            )
            self.suspect(row)

    def find_address(self, address: str) -> str:
        """Returns the newest target at an address; empty if none is known."""
        found = [x for x in self.targets if x.report.address == address]
        if not found:
            return ""
        newest = max(found, key=lambda x: x.report.incarnation)
        return newest.report.target_id
