"""Second attempts of streams whose first event is late."""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
import dataclasses
import functools
import math
from typing import Protocol

from rattanroute.gateway.calls import Call
from rattanroute.gateway.calls import HedgeEvent
from rattanroute.gateway.calls import NO_CONNECTION
from rattanroute.gateway.chain_finders import build_demand
from rattanroute.gateway.chain_finders import build_hop
from rattanroute.gateway.chain_finders import ChainFinder
from rattanroute.gateway.chain_finders import find_used_targets
from rattanroute.gateway.header_codecs import ChainHop
from rattanroute.gateway.hedges import HedgePolicy
from rattanroute.gateway.service_hedges import choose_hedge_target
from rattanroute.gateway.stream_attempts import StreamAttempt
from rattanroute.gateway.stream_attempts import StreamRun
from rattanroute.http1.clients import ClientConnection
from rattanroute.http1.clients import ConnectionPool
from rattanroute.systems.first_event_estimates import estimate_first_event


class AttemptSender(Protocol):
    """Starts and ends attempts of streams."""

    async def connect(
        self, run: StreamRun, chain: tuple[ChainHop, ...]
    ) -> ClientConnection | None:
        """Connects to the first target of a chain; None if that fails."""
        ...

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
        ...

    def release(self, attempt: StreamAttempt) -> None:
        """Closes the connection of an attempt and subtracts its load."""
        ...


