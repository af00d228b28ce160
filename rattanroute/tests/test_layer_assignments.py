"""Tests of the assignment of layers to engines."""

import dataclasses
import unittest

from rattanroute.systems.chain_choices import cache_capacity
from rattanroute.systems.layer_assignments import count_copies
from rattanroute.systems.layer_assignments import LayerHolder
from rattanroute.systems.layer_assignments import LayerRange
from rattanroute.systems.layer_assignments import plan_loads
from rattanroute.systems.layer_assignments import plan_moves
from rattanroute.tests.gateway_support import build_engine
from rattanroute.tests.gateway_support import build_holders
from rattanroute.tests.gateway_support import CENTRES


def apply_plan(
    holders: list[LayerHolder], plan: dict[str, LayerRange]
) -> list[LayerHolder]:
    """Returns the holders after they have loaded the planned layers."""
    return [
        dataclasses.replace(x, layers=plan.get(x.target_id, x.layers))
        for x in holders
    ]


def filter_by_centre(
    holders: list[LayerHolder], centre: str
) -> list[LayerHolder]:
    """Returns the holders of a data centre."""
    return [x for x in holders if x.data_centre == centre]


class LayerAssignmentTest(unittest.TestCase):
    """Guards against layers that no target holds or that do not fit."""

    def setUp(self) -> None:
        self.engine = build_engine()
        self.empty = build_holders()
        self.plan = plan_loads(self.engine, self.empty)
        self.holders = apply_plan(self.empty, self.plan)

    def test_each_data_centre_holds_all_layers(self) -> None:
        for centre in CENTRES:
            copies = count_copies(
                self.engine, filter_by_centre(self.holders, centre)
            )
            self.assertGreaterEqual(min(copies), 1, centre)

    def test_layers_leave_memory_for_requests(self) -> None:
        for holder in self.holders:
            kind = self.engine.accelerators[holder.accelerator]
            width = holder.layers.end - holder.layers.first
            self.assertGreater(width, 0)
            self.assertLess(width * self.engine.layer_bytes, kind.memory_bytes)
            tokens = cache_capacity(self.engine, kind, width) / width
            self.assertGreater(tokens, 8 * 977)

    def test_holders_are_not_told_to_load_again(self) -> None:
        self.assertEqual(plan_loads(self.engine, self.holders), {})
        self.assertEqual(plan_moves(self.engine, self.holders), {})

    def test_plan_does_not_depend_on_the_order_of_reports(self) -> None:
        self.assertEqual(
            plan_loads(self.engine, reversed(self.empty)), self.plan
        )

    def test_restarted_engine_fills_its_gap(self) -> None:
        lost = "dc-b-big-1"
        holders = [
            dataclasses.replace(x, layers=None, target_id="new")
            if x.target_id == lost
            else x
            for x in self.holders
        ]
        self.assertEqual(
            plan_loads(self.engine, holders), {"new": self.plan[lost]}
        )

    def test_engine_of_unknown_kind_is_left_alone(self) -> None:
        unknown = LayerHolder(
            target_id="x", data_centre="dc-a", accelerator="unheard of"
        )
        self.assertNotIn("x", plan_loads(self.engine, [*self.empty, unknown]))

    def test_small_data_centres_serve_together(self) -> None:
        holders = build_holders(
            {"dc-a": {"middle": 2}, "dc-b": {"middle": 3}, "dc-c": {"big": 1}}
        )
        plan = plan_loads(self.engine, holders)
        copies = count_copies(self.engine, apply_plan(holders, plan))
        self.assertGreaterEqual(min(copies), 1)


class LostEngineTest(unittest.TestCase):
    """Guards against missing layers after the permanent loss of an engine."""

    def setUp(self) -> None:
        self.engine = build_engine()
        empty = build_holders()
        self.holders = apply_plan(empty, plan_loads(self.engine, empty))

    def test_engines_with_a_second_holder_move_into_the_gap(self) -> None:
        lost = {"dc-a-middle-2", "dc-b-middle-1", "dc-c-middle-0"}
        remaining = [x for x in self.holders if x.target_id not in lost]
        moves = plan_moves(self.engine, remaining)
        after = apply_plan(remaining, moves)
        for centre in CENTRES:
            copies = count_copies(self.engine, filter_by_centre(after, centre))
            self.assertGreaterEqual(min(copies), 1, centre)

    def test_only_engines_with_a_second_holder_move(self) -> None:
        remaining = [x for x in self.holders if x.target_id != "dc-a-middle-2"]
        before = count_copies(self.engine, filter_by_centre(remaining, "dc-a"))
        moves = plan_moves(self.engine, remaining)
        for holder in remaining:
            if holder.target_id in moves:
                held = holder.layers
                self.assertGreaterEqual(min(before[held.first : held.end]), 2)
