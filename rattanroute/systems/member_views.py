"""This VM's view of the members, and the rules for merging gossip."""

import dataclasses

from rattanroute.actions import Action
from rattanroute.actions import MemberChanged
from rattanroute.messages.memberships import Ack
from rattanroute.messages.memberships import Gossip
from rattanroute.messages.memberships import GossipItem
from rattanroute.messages.memberships import MemberRecord
from rattanroute.messages.memberships import Ping
from rattanroute.systems.gossip_queues import build_member
from rattanroute.systems.gossip_queues import build_record
from rattanroute.systems.gossip_queues import build_verdict
from rattanroute.systems.gossip_queues import GossipQueue
from rattanroute.systems.probers import HEALING_SECONDS
from rattanroute.systems.probers import MemberProber
from rattanroute.tables.members import Member
from rattanroute.tables.members import MemberState
from rattanroute.tables.members import MemberTable
from rattanroute.tables.members import Reach

# Time from suspicion to failure, in which a refutation can reach all VMs.
SUSPICION_SECONDS = 3.0
# After a partition heals, the sides stop reporting each other's members as
# suspect or failed within this time.
REJOIN_GRACE_SECONDS = 10.0
# After a partition starts, all members on the other side are detected as
# failed within this time, one after the other.
DETECTION_SPREAD_SECONDS = 60.0
# An hour without contact between regions is expected, so failed members are
# kept and retried for longer than that.
FAILED_RETENTION_SECONDS = 6 * 3600.0
LEFT_RETENTION_SECONDS = 600.0
MAX_ABSENT_MEMBERS = 2_000
# States whose reports count only from trusted peers.
ACCUSATION_STATES = (MemberState.SUSPECT, MemberState.FAILED)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Absence:
    """Past period in which a now present member counted as absent."""

    started_at: float
    ended_at: float


