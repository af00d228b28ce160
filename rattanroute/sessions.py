"""Open requests of callers: execute the core's actions for each of them."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import time
from typing import Protocol

from aioprometheus.histogram import Histogram
from opentelemetry import trace

from rattanroute.actions import Action
from rattanroute.actions import CancelAttempt
from rattanroute.actions import Dispatch
from rattanroute.actions import Finish
from rattanroute.actions import Hop
from rattanroute.actions import Refuse
from rattanroute.actions import ReplaceStage
from rattanroute.clients.attempts import AttemptError
from rattanroute.clients.attempts import AttemptOrder
from rattanroute.clients.attempts import TokenChunk
from rattanroute.clients.attempts import Usage
from rattanroute.clients.engines import EngineClient
from rattanroute.clients.services import ServiceAnswer
from rattanroute.clients.services import ServiceClient
from rattanroute.clients.services import ServiceOrder
from rattanroute.clients.sockets import FailureKind
from rattanroute.clients.stages import PipelineClient
from rattanroute.clients.stages import StageFailure
from rattanroute.events import AttemptFailed
from rattanroute.events import AttemptStarted
from rattanroute.events import AttemptSucceeded
from rattanroute.events import CallerGone
from rattanroute.events import Event
from rattanroute.events import Provenance
from rattanroute.events import RequestArrived
from rattanroute.events import StageDegraded
from rattanroute.logs import get_logger
from rattanroute.metrics import MetricsRegistry
from rattanroute.refusals import RequestRefusedError
from rattanroute.tables.requests import Request
from rattanroute.traces import TraceRecorder

FIRST_TOKEN_TIMEOUT_SECONDS = 20.0
TOKEN_TIMEOUT_SECONDS = 3.0

log = get_logger(__name__)
TokenWriter = Callable[[str], Awaitable[None]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptUsage:
    """What one attempt did, for the accounts.

    Attributes:
        request: The request.
        attempt: Attempt number.
        target_ids: Targets of the chain.
        tokens_in: Prompt tokens.
        tokens_out: Generated tokens.
        seconds: Time from dispatch to the end of the attempt.
        layers: Layers that ran for each token.
        outcome: "done" or the provenance of the failure.
    """

    request: Request
    attempt: int
    target_ids: tuple[str, ...]
    tokens_in: int
    tokens_out: int
    seconds: float
    layers: int
    outcome: str


class SessionHost(Protocol):
    """What a session needs from the daemon."""

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
        """Adds an attempt to the accounts."""
        ...


class SessionRegistry:
    """Open sessions by request."""

    def __init__(self) -> None:
        self.sessions: dict[str, Session] = {}
        self.empty = asyncio.Event()
        self.empty.set()

    def add(self, session: "Session") -> None:
        """Registers a session."""
        self.sessions[session.request.request_id] = session
        self.empty.clear()

    def remove(self, session: "Session") -> None:
        """Forgets a session that has ended."""
        self.sessions.pop(session.request.request_id, None)
        if not self.sessions:
            self.empty.set()

    def deliver(self, action: Action) -> None:
        """Passes an action of the core to its session."""
        session = self.sessions.get(action.request_id)
        if session is not None:
            session.take(action)


class Session:
    """One open request.

    Args:
        host: The daemon.
        request: The request.
        span: Span of the entry hop.
    """

    def __init__(
        self, *, host: SessionHost, request: Request, span: trace.Span
    ) -> None:
        self.host = host
        self.request = request
        self.span = span
        self.inbox: asyncio.Queue[Action] = asyncio.Queue()
        self.attempt = 0
        self.cancelled: set[int] = set()
        self.replacement: ReplaceStage | None = None
        self.scope: asyncio.Timeout | None = None
        self.route: list[str] = []
        self.attempt_tokens = 0
        self.dispatch_tokens = 0
        self.replacements: list[Hop] = []

    def take(self, action: Action) -> None:
        """Queues an action; one that ends the running attempt interrupts it."""
        if isinstance(action, ReplaceStage):
            self.replacement = action
            self.attempt = action.attempt
            return
        cancels = isinstance(action, CancelAttempt)
        if cancels:
            self.cancelled.add(action.attempt)
        ends = isinstance(action, Refuse) or (
            cancels and action.attempt == self.attempt
        )
        if ends and self.scope is not None:
            self.scope.reschedule(asyncio.get_running_loop().time())
        if not cancels:
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
            while True:
                action = await self.inbox.get()
                if isinstance(action, Finish):
                    return
                if isinstance(action, Refuse):
                    raise RequestRefusedError(action.refusal)
                # An attempt may be cancelled before its dispatch is taken.
                if action.attempt not in self.cancelled:
                    await self.run_attempt(action)
        except asyncio.CancelledError:
            self.host.handle(CallerGone(request_id=self.request.request_id))
            raise
        finally:
            registry.remove(self)

    async def run_attempt(self, dispatch: Dispatch) -> None:
        """Runs one attempt and reports its end to the core."""
        if not self.route:
            self.observe_queue_wait()
        names = tuple(hop.target_id for hop in dispatch.chain)
        self.route.append(",".join(names))
        span = self.start_attempt_span(dispatch)
        stages = self.start_stage_spans(dispatch, span)
        self.attempt = dispatch.attempt
        self.attempt_tokens = 0
        self.dispatch_tokens = 0
        self.replacements = []
        started = time.monotonic()
        try:
            async with asyncio.timeout(None) as self.scope:
                event = await self.execute(dispatch, span)
        except TimeoutError:
            event = self.build_failure(
                dispatch, Provenance.UNKNOWN, "the attempt was cancelled"
            )
        except AttemptError as error:
            event = self.describe_error(dispatch, error)
        except asyncio.CancelledError:
            span.set_attribute("outcome", "caller gone")
            self.record(dispatch, None, started, "cancelled")
            raise
        finally:
            self.scope = None
            for item in (*stages, span):
                item.end()
        self.record(dispatch, event, started, describe_outcome(event))
        self.host.handle(event)

    def observe_queue_wait(self) -> None:
        """Observes the time from arrival to the first dispatch."""
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
        self, dispatch: Dispatch, span: trace.Span
    ) -> AttemptSucceeded | AttemptFailed:
        """Runs the attempt on its targets; subclasses define it."""
        raise NotImplementedError

    def describe_error(
        self, dispatch: Dispatch, error: AttemptError
    ) -> AttemptFailed:
        """Returns the event of a failed attempt and counts it."""
        self.host.metrics.attempts_failed.inc(
            {"provenance": error.provenance.value}
        )
        log.warning(
            "attempt failed",
            request_id=self.request.request_id,
            attempt=dispatch.attempt,
            peer=error.peer,
            step=error.step,
            provenance=error.provenance.value,
            reason=error.message,
        )
        return AttemptFailed(
            request_id=self.request.request_id,
            attempt=self.attempt,
            target_id=error.peer or dispatch.chain[0].target_id,
            provenance=error.provenance,
            crashed=error.crashed,
            reason=error.message,
            retry_after_s=error.retry_after_s,
            tokens_out=self.attempt_tokens,
        )

    def build_failure(
        self, dispatch: Dispatch, provenance: Provenance, reason: str
    ) -> AttemptFailed:
        """Returns the event of an attempt that the router ended."""
        return AttemptFailed(
            request_id=self.request.request_id,
            attempt=self.attempt,
            target_id=dispatch.chain[0].target_id,
            provenance=provenance,
            reason=reason,
            tokens_out=self.attempt_tokens,
        )

    def record(
        self,
        dispatch: Dispatch,
        event: AttemptSucceeded | AttemptFailed | None,
        started: float,
        outcome: str,
    ) -> None:
        """Adds the attempt to the accounts; one that never left is free."""
        if outcome == Provenance.NOT_DISPATCHED.value:
            return
        self.host.record_usage(
            AttemptUsage(
                request=self.request,
                attempt=dispatch.attempt,
                target_ids=self.list_targets(dispatch),
                tokens_in=getattr(event, "tokens_in", self.request.tokens_in),
                tokens_out=self.dispatch_tokens,
                seconds=time.monotonic() - started,
                layers=dispatch.chain[-1].last_layer + 1,
                outcome=outcome,
            )
        )

    def list_targets(self, dispatch: Dispatch) -> tuple[str, ...]:
        """Returns all targets that ran a part of an attempt."""
        names = [hop.target_id for hop in dispatch.chain]
        names += [hop.target_id for hop in self.replacements]
        return tuple(dict.fromkeys(names))


class ChatSession(Session):
    """A chat completion.

    Args:
        host: The daemon.
        request: The request.
        span: Span of the entry hop.
        body: The caller's body.
        write: Called with each token, once and in order.
    """

    def __init__(
        self,
        *,
        host: SessionHost,
        request: Request,
        span: trace.Span,
        body: dict[str, object],
        write: TokenWriter,
    ) -> None:
        super().__init__(host=host, request=request, span=span)
        self.body = body
        self.write = write
        self.tokens: list[str] = []
        self.last_token_at = 0.0
        self.started_attempt = 0
        self.gaps: Histogram | None = None
        self.usage = Usage()

    async def execute(
        self, dispatch: Dispatch, span: trace.Span
    ) -> AttemptSucceeded | AttemptFailed:
        """Streams one attempt's tokens to the caller."""
        order = self.build_order(dispatch, span)
        async for chunk in self.open_run(order, dispatch):
            if isinstance(chunk, TokenChunk):
                await self.pass_on(chunk.text)
            else:
                self.usage = chunk
        return AttemptSucceeded(
            request_id=self.request.request_id,
            attempt=self.attempt,
            tokens_in=self.usage.tokens_in,
            tokens_out=self.attempt_tokens,
        )

    def open_run(
        self, order: AttemptOrder, dispatch: Dispatch
    ) -> AsyncIterator[TokenChunk | Usage]:
        """Starts a run on a whole-model engine or on a chain of stages."""
        if len(dispatch.chain) == 1:
            return self.host.engines.run(order)
        return self.host.pipelines.open(
            order=order, chain=dispatch.chain, on_failure=self.replace_stage
        ).run()

    async def replace_stage(self, failure: StageFailure) -> ReplaceStage | None:
        """Asks the core for a replacement of a failed or slow stage.

        Returns:
            The replacement, or None; the core has then decided what becomes
            of the request, and its action waits in the inbox.
        """
        self.replacement = None
        log.warning(
            "stage failed",
            request_id=self.request.request_id,
            attempt=self.attempt,
            peer=failure.hop.target_id,
            kind=failure.kind.value,
            reason=failure.error.message,
        )
        if failure.kind is FailureKind.DEGRADED:
            self.host.handle(
                StageDegraded(
                    request_id=self.request.request_id,
                    attempt=self.attempt,
                    target_id=failure.hop.target_id,
                )
            )
        else:
            self.host.handle(
                AttemptFailed(
                    request_id=self.request.request_id,
                    attempt=self.attempt,
                    target_id=failure.hop.target_id,
                    provenance=failure.error.provenance,
                    crashed=failure.error.crashed,
                    reason=failure.error.message,
                    retry_after_s=failure.error.retry_after_s,
                    tokens_out=self.attempt_tokens,
                )
            )
        if self.replacement is not None:
            self.replacements += self.replacement.hops
            self.attempt_tokens = 0
            names = [hop.target_id for hop in self.replacement.hops]
            self.route.append(f"{failure.hop.target_id}={','.join(names)}")
        return self.replacement

    def build_order(self, dispatch: Dispatch, span: trace.Span) -> AttemptOrder:
        """Builds the order for a whole-model engine."""
        request = self.request
        return AttemptOrder(
            request_id=request.request_id,
            attempt=dispatch.attempt,
            target_id=dispatch.chain[0].target_id,
            address=dispatch.chain[0].address,
            body=self.body,
            resume_tokens=tuple(self.tokens),
            deadline_s=request.deadline - time.monotonic(),
            first_token_timeout_s=FIRST_TOKEN_TIMEOUT_SECONDS,
            token_timeout_s=TOKEN_TIMEOUT_SECONDS,
            priority=request.priority,
            account=self.host.open_account(request, dispatch.attempt),
            trace_headers=self.host.traces.inject(span),
        )

    async def pass_on(self, text: str) -> None:
        """Counts a token and writes it to the caller."""
        now = time.monotonic()
        if self.last_token_at == 0.0:
            self.host.metrics.first_token.observe(
                {"model": self.request.model}, now - self.request.arrived_at
            )
        else:
            self.observe_gap(now - self.last_token_at)
        self.last_token_at = now
        self.tokens.append(text)
        self.attempt_tokens += 1
        self.dispatch_tokens += 1
        if self.started_attempt != self.attempt:
            self.note_started()
        await self.write(text)

    def note_started(self) -> None:
        """Tells the core of an attempt's first token."""
        self.started_attempt = self.attempt
        attempt = self.request.current
        if attempt is not None and attempt.started_at is None:
            self.host.handle(
                AttemptStarted(
                    request_id=self.request.request_id, attempt=self.attempt
                )
            )

    def observe_gap(self, seconds: float) -> None:
        """Observes a time between tokens.

        The histogram of the model is looked up once for each request, as the
        lookup by labels costs more than the observation.
        """
        if self.gaps is not None:
            self.gaps.observe(seconds)
            return
        metric = self.host.metrics.token_gap
        labels = {"model": self.request.model}
        metric.observe(labels, seconds)
        self.gaps = metric.get_value(labels)


