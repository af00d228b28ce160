"""Order in which requests wait a short time for room on the engines.

When no chain has room, it often has some within a fraction of a second: a
burst passes, a stream ends, another engine takes over layers. A request that
is refused instead comes back after seconds, too late for its goal.

Those go first that still meet their goal, by priority and arrival; the others
take what is left. So a lasting overload does not make every request late: the
oldest ones leave with a refusal.

While requests wait in vain, a new one is let in only as far as the pace at
which others got room lets it expect some; the rest is refused at once. Streams
that broke in the middle go before all others: their callers leave soon, and
what they have is of no use without the end.
"""

import collections
import dataclasses
import math

# Callers give a stream up after about two seconds without an event, of which
# the first event takes up to half a second on a loaded chain.
MAX_WAIT_SECONDS = 1.0
# Longest wait of a broken stream since its last event.
MAX_RESUME_WAIT_SECONDS = 1.7
# Endings of waits that tell how long the next ones take.
HISTORY_SECONDS = 2.0
# Requests that wait even when none got room lately; they notice its return.
MIN_WAITERS = 2
# A front of a site with 20 of them sees two to three requests a second, ten
# in a burst.
MAX_WAITERS = 24
# Time that the first event takes once a chain is found.
START_SECONDS = 0.15


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Waiter:
    """A request that waits.

    Attributes:
        service: Service whose engines it needs.
        priority: Rank; 0 goes first.
        arrived_at: When it arrived.
        underway: Whether its caller has a part of the answer.
        good_until: Last time of a start that meets its goal.
        leave_at: When it is refused.
    """

    service: str
    priority: int
    arrived_at: float
    underway: bool
    good_until: float
    leave_at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WaitEnding:
    """The end of a wait.

    Attributes:
        service: Service whose engines the request needed.
        at: When it ended.
        granted: Whether the request got room.
    """

    service: str
    at: float
    granted: bool


@dataclasses.dataclass(kw_only=True, slots=True)
class WaitingRoom:
    """The requests of this VM that wait, in no particular order.

    Attributes:
        waiters: The requests.
        endings: Ends of the latest waits, oldest first.
    """

    waiters: list[Waiter] = dataclasses.field(default_factory=list)
    endings: collections.deque[WaitEnding] = dataclasses.field(
        default_factory=collections.deque
    )

    def enter(
        self,
        *,
        service: str,
        priority: int,
        arrived_at: float,
        goal_s: float,
        most_s: float,
        underway: bool = False,
        now: float,
    ) -> Waiter | None:
        """Lets a request wait; returns nothing when that would be in vain.

        Args:
            service: Service whose engines it needs.
            priority: Rank; 0 goes first.
            arrived_at: When it arrived.
            goal_s: Time from its arrival to the first event, as it should be.
            most_s: Longest time that it can wait from now.
            underway: Whether its caller has a part of the answer.
            now: Time in seconds.
        """
        wait = most_s if underway else min(MAX_WAIT_SECONDS, most_s)
        if wait <= 0 or len(self.waiters) >= MAX_WAITERS:
            return None
        if not underway and self.expect_wait(service, now) > wait:
            return None
        waiter = Waiter(
            service=service,
            priority=priority,
            arrived_at=arrived_at,
            underway=underway,
            good_until=arrived_at + goal_s - START_SECONDS,
            leave_at=now + wait,
        )
        self.waiters.append(waiter)
        return waiter

    def expect_wait(self, service: str, now: float) -> float:
        """Returns how long a new request would wait, in seconds.

        Returns:
            0 while nobody waits in vain.
        """
        while self.endings and now - self.endings[0].at > HISTORY_SECONDS:
            self.endings.popleft()
        endings = [x for x in self.endings if x.service == service]
        granted = sum(x.granted for x in endings)
        ahead = sum(x.service == service for x in self.waiters)
        if granted == len(endings) or ahead < MIN_WAITERS:
            return 0.0
        if not granted:
            return math.inf
        return (ahead + 1) * HISTORY_SECONDS / granted

    def grant(self, waiter: Waiter, now: float) -> None:
        """Removes a request that gets room."""
        self.leave(waiter)
        self.note_ending(waiter, now, granted=True)

    def note_ending(self, waiter: Waiter, now: float, *, granted: bool) -> None:
        """Notes how a wait ended."""
        self.endings.append(
            WaitEnding(service=waiter.service, at=now, granted=granted)
        )

    def leave(self, waiter: Waiter) -> None:
        """Removes a request."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)

    def expects_room(self, service: str) -> bool:
        """Whether a new request must wait behind others of its service."""
        return any(x.service == service for x in self.waiters)

    def order(self, now: float) -> list[Waiter]:
        """Returns the requests, the first to be served first."""
        return sorted(
            self.waiters,
            key=lambda x: (
                not x.underway,
                now > x.good_until,
                x.priority,
                x.arrived_at,
            ),
        )

    def take_expired(self, now: float) -> list[Waiter]:
        """Removes and returns the requests that waited long enough."""
        expired = [x for x in self.waiters if now >= x.leave_at]
        for waiter in expired:
            self.waiters.remove(waiter)
            self.note_ending(waiter, now, granted=False)
        return expired
