"""Forwards streams of engines, event by event, and resumes broken ones."""

import asyncio
from collections.abc import Callable
import dataclasses

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
from rattanroute.gateway.stalls import StallInspector
from rattanroute.gateway.streamsinks import OK
from rattanroute.gateway.streamsinks import Shortage
from rattanroute.gateway.streamsinks import StreamSink
from rattanroute.gateway.streamsinks import StreamState
from rattanroute.gateway.terms import AnswerTerms
from rattanroute.gateway.terms import ChainHop
from rattanroute.gateway.terms import HeaderCodec
from rattanroute.gateway.terms import Upstream
from rattanroute.gateway.waiting import ChainQueue
from rattanroute.http1.clients import ClientConnection
from rattanroute.http1.clients import ConnectError
from rattanroute.http1.clients import ConnectionPool
from rattanroute.systems.chain_choices import ChainChooser
from rattanroute.systems.chain_choices import RequestDemand
from rattanroute.systems.wait_queues import MAX_RESUME_WAIT_SECONDS
from rattanroute.systems.wait_queues import MAX_WAIT_SECONDS

# A connection within a region takes a few milliseconds.
CONNECT_SECONDS = 0.25
MAX_SENDS = 5
# A stream without an event for so long is looked into. Callers give up after
# about two seconds without an event, and a repair takes up to half a second.
FIRST_EVENT_SECONDS = 0.6
EVENT_GAP_SECONDS = 0.4
# Time after the deadline at which a stream is broken off.
DEADLINE_MARGIN_SECONDS = 0.1
# Part of the stall time of engines after which a target's "not run" means
# that a member of its chain is dead rather than full.
STALL_PART = 0.8


