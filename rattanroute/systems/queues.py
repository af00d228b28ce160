"""Weighted fair queue over neighbours, then workspaces.

Start-time fair queueing: each flow has a tag that grows by cost over weight
with each request served, and the active flow with the lowest tag is next. A
flow that was idle starts at the current tag, so that neither saved-up idle
time nor a large backlog starves another flow. Within a workspace the order is
priority, then deadline.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import heapq

from rattanroute.tables.requests import Request

# Tags of idle flows kept before those that no longer matter are dropped.
MAX_IDLE_TAGS = 256


@dataclasses.dataclass(kw_only=True, slots=True)
class TagClock:
    """Tags of the flows of one level.

    Attributes:
        current: Tag of the latest flow served.
        finish: Tag at which each flow may start next.
        heap: Active flows as (tag, name).
        active: Names in the heap.
    """

    current: float = 0.0
    finish: dict[str, float] = dataclasses.field(default_factory=dict)
    heap: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    active: set[str] = dataclasses.field(default_factory=set)

    def activate(self, name: str) -> None:
        """Adds a flow that has requests unless it is active."""
        if name not in self.active:
            self.active.add(name)
            tag = max(self.current, self.finish.get(name, 0.0))
            heapq.heappush(self.heap, (tag, name))

    def charge(self, name: str, cost: float) -> None:
        """Charges a flow that was served without waiting."""
        tag = max(self.current, self.finish.get(name, 0.0))
        self.finish[name] = tag + cost
        self.prune()

    def take(self) -> tuple[float, str]:
        """Removes and returns the active flow with the lowest tag."""
        tag, name = heapq.heappop(self.heap)
        self.active.discard(name)
        return tag, name

    def give_back(self, entry: tuple[float, str]) -> None:
        """Returns a flow that could not be served."""
        self.active.add(entry[1])
        heapq.heappush(self.heap, entry)

    def serve(self, entry: tuple[float, str], cost: float) -> None:
        """Advances the clock to a served flow and charges it."""
        self.current = max(self.current, entry[0])
        self.finish[entry[1]] = entry[0] + cost
        self.prune()

    def prune(self) -> None:
        """Drops tags that the current one has passed."""
        if len(self.finish) > MAX_IDLE_TAGS + 2 * len(self.active):
            self.finish = {
                name: tag
                for name, tag in self.finish.items()
                if tag > self.current
            }


@dataclasses.dataclass(kw_only=True, slots=True)
class WorkspaceFlow:
    """Waiting requests of a workspace as (-priority, deadline, number)."""

    weight: float
    heap: list[tuple[int, float, int, Request]] = dataclasses.field(
        default_factory=list
    )
    count: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class NeighbourFlow:
    """Waiting requests of a neighbour."""

    weight: float
    clock: TagClock = dataclasses.field(default_factory=TagClock)
    workspaces: dict[str, WorkspaceFlow] = dataclasses.field(
        default_factory=dict
    )
    count: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class FairQueue:
    """Requests that wait for a slot of one pool."""

    clock: TagClock = dataclasses.field(default_factory=TagClock)
    neighbours: dict[str, NeighbourFlow] = dataclasses.field(
        default_factory=dict
    )
    waiting: dict[str, Request] = dataclasses.field(default_factory=dict)
    pushed: int = 0

    def push(self, request: Request, *, share: float, weight: float) -> None:
        """Adds a request.

        Args:
            request: The request.
            share: Weight of its neighbour.
            weight: Weight of its workspace within the neighbour.
        """
        flow = self.neighbour(request.neighbour, share)
        space = flow.workspaces.get(request.workspace)
        if space is None:
            space = WorkspaceFlow(weight=weight)
            flow.workspaces[request.workspace] = space
        space.weight = weight
        self.pushed += 1
        entry = (-request.priority, request.deadline, self.pushed, request)
        heapq.heappush(space.heap, entry)
        space.count += 1
        flow.count += 1
        self.waiting[request.request_id] = request
        flow.clock.activate(request.workspace)
        self.clock.activate(request.neighbour)

    def neighbour(self, name: str, share: float) -> NeighbourFlow:
        """Returns the flow of a neighbour with its current weight."""
        flow = self.neighbours.get(name)
        if flow is None:
            flow = self.neighbours[name] = NeighbourFlow(weight=share)
        flow.weight = share
        return flow

    def charge(
        self, request: Request, *, share: float, weight: float, cost: float
    ) -> None:
        """Charges the flows of a request that did not have to wait."""
        flow = self.neighbour(request.neighbour, share)
        flow.clock.charge(request.workspace, cost / weight)
        self.clock.charge(request.neighbour, cost / share)

    def remove(self, request_id: str) -> bool:
        """Removes a waiting request; its heap entry is skipped later."""
        request = self.waiting.pop(request_id, None)
        if request is None:
            return False
        flow = self.neighbours[request.neighbour]
        flow.count -= 1
        flow.workspaces[request.workspace].count -= 1
        return True

    def pop(
        self,
        *,
        admits: Callable[[str], bool],
        place: Callable[[Request], bool],
        cost: Callable[[Request], float],
    ) -> Request | None:
        """Removes and returns the next request that can be placed.

        Args:
            admits: Tells whether a neighbour may run a request now.
            place: Starts a request and tells whether it succeeded.
            cost: Returns the work of a request.
        """
        held: list[tuple[float, str]] = []
        found: Request | None = None
        while self.clock.heap and found is None:
            entry = self.clock.take()
            flow = self.neighbours[entry[1]]
            if not flow.count:
                continue
            if not admits(entry[1]):
                held.append(entry)
                continue
            found = self.pop_workspace(flow, place, cost)
            if found is not None:
                self.clock.serve(entry, cost(found) / flow.weight)
                if flow.count:
                    self.clock.activate(entry[1])
            else:
                held.append(entry)
        for entry in held:
            self.clock.give_back(entry)
        return found

    def pop_workspace(
        self,
        flow: NeighbourFlow,
        place: Callable[[Request], bool],
        cost: Callable[[Request], float],
    ) -> Request | None:
        """Removes and returns the next request of a neighbour.

        A workspace whose first request cannot be placed keeps its turn, and
        the next workspace is tried: the pool may have targets for the latter.
        """
        held: list[tuple[float, str]] = []
        found: Request | None = None
        while flow.clock.heap and found is None:
            entry = flow.clock.take()
            space = flow.workspaces[entry[1]]
            request = self.head(space)
            if request is None:
                del flow.workspaces[entry[1]]
                continue
            if not place(request):
                held.append(entry)
                if len(held) >= MAX_PLACE_TRIES:
                    break
                continue
            heapq.heappop(space.heap)
            self.remove(request.request_id)
            flow.clock.serve(entry, cost(request) / space.weight)
            if space.count:
                flow.clock.activate(entry[1])
            else:
                del flow.workspaces[entry[1]]
            found = request
        for entry in held:
            flow.clock.give_back(entry)
        return found

    def head(self, space: WorkspaceFlow) -> Request | None:
        """Returns the first waiting request of a workspace."""
        while space.heap:
            request = space.heap[0][3]
            if self.waiting.get(request.request_id) is request:
                return request
            heapq.heappop(space.heap)
        return None

    def ahead(self, request: Request) -> float:
        """Returns how many requests are served before a new one.

        Fair queueing bounds the number twice: by what the workspace and the
        neighbour have waiting, scaled by their part of the service.
        """
        flow = self.neighbours.get(request.neighbour)
        if flow is None or not flow.count:
            return 0.0
        share = sum(f.weight for f in self.neighbours.values() if f.count)
        part = flow.weight / share if share else 1.0
        space = flow.workspaces.get(request.workspace)
        own = space.count if space is not None else 0
        if space is not None and space.heap:
            own = 0 if -request.priority < space.heap[0][0] else own
        weight = space.weight if space is not None else 1.0
        weights = sum(s.weight for s in flow.workspaces.values() if s.count)
        within = own * max(1.0, weights / weight)
        return min(len(self.waiting), min(flow.count, within) / part)

    def ordered(self) -> Iterator[tuple[Request, float]]:
        """Yields waiting requests with an estimate of those before them."""
        total = len(self.waiting)
        share = sum(f.weight for f in self.neighbours.values() if f.count)
        for flow in self.neighbours.values():
            if not flow.count:
                continue
            weights = sum(s.weight for s in flow.workspaces.values() if s.count)
            for space in flow.workspaces.values():
                factor = weights / space.weight * share / flow.weight
                position = 0
                for entry in sorted(space.heap, key=lambda e: e[:3]):
                    request = entry[3]
                    if self.waiting.get(request.request_id) is request:
                        yield request, min(total - 1, position * factor)
                        position += 1

    def __len__(self) -> int:
        return len(self.waiting)


# Workspaces tried before a pool counts as full for this round.
MAX_PLACE_TRIES = 8