class ServiceSession(Session):
    """A call of a plain service.

    Args:
        host: The daemon.
        request: The request.
        span: Span of the entry hop.
        body: The caller's JSON body.
    """

    def __init__(
        self,
        *,
        host: SessionHost,
        request: Request,
        span: trace.Span,
        body: bytes,
    ) -> None:
        super().__init__(host=host, request=request, span=span)
        self.body = body
        self.answer: ServiceAnswer | None = None

    async def execute(
        self, dispatch: Dispatch, span: trace.Span
    ) -> AttemptSucceeded | AttemptFailed:
        """Calls the operation once."""
        request = self.request
        self.answer = await self.host.services.call(
            ServiceOrder(
                request_id=request.request_id,
                attempt=dispatch.attempt,
                target_id=dispatch.chain[0].target_id,
                address=dispatch.chain[0].address,
                operation=request.operation,
                body=self.body,
                repeatable=request.repeatable,
                deadline_s=request.deadline - time.monotonic(),
                account=self.host.open_account(request, dispatch.attempt),
                priority=request.priority,
                trace_headers=self.host.traces.inject(span),
            )
        )
        return AttemptSucceeded(
            request_id=request.request_id, attempt=dispatch.attempt
        )


def describe_outcome(event: AttemptSucceeded | AttemptFailed) -> str:
    """Returns the outcome of an attempt for the accounts."""
    if isinstance(event, AttemptSucceeded):
        return "done"
    return event.provenance.value
