"""Attempts of one stream, of which the first to send an event continues it.

An attempt whose engine is silent is only suspected: its connection stays open
until another attempt has sent an event. A silence is no proof of a failure,
and a stream that has no other chain still gets its answer if the engine goes
on.
"""

import asyncio
from collections.abc import Iterator
import contextlib
import dataclasses

from rattanroute.gateway.calls import Call
from rattanroute.gateway.crash_detectors import LostAttempt
from rattanroute.gateway.header_codecs import ChainHop
from rattanroute.gateway.outcomes import Answered
from rattanroute.gateway.stream_sinks import StreamSink
from rattanroute.gateway.stream_sinks import StreamState
from rattanroute.systems.crash_bans import Ban
from rattanroute.tables.targets import TargetReport


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class StreamAttempt:
    """A request that was sent over a chain.

    Attributes:
        chain: The chain.
        sink: Receives the answer.
        tokens: Tokens of the prompt and the answer, counted as load.
        reports: Reports of the chain's targets when the request was sent.
        sent_at: Time at which it was sent, in seconds.
        checked_at: Time of the latest inspection, or of the start, in
            seconds.
        suspected: Whether its engine is silent or seems unreachable.
        unreachable: Whether a suspected target of its chain also refuses
            connections.
        loaded: Whether its load is counted.
        lost: Its record as a lost attempt; None if there is none.
        resumed: Whether it has sent an event since it was suspected; reset
            once that has been handled.
    """

    chain: tuple[ChainHop, ...]
    sink: StreamSink
    tokens: int
    sent_at: float
    checked_at: float
    reports: tuple[TargetReport, ...] = ()
    suspected: bool = False
    unreachable: bool = False
    loaded: bool = False
    lost: LostAttempt | None = None
    resumed: bool = False

    @property
    def first_id(self) -> str:
        """Identifier of the target that received the request."""
        return self.chain[0].target_id

    @property
    def target_ids(self) -> tuple[str, ...]:
        """Identifiers of the chain's targets."""
        return tuple(hop.target_id for hop in self.chain)


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class StreamRun:
    """A call with its open attempts.

    At most one open attempt is not suspected.

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
        for other in self.attempts:
            if other is not attempt:
                self.note_possible_run(other)
                other.sink.supersede()
        self.wake()

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
