"""Tests that each check of the soak sees a broken promise."""

import unittest

from rattanroute.platform.trial_deployments import CallKind
from rattanroute.platform.trial_deployments import KEPT_VERSION_ROUTES
from rattanroute.platform.trial_deployments import LAYERS
from rattanroute.platform.trial_deployments import SoakBounds
from rattanroute.tests.soak_support import build_attempt
from rattanroute.tests.soak_support import build_log
from rattanroute.tests.soak_support import build_probe
from rattanroute.tests.soak_support import build_record
from rattanroute.tests.soak_support import FRONT
from rattanroute.tools.soak_checks import find_broken
from rattanroute.tools.soak_crashes import CRASHING_CALLER
from rattanroute.tools.soak_plans import Action
from rattanroute.tools.soak_records import Acknowledgement
from rattanroute.tools.soak_records import Disturbance
from rattanroute.tools.soak_records import Ending
from rattanroute.tools.soak_records import Reading
from rattanroute.tools.soak_records import SoakLog

BOUNDS = SoakBounds()


def list_broken(log: SoakLog) -> set[str]:
    """Returns the names of the checks that failed."""
    return set(find_broken(log, BOUNDS))


def disturb(action: Action, start: float, end: float) -> Disturbance:
    """Returns a disturbance of the front."""
    return Disturbance(subjects=(FRONT,), action=action, start=start, end=end)


class RequestChecksTest(unittest.TestCase):
    """Guards against a soak that does not see wrong answers."""

    def test_good_log(self) -> None:
        """Guards against findings where nothing is wrong."""
        records = [build_record("arrival"), build_record("run")]
        self.assertEqual(list_broken(build_log(records=records)), set())

    def test_wrong_answer(self) -> None:
        """Guards against an answer of another request passing."""
        log = build_log(attempts=[build_attempt(fault="wrong body")])
        self.assertEqual(list_broken(log), {"check_answers"})

    def test_call_that_ran_twice(self) -> None:
        """Guards against a second run of a call that is not repeatable."""
        log = build_log(records=[build_record("run"), build_record("run")])
        self.assertEqual(list_broken(log), {"check_once"})

    def test_repeatable_call_may_run_twice(self) -> None:
        """Guards against findings on calls that may be repeated."""
        log = build_log(
            attempts=[build_attempt(kind=CallKind.REPEATABLE)],
            records=[build_record("run"), build_record("run")],
        )
        self.assertEqual(list_broken(log), set())

    def test_refused_call_that_ran_later(self) -> None:
        """Guards against a refusal that is not true, also after its time."""
        refused = build_attempt(ending=Ending.REFUSED, status=503)
        log = build_log(
            attempts=[refused, build_attempt(request_id="r2")],
            records=[build_record("run", at=90.0)],
        )
        self.assertEqual(list_broken(log), {"check_refusals"})

    def test_request_held_past_its_timeout(self) -> None:
        """Guards against an undisturbed front that answers too late."""
        late = build_attempt(ended_at=13.6)
        self.assertEqual(
            list_broken(build_log(attempts=[late])), {"check_time"}
        )
        frozen = disturb(Action.FREEZE, 9.0, 9.5)
        log = build_log(attempts=[late], disturbances=[frozen])
        self.assertEqual(list_broken(log), set())

    def test_stop_that_cuts_a_request(self) -> None:
        """Guards against a planned stop that breaks an answer off."""
        broken = build_attempt(ending=Ending.BROKEN, status=200, ended_at=12.0)
        stop = disturb(Action.STOP, 10.5, 15.0)
        attempts = [broken, build_attempt(request_id="r2")]
        log = build_log(attempts=attempts, disturbances=[stop])
        self.assertEqual(list_broken(log), {"check_stops"})
        killed = disturb(Action.KILL, 11.0, 12.0)
        log = build_log(attempts=attempts, disturbances=[stop, killed])
        self.assertEqual(list_broken(log), set())

    def test_stop_beside_a_crashed_replica(self) -> None:
        """Guards against findings on answers that a replica broke off."""
        stop = disturb(Action.STOP, 9.0, 12.0)
        cut = build_attempt(ending=Ending.BROKEN, sent_at=10.0, ended_at=10.4)
        for at, broken in ((10.2, set()), (9.9, {"check_stops"})):
            log = build_log(
                attempts=[cut, build_attempt(request_id="r2")],
                disturbances=[stop],
                records=[build_record("crash", at=at)],
            )
            self.assertEqual(list_broken(log), broken)

    def test_nothing_served_after_the_last_fault(self) -> None:
        """Guards against a deployment that stays down."""
        refused = build_attempt(ending=Ending.REFUSED, status=504)
        log = build_log(attempts=[refused] * 9 + [build_attempt()])
        self.assertEqual(list_broken(log), {"check_recovery"})