@dataclasses.dataclass(kw_only=True, slots=True)
class StreamHedger:
    """Starts hedges of streams and ends the attempt that is not needed.

    Attributes:
        policy: Limits of the hedges.
        finder: Finds chains.
        pool: Connections to targets.
    """

    policy: HedgePolicy
    finder: ChainFinder
    pool: ConnectionPool

    def begin(self, run: StreamRun, sender: AttemptSender) -> None:
        """Prepares a call for a hedge."""
        self.policy.note_call(run.call)
        run.on_claim = lambda attempt, others: self.note_claim(
            run, attempt, others, sender
        )

    def watch(self, run: StreamRun, attempt: StreamAttempt) -> None:
        """Prepares an attempt that is about to be sent.

        Sets the time at which it is late, and records when it begins.
        """
        if run.call.exchange.started:
            return
        attempt.sink.on_begun = functools.partial(
            self.note_begun, run, attempt, attempt.sink.on_begun
        )
        if not attempt.hedge:
            delay = self.policy.find_delay(run.call, attempt.sent_at)
            attempt.hedge_at = attempt.sent_at + delay

    def note_begun(
        self,
        run: StreamRun,
        attempt: StreamAttempt,
        on_begun: Callable[[], None],
    ) -> None:
        """Records the time to the first event of an attempt.

        Args:
            run: The call.
            attempt: The attempt.
            on_begun: Called first.
        """
        on_begun()
        if run.call.exchange.started:
            return
        now = attempt.sink.loop.time()
        self.policy.note_time(run.call, now - attempt.sent_at, now)
        if attempt.hedge:
            self.policy.note_event(run.call, HedgeEvent.WON)

    def start(
        self, run: StreamRun, first: StreamAttempt, sender: AttemptSender
    ) -> None:
        """Starts a hedge beside a late attempt, if that is allowed."""
        first.hedge_at = math.inf
        chain = self.choose(run, first)
        if chain:
            run.hedging = asyncio.create_task(
                self.send(run, first, chain, sender)
            )

    def choose(
        self, run: StreamRun, first: StreamAttempt
    ) -> tuple[ChainHop, ...]:
        """Returns the chain of a hedge and charges it; empty if none."""
        call = run.call
        now = asyncio.get_running_loop().time()
        if self.finder.queue.wait_queue.has_waiting(call.service.name):
            return ()
        if not is_waiting(run, first) or not self.policy.may_start(call, now):
            return ()
        chain = self.find_chain(run, first, now)
        if not chain or not self.policy.take(call, now):
            return ()
        return chain

    def find_chain(
        self, run: StreamRun, first: StreamAttempt, now: float
    ) -> tuple[ChainHop, ...]:
        """Returns a chain that is expected to begin before the first attempt.

        Targets that take long make an attempt late for a time that is not
        known. It is assumed to be as long as the attempt has taken already.
        """
        if run.call.service.engine is None:
            return self.find_target(run, first, now)
        chain = self.choose_chain(run, first, now)
        if not chain or self.predict(run.call, chain) > now - first.sent_at:
            return ()
        return chain

    def find_target(
        self, run: StreamRun, first: StreamAttempt, now: float
    ) -> tuple[ChainHop, ...]:
        """Returns another target of a service without engines, if any."""
        target = choose_hedge_target(
            self.finder.selector,
            run.call.service.name,
            first_id=first.first_id,
            excluded=find_used_targets(run),
            demanded=run.demanded,
            now=now,
        )
        return (build_hop(target),) if target is not None else ()

    def choose_chain(
        self, run: StreamRun, first: StreamAttempt, now: float
    ) -> tuple[ChainHop, ...]:
        """Returns a chain with capacity beside that of the first attempt.

        It shares no target with that one. If there is none, it may share
        others than the first targets: an engine runs a request identifier
        once.
        """
        used = set(first.target_ids)
        chain = self.finder.choose_chain(
            run.call, run.avoided | used, run.demanded
        )
        if chain:
            return chain
        service = run.call.service
        chooser = self.finder.chooser
        serving = chooser.targets.serving(service.name)
        return chooser.choose(
            service,
            build_demand(run.call),
            excluded=frozenset(run.avoided | {first.first_id}),
            first_targets=frozenset(
                x.report.target_id
                for x in serving
                if x.report.target_id not in used
            ),
            demanded=run.demanded,
            reservation=self.finder.admission.find_reservation(run.call, now),
            now=now,
        )

    def predict(self, call: Call, chain: tuple[ChainHop, ...]) -> float:
        """Returns the expected time to the first event, in seconds."""
        return estimate_first_event(
            call.service.engine,
            chain,
            build_demand(call),
            targets=self.finder.chooser.targets,
            loads=self.finder.chooser.loads,
        )

    async def send(
        self,
        run: StreamRun,
        first: StreamAttempt,
        chain: tuple[ChainHop, ...],
        sender: AttemptSender,
    ) -> None:
        """Sends a call over a second chain unless the first one has begun."""
        try:
            connection = await sender.connect(run, chain)
        except asyncio.CancelledError:
            # The log lists a connection for each chain.
            run.call.connections.append(NO_CONNECTION)
            raise
        if connection is None:
            return
        if is_waiting(run, first):
            sender.send(run, chain, connection, hedge=True)
        else:
            self.pool.put(connection)

    def note_claim(
        self,
        run: StreamRun,
        attempt: StreamAttempt,
        others: Collection[StreamAttempt],
        sender: AttemptSender,
    ) -> None:
        """Ends the attempts beside the first one that has sent an event.

        Args:
            run: The call.
            attempt: The attempt that goes on.
            others: Those that are not needed.
            sender: Ends attempts.
        """
        call = run.call
        if any(other.hedge for other in others):
            self.policy.note_event(call, HedgeEvent.CANCELLED)
        now = attempt.sink.loop.time()
        for other in others:
            if attempt.hedge and not call.exchange.started:
                # Its first event would have taken longer. Without this time
                # the percentile would fall with each hedge that wins.
                self.policy.note_time(call, now - other.sent_at, now)
            if attempt.hedge or other.hedge:
                sender.release(other)


def is_waiting(run: StreamRun, first: StreamAttempt) -> bool:
    """Returns whether a call has one attempt, which has sent no event."""
    if run.attempts != [first] or not run.may_start:
        return False
    sink = first.sink
    return not (first.suspected or sink.events or sink.ended.done())
