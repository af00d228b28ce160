"""The request core: decides what happens to each request of this VM."""

from collections.abc import Callable
import dataclasses
import random as randoms
from typing import Protocol

from rattanroute.actions import Action
from rattanroute.actions import CancelAttempt
from rattanroute.actions import Dispatch
from rattanroute.actions import Execution
from rattanroute.actions import Finish
from rattanroute.actions import Hop
from rattanroute.actions import Refusal
from rattanroute.actions import Refuse
from rattanroute.actions import ReplaceStage
from rattanroute.events import AttemptFailed
from rattanroute.events import AttemptStarted
from rattanroute.events import AttemptSucceeded
from rattanroute.events import CallerGone
from rattanroute.events import Event
from rattanroute.events import Provenance
from rattanroute.events import RequestArrived
from rattanroute.tables.configurations import Configuration
from rattanroute.tables.requests import Attempt
from rattanroute.tables.requests import Request
from rattanroute.tables.requests import RequestState
from rattanroute.tables.requests import RequestTable
from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetHealth
from rattanroute.tables.targets import TargetTable


class ChainPlanner(Protocol):
    """Chooses chains over targets that hold ranges of layers."""

    def plan(
        self, *, model: str, version: str, targets: TargetTable, now: float
    ) -> tuple[Hop, ...] | None:
        """Returns a chain over all layers, or None when there is none."""
        ...

    def replace(
        self,
        *,
        request: Request,
        failed_target_id: str,
        targets: TargetTable,
        now: float,
    ) -> tuple[Hop, ...] | None:
        """Returns hops for the layers of a failed hop, or None."""
        ...


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CoreSettings:
    """Settings of the request core.

    Attributes:
        max_queued: Requests that may wait for a slot.
        heartbeat_timeout_s: Age of a report after which its target gets no
            new work.
        max_attempts: Attempts of one request.
    """

    max_queued: int = 1000
    heartbeat_timeout_s: float = 2.5
    max_attempts: int = 4


