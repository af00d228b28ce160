"""Tests of the pipeline planner."""

import itertools
import random
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from rattanroute.actions import Hop
from rattanroute.systems import chain_searches
from rattanroute.systems.pipelines import PipelinePlanner
from rattanroute.tables.links import LinkTable
from rattanroute.tables.requests import Attempt
from rattanroute.tables.targets import TargetTable
from rattanroute.tests.support import build_report
from rattanroute.tests.support import build_request

LAYERS = 6
DATA_CENTRES = ("dc-a", "dc-b", "dc-c")


def build_links() -> LinkTable:
    """Builds two links that differ 100-fold in delay and bandwidth."""
    links = LinkTable()
    links.record(
        source="dc-a",
        destination="dc-b",
        delay_s=0.0005,
        bytes_per_second=1e9,
    )
    links.record(
        source="dc-a", destination="dc-c", delay_s=0.05, bytes_per_second=1e7
    )
    return links


def build_planner(**changes: object) -> PipelinePlanner:
    """Builds a planner for which every target is eligible."""
    values: dict[str, object] = {
        "data_centre": "dc-a",
        "links": build_links(),
        "eligible": lambda target, now: True,
    }
    values.update(changes)
    return PipelinePlanner(**values)


def build_table(*reports: dict[str, object]) -> TargetTable:
    """Builds a table of targets with the IDs t0, t1 and so on."""
    table = TargetTable()
    for number, values in enumerate(reports):
        report = build_report(
            f"t{number}", **{"total_layers": LAYERS, **values}
        )
        table.record(report=report, observer="vm", received_at=0.0)
    return table


def plan(table: TargetTable, **changes: object) -> tuple[Hop, ...] | None:
    """Plans a chain for version 1."""
    planner = build_planner(**changes)
    return planner.plan(model="m", version="1", targets=table, now=0.0)


def target_ids(hops: tuple[Hop, ...] | None) -> list[str]:
    """Returns the target IDs of a chain."""
    return [hop.target_id for hop in hops or ()]


def cost_of(chain: list[tuple[object, int, int]]) -> float:
    """Returns the planner's cost of stages of (candidate, begin, end)."""
    times = [item.stage_seconds(end - begin) for item, begin, end in chain]
    return sum(times) + chain_searches.BOTTLENECK_WEIGHT * max(times)


def find_lowest_cost(
    candidates: list[chain_searches.StageCandidate],
) -> float | None:
    """Returns the cost of the cheapest chain, found by exhaustive search."""
    cuts = {0, LAYERS}
    cuts |= {item.first for item in candidates}
    cuts |= {item.end for item in candidates}
    inner = sorted(cuts - {0, LAYERS})
    costs: list[float] = []
    for count in range(min(len(inner) + 1, len(candidates))):
        for chosen in itertools.combinations(inner, count):
            edges = list(itertools.pairwise([0, *chosen, LAYERS]))
            for items in itertools.permutations(candidates, len(edges)):
                chain = [
                    (item, *edge)
                    for item, edge in zip(items, edges, strict=True)
                ]
                if all(c.first <= b and e <= c.end for c, b, e in chain):
                    costs.append(cost_of(chain))
    return min(costs, default=None)


@st.composite
def reports(draw: st.DrawFn) -> dict[str, object]:
    """Draws a report with a range of layers, a speed and a load."""
    first = draw(st.integers(0, LAYERS - 1))
    return {
        "first_layer": first,
        "last_layer": draw(st.integers(first, LAYERS - 1)),
        "data_centre": draw(st.sampled_from(DATA_CENTRES)),
        "tokens_per_second": draw(st.sampled_from((10.0, 30.0, 200.0))),
        "running": draw(st.integers(0, 8)),
    }


class PlanPropertyTest(unittest.TestCase):
    """Checks properties of plans for generated sets of targets."""

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.lists(reports(), min_size=1, max_size=5))
    def test_chain_is_valid_and_cheapest(self, values: list[dict]) -> None:
        """Guards against skipped layers, repeated targets and costly chains."""
        table = build_table(*values)
        planner = build_planner()
        with mock.patch.object(chain_searches, "MAX_REPEAT_SPLITS", 32):
            hops = planner.plan(model="m", version="1", targets=table, now=0.0)
        candidates = [planner.build_candidate(row) for row in table]
        expected = find_lowest_cost(candidates)
        if expected is None:
            self.assertIsNone(hops)
            return
        layers = [
            layer
            for hop in hops
            for layer in range(hop.first_layer, hop.last_layer + 1)
        ]
        self.assertEqual(layers, list(range(LAYERS)))
        self.assertEqual(len(set(target_ids(hops))), len(hops))
        by_id = {item.target_id: item for item in candidates}
        chain = [
            (by_id[hop.target_id], hop.first_layer, hop.last_layer + 1)
            for hop in hops
        ]
        for item, begin, end in chain:
            self.assertTrue(item.first <= begin < end <= item.end)
        bound = expected * (1 + chain_searches.COST_TOLERANCE)
        self.assertLessEqual(
            cost_of(chain), bound * (1 + chain_searches.ROUNDING_TOLERANCE)
        )

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.lists(reports(), min_size=1, max_size=5))
    def test_bounded_search_is_valid(self, values: list[dict]) -> None:
        """Guards against an invalid chain when the search may not split."""
        table = build_table(*values)
        with mock.patch.object(chain_searches, "MAX_REPEAT_SPLITS", 0):
            hops = plan(table)
        self.assertEqual(hops is None, plan(table) is None)
        layer = 0
        for hop in hops or ():
            report = table.get(hop.target_id).report
            self.assertEqual(hop.first_layer, layer)
            self.assertGreaterEqual(hop.first_layer, report.first_layer)
            self.assertLessEqual(hop.last_layer, report.last_layer)
            layer = hop.last_layer + 1
        self.assertEqual(layer, LAYERS if hops else 0)
        self.assertEqual(len(set(target_ids(hops))), len(target_ids(hops)))


