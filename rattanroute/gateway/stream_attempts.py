"""Attempts of one stream, of which the first to send an event continues it.

An attempt whose engine is silent is only suspected: its connection stays open
until another attempt has sent an event. A silence is no proof of a failure,
and a stream that has no other chain still gets its answer if the engine goes
on.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import math

from rattanroute.gateway.calls import Call
from rattanroute.gateway.crash_detectors import LostAttempt
from rattanroute.gateway.header_codecs import ChainHop
from rattanroute.gateway.outcomes import Answered
from rattanroute.gateway.stream_sinks import StreamSink
from rattanroute.gateway.stream_sinks import StreamState
from rattanroute.systems.crash_bans import Ban
from rattanroute.tables.targets import TargetReport

# From an engine's stall time to its answer.
STALL_MARGIN_SECONDS = 0.25


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class StreamAttempt:
    """A request that was sent over a chain.

    Attributes:
        chain: The chain.
        sink: Receives the answer.
        tokens: Tokens of the prompt and the answer, counted as load.
        prompt_tokens: Tokens of the prompt.
        reports: Reports of the chain's targets when the request was sent.
        sent_at: Time at which it was sent, in seconds.
        checked_at: Time of the latest inspection, or of the start, in
            seconds.
        suspected: Whether its engine is silent or seems unreachable.
        unreachable: Whether a suspected target of its chain also refuses
            connections.
        loaded: Whether its load is counted.
        prompt_counted: Whether its prompt is counted as unread.
        lost: Its record as a lost attempt; None if there is none.
        resumed: Whether it has sent an event since it was suspected; reset
            once that has been handled.
        hedge: Whether it was started because the first attempt took long.
        hedge_at: Time at which it is late and a hedge is considered, in
            seconds.
    """

    chain: tuple[ChainHop, ...]
    sink: StreamSink
    tokens: int
    prompt_tokens: int
    sent_at: float
    checked_at: float
    reports: tuple[TargetReport, ...] = ()
    suspected: bool = False
    unreachable: bool = False
    loaded: bool = False
    prompt_counted: bool = False
    lost: LostAttempt | None = None
    resumed: bool = False
    hedge: bool = False
    hedge_at: float = math.inf

    @property
    def first_id(self) -> str:
        """Identifier of the target that received the request."""
        return self.chain[0].target_id

    @property
    def target_ids(self) -> tuple[str, ...]:
        """Identifiers of the chain's targets."""
        return tuple(hop.target_id for hop in self.chain)


