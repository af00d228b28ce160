"""Tests of repartitioning layers after the loss of engines."""

import dataclasses
import unittest

from rattanroute.systems.chain_choices import cache_capacity
from rattanroute.systems.layer_assignments import count_copies
from rattanroute.systems.layer_assignments import count_fitting_layers
from rattanroute.systems.layer_assignments import LayerHolder
from rattanroute.systems.layer_assignments import MIN_CONCURRENCY
from rattanroute.systems.layer_assignments import plan_loads
from rattanroute.systems.layer_assignments import plan_moves
from rattanroute.systems.repartitions import plan_repartition
from rattanroute.systems.repartitions import plan_repartitions
from rattanroute.tables.routes import Accelerator
from rattanroute.tables.routes import Engine
from rattanroute.tests.gateway_support import build_engine
from rattanroute.tests.gateway_support import build_holders
from rattanroute.tests.gateway_support import KINDS
from rattanroute.tests.gateway_support import LAYERS

# A data centre with little more memory than one copy of the layers needs.
TIGHT = {"dc-a": {"big": 1, "small": 6, "tiny": 2}}
TINY = Accelerator(
    name="tiny", memory_bytes=14.4e9, step_factor=15.0, prefill_factor=15.0
)


def build_tight_engine() -> Engine:
    """Builds an engine model with an additional, smaller accelerator."""
    engine = build_engine()
    kinds = {**engine.accelerators, TINY.name: TINY}
    return dataclasses.replace(engine, accelerators=kinds)


class RepartitionTest(unittest.TestCase):
    """Guards against a data centre that stays incomplete after a loss."""

    def setUp(self) -> None:
        self.engine = build_tight_engine()
        empty = build_holders(TIGHT)
        plan = plan_loads(self.engine, empty)
        self.holders = [
            dataclasses.replace(x, layers=plan[x.target_id]) for x in empty
        ]

    def remove(self, *names: str) -> list[LayerHolder]:
        """Returns the holders without the named ones."""
        return [x for x in self.holders if x.target_id not in names]

    def count_max_layers(self, holders: list[LayerHolder]) -> int:
        """Returns how many layers fit with the least number of requests."""
        return sum(
            count_fitting_layers(
                self.engine,
                self.engine.accelerators[x.accelerator],
                MIN_CONCURRENCY,
            )
            for x in holders
        )

    def apply(self, remaining: list[LayerHolder]) -> list[LayerHolder]:
        """Returns the holders after they have been repartitioned."""
        plan = plan_repartitions(self.engine, remaining)
        return [
            dataclasses.replace(x, layers=plan.get(x.target_id, x.layers))
            for x in remaining
        ]

    def test_rest_takes_all_layers_after_any_loss(self) -> None:
        for lost in self.holders:
            with self.subTest(lost=lost.target_id):
                remaining = self.remove(lost.target_id)
                if not plan_repartitions(self.engine, remaining):
                    copies = count_copies(self.engine, remaining)
                    complete = min(copies) > 0
                    self.assertTrue(
                        complete or self.count_max_layers(remaining) < LAYERS
                    )
                    continue
                after = self.apply(remaining)
                self.assertGreater(min(count_copies(self.engine, after)), 0)
                self.check_capacity(after)

    def check_capacity(self, holders: list[LayerHolder]) -> None:
        """Checks that each engine has memory for the least useful load."""
        tokens = self.engine.typical_prompt + self.engine.typical_answer
        for holder in holders:
            kind = self.engine.accelerators[holder.accelerator]
            width = holder.layers.end - holder.layers.first
            capacity = cache_capacity(self.engine, kind, width) / width
            self.assertGreaterEqual(capacity, MIN_CONCURRENCY * tokens)

    def test_a_small_loss_is_filled_with_few_loads(self) -> None:
        remaining = self.remove("dc-a-tiny-1")
        lost = next(x for x in self.holders if x.target_id == "dc-a-tiny-1")
        before = {x.target_id: x.layers for x in remaining}
        loads = 0
        for name, layers in plan_repartitions(self.engine, remaining).items():
            previous = before[name]
            kept = min(layers.end, previous.end) - max(
                layers.first, previous.first
            )
            loads += layers.end - layers.first - max(0, kept)
        self.assertGreater(loads, 0)
        width = lost.layers.end - lost.layers.first
        self.assertLessEqual(loads, len(remaining) * width)

    def test_nothing_changes_without_a_gap(self) -> None:
        self.assertEqual(plan_repartitions(self.engine, self.holders), {})

    def test_too_few_engines_are_left_alone(self) -> None:
        remaining = self.remove("dc-a-big-0", "dc-a-small-0", "dc-a-small-1")
        self.assertEqual(plan_repartition(self.engine, remaining), {})

    def test_moves_of_spare_engines_come_first(self) -> None:
        """Guards against repartitioning where moving one engine is enough."""
        engine = build_engine()
        empty = build_holders()
        plan = plan_loads(engine, empty)
        holders = [
            dataclasses.replace(x, layers=plan[x.target_id])
            for x in empty
            if x.target_id != "dc-a-middle-2"
        ]
        self.assertTrue(plan_moves(engine, holders))

    def test_largest_plan_is_fast(self) -> None:
        """Guards against blocking the event loop at a large site."""
        engine = build_engine()
        empty = build_holders({"dc-a": dict.fromkeys(KINDS, 20)})
        plan = plan_loads(engine, empty)
        holders = [
            dataclasses.replace(x, layers=plan[x.target_id])
            for x in empty
            if plan[x.target_id].first > 0
        ]
        after = plan_repartition(engine, holders)
        self.assertTrue(after)
        self.assertLess(max(x.end for x in after.values()), LAYERS + 1)
