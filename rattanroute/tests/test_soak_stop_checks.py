"""Tests of the soak's checks of planned work on fronts."""

import unittest

from rattanroute.platform.standin_records import ReplicaRecord
from rattanroute.platform.standin_records import RunEnd
from rattanroute.platform.trial_deployments import CallKind
from rattanroute.platform.trial_deployments import SoakBounds
from rattanroute.tests.soak_support import build_attempt
from rattanroute.tests.soak_support import build_log
from rattanroute.tests.soak_support import build_record
from rattanroute.tests.soak_support import FRONT
from rattanroute.tools.soak_checks import find_violations
from rattanroute.tools.soak_plans import Action
from rattanroute.tools.soak_records import Attempt
from rattanroute.tools.soak_records import AttemptOutcome
from rattanroute.tools.soak_records import InjectedFault

BOUNDS = SoakBounds()
OTHER_FRONT = "zone-a-front-2"
STOP_AT = 20.0
LAST_SIXTH_AT = STOP_AT + BOUNDS.grace_s * 5 / 6


def build_fault(
    action: Action, start: float, **changes: object
) -> InjectedFault:
    """Builds a fault of the front's first process."""
    values: dict[str, object] = {
        "subjects": (FRONT,),
        "action": action,
        "start": start,
        "end": start + 0.5,
        "start_number": 1,
    }
    values.update(changes)
    return InjectedFault(**values)


def build_stream(**changes: object) -> Attempt:
    """Builds a stream that ends incomplete 2 s after the SIGTERM."""
    values: dict[str, object] = {
        "kind": CallKind.STREAM,
        "sent_at": STOP_AT - 1.0,
        "ended_at": STOP_AT + 2.0,
        "outcome": AttemptOutcome.BROKEN,
        "start_number": 1,
    }
    values.update(changes)
    return build_attempt(**values)


def build_run(
    ended_at: float, reason: RunEnd, *, run: int = 1
) -> list[ReplicaRecord]:
    """Builds the records of a run that starts before the SIGTERM."""
    at = STOP_AT - 0.9
    return [
        build_record("arrival", at=at),
        build_record("run", at=at, run=run),
        build_record("end", at=ended_at, run=run, reason=reason),
    ]


class StopCheckTestCase(unittest.TestCase):
    """Base class that builds logs of a stop at `STOP_AT`."""

    stop = build_fault(Action.STOP, STOP_AT)
    faults = (stop,)
    check = "check_stops"

    def assert_checks(
        self,
        counted: bool,
        attempt: Attempt,
        records: list[ReplicaRecord],
        *faults: InjectedFault,
    ) -> None:
        """Asserts that the check counts an attempt, or that none does."""
        log = build_log(
            attempts=[attempt, build_attempt(request_id="r2")],
            records=records,
            injected_faults=[*self.faults, *faults],
        )
        failed = find_violations(log, BOUNDS)
        self.assertEqual(set(failed), {self.check} if counted else set())


