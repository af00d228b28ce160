"""Shares the event loop's time between pipelined and other requests.

A client may send many requests ahead, each of which costs little. Connections
with such requests take turns, a few in each step of the event loop and for a
part of its time, so that requests of other clients are read meanwhile.
"""

import asyncio
from collections.abc import Callable
import time
from typing import Protocol

# Requests that start in one step of the event loop.
MAX_STARTS = 8
# Part of the event loop's time for pipelined requests while they wait.
PIPELINED_FRACTION = 0.25
# Processor time that may be used at once after a time with fewer of them.
MAX_CREDIT_SECONDS = 0.02


class PipelinedConnection(Protocol):
    """A connection whose next request arrived before the last response."""

    def start_pipelined(self) -> None:
        """Starts the next request."""
        ...


class PipelinePacer:
    """Lets connections with pipelined requests take turns.

    The time that counts is that to parse the requests and to run their handlers
    up to the first wait.

    Args:
        clock: Returns the present time in seconds.

    Attributes:
        waiting: Connections that wait, in the order of their turns.
        scheduled: Whether the next start is scheduled.
        credit_s: Processor time in seconds that may be used now.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.waiting: dict[PipelinedConnection, None] = {}
        self.scheduled = False
        self.credit_s = MAX_CREDIT_SECONDS
        self.credited_at = clock()
        self.started_at = 0.0

    def add(self, connection: PipelinedConnection) -> None:
        """Starts the next request of a connection once it is its turn."""
        self.waiting[connection] = None
        if not self.scheduled:
            self.scheduled = True
            asyncio.get_running_loop().call_soon(self.start_some)

    def discard(self, connection: PipelinedConnection) -> None:
        """Forgets a connection that closes."""
        self.waiting.pop(connection, None)

    def start_some(self) -> None:
        """Starts the next requests, each of another connection.

        Their handlers run between the two functions that are scheduled. An
        error of one connection must not end the turns of the others.
        """
        loop = asyncio.get_running_loop()
        started_at = time.thread_time()
        loop.call_soon(self.begin_handlers)
        try:
            for _ in range(min(MAX_STARTS, len(self.waiting))):
                connection = next(iter(self.waiting))
                del self.waiting[connection]
                connection.start_pipelined()
        finally:
            loop.call_soon(self.end_handlers)
            self.credit_s -= time.thread_time() - started_at

    def begin_handlers(self) -> None:
        """Notes the time before the handlers run."""
        self.started_at = time.thread_time()

    def end_handlers(self) -> None:
        """Counts the time that was used and schedules the next requests."""
        self.credit_s -= time.thread_time() - self.started_at
        self.add_credit()
        loop = asyncio.get_running_loop()
        if not self.waiting:
            self.scheduled = False
        elif self.credit_s > 0:
            loop.call_soon(self.start_some)
        else:
            pause_s = -self.credit_s / PIPELINED_FRACTION
            loop.call_later(pause_s, self.start_some)

    def add_credit(self) -> None:
        """Adds the processor time that has become due since the last call."""
        now = self.clock()
        earned = (now - self.credited_at) * PIPELINED_FRACTION
        self.credit_s = min(MAX_CREDIT_SECONDS, self.credit_s + earned)
        self.credited_at = now
