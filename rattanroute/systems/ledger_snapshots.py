"""Transfer of a ledger holder's whole state in pieces."""

import dataclasses

from rattanroute.systems.ledger_holders import ENCODER
from rattanroute.systems.ledger_holders import LedgerHolder

SNAPSHOT_PIECE_BYTES = 64_000
SNAPSHOT_RETRY_SECONDS = 1.0
SNAPSHOT_TIMEOUT_SECONDS = 60.0


@dataclasses.dataclass(kw_only=True, slots=True)
class Snapshot:
    """A snapshot that another holder fetches.

    Attributes:
        snapshot_id: Number of the snapshot.
        pieces: The encoded state in pieces.
        expires_at: Time at which it is dropped.
        reused_until: Time until which a new request continues it, because
            the answer to the first request may have been lost.
    """

    snapshot_id: int
    pieces: list[bytes]
    expires_at: float
    reused_until: float


@dataclasses.dataclass(kw_only=True, slots=True)
class SnapshotFetch:
    """A snapshot that this holder fetches.

    Attributes:
        peer: The holder that sends it.
        ends_at: Time at which the attempt is given up.
        next_send: Time of the next request.
        snapshot_id: Number of the snapshot; 0 before the first piece.
        pieces: Pieces received.
    """

    peer: str
    ends_at: float
    next_send: float = 0.0
    snapshot_id: int = 0
    pieces: list[bytes] = dataclasses.field(default_factory=list)


def take_snapshot(
    holder: LedgerHolder, snapshot_id: int, now: float
) -> Snapshot:
    """Encodes the whole state of a holder in pieces."""
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
