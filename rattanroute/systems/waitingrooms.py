"""Order in which requests wait a short time for room on the engines.

When no chain has room, it often has some within a fraction of a second: a
burst passes, a stream ends, another engine takes over layers. A request that
is refused instead comes back after seconds, too late for its goal.

Those go first that still meet their goal, by priority and arrival; the others
take what is left. So a lasting overload does not make every request late: the
oldest ones leave with a refusal.
"""

import dataclasses

# Callers give a stream up after about two seconds without an event, of which
# the first event takes up to half a second on a loaded chain.
MAX_WAIT_SECONDS = 1.0
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
        good_until: Last time of a start that meets its goal.
        leave_at: When it is refused.
    """

    service: str
    priority: int
    arrived_at: float
    good_until: float
    leave_at: float


@dataclasses.dataclass(kw_only=True, slots=True)
class WaitingRoom:
    """The requests of this VM that wait, in no particular order.

    Attributes:
        waiters: The requests.
    """

    waiters: list[Waiter] = dataclasses.field(default_factory=list)

    def enter(
        self,
        *,
        service: str,
        priority: int,
        arrived_at: float,
        goal_s: float,
        most_s: float,
        now: float,
    ) -> Waiter | None:
        """Lets a request wait; returns nothing when too many do.

        Args:
            service: Service whose engines it needs.
            priority: Rank; 0 goes first.
            arrived_at: When it arrived.
            goal_s: Time from its arrival to the first event, as it should be.
            most_s: Longest time that it can wait from now.
            now: Time in seconds.
        """
        wait = min(MAX_WAIT_SECONDS, most_s)
        if wait <= 0 or len(self.waiters) >= MAX_WAITERS:
            return None
        waiter = Waiter(
            service=service,
            priority=priority,
            arrived_at=arrived_at,
            good_until=arrived_at + goal_s - START_SECONDS,
            leave_at=now + wait,
        )
        self.waiters.append(waiter)
        return waiter

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
            key=lambda x: (now > x.good_until, x.priority, x.arrived_at),
        )

    def take_expired(self, now: float) -> list[Waiter]:
        """Removes and returns the requests that waited long enough."""
        expired = [x for x in self.waiters if now >= x.leave_at]
        for waiter in expired:
            self.waiters.remove(waiter)
        return expired
