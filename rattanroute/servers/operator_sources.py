"""What the operators' interface asks other parts of the daemon for."""

import dataclasses
from typing import Protocol

from expression import Result

from rattanroute.errors import RouterError


class ConfigurationLog(Protocol):
    """The replicated log; on a VM that is not a voter it asks a voter."""

    async def propose(
        self, data: bytes, timeout_s: float
    ) -> Result[object, RouterError]:
        """Appends an entry and waits until it is applied.

        Args:
            data: An encoded `Change`.
            timeout_s: Longest time to wait, in seconds.

        Returns:
            The `ChangeOutcome` of the entry, as an object or encoded by
            `encode_outcome`. A `NotProposedError` means that the entry
            certainly is not and will not be in the log; any other error
            leaves that open.
        """
        ...

    async def read_barrier(self, timeout_s: float) -> Result[None, RouterError]:
        """Waits until this VM has all changes accepted before the call.

        Args:
            timeout_s: Longest time to wait, in seconds.
        """
        ...


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VmStatus:
    """State of the VM that answers.

    Attributes:
        vm_id: The VM.
        data_centre: Its data centre.
        ready: Whether it takes requests.
        configuration_age_s: Seconds since its configuration was known to be
            current; None when it never was.
        voter: Whether it takes part in the log.
        leader: The leader of the log; empty when not known.
        draining: Whether it is leaving.
    """

    vm_id: str
    data_centre: str
    ready: bool
    configuration_age_s: float | None
    voter: bool = False
    leader: str = ""
    draining: bool = False


class StatusSource(Protocol):
    """Knows the state of the VM."""

    def status(self) -> VmStatus:
        """Returns the state of the VM."""
        ...


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AccountTotal:
    """Accounted work of a workspace with one model."""

    neighbour: str
    workspace: str
    model: str
    requests: int
    tokens_in: int
    tokens_out: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShareUse:
    """A neighbour's use of the pool on the present day.

    Attributes:
        neighbour: The neighbour.
        share: Paid part of the pool, between 0 and 1.
        used: Part of the accounted accelerator time, between 0 and 1.
    """

    neighbour: str
    share: float
    used: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UnsettledTotal:
    """Attempts that may still change, in one state."""

    state: str
    attempts: int
    tokens_in: int
    tokens_out: int


class AccountsSource(Protocol):
    """Knows the accounts."""

    def totals(self) -> list[AccountTotal]:
        """Returns the totals of all workspaces."""
        ...

    def share_uses(self) -> list[ShareUse]:
        """Returns the use of the pool on the present day by neighbour."""
        ...

    def unsettled(self) -> list[UnsettledTotal]:
        """Returns the attempts that may still change, by state."""
        ...


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TraceStep:
    """A step in the life of a request.

    Attributes:
        at: Time in seconds since 1970.
        step: Name of the step, for example "dispatch".
        peer: The target or VM concerned; empty when there is none.
        detail: One sentence.
    """

    at: float
    step: str
    peer: str = ""
    detail: str = ""


class TraceSource(Protocol):
    """Knows the latest requests of the VM."""

    def trace(self, request_id: str) -> list[TraceStep]:
        """Returns the known steps of a request, in order."""
        ...


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberStatus:
    """A VM as membership sees it."""

    vm_id: str
    data_centre: str
    address: str
    state: str
    voter: bool = False


class MembersSource(Protocol):
    """Knows the other VMs."""

    def members(self) -> list[MemberStatus]:
        """Returns all VMs, this one included."""
        ...


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetStatus:
    """A target as this VM sees it.

    Attributes:
        target_id: The target.
        address: Its base URL.
        data_centre: Its data centre.
        model: Model or service.
        version: Model version held.
        first_layer: First layer held.
        last_layer: Last layer held, inclusive.
        health: Verdict of failure detection.
        slots: Requests that run at once.
        running: Running requests at the latest report.
        queued: Queued requests at the latest report.
        report_age_s: Age of the latest report, in seconds.
        leaving: Whether it takes no new work.
    """

    target_id: str
    address: str
    data_centre: str
    model: str
    version: str
    first_layer: int
    last_layer: int
    health: str
    slots: int
    running: int
    queued: int
    report_age_s: float
    leaving: bool


class TargetsSource(Protocol):
    """Knows the targets."""

    def targets(self) -> list[TargetStatus]:
        """Returns all targets that this VM knows."""
        ...
