"""Sending a snapshot in chunks and installing it."""

from rattanroute.consensus import replications
from rattanroute.consensus.entries import Snapshot
from rattanroute.consensus.nodes import IncomingSnapshot
from rattanroute.consensus.nodes import NodeState
from rattanroute.consensus.nodes import Phase
from rattanroute.consensus.nodes import Progress
from rattanroute.consensus.nodes import SNAPSHOT_CHUNK_BYTES
from rattanroute.messages.consensus import SnapshotChunk
from rattanroute.messages.consensus import SnapshotResponse


def select_snapshot(state: NodeState, progress: Progress) -> None:
    """Switches a member to the latest snapshot."""
    progress.phase = Phase.SNAPSHOT
    progress.snapshot = state.log.snapshot
    progress.offset = 0
    progress.chunk_sent_at = float("-inf")
    progress.clear_inflight()


def start_sending(
    state: NodeState, peer: str, progress: Progress, now: float
) -> None:
    """Switches a member to the latest snapshot and sends its first chunk."""
    select_snapshot(state, progress)
    send_chunk(state, peer, progress, now)


def send_due_chunk(
    state: NodeState, peer: str, progress: Progress, now: float
) -> None:
    """Sends a chunk again that was not answered, if the member is alive."""
    if now - progress.heard_at >= state.timing.election_min_s:
        return
    if now - progress.chunk_sent_at >= state.timing.heartbeat_s:
        send_chunk(state, peer, progress, now)


def send_chunk(
    state: NodeState, peer: str, progress: Progress, now: float
) -> None:
    """Sends the chunk at the member's offset."""
    snapshot = progress.snapshot
    if snapshot is None:
        return
    end = progress.offset + SNAPSHOT_CHUNK_BYTES
    progress.chunk_sent_at = now
    chunk = SnapshotChunk(
        storage_id=state.storage_id,
        term=state.term,
        index=snapshot.index,
        snapshot_term=snapshot.term,
        membership=snapshot.membership,
        total=len(snapshot.data),
        offset=progress.offset,
        data=snapshot.data[progress.offset : end],
        round=state.round,
    )
    state.send(peer, chunk)


def handle_chunk(
    state: NodeState, peer: str, message: SnapshotChunk, now: float
) -> None:
    """Collects a chunk and installs the snapshot after the last one."""
    if message.term < state.term:
        replications.respond(state, peer, message.round, success=False, index=0)
        return
    replications.follow_leader(state, peer, message.term, now)
    if message.index <= state.commit:
        state.incoming = None
        replications.respond(
            state, peer, message.round, success=True, index=state.commit
        )
        return
    incoming = collect(state, message)
    if len(incoming.data) >= message.total:
        install(state, message, bytes(incoming.data))
        replications.respond(
            state, peer, message.round, success=True, index=message.index
        )
        return
    response = SnapshotResponse(
        storage_id=state.storage_id,
        term=state.term,
        index=message.index,
        next_offset=len(incoming.data),
        round=message.round,
    )
    state.send(peer, response)


def collect(state: NodeState, message: SnapshotChunk) -> IncomingSnapshot:
    """Adds a chunk if it is the next one of the snapshot.

    Chunks of one snapshot may come from two leaders whose state machines
    encode the same state differently, so a first chunk starts over.
    """
    incoming = state.incoming
    if (
        incoming is None
        or (incoming.index, incoming.term)
        != (message.index, message.snapshot_term)
        or message.offset == 0
    ):
        incoming = IncomingSnapshot(
            index=message.index, term=message.snapshot_term
        )
        state.incoming = incoming
    if message.offset == len(incoming.data):
        incoming.data += message.data
    return incoming


def install(state: NodeState, message: SnapshotChunk, data: bytes) -> None:
    """Commits or replaces the log by the snapshot.

    If the log holds the snapshot's last entry, the entries up to it are
    committed and those after it must stay: they may have been acknowledged.
    """
    state.incoming = None
    if state.log.term_at(message.index) == message.snapshot_term:
        state.commit = max(state.commit, message.index)
        return
    snapshot = Snapshot(
        index=message.index,
        term=message.snapshot_term,
        membership=message.membership,
        data=data,
    )
    state.log.reset(snapshot)
    state.out.entries.clear()
    state.out.snapshot = snapshot
    state.commit = snapshot.index
    state.applied = snapshot.index


def handle_response(
    state: NodeState, peer: str, message: SnapshotResponse, now: float
) -> None:
    """Sends the chunk that the member asks for."""
    progress = replications.find_progress(
        state, peer, message.storage_id, message.term, now
    )
    if progress is None:
        return
    progress.acked_round = max(progress.acked_round, message.round)
    snapshot = progress.snapshot
    if progress.phase != Phase.SNAPSHOT or snapshot is None:
        return
    if message.index != snapshot.index:
        return
    # An answer to a repeated chunk is not answered again.
    if message.next_offset == progress.offset:
        return
    progress.offset = message.next_offset
    send_chunk(state, peer, progress, now)