class PlanTest(unittest.TestCase):
    """Tests single rules of the planner."""

    def test_missing_layer_gives_no_chain(self) -> None:
        """Guards against a chain with a gap."""
        table = build_table(
            {"last_layer": 1}, {"first_layer": 3, "last_layer": 5}
        )
        self.assertIsNone(plan(table))

    def test_slow_link_is_avoided(self) -> None:
        """Guards against ignoring the delay of links."""
        table = build_table(
            {"last_layer": 5, "data_centre": "dc-c"},
            {"last_layer": 2, "data_centre": "dc-b"},
            {"first_layer": 3, "last_layer": 5},
        )
        self.assertEqual(target_ids(plan(table)), ["t1", "t2"])

    def test_bandwidth_counts(self) -> None:
        """Guards against choosing a link with low delay but low bandwidth."""
        links = LinkTable()
        links.record(
            source="dc-a",
            destination="dc-b",
            delay_s=0.0001,
            bytes_per_second=1e5,
        )
        table = build_table(
            {"last_layer": 5, "data_centre": "dc-b"},
            {"last_layer": 5, "tokens_per_second": 50.0},
        )
        self.assertEqual(target_ids(plan(table, links=links)), ["t1"])

    def test_bottleneck_counts(self) -> None:
        """Guards against a long stage that limits the chain's throughput."""
        table = build_table(
            {"last_layer": 3},
            {"last_layer": 1},
            {"first_layer": 2, "last_layer": 3},
            {"first_layer": 4, "last_layer": 5, "tokens_per_second": 1000.0},
        )
        ranges = [(hop.first_layer, hop.last_layer) for hop in plan(table)]
        self.assertEqual(ranges, [(0, 1), (2, 3), (4, 5)])

    def test_load_since_report_counts(self) -> None:
        """Guards against overloading a target whose report is stale."""
        table = build_table({"last_layer": 5}, {"last_layer": 5, "running": 1})
        self.assertEqual(target_ids(plan(table)), ["t0"])
        table.get("t0").sent_since_report = 3
        self.assertEqual(target_ids(plan(table)), ["t1"])

    def test_ineligible_targets_are_not_used(self) -> None:
        """Guards against work for targets that are leaving or unreachable."""
        table = build_table({"last_layer": 5}, {"last_layer": 5, "running": 4})
        hops = plan(
            table, eligible=lambda row, now: row.report.target_id != "t0"
        )
        self.assertEqual(target_ids(hops), ["t1"])

    def test_versions_are_not_mixed(self) -> None:
        """Guards against layers of two versions in one chain."""
        table = build_table(
            {"last_layer": 2, "version": "1"},
            {"first_layer": 3, "last_layer": 5, "version": "2"},
        )
        hops = build_planner().plan(
            model="m", version="", targets=table, now=0.0
        )
        self.assertIsNone(hops)

    def test_equal_targets_share_the_work(self) -> None:
        """Guards against all VMs choosing the same one of equal targets."""
        table = build_table(*[{"last_layer": 5}] * 10)
        chosen = {
            target_ids(plan(table, rng=random.Random(seed)))[0]
            for seed in range(50)
        }
        self.assertGreaterEqual(len(chosen), 8)


class ReplaceTest(unittest.TestCase):
    """Tests the replacement of a failed stage."""

    def replace(self, table: TargetTable) -> tuple[Hop, ...] | None:
        request = build_request()
        chain = (
            Hop(target_id="t0", address="", first_layer=0, last_layer=1),
            Hop(target_id="t1", address="", first_layer=2, last_layer=3),
            Hop(target_id="t2", address="", first_layer=4, last_layer=5),
        )
        request.attempts.append(
            Attempt(number=1, chain=chain, dispatched_at=0.0)
        )
        return build_planner().replace(
            request=request, failed_target_id="t1", targets=table, now=0.0
        )

    def test_only_the_failed_layers_are_covered(self) -> None:
        """Guards against running layers again and reusing targets."""
        table = build_table(
            {"last_layer": 3},
            {"first_layer": 2, "last_layer": 3},
            {"first_layer": 2, "last_layer": 5},
            {"first_layer": 1, "last_layer": 2},
            {"first_layer": 3, "last_layer": 4},
        )
        hops = self.replace(table)
        self.assertEqual(
            [(h.target_id, h.first_layer, h.last_layer) for h in hops],
            [("t3", 2, 2), ("t4", 3, 3)],
        )

    def test_replacement_has_the_version_of_the_chain(self) -> None:
        """Guards against a replacement that runs another version."""
        table = build_table(
            {"last_layer": 1},
            {"first_layer": 2, "last_layer": 3},
            {"first_layer": 4, "last_layer": 5},
            {"first_layer": 2, "last_layer": 3, "version": "2"},
        )
        self.assertIsNone(self.replace(table))
