"""Queue of membership gossip to send, within a byte budget."""

import dataclasses
import math

from rattanroute.messages.memberships import GossipItem
from rattanroute.messages.memberships import MemberRecord
from rattanroute.messages.memberships import MemberStateUpdate
from rattanroute.tables.members import Member

# Each VM sends a record this many times log10(members). A member that still
# misses it receives it after a comparison of digests.
RETRANSMIT_FACTOR = 4
GOSSIP_PERIOD_SECONDS = 0.1
GOSSIP_BYTES_PER_SECOND = 8_000.0
GOSSIP_MESSAGE_BYTES = 1_000.0
PIGGYBACK_BYTES = 300.0
# Encoded size of a record without its strings: numbers, flags and lengths.
RECORD_OVERHEAD_BYTES = 26
VERDICT_OVERHEAD_BYTES = 14


@dataclasses.dataclass(kw_only=True, slots=True)
class TokenBucket:
    """Limits bytes or messages per second.

    Attributes:
        rate: Tokens added per second.
        burst: Maximum number of tokens.
        tokens: Tokens left; negative after more were taken than there were.
        updated_at: Time up to which tokens have been added.
    """

    rate: float
    burst: float
    tokens: float = 0.0
    updated_at: float = 0.0

    def __post_init__(self) -> None:
        self.tokens = self.burst

    def refill(self, now: float) -> float:
        """Adds the tokens due since the last call; returns the tokens left."""
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
        link_mbps=member.link_mbps,
        reads_patches=member.reads_patches,
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
        link_mbps=record.link_mbps,
        reads_patches=record.reads_patches,
    )


def build_verdict(member: Member) -> MemberStateUpdate:
    """Builds the gossip verdict on the state of a member."""
    return MemberStateUpdate(
        vm_id=member.vm_id,
        state=member.state,
        incarnation=member.incarnation,
        round=member.round,
    )


def estimate_bytes(item: GossipItem) -> int:
    """Returns the encoded size of an item, accurate to a few bytes."""
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
class GossipPayload:
    """Gossip for one message."""

    records: tuple[MemberRecord, ...] = ()
    verdicts: tuple[MemberStateUpdate, ...] = ()


EMPTY_PAYLOAD = GossipPayload()


@dataclasses.dataclass(kw_only=True, slots=True)
class GossipQueue:
    """Gossip items to send; those sent least often come first.

    Attributes:
        levels: Items by VM; the index is their number of transmissions.
        level_by_vm: Number of transmissions of each queued item, by VM.
        tokens: Budget of bytes to send.
    """

    levels: list[dict[str, GossipItem]] = dataclasses.field(
        default_factory=list
    )
    level_by_vm: dict[str, int] = dataclasses.field(default_factory=dict)
    tokens: TokenBucket = dataclasses.field(
        default_factory=lambda: TokenBucket(
            rate=GOSSIP_BYTES_PER_SECOND, burst=2 * GOSSIP_MESSAGE_BYTES
        )
    )

    def put(self, item: GossipItem) -> None:
        """Queues an item and replaces an older one for the same VM."""
        self.discard(item.vm_id)
        self.insert(item, 0)

    def discard(self, vm_id: str) -> None:
        """Removes the queued item for a VM."""
        level = self.level_by_vm.pop(vm_id, None)
        if level is not None:
            del self.levels[level][vm_id]

    def insert(self, item: GossipItem, level: int) -> None:
        """Stores an item at the level of its number of transmissions."""
        while len(self.levels) <= level:
            self.levels.append({})
        self.levels[level][item.vm_id] = item
        self.level_by_vm[item.vm_id] = level

    def take(
        self, *, max_bytes: float, members: int, now: float
    ) -> GossipPayload:
        """Takes the items for one message and counts their transmission.

        Args:
            max_bytes: Maximum encoded size of all items together.
            members: Number of present members, which sets the number of
                transmissions of an item.
            now: The host's monotonic clock, in seconds.
        """
        if not self.level_by_vm:
            return EMPTY_PAYLOAD
        limit = RETRANSMIT_FACTOR * max(1, math.ceil(math.log10(members + 1)))
        budget = min(max_bytes, self.tokens.refill(now))
        taken = self.choose(budget)
        for level, item in taken:
            self.tokens.tokens -= estimate_bytes(item)
            self.discard(item.vm_id)
            if level + 1 < limit:
                self.insert(item, level + 1)
        items = [item for _, item in taken]
        return GossipPayload(
            records=tuple(i for i in items if isinstance(i, MemberRecord)),
            verdicts=tuple(
                i for i in items if isinstance(i, MemberStateUpdate)
            ),
        )

    def choose(self, budget: float) -> list[tuple[int, GossipItem]]:
        """Returns the first items that fit the budget, with their levels."""
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
        return len(self.level_by_vm)
