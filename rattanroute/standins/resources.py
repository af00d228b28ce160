"""Limited resources of stand-in targets: slots, queue, prefix cache."""

import asyncio
import collections
import contextlib
import dataclasses
import heapq
import itertools
import time

MAX_REPORTED_PREFIXES = 512


class QueueFullError(Exception):
    """The queue of waiting requests is full."""


class SlotQueue:
    """Assigns a fixed number of slots by priority, then by arrival.

    Attributes:
        slots: Number of slots.
        max_queued: Maximum number of waiting requests.
        running: Number of slots in use.
        waiting: Heap of (negative priority, arrival number, future).
    """

    def __init__(self, *, slots: int, max_queued: int) -> None:
        self.slots = slots
        self.max_queued = max_queued
        self.running = 0
        self.waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self.arrivals = itertools.count()

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return sum(not item[2].done() for item in self.waiting)

    @property
    def full(self) -> bool:
        """Whether all slots are taken and the queue is full."""
        return self.running >= self.slots and self.queued >= self.max_queued

    @contextlib.asynccontextmanager
    async def hold_slot(self, priority: int):
        """Waits for a slot and holds it for the block.

        Raises:
            QueueFullError: If all slots are taken and the queue is full.
        """
        await self.acquire(priority)
        try:
            yield
        finally:
            self.release()

    async def acquire(self, priority: int) -> None:
        """Waits for a slot.

        Raises:
            QueueFullError: If all slots are taken and the queue is full.
        """
        if self.running < self.slots:
            self.running += 1
            return
        if self.full:
            raise QueueFullError
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiting, (-priority, next(self.arrivals), future))
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Passes the slot to the next waiting request, or frees it."""
        while self.waiting:
            future = heapq.heappop(self.waiting)[2]
            if not future.done():
                future.set_result(None)
                return
        self.running -= 1


@dataclasses.dataclass(kw_only=True, slots=True)
class PrefixCache:
    """LRU cache of prefix blocks whose reported contents can be inaccurate.

    Attributes:
        blocks: Capacity in blocks.
        event_lag_s: Delay until an event is published, in seconds.
        event_gap: Every n-th event is lost; 0 for none.
        held: Hashes of the cached blocks, least recently used first.
        events: Unpublished events as (time, hash, whether it was added).
        published: Hashes that the published events describe.
        event_count: Number of events so far, lost ones included.
    """

    blocks: int
    event_lag_s: float = 0.0
    event_gap: int = 0
    held: collections.OrderedDict[int, None] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    events: collections.deque[tuple[float, int, bool]] = dataclasses.field(
        default_factory=collections.deque
    )
    published: dict[int, None] = dataclasses.field(default_factory=dict)
    event_count: int = 0

    def match(self, hashes: tuple[int, ...]) -> int:
        """Returns the number of leading blocks that are cached."""
        count = 0
        for value in hashes:
            if value not in self.held:
                break
            self.held.move_to_end(value)
            count += 1
        return count

    def insert(self, hashes: tuple[int, ...]) -> None:
        """Adds blocks and evicts the least recently used ones."""
        for value in hashes:
            if value not in self.held:
                self.add_event(value, True)
            self.held[value] = None
            self.held.move_to_end(value)
        while len(self.held) > self.blocks:
            self.add_event(self.held.popitem(last=False)[0], False)

    def add_event(self, value: int, present: bool) -> None:
        """Queues an event for publication; drops every n-th one."""
        self.event_count += 1
        if self.event_gap and self.event_count % self.event_gap == 0:
            return
        self.events.append((time.monotonic(), value, present))

    def publish(self) -> tuple[int, ...]:
        """Publishes the due events and returns the hashes to report."""
        due = time.monotonic() - self.event_lag_s
        while self.events and self.events[0][0] <= due:
            _, value, present = self.events.popleft()
            if present:
                self.published[value] = None
            else:
                self.published.pop(value, None)
        return tuple(self.published)[-MAX_REPORTED_PREFIXES:]
