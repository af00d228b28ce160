"""Sessions that execute chat completions."""

from collections.abc import AsyncGenerator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import time

from aioprometheus.collectors import Histogram
from opentelemetry import trace

from rattanroute.actions import ReplaceStage
from rattanroute.clients.attempts import AttemptSpec
from rattanroute.clients.attempts import TokenChunk
from rattanroute.clients.attempts import Usage
from rattanroute.clients.stage_sockets import FailureKind
from rattanroute.clients.stages import StageFailure
from rattanroute.events import AttemptFailed
from rattanroute.events import AttemptStarted
from rattanroute.events import AttemptSucceeded
from rattanroute.events import AttemptSuspected
from rattanroute.events import StageDegraded
from rattanroute.logs import get_logger
from rattanroute.requests.attempt_runs import AttemptRun
from rattanroute.requests.sessions import Session
from rattanroute.requests.sessions import SessionHost
from rattanroute.tables.requests import Request

FIRST_TOKEN_TIMEOUT_SECONDS = 20.0
TOKEN_TIMEOUT_SECONDS = 3.0

log = get_logger(__name__)
TokenWriter = Callable[[str], Awaitable[None]]


class ChatSession(Session):
    """Executes a chat completion.

    Args:
        host: The daemon.
        request: The request.
        span: Trace span of the entry hop.
        body: The decoded body of the caller's request.
        write: Sends a token of a stream to the caller; called once for each
            token, in order.
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
        self.gap_histogram: Histogram | None = None
        self.usage = Usage()
        self.is_complete = False

    async def execute(
        self, run: AttemptRun, span: trace.Span
    ) -> AttemptSucceeded | AttemptFailed:
        """Runs one attempt; writes its tokens or buffers them until its end."""
        run.tokens = self.copy_silent_tokens()
        spec = self.build_spec(run, span)
        usage = Usage()
        write_token = (
            self.write_token if self.request.stream else self.buffer_token
        )
        # Closing the run cancels the attempt on its targets immediately.
        async with contextlib.aclosing(self.open_run(spec, run)) as chunks:
            async for chunk in chunks:
                if isinstance(chunk, TokenChunk):
                    await write_token(run, chunk.text)
                else:
                    usage = chunk
        # Two attempts may end in the same iteration of the event loop; the
        # answer of the first one is used.
        if not self.is_complete:
            self.is_complete = True
            # Those of a stream were added when they were written.
            self.tokens += run.tokens
            self.usage = usage
        return AttemptSucceeded(
            request_id=self.request.request_id,
            attempt=run.attempt,
            tokens_in=usage.tokens_in,
            tokens_out=run.unreported_tokens,
        )

    def copy_silent_tokens(self) -> list[str]:
        """Returns the buffered tokens that a new attempt can continue.

        The most tokens of a silent attempt are taken; it goes on as well.
        """
        buffers = [run.tokens for run in self.runs if run.silent]
        return list(max(buffers, key=len, default=()))

    def open_run(
        self, spec: AttemptSpec, run: AttemptRun
    ) -> AsyncGenerator[TokenChunk | Usage, None]:
        """Opens a run on a whole-model engine or on a chain of stages."""
        chain = run.dispatch.chain
        if len(chain) == 1:
            return self.host.engines.run(spec)

        async def on_failure(failure: StageFailure) -> ReplaceStage | None:
            return self.replace_stage(run, failure)

        return self.host.pipelines.open(
            spec=spec, chain=chain, on_failure=on_failure
        ).run()

    def retain_tokens(self, run: AttemptRun) -> int:
        """Keeps the tokens of a failed attempt for the next one.

        The tokens are dropped when the answer is complete or another attempt
        is still running, as no attempt will then resume from them.
        """
        if self.request.stream:
            return run.unreported_tokens
        if self.is_complete or len(self.runs) > 1:
            return 0
        self.tokens += run.tokens
        return run.unreported_tokens

    def replace_stage(
        self, run: AttemptRun, failure: StageFailure
    ) -> ReplaceStage | None:
        """Requests a replacement of a failed or slow stage from the core.

        Returns:
            The replacement, or None if the core replaces no stage. For a
            failed stage the core then queues, retries or refuses the request;
            any resulting action is in the inbox.
        """
        log.warning(
            "stage failed",
            request_id=self.request.request_id,
            attempt=run.attempt,
            peer=failure.hop.target_id,
            kind=failure.kind.value,
            reason=failure.error.message,
        )
        run.replacement = None
        self.replacing_run = run
        self.host.handle(self.describe_stage_failure(run, failure))
        self.replacing_run = None
        action = run.replacement
        if action is not None:
            run.attempt = action.attempt
            run.replacements += action.hops
            run.unreported_tokens = 0
            run.has_started = False
            names = ",".join(hop.target_id for hop in action.hops)
            self.route.append(f"{failure.hop.target_id}={names}")
        return action

    def describe_stage_failure(
        self, run: AttemptRun, failure: StageFailure
    ) -> AttemptFailed | StageDegraded:
        """Builds the event that reports a failed or slow stage to the core."""
        request_id = self.request.request_id
        target_id = failure.hop.target_id
        if failure.kind in (FailureKind.DEGRADED, FailureKind.TIMEOUT):
            return StageDegraded(
                request_id=request_id,
                attempt=run.attempt,
                target_id=target_id,
                silent=failure.kind is FailureKind.TIMEOUT,
                tokens_out=run.unreported_tokens,
            )
        return AttemptFailed(
            request_id=request_id,
            attempt=run.attempt,
            target_id=target_id,
            provenance=failure.error.provenance,
            crashed=failure.error.crashed,
            reason=failure.error.message,
            retry_after_s=failure.error.retry_after_s,
            tokens_out=run.unreported_tokens,
        )

    def build_spec(self, run: AttemptRun, span: trace.Span) -> AttemptSpec:
        """Builds the parameters of an attempt for the client."""
        request = self.request
        dispatch = run.dispatch
        return AttemptSpec(
            request_id=request.request_id,
            attempt=dispatch.attempt,
            target_id=dispatch.chain[0].target_id,
            address=dispatch.chain[0].address,
            body=self.body,
            resume_tokens=(*self.tokens, *run.tokens),
            deadline_s=request.deadline - time.monotonic(),
            first_token_timeout_s=FIRST_TOKEN_TIMEOUT_SECONDS,
            token_timeout_s=TOKEN_TIMEOUT_SECONDS,
            priority=request.priority,
            account=self.host.open_account(request, dispatch.attempt),
            trace_headers=self.host.traces.inject(span),
            on_silence=lambda: self.report_silence(run),
        )

    def report_silence(self, run: AttemptRun) -> None:
        """Reports to the core that the target of an attempt is silent."""
        log.warning(
            "no token in time",
            request_id=self.request.request_id,
            attempt=run.attempt,
            peer=run.first_target_id,
            tokens=run.total_tokens,
        )
        # The next token is reported again.
        run.has_started = False
        run.silent = True
        self.host.handle(
            AttemptSuspected(
                request_id=self.request.request_id,
                attempt=run.attempt,
                target_id=run.first_target_id,
            )
        )

    async def write_token(self, run: AttemptRun, text: str) -> None:
        """Counts a token and writes it to the caller.

        Raises:
            TimeoutError: If another attempt continues the stream. The attempt
                may have read further tokens before it is interrupted.
        """
        if run.attempt in self.cancelled:
            raise TimeoutError
        self.observe_token(run)
        self.tokens.append(text)
        await self.write(text)

    async def buffer_token(self, run: AttemptRun, text: str) -> None:
        """Counts a token and buffers it until the answer is complete."""
        self.observe_token(run)
        run.tokens.append(text)

    def observe_token(self, run: AttemptRun) -> None:
        """Counts a token, records its latency and reports the first one."""
        now = time.monotonic()
        if self.last_token_at == 0.0:
            self.host.metrics.first_token.observe(
                {"model": self.request.model}, now - self.request.arrived_at
            )
        else:
            self.observe_gap(now - self.last_token_at)
        self.last_token_at = now
        run.count_token()
        run.silent = False
        if not run.has_started:
            run.has_started = True
            self.host.handle(
                AttemptStarted(
                    request_id=self.request.request_id, attempt=run.attempt
                )
            )

    def observe_gap(self, seconds: float) -> None:
        """Records the time between two tokens.

        The histogram of the model is looked up once per request, as the
        lookup by labels costs more than the observation.
        """
        if self.gap_histogram is not None:
            self.gap_histogram.observe(seconds)
            return
        metric = self.host.metrics.token_gap
        labels = {"model": self.request.model}
        metric.observe(labels, seconds)
        self.gap_histogram = metric.get_value(labels)
