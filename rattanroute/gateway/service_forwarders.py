"""Forwards requests to plain services and returns complete answers."""

import asyncio
import dataclasses

from rattanroute.errors import RouterError
from rattanroute.gateway.calls import Call
from rattanroute.gateway.crash_detectors import BANNED_REASON
from rattanroute.gateway.crash_detectors import CrashDetector
from rattanroute.gateway.header_codecs import AnswerMetadata
from rattanroute.gateway.header_codecs import HeaderCodec
from rattanroute.gateway.header_codecs import UpstreamMetadata
from rattanroute.gateway.outcomes import Answered
from rattanroute.gateway.outcomes import CallFinisher
from rattanroute.gateway.outcomes import NotRun
from rattanroute.gateway.outcomes import Outcome
from rattanroute.gateway.outcomes import Unknown
from rattanroute.gateway.send_budgets import SendBudget
from rattanroute.gateway.target_selectors import TargetSelector
from rattanroute.http1.clients import ClientConnection
from rattanroute.http1.clients import CollectingSink
from rattanroute.http1.clients import ConnectError
from rattanroute.http1.clients import ConnectionPool
from rattanroute.http1.heads import ResponseHead
from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetReport
from rattanroute.tasks import wait_for_reply

# Connecting within a region takes a few milliseconds.
CONNECT_TIMEOUT_SECONDS = 0.25
MAX_SENDS = 4
# Fraction of the time left that the first attempt of a repeatable request may
# take, so that there is time for a retry.
FIRST_ATTEMPT_FRACTION = 0.4
MAX_ANSWER_BYTES = 16_777_216
ANSWER_AFTER_DEADLINE_SECONDS = 0.05

# By protocol, these statuses mean that the request did not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
MISDIRECTED = 421
FIRST_FAILURE_STATUS = 500


