"""Tests of retries, back-off and hedging."""

import random
import unittest

from rattanroute.actions import CancelAttempt
from rattanroute.actions import Dispatch
from rattanroute.actions import Execution
from rattanroute.actions import Finish
from rattanroute.actions import Refusal
from rattanroute.actions import Refuse
from rattanroute.events import AttemptSucceeded
from rattanroute.events import Provenance
from rattanroute.events import RequestArrived
from rattanroute.requests.core_systems import CoreSettings
from rattanroute.systems.hedges import MIN_HEDGE_SAMPLES
from rattanroute.systems.retries import RETRY_BURST
from rattanroute.systems.retries import RetrySystem
from rattanroute.tables.requests import RequestKind
from rattanroute.tests.support import build_core
from rattanroute.tests.support import build_report
from rattanroute.tests.support import build_request
from rattanroute.tests.test_cores import fail


def arrive(core, name: str, now: float = 0.0, **changes) -> list:
    """Submits a request."""
    request = build_request(name, arrived_at=now, **changes)
    return core.handle(RequestArrived(request=request), now=now)


class RetryTest(unittest.TestCase):
    """Guards against retry storms and slots occupied during back-off."""

    def test_slot_is_free_during_the_back_off(self) -> None:
        core = build_core(build_report(slots=1))
        [first] = arrive(core, "r1")
        moved = core.handle(fail(first, Provenance.NOT_DISPATCHED), now=0.0)
        # The only target can take other work until the retry.
        self.assertEqual(core.targets.get("t1").in_flight, len(moved))

    def test_only_target_gets_a_failed_request_after_the_back_off(self) -> None:
        core = build_core(build_report(slots=2))
        [first] = arrive(core, "r1")
        moved = core.handle(fail(first, Provenance.NOT_DISPATCHED), now=0.0)
        self.assertEqual(moved, [])
        actions = core.tick(now=1.1)
        self.assertEqual([type(action) for action in actions], [Dispatch])

    def test_back_off_grows_and_is_random(self) -> None:
        system = RetrySystem(random=random.Random(1), max_attempts=4)
        delays = [
            system.delay("r", failures=count, now=0.0) for count in range(8)
        ]
        self.assertLess(delays[0], 0.051)
        self.assertGreater(delays[7], 0.49)
        self.assertLessEqual(max(delays), 1.0)
        self.assertEqual(len(system.release(1.0)), 8)

    def test_attempts_that_deliver_tokens_do_not_count(self) -> None:
        core = build_core(*(build_report(f"t{n}") for n in range(3)))
        actions = arrive(core, "r1", max_tokens=40)
        for _ in range(3 * CoreSettings().max_attempts):
            [dispatch] = [a for a in actions if isinstance(a, Dispatch)]
            actions = core.handle(
                fail(dispatch, Provenance.STARTED, tokens_out=2), now=0.0
            )
            if not actions:
                actions = core.tick(now=2.0)
        self.assertFalse([a for a in actions if isinstance(a, Refuse)])

    def test_budget_bounds_retries(self) -> None:
        reports = [build_report(f"t{n}", slots=999) for n in range(3)]
        core = build_core(*reports)
        retries = 0
        count = 1000
        for number in range(count):
            core.targets.get("t0").received_at = 0.0
            actions = arrive(core, f"r{number}", tokens_in=1)
            while actions and isinstance(actions[0], Dispatch):
                actions = core.handle(
                    fail(actions[0], Provenance.UNKNOWN), now=0.0
                )
                retries += bool(actions) and isinstance(actions[0], Dispatch)
        self.assertLessEqual(retries, RETRY_BURST + 0.1 * count)

    def test_overloaded_target_gets_no_new_requests(self) -> None:
        core = build_core(build_report("t1"), build_report("t2"))
        [first] = arrive(core, "r1")
        core.handle(
            fail(first, Provenance.NOT_DISPATCHED, retry_after_s=5.0), now=0.0
        )
        chosen = {
            a.chain[0].target_id
            for n in range(3)
            for a in arrive(core, f"q{n}", now=1.0)
        }
        self.assertNotIn(first.chain[0].target_id, chosen)

    def test_rejected_content_is_not_retried(self) -> None:
        core = build_core(build_report("t1"), build_report("t2"))
        [first] = arrive(core, "r1")
        refusal = Refusal(type="invalid_request", message="no", status=400)
        rejected = fail(first, Provenance.NOT_DISPATCHED, refusal=refusal)
        self.assertEqual(
            core.handle(rejected, now=0.1),
            [Refuse(request_id="r1", refusal=refusal)],
        )
        row = core.targets.get(first.chain[0].target_id)
        self.assertEqual(row.failures, 0)

    def test_late_attempt_of_a_running_request_ends_at_its_deadline(self):
        core = build_core(build_report())
        arrive(core, "r1", kind=RequestKind.SERVICE, repeatable=False)
        cancel, end = core.tick(now=60.0)
        self.assertIsInstance(cancel, CancelAttempt)
        self.assertIs(end.refusal.execution, Execution.UNKNOWN)


class HedgeTest(unittest.TestCase):
    """Guards against hedges that double the load or repeat calls."""

    def trained_core(self):
        """Returns a core that has measured durations of 0.1 s."""
        core = build_core(
            build_report("t1"),
            build_report("t2"),
            settings=CoreSettings(hedging=True, heartbeat_timeout_s=999.0),
        )
        for number in range(MIN_HEDGE_SAMPLES + 5):
            now = float(number)
            arrive(core, f"w{number}", now=now, deadline=now + 60)
            done = AttemptSucceeded(
                request_id=f"w{number}", attempt=1, tokens_out=10
            )
            core.handle(done, now=now + 0.1)
        return core

    def test_late_request_is_hedged_on_a_second_target(self) -> None:
        core = self.trained_core()
        [first] = arrive(core, "late", now=100.0, deadline=160.0)
        self.assertEqual(core.tick(now=100.05), [])
        [second] = core.tick(now=101.0)
        self.assertNotEqual(first.chain, second.chain)
        done = AttemptSucceeded(request_id="late", attempt=2, tokens_out=10)
        self.assertEqual(
            core.handle(done, now=101.2),
            [
                Finish(request_id="late"),
                CancelAttempt(request_id="late", attempt=1),
            ],
        )

    def test_failed_hedge_leaves_the_first_attempt_running(self) -> None:
        core = self.trained_core()
        arrive(core, "late", now=100.0, deadline=160.0)
        [second] = core.tick(now=101.0)
        self.assertEqual(
            core.handle(fail(second, Provenance.UNKNOWN), now=101.1), []
        )
        done = AttemptSucceeded(request_id="late", attempt=1, tokens_out=10)
        [end] = core.handle(done, now=101.2)
        self.assertIsInstance(end, Finish)

    def test_streams_and_non_repeatable_calls_are_not_hedged(self) -> None:
        core = self.trained_core()
        arrive(core, "s", now=100.0, deadline=160.0, stream=True)
        arrive(core, "n", now=100.0, deadline=160.0, repeatable=False)
        self.assertEqual(core.tick(now=101.0), [])

    def test_hedges_stay_within_their_budget(self) -> None:
        core = self.trained_core()
        core.hedges.budget.tokens = 1.0
        for number in range(3):
            arrive(core, f"r{number}", now=100.0, deadline=160.0)
        sent = [a for a in core.tick(now=101.0) if isinstance(a, Dispatch)]
        self.assertEqual(len(sent), 1)
        self.assertFalse(
            [a for a in core.tick(now=101.1) if isinstance(a, Refuse)]
        )