ClaimHandler = Callable[[StreamAttempt, list[StreamAttempt]], None]


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class StreamRun:
    """A call with its open attempts.

    At most one open attempt is not suspected, beside a hedge.

    Attributes:
        call: The call.
        state: What the client has received.
        avoided: Targets that the next attempt avoids.
        demanded: Targets with a limit that have counted the call as demand.
        attempts: Open attempts, oldest first.
        possible_runs: Suspected or ended attempts that may have run.
        reason: Why the latest attempt failed, or why there is no other one.
        ban: Ban that forbids further attempts.
        failure: Error answer of a target, which ends the search for others.
        waiter: Wakes the task that waits for a change of the attempts.
        changed: Whether they have changed since that task last waited.
        hedging: Task that starts a hedge; None if there is none.
        on_claim: Called with the attempt that goes on and the open ones that
            are not needed.
        granted_at: Time at which it last got capacity, in seconds; None
            before that, and where priorities do not differ.
        rejected: Whether an engine without capacity has rejected the latest
            attempt.
    """

    call: Call
    state: StreamState
    avoided: set[str] = dataclasses.field(default_factory=set)
    demanded: set[str] = dataclasses.field(default_factory=set)
    attempts: list[StreamAttempt] = dataclasses.field(default_factory=list)
    possible_runs: set[StreamAttempt] = dataclasses.field(default_factory=set)
    reason: str = ""
    ban: Ban | None = None
    failure: Answered | None = None
    waiter: asyncio.Future[None] | None = None
    changed: bool = False
    granted_at: float | None = None
    rejected: bool = False
    hedging: asyncio.Task[None] | None = None
    on_claim: ClaimHandler = lambda attempt, others: None

    @property
    def hold_end(self) -> float:
        """Time until which suspected attempts may still send an event.

        An engine whose chain has failed says so after its stall time, or
        breaks off. A client that has a part of the answer cannot get the rest
        otherwise.
        """
        engine = self.call.service.engine
        if self.call.exchange.started or engine is None:
            return math.inf
        stall_s = engine.stall_s + STALL_MARGIN_SECONDS
        return max(attempt.sent_at for attempt in self.attempts) + stall_s

    @property
    def trusted(self) -> StreamAttempt | None:
        """The attempt that is not suspected; None if there is none."""
        for attempt in self.attempts:
            if not attempt.suspected:
                return attempt
        return None

    @property
    def is_answered(self) -> bool:
        """Whether no other attempt is needed now."""
        return self.trusted is not None or any(
            x.sink.ended.result() is None for x in self.list_ended()
        )

    def list_ended(self) -> list[StreamAttempt]:
        """Returns the open attempts whose outcome is known."""
        return [x for x in self.attempts if x.sink.ended.done()]

    @property
    def may_start(self) -> bool:
        """Whether another attempt may be started."""
        return self.ban is None and self.failure is None

    def note_possible_run(self, attempt: StreamAttempt) -> None:
        """Records that an attempt's first target may run the request."""
        self.possible_runs.add(attempt)
        self.update_call()

    @contextlib.contextmanager
    def note_open_attempts(self) -> Iterator[None]:
        """Records that open attempts may have run if the task is cancelled."""
        try:
            yield
        except asyncio.CancelledError:
            for attempt in self.attempts:
                self.note_possible_run(attempt)
            raise

    def note_not_run(self, attempt: StreamAttempt) -> None:
        """Records that an attempt's request certainly did not run."""
        if attempt in self.possible_runs:
            self.possible_runs.remove(attempt)
            self.update_call()

    def update_call(self) -> None:
        """Updates what the call knows about its runs."""
        call = self.call
        call.may_have_run = bool(self.possible_runs)
        call.possible_runners = {
            attempt.first_id for attempt in self.possible_runs
        }

    def note_failure(self, reason: str) -> None:
        """Records why an attempt failed."""
        self.reason = reason
        self.call.failures.append(reason)

    def add(self, attempt: StreamAttempt) -> None:
        """Adds an attempt that was just sent."""
        self.attempts.append(attempt)
        attempt.sink.on_progress = lambda: self.claim(attempt)
        attempt.sink.is_only_attempt = lambda: len(self.attempts) == 1
        attempt.sink.ended.add_done_callback(lambda _: self.wake())

    def claim(self, attempt: StreamAttempt) -> None:
        """Ends all other attempts, as this one has sent an event."""
        if not attempt.suspected and len(self.attempts) == 1:
            return
        if attempt.suspected:
            attempt.suspected = attempt.unreachable = False
            attempt.resumed = True
            self.ban = None
            self.avoided.difference_update(attempt.target_ids)
        others = [x for x in self.attempts if x is not attempt]
        unneeded = [x for x in others if not x.sink.ended.done()]
        for other in others:
            self.note_possible_run(other)
            other.sink.supersede()
        self.on_claim(attempt, unneeded)
        self.wake()

    def cancel_hedge(self) -> None:
        """Gives up a hedge that has not been sent."""
        if self.hedging is not None:
            self.hedging.cancel()

    def resume_reading(self) -> None:
        """Resumes reading of all attempts once a slow client has caught up."""
        for attempt in self.attempts:
            attempt.sink.connection.resume()

    def wake(self) -> None:
        """Wakes the task that waits for a change."""
        self.changed = True
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def wait(
        self, seconds: float, task: asyncio.Task[object] | None = None
    ) -> None:
        """Waits for a change of the attempts.

        Args:
            seconds: Longest wait in seconds.
            task: A task whose end also ends the wait.
        """
        if not self.changed:
            self.waiter = asyncio.get_running_loop().create_future()
            tasks = {self.waiter} if task is None else {self.waiter, task}
            try:
                await asyncio.wait(
                    tasks,
                    timeout=seconds,
                    return_when=asyncio.FIRST_COMPLETED,
                )
            finally:
                self.waiter = None
        self.changed = False
