"""Health of targets and the selection of targets for plain services."""

import asyncio
from collections.abc import Callable
import dataclasses
import random as randoms

from rattanroute.gateway.engine_control_clients import MAX_PAUSE_SECONDS
from rattanroute.gateway.header_codecs import AnswerMetadata
from rattanroute.logs import get_logger
from rattanroute.systems.centre_reachabilities import CentreReachability
from rattanroute.systems.outlier_detections import OutlierDetectionSystem
from rattanroute.systems.target_limits import note_limit
from rattanroute.systems.target_limits import TargetLimiter
from rattanroute.systems.target_limits import WINDOW_SECONDS
from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetHealth
from rattanroute.tables.targets import TargetReport
from rattanroute.tables.targets import TargetTable

# A target is considered gone when its reports stop for this long while those of
# others continue. Reports arrive about once a second and may be delayed.
STALE_SECONDS = 5.0
# Score penalties and the range of the random jitter; 1 equals one request in
# flight.
OTHER_CENTRE_PENALTY = 0.5
SUSPECT_PENALTY = 3.0
JITTER = 0.3
# Initial back-off from a full target: a few passes of its engine. It doubles
# with each further rejection.
FULL_BACKOFF_SECONDS = 0.15
MAX_FULL_BACKOFF_SECONDS = 1.2
# Keeps VMs that were rejected together from retrying together.
BACKOFF_SPREAD = 0.25
# Longest wait of a call while all targets are at the limits that they name, and
# the interval at which it tries again.
MAX_LIMIT_WAIT_SECONDS = 0.5
LIMIT_POLL_SECONDS = 0.02

log = get_logger(__name__)