@dataclasses.dataclass(kw_only=True, slots=True)
class RequestCore:
    """Takes events of requests and returns actions for the host."""

    vm_id: str
    data_centre: str
    targets: TargetTable
    requests: RequestTable
    configuration: Callable[[], Configuration]
    settings: CoreSettings
    random: randoms.Random
    planner: ChainPlanner | None = None
    queue: list[str] = dataclasses.field(default_factory=list)

    def handle(self, event: Event, *, now: float) -> list[Action]:
        """Handles an event; events of ended requests are ignored."""
        match event:
            case RequestArrived():
                return self.arrive(event.request, now)
            case AttemptStarted():
                return self.start(event, now)
            case AttemptSucceeded():
                return self.succeed(event)
            case AttemptFailed():
                return self.fail(event, now)
            case CallerGone():
                return self.abandon(event)

    def tick(self, *, now: float) -> list[Action]:
        """Dispatches queued requests and expires those past the deadline."""
        actions: list[Action] = []
        for request_id in list(self.queue):
            request = self.requests.get(request_id)
            if request is None:
                self.queue.remove(request_id)
            elif request.deadline <= now:
                actions += self.refuse(request, deadline_refusal(request))
            elif (chain := self.choose(request, now)) is not None:
                self.queue.remove(request_id)
                actions.append(self.dispatch(request, chain, now))
        return actions

    def arrive(self, request: Request, now: float) -> list[Action]:
        """Dispatches, queues or refuses a new request."""
        self.requests.add(request)
        chain = self.choose(request, now)
        if chain is not None:
            return [self.dispatch(request, chain, now)]
        if not any(self.usable(request, row, now) for row in self.targets):
            return self.refuse(
                request,
                Refusal(
                    type="no_target",
                    message=f"no target serves {request.model} at present",
                    status=503,
                    execution=execution_of(request),
                    retry_after_s=1.0,
                ),
            )
        if len(self.queue) >= self.settings.max_queued:
            return self.refuse(
                request,
                Refusal(
                    type="overloaded",
                    message="the queue is full",
                    status=503,
                    execution=execution_of(request),
                    retry_after_s=1.0,
                ),
            )
        request.state = RequestState.QUEUED
        self.queue.append(request.request_id)
        return []

    def start(self, event: AttemptStarted, now: float) -> list[Action]:
        """Notes the first token of the latest attempt."""
        request = self.requests.get(event.request_id)
        if request is not None and is_current(request, event.attempt):
            request.state = RequestState.STARTED
            request.attempts[-1].started_at = now
        return []

    def succeed(self, event: AttemptSucceeded) -> list[Action]:
        """Ends a request whose answer is complete."""
        request = self.requests.get(event.request_id)
        if request is None or not is_current(request, event.attempt):
            return []
        self.release(request)
        for hop in request.attempts[-1].chain:
            row = self.targets.get(hop.target_id)
            if row is not None:
                row.failures = 0
        request.state = RequestState.DONE
        self.requests.remove(request.request_id)
        return [Finish(request_id=request.request_id)]

    def fail(self, event: AttemptFailed, now: float) -> list[Action]:
        """Moves or refuses a request by what is known of its attempt."""
        request = self.requests.get(event.request_id)
        if request is None or not is_current(request, event.attempt):
            return []
        failed = self.targets.get(event.target_id)
        if failed is not None:
            failed.failures += 1
        request.tokens_out += event.tokens_out
        clean = event.provenance is Provenance.NOT_DISPATCHED
        if not clean and not request.repeatable:
            self.release(request)
            return self.refuse(request, ambiguous_refusal(request))
        if len(request.attempts[-1].chain) > 1 and self.planner is not None:
            hops = self.planner.replace(
                request=request,
                failed_target_id=event.target_id,
                targets=self.targets,
                now=now,
            )
            if hops is not None:
                return [self.replace(request, event.target_id, hops, now)]
        self.release(request)
        if len(request.attempts) >= self.settings.max_attempts:
            return self.refuse(request, exhausted_refusal(request))
        return self.arrive(request, now)

    def abandon(self, event: CallerGone) -> list[Action]:
        """Cancels the work of a caller that closed its connection."""
        request = self.requests.get(event.request_id)
        if request is None:
            return []
        self.requests.remove(request.request_id)
        if request.request_id in self.queue:
            self.queue.remove(request.request_id)
            return []
        self.release(request)
        return [
            CancelAttempt(
                request_id=request.request_id,
                attempt=request.attempts[-1].number,
            )
        ]

    def usable(self, request: Request, row: Target, now: float) -> bool:
        """Tells whether a target may get the request, slots aside."""
        report = row.report
        fresh = now - row.heard_at <= self.settings.heartbeat_timeout_s
        return (
            report.model == request.model
            and (not request.version or report.version == request.version)
            and (not request.adapter or request.adapter in report.adapters)
            and fresh
            and not report.leaving
            and report.target_id not in self.configuration().drained_targets
            and row.health is not TargetHealth.EJECTED
            and row.blocked_until <= now
        )

    def choose(self, request: Request, now: float) -> tuple[Hop, ...] | None:
        """Returns a chain with a free slot, or None."""
        tried = {h.target_id for a in request.attempts for h in a.chain}
        free = [
            row
            for row in self.targets
            if self.usable(request, row, now)
            and row.report.whole
            and load_of(row) < row.report.slots
        ]
        free = [r for r in free if r.report.target_id not in tried] or free
        if free:
            self.random.shuffle(free)
            best = min(free, key=lambda row: load_of(row) / row.report.slots)
            report = best.report
            return (
                Hop(
                    target_id=report.target_id,
                    address=report.address,
                    last_layer=report.last_layer,
                ),
            )
        if self.planner is None:
            return None
        return self.planner.plan(
            model=request.model,
            version=request.version,
            targets=self.targets,
            now=now,
        )

    def dispatch(
        self, request: Request, chain: tuple[Hop, ...], now: float
    ) -> Dispatch:
        """Starts the next attempt on a chain."""
        number = len(request.attempts) + 1
        request.attempts.append(
            Attempt(number=number, chain=chain, dispatched_at=now)
        )
        request.state = RequestState.DISPATCHED
        for hop in chain:
            row = self.targets.get(hop.target_id)
            if row is not None:
                row.in_flight += 1
                row.sent_since_report += 1
        return Dispatch(
            request_id=request.request_id, attempt=number, chain=chain
        )

    def replace(
        self,
        request: Request,
        failed_target_id: str,
        hops: tuple[Hop, ...],
        now: float,
    ) -> ReplaceStage:
        """Starts an attempt that keeps all hops but the failed one."""
        old = request.attempts[-1].chain
        self.release(request)
        chain: tuple[Hop, ...] = ()
        for hop in old:
            chain += hops if hop.target_id == failed_target_id else (hop,)
        started = self.dispatch(request, chain, now)
        return ReplaceStage(
            request_id=request.request_id,
            attempt=started.attempt,
            failed_target_id=failed_target_id,
            hops=hops,
        )

    def release(self, request: Request) -> None:
        """Gives back the slots of the latest attempt."""
        for hop in request.attempts[-1].chain:
            row = self.targets.get(hop.target_id)
            if row is not None:
                row.in_flight = max(0, row.in_flight - 1)
                row.sent_since_report = max(0, row.sent_since_report - 1)

    def refuse(self, request: Request, refusal: Refusal) -> list[Action]:
        """Ends a request with a refusal."""
        request.state = RequestState.REFUSED
        self.requests.remove(request.request_id)
        if request.request_id in self.queue:
            self.queue.remove(request.request_id)
        return [Refuse(request_id=request.request_id, refusal=refusal)]


def is_current(request: Request, attempt: int) -> bool:
    """Tells whether an event belongs to the running attempt."""
    running = (RequestState.DISPATCHED, RequestState.STARTED)
    current = request.current
    return (
        request.state in running
        and current is not None
        and current.number == attempt
    )


def load_of(row: Target) -> int:
    """Returns requests on a target: reported, and sent since the report."""
    reported = row.report.running + row.report.queued
    return max(row.in_flight, reported + row.sent_since_report)


def execution_of(request: Request) -> Execution:
    """Returns what is known about the work of a request without attempt."""
    if request.tokens_out:
        return Execution.PARTIAL
    return Execution.UNKNOWN if request.attempts else Execution.NOT_RUN


def deadline_refusal(request: Request) -> Refusal:
    """Builds the refusal of a request that waited past its deadline."""
    return Refusal(
        type="deadline_exceeded",
        message="no slot became free before the deadline",
        status=503,
        execution=execution_of(request),
        retry_after_s=1.0,
    )


def ambiguous_refusal(request: Request) -> Refusal:
    """Builds the refusal of a non-repeatable call that may have run."""
    return Refusal(
        type="outcome_unknown",
        message="the target failed and may have run the call",
        status=502,
        execution=Execution.UNKNOWN,
    )


def exhausted_refusal(request: Request) -> Refusal:
    """Builds the refusal of a request that failed on several targets."""
    return Refusal(
        type="attempts_exhausted",
        message=f"{len(request.attempts)} attempts failed",
        status=502,
        execution=execution_of(request),
        retry_after_s=1.0,
    )
