"""Bounds the descriptors that client connections of a process take."""

from collections.abc import Callable
import enum
import heapq
import resource
from typing import Protocol

from rattanroute.logs import get_logger

# Descriptors for targets, peers, voters, files and listeners.
RESERVED_FDS = 200
# Of the rest, one in so many may be taken by connections that the kernel has
# accepted at a listener: the event loop accepts all of them in one step.
BACKLOG_DIVISOR = 8
MAX_BACKLOG = 1_024
# Listeners of a program for clients.
LISTENERS = 3
MIN_CONNECTIONS = 16
# Fraction of the limit that is closed in one step, as finding idle
# connections takes time proportional to their number.
CLOSED_FRACTION = 1 / 32
LOG_INTERVAL_SECONDS = 1.0

log = get_logger(__name__)


class CloseCause(enum.StrEnum):
    """State of a connection that was closed for a new one."""

    IDLE = "idle"
    ANSWERED = "closing after its last response"
    PIPELINED = "requests sent ahead that wait"
    READING = "request not read to its end"
    NEW = "new, as all others wait for answers"


# Connections in the first state close first.
CLOSE_ORDER = (
    CloseCause.IDLE,
    CloseCause.ANSWERED,
    CloseCause.PIPELINED,
    CloseCause.READING,
)


class LimitedConnection(Protocol):
    """A client connection, as the limit sees it.

    Attributes:
        active_at: Time of its latest bytes or response.
    """

    active_at: float

    def close_cause(self) -> CloseCause | None:
        """Returns its state; None if it must not close for a new one."""
        ...

    def close_for_another(self, cause: CloseCause) -> None:
        """Closes the connection at once, if possible with a refusal."""
        ...


def read_max_fds() -> int:
    """Returns the descriptors that the system allows the process."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def derive_max_connections(max_fds: int) -> int:
    """Returns the limit of client connections.

    Each listener accepts up to a backlog before the limit is applied.
    """
    free = max_fds - RESERVED_FDS - LISTENERS * derive_backlog(max_fds)
    return max(MIN_CONNECTIONS, free)


def derive_backlog(max_fds: int) -> int:
    """Returns the connections that may wait at a listener."""
    free = (max_fds - RESERVED_FDS) // BACKLOG_DIVISOR
    return min(MAX_BACKLOG, max(MIN_CONNECTIONS, free))


class ConnectionLimit:
    """Limit of the client connections of a process, on all listeners.

    Args:
        clock: Returns the present time in seconds.
        max_connections: The limit; 0 for none.
        backlog: Connections that may wait at each listener.

    Attributes:
        connections: Open connections.
        closed: Number of connections closed for others, by their state.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        max_connections: int = 0,
        backlog: int = MAX_BACKLOG,
    ) -> None:
        self.clock = clock
        self.max_connections = max_connections
        self.backlog = backlog
        self.connections: set[LimitedConnection] = set()
        self.closed = dict.fromkeys(CloseCause, 0)
        self.logged_at = -LOG_INTERVAL_SECONDS

    def add(self, connection: LimitedConnection) -> None:
        """Adds a connection; closes others, or itself, above the limit."""
        self.connections.add(connection)
        limit = self.max_connections
        if not limit or len(self.connections) <= limit:
            return
        count = len(self.connections) - limit
        if not self.close_some(connection, count):
            self.close_one(connection, CloseCause.NEW)

    def discard(self, connection: LimitedConnection) -> None:
        """Forgets a connection that closes."""
        self.connections.discard(connection)

    def close_some(self, added: LimitedConnection, count: int) -> bool:
        """Closes connections in the first state in which there are any.

        Args:
            added: The connection that was added last.
            count: Number of connections that must close.

        Returns:
            Whether there were enough.
        """
        found: dict[CloseCause, list[LimitedConnection]] = {}
        for connection in self.connections:
            cause = connection.close_cause()
            if cause is not None and connection is not added:
                found.setdefault(cause, []).append(connection)
        batch = max(count, round(self.max_connections * CLOSED_FRACTION))
        for cause in CLOSE_ORDER:
            # Working clients lose only as many connections as needed.
            size = batch if cause is not CloseCause.READING else count
            oldest = heapq.nsmallest(
                size, found.get(cause, ()), key=lambda x: x.active_at
            )
            for connection in oldest:
                self.close_one(connection, cause)
            count -= len(oldest)
            if count <= 0:
                return True
        return False

    def close_one(
        self, connection: LimitedConnection, cause: CloseCause
    ) -> None:
        """Closes a connection, counts it and logs at most once a second."""
        self.connections.discard(connection)
        connection.close_for_another(cause)
        self.closed[cause] += 1
        now = self.clock()
        if now - self.logged_at < LOG_INTERVAL_SECONDS:
            return
        log.warning(
            "limit of client connections reached",
            cause=cause,
            limit=self.max_connections,
            closed=sum(self.closed.values()),
        )
        self.logged_at = now
