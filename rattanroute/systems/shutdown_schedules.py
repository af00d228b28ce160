"""Times of a planned stop: when to accept, answer and leave until."""

import dataclasses

# The load balancer checks readiness each second and removes a front after two
# failed checks; the rest is a margin for connections being established.
LEAVE_ROTATION_SECONDS = 2.5
# A control call is answered within a second. The rest of the grace time is for
# the hand-over of leadership.
CONTROL_CALL_SECONDS = 2.0
# Margins before SIGKILL. Leaving the cluster takes two ticks (0.2 s) and
# goes on beside the last requests, so that nothing slow is left to do after
# them. The end of the process takes some milliseconds, longer when busy.
LEAVE_MARGIN_SECONDS = 0.7
ANSWER_MARGIN_SECONDS = 0.4
FLUSH_MARGIN_SECONDS = 0.35
EXIT_MARGIN_SECONDS = 0.3
# A forwarder may answer a call this long after its deadline.
LATE_ANSWER_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShutdownSchedule:
    """Times of a planned stop, in seconds of the clock of `signalled_at`.

    Attributes:
        signalled_at: Time of the signal.
        grace_s: Seconds from the signal until the process is killed.
    """

    signalled_at: float
    grace_s: float

    @property
    def accept_until(self) -> float:
        """Until when new connections are accepted."""
        end = self.signalled_at + LEAVE_ROTATION_SECONDS
        return min(end, self.leave_at)

    @property
    def leave_at(self) -> float:
        """When the process leaves the cluster at the latest."""
        return self.signalled_at + self.grace_s - LEAVE_MARGIN_SECONDS

    @property
    def answer_until(self) -> float:
        """Until when open requests are answered."""
        return self.signalled_at + self.grace_s - ANSWER_MARGIN_SECONDS

    @property
    def control_until(self) -> float:
        """Until when open calls of operators and replicas are answered."""
        end = self.signalled_at + CONTROL_CALL_SECONDS
        return min(end, self.leave_at)

    @property
    def flush_until(self) -> float:
        """Until when the last refusals are written."""
        return self.signalled_at + self.grace_s - FLUSH_MARGIN_SECONDS

    @property
    def end_by(self) -> float:
        """Until when the steps of a stop may take, flushing included."""
        return self.signalled_at + self.grace_s - EXIT_MARGIN_SECONDS

    def admits(self, *, deadline: float, now: float) -> bool:
        """Returns whether a request that is complete now is passed on.

        As long as connections are accepted, each one is. A later one, such as
        a slow upload or one behind another on its connection, must end before
        the process does.

        Args:
            deadline: Time at which its answer is due.
            now: Current time.
        """
        if now <= self.accept_until:
            return True
        return deadline + LATE_ANSWER_SECONDS <= self.answer_until
