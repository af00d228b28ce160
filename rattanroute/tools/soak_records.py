"""Records of a soak: client attempts, probes, changes and injected faults.

All times are in seconds of the system's monotonic clock, which all processes
on a machine share.
"""

import dataclasses
import enum

from rattanroute.platform.standin_records import ReplicaRecord
from rattanroute.platform.trial_deployments import CallKind
from rattanroute.platform.trial_deployments import DeploymentShape
from rattanroute.platform.trial_deployments import SHORT_STREAMS
from rattanroute.tools.soak_plans import Action


class AttemptOutcome(enum.StrEnum):
    """Outcome of an attempt as its client saw it.

    Attributes:
        COMPLETE: A complete response with status 200.
        REFUSED: A complete response with another status.
        BROKEN: The connection closed before the response was complete.
        UNSENT: The initial value, before the attempt has ended.
        GIVEN_UP: The response was not complete when the client stopped
            waiting.
    """

    COMPLETE = "complete"
    REFUSED = "refused"
    BROKEN = "broken"
    UNSENT = "unsent"
    GIVEN_UP = "given_up"


@dataclasses.dataclass(kw_only=True, slots=True)
class Attempt:
    """One attempt of a client.

    Attributes:
        request_id: Identifier of the request; each attempt has its own unless
            the client numbers its tries.
        kind: Kind of the request.
        front: Name of the front that it was sent to.
        sent_at: Time when it was sent.
        ended_at: Time of its end.
        outcome: How it ended.
        status: HTTP status; 0 without a response.
        build_error_response: Error in the answer; empty if it was correct.
        events: Number of the last valid event received.
        expected_events: Number of the last event of the complete stream.
        limit_s: Seconds until the time limit of the client or of the route;
            0 if unknown.
        start_number: Number of the front's process start; 0 if unknown.
        slow: Whether the client read slowly.
        behind: Whether it was sent behind an open request of the connection.
        turn_at: Time at which that request ended; 0 without one.
        try_number: Number of the try under this identifier; 0 if the
            identifier is the attempt's own.
        stamp: Stamp of the answer; empty without one.
    """

    request_id: str
    kind: CallKind
    front: str
    sent_at: float
    ended_at: float = 0.0
    outcome: AttemptOutcome = AttemptOutcome.UNSENT
    status: int = 0
    build_error_response: str = ""
    events: int = 0
    expected_events: int = 0
    limit_s: float = 0.0
    start_number: int = 0
    slow: bool = False
    behind: bool = False
    turn_at: float = 0.0
    try_number: int = 0
    stamp: str = ""

    @property
    def key(self) -> tuple[str, int]:
        """Identifier and number of the try, as in the replicas' records."""
        return self.request_id, self.try_number

    @property
    def waiting_since(self) -> float:
        """Time from which the time limits of the request count."""
        return max(self.sent_at, self.turn_at)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Probe:
    """A request sent directly to a front on the route of one version.

    Attributes:
        front: Name of the front.
        start_number: Number of the front's process start, from 1.
        version: Configuration version whose route was requested.
        sent_at: Time when the probe started.
        ended_at: Time when the response arrived.
        served: Whether the front served the route.
    """

    front: str
    start_number: int
    version: int
    sent_at: float
    ended_at: float
    served: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RouteRequest:
    """A request for the route and with the key that a version adds for good.

    Attributes:
        front: Name of the front.
        version: The version.
        acknowledged_at: Time of its acknowledgement.
        sent_at: Time when the request was sent.
        ended_at: Time of its answer.
        status: HTTP status of the answer.
    """

    front: str
    version: int
    acknowledged_at: float
    sent_at: float
    ended_at: float
    status: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Acknowledgement:
    """An acknowledgement of a configuration version by a core machine."""

    version: int
    at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationRead:
    """A successful read of the configuration.

    Attributes:
        machine: Core machine that answered.
        sent_at: Time when the request was sent.
        version: Version in the answer; 0 if its content matches none.
        intact: Whether the content is exactly that of a version sent before.
    """

    machine: str
    sent_at: float
    version: int
    intact: bool


@dataclasses.dataclass(kw_only=True, slots=True)
class InjectedFault:
    """A fault as it was injected.

    Attributes:
        subjects: Names of the affected processes.
        action: Kind of the fault.
        start: Start time.
        end: End time; infinite while the fault lasts.
        start_number: Number of the process start that got a signal; 0 if
            unknown.
    """

    subjects: tuple[str, ...]
    action: str
    start: float
    end: float = float("inf")
    start_number: int = 0


@dataclasses.dataclass(kw_only=True)
class SoakLog:
    """All observations of a soak.

    Attributes:
        fronts: Names of the fronts.
        core: Names of the machines that store the configuration.
        attempts: Attempts of clients.
        probes: Requests on the routes of versions.
        route_requests: Requests for routes and keys of acknowledged versions.
        acknowledgements: Acknowledged configuration changes.
        configuration_reads: Reads of the configuration that got an answer.
        injected_faults: Faults as they were injected.
        records: Records of the replicas.
        process_failures: Unexpected exits, and machines with a traceback in
            their log.
        faults_ended_at: End of the last fault.
        final_version: Newest version read at the end; 0 if no read succeeded.
        shape: Shape of the deployment.
    """

    fronts: list[str] = dataclasses.field(default_factory=list)
    core: list[str] = dataclasses.field(default_factory=list)
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    probes: list[Probe] = dataclasses.field(default_factory=list)
    route_requests: list[RouteRequest] = dataclasses.field(default_factory=list)
    acknowledgements: list[Acknowledgement] = dataclasses.field(
        default_factory=list
    )
    configuration_reads: list[ConfigurationRead] = dataclasses.field(
        default_factory=list
    )
    injected_faults: list[InjectedFault] = dataclasses.field(
        default_factory=list
    )
    records: list[ReplicaRecord] = dataclasses.field(default_factory=list)
    process_failures: list[str] = dataclasses.field(default_factory=list)
    faults_ended_at: float = 0.0
    final_version: int = 0
    shape: DeploymentShape = SHORT_STREAMS

    def is_fault_free(
        self,
        names: set[str],
        start: float,
        end: float,
        *,
        margin_s: float,
        core_loss_margin_s: float | None = None,
        ignored_action: str = "",
    ) -> bool:
        """Returns whether no fault affected processes in an interval.

        Args:
            names: Names of the processes.
            start: Start of the interval.
            end: End of the interval.
            margin_s: Time for which a fault still counts after its end.
            core_loss_margin_s: The same for a fault that killed most of the
                core; None for `margin_s`.
            ignored_action: Action whose faults do not count; empty for none.
        """
        if core_loss_margin_s is None:
            core_loss_margin_s = margin_s
        return not any(
            fault.start <= end
            and start
            <= fault.end
            + (core_loss_margin_s if self.lost_core(fault) else margin_s)
            and fault.action != ignored_action
            and not names.isdisjoint(fault.subjects)
            for fault in self.injected_faults
        )

    def lost_core(self, fault: InjectedFault) -> bool:
        """Returns whether a fault killed most of the core at once."""
        killed = sum(name in fault.subjects for name in self.core)
        return fault.action == Action.KILL and 2 * killed > len(self.core)