@dataclasses.dataclass(kw_only=True, slots=True)
class TargetSelector:
    """Selects targets and tracks their health from the answers.

    Attributes:
        data_centre: Data centre of this VM.
        targets: All known targets.
        detections: Tracks failures and ejects targets.
        limiter: Keeps the limits that targets name.
        has_departed: Returns whether a report belongs to a target that has
            announced its departure.
        suspect: Requests an inspection of a target.
        announce_departure: Sends the departure of a target to the other VMs.
        random: Source of the jitter.
        centres: Data centres that seem unreachable.
    """

    data_centre: str
    targets: TargetTable
    detections: OutlierDetectionSystem
    limiter: TargetLimiter
    has_departed: Callable[[TargetReport], bool]
    suspect: Callable[[Target], None]
    announce_departure: Callable[[TargetReport], None]
    random: randoms.Random
    centres: CentreReachability = dataclasses.field(
        default_factory=CentreReachability
    )

    def is_current(self, target: Target, now: float) -> bool:
        """Returns whether the latest sign of a target is recent enough.

        Ages are relative to the newest report of any target. If no reports
        arrive at all, this VM is cut off and continues with what it knows.
        """
        age = self.targets.newest_received_at - target.seen_at
        return age <= STALE_SECONDS

    def is_usable(self, target: Target, now: float) -> bool:
        """Returns whether a target may get new work."""
        report = target.report
        if report.leaving or self.is_backing_off(target, now):
            return False
        if not target.reachable:
            return False
        if self.has_departed(report):
            return False
        if target.health is TargetHealth.PROBING and target.in_flight:
            return False
        return self.is_current(target, now)

    def is_leaving(self, target_id: str) -> bool:
        """Returns whether a target leaves, or has left, as planned."""
        target = self.targets.get(target_id)
        if target is None:
            return True
        return target.report.leaving or self.has_departed(target.report)

    def is_backing_off(self, target: Target, now: float) -> bool:
        """Returns whether a back-off or a requested pause is running."""
        return max(target.blocked_until, target.paused_until) > now

    def is_paused(self, target_id: str, now: float) -> bool:
        """Returns whether a pause that the target asked for is running."""
        target = self.targets.get(target_id)
        return target is not None and target.paused_until > now

    def find_pause_end(self, service: str, now: float) -> float | None:
        """Returns when the first pause of a service's targets ends.

        Returns:
            The time; None if no target is paused.
        """
        ends = [
            target.paused_until
            for target in self.targets.serving(service)
            if target.paused_until > now and not target.report.leaving
        ]
        return min(ends, default=None)

    def has_usable(self, service: str, now: float) -> bool:
        """Returns whether any target of a service may get new work."""
        return any(
            self.is_usable(target, now)
            for target in self.targets.serving(service)
        )

    def note_answer(
        self, report: TargetReport, metadata: AnswerMetadata, now: float
    ) -> None:
        """Applies the departure, limit or pause that an answer announces.

        Args:
            report: The target's report when the request was sent, so that a
                late answer does not affect a later incarnation.
            metadata: Metadata of the answer.
            now: Time in seconds.
        """
        if metadata.leaving and not self.has_departed(report):
            self.announce_departure(report)
        row = self.targets.get(report.target_id)
        if row is None or row.report.incarnation != report.incarnation:
            return
        row.answered_at = now
        self.centres.note_answer(report.data_centre)
        self.note_limit(row, metadata, now)
        if metadata.pause_s is None:
            return
        pause_s = min(metadata.pause_s, MAX_PAUSE_SECONDS)
        row.paused_until = max(row.paused_until, now + pause_s)
        log.info(
            "target asked for a pause",
            target=report.target_id,
            seconds=pause_s,
            request_id=metadata.request_id,
        )

    def build_recorder(
        self, target_id: str
    ) -> Callable[[AnswerMetadata], None]:
        """Returns a callback that applies what an answer of a target says."""
        target = self.targets.get(target_id)
        if target is None:
            return lambda metadata: None
        report = target.report
        loop = asyncio.get_running_loop()

        def note(metadata: AnswerMetadata) -> None:
            self.note_answer(report, metadata, loop.time())

        return note

    def note_limit(
        self, row: Target, metadata: AnswerMetadata, now: float
    ) -> None:
        """Records the limit that an answer names, or the end of a limit."""
        before = row.limit_per_s
        if note_limit(row, metadata.limit_per_s, now):
            log.info(
                "limit of a target changed",
                target=row.report.target_id,
                limit=row.limit_per_s,
                before=before,
                request_id=metadata.request_id,
            )

    def choose(
        self,
        service: str,
        *,
        excluded: set[str],
        demanded: set[str],
        now: float,
    ) -> Target | None:
        """Returns the least loaded usable target of a plain service, if any.

        Args:
            service: The service.
            excluded: IDs of targets that must not be used.
            demanded: IDs of the targets with a limit for which the request has
                been counted as demand; the choice adds to them.
            now: Time in seconds.
        """
        self.detections.end_backoffs(now)
        found = [
            target
            for target in self.targets.serving(service)
            if target.report.target_id not in excluded
            and self.is_usable(target, now)
        ]
        found.sort(key=self.score_load)
        for target in found:
            if self.limiter.admit(target, demanded, now):
                return target
        return None

    def estimate_limit_wait(
        self, service: str, *, excluded: set[str], waiting: int, now: float
    ) -> float:
        """Returns the seconds until the limits of targets allow a call.

        Args:
            service: The service.
            excluded: IDs of targets that must not be used.
            waiting: Number of calls that wait already.
            now: Time in seconds.

        Returns:
            The wait; 0 if no target is usable or one of them names no limit.
        """
        rate = sum(
            self.limiter.compute_own_rate(target, now)
            for target in self.targets.serving(service)
            if target.report.target_id not in excluded
            and self.is_usable(target, now)
        )
        return min((waiting + 1) / rate, WINDOW_SECONDS) if rate else 0.0

    def score_load(self, target: Target) -> float:
        """Returns the cost of more work at a target; lower is better."""
        score = float(target.in_flight) + JITTER * self.random.random()
        if target.report.data_centre != self.data_centre:
            score += OTHER_CENTRE_PENALTY
        if target.health is not TargetHealth.HEALTHY:
            score += SUSPECT_PENALTY
        return score

    def note_success(self, target_id: str, now: float) -> None:
        """Records that a target answered."""
        row = self.targets.get(target_id)
        if row is not None:
            row.rejections = 0
            self.detections.note_success(row, now)

    def note_resumed(self, target_id: str, now: float) -> None:
        """Records that a target goes on with a suspected attempt."""
        row = self.targets.get(target_id)
        if row is not None:
            row.rejections = 0
            self.detections.restore(row, now)

    def forgive(self, *, since: float, now: float) -> None:
        """Takes back recent failures that were not the targets' fault.

        Args:
            since: Time of the first such failure, in seconds.
            now: Time in seconds.
        """
        for row in self.targets:
            if row.ejected_at >= since or row.health is TargetHealth.SUSPECT:
                self.detections.restore(row, now)

    def note_full(self, target_id: str, now: float) -> None:
        """Backs off from a full target and requests an inspection of it.

        A target also rejects requests as full when a target of its chain is
        gone.
        """
        row = self.targets.get(target_id)
        if row is None:
            return
        backoff_s = FULL_BACKOFF_SECONDS * 2**row.rejections
        if backoff_s < MAX_FULL_BACKOFF_SECONDS:
            row.rejections += 1
        spread = self.random.uniform(1 - BACKOFF_SPREAD, 1 + BACKOFF_SPREAD)
        row.full_until = now + min(backoff_s, MAX_FULL_BACKOFF_SECONDS) * spread
        self.suspect(row)

    def note_connect_timeout(self, target_id: str, now: float) -> None:
        """Records that a connection attempt to a target timed out."""
        row = self.targets.get(target_id)
        if row is None:
            return
        data_centre = row.report.data_centre
        before = self.centres.is_suspect(data_centre, now)
        self.centres.note_timeout(data_centre, target_id, now)
        if not before and self.centres.is_suspect(data_centre, now):
            log.info("data centre seems unreachable", data_centre=data_centre)

    def note_failure(
        self, target_id: str, *, now: float, crashed: bool = False
    ) -> None:
        """Records a failed attempt and requests an inspection of the target.

        The failure makes the target suspect or ejects it.

        Args:
            target_id: The target.
            now: Time in seconds.
            crashed: Whether the target seems to have crashed.
        """
        row = self.targets.get(target_id)
        if row is not None:
            self.detections.note_failure(
                row, crashed=crashed, retry_after_s=None, now=now
            )
            self.suspect(row)

    def find_target_at(self, address: str) -> str:
        """Returns the target with the latest incarnation at an address.

        Returns:
            Its identifier; empty if no target is known there.
        """
        found = [x for x in self.targets if x.report.address == address]
        if not found:
            return ""
        newest = max(found, key=lambda x: x.report.incarnation)
        return newest.report.target_id
