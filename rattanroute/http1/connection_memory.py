"""Counts the memory of a client connection and frees it on demand."""

from typing import TYPE_CHECKING

from rattanroute.http1.heads import Request
from rattanroute.http1.memory_budgets import Eviction
from rattanroute.http1.memory_budgets import MemoryBudget
from rattanroute.http1.request_parsers import HEADER_BYTES
from rattanroute.http1.socket_options import read_unsent_bytes

if TYPE_CHECKING:
    from rattanroute.http1.server_connections import ServerConnection

# A connection without a request: transport, parser, reader and socket.
CONNECTION_BYTES = 4_096
# A request that is being handled, without its bytes: task, call and attempts.
EXCHANGE_BYTES = 8_192
# A handled request exists as received and as sent to a target.
REQUEST_COPIES = 2
# Memory of a write that waits in the transport, without its bytes. Measured
# with uvloop 0.23: 0.8 KB for each step of the event loop with a write.
WRITE_BYTES = 800
# Time in seconds after which a client that takes nothing of a response may
# lose it.
STALL_SECONDS = 3.0


def measure_handled(request: Request) -> int:
    """Returns the memory of a request that is handled, in bytes."""
    head = request.head
    size = head.size + HEADER_BYTES * len(head.headers) + len(request.body)
    return EXCHANGE_BYTES + REQUEST_COPIES * size


class ConnectionMemory:
    """The memory of one connection.

    Args:
        connection: The connection.
        budget: Budget of the process.

    Attributes:
        held_bytes: Bytes that the budget has counted.
        exchange_bytes: Memory of the request that is being answered.
        writes: Writes since the transport had no unsent bytes.
        written: Bytes of all writes.
        taken: Those of them that had been sent at the latest check.
        unsent: Unsent bytes at the latest check.
        socket_bytes: Those of them that the kernel holds; 0 if they were not
            counted.
        progress_at: Time at which the client last took some, or they began to
            wait.
        aborted: Whether the connection was closed to free its memory.
    """

    def __init__(
        self, *, connection: "ServerConnection", budget: MemoryBudget
    ) -> None:
        self.connection = connection
        self.budget = budget
        self.held_bytes = 0
        self.exchange_bytes = 0
        self.writes = 0
        self.written = 0
        self.taken = 0
        self.unsent = 0
        self.socket_bytes = 0
        self.progress_at = connection.loop.time()
        self.aborted = False

    def start(self) -> None:
        """Registers the connection, which is open."""
        self.budget.users.add(self)
        self.update()

    def update(self) -> None:
        """Counts what the connection holds now; may evict it or others."""
        size = self.measure()
        if size != self.held_bytes:
            self.budget.resize(self, size)

    def end(self) -> None:
        """Forgets the connection, which has closed."""
        self.aborted = True
        self.budget.remove(self)

    def measure(self) -> int:
        """Returns the memory of the connection, in bytes."""
        if self.aborted:
            return 0
        held = CONNECTION_BYTES + self.exchange_bytes + self.socket_bytes
        if self.writes:
            held += self.measure_unsent()
        return held + self.measure_unhandled()

    def measure_unhandled(self) -> int:
        """Returns the memory of what no handler has received, in bytes.

        A complete request counts as if it were handled already, since it is
        the last moment at which it can be refused.
        """
        parser = self.connection.parser
        held = self.connection.reader.retained_bytes
        if parser.is_reading:
            held += parser.measure_incomplete()
        for request in parser.requests:
            held += measure_handled(request)
        return held

    def measure_unsent(self) -> int:
        """Returns the memory of unsent responses, in bytes."""
        size = self.connection.transport.get_write_buffer_size()
        if not size:
            self.writes = 0
        return size + WRITE_BYTES * self.writes

    def begin_exchange(self, request: Request) -> None:
        """Counts the request of an exchange that begins."""
        self.exchange_bytes = measure_handled(request)

    def note_write(self, size: int) -> None:
        """Counts a write of some bytes that follows."""
        self.written += size
        transport = self.connection.transport
        if self.writes and not transport.get_write_buffer_size():
            self.writes = 0
        self.writes += 1

    def count_socket(self) -> None:
        """Counts the bytes that the kernel holds for the client."""
        self.socket_bytes = read_unsent_bytes(self.connection.transport)
        self.update()

    def measure_untaken(self) -> int:
        """Returns the unsent bytes, with those that were counted last."""
        buffered = self.connection.transport.get_write_buffer_size()
        return buffered + self.socket_bytes

    def check_progress(self, now: float) -> None:
        """Notes whether the client takes unsent bytes."""
        unsent = self.measure_untaken()
        taken = self.written - unsent
        if taken > self.taken or not self.unsent:
            self.progress_at = now
        self.taken = taken
        self.unsent = unsent

    @property
    def is_stalled(self) -> bool:
        """Whether the client has stopped taking a response."""
        unsent = self.measure_untaken()
        if not unsent or not self.unsent:
            return False
        if self.written - unsent > self.taken:
            return False
        waited_s = self.connection.loop.time() - self.progress_at
        return waited_s > STALL_SECONDS

    # Calls of the budget.

    def removable_bytes(self) -> int:
        """Returns the bytes that `evict` would free."""
        if self.is_stalled:
            return self.held_bytes - CONNECTION_BYTES
        return self.measure_unhandled()

    def stalled_s(self) -> float:
        """Returns the seconds since the request or the stall began."""
        since = self.connection.reading_since
        if self.is_stalled:
            since = self.progress_at
        if since is None:
            return 0.0
        return self.connection.loop.time() - since

    def evict(self) -> Eviction:
        """Refuses what was not handled; aborts if the client is stalled."""
        connection = self.connection
        if self.is_stalled:
            self.aborted = True
            connection.break_off()
            self.update()
            return Eviction.RESPONSE
        following = connection.exchange is not None or bool(self.unsent)
        connection.refuse_unhandled()
        self.update()
        return Eviction.FOLLOWING if following else Eviction.REQUEST
