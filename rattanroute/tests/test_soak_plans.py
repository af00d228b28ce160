"""Tests of the fault plans of soaks."""

import itertools
import unittest

from rattanroute.platform.trial_deployments import GRACE_SECONDS
from rattanroute.tests.soak_support import build_machines
from rattanroute.tools.soak_planned_work import plan_planned_work
from rattanroute.tools.soak_plans import Action
from rattanroute.tools.soak_plans import CATCH_UP_SECONDS
from rattanroute.tools.soak_plans import plan_soak
from rattanroute.tools.soak_plans import PLANNED_ACTIONS
from rattanroute.tools.soak_plans import SoakPlan

SECONDS = 20.0
SEEDS = range(200)


def build_plan(seed: int) -> SoakPlan:
    """Builds the plan of a seed."""
    return plan_soak(
        seed,
        machines=build_machines(),
        replicas=["zone-a-desk-0", "zone-b-engine-1"],
        seconds=SECONDS,
    )


class SoakPlanTest(unittest.TestCase):
    """Guards against plans that are not reproducible or too severe."""

    def test_same_seed_gives_same_plan(self) -> None:
        """Guards against a seed whose plan is not reproducible."""
        self.assertEqual(build_plan(7), build_plan(7))
        self.assertNotEqual(build_plan(7), build_plan(8))

    def test_one_core_machine_at_a_time(self) -> None:
        """Guards against overlapping outages of core machines."""
        core = {x.name for x in build_machines() if x.core}
        for seed in SEEDS:
            faults = [
                x
                for x in build_plan(seed).faults
                if not core.isdisjoint(x.subjects)
            ]
            for first, second in itertools.pairwise(faults):
                free = first.end + CATCH_UP_SECONDS
                self.assertGreaterEqual(second.at, free, seed)

    def test_all_actions_are_drawn(self) -> None:
        """Guards against a missing action and plans without overlaps.

        Also guards against faults that start outside the traffic.
        """
        actions = set()
        overlapping = 0
        for seed in SEEDS:
            faults = build_plan(seed).faults
            actions.update(x.action for x in faults)
            overlapping += any(
                b.at < a.end for a, b in itertools.pairwise(faults)
            )
            self.assertTrue(all(0 < x.at < SECONDS for x in faults))
        self.assertEqual(actions, set(Action))
        self.assertGreater(overlapping, len(SEEDS) / 2)


class PlannedWorkTest(unittest.TestCase):
    """Guards against plans without the work that operators plan."""

    def build(self, seed: int) -> SoakPlan:
        """Builds the plan of a seed."""
        return plan_planned_work(
            seed,
            machines=build_machines(),
            replicas=["zone-a-desk-0", "zone-b-engine-1"],
            seconds=SECONDS,
        )

    def test_same_seed_gives_same_plan(self) -> None:
        """Guards against a seed whose plan is not reproducible."""
        self.assertEqual(self.build(7), self.build(7))
        self.assertNotEqual(self.build(7), self.build(8))

    def test_planned_work_only(self) -> None:
        """Guards against an unplanned fault, which excuses requests."""
        for seed in SEEDS:
            plan = self.build(seed)
            self.assertFalse(plan.final_fault)
            actions = {x.action for x in plan.faults}
            self.assertLessEqual(actions, PLANNED_ACTIONS, seed)

    def test_stops_overlap_and_repeat(self) -> None:
        """Guards against stops that never overlap or repeat a signal."""
        overlaps = 0
        repeated = set()
        for seed in SEEDS:
            stops = [
                x for x in self.build(seed).faults if x.action is Action.STOP
            ]
            for stop, later in itertools.pairwise(stops):
                overlaps += later.at - stop.at < GRACE_SECONDS
            repeated |= {y.action for x in stops for y in x.repeated_signals}
        self.assertGreater(overlaps, len(SEEDS))
        self.assertEqual(repeated, {Action.STOP, Action.RELOAD})
