"""Short-term queue of requests that wait for capacity on the engines.

When no chain has capacity, some often becomes free within a fraction of a
second: a burst ends, a stream completes or another engine takes over layers.
A refused request would be retried only after seconds, too late for its goal.

Requests that can still meet their goal are served first, by priority and
arrival; the others get the remaining capacity. A sustained overload thus does
not make every request late, as the oldest ones time out with a refusal.

Where the requests of a service have different priorities (ranks), those of the
same rank are served by the time for which their clients still wait, so that a
client that was refused and returns goes before one that arrives for the first
time. Less urgent requests neither keep more urgent ones out of the queue nor
block them while capacity is reserved.

If recent waits timed out, a new request is queued only if the recent rate of
successful waits lets it expect capacity in time; otherwise it is refused
immediately. Streams that broke in the middle are served before all others,
because their callers soon give up and a partial answer is of no use to them.
"""

import collections
from collections.abc import Callable
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
# Below the rank of any request.
ALL_RANKS = -math.inf
# Time from finding a chain to the first event.
START_DELAY_SECONDS = 0.15


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RankedWait:
    """A waiting request of a service with different priorities.

    Attributes:
        workspace: Workspace of the client.
        client_until: Time until which the client waits, in seconds.
    """

    workspace: str
    client_until: float


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
        rank: What counts where priorities differ; None elsewhere.
    """

    service: str
    priority: int
    arrived_at: float
    underway: bool
    timely_until: float
    expires_at: float
    rank: RankedWait | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WaitOutcome:
    """The outcome of a wait.

    Attributes:
        service: Service whose engines the request needed.
        ended_at: Time at which the wait ended, in seconds.
        granted: Whether the request got capacity.
        priority: Its rank.
        workspace: Workspace of its client; None where priorities do not
            differ.
    """

    service: str
    ended_at: float
    granted: bool
    priority: int
    workspace: str | None


@dataclasses.dataclass(kw_only=True, slots=True)
class BlockedTurns:
    """Requests that must not go before one that found no capacity.

    Otherwise small requests would starve large ones. Where priorities differ,
    a request may have found none only because of its rank, so that it does not
    block more urgent ones.

    Attributes:
        ranks: Most urgent rank that found no capacity, by service;
            `ALL_RANKS` if all are blocked.
    """

    ranks: dict[str, float] = dataclasses.field(default_factory=dict)

    def add(self, request: WaitingRequest) -> None:
        """Adds a request that found no capacity."""
        blocks_all = request.rank is None or request.underway
        rank = ALL_RANKS if blocks_all else request.priority
        known = self.ranks.get(request.service, rank)
        self.ranks[request.service] = min(known, rank)

    def covers(self, request: WaitingRequest) -> bool:
        """Returns whether a request is blocked."""
        rank = self.ranks.get(request.service)
        return rank is not None and request.priority >= rank


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
        rank: RankedWait | None = None,
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
            rank: What counts where priorities differ; None elsewhere.
            now: Current time in seconds.

        Returns:
            The waiting request, or None if it must be refused.
        """
        wait = max_wait_s if underway else min(MAX_WAIT_SECONDS, max_wait_s)
        if wait <= 0:
            return None
        up_to = None if rank is None else priority
        if not underway and (
            self.count_before(service, up_to) >= MAX_WAITING
            or self.estimate_wait(service, now, up_to) > wait
        ):
            return None
        request = WaitingRequest(
            service=service,
            priority=priority,
            arrived_at=arrived_at,
            underway=underway,
            timely_until=arrived_at + goal_s - START_DELAY_SECONDS,
            expires_at=now + wait,
            rank=rank,
        )
        self.requests.append(request)
        return request

    def count_before(self, service: str, up_to: int | None) -> int:
        """Returns the number of requests before a new one of a service.

        Args:
            service: The service.
            up_to: Rank of the new request, which goes before those of its
                service that are less urgent; None if all are alike.
        """
        if up_to is None:
            return len(self.requests)
        return sum(
            x.service != service or x.priority <= up_to for x in self.requests
        )

    def estimate_wait(
        self, service: str, now: float, up_to: int | None = None
    ) -> float:
        """Estimates how long a new request of a service would wait.

        Args:
            service: The service.
            now: Current time in seconds.
            up_to: Rank of the request, to which less urgent ones do not
                matter; None if all are alike.

        Returns:
            The wait in seconds; 0 if no recent wait timed out or few requests
            wait.
        """
        while (
            self.outcomes
            and now - self.outcomes[0].ended_at > HISTORY_WINDOW_SECONDS
        ):
            self.outcomes.popleft()
        outcomes = [
            x
            for x in self.outcomes
            if x.service == service and (up_to is None or x.priority <= up_to)
        ]
        granted = sum(x.granted for x in outcomes)
        ahead = self.count_waiting(service, up_to)
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
            WaitOutcome(
                service=request.service,
                ended_at=now,
                granted=granted,
                priority=request.priority,
                workspace=request.rank.workspace if request.rank else None,
            )
        )

    def remove(self, request: WaitingRequest) -> None:
        """Removes a request, if it still waits."""
        if request in self.requests:
            self.requests.remove(request)

    def has_waiting(self, service: str, up_to: int | None = None) -> bool:
        """Returns whether requests wait, as `count_waiting` counts them."""
        return self.count_waiting(service, up_to) > 0

    def count_waiting(self, service: str, up_to: int | None = None) -> int:
        """Returns the number of requests of a service that wait.

        Args:
            service: The service.
            up_to: Least urgent rank that counts; None for all. Broken streams
                count in any case.
        """
        return sum(
            x.service == service
            and (up_to is None or x.priority <= up_to or x.underway)
            for x in self.requests
        )

    def sort_by_turn(
        self,
        now: float,
        may_pass: Callable[[WaitingRequest], bool] = lambda request: False,
    ) -> list[WaitingRequest]:
        """Returns the requests in the order in which they are served.

        Args:
            now: Current time in seconds.
            may_pass: Returns whether a request goes before more urgent ones,
                as its rank has not used its minimum share.
        """
        starved = self.find_starved(now)
        return sorted(
            self.requests,
            key=lambda x: (
                not x.underway,
                not may_pass(x),
                now > x.timely_until,
                x.priority,
                *order_within_rank(x, starved),
            ),
        )

    def find_starved(self, now: float) -> set[tuple[str, int, str | None]]:
        """Returns the workspaces whose recent waits have all timed out.

        They go first within their rank; otherwise a workspace whose clients
        always state short times would take all capacity of a rank.

        Returns:
            Service, rank and workspace of each.
        """
        timed_out = set()
        granted = set()
        for x in self.outcomes:
            if x.workspace is None:
                continue
            if now - x.ended_at <= HISTORY_WINDOW_SECONDS:
                group = granted if x.granted else timed_out
                group.add((x.service, x.priority, x.workspace))
        return timed_out - granted

    def take_expired(self, now: float) -> list[WaitingRequest]:
        """Removes and returns the requests whose maximum wait has passed."""
        expired = [x for x in self.requests if now >= x.expires_at]
        for request in expired:
            self.requests.remove(request)
            self.record_outcome(request, now, granted=False)
        return expired


def order_within_rank(
    request: WaitingRequest, starved: set[tuple[str, int, str | None]]
) -> tuple[bool, float]:
    """Returns the sort key of a request among those of its rank.

    Args:
        request: The request.
        starved: Service, rank and workspace whose recent waits timed out.
    """
    if request.rank is None:
        return False, request.arrived_at
    key = (request.service, request.priority, request.rank.workspace)
    return key not in starved, request.rank.client_until
