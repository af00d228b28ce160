"""Tests of the choice of chains under different loads and failures."""

import itertools
import unittest

from rattanroute.gateway.header_codecs import ChainHop
from rattanroute.systems.chain_choices import is_served
from rattanroute.systems.chain_choices import LinkRateLimiter
from rattanroute.systems.chain_choices import RequestDemand
from rattanroute.tables.routes import BackendService
from rattanroute.tables.targets import TargetTable
from rattanroute.tests.gateway_support import build_chooser
from rattanroute.tests.gateway_support import build_service
from rattanroute.tests.gateway_support import build_targets
from rattanroute.tests.gateway_support import CENTRES
from rattanroute.tests.gateway_support import LAYERS
from rattanroute.tests.gateway_support import SERVICE
from rattanroute.tests.support import build_report

DEMAND = RequestDemand(service=SERVICE, prompt_tokens=774, answer_tokens=203)


class ChainTest(unittest.TestCase):
    """Guards against chains that skip, repeat or reorder layers."""

    def setUp(self) -> None:
        self.targets = build_targets()
        self.chooser = build_chooser(self.targets)
        self.service = build_service()

    def choose(self, **changes: object) -> tuple[ChainHop, ...]:
        """Chooses a chain for a typical request."""
        values = {
            "excluded": frozenset(),
            "demanded": set(),
            "now": 0.0,
            **changes,
        }
        return self.chooser.choose(self.service, DEMAND, **values)

    def add_load(self, chain: tuple[ChainHop, ...]) -> None:
        """Adds a typical request to the load of its chain."""
        for hop in chain:
            units = DEMAND.tokens * (hop.end_layer - hop.first_layer)
            self.chooser.loads.add(hop.target_id, requests=1, cache_units=units)

    def centres_of(self, chain: tuple[ChainHop, ...]) -> set[str]:
        """Returns the data centres of a chain."""
        return {
            self.targets.get(hop.target_id).report.data_centre for hop in chain
        }

    def check(self, chain: tuple[ChainHop, ...]) -> None:
        """Checks that each layer runs once and in order."""
        layer = 0
        for hop in chain:
            self.assertEqual(hop.first_layer, layer)
            self.assertGreater(hop.end_layer, layer)
            report = self.targets.get(hop.target_id).report
            self.assertGreaterEqual(hop.first_layer, report.first_layer)
            self.assertLessEqual(hop.end_layer, report.last_layer + 1)
            layer = hop.end_layer
        self.assertEqual(layer, LAYERS)
        self.assertEqual(len({x.target_id for x in chain}), len(chain))

    def test_chain_runs_each_layer_once_within_one_data_centre(self) -> None:
        chain = self.choose()
        self.check(chain)
        self.assertEqual(len(self.centres_of(chain)), 1)

    def test_burst_spreads_over_the_data_centres_before_refusals(self) -> None:
        centres: set[str] = set()
        served = 0
        while served < 400:
            chain = self.choose()
            if not chain:
                break
            self.check(chain)
            self.add_load(chain)
            centres |= self.centres_of(chain)
            served += 1
        self.assertEqual(centres, set(CENTRES))
        self.assertGreater(served, 120)
        self.assertLess(served, 400)

    def test_large_prompts_never_exceed_the_memory(self) -> None:
        oversized = RequestDemand(
            service=SERVICE, prompt_tokens=400_000, answer_tokens=100
        )
        chain = self.chooser.choose(
            self.service,
            oversized,
            excluded=frozenset(),
            demanded=set(),
            now=0.0,
        )
        self.assertEqual(chain, ())

    def test_slow_engine_is_left_for_another_data_centre(self) -> None:
        (centre,) = self.centres_of(self.choose())
        for target in self.targets:
            if target.report.data_centre == centre:
                target.pace = 8.0
        self.assertNotEqual(self.centres_of(self.choose()), {centre})

    def test_dead_engine_is_not_used(self) -> None:
        dead = self.choose()[1].target_id
        self.targets.get(dead).reachable = False
        chain = self.choose()
        self.check(chain)
        self.assertNotIn(dead, {hop.target_id for hop in chain})

    def test_second_run_may_be_bound_to_the_first_target(self) -> None:
        first = self.choose()
        self.targets.get(first[1].target_id).reachable = False
        first_targets = frozenset({first[0].target_id})
        chain = self.choose(first_targets=first_targets)
        self.check(chain)
        self.assertIn(chain[0].target_id, first_targets)


class LostLayersTest(ChainTest):
    """Repeats the tests with data centres that each lack some layers."""

    def setUp(self) -> None:
        super().setUp()
        for centre, first in (("dc-a", 0), ("dc-b", 30), ("dc-c", 60)):
            for target in self.targets:
                report = target.report
                held = report.first_layer <= first <= report.last_layer
                if report.data_centre == centre and held:
                    target.reachable = False

    def test_chain_runs_each_layer_once_within_one_data_centre(self) -> None:
        chain = self.choose()
        self.check(chain)
        self.assertGreater(len(self.centres_of(chain)), 1)

    def test_burst_spreads_over_the_data_centres_before_refusals(self) -> None:
        second = 0.0
        sent = 0.0
        rate = self.service.engine.link_bytes_per_s
        for _ in range(4000):
            second += 0.01
            chain = self.choose(now=second)
            if chain:
                self.check(chain)
                centres = [
                    self.targets.get(x.target_id).report.data_centre
                    for x in chain
                ]
                crossings = sum(a != b for a, b in itertools.pairwise(centres))
                sent += crossings * DEMAND.tokens * 91_800
        self.assertLess(sent, rate * second)
        self.assertGreater(sent, 0)

    def test_slow_engine_is_left_for_another_data_centre(self) -> None:
        self.check(self.choose())


class KnownTargetsTest(unittest.TestCase):
    """Guards against accepting callers before requests can be served."""

    def test_all_layers_must_be_known(self) -> None:
        targets = build_targets()
        service = build_service()
        self.assertTrue(is_served(service, targets))
        for target in list(targets):
            if target.report.first_layer == 0:
                targets.remove(target.report.target_id)
        self.assertFalse(is_served(service, targets))

    def test_plain_service_needs_a_target_that_stays(self) -> None:
        service = BackendService(name="desk", max_connections=1)
        targets = TargetTable()
        self.assertFalse(is_served(service, targets))
        report = build_report("t1", model="desk", total_layers=0)
        targets.record(report=report, observer="v", received_at=0.0)
        self.assertTrue(is_served(service, targets))
        targets.get("t1").report.leaving = True
        self.assertFalse(is_served(service, targets))


class LinkRateLimiterTest(unittest.TestCase):
    """Guards against saturating the links between data centres."""

    def test_share_of_a_vm(self) -> None:
        limiter = LinkRateLimiter()
        consumed = sum(
            limiter.try_consume(10.0, rate=1000.0, vms=4, now=0.01 * step)
            for step in range(1000)
        )
        self.assertLessEqual(consumed * 10.0, 1000.0 / 4 * 10)
        self.assertGreater(consumed, 0)

    def test_no_limit(self) -> None:
        limiter = LinkRateLimiter()
        self.assertTrue(limiter.try_consume(1e12, rate=0.0, vms=4, now=0.0))
