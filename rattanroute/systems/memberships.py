"""Membership by gossip, after SWIM, over long-lived streams.

Each VM probes one member per period, asks others to probe a member that does
not answer, and passes records on by gossip. A member that fails two probes in
succession becomes suspect, and failed unless it refutes this by a greater
incarnation, which only the VM itself may raise.

A record that calls a VM failed is not adopted while this VM holds it as
alive; the VM is probed instead, and the probe carries the accusation. This
keeps the two sides of a healed partition from failing each other's members:
each accused VM raises its incarnation and both sides take it back.

Traffic per second is bounded by the constants below and does not depend on
the number of members.
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
from rattanroute.systems.gossips import estimate_bytes
from rattanroute.systems.gossips import GossipQueue
from rattanroute.systems.gossips import TokenBucket
from rattanroute.tables.members import DIGEST_BUCKETS
from rattanroute.tables.members import Member
from rattanroute.tables.members import MemberState
from rattanroute.tables.members import MemberTable
from rattanroute.tables.members import Reach

PROBE_PERIOD_SECONDS = 1.0
# A probe pings at 0, 0.3 and 0.6 s: three tries bring a false verdict at 20%
# loss below one in a hundred, and two failed probes in succession, which a
# suspicion needs, below one in ten thousand.
PROBE_RETRY_SECONDS = 0.3
PROBE_TIMEOUT_SECONDS = 0.95
PROBE_FAILURES_TO_SUSPECT = 2
INDIRECT_PROBES = 3
# Time for a refutation to reach all VMs before a suspect counts as failed.
SUSPICION_SECONDS = 3.0
# Probes beyond the periodic one, for members with a hint of a problem.
URGENT_PROBES_PER_SECOND = 20.0
MAX_URGENT_PROBES = 512
# Attempts to reach failed members; more while a partition heals.
RECONNECTS_PER_SECOND = 2.0
HEALING_RECONNECTS_PER_SECOND = 20.0
HEALING_SECONDS = 5.0
GOSSIP_PERIOD_SECONDS = 0.1
GOSSIP_FANOUT = 2
GOSSIP_BYTES_PER_SECOND = 10_000.0
GOSSIP_MESSAGE_BYTES = 1_000.0
PIGGYBACK_BYTES = 300.0
SYNC_BYTES_PER_SECOND = 10_000.0
SYNC_PIECE_BYTES = 4_000
SYNC_PERIOD_SECONDS = 2.0
# A request or its answer may be lost; linked peers that are still unknown
# are asked again after this time.
INTRODUCTION_SECONDS = 0.5
# Digests differ while gossip is on its way; a sync waits until the table has
# been quiet for this time.
SYNC_QUIET_SECONDS = 1.0
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


@dataclasses.dataclass(kw_only=True, slots=True)
class Probe:
    """A probe that waits for an answer.

    Attributes:
        sequence: Number of its pings.
        started_at: Time of the first ping.
        pings: Pings sent.
        indirect: Whether another VM got an answer from the member.
    """

    sequence: int
    started_at: float
    pings: int = 1
    indirect: bool = False


@dataclasses.dataclass(kw_only=True, slots=True)
class Relay:
    """A ping on behalf of another VM."""

    requester: str
    sequence: int
    started_at: float


def build_record(member: Member) -> MemberRecord:
    """Builds the gossip record of a member."""
    return MemberRecord(
        vm_id=member.vm_id,
        address=member.address,
        data_centre=member.data_centre,
        region=member.region,
        voter=member.voter,
        state=int(member.state),
        incarnation=member.incarnation,
        ready=member.ready,
        draining=member.draining,
    )


def build_member(record: MemberRecord) -> Member:
    """Builds a member from a gossip record."""
    return Member(
        vm_id=record.vm_id,
        address=record.address,
        data_centre=record.data_centre,
        region=record.region,
        voter=record.voter,
        state=MemberState(record.state),
        incarnation=record.incarnation,
        ready=record.ready,
        draining=record.draining,
    )


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
        self.random = random
        self.table = MemberTable()
        self.table.put(
            Member(
                vm_id=vm_id,
                address=address,
                data_centre=data_centre,
                region=region,
                voter=voter,
                incarnation=incarnation,
                reach=Reach.DIRECT,
            )
        )
        self.joined = all(seed == address for seed in seeds)
        self.queue = GossipQueue()
        self.queue.put(build_record(self.me))
        self.sequence = 0
        self.probes: dict[str, Probe] = {}
        self.failures: dict[str, int] = {}
        self.urgent: dict[str, None] = {}
        self.relays: dict[int, Relay] = {}
        self.ring: list[str] = []
        self.suspected_at: dict[str, float] = {}
        self.absent_since: dict[str, float] = {}
        self.unknown_links: set[str] = set()
        self.next_introduction = 0.0
        self.healing_until = 0.0
        self.last_tick = 0.0
        self.last_change = 0.0
        self.next_probe = 0.0
        self.next_gossip = 0.0
        self.next_sync = 0.0
        self.next_cleanup = 0.0
        self.urgent_tokens = TokenBucket(
            rate=URGENT_PROBES_PER_SECOND, burst=URGENT_PROBES_PER_SECOND / 4
        )
        self.reconnect_tokens = TokenBucket(
            rate=RECONNECTS_PER_SECOND, burst=1.0
        )
        self.gossip_tokens = TokenBucket(
            rate=GOSSIP_BYTES_PER_SECOND, burst=2 * GOSSIP_MESSAGE_BYTES
        )
        self.sync_tokens = TokenBucket(
            rate=SYNC_BYTES_PER_SECOND, burst=2 * SYNC_PIECE_BYTES
        )

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
        peers = self.choose_peers(LEAVE_FANOUT)
        records = (build_record(self.me),)
        actions += [
            SendMessage(peer=peer, message=Gossip(records=records))
            for peer in peers
        ]
        return actions

    def host_connected(self, *, peer: str, now: float) -> list[Action]:
        """Takes the hint that a link to a peer is open."""
        if peer == self.vm_id:
            return []
        member = self.table.get(peer)
        if member is None:
            self.unknown_links.add(peer)
            return [self.build_sync_request(peer)]
        if member.state == MemberState.ALIVE:
            return []
        return [self.build_ping(peer, now)]

    def host_disconnected(self, *, peer: str, now: float) -> list[Action]:
        """Takes the hint that the link to a peer closed."""
        self.unknown_links.discard(peer)
        self.add_urgent(peer)
        return []

    def receive(
        self, *, peer: str, message: object, now: float
    ) -> list[Action]:
        """Handles a message of another member."""
        self.joined = True
        actions: list[Action] = []
        if self.table.get(peer) is None:
            actions.append(self.build_sync_request(peer))
        if isinstance(message, Ping):
            actions += self.on_ping(peer, message, now)
        elif isinstance(message, Ack):
            actions += self.on_ack(peer, message, now)
        elif isinstance(message, PingRequest):
            actions += self.on_ping_request(peer, message, now)
        elif isinstance(message, Gossip):
            actions += self.merge(message.records, now)
        elif isinstance(message, SyncRequest):
            actions += self.on_sync_request(peer, message, now)
        elif isinstance(message, SyncPiece):
            actions += self.on_sync_piece(peer, message, now)
        return actions

    def tick(self, *, now: float) -> list[Action]:
        """Probes, passes records on and ends suspicions that are due."""
        if now - self.last_tick > FREEZE_SECONDS:
            self.forget_missed_answers(now)
        self.last_tick = now
        if self.me.state == MemberState.LEFT:
            return self.send_gossip(now)
        actions: list[Action] = []
        actions += self.introduce(now)
        actions += self.advance_probes(now)
        actions += self.end_suspicions(now)
        actions += self.start_probes(now)
        actions += self.reconnect(now)
        actions += self.send_gossip(now)
        if now >= self.next_cleanup:
            self.next_cleanup = now + CLEANUP_PERIOD_SECONDS
            self.clean_up(now)
        return actions

    def introduce(self, now: float) -> list[Action]:
        """Asks peers again that are linked but not known yet."""
        if not self.unknown_links or now < self.next_introduction:
            return []
        self.next_introduction = now + INTRODUCTION_SECONDS
        self.unknown_links -= self.table.rows.keys()
        return [self.build_sync_request(peer) for peer in self.unknown_links]

    # Probes.

    def start_probes(self, now: float) -> list[Action]:
        """Starts the periodic probe and the urgent ones."""
        actions: list[Action] = []
        if now >= self.next_probe:
            self.next_probe = max(now, self.next_probe + PROBE_PERIOD_SECONDS)
            subject = self.choose_next_subject()
            if subject is not None:
                actions.append(self.start_probe(subject, now))
        while self.urgent and self.urgent_tokens.take(amount=1, now=now):
            subject = next(iter(self.urgent))
            del self.urgent[subject]
            member = self.table.get(subject)
            if member is None or subject in self.probes:
                continue
            if member.present:
                actions.append(self.start_probe(subject, now))
            else:
                actions.append(self.build_ping(subject, now))
        return actions

    def choose_next_subject(self) -> str | None:
        """Returns the next member of the shuffled ring to probe."""
        for _ in range(2):
            while self.ring:
                subject = self.ring.pop()
                member = self.table.get(subject)
                if (
                    member is not None
                    and member.present
                    and subject not in self.probes
                ):
                    return subject
            self.ring = [
                vm_id for vm_id in self.table.present_ids if vm_id != self.vm_id
            ]
            self.random.shuffle(self.ring)
        return None

    def start_probe(self, subject: str, now: float) -> SendMessage:
        """Starts a probe of a present member."""
        ping = self.build_ping(subject, now)
        self.probes[subject] = Probe(
            sequence=ping.message.sequence, started_at=now
        )
        return ping

    def advance_probes(self, now: float) -> list[Action]:
        """Repeats the pings of waiting probes and ends those timed out."""
        actions: list[Action] = []
        for subject, probe in list(self.probes.items()):
            age = now - probe.started_at
            if age >= PROBE_TIMEOUT_SECONDS:
                del self.probes[subject]
                actions += self.end_probe(subject, probe, now)
            elif age >= probe.pings * PROBE_RETRY_SECONDS:
                probe.pings += 1
                actions.append(self.build_ping(subject, now, probe.sequence))
                request = PingRequest(sequence=probe.sequence, subject=subject)
                helpers = self.choose_peers(INDIRECT_PROBES, subject)
                actions += [
                    SendMessage(peer=helper, message=request)
                    for helper in helpers
                ]
        return actions

    def end_probe(self, subject: str, probe: Probe, now: float) -> list[Action]:
        """Draws the conclusion of a probe without a direct answer."""
        member = self.table.get(subject)
        if member is None or not member.present:
            return []
        reach = Reach.INDIRECT if probe.indirect else Reach.NONE
        actions = self.set_reach(member, reach)
        if probe.indirect:
            self.failures.pop(subject, None)
            return actions
        failures = self.failures.get(subject, 0) + 1
        self.failures[subject] = failures
        if member.state == MemberState.SUSPECT:
            return actions
        if failures < PROBE_FAILURES_TO_SUSPECT:
            self.add_urgent(subject)
            return actions
        suspect = dataclasses.replace(
            self.table.rows[subject], state=MemberState.SUSPECT
        )
        return actions + self.adopt(suspect, now)

    def set_reach(self, member: Member, reach: Reach) -> list[Action]:
        """Stores how this VM reaches a member."""
        if member.reach == reach:
            return []
        member = dataclasses.replace(member, reach=reach)
        self.table.put(member)
        return [MemberChanged(member=member)]

    def end_suspicions(self, now: float) -> list[Action]:
        """Declares suspects failed that did not refute in time."""
        actions: list[Action] = []
        for vm_id, since in list(self.suspected_at.items()):
            if now - since < SUSPICION_SECONDS:
                break
            member = self.table.rows[vm_id]
            failed = dataclasses.replace(
                member, state=MemberState.FAILED, reach=Reach.NONE
            )
            actions += self.adopt(failed, now)
        return actions

    def reconnect(self, now: float) -> list[Action]:
        """Pings failed members, which may be behind a partition."""
        if not self.absent_since:
            return []
        healing = now < self.healing_until
        self.reconnect_tokens.rate = (
            HEALING_RECONNECTS_PER_SECOND if healing else RECONNECTS_PER_SECOND
        )
        if not self.reconnect_tokens.take(amount=1, now=now):
            return []
        subject = self.random.choice(list(self.absent_since))
        if self.table.rows[subject].state == MemberState.LEFT:
            return []
        return [self.build_ping(subject, now)]

    def add_urgent(self, subject: str) -> None:
        """Queues a member for a probe ahead of its turn."""
        if (
            subject in self.table.rows
            and subject != self.vm_id
            and len(self.urgent) < MAX_URGENT_PROBES
        ):
            self.urgent[subject] = None

    def forget_missed_answers(self, now: float) -> None:
        """Starts all waits again after this VM was frozen."""
        self.probes.clear()
        self.relays.clear()
        self.failures.clear()
        self.next_probe = now
        self.suspected_at = dict.fromkeys(self.suspected_at, now)

    def build_ping(
        self, subject: str, now: float, sequence: int | None = None
    ) -> SendMessage:
        """Builds a ping that tells the subject what it is accused of."""
        if sequence is None:
            self.sequence += 1
            sequence = self.sequence
        member = self.table.get(subject)
        accused = -1
        if member is not None and member.state in (
            MemberState.SUSPECT,
            MemberState.FAILED,
        ):
            accused = member.incarnation
        message = Ping(
            sequence=sequence,
            digest=self.table.digest,
            accused=accused,
            records=self.take_records(PIGGYBACK_BYTES, now),
        )
        return SendMessage(peer=subject, message=message)

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
        actions += self.compare_digest(peer, message.digest, now)
        return actions

    def on_ack(self, peer: str, message: Ack, now: float) -> list[Action]:
        """Ends the probe of a member, or forwards its answer."""
        actions = self.merge(message.records, now)
        if message.subject != peer:
            probe = self.probes.get(message.subject)
            if probe is not None and probe.sequence == message.sequence:
                probe.indirect = True
            return actions
        relay = self.relays.pop(message.sequence, None)
        if relay is not None:
            forwarded = Ack(
                sequence=relay.sequence,
                subject=peer,
                digest=self.table.digest,
                records=message.records[:1],
            )
            actions.append(SendMessage(peer=relay.requester, message=forwarded))
        probe = self.probes.get(peer)
        if probe is not None and probe.sequence == message.sequence:
            del self.probes[peer]
        self.failures.pop(peer, None)
        member = self.table.get(peer)
        if member is not None and member.present:
            actions += self.set_reach(member, Reach.DIRECT)
        actions += self.compare_digest(peer, message.digest, now)
        return actions

    def on_ping_request(
        self, peer: str, message: PingRequest, now: float
    ) -> list[Action]:
        """Pings a member on behalf of another one."""
        if self.table.get(message.subject) is None:
            return []
        ping = self.build_ping(message.subject, now)
        self.relays[ping.message.sequence] = Relay(
            requester=peer, sequence=message.sequence, started_at=now
        )
        return [ping]

    # Gossip.

    def merge(
        self, records: tuple[MemberRecord, ...], now: float
    ) -> list[Action]:
        """Takes over the records that are newer than the known ones."""
        actions: list[Action] = []
        for record in records:
            actions += self.merge_one(record, now)
        return actions

    def merge_one(self, record: MemberRecord, now: float) -> list[Action]:
        """Takes over a record if it is newer than the known one."""
        if record.vm_id == self.vm_id:
            return self.merge_self(record, now)
        known = self.table.get(record.vm_id)
        if known is None:
            member = build_member(record)
            return self.adopt(member, now) if member.present else []
        if (record.incarnation, record.state) == (
            known.incarnation,
            known.state,
        ):
            return []
        member = build_member(record)
        if not known.precedes(member):
            if (
                known.state == MemberState.FAILED
                and member.incarnation == known.incarnation
            ):
                self.add_urgent(known.vm_id)
            return []
        if member.state == MemberState.FAILED and known.state == (
            MemberState.ALIVE
        ):
            self.add_urgent(known.vm_id)
            return []
        reach = known.reach if member.present else Reach.NONE
        return self.adopt(dataclasses.replace(member, reach=reach), now)

    def merge_self(self, record: MemberRecord, now: float) -> list[Action]:
        """Refutes a record that calls this VM suspect or failed."""
        if self.me.state == MemberState.LEFT:
            return []
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
            self.healing_until = now + HEALING_SECONDS
        self.suspected_at.pop(vm_id, None)
        if member.state == MemberState.SUSPECT:
            self.suspected_at[vm_id] = now
        if member.present:
            self.absent_since.pop(vm_id, None)
        else:
            self.absent_since[vm_id] = now
            self.probes.pop(vm_id, None)
        if member.state == MemberState.ALIVE:
            self.failures.pop(vm_id, None)
        self.table.put(member)
        self.queue.put(build_record(member))
        self.last_change = now
        return [MemberChanged(member=member)]

    def send_gossip(self, now: float) -> list[Action]:
        """Sends queued records to a few random members."""
        if now < self.next_gossip or not self.queue.level_of:
            return []
        self.next_gossip = now + GOSSIP_PERIOD_SECONDS
        actions: list[Action] = []
        for peer in self.choose_peers(GOSSIP_FANOUT):
            records = self.take_records(GOSSIP_MESSAGE_BYTES, now)
            if records:
                actions.append(
                    SendMessage(peer=peer, message=Gossip(records=records))
                )
        return actions

    def take_records(
        self, max_bytes: float, now: float
    ) -> tuple[MemberRecord, ...]:
        """Takes queued records for one message within the byte budget."""
        if not self.queue.level_of:
            return ()
        budget = min(max_bytes, self.gossip_tokens.refill(now))
        records = self.queue.take(
            max_bytes=budget, members=len(self.table.present_ids)
        )
        self.gossip_tokens.tokens -= sum(map(estimate_bytes, records))
        return records

    def choose_peers(self, count: int, excluded: str = "") -> list[str]:
        """Returns distinct random present members other than this VM."""
        present = self.table.present_ids
        size = min(len(present), count + 2)
        chosen = self.random.sample(present, size)
        return [
            vm_id for vm_id in chosen if vm_id not in (self.vm_id, excluded)
        ][:count]

    # Full state.

    def compare_digest(
        self, peer: str, digest: int, now: float
    ) -> list[Action]:
        """Asks for a sync when the tables stay different."""
        if digest == self.table.digest or now < self.next_sync:
            return []
        quiet = now - self.last_change >= SYNC_QUIET_SECONDS
        if not quiet and now >= self.healing_until:
            return []
        jitter = self.random.uniform(0.75, 1.25)
        self.next_sync = now + SYNC_PERIOD_SECONDS * jitter
        return [self.build_sync_request(peer)]

    def build_sync_request(self, peer: str) -> SendMessage:
        """Builds a request for the records that differ."""
        message = SyncRequest(digests=tuple(self.table.digests))
        return SendMessage(peer=peer, message=message)

    def on_sync_request(
        self, peer: str, message: SyncRequest, now: float
    ) -> list[Action]:
        """Sends one piece of what differs, within the byte budget."""
        if len(message.digests) != DIGEST_BUCKETS:
            return []
        differing = [
            bucket
            for bucket, digest in enumerate(message.digests)
            if digest != self.table.digests[bucket]
        ]
        if not differing or self.sync_tokens.refill(now) < SYNC_PIECE_BYTES:
            return []
        self.random.shuffle(differing)
        buckets: list[int] = []
        records: list[MemberRecord] = []
        size = 0
        while differing and size < SYNC_PIECE_BYTES:
            bucket = differing.pop()
            found = [build_record(m) for m in self.table.in_bucket(bucket)]
            buckets.append(bucket)
            records += found
            size += sum(map(estimate_bytes, found))
        self.sync_tokens.tokens -= size
        piece = SyncPiece(
            buckets=tuple(buckets),
            records=tuple(records),
            more=bool(differing),
        )
        return [SendMessage(peer=peer, message=piece)]

    def on_sync_piece(
        self, peer: str, message: SyncPiece, now: float
    ) -> list[Action]:
        """Merges a piece, returns newer records and asks for the rest."""
        newer = self.find_newer(message)
        actions = self.merge(message.records, now)
        if newer:
            actions.append(
                SendMessage(peer=peer, message=Gossip(records=newer))
            )
        if message.more:
            actions.append(self.build_sync_request(peer))
        return actions

    def find_newer(self, piece: SyncPiece) -> tuple[MemberRecord, ...]:
        """Returns this VM's records that the sender of a piece lacks."""
        sent = {record.vm_id: record for record in piece.records}
        newer: list[MemberRecord] = []
        for bucket in piece.buckets:
            if 0 <= bucket < DIGEST_BUCKETS:
                newer += [
                    build_record(member)
                    for member in self.table.in_bucket(bucket)
                    if member.vm_id not in sent
                ]
        for vm_id, record in sent.items():
            known = self.table.get(vm_id)
            if known is not None and (record.incarnation, record.state) < (
                known.incarnation,
                known.state,
            ):
                newer.append(build_record(known))
        return tuple(newer)

    def clean_up(self, now: float) -> None:
        """Forgets members that have been absent for long."""
        for vm_id, since in list(self.absent_since.items()):
            left = self.table.rows[vm_id].state == MemberState.LEFT
            keep = LEFT_MEMORY_SECONDS if left else FAILED_MEMORY_SECONDS
            excess = len(self.absent_since) > MAX_ABSENT_MEMBERS
            if now - since >= keep or excess:
                del self.absent_since[vm_id]
                self.queue.discard(vm_id)
                self.table.remove(vm_id)
        for sequence, relay in list(self.relays.items()):
            if now - relay.started_at > PROBE_TIMEOUT_SECONDS:
                del self.relays[sequence]
