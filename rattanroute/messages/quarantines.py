"""Messages of the quarantines subsystem; kinds 160 to 179."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Crash:
    """Requests of one VM that ran on a target when it crashed.

    Attributes:
        target_id: The crashed target.
        incarnation: Its incarnation.
        fingerprints: Fingerprints of the requests.
        age: Seconds since the crash.
    """

    target_id: str
    incarnation: int
    fingerprints: tuple[str, ...]
    age: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrashReports:
    """Crashes that the sender observed or received."""

    crashes: tuple[Crash, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SuspectRun:
    """Start or end of a suspected request on the sending VM.

    Attributes:
        fingerprint: The request's fingerprint.
        target_id: The target that runs it; empty when the run has ended.
        cleared: Whether the run ended with a complete answer.
        latest: Whether it was the last request that the sending VM sent to a
            target before that target crashed.
    """

    fingerprint: str
    target_id: str = ""
    cleared: bool = False
    latest: bool = False


KINDS: dict[int, type] = {160: CrashReports, 161: SuspectRun}
