"""Queues calls until a chain has capacity for them."""

import asyncio
from collections.abc import Callable
import dataclasses

from rattanroute.gateway.calls import Call
from rattanroute.gateway.header_codecs import ChainHop
from rattanroute.systems.wait_queues import BlockedTurns
from rattanroute.systems.wait_queues import RankedWait
from rattanroute.systems.wait_queues import WaitingRequest
from rattanroute.systems.wait_queues import WaitQueue

# Steps of an engine take one to ten milliseconds; loads of other VMs arrive
# four times a second.
POLL_INTERVAL_SECONDS = 0.02

Chain = tuple[ChainHop, ...]


@dataclasses.dataclass(kw_only=True, slots=True)
class PendingChoice:
    """A waiting call's chain selection.

    Attributes:
        choose: Returns a chain with capacity; empty if there is none.
        chosen: Resolves to the chain; to an empty one if the wait expired.
    """

    choose: Callable[[], Chain]
    chosen: asyncio.Future[Chain]


@dataclasses.dataclass(kw_only=True, slots=True)
class ChainQueue:
    """Assigns chains to waiting calls in the order of the wait queue.

    Attributes:
        wait_queue: Order of the waiting calls.
        pending: Chain selection of each waiting call.
        may_pass: Returns whether a waiting request goes before more urgent
            ones at a time.
        poller: Task that looks for capacity while any call waits.
    """

    wait_queue: WaitQueue = dataclasses.field(default_factory=WaitQueue)
    pending: dict[WaitingRequest, PendingChoice] = dataclasses.field(
        default_factory=dict
    )
    may_pass: Callable[[WaitingRequest, float], bool] = lambda request, now: (
        False
    )
    poller: asyncio.Task[None] | None = None

    async def wait(
        self,
        call: Call,
        choose: Callable[[], Chain],
        *,
        max_wait_s: float,
        underway: bool,
    ) -> Chain:
        """Returns a chain as soon as one has capacity; empty if none does.

        Args:
            call: The call.
            choose: Returns a chain with capacity; empty if there is none.
            max_wait_s: Maximum wait in seconds.
            underway: Whether the client already has a part of the answer.
        """
        loop = asyncio.get_running_loop()
        waiting = self.wait_queue.enqueue(
            service=call.service.name,
            priority=call.priority,
            arrived_at=call.exchange.received_at,
            goal_s=call.route.goal_s,
            max_wait_s=max_wait_s,
            underway=underway,
            rank=build_rank(call),
            now=loop.time(),
        )
        if waiting is None:
            return ()
        pending = PendingChoice(choose=choose, chosen=loop.create_future())
        self.pending[waiting] = pending
        if self.poller is None or self.poller.done():
            self.poller = loop.create_task(self.poll_capacity())
        try:
            return await pending.chosen
        finally:
            self.wait_queue.remove(waiting)
            self.pending.pop(waiting, None)

    async def poll_capacity(self) -> None:
        """Looks for capacity until no call waits."""
        loop = asyncio.get_running_loop()
        while self.pending:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            for waiting in self.wait_queue.take_expired(loop.time()):
                self.resolve(waiting, ())
            while self.serve_first(loop.time()):
                # Lets the call count its load before the next one chooses.
                await asyncio.sleep(0)

    def serve_first(self, now: float) -> bool:
        """Assigns a chain to the first call that can get one.

        A call without a chain blocks those behind it of the same service, so
        that small requests do not starve large ones; where priorities differ,
        only those that are not more urgent.

        Returns:
            Whether a call got a chain.
        """
        blocked = BlockedTurns()
        requests = self.wait_queue.sort_by_turn(
            now, lambda request: self.may_pass(request, now)
        )
        for waiting in requests:
            pending = self.pending.get(waiting)
            if pending is None or blocked.covers(waiting):
                continue
            chain = pending.choose()
            if chain:
                self.wait_queue.grant(waiting, now)
                self.resolve(waiting, chain)
                return True
            blocked.add(waiting)
        return False

    def resolve(self, waiting: WaitingRequest, chain: Chain) -> None:
        """Wakes a call with its chain; an empty one if its wait expired."""
        self.wait_queue.remove(waiting)
        pending = self.pending.pop(waiting, None)
        if pending is not None and not pending.chosen.done():
            pending.chosen.set_result(chain)


def build_rank(call: Call) -> RankedWait | None:
    """Returns what counts for the turn of a call where priorities differ."""
    if not call.ranked:
        return None
    return RankedWait(workspace=call.workspace, client_until=call.deadline)
