"""Gossip membership based on SWIM, over long-lived streams.

Each VM probes one member per period, asks others to probe a member that does
not answer, and spreads records by gossip. A member that fails two probes in
succession becomes suspect. It then becomes failed unless it refutes the
suspicion with a greater incarnation, which only the VM itself may raise.

After a partition, each side considers the other one's members failed. It must
neither fail its own members on reports of the other side nor broadcast
refutations to all members. Therefore:
- a verdict "failed" is not accepted while this VM considers the member alive;
  the member is probed instead;
- reports of suspect or failed members are ignored if they come from a VM that
  was itself absent until recently;
- a VM reinstates a failed member when the member answers a ping, or when a
  peer that has just returned from the same absence reports it as alive. This
  raises the member's round and not its incarnation. VMs that consider the
  member alive anyway store the round and do not gossip it.

Traffic per second is bounded by constants here and in `systems/probers.py`
and `systems/member_synchronisers.py`, and does not depend on the number of
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
from rattanroute.systems.gossip_queues import build_record
from rattanroute.systems.gossip_queues import GOSSIP_MESSAGE_BYTES
from rattanroute.systems.gossip_queues import GOSSIP_PERIOD_SECONDS
from rattanroute.systems.gossip_queues import GossipPayload
from rattanroute.systems.gossip_queues import PIGGYBACK_BYTES
from rattanroute.systems.member_synchronisers import MemberSynchroniser
from rattanroute.systems.member_views import MemberView
from rattanroute.systems.peer_selectors import PeerSelector
from rattanroute.systems.probers import MemberProber
from rattanroute.systems.probers import PingOrder
from rattanroute.systems.probers import ProbeResult
from rattanroute.tables.members import Member
from rattanroute.tables.members import MemberState
from rattanroute.tables.members import MemberTable
from rattanroute.tables.members import Reach

SYNC_PERIOD_SECONDS = 2.0
HEALING_SYNC_PERIOD_SECONDS = 0.25
# Digests differ while gossip is in flight, so a sync waits until the table has
# not changed for this time.
SYNC_QUIET_SECONDS = 1.0
# Interval between sync requests to connected peers that are still unknown, as
# a request or its answer may be lost.
UNKNOWN_PEER_RETRY_SECONDS = 0.5
# A pause of this length between two ticks means that this VM was frozen; the
# answers that it missed do not indicate failures of others.
FREEZE_SECONDS = 1.0
CLEANUP_PERIOD_SECONDS = 10.0
# Members that are told directly when this VM leaves.
LEAVE_FANOUT = 8


class MembershipSystem:
    """Maintains this VM's view of the members of the cluster.

    Attributes:
        vm_id: This VM.
        table: All known members, including this VM.
        joined: Whether this VM has received a message from another one, or is
            its own only seed.
        unknown_peers: Connected peers whose records are not known yet.
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
        link_mbps: int = 0,
    ) -> None:
        """Initialises the view with this VM as the only member.

        Args:
            vm_id: This VM.
            address: Peer address of this VM.
            data_centre: Data centre of this VM.
            region: Region of this VM.
            voter: Whether this VM takes part in the configuration log.
            incarnation: Wall clock at the start, in milliseconds; must be
                greater than all incarnations of the previous run.
            random: Source of all random choices.
            seeds: Peer addresses of the seeds.
            neighbours: Number of partners on the ring in addition to the
                voters; 0 if all members are partners.
            link_mbps: Rate of the link of this VM, in Mbit/s; 0 if unknown.
        """
        own_record = Member(
            vm_id=vm_id,
            address=address,
            data_centre=data_centre,
            region=region,
            voter=voter,
            incarnation=incarnation,
            link_mbps=link_mbps,
            reads_patches=True,
        )
        self.vm_id = vm_id
        self.table = MemberTable()
        self.partners = PeerSelector(
            vm_id=vm_id,
            data_centre=data_centre,
            voter=voter,
            table=self.table,
            neighbours=neighbours,
        )
        self.prober = MemberProber(
            vm_id=vm_id,
            table=self.table,
            partners=self.partners,
            random=random,
        )
        self.view = MemberView(
            own_record=own_record, table=self.table, prober=self.prober
        )
        self.sync = MemberSynchroniser(table=self.table, random=random)
        self.joined = all(seed == address for seed in seeds)
        self.random = random
        self.unknown_peers: set[str] = set()
        self.last_tick = 0.0
        self.next_gossip = 0.0
        self.next_sync = 0.0
        self.next_unknown_retry = 0.0
        self.next_cleanup = 0.0

    # Interface for the host.

    @property
    def own_record(self) -> Member:
        """The record of this VM."""
        return self.view.own_record

    def alive(self) -> list[Member]:
        """Returns the members that count as running, including this VM."""
        return self.table.present()

    def get(self, vm_id: str) -> Member | None:
        """Returns a member in any state, or None if it is not known."""
        return self.table.get(vm_id)

    def set_status(
        self, *, ready: bool, draining: bool, now: float
    ) -> list[Action]:
        """Gossips whether this VM serves requests and whether it stops."""
        if (self.own_record.ready, self.own_record.draining) == (
            ready,
            draining,
        ):
            return []
        return self.view.update_own_record(
            dataclasses.replace(
                self.own_record, ready=ready, draining=draining
            ),
            now,
        )

    def leave(self, now: float) -> list[Action]:
        """Leaves the cluster as planned and informs several members at once."""
        member = dataclasses.replace(
            self.own_record, state=MemberState.LEFT, ready=False, draining=True
        )
        actions = self.view.update_own_record(member, now)
        message = Gossip(records=(build_record(self.own_record),))
        for peer in self.prober.choose_peers(LEAVE_FANOUT):
            actions.append(SendMessage(peer=peer, message=message))
        return actions

    def host_connected(self, peer: str, now: float) -> list[Action]:
        """Handles the opening of a connection to a peer."""
        if peer == self.vm_id:
            return []
        member = self.table.get(peer)
        if member is None:
            self.unknown_peers.add(peer)
            return self.request_sync(peer, now)
        if member.state == MemberState.ALIVE:
            return []
        return self.send_ping(self.prober.build_ping(peer), now)

    def host_disconnected(self, peer: str, now: float) -> list[Action]:
        """Handles the closing of the connection to a peer; probes it."""
        self.unknown_peers.discard(peer)
        self.prober.add_urgent(peer)
        return []

    # Messages and ticks.

    def receive(
        self, *, peer: str, message: object, now: float
    ) -> list[Action]:
        """Handles a message from another member."""
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
        """Sends due probes and gossip, and expires suspicions."""
        if now - self.last_tick > FREEZE_SECONDS:
            self.prober.reset(now)
            self.view.restart_suspicions(now)
        self.last_tick = now
        if self.own_record.state == MemberState.LEFT:
            return self.send_gossip(now)
        actions = self.request_unknown_peers(now)
        orders, results = self.prober.advance(now)
        for result in results:
            actions += self.on_probe_result(result, now)
        actions += self.view.expire_suspicions(now)
        orders += self.prober.start_probes(now)
        subject = self.prober.choose_reconnect(self.view.absent_since, now)
        if subject:
            orders.append(self.prober.build_ping(subject))
        for order in orders:
            actions += self.send_ping(order, now)
        actions += self.send_gossip(now)
        if now >= self.next_cleanup:
            self.next_cleanup = now + CLEANUP_PERIOD_SECONDS
            self.clean_up(now)
        return actions

    # Probes.

    def send_ping(self, order: PingOrder, now: float) -> list[Action]:
        """Builds a ping, and requests to helpers, for one subject.

        A ping to a suspect carries the suspected incarnation, so that the
        subject can refute the suspicion.
        """
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
        """Handles the end of a probe without a direct answer."""
        member = self.table.get(result.subject)
        if member is None or not member.present:
            return []
        reach = Reach.INDIRECT if result.indirect else Reach.NONE
        actions = self.view.set_reach(member, reach)
        if result.suspicious and member.state == MemberState.ALIVE:
            suspect = dataclasses.replace(
                member, state=MemberState.SUSPECT, reach=reach
            )
            actions += self.view.apply_record(suspect, now)
        return actions

    def on_ping(self, peer: str, message: Ping, now: float) -> list[Action]:
        """Answers a ping and refutes a suspicion in it."""
        actions = self.view.merge(peer, message, now)
        own_records: tuple[MemberRecord, ...] = ()
        if message.accused >= 0:
            if message.accused >= self.own_record.incarnation:
                actions += self.view.refute(message.accused, now)
            own_records = (build_record(self.own_record),)
        payload = self.take_payload(PIGGYBACK_BYTES, now)
        ack = Ack(
            sequence=message.sequence,
            subject=self.vm_id,
            digest=self.table.digest,
            records=own_records + payload.records,
            verdicts=payload.verdicts,
        )
        actions.append(SendMessage(peer=peer, message=ack))
        return actions + self.compare_digest(peer, message.digest, now)

    def on_ack(self, peer: str, message: Ack, now: float) -> list[Action]:
        """Ends the probe of a member or forwards its answer."""
        actions = self.view.merge(peer, message, now)
        if message.subject != peer:
            self.prober.on_indirect_answer(message.subject, message.sequence)
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
            actions += self.view.reinstate(member, now)
        elif member is not None and member.present:
            actions += self.view.set_reach(member, Reach.DIRECT)
        return actions + self.compare_digest(peer, message.digest, now)

    def on_ping_request(
        self, peer: str, message: PingRequest, now: float
    ) -> list[Action]:
        """Pings a member on behalf of another member."""
        if self.table.get(message.subject) is None:
            return []
        number = self.prober.start_relay(peer, message.sequence, now)
        order = PingOrder(subject=message.subject, sequence=number)
        return self.send_ping(order, now)

    # Gossip.

    def take_payload(self, max_bytes: float, now: float) -> GossipPayload:
        """Takes queued gossip for one message to any member."""
        members = len(self.table.present_ids)
        return self.view.queue.take(
            max_bytes=max_bytes, members=members, now=now
        )

    def send_gossip(self, now: float) -> list[Action]:
        """Sends queued gossip to one member anywhere and one local member."""
        if now < self.next_gossip:
            return []
        self.next_gossip = now + GOSSIP_PERIOD_SECONDS
        actions: list[Action] = []
        if self.view.queue.level_by_vm:
            payload = self.take_payload(GOSSIP_MESSAGE_BYTES, now)
            actions += build_gossip_messages(
                self.prober.choose_peers(1), payload
            )
        if self.view.local_queue.level_by_vm:
            local_ids = self.partners.local_ids()
            payload = self.view.local_queue.take(
                max_bytes=GOSSIP_MESSAGE_BYTES, members=len(local_ids), now=now
            )
            peers = self.prober.sample(local_ids, 1, "")
            actions += build_gossip_messages(peers, payload)
        return actions

    # Synchronisation of member tables.

    def request_unknown_peers(self, now: float) -> list[Action]:
        """Requests the records of connected peers that are not known yet."""
        if not self.unknown_peers or now < self.next_unknown_retry:
            return []
        self.next_unknown_retry = now + UNKNOWN_PEER_RETRY_SECONDS
        self.unknown_peers -= self.table.rows.keys()
        actions: list[Action] = []
        for peer in sorted(self.unknown_peers):
            actions += self.request_sync(peer, now)
        return actions

    def request_sync(self, peer: str, now: float) -> list[Action]:
        """Requests the differing records from a peer, within a budget."""
        request = self.sync.build_request(self.own_record, now)
        return (
            [] if request is None else [SendMessage(peer=peer, message=request)]
        )

    def compare_digest(
        self, peer: str, digest: int, now: float
    ) -> list[Action]:
        """Requests a sync if the tables still differ after a quiet time."""
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
        """Answers with one piece of the differing records.

        A new member gets the records of voters first.
        """
        is_new = self.table.get(peer) is None
        actions = self.view.merge(peer, Gossip(records=(message.record,)), now)
        voters = self.sync.list_voters() if is_new else ()
        if voters:
            introduction = Gossip(records=voters)
            actions.append(SendMessage(peer=peer, message=introduction))
        piece = self.sync.build_piece(message, now)
        if piece is not None:
            actions.append(SendMessage(peer=peer, message=piece))
        return actions

    def on_sync_piece(
        self, peer: str, message: SyncPiece, now: float
    ) -> list[Action]:
        """Merges a piece, sends back newer records and requests the rest."""
        newer = self.sync.find_newer(message)
        actions = self.view.merge(peer, Gossip(records=message.records), now)
        if newer:
            reply = Gossip(records=newer)
            actions.append(SendMessage(peer=peer, message=reply))
        if message.more:
            actions += self.request_sync(peer, now)
        return actions

    def clean_up(self, now: float) -> None:
        """Removes outdated probe state and members."""
        self.prober.clean_up(now)
        self.view.clean_up(now)


def build_gossip_messages(
    peers: tuple[str, ...], payload: GossipPayload
) -> list[Action]:
    """Builds the messages that carry a gossip payload to peers."""
    if not payload.records and not payload.verdicts:
        return []
    message = Gossip(records=payload.records, verdicts=payload.verdicts)
    return [SendMessage(peer=peer, message=message) for peer in peers]
