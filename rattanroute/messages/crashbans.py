"""Messages about requests that crash targets; kinds 270 to 279."""

import msgspec


class ObservedCrash(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """A crash of a target during a request.

    Attributes:
        fingerprint: The request's fingerprint.
        target_id: The target.
        incarnation: Its incarnation.
        request_id: The call that the target ran; the attempts of a call run
            one after another.
        age_s: Seconds since the crash.
        early: Whether the run had only just begun.
    """

    fingerprint: str
    target_id: str
    incarnation: int
    request_id: str
    age_s: float
    early: bool = True


class ObservedCrashes(
    msgspec.Struct, array_like=True, frozen=True, kw_only=True
):
    """Crashes that the sending VM observed."""

    crashes: tuple[ObservedCrash, ...]


class SuspectState(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """State of a request during which targets crashed.

    Attributes:
        fingerprint: The request's fingerprint.
        banned_s: Remaining seconds of its ban; 0 when it is only watched.
        crash_age_s: Seconds since the latest crash during it.
    """

    fingerprint: str
    banned_s: float
    crash_age_s: float


class SuspectStates(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Requests that are watched or banned."""

    states: tuple[SuspectState, ...]


class ClearedRequests(
    msgspec.Struct, array_like=True, frozen=True, kw_only=True
):
    """Fingerprints of requests that completed with an answer."""

    fingerprints: tuple[str, ...]


KINDS: dict[int, type] = {
    270: ObservedCrashes,
    271: SuspectStates,
    272: ClearedRequests,
}
