"""Distribution of accepted configurations from the voters to every VM."""

import dataclasses
import math
import random

import msgspec

from rattanroute.actions import Action
from rattanroute.actions import SendMessage
from rattanroute.logs import get_logger
from rattanroute.messages.distributions import SnapshotPart
from rattanroute.messages.distributions import SnapshotRequest
from rattanroute.messages.distributions import VersionAnswer
from rattanroute.messages.distributions import VersionQuery
from rattanroute.systems.answer_queues import AnswerQueue
from rattanroute.systems.answer_queues import Decision
from rattanroute.systems.answer_queues import OFFERED_SECONDS
from rattanroute.systems.answer_queues import SMALL_ANSWER_BYTES
from rattanroute.systems.answer_queues import transfer_s
from rattanroute.systems.relay_selectors import PeerDirectory
from rattanroute.systems.relay_selectors import PeerInfo
from rattanroute.systems.relay_selectors import RelaySelector
from rattanroute.systems.snapshot_loaders import SnapshotLoader
from rattanroute.systems.snapshot_transfers import SnapshotReader
from rattanroute.systems.snapshot_transfers import SnapshotWriter
from rattanroute.systems.version_announcements import VersionAnnouncer
from rattanroute.systems.version_answers import measure_update
from rattanroute.systems.version_answers import restore_contents
from rattanroute.systems.version_answers import Update
from rattanroute.systems.version_answers import UpdateBuilder
from rattanroute.systems.version_freshness import LogFreshnessSource
from rattanroute.systems.version_freshness import VersionFreshness
from rattanroute.systems.version_freshness import VersionObservation
from rattanroute.systems.version_queries import MAX_NUMBER
from rattanroute.systems.version_queries import QuerySchedule
from rattanroute.tables.configuration_replicas import ConfigurationReplica
from rattanroute.tables.configurations import Configuration

# Interval between the queries of a VM; bounds the time until a lost
# announcement is detected.
QUERY_SECONDS = 1.0
# Query interval while the upstream VM does not answer or this VM lacks a known
# version; short enough to detect the end of a partition within a second.
RETRY_SECONDS = 0.5
# Pause of a VM that holds no configuration, and thus serves nobody, before it
# queries again. When all VMs start at once, the first ones find no other VM, or
# one that has no configuration either.
START_RETRY_SECONDS = 0.1
# Time without an answer or an offer after which such a VM queries another one.
START_SILENCE_SECONDS = 0.25
# Random deviation of the query interval, as a fraction of it.
JITTER = 0.1
# Age of an unanswered query at which further VMs are queried as well.
SILENCE_SECONDS = 0.8
# Age of the configuration from which a VM sometimes queries VMs other than its
# relay, in case only the relay cannot reach the voters.
STALE_SECONDS = 3.0
# Probability of such extra queries; limits the load on the remaining voters
# when every VM is stale because a majority of the voters is lost.
STALE_PROBABILITY = 0.5
# Minimum interval between two urgent queries.
MIN_URGENT_SECONDS = 0.1
# Time that a VM waits for the announcement of its preferred source when it has
# heard of a version from another VM.
PREFERENCE_SECONDS = 0.2

logger = get_logger(__name__)


