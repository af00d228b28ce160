"""Requests that are refused because their time has passed."""

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

# A pool without a usable target refuses what waits for it after this time.
UNUSABLE_SECONDS = 1.0


@dataclasses.dataclass(kw_only=True, slots=True)
class ExpirationSystem:
    """Finds late requests and requests that no target can serve.

    Attributes:
        requests: Requests that have not ended.
        admissions: Waiting requests.
        selections: Tells whether a request has targets.
        deadlines: Ends of requests as (deadline, id).
        unusable: Time since which a pool has had no usable target.
    """

    requests: RequestTable
    admissions: AdmissionSystem
    selections: SelectionSystem
    deadlines: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    unusable: dict[PoolKey, float] = dataclasses.field(default_factory=dict)

    def watch(self, request: Request) -> None:
        """Schedules the check of a request's deadline."""
        heapq.heappush(self.deadlines, (request.deadline, request.request_id))

    def due(self, now: float) -> Iterator[tuple[Request, Refusal]]:
        """Yields requests to end now, each with its refusal."""
        yield from self.late(now)
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
        yield from self.stranded(now)

    def late(self, now: float) -> Iterator[tuple[Request, Refusal]]:
        """Yields requests whose deadline has passed."""
        while self.deadlines and self.deadlines[0][0] <= now:
            request = self.requests.get(heapq.heappop(self.deadlines)[1])
            if request is not None and request.deadline <= now:
                yield request, refusals.deadline_exceeded(request)

    def stranded(self, now: float) -> Iterator[tuple[Request, Refusal]]:
        """Yields requests that wait for pools without a usable target."""
        for key, queue in self.admissions.queues.items():
            waiting = next(iter(queue.waiting.values()), None)
            if waiting is None or self.selections.is_servable(waiting, now):
                self.unusable.pop(key, None)
                continue
            since = self.unusable.setdefault(key, now)
            if now - since >= UNUSABLE_SECONDS:
                for request in list(queue.waiting.values()):
                    yield request, refusals.no_target(request)
