"""Selection of the members that a VM contacts with membership messages.

With a few hundred VMs, random peer choice would open a link between every
pair. A VM that is not a voter therefore contacts only the voters and its next
few successors on a hash ring of its data centre. Voters contact all members,
as they send reports to all of them anyway.
"""

import dataclasses

import xxhash

from rattanroute.tables.members import MemberTable


@dataclasses.dataclass(kw_only=True, slots=True)
class PeerSelector:
    """Selects peers among the present members.

    Attributes:
        vm_id: This VM.
        data_centre: Its data centre.
        voter: Whether this VM is a voter.
        table: All known members.
        neighbours: Number of ring successors to select (members of the data
            centre, not customers); 0 selects all members.
        selected: Members selected when the table had `digest`.
        digest: Digest of the member table at the last selection.
    """

    vm_id: str
    data_centre: str
    voter: bool
    table: MemberTable
    neighbours: int = 0
    selected: list[str] = dataclasses.field(default_factory=list)
    digest: int = -1

    @property
    def is_limited(self) -> bool:
        """Whether only some of the members are selected."""
        return self.neighbours > 0 and not self.voter

    def present(self) -> list[str]:
        """Returns the selected present members; may include this VM."""
        if not self.is_limited:
            return self.table.present_ids
        if self.digest != self.table.digest:
            self.digest = self.table.digest
            self.selected = self.select()
        return self.selected or self.table.present_ids

    def local_ids(self) -> list[str]:
        """Returns the selected present members of this data centre."""
        local_ids = self.table.local_ids(self.data_centre)
        if not self.is_limited:
            return local_ids
        partners = set(self.present())
        return [vm_id for vm_id in local_ids if vm_id in partners]

    def select(self) -> list[str]:
        """Returns the voters and the next other members on the ring."""
        voters = [x.vm_id for x in self.table.present() if x.voter]
        others = [
            vm_id
            for vm_id in self.table.local_ids(self.data_centre)
            if vm_id != self.vm_id and not self.table.rows[vm_id].voter
        ]
        own = find_ring_position(self.vm_id)
        others.sort(
            key=lambda x: (find_ring_position(x) < own, find_ring_position(x))
        )
        return voters + others[: self.neighbours]

    def may_reconnect(self, vm_id: str) -> bool:
        """Returns whether this VM tries to reach an absent member again."""
        if not self.is_limited:
            return True
        member = self.table.get(vm_id)
        return member is not None and member.voter


def find_ring_position(vm_id: str) -> int:
    """Returns the position of a VM on the hash ring."""
    return xxhash.xxh3_64_intdigest(vm_id.encode())
