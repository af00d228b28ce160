"""A Raft node that performs no input or output.

The host makes the snapshot, hard state and entries of each output durable
before it sends the messages or applies the entries of the same output. If
that fails, it drops the node and builds a new one from the durable state.

Extensions of the published algorithm: pre-votes, a leader that steps down
without a quorum, a leader lease, and members that are identified by the
random identity of their data folder as well as by their VM. A VM that lost
its folder is therefore never counted as the member that it was.
"""

from collections.abc import Callable
import random

from rattanroute.consensus import elections
from rattanroute.consensus import membership_changes
from rattanroute.consensus import replications
from rattanroute.consensus import snapshot_transfers
from rattanroute.consensus.entries import Entry
from rattanroute.consensus.entries import EntryKind
from rattanroute.consensus.entries import HardState
from rattanroute.consensus.entries import Membership
from rattanroute.consensus.entries import Snapshot
from rattanroute.consensus.entry_logs import EntryLog
from rattanroute.consensus.entry_logs import estimate_entry_bytes
from rattanroute.consensus.node_states import DEFAULT_TIMING
from rattanroute.consensus.node_states import MAX_UNCOMMITTED_BYTES
from rattanroute.consensus.node_states import NodeState
from rattanroute.consensus.node_states import Role
from rattanroute.consensus.node_states import StepOutput
from rattanroute.consensus.node_states import Timing
from rattanroute.messages.consensus import AppendRequest
from rattanroute.messages.consensus import AppendResponse
from rattanroute.messages.consensus import JoinRequest
from rattanroute.messages.consensus import SnapshotChunk
from rattanroute.messages.consensus import SnapshotResponse
from rattanroute.messages.consensus import TimeoutNow
from rattanroute.messages.consensus import VoteRequest
from rattanroute.messages.consensus import VoteResponse

Handler = Callable[[NodeState, str, object, float], None]

HANDLERS: dict[type, Handler] = {
    VoteRequest: elections.handle_vote_request,
    VoteResponse: elections.handle_vote_response,
    TimeoutNow: elections.handle_timeout_now,
    AppendRequest: replications.handle_append_request,
    AppendResponse: replications.handle_append_response,
    SnapshotChunk: snapshot_transfers.handle_chunk,
    SnapshotResponse: snapshot_transfers.handle_response,
    JoinRequest: membership_changes.record_join_request,
}


def is_from_another_log(state: NodeState, message: object) -> bool:
    """Returns whether a message belongs to a log other than this node's.

    Two logs exist if the folders of all first voters were emptied while
    other members still held the log. Equal indexes and terms then do not
    mean equal entries, so messages of the other log are ignored.
    """
    own = state.log.membership.log_id
    match message:
        case AppendRequest() | VoteRequest():
            log_id = message.log_id
        case SnapshotChunk():
            log_id = message.membership.log_id
        case _:
            return False
    return own not in (0, log_id)


def build_state(
    *,
    vm_id: str,
    storage_id: str,
    log: EntryLog,
    hard_state: HardState,
    rng: random.Random,
    now: float,
    voter_target: int = 0,
    timing: Timing = DEFAULT_TIMING,
) -> NodeState:
    """Builds the state of a node from its durable state."""
    commit = min(max(hard_state.commit, log.snapshot.index), log.last_index)
    # A single voter needs no other vote, so it starts an election immediately.
    is_single_voter = log.membership.quorum == 1
    delay = rng.uniform(timing.election_min_s, timing.election_max_s)
    return NodeState(
        vm_id=vm_id,
        storage_id=storage_id,
        rng=rng,
        log=log,
        hard_state=hard_state,
        term=hard_state.term,
        vote=hard_state.vote,
        commit=commit,
        applied=log.snapshot.index,
        votes_blocked_until=now + timing.election_min_s,
        election_at=now if is_single_voter else now + delay,
        voter_target=voter_target,
        timing=timing,
    )


