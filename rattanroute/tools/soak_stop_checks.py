"""Checks that planned work on a front interrupts no request."""

import collections
from collections.abc import Iterator
import dataclasses

from rattanroute.platform.standin_records import RunEnd
from rattanroute.platform.trial_deployments import SoakBounds
from rattanroute.tools.soak_plans import Action
from rattanroute.tools.soak_plans import PLANNED_ACTIONS
from rattanroute.tools.soak_records import Attempt
from rattanroute.tools.soak_records import AttemptOutcome
from rattanroute.tools.soak_records import InjectedFault
from rattanroute.tools.soak_records import SoakLog

# A front still accepts new connections for this long after SIGTERM.
ROTATION_SECONDS = 2.5
# The rule holds for this long after the grace time of a stop.
AFTER_GRACE_SECONDS = 1.0
# Requests that are sent up to this long after SIGHUP are counted.
RELOAD_SECONDS = 2.0
# A front that keeps a request for longer has accepted it.
KEPT_SECONDS = 0.2
# A request that is sent later after SIGTERM is not excused by its length.
LATEST_LONG_REQUEST_SECONDS = 3.0
# A request may be cut off if its replica still works in the last part of the
# grace time.
LAST_GRACE_FRACTION = 1 / 6
# The header with the time left is rounded, and timers are late.
LIMIT_MARGIN_SECONDS = 0.05


@dataclasses.dataclass(kw_only=True, slots=True)
class Run:
    """A run of a request at a replica.

    Attributes:
        replica_id: The replica.
        started_at: Time of its start.
        ended_at: Time of its end; infinite if the replica recorded none.
        reason: How it ended; empty if the replica recorded no end.
        detail: Target and status that ended it.
    """

    replica_id: str
    started_at: float
    ended_at: float = float("inf")
    reason: str = ""
    detail: str = ""

    def describe(self, since: float) -> str:
        """Returns a description with times relative to `since`."""
        end = self.reason or "no end"
        if self.reason:
            end += f" {self.ended_at - since:+.2f} s"
        return f"{self.replica_id} {end} {self.detail}".rstrip()


