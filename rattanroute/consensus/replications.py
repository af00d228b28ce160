"""Replication: appending, heartbeats, flow control, commitment, reads."""

from rattanroute.consensus import elections
from rattanroute.consensus import snapshots
from rattanroute.consensus.entries import Entry
from rattanroute.consensus.entries import EntryKind
from rattanroute.consensus.logs import measure_entry
from rattanroute.consensus.nodes import MAX_BATCH_BYTES
from rattanroute.consensus.nodes import MAX_INFLIGHT_BYTES
from rattanroute.consensus.nodes import NodeState
from rattanroute.consensus.nodes import PendingRead
from rattanroute.consensus.nodes import Phase
from rattanroute.consensus.nodes import Progress
from rattanroute.consensus.nodes import Role
from rattanroute.messages.consensus import AppendRequest
from rattanroute.messages.consensus import AppendResponse


def append_entry(state: NodeState, kind: EntryKind, data: bytes) -> Entry:
    """Appends a new entry of the leader's term."""
    entry = Entry(
        index=state.log.last_index + 1, term=state.term, kind=kind, data=data
    )
    state.log.append(entry)
    state.out.entries.append(entry)
    return entry


def refresh_progress(state: NodeState, now: float) -> None:
    """Makes the leader's view agree with the latest membership."""
    kept: dict[str, Progress] = {}
    for member in state.log.membership.members:
        if member.vm_id == state.vm_id:
            continue
        progress = state.progress.get(member.vm_id)
        if progress is None or progress.storage_id != member.storage_id:
            progress = Progress(
                storage_id=member.storage_id,
                next=state.log.last_index + 1,
                heard_at=now,
            )
        kept[member.vm_id] = progress
    for vm_id, progress in state.progress.items():
        if vm_id not in kept and now < progress.leaving_until:
            kept[vm_id] = progress
    state.progress = kept


def start_round(state: NodeState, now: float) -> None:
    """Sends a heartbeat to every member."""
    state.round += 1
    state.round_sent_at[state.round] = now
    state.heartbeat_at = now + state.timing.heartbeat_s
    refresh_progress(state, now)
    for peer, progress in state.progress.items():
        send_heartbeat(state, peer, progress)


def send_heartbeat(state: NodeState, peer: str, progress: Progress) -> None:
    """Sends an empty request; it also checks the member's last entry."""
    index = progress.next - 1
    term = state.log.term_at(index)
    if term is None:
        index, term = 0, 0
    send_append(state, peer, index=index, term=term, entries=())


def send_append(
    state: NodeState,
    peer: str,
    *,
    index: int,
    term: int,
    entries: tuple[Entry, ...],
) -> None:
    """Sends an append request after a previous entry."""
    request = AppendRequest(
        storage_id=state.storage_id,
        term=state.term,
        prev_index=index,
        prev_term=term,
        commit=state.commit,
        round=state.round,
        entries=entries,
        log_id=state.log.membership.log_id,
    )
    state.send(peer, request)


def send_entries(
    state: NodeState, peer: str, progress: Progress, now: float
) -> None:
    """Sends what the member lacks, within the bound on bytes in flight."""
    if progress.phase == Phase.SNAPSHOT:
        snapshots.send_due_chunk(state, peer, progress, now)
        return
    while (
        progress.phase == Phase.REPLICATE
        and progress.next <= state.log.last_index
        and progress.inflight_bytes < MAX_INFLIGHT_BYTES
    ):
        previous = progress.next - 1
        term = state.log.term_at(previous)
        if term is None:
            snapshots.start_sending(state, peer, progress, now)
            return
        entries = state.log.select(progress.next, MAX_BATCH_BYTES)
        size = sum(measure_entry(entry) for entry in entries)
        progress.inflight.append((entries[-1].index, size))
        progress.inflight_bytes += size
        progress.next = entries[-1].index + 1
        send_append(state, peer, index=previous, term=term, entries=entries)


def send_all(state: NodeState, now: float) -> None:
    """Sends new entries to every member."""
    for peer, progress in state.progress.items():
        send_entries(state, peer, progress, now)


def handle_append_request(
    state: NodeState, peer: str, message: AppendRequest, now: float
) -> None:
    """Stores the leader's entries after checking the previous one."""
    if message.term < state.term:
        respond(state, peer, message.round, success=False, index=0)
        return
    follow_leader(state, peer, message.term, now)
    log = state.log
    if message.prev_index > state.commit:
        term = log.term_at(message.prev_index)
        if term != message.prev_term:
            reject_append(state, peer, message)
            return
    matched = max(message.prev_index, state.commit)
    for entry in message.entries:
        if entry.index > state.commit:
            store_entry(state, entry)
            matched = max(matched, entry.index)
    advance_follower_commit(state, min(message.commit, matched))
    respond(state, peer, message.round, success=True, index=matched)


def follow_leader(state: NodeState, peer: str, term: int, now: float) -> None:
    """Recognizes the leader of a term that is not older than ours."""
    if term > state.term or state.role != Role.FOLLOWER:
        elections.become_follower(state, term=term, leader_id=peer, now=now)
    state.leader_id = peer
    state.heard_leader_at = now
    elections.reset_election_timer(state, now)


def store_entry(state: NodeState, entry: Entry) -> None:
    """Stores an entry, replacing a conflicting one that is not committed."""
    term = state.log.term_at(entry.index)
    if term == entry.term:
        return
    if term is not None:
        state.log.truncate_from(entry.index)
    state.log.append(entry)
    state.out.entries.append(entry)


def advance_follower_commit(state: NodeState, index: int) -> None:
    """Raises the commit index; it never falls."""
    state.commit = max(state.commit, index)


