"""Queue of membership records to pass on, within a byte budget."""

import dataclasses
import math

from rattanroute.messages.memberships import MemberRecord
from rattanroute.tables.members import Member

# Each VM passes a record on this many times log10(members). A member that
# still misses it is repaired by the comparison of digests.
RETRANSMIT_FACTOR = 4
GOSSIP_PERIOD_SECONDS = 0.1
GOSSIP_FANOUT = 2
GOSSIP_BYTES_PER_SECOND = 10_000.0
GOSSIP_MESSAGE_BYTES = 1_000.0
PIGGYBACK_BYTES = 300.0
# Numbers, flags and length bytes of a record without its strings.
RECORD_OVERHEAD_BYTES = 22


@dataclasses.dataclass(kw_only=True, slots=True)
class TokenBucket:
    """A bound on bytes or messages per second.

    Attributes:
        rate: Tokens added per second.
        burst: Largest number of tokens kept.
        tokens: Tokens left; negative after an overdraft.
        updated_at: Time up to which tokens have been added.
    """

    rate: float
    burst: float
    tokens: float = 0.0
    updated_at: float = 0.0

    def __post_init__(self) -> None:
        self.tokens = self.burst

    def refill(self, now: float) -> float:
        """Adds the tokens that are due and returns the tokens left."""
        elapsed = max(0.0, now - self.updated_at)
        self.tokens = min(self.burst, self.tokens + elapsed * self.rate)
        self.updated_at = now
        return self.tokens

    def take(self, *, amount: float, now: float) -> bool:
        """Takes tokens if there are enough."""
        if self.refill(now) < amount:
            return False
        self.tokens -= amount
        return True


def build_record(member: Member) -> MemberRecord:
    """Builds the gossip record of a member."""
    return MemberRecord(
        vm_id=member.vm_id,
        address=member.address,
        data_centre=member.data_centre,
        region=member.region,
        voter=member.voter,
        state=member.state,
        incarnation=member.incarnation,
        ready=member.ready,
        draining=member.draining,
    )


def build_member(record: MemberRecord) -> Member:
    """Builds a member from a gossip record."""
    return Member(
        vm_id=record.vm_id,
        address=record.address,
        data_centre=record.data_centre,
        region=record.region,
        voter=record.voter,
        state=record.state,
        incarnation=record.incarnation,
        ready=record.ready,
        draining=record.draining,
    )


def estimate_bytes(record: MemberRecord) -> int:
    """Returns the encoded size of a record, within a few bytes."""
    return (
        len(record.vm_id)
        + len(record.address)
        + len(record.data_centre)
        + len(record.region)
        + RECORD_OVERHEAD_BYTES
    )


@dataclasses.dataclass(kw_only=True, slots=True)
class GossipQueue:
    """Records to pass on, those passed on least often first.

    Attributes:
        levels: Records by vm_id, for each number of transmissions so far.
        level_of: Number of transmissions of each queued record.
        tokens: Bytes that may be sent now.
    """

    levels: list[dict[str, MemberRecord]] = dataclasses.field(
        default_factory=list
    )
    level_of: dict[str, int] = dataclasses.field(default_factory=dict)
    tokens: TokenBucket = dataclasses.field(
        default_factory=lambda: TokenBucket(
            rate=GOSSIP_BYTES_PER_SECOND, burst=2 * GOSSIP_MESSAGE_BYTES
        )
    )

    def put(self, record: MemberRecord) -> None:
        """Queues a record in place of an older one of the same VM."""
        self.discard(record.vm_id)
        self.move(record, 0)

    def discard(self, vm_id: str) -> None:
        """Drops the queued record of a VM."""
        level = self.level_of.pop(vm_id, None)
        if level is not None:
            del self.levels[level][vm_id]

    def move(self, record: MemberRecord, level: int) -> None:
        """Files a record under its number of transmissions."""
        while len(self.levels) <= level:
            self.levels.append({})
        self.levels[level][record.vm_id] = record
        self.level_of[record.vm_id] = level

    def take(
        self, *, max_bytes: float, members: int, now: float
    ) -> tuple[MemberRecord, ...]:
        """Returns records for one message and counts the transmission.

        Args:
            max_bytes: Largest encoded size of the records together.
            members: Number of present members.
            now: The host's monotonic clock, in seconds.
        """
        if not self.level_of:
            return ()
        limit = RETRANSMIT_FACTOR * max(1, math.ceil(math.log10(members + 1)))
        taken: list[tuple[int, MemberRecord]] = []
        left = budget = min(max_bytes, self.tokens.refill(now))
        for level, records in enumerate(self.levels):
            for record in records.values():
                size = estimate_bytes(record)
                if size > left:
                    break
                left -= size
                taken.append((level, record))
            else:
                continue
            break
        self.tokens.tokens -= budget - left
        for level, record in taken:
            self.discard(record.vm_id)
            if level + 1 < limit:
                self.move(record, level + 1)
        return tuple(record for _, record in taken)

    def __len__(self) -> int:
        return len(self.level_of)
