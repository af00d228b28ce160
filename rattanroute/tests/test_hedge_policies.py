"""Tests of hedges of the gateway's calls, without a network."""

import asyncio
import math
from types import SimpleNamespace
import unittest

from rattanroute.gateway.calls import HedgeEvent
from rattanroute.gateway.chain_finders import ChainFinder
from rattanroute.gateway.hedges import build_key
from rattanroute.gateway.hedges import HedgePolicy
from rattanroute.gateway.outcomes import Superseded
from rattanroute.gateway.send_budgets import SendBudget
from rattanroute.gateway.stream_attempts import StreamRun
from rattanroute.gateway.stream_hedges import StreamHedger
from rattanroute.gateway.stream_sinks import StreamState
from rattanroute.metrics import MetricsRegistry
from rattanroute.systems.first_event_estimates import estimate_first_event
from rattanroute.systems.hedges import HedgeSettings
from rattanroute.systems.hedges import HedgeSystem
from rattanroute.systems.hedges import MIN_HEDGE_SAMPLES
from rattanroute.systems.hedges import MIN_HEDGE_SECONDS
from rattanroute.systems.retry_budgets import RetryBudget
from rattanroute.tables.routes import RouteKind
from rattanroute.tests.gateway_hosts import build_events
from rattanroute.tests.gateway_hosts import build_head
from rattanroute.tests.gateway_support import build_chooser
from rattanroute.tests.gateway_support import build_targets
from rattanroute.tests.gateway_support import SERVICE
from rattanroute.tests.hedge_builders import build_attempt
from rattanroute.tests.hedge_builders import build_call
from rattanroute.tests.hedge_builders import build_chain
from rattanroute.tests.hedge_builders import DEADLINE_SECONDS
from rattanroute.tests.hedge_builders import SenderStub

USUAL_SECONDS = 0.1
REQUESTS = 100


class PolicyTestCase(unittest.IsolatedAsyncioTestCase):
    """A test case with the limits of hedges that a front has."""

    def setUp(self) -> None:
        """Builds the policy, with a budget and recent times."""
        self.hedges = HedgeSystem(
            settings=HedgeSettings(ratio=0.1, per_second=2.0)
        )
        self.retry_budget = RetryBudget(ratio=0.2, extra=10, window_s=10)
        self.metrics = MetricsRegistry()
        self.suspects: set[str] = set()
        self.stopping = False
        self.policy = HedgePolicy(
            hedges=self.hedges,
            budget=SendBudget(retry_budget=self.retry_budget, vms=lambda: 1),
            crashes=SimpleNamespace(
                is_suspect=lambda call: call.workspace in self.suspects
            ),
            is_stopping=lambda: self.stopping,
            events=self.metrics.hedges,
        )
        self.call = build_call()
        for _ in range(REQUESTS):
            self.policy.note_call(self.call)
        for _ in range(MIN_HEDGE_SAMPLES):
            self.policy.note_time(self.call, USUAL_SECONDS, 0.0)


