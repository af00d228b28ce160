"""Forwards requests to plain services and returns complete answers."""

import asyncio
import collections
import dataclasses

from rattanroute.errors import RouterError
from rattanroute.gateway.calls import Call
from rattanroute.gateway.calls import NO_CONNECTION
from rattanroute.gateway.crash_detectors import BANNED_REASON
from rattanroute.gateway.crash_detectors import CrashDetector
from rattanroute.gateway.header_codecs import AnswerMetadata
from rattanroute.gateway.header_codecs import HeaderCodec
from rattanroute.gateway.header_codecs import UpstreamMetadata
from rattanroute.gateway.outcomes import Answered
from rattanroute.gateway.outcomes import CallFinisher
from rattanroute.gateway.outcomes import MISDIRECTED
from rattanroute.gateway.outcomes import NotRun
from rattanroute.gateway.outcomes import Outcome
from rattanroute.gateway.outcomes import Unknown
from rattanroute.gateway.send_budgets import SendBudget
from rattanroute.gateway.service_attempts import ServiceAttempt
from rattanroute.gateway.service_attempts import ServiceRun
from rattanroute.gateway.service_hedges import ServiceHedger
from rattanroute.gateway.stream_events import ends_event
from rattanroute.gateway.stream_events import is_event_stream
from rattanroute.gateway.target_selectors import LIMIT_POLL_SECONDS
from rattanroute.gateway.target_selectors import MAX_LIMIT_WAIT_SECONDS
from rattanroute.gateway.target_selectors import TargetSelector
from rattanroute.http1.clients import ConnectError
from rattanroute.http1.clients import ConnectionPool
from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.response_sinks import CollectingSink
from rattanroute.systems.target_limits import LIMITED_REASON
from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetReport
from rattanroute.tasks import wait_for_reply

# Connecting within a region takes a few milliseconds.
CONNECT_TIMEOUT_SECONDS = 0.25
MAX_SENDS = 4
# Fraction of the time left after which a repeatable request is sent to another
# target as well, so that there is time for its answer.
FIRST_ATTEMPT_FRACTION = 0.4
MAX_ANSWER_BYTES = 16_777_216
ANSWER_AFTER_DEADLINE_SECONDS = 0.05

