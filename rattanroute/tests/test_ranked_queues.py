"""Tests of the queue of a VM where the priorities of a service differ."""

import unittest

from rattanroute.systems.wait_queues import BlockedTurns
from rattanroute.systems.wait_queues import MAX_WAIT_SECONDS
from rattanroute.systems.wait_queues import MAX_WAITING
from rattanroute.systems.wait_queues import MIN_WAITING
from rattanroute.systems.wait_queues import RankedWait
from rattanroute.systems.wait_queues import WaitingRequest
from rattanroute.systems.wait_queues import WaitQueue

GOAL_SECONDS = 0.5


def enqueue(
    queue: WaitQueue,
    now: float,
    *,
    priority: int = 0,
    client_until: float = 30.0,
    workspace: str = "w1",
    service: str = "llm",
    underway: bool = False,
    ranked: bool = True,
) -> WaitingRequest | None:
    """Queues a request that arrives now."""
    rank = RankedWait(workspace=workspace, client_until=client_until)
    return queue.enqueue(
        service=service,
        priority=priority,
        arrived_at=now,
        goal_s=GOAL_SECONDS,
        max_wait_s=20.0,
        underway=underway,
        rank=rank if ranked else None,
        now=now,
    )


class RankedQueueTest(unittest.TestCase):
    """Guards against urgent requests that wait for less urgent ones."""

    def setUp(self) -> None:
        self.queue = WaitQueue()

    def test_returned_client_goes_first(self) -> None:
        """Guards against clients that lose their place by a refusal."""
        new = enqueue(self.queue, 1.0, client_until=21.0)
        returned = enqueue(self.queue, 1.1, client_until=15.0)
        self.assertEqual(self.queue.sort_by_turn(1.2), [returned, new])

    def test_rank_goes_before_the_time_of_the_client(self) -> None:
        returned = enqueue(self.queue, 1.0, priority=2, client_until=5.0)
        urgent = enqueue(self.queue, 1.1, priority=0)
        self.assertEqual(self.queue.sort_by_turn(1.2), [urgent, returned])

    def test_order_where_priorities_do_not_differ(self) -> None:
        """Guards against another order for services without ranks."""
        first = enqueue(self.queue, 1.0, client_until=21.0, ranked=False)
        second = enqueue(self.queue, 1.1, client_until=2.0, ranked=False)
        self.assertEqual(self.queue.sort_by_turn(1.2), [first, second])

    def test_full_queue_of_less_urgent_requests(self) -> None:
        """Guards against a surge that keeps urgent requests out."""
        for _ in range(MAX_WAITING):
            self.assertIsNotNone(enqueue(self.queue, 1.0, priority=2))
        self.assertIsNone(enqueue(self.queue, 1.0, priority=2))
        self.assertIsNotNone(enqueue(self.queue, 1.0, priority=0))

    def test_full_queue_where_priorities_do_not_differ(self) -> None:
        for _ in range(MAX_WAITING):
            enqueue(self.queue, 1.0, priority=2, ranked=False)
        self.assertIsNone(enqueue(self.queue, 1.0, priority=0, ranked=False))

    def test_waits_of_less_urgent_requests_that_timed_out(self) -> None:
        """Guards against urgent requests refused as others got nothing."""
        for _ in range(MIN_WAITING + 1):
            enqueue(self.queue, 1.0, priority=2)
        now = 1.0 + MAX_WAIT_SECONDS
        self.queue.take_expired(now)
        for _ in range(MIN_WAITING):
            enqueue(self.queue, now, priority=2)
        self.assertIsNone(enqueue(self.queue, now, priority=2))
        for _ in range(MIN_WAITING + 1):
            self.assertIsNotNone(enqueue(self.queue, now, priority=0))

    def test_less_urgent_request_does_not_block(self) -> None:
        """Guards against a late urgent request behind a held one."""
        blocked = BlockedTurns()
        held = enqueue(self.queue, 1.0, priority=1)
        blocked.add(held)
        self.assertTrue(blocked.covers(enqueue(self.queue, 1.0, priority=1)))
        self.assertTrue(blocked.covers(enqueue(self.queue, 1.0, priority=2)))
        urgent = enqueue(self.queue, 1.0, priority=0)
        self.assertFalse(blocked.covers(urgent))
        other = enqueue(self.queue, 1.0, priority=2, service="other")
        self.assertFalse(blocked.covers(other))
        blocked.add(urgent)
        self.assertTrue(blocked.covers(urgent))

    def test_broken_stream_blocks_all(self) -> None:
        """Guards against a begun answer that loses its turn."""
        blocked = BlockedTurns()
        blocked.add(enqueue(self.queue, 1.0, priority=2, underway=True))
        self.assertTrue(blocked.covers(enqueue(self.queue, 1.0, priority=0)))

    def test_blocking_where_priorities_do_not_differ(self) -> None:
        blocked = BlockedTurns()
        blocked.add(enqueue(self.queue, 1.0, priority=2, ranked=False))
        urgent = enqueue(self.queue, 1.0, priority=0, ranked=False)
        self.assertTrue(blocked.covers(urgent))

    def test_new_request_passes_those_that_are_less_urgent(self) -> None:
        enqueue(self.queue, 1.0, priority=1)
        self.assertFalse(self.queue.has_waiting("llm", 0))
        self.assertTrue(self.queue.has_waiting("llm", 1))
        self.assertTrue(self.queue.has_waiting("llm", 2))
        self.assertTrue(self.queue.has_waiting("llm"))

    def test_rank_with_a_minimum_share_passes(self) -> None:
        """Guards against a rank that starves behind others of its VM."""
        urgent = enqueue(self.queue, 1.0, priority=0)
        entitled = enqueue(self.queue, 1.0, priority=2)
        broken = enqueue(self.queue, 1.0, priority=2, underway=True)
        turns = self.queue.sort_by_turn(1.0, lambda x: x.priority == 2)
        self.assertEqual(turns, [broken, entitled, urgent])


class WorkspaceTest(unittest.TestCase):
    """Guards against a workspace that takes all capacity of its rank."""

    def test_clients_with_short_times(self) -> None:
        """One client with much time waits beside many with little.

        One request starts each 0.1 s, and the clients of the other workspace
        always state a time of 0.9 s, so that they are always due first.
        """
        queue = WaitQueue()
        served = {"patient": 0, "short": 0}
        patient = None
        for step in range(200):
            now = step * 0.05
            queue.take_expired(now)
            if patient not in queue.requests:
                patient = enqueue(
                    queue, now, workspace="patient", client_until=now + 20
                )
            enqueue(queue, now, workspace="short", client_until=now + 0.9)
            if step % 2 == 0:
                first = queue.sort_by_turn(now)[0]
                queue.grant(first, now)
                served[first.rank.workspace] += 1
        self.assertGreater(served["patient"], 3)
        self.assertGreater(served["short"], served["patient"])
