"""What a soak saw: attempts of callers, probes, changes and disturbances.

All times are of the system's monotonic clock, in seconds; processes on one
machine share it.
"""

import dataclasses
import enum

from rattanroute.platform.standins import ReplicaRecord
from rattanroute.platform.trial_deployments import CallKind


class Ending(enum.StrEnum):
    """How an attempt ended for its caller."""

    COMPLETE = "complete"
    REFUSED = "refused"
    BROKEN = "broken"
    UNSENT = "unsent"
    GIVEN_UP = "given_up"


@dataclasses.dataclass(kw_only=True, slots=True)
class Attempt:
    """One attempt of a caller.

    Attributes:
        request_id: Its identifier.
        kind: Kind of the request.
        front: Front that it was sent to.
        sent_at: Time when it was sent.
        ended_at: Time of its end.
        ending: How it ended.
        status: Status; 0 without one.
        fault: What was wrong with the answer; empty if nothing was.
        events: Number of the last event that came.
        wanted_events: Number of the last event of the whole stream.
    """

    request_id: str
    kind: CallKind
    front: str
    sent_at: float
    ended_at: float = 0.0
    ending: Ending = Ending.UNSENT
    status: int = 0
    fault: str = ""
    events: int = 0
    wanted_events: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Probe:
    """A request on a version's own route, directly at a front.

    Attributes:
        lifetime: Number of the front's start.
        version: The version.
        known: Whether the front served the route.
    """

    front: str
    lifetime: int
    version: int
    sent_at: float
    ended_at: float
    known: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Acknowledgement:
    """A configuration that was acknowledged."""

    version: int
    at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reading:
    """An answer to a question for the configuration.

    Attributes:
        version: The version in the answer.
        intact: Whether it is what was sent under its number.
    """

    machine: str
    sent_at: float
    version: int
    intact: bool


@dataclasses.dataclass(kw_only=True, slots=True)
class Disturbance:
    """A fault as it was carried out.

    Attributes:
        subjects: Names of the processes.
        action: What was done.
        start: Its start.
        end: Its end; infinite while it lasts.
    """

    subjects: tuple[str, ...]
    action: str
    start: float
    end: float = float("inf")


@dataclasses.dataclass(kw_only=True)
class SoakLog:
    """All that a soak saw.

    Attributes:
        fronts: Names of the fronts.
        core: Names of the machines that keep the configuration.
        attempts: Attempts of callers.
        probes: Requests on the routes of versions.
        acknowledgements: Changes that were acknowledged.
        readings: Configurations that were read.
        disturbances: Faults as carried out.
        records: What the replicas recorded.
        died: Processes that ended by themselves, and errors in their logs.
        settled_at: End of the last fault.
        final_version: Version read at the end; 0 when none came.
    """

    fronts: list[str] = dataclasses.field(default_factory=list)
    core: list[str] = dataclasses.field(default_factory=list)
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    probes: list[Probe] = dataclasses.field(default_factory=list)
    acknowledgements: list[Acknowledgement] = dataclasses.field(
        default_factory=list
    )
    readings: list[Reading] = dataclasses.field(default_factory=list)
    disturbances: list[Disturbance] = dataclasses.field(default_factory=list)
    records: list[ReplicaRecord] = dataclasses.field(default_factory=list)
    died: list[str] = dataclasses.field(default_factory=list)
    settled_at: float = 0.0
    final_version: int = 0

    def is_calm(
        self,
        names: set[str],
        start: float,
        end: float,
        *,
        margin_s: float,
        besides: str = "",
    ) -> bool:
        """Whether processes were undisturbed in a span and some time before.

        Args:
            names: The processes.
            start: Start of the span.
            end: End of the span.
            margin_s: How long a disturbance counts after its end.
            besides: An action that does not count.
        """
        return not any(
            fault.start <= end
            and start <= fault.end + margin_s
            and fault.action != besides
            and not names.isdisjoint(fault.subjects)
            for fault in self.disturbances
        )
