"""Short-term queue of requests that wait for capacity on the engines.

When no chain has capacity, some often becomes free within a fraction of a
second: a burst ends, a stream completes or another engine takes over layers.
A refused request would be retried only after seconds, too late for its goal.

Requests that can still meet their goal are served first, by priority and
arrival; the others get the remaining capacity. A sustained overload thus does
not make every request late, as the oldest ones time out with a refusal.

If recent waits timed out, a new request is queued only if the recent rate of
successful waits lets it expect capacity in time; otherwise it is refused
immediately. Streams that broke in the middle are served before all others,
because their callers soon give up and a partial answer is of no use to them.
"""

import collections
import dataclasses
import math

# Callers abandon a stream after about two seconds without an event, and the
# first event takes up to half a second of that on a loaded chain.
MAX_WAIT_SECONDS = 1.0
# Maximum time from the last event of a broken stream to the end of its wait.
MAX_RESUME_WAIT_SECONDS = 1.7
# Age of the wait outcomes from which the next waits are estimated.
HISTORY_WINDOW_SECONDS = 2.0
# Requests that may wait even if no recent one got capacity, so that its return
# is noticed.
MIN_WAITING = 2
# Requests beyond this number are refused; broken streams always wait. A front
# of a site with 20 fronts receives two to three requests per second, and ten in
# a burst.
MAX_WAITING = 24
# Time from finding a chain to the first event.
START_DELAY_SECONDS = 0.15


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class WaitingRequest:
    """A request that waits.

    Attributes:
        service: Service whose engines it needs.
        priority: Rank; 0 is served first.
        arrived_at: Time of arrival, in seconds.
        underway: Whether its caller already has a part of the answer.
        timely_until: Latest start that meets its goal.
        expires_at: Time at which it is refused.
    """

    service: str
    priority: int
    arrived_at: float
    underway: bool
    timely_until: float
    expires_at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WaitOutcome:
    """The outcome of a wait.

    Attributes:
        service: Service whose engines the request needed.
        ended_at: Time at which the wait ended, in seconds.
        granted: Whether the request got capacity.
    """

    service: str
    ended_at: float
    granted: bool


@dataclasses.dataclass(kw_only=True, slots=True)
class WaitQueue:
    """The waiting requests of this VM.

    Attributes:
        requests: The requests, in no particular order.
        outcomes: Outcomes of recent waits, oldest first.
    """

    requests: list[WaitingRequest] = dataclasses.field(default_factory=list)
    outcomes: collections.deque[WaitOutcome] = dataclasses.field(
        default_factory=collections.deque
    )

    def enqueue(
        self,
        *,
        service: str,
        priority: int,
        arrived_at: float,
        goal_s: float,
        max_wait_s: float,
        underway: bool = False,
        now: float,
    ) -> WaitingRequest | None:
        """Queues a request if it can expect capacity in time.

        Args:
            service: Service whose engines it needs.
            priority: Rank; 0 is served first.
            arrived_at: Time of arrival, in seconds.
            goal_s: Target time from its arrival to the first event, in
                seconds.
            max_wait_s: Maximum wait from now, in seconds.
            underway: Whether its caller already has a part of the answer.
            now: Current time in seconds.

        Returns:
            The waiting request, or None if it must be refused.
        """
        wait = max_wait_s if underway else min(MAX_WAIT_SECONDS, max_wait_s)
        if wait <= 0:
            return None
        if not underway and (
            len(self.requests) >= MAX_WAITING
            or self.estimate_wait(service, now) > wait
        ):
            return None
        request = WaitingRequest(
            service=service,
            priority=priority,
            arrived_at=arrived_at,
            underway=underway,
            timely_until=arrived_at + goal_s - START_DELAY_SECONDS,
            expires_at=now + wait,
        )
        self.requests.append(request)
        return request

    def estimate_wait(self, service: str, now: float) -> float:
        """Estimates how long a new request of a service would wait.

        Returns:
            The wait in seconds; 0 if no recent wait timed out or few requests
            wait.
        """
        while (
            self.outcomes
            and now - self.outcomes[0].ended_at > HISTORY_WINDOW_SECONDS
        ):
            self.outcomes.popleft()
        outcomes = [x for x in self.outcomes if x.service == service]
        granted = sum(x.granted for x in outcomes)
        ahead = sum(x.service == service for x in self.requests)
        if granted == len(outcomes) or ahead < MIN_WAITING:
            return 0.0
        if not granted:
            return math.inf
        return (ahead + 1) * HISTORY_WINDOW_SECONDS / granted

    def grant(self, request: WaitingRequest, now: float) -> None:
        """Removes a request that gets capacity."""
        self.remove(request)
        self.record_outcome(request, now, granted=True)

    def record_outcome(
        self, request: WaitingRequest, now: float, *, granted: bool
    ) -> None:
        """Records the outcome of a wait."""
        self.outcomes.append(
            WaitOutcome(service=request.service, ended_at=now, granted=granted)
        )

    def remove(self, request: WaitingRequest) -> None:
        """Removes a request, if it still waits."""
        if request in self.requests:
            self.requests.remove(request)

    def has_waiting(self, service: str) -> bool:
        """Returns whether requests of a service wait."""
        return any(x.service == service for x in self.requests)

    def count_waiting(self, service: str) -> int:
        """Returns the number of requests of a service that wait."""
        return sum(x.service == service for x in self.requests)

    def sort_by_turn(self, now: float) -> list[WaitingRequest]:
        """Returns the requests in the order in which they are served."""
        return sorted(
            self.requests,
            key=lambda x: (
                not x.underway,
                now > x.timely_until,
                x.priority,
                x.arrived_at,
            ),
        )

    def take_expired(self, now: float) -> list[WaitingRequest]:
        """Removes and returns the requests whose maximum wait has passed."""
        expired = [x for x in self.requests if now >= x.expires_at]
        for request in expired:
            self.requests.remove(request)
            self.record_outcome(request, now, granted=False)
        return expired
