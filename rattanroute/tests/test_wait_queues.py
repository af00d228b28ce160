"""Tests of the queue of requests that wait for capacity on the engines."""

import dataclasses
import unittest

from rattanroute.systems.wait_queues import MAX_WAIT_SECONDS
from rattanroute.systems.wait_queues import MAX_WAITING
from rattanroute.systems.wait_queues import MIN_WAITING
from rattanroute.systems.wait_queues import START_DELAY_SECONDS
from rattanroute.systems.wait_queues import WaitingRequest
from rattanroute.systems.wait_queues import WaitQueue

GOAL_SECONDS = 0.5
# Time from the start of a request to its first event on a loaded chain.
FIRST_EVENT_SECONDS = 0.1
STEP_SECONDS = 0.01


@dataclasses.dataclass
class Outcome:
    """Counts of the requests of a simulated load by their result.

    Attributes:
        good: First event within the goal.
        late: First event after the goal.
        refused: Not started.
    """

    good: int = 0
    late: int = 0
    refused: int = 0


def enqueue(
    queue: WaitQueue, now: float, *, priority: int = 0, service: str = "llm"
) -> WaitingRequest | None:
    """Queues a request that arrives now."""
    return queue.enqueue(
        service=service,
        priority=priority,
        arrived_at=now,
        goal_s=GOAL_SECONDS,
        max_wait_s=20.0,
        now=now,
    )


def simulate(
    arrivals: list[float], *, starts_per_s: float, waits: bool = True
) -> Outcome:
    """Simulates arrivals at engines that start requests at a fixed rate.

    Args:
        arrivals: Times of arrival, in seconds.
        starts_per_s: Requests per second that the engines can start.
        waits: Whether requests wait; otherwise those that find no capacity
            are refused immediately.
    """
    queue = WaitQueue()
    outcome = Outcome()
    left = sorted(arrivals)
    now = 0.0
    next_start = 0.0
    while left or queue.requests:
        while left and left[0] <= now:
            outcome.refused += enqueue(queue, left.pop(0)) is None
        outcome.refused += len(queue.take_expired(now))
        while queue.requests and next_start <= now:
            first = queue.sort_by_turn(now)[0]
            queue.grant(first, now)
            if now + FIRST_EVENT_SECONDS <= first.arrived_at + GOAL_SECONDS:
                outcome.good += 1
            else:
                outcome.late += 1
            next_start = max(next_start, now) + 1 / starts_per_s
        if not waits:
            outcome.refused += len(queue.requests)
            queue.requests.clear()
        now += STEP_SECONDS
    return outcome


class WaitQueueLoadTest(unittest.TestCase):
    """Guards against refusals and late answers under load."""

    def test_burst_is_served_in_time(self) -> None:
        """Guards against refusals in a short burst.

        Eight requests arrive together; the engines start 30 per second.
        """
        outcome = simulate([1.0] * 8, starts_per_s=30.0)
        self.assertEqual(outcome, Outcome(good=8))

    def test_sustained_overload_does_not_make_all_late(self) -> None:
        """Guards against a queue that makes every answer late.

        Three requests arrive for every two that can start.
        """
        arrivals = [i / 30 for i in range(300)]
        waiting = simulate(arrivals, starts_per_s=20.0)
        refusing = simulate(arrivals, starts_per_s=20.0, waits=False)
        self.assertGreater(waiting.good, refusing.good)
        self.assertLess(waiting.refused, refusing.refused)

    def test_brief_outage_refuses_nothing(self) -> None:
        """Guards against refusals while other engines take over layers."""
        queue = WaitQueue()
        for number in range(10):
            enqueue(queue, number * 0.05)
        self.assertEqual(queue.take_expired(0.8), [])
        self.assertEqual(len(queue.sort_by_turn(0.8)), 10)


