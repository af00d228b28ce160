"""Snapshots of a ledger holder's state, transferred in pieces."""

import dataclasses

from rattanroute.systems.ledger_holders import ENCODER
from rattanroute.systems.ledger_holders import LedgerHolder

SNAPSHOT_PIECE_BYTES = 64_000
SNAPSHOT_RETRY_SECONDS = 1.0
SNAPSHOT_TIMEOUT_SECONDS = 60.0


@dataclasses.dataclass(kw_only=True, slots=True)
class Snapshot:
    """A snapshot that this holder serves to another one.

    Attributes:
        snapshot_id: Number of the snapshot.
        pieces: The encoded state in pieces.
        expires_at: Time at which the snapshot is dropped, in seconds.
        reused_until: Time until which a request for a new snapshot gets this
            one, because the reply to the first request may have been lost.
    """

    snapshot_id: int
    pieces: list[bytes]
    expires_at: float
    reused_until: float


@dataclasses.dataclass(kw_only=True, slots=True)
class SnapshotFetch:
    """Progress of fetching a snapshot from another holder.

    Attributes:
        peer: The holder that serves the snapshot.
        ends_at: Time at which the fetch times out, in seconds.
        next_send: Time of the next request or resend.
        snapshot_id: Number of the snapshot; 0 before the first piece.
        pieces: Received pieces, in order.
    """

    peer: str
    ends_at: float
    next_send: float = 0.0
    snapshot_id: int = 0
    pieces: list[bytes] = dataclasses.field(default_factory=list)


def take_snapshot(
    holder: LedgerHolder, snapshot_id: int, now: float
) -> Snapshot:
    """Encodes the complete state of a holder in pieces."""
    data = ENCODER.encode(holder.dump())
    return Snapshot(
        snapshot_id=snapshot_id,
        pieces=[
            data[start : start + SNAPSHOT_PIECE_BYTES]
            for start in range(0, len(data), SNAPSHOT_PIECE_BYTES)
        ],
        expires_at=now + SNAPSHOT_TIMEOUT_SECONDS,
        reused_until=now + 10 * SNAPSHOT_RETRY_SECONDS,
    )
