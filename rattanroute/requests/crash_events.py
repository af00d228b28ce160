"""Builds the crash events of requests that ran on a crashed target."""

from rattanroute.tables.crash_suspects import CrashEvent
from rattanroute.tables.crash_suspects import EARLY_SECONDS
from rattanroute.tables.requests import Request


def build_crash_event(request: Request, now: float) -> CrashEvent:
    """Builds the event of a target that crashed while it ran a request.

    Args:
        request: The request.
        now: Time of the crash in seconds.
    """
    started_at = request.current.started_at
    parts = () if request.begun else request.part_fingerprints
    return CrashEvent(
        at=now,
        request_id=request.request_id,
        early=started_at is None or now - started_at < EARLY_SECONDS,
        begun=request.begun,
        fingerprint=request.fingerprint,
        parts=frozenset(parts),
        service=find_model(request),
    )


def find_model(request: Request) -> str:
    """Returns the model that runs a request; empty before routing."""
    return request.pool.model if request.pool else ""
