"""Requests that wait, were refused or got capacity, by service and rank."""

import collections
from collections.abc import Iterator
import contextlib
import dataclasses

from rattanroute.messages.loads import ServiceQueue

# Age up to which refusals and grants are counted.
COUNT_SECONDS = 1.0
# Counts of the other VMs that are older than this count as none, so that a VM
# that receives none decides by its own queue. They arrive each 0.25 s.
EXPIRY_SECONDS = 1.0

QueueKey = tuple[str, int]


@dataclasses.dataclass(kw_only=True, slots=True)
class QueueCounts:
    """Counts of the requests of one rank.

    Attributes:
        waiting: Requests that wait now.
        refused: Refusals for lack of capacity in the last second, including
            those by engines.
        granted: Requests that got capacity in the last second.
    """

    waiting: int = 0
    refused: int = 0
    granted: int = 0

    @property
    def unserved(self) -> int:
        """Requests for which there is no capacity."""
        return self.waiting + self.refused

    def add(self, queue: ServiceQueue) -> None:
        """Adds the counts of a message; negative ones count as 0."""
        self.waiting += max(0, queue.waiting)
        self.refused += max(0, queue.refused)
        self.granted += max(0, queue.granted)


@dataclasses.dataclass(kw_only=True, slots=True)
class QueueRow:
    """Requests of one service and rank at this VM.

    Attributes:
        waiting: Requests that wait now.
        refused_at: Times of recent refusals, oldest first, in seconds.
        granted_at: Times of recent grants, oldest first, in seconds.
    """

    waiting: int = 0
    refused_at: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    granted_at: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )

    def count(self, now: float) -> QueueCounts:
        """Returns the counts; drops outcomes that are too old."""
        for times in (self.refused_at, self.granted_at):
            while times and now - times[0] > COUNT_SECONDS:
                times.popleft()
        return QueueCounts(
            waiting=self.waiting,
            refused=len(self.refused_at),
            granted=len(self.granted_at),
        )


@dataclasses.dataclass(kw_only=True, slots=True)
class ServiceQueueTable:
    """Queues of the services whose requests have different ranks.

    Attributes:
        rows: Requests of this VM by service and rank.
        others: Counts of the other VMs, as last reported.
        others_at: Time of that report, in seconds.
    """

    rows: dict[QueueKey, QueueRow] = dataclasses.field(default_factory=dict)
    others: tuple[ServiceQueue, ...] = ()
    others_at: float = float("-inf")

    def get(self, service: str, priority: int) -> QueueRow:
        """Returns the row of a service and rank; adds one if there is none."""
        row = self.rows.get((service, priority))
        if row is None:
            row = self.rows[service, priority] = QueueRow()
        return row

    @contextlib.contextmanager
    def note_waiting(self, service: str, priority: int) -> Iterator[None]:
        """Counts a request as waiting while the context is entered."""
        # A row with a waiting request is never dropped.
        row = self.get(service, priority)
        row.waiting += 1
        try:
            yield
        finally:
            row.waiting -= 1

    def note_refused(self, service: str, priority: int, now: float) -> None:
        """Counts a request that got no capacity."""
        self.get(service, priority).refused_at.append(now)

    def note_granted(self, service: str, priority: int, now: float) -> None:
        """Counts a request that got capacity."""
        self.get(service, priority).granted_at.append(now)

    def retract_grant(
        self, service: str, priority: int, granted_at: float
    ) -> None:
        """Takes back a grant, unless it is too old to be counted."""
        times = self.get(service, priority).granted_at
        if granted_at in times:
            times.remove(granted_at)

    def count_own(self, now: float) -> tuple[ServiceQueue, ...]:
        """Returns the queues of this VM; drops rows without requests."""
        queues = []
        for key, row in list(self.rows.items()):
            counts = row.count(now)
            if counts == QueueCounts():
                del self.rows[key]
                continue
            queues.append(
                ServiceQueue(
                    service=key[0],
                    priority=key[1],
                    waiting=counts.waiting,
                    refused=counts.refused,
                    granted=counts.granted,
                )
            )
        return tuple(queues)

    def take_others(self, queues: tuple[ServiceQueue, ...], now: float) -> None:
        """Replaces the counts of the other VMs."""
        self.others = queues
        self.others_at = now

    def sum_ranks(self, service: str, now: float) -> dict[int, QueueCounts]:
        """Returns the counts of all VMs by rank."""
        sums: dict[int, QueueCounts] = {}
        for (name, priority), row in self.rows.items():
            if name == service:
                sums[priority] = row.count(now)
        if now - self.others_at > EXPIRY_SECONDS:
            return sums
        for queue in self.others:
            if queue.service == service:
                sums.setdefault(queue.priority, QueueCounts()).add(queue)
        return sums

    def list_services(self) -> set[str]:
        """Returns the services with counts of any VM, also old ones."""
        own = {name for name, _ in self.rows}
        return own | {queue.service for queue in self.others}
