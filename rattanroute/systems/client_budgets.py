"""Decides which connections of clients are refused when resources are scarce.

One budget covers all listeners of a process, so that a crowd at one of them
cannot take the memory or the descriptors of the others.
"""

import dataclasses

from rattanroute.tables.client_connections import ClientConnectionRow
from rattanroute.tables.client_connections import ClientConnectionTable

# Kept for targets, peers, voters and files.
RESERVED_DESCRIPTORS = 200
# A process with fewer descriptors than the reserve still serves a few clients.
MIN_CONNECTIONS = 16
# A decoded JSON value takes about this much for each element, and a list or an
# object without elements as much again.
ELEMENT_BYTES = 64
# The body is held once as received and once as decoded text.
BODY_COPIES = 2
# Longest time between two parts of a body that makes progress.
PROGRESS_SECONDS = 1.0
MEMORY_CAUSE = "memory"
CONNECTIONS_CAUSE = "connections"


def derive_max_connections(descriptors: int) -> int:
    """Returns the bound on connections that leaves the reserve free."""
    return max(MIN_CONNECTIONS, descriptors - RESERVED_DESCRIPTORS)


def estimate_body_bytes(body: bytes | bytearray) -> int:
    """Returns the memory that a JSON body takes after it is decoded."""
    elements = body.count(b",") + body.count(b"[") + body.count(b"{")
    return BODY_COPIES * len(body) + ELEMENT_BYTES * elements


@dataclasses.dataclass(kw_only=True, slots=True)
class ClientBudget:
    """Bounds of what clients may make a process hold.

    Attributes:
        table: The connections.
        max_bytes: Bound on the memory.
        max_connections: Bound on the number of connections.
    """

    table: ClientConnectionTable
    max_bytes: int
    max_connections: int

    def choose_for_memory(self) -> ClientConnectionRow | None:
        """Returns the connection to refuse; None if none must or can be.

        It is the one that costs the most, and of equal ones the one that has
        progressed the least.
        """
        if self.table.held_bytes <= self.max_bytes:
            return None
        candidates = [
            row for row in self.table.rows if row.refusable and row.cost_bytes
        ]
        return max(
            candidates,
            key=lambda row: (row.cost_bytes, -row.answered, row.opened_at),
            default=None,
        )

    def choose_for_connections(self, now: float) -> ClientConnectionRow | None:
        """Returns the connection to close; None if none must or can be.

        It belongs to the listener with the most connections: clients do not
        displace the targets that report to another listener. Of these, the one
        that has been idle for the longest time is closed; a body that makes
        progress is not idle.

        Args:
            now: Present time on the monotonic clock.
        """
        if len(self.table.rows) <= self.max_connections:
            return None
        counts = self.table.count_listeners()
        candidates = [row for row in self.table.rows if row.refusable]
        return max(
            candidates,
            key=lambda row: (
                counts[row.listener],
                not row.receiving or now - row.used_at > PROGRESS_SECONDS,
                -row.used_at,
            ),
            default=None,
        )

    def limit_charge(self, size: int) -> int:
        """Returns the cost that is charged for a decoded body.

        A single request within the limits is served when nothing else is held,
        also if its estimated cost exceeds the budget.
        """
        return min(size, self.max_bytes // 2)
