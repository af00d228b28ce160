"""What this VM believes about members, and whose word changes it."""

import dataclasses

from rattanroute.actions import Action
from rattanroute.actions import MemberChanged
from rattanroute.messages.memberships import Ack
from rattanroute.messages.memberships import Gossip
from rattanroute.messages.memberships import GossipItem
from rattanroute.messages.memberships import MemberRecord
from rattanroute.messages.memberships import Ping
from rattanroute.systems.gossips import build_member
from rattanroute.systems.gossips import build_record
from rattanroute.systems.gossips import build_verdict
from rattanroute.systems.gossips import GossipQueue
from rattanroute.systems.probers import HEALING_SECONDS
from rattanroute.systems.probers import MemberProber
from rattanroute.tables.members import Member
from rattanroute.tables.members import MemberState
from rattanroute.tables.members import MemberTable
from rattanroute.tables.members import Reach

# Time for a refutation to reach all VMs before a suspect counts as failed.
SUSPICION_SECONDS = 3.0
# After a partition healed, the sides stop accusing each other's members
# within this time.
DISTRUST_SECONDS = 10.0
# The members behind a cut are noticed one after the other within this time.
DETECTION_SPREAD_SECONDS = 60.0
# An hour without contact between regions is expected; failed members are
# tried for longer than that.
FAILED_MEMORY_SECONDS = 6 * 3600.0
LEFT_MEMORY_SECONDS = 600.0
MAX_ABSENT_MEMBERS = 2_000
ACCUSATIONS = (MemberState.SUSPECT, MemberState.FAILED)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Absence:
    """The time during which a member that came back counted as absent."""

    started_at: float
    ended_at: float