class HedgePolicyTest(PolicyTestCase):
    """Guards against hedges that the operator or the route forbids."""

    def test_late_call(self) -> None:
        self.assertEqual(self.policy.find_delay(self.call, 0.0), USUAL_SECONDS)
        self.assertTrue(self.policy.may_start(self.call, USUAL_SECONDS))
        self.assertTrue(self.policy.take(self.call, USUAL_SECONDS))
        self.assertIs(self.call.hedge, HedgeEvent.STARTED)
        self.assertEqual(
            self.retry_budget.count(SERVICE, USUAL_SECONDS).repeats, 1
        )

    def test_calls_that_must_not_run_twice(self) -> None:
        for changes in (
            {"resumable": False},
            {"kind": RouteKind.AT_MOST_ONCE},
            {"max_attempts": 1},
        ):
            with self.subTest(changes=changes):
                call = build_call(**changes)
                self.hedges.recent[build_key(call)] = self.hedges.recent[
                    build_key(self.call)
                ]
                delay = self.policy.find_delay(call, 0.0)
                self.assertEqual(delay, math.inf)

    def test_call_that_was_sent_again(self) -> None:
        """Guards against a hedge beside the replacement of a failure."""
        self.call.sends = 2
        self.assertEqual(self.policy.find_delay(self.call, 0.0), math.inf)
        self.assertFalse(self.policy.may_start(self.call, 0.1))

    def test_shortest_delay(self) -> None:
        """Guards against hedges of calls that take a few milliseconds."""
        self.hedges.recent.clear()
        for _ in range(MIN_HEDGE_SAMPLES):
            self.policy.note_time(self.call, 0.001, 0.0)
        delay = self.policy.find_delay(self.call, 0.0)
        self.assertEqual(delay, MIN_HEDGE_SECONDS)

    def test_too_little_time_is_left(self) -> None:
        """Guards against a hedge whose answer comes after the deadline."""
        now = DEADLINE_SECONDS - USUAL_SECONDS / 2
        self.assertFalse(self.policy.may_start(self.call, now))

    def test_planned_stop(self) -> None:
        self.stopping = True
        self.assertFalse(self.policy.may_start(self.call, 0.1))

    def test_suspect_request(self) -> None:
        self.suspects.add("w1")
        self.assertFalse(self.policy.may_start(self.call, 0.1))

    def test_empty_retry_budget(self) -> None:
        self.retry_budget.extra = 0.0
        self.assertFalse(self.policy.may_start(self.call, 0.1))
        self.assertFalse(self.policy.take(self.call, 0.1))
        self.assertIsNone(self.call.hedge)

    def test_empty_hedge_budget(self) -> None:
        self.hedges.budget.tokens = 0.0
        self.assertFalse(self.policy.take(self.call, 0.1))
        self.assertEqual(self.retry_budget.count(SERVICE, 0.1).repeats, 0)

    def test_hedges_leave_half_of_the_retry_budget(self) -> None:
        """Guards against failures that find no budget left."""
        self.hedges.budget.tokens = 100.0
        self.hedges.rate.per_second = math.inf
        # With recent counts a VM may also borrow from the other half.
        self.retry_budget.update_others((), vms=1, now=0.1)
        sent = 0
        for _ in range(100):
            if self.policy.may_start(self.call, 0.1):
                sent += self.policy.take(self.call, 0.1)
        self.assertEqual(sent, self.retry_budget.extra / 2)


class CapacityTest(PolicyTestCase):
    """Guards against hedges that take capacity from waiting requests."""

    async def asyncSetUp(self) -> None:
        """Builds a late stream among engines that have room."""
        chooser = build_chooser(build_targets())
        self.finder = ChainFinder(
            selector=SimpleNamespace(
                detections=SimpleNamespace(end_backoffs=lambda now: None),
                targets=chooser.targets,
            ),
            chooser=chooser,
        )
        self.hedger = StreamHedger(
            policy=self.policy, finder=self.finder, pool=None
        )
        now = asyncio.get_running_loop().time()
        self.call.deadline = now + DEADLINE_SECONDS
        self.hedges.recent.clear()
        for _ in range(MIN_HEDGE_SAMPLES):
            self.policy.note_time(self.call, USUAL_SECONDS, now)
        self.run_state = StreamRun(
            call=self.call, state=StreamState(call=self.call)
        )
        self.first = build_attempt(
            self.finder.choose_chain(self.call, set(), set()),
            self.run_state,
            sent_at=now - 1.0,
        )
        self.run_state.add(self.first)

    async def test_chain_with_room(self) -> None:
        chain = self.hedger.choose(self.run_state, self.first)
        ids = {hop.target_id for hop in chain}
        self.assertTrue(chain)
        self.assertTrue(ids.isdisjoint(self.first.target_ids))

    async def test_no_chain_has_room(self) -> None:
        for target in self.finder.chooser.targets:
            self.finder.chooser.loads.add(
                target.report.target_id, requests=96, cache_units=0
            )
        self.assertEqual(self.hedger.choose(self.run_state, self.first), ())
        self.assertIsNone(self.call.hedge)
        self.assertEqual(self.retry_budget.count(SERVICE, 0.1).repeats, 0)

    async def test_a_request_waits(self) -> None:
        now = asyncio.get_running_loop().time()
        waiting = self.finder.queue.wait_queue.enqueue(
            service=SERVICE,
            priority=0,
            arrived_at=now,
            goal_s=0.2,
            max_wait_s=1.0,
            now=now,
        )
        self.assertEqual(self.hedger.choose(self.run_state, self.first), ())
        self.finder.queue.wait_queue.remove(waiting)
        self.assertTrue(self.hedger.choose(self.run_state, self.first))

    async def test_chain_that_is_predicted_to_be_slower(self) -> None:
        """Guards against extra work that cannot shorten the answer."""
        for target in self.finder.chooser.targets:
            target.pace = 500.0
        self.assertEqual(self.hedger.choose(self.run_state, self.first), ())
        self.assertIsNone(self.call.hedge)

    async def test_prediction_follows_pace_and_load(self) -> None:
        chooser = self.finder.chooser
        chain = self.first.chain

        def estimate() -> float:
            return estimate_first_event(
                self.call.service.engine,
                chain,
                self.demand,
                targets=chooser.targets,
                loads=chooser.loads,
            )

        self.demand = SimpleNamespace(prompt_tokens=774)
        idle = estimate()
        chooser.loads.add(chain[0].target_id, requests=50, cache_units=0)
        busy = estimate()
        self.assertGreater(busy, idle)
        chooser.targets.get(chain[0].target_id).pace = 7.0
        self.assertGreater(estimate(), busy)
        chooser.targets.remove(chain[0].target_id)
        self.assertEqual(estimate(), math.inf)


