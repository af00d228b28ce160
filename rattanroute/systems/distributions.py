"""Brings each accepted configuration into force on every VM."""

from collections.abc import Iterable
import dataclasses
import random
from typing import Protocol

import msgspec

from rattanroute.actions import Action
from rattanroute.actions import SendMessage
from rattanroute.logs import get_logger
from rattanroute.messages.distributions import SnapshotPart
from rattanroute.messages.distributions import SnapshotRequest
from rattanroute.messages.distributions import VersionAnswer
from rattanroute.messages.distributions import VersionQuery
from rattanroute.systems.relays import PeerInfo
from rattanroute.systems.relays import PeersView
from rattanroute.systems.relays import RelayView
from rattanroute.systems.snapshots import SnapshotReader
from rattanroute.systems.snapshots import SnapshotWriter
from rattanroute.tables.changes import Delta
from rattanroute.tables.configuration_replicas import ConfigurationReplica
from rattanroute.tables.configuration_replicas import hash_content
from rattanroute.tables.configuration_replicas import measure_delta
from rattanroute.tables.configurations import Configuration

# Each VM sends one query in this time; it bounds how long a lost delta stays
# unnoticed.
QUERY_SECONDS = 1.0
# While the upstream VM is silent or this VM is behind, queries are more
# frequent, so that a healed partition is noticed within a second.
RETRY_SECONDS = 0.5
JITTER = 0.1
# An unanswered query of this age makes a VM ask another one as well.
SILENCE_SECONDS = 0.8
# Beyond this age a VM occasionally asks another VM than its relay, in case
# only the relay is cut off from the voters.
STALE_SECONDS = 3.0
# Keeps the voters' load low when every VM is stale, because a majority of
# the voters is lost.
STALE_PROBABILITY = 0.5
# Shortest time between two urgent queries.
URGENT_SECONDS = 0.1
# Bytes of deltas in one answer; the rest follows with the next query.
ANSWER_BYTES = 262_144
# A snapshot whose hash does not match is read again after this time, then
# after twice the time, and so on.
FIRST_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 60.0
# A voter's snapshot that does not match as often as this comes from another
# release, whose entities hash differently; it is taken as it is.
MAX_MISMATCHES = 3

logger = get_logger(__name__)


class VoterSource(Protocol):
    """Knows on a voter whether the log is up to date."""

    def confirmed_age_s(self, now: float) -> float | None:
        """Returns since when the applied state may be out of date.

        Args:
            now: The host's monotonic clock, in seconds.

        Returns:
            Seconds since a majority confirmed that this voter has applied
            all that is committed; None when that never happened.
        """
        ...


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Evidence:
    """A version that was current at a time of this VM's clock."""

    version: int
    content_hash: int
    at: float


