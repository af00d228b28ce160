"""Tells whether this VM has lost its links to the targets.

A VM may reach no target for a while although callers, peers and the other VMs'
connections to the targets are sound. A target that cannot be connected to
directly is therefore tried through peers before it is blamed. When several
targets are reachable through peers only, the VM considers its own links as
lost: it then connects through peers at once, and tests its links with single
connections until targets accept these again.

Peers of the same data centre come first. A peer that did not help is avoided
for a while, and so are all peers for a target that none of them reached.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum
import math
import random as randoms
from typing import Protocol

# Targets that are reachable through peers only, within the time given, before
# the links count as lost, and targets that accept direct connections again
# before they count as restored. One target proves nothing.
MIN_EVIDENCE = 2
EVIDENCE_SECONDS = 3.0
# Interval of direct connections while the links are lost.
RETEST_SECONDS = 0.5
# A peer that did not help is avoided for this time.
PEER_PENALTY_SECONDS = 2.0
# No peer is asked again for this time for a target that no peer reached.
UNREACHED_SECONDS = 1.0
# Peers that are asked for one connection.
MAX_PEERS = 3
# Time without bytes from any target, with requests open, after which the links
# are tested. A sound target may be silent for longer; all of them are not.
SILENCE_SECONDS = 0.25


class TunnelReply(enum.Enum):
    """Reply of a peer that was asked for a connection to a target.

    Values are the bytes of the tunnel protocol.
    """

    CONNECTED = b"C"
    REFUSED = b"R"
    UNREACHED = b"U"
    LINKS_LOST = b"L"
    DRAINING = b"D"
    BUSY = b"B"
    UNKNOWN_TARGET = b"N"


class MemberRow(Protocol):
    """Attributes of a live VM that this system uses."""

    vm_id: str
    data_centre: str
    voter: bool
    ready: bool
    draining: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConnectPlan:
    """Ways to connect to a target, in the order in which they are tried.

    Attributes:
        direct: Whether to connect directly first.
        peers: Peers to ask.
    """

    direct: bool
    peers: tuple[str, ...]


@dataclasses.dataclass(kw_only=True, slots=True)
class TargetLinkSystem:
    """State of this VM's links to the targets.

    Attributes:
        vm_id: Identifier of this VM.
        data_centre: Data centre of this VM.
        members: Returns the live VMs.
        random: Spreads connections over peers.
        lost: Whether the links are lost.
        failed: Times of failed direct connections, by address.
        tunnelled: Times of connections through peers, by address.
        restored: Addresses that accepted direct connections since the links
            were lost or last failed.
        avoided: Times until which peers are avoided, by identifier.
        unhelpful: Peers that could not connect to an address, by address.
        unreached: Times until which no peer is asked for an address.
        retest_at: Time of the next direct connection while the links are lost.
        on_change: Called after `lost` has changed.
    """

    vm_id: str
    data_centre: str
    members: Callable[[], Iterable[MemberRow]]
    random: randoms.Random
    lost: bool = False
    failed: dict[str, float] = dataclasses.field(default_factory=dict)
    tunnelled: dict[str, float] = dataclasses.field(default_factory=dict)
    restored: set[str] = dataclasses.field(default_factory=set)
    avoided: dict[str, float] = dataclasses.field(default_factory=dict)
    unhelpful: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    unreached: dict[str, float] = dataclasses.field(default_factory=dict)
    retest_at: float = -math.inf
    on_change: Callable[[], None] = lambda: None

    def plan(self, address: str, now: float) -> ConnectPlan:
        """Returns the ways to connect to a target now."""
        if self.unreached.get(address, -math.inf) > now:
            return ConnectPlan(direct=True, peers=())
        peers = self.choose_peers(now)
        return ConnectPlan(direct=not (self.lost and peers), peers=peers)

    def choose_peers(self, now: float) -> tuple[str, ...]:
        """Returns the peers to ask, the best one first.

        Peers of several data centres are included, as all VMs of one may have
        lost their links.
        """
        found = [
            x
            for x in self.members()
            if x.vm_id != self.vm_id
            and not x.voter
            and x.ready
            and not x.draining
            and self.avoided.get(x.vm_id, -math.inf) <= now
        ]
        self.random.shuffle(found)
        found.sort(key=lambda x: x.data_centre != self.data_centre)
        chosen: dict[str, str] = {}
        for member in found:
            chosen.setdefault(member.data_centre, member.vm_id)
        ids = list(chosen.values())
        ids += [x.vm_id for x in found if x.vm_id not in ids]
        return tuple(ids[:MAX_PEERS])

    def note_direct(self, address: str, *, connected: bool, now: float) -> None:
        """Records the result of a direct connection."""
        if not connected:
            self.failed[address] = now
            self.restored.clear()
            self.weigh_evidence(now)
            return
        self.failed.pop(address, None)
        self.tunnelled.pop(address, None)
        self.unhelpful.pop(address, None)
        if not self.lost:
            self.tunnelled.clear()
            return
        self.restored.add(address)
        if len(self.restored) >= MIN_EVIDENCE:
            self.change(lost=False)

    def note_reply(
        self, address: str, peer: str, reply: TunnelReply, now: float
    ) -> None:
        """Records the reply of a peer that was asked for a connection."""
        if reply in (TunnelReply.REFUSED, TunnelReply.UNREACHED):
            # It may be the target's fault.
            self.unhelpful.setdefault(address, set()).add(peer)
            return
        if reply is not TunnelReply.CONNECTED:
            self.avoid(peer, now)
            return
        for other in self.unhelpful.pop(address, ()):
            self.avoid(other, now)
        self.avoided.pop(peer, None)
        self.tunnelled[address] = now
        self.weigh_evidence(now)

    def weigh_evidence(self, now: float) -> None:
        """Takes the links for lost if peers reach what this VM does not."""
        since = now - EVIDENCE_SECONDS
        proofs = [
            address
            for address, at in self.tunnelled.items()
            if at >= since and self.failed.get(address, -math.inf) >= since
        ]
        if not self.lost and len(proofs) >= MIN_EVIDENCE:
            self.change(lost=True)

    def avoid(self, peer: str, now: float) -> None:
        """Avoids a peer that does not help for a while."""
        self.avoided[peer] = now + PEER_PENALTY_SECONDS

    def note_unreached(self, address: str, now: float) -> None:
        """Records that neither this VM nor a peer could connect to a target."""
        self.unhelpful.pop(address, None)
        self.unreached[address] = now + UNREACHED_SECONDS

    def change(self, *, lost: bool) -> None:
        """Changes the state and drops the evidence for the former one."""
        self.lost = lost
        self.failed.clear()
        self.tunnelled.clear()
        self.restored.clear()
        self.on_change()

    def is_retest_due(self, now: float) -> bool:
        """Returns whether a direct connection is due while links are lost."""
        if not self.lost or now < self.retest_at:
            return False
        self.retest_at = now + RETEST_SECONDS
        return True

    def expire(self, now: float) -> None:
        """Removes entries that no longer matter."""
        for times in (self.avoided, self.unreached):
            for name in [x for x, until in times.items() if until <= now]:
                del times[name]
        for times in (self.failed, self.tunnelled):
            for name in [
                x for x, at in times.items() if now - at > EVIDENCE_SECONDS
            ]:
                del times[name]
