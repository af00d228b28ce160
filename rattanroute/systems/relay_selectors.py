"""Choice of the VMs that pass the configuration on."""

from collections.abc import Iterable
import dataclasses
from typing import Protocol


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerInfo:
    """A live VM as membership sees it."""

    vm_id: str
    data_centre: str
    voter: bool = False


class PeerDirectory(Protocol):
    """Knows the VMs that are believed to be alive."""

    def alive(self) -> list[PeerInfo]:
        """Returns the live VMs, with or without this one."""
        ...


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RelaySelector:
    """The live VMs at one moment, as one VM sees them.

    Attributes:
        own: The VM that looks.
        alive: Live VMs by identifier, the own one included.
        drained: VMs that operators take out of service.
    """

    own: PeerInfo
    alive: dict[str, PeerInfo]
    drained: set[str]

    def choose(self, candidates: Iterable[str]) -> str:
        """Returns the lowest VM; a draining one only if all others are."""
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
        """Returns the VM of each data centre that a voter pushes to.

        A voter that is a relay passes on what its own log applies. As that
        log may be cut off without anybody noticing, pushes go to the lowest
        VM that is not a voter.
        """
        places: dict[str, list[str]] = {}
        for peer in self.alive.values():
            if not peer.voter:
                places.setdefault(peer.data_centre, []).append(peer.vm_id)
        if self.is_relay():
            places.pop(self.own.data_centre, None)
        return [self.choose(places[place]) for place in sorted(places)]

    def local_peers(self) -> list[PeerInfo]:
        """Returns the other live VMs of the own data centre."""
        return [
            x
            for x in self.alive.values()
            if x.data_centre == self.own.data_centre
            and x.vm_id != self.own.vm_id
        ]

    def remote_relays(self) -> list[str]:
        """Returns the VM of each other data centre that voters push to."""
        places: dict[str, list[str]] = {}
        for peer in self.alive.values():
            if not peer.voter and peer.data_centre != self.own.data_centre:
                places.setdefault(peer.data_centre, []).append(peer.vm_id)
        return [self.choose(places[place]) for place in sorted(places)]

    def voters(self) -> list[str]:
        """Returns the live voters, those of the own data centre first."""
        place = self.own.data_centre
        voters = [x for x in self.alive.values() if x.voter]
        voters.sort(key=lambda x: (x.data_centre != place, x.vm_id))
        return [x.vm_id for x in voters]

    def is_voter(self, vm_id: str) -> bool:
        """Whether a VM is a live voter."""
        return vm_id in self.alive and self.alive[vm_id].voter
