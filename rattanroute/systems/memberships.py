"""Membership by gossip, after SWIM, over long-lived streams.

Each VM probes one member per period, asks others to probe a member that does
not answer, and passes records on by gossip. A member that fails two probes in
succession becomes suspect, and failed unless it refutes this by a greater
incarnation, which only the VM itself may raise.

After a partition each side holds the other one's members for failed, and
must neither fail its own members on the word of the other side nor flood all
members with refutations. Therefore:
- a verdict "failed" is not adopted while this VM holds the member for alive;
  the member is probed instead;
- accusations by a VM that was itself absent until a moment ago are ignored;
- a VM takes a failed member back when the member answers a ping, or when a
  peer that itself has just come back from the same absence has it, without a
  new incarnation: it raises the member's round. Members that hold it for
  alive anyway store the round and do not pass it on.

Traffic per second is bounded by constants here and in `systems/probes.py`
and `systems/synchronisations.py`, and does not depend on the number of
members.
"""

import dataclasses
from random import Random

from rattanroute.actions import Action
from rattanroute.actions import SendMessage
from rattanroute.messages.memberships import Ack
from rattanroute.messages.memberships import Gossip
from rattanroute.messages.memberships import MemberRecord
from rattanroute.messages.memberships import Ping
from rattanroute.messages.memberships import PingRequest
from rattanroute.messages.memberships import SyncPiece
from rattanroute.messages.memberships import SyncRequest
from rattanroute.systems.gossips import build_record
from rattanroute.systems.gossips import GOSSIP_MESSAGE_BYTES
from rattanroute.systems.gossips import GOSSIP_PERIOD_SECONDS
from rattanroute.systems.gossips import Payload
from rattanroute.systems.gossips import PIGGYBACK_BYTES
from rattanroute.systems.member_views import MemberView
from rattanroute.systems.partners import PartnerChoice
from rattanroute.systems.probes import PingOrder
from rattanroute.systems.probes import Prober
from rattanroute.systems.probes import ProbeResult
from rattanroute.systems.synchronisations import MemberSync
from rattanroute.tables.members import Member
from rattanroute.tables.members import MemberState
from rattanroute.tables.members import MemberTable
from rattanroute.tables.members import Reach

