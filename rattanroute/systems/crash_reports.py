"""Messages of the ban system: what a VM saw, and what the voters decided."""

from collections.abc import Container
from collections.abc import Iterable
import dataclasses

from rattanroute.messages.crashbans import ObservedCrash
from rattanroute.messages.crashbans import SuspectState
from rattanroute.messages.crashbans import SuspectStates
from rattanroute.tables.crash_suspects import CrashEvent
from rattanroute.tables.crash_suspects import CrashSuspectTable
from rattanroute.tables.suspect_requests import CrashKey

# Repetitions of each report to the voters, for links that lose messages for
# some seconds.
MAX_REPEATS = 10


@dataclasses.dataclass(kw_only=True, slots=True)
class Observation:
    """A crash or an answer that this VM saw and reports to the voters.

    Attributes:
        fingerprint: Fingerprint of the request or part.
        crash: The crashed target; None for an answer.
        event: Time and circumstances of the crash; None for an answer.
        sends: Number of times that it was sent.
    """

    fingerprint: str
    crash: CrashKey | None = None
    event: CrashEvent | None = None
    sends: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class CrashReporter:
    """Repeats observations until the voters have received them.

    Attributes:
        observations: Those that are still sent, oldest first.
        known_parts: Suspect parts with which this VM saw answers lately, and
            how often they were sent.
    """

    observations: list[Observation] = dataclasses.field(default_factory=list)
    known_parts: dict[str, int] = dataclasses.field(default_factory=dict)

    def add_crash(
        self, fingerprint: str, crash: CrashKey, event: CrashEvent
    ) -> None:
        """Adds a crash during a request."""
        self.observations.append(
            Observation(fingerprint=fingerprint, crash=crash, event=event)
        )

    def add_answer(self, fingerprint: str) -> None:
        """Adds an answer to a suspect."""
        self.observations.append(Observation(fingerprint=fingerprint))

    def add_known_part(self, fingerprint: str) -> None:
        """Adds a suspect part with which this VM saw answers lately."""
        self.known_parts[fingerprint] = 0

    def take_known_parts(self, repeats: bool) -> tuple[str, ...]:
        """Returns the known parts that are sent now.

        Args:
            repeats: Whether those that were sent before are due again.
        """
        due = [
            x for x, sends in self.known_parts.items() if repeats or not sends
        ]
        for name in due:
            self.known_parts[name] += 1
        self.known_parts = {
            name: sends
            for name, sends in self.known_parts.items()
            if sends <= MAX_REPEATS
        }
        return tuple(due)

    def take_due(
        self, repeats: bool, now: float, answering: Container[str] = ()
    ) -> tuple[tuple[str, ...], tuple[ObservedCrash, ...]]:
        """Returns what is sent now, and drops what was sent often enough.

        Args:
            repeats: Whether those that were sent before are due again.
            now: Time in seconds.
            answering: Services that lately answered prompts of this VM.

        Returns:
            The fingerprints of answered suspects, and the crashes.
        """
        due = [x for x in self.observations if repeats or not x.sends]
        for observation in due:
            observation.sends += 1
        self.observations = [
            x for x in self.observations if x.sends <= MAX_REPEATS
        ]
        answers = tuple(x.fingerprint for x in due if x.crash is None)
        crashes = tuple(
            describe(x, now, answering) for x in due if x.crash is not None
        )
        return answers, crashes


def describe(
    observation: Observation, now: float, answering: Container[str]
) -> ObservedCrash:
    """Builds the part of a message that reports a crash."""
    return ObservedCrash(
        fingerprint=observation.fingerprint,
        target_id=observation.crash.target_id,
        incarnation=observation.crash.incarnation,
        request_id=observation.event.request_id,
        age_s=now - observation.event.at,
        early=observation.event.early,
        parts=tuple(sorted(observation.event.parts)),
        begun=observation.event.begun,
        service_answers=observation.event.service in answering,
    )


def build_event(seen: ObservedCrash, now: float) -> CrashEvent:
    """Returns the crash that another VM reported, in this VM's time."""
    return CrashEvent(
        at=now - seen.age_s,
        request_id=seen.request_id,
        early=seen.early,
        fingerprint=seen.fingerprint,
        parts=frozenset(seen.parts),
        begun=seen.begun,
    )


def build_states(
    suspects: CrashSuspectTable, fingerprints: Iterable[str], now: float
) -> SuspectStates:
    """Builds a message on those of the fingerprints that are suspects."""
    found = ((x, suspects.get(x)) for x in fingerprints)
    return SuspectStates(
        states=tuple(
            SuspectState(
                fingerprint=name,
                banned_s=max(0.0, row.banned_until - now),
                crash_age_s=now - row.crashed_at,
                companions=tuple(sorted(row.companions)),
                is_part=row.is_part,
                is_known=row.is_known,
            )
            for name, row in found
            if row is not None
        )
    )