class PlannedWorkChecker:
    """Finds requests that planned work on their front interrupted.

    Args:
        log: The observations.
        bounds: Limits of the soak.

    Attributes:
        arrivals: Identifiers and tries of the requests that reached a replica.
        runs: Runs by request and try, ordered by their ends.
        crashes: Times at which a request crashed a replica.
    """

    def __init__(self, *, log: SoakLog, bounds: SoakBounds) -> None:
        self.log = log
        self.bounds = bounds
        self.crashes = [x.at for x in log.records if x.event == "crash"]
        self.arrivals = {x.key for x in log.records if x.event == "arrival"}
        self.runs = self.read_runs()

    def read_runs(self) -> dict[tuple[str, int], list[Run]]:
        """Returns the runs of each try, ordered by their ends."""
        by_key: dict[tuple[str, int, str], Run] = {}
        runs: dict[tuple[str, int], list[Run]] = collections.defaultdict(list)
        for record in self.log.records:
            key = (record.replica_id, record.run, record.request_id)
            if record.event == "run":
                run = Run(replica_id=record.replica_id, started_at=record.at)
                by_key[key] = run
                runs[record.key].append(run)
            elif record.event == "end" and key in by_key:
                run = by_key[key]
                run.ended_at = record.at
                run.reason = record.reason
                run.detail = record.detail
        for found in runs.values():
            found.sort(key=lambda x: (x.ended_at, x.started_at))
        return runs

    def list_signals(
        self, *actions: Action
    ) -> Iterator[tuple[InjectedFault, str]]:
        """Yields planned work of some kinds with each front that it affects."""
        for fault in self.log.injected_faults:
            if fault.action not in actions:
                continue
            for front in fault.subjects:
                if front in self.log.fronts:
                    yield fault, front

    def find_interrupted_by_stops(self) -> dict[tuple[str, int], str]:
        """Returns messages about interrupted requests by their tries."""
        found: dict[tuple[str, int], str] = {}
        for stop, front in self.list_signals(Action.STOP, Action.ROLL):
            own_stop = self.find_own_stop(stop, front)
            for x in self.log.attempts:
                if x.front != front or x.key in found:
                    continue
                if own_stop is not None and x.ended_at >= own_stop.start:
                    # Counted with the SIGTERM of this front.
                    continue
                if (
                    self.is_around_stop(x, stop)
                    and self.is_unanswered(x, stop)
                    and not self.is_excused(x, stop)
                ):
                    found[x.key] = self.describe(x, stop, "SIGTERM")
        return found

    def find_interrupted_by_reloads(self) -> dict[tuple[str, int], str]:
        """Returns messages about interrupted requests by their tries."""
        found: dict[tuple[str, int], str] = {}
        for reload, front in self.list_signals(Action.RELOAD):
            for x in self.log.attempts:
                if x.front != front or x.key in found:
                    continue
                if (
                    x.sent_at <= reload.start + RELOAD_SECONDS
                    and x.ended_at >= reload.start
                    and is_same_process(x, reload)
                    and self.is_unanswered(x, reload)
                    and not self.is_excused(x, reload)
                ):
                    found[x.key] = self.describe(x, reload, "SIGHUP")
        return found

    def find_own_stop(
        self, roll: InjectedFault, front: str
    ) -> InjectedFault | None:
        """Returns the stop of one front of a rolling restart, if recorded."""
        if roll.action != Action.ROLL:
            return None
        return next(
            (
                x
                for x in self.log.injected_faults
                if x.action == Action.STOP
                and x.subjects == (front,)
                and roll.start <= x.start <= roll.end
            ),
            None,
        )

    def is_around_stop(self, attempt: Attempt, stop: InjectedFault) -> bool:
        """Returns whether the rule of a stop holds for an attempt."""
        start = stop.start
        if attempt.ended_at < start:
            return False
        if attempt.sent_at <= start + ROTATION_SECONDS:
            return True
        end = start + self.bounds.grace_s + AFTER_GRACE_SECONDS
        return attempt.ended_at <= end and is_same_process(attempt, stop)

    def is_unanswered(self, attempt: Attempt, fault: InjectedFault) -> bool:
        """Returns whether a front accepted a request and did not answer it.

        A refusal is an answer if no replica ran the request, or if it is the
        replica's own.
        """
        if attempt.outcome is AttemptOutcome.COMPLETE:
            return False
        refused = attempt.outcome is AttemptOutcome.REFUSED
        if refused and (attempt.stamp or attempt.key not in self.runs):
            return False
        in_rotation = (
            attempt.outcome is AttemptOutcome.BROKEN
            and attempt.sent_at <= fault.start + ROTATION_SECONDS
            and fault.action != Action.RELOAD
        )
        return (
            in_rotation
            or attempt.key in self.arrivals
            or attempt.ended_at - attempt.sent_at > KEPT_SECONDS
        )

    def is_excused(self, attempt: Attempt, fault: InjectedFault) -> bool:
        """Returns whether the rule does not count an unanswered request."""
        return (
            self.is_disturbed(attempt)
            or reached_limit(attempt)
            or self.broke_off(attempt)
            or self.is_too_long(attempt, fault)
        )

    def is_disturbed(self, attempt: Attempt) -> bool:
        """Returns whether an unplanned fault may have affected a request."""
        if any(attempt.sent_at <= x <= attempt.ended_at for x in self.crashes):
            return True
        return any(
            x.action not in PLANNED_ACTIONS
            and x.start <= attempt.ended_at
            and attempt.sent_at <= x.end + self.bounds.contact_s
            for x in self.log.injected_faults
        )

    def broke_off(self, attempt: Attempt) -> bool:
        """Returns whether the last run broke off before the request ended."""
        runs = self.runs.get(attempt.key)
        if not runs:
            return False
        last = runs[-1]
        broken = last.reason in (RunEnd.BROKEN, RunEnd.CLOSED)
        return broken and last.ended_at <= attempt.ended_at

    def is_too_long(self, attempt: Attempt, fault: InjectedFault) -> bool:
        """Returns whether the replica worked until the end of the grace time.

        The grace time starts with the first SIGTERM of the front's process.
        """
        stop = self.find_first_stop(attempt, fault)
        runs = self.runs.get(attempt.key)
        if stop is None or not runs:
            return False
        last_part = stop.start + self.bounds.grace_s * (1 - LAST_GRACE_FRACTION)
        return (
            attempt.sent_at <= stop.start + LATEST_LONG_REQUEST_SECONDS
            and attempt.ended_at >= last_part
            and runs[-1].ended_at >= last_part
        )

    def find_first_stop(
        self, attempt: Attempt, fault: InjectedFault
    ) -> InjectedFault | None:
        """Returns the first stop of the process that took a request."""
        stops = [
            x
            for x, front in self.list_signals(Action.STOP)
            if front == attempt.front
            and attempt.start_number
            and x.start_number == attempt.start_number
            and x.start <= attempt.ended_at
        ]
        if stops:
            return min(stops, key=lambda x: x.start)
        return fault if fault.action == Action.STOP else None

    def is_dropped_behind(self, key: tuple[str, int]) -> bool:
        """Returns whether a request behind an open one reached no replica.

        Args:
            key: Identifier and try of the request.
        """
        return key not in self.arrivals and any(
            x.key == key and x.behind for x in self.log.attempts
        )

    def describe(
        self, attempt: Attempt, fault: InjectedFault, signal_name: str
    ) -> str:
        """Returns a message about an interrupted request."""
        start = fault.start
        runs = ", ".join(
            x.describe(start) for x in self.runs.get(attempt.key, ())
        )
        marks = " (slow reader)" if attempt.slow else ""
        if attempt.behind:
            marks += " (sent behind an open request of its connection)"
        return (
            f"{attempt.front}: {attempt.request_id} {attempt.kind}{marks} "
            f"{attempt.outcome} status {attempt.status} "
            f"{attempt.ended_at - start:+.2f} s after {signal_name}, "
            f"sent {attempt.sent_at - start:+.2f} s, event {attempt.events} of "
            f"{attempt.expected_events}; runs: {runs or 'none'}"
        )


