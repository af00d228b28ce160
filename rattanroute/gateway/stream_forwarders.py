"""Forwards event streams of engines and resumes broken ones."""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
import dataclasses
import functools
import math

from rattanroute.gateway.calls import Call
from rattanroute.gateway.chain_queues import ChainQueue
from rattanroute.gateway.crash_detectors import BANNED_REASON
from rattanroute.gateway.crash_detectors import CrashDetector
from rattanroute.gateway.header_codecs import AnswerMetadata
from rattanroute.gateway.header_codecs import ChainHop
from rattanroute.gateway.header_codecs import HeaderCodec
from rattanroute.gateway.header_codecs import UpstreamMetadata
from rattanroute.gateway.outcomes import Answered
from rattanroute.gateway.outcomes import CallFinisher
from rattanroute.gateway.outcomes import NotRun
from rattanroute.gateway.outcomes import Outcome
from rattanroute.gateway.outcomes import Unknown
from rattanroute.gateway.send_budgets import SendBudget
from rattanroute.gateway.service_forwarders import FIRST_FAILURE_STATUS
from rattanroute.gateway.stall_inspectors import StallInspector
from rattanroute.gateway.stream_attempts import StreamAttempt
from rattanroute.gateway.stream_attempts import StreamRun
from rattanroute.gateway.stream_sinks import OK
from rattanroute.gateway.stream_sinks import Shortage
from rattanroute.gateway.stream_sinks import StreamSink
from rattanroute.gateway.stream_sinks import StreamState
from rattanroute.gateway.target_probes import ProbeResult
from rattanroute.gateway.target_probes import TargetProbes
from rattanroute.gateway.target_selectors import TargetSelector
from rattanroute.http1.clients import ClientConnection
from rattanroute.http1.clients import ConnectError
from rattanroute.http1.clients import ConnectionPool
from rattanroute.logs import get_logger
from rattanroute.systems.chain_choices import ChainChooser
from rattanroute.systems.chain_choices import RequestDemand
from rattanroute.systems.wait_queues import MAX_RESUME_WAIT_SECONDS
from rattanroute.systems.wait_queues import MAX_WAIT_SECONDS

# Connecting within a region takes a few milliseconds.
CONNECT_TIMEOUT_SECONDS = 0.25
MAX_SENDS = 5
# A stream is inspected after this long without an event. Clients give up after
# about two seconds without an event, and recovery takes up to half a second.
FIRST_EVENT_SECONDS = 0.6
EVENT_GAP_SECONDS = 0.4
# Time after the deadline at which a stream is aborted.
DEADLINE_MARGIN_SECONDS = 0.1
# If a target states that a request did not run only after this fraction of the
# engine's stall time, a target of its chain has failed rather than being full.
STALL_FRACTION = 0.8
# From an engine's stall time to its answer.
STALL_MARGIN_SECONDS = 0.25
# Interval of the search for another chain while all attempts are suspected.
SEARCH_INTERVAL_SECONDS = 0.2

log = get_logger(__name__)


