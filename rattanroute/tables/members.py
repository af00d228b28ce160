"""Members of the cluster as this VM sees them."""

from collections.abc import Iterator
import dataclasses
import enum

import xxhash

# 64 buckets limit a digest list to 512 bytes and, with 410 members, a bucket to
# about 6 records, so that a sync sends few records that do not differ.
DIGEST_BUCKETS = 64


class MemberState(enum.IntEnum):
    """State of a member; within a round the greater value wins."""

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEFT = 3


class Reach(enum.StrEnum):
    """How this VM reaches a member."""

    DIRECT = "direct"
    INDIRECT = "indirect"
    NONE = "none"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """A VM of the cluster.

    Attributes:
        vm_id: Identifier of the VM.
        address: Peer address, as `IP:port`.
        data_centre: Data centre of the VM.
        region: Region of the data centre.
        voter: Whether the VM takes part in the configuration log.
        state: State of the VM as agreed by the cluster.
        incarnation: Increases with each start of the VM and each time that
            the VM announces a new record of itself.
        round: Increases within an incarnation each time that another VM
            reinstates the failed member after direct contact.
        ready: Whether the VM serves requests.
        draining: Whether the VM is stopping as planned.
        reach: How this VM reaches the member; DIRECT until a probe shows
            otherwise, INDIRECT when only other VMs get an answer from it, as
            in a one-way partition.
        link_mbps: Rate of the link of the VM, in Mbit/s; 0 if unknown.
        reads_patches: Whether its release reads merged deltas and patches of
            the configuration.
    """

    vm_id: str
    address: str
    data_centre: str
    region: str
    voter: bool = False
    state: MemberState = MemberState.ALIVE
    incarnation: int = 0
    round: int = 0
    ready: bool = False
    draining: bool = False
    reach: Reach = Reach.DIRECT
    link_mbps: int = 0
    reads_patches: bool = False

    @property
    def present(self) -> bool:
        """Whether the member is alive or suspect."""
        return self.state <= MemberState.SUSPECT

    @property
    def order(self) -> tuple[int, int, int]:
        """Sort key of the records of one VM; the newest has the greatest."""
        return self.incarnation, self.round, self.state


def hash_member(member: Member) -> int:
    """Returns the hash that a present member adds to its bucket's digest."""
    return xxhash.xxh3_64_intdigest(
        f"{member.vm_id} {member.incarnation}".encode()
    )


def choose_bucket(vm_id: str) -> int:
    """Returns the digest bucket of a VM."""
    return xxhash.xxh3_64_intdigest(vm_id.encode()) % DIGEST_BUCKETS


@dataclasses.dataclass(kw_only=True, slots=True)
class MemberTable:
    """Members by identifier, with digests of those that are present.

    The digests exclude members that failed or left, because VMs remove these
    at different times.

    Attributes:
        rows: Members by identifier.
        present_ids: Identifiers of the members that are present.
        buckets: Identifiers of the present members in each digest bucket.
        digests: Digest of each bucket.
        digest: Digest of all present members.
        ids_by_data_centre: Identifiers of the present members by data centre.
    """

    rows: dict[str, Member] = dataclasses.field(default_factory=dict)
    present_ids: list[str] = dataclasses.field(default_factory=list)
    buckets: list[set[str]] = dataclasses.field(
        default_factory=lambda: [set() for _ in range(DIGEST_BUCKETS)]
    )
    digests: list[int] = dataclasses.field(
        default_factory=lambda: [0] * DIGEST_BUCKETS
    )
    digest: int = 0
    ids_by_data_centre: dict[str, list[str]] = dataclasses.field(
        default_factory=dict
    )

    def put(self, member: Member) -> None:
        """Adds a member or replaces its record."""
        old = self.rows.get(member.vm_id)
        self.rows[member.vm_id] = member
        was_present = old is not None and old.present
        moved = was_present and old.data_centre != member.data_centre
        if was_present and member.present and not moved:
            if old.incarnation != member.incarnation:
                self.toggle_digest(old)
                self.toggle_digest(member)
            return
        bucket = self.buckets[choose_bucket(member.vm_id)]
        if was_present:
            self.toggle_digest(old)
            bucket.discard(member.vm_id)
            self.present_ids.remove(member.vm_id)
            self.ids_by_data_centre[old.data_centre].remove(member.vm_id)
        if member.present:
            self.toggle_digest(member)
            bucket.add(member.vm_id)
            self.present_ids.append(member.vm_id)
            local_ids = self.ids_by_data_centre.setdefault(
                member.data_centre, []
            )
            local_ids.append(member.vm_id)

    def remove(self, vm_id: str) -> None:
        """Removes a member unless it is present."""
        if vm_id in self.rows and not self.rows[vm_id].present:
            del self.rows[vm_id]

    def toggle_digest(self, member: Member) -> None:
        """Adds a member to the digests, or removes it from them."""
        value = hash_member(member)
        self.digests[choose_bucket(member.vm_id)] ^= value
        self.digest ^= value

    def get(self, vm_id: str) -> Member | None:
        """Returns the member, or None when it is not known."""
        return self.rows.get(vm_id)

    def present(self) -> list[Member]:
        """Returns the members that are alive or suspect."""
        return [self.rows[vm_id] for vm_id in self.present_ids]

    def local_ids(self, data_centre: str) -> list[str]:
        """Returns the identifiers of the present members of a data centre."""
        return self.ids_by_data_centre.get(data_centre, [])

    def members_in_bucket(self, bucket: int) -> list[Member]:
        """Returns the present members of a digest bucket."""
        return [self.rows[vm_id] for vm_id in sorted(self.buckets[bucket])]

    def __iter__(self) -> Iterator[Member]:
        return iter(self.rows.values())

    def __len__(self) -> int:
        return len(self.rows)
