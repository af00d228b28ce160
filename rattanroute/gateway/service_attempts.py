"""Attempts of one call of a plain service.

An attempt without an answer in its part of the time is late: another target
is tried beside it, and the first complete answer ends the others. Lateness is
no proof of a failure, and the late target may be the only one that answers.
"""

import asyncio
import dataclasses

from rattanroute.gateway.calls import Call
from rattanroute.gateway.outcomes import Answered
from rattanroute.gateway.outcomes import Outcome
from rattanroute.http1.clients import ClientConnection
from rattanroute.http1.response_sinks import CollectingSink
from rattanroute.systems.crash_bans import Ban
from rattanroute.tables.targets import TargetReport


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class ServiceAttempt:
    """A call that is being sent to a target.

    Attributes:
        report: The target's report; None until the target is chosen.
        connection: The connection; None until there is one.
        sent: Whether the call was sent to the target.
        sent_at: Time at which it was sent, in seconds.
        hedge: Whether it was started because the first attempt took long.
        late: Whether there is no answer although another target could have
            answered.
        task: Runs the attempt; its result is None if no target may be tried.
    """

    report: TargetReport | None = None
    connection: ClientConnection | None = None
    sent: bool = False
    sent_at: float = 0.0
    hedge: bool = False
    late: bool = False
    task: asyncio.Task[Outcome | None] | None = None


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class ServiceRun:
    """A call with its open attempts.

    At most one of them is not late, beside a hedge.

    Attributes:
        call: The call.
        attempts: Open attempts, oldest first.
        excluded: Targets that were tried.
        demanded: Targets with a limit that have counted the call as demand.
        exhausted: Whether no further attempt may be started.
        failed: Error answer of a target, returned if there is no better one.
        timed_out: Whether the latest failed attempt timed out.
        reason: Why the latest attempt failed, or why there is no other one.
        ban: Ban that forbids further attempts.
        sinks: Receivers of the answers; they hold memory until released.
        changed: Set when an attempt is late or has ended.
    """

    call: Call
    attempts: list[ServiceAttempt] = dataclasses.field(default_factory=list)
    excluded: set[str] = dataclasses.field(default_factory=set)
    demanded: set[str] = dataclasses.field(default_factory=set)
    exhausted: bool = False
    failed: Answered | None = None
    timed_out: bool = False
    reason: str = "no target"
    ban: Ban | None = None
    sinks: list[CollectingSink] = dataclasses.field(default_factory=list)
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def needs_attempt(self) -> bool:
        """Whether another attempt is to be started."""
        return not self.exhausted and all(x.late for x in self.attempts)

    def add(self, attempt: ServiceAttempt) -> None:
        """Adds an attempt whose task has just been started."""
        self.attempts.append(attempt)
        attempt.task.add_done_callback(lambda _: self.changed.set())

    def take_ended(self) -> list[ServiceAttempt]:
        """Removes and returns the attempts that have ended."""
        ended = [x for x in self.attempts if x.task.done()]
        self.attempts = [x for x in self.attempts if x not in ended]
        return ended

    def note_failure(self, reason: str) -> None:
        """Records why an attempt has no answer."""
        self.reason = reason
        self.call.failures.append(reason)

    def note_possible_run(self, report: TargetReport) -> None:
        """Records that a target may run the call."""
        self.call.possible_runners.add(report.target_id)
        self.call.may_have_run = True

    def note_not_run(self, report: TargetReport) -> None:
        """Records that a target certainly did not run the call."""
        runners = self.call.possible_runners
        runners.discard(report.target_id)
        self.call.may_have_run = bool(runners)

    async def wait(self, seconds: float | None) -> None:
        """Waits for a change of the attempts, at most some seconds."""
        try:
            async with asyncio.timeout(seconds):
                await self.changed.wait()
        except TimeoutError:
            return
        finally:
            self.changed.clear()

    def cancel(self) -> None:
        """Ends all open attempts; those that were sent may have run."""
        for attempt in self.attempts:
            if attempt.sent:
                self.note_possible_run(attempt.report)
            attempt.task.cancel()

    def release_answers(self) -> None:
        """Frees the memory of all answers."""
        for sink in self.sinks:
            sink.release()
