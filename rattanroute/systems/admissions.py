"""Admission by deadline, and the queue of requests that wait for a slot."""

import dataclasses
import heapq
import math
from typing import Protocol

from rattanroute.actions import Refusal
from rattanroute.systems.queues import FairQueue
from rattanroute.systems.refusals import overloaded
from rattanroute.tables.configurations import Configuration
from rattanroute.tables.pools import PoolKey
from rattanroute.tables.requests import Request
from rattanroute.tables.targets import update_average

DURATION_WEIGHT = 0.1
# Interval at which waiting requests are checked against their deadlines.
SHED_SECONDS = 0.5
MIN_WEIGHT = 0.001
# Duration of a request before any has ended.
DEFAULT_SECONDS = 1.0


class ShareGate(Protocol):
    """Limits the work of each neighbour on this VM, in slot seconds."""

    def admits(self, neighbour: str, *, now: float) -> bool:
        """Tells whether the neighbour may start a request now."""
        ...

    def start(self, neighbour: str, *, request_id: str, now: float) -> None:
        """Charges the start of an attempt."""
        ...

    def end(self, request_id: str, *, now: float) -> None:
        """Stops charging an attempt."""
        ...

    def wait(self, neighbour: str, *, work: float, now: float) -> float:
        """Returns the seconds until an amount of work may have started."""
        ...

    def offer(self, neighbour: str, *, work: float) -> None:
        """Counts the work of a request that arrived."""
        ...

    def set_backlog(self, backlog: dict[str, float]) -> None:
        """Sets the waiting work of each neighbour."""
        ...


class OpenGate:
    """Admits everything; used where no shares are enforced."""

    def admits(self, neighbour: str, *, now: float) -> bool:
        """Tells that the neighbour may start a request."""
        return True

    def start(self, neighbour: str, *, request_id: str, now: float) -> None:
        """Charges nothing."""

    def end(self, request_id: str, *, now: float) -> None:
        """Charges nothing."""

    def wait(self, neighbour: str, *, work: float, now: float) -> float:
        """Returns that no wait is needed."""
        return 0.0

    def offer(self, neighbour: str, *, work: float) -> None:
        """Counts nothing."""

    def set_backlog(self, backlog: dict[str, float]) -> None:
        """Counts nothing."""


@dataclasses.dataclass(kw_only=True, slots=True)
class Drain:
    """How fast this VM's requests of a pool end.

    Attributes:
        running: Attempts of this VM in the pool.
        seconds: Mean duration of an attempt; 0 before the first end.
    """

    running: int = 0
    seconds: float = 0.0


