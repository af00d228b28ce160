"""Status of a running daemon for the operators' interface."""

import time
from typing import Protocol

from rattanroute.servers.operator_sources import MemberStatus
from rattanroute.servers.operator_sources import TargetStatus
from rattanroute.servers.operator_sources import TraceStep
from rattanroute.servers.operator_sources import VmStatus
from rattanroute.settings import DaemonSettings
from rattanroute.systems.memberships import MembershipSystem
from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetTable
from rattanroute.traces import TraceRecorder

HIDDEN_ATTRIBUTES = frozenset({"request.id", "target", "outcome"})


class StatusSourceHost(Protocol):
    """Fields of the daemon that the status source reads."""

    settings: DaemonSettings
    membership: MembershipSystem
    targets: TargetTable
    traces: TraceRecorder

    @property
    def ready(self) -> bool:
        """Whether the VM serves requests."""
        ...

    @property
    def stopping(self) -> bool:
        """Whether a planned stop has begun."""
        ...

    @property
    def drained(self) -> bool:
        """Whether operators have taken this VM out of service."""
        ...

    @property
    def leader(self) -> str:
        """Leader of the configuration log; empty when unknown."""
        ...

    @property
    def configuration_age_s(self) -> float | None:
        """Seconds since the configuration was last known to be current."""
        ...


class DaemonStatusSource:
    """Provides the status of one VM to the operators' interface.

    Args:
        host: The daemon.
    """

    def __init__(self, *, host: StatusSourceHost) -> None:
        self.host = host

    def status(self) -> VmStatus:
        """Returns the state of the VM."""
        host = self.host
        return VmStatus(
            vm_id=host.settings.vm_id,
            data_centre=host.settings.data_centre,
            ready=host.ready and not host.stopping,
            configuration_age_s=host.configuration_age_s,
            voter=host.settings.storage.voter,
            leader=host.leader,
            draining=host.stopping or host.drained,
        )

    def members(self) -> list[MemberStatus]:
        """Returns all known VMs, including failed and departed ones."""
        return [
            MemberStatus(
                vm_id=member.vm_id,
                data_centre=member.data_centre,
                address=member.address,
                state=member.state.name.lower(),
                voter=member.voter,
            )
            for member in self.host.membership.table
        ]

    def targets(self) -> list[TargetStatus]:
        """Returns all targets that this VM knows."""
        now = time.monotonic()
        return [build_target_status(row, now) for row in self.host.targets]

    def trace(self, request_id: str) -> list[TraceStep]:
        """Returns the steps of a recent request, ordered by start time."""
        return [
            build_trace_step(step)
            for step in self.host.traces.steps(request_id)
        ]


def build_target_status(row: Target, now: float) -> TargetStatus:
    """Converts a target to its status for operators."""
    report = row.report
    return TargetStatus(
        target_id=report.target_id,
        address=report.address,
        data_centre=report.data_centre,
        model=report.model,
        version=report.version,
        first_layer=report.first_layer,
        last_layer=report.last_layer,
        health=row.health.value,
        slots=report.slots,
        running=report.running,
        queued=report.queued,
        report_age_s=now - row.received_at,
        leaving=report.leaving,
    )


def build_trace_step(step: dict[str, object]) -> TraceStep:
    """Converts a span to a trace step."""
    attributes = step["attributes"]
    detail = ", ".join(
        f"{name}={value}"
        for name, value in attributes.items()
        if name not in HIDDEN_ATTRIBUTES
    )
    outcome = attributes.get("outcome", "ok" if step["ok"] else "error")
    return TraceStep(
        at=step["start_s"],
        step=step["name"],
        peer=str(attributes.get("target", attributes.get("vm", ""))),
        detail=f"{outcome}, {step['seconds']:.4f} s, {detail}",
    )
