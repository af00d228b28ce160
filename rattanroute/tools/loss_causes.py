"""Attributes to each request what its client lost, and the cause."""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import enum
import re

from rattanroute.tools.loss_lines import RequestRecord

OK = 200
FIRST_FAILURE_STATUS = 500
# Statuses with which a request certainly did not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Objectives of all routes that have none of their own.
ANY_ROUTE = "*"
FAILURE_SUFFIX = re.compile(r" after .*", re.DOTALL)
# Failures whose target, or the way to it, is gone.
LOST_ENGINE_PATTERN = re.compile(
    r"^stalled at |^target .* is gone$|^connect\b|connection was closed"
    r"|connection reset|connection lost|connection refused|broken pipe",
    re.IGNORECASE,
)
# An engine that had no room any more, or gave it to another request.
REJECTED_PATTERN = re.compile(r"^status \d+(?: \S+:\d+)?$")
CLIENT_LEFT_REASONS = frozenset(
    {"caller left", "caller closed its sending direction"}
)


class Kind(enum.StrEnum):
    """What a client lost."""

    LATE = "late"
    PAUSE = "pause"
    REFUSED = "refused"
    UNCONNECTED = "no connection"
    CUT_OFF = "cut off"
    FAILED = "failed"


class Cause(enum.StrEnum):
    """Why an answer was late or paused."""

    RETURNED = "returned after a refusal"
    WAITED = "waited for capacity"
    ANOTHER_ATTEMPT = "another attempt"
    UNSENT = "not sent yet by the entry VM"
    QUEUED = "prompt queued at the engines"
    SLOW_TARGET = "slow target"
    LOST_ENGINE = "lost engine"
    REJECTED = "preempted or rejected by the chain"
    READ_AGAIN = "prompt read again"
    BETWEEN_DATA_CENTRES = "chain between data centres"
    OVERFULL = "overfull chain"
    CLIENT_LEFT = "client left"
    CLIENT_LEFT_EARLY = "client left before the first event"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Objectives:
    """Objectives of the first event and of pauses by route, in seconds.

    Attributes:
        first_event_s: Objective of the first event, or of a whole answer.
        gap_s: Objective of a pause between two events.
    """

    first_event_s: Mapping[str, float] = dataclasses.field(default_factory=dict)
    gap_s: Mapping[str, float] = dataclasses.field(default_factory=dict)

    def find_first_event(self, record: RequestRecord) -> float:
        """Returns the objective of the first event; 0 if there is none."""
        return find_objective(self.first_event_s, record.route, record.goal_s)

    def find_gap(self, record: RequestRecord) -> float:
        """Returns the objective of a pause; 0 if there is none."""
        return find_objective(self.gap_s, record.route, record.gap_goal_s)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Loss:
    """Something that the client of a request lost.

    Attributes:
        at: Time at which it was lost, in seconds.
        kind: What was lost.
        cause: Why it was lost.
        excess_s: Seconds beyond the objective; 0 without an answer.
    """

    at: float
    kind: Kind
    cause: str
    excess_s: float = 0.0


def find_objective(
    values: Mapping[str, float], route: str, logged: float
) -> float:
    """Returns the objective of a route; the one of the log by default."""
    if route in values:
        return values[route]
    return values.get(ANY_ROUTE, logged)


def find_losses(
    record: RequestRecord, objectives: Objectives
) -> Iterator[Loss]:
    """Yields what the client of a request lost."""
    if record.is_stream:
        yield from find_late_event(record, objectives)
        yield from find_long_pause(record, objectives)
    elif record.status == OK:
        yield from find_late_answer(record, objectives)
    yield from find_failure(record)


# Late first events and answers.


def find_late_event(
    record: RequestRecord, objectives: Objectives
) -> Iterator[Loss]:
    """Yields the loss of a first event after its objective."""
    goal_s = objectives.find_first_event(record)
    excess_s = record.spent_s + record.first_event_s - goal_s
    if goal_s and excess_s > 0:
        yield Loss(
            at=record.arrived_at + max(0.0, goal_s - record.spent_s),
            kind=Kind.LATE,
            cause=attribute_late_event(record, excess_s),
            excess_s=excess_s,
        )


def attribute_late_event(record: RequestRecord, excess_s: float) -> Cause:
    """Returns the phase without which a first event had been in time.

    The engines' own time is the cause only if no other phase suffices, as
    each request needs it.
    """
    phases = {Cause.RETURNED: record.spent_s, **split_first_event(record)}
    longest = max(phases, key=phases.__getitem__)
    before_s = sum(phases.values()) - record.spent_s
    engines_s = record.first_event_s - before_s
    if phases[longest] >= min(excess_s, engines_s):
        return longest
    return Cause.QUEUED


