"""Selection of the VMs that forward configurations in a data centre."""

from collections.abc import Iterable
import dataclasses
from typing import Protocol


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerInfo:
    """A live VM according to membership."""

    vm_id: str
    data_centre: str
    voter: bool = False


class PeerDirectory(Protocol):
    """Source of the VMs that are believed to be alive."""

    def alive(self) -> list[PeerInfo]:
        """Returns the live VMs; this VM may be among them."""
        ...


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RelaySelector:
    """Selects relays and voters among the VMs that are live at one moment.

    Attributes:
        own: The VM that selects.
        alive: Live VMs by identifier, including the own VM.
        drained: VMs that operators drain.
    """

    own: PeerInfo
    alive: dict[str, PeerInfo]
    drained: set[str]

    def choose(self, candidates: Iterable[str]) -> str:
        """Returns the lowest VM identifier, preferring VMs not drained."""
        return min(candidates, key=lambda x: (x in self.drained, x))

    def relay(self) -> str:
        """Returns the relay of the own data centre."""
        return self.choose(
            x.vm_id
            for x in self.alive.values()
            if x.data_centre == self.own.data_centre
        )

    def is_relay(self) -> bool:
        """Whether the own VM is the relay of its data centre."""
        return self.relay() == self.own.vm_id

    def push_receivers(self) -> list[str]:
        """Returns the VM in each data centre that a voter pushes to.

        A voter that is a relay forwards what its own log applies. As that log
        may be cut off from the majority unnoticed, pushes go to the lowest VM
        that is not a voter.
        """
        peer_ids: dict[str, list[str]] = {}
        for peer in self.alive.values():
            if not peer.voter:
                peer_ids.setdefault(peer.data_centre, []).append(peer.vm_id)
        if self.is_relay():
            peer_ids.pop(self.own.data_centre, None)
        return [
            self.choose(peer_ids[data_centre])
            for data_centre in sorted(peer_ids)
        ]

    def local_peers(self) -> list[PeerInfo]:
        """Returns the other live VMs in the own data centre."""
        return [
            x
            for x in self.alive.values()
            if x.data_centre == self.own.data_centre
            and x.vm_id != self.own.vm_id
        ]

    def remote_relays(self) -> list[str]:
        """Returns the VM in each other data centre that voters push to."""
        peer_ids: dict[str, list[str]] = {}
        for peer in self.alive.values():
            if not peer.voter and peer.data_centre != self.own.data_centre:
                peer_ids.setdefault(peer.data_centre, []).append(peer.vm_id)
        return [
            self.choose(peer_ids[data_centre])
            for data_centre in sorted(peer_ids)
        ]

    def voters(self) -> list[str]:
        """Returns the live voters, those in the own data centre first."""
        data_centre = self.own.data_centre
        voters = [x for x in self.alive.values() if x.voter]
        voters.sort(key=lambda x: (x.data_centre != data_centre, x.vm_id))
        return [x.vm_id for x in voters]

    def is_voter(self, vm_id: str) -> bool:
        """Whether a VM is a live voter."""
        return vm_id in self.alive and self.alive[vm_id].voter
