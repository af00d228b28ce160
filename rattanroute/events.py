"""Events that the request core handles."""

import dataclasses
import enum

from rattanroute.actions import Refusal
from rattanroute.tables.requests import Request


class Provenance(enum.StrEnum):
    """What is known about the dispatch of a failed attempt."""

    NOT_DISPATCHED = "not_dispatched"
    UNKNOWN = "unknown"
    STARTED = "started"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestArrived:
    """A validated request of an authenticated client."""

    request: Request


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptStarted:
    """The first token of an attempt, or the first after a silence, arrived."""

    request_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptSucceeded:
    """An attempt delivered its complete answer.

    Attributes:
        request_id: The request.
        attempt: Attempt number.
        tokens_in: Prompt tokens.
        tokens_out: Generated tokens of this attempt.
    """

    request_id: str
    attempt: int
    tokens_in: int = 0
    tokens_out: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptFailed:
    """An attempt ended without a complete answer.

    Attributes:
        request_id: The request.
        attempt: Attempt number.
        target_id: The target at which the failure arose.
        provenance: What is known about the dispatch.
        crashed: Whether the target closed the connection without an answer,
            as after a crash; a refusal by the target is not a crash.
        reason: One sentence for logs.
        retry_after_s: Retry-After delay that the target asked for, in seconds.
        tokens_out: Tokens of this attempt that the client has received.
        refusal: Response to a request that the target rejects for its
            content; it is not retried and the target counts as healthy.
    """

    request_id: str
    attempt: int
    target_id: str
    provenance: Provenance
    crashed: bool = False
    reason: str = ""
    retry_after_s: float | None = None
    tokens_out: int = 0
    refusal: Refusal | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptSuspected:
    """The target of an attempt is silent; the attempt goes on.

    Attributes:
        request_id: The request.
        attempt: Attempt number.
        target_id: The target.
    """

    request_id: str
    attempt: int
    target_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StageDegraded:
    """A pipeline stage is much slower than before, or silent.

    Attributes:
        request_id: The request.
        attempt: Attempt number.
        target_id: The target of the stage.
        silent: Whether its answer did not arrive in time.
        tokens_out: Tokens of this attempt that the client has received.
    """

    request_id: str
    attempt: int
    target_id: str
    silent: bool = False
    tokens_out: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerDisconnected:
    """The client closed its connection before the answer was complete."""

    request_id: str


Event = (
    RequestArrived
    | AttemptStarted
    | AttemptSucceeded
    | AttemptFailed
    | AttemptSuspected
    | StageDegraded
    | CallerDisconnected
)
