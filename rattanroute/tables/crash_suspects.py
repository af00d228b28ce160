"""Requests during which targets crashed, by fingerprint."""

import dataclasses

from rattanroute.tables.suspect_requests import CrashKey

# Crashes of different calls within this time, in seconds, count once: they
# probably have a common cause such as a power failure of a rack.
SAME_CAUSE_SECONDS = 0.5
# Weight of a crash that did not come early in the run of a request.
LATE_CRASH_WEIGHT = 0.5
# Maximum number of crashes stored for one request.
MAX_CRASH_EVENTS = 16
# Limits the memory for requests that ran during crashes.
MAX_SUSPECTS = 4096


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrashEvent:
    """A crash of a target during a request.

    Attributes:
        at: Time of the crash.
        request_id: The call that the target ran.
        early: Whether the run had only just begun. A request that crashes
            targets usually does so early.
    """

    at: float
    request_id: str
    early: bool = True


@dataclasses.dataclass(kw_only=True, slots=True)
class CrashSuspect:
    """A request during which targets crashed.

    Attributes:
        crashes: Crashes known to this VM.
        crashed_at: Time of the latest crash that any VM reported.
        banned_until: Time until which it is refused.
        confirmed_at: Time of the last announcement by a voter.
    """

    crashes: dict[CrashKey, CrashEvent] = dataclasses.field(
        default_factory=dict
    )
    crashed_at: float = 0.0
    banned_until: float = 0.0
    confirmed_at: float = float("-inf")

    def add(self, crash: CrashKey, event: CrashEvent) -> None:
        """Adds a crash; drops the oldest one at the limit."""
        if len(self.crashes) >= MAX_CRASH_EVENTS:
            del self.crashes[next(iter(self.crashes))]
        self.crashes[crash] = event

    def count(self) -> float:
        """Returns the weighted number of apparently independent crashes.

        Crashes late in a run count with LATE_CRASH_WEIGHT.
        """
        count = 0.0
        last: CrashEvent | None = None
        for event in sorted(self.crashes.values(), key=lambda x: x.at):
            if (
                last is None
                or event.request_id == last.request_id
                or event.at - last.at > SAME_CAUSE_SECONDS
            ):
                count += 1.0 if event.early else LATE_CRASH_WEIGHT
                last = event
        return count


@dataclasses.dataclass(kw_only=True, slots=True)
class CrashSuspectTable:
    """Suspects by fingerprint.

    Attributes:
        rows: The suspects, oldest first.
    """

    rows: dict[str, CrashSuspect] = dataclasses.field(default_factory=dict)

    def get(self, fingerprint: str) -> CrashSuspect | None:
        """Returns a suspect, or None if there is none."""
        return self.rows.get(fingerprint)

    def get_or_add(self, fingerprint: str, now: float) -> CrashSuspect:
        """Returns the row of a request; a new one may evict another."""
        row = self.rows.get(fingerprint)
        if row is None:
            if len(self.rows) >= MAX_SUSPECTS:
                del self.rows[self.find_evictable(now)]
            row = self.rows[fingerprint] = CrashSuspect()
        return row

    def find_evictable(self, now: float) -> str:
        """Returns the oldest suspect that is not banned, else the oldest."""
        free = (k for k, x in self.rows.items() if x.banned_until <= now)
        return next(free, next(iter(self.rows)))

    def remove(self, fingerprint: str) -> None:
        """Removes a suspect."""
        self.rows.pop(fingerprint, None)

    def list_banned(self, now: float) -> list[str]:
        """Returns the fingerprints of banned requests, newest last."""
        return [k for k, x in self.rows.items() if x.banned_until > now]

    def __contains__(self, fingerprint: object) -> bool:
        return fingerprint in self.rows

    def __len__(self) -> int:
        return len(self.rows)
