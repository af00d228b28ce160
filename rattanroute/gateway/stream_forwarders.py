"""Forwards event streams of targets and resumes broken ones."""

import asyncio
from collections.abc import Collection
import dataclasses
import functools

from rattanroute.gateway.calls import Call
from rattanroute.gateway.chain_connectors import ChainConnector
from rattanroute.gateway.chain_finders import build_demand
from rattanroute.gateway.chain_finders import ChainFinder
from rattanroute.gateway.crash_detectors import BANNED_REASON
from rattanroute.gateway.crash_detectors import CrashDetector
from rattanroute.gateway.header_codecs import ChainHop
from rattanroute.gateway.header_codecs import HeaderCodec
from rattanroute.gateway.outcomes import Answered
from rattanroute.gateway.outcomes import CallFinisher
from rattanroute.gateway.outcomes import NotRun
from rattanroute.gateway.outcomes import Outcome
from rattanroute.gateway.outcomes import Unknown
from rattanroute.gateway.send_budgets import SendBudget
from rattanroute.gateway.service_forwarders import FIRST_FAILURE_STATUS
from rattanroute.gateway.service_forwarders import LINK_LOST_REASON
from rattanroute.gateway.stall_inspectors import StallInspector
from rattanroute.gateway.stream_attempts import StreamAttempt
from rattanroute.gateway.stream_attempts import StreamRun
from rattanroute.gateway.stream_health import StreamHealthRecorder
from rattanroute.gateway.stream_hedges import StreamHedger
from rattanroute.gateway.stream_sinks import OK
from rattanroute.gateway.stream_sinks import Shortage
from rattanroute.gateway.stream_sinks import StreamSink
from rattanroute.gateway.stream_sinks import StreamState
from rattanroute.gateway.target_probes import ProbeResult
from rattanroute.gateway.target_probes import TargetProbes
from rattanroute.gateway.target_selectors import TargetSelector
from rattanroute.gateway.upstream_metadata import build_stream_metadata
from rattanroute.http1.clients import ClientConnection
from rattanroute.http1.clients import ConnectionPool
from rattanroute.logs import get_logger

MAX_SENDS = 5
# A stream is inspected after this long without an event. Clients give up after
# about two seconds without an event, and recovery takes up to half a second.
FIRST_EVENT_SECONDS = 0.6
EVENT_GAP_SECONDS = 0.4
# Time after the deadline at which a stream is aborted.
DEADLINE_MARGIN_SECONDS = 0.1
# Interval of the search for another chain while all attempts are suspected.
SEARCH_INTERVAL_SECONDS = 0.2

log = get_logger(__name__)