@dataclasses.dataclass(kw_only=True, slots=True)
class DistributionSystem:
    """Follows the voters' configuration and passes it on.

    Voters push the operations of each version to one relay per data centre,
    which pushes them to the VMs there. Besides, each VM tells its version to
    its relay each second and gets what it lacks. A voter's own replica is
    written by the state machine of the log only.

    Attributes:
        vm_id: This VM.
        data_centre: Its data centre.
        peers: The live VMs.
        rng: Source of jitter.
        replica: The configuration in force; on a voter, that of the state
            machine.
        voter: The log's freshness on a voter; None on another VM.
        evidence_at: Time at which the replica was known to be current.
        pending: Latest known version that the replica has not reached.
        published_version: Version up to which a voter has pushed news.
        next_query_at: Time of the next regular query.
        urgent_at: Time of the latest urgent query.
        waiting: When the oldest unanswered query was sent, by peer.
        turn: Grows with each peer that did not answer.
        reader: The snapshot that is being received.
        writer: The snapshot that is being sent.
        mismatches: Snapshots with a wrong hash in a row.
        read_after: Time before which no snapshot is asked for.
    """

    message_types: tuple[type, ...] = dataclasses.field(
        default=(VersionQuery, VersionAnswer, SnapshotRequest, SnapshotPart),
        init=False,
    )
    vm_id: str
    data_centre: str
    peers: PeersView
    rng: random.Random
    replica: ConfigurationReplica = dataclasses.field(
        default_factory=ConfigurationReplica
    )
    voter: VoterSource | None = None
    evidence_at: float | None = None
    pending: Evidence | None = None
    published_version: int = 0
    next_query_at: float = 0.0
    urgent_at: float = -URGENT_SECONDS
    waiting: dict[str, float] = dataclasses.field(default_factory=dict)
    turn: int = 0
    reader: SnapshotReader | None = None
    writer: SnapshotWriter = dataclasses.field(init=False)
    mismatches: int = 0
    read_after: float = 0.0

    def __post_init__(self) -> None:
        self.writer = SnapshotWriter(replica=self.replica)

    @property
    def configuration(self) -> Configuration:
        """The configuration in force; always the same object."""
        return self.replica.configuration

    @property
    def ready(self) -> bool:
        """Whether a version that comes from a voter is in force."""
        return self.evidence_at is not None

    def age_s(self, now: float) -> float | None:
        """Returns the seconds since the version was known to be current.

        Returns:
            The age; None when it was never known. The time that messages
            travel is not counted.
        """
        self.refresh_voter(now)
        if self.evidence_at is None:
            return None
        return max(now - self.evidence_at, 0.0)

    def refresh_voter(self, now: float) -> None:
        """Takes over the freshness of the log on a voter."""
        if self.voter is None:
            return
        age = self.voter.confirmed_age_s(now)
        if age is not None:
            at = now - age
            self.evidence_at = max(at, self.evidence_at or at)

    def tick(self, *, now: float) -> list[Action]:
        """Passes news on, and asks for news when that is due."""
        self.writer.tick(now)
        if self.voter is not None:
            self.refresh_voter(now)
            return self.publish(now)
        actions = self.tick_reader(now)
        if now >= self.next_query_at:
            actions += self.ask_regularly(now)
        return actions

    def receive(
        self, *, peer: str, message: object, now: float
    ) -> list[Action]:
        """Handles a message of another VM."""
        match message:
            case VersionQuery():
                return self.handle_query(peer, message, now)
            case VersionAnswer():
                return self.handle_answer(peer, message, now)
            case SnapshotRequest():
                return self.handle_request(peer, message, now)
            case SnapshotPart():
                return self.handle_part(peer, message, now)
        return []

    def publish(self, now: float) -> list[Action]:
        """Pushes what the log applied; the host may call it after `apply`."""
        since = self.published_version
        if self.voter is None or self.replica.version <= since:
            return []
        self.published_version = self.replica.version
        return self.spread(since=since, forward=True, now=now)

    def spread(self, *, since: int, forward: bool, now: float) -> list[Action]:
        """Pushes the versions after one.

        Args:
            since: Version before the news.
            forward: Whether a voter counts on this VM to pass news on in its
                data centre, even when another VM is the relay by its view.
            now: The host's clock, in seconds.
        """
        view = self.view_peers()
        answer = self.build_answer(since, now)
        # Receivers ask again when the deltas are not kept, and are then told
        # whether they need a snapshot.
        news = msgspec.structs.replace(answer, snapshot=False)
        actions = []
        if self.voter is not None:
            push = msgspec.structs.replace(news, forward=True)
            actions += [
                SendMessage(peer=x, message=push) for x in view.receivers()
            ]
            forward = False
        if forward or view.is_relay():
            actions += [
                SendMessage(peer=x.vm_id, message=news)
                for x in view.neighbours()
                if not x.voter
            ]
        return actions

    def build_answer(self, since: int, now: float) -> VersionAnswer:
        """Builds the answer to a VM that has a version."""
        age = self.age_s(now)
        deltas = self.replica.deltas_since(since)
        return VersionAnswer(
            version=self.replica.version,
            content_hash=self.replica.content_hash,
            age_ms=None if age is None else int(age * 1000),
            from_voter=self.voter is not None,
            deltas=take_deltas(deltas or ()),
            snapshot=deltas is None,
        )

    def view_peers(self) -> RelayView:
        """Returns the live VMs as this VM sees them now."""
        own = PeerInfo(
            vm_id=self.vm_id,
            data_centre=self.data_centre,
            voter=self.voter is not None,
        )
        alive = {x.vm_id: x for x in self.peers.alive()}
        alive[self.vm_id] = own
        return RelayView(
            own=own, alive=alive, drained=self.configuration.drained_vms
        )

    def ask_regularly(self, now: float) -> list[Action]:
        """Asks the upstream VM, and another one when it does not help."""
        view = self.view_peers()
        self.waiting = {
            x: at for x, at in self.waiting.items() if x in view.alive
        }
        relay = view.relay()
        voters = view.voters()
        upstream = [relay]
        if relay == self.vm_id:
            upstream = [voters[self.turn % len(voters)]] if voters else []
        silent = not upstream or self.is_silent(upstream[0], now)
        asked = set(upstream)
        if silent or self.is_stale(now):
            self.turn += 1
            asked.update(self.choose_others(view))
        searching = silent or not self.ready or self.pending is not None
        period = RETRY_SECONDS if searching else QUERY_SECONDS
        self.next_query_at = now + period * self.rng.uniform(
            1.0 - JITTER, 1.0 + JITTER
        )
        return [self.ask(peer, now) for peer in sorted(asked)]

    def is_silent(self, peer: str, now: float) -> bool:
        """Whether a VM left a query unanswered for too long."""
        return now - self.waiting.get(peer, now) >= SILENCE_SECONDS

    def is_stale(self, now: float) -> bool:
        """Whether to look for a VM that knows more than the upstream one."""
        age = self.age_s(now)
        if age is None or age <= STALE_SECONDS:
            return False
        return self.rng.random() < STALE_PROBABILITY

    def choose_others(self, view: RelayView) -> list[str]:
        """Returns a voter, a VM of the data centre and one elsewhere, if any.

        Voters take turns, so that one that cannot be reached costs one
        period. The others help when no voter can be reached: they may have a
        version that this VM lacks. Elsewhere only relays are asked, which
        bounds the links.
        """
        others = []
        voters = view.voters()
        if voters:
            others.append(voters[self.turn % len(voters)])
        neighbours = sorted(x.vm_id for x in view.neighbours())
        if neighbours:
            others.append(self.rng.choice(neighbours))
        elsewhere = view.relays_elsewhere()
        if elsewhere:
            others.append(elsewhere[self.turn % len(elsewhere)])
        return others

    def ask(self, peer: str, now: float) -> Action:
        """Builds the query to a VM."""
        self.waiting.setdefault(peer, now)
        query = VersionQuery(
            version=self.replica.version, content_hash=self.replica.content_hash
        )
        return SendMessage(peer=peer, message=query)

    def ask_urgently(self, peer: str, now: float) -> list[Action]:
        """Asks a VM that has news, unless that was done just now."""
        if now - self.urgent_at < URGENT_SECONDS:
            return []
        self.urgent_at = now
        return [self.ask(peer, now)]

    def handle_query(
        self, peer: str, query: VersionQuery, now: float
    ) -> list[Action]:
        """Answers a query with what the sender lacks."""
        if query.version > self.replica.version and self.voter is None:
            return self.ask_urgently(peer, now)
        answer = self.build_answer(query.version, now)
        return [SendMessage(peer=peer, message=answer)]

    def handle_answer(
        self, peer: str, answer: VersionAnswer, now: float
    ) -> list[Action]:
        """Applies the deltas of an answer or a push."""
        if self.voter is not None:
            return []
        self.waiting.pop(peer, None)
        before = self.replica.version
        diverged = not self.apply_deltas(answer.deltas)
        if answer.age_ms is not None:
            self.note_evidence(
                version=answer.version,
                content_hash=answer.content_hash,
                at=now - answer.age_ms / 1000,
            )
        actions = []
        if self.replica.version > before:
            actions += self.spread(
                since=before, forward=answer.forward, now=now
            )
        if answer.version == self.replica.version:
            diverged |= answer.content_hash != self.replica.content_hash
        if diverged and answer.from_voter:
            logger.warning(
                "configuration diverged",
                version=self.replica.version,
                peer=peer,
            )
            actions += self.read_snapshot(peer, now)
        elif diverged:
            # Either side may be wrong; a voter knows.
            for voter in self.view_peers().voters()[:1]:
                actions += self.ask_urgently(voter, now)
        elif answer.version > self.replica.version:
            if answer.snapshot:
                actions += self.read_snapshot(peer, now)
            else:
                actions += self.ask_urgently(peer, now)
        return actions

    def apply_deltas(self, deltas: Iterable[Delta]) -> bool:
        """Applies the successors of the version in force.

        Returns:
            False if a successor does not fit the content in force.
        """
        for delta in deltas:
            if delta.version != self.replica.version + 1:
                continue
            if not self.replica.accepts(delta):
                return False
            self.replica.apply_delta(delta)
        return True

    def note_evidence(
        self, *, version: int, content_hash: int, at: float
    ) -> None:
        """Notes that a version was current at a time of this VM's clock."""
        noted = Evidence(version=version, content_hash=content_hash, at=at)
        pending = self.pending
        if pending is None or (version, at) > (pending.version, pending.at):
            self.pending = noted
        for evidence in (noted, self.pending):
            if self.confirms(evidence):
                self.evidence_at = max(
                    evidence.at, self.evidence_at or evidence.at
                )
        if self.replica.version >= self.pending.version:
            self.pending = None

    def confirms(self, evidence: Evidence) -> bool:
        """Whether the version in force was current at that time.

        A version later than the evidence was, as versions only grow.
        """
        if self.replica.version == evidence.version:
            return self.replica.content_hash == evidence.content_hash
        return self.replica.version > evidence.version

    def handle_request(
        self, peer: str, request: SnapshotRequest, now: float
    ) -> list[Action]:
        """Sends parts of a snapshot."""
        if self.replica.version == 0:
            return []
        parts = self.writer.answer(request, now)
        return [SendMessage(peer=peer, message=part) for part in parts]

    def read_snapshot(self, peer: str, now: float) -> list[Action]:
        """Starts to read a snapshot, unless one is being read."""
        if self.reader is not None or now < self.read_after:
            return []
        self.reader = SnapshotReader(peer=peer, asked_at=now)
        return [SendMessage(peer=peer, message=SnapshotRequest())]

    def tick_reader(self, now: float) -> list[Action]:
        """Repeats a request for parts; gives a silent peer up."""
        if self.reader is None:
            return []
        request = self.reader.tick(now)
        if self.reader.failed:
            self.reader = None
            return []
        if request is None:
            return []
        return [SendMessage(peer=self.reader.peer, message=request)]

    def handle_part(
        self, peer: str, part: SnapshotPart, now: float
    ) -> list[Action]:
        """Collects a part and loads the snapshot when it is complete."""
        reader = self.reader
        if reader is None or reader.peer != peer:
            return []
        request = reader.take(part, now)
        if reader.complete:
            self.reader = None
            return self.load_snapshot(reader, now)
        if request is None:
            return []
        return [SendMessage(peer=peer, message=request)]

    def load_snapshot(self, reader: SnapshotReader, now: float) -> list[Action]:
        """Puts a complete snapshot into force unless it is older or wrong."""
        before = self.replica.version
        if reader.version < before:
            return []
        content = reader.decode()
        from_voter = self.view_peers().is_voter(reader.peer)
        if content is None or hash_content(content) != reader.content_hash:
            self.mismatches += 1
            backoff = FIRST_BACKOFF_SECONDS * 2 ** (self.mismatches - 1)
            self.read_after = now + min(backoff, MAX_BACKOFF_SECONDS)
            accepted = from_voter and self.mismatches >= MAX_MISMATCHES
            if content is None or not accepted:
                return []
        if reader.version == before and not from_voter:
            return []
        self.mismatches = 0
        self.replica.load(content, reader.content_hash)
        self.writer.clear()
        if self.pending is not None:
            self.note_evidence(
                version=self.pending.version,
                content_hash=self.pending.content_hash,
                at=self.pending.at,
            )
        if self.replica.version == before:
            return []
        return self.spread(since=before, forward=False, now=now)


def take_deltas(deltas: Iterable[Delta]) -> tuple[Delta, ...]:
    """Returns the first deltas that fit one answer; at least one."""
    taken = []
    size = 0
    for delta in deltas:
        size += measure_delta(delta)
        if taken and size > ANSWER_BYTES:
            break
        taken.append(delta)
    return tuple(taken)