class ConsensusNode:
    """Raft node of one member of the replicated log.

    Attributes:
        state: Complete state of the node; read-only for the host.
    """

    def __init__(self, state: NodeState) -> None:
        self.state = state

    def step(self, *, peer: str, message: object, now: float) -> StepOutput:
        """Handles a message from another member."""
        state = self.state
        elections.check_quorum(state, now)
        if not is_from_another_log(state, message):
            HANDLERS[type(message)](state, peer, message, now)
        return self.finish(now)

    def tick(self, *, now: float) -> StepOutput:
        """Sends heartbeats or starts an election when these are due."""
        state = self.state
        elections.check_quorum(state, now)
        if state.role == Role.LEADER:
            membership_changes.maintain_membership(state, now)
            if now >= state.heartbeat_at:
                replications.start_round(state, now)
        elif now >= state.election_at:
            elections.start_election(
                state, pre_vote=True, transfer=False, now=now
            )
        return self.finish(now)

    def propose(
        self, payloads: tuple[bytes, ...], *, now: float
    ) -> tuple[list[Entry], StepOutput]:
        """Appends a batch of proposals.

        Args:
            payloads: The proposals.
            now: Monotonic clock, in seconds.

        Returns:
            One entry for each appended proposal, in order, and the output. A
            node that is not the leader appends none; the leader skips the
            remaining ones once `MAX_UNCOMMITTED_BYTES` would be exceeded.
        """
        state = self.state
        elections.check_quorum(state, now)
        entries: list[Entry] = []
        if state.role == Role.LEADER and not state.transfer_target:
            pending = state.log.entries_between(
                state.commit + 1, state.log.last_index
            )
            size = sum(estimate_entry_bytes(entry) for entry in pending)
            for data in payloads:
                size += len(data)
                if size > MAX_UNCOMMITTED_BYTES:
                    break
                entries.append(
                    replications.append_entry(state, EntryKind.DATA, data)
                )
            replications.send_all(state, now)
        return entries, self.finish(now)

    def read_index(
        self, contexts: tuple[int, ...], *, now: float
    ) -> StepOutput:
        """Requests read indexes; a later output's `reads` has them."""
        elections.check_quorum(self.state, now)
        replications.add_reads(self.state, contexts, now)
        return self.finish(now)

    def add_learner(
        self, vm_id: str, *, promote: bool, now: float
    ) -> tuple[Entry, StepOutput]:
        """Adds a VM that asked to join as a learner.

        Raises:
            MembershipError: If the change is refused.
        """
        entry = membership_changes.add_learner(
            self.state, vm_id, promote=promote, now=now
        )
        return entry, self.finish(now)

    def promote(self, vm_id: str, *, now: float) -> tuple[Entry, StepOutput]:
        """Turns a learner that has caught up into a voter.

        Raises:
            MembershipError: If the change is refused.
        """
        entry = membership_changes.promote(self.state, vm_id, now)
        return entry, self.finish(now)

    def remove(self, vm_id: str, *, now: float) -> tuple[Entry, StepOutput]:
        """Removes another member.

        Raises:
            MembershipError: If the change is refused.
        """
        entry = membership_changes.remove(self.state, vm_id, now)
        return entry, self.finish(now)

    def transfer_leadership(self, vm_id: str, *, now: float) -> StepOutput:
        """Starts the transfer of leadership to another voter.

        Raises:
            MembershipError: If the transfer is refused.
        """
        elections.check_quorum(self.state, now)
        membership_changes.start_transfer(self.state, vm_id, now)
        return self.finish(now)

    def compact(self, snapshot: Snapshot, *, base_index: int) -> None:
        """Drops the entries up to an index, which a durable snapshot covers."""
        self.state.log.compact(snapshot, base_index=base_index)

    def has_lease(self, *, now: float) -> bool:
        """Returns whether no other node can be leader at `now`."""
        state = self.state
        if state.role != Role.LEADER:
            return False
        return elections.has_lease(state, now)

    def membership_at(self, index: int) -> Membership:
        """Returns the membership in force at an index."""
        return self.state.log.membership_at(index)

    def finish(self, now: float) -> StepOutput:
        """Completes a step and returns its accumulated output."""
        state = self.state
        if state.role == Role.LEADER:
            self.finish_as_leader(now)
        output = state.out
        state.out = StepOutput()
        output.committed = state.log.entries_between(
            state.applied + 1, state.commit
        )
        state.applied = state.commit
        hard_state = HardState(
            term=state.term, vote=state.vote, commit=state.commit
        )
        stored = state.hard_state
        # A new commit index alone is not persisted: the stored one is only a
        # lower bound, so it is not worth a sync.
        if (
            output.entries
            or output.snapshot is not None
            or (hard_state.term, hard_state.vote) != (stored.term, stored.vote)
        ):
            output.hard_state = hard_state
            state.hard_state = hard_state
        return output

    def finish_as_leader(self, now: float) -> None:
        """Advances the commit index, pending reads and a transfer."""
        state = self.state
        replications.advance_commit(state)
        replications.confirm_reads(state)
        replications.drop_answered_rounds(state)
        membership_changes.continue_transfer(state, now)
