"""Reports of targets sent between VMs; kinds 140 to 159."""

import dataclasses

import msgspec

from rattanroute.tables.targets import TargetReport


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetReports:
    """Reports that the sending VM received, with their ages in seconds."""

    reports: tuple[TargetReport, ...]
    ages: tuple[float, ...]


class TargetLoad(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Load of a target whose other reported values have not changed.

    Attributes:
        target_id: The target.
        incarnation: Its incarnation.
        sequence: Sequence number of the report.
        running: Requests running at the time of the report.
        queued: Requests queued at the time of the report.
        age: Age of the report when it was sent, in seconds.
    """

    target_id: str
    incarnation: int
    sequence: int
    running: int
    queued: int
    age: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetLoads:
    """Loads that the sending VM received since it sent the full reports."""

    loads: tuple[TargetLoad, ...]


KINDS: dict[int, type] = {140: TargetReports, 141: TargetLoads}
