"""Refusals of the request core.

Each states whether the request may have been executed.
"""

from rattanroute.actions import Execution
from rattanroute.actions import Refusal
from rattanroute.tables.requests import Request

# Bounds of the retry delay that an overload refusal suggests to the caller.
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 60.0
# Targets announce themselves within this time after a start or a recovery.
TARGET_RETRY_SECONDS = 1.0


def execution_of(request: Request) -> Execution:
    """Returns whether a request may have been executed, as far as known."""
    # Tokens of a running attempt are counted only at its end.
    if request.tokens_out or (request.stream and request.begun):
        return Execution.PARTIAL
    ran = any(not attempt.never_dispatched for attempt in request.attempts)
    return Execution.UNKNOWN if ran else Execution.NOT_RUN


def overloaded(
    request: Request, message: str, seconds: float, *, status: int = 503
) -> Refusal:
    """Builds the refusal of a request for which there is no capacity.

    Args:
        request: The request.
        message: Message to the caller.
        seconds: Suggested retry delay, before it is bounded.
        status: HTTP status of the answer.
    """
    seconds = min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, seconds))
    return Refusal(
        type="overloaded",
        message=message,
        status=status,
        execution=execution_of(request),
        retry_after_s=round(seconds, 3),
    )


def no_target(request: Request) -> Refusal:
    """Builds the refusal of a request that no target can currently run."""
    return Refusal(
        type="no_target",
        message=f"no target serves {request.model} at present",
        status=503,
        execution=execution_of(request),
        retry_after_s=TARGET_RETRY_SECONDS,
    )


def deadline_unreachable(request: Request) -> Refusal:
    """Builds the refusal of a request that cannot meet its deadline."""
    return Refusal(
        type="deadline_unreachable",
        message="the answer takes longer than the deadline allows",
        status=503,
        execution=execution_of(request),
    )


def deadline_exceeded(request: Request) -> Refusal:
    """Builds the refusal of a request whose deadline has passed."""
    return Refusal(
        type="deadline_exceeded",
        message="the answer was not complete at the deadline",
        status=504,
        execution=execution_of(request),
    )


def stopped(request: Request) -> Refusal:
    """Builds the refusal of a request that outlasts a planned stop."""
    return Refusal(
        type="stopping",
        message="this VM stopped before the answer was complete",
        status=503,
        execution=execution_of(request),
        retry_after_s=MIN_RETRY_SECONDS,
    )


def outcome_unknown(request: Request) -> Refusal:
    """Builds the refusal of a non-repeatable call that may have run."""
    partial = request.tokens_out > 0
    return Refusal(
        type="outcome_unknown",
        message="the target failed and may have run the call",
        status=502,
        execution=Execution.PARTIAL if partial else Execution.UNKNOWN,
    )


def attempts_exhausted(request: Request) -> Refusal:
    """Builds the refusal of a request that failed on several targets."""
    return Refusal(
        type="attempts_exhausted",
        message=f"{len(request.attempts)} attempts failed",
        status=502,
        execution=execution_of(request),
        retry_after_s=TARGET_RETRY_SECONDS,
    )


def retry_budget_exhausted(request: Request) -> Refusal:
    """Builds the refusal of a failed request without retry budget."""
    return Refusal(
        type="retry_budget_exhausted",
        message="too many requests are being retried",
        status=503,
        execution=execution_of(request),
        retry_after_s=TARGET_RETRY_SECONDS,
    )


def prompt_quarantined(request: Request, seconds: float) -> Refusal:
    """Builds the refusal of a prompt with a part that crashes targets."""
    return Refusal(
        type="prompt_quarantined",
        message="targets crashed while they ran prompts that share a part",
        status=422,
        execution=execution_of(request),
        retry_after_s=round(seconds, 3),
    )


def quarantined(request: Request, seconds: float) -> Refusal:
    """Builds the refusal of a request that has crashed targets.

    Earlier attempts ran, possibly from another VM; their effect is unknown.
    """
    partial = request.tokens_out > 0
    return Refusal(
        type="request_quarantined",
        message="targets crashed while they ran this request",
        status=422,
        execution=Execution.PARTIAL if partial else Execution.UNKNOWN,
        retry_after_s=round(seconds, 3),
    )