@dataclasses.dataclass(kw_only=True, slots=True)
class StreamForwarder:
    """Sends calls over chains of engines until a stream is whole.

    Attributes:
        codec: Headers of the deployment.
        pool: Connections to targets.
        selector: Health of targets.
        chooser: Choice of chains.
        budget: Attempts beyond the first.
        ender: Ends calls without an answer.
        inspector: Finds the target at which a stream stalls.
        crashes: Says which requests crash their targets.
        queue: Calls that wait for room.
        following: Chains and sinks of the attempts that are open.
    """

    codec: HeaderCodec
    pool: ConnectionPool
    selector: TargetSelector
    chooser: ChainChooser
    budget: SendBudget
    ender: CallEnder
    inspector: StallInspector
    crashes: CrashObserver
    queue: ChainQueue = dataclasses.field(default_factory=ChainQueue)
    following: set[tuple[tuple[ChainHop, ...], StreamSink]] = dataclasses.field(
        default_factory=set
    )

    def leave_target(self, target_id: str) -> None:
        """Ends the attempts whose chain contains a target that is gone."""
        for chain, sink in list(self.following):
            if any(hop.target_id == target_id for hop in chain):
                sink.finish(Unknown(reason=f"target {target_id} is gone"))

    async def forward(self, call: Call) -> None:
        """Sends a call to engines and answers the caller."""
        call.exchange.on_disconnect = asyncio.current_task().cancel
        loop = asyncio.get_running_loop()
        state = StreamState(call=call)
        avoided: set[str] = set()
        reason = ""
        banned_until = None
        while self.may_send(call, loop.time()):
            banned_until = await self.crashes.find_ban(call)
            if banned_until is not None:
                reason = BANNED_REASON
                break
            chain = await self.find_chain(call, state, avoided)
            if not chain:
                reason = reason or state.shortage
                break
            if not self.budget.take(call, loop.time()):
                reason = f"no budget to repeat after {reason}"
                break
            outcome = await self.attempt(call, state, chain, avoided)
            if outcome is None:
                self.ender.log(call, OK, "answered")
                self.crashes.note_answered(call)
                return
            if isinstance(outcome, Answered):
                self.answer_failure(call, outcome)
                return
            reason = outcome.reason
            call.failures.append(reason)
        timed_out = call.time_left(loop.time()) <= 0
        free_at = banned_until
        if free_at is None and state.shortage is Shortage.LAYERS:
            free_at = self.selector.find_pause_end(
                call.service.name, loop.time()
            )
        self.ender.refuse(call, reason, timed_out=timed_out, free_at=free_at)

    async def find_chain(
        self, call: Call, state: StreamState, avoided: set[str]
    ) -> tuple[ChainHop, ...]:
        """Returns a chain with room, after a short wait if need be.

        Nobody waits when some layers are at no target that can be used.
        """
        now = asyncio.get_running_loop().time()

        def choose() -> tuple[ChainHop, ...]:
            return self.choose_chain(call, avoided)

        service = call.service
        if not self.queue.room.has_waiting(service.name):
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
        """Returns a chain that has room now, or nothing."""
        now = asyncio.get_running_loop().time()
        self.selector.detections.end_backoffs(now)
        first_targets = None
        if len(call.ran_on) >= call.route.max_attempts:
            first_targets = frozenset(call.ran_on)
        return self.chooser.choose(
            call.service,
            build_demand(call),
            excluded=frozenset(avoided),
            first_targets=first_targets,
            now=now,
        )

    def may_send(self, call: Call, now: float) -> bool:
        """Whether another attempt is allowed."""
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
        """Sends a call over a chain, counting its load meanwhile."""
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
        """Adds the load of a request to its targets, or takes it away."""
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
                timeout_s=min(CONNECT_SECONDS, call.time_left(loop.time())),
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
            on_terms=self.note_terms(first.target_id),
        )
        call.exchange.on_writable = connection.resume
        try:
            self.following.add((chain, sink))
            self.send(call, state, chain, connection, sink)
            outcome = await self.follow(call, chain, sink, avoided)
        finally:
            self.following.discard((chain, sink))
            # A whole answer has given the connection back; another call may
            # use it already.
            if connection.sink is sink:
                connection.cancel()
        self.note_health(call, chain, sink, outcome, avoided)
        if isinstance(outcome, Unknown):
            progress_s = sink.measure_progress()
            return dataclasses.replace(outcome, progress_s=progress_s)
        return outcome

    def note_terms(self, target_id: str) -> Callable[[AnswerTerms], None]:
        """Returns what heeds the terms of an answer of a target."""
        target = self.selector.targets.get(target_id)
        if target is None:
            return lambda terms: None
        report = target.report
        loop = asyncio.get_running_loop()

        def note(terms: AnswerTerms) -> None:
            self.selector.note_answer(report, terms, loop.time())

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
            Upstream(
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
        """Waits for the end of an attempt and looks into pauses."""
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
        """Learns from an attempt which targets the next one avoids."""
        now = sink.loop.time()
        if outcome is None:
            for hop in chain:
                self.selector.note_success(hop.target_id, now)
            return
        if isinstance(outcome, NotRun):
            self.note_not_run(call, chain, sink, avoided)
            return
        call.may_have_run = True
        call.ran_on.add(chain[0].target_id)
        if isinstance(outcome, Answered) or outcome.timed_out:
            return
        gone = [hop.target_id for hop in chain if self.is_gone(hop)]
        avoided.update(gone)
        if avoided.isdisjoint(hop.target_id for hop in chain):
            avoided.add(chain[0].target_id)
            self.selector.note_failure(chain[0].target_id, now=now)

    def is_gone(self, hop: ChainHop) -> bool:
        """Whether a target of a chain is known not to answer."""
        target = self.selector.targets.get(hop.target_id)
        return target is None or not target.reachable

    def note_not_run(
        self,
        call: Call,
        chain: tuple[ChainHop, ...],
        sink: StreamSink,
        avoided: set[str],
    ) -> None:
        """Avoids the target that refused, or that was named at fault."""
        now = sink.loop.time()
        address = sink.terms.faulty_address or chain[0].address
        by_address = {hop.address: hop.target_id for hop in chain}
        target_id = by_address.get(address, chain[0].target_id)
        waited = now - sink.event_at
        dead = waited >= STALL_PART * call.service.engine.stall_s
        if dead:
            avoided.add(target_id)
            self.selector.note_failure(target_id, now=now, crashed=True)
        else:
            self.selector.note_full(target_id, now)

    def answer_failure(self, call: Call, outcome: Answered) -> None:
        """Returns a target's own failure to the caller."""
        exchange = call.exchange
        if exchange.started:
            self.ender.refuse(
                call, f"status {outcome.head.status}", timed_out=False
            )
            return
        exchange.send(self.codec.build_answer(outcome.head), outcome.body)
        self.ender.log(call, outcome.head.status, "failed at the target")


def build_demand(call: Call) -> RequestDemand:
    """Returns what a call needs of a chain."""
    terms = call.terms
    engine = call.service.engine
    answer = terms.answer_estimate or int(engine.typical_answer)
    if terms.max_answer_tokens:
        answer = min(answer, terms.max_answer_tokens)
    return RequestDemand(
        service=call.service.name,
        prompt_tokens=terms.prompt_tokens or int(engine.typical_prompt),
        answer_tokens=max(1, answer),
    )
