"""Tests of who waits for room, under the loads that make requests wait."""

import dataclasses
import unittest

from rattanroute.systems.waitingrooms import MAX_WAIT_SECONDS
from rattanroute.systems.waitingrooms import MAX_WAITERS
from rattanroute.systems.waitingrooms import MIN_WAITERS
from rattanroute.systems.waitingrooms import START_SECONDS
from rattanroute.systems.waitingrooms import Waiter
from rattanroute.systems.waitingrooms import WaitingRoom

GOAL_SECONDS = 0.5
# From the start of a request to its first event, on a chain with some load.
FIRST_EVENT_SECONDS = 0.1
STEP_SECONDS = 0.01


@dataclasses.dataclass
class Outcome:
    """What became of the requests of a simulated load.

    Attributes:
        good: First event within the goal.
        late: First event later.
        refused: Not started.
    """

    good: int = 0
    late: int = 0
    refused: int = 0


def enter(
    room: WaitingRoom, now: float, *, priority: int = 0, service: str = "llm"
) -> Waiter | None:
    """Lets a request wait that arrives now."""
    return room.enter(
        service=service,
        priority=priority,
        arrived_at=now,
        goal_s=GOAL_SECONDS,
        most_s=20.0,
        now=now,
    )


def play(
    arrivals: list[float], *, starts_per_s: float, waits: bool = True
) -> Outcome:
    """Plays arrivals against engines that start requests at a rate.

    Without waiting, a request is refused that finds no room.
    """
    room = WaitingRoom()
    outcome = Outcome()
    left = sorted(arrivals)
    now = 0.0
    next_start = 0.0
    while left or room.waiters:
        while left and left[0] <= now:
            outcome.refused += enter(room, left.pop(0)) is None
        outcome.refused += len(room.take_expired(now))
        while room.waiters and next_start <= now:
            first = room.order(now)[0]
            room.grant(first, now)
            if now + FIRST_EVENT_SECONDS <= first.arrived_at + GOAL_SECONDS:
                outcome.good += 1
            else:
                outcome.late += 1
            next_start = max(next_start, now) + 1 / starts_per_s
        if not waits:
            outcome.refused += len(room.waiters)
            room.waiters.clear()
        now += STEP_SECONDS
    return outcome


class WaitingRoomLoadTest(unittest.TestCase):
    """Guards against refusals and late answers under short and long loads."""

    def test_burst_is_served_in_time(self) -> None:
        """Burst: guards against refusals where room comes at once.

        Eight requests arrive together; the engines start 30 a second.
        """
        outcome = play([1.0] * 8, starts_per_s=30.0)
        self.assertEqual(outcome, Outcome(good=8))

    def test_lasting_overload_does_not_make_all_late(self) -> None:
        """Overload: guards against a queue that makes every answer late.

        Three requests arrive for every two that can start.
        """
        arrivals = [i / 30 for i in range(300)]
        waiting = play(arrivals, starts_per_s=20.0)
        refusing = play(arrivals, starts_per_s=20.0, waits=False)
        self.assertGreater(waiting.good, refusing.good)
        self.assertLess(waiting.refused, refusing.refused)

    def test_engines_that_are_gone_for_a_moment(self) -> None:
        """Lost zone: guards against refusals while others take over."""
        room = WaitingRoom()
        for number in range(10):
            enter(room, number * 0.05)
        self.assertEqual(room.take_expired(0.8), [])
        self.assertEqual(len(room.order(0.8)), 10)