def is_same_process(attempt: Attempt, fault: InjectedFault) -> bool:
    """Returns whether the process that got a signal took a request."""
    return attempt.start_number == fault.start_number or not (
        attempt.start_number and fault.start_number
    )


def reached_limit(attempt: Attempt) -> bool:
    """Returns whether the time limit of the client or route was reached."""
    if not attempt.limit_s:
        return False
    held_s = attempt.ended_at - attempt.waiting_since
    return held_s >= attempt.limit_s - LIMIT_MARGIN_SECONDS


def check_stops(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """A planned stop of a front interrupts no request that it accepted.

    Other planned work is no excuse. Requests that a connection dropped behind
    an open one are in `check_requests_behind`.
    """
    checker = PlannedWorkChecker(log=log, bounds=bounds)
    return [
        message
        for key, message in checker.find_interrupted_by_stops().items()
        if not checker.is_dropped_behind(key)
    ]


def check_reloads(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """A SIGHUP of a front interrupts no request that it accepted."""
    checker = PlannedWorkChecker(log=log, bounds=bounds)
    return [
        message
        for key, message in checker.find_interrupted_by_reloads().items()
        if not checker.is_dropped_behind(key)
    ]


def check_requests_behind(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """Planned work drops no request that was read behind an open one."""
    checker = PlannedWorkChecker(log=log, bounds=bounds)
    found = checker.find_interrupted_by_stops()
    found = checker.find_interrupted_by_reloads() | found
    return [
        f"dropped behind an open request: {message}"
        for key, message in found.items()
        if checker.is_dropped_behind(key)
    ]
