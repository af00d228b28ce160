"""Requests under which targets crashed, by fingerprint."""

import dataclasses

from rattanroute.tables.suspect_requests import CrashKey

# Crashes of different calls within this time count once, as when a rack loses
# its power.
SAME_CAUSE_SECONDS = 0.5
LATE_CRASH_WEIGHT = 0.5
# Crashes kept of one request.
MAX_CRASH_EVENTS = 16
# Bounds the memory for requests that ran beside crashes.
MAX_SUSPECTS = 4096


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrashEvent:
    """A crash under a request.

    Attributes:
        at: Time of the crash.
        request_id: The call that the target ran.
        early: Whether it had only just begun to run it. A request that
            crashes its targets mostly does so early.
    """

    at: float
    request_id: str
    early: bool = True


@dataclasses.dataclass(kw_only=True, slots=True)
class CrashSuspect:
    """A request under which targets crashed.

    Attributes:
        crashes: Crashes that this VM knows.
        crashed_at: Time of the latest crash that any VM told of.
        banned_until: Time until which it is refused.
        confirmed_at: When a voter last told of it.
    """

    crashes: dict[CrashKey, CrashEvent] = dataclasses.field(
        default_factory=dict
    )
    crashed_at: float = 0.0
    banned_until: float = 0.0
    confirmed_at: float = float("-inf")

    def add(self, crash: CrashKey, event: CrashEvent) -> None:
        """Adds a crash; makes room by the oldest one."""
        if len(self.crashes) >= MAX_CRASH_EVENTS:
            del self.crashes[next(iter(self.crashes))]
        self.crashes[crash] = event

    def count(self) -> float:
        """Returns the crashes that do not seem to have a common cause.

        Those that came late in a run count in part.
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
        rows: The suspects, the oldest first.
    """

    rows: dict[str, CrashSuspect] = dataclasses.field(default_factory=dict)

    def get(self, fingerprint: str) -> CrashSuspect | None:
        """Returns a suspect, or None."""
        return self.rows.get(fingerprint)

    def get_or_add(self, fingerprint: str, now: float) -> CrashSuspect:
        """Returns the row of a request; makes room for a new one."""
        row = self.rows.get(fingerprint)
        if row is None:
            if len(self.rows) >= MAX_SUSPECTS:
                del self.rows[self.find_evictable(now)]
            row = self.rows[fingerprint] = CrashSuspect()
        return row

    def find_evictable(self, now: float) -> str:
        """Returns the oldest suspect, one that is not banned if there is."""
        free = (k for k, x in self.rows.items() if x.banned_until <= now)
        return next(free, next(iter(self.rows)))

    def remove(self, fingerprint: str) -> None:
        """Removes a suspect."""
        self.rows.pop(fingerprint, None)

    def list_banned(self, now: float) -> list[str]:
        """Returns the requests that are refused, the newest last."""
        return [k for k, x in self.rows.items() if x.banned_until > now]

    def __contains__(self, fingerprint: object) -> bool:
        return fingerprint in self.rows

    def __len__(self) -> int:
        return len(self.rows)
