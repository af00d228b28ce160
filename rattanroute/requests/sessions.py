"""Sessions of open requests, which execute the actions of the core."""

import asyncio
import dataclasses
import time
from typing import Protocol

from opentelemetry import trace

from rattanroute.actions import Action
from rattanroute.actions import CancelAttempt
from rattanroute.actions import Dispatch
from rattanroute.actions import Execution
from rattanroute.actions import Finish
from rattanroute.actions import Refusal
from rattanroute.actions import Refuse
from rattanroute.actions import ReplaceStage
from rattanroute.clients.attempts import AttemptError
from rattanroute.clients.engines import EngineClient
from rattanroute.clients.services import ServiceClient
from rattanroute.clients.stages import PipelineClient
from rattanroute.events import AttemptFailed
from rattanroute.events import AttemptSucceeded
from rattanroute.events import CallerDisconnected
from rattanroute.events import Event
from rattanroute.events import Provenance
from rattanroute.events import RequestArrived
from rattanroute.logs import get_logger
from rattanroute.metrics import MetricsRegistry
from rattanroute.requests.attempt_runs import AttemptRun
from rattanroute.requests.attempt_runs import AttemptUsage
from rattanroute.requests.refusals import RequestRefusedError
from rattanroute.systems import refusals
from rattanroute.tables.requests import Request
from rattanroute.traces import TraceRecorder

# HTTP statuses with which a target rejects the content of a request; other
# targets would reject it, too, so that it is not retried.
REJECTION_STATUSES = frozenset({400, 413, 422})

log = get_logger(__name__)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AbortSession:
    """Ends a session after an unexpected error in one of its attempts.

    Attributes:
        error: The error, which the session raises again.
    """

    error: BaseException


class SessionHost(Protocol):
    """The parts of the daemon that a session uses."""

    engines: EngineClient
    pipelines: PipelineClient
    services: ServiceClient
    metrics: MetricsRegistry
    traces: TraceRecorder
    sessions: "SessionRegistry"

    def handle(self, event: Event) -> None:
        """Passes an event to the core and executes its actions."""
        ...

    def open_account(self, request: Request, attempt: int) -> str:
        """Returns the account tag of an attempt."""
        ...

    def record_usage(self, usage: AttemptUsage) -> None:
        """Adds the usage of an attempt to the accounts."""
        ...


class SessionRegistry:
    """Open sessions by request identifier."""

    def __init__(self) -> None:
        self.sessions: dict[str, Session] = {}
        self.empty = asyncio.Event()
        self.empty.set()

    def add(self, session: "Session") -> None:
        """Registers a session."""
        self.sessions[session.request.request_id] = session
        self.empty.clear()

    def remove(self, session: "Session") -> None:
        """Removes a session that has ended."""
        self.sessions.pop(session.request.request_id, None)
        if not self.sessions:
            self.empty.set()

    def refuse_all(self) -> int:
        """Refuses the open requests at the end of a planned stop.

        Returns:
            Number of open requests.
        """
        for session in self.sessions.values():
            request = session.request
            session.receive(
                Refuse(
                    request_id=request.request_id,
                    refusal=refusals.stopped(request),
                )
            )
        return len(self.sessions)

    def deliver(self, action: Action) -> None:
        """Passes an action of the core to its session."""
        session = self.sessions.get(action.request_id)
        if session is not None:
            session.receive(action)