class LosingAttemptTest(PolicyTestCase):
    """Guards against events and conclusions of an attempt that has lost."""

    async def asyncSetUp(self) -> None:
        """Builds a stream with two open attempts."""
        self.sender = SenderStub()
        self.hedger = StreamHedger(policy=self.policy, finder=None, pool=None)
        self.stream = StreamRun(
            call=self.call, state=StreamState(call=self.call)
        )
        self.hedger.begin(self.stream, self.sender)
        now = asyncio.get_running_loop().time()
        self.call.hedge = HedgeEvent.STARTED
        self.attempts = [
            build_attempt(
                build_chain(name), self.stream, sent_at=now - age, hedge=hedge
            )
            for name, age, hedge in (("t1", 0.5, False), ("t2", 0.2, True))
        ]
        self.hedges.recent.clear()
        for attempt in self.attempts:
            self.stream.add(attempt)
            self.hedger.watch(self.stream, attempt)
            attempt.sink.receive_head(build_head(self.call.exchange))

    async def test_late_events_of_the_first_attempt(self) -> None:
        first, hedge = self.attempts
        hedge.sink.receive_body(build_events(1, 3))
        first.sink.receive_body(build_events(1, 7))
        hedge.sink.receive_body(build_events(3, 5))
        self.assertEqual(self.call.exchange.body, build_events(1, 5))
        self.assertEqual(self.sender.released, [first])
        self.assertIsInstance(first.sink.ended.result(), Superseded)
        self.assertIs(self.call.hedge, HedgeEvent.WON)
        self.assertEqual(self.call.possible_runners, {"t1"})

    async def test_late_events_of_the_hedge(self) -> None:
        first, hedge = self.attempts
        first.sink.receive_body(build_events(1, 3))
        hedge.sink.receive_body(build_events(1, 7))
        self.assertEqual(self.call.exchange.body, build_events(1, 3))
        self.assertEqual(self.sender.released, [hedge])
        self.assertIs(self.call.hedge, HedgeEvent.CANCELLED)
        self.assertEqual(self.call.possible_runners, {"t2"})

    async def test_times_of_both_attempts(self) -> None:
        """Guards against a percentile that falls with each hedge."""
        self.attempts[1].sink.receive_body(build_events(1, 3))
        samples = self.hedges.recent[build_key(self.call)].samples
        seconds = sorted(round(value, 1) for _, value in samples)
        self.assertEqual(seconds, [0.2, 0.5])

    async def test_events_are_counted_once(self) -> None:
        hedge = self.attempts[1]
        for number in range(1, 5):
            hedge.sink.receive_body(build_events(number, number + 1))
        labels = {"service": SERVICE, "event": "won"}
        self.assertEqual(self.metrics.hedges.get(labels), 1)
        self.assertEqual(len(self.sender.released), 1)


if __name__ == "__main__":
    unittest.main()
