"""Elections: pre-votes, votes, loss of leadership and the leader lease."""

from rattanroute.consensus import replications
from rattanroute.consensus.entries import EntryKind
from rattanroute.consensus.nodes import NodeState
from rattanroute.consensus.nodes import Role
from rattanroute.messages.consensus import TimeoutNow
from rattanroute.messages.consensus import VoteRequest
from rattanroute.messages.consensus import VoteResponse


def reset_election_timer(state: NodeState, now: float) -> None:
    """Draws a new election timeout."""
    state.election_at = now + state.rng.uniform(
        state.timing.election_min_s, state.timing.election_max_s
    )


def become_follower(
    state: NodeState, *, term: int, leader_id: str, now: float
) -> None:
    """Enters a term, or stays in the current one, as a follower."""
    if term > state.term:
        state.term = term
        state.vote = ""
    state.role = Role.FOLLOWER
    state.leader_id = leader_id
    state.votes.clear()
    state.progress.clear()
    state.round_sent_at.clear()
    state.transfer_target = ""
    state.out.failed_reads.extend(read.context for read in state.reads)
    state.reads.clear()
    reset_election_timer(state, now)


def hears_leader(state: NodeState, now: float) -> bool:
    """Tells whether a leader may hold a lease that relies on this node."""
    if now < state.quiet_until or state.role == Role.LEADER:
        return True
    return now - state.heard_leader_at < state.timing.election_min_s


def is_up_to_date(state: NodeState, message: VoteRequest) -> bool:
    """Tells whether the candidate's log contains all that ours may commit."""
    candidate = (message.last_term, message.last_index)
    return candidate >= (state.log.last_term, state.log.last_index)


def start_election(
    state: NodeState, *, pre_vote: bool, transfer: bool, now: float
) -> None:
    """Asks the voters for their pre-votes or votes."""
    reset_election_timer(state, now)
    if not state.is_voter:
        return
    state.leader_id = ""
    state.votes = {state.vm_id}
    state.transfer_election = transfer
    if pre_vote:
        state.role = Role.PRE_CANDIDATE
    else:
        state.role = Role.CANDIDATE
        state.term += 1
        state.vote = state.storage_id
    request = VoteRequest(
        storage_id=state.storage_id,
        term=state.term + 1 if pre_vote else state.term,
        last_index=state.log.last_index,
        last_term=state.log.last_term,
        pre_vote=pre_vote,
        transfer=transfer,
        log_id=state.log.membership.log_id,
    )
    for member in state.log.membership.voters:
        if member.vm_id != state.vm_id:
            state.send(member.vm_id, request)
    count_votes(state, now)


def count_votes(state: NodeState, now: float) -> None:
    """Moves on when a quorum has granted."""
    if len(state.votes) < state.log.membership.quorum:
        return
    if state.role == Role.PRE_CANDIDATE:
        start_election(state, pre_vote=False, transfer=False, now=now)
    elif state.role == Role.CANDIDATE:
        become_leader(state, now)


def become_leader(state: NodeState, now: float) -> None:
    """Takes leadership of the term and appends its first entry."""
    state.role = Role.LEADER
    state.leader_id = state.vm_id
    state.round_sent_at.clear()
    state.reads.clear()
    state.transfer_target = ""
    state.progress.clear()
    replications.refresh_progress(state, now)
    entry = replications.append_entry(state, EntryKind.NOOP, b"")
    state.term_start = entry.index
    replications.start_round(state, now)


def handle_vote_request(
    state: NodeState, peer: str, message: VoteRequest, now: float
) -> None:
    """Answers a pre-vote or a vote."""
    if message.pre_vote:
        granted = (
            message.term > state.term
            and is_up_to_date(state, message)
            and not hears_leader(state, now)
        )
        respond_to_vote(state, peer, message, granted)
        return
    if hears_leader(state, now) and not message.transfer:
        return
    if message.term > state.term:
        become_follower(state, term=message.term, leader_id="", now=now)
    granted = (
        message.term == state.term
        and state.vote in ("", message.storage_id)
        and state.role == Role.FOLLOWER
        and is_up_to_date(state, message)
    )
    if granted:
        state.vote = message.storage_id
        reset_election_timer(state, now)
    respond_to_vote(state, peer, message, granted)


def respond_to_vote(
    state: NodeState, peer: str, message: VoteRequest, granted: bool
) -> None:
    """Sends the answer to a vote request."""
    response = VoteResponse(
        storage_id=state.storage_id,
        term=message.term if granted else state.term,
        granted=granted,
        pre_vote=message.pre_vote,
    )
    state.send(peer, response)


def handle_vote_response(
    state: NodeState, peer: str, message: VoteResponse, now: float
) -> None:
    """Counts a vote from a voter whose storage identity is listed."""
    if not message.granted and message.term > state.term:
        become_follower(state, term=message.term, leader_id="", now=now)
        return
    role = Role.PRE_CANDIDATE if message.pre_vote else Role.CANDIDATE
    term = state.term + 1 if message.pre_vote else state.term
    if not message.granted or state.role != role or message.term != term:
        return
    membership = state.log.membership
    if membership.find_voter(peer, message.storage_id) is None:
        return
    state.votes.add(peer)
    count_votes(state, now)


def handle_timeout_now(
    state: NodeState, peer: str, message: TimeoutNow, now: float
) -> None:
    """Starts an election at once, because the leader gave up its lease."""
    if message.term == state.term and state.role == Role.FOLLOWER:
        start_election(state, pre_vote=False, transfer=True, now=now)


def check_quorum(state: NodeState, now: float) -> None:
    """Makes a leader step down that no quorum has answered for long.

    It runs before anything else in each step, so that a leader that was
    frozen sends nothing as leader when it resumes.
    """
    if state.role != Role.LEADER:
        return
    if len(find_active_voters(state, now)) < state.log.membership.quorum:
        become_follower(state, term=state.term, leader_id="", now=now)


def find_active_voters(state: NodeState, now: float) -> set[str]:
    """Returns the voters that answered recently, with this node."""
    active = set()
    for member in state.log.membership.voters:
        progress = state.progress.get(member.vm_id)
        if member.vm_id == state.vm_id or (
            progress is not None
            and now - progress.heard_at < state.timing.election_min_s
        ):
            active.add(member.vm_id)
    return active


def compute_lease_end(state: NodeState, now: float) -> float:
    """Returns until when no other leader can have been elected.

    The lease starts when the latest round was sent that a quorum answered.
    """
    answered = replications.compute_quorum_round(state)
    if answered == state.round and state.log.membership.quorum == 1:
        return now + state.timing.lease_s
    sent_at = state.round_sent_at.get(answered)
    if sent_at is None:
        return float("-inf")
    return sent_at + state.timing.lease_s


def has_lease(state: NodeState, now: float) -> bool:
    """Tells whether this node is the only possible leader at `now`."""
    return state.has_committed_in_term and now < compute_lease_end(state, now)
