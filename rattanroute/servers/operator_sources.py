"""Data sources of the operators' interface and the records they return."""

import dataclasses
from typing import Protocol

from expression import Result

from rattanroute.errors import RouterError


class ConfigurationLog(Protocol):
    """Access to the replicated log; a VM that is no voter forwards to one."""

    async def propose(
        self, data: bytes, timeout_s: float
    ) -> Result[object, RouterError]:
        """Appends an entry and waits until it is applied.

        Args:
            data: An encoded `Change`.
            timeout_s: Longest time to wait, in seconds.

        Returns:
            The `ChangeOutcome` of the entry, as an object or encoded by
            `encode_outcome`. After a `NotProposedError` the entry is not and
            will not be in the log; after any other error it may be.
        """
        ...

    async def read_barrier(self, timeout_s: float) -> Result[None, RouterError]:
        """Waits until this VM has applied all changes accepted before the call.

        Args:
            timeout_s: Longest time to wait, in seconds.
        """
        ...


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VmStatus:
    """State of the VM that serves the call.

    Attributes:
        vm_id: The VM.
        data_centre: Its data centre.
        ready: Whether it accepts requests.
        configuration_age_s: Seconds since its configuration was last
            confirmed as current; None if it never was.
        voter: Whether it is a voter of the log.
        leader: The leader of the log; empty if unknown.
        draining: Whether it is shutting down.
    """

    vm_id: str
    data_centre: str
    ready: bool
    configuration_age_s: float | None
    voter: bool = False
    leader: str = ""
    draining: bool = False


class StatusSource(Protocol):
    """Provides the state of this VM."""

    def status(self) -> VmStatus:
        """Returns the state of this VM."""
        ...


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AccountTotal:
    """Accounted requests and tokens of one workspace and model."""

    neighbour: str
    workspace: str
    model: str
    requests: int
    tokens_in: int
    tokens_out: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShareUse:
    """A neighbour's share and use of the pooled capacity on the current day.

    Attributes:
        neighbour: The neighbour.
        share: Paid fraction of the pooled capacity, between 0 and 1.
        used: Fraction of the accounted accelerator time, between 0 and 1.
    """

    neighbour: str
    share: float
    used: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UnsettledTotal:
    """Total of the attempts in one state that are not settled yet."""

    state: str
    attempts: int
    tokens_in: int
    tokens_out: int


class AccountsSource(Protocol):
    """Provides the accounts."""

    def totals(self) -> list[AccountTotal]:
        """Returns the totals by workspace and model."""
        ...

    def share_uses(self) -> list[ShareUse]:
        """Returns the use on the current day by neighbour."""
        ...

    def unsettled(self) -> list[UnsettledTotal]:
        """Returns the totals of unsettled attempts by state."""
        ...


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TraceStep:
    """A step in the processing of a request.

    Attributes:
        at: Unix time in seconds.
        step: Name of the step, for example "dispatch".
        peer: The target or VM concerned; empty if there is none.
        detail: Description in one sentence.
    """

    at: float
    step: str
    peer: str = ""
    detail: str = ""


class TraceSource(Protocol):
    """Provides traces of the latest requests on this VM."""

    def trace(self, request_id: str) -> list[TraceStep]:
        """Returns the recorded steps of a request in order; empty if none."""
        ...


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberStatus:
    """A VM in the local view of the membership."""

    vm_id: str
    data_centre: str
    address: str
    state: str
    voter: bool = False


class MembersSource(Protocol):
    """Provides the membership."""

    def members(self) -> list[MemberStatus]:
        """Returns all VMs, including this one."""
        ...


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetStatus:
    """State of a target as known to this VM.

    Attributes:
        target_id: The target.
        address: Its base URL.
        data_centre: Its data centre.
        model: Model or service.
        version: Version of the loaded model.
        first_layer: First loaded layer.
        last_layer: Last loaded layer, inclusive.
        health: Result of failure detection.
        slots: Maximum number of concurrent requests.
        running: Running requests in the latest report.
        queued: Queued requests in the latest report.
        report_age_s: Age of the latest report, in seconds.
        leaving: Whether it accepts no new requests.
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
    """Provides the known targets."""

    def targets(self) -> list[TargetStatus]:
        """Returns all targets known to this VM."""
        ...
