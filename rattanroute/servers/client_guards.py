"""Applies the budget of clients to the connections of all listeners."""

import asyncio
from collections.abc import Callable
import time

from rattanroute.allocators import release_free_memory
from rattanroute.http1.connection_limits import read_max_fds
from rattanroute.logs import get_logger
from rattanroute.metrics import MetricsRegistry
from rattanroute.settings import BYTES_PER_MB
from rattanroute.settings import LimitsSettings
from rattanroute.systems.client_budgets import ClientBudget
from rattanroute.systems.client_budgets import CONNECTIONS_CAUSE
from rattanroute.systems.client_budgets import derive_max_connections
from rattanroute.systems.client_budgets import estimate_body_bytes
from rattanroute.systems.client_budgets import MEMORY_CAUSE
from rattanroute.tables.client_connections import ClientConnectionRow
from rattanroute.tables.client_connections import ClientConnectionTable

LOG_INTERVAL_SECONDS = 1.0
# The allocator keeps freed memory; returning less than this is not worth it.
TRIM_BYTES = 16 * BYTES_PER_MB
# The kernel completes this many connections before they are counted, so that
# the backlog of a listener is a part of the reserve of descriptors.
MAX_BACKLOG = 1024
MIN_BACKLOG = 32
BACKLOG_SHARE = 8

log = get_logger(__name__)


def choose_backlog() -> int:
    """Returns the backlog of a listener."""
    share = read_max_fds() // BACKLOG_SHARE
    return max(MIN_BACKLOG, min(MAX_BACKLOG, share))


class ClientGuard:
    """Registers the connections of clients and refuses those over the budget.

    Args:
        limits: The settings of the budget.
        metrics: Metrics of the daemon; None without.

    Attributes:
        table: The connections.
        budget: Decides which of them are refused.
        closed: Number of refused connections since the last log line.
        logged_at: Time of the last log line, on the monotonic clock.
        peak_bytes: Highest sum of costs since freed memory was returned.
    """

    def __init__(
        self,
        *,
        limits: LimitsSettings,
        metrics: MetricsRegistry | None = None,
    ) -> None:
        self.metrics = metrics
        self.table = ClientConnectionTable()
        self.budget = ClientBudget(
            table=self.table,
            max_bytes=limits.client_memory_bytes,
            max_connections=limits.max_client_connections
            or derive_max_connections(read_max_fds()),
        )
        self.closed = 0
        self.logged_at = 0.0
        self.peak_bytes = 0

    def open(
        self, listener: str, refuse: Callable[[str], None]
    ) -> ClientConnectionRow:
        """Registers a new connection; closes others if there are too many.

        Args:
            listener: Name of the listener.
            refuse: Refuses the connection; called with the cause.
        """
        now = time.monotonic()
        row = ClientConnectionRow(
            listener=listener, refuse=refuse, opened_at=now, used_at=now
        )
        self.table.add(row)
        while found := self.budget.choose_for_connections(now):
            self.refuse(found, CONNECTIONS_CAUSE)
            self.table.remove(found)
        return row

    def remove(self, row: ClientConnectionRow) -> None:
        """Removes a connection that has closed."""
        self.table.remove(row)

    def set_part(self, row: ClientConnectionRow, part: str, size: int) -> None:
        """Sets a part of a connection's cost; refuses what exceeds the budget.

        Args:
            row: The connection.
            part: Name of the part.
            size: Its bytes.
        """
        previous = getattr(row, part)
        if size == previous:
            return
        table = self.table
        table.set_part(row, part, size)
        if size < previous:
            return
        self.peak_bytes = max(self.peak_bytes, table.held_bytes)
        # Spares each read a call while there is no pressure.
        if table.held_bytes <= self.budget.max_bytes:
            return
        while found := self.budget.choose_for_memory():
            self.refuse(found, MEMORY_CAUSE)

    def hold_body(
        self, row: ClientConnectionRow, body: bytes | bytearray
    ) -> None:
        """Charges the memory of a complete body until its answer is sent."""
        size = self.budget.limit_charge(estimate_body_bytes(body))
        self.set_part(row, "body_bytes", size)

    def refuse(self, row: ClientConnectionRow, cause: str) -> None:
        """Refuses a connection; what it held is no longer counted."""
        row.refused = cause
        for part in ("unparsed_bytes", "body_bytes", "unsent_bytes"):
            self.table.set_part(row, part, 0)
        self.count(row.listener, cause)
        row.refuse(cause)

    def count(self, listener: str, cause: str) -> None:
        """Counts a refused connection and logs at most once a second."""
        self.closed += 1
        if self.metrics is not None:
            labels = {"listener": listener, "cause": cause}
            self.metrics.refused_connections.inc(labels)
        now = time.monotonic()
        if now - self.logged_at < LOG_INTERVAL_SECONDS:
            return
        self.logged_at = now
        log.warning(
            "client connections refused",
            listener=listener,
            cause=cause,
            count=self.closed,
            open=len(self.table.rows),
            held_bytes=self.table.held_bytes,
        )
        self.closed = 0

    def run_housekeeping(self) -> None:
        """Updates the gauges and returns freed memory to the system."""
        if self.metrics is not None:
            self.metrics.client_connections.set({}, len(self.table.rows))
            self.metrics.client_memory.set({}, self.table.held_bytes)
        if self.peak_bytes - self.table.held_bytes > TRIM_BYTES:
            self.peak_bytes = self.table.held_bytes
            loop = asyncio.get_running_loop()
            loop.run_in_executor(None, release_free_memory)
