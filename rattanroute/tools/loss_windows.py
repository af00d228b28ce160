"""Sums of losses for each window of time and route."""

from collections.abc import Iterable
import dataclasses

from rattanroute.tools.loss_causes import find_losses
from rattanroute.tools.loss_causes import Kind
from rattanroute.tools.loss_causes import Loss
from rattanroute.tools.loss_causes import Objectives
from rattanroute.tools.loss_lines import RequestRecord

WINDOW_SECONDS = 2.0
# Identifiers with which the log lines of a cause are found.
MAX_EXAMPLES = 3

LossKey = tuple[Kind, str]


@dataclasses.dataclass(kw_only=True, slots=True)
class LossSum:
    """Losses of one kind and cause.

    Attributes:
        count: Number of losses.
        excess_s: Sum of the seconds beyond the objective.
        examples: Identifiers of the first requests.
    """

    count: int = 0
    excess_s: float = 0.0
    examples: list[str] = dataclasses.field(default_factory=list)

    def add(self, request_id: str, loss: Loss) -> None:
        """Adds a loss."""
        self.count += 1
        self.excess_s += loss.excess_s
        if len(self.examples) < MAX_EXAMPLES:
            self.examples.append(request_id)


@dataclasses.dataclass(kw_only=True, slots=True)
class LossGroup:
    """Requests and losses of a window and route, or of a route and rank.

    Attributes:
        requests: Requests that arrived.
        affected: Requests that lost something.
        sums: Losses by kind and cause.
    """

    requests: int = 0
    affected: int = 0
    sums: dict[LossKey, LossSum] = dataclasses.field(default_factory=dict)

    def add(self, request_id: str, loss: Loss) -> None:
        """Adds a loss."""
        key = (loss.kind, loss.cause)
        self.sums.setdefault(key, LossSum()).add(request_id, loss)

    def count(self, kind: Kind) -> int:
        """Returns the number of losses of a kind."""
        return sum(x.count for key, x in self.sums.items() if key[0] is kind)

    def sort_sums(self) -> list[tuple[LossKey, LossSum]]:
        """Returns the sums, most frequent first."""
        return sorted(
            self.sums.items(), key=lambda item: (-item[1].count, item[0])
        )


@dataclasses.dataclass(kw_only=True, slots=True)
class LossReport:
    """Losses of all requests of some logs.

    A request is counted in the window of its arrival, a loss in the window in
    which it happened. One request may lose several things, such as a first
    event and a pause.

    Attributes:
        objectives: Objectives that replace those of the logs.
        window_s: Length of a window in seconds.
        windows: Groups by start of the window and route.
        totals: Groups by route and rank.
        without_objective: Answered requests without an objective of the first
            event, by route.
    """

    objectives: Objectives = dataclasses.field(default_factory=Objectives)
    window_s: float = WINDOW_SECONDS
    windows: dict[tuple[float, str], LossGroup] = dataclasses.field(
        default_factory=dict
    )
    totals: dict[tuple[str, int | None], LossGroup] = dataclasses.field(
        default_factory=dict
    )
    without_objective: dict[str, int] = dataclasses.field(default_factory=dict)

    def add_all(self, records: Iterable[RequestRecord]) -> None:
        """Adds requests."""
        for record in records:
            self.add(record)

    def add(self, record: RequestRecord) -> None:
        """Adds a request with its losses."""
        total = self.totals.setdefault(
            (record.route, record.priority), LossGroup()
        )
        total.requests += 1
        self.find_window(record.arrived_at, record.route).requests += 1
        affected: list[LossGroup] = []
        for loss in find_losses(record, self.objectives):
            window = self.find_window(loss.at, record.route)
            for group in (window, total):
                group.add(record.request_id, loss)
                if not any(group is other for other in affected):
                    affected.append(group)
        for group in affected:
            group.affected += 1
        if record.routed and not self.objectives.find_first_event(record):
            known = self.without_objective.get(record.route, 0)
            self.without_objective[record.route] = known + 1

    def find_window(self, at: float, route: str) -> LossGroup:
        """Returns the group of a time and route."""
        start = at // self.window_s * self.window_s
        return self.windows.setdefault((start, route), LossGroup())
