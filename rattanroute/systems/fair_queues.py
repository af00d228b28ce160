"""Weighted fair queue over neighbours, then workspaces.

The queue uses start-time fair queueing: each flow has a start tag that grows
by cost divided by weight with each served request, and the active flow with
the lowest tag is served next. A flow that was idle starts at the current
virtual time, so neither accumulated idle time nor a large backlog starves
other flows. The requests of a workspace are ordered by priority, then by
deadline.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import heapq

from rattanroute.tables.requests import Request

# Number of finish tags of idle flows above which outdated ones are dropped.
MAX_IDLE_TAGS = 256


@dataclasses.dataclass(kw_only=True, slots=True)
class FlowScheduler:
    """Start-time fair scheduler of the flows of one level.

    Attributes:
        virtual_time: Highest start tag of the flows served so far.
        finish_tags: Start tag of the next request of each flow.
        heap: Heap of the active flows as (start tag, name).
        active: Names of the flows in the heap.
    """

    virtual_time: float = 0.0
    finish_tags: dict[str, float] = dataclasses.field(default_factory=dict)
    heap: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    active: set[str] = dataclasses.field(default_factory=set)

    def activate(self, name: str) -> None:
        """Makes a flow active, unless it already is."""
        if name not in self.active:
            self.active.add(name)
            tag = max(self.virtual_time, self.finish_tags.get(name, 0.0))
            heapq.heappush(self.heap, (tag, name))

    def charge(self, name: str, cost: float) -> None:
        """Charges a flow for a request that did not have to wait."""
        tag = max(self.virtual_time, self.finish_tags.get(name, 0.0))
        self.finish_tags[name] = tag + cost
        self.prune()

    def take(self) -> tuple[float, str]:
        """Removes and returns the active flow with the lowest tag."""
        tag, name = heapq.heappop(self.heap)
        self.active.discard(name)
        return tag, name

    def put_back(self, entry: tuple[float, str]) -> None:
        """Puts a flow that could not be served back with its tag."""
        self.active.add(entry[1])
        heapq.heappush(self.heap, entry)

    def serve(self, entry: tuple[float, str], cost: float) -> None:
        """Advances the virtual time to a served flow and charges the flow."""
        self.virtual_time = max(self.virtual_time, entry[0])
        self.finish_tags[entry[1]] = entry[0] + cost
        self.prune()

    def prune(self) -> None:
        """Drops finish tags that the virtual time has passed."""
        if len(self.finish_tags) > MAX_IDLE_TAGS + 2 * len(self.active):
            self.finish_tags = {
                name: tag
                for name, tag in self.finish_tags.items()
                if tag > self.virtual_time
            }


@dataclasses.dataclass(kw_only=True, slots=True)
class WorkspaceFlow:
    """Waiting requests of a workspace.

    Attributes:
        weight: Weight of the workspace within its neighbour.
        heap: Heap of (-priority, deadline, push number, request). It may
            contain requests that have been removed from the queue.
        count: Number of waiting requests, without the removed ones.
    """

    weight: float
    heap: list[tuple[int, float, int, Request]] = dataclasses.field(
        default_factory=list
    )
    count: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class NeighbourFlow:
    """Waiting requests of a neighbour.

    Attributes:
        weight: Share of the neighbour.
        scheduler: Scheduler of its workspaces.
        workspaces: Flows of its workspaces, by name.
        count: Number of waiting requests.
    """

    weight: float
    scheduler: FlowScheduler = dataclasses.field(default_factory=FlowScheduler)
    workspaces: dict[str, WorkspaceFlow] = dataclasses.field(
        default_factory=dict
    )
    count: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class FairQueue:
    """Requests that wait for a slot of one pool.

    Attributes:
        scheduler: Scheduler of the neighbours.
        neighbours: Flows of the neighbours, by name.
        waiting: Waiting requests by identifier.
        push_count: Number of requests pushed so far; breaks ties.
    """

    scheduler: FlowScheduler = dataclasses.field(default_factory=FlowScheduler)
    neighbours: dict[str, NeighbourFlow] = dataclasses.field(
        default_factory=dict
    )
    waiting: dict[str, Request] = dataclasses.field(default_factory=dict)
    push_count: int = 0

    def push(self, request: Request, *, share: float, weight: float) -> None:
        """Adds a request.

        Args:
            request: The request.
            share: Weight of its neighbour.
            weight: Weight of its workspace within the neighbour.
        """
        flow = self.neighbour(request.neighbour, share)
        workspace_flow = flow.workspaces.get(request.workspace)
        if workspace_flow is None:
            workspace_flow = WorkspaceFlow(weight=weight)
            flow.workspaces[request.workspace] = workspace_flow
        workspace_flow.weight = weight
        self.push_count += 1
        entry = (-request.priority, request.deadline, self.push_count, request)
        heapq.heappush(workspace_flow.heap, entry)
        workspace_flow.count += 1
        flow.count += 1
        self.waiting[request.request_id] = request
        flow.scheduler.activate(request.workspace)
        self.scheduler.activate(request.neighbour)

    def neighbour(self, name: str, share: float) -> NeighbourFlow:
        """Returns the flow of a neighbour after updating its weight."""
        flow = self.neighbours.get(name)
        if flow is None:
            flow = self.neighbours[name] = NeighbourFlow(weight=share)
        flow.weight = share
        return flow

    def charge(
        self, request: Request, *, share: float, weight: float, cost: float
    ) -> None:
        """Charges the flows of a request that did not have to wait.

        Args:
            request: The request.
            share: Weight of its neighbour.
            weight: Weight of its workspace within the neighbour.
            cost: Work of the request, in seconds in a slot.
        """
        flow = self.neighbour(request.neighbour, share)
        flow.scheduler.charge(request.workspace, cost / weight)
        self.scheduler.charge(request.neighbour, cost / share)

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
            admits: Returns whether a neighbour may run a request now.
            place: Tries to start a request; returns whether it did.
            cost: Returns the work of a request, in seconds in a slot.
        """
        skipped: list[tuple[float, str]] = []
        found: Request | None = None
        while self.scheduler.heap and found is None:
            entry = self.scheduler.take()
            flow = self.neighbours[entry[1]]
            if not flow.count:
                continue
            if not admits(entry[1]):
                skipped.append(entry)
                continue
            found = self.pop_from_neighbour(flow, place, cost)
            if found is not None:
                self.scheduler.serve(entry, cost(found) / flow.weight)
                if flow.count:
                    self.scheduler.activate(entry[1])
            else:
                skipped.append(entry)
        for entry in skipped:
            self.scheduler.put_back(entry)
        return found

    def pop_from_neighbour(
        self,
        flow: NeighbourFlow,
        place: Callable[[Request], bool],
        cost: Callable[[Request], float],
    ) -> Request | None:
        """Removes and returns the next request of a neighbour.

        A workspace whose first request cannot be placed keeps its tag, and
        the next workspace is tried, as the pool may have targets for it.

        Args:
            flow: The flow of the neighbour.
            place: Tries to start a request; returns whether it did.
            cost: Returns the work of a request, in seconds in a slot.
        """
        skipped: list[tuple[float, str]] = []
        found: Request | None = None
        while flow.scheduler.heap and found is None:
            entry = flow.scheduler.take()
            workspace_flow = flow.workspaces[entry[1]]
            request = self.peek(workspace_flow)
            if request is None:
                del flow.workspaces[entry[1]]
                continue
            if not place(request):
                skipped.append(entry)
                if len(skipped) >= MAX_PLACEMENT_ATTEMPTS:
                    break
                continue
            heapq.heappop(workspace_flow.heap)
            self.remove(request.request_id)
            flow.scheduler.serve(entry, cost(request) / workspace_flow.weight)
            if workspace_flow.count:
                flow.scheduler.activate(entry[1])
            else:
                del flow.workspaces[entry[1]]
            found = request
        for entry in skipped:
            flow.scheduler.put_back(entry)
        return found

    def peek(self, workspace_flow: WorkspaceFlow) -> Request | None:
        """Returns the next request of a workspace; drops removed ones."""
        while workspace_flow.heap:
            request = workspace_flow.heap[0][3]
            if self.waiting.get(request.request_id) is request:
                return request
            heapq.heappop(workspace_flow.heap)
        return None

    def ahead(self, request: Request) -> float:
        """Estimates how many waiting requests are served before a new one.

        Fair queueing bounds the number by the waiting requests of the
        workspace and by those of the neighbour, each divided by its part of
        the total weight.
        """
        flow = self.neighbours.get(request.neighbour)
        if flow is None or not flow.count:
            return 0.0
        share = sum(f.weight for f in self.neighbours.values() if f.count)
        part = flow.weight / share if share else 1.0
        workspace_flow = flow.workspaces.get(request.workspace)
        own = workspace_flow.count if workspace_flow is not None else 0
        if workspace_flow is not None and workspace_flow.heap:
            own = 0 if -request.priority < workspace_flow.heap[0][0] else own
        weight = workspace_flow.weight if workspace_flow is not None else 1.0
        weights = sum(s.weight for s in flow.workspaces.values() if s.count)
        workspace_ahead = own * max(1.0, weights / weight)
        return min(len(self.waiting), min(flow.count, workspace_ahead) / part)

    def ordered(self) -> Iterator[tuple[Request, float]]:
        """Yields waiting requests, each with the estimated number ahead."""
        total = len(self.waiting)
        share = sum(f.weight for f in self.neighbours.values() if f.count)
        for flow in self.neighbours.values():
            if not flow.count:
                continue
            weights = sum(s.weight for s in flow.workspaces.values() if s.count)
            for workspace_flow in flow.workspaces.values():
                factor = weights / workspace_flow.weight * share / flow.weight
                position = 0
                for entry in sorted(workspace_flow.heap, key=lambda e: e[:3]):
                    request = entry[3]
                    if self.waiting.get(request.request_id) is request:
                        yield request, min(total - 1, position * factor)
                        position += 1

    def __len__(self) -> int:
        return len(self.waiting)


# Number of workspaces of a neighbour whose first request is tried before the
# neighbour is skipped.
MAX_PLACEMENT_ATTEMPTS = 8