# By protocol, these statuses mean that the request did not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
UNNAMED_REASON = "answer without an identifier on a kept connection"
LINK_LOST_REASON = "the link to the target was lost"
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
        hedger: Starts second attempts of late calls; None for no hedging.
        waiting: Number of calls that wait for the limits of targets, by
            service.
        runs: Open calls with their attempts.
    """

    codec: HeaderCodec
    pool: ConnectionPool
    selector: TargetSelector
    budget: SendBudget
    finisher: CallFinisher
    crashes: CrashDetector
    hedger: ServiceHedger | None = None
    waiting: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    runs: set[ServiceRun] = dataclasses.field(default_factory=set)

    async def forward(self, call: Call) -> None:
        """Sends a call to targets and answers the client."""
        call.exchange.on_disconnect = asyncio.current_task().cancel
        with self.finisher.log_disconnects(call):
            await self.send_until_answered(call)

    async def send_until_answered(self, call: Call) -> None:
        """Sends a call to targets until one answers or none may be tried."""
        run = ServiceRun(call=call)
        if self.hedger is not None:
            self.hedger.policy.note_call(call)
        self.runs.add(run)
        try:
            outcome = await self.run_attempts(run)
            if outcome is not None:
                self.answer(call, outcome)
            else:
                self.refuse(run)
        finally:
            self.runs.discard(run)
            run.cancel()
            call.exchange.call_when_written(run.release_answers)

    async def run_attempts(self, run: ServiceRun) -> Answered | None:
        """Runs attempts until one has answered; returns the best answer."""
        loop = asyncio.get_running_loop()
        while True:
            if run.needs_attempt:
                self.start(run)
            if not run.attempts:
                return run.failed
            left = run.call.time_left(loop.time())
            if run.failed is not None and left <= 0:
                return run.failed
            await run.wait(left if run.failed is not None else None)
            ended = run.take_ended()
            answers = [self.collect(run, attempt) for attempt in ended]
            for attempt, answered in zip(ended, answers, strict=True):
                if answered is None:
                    continue
                if self.hedger is not None:
                    self.hedger.note_answer(run, attempt)
                return answered

    def start(self, run: ServiceRun) -> None:
        """Starts an attempt at a target that is still to be chosen."""
        if not self.may_send(run.call, asyncio.get_running_loop().time()):
            run.exhausted = True
            return
        attempt = ServiceAttempt()
        attempt.task = asyncio.create_task(self.try_target(run, attempt))
        run.add(attempt)

    def hedge(self, run: ServiceRun, first: ServiceAttempt) -> None:
        """Sends a call that takes long to a second target, if that is allowed.

        Args:
            run: The call with its attempts.
            first: Its only attempt, which goes on.
        """
        waiting = self.waiting[run.call.service.name]
        if run not in self.runs or not self.may_send_beside(run.call):
            return
        target = self.hedger.choose(run, first, waiting=waiting)
        if target is None:
            return
        run.excluded.add(target.report.target_id)
        attempt = ServiceAttempt(report=target.report, hedge=True)
        attempt.task = asyncio.create_task(self.attempt(run, attempt))
        run.add(attempt)

    def collect(
        self, run: ServiceRun, attempt: ServiceAttempt
    ) -> Answered | None:
        """Records the end of an attempt; returns an answer for the client."""
        outcome = attempt.task.result()
        if outcome is None:
            run.exhausted = True
            return None
        self.record(run, attempt, outcome)
        if isinstance(outcome, Answered):
            is_failure = outcome.head.status >= FIRST_FAILURE_STATUS
            if not is_failure or not run.call.route.repeatable:
                return outcome
            run.failed = outcome
            run.note_failure(f"status {outcome.head.status}")
            return None
        if isinstance(outcome, Unknown):
            run.timed_out = outcome.timed_out
        run.note_failure(outcome.reason)
        return None

    def refuse(self, run: ServiceRun) -> None:
        """Refuses a call that no target answered."""
        call = run.call
        now = asyncio.get_running_loop().time()
        available_at = run.ban.until if run.ban is not None else None
        if available_at is None and not self.selector.has_usable(
            call.service.name, now
        ):
            available_at = self.selector.find_pause_end(call.service.name, now)
        if run.reason == LIMITED_REASON:
            available_at = now + self.selector.estimate_limit_wait(
                call.service.name,
                excluded=run.excluded,
                waiting=self.waiting[call.service.name],
                now=now,
            )
        self.finisher.refuse(
            call,
            run.reason,
            timed_out=run.timed_out,
            available_at=available_at,
        )

    async def try_target(
        self, run: ServiceRun, attempt: ServiceAttempt
    ) -> Outcome | None:
        """Chooses a target and sends the call to it.

        Returns:
            The outcome; None if no target may be tried.
        """
        call = run.call
        loop = asyncio.get_running_loop()
        run.ban = await self.crashes.find_ban(call)
        if run.ban is not None:
            run.reason = BANNED_REASON
            return None
        target = await self.choose_target(run)
        # The waits may have taken the rest of the time.
        if target is None or not self.may_send(call, loop.time()):
            return None
        if not self.budget.take(call, loop.time()):
            return None
        run.excluded.add(target.report.target_id)
        attempt.report = target.report
        return await self.attempt(run, attempt)

    async def choose_target(self, run: ServiceRun) -> Target | None:
        """Returns a target for the next attempt; None if there is none.

        If all targets are at the limits that they name, the call waits, unless
        those that wait already use up what this VM may send meanwhile.
        """
        service = run.call.service.name
        loop = asyncio.get_running_loop()
        wait_until = loop.time() + MAX_LIMIT_WAIT_SECONDS
        waiting = self.waiting[service]
        self.waiting[service] += 1
        try:
            while True:
                now = loop.time()
                target = self.selector.choose(
                    service,
                    excluded=run.excluded,
                    demanded=run.demanded,
                    now=now,
                )
                if target is not None:
                    return target
                wait_s = self.selector.estimate_limit_wait(
                    service, excluded=run.excluded, waiting=waiting, now=now
                )
                if not wait_s:
                    return None
                if now + wait_s > min(wait_until, run.call.deadline):
                    if not run.call.sends:
                        run.reason = LIMITED_REASON
                    return None
                await asyncio.sleep(LIMIT_POLL_SECONDS)
        finally:
            self.waiting[service] -= 1

    def may_send(self, call: Call, now: float) -> bool:
        """Returns whether another attempt is allowed."""
        if call.sends >= MAX_SENDS or call.time_left(now) <= 0:
            return False
        if len(call.possible_runners) >= call.route.max_attempts:
            return False
        return call.route.repeatable or not call.may_have_run

    async def attempt(
        self, run: ServiceRun, attempt: ServiceAttempt
    ) -> Outcome:
        """Sends a call to a target while it counts as running there."""
        call = run.call
        targets = self.selector.targets
        target_id = attempt.report.target_id
        loop = asyncio.get_running_loop()
        call.sends += 1
        call.targets.append(target_id)
        targets.note_dispatch(target_id, loop.time())
        try:
            return await self.exchange(run, attempt)
        finally:
            targets.note_end(target_id, loop.time())

    def record(
        self, run: ServiceRun, attempt: ServiceAttempt, outcome: Outcome
    ) -> None:
        """Records the outcome of an attempt for later decisions."""
        report = attempt.report
        if isinstance(outcome, NotRun):
            run.note_not_run(report)
        else:
            run.note_possible_run(report)
        if attempt.late and isinstance(outcome, Unknown) and outcome.timed_out:
            # Recorded when the attempt became late.
            return
        now = asyncio.get_running_loop().time()
        self.note_health(report.target_id, outcome, now)
        if isinstance(outcome, Unknown):
            self.crashes.note_lost(run.call, (report,), outcome)

    def suspect_direct_attempts(self) -> None:
        """Looks for other targets for the calls on lost direct links."""
        for run in self.runs:
            for attempt in run.attempts:
                connection = attempt.connection
                if connection is None or connection.tunnelled or attempt.late:
                    continue
                if self.may_send_beside(run.call):
                    attempt.late = True
                    run.note_failure(LINK_LOST_REASON)
                    run.note_possible_run(attempt.report)
                    run.changed.set()

    def may_send_beside(self, call: Call, *, others: int = 0) -> bool:
        """Returns whether an attempt may be started beside an open one.

        Args:
            call: The call.
            others: Number of further open attempts that are not late.
        """
        if not call.route.repeatable:
            return False
        runners = len(call.possible_runners) + 1 + others
        return runners < call.route.max_attempts

    def note_late(self, run: ServiceRun, attempt: ServiceAttempt) -> None:
        """Records that an attempt has no answer in its part of the time.

        It goes on, beside the attempt at another target.
        """
        attempt.late = True
        outcome = Unknown(reason="no answer in time", timed_out=True)
        run.timed_out = True
        run.note_failure(outcome.reason)
        run.note_possible_run(attempt.report)
        now = asyncio.get_running_loop().time()
        self.note_health(attempt.report.target_id, outcome, now)
        self.crashes.note_lost(run.call, (attempt.report,), outcome)
        run.changed.set()

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

    async def exchange(
        self, run: ServiceRun, attempt: ServiceAttempt
    ) -> Outcome:
        """Sends a call over a connection and waits for the answer."""
        call = run.call
        loop = asyncio.get_running_loop()
        report = attempt.report
        remaining_s = call.time_left(loop.time())
        repeatable = call.route.repeatable
        try:
            connection = await self.pool.take(
                report.address,
                timeout_s=min(CONNECT_TIMEOUT_SECONDS, remaining_s),
                identifier=call.metadata.request_id,
                # What broke one connection may have broken all idle ones.
                fresh=not repeatable or call.sends > 1,
            )
        except ConnectError:
            call.connections.append(NO_CONNECTION)
            return NotRun(reason="connect")
        call.connections.append(connection.describe_use())
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
        sink = CollectingSink(
            connection=connection,
            buffers=self.pool.buffers,
            max_bytes=MAX_ANSWER_BYTES,
            expects=lambda head: self.codec.read_answer(head).may_answer(
                call.metadata.request_id
            ),
        )
        run.sinks.append(sink)
        timers = self.start_timers(run, attempt, remaining_s)
        try:
            attempt.connection = connection
            call.dispatches += 1
            connection.send(head, request.body, sink)
            self.selector.limiter.note_send(report.target_id, loop.time())
            attempt.sent = True
            attempt.sent_at = loop.time()
            await wait_for_reply(
                sink.done, remaining_s + ANSWER_AFTER_DEADLINE_SECONDS
            )
        except TimeoutError:
            return Unknown(reason="no answer in time", timed_out=True)
        except RouterError as error:
            return Unknown(reason=error.message)
        finally:
            for timer in timers:
                timer.cancel()
            if connection.sink is sink:
                connection.cancel()
            self.record_metadata(report, sink)
        return self.classify_answer(call, sink)

    def start_timers(
        self, run: ServiceRun, attempt: ServiceAttempt, remaining_s: float
    ) -> list[asyncio.TimerHandle]:
        """Starts the timers of an attempt that is about to be sent.

        Args:
            run: The call with its attempts.
            attempt: The attempt.
            remaining_s: Time left of the call, in seconds.
        """
        call = run.call
        timers = []
        loop = asyncio.get_running_loop()
        # The first attempt of a hedge may run as well.
        others = sum(not x.late for x in run.attempts) - 1
        if self.may_send_beside(call, others=others):
            part = max(call.route.goal_s, FIRST_ATTEMPT_FRACTION * remaining_s)
            timers.append(loop.call_later(part, self.note_late, run, attempt))
        if self.hedger is not None:
            timer = self.hedger.schedule(run, attempt, self.hedge)
            timers += [timer] if timer is not None else []
        return timers

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

    def classify_answer(self, call: Call, sink: CollectingSink) -> Outcome:
        """Determines the outcome of an attempt from a complete answer."""
        head = sink.head
        connection = sink.connection
        metadata = self.codec.read_answer(head)
        if not metadata.may_answer(call.metadata.request_id):
            return Unknown(reason="answer to another request")
        if not metadata.request_id and sink.reused:
            # It may be a second answer to an earlier request.
            connection.retire()
            return Unknown(reason=UNNAMED_REASON)
        if head.status == MISDIRECTED:
            return NotRun(reason="another target")
        if metadata.not_run:
            return NotRun(reason="full")
        fault = find_answer_fault(head, metadata, call.metadata.request_id)
        if not fault and is_event_stream(head) and not ends_event(sink.body):
            fault = "last event is incomplete"
        if fault:
            # Further data on the connection may also belong to another request.
            connection.retire()
            return Unknown(reason=fault)
        return Answered(head=head, body=sink.body)

    def answer(self, call: Call, outcome: Answered) -> None:
        """Returns a target's answer to the client."""
        head: ResponseHead = self.codec.build_answer(outcome.head)
        call.exchange.send(head, outcome.body)
        call.stamp = self.codec.read_answer(outcome.head).stamp
        self.finisher.log(call, head.status, "answered")
        if head.status < FIRST_FAILURE_STATUS:
            self.crashes.note_answered(call)


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
