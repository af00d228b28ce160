"""Connections of clients and what each of them makes the process hold."""

from collections.abc import Callable
import dataclasses

# Requests that an ordinary client may send before an answer; the size of one
# head.
MAX_PIPELINED_BYTES = 16_384


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class ClientConnectionRow:
    """One connection to a listener.

    Attributes:
        listener: Name of the listener.
        refuse: Refuses the request that is being received, or closes the
            connection; called with the cause.
        opened_at: When it was opened, in seconds of the monotonic clock.
        used_at: When it last sent something, on the same clock.
        answered: Number of requests answered so far.
        waiting: Whether a complete request has no complete answer yet.
        receiving: Whether the body of a request is being received.
        trusted: Whether it belongs to an authenticated peer or operator.
        unparsed_bytes: Received bytes that are not yet part of a request.
        body_bytes: Memory of the request's body, encoded and decoded.
        unsent_bytes: Bytes of answers that the client has not read.
        refused: Cause for which it was refused; empty if it was not.
    """

    listener: str
    refuse: Callable[[str], None]
    opened_at: float
    used_at: float
    answered: int = 0
    waiting: bool = False
    receiving: bool = False
    trusted: bool = False
    unparsed_bytes: int = 0
    body_bytes: int = 0
    unsent_bytes: int = 0
    refused: str = ""

    @property
    def cost_bytes(self) -> int:
        """Memory that the connection makes the process hold."""
        return self.unparsed_bytes + self.body_bytes + self.unsent_bytes

    @property
    def refusable(self) -> bool:
        """Whether it may be refused when resources are scarce.

        A client that waits for its answer, reads what is sent and has not sent
        many more requests is kept.
        """
        if self.refused or self.trusted:
            return False
        if self.unsent_bytes or self.unparsed_bytes > MAX_PIPELINED_BYTES:
            return True
        return not self.waiting


@dataclasses.dataclass(kw_only=True, slots=True)
class ClientConnectionTable:
    """All connections of clients.

    Attributes:
        rows: Open connections, in the order in which they were opened.
        held_bytes: Sum of their costs.
    """

    rows: dict[ClientConnectionRow, None] = dataclasses.field(
        default_factory=dict
    )
    held_bytes: int = 0

    def add(self, row: ClientConnectionRow) -> None:
        """Adds a connection."""
        self.rows[row] = None
        self.held_bytes += row.cost_bytes

    def remove(self, row: ClientConnectionRow) -> None:
        """Removes a connection; one that was removed before is ignored."""
        if row in self.rows:
            del self.rows[row]
            self.held_bytes -= row.cost_bytes

    def set_part(self, row: ClientConnectionRow, part: str, size: int) -> None:
        """Sets one of the parts of a connection's cost."""
        change = size - getattr(row, part)
        setattr(row, part, size)
        if row in self.rows:
            self.held_bytes += change

    def count_listeners(self) -> dict[str, int]:
        """Returns the number of connections by listener."""
        counts: dict[str, int] = {}
        for row in self.rows:
            counts[row.listener] = counts.get(row.listener, 0) + 1
        return counts