SYNC_PERIOD_SECONDS = 2.0
HEALING_SYNC_PERIOD_SECONDS = 0.25
# Digests differ while gossip is on its way; a sync waits until the table has
# been quiet for this time.
SYNC_QUIET_SECONDS = 1.0
# A request or its answer may be lost; linked peers that are still unknown
# are asked again after this time.
INTRODUCTION_SECONDS = 0.5
# A pause this long between two ticks means that this VM was frozen, and that
# the answers it missed say nothing about others.
FREEZE_SECONDS = 1.0
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
        neighbours: int = 0,
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
            neighbours: Partners on the ring, beside the voters; 0 when all
                members are partners.
        """
        me = Member(
            vm_id=vm_id,
            address=address,
            data_centre=data_centre,
            region=region,
            voter=voter,
            incarnation=incarnation,
        )
        self.vm_id = vm_id
        self.table = MemberTable()
        self.partners = PartnerChoice(
            vm_id=vm_id,
            data_centre=data_centre,
            voter=voter,
            table=self.table,
            neighbours=neighbours,
        )
        self.prober = Prober(
            vm_id=vm_id,
            table=self.table,
            partners=self.partners,
            random=random,
        )
        self.view = MemberView(me=me, table=self.table, prober=self.prober)
        self.sync = MemberSync(table=self.table, random=random)
        self.joined = all(seed == address for seed in seeds)
        self.random = random
        self.unknown_links: set[str] = set()
        self.last_tick = 0.0
        self.next_gossip = 0.0
        self.next_sync = 0.0
        self.next_introduction = 0.0
        self.next_cleanup = 0.0

    # Interface for the host.

    @property
    def me(self) -> Member:
        """The record of this VM."""
        return self.view.me

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
        return self.view.state_self(
            dataclasses.replace(self.me, ready=ready, draining=draining), now
        )

    def leave(self, now: float) -> list[Action]:
        """Leaves the cluster as planned and tells several members at once."""
        member = dataclasses.replace(
            self.me, state=MemberState.LEFT, ready=False, draining=True
        )
        actions = self.view.state_self(member, now)
        message = Gossip(records=(build_record(self.me),))
        for peer in self.prober.choose_peers(LEAVE_FANOUT):
            actions.append(SendMessage(peer=peer, message=message))
        return actions

    def host_connected(self, peer: str, now: float) -> list[Action]:
        """Takes the hint that a link to a peer is open."""
        if peer == self.vm_id:
            return []
        member = self.table.get(peer)
        if member is None:
            self.unknown_links.add(peer)
            return self.request_sync(peer, now)
        if member.state == MemberState.ALIVE:
            return []
        return self.send_ping(self.prober.order_ping(peer), now)

    def host_disconnected(self, peer: str, now: float) -> list[Action]:
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
        member = self.table.get(peer)
        if member is not None and member.state == MemberState.FAILED:
            self.prober.add_urgent(peer)
        if member is None and not isinstance(message, SyncRequest):
            actions += self.request_sync(peer, now)
        if isinstance(message, Ping):
            actions += self.on_ping(peer, message, now)
        elif isinstance(message, Ack):
            actions += self.on_ack(peer, message, now)
        elif isinstance(message, PingRequest):
            actions += self.on_ping_request(peer, message, now)
        elif isinstance(message, Gossip):
            actions += self.view.merge(peer, message, now)
        elif isinstance(message, SyncRequest):
            actions += self.on_sync_request(peer, message, now)
        elif isinstance(message, SyncPiece):
            actions += self.on_sync_piece(peer, message, now)
        return actions

    def tick(self, *, now: float) -> list[Action]:
        """Probes, passes records on and ends suspicions that are due."""
        if now - self.last_tick > FREEZE_SECONDS:
            self.prober.forget_missed_answers(now)
            self.view.restart_suspicions(now)
        self.last_tick = now
        if self.me.state == MemberState.LEFT:
            return self.send_gossip(now)
        actions = self.introduce(now)
        orders, results = self.prober.advance(now)
        for result in results:
            actions += self.on_probe_result(result, now)
        actions += self.view.end_suspicions(now)
        orders += self.prober.start_probes(now)
        subject = self.prober.choose_reconnect(self.view.absent_since, now)
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
        if member is not None and member.state == MemberState.SUSPECT:
            accused = member.incarnation
        payload = self.take_payload(PIGGYBACK_BYTES, now)
        ping = Ping(
            sequence=order.sequence,
            digest=self.table.digest,
            accused=accused,
            records=payload.records,
            verdicts=payload.verdicts,
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
        actions = self.view.set_reach(member, reach)
        if result.suspicious and member.state == MemberState.ALIVE:
            suspect = dataclasses.replace(
                member, state=MemberState.SUSPECT, reach=reach
            )
            actions += self.view.adopt(suspect, now)
        return actions

    def on_ping(self, peer: str, message: Ping, now: float) -> list[Action]:
        """Answers a ping and refutes its accusation."""
        actions = self.view.merge(peer, message, now)
        own: tuple[MemberRecord, ...] = ()
        if message.accused >= 0:
            if message.accused >= self.me.incarnation:
                actions += self.view.refute(message.accused, now)
            own = (build_record(self.me),)
        payload = self.take_payload(PIGGYBACK_BYTES, now)
        ack = Ack(
            sequence=message.sequence,
            subject=self.vm_id,
            digest=self.table.digest,
            records=own + payload.records,
            verdicts=payload.verdicts,
        )
        actions.append(SendMessage(peer=peer, message=ack))
        return actions + self.compare_digest(peer, message.digest, now)

    def on_ack(self, peer: str, message: Ack, now: float) -> list[Action]:
        """Ends the probe of a member, or forwards its answer."""
        actions = self.view.merge(peer, message, now)
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
        if member is not None and member.state == MemberState.FAILED:
            actions += self.view.take_back(member, now)
        elif member is not None and member.present:
            actions += self.view.set_reach(member, Reach.DIRECT)
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

    # Gossip.

    def take_payload(self, max_bytes: float, now: float) -> Payload:
        """Takes queued gossip for one message to any member."""
        members = len(self.table.present_ids)
        return self.view.queue.take(
            max_bytes=max_bytes, members=members, now=now
        )

    def send_gossip(self, now: float) -> list[Action]:
        """Sends queued items to a member of any data centre and a near one."""
        if now < self.next_gossip:
            return []
        self.next_gossip = now + GOSSIP_PERIOD_SECONDS
        actions: list[Action] = []
        if self.view.queue.level_of:
            payload = self.take_payload(GOSSIP_MESSAGE_BYTES, now)
            actions += send_payload(self.prober.choose_peers(1), payload)
        if self.view.near_queue.level_of:
            local_ids = self.partners.local_ids()
            payload = self.view.near_queue.take(
                max_bytes=GOSSIP_MESSAGE_BYTES, members=len(local_ids), now=now
            )
            peers = self.prober.sample(local_ids, 1, "")
            actions += send_payload(peers, payload)
        return actions

    # Full state.

    def introduce(self, now: float) -> list[Action]:
        """Asks peers again that are linked but not known yet."""
        if not self.unknown_links or now < self.next_introduction:
            return []
        self.next_introduction = now + INTRODUCTION_SECONDS
        self.unknown_links -= self.table.rows.keys()
        actions: list[Action] = []
        for peer in sorted(self.unknown_links):
            actions += self.request_sync(peer, now)
        return actions

    def request_sync(self, peer: str, now: float) -> list[Action]:
        """Asks a peer for the records that differ, within a budget."""
        request = self.sync.build_request(self.me, now)
        return (
            [] if request is None else [SendMessage(peer=peer, message=request)]
        )

    def compare_digest(
        self, peer: str, digest: int, now: float
    ) -> list[Action]:
        """Asks for a sync when the tables stay different."""
        if digest == self.table.digest or now < self.next_sync:
            return []
        healing = now < self.prober.healing_until
        if not healing and now - self.view.last_change < SYNC_QUIET_SECONDS:
            return []
        period = HEALING_SYNC_PERIOD_SECONDS if healing else SYNC_PERIOD_SECONDS
        self.next_sync = now + period * self.random.uniform(0.75, 1.25)
        return self.request_sync(peer, now)

    def on_sync_request(
        self, peer: str, message: SyncRequest, now: float
    ) -> list[Action]:
        """Answers with one piece of what differs."""
        actions = self.view.merge(peer, Gossip(records=(message.record,)), now)
        piece = self.sync.build_piece(message, now)
        if piece is not None:
            actions.append(SendMessage(peer=peer, message=piece))
        return actions

    def on_sync_piece(
        self, peer: str, message: SyncPiece, now: float
    ) -> list[Action]:
        """Merges a piece, returns newer records and asks for the rest."""
        newer = self.sync.find_newer(message)
        actions = self.view.merge(peer, Gossip(records=message.records), now)
        if newer:
            reply = Gossip(records=newer)
            actions.append(SendMessage(peer=peer, message=reply))
        if message.more:
            actions += self.request_sync(peer, now)
        return actions

    def clean_up(self, now: float) -> None:
        """Drops what is no longer needed."""
        self.prober.clean_up(now)
        self.view.clean_up(now)


def send_payload(peers: tuple[str, ...], payload: Payload) -> list[Action]:
    """Builds the messages that carry gossip to peers."""
    if not payload.records and not payload.verdicts:
        return []
    message = Gossip(records=payload.records, verdicts=payload.verdicts)
    return [SendMessage(peer=peer, message=message) for peer in peers]
