"""Forwards requests to plain services and returns whole answers."""

import asyncio
import dataclasses

from rattanroute.errors import RouterError
from rattanroute.gateway.calls import Call
from rattanroute.gateway.crashes import BANNED_REASON
from rattanroute.gateway.crashes import CrashObserver
from rattanroute.gateway.outcomes import Answered
from rattanroute.gateway.outcomes import CallEnder
from rattanroute.gateway.outcomes import NotRun
from rattanroute.gateway.outcomes import Outcome
from rattanroute.gateway.outcomes import Unknown
from rattanroute.gateway.selectors import TargetSelector
from rattanroute.gateway.sendbudgets import SendBudget
from rattanroute.gateway.terms import AnswerTerms
from rattanroute.gateway.terms import HeaderCodec
from rattanroute.gateway.terms import Upstream
from rattanroute.http1.clients import ClientConnection
from rattanroute.http1.clients import CollectingSink
from rattanroute.http1.clients import ConnectError
from rattanroute.http1.clients import ConnectionPool
from rattanroute.http1.heads import ResponseHead
from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetReport

# A connection within a region takes a few milliseconds.
CONNECT_SECONDS = 0.25
MAX_SENDS = 4
# Part of the time left that the first attempt of a repeatable request may
# take, so that there is time for another one.
FIRST_ATTEMPT_PART = 0.4
MAX_ANSWER_BYTES = 16_777_216
ANSWER_AFTER_DEADLINE_SECONDS = 0.05

# Statuses that promise that a request did not run and never will.
PROMISES = frozenset({408, 421, 429, 503})
MISDIRECTED = 421
FIRST_FAILURE_STATUS = 500


@dataclasses.dataclass(kw_only=True, slots=True)
class ServiceForwarder:
    """Sends calls to one target after the other while that is allowed.

    Attributes:
        codec: Headers of the deployment.
        pool: Connections to targets.
        selector: Choice of targets.
        budget: Attempts beyond the first.
        ender: Ends calls without an answer.
        crashes: Says which requests crash their targets.
    """

    codec: HeaderCodec
    pool: ConnectionPool
    selector: TargetSelector
    budget: SendBudget
    ender: CallEnder
    crashes: CrashObserver

    async def forward(self, call: Call) -> None:
        """Sends a call to targets and answers the caller."""
        call.exchange.on_disconnect = asyncio.current_task().cancel
        loop = asyncio.get_running_loop()
        excluded: set[str] = set()
        failed: Answered | None = None
        timed_out = False
        reason = "no target"
        banned_until = None
        while self.may_send(call, loop.time()):
            banned_until = await self.crashes.find_ban(call)
            if banned_until is not None:
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
        free_at = banned_until
        if free_at is None and not self.selector.has_usable(
            call.service.name, loop.time()
        ):
            free_at = self.selector.find_pause_end(
                call.service.name, loop.time()
            )
        self.ender.refuse(call, reason, timed_out=timed_out, free_at=free_at)

    def may_send(self, call: Call, now: float) -> bool:
        """Whether another attempt is allowed."""
        if call.sends >= MAX_SENDS or call.time_left(now) <= 0:
            return False
        if len(call.ran_on) >= call.route.max_attempts:
            return False
        return call.route.repeatable or not call.may_have_run

    async def attempt(self, call: Call, target: Target) -> Outcome:
        """Sends a call to a target and judges the answer."""
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
            call.ran_on.add(target_id)
            call.may_have_run = True
        if isinstance(outcome, Unknown):
            self.crashes.note_lost(call, (report,), outcome)
        return outcome

    def note_health(self, target_id: str, outcome: Outcome, now: float) -> None:
        """Learns from the outcome of an attempt."""
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
        left = call.time_left(loop.time())
        repeatable = call.route.repeatable
        try:
            connection = await self.pool.take(
                report.address,
                timeout_s=min(CONNECT_SECONDS, left),
                fresh=not repeatable,
            )
        except ConnectError:
            return NotRun(reason="connect")
        left = call.time_left(loop.time())
        if left <= 0:
            self.pool.put(connection)
            return NotRun(reason="no time left")
        upstream = Upstream(
            target_id=report.target_id,
            time_left_s=left,
            workspace=call.workspace,
        )
        request = call.exchange.request
        head = self.codec.build_request(request.head, upstream)
        wait = left + ANSWER_AFTER_DEADLINE_SECONDS
        if repeatable and len(call.ran_on) + 1 < call.route.max_attempts:
            wait = max(call.route.goal_s, FIRST_ATTEMPT_PART * left)
        sink = CollectingSink(max_bytes=MAX_ANSWER_BYTES)
        try:
            connection.send(head, request.body, sink)
            async with asyncio.timeout(wait):
                await sink.done
        except TimeoutError:
            return Unknown(reason="no answer in time", timed_out=True)
        except RouterError as error:
            return Unknown(reason=error.message)
        finally:
            release(connection, sink)
            self.note_terms(report, sink)
        return self.judge(call, connection, sink)

    def note_terms(self, report: TargetReport, sink: CollectingSink) -> None:
        """Heeds what the head of an answer says of its target, if it came."""
        # Another target at the address answers a misdirected request.
        if sink.head is None or sink.head.status == MISDIRECTED:
            return
        terms = self.codec.read_answer(sink.head)
        now = asyncio.get_running_loop().time()
        self.selector.note_answer(report, terms, now)

    def judge(
        self, call: Call, connection: ClientConnection, sink: CollectingSink
    ) -> Outcome:
        """Decides what a whole answer means."""
        head = sink.head
        terms = self.codec.read_answer(head)
        if head.status == MISDIRECTED:
            return NotRun(reason="another target")
        if terms.not_run:
            return NotRun(reason="full")
        fault = find_fault(head, terms, call.terms.request_id)
        if fault:
            # What else comes on it may belong to another request, too.
            connection.close()
            return Unknown(reason=fault)
        return Answered(head=head, body=sink.body)

    def answer(self, call: Call, outcome: Answered) -> None:
        """Returns a target's answer to the caller."""
        head: ResponseHead = self.codec.build_answer(outcome.head)
        call.exchange.send(head, outcome.body)
        self.ender.log(call, head.status, "answered")
        if head.status < FIRST_FAILURE_STATUS:
            self.crashes.note_answered(call)


def release(connection: ClientConnection, sink: CollectingSink) -> None:
    """Ends the use of a connection by an exchange.

    A whole answer has given it back already.
    """
    if connection.sink is sink:
        connection.cancel()
    if sink.done.done() and not sink.done.cancelled():
        # Marks the error as seen; it was handled where it was awaited.
        sink.done.exception()


def find_fault(head: ResponseHead, terms: AnswerTerms, request_id: str) -> str:
    """Returns why an answer must not reach the caller; empty if it may."""
    if terms.request_id != request_id:
        return "answer to another request"
    if head.status in PROMISES:
        return f"status {head.status} without a promise"
    if head.status < FIRST_FAILURE_STATUS and not terms.stamped:
        return "unsigned answer"
    return "encoded answer" if terms.encoded else ""
