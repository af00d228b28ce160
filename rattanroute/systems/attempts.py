"""Accounting of attempts: slots, shares, health and what is learned."""

import dataclasses

from rattanroute.actions import Action
from rattanroute.actions import Hop
from rattanroute.events import AttemptFailed
from rattanroute.events import AttemptSucceeded
from rattanroute.systems.admissions import AdmissionSystem
from rattanroute.systems.admissions import ShareGate
from rattanroute.systems.outlier_detections import OutlierDetectionSystem
from rattanroute.systems.quarantines import QuarantineSystem
from rattanroute.systems.quarantines import RUN_EXPIRY_SECONDS
from rattanroute.systems.retries import HedgeSystem
from rattanroute.systems.routing import RoutingSystem
from rattanroute.tables.requests import Attempt
from rattanroute.tables.requests import Request
from rattanroute.tables.requests import RequestKind
from rattanroute.tables.requests import RequestState
from rattanroute.tables.targets import TargetTable


@dataclasses.dataclass(kw_only=True, slots=True)
class AttemptSystem:
    """Begins and ends attempts in all tables that count them.

    Attributes:
        hedging: Whether late attempts are watched for a hedge.
        running: Requests of this VM that run on each target.
    """

    targets: TargetTable
    gate: ShareGate
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
        """Starts the next attempt of a request on a chain."""
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
            name = run_name(request, attempt)
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
        """Schedules the checks for a silent and for a late attempt."""
        row = self.targets.get(attempt.chain[0].target_id)
        if row is None or not request.repeatable:
            return
        self.detections.schedule_start_check(
            request_id=request.request_id,
            attempt=attempt.number,
            expected=self.routing.longest_seconds(request, row),
            now=now,
        )
        if self.hedging and is_hedged(request) and attempt.number == 1:
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
        """Gives back what an attempt holds."""
        attempt.live = False
        for hop in attempt.chain:
            self.targets.note_end(hop.target_id, now)
            running = self.running.get(hop.target_id)
            if running is not None:
                running.discard(request.request_id)
                if not running:
                    del self.running[hop.target_id]
        self.gate.end(run_name(request, attempt), now=now)
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
        """Ends an attempt with a complete answer and learns from it."""
        messages = self.end(request, attempt, now, complete=True)
        for hop in attempt.chain:
            row = self.targets.get(hop.target_id)
            if row is not None:
                self.detections.note_success(row, now)
        row = self.targets.get(attempt.chain[0].target_id)
        if row is None or len(attempt.chain) > 1:
            return messages
        seconds = now - attempt.dispatched_at
        if is_hedged(request):
            self.hedges.learn(
                model=request.model,
                seconds=seconds,
                expected=self.routing.run_seconds(request, row),
            )
        if not request.stream:
            self.detections.note_duration(
                row,
                seconds=seconds,
                expected=self.routing.kind_seconds(
                    request, row, event.tokens_out
                ),
                now=now,
            )
        self.routing.learn(request, row, seconds, event.tokens_out)
        return messages

    def note_started(
        self, request: Request, attempt: Attempt, now: float
    ) -> None:
        """Compares the time to the first token of a stream.

        A stream's duration depends on its reader, its first token does not.
        """
        row = self.targets.get(attempt.chain[0].target_id)
        if row is not None and request.stream and len(attempt.chain) == 1:
            self.detections.note_start(
                row, seconds=now - attempt.dispatched_at, now=now
            )

    def note_failure(self, event: AttemptFailed, now: float) -> None:
        """Tells detection of a failed attempt."""
        row = self.targets.get(event.target_id)
        if row is not None and event.refusal is None:
            self.detections.note_failure(
                row,
                crashed=event.crashed,
                retry_after_s=event.retry_after_s,
                now=now,
            )


def run_name(request: Request, attempt: Attempt) -> str:
    """Returns the name of an attempt in the accounts of shares."""
    return f"{request.request_id}#{attempt.number}"


def is_hedged(request: Request) -> bool:
    """Tells whether a request may be asked of two targets at once."""
    return (
        request.kind is RequestKind.CHAT
        and request.repeatable
        and not request.stream
    )
