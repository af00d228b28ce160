"""Queue of membership gossip to pass on, within a byte budget."""

import dataclasses
import math

from rattanroute.messages.memberships import GossipItem
from rattanroute.messages.memberships import MemberRecord
from rattanroute.messages.memberships import MemberStateUpdate
from rattanroute.tables.members import Member

# Each VM passes a record on this many times log10(members). A member that
# still misses it is repaired by the comparison of digests.
RETRANSMIT_FACTOR = 4
GOSSIP_PERIOD_SECONDS = 0.1
GOSSIP_BYTES_PER_SECOND = 8_000.0
GOSSIP_MESSAGE_BYTES = 1_000.0
PIGGYBACK_BYTES = 300.0
# Numbers, flags and length bytes of a record without its strings.
RECORD_OVERHEAD_BYTES = 22
VERDICT_OVERHEAD_BYTES = 14


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
        round=member.round,
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
        round=record.round,
        ready=record.ready,
        draining=record.draining,
    )


def build_verdict(member: Member) -> MemberStateUpdate:
    """Builds the verdict on a member."""
    return MemberStateUpdate(
        vm_id=member.vm_id,
        state=member.state,
        incarnation=member.incarnation,
        round=member.round,
    )


def estimate_bytes(item: GossipItem) -> int:
    """Returns the encoded size of an item, within a few bytes."""
    if isinstance(item, MemberStateUpdate):
        return len(item.vm_id) + VERDICT_OVERHEAD_BYTES
    return (
        len(item.vm_id)
        + len(item.address)
        + len(item.data_centre)
        + len(item.region)
        + RECORD_OVERHEAD_BYTES
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Payload:
    """Gossip for one message."""

    records: tuple[MemberRecord, ...] = ()
    verdicts: tuple[MemberStateUpdate, ...] = ()


NO_PAYLOAD = Payload()


@dataclasses.dataclass(kw_only=True, slots=True)
class GossipQueue:
    """Items to pass on, those passed on least often first.

    Attributes:
        levels: Items by vm_id, for each number of transmissions so far.
        level_of: Number of transmissions of each queued item.
        tokens: Bytes that may be sent now.
    """

    levels: list[dict[str, GossipItem]] = dataclasses.field(
        default_factory=list
    )
    level_of: dict[str, int] = dataclasses.field(default_factory=dict)
    tokens: TokenBucket = dataclasses.field(
        default_factory=lambda: TokenBucket(
            rate=GOSSIP_BYTES_PER_SECOND, burst=2 * GOSSIP_MESSAGE_BYTES
        )
    )

    def put(self, item: GossipItem) -> None:
        """Queues an item in place of an older one of the same VM."""
        self.discard(item.vm_id)
        self.move(item, 0)

    def discard(self, vm_id: str) -> None:
        """Drops the queued item of a VM."""
        level = self.level_of.pop(vm_id, None)
        if level is not None:
            del self.levels[level][vm_id]

    def move(self, item: GossipItem, level: int) -> None:
        """Files an item under its number of transmissions."""
        while len(self.levels) <= level:
            self.levels.append({})
        self.levels[level][item.vm_id] = item
        self.level_of[item.vm_id] = level

    def take(self, *, max_bytes: float, members: int, now: float) -> Payload:
        """Returns items for one message and counts their transmission.

        Args:
            max_bytes: Largest encoded size of the items together.
            members: Number of present members.
            now: The host's monotonic clock, in seconds.
        """
        if not self.level_of:
            return NO_PAYLOAD
        limit = RETRANSMIT_FACTOR * max(1, math.ceil(math.log10(members + 1)))
        budget = min(max_bytes, self.tokens.refill(now))
        taken = self.choose(budget)
        for level, item in taken:
            self.tokens.tokens -= estimate_bytes(item)
            self.discard(item.vm_id)
            if level + 1 < limit:
                self.move(item, level + 1)
        items = [item for _, item in taken]
        return Payload(
            records=tuple(i for i in items if isinstance(i, MemberRecord)),
            verdicts=tuple(
                i for i in items if isinstance(i, MemberStateUpdate)
            ),
        )

    def choose(self, budget: float) -> list[tuple[int, GossipItem]]:
        """Returns the first items that fit, each with its level."""
        taken: list[tuple[int, GossipItem]] = []
        left = budget
        for level, items in enumerate(self.levels):
            for item in items.values():
                left -= estimate_bytes(item)
                if left < 0:
                    return taken
                taken.append((level, item))
        return taken

    def __len__(self) -> int:
        return len(self.level_of)