class AcceptedRequestTest(StopCheckTestCase):
    """Guards against a check that misses requests which a stop interrupts."""

    def test_every_incomplete_end(self) -> None:
        """Guards against a check that counts closed connections only."""
        records = build_run(STOP_AT + 2.0, RunEnd.LEFT)
        for outcome, status in (
            (AttemptOutcome.BROKEN, 200),
            (AttemptOutcome.BROKEN, 0),
            (AttemptOutcome.REFUSED, 502),
            (AttemptOutcome.GIVEN_UP, 200),
        ):
            attempt = build_stream(outcome=outcome, status=status)
            self.assert_checks(True, attempt, records)
        complete = build_stream(outcome=AttemptOutcome.COMPLETE)
        self.assert_checks(False, complete, records)

    def test_refusal_of_a_request_that_did_not_run(self) -> None:
        """Guards against a check that takes an honest refusal for a loss."""
        for status in (502, 503):
            attempt = build_stream(
                outcome=AttemptOutcome.REFUSED, status=status
            )
            arrival = [build_record("arrival", at=attempt.sent_at)]
            self.assert_checks(False, attempt, arrival)
        # 503 would break the promise that the request did not run.
        attempt = build_stream(outcome=AttemptOutcome.REFUSED, status=502)
        run = build_run(STOP_AT + 2.0, RunEnd.LEFT)
        self.assert_checks(True, attempt, run)

    def test_front_loses_a_finished_answer(self) -> None:
        """Guards against an answer that is lost after the replica's end."""
        records = build_run(STOP_AT + 1.0, RunEnd.FINISHED)
        self.assert_checks(True, build_stream(), records)

    def test_request_that_is_read_and_kept(self) -> None:
        """Guards against requests that are kept and reach no replica."""
        for held_s, counted in ((0.3, True), (0.1, False)):
            attempt = build_stream(
                sent_at=STOP_AT + 2.6, ended_at=STOP_AT + 2.6 + held_s
            )
            self.assert_checks(counted, attempt, [])
        passed_on = [build_record("arrival", at=STOP_AT + 2.65)]
        self.assert_checks(True, attempt, passed_on)

    def test_closed_connection_in_rotation(self) -> None:
        """Guards against a connection that closes at once in rotation."""
        attempt = build_stream(
            sent_at=STOP_AT + 2.4, ended_at=STOP_AT + 2.45, status=0
        )
        self.assert_checks(True, attempt, [])

    def test_request_before_a_stop(self) -> None:
        """Guards against blaming a stop for an earlier end."""
        for ended_at, counted in ((0.0, True), (-0.1, False)):
            attempt = build_stream(ended_at=STOP_AT + ended_at)
            self.assert_checks(counted, attempt, [])

    def test_end_of_the_time_after_a_stop(self) -> None:
        """Guards against a rule that ends with the grace time."""
        for ended_at, counted in ((8.9, True), (9.1, False)):
            attempt = build_stream(
                sent_at=STOP_AT + 4.0, ended_at=STOP_AT + ended_at
            )
            self.assert_checks(counted, attempt, [])

    def test_next_process_of_the_front(self) -> None:
        """Guards against requests that another process took."""
        for start_number, counted in ((1, True), (2, False)):
            attempt = build_stream(
                sent_at=STOP_AT + 4.0,
                ended_at=STOP_AT + 5.0,
                start_number=start_number,
            )
            self.assert_checks(counted, attempt, [])

    def test_request_behind_an_open_one(self) -> None:
        """Guards against a dropped second request of a connection."""
        attempt = build_stream(behind=True, status=0)
        records = build_run(STOP_AT + 2.0, RunEnd.LEFT)
        self.assert_checks(True, attempt, records)
        self.check = "check_requests_behind"
        self.assert_checks(True, attempt, [])


class ExcuseTest(StopCheckTestCase):
    """Guards against excuses that the rule does not name."""

    def test_other_planned_work(self) -> None:
        """Guards against planned work that hides an interrupted request."""
        self.assert_checks(
            True,
            build_stream(),
            build_run(STOP_AT + 2.0, RunEnd.LEFT),
            build_fault(Action.STOP, STOP_AT - 1.0, subjects=(OTHER_FRONT,)),
            build_fault(Action.STOP, STOP_AT, subjects=("desk-1",)),
            build_fault(Action.RELOAD, STOP_AT, subjects=(OTHER_FRONT,)),
            build_fault(Action.ROLL, STOP_AT + 1.0, subjects=(OTHER_FRONT,)),
        )

    def test_unplanned_disturbance(self) -> None:
        """Guards against faults that count for longer than `contact_s`."""
        records = build_run(STOP_AT + 2.0, RunEnd.LEFT)
        latest = build_stream().sent_at - BOUNDS.contact_s
        for end, counted in ((latest + 0.1, False), (latest - 0.1, True)):
            fault = build_fault(
                Action.KILL, end - 1.0, end=end, subjects=("desk-1",)
            )
            self.assert_checks(counted, build_stream(), records, fault)
        later = build_fault(Action.FREEZE, STOP_AT + 2.1)
        self.assert_checks(True, build_stream(), records, later)

    def test_replica_that_broke_off(self) -> None:
        """Guards against an excuse for runs that the front continued."""
        for reason in (RunEnd.BROKEN, RunEnd.CLOSED):
            broken = build_run(STOP_AT + 1.0, reason)
            self.assert_checks(False, build_stream(), broken)
        later = build_run(STOP_AT + 2.0, RunEnd.LEFT, run=2)
        self.assert_checks(True, build_stream(), broken + later)
        too_late = build_run(STOP_AT + 2.1, RunEnd.BROKEN)
        self.assert_checks(True, build_stream(), too_late)

    def test_time_limit(self) -> None:
        """Guards against requests that end before their time limit."""
        records = build_run(STOP_AT + 2.0, RunEnd.LEFT)
        for limit_s, counted in ((3.0, False), (3.2, True)):
            attempt = build_stream(limit_s=limit_s)
            self.assert_checks(counted, attempt, records)

    def test_replica_at_work_at_the_end(self) -> None:
        """Guards against requests that end before the last sixth."""
        cut_at = STOP_AT + 7.4
        cut = build_stream(sent_at=STOP_AT + 2.9, ended_at=cut_at)
        at_work = build_run(cut_at, RunEnd.LEFT)
        self.assert_checks(False, cut, at_work)
        late = build_stream(sent_at=STOP_AT + 3.1, ended_at=cut_at)
        self.assert_checks(True, late, at_work)
        finished = build_run(LAST_SIXTH_AT - 0.1, RunEnd.FINISHED)
        self.assert_checks(True, cut, finished)
        early = build_stream(ended_at=LAST_SIXTH_AT - 0.1)
        self.assert_checks(True, early, at_work)

    def test_second_sigterm(self) -> None:
        """Guards against a grace time that starts anew."""
        again = build_fault(Action.STOP, STOP_AT + 3.0)
        cut = build_stream(ended_at=STOP_AT + 7.4)
        at_work = build_run(STOP_AT + 7.4, RunEnd.LEFT)
        self.assert_checks(False, cut, at_work, again)
        late = build_stream(sent_at=STOP_AT + 4.0, ended_at=STOP_AT + 7.4)
        self.assert_checks(True, late, at_work, again)


