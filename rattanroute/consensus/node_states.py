"""State of a consensus node and the output of a step."""

import collections
import dataclasses
import enum
import random

from rattanroute.actions import SendMessage
from rattanroute.consensus.entries import Entry
from rattanroute.consensus.entries import HardState
from rattanroute.consensus.entries import Snapshot
from rattanroute.consensus.entry_logs import EntryLog

# Detects a failed leader within 4 s and tolerates slow links between regions.
ELECTION_SECONDS = 2.0
MAX_BATCH_BYTES = 64 * 1024
MAX_INFLIGHT_BYTES = 256 * 1024
SNAPSHOT_CHUNK_BYTES = 64 * 1024
# The leader refuses proposals that would bring the uncommitted entries above
# this size.
MAX_UNCOMMITTED_BYTES = 4 * 1024 * 1024
# The leader sends entries to a removed member for this long, so that the
# member receives its removal and can ask to join again.
REMOVED_MEMBER_SECONDS = 10.0
# A join request of a VM that is not a member is valid for this long.
JOIN_REQUEST_EXPIRY_SECONDS = 5.0
# With a `voter_target`, a caught-up learner replaces a voter that has not
# answered for this long. A restart takes less.
VOTER_REPLACEMENT_SECONDS = 4.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Timing:
    """Timeouts of the protocol, in seconds; equal on all voters.

    Attributes:
        election_min_s: Shortest election timeout; a follower refuses votes
            for this long after a message from a leader.
    """

    election_min_s: float = ELECTION_SECONDS

    @property
    def election_max_s(self) -> float:
        """Longest election timeout of a follower."""
        return 2 * self.election_min_s

    @property
    def lease_s(self) -> float:
        """Length of the leader lease after a round that a quorum answered.

        Shorter than `election_min_s`, so that the lease ends before followers
        vote for another leader even if clock rates differ by 10%.
        """
        return 0.75 * self.election_min_s

    @property
    def heartbeat_s(self) -> float:
        """Time between two heartbeat rounds of a leader.

        With the default timing the idle leader of five voters causes 16
        messages a second, far below the budget for control messages.
        """
        return 0.25 * self.election_min_s


DEFAULT_TIMING = Timing()


class Role(enum.StrEnum):
    """Role of a node in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ReplicationPhase(enum.StrEnum):
    """How the leader sends entries to a member.

    PROBE sends empty requests until the last common entry is found, REPLICATE
    pipelines entries without waiting for acknowledgements, and SNAPSHOT sends
    the chunks of a snapshot.
    """

    PROBE = "probe"
    REPLICATE = "replicate"
    SNAPSHOT = "snapshot"


@dataclasses.dataclass(kw_only=True, slots=True)
class Progress:
    """The leader's replication state for another member.

    Attributes:
        storage_id: Storage identity that the membership lists.
        match: Index of the last entry known to be durable at the member.
        next: Index of the next entry to send.
        phase: How entries are sent.
        inflight: Last index and size of each unacknowledged batch.
        inflight_bytes: Sum of these sizes, in bytes.
        acked_round: Latest heartbeat round that the member answered.
        last_received_at: Time of the member's latest answer.
        snapshot: Snapshot being sent.
        offset: Byte offset of the next chunk of the snapshot.
        chunk_sent_at: Time when the last chunk was sent.
        retained_until: Time until which a removed member still gets entries.
    """

    storage_id: str
    match: int = 0
    next: int = 1
    phase: ReplicationPhase = ReplicationPhase.PROBE
    inflight: collections.deque[tuple[int, int]] = dataclasses.field(
        default_factory=collections.deque
    )
    inflight_bytes: int = 0
    acked_round: int = 0
    last_received_at: float
    snapshot: Snapshot | None = None
    offset: int = 0
    chunk_sent_at: float = 0.0
    retained_until: float = float("-inf")

    def clear_inflight(self) -> None:
        """Drops all unacknowledged batches."""
        self.inflight.clear()
        self.inflight_bytes = 0

    def free_inflight(self, index: int) -> None:
        """Drops the batches that end at or before an index."""
        while self.inflight and self.inflight[0][0] <= index:
            self.inflight_bytes -= self.inflight.popleft()[1]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PendingRead:
    """A read that waits until a quorum has answered a round."""

    context: int
    index: int
    round: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JoinCandidate:
    """Storage identity and arrival time of a VM's join request."""

    storage_id: str
    last_received_at: float


@dataclasses.dataclass(kw_only=True, slots=True)
class IncomingSnapshot:
    """Part of a snapshot that was received so far."""

    index: int
    term: int
    data: bytearray = dataclasses.field(default_factory=bytearray)


@dataclasses.dataclass(kw_only=True, slots=True)
class StepOutput:
    """Work for the host after a step, in the order of the attributes.

    Attributes:
        snapshot: Snapshot to persist and restore; it replaces the entire log.
        hard_state: Hard state to persist: its term and vote before the
            entries, its commit index after them.
        entries: Entries to persist; one at or below the last persisted index
            replaces the entry there and drops those after it.
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
        hard_state: Hard state of the latest output that had one.
        term: Current term.
        vote: Storage identity voted for in this term.
        commit: Last committed index.
        applied: Last index that an output passed on for applying.
        role: Role in this term.
        leader_id: VM of the known leader of this term; "" for none.
        leader_received_at: Time of the leader's latest message.
        votes_blocked_until: Time after a start until which no vote is granted,
            because the node may have answered a leader just before it stopped.
        election_at: Time to start an election unless a leader sends a message.
        votes: VMs that granted their vote in the current election.
        transfer_election: Whether this election follows a leader transfer.
        progress: Replication state of the other members, by VM identifier.
        round: Number of the latest heartbeat round.
        round_sent_at: Start time of each round from the latest one that a
            quorum has answered, by number.
        heartbeat_at: Time of the next round.
        term_start_index: Index of the leader's first entry of its term.
        reads: Reads that wait until a quorum has answered their round.
        transfer_target: VM that leadership is being transferred to; "" for
            none.
        transfer_until: Time when an unfinished transfer is cancelled.
        join_candidates: Join requests received by the leader, by VM
            identifier.
        incoming: Snapshot being received.
        voter_target: Number of voters that the leader maintains by itself; 0
            leaves membership changes to operators.
        timing: Timeouts, equal on all voters.
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
    votes_blocked_until: float
    election_at: float
    role: Role = Role.FOLLOWER
    leader_id: str = ""
    leader_received_at: float = float("-inf")
    votes: set[str] = dataclasses.field(default_factory=set)
    transfer_election: bool = False
    progress: dict[str, Progress] = dataclasses.field(default_factory=dict)
    round: int = 0
    round_sent_at: dict[int, float] = dataclasses.field(default_factory=dict)
    heartbeat_at: float = 0.0
    term_start_index: int = 0
    reads: list[PendingRead] = dataclasses.field(default_factory=list)
    transfer_target: str = ""
    transfer_until: float = 0.0
    join_candidates: dict[str, JoinCandidate] = dataclasses.field(
        default_factory=dict
    )
    incoming: IncomingSnapshot | None = None
    voter_target: int = 0
    timing: Timing = DEFAULT_TIMING
    out: StepOutput = dataclasses.field(default_factory=StepOutput)

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
        """Whether this leader has committed an entry of its own term.

        Its commit index then covers all entries committed in earlier terms.
        """
        return self.role == Role.LEADER and self.commit >= self.term_start_index
