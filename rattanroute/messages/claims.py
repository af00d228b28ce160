"""Messages of the claims subsystem; kinds 80 to 99.

Every message contains the home data centre and the identifier of the holder
set as known to the sender; a receiver with another holder set ignores it.
"""

import dataclasses
import enum

from rattanroute.tables.claims import Claim
from rattanroute.tables.claims import ClaimState


class Outcome(enum.IntEnum):
    """A holder's answer to a claim request."""

    GRANTED = 0
    TAKEN = 1
    FULL = 2
    ABSTAINED = 3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimRequest:
    """Asks a holder to grant a key.

    Attributes:
        home: Home data centre of the key.
        set_id: Identifier of the holder set.
        key_id: Identifier of the key.
        grant_id: Identifier of the grant, unique over all VMs and starts.
        content_hash: Hash of the request's content.
        remaining_ms: Time until the request's deadline, in milliseconds.
    """

    home: str
    set_id: int
    key_id: bytes
    grant_id: str
    content_hash: str
    remaining_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimReply:
    """Answers a `ClaimRequest`.

    Attributes:
        home: Home data centre of the key.
        set_id: Identifier of the holder set.
        grant_id: The grant of the request.
        outcome: The holder's answer.
        epochs: The epoch of each holder as known to the sender, in the order
            of the holder set; the sender's own epoch is current.
        state: State of the existing claim, when the key is taken.
        same_content: Whether the existing claim is for the same content.
        answer: The stored answer of the existing claim for the same content.
    """

    home: str
    set_id: int
    grant_id: str
    outcome: Outcome
    epochs: tuple[int, ...]
    state: ClaimState = ClaimState.GRANTED
    same_content: bool = True
    answer: bytes | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimRelease:
    """Releases a grant whose request was certainly not dispatched."""

    home: str
    set_id: int
    key_id: bytes
    grant_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimResult:
    """Reports the result of a granted request.

    Attributes:
        home: Home data centre of the key.
        set_id: Identifier of the holder set.
        key_id: Identifier of the key.
        grant_id: The grant of the request.
        content_hash: Hash of the request's content.
        state: DONE or UNKNOWN.
        answer: The answer; None when unknown or too large to store.
    """

    home: str
    set_id: int
    key_id: bytes
    grant_id: str
    content_hash: str
    state: ClaimState
    answer: bytes | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimAck:
    """Confirms a `ClaimRelease` or a `ClaimResult`.

    Attributes:
        home: Home data centre of the key.
        set_id: Identifier of the holder set.
        grant_id: The grant of the confirmed message.
        epochs: As in `ClaimReply`.
        state: State stored by the sender; None after a release.
    """

    home: str
    set_id: int
    grant_id: str
    epochs: tuple[int, ...]
    state: ClaimState | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CopyRequest:
    """Requests the claims of a holder after the sender lost its own.

    Attributes:
        home: Home data centre.
        set_id: Identifier of the holder set.
        epoch: The sender's new epoch.
        cursor: Number of keys already received from this holder.
    """

    home: str
    set_id: int
    epoch: int
    cursor: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CopyPiece:
    """Part of a holder's claims; answers a `CopyRequest`.

    Attributes:
        home: Home data centre.
        set_id: Identifier of the holder set.
        epoch: Epoch of the request.
        epochs: As in `ClaimReply`.
        cursor: Cursor of the request.
        next_cursor: Cursor of the next piece.
        claims: The claims.
        done: Whether this is the last piece.
    """

    home: str
    set_id: int
    epoch: int
    epochs: tuple[int, ...]
    cursor: int
    next_cursor: int
    claims: tuple[Claim, ...]
    done: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HandoverPiece:
    """Part of the claims of a holder that shuts down as planned."""

    home: str
    set_id: int
    cursor: int
    claims: tuple[Claim, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HandoverAck:
    """Confirms a `HandoverPiece`."""

    home: str
    set_id: int
    cursor: int


KINDS: dict[int, type] = {
    80: ClaimRequest,
    81: ClaimReply,
    82: ClaimRelease,
    83: ClaimResult,
    84: ClaimAck,
    85: CopyRequest,
    86: CopyPiece,
    87: HandoverPiece,
    88: HandoverAck,
}