class WaitInVainTest(unittest.TestCase):
    """Guards against requests that are held only to be refused."""

    def play_outage(self, until: float) -> tuple[WaitingRoom, int]:
        """Plays ten requests a second without any room; counts waiters."""
        room = WaitingRoom()
        let_in = 0
        for number in range(int(until * 10)):
            now = number / 10
            room.take_expired(now)
            let_in += enter(room, now) is not None
        return room, let_in

    def test_engines_without_room_for_long(self) -> None:
        """Lost stage: most requests are refused at once, a few look on.

        Those of the first second may expect room.
        """
        room, let_in = self.play_outage(8.0)
        self.assertLess(let_in, 10 + 8 * (MIN_WAITERS + 1))
        self.assertGreaterEqual(len(room.waiters), 1)

    def test_room_that_comes_back(self) -> None:
        """Returning engines: requests wait again as soon as others get in."""
        room, _ = self.play_outage(4.0)
        now = 4.0
        for _ in range(40):
            now += 0.05
            room.take_expired(now)
            for waiter in room.order(now)[:1]:
                room.grant(waiter, now)
            enter(room, now)
        self.assertEqual(room.expect_wait("llm", now + 1.0), 0.0)
        waiters = [enter(room, now) for _ in range(4)]
        self.assertNotIn(None, waiters)

    def test_slow_turnover_lets_few_wait(self) -> None:
        """Overload: guards against more waiters than get room in time."""
        room = WaitingRoom()
        now = 0.0
        for step in range(200):
            now = step * 0.05
            room.take_expired(now)
            enter(room, now)
            if step % 10 == 0:
                for waiter in room.order(now)[:1]:
                    room.grant(waiter, now)
        self.assertLessEqual(len(room.waiters), MIN_WAITERS + 1)

    def test_other_services_wait_as_before(self) -> None:
        room, _ = self.play_outage(4.0)
        waiters = [enter(room, 4.0, service="other") for _ in range(5)]
        self.assertNotIn(None, waiters)


class BrokenStreamTest(unittest.TestCase):
    """Guards against streams that end in the middle for want of room."""

    def enter_underway(self, room: WaitingRoom, now: float) -> Waiter | None:
        """Lets a broken stream wait."""
        return room.enter(
            service="llm",
            priority=5,
            arrived_at=now - 10.0,
            goal_s=GOAL_SECONDS,
            most_s=1.5,
            underway=True,
            now=now,
        )

    def test_it_goes_before_new_requests(self) -> None:
        room = WaitingRoom()
        new = enter(room, 1.0)
        broken = self.enter_underway(room, 1.1)
        self.assertEqual(room.order(1.1), [broken, new])

    def test_it_waits_although_others_wait_in_vain(self) -> None:
        room = WaitingRoom()
        for _ in range(4):
            enter(room, 1.0)
        room.take_expired(2.5)
        for _ in range(MIN_WAITERS):
            enter(room, 2.5)
        self.assertIsNone(enter(room, 2.5))
        waiter = self.enter_underway(room, 2.5)
        self.assertEqual(waiter.leave_at, 4.0)


class WaitingRoomTest(unittest.TestCase):
    """Guards against waits without end and unfair orders."""

    def test_wait_is_bounded(self) -> None:
        """Guards against a request that is held until its deadline."""
        room = WaitingRoom()
        waiter = enter(room, 5.0)
        self.assertEqual(room.take_expired(5.0 + MAX_WAIT_SECONDS / 2), [])
        expired = room.take_expired(5.0 + MAX_WAIT_SECONDS)
        self.assertEqual(expired, [waiter])
        self.assertFalse(room.expects_room("llm"))

    def test_number_is_bounded(self) -> None:
        """Guards against a queue that is longer than can be served."""
        room = WaitingRoom()
        for _ in range(MAX_WAITERS):
            self.assertIsNotNone(enter(room, 1.0))
        self.assertIsNone(enter(room, 1.0))

    def test_no_time_left(self) -> None:
        """Guards against waiting with a request that is already lost."""
        room = WaitingRoom()
        waiter = room.enter(
            service="llm",
            priority=0,
            arrived_at=0.0,
            goal_s=GOAL_SECONDS,
            most_s=0.0,
            now=3.0,
        )
        self.assertIsNone(waiter)

    def test_urgent_request_goes_first(self) -> None:
        """Guards against a less urgent request that is served more often."""
        room = WaitingRoom()
        later = enter(room, 1.0, priority=2)
        urgent = enter(room, 1.1, priority=0)
        self.assertEqual(room.order(1.2), [urgent, later])

    def test_request_that_can_meet_its_goal_goes_first(self) -> None:
        """Guards against good answers that are lost to late ones."""
        room = WaitingRoom()
        old = enter(room, 1.0)
        young = enter(room, 1.4)
        missed = 1.0 + GOAL_SECONDS - START_SECONDS + 0.01
        self.assertEqual(room.order(missed), [young, old])

    def test_new_request_waits_behind_those_of_its_service(self) -> None:
        """Guards against a new request that takes the room of a waiting one."""
        room = WaitingRoom()
        enter(room, 1.0)
        self.assertTrue(room.expects_room("llm"))
        self.assertFalse(room.expects_room("other"))
