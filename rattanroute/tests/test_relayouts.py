"""Tests of sharing layers anew after a loss, by what was lost."""

import dataclasses
import unittest

from rattanroute.systems.relayouts import plan_relayout
from rattanroute.systems.relayouts import plan_relayouts
from rattanroute.systems.stagechoices import cache_capacity
from rattanroute.systems.stageplans import count_copies
from rattanroute.systems.stageplans import measure_width
from rattanroute.systems.stageplans import MIN_REQUESTS
from rattanroute.systems.stageplans import plan_moves
from rattanroute.systems.stageplans import plan_stages
from rattanroute.systems.stageplans import StageHolder
from rattanroute.tables.routes import Accelerator
from rattanroute.tables.routes import Engine
from rattanroute.tests.gateway_support import build_engine
from rattanroute.tests.gateway_support import build_holders
from rattanroute.tests.gateway_support import KINDS
from rattanroute.tests.gateway_support import LAYERS

# A data centre whose engines hold each layer hardly more than once.
TIGHT = {"dc-a": {"big": 1, "small": 6, "tiny": 2}}
TINY = Accelerator(
    name="tiny", memory_bytes=14.4e9, step_factor=15.0, prefill_factor=15.0
)


def build_tight_engine() -> Engine:
    """Builds the model of engines with a further, smaller kind of card."""
    engine = build_engine()
    kinds = {**engine.accelerators, TINY.name: TINY}
    return dataclasses.replace(engine, accelerators=kinds)


class LostStageTest(unittest.TestCase):
    """Guards against a data centre that waits for a lost engine."""

    def setUp(self) -> None:
        self.engine = build_tight_engine()
        empty = build_holders(TIGHT)
        plan = plan_stages(self.engine, empty)
        self.holders = [
            dataclasses.replace(x, layers=plan[x.target_id]) for x in empty
        ]

    def lose(self, *names: str) -> list[StageHolder]:
        """Returns the holders that are left."""
        return [x for x in self.holders if x.target_id not in names]

    def most_layers(self, holders: list[StageHolder]) -> int:
        """Returns the layers that fit beside the fewest requests."""
        return sum(
            measure_width(
                self.engine,
                self.engine.accelerators[x.accelerator],
                MIN_REQUESTS,
            )
            for x in holders
        )

    def apply(self, left: list[StageHolder]) -> list[StageHolder]:
        """Returns the holders after the new layout."""
        plan = plan_relayouts(self.engine, left)
        return [
            dataclasses.replace(x, layers=plan.get(x.target_id, x.layers))
            for x in left
        ]

    def test_rest_takes_all_layers_after_any_loss(self) -> None:
        for lost in self.holders:
            with self.subTest(lost=lost.target_id):
                left = self.lose(lost.target_id)
                if not plan_relayouts(self.engine, left):
                    copies = count_copies(self.engine, left)
                    spare = min(copies) > 0
                    self.assertTrue(spare or self.most_layers(left) < LAYERS)
                    continue
                after = self.apply(left)
                self.assertGreater(min(count_copies(self.engine, after)), 0)
                self.check_room(after)

    def check_room(self, holders: list[StageHolder]) -> None:
        """Checks that each engine has memory for some requests."""
        tokens = self.engine.typical_prompt + self.engine.typical_answer
        for holder in holders:
            kind = self.engine.accelerators[holder.accelerator]
            width = holder.layers.end - holder.layers.first
            room = cache_capacity(self.engine, kind, width) / width
            self.assertGreaterEqual(room, MIN_REQUESTS * tokens)

    def test_a_small_loss_is_filled_with_few_loads(self) -> None:
        left = self.lose("dc-a-tiny-1")
        lost = next(x for x in self.holders if x.target_id == "dc-a-tiny-1")
        before = {x.target_id: x.layers for x in left}
        loads = 0
        for name, layers in plan_relayouts(self.engine, left).items():
            old = before[name]
            kept = min(layers.end, old.end) - max(layers.first, old.first)
            loads += layers.end - layers.first - max(0, kept)
        self.assertGreater(loads, 0)
        width = lost.layers.end - lost.layers.first
        self.assertLessEqual(loads, len(left) * width)

    def test_nothing_changes_without_a_gap(self) -> None:
        self.assertEqual(plan_relayouts(self.engine, self.holders), {})

    def test_too_few_engines_are_left_alone(self) -> None:
        left = self.lose("dc-a-big-0", "dc-a-small-0", "dc-a-small-1")
        self.assertEqual(plan_relayout(self.engine, left), {})

    def test_moves_of_spare_engines_come_first(self) -> None:
        """Guards against loads everywhere where one engine could move."""
        engine = build_engine()
        empty = build_holders()
        plan = plan_stages(engine, empty)
        holders = [
            dataclasses.replace(x, layers=plan[x.target_id])
            for x in empty
            if x.target_id != "dc-a-middle-2"
        ]
        self.assertTrue(plan_moves(engine, holders))

    def test_largest_plan_is_fast(self) -> None:
        """Guards against a plan that holds the loop up at a large site."""
        engine = build_engine()
        empty = build_holders({"dc-a": dict.fromkeys(KINDS, 20)})
        plan = plan_stages(engine, empty)
        holders = [
            dataclasses.replace(x, layers=plan[x.target_id])
            for x in empty
            if plan[x.target_id].first > 0
        ]
        after = plan_relayout(engine, holders)
        self.assertTrue(after)
        self.assertLess(max(x.end for x in after.values()), LAYERS + 1)
