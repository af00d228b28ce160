"""Admission control: deadline checks and the queues of waiting requests."""

import dataclasses
import heapq
import math
from typing import Protocol

from rattanroute.actions import Refusal
from rattanroute.systems.fair_queues import FairQueue
from rattanroute.systems.refusals import overloaded
from rattanroute.tables.configurations import Configuration
from rattanroute.tables.pools import PoolKey
from rattanroute.tables.requests import Request
from rattanroute.tables.targets import update_average

# Weight of a new sample in the moving average of attempt durations.
DURATION_WEIGHT = 0.1
# Interval between deadline checks of all waiting requests.
SHED_INTERVAL_SECONDS = 0.5
# Lower bound of configured shares and weights, which are divisors.
MIN_WEIGHT = 0.001
# Assumed duration of a request until the first one of its pool completes.
DEFAULT_DURATION_SECONDS = 1.0


class ShareLimiter(Protocol):
    """Limits the work of each neighbour on this VM, in slot seconds."""

    def admits(self, neighbour: str, *, now: float) -> bool:
        """Returns whether the neighbour may start a request now."""
        ...

    def start(self, neighbour: str, *, request_id: str, now: float) -> None:
        """Starts charging an attempt to its neighbour."""
        ...

    def end(self, request_id: str, *, now: float) -> None:
        """Stops charging an attempt."""
        ...

    def wait(self, neighbour: str, *, work: float, now: float) -> float:
        """Returns the seconds until the neighbour may start this much work."""
        ...

    def offer(self, neighbour: str, *, work: float) -> None:
        """Adds the work of an arriving request to the neighbour's demand."""
        ...

    def set_backlog(self, backlog: dict[str, float]) -> None:
        """Sets the queued work of each neighbour."""
        ...


class UnlimitedShares:
    """Admits every request; used where no shares are enforced."""

    def admits(self, neighbour: str, *, now: float) -> bool:
        """Returns True."""
        return True

    def start(self, neighbour: str, *, request_id: str, now: float) -> None:
        """Does nothing."""

    def end(self, request_id: str, *, now: float) -> None:
        """Does nothing."""

    def wait(self, neighbour: str, *, work: float, now: float) -> float:
        """Returns 0."""
        return 0.0

    def offer(self, neighbour: str, *, work: float) -> None:
        """Does nothing."""

    def set_backlog(self, backlog: dict[str, float]) -> None:
        """Does nothing."""


@dataclasses.dataclass(kw_only=True, slots=True)
class PoolThroughput:
    """Rate at which the attempts of this VM in a pool complete.

    Attributes:
        running: Running attempts of this VM in the pool.
        mean_seconds: Mean duration of an attempt, in seconds; 0 until the
            first one completes.
    """

    running: int = 0
    mean_seconds: float = 0.0


