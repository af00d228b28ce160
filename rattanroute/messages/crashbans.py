"""Messages about requests and prompts that crash targets; kinds 270 to 279."""

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
        parts: Fingerprints of the shared parts of its prompt; empty once an
            answer had begun.
        begun: Whether an answer to the call had begun.
        service_answers: Whether the sending VM has lately received answers to
            prompts from the target's service.
    """

    fingerprint: str
    target_id: str
    incarnation: int
    request_id: str
    age_s: float
    early: bool = True
    parts: tuple[str, ...] = ()
    begun: bool = False
    service_answers: bool = False


class ObservedCrashes(
    msgspec.Struct, array_like=True, frozen=True, kw_only=True
):
    """Crashes that the sending VM observed."""

    crashes: tuple[ObservedCrash, ...]


class SuspectState(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """State of a request or a part during which targets crashed.

    Attributes:
        fingerprint: Its fingerprint.
        banned_s: Remaining seconds of its ban; 0 when it is only watched.
        crash_age_s: Seconds since the latest crash during it.
        companions: Parts that a prompt must also have to be refused.
        is_part: Whether it is a part of a prompt.
        is_known: Whether prompts with the part were answered lately.
    """

    fingerprint: str
    banned_s: float
    crash_age_s: float
    companions: tuple[str, ...] = ()
    is_part: bool = False
    is_known: bool = False


class SuspectStates(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Requests and parts that are watched or banned.

    Attributes:
        states: Their states.
        complete: Whether it is a voter's answer with all of its bans.
    """

    states: tuple[SuspectState, ...]
    complete: bool = False


class KnownParts(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Suspect parts with which the sending VM saw answers lately.

    Attributes:
        fingerprints: Fingerprints of the parts.
    """

    fingerprints: tuple[str, ...]


class BansRequest(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Asks a voter for all of its bans."""


class ClearedRequests(
    msgspec.Struct, array_like=True, frozen=True, kw_only=True
):
    """Requests that were answered and parts of prompts that crash no target.

    Attributes:
        fingerprints: Fingerprints of the requests and parts.
    """

    fingerprints: tuple[str, ...]


KINDS: dict[int, type] = {
    270: ObservedCrashes,
    271: SuspectStates,
    272: ClearedRequests,
    273: BansRequest,
    274: KnownParts,
}
