"""Requests and parts of prompts during which targets crashed."""

from collections import Counter
from collections.abc import Collection
import dataclasses

from rattanroute.tables.suspect_requests import CrashKey

# Crashes of different calls within this time, in seconds, count once: they
# probably have a common cause such as a power failure of a rack.
SAME_CAUSE_SECONDS = 0.5
# The same for a part that nobody answered lately, while other prompts were
# answered. A part that is in the prompts on many targets was answered before.
SAME_MOMENT_SECONDS = 0.05
# A request that ran longer than this probably did not cause the crash.
EARLY_SECONDS = 0.3
# Weight of a crash that did not come early in the run of a request.
LATE_CRASH_WEIGHT = 0.5
# Maximum number of crashes stored for one suspect.
MAX_CRASH_EVENTS = 16
# Limits the memory for requests that ran during crashes and their parts.
MAX_SUSPECTS = 4096
# Requests that must have crashed targets before a part that they share is
# blamed rather than the one request.
MIN_REQUESTS_OF_PART = 2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrashEvent:
    """A crash of a target during a request.

    Attributes:
        at: Time of the crash.
        request_id: The call that the target ran.
        early: Whether the run had only just begun. A request that crashes
            targets usually does so early.
        begun: Whether an answer to the call had begun.
        fingerprint: Fingerprint of the request.
        parts: Fingerprints of the shared parts of its prompt; empty once an
            answer had begun, as none of them crashes targets then.
        service: Service of the target; empty if another VM saw the crash.
    """

    at: float
    request_id: str
    early: bool = True
    begun: bool = False
    fingerprint: str = ""
    parts: frozenset[str] = frozenset()
    service: str = ""

    def is_of_call(self, other: "CrashEvent") -> bool:
        """Returns whether a target ran the same call at another crash.

        A caller may give different requests one identifier.
        """
        return (self.request_id, self.fingerprint) == (
            other.request_id,
            other.fingerprint,
        )