@dataclasses.dataclass(kw_only=True, slots=True)
class AdmissionSystem:
    """Queues requests and estimates whether they end before the deadline.

    Attributes:
        max_queued: Requests that may wait, over all pools.
        max_wait_s: Longest expected wait with which a request is queued.
        gate: Limit of each neighbour's work.
        queues: Waiting requests by pool.
        drains: Rates at which pools free slots for this VM.
        expiries: Latest start of waiting requests as (time, id, pool).
        shed_at: Time of the next check of all waiting requests.
    """

    max_queued: int
    max_wait_s: float = math.inf
    gate: ShareGate
    queues: dict[PoolKey, FairQueue] = dataclasses.field(default_factory=dict)
    drains: dict[PoolKey, Drain] = dataclasses.field(default_factory=dict)
    expiries: list[tuple[float, str, PoolKey]] = dataclasses.field(
        default_factory=list
    )
    shed_at: float = 0.0

    def queue(self, key: PoolKey) -> FairQueue:
        """Returns the queue of a pool."""
        queue = self.queues.get(key)
        if queue is None:
            queue = self.queues[key] = FairQueue()
        return queue

    def drain(self, key: PoolKey) -> Drain:
        """Returns the drain of a pool."""
        drain = self.drains.get(key)
        if drain is None:
            drain = self.drains[key] = Drain()
        return drain

    def queued(self) -> int:
        """Returns the number of waiting requests."""
        return sum(len(queue) for queue in self.queues.values())

    def note_start(self, key: PoolKey) -> None:
        """Counts an attempt that starts in a pool."""
        self.drain(key).running += 1

    def note_end(self, key: PoolKey, seconds: float | None) -> None:
        """Counts an attempt that ends.

        Args:
            key: The pool.
            seconds: Duration of a complete attempt, or None.
        """
        drain = self.drain(key)
        drain.running = max(0, drain.running - 1)
        if seconds is not None:
            drain.seconds = update_average(
                drain.seconds, seconds, DURATION_WEIGHT
            )

    def slot_wait(self, key: PoolKey, ahead: float, run: float) -> float:
        """Returns the seconds until a slot is free behind other requests.

        By Little's law a pool frees slots for this VM at the rate of its
        running attempts over their mean duration.
        """
        drain = self.drain(key)
        seconds = drain.seconds or run
        return (ahead + 1) * seconds / max(1, drain.running)

    def check(
        self, request: Request, *, key: PoolKey, run: float, now: float
    ) -> Refusal | None:
        """Decides whether a request that has no slot yet may wait.

        Args:
            request: The request.
            key: Its pool.
            run: Its expected seconds in a slot.
            now: Time in seconds.

        Returns:
            A refusal when the queue is full or the request cannot end before
            its deadline, else None.
        """
        queue = self.queue(key)
        left = request.deadline - now
        slot = self.slot_wait(key, queue.ahead(request), run)
        flow = queue.neighbours.get(request.neighbour)
        behind = (flow.count if flow is not None else 0) * run
        share = self.gate.wait(request.neighbour, work=behind, now=now)
        wait = max(slot, share)
        excess = max(wait + run - left, wait - self.max_wait_s)
        if self.queued() >= self.max_queued:
            return overloaded(
                request, "the queue is full", max(slot, excess), status=503
            )
        if excess > 0:
            limited = share > slot
            cause = "the neighbour's share" if limited else "the queue"
            return overloaded(
                request,
                f"{cause} leaves no time to answer",
                excess,
                status=429 if limited else 503,
            )
        return None

    def enqueue(
        self,
        request: Request,
        *,
        key: PoolKey,
        run: float,
        configuration: Configuration,
    ) -> None:
        """Makes a request wait for a slot."""
        share, weight = weights_of(request, configuration)
        self.queue(key).push(request, share=share, weight=weight)
        expiry = (request.deadline - run, request.request_id, key)
        heapq.heappush(self.expiries, expiry)

    def expire(self, now: float) -> list[str]:
        """Removes and returns requests that can no longer end in time."""
        expired = []
        while self.expiries and self.expiries[0][0] <= now:
            _, request_id, key = heapq.heappop(self.expiries)
            queue = self.queues.get(key)
            if queue is not None and queue.remove(request_id):
                expired.append(request_id)
        return expired

    def shed(self, now: float) -> list[tuple[Request, float]]:
        """Removes waiting requests whose turn will come too late.

        Returns:
            The requests, each with the seconds by which it is too late.
        """
        if now < self.shed_at:
            return []
        self.shed_at = now + SHED_SECONDS
        late: list[tuple[Request, float]] = []
        for key, queue in list(self.queues.items()):
            seconds = self.drain(key).seconds
            kept = 0
            for request, ahead in list(queue.ordered()):
                # Requests that are shed leave their places to later ones.
                place = min(ahead, kept)
                wait = self.slot_wait(key, place, seconds)
                excess = wait + seconds - (request.deadline - now)
                if excess > 0:
                    late.append((request, excess))
                    queue.remove(request.request_id)
                else:
                    kept += 1
        return late

    def backlog(self) -> dict[str, float]:
        """Returns the waiting work of each neighbour, in slot seconds."""
        work: dict[str, float] = {}
        for key, queue in self.queues.items():
            seconds = self.drain(key).seconds or DEFAULT_SECONDS
            for name, flow in queue.neighbours.items():
                if flow.count:
                    work[name] = work.get(name, 0.0) + flow.count * seconds
        return work

    def remove(self, request_id: str, key: PoolKey) -> None:
        """Removes a waiting request whose caller has gone."""
        queue = self.queues.get(key)
        if queue is not None:
            queue.remove(request_id)


def weights_of(
    request: Request, configuration: Configuration
) -> tuple[float, float]:
    """Returns the weights of a request's neighbour and workspace."""
    neighbour = configuration.neighbours.get(request.neighbour)
    workspace = configuration.workspaces.get(request.workspace)
    share = neighbour.share if neighbour is not None else 1.0
    weight = workspace.weight if workspace is not None else 1.0
    return max(share, MIN_WEIGHT), max(weight, MIN_WEIGHT)
