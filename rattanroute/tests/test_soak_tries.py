"""Tests of the soak's checks of callers that repeat under one identifier."""

import unittest

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
from rattanroute.tools.soak_records import SoakLog

BOUNDS = SoakBounds()
SERVED = build_attempt(request_id="served")


def build_try(number: int, status: int, **changes: object) -> Attempt:
    """Builds a try of one request."""
    ok = status == 200
    outcome = AttemptOutcome.COMPLETE if ok else AttemptOutcome.REFUSED
    values: dict[str, object] = {
        "try_number": number,
        "status": status,
        "outcome": outcome,
    }
    values.update(changes)
    return build_attempt(**values)


class TryCheckTestCase(unittest.TestCase):
    """Base class that compares the failed checks of a log."""

    def assert_checks(self, log: SoakLog, *failed_checks: str) -> None:
        """Asserts which checks fail."""
        self.assertEqual(set(find_violations(log, BOUNDS)), set(failed_checks))


class AnswerOfTryTest(TryCheckTestCase):
    """Guards against answers that are not those of a run of the same try."""

    def build(self, attempt: Attempt) -> SoakLog:
        """Builds a log of one failed run and one that succeeded."""
        return build_log(
            attempts=[attempt, SERVED],
            records=[
                build_record("run", run=1, try_number=1, status=500),
                build_record("run", run=2, try_number=2, status=200),
            ],
        )

    def test_own_answer(self) -> None:
        """Guards against violations reported for the answer to a try."""
        for number, status in ((1, 500), (2, 200)):
            attempt = build_try(number, status, stamp=f"desk-1.{number}")
            self.assert_checks(self.build(attempt))

    def test_answer_of_an_earlier_try(self) -> None:
        """Guards against the failure of the try before."""
        attempt = build_try(2, 500, stamp="desk-1.1")
        self.assert_checks(self.build(attempt), "check_tries")

    def test_answer_of_another_request(self) -> None:
        """Guards against the answer to another request."""
        attempt = build_try(1, 500, request_id="r2", stamp="desk-1.1")
        self.assert_checks(self.build(attempt), "check_tries")

    def test_status_that_the_run_did_not_have(self) -> None:
        """Guards against a success where the replica has failed."""
        attempt = build_try(1, 200, stamp="desk-1.1")
        self.assert_checks(self.build(attempt), "check_tries")

    def test_stamp_of_no_run(self) -> None:
        """Guards against a second answer that no run explains."""
        attempt = build_try(2, 200, stamp="desk-1.1.again")
        self.assert_checks(self.build(attempt), "check_tries")

    def test_run_without_a_try_number(self) -> None:
        """Guards against a front that does not forward the number."""
        log = build_log(
            attempts=[build_try(1, 200, stamp="desk-1.1"), SERVED],
            records=[build_record("run", run=1, status=200)],
        )
        self.assert_checks(log, "check_tries")


class RunsOfTryTest(TryCheckTestCase):
    """Guards against runs that a try must not have."""

    def test_refused_try_that_ran(self) -> None:
        """Guards against a refusal that another try has earned."""
        run = build_record("run", run=1, try_number=2)
        log = build_log(attempts=[build_try(2, 503), SERVED], records=[run])
        self.assert_checks(log, "check_refusals")
        log = build_log(attempts=[build_try(1, 503), SERVED], records=[run])
        self.assert_checks(log)

    def test_refused_request_without_tries_that_ran(self) -> None:
        """Guards against an excuse for clients that do not number tries."""
        run = build_record("run", run=1)
        log = build_log(attempts=[build_try(0, 503), SERVED], records=[run])
        self.assert_checks(log, "check_refusals")

    def test_try_that_ran_twice(self) -> None:
        """Guards against a second run of one try."""
        for numbers, failed in (((1, 1), ["check_once"]), ((1, 2), [])):
            log = build_log(
                attempts=[build_try(1, 200), build_try(2, 200), SERVED],
                records=[
                    build_record("run", run=run, try_number=number)
                    for run, number in enumerate(numbers)
                ],
            )
            self.assert_checks(log, *failed)

    def test_repeats_of_the_front_alone_use_the_budget(self) -> None:
        """Guards against counting a caller's tries as repeats of a front."""
        count = int(BOUNDS.retry_extra) + 10
        for step, failed in ((1, []), (0, ["check_budget"])):
            records = [
                build_record("arrival", at=i / 100, try_number=1 + step * i)
                for i in range(count)
            ]
            self.assert_checks(build_log(records=records), *failed)


class ExcludedTriesTest(TryCheckTestCase):
    """Guards against drawn failures that hide or feign other violations."""

    def test_recovery_counts_other_clients(self) -> None:
        """Guards against numbered tries that hide a failed recovery."""
        refused = build_attempt(outcome=AttemptOutcome.REFUSED, status=504)
        served = [build_try(1, 200)] * 9
        self.assert_checks(
            build_log(attempts=[refused, *served]), "check_recovery"
        )
        failed = [build_try(1, 504)] * 9
        self.assert_checks(build_log(attempts=[SERVED, *failed]))

    def test_failure_of_the_replica_during_a_stop(self) -> None:
        """Guards against blaming a stop for the replica's own failure."""
        stop = InjectedFault(
            subjects=(FRONT,), action=Action.STOP, start=10.05, end=12.0
        )
        records = [
            build_record("arrival", try_number=1),
            build_record("run", run=1, try_number=1, status=504),
        ]
        for stamp, failed in (("desk-1.1", []), ("", ["check_stops"])):
            attempt = build_try(1, 504, stamp=stamp, kind=CallKind.REPEATABLE)
            log = build_log(
                attempts=[attempt, SERVED],
                records=records,
                injected_faults=[stop],
            )
            self.assert_checks(log, *failed)

    def test_run_of_an_earlier_try_before_a_stop(self) -> None:
        """Guards against blaming a stop for a refusal of a later try."""
        stop = InjectedFault(
            subjects=(FRONT,), action=Action.STOP, start=10.05, end=12.0
        )
        for number, failed in ((1, []), (2, ["check_refusals", "check_stops"])):
            records = [
                build_record(event, run=1, try_number=number)
                for event in ("arrival", "run")
            ]
            log = build_log(
                attempts=[build_try(2, 503), SERVED],
                records=records,
                injected_faults=[stop],
            )
            self.assert_checks(log, *failed)
