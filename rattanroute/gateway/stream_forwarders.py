"""Forwards event streams of engines and resumes broken ones."""

import asyncio
from collections.abc import Callable
import dataclasses
import functools

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
from rattanroute.gateway.stall_inspectors import StallInspector
from rattanroute.gateway.stream_sinks import OK
from rattanroute.gateway.stream_sinks import Shortage
from rattanroute.gateway.stream_sinks import StreamSink
from rattanroute.gateway.stream_sinks import StreamState
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
        queue: Calls that wait for capacity.
        open_attempts: Chains and sinks of the running attempts.
    """

    codec: HeaderCodec
    pool: ConnectionPool
    selector: TargetSelector
    chooser: ChainChooser
    budget: SendBudget
    finisher: CallFinisher
    inspector: StallInspector
    crashes: CrashDetector
    queue: ChainQueue = dataclasses.field(default_factory=ChainQueue)
    open_attempts: set[tuple[tuple[ChainHop, ...], StreamSink]] = (
        dataclasses.field(default_factory=set)
    )

    def end_attempts_at(self, target_id: str) -> None:
        """Ends the attempts whose chain contains a target that is gone."""
        for chain, sink in list(self.open_attempts):
            if any(hop.target_id == target_id for hop in chain):
                sink.finish(Unknown(reason=f"target {target_id} is gone"))

    async def forward(self, call: Call) -> None:
        """Sends a call to engines and answers the client."""
        call.exchange.on_disconnect = asyncio.current_task().cancel
        with self.finisher.log_disconnects(call):
            await self.send_until_answered(call)

    async def send_until_answered(self, call: Call) -> None:
        """Sends a call over chains until a stream ends or none may be tried."""
        loop = asyncio.get_running_loop()
        state = StreamState(call=call)
        avoided: set[str] = set()
        reason = ""
        ban = None
        while self.may_send(call, loop.time()):
            ban = await self.crashes.find_ban(call)
            chain = () if ban else await self.find_chain(call, state, avoided)
            # The request may have been banned while it waited for a chain.
            ban = ban or self.crashes.check_ban(call)
            if ban is not None:
                reason = BANNED_REASON
                break
            if not chain:
                reason = reason or state.shortage
                break
            if not self.budget.take(call, loop.time()):
                reason = f"no budget to repeat after {reason}"
                break
            outcome = await self.attempt(call, state, chain, avoided)
            if outcome is None:
                self.finisher.log(call, OK, "answered")
                self.crashes.note_answered(call)
                return
            if isinstance(outcome, Answered):
                self.answer_failure(call, outcome)
                return
            reason = outcome.reason
            call.failures.append(reason)
        timed_out = call.time_left(loop.time()) <= 0
        available_at = ban.until if ban is not None else None
        if available_at is None and state.shortage is Shortage.LAYERS:
            available_at = self.selector.find_pause_end(
                call.service.name, loop.time()
            )
        self.finisher.refuse(
            call, reason, timed_out=timed_out, available_at=available_at
        )

    async def find_chain(
        self, call: Call, state: StreamState, avoided: set[str]
    ) -> tuple[ChainHop, ...]:
        """Returns a chain with capacity, waiting for a short time if needed.

        A call does not wait if some layers are held by no usable target.
        """
        now = asyncio.get_running_loop().time()

        def choose() -> tuple[ChainHop, ...]:
            return self.choose_chain(call, avoided)

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
        first_targets = None
        if len(call.possible_runners) >= call.route.max_attempts:
            first_targets = frozenset(call.possible_runners)
        return self.chooser.choose(
            call.service,
            build_demand(call),
            excluded=frozenset(avoided),
            first_targets=first_targets,
            now=now,
        )

    def may_send(self, call: Call, now: float) -> bool:
        """Returns whether another attempt is allowed."""
        if call.sends >= MAX_SENDS or call.time_left(now) <= 0:
            return False
        return call.route.repeatable or not call.may_have_run

    async def attempt(
        self,
        call: Call,
        state: StreamState,
        chain: tuple[ChainHop, ...],
        avoided: set[str],
    ) -> Outcome | None:
        """Sends a call over a chain and counts its load during the attempt."""
        loop = asyncio.get_running_loop()
        call.sends += 1
        call.targets.append("+".join(hop.target_id for hop in chain))
        tokens = build_demand(call).tokens
        reports = self.crashes.list_reports(hop.target_id for hop in chain)
        self.count_load(chain, tokens, 1, loop.time())
        try:
            outcome = await self.exchange(call, state, chain, avoided)
        finally:
            self.count_load(chain, tokens, -1, loop.time())
        if isinstance(outcome, Unknown):
            self.crashes.note_lost(call, reports, outcome)
        return outcome

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

    async def exchange(
        self,
        call: Call,
        state: StreamState,
        chain: tuple[ChainHop, ...],
        avoided: set[str],
    ) -> Outcome | None:
        """Sends a call to the first target and follows the stream."""
        loop = asyncio.get_running_loop()
        first = chain[0]
        try:
            connection = await self.pool.take(
                first.address,
                timeout_s=min(
                    CONNECT_TIMEOUT_SECONDS, call.time_left(loop.time())
                ),
            )
        except ConnectError as error:
            self.selector.note_failure(
                first.target_id, now=loop.time(), crashed=True
            )
            avoided.add(first.target_id)
            return NotRun(reason=str(error))
        sink = StreamSink(
            state=state,
            codec=self.codec,
            connection=connection,
            on_metadata=self.record_metadata(first.target_id),
            on_begun=functools.partial(self.crashes.note_begun, call),
        )
        call.exchange.on_writable = connection.resume
        try:
            self.open_attempts.add((chain, sink))
            self.send(call, state, chain, connection, sink)
            outcome = await self.follow(call, chain, sink, avoided)
        finally:
            self.open_attempts.discard((chain, sink))
            # A complete answer has already returned the connection to the
            # pool, and another call may be using it.
            if connection.sink is sink:
                connection.cancel()
        self.note_health(call, chain, sink, outcome, avoided)
        if isinstance(outcome, Unknown):
            progress_s = sink.measure_progress()
            return dataclasses.replace(outcome, progress_s=progress_s)
        return outcome

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
        call: Call,
        state: StreamState,
        chain: tuple[ChainHop, ...],
        connection: ClientConnection,
        sink: StreamSink,
    ) -> None:
        """Sends the request to the first target of a chain."""
        request = call.exchange.request
        head = self.codec.build_request(
            request.head,
            UpstreamMetadata(
                target_id=chain[0].target_id,
                time_left_s=call.time_left(sink.loop.time()),
                workspace=call.workspace,
                last_event_id=state.last_event_id,
                chain=chain,
            ),
        )
        connection.send(head, request.body, sink)

    async def follow(
        self,
        call: Call,
        chain: tuple[ChainHop, ...],
        sink: StreamSink,
        avoided: set[str],
    ) -> Outcome | None:
        """Waits for the end of an attempt and inspects long pauses."""
        loop = asyncio.get_running_loop()
        end = call.deadline + DEADLINE_MARGIN_SECONDS
        checked_at = sink.event_at
        while not sink.ended.done():
            now = loop.time()
            if now >= end:
                return Unknown(reason="deadline", timed_out=True)
            limit = EVENT_GAP_SECONDS if sink.events else FIRST_EVENT_SECONDS
            due = max(sink.event_at, checked_at) + limit
            if now >= due and call.exchange.writable:
                checked_at = now
                stalled = await self.inspector.find_stalled(
                    call,
                    chain,
                    silent_s=now - sink.event_at,
                    started=sink.events > 0,
                )
                if stalled and not sink.ended.done():
                    log.info(
                        "stream seems stalled",
                        request_id=call.metadata.request_id,
                        targets=",".join(stalled),
                        events=call.events,
                        silent=loop.time() - sink.event_at,
                        draining=call.exchange.draining_s,
                    )
                    avoided.update(stalled)
                    return Unknown(reason="stalled at " + "+".join(stalled))
                continue
            wait = max(0.01, min(end, max(due, now + 0.01)) - now)
            await asyncio.wait((sink.ended,), timeout=wait)
        return sink.ended.result()

    def note_health(
        self,
        call: Call,
        chain: tuple[ChainHop, ...],
        sink: StreamSink,
        outcome: Outcome | None,
        avoided: set[str],
    ) -> None:
        """Updates health and the targets that the next attempt avoids."""
        now = sink.loop.time()
        if outcome is None:
            for hop in chain:
                self.selector.note_success(hop.target_id, now)
            return
        if isinstance(outcome, NotRun):
            self.note_not_run(call, chain, sink, avoided)
            return
        call.may_have_run = True
        call.possible_runners.add(chain[0].target_id)
        if isinstance(outcome, Answered) or outcome.timed_out:
            return
        gone = [hop.target_id for hop in chain if self.is_gone(hop)]
        avoided.update(gone)
        if avoided.isdisjoint(hop.target_id for hop in chain):
            avoided.add(chain[0].target_id)
            self.selector.note_failure(chain[0].target_id, now=now)

    def is_gone(self, hop: ChainHop) -> bool:
        """Returns whether a target of a chain is unknown or unreachable."""
        target = self.selector.targets.get(hop.target_id)
        return target is None or not target.reachable

    def note_not_run(
        self,
        call: Call,
        chain: tuple[ChainHop, ...],
        sink: StreamSink,
        avoided: set[str],
    ) -> None:
        """Backs off from the target that rejected or caused the rejection."""
        now = sink.loop.time()
        address = sink.metadata.faulty_address or chain[0].address
        by_address = {hop.address: hop.target_id for hop in chain}
        target_id = by_address.get(address, chain[0].target_id)
        waited_s = now - sink.event_at
        failed = waited_s >= STALL_FRACTION * call.service.engine.stall_s
        if failed:
            avoided.add(target_id)
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