class OutageTest(unittest.TestCase):
    """Guards against requests that wait only to be refused."""

    def simulate_outage(self, until: float) -> tuple[WaitQueue, int]:
        """Simulates ten requests per second without capacity; counts queued."""
        queue = WaitQueue()
        admitted = 0
        for number in range(int(until * 10)):
            now = number / 10
            queue.take_expired(now)
            admitted += enqueue(queue, now) is not None
        return queue, admitted

    def test_long_outage(self) -> None:
        """Most requests are refused immediately; a few still wait.

        Those of the first second may expect capacity.
        """
        queue, admitted = self.simulate_outage(8.0)
        self.assertLess(admitted, 10 + 8 * (MIN_WAITING + 1))
        self.assertGreaterEqual(len(queue.requests), 1)

    def test_capacity_that_returns(self) -> None:
        """Requests wait again as soon as others get capacity."""
        queue, _ = self.simulate_outage(4.0)
        now = 4.0
        for _ in range(40):
            now += 0.05
            queue.take_expired(now)
            for request in queue.sort_by_turn(now)[:1]:
                queue.grant(request, now)
            enqueue(queue, now)
        self.assertEqual(queue.estimate_wait("llm", now + 1.0), 0.0)
        requests = [enqueue(queue, now) for _ in range(4)]
        self.assertNotIn(None, requests)

    def test_slow_turnover_lets_few_wait(self) -> None:
        """Guards against more waiting requests than get capacity in time."""
        queue = WaitQueue()
        now = 0.0
        for step in range(200):
            now = step * 0.05
            queue.take_expired(now)
            enqueue(queue, now)
            if step % 10 == 0:
                for request in queue.sort_by_turn(now)[:1]:
                    queue.grant(request, now)
        self.assertLessEqual(len(queue.requests), MIN_WAITING + 1)

    def test_other_services_wait_as_before(self) -> None:
        queue, _ = self.simulate_outage(4.0)
        requests = [enqueue(queue, 4.0, service="other") for _ in range(5)]
        self.assertNotIn(None, requests)


class BrokenStreamTest(unittest.TestCase):
    """Guards against streams that end in the middle for lack of capacity."""

    def enqueue_resumed(
        self, queue: WaitQueue, now: float
    ) -> WaitingRequest | None:
        """Queues a broken stream."""
        return queue.enqueue(
            service="llm",
            priority=5,
            arrived_at=now - 10.0,
            goal_s=GOAL_SECONDS,
            max_wait_s=1.5,
            underway=True,
            now=now,
        )

    def test_broken_stream_is_served_before_new_requests(self) -> None:
        queue = WaitQueue()
        new = enqueue(queue, 1.0)
        broken = self.enqueue_resumed(queue, 1.1)
        self.assertEqual(queue.sort_by_turn(1.1), [broken, new])

    def test_broken_stream_waits_when_new_requests_are_refused(self) -> None:
        queue = WaitQueue()
        for _ in range(4):
            enqueue(queue, 1.0)
        queue.take_expired(2.5)
        for _ in range(MIN_WAITING):
            enqueue(queue, 2.5)
        self.assertIsNone(enqueue(queue, 2.5))
        request = self.enqueue_resumed(queue, 2.5)
        self.assertEqual(request.expires_at, 4.0)


class WaitQueueTest(unittest.TestCase):
    """Guards against unbounded waits and a wrong order."""

    def test_wait_is_bounded(self) -> None:
        """Guards against a request that waits until its deadline."""
        queue = WaitQueue()
        request = enqueue(queue, 5.0)
        self.assertEqual(queue.take_expired(5.0 + MAX_WAIT_SECONDS / 2), [])
        expired = queue.take_expired(5.0 + MAX_WAIT_SECONDS)
        self.assertEqual(expired, [request])
        self.assertFalse(queue.has_waiting("llm"))

    def test_number_is_bounded(self) -> None:
        """Guards against a queue too long to be served in time."""
        queue = WaitQueue()
        for _ in range(MAX_WAITING):
            self.assertIsNotNone(enqueue(queue, 1.0))
        self.assertIsNone(enqueue(queue, 1.0))

    def test_no_time_left(self) -> None:
        """Guards against queueing a request that has no time left."""
        queue = WaitQueue()
        request = queue.enqueue(
            service="llm",
            priority=0,
            arrived_at=0.0,
            goal_s=GOAL_SECONDS,
            max_wait_s=0.0,
            now=3.0,
        )
        self.assertIsNone(request)

    def test_urgent_request_goes_first(self) -> None:
        """Guards against serving a less urgent request first."""
        queue = WaitQueue()
        later = enqueue(queue, 1.0, priority=2)
        urgent = enqueue(queue, 1.1, priority=0)
        self.assertEqual(queue.sort_by_turn(1.2), [urgent, later])

    def test_request_that_can_meet_its_goal_goes_first(self) -> None:
        """Guards against late answers that delay timely ones."""
        queue = WaitQueue()
        old = enqueue(queue, 1.0)
        young = enqueue(queue, 1.4)
        missed = 1.0 + GOAL_SECONDS - START_DELAY_SECONDS + 0.01
        self.assertEqual(queue.sort_by_turn(missed), [young, old])

    def test_new_request_waits_behind_those_of_its_service(self) -> None:
        """Guards against a new request that overtakes a waiting one."""
        queue = WaitQueue()
        enqueue(queue, 1.0)
        self.assertTrue(queue.has_waiting("llm"))
        self.assertFalse(queue.has_waiting("other"))