@dataclasses.dataclass(kw_only=True, slots=True)
class StreamForwarder:
    """Sends calls over chains of engines until a stream is complete.

    Attributes:
        codec: Header codec of the deployment.
        pool: Connections to targets.
        selector: Health of targets.
        chooser: Selects chains.
        budget: Retry budget.
        finisher: Refuses calls without an answer and logs outcomes.
        inspector: Finds the target at which a stream stalls.
        crashes: Detects requests that crash targets.
        probes: Checks whether suspected targets accept connections.
        queue: Calls that wait for capacity.
        runs: Open calls with their attempts.
    """

    codec: HeaderCodec
    pool: ConnectionPool
    selector: TargetSelector
    chooser: ChainChooser
    budget: SendBudget
    finisher: CallFinisher
    inspector: StallInspector
    crashes: CrashDetector
    probes: TargetProbes
    queue: ChainQueue = dataclasses.field(default_factory=ChainQueue)
    runs: set[StreamRun] = dataclasses.field(default_factory=set)

    def suspect_attempts_at(self, target_id: str) -> None:
        """Looks for other chains for the streams at an unreachable target."""
        for run in self.runs:
            for attempt in run.attempts:
                if target_id in attempt.target_ids:
                    reason = f"target {target_id} is gone"
                    self.suspect(run, attempt, [target_id], reason)

    async def forward(self, call: Call) -> None:
        """Sends a call to engines and answers the client."""
        call.exchange.on_disconnect = asyncio.current_task().cancel
        run = StreamRun(call=call, state=StreamState(call=call))
        call.exchange.on_writable = run.resume_reading
        self.runs.add(run)
        try:
            with self.finisher.log_disconnects(call), run.note_open_attempts():
                await self.send_until_answered(run)
        finally:
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
        self.finisher.refuse(
            call,
            run.reason,
            timed_out=call.time_left(now) <= 0,
            available_at=available_at,
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
            chain = () if run.ban else await self.find_chain(run)
            # The request may have been banned while it waited for a chain.
            run.ban = run.ban or self.crashes.check_ban(call)
            if run.ban is not None:
                run.reason = BANNED_REASON
                return
            if not chain:
                run.reason = run.reason or run.state.shortage
                return
            if not self.budget.take(call, loop.time()):
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

    async def find_chain(self, run: StreamRun) -> tuple[ChainHop, ...]:
        """Returns a chain with capacity, waiting for a short time if needed.

        A call does not wait if some layers are held by no usable target, or if
        all targets that may still run it are avoided.
        """
        now = asyncio.get_running_loop().time()
        call, state, avoided = run.call, run.state, run.avoided

        def choose() -> tuple[ChainHop, ...]:
            return self.choose_chain(call, avoided)

        first_targets = find_first_targets(call)
        if first_targets is not None and first_targets <= avoided:
            state.shortage = Shortage.TARGETS
            return ()
        service = call.service
        if not self.queue.wait_queue.has_waiting(service.name):
            chain = choose()
            if chain:
                return chain
        if not self.chooser.is_covered(service, excluded=avoided, now=now):
            state.shortage = Shortage.LAYERS
            return ()
        underway = call.exchange.started
        since = state.event_at if underway else call.exchange.received_at
        limit = MAX_RESUME_WAIT_SECONDS if underway else MAX_WAIT_SECONDS
        max_wait_s = min(call.time_left(now), since + limit - now)
        chain = await self.queue.wait(
            call, choose, max_wait_s=max_wait_s, underway=underway
        )
        call.waited_s += asyncio.get_running_loop().time() - now
        return chain

    def choose_chain(
        self, call: Call, avoided: set[str]
    ) -> tuple[ChainHop, ...]:
        """Returns a chain that has capacity now; empty if there is none."""
        now = asyncio.get_running_loop().time()
        self.selector.detections.end_backoffs(now)
        return self.chooser.choose(
            call.service,
            build_demand(call),
            excluded=frozenset(avoided),
            first_targets=find_first_targets(call),
            now=now,
        )

    def may_send(self, call: Call, now: float) -> bool:
        """Returns whether another attempt is allowed."""
        if call.sends >= MAX_SENDS or call.time_left(now) <= 0:
            return False
        return call.route.repeatable or not call.may_have_run

    def count_load(
        self, chain: tuple[ChainHop, ...], tokens: int, sign: int, now: float
    ) -> None:
        """Adds the load of a request to its targets, or subtracts it.

        Args:
            chain: Targets that run the request.
            tokens: Tokens of its prompt and answer.
            sign: 1 to add the load, -1 to subtract it.
            now: Time in seconds.
        """
        targets = self.selector.targets
        for hop in chain:
            layers = hop.end_layer - hop.first_layer
            self.chooser.loads.add(
                hop.target_id, requests=sign, cache_units=sign * tokens * layers
            )
            if sign > 0:
                targets.note_dispatch(hop.target_id, now)
            else:
                targets.note_end(hop.target_id, now)

    async def connect(
        self, run: StreamRun, chain: tuple[ChainHop, ...]
    ) -> ClientConnection | None:
        """Connects to the first target of a chain; None if that fails."""
        call = run.call
        loop = asyncio.get_running_loop()
        first = chain[0]
        call.sends += 1
        call.targets.append("+".join(hop.target_id for hop in chain))
        self.count_load(chain, build_demand(call).tokens, 1, loop.time())
        try:
            return await self.pool.take(
                first.address,
                timeout_s=min(
                    CONNECT_TIMEOUT_SECONDS, call.time_left(loop.time())
                ),
            )
        except ConnectError as error:
            self.selector.note_failure(
                first.target_id, now=loop.time(), crashed=True
            )
            run.avoided.add(first.target_id)
            run.note_failure(str(error))
            return None
        finally:
            self.count_load(chain, build_demand(call).tokens, -1, loop.time())

    def record_metadata(
        self, target_id: str
    ) -> Callable[[AnswerMetadata], None]:
        """Returns a callback that passes answer metadata to the selector."""
        target = self.selector.targets.get(target_id)
        if target is None:
            return lambda metadata: None
        report = target.report
        loop = asyncio.get_running_loop()

        def note(metadata: AnswerMetadata) -> None:
            self.selector.note_answer(report, metadata, loop.time())

        return note

    def send(
        self,
        run: StreamRun,
        chain: tuple[ChainHop, ...],
        connection: ClientConnection,
    ) -> None:
        """Sends the request to the first target of a chain."""
        call = run.call
        now = connection.loop.time()
        sink = StreamSink(
            state=run.state,
            codec=self.codec,
            connection=connection,
            on_metadata=self.record_metadata(chain[0].target_id),
            on_begun=functools.partial(self.crashes.note_begun, call),
        )
        attempt = StreamAttempt(
            chain=chain,
            sink=sink,
            tokens=build_demand(call).tokens,
            sent_at=now,
            checked_at=now,
        )
        attempt.reports = self.crashes.list_reports(attempt.target_ids)
        request = call.exchange.request
        head = self.codec.build_request(
            request.head,
            UpstreamMetadata(
                target_id=chain[0].target_id,
                time_left_s=call.time_left(now),
                workspace=call.workspace,
                last_event_id=run.state.last_event_id,
                chain=chain,
            ),
        )
        for other in list(run.attempts):
            # An engine runs a request identifier once.
            if other.unreachable or other.first_id == attempt.first_id:
                self.drop(run, other)
        run.add(attempt)
        self.add_load(attempt)
        connection.send(head, request.body, sink)

    def add_load(self, attempt: StreamAttempt) -> None:
        """Counts the load of an attempt unless it is counted already."""
        if not attempt.loaded:
            attempt.loaded = True
            now = attempt.sink.loop.time()
            self.count_load(attempt.chain, attempt.tokens, 1, now)

    def subtract_load(self, attempt: StreamAttempt) -> None:
        """Subtracts the load of an attempt if it is counted."""
        if attempt.loaded:
            attempt.loaded = False
            now = attempt.sink.loop.time()
            self.count_load(attempt.chain, attempt.tokens, -1, now)

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
        self.subtract_load(attempt)

    async def watch(self, run: StreamRun) -> None:
        """Waits for a change of the attempts and inspects long pauses."""
        for attempt in run.attempts:
            if attempt.resumed:
                self.note_resumed(attempt)
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
            end = min(end, self.find_hold_end(run))
            if now >= end:
                for attempt in run.attempts:
                    attempt.sink.finish(Unknown(reason=run.reason))
                return
            await run.wait(min(end - now, SEARCH_INTERVAL_SECONDS))
            return
        sink = attempt.sink
        limit = EVENT_GAP_SECONDS if sink.events else FIRST_EVENT_SECONDS
        due = max(sink.event_at, attempt.checked_at) + limit
        if now < due:
            await run.wait(min(end, due) - now)
        elif not run.call.exchange.writable:
            attempt.checked_at = now
        else:
            attempt.checked_at = now
            await self.inspect(run, attempt)

    def find_hold_end(self, run: StreamRun) -> float:
        """Returns until when suspected attempts may still send an event.

        An engine whose chain has failed says so after its stall time, or
        breaks off. A client that has a part of the answer cannot get the rest
        otherwise.
        """
        if run.call.exchange.started:
            return math.inf
        stall_s = run.call.service.engine.stall_s + STALL_MARGIN_SECONDS
        return max(attempt.sent_at for attempt in run.attempts) + stall_s

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
        if sink.ended.done():
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
        self.note_lost(run, attempt, Unknown(reason=reason))
        if attempt.first_id not in target_ids:
            # The first engine itself says that it waits. Another chain may
            # begin there.
            self.subtract_load(attempt)
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
        if self.selector.is_leaving(hop.target_id):
            return
        if attempt not in run.attempts or not attempt.suspected:
            return
        attempt.unreachable = True
        self.subtract_load(attempt)
        if len(run.attempts) > 1:
            self.drop(run, attempt)

    def note_lost(
        self, run: StreamRun, attempt: StreamAttempt, outcome: Unknown
    ) -> None:
        """Records once that an attempt may have crashed its targets."""
        if attempt.lost is not None:
            self.crashes.probe(attempt.reports[0].address)
            return
        progress_s = attempt.sink.measure_progress()
        outcome = dataclasses.replace(outcome, progress_s=progress_s)
        attempt.lost = self.crashes.note_lost(
            run.call, attempt.reports, outcome
        )

    def note_resumed(self, attempt: StreamAttempt) -> None:
        """Takes back what was assumed of an attempt that goes on."""
        attempt.resumed = False
        now = attempt.sink.loop.time()
        self.add_load(attempt)
        for target_id in attempt.target_ids:
            self.selector.note_resumed(target_id, now)
        if attempt.lost is not None:
            self.crashes.retract(attempt.lost)
            attempt.lost = None

    def collect(self, run: StreamRun) -> bool:
        """Handles the attempts that have ended.

        Returns:
            Whether the client has the complete answer.
        """
        complete = False
        for attempt in run.list_ended():
            if attempt.resumed:
                self.note_resumed(attempt)
            run.attempts.remove(attempt)
            self.release(attempt)
            outcome = attempt.sink.ended.result()
            if outcome is None:
                complete = True
                self.finisher.log(run.call, OK, "answered")
                self.crashes.note_answered(run.call)
            self.note_health(run, attempt, outcome)
        return complete

    def note_health(
        self, run: StreamRun, attempt: StreamAttempt, outcome: Outcome | None
    ) -> None:
        """Updates health and the targets that the next attempt avoids."""
        now = attempt.sink.loop.time()
        match outcome:
            case None:
                for target_id in attempt.target_ids:
                    self.selector.note_success(target_id, now)
            case NotRun():
                run.note_failure(outcome.reason)
                run.note_not_run(attempt)
                self.note_not_run(run, attempt)
            case Answered():
                run.note_possible_run(attempt)
                run.failure = outcome
                if outcome.head.status < FIRST_FAILURE_STATUS:
                    self.drop_others(run)
            case Unknown():
                run.note_failure(outcome.reason)
                run.note_possible_run(attempt)
                if not outcome.timed_out:
                    self.avoid_gone(run, attempt)
                self.note_lost(run, attempt, outcome)

    def is_gone(self, hop: ChainHop) -> bool:
        """Returns whether a target of a chain is unknown or unreachable."""
        target = self.selector.targets.get(hop.target_id)
        return target is None or not target.reachable

    def avoid_gone(self, run: StreamRun, attempt: StreamAttempt) -> None:
        """Avoids the targets of a failed attempt that caused the failure."""
        gone = [hop.target_id for hop in attempt.chain if self.is_gone(hop)]
        run.avoided.update(gone)
        if run.avoided.isdisjoint(attempt.target_ids):
            first = attempt.chain[0].target_id
            run.avoided.add(first)
            self.selector.note_failure(first, now=attempt.sink.loop.time())

    def note_not_run(self, run: StreamRun, attempt: StreamAttempt) -> None:
        """Backs off from the target that rejected or caused the rejection."""
        sink, chain = attempt.sink, attempt.chain
        now = sink.loop.time()
        address = sink.metadata.faulty_address or chain[0].address
        by_address = {hop.address: hop.target_id for hop in chain}
        target_id = by_address.get(address, chain[0].target_id)
        waited_s = now - sink.event_at
        if waited_s >= STALL_FRACTION * run.call.service.engine.stall_s:
            run.avoided.add(target_id)
            self.selector.note_failure(target_id, now=now, crashed=True)
        else:
            self.selector.note_full(target_id, now)

    def answer_failure(self, call: Call, outcome: Answered) -> None:
        """Returns a target's error answer to the client."""
        exchange = call.exchange
        if exchange.started:
            self.finisher.refuse(
                call, f"status {outcome.head.status}", timed_out=False
            )
            return
        exchange.send(self.codec.build_answer(outcome.head), outcome.body)
        self.finisher.log(call, outcome.head.status, "failed at the target")


def find_first_targets(call: Call) -> frozenset[str] | None:
    """Returns the only targets that may still run a call; None if any may."""
    if len(call.possible_runners) < call.route.max_attempts:
        return None
    return frozenset(call.possible_runners)


def build_demand(call: Call) -> RequestDemand:
    """Returns the token counts of a call, with estimates if not stated."""
    metadata = call.metadata
    engine = call.service.engine
    answer = metadata.answer_estimate or int(engine.typical_answer)
    if metadata.max_answer_tokens:
        answer = min(answer, metadata.max_answer_tokens)
    return RequestDemand(
        service=call.service.name,
        prompt_tokens=metadata.prompt_tokens or int(engine.typical_prompt),
        answer_tokens=max(1, answer),
    )
