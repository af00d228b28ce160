"""Shares the event loop's time between the connections that are read.

The time to read bytes depends on their sender: a chunk of two bytes costs as
much as one of some kilobytes. A connection whose bytes take long waits, so that
the others are served meanwhile.
"""

import asyncio
import collections
from collections.abc import Callable
import time

from rattanroute.http1.parsers import SLICE_BYTES
from rattanroute.http1.parsers import slice_data

# Processor time that a connection may use at once: several times that of a full
# read of sound bytes. A dozen connections may do so in the same moment.
MAX_READ_SECONDS = 0.004
# Part of the event loop's time for all connections that use more than that.
COSTLY_FRACTION = 0.25
# Reading fewer bytes costs little, whatever they are.
UNMEASURED_BYTES = 1_024


class ReadPacer:
    """Connections that wait because their bytes were costly.

    Attributes:
        waiting: Their number.
    """

    def __init__(self) -> None:
        self.waiting = 0

    @property
    def fraction(self) -> float:
        """Part of the event loop's time for one more such connection."""
        return COSTLY_FRACTION / (self.waiting + 1)


# All connections of a process share its event loop.
PROCESS_PACER = ReadPacer()


class PacedReader:
    """Passes the bytes of a connection on in slices, at a bounded cost.

    Args:
        read: Called with each slice; returns what it has not read yet, if
            anything.
        on_wait: Called when no further bytes should be received for now.
        on_resume: Called when they may be received again.

    Attributes:
        unread: Slices that have not been passed on.
        waiting: Whether the connection has to wait.
        held: Whether nothing is passed on for now.
        retained_bytes: Bytes that have not been passed on, with what shares
            their memory.
        credit_s: Processor time in seconds that may be used now.
    """

    def __init__(
        self,
        *,
        read: Callable[[bytes | memoryview], bytes | memoryview | None],
        on_wait: Callable[[], None],
        on_resume: Callable[[], None],
        pacer: ReadPacer = PROCESS_PACER,
    ) -> None:
        self.read = read
        self.on_wait = on_wait
        self.on_resume = on_resume
        self.pacer = pacer
        self.loop = asyncio.get_running_loop()
        self.unread: collections.deque[bytes | memoryview] = collections.deque()
        self.waiting = False
        self.held = False
        self.retained_bytes = 0
        self.credit_s = MAX_READ_SECONDS
        self.credited_at = self.loop.time()
        self.timer: asyncio.TimerHandle | None = None
        self.at_end: Callable[[], None] | None = None

    def feed(self, data: bytes) -> None:
        """Passes bytes on, now or after a wait."""
        if self.waiting or self.held or self.unread:
            self.keep(data)
        elif len(data) <= UNMEASURED_BYTES:
            rest = self.read(data)
            if rest:
                self.keep(rest)
                self.read_unread()
        else:
            self.keep(data)
            self.read_unread()

    def keep(self, data: bytes) -> None:
        """Keeps bytes to pass them on later."""
        self.unread.extend(slice_data(data))
        self.retained_bytes += len(data)

    def hold(self) -> None:
        """Passes nothing on until `release`."""
        self.held = True

    def release(self) -> None:
        """Goes on after `hold`."""
        self.held = False
        if self.unread and not self.waiting:
            self.read_unread()

    def finish(self, at_end: Callable[[], None]) -> None:
        """Calls a function once all bytes have been passed on."""
        if self.unread:
            self.at_end = at_end
        else:
            at_end()

    def read_unread(self) -> None:
        """Passes on slices until there is none or no time is left."""
        self.add_credit()
        started = time.thread_time()
        used = 0.0
        while self.unread and not self.held and used <= self.credit_s:
            data = self.unread.popleft()
            if not self.unread:
                self.retained_bytes = len(data)
            rest = self.read(data)
            if rest:
                self.put_back(rest)
            used = time.thread_time() - started
        self.credit_s -= used
        if not self.unread:
            self.retained_bytes = 0
        if self.credit_s < 0:
            self.wait()
        elif self.at_end is not None:
            at_end, self.at_end = self.at_end, None
            at_end()

    def put_back(self, rest: bytes | memoryview) -> None:
        """Keeps the rest of a slice; the last one without the whole read."""
        if not self.unread and isinstance(rest, memoryview):
            shared = len(rest.obj) > SLICE_BYTES
            rest = memoryview(bytes(rest)) if shared else rest
        self.unread.appendleft(rest)

    def add_credit(self) -> None:
        """Adds the processor time that has become due since the last call."""
        now = self.loop.time()
        earned = (now - self.credited_at) * self.pacer.fraction
        self.credit_s = min(MAX_READ_SECONDS, self.credit_s + earned)
        self.credited_at = now

    def wait(self) -> None:
        """Passes nothing on until the time that was used is paid back."""
        seconds = -self.credit_s / self.pacer.fraction
        self.waiting = True
        self.pacer.waiting += 1
        self.timer = self.loop.call_later(seconds, self.resume)
        self.on_wait()

    def resume(self) -> None:
        """Goes on after a wait."""
        self.end_wait()
        self.read_unread()
        if not self.waiting:
            self.on_resume()

    def end_wait(self) -> None:
        """Ends a wait, if any."""
        if self.waiting:
            self.waiting = False
            self.pacer.waiting -= 1
            self.timer.cancel()

    def close(self) -> None:
        """Drops the bytes that have not been passed on."""
        self.end_wait()
        self.unread.clear()
        self.retained_bytes = 0
        self.at_end = None
