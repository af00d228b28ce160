"""Messages on requests that crash targets; kinds 270 to 279."""

import msgspec


class ObservedCrash(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """A target that crashed under a request.

    Attributes:
        fingerprint: The request's fingerprint.
        target_id: The target.
        incarnation: Its incarnation.
        request_id: The call that the target ran; the attempts of one call
            follow each other.
        age_s: Seconds since the crash.
        early: Whether the target had only just begun to run it.
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
    """Crashes that the sending VM saw."""

    crashes: tuple[ObservedCrash, ...]


class SuspectState(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """What a VM knows of a request under which targets crashed.

    Attributes:
        fingerprint: The request's fingerprint.
        banned_s: Seconds for which it is refused; 0 when it is only watched.
        crash_age_s: Seconds since the latest crash under it.
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
    """Fingerprints of requests that were answered."""

    fingerprints: tuple[str, ...]


KINDS: dict[int, type] = {
    270: ObservedCrashes,
    271: SuspectStates,
    272: ClearedRequests,
}