@dataclasses.dataclass(kw_only=True, slots=True)
class CrashSuspect:
    """A request, or a part of a prompt, during which targets crashed.

    Attributes:
        is_part: Whether it is a part of a prompt.
        added_at: Time at which this VM learned of the first crash.
        crashes: Crashes known to this VM.
        crashed_at: Time of the latest crash that any VM reported.
        banned_until: Time until which it is refused; 0 if it never was.
        confirmed_at: Time of the last announcement by a voter.
        companions: Of a part, the other parts that were in the prompts with
            it. It may be any of them that crashes targets, so that only
            prompts with all of them are refused.
        parts: Of a request, the shared parts of its prompt.
        is_known: Of a part, whether prompts with it were answered lately, on
            any VM. It takes more crashes to blame it.
        beside_known: Of a part, whether another part of its prompts was
            answered lately. Before the first answers nothing tells a popular
            part from a cause.
        service_answers: Of a part, whether any prompts to its service were
            answered lately, on a VM that reported a crash under it.
        trial_until: Time until which this VM sends no other request than
            `trial_request` after the end of the ban.
        trial_request: Fingerprint of the request that this VM sent last after
            the end of the ban.
    """

    is_part: bool = False
    added_at: float = float("-inf")
    crashes: dict[CrashKey, CrashEvent] = dataclasses.field(
        default_factory=dict
    )
    crashed_at: float = 0.0
    banned_until: float = 0.0
    confirmed_at: float = float("-inf")
    companions: frozenset[str] = frozenset()
    parts: frozenset[str] = frozenset()
    is_known: bool = False
    beside_known: bool = False
    service_answers: bool = False
    trial_until: float = float("-inf")
    trial_request: str = ""

    def add(self, crash: CrashKey, event: CrashEvent) -> None:
        """Adds a crash; drops the oldest one at the limit."""
        if len(self.crashes) >= MAX_CRASH_EVENTS:
            del self.crashes[next(iter(self.crashes))]
        self.crashes[crash] = event

    def add_earliest(self, crash: CrashKey, event: CrashEvent) -> bool:
        """Adds a crash, or attributes a known one to an earlier attempt.

        A target that has crashed may lose further attempts, whose verdicts may
        arrive before that of the attempt that it was running.

        Returns:
            Whether the crash is new or belongs to another attempt now.
        """
        known = self.crashes.get(crash)
        if known is None:
            self.add(crash, event)
            return True
        # Repeated reports of one attempt differ by the time in transit.
        if known.request_id == event.request_id or known.at <= event.at:
            return False
        self.crashes[crash] = event
        return True

    def count(self, explained: Collection[CrashKey] = ()) -> float:
        """Returns the weighted number of apparently independent crashes.

        Crashes late in a run count with LATE_CRASH_WEIGHT.

        Args:
            explained: Crashes with another cause, which do not count.
        """
        events = [x for k, x in self.crashes.items() if k not in explained]
        count = 0.0
        last: CrashEvent | None = None
        for event in sorted(events, key=lambda x: x.at):
            if (
                last is None
                or event.is_of_call(last)
                or event.at - last.at > self.same_cause_seconds
            ):
                count += 1.0 if event.early else LATE_CRASH_WEIGHT
                last = event
        return count

    @property
    def same_cause_seconds(self) -> float:
        """Time in seconds within which crashes probably have one cause."""
        if self.is_unanswered:
            return SAME_MOMENT_SECONDS
        return SAME_CAUSE_SECONDS

    @property
    def is_unanswered(self) -> bool:
        """Whether it is a part that nobody answered, unlike other prompts."""
        others_answered = self.beside_known or self.service_answers
        return others_answered and not self.is_known

    @property
    def is_announced(self) -> bool:
        """Whether a voter has announced this suspect to this VM."""
        return self.confirmed_at > float("-inf")

    def record_prompt(self, crash: CrashKey, event: CrashEvent) -> None:
        """Narrows the parts that were in all prompts at a recorded crash."""
        known = self.crashes[crash]
        parts = known.parts & event.parts
        if parts != known.parts:
            self.crashes[crash] = dataclasses.replace(known, parts=parts)

    def update_companions(self, fingerprint: str) -> None:
        """Finds the parts that were in all prompts but those of one crash.

        A part without a certain other one in a single crash may have shared
        the target by coincidence.

        Args:
            fingerprint: Fingerprint of this part.
        """
        crashes = Counter(
            part for event in self.crashes.values() for part in event.parts
        )
        needed = max(1, len(self.crashes) - 1)
        self.companions = frozenset(
            part
            for part, count in crashes.items()
            if count >= needed and part != fingerprint
        )

    def forget_companion(self, part: str) -> bool:
        """Removes a part that crashes no target from the prompts.

        Returns:
            Whether more prompts are refused now.
        """
        is_narrowed = part in self.companions
        self.companions -= {part}
        for crash, event in self.crashes.items():
            if part in event.parts:
                self.beside_known = True
                parts = event.parts - {part}
                self.crashes[crash] = dataclasses.replace(event, parts=parts)
        return is_narrowed and self.banned_until > 0

    @property
    def has_begun(self) -> bool:
        """Whether an answer had begun before one of the crashes."""
        return any(event.begun for event in self.crashes.values())

    def count_requests(self) -> int:
        """Returns the number of different requests that ran."""
        return len({x.fingerprint for x in self.crashes.values()})


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

    def get_or_add(
        self, fingerprint: str, now: float, *, is_part: bool = False
    ) -> CrashSuspect:
        """Returns the row of a suspect; a new one may evict another."""
        row = self.rows.get(fingerprint)
        if row is None:
            if len(self.rows) >= MAX_SUSPECTS:
                del self.rows[self.find_evictable(now)]
            row = CrashSuspect(is_part=is_part, added_at=now)
            self.rows[fingerprint] = row
        return row

    def find_evictable(self, now: float) -> str:
        """Returns the suspect that is least likely to be a cause.

        That is the oldest one with a single crash and without a ban, else the
        oldest one without a ban, else the oldest one.
        """
        for max_crashes in (1, MAX_CRASH_EVENTS):
            for fingerprint, row in self.rows.items():
                if row.banned_until <= now and len(row.crashes) <= max_crashes:
                    return fingerprint
        return next(iter(self.rows))

    def remove(self, fingerprint: str) -> None:
        """Removes a suspect."""
        self.rows.pop(fingerprint, None)

    def is_known(self, fingerprint: str) -> bool:
        """Whether a part is a suspect but was answered lately."""
        row = self.rows.get(fingerprint)
        return row is not None and row.is_known

    def clear_companion(self, fingerprint: str) -> list[str]:
        """Removes a part that crashes no target from the other suspects.

        Returns:
            The banned parts that no longer need this part to be refused.
        """
        return [
            name
            for name, row in self.rows.items()
            if row.is_part and row.forget_companion(fingerprint)
        ]

    def list_banned(self, now: float) -> list[str]:
        """Returns the fingerprints of banned suspects, newest last."""
        return [k for k, x in self.rows.items() if x.banned_until > now]

    def __contains__(self, fingerprint: object) -> bool:
        return fingerprint in self.rows

    def __len__(self) -> int:
        return len(self.rows)