class EngineChecksTest(unittest.TestCase):
    """Guards against a soak that does not see wrong chains and loads."""

    def test_chain_with_a_gap_or_an_overlap(self) -> None:
        """Guards against layers that are left out or run twice."""
        good = [(0, 3), (3, LAYERS)]
        for chain in ([(0, 3), (4, LAYERS)], [(0, 4), (3, LAYERS)], [(0, 3)]):
            records = [build_record("chain", chain=chain)]
            log = build_log(records=records)
            self.assertEqual(list_broken(log), {"check_chains"}, chain)
        log = build_log(records=[build_record("chain", chain=good)])
        self.assertEqual(list_broken(log), set())

    def test_order_beyond_the_memory(self) -> None:
        """Guards against orders that crash an engine."""
        log = build_log(records=[build_record("overload", chain=[(0, 8)])])
        self.assertEqual(list_broken(log), {"check_memory"})

    def test_request_after_a_notice(self) -> None:
        """Guards against requests to a replica that has left."""
        records = [
            build_record("notice", at=5.0),
            build_record("arrival", at=7.5),
        ]
        log = build_log(records=records)
        self.assertEqual(list_broken(log), {"check_departures"})

    def test_crashing_request_that_is_sent_on(self) -> None:
        """Guards against a request that ends one replica after the other."""
        times = [10.0, 10.5, 11.0, 15.1, 15.5, 16.0, 16.5]
        names = [f"{CRASHING_CALLER}-{i}" for i in range(len(times))]
        log = build_log(
            attempts=[
                build_attempt(
                    request_id=name, ending=Ending.REFUSED, status=502
                )
                for name in names
            ]
            + [build_attempt()],
            records=[
                build_record("run", at=at, request_id=name)
                for at, name in zip(times, names, strict=True)
            ],
        )
        self.assertEqual(list_broken(log), {"check_crashes", "check_recovery"})
        log.attempts += [build_attempt(request_id=f"r{i}") for i in range(9)]
        self.assertEqual(list_broken(log), {"check_crashes"})
        log.records.pop()
        self.assertEqual(list_broken(log), set())

    def test_too_many_repeats(self) -> None:
        """Guards against retries beyond the budget."""
        count = int(BOUNDS.retry_extra) + 10
        records = [build_record("arrival", at=i / 100) for i in range(count)]
        log = build_log(records=records)
        self.assertEqual(list_broken(log), {"check_budget"})


class ConfigurationChecksTest(unittest.TestCase):
    """Guards against a soak that does not see lost or late changes."""

    def build(self, **changes: object) -> SoakLog:
        """Builds a log in which two versions were acknowledged."""
        values: dict[str, object] = {
            "acknowledgements": [
                Acknowledgement(version=1, at=1.0),
                Acknowledgement(version=2, at=5.0),
            ],
            "final_version": 2,
        }
        values.update(changes)
        return build_log(**values)

    def test_change_that_is_not_in_force(self) -> None:
        """Guards against a front that misses a change."""
        late = build_probe(version=2, known=False, sent_at=7.1)
        self.assertEqual(
            list_broken(self.build(probes=[late])), {"check_changes"}
        )
        early = build_probe(version=2, known=False, sent_at=6.9)
        self.assertEqual(list_broken(self.build(probes=[early])), set())

    def test_dropped_route_that_is_served(self) -> None:
        """Guards against a front that serves a route that is gone."""
        newer = Acknowledgement(version=1 + KEPT_VERSION_ROUTES, at=5.0)
        log = self.build(
            acknowledgements=[newer],
            probes=[build_probe(sent_at=7.1)],
            final_version=newer.version,
        )
        self.assertEqual(list_broken(log), {"check_changes"})

    def test_front_that_goes_back(self) -> None:
        """Guards against an older version in the same lifetime."""
        probes = [
            build_probe(
                version=1 + KEPT_VERSION_ROUTES, sent_at=1.0, ended_at=1.1
            ),
            build_probe(version=1, sent_at=2.0, ended_at=2.1),
        ]
        log = build_log(probes=probes)
        self.assertEqual(list_broken(log), {"check_regress"})

    def test_reading_that_is_too_old(self) -> None:
        """Guards against a read that misses an acknowledged change."""
        reading = Reading(
            machine="zone-a-core", sent_at=9.0, version=1, intact=True
        )
        self.assertEqual(
            list_broken(self.build(readings=[reading])), {"check_readings"}
        )

    def test_lost_configuration(self) -> None:
        """Guards against a change that is gone after the final fault."""
        log = self.build(final_version=1)
        self.assertEqual(list_broken(log), {"check_kept"})

    def test_process_that_ended_by_itself(self) -> None:
        """Guards against crashes that nothing else shows."""
        log = build_log(died=["zone-a-front-1 ended with 1"])
        self.assertEqual(list_broken(log), {"check_processes"})
