"""Messages of the ledgers subsystem; kinds 120 to 139."""

import dataclasses

Ranges = tuple[tuple[int, int], ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UsageBatch:
    """Reports and statements of one stream.

    Attributes:
        stream: VM that issued the items and its start time,
            `<vm_id>/<milliseconds>`.
        sequences: Sequence number of each item in the stream.
        items: The encoded items, compressed.
    """

    stream: str
    sequences: tuple[int, ...]
    items: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UsageAck:
    """Confirms that the sender has made items durable."""

    stream: str
    sequences: tuple[int, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LedgerVector:
    """Sequence numbers that a holder has, for comparison by another holder.

    Attributes:
        ranges: First and last number of each stored range, by stream.
        answer: Whether the receiver may answer with its own vector.
        purged: Whether the sender dropped the content of items that the
            receiver lacks; the receiver must then install a snapshot.
    """

    ranges: dict[str, Ranges]
    answer: bool
    purged: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SnapshotRequest:
    """Requests a piece of a holder's full state.

    Attributes:
        snapshot_id: Snapshot to continue; 0 for a new one.
        piece: Number of the piece, from 0.
    """

    snapshot_id: int
    piece: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SnapshotPiece:
    """A piece of a holder's full state.

    Attributes:
        snapshot_id: The snapshot.
        piece: Number of the piece.
        pieces: Number of pieces.
        data: Part of the encoded state.
    """

    snapshot_id: int
    piece: int
    pieces: int
    data: bytes


KINDS: dict[int, type] = {
    120: UsageBatch,
    121: UsageAck,
    122: LedgerVector,
    123: SnapshotRequest,
    124: SnapshotPiece,
}
