"""Membership changes, one at a time, and leader transfer.

A change takes effect when it is appended. A voter is added only as a learner
that has caught up. A change is refused if the voters that answer the leader
would not be a quorum of the new membership, so that no change can stop the
log or rely on a VM that is gone.
"""

from rattanroute.consensus import elections
from rattanroute.consensus import replications
from rattanroute.consensus.entries import encode_membership
from rattanroute.consensus.entries import Entry
from rattanroute.consensus.entries import EntryKind
from rattanroute.consensus.entries import Member
from rattanroute.consensus.entries import Membership
from rattanroute.consensus.nodes import JOIN_FRESH_SECONDS
from rattanroute.consensus.nodes import Joiner
from rattanroute.consensus.nodes import LEAVE_SECONDS
from rattanroute.consensus.nodes import NodeState
from rattanroute.consensus.nodes import REPLACE_SECONDS
from rattanroute.consensus.nodes import Role
from rattanroute.errors import RouterError
from rattanroute.messages.consensus import JoinRequest
from rattanroute.messages.consensus import TimeoutNow


class MembershipError(RouterError):
    """A membership change is refused; nothing was changed."""


def refuse(vm_id: str, message: str) -> MembershipError:
    """Returns the error for a refused change."""
    return MembershipError(
        step="change membership", peer=vm_id, message=message
    )


def check_ready(state: NodeState, vm_id: str) -> None:
    """Checks that this node may append a change now.

    An earlier term's change could still be pending until the leader has
    committed an entry of its own term.

    Raises:
        MembershipError: If it may not.
    """
    if state.role != Role.LEADER:
        raise refuse(vm_id, f"not the leader; it is {state.leader_id!r}")
    if not state.has_committed_in_term:
        raise refuse(vm_id, "the leader has not committed an entry yet")
    if state.log.membership_index > state.commit:
        raise refuse(vm_id, "another membership change is in progress")
    if state.transfer_target:
        raise refuse(vm_id, "leadership is being transferred")


def check_active_quorum(
    state: NodeState, membership: Membership, vm_id: str, now: float
) -> None:
    """Checks that live voters are a quorum of a membership.

    Raises:
        MembershipError: If they are not.
    """
    active = {state.vm_id}
    for member in membership.voters:
        progress = state.progress.get(member.vm_id)
        if (
            progress is not None
            and progress.storage_id == member.storage_id
            and now - progress.heard_at < state.timing.election_min_s
        ):
            active.add(member.vm_id)
    if len(active) < membership.quorum:
        raise refuse(
            vm_id,
            f"only {len(active)} of {len(membership.voters)} voters would be "
            "active",
        )


