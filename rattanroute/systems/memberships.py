"""Membership by gossip, after SWIM, over long-lived streams.

Each VM probes one member per period, asks others to probe a member that does
not answer, and passes records on by gossip. A member that fails two probes in
succession becomes suspect, and failed unless it refutes this by a greater
incarnation, which only the VM itself may raise.

A record that calls a VM failed is not adopted while this VM holds it as
alive; the VM is probed instead, and the probe carries the accusation. This
keeps the two sides of a healed partition from failing each other's members:
each accused VM raises its incarnation and both sides take it back.

Traffic per second is bounded by constants here and in `systems/probes.py`
and `systems/synchronisations.py`, and does not depend on the number of
members.
"""

import dataclasses
from random import Random

from rattanroute.actions import Action
from rattanroute.actions import MemberChanged
from rattanroute.actions import SendMessage
from rattanroute.messages.memberships import Ack
from rattanroute.messages.memberships import Gossip
from rattanroute.messages.memberships import MemberRecord
from rattanroute.messages.memberships import Ping
from rattanroute.messages.memberships import PingRequest
from rattanroute.messages.memberships import SyncPiece
from rattanroute.messages.memberships import SyncRequest
from rattanroute.systems.gossips import build_member
from rattanroute.systems.gossips import build_record
from rattanroute.systems.gossips import GOSSIP_FANOUT
from rattanroute.systems.gossips import GOSSIP_MESSAGE_BYTES
from rattanroute.systems.gossips import GOSSIP_PERIOD_SECONDS
from rattanroute.systems.gossips import GossipQueue
from rattanroute.systems.gossips import PIGGYBACK_BYTES
from rattanroute.systems.probes import HEALING_SECONDS
from rattanroute.systems.probes import PingOrder
from rattanroute.systems.probes import Prober
from rattanroute.systems.probes import ProbeResult
from rattanroute.systems.synchronisations import MemberSync
from rattanroute.tables.members import Member
from rattanroute.tables.members import MemberState
from rattanroute.tables.members import MemberTable
from rattanroute.tables.members import Reach

# Time for a refutation to reach all VMs before a suspect counts as failed.
SUSPICION_SECONDS = 3.0
SYNC_PERIOD_SECONDS = 2.0
# Digests differ while gossip is on its way; a sync waits until the table has
# been quiet for this time.
SYNC_QUIET_SECONDS = 1.0
# A request or its answer may be lost; linked peers that are still unknown
# are asked again after this time.
INTRODUCTION_SECONDS = 0.5
# A pause this long between two ticks means that this VM was frozen, and that
# the answers it missed say nothing about others.
FREEZE_SECONDS = 1.0
# An hour without contact between regions is expected; failed members are
# tried for longer than that.
FAILED_MEMORY_SECONDS = 6 * 3600.0
LEFT_MEMORY_SECONDS = 600.0
MAX_ABSENT_MEMBERS = 2_000
CLEANUP_PERIOD_SECONDS = 10.0
LEAVE_FANOUT = 8