class Session:
    """Executes the actions of the core for one open request.

    Args:
        host: The daemon.
        request: The request.
        span: Trace span of the entry hop.
    """

    def __init__(
        self, *, host: SessionHost, request: Request, span: trace.Span
    ) -> None:
        self.host = host
        self.request = request
        self.span = span
        self.inbox: asyncio.Queue[Action] = asyncio.Queue()
        self.runs: list[AttemptRun] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.cancelled: set[int] = set()
        self.replacing_run: AttemptRun | None = None
        self.route: list[str] = []

    @property
    def runs_concurrently(self) -> bool:
        """Whether two attempts may run concurrently.

        Two attempts of a stream run only while the target of one is silent;
        the first of them that continues the stream ends the other.
        """
        return self.request.repeatable

    def receive(self, action: Action) -> None:
        """Queues an action; interrupts the attempts that it ends."""
        if isinstance(action, ReplaceStage):
            if self.replacing_run is not None:
                self.replacing_run.replacement = action
            return
        if isinstance(action, CancelAttempt):
            self.cancelled.add(action.attempt)
            for run in self.runs:
                if run.attempt == action.attempt:
                    run.interrupt()
            return
        if isinstance(action, Refuse):
            for run in self.runs:
                run.interrupt()
        self.inbox.put_nowait(action)

    async def run(self) -> None:
        """Executes actions until the request is done.

        Raises:
            RequestRefusedError: If the request ends with a refusal.
        """
        registry = self.host.sessions
        registry.add(self)
        try:
            self.host.handle(RequestArrived(request=self.request))
            while not isinstance(action := await self.inbox.get(), Finish):
                await self.execute_action(action)
        finally:
            tasks = list(self.tasks)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            # The core ignores this event if the request has ended.
            self.host.handle(
                CallerDisconnected(request_id=self.request.request_id)
            )
            registry.remove(self)

    async def execute_action(self, action: Action) -> None:
        """Runs the attempt of a dispatch, or raises to end the session.

        Raises:
            RequestRefusedError: If the action is a refusal.
        """
        if isinstance(action, Refuse):
            raise RequestRefusedError(action.refusal)
        if isinstance(action, AbortSession):
            raise action.error
        # An attempt may be cancelled while its dispatch is in the inbox.
        if action.attempt in self.cancelled:
            return
        if not self.runs_concurrently:
            await self.run_attempt(action)
            return
        task = asyncio.create_task(self.run_attempt(action))
        self.tasks.add(task)
        task.add_done_callback(self.handle_task_end)

    def handle_task_end(self, task: asyncio.Task[None]) -> None:
        """Ends the session if the task of an attempt raised an error."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.inbox.put_nowait(AbortSession(error=task.exception()))

    async def run_attempt(self, dispatch: Dispatch) -> None:
        """Runs one attempt and reports its end to the core."""
        if dispatch.attempt in self.cancelled:
            return
        run = AttemptRun(dispatch=dispatch, attempt=dispatch.attempt)
        self.runs.append(run)
        if not self.route:
            self.observe_queue_wait()
        self.route.append(",".join(run.target_ids))
        span = self.start_attempt_span(dispatch)
        stages = self.start_stage_spans(dispatch, span)
        try:
            async with asyncio.timeout(None) as run.scope:
                event = await self.execute(run, span)
        except TimeoutError:
            event = self.build_failure(run, "the attempt was cancelled")
        except AttemptError as error:
            event = self.describe_error(run, error)
        except BaseException:
            span.set_attribute("outcome", "caller gone")
            self.record(run, None, "cancelled")
            raise
        finally:
            self.runs.remove(run)
            for item in (*stages, span):
                item.end()
        self.record(run, event, describe_outcome(event))
        self.host.handle(event)

    def observe_queue_wait(self) -> None:
        """Records the time from arrival to the first dispatch."""
        self.host.metrics.queue_wait.observe(
            {"kind": self.request.kind.value},
            time.monotonic() - self.request.arrived_at,
        )

    def start_attempt_span(self, dispatch: Dispatch) -> trace.Span:
        """Starts the span of an attempt, a child of the entry span."""
        return self.host.traces.start(
            "attempt",
            request_id=self.request.request_id,
            parent=trace.set_span_in_context(self.span),
            attempt=dispatch.attempt,
            target=",".join(hop.target_id for hop in dispatch.chain),
        )

    def start_stage_spans(
        self, dispatch: Dispatch, parent: trace.Span
    ) -> list[trace.Span]:
        """Starts a span for each stage of a pipeline."""
        if len(dispatch.chain) == 1:
            return []
        context = trace.set_span_in_context(parent)
        return [
            self.host.traces.start(
                "stage",
                request_id=self.request.request_id,
                parent=context,
                target=hop.target_id,
                first_layer=hop.first_layer,
                last_layer=hop.last_layer,
            )
            for hop in dispatch.chain
        ]

    async def execute(
        self, run: AttemptRun, span: trace.Span
    ) -> AttemptSucceeded | AttemptFailed:
        """Runs the attempt on its targets; implemented by subclasses."""
        raise NotImplementedError

    def retain_tokens(self, run: AttemptRun) -> int:
        """Keeps the tokens of a failed attempt for the next one.

        Returns:
            Number of tokens that the next attempt need not generate again.
        """
        return run.unreported_tokens

    def describe_error(
        self, run: AttemptRun, error: AttemptError
    ) -> AttemptFailed:
        """Counts and logs a failed attempt and builds its event."""
        self.host.metrics.attempts_failed.inc(
            {"provenance": error.provenance.value}
        )
        log.warning(
            "attempt failed",
            request_id=self.request.request_id,
            attempt=run.attempt,
            peer=error.peer,
            step=error.step,
            provenance=error.provenance.value,
            reason=error.message,
        )
        return AttemptFailed(
            request_id=self.request.request_id,
            attempt=run.attempt,
            target_id=error.peer or run.first_target_id,
            provenance=error.provenance,
            crashed=error.crashed,
            reason=error.message,
            retry_after_s=error.retry_after_s,
            tokens_out=self.retain_tokens(run),
            refusal=describe_rejection(error),
        )

    def build_failure(self, run: AttemptRun, reason: str) -> AttemptFailed:
        """Builds the event of an attempt that the router ended itself."""
        return AttemptFailed(
            request_id=self.request.request_id,
            attempt=run.attempt,
            target_id=run.first_target_id,
            provenance=Provenance.UNKNOWN,
            reason=reason,
            tokens_out=self.retain_tokens(run),
        )

    def record(
        self,
        run: AttemptRun,
        event: AttemptSucceeded | AttemptFailed | None,
        outcome: str,
    ) -> None:
        """Adds the attempt to the accounts unless it was never dispatched."""
        if outcome == Provenance.NOT_DISPATCHED.value:
            return
        self.host.record_usage(
            AttemptUsage(
                request=self.request,
                attempt=run.dispatch.attempt,
                target_ids=run.target_ids,
                tokens_in=getattr(event, "tokens_in", self.request.tokens_in),
                tokens_out=run.total_tokens,
                seconds=time.monotonic() - run.started,
                layers=run.dispatch.chain[-1].last_layer + 1,
                outcome=outcome,
            )
        )


def describe_rejection(error: AttemptError) -> Refusal | None:
    """Returns the refusal if a target rejects the content of a request."""
    if error.status not in REJECTION_STATUSES:
        return None
    started = error.provenance is Provenance.STARTED
    return Refusal(
        type="rejected_by_target",
        message=error.message,
        status=error.status,
        execution=Execution.PARTIAL if started else Execution.UNKNOWN,
    )


def describe_outcome(event: AttemptSucceeded | AttemptFailed) -> str:
    """Returns the outcome of an attempt as it is stored in the accounts."""
    if isinstance(event, AttemptSucceeded):
        return "done"
    return event.provenance.value