class MemberView:
    """The members of the cluster as this VM sees them.

    Attributes:
        vm_id: This VM.
        table: All known members, with this VM.
        prober: Probes, for members whose records contradict each other.
        queue: Gossip for members anywhere.
        near_queue: Gossip for members of this data centre.
        suspected_at: Suspect members and the time since when, oldest first.
        absent_since: Members that failed or left, and the time since when.
        absences: Past absences of members that came back a moment ago.
        last_change: Time of the last change.
    """

    def __init__(self, *, me: Member, table: MemberTable, prober: MemberProber):
        """Initialises with this VM as the only member."""
        self.vm_id = me.vm_id
        self.table = table
        self.table.put(me)
        self.prober = prober
        self.queue = GossipQueue()
        self.near_queue = GossipQueue()
        self.suspected_at: dict[str, float] = {}
        self.absent_since: dict[str, float] = {}
        self.absences: dict[str, Absence] = {}
        self.last_change = 0.0
        self.enqueue(build_record(me))

    @property
    def me(self) -> Member:
        """The record of this VM."""
        return self.table.rows[self.vm_id]

    def merge(
        self, peer: str, message: Ping | Ack | Gossip, now: float
    ) -> list[Action]:
        """Takes over the gossip in a message where it is newer."""
        actions: list[Action] = []
        if message.records or message.verdicts:
            trusted = self.is_trusted(peer, now)
            for item in (*message.records, *message.verdicts):
                if trusted or item.state not in ACCUSATIONS:
                    actions += self.merge_item(peer, item, now)
        return actions

    def merge_item(
        self, peer: str, item: GossipItem, now: float
    ) -> list[Action]:
        """Takes over a record or verdict if it is newer."""
        if item.vm_id == self.vm_id:
            return self.merge_self(item, now)
        known = self.table.get(item.vm_id)
        if isinstance(item, MemberRecord):
            member = build_member(item)
        elif known is None or known.incarnation != item.incarnation:
            return []
        else:
            member = dataclasses.replace(
                known, state=item.state, round=item.round
            )
        if known is None:
            return self.adopt(member, now) if member.present else []
        return self.merge_member(peer, known, member, now)

    def merge_member(
        self, peer: str, known: Member, member: Member, now: float
    ) -> list[Action]:
        """Takes over the newer of two records of a VM."""
        if member.order == known.order:
            return []
        alive = MemberState.ALIVE
        if member.order < known.order:
            return self.settle_difference(peer, known, member, now)
        if member.state == MemberState.FAILED and known.state == alive:
            self.prober.add_urgent(known.vm_id)
            return []
        if known.present and member.present:
            member = dataclasses.replace(member, reach=known.reach)
        else:
            reach = Reach.DIRECT if member.present else Reach.NONE
            member = dataclasses.replace(member, reach=reach)
        same = known.incarnation == member.incarnation
        if same and known.state == member.state == alive:
            self.table.put(member)
            return []
        return self.adopt(member, now)

    def settle_difference(
        self, peer: str, known: Member, member: Member, now: float
    ) -> list[Action]:
        """Handles an older record that contradicts the known one.

        A member that one VM holds for failed and another one for alive is
        probed, unless the peer's word is enough.
        """
        if member.incarnation != known.incarnation:
            return []
        if known.state == MemberState.FAILED and member.present:
            if self.vouches(peer, known.vm_id, now):
                return self.take_back(known, now)
            self.prober.add_urgent(known.vm_id)
        elif known.state == MemberState.ALIVE and not member.present:
            self.prober.add_urgent(known.vm_id)
        return []

    def merge_self(self, item: GossipItem, now: float) -> list[Action]:
        """Refutes a newer record of this VM by a greater incarnation."""
        if item.incarnation > self.me.incarnation or (
            item.incarnation == self.me.incarnation
            and item.state != MemberState.ALIVE
        ):
            return self.refute(item.incarnation, now)
        return []

    def is_trusted(self, peer: str, now: float) -> bool:
        """Whether a peer's accusations count.

        Those of a peer that was absent until a moment ago do not: it may
        have been on the other side of a partition.
        """
        member = self.table.get(peer)
        if member is None or member.state == MemberState.FAILED:
            return False
        absence = self.absences.get(peer)
        return absence is None or now - absence.ended_at > DISTRUST_SECONDS

    def vouches(self, peer: str, subject: str, now: float) -> bool:
        """Whether a peer's word that a failed member runs is taken.

        It is when the peer has just come back from an absence during which
        the member failed: both were on the other side of a partition, and the
        peer has seen the member since.
        """
        absence = self.absences.get(peer)
        return (
            absence is not None
            and now - absence.ended_at <= DISTRUST_SECONDS
            and self.absent_since[subject]
            >= absence.started_at - DETECTION_SPREAD_SECONDS
        )

    def take_back(self, member: Member, now: float) -> list[Action]:
        """Takes a failed member back that runs after all."""
        self.prober.healing_until = now + HEALING_SECONDS
        alive = dataclasses.replace(
            member,
            state=MemberState.ALIVE,
            round=member.round + 1,
            reach=Reach.DIRECT,
        )
        return self.adopt(alive, now)

    def set_reach(self, member: Member, reach: Reach) -> list[Action]:
        """Stores how this VM reaches a member."""
        if member.reach == reach:
            return []
        member = dataclasses.replace(member, reach=reach)
        self.table.put(member)
        return [MemberChanged(member=member)]

    def refute(self, incarnation: int, now: float) -> list[Action]:
        """Raises this VM's incarnation above an accusation."""
        if self.me.state == MemberState.LEFT:
            return []
        member = dataclasses.replace(
            self.me, incarnation=max(incarnation, self.me.incarnation)
        )
        return self.state_self(member, now)

    def state_self(self, member: Member, now: float) -> list[Action]:
        """Stores and gossips a new statement of this VM about itself."""
        member = dataclasses.replace(member, incarnation=member.incarnation + 1)
        self.table.put(member)
        self.enqueue(build_record(member))
        self.last_change = now
        return [MemberChanged(member=member)]

    def adopt(self, member: Member, now: float) -> list[Action]:
        """Stores a newer record, passes it on and tells the host."""
        vm_id = member.vm_id
        known = self.table.get(vm_id)
        if known is not None and not known.present and member.present:
            self.absences[vm_id] = Absence(
                started_at=self.absent_since[vm_id], ended_at=now
            )
        self.suspected_at.pop(vm_id, None)
        if member.state == MemberState.SUSPECT:
            self.suspected_at[vm_id] = now
        else:
            self.prober.forget(vm_id)
        if member.present:
            self.absent_since.pop(vm_id, None)
        else:
            self.absent_since[vm_id] = now
        self.table.put(member)
        same = known is not None and known.incarnation == member.incarnation
        self.enqueue(build_verdict(member) if same else build_record(member))
        self.last_change = now
        return [MemberChanged(member=member)]

    def enqueue(self, item: GossipItem) -> None:
        """Queues an item for members near and far.

        The members of a data centre that was cut off need the same news. With
        one queue its transmissions would go to the other side, which has far
        more members and does not need it.
        """
        self.queue.put(item)
        self.near_queue.put(item)

    def end_suspicions(self, now: float) -> list[Action]:
        """Declares suspects failed that did not refute in time."""
        actions: list[Action] = []
        for vm_id, since in list(self.suspected_at.items()):
            if now - since < SUSPICION_SECONDS:
                break
            if now < self.prober.healing_until:
                # The suspicion may stem from the partition; ask once more.
                self.suspected_at[vm_id] = now
                self.prober.add_urgent(vm_id)
                continue
            failed = dataclasses.replace(
                self.table.rows[vm_id],
                state=MemberState.FAILED,
                reach=Reach.NONE,
            )
            actions += self.adopt(failed, now)
        return actions

    def restart_suspicions(self, now: float) -> None:
        """Gives all suspects their whole time again."""
        self.suspected_at = dict.fromkeys(self.suspected_at, now)

    def clean_up(self, now: float) -> None:
        """Forgets members that have been absent for long."""
        self.absences = {
            vm_id: absence
            for vm_id, absence in self.absences.items()
            if now - absence.ended_at <= DISTRUST_SECONDS
        }
        excess = len(self.absent_since) - MAX_ABSENT_MEMBERS
        for vm_id, since in list(self.absent_since.items()):
            left = self.table.rows[vm_id].state == MemberState.LEFT
            keep = LEFT_MEMORY_SECONDS if left else FAILED_MEMORY_SECONDS
            if now - since >= keep or excess > 0:
                excess -= 1
                del self.absent_since[vm_id]
                self.queue.discard(vm_id)
                self.near_queue.discard(vm_id)
                self.table.remove(vm_id)