class MemberView:
    """The members of the cluster as this VM sees them.

    Attributes:
        vm_id: This VM.
        table: All known members, including this VM.
        prober: Probes members about which VMs disagree.
        queue: Gossip for members in any data centre.
        local_queue: Gossip for members in this data centre.
        suspected_at: Time since when each suspect is suspected, oldest first.
        absent_since: Time since when each absent member has failed or left.
        recent_absences: Last absence of each member that returned recently.
        last_change: Time of the last change of a record.
    """

    def __init__(
        self, *, own_record: Member, table: MemberTable, prober: MemberProber
    ):
        """Initialises with this VM as the only member."""
        self.vm_id = own_record.vm_id
        self.table = table
        self.table.put(own_record)
        self.prober = prober
        self.queue = GossipQueue()
        self.local_queue = GossipQueue()
        self.suspected_at: dict[str, float] = {}
        self.absent_since: dict[str, float] = {}
        self.recent_absences: dict[str, Absence] = {}
        self.last_change = 0.0
        self.enqueue(build_record(own_record))

    @property
    def own_record(self) -> Member:
        """The record of this VM."""
        return self.table.rows[self.vm_id]

    def merge(
        self, peer: str, message: Ping | Ack | Gossip, now: float
    ) -> list[Action]:
        """Merges the gossip in a message into this view."""
        actions: list[Action] = []
        if message.records or message.verdicts:
            trusted = self.is_trusted(peer, now)
            for item in (*message.records, *message.verdicts):
                if trusted or item.state not in ACCUSATION_STATES:
                    actions += self.merge_item(peer, item, now)
        return actions

    def merge_item(
        self, peer: str, item: GossipItem, now: float
    ) -> list[Action]:
        """Merges a record or verdict if it is newer than the known record."""
        if item.vm_id == self.vm_id:
            return self.merge_own_record(item, now)
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
            return self.apply_record(member, now) if member.present else []
        return self.merge_member(peer, known, member, now)

    def merge_member(
        self, peer: str, known: Member, member: Member, now: float
    ) -> list[Action]:
        """Stores a record of a known member if it is newer."""
        if member.order == known.order:
            return []
        alive = MemberState.ALIVE
        if member.order < known.order:
            return self.resolve_conflict(peer, known, member, now)
        if member.state == MemberState.FAILED and known.state == alive:
            self.prober.add_urgent(known.vm_id)
            return []
        if known.present and member.present:
            member = dataclasses.replace(member, reach=known.reach)
        else:
            reach = Reach.DIRECT if member.present else Reach.NONE
            member = dataclasses.replace(member, reach=reach)
        same_incarnation = known.incarnation == member.incarnation
        if same_incarnation and known.state == member.state == alive:
            self.table.put(member)
            return []
        return self.apply_record(member, now)

    def resolve_conflict(
        self, peer: str, known: Member, member: Member, now: float
    ) -> list[Action]:
        """Handles an older record that contradicts the known one.

        A member that one VM considers failed and another one alive is probed,
        unless the peer's report is sufficient evidence.
        """
        if member.incarnation != known.incarnation:
            return []
        if known.state == MemberState.FAILED and member.present:
            if self.accepts_alive_report(peer, known.vm_id, now):
                return self.reinstate(known, now)
            self.prober.add_urgent(known.vm_id)
        elif known.state == MemberState.ALIVE and not member.present:
            self.prober.add_urgent(known.vm_id)
        return []

    def merge_own_record(self, item: GossipItem, now: float) -> list[Action]:
        """Refutes a newer record of this VM with a greater incarnation."""
        if item.incarnation > self.own_record.incarnation or (
            item.incarnation == self.own_record.incarnation
            and item.state != MemberState.ALIVE
        ):
            return self.refute(item.incarnation, now)
        return []

    def is_trusted(self, peer: str, now: float) -> bool:
        """Whether a peer's reports of suspect or failed members count.

        Those of a failed, unknown or recently returned peer do not: it may
        have been on the other side of a partition.
        """
        member = self.table.get(peer)
        if member is None or member.state == MemberState.FAILED:
            return False
        absence = self.recent_absences.get(peer)
        return absence is None or now - absence.ended_at > REJOIN_GRACE_SECONDS

    def accepts_alive_report(self, peer: str, subject: str, now: float) -> bool:
        """Whether a peer's report that a failed member is alive is accepted.

        It is if the peer has just returned from an absence during which the
        member failed: both were on the other side of a partition, where the
        peer could see the member.
        """
        absence = self.recent_absences.get(peer)
        return (
            absence is not None
            and now - absence.ended_at <= REJOIN_GRACE_SECONDS
            and self.absent_since[subject]
            >= absence.started_at - DETECTION_SPREAD_SECONDS
        )

    def reinstate(self, member: Member, now: float) -> list[Action]:
        """Marks a failed member as alive again and raises its round."""
        self.prober.healing_until = now + HEALING_SECONDS
        alive = dataclasses.replace(
            member,
            state=MemberState.ALIVE,
            round=member.round + 1,
            reach=Reach.DIRECT,
        )
        return self.apply_record(alive, now)

    def set_reach(self, member: Member, reach: Reach) -> list[Action]:
        """Stores how this VM reaches a member and reports a change."""
        if member.reach == reach:
            return []
        member = dataclasses.replace(member, reach=reach)
        self.table.put(member)
        return [MemberChanged(member=member)]

    def refute(self, incarnation: int, now: float) -> list[Action]:
        """Refutes an accusation with a greater incarnation of this VM."""
        if self.own_record.state == MemberState.LEFT:
            return []
        member = dataclasses.replace(
            self.own_record,
            incarnation=max(incarnation, self.own_record.incarnation),
        )
        return self.update_own_record(member, now)

    def update_own_record(self, member: Member, now: float) -> list[Action]:
        """Stores and gossips a new record of this VM, one incarnation up."""
        member = dataclasses.replace(member, incarnation=member.incarnation + 1)
        self.table.put(member)
        self.enqueue(build_record(member))
        self.last_change = now
        return [MemberChanged(member=member)]

    def apply_record(self, member: Member, now: float) -> list[Action]:
        """Stores a newer record, gossips it and reports it to the host."""
        vm_id = member.vm_id
        known = self.table.get(vm_id)
        if known is not None and not known.present and member.present:
            self.recent_absences[vm_id] = Absence(
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
        same_incarnation = (
            known is not None and known.incarnation == member.incarnation
        )
        self.enqueue(
            build_verdict(member) if same_incarnation else build_record(member)
        )
        self.last_change = now
        return [MemberChanged(member=member)]

    def enqueue(self, item: GossipItem) -> None:
        """Queues an item for the own data centre and for all members.

        After a partition heals, the members of the data centre that was cut
        off need the same records. With a single queue, most transmissions would
        go to the other side, which has far more members and does not need them.
        """
        self.queue.put(item)
        self.local_queue.put(item)

    def expire_suspicions(self, now: float) -> list[Action]:
        """Marks suspects as failed that have not refuted in time."""
        actions: list[Action] = []
        for vm_id, since in list(self.suspected_at.items()):
            if now - since < SUSPICION_SECONDS:
                break
            if now < self.prober.healing_until:
                # The partition may have caused the suspicion; probe again.
                self.suspected_at[vm_id] = now
                self.prober.add_urgent(vm_id)
                continue
            failed = dataclasses.replace(
                self.table.rows[vm_id],
                state=MemberState.FAILED,
                reach=Reach.NONE,
            )
            actions += self.apply_record(failed, now)
        return actions

    def restart_suspicions(self, now: float) -> None:
        """Restarts the time that each suspect has for its refutation."""
        self.suspected_at = dict.fromkeys(self.suspected_at, now)

    def clean_up(self, now: float) -> None:
        """Removes members that have been absent for a long time."""
        self.recent_absences = {
            vm_id: absence
            for vm_id, absence in self.recent_absences.items()
            if now - absence.ended_at <= REJOIN_GRACE_SECONDS
        }
        excess = len(self.absent_since) - MAX_ABSENT_MEMBERS
        for vm_id, since in list(self.absent_since.items()):
            left = self.table.rows[vm_id].state == MemberState.LEFT
            retention = (
                LEFT_RETENTION_SECONDS if left else FAILED_RETENTION_SECONDS
            )
            if now - since >= retention or excess > 0:
                excess -= 1
                del self.absent_since[vm_id]
                self.queue.discard(vm_id)
                self.local_queue.discard(vm_id)
                self.table.remove(vm_id)
