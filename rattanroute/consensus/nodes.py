"""The state of a consensus node and what a step returns."""

import collections
import dataclasses
import enum
import random

from rattanroute.actions import SendMessage
from rattanroute.consensus.entries import Entry
from rattanroute.consensus.entries import HardState
from rattanroute.consensus.entries import Snapshot
from rattanroute.consensus.logs import EntryLog

# Notices a lost leader within 4 s and covers slow links between regions.
ELECTION_SECONDS = 2.0
MAX_BATCH_BYTES = 64 * 1024
MAX_INFLIGHT_BYTES = 256 * 1024
SNAPSHOT_CHUNK_BYTES = 64 * 1024
# Proposals are refused while more than this waits to be committed.
MAX_UNCOMMITTED_BYTES = 4 * 1024 * 1024
# A removed member gets entries for this long, so that it learns of its removal
# and can ask to be admitted again.
LEAVE_SECONDS = 10.0
# An announcement by a VM without membership counts for this long.
JOIN_FRESH_SECONDS = 5.0
# A voter that is silent for this long gives its place to a spare learner,
# where the log keeps its own voters. A restart takes less.
REPLACE_SECONDS = 4.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Timing:
    """Times that all voters share.

    Attributes:
        election_min_s: A follower refuses votes for this long after it heard
            from a leader.
    """

    election_min_s: float = ELECTION_SECONDS

    @property
    def election_max_s(self) -> float:
        """Longest time without a leader before a follower stands."""
        return 2 * self.election_min_s

    @property
    def lease_s(self) -> float:
        """How long an answered round makes a leader the only possible one.

        Shorter than `election_min_s`, so that the lease ends before followers
        vote for another one even if clocks run apart by 10%.
        """
        return 0.75 * self.election_min_s

    @property
    def heartbeat_s(self) -> float:
        """Time between two rounds of a leader.

        With the usual times an idle leader of five voters sends 16 messages
        a second, far below the control budget.
        """
        return 0.25 * self.election_min_s


USUAL_TIMING = Timing()


