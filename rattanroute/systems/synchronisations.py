"""Sync of whole member tables in bounded pieces."""

from random import Random

from rattanroute.messages.memberships import MemberRecord
from rattanroute.messages.memberships import SyncPiece
from rattanroute.messages.memberships import SyncRequest
from rattanroute.systems.gossips import build_record
from rattanroute.systems.gossips import estimate_bytes
from rattanroute.systems.gossips import TokenBucket
from rattanroute.tables.members import DIGEST_BUCKETS
from rattanroute.tables.members import MemberTable

SYNC_BYTES_PER_SECOND = 10_000.0
SYNC_PIECE_BYTES = 4_000


class MemberSync:
    """Answers sync requests within a byte budget."""

    def __init__(self, *, table: MemberTable, random: Random) -> None:
        """Initialises with a full budget."""
        self.table = table
        self.random = random
        self.tokens = TokenBucket(
            rate=SYNC_BYTES_PER_SECOND, burst=2 * SYNC_PIECE_BYTES
        )

    def build_request(self) -> SyncRequest:
        """Builds a request for the records that differ."""
        return SyncRequest(digests=tuple(self.table.digests))

    def build_piece(self, request: SyncRequest, now: float) -> SyncPiece | None:
        """Builds one piece of what differs; None when there is no budget."""
        if len(request.digests) != DIGEST_BUCKETS:
            return None
        differing = [
            bucket
            for bucket, digest in enumerate(request.digests)
            if digest != self.table.digests[bucket]
        ]
        if not differing or self.tokens.refill(now) < SYNC_PIECE_BYTES:
            return None
        # Requesters that start at the same time get different buckets and
        # pass them on to each other.
        self.random.shuffle(differing)
        buckets: list[int] = []
        records: list[MemberRecord] = []
        size = 0
        while differing and size < SYNC_PIECE_BYTES:
            bucket = differing.pop()
            found = [build_record(m) for m in self.table.in_bucket(bucket)]
            buckets.append(bucket)
            records += found
            size += sum(map(estimate_bytes, found))
        self.tokens.tokens -= size
        return SyncPiece(
            buckets=tuple(buckets),
            records=tuple(records),
            more=bool(differing),
        )

    def find_newer(self, piece: SyncPiece) -> tuple[MemberRecord, ...]:
        """Returns this VM's records that the sender of a piece lacks."""
        sent = {record.vm_id: record for record in piece.records}
        newer: list[MemberRecord] = []
        for bucket in piece.buckets:
            if 0 <= bucket < DIGEST_BUCKETS:
                newer += [
                    build_record(member)
                    for member in self.table.in_bucket(bucket)
                    if member.vm_id not in sent
                ]
        for vm_id, record in sent.items():
            known = self.table.get(vm_id)
            if known is not None and (record.incarnation, record.state) < (
                known.incarnation,
                known.state,
            ):
                newer.append(build_record(known))
        return tuple(newer)
