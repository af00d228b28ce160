"""Tests of the times of a planned stop."""

import unittest

from rattanroute.systems.shutdown_schedules import ShutdownSchedule

SIGNALLED_AT = 100.0
GRACE_SECONDS = 8.0
# A stream may only be cut if it was sent by this time after the signal, and
# while its engine works in the last sixth of the grace time.
LAST_SENT_SECONDS = 3.0
EARLIEST_CUT_SECONDS = GRACE_SECONDS * 5 / 6


class ShutdownScheduleTest(unittest.TestCase):
    """Guards against requests that a stop accepts and then cuts."""

    def setUp(self) -> None:
        """Builds the schedule of a stop."""
        self.schedule = ShutdownSchedule(
            signalled_at=SIGNALLED_AT, grace_s=GRACE_SECONDS
        )

    def admits(self, after_s: float, time_left_s: float) -> bool:
        """Returns whether a request is served.

        Args:
            after_s: Seconds from the signal until the request is complete.
            time_left_s: Seconds from then to its deadline.
        """
        now = SIGNALLED_AT + after_s
        return self.schedule.admits(deadline=now + time_left_s, now=now)

    def test_each_request_is_served_until_connections_are_refused(
        self,
    ) -> None:
        """Guards against refusals while the balancer still sends requests."""
        self.assertTrue(self.admits(0.0, 60.0))
        self.assertTrue(self.admits(2.4, 60.0))

    def test_late_request_that_may_be_cut_is_refused(self) -> None:
        self.assertFalse(self.admits(LAST_SENT_SECONDS, 8.0))
        self.assertFalse(self.admits(7.0, 1.0))

    def test_late_request_that_ends_in_time_is_served(self) -> None:
        """Guards against refusals of short calls."""
        self.assertTrue(self.admits(LAST_SENT_SECONDS, 3.0))
        self.assertTrue(self.admits(6.0, 1.0))

    def test_no_request_is_served_after_the_end(self) -> None:
        """Guards against passing on a request that was read behind another."""
        self.assertFalse(self.admits(7.6, 0.0))

    def test_order_of_the_steps(self) -> None:
        """Guards against cutting too early, and against SIGKILL in a step."""
        schedule = self.schedule
        for grace_s in (0.5, 2.0, GRACE_SECONDS, 60.0):
            schedule = ShutdownSchedule(
                signalled_at=SIGNALLED_AT, grace_s=grace_s
            )
            times = [
                schedule.accept_until,
                schedule.leave_at,
                schedule.answer_until,
                schedule.flush_until,
                schedule.end_by,
                SIGNALLED_AT + grace_s,
            ]
            self.assertEqual(times, sorted(times))
        self.assertGreaterEqual(
            self.schedule.answer_until, SIGNALLED_AT + EARLIEST_CUT_SECONDS
        )