def reject_append(state: NodeState, peer: str, message: AppendRequest) -> None:
    """Tells the leader an earlier entry to try.

    The hint skips all entries of the conflicting term at once.
    """
    log = state.log
    hint = min(message.prev_index - 1, log.last_index)
    conflicting = log.term_at(message.prev_index)
    while (
        conflicting is not None
        and hint > state.commit
        and log.term_at(hint) == conflicting
    ):
        hint -= 1
    respond(
        state,
        peer,
        message.round,
        success=False,
        index=message.prev_index,
        hint=max(hint, state.commit),
    )


def respond(
    state: NodeState,
    peer: str,
    round_number: int,
    *,
    success: bool,
    index: int,
    hint: int = 0,
) -> None:
    """Sends an append response."""
    response = AppendResponse(
        storage_id=state.storage_id,
        term=state.term,
        success=success,
        index=index,
        hint=hint,
        round=round_number,
    )
    state.send(peer, response)


def find_progress(
    state: NodeState, peer: str, storage_id: str, term: int, now: float
) -> Progress | None:
    """Returns the member that answers this leader, or None.

    An answer with another storage identity is not from the listed member.
    """
    if term > state.term:
        elections.become_follower(state, term=term, leader_id="", now=now)
        return None
    if state.role != Role.LEADER or term < state.term:
        return None
    progress = state.progress.get(peer)
    if progress is None or progress.storage_id != storage_id:
        return None
    progress.heard_at = now
    return progress


def handle_append_response(
    state: NodeState, peer: str, message: AppendResponse, now: float
) -> None:
    """Records what a member has and sends what it lacks."""
    progress = find_progress(state, peer, message.storage_id, message.term, now)
    if progress is None:
        return
    progress.acked_round = max(progress.acked_round, message.round)
    if message.success:
        accept_match(state, progress, message.index)
    elif not retreat(progress, message):
        return
    elif progress.phase == Phase.PROBE:
        send_heartbeat(state, peer, progress)
    send_entries(state, peer, progress, now)


def accept_match(state: NodeState, progress: Progress, index: int) -> None:
    """Records the last entry that a member is known to have."""
    progress.match = max(progress.match, index)
    if progress.phase == Phase.REPLICATE:
        progress.next = max(progress.next, progress.match + 1)
        progress.free_inflight(progress.match)
        return
    if progress.match < state.log.base_index:
        # While a snapshot was sent, the log may have been compacted beyond it.
        sent = progress.snapshot
        if sent is None or sent.index <= progress.match:
            snapshots.select_snapshot(state, progress)
        return
    progress.phase = Phase.REPLICATE
    progress.next = progress.match + 1
    progress.snapshot = None
    progress.clear_inflight()


def retreat(progress: Progress, message: AppendResponse) -> bool:
    """Goes back to an earlier entry; returns False for outdated answers."""
    if progress.phase == Phase.SNAPSHOT or message.index <= progress.match:
        return False
    if progress.phase == Phase.PROBE and message.index != progress.next - 1:
        return False
    progress.phase = Phase.PROBE
    progress.next = max(min(message.index, message.hint + 1), 1)
    progress.next = max(progress.next, progress.match + 1)
    progress.clear_inflight()
    return True


def advance_commit(state: NodeState) -> None:
    """Commits what a quorum of voters has, in the leader's own term.

    This node counts with its last entry: the host makes the entries of the
    output durable before it uses the rest of the output.
    """
    matches = []
    for member in state.log.membership.voters:
        if member.vm_id == state.vm_id:
            matches.append(state.log.last_index)
        else:
            matches.append(state.progress[member.vm_id].match)
    matches.sort(reverse=True)
    index = matches[state.log.membership.quorum - 1]
    if index > state.commit and state.log.term_at(index) == state.term:
        state.commit = index
        announce_commit(state)


def announce_commit(state: NodeState) -> None:
    """Tells members of a new commit index unless more entries follow.

    Without this, followers would apply the last entry of a burst up to
    a heartbeat later.
    """
    if state.commit < state.log.last_index:
        return
    for peer, progress in state.progress.items():
        if progress.phase == Phase.REPLICATE:
            send_heartbeat(state, peer, progress)


def compute_quorum_round(state: NodeState) -> int:
    """Returns the latest round that a quorum of voters has answered."""
    rounds = []
    for member in state.log.membership.voters:
        if member.vm_id == state.vm_id:
            rounds.append(state.round)
        else:
            rounds.append(state.progress[member.vm_id].acked_round)
    rounds.sort(reverse=True)
    return rounds[state.log.membership.quorum - 1]


def forget_answered_rounds(state: NodeState) -> None:
    """Drops start times that the lease no longer needs."""
    answered = compute_quorum_round(state)
    for number in [n for n in state.round_sent_at if n < answered]:
        del state.round_sent_at[number]


def add_reads(state: NodeState, contexts: tuple[int, ...], now: float) -> None:
    """Starts a round that confirms the leader for these reads."""
    if not state.has_committed_in_term or state.transfer_target:
        state.out.failed_reads.extend(contexts)
        return
    start_round(state, now)
    for context in contexts:
        state.reads.append(
            PendingRead(context=context, index=state.commit, round=state.round)
        )


def confirm_reads(state: NodeState) -> None:
    """Hands out the reads whose round a quorum has answered."""
    if not state.reads:
        return
    answered = compute_quorum_round(state)
    waiting = []
    for read in state.reads:
        if read.round <= answered:
            state.out.reads.append((read.context, read.index))
        else:
            waiting.append(read)
    state.reads = waiting
