"""Synchronisation of member tables in bounded pieces."""

from random import Random

from rattanroute.messages.memberships import MemberRecord
from rattanroute.messages.memberships import SyncPiece
from rattanroute.messages.memberships import SyncRequest
from rattanroute.systems.gossip_queues import build_record
from rattanroute.systems.gossip_queues import estimate_bytes
from rattanroute.systems.gossip_queues import TokenBucket
from rattanroute.tables.members import DIGEST_BUCKETS
from rattanroute.tables.members import Member
from rattanroute.tables.members import MemberState
from rattanroute.tables.members import MemberTable

SYNC_BYTES_PER_SECOND = 10_000.0
SYNC_PIECE_BYTES = 4_000
# A request has about 600 bytes. A new member receives messages from many
# members at once and must not send a request to each of them.
SYNC_REQUESTS_PER_SECOND = 6.0
# Maximum failed members per reply. After a partition most members of the other
# side are considered failed, and sending these records would waste bytes.
MAX_FAILED_SENT = 8
# Maximum voters whose records a new member gets at once, outside the budget;
# about 500 bytes. When all members start at once the budget lasts for two of
# them, and a new member can do nothing before it knows a voter.
MAX_INTRODUCED = 8


class MemberSynchroniser:
    """Builds sync requests and answers, within a budget for each."""

    def __init__(self, *, table: MemberTable, random: Random) -> None:
        """Initialises with full budgets."""
        self.table = table
        self.random = random
        self.tokens = TokenBucket(
            rate=SYNC_BYTES_PER_SECOND, burst=2 * SYNC_PIECE_BYTES
        )
        self.requests = TokenBucket(
            rate=SYNC_REQUESTS_PER_SECOND, burst=SYNC_REQUESTS_PER_SECOND
        )

    def build_request(
        self, own_record: Member, now: float
    ) -> SyncRequest | None:
        """Builds a request for differing records; None if out of budget."""
        if not self.requests.take(amount=1, now=now):
            return None
        return SyncRequest(
            digests=tuple(self.table.digests), record=build_record(own_record)
        )

    def build_piece(self, request: SyncRequest, now: float) -> SyncPiece | None:
        """Builds one piece of the answer; None if empty or out of budget."""
        if len(request.digests) != DIGEST_BUCKETS:
            return None
        differing = [
            bucket
            for bucket, digest in enumerate(request.digests)
            if digest != self.table.digests[bucket]
        ]
        if not differing or self.tokens.refill(now) < SYNC_PIECE_BYTES:
            return None
        # Requesters that start at the same time receive different buckets,
        # which they exchange with each other.
        self.random.shuffle(differing)
        buckets: list[int] = []
        records: list[MemberRecord] = []
        size = 0
        while differing and size < SYNC_PIECE_BYTES:
            bucket = differing.pop()
            found = [
                build_record(m) for m in self.table.members_in_bucket(bucket)
            ]
            buckets.append(bucket)
            records += found
            size += sum(map(estimate_bytes, found))
        self.tokens.tokens -= size
        return SyncPiece(
            buckets=tuple(buckets),
            records=tuple(records),
            more=bool(differing),
        )

    def list_voters(self) -> tuple[MemberRecord, ...]:
        """Returns the records that a new member needs first."""
        voters = [build_record(x) for x in self.table.present() if x.voter]
        return tuple(voters[:MAX_INTRODUCED])

    def find_newer(self, piece: SyncPiece) -> tuple[MemberRecord, ...]:
        """Returns records that the sender of a piece lacks or has outdated."""
        sent = {record.vm_id: record for record in piece.records}
        newer: list[MemberRecord] = []
        for bucket in piece.buckets:
            if 0 <= bucket < DIGEST_BUCKETS:
                newer += [
                    build_record(member)
                    for member in self.table.members_in_bucket(bucket)
                    if member.vm_id not in sent
                ]
        failed = 0
        for vm_id, record in sent.items():
            known = self.table.get(vm_id)
            if known is None or record.order >= known.order:
                continue
            failed += known.state == MemberState.FAILED
            if known.state != MemberState.FAILED or failed <= MAX_FAILED_SENT:
                newer.append(build_record(known))
        return tuple(newer)
