"""Log entries, memberships, snapshots and other values that are stored."""

import dataclasses
import enum

import msgspec
import xxhash


class EntryKind(enum.IntEnum):
    """Kind of data in a log entry."""

    NOOP = 0
    DATA = 1
    MEMBERSHIP = 2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """One entry of the replicated log.

    Attributes:
        index: Position in the log, from 1.
        term: Term of the leader that created the entry.
        kind: What `data` holds.
        data: Proposal or encoded `Membership`.
    """

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """A VM that stores the log.

    Attributes:
        vm_id: The VM.
        storage_id: Random identity of its data folder. A VM that lost the
            folder gets a new identity and is then no longer this member.
        voter: Whether it votes and counts towards the commit quorum.
        promote: Whether the leader makes this learner a voter once it has
            caught up.
    """

    vm_id: str
    storage_id: str
    voter: bool
    promote: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Membership:
    """The members of the log.

    Attributes:
        members: The members, ordered by VM identifier.
        log_id: Identity of the log, derived from its first members; it never
            changes. 0 while there are no members.
    """

    members: tuple[Member, ...] = ()
    log_id: int = 0

    def find(self, vm_id: str) -> Member | None:
        """Returns the member that runs on a VM."""
        for member in self.members:
            if member.vm_id == vm_id:
                return member
        return None

    def find_voter(self, vm_id: str, storage_id: str) -> Member | None:
        """Returns the voter with this VM and storage identity."""
        member = self.find(vm_id)
        if member is None or member.storage_id != storage_id:
            return None
        return member if member.voter else None

    @property
    def voters(self) -> tuple[Member, ...]:
        """Members that vote."""
        return tuple(member for member in self.members if member.voter)

    @property
    def quorum(self) -> int:
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def with_member(self, member: Member) -> "Membership":
        """Returns the membership with a member added or replaced."""
        others = [m for m in self.members if m.vm_id != member.vm_id]
        ordered = sorted([*others, member], key=lambda m: m.vm_id)
        return Membership(members=tuple(ordered), log_id=self.log_id)

    def without(self, vm_id: str) -> "Membership":
        """Returns the membership without a VM."""
        kept = tuple(m for m in self.members if m.vm_id != vm_id)
        return Membership(members=kept, log_id=self.log_id)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """State of the state machine after an entry.

    Attributes:
        index: Index of the last entry that the state covers.
        term: Term of that entry.
        membership: Members as of that entry.
        data: Encoded state of the state machine.
    """

    index: int = 0
    term: int = 0
    membership: Membership = Membership()
    data: bytes = b""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HardState:
    """State that must be durable before a message that relies on it is sent.

    Attributes:
        term: Latest term that the node has seen.
        vote: Storage identity voted for in this term; "" for none.
        commit: Index known to be committed; a lower bound of the commit index
            after a restart.
    """

    term: int = 0
    vote: str = ""
    commit: int = 0


# Term of the entry that holds the first membership.
BOOTSTRAP_TERM = 1
ENCODER = msgspec.msgpack.Encoder()
MEMBERSHIP_DECODER = msgspec.msgpack.Decoder(Membership)


def encode_membership(membership: Membership) -> bytes:
    """Encodes a membership as the data of an entry."""
    return ENCODER.encode(membership)


def decode_membership(data: bytes) -> Membership:
    """Decodes the data of a membership entry.

    Raises:
        msgspec.DecodeError: If the data is not a membership.
    """
    return MEMBERSHIP_DECODER.decode(data)


def build_first_membership(ids: dict[str, str]) -> Membership:
    """Builds the membership of the first voters.

    Args:
        ids: Storage identity of each first voter, by VM identifier.
    """
    members = tuple(
        Member(vm_id=vm_id, storage_id=ids[vm_id], voter=True)
        for vm_id in sorted(ids)
    )
    digest = xxhash.xxh3_64_intdigest(ENCODER.encode(members))
    # The shift keeps the number within the codec's signed 64-bit range; 0
    # is reserved for "no log".
    return Membership(members=members, log_id=(digest >> 1) or 1)


def build_first_entry(membership: Membership) -> Entry:
    """Builds the first log entry, which all first voters start with.

    It is identical on all of them and counts as committed.
    """
    return Entry(
        index=1,
        term=BOOTSTRAP_TERM,
        kind=EntryKind.MEMBERSHIP,
        data=encode_membership(membership),
    )