@dataclasses.dataclass(kw_only=True, slots=True)
class ServiceForwarder:
    """Sends a call to one target after another while retries are allowed.

    Attributes:
        codec: Header codec of the deployment.
        pool: Connections to targets.
        selector: Selects targets.
        budget: Retry budget.
        finisher: Refuses calls without an answer and logs outcomes.
        crashes: Detects requests that crash targets.
    """

    codec: HeaderCodec
    pool: ConnectionPool
    selector: TargetSelector
    budget: SendBudget
    finisher: CallFinisher
    crashes: CrashDetector

    async def forward(self, call: Call) -> None:
        """Sends a call to targets and answers the client."""
        call.exchange.on_disconnect = asyncio.current_task().cancel
        with self.finisher.log_disconnects(call):
            await self.send_until_answered(call)

    async def send_until_answered(self, call: Call) -> None:
        """Sends a call to targets until one answers or none may be tried."""
        loop = asyncio.get_running_loop()
        excluded: set[str] = set()
        failed: Answered | None = None
        timed_out = False
        reason = "no target"
        ban = None
        while self.may_send(call, loop.time()):
            ban = await self.crashes.find_ban(call)
            if ban is not None:
                reason = BANNED_REASON
                break
            target = self.selector.choose(
                call.service.name, excluded=excluded, now=loop.time()
            )
            if target is None or not self.budget.take(call, loop.time()):
                break
            excluded.add(target.report.target_id)
            outcome = await self.attempt(call, target)
            if isinstance(outcome, Answered):
                if outcome.head.status < FIRST_FAILURE_STATUS or not (
                    call.route.repeatable
                ):
                    self.answer(call, outcome)
                    return
                failed = outcome
                reason = f"status {outcome.head.status}"
            else:
                reason = outcome.reason
                if isinstance(outcome, Unknown):
                    timed_out = outcome.timed_out
            call.failures.append(reason)
        if failed is not None:
            self.answer(call, failed)
            return
        available_at = ban.until if ban is not None else None
        if available_at is None and not self.selector.has_usable(
            call.service.name, loop.time()
        ):
            available_at = self.selector.find_pause_end(
                call.service.name, loop.time()
            )
        self.finisher.refuse(
            call, reason, timed_out=timed_out, available_at=available_at
        )

    def may_send(self, call: Call, now: float) -> bool:
        """Returns whether another attempt is allowed."""
        if call.sends >= MAX_SENDS or call.time_left(now) <= 0:
            return False
        if len(call.possible_runners) >= call.route.max_attempts:
            return False
        return call.route.repeatable or not call.may_have_run

    async def attempt(self, call: Call, target: Target) -> Outcome:
        """Sends a call to a target and records the outcome."""
        targets = self.selector.targets
        report = target.report
        target_id = report.target_id
        loop = asyncio.get_running_loop()
        call.sends += 1
        call.targets.append(target_id)
        targets.note_dispatch(target_id, loop.time())
        try:
            outcome = await self.exchange(call, target)
        finally:
            targets.note_end(target_id, loop.time())
        self.note_health(target_id, outcome, loop.time())
        if not isinstance(outcome, NotRun):
            call.possible_runners.add(target_id)
            call.may_have_run = True
        if isinstance(outcome, Unknown):
            self.crashes.note_lost(call, (report,), outcome)
        return outcome

    def note_health(self, target_id: str, outcome: Outcome, now: float) -> None:
        """Updates the health of a target from the outcome of an attempt."""
        match outcome:
            case Answered(head=head) if head.status < FIRST_FAILURE_STATUS:
                self.selector.note_success(target_id, now)
            case NotRun(reason="full"):
                pass
            case NotRun(reason="connect" | "another target"):
                self.selector.note_failure(target_id, now=now, crashed=True)
            case Unknown():
                self.selector.note_failure(target_id, now=now)

    async def exchange(self, call: Call, target: Target) -> Outcome:
        """Sends a call over a connection and waits for the answer."""
        loop = asyncio.get_running_loop()
        report = target.report
        remaining_s = call.time_left(loop.time())
        repeatable = call.route.repeatable
        try:
            connection = await self.pool.take(
                report.address,
                timeout_s=min(CONNECT_TIMEOUT_SECONDS, remaining_s),
                fresh=not repeatable,
            )
        except ConnectError:
            return NotRun(reason="connect")
        remaining_s = call.time_left(loop.time())
        if remaining_s <= 0:
            self.pool.put(connection)
            return NotRun(reason="no time left")
        upstream = UpstreamMetadata(
            target_id=report.target_id,
            time_left_s=remaining_s,
            workspace=call.workspace,
        )
        request = call.exchange.request
        head = self.codec.build_request(request.head, upstream)
        wait = remaining_s + ANSWER_AFTER_DEADLINE_SECONDS
        if (
            repeatable
            and len(call.possible_runners) + 1 < call.route.max_attempts
        ):
            wait = max(call.route.goal_s, FIRST_ATTEMPT_FRACTION * remaining_s)
        sink = CollectingSink(max_bytes=MAX_ANSWER_BYTES)
        try:
            connection.send(head, request.body, sink)
            await wait_for_reply(sink.done, wait)
        except TimeoutError:
            return Unknown(reason="no answer in time", timed_out=True)
        except asyncio.CancelledError:
            call.may_have_run = True
            raise
        except RouterError as error:
            return Unknown(reason=error.message)
        finally:
            release(connection, sink)
            self.record_metadata(report, sink)
        return self.classify_answer(call, connection, sink)

    def record_metadata(
        self, report: TargetReport, sink: CollectingSink
    ) -> None:
        """Passes the metadata of an answer's head, if any, to the selector."""
        # A misdirected request was answered by another target at the address.
        if sink.head is None or sink.head.status == MISDIRECTED:
            return
        metadata = self.codec.read_answer(sink.head)
        now = asyncio.get_running_loop().time()
        self.selector.note_answer(report, metadata, now)

    def classify_answer(
        self, call: Call, connection: ClientConnection, sink: CollectingSink
    ) -> Outcome:
        """Determines the outcome of an attempt from a complete answer."""
        head = sink.head
        metadata = self.codec.read_answer(head)
        if head.status == MISDIRECTED:
            return NotRun(reason="another target")
        if metadata.not_run:
            return NotRun(reason="full")
        fault = find_answer_fault(head, metadata, call.metadata.request_id)
        if fault:
            # Further data on the connection may also belong to another request.
            connection.close()
            return Unknown(reason=fault)
        return Answered(head=head, body=sink.body)

    def answer(self, call: Call, outcome: Answered) -> None:
        """Returns a target's answer to the client."""
        head: ResponseHead = self.codec.build_answer(outcome.head)
        call.exchange.send(head, outcome.body)
        self.finisher.log(call, head.status, "answered")
        if head.status < FIRST_FAILURE_STATUS:
            self.crashes.note_answered(call)


def release(connection: ClientConnection, sink: CollectingSink) -> None:
    """Releases a connection after an exchange.

    A complete answer has already returned it to the pool.
    """
    if connection.sink is sink:
        connection.cancel()
    if sink.done.done() and not sink.done.cancelled():
        # Marks the exception as retrieved; the code that awaited it handled it.
        sink.done.exception()


def find_answer_fault(
    head: ResponseHead, metadata: AnswerMetadata, request_id: str
) -> str:
    """Returns why an answer must not reach the client; empty if it may."""
    if metadata.request_id != request_id:
        return "answer to another request"
    if head.status in NOT_RUN_STATUSES:
        return f"status {head.status} without a promise"
    if head.status < FIRST_FAILURE_STATUS and not metadata.stamped:
        return "unsigned answer"
    return "encoded answer" if metadata.encoded else ""