class Role(enum.StrEnum):
    """The part that a node plays in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Phase(enum.StrEnum):
    """How the leader sends entries to a member.

    PROBE sends empty requests until the last common entry is found, REPLICATE
    sends entries ahead of acknowledgements, SNAPSHOT sends chunks.
    """

    PROBE = "probe"
    REPLICATE = "replicate"
    SNAPSHOT = "snapshot"


@dataclasses.dataclass(kw_only=True, slots=True)
class Progress:
    """What the leader knows about a member.

    Attributes:
        storage_id: Storage identity that the membership lists.
        match: Last entry known to be durable at the member.
        next: Next entry to send.
        phase: How entries are sent.
        inflight: Last index and size of each unacknowledged batch.
        inflight_bytes: Sum of these sizes.
        acked_round: Latest heartbeat round that the member answered.
        heard_at: When the member last answered.
        snapshot: Snapshot being sent.
        offset: Next byte of the snapshot to send.
        chunk_sent_at: When the last chunk was sent.
        leaving_until: Until when it is kept after it was removed.
    """

    storage_id: str
    match: int = 0
    next: int = 1
    phase: Phase = Phase.PROBE
    inflight: collections.deque[tuple[int, int]] = dataclasses.field(
        default_factory=collections.deque
    )
    inflight_bytes: int = 0
    acked_round: int = 0
    heard_at: float
    snapshot: Snapshot | None = None
    offset: int = 0
    chunk_sent_at: float = 0.0
    leaving_until: float = float("-inf")

    def clear_inflight(self) -> None:
        """Forgets unacknowledged batches."""
        self.inflight.clear()
        self.inflight_bytes = 0

    def free_inflight(self, index: int) -> None:
        """Forgets batches that end at or before an index."""
        while self.inflight and self.inflight[0][0] <= index:
            self.inflight_bytes -= self.inflight.popleft()[1]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PendingRead:
    """A read that waits for a round to be answered by a quorum."""

    context: int
    index: int
    round: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Joiner:
    """A VM that announced a storage identity."""

    storage_id: str
    heard_at: float


@dataclasses.dataclass(kw_only=True, slots=True)
class IncomingSnapshot:
    """Chunks of a snapshot received so far."""

    index: int
    term: int
    data: bytearray = dataclasses.field(default_factory=bytearray)


@dataclasses.dataclass(kw_only=True, slots=True)
class Output:
    """What the host must do after a step, in the order of the attributes.

    Attributes:
        snapshot: Snapshot to persist and restore; replaces the whole log.
        hard_state: Hard state to persist: its term and vote before the
            entries, its commit index after them.
        entries: Entries to persist; an index at or below the last persisted
            one replaces that entry and drops those after it.
        messages: Messages to send once all of the above is durable.
        committed: Entries to apply once all of the above is durable.
        reads: Contexts and read indexes of confirmed reads.
        failed_reads: Contexts of reads that were not confirmed.
    """

    snapshot: Snapshot | None = None
    hard_state: HardState | None = None
    entries: list[Entry] = dataclasses.field(default_factory=list)
    messages: list[SendMessage] = dataclasses.field(default_factory=list)
    committed: list[Entry] = dataclasses.field(default_factory=list)
    reads: list[tuple[int, int]] = dataclasses.field(default_factory=list)
    failed_reads: list[int] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(kw_only=True, slots=True)
class NodeState:
    """State of a consensus node.

    Attributes:
        vm_id: This VM.
        storage_id: Identity of its data folder.
        rng: Generator of election timeouts.
        log: Entries and memberships.
        hard_state: Hard state as last handed out for persisting.
        term: Current term.
        vote: Storage identity voted for in this term.
        commit: Last committed index.
        applied: Last index handed out for applying.
        role: Part played in this term.
        leader_id: Known leader of this term; "" for none.
        heard_leader_at: When the leader was last heard.
        quiet_until: No vote is granted before this time after a start,
            because the node may have answered a leader just before.
        election_at: When to start an election unless a leader is heard.
        votes: Voters that granted their vote in the current election.
        transfer_election: Whether this election follows a leader transfer.
        progress: Other members as the leader sees them, by VM identifier.
        round: Latest heartbeat round.
        round_sent_at: Start of rounds that a quorum has not answered.
        heartbeat_at: When the next round starts.
        term_start: Index of the leader's first entry of its term.
        reads: Reads that wait for a round.
        transfer_target: VM that leadership is being handed to; "" for none.
        transfer_until: When the transfer is given up.
        joiners: VMs that announced a storage identity, by VM identifier.
        incoming: Snapshot being received.
        voter_target: Voters that the log keeps by itself; 0 leaves changes of
            the membership to operators.
        timing: Times that all voters share.
        out: Output of the current step.
    """

    vm_id: str
    storage_id: str
    rng: random.Random
    log: EntryLog
    hard_state: HardState
    term: int
    vote: str
    commit: int
    applied: int
    quiet_until: float
    election_at: float
    role: Role = Role.FOLLOWER
    leader_id: str = ""
    heard_leader_at: float = float("-inf")
    votes: set[str] = dataclasses.field(default_factory=set)
    transfer_election: bool = False
    progress: dict[str, Progress] = dataclasses.field(default_factory=dict)
    round: int = 0
    round_sent_at: dict[int, float] = dataclasses.field(default_factory=dict)
    heartbeat_at: float = 0.0
    term_start: int = 0
    reads: list[PendingRead] = dataclasses.field(default_factory=list)
    transfer_target: str = ""
    transfer_until: float = 0.0
    joiners: dict[str, Joiner] = dataclasses.field(default_factory=dict)
    incoming: IncomingSnapshot | None = None
    voter_target: int = 0
    timing: Timing = USUAL_TIMING
    out: Output = dataclasses.field(default_factory=Output)

    def send(self, peer: str, message: object) -> None:
        """Adds a message to the output."""
        self.out.messages.append(SendMessage(peer=peer, message=message))

    @property
    def is_voter(self) -> bool:
        """Whether the latest membership lists this folder as a voter."""
        membership = self.log.membership
        return membership.find_voter(self.vm_id, self.storage_id) is not None

    @property
    def has_committed_in_term(self) -> bool:
        """Whether this leader knows all entries committed before its term."""
        return self.role == Role.LEADER and self.commit >= self.term_start
