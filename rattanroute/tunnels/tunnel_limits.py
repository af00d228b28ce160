"""Bounds of what the connections of a tunnel server hold."""

import asyncio
import collections
import time

from rattanroute.logs import get_logger

# A read and the bytes that wait to be sent, for each direction of a tunnel. At
# 300 tunnels, both directions of all together hold 20 MB at most. Larger reads
# would not be faster, as the kernel has buffers of its own.
READ_BYTES = 16_384
WRITE_BUFFER_BYTES = 16_384
# A tunnel through which nothing was sent runs no request. It is closed for
# another one after this time.
UNUSED_SECONDS = 1.0
# Longer than the time limit of a stream, so that no request is waiting.
IDLE_SECONDS = 25.0
LOG_INTERVAL_SECONDS = 1.0

log = get_logger(__name__)


class LimitedProtocol(asyncio.BufferedProtocol):
    """A connection that reads little at once and sends little ahead.

    All connections of an event loop read into one buffer, which is free again
    when `buffer_updated` returns.

    Attributes:
        transport: The connection.
    """

    shared_buffer = memoryview(bytearray(READ_BYTES))
    transport: asyncio.Transport | None = None

    def limit(self, transport: asyncio.Transport) -> None:
        """Stores the transport and limits what it sends ahead."""
        self.transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read."""
        del sizehint
        return self.shared_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Passes on a copy of what was read."""
        self.receive(bytes(self.shared_buffer[:nbytes]))

    def receive(self, data: bytes) -> None:
        """Handles received bytes; subclasses override it."""


class RefusalCounter:
    """Counts closed connections by cause; logs at most once a second.

    Attributes:
        counts: Closed connections by cause.
        logged_at: Time of the last log line, on the monotonic clock.
    """

    def __init__(self) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self.logged_at = 0.0

    def note(self, cause: str) -> None:
        """Counts a closed connection."""
        self.counts[cause] += 1
        now = time.monotonic()
        if now - self.logged_at < LOG_INTERVAL_SECONDS:
            return
        self.logged_at = now
        log.warning("tunnel connections closed", **self.counts)
