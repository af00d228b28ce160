"""Refusal of requests that are late or that no target can serve."""

from collections.abc import Iterator
import dataclasses
import heapq

from rattanroute.actions import Refusal
from rattanroute.systems import refusals
from rattanroute.systems.admissions import AdmissionSystem
from rattanroute.systems.selections import SelectionSystem
from rattanroute.tables.pools import PoolKey
from rattanroute.tables.requests import Request
from rattanroute.tables.requests import RequestTable

# A pool without a usable target refuses its waiting requests after this time.
UNUSABLE_GRACE_SECONDS = 1.0
# A begun answer waits this long for a usable target: twice the age at which the
# report of a target is no longer used.
BEGUN_GRACE_SECONDS = 5.0


@dataclasses.dataclass(kw_only=True, slots=True)
class ExpirationSystem:
    """Finds requests to refuse because of their deadline or their pool.

    Attributes:
        requests: Requests in progress.
        admissions: Waiting requests.
        selections: Finds out whether some target can serve a request.
        deadlines: Heap of deadlines as (time, request id).
        unusable_since: Time since which each pool without a usable target
            has had none.
    """

    requests: RequestTable
    admissions: AdmissionSystem
    selections: SelectionSystem
    deadlines: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    unusable_since: dict[PoolKey, float] = dataclasses.field(
        default_factory=dict
    )

    def watch(self, request: Request) -> None:
        """Schedules the check of a request's deadline."""
        heapq.heappush(self.deadlines, (request.deadline, request.request_id))

    def may_wait(self, request: Request, now: float) -> bool:
        """Returns whether a failed request may wait for a target.

        A begun answer also waits while no target is usable: their reports may
        only be late, and nothing else can complete the answer.
        """
        if self.selections.is_servable(request, now):
            request.unservable_since = None
            return True
        if not request.begun:
            return False
        if request.unservable_since is None:
            request.unservable_since = now
        return now - request.unservable_since < BEGUN_GRACE_SECONDS

    def due(self, now: float) -> Iterator[tuple[Request, Refusal]]:
        """Yields the requests to refuse now, each with its refusal."""
        yield from self.find_overdue(now)
        for request_id in self.admissions.expire(now):
            request = self.requests.get(request_id)
            if request is not None:
                yield (
                    request,
                    refusals.overloaded(
                        request,
                        "no slot became free in time",
                        refusals.TARGET_RETRY_SECONDS,
                    ),
                )
        for request, excess in self.admissions.shed(now):
            message = "the queue became too slow"
            yield request, refusals.overloaded(request, message, excess)
        yield from self.find_unservable(now)

    def find_overdue(self, now: float) -> Iterator[tuple[Request, Refusal]]:
        """Yields requests whose deadline has passed."""
        while self.deadlines and self.deadlines[0][0] <= now:
            request = self.requests.get(heapq.heappop(self.deadlines)[1])
            if request is not None and request.deadline <= now:
                yield request, refusals.deadline_exceeded(request)

    def find_unservable(self, now: float) -> Iterator[tuple[Request, Refusal]]:
        """Yields waiting requests of pools that have had no usable target."""
        for key, queue in self.admissions.queues.items():
            waiting = next(iter(queue.waiting.values()), None)
            if waiting is None or self.selections.is_servable(waiting, now):
                self.unusable_since.pop(key, None)
                continue
            since = self.unusable_since.setdefault(key, now)
            if now - since >= UNUSABLE_GRACE_SECONDS:
                for request in list(queue.waiting.values()):
                    if not self.may_wait(request, now):
                        yield request, refusals.no_target(request)