class RollTest(StopCheckTestCase):
    """Guards against a check that misses stops of a rolling restart."""

    faults = (
        build_fault(
            Action.ROLL,
            STOP_AT - 3.0,
            end=STOP_AT + 8.0,
            subjects=(OTHER_FRONT, FRONT),
            start_number=0,
        ),
        StopCheckTestCase.stop,
    )

    def test_request_before_the_own_sigterm(self) -> None:
        """Guards against requests that end while another front stops."""
        attempt = build_stream(
            sent_at=STOP_AT - 2.5, ended_at=STOP_AT - 1.0, status=0
        )
        self.assert_checks(True, attempt, [])

    def test_end_of_the_own_grace_time(self) -> None:
        """Guards against a grace time that starts with the first front."""
        at_work = build_run(STOP_AT + 7.4, RunEnd.LEFT)
        for start_number in (0, 1):
            cut = build_stream(
                ended_at=STOP_AT + 7.4, start_number=start_number
            )
            self.assert_checks(False, cut, at_work)
        self.assert_checks(
            True, build_stream(), build_run(STOP_AT + 2.0, RunEnd.LEFT)
        )


class ReloadTest(StopCheckTestCase):
    """Guards against a check that misses requests which SIGHUP interrupts."""

    faults = (build_fault(Action.RELOAD, STOP_AT, end=STOP_AT),)
    check = "check_reloads"

    def test_request_around_a_reload(self) -> None:
        """Guards against requests that end incomplete after SIGHUP."""
        for sent_at, counted in ((-1.0, True), (1.9, True), (2.1, False)):
            attempt = build_stream(
                sent_at=STOP_AT + sent_at, ended_at=STOP_AT + 3.0
            )
            self.assert_checks(
                counted, attempt, build_run(STOP_AT + 3.0, RunEnd.LEFT)
            )
        before = build_stream(ended_at=STOP_AT - 0.1)
        self.assert_checks(False, before, build_run(STOP_AT, RunEnd.LEFT))

    def test_next_process_of_the_front(self) -> None:
        """Guards against requests that another process took."""
        attempt = build_stream(start_number=2)
        self.assert_checks(False, attempt, build_run(STOP_AT, RunEnd.LEFT))

    def test_reload_during_a_stop(self) -> None:
        """Guards against counting the end of the grace time as a reload."""
        stop = build_fault(Action.STOP, STOP_AT - 2.0)
        cut = build_stream(ended_at=STOP_AT + 5.4)
        at_work = build_run(STOP_AT + 5.4, RunEnd.LEFT)
        self.assert_checks(False, cut, at_work, stop)
        other = build_fault(Action.STOP, STOP_AT - 2.0, start_number=2)
        self.assert_checks(True, cut, at_work, other)
