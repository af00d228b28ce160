"""Start and end of attempts, recorded in all affected tables and systems."""

import dataclasses

from rattanroute.actions import Action
from rattanroute.actions import Hop
from rattanroute.events import AttemptFailed
from rattanroute.events import AttemptSucceeded
from rattanroute.systems.admissions import AdmissionSystem
from rattanroute.systems.admissions import ShareLimiter
from rattanroute.systems.hedges import HedgeSystem
from rattanroute.systems.outlier_detections import OutlierDetectionSystem
from rattanroute.systems.quarantines import QuarantineSystem
from rattanroute.systems.quarantines import RUN_EXPIRY_SECONDS
from rattanroute.systems.routing import RoutingSystem
from rattanroute.tables.requests import Attempt
from rattanroute.tables.requests import Request
from rattanroute.tables.requests import RequestKind
from rattanroute.tables.requests import RequestState
from rattanroute.tables.targets import TargetTable


@dataclasses.dataclass(kw_only=True, slots=True)
class AttemptSystem:
    """Records the start and end of attempts.

    Attributes:
        targets: Known targets and their load.
        gate: Limiter of the work of each neighbour.
        admissions: Throughput of the pools.
        detections: Health of the targets.
        quarantines: Requests that crashed targets.
        routing: Estimates of request durations.
        hedges: Schedule of hedged attempts.
        hedging: Whether late attempts are hedged.
        running: Identifiers of this VM's running requests, by target.
    """

    targets: TargetTable
    gate: ShareLimiter
    admissions: AdmissionSystem
    detections: OutlierDetectionSystem
    quarantines: QuarantineSystem
    routing: RoutingSystem
    hedges: HedgeSystem
    hedging: bool = False
    running: dict[str, set[str]] = dataclasses.field(default_factory=dict)

    def begin(
        self, request: Request, chain: tuple[Hop, ...], now: float
    ) -> tuple[Attempt, list[Action]]:
        """Starts the next attempt of a request on a chain.

        Returns:
            The attempt, and quarantine messages to send.
        """
        rows = [self.targets.get(hop.target_id) for hop in chain]
        attempt = Attempt(
            number=len(request.attempts) + 1,
            chain=chain,
            dispatched_at=now,
            incarnations=tuple(
                row.report.incarnation if row is not None else 0 for row in rows
            ),
        )
        request.attempts.append(attempt)
        request.state = RequestState.DISPATCHED
        for hop in chain:
            self.targets.note_dispatch(hop.target_id, now)
            running = self.running.setdefault(hop.target_id, set())
            running.add(request.request_id)
        if request.kind is RequestKind.CHAT:
            name = build_attempt_id(request, attempt)
            self.gate.start(request.neighbour, request_id=name, now=now)
        self.admissions.note_start(request.pool)
        self.watch(request, attempt, now)
        messages = self.quarantines.note_start(
            request.fingerprint,
            target_id=chain[0].target_id,
            until=now + RUN_EXPIRY_SECONDS,
        )
        return attempt, messages

    def watch(self, request: Request, attempt: Attempt, now: float) -> None:
        """Schedules the timeout and hedging checks of an attempt."""
        row = self.targets.get(attempt.chain[0].target_id)
        if row is None or not request.repeatable:
            return
        self.detections.schedule_start_check(
            request_id=request.request_id,
            attempt=attempt.number,
            expected=self.routing.max_seconds(request, row),
            now=now,
        )
        if self.hedging and may_hedge(request) and attempt.number == 1:
            self.hedges.watch(
                request_id=request.request_id,
                attempt=attempt.number,
                model=request.model,
                expected=self.routing.run_seconds(request, row),
                now=now,
            )

    def end(
        self,
        request: Request,
        attempt: Attempt,
        now: float,
        *,
        complete: bool = False,
    ) -> list[Action]:
        """Ends an attempt and releases its slots and share.

        Args:
            request: The request.
            attempt: The attempt that ends.
            now: Current time in seconds.
            complete: Whether the attempt delivered a complete answer.

        Returns:
            Quarantine messages to send.
        """
        attempt.live = False
        for hop in attempt.chain:
            self.targets.note_end(hop.target_id, now)
            running = self.running.get(hop.target_id)
            if running is not None:
                running.discard(request.request_id)
                if not running:
                    del self.running[hop.target_id]
        self.gate.end(build_attempt_id(request, attempt), now=now)
        seconds = now - attempt.dispatched_at if complete else None
        self.admissions.note_end(request.pool, seconds)
        if request.live:
            return []
        return self.quarantines.note_end(request.fingerprint, cleared=complete)

    def complete(
        self,
        request: Request,
        attempt: Attempt,
        event: AttemptSucceeded,
        now: float,
    ) -> list[Action]:
        """Ends a successful attempt and updates speed and health estimates."""
        messages = self.end(request, attempt, now, complete=True)
        for hop in attempt.chain:
            row = self.targets.get(hop.target_id)
            if row is not None:
                self.detections.note_success(row, now)
        row = self.targets.get(attempt.chain[0].target_id)
        if row is None or len(attempt.chain) > 1:
            return messages
        seconds = now - attempt.dispatched_at
        if may_hedge(request):
            self.hedges.record_duration(
                model=request.model,
                seconds=seconds,
                expected=self.routing.run_seconds(request, row),
                now=now,
            )
        if not request.stream:
            self.detections.note_duration(
                row,
                seconds=seconds,
                expected=self.routing.accelerator_seconds(
                    request, row, event.tokens_out
                ),
                now=now,
            )
        self.routing.record_completion(request, row, seconds, event.tokens_out)
        return messages

    def note_started(
        self, request: Request, attempt: Attempt, now: float
    ) -> None:
        """Records the time to the first token of a stream.

        The duration of a stream depends on how fast the caller reads; the
        time to its first token does not.
        """
        row = self.targets.get(attempt.chain[0].target_id)
        if row is not None and request.stream and len(attempt.chain) == 1:
            self.detections.note_start(
                row, seconds=now - attempt.dispatched_at, now=now
            )

    def note_silence(self, target_id: str, now: float) -> None:
        """Reports a silent target to failure detection."""
        row = self.targets.get(target_id)
        if row is not None:
            self.detections.note_failure(
                row, crashed=False, retry_after_s=None, now=now
            )

    def note_failure(self, event: AttemptFailed, now: float) -> None:
        """Reports a failed attempt to failure detection."""
        row = self.targets.get(event.target_id)
        if row is not None and event.refusal is None:
            self.detections.note_failure(
                row,
                crashed=event.crashed,
                retry_after_s=event.retry_after_s,
                now=now,
            )


def build_attempt_id(request: Request, attempt: Attempt) -> str:
    """Returns the identifier under which an attempt is charged to a share."""
    return f"{request.request_id}#{attempt.number}"


def may_hedge(request: Request) -> bool:
    """Returns whether a request may run on two targets at once."""
    return (
        request.kind is RequestKind.CHAT
        and request.repeatable
        and not request.stream
    )