@dataclasses.dataclass(kw_only=True, slots=True)
class AdmissionSystem:
    """Queues requests that can complete before their deadline.

    Attributes:
        max_queued: Maximum number of waiting requests over all pools.
        max_wait_s: Maximum expected wait of a queued request, in seconds.
        gate: Limiter of the work of each neighbour.
        queues: Waiting requests by pool.
        throughputs: Completion rates of this VM's attempts by pool.
        expiries: Heap of the latest start times of waiting requests, as
            (time, request id, pool).
        next_shed_at: Time of the next deadline check of all waiting
            requests.
    """

    max_queued: int
    max_wait_s: float = math.inf
    gate: ShareLimiter
    queues: dict[PoolKey, FairQueue] = dataclasses.field(default_factory=dict)
    throughputs: dict[PoolKey, PoolThroughput] = dataclasses.field(
        default_factory=dict
    )
    expiries: list[tuple[float, str, PoolKey]] = dataclasses.field(
        default_factory=list
    )
    next_shed_at: float = 0.0

    def queue(self, key: PoolKey) -> FairQueue:
        """Returns the queue of a pool, creating it on first use."""
        queue = self.queues.get(key)
        if queue is None:
            queue = self.queues[key] = FairQueue()
        return queue

    def throughput(self, key: PoolKey) -> PoolThroughput:
        """Returns the throughput of a pool, creating it on first use."""
        throughput = self.throughputs.get(key)
        if throughput is None:
            throughput = self.throughputs[key] = PoolThroughput()
        return throughput

    def count_queued(self) -> int:
        """Returns the number of waiting requests."""
        return sum(len(queue) for queue in self.queues.values())

    def note_start(self, key: PoolKey) -> None:
        """Records the start of an attempt in a pool."""
        self.throughput(key).running += 1

    def note_end(self, key: PoolKey, seconds: float | None) -> None:
        """Records the end of an attempt.

        Args:
            key: The pool.
            seconds: Duration of the attempt if it completed, else None.
        """
        throughput = self.throughput(key)
        throughput.running = max(0, throughput.running - 1)
        if seconds is not None:
            throughput.mean_seconds = update_average(
                throughput.mean_seconds, seconds, DURATION_WEIGHT
            )

    def estimate_slot_wait(
        self, key: PoolKey, ahead: float, run: float
    ) -> float:
        """Estimates the seconds until a slot is free for a request.

        By Little's law, a pool frees slots for this VM at the rate of its
        running attempts divided by their mean duration.

        Args:
            key: The pool.
            ahead: Waiting requests that are served before this one.
            run: Duration in seconds to use until one is measured.
        """
        throughput = self.throughput(key)
        seconds = throughput.mean_seconds or run
        return (ahead + 1) * seconds / max(1, throughput.running)

    def check(
        self, request: Request, *, key: PoolKey, run: float, now: float
    ) -> Refusal | None:
        """Decides whether a request that got no slot may be queued.

        Args:
            request: The request.
            key: Its pool.
            run: Its expected duration in a slot, in seconds.
            now: Current time in seconds.

        Returns:
            A refusal if the queue is full or the request is not expected to
            complete before its deadline, else None.
        """
        queue = self.queue(key)
        remaining_s = request.deadline - now
        slot = self.estimate_slot_wait(key, queue.ahead(request), run)
        flow = queue.neighbours.get(request.neighbour)
        behind = (flow.count if flow is not None else 0) * run
        share = self.gate.wait(request.neighbour, work=behind, now=now)
        wait = max(slot, share)
        excess = max(wait + run - remaining_s, wait - self.max_wait_s)
        if self.count_queued() >= self.max_queued:
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
        """Adds a request to the queue of its pool."""
        share, weight = find_weights(request, configuration)
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
        """Removes waiting requests that are expected to miss their deadline.

        Returns:
            The requests, each with the seconds by which it would miss it.
        """
        if now < self.next_shed_at:
            return []
        self.next_shed_at = now + SHED_INTERVAL_SECONDS
        late: list[tuple[Request, float]] = []
        for key, queue in list(self.queues.items()):
            seconds = self.throughput(key).mean_seconds
            kept = 0
            for request, ahead in list(queue.ordered()):
                # Requests behind a removed one move up.
                place = min(ahead, kept)
                wait = self.estimate_slot_wait(key, place, seconds)
                excess = wait + seconds - (request.deadline - now)
                if excess > 0:
                    late.append((request, excess))
                    queue.remove(request.request_id)
                else:
                    kept += 1
        return late

    def backlog(self) -> dict[str, float]:
        """Returns the queued work of each neighbour, in slot seconds."""
        work: dict[str, float] = {}
        for key, queue in self.queues.items():
            seconds = (
                self.throughput(key).mean_seconds or DEFAULT_DURATION_SECONDS
            )
            for name, flow in queue.neighbours.items():
                if flow.count:
                    work[name] = work.get(name, 0.0) + flow.count * seconds
        return work

    def remove(self, request_id: str, key: PoolKey) -> None:
        """Removes a request from the queue of its pool, if it waits there."""
        queue = self.queues.get(key)
        if queue is not None:
            queue.remove(request_id)


def find_weights(
    request: Request, configuration: Configuration
) -> tuple[float, float]:
    """Returns the share of the neighbour and the weight of the workspace."""
    neighbour = configuration.neighbours.get(request.neighbour)
    workspace = configuration.workspaces.get(request.workspace)
    share = neighbour.share if neighbour is not None else 1.0
    weight = workspace.weight if workspace is not None else 1.0
    return max(share, MIN_WEIGHT), max(weight, MIN_WEIGHT)