def append_membership(
    state: NodeState, membership: Membership, vm_id: str, now: float
) -> Entry:
    """Appends a membership entry; it is in force at once.

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
    """Adds a VM that announced itself as a learner.

    Raises:
        MembershipError: If the change is refused.
    """
    check_ready(state, vm_id)
    if state.log.membership.find(vm_id) is not None:
        raise refuse(vm_id, "is already a member")
    joiner = state.joiners.get(vm_id)
    if joiner is None or now - joiner.heard_at >= JOIN_FRESH_SECONDS:
        raise refuse(vm_id, "has not announced itself to the leader")
    member = Member(
        vm_id=vm_id,
        storage_id=joiner.storage_id,
        voter=False,
        promote=promote,
    )
    membership = state.log.membership.with_member(member)
    return append_membership(state, membership, vm_id, now)


def is_caught_up(state: NodeState, vm_id: str, now: float) -> bool:
    """Tells whether a live member has all committed entries."""
    progress = state.progress.get(vm_id)
    return (
        progress is not None
        and progress.match >= state.commit
        and now - progress.heard_at < state.timing.election_min_s
    )


def promote(state: NodeState, vm_id: str, now: float) -> Entry:
    """Makes a learner that has caught up a voter.

    Raises:
        MembershipError: If the change is refused.
    """
    check_ready(state, vm_id)
    member = state.log.membership.find(vm_id)
    if member is None or member.voter:
        raise refuse(vm_id, "is not a learner")
    if not is_caught_up(state, vm_id, now):
        raise refuse(vm_id, "has not caught up")
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
        raise refuse(vm_id, "is the leader; transfer leadership first")
    if state.log.membership.find(vm_id) is None:
        raise refuse(vm_id, "is not a member")
    membership = state.log.membership.without(vm_id)
    check_active_quorum(state, membership, vm_id, now)
    state.progress[vm_id].leaving_until = now + LEAVE_SECONDS
    return append_membership(state, membership, vm_id, now)


def record_joiner(
    state: NodeState, peer: str, message: JoinRequest, now: float
) -> None:
    """Records an announcement, or passes it on to the leader."""
    if state.role == Role.LEADER:
        state.joiners[message.vm_id] = Joiner(
            storage_id=message.storage_id, heard_at=now
        )
    elif peer == message.vm_id and state.leader_id not in ("", peer):
        state.send(state.leader_id, message)


def find_lost_member(state: NodeState, now: float) -> Member | None:
    """Returns the new learner for a member whose data folder was lost.

    The listed storage identity must have been silent for an election
    timeout: an announcement from before a repair may arrive late, and must
    not remove a member that is intact.
    """
    for vm_id, joiner in state.joiners.items():
        member = state.log.membership.find(vm_id)
        progress = state.progress.get(vm_id)
        if member is None or progress is None:
            continue
        if (
            joiner.storage_id != member.storage_id
            and now - joiner.heard_at < JOIN_FRESH_SECONDS
            and now - progress.heard_at >= state.timing.election_min_s
        ):
            return Member(
                vm_id=vm_id,
                storage_id=joiner.storage_id,
                voter=False,
                promote=member.voter or member.promote,
            )
    return None


def find_learner_to_promote(state: NodeState, now: float) -> str:
    """Returns a learner that is due to become a voter, or ""."""
    for member in state.log.membership.members:
        if member.promote and is_caught_up(state, member.vm_id, now):
            return member.vm_id
    return ""


def repair(state: NodeState, now: float) -> None:
    """Replaces a lost member by a learner, or promotes a learner.

    Where the log keeps its own voters, newcomers and spares are looked after
    as well. A refusal is not an error: the next tick tries again.
    """
    try:
        check_ready(state, "")
        lost = find_lost_member(state, now)
        if lost is not None:
            membership = state.log.membership.with_member(lost)
            append_membership(state, membership, lost.vm_id, now)
            return
        learner = find_learner_to_promote(state, now)
        if learner:
            promote(state, learner, now)
        elif state.voter_target:
            keep_voters(state, now)
    except MembershipError:
        return


def find_newcomer(state: NodeState, now: float) -> str:
    """Returns a VM that announced itself and is no member, or ""."""
    for vm_id, joiner in state.joiners.items():
        fresh = now - joiner.heard_at < JOIN_FRESH_SECONDS
        if fresh and state.log.membership.find(vm_id) is None:
            return vm_id
    return ""


def find_spare(state: NodeState, now: float) -> str:
    """Returns a learner that could become a voter, or ""."""
    for member in state.log.membership.members:
        if not member.voter and is_caught_up(state, member.vm_id, now):
            return member.vm_id
    return ""


def find_silent_voter(state: NodeState, now: float) -> str:
    """Returns a voter that has not answered for long, or ""."""
    for member in state.log.membership.voters:
        progress = state.progress.get(member.vm_id)
        if progress is None or member.vm_id == state.vm_id:
            continue
        if now - progress.heard_at >= REPLACE_SECONDS:
            return member.vm_id
    return ""


def keep_voters(state: NodeState, now: float) -> None:
    """Admits VMs that announce themselves and replaces lost voters.

    A voter is removed only while a learner that has all entries can take its
    place, so that the number of voters recovers at once.

    Raises:
        MembershipError: If a change is refused.
    """
    newcomer = find_newcomer(state, now)
    if newcomer:
        add_learner(state, newcomer, promote=False, now=now)
        return
    spare = find_spare(state, now)
    if not spare:
        return
    if len(state.log.membership.voters) < state.voter_target:
        promote(state, spare, now)
        return
    silent = find_silent_voter(state, now)
    if silent:
        remove(state, silent, now)


def start_transfer(state: NodeState, vm_id: str, now: float) -> None:
    """Starts to hand leadership to another voter.

    Raises:
        MembershipError: If the transfer is refused.
    """
    check_ready(state, vm_id)
    member = state.log.membership.find(vm_id)
    progress = state.progress.get(vm_id)
    if member is None or not member.voter or progress is None:
        raise refuse(vm_id, "is not another voter")
    if now - progress.heard_at >= state.timing.election_min_s:
        raise refuse(vm_id, "does not answer")
    state.transfer_target = vm_id
    state.transfer_until = now + state.timing.election_min_s
    continue_transfer(state, now)


def continue_transfer(state: NodeState, now: float) -> None:
    """Hands leadership over once the target has all entries.

    The leader steps down as it sends the message: the target's election
    ignores the lease, so this node must never claim it again in this term.
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