@dataclasses.dataclass(kw_only=True, slots=True)
class StreamForwarder:
    """Sends calls over chains of targets until a stream is complete.

    Attributes:
        codec: Header codec of the deployment.
        pool: Connections to targets.
        selector: Health of targets.
        finder: Finds chains and counts their load.
        health: Records what attempts show about targets.
        budget: Retry budget.
        finisher: Refuses calls without an answer and logs outcomes.
        inspector: Finds the target at which a stream stalls.
        crashes: Detects requests that crash targets.
        probes: Checks whether suspected targets accept connections.
        hedger: Starts second attempts of late streams; None for no hedging.
        runs: Open calls with their attempts.
        connector: Opens connections for attempts.
    """

    codec: HeaderCodec
    pool: ConnectionPool
    selector: TargetSelector
    finder: ChainFinder
    health: StreamHealthRecorder
    budget: SendBudget
    finisher: CallFinisher
    inspector: StallInspector
    crashes: CrashDetector
    probes: TargetProbes
    hedger: StreamHedger | None = None
    runs: set[StreamRun] = dataclasses.field(default_factory=set)
    connector: ChainConnector = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.connector = ChainConnector(
            pool=self.pool, selector=self.selector, finder=self.finder
        )

    def suspect_attempts_at(self, target_id: str) -> None:
        """Looks for other chains for the streams at an unreachable target."""
        for run in self.runs:
            for attempt in run.attempts:
                if target_id in attempt.target_ids:
                    reason = f"target {target_id} is gone"
                    self.suspect(run, attempt, [target_id], reason)

    def suspect_direct_attempts(self) -> None:
        """Looks for other chains for the streams on lost direct links."""
        for run in self.runs:
            for attempt in run.attempts:
                if attempt.sink.connection.tunnelled:
                    continue
                # An engine runs a request identifier once.
                run.avoided.add(attempt.first_id)
                self.suspect(run, attempt, (), LINK_LOST_REASON)

    async def forward(self, call: Call) -> None:
        """Sends a call to engines and answers the client."""
        call.exchange.on_disconnect = asyncio.current_task().cancel
        run = StreamRun(call=call, state=StreamState(call=call))
        call.exchange.on_writable = run.resume_reading
        if self.hedger is not None:
            self.hedger.begin(run, self)
        self.runs.add(run)
        try:
            with self.finisher.log_disconnects(call), run.note_open_attempts():
                await self.send_until_answered(run)
        finally:
            run.cancel_hedge()
            self.runs.discard(run)
            for attempt in run.attempts:
                self.release(attempt)

    async def send_until_answered(self, run: StreamRun) -> None:
        """Sends a call over chains until a stream ends or none may be tried.

        A suspected attempt ends only when another one has sent an event, or
        by itself.
        """
        while True:
            if run.trusted is None and run.may_start:
                run.cancel_hedge()
                await self.start_replacement(run)
            if not run.attempts:
                break
            await self.watch(run)
            if self.collect(run):
                return
        if run.failure is not None:
            self.answer_failure(run.call, run.failure)
        else:
            self.refuse(run)

    def refuse(self, run: StreamRun) -> None:
        """Ends a call that no engine answered."""
        now = asyncio.get_running_loop().time()
        call = run.call
        available_at = run.ban.until if run.ban is not None else None
        if available_at is None and run.state.shortage is Shortage.LAYERS:
            available_at = self.selector.find_pause_end(call.service.name, now)
        if run.state.shortage is Shortage.LIMITS:
            available_at = now + self.finder.estimate_limit_wait(run)
        self.finisher.refuse(
            call,
            run.reason,
            timed_out=call.time_left(now) <= 0,
            available_at=available_at,
            queue_wait_s=self.finder.estimate_queue_wait(run),
        )

    async def start_replacement(self, run: StreamRun) -> None:
        """Starts an attempt, unless a suspected one goes on or ends first."""
        if not run.attempts:
            await self.start_attempt(run)
            return
        search = asyncio.create_task(self.start_attempt(run))
        try:
            while not search.done() and not run.is_answered:
                await run.wait(SEARCH_INTERVAL_SECONDS, search)
                for attempt in run.list_ended():
                    # Its room may be what the search waits for.
                    self.release(attempt)
        finally:
            if not search.cancel():
                search.result()

    async def start_attempt(self, run: StreamRun) -> None:
        """Sends a call over the next chain; sets `reason` if there is none."""
        call = run.call
        loop = asyncio.get_running_loop()
        while self.may_send(call, loop.time()):
            run.ban = await self.crashes.find_ban(call)
            chain = () if run.ban else await self.finder.find_chain(run)
            # The request may have been banned while it waited for a chain.
            run.ban = run.ban or self.crashes.check_ban(call)
            if run.ban is not None:
                run.reason = BANNED_REASON
                return
            if not chain:
                run.reason = run.reason or run.state.shortage
                return
            if not self.budget.take(call, loop.time()):
                if await self.connector.wait_for_budget(run):
                    continue
                run.reason = f"no budget to repeat after {call.failures[-1]}"
                return
            connection = await self.connect(run, chain)
            if connection is None:
                continue
            if run.is_answered:
                self.pool.put(connection)
            else:
                self.send(run, chain, connection)
            return

    def may_send(self, call: Call, now: float) -> bool:
        """Returns whether another attempt is allowed."""
        if call.sends >= MAX_SENDS or call.time_left(now) <= 0:
            return False
        return call.route.repeatable or not call.may_have_run

    async def connect(
        self, run: StreamRun, chain: tuple[ChainHop, ...]
    ) -> ClientConnection | None:
        """Connects to the first target of a chain; None if that fails."""
        return await self.connector.connect(run, chain)

    def send(
        self,
        run: StreamRun,
        chain: tuple[ChainHop, ...],
        connection: ClientConnection,
        *,
        hedge: bool = False,
    ) -> None:
        """Sends the request to the first target of a chain.

        Args:
            run: The call.
            chain: The chain.
            connection: A connection to its first target.
            hedge: Whether the first attempt, which is late, goes on.
        """
        call = run.call
        now = connection.loop.time()
        sink = StreamSink(
            state=run.state,
            codec=self.codec,
            connection=connection,
            buffers=self.pool.buffers,
            on_metadata=self.selector.build_recorder(chain[0].target_id),
            on_begun=lambda: self.note_begun(call, attempt),
        )
        demand = build_demand(call)
        attempt = StreamAttempt(
            chain=chain,
            sink=sink,
            tokens=demand.tokens,
            prompt_tokens=demand.prompt_tokens,
            sent_at=now,
            checked_at=now,
            hedge=hedge,
        )
        attempt.reports = self.crashes.list_reports(attempt.target_ids)
        request = call.exchange.request
        head = self.codec.build_request(
            request.head,
            build_stream_metadata(
                call,
                chain,
                last_event_id=run.state.last_event_id,
                now=now,
            ),
        )
        for other in list(run.attempts):
            # An engine runs a request identifier once.
            if other.unreachable or other.first_id == attempt.first_id:
                self.drop(run, other)
        run.add(attempt)
        if self.hedger is not None:
            self.hedger.watch(run, attempt)
        self.finder.add_load(attempt)
        self.selector.limiter.note_send(attempt.first_id, now)
        call.dispatches += 1
        connection.send(head, request.body, sink)

    def note_begun(self, call: Call, attempt: StreamAttempt) -> None:
        """Records the first event of an attempt."""
        self.finder.note_begun(attempt)
        self.crashes.note_begun(call)

    def drop(self, run: StreamRun, attempt: StreamAttempt) -> None:
        """Ends an attempt that will not be needed."""
        run.attempts.remove(attempt)
        attempt.sink.supersede()
        self.release(attempt)

    def drop_others(self, run: StreamRun) -> None:
        """Ends the open attempts of a request that a target found wrong."""
        if run.call.exchange.started:
            return
        for attempt in list(run.attempts):
            if not attempt.sink.ended.done():
                self.drop(run, attempt)

    def release(self, attempt: StreamAttempt) -> None:
        """Closes the connection of an attempt and subtracts its load."""
        connection = attempt.sink.connection
        # A complete answer has already returned the connection to the pool,
        # and another call may be using it.
        if connection.sink is attempt.sink:
            connection.cancel()
        attempt.sink.buffer.release()
        self.finder.subtract_load(attempt)

    async def watch(self, run: StreamRun) -> None:
        """Waits for a change of the attempts and inspects long pauses."""
        for attempt in run.attempts:
            if attempt.resumed:
                self.finder.add_load(attempt)
                self.health.note_resumed(attempt)
        if run.list_ended():
            return
        now = asyncio.get_running_loop().time()
        end = run.call.deadline + DEADLINE_MARGIN_SECONDS
        if now >= end:
            for attempt in run.attempts:
                attempt.sink.finish(Unknown(reason="deadline", timed_out=True))
            return
        attempt = run.trusted
        if attempt is None:
            end = min(end, run.hold_end)
            if now >= end:
                for attempt in run.attempts:
                    attempt.sink.finish(Unknown(reason=run.reason))
                return
            await run.wait(min(end - now, SEARCH_INTERVAL_SECONDS))
            return
        if now >= attempt.hedge_at:
            self.hedger.start(run, attempt, self)
        sink = attempt.sink
        limit = EVENT_GAP_SECONDS if sink.events else FIRST_EVENT_SECONDS
        due = max(sink.event_at, attempt.checked_at) + limit
        if now < due:
            await run.wait(min(end, due, attempt.hedge_at) - now)
        elif not run.call.exchange.writable:
            attempt.checked_at = now
        else:
            attempt.checked_at = now
            await self.inspect(run, attempt)

    async def inspect(self, run: StreamRun, attempt: StreamAttempt) -> None:
        """Suspects an attempt whose engine is silent for a wrong reason."""
        sink = attempt.sink
        event_at = sink.event_at
        stall = await self.inspector.find_stalled(
            run.call,
            attempt.chain,
            silent_s=attempt.checked_at - event_at,
            started=sink.events > 0,
        )
        # It may have gone on during the inspection.
        if not stall.target_ids or sink.event_at != event_at:
            return
        # A link that was lost meanwhile says nothing about its target.
        if sink.ended.done() or attempt.suspected:
            return
        for target_id in stall.target_ids:
            self.selector.note_failure(
                target_id, now=sink.loop.time(), crashed=stall.crashed
            )
        reason = "stalled at " + "+".join(stall.target_ids)
        self.suspect(run, attempt, stall.target_ids, reason)

    def suspect(
        self,
        run: StreamRun,
        attempt: StreamAttempt,
        target_ids: Collection[str],
        reason: str,
    ) -> None:
        """Marks an attempt, so that another one is started beside it."""
        if attempt.suspected or attempt.sink.ended.done():
            return
        attempt.suspected = True
        call = run.call
        log.info(
            "stream is suspected",
            request_id=call.metadata.request_id,
            reason=reason,
            events=call.events,
            silent=attempt.sink.loop.time() - attempt.sink.event_at,
            draining=call.exchange.draining_s,
        )
        run.avoided.update(target_ids)
        run.note_failure(reason)
        run.note_possible_run(attempt)
        self.health.note_lost(run, attempt, Unknown(reason=reason))
        if attempt.first_id not in target_ids:
            # The first engine itself says that it waits. Another chain may
            # begin there.
            self.finder.subtract_load(attempt)
        for hop in attempt.chain:
            if hop.target_id in target_ids:
                self.probes.probe(hop.address).add_done_callback(
                    functools.partial(self.note_probe, run, attempt, hop)
                )
        run.wake()

    def note_probe(
        self,
        run: StreamRun,
        attempt: StreamAttempt,
        hop: ChainHop,
        task: asyncio.Task[ProbeResult],
    ) -> None:
        """Makes room for the replacement of an attempt that cannot go on.

        Its chain has lost a target. Until it breaks off, its memory and its
        slot would be taken twice. A target that leaves as planned closes its
        listener, but finishes its open requests.
        """
        if task.cancelled() or task.result() is ProbeResult.CONNECTED:
            return
        refused = task.result() is ProbeResult.REFUSED
        if self.selector.is_leaving(hop.target_id):
            return
        if attempt not in run.attempts or not attempt.suspected:
            return
        self.finder.subtract_load(attempt)
        # A host that is only silent may go on, and its answer be the only one.
        attempt.unreachable = refused
        if refused and len(run.attempts) > 1:
            self.drop(run, attempt)

    def collect(self, run: StreamRun) -> bool:
        """Handles the attempts that have ended.

        Returns:
            Whether the client has the complete answer.
        """
        complete = False
        for attempt in run.list_ended():
            if attempt.resumed:
                self.finder.add_load(attempt)
                self.health.note_resumed(attempt)
            run.attempts.remove(attempt)
            self.release(attempt)
            outcome = attempt.sink.ended.result()
            if outcome is None:
                complete = True
                run.call.stamp = attempt.sink.metadata.stamp
                self.finisher.log(run.call, OK, "answered")
                self.crashes.note_answered(run.call)
            self.note_health(run, attempt, outcome)
        return complete

    def note_health(
        self, run: StreamRun, attempt: StreamAttempt, outcome: Outcome | None
    ) -> None:
        """Updates health and the targets that the next attempt avoids."""
        match outcome:
            case None:
                self.health.note_complete(attempt)
            case NotRun():
                run.note_failure(outcome.reason)
                run.note_not_run(attempt)
                self.health.note_not_run(run, attempt)
            case Answered():
                run.note_possible_run(attempt)
                run.failure = outcome
                if outcome.head.status < FIRST_FAILURE_STATUS:
                    self.drop_others(run)
            case Unknown():
                run.note_failure(outcome.reason)
                run.note_possible_run(attempt)
                if not outcome.timed_out:
                    self.health.avoid_gone(run, attempt)
                self.health.note_lost(run, attempt, outcome)

    def answer_failure(self, call: Call, outcome: Answered) -> None:
        """Returns a target's error answer to the client."""
        exchange = call.exchange
        if exchange.started:
            self.finisher.refuse(
                call, f"status {outcome.head.status}", timed_out=False
            )
            return
        status = outcome.head.status
        call.stamp = self.codec.read_answer(outcome.head).stamp
        exchange.send(self.codec.build_answer(outcome.head), outcome.body)
        is_failure = status >= FIRST_FAILURE_STATUS
        reason = "failed at the target" if is_failure else "answered"
        self.finisher.log(call, status, reason)