def split_first_event(record: RequestRecord) -> dict[Cause, float]:
    """Returns the seconds before the engines began, by cause.

    Older logs tell neither when a failure happened nor what came of a wait.
    A failure belongs to the longest pause if that was longer.
    """
    phases = record.phases
    if phases is None:
        waited_s = min(record.waited_s, record.first_event_s)
        failed = record.failures and record.first_event_s >= record.gap_s
        other_s = record.first_event_s - waited_s if failed else 0.0
        return {Cause.WAITED: waited_s, Cause.ANOTHER_ATTEMPT: other_s}
    other_s = max(0.0, phases.first_sent_s - phases.first_waited_s)
    cause = Cause.ANOTHER_ATTEMPT if phases.first_sends > 1 else Cause.UNSENT
    return {Cause.WAITED: phases.first_waited_s, cause: other_s}


def find_late_answer(
    record: RequestRecord, objectives: Objectives
) -> Iterator[Loss]:
    """Yields the loss of a whole answer after its objective."""
    goal_s = objectives.find_first_event(record)
    excess_s = record.spent_s + record.seconds - goal_s
    if not goal_s or excess_s <= 0:
        return
    if record.spent_s >= min(excess_s, record.seconds):
        cause = Cause.RETURNED
    elif record.failures:
        cause = Cause.ANOTHER_ATTEMPT
    else:
        cause = Cause.SLOW_TARGET
    yield Loss(
        at=record.arrived_at + max(0.0, goal_s - record.spent_s),
        kind=Kind.LATE,
        cause=cause,
        excess_s=excess_s,
    )


# Pauses.


def find_long_pause(
    record: RequestRecord, objectives: Objectives
) -> Iterator[Loss]:
    """Yields the loss of a pause beyond its objective."""
    goal_s = objectives.find_gap(record)
    excess_s = record.gap_s - goal_s
    if not goal_s or excess_s <= 0:
        return
    at = record.ended_at
    if record.phases is not None:
        at = record.arrived_at + record.phases.gap_at_s
    yield Loss(
        at=at,
        kind=Kind.PAUSE,
        cause=attribute_pause(record),
        excess_s=excess_s,
    )


def attribute_pause(record: RequestRecord) -> Cause:
    """Returns the cause of the longest pause.

    If another attempt continued the stream, the longest phase is the cause:
    until the failure was noticed, until a chain had room, or until the prompt
    had been read again.
    """
    failures = find_gap_failures(record)
    if not failures:
        return attribute_slow_chain(record)
    failure = attribute_failure(failures[0])
    phases = record.phases
    if phases is None or phases.gap_sent_s <= phases.gap_at_s:
        return failure
    until_sent_s = phases.gap_sent_s - phases.gap_at_s
    times = {
        failure: until_sent_s - phases.gap_waited_s,
        Cause.WAITED: phases.gap_waited_s,
        Cause.READ_AGAIN: record.gap_s - until_sent_s,
    }
    return max(times, key=times.__getitem__)


def find_gap_failures(record: RequestRecord) -> tuple[str, ...]:
    """Returns the failures in the longest pause.

    Older logs do not tell; the failures belong to the wait for the first event
    if that was longer.
    """
    if record.phases is not None:
        return record.phases.gap_failures
    return record.failures if record.gap_s > record.first_event_s else ()


def attribute_slow_chain(record: RequestRecord) -> Cause:
    """Returns the cause of a pause in which no attempt failed."""
    if record.data_centres and "+" in record.data_centres[-1]:
        return Cause.BETWEEN_DATA_CENTRES
    return Cause.OVERFULL


def attribute_failure(reason: str) -> Cause:
    """Returns the cause of a failed attempt."""
    if LOST_ENGINE_PATTERN.search(reason):
        return Cause.LOST_ENGINE
    if REJECTED_PATTERN.search(reason):
        return Cause.REJECTED
    return Cause.ANOTHER_ATTEMPT


# Requests without a complete answer.


def find_failure(record: RequestRecord) -> Iterator[Loss]:
    """Yields the loss of a request without a complete answer."""
    kind = classify_failure(record)
    if kind is not None:
        cause = attribute_end(record, kind)
        yield Loss(at=record.ended_at, kind=kind, cause=cause)


def classify_failure(record: RequestRecord) -> Kind | None:
    """Returns what a request without a complete answer lost; None with one."""
    if not record.routed:
        return Kind.REFUSED
    if record.status == 0:
        return Kind.CUT_OFF
    if record.reason == "answered" and record.status < FIRST_FAILURE_STATUS:
        return None
    if record.is_unconnected:
        return Kind.UNCONNECTED
    if record.status in NOT_RUN_STATUSES:
        return Kind.REFUSED
    return Kind.FAILED


def attribute_end(record: RequestRecord, kind: Kind) -> str:
    """Returns the cause of an end without a complete answer."""
    if kind is Kind.CUT_OFF and record.reason in CLIENT_LEFT_REASONS:
        return Cause.CLIENT_LEFT if record.events else Cause.CLIENT_LEFT_EARLY
    # The texts of failures name targets, each of which would be a cause of its
    # own otherwise.
    cause = attribute_failure(record.reason)
    if cause is not Cause.ANOTHER_ATTEMPT:
        return cause
    return FAILURE_SUFFIX.sub("", record.reason) or "no reason given"
