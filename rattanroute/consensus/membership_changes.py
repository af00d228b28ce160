"""Membership changes, one at a time, and leader transfer.

A change takes effect when it is appended. A new member starts as a learner
and can become a voter only after it has caught up. A change is refused if the
voters that answer the leader would not be a quorum of the new membership, so
that no change can stop the log or rely on a VM that has failed.
"""

from rattanroute.consensus import elections
from rattanroute.consensus import replications
from rattanroute.consensus.entries import encode_membership
from rattanroute.consensus.entries import Entry
from rattanroute.consensus.entries import EntryKind
from rattanroute.consensus.entries import Member
from rattanroute.consensus.entries import Membership
from rattanroute.consensus.node_states import JOIN_REQUEST_EXPIRY_SECONDS
from rattanroute.consensus.node_states import JoinCandidate
from rattanroute.consensus.node_states import NodeState
from rattanroute.consensus.node_states import REMOVED_MEMBER_SECONDS
from rattanroute.consensus.node_states import Role
from rattanroute.consensus.node_states import VOTER_REPLACEMENT_SECONDS
from rattanroute.errors import RouterError
from rattanroute.messages.consensus import JoinRequest
from rattanroute.messages.consensus import TimeoutNow


class MembershipError(RouterError):
    """A membership change was refused and nothing was changed."""


def build_membership_error(vm_id: str, message: str) -> MembershipError:
    """Returns the error for a refused change."""
    return MembershipError(
        step="change membership", peer=vm_id, message=message
    )


def check_ready(state: NodeState, vm_id: str) -> None:
    """Checks that this node may append a membership change now.

    Until the leader has committed an entry of its own term, a change of an
    earlier term may still be pending.

    Raises:
        MembershipError: If it may not.
    """
    if state.role != Role.LEADER:
        raise build_membership_error(
            vm_id, f"not the leader; it is {state.leader_id!r}"
        )
    if not state.has_committed_in_term:
        raise build_membership_error(
            vm_id, "the leader has not committed an entry yet"
        )
    if state.log.membership_index > state.commit:
        raise build_membership_error(
            vm_id, "another membership change is in progress"
        )
    if state.transfer_target:
        raise build_membership_error(vm_id, "leadership is being transferred")


def check_active_quorum(
    state: NodeState, membership: Membership, vm_id: str, now: float
) -> None:
    """Checks that enough voters of a new membership are active.

    Raises:
        MembershipError: If the active voters are not a quorum of it.
    """
    active = {state.vm_id}
    for member in membership.voters:
        progress = state.progress.get(member.vm_id)
        if (
            progress is not None
            and progress.storage_id == member.storage_id
            and now - progress.last_received_at < state.timing.election_min_s
        ):
            active.add(member.vm_id)
    if len(active) < membership.quorum:
        raise build_membership_error(
            vm_id,
            f"only {len(active)} of {len(membership.voters)} voters would be "
            "active",
        )


def append_membership(
    state: NodeState, membership: Membership, vm_id: str, now: float
) -> Entry:
    """Appends a membership entry, which takes effect immediately.

    Raises:
        MembershipError: If too few of its voters are active.
    """
    check_active_quorum(state, membership, vm_id, now)
    entry = replications.append_entry(
        state, EntryKind.MEMBERSHIP, encode_membership(membership)
    )
    replications.refresh_progress(state, now)
    replications.start_round(state, now)
    replications.send_all(state, now)
    return entry


def add_learner(
    state: NodeState, vm_id: str, *, promote: bool, now: float
) -> Entry:
    """Adds a VM that asked to join as a learner.

    Raises:
        MembershipError: If the change is refused.
    """
    check_ready(state, vm_id)
    if state.log.membership.find(vm_id) is not None:
        raise build_membership_error(vm_id, "is already a member")
    candidate = state.join_candidates.get(vm_id)
    if (
        candidate is None
        or now - candidate.last_received_at >= JOIN_REQUEST_EXPIRY_SECONDS
    ):
        raise build_membership_error(
            vm_id, "has not announced itself to the leader"
        )
    member = Member(
        vm_id=vm_id,
        storage_id=candidate.storage_id,
        voter=False,
        promote=promote,
    )
    membership = state.log.membership.with_member(member)
    return append_membership(state, membership, vm_id, now)


def is_caught_up(state: NodeState, vm_id: str, now: float) -> bool:
    """Returns whether an active member has all committed entries."""
    progress = state.progress.get(vm_id)
    return (
        progress is not None
        and progress.match >= state.commit
        and now - progress.last_received_at < state.timing.election_min_s
    )


def promote(state: NodeState, vm_id: str, now: float) -> Entry:
    """Turns a learner that has caught up into a voter.

    Raises:
        MembershipError: If the change is refused.
    """
    check_ready(state, vm_id)
    member = state.log.membership.find(vm_id)
    if member is None or member.voter:
        raise build_membership_error(vm_id, "is not a learner")
    if not is_caught_up(state, vm_id, now):
        raise build_membership_error(vm_id, "has not caught up")
    voter = Member(vm_id=vm_id, storage_id=member.storage_id, voter=True)
    membership = state.log.membership.with_member(voter)
    return append_membership(state, membership, vm_id, now)


def remove(state: NodeState, vm_id: str, now: float) -> Entry:
    """Removes another member.

    Raises:
        MembershipError: If the change is refused.
    """
    check_ready(state, vm_id)
    if vm_id == state.vm_id:
        raise build_membership_error(
            vm_id, "is the leader; transfer leadership first"
        )
    if state.log.membership.find(vm_id) is None:
        raise build_membership_error(vm_id, "is not a member")
    membership = state.log.membership.without(vm_id)
    check_active_quorum(state, membership, vm_id, now)
    state.progress[vm_id].retained_until = now + REMOVED_MEMBER_SECONDS
    return append_membership(state, membership, vm_id, now)


