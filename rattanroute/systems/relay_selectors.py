"""Selection of the VMs from which a VM gets its configuration.

The voters of a data centre serve its other VMs. Where there are none, a few
other VMs relay: those with the fastest links, and among equal ones those that
come first on a hash ring.
"""

from collections.abc import Iterable
import dataclasses
from typing import Protocol

import xxhash

# Relays of a data centre without voters: at least two, so that one that stops
# delays nobody, and one more for each of this many VMs.
MIN_RELAYS = 2
VMS_PER_RELAY = 16


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerInfo:
    """A live VM according to membership.

    Attributes:
        vm_id: Identifier of the VM.
        data_centre: Its data centre.
        voter: Whether it takes part in the configuration log.
        link_mbps: Rate of its link, in Mbit/s; 0 if unknown.
        reads_patches: Whether its release reads merged deltas and patches.
    """

    vm_id: str
    data_centre: str
    voter: bool = False
    link_mbps: int = 0
    reads_patches: bool = False


class PeerDirectory(Protocol):
    """Source of the VMs that are believed to be alive."""

    def alive(self) -> list[PeerInfo]:
        """Returns the live VMs; this VM may be among them."""
        ...


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RelaySelector:
    """Selects sources and relays among the VMs that are live at one moment.

    Attributes:
        own: The VM that selects.
        alive: Live VMs by identifier, including the own VM.
        drained: VMs that operators drain.
    """

    own: PeerInfo
    alive: dict[str, PeerInfo]
    drained: set[str]

    def relays(self, data_centre: str) -> list[str]:
        """Returns the VMs that relay in a data centre, best first.

        Voters are not among them: their logs may be cut off from the majority
        unnoticed.
        """
        others = [
            x
            for x in self.alive.values()
            if x.data_centre == data_centre and not x.voter
        ]
        others.sort(
            key=lambda x: (
                x.vm_id in self.drained,
                -x.link_mbps,
                hash_pair(data_centre, x.vm_id),
            )
        )
        count = MIN_RELAYS + len(others) // VMS_PER_RELAY
        return [x.vm_id for x in others[:count]]

    def sources(self) -> list[str]:
        """Returns the VMs that serve this one, the preferred one first.

        Returns:
            The voters of the own data centre, or else its relays; for a relay
            the voters elsewhere. Each VM prefers another one of them.
        """
        local = self.local_voters() or self.relays(self.own.data_centre)
        if self.own.vm_id in local:
            local = self.voters()
        return self.rank(x for x in local if x != self.own.vm_id)

    def rank(self, vm_ids: Iterable[str], by: str = "") -> list[str]:
        """Returns VMs in the order in which one of them is preferred.

        Args:
            vm_ids: The VMs.
            by: VM whose preference counts; the own one if empty.
        """
        by = by or self.own.vm_id
        return sorted(
            vm_ids, key=lambda x: (x in self.drained, hash_pair(by, x))
        )

    def is_relay(self) -> bool:
        """Whether the own VM relays in a data centre without voters."""
        if self.own.voter or self.local_voters():
            return False
        return self.own.vm_id in self.relays(self.own.data_centre)

    def local_peers(self) -> list[PeerInfo]:
        """Returns the other live VMs in the own data centre."""
        return [
            x
            for x in self.alive.values()
            if x.data_centre == self.own.data_centre
            and x.vm_id != self.own.vm_id
        ]

    def served_peers(self) -> list[str]:
        """Returns the VMs whose preferred source is the own voter."""
        voters = self.local_voters()
        return [
            x.vm_id
            for x in self.local_peers()
            if not x.voter
            and self.rank(voters, x.vm_id)[:1] == [self.own.vm_id]
        ]

    def local_voters(self) -> list[str]:
        """Returns the live voters of the own data centre."""
        return [
            x.vm_id
            for x in self.alive.values()
            if x.voter and x.data_centre == self.own.data_centre
        ]

    def remote_relays(self) -> list[str]:
        """Returns one relay of each other data centre.

        Each VM selects another one of them, so that a relay that does not
        work delays nobody.
        """
        data_centres = {x.data_centre for x in self.alive.values()}
        data_centres.discard(self.own.data_centre)
        relays = [self.relays(x) for x in sorted(data_centres)]
        return [self.rank(x)[0] for x in relays if x]

    def voters(self) -> list[str]:
        """Returns the live voters, those in the own data centre first."""
        data_centre = self.own.data_centre
        voters = [x for x in self.alive.values() if x.voter]
        voters.sort(key=lambda x: (x.data_centre != data_centre, x.vm_id))
        return [x.vm_id for x in voters]

    def is_voter(self, vm_id: str) -> bool:
        """Whether a VM is a live voter."""
        return vm_id in self.alive and self.alive[vm_id].voter


def hash_pair(one: str, other: str) -> int:
    """Returns the rank of a VM for another one, or in a data centre."""
    return xxhash.xxh3_64_intdigest(f"{one} {other}".encode())
