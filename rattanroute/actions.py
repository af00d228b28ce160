"""Actions that the systems return and their hosts execute."""

import dataclasses
import enum

from rattanroute.tables.members import Member


class Execution(enum.StrEnum):
    """Whether a refused request was executed."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    PARTIAL = "partial"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """The error response to a request that is not served.

    Attributes:
        type: Machine-readable reason, for example "overloaded".
        message: One sentence for the client.
        status: HTTP status code.
        execution: Whether the request was executed; NOT_RUN only when certain.
        retry_after_s: Seconds after which the client may retry; None when a
            retry does not help.
    """

    type: str
    message: str
    status: int
    execution: Execution = Execution.NOT_RUN
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Hop:
    """One target of a chain with the layers that it runs.

    Attributes:
        target_id: The target.
        address: Base URL of the target.
        first_layer: First layer to run; 0 for a whole model or a service.
        last_layer: Last layer to run, inclusive.
    """

    target_id: str
    address: str
    first_layer: int = 0
    last_layer: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SendMessage:
    """Send a message to a peer; it may be lost."""

    peer: str
    message: object


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Dispatch:
    """Start an attempt of a request on a chain of targets.

    Attributes:
        request_id: The request.
        attempt: Attempt number, from 1.
        chain: Hops in layer order; one hop for a whole model or a service.
    """

    request_id: str
    attempt: int
    chain: tuple[Hop, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReplaceStage:
    """Replace one stage of a running pipeline attempt by other targets.

    Attributes:
        request_id: The request.
        attempt: Attempt number of the new chain.
        failed_target_id: The target whose hop is replaced.
        hops: Hops that together cover the layers of the failed hop.
    """

    request_id: str
    attempt: int
    failed_target_id: str
    hops: tuple[Hop, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CancelAttempt:
    """Stop an attempt and ignore its later answers."""

    request_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Finish:
    """End a request after its complete answer."""

    request_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refuse:
    """End a request with a refusal."""

    request_id: str
    refusal: Refusal


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimDecision:
    """The claim system's decision on an idempotency key.

    Attributes:
        request_id: The request that claimed the key.
        granted: Whether the request may be dispatched.
        answer: The stored first answer when the key has been completed.
        refusal: Error when the key is neither granted nor completed.
    """

    request_id: str
    granted: bool
    answer: bytes | None = None
    refusal: Refusal | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AnswerStored:
    """The outcome of storing the answer of a claimed request.

    Attributes:
        request_id: The request.
        stored: Whether a majority of the claim holders stored the answer, so
            that a repeated request receives it.
    """

    request_id: str
    stored: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PersistClaims:
    """Append records to the claims file and sync it.

    Attributes:
        records: The records; empty when only earlier records must be synced.
        ticket: Number to pass to `ClaimSystem.persisted` after the sync.
    """

    records: tuple[bytes, ...]
    ticket: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PersistUsages:
    """Append records to the ledger file and sync it.

    Attributes:
        records: The records; may be empty.
        ticket: Number to pass to `LedgerSystem.persisted` after the sync.
    """

    records: tuple[bytes, ...]
    ticket: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberChanged:
    """A member joined, changed, failed or left.

    The host updates the peer links.
    """

    member: Member


Action = object
