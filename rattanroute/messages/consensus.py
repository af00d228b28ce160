"""Messages of the consensus subsystem; kinds 20 to 39.

Each message between members contains the sender's storage identity, because a
VM that lost its data folder must not count as the member that it was before.
"""

import dataclasses

from rattanroute.consensus.entries import Entry
from rattanroute.consensus.entries import Membership


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VoteRequest:
    """A candidate asks for a vote.

    Attributes:
        storage_id: Storage identity of the sender.
        term: Term of the election; for a pre-vote the prospective term.
        last_index: Index of the candidate's last entry.
        last_term: Term of that entry.
        pre_vote: Whether to check only whether a vote would be granted.
        transfer: Whether the leader gave up its lease for this election.
        log_id: Identity of the candidate's log.
    """

    storage_id: str
    term: int
    last_index: int
    last_term: int
    pre_vote: bool = False
    transfer: bool = False
    log_id: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VoteResponse:
    """The answer to a `VoteRequest`.

    Attributes:
        storage_id: Storage identity of the sender.
        term: The request's term if granted, otherwise the sender's term.
        granted: Whether the vote is granted.
        pre_vote: Whether the request was a pre-vote.
    """

    storage_id: str
    term: int
    granted: bool
    pre_vote: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AppendRequest:
    """Entries from the leader; a heartbeat if there are none.

    Attributes:
        storage_id: Storage identity of the leader.
        term: Term of the leader.
        prev_index: Index of the entry before `entries`.
        prev_term: Term of that entry.
        commit: The leader's commit index.
        round: The leader's latest heartbeat round; repeated in the response.
        entries: Entries in order.
        log_id: Identity of the leader's log.
    """

    storage_id: str
    term: int
    prev_index: int
    prev_term: int
    commit: int
    round: int
    entries: tuple[Entry, ...] = ()
    log_id: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AppendResponse:
    """The answer to an `AppendRequest`.

    Attributes:
        storage_id: Storage identity of the sender.
        term: Term of the sender.
        success: Whether the sender's log contains the previous entry.
        index: On success, the index of the last entry known to match the
            leader's log; otherwise the request's `prev_index`.
        hint: On failure, the next `prev_index` to try.
        round: Round of the request.
    """

    storage_id: str
    term: int
    success: bool
    index: int
    hint: int = 0
    round: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SnapshotChunk:
    """Part of a snapshot for a member that needs compacted log entries."""

    storage_id: str
    term: int
    index: int
    snapshot_term: int
    membership: Membership
    total: int
    offset: int
    data: bytes
    round: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SnapshotResponse:
    """Acknowledges a chunk with the byte offset of the next one."""

    storage_id: str
    term: int
    index: int
    next_offset: int
    round: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TimeoutNow:
    """Transfers leadership: the receiver starts an election."""

    storage_id: str
    term: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProposeRequest:
    """A follower forwards a proposal to the leader."""

    request_id: int
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProposeResponse:
    """Log position of a forwarded proposal; index 0 if it was not appended."""

    request_id: int
    index: int
    term: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadRequest:
    """A follower asks the leader for a linearizable read index."""

    request_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadResponse:
    """The read index; -1 if the receiver could not confirm leadership."""

    request_id: int
    index: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JoinRequest:
    """Asks for membership of a VM whose storage identity is not a member."""

    vm_id: str
    storage_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BootstrapReport:
    """Storage identities that a VM has recorded during bootstrap.

    Attributes:
        storage_id: Storage identity of the sender.
        ids: Recorded storage identity for each VM identifier.
        final: Whether the sender already has a membership.
    """

    storage_id: str
    ids: dict[str, str]
    final: bool


KINDS: dict[int, type] = {
    20: VoteRequest,
    21: VoteResponse,
    22: AppendRequest,
    23: AppendResponse,
    24: SnapshotChunk,
    25: SnapshotResponse,
    26: TimeoutNow,
    27: ProposeRequest,
    28: ProposeResponse,
    29: ReadRequest,
    30: ReadResponse,
    31: JoinRequest,
    32: BootstrapReport,
}