@dataclasses.dataclass(kw_only=True, slots=True)
class DistributionSystem:
    """Replicates the voters' configuration and forwards it to other VMs.

    A voter announces the number of each version to the other VMs of its data
    centre and to a relay of each other one. Before a change is acknowledged,
    those that prefer this voter and the relays get a small change with the
    announcement, so that it survives the loss of all voters. A VM that lacks a
    version queries the sender and gets the difference to the newest version;
    versions that were replaced meanwhile cost nothing. One query is under way
    at a time. Large answers wait for the link of the sender. In addition, each
    VM sends its version to one of its sources every second. On a voter, only
    the state machine of the log writes the replica.

    Attributes:
        vm_id: This VM.
        data_centre: Its data centre.
        peers: Source of the live VMs.
        rng: Source of jitter.
        replica: The configuration in force; on a voter, the replica of the
            state machine.
        voter: Freshness of the log on a voter; None on other VMs.
        freshness: Which versions were current when.
        announcer: Announces versions to other VMs.
        forward_version: Latest version that a voter asked this VM to forward.
        held_versions: Latest version that each peer is known to hold.
        next_query_at: Time of the next periodic query.
        urgent_at: Time of the latest urgent query.
        queries: The query that is under way.
        fallback_round: Number of times that fallback peers were queried;
            selects voters and relays in rotation.
        loader: The snapshot that is being received.
        writer: The snapshot that is being sent.
        updates: Answers to queries.
        answers: Large answers that wait for the link of this VM.
    """

    message_types: tuple[type, ...] = dataclasses.field(
        default=(VersionQuery, VersionAnswer, SnapshotRequest, SnapshotPart),
        init=False,
    )
    vm_id: str
    data_centre: str
    peers: PeerDirectory
    rng: random.Random
    replica: ConfigurationReplica = dataclasses.field(
        default_factory=ConfigurationReplica
    )
    voter: LogFreshnessSource | None = None
    forward_version: int = 0
    held_versions: dict[str, int] = dataclasses.field(default_factory=dict)
    next_query_at: float = 0.0
    urgent_at: float = -MIN_URGENT_SECONDS
    queries: QuerySchedule = dataclasses.field(default_factory=QuerySchedule)
    fallback_round: int = 0
    loader: SnapshotLoader = dataclasses.field(init=False)
    writer: SnapshotWriter = dataclasses.field(init=False)
    updates: UpdateBuilder = dataclasses.field(init=False)
    announcer: VersionAnnouncer = dataclasses.field(init=False)
    freshness: VersionFreshness = dataclasses.field(init=False)
    answers: AnswerQueue = dataclasses.field(default_factory=AnswerQueue)

    def __post_init__(self) -> None:
        self.loader = SnapshotLoader(replica=self.replica)
        self.writer = SnapshotWriter(replica=self.replica)
        self.updates = UpdateBuilder(replica=self.replica)
        self.queries.first_number = self.rng.randrange(MAX_NUMBER)
        self.freshness = VersionFreshness(
            replica=self.replica, voter=self.voter
        )
        self.announcer = VersionAnnouncer(
            replica=self.replica, updates=self.updates
        )

    @property
    def configuration(self) -> Configuration:
        """The configuration in force; always the same object."""
        return self.replica.configuration

    @property
    def ready(self) -> bool:
        """Whether a version that a voter confirmed is in force."""
        return self.freshness.last_current_at is not None

    @property
    def is_empty(self) -> bool:
        """Whether this VM holds no configuration yet."""
        return self.replica.version == 0

    def confirm(self, now: float) -> list[Action]:
        """Asks for the newest version, unless a query is under way."""
        if self.voter is not None or self.queries.is_waiting(now):
            return []
        return self.query_urgently(self.choose_source(now), now)

    def tick(self, *, now: float) -> list[Action]:
        """Announces new versions; sends due queries unless on a voter."""
        self.writer.tick(now)
        actions = self.send_waiting_answers(now)
        if self.voter is not None:
            self.freshness.update_log_freshness(now)
            return actions + self.publish(now)
        actions += self.tick_loader(now)
        if self.is_behind(now):
            actions += self.query_holder(self.choose_source(now), now)
        if self.is_unanswered_at_start(now):
            actions += self.send_query(self.choose_source(now), now)
        if now >= self.next_query_at:
            actions += self.query_upstream(now)
        return actions + self.forward_announcement(now)

    def is_behind(self, now: float) -> bool:
        """Whether to query any VM that holds a newer version."""
        if self.freshness.pending is None:
            return False
        if self.queries.has_timed_out(now):
            return True
        waited_s = now - self.freshness.pending_since
        paused_s = now - self.queries.sent_at
        return waited_s >= PREFERENCE_SECONDS and paused_s >= RETRY_SECONDS

    def is_unanswered_at_start(self, now: float) -> bool:
        """Whether to query another VM, as this one holds no configuration."""
        if not self.is_empty or not self.queries.peer:
            return False
        if self.loader.is_reading or self.queries.is_expecting(now):
            return False
        return now - self.queries.sent_at >= START_SILENCE_SECONDS

    def receive(
        self, *, peer: str, message: object, now: float
    ) -> list[Action]:
        """Handles a message from another VM."""
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
        """Announces a new version on a voter; may be called after `apply`."""
        announcer = self.announcer
        if self.voter is None or not announcer.is_due(now):
            return []
        selector = self.build_relay_selector()
        announcer.merging_peers &= selector.alive.keys()
        self.answers.keep_only(selector.alive)
        update = announcer.choose_included(now)
        served = selector.served_peers()
        plain = [
            x.vm_id
            for x in selector.local_peers()
            if not x.voter and x.vm_id not in served
        ]
        relays = selector.remote_relays()
        # Relays elsewhere send this voter no query that tells their release.
        readers = {x for x in relays if selector.alive[x].reads_patches}
        message = self.build_announcement(now)
        to_relays = msgspec.structs.replace(message, forward=True)
        return [
            *announcer.announce(message, served, now, update=update),
            *announcer.announce(
                to_relays, relays, now, update=update, readers=readers
            ),
            *announcer.announce(message, plain, now),
        ]

    def forward_announcement(self, now: float) -> list[Action]:
        """Announces a new version that a voter asked this VM to forward.

        The voters of the own data centre announce it to the same VMs.
        """
        if self.voter is not None or not self.announcer.is_due(now):
            return []
        selector = self.build_relay_selector()
        version = self.replica.version
        is_covered = any(
            self.held_versions.get(x, 0) >= version
            for x in selector.local_voters()
        )
        is_asked = self.forward_version > self.announcer.announced_version
        if is_covered or not (is_asked or selector.is_relay()):
            self.announcer.skip()
            return []
        local = [x.vm_id for x in selector.local_peers() if not x.voter]
        return self.announcer.announce(self.build_announcement(now), local, now)

    def build_announcement(self, now: float) -> VersionAnswer:
        """Builds an announcement of the version in force, without a change."""
        age = self.freshness.age_s(now)
        return VersionAnswer(
            version=self.replica.version,
            content_hash=self.replica.content_hash,
            age_ms=None if age is None else int(age * 1000),
            from_voter=self.voter is not None,
            announcement=True,
        )

    def build_answer(self, query: VersionQuery, now: float) -> VersionAnswer:
        """Builds the answer to a query."""
        age = self.freshness.age_s(now)
        update = self.updates.build(query)
        return VersionAnswer(
            version=self.replica.version,
            content_hash=self.replica.content_hash,
            age_ms=None if age is None else int(age * 1000),
            from_voter=self.voter is not None,
            deltas=update.deltas if update else (),
            snapshot=update is None,
            patches=update.patches if update else (),
            query_number=query.number,
        )

    def build_relay_selector(self) -> RelaySelector:
        """Builds the relay selector from the VMs that are live now."""
        alive = {x.vm_id: x for x in self.peers.alive()}
        known = alive.get(self.vm_id)
        own = PeerInfo(
            vm_id=self.vm_id,
            data_centre=self.data_centre,
            voter=self.voter is not None,
            link_mbps=known.link_mbps if known is not None else 0,
        )
        alive[self.vm_id] = own
        return RelaySelector(
            own=own, alive=alive, drained=self.configuration.drained_vms
        )

    def query_upstream(self, now: float) -> list[Action]:
        """Queries a source, and fallbacks if it is silent or stale."""
        selector = self.build_relay_selector()
        self.queries.keep_only(selector.alive)
        self.answers.keep_only(selector.alive)
        self.held_versions = {
            x: version
            for x, version in self.held_versions.items()
            if x in selector.alive
        }
        upstream = selector.sources()[:1]
        silent = not upstream or self.is_silent(upstream[0], now)
        queried = list(upstream)
        if silent or self.is_stale(now):
            self.fallback_round += 1
            queried += [
                x for x in self.choose_fallbacks(selector) if x not in queried
            ]
        searching = (
            silent or not self.ready or self.freshness.pending is not None
        )
        period = RETRY_SECONDS if searching else QUERY_SECONDS
        if self.is_empty and not queried:
            period = START_RETRY_SECONDS
        self.next_query_at = now + period * self.rng.uniform(
            1.0 - JITTER, 1.0 + JITTER
        )
        if self.queries.is_expecting(now):
            # A second answer would delay the offered one.
            queried = []
        elif self.queries.is_waiting(now):
            queried = [
                x
                for x in queried
                if x != self.queries.peer and not self.queries.is_busy(x, now)
            ]
        return [x for peer in queried for x in self.send_query(peer, now)]

    def choose_source(self, now: float) -> str | None:
        """Returns the VM to query for the newest version, if there is one.

        VMs that hold a later version go first, and VMs that leave a query
        unanswered or are too busy last. Voters elsewhere are queried if no
        source shows that its version is current.
        """
        selector = self.build_relay_selector()
        sources = selector.sources()
        version = self.replica.version
        holders = [
            x
            for x, held in self.held_versions.items()
            if held > version and x in selector.alive and x not in sources
        ]
        candidates = sources + selector.rank(holders)
        candidates += selector.rank(
            x for x in selector.voters() if x not in candidates
        )
        if not candidates:
            return None
        waiting = self.queries.unanswered_since
        return min(
            candidates,
            key=lambda x: (
                x in waiting or self.queries.is_busy(x, now),
                self.held_versions.get(x, 0) <= version,
                x in self.queries.stale,
                waiting.get(x, 0.0),
            ),
        )

    def is_silent(self, peer: str, now: float) -> bool:
        """Whether a query to a VM has been unanswered for too long."""
        return self.queries.silence_s(peer, now) >= SILENCE_SECONDS

    def is_stale(self, now: float) -> bool:
        """Whether to query other VMs for newer versions; partly random."""
        age = self.freshness.age_s(now)
        if age is None or age <= STALE_SECONDS:
            return False
        return self.rng.random() < STALE_PROBABILITY

    def choose_fallbacks(self, selector: RelaySelector) -> list[str]:
        """Returns a voter, a local VM and a relay elsewhere, if they exist.

        Voters are queried in rotation, so that an unreachable one costs one
        period. The other VMs may have a newer version when no voter can be
        reached. In other data centres only relays are queried, which limits
        the number of connections.
        """
        fallbacks = []
        voters = selector.voters()
        if voters:
            fallbacks.append(voters[self.fallback_round % len(voters)])
        local_peers = sorted(x.vm_id for x in selector.local_peers())
        if local_peers:
            fallbacks.append(self.rng.choice(local_peers))
        remote_relays = selector.remote_relays()
        if remote_relays:
            fallbacks.append(
                remote_relays[self.fallback_round % len(remote_relays)]
            )
        return fallbacks

    def send_query(self, peer: str | None, now: float) -> list[Action]:
        """Queries a VM and records that the query is unanswered."""
        if peer is None:
            return []
        number = self.queries.start(peer, now)
        query = VersionQuery(
            version=self.replica.version,
            content_hash=self.replica.content_hash,
            number=number,
        )
        return [SendMessage(peer=peer, message=query)]

    def query_urgently(self, peer: str | None, now: float) -> list[Action]:
        """Queries a VM at once, unless an urgent query was sent just before."""
        if now - self.urgent_at < MIN_URGENT_SECONDS:
            return []
        self.urgent_at = now
        return self.send_query(peer, now)

    def handle_query(
        self, peer: str, query: VersionQuery, now: float
    ) -> list[Action]:
        """Answers a query with the versions that the sender lacks."""
        self.held_versions[peer] = query.version
        self.announcer.record_release(peer, query)
        actions: list[Action] = []
        if query.version > self.replica.version and self.voter is None:
            actions += self.query_urgently(peer, now)
        # The sender of a later version waits for an answer as well.
        answer = self.build_answer(query, now)
        if measure_answer(answer) > SMALL_ANSWER_BYTES:
            return actions + self.queue_answer(peer, query, answer, now)
        self.answers.remove(peer)
        return [*actions, SendMessage(peer=peer, message=answer)]

    def queue_answer(
        self, peer: str, query: VersionQuery, answer: VersionAnswer, now: float
    ) -> list[Action]:
        """Offers, sends or refuses a large answer, or lets it wait."""
        size = measure_answer(answer)
        selector = self.build_relay_selector()
        seconds = transfer_s(size, selector.own.link_mbps)
        receiver = selector.alive.get(peer, selector.own)
        receiver_s = transfer_s(size, receiver.link_mbps)
        decision = self.answers.decide(
            peer,
            query,
            seconds,
            now,
            is_slow=max(seconds, receiver_s) > OFFERED_SECONDS,
        )
        if decision is Decision.SEND:
            return [SendMessage(peer=peer, message=answer)]
        notice = msgspec.structs.replace(
            self.build_announcement(now),
            size=size,
            wait_ms=int(self.answers.wait_s(peer, now) * 1000),
            busy=decision is Decision.REFUSE,
        )
        return [SendMessage(peer=peer, message=notice)]

    def send_waiting_answers(self, now: float) -> list[Action]:
        """Sends large answers, built from the newest version, when due."""
        actions = []
        while (due := self.answers.take_due(now)) is not None:
            peer, query = due
            selector = self.build_relay_selector()
            if peer not in selector.alive:
                continue
            answer = self.build_answer(query, now)
            seconds = transfer_s(measure_answer(answer), selector.own.link_mbps)
            self.answers.record_sent(peer, seconds, now)
            actions.append(SendMessage(peer=peer, message=answer))
        return actions

    def handle_answer(
        self, peer: str, answer: VersionAnswer, now: float
    ) -> list[Action]:
        """Handles an announcement, or applies the deltas of an answer."""
        if self.voter is not None:
            return []
        self.held_versions[peer] = answer.version
        if answer.forward:
            self.forward_version = max(self.forward_version, answer.version)
        if answer.size or answer.busy:
            return self.handle_notice(peer, answer, now)
        if answer.announcement:
            return self.handle_announcement(peer, answer, now)
        asked_at = self.queries.finish(
            peer,
            answer.query_number,
            has_changes=bool(answer.deltas) or answer.snapshot,
        )
        age_s = None if answer.age_ms is None else answer.age_ms / 1000
        self.queries.record_age(peer, age_s)
        if answer.version == 0 and self.is_empty:
            retry_at = now + START_RETRY_SECONDS
            self.next_query_at = min(self.next_query_at, retry_at)
        before = self.replica.version
        diverged = not self.apply_update(answer)
        if age_s is not None and asked_at is not None:
            self.freshness.record_observation(
                version=answer.version,
                content_hash=answer.content_hash,
                at=asked_at - age_s,
                now=now,
            )
        elif answer.version > self.replica.version:
            self.record_later_version(answer, now)
        self.freshness.drop_pending()
        actions = self.forward_announcement(now)
        if answer.version == self.replica.version:
            diverged |= answer.content_hash != self.replica.content_hash
        if diverged:
            return actions + self.repair(peer, answer, now)
        if answer.version > self.replica.version and answer.snapshot:
            return actions + self.read_snapshot(peer, now)
        return actions + self.query_if_behind(
            answer, has_progress=self.replica.version > before, now=now
        )

    def handle_notice(
        self, peer: str, notice: VersionAnswer, now: float
    ) -> list[Action]:
        """Takes one offer of an answer; asks another VM after a refusal."""
        if notice.version <= self.replica.version:
            self.queries.finish(peer, 0, has_changes=True)
            return []
        expects_other = (
            self.queries.is_expecting(now) and self.queries.peer != peer
        )
        if notice.busy:
            self.queries.refuse(peer, now)
            source = self.choose_source(now)
            if source is None or self.queries.is_busy(source, now):
                return []
            return self.query_holder(source, now)
        if expects_other or self.loader.is_reading:
            return []
        link_mbps = self.build_relay_selector().own.link_mbps
        wait_s = notice.wait_ms / 1000 + transfer_s(notice.size, link_mbps)
        actions = []
        if not self.queries.is_expecting(now):
            actions = self.send_query(peer, now)
        self.queries.expect(peer, wait_s, now)
        return actions

    def handle_announcement(
        self, peer: str, answer: VersionAnswer, now: float
    ) -> list[Action]:
        """Applies an included change, or queries the preferred source.

        The others are queried only if the preferred one does not announce the
        version. An announcement may have waited on its way: it tells no time
        at which its version was current.
        """
        self.apply_update(answer)
        if self.replica.version >= answer.version:
            self.freshness.drop_pending()
            return self.forward_announcement(now)
        self.record_later_version(answer, now)
        is_busy = self.queries.is_busy(peer, now)
        if is_busy or peer != self.find_preferred(now):
            return []
        return self.query_holder(peer, now)

    def record_later_version(self, answer: VersionAnswer, now: float) -> None:
        """Records a version that this VM lacks; it may have waited on its way.

        Such a message tells no time at which its version was current.
        """
        self.freshness.record_pending(
            VersionObservation(
                version=answer.version,
                content_hash=answer.content_hash,
                at=-math.inf,
            ),
            now,
        )

    def query_holder(self, peer: str | None, now: float) -> list[Action]:
        """Queries a VM, unless an answer or a snapshot is expected."""
        if self.loader.is_reading or self.queries.is_waiting(now):
            return []
        return self.send_query(peer, now)

    def query_if_behind(
        self, answer: VersionAnswer, *, has_progress: bool, now: float
    ) -> list[Action]:
        """Queries again if an answer did not lead to the newest known version.

        Only the preferred source is queried at once, others at a tick. Without
        progress a pause keeps VMs that cannot help each other from exchanging
        messages without end.
        """
        known = max(self.freshness.known_version, answer.version)
        if known <= self.replica.version:
            return []
        source = self.find_preferred(now)
        holds_newer = self.held_versions.get(source, 0) > self.replica.version
        if not holds_newer or self.queries.is_waiting(now):
            return []
        if has_progress:
            return self.send_query(source, now)
        return self.query_urgently(source, now)

    def find_preferred(self, now: float) -> str | None:
        """Returns the preferred source that answers, if there is one.

        A VM stays with it, although another one may hold a newer version, so
        that each source serves its part of the VMs.
        """
        sources = self.build_relay_selector().sources()
        answering = (x for x in sources if not self.is_silent(x, now))
        return next(answering, None)

    def repair(
        self, peer: str, answer: VersionAnswer, now: float
    ) -> list[Action]:
        """Replaces content that differs from that of a peer."""
        if answer.from_voter:
            logger.warning(
                "configuration diverged",
                version=self.replica.version,
                peer=peer,
            )
            return self.read_snapshot(peer, now)
        # Either side may hold wrong content; a voter has the right one.
        actions = []
        for voter in self.build_relay_selector().voters()[:1]:
            actions += self.query_urgently(voter, now)
        return actions

    def apply_update(self, answer: VersionAnswer) -> bool:
        """Applies the deltas that directly follow the version in force.

        Returns:
            False if a delta does not match the content in force.
        """
        update = Update(deltas=answer.deltas, patches=answer.patches)
        for delta in restore_contents(update, self.configuration.manifests):
            if delta.base != self.replica.version:
                continue
            if not self.replica.accepts(delta):
                return False
            self.replica.apply_delta(delta)
        return True

    def handle_request(
        self, peer: str, request: SnapshotRequest, now: float
    ) -> list[Action]:
        """Answers a request for parts of a snapshot."""
        if self.replica.version == 0:
            return []
        parts = self.writer.answer(request, now)
        return [SendMessage(peer=peer, message=part) for part in parts]

    def read_snapshot(self, peer: str, now: float) -> list[Action]:
        """Requests a snapshot, unless one is being received."""
        request = self.loader.start(peer, now)
        return [SendMessage(peer=peer, message=request)] if request else []

    def tick_loader(self, now: float) -> list[Action]:
        """Repeats a request for parts of a snapshot."""
        request = self.loader.tick(now)
        if request is None:
            return []
        return [SendMessage(peer=self.loader.reader.peer, message=request)]

    def handle_part(
        self, peer: str, part: SnapshotPart, now: float
    ) -> list[Action]:
        """Stores a part and loads the snapshot when it is complete."""
        result = self.loader.take(peer, part, now)
        if isinstance(result, SnapshotReader):
            return self.load_snapshot(result, now)
        return [SendMessage(peer=peer, message=result)] if result else []

    def load_snapshot(self, reader: SnapshotReader, now: float) -> list[Action]:
        """Loads a complete snapshot and announces it if it is newer."""
        before = self.replica.version
        from_voter = self.build_relay_selector().is_voter(reader.peer)
        if not self.loader.load(reader, from_voter=from_voter, now=now):
            return []
        self.writer.clear()
        pending = self.freshness.pending
        if pending is not None:
            self.freshness.record_observation(
                version=pending.version,
                content_hash=pending.content_hash,
                at=pending.at,
                now=now,
            )
        if self.replica.version == before:
            return []
        return self.forward_announcement(now)


def measure_answer(answer: VersionAnswer) -> int:
    """Returns the approximate size of the changes in an answer, in bytes."""
    return measure_update(Update(deltas=answer.deltas, patches=answer.patches))