class MembershipSystem:
    """The members of the cluster as this VM sees them.

    Attributes:
        vm_id: This VM.
        table: All known members, with this VM.
        joined: Whether this VM has been in contact with another one, or is
            its own only seed.
    """

    message_types: tuple[type, ...] = (
        Ping,
        Ack,
        PingRequest,
        Gossip,
        SyncRequest,
        SyncPiece,
    )

    def __init__(
        self,
        *,
        vm_id: str,
        address: str,
        data_centre: str,
        region: str,
        voter: bool,
        incarnation: int,
        random: Random,
        seeds: tuple[str, ...] = (),
    ) -> None:
        """Initialises the view with this VM as the only member.

        Args:
            vm_id: This VM.
            address: Peer address of this VM.
            data_centre: Data centre of this VM.
            region: Region of this VM.
            voter: Whether this VM takes part in the configuration log.
            incarnation: Wall clock at the start, in milliseconds; each start
                must have a greater one than all statements of the last run.
            random: Source of all random choices.
            seeds: Peer addresses of the seeds.
        """
        self.vm_id = vm_id
        self.table = MemberTable()
        self.table.put(
            Member(
                vm_id=vm_id,
                address=address,
                data_centre=data_centre,
                region=region,
                voter=voter,
                incarnation=incarnation,
            )
        )
        self.joined = all(seed == address for seed in seeds)
        self.queue = GossipQueue()
        self.queue.put(build_record(self.me))
        self.prober = Prober(vm_id=vm_id, table=self.table, random=random)
        self.sync = MemberSync(table=self.table, random=random)
        self.random = random
        self.suspected_at: dict[str, float] = {}
        self.absent_since: dict[str, float] = {}
        self.unknown_links: set[str] = set()
        self.last_tick = 0.0
        self.last_change = 0.0
        self.next_gossip = 0.0
        self.next_sync = 0.0
        self.next_introduction = 0.0
        self.next_cleanup = 0.0

    # Interface for the host.

    @property
    def me(self) -> Member:
        """The record of this VM."""
        return self.table.rows[self.vm_id]

    def alive(self) -> list[Member]:
        """Returns the members that count as running, with this VM."""
        return self.table.present()

    def get(self, vm_id: str) -> Member | None:
        """Returns a member in any state, or None when it is not known."""
        return self.table.get(vm_id)

    def set_status(
        self, *, ready: bool, draining: bool, now: float
    ) -> list[Action]:
        """States whether this VM serves requests and whether it is stopping."""
        if (self.me.ready, self.me.draining) == (ready, draining):
            return []
        return self.state_self(
            dataclasses.replace(self.me, ready=ready, draining=draining), now
        )

    def leave(self, now: float) -> list[Action]:
        """Leaves the cluster as planned and tells several members at once."""
        member = dataclasses.replace(
            self.me, state=MemberState.LEFT, ready=False, draining=True
        )
        actions = self.state_self(member, now)
        message = Gossip(records=(build_record(self.me),))
        for peer in self.prober.choose_peers(LEAVE_FANOUT):
            actions.append(SendMessage(peer=peer, message=message))
        return actions

    def host_connected(self, *, peer: str, now: float) -> list[Action]:
        """Takes the hint that a link to a peer is open."""
        if peer == self.vm_id:
            return []
        member = self.table.get(peer)
        if member is None:
            self.unknown_links.add(peer)
            return [self.request_sync(peer)]
        if member.state == MemberState.ALIVE:
            return []
        return self.send_ping(self.prober.order_ping(peer), now)

    def host_disconnected(self, *, peer: str, now: float) -> list[Action]:
        """Takes the hint that the link to a peer closed."""
        self.unknown_links.discard(peer)
        self.prober.add_urgent(peer)
        return []

    # Subsystem.

    def receive(
        self, *, peer: str, message: object, now: float
    ) -> list[Action]:
        """Handles a message of another member."""
        self.joined = True
        actions: list[Action] = []
        if self.table.get(peer) is None:
            actions.append(self.request_sync(peer))
        if isinstance(message, Ping):
            actions += self.on_ping(peer, message, now)
        elif isinstance(message, Ack):
            actions += self.on_ack(peer, message, now)
        elif isinstance(message, PingRequest):
            actions += self.on_ping_request(peer, message, now)
        elif isinstance(message, Gossip):
            actions += self.merge(message.records, now)
        elif isinstance(message, SyncRequest):
            piece = self.sync.build_piece(message, now)
            if piece is not None:
                actions.append(SendMessage(peer=peer, message=piece))
        elif isinstance(message, SyncPiece):
            actions += self.on_sync_piece(peer, message, now)
        return actions

    def tick(self, *, now: float) -> list[Action]:
        """Probes, passes records on and ends suspicions that are due."""
        if now - self.last_tick > FREEZE_SECONDS:
            self.prober.forget_missed_answers(now)
            self.suspected_at = dict.fromkeys(self.suspected_at, now)
        self.last_tick = now
        if self.me.state == MemberState.LEFT:
            return self.send_gossip(now)
        actions = self.introduce(now)
        orders, results = self.prober.advance(now)
        for result in results:
            actions += self.on_probe_result(result, now)
        actions += self.end_suspicions(now)
        orders += self.prober.start_probes(now)
        subject = self.prober.choose_reconnect(self.absent_since, now)
        if subject:
            orders.append(self.prober.order_ping(subject))
        for order in orders:
            actions += self.send_ping(order, now)
        actions += self.send_gossip(now)
        if now >= self.next_cleanup:
            self.next_cleanup = now + CLEANUP_PERIOD_SECONDS
            self.clean_up(now)
        return actions

    # Probes.

    def send_ping(self, order: PingOrder, now: float) -> list[Action]:
        """Builds a ping that tells the subject what it is accused of."""
        member = self.table.get(order.subject)
        accused = -1
        if member is not None and member.state in (
            MemberState.SUSPECT,
            MemberState.FAILED,
        ):
            accused = member.incarnation
        ping = Ping(
            sequence=order.sequence,
            digest=self.table.digest,
            accused=accused,
            records=self.take_records(PIGGYBACK_BYTES, now),
        )
        request = PingRequest(sequence=order.sequence, subject=order.subject)
        return [
            SendMessage(peer=order.subject, message=ping),
            *(
                SendMessage(peer=helper, message=request)
                for helper in order.helpers
            ),
        ]

    def on_probe_result(self, result: ProbeResult, now: float) -> list[Action]:
        """Takes the conclusion of a probe without a direct answer."""
        member = self.table.get(result.subject)
        if member is None or not member.present:
            return []
        reach = Reach.INDIRECT if result.indirect else Reach.NONE
        actions = self.set_reach(member, reach)
        if result.suspicious and member.state == MemberState.ALIVE:
            suspect = dataclasses.replace(
                member, state=MemberState.SUSPECT, reach=reach
            )
            actions += self.adopt(suspect, now)
        return actions

    def set_reach(self, member: Member, reach: Reach) -> list[Action]:
        """Stores how this VM reaches a member."""
        if member.reach == reach:
            return []
        member = dataclasses.replace(member, reach=reach)
        self.table.put(member)
        return [MemberChanged(member=member)]

    def on_ping(self, peer: str, message: Ping, now: float) -> list[Action]:
        """Answers a ping and refutes its accusation."""
        actions = self.merge(message.records, now)
        own: tuple[MemberRecord, ...] = ()
        if message.accused >= 0:
            if message.accused >= self.me.incarnation:
                actions += self.refute(message.accused, now)
            own = (build_record(self.me),)
        ack = Ack(
            sequence=message.sequence,
            subject=self.vm_id,
            digest=self.table.digest,
            records=own + self.take_records(PIGGYBACK_BYTES, now),
        )
        actions.append(SendMessage(peer=peer, message=ack))
        return actions + self.compare_digest(peer, message.digest, now)

    def on_ack(self, peer: str, message: Ack, now: float) -> list[Action]:
        """Ends the probe of a member, or forwards its answer."""
        actions = self.merge(message.records, now)
        if message.subject != peer:
            self.prober.on_forwarded_answer(message.subject, message.sequence)
            return actions
        relay = self.prober.on_answer(peer, message.sequence)
        if relay is not None:
            forwarded = Ack(
                sequence=relay.sequence,
                subject=peer,
                digest=self.table.digest,
                records=message.records[:1],
            )
            actions.append(SendMessage(peer=relay.requester, message=forwarded))
        member = self.table.get(peer)
        if member is not None and member.present:
            actions += self.set_reach(member, Reach.DIRECT)
        return actions + self.compare_digest(peer, message.digest, now)

    def on_ping_request(
        self, peer: str, message: PingRequest, now: float
    ) -> list[Action]:
        """Pings a member on behalf of another one."""
        if self.table.get(message.subject) is None:
            return []
        number = self.prober.start_relay(peer, message.sequence, now)
        order = PingOrder(subject=message.subject, sequence=number)
        return self.send_ping(order, now)

    def end_suspicions(self, now: float) -> list[Action]:
        """Declares suspects failed that did not refute in time."""
        actions: list[Action] = []
        for vm_id, since in list(self.suspected_at.items()):
            if now - since < SUSPICION_SECONDS:
                break
            failed = dataclasses.replace(
                self.table.rows[vm_id],
                state=MemberState.FAILED,
                reach=Reach.NONE,
            )
            actions += self.adopt(failed, now)
        return actions

    # Gossip.

    def merge(
        self, records: tuple[MemberRecord, ...], now: float
    ) -> list[Action]:
        """Takes over the records that are newer than the known ones."""
        actions: list[Action] = []
        for record in records:
            if record.vm_id == self.vm_id:
                actions += self.merge_self(record, now)
            else:
                actions += self.merge_other(record, now)
        return actions

    def merge_other(self, record: MemberRecord, now: float) -> list[Action]:
        """Takes over a record of another VM if it is newer."""
        known = self.table.get(record.vm_id)
        if known is None:
            member = build_member(record)
            return self.adopt(member, now) if member.present else []
        old = (known.incarnation, known.state)
        new = (record.incarnation, record.state)
        if new == old:
            return []
        if new < old:
            if (
                known.state == MemberState.FAILED
                and record.incarnation == known.incarnation
            ):
                self.prober.add_urgent(known.vm_id)
            return []
        if (
            record.state == MemberState.FAILED
            and known.state == MemberState.ALIVE
        ):
            self.prober.add_urgent(known.vm_id)
            return []
        member = build_member(record)
        if known.present and member.present:
            member = dataclasses.replace(member, reach=known.reach)
        elif not member.present:
            member = dataclasses.replace(member, reach=Reach.NONE)
        return self.adopt(member, now)

    def merge_self(self, record: MemberRecord, now: float) -> list[Action]:
        """Refutes a record that calls this VM suspect, failed or left."""
        if record.incarnation > self.me.incarnation or (
            record.incarnation == self.me.incarnation
            and record.state != MemberState.ALIVE
        ):
            return self.refute(record.incarnation, now)
        return []

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
        self.queue.put(build_record(member))
        self.last_change = now
        return [MemberChanged(member=member)]

    def adopt(self, member: Member, now: float) -> list[Action]:
        """Stores a newer record, passes it on and tells the host."""
        vm_id = member.vm_id
        known = self.table.get(vm_id)
        if known is not None and known.state == MemberState.FAILED:
            self.prober.healing_until = now + HEALING_SECONDS
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
        self.queue.put(build_record(member))
        self.last_change = now
        return [MemberChanged(member=member)]

    def take_records(
        self, max_bytes: float, now: float
    ) -> tuple[MemberRecord, ...]:
        """Takes queued records for one message."""
        members = len(self.table.present_ids)
        return self.queue.take(max_bytes=max_bytes, members=members, now=now)

    def send_gossip(self, now: float) -> list[Action]:
        """Sends queued records to a few random members."""
        if now < self.next_gossip or not self.queue.level_of:
            return []
        self.next_gossip = now + GOSSIP_PERIOD_SECONDS
        actions: list[Action] = []
        for peer in self.prober.choose_peers(GOSSIP_FANOUT):
            records = self.take_records(GOSSIP_MESSAGE_BYTES, now)
            if records:
                message = Gossip(records=records)
                actions.append(SendMessage(peer=peer, message=message))
        return actions

    # Full state.

    def introduce(self, now: float) -> list[Action]:
        """Asks peers again that are linked but not known yet."""
        if not self.unknown_links or now < self.next_introduction:
            return []
        self.next_introduction = now + INTRODUCTION_SECONDS
        self.unknown_links -= self.table.rows.keys()
        return [self.request_sync(peer) for peer in sorted(self.unknown_links)]

    def request_sync(self, peer: str) -> SendMessage:
        """Asks a peer for the records that differ."""
        return SendMessage(peer=peer, message=self.sync.build_request())

    def compare_digest(
        self, peer: str, digest: int, now: float
    ) -> list[Action]:
        """Asks for a sync when the tables stay different."""
        if digest == self.table.digest or now < self.next_sync:
            return []
        quiet = now - self.last_change >= SYNC_QUIET_SECONDS
        if not quiet and now >= self.prober.healing_until:
            return []
        jitter = self.random.uniform(0.75, 1.25)
        self.next_sync = now + SYNC_PERIOD_SECONDS * jitter
        return [self.request_sync(peer)]

    def on_sync_piece(
        self, peer: str, message: SyncPiece, now: float
    ) -> list[Action]:
        """Merges a piece, returns newer records and asks for the rest."""
        newer = self.sync.find_newer(message)
        actions = self.merge(message.records, now)
        if newer:
            reply = Gossip(records=newer)
            actions.append(SendMessage(peer=peer, message=reply))
        if message.more:
            actions.append(self.request_sync(peer))
        return actions

    def clean_up(self, now: float) -> None:
        """Forgets members that have been absent for long."""
        self.prober.clean_up(now)
        excess = len(self.absent_since) - MAX_ABSENT_MEMBERS
        for vm_id, since in list(self.absent_since.items()):
            left = self.table.rows[vm_id].state == MemberState.LEFT
            keep = LEFT_MEMORY_SECONDS if left else FAILED_MEMORY_SECONDS
            if now - since >= keep or excess > 0:
                excess -= 1
                del self.absent_since[vm_id]
                self.queue.discard(vm_id)
                self.table.remove(vm_id)
