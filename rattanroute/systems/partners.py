"""Which members a VM exchanges membership messages with by itself.

With a few hundred VMs, random partners would open a link between every pair.
A VM that is no voter then talks to the voters and to a few neighbours on a
ring of its data centre; voters talk to all, as they pass reports to all
anyway.
"""

import dataclasses

import xxhash

from rattanroute.tables.members import MemberTable


@dataclasses.dataclass(kw_only=True, slots=True)
class PartnerChoice:
    """Chooses partners among the present members.

    Attributes:
        vm_id: This VM.
        data_centre: Its data centre.
        voter: Whether this VM is a voter.
        table: All known members.
        neighbours: Neighbours on the ring; 0 for all members as partners.
        chosen: The partners at the time of `digest`.
        digest: Digest of the members from which they were chosen.
    """

    vm_id: str
    data_centre: str
    voter: bool
    table: MemberTable
    neighbours: int = 0
    chosen: list[str] = dataclasses.field(default_factory=list)
    digest: int = -1

    @property
    def limited(self) -> bool:
        """Whether only some members are partners."""
        return self.neighbours > 0 and not self.voter

    def present(self) -> list[str]:
        """Returns the present partners; this VM may be among them."""
        if not self.limited:
            return self.table.present_ids
        if self.digest != self.table.digest:
            self.digest = self.table.digest
            self.chosen = self.choose()
        return self.chosen or self.table.present_ids

    def local_ids(self) -> list[str]:
        """Returns the present partners in the own data centre."""
        local_ids = self.table.local_ids(self.data_centre)
        if not self.limited:
            return local_ids
        partners = set(self.present())
        return [vm_id for vm_id in local_ids if vm_id in partners]

    def choose(self) -> list[str]:
        """Returns the voters and the next members on the ring."""
        voters = [x.vm_id for x in self.table.present() if x.voter]
        others = [
            vm_id
            for vm_id in self.table.local_ids(self.data_centre)
            if vm_id != self.vm_id and not self.table.rows[vm_id].voter
        ]
        own = place_on_ring(self.vm_id)
        others.sort(key=lambda x: (place_on_ring(x) < own, place_on_ring(x)))
        return voters + others[: self.neighbours]

    def may_reconnect(self, vm_id: str) -> bool:
        """Whether this VM tries to reach an absent member again."""
        if not self.limited:
            return True
        member = self.table.get(vm_id)
        return member is not None and member.voter


def place_on_ring(vm_id: str) -> int:
    """Returns the place of a VM on the ring."""
    return xxhash.xxh3_64_intdigest(vm_id.encode())
