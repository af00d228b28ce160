"""Sessions that execute calls of plain services."""

import time

from opentelemetry import trace

from rattanroute.clients.services import ServiceAnswer
from rattanroute.clients.services import ServiceCall
from rattanroute.events import AttemptFailed
from rattanroute.events import AttemptSucceeded
from rattanroute.requests.attempt_runs import AttemptRun
from rattanroute.requests.sessions import Session
from rattanroute.requests.sessions import SessionHost
from rattanroute.tables.requests import Request


class ServiceSession(Session):
    """Executes a call of a plain service.

    Args:
        host: The daemon.
        request: The request.
        span: Trace span of the entry hop.
        body: The JSON body of the caller's request.
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
        self, run: AttemptRun, span: trace.Span
    ) -> AttemptSucceeded | AttemptFailed:
        """Calls the operation once."""
        request = self.request
        dispatch = run.dispatch
        answer = await self.host.services.call(
            ServiceCall(
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
        # Of two concurrent attempts, the answer of the first to end is used.
        self.answer = self.answer or answer
        return AttemptSucceeded(
            request_id=request.request_id, attempt=dispatch.attempt
        )