def record_join_request(
    state: NodeState, peer: str, message: JoinRequest, now: float
) -> None:
    """Records a join request, or forwards it to the leader."""
    if state.role == Role.LEADER:
        state.join_candidates[message.vm_id] = JoinCandidate(
            storage_id=message.storage_id, last_received_at=now
        )
    elif peer == message.vm_id and state.leader_id not in ("", peer):
        state.send(state.leader_id, message)


def build_replacement_learner(state: NodeState, now: float) -> Member | None:
    """Builds the learner that replaces a member that lost its folder.

    The listed storage identity must not have answered for an election
    timeout: a join request from before a repair may arrive late and must not
    remove a member that is intact.

    Returns:
        The learner with the new storage identity; None if there is none.
    """
    for vm_id, candidate in state.join_candidates.items():
        member = state.log.membership.find(vm_id)
        progress = state.progress.get(vm_id)
        if member is None or progress is None:
            continue
        if (
            candidate.storage_id != member.storage_id
            and now - candidate.last_received_at < JOIN_REQUEST_EXPIRY_SECONDS
            and now - progress.last_received_at >= state.timing.election_min_s
        ):
            return Member(
                vm_id=vm_id,
                storage_id=candidate.storage_id,
                voter=False,
                promote=member.voter or member.promote,
            )
    return None


def find_learner_to_promote(state: NodeState, now: float) -> str:
    """Returns a caught-up learner marked for promotion, or ""."""
    for member in state.log.membership.members:
        if member.promote and is_caught_up(state, member.vm_id, now):
            return member.vm_id
    return ""


def maintain_membership(state: NodeState, now: float) -> None:
    """Replaces a member that lost its folder, or promotes a learner.

    With a `voter_target`, it also admits new members and replaces voters
    that do not answer. A refused change is not an error: the next tick tries
    again.
    """
    try:
        check_ready(state, "")
        lost = build_replacement_learner(state, now)
        if lost is not None:
            membership = state.log.membership.with_member(lost)
            append_membership(state, membership, lost.vm_id, now)
            return
        learner = find_learner_to_promote(state, now)
        if learner:
            promote(state, learner, now)
        elif state.voter_target:
            maintain_voters(state, now)
    except MembershipError:
        return


def find_join_candidate(state: NodeState, now: float) -> str:
    """Returns a VM that asked to join recently and is no member, or ""."""
    for vm_id, candidate in state.join_candidates.items():
        fresh = now - candidate.last_received_at < JOIN_REQUEST_EXPIRY_SECONDS
        if fresh and state.log.membership.find(vm_id) is None:
            return vm_id
    return ""


def find_caught_up_learner(state: NodeState, now: float) -> str:
    """Returns a learner that has caught up, or ""."""
    for member in state.log.membership.members:
        if not member.voter and is_caught_up(state, member.vm_id, now):
            return member.vm_id
    return ""


def find_unresponsive_voter(state: NodeState, now: float) -> str:
    """Returns a voter without a recent answer, or ""."""
    for member in state.log.membership.voters:
        progress = state.progress.get(member.vm_id)
        if progress is None or member.vm_id == state.vm_id:
            continue
        if now - progress.last_received_at >= VOTER_REPLACEMENT_SECONDS:
            return member.vm_id
    return ""


def maintain_voters(state: NodeState, now: float) -> None:
    """Admits VMs that ask to join and maintains the number of voters.

    A voter that does not answer is removed only while a learner that has all
    committed entries can take its place, so that the number of voters
    recovers immediately.

    Raises:
        MembershipError: If a change is refused.
    """
    join_candidate = find_join_candidate(state, now)
    if join_candidate:
        add_learner(state, join_candidate, promote=False, now=now)
        return
    learner_id = find_caught_up_learner(state, now)
    if not learner_id:
        return
    if len(state.log.membership.voters) < state.voter_target:
        promote(state, learner_id, now)
        return
    silent = find_unresponsive_voter(state, now)
    if silent:
        remove(state, silent, now)


def start_transfer(state: NodeState, vm_id: str, now: float) -> None:
    """Starts to transfer leadership to another voter.

    Raises:
        MembershipError: If the transfer is refused.
    """
    check_ready(state, vm_id)
    member = state.log.membership.find(vm_id)
    progress = state.progress.get(vm_id)
    if member is None or not member.voter or progress is None:
        raise build_membership_error(vm_id, "is not another voter")
    if now - progress.last_received_at >= state.timing.election_min_s:
        raise build_membership_error(vm_id, "does not answer")
    state.transfer_target = vm_id
    state.transfer_until = now + state.timing.election_min_s
    continue_transfer(state, now)


def continue_transfer(state: NodeState, now: float) -> None:
    """Transfers leadership once the target has all entries.

    The leader steps down when it sends the message: the target's election
    ignores the leader lease, so this node must not claim the lease again in
    this term.
    """
    if state.role != Role.LEADER or not state.transfer_target:
        return
    target = state.transfer_target
    progress = state.progress.get(target)
    if progress is None or now >= state.transfer_until:
        state.transfer_target = ""
        return
    if progress.match < state.log.last_index:
        return
    message = TimeoutNow(storage_id=state.storage_id, term=state.term)
    elections.become_follower(state, term=state.term, leader_id="", now=now)
    state.send(target, message)
